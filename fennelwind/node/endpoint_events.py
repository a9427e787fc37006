"""Parses command channel events: full endpoint lists and changes to the list. No I/O and no clock.

Each field is parsed independently, since an event may be damaged in one place only. The readable parts are
returned together with the fields that can't be read. `endpoint_watch` decides whether to request such an
event again. Nothing that an event contains makes `parse_event` or `read_list` raise.
"""

import json
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from fennelwind.loop.streams import Address, parse_address
from fennelwind.node.http1 import ServerEvent
from fennelwind.node.json_fields import JsonValueError, abbreviate, read_count, read_number, read_text
from fennelwind.node.wire_names import ENDPOINT_STATES, EventField
from fennelwind.policy import EngineEndpoint, EngineState

# Converts an executor's name and reported start (ms since 1970, 0 if long ago) to ms of the loop's clock.
StartTimeConverter = Callable[[str, float], float]


class UnreadableFieldError(Exception):
    """A field that can't be read."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class UnknownNameError(UnreadableFieldError):
    """A field that names an unknown zone, machine type or state."""


@dataclass(slots=True, frozen=True)
class EndpointChange:
    """An event's item on one executor; `endpoint` is None if only the name or state can be read."""

    name: str
    state: EngineState | None  # None if the state is unknown
    endpoint: EngineEndpoint | None = None
    address: Address | None = None


@dataclass(slots=True, frozen=True)
class EndpointListEvent:
    """The readable part of an event's list of executors."""

    is_full: bool = False  # if true, executors that are not in the list are removed
    changes: tuple[EndpointChange, ...] = ()
    problems: tuple[str, ...] = ()  # fields that can't be read, by their paths
    unknown_names: tuple[str, ...] = ()  # fields that name an unknown zone, machine type or state


@dataclass(slots=True, frozen=True)
class NumberedEvent:
    """An event's number and parsed JSON, and the problem if either is invalid."""

    number: int | None  # None if it can't be read
    body: Any
    problem: str = ""


def parse_event(event: ServerEvent) -> NumberedEvent:
    """Parse an event's JSON and its number, which is both the event's id and the cursor in its JSON."""
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
        return NumberedEvent(event.number, body, f"cursor: {abbreviate(stated)}")
    if event.number is None or event.number == cursor:
        return NumberedEvent(cursor, body)
    return NumberedEvent(min(event.number, cursor), body, f"its cursor is {cursor}")


def read_cursor(body: dict[str, Any]) -> int:
    """Return the number of an event that the configuration holds. Raises `JsonValueError` or `KeyError`."""
    return read_count(body[EventField.CURSOR])


def read_list(
    body: Any,
    zones: dict[str, int],
    machine_types: dict[str, int],
    convert_start_time: StartTimeConverter = lambda _, started_ms: started_ms,
) -> EndpointListEvent:
    """Parse an event's list of executors; return an empty `EndpointListEvent` if the event has no list."""
    try:
        found = _find_list(body)
    except UnreadableFieldError as exc:
        return EndpointListEvent(problems=(exc.reason,))
    if found is None:
        return EndpointListEvent()
    items, is_full = found
    reader = _ListReader(zones, machine_types, convert_start_time)
    for index, item in enumerate(items):
        reader.read_item(index, item)
    # An item without a readable name may mean any executor, so no executor counts as missing from the list.
    is_full = is_full and len(reader.changes) == len(items)
    return EndpointListEvent(
        is_full, tuple(reader.changes), tuple(reader.problems), tuple(reader.unknown_names)
    )


def _find_list(body: Any) -> tuple[list[Any], bool] | None:
    """Return (items, is_full), or None if there is no list. Raises `UnreadableFieldError`."""
    if not isinstance(body, dict):
        raise UnreadableFieldError("no object")
    nodes = body.get(EventField.NODES)
    if nodes is None:
        return None
    if not isinstance(nodes, dict):
        raise UnreadableFieldError("nodes: no object")
    is_full, items = nodes.get(EventField.IS_FULL_LIST), nodes.get(EventField.ENDPOINTS)
    if is_full not in (None, True, False):
        raise UnreadableFieldError(f"nodes.reset: {abbreviate(is_full)}")
    if items is None and not is_full:
        return None
    if not isinstance(items, list):
        raise UnreadableFieldError(f"nodes.instances: {abbreviate(items)}")
    return items, bool(is_full)


class _ListReader:
    """Parses the items of one list and collects the fields that can't be read."""

    def __init__(
        self, zones: dict[str, int], machine_types: dict[str, int], convert_start_time: StartTimeConverter
    ) -> None:
        self.zones, self.machine_types, self.convert_start_time = zones, machine_types, convert_start_time
        self.changes: list[EndpointChange] = []
        self.problems: list[str] = []
        self.unknown_names: list[str] = []

    def read_item(self, index: int, item: Any) -> None:
        """Parse one item; if that fails, keep its name and state as far as they are readable."""
        name, state = "", None
        try:
            if not isinstance(item, dict):
                raise UnreadableFieldError(abbreviate(item))
            name = _read_field(item, EventField.EXECUTOR, read_text)
            state = _read_field(item, EventField.STATE, _name_reader(ENDPOINT_STATES))
            self.changes.append(self._read_change(item, name, state))
        except UnreadableFieldError as exc:
            if state != EngineState.REMOVED:  # a removal needs no other field
                messages = self.unknown_names if isinstance(exc, UnknownNameError) else self.problems
                separator = "." if isinstance(item, dict) else ": "
                messages.append(f"nodes.instances[{index}]{separator}{exc.reason}")
            if name:
                self.changes.append(EndpointChange(name, state))

    def _read_change(self, item: dict[str, Any], name: str, state: EngineState) -> EndpointChange:
        started_unix_ms = _read_field(item, EventField.STARTED_UNIX_MS, read_number, 0.0)
        endpoint = EngineEndpoint(
            engine=name,
            state=state,
            zone=_read_field(item, EventField.ZONE, _name_reader(self.zones)),
            kind=_read_field(item, EventField.MACHINE_TYPE, _name_reader(self.machine_types)),
            cell=_read_field(item, EventField.CELL, read_count, 0),
            weight=_read_field(item, EventField.WEIGHT, read_number, 1.0),
            started_ms=self.convert_start_time(name, started_unix_ms),
        )
        return EndpointChange(name, state, endpoint, _read_field(item, EventField.ADDRESS, _read_address))


def _read_field(item: dict[str, Any], field: str, read: Callable[[Any], Any], default: Any = None) -> Any:
    value = item.get(field)
    if value is None and default is not None:
        return default
    try:
        return read(value)
    except ValueError:
        raise UnreadableFieldError(f"{field}: {abbreviate(value)}") from None
    except KeyError:
        raise UnknownNameError(f"{field}: {abbreviate(value)}") from None


def _name_reader(table: dict[str, Any]) -> Callable[[Any], Any]:
    return lambda value: table[read_text(value)]


def _read_address(value: Any) -> Address:
    return parse_address(read_text(value))
