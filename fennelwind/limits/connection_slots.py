"""Connection slots of a frontend: which connections to close for a new one, and which are inactive too long.

A connection is new until its first complete message has arrived, busy while an answer is due or not yet read,
and otherwise idle; independently of that, part of a message may have arrived. All times are in ms of the
caller's clock. New and idle connections are kept in the order in which they entered that state, so that no
search is needed.

When a slot is needed, connections are closed in this order: those without a complete first message for
`MUTE_TIMEOUT_MS`; then idle ones, longest idle first, as their clients resend a request that is in flight
during the close; last new ones, whose clients lose a first request in flight. Busy connections are never
closed, nor are those that the caller spares.

No I/O: the frontend reports the events of its connections, asks which to close, and closes them.
"""

from collections.abc import Callable, Hashable, Iterator
from enum import StrEnum
from itertools import islice
from typing import Generic, NamedTuple, TypeVar

MUTE_TIMEOUT_MS = 400.0  # ms; typical clients send a first request a few ms after they connect
SILENT_TIMEOUT_MS = 1800.0  # ms without a whole first message, or with part of one; the platform allows 3 s
IDLE_TIMEOUT_MS = 8000.0  # ms without an answer due; typical clients close connections after 4 s
MAX_CANDIDATES = 8  # connections checked when a slot is needed; if all are spared, none is closed

ConnectionT = TypeVar("ConnectionT", bound=Hashable)


class CloseReason(StrEnum):
    """Why a connection is to be closed; used in the names of the frontend's counters."""

    MUTE = "mute"  # closed to free a slot: no complete message has arrived since the client connected
    IDLE = "idle"  # closed to free a slot, or overdue: no answer is due
    NEW = "new"  # closed to free a slot: the client connected only recently
    HALF_SENT = "half_sent"  # overdue: a message has arrived only in part
    SILENT = "silent"  # overdue: no complete message has arrived


class CloseCandidate(NamedTuple, Generic[ConnectionT]):
    """A connection to close."""

    connection: ConnectionT
    reason: CloseReason


class ConnectionSlots(Generic[ConnectionT]):
    """The connections of one frontend, by state."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.busy: set[ConnectionT] = set()
        self.new_since_ms: dict[ConnectionT, float] = {}
        self.idle_since_ms: dict[ConnectionT, float] = {}
        self.partial_since_ms: dict[ConnectionT, float] = {}  # connections with part of a message

    def __len__(self) -> int:
        return len(self.busy) + len(self.new_since_ms) + len(self.idle_since_ms)

    def __iter__(self) -> Iterator[ConnectionT]:
        return iter([*self.busy, *self.new_since_ms, *self.idle_since_ms])

    def add(self, connection: ConnectionT, now: float) -> None:
        """Add a new connection."""
        self.new_since_ms[connection] = now

    def message_received(self, connection: ConnectionT, now: float) -> None:
        """Record that a complete message has arrived."""
        self.new_since_ms.pop(connection, None)
        if connection not in self.busy:
            self.idle_since_ms.pop(connection, None)
            self.idle_since_ms[connection] = now

    def mark_busy(self, connection: ConnectionT) -> None:
        """Record that an answer is due to a connection."""
        self.new_since_ms.pop(connection, None)
        self.idle_since_ms.pop(connection, None)
        self.busy.add(connection)

    def mark_idle(self, connection: ConnectionT, now: float) -> None:
        """Record that a connection has received all answers that were due."""
        if connection in self.busy:
            self.busy.discard(connection)
            self.idle_since_ms[connection] = now

    def bytes_received(self, connection: ConnectionT, now: float, has_partial_message: bool) -> None:
        """Record that bytes have arrived, with or without part of a message at their end."""
        if has_partial_message:
            self.partial_since_ms.setdefault(connection, now)
        else:
            self.partial_since_ms.pop(connection, None)

    def remove(self, connection: ConnectionT) -> None:
        """Remove a connection that has ended."""
        self.busy.discard(connection)
        for since_ms in (self.new_since_ms, self.idle_since_ms, self.partial_since_ms):
            since_ms.pop(connection, None)

    def choose_to_close(
        self, now: float, is_spared: Callable[[ConnectionT], bool] = lambda _: False
    ) -> CloseCandidate[ConnectionT] | None:
        """Return the connection to close to free a slot, or None if there is none to close.

        `is_spared` returns whether a connection is more active than it appears here; it is called for at most
        `MAX_CANDIDATES` connections.
        """
        for candidate in islice(self._by_preference(now), MAX_CANDIDATES):
            if not is_spared(candidate.connection):
                return candidate
        return None

    def _by_preference(self, now: float) -> Iterator[CloseCandidate[ConnectionT]]:
        for connection, since_ms in self.new_since_ms.items():
            if now - since_ms <= MUTE_TIMEOUT_MS:
                break
            yield CloseCandidate(connection, CloseReason.MUTE)
        for connection in self.idle_since_ms:
            if connection not in self.partial_since_ms:
                yield CloseCandidate(connection, CloseReason.IDLE)
        for connection, since_ms in self.new_since_ms.items():
            if now - since_ms <= MUTE_TIMEOUT_MS:
                yield CloseCandidate(connection, CloseReason.NEW)

    def overdue(self, now: float) -> Iterator[CloseCandidate[ConnectionT]]:
        """Yield the connections whose timeout has passed; the caller may close them while it iterates."""
        for since_ms_by_connection, timeout_ms, reason in (
            (self.partial_since_ms, SILENT_TIMEOUT_MS, CloseReason.HALF_SENT),
            (self.new_since_ms, SILENT_TIMEOUT_MS, CloseReason.SILENT),
            (self.idle_since_ms, IDLE_TIMEOUT_MS, CloseReason.IDLE),
        ):
            timed_out = []
            for connection, since_ms in since_ms_by_connection.items():
                if now - since_ms <= timeout_ms:
                    break  # the following connections entered this state later
                timed_out.append(connection)
            for connection in timed_out:
                if connection not in self.busy and connection in since_ms_by_connection:
                    yield CloseCandidate(connection, reason)
