"""The traffic of a rig of whole programs, and the verdict on it. No I/O and no clock.

Each ask is drawn from a seed; the same seed gives the same day, whatever is done to the fleet. The verdict
is the audit's of each controller by its own wires, as it is for one alone: the controllers' shares of budgets
and cold engines are their own. A controller that the rig had stopped answers nothing; what its clients asked
then is counted apart. An attempt on a way that the rig had cut has ended for the controller when it was cut:
that it calls it off can't be seen at the engine before the way is whole again.
"""

import math
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass
from random import Random
from statistics import median, quantiles

from fennelwind.audit import audit, read_trace
from fennelwind.audit.record import Wire
from fennelwind.audit.trace import CUT
from fennelwind.config import settings_pb2 as pb
from fennelwind.emulators.client import Ask

REPORTS = 0.15  # part of the asks that are reports; the rest are lookups
NAMED = 0.6  # part of the asks that name a shard
LATER = 0.3  # part of the asks that run asynchronously
WORK_MS = {"lookup": (20.0, 0.5), "report": (250.0, 0.4)}  # mean, of all threads, and sigma of its logarithm
THREADS = {"lookup": 1, "report": 4}
TIMEOUT_MS = 20_000.0  # ms that a client waits: far more than all that a fault may cost on a busy machine
RELAY_MS = 1000.0  # ms that the end of a connection may take through a relay on a busy machine
LATE_MS, LATE_STRETCH = 500.0, 4.0  # a query counts as late beyond it and so many times its own time

Spans = Mapping[str, Sequence[tuple[float, float]]]  # by controller, or its way to an engine: from, until


@dataclass(slots=True, frozen=True)
class Query:
    """One ask of the day."""

    number: int
    at_ms: float  # from the traffic's start
    first: int  # whom it is put to first, as a draw that the rig takes modulo the controllers there are
    cls: str
    shard: str
    ask: Ask


@dataclass(slots=True, frozen=True)
class End:
    """What became of a query for its client, over all controllers that it asked."""

    query: Query
    how: str
    took_ms: float
    tries: int


def traffic(seed: int, per_s: float, shards: Sequence[str]) -> Iterator[Query]:
    """Return the asks in the order of their times, without an end."""
    random, at, number = Random(f"traffic {seed}"), 0.0, 0
    while True:
        number += 1
        at += random.expovariate(per_s) * 1000.0
        cls = "report" if random.random() < REPORTS else "lookup"
        mean, sigma = WORK_MS[cls]
        work = mean * math.exp(random.gauss(0.0, sigma) - sigma**2 / 2.0)
        shard = random.choice(shards) if shards and random.random() < NAMED else ""
        overlay = {
            "standin.class": cls,
            "standin.work_ms": f"{work:.3f}",
            "standin.threads": str(THREADS[cls]),
            "standin.rows": "3",
            "fennelwind.work_ms": f"{work:.3f}",
            "fennelwind.timeout_ms": f"{TIMEOUT_MS:.0f}",
        }
        if shard:
            overlay |= {"standin.shards": shard, "fennelwind.shards": shard}
        ask = Ask("select name from parcel where id = 1", TIMEOUT_MS, overlay, random.random() < LATER)
        yield Query(number, at, random.randrange(1 << 30), cls, shard, ask)


@dataclass(slots=True, frozen=True)
class Fault:
    """Something that a storm does, and undoes after a while."""

    at_ms: float
    for_ms: float
    kind: str
    target: str
    other: str = ""


MEMBER_FAULTS = ("kill", "stop", "full disk", "slow disk", "folder lost", "cut off", "cut one way", "late")
ENGINE_FAULTS = ("engine killed", "engine empty", "engine full", "engine cut off")
ENGINE_REST_MS = 25_000.0  # ms between two faults of engines: a copy that was lost has to be made anew


def storm(
    seed: int, members: Sequence[str], followers: Sequence[str], engines: Sequence[str], length_ms: float
) -> list[Fault]:
    """Draw faults: of one member at a time, so that the others agree, of one engine, of one follower."""
    random, faults = Random(f"storm {seed}"), []
    for targets, kinds, rest in (
        (members, MEMBER_FAULTS, 2_000.0),
        (engines, ENGINE_FAULTS, ENGINE_REST_MS),
        (followers, ("kill", "stop", "cut off"), 8_000.0),
    ):
        at = random.uniform(0.0, 4_000.0)
        while at < length_ms and targets:
            kind, target = random.choice(kinds), random.choice(targets)
            other = random.choice([name for name in members if name != target])
            lasts = random.uniform(1_000.0, 6_000.0)
            faults.append(Fault(at, lasts, kind, target, other))
            at += lasts + random.uniform(0.5, 1.5) * rest
    return sorted(faults, key=lambda fault: fault.at_ms)


def verdict(
    wires: Mapping[str, Sequence[Wire]], settings: pb.Settings, stops: Spans, cuts: Spans
) -> tuple[list[str], int, int]:
    """Return what broke, how often something was checked, and the asks that met a stopped controller.

    `stops` by the controller's name, `cuts` by that and the engine's, with a blank between.
    """
    broken, checks, excused = [], 0, 0
    for name, own in sorted(wires.items()):
        trace = read_trace(list(own))
        for query in trace.queries.values():
            if any(a < query.deadline and query.asked < b for a, b in stops.get(name, ())):
                late = query.answers and query.answers[0][0] > query.deadline
                if late or not query.answers:
                    query.answers, query.left, excused = [], query.asked, excused + 1
        for attempt in trace.attempts:
            for a, b in cuts.get(f"{name} {attempt.engine}", ()):
                if attempt.began < b and (attempt.ended is None or a < attempt.ended):
                    attempt.ended, attempt.end = max(a, attempt.began), CUT
            if attempt.end == CUT:
                attempt.ended = max(attempt.began, attempt.ended - RELAY_MS)
        for rule in audit(trace, settings):
            checks += rule.checks
            broken += [f"{name}: {rule.rule}: {text}" for text in rule.breaks]
    return broken, checks, excused


def figures(ends: Sequence[End]) -> dict[str, float]:
    """Return how many were asked, lost and late, the latency of those served, and how many asked again."""
    took = sorted(end.took_ms for end in ends if end.how == "served")

    def late(end: End) -> bool:
        own_ms = float(end.query.ask.overlay["standin.work_ms"]) / THREADS[end.query.cls]
        return end.took_ms > LATE_MS + LATE_STRETCH * own_ms

    return {
        "asked": len(ends),
        "lost": len(ends) - len(took),
        "late": sum(map(late, ends)),
        "median_ms": median(took) if took else 0.0,
        "p99_ms": quantiles(took, n=100)[98] if len(took) > 1 else 0.0,
        "again": sum(end.tries > 1 for end in ends),
    }
