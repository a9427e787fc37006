"""Outlier detection: engines that fail, or are far slower than the fleet, get no queries for a while.

The gateway reports ended attempts, and updates an engine with running attempts on each tick. An engine is
compared with the median of the fleet, so a fault that slows all engines alike ejects none. If every engine is
an outlier, selection uses them anyway. A failing engine is ejected for a fixed time that doubles with the
second failure; an answered attempt that was started after the last failure resets the count of failures.
"""

from fennelwind import policy
from fennelwind.policy.estimates import ENGINE_SAMPLE_SHARE, MAX_RELATIVE_SLOWDOWN, Estimates
from fennelwind.policy.model import Attempt, Engine, FleetIndex

OK, ERROR = policy.AttemptStatus.OK, policy.AttemptStatus.ERROR
# Outcomes that count as engine failures at once; an error may be the query's own fault.
FAILURES = (
    policy.AttemptStatus.CONNECT_FAILED,
    policy.AttemptStatus.RESET,
    policy.AttemptStatus.OVERLOADED,
)

OUTLIER_SLOWDOWN = 2.5  # times the fleet's median; a slower engine is an outlier, whatever the cause
EJECTION_MS = 1000.0  # ms; an ejection lasts 2 times EJECTION_MS after the first failure, then 4 times
MAX_EJECTION_FACTOR = 4  # times EJECTION_MS; bounded to use a recovered engine again within seconds
MAX_CONSECUTIVE_ERRORS = 3  # a bad query errs once per engine; an engine that errs fast attracts all queries
OUTLIER_SAMPLE_SHARE = 0.5  # weight of a new sample for an outlier: two good answers readmit it
DECAY_PER_PERIOD = 0.1  # share by which an engine's mean slowdown returns to 1 in each limit period


class OutlierDetector:
    """Detects and ejects the outliers among the engines of one gateway."""

    def __init__(self, estimates: Estimates) -> None:
        self.estimates = estimates
        self.median_slowdown = 1.0  # median of the ready engines' current slowdowns

    def review(self, fleet: FleetIndex, now_ms: float) -> dict[str, Engine]:
        """Update the idle engines whose state may have changed since the last review; return those visited.

        A median that has fallen makes outliers of slow engines to which nothing has happened.
        """
        visited = fleet.changed | fleet.slower_than(OUTLIER_SLOWDOWN * self.median_slowdown)
        for engine in visited.values():
            if not engine.running_attempts:  # engines with attempts are updated on each tick
                self.update(engine, now_ms)
        return visited

    def update_median_slowdown(self, fleet: FleetIndex) -> None:
        """Update the median slowdown of the ready engines, with which each engine is compared."""
        # The lower median: with the mean of two engines, neither could ever be an outlier.
        self.median_slowdown = fleet.median_slowdown()

    def update(self, engine: Engine, now_ms: float) -> None:
        """Update an engine's current slowdown from its answers and the ages of its running attempts."""
        baselines = self.estimates.baseline_slowdown
        total, weight = engine.mean_slowdown / ENGINE_SAMPLE_SHARE, 1 / ENGINE_SAMPLE_SHARE
        for attempt in engine.running_attempts.values():
            query = attempt.query
            slowdown = attempt.age_ms(now_ms) / (query.service_time_ms * baselines[query.class_index])
            if slowdown > engine.mean_slowdown and attempt.started_ms > engine.last_answered_start_ms:
                total, weight = total + min(slowdown, MAX_RELATIVE_SLOWDOWN), weight + 1
        engine.current_slowdown = total / weight
        is_slow = engine.current_slowdown > OUTLIER_SLOWDOWN * self.median_slowdown
        engine.is_outlier = engine.ejected_until_ms > now_ms or is_slow

    def record_failure(self, engine: Engine, status: policy.AttemptStatus, now_ms: float) -> bool:
        """Eject the engine if the outcome counts as its failure; return whether it does."""
        if status in (OK, ERROR):
            engine.consecutive_errors = engine.consecutive_errors + 1 if status == ERROR else 0
        is_erring = status == ERROR and engine.consecutive_errors >= MAX_CONSECUTIVE_ERRORS
        if not is_erring and status not in FAILURES:
            return False
        engine.failures += 1
        engine.failed_at_ms = now_ms
        engine.is_outlier = True
        engine.ejected_until_ms = now_ms + EJECTION_MS * min(2**engine.failures, MAX_EJECTION_FACTOR)
        return True

    def record_answer(self, attempt: Attempt) -> None:
        """Record a successful attempt; reset the failure count if it was started after the last failure."""
        engine = attempt.engine
        if attempt.started_ms > engine.failed_at_ms:
            engine.failures = 0
        engine.last_answered_start_ms = max(engine.last_answered_start_ms, attempt.started_ms)

    def is_slower_than_known(self, attempt: Attempt, slowdown: float) -> bool:
        """Return whether an attempt cut short shows that the engine is slower than its mean."""
        engine = attempt.engine
        return slowdown > engine.mean_slowdown and attempt.started_ms > engine.last_answered_start_ms

    def record_slowdown(self, engine: Engine, slowdown: float) -> None:
        """Update the engine's mean slowdown with an ended attempt."""
        share = OUTLIER_SAMPLE_SHARE if engine.is_outlier else ENGINE_SAMPLE_SHARE
        engine.mean_slowdown += (slowdown - engine.mean_slowdown) * share

    def decay(self, engine: Engine) -> None:
        """Decay the engine's mean slowdown towards 1, so that a high mean fades without new answers."""
        engine.mean_slowdown += (1.0 - engine.mean_slowdown) * DECAY_PER_PERIOD
