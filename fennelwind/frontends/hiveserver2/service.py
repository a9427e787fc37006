"""The HiveServer2 service as clients see it: sessions, operations and the meaning of their statuses.

| what became of a query | sync ExecuteStatement | operation state | SQLSTATE | error code | | --- | --- |
--- | --- | --- | | served | SUCCESS with a handle | FINISHED | | | | refused: a further try is harmless |
ERROR, hint `fennelwind-refused` | ERROR, same hint | 53000 | 1203 | | failed: whether it ran is unknown |
ERROR, hint `fennelwind-failed` | ERROR, same hint | HYT00 | 1204 | | cancelled by its client | ERROR |
CANCELED | HY008 | 1205 |

A query's class is that of the first selector that matches; its tenant is its user's; its key, estimates and
time-out come from `fennelwind.key`, `.work_ms`, `.memory_mb`, `.tables`, `.shards`, `.timeout_ms` and
`.repeat` in the statement's overlay or else the session's configuration; `queryTimeout` (s) comes before all
of them. Other configuration goes to the engine with the statement. Sessions and their operations end with the
connection that opened them.
"""

import json
from collections.abc import Callable
from functools import partial
from typing import Any

from fennelwind import __version__
from fennelwind.config import Controller
from fennelwind.dispatch.driver import Driver
from fennelwind.dispatch.ledger import Entry
from fennelwind.dispatch.sessions import SessionError, SessionState
from fennelwind.dispatch.types import Answer, AnswerKind, Result, Submission
from fennelwind.engines.row_stream import StreamLostError
from fennelwind.errors import FennelwindError
from fennelwind.frontends.hiveserver2.authentication import Authenticator
from fennelwind.frontends.hiveserver2.rows import Reader, by_rows, text_page
from fennelwind.limits.admission import Admission, AdmissionLimits
from fennelwind.loop import DeadlineExceeded, Loop, Once
from fennelwind.thrift import hints
from fennelwind.thrift import hiveserver2 as hs2
from fennelwind.thrift.codec import Structure

OWN = "fennelwind."  # configuration with this prefix is the controller's and does not go to engines
NAMES = {hs2.CLI_SERVER_NAME: "fennelwind", hs2.CLI_DBMS_NAME: "fennelwind", hs2.CLI_DBMS_VER: __version__}
TIMEOUT_MOST_MS = 24 * 3600 * 1000.0  # ms; a client that would wait longer is taken to mean this
REFUSED_CODE, FAILED_CODE, CANCELLED_CODE, STREAM_CODE, GATE_CODE = 1203, 1204, 1205, 1206, 1207
CHANGE_MS = 600_000.0  # ms that a change of a schema may take where its publisher states no time-out
SUBSCRIBED = "fennelwind.subscribed"  # setting in which OpenSession answers a subscriber
SWEEPS = 4.0  # looks for idle sessions and forgotten operations within the time that makes them so
NOT_BOUND: dict[bytes, None] = {}  # in place of a connection's sessions: they outlive it
SHARDS_MOST = 64  # named by one statement; more sets than slots are left to a look ahead of each attempt
METADATA = {
    "GetTypeInfo": 1,
    "GetCatalogs": 2,
    "GetSchemas": 3,
    "GetTables": 4,
    "GetTableTypes": 5,
    "GetColumns": 6,
    "GetFunctions": 7,
    "GetPrimaryKeys": 8,
    "GetCrossReference": 8,
}  # TOperationType
STATES = {
    AnswerKind.SERVED: hs2.FINISHED,
    AnswerKind.REJECTED: hs2.FAILED,
    AnswerKind.FAILED: hs2.FAILED,
    AnswerKind.CANCELLED: hs2.CANCELED,
}

Pending = Callable[[], tuple[Structure, Entry | None]]  # waits, then gives the reply and what it answers


class BadRequestError(Exception):
    """A request that can't be met, with its SQLSTATE."""

    def __init__(self, text: str, state: str = "HY000") -> None:
        super().__init__(text)
        self.state = state


class UnknownHandleError(Exception):
    """A handle that is not known here, or is another session's."""


