"""The seven rules, each checked from a trace alone, by what the settings file says and nothing else.

1 final answers, 2 effects, 3 drains, 4 cold engines, 5 order by key, 6 placement, 7 budget of further
attempts.
"""

import math
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field

from fennelwind.audit.trace import CANCELLED, FAILED, NOT_RUN, REFUSED, REJECTED, SERVED, Attempt, Told, Trace
from fennelwind.config import settings_pb2 as pb

SLACK_MS = 60.0  # ms by which things seen on two connections may seem to have another order than they had
KNOWING = 2 / 3  # part of the work that has to come from a controller told of the start
SHOWN = 5  # breaks of a rule that are told in words
RULES = ("final answers", "effects", "drains", "cold engines", "order by key", "placement", "budget")


@dataclass(slots=True)
class Verdict:
    """How often a rule was checked, and each break of it."""

    rule: str
    checks: int = 0
    breaks: list[str] = field(default_factory=list)

    def check(self, good: bool, why: str) -> None:
        """Count a check."""
        self.checks += 1
        if not good:
            self.breaks.append(why)


def audit(trace: Trace, settings: pb.Settings) -> list[Verdict]:
    """Check all rules; return a verdict for each."""
    checks: tuple[Callable[[Trace, pb.Settings, Verdict], None], ...] = (
        final_answers,
        effects,
        drains,
        cold_engines,
        order_by_key,
        placement,
        budget,
    )
    verdicts = []
    for rule, check in zip(RULES, checks, strict=True):
        verdict = Verdict(rule)
        check(trace, settings, verdict)
        verdicts.append(verdict)
    return verdicts


def _classes(settings: pb.Settings) -> dict[str, pb.QueryClass]:
    return {c.name: c for c in settings.classes}


def _by_tag(trace: Trace) -> dict[str, list[Attempt]]:
    attempts = defaultdict(list)
    for attempt in trace.attempts:
        attempts[attempt.tag].append(attempt)
    return attempts


def final_answers(trace: Trace, settings: pb.Settings, verdict: Verdict) -> None:
    """Each query asked gets one final answer before its client gives up, or its client has left."""
    for text in trace.strange:
        verdict.check(False, text)
    for q in trace.queries.values():
        answers = [a for a in q.answers if a[1] != CANCELLED or q.left is None]
        verdict.check(len(answers) <= 1, f"{q.tag}: answered {[kind for _, kind in answers]}")
        if answers:
            late = answers[0][0] - q.deadline
            verdict.check(late <= 0, f"{q.tag}: {answers[0][1]} {late:.0f} ms after its client gave up")
        else:  # who leaves before its time is up is owed nothing; who leaves then was left unanswered
            verdict.check(q.left is not None and q.left < q.deadline - 1.0, f"{q.tag}: unanswered")


def effects(trace: Trace, settings: pb.Settings, verdict: Verdict) -> None:
    """What may have run is not run again, but for classes and places that allow it."""
    classes, places = _classes(settings), {t.engine: t for t in trace.told}
    for tag, attempts in _by_tag(trace).items():
        query = trace.queries.get(tag)
        if query is None:
            verdict.check(False, f"{tag}: at an engine, and nobody asked for it")
            continue
        cls = classes[query.cls]
        for i, attempt in enumerate(attempts):
            earlier = attempts[:i]
            if not settings.rules.parallel:
                out = [a for a in earlier if a.ended is None or a.ended > attempt.began + SLACK_MS]
                verdict.check(not out, f"{tag}: two attempts out at once: {_spans(*out, attempt)}")
            ran = [a for a in earlier if a.end != NOT_RUN]
            if cls.effect == pb.QueryClass.UNSAFE:
                verdict.check(not ran, f"{tag}: sent again after it may have run")
            elif cls.effect == pb.QueryClass.KEYED and ran:
                first, here = places.get(ran[0].engine), places.get(attempt.engine)
                same = (
                    cls.group == pb.QueryClass.ALL
                    or first is not None
                    and here is not None
                    and (
                        first.zone == here.zone
                        and (cls.group == pb.QueryClass.ZONE or first.cell == here.cell)
                    )
                )
                verdict.check(same, f"{tag}: repeated outside its {pb.QueryClass.Group.Name(cls.group)}")
                age = attempt.began - ran[0].began
                verdict.check(age <= cls.memory_ms, f"{tag}: repeated after {age:.0f} ms")
        refused = any(kind == REFUSED for _, kind in query.answers)
        harmless = cls.effect == pb.QueryClass.SAFE or (
            cls.effect == pb.QueryClass.KEYED and cls.group == pb.QueryClass.ALL
        )
        if refused and not harmless:
            verdict.check(all(a.end == NOT_RUN for a in attempts), f"{tag}: refused after it may have run")


def _spans(*attempts: Attempt) -> str:
    """Return where attempts were, from when until when, and how they ended."""
    return ", ".join(f"{a.engine} from {a.began:.0f} to {a.ended or math.inf:.0f} {a.end}" for a in attempts)


def drains(trace: Trace, settings: pb.Settings, verdict: Verdict) -> None:
    """Nothing new goes to an engine that the controller was told to be draining or gone a while ago."""
    since: dict[str, float] = {}
    told = iter(trace.told)
    following = next(told, None)
    for attempt in trace.attempts:
        while following is not None and following.at <= attempt.began:
            if following.state == "ready":
                since.pop(following.engine, None)
            else:
                since.setdefault(following.engine, following.at)
            following = next(told, None)
        at = since.get(attempt.engine)
        if at is not None:
            late = attempt.began - at - settings.rules.drain_grace_ms
            why = f"{attempt.tag}: to {attempt.engine}, {late:.0f} ms past the grace"
            verdict.check(late <= SLACK_MS, why)
        else:
            verdict.checks += 1


