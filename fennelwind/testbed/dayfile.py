"""Reads and checks day files; all that is wrong with one is told at once, with line and column."""

import math
from importlib import resources
from pathlib import Path
from typing import Any

from fennelwind.config.text import FieldPath, Places, Problem, SettingsError, parse
from fennelwind.testbed import day_pb2 as pb

CONTROLLERS_MOST = EXECUTORS_MOST = 250  # each has a host of its own in 127.0.0.0/8, by one octet
ZONES_MOST = 16
LENGTH_MOST_MS = 3_600_000.0  # ms; an hour
REQUESTS_MOST = 2_000_000  # of a day; they are planned ahead and kept in memory
FAULTS_MOST = 1000
LINKS = (pb.Fault.CUT, pb.Fault.RESET, pb.Fault.DELAY, pb.Fault.LOSSY, pb.Fault.STALL, pb.Fault.RATE)
OF_CONTROLLERS = (
    pb.Fault.KILL,
    pb.Fault.TERM,
    pb.Fault.PAUSE,
    pb.Fault.SQUEEZE,
    pb.Fault.RELOAD,
    pb.Fault.ROLL,
    pb.Fault.BURST,
)
OF_EXECUTORS = (
    pb.Fault.SLOW,
    pb.Fault.ERROR,
    pb.Fault.LOSE,
    pb.Fault.HANG,
    pb.Fault.REFUSE,
    pb.Fault.SPOIL,
    pb.Fault.CRASH,
    pb.Fault.REPLACE,
    pb.Fault.REPORT_LATE,
)
INSTANT = (pb.Fault.KILL, pb.Fault.TERM, pb.Fault.RELOAD)  # take no time of their own
SHARED = (pb.Fault.ERROR, pb.Fault.SPOIL, pb.Fault.SQUEEZE)  # need a share above 0
REPORTS = ("active", "waiting", "cpu", "memory")


class Day:
    """A day file, checked."""

    def __init__(self, file: pb.Day, text: str) -> None:
        self.file, self.text = file, text

    @property
    def cores(self) -> int:
        """The cores of all executors."""
        kinds = {kind.name: kind.cores for kind in self.file.kinds}
        return sum(group.count * kinds[group.kind] for group in self.file.executors)

    @property
    def executors(self) -> int:
        """The number of executors at a time."""
        return sum(group.count for group in self.file.executors)

    def per_s(self, load: pb.Load) -> float:
        """Return the rate at which a load's requests come, without bursts."""
        return load.utilisation * self.cores * 1000.0 / load.work_ms


def bundled() -> list[str]:
    """Return the names of the days that come with the program."""
    folder = resources.files("fennelwind.testbed") / "days"
    return sorted(
        entry.name.removesuffix(".txtpb") for entry in folder.iterdir() if entry.name.endswith(".txtpb")
    )


def load(name: str) -> Day:
    """Read a day by its file's path or its bundled name. Raises `SettingsError` and `OSError`."""
    if name in bundled():
        text = (resources.files("fennelwind.testbed") / "days" / f"{name}.txtpb").read_text(encoding="utf-8")
        return read(text, name)
    raw = Path(name).read_bytes()
    try:
        return read(raw.decode("utf-8"), name)
    except UnicodeDecodeError as exc:
        line = raw[: exc.start].count(b"\n") + 1
        raise SettingsError(name, [Problem(line, 1, "bytes that are not UTF-8")]) from None


def read(text: str, name: str = "day") -> Day:
    """Read a day from text. Raises `SettingsError`."""
    message = pb.Day()
    check = _Check(message, parse(text, name, message))
    check.all()
    if check.problems:
        raise SettingsError(name, check.problems)
    return Day(message, text)


def change(
    day: Day,
    *,
    controllers: int | None = None,
    executors: int | None = None,
    seconds: float | None = None,
    overlay: str = "",
) -> Day:
    """Return the day with other sizes or settings; rates follow the executors' cores.

    `overlay` is text of a day whose fields take the place of the day's own; `seconds` scales the times of
    the day's faults too, not those of the overlay. Raises `SettingsError`.
    """
    file = pb.Day()
    file.CopyFrom(day.file)
    if controllers is not None:
        file.controllers.count = controllers
    if executors is not None:
        total, left = sum(group.count for group in file.executors), executors
        for place, group in enumerate(file.executors):
            last = place == len(file.executors) - 1
            group.count = left if last else min(left, round(executors * group.count / max(total, 1)))
            left -= group.count
    if seconds is not None:
        times = seconds * 1000.0 / file.length_ms
        file.length_ms = seconds * 1000.0
        for fault in file.faults:
            fault.at_ms *= times
            fault.for_ms *= times
            if fault.back_ms > 0.0:
                fault.back_ms *= times
    if overlay:
        other = pb.Day()
        parse(overlay, "overlay", other)
        for field, _ in other.ListFields():
            if field.is_repeated:
                file.ClearField(field.name)
        file.MergeFrom(other)
    return read(str(file), f"{file.name or 'day'}, changed")


