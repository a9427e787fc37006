"""Connection slots of a frontend: whom to close for a new connection, and who has been inactive for too long.

A connection is new until its first complete message has come, busy while an answer is owed or not yet read,
else idle; apart from that, part of a message may have come. All times are in ms of the caller's clock. New
and idle connections are kept in the order in which they became so: nothing has to be searched.

When a slot is needed, first goes who has completed no first message for `MUTE_TIMEOUT_MS`; then who was
answered longest ago, as that client resends what crosses the close; last who has just connected, since a
first request that crosses the close is lost to its client. Busy ones are never closed, nor are those that the
caller spares.

No I/O: the frontend reports what happens to its connections, asks, and closes.
"""

from collections.abc import Callable, Hashable, Iterator
from enum import StrEnum
from itertools import islice
from typing import Generic, NamedTuple, TypeVar

MUTE_TIMEOUT_MS = 400.0  # ms; a usual client's first request follows its connecting by a few ms
SILENT_TIMEOUT_MS = (
    1800.0  # ms without a complete first message, or with part of one; the platform allows 3 s
)
IDLE_TIMEOUT_MS = 8000.0  # ms without anything owed; usual clients close after 4 s
MAX_SPARED = 8  # candidates looked at in one search for a slot; if all are spared, none is closed

ConnectionT = TypeVar("ConnectionT", bound=Hashable)


class CloseReason(StrEnum):
    """Why a connection is to be closed; part of the names of the frontend's counters."""

    MUTE = "mute"  # for a slot: no complete message since it connected
    IDLE = "idle"  # for a slot, or overdue: nothing is owed to it
    NEW = "new"  # for a slot: it has just connected
    HALF_SENT = "half_sent"  # overdue: part of a message came, and no more
    SILENT = "silent"  # overdue: no complete message came


class CloseCandidate(NamedTuple, Generic[ConnectionT]):
    """A connection to close."""

    connection: ConnectionT
    reason: CloseReason


class ConnectionSlots(Generic[ConnectionT]):
    """The connections of one frontend, by what they wait for."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.busy: set[ConnectionT] = set()
        self.new_since_ms: dict[ConnectionT, float] = {}
        self.idle_since_ms: dict[ConnectionT, float] = {}
        self.partial_since_ms: dict[ConnectionT, float] = {}  # those of which part of a message has come

    def __len__(self) -> int:
        return len(self.busy) + len(self.new_since_ms) + len(self.idle_since_ms)

    def __iter__(self) -> Iterator[ConnectionT]:
        return iter([*self.busy, *self.new_since_ms, *self.idle_since_ms])

    def add(self, connection: ConnectionT, now: float) -> None:
        """Note a new connection."""
        self.new_since_ms[connection] = now

    def message_received(self, connection: ConnectionT, now: float) -> None:
        """Note a complete message."""
        self.new_since_ms.pop(connection, None)
        if connection not in self.busy:
            self.idle_since_ms.pop(connection, None)
            self.idle_since_ms[connection] = now

    def mark_busy(self, connection: ConnectionT) -> None:
        """Note that an answer is owed to a connection."""
        self.new_since_ms.pop(connection, None)
        self.idle_since_ms.pop(connection, None)
        self.busy.add(connection)

    def mark_idle(self, connection: ConnectionT, now: float) -> None:
        """Note that a connection has got all that was owed to it."""
        if connection in self.busy:
            self.busy.discard(connection)
            self.idle_since_ms[connection] = now

    def bytes_received(self, connection: ConnectionT, now: float, has_partial_message: bool) -> None:
        """Note that bytes have come, with or without part of a message at their end."""
        if has_partial_message:
            self.partial_since_ms.setdefault(connection, now)
        else:
            self.partial_since_ms.pop(connection, None)

    def remove(self, connection: ConnectionT) -> None:
        """Note that a connection has ended."""
        self.busy.discard(connection)
        for since_ms in (self.new_since_ms, self.idle_since_ms, self.partial_since_ms):
            since_ms.pop(connection, None)

    def choose_to_close(
        self, now: float, is_spared: Callable[[ConnectionT], bool] = lambda _: False
    ) -> CloseCandidate[ConnectionT] | None:
        """Return whom to close so that another gets a slot; None if there is nobody.

        `is_spared` knows who is not as inactive as it seems here; it is called for few.
        """
        for candidate in islice(self._by_preference(now), MAX_SPARED):
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
        """Yield who is to be closed by now; the caller may close them as they come."""
        for since_ms_by_connection, timeout_ms, reason in (
            (self.partial_since_ms, SILENT_TIMEOUT_MS, CloseReason.HALF_SENT),
            (self.new_since_ms, SILENT_TIMEOUT_MS, CloseReason.SILENT),
            (self.idle_since_ms, IDLE_TIMEOUT_MS, CloseReason.IDLE),
        ):
            timed_out = []
            for connection, since_ms in since_ms_by_connection.items():
                if now - since_ms <= timeout_ms:
                    break  # those behind came later
                timed_out.append(connection)
            for connection in timed_out:
                if connection not in self.busy and connection in since_ms_by_connection:
                    yield CloseCandidate(connection, reason)
