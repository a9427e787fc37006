"""Clients over MessagePack-RPC: bytes into a `Submission`, a final answer into bytes, nothing else.

A connection costs a task and a few hundred bytes. One sweep four times a second closes those that say
nothing, leave a message half sent, or are idle for long; none with an open request is closed by it.

Every close of ours is a lingering one: first only the sending side, then what the client still sends is
read and dropped until its end, for some time, since a close over unread bytes becomes a reset, which may
destroy answers that the client has yet to take. Those that linger are few; the oldest make room.
"""

from collections import Counter, deque

from fennelwind.dispatch.driver import Driver
from fennelwind.dispatch.ledger import Entry
from fennelwind.dispatch.types import AnswerKind, Submission
from fennelwind.limits.connection_slots import ConnectionSlots
from fennelwind.loop.scheduler import DeadlineExceeded, Loop
from fennelwind.loop.streams import Listener, PushStream, StreamReset
from fennelwind.node import msgrpc
from fennelwind.node.config import NodeConfig
from fennelwind.node.request_validation import Unusable, read_request

SWEEP_MS = 250.0  # ms between two looks at all connections
OPEN_MOST = 32  # open requests on a connection, as the protocol states
UNREAD_MOST = 262_144  # bytes of answers that a client leaves unread; beyond them its requests are refused
UNREAD_ANSWERS_MOST = 1024  # answers left unread; beyond them it is closed. No usual client has 32 open
WRITE_MS = 3000.0  # ms that a client may leave its answers unread, where none of them is due later
UNUSABLE_MOST = 3  # unusable requests on a connection; then it is closed
READ_BYTES = 65536  # bytes of one read
PARTIAL_MOST = 4_000_000  # bytes of messages half sent, over all connections
ACCEPTED_AT_ONCE = 64  # connections taken in one turn; then what is open gets its turn
LINGER_MS = 500.0  # ms between our end and the close outright; a silent client's is then still within 3 s
LINGER_BYTES = 262_144  # bytes that are read and dropped meanwhile; who sends more will not stop
BURST_MS = 20.0  # ms without a byte behind a full read; sooner than that the rest of a burst is on its way
END_LOOK_MS = 25.0  # ms between two looks at what is open while all connections are being ended


