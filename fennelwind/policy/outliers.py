"""Outlier detection: engines that are far slower than the fleet, or that fail, get no queries for a while.

The gateway reports ended attempts and asks for a new look at an engine on each tick. An engine is compared
with the median of the fleet, so a fault that slows all engines alike ejects none. If every engine is an
outlier, selection uses them all the same. An engine that fails is ejected for a stated time, doubled with
each further failure up to a maximum; an attempt started after the failure and answered ends the row of
failures.
"""

from statistics import median_low

from fennelwind import policy
from fennelwind.policy.estimates import ENGINE_SAMPLE_SHARE, MAX_RELATIVE_SLOWDOWN, Estimates
from fennelwind.policy.model import Attempt, Engine

OK, ERROR = policy.AttemptStatus.OK, policy.AttemptStatus.ERROR
# Outcomes that are the engine's fault at once; an error may be the query's own.
FAILURES = (
    policy.AttemptStatus.CONNECT_FAILED,
    policy.AttemptStatus.RESET,
    policy.AttemptStatus.OVERLOADED,
)

OUTLIER_SLOWDOWN = 2.5  # times the fleet's median; a slower engine is an outlier, whatever the cause
EJECTION_MS = 1000.0  # ms; an ejection lasts this times 2 after one failure, times 4 from the second on
MAX_EJECTION_FACTOR = 4  # times EJECTION_MS; a recovered engine is used again within seconds
MAX_CONSECUTIVE_ERRORS = 3  # a bad query errs once anywhere; an engine that errs quickly would draw all in
OUTLIER_SAMPLE_SHARE = 0.5  # share of a new sample in an outlier's mean: two good answers bring it back
DECAY_PER_PERIOD = 0.1  # share of an engine's slowdown forgotten in each limit period


class OutlierDetector:
    """Which engines stand out from the fleet."""

    def __init__(self, estimates: Estimates) -> None:
        self.estimates = estimates
        self.median_slowdown = 1.0  # median of the fleet

    def update_median_slowdown(self, ready_engines: list[Engine]) -> None:
        """Set the median of all ready engines, with which each is compared."""
        # The lower one of two: with the mean of both, one of two engines could never stand out.
        self.median_slowdown = median_low([engine.current_slowdown for engine in ready_engines] or [1.0])

    def update(self, engine: Engine, now_ms: float) -> None:
        """Look at an engine by its answers and by the ages of what it has not answered."""
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
        """Eject the engine if the outcome shows that it fails; return whether it does."""
        if status in (OK, ERROR):
            engine.consecutive_errors = engine.consecutive_errors + 1 if status == ERROR else 0
        errs_always = status == ERROR and engine.consecutive_errors >= MAX_CONSECUTIVE_ERRORS
        if not errs_always and status not in FAILURES:
            return False
        engine.failures += 1
        engine.failed_at_ms = now_ms
        engine.is_outlier = True
        engine.ejected_until_ms = now_ms + EJECTION_MS * min(2**engine.failures, MAX_EJECTION_FACTOR)
        return True

    def record_answer(self, attempt: Attempt) -> None:
        """Count a good answer: it ends a row of failures if it was started after the last of them."""
        engine = attempt.engine
        if attempt.started_ms > engine.failed_at_ms:
            engine.failures = 0
        engine.last_answered_start_ms = max(engine.last_answered_start_ms, attempt.started_ms)

    def is_slower_than_known(self, attempt: Attempt, slowdown: float) -> bool:
        """Return whether an attempt cut short shows that the engine is slower than its mean."""
        engine = attempt.engine
        return slowdown > engine.mean_slowdown and attempt.started_ms > engine.last_answered_start_ms

    def record_slowdown(self, engine: Engine, slowdown: float) -> None:
        """Count the slowdown of an ended attempt."""
        share = OUTLIER_SAMPLE_SHARE if engine.is_outlier else ENGINE_SAMPLE_SHARE
        engine.mean_slowdown += (slowdown - engine.mean_slowdown) * share

    def decay(self, engine: Engine) -> None:
        """Forget a part of the engine's slowdown: a figure with no fresh answers must not bind for ever."""
        engine.mean_slowdown += (1.0 - engine.mean_slowdown) * DECAY_PER_PERIOD
