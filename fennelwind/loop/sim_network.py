"""Many hosts in one virtual time: each is a loop of its own, and what lies between them can fail.

A `World` plays the hosts' turns one after the other in the order of their events; a `Host` is a `Loop` whose
streams and datagrams pass a `Network`, which says at each moment how a way from one host to another is. Hosts
can be killed, stopped and slowed like processes. The same seed gives the same run, to the byte.
"""

import errno
from collections import deque
from collections.abc import Callable
from heapq import heappop, heappush
from random import Random
from typing import Any, NamedTuple, Protocol

from greenlet import GreenletExit, getcurrent

from fennelwind.loop.scheduler import Deadlock, Task
from fennelwind.loop.sim import MemoryLoop, Pipe, SimStream
from fennelwind.loop.streams import Address, ConnectFailed

FOREVER = float("inf")
DIAL_AGAIN_MS = 20.0  # ms after a cut's end in which a connection that was tried meanwhile comes up
KILL_ROUNDS = 4  # times that a killed host's tasks are told; what still waits then is dropped


class Path(NamedTuple):
    """How a way from one host to another is at a moment."""

    delay_ms: float = 0.5
    jitter: float = 0.5  # share of the delay that is drawn anew for each piece
    cut: bool = False  # nothing passes and nothing tells so; streams go on where they were when it ends
    refused: bool = False  # connections are refused, and those that stand were reset as it began
    stalled: bool = False  # half of the next piece of each stream passes, then nothing
    lost: float = 0.0  # share of the datagrams that never come
    twice: float = 0.0  # share that comes twice
    swapped: float = 0.0  # share that is overtaken by later ones
    bytes_per_ms: float = 0.0  # of one connection; 0: no bound


class Network(Protocol):
    """What lies between the hosts."""

    def path(self, now: float, source: str, target: str) -> Path:
        """Return how the way is, by the hosts' names."""

    def next_change(self, now: float) -> float:
        """Return when any way changes next; infinite if never."""


class World:
    """The hosts, what is under way between them, and the time."""

    def __init__(self, seed: int | str, network: Network) -> None:
        self.random, self.network = Random(seed), network
        self.hub = getcurrent()  # hosts added by a task are none of its children
        self.time = 0.0
        self.hosts: dict[str, Host] = {}  # by address
        self.links: dict[int, tuple[SimStream, SimStream, str, str]] = {}  # connections, by number
        self.errors: list[tuple[str, str, Exception]] = []
        self.turns = 0
        self._events: list[tuple[float, int, Host, Callable[[], None] | None]] = []
        self._order = 0
        self.rig = self.host("rig", "rig")

    def host(self, name: str, address: str, *, clock_ms: float = 0.0, turn_ms: float = 0.0) -> "Host":
        """Add a host; one that was killed may be followed by another at its address."""
        before = self.hosts.get(address)
        if before is not None and not before.dead:
            raise ValueError(f"{address} is {before.name}'s")
        self._order += 1
        host = self.hosts[address] = Host(self, name, address, clock_ms, turn_ms, self._order)
        return host

    def at(self, due: float, host: "Host", call: Callable[[], None] | None) -> None:
        """Make the call in the host's name at the time, then give the host a turn."""
        self._order += 1
        heappush(self._events, (max(due, self.time), self._order, host, call))

    def path(self, source: "Host", target: "Host") -> Path:
        """Return how the way between two hosts is now."""
        return self.network.path(self.time, source.name, target.name)

    def delay(self, path: Path) -> float:
        """Draw the time of one piece on its way, in ms."""
        return path.delay_ms * (1.0 + path.jitter * (self.random.random() - 0.5))

    def run(self, call: Callable[..., Any], *args: Any) -> Any:
        """Run a task of the rig's own to its end; return its value or raise its error."""
        main = self.rig.spawn(call, *args, name="main")
        self.at(self.time, self.rig, None)
        while not main.done:
            if not self._events:
                raise Deadlock("nothing can happen any more")
            due, _, host, made = heappop(self._events)
            self.time = max(self.time, due)
            if made is not None:
                made()
            host.turn()
        for host in self.hosts.values():
            host.kill()
            host.reap()
        if main.error is not None:
            raise main.error
        return main.value

    def reset(self, broken: Callable[[str, str], bool]) -> int:
        """Reset the connections between hosts for which it holds; return how many."""
        ended = [number for number, (_, _, a, b) in self.links.items() if broken(a, b) or broken(b, a)]
        for number in ended:
            a, b, _, _ = self.links.pop(number)
            for stream in (a, b):
                stream.inward.cut()
        return len(ended)


