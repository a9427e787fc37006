"""Shard migrations: the state machine against a model, fault simulations, planted defects, statements."""

from collections import Counter
from unittest import mock
from urllib.parse import quote

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)
from move_defects import ACTIONS, DEFECTS, hunt, model, play_with_one_fault
from move_play import ONE_FAULT, Broken, Play, play, play_careless
from move_play import plan as simple_plan
from planted import planted

from fennelwind.emulators.shelves import Shelf
from fennelwind.raft import council_pb2
from fennelwind.raft.replicated_state import ReplicatedState
from fennelwind.raft.state_machine import LogPosition, UnreadableCommandError
from fennelwind.shards import access_load, migration_statements
from fennelwind.shards import shards_pb2 as pb
from fennelwind.shards import state_machine as machine_module
from fennelwind.shards.migration import (
    CancelStatement,
    CommandAnswered,
    EnginesReported,
    LeaseLost,
    MigrationDriver,
    ProposeCommand,
    RunStatement,
    StatementEnded,
    StateUpdated,
    WakeAt,
)
from fennelwind.shards.model import Bounds
from fennelwind.shards.plan import plan
from fennelwind.shards.state_machine import INITIAL_SUSPENSION_MS, MAX_SUSPENSION_MS, REST_MS, ShardMachine

Answer, Step = pb.Answer, pb.Step
SHARDS, ENGINES = ("t/d=1", "t/d=2", "u/"), ("e1", "e2", "e3", "e4")
DISKS = {"e1": 350, "e2": 350, "e3": 350, "e4": 250}  # bytes; 100 are headroom, each shard has 100


class StateMachineHarness:
    """A state machine with a fencing token, a clock and tables under change, all set by the test."""

    def __init__(self):
        self.machine, self.fence = ShardMachine(), 1
        self.changing, self.wanted = set(), set()  # tables
        self.index, self.clock = 0, 1

    def fact(self, kind, key):
        if (kind, key) == ("fence", "moves"):
            return self.fence
        return 2 if kind == "level" else int(key in {"changing": self.changing, "wanted": self.wanted}[kind])

    def ask(self, fence=None, **what):
        self.index += 1
        command = pb.Command(fence=self.fence if fence is None else fence, **what).SerializeToString()
        return Answer.FromString(self.machine.apply(LogPosition(self.index, self.clock), command, self))

    def wait(self, ms):
        self.clock += ms
        due = self.machine.next_expiry_clock_ms()
        if due is not None and due <= self.clock:
            self.machine.expire_due(LogPosition(self.index, self.clock))

    def declare(self, name, size=100, copies=1, **more):
        return self.ask(
            declare=pb.Declare(
                shards=[
                    pb.Shard(
                        name=name, table=name.partition("/")[0], size=size, copies=copies, zones=1, **more
                    )
                ]
            )
        ).refusals[0]

    def home(self, name, disk=400, headroom=100, life="ready", mark="m", **more):
        return self.ask(
            news=pb.News(
                homes=[
                    pb.Home(name=name, zone=name, disk=disk, headroom=headroom, life=life, mark=mark, **more)
                ],
                seen=self.index,
            )
        ).refusals[0]

    def found(self, shard, engine, rows=5, checksum=7, present=True, generation=0, seen=None):
        return self.ask(
            found=pb.Found(
                shard=shard,
                engine=engine,
                rows=rows,
                checksum=checksum,
                present=present,
                generation=generation,
                seen=self.index if seen is None else seen,
            )
        ).refusal

    def plan(self, shard, source="", target="", drops="", after=()):
        return self.ask(
            plan=pb.Plan(
                moves=[
                    pb.Move(number=2**62, shard=shard, source=source, target=target, drops=drops, after=after)
                ]
            )
        )

    def step(self, kind, move=1, fence=None, **more):
        return self.ask(fence, step=Step(move=move, kind=kind, **more)).refusal


def harness_with_replica():
    harness = StateMachineHarness()
    harness.declare("t/d=1")
    for name in ENGINES:
        harness.home(name)
    assert harness.found("t/d=1", "e1") == 0
    return harness


def to_step(harness, step, drops="e1"):
    """Take one migration of t/d=1 from e1 to e2 to a step."""
    assert harness.plan("t/d=1", "e1", "e2", drops).numbers == [1]
    for name, kind, more in (
        ("reserved", Step.RESERVE, {}),
        ("copying", Step.COPY, {"source": "e1", "attempt": 1}),
        ("checked", Step.CHECK, {"attempt": 1, "rows": 5, "checksum": 7}),
        ("switched", Step.SWITCH, {}),
        ("dropping", Step.DROP, {}),
    ):
        if harness.machine.moves[1].step == step:
            return harness
        if kind == Step.DROP:
            harness.wait(REST_MS)
        assert harness.step(kind, **more) == 0, name
        assert harness.machine.moves[1].step == name
    return harness


# The state machine alone.


def test_space_counts_for_both_replicas_until_drop():
    harness = to_step(harness_with_replica(), "dropping")
    assert harness.machine.good("t/d=1") == ("e2",) and harness.machine.leaving("t/d=1") == "e1"
    assert harness.machine.used == {"e1": 100, "e2": 100} and harness.machine.fact("moving", "t") == 1
    assert harness.step(Step.DONE) == 0
    assert harness.machine.used == {"e2": 100} and not harness.machine.moves
    assert not harness.machine.fact("moving", "t")
    assert harness.machine.places("t") == {"t/d=1": ("e2",)}


