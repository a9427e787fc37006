"""Clearances by four real programs: a copy leaves while one is stopped, cut off, or its holder is killed.

What is judged are events at the engines, which are in this process: no query begins where the copy is not,
but of a program stopped or cut off beyond all terms, and none is open on a copy that is dropped.
`python tests/test_clearance_processes.py` plays all of it; the test has the first parts.
"""

import itertools
import json
import os
import signal
import subprocess
import sys
import tempfile
from contextlib import suppress
from pathlib import Path

import pytest
from fleet import SETTINGS, execute

from fennelwind.cluster.raft_client import RaftClient
from fennelwind.emulators.engine import Engine
from fennelwind.emulators.model import Machine
from fennelwind.emulators.shelves import Content, Shelf
from fennelwind.engines.connection import EngineConnection, RemoteError
from fennelwind.errors import FennelwindError
from fennelwind.leases.state_machine import LeaseStateMachine
from fennelwind.loop import Address, DeadlineExceeded, RealLoop, StreamReset
from fennelwind.loop.sim_network import Path as Way
from fennelwind.quiescence.registered_controllers import ControllerRegistry
from fennelwind.shards import shards_pb2 as pb
from fennelwind.shards.state_machine import ShardMachine
from fennelwind.testbed.councilrig import Ways
from fennelwind.testbed.relay import Relay, Row
from fennelwind.thrift import hiveserver2 as hs2

ROOT = Path(__file__).parent.parent.parent
MEMBERS, PROGRAMS = ("m0", "m1", "m2"), ("m0", "m1", "m2", "c0")
SHARDS = [f"sales/day={n}" for n in range(4)]  # each leaves once
WAIT_MS = 600_000.0  # ms; what is waited for takes a few seconds, or the record's rest
# The same program with shorter terms: two minutes on the roll become four seconds, a minute's rest twenty.
MAIN = """
from fennelwind.quiescence.registered_controllers import ControllerRegistry
from fennelwind.cluster import quiescence, shard_migration
from fennelwind.shards.state_machine import ShardMachine
ControllerRegistry.silence_timeout_ms, quiescence.RENEWAL_MS, quiescence.RETRY_MS = 4_000, 700.0, 500.0
ShardMachine.rest_ms, shard_migration.LIST_RETRY_MS = 20_000, 500.0
from fennelwind.cli.main import main
main()
"""


class Judged(Shelf):
    """A disk that sees what queries begin on it, and what is open when a copy is dropped."""

    def knows(self, statement):
        who, _, named = statement.partition(" reads ")
        if named and named not in self.held:
            self.seen.append(("missed", who.split()[-1], self.engine.name))
        return super().knows(statement)

    def end(self, task):
        if task.kind == "drop" and task.shard in self.held:
            statements = (operation.statement for operation in self.engine._running.values())
            left = [text.split()[1] for text in statements if text.endswith(" reads " + task.shard)]
            self.seen.append(("dropped", left, self.engine.name))
        return super().end(task)


