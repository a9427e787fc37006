"""One attempt of a statement at an engine, and every way in which it can end.

An attempt calls ExecuteStatement (asynchronously), polls GetOperationStatus until the operation has ended,
then fetches the pages of its result. Nothing can have run before ExecuteStatement is written, so a failure is
classified by whether it happened before or after that write:

- before that write, any failure is `CONNECT_FAILED`, and a rejected session or a full pool is `OVERLOADED`
- the engine's hint `fennelwind-not-run` means `OVERLOADED`: the statement was rejected without being run
- an error caused by the statement itself (`statement_status.py`) is an answer, `OK`, since it would occur at
  any engine; this includes a failed `USE`
- after that write, a broken connection or a malformed reply is `RESET`, an error status is `ERROR`
- when this process has no file descriptors left, `NOT_STARTED`: nothing was sent, and the engine is not at
  fault
- `TIMEOUT` at the deadline, `CANCELLED` when the attempt's task is cancelled; the operation that remains at
  the engine is cancelled
"""

from collections.abc import Iterator
from contextlib import contextmanager, suppress
from copy import copy
from typing import Protocol

from hdrh.histogram import HdrHistogram

from fennelwind.config import settings_pb2 as pb
from fennelwind.dispatch.types import AttemptEnd, AttemptRequest, Result
from fennelwind.engines.connection import EngineConnection, RemoteError
from fennelwind.engines.connection_pool import ConnectionPool, PoolExhaustedError
from fennelwind.engines.operation_cleanup import OperationCleanup
from fennelwind.engines.row_stream import RowStream, StreamCounts, can_stream
from fennelwind.engines.statement_status import StatementStatus, classify
from fennelwind.loop import DeadlineExceeded, LocalConnectFailure, Loop
from fennelwind.policy import AttemptStatus, ProgressKind
from fennelwind.thrift import hints
from fennelwind.thrift import hiveserver2 as hs2
from fennelwind.thrift.codec import Malformed, Structure
from fennelwind.thrift.hiveserver2 import row_count

MIN_POLL_MS, MAX_POLL_MS = 2.0, 50.0  # ms between polls of an engine without long polling


class AttemptServices(Protocol):
    """The parts of the engine client that an attempt uses."""

    loop: Loop
    settings: pb.EngineLinks
    cleanup: OperationCleanup
    stream_counts: StreamCounts
    connection_wait_us: HdrHistogram

    def load(self, status: Structure) -> dict[str, float]:
        """Return the load figures among a status's hints that the settings name."""

    def send_grant(self, attempt: "Attempt") -> None:
        """Send the engine the attempt's grant unless the engine already has this grant."""