class Connection:
    """One client's connection."""

    __slots__ = (
        "front",
        "stream",
        "reader",
        "last",
        "open",
        "unread",
        "unread_bytes",
        "writing",
        "unusable",
        "partial",
        "burst_until",
        "ending",
        "closed",
    )

    def __init__(self, front: "Front", stream: PushStream) -> None:
        self.front, self.stream, self.reader = front, stream, msgrpc.Reader()
        self.last = 0  # highest message id
        self.open: dict[int, Entry] = {}
        self.unread: deque[tuple[bytes, Entry | None]] = deque()  # answers that the peer has yet to take
        self.unread_bytes = 0
        self.writing = False
        self.unusable = 0
        self.partial = 0  # bytes of a message half sent
        self.burst_until = 0.0  # until then more may come of what the client has sent already
        self.ending = False  # nothing more is taken in; it closes once its answers are taken
        self.closed = False

    def run(self) -> None:
        """Read until the client's end; once we are ending it, what comes is dropped."""
        dropped = 0
        try:
            while data := self.stream.read(READ_BYTES):
                full = len(data) == READ_BYTES  # more waits behind it
                self._note_burst(full)
                if self.ending:
                    dropped += len(data)
                    if dropped > LINGER_BYTES:
                        break
                elif full and self.stream.ended():
                    break  # it has sent much and gone: nothing of it may begin now
                else:
                    self._take(data)
                if full:  # others get their turn before the rest
                    self.front.loop.sleep(0.0)
        except StreamReset:
            pass
        finally:
            self._leave()
            self.front.let_go(self)

    def _note_burst(self, full: bool) -> None:
        now = self.front.loop.now()
        if full or now < self.burst_until:
            self.burst_until = now + BURST_MS

    def _take(self, data: bytes) -> None:
        try:
            for message in self.reader.feed(data):
                self._message(message)
                if self.ending:
                    return
            if self.reader.spoilt is not None:
                raise self.reader.spoilt
            self._count_partial()
        except msgrpc.Malformed as exc:
            self.front.unreadable(str(exc))
            self.close()

    def _count_partial(self) -> None:
        under_way = self.reader.under_way()
        self.front.places.bytes_received(self, self.front.loop.now(), under_way > 0)
        self.front.partial += under_way - self.partial
        self.partial = under_way
        if self.front.partial > PARTIAL_MOST:
            self.front.shed_partial()

    def _message(self, message: msgrpc.Message) -> None:
        if message.number is None:
            self._notice(message)
            return
        if message.number <= self.last:
            raise msgrpc.Malformed("message ids do not rise")
        self.last = message.number
        self.front.places.message_received(self, self.front.loop.now())
        if message.method == "isWell":
            self.send(msgrpc.result(message.number, [self.front.well, {}]), None)
        elif len(self.open) >= OPEN_MOST or self.unread_bytes > UNREAD_MOST:
            self.refuse(message.number, self.front.driver.max_retry_after_ms)
        else:
            self._request(message)

    def _notice(self, message: msgrpc.Message) -> None:
        if message.method != "forget":
            return
        for number in message.params:
            entry = self.open.pop(number, None) if type(number) is int else None
            if entry is not None:
                self._let_go(entry)
                self.front.driver.cancel(entry, "its client has withdrawn it")

    def _request(self, message: msgrpc.Message) -> None:
        front = self.front
        config, now = front.config, front.loop.now()
        try:
            asked = read_request(
                message.method, message.params, config.classes, config.tenants, config.settings
            )
            if asked.name in front.names:
                raise Unusable("the id is that of an open request")
        except Unusable as exc:
            front.unusable(str(exc))
            self.unusable += 1
            self.send(msgrpc.error(message.number, "Unusable", {"m": str(exc)}), None)
            if self.unusable >= UNUSABLE_MOST and not self.owed():
                self.close()
            return
        submission = Submission(
            class_index=asked.cls,
            statement=asked.statement,
            deadline_ms=min(now, self.stream.unseen_since_ms) + asked.wait_ms,
            tenant=asked.tenant,
            estimated_work_ms=asked.work_ms,
            estimated_memory_mb=asked.memory_mb,
            table_group=asked.tables,
            is_client_retry=asked.repeat,
            engine_id=asked.name,
            engine_class=message.method,
            idempotency_key=asked.idempotency_key,
            begins_from=lambda: self.burst_until,
        )
        front.names.add(asked.name)
        number = message.number

        def answered(entry: Entry) -> None:
            self.open.pop(number, None)
            self._let_go(entry)
            self.answer(number, entry)

        entry = front.driver.submit(submission, answered)
        if entry.answer is None:
            self.open[number] = entry
            front.places.mark_busy(self)

    def _let_go(self, entry: Entry) -> None:
        self.front.names.discard(entry.submission.engine_id)
        self._rest()

    def owed(self) -> bool:
        """Tell whether an answer is owed, or not yet taken."""
        return bool(self.open or self.unread)

    def _rest(self) -> None:
        if not self.owed():
            self.front.places.mark_idle(self, self.front.loop.now())

    def answer(self, number: int, entry: Entry) -> None:
        """Give a query's final answer."""
        answer = entry.answer
        if self.closed or answer.kind == AnswerKind.CANCELLED:
            return
        if answer.kind == AnswerKind.SERVED:
            self.send(msgrpc.result(number, [b"".join(answer.result.pages), {}]), entry)
        elif answer.kind == AnswerKind.REJECTED:
            self.refuse(number, answer.retry_after_ms, entry)
        else:
            self.send(msgrpc.error(number, "Failed", {"m": answer.reason[:200]}), entry)

    def refuse(self, number: int, wait_ms: float, entry: Entry | None = None) -> None:
        """Answer that a further try is harmless, and when, where clients are to be told that."""
        wait_ms = min(wait_ms, self.front.driver.max_retry_after_ms)
        fields = {"w": str(int(wait_ms))} if wait_ms >= 1.0 else {}
        self.send(msgrpc.error(number, "Shed", fields), entry)

    def send(self, raw: bytes, entry: Entry | None) -> None:
        """Hand an answer on; what the peer does not take at once waits, for some time."""
        if self.closed:
            return
        if not self.unread:
            try:
                taken = self.stream.push(raw)
            except StreamReset:
                self.shut()
                return
            if taken == len(raw):
                if entry is not None:
                    self.front.driver.delivered(entry)
                return
            raw = raw[taken:]
        if len(self.unread) >= UNREAD_ANSWERS_MOST:
            self.front.counts["unread"] += 1
            self.shut()
            return
        self.unread.append((raw, entry))
        self.front.places.mark_busy(self)
        self.unread_bytes += len(raw)
        if not self.writing:
            self.writing = True
            self.front.loop.spawn(self._write, name="client: answers")

    def _write(self) -> None:
        try:
            while self.unread and not self.closed:
                raw, entry = self.unread[0]
                self.stream.write(raw, self._patience_ms())
                if self.closed:
                    return
                self.unread.popleft()
                self.unread_bytes -= len(raw)
                if entry is not None:
                    self.front.driver.delivered(entry)
            self._rest()
            if self.ending:
                self.shut()
        except (StreamReset, DeadlineExceeded):
            self.front.counts["unread"] += not self.closed
            self.shut()
        finally:
            self.writing = False

    def _patience_ms(self) -> float:
        """Return how long the client may take nothing: until it expects none of its answers any more."""
        due = [entry.submission.deadline_ms for _, entry in self.unread if entry is not None]
        due += [entry.submission.deadline_ms for entry in self.open.values()]
        return max(WRITE_MS, max(due, default=0.0) - self.front.loop.now())

    def close(self) -> None:
        """Answer what is open, and close in order once the answers are taken; nothing more is taken in."""
        if self.ending:
            return
        self.ending = True
        self._drop_partial()
        for entry in list(self.open.values()):
            self.front.driver.abandon(entry, "its connection is being closed")
        if not self.unread:
            self.shut()

    def _drop_partial(self) -> None:
        self.front.partial -= self.partial
        self.partial, self.reader = 0, msgrpc.Reader()
        self.front.places.bytes_received(self, self.front.loop.now(), False)

    def shut(self) -> None:
        """Close in order, though some of its answers may not be taken yet."""
        if not self.closed:
            self._leave()
            self.stream.half_close()
            self.front.linger(self)

    def _leave(self) -> None:
        if self.closed:
            return
        self.ending = self.closed = True
        self._drop_partial()
        self.front.places.remove(self)
        for entry in list(self.open.values()):
            self.front.names.discard(entry.submission.engine_id)
            self.front.driver.cancel(entry, "its client has closed the connection")
        self.open.clear()
        self.unread.clear()


