"""Engine selection: which engine an attempt goes to.

The selector chooses the least loaded engine of a small sample that the constraints permit. An engine's load
is the threads of this gateway's queries there, relative to its size and speed. Engines with about the same
load are tied; zone, cached tables and load break the tie. Load advice (loads of engines over all gateways),
if given, names the engines to consider. No engine is chosen if every permitted one is full: the query stays
queued. The gateway's random generator is used only in fleets larger than the sample.
"""

from random import Random

from fennelwind import policy
from fennelwind.policy.concurrency import ConcurrencyLimits
from fennelwind.policy.constraints import Constraints
from fennelwind.policy.model import Engine, FleetIndex, Query, ReadyEngines
from fennelwind.policy.slow_start import SlowStart

SAMPLE_SIZE = 12  # engines considered per attempt; they nearly always include a good one, at any fleet size
TIE_THREADS_PER_CORE = 0.5  # loads that differ by this or less are tied: zone and cached tables matter more
TIE_LOAD_SHARE = 0.25  # of the capacity; the limit for ties with load advice, which is a second old and noisy
MIN_RELATIVE_SPEED = 0.1  # of the median; one bad plan in an engine's mean must not exclude it for good
MAX_CACHED_TABLE_GROUPS = 4  # table groups that an engine is assumed to keep cached
GOLDEN_RATIO = 0.6180339887  # its multiples spread gateways evenly over a ring of engines


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
        self.ready_engines = ReadyEngines((), 0.0)  # in the order that this gateway uses for ties
        self.load_advice: dict[str, float] = {}  # total loads of the engines to prefer; empty without advice

    def update_ready_engines(self, fleet: FleetIndex) -> None:
        """Order the ready engines: own zone first, each zone from an offset that differs by gateway."""
        self.ready_engines = ReadyEngines(fleet.rings, self.settings.gateway_index * GOLDEN_RATIO % 1.0)

    def choose(
        self, query: Query, engines: dict[str, Engine], median_slowdown: float, now_ms: float
    ) -> Engine | None:
        """Return the engine for the query's next attempt, or None if none has capacity."""
        is_share_exhausted = self.concurrency.is_share_exhausted(query)
        sample = self._sample(engines)
        preferred = self._preferred(query, self._permitted(query, sample, now_ms), now_ms)
        # With advice each gateway prefers a few engines, so each engine is shared by fewer gateways.
        limit_factor = max(1.0, len(self.ready_engines) / len(sample)) if self.load_advice and sample else 1.0
        if is_share_exhausted:
            for engine in preferred:
                engine.is_limit_reached = True
            return None
        loads = self._loads(query, preferred, limit_factor, median_slowdown, now_ms)
        return self._least_loaded(query, loads) if loads else None

    def _sample(self, engines: dict[str, Engine]) -> list[Engine]:
        """Return the engines to consider: those of the load advice, else the first ones and a random few."""
        if self.load_advice:
            return [engines[name] for name in self.load_advice if name in engines]
        indexes = list(range(min(len(self.ready_engines), SAMPLE_SIZE)))
        if len(self.ready_engines) > SAMPLE_SIZE:
            others = range(SAMPLE_SIZE // 2, len(self.ready_engines))
            indexes[SAMPLE_SIZE // 2 :] = self.random.sample(others, SAMPLE_SIZE // 2)
        return [self.ready_engines[index] for index in indexes]

    def _permitted(self, query: Query, sample: list[Engine], now_ms: float) -> list[Engine]:
        """Return the permitted engines of the sample; if there are none, those of the whole fleet."""
        permits = self.constraints.permits
        permitted = [engine for engine in sample if permits(query, engine, now_ms)]
        if not permitted or self.load_advice and all(engine.is_outlier for engine in permitted):
            permitted = [engine for engine in self.ready_engines if permits(query, engine, now_ms)]
        return permitted

    def _preferred(self, query: Query, permitted: list[Engine], now_ms: float) -> list[Engine]:
        """Return the untried healthy engines, else all healthy ones, else outliers that the query may use."""
        tried = {attempt.engine.endpoint.engine for attempt in query.attempts}
        healthy = [engine for engine in permitted if not engine.is_outlier]
        untried = [engine for engine in healthy if engine.endpoint.engine not in tried]
        if untried or healthy:
            return untried or healthy
        # Ejected engines that this query has tried are left out: they would probably fail it again.
        return [e for e in permitted if e.endpoint.engine not in tried or e.ejected_until_ms <= now_ms]

    def _loads(
        self,
        query: Query,
        preferred: list[Engine],
        limit_factor: float,
        median_slowdown: float,
        now_ms: float,
    ) -> dict[Engine, float]:
        """Return the loads of engines that aren't full, with the query added, relative to cores and speed."""
        threads, advice = query.query_class.threads, self.load_advice
        highest_load = max(advice.values(), default=0.0)  # for engines missing in the advice
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
        """Return the least loaded engine; among ties, the best by zone, cached tables and load."""
        max_load = min(loads.values()) + (TIE_LOAD_SHARE if self.load_advice else TIE_THREADS_PER_CORE)
        tied = [engine for engine, load in loads.items() if load <= max_load]
        table_group, zone = query.request.table_group, self.settings.zone
        if self.load_advice:  # `tied` keeps its order, which differs by gateway to reuse open connections
            return min(tied, key=lambda engine: table_group not in engine.cached_table_groups)
        return min(
            tied,
            key=lambda engine: (
                engine.endpoint.zone != zone,
                table_group not in engine.cached_table_groups,
                engine.running_threads / engine.cores,
            ),
        )
