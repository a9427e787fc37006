"""Serves clients' connections: passes calls to the service and replies in the order of the calls.

One task reads a connection and answers calls that need no waiting. A call that has to wait is served by a
second task; further calls wait behind it in a bounded queue, and reading stops when the queue is full. So the
end of a connection is noticed while a call waits, and the connection's queries are cancelled.
"""

from contextlib import suppress
from typing import Any

from fennelwind.frontends.hiveserver2.service import PendingReply, Service
from fennelwind.loop import (
    Cancelled,
    Channel,
    ChannelClosed,
    DeadlineExceeded,
    Listener,
    Loop,
    Stream,
    StreamReset,
    Task,
    TlsStream,
)
from fennelwind.thrift import messages
from fennelwind.thrift.codec import Malformed, Structure
from fennelwind.thrift.messages import Message, TApplicationException, write_message
from fennelwind.thrift.transport import Login, ServerSide

MAX_QUEUED_CALLS = 16  # calls queued behind a waiting call, per connection
SHUTDOWN_TIMEOUT_MS = 2000.0  # limit for answering open calls when the controller shuts down


class Frontend:
    """Listens for clients and serves them."""

    def __init__(self, loop: Loop, listener: Listener, service: Service) -> None:
        self.loop, self.listener, self.service = loop, listener, service
        self.settings = service.settings.file.listener
        self.connections: dict[Connection, None] = {}  # in the order in which they were accepted
        self.tls = service.settings.tls  # TLS context for new connections; None without TLS
        self.unshaken = 0  # connections whose TLS handshake failed or stalled
        self.accepted = self.turned_away = self.malformed = self.cut = self.idled = 0
        self._task: Task | None = None

    def start(self) -> None:
        """Start accepting connections."""
        self._task = self.loop.spawn(self._accept, name="hs2: accept")

    def close(self) -> None:
        """Stop accepting connections; wait for open calls to be answered, then close all connections."""
        self.listener.close()
        deadline_ms = self.loop.now() + SHUTDOWN_TIMEOUT_MS
        while self.loop.now() < deadline_ms and any(c.worker is not None for c in self.connections):
            self.loop.sleep(5.0)
        for connection in list(self.connections):
            connection.stream.close()

    def _accept(self) -> None:
        while True:
            try:
                stream = self.listener.accept()
            except StreamReset:
                return
            if self.service.admission.connections.acquire(stream.peer.host) is not None:
                self.turned_away += 1
                stream.abort()
                continue
            self.accepted += 1
            if self.tls is not None:
                stream = TlsStream(self.loop, stream, self.tls, server=True)
            connection = self.new_connection(stream)
            self.connections[connection] = None
            self.loop.spawn(self._serve, connection, name=f"hs2 client {self.accepted}")

    def _serve(self, connection: Any) -> None:
        if isinstance(connection.stream, TlsStream):
            try:
                connection.stream.handshake()
            except (StreamReset, DeadlineExceeded):
                self.unshaken += 1
                self.connection_ended(connection)
                connection.stream.abort()
                return
        connection.run()

    def new_connection(self, stream: Stream) -> Any:
        """Return the handler of a new connection."""
        return Connection(self, stream)

    def connection_ended(self, connection: Any) -> None:
        """Remove a connection that has ended and release its admission slot."""
        self.connections.pop(connection, None)
        self.service.admission.connections.release(connection.stream.peer.host)


