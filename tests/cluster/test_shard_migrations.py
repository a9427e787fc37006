"""Shard migrations end to end in virtual time: members, leases, two controllers, statements, disks."""

from unittest import mock

import pytest
from cluster_world import Cluster
from move_play import QuickMachine

from fennelwind.cluster.access_load import AccessLoadReporter
from fennelwind.cluster.engine_statements import EngineStatements
from fennelwind.cluster.shard_migration import SHARDS, ShardMigrations
from fennelwind.config import settings_pb2
from fennelwind.emulators.engine import Engine
from fennelwind.emulators.model import Machine
from fennelwind.emulators.shelves import Content, Shelf
from fennelwind.loop import Address
from fennelwind.shards import shards_pb2 as pb
from fennelwind.shards.access_load import UNITS_PER_QUERY, AccessCounter
from fennelwind.shards.migration import Timing
from fennelwind.shards.model import ReplicaHost

NAMES = [f"sales/day={n}" for n in range(3)]
LINKS = settings_pb2.EngineLinks(transport=settings_pb2.EngineLinks.SASL, max_links=10, connect_ms=300.0)
TIMING = Timing(
    drop_ms=3_000.0,
    check_ms=5_000.0,
    copy_ms=20_000.0,
    slowest=1.0,
    slack_ms=1_000.0,
    finish_ms=12_000.0,
    plan_ms=1_000.0,
)


class Scene:
    """Three members, two controllers that may hold the lease, four engines with disks."""

    def __init__(self, seed, members=False):
        self.cluster, self.members = Cluster(seed), members
        self.staging, self.engines, self.engine_states = {}, {}, {}

    def play(self, call):
        def main(cluster):
            world = cluster.world
            for name in cluster.names:
                cluster.kill(name)  # restarted with the state machine of shards
                cluster.start(name, more=[QuickMachine()], level=2)
            for n in range(4):
                host = world.host(f"e{n}", f"10.0.1.{n + 1}")
                engine = Engine(host, Address(host.address, 10_000), Machine(cores=8))
                engine.shelf = Shelf(1_000, self.staging, ms_per_byte=20.0)
                self.engines[f"10.0.1.{n + 1}:10000"] = engine
                host.start(engine.start, False)
            self.engine_states = dict.fromkeys(self.engines, "ready")
            for n, name in enumerate(NAMES):
                for engine in list(self.engines.values())[n % 2 : n % 2 + 1]:
                    engine.shelf.held[name] = Content(10 + n, 77 + n, 100)
            for name in ("c0", "c1"):
                self.start_controller(name)
            if self.members:
                for name in cluster.names:
                    self.start_migrations(name, cluster.runtimes[name].member.state.replicated_state)
            cluster.on(
                "c0",
                lambda: cluster.runtimes["c0"].client.propose(
                    SHARDS,
                    pb.Command(
                        declare=pb.Declare(
                            shards=[
                                pb.Shard(name=n, table="sales", size=100, copies=1, zones=1) for n in NAMES
                            ]
                        )
                    ).SerializeToString(),
                    5_000.0,
                ),
            )
            cluster.until(lambda: all(self.machine().good(name) for name in NAMES), 120_000.0)
            call()
            cluster.until(self.settled, 300_000.0)

        self.cluster.play(main)

    def start_controller(self, name):
        self.cluster.start(name, f"10.0.2.{name[1]}", more=[QuickMachine()], level=2)
        if not self.members:
            self.start_migrations(name)

    def start_migrations(self, name, record=None):
        runtime, host = self.cluster.runtimes[name], self.cluster.hosts[name]
        migrations = ShardMigrations(
            host,
            runtime.client,
            runtime.tasks,
            EngineStatements(host, LINKS),
            self.homes,
            "/staging",
            lambda what, facts: self.cluster.log_lines.append((what, facts)),
            timing=TIMING,
            replicated_state=record,
        )
        host.start(migrations.start)

    def homes(self):
        return [
            ReplicaHost(name, f"z{n % 2}", "", 1_000, 200, self.engine_states[name])
            for n, name in enumerate(self.engines)
        ]

    def record(self):
        return next(
            self.cluster.runtimes[name].member.state.replicated_state
            for name in self.cluster.names
            if not self.cluster.hosts[name].dead
        )

    def machine(self):
        return self.record().machines[SHARDS]

    def settled(self):
        machine = self.machine()
        for name in NAMES:  # at every check, good replicas are where the replicated state says
            truth = Content(10 + NAMES.index(name), 77 + NAMES.index(name), 100)
            holders = [e for e, engine in self.engines.items() if engine.shelf.held.get(name) == truth]
            assert set(machine.good(name)) <= set(holders) and holders, (name, machine.good(name), holders)
        good = {name: machine.good(name) for name in NAMES}
        return (
            not machine.moves
            and all(len(g) == 1 and self.engine_states[g[0]] == "ready" for g in good.values())
            and all(
                set(e.shelf.held) == {n for n in NAMES if name in good[n]} for name, e in self.engines.items()
            )
        )

    def drain(self, number=0):
        engine = list(self.engines)[number]
        self.engine_states[engine] = "draining"
        return self.engines[engine]

    def holder(self):
        """Return the controller that holds the lease."""
        return self.record().machines["leases"].view("moves").holder


