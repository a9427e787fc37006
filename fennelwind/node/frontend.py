"""The frontend: accepts clients over MessagePack-RPC, limits their connections, and closes them at shutdown.

Started by `lifecycle`. A sweep runs four times a second and closes connections that send nothing, leave a
message incomplete, or are idle for too long. It closes no connection with an open request. The number of
connections that linger after the close of our sending side is limited, and the oldest are closed in favour of
new ones. An exception in one connection ends only that connection.
"""

from collections import Counter
from collections.abc import Callable, Hashable
from typing import cast

from fennelwind.dispatch.driver import Driver
from fennelwind.limits.connection_slots import ConnectionSlots
from fennelwind.limits.memory_budget import MemoryBudget, MemoryPlan
from fennelwind.loop.scheduler import Loop, TurnQuota
from fennelwind.loop.streams import Listener, PushStream, StreamReset
from fennelwind.node.client_connection import ClientConnection
from fennelwind.node.config import NodeConfig
from fennelwind.node.query_ids import QueryIds

SWEEP_INTERVAL_MS = 250.0  # ms between two checks of all connections
LONG_STATEMENTS_PER_TURN = 4  # statements that take up to 10 ms each
MAX_ACCEPTS_PER_TURN = 64  # connections accepted before the loop runs other tasks
# ms from closing our sending side to closing the socket, so that a silent client's socket closes within 3 s
MAX_LINGER_MS = 500.0
CLOSE_CHECK_MS = 25.0  # ms between two checks of the open connections while all are being closed


class Frontend:
    """Accepts up to `max_connections` clients, besides up to `max_lingering` that are being closed."""

    def __init__(
        self,
        loop: Loop,
        listener: Listener,
        driver: Driver,
        config: NodeConfig,
        *,
        max_connections: int,
        max_lingering: int,
        memory: MemoryPlan,
        log_message: Callable[[str], None],
    ) -> None:
        self.loop, self.listener, self.driver, self.config = loop, listener, driver, config
        self.slots: ConnectionSlots[ClientConnection] = ConnectionSlots(max_connections)
        self.lingering: dict[ClientConnection, float] = {}  # when each began to linger; the oldest first
        self.max_lingering = max_lingering
        self.memory = MemoryBudget(memory.accounts_bytes, max_connections)
        self.max_partial_memory, self.max_pending_events = memory.partial_bytes, memory.max_pending_events
        self.read_bytes = memory.read_bytes
        self.long_statements = TurnQuota(loop, LONG_STATEMENTS_PER_TURN)
        self.query_ids = QueryIds(config.settings.classes)
        self.is_serving = True  # the answer to health requests
        self.is_finishing = False  # if true, no further connections are accepted
        self.partial_bytes = self.partial_memory = 0
        self.counts: Counter[str] = Counter()
        self.log_message = log_message

    def start(self) -> None:
        """Start accepting clients."""
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
        """Close the most dispensable connection; return False if none may be closed."""
        chosen = self.slots.choose_to_close(self.loop.now(), self._has_unreceived_bytes)
        if chosen is None:
            return False
        connection, reason = chosen
        self.counts[f"closed_for_room_{reason}"] += 1
        cast(ClientConnection, connection).close()
        return True

    def _has_unreceived_bytes(self, connection: Hashable) -> bool:
        """Return whether this connection has bytes, unread or not handled yet, that may begin a message."""
        client = cast(ClientConnection, connection)
        if connection in self.slots.partial_since_ms:
            return False
        return client.partial_bytes > 0 or client.stream.waiting()

    # Closing overdue connections.

    def _sweep(self) -> None:
        while True:
            self.loop.sleep(SWEEP_INTERVAL_MS)
            self.close_overdue()

    def close_overdue(self) -> None:
        """Close connections that are overdue, and the sockets of those that linger for too long."""
        now = self.loop.now()
        for connection, reason in self.slots.overdue(now):
            if not self._has_unreceived_bytes(connection):
                self.counts[f"closed_{reason}"] += 1
                cast(ClientConnection, connection).close()
        for lingering, since_ms in list(self.lingering.items()):
            if now - since_ms <= MAX_LINGER_MS:
                break  # the ones after it began to linger later
            self.close_socket(lingering)

    def limit_partial_bytes(self) -> None:
        """Close the connections with the most incomplete bytes, first those that expect no answer.

        Without this limit, clients that each send half a message would exhaust the controller's memory.
        """
        while self.partial_memory > self.max_partial_memory:
            with_partial = cast("dict[ClientConnection, float]", self.slots.partial_since_ms)
            largest = max(with_partial, key=lambda each: (not each.has_open_or_unread(), each.partial_bytes))
            self.counts["closed_largest_half_sent"] += 1
            largest.close()

    def linger(self, connection: ClientConnection) -> None:
        """Let a connection whose sending side is closed wait until its client closes too."""
        self.lingering[connection] = self.loop.now()
        while len(self.lingering) > self.max_lingering:
            self.close_socket(next(iter(self.lingering)))

    def close_socket(self, connection: ClientConnection) -> None:
        """Close a connection's socket."""
        self.lingering.pop(connection, None)
        connection.stream.close()

    # Shutdown.

    def finish_accepting(self, until_ms: float) -> None:
        """Accept only the connections already in the listener's backlog, until `until_ms` at the latest."""
        self.is_finishing = True
        waiting = list(self.listener.finish(until_ms))
        for accepted, stream in enumerate(waiting, start=1):
            self._admit(cast(PushStream, stream))
            if accepted % MAX_ACCEPTS_PER_TURN == 0:
                self.loop.sleep(0.0)

    def close_all(self, last_answers_ms: float, end_ms: float) -> None:
        """Close each connection once nothing is pending in either direction, and all others at `end_ms`.

        Until `last_answers_ms` clients may read answers and complete messages; until `end_ms` connections may
        linger.
        """
        self.max_lingering += len(self.slots)  # no new connection needs the descriptors
        while (len(self.slots) or self.lingering) and self.loop.now() < end_ms:
            self._close_finished(is_late=self.loop.now() >= last_answers_ms)
            self.loop.sleep(CLOSE_CHECK_MS)
        for connection in self._connections():  # answers are unread; the kernel still delivers what it has
            connection.shut_down()
        for lingering in list(self.lingering):
            self.close_socket(lingering)

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

    # Faults of clients.

    def note_malformed_message(self, reason: str) -> None:
        """Count and log a connection that can't be parsed any further."""
        self.counts["unreadable"] += 1
        self.log_message(f"malformed message from a client: {reason}")

    def note_invalid_request(self, reason: str) -> None:
        """Count and log an invalid request."""
        self.counts["invalid_requests"] += 1
        self.log_message(f"invalid request: {reason}")
