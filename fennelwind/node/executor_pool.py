"""The pool of known executors and of connections to them, which are limited in number and reused.

`endpoint_watch` adds and removes executors; attempts, cancellations and health checks borrow connections.
Executors are identified by instance id, so connections and attempts of an executor are never mixed up with
those of another one that gets its address later. Every call may raise `ConnectFailed` (nothing was sent),
`StreamReset` (the request may have arrived), `MalformedResponseError`, or the caller's `DeadlineExceeded`.
"""

import errno
from collections import Counter, deque
from collections.abc import Iterator
from contextlib import contextmanager

from fennelwind.loop.scheduler import DeadlineExceeded, Loop, Waiter
from fennelwind.loop.streams import Address, ConnectFailed
from fennelwind.node.executor_connection import Executor, ExecutorConnection
from fennelwind.node.http1 import Response

# ms that a connection stays unused after a response. An executor or the network may deliver a response twice,
# and nothing distinguishes the duplicate from the response to the next call. The duplicate arrives some ms
# later, or more if the executor is short of CPU. If it arrives in this time, it shows as bytes on an idle
# connection.
MIN_IDLE_MS = 60.0
IDLE_TIMEOUT_FRACTION = 0.8  # share of the executors' own idle timeout, so that the pool closes first
SWEEP_INTERVAL_MS = 1000.0  # ms between two searches for connections that are idle for too long


class ExecutorRemovedError(ConnectFailed):
    """The executor has left the list; no connection was tried, as another executor may have its address."""

    def __init__(self, executor: Executor) -> None:
        super().__init__(errno.ECONNREFUSED, f"{executor.name} at {executor.address} was removed")
        self.executor = executor


class BorrowedConnection:
    """A connection in use; it returns to the pool only if its last call completed and it is reusable."""

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
        """Wait for the response to the sent request. Raises `StreamReset` or `MalformedResponseError`."""
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
        """Create an empty pool; executors close connections that are idle for `idle_timeout_ms`."""
        self.loop = loop
        self.idle_timeout_ms = idle_timeout_ms * IDLE_TIMEOUT_FRACTION
        self.connect_timeout_ms = connect_timeout_ms
        self.max_connections = max_connections
        self.executors: dict[str, Executor] = {}
        self.by_address: dict[Address, Executor] = {}
        self.connection_count = 0
        self.counts: Counter[str] = Counter()  # connection events, for the log
        self._capacity_waiters: deque[Waiter] = deque()
        self._idle: dict[ExecutorConnection, Executor] = {}  # all idle connections, the longest idle first

    def start(self) -> None:
        """Start closing connections that are idle for too long."""
        self.loop.spawn(self._sweep, name="executors: sweep")

    # The list of executors.

    def add(self, name: str, address: Address, is_draining: bool = False) -> None:
        """Add or update an executor; one that had the same address before counts as removed."""
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
        """Remove an executor that has left the list."""
        executor = self.executors.pop(name, None)
        if executor is not None:
            self._mark_removed(executor)

    def _mark_removed(self, executor: Executor) -> None:
        executor.is_removed = True
        if self.by_address.get(executor.address) is executor:
            del self.by_address[executor.address]
        while executor.idle_connections:
            self.close(self._take_longest_idle(executor))

    # Calls.

    def borrow(self, executor: Executor, fresh: bool = False) -> BorrowedConnection:
        """Return a connection to use until its `release`. Raises what `check_out` raises."""
        return BorrowedConnection(self, executor, self.check_out(executor, fresh))

    @contextmanager
    def borrowed(self, executor: Executor, fresh: bool = False) -> Iterator[BorrowedConnection]:
        """Lend a connection for the calls of a `with` block. Raises what `check_out` raises."""
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
        """Return an idle connection to the executor, or a new one if there is none or `fresh` is set.

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
            connection = self._take_longest_idle(executor)
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
        self.connection_count += 1  # before the wait: connections being established count as well
        stream = None
        try:
            with self.loop.deadline(self.connect_timeout_ms):
                stream = self.loop.connect(executor.address)
        except DeadlineExceeded:
            raise ConnectFailed(errno.ETIMEDOUT, f"{executor.address}: connect timed out") from None
        finally:
            if stream is None:
                self._free_capacity()
        self.counts["opened"] += 1
        connection = ExecutorConnection(stream)
        if executor.is_removed:  # meanwhile: another executor's process may have accepted at its address
            self.close(connection)
            raise ExecutorRemovedError(executor)
        return connection

    def check_in(self, executor: Executor, connection: ExecutorConnection, response: Response) -> None:
        """Take a connection back; it is kept if its last response leaves it reusable."""
        if not response.is_reusable or executor.is_removed:
            self.counts["not_reusable"] += not response.is_reusable
            self.close(connection)
            return
        connection.idle_since_ms = self.loop.now()
        executor.idle_connections.append(connection)
        self._idle[connection] = executor
        if self._capacity_waiters and self.connection_count >= self.max_connections:
            self._evict()

    def close(self, connection: ExecutorConnection) -> None:
        """Close a connection and free its capacity at once."""
        connection.stream.abort()
        self._free_capacity()

    def _free_capacity(self) -> None:
        self.connection_count -= 1
        while self._capacity_waiters and not self._capacity_waiters.popleft().wake():
            pass  # that waiter's task was cancelled or timed out; wake the next one

    def _evict(self) -> bool:
        """Close the connection that has been idle longest; return False if none is idle."""
        executor = next(iter(self._idle.values()), None)
        if executor is None:
            return False
        self.close(self._take_longest_idle(executor))
        return True

    def _take_longest_idle(self, executor: Executor) -> ExecutorConnection:
        connection = executor.idle_connections.popleft()
        del self._idle[connection]
        return connection

    def _sweep(self) -> None:
        while True:
            self.loop.sleep(SWEEP_INTERVAL_MS)
            idle_before = self.loop.now() - self.idle_timeout_ms
            while self._idle and next(iter(self._idle)).idle_since_ms <= idle_before:
                self._evict()
