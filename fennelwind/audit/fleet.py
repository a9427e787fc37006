"""The seven rules over a whole fleet, from what stand-ins saw of all its controllers together.

Nothing here knows how a controller decides; `Facts` tells what the day was, so that nobody is blamed for
what a fault took: an answer that no way led to its client, a list that could not be heard.
"""

from bisect import bisect_left, bisect_right
from collections import defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from fennelwind.audit.observations import (
    NOT_RUN,
    OK,
    REFUSED,
    SERVED,
    STRANGE,
    Answered,
    Asked,
    Began,
    Broken,
    Ended,
    Left,
    Lived,
    Odd,
    Process,
    Sighting,
)
from fennelwind.audit.rules import KNOWING, RULES, Verdict

SLACK_MS = 50.0  # ms by which the platform extends every limit on sockets
WAY_MS = 25.0  # ms more for the relays and turns between a controller and who saw it
HEARS_MS = 4000.0  # ms after a fault of the channel by which its news count as told
STARTS_MS = 2000.0  # ms after its start in which a controller may not listen yet
WAKES_MS = 1000.0  # ms after a stopped process goes on in which it may act on what it knew
Window = tuple[float, float]


@dataclass(slots=True, frozen=True)
class ClassFacts:
    """What a class asks for."""

    name: str
    effect: str  # safe, keyed or unsafe
    memory_ms: float
    zones: frozenset[str]  # the only zones allowed; empty: all


@dataclass(slots=True, frozen=True)
class Place:
    """One life of an executor."""

    zone: str
    cores: int
    start_ms: float  # below 0: long ago
    slot: str


@dataclass(slots=True)
class Facts:
    """What the day was."""

    classes: tuple[ClassFacts, ...]
    places: dict[str, Place]  # by instance
    told: dict[int, list[tuple[float, str, str]]]  # by controller: time, instance and state, in order
    blind: dict[int, list[Window]]  # by controller: when the channel could not reach it
    deaf: dict[int, list[Window]]  # by controller: when its clients, or their answers, could not
    disturbed: Callable[[int, str, float, float], bool]  # the way of a controller to a slot, in that time
    drain_grace_ms: float = 0.0
    cold_share: float = 1.0
    cold_ms: float = 0.0
    fall_multiple: float = 0.0
    fall_ms: float = 0.0
    max_attempts: int = 1
    parallel: bool = True
    budget_free: float = 0.0
    budget_share: float = 0.0
    budget_ms: float = 0.0


@dataclass(slots=True)
class Request:
    """One try of a client's request, with all that became of it."""

    asked: Asked
    answers: list[Answered] = field(default_factory=list)
    left: float | None = None
    broken: float | None = None
    attempts: list["Attempt"] = field(default_factory=list)


@dataclass(slots=True)
class Attempt:
    """One arrival at an executor."""

    began: Began
    ended: float | None = None
    how: str = ""

    def ran(self) -> bool:
        """Tell whether it may have run."""
        return self.how != NOT_RUN


@dataclass(slots=True)
class Story:
    """The sightings of a day, put together."""

    requests: dict[str, Request] = field(default_factory=dict)
    attempts: list[Attempt] = field(default_factory=list)  # in the order they arrived
    strangers: list[Began] = field(default_factory=list)  # statements that nobody asked for
    proofs: dict[str, set[str]] = field(default_factory=lambda: defaultdict(set))
    odd: list[Odd] = field(default_factory=list)
    falls: list[Lived] = field(default_factory=list)
    processes: dict[int, list[Process]] = field(default_factory=lambda: defaultdict(list))


def put_together(sightings: Iterable[Sighting]) -> Story:
    """Sort sightings into the story of a day."""
    story, last = Story(), {}
    told = sorted(sightings, key=lambda one: (one.at, not isinstance(one, Asked)))
    for one in told:
        if isinstance(one, Asked):
            story.requests[one.name] = Request(one)
    for one in told:
        match one:
            case Answered(name=name):
                story.requests[name].answers.append(one)
            case Left(at, name):
                story.requests[name].left = at
            case Broken(at, name):
                story.requests[name].broken = at
            case Began(instance=instance, name=name):
                attempt = last[instance, name] = Attempt(one)
                story.attempts.append(attempt)
                if name in story.requests:
                    story.requests[name].attempts.append(attempt)
                else:
                    story.strangers.append(one)
            case Ended(at, instance, name, how, proof):
                attempt = last.get((instance, name))
                if attempt is not None and attempt.ended is None:
                    attempt.ended, attempt.how = at, how
                if how == OK:
                    story.proofs[name].add(proof)
            case Odd():
                story.odd.append(one)
            case Lived(what="fall"):
                story.falls.append(one)
            case Process():
                story.processes[one.controller].append(one)
    return story