@pytest.mark.parametrize("step", ["planned", "reserved", "copying", "checked", "switched", "dropping"])
def test_each_step_is_taken_once_and_only_with_holders_fencing_token(step):
    after = {
        "planned": Step.RESERVE,
        "reserved": Step.COPY,
        "copying": Step.CHECK,
        "checked": Step.SWITCH,
        "switched": Step.DROP,
        "dropping": Step.DONE,
    }
    more = {Step.COPY: {"source": "e1", "attempt": 1}, Step.CHECK: {"attempt": 1, "rows": 5, "checksum": 7}}
    harness = to_step(harness_with_replica(), step)
    harness.fence = 2
    before = harness.machine.snapshot()
    for kind in Step.Kind.values():
        assert harness.step(kind, fence=1, **more.get(kind, {})) == Answer.FENCE
    for kind in (k for k in after.values() if k != after[step]):
        assert harness.step(kind, **more.get(kind, {})) != 0, Step.Kind.Name(kind)
    assert harness.machine.snapshot() == before
    harness.fence = 0  # no holder
    assert harness.step(after[step], fence=0, **more.get(after[step], {})) == Answer.FENCE


def test_table_under_change_is_not_migrated_and_running_migration_is_reported():
    harness = harness_with_replica()
    harness.changing.add("t")
    assert harness.plan("t/d=1", "e1", "e2").refusals == [Answer.CHANGING]
    assert harness.found("t/d=1", "e1") == Answer.CHANGING
    harness.changing.clear()
    harness.plan("t/d=1", "e1", "e2", "e1")
    assert harness.machine.fact("moving", "t") == 0  # a planned migration delays no schema change
    harness.changing.add("t")
    assert harness.step(Step.RESERVE) == Answer.CHANGING
    harness.changing.clear()
    harness.wanted.add("t")  # a change waits: no migration starts, running ones continue
    assert harness.step(Step.RESERVE) == Answer.CHANGING
    harness.wanted.clear()
    assert harness.step(Step.RESERVE) == 0 and harness.machine.fact("moving", "T") == 1
    harness.wanted.add("t")
    assert harness.step(Step.COPY, source="e1", attempt=1) == 0
    assert harness.step(Step.UNDO) == 0 and harness.step(Step.UNDONE) == 0
    assert harness.machine.fact("moving", "t") == 0


class Changes:
    """A stand-in for the schema gate: a state machine whose changes begin and end."""

    name, kinds = "contracts", ("changing", "fence")

    def __init__(self):
        self.under_change = set()

    def apply(self, at, command, facts):
        word, table = command.decode().split()
        if word == "end":
            self.under_change.discard(table)
        elif facts.fact("moving", table):
            return b"refused"
        else:
            self.under_change.add(table)
        return b"done"

    def fact(self, kind, key):
        return int(kind in ("fence", "level")) or int(key in self.under_change)

    def expire_due(self, at):
        pass

    def next_expiry_clock_ms(self):
        return None

    def snapshot(self):
        return b" ".join(sorted(t.encode() for t in self.under_change))

    def restore(self, data):
        self.under_change = set(data.decode().split())


@settings(max_examples=60, deadline=None, derandomize=True)
@given(
    st.lists(
        st.sampled_from(["begin", "end", "plan", "RESERVE", "COPY", "CHECK", "SWITCH", "UNDO", "UNDONE"]),
        max_size=40,
    )
)
def test_change_and_move_of_one_table_never_meet_and_neither_waits_for_the_other(asked):
    machine, changes = ShardMachine(), Changes()
    record = ReplicatedState([machine, changes])
    client = record.apply(council_pb2.Entry(index=1, command=council_pb2.Command())).index
    numbers = iter(range(1, 1000))

    def send(to, body):
        n = next(numbers)
        return record.apply(
            council_pb2.Entry(
                index=n + 1, command=council_pb2.Command(client=client, number=n, machine=to, body=body)
            )
        ).body

    send(
        "shards",
        pb.Command(
            declare=pb.Declare(shards=[pb.Shard(name="t/", table="t", size=10, copies=1, zones=1)])
        ).SerializeToString(),
    )
    homes = [pb.Home(name=e, disk=100, life="ready", mark="m") for e in ENGINES]
    send("shards", pb.Command(fence=1, news=pb.News(homes=homes)).SerializeToString())
    found = pb.Found(shard="t/", engine="e1", present=True)
    send("shards", pb.Command(fence=1, found=found).SerializeToString())
    for word in asked:
        move = machine.move_of("t/")
        if word in ("begin", "end"):
            send("contracts", f"{word} t".encode())
        elif word == "plan":
            send(
                "shards",
                pb.Command(
                    fence=1, plan=pb.Plan(moves=[pb.Move(number=2**62, shard="t/", source="e1", target="e2")])
                ).SerializeToString(),
            )
        elif move is not None:
            send(
                "shards",
                pb.Command(
                    fence=1,
                    step=Step(
                        move=move.number,
                        kind=Step.Kind.Value(word),
                        source="e1",
                        attempt=move.attempt + (word == "COPY"),
                    ),
                ).SerializeToString(),
            )
        assert not (machine.fact("moving", "t") and changes.under_change)
    send("contracts", b"end t")  # any caller can end it
    move = machine.move_of("t/")
    for kind in (Step.UNDO, Step.UNDONE) if move is not None else ():
        send("shards", pb.Command(fence=1, step=Step(move=move.number, kind=kind)).SerializeToString())
    assert send("contracts", b"begin t") == b"done"


