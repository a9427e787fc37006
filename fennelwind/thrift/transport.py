"""Transports of messages: buffered, framed, and SASL with PLAIN; client and server side, without I/O.

`receive` takes received bytes and returns the messages that they complete; bytes that the transport itself
has to send are in `outgoing`.
The layouts are those of Apache Thrift's `TBufferedTransport`, `TFramedTransport` and `TSaslTransport`.
"""

from struct import Struct
from typing import NamedTuple

from fennelwind.thrift.codec import Incomplete, Malformed, Structure
from fennelwind.thrift.messages import CALL, Message, MessageScanner, read_message, write_message

MAX_REQUEST_BYTES = 16 * 1024 * 1024  # some tools generate statements of several megabytes
MAX_REPLY_BYTES = 128 * 1024 * 1024  # the largest replies are pages of rows
MAX_UNSCANNED_BYTES = 65536  # buffered bytes that are decoded as one message before scanning
MAX_SASL_STEP_BYTES = 65536  # bytes of one message of a SASL negotiation
BUFFERED, FRAMED, SASL = "buffered", "framed", "sasl"
START, OK, BAD, ERROR, COMPLETE = 1, 2, 3, 4, 5  # SASL's negotiation statuses
_length = Struct(">i")
_step = Struct(">Bi")


class Login(NamedTuple):
    """A client's user name and password, sent by SASL PLAIN (RFC 4616)."""

    user: str
    password: str


class _ReceiveBuffer:
    """Received bytes that are not consumed yet, split into messages."""

    def __init__(self, max_message_bytes: int) -> None:
        self.max_message_bytes, self.is_framed = max_message_bytes, False
        self.buf = bytearray()
        self._scanner = MessageScanner(max_message_bytes)
        self._is_scanning = False

    def next(self) -> Message | None:
        """Consume and return the next complete message, or None if there is none yet."""
        return self._next_framed() if self.is_framed else self._next_unframed()

    def _next_framed(self) -> Message | None:
        buf = self.buf
        if len(buf) < 4:
            return None
        (size,) = _length.unpack_from(buf)
        if not 0 < size <= self.max_message_bytes:
            raise Malformed(f"a frame of {size} bytes, where 1 to {self.max_message_bytes} are taken")
        if len(buf) < 4 + size:
            return None
        message = self._decode(bytes(memoryview(buf)[4 : 4 + size]), size)
        del buf[: 4 + size]
        return message

    def _next_unframed(self) -> Message | None:
        buf = self.buf
        if not buf:
            return None
        if (
            not self._is_scanning
        ):  # nearly every message arrives complete: decode it, and scan for its end only if not
            try:
                message, end = read_message(
                    bytes(buf) if len(buf) <= MAX_UNSCANNED_BYTES else bytes(buf[:MAX_UNSCANNED_BYTES])
                )
            except Incomplete:
                self._is_scanning = True
            else:
                del buf[:end]
                return message
        size = self._scanner.scan(buf)
        if size is None:
            return None
        if size > self.max_message_bytes:
            raise Malformed(f"a message of over {self.max_message_bytes} bytes")
        message = self._decode(bytes(memoryview(buf)[:size]), size)
        del buf[:size]
        self._scanner.reset()
        self._is_scanning = False
        return message

    @staticmethod
    def _decode(raw: bytes, size: int) -> Message:
        try:
            message, end = read_message(raw)
        except Incomplete:
            raise Malformed("a message that ends early") from None
        if end != size:
            raise Malformed(f"{size - end} bytes behind a message")
        return message


