"""Exponential backoff with jitter between attempts."""

from random import Random

MIN_MS = 50.0  # ms; a restarted peer needs at least tens of ms until it listens again
MAX_MS = 2000.0  # ms; a peer that is reachable again must be found within a few election timeouts
MAX_DOUBLINGS = 16  # keeps the float from overflowing; the maximum wait is reached long before


class Backoff:
    """Each wait doubles, up to a maximum; the jitter spreads the retries of two hundred controllers."""

    def __init__(self, random: Random, min_ms: float = MIN_MS, max_ms: float = MAX_MS) -> None:
        self._random = random
        self._min_ms = min_ms
        self._max_ms = max_ms
        self._attempts = 0

    def next_ms(self) -> float:
        """Return the next wait in ms: a random value from half of the doubled wait up to all of it."""
        wait_ms = min(self._max_ms, self._min_ms * 2.0 ** min(self._attempts, MAX_DOUBLINGS))
        self._attempts += 1
        return wait_ms * (0.5 + 0.5 * self._random.random())

    def reset(self) -> None:
        """Start from the minimum wait again, after a success."""
        self._attempts = 0
