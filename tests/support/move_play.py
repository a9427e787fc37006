"""Simulation of shard migrations in virtual time: state machine, holders, disks, queries and faults.

All events are in one heap, drawn from one seed. Invariants are checked after every event; `Broken` names the
violated one. `python tests/support/move_play.py mixed|careless|one [FIRST LAST]` runs many simulations.
"""

import search_paths  # noqa: F401 - to run this file as a script

# isort: split

import heapq
import random
import sys
from collections import Counter
from dataclasses import replace
from functools import partial

from fennelwind.emulators.shelves import Content, Refused, Shelf
from fennelwind.raft.state_machine import LogPosition
from fennelwind.shards import shards_pb2 as pb
from fennelwind.shards.migration import (
    CancelStatement,
    CommandAnswered,
    ComputePlan,
    EnginesReported,
    LeaseLost,
    MigrationDriver,
    PlanCompleted,
    ProposeCommand,
    ReplicaQuiesced,
    RunStatement,
    StatementEnded,
    StateUpdated,
    Timing,
    WakeAt,
)
from fennelwind.shards.model import Bounds, Migration, MigrationPlan, ReplicaHost, World
from fennelwind.shards.plan import plan as planned
from fennelwind.shards.state_machine import ShardMachine

SIZE, DISK, HEADROOM = 100, 1000, 200  # bytes
RATE = 0.01  # bytes per ms of an export or import: a copy takes 10 s
TIMING = Timing(
    answer_ms=2_000,
    drop_ms=3_000,
    check_ms=5_000,
    copy_ms=30_000,
    slowest=1.0,
    slack_ms=1_000,
    finish_ms=15_000,
    again_ms=500,
    max_retry_delay_ms=8_000,
    tries=4,
    plan_ms=2_000,
)
QUICK = replace(TIMING, drop_ms=8_000, copy_ms=8_000)  # with copies that take half a second
VIEW_MS = 5_000.0  # maximum age of a router's view
QUERY_MS = 8_000.0  # longest query
TERM_MS = 4_000.0  # from a holder's end until the next holder
BOUNDS = Bounds(streams_per_engine=2, streams_per_link=4)
FAULTS = ("crash", "down", "down", "wipe", "spill", "hang", "fail", "drain", "both", "change", "load")
DRAIN_MS = 15_000.0  # when an engine is drained in simulations of one fault
CALM_MS = 150_000.0  # to meet all needs after faults have stopped


class Broken(AssertionError):
    """An invariant is violated."""


def plan(world: World, bounds: Bounds) -> MigrationPlan:
    """Plan simply: missing replicas go to the emptiest engine, draining engines empty, surplus goes."""
    free_bytes = {
        home.name: home.disk - home.headroom for home in world.homes.values() if home.life == "ready"
    }
    for copy in world.copies.values():
        if copy.engine in free_bytes:
            free_bytes[copy.engine] -= world.shards[copy.shard].size
    moves, drops = [], []
    under_way = {move.shard for move in world.moves.values()}
    coming = Counter(move.target for move in world.moves.values() if move.step == "planned")
    for engine in free_bytes:
        free_bytes[engine] -= SIZE * coming[engine]
    for name, shard in sorted(world.shards.items()):
        if name in under_way or name in world.aside or shard.table in world.frozen:
            continue
        held = {engine: copy for (of, engine), copy in world.copies.items() if of == name}
        good = sorted(engine for engine, copy in held.items() if copy.state == "good")
        ready = [engine for engine in good if world.homes[engine].life == "ready"]
        if len(good) > shard.copies and len(ready) >= shard.copies:
            away = [engine for engine in good if engine not in ready] or ready[-1:]
            drops.append((name, away[0]))
        elif good and len(ready) < shard.copies:
            fits = [e for e in sorted(free_bytes) if e not in held and free_bytes[e] >= shard.size]
            target = max(fits, key=lambda e: free_bytes[e], default=None)
            if target is not None:
                free_bytes[target] -= shard.size
                away = [engine for engine in good if engine not in ready]
                moves.append(
                    Migration(1_000_000 + len(moves), name, good[0], target, away[0] if away else "")
                )
    wrong = tuple(
        move.number
        for move in world.moves.values()
        if move.target and world.homes[move.target].life in ("draining", "gone")
    )
    return MigrationPlan(tuple(moves), tuple(drops), wrong)


