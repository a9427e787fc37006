"""Carries moves of shards out on this controller while it holds the lease `moves`.

The carrier (`shards.carrier`) decides; this makes its statements, asks its commands of the record, and tells
it what engines are there, which disk each has by its mark, and what they list. Sending a statement is an act
under the lease's guard; what runs at an engine then is ended by its time-out, or when its session is closed.
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

TERM_MS = 30_000  # ms of the lease; the sending of a statement is an act of its own and has to fit in
ASK_MS = 4_000.0  # ms for one command or look at the record
WATCH_MS = 20_000.0  # ms of one watch for changes of the record
NEWS_MS = 2_000.0  # ms between looks at which engines are there
LIST_MS = 600_000.0  # ms from one list of what an engine holds to the next, where nothing calls for one
LIST_SOON_MS = 5_000.0  # and after one that failed, or differs from the record
LOOK_MS = 5_000.0  # ms for a mark or one table's list, and for a statement to be taken by its engine
HEAR_MS = 500.0  # ms between two questions which copies that leave are cleared
POLL_MS = 100.0  # ms between looks at engines that answer a status at once
LISTS_AT_ONCE = 16  # engines that are listed side by side; 200 engines of 1,000 tables take a minute then
STARTS_AT_ONCE = 32  # statements that are being sent; with the lists, far within the guard's bound on acts
MARK_BYTES = 16  # no two disks get the same
BEHIND_MS = 2.0  # ms between looks at whether the record here has come up to what was read
BEHIND_MOST_MS = 3000.0  # ms until all is asked for in its place; some 100 are usual
BEYOND = pb.ShardQuery(skip=2**62).SerializeToString()  # asks for the revision alone
NO_TABLE = "42S02"  # SQLSTATE of a look at a table that is not there


class _Long(Statement):
    """A statement that may run for long: sent in one act, waited for without one."""

    def send(self, statement: str, overlay: dict[str, str], within_ms: float) -> str:
        """Let it begin; tell how that ended."""
        return self._do(partial(self._begin, statement, overlay), within_ms)[0]

    def wait(self, within_ms: float) -> tuple[str, list[tuple[str, ...]]]:
        """Wait for its end; return how it ended, and its rows of texts."""
        how, rows = self._do(self._finish, within_ms)
        if how != LOST:
            self._leave()
        return how, rows

    def _begin(self, statement: str, overlay: dict[str, str]) -> None:
        self.link = self._open()
        self.handle = self.link.call(
            "ExecuteStatement",
            hs2.TExecuteStatementReq(
                sessionHandle=self.link.session,
                statement=statement,
                confOverlay=overlay,
                runAsync=True,
                queryTimeout=int(overlay[migration_statements.TIMEOUT]),
            ),
        ).operationHandle

    def _finish(self) -> list[tuple[str, ...]]:
        while True:
            request = hs2.TGetOperationStatusReq(operationHandle=self.handle)
            reply = self.link.call("GetOperationStatus", request)
            if reply.operationState == hs2.FINISHED:
                return self._rows(self.handle) if reply.hasResultSet else []
            if reply.operationState not in (hs2.INITIALIZED, hs2.RUNNING, hs2.PENDING):
                raise RemoteError(f"state {reply.operationState}: {reply.errorMessage}")
            self.loop.sleep(POLL_MS)

    def _do(self, call: Callable[[], object], within_ms: float) -> tuple[str, list[tuple[str, ...]]]:
        try:
            with self.loop.deadline(within_ms):
                return OK, call() or []
        except RemoteError as exc:
            self.text = str(exc)
            return FAILED, []
        except (OSError, DeadlineExceeded, Malformed) as exc:
            self.text = f"{type(exc).__name__}: {exc}"
            self._drop()
            return (LOST if self.link is not None else FAILED), []


class ShardMigrations:
    """This controller's part in the moves of shards."""

    def __init__(
        self,
        loop: Loop,
        client: RaftClient,
        tasks: LeasedTasks,
        statements: EngineStatements,
        homes: Callable[[], Iterable[ReplicaHost]],
        staging: str,
        said: Callable[[str, dict], None],
        bounds: Bounds | None = None,
        timing: api.Timing | None = None,
        planner: Callable[[World, Bounds], MigrationPlan] = plan,
        shards: Iterable[pb.Shard] = (),
        record: ReplicatedState | None = None,
    ) -> None:
        """Make it. `homes` tells the engines that are there now; `shards` are those that settings state.

        With the record at hand, as a member has it, its state is read in place; else all of it is asked for
        after each command, which is for small ones: 20,000 shards take some 300 ms to be read.
        """
        self.loop, self.client, self.tasks, self.statements = loop, client, tasks, statements
        self.homes, self.staging, self.said = homes, staging, said
        self.bounds, self.timing, self.planner, self.record = bounds, timing, planner, record
        self.shards = tuple(shards)
        self.launched: Callable[[], dict[str, float]] = dict  # when engines were started, as lists tell it
        self.quiescence: QuiescenceClient | None = None  # None: replicas go after their rest
        self.counts: Counter[str] = Counter()
        self.planning = False  # a plan is being made, for this or an earlier time that the lease was held

    def start(self) -> None:
        """Want the lease from now on."""
        self.tasks.add(LEASE, self._run, TERM_MS, "moves of shards")

    def close(self) -> None:
        """Want it no more."""
        self.tasks.remove(LEASE)

    def _run(self, held: HeldLease) -> bool:
        """Carry moves out until the lease goes; never over for the fleet."""
        _Carrying(self, held).run()
        return False


