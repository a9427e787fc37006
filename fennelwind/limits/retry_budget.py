"""The budget of further attempts, counted when they begin. No I/O; times in ms of the caller's clock.

The module keeps it by its decisions. An attempt may begin later than it was decided on, and what the rule
counts is what is sent: further attempts of a window against the queries taken in it. Of those only the served
ones are sure to count, as requests of bad clients do not.
"""

from collections import deque


class AttemptBudget:
    """`free` and `share` of the queries taken and served, in any window of `window_ms`; 0: no budget."""

    def __init__(self, free: float, share: float, window_ms: float, tick_ms: float) -> None:
        self.free, self.share, self.window_ms, self.tick_ms = free, share, window_ms, tick_ms
        self._taken: deque[float] = deque()
        self._further: deque[float] = deque()

    def served(self, now: float, taken_ms: float) -> None:
        """Count a query that is served, by the time at which it was taken."""
        if self.window_ms:
            self._forget(now)
            self._taken.append(taken_ms)

    def begins(self, now: float) -> bool:
        """Tell whether a further attempt may begin, and count it if so."""
        if not self.window_ms:
            return True
        self._forget(now)
        # A query that is about to leave the window may have left it for whoever counts.
        taken = sum(at >= now - self.window_ms + self.tick_ms for at in self._taken)
        if len(self._further) + 1 > self.free + self.share * taken:
            return False
        self._further.append(now)
        return True

    def _forget(self, now: float) -> None:
        for times in (self._taken, self._further):
            while times and times[0] < now - self.window_ms:
                times.popleft()
