"""Rolls out admitted schema changes to the engines, on the controller that holds the table's lease.

Every controller with leased tasks watches for schema changes in progress and requests the lease `table:NAME`
for each change. The holder's core (`schema_compatibility.rollout`) decides; this module runs the core's
statements and DESCRIBEs on the engines. If the holder fails, the next holder continues from the replicated
state.

By the same watch every controller learns which engines are quiesced for which tables. With acknowledgements
enabled, the holder waits until all controllers have acknowledged that none of their queries runs on an
engine. If a controller is silent for `SILENCE_TIMEOUT_MS`, or can't withhold queries, only the engine's own
table lock separates that controller's queries from the change.
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

LEASE_PREFIX = "table:"  # prefix of the lease for a table's rollouts; the table's name follows
LEASE_TERM_MS = 60_000  # ms of a table's lease; while renewals succeed, at least about 26 s remain
STATEMENT_TIMEOUT_MS = 20_000.0  # ms for a statement or DESCRIBE: an ALTER changes the metastore only
STOP_TIMEOUT_MS = 5000.0  # ms for one attempt to stop a statement with an unknown outcome
PROPOSE_TIMEOUT_MS = 4000.0  # ms for one command
WATCH_MS = 20_000.0  # ms until a watch for schema changes in progress is repeated
MIN_WATCH_INTERVAL_MS = 200.0  # ms between two watches: a watch with a large `unlike` is answered at once
RETRY_MS = 1000.0  # ms until a failed watch or stop is repeated, and between checks of the engine list
QUIESCING_WATCH_MS = 2000.0  # ms of one watch while engines are quiesced: acknowledgements need a recent view
SILENCE_TIMEOUT_MS = 60_000.0  # ms to wait for a silent controller; equals a draining replica's rest period
BARRIER_CHECK_MS = 500.0  # ms between two barrier requests
NO_TABLE = "42S02"  # SQLSTATE of the error for a DESCRIBE of a missing table

Rollout = rollout.Rollout
ExcludedEngines = dict[str, frozenset[str]]  # by table: engines to which no new query of the table may go
# Parameters: the view's index, excluded engines, pairs of table and engine being quiesced, whether the view
# is complete.
QuiescedTablesCallback = Callable[[int, ExcludedEngines, list[tuple[str, str]], bool], None]


class SchemaChangeAbandonedError(FennelwindError):
    """This controller can't continue a schema change; another controller takes it over."""

    code = "gate-change-given-up"
    advice = (
        "Check the engine named in the text: it rejects the publisher's statement, or can't be reached from "
        "this controller. The change continues on another controller, or on this one after a while."
    )


def parse_description(rows: Iterable[tuple[str, ...]]) -> tuple[tuple[str, str], ...]:
    """Return the names and types of a table's columns, from the rows of a DESCRIBE.

    The columns are the rows before the first row that is empty or a heading. By Hive's language manual (DDL,
    Describe), these rows list all columns, partition columns included; other details follow an empty row.

    Raises `SchemaTextError`, `SchemaError`.
    """
    columns = []
    for row in rows:
        name = row[0].strip().lower() if row else ""
        if not name or name.startswith("#") or len(row) < 2:
            break
        columns.append((name, str(parse_type(row[1].strip()))))
    return tuple(columns)


