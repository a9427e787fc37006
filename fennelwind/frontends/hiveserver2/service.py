"""The HiveServer2 service as clients see it: sessions, operations and their statuses.

The answer to a query is reported as follows:

- served: synchronous ExecuteStatement returns SUCCESS with a handle; operation state FINISHED
- rejected, safe to retry: ERROR with the hint `fennelwind-refused`; operation state ERROR with the same hint,
  SQLSTATE 53000, error code 1203
- failed, unknown whether it ran: ERROR with the hint `fennelwind-failed`; operation state ERROR with the same
  hint, SQLSTATE HYT00, error code 1204
- cancelled by its client: ERROR; operation state CANCELED, SQLSTATE HY008, error code 1205

The first selector that matches a query determines its class, and the user determines its tenant. The key,
estimates and timeout come from `fennelwind.key`, `.work_ms`, `.memory_mb`, `.tables`, `.shards`,
`.timeout_ms` and `.repeat` in the statement's overlay or else in the session's configuration; a
`queryTimeout` (s) takes precedence over any `.timeout_ms`. Other configuration is sent to the engine with
the statement. Sessions and their operations end with the connection that opened the session.
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
from fennelwind.frontends.hiveserver2.rows import Reader, text_page, to_row_format
from fennelwind.limits.admission import Admission, AdmissionLimits
from fennelwind.loop import DeadlineExceeded, Loop, Once
from fennelwind.thrift import hints
from fennelwind.thrift import hiveserver2 as hs2
from fennelwind.thrift.codec import Structure

CONFIG_PREFIX = "fennelwind."  # prefix of settings for the controller, which aren't sent to engines
SERVER_INFO = {
    hs2.CLI_SERVER_NAME: "fennelwind",
    hs2.CLI_DBMS_NAME: "fennelwind",
    hs2.CLI_DBMS_VER: __version__,
}
MAX_TIMEOUT_MS = 24 * 3600 * 1000.0  # longer client timeouts are reduced to this one
REFUSED_CODE, FAILED_CODE, CANCELLED_CODE, STREAM_CODE, GATE_CODE = 1203, 1204, 1205, 1206, 1207
SCHEMA_CHANGE_TIMEOUT_MS = 600_000.0  # limit for a schema change whose publisher sets no timeout
SUBSCRIBED_SETTING = "fennelwind.subscribed"  # setting in OpenSession's reply to a subscriber
SWEEPS_PER_IDLE_TIMEOUT = 4.0  # number of checks for unused sessions and operations in one idle timeout
UNBOUND_SESSIONS: dict[bytes, None] = {}  # `connection_sessions` where sessions outlive the connection
MAX_SHARDS = 64  # shards per statement; sets that exceed the policy's slots are checked before each attempt
METADATA_OPERATION_TYPES = {
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
OPERATION_STATES = {
    AnswerKind.SERVED: hs2.FINISHED,
    AnswerKind.REJECTED: hs2.FAILED,
    AnswerKind.FAILED: hs2.FAILED,
    AnswerKind.CANCELLED: hs2.CANCELED,
}

# Waits, then returns the reply, and the entry whose answer the reply delivers (None if there is none).
PendingReply = Callable[[], tuple[Structure, Entry | None]]


class BadRequestError(Exception):
    """The request is invalid or can't be served; carries a SQLSTATE."""

    def __init__(self, text: str, state: str = "HY000") -> None:
        super().__init__(text)
        self.state = state


class UnknownHandleError(Exception):
    """The handle is unknown, or belongs to another user."""


class Operation:
    """A statement of a session, from ExecuteStatement to CloseOperation."""

    __slots__ = (
        "handle",
        "ended",
        "entry",
        "reader",
        "started_ms",
        "started_wall_s",
        "last_used_ms",
        "fetched_log_lines",
    )

    def __init__(self, loop: Loop, handle: Structure) -> None:
        self.handle, self.ended = handle, Once(loop)
        self.entry: Entry | None = None
        self.reader: Reader | None = None
        self.started_ms, self.started_wall_s, self.last_used_ms = loop.now(), loop.wall(), loop.now()
        self.fetched_log_lines = 0  # lines of the operation's log that the client has fetched