class ServerSide:
    """The server's side of a connection; detects the transport by the first bytes.

    `receive` returns messages and at most one `Login`. After a `Login`, `accept_login` or `reject` has to be
    called before `receive` is called again.
    """

    def __init__(self, max_message_bytes: int = MAX_REQUEST_BYTES) -> None:
        self.transport: str | None = None
        self.outgoing = bytearray()
        self._received = _ReceiveBuffer(max_message_bytes)
        self._is_negotiating = False
        self._is_plain_chosen = False

    def receive(self, data: bytes) -> list[Message | Login]:
        """Take received bytes; return the complete messages. After `Malformed`, the side is unusable."""
        received = self._received
        received.buf += data
        if self.transport is None and not self._detect_transport():
            return []
        events: list[Message | Login] = []
        if self._is_negotiating:
            login = self._negotiate()
            return events if login is None else [login]
        while (message := received.next()) is not None:
            events.append(message)
        return events

    def _detect_transport(self) -> bool:
        """Detect the transport: SASL starts with status START, a strict message with its version."""
        buf = self._received.buf
        if buf[0] == START:
            self.transport, self._is_negotiating = SASL, True
        elif buf[0] & 0x80:
            self.transport = BUFFERED
        elif len(buf) < 5:
            return False
        else:  # the length of a frame, or, in an old header, of the method's name, whose first letter follows
            self.transport = BUFFERED if 0x41 <= buf[4] <= 0x7A else FRAMED
        self._received.is_framed = self.transport != BUFFERED
        return True

    def _negotiate(self) -> Login | None:
        buf = self._received.buf
        while len(buf) >= 5:
            status, size = _step.unpack_from(buf)
            if not 0 <= size <= MAX_SASL_STEP_BYTES:
                raise Malformed(f"invalid SASL message length: {size} bytes (at most {MAX_SASL_STEP_BYTES})")
            if len(buf) < 5 + size:
                return None
            payload = bytes(buf[5 : 5 + size])
            del buf[: 5 + size]
            if status == START and not self._is_plain_chosen:
                if payload != b"PLAIN":
                    self.reject("only the SASL mechanism PLAIN is spoken here")
                    raise Malformed(f"SASL mechanism {payload[:20]!r}")
                self._is_plain_chosen = True
            elif status in (OK, COMPLETE) and self._is_plain_chosen:
                parts = payload.split(b"\0")
                if len(parts) != 3:
                    self.reject("a PLAIN message has three parts")
                    raise Malformed(f"a PLAIN message has {len(parts)} parts, expected 3")
                return Login(parts[1].decode("utf-8", "replace"), parts[2].decode("utf-8", "replace"))
            else:
                raise Malformed(f"SASL status {status} out of turn")
        return None

    def accept_login(self) -> list[Message | Login]:
        """Accept the login; return the messages that were received after it."""
        self.outgoing += _step.pack(COMPLETE, 0)
        self._is_negotiating = False
        return self.receive(b"")

    def reject(self, reason: str) -> None:
        """Reject the login, with a reason for the client's user."""
        raw = reason.encode()
        self.outgoing += _step.pack(BAD, len(raw)) + raw

    def wrap(self, payload: bytes) -> bytes:
        """Return a message's bytes, framed for this transport."""
        return payload if self.transport == BUFFERED else _length.pack(len(payload)) + payload

    @property
    def unconsumed_bytes(self) -> int:
        """Number of received bytes that are not consumed yet."""
        return len(self._received.buf)


class ClientSide:
    """The client's side of a connection."""

    def __init__(
        self,
        transport: str = SASL,
        user: str = "",
        password: str = "",
        max_message_bytes: int = MAX_REPLY_BYTES,
    ) -> None:
        if transport not in (BUFFERED, FRAMED, SASL):
            raise ValueError(f"no transport: {transport!r}")
        self.transport = transport
        self.outgoing = bytearray()
        self.ready = transport != SASL  # whether calls may be sent
        self._received = _ReceiveBuffer(max_message_bytes)
        self._received.is_framed = transport != BUFFERED
        self._sequence = 0
        if transport == SASL:
            credentials = b"\0" + user.encode() + b"\0" + password.encode()
            self.outgoing += _step.pack(START, 5) + b"PLAIN" + _step.pack(OK, len(credentials)) + credentials

    def receive(self, data: bytes) -> list[Message]:
        """Parse received bytes; return the complete replies. After `Malformed`, this object is unusable."""
        received = self._received
        received.buf += data
        if not self.ready and not self._negotiate():
            return []
        replies = []
        while (message := received.next()) is not None:
            replies.append(message)
        return replies

    def _negotiate(self) -> bool:
        buf = self._received.buf
        while len(buf) >= 5 and not self.ready:
            status, size = _step.unpack_from(buf)
            if not 0 <= size <= MAX_SASL_STEP_BYTES:
                raise Malformed(f"invalid SASL message length: {size} bytes (at most {MAX_SASL_STEP_BYTES})")
            if len(buf) < 5 + size:
                return False
            payload = bytes(buf[5 : 5 + size])
            del buf[: 5 + size]
            if status in (BAD, ERROR):
                raise Malformed(f"turned away: {payload[:200].decode('utf-8', 'replace')}")
            if status not in (OK, COMPLETE):
                raise Malformed(f"SASL status {status} out of turn")
            self.ready = status == COMPLETE
        return self.ready

    @property
    def unconsumed_bytes(self) -> int:
        """Number of received bytes that are not consumed yet."""
        return len(self._received.buf)

    def call(self, method: str, request: Structure) -> tuple[int, bytes]:
        """Return a call's sequence id and its bytes, framed for this transport."""
        self._sequence = (self._sequence + 1) & 0x7FFFFFFF
        payload = write_message(method, CALL, self._sequence, request)
        if self.transport != BUFFERED:
            payload = _length.pack(len(payload)) + payload
        return self._sequence, payload
