"""What the platform tells a controller: the JSON file into the module's settings and the program's own.

The settings have the names and units of the bench's wire, so the adapter's reader reads them: the nested
object is laid flat into its pairs.
"""

import json
import re
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from fennelwind import policy
from fennelwind.loop.streams import Address, parse_address
from fennelwind.node.endpoint_watch import as_figure, as_text, as_whole, read_list, shown
from fennelwind.simulator_wire import Fields, WireError, read_settings

FILE_MOST = 16_000_000  # letters of the file; it holds hundreds of executors at most
SOCKETS_LEAST = 16  # descriptors; fewer hold no listener, log, channel, client and executor beside each other
MISSING = object()
# The names of the module's own checks in the file; those of a class have their place in the list before them.
CHECKED = {
    "classes": "Grades",
    "gateway_count": "Balancers",
    "max_attempts": "Ceilings.MaxAttempts",
    "resolution_ms": "ResolutionMs",
    "kind_cores": "FamilyInfo.KindCores",
    "max_retry_after_ms": "Ceilings.MaxRetryAfterMs",
    "drain_grace_ms": "Rules.DrainGraceMs",
    "cold_capacity_share": "Rules.ColdShare",
    "slow_start_ms": "Rules.RampTimeMs",
    "overload_multiple": "Rules.FallMultiple",
    "overload_window_ms": "Rules.OverloadForMs",
    "unresolved_hold_ms": "Rules.SettleAfterDoubtMs",
    "retry_budget_free": "Rules.ExtraFloor",
    "retry_budget_share": "Rules.FurtherRatio",
    "retry_budget_window_ms": "Rules.LookBackMs",
    "answer_slack_ms": "Rules.AnswerSlackMs",
    "threads": "FamilyInfo.WidthByClass",
}
CHECKED_OF_CLASS = {
    "latency_objective_ms": "AimMs",
    "client_timeout_ms": "GiveUpMs",
    "priority_weight": "Points",
}


class ConfigError(Exception):
    """The file can't be used; the text says why."""


@dataclass(slots=True, frozen=True)
class NodeConfig:
    """One reading of the file."""

    name: str
    listen: Address
    channel: Address
    seed: int
    cores: float
    memory_mb: float
    sockets: int
    settings: policy.Settings
    classes: dict[str, int]
    tenants: dict[str, int]
    zones: dict[str, int]
    kinds: dict[str, int]
    idle_ms: float  # idle connections to executors are closed by them after this time
    dial_ms: float  # a connection that is not there in this time won't come
    most_open: int
    cursor: int
    events: tuple[dict[str, Any], ...]  # of the command channel, up to now


def flatten(value: Any, path: str = "") -> dict[str, str]:
    """Lay a nested object flat, as the wire does: lists of plain values with commas, others with a count."""
    if isinstance(value, dict):
        pairs: dict[str, str] = {}
        for name, inner in value.items():
            pairs |= flatten(inner, f"{path}.{name}" if path else str(name))
        return pairs
    if isinstance(value, list):
        if any(isinstance(inner, dict) for inner in value):
            pairs = {f"{path}.count": str(len(value))}
            for place, inner in enumerate(value):
                pairs |= flatten(inner, f"{path}.{place}")
            return pairs
        return {path: ",".join(_plain(inner) for inner in value)}
    return {} if value is None else {path: _plain(value)}


def _plain(value: Any) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    return str(value).replace(" ", "_").replace(",", "_")


def _get(holder: dict[str, Any], path: str, read: Callable[[Any], Any], default: Any = MISSING) -> Any:
    """Return the field at the end of the path, read as told; absent ones take the default if there is one."""
    value = holder.get(path.rpartition(".")[2])
    if value is None:
        if default is MISSING:
            raise ConfigError(f"{path} is missing")
        return default
    try:
        return read(value)
    except (ValueError, TypeError, AttributeError):
        raise ConfigError(f"{path} can't be used: {shown(value)}") from None


def _as_object(value: Any) -> dict[str, Any]:
    if not isinstance(value, dict):
        raise ValueError(value)
    return value


def _as_list(value: Any) -> list[Any]:
    if not isinstance(value, list):
        raise ValueError(value)
    return value


def _above_zero(value: Any) -> float:
    if not as_figure(value):
        raise ValueError(value)
    return float(value)


def _descriptors(value: Any) -> int:
    if as_whole(value) < SOCKETS_LEAST:
        raise ValueError(value)
    return int(value)