def audit(story: Story, facts: Facts) -> list[Verdict]:
    """Check all rules; return a verdict for each."""
    checks = (final_answers, effects, drains, cold_engines, order_by_key, placement, budget)
    verdicts = []
    for rule, check in zip(RULES, checks, strict=True):
        verdict = Verdict(rule)
        check(story, facts, verdict)
        verdicts.append(verdict)
    return verdicts


def _overlaps(windows: list[Window], start: float, end: float) -> bool:
    return any(a < end and start < b for a, b in windows)


def excuses(story: Story, facts: Facts) -> dict[int, list[Window]]:
    """Return by controller when no answer of it can be asked for: killed, stopped, or out of reach."""
    windows = {number: list(deaf) for number, deaf in facts.deaf.items()}
    for number, steps in story.processes.items():
        mine, stopped, gone = windows.setdefault(number, []), None, None
        for step in steps:
            if step.what in ("kill", "crashed", "ended"):
                gone = step.at - SLACK_MS if gone is None else gone  # a dead one is cleared away later
            elif step.what == "started" and gone is not None:
                mine.append((gone, step.at + STARTS_MS))
                gone = None
            elif step.what == "stop" and stopped is None:
                stopped = step.at
            elif step.what == "cont" and stopped is not None:
                mine.append((stopped, step.at + SLACK_MS))
                stopped = None
        if gone is not None:
            mine.append((gone, float("inf")))
    return windows


def final_answers(story: Story, facts: Facts, verdict: Verdict) -> None:
    """Each request taken gets one answer in time, made by an executor if it is served."""
    windows = excuses(story, facts)
    for one in story.odd:
        verdict.check(False, f"n{one.controller}: {one.text}")
    for name, request in story.requests.items():
        asked, answers = request.asked, request.answers
        who = f"{name} of n{asked.controller}"
        verdict.check(len(answers) <= 1, f"{who}: answered {[a.kind for a in answers]}")
        until = asked.deadline + SLACK_MS + WAY_MS
        excused = _overlaps(windows.get(asked.controller, []), asked.at, until)
        if not answers:
            if request.left is None and not excused:
                how = "its connection was closed" if request.broken is not None else "no answer came"
                verdict.check(False, f"{who}: {how}, {asked.deadline - asked.at:.0f} ms after {asked.at:.0f}")
            continue
        first = answers[0]
        if not excused:
            verdict.check(
                first.at <= until, f"{who}: {first.kind} {first.at - asked.deadline:.0f} ms after its time"
            )
        verdict.check(first.kind != STRANGE, f"{who}: an answer that is none: {first.proof}")
        if first.kind == SERVED:
            verdict.check(first.proof in story.proofs.get(name, ()), f"{who}: served what no executor made")


def effects(story: Story, facts: Facts, verdict: Verdict) -> None:
    """What may have run is not run again, but for classes that allow it."""
    for began in story.strangers:
        verdict.check(False, f"{began.name}: at {began.instance}, and nobody asked for it")
    for name, request in story.requests.items():
        cls, attempts = facts.classes[request.asked.cls], request.attempts
        verdict.check(len(attempts) <= facts.max_attempts, f"{name}: {len(attempts)} attempts")
        ran = [attempt for attempt in attempts if attempt.ran()]
        if cls.effect == "unsafe":
            verdict.check(len(ran) <= 1, f"{name}: sent again after it may have run")
        elif cls.effect == "keyed" and len(ran) > 1:
            age = ran[-1].began.at - ran[0].began.at
            verdict.check(age <= cls.memory_ms + SLACK_MS, f"{name}: repeated after {age:.0f} ms")
        if not facts.parallel:
            for before, after in zip(ran, ran[1:], strict=False):
                good = before.ended is not None and before.ended <= after.began.at + SLACK_MS
                verdict.check(good, f"{name}: two attempts out at once")
        if cls.effect != "safe" and any(a.kind == REFUSED for a in request.answers):
            verdict.check(not ran, f"{name}: refused after it may have run")


def _knows(at: float, windows: list[Window]) -> float:
    """Return from when on a controller knows what the channel had for it at a time."""
    for start, end in sorted(windows):
        if start <= at < end:
            at = end
    return at


