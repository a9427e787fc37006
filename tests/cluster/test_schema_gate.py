"""The schema gate on complete controllers: subscribers' sessions, publishers, engines."""

import pytest
from cluster_world import Cluster
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
    """Three members, a controller with two engines, and further controllers if requested."""

    def __init__(self, seed, controllers=1):
        self.cluster = Cluster(seed)
        self.world = self.cluster.world
        self.host = self.world.host("c0", "127.0.0.1")
        self.others = [self.world.host(f"c{n}", f"127.0.0.{n + 1}") for n in range(1, controllers)]

    def play(self, call):
        def main():
            for name in self.cluster.names:
                self.cluster.start(name)
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
        """Open a session; return its connection and the configuration of the reply."""
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
        """Return the table's version from the replicated state."""
        record = next(k.member.state.replicated_state for k in self.cluster.runtimes.values())
        return record.machines["contracts"].tables["sales.orders"].version

    def columns(self):
        return [[name for name, _ in e.schemas.tables["sales.orders"]] for e in self.engines]


@pytest.fixture(autouse=True)
def alter_selector(monkeypatch):
    """Extend the settings' selectors to the publishers' ALTER statements."""
    plain = Fleet.text

    def text(engines, note=0, max_open=1000):
        return plain(engines, note, max_open).replace('statement: "(?i)load"', 'statement: "(?i)load|alter"')

    monkeypatch.setattr(Fleet, "text", staticmethod(text))


def test_breaking_change_is_rejected_by_name_and_compatible_one_reaches_all_engines():
    scene = Scene(1)

    def call():
        scene.change(scene.session()[0], OLD, statement=alter(OLD))
        reader, configuration = scene.session(READS)
        assert configuration == {"fennelwind.subscribed": "registered"}
        link, nothing = scene.session()
        assert nothing == {}
        with pytest.raises(RemoteError) as refused:
            scene.change(link, "id bigint", scene.version(), statement=alter("id bigint"))
        assert refused.value.status.sqlState == "23000"
        assert "nightly" in str(refused.value) and "total" in str(refused.value)
        assert scene.columns() == [["id", "total"]] * 2  # nothing was changed
        scene.change(link, WIDER, scene.version(), statement=alter(WIDER))
        assert scene.columns() == [["id", "total", "note"]] * 2
        execute(reader, "select 1")  # the session still works
        reader.call("CloseSession", hs2.TCloseSessionReq(reader.session))
        assert not scene.fleet.program.keeper.gate.subscribers
        assert scene.fleet.seen.failures == []

    scene.play(call)


def test_without_raft_group_sessions_open_and_changes_are_rejected_with_retry_time():
    scene = Scene(2)

    def call():
        scene.change(scene.session()[0], OLD, statement=alter(OLD))
        for name in scene.cluster.names:
            scene.cluster.kill(name)
        reader, configuration = scene.session(READS)
        assert configuration == {"fennelwind.subscribed": "later"}
        execute(reader, "select 1")
        with pytest.raises(RemoteError) as refused:
            scene.change(reader, WIDER, 1, statement=alter(WIDER))
        again = hints.read(refused.value.status.infoMessages)[hints.REFUSED]["retry_after_ms"]
        assert refused.value.status.sqlState == "53000" and again > 0
        before = scene.host.now()
        scene.session(
            READS | {"fennelwind.subscriber": "other"}
        )  # the group is known to be unavailable by now
        assert scene.host.now() - before < gate_module.REGISTRATION_WAIT_MS
        for name in scene.cluster.names:
            scene.cluster.start(name)
        gate = scene.fleet.program.keeper.gate
        while not all(s.registration_number for s in gate.subscribers.values()):
            scene.host.sleep(200.0)
        assert len(gate.subscribers) == 2

    scene.play(call)


def test_another_controller_continues_a_rollout():
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
        scene.fleet.program.keeper.close()  # as if its process had ended; its leases expire
        slow.faults.hang = False
        while len(slow.schemas.tables["sales.orders"]) < 3:
            scene.host.sleep(500.0)
        while scene.version() == version:
            scene.host.sleep(500.0)
        assert scene.columns() == [["id", "total", "note"]] * 2
        return len(holder)

    scene.play(call)


def test_engine_recorded_as_removed_and_back_is_changed_too():
    scene = Scene(8, controllers=2)

    def call():
        scene.change(scene.session()[0], OLD, statement=alter(OLD))
        version, runtime = scene.version(), scene.fleet.program.keeper
        scene.engines[0].faults.hang = True
        scene.host.spawn(lambda: scene.change(scene.session()[0], WIDER, version, statement=alter(WIDER)))
        record = next(k.member.state.replicated_state for k in scene.cluster.runtimes.values())
        changes = record.machines["contracts"].changes
        while not changes or not next(iter(changes.values())).fence:
            scene.host.sleep(20.0)
        scene.fleet.program.driver.post(
            policy.EngineListUpdate("delta", (policy.EngineEndpoint(scene.engines[1].name, "gone"),))
        )
        while pb.Change.GONE_AWAY not in next(iter(changes.values())).engines.values():
            scene.host.sleep(20.0)
        for task in list(runtime.tasks._tasks):
            task.cancel()
        runtime.close()
        scene.engines[0].faults.hang = False
        while record.machines["contracts"].changes:
            scene.host.sleep(500.0)
        assert scene.columns() == [["id", "total", "note"]] * 2

    scene.play(call)


def test_change_is_reverted_when_an_engine_rejects_it():
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


def test_statement_with_lost_answer_is_stopped_and_its_table_described():
    scene = Scene(5)

    def call():
        scene.change(scene.session()[0], OLD, statement=alter(OLD))
        engine = scene.engines[0]
        engine.faults.lose = True
        scene.host.after(25_000.0, lambda: setattr(engine.faults, "lose", False))
        scene.change(scene.session()[0], WIDER, scene.version(), seconds=300, statement=alter(WIDER))
        assert scene.columns() == [["id", "total", "note"]] * 2
        assert (
            sum("note" in s for s in engine.schemas.changes) == 1
        )  # DESCRIBE showed that the change had been made

    scene.play(call)


def test_subscription_is_renewed_while_a_session_is_open_and_then_expires():
    scene = Scene(6)

    def call():
        scene.change(scene.session()[0], OLD, statement=alter(OLD))
        reader, _ = scene.session(READS | {"fennelwind.subscriber.term_s": "10"})
        record = next(k.member.state.replicated_state for k in scene.cluster.runtimes.values())
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
def test_invalid_subscription_is_rejected_and_leaves_no_session(said):
    scene = Scene(7)

    def call():
        before = len(scene.fleet.program.service.sessions)
        with pytest.raises(RemoteError, match="contracts-said"):
            scene.session(said)
        assert len(scene.fleet.program.service.sessions) == before
        scene.session()  # and its session slot is free again

    scene.play(call)


def test_description_ends_at_the_first_empty_row():
    rows = [
        ("ID", "bigint", ""),
        ("day", "DATE", ""),
        ("", "", ""),
        ("# Partition Information", "", ""),
        ("# col_name", "data_type", "comment"),
        ("day", "date", ""),
    ]
    assert parse_description(rows) == (("id", "bigint"), ("day", "date"))
