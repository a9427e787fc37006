"""Wakes the one task that serves a queue."""

from fennelwind.loop import Loop
from fennelwind.loop.scheduler import Waiter


class Bell:
    """Rung as often as one likes; a wait ends at once if it was rung since the last one."""

    __slots__ = ("loop", "_rung", "_waiter")

    def __init__(self, loop: Loop) -> None:
        self.loop, self._rung = loop, False
        self._waiter: Waiter | None = None

    def ring(self) -> None:
        """Wake who waits, or who waits next."""
        self._rung = True
        if self._waiter is not None:
            self._waiter.wake()

    def wait(self) -> None:
        """Wait until it is rung."""
        if not self._rung:
            waiter = self._waiter = Waiter(self.loop)
            try:
                waiter.wait()
            finally:
                if self._waiter is waiter:
                    self._waiter = None
        self._rung = False
