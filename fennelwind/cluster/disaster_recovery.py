"""Recovery after a majority of the members is lost for good: one survivor restarts the log alone.

Entries that the survivor holds become committed, even if they had not been before; committed entries that
the survivor lacks are lost. Fencing tokens are indexes of the log and must never be reused, so the log
continues far beyond any index that the lost members can have issued. `cli.council` calls these functions
while the member is down.
"""

from dataclasses import dataclass

from fennelwind.cluster.member_folder import MemberFolder
from fennelwind.raft import council_pb2 as pb
from fennelwind.raft.log import Log
from fennelwind.raft.messages import DurableState, Write

SKIPPED_ENTRIES = 100_000  # a fit survivor lacks fewer: a member this far behind is sent a snapshot


@dataclass(slots=True, frozen=True)
class FolderSummary:
    """What a member's folder holds; the folder with the highest (last_term, last) lost the fewest entries."""

    name: str
    last_term: int
    last: int
    clock_ms: int
    members: tuple[str, ...]

    @property
    def majority(self) -> int:
        """The number of members that could continue without recovery."""
        return len(self.members) // 2 + 1


def summarize(durable: DurableState) -> FolderSummary:
    """Return a summary of what a folder holds."""
    log = Log(durable.snapshot_head, durable.entries)
    return FolderSummary(
        durable.me.name,
        log.last_term,
        log.last_index,
        _clock_ms(durable),
        tuple(member.name for member in log.configuration.members.members),
    )


def restart_alone(folder: MemberFolder, durable: DurableState, address: str) -> FolderSummary:
    """Make this member the only one. Raises `StoreError` and `DiskError`; in that case nothing is changed."""
    previous, me = summarize(durable), durable.me
    term = max(durable.hard_state.term, previous.last_term) + 1
    alone = pb.Members(members=[pb.Member(name=me.name, life=me.id, address=address, votes=True)])
    entries = [pb.Entry(term=term, index=previous.last + 1, clock_ms=previous.clock_ms, members=alone)]
    entries += [
        pb.Entry(term=term, index=previous.last + 1 + offset, clock_ms=previous.clock_ms, nothing=True)
        for offset in range(1, SKIPPED_ENTRIES)
    ]
    hard = pb.HardState(term=term, voted_name=me.name, voted_life=me.id)
    folder.write([Write(1, hard_state=hard, entries=tuple(entries))])
    return FolderSummary(me.name, term, entries[-1].index, previous.clock_ms, (me.name,))


def _clock_ms(durable: DurableState) -> int:
    if durable.entries:
        return durable.entries[-1].clock_ms
    return durable.snapshot_head.clock_ms if durable.snapshot_head is not None else 0
