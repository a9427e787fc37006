"""The whole program as several processes with faults between them, under traffic all the while.

Controllers are `fennelwind serve`; what is required is that things happen, with long waits, and what must
never be: a query lost, one sent to a copy that is not there, a copy too few, a rule broken.
"""

from fennelwind.cluster.errors import CommandRejectedError
from fennelwind.raft.replicated_state import LEVEL
from fennelwind.testbed.wholerig import DISK, WholeRig

OLD = "id bigint, total decimal(10,2)"
WIDER = OLD + ", note string"


def judge(rig, asks):
    """All was served, no rule broke, no copy was missed; books of those that ended agreed."""
    broken, checks, _ = rig.judge()
    assert broken == [] and checks > 5 * asks
    assert [end for end in rig.ends if end.how != "served"] == [] and len(rig.ends) > asks
    assert (rig.absent(), rig.pulled()) == (0, 0)
    assert min(rig.least.values()) == rig.copies
    assert set(rig.closed) == set(rig.names)


def test_moves_a_change_and_a_council_that_goes_under_traffic(tmp_path):
    rig = WholeRig(tmp_path, members=3, followers=1)

    def script(rig):
        rig.ready()
        traffic = rig.traffic(20.0)
        first = rig.publish("f0", OLD)
        assert first.state == "", first
        # Moves are under way while a member is killed, a link is cut and an engine's disk fills.
        rig.tell("e0", state="draining")
        move = rig.until(
            lambda: next((m for m in rig.shard_machine().moves.values() if m.step == "copying"), None),
            "a copy that comes",
        )
        full = next(engine for engine in rig.engines.values() if engine.name == move.target)
        full.shelf.spilled = DISK
        killed = rig.holder_of("moves")
        killed = killed if killed in rig.members else rig.leader()
        rig.kill(killed)
        rig.cut(["f0"], ["e2"])
        rig.until(lambda: rig.holder_of("moves") not in ("", killed), "another holder")
        rig.start(killed)
        # A change is carried while its publisher's controller dies and a member is cut off.
        version = next(iter(rig.contracts().tables.values())).version
        rig.cut(rig.names, ["e2"])
        publisher = rig.loop.spawn(rig.publish, "f0", WIDER, version, OLD)
        rig.until(lambda: rig.holder_of("table:sales.orders") not in ("", None), "a holder of the change")
        rig.kill("f0")
        assert publisher.join().state == "broken"
        off = rig.holder_of("table:sales.orders")
        off = off if off in rig.members and off != killed else rig.leader()
        others = [name for name in rig.members if name != off]
        rig.cut([off], others)
        rig.until(lambda: rig.leader(others), "a leader without it")
        full.shelf.spilled = 0
        rig.heal()
        rig.start("f0")
        rig.until(lambda: not rig.contracts().changes, "the change's end")
        assert len({tuple(columns) for columns in rig.schemas()}) == 1
        rig.until(rig.settled, "all needs met")
        # All members are down for a while: the follower serves all, a change is refused.
        rig.until(lambda: rig.gauges("f0"), "f0 takes queries")
        for name in rig.members:
            rig.kill(name)
        served = len(rig.ends)
        refused = rig.publish("f0", WIDER, version, OLD)
        assert refused.state == "53000" and "again" in refused.text, refused
        rig.until(lambda: len(rig.ends) >= served + 40, "queries without a council")
        for name in rig.members:
            rig.start(name)
        rig.until(
            lambda: rig.publish("f0", OLD, next(iter(rig.contracts().tables.values())).version).state == "",
            "a change is taken again",
        )
        assert rig.schemas() == [["id", "total"]] * 4
        rig.finish(traffic)
        rig.end()

    rig.play(script)
    judge(rig, asks=100)


def test_two_versions_in_one_fleet(tmp_path):
    rig = WholeRig(tmp_path, members=3, followers=0, engines=3, shards=2)

    def ask(registers):
        """Ask for what comes with the next level; return its answer, or why there was none."""
        try:
            return rig.asker.propose("later", registers, 30_000.0)
        except CommandRejectedError as exc:
            return str(exc)

    def renew(name, level):
        rig.more[name] = {"level": level}
        rig.end(name)
        rig.start(name)
        rig.until(lambda: rig.gauges(name).get("council_votes"), f"{name} has its vote")

    def script(rig):
        rig.ready()
        traffic = rig.traffic(15.0)
        rig.tell("e0", state="draining")  # moves go on through it all
        renew("m0", LEVEL + 1)
        renew("m1", LEVEL + 1)
        assert "NO_MACHINE" in ask(b'["put", "a", 1]')  # one of three does not know it yet
        assert {rig.gauges(name)["council_level"] for name in rig.members} == {LEVEL}
        renew("m1", LEVEL)  # half-way back
        renew("m1", LEVEL + 1)
        renew("m2", LEVEL + 1)
        rig.until(lambda: all(rig.gauges(n).get("council_level") == LEVEL + 1 for n in rig.members), "level")
        assert ask(b'["put", "a", 1]') == b"true"
        rig.more["m0"] = {"level": LEVEL}
        rig.end("m0")
        rig.start("m0")  # it must not go on with the record, and serves queries
        told = rig.until(
            lambda: [facts for who, what, facts in rig.said if (who, what) == ("m0", "raft member stopped")],
            "m0 says so",
        )
        assert told[0]["code"] == "council-record-too-new" and told[0]["record_level"] == LEVEL + 1
        rig.until(lambda: rig.gauges("m0"), "m0 takes clients")
        key = 'queries_total{class="lookup",end="served"}'
        rig.until(lambda: rig.gauges("m0").get(key, 0.0) > 5, "queries at m0")
        assert not rig.gauges("m0").get("council_votes")
        rig.until(rig.settled, "all needs met")
        assert ask(b'["swap", "a", 1, 2]') == b"true"
        rig.finish(traffic)
        rig.end()

    rig.play(script)
    judge(rig, asks=50)
