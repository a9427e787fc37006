"""The gate for schema changes on whole controllers: subscribers' sessions, publishers, engines."""

import pytest
from council_world import Council
from fleet import Fleet, Seen, execute

from fennelwind import config, policy
from fennelwind.cli.program import Program
from fennelwind.cluster import schema_gate as gate_module
from fennelwind.cluster.schema_rollout import parse_description
from fennelwind.engines.connection import EngineConnection, RemoteError
from fennelwind.schema_compatibility import contracts_pb2 as pb
from fennelwind.thrift import hints
from fennelwind.thrift import hiveserver2 as hs2

FOLLOWER = """
council { fleet: "f" me: "%s"
  members { name: "m0" address: "10.0.0.1:7000" }
  members { name: "m1" address: "10.0.0.2:7000" }
  members { name: "m2" address: "10.0.0.3:7000" }
  heartbeat_ms: 50 election_ms: 300 handover_ms: 2000 reserve_bytes: 1048576 }
"""
OLD = "id bigint, total decimal(10,2)"
WIDER = OLD + ", note string default ''"
READS = {"fennelwind.subscriber": "nightly", "fennelwind.reads.sales.orders": OLD}


def alter(columns):
    plain = columns.replace(" default ''", "")
    return f"ALTER TABLE sales.orders REPLACE COLUMNS ({plain})"


class Scene:
    """Three members, a controller with two engines, and perhaps a second controller."""

    def __init__(self, seed, controllers=1):
        self.council = Council(seed)
        self.world = self.council.world
        self.host = self.world.host("c0", "127.0.0.1")
        self.others = [self.world.host(f"c{n}", f"127.0.0.{n + 1}") for n in range(1, controllers)]

    def play(self, call):
        def main():
            for name in self.council.names:
                self.council.start(name)
            task = self.host.start(self._main, call)
            while not task.done:
                self.world.rig.sleep(20.0)
            if task.error is not None:
                raise task.error

        self.world.run(main)

    def _main(self, call):
        self.fleet = Fleet(self.host, change=lambda text: text + FOLLOWER % "c0")
        self.engines = self.fleet.engines
        for engine in self.engines:
            engine.schemas.run(f"CREATE TABLE IF NOT EXISTS sales.orders ({OLD})")
        for number, host in enumerate(self.others, 1):
            listed = "\n".join(f'engines {{ address: "{e.name}" kind: "k" }}' for e in self.engines)
            settings = config.read(Fleet.text(listed) + FOLLOWER % f"c{number}")
            host.start(lambda host=host, settings=settings: Program(host, settings, Seen(), 2).start())
        return call()

    def session(self, configuration=None):
        """Open a session; return its link and what it was told."""
        link = EngineConnection(self.host, self.fleet.program.address, "sasl", "ann")
        link.stream = self.host.connect(link.address)
        link.stream.write(bytes(link.protocol.outgoing))
        link.protocol.outgoing.clear()
        while not link.protocol.ready:
            link._receive()
        reply = link.call("OpenSession", hs2.TOpenSessionReq(client_protocol=9, configuration=configuration))
        link.session = reply.sessionHandle
        return link, reply.configuration

    def change(self, link, columns, version=0, back=True, seconds=60, by="orders-load", statement=""):
        overlay = {
            "fennelwind.publisher": by,
            "fennelwind.schema.sales.orders": columns,
            "fennelwind.schema_version.sales.orders": str(version),
        }
        if back:
            overlay["fennelwind.back"] = alter(OLD)
        return link.call(
            "ExecuteStatement",
            hs2.TExecuteStatementReq(
                sessionHandle=link.session,
                statement=statement or alter(columns),
                confOverlay=overlay,
                queryTimeout=seconds,
            ),
        )

    def version(self):
        """Return the table's version, as a publisher learns it from a refusal."""
        record = next(k.member.state.replicated_state for k in self.council.keepers.values())
        return record.machines["contracts"].tables["sales.orders"].version

    def columns(self):
        return [[name for name, _ in e.schemas.tables["sales.orders"]] for e in self.engines]


