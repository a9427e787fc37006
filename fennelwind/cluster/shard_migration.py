"""Runs shard migrations on this controller while it holds the lease `moves`.

The core (`shards.migration`) decides; this module runs the core's statements, proposes its commands, and
reports the known engines, the identity of each engine's disk (the mark) and the shards each engine lists.
Sending a statement is an operation under the lease's fencing guard. Running the statement is not: the engine
ends a statement at the statement's timeout, or when the session of the statement is closed.
"""

from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import replace
from functools import partial

from fennelwind.cluster import gate_pb2
from fennelwind.cluster.engine_statements import FAILED, LOST, OK, EngineStatements, Statement
from fennelwind.cluster.errors import ClusterError
from fennelwind.cluster.leased_tasks import HeldLease, LeasedTasks
from fennelwind.cluster.quiescence import QuiescenceClient
from fennelwind.cluster.raft_client import RaftClient
from fennelwind.cluster.running_work import RunningWork
from fennelwind.cluster.state_machines import CONTRACTS, SHARDS
from fennelwind.engines.connection import RemoteError
from fennelwind.leases.errors import LeaseNotHeldError
from fennelwind.loop import Cancelled, Channel, DeadlineExceeded, Loop, Task
from fennelwind.quiescence import clearance_pb2 as clear
from fennelwind.quiescence.acknowledgements import MAX_BARRIER_REQUESTS
from fennelwind.raft.replicated_state import ReplicatedState
from fennelwind.shards import migration as api
from fennelwind.shards import migration_statements
from fennelwind.shards import shards_pb2 as pb
from fennelwind.shards.model import Bounds, MigrationPlan, ReplicaHost, World
from fennelwind.shards.plan import plan
from fennelwind.shards.state_machine import LEASE, MAX_ENTRIES_PER_COMMAND, ShardMachine
from fennelwind.thrift import hiveserver2 as hs2
from fennelwind.thrift.codec import Malformed

LEASE_TERM_MS = 30_000  # ms of the lease; sending a statement is one operation, which must fit into this time
REQUEST_TIMEOUT_MS = 4_000.0  # ms for one command or read of the replicated state
WATCH_MS = 20_000.0  # ms until a watch of the replicated state ends without a change
ENGINE_CHECK_INTERVAL_MS = (
    2_000.0  # ms between checks of the engine list, and until a failed request is repeated
)
LIST_INTERVAL_MS = 600_000.0  # ms between two listings of an engine's shards, unless an event requires one
LIST_RETRY_MS = (
    5_000.0  # ms until the next listing after one that failed or differs from the replicated state
)
SHORT_STATEMENT_TIMEOUT_MS = 5_000.0  # ms for a mark, one table's listing, or sending a statement
BARRIER_CHECK_MS = 500.0  # ms between two barrier requests for draining replicas
STATUS_POLL_MS = 100.0  # ms between status requests to engines that answer them at once
MAX_CONCURRENT_LISTINGS = 16  # engines at once; listing 200 engines of 1,000 tables takes a minute
MAX_CONCURRENT_SENDS = 32  # statements at once; with the listings, far below the guard's limit on operations
MARK_BYTES = 16  # random, so that marks are unique
CATCH_UP_POLL_MS = 2.0  # ms between checks whether the local state has caught up with a read
MAX_CATCH_UP_MS = 3000.0  # ms until the state is read over the Raft client instead; about 100 ms are usual
REVISION_QUERY = pb.ShardQuery(skip=2**62).SerializeToString()  # skips all data: revision only
NO_TABLE = "42S02"  # SQLSTATE of a statement on a missing table


