"""Growing waits between tries."""

from random import Random

FIRST_MS = 50.0  # ms; a peer that restarts listens again within tens of ms at best
MOST_MS = 2000.0  # ms; a peer that is back has to be found within a few election time-outs


class Backoff:
    """Each wait is twice the one before, up to a bound; the draw keeps two hundred from coming together."""

    def __init__(self, random: Random, first_ms: float = FIRST_MS, most_ms: float = MOST_MS) -> None:
        self.random, self.first_ms, self.most_ms = random, first_ms, most_ms
        self.tries = 0

    def next(self) -> float:
        """Return the next wait in ms."""
        wait = min(self.most_ms, self.first_ms * 2.0 ** min(self.tries, 16))
        self.tries += 1
        return wait * (0.5 + 0.5 * self.random.random())

    def reset(self) -> None:
        """Begin small again: something went well."""
        self.tries = 0
