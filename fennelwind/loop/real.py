"""The loop on real sockets, by `select.poll`."""

import errno
import os
import secrets
import select
import signal
import socket
import struct
import time
from collections import deque
from collections.abc import Callable, Iterator
from contextlib import suppress
from functools import lru_cache
from typing import TYPE_CHECKING, Any

from fennelwind.loop.scheduler import Loop, TurnQuota, Waiter
from fennelwind.loop.streams import (
    DATAGRAM_MOST,
    READ_MOST,
    Address,
    ConnectFailed,
    LocalConnectFailure,
    StreamReset,
)
from fennelwind.loop.syscall_retry import SHORTAGES

if TYPE_CHECKING:
    from concurrent.futures import Future, ThreadPoolExecutor

    from fennelwind.loop.resolver import Names

READ, WRITE = select.POLLIN | select.POLLRDHUP, select.POLLOUT
LOOK_MOST_MS = 100.0  # ms that one look may wait: how well a halt of the process is noticed
BACK_OFF_MS = 100.0  # ms without accepting when descriptors are used up; what waits is taken then
ASIDE_THREADS = 2  # what runs beside the loop must leave it a core
LOCAL = SHORTAGES | {errno.EADDRNOTAVAIL, errno.EAGAIN, errno.ENETDOWN, errno.ENETUNREACH}  # of connect
LOCAL_RETRY_MS, LOCAL_PAUSE_MS = 200.0, 20.0  # ms in which a connect that fails here is tried again; pauses
PASSING_MS = 2.0  # ms without accepting after an error that befell one connection
NO_LISTENER = {errno.EBADF, errno.EINVAL, errno.ENOTSOCK}  # of accept: it will never take a connection again
HANGUP, TERMINATE, INTERRUPT = signal.SIGHUP, signal.SIGTERM, signal.SIGINT
TELL_WHERE = signal.SIGUSR1  # a rig has its workers write down where they stand
DATAGRAMS_PER_TURN = 64  # that one socket returns
NAMES_MOST = 4096  # hosts of which it is known whether they are names
AGAIN = (BlockingIOError, InterruptedError)


@lru_cache(NAMES_MOST)
def in_digits(host: str) -> bool:
    """Tell whether a host is an address already, which nobody needs to look up."""
    for family in (socket.AF_INET, socket.AF_INET6):
        with suppress(OSError, ValueError):
            socket.inet_pton(family, host.partition("%")[0])
            return True
    return False


class _Watch:
    """Who waits for a descriptor, and what the poll object was told."""

    __slots__ = ("reader", "writer", "mask")

    def __init__(self) -> None:
        self.reader: Waiter | None = None
        self.writer: Waiter | None = None
        self.mask = 0


