"""Drives shard migrations for the holder of the lease `moves`. No I/O and no clock: events in, actions out.

`MigrationDriver.step(now, events) -> actions`, times in ms of the holder's own clock. All that must outlive
the holder is in the replicated state: a migration's step there says which statements may have been sent, and
the next holder continues from it or undoes it. What the driver holds (tokens, delays, check results) may be
lost at any time.

The following holds with every statement and command lost, duplicated, delayed or unanswered:

- a statement is sent only after the step that allows it was seen in the replicated state
- an unknown outcome is checked before anything is repeated, and repeating does no harm
- a replica is imported or checked only after every drop that may be in flight to it has ended: it was
  answered, or its engine has cancelled it by the time-out that it carries. A new holder assumes that drops of
  the last one are in flight. In the same way, a partial replica is dropped, and its space released, only
  after imports of it have ended
- all statements carry the fencing token
"""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from fennelwind.shards import migration_statements, transfer_throttle
from fennelwind.shards import shards_pb2 as pb
from fennelwind.shards.model import Bounds, Migration, MigrationPlan, ReplicaHost, Shard, World
from fennelwind.shards.state_machine import HOUR_MS, MAX_ENTRIES_PER_COMMAND, MAX_MIGRATIONS, ShardMachine

Step, Answer = pb.Step, pb.Answer
# numbers of migrations within a plan start here, to keep them apart from those of the replicated state
FIRST_PLAN_NUMBER = 2**62
# an unanswered command may still be applied for this many times `answer_ms` after its time-out
LATE_ANSWER_FACTOR = 5.0
MAX_CONCURRENT_CHECKS = 8  # checks of doubtful replicas that run at once
TEMPORARY_REFUSALS = (Answer.CHANGING, Answer.WAITS)  # refusals that pass without action of the driver


@dataclass(slots=True, frozen=True)
class Timing:
    """Time-outs and delays of a holder, in ms, and its number of tries."""

    answer_ms: float = 5_000.0  # time-out of a command's answer
    drop_ms: float = 30_000.0  # time-out of a drop, which the engine enforces too
    check_ms: float = 120_000.0  # time-out of a query for row count and checksum
    copy_ms: float = 60_000.0  # time-out of an export or import, plus the time for the bytes at the rate:
    slowest: float = 10_000.0  # bytes per ms, the slowest transfer to expect
    slack_ms: float = 5_000.0  # from an engine's time-out until the driver takes the statement to have ended
    finish_ms: float = 60_000.0  # time for queries on a leaving replica to finish after its rest period
    again_ms: float = 1_000.0  # delay before a failed statement is repeated; doubles each time
    max_retry_delay_ms: float = 60_000.0
    tries: int = 5  # tries of one statement or of one copy before the migration is undone
    plan_ms: float = 5_000.0  # interval between plans if something other than access load has changed
    max_plan_interval_ms: float = 60_000.0  # interval between plans if only access load has changed
    planning_ms: float = 60_000.0  # time-out of computing a plan; 20,000 shards take 2 s of processor time


# Events.


@dataclass(slots=True, frozen=True)
class StateUpdated:
    """The holder's copy of the state machine is at `index`; `frozen` are the tables under schema change."""

    index: int
    machine: ShardMachine
    frozen: frozenset[str] = frozenset()


@dataclass(slots=True, frozen=True)
class CommandAnswered:
    """A command was answered; `answer` is None if the command's outcome is unknown."""

    token: int
    answer: pb.Answer | None
    index: int = 0  # index of the log entry with the command


@dataclass(slots=True, frozen=True)
class StatementEnded:
    """A statement ended: `ok`, `failed` (by the engine's answer) or `unknown`; a check also has results."""

    token: int
    outcome: str
    rows: int = 0
    checksum: int = 0


@dataclass(slots=True, frozen=True)
class EnginesReported:
    """The engines' current state; `held` has, by engine, the shards listed by the engines queried."""

    homes: tuple[ReplicaHost, ...]
    held: dict[str, frozenset[str]] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class ReplicaQuiesced:
    """All senders keep queries away from a leaving replica, and no query runs on it."""

    shard: str
    engine: str
    move: int


@dataclass(slots=True, frozen=True)
class PlanCompleted:
    """A plan was computed."""

    token: int
    planned: MigrationPlan


