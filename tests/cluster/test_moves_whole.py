"""Moves on the whole path in virtual time: members, leases, two controllers, statements, engines' disks."""

from unittest import mock

import pytest
from council_world import Council
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
        self.council, self.members = Council(seed), members
        self.staging, self.engines, self.lives = {}, {}, {}

    def play(self, call):
        def main(council):
            world = council.world
            for name in council.names:
                council.kill(name)  # they begin anew with the machine of shards
                council.start(name, more=[QuickMachine()], level=2)
            for n in range(4):
                host = world.host(f"e{n}", f"10.0.1.{n + 1}")
                engine = Engine(host, Address(host.address, 10_000), Machine(cores=8))
                engine.shelf = Shelf(1_000, self.staging, ms_per_byte=20.0)
                self.engines[f"10.0.1.{n + 1}:10000"] = engine
                host.start(engine.start, False)
            self.lives = dict.fromkeys(self.engines, "ready")
            for n, name in enumerate(NAMES):
                for engine in list(self.engines.values())[n % 2 : n % 2 + 1]:
                    engine.shelf.held[name] = Content(10 + n, 77 + n, 100)
            for name in ("c0", "c1"):
                self.begin(name)
            if self.members:
                for name in council.names:
                    self.begin_moves(name, council.keepers[name].member.state.record)
            council.on(
                "c0",
                lambda: council.keepers["c0"].client.propose(
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
            council.until(lambda: all(self.machine().good(name) for name in NAMES), 120_000.0)
            call()
            council.until(self.settled, 300_000.0)

        self.council.play(main)

    def begin(self, name):
        self.council.start(name, f"10.0.2.{name[1]}", more=[QuickMachine()], level=2)
        if not self.members:
            self.begin_moves(name)

    def begin_moves(self, name, record=None):
        keeper, host = self.council.keepers[name], self.council.hosts[name]
        moves = ShardMigrations(
            host,
            keeper.client,
            keeper.tasks,
            EngineStatements(host, LINKS),
            self.homes,
            "/staging",
            lambda what, facts: self.council.said.append((what, facts)),
            timing=TIMING,
            record=record,
        )
        host.start(moves.start)

    def homes(self):
        return [
            ReplicaHost(name, f"z{n % 2}", "", 1_000, 200, self.lives[name])
            for n, name in enumerate(self.engines)
        ]

    def record(self):
        return next(
            self.council.keepers[name].member.state.record
            for name in self.council.names
            if not self.council.hosts[name].dead
        )

    def machine(self):
        return self.record().machines[SHARDS]

    def settled(self):
        machine = self.machine()
        for name in NAMES:  # at every instant that is looked at, a good copy is where the record says
            truth = Content(10 + NAMES.index(name), 77 + NAMES.index(name), 100)
            holders = [e for e, engine in self.engines.items() if engine.shelf.held.get(name) == truth]
            assert set(machine.good(name)) <= set(holders) and holders, (name, machine.good(name), holders)
        good = {name: machine.good(name) for name in NAMES}
        return (
            not machine.moves
            and all(len(g) == 1 and self.lives[g[0]] == "ready" for g in good.values())
            and all(
                set(e.shelf.held) == {n for n in NAMES if name in good[n]} for name, e in self.engines.items()
            )
        )

    def drain(self, number=0):
        engine = list(self.engines)[number]
        self.lives[engine] = "draining"
        return self.engines[engine]

    def holder(self):
        """Return the controller that holds the lease."""
        return self.record().machines["leases"].view("moves").holder


@pytest.mark.parametrize("members", [False, True])
def test_copies_are_found_and_an_engine_that_drains_is_emptied(members):
    scene = Scene(1, members)
    drained = []
    scene.play(lambda: drained.append(scene.drain()))
    assert not drained[0].shelf.held and sum(e.shelf.loads for e in scene.engines.values()) >= 2


@pytest.mark.parametrize("members", [False, True])
def test_a_controller_that_dies_in_the_middle_of_a_copy_is_followed_by_the_other(members):
    scene = Scene(2, members)

    def call():
        scene.drain()
        scene.council.until(lambda: any(m.step == "copying" for m in scene.machine().moves.values()))
        dead = scene.holder()
        scene.council.kill(dead)
        scene.council.until(lambda: scene.holder() not in ("", dead), 60_000.0)

    scene.play(call)
    assert sum(e.shelf.loads for e in scene.engines.values()) >= 2


def test_a_holder_whose_own_record_stands_goes_on_by_what_the_others_say():
    scene = Scene(2, True)

    def call():
        holder = scene.holder()
        platter = scene.council.platters[holder]
        platter.fails = True
        scene.council.until(lambda: scene.council.keepers[holder].member.role == "mute")
        scene.council.keepers[holder].member.server.close()  # and it hears nothing any more
        stands = scene.council.keepers[holder].member.state.record.index
        scene.drain()
        scene.council.until(lambda: scene.settled(), 120_000.0)
        assert scene.holder() == holder
        assert scene.council.keepers[holder].member.state.record.index <= stands + 5

    scene.play(call)


def test_an_engine_that_comes_back_with_an_empty_disk_counts_as_another():
    scene = Scene(3)

    def call():
        name, engine = list(scene.engines.items())[0]
        scene.drain()
        scene.council.until(lambda: scene.settled(), 120_000.0)
        target = next(e for e in scene.engines if scene.machine().good(NAMES[0]) == (e,))
        scene.lives[name] = "ready"
        scene.council.until(lambda: scene.machine().homes[name].life == "ready")
        engine.crash()
        engine.shelf = Shelf(1_000, scene.staging, ms_per_byte=20.0)
        scene.lives[name] = "gone"
        scene.council.until(lambda: scene.machine().homes[name].life == "gone")
        engine.loop.start(engine.start, False)
        scene.lives[name] = "ready"
        scene.council.until(lambda: scene.machine().homes[name].generation == 1)
        assert target

    scene.play(call)


def test_controllers_tell_what_queries_named_and_nothing_twice():
    scene, named = Scene(4), [AccessCounter(), AccessCounter()]

    def told(shard):
        return scene.machine()._access_counts.get(shard, (0, 0))[0]

    def call():
        for number, name in enumerate(("c0", "c1")):
            asker = scene.council.keepers[name].client
            told_by = AccessLoadReporter(scene.council.hosts[name], asker, named[number], number)
            scene.council.hosts[name].start(told_by.start)
            named[number].count(NAMES[:2])
        scene.council.until(lambda: told(NAMES[0]) > 1.9 * UNITS_PER_QUERY)
        named[0].count(NAMES[2:])
        scene.council.until(lambda: told(NAMES[2]))
        assert told(NAMES[1]) <= 2 * UNITS_PER_QUERY and not named[0].counts and not named[1].counts

    with mock.patch("fennelwind.cluster.access_load.REPORT_INTERVAL_MS", 2_000.0):
        scene.play(call)
