"""Changes and moves of one table, all interleavings of both real machines, until no new state comes.

Publishers and the mover go on for ever; times are taken against the record's clock and numbers against one
another, so what can happen is finite. `python tests/support/contracts_search.py` searches the larger world.
"""

import search_paths  # noqa: F401 - for a play that is run by hand

# isort: split

import sys
import time
from typing import NamedTuple

from fennelwind.raft.state_machine import LogPosition
from fennelwind.schema_compatibility import contracts_pb2 as pb
from fennelwind.schema_compatibility.messages import schema_message
from fennelwind.schema_compatibility.rules import RULES_VERSION
from fennelwind.schema_compatibility.state_machine import SchemaStateMachine
from fennelwind.schema_compatibility.types import parse_schema
from fennelwind.shards import shards_pb2 as moves
from fennelwind.shards.state_machine import UNDER_WAY, ShardMachine

REST_MS = 10_000  # ms of a rest after a switch: another time than the gate's, so that either ends first
TABLE, LEASE, MOVER = "t", "table:t", 1
SCHEMAS = ("a int", "a int, b int")
Change, Step = pb.Change, moves.Step


class Node(NamedTuple):
    """All that is: the machines' bytes, where the record stands, and the fence of the table's lease."""

    contracts: bytes
    shards: bytes
    index: int
    clock: int
    fence: int


class Broken(AssertionError):
    """What must never be."""


