"""Converts the start times of executors to the loop's clock. No I/O.

The command channel reports starts by a wall clock, which may be stepped at any time, on this machine or on
the one that reported the start. The controller therefore bounds a start by what it knows itself: an executor
that is reported for the first time started no later than now, and not much earlier than the last contact with
the channel. Called by `endpoint_watch`.
"""

from collections.abc import Collection

MIN_SURPLUS = 16  # starts kept beyond twice the number of listed executors
MAX_LIST_DELAY_MS = 5000.0  # ms that the list may lag; a start is at most this much before the last contact


class StartTimes:
    """The start times that have been reported."""

    def __init__(self) -> None:
        self._starts: dict[str, tuple[float, float]] = {}  # by executor: as reported, and on the loop's clock

    def to_loop_clock(
        self,
        name: str,
        started_unix_ms: float,
        wall_clock_lead_ms: float,
        now_ms: float,
        last_contact_ms: float | None,
    ) -> float:
        """Return the start time of an executor on the loop's clock, or 0.0 if it is long ago.

        `started_unix_ms` is the start as reported, 0 for long ago. `wall_clock_lead_ms` is how far the
        wall clock is ahead of the loop's. `last_contact_ms` is the last contact with the channel before it
        reported this start, or None for starts known at startup. A start that was reported before keeps its
        value even if a clock is stepped: otherwise an old executor would go through slow start again.
        """
        if not started_unix_ms:
            self._starts.pop(name, None)
            return 0.0
        known = self._starts.get(name)
        if known is not None and known[0] == started_unix_ms:
            return known[1]
        start_ms = min(started_unix_ms - wall_clock_lead_ms, now_ms)
        if last_contact_ms is not None:
            start_ms = max(start_ms, last_contact_ms - MAX_LIST_DELAY_MS)
        self._starts[name] = started_unix_ms, start_ms
        return start_ms

    def prune(self, listed_names: Collection[str]) -> None:
        """Drop unlisted executors' starts once there are over 2 * listed + `MIN_SURPLUS` starts in total."""
        if len(self._starts) > 2 * len(listed_names) + MIN_SURPLUS:
            self._starts = {name: start_ms for name, start_ms in self._starts.items() if name in listed_names}
