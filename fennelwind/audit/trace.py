"""Turns recorded bytes into what clients asked and were told, what reached engines, and what lists said.

A statement is followed by the tag that its client put into its configuration as `standin.tag`. One with a
fence is an act of the fleet's own, and nobody's query.
"""

import json
from dataclasses import dataclass, field

from fennelwind.audit.record import END, IN, Wire
from fennelwind.thrift import hiveserver2 as hs2
from fennelwind.thrift.codec import ThriftError
from fennelwind.thrift.messages import CALL, REPLY
from fennelwind.thrift.transport import BUFFERED, ClientSide, Login, ServerSide

SERVED, REFUSED, FAILED, CANCELLED, REJECTED = "served", "refused", "failed", "cancelled", "rejected"
FENCE = "fennelwind.fence"
OK, ERROR, NOT_RUN, CUT = "ok", "error", "not_run", "cut"
ARRIVES_MS = 50.0  # ms after which what was written has come, if its connection still stands
FINAL = {hs2.FINISHED: SERVED, hs2.FAILED: FAILED, hs2.CANCELED: CANCELLED, hs2.CLOSED: CANCELLED}


@dataclass(slots=True)
class Query:
    """What its client saw of a query."""

    tag: str
    cls: str
    asked: float
    deadline: float
    key: str = ""
    wire: int = 0
    answers: list[tuple[float, str]] = field(default_factory=list)  # final ones, each time and kind
    left: float | None = None  # when its client called it off, or the connection ended


@dataclass(slots=True)
class Attempt:
    """What an engine saw of a query."""

    tag: str
    engine: str
    began: float
    work_ms: float
    ended: float | None = None
    end: str = ""
    handle: bytes = b""


@dataclass(slots=True)
class Told:
    """A list's entry, when it was told to the controller."""

    at: float
    engine: str
    state: str
    zone: str
    kind: str
    cell: int
    launched: float  # on the clock of the times here; 0: long ago


@dataclass(slots=True)
class Trace:
    """A day as it was seen around the controller."""

    queries: dict[str, Query] = field(default_factory=dict)
    attempts: list[Attempt] = field(default_factory=list)
    told: list[Told] = field(default_factory=list)
    called_off: dict[bytes, float] = field(default_factory=dict)  # operations at engines, and when
    strange: list[str] = field(default_factory=list)  # bytes from the controller that make no sense


def read_trace(wires: list[Wire]) -> Trace:
    """Return what the wires carried."""
    trace = Trace()
    for number, wire in enumerate(wires):
        if wire.who == "discovery":
            _read_lists(trace, wire)
        elif wire.who == "client":
            _Client(trace, number).read(wire)
        else:
            _Engine(trace, wire.who).read(wire)
    for attempt in trace.attempts:  # an operation may be called off on another connection than its own
        at = trace.called_off.get(attempt.handle)
        if at is not None and (attempt.ended is None or at < attempt.ended):
            attempt.ended, attempt.end = at, CUT
    trace.attempts.sort(key=lambda a: a.began)
    trace.told.sort(key=lambda t: t.at)
    return trace


def _read_lists(trace: Trace, wire: Wire) -> None:
    known: dict[str, dict] = {}
    ended = min((at for at, way, _ in wire.pieces if way == END), default=float("inf"))
    for at, way, data in wire.pieces:
        if way in (IN, END) or at > ended - ARRIVES_MS:
            continue  # what a connection lost as it broke was told to nobody
        for line in data.splitlines():
            told = json.loads(line)
            entries = {e["engine"]: e for e in told["engines"]}
            if told["form"] == "full":
                entries |= {name: {**e, "state": "gone"} for name, e in known.items() if name not in entries}
            known |= entries
            for e in entries.values():
                trace.told.append(
                    Told(at, e["engine"], e["state"], e["zone"], e["kind"], e["cell"], e["launched_ms"])
                )


class _Wire:
    """Pairs calls with replies on one connection; `server_way` is the way that calls go."""

    call_way = IN

    def __init__(self, trace: Trace) -> None:
        self.trace = trace
        self.calls: dict[int, tuple[str, object, object]] = {}

    def read(self, wire: Wire) -> None:
        requests, replies, broken = ServerSide(), None, False
        for at, way, data in wire.pieces:
            if way == END:
                self.ended(at)
                continue
            if broken:
                continue
            try:
                if way == self.call_way:
                    for event in self._login(requests, requests.receive(data)):
                        if event.type == CALL:
                            context = self.called(at, event.method, event.body)
                            self.calls[event.sequence] = event.method, event.body, context
                else:
                    if replies is None:
                        replies = ClientSide(requests.transport or BUFFERED)
                    for event in replies.receive(data):
                        call = self.calls.pop(event.sequence, None)
                        if call is None:
                            self.unasked(at, event.method)
                        elif event.type == REPLY:
                            self.replied(at, *call, event.body)
            except ThriftError as exc:
                broken = True
                self.broke(way, str(exc))

    def _login(self, side: ServerSide, events: list) -> list:
        if events and isinstance(events[0], Login):
            return side.accept_login()
        return events

    def called(self, at: float, method: str, request) -> object:
        raise NotImplementedError

    def replied(self, at: float, method: str, request, context, reply) -> None:
        raise NotImplementedError

    def ended(self, at: float) -> None:
        raise NotImplementedError

    def unasked(self, at: float, method: str) -> None:
        pass

    def broke(self, way: str, why: str) -> None:
        pass


