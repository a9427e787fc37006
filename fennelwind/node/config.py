"""What the platform tells a controller: the JSON file into the module's settings and the program's own.

The settings have the names and units of the bench's wire, so the adapter's reader reads them: the nested
object is laid flat into its pairs.
"""

import json
from dataclasses import dataclass
from typing import Any

from fennelwind import interface as api
from fennelwind.adapter import Fields, WireError, read_settings
from fennelwind.loop.streams import Address, parse_address

FILE_MOST = 16_000_000  # bytes of the file; it holds hundreds of executors at most


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
    settings: api.Settings
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


def _names(settings: dict[str, Any], field: str) -> dict[str, int]:
    """Return the places of the named things of a list, by their names as clients and events say them."""
    listed = settings.get(field) or []
    return {entry["Name"] if isinstance(entry, dict) else str(entry): place
            for place, entry in enumerate(listed)}


def read_config(text: str) -> NodeConfig:
    """Read the file's text. Raises `ConfigError`."""
    if len(text) > FILE_MOST:
        raise ConfigError("the file is too large")
    try:
        told = json.loads(text)
        stated, limits, known = told["settings"], told["limits"], told.get("known") or {}
        pairs = flatten(stated)
        return NodeConfig(
            name=str(told["name"]), listen=parse_address(told["listen"]),
            channel=parse_address(told["channel"]), seed=int(str(told["seed"]), 16),
            cores=float(limits.get("cores", 1.0)), memory_mb=float(limits["memory_mb"]),
            sockets=int(limits["sockets"]),
            settings=read_settings(Fields("settings", [f"{k}={v}" for k, v in pairs.items()])),
            classes=_names(stated, "Grades"), tenants=_names(stated, "Projects"),
            zones=_names(stated, "Zones"), kinds=_names(stated, "Kinds"),
            idle_ms=float(pairs.get("Ceilings.ConnIdleMs", 15000.0)),
            dial_ms=float(pairs.get("Ceilings.DialTimeoutMs", 250.0)),
            most_open=int(pairs.get("Ceilings.MaxOpen", 20000)),
            cursor=int(known.get("cursor", 0)), events=tuple(known.get("cmds") or ()))
    except (KeyError, TypeError, ValueError, AttributeError, WireError, RecursionError) as exc:
        raise ConfigError(f"{type(exc).__name__}: {exc}") from None
