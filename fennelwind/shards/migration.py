"""Carries moves out for the holder of the lease `moves`. No I/O and no clock: events in, actions out.

`Carrier.step(now, events) -> actions`, times in ms of the holder's own clock. All that must outlive the
holder is on the record: a move's step there says which statements may have been sent, and the next holder
goes on from it or undoes it. What is kept here (tokens, waits, what a check found) may be lost at any time.

What holds, with every statement and command that can be lost, doubled, late or without an answer:

- a statement is sent only after the step that allows it was seen on the record
- an outcome that is not known is looked at by a check before anything is repeated, and repeats do no harm
- a copy is loaded or checked only after every drop that may be on its way to it has ended: answered, or given
  up by the engine itself, whose time-out it carries. A new holder takes the last one's to be on their way.
  In the same way a half copy is dropped, and its space given back, only after loads of it have ended
- all of its statements carry the fence
"""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from fennelwind.shards import migration_statements, transfer_throttle
from fennelwind.shards import shards_pb2 as pb
from fennelwind.shards.model import Bounds, Migration, MigrationPlan, ReplicaHost, Shard, World
from fennelwind.shards.state_machine import HOUR_MS, MAX_ENTRIES_PER_COMMAND, MAX_MIGRATIONS, ShardMachine

Step, Answer = pb.Step, pb.Answer
NEW = 2**62  # numbers of moves in a plan from here on, apart from the record's
LATE = 5.0  # times the wait for an answer for which a command without one may still be done
CHECKS_AT_ONCE = 8  # checks of copies in doubt that are under way
LATER = (Answer.CHANGING, Answer.WAITS)  # refusals that pass by themselves


@dataclass(slots=True, frozen=True)
class Timing:
    """How long a holder waits, in ms, and how often it tries."""

    answer_ms: float = 5_000.0  # for the record's answer to a command
    drop_ms: float = 30_000.0  # for a drop; the engine's own time-out as well
    check_ms: float = 120_000.0  # for a count and checksum
    copy_ms: float = 60_000.0  # for an export or import, and
    slowest: float = 10_000.0  # bytes per ms that it may count on besides
    slack_ms: float = 5_000.0  # from an engine's time-out until the statement is taken to have ended
    finish_ms: float = 60_000.0  # for queries on a copy that leaves, behind its rest
    again_ms: float = 1_000.0  # until a failed statement is repeated; it doubles
    again_most_ms: float = 60_000.0
    tries: int = 5  # of one statement or one attempt at a copy, then the move is undone
    plan_ms: float = 5_000.0  # between plans, when something has changed
    plan_most_ms: float = 60_000.0  # and when nothing has but heat
    planning_ms: float = 60_000.0  # for a plan to be made; 20,000 shards take 2 s of a processor


# What happens.


@dataclass(slots=True, frozen=True)
class StateUpdated:
    """The record up to this index is in the holder's copy of the machine; `frozen`: tables under change."""

    index: int
    machine: ShardMachine
    frozen: frozenset[str] = frozenset()


@dataclass(slots=True, frozen=True)
class CommandAnswered:
    """What became of a command; None: nobody knows."""

    token: int
    answer: pb.Answer | None
    index: int = 0  # of the entry that did it


@dataclass(slots=True, frozen=True)
class StatementEnded:
    """What became of a statement: `ok`, `failed` (the engine says so) or `unknown`; a check's two figures."""

    token: int
    outcome: str
    rows: int = 0
    checksum: int = 0


@dataclass(slots=True, frozen=True)
class EnginesReported:
    """News of engines; `held`: the shards that an engine lists, where it was asked."""

    homes: tuple[ReplicaHost, ...]
    held: dict[str, frozenset[str]] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class ReplicaQuiesced:
    """All who may send queries keep them away from a copy that is leaving, and none runs there."""

    shard: str
    engine: str
    move: int


@dataclass(slots=True, frozen=True)
class PlanCompleted:
    """A plan was made."""

    token: int
    planned: MigrationPlan


