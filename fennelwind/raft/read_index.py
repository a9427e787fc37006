"""Reads that wait until a majority has said again that their leader leads. No I/O, no clock."""

from collections import deque

from fennelwind.raft.messages import ReadOutcome


class ReadIndexQueue:
    """Reads in order: first those without an index, then those that wait for a round."""

    def __init__(self, most: int) -> None:
        self.max_reads = most
        self.unindexed: list[int] = []  # tokens
        self.indexed: deque[tuple[int, int, int]] = deque()  # token, index, the round that confirms it

    def __len__(self) -> int:
        return len(self.unindexed) + len(self.indexed)

    def add(self, token: int) -> bool:
        """Let a read wait; False: too many do."""
        if len(self) >= self.max_reads:
            return False
        self.unindexed.append(token)
        return True

    def assign_index(self, index: int, number: int) -> None:
        """Give new reads this read index; the round `number`, not begun yet, has to confirm it."""
        self.indexed.extend((token, index, number) for token in self.unindexed)
        self.unindexed.clear()

    def needs_round(self, begun: int) -> bool:
        """Whether a round is needed that has not begun."""
        return bool(self.indexed) and self.indexed[-1][2] > begun

    def pop_confirmed(self, confirmed: int) -> list[ReadOutcome]:
        """Return the reads that rounds up to this one have confirmed."""
        done = []
        while self.indexed and self.indexed[0][2] <= confirmed:
            token, index, _ = self.indexed.popleft()
            done.append(ReadOutcome(token, index))
        return done

    def pop_all(self) -> list[int]:
        """Return the tokens of all that wait, which nobody serves any more."""
        tokens = [token for token, _, _ in self.indexed] + self.unindexed
        self.indexed.clear()
        self.unindexed.clear()
        return tokens
