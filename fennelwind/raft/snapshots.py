"""A member's snapshots: taken when its log has grown, or received in chunks from a leader. No I/O."""

from typing import TYPE_CHECKING

from fennelwind.raft import council_pb2 as pb
from fennelwind.raft.log import Log
from fennelwind.raft.messages import DurableState, Restore, Snapshot, TakeSnapshot, Write
from fennelwind.raft.snapshot_chunks import MAX_SNAPSHOT_BYTES, SnapshotReceiver, make_snapshot_head

if TYPE_CHECKING:
    from fennelwind.raft.member import RaftMember

# A snapshot is due after this many times `retained_entries` entries, whatever the log's size in bytes.
SNAPSHOT_ENTRIES_FACTOR = 4
# Retained entries take at most `max_log_bytes` divided by this; otherwise a snapshot would free nothing.
RETAINED_LOG_DIVISOR = 4


class Snapshots:
    """The durable snapshot, the one being written, and the one being received."""

    def __init__(self, member: "RaftMember", durable: DurableState) -> None:
        self.member = member
        self.head, self.data = durable.snapshot_head, durable.snapshot
        self.incoming = SnapshotReceiver()
        self.installing: tuple[int, pb.SnapshotHead, bytes] | None = None  # write's number, header, data
        # Write's number, header, data, first index to retain.
        self.compacting: tuple[int, pb.SnapshotHead, bytes, int] | None = None
        self.is_requested = False
        self.oversized_index = 0  # the last index at which a snapshot was too large; 0 if none was
        if self.head is not None:
            member.actions.append(Restore(self.head, self.data))

    @property
    def index(self) -> int:
        """The index of the last entry in the snapshot; 0 without a snapshot."""
        return self.head.index if self.head is not None else 0

    def request_if_due(self) -> None:
        """Request a snapshot when the log is long."""
        member, timing = self.member, self.member.timing
        uncovered_entries = member.delivered_index - self.index
        if self.oversized_index and member.delivered_index - self.oversized_index < timing.retained_entries:
            return  # the state stays too large for a while, and each snapshot of it takes seconds
        is_log_long = (
            member.log.size_bytes > timing.max_log_bytes
            or uncovered_entries > SNAPSHOT_ENTRIES_FACTOR * timing.retained_entries
        )
        is_busy = self.is_requested or self.compacting is not None or self.installing is not None
        if (
            is_log_long
            and uncovered_entries
            and not is_busy
            and not member.storage_failed
            and member.role != "outside"
        ):
            self.is_requested = True
            member.actions.append(TakeSnapshot())

    def write(
        self, head: pb.SnapshotHead, data: bytes, retain_from: int, truncate_after: int | None = None
    ) -> int:
        """Write a snapshot separately, after the changes collected in this step; return the write number."""
        member, writes = self.member, self.member.pending_writes
        collected = writes.flush(member.log.last_index)
        if collected is not None:
            member.actions.append(collected)
        number = writes.reserve_number()
        member.actions.append(
            Write(
                number,
                truncate_after=truncate_after,
                snapshot_head=head,
                snapshot=data,
                retain_from=retain_from,
            )
        )
        return number

    def save_taken(self, event: Snapshot) -> None:
        """Write the snapshot that the host took; the log is compacted once the snapshot is durable."""
        member, log, timing = self.member, self.member.log, self.member.timing
        self.is_requested = False
        term = log.term(event.index)
        is_busy = self.compacting is not None or self.installing is not None
        if (
            member.storage_failed
            or is_busy
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
        retain_from, size = event.index + 1, 0
        while retain_from > max(log.base_index + 1, event.index + 1 - timing.retained_entries):
            size += log.entries[retain_from - log.base_index - 2].ByteSize()
            if size > timing.max_log_bytes // RETAINED_LOG_DIVISOR:
                break
            retain_from -= 1
        self.compacting = (self.write(head, event.data, retain_from), head, event.data, retain_from)

    def handle_chunk(self, chunk: pb.Piece) -> None:
        """Receive a chunk of a leader's snapshot; write the snapshot once it is complete."""
        member, head = self.member, chunk.head
        member.leader_round = max(member.leader_round, chunk.round)
        if member.storage_failed or self.installing is not None:
            return
        if head.size > MAX_SNAPSHOT_BYTES or head.term > member.term:
            member.counters["malformed"] += 1
            return
        if head.index <= member.commit_index:  # this member has committed all entries in the snapshot
            member.leader_match_index, member.append_response_due = (
                max(member.leader_match_index, head.index),
                True,
            )
            return
        data = self.incoming.add_chunk(chunk)
        if data is not None:
            self.incoming.reset()
            is_in_log = member.log.term(head.index) == head.term
            number = self.write(
                head,
                data,
                member.log.base_index + 1 if is_in_log else head.index + 1,
                None if is_in_log else head.index,
            )
            self.installing = (number, head, data)
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
        """Compact the log up to a durable snapshot of this member; install a durable one from the leader."""
        if self.compacting is not None and self.compacting[0] <= number:
            _, self.head, self.data, retain_from = self.compacting
            self.compacting = None
            self.member.log.compact(retain_from - 1)
        if self.installing is not None and self.installing[0] <= number:
            _, head, data = self.installing
            self.installing = None
            self.install(head, data, Log(head, ()))
            self.member.leader_match_index = max(self.member.leader_match_index, head.index)

    def discard_pending(self) -> None:
        """Discard snapshots being written or received."""
        self.installing = self.compacting = None
        self.is_requested = False
        self.incoming.reset()

    def install(self, head: pb.SnapshotHead, data: bytes, log: Log) -> None:
        """Install a durable snapshot; if the log lacks the snapshot's last entry, replace it by `log`."""
        member = self.member
        self.head, self.data = head, data
        if member.log.term(head.index) != head.term:
            member.log = log
            member.pending_writes.reset_durable_index(log.last_index)
        member.commit_index = max(member.commit_index, head.index)
        if head.index > member.delivered_index:
            member.delivered_index = head.index
            member.actions.append(Restore(head, data))
