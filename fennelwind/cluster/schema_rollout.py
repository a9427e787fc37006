"""Carries admitted schema changes out on this controller, wherever it holds the lease of a table.

Every controller with tasks watches for changes under way and wants the lease `table:NAME` of each; the record
gives it to one. That one's carrier (`contracts.carrying`) decides; this makes its statements and its looks. A
controller that dies half-way is followed by the next in line, which goes on from what the record says.

Every controller learns by the same watch which engines are quiet for which tables. Where clearances are on,
the holder waits until all controllers have said that no query of theirs is left on an engine; where one is
silent for `SILENT_MS`, or keeps no queries away at all, the engine's own lock on its table is what is left.
"""

from collections import Counter
from collections.abc import Callable, Iterable
from functools import partial
from math import inf

from fennelwind.cluster import gate_pb2
from fennelwind.cluster.engine_statements import FENCED, LOST, OK, EngineStatements, Statement
from fennelwind.cluster.errors import ClusterError
from fennelwind.cluster.leased_tasks import HeldLease, LeasedTasks
from fennelwind.cluster.quiescence import QuiescenceClient
from fennelwind.cluster.raft_client import RaftClient
from fennelwind.cluster.running_work import RunningWork
from fennelwind.cluster.state_machines import CONTRACTS
from fennelwind.errors import FennelwindError
from fennelwind.leases.errors import LeaseNotHeldError
from fennelwind.loop import Loop, Task
from fennelwind.quiescence import clearance_pb2 as clear
from fennelwind.schema_compatibility import contracts_pb2 as pb
from fennelwind.schema_compatibility import rollout
from fennelwind.schema_compatibility.messages import read_schema
from fennelwind.schema_compatibility.state_machine import SchemaChange, read_change
from fennelwind.schema_compatibility.types import Schema, SchemaError, SchemaTextError, parse_type, quoted

TASK = "table:"  # and the table's name: the lease under which its changes are carried out
TERM_MS = 60_000  # ms of that lease; some 26 s of it are left at the least while renewals go well
STATEMENT_MS = 20_000.0  # ms for a statement or a look: an ALTER touches the metastore, no rows
STOP_MS = 5000.0  # ms for one try to end a statement that nobody knows of
ASK_MS = 4000.0  # ms for one command
WATCH_MS = 20_000.0  # ms of one watch for changes under way
PACE_MS = 200.0  # ms between two watches: a long list is answered at once
AGAIN_MS = 1000.0  # ms until a watch that failed is tried again
SHORT_MS = 2000.0  # ms of one while engines are quiet: the age of the view is part of what is said of it
SILENT_MS = 60_000.0  # ms that a silent controller is waited for: as long as a copy rests that leaves
HEAR_MS = 500.0  # ms between two questions whether an engine is cleared
NO_TABLE = "42S02"  # SQLSTATE of a look at a table that is not there

Rollout = rollout.Rollout
Kept = dict[str, frozenset[str]]  # by table: engines to which no new query of it is to go
# Takes the entry that a view is of, what is kept away, the pairs that are asked for, whether these are all.
Quieted = Callable[[int, Kept, list[tuple[str, str]], bool], None]


class SchemaChangeAbandonedError(FennelwindError):
    """A change can't be carried on from this controller; another one is tried."""

    code = "gate-change-given-up"
    advice = (
        "Look at the engine that is named: it refuses the publisher's statement, or can't be reached "
        "from here. The change goes on from another controller, or from here after a while."
    )


def shape(rows: Iterable[tuple[str, ...]]) -> tuple[tuple[str, str], ...]:
    """Return names and types of a description's rows: those ahead of the first that is empty or a heading.

    So it stands in the language manual (DDL, Describe): all columns, partition columns among them, and
    behind an empty row what else there is. Raises `SchemaTextError`, `SchemaError`.
    """
    found = []
    for row in rows:
        name = row[0].strip().lower() if row else ""
        if not name or name.startswith("#") or len(row) < 2:
            break
        found.append((name, str(parse_type(row[1].strip()))))
    return tuple(found)


