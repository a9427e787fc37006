"""Resource grants: memory and priority of a query's attempts on its engine.

The gateway updates the grant at each start, and on each tick for running queries where engines support
priorities. A grant is sent only where engines support it and it differs from the previous one.
"""

from fennelwind import policy
from fennelwind.policy.estimates import Estimates
from fennelwind.policy.model import DEFAULT_PRIORITY, Query

GRANT_FACTOR = 2.5  # times the estimated memory; estimates vary, and a spill costs more than unused memory
QUEUEING_GRANT_FACTOR = 1.6  # factor if queries queue for memory: an excess grant delays other queries
SWAPPING_GRANT_FACTOR = 3.0  # factor if only memory in use counts: an excess grant costs nothing
SHORT_WORK_FACTOR = 1.0  # times the mean work of all queries; a query with less is short
LONG_WORK_FACTOR = 4.0  # times the mean work of all queries; a query with more is long
SHORT_PRIORITY, MEDIUM_PRIORITY, LONG_PRIORITY = 3, 2, 1  # values sent to engines; the highest goes first
LATE_PRIORITY = 0  # value sent to engines; late answers are worth least and must not delay others


class Grants:
    """Computes memory and priority grants, as far as the engines support them."""

    def __init__(self, settings: policy.Settings, estimates: Estimates) -> None:
        self.settings, self.estimates = settings, estimates
        if settings.swaps_when_short_of_memory:
            self.memory_factor = SWAPPING_GRANT_FACTOR
        elif settings.queues_when_short_of_memory:
            self.memory_factor = QUEUEING_GRANT_FACTOR
        else:
            self.memory_factor = GRANT_FACTOR

    def is_short(self, work_ms: float) -> bool:
        """Return whether a query with this much work gets the priority of short queries."""
        return (
            self.settings.has_priorities and work_ms < SHORT_WORK_FACTOR * self.estimates.mean_query_work_ms
        )

    def update(self, query: Query, now_ms: float) -> policy.SetGrant | None:
        """Return the action that sets the query's grant, or None if the grant is unchanged."""
        settings = self.settings
        memory_mb = (
            self.memory_factor * query.request.estimated_memory_mb if settings.has_memory_grants else 0.0
        )
        grant = memory_mb, self._priority(query, now_ms) if settings.has_priorities else DEFAULT_PRIORITY
        if grant == query.grant:
            return None
        query.grant = grant
        return policy.SetGrant(query.request.query, *grant)

    def _priority(self, query: Query, now_ms: float) -> int:
        """Return the priority on the engine: short queries first, those past their objective last."""
        if now_ms > query.objective_at_ms:
            return LATE_PRIORITY
        if query.is_short:
            return SHORT_PRIORITY
        work_ms = query.service_time_ms * query.query_class.threads
        is_long = work_ms >= LONG_WORK_FACTOR * self.estimates.mean_query_work_ms
        return LONG_PRIORITY if is_long else MEDIUM_PRIORITY
