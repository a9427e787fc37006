"""Carrying an admitted change out over the engines, step by step: events in, actions out, no I/O.

For each engine: the record notes that it is quiet, so that controllers send it no new query of the table, and
those that have begun finish; the record notes that it is asked; the publisher's statements run; a look at its
schema says what came of them, whatever their answers were; the record notes it, and queries go there again.
Back in the same way. All that counts is on the record, so another holder begins where this one ended: an
engine that was asked is looked at first.

Every statement and look carries the fence, `table:NAME:NUMBER`. An engine that has seen a newer one refuses
it and ends what still runs under an older one, so that what an earlier holder sent does nothing after a look
of the later one. A statement whose answer is lost is stopped before the look, and does nothing after it.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from math import inf

from fennelwind.schema_compatibility import contracts_pb2 as pb
from fennelwind.schema_compatibility.rules import RULES_VERSION
from fennelwind.schema_compatibility.state_machine import SchemaChange
from fennelwind.schema_compatibility.types import Schema

FENCE = "fennelwind.fence"  # setting in the overlay of a task's statements: TASK:NUMBER
Change = pb.Change


@dataclass(slots=True, frozen=True)
class RolloutTimeouts:
    """How long a change waits, in ms, and how often it tries."""

    drain_ms: float = 120_000.0  # for queries that have begun on an engine; then it is another engine's turn
    answer_ms: float = 60_000.0  # for a statement, a stop or a look: an ALTER touches the metastore, no rows
    record_ms: float = 5000.0  # for the record; then it is told again
    tries: int = 3  # statements' runs on one engine, and times that it is waited for to drain


# What happens. `token` is that of the action which it answers; what answers an earlier one is passed over.


@dataclass(slots=True, frozen=True)
class CommandCompleted:
    """What became of a `ProposeCommand`; None: nobody knows."""

    token: int
    answer: pb.ContractAnswer | None


@dataclass(slots=True, frozen=True)
class Drained:
    """No query of the table is under way on an engine, and none is sent there."""

    token: int
    engine: str


@dataclass(slots=True, frozen=True)
class StatementEnded:
    """A statement has come to its end: `ok`, `failed` (the engine says no), `lost` (who knows), `fenced`."""

    token: int
    engine: str
    how: str


@dataclass(slots=True, frozen=True)
class StatementStopped:
    """Nothing that `RunStatement` sent is under way on an engine any more."""

    token: int
    engine: str


@dataclass(slots=True, frozen=True)
class TableDescribed:
    """An engine's columns of the table, their names and types; None: it has no such table."""

    token: int
    engine: str
    shape: tuple[tuple[str, str], ...] | None


@dataclass(slots=True, frozen=True)
class DescribeFailed:
    """An engine did not show its columns; `fenced`: for it has seen a newer fence."""

    token: int
    engine: str
    fenced: bool = False


@dataclass(slots=True, frozen=True)
class EngineLeft:
    """An engine has left the fleet."""

    engine: str


@dataclass(slots=True, frozen=True)
class EngineReturned:
    """An engine that had left is there again."""

    engine: str


@dataclass(slots=True, frozen=True)
class Superseded:
    """The lease is lost: nothing more is to be done here."""


Event = (
    CommandCompleted
    | Drained
    | StatementEnded
    | StatementStopped
    | TableDescribed
    | DescribeFailed
    | EngineLeft
    | EngineReturned
    | Superseded
)


# What is to be done.


@dataclass(slots=True, frozen=True)
class ProposeCommand:
    """A command for the record; one at a time, and `CommandCompleted` answers it."""

    token: int
    command: pb.ContractCommand


@dataclass(slots=True, frozen=True)
class AwaitDrain:
    """The record has told all controllers; `Drained` when the queries that have begun there are over."""

    token: int
    engine: str


@dataclass(slots=True, frozen=True)
class Release:
    """Queries of the table may go to the engine."""

    engine: str


