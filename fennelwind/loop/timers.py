"""Timers that are mostly cancelled.

Nearly every timer of a controller is a time-out that never comes due. `TimerWheel` keeps one slot every
4 ms that holds any timer, in a table, and a heap of the slots' numbers; both setting and cancelling
take constant time but for the first timer of a slot, and a cancelled timer is gone at once. `TimerHeap` is
the plain structure it is measured against (`fennelwind bench timers`): it has to carry each cancelled timer
until its time.
"""

import heapq
from collections.abc import Callable

SLOT_MS = 4.0  # ms; an emptied slot stays until its time, so finer ones cost memory, coarser ones sorting


class Timer:
    """A call at a time; `cancel` is allowed at any moment and has no effect once it was made."""

    __slots__ = ("due", "order", "call", "slot")

    def __init__(self, due: float, order: int, call: Callable[[], None]) -> None:
        self.due, self.order, self.call = due, order, call
        self.slot: dict[int, Timer] | None = None

    def __lt__(self, other: "Timer") -> bool:
        return (self.due, self.order) < (other.due, other.order)

    def cancel(self) -> None:
        """Make the call never happen."""
        if self.slot is not None:
            self.slot.pop(self.order, None)
            self.slot = None
        self.call = None


class TimerWheel:
    """Timers by slots of a few milliseconds; within a slot, and so overall, they come due in exact order."""

    def __init__(self) -> None:
        self._slots: dict[int, dict[int, Timer]] = {}
        self._numbers: list[int] = []  # heap of the slots' numbers
        self._order = 0

    def __len__(self) -> int:
        return sum(len(slot) for slot in self._slots.values())

    def add(self, due: float, call: Callable[[], None]) -> Timer:
        """Set a timer for the time `due` (ms)."""
        self._order += 1
        timer = Timer(due, self._order, call)
        number = int(due // SLOT_MS)
        slot = self._slots.get(number)
        if slot is None:
            slot = self._slots[number] = {}
            heapq.heappush(self._numbers, number)
        slot[timer.order] = timer
        timer.slot = slot
        return timer

    def next_due(self) -> float | None:
        """Return the earliest time at which a timer comes due, or None."""
        while self._numbers:
            slot = self._slots[self._numbers[0]]
            if slot:
                return min(slot.values()).due
            del self._slots[heapq.heappop(self._numbers)]
        return None

    def due(self, now: float) -> list[Timer]:
        """Take out all timers due at `now` or earlier, in order of time, then of setting."""
        taken: list[Timer] = []
        last = int(now // SLOT_MS)
        while self._numbers and self._numbers[0] <= last:
            number = self._numbers[0]
            slot = self._slots[number]
            ripe = sorted(t for t in slot.values() if t.due <= now)
            for timer in ripe:
                del slot[timer.order]
                timer.slot = None
            taken += ripe
            if slot:
                break
            del self._slots[heapq.heappop(self._numbers)]
        return taken


class TimerHeap:
    """The plain structure: a heap in which cancelled timers stay until their time."""

    def __init__(self) -> None:
        self._heap: list[Timer] = []
        self._order = 0

    def __len__(self) -> int:
        return sum(timer.call is not None for timer in self._heap)

    def add(self, due: float, call: Callable[[], None]) -> Timer:
        """Set a timer for the time `due` (ms)."""
        self._order += 1
        timer = Timer(due, self._order, call)
        heapq.heappush(self._heap, timer)
        return timer

    def next_due(self) -> float | None:
        """Return the earliest time at which a timer comes due, or None."""
        while self._heap and self._heap[0].call is None:
            heapq.heappop(self._heap)
        return self._heap[0].due if self._heap else None

    def due(self, now: float) -> list[Timer]:
        """Take out all timers due at `now` or earlier, in order of time, then of setting."""
        taken = []
        while self._heap and self._heap[0].due <= now:
            timer = heapq.heappop(self._heap)
            if timer.call is not None:
                taken.append(timer)
        return taken
