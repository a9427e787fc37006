"""Ends queries at executors that were started there and are not wanted any more.

Attempts hand their queries in; a few tasks for each executor send the DELETEs. The queue is bounded: what
does not fit, or can't be delivered, the executor drops by itself two seconds after its last poll.
"""

from collections import Counter

from fennelwind.loop.scheduler import Waiter
from fennelwind.loop.streams import ConnectFailed
from fennelwind.node.executor_connection import Cancellation, Executor
from fennelwind.node.executor_pool import ExecutorPool
from fennelwind.node.executor_requests import cancel_query
from fennelwind.node.http1 import MalformedResponseError

MAX_WORKERS = 3  # DELETEs at one executor at a time: hundreds of withdrawals leave connections for queries
DELETE_TIMEOUT_MS = 600.0  # ms for one DELETE
MAX_DELETE_TRIES = 2  # DELETEs of one query; an executor drops what it isn't polled for in 2 s anyway
MAX_QUEUED = 500  # cancellations waiting at one executor; beyond it they are left to the executor's own time
# The query has been ended, or the executor does not know it any more.
ENDED_STATUSES = (204, 500)


class CancellationQueue:
    """The cancellations of all executors."""

    def __init__(self, pool: ExecutorPool) -> None:
        self.pool = pool
        self.pending: Counter[tuple[str, str]] = Counter()  # by executor and query id

    def is_pending(self, executor: Executor, query_id: str) -> bool:
        """Tell whether an earlier attempt of the query has still to be ended at the executor."""
        return (executor.name, query_id) in self.pending

    def add(self, executor: Executor, query_id: str, waiter: Waiter | None = None) -> None:
        """End a query at an executor; the waiter is woken with whether it is known to have ended."""
        if executor.is_removed or len(executor.cancellations) >= MAX_QUEUED:
            self.pool.counts["not_deleted"] += 1
            if waiter is not None:
                waiter.wake(False)
            return
        executor.cancellations.append(Cancellation(query_id, waiter))
        self.pending[executor.name, query_id] += 1
        if executor.cancellation_workers < MAX_WORKERS:
            executor.cancellation_workers += 1
            self.pool.loop.spawn(self._work, executor, name="executors: delete")

    def _work(self, executor: Executor) -> None:
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
        """Send the DELETE; return whether the query is known to have ended."""
        for number in range(MAX_DELETE_TRIES):
            try:
                response = self.pool.call(
                    executor, cancel_query(query_id), DELETE_TIMEOUT_MS, fresh=number > 0
                )
            except ConnectFailed:
                # Not even a refused connection shows that the query has ended: had the executor's process
                # ended, the attempt's own connection would have broken.
                break
            except (OSError, MalformedResponseError):
                continue
            if response.status in ENDED_STATUSES:
                self.pool.counts["deleted"] += 1
                return True
        self.pool.counts["not_deleted"] += 1
        return False
