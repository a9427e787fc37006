"""Exponential backoff with jitter between attempts."""

from random import Random

MIN_MS = 50.0  # ms; a peer that restarts listens again within tens of ms at best
MAX_MS = 2000.0  # ms; a peer that is back has to be found within a few election time-outs
MAX_DOUBLINGS = 16  # keeps the power within a float; the maximum is reached long before


class Backoff:
    """Each wait doubles, up to a maximum; the jitter keeps two hundred from coming together."""

    def __init__(self, random: Random, min_ms: float = MIN_MS, max_ms: float = MAX_MS) -> None:
        self._random = random
        self._min_ms = min_ms
        self._max_ms = max_ms
        self._attempts = 0

    def next_ms(self) -> float:
        """Return the next wait in ms: between a half and the whole of the grown one."""
        wait_ms = min(self._max_ms, self._min_ms * 2.0 ** min(self._attempts, MAX_DOUBLINGS))
        self._attempts += 1
        return wait_ms * (0.5 + 0.5 * self._random.random())

    def reset(self) -> None:
        """Begin with the shortest wait again: something went well."""
        self._attempts = 0
