"""A member's outgoing connections: one to each other member, for this member's Raft messages.

Messages of the other member arrive on the connection that the other member opens to this one (`server`), so a
network cut in one direction affects that direction only. The receiver sends a heartbeat (`Frame.pulse`) every
second; a connection without a heartbeat for `HEARTBEAT_TIMEOUT_MS` is closed and reopened, since the kernel
may keep a dead connection for minutes.
"""

from collections import Counter
from collections.abc import Callable
from random import Random

from fennelwind.cluster import keeper_pb2 as pb
from fennelwind.cluster.backoff import Backoff
from fennelwind.cluster.errors import (
    ClusterError,
    FleetMismatchError,
    InvalidFrameError,
    MemberNameMismatchError,
)
from fennelwind.cluster.framing import FrameReader, Outbox, encode_frame
from fennelwind.cluster.identity import hello_error
from fennelwind.cluster.wakeup import Wakeup
from fennelwind.loop import Address, Loop, Stream, Task
from fennelwind.raft import council_pb2
from fennelwind.raft.messages import Incarnation

CONNECT_TIMEOUT_MS = 1000.0  # ms to connect; then the same time again to receive the peer's hello
HEARTBEAT_MS = 1000.0  # ms between two heartbeats of a receiver
HEARTBEAT_TIMEOUT_MS = 4000.0  # ms without a heartbeat until a connection is closed


class PeerConnection:
    """The connection to one member, reopened with backoff whenever it breaks."""

    def __init__(self, peers: "PeerConnections", name: str, address: Address) -> None:
        self.name = name
        self.address = address
        self.outbox = Outbox(peers.loop)
        self.incarnation = b""  # incarnation in the peer's last hello
        self.level = 0  # the highest level of the log that the peer supports
        self.is_connected = False
        self._peers = peers
        self._heartbeat_ms = 0.0  # time when the last heartbeat arrived
        self._reachable = Wakeup(peers.loop)
        self._error: ClusterError | None = None  # the reason for the last rejection, logged once
        self.task: Task = peers.loop.spawn(self._run, name=f"keeper: to {name}")

    def reconnect(self) -> None:
        """Connect without waiting for the backoff, as the peer has just connected to this member."""
        if not self.is_connected:
            self._reachable.notify()

    def _run(self) -> None:
        loop = self._peers.loop
        backoff = Backoff(self._peers.random)
        while True:
            try:
                self._connect_and_read(backoff)
            except (OSError, TimeoutError, ClusterError) as exc:
                self._note_error(exc)
            self.is_connected = False
            self.outbox.clear()
            try:
                with loop.deadline(backoff.next_ms()):
                    self._reachable.wait()
                backoff.reset()
            except TimeoutError:
                pass

    def _note_error(self, exc: Exception) -> None:
        error = exc if isinstance(exc, ClusterError) else None
        if error is not None and type(error) is not type(self._error):
            self._peers.on_error(error)
        self._error = error

    def _connect_and_read(self, backoff: Backoff) -> None:
        loop, peers = self._peers.loop, self._peers
        with loop.deadline(CONNECT_TIMEOUT_MS):
            stream = loop.connect(self.address)
        tasks: list[Task] = []
        try:
            with loop.deadline(CONNECT_TIMEOUT_MS):
                stream.write(encode_frame(peers.hello()))
                reader = FrameReader(stream)
                self._check_hello(reader.hello())
            self.is_connected = True
            self._error = None
            backoff.reset()
            peers.on_connected(self)
            tasks.append(loop.spawn(self._write, stream, name=f"keeper: write to {self.name}"))
            self._heartbeat_ms = loop.now()
            tasks.append(loop.spawn(self._watch_heartbeat, stream, name=f"keeper: watch {self.name}"))
            while (frame := reader.frame()) is not None:
                if frame.WhichOneof("what") != "pulse":
                    raise InvalidFrameError(
                        f"{self.name} sent a frame that is not a heartbeat", peer=self.name
                    )
                self._heartbeat_ms = loop.now()
        finally:
            for task in tasks:
                task.cancel()
            stream.abort()

    def _check_hello(self, hello: pb.Hello | None) -> None:
        """Check and store the peer's hello. Raises a `ClusterError` if the peer must not be used."""
        if hello is None:
            raise InvalidFrameError(f"{self.name} closed without a hello", peer=self.name)
        error = hello_error(hello, self._peers.fleet)
        if error is not None:
            raise error
        if hello.name != self.name:
            raise MemberNameMismatchError(
                f"{hello.name!r} answers where {self.name!r} should be",
                address=str(self.address),
                theirs=hello.name,
                wanted=self.name,
            )
        if hello.refused:
            raise FleetMismatchError(f"{self.name} rejects us: {hello.refused[:200]}", peer=self.name)
        self.incarnation = hello.life
        self.level = hello.level

    def _write(self, stream: Stream) -> None:
        try:
            self.outbox.run(stream)
        except (OSError, TimeoutError):
            stream.abort()

    def _watch_heartbeat(self, stream: Stream) -> None:
        loop = self._peers.loop
        while loop.now() - self._heartbeat_ms < HEARTBEAT_TIMEOUT_MS:
            loop.sleep(HEARTBEAT_TIMEOUT_MS / 4.0)
        stream.abort()


class PeerConnections:
    """The connections to all other members."""

    def __init__(
        self,
        loop: Loop,
        fleet: str,
        hello: Callable[[], pb.Hello],
        seed: str,
        on_error: Callable[[ClusterError], None],
        on_connected: Callable[[PeerConnection], None],
    ) -> None:
        self.loop = loop
        self.fleet = fleet
        self.hello = hello
        self.on_error = on_error
        self.on_connected = on_connected
        self.random = Random(seed)
        self.by_name: dict[str, PeerConnection] = {}
        self.counts: Counter[str] = Counter()  # number of messages by outcome

    def set_members(self, addresses: dict[str, Address]) -> None:
        """Connect to these members, and close connections to any others."""
        removed = [name for name, peer in self.by_name.items() if addresses.get(name) != peer.address]
        for name in removed:
            self.by_name.pop(name).task.cancel()
        for name, address in addresses.items():
            if name not in self.by_name:
                self.by_name[name] = PeerConnection(self, name, address)

    def send(self, to: Incarnation, message: council_pb2.Message) -> None:
        """Send a message; drop it if the peer is unknown, disconnected or of another incarnation."""
        peer = self.by_name.get(to.name)
        if peer is None or not peer.is_connected or to.id and peer.incarnation != to.id:
            self.counts["unsent"] += 1
            return
        frame = encode_frame(pb.Frame(council=message.SerializeToString()))
        is_large = message.WhichOneof("body") in ("append", "piece")
        self.counts["sent" if peer.outbox.put(frame, may_be_lost=is_large) else "dropped"] += 1

    def reconnect(self, name: str) -> None:
        """Connect to a known peer at once, as the peer has just connected to this member."""
        peer = self.by_name.get(name)
        if peer is not None:
            peer.reconnect()

    def close(self) -> None:
        """Close all connections."""
        for peer in self.by_name.values():
            peer.task.cancel()
        self.by_name.clear()
