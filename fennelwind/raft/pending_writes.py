"""What is on its way to the disk, and what must not leave before it is there. No I/O.

A step's changes go out as one `Write`. The member acknowledges entries only up to
`durable_index`.
"""

from collections import deque

from fennelwind.raft import council_pb2 as pb
from fennelwind.raft.messages import Send, Write


class PendingWrites:
    """Writes by number: gathered in a step, under way, done."""

    def __init__(self, durable: int) -> None:
        self.durable_index = durable  # the log's last index that is on the disk and still in the log
        self.last_number = self.completed_number = (
            0  # the last write given out, the last one that is on the disk
        )
        self.in_flight: deque[tuple[int, int]] = deque()  # number, the log's last index with it
        self.held_sends: deque[tuple[int, Send]] = deque()  # number, what rests on it
        self.hard_state: pb.HardState | None = None
        self.hard_state_number = 0  # the write that has the last hard state
        self.truncate_index: int | None = None
        self.entries: list[pb.Entry] = []

    @property
    def next_number(self) -> int:
        """The number of the write that the step's changes will have."""
        return self.last_number + 1

    @property
    def is_hard_state_durable(self) -> bool:
        """Whether the last term and vote are on the disk."""
        return self.hard_state_number <= self.completed_number

    def set_hard_state(self, hard: pb.HardState) -> None:
        """Have a term and vote written with this step."""
        self.hard_state, self.hard_state_number = hard, self.next_number

    def truncate_after(self, index: int) -> None:
        """Have the log truncated; later entries no longer count as written, whatever the disk holds."""
        self.truncate_index = index if self.truncate_index is None else min(self.truncate_index, index)
        while self.entries and self.entries[-1].index > index:
            self.entries.pop()
        self.durable_index = min(self.durable_index, index)
        self.in_flight = deque((number, min(last_index, index)) for number, last_index in self.in_flight)

    def reserve_number(self) -> int:
        """Return the number of a write that leaves the log's last index as it is."""
        self.last_number += 1
        self.in_flight.append(
            (self.last_number, self.in_flight[-1][1] if self.in_flight else self.durable_index)
        )
        return self.last_number

    def reset_durable_index(self, last: int) -> None:
        """The log was replaced by what is on the disk, up to its last index."""
        self.durable_index = last
        self.in_flight = deque((number, last) for number, _ in self.in_flight)

    def flush(self, last: int) -> Write | None:
        """Return the step's changes as a write; `last` is the log's last index with it."""
        if self.hard_state is None and self.truncate_index is None and not self.entries:
            return None
        self.last_number += 1
        write = Write(
            self.last_number,
            hard_state=self.hard_state,
            truncate_after=self.truncate_index,
            entries=tuple(self.entries),
        )
        self.in_flight.append((self.last_number, last))
        self.hard_state, self.truncate_index, self.entries = None, None, []
        return write

    def hold(self, send: Send) -> None:
        """Keep a message until the last term and vote are on the disk."""
        self.held_sends.append((self.hard_state_number, send))

    def complete(self, number: int) -> list[Send]:
        """Count writes as done; return the messages that may leave now."""
        self.completed_number = max(self.completed_number, min(number, self.last_number))
        while self.in_flight and self.in_flight[0][0] <= self.completed_number:
            self.durable_index = self.in_flight.popleft()[1]
        free = []
        while self.held_sends and self.held_sends[0][0] <= self.completed_number:
            free.append(self.held_sends.popleft()[1])
        return free

    def discard(self) -> None:
        """Forget all that is not done: nothing of it counts and nothing that rests on it leaves."""
        self.in_flight.clear()
        self.held_sends.clear()
        self.hard_state, self.truncate_index, self.entries = None, None, []
