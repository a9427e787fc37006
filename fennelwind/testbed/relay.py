"""Relays between the processes of a rig: each way from one party to another is an address of its own.

A row says who talks to whom there. Streams are passed on as `Links` says the way is at that moment: held
while it is cut, broken where it is reset, late, slow, or stopped after half of a piece. While a way is cut
its address takes no connection: accepting stops and one connection of the relay's own fills the line, so
that the kernel drops what comes, as a lost machine would. What is held in a relay is bounded by the kernel's
buffers and `AHEAD_MOST` pieces.
"""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from fennelwind.loop import (
    Address,
    Channel,
    ChannelClosed,
    ConnectFailed,
    Datagrams,
    RealLoop,
    Stream,
    StreamReset,
    Task,
)
from fennelwind.loop.sim_network import FOREVER, Path
from fennelwind.testbed.links import Links

AHEAD_MOST = 64  # pieces of a stream on their way through a relay
DIRECT_MS = 0.8  # ms; a shorter delay is that of the relay itself
CHANGED_MS = 1.0  # ms after a change of the ways until it is looked at
BACKLOG = 256  # connections in line at a row
PIECE = 65536  # bytes of one read
DIAL_MS = 1000.0  # ms for the connection onwards; who accepted here is told by a reset if it fails


@dataclass(slots=True, frozen=True)
class Row:
    """One address of the relay."""

    listen: Address
    source: str  # who connects there, as a party
    target: str  # whom it leads to
    to: Address
    bind: str = ""  # the host from which the relay connects, so that the target knows the source


