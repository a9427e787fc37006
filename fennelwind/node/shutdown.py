"""The times of the steps of a shutdown, from SIGTERM to the earliest SIGKILL. No I/O and no clock.

All times are ms of the caller's monotonic clock.
"""

from dataclasses import dataclass

SERVING_MS = 1000.0  # ms after SIGTERM in which new connections and requests are still served
MAX_COUNTED_TIMEOUT_MS = 3000.0  # ms; the platform counts longer timeouts as this
KILL_GRACE_MS = 700.0  # ms; SIGKILL may come this long after SIGTERM plus the longest timeout
# Times before the earliest SIGKILL:
ABANDON_BEFORE_KILL_MS = 250.0  # ms; at this time open queries are abandoned and get their final answer
LAST_ANSWERS_BEFORE_KILL_MS = 150.0  # ms; until then clients may read answers and complete messages
CLOSED_BEFORE_KILL_MS = 50.0  # ms; by this time all connections are closed


@dataclass(slots=True, frozen=True)
class ShutdownSchedule:
    """The times of the steps of one shutdown, in order."""

    serve_until_ms: float
    abandon_at_ms: float
    last_answers_at_ms: float
    end_at_ms: float

    @classmethod
    def from_signal(cls, signalled_ms: float, longest_timeout_ms: float) -> "ShutdownSchedule":
        """Return the schedule for a SIGTERM at `signalled_ms` and the longest client timeout."""
        killed_at_ms = signalled_ms + min(longest_timeout_ms, MAX_COUNTED_TIMEOUT_MS) + KILL_GRACE_MS
        abandon_at_ms = killed_at_ms - ABANDON_BEFORE_KILL_MS
        return cls(
            serve_until_ms=min(signalled_ms + SERVING_MS, abandon_at_ms),
            abandon_at_ms=abandon_at_ms,
            last_answers_at_ms=killed_at_ms - LAST_ANSWERS_BEFORE_KILL_MS,
            end_at_ms=killed_at_ms - CLOSED_BEFORE_KILL_MS,
        )
