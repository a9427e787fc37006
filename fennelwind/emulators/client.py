"""Clients that speak HiveServer2-style Thrift, one call at a time on a connection."""

from dataclasses import dataclass, field

from fennelwind.loop import Address, DeadlineExceeded, Loop, Stream, StreamReset
from fennelwind.thrift import hiveserver2 as hs2
from fennelwind.thrift.codec import Malformed, Structure
from fennelwind.thrift.messages import REPLY
from fennelwind.thrift.transport import ClientSide

OPEN_MS = 5000.0  # ms to connect and open a session
PAGE_ROWS = 500  # rows asked for at a time


@dataclass(slots=True)
class Ask:
    """A query as a client will put it."""

    statement: str
    timeout_ms: float
    overlay: dict[str, str] = field(default_factory=dict)
    asynchronous: bool = False
    cancel_after_ms: float | None = None  # of an async one


class Client:
    """One connection with one session. `ask` returns how a query ended."""

    def __init__(self, loop: Loop, address: Address, transport: str, user: str, wrap) -> None:
        self.loop, self.address, self.user, self.wrap = loop, address, user, wrap
        self.side = ClientSide(transport, user)
        self.stream: Stream | None = None
        self.session: Structure | None = None

    def open(self) -> None:
        """Connect and open a session. Raises `OSError` or `Malformed`."""
        with self.loop.deadline(OPEN_MS):
            self.stream = self.wrap(self.loop.connect(self.address), "client")
            if self.side.outgoing:
                self.stream.write(bytes(self.side.outgoing))
            while not self.side.ready:
                self._receive()
            reply = self.call(
                "OpenSession",
                hs2.TOpenSessionReq(
                    client_protocol=hs2.PROTOCOL_NEWEST, username=self.user, configuration={}
                ),
            )
            if reply.sessionHandle is None:
                raise StreamReset(reply.status.errorMessage)
            self.session = reply.sessionHandle

    def call(self, method: str, request: Structure) -> Structure:
        """Make a call; wait for its reply."""
        sequence, raw = self.side.call(method, request)
        self.stream.write(raw)
        while not (replies := self._receive()):
            pass
        (reply,) = replies
        if reply.sequence != sequence or reply.type != REPLY:
            raise Malformed(f"{method}: no reply to it")
        return reply.body

    def ask(self, ask: Ask) -> tuple[str, int]:
        """Put a query; return "served", "error", "cancelled" or "unanswered", and the number of rows.

        Raises `OSError` or `Malformed` when the connection is of no use any more.
        """
        try:
            with self.loop.deadline(ask.timeout_ms):
                reply = self.call(
                    "ExecuteStatement",
                    hs2.TExecuteStatementReq(self.session, ask.statement, ask.overlay, ask.asynchronous),
                )
                if reply.status.statusCode == hs2.ERROR:
                    return "error", 0
                handle = reply.operationHandle
                if ask.asynchronous:
                    state = self._wait(handle, ask.cancel_after_ms)
                    if state != hs2.FINISHED:
                        self._close(handle)
                        return ("cancelled" if state == hs2.CANCELED else "error"), 0
        except DeadlineExceeded:
            self.stream.abort()
            return "unanswered", 0
        rows, more = 0, True
        with self.loop.deadline(ask.timeout_ms):
            while more:
                page = self.call(
                    "FetchResults",
                    hs2.TFetchResultsReq(
                        operationHandle=handle, orientation=hs2.FETCH_NEXT, maxRows=PAGE_ROWS, fetchType=0
                    ),
                )
                rows += len(page.results.columns[0].i64Val.values) if page.results.columns else 0
                more = page.hasMoreRows
            self._close(handle)
        return "served", rows

    def close(self) -> None:
        """Leave."""
        if self.stream is not None:
            self.stream.close()

    def _wait(self, handle: Structure, cancel_after: float | None) -> int:
        until = self.loop.now() + cancel_after if cancel_after is not None else float("inf")
        while True:
            reply = self.call("GetOperationStatus", hs2.TGetOperationStatusReq(operationHandle=handle))
            if reply.operationState not in (hs2.INITIALIZED, hs2.RUNNING, hs2.PENDING):
                return reply.operationState
            if self.loop.now() >= until:
                self.call("CancelOperation", hs2.TCancelOperationReq(handle))
                until = float("inf")
            self.loop.sleep(2.0)

    def _close(self, handle: Structure) -> None:
        self.call("CloseOperation", hs2.TCloseOperationReq(handle))

    def _receive(self) -> list:
        data = self.stream.read()
        if not data:
            raise StreamReset("closed by the controller")
        return self.side.receive(data)
