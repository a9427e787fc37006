"""Wakes the one task that serves a queue: a condition variable that remembers a notification."""

from fennelwind.loop import Loop
from fennelwind.loop.scheduler import Waiter


class Wakeup:
    """Notifies one waiting task; `wait` returns at once if `notify` was called since the last wait."""

    __slots__ = ("loop", "_is_notified", "_waiter")

    def __init__(self, loop: Loop) -> None:
        self.loop = loop
        self._is_notified = False
        self._waiter: Waiter | None = None

    def notify(self) -> None:
        """Wake the waiting task; if no task waits, let the next `wait` return at once."""
        self._is_notified = True
        if self._waiter is not None:
            self._waiter.wake()

    def wait(self) -> None:
        """Wait until notified."""
        if not self._is_notified:
            waiter = self._waiter = Waiter(self.loop)
            try:
                waiter.wait()
            finally:
                if self._waiter is waiter:
                    self._waiter = None
        self._is_notified = False
