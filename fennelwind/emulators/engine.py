"""An engine that speaks HiveServer2-style Thrift, with faults that can be switched on while it runs.

A statement's true needs come with it, as configuration: `standin.work_ms`, `.threads`, `.memory_mb`,
`.tables`, `.rows`; `.types` gives a column of every type; `.sqlstate` makes it fail as a statement at fault
does, after its work; `.shards` names the partitions that it reads, which have to be whole on its disk. It
answers with that many rows of (id BIGINT, name STRING). As a real server does, it
serves each connection's calls in turn; an operation may be named from any connection; `USE` changes its
session alone. A statement of a task carries its fence, `fennelwind.fence` as `TASK:NUMBER`: an older one than
was seen is refused, and a newer one stops what runs under an older. Fences outlast a life, as on a disk.
"""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from fennelwind.emulators.model import Job, Machine, Model
from fennelwind.emulators.runner import Runner
from fennelwind.emulators.schemas import COLUMNS, NO_TABLE, Schemas
from fennelwind.emulators.shelves import Refused, Shelf, Task
from fennelwind.loop import Address, DeadlineExceeded, Listener, Loop, Once, Stream, StreamReset
from fennelwind.thrift import hints, messages
from fennelwind.thrift import hiveserver2 as hs2
from fennelwind.thrift.codec import Malformed, Structure
from fennelwind.thrift.messages import write_message
from fennelwind.thrift.transport import Login, ServerSide

METADATA = {  # metadata calls, with the text columns of their answers
    "GetTypeInfo": ("TYPE_NAME",),
    "GetCatalogs": ("TABLE_CAT",),
    "GetTableTypes": ("TABLE_TYPE",),
    "GetSchemas": ("TABLE_SCHEM", "TABLE_CATALOG"),
    "GetTables": ("TABLE_CAT", "TABLE_SCHEM", "TABLE_NAME", "TABLE_TYPE", "REMARKS"),
    "GetColumns": ("TABLE_CAT", "TABLE_SCHEM", "TABLE_NAME", "COLUMN_NAME", "TYPE_NAME"),
    "GetFunctions": ("FUNCTION_CAT", "FUNCTION_SCHEM", "FUNCTION_NAME"),
    "GetPrimaryKeys": ("TABLE_CAT", "TABLE_SCHEM", "TABLE_NAME", "COLUMN_NAME"),
    "GetCrossReference": ("PKTABLE_NAME", "PKCOLUMN_NAME", "FKTABLE_NAME", "FKCOLUMN_NAME"),
}
METADATA_MS = 2.0  # ms that a metadata call takes
LONG_POLL_MS = 5000.0  # ms; Hive's own default
ROWS_MOST = 1_000_000  # rows of one answer
FENCES_MOST = 10_000  # tasks whose fence is remembered; statements of further ones are refused


@dataclass(slots=True)
class Faults:
    """What is wrong with an engine now."""

    hang: bool = False  # takes statements and answers nothing about them
    lose: bool = False  # does the work and loses the answers; probes pass
    refuse: bool = False  # turns statements away unseen
    error: bool = False  # answers statements with an error after some work
    cut: bool = False  # breaks the connection within a page of rows
    twice: bool = False  # answers each call twice
    late_ms: float = 0.0  # reports its load as it was so long ago
    slow: float = 1.0  # times the usual time


@dataclass(slots=True, eq=False)
class _Operation:
    handle: Structure
    job: Job
    rows: int
    ended: Once
    state: int = hs2.RUNNING
    fetched: int = 0
    session: bytes = b""
    statement: str = ""
    types: bool = False  # a column of every type
    sql_state: str = ""  # it ends with this error of its own
    columns: tuple[str, ...] = ()  # text columns of a metadata call's answer; (): a statement's
    task: str = ""  # of the fleet, that it is an act of
    cells: tuple[tuple[str, ...], ...] = ()  # rows of text, where `columns` name them
    shelved: Task | None = None  # what it does to the disk
    shards: tuple[str, ...] = ()  # partitions that it reads


@dataclass(slots=True)
class Counts:
    """What an engine did."""

    statements: int = 0
    finished: int = 0
    cancelled: int = 0
    refused: int = 0
    fenced: int = 0  # refused for an older fence, and stopped for a newer one
    metadata: int = 0
    absent: int = 0  # statements whose partition was not whole here
    pulled: int = 0  # statements whose partition was dropped while they ran
    lives: int = 0
    falls: int = 0
    most_out: int = 0
    attempts: list[str] = field(default_factory=list)
    terms: list[tuple[str, str]] = field(default_factory=list)  # statements and their new priorities
    databases: Counter[str] = field(default_factory=Counter)  # where statements ran


