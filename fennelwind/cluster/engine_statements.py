"""Statements of the fleet's tasks on engines: each over a connection and session of its own, by HiveServer2.

They pass neither the module nor the pools of links: an act of a task is no query, is never sent twice by
itself, and has to be stopped for certain. What its engine says is told apart: it went through, the engine
said no, it has seen a newer fence, or nobody knows. One that nobody knows of has ended once its session is
closed from another connection: an engine ends a session's operations with it.
"""

from contextlib import suppress

from fennelwind.config import settings_pb2 as settings
from fennelwind.engines.connection import TRANSPORTS, EngineConnection, RemoteError
from fennelwind.loop import DeadlineExceeded, Loop, parse_address
from fennelwind.thrift import hints
from fennelwind.thrift import hiveserver2 as hs2
from fennelwind.thrift.codec import Malformed, Structure

OK, FAILED, FENCED, LOST = "ok", "failed", "fenced", "lost"
CLOSE_MS = 2000.0  # ms for closing a session that went well; the engine ends an idle one by itself
LOOK_ROWS = 4096  # rows read of a description; a table has 2000 columns at most


class Statement:
    """One statement on its way. `run` is called once; `stop` any time, by another task."""

    def __init__(self, loop: Loop, links: settings.EngineLinks, tls: object, engine: str) -> None:
        self.loop, self.links, self.tls, self.engine = loop, links, tls, engine
        self.link: EngineConnection | None = None
        self.text = self.state = ""  # what the engine said, where it said no, and its SQLSTATE

    def run(
        self, statement: str, overlay: dict[str, str], within_ms: float, rows: bool = False
    ) -> tuple[str, list[tuple[str, ...]]]:
        """Run it; return how it ended and, where they are wanted, its rows of texts."""
        sent = False
        try:
            with self.loop.deadline(within_ms):
                self.link = self._open()
                sent = True
                reply = self.link.call(
                    "ExecuteStatement",
                    hs2.TExecuteStatementReq(
                        sessionHandle=self.link.session, statement=statement, confOverlay=overlay
                    ),
                )
                found = self._rows(reply.operationHandle) if rows else []
        except RemoteError as exc:
            self.text = str(exc)
            self.state = exc.status.sqlState or "" if exc.status is not None else ""
            self._leave()
            fenced = exc.status is not None and hints.FENCED in hints.read(exc.status.infoMessages)
            return (FENCED if fenced else FAILED), []
        except (OSError, DeadlineExceeded, Malformed) as exc:
            self.text = f"{type(exc).__name__}: {exc}"
            self._drop()
            return (LOST if sent else FAILED), []
        except BaseException:  # the task's lease is lost; whether it ran is not known
            self._drop()
            raise
        self._leave()
        return OK, found

    def stop(self, within_ms: float) -> bool:
        """End whatever the engine still does of it; tell whether the engine said so."""
        self._drop()
        if self.link is None or self.link.session is None:
            return True  # it had no session, and nothing was sent
        try:
            with self.loop.deadline(within_ms):
                link = self._open()
                try:
                    with suppress(RemoteError):  # it knows no such session: that has ended then
                        link.call("CloseSession", hs2.TCloseSessionReq(self.link.session))
                finally:
                    link.drop()
        except (OSError, DeadlineExceeded, Malformed, RemoteError) as exc:
            self.text = f"{type(exc).__name__}: {exc}"
            return False
        return True

    def _open(self) -> EngineConnection:
        link = EngineConnection(
            self.loop, parse_address(self.engine), TRANSPORTS[self.links.transport], self.links.user, self.tls
        )
        try:
            with self.loop.deadline(self.links.connect_ms):
                link.open()
        except BaseException:
            link.drop()
            raise
        return link

    def _rows(self, handle: Structure) -> list[tuple[str, ...]]:
        page = self.link.call(
            "FetchResults",
            hs2.TFetchResultsReq(operationHandle=handle, orientation=hs2.FETCH_NEXT, maxRows=LOOK_ROWS),
        ).results
        columns = []
        for column in page.columns or ():
            if column.stringVal is None:
                raise Malformed("a column that is no text")
            columns.append([bytes(v).decode("utf-8", "replace") for v in column.stringVal.values])
        return list(zip(*columns, strict=True))

    def _leave(self) -> None:
        """Close the session in order, beside whatever comes next."""
        link = self.link

        def close() -> None:
            with suppress(OSError, DeadlineExceeded, Malformed, RemoteError), self.loop.deadline(CLOSE_MS):
                link.call("CloseSession", hs2.TCloseSessionReq(link.session))
            link.drop()

        if link is not None and link.session is not None:
            self.loop.spawn(close, name=f"close session at {self.engine}")

    def _drop(self) -> None:
        if self.link is not None:
            self.link.drop()


class EngineStatements:
    """Makes statements for engines, by the settings of the links to them."""

    def __init__(self, loop: Loop, links: settings.EngineLinks, tls: object = None) -> None:
        self.loop, self.links, self.tls = loop, links, tls

    def to(self, engine: str) -> Statement:
        """Return a statement for an engine, named by its address."""
        return Statement(self.loop, self.links, self.tls, engine)
