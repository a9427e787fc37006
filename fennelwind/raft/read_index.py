"""Reads that wait until a majority has said again that their leader leads. No I/O, no clock."""

from collections import deque

from fennelwind.raft.messages import ReadOutcome


class Reads:
    """Reads in order: first those without an index, then those that wait for a round."""

    def __init__(self, most: int) -> None:
        self.most = most
        self.fresh: list[int] = []  # tokens
        self.placed: deque[tuple[int, int, int]] = deque()  # token, index, the round that confirms it

    def __len__(self) -> int:
        return len(self.fresh) + len(self.placed)

    def take(self, token: int) -> bool:
        """Let a read wait; False: too many do."""
        if len(self) >= self.most:
            return False
        self.fresh.append(token)
        return True

    def place(self, index: int, number: int) -> None:
        """Say from where on the fresh ones are true, if the round of this number, yet to come, says so."""
        self.placed.extend((token, index, number) for token in self.fresh)
        self.fresh.clear()

    def wants(self, begun: int) -> bool:
        """Whether a round is needed that has not begun."""
        return bool(self.placed) and self.placed[-1][2] > begun

    def served(self, confirmed: int) -> list[ReadOutcome]:
        """Return the reads that rounds up to this one have confirmed."""
        done = []
        while self.placed and self.placed[0][2] <= confirmed:
            token, index, _ = self.placed.popleft()
            done.append(ReadOutcome(token, index))
        return done

    def drop(self) -> list[int]:
        """Return the tokens of all that wait, which nobody serves any more."""
        tokens = [token for token, _, _ in self.placed] + self.fresh
        self.placed.clear()
        self.fresh.clear()
        return tokens