class Door:
    """A row at work."""

    def __init__(self, relay: "Relay", row: Row) -> None:
        self.relay, self.row = relay, row
        self.listener = None
        self.shut = self.refusing = False
        self.streams: dict[Stream, Stream] = {}
        self._accepting: Task | None = None
        self._plug = None

    def open(self) -> None:
        """Listen and accept. Raises `OSError`."""
        relay = self.relay
        if self.listener is None:
            self.listener = relay.loop.listen(self.row.listen, BACKLOG)
        self._accepting = relay.loop.spawn(self._accept, name="relay: accept")

    def look(self) -> None:
        """Be as the way is now."""
        there, back = self.relay.paths(self.row)
        refusing, shut = there.refused or back.refused, there.cut or back.cut
        if refusing and not self.refusing:
            self._accepting.cancel()
            self.listener.close()
            self.listener = None
            for stream in [*self.streams, *self.streams.values()]:
                stream.abort()
        elif self.refusing and not refusing:
            self.open()
        self.refusing = refusing
        if refusing:
            return
        if shut and not self.shut:
            self._accepting.cancel()
            self.listener.backlog(0)
            self._plug = self.relay.loop.spawn(self._fill, name="relay: plug")
        elif self.shut and not shut:
            self._plug.cancel()
            self.listener.backlog(BACKLOG)
            self.open()
        self.shut = shut

    def _fill(self) -> None:
        """Keep the line full by a connection of the relay's own, which is let go as the way heals."""
        try:
            stream = self.relay.loop.connect(self.row.listen)
        except ConnectFailed:
            return
        try:
            stream.read()
        except StreamReset:
            pass
        finally:
            stream.abort()

    def _accept(self) -> None:
        loop = self.relay.loop
        while True:
            try:
                stream = self.listener.accept()
            except StreamReset:
                return
            loop.spawn(self._carry, stream, name="relay: connection")

    def _carry(self, near: Stream) -> None:
        """Connect onwards and pass both ways on until either ends."""
        relay, row = self.relay, self.row
        try:
            with relay.loop.deadline(DIAL_MS):
                far = relay.loop.connect(row.to, row.bind)
        except (OSError, TimeoutError):
            near.abort()
            return
        self.streams[near] = far
        relay.carried += 1
        there = relay.loop.spawn(self._pass, near, far, row.source, row.target, name="relay: there")
        back = relay.loop.spawn(self._pass, far, near, row.target, row.source, name="relay: back")
        there.join()
        back.join()
        self.streams.pop(near, None)
        near.close()
        far.close()

    def _pass(self, source: Stream, sink: Stream, from_: str, to: str) -> None:
        """Pass one way on; its end and its breaks are passed on too, when the way lets them."""
        relay, queue = self.relay, None
        writer: Task | None = None
        due, stalled = 0.0, False
        try:
            while data := source.read(PIECE):
                path = relay.path(from_, to)
                if path.stalled and not stalled and len(data) > 1:
                    stalled = True
                    sink.write(data[: len(data) // 2])
                    data = data[len(data) // 2 :]
                path = relay.passable(from_, to)
                if path.bytes_per_ms:
                    relay.loop.sleep(len(data) / path.bytes_per_ms)
                if path.delay_ms < DIRECT_MS and queue is None:
                    sink.write(data)
                    continue
                if queue is None:
                    queue = Channel(relay.loop, AHEAD_MOST)
                    writer = relay.loop.spawn(self._write, queue, sink, name="relay: late")
                due = max(due, relay.loop.now() + relay.delay(path))
                queue.put((due, data))
            relay.passable(from_, to)
            if queue is not None:
                queue.close()
                writer.join()
            sink.close()
            source.close()
        except (StreamReset, ChannelClosed):
            relay.passable(from_, to)
            sink.abort()
            source.abort()

    def _write(self, queue: Channel, sink: Stream) -> None:
        loop = self.relay.loop
        while True:
            try:
                due, data = queue.get()
            except ChannelClosed:
                return
            loop.sleep(max(0.0, due - loop.now()))
            try:
                sink.write(data)
            except StreamReset:
                queue.close()
                return


class Relay:
    """All rows of one relay process, and the datagrams if it carries them."""

    def __init__(
        self, loop: RealLoop, links: Links, rows: list[Row], clock: Callable[[], float], seed: str
    ) -> None:
        self.loop, self.links, self.clock, self.random = loop, links, clock, Random(seed)
        self.doors = [Door(self, row) for row in rows]
        self.carried = self.datagrams = self.dropped = 0
        self._posts: list[Datagrams] = []

    def prepare(self) -> None:
        """Listen everywhere. Raises `OSError`."""
        for door in self.doors:
            door.open()

    def play(self) -> None:
        """Follow the ways through the day."""
        while True:
            change = self.links.next_change(self.clock())
            if change == FOREVER:
                return
            self.loop.sleep(change - self.clock() + CHANGED_MS)
            for door in self.doors:
                door.look()

    def path(self, source: str, target: str) -> Path:
        """Return how a way is now."""
        return self.links.path(self.clock(), source, target)

    def paths(self, row: Row) -> tuple[Path, Path]:
        """Return how a row's way is there and back."""
        return self.path(row.source, row.target), self.path(row.target, row.source)

    def passable(self, source: str, target: str) -> Path:
        """Wait until something passes on a way; return how it is then."""
        while True:
            path = self.path(source, target)
            if not path.cut and not path.stalled:
                return path
            change = self.links.next_change(self.clock())
            wait = change - self.clock() if change < FOREVER else 1000.0
            self.loop.sleep(max(1.0, wait))

    def delay(self, path: Path) -> float:
        """Draw the time of one piece."""
        return path.delay_ms * (1.0 + path.jitter * (self.random.random() - 0.5))

    # Datagrams: what one sends to another's address here is passed on from the sender's address here.

    def post(self, peers: list[tuple[str, Address, Address]], everyone: Address) -> None:
        """Carry datagrams between peers: name, address here, own address. Raises `OSError`."""
        sockets = {name: self.loop.datagrams(here) for name, here, _ in peers}
        homes = {name: home for name, _, home in peers}
        names = {home: name for name, _, home in peers}
        self._posts = [*sockets.values(), self.loop.datagrams(everyone)]
        for name, socket in sockets.items():
            self.loop.spawn(self._receive, socket, [name], sockets, homes, names, name="relay: datagrams")
        self.loop.spawn(
            self._receive,
            self._posts[-1],
            list(sockets),
            sockets,
            homes,
            names,
            name="relay: datagrams for all",
        )

    def _receive(
        self,
        socket: Datagrams,
        targets: list[str],
        sockets: dict[str, Datagrams],
        homes: dict[str, Address],
        names: dict[Address, str],
    ) -> None:
        while True:
            data, sender = socket.receive()
            source = names.get(sender)
            if source is None:
                self.dropped += 1
                continue
            for target in targets:
                if target != source:
                    self._forward(data, source, target, sockets[source], homes[target])

    def _forward(self, data: bytes, source: str, target: str, out: Datagrams, to: Address) -> None:
        path, draw = self.path(source, target), self.random.random
        if path.cut or path.refused or path.stalled or path.lost and draw() < path.lost:
            self.dropped += 1
            return
        for _ in range(2 if path.twice and draw() < path.twice else 1):
            self.datagrams += 1
            late = self.delay(path)
            if path.swapped and draw() < path.swapped:
                late += 2.0 * path.delay_ms + 5.0
            if late < DIRECT_MS:
                out.send(data, to)
            else:
                self.loop.after(late, lambda: out.send(data, to))
