"""Where a member is reached: by other members, whose messages it takes, and by those who ask.

Whoever connects is a stranger until its hello was read: so many at once, for so long, with so few bytes.
"""

from collections import Counter
from collections.abc import Callable
from typing import Protocol

from google.protobuf.message import DecodeError

from fennelwind.cluster import keeper_pb2 as pb
from fennelwind.cluster.errors import ClusterError, InvalidFrameError
from fennelwind.cluster.framing import FrameReader, Outbox, encode_frame
from fennelwind.cluster.identity import NAME_MOST, hello_error
from fennelwind.cluster.peer_connections import PULSE_MS
from fennelwind.loop import Listener, Loop, Stream, StreamReset, Task
from fennelwind.raft import council_pb2
from fennelwind.raft.messages import Incarnation

HELLO_MS = 2000.0  # ms in which a stranger has to say who it is
STRANGERS_MOST = 128  # connections without a hello; one more is broken at once
ASKERS_MOST = 1024  # connections that ask: five for each of two hundred controllers
MEMBERS_MOST = 16  # connections of members: seven, and their lives that are not known to be over
IDLE_MS = 120_000.0  # ms without an ask, twice the longest wait of one; who asks again connects anew
ASKED_MOST = 128  # asks of one connection that wait; twice what one client may have under way


class Taker(Protocol):
    """What becomes of what comes in."""

    def hello(self) -> pb.Hello:
        """Return what this member says first."""

    def greeted(self, sender: Incarnation) -> None:
        """Take note that a member has opened its way to this one."""

    def received(self, sender: Incarnation, message: council_pb2.Message) -> None:
        """Take a message of a member."""

    def asked(self, caller: "ClientConnection", ask: pb.Ask) -> None:
        """Take an ask, to be answered by `ClientConnection.tell` once."""


class ClientConnection:
    """One that asks, on one connection."""

    def __init__(self, loop: Loop, name: str) -> None:
        self.name, self.waiting, self.gone = name, 0, False
        self.heard_ms = loop.now()
        self.outbox = Outbox(loop)

    def tell(self, told: pb.Told) -> None:
        """Answer an ask; one that doesn't read its answers is let go."""
        self.waiting -= 1
        if not self.gone and not self.outbox.put(encode_frame(pb.Frame(told=told))):
            self.gone = True


