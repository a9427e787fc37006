"""Exhaustive search of the interleavings of changes and moves of one table, on both real state machines.

Publishers and the mover never stop, but times are compared relative to the clock and numbers relative to
each other, so the state space is finite. `python tests/support/contracts_search.py` searches the larger one.
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

REST_MS = 10_000  # rest after a switch; differs from the schema machine's times, so that either may end first
TABLE, LEASE, MOVER = "t", "table:t", 1
SCHEMAS = ("a int", "a int, b int")
Change, Step = pb.Change, moves.Step


class Node(NamedTuple):
    """A state: snapshots of both machines, log index, clock and fencing token of the table's lease."""

    contracts: bytes
    shards: bytes
    index: int
    clock: int
    fence: int


class Broken(AssertionError):
    """An invariant is violated."""


class Search:
    """Visits all states reachable from the first one."""

    def __init__(self, shards=1, engines=("e1",), publishers=("p",)):
        self.contracts, self.shards = SchemaStateMachine(), ShardMachine()
        self.shards.rest_ms = REST_MS
        self.engines, self.publishers, self.names = engines, publishers, [f"t/{n}" for n in range(shards)]
        self.index = self.clock = self.fence = 0
        self.edges, self.nodes, self.admissions = {}, {}, set()

    # The replicated log.

    def fact(self, kind, key):
        """Return a fact of either machine or of the leases."""
        if kind == "fence":
            return MOVER if key == "moves" else self.fence if key == LEASE else 0
        if kind == "moving":
            return self.shards.fact(kind, key)
        return self.contracts.fact(kind, key)

    def load(self, node):
        """Restore a state."""
        self.contracts.restore(node.contracts)
        self.shards.restore(node.shards)
        self.index, self.clock, self.fence = node.index, node.clock, node.fence

    def save(self):
        """Return the current state."""
        return Node(self.contracts.snapshot(), self.shards.snapshot(), self.index, self.clock, self.fence)

    def do(self, machine, command):
        """Apply a command as the replicated log does, expiring what is due first."""
        self.index += 1
        at = LogPosition(self.index, self.clock)
        for each in (self.contracts, self.shards):
            due = each.next_expiry_clock_ms()
            if due is not None and due <= self.clock:
                each.expire_due(at)
        return machine.apply(at, command.SerializeToString(), self)

    def contract(self, **what):
        """Apply a command to the schema state machine."""
        raw = self.do(self.contracts, pb.ContractCommand(rules=RULES_VERSION, **what))
        return pb.ContractAnswer.FromString(raw)

    def shard(self, **what):
        """Apply a command to the shard state machine as the holder of its lease."""
        return moves.Answer.FromString(self.do(self.shards, moves.Command(fence=MOVER, **what)))

    # Possible actions.

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
        """Yield the possible actions in the current state: names with functions."""
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
        """Yield the actions of the holder of the table's lease and of an earlier one."""
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
        """Give the table's lease to another holder."""
        self.fence += 1

    def acts_of_mover(self, name):
        """Yield the actions of the mover on a shard."""
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
        """Advance the clock to an expiry."""
        self.clock = until
        at = LogPosition(self.index, self.clock)
        self.contracts.expire_due(at)
        self.shards.expire_due(at)

    # The search.

    def key(self):
        """Return the current state as a key, with times and numbers made relative."""
        c, s = self.contracts, self.shards
        change = next(iter(c.changes.values()), None)
        change_key = change and (
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
        return str(c.tables[TABLE].schema), change_key, wanted, under_way, copies, bool(self.fence)

    def check(self):
        """Check the invariants of every state. Raises `Broken`."""
        steps = [move.step for move in self.shards.moves.values()]
        if self.contracts.changes and any(step in UNDER_WAY for step in steps):
            raise Broken(f"the table changes while its shards are under way: {steps}")
        for name in self.names:
            if not self.shards.good(name):
                raise Broken(f"{name} has no good copy")

    def run(self, max_states=10**9):
        """Visit all states; return their number. Raises `Broken`."""
        start = self.first()
        self.fence = 1
        start = start._replace(fence=1)
        self.load(start)
        start_key = self.key()
        self.nodes, waiting = {start_key: start}, [start_key]
        while waiting and len(self.nodes) < max_states:
            here = waiting.pop()
            self.load(self.nodes[here])
            for name, act in list(self.acts()):
                self.load(self.nodes[here])
                changes_before, was_wanted = len(self.contracts.changes), self.contracts.fact("wanted", TABLE)
                moving_before = self.shards.fact("moving", TABLE)
                act()
                there = self.key()
                if there == here:
                    continue
                self.check()
                if was_wanted and self.shards.fact("moving", TABLE) > moving_before:
                    raise Broken("a move begins while a change of its table waits for moves")
                if name.startswith("propose") and len(self.contracts.changes) > changes_before:
                    self.admissions.add((here, there))
                self.edges.setdefault(there, set()).add(here)
                if there not in self.nodes:
                    self.nodes[there] = self.save()
                    waiting.append(there)
        return len(self.nodes)

    def stuck(self):
        """Return the states that reach no idle one (no change or move), and those that reach no admission."""
        rest = {key for key in self.nodes if key[1] is None and not key[3]}
        return (
            self.nodes.keys() - self.reaching(rest),
            self.nodes.keys() - self.reaching({here for here, _ in self.admissions}),
        )

    def reaching(self, goal):
        """Return the states that can reach one of a set."""
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
