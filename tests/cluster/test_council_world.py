"""Whole members with their folders and streams, their clients and tasks, in virtual time."""

from types import SimpleNamespace

import pytest
from council_chaos import Chaos
from council_world import Council
from sums import Sum

from fennelwind.cluster import disaster_recovery
from fennelwind.cluster.disaster_recovery import restart_alone, summarize
from fennelwind.cluster.errors import ClusterError, CommandRejectedError
from fennelwind.cluster.member_folder import MemberFolder
from fennelwind.loop.simdisk import Platter, SimDisk
from fennelwind.observability.metrics import Collector
from fennelwind.raft_storage.store import StoreLimits
from fennelwind.testbed.registers import Registers


def test_a_members_figures_are_told_to_scrapers():
    def main(council):
        council.until(
            lambda: (
                council.leader()
                and len(council.keepers[council.leader()].member.core.log.configuration.members.members) == 3
            )
        )
        council.world.rig.sleep(2000.0)
        told = {}
        for name, keeper in council.keepers.items():
            program = SimpleNamespace(keeper=keeper)
            told[name] = {
                (s.name.removeprefix("fennelwind_council_"), *s.labels.values()): s.value
                for metric in Collector(program)._council()
                for s in metric.samples
            }
        assert sum(values[("leads",)] for values in told.values()) == 1
        assert all(values[("votes",)] == 1 and values[("members_reached",)] == 2 for values in told.values())
        assert all(values[("events_total", "peers", "sent")] > 1 for values in told.values())
        assert len({values[("term",)] for values in told.values()}) == 1

    Council(7).play(main)


