"""The command channel: the list of executors, by server-sent events, resumed by number.

A stream that ends, breaks or brings what can't be read is given up, and asked for anew at once with the last
number that was taken whole. Beside one that is silent for a little over the period of its comments another is
asked for, since the channel may be slow; whichever brings something first is followed on. What an event with
something wrong tells of drains holds from then on, and no earlier number undoes it.
"""

import json
import reprlib
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any

from fennelwind import policy
from fennelwind.loop.scheduler import Loop, Waiter
from fennelwind.loop.streams import Address, parse_address
from fennelwind.node.executor_pool import ExecutorPool
from fennelwind.node.http1 import MalformedResponseError, ServerEvent
from fennelwind.node.start_times import StartTimes
from fennelwind.node.watch_connection import Watch

WATCHES_MOST = 3  # at a time; one that is slow has so many times the time of a silent one to answer
PAUSE_MS, PAUSE_MOST_MS = 25.0, 400.0  # ms between tries that fail, doubled up to the most
LASTED_MS = 1000.0  # ms, the comments' period; a connection that lasted so long has not failed
AGAIN_MOST = 3  # times that what is wrong in the events is asked for again; then what can be read counts
AHEAD_MOST = 1000  # numbers that a whole list, or a drain, may be ahead; beyond it the number seems spoilt
NUMBER_MOST = 1e300  # beyond it, as for infinity, a figure is none
SHOWN_MOST = 60  # letters of what can't be read that a message shows
TOLD_MOST = 3  # things wrong in one event that the log tells
STATES = {"in_service": "ready", "terminating": "draining", "terminated": "gone"}


class Unreadable(Exception):
    """A field that can't be read."""


class Unknown(Unreadable):
    """A field in order that names what the settings or the protocol don't."""


@dataclass(slots=True, frozen=True)
class Line:
    """What an event says of one executor; no entry if only its name and, perhaps, its state can be read."""

    name: str
    state: str  # "" if unknown
    entry: policy.EngineEndpoint | None = None
    address: Address | None = None


@dataclass(slots=True, frozen=True)
class Listed:
    """An event's list of executors, as far as it can be read."""

    full: bool = False  # who is not in it has gone
    lines: tuple[Line, ...] = ()
    wrong: tuple[str, ...] = ()  # fields that can't be read, by their paths
    unknown: tuple[str, ...] = ()  # fields that name an unknown zone, machine type or state


def as_whole(value: Any) -> int:
    """Return a count or number of JSON. Raises `ValueError`."""
    if type(value) not in (int, float) or not 0 <= value < NUMBER_MOST or value != int(value):
        raise ValueError(value)
    return int(value)


def as_figure(value: Any) -> float:
    """Return a figure of JSON that is not negative. Raises `ValueError`."""
    if type(value) not in (int, float) or not 0 <= value < NUMBER_MOST:
        raise ValueError(value)
    return float(value)


def as_text(value: Any) -> str:
    """Return a text of JSON that is not empty and was UTF-8. Raises `ValueError`."""
    if not isinstance(value, str) or not value or "\ufffd" in value:
        raise ValueError(value)
    return value


def shown(value: Any) -> str:
    """Return the beginning of a value of JSON, however deep it is, for a message."""
    return reprlib.repr(value)[:SHOWN_MOST]


def _get(one: dict[str, Any], field: str, read: Callable[[Any], Any], default: Any = None) -> Any:
    value = one.get(field)
    if value is None and default is not None:
        return default
    try:
        return read(value)
    except ValueError:
        raise Unreadable(f"{field}: {shown(value)}") from None
    except KeyError:
        raise Unknown(f"{field}: {shown(value)}") from None


def _named(table: dict[str, Any]) -> Callable[[Any], Any]:
    return lambda value: table[as_text(value)]


