"""The executors that are known, and the connections to them: bounded in number, reused while in order.

`endpoint_watch` adds and removes executors; attempts, cancellations and health checks borrow connections.
Executors are known by their instance ids, so a connection or an attempt of an address's earlier holder never
meets its new one. Every call may raise `ConnectFailed` (nothing was sent), `StreamReset` (it may have
arrived), `MalformedResponseError`, or the caller's `DeadlineExceeded`.
"""

import errno
from collections import Counter, deque
from collections.abc import Iterator
from contextlib import contextmanager

from fennelwind.loop.scheduler import DeadlineExceeded, Loop, Waiter
from fennelwind.loop.streams import Address, ConnectFailed
from fennelwind.node.executor_connection import Executor, ExecutorConnection
from fennelwind.node.http1 import Response

# ms that a connection stays unused after a response. An executor or the network may deliver a response twice;
# nothing in the copy tells it from the next call's response. It comes some milliseconds late, and more where
# the executor is short of CPU: a copy that came meanwhile shows as bytes on an idle connection.
MIN_IDLE_MS = 60.0
IDLE_TIMEOUT_FRACTION = 0.8  # of the time after which executors close idle connections: ours close first
SWEEP_INTERVAL_MS = 1000.0  # ms between two searches for connections that are idle for too long


class ExecutorRemovedError(ConnectFailed):
    """The executor has left the list, so no connection was tried; its address may belong to another."""

    def __init__(self, executor: Executor) -> None:
        super().__init__(errno.ECONNREFUSED, f"{executor.name} has gone from {executor.address}")
        self.executor = executor


class BorrowedConnection:
    """A connection in use; it returns to the pool only if its last call left it in order."""

    __slots__ = ("pool", "executor", "connection", "last_response")

    def __init__(self, pool: "ExecutorPool", executor: Executor, connection: ExecutorConnection) -> None:
        self.pool, self.executor, self.connection = pool, executor, connection
        self.last_response: Response | None = None

    def call(self, request: bytes) -> Response:
        """Send a request and wait for its response. Raises `StreamReset` or `MalformedResponseError`."""
        self.last_response = None
        self.last_response = self.connection.call(request)
        return self.last_response

    def read_response(self) -> Response:
        """Wait for the response to what was sent. Raises `StreamReset` or `MalformedResponseError`."""
        self.last_response = self.connection.read_response()
        return self.last_response

    def release(self) -> None:
        """Return the connection to the pool, or close it if a call on it was not completed."""
        if self.last_response is not None:
            self.pool.check_in(self.executor, self.connection, self.last_response)
        else:
            self.pool.close(self.connection)