# Columns by TTypeId: field, structure, and the value of a row's number; row n is null in column n.
EVERY_TYPE = {
    0: ("boolVal", "TBoolColumn", lambda n: n % 2 == 0),
    1: ("byteVal", "TByteColumn", lambda n: n - 100),
    2: ("i16Val", "TI16Column", lambda n: n - 30_000),
    3: ("i32Val", "TI32Column", lambda n: n - 2_000_000_000),
    4: ("i64Val", "TI64Column", lambda n: n - 2**62),
    5: ("doubleVal", "TDoubleColumn", lambda n: n / 4),
    6: ("doubleVal", "TDoubleColumn", lambda n: n * 1e300),
    7: ("stringVal", "TStringColumn", lambda n: f"é {n}".encode()),
    8: ("stringVal", "TStringColumn", lambda n: b"2026-12-01 10:20:%02d.5" % n),
    9: ("binaryVal", "TBinaryColumn", lambda n: bytes([0, 255, n])),
    15: ("stringVal", "TStringColumn", lambda n: b"%d.10" % n),
    17: ("stringVal", "TStringColumn", lambda n: b"2026-12-%02d" % (n + 1)),
}


QUALIFIERS = {
    15: hs2.make(
        "TTypeQualifiers",
        qualifiers={
            "precision": hs2.make("TTypeQualifierValue", i32Value=20),
            "scale": hs2.make("TTypeQualifierValue", i32Value=2),
        },
    )
}