class _AsyncStatement(Statement):
    """A statement that may run for long: it is sent in a leased operation, but awaited outside of one."""

    def send(self, statement: str, overlay: dict[str, str], within_ms: float) -> str:
        """Start the statement on the engine; return `OK`, `FAILED` or `LOST`."""
        return self._call(partial(self._start, statement, overlay), within_ms)[0]

    def wait(self, within_ms: float) -> tuple[str, list[tuple[str, ...]]]:
        """Wait for the statement's end; return `OK`, `FAILED` or `LOST`, and the rows of text values."""
        status, rows = self._call(self._poll, within_ms)
        if status != LOST:
            self._close_session()
        return status, rows

    def _start(self, statement: str, overlay: dict[str, str]) -> None:
        self.connection = self._open()
        self.handle = self.connection.call(
            "ExecuteStatement",
            hs2.TExecuteStatementReq(
                sessionHandle=self.connection.session,
                statement=statement,
                confOverlay=overlay,
                runAsync=True,
                queryTimeout=int(overlay[migration_statements.TIMEOUT]),
            ),
        ).operationHandle

    def _poll(self) -> list[tuple[str, ...]]:
        while True:
            request = hs2.TGetOperationStatusReq(operationHandle=self.handle)
            reply = self.connection.call("GetOperationStatus", request)
            if reply.operationState == hs2.FINISHED:
                return self._fetch_rows(self.handle) if reply.hasResultSet else []
            if reply.operationState not in (hs2.INITIALIZED, hs2.RUNNING, hs2.PENDING):
                raise RemoteError(f"state {reply.operationState}: {reply.errorMessage}")
            self.loop.sleep(STATUS_POLL_MS)

    def _call(self, call: Callable[[], object], within_ms: float) -> tuple[str, list[tuple[str, ...]]]:
        try:
            with self.loop.deadline(within_ms):
                return OK, call() or []
        except RemoteError as exc:
            self.error_text = str(exc)
            return FAILED, []
        except (OSError, DeadlineExceeded, Malformed) as exc:
            self.error_text = f"{type(exc).__name__}: {exc}"
            self._drop_connection()
            return (LOST if self.connection is not None else FAILED), []


class ShardMigrations:
    """Runs shard migrations whenever this controller holds their lease."""

    def __init__(
        self,
        loop: Loop,
        client: RaftClient,
        tasks: LeasedTasks,
        statements: EngineStatements,
        homes: Callable[[], Iterable[ReplicaHost]],
        staging: str,
        log: Callable[[str, dict], None],
        bounds: Bounds | None = None,
        timing: api.Timing | None = None,
        planner: Callable[[World, Bounds], MigrationPlan] = plan,
        shards: Iterable[pb.Shard] = (),
        replicated_state: ReplicatedState | None = None,
    ) -> None:
        """Create the service. `homes` returns the engines known now; `shards` are the shards in the settings.

        With `replicated_state`, which a Raft member has, the state is read locally. Without it, all of the
        state is read over the Raft client after each command, which suits small states only: reading 20,000
        shards takes about 300 ms.
        """
        self.loop, self.client, self.tasks, self.statements = loop, client, tasks, statements
        self.homes, self.staging, self.log = homes, staging, log
        self.bounds, self.timing, self.planner, self.replicated_state = (
            bounds,
            timing,
            planner,
            replicated_state,
        )
        self.shards = tuple(shards)
        self.engine_start_times: Callable[[], dict[str, float]] = (
            dict  # by engine, in ms, as endpoint lists report them
        )
        self.quiescence: QuiescenceClient | None = (
            None  # None if replicas are dropped after a fixed wait, without acknowledgements
        )
        self.counts: Counter[str] = Counter()
        self.is_planning = False  # whether a plan is being made, for this or an earlier tenure of the lease

    def start(self) -> None:
        """Start requesting the lease."""
        self.tasks.add(LEASE, self._run, LEASE_TERM_MS, "moves of shards")

    def close(self) -> None:
        """Release the lease and stop requesting it."""
        self.tasks.remove(LEASE)

    def _run(self, held: HeldLease) -> bool:
        """Run migrations until the lease is lost; return False, as the task never ends for good."""
        _LeaseTenure(self, held).run()
        return False


