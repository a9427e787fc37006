"""Makes the calls of one attempt, on a fresh connection after each answer that was missing or faulty.

Owned by an `Attempt`. A call returns None if there was no answer in time, the connection broke, or the answer
is not an answer to this call. The caller then polls again, which does not run the query again. A call raises
`ConnectFailed` when the executor is unreachable, or `AnswerUnavailableError` after too many faulty answers.

A body may be longer than its stated length, and what is cut off may arrive later. Only what comes next on the
connection shows whether a body is complete: `is_previous_complete` tells it after each call.
"""

import errno
from collections.abc import Callable
from enum import StrEnum

from fennelwind.loop.scheduler import DeadlineExceeded
from fennelwind.loop.streams import ConnectFailed, StreamReset
from fennelwind.node.executor_connection import ClosedBetweenResponsesError, Executor
from fennelwind.node.executor_pool import BorrowedConnection, ExecutorPool
from fennelwind.node.http1 import MalformedResponseError, Response
from fennelwind.node.wire_names import PAGE_NUMBER_HEADER

POLL_MS = 250.0  # ms after which an executor answers "still running", as the protocol specifies
POLL_GRACE_MS = 100.0  # ms after `POLL_MS` until a silent connection counts as cut or stalled
POLL_TIMEOUT_MS = POLL_MS + POLL_GRACE_MS
MIN_POLL_MS = 150.0  # ms; an earlier "still running" is a duplicate that answers a previous call
POST_TIMEOUT_MS = 50.0  # ms to write the complete POST; after that, the timeout it states would be too long
RECONNECT_BACKOFF_MS = 20.0  # ms; the wait before a fresh connection grows by this from the second fault on
CLOSE_GRACE_MS = 20.0  # ms in which the end of a connection arrives behind the last answer on it
MAX_FAULTY_ANSWERS = 8  # faulty answers to one attempt; after more, polling again is taken to be useless
MAX_FAILED_CONNECTS = 3  # failed connects of one attempt; then the machine is taken to be gone
OK = 200  # the status of a response with a page of a result


class AnswerFault(StrEnum):
    """Why a call got no valid answer."""

    SILENT = "silent"  # no response in time
    BROKEN = "broken"  # the connection broke
    MALFORMED = "malformed"  # the response is not valid HTTP
    UNEXPECTED = "unexpected"  # valid HTTP, but not an answer to this call
    EXCESS = "excess"  # bytes follow the body; its stated length may be too short
    UNREACHABLE = "unreachable"  # no fresh connection could be established


class RequestNotSentError(ConnectFailed):
    """The complete POST could not be written in time; nothing ran."""

    def __init__(self, executor: Executor) -> None:
        super().__init__(errno.ETIMEDOUT, f"{executor.name} does not read the request")
        self.executor = executor


