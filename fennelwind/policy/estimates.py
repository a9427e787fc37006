"""Statistics that a gateway learns from arrivals and answers.

The gateway reports arrivals and ended attempts; the other rules read the estimates. Each query class has a
mean answer time, a mean work and a baseline slowdown, close to the best that the fleet achieves for queries
of that size. The *slowdown* of an attempt is its time over its query's single-thread service time. Nothing is
shared between gateways; a restarted gateway starts from scratch. Means lag changes by some 20 samples.
"""

from fennelwind import policy
from fennelwind.policy.model import Engine, Query

OK = policy.AttemptStatus.OK
# Outcomes whose times show how busy the fleet is; attempts with other outcomes end early or never ran.
TIMED_STATUSES = (OK, policy.AttemptStatus.TIMEOUT, policy.AttemptStatus.CANCELLED)
ACTIVE_QUERIES = "active"  # field of the load report: queries of all gateways that run on the engine

CLASS_SAMPLE_SHARE = 0.05  # weight of a new sample in a class's mean: averages some 20 answers
ENGINE_SAMPLE_SHARE = 0.15  # weight for engine slowdowns, class work and fleet load: averages some 7 samples
MAX_OBJECTIVE_RATIO = 3.0  # times the objective; cap of a sample, so that one bad plan can't distort a mean
MAX_RELATIVE_SLOWDOWN = 8.0  # times the baseline; cap of an engine's sample, so that no bad plan distorts it
BASELINE_FALL = 0.02  # share by which a faster answer lowers the baseline, so it settles near percentile 9
BASELINE_RISE = 0.002  # share by which a slower answer raises the baseline; small, as most answers are slower
UNKNOWN_WORK_SHARE = 0.25  # of the objective; with 0.5, admission would reject even the first query


class Estimates:
    """The statistics of one gateway, per query class and over all attempts."""

    def __init__(self, class_count: int) -> None:
        self.mean_time_ms = [0.0] * class_count  # answer times; 0 if unknown
        self.mean_work_ms = [0.0] * class_count  # work summed over a query's threads; 0 if unknown
        self.baseline_slowdown = [1.0] * class_count
        self.mean_query_work_ms = 0.0  # over queries of all classes
        self.mean_attempt_thread_ms = 0.0  # over attempts: an attempt's time multiplied by its threads
        self.mean_attempt_ms = 0.0  # over attempts: an attempt's time
        self.mean_timed_attempt_ms = 0.0  # over attempts with a timed status: the capped time
        self.mean_timed_baseline_ms = 0.0  # over attempts with a timed status: the time at the baseline
        self.fleet_threads_per_core = 0.0  # from the load reports of all engines; 0 without reports

    def work_ms(
        self, request: policy.QueryArrived, query_class: policy.QueryClass, class_index: int
    ) -> float:
        """Return the work assumed for a query: its estimate, else its class's mean, else a default."""
        return (
            request.estimated_work_ms
            or self.mean_work_ms[class_index]
            or UNKNOWN_WORK_SHARE * query_class.latency_objective_ms * query_class.threads
        )

    def record_arrival(self, class_index: int, work_ms: float) -> None:
        """Update the mean work with a query that has arrived."""
        mean_work_ms = self.mean_work_ms[class_index]
        self.mean_work_ms[class_index] += (work_ms - mean_work_ms) * (
            CLASS_SAMPLE_SHARE if mean_work_ms else 1.0
        )
        self.mean_query_work_ms += (work_ms - self.mean_query_work_ms) * (
            CLASS_SAMPLE_SHARE if self.mean_query_work_ms else 1.0
        )

    def initialize_mean_time(
        self,
        request: policy.QueryArrived,
        query_class: policy.QueryClass,
        class_index: int,
        service_time_ms: float,
    ) -> None:
        """Set the class's mean answer time at its first query: the estimate, else half the objective."""
        self.mean_time_ms[class_index] = self.mean_time_ms[class_index] or (
            service_time_ms if request.estimated_work_ms else query_class.latency_objective_ms / 2
        )

    def record_attempt(self, query: Query, engine: Engine, event: policy.AttemptEnded) -> None:
        """Update the means with an ended attempt's time, and the fleet's load with its load report."""
        if event.status in TIMED_STATUSES:
            baseline_ms = query.service_time_ms * self.baseline_slowdown[query.class_index]
            capped_ms = min(event.took_ms, MAX_RELATIVE_SLOWDOWN * baseline_ms)
            self.mean_timed_attempt_ms += (capped_ms - self.mean_timed_attempt_ms) * CLASS_SAMPLE_SHARE
            self.mean_timed_baseline_ms += (baseline_ms - self.mean_timed_baseline_ms) * CLASS_SAMPLE_SHARE
        thread_ms = query.query_class.threads * event.took_ms
        self.mean_attempt_thread_ms += (thread_ms - self.mean_attempt_thread_ms) * CLASS_SAMPLE_SHARE
        self.mean_attempt_ms += (event.took_ms - self.mean_attempt_ms) * CLASS_SAMPLE_SHARE
        if ACTIVE_QUERIES in event.load and self.mean_attempt_ms:
            threads_per_core = (
                event.load[ACTIVE_QUERIES] * self.mean_attempt_thread_ms / self.mean_attempt_ms / engine.cores
            )
            self.fleet_threads_per_core += (threads_per_core - self.fleet_threads_per_core) * (
                ENGINE_SAMPLE_SHARE if self.fleet_threads_per_core else 1.0
            )

    def relative_slowdown(self, query: Query, took_ms: float) -> float:
        """Return an attempt's slowdown relative to its class's baseline, capped."""
        slowdown = took_ms / query.service_time_ms
        return min(slowdown / self.baseline_slowdown[query.class_index], MAX_RELATIVE_SLOWDOWN)

    def record_answer(self, query: Query, event: policy.AttemptEnded) -> None:
        """Update the statistics of the query's class with a successful answer."""
        index = query.class_index
        slowdown = event.took_ms / query.service_time_ms
        step = BASELINE_FALL if slowdown < self.baseline_slowdown[index] else -BASELINE_RISE
        self.baseline_slowdown[index] *= 1.0 - step
        took_ms = min(event.took_ms, MAX_OBJECTIVE_RATIO * query.query_class.latency_objective_ms)
        self.mean_time_ms[index] += (took_ms - self.mean_time_ms[index]) * CLASS_SAMPLE_SHARE
        if not query.request.estimated_work_ms:  # no estimate: learn the work from answers
            work_ms = event.measured_work_ms or took_ms * query.query_class.threads
            self.mean_work_ms[index] += (work_ms - self.mean_work_ms[index]) * ENGINE_SAMPLE_SHARE
