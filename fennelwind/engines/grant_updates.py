"""New memory grants and priorities, sent to engines for attempts that they run.

Grants are sent as `SetClientInfo` over another connection, since the attempt's own connection is blocked in a
call until the attempt ends. The latest grant applies; a grant that can't be sent is dropped and counted,
since no answer depends on it.
"""

from typing import Protocol

from fennelwind.engines.connection import RemoteError
from fennelwind.engines.connection_pool import ConnectionPool, PoolExhaustedError
from fennelwind.loop import Loop
from fennelwind.thrift import hiveserver2 as hs2
from fennelwind.thrift.codec import Malformed, Structure

MAX_UPDATES = 32  # concurrent updates; further updates are dropped, since no answer depends on them
UPDATE_TIMEOUT_MS = 1000.0  # ms for one update; a later update would have little effect


class GrantedAttempt(Protocol):
    """The part of an attempt that a grant update uses."""

    pool: ConnectionPool
    handle: Structure | None
    is_over: bool
    is_grant_update_running: bool
    known_grant: dict[str, str] | None

    def grant(self) -> dict[str, str]:
        """Return the attempt's current grant."""


class GrantUpdates:
    """Sends new grants, for all engines of a controller."""

    def __init__(self, loop: Loop) -> None:
        self.loop = loop
        self.running = 0
        self.sent = 0
        self.dropped = 0

    def send(self, attempt: GrantedAttempt) -> None:
        """Send an engine the grant of an attempt that it runs, unless the engine already has this grant."""
        if attempt.is_grant_update_running or attempt.known_grant == attempt.grant():
            return  # a running update also sends grants that changed meanwhile
        if self.running >= MAX_UPDATES:
            self.dropped += 1
            return
        attempt.is_grant_update_running = True
        self.running += 1
        self.loop.spawn(self._send, attempt, name=f"grant to {attempt.pool.address}")

    def _send(self, attempt: GrantedAttempt) -> None:
        connection, pool = None, attempt.pool
        try:
            with self.loop.deadline(UPDATE_TIMEOUT_MS):
                connection = pool.take(pool.idle[-1].database if pool.idle else "")
                while not attempt.is_over and attempt.known_grant != attempt.grant():
                    grant = attempt.grant()
                    operation = attempt.handle.operationId.guid.hex()
                    request = hs2.make(
                        "TSetClientInfoReq",
                        sessionHandle=connection.session,
                        configuration={"fennelwind.operation": operation, **grant},
                    )
                    connection.call("SetClientInfo", request)
                    attempt.known_grant = grant
                    self.sent += 1
            pool.put(connection)
            connection = None
        except (OSError, Malformed, RemoteError, PoolExhaustedError):
            self.dropped += 1
        finally:
            self.running -= 1
            attempt.is_grant_update_running = False
            if connection is not None:
                pool.drop(connection)
