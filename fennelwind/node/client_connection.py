"""One client's connection: turns MessagePack-RPC requests into queries, and final answers into responses.

`frontend` accepts connections, spawns a task for each that runs `ClientConnection.run`, and closes those that
are idle, or leave a message incomplete, for too long. The controller always closes with linger: it closes its
sending side first, then reads and drops what the client still sends until the client closes too. Closing a
socket with unread bytes would send a TCP reset, which may destroy answers that the client has not read yet.

A connection costs a task and a few hundred bytes. An answer that can't be sent at once waits in a queue that
is bounded in bytes, number and time; a client that does not read its answers within these bounds is
disconnected. What the open queries and the unread answers of a connection take is held in its memory account:
a query that does not fit is rejected at once, and a result that does not fit is replaced by an error.

Closing has three steps: `close` handles no further input and answers the open queries, `shut_down` closes our
sending side and lingers, the frontend's `close_socket` closes the socket.
"""

from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from fennelwind.dispatch.driver import Driver
from fennelwind.dispatch.ledger import Entry
from fennelwind.dispatch.types import AnswerKind, Submission
from fennelwind.limits.connection_slots import ConnectionSlots
from fennelwind.limits.memory_budget import MAX_READ_BYTES, MemoryBudget
from fennelwind.loop.scheduler import DeadlineExceeded, Loop, TurnQuota
from fennelwind.loop.streams import PushStream, StreamReset
from fennelwind.node import msgrpc
from fennelwind.node.config import NodeConfig
from fennelwind.node.query_ids import QueryIds
from fennelwind.node.request_validation import (
    InvalidRequestError,
    QueryRequest,
    read_request,
    statement_bytes,
)
from fennelwind.node.wire_names import ClientError, ClientMethod, ErrorField

MAX_OPEN_QUERIES = 32  # open queries on one connection, as the protocol specifies
MAX_UNREAD_BYTES = 262_144  # bytes of unread answers of a connection; above it requests are rejected
MAX_UNREAD_ANSWERS = 1024  # unread answers that close a connection; normal clients have under 32 open queries
MIN_WRITE_TIMEOUT_MS = 3000.0  # ms that answers may stay unread if no deadline is later
MAX_INVALID_REQUESTS = 3  # invalid requests of a connection before it is closed
READ_BYTES = MAX_READ_BYTES  # bytes of one read at most
MAX_MESSAGES_PER_TURN = 8  # messages of a connection that one turn of the loop handles
LONG_STATEMENT_BYTES = 2048  # a longer statement takes long to read, so that few are read in a turn
MIN_BACKOFF_MS, MAX_BACKOFF_MS = 1.0, 1000.0  # ms without reading after an invalid request too many, doubled
MAX_LINGER_BYTES = 262_144  # bytes read and dropped after `close`; a client that sends more is cut off
BURST_MS = 20.0  # a burst begins with a full read and ends after this many ms without a byte
MAX_REASON_LENGTH = 200  # characters of a failure's reason that are sent to the client
QUERY_BYTES = 4000  # of an open query without its statement, with what the policy holds of it
ANSWER_BYTES = 200  # of an unread answer's place in the queue
MAX_SHORT_ANSWER_BYTES = 1000  # with its place in the queue; all answers but results are shorter
MAX_ASSURED_ANSWERS = 2 * MAX_OPEN_QUERIES  # short unread answers of a connection that need no free memory
READS_TOO_SLOWLY = "its client reads its answers too slowly"


@dataclass(slots=True, frozen=True)
class UnreadAnswer:
    """What is left to send of an answer; it does not keep the query, whose statement may be long."""

    response: bytes
    deadline_ms: float = 0.0  # when the client times out; 0 if the answer is not that of a query
    answered_ms: float | None = None  # when the query got its final answer

    @property
    def held_bytes(self) -> int:
        """The memory that it takes."""
        return len(self.response) + ANSWER_BYTES


