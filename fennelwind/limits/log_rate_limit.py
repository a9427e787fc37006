"""Limits the log lines of each event, as clients or engines could flood the log. No I/O; times in ms.

The logs of the controller and of the platform's node call `allow` before each line that a peer can cause.
"""

from collections.abc import Callable
from dataclasses import dataclass

from fennelwind.limits.token_bucket import TokenBucket

BURST_LINES = 20.0  # lines of one event that are allowed at once; they suffice for a diagnosis
LINES_PER_S = 5.0  # lines per second of one event that are allowed in the long run


@dataclass(slots=True)
class _EventLimit:
    """The token bucket and the dropped lines of one event."""

    bucket: TokenBucket
    dropped: int = 0  # lines dropped since the last one that was allowed


class RateLimit:
    """Keeps a token bucket for each event; a line without a token is dropped and counted."""

    def __init__(self, now: Callable[[], float]) -> None:
        self.now = now
        self._limits: dict[str, _EventLimit] = {}

    def allow(self, event: str) -> int | None:
        """Return how many lines of the event were dropped before this one, or None if this one is dropped."""
        now = self.now()
        limit = self._limits.get(event)
        if limit is None:
            limit = self._limits[event] = _EventLimit(TokenBucket(BURST_LINES, LINES_PER_S, BURST_LINES, now))
        limit.bucket.refill(now)
        if limit.bucket.tokens < 1.0:
            limit.dropped += 1
            return None
        limit.bucket.tokens -= 1.0
        dropped, limit.dropped = limit.dropped, 0
        return dropped