class _Carrying:
    """One time that the lease is held."""

    def __init__(self, moves: ShardMigrations, held: HeldLease) -> None:
        self.moves, self.loop, self.held, self.client = moves, moves.loop, held, moves.client
        self.carrier = api.MigrationDriver(held.fencing_token, 0, moves.staging, moves.bounds, moves.timing)
        self.machine: ShardMachine | None = None
        self.index = 0  # up to which the record is seen
        self.stood_at = -1  # where the record here stands while others go on; -1: it does not
        self.lives: dict[str, str] = {}  # of engines, as they were told last
        self.marks: dict[str, str] = {}  # of engines that are there, once they are known
        self.list_at: dict[str, float] = {}  # by engine: when its next list is due
        self.listing: set[str] = set()  # engines that are being listed
        self.starts = Channel(self.loop, STARTS_AT_ONCE)  # holds one for each statement that is being sent
        self.launched: dict[str, float] = {}  # as it was told last
        self.shards: frozenset[str] = frozenset()  # that lists were made of
        self.hands: RunningWork[api.Event] = RunningWork(self.loop, held.name)
        self._statements: dict[int, Task] = {}

    def run(self) -> None:
        """Carry moves out. Raises `LeaseNotHeldError` where too little of the lease is left."""
        try:
            self._look()
            self._declare()
            for part in (self._watch, self._news, self._hear, *[self._list] * LISTS_AT_ONCE):
                self.hands.spawn(part)
            while not self.held.stop_requested.ready:
                wake = self.loop.now() + NEWS_MS
                for action in self.carrier.step(self.loop.now(), self.hands.events()):
                    match action:
                        case api.ProposeCommand():
                            self.hands.spawn(self._propose, action)
                        case api.RunStatement():
                            self._statements[action.token] = self.hands.spawn(self._statement, action)
                        case api.ComputePlan():
                            self.hands.spawn(self._plan, action)
                        case api.CancelStatement(token) if token in self._statements:
                            self._statements[token].cancel()
                        case api.WakeAt(at):
                            wake = min(wake, at)
                        case api.LeaseLost():
                            raise LeaseNotHeldError(
                                f"{self.held.name}: another holds it", task=self.held.name
                            )
                self.hands.wait(wake)
        finally:
            self.hands.close()

    # The record.

    def _declare(self) -> None:
        """Tell the record of shards that the settings state and it does not know so."""
        known, new = self.machine.shards, []
        for told in self.moves.shards:
            shard = known.get(told.name)
            if shard is None or (shard.size, shard.copies, shard.zones, shard.kinds) != (
                told.size,
                told.copies,
                told.zones,
                tuple(told.kinds),
            ):
                new.append(told)
        for start in range(0, len(new), MAX_ENTRIES_PER_COMMAND):
            command = pb.Command(declare=pb.Declare(shards=new[start : start + MAX_ENTRIES_PER_COMMAND]))
            try:
                raw = self.client.propose(SHARDS, command.SerializeToString(deterministic=True), ASK_MS)
            except ClusterError as exc:  # whoever holds the lease next tells it
                self.moves.counts[exc.code] += 1
                return
            refused = [pb.Answer.Refusal.Name(r) for r in pb.Answer.FromString(raw).refusals if r]
            if refused:
                self.moves.said("shards refused", {"refusals": refused[:20], "count": len(refused)})

    def _look(self) -> int:
        """See the record as it is now; return the index."""
        if self.moves.record is None:
            return self._ask_for_all()
        record, index = self.moves.record, 0
        while not index:
            try:
                index = self.client.read(SHARDS, BEYOND, within_ms=ASK_MS).index
            except ClusterError as exc:  # the lease ends meanwhile, if it lasts
                self.moves.counts[exc.code] += 1
                self.loop.sleep(NEWS_MS)
        until = self.loop.now() + BEHIND_MOST_MS
        while record.index < index:  # its folder may not open, its disk stand, its member be closed
            if self.loop.now() >= until or record.index == self.stood_at:
                self.stood_at = record.index
                self.moves.counts["record here stands"] += 1
                return self._ask_for_all()
            self.loop.sleep(BEHIND_MS)
        self.stood_at = -1
        self.machine, self.index = record.machines[SHARDS], record.index
        tables = {shard.table for shard in self.machine.shards.values()}
        frozen = frozenset(table for table in tables if record.fact("changing", table))
        self.hands.post(api.StateUpdated(self.index, self.machine, frozen))
        return index

    def _ask_for_all(self) -> int:
        """Ask for the state, all pieces of one revision; return the index."""
        data, revision = b"", None
        while True:
            try:
                query = pb.ShardQuery(skip=len(data)).SerializeToString()
                seen = self.client.read(SHARDS, query, within_ms=ASK_MS)
                told = pb.ShardSeen.FromString(seen.state)
                if revision is not None and told.revision != revision:
                    data, revision = b"", None  # it changed between two pieces
                    continue
                data, revision = data + told.piece, told.revision
                if len(data) >= told.size:
                    break
            except ClusterError as exc:  # the lease ends meanwhile, if it lasts
                self.moves.counts[exc.code] += 1
                self.loop.sleep(NEWS_MS)
        if seen.index >= self.index:  # else a later look has come ahead of this one
            if self.machine is None or self.machine.state_at != revision:
                self.machine = ShardMachine()
                self.machine.restore(data)
            self.index = seen.index
            frozen = self._frozen()
            self.hands.post(api.StateUpdated(self.index, self.machine, frozen))
        return seen.index

    def _frozen(self) -> frozenset[str]:
        """Return the tables under change, by their names here; what can't be heard is left to the record."""
        try:
            told = gate_pb2.ChangeTold.FromString(
                self.client.read(
                    CONTRACTS, gate_pb2.ChangeQuery(open=True).SerializeToString(), within_ms=ASK_MS
                ).state
            )
        except ClusterError as exc:
            self.moves.counts[exc.code] += 1
            return self.carrier.frozen
        changing = {change.table for change in told.open}
        return frozenset(s.table for s in self.machine.shards.values() if s.table.lower() in changing)

    def _watch(self) -> None:
        after = 0
        while True:
            try:
                after = self.client.watch(SHARDS, after, wait_ms=WATCH_MS, query=BEYOND).revision
            except ClusterError as exc:
                self.moves.counts[exc.code] += 1
                self.loop.sleep(NEWS_MS)
                continue
            self._look()

    def _propose(self, action: api.ProposeCommand) -> None:
        try:
            raw = self.client.propose(SHARDS, action.command, ASK_MS)
        except ClusterError as exc:
            self.moves.counts[exc.code] += 1
            self.hands.post(api.CommandAnswered(action.token, None))
            return
        index = self._look()  # of this command, or later
        self.hands.post(api.CommandAnswered(action.token, pb.Answer.FromString(raw), index))

    def _plan(self, action: api.ComputePlan) -> None:
        """Have a plan made beside the loop, one at a time; the carrier asks anew for one left out."""
        if not self.moves.planning:
            self.moves.planning = True
            self.loop.spawn(self._make, action, name="plan of moves")  # it ends, lease or not

    def _make(self, action: api.ComputePlan) -> None:
        try:
            planned = self.loop.aside(self.moves.planner, action.world, action.bounds)
        finally:
            self.moves.planning = False
        self.hands.post(api.PlanCompleted(action.token, planned))

    def _hear(self) -> None:
        """Ask which copies that leave have been cleared by all."""
        while self.moves.quiescence is not None:
            self.loop.sleep(HEAR_MS)
            machine = self.machine
            waiting = machine.waiting()[:MAX_BARRIER_REQUESTS]
            moves = [machine.move_of(shard).number for shard, _ in waiting]
            wishes = [
                clear.Wish(name=shard, engine=engine, since=machine.touched(shard))
                for shard, engine in waiting
            ]
            for wish, move, state in zip(
                wishes, moves, self.moves.quiescence.barrier_states(wishes) if wishes else (), strict=True
            ):
                if state == clear.Heard.CLEARED:
                    self.hands.post(api.ReplicaQuiesced(wish.name, wish.engine, move))

    # Engines.

    def _statement(self, action: api.RunStatement) -> None:
        made = self.moves.statements
        statement, rows = _Long(made.loop, made.links, made.tls, action.engine), []
        try:
            how = self._send(statement, action)
            if how == OK:
                how, rows = statement.wait(action.timeout_ms)
        except Cancelled:  # it took too long, or the lease has gone
            self.loop.spawn(statement.stop, LOOK_MS, name=f"stop at {action.engine}")
            raise
        finally:
            self._statements.pop(action.token, None)
        if how != OK:
            self.moves.said(
                "move's statement " + how,
                {"engine": action.engine, "statement": action.statement[:300], "text": statement.text[:300]},
            )
        outcome, figures = {OK: "ok", LOST: "unknown"}.get(how, "failed"), (0, 0)
        if rows:  # of a check
            try:
                figures = int(rows[0][0]), int(rows[0][1])
            except (IndexError, ValueError):
                outcome = "failed"
        self.hands.post(api.StatementEnded(action.token, outcome, *figures))

    def _send(self, statement: _Long, action: api.RunStatement) -> str:
        """Send a statement once there is a place; one without an answer keeps it as long as its act."""
        self.starts.put(None)
        after = 0.0
        try:
            with self.held.operation(LOOK_MS) as act:
                how = statement.send(action.statement, action.overlay, LOOK_MS)
                act.is_outcome_unknown = how == LOST
                after = LOOK_MS if act.is_outcome_unknown else 0.0
        finally:
            self.loop.after(after, self.starts.get)
        return how

    def _news(self) -> None:
        """Tell of engines that come and go, each with its disk's mark once that is known."""
        while True:
            homes = {home.name: home for home in self.moves.homes()}
            known, shards = self.machine.homes, frozenset(self.machine.shards)
            for name in [name for name in known if name not in homes]:
                homes[name] = replace(known[name], life="gone", mark="")
            for name, home in homes.items():
                if home.life == "gone":
                    self.marks.pop(name, None)
                    self.list_at.pop(name, None)
                elif self.lives.get(name, "gone") == "gone" or shards != self.shards:
                    self.list_at[name] = self.loop.now()
                self.lives[name] = home.life
            launched = self.moves.launched()
            for name in self.list_at:
                if launched.get(name) != self.launched.get(name):  # it may have come back with another disk
                    self.list_at[name] = self.loop.now()
                    self.marks.pop(name, None)
            self.launched = launched
            self.shards = shards
            told = [replace(home, mark=self.marks.get(name, "")) for name, home in sorted(homes.items())]
            # One that is back is not told of before its mark is known: it may have another disk.
            self.hands.post(
                api.EnginesReported(tuple(home for home in told if home.mark or home.life == "gone"))
            )
            self.loop.sleep(NEWS_MS)

    def _list(self) -> None:
        """Read marks, and what engines hold: of each engine for itself, of some of them side by side."""
        while True:
            now = self.loop.now()
            due = ((at, name) for name, at in self.list_at.items() if name not in self.listing)
            at, name = min(due, default=(now + NEWS_MS, ""))
            if at > now:
                self.loop.sleep(min(at - now, NEWS_MS))
                continue
            self.listing.add(name)
            try:
                mark = self._mark(name)
                held = self._held(name) if mark else None
            finally:
                self.listing.discard(name)
            if name not in self.list_at:
                continue  # it went meanwhile
            known = {shard for shard, copies in self.machine.copies.items() if name in copies}
            # What is not as the record has it is believed when a second list says the same.
            self.list_at[name] = self.loop.now() + (LIST_MS if held == known else LIST_SOON_MS)
            if held is not None:
                self.marks[name] = mark
                self.hands.post(api.EnginesReported((), {name: held}))

    def _mark(self, engine: str) -> str:
        """Return the mark on an engine's disk; one without gets one. "": it can't be read."""
        how, rows, state = self._asked(engine, migration_statements.mark_read())
        if how == OK and rows:
            return rows[0][0]
        if how != OK and state != NO_TABLE:
            return ""
        mark = self.loop.token(MARK_BYTES).hex()
        for text in migration_statements.mark_write(mark):
            if self._asked(engine, text)[0] != OK:
                return ""
        return mark

    def _held(self, engine: str) -> frozenset[str] | None:
        """Return the declared shards whose partitions an engine lists; None: it can't be asked now."""
        tables = sorted(
            {(s.table, not migration_statements.partition(s.name)) for s in self.machine.shards.values()}
        )
        held: set[str] = set()
        for table, whole in tables:
            how, rows, state = self._asked(engine, migration_statements.listing(table, whole))
            if how != OK and state != NO_TABLE:
                return None
            held |= {f"{table}/" if whole else f"{table}/{row[0]}" for row in rows}
        return frozenset(held)

    def _asked(self, engine: str, text: str) -> tuple[str, list[tuple[str, ...]], str]:
        statement: Statement = self.moves.statements.to(engine)
        with self.held.operation(LOOK_MS):
            how, rows = statement.run(
                text, migration_statements.overlay(self.held.fencing_token, LOOK_MS), LOOK_MS, rows=True
            )
        return how, rows, statement.state
