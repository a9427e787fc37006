"""A controller's identity in the Raft group, from its settings, and the check of a peer's hello."""

from dataclasses import dataclass, field
from pathlib import Path

from fennelwind.cluster import keeper_pb2 as pb
from fennelwind.cluster.errors import ClusterError, FleetMismatchError, ProtocolMismatchError
from fennelwind.loop import Address
from fennelwind.raft.messages import Timing

PROTOCOL = 1  # version of the frames; incremented by changes that an older controller can't read
MAX_NAME_LENGTH = 64  # characters of a peer's name; errors cut longer names off there


@dataclass(slots=True, frozen=True)
class ClusterIdentity:
    """The `council` section of the settings."""

    fleet: str
    me: str  # this controller's name; if it is a member, a key of `members`
    members: dict[str, Address]  # the address to connect to, by member name
    folder: Path | None = None  # folder of the log; None if this controller isn't a member
    listen: Address | None = None
    timing: Timing = field(default_factory=Timing)
    reserve_bytes: int = 0  # disk space in reserve, so that a snapshot can replace the log on a full disk
    handover_ms: float = 2000.0  # ms to hand over leases and leadership at shutdown

    @property
    def is_member(self) -> bool:
        """Whether this controller is a member of the Raft group."""
        return self.folder is not None


def hello_error(hello: pb.Hello, fleet: str) -> ClusterError | None:
    """Return the error for which the sender of this hello must be rejected; None if the hello is accepted."""
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