class Connection:
    """One client's connection."""

    def __init__(self, front: Frontend, stream: Stream) -> None:
        self.front, self.loop, self.stream = front, front.loop, stream
        self.protocol = ServerSide(front.settings.max_request_bytes)
        self.user, self.is_logged_in = "", False
        self.sessions: dict[bytes, None] = {}  # ids of the sessions opened on this connection, in order
        self.queued_calls = Channel(front.loop, MAX_QUEUED_CALLS)
        self.worker: Task | None = None
        self.last_received_ms = self.partial_since_ms = 0.0
        self.idle_timer = None

    def run(self) -> None:
        """Serve the client until it disconnects."""
        front = self.front
        try:
            self._read()
        except Malformed:
            front.malformed += 1
            if self.protocol.outgoing:  # the reason why a login failed; the client may have disconnected
                with suppress(StreamReset, DeadlineExceeded):
                    self._write(bytes(self.protocol.outgoing))
        except (StreamReset, ChannelClosed):
            front.cut += 1
        except DeadlineExceeded:
            front.idled += 1
        finally:
            front.connection_ended(self)
            self.queued_calls.close()
            if self.idle_timer is not None:
                self.idle_timer.cancel()
            if self.worker is not None:
                self.worker.cancel()
            for guid in self.sessions:
                session = front.service.sessions.get(guid)
                if session is not None:
                    front.service.end_session(session, "its connection ended")
            self.stream.close()

    def _read(self) -> None:
        self.last_received_ms = self.partial_since_ms = self.loop.now()
        self.idle_timer = self.loop.after(self.front.settings.idle_ms, self._check_idle)
        while True:
            data = self.stream.read()
            if not data:
                return
            self.last_received_ms = self.loop.now()
            if not self.protocol.unconsumed_bytes:
                self.partial_since_ms = self.last_received_ms
            self._handle_events(self.protocol.receive(data))
            delay_ms = self.front.service.admission.consume_bytes(self.user, len(data), self.last_received_ms)
            if delay_ms:
                self.loop.sleep(delay_ms)

    def _check_idle(self) -> None:
        """Close the connection if its client was idle, or in the middle of a message, for too long.

        Otherwise reschedule the check. A single timer costs far less than a deadline for each read.
        """
        now_ms, idle_timeout_ms = self.loop.now(), self.front.settings.idle_ms
        since_ms = self.partial_since_ms if self.protocol.unconsumed_bytes else self.last_received_ms
        if self.worker is not None and not self.protocol.unconsumed_bytes:
            since_ms = now_ms  # a client that waits for its answer is not idle
        if now_ms - since_ms >= idle_timeout_ms:
            self.front.idled += 1
            self.stream.close()
        else:
            self.idle_timer = self.loop.at(since_ms + idle_timeout_ms, self._check_idle)

    def _handle_events(self, events: list[Message | Login]) -> None:
        for event in events:
            self.partial_since_ms = self.last_received_ms
            if isinstance(event, Login):
                if not self.front.service.authenticator.authenticate(
                    event.user, event.password, self.stream.peer.host
                ):
                    self.protocol.reject("user or password is wrong")
                    raise Malformed("a login that failed")
                self.user, self.is_logged_in = event.user, True
                remaining_events = self.protocol.accept_login()
                self._write(bytes(self.protocol.outgoing))
                self.protocol.outgoing.clear()
                self._handle_events(remaining_events)
            elif self.worker is not None:
                self.queued_calls.put(event)
                if self.worker is None:  # the worker ended while `put` waited for space in the queue
                    self._start_worker(self._next_waiting_call())
            else:
                self._start_worker((event, self._begin(event)))

    def _start_worker(self, call: tuple[Message, PendingReply | None]) -> None:
        if call[1] is not None:
            self.worker = self.loop.spawn(self._serve_waiting_calls, *call, name="hs2 call")

    def _next_waiting_call(self) -> tuple[Message | None, PendingReply | None]:
        """Answer queued calls until one has to wait; return that call, or (None, None) if none has to."""
        while len(self.queued_calls):
            message = self.queued_calls.get()
            pending = self._begin(message)
            if pending is not None:
                return message, pending
        return None, None

    def _begin(self, message: Message) -> PendingReply | None:
        """Answer a call and return None, or return a function that waits for the call's answer."""
        if message.type not in (messages.CALL, messages.ONEWAY):
            raise Malformed(f"{message.method}: a message of type {message.type} from a client")
        if message.body is None:
            text = f"{message.method[:80]}: unknown method"
            self._write(
                self.protocol.wrap(
                    write_message(
                        message.method,
                        messages.EXCEPTION,
                        message.sequence,
                        TApplicationException(text, messages.UNKNOWN_METHOD),
                        message.strict,
                    )
                )
            )
            return None
        service = self.front.service
        if service.authenticator.users is not None and not self.is_logged_in:
            raise Malformed("calls without a login, where users have to log in")
        result = service.begin(message.method, message.body, self.user, self.sessions)
        if callable(result):
            return result
        self._reply(message, result)
        return None

    def _serve_waiting_calls(self, message: Message, pending: PendingReply) -> None:
        """Wait for a call's answer, then serve the calls that were queued behind it."""
        try:
            while True:
                reply, entry = pending()
                self._reply(message, reply)
                if entry is not None:
                    self.front.service.driver.delivered(entry)
                message, pending = self._next_waiting_call()
                if pending is None:
                    self.worker = None
                    return
        except (OSError, Malformed):
            self.queued_calls.close()  # ends the reading task, whatever it waits for; that task cleans up
            self.stream.close()
        except Cancelled:
            pass

    def _reply(self, message: Message, reply: Structure) -> None:
        if message.type == messages.CALL:
            self._write(
                self.protocol.wrap(
                    write_message(message.method, messages.REPLY, message.sequence, reply, message.strict)
                )
            )

    def _write(self, data: bytes) -> None:
        self.stream.write(data, self.front.settings.idle_ms)