class ExecutorPool:
    """All known executors and the connections to them."""

    def __init__(
        self, loop: Loop, *, idle_timeout_ms: float, connect_timeout_ms: float, max_connections: int
    ) -> None:
        """Make an empty pool; `idle_timeout_ms` is the executors' own for idle connections."""
        self.loop = loop
        self.idle_timeout_ms = idle_timeout_ms * IDLE_TIMEOUT_FRACTION
        self.connect_timeout_ms = connect_timeout_ms
        self.max_connections = max_connections
        self.executors: dict[str, Executor] = {}
        self.by_address: dict[Address, Executor] = {}
        self.connection_count = 0
        self.counts: Counter[str] = Counter()  # of events on connections, for the log
        self._capacity_waiters: deque[Waiter] = deque()

    def start(self) -> None:
        """Start to close connections that are idle for too long."""
        self.loop.spawn(self._sweep, name="executors: sweep")

    # The list of executors.

    def add(self, name: str, address: Address, is_draining: bool = False) -> None:
        """Note an executor's address and state; whoever had the address before is removed from it."""
        executor = self.executors.get(name)
        if executor is not None and executor.address == address and not executor.is_removed:
            executor.is_draining = is_draining
            return
        if executor is not None:
            self.remove(name)
        previous_holder = self.by_address.get(address)
        if previous_holder is not None:
            self._mark_removed(previous_holder)
        executor = Executor(name, address, is_draining=is_draining)
        self.executors[name] = self.by_address[address] = executor

    def remove(self, name: str) -> None:
        """Forget an executor that has left the list."""
        executor = self.executors.pop(name, None)
        if executor is not None:
            self._mark_removed(executor)

    def _mark_removed(self, executor: Executor) -> None:
        executor.is_removed = True
        if self.by_address.get(executor.address) is executor:
            del self.by_address[executor.address]
        while executor.idle_connections:
            self.close(executor.idle_connections.popleft())

    # Calls.

    def borrow(self, executor: Executor, fresh: bool = False) -> BorrowedConnection:
        """Return a connection to use until its `release`; raises as `check_out` does."""
        return BorrowedConnection(self, executor, self.check_out(executor, fresh))

    @contextmanager
    def borrowed(self, executor: Executor, fresh: bool = False) -> Iterator[BorrowedConnection]:
        """Use a connection for calls within a `with` block; raises as `check_out` does."""
        borrowed = self.borrow(executor, fresh)
        try:
            yield borrowed
        finally:
            borrowed.release()

    def call(self, executor: Executor, request: bytes, timeout_ms: float, fresh: bool = False) -> Response:
        """Make one call. Raises `OSError` (`DeadlineExceeded` included) or `MalformedResponseError`."""
        with self.loop.deadline(timeout_ms), self.borrowed(executor, fresh) as borrowed:
            return borrowed.call(request)

    # Connections.

    def check_out(self, executor: Executor, fresh: bool = False) -> ExecutorConnection:
        """Return an idle connection to the executor, or a new one if there is none or a fresh one is wanted.

        Raises `ConnectFailed`, which proves that nothing was sent, and the caller's `DeadlineExceeded`.
        """
        if not fresh:
            idle = self._check_out_idle(executor)
            if idle is not None:
                return idle
        self._wait_for_capacity()
        if executor.is_removed:
            raise ExecutorRemovedError(executor)
        return self._connect(executor)

    def _check_out_idle(self, executor: Executor) -> ExecutorConnection | None:
        idle_before = self.loop.now() - MIN_IDLE_MS
        idle = executor.idle_connections
        while idle and idle[0].idle_since_ms <= idle_before:
            connection = idle.popleft()
            if not connection.stream.broken():
                return connection
            self.counts["idle_broken"] += 1
            self.close(connection)
        return None

    def _wait_for_capacity(self) -> None:
        while self.connection_count >= self.max_connections and not self._evict():
            waiter = Waiter(self.loop)
            self._capacity_waiters.append(waiter)
            self.counts["waited_for_capacity"] += 1
            waiter.wait()

    def _connect(self, executor: Executor) -> ExecutorConnection:
        self.connection_count += 1  # before the wait: connections being established count
        stream = None
        try:
            with self.loop.deadline(self.connect_timeout_ms):
                stream = self.loop.connect(executor.address)
        except DeadlineExceeded:
            raise ConnectFailed(errno.ETIMEDOUT, f"{executor.address}: no connection in time") from None
        finally:
            if stream is None:
                self._free_capacity()
        self.counts["opened"] += 1
        return ExecutorConnection(stream)

    def check_in(self, executor: Executor, connection: ExecutorConnection, response: Response) -> None:
        """Keep a connection for later if nothing about its last response was out of order."""
        if not response.is_reusable or executor.is_removed:
            self.counts["not_reusable"] += not response.is_reusable
            self.close(connection)
            return
        connection.idle_since_ms = self.loop.now()
        executor.idle_connections.append(connection)
        if self._capacity_waiters and self.connection_count >= self.max_connections:
            self._evict()

    def close(self, connection: ExecutorConnection) -> None:
        """Close a connection; its place is free at once."""
        connection.stream.abort()
        self._free_capacity()

    def _free_capacity(self) -> None:
        self.connection_count -= 1
        while self._capacity_waiters and not self._capacity_waiters.popleft().wake():
            pass  # that waiter's task was cancelled or ran out of time: the next one

    def _evict(self) -> bool:
        """Close the connection that has been idle longest; return whether there was one."""
        candidates = [executor for executor in self.executors.values() if executor.idle_connections]
        if not candidates:
            return False
        longest_idle = min(candidates, key=lambda executor: executor.idle_connections[0].idle_since_ms)
        self.close(longest_idle.idle_connections.popleft())
        return True

    def _sweep(self) -> None:
        while True:
            self.loop.sleep(SWEEP_INTERVAL_MS)
            idle_before = self.loop.now() - self.idle_timeout_ms
            for executor in self.executors.values():
                idle = executor.idle_connections
                while idle and idle[0].idle_since_ms <= idle_before:
                    self.close(idle.popleft())
