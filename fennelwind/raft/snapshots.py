"""A member's snapshot: taken when its log has grown, or come in pieces from a leader. No I/O."""

from typing import TYPE_CHECKING

from fennelwind.raft import council_pb2 as pb
from fennelwind.raft.log import Log
from fennelwind.raft.messages import DurableState, Restore, Snapshot, TakeSnapshot, Write
from fennelwind.raft.snapshot_chunks import SNAPSHOT_MOST, Incoming, head_of

if TYPE_CHECKING:
    from fennelwind.raft.member import RaftMember

ENTRIES_TIMES = 4  # times the kept entries: so many behind the last snapshot make one due, however small
KEPT_PART = 4  # the kept entries have at most this part of the log's bytes, or a snapshot would free nothing


class Snapshots:
    """The snapshot on the disk, the one being written, the one coming in."""

    def __init__(self, core: "RaftMember", durable: DurableState) -> None:
        self.core = core
        self.head, self.data = durable.head, durable.snapshot
        self.incoming = Incoming()
        self.installing: tuple[int, pb.SnapshotHead, bytes] | None = None  # by the number of its write
        self.compacting: tuple[int, pb.SnapshotHead, bytes, int] | None = None
        self.asked = False
        self.refused = 0  # the last index at which one was too large
        if self.head is not None:
            core.out.append(Restore(self.head, self.data))

    @property
    def index(self) -> int:
        """The last entry in the snapshot; 0: there is none."""
        return self.head.index if self.head is not None else 0

    def want(self) -> None:
        """Ask for a snapshot when the log is long."""
        core, timing = self.core, self.core.timing
        behind = core.given - self.index
        if self.refused and core.given - self.refused < timing.kept_entries:
            return  # a state that was too large is so for a while, and each taking of it costs seconds
        large = core.log.size > timing.log_most or behind > ENTRIES_TIMES * timing.kept_entries
        busy = self.asked or self.compacting is not None or self.installing is not None
        if large and behind and not busy and not core.mute and core.part != "outside":
            self.asked = True
            core.out.append(TakeSnapshot())

    def write(self, head: pb.SnapshotHead, data: bytes, keep_from: int, cut_after: int | None = None) -> int:
        """Write a snapshot in a step of its own, behind what this step has gathered; return its number."""
        core, writes = self.core, self.core.writes
        gathered = writes.flush(core.log.last)
        if gathered is not None:
            core.out.append(gathered)
        number = writes.another()
        core.out.append(Write(number, cut_after=cut_after, head=head, snapshot=data, keep_from=keep_from))
        return number

    def taken(self, event: Snapshot) -> None:
        """Write the snapshot that the carrier took; the log is shortened once it is on the disk."""
        core, log, timing = self.core, self.core.log, self.core.timing
        self.asked = False
        term = log.term(event.index)
        busy = self.compacting is not None or self.installing is not None
        if core.mute or busy or term is None or not self.index < event.index <= core.given:
            return
        if len(event.data) > SNAPSHOT_MOST:
            core.counts["snapshot too large"] += 1
            self.refused = event.index
            return
        members = log.config_at(event.index).members
        head = head_of(event.index, term, event.clock_ms, members, event.data)
        keep_from, size = event.index + 1, 0
        while keep_from > max(log.base + 1, event.index + 1 - timing.kept_entries):
            size += log.entries[keep_from - log.base - 2].ByteSize()
            if size > timing.log_most // KEPT_PART:
                break
            keep_from -= 1
        self.compacting = (self.write(head, event.data, keep_from), head, event.data, keep_from)

    def piece(self, piece: pb.Piece) -> None:
        """Take a piece of a leader's snapshot; write the whole when it is there."""
        core, head = self.core, piece.head
        core.round = max(core.round, piece.round)
        if core.mute or self.installing is not None:
            return
        if head.size > SNAPSHOT_MOST or head.term > core.term:
            core.counts["malformed"] += 1
            return
        if head.index <= core.commit:  # it has all that
            core.agreed, core.answer_due = max(core.agreed, head.index), True
            return
        whole = self.incoming.take(piece)
        if whole is not None:
            self.incoming.drop()
            held = core.log.term(head.index) == head.term
            number = self.write(
                head, whole, core.log.base + 1 if held else head.index + 1, None if held else head.index
            )
            self.installing = (number, head, whole)
            return
        core.send(
            core.leader,
            pb.Message(
                term=core.term,
                piece_answer=pb.PieceAnswer(
                    index=head.index, offset=len(self.incoming.data), round=core.round
                ),
            ),
        )

    def written(self, number: int) -> None:
        """Go on from a snapshot that is on the disk."""
        if self.compacting is not None and self.compacting[0] <= number:
            _, self.head, self.data, keep_from = self.compacting
            self.compacting = None
            self.core.log.compact(keep_from - 1)
        if self.installing is not None and self.installing[0] <= number:
            _, head, data = self.installing
            self.installing = None
            self.adopt(head, data, Log(head, ()))
            self.core.agreed = max(self.core.agreed, head.index)

    def failed(self) -> None:
        """Forget what was being written or came in."""
        self.installing = self.compacting = None
        self.asked = False
        self.incoming.drop()

    def adopt(self, head: pb.SnapshotHead, data: bytes, log: Log) -> None:
        """Take a snapshot that is on the disk; a log that doesn't reach it is replaced."""
        core = self.core
        self.head, self.data = head, data
        if core.log.term(head.index) != head.term:
            core.log = log
            core.writes.replaced(log.last)
        core.commit = max(core.commit, head.index)
        if head.index > core.given:
            core.given = head.index
            core.out.append(Restore(head, data))
