"""Slow start: how much work an engine that has just started may get.

An engine in slow start crashes (`overload_multiple`) if all gateways together send it more work than its
budget in any window of `overload_window_ms`. Each gateway keeps to an even share of the budget by counting
its own attempts only, without messages between gateways. An engine whose start time is unknown (0) is taken
to have started long ago.
"""

from fennelwind import policy
from fennelwind.policy.estimates import Estimates
from fennelwind.policy.model import Engine, Query

USED_BUDGET_SHARE = 0.6  # of the budget: work estimates err, and an engine that crashes loses all its work
MAX_ROUNDED_QUERY_SHARE = 0.03  # of the budget; a gateway's share is rounded up only for queries up to this
MIN_QUERY_WORK_SHARE = 0.36  # of the mean work of all queries; bounds the number of queries sent to an engine


class SlowStart:
    """The warm-up fraction of engines, and this gateway's share of their slow-start budget."""

    def __init__(self, settings: policy.Settings, estimates: Estimates) -> None:
        self.settings, self.estimates = settings, estimates

    def warm_up_fraction(self, engine: Engine, now_ms: float) -> float:
        """Return the guaranteed share of an engine's capacity, by the time since its start."""
        settings, started_ms = self.settings, engine.endpoint.started_ms
        if not started_ms:
            return 1.0
        up_ms = max(0.0, now_ms - started_ms)
        if up_ms >= settings.slow_start_ms:
            return 1.0
        cold_share = settings.cold_capacity_share
        return cold_share + (1.0 - cold_share) * up_ms / settings.slow_start_ms

    def set_work(self, query: Query) -> None:
        """Set the work that counts for the query: at least the class's mean, as estimates may be too low."""
        estimates, index = self.estimates, query.class_index
        estimated_ms = query.service_time_ms * query.query_class.threads
        min_work_ms = MIN_QUERY_WORK_SHARE * estimates.mean_query_work_ms
        work_ms = max(estimated_ms, estimates.mean_work_ms[index], min_work_ms)
        query.slow_start_work_ms = work_ms * max(1.0, estimates.baseline_slowdown[index])

    def record_start(self, query: Query, engine: Engine, now_ms: float) -> None:
        """Record the work of a query that is sent to the engine."""
        since_ms = now_ms - self.settings.overload_window_ms
        engine.sent_work_ms.add(now_ms, query.slow_start_work_ms, since_ms)

    def permits(self, query: Query, engine: Engine, now_ms: float) -> bool:
        """Return whether the query fits this gateway's share of the engine's budget in the window."""
        settings, work_ms = self.settings, query.slow_start_work_ms
        warm_up_fraction = self.warm_up_fraction(engine, now_ms)
        if warm_up_fraction >= 1.0 or not settings.overload_multiple:
            return True
        window_ms = settings.overload_window_ms
        budget_ms = (
            settings.overload_multiple * warm_up_fraction * engine.cores * window_ms * USED_BUDGET_SHARE
        )
        # If this gateway's share is less than one query, its fixed random draw may round it up, so that about
        # as many gateways send one query as the shares add up to. It rounds up only small queries: a few
        # large ones sent by chance would exceed the budget.
        is_small = work_ms <= budget_ms * MAX_ROUNDED_QUERY_SHARE
        rounding_ms = work_ms * engine.slow_start_draw if is_small else 0.0
        sent_ms = engine.sent_work_ms.total(now_ms - window_ms)
        return sent_ms + work_ms <= budget_ms / settings.gateway_count + rounding_ms
