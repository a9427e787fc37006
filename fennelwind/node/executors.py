"""Links to executors: the core's `Engines` over HTTP/1.1.

An attempt is a POST and, as long as its end is not told, questions for its news. It is tied to no
connection: when one breaks, stays silent or brings something spoilt, the same attempt's news or page is
asked for again on a fresh one; that is no further attempt. What each end is told as:

- no connection: `connect_failed`, it never ran; 503 with X-Not-Run: `full`; 504 with X-Not-Run: `moot`
- 500, also for a query that the executor does not know: `error`, it may have run
- the executor can't be reached any more once the POST may have arrived: `reset`, it may have run
- `timeout` when the time is up, `cancelled` when called off; what was posted is then deleted over there

Executors are known by their instance ids. What the old holder of an address left never meets its new one.
"""

import errno
import re
from collections import Counter, deque
from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress

from fennelwind.core.types import AttemptEnd, Order, Result
from fennelwind.loop.scheduler import Cancelled, DeadlineExceeded, Loop, Waiter
from fennelwind.loop.streams import Address, ConnectFailed, LocalConnectFailure, Stream, StreamReset
from fennelwind.node.http1 import Malformed, Response, ResponseReader

NEWS_MS = 250.0  # ms after which an executor answers that a query goes on, as the protocol states
SILENCE_MS = 100.0  # ms beyond that without an answer; then a connection is given up as cut or stalled
EARLY_MS = 150.0  # ms; "goes on" sooner than this answers an earlier call: a second copy of something
POST_MS = 50.0  # ms for an attempt's bytes to leave; later its deadline is wrong, and its client may be gone
PAGE_MS = 400.0  # ms for a page, which is there at once; beyond them as above
REST_MS = 60.0  # ms that a connection rests after an answer: a second copy of it, which nothing in it tells
# from the next call's answer, is some milliseconds late, and an executor that is short of a core some more
LOOK_MS = 15.0  # ms between two looks whether an earlier attempt of a query has been ended
IDLE_PART = 0.8  # of the time after which executors close idle connections; ours go before
AGAIN_MS = 20.0  # ms longer each time before a fresh connection, from the second one that broke on
SPOILT_MOST = 8  # spoilt or broken answers to one attempt; beyond it, asking again has proven useless
UNREACHED_MOST = 3  # fresh connections in vain; then the machine is taken to have vanished
READ_BYTES = 16384  # bytes of one read; two pages with their heads
RESULT_MOST = 48_000  # bytes of a whole result, as the protocol states
PAGE_MOST = 6_000  # bytes of a page, as the protocol states
PAGES_MOST = 1000  # pages of a result; each holds a row at least
ROWS = re.compile(rb"(?:[^\t\n]*\t[^\t\n]*\t[^\t\n]*\n)*")
COUNT = re.compile(rb"[0-9]{1,4}")
DELETERS = 3  # queries ended at one executor at a time; hundreds of withdrawals must leave room for the rest
DELETE_MS = 600.0  # ms for one try to end a query
DELETE_TRIES = 2  # tries; an executor forgets what it is not asked for after 2 s anyway
DELETES_MOST = 500  # queries waiting to be ended at one executor; what is over it is left to its own time
TELLERS = 8  # new priorities under way at a time; what is over it is dropped, as it changes no answer
TELL_MS = 400.0  # ms for telling a priority
# An executor drops what it is not asked for in 2 s; it may have been this long at the last question.
UNASKED_MS = 2000.0 + NEWS_MS + SILENCE_MS
HEARD_MS = 25.0  # ms; a loop that has not looked for so long hears first who has left: 100 ms are allowed
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


class NotSent(ConnectFailed):
    """The executor took no whole attempt in time; nothing ran."""


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
        self._out: dict[int, list[_Attempt]] = {}
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

    def attempt(self, engine: str, order: Order) -> AttemptEnd:
        """Make an attempt and wait for its end."""
        host = self.hosts.get(engine)
        if host is None:
            return AttemptEnd("connect_failed", "the executor is not known any more")
        attempt = _Attempt(self, host, order)
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

    def out(self, query: int) -> list["_Attempt"]:
        """Return the attempts of a query that are under way."""
        return self._out.get(query, [])

    def running(self) -> dict[str, int]:
        """Return the number of attempts under way by executor, as counted here."""
        return Counter(attempt.host.name for attempts in self._out.values() for attempt in attempts)

    def terms(self, query: int, memory_mb: float, priority: int) -> None:
        """Tell the executors at which attempts of a query are out of its new priority; none may be lost."""
        for attempt in self.out(query):
            changed = attempt.order.priority != priority
            attempt.order.priority = priority
            if changed and attempt.posted:
                self.tell(attempt)

    def tell(self, attempt: "_Attempt") -> None:
        """Tell an executor the priority of an attempt that is under way there."""
        if attempt.told == attempt.order.priority or attempt.telling:
            return
        if self._tellers >= TELLERS:
            self.counts["untold"] += 1
            return
        self._tellers += 1
        attempt.telling = True
        self.loop.spawn(self._tell, attempt, name="executors: priority")

    def _tell(self, attempt: "_Attempt") -> None:
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

    def probe(self, engine: str) -> AttemptEnd:
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

    @contextmanager
    def using(self, host: Host, fresh: bool = False) -> Iterator["_Use"]:
        """Use a connection for calls; it is kept only if the last of them left it in order."""
        use = _Use(self, host, self.take(host, fresh))
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


