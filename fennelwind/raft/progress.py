"""A leader's view of one peer's log, with flow control for the messages sent to that peer. No I/O."""

from collections import deque
from dataclasses import dataclass, field

from fennelwind.raft import council_pb2 as pb

INITIAL_MESSAGE_BYTES = 64 * 1024  # message size until round-trip times are known
MIN_MESSAGE_BYTES = 16 * 1024

# PROBE has one append request in flight, STREAM several; SNAPSHOT sends snapshot chunks before any entries.
PROBE, STREAM, SNAPSHOT = "probe", "stream", "pieces"


@dataclass(slots=True)
class Progress:
    """The progress of replication to one peer."""

    next_index: int  # index of the next entry to send
    last_response_ms: float  # when the peer's last response arrived
    match_index: int = 0  # up to this index the peer's log is durable and matches the leader's
    mode: str = PROBE
    is_awaiting_response: bool = False  # a probe or a snapshot chunk is in flight
    sent_ms: float = 0.0  # when the last probe or snapshot chunk was sent
    in_flight: deque[int] = field(default_factory=deque)  # last index of each unacknowledged message
    acknowledged_round: int = 0  # the latest round that the peer responded to
    sent_commit_index: int = 0  # the latest commit index sent to the peer
    cannot_write: bool = False
    snapshot_head: pb.SnapshotHead | None = None  # the snapshot being sent
    snapshot_data: bytes = b""
    snapshot_offset: int = 0  # bytes of the snapshot that the peer has received
    max_message_bytes: int = INITIAL_MESSAGE_BYTES  # kept small enough not to delay heartbeats
    removal_index: int = 0  # index of the entry that removes the peer; 0 if the peer is a member
    removal_notice_until_ms: float = 0.0  # latest time at which a removed peer still gets entries

    def adapt_message_size(self, is_slow: bool, max_bytes: int) -> None:
        """Halve the message size after a slow round, double it after a fast one."""
        self.max_message_bytes = (
            max(self.max_message_bytes // 2, MIN_MESSAGE_BYTES)
            if is_slow
            else min(self.max_message_bytes * 2, max(max_bytes, MIN_MESSAGE_BYTES))
        )

    def record_match(self, index: int) -> None:
        """Record that the peer's durable log matches the leader's up to this index."""
        self.match_index = max(self.match_index, index)
        while self.in_flight and self.in_flight[0] <= self.match_index:
            self.in_flight.popleft()
        if (
            self.mode == SNAPSHOT
            and self.snapshot_head is not None
            and self.match_index < self.snapshot_head.index
        ):
            return
        if self.mode != STREAM:
            self.mode, self.is_awaiting_response = STREAM, False
            self.next_index = self.match_index + 1
            self.in_flight.clear()
            self.snapshot_head, self.snapshot_data, self.snapshot_offset = None, b"", 0
        self.next_index = max(self.next_index, self.match_index + 1)

    def backtrack(self, index: int) -> None:
        """After a rejected append, probe from at most `index` + 1 and at least `match_index` + 1."""
        if self.mode == SNAPSHOT:
            return
        self.next_index = max(min(index, self.next_index - 1), self.match_index) + 1
        self.mode, self.is_awaiting_response = PROBE, False
        self.in_flight.clear()

    def start_snapshot(self, head: pb.SnapshotHead, data: bytes) -> None:
        """Switch to sending a snapshot: the entries that the peer lacks are no longer in the log."""
        self.mode, self.is_awaiting_response, self.snapshot_head, self.snapshot_data, self.snapshot_offset = (
            SNAPSHOT,
            False,
            head,
            data,
            0,
        )
        self.in_flight.clear()