class QuickMachine(ShardMachine):
    """The state machine with a rest period that fits the simulation's views and queries."""

    rest_ms = 10_000


class Engine:
    """An engine: its emulated storage, whether it is up, and the number of its disk."""

    def __init__(self, name, zone, disk, staging):
        self.name, self.zone, self.disk, self.staging = name, zone, disk, staging
        self.shelf = Shelf(disk, staging)
        self.up, self.draining, self.disk_number, self.incarnation = True, False, 0, 0
        self.hang_until_ms = 0.0  # statements sent before this time get no answer
        self.runs_late = False  # and are executed late, after the check of their fencing token
        self.fail_until_ms = 0.0  # statements begun before this time fail

    def host_state(self):
        life = "gone" if not self.up else "draining" if self.draining else "ready"
        mark, spilled = (self.mark, self.shelf.spilled) if self.up else ("", 0)
        return ReplicaHost(self.name, self.zone, "", self.disk, HEADROOM, life, 0, mark, spilled)

    @property
    def mark(self):
        return f"{self.name}.{self.disk_number}"


class Play:
    """One simulation."""

    def __init__(
        self,
        seed=0,
        *,
        engines=5,
        shards=6,
        copies=2,
        faults=True,
        fault_ms=120_000.0,
        machine=QuickMachine,
        driver=MigrationDriver,
        planner=plan,
        fault_at=None,
        loss_rate=0.0,
        view_lag_ms=0.0,
        disk=DISK,
        quick=False,
        bounds=BOUNDS,
    ):
        self.bounds = bounds
        self.random = random.Random(seed)
        self.now, self.clock, self.index, self.order = 0.0, 0, 0, 0
        self.heap = []
        self.machine_type, self.driver_type, self.planner = machine, driver, planner
        self.machine = machine()
        self.staging, self.running_statements, self.view_lag_ms, self.replica = {}, {}, view_lag_ms, None
        self.rate, self.timing = (RATE * 20, QUICK) if quick else (RATE, TIMING)
        self.engines = {f"e{n}": Engine(f"e{n}", f"z{n % 3}", disk, self.staging) for n in range(engines)}
        self.expected = {}
        self.fence, self.driver, self.holder = 0, None, 0
        self.changing = set()
        self.running = Counter()  # queries by shard and engine
        self.counts = Counter()
        # at: the number of an action, and the fault before it
        self.fault_at, self.action_count, self.loss_rate = fault_at, 0, loss_rate
        self.faults_end_ms = fault_ms if faults else 0.0
        self.scheduled_wake = None
        self.headroom_refusals, self.imports_in_flight, self.undoing = 0, {}, ("", "")
        self.steps, self.had_good_replica, self.needs_check = [], {}, True
        for n in range(shards):
            name = f"t{n % 2}/day={n}"
            self.expected[name] = Content(10 + n, 1000 + n, SIZE)
            self.declare(name, copies)
            for k in range(copies):
                engine = self.engines[f"e{(n + k) % engines}"]
                engine.shelf.held[name] = self.expected[name]
        self.begin_holder()
        self.schedule(10.0, self.report_engines)
        self.schedule(100.0, self.query)
        if faults:
            self.schedule(8_000.0, self.fault)

    # Time.

    def loads(self):
        """Return how many imports were done."""
        return sum(n for what, n in self.counts.items() if what.startswith("import "))

    def schedule(self, delay, what, *args):
        self.order += 1
        heapq.heappush(self.heap, (self.now + delay, self.order, what, args))

    def run(self, until):
        while self.heap and self.heap[0][0] <= until:
            self.now, _, what, args = heapq.heappop(self.heap)
            what(*args)
            if self.needs_check:
                self.check_invariants()
        self.now = until

    # The replicated state.

    def fact(self, kind, key):
        if kind in ("fence", "level"):
            return self.fence if kind == "fence" else 2
        return int(kind == "changing" and key in self.changing)

    def advance_clock(self):
        self.index += 1
        self.clock = int(self.now)
        due = self.machine.next_expiry_clock_ms()
        if due is not None and due <= self.clock:
            self.machine.expire_due(LogPosition(self.index, self.clock))

    def apply(self, command):
        self.advance_clock()
        self.needs_check = True
        request = pb.Command.FromString(command)
        move = self.machine.moves.get(request.step.move)
        self.undoing = (move.shard, move.target) if move is not None else ("", "")
        self.undoing_step = move.step if move is not None else ""
        answer = pb.Answer.FromString(self.machine.apply(LogPosition(self.index, self.clock), command, self))
        self.headroom_refusals += answer.refusal == pb.Answer.HEADROOM
        if not answer.refusal:
            self.check_accepted(request)
        return answer

    def check_accepted(self, request):
        """Check an accepted command against the simulation's own rules."""
        if request.WhichOneof("what") not in ("declare", "remove") and request.fence != self.fence:
            raise Broken("a command with an older fencing token was accepted")
        if request.WhichOneof("what") != "step":
            return
        move, step = self.machine.moves.get(request.step.move), pb.Step
        is_forward = (step.RESERVE, step.COPY, step.CHECK, step.SWITCH, step.DROP)
        if request.step.kind in is_forward and move and move.shard.split("/")[0] in self.changing:
            raise Broken(f"{move.shard} advanced during a schema change of its table")
        self.steps.append(pb.Step.Kind.Name(request.step.kind))
        machine = self.machine
        if request.step.kind in (step.RESERVE, step.COPY):
            self.check_bounds()
        given_back = self.undoing[1] not in self.machine.copies.get(self.undoing[0], {})
        if (
            request.step.kind == pb.Step.UNDONE
            and given_back
            and any(
                (shard, e.name) == self.undoing and e.up and e.incarnation == life and until > self.now
                for shard, e, life, until in self.imports_in_flight.values()
            )
        ):
            raise Broken(f"space for {self.undoing} released while an import may still write to it")
        engine = self.engines.get(self.undoing[1])
        if (
            given_back
            and self.undoing_step in ("copying", "checked", "undoing")
            and engine is not None
            and (
                engine.up
                and self.machine.homes[engine.name].mark == engine.mark
                and self.undoing[0] in engine.shelf.held
            )
        ):
            raise Broken(f"space for {self.undoing} released while part of it is on the disk")
        if request.step.kind == pb.Step.RESERVE:
            for name, home in machine.homes.items():
                used = sum(machine.shards[s].size for s, held in machine.copies.items() if name in held)
                over = used + max(home.headroom, home.spilled) > home.disk
                move = machine.moves[request.step.move]
                if over and move.target == name:
                    raise Broken(f"headroom of {name} violated")
        for shard in machine.shards:
            kind = pb.Step.Kind.Name(request.step.kind)
            if kind in ("DROP", "DONE") and not machine.good(shard) and self.had_good_replica.get(shard):
                raise Broken(f"{kind} dropped the last good replica of {shard}")

    def check_bounds(self):
        """Check the number of streams, given the steps of migrations."""
        streams = Counter()
        for move in self.machine.moves.values():
            if move.step in ("reserved", "copying"):
                streams.update((move.source, move.target))
        if max(streams.values(), default=0) > self.bounds.streams_per_engine:
            raise Broken(f"too many streams: {streams}")

    def check_keeps(self, keeps):
        """Check that the state machine would not drop a replica that a plan made now keeps."""
        for move in (self.machine.moves[number] for number in keeps):
            if move.step in ("switched", "dropping") and self.machine.may_drop(move.shard, move.drops):
                raise Broken(f"the planner keeps a replica of {move.shard} that the state machine would drop")

    def declare(self, name, copies, holds=None):
        self.apply(
            pb.Command(
                declare=pb.Declare(
                    shards=[
                        pb.Shard(
                            name=name,
                            table=name.split("/")[0],
                            size=SIZE,
                            copies=copies,
                            zones=min(copies, 2),
                            checked=holds is not None,
                            rows=getattr(holds, "rows", 0),
                            checksum=getattr(holds, "checksum", 0),
                        )
                    ]
                )
            ).SerializeToString()
        )

    # The holder.

    def begin_holder(self):
        self.advance_clock()
        self.fence += 1
        self.holder += 1
        self.driver = self.driver_type(self.fence, self.index, "/staging", self.bounds, self.timing)
        self.replica = None
        self.schedule(5.0, self.step_holder, self.holder, [])

    def crash_holder(self, after=None):
        if self.driver is not None:
            self.driver = None
            self.holder += 1
            self.counts["crashes"] += 1
            self.schedule(TERM_MS if after is None else after, self.begin_holder)

    def step_holder(self, holder, events):
        if holder != self.holder or self.driver is None:
            return
        if not self.view_lag_ms:
            events = [StateUpdated(self.index, self.machine, frozenset(self.changing)), *events]
        elif self.replica is None or self.now >= self.replica[0] + self.view_lag_ms:
            copy = self.machine_type()
            copy.restore(self.machine.snapshot())
            self.replica = (self.now, copy)
            events = [StateUpdated(self.index, copy, frozenset(self.changing)), *events]
        for action in self.driver.step(self.now, events):
            if isinstance(action, ProposeCommand | RunStatement) and self.now >= DRAIN_MS:
                self.action_count += 1
                number, kind = self.fault_at or (0, "")
                if self.action_count == number and self.planned_fault(kind):
                    return
            match action:
                case ProposeCommand():
                    self.send_command(action)
                case RunStatement():
                    self.send_statement(action)
                case ComputePlan(token, world, bounds):
                    # delivered when much may have changed
                    made = [PlanCompleted(token, self.planner(world, bounds))]
                    if not self.view_lag_ms:
                        self.check_keeps(made[0].planned.keeps)
                    self.schedule(self.random.choice((1.0, 100.0, 3_000.0)), self.step_holder, holder, made)
                case CancelStatement():
                    self.schedule(2.0, self.stop, action.token, holder)
                case WakeAt():
                    if self.scheduled_wake != (holder, action.at):
                        self.scheduled_wake = (holder, action.at)
                        self.schedule(max(1.0, action.at - self.now), self.step_holder, holder, [])
                case LeaseLost():
                    raise Broken("the only holder lost its lease")

    def send_command(self, action):
        holder = self.holder
        lost = self.random.random() < self.loss_rate
        delay = self.random.uniform(1.0, 30.0)
        if lost and self.random.random() < 0.5:
            return self.schedule(
                TIMING.answer_ms, self.step_holder, holder, [CommandAnswered(action.token, None)]
            )
        if self.loss_rate and self.random.random() < 0.05:  # so late that another may hold the lease
            delay = self.random.uniform(3_000.0, 9_000.0)

        def arrive():
            answer = self.apply(action.command)
            if not lost:
                self.schedule(
                    self.random.uniform(1.0, 30.0),
                    self.step_holder,
                    holder,
                    [CommandAnswered(action.token, answer, self.index)],
                )

        self.schedule(delay, arrive)

    # Engines.

    def send_statement(self, action):
        engine, holder = self.engines[action.engine], self.holder
        delay = self.random.uniform(1.0, 20.0)
        hang = self.now < engine.hang_until_ms
        if hang and not engine.runs_late and self.random.random() < 0.5:
            return  # it never arrived
        task = engine.shelf.read(action.statement)
        if task.kind == "import":
            until = self.now + action.timeout_ms
            self.imports_in_flight[holder, action.token] = (task.shard, engine, engine.incarnation, until)
        if hang and not engine.runs_late and self.random.random() < 0.5:  # executed late, within its time-out
            delay = self.random.uniform(1.0, action.timeout_ms * 0.9)
        self.schedule(delay, self.begin_statement, engine, engine.incarnation, action, holder, hang, self.now)

    def answer(self, holder, token, hang, *ended):
        if not hang and self.random.random() >= self.loss_rate:
            self.schedule(
                self.random.uniform(1.0, 20.0), self.step_holder, holder, [StatementEnded(token, *ended)]
            )

    def begin_statement(self, engine, life, action, holder, hang, sent):
        if not engine.up or engine.incarnation != life:
            return self.answer(holder, action.token, hang, "unknown")
        if self.now < engine.fail_until_ms:
            self.imports_in_flight.pop((holder, action.token), None)
            return self.answer(holder, action.token, hang, "failed")
        try:
            task = engine.shelf.begin(action.statement, action.overlay)
        except Refused as exc:
            self.counts[str(exc).split(",")[0]] += 1
            self.imports_in_flight.pop((holder, action.token), None)
            return self.answer(holder, action.token, hang, "failed")
        took = task.size / self.rate if task.size else self.random.uniform(5.0, 200.0)
        if hang and (engine.runs_late or self.random.random() < 0.5):  # after the check of its fencing token
            took = self.random.uniform(0.0, action.timeout_ms)
        if hang:
            took = min(took, max(0.0, sent + action.timeout_ms - self.now))
        self.running_statements[action.token, holder] = task
        self.schedule(took, self.end_statement, engine, life, task, action, holder, hang)

    def end_statement(self, engine, life, task, action, holder, hang):
        if self.running_statements.pop((action.token, holder), None) is None and holder == self.holder:
            return self.answer(holder, action.token, hang, "unknown")  # it was cancelled
        if not engine.up or engine.incarnation != life:
            return self.answer(holder, action.token, hang, "unknown")
        self.counts[task.kind] += 1
        self.imports_in_flight.pop((holder, action.token), None)
        self.needs_check = True
        if task.kind.startswith("drop") and task.shard in engine.shelf.held:
            if engine.shelf.held[task.shard] == self.expected[task.shard]:
                self.counts["whole dropped"] += 1
            if self.running[task.shard, engine.name]:
                raise Broken(
                    f"a query of {task.shard} on {engine.name} was running when its replica was dropped"
                )
        try:
            content = engine.shelf.end(task)
        except Refused as exc:
            self.counts[str(exc)] += 1
            return self.answer(holder, action.token, hang, "failed")
        if task.kind == "import":
            self.counts[f"import {task.shard} {engine.name}"] += 1
        figures = (content.rows, content.checksum) if content is not None else ()
        self.answer(holder, action.token, hang, "ok", *figures)

    def stop(self, token, holder):
        self.running_statements.pop((token, holder), None)

    def report_engines(self):
        self.schedule(2_000.0, self.report_engines)
        homes = tuple(engine.host_state() for engine in self.engines.values())
        held = {name: frozenset(e.shelf.held) for name, e in self.engines.items() if e.up}
        self.schedule(
            self.random.uniform(5.0, 500.0), self.step_holder, self.holder, [EnginesReported(homes, held)]
        )
        if self.index % 3 == 0 or self.machine.next_expiry_clock_ms() is not None:
            self.advance_clock()
        for shard in self.machine.shards:
            engine, move = self.machine.leaving(shard), self.machine.move_of(shard)
            if engine and move.rested and not self.running[shard, engine]:
                self.schedule(
                    5.0, self.step_holder, self.holder, [ReplicaQuiesced(shard, engine, move.number)]
                )

    # Queries.

    def query(self):
        self.schedule(self.random.uniform(50.0, 400.0), self.query)
        shard = self.random.choice(sorted(self.expected))
        good = self.machine.good(shard)
        if good:  # the view is current; the query is sent by it up to VIEW_MS later
            engine = self.engines[self.random.choice(good)]
            disk = self.machine.homes[engine.name].mark
            self.schedule(self.random.uniform(0.0, VIEW_MS), self.read, shard, engine, disk)

    def read(self, shard, engine, disk):
        if not engine.up or disk != engine.mark:
            # refused by the connection, or the disk was replaced and the replicated state can't know yet
            return
        if engine.shelf.held.get(shard) != self.expected[shard]:
            raise Broken(f"a query of {shard} was sent to {engine.name}, which lacks the replica")
        self.counts["queries"] += 1
        self.running[shard, engine.name] += 1
        self.schedule(self.random.uniform(10.0, QUERY_MS), self.answered, shard, engine)

    def answered(self, shard, engine):
        self.running[shard, engine.name] -= 1

    # Faults.

    def fault(self):
        if self.now >= self.faults_end_ms:
            return
        self.schedule(self.random.uniform(1_000.0, 12_000.0), self.fault)
        engine = self.engines[self.random.choice(sorted(self.engines))]
        kind = self.random.choice(FAULTS)
        self.counts[f"fault {kind}"] += 1
        self.cause_fault(kind, engine)

    def planned_fault(self, kind):
        """Cause one fault before an action; return whether the holder ends by it, without that action."""
        self.needs_check = True
        self.loads_then = self.loads()
        move = next((m for m in self.machine.moves.values() if m.target), None)
        if kind in ("crash", "crash soon"):
            self.crash_holder(TERM_MS if kind == "crash" else 20.0)
            return True
        if move is None:
            return False
        what, _, side = kind.rpartition(" ")
        for engine in [
            self.engines[e]
            for e in {"source": [move.source], "target": [move.target], "both": [move.source, move.target]}[
                side
            ]
        ]:
            if what == "wipe":
                self.wipe(engine, 500.0)
            elif what == "down":
                self.take_down(engine, 9_000.0 if engine.name == move.source else 5_000.0)
            elif what == "spill":
                engine.shelf.spilled = engine.shelf.free
                self.schedule(20_000.0, self.unspill, engine)
            elif what == "drain":
                engine.draining = True
            elif what == "hang":
                engine.hang_until_ms = self.now + 12_000.0
            # what is sent now is executed late; the next holder starts soon
            elif what.startswith("late, crash"):
                engine.hang_until_ms, engine.runs_late = self.now + 5.0, True
                self.schedule(30.0, self.crash_holder, 20.0)
                engine.draining |= what.endswith("drain")
            elif what == "fail":
                engine.fail_until_ms = self.now + 6_000.0
        return False

    def wipe(self, engine, long):
        """Replace an engine's disk by an empty one, if each of its shards has another good replica."""
        if all(
            set(self.intact_replicas(shard)) & set(self.machine.good(shard)) - {engine.name}
            for shard in engine.shelf.held
        ):
            engine.shelf = Shelf(engine.disk, self.staging)
            engine.disk_number += 1
            self.take_down(engine, long)

    def cause_fault(self, kind, engine):
        self.needs_check = True
        long = self.random.uniform(1_000.0, 20_000.0)
        if kind == "crash":
            self.crash_holder(self.random.choice((TERM_MS, 50.0)))
        elif kind == "down":
            self.take_down(engine, long)
        elif kind == "both":
            move = next((m for m in self.machine.moves.values() if m.target and m.source), None)
            for name in (move.source, move.target) if move is not None else (engine.name,):
                self.take_down(self.engines[name], self.random.uniform(1_000.0, 20_000.0))
        elif kind == "wipe":
            self.wipe(engine, self.random.choice((10.0, long)))
        elif kind == "spill":
            bytes_ = self.random.choice((HEADROOM, HEADROOM, engine.disk * 2 // 3))
            engine.shelf.spilled = max(0, min(bytes_, engine.shelf.free + engine.shelf.spilled))
            self.schedule(long, self.unspill, engine)
        elif kind == "hang":
            engine.hang_until_ms = self.now + long
        elif kind == "fail":
            engine.fail_until_ms = self.now + long
        elif kind == "drain":
            if sum(not e.draining for e in self.engines.values()) > 4:
                engine.draining = True
                self.schedule(long * 3, self.undrain, engine)
        elif kind == "load":
            self.load(self.random.choice(sorted(self.expected)))
        elif kind == "change":
            table = self.random.choice(("t0", "t1"))
            if not self.machine.fact("moving", table):
                self.changing.add(table)
                self.schedule(long / 4, self.changing.discard, table)

    def load(self, shard):
        """Let a load job change a shard's rows on all good replicas, as the owner of a table's lock may."""
        table, old = shard.split("/")[0], self.expected[shard]
        good = [self.engines[engine] for engine in self.machine.good(shard)]
        if (
            self.machine.fact("moving", table)
            or not good
            or not all(e.up and self.machine.homes[e.name].mark == e.mark for e in good)
        ):
            return
        self.expected[shard] = Content(old.rows + 1, old.checksum + 7, SIZE)
        for engine in good:
            engine.shelf.held[shard] = self.expected[shard]
        known = self.machine.shards[shard]
        self.declare(shard, known.copies, self.expected[shard])

    def take_down(self, engine, long):
        if engine.up:
            engine.up = False
            engine.incarnation += 1
            engine.shelf.spilled = 0
            self.schedule(long, self.bring_up, engine)

    def bring_up(self, engine):
        engine.up = True
        engine.incarnation += 1

    def unspill(self, engine):
        engine.shelf.spilled = 0

    def undrain(self, engine):
        engine.draining = False

    def intact_replicas(self, shard):
        return [name for name, e in self.engines.items() if e.shelf.held.get(shard) == self.expected[shard]]

    # Invariants.

    def check_invariants(self):
        self.needs_check = False
        for shard in self.expected:
            if not self.intact_replicas(shard):
                raise Broken(f"no replica of {shard} is left")
        for engine in self.engines.values():
            if sum(content.size for content in engine.shelf.held.values()) > engine.disk - HEADROOM:
                raise Broken(f"replicas use the headroom of {engine.name}")
        self.had_good_replica = {shard: bool(self.machine.good(shard)) for shard in self.machine.shards}

    def settle(self):
        """Continue without faults; check that all needs are met in the end."""
        self.run(self.faults_end_ms)
        self.loss_rate = 0.0
        for engine in self.engines.values():
            engine.hang_until_ms = engine.fail_until_ms = 0.0
        if self.driver is None and not any(item[2] == self.begin_holder for item in self.heap):
            self.begin_holder()
        end = self.now + CALM_MS
        while True:
            self.run(self.now + 2_000.0)
            try:
                return self.check_needs()
            except Broken:
                if self.now >= end:
                    raise

    def check_needs(self):
        if self.machine.moves:
            raise Broken(f"migrations do not end: {list(self.machine.moves.values())[:3]}")
        for shard, wanted in self.machine.shards.items():
            ready = [e for e in self.machine.good(shard) if not self.engines[e].draining]
            if len(ready) < wanted.copies:
                raise Broken(f"{shard} has only {ready}")
        for name, engine in self.engines.items():
            known = {shard for shard, held in self.machine.copies.items() if name in held}
            if known != set(engine.shelf.held):
                raise Broken(f"{name}: the state has {sorted(known)}, the disk {sorted(engine.shelf.held)}")


ONE_FAULT = (
    "crash",
    "crash soon",
    *(f"{what} {side}" for what in ("wipe", "down", "hang", "fail") for side in ("source", "target")),
    "down both",
    "spill target",
    "drain target",
    "late, crash target",
    "late, crash, drain target",
)


def play_one_fault(number, kind, seed=0, **more):
    """Drain an engine with the only replicas; cause one fault before one action."""
    simulation = Play(seed, engines=4, shards=3, copies=1, faults=False, fault_at=(number, kind), **more)
    simulation.run(DRAIN_MS)
    simulation.engines["e0"].draining = True
    simulation.run(DRAIN_MS + 10_000.0)
    simulation.settle()
    return simulation


def careless(world, bounds):
    """Plan as if disks had no limits, with all replicas on the same engine."""
    homes = {
        name: replace(home, disk=home.disk + 10_000 * (name > "e2")) for name, home in world.homes.items()
    }
    return plan(replace(world, homes=homes), bounds)


def play_careless(seed, **more):
    """Simulate a planner that ignores space, on small disks: only the state machine keeps the headroom."""
    simulation = Play(seed, planner=careless, disk=500, shards=8, copies=1, quick=bool(seed % 2), **more)
    simulation.run(DRAIN_MS)
    for name in ("e0", "e1", "e2"):
        simulation.engines[name].draining = True
    simulation.run(simulation.faults_end_ms)
    return simulation


def play(seed, **more):
    """Simulate one seed of mixed faults to its end."""
    simulation = Play(seed, loss_rate=0.05, view_lag_ms=300.0 * (seed % 2), quick=bool(seed // 2 % 2), **more)
    simulation.settle()
    return simulation


def simulations(kind, first, last):
    """Yield simulations by name: `mixed` and `careless` by seed, `one` of each fault before each action."""
    if kind == "one":
        for fault in ONE_FAULT:
            for number in range(1, 17):
                for quick in (False, True):
                    yield f"{fault}, {number}", partial(play_one_fault, number, fault, quick=quick)
    for seed in range(first, last) if kind != "one" else ():
        yield (
            f"seed {seed}",
            partial(play_careless, seed)
            if kind == "careless"
            else partial(play, seed, planner=planned if seed % 4 else plan),
        )


if __name__ == "__main__":
    total, broken, plays = Counter(), 0, 0
    for title, run in simulations(sys.argv[1], *map(int, sys.argv[2:] or (0, 0))):
        plays += 1
        try:
            simulation = run()
            total.update({k: v for k, v in simulation.counts.items() if not k.startswith("import ")})
            total["headroom refusals"] += simulation.headroom_refusals
        except Broken as exc:
            broken += 1
            print(f"{title}: {exc}", flush=True)
    print(f"{plays} plays, {broken} broken", dict(sorted(total.items())))
