"""The calls of one attempt: on one connection, and on fresh ones while what comes is no answer.

Owned by an `Attempt`. A call that brings nothing, a broken connection, or something that is no answer to it
returns None: the caller polls again, which runs nothing twice. Calls end for good with `ConnectFailed` when
the executor can't be reached any more, or `AnswerUnavailableError` after too many faulty answers.
"""

import errno
from collections.abc import Callable
from enum import StrEnum

from fennelwind.loop.scheduler import DeadlineExceeded
from fennelwind.loop.streams import ConnectFailed, StreamReset
from fennelwind.node.executor_connection import Executor
from fennelwind.node.executor_pool import BorrowedConnection, ExecutorPool
from fennelwind.node.http1 import MalformedResponseError, Response

POLL_MS = 250.0  # ms after which an executor answers that a query is still running, as the protocol states
SILENCE_MS = 100.0  # ms beyond that without an answer; then a connection is given up as cut or stalled
POLL_TIMEOUT_MS = POLL_MS + SILENCE_MS
MIN_POLL_MS = 150.0  # ms; "still running" sooner than this answers an earlier call: it was delivered twice
POST_TIMEOUT_MS = 50.0  # ms for the whole POST to be written; later, the timeout it states would be too long
RECONNECT_BACKOFF_MS = 20.0  # ms longer before each fresh connection, from the second one that broke on
MAX_FAULTY_ANSWERS = 8  # malformed or cut answers to one attempt; beyond it, polling again has proven useless
MAX_FAILED_CONNECTS = 3  # fresh connections in vain; then the machine is taken to have vanished


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


class AttemptConnection:
    """Makes the calls of one attempt, and counts the faults of their answers."""

    def __init__(self, pool: ExecutorPool, executor: Executor) -> None:
        self.pool, self.loop, self.executor = pool, pool.loop, executor
        self.last_polled_ms = float("-inf")
        self._borrowed: BorrowedConnection | None = None
        self._faulty_answers = self._failed_connects = 0

    def connect(self, fresh: bool = False) -> None:
        """Borrow a connection; raises as `ExecutorPool.check_out` does."""
        self._borrowed = self.pool.borrow(self.executor, fresh)

    def release(self) -> None:
        """Return the connection in use to the pool, if there is one."""
        borrowed, self._borrowed = self._borrowed, None
        if borrowed is not None:
            borrowed.release()

    def post(self, request: bytes) -> Response | None:
        """Send the attempt's POST; None if what came is no answer. Raises `RequestNotSentError`.

        An executor that takes no bytes would get the rest of the request when its deadline has become wrong.
        """
        borrowed = self._in_use()
        try:
            borrowed.connection.stream.write(request, POST_TIMEOUT_MS)
        except DeadlineExceeded:
            self.release()  # what has left is no complete request, and the rest never follows
            raise RequestNotSentError(self.executor) from None
        except StreamReset:
            self.note_fault(AnswerFault.BROKEN)
            return None
        return self._receive(borrowed.read_response, POLL_TIMEOUT_MS)

    def call(self, request: bytes, timeout_ms: float) -> Response | None:
        """Make a call on the connection in use, or a fresh one; None if what came of it is no answer.

        Raises `ConnectFailed` when the executor can't be reached any more, or `AnswerUnavailableError`.
        """
        if self._borrowed is None and not self._reconnect():
            return None
        borrowed = self._in_use()
        return self._receive(lambda: borrowed.call(request), timeout_ms)

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
                f"{self._faulty_answers} answers of {self.executor.name} were spoilt or cut"
            )

    def _in_use(self) -> BorrowedConnection:
        assert self._borrowed is not None, "a call needs a connection"
        return self._borrowed

    def _reconnect(self) -> bool:
        """Connect afresh; return whether it succeeded. Raises `ConnectFailed` for the last time."""
        if self._faulty_answers > 1:  # what lasts for a moment must not use up all answers in it
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
        """Wait for the response to a call on the connection in use; None if it is no answer."""
        began_ms = self.last_polled_ms = self.loop.now()
        try:
            with self.loop.deadline(timeout_ms):
                response = read()
        except DeadlineExceeded:
            self.note_fault(AnswerFault.SILENT)
            return None
        except StreamReset:
            self.note_fault(AnswerFault.BROKEN)
            return None
        except MalformedResponseError:
            self.note_fault(AnswerFault.MALFORMED)
            return None
        if response.status == 202 and self.loop.now() - began_ms < MIN_POLL_MS:
            # It answers an earlier call, so that the next response would be taken for this call's.
            response.is_reusable = False
            self.pool.counts["early"] += 1
        if not response.is_reusable:
            self.release()
        return response
