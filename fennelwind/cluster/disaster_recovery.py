"""The way back when a majority of the members is lost for good: one that is left founds the record anew.

What it has and the others had not agreed on is agreed from then on; what the others had agreed on and it has
not is lost. Fences are indexes of the record, and none may come twice: so it begins far behind all that the
lost ones can have given out.
"""

from dataclasses import dataclass

from fennelwind.cluster.member_folder import Folder
from fennelwind.raft import council_pb2 as pb
from fennelwind.raft.log import Log
from fennelwind.raft.messages import DurableState, Write

JUMP = 100_000  # entries left out; a member that is further behind takes a snapshot and is no fit heir


@dataclass(slots=True, frozen=True)
class Left:
    """What a member's folder holds; of several the one with the highest (last_term, last) lost least."""

    name: str
    last_term: int
    last: int
    clock_ms: int
    members: tuple[str, ...]

    @property
    def majority(self) -> int:
        """How many of its members could go on without any rescue."""
        return len(self.members) // 2 + 1


def look(durable: DurableState) -> Left:
    """Return what there is."""
    log = Log(durable.snapshot_head, durable.entries)
    return Left(
        durable.me.name,
        log.last_term,
        log.last_index,
        _clock(durable),
        tuple(member.name for member in log.configuration.members.members),
    )


def found_alone(folder: Folder, durable: DurableState, address: str) -> Left:
    """Make this member the only one. Raises `StoreError` and `DiskError`; nothing is changed then."""
    left, me = look(durable), durable.me
    term = max(durable.hard_state.term, left.last_term) + 1
    alone = pb.Members(members=[pb.Member(name=me.name, life=me.life, address=address, votes=True)])
    entries = [pb.Entry(term=term, index=left.last + 1, clock_ms=left.clock_ms, members=alone)]
    entries += [
        pb.Entry(term=term, index=left.last + 1 + n, clock_ms=left.clock_ms, nothing=True)
        for n in range(1, JUMP)
    ]
    hard = pb.HardState(term=term, voted_name=me.name, voted_life=me.life)
    folder.write([Write(1, hard_state=hard, entries=tuple(entries))])
    return Left(me.name, term, entries[-1].index, left.clock_ms, (me.name,))


def _clock(durable: DurableState) -> int:
    if durable.entries:
        return durable.entries[-1].clock_ms
    return durable.snapshot_head.clock_ms if durable.snapshot_head is not None else 0
