"""Rolls an admitted schema change out over the engines: events in, actions out, no I/O.

Each engine goes through these steps. The replicated state marks it quiet, so that controllers send it no
new queries of the table, and running ones drain. The state marks it ASKED and the publisher's statements
run. The table's columns are then described: they, not the statements' answers, decide the outcome. The
state records the outcome and releases the engine for queries. A revert goes through the same steps. All
progress is replicated, so another lease holder continues where this one stopped; an engine already marked
ASKED is described first.

Every statement and describe carries the fencing token `table:NAME:NUMBER`. An engine that has seen a newer
token refuses it and ends what still runs under an older one, so statements of an earlier holder have no
effect after a describe by a later one. A statement whose answer is lost is stopped before the describe, for
the same reason.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from math import inf

from fennelwind.schema_compatibility import contracts_pb2 as pb
from fennelwind.schema_compatibility.rules import RULES_VERSION
from fennelwind.schema_compatibility.state_machine import SchemaChange
from fennelwind.schema_compatibility.types import Schema

FENCE = "fennelwind.fence"  # overlay setting of a task's statements: TASK:NUMBER
Change = pb.Change


@dataclass(slots=True, frozen=True)
class RolloutTimeouts:
    """Timeouts in ms, and the number of attempts."""

    drain_ms: float = 120_000.0  # for an engine's running queries to end; after that, other engines go first
    answer_ms: float = 60_000.0  # for a statement, stop or describe; an ALTER changes the metastore, not rows
    record_ms: float = 5000.0  # for the answer to a replicated command; after that, the command is sent again
    max_attempts: int = 3  # per engine: to run the statements, and to drain


# Events. `token` is that of the action that the event answers; answers to earlier actions are ignored.


@dataclass(slots=True, frozen=True)
class CommandCompleted:
    """A `ProposeCommand` was answered; `answer` is None if the command's outcome is unknown."""

    token: int
    answer: pb.ContractAnswer | None


@dataclass(slots=True, frozen=True)
class Drained:
    """No query of the table runs on the engine, and none is sent to it."""

    token: int
    engine: str


@dataclass(slots=True, frozen=True)
class StatementEnded:
    """A statement ended: `ok`, `failed` (rejected by the engine), `lost` (outcome unknown) or `fenced`."""

    token: int
    engine: str
    how: str


@dataclass(slots=True, frozen=True)
class StatementStopped:
    """No statement sent by `RunStatement` runs on the engine any more."""

    token: int
    engine: str


@dataclass(slots=True, frozen=True)
class TableDescribed:
    """An engine described the table; `shape` has the columns, or is None if the engine has no such table."""

    token: int
    engine: str
    shape: tuple[tuple[str, str], ...] | None


@dataclass(slots=True, frozen=True)
class DescribeFailed:
    """An engine did not describe the table; `fenced` if it has seen a newer fencing token."""

    token: int
    engine: str
    fenced: bool = False


@dataclass(slots=True, frozen=True)
class EngineLeft:
    """An engine has left the fleet."""

    engine: str


@dataclass(slots=True, frozen=True)
class EngineReturned:
    """An engine that had left is back in the fleet."""

    engine: str


@dataclass(slots=True, frozen=True)
class Superseded:
    """The lease is lost; this rollout must stop."""


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


# Actions.


@dataclass(slots=True, frozen=True)
class ProposeCommand:
    """Propose a replicated command, one at a time; `CommandCompleted` answers it."""

    token: int
    command: pb.ContractCommand


@dataclass(slots=True, frozen=True)
class AwaitDrain:
    """Wait until the running queries of a quiet engine have ended; `Drained` answers it."""

    token: int
    engine: str


@dataclass(slots=True, frozen=True)
class Release:
    """Allow queries of the table on the engine again."""

    engine: str


@dataclass(slots=True, frozen=True)
class RunStatement:
    """Run a statement on an engine with overlay settings; `StatementEnded` answers it."""

    token: int
    engine: str
    statement: str
    overlay: tuple[tuple[str, str], ...]


@dataclass(slots=True, frozen=True)
class StopStatement:
    """End a `RunStatement` statement by closing its session on the engine; `StatementStopped` answers it."""

    token: int
    engine: str


@dataclass(slots=True, frozen=True)
class DescribeTable:
    """Read the table's columns on an engine, fenced; `TableDescribed` or `DescribeFailed` answers it."""

    token: int
    engine: str
    overlay: tuple[tuple[str, str], ...]


