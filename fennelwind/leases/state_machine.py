"""Who holds which task of the fleet, until when on the record's clock, and who is next.

A fence is the record's index of the grant, so it rises over everything, whatever is forgotten. A lease that
frees is offered to one who waits and to nobody else; the offer counts only when it is confirmed, so that its
holder can count its time from before it asked.
"""

import heapq
from collections import Counter
from dataclasses import dataclass, field
from typing import NamedTuple

from google.protobuf.message import DecodeError

from fennelwind.leases import leases_pb2 as pb
from fennelwind.raft.state_machine import At, Facts, UnreadableCommandError

ASKS_MOST = 512  # asks of one command; a controller wants some fifty tasks
TASKS_MOST = 4096  # tasks; a thousand tables and the fleet's own, four times over
WAITERS_MOST = 256  # who wait for one task; a fleet has two hundred controllers
WAITS_MOST = 32_768  # who wait for all tasks; some 60 bytes each in a snapshot
NAME_MOST = 256  # bytes of a task's or a controller's name
LIFE_MOST = 32  # bytes of a life
PURPOSE_MOST = 256  # bytes
CHECKPOINT_MOST = 4096  # bytes of one task: a place to go on from, not the work itself
CHECKPOINTS_MOST = 4 * 1024 * 1024  # bytes of all tasks, so that a snapshot stays small
TERM_LEAST_MS, TERM_MOST_MS = 300, 600_000  # ms; shorter can't be renewed over an election, longer idles
OFFER_PART = 2  # an offer stands for the term over this: a dead one at the head costs half a term
HEARD_MS = 30_000  # ms without a word after which one waits no longer
QUIET_MS = HEARD_MS // 2  # ms without a word after which others come first; a word comes every 8 to 12 s
ASIDE_MS, ASIDE_MOST_MS = 2000, 120_000  # ms for which one that failed is passed over: first, and at most
ASIDE_DOUBLINGS = 6  # 2 s to 128 s, which the bound cuts to 120 s
ASIDES_MOST = 64  # remembered for one task; the one that ends first goes first
SPARE_LEAST = 2  # leases more than one who waits has; with 1 the two would hand it to and fro


class Life(NamedTuple):
    """A controller in one of its lives."""

    name: str
    life: bytes


@dataclass(slots=True)
class _Waiter:
    term_ms: int
    purpose: str


@dataclass(slots=True)
class _Aside:
    failures: int
    until_ms: int


@dataclass(slots=True)
class _Task:
    holder: Life | None = None  # or who is offered it
    fence: int = 0  # 0: free or offered
    term_ms: int = 0
    until_ms: int = 0
    purpose: str = ""
    checkpoint: bytes = b""
    revision: int = 0
    waiters: dict[Life, _Waiter] = field(default_factory=dict)  # in the order in which they asked
    asides: dict[str, _Aside] = field(default_factory=dict)  # by controller's name


class View(NamedTuple):
    """A task as anybody may see it."""

    holder: str  # "": nobody
    fence: int  # 0: nobody holds it; with a holder's name, it is offered
    until_ms: int
    purpose: str
    checkpoint: bytes
    revision: int
    waiting: tuple[str, ...]
    asides: dict[str, int]  # until when whom to pass over, by name


