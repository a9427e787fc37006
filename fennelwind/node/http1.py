"""HTTP/1.1 as the calling side, and server-sent events; incremental and bounded, without I/O.

A parser of our own: h11 reads the same answers at a fraction of the speed (docs/results/platform.md), and
with part of a core the cost of a call decides how many queries are served. What is no answer in the strict
sense is `MalformedResponseError`: whoever reads a spoilt head leniently takes noise for an answer.
"""

import re
from dataclasses import dataclass

HEAD_MOST = 8192  # bytes of one head; executors' heads have some 200
BODY_MOST = 65536  # bytes of one body; a page has 6,000 at most
CHUNK_LINE_MOST = 64  # bytes of the line that tells a chunk's size
EVENT_MOST = 1_048_576  # bytes of one event; a full list of hundreds of executors is far smaller
ONCE = frozenset(
    (
        b"content-length",
        b"transfer-encoding",
        b"connection",
        b"x-batches",
        b"x-batch",
        b"x-load",
        b"x-not-run",
    )
)  # two of one of these can't both hold
STATUS = re.compile(rb"HTTP/1\.1 ([1-5][0-9][0-9])(?: [\x20-\x7e]*)?")
NAME = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
VALUE = re.compile(rb"[\t\x20-\x7e\x80-\xff]*")
LENGTH = re.compile(rb"[0-9]{1,9}")
SIZE = re.compile(rb"[0-9A-Fa-f]{1,7}")


class MalformedResponseError(Exception):
    """What came is no answer; the connection serves no further use."""


@dataclass(slots=True)
class Response:
    """An answer; `reusable` if nothing about its connection was out of order so far."""

    status: int
    headers: dict[bytes, bytes]  # names in lower case
    body: bytes = b""
    reusable: bool = True


def parse_head(raw: bytes) -> Response:
    """Read a head without its last empty line."""
    first, *lines = raw.split(b"\r\n")
    found = STATUS.fullmatch(first)
    if found is None:
        raise MalformedResponseError(f"no status line: {first[:40]!r}")
    headers: dict[bytes, bytes] = {}
    for line in lines:
        name, colon, value = line.partition(b":")
        name, value = name.lower(), value.strip(b" \t")
        if not colon or NAME.fullmatch(name) is None or VALUE.fullmatch(value) is None:
            raise MalformedResponseError(f"no header: {line[:40]!r}")
        if name in headers and name in ONCE:
            raise MalformedResponseError(f"header {name[:40]!r} twice")
        headers[name] = value
    return Response(int(found[1]), headers)


def take_head(data: bytes) -> tuple[Response | None, bytes]:
    """Return the head that the bytes begin with, None while it is not whole, and what is left of them."""
    end = data.find(b"\r\n\r\n", 0, HEAD_MOST)
    if end >= 0:
        return parse_head(data[:end]), data[end + 4 :]
    if len(data) >= HEAD_MOST:
        raise MalformedResponseError("a head without an end")
    if not b"HTTP/1.1 ".startswith(data[:9]):
        raise MalformedResponseError(f"no status line: {data[:40]!r}")
    return None, data


class ResponseReader:
    """Turns the bytes of one connection into answers, one for each call."""

    def __init__(self) -> None:
        self._data = b""
        self._head: Response | None = None
        self._left = 0  # bytes of the body that are still to come
        self._chunks: ChunkReader | None = None
        self._body: list[bytes] = []
        self._interim = False  # a 1xx answer came before: not asked for, so not to be trusted further

    def feed(self, data: bytes) -> Response | None:
        """Take some bytes; return the answer once it is whole. Raises `MalformedResponseError`."""
        self._data += data
        while self._head is None:
            head, self._data = take_head(self._data)
            if head is None:
                return None
            if head.status < 200:
                if head.status == 101:
                    raise MalformedResponseError("an upgrade that nobody asked for")
                self._interim = True
                continue
            self._begin(head)
        return self._go_on()

    def _begin(self, head: Response) -> None:
        length, coding = head.headers.get(b"content-length"), head.headers.get(b"transfer-encoding")
        if coding is not None:
            if coding.lower() != b"chunked" or length is not None:
                raise MalformedResponseError(f"a body coded {coding[:40]!r}")
            self._chunks = ChunkReader(BODY_MOST)
        elif head.status in (204, 304):
            if length not in (None, b"0"):
                raise MalformedResponseError("a length where there is no body")
            self._left = 0
        elif length is None or LENGTH.fullmatch(length) is None or int(length) > BODY_MOST:
            raise MalformedResponseError(f"a body of length {(length or b'none')[:40]!r}")
        else:
            self._left = int(length)
        self._head = head

    def _go_on(self) -> Response | None:
        head = self._head
        if self._chunks is not None:
            self._body += self._chunks.feed(self._data)
            self._data = b""
            if not self._chunks.ended:
                return None
            head.body, rest = b"".join(self._body), self._chunks.rest
        else:
            if len(self._data) < self._left:
                return None
            head.body, rest = self._data[: self._left], self._data[self._left :]
        keep = head.headers.get(b"connection", b"").lower() != b"close"
        head.reusable = keep and not rest and not self._interim
        self._data, self._head, self._chunks, self._body = b"", None, None, []
        return head


