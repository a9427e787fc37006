"""Reads the platform's configuration file (JSON) into the policy's settings and the controller's own.

`lifecycle` reads the file at startup and at each SIGHUP. The file's settings have the names and units of the
simulator's wire, so the nested object is flattened into name-value pairs and parsed by `simulator_wire`. Any
error raises `ConfigError`, which names the field by its path in the file; no file is applied in part.
"""

import json
import re
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from fennelwind import policy
from fennelwind.loop.streams import Address, parse_address
from fennelwind.node.endpoint_events import read_list
from fennelwind.node.json_fields import JsonValueError, abbreviate, read_count, read_number, read_text
from fennelwind.simulator_wire import Fields, WireError, read_settings

MAX_FILE_LENGTH = 16_000_000  # characters in the file; it lists at most hundreds of executors
MIN_DESCRIPTORS = 16  # fewer can't hold listener, log, command channel, clients and executors together
MIN_POSITIVE = 1e-300  # the smallest number that counts as positive
REQUIRED = object()  # marks a field that has no default
# The file's field for each setting name in the policy's errors; a class field's path also has the index.
SETTING_FIELDS = {
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
CLASS_SETTING_FIELDS = {
    "latency_objective_ms": "AimMs",
    "client_timeout_ms": "GiveUpMs",
    "priority_weight": "Points",
}


class ConfigError(Exception):
    """The file is invalid; the message names the field and the reason."""


@dataclass(slots=True, frozen=True)
class ConnectionSettings:
    """Settings that the policy does not use: connections to executors and the maximum of open queries."""

    executor_idle_timeout_ms: float  # executors close idle connections after this time
    connect_timeout_ms: float  # after this time, establishing a connection is given up
    max_open_queries: int


@dataclass(slots=True, frozen=True)
class NodeConfig:
    """The contents of one configuration file."""

    name: str
    listen: Address
    channel: Address
    seed: int
    cores: float
    memory_mb: float
    max_descriptors: int
    settings: policy.Settings
    connections: ConnectionSettings
    classes: dict[str, int]  # index in the settings by name, as in the next three fields
    tenants: dict[str, int]
    zones: dict[str, int]
    machine_types: dict[str, int]
    known_cursor: int
    known_events: tuple[dict[str, Any], ...]  # command channel events that the file already contains


def flatten(value: Any, path: str = "") -> dict[str, str]:
    """Flatten a nested object into the pairs that the simulator's wire has.

    A list of scalars becomes one comma-separated value. A list of objects becomes a `.count` field, and the
    fields of its items have the item's index in their path.
    """
    if isinstance(value, dict):
        pairs: dict[str, str] = {}
        for name, inner in value.items():
            pairs |= flatten(inner, f"{path}.{name}" if path else str(name))
        return pairs
    if isinstance(value, list):
        if any(isinstance(inner, dict) for inner in value):
            pairs = {f"{path}.count": str(len(value))}
            for index, inner in enumerate(value):
                pairs |= flatten(inner, f"{path}.{index}")
            return pairs
        return {path: ",".join(_format_scalar(inner) for inner in value)}
    return {} if value is None else {path: _format_scalar(value)}


def _format_scalar(value: Any) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    return str(value).replace(" ", "_").replace(",", "_")


def _read_field(
    parent: dict[str, Any], path: str, read: Callable[[Any], Any], default: Any = REQUIRED
) -> Any:
    """Return the field that the path's last part names, or the default. Raises `ConfigError`."""
    value = parent.get(path.rpartition(".")[2])
    if value is None:
        if default is REQUIRED:
            raise ConfigError(f"{path} is missing")
        return default
    try:
        return read(value)
    except (ValueError, TypeError, AttributeError):
        raise ConfigError(f"{path} can't be used: {abbreviate(value)}") from None


def _read_object(value: Any) -> dict[str, Any]:
    if not isinstance(value, dict):
        raise JsonValueError(value)
    return value


def _read_items(value: Any) -> list[Any]:
    if not isinstance(value, list):
        raise JsonValueError(value)
    return value


def _read_positive(value: Any) -> float:
    if not read_number(value):
        raise JsonValueError(value)
    return float(value)


def _read_descriptors(value: Any) -> int:
    if read_count(value) < MIN_DESCRIPTORS:
        raise JsonValueError(value)
    return int(value)


def _read_names(settings: dict[str, Any], field: str) -> dict[str, int]:
    """Return the indexes of a list's items by name, since clients and events refer to items by name."""
    names: dict[str, int] = {}
    for index, entry in enumerate(_read_field(settings, f"settings.{field}", _read_items, [])):
        path = f"settings.{field}[{index}]"
        if isinstance(entry, dict):
            path += ".Name"
            name = _read_field(entry, path, read_text)
        elif entry is None or isinstance(entry, list):
            raise ConfigError(f"{path} can't be used: {abbreviate(entry)}")
        else:
            name = str(entry)
        if name in names:
            raise ConfigError(f"{path}: {abbreviate(name)} is listed twice")
        names[name] = index
    return names


def _path_in_file(field: str) -> str:
    """Return the path in the file that a flattened field has."""
    return "settings." + re.sub(r"\.(\d+)(?=\.|$)", r"[\1]", field).removesuffix(".count")


def _read_policy_settings(pairs: dict[str, str]) -> tuple[policy.Settings, ConnectionSettings]:
    """Return the policy's settings and those on connections. Raises `ConfigError`."""
    fields = Fields("settings", [f"{name}={value}" for name, value in pairs.items()])
    try:
        settings = read_settings(fields)
        connections = ConnectionSettings(
            executor_idle_timeout_ms=fields.get("Ceilings.ConnIdleMs", _parse_positive, 15000.0),
            connect_timeout_ms=fields.get("Ceilings.DialTimeoutMs", _parse_positive, 250.0),
            max_open_queries=fields.get(
                "Ceilings.MaxOpen", lambda text: read_count(_parse_positive(text)), 20000
            ),
        )
        return settings, connections
    except WireError as exc:
        found = re.search(r"field (\S+) (.+)", str(exc))
        raise ConfigError(
            f"{_path_in_file(found[1])} {found[2]}" if found is not None else str(exc)
        ) from None
    except ValueError as exc:  # the file was parsed, but the policy rejects a value
        found = re.fullmatch(r"setting (\w+) is unusable", str(exc))
        name = found[1] if found is not None else ""
        if name in CLASS_SETTING_FIELDS:
            raise ConfigError(f"{_rejected_class_field(pairs, name)} can't be used") from None
        raise ConfigError(f"settings.{SETTING_FIELDS.get(name, name)} can't be used: {exc}") from None


def _parse_positive(text: str) -> float:
    return _read_positive(float(text))


def _rejected_class_field(pairs: dict[str, str], name: str) -> str:
    """Return the path of the first class field of that name whose value the policy rejects."""
    field, minimum = CLASS_SETTING_FIELDS[name], 0.0 if name == "priority_weight" else MIN_POSITIVE
    return next(
        _path_in_file(flat)
        for flat, text in pairs.items()
        if re.fullmatch(rf"Grades\.\d+\.{field}", flat) and float(text) < minimum
    )


def _read_known_events(
    known: dict[str, Any], zones: dict[str, int], machine_types: dict[str, int]
) -> tuple[dict[str, Any], ...]:
    """Return the events. Endpoints in an unknown zone are allowed here and skipped on applying."""
    events = _read_field(known, "known.cmds", _read_items, [])
    for index, event in enumerate(events):
        path = f"known.cmds[{index}]"
        if not isinstance(event, dict):
            raise ConfigError(f"{path} can't be used: {abbreviate(event)}")
        _read_field(event, f"{path}.cursor", read_count)
        for problem in read_list(event, zones, machine_types).problems:
            raise ConfigError(f"{path}.{problem} can't be used")
    return tuple(events)


def read_config(text: str) -> NodeConfig:
    """Parse the file's text. Raises `ConfigError`, which names the field."""
    if len(text) > MAX_FILE_LENGTH:
        raise ConfigError("the file is too large")
    try:
        return _read_document(json.loads(text))
    except RecursionError:
        raise ConfigError("the file is nested too deeply") from None
    except ValueError as exc:
        raise ConfigError(f"the file is no JSON: {exc}") from None


def _read_document(document: Any) -> NodeConfig:
    if not isinstance(document, dict):
        raise ConfigError(f"the file does not contain a JSON object: {abbreviate(document)}")
    settings_object, limits = (
        _read_field(document, "settings", _read_object),
        _read_field(document, "limits", _read_object),
    )
    known = _read_field(document, "known", _read_object, {})
    settings, connections = _read_policy_settings(flatten(settings_object))
    zones, machine_types = _read_names(settings_object, "Zones"), _read_names(settings_object, "Kinds")
    return NodeConfig(
        name=_read_field(document, "name", read_text),
        listen=_read_field(document, "listen", parse_address),
        channel=_read_field(document, "channel", parse_address),
        seed=_read_field(document, "seed", lambda seed: int(str(seed), 16)),
        cores=_read_field(limits, "limits.cores", _read_positive, 1.0),
        memory_mb=_read_field(limits, "limits.memory_mb", _read_positive),
        max_descriptors=_read_field(limits, "limits.sockets", _read_descriptors),
        settings=settings,
        connections=connections,
        classes=_read_names(settings_object, "Grades"),
        tenants=_read_names(settings_object, "Projects"),
        zones=zones,
        machine_types=machine_types,
        known_cursor=_read_field(known, "known.cursor", read_count, 0),
        known_events=_read_known_events(known, zones, machine_types),
    )
