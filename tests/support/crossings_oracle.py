"""What was seen on the sockets of clients and executors, and what of it must not be. No code of the core's.

All times are those of the virtual loop, in ms. A request counts from its last byte, an attempt from the first
byte of its POST. `judge` returns the faults, each with the rule that it breaks.
"""

from collections import defaultdict
from dataclasses import dataclass, field
from itertools import combinations
from typing import Any, NamedTuple

SLACK_MS = 50.0  # by which every time limit is extended, as the protocol states
LEFT_MS = 100.0  # ms after a client's leaving in which an attempt may still begin
UNASKED_MS = 2000.0  # ms after which an executor gives up what nobody asks for


class Fault(NamedTuple):
    """A rule that was broken."""

    rule: str
    at: float
    text: str

    def __str__(self) -> str:
        return f"{self.rule} at {self.at:.1f}: {self.text}"


@dataclass(eq=False)
class Asked:
    """A request as its client knows it."""

    name: str
    cls: str
    number: int
    sent: float  # its last byte
    due: float
    link: Any  # the client's connection
    first: bool = False  # on its connection
    left: float | None = None  # withdrawn, or its connection closed by the client
    answers: list[tuple[float, str, bytes]] = field(default_factory=list)  # time, kind and result


@dataclass(eq=False)
class Posted:
    """An attempt as it left the controller."""

    name: str
    address: Any
    first: float
    not_run: float | None = None  # when its executor wrote that it never ran

    def may_have_run(self, at: float) -> bool:
        return self.not_run is None or self.not_run > at


@dataclass(eq=False)
class Run:
    """An attempt that arrived whole at an executor."""

    name: str
    engine: str
    arrived: float
    asked: float  # when it was last asked for
    posted: Posted
    pages: list[bytes]
    ends: float  # when its work ends
    mode: str
    told: float | None = None  # its end was written
    given_up: float | None = None  # deleted, lapsed, or its executor died

    def out_until(self) -> float:
        ends = [at for at in (self.told, self.given_up) if at is not None]
        return min(ends, default=self.asked + UNASKED_MS - SLACK_MS)


class Told(NamedTuple):
    """What the controller has read of an executor."""

    at: float
    instance: str
    address: Any
    state: str