class ClusterServer:
    """Accepts, and reads what comes."""

    def __init__(
        self, loop: Loop, listener: Listener, fleet: str, taker: Taker, said: Callable[[ClusterError], None]
    ) -> None:
        self.loop, self.listener, self.fleet, self.taker, self.said = loop, listener, fleet, taker, said
        self.counts: Counter[str] = Counter()  # connections by what became of them
        self.strangers = 0
        self.members: dict[Incarnation, Stream] = {}  # the newest connection of each
        self.callers: set[ClientConnection] = set()
        self._task: Task | None = None
        self._tasks: set[Task] = set()

    def start(self) -> None:
        """Accept from now on."""
        self._task = self.loop.spawn(self._accept, name="keeper: accept")

    def close(self) -> None:
        """Take nothing more and let all go."""
        self.listener.close()
        for task in [self._task, *self._tasks]:
            if task is not None:
                task.cancel()

    def _accept(self) -> None:
        while True:
            try:
                stream = self.listener.accept()
            except StreamReset:
                return
            if self.strangers >= STRANGERS_MOST:
                self.counts["too many"] += 1
                stream.abort()
                continue
            self.strangers += 1
            self._tasks.add(self.loop.spawn(self._serve, stream, name="keeper: connection"))

    def _serve(self, stream: Stream) -> None:
        reader = FrameReader(stream)
        try:
            try:
                hello = self._greet(stream, reader)
            finally:
                self.strangers -= 1
            if hello is not None:
                self.counts["taken"] += 1
                (self._member if hello.life else self._asker)(stream, reader, hello)
        except InvalidFrameError as exc:
            self.counts["dropped"] += 1
            self.said(exc)
        except TimeoutError:
            self.counts["silent"] += 1
        except StreamReset:
            self.counts["reset"] += 1
        finally:
            stream.abort()
            self._tasks.discard(self.loop.current)

    def _greet(self, stream: Stream, reader: FrameReader) -> pb.Hello | None:
        """Read the other's hello and say ours; None: it is not talked to."""
        with self.loop.deadline(HELLO_MS):
            hello = reader.hello()
            if hello is None:
                self.counts["silent"] += 1
                return None
            ours = self.taker.hello()
            wrong = hello_error(hello, self.fleet)
            if wrong is None:
                full = (
                    len(self.members) >= MEMBERS_MOST
                    and Incarnation(hello.name, hello.life) not in self.members
                    if hello.life
                    else len(self.callers) >= ASKERS_MOST
                )
                if full or not 0 < len(hello.name) <= NAME_MOST:
                    self.counts["too many" if full else "dropped"] += 1
                    return None
                stream.write(encode_frame(ours))
                return hello
            self.counts["refused"] += 1
            self.said(wrong)
            ours.refused = str(wrong)
            stream.write(encode_frame(ours))
            stream.close()
            return None

    def _member(self, stream: Stream, reader: FrameReader, hello: pb.Hello) -> None:
        sender = Incarnation(hello.name, hello.life)
        before = self.members.get(sender)
        self.members[sender] = stream
        if before is not None:
            before.abort()
        self.taker.greeted(sender)
        pulse = self.loop.spawn(self._pulse, stream, name="keeper: pulse")
        try:
            while (frame := reader.frame()) is not None:
                if frame.WhichOneof("what") != "council":
                    raise InvalidFrameError(f"{hello.name} asks where members talk", peer=hello.name)
                try:
                    message = council_pb2.Message.FromString(frame.council)
                except DecodeError:
                    raise InvalidFrameError(
                        f"{hello.name} sent what is no message", peer=hello.name
                    ) from None
                self.taker.received(sender, message)
        finally:
            pulse.cancel()
            if self.members.get(sender) is stream:
                del self.members[sender]

    def _pulse(self, stream: Stream) -> None:
        word = encode_frame(pb.Frame(pulse=True))
        try:
            while True:
                self.loop.sleep(PULSE_MS)
                stream.write(word, PULSE_MS)
        except (StreamReset, TimeoutError):
            stream.abort()

    def _asker(self, stream: Stream, reader: FrameReader, hello: pb.Hello) -> None:
        caller = ClientConnection(self.loop, hello.name)
        self.callers.add(caller)
        writer = self.loop.spawn(self._answer, stream, caller, name="keeper: answers")
        idle = self.loop.spawn(self._look, stream, caller, name="keeper: idle")
        try:
            while not caller.gone and (frame := reader.frame()) is not None:
                if frame.WhichOneof("what") != "ask":
                    raise InvalidFrameError(f"{hello.name} says what it may not", peer=hello.name)
                caller.waiting += 1
                caller.heard_ms = self.loop.now()
                if caller.waiting > ASKED_MOST:
                    self.counts["asked too much"] += 1
                    result = council_pb2.Result(refusal=council_pb2.Result.TOO_MANY, again_ms=100)
                    caller.tell(pb.Told(token=frame.ask.token, result=result.SerializeToString()))
                    continue
                self.taker.asked(caller, frame.ask)
        finally:
            caller.gone = True
            writer.cancel()
            idle.cancel()
            self.callers.discard(caller)

    def _look(self, stream: Stream, caller: ClientConnection) -> None:
        """Let go who asks nothing any more: its machine may be lost, and its place is another's."""
        while caller.waiting or self.loop.now() - caller.heard_ms < IDLE_MS:
            self.loop.sleep(IDLE_MS)
        self.counts["idle"] += 1
        stream.abort()

    def _answer(self, stream: Stream, caller: ClientConnection) -> None:
        try:
            caller.outbox.run(stream)
        except (StreamReset, TimeoutError):
            caller.gone = True
            stream.abort()
