"""Admission: estimates a query's work, and decides how long it may wait and how it is answered after that.

A query is queued until its latest dispatch time, after which an answer within its objective is unlikely.
It is then dispatched late if a late answer has weight, no other query is queued and capacity is free at once.
Otherwise it gets its final answer: rejected where a retry by the client is harmless, else failed.
"""

from heapq import heappop, heappush

from fennelwind import policy
from fennelwind.policy.estimates import Estimates
from fennelwind.policy.grants import Grants
from fennelwind.policy.model import Query

IDEMPOTENT, KEYED = policy.Idempotency.IDEMPOTENT, policy.Idempotency.KEYED
ALL_ENGINES = policy.DeduplicationScope.ALL

TICK_MS = 25.0  # ms between ticks while a query is queued or running; short relative to objectives
ANSWER_MARGIN_TICKS = 2  # ticks from the latest answer to the deadline; a later one could miss the deadline
MIN_SERVICE_TIME_MS = 1.0  # ms; lower bound of a query's service time, so that slowdowns stay finite
LIKELY_SLOWDOWN = 2.0  # times the baseline time; with less time left, a query is unlikely to be in time


class Admission:
    """Decides how long the queries of one gateway may wait."""

    def __init__(self, settings: policy.Settings, estimates: Estimates, grants: Grants) -> None:
        self.settings, self.estimates, self.grants = settings, estimates, grants
        self.latest_dispatches: list[tuple[float, int]] = []  # heap of (time, query number)

    def admit(self, request: policy.QueryArrived, now_ms: float) -> tuple[Query, float]:
        """Return the record of a query that has arrived, and its estimated work in ms."""
        estimates, classes = self.estimates, self.settings.classes
        index = min(max(request.class_index, 0), len(classes) - 1)
        query_class = classes[index]
        work_ms = estimates.work_ms(request, query_class, index)
        service_time_ms = max(work_ms / query_class.threads, MIN_SERVICE_TIME_MS)
        estimates.record_arrival(index, work_ms)
        estimates.initialize_mean_time(request, query_class, index, service_time_ms)
        objective_ms = query_class.latency_objective_ms
        slowdown_ms = query_class.latency_objective_slowdown * service_time_ms
        objective_at_ms = min(now_ms + objective_ms + slowdown_ms, request.deadline_ms)
        query = Query(
            request,
            query_class,
            index,
            arrived_ms=now_ms,
            service_time_ms=service_time_ms,
            objective_at_ms=objective_at_ms,
            dispatch_target_ms=objective_at_ms - estimates.mean_time_ms[index],
            is_short=self.grants.is_short(work_ms),
        )
        return query, work_ms

    def add(self, query: Query) -> None:
        """Record the query's latest dispatch time."""
        heappush(self.latest_dispatches, (self.latest_dispatch_ms(query), query.request.query))

    def pop_expired(self, now_ms: float) -> int | None:
        """Pop and return the number of a query past its latest dispatch time, or None if there is none."""
        if self.latest_dispatches and self.latest_dispatches[0][0] <= now_ms:
            return heappop(self.latest_dispatches)[1]
        return None

    def latest_dispatch_ms(self, query: Query) -> float:
        """Return the latest time at which a dispatch is still likely to meet the query's objective."""
        return min(query.objective_at_ms - self._likely_time_ms(query), self._latest_answer_ms(query))

    def may_dispatch_late(self, query: Query, has_others_queued: bool, now_ms: float) -> bool:
        """Return whether a query past its latest dispatch time may start if capacity is free at once."""
        is_in_time = now_ms + self._likely_time_ms(query) < self._latest_answer_ms(query)
        return bool(query.query_class.late_weight_share) and is_in_time and not has_others_queued

    def final_answer(self, query: Query) -> policy.RejectQuery | policy.FailQuery:
        """Return the final answer of a query that is not served: rejected if a retry is harmless."""
        query_class, settings = query.query_class, self.settings
        is_retry_harmless = (
            query_class.idempotency == IDEMPOTENT
            or query_class.idempotency == KEYED
            and query_class.deduplication_scope == ALL_ENGINES
        )
        never_ran = not query.is_outcome_unknown and not query.running_attempts
        if not is_retry_harmless and not never_ran:
            return policy.FailQuery(query.request.query)
        retry_after_ms = settings.max_retry_after_ms if settings.allows_retry_after else 0.0
        return policy.RejectQuery(query.request.query, retry_after_ms)

    def _likely_time_ms(self, query: Query) -> float:
        """Return the time to allow for serving the query.

        The result is `LIKELY_SLOWDOWN` times the query's baseline time.
        """
        baseline = self.estimates.baseline_slowdown[query.class_index]
        return LIKELY_SLOWDOWN * query.service_time_ms * baseline

    def _latest_answer_ms(self, query: Query) -> float:
        """Return the time by which the gateway must answer, `ANSWER_MARGIN_TICKS` before the deadline."""
        return query.request.deadline_ms - ANSWER_MARGIN_TICKS * TICK_MS
