"""The retry budget that is enforced when attempts start. No I/O; times in ms of the caller's clock.

`policy/retries.py` applies a budget when it decides on a retry. This budget is the hard limit: it is checked
immediately before the first byte is sent, as an attempt may start later than decided. The retries in a window
are limited by the number of queries received in it. Requests of misbehaving clients do not count towards that
number, so only served queries, which certainly belong to it, are counted.
"""

from collections import deque


class RetryBudget:
    """Allows `free` retries plus `share` of the served queries in any window.

    If the window is 0 ms, retries are not limited.
    """

    def __init__(self, free: float, share: float, window_ms: float, resolution_ms: float) -> None:
        self.free, self.share, self.window_ms, self.resolution_ms = free, share, window_ms, resolution_ms
        self._received_ms: deque[float] = deque()  # arrival times of served queries
        self._retries_ms: deque[float] = deque()

    def count_served(self, now: float, received_ms: float) -> None:
        """Count a served query by the time at which it was received."""
        if self.window_ms:
            self._expire(now)
            self._received_ms.append(received_ms)

    def try_start(self, now: float) -> bool:
        """Return whether a retry may start; if it may, count it."""
        if not self.window_ms:
            return True
        self._expire(now)
        # The window is shortened by one tick: by another clock, the query may already be outside the window.
        oldest_ms = now - self.window_ms + self.resolution_ms
        served = sum(received_ms >= oldest_ms for received_ms in self._received_ms)
        if len(self._retries_ms) + 1 > self.free + self.share * served:
            return False
        self._retries_ms.append(now)
        return True

    def _expire(self, now: float) -> None:
        for times in (self._received_ms, self._retries_ms):
            while times and times[0] < now - self.window_ms:
                times.popleft()
