"""The driver: passes events to the policy and carries out the actions that it returns.

All events of one turn of the event loop go to the policy in one step. The step and its actions never block;
an attempt or a health check, which has to wait, runs in a task of its own. The driver itself decides only two
things: it limits the number of open queries, and it answers a query shortly before its client times out if
the policy has not answered it.

Each query has three deadlines. The policy decides two ticks before `answer_deadline_ms`
(`policy/admission.py`), which is the client's deadline minus the answer margin. If the query is still
unanswered half a margin before the client's deadline, the driver answers it. An entry that has joined another
query ends at its own `answer_deadline_ms`.

A client's final answer always passes through `Driver.finalize` and the ledger:

- served: `AttemptRunner.finish`;
- rejected or failed by the policy: `Driver._carry_out`;
- rejected on arrival: `Driver._register`, `SharedExecutions.add`;
- ended by the client, a deadline or shutdown before the policy decided: `Driver._end_early`;
- answered together with the query that it joined: `SharedExecutions`.
"""

from collections.abc import Callable
from typing import Any

from fennelwind import policy
from fennelwind.dispatch.attempts import AttemptRunner
from fennelwind.dispatch.ledger import Entry, Ledger
from fennelwind.dispatch.observer import Observer
from fennelwind.dispatch.shared_executions import SharedExecutions
from fennelwind.dispatch.types import Answer, AnswerKind, Engines, Router, Submission
from fennelwind.limits.answer_margin import AnswerMargin
from fennelwind.load_balancing.load_advisor import LoadAdvisor
from fennelwind.loop import Loop
from fennelwind.policy.gateway import Gateway

# Share of the answer margin that remains when the driver answers in place of the policy.
FINAL_MARGIN_SHARE = 0.5