class Host(MemoryLoop):
    """A machine with one process: a loop in the world's time, with a clock of its own for the time of day."""

    def __init__(
        self, world: World, name: str, address: str, clock_ms: float, turn_ms: float, number: int
    ) -> None:
        super().__init__()
        self.world, self.name, self.address = world, name, address
        self.clock_ms, self.turn_ms = clock_ms, turn_ms
        self.hub = world.hub
        self.random = Random(f"{world.random.random()} {number}")
        self.dead = False
        self.dropped = 0  # datagrams that were lost on their way from here
        self.on_error = self._note_error
        self._streams: dict[int, SimStream] = {}
        self._stopped_until = self._busy_until = 0.0
        self._awake_at = FOREVER  # the earliest turn that is asked for

    def _note_error(self, task: Task, exc: Exception) -> None:
        self.errors += 1
        self.world.errors.append((self.name, task.name, exc))

    # What a loop gives.

    def now(self) -> float:
        """Return the virtual time in ms."""
        return self.world.time

    def wall(self) -> float:
        """Return this host's time of day in seconds since 1970."""
        return (self.world.time + self.clock_ms) / 1000.0

    def token(self, size: int) -> bytes:
        """Return so many bytes drawn by the seed."""
        return self.random.randbytes(size)

    def connect(self, address: Address) -> SimStream:
        """Connect to an address; takes the time there and back, and hangs while a way is cut."""
        world = self.world
        while True:
            target = world.hosts.get(address.host)
            if target is None:
                raise ConnectFailed(errno.ENETUNREACH, f"{address}: no such host")
            there, back = world.path(self, target), world.path(target, self)
            if not there.cut and not back.cut:
                break
            change = world.network.next_change(world.time)
            self.sleep(change - world.time + DIAL_AGAIN_MS if change < FOREVER else 60_000.0)
        self.sleep(world.delay(there) + world.delay(back))
        target = world.hosts[address.host]
        listener = target.listeners.get(address)
        if (
            there.refused
            or back.refused
            or target.dead
            or listener is None
            or len(listener.waiting) >= listener.backlog
        ):
            raise ConnectFailed(errno.ECONNREFUSED, f"{address}: refused")
        out, home = FarPipe(world, self, target), FarPipe(world, target, self)
        mine = SimStream(self, address, home, out)
        other = SimStream(target, Address(self.address, self._free_port()), out, home)
        number = self._register(mine, target, other)
        world.at(world.time, target, lambda: listener.offer(other) if not listener.closed else other.abort())
        out.number = home.number = number
        return mine

    def _register(self, mine: SimStream, target: "Host", other: SimStream) -> int:
        world = self.world
        world._order += 1
        number = world._order
        world.links[number] = mine, other, self.name, target.name
        self._streams[number], target._streams[number] = mine, other
        return number

    def carry(self, data: bytes, source: Address, to: Address) -> None:
        """Bring a datagram to its receiver, or not, as the way there is."""
        world = self.world
        target = world.hosts.get(to.host)
        if target is None or self.dead:
            return
        path = world.path(self, target)
        draw = world.random.random
        if path.cut or path.refused or path.stalled or path.lost and draw() < path.lost:
            self.dropped += 1
            return

        def arrive() -> None:
            socket = target.sockets.get(to)
            if socket is not None and not target.dead:
                socket.offer(data, source)

        for _ in range(2 if path.twice and draw() < path.twice else 1):
            late = 2.0 * path.delay_ms + 5.0 if path.swapped and draw() < path.swapped else 0.0
            world.at(world.time + world.delay(path) + late, target, arrive)

    # Turns.

    def turn(self) -> None:
        """Run whatever can run now, unless the host is dead, stopped or still busy with its last turn."""
        world = self.world
        now = world.time
        if now >= self._awake_at:
            self._awake_at = FOREVER
        if self.dead:
            return
        held = max(self._stopped_until, self._busy_until)
        if now < held:
            self._ask_turn(held)
            return
        self.looked_ms = self.unseen_since_ms = now  # all that has come is in line already
        made = 0
        while True:
            if self.ready:
                made += len(self.ready)
                self._call_ready()
            due = self.timers.next_due()
            if due is not None and due <= now:  # looked at first: most turns have no timer due
                self._call_timers()
            elif not self.ready:
                break
            if self.dead:
                return
        world.turns += made
        if self.turn_ms and made:
            self._busy_until = now + self.turn_ms * made
        if due is not None:
            self._ask_turn(due)

    def _ask_turn(self, due: float) -> None:
        if due < self._awake_at and due < FOREVER:
            self._awake_at = due
            self.world.at(due, self, None)

    # What happens to processes.

    def start(self, call: Callable[..., Any], *args: Any) -> Task:
        """Start a task from outside the host's own turns."""
        task = self.spawn(call, *args)
        self.world.at(self.world.time, self, None)
        return task

    def stop(self, until: float) -> None:
        """Give the host no turn until then; what comes waits for it."""
        self._stopped_until = max(self._stopped_until, until)

    def go_on(self) -> None:
        """Give a stopped host its turns again."""
        self._stopped_until = 0.0
        self.world.at(self.world.time, self, None)

    def kill(self) -> None:
        """End the process at once: it does nothing more, and its connections are reset by its machine."""
        if self.dead:
            return
        self.dead, self.on_error = True, lambda *_: None
        for listener in list(self.listeners.values()):
            waiting, listener.closed = list(listener.waiting), True
            listener.waiting.clear()
            for stream in waiting:
                stream.abort()
        self.listeners.clear()
        for number, stream in list(self._streams.items()):
            stream.abort()
            self.world.links.pop(number, None)
        self._streams.clear()
        for socket in list(self.sockets.values()):
            socket.close()
        self.world.at(self.world.time, self, self.reap)

    def reap(self) -> None:
        """End a killed host's tasks; from the world's own turn, to which an ended greenlet returns."""
        for _ in range(KILL_ROUNDS):
            self.ready.clear()
            self._last.clear()
            for task in sorted(self.tasks, key=lambda t: t.name):
                if not task.greenlet.dead:
                    task.greenlet.throw(GreenletExit)
        self.tasks.clear()
        self.ready.clear()
        self.timers = type(self.timers)()

    def forget(self, number: int) -> None:
        """Drop a connection that has ended on both sides from the books."""
        self._streams.pop(number, None)


