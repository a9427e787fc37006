"""Implements the driver's `Engines` for the platform: attempts, priorities and health checks over HTTP/1.1.

`ExecutorClient` looks up the executor by name and passes each call to the module that makes the call.
A call to an executor that has left the list fails in `ExecutorClient` itself.
"""

from fennelwind.dispatch.types import AttemptEnd, AttemptRequest
from fennelwind.limits.memory_budget import BoundedMemory
from fennelwind.node.attempt import Attempt, AttemptServices, InFlightAttempts
from fennelwind.node.cancellation_queue import CancellationQueue
from fennelwind.node.executor_pool import ExecutorPool
from fennelwind.node.health_checks import check_health
from fennelwind.node.priority_updates import PriorityUpdates
from fennelwind.policy import AttemptStatus


class ExecutorClient:
    """Makes the driver's calls to executors."""

    def __init__(
        self,
        pool: ExecutorPool,
        *,
        report_fields: tuple[str, ...],
        allows_concurrent_attempts: bool,
        results: BoundedMemory,
    ) -> None:
        """Initialize; `results` bounds the results that are being fetched."""
        self.pool = pool
        self.cancellations = CancellationQueue(pool)
        self.in_flight = InFlightAttempts()
        self._services = AttemptServices(
            pool=pool,
            cancellations=self.cancellations,
            priority_updates=PriorityUpdates(pool),
            in_flight=self.in_flight,
            results=results,
            report_fields=frozenset(report_fields),
            allows_concurrent=allows_concurrent_attempts,
        )

    def attempt(self, engine: str, request: AttemptRequest) -> AttemptEnd:
        """Make an attempt and wait for its end; on cancellation, cancel the query at the executor."""
        executor = self.pool.executors.get(engine)
        if executor is None:
            return _not_listed()
        attempt = Attempt(self._services, executor, request)
        self.in_flight.add(attempt)
        status: str = AttemptStatus.CANCELLED
        try:
            end = attempt.run()
            status = end.status
            return end
        finally:
            executor.ended_attempts[status] += 1
            self.in_flight.remove(attempt)

    def update_grant(self, query: int, memory_mb: float, priority: int) -> None:
        """Send executors the new priority of a query's attempts; a sent memory grant is not changed."""
        for attempt in self.in_flight.of(query):
            has_changed = attempt.request.priority != priority
            attempt.request.priority = priority
            if has_changed and attempt.may_have_arrived:
                self._services.priority_updates.send(attempt.priority)

    def check_health(self, engine: str) -> AttemptEnd:
        """Check an executor's health."""
        executor = self.pool.executors.get(engine)
        if executor is None:
            return _not_listed()
        return check_health(self.pool, executor, self._services.report_fields)


def _not_listed() -> AttemptEnd:
    return AttemptEnd(AttemptStatus.CONNECT_FAILED, "the executor is not in the list any more")
