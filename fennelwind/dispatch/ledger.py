"""The ledger: every query taken gets exactly one final answer, whoever offers it and however often.

It has no I/O and no clock. A query's end passes `settle` and nothing else; the first answer holds, a later
one is counted and dropped. What the counts are by class, `Ledger.counts` tells.
"""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from fennelwind.dispatch.types import FAILED, LEFT, REFUSED, SERVED, Answer, Submission


@dataclass(slots=True, eq=False)
class Try:
    """An attempt as its client may know of it."""

    began_ms: float
    ended_ms: float | None = None
    status: str = ""  # one of the module's outcomes, when it has ended


@dataclass(slots=True, eq=False)
class Entry:
    """A query from its coming in to its last attempt's end."""

    query: int
    submission: Submission
    taken_ms: float
    due_ms: float  # when its final answer has to be on its way
    on_answer: Callable[["Entry"], None]
    answer: Answer | None = None
    answered_ms: float = 0.0
    attempts: int = 0
    out: set[int] = field(default_factory=set)  # attempts without an outcome
    memory_mb: float = 0.0  # terms of its next attempts
    priority: int = 1
    tries: list[Try] = field(default_factory=list)  # by number; as many as attempts are allowed
    done: float = 0.0  # share done of the attempt that last told
    owner: "Entry | None" = None  # the entry whose query it waits for, if that is not its own
    hidden: bool = False  # it runs for askings that are entries of their own, and is not counted
    watch: Any = None  # a timer that is cancelled with the final answer


class Ledger:
    """Queries that are open, or have attempts out."""

    def __init__(self, classes: int) -> None:
        self.entries: dict[int, Entry] = {}
        self.open = 0  # without a final answer
        self.counts: list[Counter[str]] = [Counter() for _ in range(classes)]
        self.second = 0  # answers offered after the final one
        self.overdue = 0  # final answers given after they were due
        self._last = 0

    def take(
        self,
        submission: Submission,
        now: float,
        due_ms: float,
        on_answer: Callable[[Entry], None],
        hidden: bool = False,
    ) -> Entry:
        """Enter a query; from now on it is owed a final answer."""
        self._last += 1
        entry = Entry(self._last, submission, now, due_ms, on_answer)
        self.entries[entry.query] = entry
        entry.hidden = hidden
        if not hidden:
            self.counts[submission.cls]["taken"] += 1
            self.open += 1
        return entry

    def settle(self, entry: Entry, answer: Answer, now: float) -> bool:
        """Give the final answer; tell whether it is the first. The receiver is called once, by the first."""
        if entry.answer is not None:
            self.second += answer.kind != LEFT
            return False
        entry.answer, entry.answered_ms = answer, now
        if not entry.hidden:
            self.open -= 1
            self.counts[entry.submission.cls][answer.kind] += 1
            self.overdue += now > entry.submission.deadline_ms
        if entry.watch is not None:
            entry.watch.cancel()
        self._drop(entry)
        entry.on_answer(entry)
        return True

    def started(self, entry: Entry) -> int:
        """Count a further attempt; return its number."""
        number = entry.attempts
        entry.attempts += 1
        entry.out.add(number)
        return number

    def ended(self, entry: Entry, number: int) -> bool:
        """Note an attempt's outcome; tell whether it is the first one."""
        if number not in entry.out:
            return False
        entry.out.discard(number)
        self._drop(entry)
        return True

    def balanced(self) -> bool:
        """Tell whether every query taken is answered, left or open: the books agree."""
        ended = sum(c[kind] for c in self.counts for kind in (SERVED, REFUSED, FAILED, LEFT))
        return sum(c["taken"] for c in self.counts) == ended + self.open

    def _drop(self, entry: Entry) -> None:
        if entry.answer is not None and not entry.out:
            self.entries.pop(entry.query, None)
