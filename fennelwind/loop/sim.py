"""The loop in virtual time, with streams in memory: the same seed gives the same run, to the byte.

Time stands still while anything can run and jumps to the next timer when nothing can. Each way of a
connection is a pipe with a delay, in order, and a bound on what is under way and unread, so that writers
feel back-pressure.
"""

import errno
from collections import deque
from collections.abc import Callable
from random import Random
from typing import Any

from fennelwind.loop.scheduler import Deadlock, Loop, Waiter
from fennelwind.loop.streams import READ_MOST, UNREAD_MOST, Address, ConnectFailed, StreamReset

ASIDE_MS = 30.0  # ms that a call beside the loop takes here; about a password's check
PIPE_BYTES = 262144  # bytes under way and unread, one way; about what a kernel keeps


class MemoryLoop(Loop):
    """What loops in virtual time share: who listens where, in memory."""

    def __init__(self) -> None:
        super().__init__()
        self.listeners: dict[Address, SimListener] = {}
        self.sockets: dict[Address, SimDatagrams] = {}
        self._port = 40000

    def aside(self, call: Callable[..., Any], *args: Any) -> Any:
        """Make a call and let `ASIDE_MS` pass for it."""
        self.sleep(ASIDE_MS)
        return call(*args)

    def listen(self, address: Address, backlog: int = 512) -> "SimListener":
        """Listen at an address; port 0 takes a free one."""
        if address.port == 0:
            address = Address(address.host, self._free_port())
        if address in self.listeners:
            raise OSError(errno.EADDRINUSE, f"{address}: in use")
        listener = self.listeners[address] = SimListener(self, address, backlog)
        return listener

    def datagrams(self, address: Address) -> "SimDatagrams":
        """Open a socket for datagrams at an address; port 0 takes a free one."""
        if address.port == 0:
            address = Address(address.host, self._free_port())
        if address in self.sockets:
            raise OSError(errno.EADDRINUSE, f"{address}: in use")
        socket = self.sockets[address] = SimDatagrams(self, address)
        return socket

    def free(self, address: Address) -> None:
        """Forget a socket for datagrams."""
        self.sockets.pop(address, None)

    def _free_port(self) -> int:
        self._port += 1
        return self._port


class SimLoop(MemoryLoop):
    """Virtual time and in-memory streams.

    `latency_ms` is the time one way, `jitter` the share of it that is drawn anew for each piece.
    """

    def __init__(self, seed: int, latency_ms: float = 0.5, jitter: float = 0.5) -> None:
        super().__init__()
        self.random = Random(seed)
        self.latency_ms, self.jitter = latency_ms, jitter
        self.unreachable: set[Address] = set()  # connecting there hangs, as to a machine that is lost
        self._time = 1000.0

    def now(self) -> float:
        """Return the virtual time in ms."""
        return self._time

    def wall(self) -> float:
        """Return the virtual time in seconds, for logs alone."""
        return self._time / 1000.0

    def token(self, size: int) -> bytes:
        """Return so many bytes drawn by the seed."""
        return self.random.randbytes(size)

    def connect(self, address: Address) -> "SimStream":
        """Connect to an address; takes the time there and back."""
        self.sleep(self.delay() + self.delay())
        while address in self.unreachable:
            self.sleep(1000.0)  # the caller's deadline ends it
        listener = self.listeners.get(address)
        if listener is None or len(listener.waiting) >= listener.backlog:
            raise ConnectFailed(errno.ECONNREFUSED, f"{address}: refused")
        there, back = Pipe(self), Pipe(self)
        listener.offer(SimStream(self, Address("127.0.0.1", self._free_port()), there, back))
        return SimStream(self, address, back, there)

    def carry(self, data: bytes, source: Address, to: Address) -> None:
        """Bring a datagram to its receiver, if there is one."""

        def arrive() -> None:
            socket = self.sockets.get(to)
            if socket is not None:
                socket.offer(data, source)

        self.after(self.delay(), arrive)

    def delay(self) -> float:
        """Draw the time of one piece on its way, in ms."""
        return self.latency_ms * (1.0 + self.jitter * (self.random.random() - 0.5))

    def _pause(self, until: float | None) -> None:
        if self.ready:
            return
        if until is None:
            waiting = ", ".join(sorted({task.name for task in self.tasks}))
            raise Deadlock(f"nothing can happen any more; waiting: {waiting}")
        self._time = max(self._time, until)