class Rig:
    """Three members and a follower behind a relay, three engines with disks, a client at each program."""

    def __init__(self, folder):
        self.folder, self.loop, self.running, self.seen = Path(folder), RealLoop(), {}, []
        self.answers = dict.fromkeys(PROGRAMS, 0)
        self.stopped, self.asleep, self.ways = set(), set(), Ways()

    def address(self, last, port):
        pid = os.getpid()  # an address of its own, where no other test's sockets are
        return Address(f"127.{100 + pid % 100}.{pid // 100 % 250}.{last}", port)

    def play(self, script):
        try:
            self.loop.run(lambda: self._play(script))
        finally:
            for child in self.running.values():
                child.kill()
                child.wait()

    def _play(self, script):
        loop, homes = self.loop, {name: self.address(n + 1, 7001) for n, name in enumerate(MEMBERS)}
        rows = [Row(self.address(n + 31, 7001), "c0", name, homes[name]) for n, name in enumerate(MEMBERS)]
        began, staging = loop.now(), {}
        relay = Relay(loop, self.ways, rows, lambda: loop.now() - began, "1")
        relay.prepare()
        loop.spawn(relay.play, name="relay")
        self.engines = [Engine(loop, Address("127.0.0.1", 0), Machine(8)) for _ in range(3)]
        for n, engine in enumerate(self.engines):
            engine.shelf = Judged(1000, staging, ms_per_byte=1.0)
            engine.shelf.engine, engine.shelf.seen = engine, self.seen
            if n < 2:
                engine.shelf.held.update((shard, Content(10, 77, 100)) for shard in SHARDS)
            engine.start(cold=False)
        for name in PROGRAMS:
            self._start(name, homes if name in MEMBERS else {row.target: row.listen for row in rows})
        self.asker = RaftClient(loop, "north", "judge", homes, "1")
        self.until(lambda: len(self.machine("roll").controllers) >= len(PROGRAMS), "all sign on")
        roll = self.machine("roll")
        self.until(lambda: roll.is_complete(self.clock_ms()), "the roll counts")
        for shard in SHARDS:
            self.declare(shard, 2)
        for name in PROGRAMS:
            loop.spawn(self._client, name, name=f"client of {name}")
        self.until(lambda: all(len(self.machine("shards").good(s)) == 2 for s in SHARDS), "copies are found")
        before = dict(self.answers)
        self.until(lambda: all(self.answers[n] > before[n] + 10 for n in PROGRAMS), "queries are served")
        self.seen.clear()  # before its first view of where copies are a program sends anywhere
        script(self)
        self.asker.close()

    def _start(self, name, members):
        (self.folder / name).mkdir()
        told = "".join(f'  members {{ name: "{n}" address: "{a}" }}\n' for n, a in members.items())
        own = f'folder: "record" listen: "{members[name]}"' if name in members else ""
        text = SETTINGS.replace('127.0.0.1:0" http', f'{self.listens(name)}" http') % {
            "engines": "\n".join(f'engines {{ address: "{e.name}" kind: "k" }}' for e in self.engines),
            "note": 0,
            "open": 100,
        }
        text = text.replace('name: "k" cores: 8', 'name: "k" cores: 8 disk_bytes: 1000 headroom_bytes: 200')
        text += (
            f'council {{ fleet: "north" me: "{name}" {own}\n{told}  heartbeat_ms: 200 election_ms: 2000 '
            "handover_ms: 2000 reserve_bytes: 1048576 }\n"
            'moves { staging: "/staging" clearances: true }\n'
        )
        path = self.folder / name / "s.txtpb"
        path.write_text(text, encoding="utf-8")
        self.running[name] = subprocess.Popen(
            [sys.executable, "-c", MAIN, "serve", str(path), "--log", "json"],
            cwd=ROOT,
            stdout=subprocess.DEVNULL,
            stderr=(self.folder / f"{name}.log").open("w"),
        )

    def listens(self, name):
        return self.address(PROGRAMS.index(name) + 11, 10_000)

    def _client(self, name):
        """Ask at one program for ever."""
        link, shards = None, itertools.cycle(SHARDS)
        while True:
            try:
                with self.loop.deadline(20_000.0):
                    if link is None:
                        link = EngineConnection(self.loop, self.listens(name), "sasl", "ann")
                        link.open()
                    shard = next(shards)
                    handle = execute(link, f"select {name} reads {shard}", **{"fennelwind.shards": shard})
                    link.call("CloseOperation", hs2.TCloseOperationReq(handle))
                self.answers[name] += 1
            except RemoteError:
                pass  # refused: no copy can be had just now
            except (OSError, StreamReset, DeadlineExceeded):
                if link is not None and link.stream is not None:
                    link.drop()
                link = None
            self.loop.sleep(50.0)

    # What is looked at, and done.

    def until(self, true, what):
        end = self.loop.now() + WAIT_MS
        while not true():
            assert self.loop.now() < end, f"{what}: {self.seen[-5:]} {self.answers}"
            self.loop.sleep(50.0)

    def machine(self, name):
        made = {"roll": ControllerRegistry, "shards": ShardMachine, "leases": LeaseStateMachine}[name]()
        with suppress(FennelwindError):  # its level is not there yet
            made.restore(self.asker.read(name, within_ms=WAIT_MS).state)
        return made

    def clock_ms(self):
        return self.asker.read("shards", within_ms=WAIT_MS).clock_ms

    def declare(self, name, copies):
        shard = pb.Shard(name=name, table="sales", size=100, copies=copies, zones=1)
        command = pb.Command(declare=pb.Declare(shards=[shard]))
        self.asker.propose("shards", command.SerializeToString(), WAIT_MS)

    def drops(self):
        return [seen for seen in self.seen if seen[0] == "dropped"]

    def leaves(self, shard, meanwhile=lambda: None):
        """Have a copy leave; return whether it had rested by the record when its drop was allowed."""
        self.declare(shard, 1)
        self.until(lambda: self.machine("shards").waiting(), "a copy leaves")
        before, rested = len(self.drops()), set()
        meanwhile()

        def dropped():
            rested.update(n for n, move in self.machine("shards").moves.items() if move.rested)
            return len(self.drops()) > before

        self.until(dropped, "a copy goes")
        served, awake = dict(self.answers), set(self.running) - self.asleep
        self.until(lambda: all(self.answers[n] > served[n] + 10 for n in awake), "queries go on")
        return bool(rested)

    def stop(self, name, how):
        self.running[name].send_signal(how)
        self.stopped.add(name)
        (self.asleep.add if how == signal.SIGSTOP else self.asleep.discard)(name)

    def judge(self):
        assert all(not left for _, left, _ in self.drops()), self.drops()
        assert {who for what, who, _ in self.seen if what == "missed"} <= self.stopped, self.seen
        for name in set(PROGRAMS) & set(self.running):
            lines = (self.folder / f"{name}.log").read_text("utf-8").splitlines()
            assert not [line for line in lines if json.loads(line).get("event") == "failed"], name


