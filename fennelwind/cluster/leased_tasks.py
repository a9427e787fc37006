"""Tasks of the fleet on this controller: each is a function that runs while the lease is surely held here.

A holder (`leases.holder`) decides, over the asker; the function gets a `Held` by whose acts it does all that
it does to others, each under its guard and with its fence.
"""

from collections import Counter, deque
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass

from fennelwind.cluster.errors import CouncilError
from fennelwind.cluster.raft_client import Asker
from fennelwind.cluster.state_machines import LEASES
from fennelwind.cluster.wakeup import Bell
from fennelwind.errors import FennelwindError
from fennelwind.leases import lease_client as api
from fennelwind.leases import leases_pb2 as pb
from fennelwind.leases.errors import TaskNotHeld
from fennelwind.leases.fencing import Act, Guard, told
from fennelwind.leases.state_machine import Life
from fennelwind.loop import Loop, Once, Task

ASK_MS = 4000.0  # ms for which one command is asked; the holder itself asks anew when it wants to
WATCH_MS = 20_000.0  # ms of one watch for offers; each ends with the first offer
AGAIN_MS = 1000.0  # ms until a watch that failed is tried again
NOT_HELD_MS = 50.0  # ms until a function that found its lease too short is called again, if it still runs
LIFE = 16  # bytes: no two starts of a controller draw the same

Run = Callable[["Held"], bool]


class Acting:
    """An act under way."""

    def __init__(self, held: "Held", act: Act) -> None:
        self.held, self.act, self.fence = held, act, act.fence
        self.open = False  # its last call brought no answer, and may still take effect

    @property
    def shown(self) -> str:
        """What a statement's overlay carries as `fennelwind.fence`."""
        return told(self.held.name, self.fence)

    def check(self) -> None:
        """Ask ahead of each step, and after each wait, whether to go on. Raises `TaskNotHeld`."""
        if not self.held.guard.may_go_on(self.held.loop.now(), self.act):
            raise TaskNotHeld(f"the act of {self.held.name} may not go on", task=self.held.name)


class Held:
    """A lease, as the function of its task sees it."""

    def __init__(self, tasks: "Tasks", name: str, guard: Guard, fence: int, checkpoint: bytes) -> None:
        self.tasks, self.loop, self.name, self.guard = tasks, tasks.loop, name, guard
        self.fence, self.checkpoint = fence, checkpoint  # the checkpoint as the last holder left it
        self.stop = Once(tasks.loop)  # set when the task should come to an end here

    @contextmanager
    def act(self, act_ms: float) -> Iterator[Acting]:
        """Do something to others, within so long. Raises `TaskNotHeld`, `ActTooLong`.

        An act whose last call timed out, or whose stream broke, is not over with that: its time ends it.
        """
        act = self.guard.begin(self.loop.now(), act_ms)
        acting = Acting(self, act)
        try:
            yield acting
        except (OSError, TimeoutError):
            acting.open = True
            raise
        finally:
            if not acting.open:
                self.guard.end(act)
            self.tasks.post(api.Woken())

    def progress(self, checkpoint: bytes) -> None:
        """Keep how far the task has got, for whoever holds it next."""
        self.tasks.post(api.Progress(self.name, checkpoint))


@dataclass(slots=True)
class _Running:
    held: Held
    task: Task