@pytest.fixture(autouse=True)
def class_of_alter(monkeypatch):
    """Let the settings' selectors find a class for the publishers' statements."""
    plain = Fleet.text

    def text(engines, note=0, max_open=1000):
        return plain(engines, note, max_open).replace('statement: "(?i)load"', 'statement: "(?i)load|alter"')

    monkeypatch.setattr(Fleet, "text", staticmethod(text))


def test_what_breaks_a_subscriber_is_refused_with_its_name_and_what_does_not_is_made_everywhere():
    scene = Scene(1)

    def call():
        scene.change(scene.session()[0], OLD, statement=alter(OLD))
        reader, told = scene.session(READS)
        assert told == {"fennelwind.subscribed": "registered"}
        link, nothing = scene.session()
        assert nothing == {}
        with pytest.raises(RemoteError) as refused:
            scene.change(link, "id bigint", scene.version(), statement=alter("id bigint"))
        assert refused.value.status.sqlState == "23000"
        assert "nightly" in str(refused.value) and "total" in str(refused.value)
        assert scene.columns() == [["id", "total"]] * 2  # nothing was changed
        scene.change(link, WIDER, scene.version(), statement=alter(WIDER))
        assert scene.columns() == [["id", "total", "note"]] * 2
        execute(reader, "select 1")  # it goes on
        reader.call("CloseSession", hs2.TCloseSessionReq(reader.session))
        assert not scene.fleet.program.keeper.gate.subscribers
        assert scene.fleet.seen.failures == []

    scene.play(call)


def test_without_the_council_sessions_open_and_changes_are_refused_with_a_time_to_come_back():
    scene = Scene(2)

    def call():
        scene.change(scene.session()[0], OLD, statement=alter(OLD))
        for name in scene.council.names:
            scene.council.kill(name)
        reader, told = scene.session(READS)
        assert told == {"fennelwind.subscribed": "later"}
        execute(reader, "select 1")
        with pytest.raises(RemoteError) as refused:
            scene.change(reader, WIDER, 1, statement=alter(WIDER))
        again = hints.read(refused.value.status.infoMessages)[hints.REFUSED]["retry_after_ms"]
        assert refused.value.status.sqlState == "53000" and again > 0
        before = scene.host.now()
        scene.session(READS | {"fennelwind.subscriber": "other"})  # it is known to be away by now
        assert scene.host.now() - before < gate_module.REGISTRATION_WAIT_MS
        for name in scene.council.names:
            scene.council.start(name)
        gate = scene.fleet.program.keeper.gate
        while not all(s.registration_number for s in gate.subscribers.values()):
            scene.host.sleep(200.0)
        assert len(gate.subscribers) == 2

    scene.play(call)


def test_a_controller_that_dies_half_way_is_followed_by_another():
    scene = Scene(3, controllers=2)

    def call():
        scene.change(scene.session()[0], OLD, statement=alter(OLD))
        version = scene.version()
        slow = scene.engines[1]
        slow.faults.hang = True
        scene.host.spawn(lambda: scene.change(scene.session()[0], WIDER, version, statement=alter(WIDER)))
        while len(scene.engines[0].schemas.tables["sales.orders"]) < 3:
            scene.host.sleep(20.0)
        holder = [k for k in (scene.fleet.program.keeper,) if k.tasks._running]
        for task in list(scene.fleet.program.keeper.tasks._tasks):
            task.cancel()
        scene.fleet.program.keeper.close()  # as if its process had ended; its leases lapse
        slow.faults.hang = False
        while len(slow.schemas.tables["sales.orders"]) < 3:
            scene.host.sleep(500.0)
        while scene.version() == version:
            scene.host.sleep(500.0)
        assert scene.columns() == [["id", "total", "note"]] * 2
        return len(holder)

    scene.play(call)