class _LeaseTenure:
    """The migrations' work during one tenure of the lease."""

    def __init__(self, migrations: ShardMigrations, held: HeldLease) -> None:
        self.migrations, self.loop, self.held, self.client = (
            migrations,
            migrations.loop,
            held,
            migrations.client,
        )
        self.core = api.MigrationDriver(
            held.fencing_token, 0, migrations.staging, migrations.bounds, migrations.timing
        )
        self.machine: ShardMachine | None = None
        self.index = 0  # index of the last entry included in `machine`
        self.stalled_at_index = -1  # index at which the local state stopped catching up; -1 if it has not
        self.engine_states: dict[str, str] = {}  # `Home.life` by engine, as last reported
        self.marks: dict[str, str] = {}  # by engine, for the known engines whose marks have been read
        self.next_listing_ms: dict[str, float] = {}  # when the next listing is due, by engine
        self.engines_in_listing: set[str] = set()
        self.send_slots = Channel(self.loop, MAX_CONCURRENT_SENDS)  # one element per statement being sent
        self.engine_start_times: dict[str, float] = {}  # by engine, as last reported
        self.listed_shards: frozenset[str] = frozenset()  # the shards declared at the last check
        self.work: RunningWork[api.Event] = RunningWork(self.loop, held.name)
        self._statements: dict[int, Task] = {}

    def run(self) -> None:
        """Run migrations. Raises `LeaseNotHeldError` when the lease is lost or too little of it is left."""
        try:
            self._read_state()
            self._declare_shards()
            for function in (
                self._watch,
                self._observe_engines,
                self._check_quiescence,
                *[self._list_engines] * MAX_CONCURRENT_LISTINGS,
            ):
                self.work.spawn(function)
            while not self.held.stop_requested.ready:
                wake_ms = self.loop.now() + ENGINE_CHECK_INTERVAL_MS
                for action in self.core.step(self.loop.now(), self.work.events()):
                    match action:
                        case api.ProposeCommand():
                            self.work.spawn(self._propose, action)
                        case api.RunStatement():
                            self._statements[action.token] = self.work.spawn(self._run_statement, action)
                        case api.ComputePlan():
                            self.work.spawn(self._plan, action)
                        case api.CancelStatement(token) if token in self._statements:
                            self._statements[token].cancel()
                        case api.WakeAt(at_ms):
                            wake_ms = min(wake_ms, at_ms)
                        case api.LeaseLost():
                            raise LeaseNotHeldError(
                                f"{self.held.name}: another controller holds the lease", task=self.held.name
                            )
                self.work.wait(wake_ms)
        finally:
            self.work.close()

    # The replicated state.

    def _declare_shards(self) -> None:
        """Declare the configured shards that are missing from the replicated state or differ from it."""
        known, new = self.machine.shards, []
        for configured in self.migrations.shards:
            shard = known.get(configured.name)
            if shard is None or (shard.size, shard.copies, shard.zones, shard.kinds) != (
                configured.size,
                configured.copies,
                configured.zones,
                tuple(configured.kinds),
            ):
                new.append(configured)
        for start in range(0, len(new), MAX_ENTRIES_PER_COMMAND):
            command = pb.Command(declare=pb.Declare(shards=new[start : start + MAX_ENTRIES_PER_COMMAND]))
            try:
                body = self.client.propose(
                    SHARDS, command.SerializeToString(deterministic=True), REQUEST_TIMEOUT_MS
                )
            except ClusterError as exc:  # the next lease holder declares the shards
                self.migrations.counts[exc.code] += 1
                return
            refusals = [pb.Answer.Refusal.Name(r) for r in pb.Answer.FromString(body).refusals if r]
            if refusals:
                self.migrations.log("shards rejected", {"refusals": refusals[:20], "count": len(refusals)})

    def _read_state(self) -> int:
        """Post the current state to the core; return its index."""
        if self.migrations.replicated_state is None:
            return self._read_remote_state()
        state, index = self.migrations.replicated_state, 0
        while not index:
            try:
                index = self.client.read(SHARDS, REVISION_QUERY, within_ms=REQUEST_TIMEOUT_MS).index
            except ClusterError as exc:  # if the error persists, the lease expires
                self.migrations.counts[exc.code] += 1
                self.loop.sleep(ENGINE_CHECK_INTERVAL_MS)
        until_ms = self.loop.now() + MAX_CATCH_UP_MS
        while state.index < index:  # the folder may not open, the disk may hang, the member may be closed
            if self.loop.now() >= until_ms or state.index == self.stalled_at_index:
                self.stalled_at_index = state.index
                self.migrations.counts["record here stands"] += 1
                return self._read_remote_state()
            self.loop.sleep(CATCH_UP_POLL_MS)
        self.stalled_at_index = -1
        self.machine, self.index = state.machines[SHARDS], state.index
        tables = {shard.table for shard in self.machine.shards.values()}
        frozen = frozenset(table for table in tables if state.fact("changing", table))
        self.work.post(api.StateUpdated(self.index, self.machine, frozen))
        return index

    def _read_remote_state(self) -> int:
        """Read the state over the Raft client, in pieces of one revision; return its index."""
        data, revision = b"", None
        while True:
            try:
                query = pb.ShardQuery(skip=len(data)).SerializeToString()
                read = self.client.read(SHARDS, query, within_ms=REQUEST_TIMEOUT_MS)
                chunk = pb.ShardSeen.FromString(read.state)
                if revision is not None and chunk.revision != revision:
                    data, revision = b"", None  # the state changed between two pieces: start again
                    continue
                data, revision = data + chunk.piece, chunk.revision
                if len(data) >= chunk.size:
                    break
            except ClusterError as exc:  # if the error persists, the lease expires
                self.migrations.counts[exc.code] += 1
                self.loop.sleep(ENGINE_CHECK_INTERVAL_MS)
        if read.index >= self.index:  # if not, a concurrent read of a later state was posted already
            if self.machine is None or self.machine.state_at != revision:
                self.machine = ShardMachine()
                self.machine.restore(data)
            self.index = read.index
            frozen = self._frozen_tables()
            self.work.post(api.StateUpdated(self.index, self.machine, frozen))
        return read.index

    def _frozen_tables(self) -> frozenset[str]:
        """Return the tables with a schema change in progress, by their names in shards.

        If the read fails, return the tables read last; the state machine rejects commands for any
        other frozen table.
        """
        try:
            changes = gate_pb2.ChangeTold.FromString(
                self.client.read(
                    CONTRACTS,
                    gate_pb2.ChangeQuery(open=True).SerializeToString(),
                    within_ms=REQUEST_TIMEOUT_MS,
                ).state
            )
        except ClusterError as exc:
            self.migrations.counts[exc.code] += 1
            return self.core.frozen
        changing = {change.table for change in changes.open}
        return frozenset(s.table for s in self.machine.shards.values() if s.table.lower() in changing)

    def _watch(self) -> None:
        after = 0
        while True:
            try:
                after = self.client.watch(SHARDS, after, wait_ms=WATCH_MS, query=REVISION_QUERY).revision
            except ClusterError as exc:
                self.migrations.counts[exc.code] += 1
                self.loop.sleep(ENGINE_CHECK_INTERVAL_MS)
                continue
            self._read_state()

    def _propose(self, action: api.ProposeCommand) -> None:
        try:
            body = self.client.propose(SHARDS, action.command, REQUEST_TIMEOUT_MS)
        except ClusterError as exc:
            self.migrations.counts[exc.code] += 1
            self.work.post(api.CommandAnswered(action.token, None))
            return
        index = self._read_state()  # the state read, and posted to the core, includes the command
        self.work.post(api.CommandAnswered(action.token, pb.Answer.FromString(body), index))

    def _plan(self, action: api.ComputePlan) -> None:
        """Compute a plan outside the loop, one at a time; the core repeats a request that is ignored here."""
        if not self.migrations.is_planning:
            self.migrations.is_planning = True
            self.loop.spawn(self._make_plan, action, name="plan of moves")  # not cancelled with the lease

    def _make_plan(self, action: api.ComputePlan) -> None:
        try:
            planned = self.loop.aside(self.migrations.planner, action.world, action.bounds)
        finally:
            self.migrations.is_planning = False
        self.work.post(api.PlanCompleted(action.token, planned))

    def _check_quiescence(self) -> None:
        """Check by barrier requests which draining replicas all controllers have acknowledged."""
        while self.migrations.quiescence is not None:
            self.loop.sleep(BARRIER_CHECK_MS)
            machine = self.machine
            waiting = machine.waiting()[:MAX_BARRIER_REQUESTS]
            numbers = [machine.move_of(shard).number for shard, _ in waiting]
            barriers = [
                clear.Wish(name=shard, engine=engine, since=machine.touched(shard))
                for shard, engine in waiting
            ]
            for barrier, number, state in zip(
                barriers,
                numbers,
                self.migrations.quiescence.barrier_states(barriers) if barriers else (),
                strict=True,
            ):
                if state == clear.Heard.CLEARED:
                    self.work.post(api.ReplicaQuiesced(barrier.name, barrier.engine, number))

    # Engines.

    def _run_statement(self, action: api.RunStatement) -> None:
        factory = self.migrations.statements
        statement, rows = (
            _AsyncStatement(factory.loop, factory.link_settings, factory.tls, action.engine),
            [],
        )
        try:
            status = self._send(statement, action)
            if status == OK:
                status, rows = statement.wait(action.timeout_ms)
        except Cancelled:  # the statement took too long, or the lease was lost
            self.loop.spawn(statement.stop, SHORT_STATEMENT_TIMEOUT_MS, name=f"stop at {action.engine}")
            raise
        finally:
            self._statements.pop(action.token, None)
        if status != OK:
            self.migrations.log(
                "migration statement " + status,
                {
                    "engine": action.engine,
                    "statement": action.statement[:300],
                    "text": statement.error_text[:300],
                },
            )
        outcome, totals = {OK: "ok", LOST: "unknown"}.get(status, "failed"), (0, 0)
        if rows:  # the rows of a check statement: count and checksum
            try:
                totals = int(rows[0][0]), int(rows[0][1])
            except (IndexError, ValueError):
                outcome = "failed"
        self.work.post(api.StatementEnded(action.token, outcome, *totals))

    def _send(self, statement: _AsyncStatement, action: api.RunStatement) -> str:
        """Send a statement once a slot is free; if no answer comes, keep the slot for one more timeout."""
        self.send_slots.put(None)
        release_after_ms = 0.0
        try:
            with self.held.operation(SHORT_STATEMENT_TIMEOUT_MS) as operation:
                status = statement.send(action.statement, action.overlay, SHORT_STATEMENT_TIMEOUT_MS)
                operation.is_outcome_unknown = status == LOST
                release_after_ms = SHORT_STATEMENT_TIMEOUT_MS if operation.is_outcome_unknown else 0.0
        finally:
            self.loop.after(release_after_ms, self.send_slots.get)
        return status

    def _observe_engines(self) -> None:
        """Report new, changed and removed engines, each with the mark of its disk once the mark is known."""
        while True:
            homes = {home.name: home for home in self.migrations.homes()}
            known, declared = self.machine.homes, frozenset(self.machine.shards)
            for name in [name for name in known if name not in homes]:
                homes[name] = replace(known[name], life="gone", mark="")
            for name, home in homes.items():
                if home.life == "gone":
                    self.marks.pop(name, None)
                    self.next_listing_ms.pop(name, None)
                elif self.engine_states.get(name, "gone") == "gone" or declared != self.listed_shards:
                    self.next_listing_ms[name] = self.loop.now()
                self.engine_states[name] = home.life
            start_times = self.migrations.engine_start_times()
            for name in self.next_listing_ms:
                if start_times.get(name) != self.engine_start_times.get(
                    name
                ):  # the engine may have restarted with another disk
                    self.next_listing_ms[name] = self.loop.now()
                    self.marks.pop(name, None)
            self.engine_start_times = start_times
            self.listed_shards = declared
            reported = [replace(home, mark=self.marks.get(name, "")) for name, home in sorted(homes.items())]
            # A returned engine is not reported before its mark is known: it may have another disk.
            self.work.post(
                api.EnginesReported(tuple(home for home in reported if home.mark or home.life == "gone"))
            )
            self.loop.sleep(ENGINE_CHECK_INTERVAL_MS)

    def _list_engines(self) -> None:
        """Read the mark and the shards of each engine whose listing is due, one engine after another."""
        while True:
            now = self.loop.now()
            candidates = (
                (due_ms, name)
                for name, due_ms in self.next_listing_ms.items()
                if name not in self.engines_in_listing
            )
            due_ms, name = min(candidates, default=(now + ENGINE_CHECK_INTERVAL_MS, ""))
            if due_ms > now:
                self.loop.sleep(min(due_ms - now, ENGINE_CHECK_INTERVAL_MS))
                continue
            self.engines_in_listing.add(name)
            try:
                mark = self._read_or_write_mark(name)
                held = self._list_shards(name) if mark else None
            finally:
                self.engines_in_listing.discard(name)
            if name not in self.next_listing_ms:
                continue  # the engine was removed meanwhile
            known = {shard for shard, copies in self.machine.copies.items() if name in copies}
            # A listing that differs from the replicated state is trusted once a second one confirms it.
            self.next_listing_ms[name] = self.loop.now() + (
                LIST_INTERVAL_MS if held == known else LIST_RETRY_MS
            )
            if held is not None:
                self.marks[name] = mark
                self.work.post(api.EnginesReported((), {name: held}))

    def _read_or_write_mark(self, engine: str) -> str:
        """Return the mark on an engine's disk, writing a new one if there is none; "" if that fails."""
        status, rows, sql_state = self._run_short(engine, migration_statements.mark_read())
        if status == OK and rows:
            return rows[0][0]
        if status != OK and sql_state != NO_TABLE:
            return ""
        mark = self.loop.token(MARK_BYTES).hex()
        for text in migration_statements.mark_write(mark):
            if self._run_short(engine, text)[0] != OK:
                return ""
        return mark

    def _list_shards(self, engine: str) -> frozenset[str] | None:
        """Return the declared shards whose partitions an engine lists; None if a listing fails."""
        tables = sorted(
            {(s.table, not migration_statements.partition(s.name)) for s in self.machine.shards.values()}
        )
        held: set[str] = set()
        for table, is_unpartitioned in tables:
            status, rows, sql_state = self._run_short(
                engine, migration_statements.listing(table, is_unpartitioned)
            )
            if status != OK and sql_state != NO_TABLE:
                return None
            held |= {f"{table}/" if is_unpartitioned else f"{table}/{row[0]}" for row in rows}
        return frozenset(held)

    def _run_short(self, engine: str, text: str) -> tuple[str, list[tuple[str, ...]], str]:
        """Run a short statement as one leased operation; return its status, rows and SQLSTATE."""
        statement: Statement = self.migrations.statements.create(engine)
        with self.held.operation(SHORT_STATEMENT_TIMEOUT_MS):
            status, rows = statement.run(
                text,
                migration_statements.overlay(self.held.fencing_token, SHORT_STATEMENT_TIMEOUT_MS),
                SHORT_STATEMENT_TIMEOUT_MS,
                fetch_rows=True,
            )
        return status, rows, statement.sql_state