class Operation:
    """A statement of a session, from ExecuteStatement to CloseOperation."""

    __slots__ = ("handle", "ended", "entry", "reader", "started_ms", "started_wall_s", "used_ms", "log_read")

    def __init__(self, loop: Loop, handle: Structure) -> None:
        self.handle, self.ended = handle, Once(loop)
        self.entry: Entry | None = None
        self.reader: Reader | None = None
        self.started_ms, self.started_wall_s, self.used_ms = loop.now(), loop.wall(), loop.now()
        self.log_read = 0  # lines of its log that were fetched


class Session:
    """A client's session."""

    __slots__ = ("handle", "user", "protocol", "state", "operations", "used_ms", "bound", "subscriber")

    def __init__(
        self, handle: Structure, user: str, protocol: int, configuration: dict[str, str], now_ms: float
    ) -> None:
        self.handle, self.user, self.protocol, self.used_ms = handle, user, protocol, now_ms
        self.bound = True  # it ends with the connection that opened it
        self.state = SessionState(configuration)
        self.operations: dict[bytes, Operation] = {}
        self.subscriber: Any = None  # what it reads, for the gate of schema changes


def success() -> Structure:
    """Return the status of a call that went well."""
    return hs2.TStatus(statusCode=hs2.SUCCESS)


def error(text: str, state: str = "HY000", code: int = 0, told: list[str] | None = None) -> Structure:
    """Return the status of a call that did not."""
    return hs2.TStatus(
        statusCode=hs2.ERROR, infoMessages=told, sqlState=state, errorCode=code, errorMessage=text
    )


def answer_status(entry: Entry) -> Structure:
    """Return the status that a query's final answer has for its client."""
    answer = entry.answer
    if answer.kind == AnswerKind.SERVED:
        return success() if answer.result.error is None else answer.result.error
    if answer.kind == AnswerKind.REJECTED:
        wait = answer.retry_after_ms
        again = f"; try again after {wait:.0f} ms" if wait else "; try again"
        told = [hints.write(hints.REFUSED, retry_after_ms=wait)]
        return error(f"refused: {answer.reason}{again}", "53000", REFUSED_CODE, told)
    if answer.kind == AnswerKind.FAILED:
        text = f"failed: {answer.reason}; whether it ran is not known"
        return error(text, "HYT00", FAILED_CODE, [hints.write(hints.FAILED)])
    return error(f"cancelled: {answer.reason}", "HY008", CANCELLED_CODE)


def runs(entry: Entry) -> Entry:
    """Return the entry whose attempts a query's client waits for."""
    return entry.executing_entry or entry


def log_lines(entry: Entry) -> list[str]:
    """Return what a client may know of its query: its attempts and its end, and no engine's address."""
    own = runs(entry)
    lines = [f"query {own.query} taken"]
    for number, each in enumerate(own.attempt_records):
        lines.append(f"attempt {number} begun after {each.started_ms - own.received_ms:.0f} ms")
        if each.ended_ms is not None:
            lines.append(f"attempt {number}: {each.status} after {each.ended_ms - each.started_ms:.0f} ms")
    if entry.answer is not None:
        took = entry.answered_ms - entry.received_ms
        reason = f", {entry.answer.reason}" if entry.answer.reason else ""
        lines.append(f"{entry.answer.kind} after {took:.0f} ms{reason}")
    return lines


def tasks(operation: Operation, entry: Entry) -> str:
    """Return the task status: JSON as Hive gives it, with a task for each attempt."""
    began, own = operation.started_wall_s * 1000.0 - operation.started_ms, runs(entry)
    told = []
    for number, each in enumerate(own.attempt_records):
        over = each.ended_ms is not None
        told.append(
            {
                "taskId": f"Attempt-{number}",
                "taskType": "ATTEMPT",
                "name": "ATTEMPT",
                "taskState": "FINISHED" if over else "RUNNING",
                "beginTime": int(began + each.started_ms),
                "endTime": int(began + each.ended_ms) if over else None,
                "returnValue": (0 if each.status == "ok" else 1) if over else None,
                "errorMsg": each.status if over and each.status != "ok" else None,
            }
        )
    return json.dumps(told)


