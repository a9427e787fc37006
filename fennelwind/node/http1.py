"""HTTP/1.1 as the calling side, and server-sent events; incremental and bounded, without I/O.

A parser of our own: h11 reads the same answers at a fraction of the speed (docs/results/platform.md), and
with part of a core the cost of a call decides how many queries are served. What is no answer in the strict
sense is `MalformedResponseError`: whoever reads a damaged head leniently takes noise for an answer.
"""

import re
from dataclasses import dataclass

from fennelwind.node.wire_names import (
    DID_NOT_RUN_HEADER,
    LOAD_REPORT_HEADER,
    PAGE_COUNT_HEADER,
    PAGE_NUMBER_HEADER,
)

MAX_HEAD_BYTES = 8192  # bytes of one head; executors' heads have some 200
MAX_BODY_BYTES = 65536  # bytes of one body; a page has 6,000 at most
MAX_CHUNK_LINE_BYTES = 64  # bytes of the line that tells a chunk's size
MAX_EVENT_BYTES = 1_048_576  # bytes of one event; a full list of hundreds of executors is far smaller
MAX_QUOTED_BYTES = 40  # bytes of what is malformed that a message shows
# Headers that may come once: two of one of these can't both hold.
SINGLE_HEADERS = frozenset(
    (
        b"content-length",
        b"transfer-encoding",
        b"connection",
        PAGE_COUNT_HEADER,
        PAGE_NUMBER_HEADER,
        LOAD_REPORT_HEADER,
        DID_NOT_RUN_HEADER,
    )
)
STATUS_LINE = re.compile(rb"HTTP/1\.1 ([1-5][0-9][0-9])(?: [\x20-\x7e]*)?")
HEADER_NAME = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
HEADER_VALUE = re.compile(rb"[\t\x20-\x7e\x80-\xff]*")
CONTENT_LENGTH = re.compile(rb"[0-9]{1,9}")
CHUNK_SIZE = re.compile(rb"[0-9A-Fa-f]{1,7}")


class MalformedResponseError(Exception):
    """What came is no HTTP response; the connection is of no further use."""


@dataclass(slots=True)
class Response:
    """A response."""

    status: int
    headers: dict[bytes, bytes]  # names in lower case
    body: bytes = b""
    is_reusable: bool = True  # nothing about its connection was out of order so far


def parse_head(raw: bytes) -> Response:
    """Parse a head without its last empty line. Raises `MalformedResponseError`."""
    first, *lines = raw.split(b"\r\n")
    found = STATUS_LINE.fullmatch(first)
    if found is None:
        raise MalformedResponseError(f"no status line: {first[:MAX_QUOTED_BYTES]!r}")
    headers: dict[bytes, bytes] = {}
    for line in lines:
        name, colon, value = line.partition(b":")
        name, value = name.lower(), value.strip(b" \t")
        if not colon or HEADER_NAME.fullmatch(name) is None or HEADER_VALUE.fullmatch(value) is None:
            raise MalformedResponseError(f"no header: {line[:MAX_QUOTED_BYTES]!r}")
        if name in headers and name in SINGLE_HEADERS:
            raise MalformedResponseError(f"header {name[:MAX_QUOTED_BYTES]!r} twice")
        headers[name] = value
    return Response(int(found[1]), headers)


def take_head(data: bytes) -> tuple[Response | None, bytes]:
    """Return the head that the bytes begin with, None while it is incomplete, and the rest.

    Raises `MalformedResponseError`.
    """
    end = data.find(b"\r\n\r\n", 0, MAX_HEAD_BYTES)
    if end >= 0:
        return parse_head(data[:end]), data[end + 4 :]
    if len(data) >= MAX_HEAD_BYTES:
        raise MalformedResponseError("a head without an end")
    if not b"HTTP/1.1 ".startswith(data[:9]):
        raise MalformedResponseError(f"no status line: {data[:MAX_QUOTED_BYTES]!r}")
    return None, data


