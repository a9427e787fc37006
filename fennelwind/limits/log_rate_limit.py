"""How many log lines of one sort are written, where clients or engines could flood them. No I/O."""

from collections.abc import Callable

BURST, PER_S = 20.0, 5.0  # lines of one sort at once, and a second over time; enough to see what goes on


class RateLimit:
    """A bucket of lines for each sort; what does not fit is counted and told with the next line."""

    def __init__(self, now: Callable[[], float]) -> None:
        self.now = now
        self._buckets: dict[str, tuple[float, float, int]] = {}  # lines left, when that was, lines dropped

    def allow(self, sort: str) -> int | None:
        """Return how many lines were dropped before this one; None if it is dropped too."""
        now = self.now()
        left, at, dropped = self._buckets.get(sort, (BURST, now, 0))
        left = min(BURST, left + (now - at) / 1000.0 * PER_S)
        if left < 1.0:
            self._buckets[sort] = left, now, dropped + 1
            return None
        self._buckets[sort] = left - 1.0, now, 0
        return dropped
