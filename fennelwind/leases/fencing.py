"""What each act of a task passes, and what a resource does with the fence that it is shown.

How long a holder may count on a lease. It is granted on the record for T ms of the record's clock, at a
moment that is not before the one at which its holder first asked, t0 on the holder's own clock. Each clock
runs at a pace between 1 - d and 1 + d of true time, d the stated drift. The record's clock measures T in no
less than T / (1 + d) of true time; over leaders it only loses time. The holder's measures H in no more than
H / (1 - d). So with H = T (1 - d) / (1 + d), less what both clocks round, the holder has stopped counting on
it at t0 + H before the record lets it lapse.

How long an act may last. It begins only if all of its stated time, and a pause of the process as long as the
stated one, fit into what is left, and goes on only while that pause still does. A process that stands still
for longer, between a check and what it does then, is out of what a clock can prove: there the fence decides,
and a resource that checks no fence has no more than the stated pause.
"""

import math
from dataclasses import dataclass

from fennelwind.leases.errors import ActTooLong, FencesFull, OlderFence, TaskNotHeld

DRIFT = 0.2  # part of true time by which a clock runs fast or slow at most; quartz keeps 0.0001
ROUNDING_MS = 2.0  # ms that the record's clock in whole ms, at grant and at lapse, may be off
PAUSE_MS = 250.0  # ms that a process stands still, or a call under way takes, between a check and its effect
ACTS_MOST = 64  # acts of one task at a time
FENCES_MOST = 10_000  # tasks whose fence a resource remembers


def usable_ms(term_ms: float, drift: float = DRIFT) -> float:
    """Return for how many ms of its own clock, from before it asked, a holder may count on a lease."""
    return max(0.0, math.floor(term_ms * (1.0 - drift) / (1.0 + drift)) - ROUNDING_MS)


@dataclass(slots=True, frozen=True)
class Act:
    """One act of a task that has begun; its fence goes with all that it asks of others."""

    number: int
    fence: int
    ends_by: float  # on the holder's clock


class Guard:
    """Stands before the acts of one task on one controller. Times in ms on that controller's clock."""

    def __init__(self, task: str, pause_ms: float = PAUSE_MS) -> None:
        self.task, self.pause_ms = task, pause_ms
        self.fence = 0  # 0: not held
        self.until = -math.inf  # the lease may be counted on until then
        self.usable = 0.0  # ms that a fresh lease gives
        self.acts: dict[int, Act] = {}  # that have begun and not ended
        self._numbers = 0

    # The holder's side.

    def allow(self, fence: int, until: float, usable: float) -> None:
        """Let acts pass under this fence until then."""
        if fence == self.fence:
            until = max(until, self.until)
        self.fence, self.until, self.usable = fence, until, usable

    def close(self) -> None:
        """Let no act pass or go on."""
        self.fence, self.until = 0, -math.inf

    def tidy(self, now: float) -> None:
        """Forget acts that are out of their time; the last call of each has had the pause to take effect."""
        for act in [act for act in self.acts.values() if act.ends_by + self.pause_ms < now]:
            del self.acts[act.number]

    def stop(self) -> None:
        """Let no further act pass; those that have begun may end in their time."""
        self.usable = 0.0

    # The task's side.

    def begin(self, now: float, act_ms: float) -> Act:
        """Begin an act of at most so long. Raises `TaskNotHeld`, `ActTooLong`."""
        self.tidy(now)
        wanted = act_ms + self.pause_ms
        if not self.fence or not self.usable or now + wanted > self.until:
            if self.fence and 0.0 < self.usable < wanted:
                raise ActTooLong(
                    f"an act of {act_ms:.0f} ms does not fit into the lease of {self.task}",
                    task=self.task,
                    act_ms=act_ms,
                    usable_ms=self.usable - self.pause_ms,
                )
            left = max(0.0, self.until - now) if self.fence else 0.0
            raise TaskNotHeld(
                f"{self.task} is not held for another {wanted:.0f} ms",
                task=self.task,
                left_ms=left,
                wanted_ms=wanted,
            )
        if len(self.acts) >= ACTS_MOST:
            raise TaskNotHeld(
                f"{len(self.acts)} acts of {self.task} are under way",
                task=self.task,
                left_ms=self.until - now,
                wanted_ms=wanted,
            )
        self._numbers += 1
        act = self.acts[self._numbers] = Act(self._numbers, self.fence, now + act_ms)
        return act

    def may_go_on(self, now: float, act: Act) -> bool:
        """Tell whether the act may take its next step; asked ahead of each, and after each wait."""
        return (
            act.number in self.acts
            and act.fence == self.fence
            and now <= act.ends_by
            and now + self.pause_ms <= self.until
        )

    def end(self, act: Act) -> None:
        """The act is over, and nothing of it can take effect any more.

        One whose last call brought no answer is not ended here; its time ends it.
        """
        self.acts.pop(act.number, None)


class Fenced:
    """The other side of an act: a resource that remembers the highest fence of each task."""

    def __init__(self) -> None:
        self.fences: dict[str, int] = {}
        self.refused = 0

    def show(self, task: str, fence: int) -> None:
        """Take a fence that an act shows. Raises `OlderFence`, `FencesFull`."""
        seen = self.fences.get(task)
        if seen is None and len(self.fences) >= FENCES_MOST:
            self.refused += 1
            raise FencesFull(f"fences of {FENCES_MOST} tasks are known; {task} is another", task=task)
        if seen is not None and fence < seen:
            self.refused += 1
            raise OlderFence(
                f"fence {fence} of {task} is older than {seen}", task=task, fence=fence, seen=seen
            )
        self.fences[task] = fence


def told(task: str, fence: int) -> str:
    """Return what goes into a statement's overlay as `fennelwind.fence`."""
    return f"{task}:{fence}"
