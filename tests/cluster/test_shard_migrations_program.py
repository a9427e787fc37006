"""Shard migrations on complete controllers: shards from settings, query routing, a draining engine."""

import pytest
from cluster_world import Cluster
from fleet import Fleet, Seen, execute, outcome
from test_schema_gate import FOLLOWER

from fennelwind import config, policy
from fennelwind.cli.program import Program
from fennelwind.emulators.shelves import Content, Shelf
from fennelwind.observability.metrics import exposition

NAMES = ["sales/day=0", "sales/day=1"]
MOVES = """
moves { staging: "/staging"
  shards { name: "sales/day=0" size_bytes: 100 }
  shards { name: "sales/day=1" size_bytes: 100 }
}
"""


def with_disks(text):
    return text.replace('name: "k" cores: 8', 'name: "k" cores: 8 disk_bytes: 1000 headroom_bytes: 200')


def settings(text):
    return with_disks(text) + FOLLOWER % "c0" + MOVES


class Scene:
    """Three members, and a controller with three engines that have disks."""

    def __init__(self, seed, change=settings):
        self.change = change
        self.cluster = Cluster(seed)
        self.host = self.cluster.world.host("c0", "127.0.0.1")

    def play(self, call):
        def main():
            for name in self.cluster.names:
                self.cluster.start(name)
            task = self.host.start(self._main, call)
            while not task.done:
                self.cluster.world.rig.sleep(20.0)
            if task.error is not None:
                raise task.error

        self.cluster.world.run(main)

    def _main(self, call):
        self.fleet = Fleet(self.host, engines=3, change=self.change)
        staging = {}
        for engine in self.fleet.engines:
            engine.shelf = Shelf(1000, staging, ms_per_byte=20.0)
        for n, name in enumerate(NAMES):
            self.fleet.engines[n].shelf.held[name] = Content(10 + n, 77 + n, 100)
        self.link = self.fleet.client()
        self.until(lambda: all(self.good(name) for name in NAMES))
        return call()

    def until(self, condition, within_ms=900_000.0):
        end = self.host.now() + within_ms
        while not condition():
            assert self.host.now() < end
            self.host.sleep(200.0)

    def good(self, name):
        return self.fleet.program.driver.router.places.get(name, ())

    def ran_at(self, shard):
        """Run a query that names a shard; return the engine that it was sent to."""
        execute(self.link, "select 1", **{"fennelwind.shards": shard})
        return self.fleet.seen.attempts[-1][2]


def test_queries_follow_good_replicas_when_an_engine_drains():
    scene = Scene(1)

    def call():
        engines = scene.fleet.engines
        for n, name in enumerate(NAMES):
            assert {scene.ran_at(name) for _ in range(6)} == {engines[n].name}
        execute(scene.link, "select 1")  # one that names no shard may go anywhere
        assert outcome(lambda: scene.ran_at("sales/day=9")) == "served"  # no such shard is declared
        scene.fleet.program.driver.post(
            policy.EngineListUpdate("delta", (policy.EngineEndpoint(engines[0].name, "draining"),))
        )
        scene.until(lambda: scene.good(NAMES[0]) and engines[0].name not in scene.good(NAMES[0]))
        assert {scene.ran_at(NAMES[0]) for _ in range(4)} == set(scene.good(NAMES[0]))
        scene.until(lambda: not engines[0].shelf.held)
        assert scene.fleet.seen.failures == []
        metrics = exposition(
            scene.fleet.program
        ).decode()  # with the classes of the settings, not those of the policy
        assert 'queries_total{class="lookup",end="served"}' in metrics
        assert "council_shards_readable 2.0" in metrics
        assert {kind for _, kind in scene.fleet.seen.answers} == {"served"}

    scene.play(call)


def test_without_raft_group_queries_use_the_last_view():
    scene = Scene(2)

    def call():
        for name in scene.cluster.names:
            scene.cluster.kill(name)
        scene.host.sleep(60_000.0)
        scene.link = scene.fleet.client()  # the previous one was closed as idle
        assert scene.ran_at(NAMES[1]) == scene.fleet.engines[1].name

    scene.play(call)


def test_engine_restarted_unnoticed_with_an_empty_disk_is_detected():
    scene = Scene(5, lambda text: settings(text).replace("size_bytes: 100", "size_bytes: 100 copies: 2", 1))

    def call():
        engine = scene.fleet.engines[0]
        scene.until(lambda: len(scene.good(NAMES[0])) == 2)
        engine.crash()
        engine.shelf = Shelf(1000, engine.shelf.staging, ms_per_byte=20.0)
        engine.start(cold=True)
        scene.fleet.program.driver.post(
            policy.EngineListUpdate(
                "delta", (policy.EngineEndpoint(engine.name, "ready", started_ms=scene.host.now()),)
            )
        )
        scene.until(lambda: engine.name not in scene.good(NAMES[0]), 120_000.0)
        assert scene.good(NAMES[0])
        scene.until(lambda: len(scene.good(NAMES[0])) == 2)  # copied anew

    scene.play(call)


def test_controller_without_engines_takes_no_task_and_starts_with_a_view():
    scene = Scene(4)

    def call():
        host = scene.cluster.world.host("c1", "127.0.0.2")
        text = settings(Fleet.text('discovery { address: "127.0.0.9:1" mode: PUSHED }'))
        program_without_engines = Program(host, config.read(text.replace('me: "c0"', 'me: "c1"')), Seen(), 2)
        started = host.start(program_without_engines.start)
        scene.until(lambda: started.done)
        assert (
            program_without_engines.driver.router.places == scene.fleet.program.driver.router.places
        )  # before it accepts clients
        scene.fleet.program.keeper.close()  # its leases expire
        scene.host.sleep(90_000.0)
        machine = next(iter(scene.cluster.runtimes.values())).member.state.replicated_state.machines["shards"]
        assert {home.life for home in machine.homes.values()} == {"ready"}
        assert all(machine.good(name) for name in NAMES)

    scene.play(call)


def test_too_many_named_shards_are_rejected():
    scene = Scene(3)
    named = {"fennelwind.shards": ",".join(f"sales/day={n}" for n in range(65))}

    def call():
        assert outcome(lambda: execute(scene.link, "select 1", **named)) == "22023"

    scene.play(call)


@pytest.mark.parametrize(
    ("old", "new", "label"),
    [
        ('staging: "/staging"', "", "staging"),
        ('name: "sales/day=1"', 'name: "sales/day=0"', "name"),
        ('name: "sales/day=1"', 'name: "sales"', "name"),
        ("size_bytes: 100", "size_bytes: 0", "size_bytes"),
        ("size_bytes: 100", "size_bytes: 100 zones: 2", "zones"),
        ("size_bytes: 100", 'size_bytes: 100 kinds: "none"', "kinds"),
        ("headroom_bytes: 200", "headroom_bytes: 2000", "headroom_bytes"),
        (FOLLOWER % "c0", "", "moves"),
    ],
)
def test_settings_errors_name_field_and_position(old, new, label):
    text = settings(Fleet.text('engines { address: "127.0.0.1:5000" kind: "k" }'))
    config.read(text)
    assert old in text
    with pytest.raises(config.SettingsError) as exc:
        config.read(text.replace(old, new, 1))
    assert label in {p.text.split(":")[0] for p in exc.value.problems}