@dataclass(slots=True, frozen=True)
class RolloutEnded:
    """The last action: `finished`, `undone`, `superseded`, or `given-up` (another holder may try)."""

    how: str
    reason: str = ""


Action = ProposeCommand | AwaitDrain | Release | RunStatement | StopStatement | DescribeTable | RolloutEnded


def shape(schema: Schema | None) -> tuple[tuple[str, str], ...] | None:
    """Return a schema as `TableDescribed` reports it: column names and types in order."""
    return tuple((column.name, str(column.type)) for column in schema.row) if schema is not None else None


# States of engines that a revert still has to change back.
_UNDO_STATES = (Change.ASKED, Change.DONE, Change.ASKED_BACK)


class _EngineState:
    """Progress of the rollout on one engine."""

    __slots__ = (
        "name",
        "state",
        "phase",
        "deadline_ms",
        "token",
        "attempts",
        "next_statement",
        "is_quiet",
        "is_present",
        "may_still_run",
        "is_left_behind",
    )

    def __init__(self, name: str, state: int) -> None:
        self.name, self.state = name, state
        # "" (idle), "drain", "run", "stop", "describe", "mark", or "wait" (not drained; other engines first).
        self.phase = ""
        self.deadline_ms, self.token = 0.0, 0
        self.attempts = self.next_statement = 0  # statement index within the current attempt
        self.is_quiet = False
        self.is_present = state != Change.GONE_AWAY
        self.is_left_behind = False  # it missed an earlier change, has neither old nor new schema, is skipped
        self.may_still_run = False  # the engine left while running a statement of this holder


