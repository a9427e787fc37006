"""Shared executions: entries of clients that repeat an open request wait for the same query.

The query itself is an internal entry of the ledger, which no client sees and no count includes. Its final
answer goes to every entry that waits for it; if it did not succeed, entries with a later deadline may get a
new query. `recovery.request_coalescing` tracks the open requests and documents the rules.
"""

from typing import Protocol

from fennelwind import policy
from fennelwind.dispatch.ledger import Entry, Ledger
from fennelwind.dispatch.types import Answer, AnswerKind
from fennelwind.loop import Loop
from fennelwind.recovery.request_coalescing import (
    RequestCoalescer,
    SharedRequest,
    request_fingerprint,
    should_run_again,
)


class Dispatcher(Protocol):
    """The parts of the driver that shared executions use."""

    is_closing: bool
    max_retry_after_ms: float

    def send_to_policy(self, entry: Entry) -> None:
        """Pass a query to the policy."""

    def finalize(self, entry: Entry, answer: Answer) -> bool:
        """Give a query its final answer; return False if the query was already answered."""

    def end_waiting(self, entry: Entry) -> None:
        """Answer an entry whose deadline has passed before the query that it waits for has ended."""


class SharedExecutions:
    """The entries of clients that wait for a shared query."""

    def __init__(self, loop: Loop, settings: policy.Settings, ledger: Ledger, dispatcher: Dispatcher) -> None:
        self.loop, self.settings, self.ledger, self.dispatcher = loop, settings, ledger, dispatcher
        self.coalescer: RequestCoalescer[Entry] = RequestCoalescer()
        self.waiting_for: dict[Entry, SharedRequest[Entry]] = {}

    def add(self, entry: Entry) -> bool:
        """Accept an entry with a request id; return False if its query has to run unshared."""
        submission = entry.submission
        # Protocols that pass statements on as bytes have no request ids.
        assert isinstance(submission.statement, str)
        fingerprint = request_fingerprint(
            submission.user,
            submission.tenant,
            submission.class_index,
            submission.request_id,
            submission.statement,
            submission.database,
            submission.overlay,
        )
        request = self.coalescer.find(fingerprint)
        if request is None:
            return self._execute(fingerprint, entry)
        if self.coalescer.join(request, entry):
            self._wait(entry, request)
        else:
            reason = "too many wait for the same request already"
            self.dispatcher.finalize(
                entry, Answer(AnswerKind.REJECTED, reason, self.dispatcher.max_retry_after_ms)
            )
        return True

    def is_waiting(self, entry: Entry) -> bool:
        """Return whether an entry waits for a shared query."""
        return entry in self.waiting_for

    def leave(self, entry: Entry) -> Entry | None:
        """Remove a waiting entry; return the internal entry to cancel if no other one waits, else None."""
        request = self.waiting_for.pop(entry)
        if not self.coalescer.leave(request, entry):
            return None
        # A later repeat must not join a query that is being cancelled.
        self.coalescer.forget(request.executing)
        return request.executing

    def _execute(self, fingerprint: bytes, entry: Entry) -> bool:
        """Run a query for all entries with this request, until this entry's deadline.

        Returns False, and runs nothing, if too many shared queries run.
        """
        executing = self.ledger.register(
            entry.submission,
            self.loop.now(),
            entry.answer_deadline_ms,
            self._on_executed,
            is_internal=True,
        )
        request = self.coalescer.track(fingerprint, executing, entry)
        if request is None:
            self.ledger.finalize(executing, Answer(AnswerKind.CANCELLED), self.loop.now())
            return False
        self._wait(entry, request)
        self.dispatcher.send_to_policy(executing)
        return True

    def _wait(self, entry: Entry, request: SharedRequest[Entry]) -> None:
        self.waiting_for[entry], entry.executing_entry = request, request.executing
        if entry.deadline_timer is None:
            entry.deadline_timer = self.loop.at(
                entry.answer_deadline_ms, lambda: self.dispatcher.end_waiting(entry)
            )

    def _on_executed(self, executing: Entry) -> None:
        """Pass an answer on to the waiting entries, or start a new query for entries with more time."""
        answer = executing.answer
        assert answer is not None  # the ledger calls this with the final answer
        continuing = []
        fingerprint, waiting = self.coalescer.forget(executing)
        for entry in waiting:
            del self.waiting_for[entry]
            if self._should_run_again(executing, answer, entry):
                continuing.append(entry)
            else:
                self.dispatcher.finalize(entry, answer)
        if continuing:
            self._execute_again(fingerprint, continuing, answer)

    def _should_run_again(self, executing: Entry, answer: Answer, entry: Entry) -> bool:
        query_class = self.settings.classes[executing.submission.class_index]
        return not self.dispatcher.is_closing and should_run_again(
            is_rejected=answer.kind == AnswerKind.REJECTED,
            is_failed=answer.kind == AnswerKind.FAILED,
            is_idempotent=query_class.idempotency == policy.Idempotency.IDEMPOTENT,
            execution_deadline_ms=executing.answer_deadline_ms,
            answer_deadline_ms=entry.answer_deadline_ms,
        )

    def _execute_again(self, fingerprint: bytes, entries: list[Entry], answer: Answer) -> None:
        """Run a new query until the latest deadline of the entries.

        If too many shared queries run, give the entries the answer of the ended query instead.
        """
        entries.sort(key=lambda entry: -entry.answer_deadline_ms)
        first, *others = entries
        if not self._execute(fingerprint, first):
            for entry in entries:
                self.dispatcher.finalize(entry, answer)
            return
        request = self.waiting_for[first]
        for entry in others:
            self.coalescer.join(request, entry)
            self._wait(entry, request)