class RealLoop(Loop):
    """Real time and real sockets."""

    def __init__(self) -> None:
        super().__init__()
        self.look_most_ms = LOOK_MOST_MS
        self._poll = select.poll()
        self._watches: dict[int, _Watch] = {}
        self._signals: dict[int, Callable[[], None]] = {}
        self._wake_in = self._wake_out = -1
        self._aside: ThreadPoolExecutor | None = None
        self._names: Names | None = None
        self._came: deque[Callable[[], None]] = deque()  # from threads, to be called in a turn of the loop
        self.short_of_descriptors = 0  # times that accepting had to rest

    def now(self) -> float:
        """Return the time in ms on the system's monotonic clock."""
        return time.monotonic() * 1000.0

    def wall(self) -> float:
        """Return the time of day in seconds since 1970, for logs alone."""
        return time.time()

    def token(self, size: int) -> bytes:
        """Return so many random bytes that nobody can guess."""
        return secrets.token_bytes(size)

    def resident_bytes(self) -> int:
        """Return the process's resident memory, or 0 where the system doesn't tell it."""
        try:
            with open("/proc/self/statm", encoding="ascii") as file:
                return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")
        except (OSError, ValueError, IndexError):
            return 0

    def listen(self, address: Address, backlog: int = 512) -> "SocketListener":
        """Listen at an address; port 0 takes a free one."""
        sock = socket.socket(socket.AF_INET6 if ":" in address.host else socket.AF_INET)
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.setblocking(False)
            sock.bind((address.host, address.port))
            sock.listen(backlog)
        except OSError:
            sock.close()
            raise
        return SocketListener(self, sock, backlog)

    def datagrams(self, address: Address) -> "SocketDatagrams":
        """Open a socket for datagrams at an address; port 0 takes a free one."""
        family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
        sock = socket.socket(family, socket.SOCK_DGRAM)
        try:
            sock.setblocking(False)
            sock.bind((address.host, address.port))
        except OSError:
            sock.close()
            raise
        return SocketDatagrams(self, sock)

    def connect(self, address: Address, source: str = "") -> "SocketStream":
        """Connect to an address, from the host `source` if one is named.

        `ConnectFailed` proves that nothing was sent. What fails by this machine's own trouble is tried again
        for a moment, then it is `LocalConnectFailure`.
        """
        host = address.host if in_digits(address.host) else self._found(address.host)
        until = self.now() + LOCAL_RETRY_MS
        while True:
            try:
                return self._dial(host, address, source)
            except LocalConnectFailure:
                if self.now() >= until:
                    raise
            self.sleep(LOCAL_PAUSE_MS)

    def _dial(self, host: str, address: Address, source: str) -> "SocketStream":
        try:
            sock = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET)
        except OSError as exc:
            kind = LocalConnectFailure if exc.errno in LOCAL else ConnectFailed
            raise kind(exc.errno, f"{address}: {exc.strerror}") from None
        sock.setblocking(False)
        try:
            if source:
                sock.bind((source, 0))
            code = sock.connect_ex((host, address.port))
            if code in (errno.EINPROGRESS, errno.EINTR):  # it goes on, interrupted or not
                self.watch(sock.fileno(), WRITE).wait()
                code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if code in LOCAL:
                raise LocalConnectFailure(code, f"{address}: {os.strerror(code)}")
            if code:
                raise ConnectFailed(code, f"{address}: {os.strerror(code)}")
        except socket.gaierror as exc:
            self.forget(sock)
            raise ConnectFailed(exc.errno, f"{address}: {exc.strerror}") from None
        except BaseException:
            self.forget(sock)
            raise
        return SocketStream(self, sock, address)

    def _found(self, name: str) -> str:
        """Return the address of a host's name. Raises `ConnectFailed`."""
        if self._names is None:
            from fennelwind.loop.resolver import Names  # most programs' addresses are in digits

            try:
                self.open_wake()
            except OSError as exc:
                raise LocalConnectFailure(exc.errno, f"{name}: {exc.strerror}") from None
            self._names = Names(self, self.from_thread)
        return self._names.find(name)

    def on_signal(self, number: int, call: Callable[[], None]) -> None:
        """Make the call in a turn of the loop when the process gets the signal."""
        self.open_wake()
        signal.set_wakeup_fd(self._wake_out, warn_on_full_buffer=False)
        self._signals[number] = call
        signal.signal(number, lambda *_: None)

    def open_wake(self) -> None:
        """Make the pipe by which signals and threads wake the loop."""
        if self._wake_in < 0:
            self._wake_in, self._wake_out = os.pipe()
            os.set_blocking(self._wake_in, False)
            os.set_blocking(self._wake_out, False)
            self._poll.register(self._wake_in, select.POLLIN)

    def aside(self, call: Callable[..., Any], *args: Any) -> Any:
        """Make a call that takes long in a thread; wait for it. It must touch nothing of the loop's."""
        self.open_wake()
        if self._aside is None:
            from concurrent.futures import ThreadPoolExecutor  # most programs on the loop never need it

            self._aside = ThreadPoolExecutor(ASIDE_THREADS, "fennelwind-aside")
        future, waiter = self._aside.submit(call, *args), Waiter(self)

        def ended(_: "Future") -> None:
            self.from_thread(waiter.wake)

        future.add_done_callback(ended)
        waiter.wait()
        return future.result()

    def from_thread(self, call: Callable[[], None]) -> None:
        """Make the call in a turn of the loop; for threads, once `open_wake` was called on the loop's own."""
        self._came.append(call)
        with suppress(BlockingIOError):  # a full pipe wakes the loop as well
            os.write(self._wake_out, b"\0")

    def watch(self, fd: int, mask: int) -> Waiter:
        """Return a waiter that is woken when the descriptor is ready for what the mask says."""
        watch = self._watches.get(fd)
        if watch is None:
            watch = self._watches[fd] = _Watch()
        waiter = Waiter(self)
        if mask == READ:
            watch.reader = waiter
        else:
            watch.writer = waiter
        if watch.mask & mask != mask:
            watch.mask |= mask
            self._poll.register(fd, watch.mask)
        return waiter

    def forget(self, sock: socket.socket) -> None:
        """Close a socket and stop watching it; whoever waits for it is woken."""
        fd = sock.fileno()
        watch = self._watches.pop(fd, None)
        if watch is not None:
            if watch.mask:
                self._poll.unregister(fd)
            for waiter in (watch.reader, watch.writer):
                if waiter is not None:
                    waiter.wake()
        with suppress(OSError):  # the descriptor is free all the same
            sock.close()

    def _pause(self, until: float | None) -> None:
        timeout = None if until is None else max(0.0, until - self.now())
        for fd, event in self._poll.poll(timeout):
            if fd == self._wake_in:
                self._take_signals()
                continue
            watch = self._watches.get(fd)
            if watch is None:
                continue
            failed = event & (select.POLLERR | select.POLLHUP | select.POLLNVAL)
            keep = watch.mask
            if event & READ or failed:
                if watch.reader is None or not watch.reader.wake():
                    keep &= ~READ  # nobody waits: level-triggered news must not spin the loop
                watch.reader = None
            if event & WRITE or failed:
                if watch.writer is not None:
                    watch.writer.wake()
                watch.writer = None
                keep &= ~WRITE  # a socket is nearly always writable
            if keep != watch.mask:
                watch.mask = keep
                if keep:
                    self._poll.modify(fd, keep)
                else:
                    self._poll.unregister(fd)

    def _take_signals(self) -> None:
        with suppress(BlockingIOError):  # a look may tell of bytes that are not there
            for number in os.read(self._wake_in, 4096):
                if number in self._signals:
                    self._call(self._signals[number])
        while self._came:
            self._call(self._came.popleft())

    def _call(self, call: Callable[[], None]) -> None:
        try:
            call()
        except Exception as exc:  # one call's failure must not end the program, here as anywhere
            self.on_error(self.callbacks, exc)


