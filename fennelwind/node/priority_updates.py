"""Sends executors the new priority of running attempts.

Priorities do not affect answers, so an update that can't be sent is counted and dropped. A running attempt
compares the sent priority with the intended one after each poll, and sends a lost update again.
"""

from fennelwind.dispatch.types import AttemptRequest
from fennelwind.node.executor_connection import Executor
from fennelwind.node.executor_pool import ExecutorPool
from fennelwind.node.executor_requests import set_priority
from fennelwind.node.http1 import MalformedResponseError

MAX_CONCURRENT_UPDATES = 8  # over all executors; further updates are dropped
UPDATE_TIMEOUT_MS = 400.0  # ms for one update


class AttemptPriority:
    """The priority that an attempt's executor has; the attempt's request has the intended one."""

    __slots__ = ("executor", "request", "sent", "is_running", "is_updating")

    def __init__(self, executor: Executor, request: AttemptRequest) -> None:
        self.executor, self.request = executor, request
        self.sent = request.priority  # the priority last sent to the executor
        self.is_running = False  # true while the attempt has not ended
        self.is_updating = False  # true while a task sends the priority

    @property
    def is_current(self) -> bool:
        """Return whether the executor has the intended priority."""
        return self.sent == self.request.priority


class PriorityUpdates:
    """Sends priority updates, each in its own task."""

    def __init__(self, pool: ExecutorPool) -> None:
        self.pool = pool
        self._running_updates = 0

    def send(self, priority: AttemptPriority) -> None:
        """Spawn a task that sends an attempt's priority to its executor, unless the executor has it."""
        if priority.is_current or priority.is_updating:
            return
        if self._running_updates >= MAX_CONCURRENT_UPDATES:
            self.pool.counts["priority_not_sent"] += 1
            return
        self._running_updates += 1
        priority.is_updating = True
        self.pool.loop.spawn(self._send, priority, name="executors: priority")

    def _send(self, priority: AttemptPriority) -> None:
        query_id = priority.request.submission.engine_id
        try:
            while priority.is_running and not priority.is_current:
                intended = priority.request.priority
                self.pool.call(priority.executor, set_priority(query_id, intended), UPDATE_TIMEOUT_MS)
                priority.sent = intended
                self.pool.counts["priority_sent"] += 1
        except (OSError, MalformedResponseError):
            self.pool.counts["priority_not_sent"] += 1
        finally:
            priority.is_updating = False
            self._running_updates -= 1
