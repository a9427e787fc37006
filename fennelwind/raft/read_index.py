"""Linearizable reads that wait until a majority has confirmed the leader (ReadIndex). No I/O, no clock."""

from collections import deque

from fennelwind.raft.messages import ReadOutcome


class ReadIndexQueue:
    """Pending reads in order: those with a read index wait for a round, newer ones have no index yet."""

    def __init__(self, max_reads: int) -> None:
        self.max_reads = max_reads
        self.unindexed: list[int] = []  # tokens of reads without a read index
        self.indexed: deque[tuple[int, int, int]] = deque()  # token, read index, confirming round

    def __len__(self) -> int:
        return len(self.unindexed) + len(self.indexed)

    def add(self, token: int) -> bool:
        """Queue a read; return False if the queue is full."""
        if len(self) >= self.max_reads:
            return False
        self.unindexed.append(token)
        return True

    def assign_index(self, index: int, round_number: int) -> None:
        """Give new reads this read index, to be confirmed by a round that has not started yet."""
        self.indexed.extend((token, index, round_number) for token in self.unindexed)
        self.unindexed.clear()

    def needs_round(self, current_round: int) -> bool:
        """Whether a read waits for a round after the current one."""
        return bool(self.indexed) and self.indexed[-1][2] > current_round

    def pop_confirmed(self, confirmed_round: int) -> list[ReadOutcome]:
        """Remove the reads confirmed by rounds up to this one; return their outcomes."""
        outcomes = []
        while self.indexed and self.indexed[0][2] <= confirmed_round:
            token, index, _ = self.indexed.popleft()
            outcomes.append(ReadOutcome(token, index))
        return outcomes

    def pop_all(self) -> list[int]:
        """Remove all pending reads, which this member can no longer serve; return their tokens."""
        tokens = [token for token, _, _ in self.indexed] + self.unindexed
        self.indexed.clear()
        self.unindexed.clear()
        return tokens
