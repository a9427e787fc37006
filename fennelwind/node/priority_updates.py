"""Sends executors the new priority of attempts that are running there.

A priority changes no answer, so an update that can't be sent is counted and dropped. An attempt that is still
running has its priority compared again after each poll, which repeats a lost update.
"""

from fennelwind.dispatch.types import AttemptRequest
from fennelwind.node.executor_connection import Executor
from fennelwind.node.executor_pool import ExecutorPool
from fennelwind.node.executor_requests import set_priority
from fennelwind.node.http1 import MalformedResponseError

MAX_CONCURRENT_UPDATES = 8  # at a time, over all executors; an update beyond them is dropped
UPDATE_TIMEOUT_MS = 400.0  # ms for one update


class AttemptPriority:
    """The priority of one attempt, as its executor knows it; the wanted one stands in the order."""

    __slots__ = ("executor", "order", "sent", "is_running", "is_updating")

    def __init__(self, executor: Executor, order: AttemptRequest) -> None:
        self.executor, self.order = executor, order
        self.sent = order.priority  # what the executor was last told
        self.is_running = False  # the attempt is still under way
        self.is_updating = False  # a task of its own is sending the priority

    @property
    def is_current(self) -> bool:
        """Tell whether the executor knows the wanted priority."""
        return self.sent == self.order.priority


class PriorityUpdates:
    """The updates that are under way."""

    def __init__(self, pool: ExecutorPool) -> None:
        self.pool = pool
        self._running_updates = 0

    def send(self, priority: AttemptPriority) -> None:
        """Tell an executor an attempt's priority, in a task of its own, unless it knows it already."""
        if priority.is_current or priority.is_updating:
            return
        if self._running_updates >= MAX_CONCURRENT_UPDATES:
            self.pool.counts["priority_not_sent"] += 1
            return
        self._running_updates += 1
        priority.is_updating = True
        self.pool.loop.spawn(self._send, priority, name="executors: priority")

    def _send(self, priority: AttemptPriority) -> None:
        query_id = priority.order.submission.engine_id
        try:
            while priority.is_running and not priority.is_current:
                wanted = priority.order.priority
                self.pool.call(priority.executor, set_priority(query_id, wanted), UPDATE_TIMEOUT_MS)
                priority.sent = wanted
                self.pool.counts["priority_sent"] += 1
        except (OSError, MalformedResponseError):
            self.pool.counts["priority_not_sent"] += 1
        finally:
            priority.is_updating = False
            self._running_updates -= 1
