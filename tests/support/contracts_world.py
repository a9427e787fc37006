"""Simulates rollouts of a schema change: state machine, engines, crashes of holders and lost answers."""

import search_paths  # noqa: F401 - for a play that is run by hand

# isort: split

from random import Random

from fennelwind.raft.state_machine import LogPosition
from fennelwind.schema_compatibility import contracts_pb2 as pb
from fennelwind.schema_compatibility import rollout
from fennelwind.schema_compatibility.messages import schema_message
from fennelwind.schema_compatibility.rollout import Rollout, RolloutTimeouts, shape
from fennelwind.schema_compatibility.rules import RULES_VERSION
from fennelwind.schema_compatibility.state_machine import SchemaStateMachine, read_change
from fennelwind.schema_compatibility.types import parse_schema

OLD, NEW = parse_schema("a int, b string"), parse_schema("a int, b string, c int")
ANCIENT = parse_schema("a int")  # of an engine that missed the previous change
PATIENCE = RolloutTimeouts(drain_ms=100.0, answer_ms=50.0, record_ms=20.0)


class Engine:
    """An emulated engine: checks fencing tokens; a newer token ends a statement that still runs."""

    def __init__(self):
        self.shape, self.fence, self.running, self.is_present = shape(OLD), 0, None, True

    def admits(self, overlay):
        ((name, text),) = overlay
        assert name == "fennelwind.fence" and text.startswith("table:t:")
        fence = int(text.rpartition(":")[2])
        if fence > self.fence:
            self.fence, self.running = fence, None
        return fence == self.fence

    def run(self, statement):
        before, after = (shape(OLD), shape(NEW)) if statement == "do" else (shape(NEW), shape(OLD))
        if self.shape != before:
            return "failed"
        self.shape = after
        return "ok"