class Rollout:
    """Rolls out one change under one fencing token."""

    def __init__(
        self, change: SchemaChange, old: Schema | None, fence: int, timeouts: RolloutTimeouts
    ) -> None:
        self.number, self.fence, self.timeouts = change.number, fence, timeouts
        self.table, self.change_step = change.table, change.step
        self.forward, self.back, self.at_once = change.forward, change.back, change.at_once
        self._old_shape, self._new_shape = shape(old), shape(change.schema)
        self._engines = {name: _EngineState(name, state) for name, state in change.engines.items()}
        self._overlay = ((FENCE, f"table:{change.table}:{fence}"),)
        # Commands to propose, in order; the first one has been sent.
        self._pending_commands: list[pb.ContractCommand] = []
        self._resend_at_ms, self._command_token = 0.0, 0  # both of the first pending command
        self._token = 0  # token of the latest action
        self._has_begun = False
        self._revert_reason = ""  # set when a revert is to start, once no statement runs
        self.over: RolloutEnded | None = None

    @property
    def due(self) -> float | None:
        """Time in ms by which `step` must be called even without events; None if no timeout is pending."""
        times = [
            engine.deadline_ms for engine in self._engines.values() if engine.phase and engine.is_present
        ]
        return min([*times, *([self._resend_at_ms] if self._pending_commands else [])], default=None)

    def step(self, now_ms: float, events: Iterable[Event] = ()) -> list[Action]:
        """Handle events and timeouts; return the actions to take."""
        actions: list[Action] = []
        if self.over is not None:
            return actions
        if not self._has_begun:
            self._has_begun = True
            self._propose(now_ms, actions, begin=pb.Begin(number=self.number, fence=self.fence))
        for event in events:
            if self.over is None:
                self._handle(now_ms, event, actions)
        if self.over is None:
            self._check_timeouts(now_ms, actions)
        if self.over is None and not self._pending_commands:
            if self._revert_reason:
                self._revert_when_idle(now_ms, actions)
            else:
                self._advance(now_ms, actions)
        return actions

    # Events.

    def _handle(self, now_ms: float, event: Event, actions: list[Action]) -> None:
        if isinstance(event, Superseded):
            self._end(actions, "superseded", "the lease is lost")
        elif isinstance(event, CommandCompleted):
            if self._pending_commands and event.token == self._command_token:
                self._on_command_completed(now_ms, event.answer, actions)
        else:
            engine = self._engines.get(event.engine)
            if engine is not None:
                self._handle_engine_event(now_ms, engine, event, actions)

    def _handle_engine_event(
        self, now_ms: float, engine: _EngineState, event: Event, actions: list[Action]
    ) -> None:
        if isinstance(event, EngineLeft | EngineReturned):
            engine.is_present = isinstance(event, EngineReturned)
            engine.may_still_run = engine.may_still_run or (
                not engine.is_present and engine.phase in ("run", "stop")
            )
        elif event.token != engine.token:
            return
        elif isinstance(event, Drained) and engine.phase in ("drain", "wait"):
            engine.phase, engine.attempts = "", 0
            state = Change.ASKED if self.change_step == Change.FORWARD else Change.ASKED_BACK
            if engine.state != state:
                self._mark(now_ms, engine, state, actions, quiet=True)
            elif engine.may_still_run:
                self._stop_statement(now_ms, engine, actions)
            else:  # marked before, by this or an earlier holder: describe before running statements
                self._describe(now_ms, engine, actions)
        elif isinstance(event, StatementEnded) and engine.phase == "run":
            self._on_statement_ended(now_ms, engine, event.how, actions)
        elif isinstance(event, StatementStopped) and engine.phase == "stop":
            self._on_statement_stopped(now_ms, engine, actions)
        elif isinstance(event, TableDescribed) and engine.phase == "describe":
            self._on_table_described(now_ms, engine, event.shape, actions)
        elif isinstance(event, DescribeFailed) and engine.phase == "describe":
            if event.fenced:
                self._end(actions, "superseded", f"{engine.name} has seen a newer fence")
            else:
                self._retry_describe(now_ms, engine, actions)

    def _on_command_completed(
        self, now_ms: float, answer: pb.ContractAnswer | None, actions: list[Action]
    ) -> None:
        command = self._pending_commands[0]
        if answer is None:  # send the command again, applied or not: commands are idempotent
            self._send_command(now_ms, actions)
            return
        del self._pending_commands[0]
        kind = command.WhichOneof("what")
        if kind == "finish" and answer.refusal in (pb.NONE, pb.GONE):
            self._end(actions, "finished" if self.change_step == Change.FORWARD else "undone")
        elif answer.refusal == pb.FENCE:
            self._end(actions, "superseded", "the record has a newer fence")
        elif answer.refusal:
            self._end(actions, "given-up", f"{kind}: {pb.Refusal.Name(answer.refusal)}")
        elif kind == "begin":
            self.change_step = max(self.change_step, Change.FORWARD)
        elif kind == "turn":
            self.change_step, self._revert_reason = Change.BACK, ""
            for engine in self._engines.values():
                engine.phase, engine.attempts, engine.next_statement = "", 0, 0
        elif kind == "mark":
            self._on_marked(now_ms, self._engines[command.mark.engine], command.mark, actions)
        if self._pending_commands and self.over is None:
            self._send_command(now_ms, actions)

    def _on_marked(self, now_ms: float, engine: _EngineState, mark: pb.Mark, actions: list[Action]) -> None:
        engine.state, engine.phase = mark.state, ""
        if not mark.quiet:
            self._release(engine, actions)
        elif not engine.is_quiet:
            engine.is_quiet = True
            self._await_drain(now_ms, engine, actions)
        elif engine.is_present and engine.may_still_run:
            self._stop_statement(now_ms, engine, actions)
        elif engine.is_present:
            engine.next_statement = 0
            self._run_statement(now_ms, engine, actions)

    # Progress.

    def _advance(self, now_ms: float, actions: list[Action]) -> None:
        """Mark engines that left or returned, start the next engine, or finish."""
        is_forward = self.change_step == Change.FORWARD
        if self.change_step == Change.ADMITTED:
            return
        open_states = (Change.WAITING, Change.ASKED) if is_forward else _UNDO_STATES
        for engine in self._engines.values():
            if not engine.is_present and engine.state in (*open_states, Change.DONE):
                self._mark(now_ms, engine, Change.GONE_AWAY, actions)
            elif engine.is_present and engine.state == Change.GONE_AWAY and (is_forward or self.back):
                # Statements sent before the engine left may have been executed.
                self._mark(now_ms, engine, Change.ASKED if is_forward else Change.ASKED_BACK, actions)
        if self._pending_commands:
            return
        unfinished = [engine for engine in self._engines.values() if engine.state in open_states]
        if is_forward:
            unfinished += [
                engine
                for engine in self._engines.values()
                if engine.state == Change.BEHIND and engine.is_present and not engine.is_left_behind
            ]
        if not unfinished:
            if is_forward and all(engine.state != Change.DONE for engine in self._engines.values()):
                self._start_revert(now_ms, actions, "no engine is there to be changed")
            else:
                self._propose(now_ms, actions, finish=pb.Finish(number=self.number, fence=self.fence))
            return
        busy = [engine for engine in unfinished if engine.phase and engine.phase != "wait"]
        if busy and not self.at_once:
            return
        idle = [engine for engine in unfinished if not engine.phase]
        for engine in idle if self.at_once else idle[:1]:
            if engine.state == Change.BEHIND:
                self._describe(now_ms, engine, actions)
            elif engine.is_quiet:  # it has been quiet since before the revert started
                self._await_drain(now_ms, engine, actions)
            else:
                self._mark(now_ms, engine, engine.state, actions, quiet=True)

    def _on_statement_ended(
        self, now_ms: float, engine: _EngineState, how: str, actions: list[Action]
    ) -> None:
        engine.may_still_run = engine.may_still_run and how == "lost"
        if how == "fenced":
            self._end(actions, "superseded", f"{engine.name} has seen a newer fence")
        elif how == "lost":
            self._stop_statement(now_ms, engine, actions)
        elif self._revert_reason:
            engine.phase = ""
        elif how == "ok" and engine.next_statement + 1 < len(self._statements):
            engine.next_statement += 1
            self._run_statement(now_ms, engine, actions)
        elif self._old_shape != self._new_shape:
            self._describe(now_ms, engine, actions)
        elif how == "ok":  # equal columns in both versions: the statements' answers decide
            self._mark(now_ms, engine, self._target_state, actions)
        else:
            self._retry_statements(now_ms, engine, actions, "a statement failed")

    def _stop_statement(self, now_ms: float, engine: _EngineState, actions: list[Action]) -> None:
        actions.append(
            StopStatement(self._enter_phase(now_ms, engine, "stop", self.timeouts.answer_ms), engine.name)
        )

    def _on_statement_stopped(self, now_ms: float, engine: _EngineState, actions: list[Action]) -> None:
        engine.may_still_run = False
        if self._revert_reason:
            engine.phase = ""
        else:
            self._describe(now_ms, engine, actions)

    @property
    def _statements(self) -> tuple[str, ...]:
        return self.forward if self.change_step == Change.FORWARD else self.back

    @property
    def _target_state(self) -> int:
        return Change.DONE if self.change_step == Change.FORWARD else Change.UNDONE

    def _on_table_described(
        self,
        now_ms: float,
        engine: _EngineState,
        described: tuple[tuple[str, str], ...] | None,
        actions: list[Action],
    ) -> None:
        expected = self._new_shape if self.change_step == Change.FORWARD else self._old_shape
        if engine.state == Change.BEHIND and described != expected:
            engine.phase, engine.is_left_behind = "", described != self._old_shape
            if not engine.is_left_behind:
                self._mark(now_ms, engine, Change.WAITING, actions)
        elif engine.state == Change.BEHIND and self._old_shape == self._new_shape:
            self._mark(now_ms, engine, Change.WAITING, actions)
        elif described == expected and self._old_shape != self._new_shape:
            self._mark(now_ms, engine, self._target_state, actions)
        else:
            self._retry_statements(now_ms, engine, actions, "its columns are not as they should be")

    def _retry_statements(
        self, now_ms: float, engine: _EngineState, actions: list[Action], reason: str
    ) -> None:
        """Run an engine's statements again, start a revert, or give up."""
        if engine.attempts < self.timeouts.max_attempts and not self._revert_reason:
            engine.next_statement = 0
            self._run_statement(now_ms, engine, actions)
        else:
            engine.phase = ""
            self._start_revert(now_ms, actions, f"{engine.name}: {reason}")

    def _retry_describe(self, now_ms: float, engine: _EngineState, actions: list[Action]) -> None:
        """Describe again, start a revert, or give up; statements may have succeeded and are not repeated."""
        if engine.attempts < self.timeouts.max_attempts and not self._revert_reason:
            engine.attempts += 1
            self._describe(now_ms, engine, actions)
        elif engine.state == Change.BEHIND:
            engine.phase, engine.is_left_behind = "", True
        else:
            engine.phase = ""
            self._start_revert(now_ms, actions, f"{engine.name}: it does not show its columns")

    def _start_revert(self, now_ms: float, actions: list[Action], reason: str) -> None:
        has_changed_engine = any(
            engine.state in (Change.ASKED, Change.DONE) for engine in self._engines.values()
        )
        if self.change_step == Change.FORWARD and (self.back or not has_changed_engine):
            self._revert_reason = self._revert_reason or reason
        else:
            self._end(actions, "given-up", reason)

    def _revert_when_idle(self, now_ms: float, actions: list[Action]) -> None:
        """Start the revert once no statement runs, as a running one could overwrite reverted columns."""
        if not any(
            engine.is_present and engine.phase in ("run", "stop") for engine in self._engines.values()
        ):
            self._propose(now_ms, actions, turn=pb.Turn(number=self.number, fence=self.fence))

    def _check_timeouts(self, now_ms: float, actions: list[Action]) -> None:
        if self._pending_commands and self._resend_at_ms <= now_ms:
            self._on_command_completed(now_ms, None, actions)
        for engine in self._engines.values():
            if (
                self.over is not None
                or not engine.phase
                or engine.deadline_ms > now_ms
                or not engine.is_present
            ):
                continue
            if engine.phase == "run":
                self._on_statement_ended(now_ms, engine, "lost", actions)
            elif engine.phase == "stop":  # an unreachable engine may still be running the statement
                self._end(actions, "given-up", f"{engine.name} does not stop")
            elif engine.phase == "describe":
                self._retry_describe(now_ms, engine, actions)
            elif engine.phase == "drain":  # other engines go first; this one stays quiet and drains meanwhile
                engine.attempts += 1
                if engine.attempts >= self.timeouts.max_attempts:
                    engine.attempts = 0
                    self._start_revert(now_ms, actions, f"{engine.name}: queries that have begun do not end")
                else:
                    engine.phase, engine.deadline_ms = "wait", now_ms + self.timeouts.drain_ms
            elif engine.phase == "wait":
                engine.phase, engine.deadline_ms = "drain", now_ms + self.timeouts.drain_ms

    # Actions.

    def _run_statement(self, now_ms: float, engine: _EngineState, actions: list[Action]) -> None:
        if not engine.next_statement:
            engine.attempts += 1
        token = self._enter_phase(now_ms, engine, "run", self.timeouts.answer_ms)
        actions.append(
            RunStatement(token, engine.name, self._statements[engine.next_statement], self._overlay)
        )

    def _describe(self, now_ms: float, engine: _EngineState, actions: list[Action]) -> None:
        token = self._enter_phase(now_ms, engine, "describe", self.timeouts.answer_ms)
        actions.append(DescribeTable(token, engine.name, self._overlay))

    def _await_drain(self, now_ms: float, engine: _EngineState, actions: list[Action]) -> None:
        actions.append(
            AwaitDrain(self._enter_phase(now_ms, engine, "drain", self.timeouts.drain_ms), engine.name)
        )

    def _mark(
        self, now_ms: float, engine: _EngineState, state: int, actions: list[Action], *, quiet: bool = False
    ) -> None:
        """Propose to mark an engine's state."""
        self._enter_phase(now_ms, engine, "mark", inf)
        mark = pb.Mark(number=self.number, fence=self.fence, engine=engine.name, state=state, quiet=quiet)
        self._propose(now_ms, actions, mark=mark)

    def _propose(
        self, now_ms: float, actions: list[Action], **fields: pb.Begin | pb.Mark | pb.Turn | pb.Finish
    ) -> None:
        command = pb.ContractCommand(rules=RULES_VERSION, **fields)
        self._pending_commands.append(command)
        if len(self._pending_commands) == 1:
            self._send_command(now_ms, actions)

    def _send_command(self, now_ms: float, actions: list[Action]) -> None:
        self._command_token, self._resend_at_ms = self._next_token(), now_ms + self.timeouts.record_ms
        actions.append(ProposeCommand(self._command_token, self._pending_commands[0]))

    def _next_token(self) -> int:
        self._token += 1
        return self._token

    def _enter_phase(self, now_ms: float, engine: _EngineState, phase: str, timeout_ms: float) -> int:
        """Put an engine into a phase with a deadline; return the token of its action."""
        engine.phase, engine.deadline_ms, engine.token = phase, now_ms + timeout_ms, self._next_token()
        return engine.token

    def _release(self, engine: _EngineState, actions: list[Action]) -> None:
        if engine.is_quiet:
            engine.is_quiet = False
            actions.append(Release(engine.name))

    def _end(self, actions: list[Action], how: str, reason: str = "") -> None:
        for engine in self._engines.values():
            self._release(engine, actions)
        self.over = RolloutEnded(how, reason)
        actions.append(self.over)
