"""A member's snapshots: taken when its log has grown, or received in chunks from a leader. No I/O."""

from typing import TYPE_CHECKING

from fennelwind.raft import council_pb2 as pb
from fennelwind.raft.log import Log
from fennelwind.raft.messages import DurableState, Restore, Snapshot, TakeSnapshot, Write
from fennelwind.raft.snapshot_chunks import MAX_SNAPSHOT_BYTES, SnapshotReceiver, make_snapshot_head

if TYPE_CHECKING:
    from fennelwind.raft.member import RaftMember

# A snapshot is due after this many times `retained_entries`, whatever the log's size in bytes.
SNAPSHOT_ENTRIES_FACTOR = 4
# Retained entries take at most this part of `max_log_bytes`; else a snapshot would free nothing.
RETAINED_LOG_DIVISOR = 4


class Snapshots:
    """The snapshot on the disk, the one being written, the one coming in."""

    def __init__(self, member: "RaftMember", durable: DurableState) -> None:
        self.member = member
        self.head, self.data = durable.snapshot_head, durable.snapshot
        self.incoming = SnapshotReceiver()
        self.installing: tuple[int, pb.SnapshotHead, bytes] | None = None  # by the number of its write
        self.compacting: tuple[int, pb.SnapshotHead, bytes, int] | None = None
        self.is_requested = False
        self.oversized_index = 0  # the last index at which one was too large
        if self.head is not None:
            member.actions.append(Restore(self.head, self.data))

    @property
    def index(self) -> int:
        """The last entry in the snapshot; 0: there is none."""
        return self.head.index if self.head is not None else 0

    def request_if_due(self) -> None:
        """Ask for a snapshot when the log is long."""
        member, timing = self.member, self.member.timing
        behind = member.delivered_index - self.index
        if self.oversized_index and member.delivered_index - self.oversized_index < timing.retained_entries:
            return  # a state that was too large is so for a while, and each taking of it costs seconds
        large = (
            member.log.size_bytes > timing.max_log_bytes
            or behind > SNAPSHOT_ENTRIES_FACTOR * timing.retained_entries
        )
        busy = self.is_requested or self.compacting is not None or self.installing is not None
        if large and behind and not busy and not member.storage_failed and member.role != "outside":
            self.is_requested = True
            member.actions.append(TakeSnapshot())

    def write(self, head: pb.SnapshotHead, data: bytes, keep_from: int, cut_after: int | None = None) -> int:
        """Write a snapshot in a step of its own, behind what this step has gathered; return its number."""
        member, writes = self.member, self.member.pending_writes
        gathered = writes.flush(member.log.last_index)
        if gathered is not None:
            member.actions.append(gathered)
        number = writes.reserve_number()
        member.actions.append(
            Write(number, truncate_after=cut_after, snapshot_head=head, snapshot=data, retain_from=keep_from)
        )
        return number

    def save_taken(self, event: Snapshot) -> None:
        """Write the snapshot that the carrier took; the log is shortened once it is on the disk."""
        member, log, timing = self.member, self.member.log, self.member.timing
        self.is_requested = False
        term = log.term(event.index)
        busy = self.compacting is not None or self.installing is not None
        if (
            member.storage_failed
            or busy
            or term is None
            or not self.index < event.index <= member.delivered_index
        ):
            return
        if len(event.data) > MAX_SNAPSHOT_BYTES:
            member.counters["snapshot too large"] += 1
            self.oversized_index = event.index
            return
        members = log.configuration_at(event.index).members
        head = make_snapshot_head(event.index, term, event.clock_ms, members, event.data)
        keep_from, size = event.index + 1, 0
        while keep_from > max(log.base_index + 1, event.index + 1 - timing.retained_entries):
            size += log.entries[keep_from - log.base_index - 2].ByteSize()
            if size > timing.max_log_bytes // RETAINED_LOG_DIVISOR:
                break
            keep_from -= 1
        self.compacting = (self.write(head, event.data, keep_from), head, event.data, keep_from)

    def handle_chunk(self, piece: pb.Piece) -> None:
        """Take a piece of a leader's snapshot; write the whole when it is there."""
        member, head = self.member, piece.head
        member.leader_round = max(member.leader_round, piece.round)
        if member.storage_failed or self.installing is not None:
            return
        if head.size > MAX_SNAPSHOT_BYTES or head.term > member.term:
            member.counters["malformed"] += 1
            return
        if head.index <= member.commit_index:  # it has all that
            member.leader_match_index, member.append_response_due = (
                max(member.leader_match_index, head.index),
                True,
            )
            return
        whole = self.incoming.add_chunk(piece)
        if whole is not None:
            self.incoming.reset()
            held = member.log.term(head.index) == head.term
            number = self.write(
                head,
                whole,
                member.log.base_index + 1 if held else head.index + 1,
                None if held else head.index,
            )
            self.installing = (number, head, whole)
            return
        member.send(
            member.leader,
            pb.Message(
                term=member.term,
                piece_answer=pb.PieceAnswer(
                    index=head.index, offset=len(self.incoming.data), round=member.leader_round
                ),
            ),
        )

    def handle_write_completed(self, number: int) -> None:
        """Go on from a snapshot that is on the disk."""
        if self.compacting is not None and self.compacting[0] <= number:
            _, self.head, self.data, keep_from = self.compacting
            self.compacting = None
            self.member.log.compact(keep_from - 1)
        if self.installing is not None and self.installing[0] <= number:
            _, head, data = self.installing
            self.installing = None
            self.install(head, data, Log(head, ()))
            self.member.leader_match_index = max(self.member.leader_match_index, head.index)

    def discard_pending(self) -> None:
        """Forget what was being written or came in."""
        self.installing = self.compacting = None
        self.is_requested = False
        self.incoming.reset()

    def install(self, head: pb.SnapshotHead, data: bytes, log: Log) -> None:
        """Take a snapshot that is on the disk; a log that doesn't reach it is replaced."""
        member = self.member
        self.head, self.data = head, data
        if member.log.term(head.index) != head.term:
            member.log = log
            member.pending_writes.reset_durable_index(log.last_index)
        member.commit_index = max(member.commit_index, head.index)
        if head.index > member.delivered_index:
            member.delivered_index = head.index
            member.actions.append(Restore(head, data))
