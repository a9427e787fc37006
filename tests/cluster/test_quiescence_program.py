"""Quiescence on complete controllers in virtual time: draining replicas are dropped once all acknowledge."""

import pytest
import test_shard_migrations_program as moves
from fleet import Fleet, Seen, execute, outcome, status
from test_schema_gate import FOLLOWER, OLD, WIDER, alter, alter_selector  # noqa: F401 - a fixture

from fennelwind import config, policy
from fennelwind.cli.program import Program
from fennelwind.cluster import quiescence
from fennelwind.quiescence.registered_controllers import ControllerRegistry
from fennelwind.thrift import hiveserver2 as hs2

NAMES = moves.NAMES


class Scene(moves.Scene):
    """Three members at log level 2, and controllers: c0 with the engines, others with c0's engine list."""

    def __init__(self, seed, controllers=2, level=2):
        super().__init__(seed)
        self.level = level
        self.others = {
            f"c{n}": self.cluster.world.host(f"c{n}", f"127.0.0.{n + 1}") for n in range(1, controllers)
        }
        self.programs = {}

    def play(self, call):
        plain = self.cluster.start
        self.cluster.start = lambda name: plain(name, level=self.level)
        super().play(call)

    def _main(self, call):
        def main():
            listed = "\n".join(f'engines {{ address: "{e.name}" kind: "k" }}' for e in self.fleet.engines)
            for name, host in self.others.items():
                settings = config.read(moves.with_disks(Fleet.text(listed)) + FOLLOWER % name + MOVES)
                program = self.programs[name] = Program(host, settings, Seen(), 2)
                host.start(program.start)
            self.until(lambda: len(self.record().machines["roll"].controllers) > len(self.others))
            self.until(lambda: self.record().machines["roll"].is_complete(self.record().clock_ms))
            self.link = self.fleet.client()
            return call()

        return super()._main(main)

    def record(self):
        return next(k.member.state.replicated_state for k in self.cluster.runtimes.values())

    def drain(self, engine):
        """Report an engine as draining to every controller, which starts its migrations."""
        event = policy.EngineListUpdate("delta", (policy.EngineEndpoint(engine.name, "draining"),))
        for program in [self.fleet.program, *self.programs.values()]:
            program.driver.post(event)

    def drop_delay_ms(self):
        """Wait until a draining replica is dropped; return the ms since the switch."""
        machine = self.record().machines["shards"]
        self.until(lambda: machine.waiting())
        began = self.host.now()
        self.until(lambda: not machine.waiting())
        return self.host.now() - began


def publish(link, columns, version=0):
    overlay = {
        "fennelwind.publisher": "load",
        "fennelwind.schema.sales.orders": columns,
        "fennelwind.schema_version.sales.orders": str(version),
        "fennelwind.back": alter(OLD),
    }
    return link.call(
        "ExecuteStatement",
        hs2.TExecuteStatementReq(
            sessionHandle=link.session, statement=alter(columns), confOverlay=overlay, queryTimeout=120
        ),
    )


MOVES = moves.MOVES.replace("moves {", "moves { clearances: true")


@pytest.fixture(autouse=True)
def with_clearances(monkeypatch):
    monkeypatch.setattr(moves, "MOVES", MOVES)
    monkeypatch.setattr(
        ControllerRegistry, "silence_timeout_ms", 40_000
    )  # otherwise each test starts with a wait of two minutes
    monkeypatch.setattr(quiescence, "RENEWAL_MS", 10_000.0)


def test_replica_drop_waits_for_running_queries_and_silent_controllers():
    scene = Scene(1)

    def call():
        first, second = scene.fleet.engines[:2]
        handle = execute(
            scene.link,
            "load x",
            9_000.0,
            asynchronous=True,
            timeout=60,
            **{"fennelwind.shards": NAMES[0], "fennelwind.work_ms": "10"},
        )
        scene.host.sleep(100.0)
        scene.drain(first)
        delay_ms = scene.drop_delay_ms()
        assert status(scene.link, handle).operationState == hs2.FINISHED and 2_000.0 < delay_ms < 15_000.0
        scene.link = scene.fleet.client()
        assert outcome(lambda: scene.ran_at(NAMES[0])) == "served"
        scene.others["c1"].kill()  # it stays registered until its registration times out
        scene.drain(second)
        assert 15_000.0 < scene.drop_delay_ms() < 50_000.0
        assert scene.fleet.seen.failures == []

    scene.play(call)


def test_engine_is_altered_after_its_queries_end_and_new_ones_go_elsewhere():
    scene = Scene(2)

    def call():
        engines = scene.fleet.engines
        for engine in engines:
            engine.schemas.run(f"CREATE TABLE IF NOT EXISTS sales.orders ({OLD})")
        named = {"fennelwind.shards": "Sales.orders/day=9"}
        publish(scene.fleet.client(), OLD)
        handle = execute(
            scene.link,
            "load x",
            12_000.0,
            asynchronous=True,
            timeout=60,
            **named,
            **{"fennelwind.work_ms": "10"},
        )
        scene.host.sleep(100.0)
        busy = next(e for e in engines if e._running)
        columns = lambda engine: len(engine.schemas.tables["sales.orders"])  # noqa: E731
        version = scene.record().machines["contracts"].tables["sales.orders"].version
        task = scene.host.spawn(publish, scene.fleet.client(), WIDER, version)
        scene.until(lambda: scene.record().machines["contracts"].quiet("sales.orders") == {busy.name})
        scene.until(lambda: scene.fleet.program.driver.router.quiesced)
        for _ in range(5):
            execute(scene.link, "select 1", **named)
            assert scene.fleet.seen.attempts[-1][2] != busy.name and columns(busy) == 2
        scene.until(lambda: columns(busy) == 3)
        assert status(scene.link, handle).operationState == hs2.FINISHED
        scene.until(lambda: task.done)
        assert task.error is None and scene.fleet.seen.failures == []

    scene.play(call)
