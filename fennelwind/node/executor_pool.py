"""Links to executors: the core's `Engines` over HTTP/1.1, and the connections that attempts share.

Executors are known by their instance ids. What the old holder of an address left never meets its new one.
An attempt is in `node/attempt.py`.
"""

import errno
from collections import Counter, deque
from collections.abc import Iterator
from contextlib import contextmanager, suppress

from fennelwind.dispatch.types import AttemptEnd, AttemptRequest
from fennelwind.loop.scheduler import DeadlineExceeded, Loop, Waiter
from fennelwind.loop.streams import Address, ConnectFailed, Stream, StreamReset
from fennelwind.node.attempt import Attempt, request
from fennelwind.node.http1 import Malformed, Response, ResponseReader

REST_MS = 60.0  # ms that a connection rests after an answer: a second copy of it, which nothing in it tells
# from the next call's answer, is some milliseconds late, and an executor that is short of a core some more
IDLE_PART = 0.8  # of the time after which executors close idle connections; ours go before
READ_BYTES = 16384  # bytes of one read; two pages with their heads
DELETERS = 3  # queries ended at one executor at a time; hundreds of withdrawals must leave room for the rest
DELETE_MS = 600.0  # ms for one try to end a query
DELETE_TRIES = 2  # tries; an executor forgets what it is not asked for after 2 s anyway
DELETES_MOST = 500  # queries waiting to be ended at one executor; what is over it is left to its own time
TELLERS = 8  # new priorities under way at a time; what is over it is dropped, as it changes no answer
TELL_MS = 400.0  # ms for telling a priority
PROBE_MS = 250.0  # ms for a probe
# Load reports may use the platform's words or the wire's.
REPORT_WORDS = {
    "inflight": "active",
    "queue": "waiting",
    "util": "cpu",
    "latency_ms": "avg_ms",
    "qps": "rps",
    "eps": "err_rps",
}


class Connection:
    """One connection to an executor, for one call at a time."""

    __slots__ = ("stream", "reader", "idle_since")

    def __init__(self, stream: Stream) -> None:
        self.stream, self.reader, self.idle_since = stream, ResponseReader(), 0.0

    def call(self, raw: bytes) -> Response:
        """Make a call and wait for its answer. Raises `StreamReset` or `Malformed`."""
        self.stream.write(raw)
        return self.answer()

    def answer(self) -> Response:
        """Wait for the answer to what was written. Raises `StreamReset` or `Malformed`."""
        while True:
            data = self.stream.read(READ_BYTES)
            if not data:
                raise StreamReset(f"{self.stream.peer}: closed by the executor")
            response = self.reader.feed(data)
            if response is not None:
                return response


class Host:
    """One executor: where it is, and the idle connections to it, the longest idle first."""

    __slots__ = ("name", "address", "idle", "lost", "draining", "deletes", "deleters", "ended")

    def __init__(self, name: str, address: Address) -> None:
        self.name, self.address = name, address
        self.idle: deque[Connection] = deque()
        self.lost = False  # it has gone, or its address is another's now
        self.draining = False  # nothing new is to be sent to it
        # Of its own, so that an executor which answers nothing holds up no other's.
        self.deletes: deque[tuple[str, Waiter | None]] = deque()
        self.deleters = 0
        self.ended: Counter[str] = Counter()  # attempts by their end, since somebody looked


class Gone(ConnectFailed):
    """The executor has gone; its address may be another's."""