class SchemaRollouts:
    """Rolls out the schema changes of all tables whose lease this controller holds."""

    def __init__(
        self,
        loop: Loop,
        client: RaftClient,
        tasks: LeasedTasks,
        statements: EngineStatements,
        engines: Callable[[], Iterable[str]],
        log: Callable[[str, dict], None],
    ) -> None:
        self.loop, self.client, self.tasks, self.statements = loop, client, tasks, statements
        self.on_quiesced_tables: QuiescedTablesCallback | None = None  # None if queries can't be withheld
        self.quiescence: QuiescenceClient | None = None  # None if no barrier requests are made
        self.engines, self.log = engines, log
        self.counts: Counter[str] = Counter()
        self._changes: dict[str, int] = {}  # the number of the change in progress, by table
        self._task: Task | None = None

    def start(self) -> None:
        """Start watching for schema changes."""
        self._task = self.loop.spawn(self._watch, name="changes: watch")

    def close(self) -> None:
        """Stop watching."""
        if self._task is not None:
            self._task.cancel()

    def _watch(self) -> None:
        query = gate_pb2.ChangeQuery(
            open=True, behind=self.on_quiesced_tables is not None
        ).SerializeToString()
        last_state, wait_ms = None, WATCH_MS
        while True:
            try:
                view = self.client.watch(CONTRACTS, wait_ms=wait_ms, query=query, unlike=last_state)
            except ClusterError as exc:
                self.counts[exc.code] += 1
                self.loop.sleep(RETRY_MS)
                continue
            last_state, changes = view.state, gate_pb2.ChangeTold.FromString(view.state)
            self._update_tasks(changes)
            wait_ms = QUIESCING_WATCH_MS if self._report_quiesced(view.index, changes) else WATCH_MS
            self.loop.sleep(MIN_WATCH_INTERVAL_MS)

    def _report_quiesced(self, index: int, changes: gate_pb2.ChangeTold) -> bool:
        """Report the engines to withhold queries from; return whether a change waits for quiescence."""
        quiesced = [(change.table, engine) for change in changes.open for engine in change.quiet]
        if self.on_quiesced_tables is not None:
            excluded: dict[str, set[str]] = {each.table: set(each.engines) for each in changes.behind}
            for table, engine in quiesced:
                excluded.setdefault(table, set()).add(engine)
            self.on_quiesced_tables(
                index,
                {table: frozenset(engines) for table, engines in excluded.items()},
                quiesced,
                not changes.cut,
            )
        return bool(quiesced) and self.on_quiesced_tables is not None

    def _update_tasks(self, changes: gate_pb2.ChangeTold) -> None:
        in_progress = {change.table: change.number for change in changes.open}
        for table in sorted(set(self._changes) - set(in_progress)):
            del self._changes[table]
            self.tasks.remove(LEASE_PREFIX + table)
        for table in sorted(in_progress):
            if self._changes.get(table) != in_progress[table]:  # a new change, or the table's next one
                self.tasks.add(
                    LEASE_PREFIX + table, partial(self._run, table), LEASE_TERM_MS, "change of its schema"
                )
            self._changes[table] = in_progress[table]

    def _run(self, table: str, held: HeldLease) -> bool:
        """Roll out the table's changes under its lease; return True once none is in progress."""
        number = 0
        while self._changes.get(table, number) != number:
            number = self._changes[table]
            self._roll_out(table, number, held)
        return True

    def _roll_out(self, table: str, number: int, held: HeldLease) -> None:
        if not list(self.engines()):  # with no engine known, all engines would count as removed
            raise SchemaChangeAbandonedError(
                f"change {number} of {table}: no engine is known here", table=table, number=number
            )
        query = gate_pb2.ChangeQuery(number=number, whole=True).SerializeToString()
        try:
            read = self.client.read(CONTRACTS, query, within_ms=PROPOSE_TIMEOUT_MS)
        except ClusterError as exc:  # the task's function is called again while the lease is held
            raise LeaseNotHeldError(f"{held.name}: {exc}", task=held.name) from None
        answer = gate_pb2.ChangeTold.FromString(read.state)
        if not answer.under_way:
            return
        change = read_change(pb.Change.FromString(answer.change))
        old_schema = read_schema(pb.Schema.FromString(answer.old)) if answer.HasField("old") else None
        result = _Rollout(self, held, change, old_schema, read.index).run()
        self.log("schema change " + result.how, {"table": table, "number": number, "reason": result.reason})
        self.counts[result.how] += 1
        if result.how not in ("finished", "undone"):
            raise SchemaChangeAbandonedError(
                f"change {number} of {table}: {result.how}: {result.reason}", table=table, number=number
            )


