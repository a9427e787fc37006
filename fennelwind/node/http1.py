"""Parses HTTP/1.1 responses and server-sent events, incrementally and within limits. No I/O.

This parser does not use h11, which reads the same answers at a fraction of the speed
(docs/results/platform.md): if a controller has only part of a core, the CPU time per call decides how many
queries it serves. Parsing is strict, and anything invalid raises `MalformedResponseError`: a lenient parser
would accept a damaged head as an answer.
"""

import re
from dataclasses import dataclass

from fennelwind.node.wire_names import (
    DID_NOT_RUN_HEADER,
    LOAD_REPORT_HEADER,
    PAGE_COUNT_HEADER,
    PAGE_NUMBER_HEADER,
)

MAX_HEAD_BYTES = 8192  # bytes of one head; the heads of executors' responses have about 200
MAX_HEADERS = 100  # of one head; each takes a hundred bytes or more in memory, however short it is
# Bytes of all 1xx heads before one response or event stream; a server sends few of them, if any.
MAX_INTERIM_BYTES = MAX_HEAD_BYTES
MAX_BODY_BYTES = 16384  # bytes of one body; a page has at most 6,000
MAX_CHUNK_LINE_BYTES = 64  # bytes of the line with a chunk's size
MAX_EVENT_BYTES = (
    1_048_576  # bytes of memory of one event; a full list of hundreds of executors is far shorter
)
MAX_QUOTED_BYTES = 40  # bytes of malformed input that an error message includes
# Headers that may occur only once: two headers of one name could contradict each other.
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
COMPLETE_STATUS_LINE = re.compile(STATUS_LINE.pattern + rb"\r\n")
HEADER_NAME = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
HEADER_VALUE = re.compile(rb"[\t\x20-\x7e\x80-\xff]*")
CONTENT_LENGTH = re.compile(rb"[0-9]{1,9}")
CHUNK_SIZE = re.compile(rb"[0-9A-Fa-f]{1,7}")


class MalformedResponseError(Exception):
    """The input is not a valid HTTP response; the connection can't be used any more."""


@dataclass(slots=True)
class Response:
    """An HTTP response, or only its head while the body is incomplete."""

    status: int
    headers: dict[bytes, bytes]  # names in lower case
    body: bytes = b""
    is_reusable: bool = True  # true if the response's connection may be used for another call
    is_last: bool = False  # true if the server closes the connection after the response
    # What followed the body in the same read. Bytes that don't begin another response may be the rest of a
    # body whose stated length is too short.
    has_excess: bool = False
    is_followed_by_response: bool = False


def parse_head(raw: bytes) -> Response:
    """Parse a response head without the empty line that ends it. Raises `MalformedResponseError`."""
    status_line, *lines = raw.split(b"\r\n")
    found = STATUS_LINE.fullmatch(status_line)
    if found is None:
        raise MalformedResponseError(f"invalid status line: {status_line[:MAX_QUOTED_BYTES]!r}")
    if len(lines) > MAX_HEADERS:
        raise MalformedResponseError(f"{len(lines)} headers")
    headers: dict[bytes, bytes] = {}
    for line in lines:
        name, colon, value = line.partition(b":")
        name, value = name.lower(), value.strip(b" \t")
        if not colon or HEADER_NAME.fullmatch(name) is None or HEADER_VALUE.fullmatch(value) is None:
            raise MalformedResponseError(f"invalid header: {line[:MAX_QUOTED_BYTES]!r}")
        if name in headers and name in SINGLE_HEADERS:
            raise MalformedResponseError(f"duplicate header {name[:MAX_QUOTED_BYTES]!r}")
        headers[name] = value
    return Response(int(found[1]), headers)


def split_head(data: bytes) -> tuple[Response | None, bytes]:
    """Split off the head; return it, or None while it is incomplete, and the remaining bytes.

    Raises `MalformedResponseError`.
    """
    end = data.find(b"\r\n\r\n", 0, MAX_HEAD_BYTES)
    if end >= 0:
        return parse_head(data[:end]), data[end + 4 :]
    if len(data) >= MAX_HEAD_BYTES:
        raise MalformedResponseError("head is too large")
    if not b"HTTP/1.1 ".startswith(data[:9]):
        raise MalformedResponseError(f"invalid status line: {data[:MAX_QUOTED_BYTES]!r}")
    return None, data


