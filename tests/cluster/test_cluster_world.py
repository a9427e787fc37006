"""Complete members with folders and streams, their clients and leased tasks, in virtual time."""

from types import SimpleNamespace

import pytest
from cluster_chaos import Chaos
from cluster_world import Cluster
from sum_machine import Sum

from fennelwind.cluster import disaster_recovery
from fennelwind.cluster.disaster_recovery import restart_alone, summarize
from fennelwind.cluster.errors import ClusterError, CommandRejectedError
from fennelwind.cluster.member_folder import MemberFolder
from fennelwind.loop.simdisk import Platter, SimDisk
from fennelwind.observability.metrics import Collector
from fennelwind.raft_storage.store import StoreLimits
from fennelwind.testbed.registers import Registers


def test_members_export_their_metrics():
    def main(cluster):
        cluster.until(
            lambda: (
                cluster.leader()
                and len(cluster.runtimes[cluster.leader()].member.core.log.configuration.members.members) == 3
            )
        )
        cluster.world.rig.sleep(2000.0)
        values_by_member = {}
        for name, runtime in cluster.runtimes.items():
            program = SimpleNamespace(keeper=runtime)
            values_by_member[name] = {
                (s.name.removeprefix("fennelwind_council_"), *s.labels.values()): s.value
                for metric in Collector(program)._council()
                for s in metric.samples
            }
        assert sum(values[("leads",)] for values in values_by_member.values()) == 1
        assert all(
            values[("votes",)] == 1 and values[("members_reached",)] == 2
            for values in values_by_member.values()
        )
        assert all(values[("events_total", "peers", "sent")] > 1 for values in values_by_member.values())
        assert len({values[("term",)] for values in values_by_member.values()}) == 1

    Cluster(7).play(main)


