"""Frames on a stream: read with a bound before anything is allocated, written in order from a bounded box."""

import struct
from collections import deque

from google.protobuf.message import DecodeError, Message

from fennelwind.cluster import keeper_pb2 as pb
from fennelwind.cluster.errors import InvalidFrameError
from fennelwind.cluster.wakeup import Wakeup
from fennelwind.loop import Loop, Stream
from fennelwind.loop.streams import PushStream

HELLO_MOST = 1024  # bytes of a first frame: names are short, and who sends it is a stranger
FRAME_MOST = 2 * 1024 * 1024  # bytes; an append holds 512 KiB and at least one command of 256 KiB
BOX_MOST = 4 * 1024 * 1024  # bytes that wait for one stream; twice the largest frame
TOGETHER_MOST = 256 * 1024  # bytes written at once
WRITE_MS = 5000.0  # ms in which a peer has to take some bytes, or it counts as gone
LENGTH = struct.Struct(">I")


def encode_frame(message: Message) -> bytes:
    """Return a message as a frame."""
    data = message.SerializeToString()
    return LENGTH.pack(len(data)) + data


class FrameReader:
    """Takes frames from a stream. The buffer never holds more than one frame and one read."""

    def __init__(self, stream: Stream) -> None:
        self.stream = stream
        self._held = bytearray()

    def raw(self, most: int) -> bytes | None:
        """Return the next frame's bytes; None at the end. Raises `InvalidFrameError` and `StreamReset`."""
        if not self._fill(LENGTH.size):
            return None
        size = LENGTH.unpack_from(self._held)[0]
        if size > most:
            raise InvalidFrameError(
                f"a frame of {size} bytes, where {most} are allowed", size=size, most=most
            )
        if not self._fill(LENGTH.size + size):
            return None
        data = bytes(self._held[LENGTH.size : LENGTH.size + size])
        del self._held[: LENGTH.size + size]
        return data

    def hello(self) -> pb.Hello | None:
        """Return the first frame; None at the end. Raises `InvalidFrameError` and `StreamReset`."""
        return self._parsed(pb.Hello, self.raw(HELLO_MOST))

    def frame(self) -> pb.Frame | None:
        """Return the next frame; None at the end. Raises `InvalidFrameError` and `StreamReset`."""
        return self._parsed(pb.Frame, self.raw(FRAME_MOST))

    @staticmethod
    def _parsed(kind: type[Message], data: bytes | None) -> Message | None:
        if data is None:
            return None
        try:
            return kind.FromString(data)
        except DecodeError:
            raise InvalidFrameError(
                f"{len(data)} bytes that are no {kind.__name__}", size=len(data)
            ) from None

    def _fill(self, size: int) -> bool:
        while len(self._held) < size:
            data = self.stream.read()
            if not data:
                return False
            self._held += data
        return True


class Outbox:
    """What waits to be written to one peer.

    At the bound the oldest frames that may be lost go first; one that may not be lost and finds no room is
    not taken, and the peer counts as gone.
    """

    def __init__(self, loop: Loop, most: int = BOX_MOST) -> None:
        self.loop, self.most, self.held, self.dropped = loop, most, 0, 0
        self._frames: deque[tuple[bytes, bool]] = deque()
        self._wakeup = Wakeup(loop)
        self._stream: PushStream | None = None  # while `run` waits for what the stream did not take at once
        self._rest = b""
        self._due = False  # what waits is handed on at the end of this turn

    def __len__(self) -> int:
        return len(self._frames)

    def put(self, frame: bytes, may_be_lost: bool = False) -> bool:
        """Take a frame in; tell whether it was."""
        while self.held + len(frame) > self.most and self._drop_oldest():
            pass
        if self.held + len(frame) > self.most:
            self.dropped += 1
            return False
        self._frames.append((frame, may_be_lost))
        self.held += len(frame)
        if self._stream is None:
            self._wakeup.notify()
        elif not self._due:
            self._due = True
            self.loop.last(self._push)
        return True

    def _drop_oldest(self) -> bool:
        for place, (frame, may_be_lost) in enumerate(self._frames):
            if may_be_lost:
                del self._frames[place]
                self.held -= len(frame)
                self.dropped += 1
                return True
        return False

    def clear(self) -> None:
        """Drop all that waits: it was for a connection that is no more."""
        self._frames.clear()
        self.held = 0

    def run(self, stream: PushStream) -> None:
        """Write what comes until the stream breaks. Raises `StreamReset` and `DeadlineExceeded`.

        While the stream takes all, no task is woken for it.
        """
        self._rest = b""
        try:
            while True:
                while self._rest or self._frames:
                    data, self._rest = self._rest or self._together(), b""
                    stream.write(data, WRITE_MS)
                self._stream = stream
                self._wakeup.wait()
                self._stream = None
        finally:
            self._stream = None

    def _push(self) -> None:
        """Hand on what has come in this turn; leave to the task what the stream does not take at once."""
        self._due = False
        if self._stream is None or not self._frames:
            return
        data = self._together()
        try:
            sent = self._stream.push(data)
        except OSError:  # the task's own write meets it as well, and tells
            sent = 0
        if sent < len(data) or self._frames:
            self._rest, self._stream = data[sent:], None
            self._wakeup.notify()

    def _together(self) -> bytes:
        """Take out as much as is written at once."""
        together, size = [], 0
        while self._frames and (not together or size + len(self._frames[0][0]) <= TOGETHER_MOST):
            frame, _ = self._frames.popleft()
            self.held -= len(frame)
            size += len(frame)
            together.append(frame)
        return b"".join(together) if len(together) > 1 else together[0]
