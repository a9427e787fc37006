"""Retries: which queries may be retried, the retry budget, attempt timeouts and hedged requests.

An attempt has timed out if it takes far longer than its estimate and the slowdown of the fleet suggest: it is
cancelled and its query retried or, where attempts can't be cancelled, a hedged request is started. Both
restart work, so two budgets limit them: the retry budget, which the deployment configures, over all retries
of the gateway in a sliding window; and the restart credit, work that timeouts may redo, earned by arrivals.
"""

from fennelwind import policy
from fennelwind.policy.estimates import Estimates
from fennelwind.policy.model import Attempt, Query, SlidingWindowSum

KEYED, NON_IDEMPOTENT = policy.Idempotency.KEYED, policy.Idempotency.NON_IDEMPOTENT
REMOVED = policy.EngineState.REMOVED
SHARE_DONE = policy.ProgressKind.SHARE_DONE
# Outcomes that prove that the attempt never ran; after any other it may have run.
NEVER_RAN_STATUSES = (
    policy.AttemptStatus.OVERLOADED,
    policy.AttemptStatus.CONNECT_FAILED,
    policy.AttemptStatus.NOT_STARTED,
)

TIMEOUT_SLOWDOWN = 3.0  # times the expected time of an attempt; after that another engine is tried
ADVISED_TIMEOUT_FACTOR = 2.0  # times TIMEOUT_SLOWDOWN with load advice: a reporting engine is busy, not hung
MAX_PROGRESS_AGE_INTERVALS = 2.5  # progress intervals; an older report is stale
MIN_TIMEOUT_WORK_SHARE = 0.5  # of the class's mean work; the least work assumed, as small estimates err most
RESTART_WORK_SHARE = 0.15  # of arriving work; if timeouts restarted more, they would worsen congestion
MAX_RESTART_QUERIES = 6.0  # times the mean work; bounds saved credit: quiet times must not pay for congestion


class RetryPolicy:
    """The rules on retries, and the budgets of one gateway."""

    def __init__(self, settings: policy.Settings, estimates: Estimates) -> None:
        self.settings, self.estimates = settings, estimates
        self.served = SlidingWindowSum()  # served queries, by arrival time
        self.retries = SlidingWindowSum()
        self.restart_credit_ms = float("inf")  # work that timeouts may restart

    def record_arrival(self, work_ms: float) -> None:
        """Add a share of a new query's work to the restart credit."""
        max_credit_ms = MAX_RESTART_QUERIES * self.estimates.mean_query_work_ms
        self.restart_credit_ms = min(self.restart_credit_ms + RESTART_WORK_SHARE * work_ms, max_credit_ms)

    def record_served(self, query: Query, now_ms: float) -> None:
        """Count a served query: only served queries earn retry budget, not failed ones of faulty clients."""
        window_ms = self.settings.retry_budget_window_ms
        if window_ms:
            self.served.add(query.arrived_ms, 1.0, now_ms - window_ms)

    def record_start(self, attempt: Attempt, now_ms: float) -> None:
        """Count an attempt that is a retry; record the first unresolved attempt of a keyed query."""
        query, window_ms = attempt.query, self.settings.retry_budget_window_ms
        if attempt.number and window_ms:
            self.retries.add(now_ms, 1.0, now_ms - window_ms)
        if query.query_class.idempotency == KEYED and query.first_unresolved_attempt is None:
            query.first_unresolved_attempt = attempt

    def record_outcome(self, query: Query, status: policy.AttemptStatus) -> None:
        """Record whether the query may have run; a query that certainly never ran may go to any engine."""
        if status not in NEVER_RAN_STATUSES:
            query.is_outcome_unknown = True
        elif not query.is_outcome_unknown and not query.running_attempts:
            query.first_unresolved_attempt = None

    def record_progress(self, query: Query, event: policy.AttemptProgress, now_ms: float) -> None:
        """Update an attempt's remaining time from a report of the share that is done."""
        if event.kind == SHARE_DONE and event.value > 0.0:
            query.record_progress(event.attempt, event.value, now_ms)

    def is_within_budget(self, now_ms: float) -> bool:
        """Return whether the retry budget allows one more retry now."""
        settings = self.settings
        if not settings.retry_budget_window_ms:
            return True
        since_ms = now_ms - settings.retry_budget_window_ms
        served = self.served.total(since_ms + settings.resolution_ms)
        max_retries = settings.retry_budget_free + settings.retry_budget_share * served
        return self.retries.total(since_ms) + 1 <= max_retries

    def may_retry(self, query: Query, now_ms: float) -> bool:
        """Return whether idempotency and the attempt limit allow another attempt of the query."""
        settings, query_class = self.settings, query.query_class
        if len(query.attempts) >= settings.max_attempts or query.has_result_started:
            return False
        if query_class.idempotency == NON_IDEMPOTENT:
            return not query.is_outcome_unknown and not query.running_attempts
        first = query.first_unresolved_attempt
        if first is None:
            return True
        deduplicated_until_ms = first.started_ms + query_class.deduplication_window_ms
        return now_ms + settings.resolution_ms < deduplicated_until_ms

    def has_timed_out(
        self, attempt: Attempt, median_slowdown: float, has_load_advice: bool, now_ms: float
    ) -> bool:
        """Return whether to start another attempt: this one is too slow, or its engine was removed."""
        query = attempt.query
        if (
            attempt.is_cancelled
            or query.is_finished
            or query.running_attempts > 1
            or query.query_class.idempotency == NON_IDEMPOTENT
        ):
            return False
        if attempt.engine.endpoint.state == REMOVED:
            return True
        timeout_ms = self._timeout_ms(attempt, median_slowdown, has_load_advice)
        if attempt.age_ms(now_ms) < timeout_ms:
            return False
        # With recent progress reports an attempt times out only if it needs another full timeout: a restart
        # loses all work done. When reports stop, as from a hung engine, the attempt's age alone decides.
        max_progress_age_ms = MAX_PROGRESS_AGE_INTERVALS * self.settings.progress_interval_ms
        reports_progress = now_ms - attempt.progress_at_ms < max_progress_age_ms
        return not (reports_progress and attempt.remaining_ms < timeout_ms)

    def _timeout_ms(self, attempt: Attempt, median_slowdown: float, has_load_advice: bool) -> float:
        """Return the age in ms at which an attempt is taken to be lost or stuck."""
        query, index, estimates = attempt.query, attempt.query.class_index, self.estimates
        min_time_ms = MIN_TIMEOUT_WORK_SHARE * estimates.mean_work_ms[index] / query.query_class.threads
        time_ms = max(query.service_time_ms, min_time_ms)
        factor = TIMEOUT_SLOWDOWN * (ADVISED_TIMEOUT_FACTOR if has_load_advice else 1.0)
        slowdown = max(median_slowdown, attempt.engine.mean_slowdown, 1.0)
        return factor * slowdown * time_ms * estimates.baseline_slowdown[index]

    def spend_restart_credit(self, query: Query, now_ms: float) -> bool:
        """Spend credit on restarting the query's work; return whether the budgets allow it.

        The credit counts work, not queries: short queries must not pay for repeated restarts of long ones.
        """
        work_ms = query.service_time_ms * query.query_class.threads
        max_credit_ms = MAX_RESTART_QUERIES * self.estimates.mean_query_work_ms
        if self.restart_credit_ms < min(work_ms, max_credit_ms):
            return False
        if not self.may_retry(query, now_ms) or not self.is_within_budget(now_ms):
            return False
        self.restart_credit_ms -= work_ms
        return True