class Attempt:
    """One attempt in progress."""

    def __init__(self, services: AttemptServices, pool: ConnectionPool, request: AttemptRequest) -> None:
        self.services, self.pool, self.request, self.loop = services, pool, request, services.loop
        self.connection: EngineConnection | None = None
        self.handle: Structure | None = None
        self.is_over = False
        self.is_grant_update_running = False
        self.known_grant: dict[str, str] | None = None  # the last grant sent to the engine
        self._may_have_run = False  # true once the statement may have reached the engine
        self._is_database_sent = False  # true once `USE` was sent for this statement
        self._load: dict[str, float] = {}
        self._cost: dict[str, float] = {}

    def grant(self) -> dict[str, str]:
        """Return the attempt's memory grant and priority, as settings of its session."""
        grant = {"fennelwind.priority": str(self.request.priority)}
        if self.request.memory_mb:
            grant["fennelwind.memory_mb"] = f"{self.request.memory_mb:.6g}"
        return grant

    def run(self) -> AttemptEnd:
        """Make the attempt and wait for its end. Raises only the cancellation of its own task."""
        try:
            with self._release_on_early_end(), self.loop.deadline_at(self.request.deadline_ms):
                self._connect()
                self._enter_database()
                reason = self.request.reason_not_to_start()
                if reason:
                    self.pool.put(self.connection)
                    return self._end(AttemptStatus.NOT_STARTED, reason)
                return self._end(AttemptStatus.OK, result=self._execute())
        except DeadlineExceeded as exc:
            if not self._may_have_run:
                return self._end(AttemptStatus.CONNECT_FAILED, str(exc) or "no connection in time")
            return self._end(AttemptStatus.TIMEOUT, "no answer in time")
        except PoolExhaustedError as exc:
            return self._end(AttemptStatus.OVERLOADED, str(exc))
        except LocalConnectFailure as exc:
            return self._end(AttemptStatus.NOT_STARTED, str(exc))
        except (OSError, Malformed) as exc:
            status = AttemptStatus.RESET if self._may_have_run else AttemptStatus.CONNECT_FAILED
            return self._end(status, str(exc))
        except RemoteError as exc:
            return self._end_by_error(exc)

    def _end_by_error(self, error: RemoteError) -> AttemptEnd:
        self._read_hints(error.status)
        statement_status = StatementStatus.ENGINE_ERROR
        if error.status is not None:
            statement_status = classify(error.status.sqlState, error.status.infoMessages)
        was_sent = self._may_have_run or self._is_database_sent
        if statement_status is StatementStatus.STATEMENT_ERROR and was_sent:
            return self._end(AttemptStatus.OK, result=Result(error=_status_for_client(error.status)))
        if statement_status is StatementStatus.REJECTED or not self._may_have_run:
            return self._end(AttemptStatus.OVERLOADED, str(error))
        return self._end(AttemptStatus.ERROR, str(error))

    def _end(self, status: AttemptStatus, reason: str = "", result: Result | None = None) -> AttemptEnd:
        cost = self._cost
        return AttemptEnd(status, reason, result, cost.get("work_ms"), cost.get("memory_mb"), self._load)

    @contextmanager
    def _release_on_early_end(self) -> Iterator[None]:
        """Release the connection and the operation if the attempt ends early, for whatever reason."""
        try:
            yield
        except RemoteError:  # the connection is still in sync; the operation has ended but may still be open
            if self.handle is not None:
                self.services.cleanup.close_later(self.pool, self.connection, self.handle)
            elif self.connection is not None:
                self.pool.put(self.connection)
            raise
        except BaseException:
            if self.connection is not None:
                self.pool.drop(self.connection)
            if self.handle is not None:
                self.services.cleanup.cancel(self.pool, self.handle)
            raise

    def _connect(self) -> None:
        start_ms = self.loop.now()
        self.connection = self.pool.take(self.request.submission.database)
        wait_us = int((self.loop.now() - start_ms) * 1000.0)
        self.services.connection_wait_us.record_value(max(1, wait_us))

    def _enter_database(self) -> None:
        """Switch the connection's session to the statement's database with `USE`."""
        connection, wanted = self.connection, self.request.submission.database
        if not wanted or connection.database == wanted:
            return
        self._is_database_sent = True
        connection.prepare_close()
        reply = connection.call(
            "ExecuteStatement",
            hs2.TExecuteStatementReq(
                sessionHandle=connection.session, statement=f"USE `{wanted}`", confOverlay={}, runAsync=False
            ),
        )
        connection.database, connection.operation_to_close = wanted, reply.operationHandle

    def _execute(self) -> Result:
        attempt_request, connection = self.request, self.connection
        submission = attempt_request.submission
        if submission.arguments is not None:
            return self._call_metadata(submission.method, submission.arguments)
        self.known_grant = self.grant()
        overlay = {
            **submission.overlay,
            "fennelwind.attempt": f"{attempt_request.query}.{attempt_request.number}",
            **self.known_grant,
        }
        request = hs2.TExecuteStatementReq(
            sessionHandle=connection.session,
            statement=submission.statement,
            confOverlay=overlay,
            runAsync=True,
        )
        self._may_have_run = True
        connection.prepare_close()
        reply = connection.call("ExecuteStatement", request)
        self.handle = reply.operationHandle
        if self.handle is None:
            raise Malformed("an operation without a handle")
        self.services.send_grant(self)  # the grant may have changed during the call
        self._wait()
        result = self._fetch() if self.handle.hasResultSet else Result()
        self._finish(result)
        return result

    def _call_metadata(self, method: str, arguments: Structure) -> Result:
        """Make a metadata call; its operation has ended by the time the call returns."""
        request = copy(arguments)
        request.sessionHandle = self.connection.session
        self._may_have_run = True
        self.connection.prepare_close()
        reply = self.connection.call(method, request)
        self._read_hints(reply.status)
        self.handle = reply.operationHandle
        if self.handle is None:
            raise Malformed("an operation without a handle")
        result = self._fetch()
        self._finish(result)
        return result

    def _finish(self, result: Result) -> None:
        """Return the connection to the pool unless rows are still streamed over it."""
        if result.stream is None:
            self.services.cleanup.close_later(self.pool, self.connection, self.handle)

    def _wait(self) -> None:
        """Wait until the operation has finished. Raises `RemoteError` if the operation ended otherwise."""
        pause_ms = MIN_POLL_MS
        request = hs2.TGetOperationStatusReq(operationHandle=self.handle, getProgressUpdate=True)
        while True:
            sent_ms = self.loop.now()
            reply = self.connection.call("GetOperationStatus", request)
            self._read_hints(reply.status)
            state = reply.operationState
            if state == hs2.FINISHED:
                if reply.hasResultSet is not None:
                    self.handle.hasResultSet = reply.hasResultSet
                return
            if state not in (hs2.INITIALIZED, hs2.RUNNING, hs2.PENDING):
                raise _operation_error(reply)
            self._report_progress(reply)
            if self.loop.now() - sent_ms < MIN_POLL_MS:  # the engine doesn't support long polling
                self.loop.sleep(pause_ms)
                pause_ms = min(pause_ms * 2, MAX_POLL_MS)

    def _read_hints(self, status: Structure | None) -> None:
        if status is not None and status.infoMessages:
            self._load = self.services.load(status) or self._load
            self._cost = hints.read(status.infoMessages).get(hints.COST, self._cost)

    def _report_progress(self, reply: Structure) -> None:
        progress = reply.progressUpdateResponse
        if progress is not None and progress.progressedPercentage is not None:
            share_done = min(max(progress.progressedPercentage, 0.0), 1.0)
            self.request.report_progress(ProgressKind.SHARE_DONE, share_done)
        note = hints.read(reply.status.infoMessages).get(hints.NOTE)
        if note and note.get("sort") in (ProgressKind.SPILLING, ProgressKind.WAITING):
            self.request.report_progress(ProgressKind(int(note["sort"])), note.get("value", 0.0))

    def _fetch(self) -> Result:
        """Fetch the schema and the pages; stream what remains beyond `max_result_bytes`."""
        connection, settings = self.connection, self.services.settings
        received_before = connection.received_bytes
        request = hs2.TFetchResultsReq(
            operationHandle=self.handle, orientation=hs2.FETCH_NEXT, maxRows=settings.page_rows, fetchType=0
        )
        schema_sent = connection.prepare("GetResultSetMetadata", hs2.TGetResultSetMetadataReq(self.handle))
        page_sent = connection.send("FetchResults", request)
        try:
            schema = connection.reply(schema_sent).schema
        except RemoteError:
            with suppress(RemoteError):  # consume the page's reply, or the next call would read it
                connection.reply(page_sent)
            raise
        pages = []
        while True:
            reply = connection.reply(page_sent)
            if reply.results is not None:
                row_count(reply.results)  # find malformed pages before the query counts as served
                pages.append(reply.results)
            if not reply.hasMoreRows:
                return Result(schema, tuple(pages))
            if connection.received_bytes - received_before > settings.max_result_bytes:
                return Result(schema, tuple(pages), stream=self._stream())
            page_sent = connection.send("FetchResults", request)

    def _stream(self) -> RowStream:
        """Return a stream of the remaining rows.

        Raises `RemoteError` if the controller's own limits forbid streaming, though the engine made no error;
        the attempt then ends as `ERROR`.
        """
        settings = self.services.settings
        if (
            self.request.submission.request_id
        ):  # several clients may wait for the answer, and they read at different speeds
            raise RemoteError(f"a named request's answer of over {settings.max_result_bytes} bytes")
        if not can_stream(self.pool.streams, settings.max_links):
            raise RemoteError(f"{self.pool.streams} large answers flow already")
        services = self.services
        return RowStream(
            services.loop,
            services.cleanup,
            services.stream_counts,
            self.pool,
            self.connection,
            self.handle,
            settings.page_rows,
        )


def _status_for_client(status: Structure) -> Structure:
    """Return an engine's error status unchanged except for the hints, which are removed."""
    return hs2.TStatus(
        statusCode=hs2.ERROR,
        infoMessages=hints.others(status.infoMessages) or None,
        sqlState=status.sqlState,
        errorCode=status.errorCode,
        errorMessage=status.errorMessage,
    )


def _operation_error(reply: Structure) -> RemoteError:
    """Return the error of an operation that has ended without success."""
    return RemoteError(
        f"operation state {reply.operationState}: {reply.errorMessage}",
        hs2.TStatus(
            statusCode=hs2.ERROR,
            infoMessages=reply.status.infoMessages,
            sqlState=reply.sqlState,
            errorCode=reply.errorCode,
            errorMessage=reply.errorMessage,
        ),
    )
