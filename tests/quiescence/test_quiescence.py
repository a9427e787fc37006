"""Quiescence without I/O: random faults against an oracle, planted defects, early drops of replicas."""

import pytest
from clearance_defects import find_defect
from clearance_play import Play

from fennelwind.raft.state_machine import LogPosition
from fennelwind.shards import shards_pb2 as pb
from fennelwind.shards.state_machine import ShardMachine

DAYS = 4  # about 0.4 s each; `clearance_defects.py` and results/clearance.md have more


def test_no_query_is_in_flight_or_starts_where_quiescence_was_reported():
    counts = {}
    for seed in range(DAYS):
        for event, count in Play(seed).play().items():
            counts[event] = counts.get(event, 0) + count
    assert min(counts[event] for event in ("cleared", "kept away", "open", "silent")) >= 50, counts


@pytest.mark.parametrize(
    "title",
    [
        "an acknowledgement counts for requests that are younger than its view",
        "a query whose answer nobody waits for is over",
        "the registry counts from its first entry on",
    ],
)
def test_a_planted_defect_is_found(title):
    assert find_defect(title, 20) is not None


class Facts:
    def __init__(self, level):
        self.level = level

    def fact(self, kind, key):
        return {"fence": 7, "level": self.level}.get(kind, 0)


@pytest.mark.parametrize(
    ("level", "cleared", "refusal"),
    [(1, True, pb.Answer.WAITS), (2, False, pb.Answer.WAITS), (2, True, pb.Answer.NONE)],
)
def test_a_quiesced_replica_is_dropped_early_from_the_second_level_on(level, cleared, refusal):
    state = pb.State(last_move=1)
    state.shards.add(name="t/", table="t", size=1, copies=1, zones=1)
    for engine, replica_state in (("e0", "leaving"), ("e1", "good")):
        state.homes.add(name=engine, life="ready")
        state.copies.add(shard="t/", engine=engine, state=replica_state)
    state.moves.add(number=1, shard="t/", target="e1", drops="e0", step="switched")
    machine = ShardMachine()
    machine.restore(state.SerializeToString())
    command = pb.Command(fence=7, step=pb.Step(move=1, kind=pb.Step.DROP, cleared=cleared))
    answer = pb.Answer.FromString(
        machine.apply(LogPosition(9, 100), command.SerializeToString(), Facts(level))
    )
    assert answer.refusal == refusal
    assert machine.waiting() == ([] if refusal == pb.Answer.NONE else [("t/", "e0")])
