"""What a leader knows of one other member, and how much it may have on its way to it. No I/O."""

from collections import deque
from dataclasses import dataclass, field

from fennelwind.raft import council_pb2 as pb

INITIAL_MESSAGE_BYTES = 64 * 1024  # bytes of one message, until round-trip times are known
MIN_MESSAGE_BYTES = 16 * 1024  # bytes of one message at least

PROBE, STREAM, PIECES = "probe", "stream", "pieces"  # one message at a time; several; snapshot chunks first


@dataclass(slots=True)
class Progress:
    """One member's log as its leader sees it."""

    next_index: int  # the entry to send next
    last_response_ms: float  # ms, when its last answer came
    match_index: int = 0  # up to here its log is on its disk and as the leader's
    mode: str = PROBE
    is_awaiting_response: bool = False  # a probe or a piece is out
    sent_ms: float = 0.0  # ms, when it left
    in_flight: deque[int] = field(default_factory=deque)  # last index of each message without an answer
    acknowledged_round: int = 0  # the last round that it answered
    sent_commit_index: int = 0  # the last that it was told
    cannot_write: bool = False
    snapshot_head: pb.SnapshotHead | None = None  # the snapshot that is being sent
    snapshot_data: bytes = b""
    snapshot_offset: int = 0  # all before it has come
    max_message_bytes: int = (
        INITIAL_MESSAGE_BYTES  # bytes of one message, so that it is no cause to miss a heartbeat
    )
    removal_index: int = 0  # the index that removes it; 0: it is a member
    removal_notice_until_ms: float = 0.0  # ms, when it is no longer told that it was removed

    def adapt_message_size(self, late: bool, most: int) -> None:
        """Halve the message size after a slow round, double it after a fast one."""
        self.max_message_bytes = (
            max(self.max_message_bytes // 2, MIN_MESSAGE_BYTES)
            if late
            else min(self.max_message_bytes * 2, max(most, MIN_MESSAGE_BYTES))
        )

    def record_match(self, index: int) -> None:
        """Its log matches the leader's, on its disk, up to here."""
        self.match_index = max(self.match_index, index)
        while self.in_flight and self.in_flight[0] <= self.match_index:
            self.in_flight.popleft()
        if (
            self.mode == PIECES
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
        """The member rejected an append.

        Probe from after this index, but never from before `match_index` + 1.
        """
        if self.mode == PIECES:
            return
        self.next_index = max(min(index, self.next_index - 1), self.match_index) + 1
        self.mode, self.is_awaiting_response = PROBE, False
        self.in_flight.clear()

    def start_snapshot(self, head: pb.SnapshotHead, data: bytes) -> None:
        """Send it a snapshot, as the entries that it lacks are no longer in the log."""
        self.mode, self.is_awaiting_response, self.snapshot_head, self.snapshot_data, self.snapshot_offset = (
            PIECES,
            False,
            head,
            data,
            0,
        )
        self.in_flight.clear()
