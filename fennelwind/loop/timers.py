"""Timers that are mostly cancelled.

Nearly every timer of a controller is a time-out that never comes due. `TimerWheel` keeps one slot every
4 ms that holds any timer, in a table, and a heap of the slots' numbers; both setting and cancelling
take constant time but for the first timer of a slot, and a cancelled timer is gone at once. `TimerHeap` is
the plain structure it is measured against (`fennelwind bench timers`): it has to carry each cancelled timer
until its time.
"""

import heapq
from collections.abc import Callable

LEFT_MOST = 8  # places of cancelled timers that a slot may keep beside as many as there are timers
SLOT_MS = 4.0  # ms; an emptied slot stays until its time, so finer ones cost memory, coarser ones sorting


class Timer:
    """A call at a time; `cancel` is allowed at any moment and has no effect once it was made."""

    __slots__ = ("due", "order", "call", "slot")

    def __init__(self, due: float, order: int, call: Callable[[], None]) -> None:
        self.due, self.order, self.call = due, order, call
        self.slot: _Slot | None = None

    def __lt__(self, other: "Timer") -> bool:
        return (self.due, self.order) < (other.due, other.order)

    def cancel(self) -> None:
        """Make the call never happen."""
        slot = self.slot
        if slot is not None:
            slot.drop(self)
        self.call = None


class _Slot(dict[int, Timer]):
    """The timers of a slot by their order, and a heap of their times in which cancelled ones may be left.

    Thousands of idle connections that came together share a slot, and it must not be searched each turn.
    """

    __slots__ = ("heap",)

    def __init__(self) -> None:
        self.heap: list[tuple[float, int]] = []

    def put(self, timer: Timer) -> None:
        """Take a timer in; drop what cancelled ones have left when that is the most of it."""
        self[timer.order] = timer
        timer.slot = self
        heapq.heappush(self.heap, (timer.due, timer.order))

    def drop(self, timer: Timer) -> None:
        """Let a timer go; drop what cancelled ones have left when that is the most of it."""
        self.pop(timer.order, None)
        timer.slot = None
        if len(self.heap) > 2 * len(self) + LEFT_MOST or not self:
            self.heap = [(each.due, each.order) for each in self.values()]
            heapq.heapify(self.heap)

    def least(self) -> float | None:
        """Return the earliest time of a timer, or None."""
        heap = self.heap
        while heap and heap[0][1] not in self:
            heapq.heappop(heap)
        return heap[0][0] if heap else None

    def take(self, now: float) -> list[Timer]:
        """Take out what is due, in order."""
        ripe = []
        while (least := self.least()) is not None and least <= now:
            timer = self.pop(heapq.heappop(self.heap)[1])
            timer.slot = None
            ripe.append(timer)
        return ripe


class TimerWheel:
    """Timers by slots of a few milliseconds; within a slot, and so overall, they come due in exact order."""

    def __init__(self) -> None:
        self._slots: dict[int, _Slot] = {}
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
            slot = self._slots[number] = _Slot()
            heapq.heappush(self._numbers, number)
        slot.put(timer)
        return timer

    def next_due(self) -> float | None:
        """Return the earliest time at which a timer comes due, or None."""
        while self._numbers:
            least = self._slots[self._numbers[0]].least()
            if least is not None:
                return least
            del self._slots[heapq.heappop(self._numbers)]
        return None

    def due(self, now: float) -> list[Timer]:
        """Take out all timers due at `now` or earlier, in order of time, then of setting."""
        taken: list[Timer] = []
        last = int(now // SLOT_MS)
        while self._numbers and self._numbers[0] <= last:
            number = self._numbers[0]
            slot = self._slots[number]
            taken += slot.take(now)
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