Event = StateUpdated | CommandAnswered | StatementEnded | EnginesReported | ReplicaQuiesced | PlanCompleted


# Actions.


@dataclass(slots=True, frozen=True)
class ProposeCommand:
    """A command for the state machine of shards; answered by `CommandAnswered` with this token."""

    token: int
    command: bytes


@dataclass(slots=True, frozen=True)
class RunStatement:
    """A statement for an engine; `StatementEnded` with this token follows, by the deadline at the latest."""

    token: int
    engine: str
    statement: str
    overlay: dict[str, str]
    timeout_ms: float


@dataclass(slots=True, frozen=True)
class CancelStatement:
    """A statement has taken too long and is to be cancelled."""

    token: int


@dataclass(slots=True, frozen=True)
class ComputePlan:
    """Plan a world, which nobody changes, in the background; `PlanCompleted` with this token follows."""

    token: int
    world: World
    bounds: Bounds


@dataclass(slots=True, frozen=True)
class WakeAt:
    """`step` has to be called at this time."""

    at: float


@dataclass(slots=True, frozen=True)
class LeaseLost:
    """Another holder has the lease: there are no further actions."""


Action = ProposeCommand | RunStatement | CancelStatement | ComputePlan | WakeAt | LeaseLost


@dataclass(slots=True)
class _Pending:
    """A command or statement without an answer."""

    # a migration's number, a doubtful replica's shard and engine, engine reports, or None for a plan
    owner: object
    kind: str
    until_ms: float
    pair: tuple[str, str] | None = None  # shard and engine of a statement
    seen: int = 0  # index of the state that was seen when it was sent
    source: str = ""  # engine that the requested copy is to be read from


@dataclass(slots=True)
class _MigrationWork:
    """What this holder knows of a migration."""

    phase: str = ""  # "clear", "export", "import", "verify" or "failed" of the copy; "dropped" after a drop
    attempt: int = 0  # copy attempt that the phase belongs to
    tries: int = 0  # tries in the current phase
    wait_until_ms: float = 0.0
    since_ms: float = 0.0  # when the migration was first seen at `step`
    step: str = ""
    source: tuple[int, int] | None = None  # results of checks: rows and checksum
    target: tuple[int, int] | None = None
    source_lost: bool = False
    is_quiesced: bool = False  # no query runs on the leaving replica
    rested_since_ms: float = -1.0  # when the old replica's rest period was first seen to have ended


