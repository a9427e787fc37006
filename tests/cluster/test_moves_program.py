"""Moves on whole controllers: shards from settings, queries that go by copies, an engine that is emptied."""

import pytest
from council_world import Council
from fleet import Fleet, Seen, execute, outcome
from test_gate import FOLLOWER

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
        self.council = Council(seed)
        self.host = self.council.world.host("c0", "127.0.0.1")

    def play(self, call):
        def main():
            for name in self.council.names:
                self.council.start(name)
            task = self.host.start(self._main, call)
            while not task.done:
                self.council.world.rig.sleep(20.0)
            if task.error is not None:
                raise task.error

        self.council.world.run(main)

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

    def until(self, true, within_ms=900_000.0):
        end = self.host.now() + within_ms
        while not true():
            assert self.host.now() < end
            self.host.sleep(200.0)

    def good(self, name):
        return self.fleet.program.driver.router.places.get(name, ())

    def ran_at(self, shard):
        """Run a query of a shard; return the engine that had it."""
        execute(self.link, "select 1", **{"fennelwind.shards": shard})
        return self.fleet.seen.attempts[-1][2]


def test_queries_go_where_good_copies_are_and_follow_them_when_an_engine_is_emptied():
    scene = Scene(1)

    def call():
        engines = scene.fleet.engines
        for n, name in enumerate(NAMES):
            assert {scene.ran_at(name) for _ in range(6)} == {engines[n].name}
        execute(scene.link, "select 1")  # one that names none goes anywhere
        assert outcome(lambda: scene.ran_at("sales/day=9")) == "served"  # the record knows no such shard
        scene.fleet.program.driver.post(
            policy.EngineListUpdate("delta", (policy.EngineEndpoint(engines[0].name, "draining"),))
        )
        scene.until(lambda: scene.good(NAMES[0]) and engines[0].name not in scene.good(NAMES[0]))
        assert {scene.ran_at(NAMES[0]) for _ in range(4)} == set(scene.good(NAMES[0]))
        scene.until(lambda: not engines[0].shelf.held)
        assert scene.fleet.seen.failures == []
        told = exposition(scene.fleet.program).decode()  # by the classes of the settings, not the module's
        assert 'queries_total{class="lookup",end="served"}' in told
        assert "council_shards_readable 2.0" in told
        assert {kind for _, kind in scene.fleet.seen.answers} == {"served"}

    scene.play(call)


def test_without_the_council_queries_go_on_by_the_last_view():
    scene = Scene(2)

    def call():
        for name in scene.council.names:
            scene.council.kill(name)
        scene.host.sleep(60_000.0)
        scene.link = scene.fleet.client()  # the one before was idle for too long
        assert scene.ran_at(NAMES[1]) == scene.fleet.engines[1].name

    scene.play(call)


def test_an_engine_that_restarts_with_an_empty_disk_before_anybody_missed_it_counts_as_another():
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


def test_a_controller_that_knows_no_engine_yet_takes_no_task_and_one_that_starts_knows_the_copies():
    scene = Scene(4)

    def call():
        host = scene.council.world.host("c1", "127.0.0.2")
        text = settings(Fleet.text('discovery { address: "127.0.0.9:1" mode: PUSHED }'))
        blind = Program(host, config.read(text.replace('me: "c0"', 'me: "c1"')), Seen(), 2)
        started = host.start(blind.start)
        scene.until(lambda: started.done)
        assert blind.driver.router.places == scene.fleet.program.driver.router.places  # ahead of any client
        scene.fleet.program.keeper.close()  # its leases lapse
        scene.host.sleep(90_000.0)
        machine = next(iter(scene.council.keepers.values())).member.state.replicated_state.machines["shards"]
        assert {home.life for home in machine.homes.values()} == {"ready"}
        assert all(machine.good(name) for name in NAMES)

    scene.play(call)


def test_too_many_shards_are_refused_by_name():
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
def test_what_is_wrong_in_the_section_has_its_place(old, new, label):
    text = settings(Fleet.text('engines { address: "127.0.0.1:5000" kind: "k" }'))
    config.read(text)
    assert old in text
    with pytest.raises(config.SettingsError) as exc:
        config.read(text.replace(old, new, 1))
    assert label in {p.text.split(":")[0] for p in exc.value.problems}
