"""The driver: turns what happens into the module's events, and carries out the actions it decides on.

All events of one turn of the loop go to the module in one step. The step and its actions run without
waiting; what has to wait, an attempt or a probe, gets a task. Nothing is decided here but what the module
has no word for: how many queries may be open at all, and that an answer which is due is given even if the
module forgot it.
"""

from collections import Counter
from collections.abc import Callable
from typing import Any, Protocol

from fennelwind import policy
from fennelwind.dispatch.ledger import Entry, Ledger, Try
from fennelwind.dispatch.types import (
    DONE,
    FAILED,
    LEFT,
    NEVER_RAN,
    REFUSED,
    SERVED,
    Answer,
    AttemptEnd,
    Engines,
    Order,
    Router,
    Submission,
)
from fennelwind.limits.answer_margin import AnswerMargin
from fennelwind.limits.retry_budget import AttemptBudget
from fennelwind.load_balancing.load_advisor import Advisor
from fennelwind.loop import Cancelled, Loop, Task
from fennelwind.policy.gateway import Gateway
from fennelwind.recovery.request_coalescing import Repeats, Request, goes_on, request_name

NO_TABLE = "42S02"  # SQLSTATE of a table or partition that is not there, as Hive tells it
UNSURE = ("reset", "timeout", "cancelled")  # ends of attempts whose statement may go on at its engine
LEFT_MS = 10_000.0  # ms behind an attempt's time in which its engine ends it: by its own time-out, or reaped
LAST_MOMENT = 0.5  # part of the margin before a client gives up: the module has had its say until then


class Observer(Protocol):
    """What is told of; everything may be dropped."""

    def answered(self, entry: Entry) -> None:
        """A query got its final answer."""

    def attempted(self, entry: Entry, number: int, engine: str, end: AttemptEnd, took_ms: float) -> None:
        """An attempt ended."""

    def said(self, text: str) -> None:
        """The module had something to say."""

    def failed(self, where: str, exc: BaseException) -> None:
        """Something broke that should not have."""


