"""The gateway: takes the events of `fennelwind.policy`, owns the state, calls the rules, returns the actions.

It makes no decision itself; each rule has its own module in this package. The driver (`dispatch/driver`) and
the simulator's adapter call `Gateway.step`. There is no I/O, no clock and no logging here: each call passes
the time, and random numbers come from a generator seeded by the caller. Unexpected events (for queries that
have ended, or unknown engines) are ignored. `HealthChecked` and `PeerMessageReceived` are ignored too, and
`CheckHealth`, `SendPeerMessage` and `LogMessage` are never returned: they are part of the interface because
the wire defines them.
"""

from random import Random

from fennelwind import policy
from fennelwind.policy.admission import TICK_MS, Admission
from fennelwind.policy.concurrency import LIMIT_PERIOD_MS, ConcurrencyLimits
from fennelwind.policy.constraints import Constraints
from fennelwind.policy.dispatch_queue import DispatchQueue
from fennelwind.policy.engine_registry import EngineRegistry
from fennelwind.policy.estimates import Estimates
from fennelwind.policy.grants import Grants
from fennelwind.policy.model import Attempt, Engine, Query
from fennelwind.policy.outliers import OutlierDetector
from fennelwind.policy.retries import RetryPolicy
from fennelwind.policy.selection import EngineSelector
from fennelwind.policy.slow_start import SlowStart

OK = policy.AttemptStatus.OK

FLEET_REVIEW_MS = 250.0  # ms between reviews of the fleet; a tick late by more than this is a stall