@pytest.mark.parametrize("members", [3, 5])
def test_reads_fail_without_a_majority_and_resume_with_it(members):
    def main(cluster):
        follower = cluster.start("f0", "10.0.1.1")
        read = cluster.on("f0", lambda: follower.client.read("leases", within_ms=30_000))
        assert read.index > 0
        for name in cluster.names[: members // 2 + 1]:
            cluster.kill(name)
        with pytest.raises(ClusterError):
            cluster.on("f0", lambda: follower.client.read("leases", within_ms=5000))
        for name in cluster.names[: members // 2 + 1]:
            cluster.start(name)
        later_read = cluster.on("f0", lambda: follower.client.read("leases", within_ms=30_000))
        assert later_read.index >= read.index

    Cluster(2, members).play(main)


class Tally(Sum):
    """A state machine that exists only from level 2 on."""

    name, kinds, since = "tally", (), 2


def test_level_is_raised_only_when_all_members_support_it():
    def main(cluster):
        newer = {"more": (Tally(),), "level": 2}
        client = cluster.start("f0", "10.0.1.1").client

        def propose():
            return client.propose("tally", b"1", 10_000)

        for name in cluster.names[:2]:  # a rolling upgrade that has reached two of three members
            cluster.kill(name)
            cluster.start(name, **newer | {"more": (Tally(),)})
            cluster.until(lambda: cluster.leader())
        with pytest.raises(CommandRejectedError, match="NO_MACHINE"):
            cluster.on("f0", propose)
        cluster.world.rig.sleep(10_000.0)
        assert {k.member.state.replicated_state.level for n, k in cluster.runtimes.items() if k.member} == {1}
        cluster.kill("m2")
        cluster.start("m2", **newer | {"more": (Tally(),)})
        cluster.until(
            lambda: all(
                k.member.state.replicated_state.level == 2 for n, k in cluster.runtimes.items() if k.member
            )
        )
        assert cluster.on("f0", propose) == b"1"
        cluster.kill("m0")
        cluster.start("m0")  # downgraded: it must stop
        cluster.until(
            lambda: any(
                what == "raft member stopped" and facts["code"] == "council-record-too-new"
                for _, _, what, facts in cluster.log_lines
            )
        )
        assert cluster.on("f0", propose) == b"2"
        cluster.kill("m0")
        cluster.start("m0", **newer | {"more": (Tally(),)})
        cluster.until(lambda: cluster.runtimes["m0"].member.role in ("follower", "leader"))
        records = [k.member.state.replicated_state for k in cluster.runtimes.values() if k.member]
        cluster.until(lambda: len({r.index for r in records}) == 1)
        assert len({r.snapshot() for r in records}) == 1
        # No fact may have the name of one of the log's own fields, which would overwrite it.
        assert not [facts for *_, facts in cluster.log_lines if {"event", "level", "timestamp"} & set(facts)]

    Cluster(3).play(main)


@pytest.mark.parametrize("seed", [2, 4, 8, 11])
def test_leases_exclude_each_other_and_histories_are_linearizable_under_faults(seed):
    chaos = Chaos(seed, members=3 if seed % 4 else 5)
    assert chaos.play() == []
    assert chaos.counts["acts"] > 20 and chaos.counts["operations"] > 100 and chaos.counts["fences"] > 1


def test_recovery_after_three_of_five_members_are_lost(monkeypatch):
    monkeypatch.setattr(disaster_recovery, "SKIPPED_ENTRIES", 2000)  # the full jump takes 5 s to play
    fences = []

    def main(cluster):
        for name in cluster.names:
            cluster.kill(name)
            cluster.platters[name] = Platter()
            cluster.start(name, more=(Registers(),))
        client = cluster.start("f0", "10.0.1.1").client

        def put(number):
            client.propose("registers", b'["put", "a", %d]' % number, 20_000)

        for number in range(30):
            cluster.on("f0", put, number)
        read = cluster.on("f0", lambda: client.read("registers", b"a", within_ms=20_000))
        cluster.until(
            lambda: all(
                k.member.state.replicated_state.index >= read.index
                for k in cluster.runtimes.values()
                if k.member
            )
        )
        for name in cluster.names:
            cluster.kill(name)
        cluster.platters = {n: p if n in ("m3", "m4") else Platter() for n, p in cluster.platters.items()}
        survivors = {}
        for name in ("m3", "m4"):
            folder = MemberFolder(
                lambda name=name: SimDisk(None, cluster.platters[name]),
                "f",
                name,
                lambda size: b"x" * size,
                StoreLimits(reserve_bytes=1 << 20, min_free_bytes=2 << 20),
            )
            durable = folder.open()
            survivors[summarize(durable).last_term, summarize(durable).last, name] = folder, durable
        survivor, (folder, durable) = max(survivors)[2], survivors[max(survivors)]
        before = summarize(durable)
        after = restart_alone(folder, durable, str(cluster.addresses[survivor]))
        for folder, _ in survivors.values():
            folder.close()
        assert before.members == tuple(cluster.names) and after.members == (survivor,)
        fences.append((before.last, after.last))
        for name in cluster.names:
            if name != survivor:
                cluster.platters[name] = Platter()
            cluster.start(name, more=(Registers(),))
        assert cluster.on("f0", lambda: client.read("registers", b"a", within_ms=60_000)).state == b"29"
        cluster.on("f0", put, 7)
        log = cluster.runtimes[survivor].member.core.log
        cluster.until(lambda: sum(member.votes for member in log.configuration.members.members) == 5)
        cluster.kill(survivor)
        assert cluster.on("f0", lambda: client.read("registers", b"a", within_ms=60_000)).state == b"7"

    Cluster(5, 5).play(main)
    assert fences[0][1] - fences[0][0] >= 2000


def test_lagging_member_catches_up_over_slow_path_without_elections():
    def main(cluster):
        follower = cluster.start("f0", "10.0.1.1", (Registers(),))
        cluster.until(
            lambda: (
                cluster.leader()
                and len(cluster.runtimes[cluster.leader()].member.core.log.configuration.voters) == 3
            )
        )
        leader = cluster.leader()
        behind, other = (name for name in cluster.names if name != leader)
        cluster.kill(behind)
        for _ in range(150):
            with pytest.raises(
                CommandRejectedError
            ):  # no such state machine; the command is in the log nevertheless
                cluster.on("f0", lambda: follower.client.propose("none", bytes(10_000), 5000))
        cluster.kill(other)  # from here on every majority needs the lagging member
        path = cluster.paths.path
        cluster.paths.path = lambda *way: path(*way)._replace(bytes_per_ms=500.0)
        started_ms = cluster.world.time
        cluster.start(behind)
        last = cluster.runtimes[leader].member.core.log.last_index
        cluster.until(lambda: (core := cluster.runtimes[behind].member.core) and core.commit_index >= last)
        assert cluster.world.time - started_ms < 6000.0  # the bytes alone take 3 s
        campaigns = [
            name
            for at, name, what, facts in cluster.log_lines
            if at > started_ms and what == "role changed" and facts["role"] == "asking"
        ]
        assert len(campaigns) < 8, campaigns

    Cluster(5).play(main)


def test_task_whose_function_raises_moves_to_another_controller():
    acts = []

    def sweep(name):
        def run(held):
            acts.append(name)
            if name == acts[0]:
                raise KeyError("a defect")
            held.stop.wait()
            return False

        return run

    def main(cluster):
        for name in cluster.names:
            cluster.runtimes[name].tasks.add("sweep", sweep(name), term_ms=2000)
        cluster.until(lambda: len(set(acts)) > 1)
        assert "a defect" in str(cluster.world.errors)
        cluster.world.errors.clear()

    Cluster(3).play(main)