def _read_line(
    one: dict[str, Any],
    name: str,
    state: str,
    zones: dict[str, int],
    kinds: dict[str, int],
    launched: Callable[[str, float], float],
) -> Line:
    started = _get(one, "startedAtMs", as_figure, 0.0)
    entry = policy.EngineEndpoint(
        engine=name,
        state=state,
        zone=_get(one, "zone", _named(zones)),
        kind=_get(one, "machineType", _named(kinds)),
        cell=_get(one, "cell", as_whole, 0),
        weight=_get(one, "weight", as_figure, 1.0),
        started_ms=launched(name, started),
    )
    return Line(name, state, entry, _get(one, "hostPort", lambda at: parse_address(as_text(at))))


def read_list(
    told: Any,
    zones: dict[str, int],
    kinds: dict[str, int],
    launched: Callable[[str, float], float] = lambda _, started: started,
) -> Listed:
    """Read an event's list; an event without one is none of ours. Raises nothing.

    `launched` turns an executor's start as told into one of the caller's clock.
    """
    if not isinstance(told, dict):
        return Listed(wrong=("no object",))
    nodes = told.get("nodes")
    if nodes is None:
        return Listed()
    if not isinstance(nodes, dict):
        return Listed(wrong=("nodes: no object",))
    reset, instances = nodes.get("reset"), nodes.get("instances")
    if reset not in (None, True, False):
        return Listed(wrong=(f"nodes.reset: {shown(reset)}",))
    if instances is None and not reset:
        return Listed()
    if not isinstance(instances, list):
        return Listed(wrong=(f"nodes.instances: {shown(instances)}",))
    wrong: list[str] = []
    unknown: list[str] = []
    lines: list[Line] = []
    for place, one in enumerate(instances):
        name = state = ""
        try:
            if not isinstance(one, dict):
                raise Unreadable(shown(one))
            name = _get(one, "instanceId", as_text)
            state = _get(one, "lifecycle", _named(STATES))
            lines.append(_read_line(one, name, state, zones, kinds, launched))
        except Unreadable as exc:
            if state != "gone":  # of which nothing more is needed
                told = unknown if isinstance(exc, Unknown) else wrong
                told.append(f"nodes.instances[{place}]{'.' if isinstance(one, dict) else ': '}{exc}")
            if name:
                lines.append(Line(name, state))
    # Where a line names nobody, nobody can be told to be missing.
    return Listed(bool(reset) and len(lines) == len(instances), tuple(lines), tuple(wrong), tuple(unknown))


def read_event(event: ServerEvent) -> tuple[int | None, Any, str]:
    """Return an event's number, if it can be read, what it holds, and what is wrong about either."""
    try:
        told = json.loads(event.data)
    except (ValueError, RecursionError):
        return event.number, None, "no JSON"
    stated = told.get("cursor") if isinstance(told, dict) else None
    if stated is None:
        return event.number, told, "" if event.number is not None else "no number"
    try:
        stated = as_whole(stated)
    except ValueError:
        return event.number, told, f"cursor: {shown(stated)}"
    if event.number is None or event.number == stated:
        return stated, told, ""
    return min(event.number, stated), told, f"its cursor is {stated}"


