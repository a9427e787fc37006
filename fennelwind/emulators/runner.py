"""Lets a model's jobs run on a loop: tells who is done, when it is."""

from collections.abc import Callable

from fennelwind.emulators.model import Job, Model
from fennelwind.loop import Loop


class Runner:
    """One life of an engine's work; `done` is called with each job as it is done."""

    def __init__(self, loop: Loop, model: Model, done: Callable[[Job], None]) -> None:
        self.loop, self.model, self.done = loop, model, done
        self._timer = None

    def add(self, job: Job) -> None:
        """Let a job run; look at `model.fallen` afterwards."""
        self._tell(self.model.add(job, self.loop.now()))
        self._schedule()

    def remove(self, job: Job) -> None:
        """Stop a job."""
        self._tell(self.model.remove(job, self.loop.now()))
        self._schedule()

    def look(self) -> None:
        """Tell of what is done by now."""
        self._tell(self.model.advance(self.loop.now()))

    def slow(self, times: float) -> None:
        """Make everything take so many times as long from now on."""
        self.look()
        self.model.slow = times
        self._schedule()

    def stop(self) -> None:
        """Tell of nothing more."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _tell(self, jobs: list[Job]) -> None:
        for job in jobs:
            self.done(job)

    def _schedule(self) -> None:
        self.stop()
        due = self.model.next_due(self.loop.now())
        if due is not None:
            self._timer = self.loop.at(due, self._tick)

    def _tick(self) -> None:
        self._timer = None
        self.look()
        self._schedule()
