"""Follows the command channel: receives the endpoint list as server-sent events and resumes by event number.

A connection that ends, breaks or brings malformed input is given up, and the events after the last applied
number are requested again at once. If a connection is silent for a little longer than the comment interval, a
second one is opened beside it, since the channel may only be slow; the first that brings an event or comment
is kept. The drains of a damaged event apply at once (`endpoint_list`). `lifecycle` starts the watch, applies
the events in the configuration file, and moves the watch to another address at a reload.
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

MAX_CONNECTIONS = 6  # concurrent connections; to open another one, `_choose_to_abort` names one
NEWEST_KEPT = 2  # connections, the newest ones, that are never aborted to open another one
ANSWER_TIMEOUT_MS = 32_000.0  # ms that the oldest unanswered connection is kept: a channel may take 30 s
MIN_BACKOFF_MS, MAX_BACKOFF_MS = 25.0, 400.0  # ms between failed connections, doubled up to the maximum
STABLE_MS = 1000.0  # ms (SSE comment interval); a connection that lasted this long does not count as failed
MAX_RETRIES = 3  # times that a damaged event is requested again before its readable parts are applied
MAX_NUMBERS_AHEAD = 1000  # full lists' and drains' numbers further ahead of the cursor count as damaged
MAX_LOGGED_PROBLEMS = 3  # problems of one event in a log line


class WallClock(Protocol):
    """The part of a loop that returns the time of day."""

    def wall(self) -> float:
        """Return the wall-clock time in seconds since 1970."""


class EventFault(StrEnum):
    """Why an event is requested again."""

    UNREADABLE = "unreadable"
    GAP = "gap"  # events before this one are missing


class MalformedEventError(MalformedResponseError):
    """An event that must be requested again."""

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
        """Initialize; zones and machine types map to indexes in the settings, `post` takes policy events."""
        self.loop, self.address = loop, address
        self.zones, self.machine_types, self.log_message = zones, machine_types, log_message
        self.endpoints = EndpointList(pool, post)
        self.cursor = 0  # number of the last event that was applied
        self.counts: Counter[str] = Counter()
        self._last_comment_ms: float | None = None  # None before the channel is followed
        self._connections: list[WatchConnection] = []  # open ones; the newest is last
        self._waiter: Waiter | None = None
        self._retries: Counter[EventFault] = Counter()  # since the last valid event

    def start(self) -> None:
        """Spawn the task that keeps a connection to the command channel."""
        self._last_comment_ms = self.loop.now()
        self.loop.spawn(self._follow, name="channel")

    def apply_known(
        self, cursor: int, events: tuple[dict[str, Any], ...], form: ListForm = ListForm.CACHED
    ) -> None:
        """Apply the configuration's events that are newer than the cursor.

        At startup (`CACHED`) gaps are accepted, and the cursor becomes that of the file. At a reload (`FULL`)
        the method stops at the first gap before an event without a full list: of that event only the drains
        apply, and the channel delivers this event and all later ones.
        """
        is_first = form == ListForm.CACHED
        for body in events:
            number = read_cursor(body)
            if number <= self.cursor:
                continue
            if not is_first and number > self.cursor + 1:
                event = self._read_list(body)
                if not event.is_full:
                    self.log_message(f"command channel: gap after {self.cursor} before known event {number}")
                    self._hold_drains(event, number)
                    return
            self._apply_known_event(body, form)
            self.cursor, form = number, ListForm.FULL
        if is_first and events:
            self.cursor = max(self.cursor, cursor)

    def _apply_known_event(self, body: dict[str, Any], form: ListForm) -> None:
        self.endpoints.apply(self._read_list(body), read_cursor(body), form)

    def move(self, address: Address) -> None:
        """Follow the channel at another address from now on; event numbers continue."""
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
        """Wait until `due_ms`, or until a connection progresses or the address changes."""
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

        If a connection is silent, another one is opened beside it: the channel may be slow, or the connection
        may be dead, since a cut connection shows only as silence. As soon as one of the connections
        brings a complete event or comment, the others are aborted.
        """
        self._connections = [self._open(address)]
        began_ms = self.loop.now()
        while self._connections and address == self.address:
            next_open_ms = max(self._connections[-1].silent_from_ms(), began_ms + MAX_BACKOFF_MS)
            self._wait_until(next_open_ms)
            self._connections = [each for each in self._connections if not each.has_ended]
            # Connections that have brought an event or comment since the newest one was opened.
            active = [each for each in self._connections if each.last_event_ms >= began_ms]
            if active and len(self._connections) > 1:
                self._keep_only(active[-1:])
            elif self._is_silent(next_open_ms):
                self.counts["silences"] += 1
                self._make_room()
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

    def _make_room(self) -> None:
        """Abort a connection if there are as many as allowed."""
        if len(self._connections) >= MAX_CONNECTIONS:
            aborted = self._choose_to_abort()
            self._keep_only([each for each in self._connections if each is not aborted])

    def _choose_to_abort(self) -> WatchConnection:
        """Return the connection that is least likely to be heard before the others.

        A connection that was heard before and is silent now is probably dead. Of the unanswered ones, the
        oldest is kept until `ANSWER_TIMEOUT_MS`, so that a slow channel is heard however often others are
        opened beside it. It may be dead too, so the ones kept besides it are of ages that grow by about the
        same factor: after any delay, one of them is old enough.
        """
        now = self.loop.now()
        older = self._connections[:-NEWEST_KEPT]
        for each in older:
            if each.has_answered or now - each.began_ms > ANSWER_TIMEOUT_MS:
                return each

        def relative_gap(index: int) -> float:
            gap_ms = self._connections[index + 1].began_ms - self._connections[index - 1].began_ms
            return gap_ms / (now - self._connections[index].began_ms)

        return self._connections[min(range(1, len(older)), key=relative_gap)]

    def connection_progressed(self, connection: WatchConnection) -> None:
        """Note that a connection received an event or comment, or ended."""
        error = connection.error
        if error is not None:
            self.log_message(f"command channel at {connection.address}: {type(error).__name__}: {error}")
        self._wake()

    # Events.

    def take_event(self, event: ServerEvent) -> None:
        """Apply an event if it is new. Raises `MalformedEventError` if it must be requested again."""
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
        """Apply an event in order; apply a damaged one only after it was requested again `MAX_RETRIES` times.

        Applying a damaged event at once would lose its unreadable parts; requesting it for ever would stop
        all further updates of the list.
        """
        number = numbered.number
        problem = numbered.problem or ", ".join(event.problems[:MAX_LOGGED_PROBLEMS])
        fault = EventFault.UNREADABLE
        if number is not None and number > self.cursor + (MAX_NUMBERS_AHEAD if event.is_full else 1):
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
            self.log_message(
                f"command channel: event {number} after {self.cursor}: {problem}; applied partly"
            )
        if number is not None:
            self.endpoints.apply(event, number, ListForm.FULL)
            self.cursor = number

    def _read_list(self, body: Any) -> EndpointListEvent:
        event = read_list(body, self.zones, self.machine_types, self._local_start_ms)
        if event.unknown_names:
            self.counts["unknown"] += len(event.unknown_names)
            self.log_message(
                f"command channel: unknown: {', '.join(event.unknown_names[:MAX_LOGGED_PROBLEMS])}"
            )
        return event

    def _local_start_ms(self, name: str, started_unix_ms: float) -> float:
        now = self.loop.now()
        wall_clock_lead_ms = cast(WallClock, self.loop).wall() * 1000.0 - now
        return self.endpoints.start_times.to_loop_clock(
            name, started_unix_ms, wall_clock_lead_ms, now, self._last_comment_ms
        )

    def _hold_drains(self, event: EndpointListEvent, number: int) -> None:
        if number <= self.cursor + MAX_NUMBERS_AHEAD:
            self.endpoints.hold_drains(event, number)
