"""A day worked out ahead, by its seed alone: who is where, every request, every fault's victims. No I/O.

Requests come at planned times whatever the fleet does (open loop), so a slow fleet does not slow its
clients. The same day and seed give the same plan, whichever rig plays it and however many processes share it.
"""

import math
from bisect import bisect_left
from dataclasses import dataclass, field, replace
from functools import cached_property
from itertools import accumulate
from random import Random
from typing import Any

from fennelwind.testbed import day_pb2 as pb
from fennelwind.testbed.dayfile import LINKS, Day
from fennelwind.testbed.links import Distances, LinkFault, Links

FOREVER = float("inf")
CHANNEL = "channel"
TENANT = "acme"
SQUEEZE_MS = 100.0  # ms of one turn of stopping and continuing; short against every time-out but a probe's
RELOADED_MS = 1500.0  # ms after SIGHUP in which the old address of the channel keeps its open connections


@dataclass(slots=True, frozen=True)
class ControllerPlan:
    """One controller, over all its lives."""

    number: int
    name: str
    zone: str
    share: float  # of the traffic of its zone
    clock_ms: float


@dataclass(slots=True)
class Life:
    """One life of an executor."""

    slot: int
    instance: str
    start_ms: float  # below 0: long ago, and warm
    end_ms: float = FOREVER
    drain_ms: float = FOREVER  # when it is told to drain

    @property
    def cold(self) -> bool:
        """Whether it starts cold."""
        return self.start_ms >= 0.0


@dataclass(slots=True, frozen=True)
class Slot:
    """A place for an executor: an address that its lives share."""

    number: int
    name: str
    zone: str
    kind: str


@dataclass(slots=True, frozen=True)
class Ask:
    """One request, as its client plans it."""

    number: int
    at_ms: float
    cls: int
    controller: int
    work_ms: float  # of all its threads
    estimate_ms: float
    need_mb: float
    estimate_mb: float
    group: int
    rows: int
    withdrawn_ms: float  # after its coming; 0: never


@dataclass(slots=True, frozen=True, order=True)
class Step:
    """Something done to a controller's process."""

    at_ms: float
    controller: int
    verb: str  # kill, term, stop, cont or hup
    back_ms: float = -1.0  # kill, term: started again so much later; never if below 0


@dataclass(slots=True, frozen=True)
class ExecutorFault:
    """Something wrong with the executor in a slot."""

    kind: int
    at_ms: float
    until_ms: float
    slot: int
    factor: float
    share: float
    delay_ms: float


@dataclass(slots=True, frozen=True)
class ChannelFault:
    """The command channel breaks off or falls silent, for all."""

    silent: bool
    at_ms: float
    until_ms: float


@dataclass(slots=True, frozen=True)
class Listed:
    """A change of the list of executors, when it happens."""

    at_ms: float
    instance: str
    state: str  # as the platform says it


@dataclass
class Plan:
    """A whole day."""

    day: Day
    seed: int
    controllers: tuple[ControllerPlan, ...] = ()
    slots: tuple[Slot, ...] = ()
    lives: list[Life] = field(default_factory=list)
    asks: list[Ask] = field(default_factory=list)
    steps: list[Step] = field(default_factory=list)
    executor_faults: list[ExecutorFault] = field(default_factory=list)
    channel_faults: list[ChannelFault] = field(default_factory=list)
    link_faults: tuple[LinkFault, ...] = ()
    listed: list[Listed] = field(default_factory=list)
    notice: list[float] = field(default_factory=list)  # by controller: ms more than the first one is told

    @cached_property
    def zone_of(self) -> dict[str, str]:
        """The zones of all parties, by name."""
        zones = {party.name: party.zone for party in (*self.controllers, *self.slots)}
        return zones | {clients_of(zone.name): zone.name for zone in self.day.file.zones}

    @cached_property
    def stopped(self) -> frozenset[int]:
        """The controllers that are stopped at some time; their modules had no turn when they were due one."""
        return frozenset(step.controller for step in self.steps if step.verb == "stop")

    @cached_property
    def instances(self) -> dict[str, Life]:
        """All lives of executors, by their instance ids."""
        return {life.instance: life for life in self.lives}

    def links(self) -> Links:
        """Return the ways between the parties, with the day's faults on them."""
        network = self.day.file.network
        return Links(
            Distances(self.zone_of, network.same_ms, network.cross_ms, network.jitter), self.link_faults
        )

    def told(self, controller: int) -> list[tuple[float, dict[str, Any]]]:
        """Return what the channel has to tell a controller, each event with the time from which it does.

        The first event is the list at the start. Numbers go on over the controller's lives.
        """
        known = [self.entry(life, "in_service") for life in self.lives if life.start_ms < 0.0]
        events: list[tuple[float, dict[str, Any]]] = [(-FOREVER, _event(1, known, True))]
        for change in self.listed:
            at = max(events[-1][0], change.at_ms + self.notice[controller])
            entry = self.entry(self.instances[change.instance], change.state)
            events.append((at, _event(len(events) + 1, [entry], False)))
        return events

    def entry(self, life: Life, state: str) -> dict[str, Any]:
        """Return an executor as the channel lists it; its address and the time of its start are the rig's."""
        slot = self.slots[life.slot]
        return {
            "instanceId": life.instance,
            "slot": slot.number,
            "zone": slot.zone,
            "machineType": slot.kind,
            "cell": slot.number % 4,
            "lifecycle": state,
            "weight": 1,
            "startedAtMs": life.start_ms if life.cold else 0,
        }