class World:
    """Runs one change to its end under faults and asserts the invariants at each step."""

    def __init__(self, seed, engines=3, at_once=False, back=True, faults=12, behind=False):
        self.random, self.machine, self.index, self.now = Random(seed), SchemaStateMachine(), 0, 0.0
        self.engines = {f"e{n}": Engine() for n in range(engines)}
        self.faults, self.fence, self.statement_count = faults, 0, 0
        self.do(propose=pb.Propose(table="t", publisher="p", schema=schema_message(OLD)))
        if behind:
            self.machine.tables["t"].behind.add("e0")
            self.engines["e0"].shape = shape(self.random.choice((OLD, NEW, ANCIENT)))
        answer = self.do(
            propose=pb.Propose(
                table="t",
                publisher="p",
                schema=schema_message(NEW),
                version=self.machine.tables["t"].version,
                engines=self.engines,
                forward=["do"],
                back=["undo"] if back else [],
                at_once=at_once,
            )
        )
        self.number = answer.number
        assert self.number in self.machine.changes
        self.events, self.rollout, self.holder_count = [], None, 0

    def fact(self, kind, key):
        return self.fence if (kind, key) == ("fence", "table:t") else 0

    def do(self, **what):
        command = pb.ContractCommand(rules=RULES_VERSION, **what)
        return self.apply(command)

    def apply(self, command):
        self.index += 1
        raw = self.machine.apply(LogPosition(self.index, int(self.now)), command.SerializeToString(), self)
        return pb.ContractAnswer.FromString(raw)

    def chance(self, part):
        if self.faults > 0 and self.random.random() < part:
            self.faults -= 1
            return True
        return False

    def start_holder(self):
        """Give the lease to a new holder, which starts from the replicated state."""
        self.fence += 1
        self.holder_count += 1
        change = self.machine.changes[self.number]
        copy = read_change(pb.Change.FromString(self._snapshot(change)))
        self.rollout = Rollout(copy, self.machine.tables["t"].schema, self.fence, PATIENCE)
        self.events = []

    def _snapshot(self, change):
        state = pb.ContractState.FromString(self.machine.snapshot())
        return state.changes[0].SerializeToString()

    def run_to_end(self):
        """Run until the change has ended; return the number of steps."""
        for step in range(3000):
            if self.number not in self.machine.changes:
                self.check_final_state()
                return step
            if self.rollout is None or self.rollout.over is not None or self.chance(0.05):
                self.start_holder()
            self.change_membership()
            self.run_step()
        raise AssertionError("the rollout does not end")

    def change_membership(self):
        for name, engine in self.engines.items():
            if self.chance(0.02):
                engine.is_present = not engine.is_present
                self.events.append(
                    rollout.EngineReturned(name) if engine.is_present else rollout.EngineLeft(name)
                )
        if self.faults <= 0:
            states = self.machine.changes[self.number].engines
            for name, engine in self.engines.items():
                if not engine.is_present or (states[name] == pb.Change.GONE_AWAY and not self.events):
                    engine.is_present = True
                    self.events.append(rollout.EngineReturned(name))

    def run_step(self):
        given = []
        if self.events and self.random.random() < 0.8:
            given.append(self.events.pop(self.random.randrange(len(self.events))))
        else:
            self.now += self.random.choice((1.0, 10.0, 60.0))
            for engine in self.engines.values():  # a running statement may end at any moment
                if engine.running and self.random.random() < 0.3:
                    engine.run(engine.running)
                    engine.running = None
        for action in self.rollout.step(self.now, given):
            self.perform(action)

    def perform(self, action):
        if isinstance(action, rollout.ProposeCommand):
            lost = self.chance(0.1)
            if lost and self.random.random() < 0.5:
                return  # lost before it arrived
            answer = self.apply(action.command)
            self.events.append(rollout.CommandCompleted(action.token, None if lost else answer))
            return
        if isinstance(action, rollout.RolloutEnded | rollout.Release):
            return
        engine = self.engines[action.engine]
        if isinstance(action, rollout.AwaitDrain):
            assert action.engine in self.machine.quiet("t")
            if not self.chance(0.1):
                self.events.append(rollout.Drained(action.token, action.engine))
        elif isinstance(action, rollout.StopStatement):
            if engine.is_present:
                engine.running = None
                self.events.append(rollout.StatementStopped(action.token, action.engine))
        elif not engine.is_present:
            lost = isinstance(action, rollout.RunStatement)
            about = (action.token, action.engine)
            self.events.append(
                rollout.StatementEnded(*about, "lost") if lost else rollout.DescribeFailed(*about)
            )
        elif isinstance(action, rollout.DescribeTable):
            if not engine.admits(action.overlay):
                self.events.append(rollout.DescribeFailed(action.token, action.engine, fenced=True))
            elif self.chance(0.1):
                self.events.append(rollout.DescribeFailed(action.token, action.engine))
            else:
                self.events.append(rollout.TableDescribed(action.token, action.engine, engine.shape))
        else:
            self.run(action, engine)

    def run(self, action, engine):
        assert action.engine in self.machine.quiet("t"), "a statement while queries may start"
        states = self.machine.changes[self.number].engines
        assert states[action.engine] in (pb.Change.ASKED, pb.Change.ASKED_BACK), (
            "not marked before the statement"
        )
        assert engine.running is None, "two statements at once"
        self.statement_count += 1
        if not engine.admits(action.overlay):
            self.events.append(rollout.StatementEnded(action.token, action.engine, "fenced"))
        elif self.chance(0.15):
            how = self.random.randrange(3)
            if how == 1:
                engine.run(action.statement)
            elif how == 2:
                engine.running = action.statement
            self.events.append(rollout.StatementEnded(action.token, action.engine, "lost"))
        elif self.chance(0.1):
            self.events.append(rollout.StatementEnded(action.token, action.engine, "failed"))
        else:
            self.events.append(
                rollout.StatementEnded(action.token, action.engine, engine.run(action.statement))
            )

    def check_final_state(self):
        """Check that all engines have the schema of the replicated state."""
        wanted = shape(self.machine.tables["t"].schema)
        behind = self.machine.quiet("t")
        for name, engine in self.engines.items():
            assert engine.shape != shape(ANCIENT) or name in behind, (
                f"{name}: with an older schema, but not marked as behind"
            )
            if engine.is_present and name not in behind:
                assert engine.running is None, f"{name}: a statement still runs"
                assert engine.shape == wanted, f"{name}: {engine.shape}, the replicated state has {wanted}"


# Possible engines: the replicated state, and whether the engine has the new schema.
FORWARD = [
    (pb.Change.WAITING, False),
    (pb.Change.ASKED, False),
    (pb.Change.ASKED, True),
    (pb.Change.DONE, True),
    (pb.Change.GONE_AWAY, False),
    (pb.Change.GONE_AWAY, True),
]
BACK = [*FORWARD, (pb.Change.ASKED_BACK, False), (pb.Change.ASKED_BACK, True), (pb.Change.UNDONE, False)]


def world_with_states(step, states, fence, back=True):
    """Return a world whose last holder died with the engines in these states."""
    world = World(1, engines=len(states), back=back, faults=0)
    change = world.machine.changes[world.number]
    change.step, change.fence, world.fence = step, fence, fence
    for (name, engine), (state, new) in zip(world.engines.items(), states, strict=True):
        change.engines[name] = state
        engine.shape, engine.fence = shape(NEW if new else OLD), fence
        engine.is_present = state != pb.Change.GONE_AWAY
        if state in (pb.Change.ASKED, pb.Change.ASKED_BACK):
            change.quiet.add(name)
    return world


if __name__ == "__main__":
    import sys
    from collections import Counter

    ended = Counter()
    for seed in range(int(sys.argv[1])):
        world = World(seed, 1 + seed % 3, seed % 2 == 1, back=seed % 5 != 0, behind=seed % 4 == 0)
        world.run_to_end()
        ended[{1: "finished", 2: "undone"}[world.machine.ended[world.number]]] += 1
        ended["holders"] += world.holder_count
        ended["statements"] += world.statement_count
    print(dict(ended))