def cold_engines(trace: Trace, settings: pb.Settings, verdict: Verdict) -> None:
    """In no window gets an engine that just started more than the stated multiple of what it can do then."""
    r, cores = settings.rules, {k.name: k.cores for k in settings.kinds}
    if not r.fall_multiple:
        return
    lives: dict[tuple[str, float], Told] = {}
    for t in trace.told:
        if t.launched and t.state != "gone":
            lives.setdefault((t.engine, t.launched), t)
    for (engine, launched), told in lives.items():
        warm_at = launched + r.cold_ms
        sent = [a for a in trace.attempts if a.engine == engine and launched <= a.began < warm_at]
        start = 0
        for end, attempt in enumerate(sent):
            while sent[start].began < attempt.began - r.fall_ms:
                start += 1
            work = sum(a.work_ms for a in sent[start : end + 1])
            knowing = sum(a.work_ms for a in sent[start : end + 1] if a.began > told.at)
            if knowing < KNOWING * work:
                continue  # who was not told of the start could not know
            warm = r.cold_share + (1 - r.cold_share) * (attempt.began - launched) / r.cold_ms
            most = r.fall_multiple * warm * cores[told.kind] * r.fall_ms
            verdict.check(
                work <= most,
                f"{engine}: {work:.0f} ms of work within {r.fall_ms:.0f} ms, "
                f"{attempt.began - launched:.0f} ms after its start, of {most:.0f}",
            )


def order_by_key(trace: Trace, settings: pb.Settings, verdict: Verdict) -> None:
    """Queries of one key run one at a time, in the order they were asked."""
    classes, attempts = _classes(settings), _by_tag(trace)
    lines = defaultdict(list)
    for query in sorted(trace.queries.values(), key=lambda q: q.asked):
        if query.key and classes[query.cls].serial:
            lines[query.key].append(query)
    for key, line in lines.items():
        for i, query in enumerate(line):
            for attempt in attempts.get(query.tag, ()):
                for other in line[:i]:
                    if other.asked > query.asked - SLACK_MS and other.wire != query.wire:
                        continue  # which of the two came first can't be seen from here
                    ends = [e[0] for e in other.answers] or [other.left or float("inf")]
                    verdict.check(
                        ends[0] <= attempt.began + SLACK_MS,
                        f"{key}: {query.tag} ran before {other.tag} had ended",
                    )
                    for before in attempts.get(other.tag, ()):
                        rest = settings.rules.settle_ms if before.end in ("cut",) else 0.0
                        free = (before.ended if before.ended is not None else float("inf")) + rest
                        verdict.check(
                            free <= attempt.began + SLACK_MS,
                            f"{key}: {query.tag} ran while {other.tag} may have been running",
                        )


def placement(trace: Trace, settings: pb.Settings, verdict: Verdict) -> None:
    """A class that is bound to zones or kinds runs nowhere else."""
    classes, places = _classes(settings), {t.engine: t for t in trace.told}
    for attempt in trace.attempts:
        query, place = trace.queries.get(attempt.tag), places.get(attempt.engine)
        if query is None or place is None:
            continue
        cls = classes[query.cls]
        good = (not cls.zones or place.zone in cls.zones) and (not cls.kinds or place.kind in cls.kinds)
        verdict.check(good, f"{attempt.tag}: {query.cls} at {attempt.engine}, {place.kind} in {place.zone}")


def budget(trace: Trace, settings: pb.Settings, verdict: Verdict) -> None:
    """Attempts after a query's first stay within their part of the queries asked, in every window."""
    r = settings.rules
    if not r.budget_ms:
        return
    asked = sorted(q.asked for q in trace.queries.values())
    seen: set[str] = set()
    further: list[float] = []
    for attempt in trace.attempts:
        if attempt.tag not in seen:
            seen.add(attempt.tag)
            continue
        now = attempt.began
        further.append(now)
        made = sum(t > now - r.budget_ms + SLACK_MS for t in further)
        taken = sum(now - r.budget_ms - SLACK_MS < t <= now for t in asked)
        most = r.budget_free + r.budget_share * taken
        verdict.check(made <= most, f"{attempt.tag}: further attempt {made}, where {most:.1f} are allowed")


def served_share(trace: Trace, settings: pb.Settings) -> dict[str, dict[str, float]]:
    """Return by class what was asked, served, served within the aim, refused, failed, left and unanswered."""
    columns = ("taken", "served", "in_time", "refused", "failed", "left", "unanswered")
    table = {c.name: dict.fromkeys(columns, 0) for c in settings.classes}
    stretch = {c.name: (c.aim_ms, c.aim_stretch, c.threads) for c in settings.classes}
    work = {a.tag: a.work_ms for a in trace.attempts}
    for q in trace.queries.values():
        row = table[q.cls]
        row["taken"] += 1
        kind = q.answers[0][1] if q.answers else ""
        aim, more, threads = stretch[q.cls]
        if kind == SERVED:
            row["served"] += 1
            row["in_time"] += q.answers[0][0] - q.asked <= aim + more * work.get(q.tag, 0.0) / threads
        elif kind in (REFUSED, REJECTED):
            row["refused"] += 1
        elif kind == FAILED:
            row["failed"] += 1
        elif q.left is not None and q.left < q.deadline - 1.0 or kind == CANCELLED:
            row["left"] += 1
        else:
            row["unanswered"] += 1
    return table
