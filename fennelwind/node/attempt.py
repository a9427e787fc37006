"""One attempt at an executor: started, polled until it ends, and cancelled there when nobody wants it.

An attempt is tied to no connection: when one breaks, stays silent or brings a malformed answer, the same
attempt's end or page is polled for again on a fresh one. That is no further attempt. How an end is reported:

- no connection: `CONNECT_FAILED`, it never ran; 503 with X-Not-Run: `OVERLOADED`; 504 with it: `NOT_STARTED`
- 500, also for a query that the executor does not know: `ERROR`, it may have run
- 503 or 504 without X-Not-Run, or any other status: no answer; the attempt is polled for again
- the executor can't be reached any more once the POST may have arrived: `RESET`, it may have run
- `TIMEOUT` when the time is up, `CANCELLED` when its task is cancelled; what was posted is then deleted there
"""

import errno
from collections import Counter
from contextlib import suppress
from dataclasses import dataclass

from fennelwind.dispatch.types import AttemptEnd, AttemptRequest, Result
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
from fennelwind.node.executor_pool import ExecutorPool
from fennelwind.node.executor_requests import poll_query, start_query
from fennelwind.node.http1 import Response
from fennelwind.node.load_report import read_load_report
from fennelwind.node.priority_updates import AttemptPriority, PriorityUpdates
from fennelwind.node.result_pages import read_pages
from fennelwind.node.wire_names import DID_NOT_RUN_HEADER
from fennelwind.policy import AttemptStatus

CANCELLATION_CHECK_MS = 15.0  # ms between two checks whether an earlier attempt of the query has been ended
# ms after its last poll in which an executor may still run an attempt: it drops what it isn't polled for in
# 2 s, and the last poll may have been delivered this much later.
UNPOLLED_EXPIRY_MS = 2000.0 + POLL_TIMEOUT_MS
# ms; if the loop is further behind, pending client input is read before an attempt starts: none may start
# later than 100 ms after its client has left.
MAX_LOOP_DELAY_MS = 25.0


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
        self.loop = services.pool.loop
        self.query_id = order.submission.engine_id  # the query's id, as executors receive it
        self.may_have_arrived = False  # its POST has begun to leave
        self.priority = AttemptPriority(executor, order)
        self.connection = AttemptConnection(services.pool, executor)

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
            self.connection.release()

    # Giving the attempt up.

    def _handle_cancellation(self) -> None:
        if self.services.allows_concurrent or not self.may_have_arrived:
            self._end_at_executor(None)
            return
        task = self.loop.current
        assert task is not None, "an attempt runs in a task"
        task.absolve()  # clears the cancellation, so that the task may wait below
        self._abandon()

    def _abandon(self) -> None:
        """Give the attempt up; where two may not run at once, wait until the executor can't run it any more.

        Otherwise the driver would start the query's next attempt while the executor still runs this one,
        which shows as a statement that has its effect twice. It waits until the executor confirms the end (a
        DELETE answered), and otherwise until `UNPOLLED_EXPIRY_MS` after the last poll.
        """
        self.connection.release()
        if self.services.allows_concurrent:
            self._end_at_executor(None)
            return
        waiter = Waiter(self.loop)
        self._end_at_executor(waiter)
        with (
            suppress(DeadlineExceeded),
            self.loop.deadline_at(self.connection.last_polled_ms + UNPOLLED_EXPIRY_MS),
        ):
            has_ended = waiter.wait()
            if not has_ended:
                self.loop.sleep(UNPOLLED_EXPIRY_MS)  # not confirmed: wait until the deadline above

    def _end_at_executor(self, waiter: Waiter | None) -> None:
        if self.may_have_arrived:
            self.services.cancellations.add(self.executor, self.query_id, waiter)

    # The way from the connection to the end.

    def _run(self) -> AttemptEnd:
        while self.services.cancellations.is_pending(self.executor, self.query_id):
            # both attempts have one query id: its DELETE would end this one too
            self.loop.sleep(CANCELLATION_CHECK_MS)
        try:
            self.connection.connect()
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
            # A refused connection shows that the executor's process has ended, and the attempt with it;
            # ExecutorRemovedError has the same errno, but shows nothing of the process.
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
        while (wait_ms := self.order.submission.earliest_start_ms() - self.loop.now()) > 0.0:
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
        self.may_have_arrived = True
        self.priority.sent = self.order.priority
        try:
            return self.connection.post(start_query(self.order, timeout_ms))
        except RequestNotSentError:
            self.may_have_arrived = False
            raise

    def _poll_until_end(self, response: Response | None) -> AttemptEnd:
        """Follow the attempt to its end, from the response to its POST on."""
        while True:
            if response is not None and response.status != 202:
                end = self._read_end(response)
                if end is not None:
                    return end
            if not self.priority.is_current:
                self.services.priority_updates.send(self.priority)
            response = self.connection.call(poll_query(self.query_id), POLL_TIMEOUT_MS)

    def _read_end(self, response: Response) -> AttemptEnd | None:
        """Return the end that a response reports; None if it reports none."""
        load = read_load_report(response, self.services.report_fields)
        did_not_run = response.headers.get(DID_NOT_RUN_HEADER) == b"1"
        match response.status:
            case 200:
                pages = read_pages(self.connection, self.query_id, response)
                if pages is None:
                    return None
                return AttemptEnd(AttemptStatus.OK, result=Result(pages=pages), load=load)
            case 503 if did_not_run:
                return AttemptEnd(AttemptStatus.OVERLOADED, "the executor is full", load=load)
            case 504 if did_not_run:
                return AttemptEnd(AttemptStatus.NOT_STARTED, "its time was up at the executor", load=load)
            case 500:
                return AttemptEnd(AttemptStatus.ERROR, "the executor told an error", load=load)
        self.connection.note_fault(AnswerFault.UNEXPECTED)
        return None