def _names(settings: dict[str, Any], field: str) -> dict[str, int]:
    """Return the places of the named things of a list, by their names as clients and events say them."""
    names: dict[str, int] = {}
    for place, entry in enumerate(_get(settings, f"settings.{field}", _as_list, [])):
        path = f"settings.{field}[{place}]"
        if isinstance(entry, dict):
            path += ".Name"
            name = _get(entry, path, as_text)
        elif entry is None or isinstance(entry, list):
            raise ConfigError(f"{path} can't be used: {shown(entry)}")
        else:
            name = str(entry)
        if name in names:
            raise ConfigError(f"{path}: {shown(name)} is there twice")
        names[name] = place
    return names


def _in_file(field: str) -> str:
    """Return the path in the file of a field laid flat."""
    return "settings." + re.sub(r"\.(\d+)(?=\.|$)", r"[\1]", field).removesuffix(".count")


def _settings(pairs: dict[str, str]) -> tuple[policy.Settings, float, float, int]:
    """Return the module's settings, and of the program's own those on idle, new and open connections."""
    fields = Fields("settings", [f"{name}={value}" for name, value in pairs.items()])
    try:
        settings = read_settings(fields)
        return (
            settings,
            fields.get("Ceilings.ConnIdleMs", _positive, 15000.0),
            fields.get("Ceilings.DialTimeoutMs", _positive, 250.0),
            fields.get("Ceilings.MaxOpen", lambda text: as_whole(_positive(text)), 20000),
        )
    except WireError as exc:
        found = re.search(r"field (\S+) (.+)", str(exc))
        raise ConfigError(f"{_in_file(found[1])} {found[2]}" if found is not None else str(exc)) from None
    except ValueError as exc:  # it can be read, but no decision can be built on it
        found = re.fullmatch(r"setting (\w+) is unusable", str(exc))
        name = found[1] if found is not None else ""
        if name in CHECKED_OF_CLASS:
            raise ConfigError(f"{_class_field(pairs, name)} can't be used") from None
        raise ConfigError(f"settings.{CHECKED.get(name, name)} can't be used: {exc}") from None


def _positive(text: str) -> float:
    return _above_zero(float(text))


def _class_field(pairs: dict[str, str], name: str) -> str:
    """Return the path of the first class's field that the module's check of that name refuses."""
    field, least = CHECKED_OF_CLASS[name], 0.0 if name == "priority_weight" else 1e-300
    return next(
        _in_file(flat)
        for flat, text in pairs.items()
        if re.fullmatch(rf"Grades\.\d+\.{field}", flat) and float(text) < least
    )


def _events(
    known: dict[str, Any], zones: dict[str, int], kinds: dict[str, int]
) -> tuple[dict[str, Any], ...]:
    """Return the events, of which all can be read; who is in a zone unknown here is left out when taken."""
    events = _get(known, "known.cmds", _as_list, [])
    for place, event in enumerate(events):
        path = f"known.cmds[{place}]"
        if not isinstance(event, dict):
            raise ConfigError(f"{path} can't be used: {shown(event)}")
        _get(event, f"{path}.cursor", as_whole)
        for wrong in read_list(event, zones, kinds).wrong:
            raise ConfigError(f"{path}.{wrong} can't be used")
    return tuple(events)


def read_config(text: str) -> NodeConfig:
    """Read the file's text. Raises `ConfigError`, which names the field."""
    if len(text) > FILE_MOST:
        raise ConfigError("the file is too large")
    try:
        return _read(json.loads(text))
    except RecursionError:
        raise ConfigError("the file is nested too deeply") from None
    except ValueError as exc:
        raise ConfigError(f"the file is no JSON: {exc}") from None


def _read(told: Any) -> NodeConfig:
    if not isinstance(told, dict):
        raise ConfigError(f"the file holds no object: {shown(told)}")
    stated, limits = _get(told, "settings", _as_object), _get(told, "limits", _as_object)
    known = _get(told, "known", _as_object, {})
    settings, idle_ms, dial_ms, most_open = _settings(flatten(stated))
    zones, kinds = _names(stated, "Zones"), _names(stated, "Kinds")
    return NodeConfig(
        name=_get(told, "name", as_text),
        listen=_get(told, "listen", parse_address),
        channel=_get(told, "channel", parse_address),
        seed=_get(told, "seed", lambda seed: int(str(seed), 16)),
        cores=_get(limits, "limits.cores", _above_zero, 1.0),
        memory_mb=_get(limits, "limits.memory_mb", _above_zero),
        sockets=_get(limits, "limits.sockets", _descriptors),
        settings=settings,
        classes=_names(stated, "Grades"),
        tenants=_names(stated, "Projects"),
        zones=zones,
        kinds=kinds,
        idle_ms=idle_ms,
        dial_ms=dial_ms,
        most_open=most_open,
        cursor=_get(known, "known.cursor", as_whole, 0),
        events=_events(known, zones, kinds),
    )
