"""Means and baselines that a gateway learns from arrivals and answers.

The gateway reports arrivals and ended attempts; the other rules read the means. By class of queries:
mean answer time, mean work, and the baseline slowdown, near the best that the fleet does for its size.
The *slowdown* of an attempt is its time over its query's single-thread service time. Nothing here is shared
between gateways; a fresh gateway learns anew. Means lag behind a change by some 20 samples.
"""

from fennelwind import policy
from fennelwind.policy.model import Engine, Query

OK = policy.AttemptStatus.OK
# What an attempt with these outcomes took tells how busy the fleet is; others end early or never ran.
TIMED_STATUSES = (OK, policy.AttemptStatus.TIMEOUT, policy.AttemptStatus.CANCELLED)
ACTIVE_QUERIES = "active"  # field of the load report: queries that run on the engine, of all gateways

CLASS_SAMPLE_SHARE = 0.05  # share of a new sample in a class's mean: some 20 answers
ENGINE_SAMPLE_SHARE = 0.15  # share in an engine's slowdown, a class's work, the fleet's load: some 7 samples
MAX_OBJECTIVE_RATIO = 3.0  # objectives; a longer sample counts as this, so one bad plan can't drag a mean
MAX_RELATIVE_SLOWDOWN = 8.0  # times the baseline; the same cap for an engine's slowdown
BASELINE_FALL = 0.02  # share by which the baseline falls at an answer below it; near the 9th percentile
BASELINE_RISE = 0.002  # share by which the baseline rises at an answer above it; slow, as most are above
UNKNOWN_WORK_SHARE = 0.25  # of the objective; with half, admission would never let the first query start


class Estimates:
    """The means of one gateway over the classes and over all attempts."""

    def __init__(self, class_count: int) -> None:
        self.mean_time_ms = [0.0] * class_count  # answer times; 0: none known
        self.mean_work_ms = [0.0] * class_count  # work of all threads of a query; 0: none known
        self.baseline_slowdown = [1.0] * class_count
        self.mean_query_work_ms = 0.0  # over the queries of all classes
        self.mean_attempt_thread_ms = 0.0  # mean of attempts: time times threads
        self.mean_attempt_ms = 0.0  # mean of attempts: time
        self.mean_timed_attempt_ms = 0.0  # mean of timed attempts: time, capped
        self.mean_timed_baseline_ms = 0.0  # mean of timed attempts: time at the baseline
        self.fleet_threads_per_core = 0.0  # from pooled load reports; 0: none reported

    def work_ms(
        self, request: policy.QueryArrived, query_class: policy.QueryClass, class_index: int
    ) -> float:
        """Return the work that a query is taken to need: as estimated, else as its class usually does."""
        return (
            request.estimated_work_ms
            or self.mean_work_ms[class_index]
            or UNKNOWN_WORK_SHARE * query_class.latency_objective_ms * query_class.threads
        )

    def record_arrival(self, class_index: int, work_ms: float) -> None:
        """Count the work of a query that came in."""
        mean_work_ms = self.mean_work_ms[class_index]
        self.mean_work_ms[class_index] += (work_ms - mean_work_ms) * (
            CLASS_SAMPLE_SHARE if mean_work_ms else 1.0
        )
        self.mean_query_work_ms += (work_ms - self.mean_query_work_ms) * (
            CLASS_SAMPLE_SHARE if self.mean_query_work_ms else 1.0
        )

    def start_mean_time(
        self,
        request: policy.QueryArrived,
        query_class: policy.QueryClass,
        class_index: int,
        service_time_ms: float,
    ) -> None:
        """Set the class's mean answer time at its first query: its estimate, else half the objective."""
        self.mean_time_ms[class_index] = self.mean_time_ms[class_index] or (
            service_time_ms if request.estimated_work_ms else query_class.latency_objective_ms / 2
        )

    def record_attempt(self, query: Query, engine: Engine, event: policy.AttemptEnded) -> None:
        """Count the time of an ended attempt and what its load report tells of the fleet."""
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
        """Return an attempt's slowdown over its class's baseline, capped."""
        slowdown = took_ms / query.service_time_ms
        return min(slowdown / self.baseline_slowdown[query.class_index], MAX_RELATIVE_SLOWDOWN)

    def record_answer(self, query: Query, event: policy.AttemptEnded) -> None:
        """Count a good answer in the means of its class."""
        index = query.class_index
        slowdown = event.took_ms / query.service_time_ms
        step = BASELINE_FALL if slowdown < self.baseline_slowdown[index] else -BASELINE_RISE
        self.baseline_slowdown[index] *= 1.0 - step
        took_ms = min(event.took_ms, MAX_OBJECTIVE_RATIO * query.query_class.latency_objective_ms)
        self.mean_time_ms[index] += (took_ms - self.mean_time_ms[index]) * CLASS_SAMPLE_SHARE
        if not query.request.estimated_work_ms:  # nobody estimates what it needs: its answers do
            work_ms = event.measured_work_ms or took_ms * query.query_class.threads
            self.mean_work_ms[index] += (work_ms - self.mean_work_ms[index]) * ENGINE_SAMPLE_SHARE