class SocketStream:
    """A connected socket."""

    __slots__ = ("loop", "sock", "peer", "drained", "read_in_turn", "unseen_since_ms")

    def __init__(
        self, loop: RealLoop, sock: socket.socket, peer: Address, unseen_since_ms: float | None = None
    ) -> None:
        self.loop, self.sock, self.peer = loop, sock, peer
        self.drained = False  # the last read took all there was
        self.read_in_turn = -1  # the turn of the loop in which the last read returned
        self.unseen_since_ms = loop.now() if unseen_since_ms is None else unseen_since_ms
        with suppress(OSError):  # some answers are a little slower without it
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def read(self, most: int = READ_MOST) -> bytes:
        """Return some bytes, b"" at the end; wait for them.

        Returns at most once a turn: a peer that sends faster than its reader handles it must not keep the
        loop from its timers and other tasks.
        """
        if not self.drained and self.read_in_turn == self.loop.turns:
            self.loop.sleep(0.0)
        while True:
            if self.drained:  # a look would find nothing: in a dialogue nearly every read comes to here
                if self.sock.fileno() >= 0:  # another task may have closed it since the last read
                    self.loop.watch(self.sock.fileno(), READ).wait()
                    self.unseen_since_ms = self.loop.unseen_since_ms
                if self.sock.fileno() < 0:
                    return b""
            try:
                data = self.sock.recv(most)
            except AGAIN:
                self.drained = True
                continue
            except OSError as exc:
                if self.sock.fileno() < 0:
                    return b""
                raise StreamReset(exc.errno, f"{self.peer}: {exc.strerror}") from None
            self.drained, self.read_in_turn = 0 < len(data) < most, self.loop.turns
            return data

    def write(self, data: bytes, within_ms: float | None = None) -> None:
        """Hand all bytes on; wait while the peer takes none, for so long at most."""
        try:
            sent = self.sock.send(data)
        except AGAIN:
            sent = 0
        except OSError as exc:
            raise StreamReset(exc.errno, f"{self.peer}: {exc.strerror}") from None
        if sent < len(data):
            if within_ms is None:
                self._write_rest(memoryview(data)[sent:])
            else:
                with self.loop.deadline(within_ms):
                    self._write_rest(memoryview(data)[sent:])

    def push(self, data: bytes) -> int:
        """Hand on what is taken without waiting; return how many bytes."""
        try:
            return self.sock.send(data)
        except AGAIN:
            return 0
        except OSError as exc:
            raise StreamReset(exc.errno, f"{self.peer}: {exc.strerror}") from None

    def _write_rest(self, rest: memoryview) -> None:
        while rest:
            if self.sock.fileno() < 0:
                raise StreamReset(errno.EPIPE, f"{self.peer}: closed here")
            try:
                rest = rest[self.sock.send(rest) :]
            except AGAIN:
                self.loop.watch(self.sock.fileno(), WRITE).wait()
            except OSError as exc:
                raise StreamReset(exc.errno, f"{self.peer}: {exc.strerror}") from None

    def broken(self) -> bool:
        """Tell whether the peer has closed an idle connection or sent what nobody asked for."""
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except AGAIN:
            return False
        except OSError:
            pass
        return True

    def waiting(self) -> bool:
        """Tell whether bytes have come that are not read yet; an end is none."""
        try:
            return bool(self.sock.recv(1, socket.MSG_PEEK))
        except OSError:
            return False

    def ended(self) -> bool:
        """Tell whether the peer sends nothing more, whatever of it is not read yet."""
        if self.sock.fileno() < 0:
            return True
        poll = select.poll()
        poll.register(self.sock.fileno(), select.POLLRDHUP)
        return bool(poll.poll(0))

    def half_close(self) -> None:
        """Send nothing more, behind what was written; what the peer still sends can be read."""
        with suppress(OSError):  # it is closed or reset already
            self.sock.shutdown(socket.SHUT_WR)

    def close(self) -> None:
        """Close in order."""
        if self.sock.fileno() >= 0:
            self.loop.forget(self.sock)

    def abort(self) -> None:
        """Close at once, so that the peer sees a reset."""
        if self.sock.fileno() >= 0:
            with suppress(OSError):  # then the peer sees an end
                self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            self.loop.forget(self.sock)


