"""The command channel: the list of executors, by server-sent events, resumed by number.

A stream that ends, breaks, is silent for a little over the period of its comments or brings what can't be
read is given up, and asked for anew at once with the last number that was taken whole.
"""

import json
from collections import Counter
from collections.abc import Callable
from typing import Any

from fennelwind import interface as api
from fennelwind.loop.scheduler import DeadlineExceeded, Loop, Waiter
from fennelwind.loop.streams import Address, Stream, parse_address
from fennelwind.node.executors import Executors
from fennelwind.node.http1 import EventReader, Malformed, ServerEvent

SILENCE_MS = 1600.0  # ms; a comment comes every second
CONNECT_MS = 400.0  # ms for a connection, and again for the head of the answer
PAUSE_MS, PAUSE_MOST_MS = 25.0, 400.0  # ms between tries that fail, doubled up to the most
STATES = {"in_service": "ready", "terminating": "draining", "terminated": "gone"}


class Channel:
    """Follows the command channel and hands its lists on."""

    def __init__(self, loop: Loop, address: Address, links: Executors, *, zones: dict[str, int],
                 kinds: dict[str, int], post: Callable[[api.Event], None],
                 said: Callable[[str], None]) -> None:
        self.loop, self.address, self.links = loop, address, links
        self.zones, self.kinds, self.post, self.said = zones, kinds, post, said
        self.cursor = 0
        self.counts: Counter[str] = Counter()
        self.offset = loop.wall() * 1000.0 - loop.now()  # of the system's clock; fixed: starts are compared
        self._stream: Stream | None = None
        self._pause: Waiter | None = None

    def start(self) -> None:
        """Start to follow."""
        self.loop.spawn(self._follow, name="channel")

    def take_known(self, cursor: int, events: tuple[dict[str, Any], ...], form: str = "cached") -> None:
        """Take the events that the configuration tells, as far as they are news."""
        for event in events:
            number = event.get("cursor") if isinstance(event, dict) else None
            if not isinstance(number, int) or number > self.cursor:
                self._take(event, form)
                form = "full"
        self.cursor = max(self.cursor, cursor)

    def move(self, address: Address) -> None:
        """Follow the channel at another address from now on; the numbers go on."""
        self.address = address
        if self._stream is not None:
            self._stream.abort()
        if self._pause is not None:
            self._pause.wake()

    def _follow(self) -> None:
        pause = PAUSE_MS
        while True:
            before = self.counts["events"] + self.counts["comments"]
            try:
                self._read()
            except (OSError, Malformed) as exc:
                self.said(f"command channel at {self.address}: {type(exc).__name__}: {exc}")
            self.counts["asked"] += 1
            if self.counts["events"] + self.counts["comments"] > before:
                pause = PAUSE_MS
                continue
            self._pause = Waiter(self.loop)
            timer = self.loop.after(pause, self._pause.wake)
            self._pause.wait()
            timer.cancel()
            self._pause = None
            pause = min(2 * pause, PAUSE_MOST_MS)

    def _read(self) -> None:
        """Ask once, and read until it ends. Raises `OSError` or `Malformed`."""
        with self.loop.deadline(CONNECT_MS):
            stream = self._stream = self.loop.connect(self.address)
        try:
            stream.write(b"GET /cmd/next HTTP/1.1\r\nHost: channel\r\nAccept: text/event-stream\r\n"
                         b"Last-Event-ID: %d\r\n\r\n" % self.cursor, CONNECT_MS)
            reader = EventReader()
            while not reader.ended:
                with self.loop.deadline(SILENCE_MS):
                    data = stream.read()
                if not data:
                    return
                for event in reader.feed(data):
                    self._event(event)
        except DeadlineExceeded:
            self.counts["silences"] += 1
            raise
        finally:
            self._stream = None
            stream.abort()

    def _event(self, event: ServerEvent) -> None:
        if not event.data:
            self.counts["comments"] += 1
            return
        self.counts["events"] += 1
        try:
            told = json.loads(event.data)
            number = event.number if event.number is not None else int(told["cursor"])
        except (ValueError, KeyError, TypeError, RecursionError):
            raise Malformed(f"event {event.number} can't be read") from None
        if number <= self.cursor:
            self.counts["repeats"] += 1
            return
        full = isinstance(told, dict) and isinstance(told.get("nodes"), dict) and told["nodes"].get("reset")
        if number > self.cursor + 1 and not full:
            self.counts["gaps"] += 1
            if self.counts["gaps"] < 3 or self.counts["gaps"] % 2:
                raise Malformed(f"event {number} after {self.cursor}")  # asked for again from where it broke
        self._take(told, "full")
        self.cursor = number

    def _take(self, told: Any, form: str) -> None:
        """Take one event's list of executors; what is no list is none of ours."""
        nodes = told.get("nodes") if isinstance(told, dict) else None
        if not isinstance(nodes, dict):
            return
        entries, full = [], bool(nodes.get("reset"))
        for one in nodes.get("instances") or ():
            try:
                entries.append(self._entry(one))
            except (KeyError, TypeError, ValueError) as exc:
                self.said(f"command channel: an executor that can't be read: {exc!r}")
        if full:
            listed = {entry.engine for entry in entries}
            for name in [name for name in self.links.hosts if name not in listed]:
                self.links.remove(name)
        if entries or full:
            self.post(api.EngineList(form if full else "delta", tuple(entries)))

    def _entry(self, one: dict[str, Any]) -> api.EngineEntry:
        name, state = str(one["instanceId"]), STATES[one["lifecycle"]]
        started = float(one.get("startedAtMs") or 0.0)
        entry = api.EngineEntry(
            engine=name, state=state, zone=self.zones[one["zone"]], kind=self.kinds[one["machineType"]],
            cell=int(one.get("cell", 0)), weight=float(one.get("weight", 1.0)),
            launched_ms=started - self.offset if started else 0.0)
        if state == "gone":
            self.links.remove(name)
        else:
            self.links.place(name, parse_address(one["hostPort"]), state == "draining")
        return entry