def test_headroom_counts_coming_replicas_and_spills_beyond_it():
    harness = harness_with_replica()
    harness.declare("t/d=2", size=250)
    harness.found("t/d=2", "e1")
    to_step(harness, "reserved")
    assert harness.plan("t/d=2", "e1", "e2").numbers == [2]
    assert harness.step(Step.RESERVE, 2) == Answer.HEADROOM  # 100 bytes are coming; 250 more exceed 300
    assert harness.step(Step.UNDO) == 0
    harness.home("e2", spilled=151)  # 51 bytes beyond the headroom
    assert harness.step(Step.RESERVE, 2) == Answer.HEADROOM
    harness.home("e2", spilled=150)
    assert harness.step(Step.RESERVE, 2) == 0 and harness.machine.free_bytes("e2") == 0


def test_last_good_replica_and_needed_ones_stay():
    harness = harness_with_replica()
    assert harness.plan("t/d=1", drops="e1").numbers == [1]
    assert harness.step(Step.SWITCH) == Answer.LAST
    assert harness.step(Step.UNDO) == 0
    harness.found("t/d=1", "e2")
    assert harness.plan("t/d=1", drops="e1").numbers == [2] and harness.step(Step.SWITCH, 2) == 0
    assert harness.machine.good("t/d=1") == ("e2",)
    assert harness.step(Step.DROP, 2) == Answer.WAITS  # a view may be that old
    harness.wait(REST_MS)
    harness.home("e2", mark="another")  # it returned empty
    assert harness.step(Step.DROP, 2) == Answer.LAST
    assert harness.step(Step.KEEP, 2) == 0 and harness.machine.good("t/d=1") == ("e1",)


def test_engine_returns_empty_or_with_outdated_replica():
    harness = to_step(harness_with_replica(), "checked")
    harness.home("e2", mark="another")
    assert harness.step(Step.SWITCH) == Answer.TARGET and harness.machine.homes["e2"].generation == 1
    # an import may still write there
    assert harness.step(Step.UNDO) == 0 and harness.machine.used["e2"] == 100
    assert harness.step(Step.UNDONE) == 0 and not harness.machine.moves and "e2" not in harness.machine.used
    harness.home("e1", life="gone", mark="")
    assert harness.machine.good("t/d=1") == ()
    harness.home("e1")
    assert harness.machine.good("t/d=1") == () and harness.machine.used["e1"] == 100
    assert harness.found("t/d=1", "e1", generation=1) == Answer.TARGET
    assert harness.found("t/d=1", "e1", rows=4) == 0 and harness.machine.copies["t/d=1"]["e1"].wrong
    assert harness.found("t/d=1", "e1") == 0 and harness.machine.good("t/d=1") == ("e1",)
    assert harness.found("t/d=1", "e1", rows=4) == Answer.DIFFERS and harness.machine.good("t/d=1") == ("e1",)


def test_kept_replica_that_was_doubtful_stays_doubtful():
    harness = harness_with_replica()
    harness.found("t/d=1", "e2")
    harness.home("e2", life="gone", mark="")
    harness.home("e2")
    assert harness.plan("t/d=1", drops="e2").numbers == [1] and harness.step(Step.SWITCH) == 0
    harness.home("e1", mark="another")
    assert harness.step(Step.KEEP) == 0
    assert harness.machine.good("t/d=1") == () and harness.machine.copies["t/d=1"]["e2"].state == "doubtful"


def test_outdated_checks_and_engine_reports_are_refused():
    harness = to_step(harness_with_replica(), "copying")
    seen = harness.index
    harness.step(Step.UNDO)
    harness.step(Step.UNDONE)
    assert harness.found("t/d=1", "e2", seen=seen) == Answer.WAITS and harness.machine.good("t/d=1") == (
        "e1",
    )
    assert harness.found("t/d=1", "e2", present=False) == 0
    old = pb.News(homes=[pb.Home(name="e1", disk=1, life="ready", mark="older")], seen=harness.index)
    harness.home("e1", spilled=5)
    assert harness.ask(news=old).refusals == [Answer.WAITS] and harness.machine.used["e1"] == 100


def test_state_is_read_in_pieces_of_one_revision(monkeypatch):
    monkeypatch.setattr(machine_module, "MAX_PIECE_BYTES", 50)
    harness, data, seen = to_step(harness_with_replica(), "checked"), b"", pb.ShardSeen(size=1)
    while len(data) < seen.size:
        seen = pb.ShardSeen.FromString(
            harness.machine.asked(pb.ShardQuery(skip=len(data)).SerializeToString())
        )
        data += seen.piece
        assert seen.revision == harness.machine.revision and 0 < len(seen.piece) <= 50
    assert data == harness.machine.snapshot() and harness.machine.asked(b"\xff") == b""
    harness.step(Step.SWITCH)
    assert pb.ShardSeen.FromString(harness.machine.asked(b"")).revision > seen.revision


