"""One attempt at an executor: started, polled until it ends, and cancelled there when nobody wants it.

An attempt is tied to no connection: when one breaks, stays silent or brings a malformed answer, the same
attempt's end or page is polled for again on a fresh one. That is no further attempt. How an end is reported:

- no connection: `CONNECT_FAILED`, it never ran; 503 with X-Not-Run: `OVERLOADED`; 504 with it: `NOT_STARTED`
- 500, also for a query that the executor does not know: `ERROR`, it may have run
- the executor can't be reached any more once the POST may have arrived: `RESET`, it may have run
- `TIMEOUT` when the time is up, `CANCELLED` when its task is cancelled; what was posted is then deleted there
"""

import errno
import re
from collections import Counter
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from enum import StrEnum

from fennelwind.dispatch.types import AttemptEnd, AttemptRequest, Result
from fennelwind.loop.scheduler import Cancelled, DeadlineExceeded, Waiter
from fennelwind.loop.streams import ConnectFailed, LocalConnectFailure, StreamReset
from fennelwind.node import executor_requests
from fennelwind.node.cancellation_queue import CancellationQueue
from fennelwind.node.executor_connection import Executor
from fennelwind.node.executor_pool import BorrowedConnection, ExecutorPool
from fennelwind.node.http1 import MalformedResponseError, Response
from fennelwind.node.load_report import read_load_report
from fennelwind.node.priority_updates import AttemptPriority, PriorityUpdates
from fennelwind.node.wire_names import DID_NOT_RUN_HEADER, PAGE_COUNT_HEADER, PAGE_NUMBER_HEADER
from fennelwind.policy import AttemptStatus

POLL_MS = 250.0  # ms after which an executor answers that a query is still running, as the protocol states
SILENCE_MS = 100.0  # ms beyond that without an answer; then a connection is given up as cut or stalled
MIN_POLL_MS = 150.0  # ms; "still running" sooner than this answers an earlier call: it was delivered twice
POST_TIMEOUT_MS = (
    50.0  # ms for an attempt's bytes to leave; later its deadline is wrong, its client may be gone
)
PAGE_TIMEOUT_MS = 400.0  # ms for a page, which is there at once
CANCELLATION_CHECK_MS = 15.0  # ms between two checks whether an earlier attempt of the query has been ended
RECONNECT_BACKOFF_MS = 20.0  # ms longer before each fresh connection, from the second one that broke on
MAX_FAULTY_ANSWERS = 8  # malformed or cut answers to one attempt; beyond it, polling again has proven useless
MAX_FAILED_CONNECTS = 3  # fresh connections in vain; then the machine is taken to have vanished
MAX_RESULT_BYTES = 48_000  # bytes of a complete result, as the protocol states
MAX_PAGE_BYTES = 6_000  # bytes of a page, as the protocol states
MAX_PAGES = 1000  # pages of a result; each holds a row at least
# ms after its last poll in which an executor may still run an attempt: it drops what it isn't polled for in
# 2 s, and the last poll may have been delivered this much later.
UNPOLLED_EXPIRY_MS = 2000.0 + POLL_MS + SILENCE_MS
MAX_LOOP_DELAY_MS = 25.0  # ms; a loop that lags more reads first which clients left: they are owed 100 ms
ROWS = re.compile(rb"(?:[^\t\n]*\t[^\t\n]*\t[^\t\n]*\n)*")
PAGE_COUNT = re.compile(rb"[0-9]{1,4}")


class AnswerFault(StrEnum):
    """Why what came, or did not come, is no answer."""

    SILENT = "silent"  # nothing came in time
    BROKEN = "broken"  # the connection broke
    MALFORMED = "malformed"  # it is not HTTP
    UNEXPECTED = "unexpected"  # it is HTTP, but answers no call of ours
    UNREACHABLE = "unreachable"  # no fresh connection was established


class RequestNotSentError(ConnectFailed):
    """The executor did not take the complete POST in time; nothing ran."""

    def __init__(self, executor: Executor) -> None:
        super().__init__(errno.ETIMEDOUT, f"{executor.name} takes nothing")
        self.executor = executor


