"""One attempt at an executor: starts the query, polls until it ends, and cancels it if it is not needed.

An attempt is not tied to a connection: if one breaks, stays silent or brings a malformed answer, the attempt
polls again on a fresh connection, which does not run the query again. How the end of an attempt is reported:

- no connection: `CONNECT_FAILED`, the query never ran
- 503 with X-Not-Run: `OVERLOADED`; 504 with X-Not-Run: `NOT_STARTED`
- 500, also for a query that the executor does not know: `ERROR`, the query may have run
- 503 or 504 without X-Not-Run, or any other status: no answer; the attempt polls again
- the executor is unreachable after the POST may have arrived: `RESET`, the query may have run
- `TIMEOUT` at the attempt's deadline, `CANCELLED` when its task is cancelled; in both cases a DELETE
  cancels a query that was posted
"""

import errno
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from dataclasses import dataclass

from fennelwind.dispatch.types import AttemptEnd, AttemptRequest, Result
from fennelwind.limits.memory_budget import BoundedMemory
from fennelwind.loop.scheduler import Cancelled, DeadlineExceeded, Waiter
from fennelwind.loop.streams import ConnectFailed, LocalConnectFailure
from fennelwind.node.attempt_connection import (
    POLL_TIMEOUT_MS,
    AnswerFault,
    AnswerUnavailableError,
    AttemptConnection,
    RequestNotSentError,
)
from fennelwind.node.cancellation_queue import CancellationQueue
from fennelwind.node.executor_connection import Executor
from fennelwind.node.executor_pool import ExecutorPool, ExecutorRemovedError
from fennelwind.node.executor_requests import poll_query, set_priority, start_query
from fennelwind.node.http1 import Response
from fennelwind.node.load_report import read_load_report
from fennelwind.node.priority_updates import AttemptPriority, PriorityUpdates
from fennelwind.node.result_pages import max_result_bytes, read_pages
from fennelwind.node.wire_names import DID_NOT_RUN_HEADER
from fennelwind.policy import AttemptStatus

CANCELLATION_CHECK_MS = 15.0  # ms between two checks whether an earlier attempt's cancellation is done
MEMORY_CHECK_MS = 10.0  # ms between two checks whether there is memory for a result
# ms after the last poll in which an executor may still run an attempt: it drops a query that has not been
# polled for 2 s, and the last poll may have been delivered up to the poll timeout later.
UNPOLLED_EXPIRY_MS = 2000.0 + POLL_TIMEOUT_MS
# ms; if the loop is further behind, pending client input is read before an attempt starts, since no attempt
# may start later than 100 ms after its client has left.
MAX_LOOP_DELAY_MS = 25.0


class InFlightAttempts:
    """The running attempts by query."""

    def __init__(self) -> None:
        self.by_query: dict[int, list[Attempt]] = {}

    def add(self, attempt: "Attempt") -> None:
        """Add an attempt that begins."""
        self.by_query.setdefault(attempt.request.query, []).append(attempt)

    def remove(self, attempt: "Attempt") -> None:
        """Remove an attempt that has ended."""
        attempts = self.by_query[attempt.request.query]
        attempts.remove(attempt)
        if not attempts:
            del self.by_query[attempt.request.query]

    def of(self, query: int) -> list["Attempt"]:
        """Return the running attempts of a query."""
        return self.by_query.get(query, [])

    def count_by_executor(self) -> Counter[str]:
        """Return the number of running attempts by executor."""
        return Counter(attempt.executor.name for attempts in self.by_query.values() for attempt in attempts)


@dataclass(slots=True, frozen=True)
class AttemptServices:
    """The components and settings that all attempts share."""

    pool: ExecutorPool
    cancellations: CancellationQueue
    priority_updates: PriorityUpdates
    in_flight: InFlightAttempts
    results: BoundedMemory  # results that are being fetched
    report_fields: frozenset[str]  # fields of load reports that the settings name
    allows_concurrent: bool  # several attempts of a query may run at the same time