Event = StateUpdated | CommandAnswered | StatementEnded | EnginesReported | ReplicaQuiesced | PlanCompleted


# What is to be done.


@dataclass(slots=True, frozen=True)
class ProposeCommand:
    """A command for the machine of shards; `Proposed` with this token follows."""

    token: int
    command: bytes


@dataclass(slots=True, frozen=True)
class RunStatement:
    """A statement for an engine; `Ended` with this token follows, by the deadline at the latest."""

    token: int
    engine: str
    statement: str
    overlay: dict[str, str]
    timeout_ms: float


@dataclass(slots=True, frozen=True)
class CancelStatement:
    """A statement has taken too long: it is to be cancelled."""

    token: int


@dataclass(slots=True, frozen=True)
class ComputePlan:
    """A world to be planned beside all else, which nobody changes. `Made` with this token follows."""

    token: int
    world: World
    bounds: Bounds


@dataclass(slots=True, frozen=True)
class WakeAt:
    """A step is wanted at this time."""

    at: float


@dataclass(slots=True, frozen=True)
class LeaseLost:
    """Another holds the lease: nothing more comes from here."""


Action = ProposeCommand | RunStatement | CancelStatement | ComputePlan | WakeAt | LeaseLost


@dataclass(slots=True)
class _Asked:
    """A command or statement without its answer."""

    owner: object  # a move's number, a pair of shard and engine in doubt, or None
    kind: str
    until: float
    pair: tuple[str, str] | None = None  # shard and engine of a statement
    seen: int = 0  # entry up to which the record was seen when it was sent
    source: str = ""  # that a copy is to be read from, where it is to begin


@dataclass(slots=True)
class _Work:
    """What the holder itself knows of a move."""

    phase: str = ""  # of the copying: "clear", "export", "import", "verify"
    attempt: int = 0  # the one that the phase belongs to
    tries: int = 0  # of what is being tried now
    wait_until: float = 0.0
    since: float = 0.0  # when it was first seen at this step
    step: str = ""
    source: tuple[int, int] | None = None  # what checks found
    target: tuple[int, int] | None = None
    source_lost: bool = False
    quiet: bool = False  # no query runs on the copy that leaves
    rested_at: float = -1.0  # when it was seen to have rested


