"""One controller's leases: what it wants, holds and asks; `step(now, events) -> actions`, without I/O.

Times are ms on the controller's own clock, which never goes back. All that is due is asked in one command,
one command at a time. A lease counts from the moment at which its command was first sent, never from the
answer; an answer that comes late still counts from its own command. Whatever is unsure is not held.
"""

import math
from dataclasses import dataclass, field
from random import Random

from google.protobuf.message import DecodeError

from fennelwind.leases import leases_pb2 as pb
from fennelwind.leases.errors import LeaseRefused
from fennelwind.leases.fencing import DRIFT, PAUSE_MS, Guard, usable_ms
from fennelwind.leases.state_machine import ASKS_MOST, HEARD_MS, Life

TERM_MS = 10_000  # ms; a task is taken over within some 10 s, and a holder renews every 3.3 s
RENEW_PART = 3.0  # a lease is renewed when this part of its term is over: two more tries fit in
GATHER_PART = 12.0  # what falls due within the term over this goes along
ANSWER_MS = 1000.0  # ms for which an answer is waited for; a change of leader takes some 600
ANSWER_PART = 10.0  # and no longer than the shortest term over this
AGAIN_MS, AGAIN_MOST_MS = 50.0, 2000.0  # ms between tries: first and at most, doubled each time
AGAIN_DOUBLINGS = 6  # beyond it the wait is at its most anyway
WORD_PART = 3.0  # who waits says a word three times within the time after which it is forgotten
REFUSED_MS, REFUSED_MOST_MS = 5000.0, 60_000.0  # ms before a task that the record refused is asked for again
COMMANDS_MOST = 8  # commands without an answer that are remembered
BATCH_MOST = 96 * 1024  # bytes of one command; the record takes 256 KiB
LEAVE_TRIES = 5  # commands to leave before the controller ends without an answer; then its leases lapse


# What happens.


@dataclass(slots=True, frozen=True)
class Want:
    """The controller would do this task."""

    task: str
    term_ms: int = TERM_MS
    purpose: str = ""


@dataclass(slots=True, frozen=True)
class Unwant:
    """It would no longer; a lease is handed over when its acts have ended."""

    task: str


@dataclass(slots=True, frozen=True)
class Offered:
    """A watch says that these tasks are offered to it."""

    tasks: tuple[str, ...]


@dataclass(slots=True, frozen=True)
class Answered:
    """The command's result has come; `body` is a `LeaseAnswer`, None: refused, lost or unreadable."""

    token: int
    body: bytes | None
    again_ms: float = 0.0  # a time to come back that came with a refusal


@dataclass(slots=True, frozen=True)
class Progress:
    """The task has got this far; it goes along with the next renewal."""

    task: str
    checkpoint: bytes


@dataclass(slots=True, frozen=True)
class Failed:
    """The controller can't do the task: its disk is full, it is cut off from the engines."""

    task: str


@dataclass(slots=True, frozen=True)
class Finished:
    """The task is over for the whole fleet: the record forgets it."""

    task: str


@dataclass(slots=True, frozen=True)
class Terminate:
    """The controller is going to end: all is handed over at once, or when its acts have ended."""


@dataclass(slots=True, frozen=True)
class Woken:
    """The time that `Timer` named has come, an act has ended, or nothing in particular."""


Event = Want | Unwant | Offered | Answered | Progress | Failed | Finished | Terminate | Woken


# What is to be done.


@dataclass(slots=True, frozen=True)
class Ask:
    """A `LeaseCommand` for the record. The carrier may send it more than once, as one client's one number."""

    token: int
    body: bytes


@dataclass(slots=True, frozen=True)
class Gained:
    """The task is this controller's to do, through its guard."""

    task: str
    fence: int
    checkpoint: bytes


@dataclass(slots=True, frozen=True)
class Stop:
    """The task has to come to an end here: no act begins any more, those under way should end soon."""

    task: str
    fence: int


@dataclass(slots=True, frozen=True)
class Lost:
    """The task is not, or no longer surely, this controller's."""

    task: str
    fence: int
    why: str  # "lapsed", "taken", "given"