class Search:
    """Goes through all states that can be reached from the first one."""

    def __init__(self, shards=1, engines=("e1",), publishers=("p",)):
        self.contracts, self.shards = SchemaStateMachine(), ShardMachine()
        self.shards.rest_ms = REST_MS
        self.engines, self.publishers, self.names = engines, publishers, [f"t/{n}" for n in range(shards)]
        self.index = self.clock = self.fence = 0
        self.edges, self.nodes, self.admissions = {}, {}, set()

    # The record.

    def fact(self, kind, key):
        """Answer for the record."""
        if kind == "fence":
            return MOVER if key == "moves" else self.fence if key == LEASE else 0
        if kind == "moving":
            return self.shards.fact(kind, key)
        return self.contracts.fact(kind, key)

    def load(self, node):
        """Stand where a node stands."""
        self.contracts.restore(node.contracts)
        self.shards.restore(node.shards)
        self.index, self.clock, self.fence = node.index, node.clock, node.fence

    def save(self):
        """Return where this stands."""
        return Node(self.contracts.snapshot(), self.shards.snapshot(), self.index, self.clock, self.fence)

    def do(self, machine, command):
        """Have a command carried out as the record does."""
        self.index += 1
        at = LogPosition(self.index, self.clock)
        for each in (self.contracts, self.shards):
            due = each.next_expiry_clock_ms()
            if due is not None and due <= self.clock:
                each.expire_due(at)
        return machine.apply(at, command.SerializeToString(), self)

    def contract(self, **what):
        """Ask the gate."""
        raw = self.do(self.contracts, pb.ContractCommand(rules=RULES_VERSION, **what))
        return pb.ContractAnswer.FromString(raw)

    def shard(self, **what):
        """Ask the shards' machine as its lease's holder."""
        return moves.Answer.FromString(self.do(self.shards, moves.Command(fence=MOVER, **what)))

    # What can happen.

    def first(self):
        """Return the first state: a table with its shards on one engine of two."""
        schema = schema_message(parse_schema(SCHEMAS[0]))
        self.contract(propose=pb.Propose(table=TABLE, publisher="p", schema=schema))
        shards = [moves.Shard(name=name, table=TABLE, size=10, copies=1, zones=1) for name in self.names]
        homes = [moves.Home(name=name, zone="z", disk=1000, life="ready", mark="m") for name in ("e1", "e2")]
        self.shard(declare=moves.Declare(shards=shards))
        self.shard(news=moves.News(homes=homes))
        for name in self.names:
            self.shard(found=moves.Found(shard=name, engine="e1", present=True, rows=1, checksum=1))
            assert self.shards.good(name) == ("e1",)
        return self.save()

    def acts(self):
        """Return all that somebody may do here: names with functions."""
        table, change = self.contracts.tables[TABLE], next(iter(self.contracts.changes.values()), None)
        for publisher in self.publishers:
            text = SCHEMAS[str(table.schema) == SCHEMAS[0]]
            yield (
                f"propose {publisher}",
                lambda p=publisher, t=text: self.contract(
                    propose=pb.Propose(
                        table=TABLE,
                        publisher=p,
                        schema=schema_message(parse_schema(t)),
                        version=table.version,
                        engines=self.engines,
                        forward=["do"],
                        back=["undo"],
                    )
                ),
            )
        if change is not None:
            yield from self.acts_on(change)
        for name in self.names:
            yield from self.acts_of_mover(name)
        due = [
            d
            for d in (self.contracts.next_expiry_clock_ms(), self.shards.next_expiry_clock_ms())
            if d is not None
        ]
        if due:
            yield "time", lambda: self.pass_time(min(due))

    def acts_on(self, change):
        """Return what the holder of the table's lease, or an earlier one, may do."""
        number = change.number
        for fence in {self.fence, max(self.fence - 1, 1)}:
            yield "begin", lambda f=fence: self.contract(begin=pb.Begin(number=number, fence=f))
            for engine in self.engines:
                for state in (Change.ASKED, Change.DONE, Change.ASKED_BACK, Change.UNDONE):
                    yield (
                        "mark",
                        lambda f=fence, e=engine, s=state: self.contract(
                            mark=pb.Mark(number=number, fence=f, engine=e, state=s)
                        ),
                    )
            yield "turn", lambda f=fence: self.contract(turn=pb.Turn(number=number, fence=f))
            yield "finish", lambda f=fence: self.contract(finish=pb.Finish(number=number, fence=f))
        yield (
            "withdraw",
            lambda: self.contract(withdraw=pb.Withdraw(number=number, publisher=change.publisher)),
        )
        if change.fence in (0, self.fence):
            yield "another holder", self.another_holder

    def another_holder(self):
        """Give the table's lease to somebody else."""
        self.fence += 1

    def acts_of_mover(self, name):
        """Return what the mover may do with a shard."""
        move, good = self.shards.move_of(name), self.shards.good(name)
        if move is None and good:
            other = "e2" if good[0] == "e1" else "e1"
            yield (
                "plan",
                lambda: self.shard(
                    plan=moves.Plan(
                        moves=[moves.Move(number=1, shard=name, source=good[0], target=other, drops=good[0])]
                    )
                ),
            )
        if move is not None:
            for kind in (
                Step.RESERVE,
                Step.COPY,
                Step.CHECK,
                Step.SWITCH,
                Step.DROP,
                Step.DONE,
                Step.UNDO,
                Step.UNDONE,
            ):
                attempt = min(move.attempt + (kind == Step.COPY), 1)
                yield (
                    "step",
                    lambda k=kind, a=attempt: self.shard(
                        step=moves.Step(
                            move=move.number, kind=k, source=move.source, attempt=a, rows=1, checksum=1
                        )
                    ),
                )

    def pass_time(self, until):
        """Let time pass to where something lapses."""
        self.clock = until
        at = LogPosition(self.index, self.clock)
        self.contracts.expire_due(at)
        self.shards.expire_due(at)

    # The search.

    def key(self):
        """Return a state without what makes no difference: numbers and times as they are to one another."""
        c, s = self.contracts, self.shards
        change = next(iter(c.changes.values()), None)
        said = change and (
            change.publisher,
            change.step,
            tuple(change.engines.values()),
            (change.fence > 0) + (change.fence == self.fence),
            change.begin_by_ms - self.clock if not change.step else 0,
        )
        wanted = tuple(
            (max(until - self.clock, 0) if until else 0, rest - self.clock)
            for until, rest in c.wanted.values()
        )
        under_way = tuple(
            (
                m.shard,
                m.step,
                m.source,
                m.target,
                m.attempt,
                m.rested,
                m.at_ms + REST_MS - self.clock if m.step == "switched" and not m.rested else 0,
            )
            for _, m in sorted(s.moves.items())
        )
        copies = tuple(
            sorted(
                (shard, engine, copy.state)
                for shard, held in s.copies.items()
                for engine, copy in held.items()
            )
        )
        return str(c.tables[TABLE].schema), said, wanted, under_way, copies, bool(self.fence)

    def check(self):
        """Hold what has to hold in every state."""
        steps = [move.step for move in self.shards.moves.values()]
        if self.contracts.changes and any(step in UNDER_WAY for step in steps):
            raise Broken(f"the table changes while its shards are under way: {steps}")
        for name in self.names:
            if not self.shards.good(name):
                raise Broken(f"{name} has no good copy")

    def run(self, most=10**9):
        """Go through all states; return how many there are. Raises `Broken`."""
        start = self.first()
        self.fence = 1
        start = start._replace(fence=1)
        self.load(start)
        begin = self.key()
        self.nodes, waiting = {begin: start}, [begin]
        while waiting and len(self.nodes) < most:
            here = waiting.pop()
            self.load(self.nodes[here])
            for name, act in list(self.acts()):
                self.load(self.nodes[here])
                changed, wished = len(self.contracts.changes), self.contracts.fact("wanted", TABLE)
                moved = self.shards.fact("moving", TABLE)
                act()
                there = self.key()
                if there == here:
                    continue
                self.check()
                if wished and self.shards.fact("moving", TABLE) > moved:
                    raise Broken("a move begins while a change of its table waits for moves")
                if name.startswith("propose") and len(self.contracts.changes) > changed:
                    self.admissions.add((here, there))
                self.edges.setdefault(there, set()).add(here)
                if there not in self.nodes:
                    self.nodes[there] = self.save()
                    waiting.append(there)
        return len(self.nodes)

    def stuck(self):
        """Return the states from which no rest (no change, no move) is reached, and no admission."""
        rest = {key for key in self.nodes if key[1] is None and not key[3]}
        return (
            self.nodes.keys() - self.reaching(rest),
            self.nodes.keys() - self.reaching({here for here, _ in self.admissions}),
        )

    def reaching(self, goal):
        """Return the states from which one of a set can be reached."""
        seen, waiting = set(goal), list(goal)
        while waiting:
            for before in self.edges.get(waiting.pop(), ()):
                if before not in seen:
                    seen.add(before)
                    waiting.append(before)
        return seen


if __name__ == "__main__":
    began = time.perf_counter()
    search = Search(*([2, ("e1", "e2"), ("p", "q")] if len(sys.argv) < 2 else [1]))
    count = search.run()
    edges = sum(map(len, search.edges.values()))
    no_rest, no_admission = search.stuck()
    print(
        f"{count} states, {edges} ways between them, in {time.perf_counter() - began:.0f} s; rest can't be "
        f"reached from {len(no_rest)}, an admission not from {len(no_admission)}"
    )