def test_only_changed_replica_locations_are_returned(monkeypatch):
    monkeypatch.setattr(machine_module, "MAX_PLACES_PER_ANSWER", 2)
    harness, known, asks = harness_with_replica(), {}, []

    def look(after):
        name, first, heard = "", None, {}
        while True:
            query = pb.ShardQuery(places=pb.PlacesQuery(after=after, name=name))
            told = pb.Places.FromString(harness.machine.asked(query.SerializeToString()))
            heard |= {p.shard: tuple(told.engines[n] for n in p.engines) for p in told.places}
            first = first or told
            asks.append(len(told.places))
            if not told.more:
                break
            name = told.places[-1].shard
        if first.whole:
            known.clear()
        known.update(heard)
        assert known == {shard: harness.machine.good(shard) for shard in harness.machine.shards}
        return first.revision

    for n in range(2, 7):
        harness.declare(f"t/d={n}")
        harness.found(f"t/d={n}", "e3")
    seen = look(0)
    assert asks == [2, 2, 2]
    seen = look(seen)
    assert asks[3:] == [0]
    to_step(harness, "switched")
    seen = look(seen)
    assert asks[4:] == [1] and known["t/d=1"] == ("e2",)
    harness.home("e2", life="gone", mark="")
    assert look(seen) and known["t/d=1"] == ()
    harness.found("t/d=6", "e3", present=False)
    harness.ask(remove=pb.Remove(shard="t/d=6"))
    seen = look(seen)
    assert "t/d=6" not in known
    other = ShardMachine()
    other.restore(harness.machine.snapshot())
    harness.machine = other
    harness.found("t/d=5", "e3", present=False)
    assert look(seen) and known["t/d=5"] == ()


def test_failed_migrations_suspend_their_shard_with_backoff():
    harness, rests = harness_with_replica(), []
    for number in range(1, 12):
        assert harness.plan("t/d=1", "e1", "e2").numbers == [number]
        harness.step(Step.UNDO, number, failed=True)
        assert harness.plan("t/d=1", "e1", "e2").refusals == [Answer.ASIDE]
        rests.append(harness.machine.next_expiry_clock_ms() - harness.clock)
        harness.wait(rests[-1])
    assert rests[:3] == [INITIAL_SUSPENSION_MS, INITIAL_SUSPENSION_MS * 2, INITIAL_SUSPENSION_MS * 4]
    assert rests[-1] == MAX_SUSPENSION_MS


@pytest.mark.parametrize(
    "bad",
    [
        {"name": "x/d=1", "table": "t"},
        {"name": "t", "table": "t"},
        {"name": "/", "table": ""},
        {"size": 0},
        {"size": 2**61},
        {"copies": 0},
        {"copies": 17},
        {"zones": 2},
        {"heat": float("nan")},
        {"heat": -1.0},
        {"name": "t/" + "x" * 600},
        {"kinds": [""]},
    ],
)
def test_invalid_declarations_are_refused(bad):
    told = {"name": "t/d=1", "table": "t", "size": 1, "copies": 1, "zones": 1, **bad}
    assert StateMachineHarness().ask(declare=pb.Declare(shards=[pb.Shard(**told)])).refusals == [Answer.BAD]


def test_limits_are_enforced_and_unreadable_commands_change_nothing(monkeypatch):
    for bound in ("MAX_SHARDS", "MAX_ENGINES", "MAX_MIGRATIONS", "MAX_REPLICAS_PER_SHARD"):
        monkeypatch.setattr(machine_module, bound, 1)
    harness = StateMachineHarness()
    assert [harness.declare(f"t/d={n}") for n in (1, 1, 2)] == [0, 0, Answer.TOO_MANY]
    assert [harness.home(name) for name in ("e1", "e1", "e2")] == [0, 0, Answer.TOO_MANY]
    assert harness.found("t/d=1", "e1") == 0
    before = harness.machine.snapshot()
    for data in (b"", b"\xff\xff", b"\x0a", pb.Command(fence=1).SerializeToString()):
        with pytest.raises(UnreadableCommandError):
            harness.machine.apply(LogPosition(1, 1), data, harness)
    assert harness.step(99) == Answer.UNKNOWN and harness.home("e9", life="odd") == Answer.BAD
    assert harness.machine.snapshot() == before


# The state machine against a model: transitions of replicas and of steps that each command allows.

COPY_CHANGES = {
    "RESERVE": {("", "coming")},
    "SWITCH": {("coming", "good"), ("good", "leaving"), ("doubtful", "leaving")},
    "DONE": {("leaving", ""), ("doubtful", "")},
    "KEEP": {("leaving", "good"), ("leaving", "doubtful")},
    "UNDO": {("coming", "")},
    "UNDONE": {("coming", ""), ("coming", "doubtful")},
    "found": {
        ("", "good"),
        ("", "doubtful"),
        ("good", ""),
        ("good", "doubtful"),
        ("doubtful", "good"),
        ("doubtful", ""),
    },
    "gone": {("good", "doubtful"), ("leaving", "doubtful")},
    "empty": {(s, "") for s in ("good", "leaving", "doubtful", "coming")},
}
STEP_CHANGES = {
    "RESERVE": {("planned", "reserved")},
    "COPY": {("reserved", "copying"), ("copying", "copying")},
    "CHECK": {("copying", "checked")},
    "SWITCH": {("checked", "switched"), ("planned", "switched"), ("checked", ""), ("planned", "")},
    "DROP": {("switched", "dropping")},
    "DONE": {("dropping", "")},
    "KEEP": {("switched", ""), ("dropping", "")},
    "UNDO": {(s, t) for s in ("planned", "reserved", "copying", "checked") for t in ("", "undoing")},
    "UNDONE": {("undoing", "")},
    "plan": {("", "planned")},
}


