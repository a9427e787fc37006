"""Connections of clients: bytes in, calls to the service, replies in the order of their calls.

One task reads a connection. What can be answered at once is answered there; a call that has to wait gets a
second task, and what was pipelined behind it waits in a bounded line, after which nothing more is read. So
the end of a connection is noticed while a call waits, and its queries are left.
"""

from contextlib import suppress
from typing import Any

from fennelwind.frontends.hiveserver2.service import Pending, Service
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

PIPELINED = 16  # calls that may wait behind one, on a connection
CLOSING_MS = 2000.0  # ms that replies under way get when the controller closes


class Frontend:
    """Listens for clients and serves them."""

    def __init__(self, loop: Loop, listener: Listener, service: Service) -> None:
        self.loop, self.listener, self.service = loop, listener, service
        self.settings = service.settings.file.listener
        self.connections: dict[Connection, None] = {}  # in the order they came
        self.tls = service.settings.tls  # of new connections
        self.unshaken = 0  # connections whose TLS handshake failed or stalled
        self.accepted = self.turned_away = self.malformed = self.cut = self.idled = 0
        self._task: Task | None = None

    def start(self) -> None:
        """Take connections."""
        self._task = self.loop.spawn(self._accept, name="hs2: accept")

    def close(self) -> None:
        """Take no more connections; those there are get the replies that are under way, then end."""
        self.listener.close()
        until = self.loop.now() + CLOSING_MS
        while self.loop.now() < until and any(c.worker is not None for c in self.connections):
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
            connection = self.connection(stream)
            self.connections[connection] = None
            self.loop.spawn(self._serve, connection, name=f"hs2 client {self.accepted}")

    def _serve(self, connection: Any) -> None:
        if isinstance(connection.stream, TlsStream):
            try:
                connection.stream.handshake()
            except (StreamReset, DeadlineExceeded):
                self.unshaken += 1
                self.left(connection)
                connection.stream.abort()
                return
        connection.run()

    def connection(self, stream: Stream) -> Any:
        """Return what serves a new connection."""
        return Connection(self, stream)

    def left(self, connection: Any) -> None:
        """Note that a connection has ended."""
        self.connections.pop(connection, None)
        self.service.admission.connections.release(connection.stream.peer.host)


class Connection:
    """One client's connection."""

    def __init__(self, front: Frontend, stream: Stream) -> None:
        self.front, self.loop, self.stream = front, front.loop, stream
        self.side = ServerSide(front.settings.max_request_bytes)
        self.user, self.logged_in = "", False
        self.sessions: dict[bytes, None] = {}  # opened here, in order
        self.line = Channel(front.loop, PIPELINED)
        self.worker: Task | None = None
        self.heard = self.partial_since = 0.0
        self.timer = None

    def run(self) -> None:
        """Serve the client until it leaves."""
        front = self.front
        try:
            self._read()
        except Malformed:
            front.malformed += 1
            if self.side.outgoing:  # why a login failed; its client may be gone
                with suppress(StreamReset, DeadlineExceeded):
                    self._write(bytes(self.side.outgoing))
        except (StreamReset, ChannelClosed):
            front.cut += 1
        except DeadlineExceeded:
            front.idled += 1
        finally:
            front.left(self)
            self.line.close()
            if self.timer is not None:
                self.timer.cancel()
            if self.worker is not None:
                self.worker.cancel()
            for guid in self.sessions:
                session = front.service.sessions.get(guid)
                if session is not None:
                    front.service.end(session, "its connection ended")
            self.stream.close()

    def _read(self) -> None:
        self.heard = self.partial_since = self.loop.now()
        self.timer = self.loop.after(self.front.settings.idle_ms, self._look)
        while True:
            data = self.stream.read()
            if not data:
                return
            self.heard = self.loop.now()
            if not self.side.waiting:
                self.partial_since = self.heard
            self._take(self.side.receive(data))
            wait = self.front.service.admission.consume_bytes(self.user, len(data), self.heard)
            if wait:
                self.loop.sleep(wait)

    def _look(self) -> None:
        """End the connection if its client was silent, or within one message, for too long; else look again.

        One timer that looks now and then costs far less than a deadline for each read.
        """
        now, idle = self.loop.now(), self.front.settings.idle_ms
        since = self.partial_since if self.side.waiting else self.heard
        if self.worker is not None and not self.side.waiting:
            since = now  # it waits for an answer of ours: that is not idle
        if now - since >= idle:
            self.front.idled += 1
            self.stream.close()
        else:
            self.timer = self.loop.at(since + idle, self._look)

    def _take(self, events: list[Message | Login]) -> None:
        for event in events:
            self.partial_since = self.heard
            if isinstance(event, Login):
                if not self.front.service.authenticator.enter(
                    event.user, event.password, self.stream.peer.host
                ):
                    self.side.reject("user or password is wrong")
                    raise Malformed("a login that failed")
                self.user, self.logged_in = event.user, True
                rest = self.side.welcome()
                self._write(bytes(self.side.outgoing))
                self.side.outgoing.clear()
                self._take(rest)
            elif self.worker is not None:
                self.line.put(event)
                if self.worker is None:  # it ended while this waited for room
                    self._go_on(self._next())
            else:
                self._go_on((event, self._begin(event)))

    def _go_on(self, call: tuple[Message, Pending | None]) -> None:
        if call[1] is not None:
            self.worker = self.loop.spawn(self._work, *call, name="hs2 call")

    def _next(self) -> tuple[Message | None, Pending | None]:
        """Answer what is in line, until a call has to wait; return that one."""
        while len(self.line):
            message = self.line.get()
            pending = self._begin(message)
            if pending is not None:
                return message, pending
        return None, None

    def _begin(self, message: Message) -> Pending | None:
        """Answer a call, or return what waits for its answer."""
        if message.type not in (messages.CALL, messages.ONEWAY):
            raise Malformed(f"{message.method}: a message of type {message.type} from a client")
        if message.body is None:
            text = f"{message.method[:80]}: unknown method"
            self._write(
                self.side.wrap(
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
        if service.authenticator.users is not None and not self.logged_in:
            raise Malformed("calls without a login, where users have to log in")
        done = service.begin(message.method, message.body, self.user, self.sessions)
        if callable(done):
            return done
        self._reply(message, done)
        return None

    def _work(self, message: Message, pending: Pending) -> None:
        """Wait for a call's answer, then go on with what was pipelined behind it."""
        try:
            while True:
                reply, entry = pending()
                self._reply(message, reply)
                if entry is not None:
                    self.front.service.driver.delivered(entry)
                message, pending = self._next()
                if pending is None:
                    self.worker = None
                    return
        except (OSError, Malformed):
            self.line.close()  # the reading task, wherever it waits, sees the end and cleans up
            self.stream.close()
        except Cancelled:
            pass

    def _reply(self, message: Message, reply: Structure) -> None:
        if message.type == messages.CALL:
            self._write(
                self.side.wrap(
                    write_message(message.method, messages.REPLY, message.sequence, reply, message.strict)
                )
            )

    def _write(self, data: bytes) -> None:
        self.stream.write(data, self.front.settings.idle_ms)