class HeadReader:
    """Parses the head of a final response, and skips the 1xx responses before it."""

    def __init__(self) -> None:
        self.had_interim = False  # a 1xx response came before some final one
        self.head_count = 0  # valid heads parsed so far
        self._interim_bytes = 0  # of the 1xx heads since the last final head

    def read(self, data: bytes) -> tuple[Response | None, bytes]:
        """Return the head, or None while it is incomplete, and the bytes that follow what was parsed.

        Raises `MalformedResponseError`, also if the 1xx heads are larger than `MAX_INTERIM_BYTES`: without
        this limit a peer could send them for ever, and its caller would never get a response to judge.
        """
        while True:
            size = len(data)
            head, data = split_head(data)
            if head is None:
                return None, data
            self.head_count += 1
            if head.status >= 200:
                self._interim_bytes = 0
                return head, data
            if head.status == 101:
                raise MalformedResponseError("unrequested protocol upgrade")
            self.had_interim = True
            self._interim_bytes += size - len(data)
            if self._interim_bytes > MAX_INTERIM_BYTES:
                raise MalformedResponseError("1xx responses are too large")


class ResponseReader:
    """Parses the bytes of one connection into responses, one for each call."""

    def __init__(self) -> None:
        self._data = b""
        self._head: Response | None = None
        self._content_length = 0  # bytes of the body if it is not chunked
        self._chunks: ChunkReader | None = None
        self._body = bytearray()  # what has arrived of a chunked body
        self._heads = HeadReader()

    @property
    def is_between_responses(self) -> bool:
        """Return whether no part of a further response has arrived."""
        return self._head is None and not self._data

    @property
    def head_count(self) -> int:
        """Return the number of valid heads parsed so far, also those of incomplete responses."""
        return self._heads.head_count

    def feed(self, data: bytes) -> Response | None:
        """Parse further bytes; return the response if complete. Raises `MalformedResponseError`."""
        self._data += data
        if self._head is None:
            head, self._data = self._heads.read(self._data)
            if head is None:
                return None
            self._begin_body(head)
        assert self._head is not None, "the head has been parsed"
        return self._read_body(self._head)

    def _begin_body(self, head: Response) -> None:
        length, transfer_coding = head.headers.get(b"content-length"), head.headers.get(b"transfer-encoding")
        if transfer_coding is not None:
            if transfer_coding.lower() != b"chunked" or length is not None:
                raise MalformedResponseError(
                    f"unsupported transfer coding {transfer_coding[:MAX_QUOTED_BYTES]!r}"
                )
            self._chunks = ChunkReader(MAX_BODY_BYTES)
        elif head.status in (204, 304):
            if length not in (None, b"0"):
                raise MalformedResponseError("content length of a response that has no body")
            self._content_length = 0
        elif length is None or CONTENT_LENGTH.fullmatch(length) is None or int(length) > MAX_BODY_BYTES:
            raise MalformedResponseError(f"invalid content length {(length or b'none')[:MAX_QUOTED_BYTES]!r}")
        else:
            self._content_length = int(length)
        self._head = head

    def _read_body(self, head: Response) -> Response | None:
        if self._chunks is not None:
            self._body += b"".join(self._chunks.feed(self._data))
            self._data = b""
            if not self._chunks.has_ended:
                return None
            head.body, rest = bytes(self._body), self._chunks.rest
        else:
            length = self._content_length
            if len(self._data) < length:
                return None
            head.body, rest = self._data[:length], self._data[length:]
        head.is_last = head.headers.get(b"connection", b"").lower() == b"close"
        head.is_reusable = not head.is_last and not rest and not self._heads.had_interim
        head.is_followed_by_response = COMPLETE_STATUS_LINE.match(rest) is not None
        head.has_excess = bool(rest) and not head.is_followed_by_response
        self._data, self._head, self._chunks, self._body = b"", None, None, bytearray()
        return head