class SchemaRollouts:
    """This controller's part in carrying changes out."""

    def __init__(
        self,
        loop: Loop,
        client: RaftClient,
        tasks: LeasedTasks,
        statements: EngineStatements,
        engines: Callable[[], Iterable[str]],
        said: Callable[[str, dict], None],
    ) -> None:
        self.loop, self.client, self.tasks, self.statements = loop, client, tasks, statements
        self.on_quiesced_tables: Quieted | None = None  # who keeps queries away here
        self.quiescence: QuiescenceClient | None = None  # None: no barrier requests
        self.engines, self.said = engines, said
        self.counts: Counter[str] = Counter()
        self._wanted: dict[str, int] = {}  # tables and the change of each
        self._task: Task | None = None

    def start(self) -> None:
        """Watch for changes from now on."""
        self._task = self.loop.spawn(self._watch, name="changes: watch")

    def close(self) -> None:
        """Watch no more."""
        if self._task is not None:
            self._task.cancel()

    def _watch(self) -> None:
        query = gate_pb2.ChangeQuery(
            open=True, behind=self.on_quiesced_tables is not None
        ).SerializeToString()
        seen, wait = None, WATCH_MS
        while True:
            try:
                view = self.client.watch(CONTRACTS, wait_ms=wait, query=query, unlike=seen)
            except ClusterError as exc:
                self.counts[exc.code] += 1
                self.loop.sleep(AGAIN_MS)
                continue
            seen, told = view.state, gate_pb2.ChangeTold.FromString(view.state)
            self._open(told)
            wait = SHORT_MS if self._tell_quiet(view.index, told) else WATCH_MS
            self.loop.sleep(PACE_MS)

    def _tell_quiet(self, index: int, told: gate_pb2.ChangeTold) -> bool:
        """Let queries be kept away; tell whether anybody waits for that."""
        asked = [(change.table, engine) for change in told.open for engine in change.quiet]
        if self.on_quiesced_tables is not None:
            kept: dict[str, set[str]] = {each.table: set(each.engines) for each in told.behind}
            for table, engine in asked:
                kept.setdefault(table, set()).add(engine)
            self.on_quiesced_tables(
                index, {table: frozenset(of) for table, of in kept.items()}, asked, not told.cut
            )
        return bool(asked) and self.on_quiesced_tables is not None

    def _open(self, told: gate_pb2.ChangeTold) -> None:
        now = {change.table: change.number for change in told.open}
        for table in sorted(set(self._wanted) - set(now)):
            del self._wanted[table]
            self.tasks.remove(TASK + table)
        for table in sorted(now):
            if self._wanted.get(table) != now[table]:  # also where one has ended and the next came at once
                self.tasks.add(TASK + table, partial(self._run, table), TERM_MS, "change of its schema")
            self._wanted[table] = now[table]

    def _run(self, table: str, held: HeldLease) -> bool:
        """Carry the table's changes out under its lease; true when none is left."""
        done = 0
        while self._wanted.get(table, done) != done:
            done = self._wanted[table]
            self._carry_out(table, done, held)
        return True

    def _carry_out(self, table: str, number: int, held: HeldLease) -> None:
        if not list(self.engines()):  # to who knows none, all seem gone
            raise SchemaChangeAbandonedError(
                f"change {number} of {table}: no engine is known here", table=table, number=number
            )
        query = gate_pb2.ChangeQuery(number=number, whole=True).SerializeToString()
        try:
            seen = self.client.read(CONTRACTS, query, within_ms=ASK_MS)
        except ClusterError as exc:  # called again while the lease is held
            raise LeaseNotHeldError(f"{held.name}: {exc}", task=held.name) from None
        told = gate_pb2.ChangeTold.FromString(seen.state)
        if not told.under_way:
            return
        change = read_change(pb.Change.FromString(told.change))
        old = read_schema(pb.Schema.FromString(told.old)) if told.HasField("old") else None
        over = _Carrying(self, held, change, old, seen.index).run()
        self.said("change " + over.how, {"table": table, "number": number, "reason": over.reason})
        self.counts[over.how] += 1
        if over.how not in ("finished", "undone"):
            raise SchemaChangeAbandonedError(
                f"change {number} of {table}: {over.how}: {over.reason}", table=table, number=number
            )


