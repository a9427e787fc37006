"""The frontend: accepts clients over MessagePack-RPC, bounds their connections, and closes them in the end.

Started by `lifecycle`. One sweep four times a second closes connections that send nothing, leave a message
incomplete, or are idle for long; none with an open request is closed by it. Connections that linger after our
close are few, and the oldest make room for new ones. Exceptions of one connection end that connection only.
"""

from collections import Counter
from collections.abc import Callable, Hashable
from typing import cast

from fennelwind.dispatch.driver import Driver
from fennelwind.limits.connection_slots import ConnectionSlots
from fennelwind.loop.scheduler import Loop
from fennelwind.loop.streams import Listener, PushStream, StreamReset
from fennelwind.node.client_connection import ClientConnection
from fennelwind.node.config import NodeConfig

SWEEP_INTERVAL_MS = 250.0  # ms between two checks of all connections
MAX_PARTIAL_BYTES = 4_000_000  # bytes of incomplete messages, over all connections
MAX_ACCEPTS_PER_TURN = 64  # connections accepted in one turn; then what is open gets its turn
MAX_LINGER_MS = 500.0  # ms between our end and the close outright; a silent client's is then still within 3 s
CLOSE_CHECK_MS = 25.0  # ms between two checks of what is open while all connections are being closed


class Frontend:
    """Accepts clients: `max_connections` at a time, and `max_lingering` more that are being closed."""

    def __init__(
        self,
        loop: Loop,
        listener: Listener,
        driver: Driver,
        config: NodeConfig,
        *,
        max_connections: int,
        max_lingering: int,
        log_message: Callable[[str], None],
    ) -> None:
        self.loop, self.listener, self.driver, self.config = loop, listener, driver, config
        self.slots: ConnectionSlots[ClientConnection] = ConnectionSlots(max_connections)
        self.lingering: dict[ClientConnection, float] = {}  # closed by us, since when; the oldest first
        self.max_lingering = max_lingering
        self.open_query_ids: set[str] = set()
        self.is_serving = True  # what health requests are answered
        self.is_finishing = False  # no further connections are accepted
        self.partial_bytes = 0
        self.counts: Counter[str] = Counter()
        self.log_message = log_message

    def start(self) -> None:
        """Start to accept clients."""
        self.loop.spawn(self._accept, name="clients: accept")
        self.loop.spawn(self._sweep, name="clients: sweep")

    # Accepting.

    def _accept(self) -> None:
        accepted = 0
        while True:
            try:
                stream = self.listener.accept()
            except StreamReset:
                if self.is_finishing:
                    return
                raise
            self._admit(cast(PushStream, stream))
            accepted += 1
            if accepted >= MAX_ACCEPTS_PER_TURN:
                accepted = 0
                self.loop.sleep(0.0)

    def _admit(self, stream: PushStream) -> None:
        self.counts["accepted"] += 1
        if len(self.slots) >= self.slots.limit and not self._make_room():
            self.counts["rejected_connections"] += 1
            stream.close()
            return
        connection = ClientConnection(self, stream)
        self.slots.add(connection, self.loop.now())
        self.loop.spawn(connection.run, name="client")

    def _make_room(self) -> bool:
        """Close the connection that is needed least; return False if none may be closed."""
        chosen = self.slots.choose_to_close(self.loop.now(), self._has_unreceived_bytes)
        if chosen is None:
            return False
        connection, reason = chosen
        self.counts[f"closed_for_room_{reason}"] += 1
        cast(ClientConnection, connection).close()
        return True

    def _has_unreceived_bytes(self, connection: Hashable) -> bool:
        """Tell whether bytes of this connection wait in the kernel that may begin a message."""
        has_bytes = cast(ClientConnection, connection).stream.waiting
        return connection not in self.slots.partial_since_ms and has_bytes()

    # Closing connections that hold a place for too long.

    def _sweep(self) -> None:
        while True:
            self.loop.sleep(SWEEP_INTERVAL_MS)
            self.close_overdue()

    def close_overdue(self) -> None:
        """Close connections that are overdue, and outright those that linger for too long."""
        now = self.loop.now()
        for connection, reason in self.slots.overdue(now):
            if not self._has_unreceived_bytes(connection):
                self.counts[f"closed_{reason}"] += 1
                cast(ClientConnection, connection).close()
        for lingering, since_ms in list(self.lingering.items()):
            if now - since_ms <= MAX_LINGER_MS:
                break  # those behind came later
            self.close_outright(lingering)

    def limit_partial_bytes(self) -> None:
        """Close the connections with the most incomplete bytes, first those that expect no answer.

        Without this bound, clients that send half a message each would take the controller's memory.
        """
        while self.partial_bytes > MAX_PARTIAL_BYTES:
            half_sent = cast("dict[ClientConnection, float]", self.slots.partial_since_ms)
            largest = max(half_sent, key=lambda each: (not each.has_open_or_unread(), each.partial_bytes))
            self.counts["closed_largest_half_sent"] += 1
            largest.close()

    def linger(self, connection: ClientConnection) -> None:
        """Let a connection whose sending side is closed wait for its client's end."""
        self.lingering[connection] = self.loop.now()
        while len(self.lingering) > self.max_lingering:
            self.close_outright(next(iter(self.lingering)))

    def close_outright(self, connection: ClientConnection) -> None:
        """Close a connection's socket."""
        self.lingering.pop(connection, None)
        connection.stream.close()

    # The end of service.

    def finish_accepting(self, until_ms: float) -> None:
        """Accept only what is in the listener's backlog already, trying until then at most."""
        self.is_finishing = True
        for stream in self.listener.finish(until_ms):
            self._admit(cast(PushStream, stream))

    def close_all(self, last_answers_ms: float, end_ms: float) -> None:
        """Close all connections: each once it has got and sent everything, the others when time is up.

        Until `last_answers_ms` answers may be taken and messages completed; until `end_ms` connections may
        linger.
        """
        self.max_lingering += len(self.slots)  # nobody needs the descriptors any more
        while (len(self.slots) or self.lingering) and self.loop.now() < end_ms:
            self._close_finished(is_late=self.loop.now() >= last_answers_ms)
            self.loop.sleep(CLOSE_CHECK_MS)
        for connection in self._connections():  # not all answers taken yet; the kernel keeps what it has
            connection.shut_down()
        for lingering in list(self.lingering):
            self.close_outright(lingering)

    def _close_finished(self, is_late: bool) -> None:
        for connection in self._connections():
            if is_late and not connection.unread_answers:
                connection.shut_down()
            elif not (
                connection.has_open_or_unread() or connection.partial_bytes or connection.stream.waiting()
            ):
                connection.close()

    def _connections(self) -> list[ClientConnection]:
        return cast("list[ClientConnection]", list(self.slots))

    # What clients did wrong.

    def note_unreadable(self, reason: str) -> None:
        """Count and log a connection that can't be parsed any further."""
        self.counts["unreadable"] += 1
        self.log_message(f"a client that can't be read: {reason}")

    def note_invalid_request(self, reason: str) -> None:
        """Count and log a request that is not valid."""
        self.counts["invalid_requests"] += 1
        self.log_message(f"a request that can't be used: {reason}")