def test_an_engine_that_the_last_holder_noted_as_gone_and_is_back_is_changed_as_well():
    scene = Scene(8, controllers=2)

    def call():
        scene.change(scene.session()[0], OLD, statement=alter(OLD))
        version, keeper = scene.version(), scene.fleet.program.keeper
        scene.engines[0].faults.hang = True
        scene.host.spawn(lambda: scene.change(scene.session()[0], WIDER, version, statement=alter(WIDER)))
        record = next(k.member.state.replicated_state for k in scene.council.keepers.values())
        changes = record.machines["contracts"].changes
        while not changes or not next(iter(changes.values())).fence:
            scene.host.sleep(20.0)
        scene.fleet.program.driver.post(
            policy.EngineListUpdate("delta", (policy.EngineEndpoint(scene.engines[1].name, "gone"),))
        )
        while pb.Change.GONE_AWAY not in next(iter(changes.values())).engines.values():
            scene.host.sleep(20.0)
        for task in list(keeper.tasks._tasks):
            task.cancel()
        keeper.close()
        scene.engines[0].faults.hang = False
        while record.machines["contracts"].changes:
            scene.host.sleep(500.0)
        assert scene.columns() == [["id", "total", "note"]] * 2

    scene.play(call)


def test_an_engine_that_refuses_has_the_change_taken_back():
    scene = Scene(4)

    def call():
        scene.change(scene.session()[0], OLD, statement=alter(OLD))
        bad = scene.engines[1]
        plain = bad.schemas.run
        bad.schemas.run = lambda statement: ("42000", ()) if "note" in statement else plain(statement)
        with pytest.raises(RemoteError) as undone:
            scene.change(scene.session()[0], WIDER, scene.version(), statement=alter(WIDER))
        assert undone.value.status.sqlState == "40000"
        assert scene.columns() == [["id", "total"]] * 2

    scene.play(call)


def test_a_statement_whose_answer_is_lost_is_stopped_and_looked_at():
    scene = Scene(5)

    def call():
        scene.change(scene.session()[0], OLD, statement=alter(OLD))
        engine = scene.engines[0]
        engine.faults.lose = True
        scene.host.after(25_000.0, lambda: setattr(engine.faults, "lose", False))
        scene.change(scene.session()[0], WIDER, scene.version(), seconds=300, statement=alter(WIDER))
        assert scene.columns() == [["id", "total", "note"]] * 2
        assert sum("note" in s for s in engine.schemas.changes) == 1  # the look showed that it was made

    scene.play(call)


def test_a_subscription_is_kept_while_a_session_is_open_and_lapses_behind_it():
    scene = Scene(6)

    def call():
        scene.change(scene.session()[0], OLD, statement=alter(OLD))
        reader, _ = scene.session(READS | {"fennelwind.subscriber.term_s": "10"})
        record = next(k.member.state.replicated_state for k in scene.council.keepers.values())
        machine = record.machines["contracts"]
        scene.host.sleep(40_000.0)
        assert len(machine.subscriptions) == 1
        reader.drop()
        scene.host.sleep(25_000.0)
        assert len(record.machines["contracts"].subscriptions) == 0

    scene.play(call)


@pytest.mark.parametrize(
    "said",
    [
        {"fennelwind.reads.sales.orders": "id bigint"},
        {"fennelwind.subscriber": "x", "fennelwind.reads.sales.orders": "id bigint,,"},
    ],
)
def test_what_a_session_says_wrongly_is_told_and_leaves_nothing(said):
    scene = Scene(7)

    def call():
        before = len(scene.fleet.program.service.sessions)
        with pytest.raises(RemoteError, match="contracts-said"):
            scene.session(said)
        assert len(scene.fleet.program.service.sessions) == before
        scene.session()  # and its place is free again

    scene.play(call)


def test_a_description_ends_where_its_other_parts_begin():
    rows = [
        ("ID", "bigint", ""),
        ("day", "DATE", ""),
        ("", "", ""),
        ("# Partition Information", "", ""),
        ("# col_name", "data_type", "comment"),
        ("day", "date", ""),
    ]
    assert parse_description(rows) == (("id", "bigint"), ("day", "date"))