class Model(RuleBasedStateMachine):
    """Random commands; each change of a replica or a step has to be in the tables above."""

    def __init__(self):
        super().__init__()
        self.harness = StateMachineHarness()
        self.last_steps = {}  # by shard: the entry
        self.doubted = {}  # by shard: when a readable replica became doubtful
        for n, name in enumerate(SHARDS):
            self.harness.declare(name, copies=1 + n % 2)
        for name in ENGINES:
            self.harness.home(name, disk=DISKS[name])
        for n, name in enumerate(SHARDS):
            self.harness.found(name, ENGINES[n])

    def see(self):
        m = self.harness.machine
        return ({(s, e): c for s, held in m.copies.items() for e, c in held.items()}, dict(m.moves))

    def did(self, by, answered, before, only=None):
        copies, moves = self.see()
        for pair in {*copies, *before[0]}:
            if by == "KEEP" and pair in copies and copies[pair].state == "good" != before[0][pair].state:
                assert not before[0][pair].wrong, pair
            change = tuple(seen[pair].state if pair in seen else "" for seen in (before[0], copies))
            assert change[0] == change[1] or change in COPY_CHANGES.get(by, ()), (by, pair, change)
            assert change[0] == change[1] or only is None or pair[1] == only
            if by == "gone" and change[0] != change[1]:
                self.doubted[pair[0]] = self.harness.clock
        for number in {*moves, *before[1]}:
            change = tuple(seen[number].step if number in seen else "" for seen in (before[1], moves))
            assert change[0] == change[1] or change in STEP_CHANGES.get(by, ()), (by, number, change)
        if answered:
            assert (copies, moves) == before
        for number, move in moves.items():
            assert sum(other.shard == move.shard for other in moves.values()) == 1, number

    @rule(
        life=st.sampled_from(("ready", "draining", "gone", "cold")),
        engine=st.sampled_from(ENGINES),
        spilled=st.sampled_from((0, 0, 100, 260)),
    )
    def news(self, engine, life, spilled):
        before = self.see()
        self.harness.home(
            engine,
            disk=DISKS[engine],
            life=life,
            spilled=spilled,
            mark=self.harness.machine.homes[engine].mark if life != "gone" else "",
        )
        self.did("gone" if life == "gone" else "", 0, before, engine)

    @rule(engine=st.sampled_from((*ENGINES, "e4", "e4")), number=st.integers(2, 9))
    def empty(self, engine, number):
        before = self.see()
        self.harness.home(engine, disk=DISKS[engine], mark=f"m{number}")
        self.did("empty", 0, before, engine)
        if before[0] and self.harness.machine.homes[engine].generation:
            changed = self.harness.machine.homes[engine].mark
            assert changed == f"m{number}"

    @rule(
        shard=st.sampled_from(SHARDS),
        engine=st.sampled_from(ENGINES),
        rows=st.sampled_from((5, 5, 6)),
        present=st.booleans(),
        late=st.sampled_from((False, False, True)),
        old=st.booleans(),
    )
    def found(self, shard, engine, rows, present, late, old):
        if old and self.last_steps:  # of a shard that has taken a step since
            shard = max(self.last_steps, key=self.last_steps.get)
        before, generation = self.see(), self.harness.machine.homes[engine].generation
        refusal = self.harness.found(
            shard,
            engine,
            rows,
            present=present,
            generation=generation + late,
            seen=self.last_steps.get(shard, 1) - 1 if old else None,
        )
        assert refusal or not old or shard not in self.last_steps
        self.did("found", refusal, before, engine)
        assert refusal or not late

    @rule(
        shard=st.sampled_from(SHARDS),
        sure=st.booleans(),
        source=st.sampled_from(ENGINES),
        to=st.sampled_from(("", "e4", *ENGINES)),
        drops=st.sampled_from(("", *ENGINES)),
        waits=st.booleans(),
    )
    def plan(self, shard, sure, source, to, drops, waits):
        before, good = self.see(), self.harness.machine.good(shard)
        if sure and good:
            source = drops = good[0]
        answer = self.harness.plan(shard, source, to, drops, after=tuple(before[1]) if waits else ())
        self.did("plan", answer.refusals[0], before)

    @precondition(lambda self: self.harness.machine.moves)
    @rule(
        data=st.data(),
        forth=st.sampled_from((True, True, True, False)),
        old=st.integers(0, 4),
        failed=st.booleans(),
        rows=st.sampled_from((5, 5, 5, 6)),
    )
    def step(self, data, forth, old, failed, rows):
        harness, m = self.harness, self.harness.machine
        move = m.moves[data.draw(st.sampled_from(sorted(m.moves)))]
        usual = {
            "planned": "RESERVE" if move.target else "SWITCH",
            "reserved": "COPY",
            "copying": "CHECK",
            "checked": "SWITCH",
            "switched": "DROP",
            "dropping": "DONE",
            "undoing": "UNDONE",
        }
        kind = usual[move.step] if forth else data.draw(st.sampled_from(Step.Kind.keys()))
        before, changing = self.see(), harness.fact("changing", m.shards[move.shard].table)
        refusal = harness.step(
            Step.Kind.Value(kind),
            move.number,
            harness.fence - (not old),
            source=move.source,
            attempt=move.attempt + (kind == "COPY"),
            rows=rows,
            checksum=7,
            failed=failed,
        )
        self.did(kind, refusal, before)
        if not refusal:
            self.last_steps[move.shard] = harness.index
        if not old:
            assert refusal == Answer.FENCE
        elif changing and kind in ("RESERVE", "COPY", "CHECK", "SWITCH", "DROP"):
            assert refusal == Answer.CHANGING
        elif kind == "RESERVE":
            assert (refusal == 0) == self.may_reserve(move, before), (move, refusal)
        elif kind == "DROP":
            assert (refusal == 0) == self.may_drop(move, before), (move, refusal)
        elif kind == "SWITCH" and move.target and not refusal:
            assert m.homes[move.target].generation == move.generation and m.homes[move.target].life != "gone"
        if not refusal and kind == "CHECK":
            assert rows == 5
        left = m.copies.get(move.shard, {}).get(move.drops)
        if not refusal and kind == "SWITCH" and left is not None and left.state == "leaving":
            assert len(m.good(move.shard)) >= (1 if left.wrong else m.shards[move.shard].copies)

    def may_reserve(self, move, before):
        home, held = self.harness.machine.homes.get(move.target), before[0]
        if home is None or move.step != "planned" or (move.shard, move.target) in held:
            return False
        used = sum(self.harness.machine.shards[s].size for s, e in held if e == move.target)
        return (
            home.life in ("ready", "cold")
            and not any(a in before[1] for a in move.after)
            and any(c.state == "good" for (s, _), c in held.items() if s == move.shard)
            and used + self.harness.machine.shards[move.shard].size + max(100, home.spilled) <= home.disk
        )

    def may_drop(self, move, before):
        copy = before[0].get((move.shard, move.drops))
        others = [e for (s, e), c in before[0].items() if s == move.shard and c.state == "good"]
        return (
            move.step == "switched"
            and move.rested
            and copy is not None
            and copy.state == "leaving"
            and len(others) >= (1 if copy.wrong else self.harness.machine.shards[move.shard].copies)
        )

    @rule(ms=st.sampled_from((100, REST_MS, INITIAL_SUSPENSION_MS)))
    def wait(self, ms):
        before = self.see()
        self.harness.wait(ms + 1)
        assert self.see()[0] == before[0]

    @rule(table=st.sampled_from(("t", "u")))
    def change(self, table):
        if table in self.harness.changing:
            self.harness.changing.discard(table)
        elif not self.harness.machine.fact("moving", table):
            self.harness.changing.add(table)

    @rule()
    def next_holder(self):
        self.harness.fence += 1

    @rule()
    def restored(self):
        data = self.harness.machine.snapshot()
        other = ShardMachine()
        other.restore(data)
        assert (
            other.snapshot() == data
            and other.next_expiry_clock_ms() == self.harness.machine.next_expiry_clock_ms()
        )
        self.harness.machine = other

    @invariant()
    def sums(self):
        m, (copies, moves) = self.harness.machine, self.see()
        used = Counter()
        for shard, engine in copies:
            used[engine] += m.shards[shard].size
        assert m.used == used
        for table in ("t", "u"):
            under_way = {move.shard for move in moves.values() if move.step != "planned"}
            under_way |= {s for s, since in self.doubted.items() if since + m.rest_ms > self.harness.clock}
            assert m.fact("moving", table) == sum(m.shards[shard].table == table for shard in under_way)
            for shard, engines in m.places(table).items():
                assert engines == tuple(
                    e
                    for e in ENGINES
                    if copies.get((shard, e))
                    and copies[shard, e].state == "good"
                    and m.homes[e].life != "gone"
                )


