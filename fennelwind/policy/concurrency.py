"""Concurrency limits: threads that this gateway's queries may use, on each engine and over the fleet.

The limit of an engine starts in the middle, is cut once a period by how far answers miss their objectives,
and is raised where it kept queries back. It binds only under pressure; else the maximum does. The fair
share of the fleet is an even part of all engines' limits, times how much room the fleet seems to have.
Limits are in threads, as queries use several.
"""

from fennelwind import policy
from fennelwind.policy.estimates import MAX_OBJECTIVE_RATIO, Estimates
from fennelwind.policy.model import Engine, Query

LIMIT_PERIOD_MS = 1000.0  # ms between two changes of a limit; the design raises each second
INITIAL_THREADS_PER_CORE = 1.5  # over all gateways; the design's start of the limit
MIN_THREADS_PER_CORE = 1.0  # over all gateways; the design's floor
MAX_THREADS_PER_CORE = 3.0  # over all gateways; objectives are met until an engine is far overfilled
RAISE_FACTOR = 1.25  # a period; the design's raise by a quarter
SAMPLE_DECAY = 0.6  # share of the samples kept a period, so that some 2 s count
MIN_SAMPLES = 0.5  # decayed count of answers; fewer than this tell nothing
PRESSURE_SLOWDOWN = 1.5  # times the baseline; an answer this much slower says that the engine is overfilled
OPEN_THREADS_PER_CORE = 1.1  # over the fleet, as reported; with less, a gateway may exceed its even part
JAM_SLOWDOWN = 2.5  # times the baseline over all attempts; slower, with no reports, the fleet is in a jam
MAX_SHARE_FACTOR = 4.0  # times the even part; reports are seconds old, and a jump of demand is quicker
QUEUEING_SHARE_FACTOR = 3.0  # times the even part where engines queue for memory: overfilling costs less


class ConcurrencyLimits:
    """The limits of one gateway and what it uses of them."""

    def __init__(self, settings: policy.Settings, estimates: Estimates) -> None:
        self.settings, self.estimates = settings, estimates
        self.fair_share_threads = 0.0  # an even part of the fleet
        self.allowed_threads = 0.0  # what this gateway may run now
        self.running_threads = [0, 0]  # of this gateway: for long queries and for short ones

    def initial_limit(self, cores: int) -> float:
        """Return the threads that an engine of so many cores starts with."""
        return INITIAL_THREADS_PER_CORE * cores / self.settings.gateway_count

    def limit(self, engine: Engine) -> float:
        """Return the threads allowed: the limit under pressure, else the maximum, as pressure shows late."""
        if engine.current_slowdown > PRESSURE_SLOWDOWN or engine.failures:
            return engine.concurrency_limit
        return MAX_THREADS_PER_CORE * engine.cores / self.settings.gateway_count

    def record_answer(self, query: Query, engine: Engine, took_ms: float) -> None:
        """Count an attempt's time over the time that its objective leaves."""
        objective_ms = query.objective_at_ms - query.arrived_ms
        engine.add_objective_ratio(query.class_index, min(took_ms / objective_ms, MAX_OBJECTIVE_RATIO))

    def adjust(self, engine: Engine) -> None:
        """Move an engine's limit, once a period: cut by the worst class, or raised where there was need."""
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

    def update_fair_share(self, ready_engines: list[Engine]) -> None:
        """Set the threads that this gateway may run over the whole fleet."""
        self.fair_share_threads = sum(self.limit(engine) for engine in ready_engines)
        self.allowed_threads = self.fair_share_threads * self.share_factor()

    def share_factor(self) -> float:
        """Return the factor by which this gateway may exceed its even part; below 1 it must not reach it.

        With many gateways an even part is hardly one query, and demand scatters: a fleet that its reports
        show to be half empty is open to all; when it fills, as by a burst or lost engines, all give way.
        """
        estimates = self.estimates
        fleet_threads_per_core = estimates.fleet_threads_per_core
        reported_factor = 1.0
        if fleet_threads_per_core > 0.0:
            room = min(OPEN_THREADS_PER_CORE / fleet_threads_per_core, MAX_SHARE_FACTOR**0.5)
            reported_factor = room**2
        if not self.settings.queues_when_short_of_memory:
            return reported_factor
        if not fleet_threads_per_core and estimates.mean_timed_attempt_ms:
            # Nothing reported: how long attempts take tells a jam, as by one tenant's burst or lost engines.
            speed = JAM_SLOWDOWN * estimates.mean_timed_baseline_ms / estimates.mean_timed_attempt_ms
            return QUEUEING_SHARE_FACTOR * min(1.0, speed) ** 2
        return max(reported_factor, QUEUEING_SHARE_FACTOR)

    def is_share_used(self, query: Query) -> bool:
        """Return whether the fair share leaves no room for the query.

        Limits rounded up to a query on each engine would let the gateways overfill them all together; but one
        query may always run, else a gateway whose part is less than that never serves. In a jam long
        queries give way: short ones queued here would be late for room that they hardly use.
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
