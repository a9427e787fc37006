"""The ledger: ensures that every query gets exactly one final answer, however many answers are offered.

No I/O and no clock; times are in ms. Every final answer passes through `Ledger.finalize`: the first answer
is given, later ones are counted and dropped. `Ledger.counts` holds, for each class, the number of queries
received and of answers by kind.
"""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from fennelwind.dispatch.types import Answer, AnswerKind, Submission
from fennelwind.policy import AttemptStatus

RECEIVED = "taken"  # key of `Ledger.counts` for all queries received; the other keys are answer kinds


@dataclass(slots=True, eq=False)
class AttemptRecord:
    """The times and the outcome of an attempt, which may be shown to the client."""

    started_ms: float
    ended_ms: float | None = None
    status: AttemptStatus | None = None  # None while the attempt runs


@dataclass(slots=True, eq=False)
class Entry:
    """A query from its arrival to the end of its last attempt."""

    query: int
    submission: Submission
    received_ms: float
    answer_deadline_ms: float  # time by which the final answer has to be given
    on_answer: Callable[["Entry"], None]
    answer: Answer | None = None
    answered_ms: float = 0.0
    attempts: int = 0
    open_attempts: set[int] = field(default_factory=set)  # numbers of the attempts that have not ended
    granted_memory_mb: float = 0.0  # memory grant of the query's next attempts
    granted_priority: int = 1
    attempt_records: list[AttemptRecord] = field(default_factory=list)  # by attempt number
    share_done: float = 0.0  # progress (0 to 1) of the attempt that reported last
    executing_entry: "Entry | None" = None  # the internal entry that runs this entry's query, if any
    is_internal: bool = False  # True if the entry runs a query for clients' entries; it is then not counted
    deadline_timer: Any = None  # cancelled when the final answer is given
    on_finished: Callable[["Entry"], None] | None = (
        None  # called once the query is answered and no attempt runs
    )


class Ledger:
    """Holds the queries that have no final answer or still have running attempts."""

    def __init__(self, classes: int) -> None:
        self.entries: dict[int, Entry] = {}
        self.open_count = 0  # queries without a final answer
        self.counts: list[Counter[str]] = [Counter() for _ in range(classes)]
        self.duplicate_answers = 0  # answers offered after the final one
        self.late_answers = 0  # final answers given after the client's deadline
        self._last_query = 0

    def register(
        self,
        submission: Submission,
        now: float,
        answer_deadline_ms: float,
        on_answer: Callable[[Entry], None],
        is_internal: bool = False,
    ) -> Entry:
        """Register a query, which is open until it gets its final answer."""
        self._last_query += 1
        entry = Entry(self._last_query, submission, now, answer_deadline_ms, on_answer)
        self.entries[entry.query] = entry
        entry.is_internal = is_internal
        if not is_internal:
            self.counts[submission.class_index][RECEIVED] += 1
            self.open_count += 1
        return entry

    def finalize(self, entry: Entry, answer: Answer, now: float) -> bool:
        """Give the final answer and call `on_answer`; return False if the query was already answered."""
        if entry.answer is not None:
            self.duplicate_answers += answer.kind != AnswerKind.CANCELLED
            return False
        entry.answer, entry.answered_ms = answer, now
        if not entry.is_internal:
            self.open_count -= 1
            self.counts[entry.submission.class_index][answer.kind] += 1
            self.late_answers += now > entry.submission.deadline_ms
        if entry.deadline_timer is not None:
            entry.deadline_timer.cancel()
        self._remove_if_finished(entry)
        entry.on_answer(entry)
        return True

    def start_attempt(self, entry: Entry) -> int:
        """Register another attempt; return its number."""
        number = entry.attempts
        entry.attempts += 1
        entry.open_attempts.add(number)
        return number

    def end_attempt(self, entry: Entry, number: int) -> bool:
        """Record an attempt's end; return False if it had already ended."""
        if number not in entry.open_attempts:
            return False
        entry.open_attempts.discard(number)
        self._remove_if_finished(entry)
        return True

    def is_balanced(self) -> bool:
        """Return whether every query received is either answered or open."""
        answered = sum(count[kind] for count in self.counts for kind in AnswerKind)
        return sum(count[RECEIVED] for count in self.counts) == answered + self.open_count

    def _remove_if_finished(self, entry: Entry) -> None:
        if entry.answer is not None and not entry.open_attempts:
            was_held = self.entries.pop(entry.query, None) is not None
            if was_held and entry.on_finished is not None:
                entry.on_finished(entry)
