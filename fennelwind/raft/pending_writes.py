"""What is on its way to the disk, and what must not leave before it is there. No I/O.

A step's changes go out as one `Write`. The member's own word on an entry counts only up to `durable`.
"""

from collections import deque

from fennelwind.raft import council_pb2 as pb
from fennelwind.raft.messages import Send, Write


class Writes:
    """Writes by number: gathered in a step, under way, done."""

    def __init__(self, durable: int) -> None:
        self.durable = durable  # the log's last index that is on the disk and still in the log
        self.number = self.done = 0  # the last write given out, the last one that is on the disk
        self.under_way: deque[tuple[int, int]] = deque()  # number, the log's last index with it
        self.held: deque[tuple[int, Send]] = deque()  # number, what rests on it
        self.hard: pb.HardState | None = None
        self.hard_number = 0  # the write that has the last hard state
        self.cut: int | None = None
        self.entries: list[pb.Entry] = []

    @property
    def coming(self) -> int:
        """The number of the write that the step's changes will have."""
        return self.number + 1

    @property
    def hard_done(self) -> bool:
        """Whether the last term and vote are on the disk."""
        return self.hard_number <= self.done

    def set_hard(self, hard: pb.HardState) -> None:
        """Have a term and vote written with this step."""
        self.hard, self.hard_number = hard, self.coming

    def cut_after(self, index: int) -> None:
        """Have the log cut; what lies behind it no longer counts as written, whatever the disk holds."""
        self.cut = index if self.cut is None else min(self.cut, index)
        while self.entries and self.entries[-1].index > index:
            self.entries.pop()
        self.durable = min(self.durable, index)
        self.under_way = deque((number, min(last, index)) for number, last in self.under_way)

    def another(self) -> int:
        """Return the number of a write that leaves the log's last index as it is."""
        self.number += 1
        self.under_way.append((self.number, self.under_way[-1][1] if self.under_way else self.durable))
        return self.number

    def replaced(self, last: int) -> None:
        """The log was replaced by what is on the disk, up to its last index."""
        self.durable = last
        self.under_way = deque((number, last) for number, _ in self.under_way)

    def flush(self, last: int) -> Write | None:
        """Return the step's changes as a write; `last` is the log's last index with it."""
        if self.hard is None and self.cut is None and not self.entries:
            return None
        self.number += 1
        write = Write(self.number, hard=self.hard, cut_after=self.cut, entries=tuple(self.entries))
        self.under_way.append((self.number, last))
        self.hard, self.cut, self.entries = None, None, []
        return write

    def hold(self, send: Send) -> None:
        """Keep a message until the last term and vote are on the disk."""
        self.held.append((self.hard_number, send))

    def written(self, number: int) -> list[Send]:
        """Count writes as done; return the messages that may leave now."""
        self.done = max(self.done, min(number, self.number))
        while self.under_way and self.under_way[0][0] <= self.done:
            self.durable = self.under_way.popleft()[1]
        free = []
        while self.held and self.held[0][0] <= self.done:
            free.append(self.held.popleft()[1])
        return free

    def failed(self) -> None:
        """Forget all that is not done: nothing of it counts and nothing that rests on it leaves."""
        self.under_way.clear()
        self.held.clear()
        self.hard, self.cut, self.entries = None, None, []