class Channel:
    """Follows the command channel and hands its lists on."""

    def __init__(
        self,
        loop: Loop,
        address: Address,
        executor_pool: ExecutorPool,
        *,
        zones: dict[str, int],
        kinds: dict[str, int],
        post: Callable[[policy.Event], None],
        said: Callable[[str], None],
    ) -> None:
        self.loop, self.address, self.executor_pool = loop, address, executor_pool
        self.zones, self.kinds, self.post, self.said = zones, kinds, post, said
        self.cursor = 0
        self.counts: Counter[str] = Counter()
        self._starts = StartTimes()
        self._in_touch: float | None = None  # when a comment was last heard; None before it is followed
        self._watches: list[Watch] = []  # those under way; the newest is the last
        self._pause: Waiter | None = None
        self._entries: dict[str, policy.EngineEndpoint] = {}  # the list as it was told last
        self._ahead: dict[str, int] = {}  # executors told to drain or gone by a number not yet taken whole
        self._again: Counter[str] = Counter()  # times asked again, by what was wrong, since one was in order

    def start(self) -> None:
        """Start to follow."""
        self._in_touch = self.loop.now()
        self.loop.spawn(self._follow, name="channel")

    def take_known(self, cursor: int, events: tuple[dict[str, Any], ...], form: str = "cached") -> None:
        """Take the events that the configuration tells, as far as they are news.

        While it runs, the command channel tells itself what is missing before them.
        """
        first = form == "cached"
        for event in events:
            number = as_whole(event["cursor"])
            if number <= self.cursor:
                continue
            if not first and number > self.cursor + 1:
                listed = self._listed(event)
                if not listed.full:
                    self.said(f"command channel: known event {number} after {self.cursor}")
                    self._hold(listed, number)
                    return
            self._take(event, form)
            self.cursor, form = number, "full"
        if first and events:
            self.cursor = max(self.cursor, cursor)

    def move(self, address: Address) -> None:
        """Follow the channel at another address from now on; the numbers go on."""
        self.address = address
        for watch in self._watches:
            watch.abort()
        if self._pause is not None:
            self._pause.wake()

    def _follow(self) -> None:
        pause, address = PAUSE_MS, self.address
        while True:
            if address != self.address:
                pause, address = PAUSE_MS, self.address
            cursor, began = self.cursor, self.loop.now()
            self._watch_one_of(address)
            if self.cursor > cursor or self.loop.now() - began >= LASTED_MS:
                pause = PAUSE_MS
                continue
            if address != self.address:
                continue
            self._rest_until(self.loop.now() + pause)
            pause = min(2 * pause, PAUSE_MOST_MS)

    def _rest_until(self, at: float) -> None:
        """Wait until the time, or until there is news of a watch or of the address."""
        self._pause = Waiter(self.loop)
        timer = self.loop.at(at, self._pause.wake)
        self._pause.wait()
        timer.cancel()
        self._pause = None

    def _watch_one_of(self, address: Address) -> None:
        """Watch until no watch is left, or the address is another.

        Beside a watch that is silent another one is begun, as the channel may be slow or this one dead; the
        first that brings something is followed on alone.
        """
        self._watches = [self._begin(address)]
        began = self.loop.now()
        while self._watches and address == self.address:
            next_at = max(self._watches[-1].silent_from(), began + PAUSE_MOST_MS)
            self._rest_until(next_at)
            self._watches = [watch for watch in self._watches if not watch.ended]
            spoken = [watch for watch in self._watches if watch.spoke_ms >= began]
            if spoken and len(self._watches) > 1:
                self._keep(spoken[-1:])
            elif self._watches and self.loop.now() >= max(next_at, self._watches[-1].silent_from()):
                self.counts["silences"] += 1
                self._keep(self._watches[1 - WATCHES_MOST :])
                self._watches.append(self._begin(address))
                began = self.loop.now()
        self._keep([])

    def _begin(self, address: Address) -> Watch:
        self.counts["asked"] += 1
        return Watch(self.loop, address, lambda: self.cursor, self._event, self._heard)

    def _keep(self, watches: list[Watch]) -> None:
        for watch in self._watches:
            if watch not in watches:
                watch.abort()
        self._watches = watches

    def _heard(self, watch: Watch) -> None:
        """Take news of a watch: something came, or it has ended."""
        if watch.error is not None:
            self.said(f"command channel at {watch.address}: {type(watch.error).__name__}: {watch.error}")
        if self._pause is not None:
            self._pause.wake()

    def _event(self, event: ServerEvent) -> None:
        """Take an event that is news. Raises `MalformedResponseError` if it is to be asked for again."""
        if not event.data:
            self.counts["comments"] += 1
            self._in_touch = self.loop.now()
            return
        self.counts["events"] += 1
        number, told, wrong = read_event(event)
        if number is not None and number <= self.cursor:
            self.counts["repeats"] += 1
            return
        listed = self._listed(told)
        wrong, kind = wrong or ", ".join(listed.wrong[:TOLD_MOST]), "form"
        if number is not None and number > self.cursor + (AHEAD_MOST if listed.full else 1):
            self.counts["gaps"] += 1
            wrong, kind = wrong or "gap", "gap"
        if not wrong:
            self._again.clear()
        elif self._again[kind] < AGAIN_MOST:
            self._again[kind] += 1
            if number is not None:
                self._hold(listed, number)
            raise MalformedResponseError(f"event {number} after {self.cursor}: {wrong}")
        else:
            self.counts["in_part"] += 1
            self.said(f"command channel: event {number} after {self.cursor}: {wrong}; taken in part")
        if number is not None:
            self._apply(listed, number, "full")
            self.cursor = number

    def _listed(self, told: Any) -> Listed:
        listed = read_list(told, self.zones, self.kinds, self._launched)
        if listed.unknown:
            self.counts["unknown"] += len(listed.unknown)
            self.said(f"command channel: unknown: {', '.join(listed.unknown[:TOLD_MOST])}")
        return listed

    def _launched(self, name: str, started_ms: float) -> float:
        now = self.loop.now()
        return self._starts.place(name, started_ms, self.loop.wall() * 1000.0 - now, now, self._in_touch)

    def _take(self, told: dict[str, Any], form: str) -> None:
        self._apply(self._listed(told), told["cursor"], form)

    def _hold(self, listed: Listed, number: int) -> None:
        """Keep the drains of an event that is not taken yet; until it is, nothing earlier undoes them."""
        if number > self.cursor + AHEAD_MOST:
            return
        drained = []
        for line in listed.lines:
            if line.state in ("draining", "gone"):
                self._ahead[line.name] = max(number, self._ahead.get(line.name, 0))
                known = self._entries.get(line.name)
                if known is not None and known.state == "ready":
                    drained.append(replace(known, state="draining"))
        for entry in drained:
            self._place(entry, None)
        if drained:
            self.post(policy.EngineListUpdate("delta", tuple(drained)))

    def _apply(self, listed: Listed, number: int, form: str) -> None:
        """Let the event hold: who has gone first, then who drains, then the rest, in whatever order it tells.

        An address may so be given on within one event.
        """
        if listed.full:
            named = {line.name for line in listed.lines}
            for name in [name for name in self.executor_pool.executors if name not in named]:
                self._remove(name)
        last: dict[str, tuple[policy.EngineEndpoint, Address | None]] = {}
        for line in listed.lines:
            entry, known = line.entry, self._entries.get(line.name)
            if line.state == "gone":
                entry = entry or replace(known or policy.EngineEndpoint(line.name), state="gone")
                self._remove(line.name)
            elif entry is None and known is not None and (listed.full or line.state == "draining"):
                entry = replace(known, state=line.state) if line.state == "draining" else known
            if entry is None:
                continue
            if entry.state == "ready" and self._ahead.get(line.name, 0) > number:
                entry = replace(entry, state="draining")
            last[line.name] = entry, line.address
        for entry, address in sorted(last.values(), key=lambda one: one[0].state == "ready"):
            if entry.state != "gone":
                self._place(entry, address)
        self._ahead = {name: at for name, at in self._ahead.items() if at > number}
        self._starts.keep(self._entries)
        if last or listed.full:
            self.post(
                policy.EngineListUpdate(form if listed.full else "delta", tuple(e for e, _ in last.values()))
            )

    def _place(self, entry: policy.EngineEndpoint, address: Address | None) -> None:
        executor = self.executor_pool.executors.get(entry.engine)
        if address is not None or executor is not None:
            self.executor_pool.add(entry.engine, address or executor.address, entry.state == "draining")
        self._entries[entry.engine] = entry

    def _remove(self, name: str) -> None:
        self.executor_pool.remove(name)
        self._entries.pop(name, None)