class ChunkReader:
    """Decodes a chunked body of at most `max_bytes`; 0 means unlimited, for an event stream."""

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.total_bytes = 0
        self.has_ended = False
        self.rest = b""  # bytes that follow the body
        self._data = b""
        self._chunk_bytes_left = 0  # bytes of the current chunk that are still to come
        self._is_line_end_due = False  # true if the line end after a chunk is still to come
        self._is_last_chunk = False

    def feed(self, data: bytes, pieces: list[bytes] | None = None) -> list[bytes]:
        """Decode further bytes; append the parts of the body to `pieces` and return it.

        Raises `MalformedResponseError`; `pieces` then has the parts that precede the error.
        """
        self._data += data
        pieces = [] if pieces is None else pieces
        has_progressed = True
        while has_progressed and not self.has_ended:
            if self._chunk_bytes_left:
                has_progressed = self._read_chunk_data(pieces)
            elif self._is_line_end_due:
                has_progressed = self._read_line_end()
            else:
                has_progressed = self._read_size()
        return pieces

    def _read_chunk_data(self, pieces: list[bytes]) -> bool:
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
            raise MalformedResponseError("chunk without line end, or unsupported trailers")
        self._data, self._is_line_end_due = self._data[2:], False
        if self._is_last_chunk:
            self.has_ended, self.rest, self._data = True, self._data, b""
        return True

    def _read_size(self) -> bool:
        end = self._data.find(b"\r\n", 0, MAX_CHUNK_LINE_BYTES)
        if end < 0:
            if len(self._data) >= MAX_CHUNK_LINE_BYTES:
                raise MalformedResponseError("chunk size line is too long")
            return False
        size = self._data[:end].split(b";")[0].strip()
        if CHUNK_SIZE.fullmatch(size) is None:
            raise MalformedResponseError(f"invalid chunk size {size[:20]!r}")
        self._chunk_bytes_left, self._is_line_end_due = int(size, 16), True
        self._is_last_chunk = not self._chunk_bytes_left
        self._data = self._data[end + 2 :]
        self.total_bytes += self._chunk_bytes_left
        if self.max_bytes and self.total_bytes > self.max_bytes:
            raise MalformedResponseError("body is too large")
        return True


@dataclass(slots=True, frozen=True)
class ServerEvent:
    """A server-sent event; `number` is None if it has no id, `data` is empty for a comment."""

    number: int | None
    data: str = ""


class EventReader:
    """Parses the bytes of one connection into a response head and then server-sent events."""

    def __init__(self) -> None:
        self.head: Response | None = None
        self.error: MalformedResponseError | None = None  # set if malformed input followed events
        self._heads = HeadReader()
        self._head_data = b""
        self._partial_line = b""
        self._chunks: ChunkReader | None = None
        self._body_bytes_left: int | None = None  # None if the response has no content length
        self._event_number: int | None = None
        self._event_lines: list[str] = []
        self._event_bytes = 0

    @property
    def has_ended(self) -> bool:
        """Return whether the body has ended or can't be parsed any further."""
        return (
            self._chunks is not None
            and self._chunks.has_ended
            or self._body_bytes_left == 0
            or self.error is not None
        )

    def feed(self, data: bytes) -> list[ServerEvent]:
        """Parse further bytes; return the events that they complete.

        Raises `MalformedResponseError` for malformed input if no event precedes it, else sets `error`.
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
            head, self._head_data = self._heads.read(self._head_data + data)
            if head is None:
                return
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
            raise MalformedResponseError(f"unexpected status {head.status}")
        transfer_coding, length = head.headers.get(b"transfer-encoding"), head.headers.get(b"content-length")
        if transfer_coding is not None:
            if transfer_coding.lower() != b"chunked":
                raise MalformedResponseError(
                    f"unsupported transfer coding {transfer_coding[:MAX_QUOTED_BYTES]!r}"
                )
            self._chunks = ChunkReader(0)
        elif length is not None:
            if CONTENT_LENGTH.fullmatch(length) is None:
                raise MalformedResponseError(f"invalid content length {length[:MAX_QUOTED_BYTES]!r}")
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
                if not events or events[-1].data:  # comments in a row have no more effect than one
                    events.append(ServerEvent(None))
            elif name == "data":
                self._event_lines.append(value)
                self._event_bytes += value.__sizeof__()
                if self._event_bytes > MAX_EVENT_BYTES:
                    raise MalformedResponseError("event is too large")
            elif name == "id" and value.isascii() and value.isdecimal() and len(value) < 19:
                self._event_number = int(value)
        if len(self._partial_line) > MAX_EVENT_BYTES:
            raise MalformedResponseError("event line is too long")