class Session:
    """A client's session."""

    __slots__ = (
        "handle",
        "user",
        "protocol",
        "state",
        "operations",
        "last_used_ms",
        "is_bound",
        "subscriber",
    )

    def __init__(
        self, handle: Structure, user: str, protocol: int, configuration: dict[str, str], now_ms: float
    ) -> None:
        self.handle, self.user, self.protocol, self.last_used_ms = handle, user, protocol, now_ms
        self.is_bound = True  # whether the session ends with the connection that opened it
        self.state = SessionState(configuration)
        self.operations: dict[bytes, Operation] = {}
        self.subscriber: Any = None  # the session's subscription at the schema gate, if any


def success() -> Structure:
    """Return the status of a successful call."""
    return hs2.TStatus(statusCode=hs2.SUCCESS)


def error(
    text: str, state: str = "HY000", code: int = 0, info_messages: list[str] | None = None
) -> Structure:
    """Return the status of a failed call."""
    return hs2.TStatus(
        statusCode=hs2.ERROR, infoMessages=info_messages, sqlState=state, errorCode=code, errorMessage=text
    )


def answer_status(entry: Entry) -> Structure:
    """Return the status that reports a query's final answer to its client."""
    answer = entry.answer
    if answer.kind == AnswerKind.SERVED:
        return success() if answer.result.error is None else answer.result.error
    if answer.kind == AnswerKind.REJECTED:
        delay_ms = answer.retry_after_ms
        retry_advice = f"; try again after {delay_ms:.0f} ms" if delay_ms else "; try again"
        info_messages = [hints.write(hints.REFUSED, retry_after_ms=delay_ms)]
        return error(f"refused: {answer.reason}{retry_advice}", "53000", REFUSED_CODE, info_messages)
    if answer.kind == AnswerKind.FAILED:
        text = f"failed: {answer.reason}; whether it ran is not known"
        return error(text, "HYT00", FAILED_CODE, [hints.write(hints.FAILED)])
    return error(f"cancelled: {answer.reason}", "HY008", CANCELLED_CODE)


def executing_entry(entry: Entry) -> Entry:
    """Return the entry that executes a query: one shared by equal requests, or else the query's own."""
    return entry.executing_entry or entry


def log_lines(entry: Entry) -> list[str]:
    """Return a query's log for the client: the attempts and the end, without engines' addresses."""
    executing = executing_entry(entry)
    lines = [f"query {executing.query} taken"]
    for index, record in enumerate(executing.attempt_records):
        lines.append(f"attempt {index} begun after {record.started_ms - executing.received_ms:.0f} ms")
        if record.ended_ms is not None:
            lines.append(
                f"attempt {index}: {record.status} after {record.ended_ms - record.started_ms:.0f} ms"
            )
    if entry.answer is not None:
        elapsed_ms = entry.answered_ms - entry.received_ms
        reason = f", {entry.answer.reason}" if entry.answer.reason else ""
        lines.append(f"{entry.answer.kind} after {elapsed_ms:.0f} ms{reason}")
    return lines


def task_status(operation: Operation, entry: Entry) -> str:
    """Return the task status as JSON in Hive's format, with one task per attempt."""
    wall_offset_ms, executing = (
        operation.started_wall_s * 1000.0 - operation.started_ms,
        executing_entry(entry),
    )
    task_list = []
    for index, record in enumerate(executing.attempt_records):
        has_ended = record.ended_ms is not None
        task_list.append(
            {
                "taskId": f"Attempt-{index}",
                "taskType": "ATTEMPT",
                "name": "ATTEMPT",
                "taskState": "FINISHED" if has_ended else "RUNNING",
                "beginTime": int(wall_offset_ms + record.started_ms),
                "endTime": int(wall_offset_ms + record.ended_ms) if has_ended else None,
                "returnValue": (0 if record.status == "ok" else 1) if has_ended else None,
                "errorMsg": record.status if has_ended and record.status != "ok" else None,
            }
        )
    return json.dumps(task_list)


def progress_update(operation: Operation, entry: Entry) -> Structure:
    """Return a query's progress as last reported by its engine."""
    executing = executing_entry(entry)
    return hs2.TProgressUpdateResp(
        headerNames=["ATTEMPTS", "DONE"],
        rows=[[str(executing.attempts), f"{executing.share_done:.0%}"]],
        progressedPercentage=executing.share_done,
        status=0,
        footerSummary="",  # TJobExecutionStatus.IN_PROGRESS
        startTime=int(operation.started_wall_s * 1000),
    )


