"""The resource grant of a query's next attempts: memory and priority on its engine.

The gateway asks at each start, and for running queries where engines heed priorities. A grant is set only
where the engines honour it and it differs from the one before.
"""

from fennelwind import policy
from fennelwind.policy.estimates import Estimates
from fennelwind.policy.model import USUAL_PRIORITY, Query

GRANT_FACTOR = 2.5  # times the memory estimate; estimates scatter, and a spill costs more than idle memory
QUEUEING_GRANT_FACTOR = 1.6  # the same where queries queue for memory: what is granted too much delays others
SWAPPING_GRANT_FACTOR = 3.0  # the same where only memory in use counts, so that too much costs nothing
SHORT_WORK_FACTOR = 1.0  # times the mean work of all queries; queries with less go first
LONG_WORK_FACTOR = 4.0  # times the mean work of all queries; queries with more go last
SHORT_PRIORITY, MEDIUM_PRIORITY, LONG_PRIORITY = 3, 2, 1  # of the wire; more goes first on the engine
LATE_PRIORITY = 0  # of the wire; an answer past its objective is worth least, so it delays nobody


class Grants:
    """Memory and priority of queries, as far as the engines honour them."""

    def __init__(self, settings: policy.Settings, estimates: Estimates) -> None:
        self.settings, self.estimates = settings, estimates
        if settings.swaps_when_short_of_memory:
            self.memory_factor = SWAPPING_GRANT_FACTOR
        elif settings.queues_when_short_of_memory:
            self.memory_factor = QUEUEING_GRANT_FACTOR
        else:
            self.memory_factor = GRANT_FACTOR

    def is_short(self, work_ms: float) -> bool:
        """Return whether a query of so much work goes before others on its engine."""
        return (
            self.settings.has_priorities and work_ms < SHORT_WORK_FACTOR * self.estimates.mean_query_work_ms
        )

    def update(self, query: Query, now_ms: float) -> policy.SetGrant | None:
        """Return the action that sets the query's grant, if it differs from the one before."""
        settings = self.settings
        memory_mb = (
            self.memory_factor * query.request.estimated_memory_mb if settings.has_memory_grants else 0.0
        )
        grant = memory_mb, self._priority(query, now_ms) if settings.has_priorities else USUAL_PRIORITY
        if grant == query.grant:
            return None
        query.grant = grant
        return policy.SetGrant(query.request.query, *grant)

    def _priority(self, query: Query, now_ms: float) -> int:
        """Return the query's priority on its engine: short ones first, those past their objective last."""
        if now_ms > query.objective_at_ms:
            return LATE_PRIORITY
        if query.is_short:
            return SHORT_PRIORITY
        work_ms = query.service_time_ms * query.query_class.threads
        is_long = work_ms >= LONG_WORK_FACTOR * self.estimates.mean_query_work_ms
        return LONG_PRIORITY if is_long else MEDIUM_PRIORITY
