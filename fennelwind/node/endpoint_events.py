"""Parses the command channel's events: the endpoint list, or changes to it. No I/O and no clock.

Every field is read by itself, since an event may be damaged in one place only: what can be read of it is
returned, with the fields that can't. `endpoint_watch` decides whether to ask for such an event again. Nothing
here raises for what an event holds.
"""

import json
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from fennelwind.loop.streams import Address, parse_address
from fennelwind.node.http1 import ServerEvent
from fennelwind.node.json_fields import JsonValueError, read_count, read_figure, read_text, shown
from fennelwind.node.wire_names import ENDPOINT_STATES, EventField
from fennelwind.policy import EngineEndpoint, EngineState

# From an executor's name and its start as stated (ms since 1970, 0: long ago) to ms of the loop's clock.
LocalStart = Callable[[str, float], float]


class UnreadableFieldError(Exception):
    """A field that can't be read."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class UnknownNameError(UnreadableFieldError):
    """A field that names a zone, machine type or state which is not known."""


@dataclass(slots=True, frozen=True)
class EndpointChange:
    """What an event says of one executor; no endpoint if only its name or state can be read."""

    name: str
    state: EngineState | None  # None if it is unknown
    endpoint: EngineEndpoint | None = None
    address: Address | None = None


@dataclass(slots=True, frozen=True)
class EndpointListEvent:
    """An event's list of executors, as far as it can be read."""

    is_full: bool = False  # executors that are not in it have left the list
    changes: tuple[EndpointChange, ...] = ()
    problems: tuple[str, ...] = ()  # fields that can't be read, by their paths
    unknown_names: tuple[str, ...] = ()  # fields that name an unknown zone, machine type or state


@dataclass(slots=True, frozen=True)
class NumberedEvent:
    """An event with its number, the parsed JSON, and what is wrong with either."""

    number: int | None  # None if it can't be read
    body: Any
    problem: str = ""


def parse_event(event: ServerEvent) -> NumberedEvent:
    """Parse an event's JSON and its number, which stands both in the event and in its JSON."""
    try:
        body = json.loads(event.data)
    except (ValueError, RecursionError):
        return NumberedEvent(event.number, None, "no JSON")
    stated = body.get(EventField.CURSOR) if isinstance(body, dict) else None
    if stated is None:
        return NumberedEvent(event.number, body, "" if event.number is not None else "no number")
    try:
        cursor = read_count(stated)
    except JsonValueError:
        return NumberedEvent(event.number, body, f"cursor: {shown(stated)}")
    if event.number is None or event.number == cursor:
        return NumberedEvent(cursor, body)
    return NumberedEvent(min(event.number, cursor), body, f"its cursor is {cursor}")


def read_cursor(body: dict[str, Any]) -> int:
    """Return the number of an event in the configuration. Raises `JsonValueError` or `KeyError`."""
    return read_count(body[EventField.CURSOR])


def read_list(
    body: Any,
    zones: dict[str, int],
    machine_types: dict[str, int],
    local_start: LocalStart = lambda _, started_ms: started_ms,
) -> EndpointListEvent:
    """Read an event's list; an event without one is not about executors."""
    try:
        found = _find_list(body)
    except UnreadableFieldError as exc:
        return EndpointListEvent(problems=(exc.reason,))
    if found is None:
        return EndpointListEvent()
    items, is_full = found
    reader = _ListReader(zones, machine_types, local_start)
    for index, item in enumerate(items):
        reader.read_item(index, item)
    # Where an item names nobody, nobody can be taken to be missing from the list.
    is_full = is_full and len(reader.changes) == len(items)
    return EndpointListEvent(
        is_full, tuple(reader.changes), tuple(reader.problems), tuple(reader.unknown_names)
    )


def _find_list(body: Any) -> tuple[list[Any], bool] | None:
    """Return the list's items and whether it is full; None without a list. Raises `UnreadableFieldError`."""
    if not isinstance(body, dict):
        raise UnreadableFieldError("no object")
    nodes = body.get(EventField.NODES)
    if nodes is None:
        return None
    if not isinstance(nodes, dict):
        raise UnreadableFieldError("nodes: no object")
    is_full, items = nodes.get(EventField.IS_FULL_LIST), nodes.get(EventField.ENDPOINTS)
    if is_full not in (None, True, False):
        raise UnreadableFieldError(f"nodes.reset: {shown(is_full)}")
    if items is None and not is_full:
        return None
    if not isinstance(items, list):
        raise UnreadableFieldError(f"nodes.instances: {shown(items)}")
    return items, bool(is_full)


class _ListReader:
    """Reads the items of one list, and gathers what can't be read of them."""

    def __init__(self, zones: dict[str, int], machine_types: dict[str, int], local_start: LocalStart) -> None:
        self.zones, self.machine_types, self.local_start = zones, machine_types, local_start
        self.changes: list[EndpointChange] = []
        self.problems: list[str] = []
        self.unknown_names: list[str] = []

    def read_item(self, index: int, item: Any) -> None:
        """Read one item; of one that can't be read, its name and state are kept if they can."""
        name, state = "", None
        try:
            if not isinstance(item, dict):
                raise UnreadableFieldError(shown(item))
            name = _read_field(item, EventField.EXECUTOR, read_text)
            state = _read_field(item, EventField.STATE, _known_name(ENDPOINT_STATES))
            self.changes.append(self._read_change(item, name, state))
        except UnreadableFieldError as exc:
            if state != EngineState.REMOVED:  # of which nothing more is needed
                messages = self.unknown_names if isinstance(exc, UnknownNameError) else self.problems
                separator = "." if isinstance(item, dict) else ": "
                messages.append(f"nodes.instances[{index}]{separator}{exc.reason}")
            if name:
                self.changes.append(EndpointChange(name, state))

    def _read_change(self, item: dict[str, Any], name: str, state: EngineState) -> EndpointChange:
        started_unix_ms = _read_field(item, EventField.STARTED_UNIX_MS, read_figure, 0.0)
        endpoint = EngineEndpoint(
            engine=name,
            state=state,
            zone=_read_field(item, EventField.ZONE, _known_name(self.zones)),
            kind=_read_field(item, EventField.MACHINE_TYPE, _known_name(self.machine_types)),
            cell=_read_field(item, EventField.CELL, read_count, 0),
            weight=_read_field(item, EventField.WEIGHT, read_figure, 1.0),
            started_ms=self.local_start(name, started_unix_ms),
        )
        return EndpointChange(name, state, endpoint, _read_field(item, EventField.ADDRESS, _read_address))


def _read_field(item: dict[str, Any], field: str, read: Callable[[Any], Any], default: Any = None) -> Any:
    value = item.get(field)
    if value is None and default is not None:
        return default
    try:
        return read(value)
    except ValueError:
        raise UnreadableFieldError(f"{field}: {shown(value)}") from None
    except KeyError:
        raise UnknownNameError(f"{field}: {shown(value)}") from None


def _known_name(table: dict[str, Any]) -> Callable[[Any], Any]:
    return lambda value: table[read_text(value)]


def _read_address(value: Any) -> Address:
    return parse_address(read_text(value))