def progress(operation: Operation, entry: Entry) -> Structure:
    """Return a query's progress, as far as its engine tells."""
    own = runs(entry)
    return hs2.TProgressUpdateResp(
        headerNames=["ATTEMPTS", "DONE"],
        rows=[[str(own.attempts), f"{own.share_done:.0%}"]],
        progressedPercentage=own.share_done,
        status=0,
        footerSummary="",  # TJobExecutionStatus.IN_PROGRESS
        startTime=int(operation.started_wall_s * 1000),
    )


class Service:
    """The service for the clients of one listener."""

    def __init__(self, loop: Loop, settings: Controller, driver: Driver, gate: Any = None) -> None:
        """Serve; with a `gate` (`keeper.gate.Gate`) sessions may subscribe, and statements bring schemas."""
        self.loop, self.settings, self.driver, self.gate = loop, settings, driver, gate
        self.sessions: dict[bytes, Session] = {}
        self.operations: dict[bytes, tuple[Session, Operation]] = {}
        self.authenticator = Authenticator(loop, settings.users)
        self.idled = self.forgotten = 0  # sessions and operations that nobody used for too long
        bounds = settings.file.listener
        self.admission = Admission(
            AdmissionLimits(
                bounds.max_connections,
                bounds.max_connections_per_address,
                bounds.max_sessions,
                bounds.max_sessions_per_user,
                bounds.max_bytes_per_s_per_user,
            )
        )

    def begin(
        self, method: str, request: Structure, user: str, mine: dict[bytes, None]
    ) -> Structure | Pending:
        """Take a call; return its reply, or what waits for it. `mine`: what the connection has opened."""
        call = getattr(self, "_" + method, None)
        if method in METADATA:
            call = partial(self._metadata, method)
        reply = hs2.CODECS[f"T{method}Resp"].make
        if call is None:
            return reply(status=error(f"{method} is not served here", "0A000"))
        try:
            self._own(request, user)
            return call(request, user, mine)
        except BadRequestError as exc:
            return reply(status=error(str(exc), exc.state))
        except UnknownHandleError:
            return reply(
                status=hs2.TStatus(
                    statusCode=hs2.INVALID_HANDLE, sqlState="HY000", errorMessage=f"{method}: unknown handle"
                )
            )

    def start(self) -> None:
        """Look after sessions and operations that nobody uses any more."""
        self.loop.spawn(self._sweep, name="hs2: sweep")

    def _sweep(self) -> None:
        idle = self.settings.file.listener.idle_ms
        while True:
            self.loop.sleep(idle / SWEEPS)
            old = self.loop.now() - idle
            for session in list(self.sessions.values()):
                open_ones = [o for o in session.operations.values() if o.entry.answer is None]
                if session.used_ms <= old and not open_ones and not session.bound:
                    self.idled += 1
                    self.end(session, "nobody used its session")
            for session, operation in list(self.operations.values()):
                if operation.used_ms <= old and operation.entry.answer is not None:
                    self.forgotten += 1
                    self._close(session, operation, "nobody used it")

    def end(self, session: Session, reason: str) -> None:
        """End a session with all its operations."""
        if self.sessions.pop(session.handle.sessionId.guid, None) is not None:
            self.admission.sessions.release(session.user)
            if session.subscriber is not None:
                self.gate.leave(session.subscriber)
        for operation in list(session.operations.values()):
            self._close(session, operation, reason)

    # Sessions.

    def _OpenSession(  # noqa: N802
        self,
        request: Structure,
        user: str,
        mine: dict[bytes, None],
    ) -> Structure | Pending:
        protocol = min(max(request.client_protocol or 0, 0), hs2.PROTOCOL_NEWEST)
        who = request.username or user
        if self.authenticator.users is not None:
            who = user  # nobody may be somebody else
        against = self.admission.sessions.acquire(who)
        if against is not None:
            raise BadRequestError(against, "53300")
        handle = hs2.TSessionHandle(hs2.THandleIdentifier(self.loop.token(16), self.loop.token(16)))
        session = Session(handle, who, protocol, dict(request.configuration or {}), self.loop.now())
        if self.gate is not None:
            try:
                session.subscriber = self.gate.subscribe(
                    session.state.configuration(None), protocol, session.state.database
                )
            except FennelwindError as exc:
                self.admission.sessions.release(who)
                raise BadRequestError(f"{exc} ({exc.code}: {exc.advice})", "22023") from None
        session.bound = mine is not NOT_BOUND
        self.sessions[handle.sessionId.guid] = session
        if session.bound:
            mine[handle.sessionId.guid] = None

        def reply() -> tuple[Structure, None]:
            told = {} if session.subscriber is None else {SUBSCRIBED: self.gate.word(session.subscriber)}
            return hs2.TOpenSessionResp(
                status=success(), serverProtocolVersion=protocol, sessionHandle=handle, configuration=told
            ), None

        return reply()[0] if session.subscriber is None else reply

    def _CloseSession(self, request: Structure, user: str, mine: dict[bytes, None]) -> Structure:  # noqa: N802
        session = self._session(request.sessionHandle)
        self.end(session, "its session was closed")
        mine.pop(session.handle.sessionId.guid, None)
        return hs2.make("TCloseSessionResp", status=success())

    def _GetInfo(self, request: Structure, user: str, mine: dict[bytes, None]) -> Structure:  # noqa: N802
        self._session(request.sessionHandle)
        name = NAMES.get(request.infoType)
        if name is None:
            raise BadRequestError(f"GetInfo {request.infoType} is not told here", "HYC00")
        return hs2.TGetInfoResp(status=success(), infoValue=hs2.TGetInfoValue(stringValue=name))

    # Operations.

    def _ExecuteStatement(  # noqa: N802
        self,
        request: Structure,
        user: str,
        mine: dict[bytes, None],
    ) -> Structure | Pending:
        session = self._session(request.sessionHandle)
        self._room(session)
        statement = request.statement or ""
        if not statement.strip():
            raise BadRequestError("an empty statement", "42000")
        try:
            own = session.state.apply(statement)
        except SessionError as exc:
            raise BadRequestError(str(exc), exc.state) from None
        change = self._change(session, request) if self.gate is not None and not own else None
        submission = self._submission(session, request, own)  # also a publisher may do only what users may
        if change is not None:
            return partial(self._publish, change, request)
        operation = self._operate(session, hs2.EXECUTE_STATEMENT, not own)
        handle = operation.handle
        if own:  # it concerned the session alone, and is done
            now = self.loop.now()
            done = Answer(AnswerKind.SERVED, result=Result())
            operation.entry = Entry(0, submission, now, now, operation.ended.set, done)
            operation.ended.set(operation.entry)
        else:
            operation.entry = self.driver.submit(submission, operation.ended.set)
        if request.runAsync or own:
            return hs2.TExecuteStatementResp(status=success(), operationHandle=handle)
        return partial(self._answer, session, operation, hs2.TExecuteStatementResp)

    def _change(self, session: Session, request: Structure) -> Any:
        """Return the change of a table's schema that a statement brings along; None if it brings none."""
        try:
            change = self.gate.publication(request.confOverlay or {}, session.state.database)
        except FennelwindError as exc:
            raise BadRequestError(f"{exc} ({exc.code}: {exc.advice})", "22023") from None
        if change is not None and request.runAsync:
            raise BadRequestError(
                "a change of a schema is not run beside its call: runAsync has to be off", "0A000"
            )
        return change

    def _publish(self, change: Any, request: Structure) -> tuple[Structure, None]:
        """Have a change judged and made, on all engines; the reply tells what is to be known of it."""
        asked = request.queryTimeout * 1000.0 if request.queryTimeout and request.queryTimeout > 0 else 0.0
        until = self.loop.now() + (min(asked, TIMEOUT_MOST_MS) or CHANGE_MS)
        reply = hs2.TExecuteStatementResp
        try:
            told = self.gate.publish(change, request.statement, until)
        except FennelwindError as exc:
            again = exc.facts.get("again_ms")
            hint = [hints.write(hints.REFUSED, retry_after_ms=float(again))] if again is not None else None
            text = f"{exc} ({exc.code}: {exc.advice})"
            return reply(status=error(text, getattr(exc, "state", "HY000"), GATE_CODE, hint)), None
        status = success()
        if told:
            status = hs2.TStatus(statusCode=hs2.SUCCESS_WITH_INFO, infoMessages=told)
        return reply(status=status), None

    def _metadata(self, method: str, request: Structure, user: str, mine: dict[bytes, None]) -> Pending:
        """Take a metadata call: a query of a class of its own, that any engine may answer."""
        session = self._session(request.sessionHandle)
        cls = self.settings.metadata_class
        if cls is None:
            raise BadRequestError(f"{method}: the settings name no class for metadata calls", "0A000")
        self._room(session)
        operation = self._operate(session, METADATA[method], True)
        give_up = self.settings.module.classes[cls].client_timeout_ms
        operation.entry = self.driver.submit(
            Submission(
                class_index=cls,
                statement=method,
                deadline_ms=self.loop.now() + give_up,
                user=session.user,
                tenant=self.settings.tenants_by_user.get(session.user, 0),
                database=session.state.database,
                method=method,
                arguments=request,
            ),
            operation.ended.set,
        )
        return partial(self._answer, session, operation, hs2.CODECS[f"T{method}Resp"].make)

    def _answer(
        self, session: Session, operation: Operation, reply: Callable[..., Structure]
    ) -> tuple[Structure, Entry]:
        """Wait for a query's final answer; return the reply that tells it."""
        try:
            operation.ended.wait()
        except BaseException:  # its client went, and nobody will ever name this operation
            self._close(session, operation, "its connection ended")
            raise
        status = answer_status(operation.entry)
        if status.statusCode != hs2.SUCCESS:
            self._close(session, operation, "")
            return reply(status=status), operation.entry
        return reply(status=status, operationHandle=operation.handle), operation.entry

    def _GetOperationStatus(  # noqa: N802
        self,
        request: Structure,
        user: str,
        mine: dict[bytes, None],
    ) -> Structure | Pending:
        _, operation = self._operation(request.operationHandle)

        def status() -> Structure:
            entry = operation.entry
            answer = entry.answer
            started = int(operation.started_wall_s * 1000)
            if answer is None:
                state = hs2.RUNNING if runs(entry).attempts else hs2.PENDING
                return hs2.TGetOperationStatusResp(
                    status=success(),
                    operationState=state,
                    hasResultSet=True,
                    operationStarted=started,
                    taskStatus=tasks(operation, entry),
                    progressUpdateResponse=progress(operation, entry) if request.getProgressUpdate else None,
                )
            told = answer_status(entry)
            ok = told.statusCode == hs2.SUCCESS
            state = STATES[answer.kind] if ok or answer.kind != AnswerKind.SERVED else hs2.FAILED
            return hs2.TGetOperationStatusResp(
                status=hs2.TStatus(
                    statusCode=hs2.SUCCESS_WITH_INFO if told.infoMessages else hs2.SUCCESS,
                    infoMessages=told.infoMessages,
                ),
                operationState=state,
                sqlState=told.sqlState,
                errorCode=told.errorCode,
                operationStarted=started,
                taskStatus=tasks(operation, entry),
                operationCompleted=started + int(entry.answered_ms - operation.started_ms),
                errorMessage=told.errorMessage,
                hasResultSet=ok and answer.result.schema is not None,
            )

        if operation.ended.ready:
            return status()

        def wait() -> tuple[Structure, Entry | None]:
            try:
                with self.loop.deadline(self.settings.file.listener.long_poll_ms):
                    operation.ended.wait()
            except DeadlineExceeded:
                return status(), None
            return status(), operation.entry

        return wait

    def _GetResultSetMetadata(  # noqa: N802
        self,
        request: Structure,
        user: str,
        mine: dict[bytes, None],
    ) -> Structure:
        _, operation = self._operation(request.operationHandle)
        result = self._served(operation).answer.result
        if result.schema is None:
            raise BadRequestError("the statement has no result set", "24000")
        return hs2.TGetResultSetMetadataResp(status=success(), schema=result.schema)

    def _FetchResults(  # noqa: N802
        self,
        request: Structure,
        user: str,
        mine: dict[bytes, None],
    ) -> Structure | Pending:
        session, operation = self._operation(request.operationHandle)
        if request.fetchType:
            return self._fetch_log(operation, request)
        entry = self._served(operation)
        if operation.reader is None:
            operation.reader = Reader(entry.answer.result)
        if request.orientation == hs2.FETCH_FIRST:
            try:
                operation.reader.first()
            except StreamLostError as exc:
                raise BadRequestError(str(exc), "HYC00") from None
        elif request.orientation not in (None, hs2.FETCH_NEXT):
            raise BadRequestError("only FETCH_NEXT and FETCH_FIRST are served", "HYC00")
        asked = request.maxRows or 0
        most = asked if asked > 0 else self.settings.file.links.page_rows
        if operation.reader.waits:
            return lambda: (self._next_rows(session, operation, most), None)
        return self._next_rows(session, operation, most)

    def _next_rows(self, session: Session, operation: Operation, most: int) -> Structure:
        reader = operation.reader
        try:
            rows, more = reader.next(most)
        except StreamLostError as exc:
            return hs2.TFetchResultsResp(
                status=error(
                    f"failed after {reader.rows} rows: {exc}; the rest can't be had", "08S01", STREAM_CODE
                )
            )
        if session.protocol < hs2.PROTOCOL_COLUMNS:
            rows = by_rows(rows)
        return hs2.TFetchResultsResp(status=success(), hasMoreRows=more, results=rows)

    def _CancelOperation(self, request: Structure, user: str, mine: dict[bytes, None]) -> Structure:  # noqa: N802
        _, operation = self._operation(request.operationHandle)
        self.driver.cancel(operation.entry, "by its client")
        return hs2.make("TCancelOperationResp", status=success())

    def _CloseOperation(self, request: Structure, user: str, mine: dict[bytes, None]) -> Structure:  # noqa: N802
        self._close(*self._operation(request.operationHandle), "its operation was closed")
        return hs2.make("TCloseOperationResp", status=success())

    def _GetLog(self, request: Structure, user: str, mine: dict[bytes, None]) -> Structure:  # noqa: N802
        _, operation = self._operation(request.operationHandle)
        text = "".join(line + "\n" for line in log_lines(operation.entry))
        return hs2.make("TGetLogResp", status=success(), log=text)

    def _GetQueryId(self, request: Structure, user: str, mine: dict[bytes, None]) -> Structure:  # noqa: N802
        _, operation = self._operation(request.operationHandle)
        return hs2.make("TGetQueryIdResp", queryId=f"fennelwind_{runs(operation.entry).query}")

    def _fetch_log(self, operation: Operation, request: Structure) -> Structure:
        """Return the log's lines that were not fetched yet; the log grows while the query is open."""
        if request.orientation == hs2.FETCH_FIRST:
            operation.log_read = 0
        lines = log_lines(operation.entry)[operation.log_read :]
        page = text_page(operation.log_read, lines)
        operation.log_read += len(lines)
        return hs2.TFetchResultsResp(status=success(), hasMoreRows=False, results=page)

    # What they share.

    def _own(self, request: Structure, user: str) -> None:
        """Raise `UnknownHandleError` for a handle of another user, where users are told apart."""
        if self.authenticator.users is None:
            return
        told, session = getattr(request, "operationHandle", None), None
        if told is not None and told.operationId is not None:
            session, _ = self.operations.get(told.operationId.guid, (None, None))
        told = getattr(request, "sessionHandle", None)
        if told is not None and told.sessionId is not None:
            session = self.sessions.get(told.sessionId.guid)
        if session is not None and session.user != user:
            raise UnknownHandleError

    def _room(self, session: Session) -> None:
        if len(session.operations) >= self.settings.file.listener.max_operations:
            raise BadRequestError(
                f"{len(session.operations)} operations of this session are open, which is the limit", "53000"
            )

    def _operate(self, session: Session, kind: int, rows: bool) -> Operation:
        """Enter an operation of a session, under a handle that nobody can guess."""
        handle = hs2.TOperationHandle(
            operationId=hs2.THandleIdentifier(self.loop.token(16), self.loop.token(16)),
            operationType=kind,
            hasResultSet=rows,
        )
        operation = Operation(self.loop, handle)
        session.operations[handle.operationId.guid] = operation
        self.operations[handle.operationId.guid] = session, operation
        return operation

    def _session(self, handle: Structure | None) -> Session:
        told = handle.sessionId if handle is not None else None
        session = self.sessions.get(told.guid) if told is not None else None
        if session is None or session.handle.sessionId.secret != told.secret:
            raise UnknownHandleError
        session.used_ms = self.loop.now()
        return session

    def _operation(self, handle: Structure | None) -> tuple[Session, Operation]:
        told = handle.operationId if handle is not None else None
        found = self.operations.get(told.guid) if told is not None else None
        if found is None or found[1].handle.operationId.secret != told.secret:
            raise UnknownHandleError
        found[0].used_ms = found[1].used_ms = self.loop.now()
        return found

    def _close(self, session: Session, operation: Operation, reason: str) -> None:
        session.operations.pop(operation.handle.operationId.guid, None)
        self.operations.pop(operation.handle.operationId.guid, None)
        self.driver.cancel(operation.entry, reason)
        answer = operation.entry.answer
        if answer is not None and answer.result is not None:
            answer.result.close()

    def _served(self, operation: Operation) -> Entry:
        entry = operation.entry
        if entry.answer is None:
            raise BadRequestError("the statement has not finished", "HY010")
        status = answer_status(entry)
        if status.statusCode != hs2.SUCCESS:
            raise BadRequestError(status.errorMessage, status.sqlState)
        return entry

    def _submission(self, session: Session, request: Structure, own: bool) -> Submission:
        said, statement = session.state.configuration(request.confOverlay), request.statement
        if own:
            return Submission(0, statement, self.loop.now(), session.user)
        cls = self.settings.class_of(session.user, statement, said)
        if cls is None:
            raise BadRequestError("no selector names a class for this statement", "42000")
        name = self.settings.module.classes[cls].name
        if not self.authenticator.may_run(session.user, name):
            raise BadRequestError(f"{session.user} may not run queries of class {name}", "42501")
        timeout = self.settings.module.classes[cls].client_timeout_ms
        timeout = number(said, "timeout_ms", timeout)
        if request.queryTimeout and request.queryTimeout > 0:
            timeout = request.queryTimeout * 1000.0
        work = number(said, "work_ms", 0.0)
        tables = number(said, "tables", -1.0)
        return Submission(
            class_index=cls,
            statement=statement,
            deadline_ms=self.loop.now() + min(timeout, TIMEOUT_MOST_MS),
            user=session.user,
            tenant=self.settings.tenants_by_user.get(session.user, 0),
            key=said.get(OWN + "key") or None,
            estimated_work_ms=work or None,
            estimated_memory_mb=number(said, "memory_mb", 0.0),
            table_group=int(tables) if tables >= 0 else None,
            is_client_retry=said.get(OWN + "repeat") == "true",
            database=session.state.database,
            request_id=said.get(OWN + "request", ""),
            shards=shards(said),
            overlay={key: value for key, value in said.items() if not key.startswith(OWN)},
        )


def shards(said: dict[str, str]) -> tuple[str, ...]:
    """Read the shards that a statement names, parted by commas. Raises `BadRequestError`."""
    named = tuple(filter(None, (part.strip() for part in said.get(OWN + "shards", "").split(","))))
    if len(named) > SHARDS_MOST:
        raise BadRequestError(f"{OWN}shards: {len(named)} are named, where {SHARDS_MOST} may be", "22023")
    return named


def number(said: dict[str, str], name: str, absent: float) -> float:
    """Read a figure of the configuration. Raises `BadRequestError` for what is none."""
    text = said.get(OWN + name)
    if text is None:
        return absent
    try:
        value = float(text)
    except ValueError:
        value = -1.0
    if not 0.0 <= value < 1e15:
        raise BadRequestError(f"{OWN}{name}: {text[:40]!r} is no figure", "22023")
    return value
