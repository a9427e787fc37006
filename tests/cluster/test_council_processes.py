"""The council by real processes with faults between them, judged by events.

What is required is that something happens, with waits a hundred times as long as it takes; never that it is
quick. Clients use registers all the while, and their history has to be linearizable.
"""

from pathlib import Path

import pytest

from fennelwind.audit.linearizability import Broken, Linearizable, Operation, check
from fennelwind.testbed.councilrig import ACT, CouncilRig, Seen, overlaps

LONG_ACT = ACT | {"act_ms": 600.0}  # long enough to be met in its middle


def operations(history):
    """Return what clients asked and got; what was refused for certain has not been done, and is left out."""
    asked, done = {}, []
    for at, who, ask, what, value in sorted(history, key=lambda line: line[0]):
        if what == "asked":
            asked[who, ask] = at, value
            continue
        began, (verb, key, *rest) = asked.pop((who, ask))
        if what == "refused" or what == "unknown" and verb == "get":
            continue
        argument = None if verb == "get" else rest[0] if verb == "put" else tuple(rest)
        result = None if verb == "put" else value
        done.append(Operation(who, key, began, None if what == "unknown" else at, verb, argument, result))
    for (who, _), (began, (verb, key, *rest)) in asked.items():
        if verb != "get":  # its client was killed
            done.append(Operation(who, key, began, None, verb, rest[0] if verb == "put" else tuple(rest)))
    return done


def judge(rig, acts=5, asks=50):
    """Two never acted at once, fences rose, and the history is that of one register after the other."""
    taken = rig.resource.taken()
    assert not overlaps(taken)
    assert len([seen for seen in taken if seen.what == "end"]) >= acts
    done = operations(rig.history)
    assert len(done) >= asks
    verdict = check(done, start=0)
    assert isinstance(verdict, Linearizable), verdict


def answered(rig, more=20):
    """Wait until clients got so many more answers."""
    before = sum(line[3] == "got" for line in rig.history)
    rig.until(lambda: sum(line[3] == "got" for line in rig.history) >= before + more, "answers")


def test_kill_of_the_holder_and_of_the_leader_and_a_restart_of_all(tmp_path):
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
        answered(rig)
        for name in [n for n in rig.members if n in rig.parts]:
            rig.kill(name)
        for name in rig.members:
            rig.start(name)
        rig.acts(5)
        answered(rig)
        assert {rig.state(name)["members"] for name in rig.members} == {3}

    rig.play(script)
    judge(rig)
    assert len({seen.fence for seen in rig.resource.taken()}) >= 2


def test_a_holder_that_stands_still_for_longer_than_its_term_and_clocks_apart(tmp_path):
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
        answered(rig)
        rig.acts(2)

    rig.play(script)
    judge(rig)
    cut_off = [
        one
        for one, other in zip(rig.resource.taken(), rig.resource.taken()[1:], strict=False)
        if one.fence != other.fence and one.what != "end"
    ]
    assert cut_off  # it was in the middle of an act


def test_cuts_of_the_leader_one_way_and_both_ways(tmp_path):
    rig = CouncilRig(tmp_path, task=ACT, clients=2, followers=1)

    def script(rig):
        rig.slow(rig.names, rig.members, 40.0)
        rig.acts(2)
        answered(rig)
        for both in (True, False):
            rig.acts(3)
            leader = rig.leader()
            others = [name for name in rig.members if name != leader]
            rig.cut([leader], others, both)
            rig.until(lambda: rig.leader(others), "another leader")  # noqa: B023 - called at once
            answered(rig)
            rig.acts(3)
            rig.heal()
            term = rig.state(rig.leader(others))["term"]
            rig.until(lambda: rig.state(leader)["term"] >= term, "the cut one hears")  # noqa: B023
        leader = rig.leader()
        rig.end(leader)  # as by SIGTERM
        rig.until(lambda: rig.leader() != leader, "another leader")
        rig.acts(3)
        answered(rig)

    rig.play(script)
    judge(rig)


def test_disks_that_fill_slow_down_fail_a_sync_and_lose_what_was_not_synced(tmp_path):
    rig = CouncilRig(tmp_path, task=ACT, clients=2, disk={"loses": True})

    def script(rig):
        rig.acts(3)
        leader = rig.leader()
        rig.parts[leader].say({"fsize": 1})  # a limit of the system's, beneath what the files hold
        rig.until(lambda: any(who == leader and what == "cannot write" for who, what, _ in rig.said), "full")
        rig.until(lambda: rig.leader() != leader, "another leader")
        answered(rig)
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
        answered(rig)
        for name in rig.members:  # all at once, with whatever they had not synced
            rig.kill(name)
        for name in rig.members:
            rig.start(name)
        rig.acts(3)
        answered(rig)

    rig.play(script)
    judge(rig)


def test_a_flipped_bit_and_a_lost_folder(tmp_path):
    rig = CouncilRig(tmp_path, task=ACT, clients=1)

    def script(rig):
        rig.acts(3)
        hurt = next(name for name in rig.members if name != rig.leader())
        rig.kill(hurt)
        answered(rig)
        logs = sorted((rig.folder / hurt).glob("log-*"), key=lambda path: path.stat().st_size)
        flip(logs[-1], logs[-1].stat().st_size // 2)
        rig.start(hurt)
        rig.until(lambda: any(who == hurt and what == "cannot open" for who, what, _ in rig.said), "damage")
        rig.acts(3)
        rig.kill(hurt)
        rig.lose(hurt)  # as an operator does with what is damaged
        rig.start(hurt)
        rig.until(lambda: (rig.state(hurt) or {}).get("part") == "follower", "a vote for its new life")
        lives = {
            facts["incarnation"]
            for who, what, facts in rig.said
            if (who, what) == (hurt, "raft member started")
        }
        assert len(lives) == 2
        other = next(name for name in rig.members if name != hurt)
        rig.kill(other)  # a majority rests on the new life now
        rig.acts(3)
        answered(rig)

    rig.play(script)
    judge(rig)


def flip(path: Path, place: int):
    data = bytearray(path.read_bytes())
    data[place] ^= 1
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
def test_the_verdict_on_acts_can_fail(seen, wrong):
    what = {"b": "begin", "e": "end"}
    told = overlaps(Seen("t", one[0], 1, what[one[2]], 0, int(one[1]), True) for one in seen.split())
    assert len(told) == wrong


def test_the_verdict_on_histories_can_fail():
    lines = [
        [0, "c", 0, "asked", ["put", "a", 3]],
        [1, "c", 0, "got", True],
        [2, "c", 1, "asked", ["get", "a"]],
        [3, "c", 1, "got", 2],
    ]
    assert isinstance(check(operations(lines), start=0), Broken)
    lines[-1][-1] = 3
    assert isinstance(check(operations(lines), start=0), Linearizable)