class _Carrying:
    """One change, under one fence."""

    def __init__(
        self, changes: SchemaRollouts, held: HeldLease, change: SchemaChange, old: Schema | None, seen: int
    ) -> None:
        # By engine: an entry at which it was quiet, and has been since. What was so at `seen` is, as only
        # the holder of the lease can let queries go there again.
        self._quiet_since = dict.fromkeys(change.quiet, seen)
        self._drains: dict[str, int] = {}  # by engine: the token of what it is to be cleared for
        self.changes, self.loop, self.held, self.change = changes, changes.loop, held, change
        patience = rollout.RolloutTimeouts(answer_ms=STATEMENT_MS + STOP_MS, record_ms=ASK_MS + AGAIN_MS)
        self.carrier = Rollout(change, old, held.fencing_token, patience)
        self.hands: RunningWork[rollout.Event] = RunningWork(self.loop, held.name)
        self._running: dict[str, Statement] = {}  # the last statement for each engine
        # One that the last holder noted as gone may be back: then it is told of as returned.
        self._there = {name for name, state in change.engines.items() if state != pb.Change.GONE_AWAY}

    def run(self) -> rollout.RolloutEnded:
        """Carry it out to its end here. Raises `LeaseNotHeldError` where too little of the lease is left."""
        try:
            while True:
                self._look_around()
                for action in self.carrier.step(self.loop.now(), self.hands.events()):
                    self._carry(action)
                if self.carrier.over is not None:
                    return self.carrier.over
                due = self.carrier.due
                self.hands.wait(min(inf if due is None else due, self.loop.now() + AGAIN_MS))
        finally:
            self.hands.close()

    def _look_around(self) -> None:
        """Tell the carrier which engines have left, and which are back."""
        known = set(self.changes.engines())
        for engine in sorted(self.change.engines):
            if engine in self._there and engine not in known:
                self._there.discard(engine)
                self.hands.post(rollout.EngineLeft(engine))
            elif engine not in self._there and engine in known:
                self._there.add(engine)
                self.hands.post(rollout.EngineReturned(engine))

    def _carry(self, action: rollout.Action) -> None:
        match action:
            case rollout.ProposeCommand():
                self.hands.spawn(self._tell, action)
            case rollout.AwaitDrain(token, engine) if self.changes.quiescence is None:
                self.hands.post(rollout.Drained(token, engine))  # the engine's own lock keeps them apart
            case rollout.AwaitDrain(token, engine):
                self._drains[engine] = token
                self.hands.spawn(self._drain, token, engine)
            case rollout.RunStatement():
                self.hands.spawn(self._statement, action)
            case rollout.StopStatement():
                self.hands.spawn(self._stop, action)
            case rollout.DescribeTable():
                self.hands.spawn(self._look, action)

    def _tell(self, action: rollout.ProposeCommand) -> None:
        try:
            command = action.command.SerializeToString(deterministic=True)
            result = self.changes.client.propose_with_index(CONTRACTS, command, ASK_MS)
        except ClusterError as exc:
            self.changes.counts[exc.code] += 1
            self.hands.post(rollout.CommandCompleted(action.token, None))
        else:
            answer, mark = pb.ContractAnswer.FromString(result.body), action.command.mark
            if action.command.HasField("mark") and not mark.quiet:
                self._quiet_since.pop(mark.engine, None)
            elif action.command.HasField("mark") and not answer.refusal:
                self._quiet_since.setdefault(mark.engine, result.index)
            self.hands.post(rollout.CommandCompleted(action.token, answer))

    def _drain(self, token: int, engine: str) -> None:
        """Wait until no controller has a query of the table on an engine, for as long as it is asked for."""
        silent_since: float | None = None
        wish = clear.Wish(table=True, name=self.change.table, engine=engine)
        while self._drains.get(engine) == token:
            wish.since = self._quiet_since.get(engine, 2**62)
            (state,) = self.changes.quiescence.barrier_states([wish])
            now = self.loop.now()
            if state != clear.Heard.SILENT:
                silent_since = None
            elif silent_since is None:
                silent_since = now
            late = silent_since is not None and now - silent_since >= SILENT_MS
            if late or state in (clear.Heard.CLEARED, clear.Heard.BLIND):
                self.changes.counts["engines cleared" if not late else "engines not cleared"] += 1
                self.hands.post(rollout.Drained(token, engine))
                return
            self.loop.sleep(HEAR_MS)

    def _statement(self, action: rollout.RunStatement) -> None:
        with self.held.operation(STATEMENT_MS) as act:
            statement = self._running[action.engine] = self.changes.statements.to(action.engine)
            how, _ = statement.run(action.statement, dict(action.overlay), STATEMENT_MS)
            act.is_outcome_unknown = how == LOST
        if how != OK:
            self.changes.said(
                "statement " + how,
                {"engine": action.engine, "table": self.change.table, "text": statement.text[:300]},
            )
        self.hands.post(rollout.StatementEnded(action.token, action.engine, how))

    def _stop(self, action: rollout.StopStatement) -> None:
        statement = self._running[action.engine]
        while not statement.stop(STOP_MS):
            self.loop.sleep(AGAIN_MS)  # until the carrier's own time is up
        self.hands.post(rollout.StatementStopped(action.token, action.engine))

    def _look(self, action: rollout.DescribeTable) -> None:
        parts = ".".join(quoted(part) for part in self.change.table.split("."))
        with self.held.operation(STATEMENT_MS):
            statement = self.changes.statements.to(action.engine)
            how, rows = statement.run(f"DESCRIBE {parts}", dict(action.overlay), STATEMENT_MS, rows=True)
        if how == OK:
            try:
                self.hands.post(rollout.TableDescribed(action.token, action.engine, shape(rows)))
                return
            except (SchemaTextError, SchemaError) as exc:
                statement.text = f"a description that can't be read: {exc}"
        elif statement.state == NO_TABLE:
            self.hands.post(rollout.TableDescribed(action.token, action.engine, None))
            return
        self.changes.said(
            "look " + how, {"engine": action.engine, "table": self.change.table, "text": statement.text[:300]}
        )
        self.hands.post(rollout.DescribeFailed(action.token, action.engine, how == FENCED))