class _Use:
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


def request(verb: bytes, name: str, path: bytes = b"", body: bytes = b"") -> bytes:
    """Return the bytes of a call on a query."""
    length = b"Content-Length: %d\r\n" % len(body) if verb in (b"PUT", b"POST") else b""
    return b"%s /data/%s%s HTTP/1.1\r\nHost: executor\r\n%s\r\n%s" % (
        verb,
        name.encode("ascii"),
        path,
        length,
        body,
    )


class _Attempt:
    """One attempt, in the task that the driver gave it."""

    def __init__(self, links: Executors, host: Host, order: Order) -> None:
        self.links, self.loop, self.host, self.order = links, links.loop, host, order
        self.name = order.submission.engine_id
        self.posted = False  # it may have arrived
        self.running = False
        self.told = order.priority
        self.telling = False
        self.spoilt = self.unreached = 0
        self.asked = float("-inf")  # when it was last asked for
        self._use: _Use | None = None

    def run(self) -> AttemptEnd:
        """Make it; a cancelled task calls off what it can."""
        self.running = True
        try:
            with self.loop.deadline_at(self.order.deadline_ms):
                end = self._run()
        except DeadlineExceeded:
            self._abandon(None)
            return AttemptEnd("timeout", "its time was up")
        except Cancelled:
            self._call_off()
            raise
        finally:
            self.running = False
            self._release()
        return end

    def _call_off(self) -> None:
        if self.links.parallel or not self.posted:
            self._abandon(None)
            return
        self.loop.current.absolve()
        self._give_up()

    def _give_up(self) -> None:
        """Give it up; where two attempts may not be out, wait until it is: a further one may start then.

        It is out no longer once its executor has ended it, or was not asked for it for long enough.
        """
        self._release()
        if self.links.parallel:
            self._abandon(None)
            return
        waiter = Waiter(self.loop)
        self._abandon(waiter)
        with suppress(DeadlineExceeded), self.loop.deadline_at(self.asked + UNASKED_MS):
            if not waiter.wait():
                self.loop.sleep(UNASKED_MS)

    def _abandon(self, waiter: Waiter | None) -> None:
        if self.posted:
            self.links.end(self.host, self.name, waiter)

    def _release(self) -> None:
        use, self._use = self._use, None
        if use is not None:
            use.end()

    def _run(self) -> AttemptEnd:
        while self.links.being_ended(self.host, self.name):
            self.loop.sleep(LOOK_MS)
        try:
            self._connect(fresh=False)
        except LocalConnectFailure as exc:
            return AttemptEnd("moot", str(exc))
        except ConnectFailed as exc:
            return AttemptEnd("connect_failed", str(exc))
        self._hear_client()
        barred = self._barred()
        if barred:
            return AttemptEnd("moot", barred)
        try:
            return self._news(self._begin())
        except NotSent as exc:
            return AttemptEnd("connect_failed", str(exc))
        except ConnectFailed as exc:
            refused = exc.errno == errno.ECONNREFUSED and not self.host.lost
            if not refused and not self.links.parallel:  # else its process has ended, and it with it
                self._give_up()
            return AttemptEnd("reset", f"it can't be reached any more: {exc}")
        except _Useless as exc:
            self._give_up()
            return AttemptEnd("error", str(exc))

    def _begin(self) -> Response | None:
        """Post it; None if what came is no answer. Raises `NotSent` if it did not leave whole in time."""
        use, self.posted = self._use, True
        try:
            use.connection.stream.write(self._post(), POST_MS)
        except DeadlineExceeded:
            self.posted = False  # what has left is no attempt, and the rest never follows
            self._release()
            raise NotSent(errno.ETIMEDOUT, f"{self.host.name} takes nothing") from None
        except StreamReset:
            return self._wrong("broken")
        return self._hear(use.answer, NEWS_MS + SILENCE_MS)

    def _hear_client(self) -> None:
        """Let whoever reads the client's bytes go ahead: they may hold its leaving."""
        self.loop.catch_up(HEARD_MS)
        while (wait := self.order.submission.begins_from() - self.loop.now()) > 0.0:
            self.loop.sleep(wait)

    def _barred(self) -> str:
        """Tell why nothing may be sent now, "" if it may; nothing waits from here to the first byte."""
        if self.host.lost or self.host.draining:  # told while there was no connection yet
            return "nothing new is to be sent to the executor any more"
        if any(other.host is self.host and other.posted for other in self.links.out(self.order.query)):
            return "it is under way at the executor already"  # two answers to one id could be mixed up
        return self.order.barred()

    def _post(self) -> bytes:
        order, submission = self.order, self.order.submission
        body = submission.statement
        wait = max(1, int(order.deadline_ms - self.loop.now()))
        grant = b"X-Reserve: %d\r\n" % order.memory_mb if order.memory_mb >= 1.0 else b""
        told = submission.idempotency_key.encode("ascii")
        key = b"Idempotency-Key: %s\r\n" % told if told else b""
        rank = b"X-Weight-Class: %d\r\n" % order.priority if order.priority != 1 else b""
        self.told = order.priority
        return (
            b"POST /data HTTP/1.1\r\nHost: executor\r\nX-Req: %s\r\nX-Class: %s\r\n%s"
            b"X-Wait-Ms: %d\r\n%s%sContent-Length: %d\r\n\r\n%s"
            % (
                self.name.encode("ascii"),
                submission.engine_class.encode(),
                key,
                wait,
                grant,
                rank,
                len(body),
                body,
            )
        )

    def _connect(self, fresh: bool) -> None:
        self._use = _Use(self.links, self.host, self.links.take(self.host, fresh))

    def _ask(self, raw: bytes, within_ms: float) -> Response | None:
        """Make a call on the connection in use; None if what came of it is no answer."""
        if self._use is None:
            if self.spoilt > 1:  # what lasts for a moment must not use up all tries in it
                self.loop.sleep(AGAIN_MS * (self.spoilt - 1))
            try:
                self._connect(fresh=True)
            except ConnectFailed as exc:
                if exc.errno == errno.ECONNREFUSED or self.host.lost:
                    raise
                self.unreached += 1
                if self.unreached >= UNREACHED_MOST:
                    raise
                return self._wrong("unreached")
        use = self._use
        return self._hear(lambda: use.call(raw), within_ms)

    def _hear(self, call: Callable[[], Response], within_ms: float) -> Response | None:
        """Wait for what a call on the connection in use brings; None if it is no answer."""
        began = self.asked = self.loop.now()
        try:
            with self.loop.deadline(within_ms):
                response = call()
        except DeadlineExceeded:
            return self._wrong("silent")
        except StreamReset:
            return self._wrong("broken")
        except Malformed:
            return self._wrong("spoilt")
        if response.status == 202 and self.loop.now() - began < EARLY_MS:
            # It answers something earlier, so that what follows would be taken for what it is not.
            response.reusable = False
            self.links.counts["early"] += 1
        if not response.reusable:
            self._release()
        return response

    def _wrong(self, how: str) -> None:
        """Count an answer that was none; its connection is closed."""
        self.links.counts[how] += 1
        if self._use is not None:
            self._use.last = None
            self._release()
        self.spoilt += how != "silent"
        if self.spoilt > SPOILT_MOST:
            raise _Useless(f"{self.spoilt} answers of {self.host.name} were spoilt or cut")

    def _news(self, response: Response | None) -> AttemptEnd:
        """Follow the attempt to its end."""
        while True:
            if response is not None and response.status != 202:
                end = self._end(response)
                if end is not None:
                    return end
            if self.told != self.order.priority:
                self.links.tell(self)
            response = self._ask(request(b"GET", self.name, b"/0"), NEWS_MS + SILENCE_MS)

    def _end(self, response: Response) -> AttemptEnd | None:
        """Return the end that an answer tells; None if it tells none."""
        load = self.links.load(response)
        never_ran = response.headers.get(b"x-not-run") == b"1"
        match response.status:
            case 200:
                pages = self._pages(response)
                return None if pages is None else AttemptEnd("ok", result=Result(pages=pages), load=load)
            case 503 if never_ran:
                return AttemptEnd("full", "the executor is full", load=load)
            case 504 if never_ran:
                return AttemptEnd("moot", "its time was up at the executor", load=load)
            case 500:
                return AttemptEnd("error", "the executor told an error", load=load)
        self._wrong("strange")
        return None

    def _pages(self, first: Response) -> tuple[bytes, ...] | None:
        """Return all pages; None if the first one is no answer. Raises `_Useless`."""
        count = first.headers.get(b"x-batches", b"")
        if (
            COUNT.fullmatch(count) is None
            or not 1 <= int(count) <= PAGES_MOST
            or b"x-batch" in first.headers
            or not whole_rows(first.body)
        ):
            self._wrong("strange")
            return None
        pages, size = [first.body], len(first.body)
        while len(pages) < int(count):
            number = len(pages)
            response = self._ask(request(b"GET", self.name, b"/%d" % number), PAGE_MS)
            if response is None:
                continue
            if response.status == 500:
                raise _Useless(f"page {number} is lost")
            if (
                response.status != 200
                or response.headers.get(b"x-batch") != b"%d" % number
                or not whole_rows(response.body)
            ):
                self._wrong("strange")
                continue
            pages.append(response.body)
            size += len(response.body)
            if size > RESULT_MOST:
                raise _Useless("a result that is larger than any")
        return tuple(pages)


class _Useless(Exception):
    """Asking for the attempt again tells nothing any more."""


def whole_rows(page: bytes) -> bool:
    """Tell whether a page is whole rows of three columns of text, and no larger than pages are."""
    if len(page) > PAGE_MOST or ROWS.fullmatch(page) is None:
        return False
    try:
        page.decode("utf-8")
    except UnicodeDecodeError:
        return False
    return True
