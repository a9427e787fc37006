"""Length-prefixed protobuf frames: read within a bound on their size, written from a bounded queue."""

import struct
from collections import deque
from typing import TypeVar

from google.protobuf.message import DecodeError, Message

from fennelwind.cluster import keeper_pb2 as pb
from fennelwind.cluster.errors import InvalidFrameError
from fennelwind.cluster.wakeup import Wakeup
from fennelwind.loop import Loop, Stream
from fennelwind.loop.streams import PushStream

MAX_HELLO_BYTES = 1024  # of a first frame: names are short, and its sender is not known yet
MAX_FRAME_BYTES = 2 * 1024 * 1024  # an append holds 512 KiB and at least one command of 256 KiB
MAX_QUEUED_BYTES = 4 * 1024 * 1024  # that wait for one stream; twice the largest frame
MAX_WRITE_BYTES = 256 * 1024  # written at once
WRITE_TIMEOUT_MS = 5000.0  # ms in which a peer has to take some bytes, or it counts as gone
LENGTH = struct.Struct(">I")  # ahead of each frame: how many bytes follow

ParsedMessage = TypeVar("ParsedMessage", bound=Message)


def encode_frame(message: Message) -> bytes:
    """Return a message as a frame."""
    data = message.SerializeToString()
    return LENGTH.pack(len(data)) + data


class FrameReader:
    """Reads frames from a stream. The buffer never holds more than one frame and one read."""

    def __init__(self, stream: Stream) -> None:
        self._stream = stream
        self._buffer = bytearray()

    def hello(self) -> pb.Hello | None:
        """Return the first frame; None at the end. Raises `InvalidFrameError` and `StreamReset`."""
        return _parse(pb.Hello, self._read(MAX_HELLO_BYTES))

    def frame(self) -> pb.Frame | None:
        """Return the next frame; None at the end. Raises `InvalidFrameError` and `StreamReset`."""
        return _parse(pb.Frame, self._read(MAX_FRAME_BYTES))

    def _read(self, max_bytes: int) -> bytes | None:
        if not self._fill(LENGTH.size):
            return None
        size = LENGTH.unpack_from(self._buffer)[0]
        if size > max_bytes:
            raise InvalidFrameError(
                f"a frame of {size} bytes, where {max_bytes} are allowed", size=size, most=max_bytes
            )
        if not self._fill(LENGTH.size + size):
            return None
        data = bytes(self._buffer[LENGTH.size : LENGTH.size + size])
        del self._buffer[: LENGTH.size + size]
        return data

    def _fill(self, size: int) -> bool:
        while len(self._buffer) < size:
            data = self._stream.read()
            if not data:
                return False
            self._buffer += data
        return True


def _parse(kind: type[ParsedMessage], data: bytes | None) -> ParsedMessage | None:
    if data is None:
        return None
    try:
        return kind.FromString(data)
    except DecodeError:
        raise InvalidFrameError(f"{len(data)} bytes that are no {kind.__name__}", size=len(data)) from None


class Outbox:
    """The frames that wait to be written to one peer.

    At the bound the oldest frames that may be lost go first; one that may not be lost and finds no room is
    not taken, and the peer counts as gone.
    """

    def __init__(self, loop: Loop, max_bytes: int = MAX_QUEUED_BYTES) -> None:
        self.queued_bytes = 0
        self.dropped = 0
        self._loop = loop
        self._max_bytes = max_bytes
        self._frames: deque[tuple[bytes, bool]] = deque()  # each with whether it may be lost
        self._wakeup = Wakeup(loop)
        self._idle_stream: PushStream | None = None  # while `run` waits for frames
        self._unwritten = b""  # what the stream did not take at once
        self._is_push_due = False  # what waits is written at the end of this turn of the loop

    def __len__(self) -> int:
        return len(self._frames)

    def put(self, frame: bytes, may_be_lost: bool = False) -> bool:
        """Queue a frame; tell whether there was room."""
        while self.queued_bytes + len(frame) > self._max_bytes and self._drop_oldest():
            pass
        if self.queued_bytes + len(frame) > self._max_bytes:
            self.dropped += 1
            return False
        self._frames.append((frame, may_be_lost))
        self.queued_bytes += len(frame)
        if self._idle_stream is None:
            self._wakeup.notify()
        elif not self._is_push_due:
            self._is_push_due = True
            self._loop.last(self._push)
        return True

    def _drop_oldest(self) -> bool:
        for position, (frame, may_be_lost) in enumerate(self._frames):
            if may_be_lost:
                del self._frames[position]
                self.queued_bytes -= len(frame)
                self.dropped += 1
                return True
        return False

    def clear(self) -> None:
        """Drop all that waits: it was for a connection that is closed."""
        self._frames.clear()
        self.queued_bytes = 0

    def run(self, stream: PushStream) -> None:
        """Write what comes until the stream breaks. Raises `StreamReset` and `DeadlineExceeded`.

        While the stream takes all at once, no task is woken for it.
        """
        self._unwritten = b""
        try:
            while True:
                while self._unwritten or self._frames:
                    data, self._unwritten = self._unwritten or self._take_batch(), b""
                    stream.write(data, WRITE_TIMEOUT_MS)
                self._idle_stream = stream
                self._wakeup.wait()
                self._idle_stream = None
        finally:
            self._idle_stream = None

    def _push(self) -> None:
        """Write what has come in this turn; leave to the task what the stream does not take at once."""
        self._is_push_due = False
        if self._idle_stream is None or not self._frames:
            return
        data = self._take_batch()
        try:
            written = self._idle_stream.push(data)
        except OSError:  # the task's own write meets it as well, and raises
            written = 0
        if written < len(data) or self._frames:
            self._unwritten = data[written:]
            self._idle_stream = None
            self._wakeup.notify()

    def _take_batch(self) -> bytes:
        """Take out as much as is written at once; there is at least one frame."""
        batch: list[bytes] = []
        size = 0
        while self._frames and (not batch or size + len(self._frames[0][0]) <= MAX_WRITE_BYTES):
            frame, _ = self._frames.popleft()
            self.queued_bytes -= len(frame)
            size += len(frame)
            batch.append(frame)
        return b"".join(batch) if len(batch) > 1 else batch[0]
