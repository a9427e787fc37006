"""The interface between the Raft core, which decides, and its host (`cluster.raft_host`).

Events go in, actions come out.

`RaftMember.step(now, events) -> actions`. Times are ms on the member's own clock, which never goes back. The
host makes writes in their order, sends messages without waiting, and hands the core whatever comes of it.
Nothing that rests on a write leaves before its `WriteCompleted`: the core holds it back.
"""

from dataclasses import dataclass, field
from typing import NamedTuple

from fennelwind.raft import council_pb2 as pb


class Incarnation(NamedTuple):
    """Who a member is: its name, and the number drawn when its folder was made."""

    name: str
    id: bytes


@dataclass(slots=True, frozen=True)
class Timing:
    """How long a member waits, in ms, and what it holds at most."""

    heartbeat_ms: float = 50.0
    election_timeout_ms: float = 300.0  # to twice that is drawn anew for each wait
    max_append_bytes: int = 512 * 1024  # bytes of entries in one message
    max_in_flight_appends: int = 4  # messages of entries unanswered by one member
    max_chunk_bytes: int = 256 * 1024  # bytes of a snapshot in one message
    max_pending_proposals: int = 4096  # proposals that wait for their entry's commit
    max_pending_reads: int = 4096  # reads that wait for a majority to confirm the leader
    retained_entries: int = 10_000  # entries that the snapshot covers, kept for members that lag a little
    max_log_bytes: int = (
        64 * 1024 * 1024
    )  # bytes of log: a snapshot is due; at twice that nothing is proposed
    clock_entry_interval_ms: float = (
        1000.0  # time alone is written so often while something is going to lapse
    )


@dataclass(slots=True)
class DurableState:
    """What a member's folder held when it was opened."""

    me: Incarnation
    hard_state: pb.HardState = field(default_factory=pb.HardState)
    snapshot_head: pb.SnapshotHead | None = None
    snapshot: bytes = b""
    entries: list[pb.Entry] = field(
        default_factory=list
    )  # without gaps; the first ones may be covered by the snapshot


# What happens to a member.


@dataclass(slots=True, frozen=True)
class MessageReceived:
    """A message of another member, whose name and life were checked against the connection's hello."""

    sender: Incarnation
    message: pb.Message


@dataclass(slots=True, frozen=True)
class WriteCompleted:
    """All writes up to this number are on the disk."""

    number: int


@dataclass(slots=True, frozen=True)
class WriteFailed:
    """The write with this number and all later ones are not on the disk, and nothing of them counts.

    Until `StorageRecovered` the member has no vote, acknowledges nothing and leads nobody.
    """

    number: int
    is_disk_full: bool


@dataclass(slots=True, frozen=True)
class StorageRecovered:
    """The folder takes writes again; what it holds was read anew."""

    durable: DurableState


@dataclass(slots=True, frozen=True)
class DiskSpaceLow:
    """The disk is nearly full: who leads hands over while it still can."""


@dataclass(slots=True, frozen=True)
class Propose:
    """Somebody's command; `ProposalOutcome` with this token tells what became of it."""

    token: int
    command: pb.Command


@dataclass(slots=True, frozen=True)
class ReadRequested:
    """Somebody wants to read what is true now; `ReadOutcome` with this token tells from which index on."""

    token: int


@dataclass(slots=True, frozen=True)
class Applied:
    """The host has applied entries up to this index.

    `next_expiry_clock_ms` tells when something in the replicated state expires next.
    """

    index: int
    next_expiry_clock_ms: int | None


@dataclass(slots=True, frozen=True)
class Snapshot:
    """The record's state as of an index that is applied, asked for by `TakeSnapshot`."""

    index: int
    clock_ms: int
    data: bytes


@dataclass(slots=True, frozen=True)
class TransferLeadership:
    """The member is going to end, or cannot do its part: who leads lets another lead."""


@dataclass(slots=True, frozen=True)
class ChangeMembership:
    """An operator, or a lost member's return, changes the members by one; `ProposalOutcome` follows."""

    token: int
    add: pb.Member | None = None
    remove: Incarnation | None = None


@dataclass(slots=True, frozen=True)
class TimerFired:
    """The time that `Timer` named has come."""


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


# What is to be done.


@dataclass(slots=True, frozen=True)
class Send:
    """A message for a member; lost where it can't be sent at once."""

    to: Incarnation
    message: pb.Message


@dataclass(slots=True, frozen=True)
class Write:
    """What has to be on the disk, as one step, in the order of numbers.

    `WriteCompleted` or `WriteFailed` follows.

    Applied in this order: the snapshot, which replaces all entries up to its head but those from
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
    """Entries that are agreed, in order; each comes once, but after a `Restore`."""

    entries: tuple[pb.Entry, ...]


@dataclass(slots=True, frozen=True)
class Restore:
    """A snapshot is agreed in place of entries that this member never saw."""

    head: pb.SnapshotHead
    data: bytes


@dataclass(slots=True, frozen=True)
class TakeSnapshot:
    """The log has grown: `Snapshot` is wanted."""


@dataclass(slots=True, frozen=True)
class ProposalOutcome:
    """What became of a proposal. Where it was done, its result comes from applying the entry at `index`."""

    token: int
    refusal: int = 0  # pb.Result.Refusal; 0: done, or to be done, at `index`
    index: int = 0
    leader: str = ""
    retry_after_ms: int = 0


@dataclass(slots=True, frozen=True)
class ReadOutcome:
    """The read may be answered from a state of at least this index; a refusal where nobody can say."""

    token: int
    index: int = 0
    refusal: int = 0
    leader: str = ""


@dataclass(slots=True, frozen=True)
class Timer:
    """`TimerFired` is wanted at this time; the last one counts."""

    at_ms: float


@dataclass(slots=True, frozen=True)
class RoleChanged:
    """The member's part: `leader`, `follower`, `asking`, `learner`, `outside` or `mute` (can't write)."""

    role: str
    term: int
    leader: str  # by name; "": none is known


Action = Send | Write | Apply | Restore | TakeSnapshot | ProposalOutcome | ReadOutcome | Timer | RoleChanged
