"""Attempts: run each attempt that the policy starts as a task, and report its end to the policy.

The driver calls `AttemptRunner.start` and `cancel`. Whatever happens to the task, `finish` reports exactly
one end: it records the end in the ledger, gives the query's final answer if the attempt succeeded, and posts
`AttemptEnded`. An exception in the connection layer ends its attempt as an error and is logged.
"""

from collections import Counter
from dataclasses import dataclass
from typing import Protocol

from fennelwind import policy
from fennelwind.dispatch.ledger import AttemptRecord, Entry, Ledger
from fennelwind.dispatch.observer import Observer
from fennelwind.dispatch.types import (
    NEVER_RAN,
    Answer,
    AnswerKind,
    AttemptEnd,
    AttemptRequest,
    Engines,
    Router,
)
from fennelwind.limits.retry_budget import RetryBudget
from fennelwind.load_balancing.load_advisor import LoadAdvisor
from fennelwind.loop import Cancelled, Loop, Task
from fennelwind.policy import AttemptStatus, Idempotency, ProgressKind

SQLSTATE_NO_TABLE = "42S02"  # Hive's SQLSTATE for a table or partition that does not exist
# Statuses of ended attempts whose statement may still be running at the engine.
OUTCOME_UNKNOWN = (AttemptStatus.RESET, AttemptStatus.TIMEOUT, AttemptStatus.CANCELLED)
# The engine's timeout or orphan cleanup stops an attempt at most this many ms after the attempt's deadline.
ENGINE_CLEANUP_MS = 10_000.0


class Dispatcher(Protocol):
    """The methods of the driver that the runner calls."""

    def post(self, event: policy.Event) -> None:
        """Pass an event to the policy in the next turn of the event loop."""

    def post_list(self, update: policy.EngineListUpdate) -> None:
        """Pass an engine list, already rewritten by the router, to the policy in the next turn."""

    def finalize(self, entry: Entry, answer: Answer) -> bool:
        """Give a query its final answer; return False if the query was already answered."""


@dataclass(slots=True, eq=False)
class RunningAttempt(AttemptRequest):
    """A running attempt, in the form that is passed to the connection layer."""

    entry: Entry
    runner: "AttemptRunner"

    def report_progress(self, kind: ProgressKind, value: float) -> None:
        """Record progress and report it to the policy."""
        if kind == ProgressKind.SHARE_DONE:
            self.entry.share_done = value
        self.runner.dispatcher.post(policy.AttemptProgress(self.query, self.number, kind, value))

    def reason_not_to_start(self) -> str:
        """Return why the attempt may not start, or "" if it may; a retry is then charged to the budget."""
        return self.runner.reason_not_to_start(self.entry, self.number, self.deadline_ms)


