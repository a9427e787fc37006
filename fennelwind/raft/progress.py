"""What a leader knows of one other member, and how much it may have on its way to it. No I/O."""

from collections import deque
from dataclasses import dataclass, field

from fennelwind.raft import council_pb2 as pb

FIRST_MOST, LEAST_MOST = 64 * 1024, 16 * 1024  # bytes of one message: until a way is known, and at the least

PROBE, STREAM, PIECES = "probe", "stream", "pieces"  # one message at a time, several, a snapshot first


@dataclass(slots=True)
class Progress:
    """One member's log as its leader sees it."""

    next: int  # the entry to send next
    heard: float  # ms, when its last answer came
    match: int = 0  # up to here its log is on its disk and as the leader's
    way: str = PROBE
    waits: bool = False  # a probe or a piece is out
    asked: float = 0.0  # ms, when it left
    under_way: deque[int] = field(default_factory=deque)  # last index of each message without an answer
    round: int = 0  # the last round that it answered
    commit: int = 0  # the last that it was told
    cannot_write: bool = False
    head: pb.SnapshotHead | None = None  # the snapshot that is being sent
    data: bytes = b""
    offset: int = 0  # all before it has come
    most: int = FIRST_MOST  # bytes of one message, so that it is no cause to miss a heartbeat
    leaves_at: int = 0  # the index that removes it; 0: it is a member
    leaves_by: float = 0.0  # ms, when it is no longer told that it was removed

    def pace(self, late: bool, most: int) -> None:
        """A round came back: late ones halve what is sent at once, others double it."""
        self.most = max(self.most // 2, LEAST_MOST) if late else min(self.most * 2, max(most, LEAST_MOST))

    def took(self, index: int) -> None:
        """It agrees and has all on its disk up to here."""
        self.match = max(self.match, index)
        while self.under_way and self.under_way[0] <= self.match:
            self.under_way.popleft()
        if self.way == PIECES and self.head is not None and self.match < self.head.index:
            return
        if self.way != STREAM:
            self.way, self.waits = STREAM, False
            self.next = self.match + 1
            self.under_way.clear()
            self.head, self.data, self.offset = None, b"", 0
        self.next = max(self.next, self.match + 1)

    def back(self, index: int) -> None:
        """It lacks what was sent; try behind this index, but never behind what is known to agree."""
        if self.way == PIECES:
            return
        self.next = max(min(index, self.next - 1), self.match) + 1
        self.way, self.waits = PROBE, False
        self.under_way.clear()

    def send_pieces(self, head: pb.SnapshotHead, data: bytes) -> None:
        """Send it a snapshot, as the entries that it lacks are no longer held."""
        self.way, self.waits, self.head, self.data, self.offset = PIECES, False, head, data, 0
        self.under_way.clear()
