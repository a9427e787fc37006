"""The controller's client for all engines: connection pools, attempts, grant updates and health checks.

The driver uses it through `dispatch.types.Engines`. It owns the pools; operations that remain at engines when
the controller restarts are ended by the engines' own timeouts.
"""

import ssl

from hdrh.histogram import HdrHistogram

from fennelwind.config import settings_pb2 as pb
from fennelwind.dispatch.types import AttemptEnd, AttemptRequest
from fennelwind.engines.attempt import Attempt
from fennelwind.engines.connection import RemoteError
from fennelwind.engines.connection_pool import ConnectionPool, PoolExhaustedError
from fennelwind.engines.grant_updates import GrantUpdates
from fennelwind.engines.operation_cleanup import OperationCleanup
from fennelwind.engines.row_stream import StreamCounts
from fennelwind.loop import DeadlineExceeded, Loop, parse_address
from fennelwind.policy import AttemptStatus
from fennelwind.thrift import hints
from fennelwind.thrift import hiveserver2 as hs2
from fennelwind.thrift.codec import Malformed, Structure

MAX_WAIT_US = 60_000_000  # us; the longest wait for a connection that the histogram records exactly
HEALTH_CHECK_TIMEOUT_MS = 1000.0  # ms for one health check


class EngineClient:
    """The connections to all engines."""

    def __init__(
        self,
        loop: Loop,
        settings: pb.EngineLinks,
        report_fields: tuple[str, ...],
        tls: ssl.SSLContext | None = None,
    ) -> None:
        self.loop, self.settings, self.tls = loop, settings, tls
        self.report_fields = frozenset(report_fields)
        self.pools: dict[str, ConnectionPool] = {}
        self.connection_wait_us = HdrHistogram(1, MAX_WAIT_US, 2)  # us until an attempt got its connection
        self.stream_counts = StreamCounts()
        self.cleanup = OperationCleanup(loop)
        self.grant_updates = GrantUpdates(loop)
        self._attempts: dict[int, list[Attempt]] = {}  # attempts in progress, by query

    def start(self) -> None:
        """Start closing connections that are idle for too long."""
        self.loop.spawn(self._close_expired, name="engines: close expired")

    def attempt(self, engine: str, request: AttemptRequest) -> AttemptEnd:
        """Make an attempt and wait for its end."""
        attempt = Attempt(self, self.pool(engine), request)
        self._attempts.setdefault(request.query, []).append(attempt)
        try:
            return attempt.run()
        finally:
            attempt.is_over = True
            remaining = self._attempts[request.query]
            remaining.remove(attempt)
            if not remaining:
                del self._attempts[request.query]

    def update_grant(self, query: int, memory_mb: float, priority: int) -> None:
        """Send a query's new grant to the engines that run attempts of it."""
        for attempt in self._attempts.get(query, ()):
            attempt.request.memory_mb, attempt.request.priority = memory_mb, priority
            if attempt.handle is not None:
                self.send_grant(attempt)

    def send_grant(self, attempt: Attempt) -> None:
        """Send an engine the grant of an attempt that it runs, unless the engine already has this grant."""
        self.grant_updates.send(attempt)

    def check_health(self, engine: str) -> AttemptEnd:
        """Check an engine's health by requesting its server name over a pooled connection."""
        pool = self.pool(engine)
        try:
            with self.loop.deadline(HEALTH_CHECK_TIMEOUT_MS):
                connection = pool.take()
                try:
                    request = hs2.TGetInfoReq(connection.session, hs2.CLI_SERVER_NAME)
                    reply = connection.call("GetInfo", request)
                except BaseException:
                    pool.drop(connection)
                    raise
        except DeadlineExceeded:
            return AttemptEnd(AttemptStatus.TIMEOUT, "no answer to a health check")
        except (OSError, PoolExhaustedError) as exc:
            return AttemptEnd(AttemptStatus.CONNECT_FAILED, str(exc))
        except (Malformed, RemoteError) as exc:
            return AttemptEnd(AttemptStatus.ERROR, str(exc))
        pool.put(connection)
        return AttemptEnd(AttemptStatus.OK, load=self.load(reply.status))

    def pool(self, engine: str) -> ConnectionPool:
        """Return the connection pool of an engine, creating it if needed."""
        pool = self.pools.get(engine)
        if pool is None:
            address = parse_address(engine)
            pool = self.pools[engine] = ConnectionPool(self.loop, address, self.settings, self.tls)
        return pool

    def load(self, status: Structure) -> dict[str, float]:
        """Return the load figures among a status's hints that the settings name."""
        if not status.infoMessages:
            return {}
        figures = hints.read(status.infoMessages).get(hints.LOAD, {})
        return {key: value for key, value in figures.items() if key in self.report_fields}

    def _close_expired(self) -> None:
        while True:
            self.loop.sleep(self.settings.idle_ms / 2)
            for engine, pool in list(self.pools.items()):
                pool.close_expired()
                if not pool.count:
                    del self.pools[engine]
