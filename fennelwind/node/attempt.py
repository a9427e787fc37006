"""One attempt at an executor: posted, asked for until its end is told, and given up.

It is tied to no connection: when one breaks, stays silent or brings something spoilt, the same attempt's news
or page is asked for again on a fresh one; that is no further attempt. What each end is told as:

- no connection: `connect_failed`, it never ran; 503 with X-Not-Run: `full`; 504 with X-Not-Run: `moot`
- 500, also for a query that the executor does not know: `error`, it may have run
- the executor can't be reached any more once the POST may have arrived: `reset`, it may have run
- `timeout` when the time is up, `cancelled` when called off; what was posted is then deleted over there
"""

import errno
import re
from collections.abc import Callable
from contextlib import suppress
from typing import TYPE_CHECKING

from fennelwind.dispatch.types import AttemptEnd, AttemptRequest, Result
from fennelwind.loop.scheduler import Cancelled, DeadlineExceeded, Waiter
from fennelwind.loop.streams import ConnectFailed, LocalConnectFailure, StreamReset
from fennelwind.node.http1 import Malformed, Response

if TYPE_CHECKING:
    from fennelwind.node.executor_pool import Executors, Host, Use

NEWS_MS = 250.0  # ms after which an executor answers that a query goes on, as the protocol states
SILENCE_MS = 100.0  # ms beyond that without an answer; then a connection is given up as cut or stalled
EARLY_MS = 150.0  # ms; "goes on" sooner than this answers an earlier call: a second copy of something
POST_MS = 50.0  # ms for an attempt's bytes to leave; later its deadline is wrong, and its client may be gone
PAGE_MS = 400.0  # ms for a page, which is there at once; beyond them as above
LOOK_MS = 15.0  # ms between two looks whether an earlier attempt of a query has been ended
AGAIN_MS = 20.0  # ms longer each time before a fresh connection, from the second one that broke on
SPOILT_MOST = 8  # spoilt or broken answers to one attempt; beyond it, asking again has proven useless
UNREACHED_MOST = 3  # fresh connections in vain; then the machine is taken to have vanished
RESULT_MOST = 48_000  # bytes of a whole result, as the protocol states
PAGE_MOST = 6_000  # bytes of a page, as the protocol states
PAGES_MOST = 1000  # pages of a result; each holds a row at least
ROWS = re.compile(rb"(?:[^\t\n]*\t[^\t\n]*\t[^\t\n]*\n)*")
COUNT = re.compile(rb"[0-9]{1,4}")
# An executor drops what it is not asked for in 2 s; it may have been this long at the last question.
UNASKED_MS = 2000.0 + NEWS_MS + SILENCE_MS
HEARD_MS = 25.0  # ms; a loop that has not looked for so long hears first who has left: 100 ms are allowed


class NotSent(ConnectFailed):
    """The executor took no whole attempt in time; nothing ran."""


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


class Attempt:
    """One attempt, in the task that the driver gave it."""

    def __init__(self, links: "Executors", host: "Host", order: AttemptRequest) -> None:
        self.links, self.loop, self.host, self.order = links, links.loop, host, order
        self.name = order.submission.engine_id
        self.posted = False  # it may have arrived
        self.running = False
        self.told = order.priority
        self.telling = False
        self.spoilt = self.unreached = 0
        self.asked = float("-inf")  # when it was last asked for
        self._use: Use | None = None

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
        except Useless as exc:
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
        return self.order.reason_not_to_start()

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
        self._use = self.links.use(self.host, fresh)

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
            raise Useless(f"{self.spoilt} answers of {self.host.name} were spoilt or cut")

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
        """Return all pages; None if the first one is no answer. Raises `Useless`."""
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
                raise Useless(f"page {number} is lost")
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
                raise Useless("a result that is larger than any")
        return tuple(pages)


class Useless(Exception):
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
