"""The server of a Raft member: accepts connections from other members and from clients.

The first frame of a connection, the hello, identifies the sender. If the hello has an incarnation, the sender
is a member, and its Raft messages follow; otherwise the sender is a client, whose requests are answered on
the same connection. A sender of anything else is disconnected and counted. Messages and requests go to a
`RequestHandler` (the Raft host).
"""

from collections import Counter
from collections.abc import Callable
from typing import Protocol

from google.protobuf.message import DecodeError

from fennelwind.cluster import keeper_pb2 as pb
from fennelwind.cluster.errors import ClusterError, InvalidFrameError
from fennelwind.cluster.framing import FrameReader, Outbox, encode_frame
from fennelwind.cluster.identity import MAX_NAME_LENGTH, hello_error
from fennelwind.cluster.peer_connections import HEARTBEAT_MS
from fennelwind.loop import Listener, Loop, Stream, StreamReset, Task
from fennelwind.raft import council_pb2
from fennelwind.raft.messages import Incarnation

HELLO_TIMEOUT_MS = 2000.0  # ms for a new connection to send its hello
MAX_UNIDENTIFIED = 128  # connections that have sent no hello yet; further connections are closed at once
MAX_CLIENTS = 1024  # connections of clients: five for each of two hundred controllers
MAX_MEMBERS = (
    16  # connections of members: seven members, and earlier incarnations not yet known to have ended
)
IDLE_TIMEOUT_MS = 120_000.0  # ms without a request: twice the longest wait of a request; clients reconnect
MAX_PENDING_REQUESTS = 128  # requests per connection; twice what one client may have in progress
OVERLOAD_RETRY_AFTER_MS = 100  # ms; sent to a client that has too many pending requests


class RequestHandler(Protocol):
    """Handles the messages and requests that the server receives."""

    def hello(self) -> pb.Hello:
        """Return the hello: the first message that this member sends on each connection."""

    def member_connected(self, sender: Incarnation) -> None:
        """Note that a member has connected to this one."""

    def message_received(self, sender: Incarnation, message: council_pb2.Message) -> None:
        """Handle a member's Raft message."""

    def request_received(self, client: "ClientConnection", request: pb.Ask) -> None:
        """Handle a request, which is answered by exactly one call of `ClientConnection.answer`."""


class ClientConnection:
    """The server's side of one client's connection."""

    def __init__(self, loop: Loop, name: str) -> None:
        self.name = name
        self.pending_requests = 0
        self.is_closed = False
        self.last_request_ms = loop.now()
        self.outbox = Outbox(loop)

    def answer(self, answer: pb.Told) -> None:
        """Queue an answer; a client that does not read its answers is disconnected."""
        self.pending_requests -= 1
        if not self.is_closed and not self.outbox.put(encode_frame(pb.Frame(told=answer))):
            self.is_closed = True


