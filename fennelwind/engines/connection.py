"""One connection to an engine with its HiveServer2 session.

Sends calls, matches replies to them in order, and closes operations that have been answered.
"""

import ssl
from contextlib import suppress

from fennelwind.config import settings_pb2 as pb
from fennelwind.errors import FennelwindError
from fennelwind.loop import Address, Loop, Stream, StreamReset, TlsStream
from fennelwind.thrift import hints, messages
from fennelwind.thrift import hiveserver2 as hs2
from fennelwind.thrift.codec import Malformed, Structure
from fennelwind.thrift.messages import Message
from fennelwind.thrift.transport import BUFFERED, FRAMED, SASL, ClientSide

TRANSPORTS = {pb.EngineLinks.SASL: SASL, pb.EngineLinks.BUFFERED: BUFFERED, pb.EngineLinks.FRAMED: FRAMED}


class RemoteError(FennelwindError):
    """The engine answered a call with an error."""

    code = "engine-answered-error"
    advice = (
        "Read the engine's own log at this time. An error of the statement itself is the client's "
        "to mend; any other counts against the engine."
    )

    def __init__(self, text: str, status: Structure | None = None) -> None:
        super().__init__(text)
        self.status = status  # the engine's TStatus, if it sent one
        self.hints = hints.read(status.infoMessages if status is not None else None)


class EngineConnection:
    """One connection to an engine, with its session. One task uses it at a time."""

    def __init__(
        self, loop: Loop, address: Address, transport: str, user: str, tls: ssl.SSLContext | None = None
    ) -> None:
        self.loop, self.address, self.tls = loop, address, tls
        self.protocol = ClientSide(transport, user)
        self.stream: Stream | None = None
        self.session: Structure | None = None
        self.received_bytes = 0
        self.database = ""  # current database of the session; "" if it is the engine's default
        self.idle_since_ms = 0.0
        self.operation_to_close: Structure | None = None  # open at the engine, but its result was read
        self._close_sequence: int | None = None  # sequence id of a CloseOperation call whose reply is pending
        self._replies: list[Message] = []
        self._prepared: list[bytes] = []

    def open(self) -> None:
        """Connect and open a session.

        Raises `RemoteError`, `Malformed`, `StreamReset` and other kinds of `OSError`.
        """
        self.stream = self.loop.connect(self.address)
        if self.tls is not None:
            self.stream = TlsStream(self.loop, self.stream, self.tls, server=False)
            self.stream.handshake()
        if self.protocol.outgoing:
            self.stream.write(bytes(self.protocol.outgoing))
            self.protocol.outgoing.clear()
        while not self.protocol.ready:
            self._receive()
        request = hs2.TOpenSessionReq(client_protocol=hs2.PROTOCOL_COLUMNS)
        self.session = self.call("OpenSession", request).sessionHandle
        if self.session is None:
            raise Malformed("a session without a handle")

    def call(self, method: str, request: Structure) -> Structure:
        """Make a call and return its reply. Raises `RemoteError` if the call failed."""
        return self.reply(self.send(method, request))

    def send(self, method: str, request: Structure) -> int:
        """Send a call and return its sequence id. `reply` must be called with these ids in sending order."""
        sequence, raw = self.protocol.call(method, request)
        if self._prepared:
            raw = b"".join([*self._prepared, raw])
            self._prepared.clear()
        self.stream.write(raw)
        return sequence

    def prepare(self, method: str, request: Structure) -> int:
        """Queue a call to be sent in the same write as the next one; return its sequence id."""
        sequence, raw = self.protocol.call(method, request)
        self._prepared.append(raw)
        return sequence

    def reply(self, sequence: int) -> Structure:
        """Wait for the reply to a call. Raises `RemoteError`, `Malformed` or `StreamReset`."""
        close_sequence, self._close_sequence = self._close_sequence, None
        if close_sequence is not None:
            with suppress(RemoteError):  # the operation was closed already
                self.reply(close_sequence)
        while not self._replies:
            self._receive()
        message = self._replies.pop(0)
        if message.sequence != sequence:
            raise Malformed(f"a reply to call {message.sequence}, where {sequence} was expected")
        if message.type == messages.EXCEPTION:
            raise RemoteError(f"{message.method}: {message.body.message}")
        if message.type != messages.REPLY or message.body is None:
            raise Malformed(f"{message.method}: no reply")
        status = getattr(message.body, "status", None)
        if status is None or status.statusCode in (hs2.ERROR, hs2.INVALID_HANDLE):
            text = status.errorMessage if status is not None else "a reply without a status"
            raise RemoteError(f"{message.method}: {text}", status)
        return message.body

    def prepare_close(self) -> None:
        """Send CloseOperation for the last answered operation, if still open, with the next call."""
        if self.operation_to_close is not None:
            handle, self.operation_to_close = self.operation_to_close, None
            self._close_sequence = self.prepare("CloseOperation", hs2.TCloseOperationReq(handle))

    def close_operation(self) -> None:
        """Close the operation that was answered last."""
        handle, self.operation_to_close = self.operation_to_close, None
        with suppress(RemoteError):  # the operation was already closed; the connection remains usable
            self.call("CloseOperation", hs2.TCloseOperationReq(handle))

    def _receive(self) -> None:
        data = self.stream.read()
        if not data:
            raise StreamReset(f"{self.address}: closed by the engine")
        self.received_bytes += len(data)
        self._replies += self.protocol.receive(data)

    def is_broken(self) -> bool:
        """Return whether an idle connection is unusable: closed, or with unsolicited bytes received."""
        return bool(self._replies) or self.stream.broken()

    def drop(self) -> None:
        """Abort the connection at once."""
        if self.stream is not None:
            self.stream.abort()
