"""Operations that remain at engines: answered ones are closed, abandoned ones cancelled and closed.

An answered operation is closed together with the next call over its connection, in the same write; if no call
follows soon, it is closed by a separate call. An abandoned operation is cancelled over
another connection, with a timeout and a limit on concurrent cancellations. Operations that can't be cancelled
are counted, and the engine's own timeouts have to end them.
"""

from fennelwind.engines.connection import EngineConnection, RemoteError
from fennelwind.engines.connection_pool import ConnectionPool, PoolExhaustedError
from fennelwind.loop import Loop
from fennelwind.thrift import hiveserver2 as hs2
from fennelwind.thrift.codec import Malformed, Structure

CLOSE_DELAY_MS = 25.0  # ms that an answered operation waits to be closed together with a next call
CLOSE_TIMEOUT_MS = 2000.0  # ms to close an answered operation; after that, its connection is dropped
CANCEL_TIMEOUT_MS = 5000.0  # ms to cancel and close an abandoned operation
MAX_CANCELLATIONS = 64  # concurrent cancellations, over all engines


class OperationCleanup:
    """Closes operations that remain at engines, for all engines of a controller."""

    def __init__(self, loop: Loop) -> None:
        self.loop = loop
        self.cancelling = 0  # abandoned operations being cancelled now
        self.cancelled = 0  # abandoned operations that were cancelled and closed
        self.unreachable = 0  # abandoned operations that could not be cancelled, or exceeded the limit
        self._answered: list[tuple[ConnectionPool, EngineConnection]] = []
        self._is_close_scheduled = False

    def close_later(self, pool: ConnectionPool, connection: EngineConnection, handle: Structure) -> None:
        """Return an answered operation's connection to its pool and schedule the operation's closing."""
        connection.operation_to_close = handle
        pool.put(connection)
        self._answered.append((pool, connection))
        if not self._is_close_scheduled:
            self._is_close_scheduled = True
            self.loop.after(CLOSE_DELAY_MS, self._close_answered)

    def _close_answered(self) -> None:
        """Close answered operations on connections that have not been used since the answer."""
        answered, self._answered, self._is_close_scheduled = self._answered, [], False
        for pool, connection in answered:
            if connection.operation_to_close is not None and connection in pool.idle:
                pool.idle.remove(connection)
                self.loop.spawn(self._close, pool, connection, name="close operation")

    def _close(self, pool: ConnectionPool, connection: EngineConnection) -> None:
        try:
            with self.loop.deadline(CLOSE_TIMEOUT_MS):
                connection.close_operation()
        except (OSError, Malformed):
            pool.drop(connection)
            return
        except BaseException:
            pool.drop(connection)
            raise
        pool.put(connection)

    def cancel(self, pool: ConnectionPool, handle: Structure) -> None:
        """Cancel and close an operation whose attempt was abandoned."""
        if self.cancelling >= MAX_CANCELLATIONS:
            self.unreachable += 1
            return
        self.cancelling += 1
        self.loop.spawn(self._cancel, pool, handle, name=f"cancel at {pool.address}")

    def _cancel(self, pool: ConnectionPool, handle: Structure) -> None:
        connection = None
        try:
            with self.loop.deadline(CANCEL_TIMEOUT_MS):
                connection = pool.take()
                connection.call("CancelOperation", hs2.TCancelOperationReq(handle))
                connection.call("CloseOperation", hs2.TCloseOperationReq(handle))
            self.cancelled += 1
            pool.put(connection)
            connection = None
        except (OSError, Malformed, RemoteError, PoolExhaustedError):
            self.unreachable += 1
        finally:
            self.cancelling -= 1
            if connection is not None:
                pool.drop(connection)