def _column(
    position: int, name: str, kind: str, value: Callable[[int], object], rows: list[int]
) -> Structure:
    nulls = sum(1 << i for i, n in enumerate(rows) if n == position).to_bytes(len(rows) // 8 + 1, "little")
    return hs2.TColumn(**{name: hs2.make(kind, values=[value(n) for n in rows], nulls=nulls)})


class _Hang(Exception):
    """The call gets no reply, ever."""


class Engine:
    """A stand-in engine at an address; `start` begins a life of it, `crash` ends one."""

    def __init__(
        self,
        loop: Loop,
        address: Address,
        machine: Machine,
        *,
        max_sessions: int = 400,
        note_ms: float = 0.0,
        tells_cost: bool = True,
        wrap: Callable[[Stream, str], Stream] = lambda stream, who: stream,
    ) -> None:
        self.loop, self.address, self.machine = loop, address, machine
        self.max_sessions, self.note_ms, self.tells_cost, self.wrap = max_sessions, note_ms, tells_cost, wrap
        self.faults, self.counts = Faults(), Counts()
        self.listener: Listener | None = None
        self.model: Model | None = None
        self.on_fall: Callable[[Engine], None] = lambda engine: None
        self._streams: dict[Stream, None] = {}  # in the order they came
        self._sessions: dict[bytes, str] = {}  # and the database each stands in
        self._operations: dict[bytes, _Operation] = {}
        self._running: dict[Job, _Operation] = {}
        self._runner: Runner | None = None
        self._loads: list[tuple[float, dict[str, float]]] = []
        self._fences: dict[str, int] = {}  # the highest of each task
        self.schemas = Schemas()  # outlast a life, as in a metastore of its own
        self.shelf: Shelf | None = None  # tables' partitions on its disk, where a rig gives it one

    @property
    def name(self) -> str:
        """The engine's name in lists: where it listens."""
        return str(self.address)

    def start(self, cold: bool) -> None:
        """Begin a life."""
        self.listener = self.loop.listen(self.address)
        self.address = self.listener.address
        self.model = Model(self.machine, self.loop.now(), cold)
        self.model.slow = self.faults.slow
        self._runner = Runner(self.loop, self.model, self._done)
        self.counts.lives += 1
        self.loop.spawn(self._accept, self.listener, name=f"engine {self.name}")

    def crash(self) -> None:
        """End this life at once: all connections break, all work is lost."""
        if self.listener is None:
            return
        self.listener.close()
        self.listener = None
        for stream in list(self._streams):
            stream.abort()
        self._streams.clear()
        self._sessions.clear()
        self._operations.clear()
        self._running.clear()
        self._runner.stop()

    def set_slow(self, slow: float) -> None:
        """Make everything take so many times as long from now on."""
        self.faults.slow = slow
        if self._runner is not None:
            self._runner.slow(slow)

    def _accept(self, listener: Listener) -> None:
        while True:
            try:
                stream = self.wrap(listener.accept(), self.name)
            except StreamReset:
                return
            self._streams[stream] = None
            self.loop.spawn(self._serve, stream, name=f"engine {self.name} connection")

    def _serve(self, stream: Stream) -> None:
        side, mine = ServerSide(), set()
        try:
            while data := stream.read():
                for event in side.receive(data):
                    if isinstance(event, Login):
                        side.accept_login()
                        stream.write(bytes(side.outgoing))
                        side.outgoing.clear()
                    else:
                        self._call(stream, side, event, mine)
        except (StreamReset, Malformed):
            pass
        finally:
            self._end_sessions(mine)
            self._streams.pop(stream, None)
            stream.close()

    def _end_sessions(self, mine: set[bytes]) -> None:
        """End a connection's sessions and their operations, as Hive does by default."""
        for guid in mine:
            self._sessions.pop(guid, None)
        for operation in [o for o in self._operations.values() if o.session in mine]:
            if operation.state == hs2.RUNNING:
                self.counts.cancelled += 1
                self._stop(operation, hs2.CLOSED)
            self._operations.pop(operation.handle.operationId.guid, None)

    def _call(self, stream: Stream, side: ServerSide, message: messages.Message, mine: set[bytes]) -> None:
        handler = getattr(self, "_" + message.method, None)
        if message.method in METADATA:
            handler = partial(self._metadata, message.method)
        if handler is None or message.body is None:
            kind, reply = (
                messages.EXCEPTION,
                messages.TApplicationException(f"{message.method}: unknown method", messages.UNKNOWN_METHOD),
            )
        else:
            try:
                kind, reply = messages.REPLY, handler(message.body, mine)
            except _Hang:
                while stream.read():  # goes on taking what comes, until the other side gives up
                    pass
                raise StreamReset("the other side gave up") from None
        raw = side.wrap(write_message(message.method, kind, message.sequence, reply, message.strict))
        if self.faults.cut and message.method == "FetchResults":
            stream.write(raw[: len(raw) // 2])
            stream.abort()
            raise StreamReset("cut on purpose")
        stream.write(raw)
        if self.faults.twice and message.method != "OpenSession":
            stream.write(raw)

    def _status(self, *more: str) -> Structure:
        now = self.loop.now()
        self._loads.append((now, self.model.load()))
        while len(self._loads) > 1 and self._loads[1][0] <= now - self.faults.late_ms:
            self._loads.pop(0)
        told = [hints.write(hints.LOAD, **self._loads[0][1]), *more]
        return hs2.TStatus(statusCode=hs2.SUCCESS_WITH_INFO, infoMessages=told)

    def _error(self, text: str, state: str, *more: str) -> Structure:
        return hs2.TStatus(statusCode=hs2.ERROR, errorMessage=text, sqlState=state, infoMessages=list(more))

    # The service.

    def _OpenSession(self, request: Structure, mine: set[bytes]) -> Structure:  # noqa: N802
        if len(self._sessions) >= self.max_sessions:
            self.counts.refused += 1
            return hs2.TOpenSessionResp(status=self._error("too many sessions", "53300"))
        handle = hs2.THandleIdentifier(self.loop.token(16), self.loop.token(16))
        self._sessions[handle.guid] = "default"
        mine.add(handle.guid)
        return hs2.TOpenSessionResp(
            status=self._status(),
            serverProtocolVersion=min(request.client_protocol, hs2.PROTOCOL_NEWEST),
            sessionHandle=hs2.TSessionHandle(handle),
            configuration={},
        )

    def _SetClientInfo(self, request: Structure, mine: set[bytes]) -> Structure:  # noqa: N802
        if self.faults.hang:
            raise _Hang
        said = request.configuration or {}
        operation = self._operations.get(bytes.fromhex(said.get("fennelwind.operation", "")))
        if operation is not None:
            self.counts.terms.append((operation.statement, said.get("fennelwind.priority", "")))
        return hs2.make("TSetClientInfoResp", status=self._status())

    def _GetInfo(self, request: Structure, mine: set[bytes]) -> Structure:  # noqa: N802
        return hs2.TGetInfoResp(status=self._status(), infoValue=hs2.TGetInfoValue(stringValue="standin"))

    def _ExecuteStatement(self, request: Structure, mine: set[bytes]) -> Structure:  # noqa: N802
        said = request.confOverlay or {}
        self.counts.attempts.append(said.get("fennelwind.attempt", ""))
        if self.faults.hang:
            raise _Hang
        reply = hs2.TExecuteStatementResp
        if request.sessionHandle is None or request.sessionHandle.sessionId.guid not in self._sessions:
            return reply(status=hs2.TStatus(statusCode=hs2.INVALID_HANDLE, errorMessage="unknown session"))
        if self.faults.refuse:
            self.counts.refused += 1
            return reply(status=self._error("turned away", "53000", hints.write(hints.NOT_RUN)))
        task, against = self._fence(said.get("fennelwind.fence", ""))
        if against is not None:
            self.counts.fenced += 1
            return reply(status=against)
        session = request.sessionHandle.sessionId.guid
        if request.statement.startswith("USE "):
            database = request.statement.removeprefix("USE ").strip("`")
            if database == "nowhere":
                return reply(status=self._error("no such database: nowhere", "3F000"))
            self._sessions[session] = database
            return reply(
                status=self._status(),
                operationHandle=hs2.TOperationHandle(
                    operationId=hs2.THandleIdentifier(self.loop.token(16), self.loop.token(16)),
                    operationType=hs2.EXECUTE_STATEMENT,
                    hasResultSet=False,
                ),
            )
        try:
            tables = int(said.get("standin.tables", -1))
            job = Job(
                max(float(said.get("standin.work_ms", 1.0)), 0.01),
                int(said.get("standin.threads", 1)),
                float(said.get("standin.memory_mb", 0.0)),
                tables if tables >= 0 else None,
            )
            rows = min(int(said.get("standin.rows", 1)), ROWS_MOST)
        except ValueError as exc:
            return reply(status=self._error(str(exc), "22023", hints.write(hints.NOT_RUN)))
        shelved, shards = None, tuple(filter(None, said.get("standin.shards", "").split(",")))
        if self.shelf is not None and not all(map(self.shelf.whole, shards)):
            self.counts.absent += 1
            return reply(status=self._error(f"no such partition: {', '.join(shards)}", NO_TABLE))
        if self.shelf is not None and self.shelf.knows(request.statement):
            try:
                shelved = self.shelf.begin(request.statement, {})
            except Refused as exc:
                return reply(status=self._error(str(exc), exc.state))
            job = Job(max(shelved.size * self.shelf.ms_per_byte, 1.0), 1)
        handle = hs2.TOperationHandle(
            operationId=hs2.THandleIdentifier(self.loop.token(16), self.loop.token(16)),
            operationType=hs2.EXECUTE_STATEMENT,
            hasResultSet=True,
        )
        operation = _Operation(
            handle,
            job,
            rows,
            Once(self.loop),
            session=session,
            statement=request.statement,
            types="standin.types" in said,
            sql_state=said.get("standin.sqlstate", ""),
            task=task,
            shelved=shelved,
            shards=shards,
        )
        self.counts.databases[self._sessions[session]] += 1
        self.counts.statements += 1
        self._operations[handle.operationId.guid] = operation
        self._running[job] = operation
        self._runner.add(job)
        self.counts.most_out = max(self.counts.most_out, len(self._running))
        if self.model.fallen:
            self.counts.falls += 1
            self.on_fall(self)
            self.crash()
            raise StreamReset("fallen over")
        if not request.runAsync:
            operation.ended.wait()
            if self.faults.lose:
                raise _Hang
            if operation.state != hs2.FINISHED:
                text = f"it ended in state {operation.state}"
                return reply(status=self._error(text, operation.sql_state or "HY000"))
        return reply(status=self._status(), operationHandle=handle)

    def _fence(self, said: str) -> tuple[str, Structure | None]:
        """Take a statement's fence; return its task, and the error if it must not run."""
        if not said:
            return "", None
        task, _, number = said.rpartition(":")
        if not task or not (number.isascii() and number.isdigit() and len(number) <= 20):
            return "", self._error(f"no fence: {said[:100]}", "22023")
        fence, seen = int(number), self._fences.get(task)
        if seen is None and len(self._fences) >= FENCES_MOST:
            return "", self._error(f"fences of {FENCES_MOST} tasks are known", "42501")
        if seen is not None and fence < seen:
            text = f"fence {fence} of {task} is older than {seen}"
            return "", self._error(text, "42501", hints.write(hints.FENCED))
        if seen is not None and fence > seen:
            for operation in [o for o in self._running.values() if o.task == task]:
                self.counts.fenced += 1
                self._stop(operation, hs2.CANCELED)
        self._fences[task] = fence
        return task, None

    def _metadata(self, method: str, request: Structure, mine: set[bytes]) -> Structure:
        """Answer a metadata call, when its work is done; the text columns are the JDBC specification's."""
        if self.faults.hang or self.faults.lose:
            raise _Hang
        reply = hs2.CODECS[f"T{method}Resp"].make
        session = request.sessionHandle.sessionId.guid if request.sessionHandle is not None else b""
        if session not in self._sessions:
            return reply(status=hs2.TStatus(statusCode=hs2.INVALID_HANDLE, errorMessage="unknown session"))
        if self.faults.refuse:
            self.counts.refused += 1
            return reply(status=self._error("turned away", "53000", hints.write(hints.NOT_RUN)))
        if self.faults.error:
            return reply(status=self._error("it failed on purpose", "HY000"))
        handle = hs2.TOperationHandle(
            operationId=hs2.THandleIdentifier(self.loop.token(16), self.loop.token(16)),
            operationType=hs2.GET_TABLES,
            hasResultSet=True,
        )
        self.loop.sleep(METADATA_MS)
        self.counts.metadata += 1
        self._operations[handle.operationId.guid] = _Operation(
            handle,
            Job(0.0, 1, 0.0, None),
            3,
            Once(self.loop),
            hs2.FINISHED,
            session=session,
            columns=METADATA[method],
        )
        return reply(status=self._status(), operationHandle=handle)

    def _GetOperationStatus(self, request: Structure, mine: set[bytes]) -> Structure:  # noqa: N802
        reply = hs2.TGetOperationStatusResp
        operation = self._operation(request)
        if operation is None:
            return reply(status=hs2.TStatus(statusCode=hs2.INVALID_HANDLE, errorMessage="unknown operation"))
        if not operation.ended.ready:
            try:
                with self.loop.deadline(self.note_ms or LONG_POLL_MS):
                    operation.ended.wait()
            except DeadlineExceeded:
                pass
        if self.faults.hang or self.faults.lose:
            raise _Hang
        job, more = operation.job, []
        if operation.state == hs2.FINISHED and self.tells_cost:
            more = [hints.write(hints.COST, work_ms=job.work_ms, memory_mb=job.memory_mb)]
        progress = None
        if self.note_ms and operation.state == hs2.RUNNING:
            self._runner.look()
            progress = hs2.TProgressUpdateResp(
                headerNames=[],
                rows=[],
                progressedPercentage=job.share_done,
                status=0,
                footerSummary="",
                startTime=0,
            )
        failed, own = operation.state == hs2.FAILED, operation.sql_state
        why = f"error {own} of its own" if own else "it failed on purpose"
        return reply(
            status=self._status(*more),
            operationState=operation.state,
            hasResultSet=not failed,
            errorMessage=why if failed else None,
            sqlState=own or None,
            progressUpdateResponse=progress,
        )

    def _GetResultSetMetadata(self, request: Structure, mine: set[bytes]) -> Structure:  # noqa: N802
        operation = self._operation(request)
        named = [("id", hs2.BIGINT_TYPE), ("name", hs2.STRING_TYPE)]
        if operation is not None and operation.types:
            named = [(f"c{kind}", kind) for kind in EVERY_TYPE]
        elif operation is not None and operation.columns:
            named = [(name, hs2.STRING_TYPE) for name in operation.columns]
        columns = [
            hs2.TColumnDesc(
                name,
                hs2.TTypeDesc(
                    [
                        hs2.TTypeEntry(
                            primitiveEntry=hs2.TPrimitiveTypeEntry(
                                type=kind, typeQualifiers=QUALIFIERS.get(kind)
                            )
                        )
                    ]
                ),
                position,
                "",
            )
            for position, (name, kind) in enumerate(named, start=1)
        ]
        return hs2.TGetResultSetMetadataResp(status=self._status(), schema=hs2.TTableSchema(columns))

    def _FetchResults(self, request: Structure, mine: set[bytes]) -> Structure:  # noqa: N802
        operation = self._operation(request)
        if self.faults.hang:
            raise _Hang
        if operation is None or operation.state != hs2.FINISHED:
            return hs2.TFetchResultsResp(status=self._error("not finished", "HY010"))
        start = operation.fetched
        stop = min(operation.rows, start + max(1, request.maxRows or 1))
        operation.fetched = stop
        numbers = list(range(start, stop))
        if operation.types:
            rows = hs2.TRowSet(
                startRowOffset=start,
                rows=[],
                columns=[
                    _column(position, *each, numbers) for position, each in enumerate(EVERY_TYPE.values())
                ],
            )
            return hs2.TFetchResultsResp(
                status=self._status(), hasMoreRows=stop < operation.rows, results=rows
            )
        if operation.cells:
            rows = hs2.TRowSet(
                startRowOffset=start,
                rows=[],
                columns=[
                    hs2.TColumn(
                        stringVal=hs2.make(
                            "TStringColumn",
                            nulls=b"",
                            values=[
                                operation.cells[n][i].encode() if i < len(operation.cells[n]) else b""
                                for n in numbers
                            ],
                        )
                    )
                    for i in range(len(COLUMNS))
                ],
            )
            return hs2.TFetchResultsResp(
                status=self._status(), hasMoreRows=stop < operation.rows, results=rows
            )
        if operation.columns:
            rows = hs2.TRowSet(
                startRowOffset=start,
                rows=[],
                columns=[
                    hs2.TColumn(
                        stringVal=hs2.make(
                            "TStringColumn",
                            values=[b"%s %d" % (name.encode(), n) for n in numbers],
                            nulls=b"",
                        )
                    )
                    for name in operation.columns
                ],
            )
            return hs2.TFetchResultsResp(
                status=self._status(), hasMoreRows=stop < operation.rows, results=rows
            )
        rows = hs2.TRowSet(
            startRowOffset=start,
            rows=[],
            columns=[
                hs2.TColumn(i64Val=hs2.make("TI64Column", values=numbers, nulls=b"")),
                hs2.TColumn(
                    stringVal=hs2.make("TStringColumn", values=[b"row %d" % n for n in numbers], nulls=b"")
                ),
            ],
        )
        return hs2.TFetchResultsResp(status=self._status(), hasMoreRows=stop < operation.rows, results=rows)

    def _CancelOperation(self, request: Structure, mine: set[bytes]) -> Structure:  # noqa: N802
        operation = self._operation(request)
        if operation is not None and operation.state == hs2.RUNNING:
            self.counts.cancelled += 1
            self._stop(operation, hs2.CANCELED)
        return hs2.make("TCancelOperationResp", status=self._status())

    def _CloseOperation(self, request: Structure, mine: set[bytes]) -> Structure:  # noqa: N802
        operation = self._operation(request)
        if operation is not None:
            if operation.state == hs2.RUNNING:
                self._stop(operation, hs2.CLOSED)
            self._operations.pop(operation.handle.operationId.guid, None)
        return hs2.make("TCloseOperationResp", status=self._status())

    def _operation(self, request: Structure) -> _Operation | None:
        handle = request.operationHandle
        return self._operations.get(handle.operationId.guid) if handle is not None else None

    # Work.

    def _stop(self, operation: _Operation, state: int) -> None:
        operation.state = state
        self._running.pop(operation.job, None)
        self._runner.remove(operation.job)
        operation.ended.set()

    def _done(self, job: Job) -> None:
        operation = self._running.pop(job, None)
        if operation is not None:
            if operation.shelved is not None and not self.faults.error:
                operation.sql_state, operation.cells = self.shelf.run(operation.shelved)
                self.counts.pulled += sum(
                    not all(map(self.shelf.whole, o.shards)) for o in self._running.values()
                )
                operation.rows, operation.columns = len(operation.cells), COLUMNS
            elif self.schemas.knows(operation.statement) and not self.faults.error:
                operation.sql_state, operation.cells = self.schemas.run(operation.statement)
                operation.rows, operation.columns = len(operation.cells), COLUMNS
            failed = self.faults.error or operation.sql_state
            operation.state = hs2.FAILED if failed else hs2.FINISHED
            self.counts.finished += 1
            operation.ended.set()
