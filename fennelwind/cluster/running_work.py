"""Runs the tasks of a lease holder and queues the tasks' outcomes as events for the holder's core."""

from collections import deque
from collections.abc import Callable
from contextlib import suppress
from typing import Generic, TypeVar

from fennelwind.cluster.wakeup import Wakeup
from fennelwind.leases.errors import LeaseNotHeldError
from fennelwind.loop import DeadlineExceeded, Loop, Task

Event = TypeVar("Event")


class RunningWork(Generic[Event]):
    """Tasks that run during one tenure of a lease; each posts its outcome as an event.

    The caller limits the number of tasks.
    """

    def __init__(self, loop: Loop, name: str) -> None:
        self._loop = loop
        self._name = name
        self._events: deque[Event] = deque()
        self._wakeup = Wakeup(loop)
        self._tasks: set[Task] = set()
        self._error: LeaseNotHeldError | None = None

    def post(self, event: Event) -> None:
        """Queue an event for the next call of `events`."""
        self._events.append(event)
        self._wakeup.notify()

    def spawn(self, call: Callable[..., None], *args: object) -> Task:
        """Start a task; if the task raises `LeaseNotHeldError`, the next call of `wait` raises it too."""

        def run() -> None:
            try:
                call(*args)
            except (
                LeaseNotHeldError
            ) as exc:  # another controller may hold the lease: the outcome is not posted
                self._error = exc
                self._wakeup.notify()
            finally:
                self._tasks.discard(task)

        task = self._loop.spawn(run, name=f"{self._name}: {call.__name__}")
        self._tasks.add(task)
        return task

    def events(self) -> list[Event]:
        """Return the events posted since the last call."""
        events = list(self._events)
        self._events.clear()
        return events

    def wait(self, until_ms: float) -> None:
        """Wait for an event until `until_ms`. Raises `LeaseNotHeldError` if a task raised it."""
        if self._error is not None:
            raise self._error
        if not self._events:
            with suppress(DeadlineExceeded), self._loop.deadline_at(until_ms):
                self._wakeup.wait()

    def close(self) -> None:
        """Cancel all tasks."""
        for task in list(self._tasks):
            task.cancel()
