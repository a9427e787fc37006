"""Writes that are not yet durable, and messages that have to wait for them. No I/O.

The changes of one step are issued as one `Write`. The member acknowledges entries only up to `durable_index`.
"""

from collections import deque

from fennelwind.raft import council_pb2 as pb
from fennelwind.raft.messages import Send, Write


class PendingWrites:
    """Numbered writes: one is collected during a step; earlier ones are in flight or completed."""

    def __init__(self, durable_index: int) -> None:
        self.durable_index = durable_index  # the last index that is on disk and still in the log
        self.last_number = self.completed_number = 0  # numbers of the last write issued and completed
        self.in_flight: deque[tuple[int, int]] = deque()  # write's number, the log's last index after it
        self.held_sends: deque[tuple[int, Send]] = deque()  # write's number, message waiting for it
        self.hard_state: pb.HardState | None = None
        self.hard_state_number = 0  # number of the write with the latest hard state
        self.truncate_index: int | None = None
        self.entries: list[pb.Entry] = []

    @property
    def next_number(self) -> int:
        """The number that the write of the current step will get."""
        return self.last_number + 1

    @property
    def is_hard_state_durable(self) -> bool:
        """Whether the last term and vote are durable."""
        return self.hard_state_number <= self.completed_number

    def set_hard_state(self, hard_state: pb.HardState) -> None:
        """Add a term and vote to the current step's write."""
        self.hard_state, self.hard_state_number = hard_state, self.next_number

    def truncate_after(self, index: int) -> None:
        """Add a truncation of the log; later entries no longer count as durable, even if on disk."""
        self.truncate_index = index if self.truncate_index is None else min(self.truncate_index, index)
        while self.entries and self.entries[-1].index > index:
            self.entries.pop()
        self.durable_index = min(self.durable_index, index)
        self.in_flight = deque((number, min(last_index, index)) for number, last_index in self.in_flight)

    def reserve_number(self) -> int:
        """Return the number for a write that doesn't change the log's last index."""
        self.last_number += 1
        self.in_flight.append(
            (self.last_number, self.in_flight[-1][1] if self.in_flight else self.durable_index)
        )
        return self.last_number

    def reset_durable_index(self, last_index: int) -> None:
        """Record that the log was replaced by one that is durable up to its last index."""
        self.durable_index = last_index
        self.in_flight = deque((number, last_index) for number, _ in self.in_flight)

    def flush(self, last_index: int) -> Write | None:
        """Return the step's changes as one write, or None if nothing changed.

        `last_index` is the log's last index after that write.
        """
        if self.hard_state is None and self.truncate_index is None and not self.entries:
            return None
        self.last_number += 1
        write = Write(
            self.last_number,
            hard_state=self.hard_state,
            truncate_after=self.truncate_index,
            entries=tuple(self.entries),
        )
        self.in_flight.append((self.last_number, last_index))
        self.hard_state, self.truncate_index, self.entries = None, None, []
        return write

    def hold(self, send: Send) -> None:
        """Hold a message back until the last term and vote are durable."""
        self.held_sends.append((self.hard_state_number, send))

    def complete(self, number: int) -> list[Send]:
        """Mark writes up to a number as durable; return the messages that can be sent now."""
        self.completed_number = max(self.completed_number, min(number, self.last_number))
        while self.in_flight and self.in_flight[0][0] <= self.completed_number:
            self.durable_index = self.in_flight.popleft()[1]
        released = []
        while self.held_sends and self.held_sends[0][0] <= self.completed_number:
            released.append(self.held_sends.popleft()[1])
        return released

    def discard(self) -> None:
        """Discard incomplete writes and the messages that wait for them."""
        self.in_flight.clear()
        self.held_sends.clear()
        self.hard_state, self.truncate_index, self.entries = None, None, []