class Tasks:
    """All tasks that one controller would do."""

    def __init__(
        self, loop: Loop, asker: Asker, name: str, seed: int, said: Callable[[str, dict], None]
    ) -> None:
        self.loop, self.asker, self.said = loop, asker, said
        self.me = Life(name, loop.token(LIFE))
        self.holder = api.Holder(self.me, seed)
        self.counts: Counter[str] = Counter()
        self.left = Once(loop)
        self._runs: dict[str, Run] = {}
        self._wanted = Once(loop)  # set with the first task
        self._running: dict[str, _Running] = {}
        self._events: deque[api.Event] = deque()
        self._bell = Bell(loop)
        self._timer = None
        self._tasks: list[Task] = []

    def start(self) -> None:
        """Ask for what is wanted from now on."""
        self._tasks = [
            self.loop.spawn(self._turns, name="tasks: turns"),
            self.loop.spawn(self._watch, name="tasks: offers"),
        ]

    def want(self, name: str, run: Run, term_ms: int = api.TERM_MS, purpose: str = "") -> None:
        """Do the task whenever its lease is held here.

        `run` returns true when the task is over for the whole fleet, false when it shall go to another, and
        raises where it can't be done here: then another gets it, and this controller is passed over a while.
        It is cancelled as soon as the lease is not surely held; where `TaskNotHeld` ends it before, it is
        called again.
        """
        self._runs[name] = run
        self._wanted.set()
        self.post(api.Want(name, term_ms, purpose))

    def unwant(self, name: str) -> None:
        """Do the task no longer; the lease goes to another when its acts have ended."""
        self.post(api.Unwant(name))

    def leave(self, within_ms: float) -> bool:
        """Hand all over; tell whether the record said so in time, or there was nothing to hand over."""
        if not self._runs:
            return True
        self.post(api.Terminate())
        try:
            with self.loop.deadline(within_ms):
                return self.left.wait()
        except TimeoutError:
            return False

    def close(self) -> None:
        """Let go of everything at once; leases lapse by themselves."""
        for task in [*self._tasks, *(running.task for running in self._running.values())]:
            task.cancel()
        if self._timer is not None:
            self._timer.cancel()

    def post(self, event: api.Event) -> None:
        """Hand the holder an event, in its next turn."""
        self._events.append(event)
        self._bell.ring()

    def _turns(self) -> None:
        while True:
            while not self._events:
                self._bell.wait()
            events = list(self._events)
            self._events.clear()
            for action in self.holder.step(self.loop.now(), events):
                self._carry(action)

    def _carry(self, action: api.Action) -> None:
        match action:
            case api.Ask(token, body):
                self.loop.spawn(self._ask, token, body, name="tasks: ask")
            case api.Timer(at):
                if self._timer is not None:
                    self._timer.cancel()
                self._timer = self.loop.at(at, lambda: self.post(api.Woken()))
            case api.Gained(name, fence, checkpoint):
                self.said("gained", {"task": name, "fence": fence})
                self._begin(name, fence, checkpoint)
            case api.Stop(name, _):
                running = self._running.get(name)
                if running is not None:
                    running.held.stop.set()
            case api.Lost(name, fence, why):
                self.said("lost", {"task": name, "fence": fence, "why": why})
                running = self._running.pop(name, None)
                if running is not None:
                    running.held.stop.set()
                    running.task.cancel()
            case api.Refused():
                self.said("lease refused", action.error.told())
            case api.Left(answered):
                self.left.set(answered)

    def _ask(self, token: int, body: bytes) -> None:
        self.counts["asked"] += 1
        try:
            answer, again_ms = self.asker.propose(LEASES, body, ASK_MS), 0.0
        except CouncilError as exc:
            self.counts[exc.code] += 1
            answer, again_ms = None, float(exc.facts.get("again_ms", 0.0))
        self.post(api.Answered(token, answer, again_ms))

    def _begin(self, name: str, fence: int, checkpoint: bytes) -> None:
        before = self._running.pop(name, None)
        if before is not None:  # it was ending, and is wanted here again
            before.held.stop.set()
            before.task.cancel()
        held = Held(self, name, self.holder.guard(name), fence, checkpoint)
        task = self.loop.spawn(self._run, held, name=f"task: {name}")
        self._running[name] = _Running(held, task)

    def _run(self, held: Held) -> None:
        name = held.name
        while True:
            try:
                over = self._runs[name](held)
                break
            except TaskNotHeld:  # too little was left for an act, while a renewal may be on its way
                self.counts["not held"] += 1
                if held.stop.ready:
                    return
                self.loop.sleep(NOT_HELD_MS)
            except (FennelwindError, OSError, TimeoutError) as exc:
                self.counts["failed"] += 1
                told = exc.told() if isinstance(exc, FennelwindError) else {"text": str(exc)}
                self.said("task failed", {"task": name} | told)
                self.post(api.Failed(name))
                return
            except Exception:  # a defect, which the loop reports: with the lease kept here nobody would act
                self.counts["broke"] += 1
                self.post(api.Failed(name))
                raise
        if not held.stop.ready:
            self.post(api.Finished(name) if over else api.Unwant(name))

    def _watch(self) -> None:
        """Hear of offers at once; without a watch they come with the holder's next word."""
        query, seen = pb.Who(name=self.me.name, life=self.me.life).SerializeToString(), b""
        self._wanted.wait()
        while True:
            try:
                answer = self.asker.watch(LEASES, wait_ms=WATCH_MS, query=query, unlike=seen).state
            except CouncilError:
                self.loop.sleep(AGAIN_MS)
                continue
            offers = tuple(pb.LeaseAnswer.FromString(answer).offers)
            if answer != seen and offers:
                self.post(api.Offered(offers))
            seen = answer
