"""The interface between the Raft core, which decides, and its host (`cluster.raft_host`), which does the I/O.

Events go in and actions come out: `RaftMember.step(now, events) -> actions`. Times are ms on the member's own
clock, which never goes back. The host carries out writes in order, sends messages without waiting, and passes
the results to the core as events. The core holds back every message that depends on a write until the write's
`WriteCompleted`.
"""

from dataclasses import dataclass, field
from typing import NamedTuple

from fennelwind.raft import council_pb2 as pb


class Incarnation(NamedTuple):
    """The identity of a member: its name, and a random id drawn when its folder was created."""

    name: str
    id: bytes


@dataclass(slots=True, frozen=True)
class Timing:
    """A member's timeouts, in ms, and its limits."""

    heartbeat_ms: float = 50.0
    election_timeout_ms: float = 300.0  # each election timer draws a value between this and twice this
    max_append_bytes: int = 512 * 1024  # bytes of entries in one message
    max_in_flight_appends: int = 4  # unacknowledged messages with entries per peer
    max_chunk_bytes: int = 256 * 1024  # bytes of a snapshot in one message
    max_pending_proposals: int = 4096  # proposals waiting for their entry to be committed
    max_pending_reads: int = 4096  # reads waiting for a majority to confirm the leader
    retained_entries: int = 10_000  # entries that a snapshot covers, kept for members that lag a little
    max_log_bytes: int = 64 * 1024 * 1024  # a larger log is compacted; at twice this, proposals are rejected
    # While something is going to expire, an entry is appended at least this often to advance the clock.
    clock_entry_interval_ms: float = 1000.0


@dataclass(slots=True)
class DurableState:
    """The contents of a member's folder when it was opened."""

    me: Incarnation
    hard_state: pb.HardState = field(default_factory=pb.HardState)
    snapshot_head: pb.SnapshotHead | None = None
    snapshot: bytes = b""
    entries: list[pb.Entry] = field(default_factory=list)  # contiguous; the snapshot may cover the first ones


# Events.


@dataclass(slots=True, frozen=True)
class MessageReceived:
    """A message from another member, identified by the hello of its connection."""

    sender: Incarnation
    message: pb.Message


@dataclass(slots=True, frozen=True)
class WriteCompleted:
    """All writes up to this number are durable."""

    number: int


@dataclass(slots=True, frozen=True)
class WriteFailed:
    """The write with this number failed, and so did all later ones; none of them counts as durable.

    Until `StorageRecovered` the member neither votes, nor acknowledges entries, nor leads.
    """

    number: int
    is_disk_full: bool


@dataclass(slots=True, frozen=True)
class StorageRecovered:
    """The folder accepts writes again and was read again."""

    durable: DurableState


@dataclass(slots=True, frozen=True)
class DiskSpaceLow:
    """The disk is nearly full: a leader transfers leadership while it still can."""


@dataclass(slots=True, frozen=True)
class Propose:
    """A command to replicate; answered by a `ProposalOutcome` with this token."""

    token: int
    command: pb.Command


@dataclass(slots=True, frozen=True)
class ReadRequested:
    """A linearizable read; answered by a `ReadOutcome` with this token."""

    token: int


@dataclass(slots=True, frozen=True)
class Applied:
    """The host has applied entries up to this index.

    `next_expiry_clock_ms` is when something in the replicated state expires next, on the replicated clock.
    """

    index: int
    next_expiry_clock_ms: int | None


@dataclass(slots=True, frozen=True)
class Snapshot:
    """The replicated state as of an applied index, in response to `TakeSnapshot`."""

    index: int
    clock_ms: int
    data: bytes


@dataclass(slots=True, frozen=True)
class TransferLeadership:
    """The member shuts down or cannot work: if it leads, it transfers leadership."""


@dataclass(slots=True, frozen=True)
class ChangeMembership:
    """Add or remove one member; answered by a `ProposalOutcome` with this token."""

    token: int
    add: pb.Member | None = None
    remove: Incarnation | None = None


@dataclass(slots=True, frozen=True)
class TimerFired:
    """The time requested by `Timer` has come."""


Event = (
    MessageReceived
    | WriteCompleted
    | WriteFailed
    | StorageRecovered
    | DiskSpaceLow
    | Propose
    | ReadRequested
    | Applied
    | Snapshot
    | TransferLeadership
    | ChangeMembership
    | TimerFired
)


# Actions.


@dataclass(slots=True, frozen=True)
class Send:
    """Send a message to a member; drop it if it can't be sent at once."""

    to: Incarnation
    message: pb.Message


@dataclass(slots=True, frozen=True)
class Write:
    """Write to the folder atomically, in order of the numbers; answered by `WriteCompleted` or `WriteFailed`.

    Applied in this order: the snapshot, which replaces all entries up to its head except those from
    `retain_from` on; the truncation of the log after `truncate_after`; the entries; the hard state.
    """

    number: int
    hard_state: pb.HardState | None = None
    truncate_after: int | None = None
    entries: tuple[pb.Entry, ...] = ()
    snapshot_head: pb.SnapshotHead | None = None
    snapshot: bytes = b""
    retain_from: int = 0


@dataclass(slots=True, frozen=True)
class Apply:
    """Apply committed entries, in order, each once; after a `Restore`, the entries after the snapshot."""

    entries: tuple[pb.Entry, ...]


@dataclass(slots=True, frozen=True)
class Restore:
    """Replace the replicated state by a committed snapshot; this member never got the covered entries."""

    head: pb.SnapshotHead
    data: bytes


@dataclass(slots=True, frozen=True)
class TakeSnapshot:
    """Take a snapshot, as the log has grown; answered by `Snapshot`."""


@dataclass(slots=True, frozen=True)
class ProposalOutcome:
    """The outcome of a proposal. If it succeeded, its result comes from applying the entry at `index`."""

    token: int
    refusal: int = 0  # pb.Result.Refusal; 0 if the proposal is committed at `index`
    index: int = 0
    leader: str = ""
    retry_after_ms: int = 0


@dataclass(slots=True, frozen=True)
class ReadOutcome:
    """The read can be served from state applied up to at least this index, unless `refusal` is set."""

    token: int
    index: int = 0
    refusal: int = 0
    leader: str = ""


@dataclass(slots=True, frozen=True)
class Timer:
    """Request `TimerFired` at this time; replaces the previous request."""

    at_ms: float


@dataclass(slots=True, frozen=True)
class RoleChanged:
    """The member's role.

    `leader`, `follower`, `asking` (candidate), `learner`, `outside` (not a member) or `mute` (can't write).
    """

    role: str
    term: int
    leader: str  # name; "" if unknown


Action = Send | Write | Apply | Restore | TakeSnapshot | ProposalOutcome | ReadOutcome | Timer | RoleChanged