class _Check(Places):
    """Checks a parsed day."""

    def __init__(self, day: pb.Day, places: dict[FieldPath, tuple[int, int]]) -> None:
        super().__init__(places)
        self.day = day

    def number(
        self, path: FieldPath, message: Any, label: str, least: float, most: float, open_below: bool = False
    ) -> None:
        """Check that a number is in its range; with `open_below` the least value itself is out."""
        value = getattr(message, label)
        good = math.isfinite(value) and least <= value <= most and not (open_below and value == least)
        if not good:
            above = "above" if open_below else "from"
            self.wrong((*path, label), f"{label}: {value:g}, where {above} {least:g} to {most:g} is allowed")

    def all(self) -> None:
        """Check everything; problems are noted."""
        day = self.day
        self.number((), day, "length_ms", 0.0, LENGTH_MOST_MS, True)
        for label in ("zones", "kinds", "executors", "classes", "loads"):
            if not getattr(day, label):
                self.wrong((), f"{label}: at least one is needed")
        self._names("zones", ZONES_MOST)
        self._names("kinds", 100)
        self._names("classes", 100)
        if len(day.faults) > FAULTS_MOST:
            self.wrong(("faults", FAULTS_MOST), f"more than {FAULTS_MOST} faults")
        for place, zone in enumerate(day.zones):
            for label in ("controllers", "executors"):
                self.number(("zones", place), zone, label, 0.0, 1e6)
        for label in ("controllers", "executors"):
            if day.zones and sum(getattr(zone, label) for zone in day.zones) <= 0.0:
                self.wrong(("zones", 0), f"no zone has a share of the {label}")
        for place, kind in enumerate(day.kinds):
            self.number(("kinds", place), kind, "cores", 1, 1024)
            self.number(("kinds", place), kind, "memory_mb", 0.0, 1e9, True)
        self._controllers()
        self._executors()
        self._classes()
        self._loads()
        self._parts()
        for place, fault in enumerate(day.faults):
            self._fault(("faults", place), fault)

    def _names(self, label: str, most: int) -> None:
        seen = set()
        entries = getattr(self.day, label)
        if len(entries) > most:
            self.wrong((label, most), f"{label}: more than {most}")
        for place, entry in enumerate(entries):
            if not entry.name or entry.name in seen or set(entry.name) & set(" ,\t\n"):
                self.wrong((label, place), f"name: {entry.name!r} is empty, taken, or has a space or comma")
            seen.add(entry.name)

    def _controllers(self) -> None:
        path, told = ("controllers",), self.day.controllers
        self.number(path, told, "count", 1, CONTROLLERS_MOST)
        self.number(path, told, "skew", 0.0, 5.0)
        self.number(path, told, "memory_mb", 0.0, 1e6, True)
        self.number(path, told, "sockets", 32, 1e6)
        self.number(path, told, "clock_ms", 0.0, 1e9)
        self.number(path, told, "turn_us", 0.0, 1e6)

    def _executors(self) -> None:
        kinds = {kind.name for kind in self.day.kinds}
        for place, group in enumerate(self.day.executors):
            self.number(("executors", place), group, "count", 0, EXECUTORS_MOST)
            if group.kind not in kinds:
                self.wrong(("executors", place), f"kind: {group.kind!r} is none of {sorted(kinds)}")
        total = sum(group.count for group in self.day.executors)
        if self.day.executors and not 1 <= total <= EXECUTORS_MOST:
            self.wrong(("executors", 0), f"{total} executors, where 1 to {EXECUTORS_MOST} are allowed")

    def _classes(self) -> None:
        zones = {zone.name for zone in self.day.zones}
        for place, cls in enumerate(self.day.classes):
            path = ("classes", place)
            self.number(path, cls, "aim_ms", 0.0, 1e7, True)
            self.number(path, cls, "give_up_ms", 0.0, 1e7, True)
            self.number(path, cls, "aim_stretch", 0.0, 1000.0)
            self.number(path, cls, "worth", 0.0, 1e6)
            self.number(path, cls, "late_worth", 0.0, 1.0)
            self.number(path, cls, "memory_ms", 0.0, 1e9)
            self.number(path, cls, "threads", 1, 1024)
            for index, name in enumerate(cls.zones):
                if name not in zones:
                    self.wrong((*path, "zones", index), f"zones: {name!r} is none of {sorted(zones)}")

    def _loads(self) -> None:
        day, classes = self.day, {cls.name for cls in self.day.classes}
        cores = {kind.name: kind.cores for kind in day.kinds}
        total = sum(group.count * cores.get(group.kind, 0) for group in day.executors)
        requests = 0.0
        for place, one in enumerate(day.loads):
            path = ("loads", place)
            if one.query_class not in classes:
                self.wrong(path, f"query_class: {one.query_class!r} is none of {sorted(classes)}")
            self.number(path, one, "utilisation", 0.0, 100.0)
            self.number(path, one, "work_ms", 0.0, 1e7, True)
            for label in ("spread", "estimate_spread"):
                self.number(path, one, label, 0.0, 5.0)
            self.number(path, one, "estimate_bias", 0.0, 1000.0)
            self.number(path, one, "memory_mb", 0.0, 1e6)
            self.number(path, one, "tables", 0, 100_000)
            self.number(path, one, "rows", 0, 400)
            self.number(path, one, "tail_share", 0.0, 1.0)
            self.number(path, one, "tail_times", 0.0, 1000.0)
            if one.work_ms > 0.0:
                requests += one.utilisation * total / one.work_ms * day.length_ms
        if not requests <= REQUESTS_MOST:
            self.wrong(("loads", 0), f"{requests:.0f} requests, where {REQUESTS_MOST} are allowed")

    def _parts(self) -> None:
        day = self.day
        self.number(("clients",), day.clients, "retries", 0, 20)
        for label in ("backoff_ms", "notice_ms"):
            self.number(("clients",), day.clients, label, 0.0, 1e6)
        for label in ("honour", "impatient"):
            self.number(("clients",), day.clients, label, 0.0, 1.0)
        for label in ("same_ms", "cross_ms"):
            self.number(("network",), day.network, label, 0.0, 10_000.0)
        self.number(("network",), day.network, "jitter", 0.0, 1.0)
        for index, name in enumerate(day.reports.fields):
            if name not in REPORTS:
                self.wrong(("reports", "fields", index), f"fields: {name!r} is none of {list(REPORTS)}")
        for label in ("period_ms", "delay_ms"):
            self.number(("reports",), day.reports, label, 0.0, 1e6)
        self.number(("reports",), day.reports, "noise", 0.0, 10.0)
        rules = day.rules
        for label in (
            "drain_grace_ms",
            "cold_ms",
            "fall_multiple",
            "fall_ms",
            "max_retry_after_ms",
            "budget_free",
            "budget_share",
            "budget_ms",
        ):
            self.number(("rules",), rules, label, 0.0, 1e7)
        self.number(("rules",), rules, "cold_share", 0.0, 1.0, True)
        self.number(("rules",), rules, "max_attempts", 1, 20)
        for label in ("notice_ms", "spread_ms"):
            self.number(("channel",), day.channel, label, 0.0, 1e6)

    def _fault(self, path: FieldPath, fault: pb.Fault) -> None:
        self.number(path, fault, "at_ms", 0.0, self.day.length_ms)
        self.number(path, fault, "for_ms", 0.0, LENGTH_MOST_MS, fault.kind not in INSTANT)
        self.number(path, fault, "delay_ms", 0.0, 1e6)
        self.number(path, fault, "back_ms", -1e9, 1e9)
        for label in ("share", "lost", "twice", "swapped"):
            self.number(path, fault, label, 0.0, 1.0)
        kind = fault.kind
        if kind == pb.Fault.KIND_UNSPECIFIED:
            self.wrong(path, "kind: has to be stated")
        if kind in (pb.Fault.SLOW, pb.Fault.BURST):
            self.number(path, fault, "factor", 0.0, 1000.0, True)
        if kind in SHARED:
            self.number(path, fault, "share", 0.0, 1.0, True)
        if kind == pb.Fault.RATE:
            self.number(path, fault, "bytes_per_s", 0.0, 1e12, True)
        if kind == pb.Fault.DELAY:
            self.number(path, fault, "delay_ms", 0.0, 1e6, True)
        if kind == pb.Fault.LOSSY and not (fault.lost or fault.twice or fault.swapped):
            self.wrong(path, "lost, twice, swapped: one of them has to be above 0")
        if kind == pb.Fault.ROLL:
            self.number(path, fault, "steps", 1, CONTROLLERS_MOST)
        if kind in OF_CONTROLLERS:
            self._party((*path, "who"), fault.who, pb.Party.CONTROLLERS)
        elif kind in OF_EXECUTORS:
            self._party((*path, "who"), fault.who, pb.Party.EXECUTORS)
        elif kind in LINKS:
            self._party((*path, "who"), fault.who, None)
            self._party((*path, "to"), fault.to, None)

    def _party(self, path: FieldPath, party: pb.Party, side: int | None) -> None:
        if side is not None and party.side not in (pb.Party.ANY, side):
            self.wrong(path, f"side: a fault of this kind is of {pb.Party.Side.Name(side).lower()}")
        side = side if side is not None else party.side
        self.number(path, party, "share", 0.0, 1.0)
        zones = [zone.name for zone in self.day.zones]
        for label in ("zone", "other_than"):
            name = getattr(party, label)
            if name and name not in zones:
                self.wrong((*path, label), f"{label}: {name!r} is none of {zones}")
        if party.numbers and side not in (pb.Party.CONTROLLERS, pb.Party.EXECUTORS):
            self.wrong((*path, "numbers"), "numbers: only controllers and executors have numbers")
        most = (
            self.day.controllers.count
            if side == pb.Party.CONTROLLERS
            else sum(group.count for group in self.day.executors)
        )
        for index, number in enumerate(party.numbers):
            if not 0 <= number < most:
                self.wrong((*path, "numbers", index), f"numbers: {number}, where there are {most}")
