"""What a holder of a lease has under way, and the outcomes that its decisions are still to be told."""

from collections import deque
from collections.abc import Callable
from contextlib import suppress
from typing import Generic, TypeVar

from fennelwind.cluster.wakeup import Wakeup
from fennelwind.leases.errors import LeaseNotHeldError
from fennelwind.loop import DeadlineExceeded, Loop, Task

Event = TypeVar("Event")


class RunningWork(Generic[Event]):
    """Tasks of one time that a lease is held; each posts what came of it. Who decides bounds their number."""

    def __init__(self, loop: Loop, name: str) -> None:
        self.loop, self.name = loop, name
        self._events: deque[Event] = deque()
        self._wakeup = Wakeup(loop)
        self._tasks: set[Task] = set()
        self._broken: LeaseNotHeldError | None = None

    def post(self, event: Event) -> None:
        """Have an event told in the next turn."""
        self._events.append(event)
        self._wakeup.notify()

    def spawn(self, call: Callable[..., None], *args: object) -> Task:
        """Start a task; one that finds too little of the lease ends the whole in its next turn."""

        def run() -> None:
            try:
                call(*args)
            except LeaseNotHeldError as exc:  # another may hold it by now: nothing is said of what came of it
                self._broken = exc
                self._wakeup.notify()
            finally:
                self._tasks.discard(task)

        task = self.loop.spawn(run, name=f"{self.name}: {call.__name__}")
        self._tasks.add(task)
        return task

    def events(self) -> list[Event]:
        """Return what was posted since the last time."""
        events = list(self._events)
        self._events.clear()
        return events

    def wait(self, until: float) -> None:
        """Wait for an event until the time (ms). Raises `LeaseNotHeldError` where a task did."""
        if self._broken is not None:
            raise self._broken
        if not self._events:
            with suppress(DeadlineExceeded), self.loop.deadline_at(until):
                self._wakeup.wait()

    def close(self) -> None:
        """End all tasks."""
        for task in list(self._tasks):
            task.cancel()