def test_state_machine_agrees_with_model():
    run_state_machine_as_test(
        Model, settings=settings(max_examples=50, stateful_step_count=50, deadline=None, derandomize=True)
    )


# Statements, and guarantees of the driver.

names = st.text(st.characters(exclude_categories=["Cs", "Cc"]), min_size=1, max_size=12)


@settings(max_examples=150, deadline=None, derandomize=True)
@given(
    names.filter(lambda t: "/" not in t and ". " not in t and t.strip(".") == t and ".." not in t),
    st.lists(st.tuples(names, names), max_size=3),
    names,
)
def test_any_name_is_quoted_so_that_an_engine_reads_the_same(table, pairs, path):
    shard = f"{table}/" + "/".join(f"{quote(c, safe='')}={quote(v, safe='')}" for c, v in pairs)
    meant = f"{table}/" + "/".join(f"{c}={v}" for c, v in pairs)
    shelf = Shelf(1, {})
    for statement in (
        migration_statements.export(shard, path),
        migration_statements.load(shard, path),
        migration_statements.drop(shard),
        migration_statements.check(shard),
    ):
        task = shelf.read(statement)
        assert task.shard == meant and task.path in ("", path), statement


def holder(index=5, since=5):
    """Return a driver and its step on the harness's state."""
    carrier = MigrationDriver(7, since, "/staging")
    return carrier, lambda harness, now=0.0, *events: carrier.step(
        now, [StateUpdated(index, harness.machine), *events]
    )