class ConnectionOwner(Protocol):
    """What a connection needs from the frontend that accepted it."""

    loop: Loop
    driver: Driver
    config: NodeConfig
    slots: ConnectionSlots
    memory: MemoryBudget
    query_ids: QueryIds
    is_serving: bool
    partial_bytes: int  # bytes of incomplete messages, over all connections
    partial_memory: int  # memory that they take
    read_bytes: int  # of one read
    long_statements: TurnQuota  # that are read in one turn, over all connections
    max_pending_events: int  # events that may wait for the policy's next step
    counts: Counter[str]

    def limit_partial_bytes(self) -> None:
        """Close connections with incomplete messages while all such messages together are too large."""

    def linger(self, connection: "ClientConnection") -> None:
        """Let a connection whose sending side is closed wait until its client closes too."""

    def close_socket(self, connection: "ClientConnection") -> None:
        """Close a connection's socket."""

    def note_malformed_message(self, reason: str) -> None:
        """Count a connection that can't be parsed any further."""

    def note_invalid_request(self, reason: str) -> None:
        """Count an invalid request."""


class ClientConnection:
    """One client's connection, run by its own task."""

    __slots__ = (
        "frontend",
        "stream",
        "reader",
        "account",
        "last_message_id",
        "open_queries",
        "unread_answers",
        "unread_bytes",
        "is_writing",
        "invalid_requests",
        "partial_bytes",
        "partial_memory",
        "burst_until_ms",
        "quota",
        "is_closing",
        "is_closed",
    )

    def __init__(self, frontend: ConnectionOwner, stream: PushStream) -> None:
        self.frontend, self.stream, self.reader = frontend, stream, msgrpc.MessageReader()
        self.account = frontend.memory.open_account()
        self.last_message_id = 0  # the highest so far; ids must increase
        self.open_queries: dict[int, Entry] = {}  # by message id
        self.unread_answers: deque[UnreadAnswer] = deque()  # not yet sent completely
        self.unread_bytes = 0
        self.is_writing = False  # true while a task writes the unread answers
        self.invalid_requests = 0
        self.partial_bytes = self.partial_memory = 0  # bytes not handled yet, memory that they take
        self.quota = TurnQuota(frontend.loop, MAX_MESSAGES_PER_TURN)
        self.burst_until_ms = 0.0  # bytes that the client sent earlier may still arrive until then
        self.is_closing = False  # if true, input is dropped; the connection closes after its last answer
        self.is_closed = False

    # Reading.

    def run(self) -> None:
        """Read until the client closes; once `is_closing` is true, drop what is read."""
        dropped_bytes = 0
        try:
            while data := self.stream.read(self.frontend.read_bytes):
                is_full = len(data) == self.frontend.read_bytes  # more may be waiting in the kernel
                self._note_burst(is_full)
                if self.is_closing:
                    dropped_bytes += len(data)
                    if dropped_bytes > MAX_LINGER_BYTES:
                        break
                elif is_full and self.stream.ended():
                    break  # the client has already disconnected: none of these queries may start
                else:
                    self.reader.add(data)
                    del data  # not held during the waits below
                    self._handle_messages()
                if is_full:  # other tasks run before the next read
                    self.frontend.loop.sleep(0.0)
        except StreamReset:
            pass
        finally:
            self._mark_closed()
            self.frontend.close_socket(self)

    def _note_burst(self, is_full: bool) -> None:
        """Note that some of what the client has already sent may still be unread.

        After a long burst, a withdrawal or the end of the connection may be unread. An attempt that started
        before the loop has read this input would run for a client that has left. `Submission` therefore
        states the earliest time at which an attempt may start.
        """
        now = self.frontend.loop.now()
        if is_full or now < self.burst_until_ms:
            self.burst_until_ms = now + BURST_MS

    def _handle_messages(self) -> None:
        """Handle the messages that have arrived, also those that precede malformed bytes."""
        try:
            while self.reader.unparsed_bytes() and not self.is_closing:
                if not self.quota.try_take():
                    self._pause()
                    continue
                message = self.reader.next_message()
                if message is None:
                    break
                self._handle(message)
            if not self.is_closing:
                self._count_partial()
        except msgrpc.MalformedMessageError as exc:
            self.frontend.note_malformed_message(str(exc))
            self.close()

    def _pause(self) -> None:
        """Leave the loop to others before the next message.

        A client that sends at full speed would otherwise delay all others, however cheap its messages are.
        One that goes on with invalid requests waits ever longer. If the client has left meanwhile, none of
        the queries that it has sent may start.
        """
        excess = self.invalid_requests - MAX_INVALID_REQUESTS
        backoff_ms = min(MIN_BACKOFF_MS * 2.0 ** min(excess, 20), MAX_BACKOFF_MS) if excess > 0 else 0.0
        self.burst_until_ms = self.frontend.loop.now() + backoff_ms + BURST_MS
        waiting_memory = max(0, self.reader.held_bytes() - self.frontend.read_bytes)
        self._set_partial(self.reader.unparsed_bytes(), waiting_memory, is_incomplete=False)
        self.frontend.loop.sleep(backoff_ms)
        if self.stream.ended():
            self._mark_closed()

    def _count_partial(self) -> None:
        unparsed_bytes = self.reader.unparsed_bytes()
        self._set_partial(unparsed_bytes, self.reader.held_bytes(), is_incomplete=unparsed_bytes > 0)
        self.frontend.limit_partial_bytes()

    def _set_partial(self, partial_bytes: int, memory: int, is_incomplete: bool) -> None:
        self.frontend.slots.bytes_received(self, self.frontend.loop.now(), is_incomplete)
        self.frontend.partial_bytes += partial_bytes - self.partial_bytes
        self.frontend.partial_memory += memory - self.partial_memory
        self.partial_bytes, self.partial_memory = partial_bytes, memory

    def _handle(self, message: msgrpc.Request | msgrpc.Notification) -> None:
        if isinstance(message, msgrpc.Notification):
            self._handle_notification(message)
            return
        if message.message_id <= self.last_message_id:
            raise msgrpc.MalformedMessageError("message ids do not rise")
        self.last_message_id = message.message_id
        self.frontend.slots.message_received(self, self.frontend.loop.now())
        if message.method == ClientMethod.HEALTH:
            self.send(msgrpc.encode_result(message.message_id, [self.frontend.is_serving, {}]), None)
        elif len(self.open_queries) >= MAX_OPEN_QUERIES or self.unread_bytes > MAX_UNREAD_BYTES:
            self._reject_on_arrival(message.message_id)
        else:
            self._handle_query(message)

    def _handle_notification(self, message: msgrpc.Notification) -> None:
        if message.method != ClientMethod.WITHDRAW:
            return
        for message_id in message.params:
            entry = self.open_queries.pop(message_id, None) if type(message_id) is int else None
            if entry is not None:
                self._forget_query(entry)
                self.frontend.driver.cancel(entry, "its client has withdrawn it")

    def _handle_query(self, message: msgrpc.Request) -> None:
        frontend = self.frontend
        config, now = frontend.config, frontend.loop.now()
        message_id, size = message.message_id, statement_bytes(message.params) + QUERY_BYTES
        if frontend.driver.pending_events >= frontend.max_pending_events or not self.account.try_hold(size):
            frontend.counts["rejected_for_memory"] += 1
            self._reject_on_arrival(message_id)
            return
        while size > LONG_STATEMENT_BYTES + QUERY_BYTES and not frontend.long_statements.try_take():
            self._pause()
        try:
            if self.is_closing:
                raise InvalidRequestError("its connection is being closed")
            query = read_request(message.method, message.params, config, frontend.query_ids)
        except InvalidRequestError as exc:
            self.account.release(size)
            self._answer_invalid(message_id, exc)
            return
        self.quota.most = MAX_MESSAGES_PER_TURN
        if query.query_id in frontend.query_ids.ending:  # a retry is safe once that attempt has ended
            self.account.release(size)
            self._reject_on_arrival(message_id)
            return
        frontend.query_ids.open.add(query.query_id)

        def on_finished(entry: Entry) -> None:
            self.account.release(size)
            frontend.query_ids.finished(entry)

        def on_answer(entry: Entry) -> None:
            self.open_queries.pop(message_id, None)
            self._forget_query(entry)
            self.answer(message_id, entry)

        submission = self._submission(query, message.method, now)
        entry = frontend.driver.submit(submission, on_answer, on_finished)
        if entry.answer is None:
            self.open_queries[message_id] = entry
            frontend.slots.mark_busy(self)

    def _submission(self, query: QueryRequest, method: str, now_ms: float) -> Submission:
        # The bytes may have been in the kernel since the loop's previous poll: the deadline counts from the
        # earliest time at which they may have arrived.
        return Submission(
            class_index=query.class_index,
            statement=query.statement,
            deadline_ms=min(now_ms, self.stream.unseen_since_ms) + query.timeout_ms,
            tenant=query.tenant,
            estimated_work_ms=query.estimated_work_ms,
            estimated_memory_mb=query.estimated_memory_mb,
            table_group=query.table_group,
            is_client_retry=query.is_retry,
            engine_id=query.query_id,
            engine_class=method,
            idempotency_key=query.idempotency_key,
            earliest_start_ms=lambda: self.burst_until_ms,
        )

    def _reject_on_arrival(self, message_id: int) -> None:
        """Reject a request; the client's part of a turn shrinks until a request of its is accepted."""
        self.quota.most = max(1, self.quota.most // 2)
        self.reject(message_id, self.frontend.driver.max_retry_after_ms)

    def _answer_invalid(self, message_id: int, error: InvalidRequestError) -> None:
        self.quota.most = max(1, self.quota.most // 2)
        self.frontend.note_invalid_request(str(error))
        self.invalid_requests += 1
        fields = {ErrorField.MESSAGE: str(error)}
        self.send(msgrpc.encode_error(message_id, ClientError.INVALID_REQUEST, fields), None)
        if self.invalid_requests >= MAX_INVALID_REQUESTS and not self.has_open_or_unread():
            self.close()

    def _forget_query(self, entry: Entry) -> None:
        self.frontend.query_ids.answered(entry)
        self._update_idle()

    def _update_idle(self) -> None:
        if not self.has_open_or_unread():
            self.frontend.slots.mark_idle(self, self.frontend.loop.now())

    def has_open_or_unread(self) -> bool:
        """Return whether a query is open or an answer has not been sent completely."""
        return bool(self.open_queries or self.unread_answers)

    # Answers.

    def answer(self, message_id: int, entry: Entry) -> None:
        """Send a query's final answer."""
        answer = entry.answer
        assert answer is not None, "an answered query has an answer"
        if self.is_closed or answer.kind == AnswerKind.CANCELLED:
            return
        if answer.kind == AnswerKind.SERVED:
            assert answer.result is not None, "a served query has a result"
            response = msgrpc.encode_result(message_id, [b"".join(answer.result.pages), {}])
            self.send(response, entry, lambda: _encode_failure(message_id, READS_TOO_SLOWLY))
        elif answer.kind == AnswerKind.REJECTED:
            self.reject(message_id, answer.retry_after_ms, entry)
        else:
            self.send(_encode_failure(message_id, answer.reason), entry)

    def reject(self, message_id: int, retry_after_ms: float, entry: Entry | None = None) -> None:
        """Send a rejection: a retry is safe. State its delay, limited by the settings, if at least 1 ms."""
        retry_after_ms = min(retry_after_ms, self.frontend.driver.max_retry_after_ms)
        fields = {ErrorField.RETRY_AFTER_MS: str(int(retry_after_ms))} if retry_after_ms >= 1.0 else {}
        self.send(msgrpc.encode_error(message_id, ClientError.REJECTED, fields), entry)

    def send(self, response: bytes, entry: Entry | None, fallback: Callable[[], bytes] | None = None) -> None:
        """Send a response; queue what can't be sent at once.

        If there is no memory for the queue, send the short response that `fallback` returns instead.
        """
        if self.is_closed:
            return
        sent_bytes = 0
        if not self.unread_answers:
            try:
                sent_bytes = self.stream.push(response)
            except StreamReset:
                self.shut_down()
                return
            if sent_bytes == len(response):
                if entry is not None:
                    self.frontend.driver.delivered(entry)
                return
            response = response[sent_bytes:]
        answer = UnreadAnswer(response)
        if entry is not None:
            answer = UnreadAnswer(response, entry.submission.deadline_ms, entry.answered_ms)
        if self._can_queue(answer.held_bytes, is_begun=sent_bytes > 0):
            self._enqueue_answer(answer)
        elif fallback is not None:
            self.frontend.counts["results_dropped"] += 1
            self.send(fallback(), entry)
        else:
            self.frontend.counts["unread"] += 1
            self.shut_down()

    def _can_queue(self, size: int, is_begun: bool) -> bool:
        """Hold memory for an unread answer; return whether it fits.

        An answer that is begun has to be completed. Short answers fit in any case until there are more than
        a client that keeps to the protocol can leave unread: closing its connection would lose its open
        queries.
        """
        if len(self.unread_answers) >= MAX_UNREAD_ANSWERS:
            return False
        is_short = size <= MAX_SHORT_ANSWER_BYTES and len(self.unread_answers) < MAX_ASSURED_ANSWERS
        if is_begun or is_short:
            self.account.hold(size)
            return True
        return self.account.try_hold(size)

    def _enqueue_answer(self, answer: UnreadAnswer) -> None:
        self.unread_answers.append(answer)
        self.frontend.slots.mark_busy(self)
        self.unread_bytes += len(answer.response)
        if not self.is_writing:
            self.is_writing = True
            self.frontend.loop.spawn(self._write_unread, name="client: answers")

    def _write_unread(self) -> None:
        try:
            while self.unread_answers and not self.is_closed:
                answer = self.unread_answers[0]
                self.stream.write(answer.response, self._write_timeout_ms())
                if self.is_closed:
                    return
                self.unread_answers.popleft()
                self.unread_bytes -= len(answer.response)
                self.account.release(answer.held_bytes)
                if answer.answered_ms is not None:
                    self.frontend.driver.margin.delivered(self.frontend.loop.now() - answer.answered_ms)
            self._update_idle()
            if self.is_closing:
                self.shut_down()
        except (StreamReset, DeadlineExceeded):
            self.frontend.counts["unread"] += not self.is_closed
            self.shut_down()
        finally:
            self.is_writing = False

    def _write_timeout_ms(self) -> float:
        """Return how long a write may stall: until the last deadline of the queries not yet answered."""
        deadlines = [answer.deadline_ms for answer in self.unread_answers]
        deadlines += [entry.submission.deadline_ms for entry in self.open_queries.values()]
        return max(MIN_WRITE_TIMEOUT_MS, max(deadlines, default=0.0) - self.frontend.loop.now())

    # Closing.

    def close(self) -> None:
        """Answer the open queries and close once the answers are sent; handle no further input."""
        if self.is_closing:
            return
        self.is_closing = True
        self._drop_partial()
        for entry in list(self.open_queries.values()):
            self.frontend.driver.abandon(entry, "its connection is being closed")
        if not self.unread_answers:
            self.shut_down()

    def shut_down(self) -> None:
        """Close our sending side and linger.

        Unsent answers are dropped, and open queries are cancelled.
        """
        if not self.is_closed:
            self._mark_closed()
            self.stream.half_close()
            self.frontend.linger(self)

    def _drop_partial(self) -> None:
        self.reader = msgrpc.MessageReader()
        self._set_partial(0, 0, is_incomplete=False)

    def _mark_closed(self) -> None:
        if self.is_closed:
            return
        self.is_closing = self.is_closed = True
        self._drop_partial()
        self.frontend.slots.remove(self)
        for entry in list(self.open_queries.values()):
            self.frontend.query_ids.answered(entry)
            self.frontend.driver.cancel(entry, "its client has closed the connection")
        self.open_queries.clear()
        self.account.release(sum(answer.held_bytes for answer in self.unread_answers))
        self.unread_answers.clear()
        self.unread_bytes = 0
        self.account.close()


def _encode_failure(message_id: int, reason: str) -> bytes:
    fields = {ErrorField.MESSAGE: reason[:MAX_REASON_LENGTH]}
    return msgrpc.encode_error(message_id, ClientError.FAILED, fields)
