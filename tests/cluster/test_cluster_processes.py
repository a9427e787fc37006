"""The Raft group as real processes with injected faults, checked by events.

The tests require that events happen, with timeouts a hundred times as long as they usually take; never that
they are fast. Clients use registers throughout, and their history must be linearizable.
"""

from pathlib import Path

import pytest

from fennelwind.audit.linearizability import Broken, Linearizable, Operation, check
from fennelwind.testbed.councilrig import ACT, CouncilRig, Seen, overlaps

LONG_ACT = ACT | {"act_ms": 600.0}  # long enough to be interrupted halfway


def operations(history):
    """Return the clients' operations; those certainly rejected had no effect and are left out."""
    pending, collected = {}, []
    for at, who, ask, what, value in sorted(history, key=lambda line: line[0]):
        if what == "asked":
            pending[who, ask] = at, value
            continue
        began, (verb, key, *rest) = pending.pop((who, ask))
        if what == "refused" or what == "unknown" and verb == "get":
            continue
        argument = None if verb == "get" else rest[0] if verb == "put" else tuple(rest)
        result = None if verb == "put" else value
        collected.append(
            Operation(who, key, began, None if what == "unknown" else at, verb, argument, result)
        )
    for (who, _), (began, (verb, key, *rest)) in pending.items():
        if verb != "get":  # the client was killed
            collected.append(
                Operation(who, key, began, None, verb, rest[0] if verb == "put" else tuple(rest))
            )
    return collected


def check_run(rig, acts=5, asks=50):
    """Check that operations never overlapped, tokens increased, and the history is linearizable."""
    taken = rig.resource.taken()
    assert not overlaps(taken)
    assert len([seen for seen in taken if seen.what == "end"]) >= acts
    collected = operations(rig.history)
    assert len(collected) >= asks
    verdict = check(collected, start=0)
    assert isinstance(verdict, Linearizable), verdict


def wait_for_answers(rig, more=20):
    """Wait until clients have received `more` answers."""
    before = sum(line[3] == "got" for line in rig.history)
    rig.until(lambda: sum(line[3] == "got" for line in rig.history) >= before + more, "answers")


def test_kill_of_lease_holder_and_leader_and_restart_of_all(tmp_path):
    rig = CouncilRig(tmp_path, task=ACT, clients=2)

    def script(rig):
        rig.acts(5)
        first = rig.holder()
        rig.kill(first)
        rig.acts(3)
        assert rig.resource.seen[-1].who != first
        rig.start(first)
        leader = rig.leader()
        rig.kill(leader)
        rig.until(lambda: rig.leader() != leader, "another leader")
        wait_for_answers(rig)
        for name in [n for n in rig.members if n in rig.parts]:
            rig.kill(name)
        for name in rig.members:
            rig.start(name)
        rig.acts(5)
        wait_for_answers(rig)
        assert {rig.state(name)["members"] for name in rig.members} == {3}

    rig.play(script)
    check_run(rig)
    assert len({seen.fence for seen in rig.resource.taken()}) >= 2


def test_lease_holder_stopped_beyond_its_term_and_drifting_clocks(tmp_path):
    rig = CouncilRig(tmp_path, task=LONG_ACT, clients=1, more={"m0": {"pace": 0.9}, "m2": {"pace": 1.1}})

    def script(rig):
        rig.acts(2)
        rig.until(lambda: rig.resource.seen[-1].what != "end", "the middle of an act")
        stopped = rig.resource.seen[-1].who
        rig.stop(stopped)
        rig.until(lambda: rig.resource.seen[-1].who != stopped, "another's act")
        seen = rig.acts(2)
        rig.go_on(stopped)
        rig.acts(2, than=seen)
        leader = rig.leader()
        rig.stop(leader)
        rig.until(lambda: rig.leader([n for n in rig.members if n != leader]), "another leader")
        rig.go_on(leader)
        wait_for_answers(rig)
        rig.acts(2)

    rig.play(script)
    check_run(rig)
    cut_off = [
        one
        for one, other in zip(rig.resource.taken(), rig.resource.taken()[1:], strict=False)
        if one.fence != other.fence and one.what != "end"
    ]
    assert cut_off  # it was interrupted during an operation