class SocketListener:
    """A listening socket."""

    def __init__(self, loop: RealLoop, sock: socket.socket, backlog: int) -> None:
        self.loop, self.sock, self.backlog_size = loop, sock, backlog
        self.address = Address(*sock.getsockname()[:2])
        self.unseen_since_ms = loop.now()  # since when what is accepted next may have waited

    def backlog(self, most: int) -> None:
        """Let so many connections wait from now on; what the kernel finds over it never comes up."""
        self.sock.listen(most)
        self.backlog_size = max(self.backlog_size, most)  # what waits already stays

    def accept(self) -> SocketStream:
        """Return the next connection; where none can be had, rest and leave it to wait.

        accept(2) tells errors of the network too, which are over by themselves.
        """
        while self.sock.fileno() >= 0:
            try:
                return self._next()
            except AGAIN:
                self.loop.watch(self.sock.fileno(), READ).wait()
                self.unseen_since_ms = self.loop.unseen_since_ms
            except OSError as exc:
                self._rest(exc)
        raise StreamReset(errno.EBADF, f"{self.address}: closed here")

    def finish(self, until_ms: float) -> Iterator[SocketStream]:
        """Take no more connections; yield those that have come up and wait.

        Where one can't be had for a moment it is tried again, until then at most. Peers may connect faster
        than they are taken, so no more are yielded than can have waited.
        """
        left = self.backlog_size + 1  # the kernel lets one more wait than the backlog
        while self.sock.fileno() >= 0 and left:
            try:
                yield self._next()
                left -= 1
            except AGAIN:
                break
            except OSError as exc:
                if exc.errno in NO_LISTENER or self.loop.now() >= until_ms:
                    break
                self._rest(exc)
        self.close()

    def _next(self) -> SocketStream:
        sock, peer = self.sock.accept()
        sock.setblocking(False)
        return SocketStream(self.loop, sock, Address(*peer[:2]), self.unseen_since_ms)

    def _rest(self, exc: OSError) -> None:
        """Wait a little where accepting failed; raise `StreamReset` if it always will."""
        if exc.errno in NO_LISTENER:
            raise StreamReset(exc.errno, f"{self.address}: {exc.strerror}") from None
        self.loop.short_of_descriptors += exc.errno in SHORTAGES
        self.loop.sleep(BACK_OFF_MS if exc.errno in SHORTAGES else PASSING_MS)

    def close(self) -> None:
        """Take no more connections."""
        if self.sock.fileno() >= 0:
            self.loop.forget(self.sock)


class SocketDatagrams:
    """A socket for datagrams; what waits unread is bounded by the kernel's buffer."""

    def __init__(self, loop: RealLoop, sock: socket.socket) -> None:
        self.loop, self.sock = loop, sock
        self.address = Address(*sock.getsockname()[:2])
        self._quota = TurnQuota(loop, DATAGRAMS_PER_TURN)

    def send(self, data: bytes, to: Address) -> bool:
        """Hand a datagram on without waiting; False if it was dropped here at once."""
        try:
            return self.sock.sendto(data, (to.host, to.port)) == len(data)
        except OSError:  # no room, nobody there, closed: all of them are ways of being lost
            return False

    def receive(self) -> tuple[bytes, Address]:
        """Return the next datagram and whose it is; wait for it.

        Returns a bounded number of them in a turn, so that a flood does not keep the loop.
        """
        self._quota.take()
        while self.sock.fileno() >= 0:
            try:
                data, source = self.sock.recvfrom(DATAGRAM_MOST)
            except AGAIN:
                self.loop.watch(self.sock.fileno(), READ).wait()
            except OSError as exc:
                if self.sock.fileno() >= 0:
                    raise StreamReset(exc.errno, f"{self.address}: {exc.strerror}") from None
            else:
                return data, Address(*source[:2])
        raise StreamReset(errno.EBADF, f"{self.address}: closed here")

    def close(self) -> None:
        """Send and receive nothing more."""
        if self.sock.fileno() >= 0:
            self.loop.forget(self.sock)
