"""When executors started, on this controller's own clock. No I/O.

The command channel reports a start by a wall clock, which may be stepped at any moment, here or where it is
read. What the controller knows by itself bounds it: an executor that is reported for the first time has not
started later than now, and not much earlier than the channel was last heard. Called by `endpoint_watch`.
"""

from collections.abc import Collection

MIN_SURPLUS = 16  # starts kept beyond twice the listed executors, before those of others are dropped
MAX_LIST_DELAY_MS = 5000.0  # ms that the list may be behind; a start seems that much earlier at most


class StartTimes:
    """The starts of the executors that have been reported."""

    def __init__(self) -> None:
        self._starts: dict[str, tuple[float, float]] = {}  # by name: as reported, and on the loop's clock

    def place(
        self,
        name: str,
        started_unix_ms: float,
        wall_clock_lead_ms: float,
        now_ms: float,
        last_contact_ms: float | None,
    ) -> float:
        """Return when an executor started, on the loop's clock; 0.0: long ago.

        `started_unix_ms`: as reported, 0 for long ago; `wall_clock_lead_ms`: how far the wall clock is ahead
        of the loop's; `last_contact_ms`: when the channel was last heard before it reported this start, None
        for what was known as the controller began. A start that was reported before keeps its value, whatever
        the clocks do: a stepped clock would otherwise have an old executor warm up again.
        """
        if not started_unix_ms:
            self._starts.pop(name, None)
            return 0.0
        known = self._starts.get(name)
        if known is not None and known[0] == started_unix_ms:
            return known[1]
        start = min(started_unix_ms - wall_clock_lead_ms, now_ms)
        if last_contact_ms is not None:
            start = max(start, last_contact_ms - MAX_LIST_DELAY_MS)
        self._starts[name] = started_unix_ms, start
        return start

    def keep(self, names: Collection[str]) -> None:
        """Drop all but these executors, once the others are the most of what is kept."""
        if len(self._starts) > 2 * len(names) + MIN_SURPLUS:
            self._starts = {name: start for name, start in self._starts.items() if name in names}