class LeaseMachine:
    """The machine of leases."""

    name, kinds = "leases", ("fence",)

    def __init__(self) -> None:
        self._clear()

    def _clear(self) -> None:
        self.revision = 0  # index of the last change
        self._tasks: dict[str, _Task] = {}
        self._heard: dict[Life, int] = {}  # who waits for anything, and when it last said a word
        # What follows is made from the above.
        self._waits: Counter[Life] = Counter()
        self._holds: Counter[str] = Counter()  # leases held by or offered to a controller, in whichever life
        self._offers: dict[Life, dict[str, None]] = {}
        self._kept = 0  # bytes of all checkpoints
        self._heap: list[tuple[int, str, str, bytes]] = []  # when to look at what; may be early, never late
        self._planned: dict[tuple[str, str, bytes], int] = {}

    # Reading.

    def fact(self, kind: str, key: str) -> int:
        """Return the fence of the task's present holder; 0: nobody holds it."""
        task = self._tasks.get(key)
        return task.fence if task is not None else 0

    def view(self, name: str) -> View | None:
        """Return how a task stands; None: nothing is known of it."""
        task = self._tasks.get(name)
        if task is None:
            return None
        return View(
            task.holder.name if task.holder else "",
            task.fence,
            task.until_ms,
            task.purpose,
            task.checkpoint,
            task.revision,
            tuple(who.name for who in task.waiters),
            {who: aside.until_ms for who, aside in sorted(task.asides.items())},
        )

    def tasks(self) -> list[str]:
        """Return the names of all tasks."""
        return sorted(self._tasks)

    def offers(self, who: Life) -> tuple[str, ...]:
        """Return the tasks that are offered to a controller: what a watcher is told when it changes."""
        return tuple(sorted(self._offers.get(who, ())))

    # Commands.

    def apply(self, at: At, command: bytes, facts: Facts) -> bytes:
        """Carry out a `LeaseCommand`; return a `LeaseAnswer`."""
        try:
            asked = pb.LeaseCommand.FromString(command)
        except DecodeError as exc:
            raise UnreadableCommandError("not a command of leases") from exc
        by = Life(asked.by.name, asked.by.life)
        refusal = _refusal(asked)
        if refusal:
            return pb.LeaseAnswer(refusal=refusal, revision=self.revision).SerializeToString(
                deterministic=True
            )
        if by in self._heard:
            self._heard[by] = at.clock_ms
        answer = pb.LeaseAnswer(told=[self._ask(at, by, ask) for ask in asked.asks])
        if asked.leave:
            self._leave(at, by)
        answer.offers.extend(self.offers(by))
        answer.revision, answer.waits = self.revision, self._waits.get(by, 0)
        return answer.SerializeToString(deterministic=True)

    def _ask(self, at: At, by: Life, ask: pb.LeaseAsk) -> pb.Told:
        name, what = ask.task, ask.WhichOneof("what")
        if what is None:
            return pb.Told(refusal=pb.NOTHING_ASKED)
        if not 0 < len(name.encode()) <= NAME_MOST:
            return pb.Told(refusal=pb.TOO_LARGE)
        if what == "gain":
            return self._gain(at, by, name, ask.gain)
        told = getattr(ask, what)
        task = self._tasks.get(name)
        if what == "forget":
            return self._forget(at, by, name, task, told.fence)
        if what == "give_up" and not told.fence:
            return self._wait_no_longer(at, by, name, task)
        if task is None or task.holder != by or not task.fence or task.fence != told.fence:
            holder = task.holder.name if task is not None and task.holder else ""
            return pb.Told(refusal=pb.NOT_HOLDER, holder=holder)
        if told.HasField("checkpoint"):
            if len(told.checkpoint) > CHECKPOINT_MOST:
                return self._held(task, pb.TOO_LARGE)
            grown = len(told.checkpoint) - len(task.checkpoint)
            if grown > 0 and self._kept + grown > CHECKPOINTS_MOST:
                return self._held(task, pb.NO_ROOM)
        if what == "hand_over" and told.to and not any(who.name == told.to for who in task.waiters):
            return self._held(task, pb.NOT_WAITING)
        if told.HasField("checkpoint"):
            self._keep(task, told.checkpoint)
        if what == "renew" or what == "hand_over" and told.only_spare and not self._spare(at, task):
            return self._renewed(at, name, task)
        if what == "give_up" and told.reason == pb.GiveUp.CANNOT:
            self._failed(at, task, by.name)
        self._free(at, name, task, told.to if what == "hand_over" else "")
        return pb.Told(holder=task.holder.name if task.holder else "")

    def _gain(self, at: At, by: Life, name: str, gain: pb.Gain) -> pb.Told:
        if not TERM_LEAST_MS <= gain.term_ms <= TERM_MOST_MS:
            return pb.Told(refusal=pb.BAD_TERM)
        if len(gain.purpose.encode()) > PURPOSE_MOST:
            return pb.Told(refusal=pb.TOO_LARGE)
        task = self._tasks.get(name)
        if task is not None and task.holder == by:  # a new fence: no late command of the old one ends it
            return self._grant(at, by, name, task, _Waiter(gain.term_ms, gain.purpose))
        if task is None:
            if len(self._tasks) >= TASKS_MOST:
                return pb.Told(refusal=pb.TOO_MANY_TASKS)
            task = self._tasks[name] = _Task()
        aside = task.asides.get(by.name)
        if task.holder is None and (aside is None or aside.until_ms <= at.clock_ms):
            return self._grant(at, by, name, task, _Waiter(gain.term_ms, gain.purpose))
        if by not in task.waiters:
            for who in [who for who in task.waiters if who.name == by.name]:
                self._unqueue(at, name, task, who)  # an earlier life's place
            if len(task.waiters) >= WAITERS_MOST or self._waits.total() >= WAITS_MOST:
                return pb.Told(refusal=pb.TOO_MANY_WAITERS)
            self._waits[by] += 1
            self._heard[by] = at.clock_ms
            self._plan("heard", by.name, by.life)
            self._changed(at, name, task)
        task.waiters[by] = _Waiter(gain.term_ms, gain.purpose)
        self._plan("task", name)
        return pb.Told(
            state=pb.Told.WAITING,
            ahead=list(task.waiters).index(by),
            aside_ms=max(0, aside.until_ms - at.clock_ms) if aside is not None else 0,
            holder=task.holder.name if task.holder else "",
        )

    def _grant(self, at: At, by: Life, name: str, task: _Task, wish: _Waiter) -> pb.Told:
        if by in task.waiters:
            self._unqueue(at, name, task, by)
        if task.holder is None:
            self._holds[by.name] += 1
        self._offered(by, name, False)
        kept = task.until_ms if task.fence else 0  # of its own lease; an offer's end is none
        task.holder, task.fence, task.term_ms, task.purpose = by, at.index, wish.term_ms, wish.purpose
        task.until_ms = max(kept, at.clock_ms + wish.term_ms)
        self._changed(at, name, task)
        return pb.Told(
            state=pb.Told.HELD,
            fence=task.fence,
            term_ms=task.term_ms,
            checkpoint=task.checkpoint,
            spare=self._spare(at, task),
            holder=by.name,
        )

    def _renewed(self, at: At, name: str, task: _Task) -> pb.Told:
        task.until_ms = max(task.until_ms, at.clock_ms + task.term_ms)
        self._plan("task", name)
        return pb.Told(
            state=pb.Told.HELD,
            fence=task.fence,
            term_ms=task.term_ms,
            spare=self._spare(at, task),
            holder=task.holder.name,
        )

    def _held(self, task: _Task, refusal: int) -> pb.Told:
        """Refuse, and lengthen nothing: a term of 0 gives its holder no time."""
        return pb.Told(refusal=refusal, state=pb.Told.HELD, fence=task.fence, holder=task.holder.name)

    def _forget(self, at: At, by: Life, name: str, task: _Task | None, fence: int) -> pb.Told:
        if task is None:
            return pb.Told()
        mine = task.holder == by and task.fence and task.fence == fence
        if task.holder is not None and not mine:
            return pb.Told(refusal=pb.NOT_HOLDER, holder=task.holder.name)
        for who in list(task.waiters):
            self._unqueue(at, name, task, who)
        self._release(name, task)
        self._keep(task, b"")
        task.asides.clear()
        self._changed(at, name, task)
        return pb.Told()

    def _wait_no_longer(self, at: At, by: Life, name: str, task: _Task | None) -> pb.Told:
        if task is not None and by in task.waiters:
            self._unqueue(at, name, task, by)
            self._changed(at, name, task)
        elif task is not None and task.holder == by and not task.fence:
            self._free(at, name, task)
        return pb.Told()

    def _leave(self, at: At, by: Life) -> None:
        for name in sorted(self._tasks):
            task = self._tasks[name]
            if by in task.waiters:
                self._unqueue(at, name, task, by)
                self._changed(at, name, task)
            elif task.holder == by:
                self._free(at, name, task)

    # Time.

    def due(self) -> int | None:
        """Return when a lease, an offer, a wait or a time aside ends next."""
        while self._heap:
            at, *rest = self._heap[0]
            key = tuple(rest)
            if self._planned.get(key) == at:
                really = self._ends(*key)
                if really == at:
                    return at
                del self._planned[key]
                heapq.heappop(self._heap)
                self._plan(*key)
            else:
                heapq.heappop(self._heap)
        return None

    def pass_time(self, at: At) -> None:
        """Let lapse what is due."""
        while (due := self.due()) is not None and due <= at.clock_ms:
            _, kind, name, life = self._heap[0]
            if kind == "heard":
                self._silent(at, Life(name, life))
            else:
                self._lapse(at, name, self._tasks[name])

    def _silent(self, at: At, who: Life) -> None:
        for name in sorted(self._tasks):
            if who in self._tasks[name].waiters:
                self._unqueue(at, name, self._tasks[name], who)
                self._changed(at, name, self._tasks[name])

    def _lapse(self, at: At, name: str, task: _Task) -> None:
        if task.holder is not None:
            if task.fence:  # an offer may have been lost on its way; that is nothing against anybody
                self._failed(at, task, task.holder.name)
            self._free(at, name, task)
            return
        over = [who for who, aside in task.asides.items() if aside.until_ms + ASIDE_MOST_MS <= at.clock_ms]
        for who in over:
            del task.asides[who]
        self._offer(at, name, task)
        self._changed(at, name, task)

    def _ends(self, kind: str, name: str, life: bytes) -> int | None:
        """Return when something happens next to a task, or to one who waits, if nothing is asked."""
        if kind == "heard":
            heard = self._heard.get(Life(name, life))
            return None if heard is None else heard + HEARD_MS
        task = self._tasks.get(name)
        if task is None:
            return None
        if task.holder is not None:
            return task.until_ms
        ends = [task.asides[who.name].until_ms if who.name in task.asides else 0 for who in task.waiters]
        ends += [aside.until_ms + ASIDE_MOST_MS for aside in task.asides.values()]
        return min(ends, default=None)

    def _plan(self, kind: str, name: str, life: bytes = b"") -> None:
        key, at = (kind, name, life), self._ends(kind, name, life)
        planned = self._planned.get(key)
        if at is not None and (planned is None or at < planned):
            self._planned[key] = at
            heapq.heappush(self._heap, (at, *key))

    # What both bring about.

    def _free(self, at: At, name: str, task: _Task, to: str = "") -> None:
        self._release(name, task)
        self._offer(at, name, task, to)
        self._changed(at, name, task)

    def _release(self, name: str, task: _Task) -> None:
        if task.holder is not None:
            self._holds[task.holder.name] -= 1
            if not self._holds[task.holder.name]:
                del self._holds[task.holder.name]
            self._offered(task.holder, name, False)
        task.holder, task.fence, task.term_ms, task.until_ms, task.purpose = None, 0, 0, 0, ""

    def _offer(self, at: At, name: str, task: _Task, to: str = "") -> None:
        """Offer a free lease to who is named, or said a word lately, holds fewest and asked first.

        Not to one who is passed over.
        """
        able = [who for who in task.waiters if self._able(at, task, who)]
        if to:
            able = [who for who in task.waiters if who.name == to]
        if not able:
            return
        who = min(
            able, key=lambda who: (at.clock_ms - self._heard[who] > QUIET_MS, self._holds.get(who.name, 0))
        )
        wish = task.waiters[who]
        self._unqueue(at, name, task, who)
        task.holder, task.term_ms, task.purpose = who, wish.term_ms, wish.purpose
        task.until_ms = at.clock_ms + wish.term_ms // OFFER_PART
        self._holds[who.name] += 1
        self._offered(who, name, True)

    def _able(self, at: At, task: _Task, who: Life) -> bool:
        aside = task.asides.get(who.name)
        return aside is None or aside.until_ms <= at.clock_ms

    def _spare(self, at: At, task: _Task) -> bool:
        mine = self._holds[task.holder.name]
        return mine >= SPARE_LEAST and any(
            mine - self._holds.get(who.name, 0) >= SPARE_LEAST and self._able(at, task, who)
            for who in task.waiters
        )

    def _failed(self, at: At, task: _Task, name: str) -> None:
        aside = task.asides.setdefault(name, _Aside(0, 0))
        if aside.until_ms + ASIDE_MOST_MS <= at.clock_ms:
            aside.failures = 0
        aside.until_ms = at.clock_ms + min(ASIDE_MS << aside.failures, ASIDE_MOST_MS)
        aside.failures = min(aside.failures + 1, ASIDE_DOUBLINGS)
        if len(task.asides) > ASIDES_MOST:
            del task.asides[min(task.asides, key=lambda who: (task.asides[who].until_ms, who))]

    def _unqueue(self, at: At, name: str, task: _Task, who: Life) -> None:
        del task.waiters[who]
        self._waits[who] -= 1
        if not self._waits[who]:
            del self._waits[who], self._heard[who]

    def _offered(self, who: Life, name: str, is_offered: bool) -> None:
        if is_offered:
            self._offers.setdefault(who, {})[name] = None
        elif name in self._offers.get(who, ()):
            del self._offers[who][name]
            if not self._offers[who]:
                del self._offers[who]

    def _keep(self, task: _Task, checkpoint: bytes) -> None:
        self._kept += len(checkpoint) - len(task.checkpoint)
        task.checkpoint = checkpoint

    def _changed(self, at: At, name: str, task: _Task) -> None:
        task.revision = self.revision = at.index
        if task.holder is None and not (task.waiters or task.asides or task.checkpoint):
            self._tasks.pop(name, None)
        else:
            self._plan("task", name)

    # Snapshots.

    def snapshot(self) -> bytes:
        """Return all state; equal states give equal bytes."""
        state = pb.LeaseState(revision=self.revision)
        for name, task in sorted(self._tasks.items()):
            told = state.tasks.add(
                name=name,
                fence=task.fence,
                term_ms=task.term_ms,
                until_ms=task.until_ms,
                purpose=task.purpose,
                checkpoint=task.checkpoint,
                revision=task.revision,
            )
            if task.holder is not None:
                told.holder.CopyFrom(_who(task.holder))
            for who, wish in task.waiters.items():
                told.waiters.add(who=_who(who), term_ms=wish.term_ms, purpose=wish.purpose)
            for who, aside in sorted(task.asides.items()):
                told.asides.add(name=who, failures=aside.failures, until_ms=aside.until_ms)
        for who, at_ms in sorted(self._heard.items()):
            state.heard.add(who=_who(who), at_ms=at_ms)
        return state.SerializeToString(deterministic=True)

    def restore(self, data: bytes) -> None:
        """Take a snapshot's state in place of its own."""
        state = pb.LeaseState.FromString(data)
        self._clear()
        self.revision = state.revision
        for told in state.tasks:
            holder = Life(told.holder.name, told.holder.life) if told.HasField("holder") else None
            task = self._tasks[told.name] = _Task(
                holder, told.fence, told.term_ms, told.until_ms, told.purpose, told.checkpoint, told.revision
            )
            for waiter in told.waiters:
                who = Life(waiter.who.name, waiter.who.life)
                task.waiters[who] = _Waiter(waiter.term_ms, waiter.purpose)
                self._waits[who] += 1
            task.asides = {aside.name: _Aside(aside.failures, aside.until_ms) for aside in told.asides}
            self._kept += len(task.checkpoint)
            if holder is not None:
                self._holds[holder.name] += 1
                if not task.fence:
                    self._offered(holder, told.name, True)
        for heard in state.heard:
            self._heard[Life(heard.who.name, heard.who.life)] = heard.at_ms
        for name in sorted(self._tasks):
            self._plan("task", name)
        for who in sorted(self._heard):
            self._plan("heard", who.name, who.life)


def _who(who: Life) -> pb.Who:
    return pb.Who(name=who.name, life=who.life)


def _refusal(asked: pb.LeaseCommand) -> int:
    """Return what is against a command as a whole."""
    if len(asked.asks) > ASKS_MOST:
        return pb.TOO_MANY_ASKS
    if not 0 < len(asked.by.name.encode()) <= NAME_MOST or len(asked.by.life) > LIFE_MOST:
        return pb.TOO_LARGE
    if len({ask.task for ask in asked.asks}) < len(asked.asks):
        return pb.NAMED_TWICE
    return pb.NONE