class FarPipe(Pipe):
    """One way of a connection between two hosts."""

    def __init__(self, world: World, source: Host, target: Host) -> None:
        super().__init__(source)
        self.world, self.source, self.target = world, source, target
        self.number = 0
        self.kept: deque[tuple[Callable[[], None], int]] = deque()  # held by a cut, in order, with bytes
        self.deaf = False  # its reader has gone, which its writer may not know yet

    def send(self, data: bytes) -> None:
        """Put a piece under way; of a way that stalls only its first half."""
        self.held += len(data)
        if not self.kept and len(data) > 1 and self.world.path(self.source, self.target).stalled:
            first, rest = data[: len(data) // 2], data[len(data) // 2 :]
            self._go(lambda: self.arrived.append(first), len(first))
            self._keep(lambda: self.arrived.append(rest), len(rest))
            return
        self.later(lambda: self.arrived.append(data), len(data))

    def later(self, deliver: Callable[[], None], size: int = 0) -> None:
        """Make the call when what is sent now arrives; a cut holds it until the cut has ended."""
        path = self.world.path(self.source, self.target)
        if self.kept or path.cut or path.stalled:
            self._keep(deliver, size)
        else:
            self._go(deliver, size, path)

    def _go(self, deliver: Callable[[], None], size: int, path: Path | None = None) -> None:
        world = self.world
        path = path or world.path(self.source, self.target)
        at = max(self.last_at, world.time + world.delay(path))
        if path.bytes_per_ms:
            at += size / path.bytes_per_ms
        self.last_at = at
        world.at(at, self.target, lambda: self.arrive(deliver))

    def _keep(self, deliver: Callable[[], None], size: int) -> None:
        self.kept.append((deliver, size))
        if len(self.kept) == 1:
            self._wait()

    def _wait(self) -> None:
        change = self.world.network.next_change(self.world.time)
        if change < FOREVER:
            self.world.at(change, self.target, self._release)

    def _release(self) -> None:
        path = self.world.path(self.source, self.target)
        if path.cut or path.stalled:
            self._wait()
            return
        while self.kept:
            self._go(*self.kept.popleft(), path)

    def arrive(self, deliver: Callable[[], None]) -> None:
        """Deliver what was under way, unless the pipe broke or its reader's process ended."""
        if not self.deaf and not self.target.dead:
            super().arrive(deliver)

    def drop(self) -> None:
        """Let the reading end go; the writing end learns of it as the way back allows."""
        self.deaf = True
        self.arrived.clear()
        self.wake_reader()
        self.refuse_later()

    def end(self) -> None:
        """Put the end under way, behind what was sent."""
        super().end()
        self._forget()

    def wake_reader(self) -> None:
        """Let the reading end look again, in a turn of its own host."""
        if self.reader is not None and not self.reader.done:
            self.world.at(self.world.time, self.target, self.reader.wake)

    def wake_writer(self) -> None:
        """Let the writing end look again, in a turn of its own host."""
        if self.writer is not None and not self.writer.done:
            self.world.at(self.world.time, self.source, self.writer.wake)

    def refuse_later(self) -> None:
        """Let the writing end see, after the way back, that nobody reads any more."""
        self._back(self.refuse)

    def cut_later(self) -> None:
        """Let the reading end see, after the way there, that the pipe broke; a cut keeps even that."""
        self.later(self._cut)
        self._forget()

    def _cut(self) -> None:
        self.cut()
        self.target.forget(self.number)

    def _back(self, call: Callable[[], None]) -> None:
        world = self.world
        path = world.path(self.target, self.source)
        at = world.time + world.delay(path)
        if path.cut or path.stalled:
            at = max(at, world.network.next_change(world.time))
        if at < FOREVER:
            world.at(at, self.source, call)

    def _forget(self) -> None:
        self.world.links.pop(self.number, None)
        self.source.forget(self.number)
