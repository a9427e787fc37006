"""Engine selection: which engine an attempt goes to.

Of a few engines that the constraints permit, the one with the fewest own queries for its size and speed.
Engines that are about as loaded are tied; zone, cached tables and load settle a tie. Where load advice has
come (whole loads of engines, over all gateways), it names the engines to consider. No engine is chosen if
every permitted one is full: the query stays queued. Draws from the gateway's random generator only in
fleets larger than a sample.
"""

from random import Random

from fennelwind import policy
from fennelwind.policy.concurrency import ConcurrencyLimits
from fennelwind.policy.constraints import Constraints
from fennelwind.policy.model import Engine, Query
from fennelwind.policy.slow_start import SlowStart

READY = policy.EngineState.READY

SAMPLE_SIZE = 12  # engines looked at for an attempt; a dozen nearly always hold a good one, at any size
TIE_THREADS_PER_CORE = 0.5  # engines closer than this are tied: zone and cached tables are worth that much
TIE_LOAD_SHARE = 0.25  # of the capacity; the same where whole loads are reported, a second old and noisy
MIN_RELATIVE_SPEED = 0.1  # of the usual; a mean that one bad plan has spoilt must not hide an engine for good
MAX_CACHED_TABLE_GROUPS = 4  # groups of tables that an engine is taken to keep in its caches
GOLDEN_RATIO = 0.6180339887  # multiples of it spread gateways evenly over a ring of engines


class EngineSelector:
    """Chooses engines for the attempts of one gateway."""

    def __init__(
        self,
        settings: policy.Settings,
        random: Random,
        constraints: Constraints,
        concurrency: ConcurrencyLimits,
        slow_start: SlowStart,
    ) -> None:
        self.settings, self.random = settings, random
        self.constraints, self.concurrency, self.slow_start = constraints, concurrency, slow_start
        self.ready_engines: list[Engine] = []  # in this gateway's own order
        self.load_advice: dict[str, float] = {}  # whole loads of the engines to prefer; empty: no advice

    def update_ready_engines(self, engines: dict[str, Engine]) -> None:
        """Order the ready engines for ties: own zone first, from a point that spreads the gateways evenly."""
        ready = [engine for _, engine in sorted(engines.items()) if engine.endpoint.state == READY]
        self.ready_engines = []
        for is_own_zone in (True, False):
            ring = [e for e in ready if (e.endpoint.zone == self.settings.zone) == is_own_zone]
            start = int(self.settings.gateway_index * GOLDEN_RATIO % 1.0 * len(ring))
            self.ready_engines += ring[start:] + ring[:start]

    def choose(
        self, query: Query, engines: dict[str, Engine], median_slowdown: float, now_ms: float
    ) -> Engine | None:
        """Return the engine for the query's next attempt, or None if none has room."""
        is_share_used = self.concurrency.is_share_used(query)
        sample = self._sample(engines)
        preferred = self._preferred(query, self._permitted(query, sample, now_ms), now_ms)
        # Where each gateway prefers a few engines, each engine is shared by so many gateways fewer.
        limit_factor = max(1.0, len(self.ready_engines) / len(sample)) if self.load_advice and sample else 1.0
        if is_share_used:
            for engine in preferred:
                engine.is_limit_reached = True
            return None
        loads = self._loads(query, preferred, limit_factor, median_slowdown, now_ms)
        return self._least_loaded(query, loads) if loads else None

    def _sample(self, engines: dict[str, Engine]) -> list[Engine]:
        """Return the engines to look at: those of the load advice, else near ones and a random few."""
        if self.load_advice:
            return [engines[name] for name in self.load_advice if name in engines]
        near, far = self.ready_engines[: SAMPLE_SIZE // 2], self.ready_engines[SAMPLE_SIZE // 2 :]
        if len(self.ready_engines) > SAMPLE_SIZE:
            far = self.random.sample(far, SAMPLE_SIZE // 2)
        return near + far

    def _permitted(self, query: Query, sample: list[Engine], now_ms: float) -> list[Engine]:
        """Return the engines of the sample that the constraints permit; if none is, all such of the fleet."""
        permits = self.constraints.permits
        permitted = [engine for engine in sample if permits(query, engine, now_ms)]
        if not permitted or self.load_advice and all(engine.is_outlier for engine in permitted):
            permitted = [engine for engine in self.ready_engines if permits(query, engine, now_ms)]
        return permitted

    def _preferred(self, query: Query, permitted: list[Engine], now_ms: float) -> list[Engine]:
        """Return the engines that are no outliers, new ones to the query first; if none is, what remains."""
        tried = {attempt.engine.endpoint.engine for attempt in query.attempts}
        healthy = [engine for engine in permitted if not engine.is_outlier]
        untried = [engine for engine in healthy if engine.endpoint.engine not in tried]
        if untried or healthy:
            return untried or healthy
        # Where nothing healthy is left, what failed this query a moment ago would only fail it again.
        return [e for e in permitted if e.endpoint.engine not in tried or e.ejected_until_ms <= now_ms]

    def _loads(
        self,
        query: Query,
        preferred: list[Engine],
        limit_factor: float,
        median_slowdown: float,
        now_ms: float,
    ) -> dict[Engine, float]:
        """Return the load that each engine with room would have with the query, for its size and speed."""
        threads, advice = query.query_class.threads, self.load_advice
        highest_load = max(advice.values(), default=0.0)  # for engines that the advice does not name
        limit, warm_up_fraction = self.concurrency.limit, self.slow_start.warm_up_fraction
        loads = {}
        for engine in preferred:
            running_threads = engine.running_threads
            if running_threads and running_threads + threads > limit(engine) * limit_factor:
                engine.is_limit_reached = True
                continue
            relative_speed = min(1.0, max(MIN_RELATIVE_SPEED, median_slowdown / engine.current_slowdown))
            relative_speed *= warm_up_fraction(engine, now_ms)
            load = (running_threads + threads) / (engine.cores * relative_speed)
            if advice:
                load += advice.get(engine.endpoint.engine, highest_load) / relative_speed
            loads[engine] = load
        return loads

    def _least_loaded(self, query: Query, loads: dict[Engine, float]) -> Engine:
        """Return the least loaded engine; of those tied with it, the best by zone, cached tables and load."""
        max_load = min(loads.values()) + (TIE_LOAD_SHARE if self.load_advice else TIE_THREADS_PER_CORE)
        tied = [engine for engine, load in loads.items() if load <= max_load]
        table_group, zone = query.request.table_group, self.settings.zone
        if self.load_advice:  # the order is this gateway's own, so that it reuses connections that are open
            return min(tied, key=lambda engine: table_group not in engine.cached_table_groups)
        return min(
            tied,
            key=lambda engine: (
                engine.endpoint.zone != zone,
                table_group not in engine.cached_table_groups,
                engine.running_threads / engine.cores,
            ),
        )