def test_leader_cut_off_in_one_and_both_directions(tmp_path):
    rig = CouncilRig(tmp_path, task=ACT, clients=2, followers=1)

    def script(rig):
        rig.slow(rig.names, rig.members, 40.0)
        rig.acts(2)
        wait_for_answers(rig)
        for both in (True, False):
            rig.acts(3)
            leader = rig.leader()
            others = [name for name in rig.members if name != leader]
            rig.cut([leader], others, both)
            rig.until(lambda: rig.leader(others), "another leader")  # noqa: B023 - called at once
            wait_for_answers(rig)
            rig.acts(3)
            rig.heal()
            term = rig.state(rig.leader(others))["term"]
            rig.until(lambda: rig.state(leader)["term"] >= term, "the cut one hears")  # noqa: B023
        leader = rig.leader()
        rig.end(leader)  # as by SIGTERM
        rig.until(lambda: rig.leader() != leader, "another leader")
        rig.acts(3)
        wait_for_answers(rig)

    rig.play(script)
    check_run(rig)


def test_full_slow_and_failing_disks_and_loss_of_unsynced_data(tmp_path):
    rig = CouncilRig(tmp_path, task=ACT, clients=2, disk={"loses": True})

    def script(rig):
        rig.acts(3)
        leader = rig.leader()
        rig.parts[leader].say({"fsize": 1})  # an operating system limit below the size of the files
        rig.until(lambda: any(who == leader and what == "cannot write" for who, what, _ in rig.said), "full")
        rig.until(lambda: rig.leader() != leader, "another leader")
        wait_for_answers(rig)
        rig.parts[leader].say({"fsize": None})
        rig.until(
            lambda: any(who == leader and what == "can write again" for who, what, _ in rig.said),
            "room again",
        )
        rig.until(lambda: rig.state(leader)["part"] in ("follower", "leader"), "a vote again")
        leader = rig.leader()
        rig.parts[leader].say({"disk": {"syncs_fail": 1}})
        rig.until(
            lambda: any(
                who == leader and facts.get("code") == "disk-sync-failed" for who, _, facts in rig.said
            ),
            "a failed sync",
        )
        rig.acts(3)
        slow = rig.leader()
        rig.parts[slow].say({"disk": {"slow_ms": 40.0}})
        rig.acts(3)
        wait_for_answers(rig)
        for name in rig.members:  # all at once, losing unsynced data
            rig.kill(name)
        for name in rig.members:
            rig.start(name)
        rig.acts(3)
        wait_for_answers(rig)

    rig.play(script)
    check_run(rig)


def test_corrupted_log_and_lost_folder(tmp_path):
    rig = CouncilRig(tmp_path, task=ACT, clients=1)

    def script(rig):
        rig.acts(3)
        damaged = next(name for name in rig.members if name != rig.leader())
        rig.kill(damaged)
        wait_for_answers(rig)
        logs = sorted((rig.folder / damaged).glob("log-*"), key=lambda path: path.stat().st_size)
        flip(logs[-1], logs[-1].stat().st_size // 2)
        rig.start(damaged)
        rig.until(
            lambda: any(who == damaged and what == "cannot open" for who, what, _ in rig.said), "damage"
        )
        rig.acts(3)
        rig.kill(damaged)
        rig.lose(damaged)  # as an operator does with a damaged folder
        rig.start(damaged)
        rig.until(lambda: (rig.state(damaged) or {}).get("part") == "follower", "a vote for its new life")
        lives = {
            facts["incarnation"]
            for who, what, facts in rig.said
            if (who, what) == (damaged, "raft member started")
        }
        assert len(lives) == 2
        other = next(name for name in rig.members if name != damaged)
        rig.kill(other)  # the majority now depends on the new incarnation
        rig.acts(3)
        wait_for_answers(rig)

    rig.play(script)
    check_run(rig)


def flip(path: Path, offset: int):
    data = bytearray(path.read_bytes())
    data[offset] ^= 1
    path.write_bytes(data)


@pytest.mark.parametrize(
    ("seen", "wrong"),
    [
        ("a1b a1e b2b b2e", 0),
        ("a1b b2b b2e", 0),
        ("a1b b2b a1e", 1),
        ("a1b a1e b1b b1e", 2),
        ("a1b a1e b2b b2e a1b", 1),
        ("a1e", 1),
    ],
)
def test_overlap_check_detects_overlapping_operations(seen, wrong):
    what = {"b": "begin", "e": "end"}
    overlapping = overlaps(Seen("t", one[0], 1, what[one[2]], 0, int(one[1]), True) for one in seen.split())
    assert len(overlapping) == wrong


def test_history_check_detects_a_stale_read():
    lines = [
        [0, "c", 0, "asked", ["put", "a", 3]],
        [1, "c", 0, "got", True],
        [2, "c", 1, "asked", ["get", "a"]],
        [3, "c", 1, "got", 2],
    ]
    assert isinstance(check(operations(lines), start=0), Broken)
    lines[-1][-1] = 3
    assert isinstance(check(operations(lines), start=0), Linearizable)
