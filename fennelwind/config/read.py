"""Reads and checks settings. Everything that decides has to be stated; problems are all told at once.

`text` parses it and knows where each field stands; the values are checked here against one another.
"""

import re
import ssl
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from fennelwind import policy
from fennelwind.config import settings_pb2 as pb
from fennelwind.config.text import FieldPath, Places, Problem, SettingsError, parse
from fennelwind.config.tls import TlsError, client_context, server_context
from fennelwind.config.users import User, UsersError, load_users
from fennelwind.loop.streams import Address, parse_address

LISTENER = (
    "max_connections",
    "max_sessions",
    "max_operations",
    "idle_ms",
    "long_poll_ms",
    "max_request_bytes",
    "max_connections_per_address",
    "max_sessions_per_user",
    "max_bytes_per_s_per_user",
)
LINKS = ("max_links", "connect_ms", "idle_ms", "page_rows", "max_result_bytes")
RULES = (
    "answer_margin_ms",
    "answer_margin_most_ms",
    "drain_grace_ms",
    "cold_share",
    "cold_ms",
    "fall_multiple",
    "fall_ms",
    "settle_ms",
    "budget_free",
    "budget_share",
    "budget_ms",
    "max_attempts",
    "cancel",
    "parallel",
    "max_retry_after_ms",
)
CLASS = ("aim_ms", "give_up_ms", "worth", "threads")
AT_LEAST_ONE = {
    "max_connections_per_address",
    "max_sessions_per_user",
    "max_connections",
    "max_sessions",
    "max_operations",
    "max_request_bytes",
    "max_links",
    "page_rows",
    "max_result_bytes",
    "max_attempts",
    "threads",
    "cores",
    "gateways",
    "max_open",
}
ABOVE_ZERO = {
    "answer_margin_ms",
    "aim_ms",
    "give_up_ms",
    "idle_ms",
    "long_poll_ms",
    "connect_ms",
    "cold_share",
    "heartbeat_ms",
    "election_ms",
    "handover_ms",
}
COUNCIL = ("heartbeat_ms", "election_ms", "handover_ms")
MEMBERS = (3, 5, 7)  # an even number stands no more losses than the odd one below it
BEATS_LEAST = 3  # heartbeats in an election time-out: one that is lost or late must elect nobody
NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")  # of fleets and members: they stand in logs and files


@dataclass(slots=True, frozen=True)
class Council:
    """Who this controller is towards the agreed record."""

    fleet: str
    me: str
    members: dict[str, Address]
    folder: Path | None  # of the record; None: a follower
    listen: Address | None
    heartbeat_ms: float
    election_ms: float
    handover_ms: float
    reserve_bytes: int


@dataclass(slots=True, frozen=True)
class Selector:
    """What a query has to be like to belong to a class."""

    cls: int
    user: str
    statement: re.Pattern[str] | None
    configuration: tuple[tuple[str, str], ...]

    def matches(self, user: str, statement: str, configuration: dict[str, str]) -> bool:
        """Tell whether everything stated matches."""
        return (
            (not self.user or self.user == user)
            and (self.statement is None or self.statement.match(statement) is not None)
            and all(configuration.get(key) == value for key, value in self.configuration)
        )


@dataclass(slots=True, frozen=True)
class Controller:
    """A controller's settings, checked: what the module is told, and what the program around it needs."""

    module: policy.Settings
    file: pb.Settings
    listen: Address
    selectors: tuple[Selector, ...]
    tenants_by_user: dict[str, int]
    engines: tuple[policy.EngineEndpoint, ...]
    discovery: Address | None
    zones: tuple[str, ...]
    kinds: tuple[str, ...]
    metrics: Address | None  # where metrics and health are told
    http: Address | None  # where Thrift over HTTP is served
    folder: Path  # where files that the settings name are
    tls: ssl.SSLContext | None  # of the listener; None: no TLS
    engines_tls: ssl.SSLContext | None  # of links to engines
    users: dict[str, User] | None  # who may come in; None: all are believed
    metadata_class: int | None  # the class of metadata calls; None: they are not served
    council: Council | None  # None: nothing of it is loaded

    def class_of(self, user: str, statement: str, configuration: dict[str, str]) -> int | None:
        """Return the position of the class of the first selector that matches, if one does."""
        return next((s.cls for s in self.selectors if s.matches(user, statement, configuration)), None)