@dataclass(slots=True, frozen=True)
class Refused:
    """The record refuses a task for what was asked; it is asked for again much later."""

    task: str
    refusal: str

    @property
    def error(self) -> LeaseRefused:
        """What an operator is told."""
        return LeaseRefused(
            f"the record refuses {self.task}: {self.refusal}", task=self.task, refusal=self.refusal
        )


@dataclass(slots=True, frozen=True)
class Left:
    """All is handed over, or was tried often enough: the controller may end."""

    told: bool  # the record has answered


@dataclass(slots=True, frozen=True)
class Timer:
    """`Woken` is wanted at this time; the last one counts."""

    at: float


Action = Ask | Gained | Stop | Lost | Refused | Left | Timer


WANTING, WAITING, HELD, ENDING = "wanting", "waiting", "held", "ending"


@dataclass(slots=True)
class _Task:
    term_ms: int
    purpose: str
    guard: Guard
    phase: str = WANTING
    epoch: int = 0  # counts up where an answer under way must no longer give the lease
    ask_at: float = -math.inf  # when it is due to be asked for, renewed, or given up
    renew_at: float = math.inf  # when it is due to be renewed, though it is ending
    fence: int = 0
    checkpoint: bytes | None = None  # to go along with what is asked next
    ending: str = ""  # how: "hand", "spare", "fail", "forget"; "queue": it waits no longer
    wanted: bool = True
    offered: bool = False  # while its place in the queue was being asked for
    refusals: int = 0


@dataclass(slots=True)
class _Sent:
    at: float
    epochs: dict[str, int] = field(default_factory=dict)  # of tasks asked about, in order
    checkpoints: dict[str, bytes] = field(default_factory=dict)  # that go along
    leave: bool = False