class AnswerUnavailableError(Exception):
    """Polling for the attempt again can't bring its answer; it may have run."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class InFlightAttempts:
    """The attempts that are under way, by query."""

    def __init__(self) -> None:
        self.by_query: dict[int, list[Attempt]] = {}

    def add(self, attempt: "Attempt") -> None:
        """Note an attempt that begins."""
        self.by_query.setdefault(attempt.order.query, []).append(attempt)

    def remove(self, attempt: "Attempt") -> None:
        """Forget an attempt that has ended."""
        attempts = self.by_query[attempt.order.query]
        attempts.remove(attempt)
        if not attempts:
            del self.by_query[attempt.order.query]

    def of(self, query: int) -> list["Attempt"]:
        """Return the attempts of a query."""
        return self.by_query.get(query, [])

    def count_by_executor(self) -> Counter[str]:
        """Return the number of attempts by executor."""
        return Counter(attempt.executor.name for attempts in self.by_query.values() for attempt in attempts)


@dataclass(slots=True, frozen=True)
class AttemptServices:
    """What all attempts share."""

    pool: ExecutorPool
    cancellations: CancellationQueue
    priority_updates: PriorityUpdates
    in_flight: InFlightAttempts
    report_fields: frozenset[str]  # figures of load reports that the settings name
    allows_concurrent: bool  # more than one attempt of a query may run at a time


class Attempt:
    """One attempt, in the task that the driver gave it."""

    def __init__(self, services: AttemptServices, executor: Executor, order: AttemptRequest) -> None:
        self.services, self.executor, self.order = services, executor, order
        self.pool, self.loop = services.pool, services.pool.loop
        self.query_id = order.submission.engine_id
        self.may_have_arrived = False  # its POST has begun to leave
        self.priority = AttemptPriority(executor, order, order.priority)
        self.last_polled_ms = float("-inf")
        self._connection: BorrowedConnection | None = None
        self._faulty_answers = self._failed_connects = 0

    def run(self) -> AttemptEnd:
        """Run the attempt to its end; a cancelled task ends at the executor what it can."""
        self.priority.is_running = True
        try:
            with self.loop.deadline_at(self.order.deadline_ms):
                return self._run()
        except DeadlineExceeded:
            self._end_at_executor(None)
            return AttemptEnd(AttemptStatus.TIMEOUT, "its time was up")
        except Cancelled:
            self._handle_cancellation()
            raise
        finally:
            self.priority.is_running = False
            self._release()

    # Giving the attempt up.

    def _handle_cancellation(self) -> None:
        if self.services.allows_concurrent or not self.may_have_arrived:
            self._end_at_executor(None)
            return
        task = self.loop.current
        assert task is not None, "an attempt runs in a task"
        task.absolve()  # a cancelled task could not wait
        self._abandon()

    def _abandon(self) -> None:
        """Give the attempt up; where two may not run at once, wait until the executor can't run it any more.

        Otherwise the driver would start the query's next attempt while the executor still runs this one,
        which shows as a statement that has its effect twice. The executor runs it no longer once it has
        confirmed its end, or was not polled for it for `UNPOLLED_EXPIRY_MS`.
        """
        self._release()
        if self.services.allows_concurrent:
            self._end_at_executor(None)
            return
        waiter = Waiter(self.loop)
        self._end_at_executor(waiter)
        with suppress(DeadlineExceeded), self.loop.deadline_at(self.last_polled_ms + UNPOLLED_EXPIRY_MS):
            has_ended = waiter.wait()
            if not has_ended:
                self.loop.sleep(UNPOLLED_EXPIRY_MS)

    def _end_at_executor(self, waiter: Waiter | None) -> None:
        if self.may_have_arrived:
            self.services.cancellations.add(self.executor, self.query_id, waiter)

    def _release(self) -> None:
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.release()

    # The way from the connection to the end.

    def _run(self) -> AttemptEnd:
        while self.services.cancellations.is_pending(self.executor, self.query_id):
            self.loop.sleep(
                CANCELLATION_CHECK_MS
            )  # that DELETE would end this attempt in place of the earlier
        try:
            self._connect(fresh=False)
        except LocalConnectFailure as exc:
            return AttemptEnd(AttemptStatus.NOT_STARTED, str(exc))
        except ConnectFailed as exc:
            return AttemptEnd(AttemptStatus.CONNECT_FAILED, str(exc))
        self._let_client_withdraw()
        reason = self._reason_not_to_send()
        if reason:
            return AttemptEnd(AttemptStatus.NOT_STARTED, reason)
        try:
            return self._poll_until_end(self._send())
        except RequestNotSentError as exc:
            return AttemptEnd(AttemptStatus.CONNECT_FAILED, str(exc))
        except ConnectFailed as exc:
            # A refused connection shows that the executor's process has ended, and the attempt with it.
            has_process_ended = exc.errno == errno.ECONNREFUSED and not self.executor.is_removed
            if not has_process_ended and not self.services.allows_concurrent:
                self._abandon()
            return AttemptEnd(AttemptStatus.RESET, f"it can't be reached any more: {exc}")
        except AnswerUnavailableError as exc:
            self._abandon()
            return AttemptEnd(AttemptStatus.ERROR, str(exc))

    def _let_client_withdraw(self) -> None:
        """Wait until what the client has sent by now is read: it may hold its withdrawal or its end.

        A loop that was busy for long has not read it yet, and a long burst takes several reads. The attempt
        would then start for a client that has left, which shows as an attempt later than 100 ms after that.
        """
        self.loop.catch_up(MAX_LOOP_DELAY_MS)
        while (wait_ms := self.order.submission.begins_from() - self.loop.now()) > 0.0:
            self.loop.sleep(wait_ms)

    def _reason_not_to_send(self) -> str:
        """Return why nothing may be sent now, "" if it may; nothing waits from here to the first byte.

        The state may have changed while the connection was being established.
        """
        if self.executor.is_removed or self.executor.is_draining:
            return "nothing new is to be sent to the executor any more"
        if any(
            other.executor is self.executor and other.may_have_arrived
            for other in self.services.in_flight.of(self.order.query)
        ):
            return "it is under way at the executor already"  # two answers to one id could be mixed up
        return self.order.reason_not_to_start()

    def _send(self) -> Response | None:
        """Post the attempt; None if what came is no answer. Raises `RequestNotSentError`."""
        timeout_ms = max(1, int(self.order.deadline_ms - self.loop.now()))
        connection = self._current_connection()
        self.may_have_arrived = True
        self.priority.sent = self.order.priority
        try:
            connection.connection.stream.write(
                executor_requests.start_query(self.order, timeout_ms), POST_TIMEOUT_MS
            )
        except DeadlineExceeded:
            # What has left is no complete request, and the rest never follows.
            self.may_have_arrived = False
            self._release()
            raise RequestNotSentError(self.executor) from None
        except StreamReset:
            self._note_fault(AnswerFault.BROKEN)
            return None
        return self._receive(connection.read_response, POLL_MS + SILENCE_MS)

    def _poll_until_end(self, response: Response | None) -> AttemptEnd:
        """Follow the attempt to its end, from the response to its POST on."""
        while True:
            if response is not None and response.status != 202:
                end = self._read_end(response)
                if end is not None:
                    return end
            if not self.priority.is_current:
                self.services.priority_updates.send(self.priority)
            response = self._call(executor_requests.poll_query(self.query_id), POLL_MS + SILENCE_MS)

    def _read_end(self, response: Response) -> AttemptEnd | None:
        """Return the end that a response reports; None if it reports none."""
        load = read_load_report(response, self.services.report_fields)
        did_not_run = response.headers.get(DID_NOT_RUN_HEADER) == b"1"
        match response.status:
            case 200:
                pages = self._read_pages(response)
                if pages is None:
                    return None
                return AttemptEnd(AttemptStatus.OK, result=Result(pages=pages), load=load)
            case 503 if did_not_run:
                return AttemptEnd(AttemptStatus.OVERLOADED, "the executor is full", load=load)
            case 504 if did_not_run:
                return AttemptEnd(AttemptStatus.NOT_STARTED, "its time was up at the executor", load=load)
            case 500:
                return AttemptEnd(AttemptStatus.ERROR, "the executor told an error", load=load)
        self._note_fault(AnswerFault.UNEXPECTED)
        return None

    # Pages of a result.

    def _read_pages(self, first: Response) -> tuple[bytes, ...] | None:
        """Return all pages; None if the first is no answer. Raises `AnswerUnavailableError`."""
        page_count = read_page_count(first)
        if page_count is None:
            self._note_fault(AnswerFault.UNEXPECTED)
            return None
        pages, total_bytes = [first.body], len(first.body)
        while len(pages) < page_count:
            page = self._fetch_page(len(pages))
            if page is None:
                continue
            pages.append(page)
            total_bytes += len(page)
            if total_bytes > MAX_RESULT_BYTES:
                raise AnswerUnavailableError("a result that is larger than any")
        return tuple(pages)

    def _fetch_page(self, number: int) -> bytes | None:
        """Return a page; None if what came is not this page. Raises `AnswerUnavailableError`."""
        response = self._call(executor_requests.fetch_page(self.query_id, number), PAGE_TIMEOUT_MS)
        if response is None:
            return None
        if response.status == 500:
            raise AnswerUnavailableError(f"page {number} is lost")
        is_this_page = (
            response.status == 200
            and response.headers.get(PAGE_NUMBER_HEADER) == b"%d" % number
            and is_complete_rows(response.body)
        )
        if not is_this_page:
            self._note_fault(AnswerFault.UNEXPECTED)
            return None
        return response.body

    # Calls.

    def _connect(self, fresh: bool) -> None:
        self._connection = self.pool.borrow(self.executor, fresh)

    def _current_connection(self) -> BorrowedConnection:
        assert self._connection is not None, "a call needs a connection"
        return self._connection

    def _call(self, request: bytes, timeout_ms: float) -> Response | None:
        """Make a call on the connection in use, or a fresh one; None if what came of it is no answer.

        Raises `ConnectFailed` when the executor can't be reached any more, or `AnswerUnavailableError`.
        """
        if self._connection is None and not self._reconnect():
            return None
        connection = self._current_connection()
        return self._receive(lambda: connection.call(request), timeout_ms)

    def _reconnect(self) -> bool:
        """Connect afresh; return whether it succeeded. Raises `ConnectFailed` for the last time."""
        if self._faulty_answers > 1:  # what lasts for a moment must not use up all answers in it
            self.loop.sleep(RECONNECT_BACKOFF_MS * (self._faulty_answers - 1))
        try:
            self._connect(fresh=True)
        except ConnectFailed as exc:
            if exc.errno == errno.ECONNREFUSED or self.executor.is_removed:
                raise
            self._failed_connects += 1
            if self._failed_connects >= MAX_FAILED_CONNECTS:
                raise
            self._note_fault(AnswerFault.UNREACHABLE)
            return False
        return True

    def _receive(self, read: Callable[[], Response], timeout_ms: float) -> Response | None:
        """Wait for the response to a call on the connection in use; None if it is no answer."""
        began_ms = self.last_polled_ms = self.loop.now()
        try:
            with self.loop.deadline(timeout_ms):
                response = read()
        except DeadlineExceeded:
            self._note_fault(AnswerFault.SILENT)
            return None
        except StreamReset:
            self._note_fault(AnswerFault.BROKEN)
            return None
        except MalformedResponseError:
            self._note_fault(AnswerFault.MALFORMED)
            return None
        if response.status == 202 and self.loop.now() - began_ms < MIN_POLL_MS:
            # It answers an earlier call, so that the next response would be taken for this call's.
            response.is_reusable = False
            self.pool.counts["early"] += 1
        if not response.is_reusable:
            self._release()
        return response

    def _note_fault(self, fault: AnswerFault) -> None:
        """Count an answer that was none, and close its connection. Raises `AnswerUnavailableError`."""
        self.pool.counts[fault.value] += 1
        if self._connection is not None:
            self._connection.last_response = None
            self._release()
        self._faulty_answers += fault is not AnswerFault.SILENT
        if self._faulty_answers > MAX_FAULTY_ANSWERS:
            raise AnswerUnavailableError(
                f"{self._faulty_answers} answers of {self.executor.name} were spoilt or cut"
            )


def read_page_count(first: Response) -> int | None:
    """Return the number of pages that a first page states; None if it is no first page."""
    stated = first.headers.get(PAGE_COUNT_HEADER, b"")
    if PAGE_COUNT.fullmatch(stated) is None or not 1 <= int(stated) <= MAX_PAGES:
        return None
    if PAGE_NUMBER_HEADER in first.headers or not is_complete_rows(first.body):
        return None
    return int(stated)


def is_complete_rows(page: bytes) -> bool:
    """Tell whether a page is complete rows of three columns of text, and no larger than pages are."""
    if len(page) > MAX_PAGE_BYTES or ROWS.fullmatch(page) is None:
        return False
    try:
        page.decode("utf-8")
    except UnicodeDecodeError:
        return False
    return True
