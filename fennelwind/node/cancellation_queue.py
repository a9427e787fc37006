"""Cancels queries at executors when their attempts end early.

Attempts add their queries to the queue, and a few tasks for each executor send the DELETEs. The queue is
bounded. A query that does not fit, or whose DELETE fails, is dropped by the executor itself two seconds after
the last poll for it.
"""

from collections import Counter

from fennelwind.loop.scheduler import Waiter
from fennelwind.loop.streams import ConnectFailed
from fennelwind.node.executor_connection import Cancellation, Executor
from fennelwind.node.executor_pool import ExecutorPool
from fennelwind.node.executor_requests import cancel_query
from fennelwind.node.http1 import MalformedResponseError

# Concurrent DELETEs to one executor: cancelling hundreds of queries must leave connections for other queries.
MAX_WORKERS = 3
DELETE_TIMEOUT_MS = 600.0  # ms for one DELETE
MAX_DELETE_TRIES = 2  # DELETEs of one query; without polls, the executor drops the query after 2 s anyway
MAX_QUEUED = 500  # cancellations of one executor; above it, queries end by the executor's own expiry
# Response statuses of a DELETE: the query has been cancelled, or the executor does not know it any more.
ENDED_STATUSES = (204, 500)


class CancellationQueue:
    """The cancellations of all executors."""

    def __init__(self, pool: ExecutorPool) -> None:
        self.pool = pool
        self.pending: Counter[tuple[str, str]] = Counter()  # by executor and query id

    def is_pending(self, executor: Executor, query_id: str) -> bool:
        """Return whether an earlier attempt of the query has still to be cancelled at the executor."""
        return (executor.name, query_id) in self.pending

    def add(self, executor: Executor, query_id: str, waiter: Waiter | None = None) -> None:
        """Cancel a query at an executor; the waiter is woken with whether the query's end is confirmed."""
        if executor.is_removed or len(executor.cancellations) >= MAX_QUEUED:
            self.pool.counts["not_deleted"] += 1
            if waiter is not None:
                waiter.wake(False)
            return
        executor.cancellations.append(Cancellation(query_id, waiter))
        self.pending[executor.name, query_id] += 1
        if executor.cancellation_workers < MAX_WORKERS:
            executor.cancellation_workers += 1
            self.pool.loop.spawn(self._run_worker, executor, name="executors: delete")

    def _run_worker(self, executor: Executor) -> None:
        try:
            while executor.cancellations:
                self._process(executor, executor.cancellations.popleft())
        finally:
            executor.cancellation_workers -= 1

    def _process(self, executor: Executor, cancellation: Cancellation) -> None:
        key = executor.name, cancellation.query_id
        has_ended = False
        try:
            has_ended = self._cancel(executor, cancellation.query_id)
        finally:
            self.pending[key] -= 1
            if not self.pending[key]:
                del self.pending[key]
            if cancellation.waiter is not None:
                cancellation.waiter.wake(has_ended)

    def _cancel(self, executor: Executor, query_id: str) -> bool:
        """Send the DELETE; return whether the query's end is confirmed."""
        for try_number in range(MAX_DELETE_TRIES):
            try:
                response = self.pool.call(
                    executor, cancel_query(query_id), DELETE_TIMEOUT_MS, fresh=try_number > 0
                )
            except ConnectFailed:
                # Not even a refused connection confirms that the query has ended: if the executor's process
                # had ended, the attempt's own connection would have broken.
                break
            except (OSError, MalformedResponseError):
                continue
            if response.status in ENDED_STATUSES:
                self.pool.counts["deleted"] += 1
                return True
        self.pool.counts["not_deleted"] += 1
        return False