class ResponseReader:
    """Turns the bytes of one connection into responses, one for each call."""

    def __init__(self) -> None:
        self._data = b""
        self._head: Response | None = None
        self._content_length = 0  # bytes of the body, where it is not chunked
        self._chunks: ChunkReader | None = None
        self._body: list[bytes] = []
        self._had_interim = False  # a 1xx response came before: not asked for, so not to be trusted further

    def feed(self, data: bytes) -> Response | None:
        """Take some bytes; return the response once it is complete. Raises `MalformedResponseError`."""
        self._data += data
        while self._head is None:
            head, self._data = take_head(self._data)
            if head is None:
                return None
            if head.status < 200:
                if head.status == 101:
                    raise MalformedResponseError("an upgrade that nobody asked for")
                self._had_interim = True
                continue
            self._begin_body(head)
        return self._read_body(self._head)

    def _begin_body(self, head: Response) -> None:
        length, coding = head.headers.get(b"content-length"), head.headers.get(b"transfer-encoding")
        if coding is not None:
            if coding.lower() != b"chunked" or length is not None:
                raise MalformedResponseError(f"a body coded {coding[:MAX_QUOTED_BYTES]!r}")
            self._chunks = ChunkReader(MAX_BODY_BYTES)
        elif head.status in (204, 304):
            if length not in (None, b"0"):
                raise MalformedResponseError("a length where there is no body")
            self._content_length = 0
        elif length is None or CONTENT_LENGTH.fullmatch(length) is None or int(length) > MAX_BODY_BYTES:
            raise MalformedResponseError(f"a body of length {(length or b'none')[:MAX_QUOTED_BYTES]!r}")
        else:
            self._content_length = int(length)
        self._head = head

    def _read_body(self, head: Response) -> Response | None:
        if self._chunks is not None:
            self._body += self._chunks.feed(self._data)
            self._data = b""
            if not self._chunks.has_ended:
                return None
            head.body, rest = b"".join(self._body), self._chunks.rest
        else:
            length = self._content_length
            if len(self._data) < length:
                return None
            head.body, rest = self._data[:length], self._data[length:]
        keeps_alive = head.headers.get(b"connection", b"").lower() != b"close"
        head.is_reusable = keeps_alive and not rest and not self._had_interim
        self._data, self._head, self._chunks, self._body = b"", None, None, []
        return head


class ChunkReader:
    """Decodes a chunked body of `max_bytes` at most; 0: no bound, for a stream of events."""

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.total_bytes = 0
        self.has_ended = False
        self.rest = b""  # what came after the body's end
        self._data = b""
        self._chunk_bytes_left = 0  # of the present chunk, still to come
        self._is_line_end_due = False  # the line end behind a chunk is still to come
        self._is_last_chunk = False

    def feed(self, data: bytes, pieces: list[bytes] | None = None) -> list[bytes]:
        """Take some bytes; add what they hold of the body to the pieces, and return those.

        Raises `MalformedResponseError`; the pieces then hold what came before.
        """
        self._data += data
        pieces = [] if pieces is None else pieces
        has_progressed = True
        while has_progressed and not self.has_ended:
            if self._chunk_bytes_left:
                has_progressed = self._read_piece(pieces)
            elif self._is_line_end_due:
                has_progressed = self._read_line_end()
            else:
                has_progressed = self._read_size()
        return pieces

    def _read_piece(self, pieces: list[bytes]) -> bool:
        piece = self._data[: self._chunk_bytes_left]
        if not piece:
            return False
        pieces.append(piece)
        self._chunk_bytes_left -= len(piece)
        self._data = self._data[len(piece) :]
        return True

    def _read_line_end(self) -> bool:
        if len(self._data) < 2:
            return False
        if self._data[:2] != b"\r\n":
            raise MalformedResponseError("a chunk that does not end, or trailers")
        self._data, self._is_line_end_due = self._data[2:], False
        if self._is_last_chunk:
            self.has_ended, self.rest, self._data = True, self._data, b""
        return True

    def _read_size(self) -> bool:
        end = self._data.find(b"\r\n", 0, MAX_CHUNK_LINE_BYTES)
        if end < 0:
            if len(self._data) >= MAX_CHUNK_LINE_BYTES:
                raise MalformedResponseError("a chunk without a size")
            return False
        size = self._data[:end].split(b";")[0].strip()
        if CHUNK_SIZE.fullmatch(size) is None:
            raise MalformedResponseError(f"a chunk of size {size[:20]!r}")
        self._chunk_bytes_left, self._is_line_end_due = int(size, 16), True
        self._is_last_chunk = not self._chunk_bytes_left
        self._data = self._data[end + 2 :]
        self.total_bytes += self._chunk_bytes_left
        if self.max_bytes and self.total_bytes > self.max_bytes:
            raise MalformedResponseError("a body that is too large")
        return True


