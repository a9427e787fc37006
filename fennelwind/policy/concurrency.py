"""Concurrency limits: threads that this gateway's queries may use, on each engine and over the fleet.

Once per period an engine's limit is cut by the factor by which answers exceed their objectives, or raised if
the limit held queries back. While the engine is not under pressure, its maximum limit applies instead. The
threads that the gateway may run over the fleet are its even share of all engines' limits, times a factor for
the fleet's estimated spare capacity. Limits are in threads, as a query may use several.
"""

from fennelwind import policy
from fennelwind.policy.estimates import MAX_OBJECTIVE_RATIO, Estimates
from fennelwind.policy.model import Engine, Query, ReadyEngines

LIMIT_PERIOD_MS = 1000.0  # ms between adjustments of a limit
INITIAL_THREADS_PER_CORE = 1.5  # initial limit, summed over all gateways; between the minimum and the maximum
MIN_THREADS_PER_CORE = 1.0  # lower bound of a limit, summed over all gateways
MAX_THREADS_PER_CORE = 3.0  # sum over all gateways; objectives are met until an engine is far oversubscribed
RAISE_FACTOR = 1.25  # a limit that was reached in a period is raised by a quarter
SAMPLE_DECAY = 0.6  # share of the samples kept per period, so that about the last 2 s count
MIN_SAMPLES = 0.5  # decayed count of a class's answers; a class with fewer does not affect the limit
PRESSURE_SLOWDOWN = 1.5  # times the baseline; a higher slowdown shows that the engine is oversubscribed
UNCONGESTED_THREADS_PER_CORE = 1.1  # mean from load reports; below it, gateways may exceed even shares
CONGESTION_SLOWDOWN = 2.5  # times the baseline; without reports, a higher mean slowdown shows congestion
MAX_SHARE_FACTOR = 4.0  # times the even share; no more, as reports are seconds old and demand can jump faster
QUEUEING_SHARE_FACTOR = 3.0  # times the even share if queries queue for memory: excess load then costs less


class ConcurrencyLimits:
    """The concurrency limits of one gateway and the threads that it uses."""

    def __init__(self, settings: policy.Settings, estimates: Estimates) -> None:
        self.settings, self.estimates = settings, estimates
        self.fair_share_threads = 0.0  # this gateway's even share of all engines' limits
        self.allowed_threads = 0.0  # threads that this gateway may run now
        self.running_threads = [0, 0]  # of this gateway: [long queries, short queries]

    def initial_limit(self, cores: int) -> float:
        """Return the initial limit, in threads, of an engine with this many cores."""
        return INITIAL_THREADS_PER_CORE * cores / self.settings.gateway_count

    def limit(self, engine: Engine) -> float:
        """Return the allowed threads: the limit under pressure, else the maximum, as pressure shows late."""
        if engine.current_slowdown > PRESSURE_SLOWDOWN or engine.failures:
            return engine.concurrency_limit
        return MAX_THREADS_PER_CORE * engine.cores / self.settings.gateway_count

    def record_answer(self, query: Query, engine: Engine, took_ms: float) -> None:
        """Record the ratio of an attempt's time to its query's objective, capped."""
        objective_ms = query.objective_at_ms - query.arrived_ms
        engine.add_objective_ratio(query.class_index, min(took_ms / objective_ms, MAX_OBJECTIVE_RATIO))

    def adjust(self, engine: Engine) -> None:
        """Cut an engine's limit by its worst class's ratio, or raise it if it was reached; once a period."""
        worst_ratio = max(
            total / count if count > MIN_SAMPLES else 0.0 for total, count in engine.objective_ratios
        )
        engine.objective_ratios = [
            (total * SAMPLE_DECAY, count * SAMPLE_DECAY) for total, count in engine.objective_ratios
        ]
        gateway_count = self.settings.gateway_count
        if worst_ratio > 1.0:
            minimum = MIN_THREADS_PER_CORE * engine.cores / gateway_count
            engine.concurrency_limit = max(minimum, engine.concurrency_limit / worst_ratio)
        elif engine.is_limit_reached:
            maximum = MAX_THREADS_PER_CORE * engine.cores / gateway_count
            engine.concurrency_limit = min(engine.concurrency_limit * RAISE_FACTOR, maximum)
        engine.is_limit_reached = False

    def update_fair_share(self, ready_engines: ReadyEngines) -> None:
        """Update the threads that this gateway may run over the whole fleet."""
        self.fair_share_threads = ready_engines.total_limit()
        self.allowed_threads = self.fair_share_threads * self.share_factor()

    def share_factor(self) -> float:
        """Return the factor by which the gateway may use more (above 1) or less (below 1) than an even share.

        With many gateways an even share is hardly one query, and demand differs between gateways. So all may
        exceed it while reports show a half-idle fleet, and back off as a burst or lost engines fill it.
        """
        estimates = self.estimates
        fleet_threads_per_core = estimates.fleet_threads_per_core
        reported_factor = 1.0
        if fleet_threads_per_core > 0.0:
            spare_factor = min(UNCONGESTED_THREADS_PER_CORE / fleet_threads_per_core, MAX_SHARE_FACTOR**0.5)
            reported_factor = spare_factor**2
        if not self.settings.queues_when_short_of_memory:
            return reported_factor
        if not fleet_threads_per_core and estimates.mean_timed_attempt_ms:
            # Without load reports, slow attempts show congestion, as from a tenant's burst or lost engines.
            speed = CONGESTION_SLOWDOWN * estimates.mean_timed_baseline_ms / estimates.mean_timed_attempt_ms
            return QUEUEING_SHARE_FACTOR * min(1.0, speed) ** 2
        return max(reported_factor, QUEUEING_SHARE_FACTOR)

    def is_share_exhausted(self, query: Query) -> bool:
        """Return whether the fair share has no capacity left for the query.

        Limits per engine aren't enough: a gateway may run one query on each engine whatever the limit, so all
        gateways together could oversubscribe the engines. One query may always run; otherwise a gateway whose
        share is less than one query would serve none. In congestion only long queries are held back: short
        queries use little capacity, and would be late if they waited.
        """
        if query.is_short:
            running_threads = self.running_threads[1]
            max_threads = max(self.allowed_threads, self.fair_share_threads)
        else:
            running_threads = sum(self.running_threads)
            max_threads = self.allowed_threads
        return running_threads > 0 and running_threads + query.query_class.threads > max_threads

    def record_start(self, query: Query) -> None:
        """Count the threads of an attempt that starts."""
        self.running_threads[query.is_short] += query.query_class.threads

    def record_end(self, query: Query) -> None:
        """Release the threads of an attempt that has ended."""
        self.running_threads[query.is_short] -= query.query_class.threads
