"""The pooled connections to one engine: limited in number, and closed when they were idle for too long."""

import ssl
from collections.abc import Sequence

from fennelwind.config import settings_pb2 as pb
from fennelwind.engines.connection import TRANSPORTS, EngineConnection
from fennelwind.errors import FennelwindError
from fennelwind.loop import Address, Loop


class PoolExhaustedError(FennelwindError):
    """No further connection to the engine may be opened; nothing was sent."""

    code = "links-used-up"
    advice = (
        "All links that links.max_links allows to this engine are in use: raise it if the engine "
        "bears more connections, or look for statements that hold theirs for long."
    )


class ConnectionPool:
    """The connections to one engine."""

    def __init__(
        self, loop: Loop, address: Address, settings: pb.EngineLinks, tls: ssl.SSLContext | None = None
    ) -> None:
        self.loop, self.address, self.settings, self.tls = loop, address, settings, tls
        self.idle: list[EngineConnection] = []  # most recently used last
        self.count = 0  # number of connections, idle and in use
        self.streams = 0  # connections over which a result too large to buffer is streamed

    def take(self, database: str = "") -> EngineConnection:
        """Return a connection with a session: an idle one that `choose_idle` selects, else a new one.

        Raises `PoolExhaustedError`, or what `EngineConnection.open` raises.
        """
        now = self.loop.now()
        while (index := choose_idle([each.database for each in self.idle], database)) is not None:
            connection = self.idle.pop(index)
            if now - connection.idle_since_ms < self.settings.idle_ms and not connection.is_broken():
                return connection
            self.drop(connection)
        if self.count >= self.settings.max_links and self.idle:  # idle, but in another database
            self.drop(self.idle.pop(0))
        if self.count >= self.settings.max_links:
            raise PoolExhaustedError(f"all {self.count} links to {self.address} are in use")
        return self._open()

    def _open(self) -> EngineConnection:
        transport = TRANSPORTS[self.settings.transport]
        self.count += 1
        connection = EngineConnection(self.loop, self.address, transport, self.settings.user, self.tls)
        try:
            with self.loop.deadline(self.settings.connect_ms):
                connection.open()
        except BaseException:
            self.drop(connection)
            raise
        return connection

    def put(self, connection: EngineConnection) -> None:
        """Return a connection to the pool."""
        connection.idle_since_ms = self.loop.now()
        self.idle.append(connection)

    def drop(self, connection: EngineConnection) -> None:
        """Close a connection."""
        self.count -= 1
        connection.drop()

    def close_expired(self) -> None:
        """Close connections that were idle for too long or were broken while idle."""
        oldest_ms = self.loop.now() - self.settings.idle_ms
        for connection in [c for c in self.idle if c.idle_since_ms <= oldest_ms or c.is_broken()]:
            self.idle.remove(connection)
            self.drop(connection)


def choose_idle(databases: Sequence[str], wanted: str) -> int | None:
    """Return the index of the idle connection to use, by the sessions' databases, or None to open a new one.

    Prefer the most recently used connection in the wanted database. If there is none, choose the most
    recently used one of all; the attempt then switches its session with `USE`. A session that has left the
    engine's default database can't return to that database, since the controller doesn't know its name; so
    without a wanted database only a session that is still in the default one is usable.
    """
    for index in range(len(databases) - 1, -1, -1):
        if databases[index] == wanted:
            return index
    return len(databases) - 1 if databases and wanted else None