def _event(number: int, instances: list[dict[str, Any]], reset: bool) -> dict[str, Any]:
    return {"cursor": number, "nodes": {"generation": number, "reset": reset, "instances": instances}}


def clients_of(zone: str) -> str:
    """Return the name of the clients in a zone, as a party."""
    return f"clients-{zone}"


def make_plan(day: Day, seed: int | None = None) -> Plan:
    """Work out a day. `seed` takes the place of the day's own."""
    return _Maker(Plan(day, day.file.seed if seed is None else seed)).make()


def deal(count: int, shares: list[float]) -> list[int]:
    """Deal so many things by shares, the largest remainders first; return how many each gets."""
    total = sum(shares)
    exact = [count * share / total for share in shares]
    dealt = [int(part) for part in exact]
    order = sorted(range(len(shares)), key=lambda i: (dealt[i] - exact[i], i))
    for i in order[: count - sum(dealt)]:
        dealt[i] += 1
    return dealt


class _Maker:
    """Fills a plan; each part draws from a source of its own, so that one does not change another."""

    def __init__(self, plan: Plan) -> None:
        self.plan, self.day = plan, plan.day.file

    def random(self, part: str) -> Random:
        return Random(f"{self.plan.seed}/{part}")

    def make(self) -> Plan:
        self._places()
        self._lives()
        self._faults()
        self._listed()
        self._asks()
        return self.plan

    def _places(self) -> None:
        day, plan, draw = self.day, self.plan, self.random("places")
        zones = [zone.name for zone in day.zones]
        told = day.controllers
        spread = deal(told.count, [zone.controllers for zone in day.zones])
        homes = [zone for zone, count in zip(zones, spread, strict=True) for _ in range(count)]
        draw.shuffle(homes)
        plan.controllers = tuple(
            ControllerPlan(
                i,
                f"n{i}",
                zone,
                math.exp(draw.gauss(0.0, 1.0) * told.skew),
                draw.gauss(0.0, 1.0) * told.clock_ms,
            )
            for i, zone in enumerate(homes)
        )
        kinds = [group.kind for group in day.executors for _ in range(group.count)]
        draw.shuffle(kinds)
        spread = deal(len(kinds), [zone.executors for zone in day.zones])
        homes = [zone for zone, count in zip(zones, spread, strict=True) for _ in range(count)]
        plan.slots = tuple(
            Slot(i, f"x{i}", zone, kind) for i, (zone, kind) in enumerate(zip(homes, kinds, strict=True))
        )
        spread_ms = day.channel.spread_ms
        plan.notice = [day.channel.notice_ms + draw.random() * spread_ms for _ in plan.controllers]

    def _instance(self, draw: Random) -> str:
        return f"s-{draw.randrange(16**8):08x}"

    def _lives(self) -> None:
        """Work out the executors' lives: crashes and replacements in order, each to who lives then."""
        plan, draw = self.plan, self.random("lives")
        current = [Life(slot.number, self._instance(draw), -1.0) for slot in plan.slots]
        plan.lives = list(current)
        ends = [fault for fault in self.day.faults if fault.kind in (pb.Fault.CRASH, pb.Fault.REPLACE)]
        for place, fault in sorted(enumerate(ends), key=lambda item: (item[1].at_ms, item[0])):
            for name in sorted(self.party(fault.who, pb.Party.EXECUTORS, f"life {place}"), key=_number):
                old = current[int(name[1:])]
                if old.start_ms > fault.at_ms or old.end_ms < FOREVER:
                    continue  # it is down, or about to go already
                until = fault.at_ms + fault.for_ms
                if fault.kind == pb.Fault.CRASH:
                    old.end_ms = fault.at_ms
                else:
                    old.drain_ms, old.end_ms = fault.at_ms, until
                new = Life(old.slot, self._instance(draw), until)
                current[old.slot] = new
                plan.lives.append(new)

    def party(self, party: pb.Party, side: int, part: str) -> frozenset[str]:
        """Return the names of those meant."""
        side = side or party.side
        plan = self.plan
        zones = {zone.name for zone in self.day.zones}
        if party.zone:
            zones = {party.zone}
        if party.other_than:
            zones -= {party.other_than}
        named: list[str] = []
        groups: dict[int, tuple[Any, ...]] = {
            pb.Party.CONTROLLERS: plan.controllers,
            pb.Party.EXECUTORS: plan.slots,
        }
        for each, members in groups.items():
            if side in (pb.Party.ANY, each):
                chosen = [
                    m.name
                    for m in members
                    if m.zone in zones and (not party.numbers or m.number in party.numbers)
                ]
                if party.share:
                    count = max(1, round(party.share * len(chosen))) if chosen else 0
                    chosen = self.random(f"party {part} {each}").sample(chosen, count)
                named += chosen
        if side in (pb.Party.ANY, pb.Party.CLIENTS):
            named += [clients_of(zone) for zone in sorted(zones)]
        if side == pb.Party.CHANNEL or side == pb.Party.ANY and not party.zone:
            named.append(CHANNEL)
        return frozenset(named)

    def _faults(self) -> None:
        plan, links = self.plan, []
        for place, fault in enumerate(self.day.faults):
            until = fault.at_ms + fault.for_ms
            if fault.kind in LINKS:
                links.append(
                    LinkFault(
                        fault.kind,
                        fault.at_ms,
                        until,
                        self.party(fault.who, 0, f"{place} who"),
                        self.party(fault.to, 0, f"{place} to"),
                        fault.both_ways,
                        fault.delay_ms,
                        fault.share,
                        fault.lost,
                        fault.twice,
                        fault.swapped,
                        fault.bytes_per_s,
                    )
                )
            elif fault.kind in (pb.Fault.CHANNEL_SILENT, pb.Fault.CHANNEL_BREAK):
                silent = fault.kind == pb.Fault.CHANNEL_SILENT
                plan.channel_faults.append(ChannelFault(silent, fault.at_ms, until))
            elif fault.kind in (pb.Fault.CRASH, pb.Fault.REPLACE, pb.Fault.BURST):
                continue  # lives and requests are worked out on their own
            elif fault.kind < pb.Fault.SLOW:
                self._steps(place, fault)
            else:
                for name in sorted(self.party(fault.who, pb.Party.EXECUTORS, f"{place} who"), key=_number):
                    plan.executor_faults.append(
                        ExecutorFault(
                            fault.kind,
                            fault.at_ms,
                            until,
                            int(name[1:]),
                            fault.factor,
                            fault.share,
                            fault.delay_ms,
                        )
                    )
        plan.link_faults = tuple(links)
        plan.steps.sort()

    def _steps(self, place: int, fault: pb.Fault) -> None:
        names = self.party(fault.who, pb.Party.CONTROLLERS, f"{place} who")
        numbers = sorted(int(name[1:]) for name in names)
        steps = self.plan.steps
        if fault.kind == pb.Fault.ROLL:
            self.random(f"{place} roll").shuffle(numbers)
        for turn, number in enumerate(numbers):
            match fault.kind:
                case pb.Fault.KILL:
                    steps.append(Step(fault.at_ms, number, "kill", fault.back_ms))
                case pb.Fault.TERM:
                    steps.append(Step(fault.at_ms, number, "term", fault.back_ms))
                case pb.Fault.RELOAD:
                    steps.append(Step(fault.at_ms, number, "hup"))
                case pb.Fault.PAUSE:
                    steps.append(Step(fault.at_ms, number, "stop"))
                    steps.append(Step(fault.at_ms + fault.for_ms, number, "cont"))
                case pb.Fault.ROLL:
                    group = turn * fault.steps // len(numbers)
                    at = fault.at_ms + group * fault.for_ms / fault.steps
                    steps.append(Step(at, number, "term", max(0.0, fault.back_ms)))
                case pb.Fault.SQUEEZE:
                    at = fault.at_ms
                    while at < fault.at_ms + fault.for_ms:
                        steps.append(Step(at, number, "stop"))
                        steps.append(Step(at + (1.0 - fault.share) * SQUEEZE_MS, number, "cont"))
                        at += SQUEEZE_MS

    def _listed(self) -> None:
        """Note when the list of executors changes, as discovery comes to know it."""
        changes = self.plan.listed
        for life in self.plan.lives:
            if life.cold:
                changes.append(Listed(life.start_ms, life.instance, "in_service"))
            if life.drain_ms < FOREVER:
                changes.append(Listed(life.drain_ms, life.instance, "terminating"))
            if life.end_ms < FOREVER:
                changes.append(Listed(life.end_ms, life.instance, "terminated"))
        changes.sort(key=lambda change: (change.at_ms, change.state != "terminated", change.instance))

    def _asks(self) -> None:
        day, plan = self.day, self.plan
        classes = {cls.name: place for place, cls in enumerate(day.classes)}
        bursts = [
            (
                fault.at_ms,
                fault.at_ms + fault.for_ms,
                fault.factor,
                self.party(fault.who, pb.Party.CONTROLLERS, f"burst {place}"),
            )
            for place, fault in enumerate(day.faults)
            if fault.kind == pb.Fault.BURST
        ]
        sums = list(accumulate(controller.share for controller in plan.controllers))
        for place, load in enumerate(day.loads):
            draw = self.random(f"load {place}")
            rate = plan.day.per_s(load) / 1000.0
            if rate <= 0.0:
                continue
            most = 1.0
            for burst in bursts:
                most *= max(1.0, burst[2])
            at = draw.expovariate(rate * most)
            while at < day.length_ms:
                controller = min(bisect_left(sums, draw.random() * sums[-1]), len(sums) - 1)
                name, times = plan.controllers[controller].name, 1.0
                for start, end, factor, names in bursts:
                    if start <= at < end and name in names:
                        times *= factor
                if draw.random() * most < times:
                    plan.asks.append(self._ask(draw, at, load, classes[load.query_class], controller))
                at += draw.expovariate(rate * most)
        plan.asks.sort(key=lambda ask: (ask.at_ms, ask.cls, ask.controller))
        plan.asks = [replace(ask, number=number) for number, ask in enumerate(plan.asks)]

    def _ask(self, draw: Random, at: float, load: pb.Load, cls: int, controller: int) -> Ask:
        """Draw what one request is like."""
        day = self.day
        sigma = load.spread
        work = load.work_ms * math.exp(sigma * draw.gauss(0.0, 1.0) - sigma * sigma / 2.0)
        if load.tail_share and draw.random() < load.tail_share:
            work *= max(1.0, load.tail_times)
        size = math.exp(0.4 * draw.gauss(0.0, 1.0))
        need = load.memory_mb * size
        told = math.exp(load.estimate_spread * draw.gauss(0.0, 1.0)) * (load.estimate_bias or 1.0)
        group = min(int(load.tables * draw.random() ** 2), max(load.tables - 1, 0))  # some more than others
        impatient = draw.random() < day.clients.impatient
        withdrawn = 0.25 * day.classes[cls].give_up_ms if impatient else 0.0
        return Ask(
            0,
            at,
            cls,
            controller,
            max(work, 0.1),
            max(work * told, 0.1),
            need,
            need * told,
            group,
            max(load.rows, 1),
            withdrawn,
        )


def _number(name: str) -> int:
    return int(name[1:])