class _Rollout:
    """The rollout of one schema change during one tenure of the table's lease."""

    def __init__(
        self,
        rollouts: SchemaRollouts,
        held: HeldLease,
        change: SchemaChange,
        old_schema: Schema | None,
        read_index: int,
    ) -> None:
        # By engine: the index of an entry since which the engine has been quiesced. Engines quiesced at
        # `read_index` are still quiesced: only the lease holder can let queries go to these engines again.
        self._quiesced_since = dict.fromkeys(change.quiet, read_index)
        self._drain_tokens: dict[str, int] = {}  # by engine: the token of the last `AwaitDrain` action
        self.rollouts, self.loop, self.held, self.change = rollouts, rollouts.loop, held, change
        patience = rollout.RolloutTimeouts(
            answer_ms=STATEMENT_TIMEOUT_MS + STOP_TIMEOUT_MS, record_ms=PROPOSE_TIMEOUT_MS + RETRY_MS
        )
        self.core = Rollout(change, old_schema, held.fencing_token, patience)
        self.work: RunningWork[rollout.Event] = RunningWork(self.loop, held.name)
        self._statements: dict[str, Statement] = {}  # the last statement for each engine
        # If an engine that the last holder recorded as removed is back, `EngineReturned` is posted for it.
        self._present_engines = {
            name for name, state in change.engines.items() if state != pb.Change.GONE_AWAY
        }

    def run(self) -> rollout.RolloutEnded:
        """Run the rollout to its end. Raises `LeaseNotHeldError` when too little of the lease is left."""
        try:
            while True:
                self._update_engines()
                for action in self.core.step(self.loop.now(), self.work.events()):
                    self._carry_out(action)
                if self.core.over is not None:
                    return self.core.over
                due_ms = self.core.due
                self.work.wait(min(inf if due_ms is None else due_ms, self.loop.now() + RETRY_MS))
        finally:
            self.work.close()

    def _update_engines(self) -> None:
        """Post an event for each engine that was removed or has returned."""
        known = set(self.rollouts.engines())
        for engine in sorted(self.change.engines):
            if engine in self._present_engines and engine not in known:
                self._present_engines.discard(engine)
                self.work.post(rollout.EngineLeft(engine))
            elif engine not in self._present_engines and engine in known:
                self._present_engines.add(engine)
                self.work.post(rollout.EngineReturned(engine))

    def _carry_out(self, action: rollout.Action) -> None:
        match action:
            case rollout.ProposeCommand():
                self.work.spawn(self._submit_command, action)
            case rollout.AwaitDrain(token, engine) if self.rollouts.quiescence is None:
                self.work.post(rollout.Drained(token, engine))  # no wait: the engine's table lock suffices
            case rollout.AwaitDrain(token, engine):
                self._drain_tokens[engine] = token
                self.work.spawn(self._await_drain, token, engine)
            case rollout.RunStatement():
                self.work.spawn(self._run_statement, action)
            case rollout.StopStatement():
                self.work.spawn(self._stop_statement, action)
            case rollout.DescribeTable():
                self.work.spawn(self._describe_table, action)

    def _submit_command(self, action: rollout.ProposeCommand) -> None:
        try:
            command = action.command.SerializeToString(deterministic=True)
            result = self.rollouts.client.propose_with_index(CONTRACTS, command, PROPOSE_TIMEOUT_MS)
        except ClusterError as exc:
            self.rollouts.counts[exc.code] += 1
            self.work.post(rollout.CommandCompleted(action.token, None))
        else:
            answer, mark = pb.ContractAnswer.FromString(result.body), action.command.mark
            if action.command.HasField("mark") and not mark.quiet:
                self._quiesced_since.pop(mark.engine, None)
            elif action.command.HasField("mark") and not answer.refusal:
                self._quiesced_since.setdefault(mark.engine, result.index)
            self.work.post(rollout.CommandCompleted(action.token, answer))

    def _await_drain(self, token: int, engine: str) -> None:
        """Wait until no controller has a query of the table on an engine, or a newer `AwaitDrain` arrives."""
        silent_since: float | None = None
        barrier = clear.Wish(table=True, name=self.change.table, engine=engine)
        while self._drain_tokens.get(engine) == token:
            barrier.since = self._quiesced_since.get(engine, 2**62)
            (state,) = self.rollouts.quiescence.barrier_states([barrier])
            now = self.loop.now()
            if state != clear.Heard.SILENT:
                silent_since = None
            elif silent_since is None:
                silent_since = now
            is_timed_out = silent_since is not None and now - silent_since >= SILENCE_TIMEOUT_MS
            if is_timed_out or state in (clear.Heard.CLEARED, clear.Heard.BLIND):
                self.rollouts.counts["engines cleared" if not is_timed_out else "engines not cleared"] += 1
                self.work.post(rollout.Drained(token, engine))
                return
            self.loop.sleep(BARRIER_CHECK_MS)

    def _run_statement(self, action: rollout.RunStatement) -> None:
        with self.held.operation(STATEMENT_TIMEOUT_MS) as operation:
            statement = self._statements[action.engine] = self.rollouts.statements.create(action.engine)
            status, _ = statement.run(action.statement, dict(action.overlay), STATEMENT_TIMEOUT_MS)
            operation.is_outcome_unknown = status == LOST
        if status != OK:
            self.rollouts.log(
                "statement " + status,
                {"engine": action.engine, "table": self.change.table, "text": statement.error_text[:300]},
            )
        self.work.post(rollout.StatementEnded(action.token, action.engine, status))

    def _stop_statement(self, action: rollout.StopStatement) -> None:
        statement = self._statements[action.engine]
        while not statement.stop(STOP_TIMEOUT_MS):
            self.loop.sleep(RETRY_MS)  # repeated until the core's own deadline
        self.work.post(rollout.StatementStopped(action.token, action.engine))

    def _describe_table(self, action: rollout.DescribeTable) -> None:
        table_name = ".".join(quoted(part) for part in self.change.table.split("."))
        with self.held.operation(STATEMENT_TIMEOUT_MS):
            statement = self.rollouts.statements.create(action.engine)
            status, rows = statement.run(
                f"DESCRIBE {table_name}", dict(action.overlay), STATEMENT_TIMEOUT_MS, fetch_rows=True
            )
        if status == OK:
            try:
                self.work.post(rollout.TableDescribed(action.token, action.engine, parse_description(rows)))
                return
            except (SchemaTextError, SchemaError) as exc:
                statement.error_text = f"unreadable description: {exc}"
        elif statement.sql_state == NO_TABLE:
            self.work.post(rollout.TableDescribed(action.token, action.engine, None))
            return
        self.rollouts.log(
            "table description " + status,
            {"engine": action.engine, "table": self.change.table, "text": statement.error_text[:300]},
        )
        self.work.post(rollout.DescribeFailed(action.token, action.engine, status == FENCED))
