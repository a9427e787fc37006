"""Follows the command channel: the list of executors, by server-sent events, resumed by number.

A connection that ends, breaks or brings what can't be read is given up, and its events are asked for anew at
once, after the last number that was applied. Beside a connection that is silent for a little over the period
of its comments another is opened, since the channel may be slow; whichever brings something first is followed
on. The drains of a damaged event hold from then on (`endpoint_list`). `lifecycle` starts the watch, applies
the events that the configuration holds, and moves it to another address at a reload.
"""

from collections import Counter
from collections.abc import Callable
from enum import StrEnum
from typing import Any, Protocol, cast

from fennelwind.loop.scheduler import Loop, Waiter
from fennelwind.loop.streams import Address
from fennelwind.node.endpoint_events import (
    EndpointListEvent,
    NumberedEvent,
    parse_event,
    read_cursor,
    read_list,
)
from fennelwind.node.endpoint_list import EndpointList
from fennelwind.node.executor_pool import ExecutorPool
from fennelwind.node.http1 import MalformedResponseError, ServerEvent
from fennelwind.node.watch_connection import WatchConnection
from fennelwind.policy import Event, ListForm

# At a time; the oldest is aborted when another would be one too many, so a slow channel gets about three
# periods of silence to answer.
MAX_CONNECTIONS = 3
MIN_BACKOFF_MS, MAX_BACKOFF_MS = 25.0, 400.0  # ms between attempts that fail, doubled up to the maximum
STABLE_MS = 1000.0  # ms, the comments' period; a connection that lasted so long has not failed
MAX_RETRIES = 3  # times that a damaged event is asked for again; then what can be read of it is applied
MAX_AHEAD = 1000  # numbers that a full list, or a drain, may be ahead; beyond it the number seems damaged
MAX_LOGGED = 3  # problems of one event that the log names


class WallClock(Protocol):
    """The part of a loop that knows the time of day."""

    def wall(self) -> float:
        """Return the seconds since 1970."""


class EventFault(StrEnum):
    """Why an event is asked for again."""

    UNREADABLE = "unreadable"
    GAP = "gap"  # events before it are missing


class MalformedEventError(MalformedResponseError):
    """An event that is to be asked for again."""

    def __init__(self, number: int | None, cursor: int, problem: str) -> None:
        super().__init__(f"event {number} after {cursor}: {problem}")
        self.number, self.cursor, self.problem = number, cursor, problem