@dataclass(slots=True, frozen=True)
class RunStatement:
    """A statement for an engine, with settings for its overlay; `StatementEnded` answers it."""

    token: int
    engine: str
    statement: str
    overlay: tuple[tuple[str, str], ...]


@dataclass(slots=True, frozen=True)
class StopStatement:
    """End what `RunStatement` sent, by closing the session on the engine; `StatementStopped` answers it."""

    token: int
    engine: str


@dataclass(slots=True, frozen=True)
class DescribeTable:
    """Read an engine's columns of the table, fenced too; answered by `TableDescribed` or `DescribeFailed`."""

    token: int
    engine: str
    overlay: tuple[tuple[str, str], ...]


@dataclass(slots=True, frozen=True)
class RolloutEnded:
    """Nothing more comes: `finished`, `undone`, `superseded`, or `given-up`: somebody else may try."""

    how: str
    reason: str = ""


Action = ProposeCommand | AwaitDrain | Release | RunStatement | StopStatement | DescribeTable | RolloutEnded


def shape(schema: Schema | None) -> tuple[tuple[str, str], ...] | None:
    """Return what a look at an engine shows of a schema: names and types in order."""
    return tuple((column.name, str(column.type)) for column in schema.row) if schema is not None else None


_UNDO = (Change.ASKED, Change.DONE, Change.ASKED_BACK)  # on the way back: engines that are not as they were


class _Part:
    """One engine's part."""

    __slots__ = (
        "name",
        "state",
        "phase",
        "until",
        "token",
        "tries",
        "next",
        "quiet",
        "there",
        "unsure",
        "out",
    )

    def __init__(self, name: str, state: int) -> None:
        self.name, self.state = name, state
        self.phase = ""  # "": at rest; drain, run, stop, look, tell; wait: others first, as it did not drain
        self.until, self.token = 0.0, 0
        self.tries = self.next = 0  # runs so far; statements of this run that have gone through
        self.quiet = False
        self.there = state != Change.GONE_AWAY
        self.out = False  # it missed an earlier change, and has neither schema: it stays behind
        self.unsure = False  # it left with a statement of this holder under way, which may run on


