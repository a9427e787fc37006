"""Constraints on the engine of an attempt: engine state, placement, deduplication scope and slow start.

The constraints hold at any load: an excluded engine is never chosen, even if no other engine is left.
"""

from fennelwind import policy
from fennelwind.policy.model import Attempt, Engine, Query
from fennelwind.policy.slow_start import SlowStart

# Module constants: an enum's attribute would cost a lookup for each engine that is considered.
READY = policy.EngineState.READY
ALL_ENGINES = policy.DeduplicationScope.ALL
SAME_CELL = policy.DeduplicationScope.CELL


class Constraints:
    """The hard constraints on engines."""

    def __init__(self, settings: policy.Settings, slow_start: SlowStart) -> None:
        self.slow_start_ms, self.slow_start = settings.slow_start_ms, slow_start

    def permits(self, query: Query, engine: Engine, now_ms: float) -> bool:
        """Return whether an attempt of the query may go to the engine now."""
        endpoint, query_class = engine.endpoint, query.query_class
        if endpoint.state != READY:
            return False
        zones, kinds = query_class.zones, query_class.kinds
        if (
            zones is not None
            and endpoint.zone not in zones
            or kinds is not None
            and endpoint.kind not in kinds
        ):
            return False
        first = query.first_unresolved_attempt
        if first is not None and not self._deduplicates(query_class, first, endpoint):
            return False
        # This method runs for each engine considered; most are warm, and this test saves them the call below.
        if now_ms - endpoint.started_ms >= self.slow_start_ms:
            return True
        return self.slow_start.permits(query, engine, now_ms)

    def _deduplicates(
        self, query_class: policy.QueryClass, first: Attempt, endpoint: policy.EngineEndpoint
    ) -> bool:
        """Return whether the engine recognises repeats of the first attempt, so that no repeat has effect."""
        scope, original = query_class.deduplication_scope, first.engine.endpoint
        if scope == ALL_ENGINES:
            return True
        return endpoint.zone == original.zone and (scope != SAME_CELL or endpoint.cell == original.cell)