class Pipe:
    """One way of a connection, between two tasks of one loop.

    `loop/sim_network.py` has one between two hosts.
    """

    def __init__(self, loop: Loop) -> None:
        self.loop = loop
        self.arrived: deque[bytes] = deque()
        self.held = 0  # bytes under way and unread
        self.ended = self.reset = False
        self.last_at = 0.0
        self.reader: Waiter | None = None
        self.writer: Waiter | None = None

    def send(self, data: bytes) -> None:
        """Put a piece under way."""
        self.held += len(data)
        self.later(lambda: self.arrived.append(data))

    def finish(self) -> None:
        """Put the end under way, behind what was sent; the writer's end may still read."""
        self.later(self._end)

    def end(self) -> None:
        """Put the end under way, behind what was sent."""
        self.finish()

    def _end(self) -> None:
        self.ended = True

    def cut(self) -> None:
        """Break the pipe: what is unread is lost."""
        self.reset = True
        self.arrived.clear()
        self.wake_reader()
        self.wake_writer()

    def drop(self) -> None:
        """Let the reading end go: what is unread is lost."""
        self.cut()

    def refuse(self) -> None:
        """Let its writer see a reset from the reader's end."""
        self.reset = True
        self.wake_reader()
        self.wake_writer()

    def arrive(self, deliver: Callable[[], None]) -> None:
        """Deliver what was under way, unless the pipe broke meanwhile."""
        if not self.reset:
            deliver()
            self.wake_reader()

    def wake_reader(self) -> None:
        """Let the reading end look again."""
        if self.reader is not None:
            self.reader.wake()

    def wake_writer(self) -> None:
        """Let the writing end look again."""
        if self.writer is not None:
            self.writer.wake()

    def later(self, deliver: Callable[[], None]) -> None:
        """Make the call when what is sent now arrives."""
        self.last_at = max(self.last_at, self.loop.now() + self.loop.delay())
        self.loop.at(self.last_at, lambda: self.arrive(deliver))

    def refuse_later(self) -> None:
        """Let the writing end see, after the way back, that nobody reads any more."""
        self.loop.after(self.loop.delay(), self.refuse)

    def cut_later(self) -> None:
        """Let the reading end see, after the way there, that the pipe broke."""
        self.loop.after(self.loop.delay(), self.cut)


class SimStream:
    """One end of a connection in memory."""

    __slots__ = ("loop", "peer", "inward", "outward", "closed", "finished")

    def __init__(self, loop: Loop, peer: Address, inward: Pipe, outward: Pipe) -> None:
        self.loop, self.peer, self.inward, self.outward = loop, peer, inward, outward
        self.closed = self.finished = False

    def read(self, most: int = READ_MOST) -> bytes:
        """Return some bytes, b"" at the end; wait for them."""
        pipe = self.inward
        while not pipe.arrived:
            if self.closed or pipe.ended and not pipe.reset:
                return b""
            if pipe.reset:
                raise StreamReset(errno.ECONNRESET, f"{self.peer}: reset")
            pipe.reader = Waiter(self.loop)
            pipe.reader.wait()
        data = pipe.arrived.popleft()
        if len(data) > most:
            pipe.arrived.appendleft(data[most:])
            data = data[:most]
        pipe.held -= len(data)
        pipe.wake_writer()
        return data

    def write(self, data: bytes, within_ms: float | None = None) -> None:
        """Hand all bytes on; wait while the pipe is full, for so long at most."""
        if within_ms is not None and len(data) > PIPE_BYTES - self.outward.held:
            with self.loop.deadline(within_ms):
                self.write(data)
            return
        pipe, rest = self.outward, memoryview(data)
        while rest:
            if self.finished or pipe.reset:
                raise StreamReset(errno.EPIPE, f"{self.peer}: broken pipe")
            room = PIPE_BYTES - pipe.held
            if room <= 0:
                pipe.writer = Waiter(self.loop)
                pipe.writer.wait()
                continue
            pipe.send(bytes(rest[:room]))
            rest = rest[room:]

    @property
    def unseen_since_ms(self) -> float:
        """Since when what was read last may have waited; nothing waits while time stands still."""
        return self.loop.unseen_since_ms

    def push(self, data: bytes) -> int:
        """Hand on what is taken without waiting; return how many bytes."""
        if self.finished or self.outward.reset:
            raise StreamReset(errno.EPIPE, f"{self.peer}: broken pipe")
        room = max(0, PIPE_BYTES - self.outward.held)
        if room:
            self.outward.send(data[:room])
        return min(len(data), room)

    def broken(self) -> bool:
        """Tell whether the peer has closed an idle connection or sent what nobody asked for."""
        pipe = self.inward
        return self.closed or pipe.reset or pipe.ended or bool(pipe.arrived)

    def waiting(self) -> bool:
        """Tell whether bytes have come that are not read yet; an end is none."""
        return not self.closed and bool(self.inward.arrived)

    def ended(self) -> bool:
        """Tell whether the peer sends nothing more, whatever of it is not read yet."""
        return self.closed or self.inward.ended or self.inward.reset

    def half_close(self) -> None:
        """Send nothing more, behind what was written; what the peer still sends can be read."""
        if not self.finished:
            self.finished = True
            self.outward.finish()
            self.outward.wake_writer()

    def close(self) -> None:
        """Close in order; a peer that still writes is told by a reset, as a kernel does."""
        if not self.closed:
            self.closed = self.finished = True
            self.outward.end()
            self.inward.refuse_later()
            self.inward.wake_reader()
            self.inward.wake_writer()

    def abort(self) -> None:
        """Close at once, so that the peer sees a reset."""
        if not self.closed:
            self.closed = self.finished = True
            self.inward.drop()
            self.outward.cut_later()