@dataclass
class Record:
    """All that was seen, and the settings it is judged by."""

    settings: dict[str, Any]
    effects: dict[str, dict[str, Any]]  # classes as the settings have them, by name
    asked: dict[str, Asked] = field(default_factory=dict)
    posted: dict[str, list[Posted]] = field(default_factory=lambda: defaultdict(list))
    runs: dict[str, list[Run]] = field(default_factory=lambda: defaultdict(list))
    told: list[Told] = field(default_factory=list)
    places: dict[Any, tuple[str, int]] = field(default_factory=dict)  # zone and cell by address
    faults: list[Fault] = field(default_factory=list)
    links_open: int = 0
    links_most: int = 0
    ended: float | None = None  # when the program had ended

    def fault(self, rule: str, at: float, text: str) -> None:
        self.faults.append(Fault(rule, at, text))

    def judge(self) -> list[Fault]:
        """Return all faults."""
        for asked in self.asked.values():
            self._answered(asked)
            self._sent(asked)
        for name, posted in self.posted.items():
            if name not in self.asked:
                self.fault("unasked", posted[0].first, f"{name} was sent on, and no client asked for it")
            for one in posted:
                self._drained(one)
        return sorted(self.faults, key=lambda fault: fault.at)

    def _answered(self, asked: Asked) -> None:
        link, posted = asked.link, self.posted.get(asked.name, [])
        if len(asked.answers) > 1:
            self.fault("second answer", asked.answers[1][0], f"{asked.name} on {link.kind}")
        if not asked.answers:
            if asked.left is not None:
                return
            crossed = link.closed is not None and asked.sent >= link.closed - SLACK_MS and not posted
            # An answer that can't be passed on through no fault of the controller's own has failed, by the
            # protocol: the client took none of what lay before it, until the last moment there was.
            untaken = link.took_nothing and self.ended is not None and asked.due < link.closed
            if not crossed and not untaken:
                sent = ", ".join(f"{one.first:.1f}" for one in posted) or "never"
                self.fault(
                    "lost",
                    asked.due,
                    (
                        f"{asked.name} {asked.cls} of {asked.sent:.1f} on {link.kind}, "
                        f"closed at {link.closed}, sent on at: {sent}"
                    ),
                )
            return
        at, kind, body = asked.answers[0]
        if asked.left is None and not link.pauses and at > asked.due + SLACK_MS:
            self.fault("late", at, f"{asked.name} {asked.cls} {kind}, due {asked.due:.1f}")
        made = [b"".join(run.pages) for run in self.runs.get(asked.name, ()) if run.told is not None]
        if kind == "served" and body not in made:
            self.fault("foreign rows", at, f"{asked.name}: {body[:60]!r}")
        effect = self.effects[asked.cls]
        free = effect["Effect"] == "repeatable" or effect["Effect"] == "by_key" and effect["Group"] == "all"
        if kind == "Shed" and not free and any(one.may_have_run(at) for one in posted if one.first <= at):
            self.fault("refusal", at, f"{asked.name} {asked.cls} may have run")
        for one in posted:
            if one.first > at + SLACK_MS:
                self.fault("after its answer", one.first, f"{asked.name} {kind} at {at:.1f}")

    def _sent(self, asked: Asked) -> None:
        posted, effect = self.posted.get(asked.name, []), self.effects[asked.cls]
        sort, most = effect["Effect"], self.settings["Ceilings"]["MaxAttempts"]
        if len(posted) > most:
            self.fault("attempts", posted[most].first, f"{asked.name} was sent {len(posted)} times of {most}")
        for number, one in enumerate(posted):
            if asked.left is not None and one.first > asked.left + LEFT_MS:
                after = one.first - asked.left
                self.fault(
                    "client gone",
                    one.first,
                    (f"{asked.name} attempt {number} {after:.0f} ms after its leaving, {asked.link.kind}"),
                )
            if one.first > asked.due + SLACK_MS and not asked.link.pauses:  # else it was read late
                self.fault("past its time", one.first, f"{asked.name}, due {asked.due:.1f}")
            before = [other for other in posted[:number] if other.may_have_run(one.first)]
            if before and sort == "once":
                self.fault("twice", one.first, f"{asked.name} may have run at {before[0].address}")
            if before and sort == "by_key":
                window = effect["MemorySpanMs"]
                after = one.first - before[0].first
                if after > window + SLACK_MS:
                    self.fault("window", one.first, f"{asked.name}: after {after:.0f} ms of {window:.0f}")
                part = {"all": 0, "zone": 1, "cell": 2}[effect["Group"]]
                place = self.places[one.address][:part]
                if any(self.places[other.address][:part] != place for other in before):
                    self.fault("group", one.first, f"{asked.name} left its {effect['Group']}")
        if sort == "once" or not self.settings["Ceilings"]["ParallelTries"]:
            runs = sorted(self.runs.get(asked.name, ()), key=lambda run: run.arrived)
            for earlier, later in combinations(runs, 2):
                if later.arrived < earlier.out_until():
                    self.fault(
                        "two out",
                        later.arrived,
                        (
                            f"{asked.name} {asked.cls}: out at {earlier.engine} ({earlier.mode}) from "
                            f"{earlier.arrived:.1f} to {earlier.out_until():.1f}, then at {later.engine}"
                        ),
                    )

    def _drained(self, one: Posted) -> None:
        """Judge by all that had been told of who is at the address."""
        last: dict[str, Told] = {}
        for told in self.told:
            if told.at <= one.first and told.address == one.address:
                if told.instance in last and last[told.instance].state != "in_service" != told.state:
                    continue  # the first telling counts
                last[told.instance] = told
        grace = self.settings["Rules"]["DrainGraceMs"] + SLACK_MS
        if all(told.state != "in_service" and one.first > told.at + grace for told in last.values()):
            self.fault("drain", one.first, f"{one.name} to {one.address}: {list(last.values())}")