class MigrationDriver:
    """The migrations of one holder; there is a new driver each time the lease is acquired."""

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
        self.lease_lost = False
        self._index = 0
        self._min_index = since_index  # highest index of an answer: the driver does not act on an older state
        self._token = 0
        self._pending: dict[int, _Pending] = {}
        self._work: dict[int, _MigrationWork] = {}
        # replicas to check: tries so far, and the earliest time of the next one
        self._doubtful: dict[tuple[str, str], tuple[int, float]] = {}
        self._doubtful_as_of = -1  # the state's `changes` up to which doubtful replicas were looked for
        self._startable: tuple[int, ...] | None = None  # planned migrations that may start in this step
        # by migration: the source of an unanswered request to start a copy, and its expiry in ms
        self._unanswered: dict[int, tuple[str, float]] = {}
        self._started_copies: deque[tuple[float, int]] = deque()  # copies that this driver began: time, bytes
        # when a drop without an answer has certainly ended
        self._drop_expiry_ms: dict[tuple[str, str], float] = {}
        self._load_expiry_ms: dict[tuple[str, str], float] = {}  # when an unanswered import has ended
        # when the lease was acquired: statements of the last holder may be in flight
        self._held_since_ms = -1.0
        self._listed_shards: dict[str, frozenset[str]] = {}  # shards by engine, as last listed by the engines
        self._mismatches: dict[str, frozenset[str]] = {}  # where the list differs from the replicated state
        self._engine_reports: dict[str, ReplicaHost] = {}
        self._next_plan_ms = 0.0
        # the state's `changes` and the frozen tables when the last plan was requested
        self._planned_state: tuple[int, frozenset[str]] | None = None
        self._plan_last_move = 0  # the last migration's number when the plan was requested
        self._new_plan: MigrationPlan | None = None  # a computed plan that is not used yet
        self._now_ms = 0.0
        self._actions: list[Action] = []

    def step(self, now: float, events: Iterable[Event]) -> list[Action]:
        """Process events; return the actions to take."""
        self._now_ms, self._actions = now, []
        if self._held_since_ms < 0.0:
            self._held_since_ms = now
        for event in events:
            match event:
                case StateUpdated():
                    self._index, self.machine, self.frozen = event.index, event.machine, event.frozen
                case CommandAnswered():
                    self._on_command_answered(event)
                case StatementEnded():
                    self._on_statement_ended(event)
                case EnginesReported():
                    self._on_engines_reported(event)
                case PlanCompleted():
                    self._on_plan_completed(event)
                case ReplicaQuiesced() if self.machine is not None:
                    move = self.machine.move_of(event.shard)
                    if move is not None and (move.number, move.step) == (event.move, "switched"):
                        work = self._work.get(move.number) or self._adopt(move)
                        work.is_quiesced = True
        for token in [token for token, pending in self._pending.items() if pending.until_ms <= now]:
            if self._pending[token].pair is not None:
                self._actions.append(CancelStatement(token))
                self._on_statement_ended(StatementEnded(token, "unknown"))
            else:
                self._on_command_answered(CommandAnswered(token, None))
        if not self.lease_lost and self.machine is not None and self._index >= self._min_index:
            self._advance()
        if self.lease_lost:
            return [*self._actions, LeaseLost()]
        return [*self._actions, WakeAt(self._next_wake_ms())]

    def _advance(self) -> None:
        for number in [number for number in self._work if number not in self.machine.moves]:
            del self._work[number]
        self._report_engines()
        pending = {a.owner for a in self._pending.values()}
        self._startable = None
        for number in sorted(self.machine.moves):
            move = self.machine.moves[number]
            work = self._work.get(number) or self._adopt(move)
            if work.step != move.step:
                work.step, work.since_ms, work.tries, work.wait_until_ms = move.step, self._now_ms, 0, 0.0
            if work.wait_until_ms <= self._now_ms and number not in pending:
                getattr(self, "_at_" + move.step)(move, work)
        self._check_doubtful()
        if self._new_plan is not None:
            new_plan, self._new_plan = self._new_plan, None
            if self._plan_last_move == self.machine.last_move:
                self.planned = new_plan
                self._propose_plan()
            else:  # migrations were added that the plan did not know; its numbers are now taken
                self._planned_state, self._next_plan_ms = None, self._now_ms
        changed = (self.machine.changes, self.frozen) != self._planned_state
        due = (
            self._next_plan_ms
            if changed
            else self._next_plan_ms + self.timing.max_plan_interval_ms - self.timing.plan_ms
        )
        if due <= self._now_ms and not any(a.kind in ("plan", "planning") for a in self._pending.values()):
            self._next_plan_ms = self._now_ms + self.timing.plan_ms
            self._planned_state, self._plan_last_move = (
                (self.machine.changes, self.frozen),
                self.machine.last_move,
            )
            self._token += 1
            self._pending[self._token] = _Pending(None, "planning", self._now_ms + self.timing.planning_ms)
            self._actions.append(ComputePlan(self._token, self.machine.world(self.frozen), self.bounds))

    def _adopt(self, move: Migration) -> _MigrationWork:
        """Start tracking a migration. If it is running, the last holder may just have sent its import."""
        if move.step in ("copying", "checked", "undoing"):
            pair, until_ms = (
                (move.shard, move.target),
                self._held_since_ms + self._copy_timeout_ms(move.shard),
            )
            self._load_expiry_ms[pair] = max(
                self._load_expiry_ms.get(pair, 0.0), until_ms + self.timing.slack_ms
            )
        work = self._work[move.number] = _MigrationWork()
        return work

    def _next_wake_ms(self) -> float:
        times = [pending.until_ms for pending in self._pending.values()]
        times += [work.wait_until_ms for work in self._work.values()]
        times += [*self._load_expiry_ms.values(), self._drops_ended_at_ms(), self._next_plan_ms]
        times.append(self._next_plan_ms + self.timing.max_plan_interval_ms - self.timing.plan_ms)
        times += [
            w.rested_since_ms + self.timing.finish_ms for w in self._work.values() if w.step == "switched"
        ]
        times += [until_ms for _, until_ms in self._doubtful.values()] + list(self._drop_expiry_ms.values())
        return min((at for at in times if at > self._now_ms), default=self._now_ms + self.timing.plan_ms)

    # Requests.

    def _propose(self, owner: object, kind: str, **what: object) -> None:
        self._token += 1
        self._pending[self._token] = _Pending(owner, kind, self._now_ms + self.timing.answer_ms)
        command = pb.Command(fence=self.fence, **what)
        self._actions.append(ProposeCommand(self._token, command.SerializeToString(deterministic=True)))

    def _request_step(self, move: Migration, kind: int, **more: object) -> None:
        """Propose a step of a migration."""
        self._propose(move.number, Step.Kind.Name(kind), step=Step(move=move.number, kind=kind, **more))
        self._pending[self._token].source = more.get("source", move.source)

    def _run_statement(
        self, owner: object, kind: str, shard: str, engine: str, statement: str, timeout_ms: float
    ) -> None:
        self._token += 1
        self._pending[self._token] = _Pending(
            owner, kind, self._now_ms + timeout_ms + self.timing.slack_ms, (shard, engine), self._index
        )
        self._actions.append(
            RunStatement(
                self._token,
                engine,
                statement,
                migration_statements.overlay(self.fence, timeout_ms),
                timeout_ms,
            )
        )

    def _on_command_answered(self, event: CommandAnswered) -> None:
        pending = self._pending.pop(event.token, None)
        if pending is None:
            return
        answer = event.answer
        if pending.kind in ("plan", "planning") and (
            answer is None or answer.refusal or any(answer.refusals)
        ):
            self._planned_state = None
        if answer is None and pending.kind in ("RESERVE", "COPY"):
            self._unanswered[pending.owner] = (
                pending.source,
                self._now_ms + LATE_ANSWER_FACTOR * self.timing.answer_ms,
            )
        if answer is None:
            return  # the state will show the outcome; a step requested twice is refused
        self._min_index = max(self._min_index, event.index)
        if answer.refusal == Answer.FENCE:
            self.lease_lost = True
        work = self._work.get(pending.owner) if isinstance(pending.owner, int) else None
        if work is None:
            if pending.kind == "found" and answer.refusal:
                self._retry_check(pending.owner)
                # no content is known to compare the replica with: check the good replicas
                if answer.refusal == Answer.WAITS:
                    for engine in self.machine.good(pending.owner[0]):
                        self._doubtful.setdefault((pending.owner[0], engine), (0, 0.0))
            if pending.kind == "news":
                delayed = {
                    host.name
                    for host, refusal in zip(pending.owner, answer.refusals, strict=False)
                    if refusal == Answer.WAITS
                }
                self._engine_reports = {
                    name: host
                    for name, host in self._engine_reports.items()
                    if host not in pending.owner or name in delayed
                }
            return
        if not answer.refusal:
            if pending.kind == "COPY":
                work.phase, work.attempt = "clear", work.attempt + 1
                work.tries, work.wait_until_ms = 0, 0.0
            return
        if answer.refusal == Answer.STEP:
            return  # an earlier request was applied, or the state has changed, which later events will show
        if answer.refusal in TEMPORARY_REFUSALS:
            work.wait_until_ms = self._now_ms + self.timing.again_ms
        else:
            self._retry_later(work)

    def _retry_later(self, work: _MigrationWork) -> None:
        """Schedule a retry with exponential backoff."""
        work.tries += 1
        work.wait_until_ms = self._now_ms + self._retry_delay_ms(work.tries)

    def _retry_delay_ms(self, tries: int) -> float:
        return min(self.timing.again_ms * 2 ** min(tries - 1, 30), self.timing.max_retry_delay_ms)

    # Steps.

    def _at_planned(self, move: Migration, work: _MigrationWork) -> None:
        if any(ahead in self.machine.moves for ahead in move.after):
            return
        if work.tries >= self.timing.tries:
            return self._request_step(move, Step.UNDO)
        if not move.target:
            return self._request_step(move, Step.SWITCH)
        if not self._are_contents_known(move.target):
            return self._retry_later(work)
        if self._startable is None:
            self._startable = transfer_throttle.startable(
                self.machine, self.bounds, self._bytes_started(), self._requested_copies(), self._may_start
            )
        if move.number in self._startable:
            self._request_step(move, Step.RESERVE)

    def _may_start(self, move: Migration) -> bool:
        """Return whether this driver may start a planned copy, regardless of streams and space."""
        work = self._work.get(move.number) or self._adopt(move)
        busy = any(a.owner == move.number for a in self._pending.values())
        return (
            bool(move.target)
            and not busy
            and work.wait_until_ms <= self._now_ms
            and work.tries < self.timing.tries
            and self._are_contents_known(move.target)
        )

    def _requested_copies(self) -> dict[int, str]:
        """Return the migrations whose copy, or next attempt, was requested, and the requested source.

        A request without an answer may still be applied, so it counts until it expires.
        """
        self._unanswered = {
            number: entry for number, entry in self._unanswered.items() if entry[1] > self._now_ms
        }
        pending = {
            number: source for number, (source, _) in self._unanswered.items() if number in self.machine.moves
        }
        return pending | {a.owner: a.source for a in self._pending.values() if a.kind in ("RESERVE", "COPY")}

    def _bytes_started(self) -> int:
        """Return the bytes that copies began to transfer within the hour, those of earlier holders included.

        At a low level the replicated state does not keep these bytes; then only this driver's copies count.
        """
        while self._started_copies and self._started_copies[0][0] + HOUR_MS <= self._now_ms:
            self._started_copies.popleft()
        return max(self.machine.bytes_started(), sum(size for _, size in self._started_copies))

    def _are_contents_known(self, engine: str) -> bool:
        """Return whether an engine was listed and holds nothing that the replicated state does not count."""
        held, shards = self.machine.copies, self.machine.shards
        return engine in self._listed_shards and not any(
            engine not in held.get(shard, ()) for shard in self._listed_shards[engine] if shard in shards
        )

    def _at_reserved(self, move: Migration, work: _MigrationWork) -> None:
        self._begin_copy(move, work)

    def _begin_copy(self, move: Migration, work: _MigrationWork) -> None:
        """Start the next attempt, or give the migration up."""
        good = [e for e in self.machine.good(move.shard) if self.machine.homes[e].life != "gone"]
        if not good or move.attempt >= self.timing.tries or not self._is_target_valid(move):
            return self._request_step(move, Step.UNDO, failed=True)
        start = move.attempt % len(good)  # each attempt starts with another source
        if not move.attempt and move.source in good:
            start = good.index(move.source)
        size, pending = self.machine.shards[move.shard].size, self._requested_copies()
        source = transfer_throttle.available_source(
            self.machine, self.bounds, move, good[start:] + good[:start], pending
        )
        is_within_budget = (
            not move.attempt
            or transfer_throttle.fits_hourly_budget(  # the first attempt was counted when it was reserved
                self.bounds,
                self._bytes_started() + transfer_throttle.uncounted_bytes(self.machine, pending),
                size,
            )
        )
        if not source or not is_within_budget:
            work.tries, work.wait_until_ms = self.timing.tries, self._now_ms + self.timing.again_ms
            return  # wait for a stream or for bytes of the hour; the current attempt is used up
        self._started_copies.append((self._now_ms, size))
        self._startable = None  # recomputed with this copy
        work.attempt, work.source, work.target, work.source_lost = move.attempt, None, None, False
        self._request_step(move, Step.COPY, source=source, attempt=move.attempt + 1)

    def _is_target_valid(self, move: Migration) -> bool:
        host = self.machine.homes[move.target]
        return (
            host.life != "gone"
            and host.generation == move.generation
            and move.target in self.machine.copies.get(move.shard, {})
        )

    def _at_copying(self, move: Migration, work: _MigrationWork) -> None:
        if not self._is_target_valid(move):
            return self._request_step(move, Step.UNDO, failed=True)
        # if another holder started the attempt, verify what exists first
        if work.attempt != move.attempt or not work.phase:
            work.phase, work.attempt = "verify", move.attempt
        if work.tries >= self.timing.tries:
            return self._begin_copy(move, work)
        shard, timing = self.machine.shards[move.shard], self.timing
        staging_path = migration_statements.export_folder(self.staging, move.number, self.fence, move.attempt)
        timeout_ms = self._copy_timeout_ms(shard.name)
        if work.phase == "clear":
            self._run_statement(
                move.number,
                "clear",
                shard.name,
                move.target,
                migration_statements.drop(shard.name),
                timing.drop_ms,
            )
        elif work.phase == "export":
            self._run_statement(
                move.number,
                "export",
                shard.name,
                move.source,
                migration_statements.export(shard.name, staging_path),
                timeout_ms,
            )
        elif not self._drops_ended(shard.name, move.target):
            return
        elif work.phase == "import":
            self._run_statement(
                move.number,
                "import",
                shard.name,
                move.target,
                migration_statements.load(shard.name, staging_path),
                timeout_ms,
            )
        else:
            self._verify(move, work, shard)

    def _drops_ended(self, shard: str, engine: str) -> bool:
        """Return whether no drop can still reach a replica."""
        if (
            self._now_ms < self._drops_ended_at_ms()
            or self._drop_expiry_ms.get((shard, engine), 0.0) > self._now_ms
        ):
            return False
        drops = (a.pair for a in self._pending.values() if a.kind in ("clear", "drop"))
        return (shard, engine) not in drops

    def _drops_ended_at_ms(self) -> float:
        """Return when drops of the last holder have certainly ended."""
        return self._held_since_ms + self.timing.drop_ms + self.timing.slack_ms

    def _loads_ended(self, move: Migration) -> bool:
        """Return whether no import can still write to a partial replica that is to be dropped."""
        pair = move.shard, move.target
        return self._load_expiry_ms.get(pair, 0.0) <= self._now_ms and not any(
            a.pair == pair and a.kind == "import" for a in self._pending.values()
        )

    def _copy_timeout_ms(self, shard: str) -> float:
        return self.timing.copy_ms + self.machine.shards[shard].size / self.timing.slowest

    def _verify(self, move: Migration, work: _MigrationWork, shard: Shard) -> None:
        """Check row count and checksum of source and target; once both are known, continue or start over."""
        if work.target is not None and (work.source is not None or work.source_lost):
            known = work.source
            if known is None and shard.rows >= 0:
                # the source is unavailable: use the content agreed on before
                known = shard.rows, shard.checksum
            agreed, work.source, work.target, work.source_lost = known == work.target, None, None, False
            if agreed:
                return self._request_step(
                    move, Step.CHECK, attempt=move.attempt, rows=known[0], checksum=known[1]
                )
            return self._begin_copy(move, work)
        statement = migration_statements.check(shard.name)
        if work.target is None:
            self._run_statement(
                move.number, "target", shard.name, move.target, statement, self.timing.check_ms
            )
        if work.source is None and not work.source_lost:
            self._run_statement(
                move.number, "source", shard.name, move.source, statement, self.timing.check_ms
            )

    def _at_checked(self, move: Migration, work: _MigrationWork) -> None:
        if not self._is_target_valid(move) or work.tries >= self.timing.tries:
            return self._request_step(move, Step.UNDO, failed=True)
        self._request_step(move, Step.SWITCH)

    def _at_switched(self, move: Migration, work: _MigrationWork) -> None:
        if not self._may_drop_old(move):
            return self._request_step(move, Step.KEEP)
        if work.is_quiesced and not move.rested:
            return self._request_step(move, Step.DROP, cleared=True)
        if not move.rested:
            return
        if work.rested_since_ms < 0.0:
            work.rested_since_ms = self._now_ms
        if work.is_quiesced or self._now_ms >= work.rested_since_ms + self.timing.finish_ms:
            self._request_step(move, Step.DROP)

    def _may_drop_old(self, move: Migration) -> bool:
        """Return whether the old replica is still leaving and not needed again."""
        replica = self.machine.copies.get(move.shard, {}).get(move.drops)
        return (
            replica is not None
            and replica.state == "leaving"
            and self.machine.may_drop(move.shard, move.drops)
        )

    def _at_dropping(self, move: Migration, work: _MigrationWork) -> None:
        if not self._may_drop_old(move):
            return self._request_step(move, Step.KEEP)
        if work.phase == "dropped":
            return self._request_step(move, Step.DONE)
        if work.tries >= self.timing.tries:
            return self._request_step(move, Step.KEEP, failed=True)
        self._run_statement(
            move.number,
            "drop",
            move.shard,
            move.drops,
            migration_statements.drop(move.shard),
            self.timing.drop_ms,
        )

    def _at_undoing(self, move: Migration, work: _MigrationWork) -> None:
        # A replica on the target counts even if its disk has been replaced since the migration began.
        has_replica = move.target in self.machine.copies.get(move.shard, {})
        if work.phase == "dropped" or not has_replica:
            return self._request_step(move, Step.UNDONE)
        if work.tries >= self.timing.tries or self.machine.homes[move.target].life == "gone":
            return self._request_step(
                move, Step.UNDONE, failed=True
            )  # the engine may be back when this is applied
        if not self._loads_ended(move):
            return
        self._run_statement(
            move.number,
            "drop",
            move.shard,
            move.target,
            migration_statements.drop(move.shard),
            self.timing.drop_ms,
        )

    # Answers of engines.

    def _on_statement_ended(self, event: StatementEnded) -> None:
        pending = self._pending.pop(event.token, None)
        if pending is None:
            return
        if pending.kind in ("clear", "drop") and event.outcome == "unknown":
            self._drop_expiry_ms[pending.pair] = max(pending.until_ms, self._now_ms) + self.timing.slack_ms
        if pending.kind == "import" and event.outcome == "unknown":
            self._load_expiry_ms[pending.pair] = max(pending.until_ms, self._now_ms) + self.timing.slack_ms
        if pending.kind == "doubt":
            return self._on_doubt_checked(pending, event)
        work = self._work.get(pending.owner)
        if work is None:
            return
        succeeded = event.outcome == "ok"
        match pending.kind:
            case "clear":
                work.phase = "export" if succeeded else "clear"
            case "export":
                work.phase = "import" if succeeded else "failed"
            case "import":
                work.phase = "verify"  # the check will tell, whatever the import's answer
            case "target" if succeeded:
                work.target = (event.rows, event.checksum)
            case "source" if succeeded:
                work.source = (event.rows, event.checksum)
            case "source":
                work.source_lost = True
            case "drop" if succeeded:
                work.phase = "dropped"
        if not succeeded:
            self._retry_later(work)
        elif pending.kind in ("clear", "export", "import", "drop"):
            work.tries = 0
        if work.phase == "failed":
            # the attempt's export folder can't be used again: start the next attempt
            work.phase, work.tries = "export", self.timing.tries

    # Doubtful replicas.

    def _on_engines_reported(self, event: EnginesReported) -> None:
        for host in event.homes:
            self._engine_reports[host.name] = host
            if host.life == "gone":
                self._listed_shards.pop(host.name, None)  # it is listed again when the engine is back
        if self.machine is None:
            return
        for engine, listed in event.held.items():
            held = {shard for shard, of in self.machine.copies.items() if engine in of}
            mismatched = frozenset(shard for shard in listed ^ held if shard in self.machine.shards)
            # A list may be older than a drop or an import that the replicated state knows; a second mismatch
            # in a row is checked.
            for shard in sorted(mismatched & self._mismatches.get(engine, frozenset())):
                self._doubtful.setdefault((shard, engine), (0, 0.0))
            self._listed_shards[engine], self._mismatches[engine] = listed, mismatched

    def _report_engines(self) -> None:
        if not self._engine_reports or any(a.kind == "news" for a in self._pending.values()):
            return
        known = self.machine.homes
        self._engine_reports = {
            name: host
            for name, host in sorted(self._engine_reports.items())
            if name not in known or _differs(host, known[name])
        }
        news = tuple(self._engine_reports.values())[:MAX_ENTRIES_PER_COMMAND]
        if news:
            messages = [
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
            self._propose(news, "news", news=pb.News(homes=messages, seen=self._index))

    def _check_doubtful(self) -> None:
        """Check replicas on returned engines, and listed shards that the replicated state lacks."""
        machine = self.machine
        if self._doubtful_as_of != machine.changes:
            self._doubtful_as_of = machine.changes
            for shard, held in machine.copies.items():
                for engine, replica in held.items():
                    if replica.state == "doubtful" and not replica.wrong:
                        self._doubtful.setdefault((shard, engine), (0, 0.0))
        running = sum(a.kind in ("doubt", "found") for a in self._pending.values())
        for pair in sorted(self._doubtful):
            shard, engine = pair
            host, move = machine.homes.get(engine), machine.move_of(shard)
            if host is None or host.life == "gone" or shard not in machine.shards:
                del self._doubtful[pair]
                continue
            tries, not_before_ms = self._doubtful[pair]
            if (
                not_before_ms > self._now_ms
                or running >= MAX_CONCURRENT_CHECKS
                or not self._drops_ended(shard, engine)
            ):
                continue
            busy = move is not None and move.step != "planned" and engine in (move.target, move.drops)
            if busy or any(a.owner == pair for a in self._pending.values()):
                continue
            running += 1
            self._run_statement(
                pair, "doubt", shard, engine, migration_statements.check(shard), self.timing.check_ms
            )

    def _on_doubt_checked(self, pending: _Pending, event: StatementEnded) -> None:
        shard, engine = pending.pair
        known = self.machine.shards.get(shard)
        host = self.machine.homes.get(engine)
        if event.outcome != "ok" or known is None or host is None or engine not in self._listed_shards:
            return self._retry_check(pending.pair)
        self._doubtful.pop(pending.pair, None)
        self._propose(
            pending.pair,
            "found",
            found=pb.Found(
                shard=shard,
                engine=engine,
                generation=host.generation,
                rows=event.rows,
                checksum=event.checksum,
                seen=pending.seen,
                present=event.rows > 0 or known.rows == 0 or shard in self._listed_shards.get(engine, ()),
            ),
        )

    def _retry_check(self, pair: tuple[str, str]) -> None:
        tries = self._doubtful.get(pair, (0, 0.0))[0] + 1
        self._doubtful[pair] = tries, self._now_ms + self._retry_delay_ms(tries)

    # Plans. The state may change after the plan's world is taken: steps are validated in the state and here.

    def _on_plan_completed(self, event: PlanCompleted) -> None:
        pending = self._pending.get(event.token)
        if pending is not None and pending.kind == "planning":
            del self._pending[event.token]
            self._new_plan = event.planned

    def _propose_plan(self) -> None:
        machine = self.machine
        for number in self.planned.cancels:
            move = machine.moves.get(number)
            if (
                move is not None
                and move.step in ("planned", "reserved", "copying", "checked")
                and not any(a.owner == number for a in self._pending.values())
            ):
                self._request_step(move, Step.UNDO)
        drops = list(self.planned.drops)
        drops += [
            (shard, engine)
            for shard, held in sorted(machine.copies.items())
            for engine, replica in sorted(held.items())
            if replica.wrong and machine.homes[engine].life != "gone"
        ]
        requested_moves: list[pb.Move] = []
        planned_shards: set[str] = set()  # shards in this plan: each has one migration at a time
        clearing_moves = {
            (move.shard, move.drops): move.number for move in machine.moves.values() if move.drops
        }
        numbers: dict[int, int] = {}  # by the planner's number: the number in this plan
        migrating = {move.shard for move in self.planned.moves}
        for shard, engine in drops:
            if (
                shard not in planned_shards
                and shard not in migrating
                and self._may_plan(shard)
                and machine.may_drop(shard, engine)
            ):
                planned_shards.add(shard)
                clearing_moves[shard, engine] = FIRST_PLAN_NUMBER + len(requested_moves)
                requested_moves.append(
                    pb.Move(number=FIRST_PLAN_NUMBER + len(requested_moves), shard=shard, drops=engine)
                )
        skipped: set[int] = set()
        for move in self.planned.moves:
            if (
                move.shard in planned_shards
                or not self._may_plan(move.shard)
                or skipped.intersection(move.after)
            ):
                skipped.add(move.number)  # migrations that wait for it are skipped too
                continue
            planned_shards.add(move.shard)
            numbers[move.number] = FIRST_PLAN_NUMBER + len(requested_moves)
            after = [numbers.get(ahead, ahead) for ahead in move.after]
            after += [clearing_moves[pair] for pair in move.cleared if pair in clearing_moves]
            requested_moves.append(
                pb.Move(
                    number=FIRST_PLAN_NUMBER + len(requested_moves),
                    shard=move.shard,
                    source=move.source,
                    target=move.target,
                    drops=move.drops,
                    after=after,
                )
            )
        requested_moves = requested_moves[
            : max(0, min(MAX_ENTRIES_PER_COMMAND, MAX_MIGRATIONS - len(machine.moves)))
        ]
        if requested_moves:
            self._propose(None, "plan", plan=pb.Plan(moves=requested_moves))

    def _may_plan(self, shard: str) -> bool:
        known = self.machine.shards.get(shard)
        return (
            known is not None
            and known.table not in self.frozen
            and self.machine.move_of(shard) is None
            and not self.machine.asides.get(shard, (0, 0))[0]
        )


def _differs(messages: ReplicaHost, known: ReplicaHost) -> bool:
    """Return whether a report differs from the known state of its engine."""
    return replace(messages, generation=known.generation, mark=messages.mark or known.mark) != known