class SimListener:
    """Takes in-memory connections in."""

    def __init__(self, loop: Any, address: Address, backlog: int) -> None:
        self.loop, self.address, self.backlog = loop, address, backlog
        self.waiting: deque[SimStream] = deque()
        self._waiter: Waiter | None = None
        self.closed = False

    def offer(self, stream: SimStream) -> None:
        """Put a connection in line."""
        self.waiting.append(stream)
        if self._waiter is not None:
            self._waiter.wake()

    def accept(self) -> SimStream:
        """Return the next connection; wait for it."""
        while not self.waiting:
            if self.closed:
                raise StreamReset(errno.EBADF, f"{self.address}: closed here")
            self._waiter = Waiter(self.loop)
            self._waiter.wait()
        return self.waiting.popleft()

    def finish(self, until_ms: float) -> list[SimStream]:
        """Take no more connections; return those that wait."""
        streams = list(self.waiting)
        self.waiting.clear()
        self.close()
        return streams

    def close(self) -> None:
        """Take no more connections; those in line are broken."""
        if not self.closed:
            self.closed = True
            self.loop.listeners.pop(self.address, None)
            while self.waiting:
                self.waiting.popleft().abort()
            if self._waiter is not None:
                self._waiter.wake()


class SimDatagrams:
    """A socket for datagrams in memory; `loop` carries them."""

    def __init__(self, loop: Any, address: Address) -> None:
        self.loop, self.address = loop, address
        self.waiting: deque[tuple[bytes, Address]] = deque()
        self.dropped = 0  # came while as many waited as may
        self._waiter: Waiter | None = None
        self.closed = False

    def send(self, data: bytes, to: Address) -> bool:
        """Hand a datagram on."""
        if not self.closed:
            self.loop.carry(bytes(data), self.address, to)
        return not self.closed

    def offer(self, data: bytes, source: Address) -> None:
        """Take a datagram that came."""
        if len(self.waiting) >= UNREAD_MOST:
            self.dropped += 1
            return
        self.waiting.append((data, source))
        if self._waiter is not None:
            self._waiter.wake()

    def receive(self) -> tuple[bytes, Address]:
        """Return the next datagram and whose it is; wait for it."""
        while not self.waiting:
            if self.closed:
                raise StreamReset(errno.EBADF, f"{self.address}: closed here")
            self._waiter = Waiter(self.loop)
            self._waiter.wait()
        return self.waiting.popleft()

    def close(self) -> None:
        """Send and receive nothing more."""
        if not self.closed:
            self.closed = True
            self.loop.free(self.address)
            if self._waiter is not None:
                self._waiter.wake()