class Driver:
    """Dispatches the queries of one controller."""

    def __init__(
        self,
        loop: Loop,
        settings: policy.Settings,
        engines: Engines,
        observer: Observer,
        *,
        seed: int,
        max_open: int,
        margin: AnswerMargin,
        subscribe: Callable[[], None] = lambda: None,
        advisor: LoadAdvisor | None = None,
        router: Router | None = None,
    ) -> None:
        self.loop, self.settings, self.engines, self.observer = loop, settings, engines, observer
        self.max_open, self.margin, self.subscribe = max_open, margin, subscribe
        self.ledger = Ledger(len(settings.classes) if router is None else router.classes)
        self.gateway = Gateway(settings, seed)
        self.advisor = advisor  # estimates the fleet's load for the policy; None if load is not estimated
        self.router = router  # routes by replica locations of shards; None if there is no such routing
        self.attempts = AttemptRunner(loop, settings, engines, observer, self.ledger, self, advisor, router)
        self.shared = SharedExecutions(loop, settings, self.ledger, self)
        # Retry-After of rejections that the driver gives without the policy.
        self.max_retry_after_ms = settings.max_retry_after_ms if settings.allows_retry_after else 0.0
        self.is_closing = False
        self.steps = 0
        self.step_errors = 0
        self.rejected_at_capacity = 0  # rejected on arrival, as too many were open or the driver was closing
        self.unanswered_by_policy = 0  # queries that the driver answered because the policy had not
        self._events: list[policy.Event] = []
        self._is_step_scheduled = False

    # Incoming events.

    @property
    def pending_events(self) -> int:
        """The number of events that the policy gets in its next step."""
        return len(self._events)

    def submit(
        self,
        submission: Submission,
        on_answer: Callable[[Entry], None],
        on_finished: Callable[[Entry], None] | None = None,
    ) -> Entry:
        """Accept a query; `on_answer` gets the final answer once, possibly before this method returns.

        `on_finished` is called once the query is answered and none of its attempts runs.
        """
        entry = self._register(submission, on_answer, on_finished)
        if entry.answer is not None:
            return entry
        is_shared = bool(submission.request_id) and self.shared.add(entry)
        if not is_shared:
            self.send_to_policy(entry)
        return entry

    def _register(
        self,
        submission: Submission,
        on_answer: Callable[[Entry], None],
        on_finished: Callable[[Entry], None] | None,
    ) -> Entry:
        """Register a query; reject it at once if too many are open or the driver is closing."""
        answer_deadline_ms = submission.deadline_ms - self.margin.ms
        entry = self.ledger.register(submission, self.loop.now(), answer_deadline_ms, on_answer)
        entry.on_finished = on_finished
        if self.is_closing or self.ledger.open_count > self.max_open:
            self.rejected_at_capacity += 1
            reason = (
                "the controller is closing" if self.is_closing else f"{self.max_open} queries are open here"
            )
            self.finalize(entry, Answer(AnswerKind.REJECTED, reason, self.max_retry_after_ms))
        return entry

    def send_to_policy(self, entry: Entry) -> None:
        """Pass a query to the policy, and set the timer that answers it if the policy does not."""
        submission = entry.submission
        margin_ms = submission.deadline_ms - entry.answer_deadline_ms
        fallback_answer_ms = max(submission.deadline_ms - FINAL_MARGIN_SHARE * margin_ms, entry.received_ms)
        entry.deadline_timer = self.loop.at(fallback_answer_ms, lambda: self._answer_unanswered(entry))
        class_index = submission.class_index
        if self.router is not None and submission.shards:
            class_index, updates = self.router.classify(entry.query, class_index, submission.shards)
            for update in updates:
                self.post_list(update)
        self._enqueue(
            policy.QueryArrived(
                query=entry.query,
                class_index=class_index,
                deadline_ms=entry.answer_deadline_ms,
                tenant=submission.tenant,
                key=submission.key,
                estimated_work_ms=submission.estimated_work_ms,
                estimated_memory_mb=submission.estimated_memory_mb,
                table_group=submission.table_group,
                is_client_retry=submission.is_client_retry,
            )
        )

    def post(self, event: policy.Event) -> None:
        """Pass an event to the policy in the next turn of the event loop."""
        if self.router is not None and isinstance(event, policy.EngineListUpdate):
            event = self.router.rewrite_list(event)
        self._enqueue(event)

    def post_list(self, update: policy.EngineListUpdate) -> None:
        """Pass an engine list, already rewritten by the router, to the policy in the next turn."""
        self._enqueue(update)

    def update_replicas(self, locations: Any) -> None:
        """Apply newer replica locations of shards; requires a router."""
        assert self.router is not None
        for update in self.router.update_replicas(locations):
            self.post_list(update)

    def update_quiesced(self, quiesced: Any) -> None:
        """Apply a newer set of engines that are quiesced for some tables; requires a router."""
        assert self.router is not None
        for update in self.router.update_quiesced(quiesced):
            self.post_list(update)

    def delivered(self, entry: Entry) -> None:
        """Record the time from a final answer until now, when its bytes were passed on to the client."""
        self.margin.delivered(self.loop.now() - entry.answered_ms)

    def _enqueue(self, event: policy.Event) -> None:
        self._events.append(event)
        if not self._is_step_scheduled:
            self._is_step_scheduled = True
            self.loop.soon(self._step)

    # Queries that end before the policy has decided.

    def cancel(self, entry: Entry, reason: str) -> bool:
        """Cancel a query whose client disconnected or cancelled; return False if it was already answered."""
        return self._end_early(entry, Answer(AnswerKind.CANCELLED, reason), reason)

    def abandon(self, entry: Entry, reason: str) -> None:
        """Answer a query now unless it is already answered: failed if it may have run, else rejected."""
        self._end_early(entry, self._unserved_answer(entry, reason, reason), reason)

    def close(self) -> None:
        """Reject new queries from now on, and answer all open ones as failed or rejected."""
        self.is_closing = True
        for entry in list(self.ledger.entries.values()):
            self.abandon(entry, "the controller is closing")

    def end_waiting(self, entry: Entry) -> None:
        """Answer an entry whose deadline has passed before the query that it waits for has ended."""
        self._end_early(entry, self._late_answer(entry), "no client waits for it any longer")

    def _answer_unanswered(self, entry: Entry) -> None:
        """Answer a query that the policy has not answered in time."""
        if entry.answer is not None:
            return
        # A query that arrived after its answer deadline is not counted: the policy had no time to decide.
        self.unanswered_by_policy += entry.answer_deadline_ms > entry.received_ms
        self._end_early(entry, self._late_answer(entry), "")

    def _end_early(self, entry: Entry, answer: Answer, reason: str) -> bool:
        """Give a final answer, and cancel the query's execution unless other entries wait for it.

        Returns False, and does nothing, if the query was already answered.
        """
        if entry.answer is not None:
            return False
        self.finalize(entry, answer)
        if not self.shared.is_waiting(entry):
            self.post(policy.ClientDisconnected(entry.query))
            return True
        executing = self.shared.leave(entry)
        if executing is not None:
            self.cancel(executing, reason)
        return True

    def _late_answer(self, entry: Entry) -> Answer:
        return self._unserved_answer(entry, "it was not served in time", "no time was left to serve it")

    def _unserved_answer(self, entry: Entry, reason_if_sent: str, reason_if_unsent: str) -> Answer:
        """Return the answer of a query that ends unserved: failed if it may have run, else rejected.

        The attempts of the executing entry count: an entry that joined a query has no attempts of its own.
        """
        if (entry.executing_entry or entry).attempts:
            return Answer(AnswerKind.FAILED, reason_if_sent)
        return Answer(AnswerKind.REJECTED, reason_if_unsent, self.max_retry_after_ms)

    def finalize(self, entry: Entry, answer: Answer) -> bool:
        """Give a query its final answer; return False if the query was already answered."""
        is_first = self.ledger.finalize(entry, answer, self.loop.now())
        if is_first and self.router is not None:
            self.router.query_ended(entry.query)
        if is_first and not entry.is_internal:
            self.observer.answered(entry)
        return is_first

    # Actions of the policy.

    def _step(self) -> None:
        """Pass all events of this turn to the policy and carry out its actions."""
        self._is_step_scheduled = False
        events, self._events = self._events, []
        self.steps += 1
        try:
            actions = self.gateway.step(self.loop.now(), self._with_load_advice(events))
        except Exception as exc:  # the queries are still answered, by `_answer_unanswered`
            self.step_errors += 1
            self.observer.failed("policy", exc)
            return
        # Look up all entries before carrying out any action: giving an answer may reveal that its client has
        # disconnected. That ends the client's other queries, and later actions may start attempts of them.
        entries = [
            self.ledger.entries.get(action.query) if isinstance(action, policy.StartAttempt) else None
            for action in actions
        ]
        for action, entry in zip(actions, entries, strict=True):
            try:
                self._carry_out(action, entry)
            except Exception as exc:  # the other actions must still be carried out
                self.step_errors += 1
                self.observer.failed(f"action {type(action).__name__}", exc)

    def _with_load_advice(self, events: list[policy.Event]) -> list[policy.Event]:
        """Return the events, preceded by load advice for the policy if there is an advisor."""
        if self.advisor is None:
            return events
        now = self.loop.now()
        try:
            for event in events:
                self.advisor.handle_event(event, now)
            return [self.advisor.advice(now), *events]
        except Exception as exc:  # the policy can do without advice, but must not miss an event
            self.step_errors += 1
            self.observer.failed("advisor", exc)
            return [policy.LoadAdvice({}), *events]

    def _carry_out(self, action: policy.Action, starting_entry: Entry | None = None) -> None:
        """Carry out one action; `starting_entry` is the query's entry if the action starts an attempt."""
        match action:
            case policy.StartAttempt(query, engine, timeout_ms):
                self._start_attempt(starting_entry, query, engine, timeout_ms)
            case policy.StartTimer(delay_ms, token):
                self.loop.after(delay_ms, lambda: self.post(policy.TimerFired(token)))
            case policy.SetGrant(query, memory_mb, priority) if query in self.ledger.entries:
                self._set_grant(self.ledger.entries[query], memory_mb, priority)
            case policy.RejectQuery(query, retry_after_ms) if query in self.ledger.entries:
                answer = Answer(AnswerKind.REJECTED, "no engine can serve it in time", retry_after_ms)
                self.finalize(self.ledger.entries[query], answer)
            case policy.FailQuery(query) if query in self.ledger.entries:
                answer = Answer(AnswerKind.FAILED, "it was not served in time")
                self.finalize(self.ledger.entries[query], answer)
            case policy.CancelAttempt(query, attempt):
                self.attempts.cancel(query, attempt)
            case policy.CheckHealth(engine):
                self.loop.spawn(self._check_health, engine, name=f"probe {engine}")
            case policy.SubscribeToEngines():
                self.subscribe()
            case policy.LogMessage(text):
                self.observer.logged(text)

    def _start_attempt(self, entry: Entry | None, query: int, engine: str, timeout_ms: float) -> None:
        if entry is None:
            error = KeyError(f"the policy started an attempt of query {query}, which has ended")
            self.observer.failed("driver", error)
            return
        self.attempts.start(entry, engine, timeout_ms)

    def _set_grant(self, entry: Entry, memory_mb: float, priority: int) -> None:
        entry.granted_memory_mb, entry.granted_priority = memory_mb, priority
        if entry.open_attempts:
            self.engines.update_grant(entry.query, memory_mb, priority)

    def _check_health(self, engine: str) -> None:
        started_ms = self.loop.now()
        end = self.engines.check_health(engine)
        took_ms = self.loop.now() - started_ms
        self.post(policy.HealthChecked(engine, end.status, took_ms, end.load))
