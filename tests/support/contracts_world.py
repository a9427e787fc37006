"""A world for the carrier of schema changes: the record's machine, engines, crashes, lost answers."""

import search_paths  # noqa: F401 - for a play that is run by hand

# isort: split

from random import Random

from fennelwind.raft.state_machine import LogPosition
from fennelwind.schema_compatibility import contracts_pb2 as pb
from fennelwind.schema_compatibility import rollout as go
from fennelwind.schema_compatibility.messages import schema_message
from fennelwind.schema_compatibility.rollout import Rollout, RolloutTimeouts, shape
from fennelwind.schema_compatibility.rules import RULES_VERSION
from fennelwind.schema_compatibility.state_machine import SchemaStateMachine, read_change
from fennelwind.schema_compatibility.types import parse_schema

OLD, NEW = parse_schema("a int, b string"), parse_schema("a int, b string, c int")
ANCIENT = parse_schema("a int")  # of an engine that missed the change before
PATIENCE = RolloutTimeouts(drain_ms=100.0, answer_ms=50.0, record_ms=20.0)


class Engine:
    """What a stand-in engine does of a change: it checks fences, and a newer one ends what still runs."""

    def __init__(self):
        self.shape, self.fence, self.running, self.there = shape(OLD), 0, None, True

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
    """Plays one change to its end under faults; asserts what has to hold at every moment."""

    def __init__(self, seed, engines=3, at_once=False, back=True, faults=12, behind=False):
        self.random, self.machine, self.index, self.now = Random(seed), SchemaStateMachine(), 0, 0.0
        self.engines = {f"e{n}": Engine() for n in range(engines)}
        self.faults, self.fence, self.acted = faults, 0, 0
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
        self.events, self.carrier, self.holders = [], None, 0

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

    def hire(self):
        """Give the lease to somebody, who begins from what the record says."""
        self.fence += 1
        self.holders += 1
        told = self.machine.changes[self.number]
        copy = read_change(pb.Change.FromString(self._snapshot(told)))
        self.carrier = Rollout(copy, self.machine.tables["t"].schema, self.fence, PATIENCE)
        self.events = []

    def _snapshot(self, told):
        state = pb.ContractState.FromString(self.machine.snapshot())
        return state.changes[0].SerializeToString()

    def play(self):
        """Return the number of steps until the change was over."""
        for step in range(3000):
            if self.number not in self.machine.changes:
                self.settle()
                return step
            if self.carrier is None or self.carrier.over is not None or self.chance(0.05):
                self.hire()
            self.chaos()
            self.turn()
        raise AssertionError("it never ends")

    def chaos(self):
        for name, engine in self.engines.items():
            if self.chance(0.02):
                engine.there = not engine.there
                self.events.append(go.EngineReturned(name) if engine.there else go.EngineLeft(name))
        if self.faults <= 0:
            states = self.machine.changes[self.number].engines
            for name, engine in self.engines.items():
                if not engine.there or (states[name] == pb.Change.GONE_AWAY and not self.events):
                    engine.there = True
                    self.events.append(go.EngineReturned(name))

    def turn(self):
        given = []
        if self.events and self.random.random() < 0.8:
            given.append(self.events.pop(self.random.randrange(len(self.events))))
        else:
            self.now += self.random.choice((1.0, 10.0, 60.0))
            for engine in self.engines.values():  # what still runs may end at any moment
                if engine.running and self.random.random() < 0.3:
                    engine.run(engine.running)
                    engine.running = None
        for action in self.carrier.step(self.now, given):
            self.carry(action)

    def carry(self, action):
        if isinstance(action, go.ProposeCommand):
            lost = self.chance(0.1)
            if lost and self.random.random() < 0.5:
                return  # it never came
            answer = self.apply(action.command)
            self.events.append(go.CommandCompleted(action.token, None if lost else answer))
            return
        if isinstance(action, go.RolloutEnded | go.Release):
            return
        engine = self.engines[action.engine]
        if isinstance(action, go.AwaitDrain):
            assert action.engine in self.machine.quiet("t")
            if not self.chance(0.1):
                self.events.append(go.Drained(action.token, action.engine))
        elif isinstance(action, go.StopStatement):
            if engine.there:
                engine.running = None
                self.events.append(go.StatementStopped(action.token, action.engine))
        elif not engine.there:
            lost = isinstance(action, go.RunStatement)
            about = (action.token, action.engine)
            self.events.append(go.StatementEnded(*about, "lost") if lost else go.DescribeFailed(*about))
        elif isinstance(action, go.DescribeTable):
            if not engine.admits(action.overlay):
                self.events.append(go.DescribeFailed(action.token, action.engine, fenced=True))
            elif self.chance(0.1):
                self.events.append(go.DescribeFailed(action.token, action.engine))
            else:
                self.events.append(go.TableDescribed(action.token, action.engine, engine.shape))
        else:
            self.run(action, engine)

    def run(self, action, engine):
        assert action.engine in self.machine.quiet("t"), "a statement while queries may begin"
        states = self.machine.changes[self.number].engines
        assert states[action.engine] in (pb.Change.ASKED, pb.Change.ASKED_BACK), "not written down first"
        assert engine.running is None, "two statements at once"
        self.acted += 1
        if not engine.admits(action.overlay):
            self.events.append(go.StatementEnded(action.token, action.engine, "fenced"))
        elif self.chance(0.15):
            how = self.random.randrange(3)
            if how == 1:
                engine.run(action.statement)
            elif how == 2:
                engine.running = action.statement
            self.events.append(go.StatementEnded(action.token, action.engine, "lost"))
        elif self.chance(0.1):
            self.events.append(go.StatementEnded(action.token, action.engine, "failed"))
        else:
            self.events.append(go.StatementEnded(action.token, action.engine, engine.run(action.statement)))

    def settle(self):
        """Hold that all engines stand where the record says."""
        wanted = shape(self.machine.tables["t"].schema)
        behind = self.machine.quiet("t")
        for name, engine in self.engines.items():
            assert engine.shape != shape(ANCIENT) or name in behind, f"{name}: taken for one that is there"
            if engine.there and name not in behind:
                assert engine.running is None, f"{name}: something still runs"
                assert engine.shape == wanted, f"{name}: {engine.shape}, the record says {wanted}"