class Rollout:
    """Carries one change out, under one fence."""

    def __init__(
        self, change: SchemaChange, old: Schema | None, fence: int, patience: RolloutTimeouts
    ) -> None:
        self.number, self.fence, self.patience = change.number, fence, patience
        self.table, self.step_name = change.table, change.step
        self.forward, self.back, self.at_once = change.forward, change.back, change.at_once
        self._old, self._new = shape(old), shape(change.schema)
        self._parts = {name: _Part(name, state) for name, state in change.engines.items()}
        self._overlay = ((FENCE, f"table:{change.table}:{fence}"),)
        self._asked: list[pb.ContractCommand] = []  # for the record, in order; the first has been told
        self._asked_until, self._told = 0.0, 0  # when it is told again; its token
        self._token = 0  # of the last action
        self._began = False
        self._turning = ""  # why the change goes back, once nothing runs on any engine
        self.over: RolloutEnded | None = None

    @property
    def due(self) -> float | None:
        """When `step` has to be called though nothing happens; None: nothing is waited for."""
        times = [part.until for part in self._parts.values() if part.phase and part.there]
        return min([*times, *([self._asked_until] if self._asked else [])], default=None)

    def step(self, now: float, events: Iterable[Event] = ()) -> list[Action]:
        """Take what happened; return what is to be done."""
        actions: list[Action] = []
        if self.over is not None:
            return actions
        if not self._began:
            self._began = True
            self._tell(now, actions, begin=pb.Begin(number=self.number, fence=self.fence))
        for event in events:
            if self.over is None:
                self._take(now, event, actions)
        if self.over is None:
            self._times(now, actions)
        if self.over is None and not self._asked:
            if self._turning:
                self._turn_when_still(now, actions)
            else:
                self._go_on(now, actions)
        return actions

    # Events.

    def _take(self, now: float, event: Event, actions: list[Action]) -> None:
        if isinstance(event, Superseded):
            self._end(actions, "superseded", "the lease is lost")
        elif isinstance(event, CommandCompleted):
            if self._asked and event.token == self._told:
                self._recorded(now, event.answer, actions)
        else:
            part = self._parts.get(event.engine)
            if part is not None:
                self._of_engine(now, part, event, actions)

    def _of_engine(self, now: float, part: _Part, event: Event, actions: list[Action]) -> None:
        if isinstance(event, EngineLeft | EngineReturned):
            part.there = isinstance(event, EngineReturned)
            part.unsure = part.unsure or (not part.there and part.phase in ("run", "stop"))
        elif event.token != part.token:
            return
        elif isinstance(event, Drained) and part.phase in ("drain", "wait"):
            part.phase, part.tries = "", 0
            state = Change.ASKED if self.step_name == Change.FORWARD else Change.ASKED_BACK
            if part.state != state:
                self._settle(now, part, state, actions, quiet=True)
            elif part.unsure:
                self._stop(now, part, actions)
            else:  # it was asked before, by this holder or another: the look comes first
                self._look(now, part, actions)
        elif isinstance(event, StatementEnded) and part.phase == "run":
            self._ran(now, part, event.how, actions)
        elif isinstance(event, StatementStopped) and part.phase == "stop":
            self._stopped(now, part, actions)
        elif isinstance(event, TableDescribed) and part.phase == "look":
            self._looked(now, part, event.shape, actions)
        elif isinstance(event, DescribeFailed) and part.phase == "look":
            if event.fenced:
                self._end(actions, "superseded", f"{part.name} has seen a newer fence")
            else:
                self._look_again(now, part, actions)

    def _recorded(self, now: float, answer: pb.ContractAnswer | None, actions: list[Action]) -> None:
        command = self._asked[0]
        if answer is None:  # done or not: the same again does no harm
            self._tell_first(now, actions)
            return
        del self._asked[0]
        kind = command.WhichOneof("what")
        if kind == "finish" and answer.refusal in (pb.NONE, pb.GONE):
            self._end(actions, "finished" if self.step_name == Change.FORWARD else "undone")
        elif answer.refusal == pb.FENCE:
            self._end(actions, "superseded", "the record has a newer fence")
        elif answer.refusal:
            self._end(actions, "given-up", f"{kind}: {pb.Refusal.Name(answer.refusal)}")
        elif kind == "begin":
            self.step_name = max(self.step_name, Change.FORWARD)
        elif kind == "turn":
            self.step_name, self._turning = Change.BACK, ""
            for part in self._parts.values():
                part.phase, part.tries, part.next = "", 0, 0
        elif kind == "mark":
            self._marked(now, self._parts[command.mark.engine], command.mark, actions)
        if self._asked and self.over is None:
            self._tell_first(now, actions)

    def _marked(self, now: float, part: _Part, mark: pb.Mark, actions: list[Action]) -> None:
        part.state, part.phase = mark.state, ""
        if not mark.quiet:
            self._release(part, actions)
        elif not part.quiet:
            part.quiet = True
            self._drain(now, part, actions)
        elif part.there and part.unsure:
            self._stop(now, part, actions)
        elif part.there:
            part.next = 0
            self._run(now, part, actions)

    # What comes next.

    def _go_on(self, now: float, actions: list[Action]) -> None:
        """Note who has left or returned, begin with the next engine, or end."""
        forward = self.step_name == Change.FORWARD
        if self.step_name == Change.ADMITTED:
            return
        open_states = (Change.WAITING, Change.ASKED) if forward else _UNDO
        for part in self._parts.values():
            if not part.there and part.state in (*open_states, Change.DONE):
                self._settle(now, part, Change.GONE_AWAY, actions)
            elif part.there and part.state == Change.GONE_AWAY and (forward or self.back):
                # What it had been asked before it left may have been done.
                self._settle(now, part, Change.ASKED if forward else Change.ASKED_BACK, actions)
        if self._asked:
            return
        left = [part for part in self._parts.values() if part.state in open_states]
        if forward:
            left += [
                part
                for part in self._parts.values()
                if part.state == Change.BEHIND and part.there and not part.out
            ]
        if not left:
            if forward and all(part.state != Change.DONE for part in self._parts.values()):
                self._turn(now, actions, "no engine is there to be changed")
            else:
                self._tell(now, actions, finish=pb.Finish(number=self.number, fence=self.fence))
            return
        busy = [part for part in left if part.phase and part.phase != "wait"]
        if busy and not self.at_once:
            return
        idle = [part for part in left if not part.phase]
        for part in idle if self.at_once else idle[:1]:
            if part.state == Change.BEHIND:
                self._look(now, part, actions)
            elif part.quiet:  # since before the change turned back
                self._drain(now, part, actions)
            else:
                self._settle(now, part, part.state, actions, quiet=True)

    def _ran(self, now: float, part: _Part, how: str, actions: list[Action]) -> None:
        part.unsure = part.unsure and how == "lost"
        if how == "fenced":
            self._end(actions, "superseded", f"{part.name} has seen a newer fence")
        elif how == "lost":
            self._stop(now, part, actions)
        elif self._turning:
            part.phase = ""
        elif how == "ok" and part.next + 1 < len(self._statements):
            part.next += 1
            self._run(now, part, actions)
        elif self._old != self._new:
            self._look(now, part, actions)
        elif how == "ok":  # a look can't tell the versions apart, so the answer has to
            self._settle(now, part, self._aim, actions)
        else:
            self._again(now, part, actions, "a statement failed")

    def _stop(self, now: float, part: _Part, actions: list[Action]) -> None:
        actions.append(StopStatement(self._phase(now, part, "stop", self.patience.answer_ms), part.name))

    def _stopped(self, now: float, part: _Part, actions: list[Action]) -> None:
        part.unsure = False
        if self._turning:
            part.phase = ""
        else:
            self._look(now, part, actions)

    @property
    def _statements(self) -> tuple[str, ...]:
        return self.forward if self.step_name == Change.FORWARD else self.back

    @property
    def _aim(self) -> int:
        return Change.DONE if self.step_name == Change.FORWARD else Change.UNDONE

    def _looked(
        self, now: float, part: _Part, seen: tuple[tuple[str, str], ...] | None, actions: list[Action]
    ) -> None:
        wanted = self._new if self.step_name == Change.FORWARD else self._old
        if part.state == Change.BEHIND and seen != wanted:
            part.phase, part.out = "", seen != self._old
            if not part.out:
                self._settle(now, part, Change.WAITING, actions)
        elif part.state == Change.BEHIND and self._old == self._new:
            self._settle(now, part, Change.WAITING, actions)
        elif seen == wanted and self._old != self._new:
            self._settle(now, part, self._aim, actions)
        else:
            self._again(now, part, actions, "its columns are not as they should be")

    def _again(self, now: float, part: _Part, actions: list[Action], why: str) -> None:
        """Run an engine's statements once more, turn back, or give up."""
        if part.tries < self.patience.tries and not self._turning:
            part.next = 0
            self._run(now, part, actions)
        else:
            part.phase = ""
            self._turn(now, actions, f"{part.name}: {why}")

    def _look_again(self, now: float, part: _Part, actions: list[Action]) -> None:
        """Look once more, turn back, or give up: what was run may have gone through, and is not run anew."""
        if part.tries < self.patience.tries and not self._turning:
            part.tries += 1
            self._look(now, part, actions)
        elif part.state == Change.BEHIND:
            part.phase, part.out = "", True
        else:
            part.phase = ""
            self._turn(now, actions, f"{part.name}: it does not show its columns")

    def _turn(self, now: float, actions: list[Action], why: str) -> None:
        touched = any(part.state in (Change.ASKED, Change.DONE) for part in self._parts.values())
        if self.step_name == Change.FORWARD and (self.back or not touched):
            self._turning = self._turning or why
        else:
            self._end(actions, "given-up", why)

    def _turn_when_still(self, now: float, actions: list[Action]) -> None:
        """Turn back; a statement that still runs could else undo what goes back."""
        if not any(part.there and part.phase in ("run", "stop") for part in self._parts.values()):
            self._tell(now, actions, turn=pb.Turn(number=self.number, fence=self.fence))

    def _times(self, now: float, actions: list[Action]) -> None:
        if self._asked and self._asked_until <= now:
            self._recorded(now, None, actions)
        for part in self._parts.values():
            if self.over is not None or not part.phase or part.until > now or not part.there:
                continue
            if part.phase == "run":
                self._ran(now, part, "lost", actions)
            elif part.phase == "stop":  # who can't be reached is not known to have stopped
                self._end(actions, "given-up", f"{part.name} does not stop")
            elif part.phase == "look":
                self._look_again(now, part, actions)
            elif part.phase == "drain":  # others first; it stays quiet, so that it drains meanwhile
                part.tries += 1
                if part.tries >= self.patience.tries:
                    part.tries = 0
                    self._turn(now, actions, f"{part.name}: queries that have begun do not end")
                else:
                    part.phase, part.until = "wait", now + self.patience.drain_ms
            elif part.phase == "wait":
                part.phase, part.until = "drain", now + self.patience.drain_ms

    # Actions.

    def _run(self, now: float, part: _Part, actions: list[Action]) -> None:
        if not part.next:
            part.tries += 1
        token = self._phase(now, part, "run", self.patience.answer_ms)
        actions.append(RunStatement(token, part.name, self._statements[part.next], self._overlay))

    def _look(self, now: float, part: _Part, actions: list[Action]) -> None:
        token = self._phase(now, part, "look", self.patience.answer_ms)
        actions.append(DescribeTable(token, part.name, self._overlay))

    def _drain(self, now: float, part: _Part, actions: list[Action]) -> None:
        actions.append(AwaitDrain(self._phase(now, part, "drain", self.patience.drain_ms), part.name))

    def _settle(
        self, now: float, part: _Part, state: int, actions: list[Action], *, quiet: bool = False
    ) -> None:
        """Have the record note an engine's state."""
        self._phase(now, part, "tell", inf)
        mark = pb.Mark(number=self.number, fence=self.fence, engine=part.name, state=state, quiet=quiet)
        self._tell(now, actions, mark=mark)

    def _tell(
        self, now: float, actions: list[Action], **what: pb.Begin | pb.Mark | pb.Turn | pb.Finish
    ) -> None:
        command = pb.ContractCommand(rules=RULES_VERSION, **what)
        self._asked.append(command)
        if len(self._asked) == 1:
            self._tell_first(now, actions)

    def _tell_first(self, now: float, actions: list[Action]) -> None:
        self._told, self._asked_until = self._next_token(), now + self.patience.record_ms
        actions.append(ProposeCommand(self._told, self._asked[0]))

    def _next_token(self) -> int:
        self._token += 1
        return self._token

    def _phase(self, now: float, part: _Part, phase: str, wait_ms: float) -> int:
        """Put an engine into a phase; return the token of its action."""
        part.phase, part.until, part.token = phase, now + wait_ms, self._next_token()
        return part.token

    def _release(self, part: _Part, actions: list[Action]) -> None:
        if part.quiet:
            part.quiet = False
            actions.append(Release(part.name))

    def _end(self, actions: list[Action], how: str, reason: str = "") -> None:
        for part in self._parts.values():
            self._release(part, actions)
        self.over = RolloutEnded(how, reason)
        actions.append(self.over)