def test_driver_waits_until_its_state_includes_its_lease():
    harness = to_step(harness_with_replica(), "reserved")
    _, early = holder(index=4)
    assert not [a for a in early(harness) if isinstance(a, ProposeCommand | RunStatement)]
    _, seen = holder(index=5)
    command = pb.Command.FromString(next(a for a in seen(harness) if isinstance(a, ProposeCommand)).command)
    assert command.fence == 7 and command.step.kind == Step.COPY and command.step.source == "e1"


def test_driver_stops_when_another_holds_the_lease():
    harness = to_step(harness_with_replica(), "reserved")
    _, step = holder()
    token = next(a for a in step(harness) if isinstance(a, ProposeCommand)).token
    assert step(harness, 1.0, CommandAnswered(token, Answer(refusal=Answer.FENCE))) == [LeaseLost()]
    assert step(harness, 99_000.0) == [LeaseLost()]


def test_statements_carry_fence_and_timeout_and_are_cancelled_and_retried_with_backoff():
    harness = to_step(harness_with_replica(), "dropping")
    _, step = holder()
    run = next(a for a in step(harness) if isinstance(a, RunStatement))
    assert run.engine == "e1" and "DROP IF EXISTS PARTITION (`d`='1') PURGE" in run.statement
    assert run.overlay == {"fennelwind.fence": "moves:7", "hive.query.timeout.seconds": "30"}
    now, waits = 0.0, []
    for _ in range(4):
        actions = step(harness, now + 35_000.0)
        assert CancelStatement(run.token) in actions
        now = ended = now + 35_000.0
        while not any(isinstance(a, RunStatement) for a in actions):
            now = next(a.at for a in actions if isinstance(a, WakeAt))
            actions = step(harness, now)
        waits.append(now - ended)
        run = next(a for a in actions if isinstance(a, RunStatement))
    assert waits == [1_000.0, 2_000.0, 4_000.0, 8_000.0]
    told = next(
        a for a in step(harness, now + 1.0, StatementEnded(run.token, "ok")) if isinstance(a, ProposeCommand)
    )
    assert pb.Command.FromString(told.command).step.kind == Step.DONE


def test_bytes_per_hour_are_limited_across_holders_and_new_source_needs_free_stream():
    harness = StateMachineHarness()
    for n in range(6):
        harness.declare(f"t/d={n}", size=36)
    for name in ENGINES:
        harness.home(name, disk=1_000)
    for n in range(6):
        harness.found(f"t/d={n}", "e1")
        harness.plan(f"t/d={n}", "e1", "e2")
    harness.found("t/d=0", "e3"), harness.found("t/d=1", "e3"), harness.found("t/d=2", "e3")
    clock, bounds = 0, Bounds(2, 4, bytes_per_hour=100.0)
    carrier = MigrationDriver(1, 0, "/staging", bounds)

    def began(now, events=()):
        out, told = [], []
        for action in carrier.step(now, [StateUpdated(harness.index, harness.machine), *events]):
            if isinstance(action, ProposeCommand):
                harness.index += 1
                answer = Answer.FromString(
                    harness.machine.apply(LogPosition(harness.index, clock), action.command, harness)
                )
                told.append(CommandAnswered(action.token, answer, harness.index))
                step = pb.Command.FromString(action.command).step
                out.append((Step.Kind.Name(step.kind), step.source))
        return out, told

    assert began(0.0)[0] == []  # the contents of the target's disk are not known yet
    first, told = began(1_000.0, [EnginesReported((), {"e2": frozenset()})])
    assert first == [("RESERVE", "")] * 2  # streams of one engine, and 72 of 100 bytes
    assert began(1_001.0, told)[0] == [("COPY", "e1")] * 2
    for move in list(harness.machine.moves.values())[:2]:
        harness.step(Step.UNDO, move.number)
        harness.step(Step.UNDONE, move.number)
    carrier = MigrationDriver(
        1, 0, "/staging", bounds
    )  # another holder, which knows them from the replicated state only
    began(0.0)
    assert began(1_000.0, [EnginesReported((), {"e2": frozenset()})])[0] == []
    clock = 3_900_000
    harness.machine.expire_due(LogPosition(harness.index + 1, clock))
    found, told = began(2_000.0)
    assert found == [("RESERVE", "")] * 2
    harness.home("e1", life="gone")  # both need the one remaining replica, in addition to its own stream
    assert began(2_001.0, told)[0].count(("COPY", "e3")) <= 2


def counted(*pairs):
    return pb.Counted(queries=[pb.Counted.Queries(shard=shard, count=count) for shard, count in pairs])


