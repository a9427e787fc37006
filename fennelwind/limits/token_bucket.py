"""A token bucket: a rate limit that allows bursts. No I/O; times in ms of the caller's clock."""

from dataclasses import dataclass


@dataclass(slots=True)
class TokenBucket:
    """Holds up to `capacity` tokens and gains `rate_per_s` per second; the caller subtracts used tokens.

    `tokens` may fall below 0: the debt has to be refilled before tokens are available again.
    """

    capacity: float
    rate_per_s: float
    tokens: float
    updated_ms: float

    def refill(self, now: float) -> None:
        """Add the tokens gained since the last call."""
        gained = (now - self.updated_ms) / 1000.0 * self.rate_per_s
        self.tokens = min(self.capacity, self.tokens + gained)
        self.updated_ms = now