@pytest.mark.parametrize("members", [3, 5])
def test_commands_go_on_while_a_majority_is_there_and_come_back_with_it(members):
    def main(council):
        follower = council.start("f0", "10.0.1.1")
        read = council.on("f0", lambda: follower.client.read("leases", within_ms=30_000))
        assert read.index > 0
        for name in council.names[: members // 2 + 1]:
            council.kill(name)
        with pytest.raises(ClusterError):
            council.on("f0", lambda: follower.client.read("leases", within_ms=5000))
        for name in council.names[: members // 2 + 1]:
            council.start(name)
        again = council.on("f0", lambda: follower.client.read("leases", within_ms=30_000))
        assert again.index >= read.index

    Council(2, members).play(main)


class Tally(Sum):
    """A machine that a later version brings."""

    name, kinds, since = "tally", (), 2


def test_a_fleet_of_two_versions_takes_up_the_new_only_when_all_members_know_it():
    def main(council):
        newer = {"more": (Tally(),), "level": 2}
        asker = council.start("f0", "10.0.1.1").client

        def ask():
            return asker.propose("tally", b"1", 10_000)

        for name in council.names[:2]:  # a rolling upgrade: two of three
            council.kill(name)
            council.start(name, **newer | {"more": (Tally(),)})
            council.until(lambda: council.leader())
        with pytest.raises(CommandRejectedError, match="NO_MACHINE"):
            council.on("f0", ask)
        council.world.rig.sleep(10_000.0)
        assert {k.member.state.replicated_state.level for n, k in council.keepers.items() if k.member} == {1}
        council.kill("m2")
        council.start("m2", **newer | {"more": (Tally(),)})
        council.until(
            lambda: all(
                k.member.state.replicated_state.level == 2 for n, k in council.keepers.items() if k.member
            )
        )
        assert council.on("f0", ask) == b"1"
        council.kill("m0")
        council.start("m0")  # back to the older version: it must not go on
        council.until(
            lambda: any(
                what == "raft member stopped" and facts["code"] == "council-record-too-new"
                for _, _, what, facts in council.said
            )
        )
        assert council.on("f0", ask) == b"2"
        council.kill("m0")
        council.start("m0", **newer | {"more": (Tally(),)})
        council.until(lambda: council.keepers["m0"].member.role in ("follower", "leader"))
        records = [k.member.state.replicated_state for k in council.keepers.values() if k.member]
        council.until(lambda: len({r.index for r in records}) == 1)
        assert len({r.snapshot() for r in records}) == 1
        # What the log's own fields are called is no fact's name: it would be written over.
        assert not [facts for *_, facts in council.said if {"event", "level", "timestamp"} & set(facts)]

    Council(3).play(main)


@pytest.mark.parametrize("seed", [2, 4, 8, 11])
def test_two_never_act_at_once_and_histories_are_linearizable_whatever_breaks(seed):
    chaos = Chaos(seed, members=3 if seed % 4 else 5)
    assert chaos.play() == []
    assert chaos.counts["acts"] > 20 and chaos.counts["operations"] > 100 and chaos.counts["fences"] > 1


def test_three_of_five_lost_for_good_and_the_way_back(monkeypatch):
    monkeypatch.setattr(disaster_recovery, "SKIPPED_ENTRIES", 2000)  # the whole jump takes 5 s to play
    fences = []

    def main(council):
        for name in council.names:
            council.kill(name)
            council.platters[name] = Platter()
            council.start(name, more=(Registers(),))
        asker = council.start("f0", "10.0.1.1").client

        def put(number):
            asker.propose("registers", b'["put", "a", %d]' % number, 20_000)

        for number in range(30):
            council.on("f0", put, number)
        read = council.on("f0", lambda: asker.read("registers", b"a", within_ms=20_000))
        council.until(
            lambda: all(
                k.member.state.replicated_state.index >= read.index
                for k in council.keepers.values()
                if k.member
            )
        )
        for name in council.names:
            council.kill(name)
        council.platters = {n: p if n in ("m3", "m4") else Platter() for n, p in council.platters.items()}
        left = {}
        for name in ("m3", "m4"):
            folder = MemberFolder(
                lambda name=name: SimDisk(None, council.platters[name]),
                "f",
                name,
                lambda size: b"x" * size,
                StoreLimits(reserve_bytes=1 << 20, min_free_bytes=2 << 20),
            )
            durable = folder.open()
            left[summarize(durable).last_term, summarize(durable).last, name] = folder, durable
        heir, (folder, durable) = max(left)[2], left[max(left)]
        before = summarize(durable)
        after = restart_alone(folder, durable, str(council.addresses[heir]))
        for folder, _ in left.values():
            folder.close()
        assert before.members == tuple(council.names) and after.members == (heir,)
        fences.append((before.last, after.last))
        for name in council.names:
            if name != heir:
                council.platters[name] = Platter()
            council.start(name, more=(Registers(),))
        assert council.on("f0", lambda: asker.read("registers", b"a", within_ms=60_000)).state == b"29"
        council.on("f0", put, 7)
        log = council.keepers[heir].member.core.log
        council.until(lambda: sum(member.votes for member in log.configuration.members.members) == 5)
        council.kill(heir)
        assert council.on("f0", lambda: asker.read("registers", b"a", within_ms=60_000)).state == b"7"

    Council(5, 5).play(main)
    assert fences[0][1] - fences[0][0] >= 2000


def test_a_member_that_is_needed_catches_up_over_a_slow_way_and_hears_its_leader_meanwhile():
    def main(council):
        follower = council.start("f0", "10.0.1.1", (Registers(),))
        council.until(
            lambda: (
                council.leader()
                and len(council.keepers[council.leader()].member.core.log.configuration.voters) == 3
            )
        )
        leader = council.leader()
        behind, other = (name for name in council.names if name != leader)
        council.kill(behind)
        for _ in range(150):
            with pytest.raises(CommandRejectedError):  # nobody of that name: it is in the log all the same
                council.on("f0", lambda: follower.client.propose("none", bytes(10_000), 5000))
        council.kill(other)  # from here on the one that is behind is needed for each majority
        path = council.ways.path
        council.ways.path = lambda *way: path(*way)._replace(bytes_per_ms=500.0)
        began = council.world.time
        council.start(behind)
        last = council.keepers[leader].member.core.log.last_index
        council.until(lambda: (core := council.keepers[behind].member.core) and core.commit_index >= last)
        assert council.world.time - began < 6000.0  # the bytes alone take 3 s
        asked = [
            name
            for at, name, what, facts in council.said
            if at > began and what == "role changed" and facts["role"] == "asking"
        ]
        assert len(asked) < 8, asked

    Council(5).play(main)


def test_a_task_whose_function_breaks_goes_to_another_controller():
    acts = []

    def sweep(name):
        def run(held):
            acts.append(name)
            if name == acts[0]:
                raise KeyError("a defect")
            held.stop.wait()
            return False

        return run

    def main(council):
        for name in council.names:
            council.keepers[name].tasks.add("sweep", sweep(name), term_ms=2000)
        council.until(lambda: len(set(acts)) > 1)
        assert "a defect" in str(council.world.errors)
        council.world.errors.clear()

    Council(3).play(main)