def test_access_load_decays_by_replicated_clock_and_wakes_no_watch():
    harness = StateMachineHarness()
    harness.declare("t/d=1"), harness.declare("t/d=2", heat=9.0)
    machine, revision = harness.machine, harness.machine.revision
    for clock, told in ((0, [("t/d=1", 4_000_000), ("t/d=9", 7)]), (1_800_000, [("t/d=2", 3_000_000)])):
        command = pb.Command(counted=counted(*told)).SerializeToString()
        harness.index += 1
        answer = machine.apply(LogPosition(harness.index, clock), command, harness)
        assert not Answer.FromString(answer).refusal
    assert machine.access_loads() == {
        "t/d=1": 2_000.0,
        "t/d=2": 3_000.0,
    }  # one half-life later; a count of an unknown shard is ignored
    world = machine.world().with_counted_load()
    assert (world.shards["t/d=2"].heat, world.heat_unit) == (3_000.0, 1.0)
    assert machine.revision == revision and machine.state_at == harness.index
    other = ShardMachine()
    other.restore(machine.snapshot())
    later = LogPosition(harness.index + 1, 1_800_000 + 17 * access_load.STEP_MS + 5)
    for one in (machine, other):
        one.apply(later, pb.Command(counted=counted(("t/d=1", 5))).SerializeToString(), harness)
    assert machine.snapshot() == other.snapshot() and machine.access_loads()
    assert all(
        abs(access_load.decayed(10**9, n) - 10**9 * 0.5 ** (n / access_load.STEPS_PER_HALF_LIFE)) < 10**5
        for n in range(200)
    )
    two_versions = mock.patch.object(
        StateMachineHarness, "fact", lambda self, kind, key: int(kind == "level")
    )
    with two_versions, pytest.raises(UnreadableCommandError, match="of no kind"):
        machine.apply(later, pb.Command(counted=counted()).SerializeToString(), harness)
    many = counted(*[(f"t/d={n}", 1) for n in range(access_load.MAX_REPORTED_SHARDS + 1)])
    answer = machine.apply(later, pb.Command(counted=many).SerializeToString(), harness)
    assert Answer.FromString(answer).refusal == Answer.TOO_MANY
    late = LogPosition(later.index + 1, later.clock_ms + 3 * access_load.HALF_LIFE_MS)
    machine.apply(late, pb.Command(counted=counted()).SerializeToString(), harness)
    assert (
        not machine.access_loads() and machine.world().with_counted_load().shards["t/d=2"].heat == 9.0
    )  # too few queries to use


def test_controller_reports_most_named_shards_and_keeps_others_decayed():
    named = access_load.AccessCounter()
    for n in range(access_load.MAX_COUNTED_SHARDS + 1):
        named.count([f"t/d={n}", "t/d=0"])
    batch = named.batch(access_load.HALF_LIFE_MS)
    assert named.uncounted == 1 and batch[0] == ("t/d=0", (access_load.MAX_COUNTED_SHARDS + 2) * 500)
    assert len(batch) == access_load.MAX_REPORTED_SHARDS and batch[1] == ("t/d=1", 500)
    named.discard_reported(batch)
    assert len(named.counts) == access_load.MAX_COUNTED_SHARDS - access_load.MAX_REPORTED_SHARDS
    assert named.batch(7 * access_load.HALF_LIFE_MS) == []


# Simulations.


def streams(seed):
    """Simulate with one stream for each engine; raises `Broken` if an engine ever has more."""
    one = Play(
        seed,
        engines=4,
        shards=8,
        loss_rate=0.05,
        fault_ms=60_000.0,
        quick=bool(seed // 2 % 2),
        bounds=Bounds(streams_per_engine=1),
        planner=plan,
    )
    one.run(80_000.0)


@pytest.mark.parametrize(
    "defect",
    [
        None,
        mock.patch.object(MigrationDriver, "_requested_copies", lambda self: {}),
        mock.patch(
            "fennelwind.shards.transfer_throttle.available_source",
            lambda known, bounds, move, engines, asked: engines[0],
        ),
    ],
    ids=["none", "what was asked is not counted", "a new source's streams are not counted"],
)
def test_streams_are_limited_under_faults(defect):
    if defect is None:
        for seed in range(8):
            streams(seed)
        return
    with defect, pytest.raises(Broken, match="streams"):
        for seed in range(40):
            streams(seed)


@pytest.mark.parametrize("kind", ONE_FAULT)
def test_needs_are_met_after_crash_or_fault_before_any_action(kind):
    every = 1 if kind.startswith("crash") else 3
    for number in range(1, ACTIONS, every):
        play_with_one_fault(number, kind)


@pytest.mark.parametrize("planner", [simple_plan, plan], ids=["a simple planner", "the planner"])
def test_mixed_faults_break_no_invariant_and_needs_are_met_afterwards(planner):
    for seed in range(40):
        play(seed, engines=4, shards=3, fault_ms=50_000.0, planner=planner)


def test_state_machine_keeps_headroom_with_careless_planner():
    assert all(play_careless(seed, fault_ms=80_000.0).headroom_refusals > 0 for seed in range(5))


def test_migration_without_faults_copies_once_and_waits_for_queries():
    one = Play(3, engines=4, shards=3, copies=1, faults=False)
    one.run(15_000.0)
    one.engines["e0"].draining = True
    one.settle()
    assert one.steps == ["RESERVE", "COPY", "CHECK", "SWITCH", "DROP", "DONE"] and one.loads() == 1


@pytest.mark.parametrize(
    "title",
    [
        "switched without a check",
        "old copy dropped before the switch",
        "old copy dropped before the record says so",
        "resumed move copies again",
    ],
)
def test_planted_defects_are_found(title):
    assert hunt(title, 0) is not None


@pytest.mark.parametrize(
    "title",
    ["a check's answer from an earlier disk is taken", "a check's answer from before a move is taken"],
)
def test_planted_defects_are_found_by_the_model(title):
    with planted(DEFECTS[title]):
        assert model() is not None