class AttemptRunner:
    """Starts, cancels and finishes the attempts of one controller."""

    def __init__(
        self,
        loop: Loop,
        settings: policy.Settings,
        engines: Engines,
        observer: Observer,
        ledger: Ledger,
        dispatcher: Dispatcher,
        advisor: LoadAdvisor | None,
        router: Router | None,
    ) -> None:
        self.loop, self.settings, self.engines, self.observer = loop, settings, engines, observer
        self.ledger, self.dispatcher, self.advisor, self.router = ledger, dispatcher, advisor, router
        self.tasks: dict[tuple[int, int], Task] = {}  # by query and attempt number
        self.ends: Counter[str] = Counter()
        self.retry_budget = RetryBudget(
            settings.retry_budget_free,
            settings.retry_budget_share,
            settings.retry_budget_window_ms,
            settings.resolution_ms,
        )

    def start(self, entry: Entry, engine: str, timeout_ms: float) -> None:
        """Start an attempt; with a `timeout_ms` of 0 it may run until the query's answer deadline."""
        now = self.loop.now()
        number = self.ledger.start_attempt(entry)
        if (
            entry.answer is not None
            or now >= entry.answer_deadline_ms
            or number >= self.settings.max_attempts
        ):
            end = AttemptEnd(AttemptStatus.NOT_STARTED, "the query has already ended")
            self.finish(entry, number, engine, now, end)
            return
        deadline = entry.answer_deadline_ms
        if timeout_ms:
            deadline = min(deadline, now + timeout_ms)
        entry.attempt_records.append(AttemptRecord(now))
        request = RunningAttempt(
            entry.query,
            number,
            entry.submission,
            deadline,
            entry.granted_memory_mb,
            entry.granted_priority,
            entry,
            self,
        )
        self.tasks[entry.query, number] = self.loop.spawn(
            self._run, entry, number, engine, request, name=f"query {entry.query} attempt {number}"
        )
        if self.advisor is not None:
            self.advisor.attempt_sent(engine, self.settings.classes[entry.submission.class_index].threads)

    def cancel(self, query: int, number: int) -> None:
        """Cancel an attempt's task if the task still runs."""
        task = self.tasks.get((query, number))
        if task is not None:
            task.cancel()

    def _run(self, entry: Entry, number: int, engine: str, request: AttemptRequest) -> None:
        started_ms, has_raised = self.loop.now(), False
        try:
            end = self._attempt(entry, engine, request)
        except Cancelled:
            end = AttemptEnd(AttemptStatus.CANCELLED, "cancelled")
        except Exception as exc:  # the statement may have been sent before the exception
            self.observer.failed(f"attempt at {engine}", exc)
            end, has_raised = AttemptEnd(AttemptStatus.ERROR, f"{type(exc).__name__}: {exc}"), True
        if self.router is not None:
            may_still_run = has_raised or end.status in OUTCOME_UNKNOWN
            self._notify_router(
                self.router, entry, number, end, request.deadline_ms if may_still_run else 0.0
            )
        self.finish(entry, number, engine, started_ms, end)

    def _attempt(self, entry: Entry, engine: str, request: AttemptRequest) -> AttemptEnd:
        router = self.router
        if router is None:
            return self.engines.attempt(engine, request)
        if entry.answer is not None:  # the router no longer knows which shards the query reads
            return AttemptEnd(AttemptStatus.NOT_STARTED, "the query has already ended")
        if not router.may_send(entry.query, engine):
            return AttemptEnd(AttemptStatus.NOT_STARTED, "the engine no longer holds a valid replica")
        router.attempt_started(entry.query, request.number, engine)
        end = self.engines.attempt(engine, request)
        return self._redirect_if_replica_missing(router, entry, request.number, engine, end)

    def reason_not_to_start(self, entry: Entry, number: int, deadline_ms: float) -> str:
        """Return why an attempt may not start now, or "" if it may; a retry is then charged to the budget.

        The connection may become ready long after the policy's decision. So the connection layer calls this
        method immediately before it sends the attempt's first byte. An attempt stopped here never ran.
        """
        now = self.loop.now()
        if entry.answer is not None:
            return "the query has already ended"
        if now >= deadline_ms:
            return "its deadline has passed"
        query_class = self.settings.classes[entry.submission.class_index]
        if len(entry.open_attempts) > 1 and (
            query_class.idempotency == Idempotency.NON_IDEMPOTENT
            or not self.settings.allows_concurrent_attempts
        ):
            return "another attempt is running"
        if self._may_run_twice(entry, number, query_class, now):
            if query_class.idempotency == Idempotency.NON_IDEMPOTENT:
                return "an earlier attempt may have run"
            return "the deduplication window of its first unresolved attempt has ended"
        if number and not self.retry_budget.try_start(now):
            return "the retry budget is used up"
        return ""

    def _may_run_twice(self, entry: Entry, number: int, query_class: policy.QueryClass, now: float) -> bool:
        """Return whether the query may already have run and no engine would drop a repeat."""
        if query_class.idempotency == Idempotency.IDEMPOTENT:
            return False
        earlier = entry.attempt_records[:number]
        first_unresolved = next((record for record in earlier if record.status not in NEVER_RAN), None)
        if first_unresolved is None:
            return False
        if query_class.idempotency == Idempotency.NON_IDEMPOTENT:
            return True
        window_end_ms = first_unresolved.started_ms + query_class.deduplication_window_ms
        return now + self.settings.resolution_ms >= window_end_ms

    def _redirect_if_replica_missing(
        self, router: Router, entry: Entry, number: int, engine: str, end: AttemptEnd
    ) -> AttemptEnd:
        """Return `end`, or a `NOT_STARTED` end if the engine lacks a replica that other engines hold."""
        error = end.result.error if end.result is not None else None
        if error is None or error.sqlState != SQLSTATE_NO_TABLE:
            return end
        if number + 1 >= self.settings.max_attempts:
            return end  # no other engine would be tried
        updates = router.replica_missing(entry.query, engine)
        if updates is None:
            return end
        for update in updates:
            self.dispatcher.post_list(update)
        return AttemptEnd(
            AttemptStatus.NOT_STARTED, "the engine lacks a replica that the replicated log assigns to it"
        )

    def _notify_router(
        self, router: Router, entry: Entry, number: int, end: AttemptEnd, deadline_ms: float
    ) -> None:
        """Report an attempt's end to the router, at once or when its result stream ends.

        `deadline_ms` is the attempt's deadline if the engine may still run the attempt, else 0.
        """
        stream = end.result.stream if end.result is not None else None
        if stream is not None:
            stream.on_end = lambda: router.attempt_ended(entry.query, number)
        else:
            router.attempt_ended(entry.query, number, deadline_ms + ENGINE_CLEANUP_MS if deadline_ms else 0.0)

    def finish(self, entry: Entry, number: int, engine: str, started_ms: float, end: AttemptEnd) -> None:
        """Record an attempt's end once, answer its query if it succeeded, and report it to the policy."""
        self.tasks.pop((entry.query, number), None)
        if not self.ledger.end_attempt(entry, number):
            return
        now = self.loop.now()
        self.ends[end.status] += 1
        if number < len(entry.attempt_records):
            record = entry.attempt_records[number]
            record.ended_ms, record.status = now, end.status
        if end.status == AttemptStatus.OK:
            self._deliver(entry, end, now)
        self.observer.attempted(entry, number, engine, end, now - started_ms)
        self.dispatcher.post(
            policy.AttemptEnded(
                query=entry.query,
                attempt=number,
                engine=engine,
                status=end.status,
                took_ms=now - started_ms,
                is_final=entry.answer is not None,
                measured_work_ms=end.work_ms,
                measured_memory_mb=end.memory_mb,
                load=end.load,
            )
        )

    def _deliver(self, entry: Entry, end: AttemptEnd, now: float) -> None:
        if entry.answer is None:
            self.retry_budget.count_served(now, entry.received_ms)
            self.dispatcher.finalize(entry, Answer(AnswerKind.SERVED, result=end.result))
        elif end.result is not None:
            # The query was answered earlier in this turn, or its client has disconnected: discard the result.
            end.result.close()
