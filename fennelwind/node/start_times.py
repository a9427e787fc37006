"""When executors started, on this controller's own clock. No I/O.

The command channel tells a start by a wall clock, which may be stepped at any moment, here or where it is
read. What the controller knows by itself bounds it: who is told of for the first time has not started later
than now, and not much earlier than the controller was last in touch with the channel. Times are ms of the
loop's clock.
"""

from collections.abc import Collection

SPARE = 16  # starts beyond twice the executors that are, before those of others go
LIST_DELAY_MS = 5000.0  # ms that the list may be behind; a start seems that much earlier at most


class StartTimes:
    """The starts of the executors that have been told of."""

    def __init__(self) -> None:
        self._starts: dict[str, tuple[float, float]] = {}  # by name: as told, and on the own clock

    def place(self, name: str, told_ms: float, offset_ms: float, now: float, in_touch: float | None) -> float:
        """Return when an executor started; 0.0: long ago.

        `told_ms`: as told, in ms since 1970, 0 for long ago; `offset_ms`: what the wall clock is ahead of the
        own one; `in_touch`: when the channel was last heard before it told of this start, None for what was
        known as the controller began. A start that was told before keeps its place, whatever the clocks do.
        """
        if not told_ms:
            self._starts.pop(name, None)
            return 0.0
        known = self._starts.get(name)
        if known is not None and known[0] == told_ms:
            return known[1]
        start = min(told_ms - offset_ms, now)
        if in_touch is not None:
            start = max(start, in_touch - LIST_DELAY_MS)
        self._starts[name] = told_ms, start
        return start

    def keep(self, names: Collection[str]) -> None:
        """Let go of all but these executors, once others are the most of what is held."""
        if len(self._starts) > 2 * len(names) + SPARE:
            self._starts = {name: start for name, start in self._starts.items() if name in names}