def _guid(request) -> bytes:
    handle = getattr(request, "operationHandle", None)
    return handle.operationId.guid if handle is not None else b""


class _Client(_Wire):
    """A client's connection: calls go out."""

    call_way = "out"

    def __init__(self, trace: Trace, number: int) -> None:
        super().__init__(trace)
        self.number = number
        self.operations: dict[bytes, Query] = {}
        self.mine: list[Query] = []

    def called(self, at: float, method: str, request) -> Query | None:
        if method == "ExecuteStatement":
            said = request.confOverlay or {}
            query = Query(
                said["standin.tag"],
                said["standin.class"],
                at,
                at + float(said["fennelwind.timeout_ms"]),
                said.get("fennelwind.key", ""),
                self.number,
            )
            self.trace.queries[query.tag] = query
            self.mine.append(query)
            return query
        query = self.operations.get(_guid(request))
        if method in ("CancelOperation", "CloseOperation") and query is not None and not query.answers:
            query.left = query.left or at
        return query

    def replied(self, at: float, method: str, request, query: Query | None, reply) -> None:
        if query is None:
            return
        status = reply.status
        if method == "ExecuteStatement":
            if status.statusCode == hs2.ERROR:
                self._final(query, at, self._kind(status))
            else:
                self.operations[_guid(reply)] = query
                if not request.runAsync:
                    self._final(query, at, SERVED)
        elif method == "GetOperationStatus" and reply.operationState in FINAL:
            kind = FINAL[reply.operationState]
            self._final(query, at, self._kind(status) if kind == FAILED else kind)

    def _final(self, query: Query, at: float, kind: str) -> None:
        if not query.answers or query.answers[-1][1] != kind:  # a status may be asked for again
            query.answers.append((at, kind))

    @staticmethod
    def _kind(status) -> str:
        said = {message.partition(" ")[0] for message in status.infoMessages or ()}
        if "fennelwind-refused" in said:
            return REFUSED
        return FAILED if "fennelwind-failed" in said else REJECTED

    def ended(self, at: float) -> None:
        for query in self.mine:
            if not query.answers and query.left is None:
                query.left = at

    def unasked(self, at: float, method: str) -> None:
        self.trace.strange.append(f"a client got a reply to no call of its own: {method}")

    def broke(self, way: str, why: str) -> None:
        if way == IN:
            self.trace.strange.append(f"a client got bytes that are no reply: {why}")


class _Engine(_Wire):
    """An engine's connection: calls come in."""

    call_way = IN
    by_handle: dict[bytes, Attempt]

    def __init__(self, trace: Trace, name: str) -> None:
        super().__init__(trace)
        self.name = name
        self.operations: dict[bytes, Attempt] = {}
        self.mine: list[Attempt] = []

    def called(self, at: float, method: str, request) -> Attempt | None:
        if method == "ExecuteStatement" and not request.statement.startswith("USE "):  # no query's own
            said = request.confOverlay or {}
            if FENCE in said:
                return None
            work = float(said.get("standin.work_ms", 0))
            attempt = Attempt(said.get("standin.tag", ""), self.name, at, work)
            self.trace.attempts.append(attempt)
            self.mine.append(attempt)
            return attempt
        if method == "CancelOperation":
            self.trace.called_off.setdefault(_guid(request), at)
        return self.operations.get(_guid(request))

    def replied(self, at: float, method: str, request, attempt: Attempt | None, reply) -> None:
        if attempt is None or attempt.ended is not None:
            return
        status = reply.status
        if method == "ExecuteStatement":
            if status.statusCode in (hs2.ERROR, hs2.INVALID_HANDLE):
                said = {message.partition(" ")[0] for message in status.infoMessages or ()}
                attempt.ended, attempt.end = at, NOT_RUN if "fennelwind-not-run" in said else ERROR
            else:
                attempt.handle = _guid(reply)
                self.operations[attempt.handle] = attempt
        elif method == "GetOperationStatus" and reply.operationState in FINAL:
            attempt.ended, attempt.end = at, OK if reply.operationState == hs2.FINISHED else ERROR

    def ended(self, at: float) -> None:
        for attempt in self.mine:
            if attempt.ended is None:
                attempt.ended, attempt.end = at, CUT