# What an engine may be, by what the record says of it: its state there, and whether it has the new schema.
FORWARD = [
    (pb.Change.WAITING, False),
    (pb.Change.ASKED, False),
    (pb.Change.ASKED, True),
    (pb.Change.DONE, True),
    (pb.Change.GONE_AWAY, False),
    (pb.Change.GONE_AWAY, True),
]
BACK = [*FORWARD, (pb.Change.ASKED_BACK, False), (pb.Change.ASKED_BACK, True), (pb.Change.UNDONE, False)]


def standing(step, states, fence, back=True):
    """Return a world whose last holder died with the engines in these states."""
    world = World(1, engines=len(states), back=back, faults=0)
    change = world.machine.changes[world.number]
    change.step, change.fence, world.fence = step, fence, fence
    for (name, engine), (state, new) in zip(world.engines.items(), states, strict=True):
        change.engines[name] = state
        engine.shape, engine.fence = shape(NEW if new else OLD), fence
        engine.there = state != pb.Change.GONE_AWAY
        if state in (pb.Change.ASKED, pb.Change.ASKED_BACK):
            change.quiet.add(name)
    return world


if __name__ == "__main__":
    import sys
    from collections import Counter

    ended = Counter()
    for seed in range(int(sys.argv[1])):
        world = World(seed, 1 + seed % 3, seed % 2 == 1, back=seed % 5 != 0, behind=seed % 4 == 0)
        world.play()
        ended[{1: "finished", 2: "undone"}[world.machine.ended[world.number]]] += 1
        ended["holders"] += world.holders
        ended["statements"] += world.acted
    print(dict(ended))