class AnswerUnavailableError(Exception):
    """The answer can't be fetched by polling again; the attempt may have run."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


def is_copy(response: Response, page: Response) -> bool:
    """Return whether a response that follows a page is a duplicate of that page, which is then complete.

    A duplicate of an earlier page proves nothing: what sends it may write it into the middle of this one.
    """
    number = PAGE_NUMBER_HEADER
    return response.body == page.body and response.headers.get(number) == page.headers.get(number)


class AttemptConnection:
    """Makes the calls of one attempt and counts their faults."""

    def __init__(self, pool: ExecutorPool, executor: Executor) -> None:
        self.pool, self.loop, self.executor = pool, pool.loop, executor
        self.last_polled_ms = float("-inf")
        # True if the last call found that a head, or the connection's orderly end, follows the body of the
        # response before it directly.
        self.is_previous_complete = False
        self._last_fault: AnswerFault | None = None  # of the last call; None if it got a valid response
        self._closes_behind_pages = False  # the executor has closed a connection behind a page
        self._borrowed: BorrowedConnection | None = None
        self._faulty_answers = self._failed_connects = 0

    def connect(self, fresh: bool = False) -> None:
        """Borrow a connection. Raises what `ExecutorPool.check_out` raises."""
        self._borrowed = self.pool.borrow(self.executor, fresh)

    def release(self) -> None:
        """Return the connection in use to the pool, if there is one."""
        borrowed, self._borrowed = self._borrowed, None
        if borrowed is not None:
            borrowed.release()

    def post(self, request: bytes) -> Response | None:
        """Send the attempt's POST; return None if no valid answer came. Raises `RequestNotSentError`.

        Writing has a timeout: an executor that reads the request late would get an outdated timeout in it.
        """
        borrowed = self._in_use()
        try:
            borrowed.connection.stream.write(request, POST_TIMEOUT_MS)
        except DeadlineExceeded:
            self.release()  # the request is incomplete and is never completed
            raise RequestNotSentError(self.executor) from None
        except StreamReset:
            self.note_fault(AnswerFault.BROKEN)
            return None
        return self._receive(borrowed.read_response, POLL_TIMEOUT_MS)

    def call(self, request: bytes, timeout_ms: float) -> Response | None:
        """Make a call on the connection in use or a fresh one; return None if no valid answer came.

        Raises `ConnectFailed` when the executor is unreachable, or `AnswerUnavailableError`.
        """
        if self._borrowed is None and not self._reconnect():
            return None
        borrowed = self._in_use()
        return self._receive(lambda: borrowed.call(request), timeout_ms)

    def call_behind_page(self, request: bytes, timeout_ms: float) -> Response | None:
        """Make a call on the connection whose last response is a page; return None if no valid answer came.

        If the connection has ended already, or more bytes have come, this only reads them: a request to a
        peer that has closed resets the connection, and then nothing tells what followed the page. Raises
        `AnswerUnavailableError`.
        """
        borrowed = self._in_use()
        if self._closes_behind_pages:
            self.loop.sleep(CLOSE_GRACE_MS)
        if borrowed.connection.stream.broken():
            return self._receive(borrowed.read_response, timeout_ms)
        response = self._receive(lambda: borrowed.call(request), timeout_ms)
        self._closes_behind_pages |= self._last_fault is AnswerFault.BROKEN
        return response

    def is_complete(self, page: Response, next_request: bytes, timeout_ms: float) -> bool:
        """Return whether the body of a page, the last response on the connection in use, is complete.

        Unless the page's head announces the end of the connection, this makes another call to see what
        follows the body. Raises `AnswerUnavailableError`.
        """
        if page.is_followed_by_response:
            return True
        if page.is_last:
            return self._ends_without_excess(timeout_ms)
        try:
            response = self.call_behind_page(next_request, timeout_ms)
        except AnswerUnavailableError:  # one fault too many, but it may have come behind a complete page
            if not self.is_previous_complete:
                raise
            response = None
        if response is not None and response.status == OK:
            # A duplicate of the page, or of an earlier one. The response to this call is still to come, and
            # would be taken for the response to the next call on the connection.
            response.is_reusable = False
            self.release()
            return is_copy(response, page)
        return self.is_previous_complete

    def _ends_without_excess(self, timeout_ms: float) -> bool:
        """Return whether the connection, whose end is announced, ends or stays silent; close it."""
        borrowed = self._in_use()
        head_count = borrowed.connection.reader.head_count
        try:
            with self.loop.deadline(timeout_ms):
                borrowed.read_response()
        except (DeadlineExceeded, ClosedBetweenResponsesError):
            return borrowed.connection.reader.is_between_responses
        except (StreamReset, MalformedResponseError):
            if borrowed.connection.reader.head_count == head_count:
                self.note_fault(AnswerFault.EXCESS)
                return False
        finally:
            self.release()
        return True

    def note_fault(self, fault: AnswerFault) -> None:
        """Record a fault and close the connection.

        Raises `AnswerUnavailableError` after more than `MAX_FAULTY_ANSWERS` faults; `SILENT` ones don't
        count, as the attempt's deadline bounds them.
        """
        self.pool.counts[fault.value] += 1
        if self._borrowed is not None:
            self._borrowed.last_response = None
            self.release()
        self._faulty_answers += fault is not AnswerFault.SILENT
        if self._faulty_answers > MAX_FAULTY_ANSWERS:
            raise AnswerUnavailableError(
                f"{self._faulty_answers} answers of {self.executor.name} were malformed or cut off"
            )

    def _in_use(self) -> BorrowedConnection:
        assert self._borrowed is not None, "a call needs a connection"
        return self._borrowed

    def _reconnect(self) -> bool:
        """Open a fresh connection; return whether it succeeded. Raises `ConnectFailed` after the last try."""
        if self._faulty_answers > 1:  # a short disturbance must not use up all allowed faults
            self.loop.sleep(RECONNECT_BACKOFF_MS * (self._faulty_answers - 1))
        try:
            self.connect(fresh=True)
        except ConnectFailed as exc:
            if exc.errno == errno.ECONNREFUSED or self.executor.is_removed:
                raise
            self._failed_connects += 1
            if self._failed_connects >= MAX_FAILED_CONNECTS:
                raise
            self.note_fault(AnswerFault.UNREACHABLE)
            return False
        return True

    def _receive(self, read: Callable[[], Response], timeout_ms: float) -> Response | None:
        """Wait for the response to a call on the connection in use; return None if it is not valid."""
        began_ms = self.last_polled_ms = self.loop.now()
        reader = self._in_use().connection.reader
        head_count, response, fault, is_closed = reader.head_count, None, None, False
        try:
            with self.loop.deadline(timeout_ms):
                response = read()
        except DeadlineExceeded:
            fault = AnswerFault.SILENT
        except StreamReset as exc:
            fault, is_closed = AnswerFault.BROKEN, isinstance(exc, ClosedBetweenResponsesError)
        except MalformedResponseError:
            fault = AnswerFault.MALFORMED
        self.is_previous_complete = reader.head_count > head_count or is_closed
        self._last_fault = fault
        if response is None:
            assert fault is not None, "a call without a response has a fault"
            self.note_fault(fault)
            return None
        if response.status == OK and response.has_excess:
            self.release()
            self.note_fault(AnswerFault.EXCESS)
            return None
        if response.status == 202 and self.loop.now() - began_ms < MIN_POLL_MS:
            # This response answers a previous call. The response to this call is still to come, and would be
            # taken for the response to the next call on the connection.
            response.is_reusable = False
            self.pool.counts["early"] += 1
        is_page_to_confirm = response.status == OK and not response.is_followed_by_response
        if not response.is_reusable and not is_page_to_confirm:
            self.release()
        return response
