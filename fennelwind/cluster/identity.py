"""Who a controller is towards the council, as its settings say; what all of the fleet have to agree on."""

from dataclasses import dataclass, field
from pathlib import Path

from fennelwind.cluster import keeper_pb2 as pb
from fennelwind.cluster.errors import ClusterError, FleetMismatchError, ProtocolMismatchError
from fennelwind.loop import Address
from fennelwind.raft.messages import Timing

PROTOCOL = 1  # of the frames; raised where an older controller could not read them
NAME_MOST = 64  # letters of a name


@dataclass(slots=True, frozen=True)
class ClusterIdentity:
    """The section `council` of the settings."""

    fleet: str
    me: str  # this controller's name; a member's stands among `members`
    members: dict[str, Address]  # where each is reached from here
    folder: Path | None = None  # of the record; None: a follower
    listen: Address | None = None
    timing: Timing = field(default_factory=Timing)
    reserve_bytes: int = 0  # held on the disk, so that the log can be cut when all else is full
    handover_ms: float = 2000.0  # for another to lead, when this one ends

    @property
    def member(self) -> bool:
        """Tell whether this controller keeps the record."""
        return self.folder is not None


def hello_error(hello: pb.Hello, fleet: str) -> ClusterError | None:
    """Return what keeps us from talking to whoever said this; None: nothing."""
    if hello.fleet != fleet:
        return FleetMismatchError(
            f"{hello.name[:NAME_MOST]!r} is of the fleet {hello.fleet[:NAME_MOST]!r}, here is {fleet!r}",
            theirs=hello.fleet[:NAME_MOST],
            ours=fleet,
        )
    if hello.protocol != PROTOCOL:
        return ProtocolMismatchError(
            f"{hello.name[:NAME_MOST]!r} speaks protocol {hello.protocol}, here is {PROTOCOL}",
            theirs=hello.protocol,
            ours=PROTOCOL,
        )
    return None