@pytest.mark.timeout(900)  # some 15 s where the machine is free
def test_copies_leave_cleared_and_wait_for_a_program_that_is_stopped(tmp_path):
    def script(rig):
        assert not rig.leaves(SHARDS[0])  # all say so: it goes ahead of its rest
        rig.stop("c0", signal.SIGSTOP)
        silent = [n for n, controller in rig.machine("roll").controllers.items() if controller.name == "c0"]
        rig.leaves(SHARDS[1])
        assert not set(silent) & set(rig.machine("roll").controllers)  # it was forgotten first
        rig.stop("c0", signal.SIGCONT)
        rig.judge()

    Rig(tmp_path).play(script)


def whole(rig):
    """Play cuts one way each, and the end of the holder and of the leader, as well."""
    rig.stopped.add("c0")  # it is cut off for longer than it is waited for, and goes on by its last view
    to, back = [("c0", name) for name in MEMBERS], [(name, "c0") for name in MEMBERS]
    for shard, way in zip(SHARDS, (to, back), strict=False):
        rig.ways.now = {each: Way(cut=True) for each in way}
        print("cut", way[0], "rested", rig.leaves(shard), flush=True)
        rig.ways.now = {}
        rig.until(
            lambda: sum(each.name == "c0" for each in rig.machine("roll").controllers.values()) >= 1, "back"
        )
    holder = rig.machine("leases").view("moves").holder
    print("kill", holder, "rested", rig.leaves(SHARDS[2], rig.running.pop(holder).kill), flush=True)
    rig.judge()
    print(
        len(rig.drops()),
        "drops",
        rig.answers,
        "missed",
        [seen for seen in rig.seen if seen[0] == "missed"],
        flush=True,
    )


if __name__ == "__main__":
    with tempfile.TemporaryDirectory() as made:
        Rig(made).play(whole)