class MigrationDriver:
    """The holder's part; one for each time that the lease is gained."""

    def __init__(
        self,
        fence: int,
        since_index: int,
        staging: str,
        bounds: Bounds | None = None,
        timing: Timing | None = None,
    ) -> None:
        self.fence, self.since_index, self.staging = fence, since_index, staging
        self.bounds, self.timing = bounds or Bounds(), timing or Timing()
        self.machine: ShardMachine | None = None
        self.frozen: frozenset[str] = frozenset()
        self.planned = MigrationPlan()
        self.over = False
        self._index = 0
        self._need_index = since_index  # what is done was answered from there: an older copy is not acted on
        self._token = 0
        self._asked: dict[int, _Asked] = {}
        self._work: dict[int, _Work] = {}
        self._doubts: dict[tuple[str, str], tuple[int, float]] = {}  # pairs to check: tries, not before
        self._doubts_of = -1  # changes up to which copies in doubt were looked for
        self._begins: tuple[int, ...] | None = None  # planned moves that may begin in this step
        self._late: dict[int, tuple[str, float]] = {}  # asked without an answer: source, until when
        self._begun: deque[tuple[float, int]] = deque()  # when copies were begun here, and their bytes
        self._drops_end: dict[tuple[str, str], float] = {}  # when a drop without an answer has ended
        self._loads_end: dict[tuple[str, str], float] = {}  # the same of a load
        self._began = -1.0  # when it gained the lease: statements of the last holder may be on their way
        self._listed: dict[str, frozenset[str]] = {}  # what engines said last that they hold
        self._strange: dict[str, frozenset[str]] = {}  # where that was not what the record knows
        self._news: dict[str, ReplicaHost] = {}
        self._plan_at = 0.0
        self._plan_of: tuple[int, frozenset[str]] | None = None  # changes and frozen tables of the last one
        self._plan_behind = 0  # the record's last move when it was asked for
        self._fresh: MigrationPlan | None = None  # a plan that was made and is not looked at yet
        self._now = 0.0
        self._out: list[Action] = []

    def step(self, now: float, events: Iterable[Event]) -> list[Action]:
        """Take what has happened; return what is to be done."""
        self._now, self._out = now, []
        if self._began < 0.0:
            self._began = now
        for event in events:
            match event:
                case StateUpdated():
                    self._index, self.machine, self.frozen = event.index, event.machine, event.frozen
                case CommandAnswered():
                    self._proposed(event)
                case StatementEnded():
                    self._ended(event)
                case EnginesReported():
                    self._heard(event)
                case PlanCompleted():
                    self._made(event)
                case ReplicaQuiesced() if self.machine is not None:
                    move = self.machine.move_of(event.shard)
                    if move is not None and (move.number, move.step) == (event.move, "switched"):
                        work = self._work.get(move.number) or self._first_sight(move)
                        work.quiet = True
        for token in [token for token, asked in self._asked.items() if asked.until <= now]:
            if self._asked[token].pair is not None:
                self._out.append(CancelStatement(token))
                self._ended(StatementEnded(token, "unknown"))
            else:
                self._proposed(CommandAnswered(token, None))
        if not self.over and self.machine is not None and self._index >= self._need_index:
            self._go_on()
        if self.over:
            return [*self._out, LeaseLost()]
        return [*self._out, WakeAt(self._next())]

    def _go_on(self) -> None:
        for number in [number for number in self._work if number not in self.machine.moves]:
            del self._work[number]
        self._tell_news()
        asked = {a.owner for a in self._asked.values()}
        self._begins = None
        for number in sorted(self.machine.moves):
            move = self.machine.moves[number]
            work = self._work.get(number) or self._first_sight(move)
            if work.step != move.step:
                work.step, work.since, work.tries, work.wait_until = move.step, self._now, 0, 0.0
            if work.wait_until <= self._now and number not in asked:
                getattr(self, "_at_" + move.step)(move, work)
        self._check_doubtful()
        if self._fresh is not None:
            fresh, self._fresh = self._fresh, None
            if self._plan_behind == self.machine.last_move:
                self.planned = fresh
                self._replan()
            else:  # moves came that it did not know; its numbers are theirs
                self._plan_of, self._plan_at = None, self._now
        changed = (self.machine.changes, self.frozen) != self._plan_of
        due = self._plan_at if changed else self._plan_at + self.timing.plan_most_ms - self.timing.plan_ms
        if due <= self._now and not any(a.kind in ("plan", "planning") for a in self._asked.values()):
            self._plan_at = self._now + self.timing.plan_ms
            self._plan_of, self._plan_behind = (self.machine.changes, self.frozen), self.machine.last_move
            self._token += 1
            self._asked[self._token] = _Asked(None, "planning", self._now + self.timing.planning_ms)
            self._out.append(ComputePlan(self._token, self.machine.world(self.frozen), self.bounds))

    def _first_sight(self, move: Migration) -> _Work:
        """Take up a move. One that is under way is the last holder's, who may have sent a load just now."""
        if move.step in ("copying", "checked", "undoing"):
            pair, until = (move.shard, move.target), self._began + self._copy_ms(move.shard)
            self._loads_end[pair] = max(self._loads_end.get(pair, 0.0), until + self.timing.slack_ms)
        work = self._work[move.number] = _Work()
        return work

    def _next(self) -> float:
        times = [asked.until for asked in self._asked.values()]
        times += [work.wait_until for work in self._work.values()]
        times += [*self._loads_end.values(), self._sure_of_drops(), self._plan_at]
        times.append(self._plan_at + self.timing.plan_most_ms - self.timing.plan_ms)
        times += [w.rested_at + self.timing.finish_ms for w in self._work.values() if w.step == "switched"]
        times += [until for _, until in self._doubts.values()] + list(self._drops_end.values())
        return min((at for at in times if at > self._now), default=self._now + self.timing.plan_ms)

    # Asking.

    def _propose(self, owner: object, kind: str, **what: object) -> None:
        self._token += 1
        self._asked[self._token] = _Asked(owner, kind, self._now + self.timing.answer_ms)
        command = pb.Command(fence=self.fence, **what)
        self._out.append(ProposeCommand(self._token, command.SerializeToString(deterministic=True)))

    def _take(self, move: Migration, kind: int, **more: object) -> None:
        """Ask for a move's step."""
        self._propose(move.number, Step.Kind.Name(kind), step=Step(move=move.number, kind=kind, **more))
        self._asked[self._token].source = more.get("source", move.source)

    def _run(self, owner: object, kind: str, shard: str, engine: str, statement: str, within: float) -> None:
        self._token += 1
        self._asked[self._token] = _Asked(
            owner, kind, self._now + within + self.timing.slack_ms, (shard, engine), self._index
        )
        self._out.append(
            RunStatement(
                self._token, engine, statement, migration_statements.overlay(self.fence, within), within
            )
        )

    def _proposed(self, event: CommandAnswered) -> None:
        asked = self._asked.pop(event.token, None)
        if asked is None:
            return
        answer = event.answer
        if asked.kind in ("plan", "planning") and (answer is None or answer.refusal or any(answer.refusals)):
            self._plan_of = None
        if answer is None and asked.kind in ("RESERVE", "COPY"):
            self._late[asked.owner] = asked.source, self._now + LATE * self.timing.answer_ms
        if answer is None:
            return  # the record tells, once more of it is seen; a step asked twice is refused
        self._need_index = max(self._need_index, event.index)
        if answer.refusal == Answer.FENCE:
            self.over = True
        work = self._work.get(asked.owner) if isinstance(asked.owner, int) else None
        if work is None:
            if asked.kind == "found" and answer.refusal:
                self._again_doubt(asked.owner)
                if answer.refusal == Answer.WAITS:  # for a good copy's figures, to compare with
                    for engine in self.machine.good(asked.owner[0]):
                        self._doubts.setdefault((asked.owner[0], engine), (0, 0.0))
            if asked.kind == "news":
                later = {
                    home.name
                    for home, refusal in zip(asked.owner, answer.refusals, strict=False)
                    if refusal == Answer.WAITS
                }
                self._news = {
                    name: home
                    for name, home in self._news.items()
                    if home not in asked.owner or name in later
                }
            return
        if not answer.refusal:
            if asked.kind == "COPY":
                work.phase, work.attempt = "clear", work.attempt + 1
                work.tries, work.wait_until = 0, 0.0
            return
        if answer.refusal == Answer.STEP:
            return  # an earlier one of the same was done, or the world has changed: the record tells
        if answer.refusal in LATER:
            work.wait_until = self._now + self.timing.again_ms
        else:
            self._again(work)

    def _again(self, work: _Work) -> None:
        """Wait, longer each time, before trying again."""
        work.tries += 1
        work.wait_until = self._now + self._pause(work.tries)

    def _pause(self, tries: int) -> float:
        return min(self.timing.again_ms * 2 ** min(tries - 1, 30), self.timing.again_most_ms)

    # Steps.

    def _at_planned(self, move: Migration, work: _Work) -> None:
        if any(ahead in self.machine.moves for ahead in move.after):
            return
        if work.tries >= self.timing.tries:
            return self._take(move, Step.UNDO)
        if not move.target:
            return self._take(move, Step.SWITCH)
        if not self._is_known(move.target):
            return self._again(work)
        if self._begins is None:
            self._begins = transfer_throttle.startable(
                self.machine, self.bounds, self._spent(), self._copies_asked(), self._may_take
            )
        if move.number in self._begins:
            self._take(move, Step.RESERVE)

    def _may_take(self, move: Migration) -> bool:
        """Tell whether nothing here keeps a planned copy back, streams and space aside."""
        work = self._work.get(move.number) or self._first_sight(move)
        busy = any(a.owner == move.number for a in self._asked.values())
        return (
            bool(move.target)
            and not busy
            and work.wait_until <= self._now
            and work.tries < self.timing.tries
            and self._is_known(move.target)
        )

    def _copies_asked(self) -> dict[int, str]:
        """Return the moves whose copying was asked to begin, or begin anew, and from which engine.

        One without an answer may be done late: it counts a while longer.
        """
        self._late = {number: late for number, late in self._late.items() if late[1] > self._now}
        asked = {number: source for number, (source, _) in self._late.items() if number in self.machine.moves}
        return asked | {a.owner: a.source for a in self._asked.values() if a.kind in ("RESERVE", "COPY")}

    def _spent(self) -> int:
        """Return the bytes that copies have begun to transfer within the hour, those of earlier holders too.

        A record whose level is too low keeps none; then what was begun here has to do.
        """
        while self._begun and self._begun[0][0] + HOUR_MS <= self._now:
            self._begun.popleft()
        return max(self.machine.bytes_started(), sum(size for _, size in self._begun))

    def _is_known(self, engine: str) -> bool:
        """Tell whether an engine was listed and holds nothing that the record doesn't count."""
        held, shards = self.machine.copies, self.machine.shards
        return engine in self._listed and not any(
            engine not in held.get(shard, ()) for shard in self._listed[engine] if shard in shards
        )

    def _at_reserved(self, move: Migration, work: _Work) -> None:
        self._begin_copy(move, work)

    def _begin_copy(self, move: Migration, work: _Work) -> None:
        """Begin the next attempt, or give the move up."""
        good = [e for e in self.machine.good(move.shard) if self.machine.homes[e].life != "gone"]
        if not good or move.attempt >= self.timing.tries or not self._target_there(move):
            return self._take(move, Step.UNDO, failed=True)
        first = move.attempt % len(good)  # another one each time
        if not move.attempt and move.source in good:
            first = good.index(move.source)
        size, asked = self.machine.shards[move.shard].size, self._copies_asked()
        source = transfer_throttle.available_source(
            self.machine, self.bounds, move, good[first:] + good[:first], asked
        )
        paid = (
            not move.attempt
            or transfer_throttle.fits_hourly_budget(  # the first was paid for when it was reserved
                self.bounds, self._spent() + transfer_throttle.uncounted_bytes(self.machine, asked), size
            )
        )
        if not source or not paid:
            work.tries, work.wait_until = self.timing.tries, self._now + self.timing.again_ms
            return  # for a stream, or bytes of the hour; what has come so far is used up
        self._begun.append((self._now, size))
        self._begins = None  # counted again with this one
        work.attempt, work.source, work.target, work.source_lost = move.attempt, None, None, False
        self._take(move, Step.COPY, source=source, attempt=move.attempt + 1)

    def _target_there(self, move: Migration) -> bool:
        home = self.machine.homes[move.target]
        return (
            home.life != "gone"
            and home.generation == move.generation
            and move.target in self.machine.copies.get(move.shard, {})
        )

    def _at_copying(self, move: Migration, work: _Work) -> None:
        if not self._target_there(move):
            return self._take(move, Step.UNDO, failed=True)
        if work.attempt != move.attempt or not work.phase:  # another holder began it: what is there, first
            work.phase, work.attempt = "verify", move.attempt
        if work.tries >= self.timing.tries:
            return self._begin_copy(move, work)
        shard, t = self.machine.shards[move.shard], self.timing
        path = migration_statements.export_folder(self.staging, move.number, self.fence, move.attempt)
        within = self._copy_ms(shard.name)
        if work.phase == "clear":
            self._run(
                move.number,
                "clear",
                shard.name,
                move.target,
                migration_statements.drop(shard.name),
                t.drop_ms,
            )
        elif work.phase == "export":
            self._run(
                move.number,
                "export",
                shard.name,
                move.source,
                migration_statements.export(shard.name, path),
                within,
            )
        elif not self._drops_ended(shard.name, move.target):
            return
        elif work.phase == "import":
            self._run(
                move.number,
                "import",
                shard.name,
                move.target,
                migration_statements.load(shard.name, path),
                within,
            )
        else:
            self._verify(move, work, shard)

    def _drops_ended(self, shard: str, engine: str) -> bool:
        """Tell whether no drop can still reach a copy."""
        if self._now < self._sure_of_drops() or self._drops_end.get((shard, engine), 0.0) > self._now:
            return False
        drops = (a.pair for a in self._asked.values() if a.kind in ("clear", "drop"))
        return (shard, engine) not in drops

    def _sure_of_drops(self) -> float:
        """Return when the last holder's drops have ended."""
        return self._began + self.timing.drop_ms + self.timing.slack_ms

    def _loads_ended(self, move: Migration) -> bool:
        """Tell whether no load can still put anything where a half copy is dropped."""
        pair = move.shard, move.target
        return self._loads_end.get(pair, 0.0) <= self._now and not any(
            a.pair == pair and a.kind == "import" for a in self._asked.values()
        )

    def _copy_ms(self, shard: str) -> float:
        return self.timing.copy_ms + self.machine.shards[shard].size / self.timing.slowest

    def _verify(self, move: Migration, work: _Work, shard: Shard) -> None:
        """Ask both sides for count and checksum; once both are known, go on or begin anew."""
        if work.target is not None and (work.source is not None or work.source_lost):
            known = work.source
            if known is None and shard.rows >= 0:
                known = shard.rows, shard.checksum  # the source is away: what was agreed before has to do
            agreed, work.source, work.target, work.source_lost = known == work.target, None, None, False
            if agreed:
                return self._take(move, Step.CHECK, attempt=move.attempt, rows=known[0], checksum=known[1])
            return self._begin_copy(move, work)
        statement = migration_statements.check(shard.name)
        if work.target is None:
            self._run(move.number, "target", shard.name, move.target, statement, self.timing.check_ms)
        if work.source is None and not work.source_lost:
            self._run(move.number, "source", shard.name, move.source, statement, self.timing.check_ms)

    def _at_checked(self, move: Migration, work: _Work) -> None:
        if not self._target_there(move) or work.tries >= self.timing.tries:
            return self._take(move, Step.UNDO, failed=True)
        self._take(move, Step.SWITCH)

    def _at_switched(self, move: Migration, work: _Work) -> None:
        if not self._may_go(move):
            return self._take(move, Step.KEEP)
        if work.quiet and not move.rested:
            return self._take(move, Step.DROP, cleared=True)
        if not move.rested:
            return
        if work.rested_at < 0.0:
            work.rested_at = self._now
        if work.quiet or self._now >= work.rested_at + self.timing.finish_ms:
            self._take(move, Step.DROP)

    def _may_go(self, move: Migration) -> bool:
        """Tell whether the copy that goes is still there and not needed again."""
        copy = self.machine.copies.get(move.shard, {}).get(move.drops)
        return copy is not None and copy.state == "leaving" and self.machine.may_drop(move.shard, move.drops)

    def _at_dropping(self, move: Migration, work: _Work) -> None:
        if not self._may_go(move):
            return self._take(move, Step.KEEP)
        if work.phase == "dropped":
            return self._take(move, Step.DONE)
        if work.tries >= self.timing.tries:
            return self._take(move, Step.KEEP, failed=True)
        self._run(
            move.number,
            "drop",
            move.shard,
            move.drops,
            migration_statements.drop(move.shard),
            self.timing.drop_ms,
        )

    def _at_undoing(self, move: Migration, work: _Work) -> None:
        there = move.target in self.machine.copies.get(move.shard, {})  # on whatever disk it has by now
        if work.phase == "dropped" or not there:
            return self._take(move, Step.UNDONE)
        if work.tries >= self.timing.tries or self.machine.homes[move.target].life == "gone":
            return self._take(move, Step.UNDONE, failed=True)  # it may be back when the record hears of this
        if not self._loads_ended(move):
            return
        self._run(
            move.number,
            "drop",
            move.shard,
            move.target,
            migration_statements.drop(move.shard),
            self.timing.drop_ms,
        )

    # Answers of engines.

    def _ended(self, event: StatementEnded) -> None:
        asked = self._asked.pop(event.token, None)
        if asked is None:
            return
        if asked.kind in ("clear", "drop") and event.outcome == "unknown":
            self._drops_end[asked.pair] = max(asked.until, self._now) + self.timing.slack_ms
        if asked.kind == "import" and event.outcome == "unknown":
            self._loads_end[asked.pair] = max(asked.until, self._now) + self.timing.slack_ms
        if asked.kind == "doubt":
            return self._doubt_ended(asked, event)
        work = self._work.get(asked.owner)
        if work is None:
            return
        well = event.outcome == "ok"
        match asked.kind:
            case "clear":
                work.phase = "export" if well else "clear"
            case "export":
                work.phase = "import" if well else "failed"
            case "import":
                work.phase = "verify"  # whatever was said of it: what is there tells
            case "target" if well:
                work.target = (event.rows, event.checksum)
            case "source" if well:
                work.source = (event.rows, event.checksum)
            case "source":
                work.source_lost = True
            case "drop" if well:
                work.phase = "dropped"
        if not well:
            self._again(work)
        elif asked.kind in ("clear", "export", "import", "drop"):
            work.tries = 0
        if work.phase == "failed":
            work.phase, work.tries = "export", self.timing.tries  # its folder is used up: the next attempt

    # Copies in doubt.

    def _heard(self, event: EnginesReported) -> None:
        for home in event.homes:
            self._news[home.name] = home
            if home.life == "gone":
                self._listed.pop(home.name, None)  # what it has is asked anew when it is back
        if self.machine is None:
            return
        for engine, listed in event.held.items():
            held = {shard for shard, of in self.machine.copies.items() if engine in of}
            strange = frozenset(shard for shard in listed ^ held if shard in self.machine.shards)
            # A list may be older than a drop or a load that the record knows; two in a row are looked into.
            for shard in sorted(strange & self._strange.get(engine, frozenset())):
                self._doubts.setdefault((shard, engine), (0, 0.0))
            self._listed[engine], self._strange[engine] = listed, strange

    def _tell_news(self) -> None:
        if not self._news or any(a.kind == "news" for a in self._asked.values()):
            return
        known = self.machine.homes
        self._news = {
            name: home
            for name, home in sorted(self._news.items())
            if name not in known or _differs(home, known[name])
        }
        news = tuple(self._news.values())[:MAX_ENTRIES_PER_COMMAND]
        if news:
            told = [
                pb.Home(
                    name=h.name,
                    zone=h.zone,
                    kind=h.kind,
                    disk=h.disk,
                    headroom=h.headroom,
                    life=h.life,
                    mark=h.mark,
                    spilled=h.spilled,
                )
                for h in news
            ]
            self._propose(news, "news", news=pb.News(homes=told, seen=self._index))

    def _check_doubtful(self) -> None:
        """Check what came back with an engine, and what an engine lists that the record doesn't know."""
        machine = self.machine
        if self._doubts_of != machine.changes:
            self._doubts_of = machine.changes
            for shard, held in machine.copies.items():
                for engine, copy in held.items():
                    if copy.state == "doubtful" and not copy.wrong:
                        self._doubts.setdefault((shard, engine), (0, 0.0))
        running = sum(a.kind in ("doubt", "found") for a in self._asked.values())
        for pair in sorted(self._doubts):
            shard, engine = pair
            home, move = machine.homes.get(engine), machine.move_of(shard)
            if home is None or home.life == "gone" or shard not in machine.shards:
                del self._doubts[pair]
                continue
            tries, not_before = self._doubts[pair]
            if not_before > self._now or running >= CHECKS_AT_ONCE or not self._drops_ended(shard, engine):
                continue
            busy = move is not None and move.step != "planned" and engine in (move.target, move.drops)
            if busy or any(a.owner == pair for a in self._asked.values()):
                continue
            running += 1
            self._run(pair, "doubt", shard, engine, migration_statements.check(shard), self.timing.check_ms)

    def _doubt_ended(self, asked: _Asked, event: StatementEnded) -> None:
        shard, engine = asked.pair
        known = self.machine.shards.get(shard)
        home = self.machine.homes.get(engine)
        if event.outcome != "ok" or known is None or home is None or engine not in self._listed:
            return self._again_doubt(asked.pair)
        self._doubts.pop(asked.pair, None)
        self._propose(
            asked.pair,
            "found",
            found=pb.Found(
                shard=shard,
                engine=engine,
                generation=home.generation,
                rows=event.rows,
                checksum=event.checksum,
                seen=asked.seen,
                present=event.rows > 0 or known.rows == 0 or shard in self._listed.get(engine, ()),
            ),
        )

    def _again_doubt(self, pair: tuple[str, str]) -> None:
        tries = self._doubts.get(pair, (0, 0.0))[0] + 1
        self._doubts[pair] = tries, self._now + self._pause(tries)

    # Plans. The record may have gone on since the world that one is for: it judges each step, as does this.

    def _made(self, event: PlanCompleted) -> None:
        asked = self._asked.get(event.token)
        if asked is not None and asked.kind == "planning":
            del self._asked[event.token]
            self._fresh = event.planned

    def _replan(self) -> None:
        machine = self.machine
        for number in self.planned.cancels:
            move = machine.moves.get(number)
            if (
                move is not None
                and move.step in ("planned", "reserved", "copying", "checked")
                and not any(a.owner == number for a in self._asked.values())
            ):
                self._take(move, Step.UNDO)
        goes = list(self.planned.drops)
        goes += [
            (shard, engine)
            for shard, held in sorted(machine.copies.items())
            for engine, copy in sorted(held.items())
            if copy.wrong and machine.homes[engine].life != "gone"
        ]
        wanted: list[pb.Move] = []
        begun: set[str] = set()  # shards that this plan moves: each has one move at a time
        clears = {(move.shard, move.drops): move.number for move in machine.moves.values() if move.drops}
        numbers: dict[int, int] = {}  # of the planner's moves within this plan
        coming = {move.shard for move in self.planned.moves}
        for shard, engine in goes:
            if (
                shard not in begun
                and shard not in coming
                and self._may_begin(shard)
                and machine.may_drop(shard, engine)
            ):
                begun.add(shard)
                clears[shard, engine] = NEW + len(wanted)
                wanted.append(pb.Move(number=NEW + len(wanted), shard=shard, drops=engine))
        left: set[int] = set()
        for move in self.planned.moves:
            if move.shard in begun or not self._may_begin(move.shard) or left.intersection(move.after):
                left.add(move.number)  # nor what waits for it
                continue
            begun.add(move.shard)
            numbers[move.number] = NEW + len(wanted)
            after = [numbers.get(ahead, ahead) for ahead in move.after]
            after += [clears[pair] for pair in move.cleared if pair in clears]
            wanted.append(
                pb.Move(
                    number=NEW + len(wanted),
                    shard=move.shard,
                    source=move.source,
                    target=move.target,
                    drops=move.drops,
                    after=after,
                )
            )
        wanted = wanted[: max(0, min(MAX_ENTRIES_PER_COMMAND, MAX_MIGRATIONS - len(machine.moves)))]
        if wanted:
            self._propose(None, "plan", plan=pb.Plan(moves=wanted))

    def _may_begin(self, shard: str) -> bool:
        known = self.machine.shards.get(shard)
        return (
            known is not None
            and known.table not in self.frozen
            and self.machine.move_of(shard) is None
            and not self.machine.asides.get(shard, (0, 0))[0]
        )


def _differs(told: ReplicaHost, known: ReplicaHost) -> bool:
    """Tell whether news say anything that the record doesn't."""
    return replace(told, generation=known.generation, mark=told.mark or known.mark) != known