class Front:
    """Takes clients in; `most` connections at a time, and `lingering_most` more that are being closed."""

    def __init__(
        self,
        loop: Loop,
        listener: Listener,
        driver: Driver,
        config: NodeConfig,
        most: int,
        lingering_most: int,
    ) -> None:
        self.loop, self.listener, self.driver, self.config = loop, listener, driver, config
        self.places: ConnectionSlots[Connection] = ConnectionSlots(most)
        self.lingering: dict[Connection, float] = {}  # closed by us, since when
        self.lingering_most = lingering_most
        self.names: set[str] = set()  # ids of open requests
        self.well = True
        self.ending = False
        self.partial = 0
        self.counts: Counter[str] = Counter()
        self.said = lambda _: None

    def start(self) -> None:
        """Start to take clients in."""
        self.loop.spawn(self._accept, name="clients: accept")
        self.loop.spawn(self._sweep, name="clients: sweep")

    def _accept(self) -> None:
        taken = 0
        while True:
            try:
                stream = self.listener.accept()
            except StreamReset:
                if self.ending:
                    return
                raise
            self._admit(stream)
            taken += 1
            if taken >= ACCEPTED_AT_ONCE:
                taken = 0
                self.loop.sleep(0.0)

    def _admit(self, stream: PushStream) -> None:
        self.counts["accepted"] += 1
        if len(self.places) >= self.places.limit and not self._make_room():
            self.counts["turned_away"] += 1
            stream.close()
            return
        connection = Connection(self, stream)
        self.places.add(connection, self.loop.now())
        self.loop.spawn(connection.run, name="client")

    def _make_room(self) -> bool:
        """Close who needs his place least; False if none may be closed."""
        chosen = self.places.choose_to_close(self.loop.now(), self._about_to_be_heard)
        if chosen is None:
            return False
        self.counts[f"closed_for_room_{chosen[1]}"] += 1
        chosen[0].close()
        return True

    def _about_to_be_heard(self, connection: Connection) -> bool:
        """Tell whether the beginning of a message has come that is not read yet."""
        return connection not in self.places.partial_since_ms and connection.stream.waiting()

    def _sweep(self) -> None:
        while True:
            self.loop.sleep(SWEEP_MS)
            self.close_overdue()

    def close_overdue(self) -> None:
        """Close who has had his place for too long, and outright who has lingered for too long."""
        now = self.loop.now()
        for connection, why in self.places.overdue(now):
            if not self._about_to_be_heard(connection):
                self.counts[f"closed_{why}"] += 1
                connection.close()
        for connection, since in list(self.lingering.items()):
            if now - since <= LINGER_MS:
                break  # those behind came later
            self.let_go(connection)

    def shed_partial(self) -> None:
        """Close who has sent most of what is half sent, first of those who are owed nothing."""
        while self.partial > PARTIAL_MOST:
            most = max(self.places.partial_since_ms, key=lambda one: (not one.owed(), one.partial))
            self.counts["half_sent_most"] += 1
            most.close()

    # The close of a connection.

    def linger(self, connection: Connection) -> None:
        """Let a connection whose end was sent wait for its client's end; the oldest make room for it."""
        self.lingering[connection] = self.loop.now()
        while len(self.lingering) > self.lingering_most:
            self.let_go(next(iter(self.lingering)))

    def let_go(self, connection: Connection) -> None:
        """Close a connection outright."""
        self.lingering.pop(connection, None)
        connection.stream.close()

    # The end of service.

    def finish(self, until_ms: float) -> None:
        """Take no more connections but those that have come up already, tried for until then at most."""
        self.ending = True
        for stream in self.listener.finish(until_ms):
            self._admit(stream)

    def end(self, last_answers: float, last: float) -> None:
        """Close all connections in order: each once it has got and sent all, the others when time is up.

        `last_answers`: until then answers may be taken and messages come whole; `last`: until then
        connections may linger.
        """
        self.lingering_most += len(self.places)  # nobody needs the descriptors any more
        while (len(self.places) or self.lingering) and self.loop.now() < last:
            late = self.loop.now() >= last_answers
            for connection in self.places:
                if late and not connection.unread:
                    connection.shut()
                elif not (connection.owed() or connection.partial or connection.stream.waiting()):
                    connection.close()
            self.loop.sleep(END_LOOK_MS)
        for connection in self.places:  # who has not taken all answers yet; the kernel keeps what it has
            connection.shut()
        for connection in list(self.lingering):
            self.let_go(connection)

    def unreadable(self, why: str) -> None:
        """Count a connection that can't be read any further."""
        self.counts["unreadable"] += 1
        self.said(f"a client that can't be read: {why}")

    def unusable(self, why: str) -> None:
        """Count a request that can't be used."""
        self.counts["unusable"] += 1
        self.said(f"a request that can't be used: {why}")
