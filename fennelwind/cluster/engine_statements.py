"""Runs statements of leased tasks on engines, each over its own HiveServer2 connection and session.

These statements bypass the policy and the connection pools: such a statement is no query, must not be retried
by the gateway, and must be stopped reliably. It ends in one of four ways: the engine completed it, rejected
it, rejected its fencing token as stale, or the outcome is unknown. A statement with an unknown outcome has
ended once its session is closed from another connection: the engine then ends the session's operations.
"""

from contextlib import suppress

from fennelwind.config import settings_pb2 as settings
from fennelwind.engines.connection import TRANSPORTS, EngineConnection, RemoteError
from fennelwind.loop import DeadlineExceeded, Loop, parse_address
from fennelwind.thrift import hints
from fennelwind.thrift import hiveserver2 as hs2
from fennelwind.thrift.codec import Malformed, Structure

OK, FAILED, FENCED, LOST = "ok", "failed", "fenced", "lost"
CLOSE_TIMEOUT_MS = 2000.0  # ms to close a session; the engine expires a session that is left open
MAX_ROWS = 4096  # rows read of a result; the description of a table has at most 2000, one for each column


class Statement:
    """One statement on one engine. `run` is called once; another task may call `stop` at any time."""

    def __init__(self, loop: Loop, link_settings: settings.EngineLinks, tls: object, engine: str) -> None:
        self.loop, self.link_settings, self.tls, self.engine = loop, link_settings, tls, engine
        self.connection: EngineConnection | None = None
        self.error_text = self.sql_state = ""  # the error's text and SQLSTATE, if the statement failed

    def run(
        self, statement: str, overlay: dict[str, str], within_ms: float, fetch_rows: bool = False
    ) -> tuple[str, list[tuple[str, ...]]]:
        """Run the statement; return `OK`, `FAILED`, `FENCED` or `LOST`, and the rows if requested."""
        may_have_arrived = False
        try:
            with self.loop.deadline(within_ms):
                self.connection = self._open()
                may_have_arrived = True
                reply = self.connection.call(
                    "ExecuteStatement",
                    hs2.TExecuteStatementReq(
                        sessionHandle=self.connection.session, statement=statement, confOverlay=overlay
                    ),
                )
                result_rows = self._fetch_rows(reply.operationHandle) if fetch_rows else []
        except RemoteError as exc:
            self.error_text = str(exc)
            self.sql_state = exc.status.sqlState or "" if exc.status is not None else ""
            self._close_session()
            is_fenced = exc.status is not None and hints.FENCED in hints.read(exc.status.infoMessages)
            return (FENCED if is_fenced else FAILED), []
        except (OSError, DeadlineExceeded, Malformed) as exc:
            self.error_text = f"{type(exc).__name__}: {exc}"
            self._drop_connection()
            return (LOST if may_have_arrived else FAILED), []
        except BaseException:  # cancelled, as the lease is lost; the outcome is unknown
            self._drop_connection()
            raise
        self._close_session()
        return OK, result_rows

    def stop(self, within_ms: float) -> bool:
        """End the statement on the engine by closing its session; return whether the engine confirmed it."""
        self._drop_connection()
        if self.connection is None or self.connection.session is None:
            return True  # without a session nothing was sent
        try:
            with self.loop.deadline(within_ms):
                connection = self._open()
                try:
                    with suppress(RemoteError):  # a session unknown to the engine has ended already
                        connection.call("CloseSession", hs2.TCloseSessionReq(self.connection.session))
                finally:
                    connection.drop()
        except (OSError, DeadlineExceeded, Malformed, RemoteError) as exc:
            self.error_text = f"{type(exc).__name__}: {exc}"
            return False
        return True

    def _open(self) -> EngineConnection:
        connection = EngineConnection(
            self.loop,
            parse_address(self.engine),
            TRANSPORTS[self.link_settings.transport],
            self.link_settings.user,
            self.tls,
        )
        try:
            with self.loop.deadline(self.link_settings.connect_ms):
                connection.open()
        except BaseException:
            connection.drop()
            raise
        return connection

    def _fetch_rows(self, handle: Structure) -> list[tuple[str, ...]]:
        page = self.connection.call(
            "FetchResults",
            hs2.TFetchResultsReq(operationHandle=handle, orientation=hs2.FETCH_NEXT, maxRows=MAX_ROWS),
        ).results
        columns = []
        for column in page.columns or ():
            if column.stringVal is None:
                raise Malformed("result column is not of type string")
            columns.append([bytes(v).decode("utf-8", "replace") for v in column.stringVal.values])
        return list(zip(*columns, strict=True))

    def _close_session(self) -> None:
        """Start a task that closes the session; don't wait for that task."""
        connection = self.connection

        def close() -> None:
            with (
                suppress(OSError, DeadlineExceeded, Malformed, RemoteError),
                self.loop.deadline(CLOSE_TIMEOUT_MS),
            ):
                connection.call("CloseSession", hs2.TCloseSessionReq(connection.session))
            connection.drop()

        if connection is not None and connection.session is not None:
            self.loop.spawn(close, name=f"close session at {self.engine}")

    def _drop_connection(self) -> None:
        if self.connection is not None:
            self.connection.drop()


class EngineStatements:
    """Creates statements for engines, with the settings for connections to engines."""

    def __init__(self, loop: Loop, link_settings: settings.EngineLinks, tls: object = None) -> None:
        self.loop, self.link_settings, self.tls = loop, link_settings, tls

    def create(self, engine: str) -> Statement:
        """Return a new statement for an engine, given by its address."""
        return Statement(self.loop, self.link_settings, self.tls, engine)
