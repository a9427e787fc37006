"""Who a controller is towards the Raft group, as its settings say, and the check of a peer's hello."""

from dataclasses import dataclass, field
from pathlib import Path

from fennelwind.cluster import keeper_pb2 as pb
from fennelwind.cluster.errors import ClusterError, FleetMismatchError, ProtocolMismatchError
from fennelwind.loop import Address
from fennelwind.raft.messages import Timing

PROTOCOL = 1  # version of the frames; raised where an older controller could not read them
MAX_NAME_LENGTH = 64  # letters of a name


@dataclass(slots=True, frozen=True)
class ClusterIdentity:
    """The section `council` of the settings."""

    fleet: str
    me: str  # this controller's name; a member's stands among `members`
    members: dict[str, Address]  # where each is reached from here
    folder: Path | None = None  # of the log; None: this controller is a client only
    listen: Address | None = None
    timing: Timing = field(default_factory=Timing)
    reserve_bytes: int = 0  # reserved on the disk, so that the log can be cut when all else is full
    handover_ms: float = 2000.0  # ms for the transfer of leadership, when this one ends

    @property
    def is_member(self) -> bool:
        """Whether this controller is a member of the Raft group."""
        return self.folder is not None


def hello_error(hello: pb.Hello, fleet: str) -> ClusterError | None:
    """Return why the sender of this hello is not to be talked to; None: it may be."""
    if hello.fleet != fleet:
        theirs = hello.fleet[:MAX_NAME_LENGTH]
        return FleetMismatchError(
            f"{hello.name[:MAX_NAME_LENGTH]!r} is of the fleet {theirs!r}, here is {fleet!r}",
            theirs=theirs,
            ours=fleet,
        )
    if hello.protocol != PROTOCOL:
        return ProtocolMismatchError(
            f"{hello.name[:MAX_NAME_LENGTH]!r} speaks protocol {hello.protocol}, here is {PROTOCOL}",
            theirs=hello.protocol,
            ours=PROTOCOL,
        )
    return None