class Holder:
    """What one controller holds, in one life."""

    def __init__(self, me: Life, seed: int, drift: float = DRIFT, pause_ms: float = PAUSE_MS) -> None:
        self.me, self.drift, self.pause_ms = me, drift, pause_ms
        self._random = Random(f"leases {seed} {me.name}")
        self._tasks: dict[str, _Task] = {}
        self._sent: dict[int, _Sent] = {}
        self._token = 0
        self._out: int | None = None  # the command whose answer is waited for
        self._tries = 0  # commands in a row that brought no answer
        self._not_before = -math.inf  # the next command
        self._word_at = math.inf  # a word is due, so that its places in queues are kept
        self._leaving = self._left = False
        self._leaves = 0
        self._actions: list[Action] = []

    # Reading.

    def guard(self, task: str) -> Guard:
        """Return the guard of a task that is wanted."""
        return self._tasks[task].guard

    def held(self, now: float) -> list[str]:
        """Return the tasks that are surely held."""
        return sorted(n for n, t in self._tasks.items() if t.guard.fence and now < t.guard.until)

    # Stepping.

    def step(self, now: float, events: list[Event]) -> list[Action]:
        """Take what happened; return what is to be done."""
        self._actions = []
        for event in events:
            self._take(now, event)
        for task in self._tasks.values():
            task.guard.tidy(now)
        self._lapse(now)
        self._ask(now)
        if not self._left:
            at = self._next(now)
            if at < math.inf:
                self._actions.append(Timer(at))
        return self._actions

    def _take(self, now: float, event: Event) -> None:
        match event:
            case Answered():
                self._answered(now, event)
                return
            case Terminate():
                self._leaving = True
                self._unanswered()
                self._not_before = -math.inf  # nothing is waited for
                for name in sorted(self._tasks):
                    self._unwant(name)
                return
            case Want() if not self._leaving:
                task = self._tasks.get(event.task)
                if task is None:
                    self._tasks[event.task] = _Task(
                        event.term_ms, event.purpose, Guard(event.task, self.pause_ms)
                    )
                else:
                    task.term_ms, task.purpose, task.wanted = event.term_ms, event.purpose, True
                return
            case Offered():
                for name in event.tasks:
                    self._confirm(name)
                return
        task = self._tasks.get(event.task) if not isinstance(event, Want | Woken) else None
        if task is None:
            return
        match event:
            case Unwant():
                self._unwant(event.task)
            case Progress():
                task.checkpoint = event.checkpoint
            case Failed() if task.phase == HELD:
                self._end(event.task, task, "fail")
            case Finished() if task.phase == HELD:
                task.wanted = False
                self._end(event.task, task, "forget")

    def _confirm(self, name: str) -> None:
        task = self._tasks.get(name)
        if task is not None and task.phase == WAITING:
            task.phase, task.ask_at = WANTING, -math.inf
        elif task is not None and task.phase == WANTING:
            task.offered = True  # the answer under way may be older than the offer

    def _unwant(self, name: str) -> None:
        task = self._tasks[name]
        task.wanted = False
        if task.fence and task.phase != ENDING:
            self._end(name, task, "hand")
        elif task.phase == ENDING and task.ending == "spare":
            task.ending = "hand"
        elif task.phase != ENDING:
            task.epoch += 1
            task.phase, task.ending, task.ask_at = ENDING, "queue", -math.inf

    def _end(self, name: str, task: _Task, how: str) -> None:
        """Begin to give a lease up: no act begins; it is told when those under way have ended."""
        task.phase, task.ending, task.ask_at = ENDING, how, -math.inf
        task.guard.stop()
        self._actions.append(Stop(name, task.fence))

    def _lose(self, name: str, task: _Task, why: str) -> None:
        self._actions.append(Lost(name, task.fence, why))
        task.guard.close()
        task.fence, task.checkpoint, task.ending = 0, None, ""
        task.epoch += 1
        task.phase, task.ask_at = WANTING, -math.inf
        if not task.wanted:
            del self._tasks[name]

    def _lapse(self, now: float) -> None:
        for name, task in sorted(self._tasks.items()):
            if task.fence and now >= task.guard.until:
                self._lose(name, task, "lapsed")

    # Answers.

    def _answered(self, now: float, event: Answered) -> None:
        sent, answer, current = self._sent.get(event.token), _read(event.body), event.token == self._out
        if sent is None:
            return
        if current and answer is None:
            self._unanswered()
            self._later(now, event.again_ms)
        if answer is None:
            return
        del self._sent[event.token]
        if current:
            self._out, self._tries, self._not_before = None, 0, -math.inf
        if sent.leave and not answer.refusal:
            self._finish(True)
            return
        if answer.refusal:
            for name in sent.epochs:
                if name in self._tasks:
                    self._refused(now, name, self._tasks[name], answer.refusal)
            return
        self._word_at = now + HEARD_MS * (1.0 - self.drift) / WORD_PART
        for (name, epoch), told in zip(sent.epochs.items(), answer.told, strict=False):
            task = self._tasks.get(name)
            if task is not None and task.epoch == epoch:
                self._told(now, sent, name, task, told)
        for name in answer.offers:
            self._confirm(name)
        waiting = [name for name, task in self._tasks.items() if task.phase == WAITING]
        if current and len(waiting) != answer.waits:  # a place was lost, or one is kept that is not wanted
            for name in waiting:
                self._confirm(name)

    def _told(self, now: float, sent: _Sent, name: str, task: _Task, told: pb.Told) -> None:
        is_of_a_queue = (
            told.state == pb.Told.WAITING
            or told.state == pb.Told.FREE
            and told.refusal not in (pb.NONE, pb.NOT_HOLDER)
        )
        if task.fence and is_of_a_queue:
            return  # a late answer to an ask from before it was gained
        if told.refusal and told.refusal != pb.NOT_HOLDER and not (task.fence and told.state == pb.Told.HELD):
            self._refused(now, name, task, told.refusal)
        elif told.state == pb.Told.HELD and told.term_ms:
            self._holds(now, sent, name, task, told)
        elif told.refusal and told.state == pb.Told.HELD:  # still held; what went along is refused
            self._actions.append(Refused(name, pb.Refusal.Name(told.refusal)))
            task.checkpoint, task.ask_at = None, -math.inf
        elif task.fence and told.refusal:
            self._lose(name, task, "taken")
        elif task.phase == ENDING:
            if task.fence:
                self._lose(name, task, "given")
            elif not task.wanted:
                del self._tasks[name]
            else:
                task.phase, task.ask_at = WANTING, -math.inf
        elif told.state == pb.Told.WAITING:
            task.phase, task.refusals, task.ask_at = WAITING, 0, math.inf
            if task.offered:
                self._confirm(name)
            task.offered = False

    def _holds(self, now: float, sent: _Sent, name: str, task: _Task, told: pb.Told) -> None:
        usable = usable_ms(told.term_ms, self.drift)
        until = sent.at + usable
        if told.fence < task.fence:
            return
        if task.fence and task.fence != told.fence:
            self._lose(name, task, "taken")  # ended and begun anew: acts of the old fence are over
            if name not in self._tasks:
                return
        if now >= until and not task.fence:  # the answer came too late to count on
            task.phase, task.ask_at = WANTING, -math.inf
            return
        fresh, task.offered = not task.fence, False
        task.fence, task.refusals = told.fence, 0
        task.renew_at = sent.at + told.term_ms / RENEW_PART
        if task.checkpoint is sent.checkpoints.get(name):
            task.checkpoint = None
        if task.phase == ENDING and (task.ending != "spare" or told.spare):
            task.guard.allow(told.fence, until, 0.0)
            return
        was_ending = task.phase == ENDING  # the one who would have had it has got enough meanwhile
        task.guard.allow(told.fence, until, usable)
        task.phase, task.ending, task.ask_at = HELD, "", task.renew_at
        if fresh or was_ending:
            self._actions.append(Gained(name, told.fence, told.checkpoint))
        elif told.spare:
            self._end(name, task, "spare")

    def _refused(self, now: float, name: str, task: _Task, refusal: int) -> None:
        self._actions.append(Refused(name, pb.Refusal.Name(refusal)))
        wait = min(REFUSED_MS * 2 ** min(task.refusals, 8), REFUSED_MOST_MS)
        task.refusals += 1
        task.ask_at = now + wait * (0.5 + self._random.random() / 2)
        if task.phase == ENDING and not task.fence and not task.wanted:
            del self._tasks[name]

    # Asking.

    def _later(self, now: float, again_ms: float = 0.0) -> None:
        grown = AGAIN_MS * 2 ** min(self._tries, AGAIN_DOUBLINGS)
        wait = min(grown, AGAIN_MOST_MS, self._shortest() / ANSWER_PART)
        self._tries += 1
        self._not_before = now + max(wait, min(again_ms, AGAIN_MOST_MS)) * (0.5 + self._random.random() / 2)

    def _shortest(self) -> float:
        return min((task.term_ms for task in self._tasks.values()), default=TERM_MS)

    def _answer_ms(self) -> float:
        return min(ANSWER_MS, self._shortest() / ANSWER_PART)

    def _due_at(self, task: _Task) -> float:
        if task.phase == ENDING and task.fence and task.guard.acts:
            over = max(act.ends_by for act in task.guard.acts.values()) + task.guard.pause_ms
            return min(task.renew_at, math.nextafter(over, math.inf))
        return task.ask_at

    def _busy(self) -> bool:
        return any(task.fence and task.guard.acts for task in self._tasks.values())

    def _word_due(self) -> float:
        return self._word_at if any(task.phase == WAITING for task in self._tasks.values()) else math.inf

    def _ask(self, now: float) -> None:
        if self._left:
            return
        if self._out is not None:
            if now < self._sent[self._out].at + self._answer_ms():
                return
            self._unanswered()
            self._later(now)
        if now < self._not_before:
            return
        if self._leaving and not self._busy():
            self._leave(now)
            return
        due = [name for name, task in sorted(self._tasks.items()) if self._due_at(task) <= now]
        if due:
            due = [
                name
                for name, task in sorted(self._tasks.items())
                if self._due_at(task) <= now
                or task.phase == HELD
                and task.ask_at - task.term_ms / GATHER_PART <= now
            ]
        elif now < self._word_due():
            return
        command, sent, size = pb.LeaseCommand(by=pb.Who(name=self.me.name, life=self.me.life)), _Sent(now), 0
        for name in due:
            task = self._tasks[name]
            ask = self._asks(name, task)
            size += ask.ByteSize()
            if command.asks and (size > BATCH_MOST or len(command.asks) >= ASKS_MOST):
                break
            command.asks.append(ask)
            if ask.WhichOneof("what") not in ("renew", "gain"):
                task.epoch += 1  # an answer to what was asked before must not give the lease again
            sent.epochs[name] = task.epoch
            if task.checkpoint is not None:
                sent.checkpoints[name] = task.checkpoint
        self._send(now, command, sent)

    def _unanswered(self) -> None:
        """Wait no longer; a command on its way may still be done, so what it gives up is never taken back."""
        for name in self._sent[self._out].epochs if self._out is not None else ():
            task = self._tasks.get(name)
            if task is not None and task.ending == "spare" and not task.guard.acts:
                task.ending = "hand"
        self._out = None

    def _asks(self, name: str, task: _Task) -> pb.LeaseAsk:
        fence, checkpoint = task.fence, task.checkpoint
        if task.phase == HELD or task.phase == ENDING and task.fence and task.guard.acts:
            return pb.LeaseAsk(task=name, renew=pb.Renew(fence=fence, checkpoint=checkpoint))
        match task.phase, task.ending:
            case ("ending", "hand"):
                return pb.LeaseAsk(task=name, hand_over=pb.HandOver(fence=fence, checkpoint=checkpoint))
            case ("ending", "spare"):
                return pb.LeaseAsk(
                    task=name, hand_over=pb.HandOver(fence=fence, checkpoint=checkpoint, only_spare=True)
                )
            case ("ending", "fail"):
                return pb.LeaseAsk(
                    task=name, give_up=pb.GiveUp(fence=fence, reason=pb.GiveUp.CANNOT, checkpoint=checkpoint)
                )
            case ("ending", "forget"):
                return pb.LeaseAsk(task=name, forget=pb.Forget(fence=fence))
            case ("ending", _):
                return pb.LeaseAsk(task=name, give_up=pb.GiveUp())
        return pb.LeaseAsk(task=name, gain=pb.Gain(term_ms=task.term_ms, purpose=task.purpose))

    def _leave(self, now: float) -> None:
        if self._leaves >= LEAVE_TRIES:
            self._finish(False)
            return
        self._leaves += 1
        command = pb.LeaseCommand(by=pb.Who(name=self.me.name, life=self.me.life), leave=True)
        for name, task in sorted(self._tasks.items()):
            if task.fence and task.checkpoint is not None and command.ByteSize() < BATCH_MOST:
                command.asks.append(self._asks(name, task))
        self._send(now, command, _Sent(now, leave=True))

    def _finish(self, told: bool) -> None:
        for name, task in sorted(self._tasks.items()):
            if task.fence:
                self._actions.append(Lost(name, task.fence, "given"))
            task.guard.close()
        self._tasks.clear()
        self._left = True
        self._actions.append(Left(told))

    def _send(self, now: float, command: pb.LeaseCommand, sent: _Sent) -> None:
        self._token += 1
        self._out, self._sent[self._token] = self._token, sent
        while len(self._sent) > COMMANDS_MOST:
            del self._sent[next(iter(self._sent))]
        self._actions.append(Ask(self._token, command.SerializeToString(deterministic=True)))

    def _next(self, now: float) -> float:
        """Return when something is to be done if nothing happens."""
        lapses = min((task.guard.until for task in self._tasks.values() if task.fence), default=math.inf)
        if self._out is not None:
            return min(lapses, self._sent[self._out].at + self._answer_ms())
        due = min((self._due_at(task) for task in self._tasks.values()), default=math.inf)
        if self._leaving and not self._busy():
            due = now
        return min(lapses, max(min(due, self._word_due()), self._not_before, now))


def _read(body: bytes | None) -> pb.LeaseAnswer | None:
    try:
        return None if body is None else pb.LeaseAnswer.FromString(body)
    except DecodeError:
        return None