@dataclass(slots=True, frozen=True)
class ServerEvent:
    """One event; `number` is None if it states none, `data` is empty for a comment."""

    number: int | None
    data: str = ""


class EventReader:
    """Turns the bytes of one connection into a head and then server-sent events."""

    def __init__(self) -> None:
        self.head: Response | None = None
        self.error: MalformedResponseError | None = None  # what came after complete events
        self._head_data = b""
        self._partial_line = b""
        self._chunks: ChunkReader | None = None
        self._body_bytes_left: int | None = None  # where the response states a length
        self._event_number: int | None = None
        self._event_lines: list[str] = []
        self._event_bytes = 0

    @property
    def has_ended(self) -> bool:
        """Tell whether nothing more follows, or nothing that could be read."""
        return (
            self._chunks is not None
            and self._chunks.has_ended
            or self._body_bytes_left == 0
            or self.error is not None
        )

    def feed(self, data: bytes) -> list[ServerEvent]:
        """Take some bytes; return the events that are complete now.

        Raises `MalformedResponseError`, if there are none.
        """
        events: list[ServerEvent] = []
        try:
            self._feed(data, events)
        except MalformedResponseError as exc:
            if not events:
                raise
            self.error = exc
        return events

    def _feed(self, data: bytes, events: list[ServerEvent]) -> None:
        if self.head is None:
            self._head_data += data
            while self.head is None:
                head, self._head_data = take_head(self._head_data)
                if head is None:
                    return
                if head.status >= 200:
                    self._begin_body(head)
            data, self._head_data = self._head_data, b""
        if self._chunks is not None:
            pieces: list[bytes] = []
            try:
                self._chunks.feed(data, pieces)
            finally:
                self._read_lines(b"".join(pieces), events)
            return
        if self._body_bytes_left is not None:
            data = data[: self._body_bytes_left]
            self._body_bytes_left -= len(data)
        self._read_lines(data, events)

    def _begin_body(self, head: Response) -> None:
        if head.status != 200:
            raise MalformedResponseError(f"status {head.status}")
        coding, length = head.headers.get(b"transfer-encoding"), head.headers.get(b"content-length")
        if coding is not None:
            if coding.lower() != b"chunked":
                raise MalformedResponseError(f"a body coded {coding[:MAX_QUOTED_BYTES]!r}")
            self._chunks = ChunkReader(0)
        elif length is not None:
            if CONTENT_LENGTH.fullmatch(length) is None:
                raise MalformedResponseError(f"a body of length {length[:MAX_QUOTED_BYTES]!r}")
            self._body_bytes_left = int(length)
        self.head = head

    def _read_lines(self, data: bytes, events: list[ServerEvent]) -> None:
        self._partial_line += data
        *lines, self._partial_line = self._partial_line.split(b"\n")
        for raw in lines:
            line = raw.removesuffix(b"\r").decode("utf-8", "replace")
            if not line:
                if self._event_lines:
                    events.append(ServerEvent(self._event_number, "\n".join(self._event_lines)))
                self._event_number, self._event_lines, self._event_bytes = None, [], 0
                continue
            name, _, value = line.partition(":")
            value = value.removeprefix(" ")
            if not name:
                events.append(ServerEvent(None))
            elif name == "data":
                self._event_lines.append(value)
                self._event_bytes += len(value) + 1
                if self._event_bytes > MAX_EVENT_BYTES:
                    raise MalformedResponseError("an event that is too large")
            elif name == "id" and value.isascii() and value.isdecimal() and len(value) < 19:
                self._event_number = int(value)
        if len(self._partial_line) > MAX_EVENT_BYTES:
            raise MalformedResponseError("a line without an end")