class Executors:
    """The links to all executors."""

    def __init__(
        self,
        loop: Loop,
        *,
        report_fields: tuple[str, ...],
        idle_ms: float,
        dial_ms: float,
        most: int,
        parallel: bool,
    ) -> None:
        self.loop, self.report_fields = loop, frozenset(report_fields)
        self.idle_ms, self.dial_ms, self.most, self.parallel = idle_ms * IDLE_PART, dial_ms, most, parallel
        self.hosts: dict[str, Host] = {}
        self.by_address: dict[Address, Host] = {}
        self.count = 0  # connections
        self.counts: Counter[str] = Counter()  # of what happened on connections
        self._room: deque[Waiter] = deque()  # who waits for a connection to be allowed
        self._out: dict[int, list[Attempt]] = {}
        self._deleting: Counter[tuple[str, str]] = Counter()
        self._tellers = 0

    def start(self) -> None:
        """Start what looks after idle connections."""
        self.loop.spawn(self._sweep, name="executors: sweep")

    # The list.

    def place(self, name: str, address: Address, draining: bool = False) -> None:
        """Note where an executor is; whoever had the address before has lost it."""
        host = self.hosts.get(name)
        if host is not None and host.address == address and not host.lost:
            host.draining = draining
            return
        if host is not None:
            self.remove(name)
        before = self.by_address.get(address)
        if before is not None:
            self._lose(before)
        host = self.hosts[name] = self.by_address[address] = Host(name, address)
        host.draining = draining

    def remove(self, name: str) -> None:
        """Forget an executor that has gone."""
        host = self.hosts.pop(name, None)
        if host is not None:
            self._lose(host)

    def _lose(self, host: Host) -> None:
        host.lost = True
        if self.by_address.get(host.address) is host:
            del self.by_address[host.address]
        while host.idle:
            self.drop(host.idle.popleft())

    # The core's view.

    def attempt(self, engine: str, order: AttemptRequest) -> AttemptEnd:
        """Make an attempt and wait for its end."""
        host = self.hosts.get(engine)
        if host is None:
            return AttemptEnd("connect_failed", "the executor is not known any more")
        attempt = Attempt(self, host, order)
        self._out.setdefault(order.query, []).append(attempt)
        status = "cancelled"
        try:
            end = attempt.run()
            status = end.status
            return end
        finally:
            host.ended[status] += 1
            out = self._out[order.query]
            out.remove(attempt)
            if not out:
                del self._out[order.query]

    def out(self, query: int) -> list["Attempt"]:
        """Return the attempts of a query that are under way."""
        return self._out.get(query, [])

    def running(self) -> dict[str, int]:
        """Return the number of attempts under way by executor, as counted here."""
        return Counter(attempt.host.name for attempts in self._out.values() for attempt in attempts)

    def update_grant(self, query: int, memory_mb: float, priority: int) -> None:
        """Tell the executors at which attempts of a query are out of its new priority; none may be lost."""
        for attempt in self.out(query):
            changed = attempt.order.priority != priority
            attempt.order.priority = priority
            if changed and attempt.posted:
                self.tell(attempt)

    def tell(self, attempt: "Attempt") -> None:
        """Tell an executor the priority of an attempt that is under way there."""
        if attempt.told == attempt.order.priority or attempt.telling:
            return
        if self._tellers >= TELLERS:
            self.counts["untold"] += 1
            return
        self._tellers += 1
        attempt.telling = True
        self.loop.spawn(self._tell, attempt, name="executors: priority")

    def _tell(self, attempt: "Attempt") -> None:
        try:
            while attempt.running and attempt.told != attempt.order.priority:
                priority = attempt.order.priority
                self.once(attempt.host, request(b"PUT", attempt.name, b"", b"%d" % priority), TELL_MS)
                attempt.told = priority
                self.counts["told"] += 1
        except (OSError, Malformed):
            self.counts["untold"] += 1
        finally:
            attempt.telling = False
            self._tellers -= 1

    def check_health(self, engine: str) -> AttemptEnd:
        """Ask an executor for its gauges."""
        host = self.hosts.get(engine)
        if host is None:
            return AttemptEnd("connect_failed", "the executor is not known any more")
        raw = b"GET /-/gauges HTTP/1.1\r\nHost: executor\r\n\r\n"
        try:
            response = self.once(host, raw, PROBE_MS)
        except DeadlineExceeded:
            return AttemptEnd("timeout", "no answer to a probe")
        except OSError as exc:
            return AttemptEnd("connect_failed", str(exc))
        except Malformed as exc:
            return AttemptEnd("error", str(exc))
        return AttemptEnd("ok" if response.status == 200 else "error", load=self.load(response))

    def load(self, response: Response) -> dict[str, float]:
        """Return the load report that rides on an answer; what can't be read is left out."""
        raw = response.headers.get(b"x-load")
        report: dict[str, float] = {}
        for part in raw[:500].decode("ascii", "replace").split(";") if raw else ():
            name, _, text = part.strip().partition(":")
            name = REPORT_WORDS.get(name, name)
            if name in self.report_fields:
                with suppress(ValueError):
                    value = float(text)
                    if 0.0 <= value < 1e9:
                        report[name] = value
        return report

    # Connections.

    def take(self, host: Host, fresh: bool = False) -> Connection:
        """Return a connection to the executor, an idle one that has rested unless a fresh one is asked for.

        Raises `ConnectFailed`, which proves that nothing was sent, and `DeadlineExceeded` of the caller's.
        """
        rested = self.loop.now() - REST_MS
        while not fresh and host.idle and host.idle[0].idle_since <= rested:
            connection = host.idle.popleft()
            if not connection.stream.broken():
                return connection
            self.counts["idle_broken"] += 1
            self.drop(connection)
        while self.count >= self.most and not self._evict():
            waiter = Waiter(self.loop)
            self._room.append(waiter)
            self.counts["waited_for_room"] += 1
            waiter.wait()
        if host.lost:
            raise Gone(errno.ECONNREFUSED, f"{host.name} has gone from {host.address}")
        self.count += 1
        stream = None
        try:
            with self.loop.deadline(self.dial_ms):
                stream = self.loop.connect(host.address)
        except DeadlineExceeded:
            raise ConnectFailed(errno.ETIMEDOUT, f"{host.address}: no connection in time") from None
        finally:
            if stream is None:
                self._let_go()
        self.counts["opened"] += 1
        return Connection(stream)

    def put(self, host: Host, connection: Connection, response: Response) -> None:
        """Keep a connection for later if nothing about it was out of order."""
        if not response.reusable or host.lost:
            self.counts["not_reusable"] += not response.reusable
            self.drop(connection)
            return
        connection.idle_since = self.loop.now()
        host.idle.append(connection)
        if self._room and self.count >= self.most:
            self._evict()

    def drop(self, connection: Connection) -> None:
        """Close a connection."""
        connection.stream.abort()
        self._let_go()

    def _let_go(self) -> None:
        self.count -= 1
        while self._room and not self._room.popleft().wake():
            pass

    def _evict(self) -> bool:
        """Close the connection that has been idle longest; False if none is idle."""
        idle = [host for host in self.hosts.values() if host.idle]
        if not idle:
            return False
        self.drop(min(idle, key=lambda host: host.idle[0].idle_since).idle.popleft())
        return True

    def use(self, host: Host, fresh: bool = False) -> "Use":
        """Return a connection to use until its `end`; raises as `take` does."""
        return Use(self, host, self.take(host, fresh))

    @contextmanager
    def using(self, host: Host, fresh: bool = False) -> Iterator["Use"]:
        """Use a connection for calls; it is kept only if the last of them left it in order."""
        use = self.use(host, fresh)
        try:
            yield use
        finally:
            use.end()

    def once(self, host: Host, raw: bytes, within_ms: float, fresh: bool = False) -> Response:
        """Make one call within the time. Raises `OSError` (time included) or `Malformed`."""
        with self.loop.deadline(within_ms), self.using(host, fresh) as use:
            return use.call(raw)

    def _sweep(self) -> None:
        while True:
            self.loop.sleep(1000.0)
            old = self.loop.now() - self.idle_ms
            for host in self.hosts.values():
                while host.idle and host.idle[0].idle_since <= old:
                    self.drop(host.idle.popleft())

    # Ending what was posted and is not wanted any more.

    def end(self, host: Host, name: str, waiter: Waiter | None = None) -> None:
        """End a query over there; the waiter is woken with whether it is known to be ended."""
        if host.lost or len(host.deletes) >= DELETES_MOST:
            self.counts["undeleted"] += 1
            if waiter is not None:
                waiter.wake(False)
            return
        host.deletes.append((name, waiter))
        self._deleting[host.name, name] += 1
        if host.deleters < DELETERS:
            host.deleters += 1
            self.loop.spawn(self._delete, host, name="executors: delete")

    def _delete(self, host: Host) -> None:
        try:
            while host.deletes:
                name, waiter = host.deletes.popleft()
                ended = False
                try:
                    ended = self._delete_one(host, name)
                finally:
                    self._deleting[host.name, name] -= 1
                    if not self._deleting[host.name, name]:
                        del self._deleting[host.name, name]
                    if waiter is not None:
                        waiter.wake(ended)
        finally:
            host.deleters -= 1

    def _delete_one(self, host: Host, name: str) -> bool:
        """End a query over there; tell whether it is known to be ended."""
        for number in range(DELETE_TRIES):
            try:
                response = self.once(host, request(b"DELETE", name), DELETE_MS, fresh=number > 0)
            except ConnectFailed:
                break  # not even a refusal tells that it has ended: its own connection would have broken
            except (OSError, Malformed):
                continue
            if response.status in (204, 500):  # ended now, or not known any more
                self.counts["deleted"] += 1
                return True
        self.counts["undeleted"] += 1
        return False

    def being_ended(self, host: Host, name: str) -> bool:
        """Tell whether an earlier attempt under the same name is still to be ended there."""
        return (host.name, name) in self._deleting


class Use:
    """A connection in use."""

    __slots__ = ("links", "host", "connection", "last")

    def __init__(self, links: Executors, host: Host, connection: Connection) -> None:
        self.links, self.host, self.connection = links, host, connection
        self.last: Response | None = None

    def call(self, raw: bytes) -> Response:
        """Make a call; raises `StreamReset` or `Malformed`."""
        self.last = None
        self.last = self.connection.call(raw)
        return self.last

    def answer(self) -> Response:
        """Wait for the answer to what was written; raises as `call` does."""
        self.last = self.connection.answer()
        return self.last

    def end(self) -> None:
        """Keep the connection or close it."""
        if self.last is not None:
            self.links.put(self.host, self.connection, self.last)
        else:
            self.links.drop(self.connection)
