"""What the loop gives to read from and write to, whatever lies beneath."""

from collections.abc import Iterable
from typing import NamedTuple, Protocol

READ_MOST = 262144  # bytes that one read returns at most
DATAGRAM_MOST = 65507  # bytes of one datagram; what carries the protocols above sets far smaller bounds
UNREAD_MOST = 256  # datagrams that wait to be received, in memory; those that come then are dropped


class Address(NamedTuple):
    """Where a peer listens."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


def parse_address(text: str) -> Address:
    """Read HOST:PORT; raise ValueError with the reason."""
    host, sep, port = text.rpartition(":")
    if not sep or not host or not port.isdecimal() or int(port) > 65535:
        raise ValueError(f"{text[:80]!r} is no HOST:PORT")
    return Address(host, int(port))


class ConnectFailed(OSError):
    """No connection was established; nothing was sent."""


class LocalConnectFailure(ConnectFailed):
    """This machine could not dial: no descriptor, port or route is left here; it says nothing of the peer."""


ShortOfDescriptors = LocalConnectFailure  # its name in revisions that the rig plays beside this one


class StreamReset(OSError):
    """The connection broke; what was sent may have arrived."""


class Stream(Protocol):
    """A connection. One task may read and one may write at a time."""

    peer: Address

    def read(self, most: int = READ_MOST) -> bytes:
        """Return some bytes, b"" at the end; wait for them. Raises `StreamReset`."""

    def write(self, data: bytes, within_ms: float | None = None) -> None:
        """Hand all bytes on, waiting while the peer takes none, for so long at most.

        Raises `StreamReset`, and `DeadlineExceeded` when the time is up.
        """

    def broken(self) -> bool:
        """Tell, without waiting, whether an idle connection was closed or sent what nobody asked for."""

    def close(self) -> None:
        """Close in order; whoever reads here gets the end."""

    def abort(self) -> None:
        """Close at once, so that the peer sees a reset."""


class PushStream(Stream, Protocol):
    """A stream without a layer of its own above the connection."""

    unseen_since_ms: float  # since when what was read last may have waited to be read

    def push(self, data: bytes) -> int:
        """Hand on what is taken without waiting; return how many bytes. Raises `StreamReset`."""

    def waiting(self) -> bool:
        """Tell, without waiting, whether bytes have come that are not read yet; an end is none."""

    def ended(self) -> bool:
        """Tell, without waiting, whether the peer sends nothing more, whatever of it is not read yet."""

    def half_close(self) -> None:
        """Send nothing more, behind what was written; what the peer still sends can be read.

        A close over unread bytes becomes a reset, which may destroy at the peer what was written before.
        """


class Datagrams(Protocol):
    """A socket for datagrams, which may be late, lost, doubled or out of order. One task may receive."""

    address: Address

    def send(self, data: bytes, to: Address) -> bool:
        """Hand a datagram on without waiting; False if it was dropped here at once."""

    def receive(self) -> tuple[bytes, Address]:
        """Return the next datagram and whose it is; wait for it. Raises `StreamReset` when closed."""

    def close(self) -> None:
        """Send and receive nothing more."""


class Listener(Protocol):
    """Takes connections in."""

    address: Address

    def accept(self) -> Stream:
        """Return the next connection; wait for it. Raises `StreamReset` when closed."""

    def finish(self, until_ms: float) -> Iterable[Stream]:
        """Take no more connections; return those that have come up and wait, tried for until then at most."""

    def close(self) -> None:
        """Take no more connections."""