class Service:
    """The service for the clients of one listener."""

    def __init__(self, loop: Loop, settings: Controller, driver: Driver, gate: Any = None) -> None:
        """Create the service. With a schema gate, sessions may subscribe to schemas and publish changes."""
        self.loop, self.settings, self.driver, self.gate = loop, settings, driver, gate
        self.sessions: dict[bytes, Session] = {}
        self.operations: dict[bytes, tuple[Session, Operation]] = {}
        self.authenticator = Authenticator(loop, settings.users)
        self.expired_sessions = self.expired_operations = 0  # closed because unused for too long
        limits = settings.file.listener
        self.admission = Admission(
            AdmissionLimits(
                limits.max_connections,
                limits.max_connections_per_address,
                limits.max_sessions,
                limits.max_sessions_per_user,
                limits.max_bytes_per_s_per_user,
            )
        )

    def begin(
        self, method: str, request: Structure, user: str, connection_sessions: dict[bytes, None]
    ) -> Structure | PendingReply:
        """Start a call; return the reply, or a function that waits for the reply.

        `connection_sessions` holds the ids of the sessions that the connection has opened.
        """
        handler = getattr(self, "_" + method, None)
        if method in METADATA_OPERATION_TYPES:
            handler = partial(self._call_metadata, method)
        reply = hs2.CODECS[f"T{method}Resp"].make
        if handler is None:
            return reply(status=error(f"{method} is not served here", "0A000"))
        try:
            self._check_owner(request, user)
            return handler(request, user, connection_sessions)
        except BadRequestError as exc:
            return reply(status=error(str(exc), exc.state))
        except UnknownHandleError:
            return reply(
                status=hs2.TStatus(
                    statusCode=hs2.INVALID_HANDLE, sqlState="HY000", errorMessage=f"{method}: unknown handle"
                )
            )

    def start(self) -> None:
        """Start closing sessions and operations that are no longer used."""
        self.loop.spawn(self._expire_unused, name="hs2: sweep")

    def _expire_unused(self) -> None:
        idle_timeout_ms = self.settings.file.listener.idle_ms
        while True:
            self.loop.sleep(idle_timeout_ms / SWEEPS_PER_IDLE_TIMEOUT)
            oldest_ms = self.loop.now() - idle_timeout_ms
            for session in list(self.sessions.values()):
                unanswered = [o for o in session.operations.values() if o.entry.answer is None]
                if session.last_used_ms <= oldest_ms and not unanswered and not session.is_bound:
                    self.expired_sessions += 1
                    self.end_session(session, "nobody used its session")
            for session, operation in list(self.operations.values()):
                if operation.last_used_ms <= oldest_ms and operation.entry.answer is not None:
                    self.expired_operations += 1
                    self._close(session, operation, "nobody used it")

    def end_session(self, session: Session, reason: str) -> None:
        """End a session with all its operations."""
        if self.sessions.pop(session.handle.sessionId.guid, None) is not None:
            self.admission.sessions.release(session.user)
            if session.subscriber is not None:
                self.gate.unsubscribe(session.subscriber)
        for operation in list(session.operations.values()):
            self._close(session, operation, reason)

    # Sessions.

    def _OpenSession(  # noqa: N802
        self,
        request: Structure,
        user: str,
        connection_sessions: dict[bytes, None],
    ) -> Structure | PendingReply:
        protocol = min(max(request.client_protocol or 0, 0), hs2.PROTOCOL_NEWEST)
        user_name = request.username or user
        if self.authenticator.users is not None:
            user_name = user  # a logged-in client can't take another user's name
        refusal = self.admission.sessions.acquire(user_name)
        if refusal is not None:
            raise BadRequestError(refusal, "53300")
        handle = hs2.TSessionHandle(hs2.THandleIdentifier(self.loop.token(16), self.loop.token(16)))
        session = Session(handle, user_name, protocol, dict(request.configuration or {}), self.loop.now())
        if self.gate is not None:
            try:
                session.subscriber = self.gate.subscribe(
                    session.state.configuration(None), protocol, session.state.database
                )
            except FennelwindError as exc:
                self.admission.sessions.release(user_name)
                raise BadRequestError(f"{exc} ({exc.code}: {exc.advice})", "22023") from None
        session.is_bound = connection_sessions is not UNBOUND_SESSIONS
        self.sessions[handle.sessionId.guid] = session
        if session.is_bound:
            connection_sessions[handle.sessionId.guid] = None

        def reply() -> tuple[Structure, None]:
            answered_configuration = (
                {}
                if session.subscriber is None
                else {SUBSCRIBED_SETTING: self.gate.registration_text(session.subscriber)}
            )
            return hs2.TOpenSessionResp(
                status=success(),
                serverProtocolVersion=protocol,
                sessionHandle=handle,
                configuration=answered_configuration,
            ), None

        return reply()[0] if session.subscriber is None else reply

    def _CloseSession(  # noqa: N802
        self, request: Structure, user: str, connection_sessions: dict[bytes, None]
    ) -> Structure:
        session = self._find_session(request.sessionHandle)
        self.end_session(session, "its session was closed")
        connection_sessions.pop(session.handle.sessionId.guid, None)
        return hs2.make("TCloseSessionResp", status=success())

    def _GetInfo(self, request: Structure, user: str, connection_sessions: dict[bytes, None]) -> Structure:  # noqa: N802
        self._find_session(request.sessionHandle)
        name = SERVER_INFO.get(request.infoType)
        if name is None:
            raise BadRequestError(f"GetInfo {request.infoType} is not told here", "HYC00")
        return hs2.TGetInfoResp(status=success(), infoValue=hs2.TGetInfoValue(stringValue=name))

    # Operations.

    def _ExecuteStatement(  # noqa: N802
        self,
        request: Structure,
        user: str,
        connection_sessions: dict[bytes, None],
    ) -> Structure | PendingReply:
        session = self._find_session(request.sessionHandle)
        self._check_operation_limit(session)
        statement = request.statement or ""
        if not statement.strip():
            raise BadRequestError("an empty statement", "42000")
        try:
            is_session_statement = session.state.apply(statement)
        except SessionError as exc:
            raise BadRequestError(str(exc), exc.state) from None
        change = (
            self._schema_change(session, request)
            if self.gate is not None and not is_session_statement
            else None
        )
        # Built for a schema change too, to check permissions: a publisher needs the same ones as for a query.
        submission = self._build_submission(session, request, is_session_statement)
        if change is not None:
            return partial(self._publish_schema_change, change, request)
        operation = self._open_operation(session, hs2.EXECUTE_STATEMENT, not is_session_statement)
        handle = operation.handle
        if is_session_statement:  # the statement only changed the session and is complete
            now_ms = self.loop.now()
            answer = Answer(AnswerKind.SERVED, result=Result())
            operation.entry = Entry(0, submission, now_ms, now_ms, operation.ended.set, answer)
            operation.ended.set(operation.entry)
        else:
            operation.entry = self.driver.submit(submission, operation.ended.set)
        if request.runAsync or is_session_statement:
            return hs2.TExecuteStatementResp(status=success(), operationHandle=handle)
        return partial(self._wait_for_answer, session, operation, hs2.TExecuteStatementResp)

    def _schema_change(self, session: Session, request: Structure) -> Any:
        """Return the schema change that a statement publishes; None if it publishes none."""
        try:
            change = self.gate.publication(request.confOverlay or {}, session.state.database)
        except FennelwindError as exc:
            raise BadRequestError(f"{exc} ({exc.code}: {exc.advice})", "22023") from None
        if change is not None and request.runAsync:
            raise BadRequestError(
                "a change of a schema is not run beside its call: runAsync has to be off", "0A000"
            )
        return change

    def _publish_schema_change(self, change: Any, request: Structure) -> tuple[Structure, None]:
        """Have the gate check a schema change and apply it at all engines; reply with the gate's messages."""
        timeout_ms = (
            request.queryTimeout * 1000.0 if request.queryTimeout and request.queryTimeout > 0 else 0.0
        )
        deadline_ms = self.loop.now() + (min(timeout_ms, MAX_TIMEOUT_MS) or SCHEMA_CHANGE_TIMEOUT_MS)
        reply = hs2.TExecuteStatementResp
        try:
            info_messages = self.gate.publish(change, request.statement, deadline_ms)
        except FennelwindError as exc:
            retry_after = exc.facts.get("again_ms")
            retry_hint = (
                [hints.write(hints.REFUSED, retry_after_ms=float(retry_after))]
                if retry_after is not None
                else None
            )
            text = f"{exc} ({exc.code}: {exc.advice})"
            return reply(status=error(text, getattr(exc, "state", "HY000"), GATE_CODE, retry_hint)), None
        status = success()
        if info_messages:
            status = hs2.TStatus(statusCode=hs2.SUCCESS_WITH_INFO, infoMessages=info_messages)
        return reply(status=status), None

    def _call_metadata(
        self, method: str, request: Structure, user: str, connection_sessions: dict[bytes, None]
    ) -> PendingReply:
        """Submit a metadata call as a query of the metadata class; any engine may answer it."""
        session = self._find_session(request.sessionHandle)
        class_index = self.settings.metadata_class
        if class_index is None:
            raise BadRequestError(f"{method}: the settings name no class for metadata calls", "0A000")
        self._check_operation_limit(session)
        operation = self._open_operation(session, METADATA_OPERATION_TYPES[method], True)
        timeout_ms = self.settings.module.classes[class_index].client_timeout_ms
        operation.entry = self.driver.submit(
            Submission(
                class_index=class_index,
                statement=method,
                deadline_ms=self.loop.now() + timeout_ms,
                user=session.user,
                tenant=self.settings.tenants_by_user.get(session.user, 0),
                database=session.state.database,
                method=method,
                arguments=request,
            ),
            operation.ended.set,
        )
        return partial(self._wait_for_answer, session, operation, hs2.CODECS[f"T{method}Resp"].make)

    def _wait_for_answer(
        self, session: Session, operation: Operation, reply: Callable[..., Structure]
    ) -> tuple[Structure, Entry]:
        """Wait for a query's final answer; return the reply that reports it."""
        try:
            operation.ended.wait()
        except BaseException:  # the client has disconnected without the operation's handle
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
        connection_sessions: dict[bytes, None],
    ) -> Structure | PendingReply:
        _, operation = self._find_operation(request.operationHandle)

        def status() -> Structure:
            entry = operation.entry
            answer = entry.answer
            started_wall_ms = int(operation.started_wall_s * 1000)
            if answer is None:
                state = hs2.RUNNING if executing_entry(entry).attempts else hs2.PENDING
                return hs2.TGetOperationStatusResp(
                    status=success(),
                    operationState=state,
                    hasResultSet=True,
                    operationStarted=started_wall_ms,
                    taskStatus=task_status(operation, entry),
                    progressUpdateResponse=progress_update(operation, entry)
                    if request.getProgressUpdate
                    else None,
                )
            final_status = answer_status(entry)
            has_succeeded = final_status.statusCode == hs2.SUCCESS
            state = (
                OPERATION_STATES[answer.kind]
                if has_succeeded or answer.kind != AnswerKind.SERVED
                else hs2.FAILED
            )
            return hs2.TGetOperationStatusResp(
                status=hs2.TStatus(
                    statusCode=hs2.SUCCESS_WITH_INFO if final_status.infoMessages else hs2.SUCCESS,
                    infoMessages=final_status.infoMessages,
                ),
                operationState=state,
                sqlState=final_status.sqlState,
                errorCode=final_status.errorCode,
                operationStarted=started_wall_ms,
                taskStatus=task_status(operation, entry),
                operationCompleted=started_wall_ms + int(entry.answered_ms - operation.started_ms),
                errorMessage=final_status.errorMessage,
                hasResultSet=has_succeeded and answer.result.schema is not None,
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
        connection_sessions: dict[bytes, None],
    ) -> Structure:
        _, operation = self._find_operation(request.operationHandle)
        result = self._served_entry(operation).answer.result
        if result.schema is None:
            raise BadRequestError("the statement has no result set", "24000")
        return hs2.TGetResultSetMetadataResp(status=success(), schema=result.schema)

    def _FetchResults(  # noqa: N802
        self,
        request: Structure,
        user: str,
        connection_sessions: dict[bytes, None],
    ) -> Structure | PendingReply:
        session, operation = self._find_operation(request.operationHandle)
        if request.fetchType:
            return self._fetch_log(operation, request)
        entry = self._served_entry(operation)
        if operation.reader is None:
            operation.reader = Reader(entry.answer.result)
        if request.orientation == hs2.FETCH_FIRST:
            try:
                operation.reader.first()
            except StreamLostError as exc:
                raise BadRequestError(str(exc), "HYC00") from None
        elif request.orientation not in (None, hs2.FETCH_NEXT):
            raise BadRequestError("only FETCH_NEXT and FETCH_FIRST are served", "HYC00")
        requested_rows = request.maxRows or 0
        max_rows = requested_rows if requested_rows > 0 else self.settings.file.links.page_rows
        if operation.reader.needs_engine:
            return lambda: (self._next_rows(session, operation, max_rows), None)
        return self._next_rows(session, operation, max_rows)

    def _next_rows(self, session: Session, operation: Operation, max_rows: int) -> Structure:
        reader = operation.reader
        try:
            rows, more = reader.next(max_rows)
        except StreamLostError as exc:
            return hs2.TFetchResultsResp(
                status=error(
                    f"failed after {reader.rows} rows: {exc}; the rest can't be had", "08S01", STREAM_CODE
                )
            )
        if session.protocol < hs2.PROTOCOL_COLUMNS:
            rows = to_row_format(rows)
        return hs2.TFetchResultsResp(status=success(), hasMoreRows=more, results=rows)

    def _CancelOperation(  # noqa: N802
        self, request: Structure, user: str, connection_sessions: dict[bytes, None]
    ) -> Structure:
        _, operation = self._find_operation(request.operationHandle)
        self.driver.cancel(operation.entry, "by its client")
        return hs2.make("TCancelOperationResp", status=success())

    def _CloseOperation(  # noqa: N802
        self, request: Structure, user: str, connection_sessions: dict[bytes, None]
    ) -> Structure:
        self._close(*self._find_operation(request.operationHandle), "its operation was closed")
        return hs2.make("TCloseOperationResp", status=success())

    def _GetLog(self, request: Structure, user: str, connection_sessions: dict[bytes, None]) -> Structure:  # noqa: N802
        _, operation = self._find_operation(request.operationHandle)
        text = "".join(line + "\n" for line in log_lines(operation.entry))
        return hs2.make("TGetLogResp", status=success(), log=text)

    def _GetQueryId(self, request: Structure, user: str, connection_sessions: dict[bytes, None]) -> Structure:  # noqa: N802
        _, operation = self._find_operation(request.operationHandle)
        return hs2.make("TGetQueryIdResp", queryId=f"fennelwind_{executing_entry(operation.entry).query}")

    def _fetch_log(self, operation: Operation, request: Structure) -> Structure:
        """Return the log lines that were not fetched yet; the log grows while the query is open."""
        if request.orientation == hs2.FETCH_FIRST:
            operation.fetched_log_lines = 0
        lines = log_lines(operation.entry)[operation.fetched_log_lines :]
        page = text_page(operation.fetched_log_lines, lines)
        operation.fetched_log_lines += len(lines)
        return hs2.TFetchResultsResp(status=success(), hasMoreRows=False, results=page)

    # Shared by the calls.

    def _check_owner(self, request: Structure, user: str) -> None:
        """Raise `UnknownHandleError` for another user's handle, if clients have to log in."""
        if self.authenticator.users is None:
            return
        handle, session = getattr(request, "operationHandle", None), None
        if handle is not None and handle.operationId is not None:
            session, _ = self.operations.get(handle.operationId.guid, (None, None))
        handle = getattr(request, "sessionHandle", None)
        if handle is not None and handle.sessionId is not None:
            session = self.sessions.get(handle.sessionId.guid)
        if session is not None and session.user != user:
            raise UnknownHandleError

    def _check_operation_limit(self, session: Session) -> None:
        if len(session.operations) >= self.settings.file.listener.max_operations:
            raise BadRequestError(
                f"{len(session.operations)} operations of this session are open, which is the limit", "53000"
            )

    def _open_operation(self, session: Session, kind: int, rows: bool) -> Operation:
        """Register a new operation of a session under an unguessable handle; return the operation."""
        handle = hs2.TOperationHandle(
            operationId=hs2.THandleIdentifier(self.loop.token(16), self.loop.token(16)),
            operationType=kind,
            hasResultSet=rows,
        )
        operation = Operation(self.loop, handle)
        session.operations[handle.operationId.guid] = operation
        self.operations[handle.operationId.guid] = session, operation
        return operation

    def _find_session(self, handle: Structure | None) -> Session:
        handle_id = handle.sessionId if handle is not None else None
        session = self.sessions.get(handle_id.guid) if handle_id is not None else None
        if session is None or session.handle.sessionId.secret != handle_id.secret:
            raise UnknownHandleError
        session.last_used_ms = self.loop.now()
        return session

    def _find_operation(self, handle: Structure | None) -> tuple[Session, Operation]:
        handle_id = handle.operationId if handle is not None else None
        owner_and_operation = self.operations.get(handle_id.guid) if handle_id is not None else None
        if (
            owner_and_operation is None
            or owner_and_operation[1].handle.operationId.secret != handle_id.secret
        ):
            raise UnknownHandleError
        owner_and_operation[0].last_used_ms = owner_and_operation[1].last_used_ms = self.loop.now()
        return owner_and_operation

    def _close(self, session: Session, operation: Operation, reason: str) -> None:
        session.operations.pop(operation.handle.operationId.guid, None)
        self.operations.pop(operation.handle.operationId.guid, None)
        self.driver.cancel(operation.entry, reason)
        answer = operation.entry.answer
        if answer is not None and answer.result is not None:
            answer.result.close()

    def _served_entry(self, operation: Operation) -> Entry:
        entry = operation.entry
        if entry.answer is None:
            raise BadRequestError("the statement has not finished", "HY010")
        status = answer_status(entry)
        if status.statusCode != hs2.SUCCESS:
            raise BadRequestError(status.errorMessage, status.sqlState)
        return entry

    def _build_submission(
        self, session: Session, request: Structure, is_session_statement: bool
    ) -> Submission:
        options, statement = session.state.configuration(request.confOverlay), request.statement
        if is_session_statement:
            return Submission(0, statement, self.loop.now(), session.user)
        cls = self.settings.class_of(session.user, statement, options)
        if cls is None:
            raise BadRequestError("no selector names a class for this statement", "42000")
        class_name = self.settings.module.classes[cls].name
        if not self.authenticator.may_run(session.user, class_name):
            raise BadRequestError(f"{session.user} may not run queries of class {class_name}", "42501")
        timeout_ms = self.settings.module.classes[cls].client_timeout_ms
        timeout_ms = read_number(options, "timeout_ms", timeout_ms)
        if request.queryTimeout and request.queryTimeout > 0:
            timeout_ms = request.queryTimeout * 1000.0
        work_ms = read_number(options, "work_ms", 0.0)
        table_group_number = read_number(options, "tables", -1.0)
        return Submission(
            class_index=cls,
            statement=statement,
            deadline_ms=self.loop.now() + min(timeout_ms, MAX_TIMEOUT_MS),
            user=session.user,
            tenant=self.settings.tenants_by_user.get(session.user, 0),
            key=options.get(CONFIG_PREFIX + "key") or None,
            estimated_work_ms=work_ms or None,
            estimated_memory_mb=read_number(options, "memory_mb", 0.0),
            table_group=int(table_group_number) if table_group_number >= 0 else None,
            is_client_retry=options.get(CONFIG_PREFIX + "repeat") == "true",
            database=session.state.database,
            request_id=options.get(CONFIG_PREFIX + "request", ""),
            shards=read_shards(options),
            overlay={key: value for key, value in options.items() if not key.startswith(CONFIG_PREFIX)},
        )


def read_shards(options: dict[str, str]) -> tuple[str, ...]:
    """Return the shards that a statement names in a comma-separated option. Raises `BadRequestError`."""
    names = tuple(
        filter(None, (part.strip() for part in options.get(CONFIG_PREFIX + "shards", "").split(",")))
    )
    if len(names) > MAX_SHARDS:
        raise BadRequestError(
            f"{CONFIG_PREFIX}shards: {len(names)} are named, where {MAX_SHARDS} may be", "22023"
        )
    return names


def read_number(options: dict[str, str], name: str, default: float) -> float:
    """Return a number from the configuration, or `default` if unset. Raises `BadRequestError` if invalid."""
    text = options.get(CONFIG_PREFIX + name)
    if text is None:
        return default
    try:
        value = float(text)
    except ValueError:
        value = -1.0
    if not 0.0 <= value < 1e15:
        raise BadRequestError(f"{CONFIG_PREFIX}{name}: {text[:40]!r} is no figure", "22023")
    return value
