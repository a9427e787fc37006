"""When the steps of a shutdown are due: from SIGTERM to the earliest SIGKILL. No I/O and no clock.

All times are ms of the caller's monotonic clock.
"""

from dataclasses import dataclass

SERVE_MS = 1000.0  # ms after SIGTERM in which new connections and requests are still served
LONGEST_COUNTED_MS = 3000.0  # ms; the platform counts a longer deadline as this
KILL_MS = 700.0  # ms; SIGKILL may come the longest deadline and this after SIGTERM
# Before the earliest SIGKILL:
GIVE_UP_MS = 250.0  # ms; what is open gets its final answer
LAST_ANSWERS_MS = 150.0  # ms; from here on nobody is waited for to take an answer or to complete a message
END_MS = 50.0  # ms; all connections are closed


@dataclass(slots=True, frozen=True)
class ShutdownSchedule:
    """The moments of one shutdown, in their order."""

    serve_until: float
    give_up_at: float
    last_answers_at: float
    end_at: float

    @classmethod
    def from_signal(cls, signalled_ms: float, longest_deadline_ms: float) -> "ShutdownSchedule":
        """Return the schedule of a SIGTERM at `signalled_ms`, where clients wait so long at most."""
        killed = signalled_ms + min(longest_deadline_ms, LONGEST_COUNTED_MS) + KILL_MS
        give_up_at = killed - GIVE_UP_MS
        return cls(
            serve_until=min(signalled_ms + SERVE_MS, give_up_at),
            give_up_at=give_up_at,
            last_answers_at=killed - LAST_ANSWERS_MS,
            end_at=killed - END_MS,
        )
