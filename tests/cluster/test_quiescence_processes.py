"""Quiescence with four real processes: a replica drains while one is stopped, cut off, or killed.

Checked by events at the engines, which run in this process: no query starts where the replica is missing,
except from a process stopped or cut off beyond all timeouts, and none runs on a replica being dropped.
`python tests/cluster/test_quiescence_processes.py` runs all scenarios; the test runs the first ones.
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
from fennelwind.loop.sim_network import Path as NetworkPath
from fennelwind.quiescence.registered_controllers import ControllerRegistry
from fennelwind.shards import shards_pb2 as pb
from fennelwind.shards.state_machine import ShardMachine
from fennelwind.testbed.councilrig import Ways
from fennelwind.testbed.relay import Relay, Row
from fennelwind.thrift import hiveserver2 as hs2

ROOT = Path(__file__).parent.parent.parent
MEMBERS, PROGRAMS = ("m0", "m1", "m2"), ("m0", "m1", "m2", "c0")
SHARDS = [f"sales/day={n}" for n in range(4)]  # each drains once
WAIT_MS = 600_000.0  # ms; waits end after a few seconds, or after the replicas' rest
# The program with shorter timeouts: 4 s instead of 2 min for a registration, 20 s instead of 60 s of rest.
MAIN = """
from fennelwind.quiescence.registered_controllers import ControllerRegistry
from fennelwind.cluster import quiescence, shard_migration
from fennelwind.shards.state_machine import ShardMachine
ControllerRegistry.silence_timeout_ms, quiescence.RENEWAL_MS, quiescence.RETRY_MS = 4_000, 700.0, 500.0
ShardMachine.rest_ms, shard_migration.LIST_RETRY_MS = 20_000, 500.0
from fennelwind.cli.main import main
main()
"""


class RecordingShelf(Shelf):
    """A disk that records queries started without their replica, and those running at a drop."""

    def knows(self, statement):
        who, _, named = statement.partition(" reads ")
        if named and named not in self.held:
            self.events.append(("missed", who.split()[-1], self.engine.name))
        return super().knows(statement)

    def end(self, task):
        if task.kind == "drop" and task.shard in self.held:
            statements = (operation.statement for operation in self.engine._running.values())
            left = [text.split()[1] for text in statements if text.endswith(" reads " + task.shard)]
            self.events.append(("dropped", left, self.engine.name))
        return super().end(task)


class ProcessRig:
    """Three members and a follower behind a relay, three engines with disks, a client at each program."""

    def __init__(self, folder):
        self.folder, self.loop, self.running, self.events = Path(folder), RealLoop(), {}, []
        self.answers = dict.fromkeys(PROGRAMS, 0)
        self.stopped, self.sleeping, self.ways = set(), set(), Ways()

    def address(self, last, port):
        pid = os.getpid()  # an address not used by other tests
        return Address(f"127.{100 + pid % 100}.{pid // 100 % 250}.{last}", port)

    def play(self, script):
        try:
            self.loop.run(lambda: self._play(script))
        finally:
            for child in self.running.values():
                child.kill()
                child.wait()

    def _play(self, script):
        loop, member_addresses = (
            self.loop,
            {name: self.address(n + 1, 7001) for n, name in enumerate(MEMBERS)},
        )
        rows = [
            Row(self.address(n + 31, 7001), "c0", name, member_addresses[name])
            for n, name in enumerate(MEMBERS)
        ]
        started_ms, staging = loop.now(), {}
        relay = Relay(loop, self.ways, rows, lambda: loop.now() - started_ms, "1")
        relay.prepare()
        loop.spawn(relay.play, name="relay")
        self.engines = [Engine(loop, Address("127.0.0.1", 0), Machine(8)) for _ in range(3)]
        for n, engine in enumerate(self.engines):
            engine.shelf = RecordingShelf(1000, staging, ms_per_byte=1.0)
            engine.shelf.engine, engine.shelf.events = engine, self.events
            if n < 2:
                engine.shelf.held.update((shard, Content(10, 77, 100)) for shard in SHARDS)
            engine.start(cold=False)
        for name in PROGRAMS:
            self._start(
                name, member_addresses if name in MEMBERS else {row.target: row.listen for row in rows}
            )
        self.client = RaftClient(loop, "north", "judge", member_addresses, "1")
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
        self.events.clear()  # before its first view of replica locations a program may send anywhere
        script(self)
        self.client.close()

    def _start(self, name, members):
        (self.folder / name).mkdir()
        peers = "".join(f'  members {{ name: "{n}" address: "{a}" }}\n' for n, a in members.items())
        own = f'folder: "record" listen: "{members[name]}"' if name in members else ""
        text = SETTINGS.replace('127.0.0.1:0" http', f'{self.listens(name)}" http') % {
            "engines": "\n".join(f'engines {{ address: "{e.name}" kind: "k" }}' for e in self.engines),
            "note": 0,
            "open": 100,
        }
        text = text.replace('name: "k" cores: 8', 'name: "k" cores: 8 disk_bytes: 1000 headroom_bytes: 200')
        text += (
            f'council {{ fleet: "north" me: "{name}" {own}\n{peers}  heartbeat_ms: 200 election_ms: 2000 '
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
        """Send queries to one program forever."""
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
                pass  # rejected: no replica is available now
            except (OSError, StreamReset, DeadlineExceeded):
                if link is not None and link.stream is not None:
                    link.drop()
                link = None
            self.loop.sleep(50.0)

    # Checks and actions.

    def until(self, condition, what):
        end = self.loop.now() + WAIT_MS
        while not condition():
            assert self.loop.now() < end, f"{what}: {self.events[-5:]} {self.answers}"
            self.loop.sleep(50.0)

    def machine(self, name):
        made = {"roll": ControllerRegistry, "shards": ShardMachine, "leases": LeaseStateMachine}[name]()
        with suppress(FennelwindError):  # the log's level is too low as yet
            made.restore(self.client.read(name, within_ms=WAIT_MS).state)
        return made

    def clock_ms(self):
        return self.client.read("shards", within_ms=WAIT_MS).clock_ms

    def declare(self, name, copies):
        shard = pb.Shard(name=name, table="sales", size=100, copies=copies, zones=1)
        command = pb.Command(declare=pb.Declare(shards=[shard]))
        self.client.propose("shards", command.SerializeToString(), WAIT_MS)

    def drop_events(self):
        return [seen for seen in self.events if seen[0] == "dropped"]

    def drain_replica(self, shard, meanwhile=lambda: None):
        """Drain a replica; return whether its rest had ended in the replicated state before the drop."""
        self.declare(shard, 1)
        self.until(lambda: self.machine("shards").waiting(), "a copy leaves")
        before, rested = len(self.drop_events()), set()
        meanwhile()

        def dropped():
            rested.update(n for n, move in self.machine("shards").moves.items() if move.rested)
            return len(self.drop_events()) > before

        self.until(dropped, "a copy goes")
        served, awake = dict(self.answers), set(self.running) - self.sleeping
        self.until(lambda: all(self.answers[n] > served[n] + 10 for n in awake), "queries go on")
        return bool(rested)

    def stop(self, name, how):
        self.running[name].send_signal(how)
        self.stopped.add(name)
        (self.sleeping.add if how == signal.SIGSTOP else self.sleeping.discard)(name)

    def check_events(self):
        assert all(not left for _, left, _ in self.drop_events()), self.drop_events()
        assert {who for what, who, _ in self.events if what == "missed"} <= self.stopped, self.events
        for name in set(PROGRAMS) & set(self.running):
            lines = (self.folder / f"{name}.log").read_text("utf-8").splitlines()
            assert not [line for line in lines if json.loads(line).get("event") == "failed"], name


@pytest.mark.timeout(900)  # about 15 s on an idle machine
def test_replicas_are_dropped_acknowledged_and_wait_for_a_stopped_process(tmp_path):
    def script(rig):
        assert not rig.drain_replica(SHARDS[0])  # acknowledged by all, so dropped before its rest ends
        rig.stop("c0", signal.SIGSTOP)
        silent = [n for n, controller in rig.machine("roll").controllers.items() if controller.name == "c0"]
        rig.drain_replica(SHARDS[1])
        assert not set(silent) & set(rig.machine("roll").controllers)  # its registration timed out first
        rig.stop("c0", signal.SIGCONT)
        rig.check_events()

    ProcessRig(tmp_path).play(script)


def play_all_scenarios(rig):
    """Also play a cut in each direction, and a kill of the lease holder."""
    rig.stopped.add("c0")  # it is cut off beyond the timeout, and continues with its last view
    to, back = [("c0", name) for name in MEMBERS], [(name, "c0") for name in MEMBERS]
    for shard, paths in zip(SHARDS, (to, back), strict=False):
        rig.ways.now = {each: NetworkPath(cut=True) for each in paths}
        print("cut", paths[0], "rested", rig.drain_replica(shard), flush=True)
        rig.ways.now = {}
        rig.until(
            lambda: sum(each.name == "c0" for each in rig.machine("roll").controllers.values()) >= 1, "back"
        )
    holder = rig.machine("leases").view("moves").holder
    print("kill", holder, "rested", rig.drain_replica(SHARDS[2], rig.running.pop(holder).kill), flush=True)
    rig.check_events()
    print(
        len(rig.drop_events()),
        "drops",
        rig.answers,
        "missed",
        [seen for seen in rig.events if seen[0] == "missed"],
        flush=True,
    )


if __name__ == "__main__":
    with tempfile.TemporaryDirectory() as made:
        ProcessRig(made).play(play_all_scenarios)