def drains(story: Story, facts: Facts, verdict: Verdict) -> None:
    """Nothing new goes to an executor that its sender was told to be draining or gone a while ago."""
    since: dict[tuple[int, str], float] = {}
    for number, events in facts.told.items():
        for at, instance, state in events:
            if state in ("terminating", "terminated"):
                since.setdefault((number, instance), _knows(at, facts.blind.get(number, [])))
    for attempt in story.attempts:
        began = attempt.began
        at = since.get((began.controller, began.instance))
        if at is None:
            verdict.checks += 1
            continue
        until = at + facts.drain_grace_ms + SLACK_MS + WAY_MS
        place = facts.places.get(began.instance)
        if (
            began.at > until
            and place is not None
            and facts.disturbed(began.controller, place.slot, at, began.at)
        ):
            continue  # it was under way when its way was cut, and came when that ended
        stopped = [(s, e + WAKES_MS) for s, e in _stops(story, began.controller)]
        if began.at > until and _overlaps(stopped, at, began.at):
            continue  # its sender stood still, with what it had begun to send
        verdict.check(
            began.at <= until,
            f"{began.name}: n{began.controller} to {began.instance}, "
            f"{began.at - until:.0f} ms past the grace",
        )


def _stops(story: Story, controller: int) -> list[Window]:
    stops, since = [], None
    for step in story.processes.get(controller, ()):
        if step.what == "stop" and since is None:
            since = step.at
        elif step.what == "cont" and since is not None:
            stops.append((since, step.at))
            since = None
    return stops


def cold_engines(story: Story, facts: Facts, verdict: Verdict) -> None:
    """In no window gets an executor that just started more than it bears, from all controllers together."""
    if not facts.fall_multiple:
        return
    for fall in story.falls:
        verdict.check(False, f"{fall.instance}: fell over at {fall.at:.0f}")
    by_instance: dict[str, list[Began]] = defaultdict(list)
    for attempt in story.attempts:
        by_instance[attempt.began.instance].append(attempt.began)
    listed = {
        (number, instance): _knows(at, facts.blind.get(number, []))
        for number, events in facts.told.items()
        for at, instance, state in events
        if state == "in_service"
    }
    for instance, place in facts.places.items():
        if place.start_ms < 0.0:
            continue
        sent = [b for b in by_instance.get(instance, ()) if b.at < place.start_ms + facts.cold_ms]
        start = 0
        for end, began in enumerate(sent):
            while sent[start].at < began.at - facts.fall_ms:
                start += 1
            window = sent[start : end + 1]
            work = sum(b.work_ms for b in window)
            knowing = sum(
                b.work_ms for b in window if b.at > listed.get((b.controller, instance), float("inf"))
            )
            if knowing < KNOWING * work:
                continue  # who was not told of the start could not know
            warm = facts.cold_share + (1 - facts.cold_share) * (began.at - place.start_ms) / facts.cold_ms
            most = facts.fall_multiple * warm * place.cores * facts.fall_ms
            verdict.check(
                work <= most,
                f"{instance}: {work:.0f} ms of work within {facts.fall_ms:.0f} ms, "
                f"{began.at - place.start_ms:.0f} ms after its start, of {most:.0f}",
            )


def order_by_key(story: Story, facts: Facts, verdict: Verdict) -> None:
    """The platform's protocol has no field for keys, so there is nothing to check."""


def placement(story: Story, facts: Facts, verdict: Verdict) -> None:
    """A class that is bound to zones runs nowhere else."""
    for attempt in story.attempts:
        request, place = story.requests.get(attempt.began.name), facts.places.get(attempt.began.instance)
        if request is not None and place is not None:
            zones = facts.classes[request.asked.cls].zones
            verdict.check(
                not zones or place.zone in zones, f"{attempt.began.name}: {attempt.began.cls} in {place.zone}"
            )


def budget(story: Story, facts: Facts, verdict: Verdict) -> None:
    """Attempts after a request's first stay within their part of the requests of their controller."""
    if not facts.budget_ms:
        return
    asked: dict[int, list[float]] = defaultdict(list)
    for request in story.requests.values():
        asked[request.asked.controller].append(request.asked.at)
    for times in asked.values():
        times.sort()
    further: dict[int, list[float]] = defaultdict(list)
    seen: set[str] = set()
    for attempt in story.attempts:
        began = attempt.began
        if began.name not in seen:
            seen.add(began.name)
            continue
        mine, times = further[began.controller], asked[began.controller]
        mine.append(began.at)
        since = began.at - facts.budget_ms
        made = len(mine) - bisect_right(mine, since + SLACK_MS)
        taken = bisect_right(times, began.at) - bisect_left(times, since - SLACK_MS)
        most = facts.budget_free + facts.budget_share * taken
        verdict.check(made <= most, f"n{began.controller}: further attempt {made}, where {most:.1f} may be")