class EndpointWatch:
    """Follows the command channel and applies its events."""

    def __init__(
        self,
        loop: Loop,
        address: Address,
        pool: ExecutorPool,
        *,
        zones: dict[str, int],
        machine_types: dict[str, int],
        post: Callable[[Event], None],
        log_message: Callable[[str], None],
    ) -> None:
        """Prepare; zones and machine types are their places in the settings, `post` takes policy events."""
        self.loop, self.address = loop, address
        self.zones, self.machine_types, self.log_message = zones, machine_types, log_message
        self.endpoints = EndpointList(pool, post)
        self.cursor = 0  # number of the last event that was applied
        self.counts: Counter[str] = Counter()
        self._last_comment_ms: float | None = None  # None before the channel is followed
        self._connections: list[WatchConnection] = []  # those under way; the newest is the last
        self._waiter: Waiter | None = None
        self._retries: Counter[EventFault] = Counter()  # since an event was in order

    def start(self) -> None:
        """Spawn the task that keeps a connection to the command channel."""
        self._last_comment_ms = self.loop.now()
        self.loop.spawn(self._follow, name="channel")

    def apply_known(
        self, cursor: int, events: tuple[dict[str, Any], ...], form: ListForm = ListForm.CACHED
    ) -> None:
        """Apply the configuration's events that are newer than the cursor.

        At the start (`CACHED`) gaps are accepted, and the cursor is then that of the file. At a reload
        (`FULL`) it stops at the first gap before an event without a full list: that event's drains hold, and
        the channel brings the rest.
        """
        is_first = form == ListForm.CACHED
        for body in events:
            number = read_cursor(body)
            if number <= self.cursor:
                continue
            if not is_first and number > self.cursor + 1:
                event = self._read_list(body)
                if not event.is_full:
                    self.log_message(f"command channel: known event {number} after {self.cursor}")
                    self._hold_drains(event, number)
                    return
            self._apply_known_event(body, form)
            self.cursor, form = number, ListForm.FULL
        if is_first and events:
            self.cursor = max(self.cursor, cursor)

    def _apply_known_event(self, body: dict[str, Any], form: ListForm) -> None:
        self.endpoints.apply(self._read_list(body), read_cursor(body), form)

    def move(self, address: Address) -> None:
        """Follow the channel at another address from now on; the numbers go on."""
        self.address = address
        for connection in self._connections:
            connection.abort()
        self._wake()

    # Connections.

    def _follow(self) -> None:
        backoff_ms, address = MIN_BACKOFF_MS, self.address
        while True:
            if address != self.address:
                backoff_ms, address = MIN_BACKOFF_MS, self.address
            cursor, began_ms = self.cursor, self.loop.now()
            self._follow_until_ended(address)
            if self.cursor > cursor or self.loop.now() - began_ms >= STABLE_MS:
                backoff_ms = MIN_BACKOFF_MS
                continue
            if address != self.address:
                continue
            self._wait_until(self.loop.now() + backoff_ms)
            backoff_ms = min(2 * backoff_ms, MAX_BACKOFF_MS)

    def _wait_until(self, due_ms: float) -> None:
        """Wait until the time, or until something comes of a connection or the address changes."""
        waiter = self._waiter = Waiter(self.loop)

        def wake() -> None:
            waiter.wake()

        timer = self.loop.at(due_ms, wake)
        waiter.wait()
        timer.cancel()
        self._waiter = None

    def _wake(self) -> None:
        if self._waiter is not None:
            self._waiter.wake()

    def _follow_until_ended(self, address: Address) -> None:
        """Follow until no connection is left, or the address changes.

        Beside a connection that is silent another one is opened, as the channel may be slow or this one dead:
        a cut connection shows as silence only. As soon as one brings a complete event or comment, the others
        are aborted.
        """
        self._connections = [self._open(address)]
        began_ms = self.loop.now()
        while self._connections and address == self.address:
            next_open_ms = max(self._connections[-1].silent_from_ms(), began_ms + MAX_BACKOFF_MS)
            self._wait_until(next_open_ms)
            self._connections = [each for each in self._connections if not each.has_ended]
            # Those that have brought something since the newest was opened.
            active = [each for each in self._connections if each.last_event_ms >= began_ms]
            if active and len(self._connections) > 1:
                self._keep_only(active[-1:])
            elif self._is_silent(next_open_ms):
                self.counts["silences"] += 1
                self._keep_only(self._connections[1 - MAX_CONNECTIONS :])
                self._connections.append(self._open(address))
                began_ms = self.loop.now()
        self._keep_only([])

    def _is_silent(self, next_open_ms: float) -> bool:
        if not self._connections:
            return False
        return self.loop.now() >= max(next_open_ms, self._connections[-1].silent_from_ms())

    def _open(self, address: Address) -> WatchConnection:
        self.counts["connections"] += 1
        return WatchConnection(self.loop, address, self)

    def _keep_only(self, connections: list[WatchConnection]) -> None:
        for connection in self._connections:
            if connection not in connections:
                connection.abort()
        self._connections = connections

    def connection_progressed(self, connection: WatchConnection) -> None:
        """Take note that something came on a connection, or that it has ended."""
        error = connection.error
        if error is not None:
            self.log_message(f"command channel at {connection.address}: {type(error).__name__}: {error}")
        self._wake()

    # Events.

    def take_event(self, event: ServerEvent) -> None:
        """Apply an event if it is new. Raises `MalformedEventError` if it is to be asked for again."""
        if not event.data:
            self.counts["comments"] += 1
            self._last_comment_ms = self.loop.now()
            return
        self.counts["events"] += 1
        numbered = parse_event(event)
        if numbered.number is not None and numbered.number <= self.cursor:
            self.counts["repeats"] += 1
            return
        self._apply_or_retry(numbered, self._read_list(numbered.body))

    def _apply_or_retry(self, numbered: NumberedEvent, event: EndpointListEvent) -> None:
        """Apply an event in order; a damaged one only after it was asked for `MAX_RETRIES` times.

        A damaged event that is applied at once would lose what can't be read; one that is asked for for ever
        would stop the list.
        """
        number = numbered.number
        problem = numbered.problem or ", ".join(event.problems[:MAX_LOGGED])
        fault = EventFault.UNREADABLE
        if number is not None and number > self.cursor + (MAX_AHEAD if event.is_full else 1):
            self.counts["gaps"] += 1
            problem, fault = problem or "gap", EventFault.GAP
        if not problem:
            self._retries.clear()
        elif self._retries[fault] < MAX_RETRIES:
            self._retries[fault] += 1
            if number is not None:
                self._hold_drains(event, number)
            raise MalformedEventError(number, self.cursor, problem)
        else:
            self.counts["applied_in_part"] += 1
            self.log_message(f"command channel: event {number} after {self.cursor}: {problem}; taken in part")
        if number is not None:
            self.endpoints.apply(event, number, ListForm.FULL)
            self.cursor = number

    def _read_list(self, body: Any) -> EndpointListEvent:
        event = read_list(body, self.zones, self.machine_types, self._local_start_ms)
        if event.unknown_names:
            self.counts["unknown"] += len(event.unknown_names)
            self.log_message(f"command channel: unknown: {', '.join(event.unknown_names[:MAX_LOGGED])}")
        return event

    def _local_start_ms(self, name: str, started_unix_ms: float) -> float:
        now = self.loop.now()
        wall_clock_lead_ms = cast(WallClock, self.loop).wall() * 1000.0 - now
        return self.endpoints.start_times.place(
            name, started_unix_ms, wall_clock_lead_ms, now, self._last_comment_ms
        )

    def _hold_drains(self, event: EndpointListEvent, number: int) -> None:
        if number <= self.cursor + MAX_AHEAD:
            self.endpoints.hold_drains(event, number)
