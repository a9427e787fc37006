"""When a client puts a statement again, and after how long; without I/O, given times and chance.

A herd that was refused together must not come back together: the wait is the server's, grown with each
refusal and spread over half to one and a half of it. A wait that leaves no time to be served is not begun,
so that the user hears at once.
"""

from collections.abc import Callable

GROWTH = 1.5  # times the wait before, after each refusal
SPREAD = 0.5  # of a wait, to either side
LEAST_MS, MOST_MS = 20.0, 10_000.0  # ms; a server that names none or a foolish one is not taken at its word
LEFT_PART = 0.25  # of the whole time that has to be left after a wait, else it is not worth it


class Retry:
    """The tries of one statement. `chance` returns numbers from 0 to 1."""

    def __init__(self, timeout_ms: float, most: int, chance: Callable[[], float]) -> None:
        self.timeout_ms, self.most, self.chance = timeout_ms, most, chance
        self.tries = 1  # begun

    def refused(self, retry_after_ms: float, spent_ms: float) -> float | None:
        """Return how long (ms) to wait before the next try, or None: give up."""
        if self.tries >= self.most:
            return None
        wait = min(max(retry_after_ms, LEAST_MS) * GROWTH ** (self.tries - 1), MOST_MS)
        wait *= 1.0 - SPREAD + 2.0 * SPREAD * self.chance()
        if self.timeout_ms - spent_ms - wait < LEFT_PART * self.timeout_ms:
            return None
        self.tries += 1
        return wait

    def lost(self, repeatable: bool, spent_ms: float) -> float | None:
        """Return how long to wait after an answer or its connection was lost; None: it may have run."""
        return self.refused(LEAST_MS, spent_ms) if repeatable else None