class Driver:
    """One controller's core."""

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
        advisor: Advisor | None = None,
        router: Router | None = None,
    ) -> None:
        self.loop, self.settings, self.engines, self.observer = loop, settings, engines, observer
        self.max_open, self.margin, self.subscribe = max_open, margin, subscribe
        self.ledger = Ledger(len(settings.classes) if router is None else router.classes)
        self.gateway = Gateway(settings, seed)
        self.advisor = advisor  # who tells the module of whole loads, if anybody
        self.router = router  # who knows where copies are, if queries go by them
        self.closing = False
        self.steps = 0
        self.step_errors = 0
        self.turned_away = 0  # refused because too many were open
        self.forgotten = 0  # answers that the module did not give in time
        self.attempt_ends: Counter[str] = Counter()
        self.repeats = Repeats()
        self._asked_for: dict[Entry, Request] = {}  # askings that wait for a query of another entry
        self._events: list[policy.Event] = []
        self._asked = False
        self._tasks: dict[tuple[int, int], Task] = {}
        # The time to come back of refusals that the module has no part in.
        self.longest_wait_ms = settings.max_retry_after_ms if settings.allows_retry_after else 0.0
        self._budget = AttemptBudget(
            settings.retry_budget_free,
            settings.retry_budget_share,
            settings.retry_budget_window_ms,
            settings.resolution_ms,
        )

    # What comes in.

    def submit(self, submission: Submission, on_answer: Callable[[Entry], None]) -> Entry:
        """Take a query; `on_answer` is called once, in whatever turn its final answer is given."""
        entry = self._take(submission, on_answer)
        if entry.answer is not None:
            return entry
        if not submission.request:
            self._arrive(entry)
            return entry
        name = request_name(
            submission.user,
            submission.tenant,
            submission.cls,
            submission.request,
            submission.statement,
            submission.database,
            submission.overlay,
        )
        request = self.repeats.find(name)
        if request is not None:
            if self.repeats.join(request, entry):
                self._wait_for(entry, request)
            else:
                self._settle(
                    entry,
                    Answer(
                        REFUSED,
                        "too many wait for the same request already",
                        self.longest_wait_ms,
                    ),
                )
        elif not self._run_request(name, entry):  # too many are known: it runs on its own
            self._arrive(entry)
        return entry

    def _run_request(self, name: bytes, entry: Entry) -> bool:
        """Run a query for whoever asks for the request, in the time of this one; False: none may be run."""
        hidden = self.ledger.take(
            entry.submission, self.loop.now(), entry.due_ms, self._request_ended, hidden=True
        )
        request = self.repeats.begin(name, hidden, entry)
        if request is None:
            self.ledger.settle(hidden, Answer(LEFT), self.loop.now())
            return False
        self._wait_for(entry, request)
        self._arrive(hidden)
        return True

    def _wait_for(self, entry: Entry, request: Request) -> None:
        self._asked_for[entry], entry.owner = request, request.owner
        if entry.watch is None:
            entry.watch = self.loop.at(entry.due_ms, lambda: self._out_of_time(entry))

    def _take(self, submission: Submission, on_answer: Callable[[Entry], None]) -> Entry:
        """Enter a query; refuse it at once if it can't be taken."""
        entry = self.ledger.take(
            submission, self.loop.now(), submission.deadline_ms - self.margin.ms, on_answer
        )
        if self.closing or self.ledger.open > self.max_open:
            self.turned_away += 1
            why = "the controller is closing" if self.closing else f"{self.max_open} queries are open here"
            self._settle(entry, Answer(REFUSED, why, self.longest_wait_ms))
        return entry

    def _arrive(self, entry: Entry) -> None:
        """Hand a query to the module."""
        submission = entry.submission
        left = submission.deadline_ms - entry.due_ms
        last = max(submission.deadline_ms - LAST_MOMENT * left, entry.taken_ms)
        entry.watch = self.loop.at(last, lambda: self._last_moment(entry))
        cls = submission.cls
        if self.router is not None and submission.shards:
            cls, lists = self.router.arrives(entry.query, cls, submission.shards)
            for event in lists:
                self._push(event)
        self._push(
            policy.QueryArrived(
                query=entry.query,
                class_index=cls,
                deadline_ms=entry.due_ms,
                tenant=submission.tenant,
                key=submission.key,
                estimated_work_ms=submission.work_ms,
                estimated_memory_mb=submission.memory_mb,
                table_group=submission.tables,
                is_client_retry=submission.repeat,
            )
        )

    def leave(self, entry: Entry, reason: str) -> bool:
        """Note that the client wants no answer any more; tell whether one was still owed."""
        if entry.answer is not None:
            return False
        self._settle(entry, Answer(LEFT, reason))
        request = self._asked_for.pop(entry, None)
        if request is None:
            self.post(policy.ClientDisconnected(entry.query))
        elif self.repeats.leave(request, entry):
            self.repeats.end(request.owner)  # a later asking must not join what is being called off
            self.leave(request.owner, reason)
        return True

    def delivered(self, entry: Entry) -> None:
        """Note that a final answer's bytes have just been handed on to its client."""
        self.margin.delivered(self.loop.now() - entry.answered_ms)

    def close(self) -> None:
        """Take nothing more; give all that is open its final answer now."""
        self.closing = True
        for entry in list(self.ledger.entries.values()):
            self.give_up(entry, "the controller is closing")

    def give_up(self, entry: Entry, why: str) -> None:
        """Give a query its final answer now, if it has none."""
        if entry.answer is not None:
            return
        self._settle(entry, self._given_up(entry, why, why))
        request = self._asked_for.pop(entry, None)
        if request is None:
            self.post(policy.ClientDisconnected(entry.query))
        elif self.repeats.leave(request, entry):
            self.repeats.end(request.owner)
            self.leave(request.owner, why)

    def post(self, event: policy.Event) -> None:
        """Hand an event to the module in the next turn."""
        if self.router is not None and isinstance(event, policy.EngineListUpdate):
            event = self.router.listed(event)
        self._push(event)

    def copies(self, places: Any) -> None:
        """Take a newer view of where copies of shards are."""
        for event in self.router.seen(places):
            self._push(event)

    def quiet(self, quiet: Any) -> None:
        """Take a newer view of engines that get no query of some tables."""
        for event in self.router.quieted(quiet):
            self._push(event)

    def _push(self, event: policy.Event) -> None:
        self._events.append(event)
        if not self._asked:
            self._asked = True
            self.loop.soon(self._step)

    # What the module decides.

    def _step(self) -> None:
        self._asked = False
        events, self._events = self._events, []
        self.steps += 1
        try:
            actions = self.gateway.step(self.loop.now(), self._advised(events))
        except Exception as exc:  # its queries still get their answers, at the last moment
            self.step_errors += 1
            self.observer.failed("module", exc)
            return
        # Before any is carried out: an answer may show that its client has gone, and with it other queries.
        entries = [
            self.ledger.entries.get(action.query) if isinstance(action, policy.StartAttempt) else None
            for action in actions
        ]
        for action, entry in zip(actions, entries, strict=True):
            try:
                self._carry_out(action, entry)
            except Exception as exc:  # the other actions are none the worse for it
                self.step_errors += 1
                self.observer.failed(f"carrying out {type(action).__name__}", exc)

    def _advised(self, events: list[policy.Event]) -> list[policy.Event]:
        """Return the events with what is known of whole loads ahead of them."""
        if self.advisor is None:
            return events
        now = self.loop.now()
        try:
            for event in events:
                self.advisor.take(event, now)
            return [self.advisor.picture(now), *events]
        except Exception as exc:  # the module decides without such news, and must miss no event
            self.step_errors += 1
            self.observer.failed("advisor", exc)
            return [policy.LoadAdvice({}), *events]

    def _carry_out(self, action: policy.Action, sent: Entry | None = None) -> None:
        match action:
            case policy.StartAttempt(query, engine, timeout):
                self._send(sent, query, engine, timeout)
            case policy.StartTimer(delay, token):
                self.loop.after(delay, lambda: self.post(policy.TimerFired(token)))
            case policy.SetGrant(query, memory, priority) if query in self.ledger.entries:
                entry = self.ledger.entries[query]
                entry.memory_mb, entry.priority = memory, priority
                if entry.out:
                    self.engines.terms(query, memory, priority)
            case policy.RejectQuery(query, wait) if query in self.ledger.entries:
                answer = Answer(REFUSED, "no engine can serve it in time", wait)
                self._settle(self.ledger.entries[query], answer)
            case policy.FailQuery(query) if query in self.ledger.entries:
                self._settle(self.ledger.entries[query], Answer(FAILED, "it was not served in time"))
            case policy.CancelAttempt(query, attempt):
                task = self._tasks.get((query, attempt))
                if task is not None:
                    task.cancel()
            case policy.CheckHealth(engine):
                self.loop.spawn(self._probe, engine, name=f"probe {engine}")
            case policy.SubscribeToEngines():
                self.subscribe()
            case policy.LogMessage(text):
                self.observer.said(text)

    def _send(self, entry: Entry | None, query: int, engine: str, timeout: float) -> None:
        if entry is None:
            self.observer.failed("driver", KeyError(f"the module sent query {query}, which has ended"))
            return
        now = self.loop.now()
        number = self.ledger.started(entry)
        if entry.answer is not None or now >= entry.due_ms or number >= self.settings.max_attempts:
            self._ended(entry, number, engine, now, AttemptEnd("moot", "the query had ended"))
            return
        deadline = min(entry.due_ms, now + timeout) if timeout else entry.due_ms
        entry.tries.append(Try(now))
        order = Order(
            query,
            number,
            entry.submission,
            deadline,
            entry.memory_mb,
            entry.priority,
            lambda sort, value: self._note(entry, number, sort, value),
            lambda: self._barred(entry, number, deadline),
        )
        self._tasks[query, number] = self.loop.spawn(
            self._attempt, entry, number, engine, order, name=f"query {query} attempt {number}"
        )
        if self.advisor is not None:
            self.advisor.sent(engine, self.settings.classes[entry.submission.cls].threads)

    def _note(self, entry: Entry, number: int, sort: int, value: float) -> None:
        if sort == DONE:
            entry.done = value
        self.post(policy.AttemptProgress(entry.query, number, sort, value))

    def _attempt(self, entry: Entry, number: int, engine: str, order: Order) -> None:
        sent, doubt = self.loop.now(), False
        try:
            if self.router is not None and entry.answer is not None:  # the router has forgotten what it reads
                end = AttemptEnd("moot", "the query had ended")
            elif self.router is not None and not self.router.may_send(entry.query, engine):
                end = AttemptEnd("moot", "it holds no good copy any more")
            else:
                if self.router is not None:
                    self.router.begins(entry.query, number, engine)
                end = self._elsewhere(entry, number, engine, self.engines.attempt(engine, order))
        except Cancelled:
            end = AttemptEnd("cancelled", "called off")
        except Exception as exc:  # what broke may have been under way
            self.observer.failed(f"attempt at {engine}", exc)
            end, doubt = AttemptEnd("error", f"{type(exc).__name__}: {exc}"), True
        if self.router is not None:
            self._left(entry, number, end, order.deadline_ms if doubt or end.status in UNSURE else 0.0)
        self._ended(entry, number, engine, sent, end)

    def _barred(self, entry: Entry, number: int, deadline: float) -> str:
        """Tell why an attempt may not begin now, "" if it may, and then does.

        The module's decision holds for its moment; the connection may come up much later. So whoever makes
        the attempt asks right before its first byte leaves, and what is barred then never ran.
        """
        cls, now = self.settings.classes[entry.submission.cls], self.loop.now()
        if entry.answer is not None:
            return "the query had ended"
        if now >= deadline:
            return "its time was up"
        if len(entry.out) > 1 and (
            cls.idempotency == "unsafe" or not self.settings.allows_concurrent_attempts
        ):
            return "another attempt is out"
        doubt = next((one for one in entry.tries[:number] if one.status not in NEVER_RAN), None)
        if doubt is not None and cls.idempotency == "unsafe":
            return "an earlier attempt may have run"
        if (
            doubt is not None
            and cls.idempotency == "keyed"
            and now + self.settings.resolution_ms >= doubt.began_ms + cls.deduplication_window_ms
        ):
            return "its repeats are not dropped any more"
        if number and not self._budget.begins(now):
            return "the budget of further attempts is used up"
        return ""

    def _elsewhere(self, entry: Entry, number: int, engine: str, end: AttemptEnd) -> AttemptEnd:
        """Return how an attempt ended: moot, where the engine lacks what others are known to have."""
        error = end.result.error if self.router is not None and end.result is not None else None
        if error is None or error.sqlState != NO_TABLE:
            return end
        if number + 1 >= self.settings.max_attempts:
            return end  # nobody else would be asked
        told = self.router.missed(entry.query, engine)
        if told is None:
            return end
        for event in told:
            self._push(event)
        return AttemptEnd("moot", "it has no copy, whatever the record says")

    def _left(self, entry: Entry, number: int, end: AttemptEnd, until: float) -> None:
        """Tell the router of an attempt's end; `until`: when its time is up, where its engine may go on."""
        stream = end.result.stream if end.result is not None else None
        if stream is not None:
            stream.on_end = lambda: self.router.over(entry.query, number)
        else:
            self.router.over(entry.query, number, until + LEFT_MS if until else 0.0)

    def _ended(self, entry: Entry, number: int, engine: str, sent: float, end: AttemptEnd) -> None:
        self._tasks.pop((entry.query, number), None)
        if not self.ledger.ended(entry, number):
            return
        now = self.loop.now()
        self.attempt_ends[end.status] += 1
        if number < len(entry.tries):
            entry.tries[number].ended_ms, entry.tries[number].status = now, end.status
        if end.status == "ok":
            if entry.answer is None:
                self._budget.served(now, entry.taken_ms)
                self._settle(entry, Answer(SERVED, result=end.result))
            else:  # its time was up in the same turn, or its client has gone: nobody will read it
                end.result.close()
        self.observer.attempted(entry, number, engine, end, now - sent)
        self.post(
            policy.AttemptEnded(
                query=entry.query,
                attempt=number,
                engine=engine,
                status=end.status,
                took_ms=now - sent,
                is_final=entry.answer is not None,
                measured_work_ms=end.work_ms,
                measured_memory_mb=end.memory_mb,
                load=end.load,
            )
        )

    def _probe(self, engine: str) -> None:
        sent = self.loop.now()
        end = self.engines.probe(engine)
        self.post(policy.HealthChecked(engine, end.status, self.loop.now() - sent, end.load))

    def _settle(self, entry: Entry, answer: Answer) -> bool:
        """Give a final answer; tell whether it is the first."""
        first = self.ledger.settle(entry, answer, self.loop.now())
        if first and self.router is not None:
            self.router.ended(entry.query)
        if first and not entry.hidden:
            self.observer.answered(entry)
        return first

    def _request_ended(self, owner: Entry) -> None:
        """Give all who ask for a request what became of its query, or a new query to those with more time."""
        kind, safe = owner.answer.kind, self.settings.classes[owner.submission.cls].idempotency == "safe"
        refused, failed, patient = kind == REFUSED, kind == FAILED, []
        name, waiting = self.repeats.end(owner)
        for entry in waiting:
            del self._asked_for[entry]
            if not self.closing and goes_on(refused, failed, safe, owner.due_ms, entry.due_ms):
                patient.append(entry)
            else:
                self._settle(entry, owner.answer)
        patient.sort(key=lambda entry: -entry.due_ms)  # it runs in the time of the most patient one
        if patient and not self._run_request(name, patient[0]):
            for entry in patient:
                self._settle(entry, owner.answer)
        elif patient:
            for entry in patient[1:]:
                self.repeats.join(self._asked_for[patient[0]], entry)
                self._wait_for(entry, self._asked_for[patient[0]])

    def _out_of_time(self, entry: Entry) -> None:
        """End an asking whose own time is up before the query that it waits for."""
        if entry.answer is None:
            self._settle(entry, self._too_late(entry))
            request = self._asked_for.pop(entry, None)
            if request is not None and self.repeats.leave(request, entry):
                self.repeats.end(request.owner)
                self.leave(request.owner, "nobody waits for it any more")

    def _last_moment(self, entry: Entry) -> None:
        if entry.answer is None:
            self.forgotten += entry.due_ms > entry.taken_ms  # else the module had no time to say anything
            self._settle(entry, self._too_late(entry))
            self.post(policy.ClientDisconnected(entry.query))

    def _too_late(self, entry: Entry) -> Answer:
        return self._given_up(entry, "it was not served in time", "no time was left to serve it")

    def _given_up(self, entry: Entry, sent: str, unsent: str) -> Answer:
        """Return the answer of a query given up here: failed if it was sent and may have run, else refused.

        What counts is the query that runs: one who joined it has no attempts of his own.
        """
        if (entry.owner or entry).attempts:
            return Answer(FAILED, sent)
        return Answer(REFUSED, unsent, self.longest_wait_ms)


class Silent:
    """An observer that keeps nothing."""

    def __getattr__(self, name: str) -> Any:
        return lambda *_: None