@pytest.mark.parametrize("members", [False, True])
def test_replicas_are_discovered_and_a_draining_engine_is_emptied(members):
    scene = Scene(1, members)
    drained = []
    scene.play(lambda: drained.append(scene.drain()))
    assert not drained[0].shelf.held and sum(e.shelf.loads for e in scene.engines.values()) >= 2


@pytest.mark.parametrize("members", [False, True])
def test_other_controller_continues_after_the_holder_dies_during_a_copy(members):
    scene = Scene(2, members)

    def call():
        scene.drain()
        scene.cluster.until(lambda: any(m.step == "copying" for m in scene.machine().moves.values()))
        dead = scene.holder()
        scene.cluster.kill(dead)
        scene.cluster.until(lambda: scene.holder() not in ("", dead), 60_000.0)

    scene.play(call)
    assert sum(e.shelf.loads for e in scene.engines.values()) >= 2


def test_holder_with_stalled_local_state_continues_over_the_raft_client():
    scene = Scene(2, True)

    def call():
        holder = scene.holder()
        platter = scene.cluster.platters[holder]
        platter.fails = True
        scene.cluster.until(lambda: scene.cluster.runtimes[holder].member.role == "mute")
        scene.cluster.runtimes[holder].member.server.close()  # and it receives nothing any more
        stalled_index = scene.cluster.runtimes[holder].member.state.replicated_state.index
        scene.drain()
        scene.cluster.until(lambda: scene.settled(), 120_000.0)
        assert scene.holder() == holder
        assert scene.cluster.runtimes[holder].member.state.replicated_state.index <= stalled_index + 5

    scene.play(call)


def test_engine_that_returns_with_an_empty_disk_is_a_new_generation():
    scene = Scene(3)

    def call():
        name, engine = list(scene.engines.items())[0]
        scene.drain()
        scene.cluster.until(lambda: scene.settled(), 120_000.0)
        target = next(e for e in scene.engines if scene.machine().good(NAMES[0]) == (e,))
        scene.engine_states[name] = "ready"
        scene.cluster.until(lambda: scene.machine().homes[name].life == "ready")
        engine.crash()
        engine.shelf = Shelf(1_000, scene.staging, ms_per_byte=20.0)
        scene.engine_states[name] = "gone"
        scene.cluster.until(lambda: scene.machine().homes[name].life == "gone")
        engine.loop.start(engine.start, False)
        scene.engine_states[name] = "ready"
        scene.cluster.until(lambda: scene.machine().homes[name].generation == 1)
        assert target

    scene.play(call)


def test_controllers_report_access_load_once():
    scene, named = Scene(4), [AccessCounter(), AccessCounter()]

    def reported_count(shard):
        return scene.machine()._access_counts.get(shard, (0, 0))[0]

    def call():
        for number, name in enumerate(("c0", "c1")):
            client = scene.cluster.runtimes[name].client
            reporter = AccessLoadReporter(scene.cluster.hosts[name], client, named[number], number)
            scene.cluster.hosts[name].start(reporter.start)
            named[number].count(NAMES[:2])
        scene.cluster.until(lambda: reported_count(NAMES[0]) > 1.9 * UNITS_PER_QUERY)
        named[0].count(NAMES[2:])
        scene.cluster.until(lambda: reported_count(NAMES[2]))
        assert reported_count(NAMES[1]) <= 2 * UNITS_PER_QUERY and not named[0].counts and not named[1].counts

    with mock.patch("fennelwind.cluster.access_load.REPORT_INTERVAL_MS", 2_000.0):
        scene.play(call)