class ClusterServer:
    """Accepts connections and reads messages and requests from them."""

    def __init__(
        self,
        loop: Loop,
        listener: Listener,
        fleet: str,
        handler: RequestHandler,
        on_error: Callable[[ClusterError], None],
    ) -> None:
        """Create the server; `on_error` is called with the error of each rejected connection."""
        self.counts: Counter[str] = Counter()  # number of connections by outcome
        self.unidentified = 0
        self.members: dict[Incarnation, Stream] = {}  # the newest connection of each member
        self.clients: set[ClientConnection] = set()
        self._loop = loop
        self._listener = listener
        self._fleet = fleet
        self._handler = handler
        self._on_error = on_error
        self._accept_task: Task | None = None
        self._tasks: set[Task] = set()

    def start(self) -> None:
        """Start accepting connections."""
        self._accept_task = self._loop.spawn(self._accept, name="keeper: accept")

    def close(self) -> None:
        """Stop accepting and close all connections."""
        self._listener.close()
        for task in [self._accept_task, *self._tasks]:
            if task is not None:
                task.cancel()

    def _accept(self) -> None:
        while True:
            try:
                stream = self._listener.accept()
            except StreamReset:
                return
            if self.unidentified >= MAX_UNIDENTIFIED:
                self.counts["too many"] += 1
                stream.abort()
                continue
            self.unidentified += 1
            self._tasks.add(self._loop.spawn(self._serve, stream, name="keeper: connection"))

    def _serve(self, stream: Stream) -> None:
        reader = FrameReader(stream)
        try:
            try:
                hello = self._exchange_hellos(stream, reader)
            finally:
                self.unidentified -= 1
            if hello is not None:
                self.counts["taken"] += 1
                serve = self._serve_member if hello.life else self._serve_client
                serve(stream, reader, hello)
        except InvalidFrameError as exc:
            self.counts["dropped"] += 1
            self._on_error(exc)
        except TimeoutError:
            self.counts["silent"] += 1
        except StreamReset:
            self.counts["reset"] += 1
        finally:
            stream.abort()
            self._tasks.discard(self._loop.current)

    def _exchange_hellos(self, stream: Stream, reader: FrameReader) -> pb.Hello | None:
        """Read the peer's hello and send ours; return the peer's, or None if the connection is rejected."""
        with self._loop.deadline(HELLO_TIMEOUT_MS):
            hello = reader.hello()
            if hello is None:
                self.counts["silent"] += 1
                return None
            ours = self._handler.hello()
            error = hello_error(hello, self._fleet)
            if error is not None:
                self.counts["refused"] += 1
                self._on_error(error)
                ours.refused = str(error)
                stream.write(encode_frame(ours))
                stream.close()
                return None
            is_full = self._is_full(hello)
            if is_full or not 0 < len(hello.name) <= MAX_NAME_LENGTH:
                self.counts["too many" if is_full else "dropped"] += 1
                return None
            stream.write(encode_frame(ours))
            return hello

    def _is_full(self, hello: pb.Hello) -> bool:
        if not hello.life:
            return len(self.clients) >= MAX_CLIENTS
        is_known = Incarnation(hello.name, hello.life) in self.members
        return len(self.members) >= MAX_MEMBERS and not is_known

    # Members.

    def _serve_member(self, stream: Stream, reader: FrameReader, hello: pb.Hello) -> None:
        sender = Incarnation(hello.name, hello.life)
        previous = self.members.get(sender)
        self.members[sender] = stream
        if previous is not None:
            previous.abort()
        self._handler.member_connected(sender)
        heartbeat = self._loop.spawn(self._send_heartbeats, stream, name="keeper: pulse")
        try:
            while (frame := reader.frame()) is not None:
                self._handler.message_received(sender, _raft_message(frame, hello.name))
        finally:
            heartbeat.cancel()
            if self.members.get(sender) is stream:
                del self.members[sender]

    def _send_heartbeats(self, stream: Stream) -> None:
        frame = encode_frame(pb.Frame(pulse=True))
        try:
            while True:
                self._loop.sleep(HEARTBEAT_MS)
                stream.write(frame, HEARTBEAT_MS)
        except (StreamReset, TimeoutError):
            stream.abort()

    # Clients.

    def _serve_client(self, stream: Stream, reader: FrameReader, hello: pb.Hello) -> None:
        client = ClientConnection(self._loop, hello.name)
        self.clients.add(client)
        writer = self._loop.spawn(self._write_answers, stream, client, name="keeper: answers")
        idle = self._loop.spawn(self._close_when_idle, stream, client, name="keeper: idle")
        try:
            while not client.is_closed and (frame := reader.frame()) is not None:
                if frame.WhichOneof("what") != "ask":
                    raise InvalidFrameError(
                        f"{hello.name} sent a frame that is not a request", peer=hello.name
                    )
                client.pending_requests += 1
                client.last_request_ms = self._loop.now()
                if client.pending_requests > MAX_PENDING_REQUESTS:
                    self._reject_overload(client, frame.ask)
                else:
                    self._handler.request_received(client, frame.ask)
        finally:
            client.is_closed = True
            writer.cancel()
            idle.cancel()
            self.clients.discard(client)

    def _reject_overload(self, client: ClientConnection, request: pb.Ask) -> None:
        self.counts["asked too much"] += 1
        result = council_pb2.Result(refusal=council_pb2.Result.TOO_MANY, again_ms=OVERLOAD_RETRY_AFTER_MS)
        client.answer(pb.Told(token=request.token, result=result.SerializeToString()))

    def _close_when_idle(self, stream: Stream, client: ClientConnection) -> None:
        """Disconnect an idle client: its machine may be lost, and other clients need the connection slot."""
        while client.pending_requests or self._loop.now() - client.last_request_ms < IDLE_TIMEOUT_MS:
            self._loop.sleep(IDLE_TIMEOUT_MS)
        self.counts["idle"] += 1
        stream.abort()

    def _write_answers(self, stream: Stream, client: ClientConnection) -> None:
        try:
            client.outbox.run(stream)
        except (StreamReset, TimeoutError):
            client.is_closed = True
            stream.abort()


def _raft_message(frame: pb.Frame, sender: str) -> council_pb2.Message:
    if frame.WhichOneof("what") != "council":
        raise InvalidFrameError(f"{sender} sent a frame that is not a Raft message", peer=sender)
    try:
        return council_pb2.Message.FromString(frame.council)
    except DecodeError:
        raise InvalidFrameError(f"{sender} sent a malformed Raft message", peer=sender) from None