class ChunkReader:
    """Decodes a chunked body; `most` bounds the whole, 0: endless."""

    def __init__(self, most: int) -> None:
        self.most, self.total, self.ended, self.rest = most, 0, False, b""
        self._data = b""
        self._left = 0  # bytes of the present chunk that are still to come
        self._line_due = False  # the line end behind a chunk is still to come
        self._last = False

    def feed(self, data: bytes, pieces: list[bytes] | None = None) -> list[bytes]:
        """Take some bytes; add what they hold of the body to the pieces, and return those.

        Raises `MalformedResponseError`.
        """
        self._data += data
        pieces = [] if pieces is None else pieces
        while not self.ended:
            if self._left:
                taken = self._data[: self._left]
                if not taken:
                    break
                pieces.append(taken)
                self._left -= len(taken)
                self._data = self._data[len(taken) :]
            elif self._line_due:
                if len(self._data) < 2:
                    break
                if self._data[:2] != b"\r\n":
                    raise MalformedResponseError("a chunk that does not end, or trailers")
                self._data, self._line_due = self._data[2:], False
                if self._last:
                    self.ended, self.rest, self._data = True, self._data, b""
            else:
                end = self._data.find(b"\r\n", 0, CHUNK_LINE_MOST)
                if end < 0:
                    if len(self._data) >= CHUNK_LINE_MOST:
                        raise MalformedResponseError("a chunk without a size")
                    break
                size = self._data[:end].split(b";")[0].strip()
                if SIZE.fullmatch(size) is None:
                    raise MalformedResponseError(f"a chunk of size {size[:20]!r}")
                self._left, self._line_due = int(size, 16), True
                self._last = not self._left
                self._data = self._data[end + 2 :]
                self.total += self._left
                if self.most and self.total > self.most:
                    raise MalformedResponseError("a body that is too large")
        return pieces


@dataclass(slots=True, frozen=True)
class ServerEvent:
    """One event; `number` is None if it told none, `data` is empty for a comment."""

    number: int | None
    data: str = ""


class EventReader:
    """Turns the bytes of one connection into a head and then server-sent events."""

    def __init__(self) -> None:
        self.head: Response | None = None
        self.spoilt: MalformedResponseError | None = None  # what came behind events that are whole
        self._raw = b""
        self._text = b""
        self._chunks: ChunkReader | None = None
        self._left: int | None = None  # bytes of a body whose length was told
        self._number: int | None = None
        self._data: list[str] = []
        self._size = 0

    @property
    def ended(self) -> bool:
        """Tell whether nothing more follows, or nothing that could be read."""
        return self._chunks is not None and self._chunks.ended or self._left == 0 or self.spoilt is not None

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
            self.spoilt = exc
        return events

    def _feed(self, data: bytes, events: list[ServerEvent]) -> None:
        if self.head is None:
            self._raw += data
            while self.head is None:
                head, self._raw = take_head(self._raw)
                if head is None:
                    return
                if head.status >= 200:
                    self._begin(head)
            data, self._raw = self._raw, b""
        if self._chunks is not None:
            pieces: list[bytes] = []
            try:
                self._chunks.feed(data, pieces)
            finally:
                self._lines(b"".join(pieces), events)
            return
        if self._left is not None:
            data = data[: self._left]
            self._left -= len(data)
        self._lines(data, events)

    def _begin(self, head: Response) -> None:
        if head.status != 200:
            raise MalformedResponseError(f"status {head.status}")
        coding, length = head.headers.get(b"transfer-encoding"), head.headers.get(b"content-length")
        if coding is not None:
            if coding.lower() != b"chunked":
                raise MalformedResponseError(f"a body coded {coding[:40]!r}")
            self._chunks = ChunkReader(0)
        elif length is not None:
            if LENGTH.fullmatch(length) is None:
                raise MalformedResponseError(f"a body of length {length[:40]!r}")
            self._left = int(length)
        self.head = head

    def _lines(self, data: bytes, events: list[ServerEvent]) -> None:
        self._text += data
        *lines, self._text = self._text.split(b"\n")
        for raw in lines:
            line = raw.removesuffix(b"\r").decode("utf-8", "replace")
            if not line:
                if self._data:
                    events.append(ServerEvent(self._number, "\n".join(self._data)))
                self._number, self._data, self._size = None, [], 0
                continue
            name, _, value = line.partition(":")
            value = value.removeprefix(" ")
            if not name:
                events.append(ServerEvent(None))
            elif name == "data":
                self._data.append(value)
                self._size += len(value) + 1
                if self._size > EVENT_MOST:
                    raise MalformedResponseError("an event that is too large")
            elif name == "id" and value.isascii() and value.isdecimal() and len(value) < 19:
                self._number = int(value)
        if len(self._text) > EVENT_MOST:
            raise MalformedResponseError("a line without an end")