class Gateway:
    """The state and decisions of one gateway; instances share nothing."""

    def __init__(self, settings: policy.Settings, seed: int) -> None:
        self.settings = settings
        self.now_ms, self.random = 0.0, Random(seed)
        self.actions: list[policy.Action] = []
        self.queries: dict[int, Query] = {}
        self.estimates = Estimates(len(settings.classes))
        self.queue = DispatchQueue(settings)
        self.grants = Grants(settings, self.estimates)
        self.admission = Admission(settings, self.estimates, self.grants)
        self.retries = RetryPolicy(settings, self.estimates)
        self.outliers = OutlierDetector(self.estimates)
        self.concurrency = ConcurrencyLimits(settings, self.estimates)
        self.registry = EngineRegistry(settings, self.random, self.concurrency)
        self.fleet, self.engines = self.registry.fleet, self.registry.engines
        self.slow_start = SlowStart(settings, self.estimates)
        self.constraints = Constraints(settings, self.slow_start)
        self.selector = EngineSelector(
            settings, self.random, self.constraints, self.concurrency, self.slow_start
        )
        self.timer_token = 0
        self.tick_at_ms = self.review_at_ms = self.period_at_ms = float("-inf")

    def step(self, now_ms: float, events: list[policy.Event]) -> list[policy.Action]:
        """Process the events of a tick at the given time (ms); return the actions, in order."""
        self.now_ms, self.actions = max(self.now_ms, now_ms), []
        self._record_stall()
        for event in events:
            self._handle_event(event)
        if self.now_ms >= self.tick_at_ms:
            self._tick()
        self._dispatch()
        return self.actions

    def _record_stall(self) -> None:
        """Exclude a stall of this gateway from the ages of its attempts, so that the stall causes no timeout.

        The detection of a hung engine is therefore delayed by the length of the stall.
        """
        late_ms = self.now_ms - self.tick_at_ms
        if FLEET_REVIEW_MS < late_ms < float("inf"):
            for engine in self.registry.busy_engines.values():
                for attempt in engine.running_attempts.values():
                    attempt.gateway_stall_ms += late_ms

    def _handle_event(self, event: policy.Event) -> None:
        match event:
            case policy.QueryArrived():
                self._on_query_arrived(event)
            case policy.AttemptEnded():
                self._on_attempt_ended(event)
            case policy.EngineListUpdate():
                if self.registry.apply(event, self.now_ms):
                    self._review_fleet()
            case policy.LoadAdvice(loads):
                self.selector.load_advice = loads
            case policy.ClientDisconnected(query) if query in self.queries:
                self._close(self.queries[query])
            case policy.ResultStarted(query) if query in self.queries:
                self.queries[query].has_result_started = True
            case policy.AttemptProgress(query) if query in self.queries:
                self.retries.record_progress(self.queries[query], event, self.now_ms)
            case policy.TimerFired(token) if token == self.timer_token:
                self.tick_at_ms = self.now_ms  # rounding may fire the timer early; no other timer is set

    def _on_query_arrived(self, request: policy.QueryArrived) -> None:
        if request.query in self.queries:
            return
        query, work_ms = self.admission.admit(request, self.now_ms)
        self.retries.record_arrival(work_ms)
        self.queries[request.query] = query
        self.queue.key_order.add(query)
        self._enqueue(query)

    def _on_attempt_ended(self, event: policy.AttemptEnded) -> None:
        query = self.queries.get(event.query)
        if query is None:
            return
        attempt = query.attempt(event.attempt)
        if attempt is None or not attempt.finish():
            return
        self.concurrency.record_end(query)
        if event.status == OK and not query.is_finished:
            self.retries.record_served(query, self.now_ms)
        self.registry.record_end(attempt.engine)
        self.queue.unblock_all()
        self.retries.record_outcome(query, event.status)
        self.queue.record_outcome(query, event.status, self.now_ms)
        self._learn(attempt, event)
        if query.is_finished:
            self._forget(query)
        elif event.is_final:
            self._close(query)
        elif not query.has_result_started and not query.running_attempts:
            if self.retries.may_retry(query, self.now_ms):
                self._enqueue(query)
            else:
                self._give_up(query)

    def _learn(self, attempt: Attempt, event: policy.AttemptEnded) -> None:
        """Update the rules' statistics with an ended attempt."""
        query, engine = attempt.query, attempt.engine
        self.estimates.record_attempt(query, engine, event)
        if self.outliers.record_failure(engine, event.status, self.now_ms):
            return
        slowdown = self.estimates.relative_slowdown(query, event.took_ms)
        if event.status == OK:
            self.outliers.record_answer(attempt)
            engine.record_table_group(query.request.table_group)
        if attempt.gateway_stall_ms:
            return  # the attempt's time includes a stall of this gateway
        if event.status == OK:
            self.estimates.record_answer(query, event)
        elif not self.outliers.is_slower_than_known(attempt, slowdown):
            return  # an attempt cut short gives only a lower bound of its time
        self.outliers.record_slowdown(engine, slowdown)
        self.concurrency.record_answer(query, engine, event.took_ms)

    # Query lifecycle.

    def _enqueue(self, query: Query) -> None:
        if self.admission.latest_dispatch_ms(query) <= self.now_ms:
            self._dispatch_late(query)  # the deadline leaves no time to wait; the answer is due at once
            return
        query.is_queued = True
        self.queue.add(query, self.now_ms)
        self.admission.add(query)

    def _dispatch_late(self, query: Query) -> None:
        """Dispatch a query past its latest dispatch time if admission and capacity allow it; else end it."""
        has_others_queued = self.queue.has_other(query)
        may_dispatch = self.admission.may_dispatch_late(query, has_others_queued, self.now_ms)
        if not (may_dispatch and self._try_start(query)) and not query.is_finished:
            self._give_up(query)

    def _give_up(self, query: Query) -> None:
        self.actions.append(self.admission.final_answer(query))
        self._close(query)

    def _close(self, query: Query) -> None:
        """Mark a query as finished; cancel its running attempts."""
        query.is_finished, query.is_queued = True, False
        if query.running_attempts and self.settings.can_cancel and not query.has_result_started:
            for attempt in query.attempts:
                is_running = (query.request.query, attempt.number) in attempt.engine.running_attempts
                if is_running and not attempt.is_cancelled:
                    self._cancel(attempt)
        self._forget(query)

    def _cancel(self, attempt: Attempt) -> None:
        attempt.is_cancelled = True
        self.actions.append(policy.CancelAttempt(attempt.query.request.query, attempt.number))

    def _forget(self, query: Query) -> None:
        """Drop a finished query once none of its attempts runs."""
        if not query.running_attempts:
            self.queries.pop(query.request.query, None)
            self.queue.remove(query, self.now_ms)

    # Periodic work.

    def _tick(self) -> None:
        if self.now_ms >= self.review_at_ms:
            self._review_fleet()
        if self.now_ms >= self.period_at_ms:
            self._start_period()
        while (number := self.admission.pop_expired(self.now_ms)) is not None:
            query = self.queries.get(number)
            if query is not None and query.is_queued and not query.is_finished:
                self._dispatch_late(query)
        for engine in list(self.registry.busy_engines.values()):
            self._review_engine(engine)
        subscription = self.registry.subscribe(self.now_ms)
        if subscription is not None:
            self.actions.append(subscription)
        self.tick_at_ms = float("-inf")  # idle: the next event runs a tick
        if self.queries or self.settings.requires_subscription:  # else no tick is due before the next event
            self.tick_at_ms = self.now_ms + TICK_MS
            self.timer_token += 1
            self.actions.append(policy.StartTimer(TICK_MS, self.timer_token))

    def _review_fleet(self) -> None:
        """Update what depends on the whole fleet: ready engines, median slowdown and fair share."""
        self.review_at_ms = self.now_ms + FLEET_REVIEW_MS
        self.queue.unblock_all()
        self.fleet.forget_removed()
        reviewed = self.outliers.review(self.fleet, self.now_ms)
        self.fleet.update(reviewed | self.registry.busy_engines, self.concurrency.limit)
        self.selector.update_ready_engines(self.fleet)
        self.outliers.update_median_slowdown(self.fleet)
        self.concurrency.update_fair_share(self.selector.ready_engines)
        self.queue.forget_expired_holds(self.now_ms)

    def _start_period(self) -> None:
        """Adjust the limits of all engines and decay their slowdowns, once per limit period."""
        self.period_at_ms = self.now_ms + LIMIT_PERIOD_MS
        for engine in self.engines.values():
            self.concurrency.adjust(engine)
            self.outliers.decay(engine)
        self.fleet.note_adjusted()

    def _review_engine(self, engine: Engine) -> None:
        """Update an engine's outlier state, and the grants and timeouts of its running attempts."""
        self.outliers.update(engine, self.now_ms)
        for attempt in list(engine.running_attempts.values()):
            if self.settings.has_priorities and not attempt.query.is_finished:
                self._grant(attempt.query)  # a query now past its objective gets the lowest priority
            self._restart_if_timed_out(attempt)

    def _restart_if_timed_out(self, attempt: Attempt) -> None:
        """Cancel an attempt that has timed out, or hedge it where attempts can't be cancelled."""
        query, median_slowdown = attempt.query, self.outliers.median_slowdown
        has_load_advice = bool(self.selector.load_advice)
        if not self.retries.has_timed_out(attempt, median_slowdown, has_load_advice, self.now_ms):
            return
        if not self.retries.spend_restart_credit(query, self.now_ms):
            return
        if self.settings.can_cancel:
            self._cancel(attempt)
        elif self.settings.allows_concurrent_attempts and not query.is_queued:
            self._enqueue(query)

    # Dispatch.

    def _dispatch(self) -> None:
        """Start attempts for all queries that the rules let start now."""
        if self.queue.unordered:
            for query in self.queue.ranked_unordered(self.now_ms):
                self._try_start(query)
            self.queue.drop_dispatched()
        while (head := self.queue.head(self.now_ms)) is not None:
            if not self._try_start(head):
                self.queue.block(head)

    def _try_start(self, query: Query) -> bool:
        """Start an attempt of the query if every rule allows it; return whether it was started."""
        if query.attempts and not self.retries.may_retry(query, self.now_ms):
            self._give_up(query)
            return False
        if self._is_on_hold(query):
            return False
        self.slow_start.set_work(query)
        engine = self.selector.choose(query, self.engines, self.outliers.median_slowdown, self.now_ms)
        if engine is None:
            return False
        attempt = query.start_attempt(engine, self.now_ms)
        self.registry.record_start(engine)
        self.retries.record_start(attempt, self.now_ms)
        self.concurrency.record_start(query)
        self.slow_start.record_start(query, engine, self.now_ms)
        self._grant(query)
        self.actions.append(policy.StartAttempt(query.request.query, engine.endpoint.engine))
        return True

    def _is_on_hold(self, query: Query) -> bool:
        """Return whether the query must not start now on any engine."""
        if query.attempts:
            if not self.retries.is_within_budget(self.now_ms):
                return True
            return query.running_attempts > 0 and not self.settings.allows_concurrent_attempts
        return self.queue.is_key_held(query.order_key, self.now_ms)

    def _grant(self, query: Query) -> None:
        action = self.grants.update(query, self.now_ms)
        if action is not None:
            self.actions.append(action)
