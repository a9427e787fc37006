"""Length-prefixed protobuf frames: read with a limit on their size, written from a bounded queue."""

import struct
from collections import deque
from typing import TypeVar

from google.protobuf.message import DecodeError, Message

from fennelwind.cluster import keeper_pb2 as pb
from fennelwind.cluster.errors import InvalidFrameError
from fennelwind.cluster.wakeup import Wakeup
from fennelwind.loop import Loop, Stream
from fennelwind.loop.streams import PushStream

MAX_HELLO_BYTES = 1024  # limit for a hello: names are short, and the sender is not identified yet
MAX_FRAME_BYTES = 2 * 1024 * 1024  # an append holds 512 KiB and at least one command of 256 KiB
MAX_QUEUED_BYTES = 4 * 1024 * 1024  # per stream; twice the largest frame
MAX_WRITE_BYTES = 256 * 1024  # per write to the stream
WRITE_TIMEOUT_MS = 5000.0  # ms for a peer to accept some bytes; after that the peer counts as disconnected
LENGTH = struct.Struct(">I")  # at the start of each frame: the number of bytes that follow

ParsedMessage = TypeVar("ParsedMessage", bound=Message)


def encode_frame(message: Message) -> bytes:
    """Return the frame for a message: its length in four bytes, then the serialized message."""
    data = message.SerializeToString()
    return LENGTH.pack(len(data)) + data


class FrameReader:
    """Reads frames from a stream. The buffer never holds more than one frame and one read."""

    def __init__(self, stream: Stream) -> None:
        self._stream = stream
        self._buffer = bytearray()

    def hello(self) -> pb.Hello | None:
        """Return the first frame; None at the stream's end. Raises `InvalidFrameError` and `StreamReset`."""
        return _parse(pb.Hello, self._read(MAX_HELLO_BYTES))

    def frame(self) -> pb.Frame | None:
        """Return the next frame; None at the stream's end. Raises `InvalidFrameError` and `StreamReset`."""
        return _parse(pb.Frame, self._read(MAX_FRAME_BYTES))

    def _read(self, max_bytes: int) -> bytes | None:
        if not self._fill(LENGTH.size):
            return None
        size = LENGTH.unpack_from(self._buffer)[0]
        if size > max_bytes:
            raise InvalidFrameError(
                f"a frame of {size} bytes exceeds the limit of {max_bytes}", size=size, most=max_bytes
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
    """The queue of frames to be written to one peer.

    When the queue is full, the oldest frames that may be lost are dropped to make room. If that is not
    enough, the new frame is rejected, and the caller decides whether to close the connection.
    """

    def __init__(self, loop: Loop, max_bytes: int = MAX_QUEUED_BYTES) -> None:
        self.queued_bytes = 0
        self.dropped = 0
        self._loop = loop
        self._max_bytes = max_bytes
        self._frames: deque[tuple[bytes, bool]] = deque()  # each frame, and whether it may be lost
        self._wakeup = Wakeup(loop)
        self._idle_stream: PushStream | None = None  # set only while `run` waits for frames
        self._unwritten = b""  # data that the stream did not accept at once
        self._is_push_due = False  # whether `_push` will run at the end of this iteration of the loop

    def __len__(self) -> int:
        return len(self._frames)

    def put(self, frame: bytes, may_be_lost: bool = False) -> bool:
        """Queue a frame; return False if there was no room and the frame was rejected."""
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
        for index, (frame, may_be_lost) in enumerate(self._frames):
            if may_be_lost:
                del self._frames[index]
                self.queued_bytes -= len(frame)
                self.dropped += 1
                return True
        return False

    def clear(self) -> None:
        """Drop all queued frames, which were for a connection that is closed."""
        self._frames.clear()
        self.queued_bytes = 0

    def run(self, stream: PushStream) -> None:
        """Write queued frames until the stream breaks. Raises `StreamReset` and `DeadlineExceeded`.

        While the stream accepts all data at once, frames are written without waking this task.
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
        """Write the frames queued in this iteration; `run` writes what the stream does not accept."""
        self._is_push_due = False
        if self._idle_stream is None or not self._frames:
            return
        data = self._take_batch()
        try:
            written = self._idle_stream.push(data)
        except OSError:  # the write in `run` fails in the same way, and raises the error
            written = 0
        if written < len(data) or self._frames:
            self._unwritten = data[written:]
            self._idle_stream = None
            self._wakeup.notify()

    def _take_batch(self) -> bytes:
        """Dequeue the frames for one write and return them joined; the queue must not be empty."""
        batch: list[bytes] = []
        size = 0
        while self._frames and (not batch or size + len(self._frames[0][0]) <= MAX_WRITE_BYTES):
            frame, _ = self._frames.popleft()
            self.queued_bytes -= len(frame)
            size += len(frame)
            batch.append(frame)
        return b"".join(batch) if len(batch) > 1 else batch[0]
