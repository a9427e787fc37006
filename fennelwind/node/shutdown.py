"""When the steps of a shutdown are due: from SIGTERM to the earliest SIGKILL. No I/O and no clock.

All times are ms of the caller's monotonic clock.
"""

from dataclasses import dataclass

SERVING_MS = 1000.0  # ms after SIGTERM in which new connections and requests are still served
MAX_COUNTED_TIMEOUT_MS = 3000.0  # ms; the platform counts a longer timeout as this
KILL_MS = 700.0  # ms; SIGKILL may come the longest timeout and this much later
# Before the earliest SIGKILL:
ABANDON_MS = 250.0  # ms; queries that are open are abandoned and get their final answer
LAST_ANSWERS_MS = 150.0  # ms; from here on nobody is waited for to take an answer or to complete a message
CLOSED_MS = 50.0  # ms; all connections are closed


@dataclass(slots=True, frozen=True)
class ShutdownSchedule:
    """The moments of one shutdown, in their order."""

    serve_until_ms: float
    abandon_at_ms: float
    last_answers_at_ms: float
    end_at_ms: float

    @classmethod
    def from_signal(cls, signalled_ms: float, longest_timeout_ms: float) -> "ShutdownSchedule":
        """Return the schedule of a SIGTERM at `signalled_ms`, where clients wait so long at most."""
        killed_at_ms = signalled_ms + min(longest_timeout_ms, MAX_COUNTED_TIMEOUT_MS) + KILL_MS
        abandon_at_ms = killed_at_ms - ABANDON_MS
        return cls(
            serve_until_ms=min(signalled_ms + SERVING_MS, abandon_at_ms),
            abandon_at_ms=abandon_at_ms,
            last_answers_at_ms=killed_at_ms - LAST_ANSWERS_MS,
            end_at_ms=killed_at_ms - CLOSED_MS,
        )