def load(path: str | Path) -> Controller:
    """Read settings from a file. Raises `SettingsError`, and `OSError` if it can't be read."""
    raw = Path(path).read_bytes()
    try:
        text = raw.decode("utf-8")
    except UnicodeDecodeError as exc:
        line = raw[: exc.start].count(b"\n") + 1
        raise SettingsError(str(path), [Problem(line, 1, "bytes that are not UTF-8")]) from None
    return read(text, str(path), Path(path).parent)


def read(text: str, name: str = "settings", folder: Path = Path()) -> Controller:
    """Read settings from text; files that it names are looked for in the folder. Raises `SettingsError`."""
    message = pb.Settings()
    places = parse(text, name, message)
    check = _Check(message, places, folder)
    controller = check.controller()
    if check.problems or controller is None:
        raise SettingsError(name, check.problems)
    return controller


class _Check(Places):
    """Checks a parsed message and turns it into settings."""

    def __init__(self, message: pb.Settings, places: dict[FieldPath, tuple[int, int]], folder: Path) -> None:
        super().__init__(places)
        self.file, self.folder = message, folder

    def stated(self, path: FieldPath, message: Any, names: tuple[str, ...]) -> None:
        """Check that numbers are stated and in their range."""
        for label in names:
            value = getattr(message, label)
            if not message.HasField(label):
                self.wrong(path, f"{label}: has to be stated")
            elif isinstance(value, bool):
                continue
            elif value != value or abs(value) == float("inf"):
                self.wrong((*path, label), f"{label}: {value} is no number")
            elif label in AT_LEAST_ONE and value < 1:
                self.wrong((*path, label), f"{label}: {value:g}, where at least 1 is needed")
            elif value < 0 or label in ABOVE_ZERO and value == 0:
                self.wrong((*path, label), f"{label}: {value:g} is too small")

    def names(self, field: str, values: list[str]) -> None:
        """Check that names are there and differ."""
        for i, value in enumerate(values):
            if not value:
                self.wrong((field, i), f"{field}: a name is missing")
            elif value in values[:i]:
                self.wrong((field, i), f"{field}: the name {value!r} stands twice")

    def find(self, path: FieldPath, what: str, value: str, known: list[str]) -> int:
        """Return the position of a name; note it if it is unknown."""
        if value in known:
            return known.index(value)
        said = ", ".join(known) or "none are stated"
        label = path[-1] if isinstance(path[-1], str) else path[-2]
        self.wrong(path, f"{label}: no {what} {value!r}; known: {said}")
        return 0

    def address(self, path: FieldPath, text: str) -> Address:
        """Read an address; note what is wrong with it."""
        try:
            return parse_address(text)
        except ValueError as exc:
            self.wrong(path, f"{path[-1]}: {exc}")
            return Address("", 0)

    def controller(self) -> Controller | None:
        """Check everything; return the settings, or None if the module itself refuses them."""
        f = self.file
        zones, kinds = list(f.zones) or ["default"], [k.name for k in f.kinds]
        classes, tenants = [c.name for c in f.classes], [t.name for t in f.tenants]
        self.names("classes", classes)
        self.names("kinds", kinds)
        self.names("zones", list(f.zones))
        self.names("tenants", tenants)
        for label, there in (("classes", f.classes), ("kinds", f.kinds), ("selectors", f.selectors)):
            if not there:
                self.wrong((), f"{label}: at least one has to be stated")
        if not f.engines and not f.discovery.address:
            self.wrong((), "engines: neither engines nor a discovery are stated")
        self.stated((), f, ("gateways", "me", "max_open"))
        if f.me >= max(f.gateways, 1):
            self.wrong(("me",), f"me: {f.me}, where gateways: {f.gateways} are counted from 0")
        self.stated(("listener",), f.listener, LISTENER)
        self.stated(("links",), f.links, LINKS)
        self.stated(("rules",), f.rules, RULES)
        self.stated(("traits",), f.traits, ("memory_grants", "priorities", "note_ms", "tells_cost"))
        if f.rules.answer_margin_most_ms < f.rules.answer_margin_ms:
            path: FieldPath = ("rules", "answer_margin_most_ms")
            self.wrong(path, "answer_margin_most_ms: less than answer_margin_ms")
        if not f.traits.when_short_of_memory:
            self.wrong(("traits",), "when_short_of_memory: has to be stated")
        if not f.links.transport:
            self.wrong(("links",), "transport: has to be stated")
        if f.tenants:
            self.stated((), f, ("over_share_worth",))
        if f.zone and f.zone not in zones:
            self.find(("zone",), "zone", f.zone, zones)
        query_classes = tuple(self._class(i, c, zones, kinds) for i, c in enumerate(f.classes))
        for i, kind in enumerate(f.kinds):
            self.stated(("kinds", i), kind, ("cores",))
        by_user: dict[str, int] = {}
        for i, tenant in enumerate(f.tenants):
            self.stated(("tenants", i), tenant, ("quota_per_s",))
            for j, user in enumerate(tenant.users):
                if user in by_user:
                    self.wrong(("tenants", i, "users", j), f"users: {user!r} belongs to two tenants")
                by_user[user] = i
        selectors = tuple(self._selector(i, s, classes) for i, s in enumerate(f.selectors))
        engines = tuple(self._engine(i, e, zones, kinds) for i, e in enumerate(f.engines))
        listen = self.address(("listener", "address"), f.listener.address)
        metrics = self.address(("metrics_address",), f.metrics_address) if f.metrics_address else None
        asked = f.listener.http_address
        http = self.address(("listener", "http_address"), asked) if asked else None
        users = self._users(classes) if f.listener.users_file else None
        tls = self._tls(
            ("listener", "tls_certificate"), server_context, f.listener.tls_certificate, f.listener.tls_key
        )
        engines_tls = self._tls(("links", "tls_authorities"), client_context, f.links.tls_authorities)
        metadata = None
        if f.metadata_class:
            metadata = self.find(("metadata_class",), "class", f.metadata_class, classes)
        asked = f.discovery.address
        discovery = self.address(("discovery", "address"), asked) if asked else None
        if discovery and not f.discovery.mode:
            self.wrong(("discovery",), "mode: has to be stated")
        council = self._council() if f.HasField("council") else None
        if f.HasField("moves"):
            self._moves(kinds)
        if self.problems:
            return None
        try:
            module = self._module(query_classes, zones)
        except ValueError as exc:
            self.wrong((), str(exc))
            return None
        return Controller(
            module,
            f,
            listen,
            selectors,
            by_user,
            engines,
            discovery,
            tuple(zones),
            tuple(kinds),
            metrics,
            http,
            self.folder,
            tls,
            engines_tls,
            users,
            metadata,
            council,
        )

    def _moves(self, kinds: list[str]) -> None:
        """Check what is to be moved where."""
        f, path = self.file, ("moves",)
        if not f.HasField("council"):
            self.wrong(path, "moves: needs the section council, whose record knows where copies are")
        if not f.moves.staging:
            self.wrong(path, "staging: a folder that all engines reach has to be stated")
        for label in ("streams_per_engine", "streams_per_link", "bytes_per_hour"):
            if not 0 <= getattr(f.moves, label) < float("inf"):
                self.wrong((*path, label), f"{label}: {getattr(f.moves, label):g} is too small")
        for i, kind in enumerate(f.kinds):
            if not 0 <= kind.headroom_bytes <= kind.disk_bytes:
                self.wrong(
                    ("kinds", i),
                    f"headroom_bytes: {kind.headroom_bytes}, where disk_bytes are {kind.disk_bytes}",
                )
        for i, shard in enumerate(f.moves.shards):
            place: FieldPath = (*path, "shards", i)
            if not shard.name.partition("/")[0] or "/" not in shard.name:
                self.wrong((*place, "name"), f"name: {shard.name!r} is no TABLE/PARTITION")
            elif any(shard.name == other.name for other in f.moves.shards[:i]):
                self.wrong((*place, "name"), f"name: {shard.name} stands twice")
            if shard.size_bytes <= 0:
                self.wrong(place, f"size_bytes: {shard.size_bytes} is too small")
            if shard.copies < 0 or not 0 <= shard.zones <= max(shard.copies, 1):
                self.wrong(place, f"zones: {shard.zones}, where {max(shard.copies, 1)} copies are wanted")
            for j, kind in enumerate(shard.kinds):
                self.find((*place, "kinds", j), "kind", kind, kinds)

    def _council(self) -> Council | None:
        """Check who keeps the record, and this controller's part in it."""
        c, path = self.file.council, ("council",)
        for label in ("fleet", "me"):
            if not NAME.fullmatch(getattr(c, label)):
                self.wrong(
                    (*path, label),
                    f"{label}: {getattr(c, label)!r}, where a name of letters, "
                    "digits, '.', '_' and '-' is needed, 64 at most",
                )
        if len(c.members) not in MEMBERS:
            self.wrong(path, f"members: {len(c.members)}, where 3, 5 or 7 are needed")
        members: dict[str, Address] = {}
        for i, member in enumerate(c.members):
            place: FieldPath = (*path, "members", i)
            address = self.address((*place, "address"), member.address)
            if not NAME.fullmatch(member.name):
                self.wrong((*place, "name"), f"name: {member.name!r} is no name")
            elif member.name in members:
                self.wrong((*place, "name"), f"name: {member.name!r} stands twice")
            elif address in members.values():
                self.wrong((*place, "address"), f"address: {member.address} stands twice")
            members[member.name] = address
        self.stated(path, c, COUNCIL)
        mine = c.me in members
        if mine and not c.folder:
            self.wrong((*path, "me"), f"folder: {c.me!r} is a member and needs a folder of its own")
        if not mine and c.folder:
            self.wrong((*path, "folder"), f"folder: {c.me!r} is no member and keeps no record")
        if mine:
            self.stated(path, c, ("reserve_bytes",))
        if c.election_ms < BEATS_LEAST * c.heartbeat_ms:
            self.wrong(
                (*path, "election_ms"),
                f"election_ms: {c.election_ms:g}, where {BEATS_LEAST} times heartbeat_ms are needed at least",
            )
        listen = self.address((*path, "listen"), c.listen) if c.listen else members.get(c.me)
        if self.problems:
            return None
        return Council(
            c.fleet,
            c.me,
            members,
            self.folder / c.folder if mine else None,
            listen if mine else None,
            c.heartbeat_ms,
            c.election_ms,
            c.handover_ms,
            c.reserve_bytes,
        )

    def _tls(
        self, path: FieldPath, make: Callable[..., ssl.SSLContext], *names: str
    ) -> ssl.SSLContext | None:
        if not any(names):
            return None
        if not all(names):
            self.wrong(path, f"{path[-1]}: a certificate and its key are stated together")
            return None
        try:
            return make(*(self.folder / name for name in names))
        except TlsError as exc:
            self.wrong(path, f"{path[-1]}: {exc}")
            return None

    def _users(self, classes: list[str]) -> dict[str, User]:
        try:
            return load_users(self.folder / self.file.listener.users_file, classes)
        except (UsersError, OSError) as exc:
            self.wrong(("listener", "users_file"), f"users_file: {exc}")
            return {}

    def _class(
        self, i: int, c: pb.QueryClass, zones: list[str], kinds: list[str]
    ) -> policy.QueryClass | None:
        path: FieldPath = ("classes", i)
        self.stated(path, c, CLASS)
        if not c.effect:
            self.wrong(path, "effect: has to be stated")
        if c.effect == pb.QueryClass.KEYED:
            self.stated(path, c, ("memory_ms",))
            if not c.group:
                self.wrong(path, "group: has to be stated where effect is KEYED")
        if not 0 <= c.late_worth <= 1:
            self.wrong((*path, "late_worth"), f"late_worth: {c.late_worth:g} is no share")
        if c.aim_stretch < 0:
            self.wrong((*path, "aim_stretch"), f"aim_stretch: {c.aim_stretch:g} is too small")
        in_zones = tuple(self.find((*path, "zones", j), "zone", z, zones) for j, z in enumerate(c.zones))
        on_kinds = tuple(self.find((*path, "kinds", j), "kind", k, kinds) for j, k in enumerate(c.kinds))
        if self.problems:
            return None
        return policy.QueryClass(
            name=c.name,
            latency_objective_ms=c.aim_ms,
            client_timeout_ms=c.give_up_ms,
            priority_weight=c.worth,
            latency_objective_slowdown=c.aim_stretch,
            late_weight_share=c.late_worth,
            idempotency=pb.QueryClass.Effect.Name(c.effect).lower(),
            deduplication_scope=pb.QueryClass.Group.Name(c.group).lower() if c.group else "all",
            deduplication_window_ms=c.memory_ms,
            is_ordered_by_key=c.serial,
            zones=in_zones or None,
            kinds=on_kinds or None,
            threads=c.threads,
            locks_tables=c.holds_tables,
            waits_for_table_locks=c.waits_for_tables,
        )

    def _selector(self, i: int, s: pb.Selector, classes: list[str]) -> Selector:
        path: FieldPath = ("selectors", i)
        cls, pattern = self.find((*path, "query_class"), "class", s.query_class, classes), None
        try:
            pattern = re.compile(s.statement) if s.statement else None
        except re.error as exc:
            self.wrong((*path, "statement"), f"statement: {exc}")
        return Selector(cls, s.user, pattern, tuple(sorted(s.configuration.items())))

    def _engine(self, i: int, e: pb.Engine, zones: list[str], kinds: list[str]) -> policy.EngineEndpoint:
        path: FieldPath = ("engines", i)
        self.address((*path, "address"), e.address)
        if any(e.address == other.address for other in self.file.engines[:i]):
            self.wrong((*path, "address"), f"address: {e.address} stands twice")
        zone = self.find((*path, "zone"), "zone", e.zone, zones) if e.zone else 0
        return policy.EngineEndpoint(
            e.address,
            zone=zone,
            cell=e.cell,
            weight=e.weight or 1.0,
            kind=self.find((*path, "kind"), "kind", e.kind, kinds),
        )

    def _module(self, classes: tuple[policy.QueryClass, ...], zones: list[str]) -> policy.Settings:
        f, rules, traits = self.file, self.file.rules, self.file.traits
        return policy.Settings(
            classes=classes,
            kind_cores=tuple(k.cores for k in f.kinds),
            gateway_count=f.gateways,
            gateway_index=f.me,
            zone=zones.index(f.zone) if f.zone else 0,
            tenants=tuple(policy.Tenant(t.name, t.quota_per_s) for t in f.tenants),
            over_quota_weight_share=f.over_share_worth if f.tenants else 1.0,
            kind_memory_mb=tuple(k.memory_mb for k in f.kinds),
            max_grant_share=traits.max_grant_share or 1.0,
            has_memory_grants=traits.memory_grants,
            queues_when_short_of_memory=traits.when_short_of_memory == pb.EngineTraits.WAIT,
            swaps_when_short_of_memory=traits.when_short_of_memory == pb.EngineTraits.PAGE,
            has_priorities=traits.priorities,
            progress_interval_ms=traits.note_ms,
            reports_cost=traits.tells_cost,
            report_fields=tuple(traits.report_fields),
            can_cancel=rules.cancel,
            can_probe=rules.probe,
            allows_concurrent_attempts=rules.parallel,
            allows_retry_after=rules.max_retry_after_ms > 0,
            max_retry_after_ms=rules.max_retry_after_ms,
            max_attempts=rules.max_attempts,
            requires_subscription=f.discovery.mode == pb.Discovery.ASKED,
            answer_slack_ms=rules.answer_margin_ms,
            drain_grace_ms=rules.drain_grace_ms,
            cold_capacity_share=rules.cold_share,
            slow_start_ms=rules.cold_ms,
            overload_multiple=rules.fall_multiple,
            overload_window_ms=rules.fall_ms,
            unresolved_hold_ms=rules.settle_ms,
            retry_budget_free=rules.budget_free,
            retry_budget_share=rules.budget_share,
            retry_budget_window_ms=rules.budget_ms,
            resolution_ms=1.0,
        )