class Attempt:
    """One attempt, run in the task that the driver spawned for it."""

    def __init__(self, services: AttemptServices, executor: Executor, request: AttemptRequest) -> None:
        self.services, self.executor, self.request = services, executor, request
        self.loop = services.pool.loop
        self.query_id = request.submission.engine_id  # the query's id on the wire
        self.may_have_arrived = False  # true once part of the attempt's POST may have been sent
        self.priority = AttemptPriority(executor, request)
        self.connection = AttemptConnection(services.pool, executor)

    def run(self) -> AttemptEnd:
        """Run the attempt to its end; on cancellation, cancel the query at the executor."""
        self.priority.is_running = True
        try:
            with self.loop.deadline_at(self.request.deadline_ms):
                return self._run()
        except DeadlineExceeded:
            self._cancel_at_executor(None)
            return AttemptEnd(AttemptStatus.TIMEOUT, "deadline exceeded")
        except Cancelled:
            self._handle_cancellation()
            raise
        finally:
            self.priority.is_running = False
            self.connection.release()

    # Ending the attempt early.

    def _handle_cancellation(self) -> None:
        if self.services.allows_concurrent or not self.may_have_arrived:
            self._cancel_at_executor(None)
            return
        task = self.loop.current
        assert task is not None, "an attempt runs in a task"
        task.absolve()  # clears the cancellation, so that the task can wait below
        self._abandon()

    def _abandon(self) -> None:
        """Cancel the attempt; if attempts may not run concurrently, wait until this one can't run any more.

        Without the wait, the driver would start the query's next attempt while the executor still runs this
        one, and the statement would take effect twice. The wait ends when the executor confirms the end by
        answering the DELETE, or `UNPOLLED_EXPIRY_MS` after the last poll.
        """
        self.connection.release()
        if self.services.allows_concurrent:
            self._cancel_at_executor(None)
            return
        waiter = Waiter(self.loop)
        self._cancel_at_executor(waiter)
        with (
            suppress(DeadlineExceeded),
            self.loop.deadline_at(self.connection.last_polled_ms + UNPOLLED_EXPIRY_MS),
        ):
            has_ended = waiter.wait()
            if not has_ended:
                self.loop.sleep(UNPOLLED_EXPIRY_MS)  # not confirmed: the deadline above ends this wait

    def _cancel_at_executor(self, waiter: Waiter | None) -> None:
        if self.may_have_arrived:
            self.services.cancellations.add(self.executor, self.query_id, waiter)

    # Running the attempt.

    def _run(self) -> AttemptEnd:
        while self.services.cancellations.is_pending(self.executor, self.query_id):
            # both attempts have the same query id: the DELETE would cancel this one too
            self.loop.sleep(CANCELLATION_CHECK_MS)
        try:
            self.connection.connect()
        except (LocalConnectFailure, ExecutorRemovedError) as exc:  # neither is the executor's fault
            return AttemptEnd(AttemptStatus.NOT_STARTED, str(exc))
        except ConnectFailed as exc:
            return AttemptEnd(AttemptStatus.CONNECT_FAILED, str(exc))
        self._wait_for_client_input()
        reason = self._reason_not_to_send()
        if reason:
            return AttemptEnd(AttemptStatus.NOT_STARTED, reason)
        try:
            return self._poll_until_end(self._send())
        except RequestNotSentError as exc:
            return AttemptEnd(AttemptStatus.CONNECT_FAILED, str(exc))
        except ConnectFailed as exc:
            # A refused connection means that the executor's process has ended, and with it the attempt.
            # ExecutorRemovedError has the same errno, but does not mean that the process has ended.
            has_process_ended = exc.errno == errno.ECONNREFUSED and not self.executor.is_removed
            if not has_process_ended and not self.services.allows_concurrent:
                self._abandon()
            return AttemptEnd(AttemptStatus.RESET, f"the executor is unreachable: {exc}")
        except AnswerUnavailableError as exc:
            self._abandon()
            return AttemptEnd(AttemptStatus.ERROR, str(exc))

    def _wait_for_client_input(self) -> None:
        """Wait until everything that the client has sent by now is read; this may be a withdrawal or a close.

        A loop that was busy for long has not read these bytes yet, and a long burst takes several reads.
        Without the wait, the attempt might start more than 100 ms after its client has left.
        """
        self.loop.catch_up(MAX_LOOP_DELAY_MS)
        while (wait_ms := self.request.submission.earliest_start_ms() - self.loop.now()) > 0.0:
            self.loop.sleep(wait_ms)

    def _reason_not_to_send(self) -> str:
        """Return why the attempt may not be sent now, or "" if it may.

        The state may have changed while the connection was being established. No task switch may happen from
        here to the first byte.
        """
        if self.executor.is_removed or self.executor.is_draining:
            return "the executor is draining or removed"
        if any(
            other.executor is self.executor and other.may_have_arrived
            for other in self.services.in_flight.of(self.request.query)
        ):
            return "another attempt is running at the executor"  # answers with the same id could be mixed up
        return self.request.reason_not_to_start()

    def _send(self) -> Response | None:
        """Post the attempt; return None if no valid answer came. Raises `RequestNotSentError`."""
        timeout_ms = max(1, int(self.request.deadline_ms - self.loop.now()))
        self.may_have_arrived = True
        self.priority.sent = self.request.priority
        try:
            return self.connection.post(start_query(self.request, timeout_ms))
        except RequestNotSentError:
            self.may_have_arrived = False
            raise

    def _poll_until_end(self, response: Response | None) -> AttemptEnd:
        """Poll until the attempt ends, beginning with the response to its POST."""
        while True:
            if response is not None and response.status != 202:
                end = self._read_end(response)
                if end is not None:
                    return end
            if not self.priority.is_current:
                self.services.priority_updates.send(self.priority)
            response = self.connection.call(poll_query(self.query_id), POLL_TIMEOUT_MS)

    def _read_end(self, response: Response) -> AttemptEnd | None:
        """Return the end that a response reports, or None if it reports no end."""
        load = read_load_report(response, self.services.report_fields)
        did_not_run = response.headers.get(DID_NOT_RUN_HEADER) == b"1"
        match response.status:
            case 200:
                # Setting the priority again has no effect on a query that has ended.
                next_request = set_priority(self.query_id, self.priority.sent)
                with self._memory_held(max_result_bytes(response)):
                    pages = read_pages(self.connection, self.query_id, response, next_request)
                if pages is None:
                    return None
                return AttemptEnd(AttemptStatus.OK, result=Result(pages=pages), load=load)
            case 503 if did_not_run:
                return AttemptEnd(AttemptStatus.OVERLOADED, "the executor is overloaded", load=load)
            case 504 if did_not_run:
                return AttemptEnd(AttemptStatus.NOT_STARTED, "the timeout passed at the executor", load=load)
            case 500:
                return AttemptEnd(AttemptStatus.ERROR, "the executor reported an error", load=load)
        self.connection.note_fault(AnswerFault.UNEXPECTED)
        return None

    @contextmanager
    def _memory_held(self, size: int) -> Iterator[None]:
        """Hold memory for a result during a `with` block; wait for it until it is free."""
        results = self.services.results
        while not results.try_hold(size):
            self.services.pool.counts["waited_for_memory"] += 1
            self.loop.sleep(MEMORY_CHECK_MS)
        try:
            yield
        finally:
            results.release(size)
