"""A member's ways to the others: one connection to each, which carries what this one says there.

What the other says comes on the connection that it opens here (`door`), so that a way that is cut one way
alone is exactly that. The other one tells each second that it reads (`Frame.pulse`); a connection on which
nothing comes for `QUIET_MS` is given up and opened anew, as the kernel may hold on to a dead one for minutes.
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

DIAL_MS = 1000.0  # ms to connect and to hear the other's name
PULSE_MS = 1000.0  # ms between two words of a reader
QUIET_MS = 4000.0  # ms without one after which a connection is given up


class PeerConnection:
    """The way to one member."""

    def __init__(self, peers: "PeerConnections", name: str, address: Address) -> None:
        self.peers, self.name, self.address = peers, name, address
        self.outbox = Outbox(peers.loop)
        self.life = b""  # told by the last hello
        self.level = 0
        self.up = False
        self.heard_ms = 0.0
        self._again = Wakeup(peers.loop)
        self.wrong: ClusterError | None = None  # why it is not talked to; None: nothing was wrong lately
        self.task: Task = peers.loop.spawn(self._run, name=f"keeper: to {name}")

    def back(self) -> None:
        """It has just been heard: it can be reached again, so the wait for the next try is over."""
        if not self.up:
            self._again.notify()

    def _run(self) -> None:
        loop, waits = self.peers.loop, Backoff(self.peers.random)
        while True:
            try:
                self._talk(waits)
            except (OSError, TimeoutError, ClusterError) as exc:
                if isinstance(exc, ClusterError) and type(exc) is not type(self.wrong):
                    self.peers.said(exc)
                self.wrong = exc if isinstance(exc, ClusterError) else None
            self.up = False
            self.outbox.clear()
            try:
                with loop.deadline(waits.next_ms()):
                    self._again.wait()
                waits.reset()
            except TimeoutError:
                pass

    def _talk(self, waits: Backoff) -> None:
        loop, peers = self.peers.loop, self.peers
        with loop.deadline(DIAL_MS):
            stream = loop.connect(self.address)
        writer: Task | None = None
        quiet = None
        try:
            with loop.deadline(DIAL_MS):
                stream.write(encode_frame(peers.hello()))
                reader = FrameReader(stream)
                self._check(reader.hello())
            self.up, self.wrong = True, None
            waits.reset()
            peers.met(self)
            writer = loop.spawn(self._write, stream, name=f"keeper: write to {self.name}")
            self.heard_ms = loop.now()
            quiet = loop.spawn(self._watch, stream, name=f"keeper: watch {self.name}")
            while (frame := reader.frame()) is not None:
                if frame.WhichOneof("what") != "pulse":
                    raise InvalidFrameError(f"{self.name} said what nobody asked for", peer=self.name)
                self.heard_ms = loop.now()
        finally:
            for task in (writer, quiet):
                if task is not None:
                    task.cancel()
            stream.abort()

    def _check(self, hello: pb.Hello | None) -> None:
        """Take the other's hello. Raises `FleetMismatchError` and its like."""
        if hello is None:
            raise InvalidFrameError(f"{self.name} closed without a word", peer=self.name)
        wrong = hello_error(hello, self.peers.fleet)
        if wrong is not None:
            raise wrong
        if hello.name != self.name:
            raise MemberNameMismatchError(
                f"{hello.name!r} answers where {self.name!r} is said to be",
                address=str(self.address),
                theirs=hello.name,
                wanted=self.name,
            )
        if hello.refused:
            raise FleetMismatchError(f"{self.name} refuses us: {hello.refused[:200]}", peer=self.name)
        self.life, self.level = hello.life, hello.level

    def _write(self, stream: Stream) -> None:
        try:
            self.outbox.run(stream)
        except (OSError, TimeoutError):
            stream.abort()

    def _watch(self, stream: Stream) -> None:
        loop = self.peers.loop
        while loop.now() - self.heard_ms < QUIET_MS:
            loop.sleep(QUIET_MS / 4.0)
        stream.abort()


class PeerConnections:
    """The ways to all other members."""

    def __init__(
        self,
        loop: Loop,
        fleet: str,
        hello: Callable[[], pb.Hello],
        seed: str,
        said: Callable[[ClusterError], None],
        met: Callable[[PeerConnection], None],
    ) -> None:
        self.loop, self.fleet, self.hello, self.said, self.met = loop, fleet, hello, said, met
        self.random = Random(seed)
        self.peers: dict[str, PeerConnection] = {}
        self.counts: Counter[str] = Counter()  # messages by what became of them

    def reach(self, addresses: dict[str, Address]) -> None:
        """Keep ways to these members and to no others."""
        for name in [n for n, peer in self.peers.items() if addresses.get(n) != peer.address]:
            self.peers.pop(name).task.cancel()
        for name, address in addresses.items():
            if name not in self.peers:
                self.peers[name] = PeerConnection(self, name, address)

    def send(self, to: Incarnation, message: council_pb2.Message) -> None:
        """Hand a message on, or lose it: to nobody we know, to another life, without a connection."""
        peer = self.peers.get(to.name)
        if peer is None or not peer.up or to.life and peer.life != to.life:
            self.counts["unsent"] += 1
            return
        frame = encode_frame(pb.Frame(council=message.SerializeToString()))
        large = message.WhichOneof("body") in ("append", "piece")
        self.counts["sent" if peer.outbox.put(frame, may_be_lost=large) else "dropped"] += 1

    def heard(self, name: str) -> None:
        """Somebody of this name has opened its way to us."""
        peer = self.peers.get(name)
        if peer is not None:
            peer.back()

    def close(self) -> None:
        """Give up all ways."""
        for peer in self.peers.values():
            peer.task.cancel()
        self.peers.clear()
