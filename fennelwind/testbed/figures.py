"""A day's figures, from what its stand-ins saw: what clients got, how executors were used, what faults did.

numpy and HdrHistogram do the counting; nothing here looks into a controller.
"""

from collections import Counter, defaultdict
from dataclasses import dataclass, field
from typing import Any

import numpy as np
from hdrh.histogram import HdrHistogram

from fennelwind.audit.fleet import Story
from fennelwind.audit.observations import NOT_RUN, OK, SERVED, Lived, Sighting, Unreached
from fennelwind.testbed.plan import Plan

GRID_MS = 20.0  # ms between two looks at what runs where; short against every query that counts
WINDOW_MS = 1000.0  # ms over which work on executors is compared
HERD_MS = 100.0  # ms within which controllers that send to one executor count as a herd
OVERFULL = 2.0  # threads a core beyond which a query that comes meets an overfull executor
AFTER_MS = 2000.0  # ms after a fault in which what it did still shows
RECOVERED = 0.95  # of the level before the first fault
LATENCY_MOST_MS = 3_600_000
ENDS = ("served", "late", "refused", "failed", "withdrawn", "lost")


@dataclass(slots=True)
class Root:
    """A planned request with all its tries."""

    at: float
    cls: int
    aim_ms: float
    kinds: list[str] = field(default_factory=list)
    served_at: float | None = None

    @property
    def end(self) -> str:
        """Tell how it ended for its client: one of `ENDS`."""
        if self.served_at is not None:
            return "served" if self.served_at - self.at <= self.aim_ms else "late"
        last = self.kinds[-1] if self.kinds else "lost"
        return last if last in ENDS else "lost"


def roots_of(plan: Plan, story: Story) -> list[Root]:
    """Return all planned requests with their ends."""
    classes = plan.day.file.classes
    roots = [
        Root(
            ask.at_ms,
            ask.cls,
            classes[ask.cls].aim_ms + classes[ask.cls].aim_stretch * ask.work_ms / classes[ask.cls].threads,
        )
        for ask in plan.asks
    ]
    for request in story.requests.values():
        root = roots[request.asked.root]
        if request.left is not None:
            root.kinds.append("withdrawn")
        elif not request.answers:
            root.kinds.append("lost")
        else:
            first = request.answers[0]
            root.kinds.append(first.kind)
            if first.kind == SERVED and (root.served_at is None or first.at < root.served_at):
                root.served_at = first.at
    return roots


def worth_of(plan: Plan, root: Root) -> float:
    """Return the share of its worth that a request earned."""
    if root.end == "served":
        return 1.0
    return plan.day.file.classes[root.cls].late_worth if root.end == "late" else 0.0


def figures(plan: Plan, story: Story, sightings: list[Sighting]) -> dict[str, Any]:
    """Return all figures of a day."""
    roots = roots_of(plan, story)
    worth = np.array([plan.day.file.classes[root.cls].worth for root in roots] or [0.0])
    earned = np.array([worth_of(plan, root) for root in roots] or [0.0])
    total = float(worth.sum()) or 1.0
    told: dict[str, Any] = {
        "requests": len(roots),
        "worth": float((worth * earned).sum()) / total,
        "classes": _classes(plan, roots),
        "tries_a_request": len(story.requests) / max(1, len(roots)),
        "attempts_a_request": len(story.attempts) / max(1, len(story.requests)),
        "unreached": sum(isinstance(one, Unreached) for one in sightings),
    }
    told |= _executors(plan, story, sightings)
    at = np.array([root.at for root in roots] or [0.0])
    told |= _faults(plan, at, worth, earned)
    return told


def _classes(plan: Plan, roots: list[Root]) -> dict[str, dict[str, float]]:
    rows = {}
    for number, cls in enumerate(plan.day.file.classes):
        mine = [root for root in roots if root.cls == number]
        ends = Counter(root.end for root in mine)
        histogram = HdrHistogram(1, LATENCY_MOST_MS, 3)
        for root in mine:
            if root.served_at is not None:
                histogram.record_value(max(1, round(root.served_at - root.at)))
        count = max(1, len(mine))
        rows[cls.name] = (
            {"requests": len(mine)}
            | {end: ends[end] / count for end in ENDS}
            | {
                "worth": sum(worth_of(plan, root) for root in mine) / count,
                "p50_ms": histogram.get_value_at_percentile(50.0),
                "p99_ms": histogram.get_value_at_percentile(99.0),
            }
        )
    return rows


def _executors(plan: Plan, story: Story, sightings: list[Sighting]) -> dict[str, Any]:
    """Return how evenly the executors were used, and what their queries met."""
    day = plan.day.file
    slots = int(day.length_ms / GRID_MS) + 1
    kinds = {kind.name: kind for kind in day.kinds}
    threads_of = {cls.name: cls.threads for cls in day.classes}
    names = [life.instance for life in plan.lives]
    row = {name: place for place, name in enumerate(names)}
    cores = np.array([kinds[plan.slots[life.slot].kind].cores for life in plan.lives], dtype=float)
    memory = np.array([kinds[plan.slots[life.slot].kind].memory_mb for life in plan.lives])
    change, alive = np.zeros((len(names), slots + 1)), np.zeros((len(names), slots + 1))
    ended = {one.instance: one.at for one in sightings if isinstance(one, Lived) and one.what != "start"}
    for place, life in enumerate(plan.lives):
        alive[place, _slot(max(0.0, life.start_ms), slots)] += 1
        alive[place, _slot(min(ended.get(life.instance, 1e12), life.end_ms), slots)] -= 1
    bounds = []
    for attempt in story.attempts:
        place = row.get(attempt.began.instance)
        if place is None or attempt.how == NOT_RUN:
            continue
        width = threads_of.get(attempt.began.cls, 1)
        end = attempt.ended if attempt.ended is not None else day.length_ms
        change[place, _slot(attempt.began.at, slots)] += width
        change[place, _slot(end, slots)] -= width
        grant = attempt.began.grant_mb or attempt.began.need_mb
        bounds += [(attempt.began.at, 1, place, width, grant, attempt), (end, 0, place, -width, -grant, None)]
    threads, alive = change.cumsum(axis=1)[:, :slots], alive.cumsum(axis=1)[:, :slots] > 0
    load = threads / cores[:, None]
    queued = ((load > 1.0) & alive).any(axis=0)
    idle = (threads < 0.5) & alive & queued[None, :]
    overfull, short, wasted, all_work = _meetings(bounds, cores, memory)
    return {
        "work": _work(load, names),
        "uneven": _uneven(load, alive),
        "idle_while_queued": float(idle.sum()) / max(1.0, float(alive.sum())),
        "busy": float(np.minimum(load, 1.0)[alive].mean()) if alive.any() else 0.0,
        "herd": _herd(story),
        "overfull": overfull,
        "short_of_memory": short,
        "wasted": wasted / max(all_work, 1e-9),
        "ends": dict(Counter(attempt.how or "open" for attempt in story.attempts)),
    }


def _slot(at: float, slots: int) -> int:
    return min(max(0, int(at / GRID_MS)), slots)


def _meetings(
    bounds: list[tuple], cores: np.ndarray, memory: np.ndarray
) -> tuple[float, float, float, float]:
    """Return the shares of attempts that met an overfull executor, one short of memory; wasted work; all."""
    running, held = defaultdict(float), defaultdict(float)
    met = full = short = 0
    wasted = work = 0.0
    for _, _, place, width, grant, attempt in sorted(bounds, key=lambda item: item[:3]):
        if attempt is not None:
            met += 1
            full += running[place] + width > OVERFULL * cores[place]
            short += held[place] + grant > memory[place] or grant < attempt.began.need_mb
            work += attempt.began.work_ms
            wasted += attempt.began.work_ms if attempt.how != OK else 0.0
        running[place] += width
        held[place] += grant
    return full / max(1, met), short / max(1, met), wasted, work


def _work(load: np.ndarray, names: list[str]) -> dict[str, list[float]]:
    """Return the threads a core of each executor, the mean of each window, by instance."""
    step = int(WINDOW_MS / GRID_MS)
    return {
        name: [
            round(float(load[place, start : start + step].mean()), 3)
            for start in range(0, load.shape[1], step)
        ]
        for place, name in enumerate(names)
    }


def _uneven(load: np.ndarray, alive: np.ndarray) -> float:
    """Return the coefficient of variation of work over executors, the mean over windows."""
    step, found = int(WINDOW_MS / GRID_MS), []
    for start in range(0, load.shape[1] - step + 1, step):
        whole = alive[:, start : start + step].all(axis=1)
        mean = load[whole, start : start + step].mean(axis=1) if whole.any() else np.zeros(1)
        if len(mean) > 1 and mean.mean() > 0.0:
            found.append(float(mean.std() / mean.mean()))
    return float(np.mean(found)) if found else 0.0


def _herd(story: Story) -> int:
    """Return the largest number of controllers that sent to one executor within `HERD_MS`."""
    most, recent = 0, defaultdict(list)
    for attempt in story.attempts:
        began = attempt.began
        mine = recent[began.instance]
        mine.append((began.at, began.controller))
        while mine[0][0] < began.at - HERD_MS:
            mine.pop(0)
        most = max(most, len({controller for _, controller in mine}))
    return most


def _faults(plan: Plan, at: np.ndarray, worth: np.ndarray, earned: np.ndarray) -> dict[str, Any]:
    """Return the share of the worth served around each fault, and the time to recover from the last."""

    def share(start: float, end: float) -> float | None:
        inside = (at >= start) & (at < end)
        asked = float(worth[inside].sum())
        return float((worth * earned)[inside].sum()) / asked if asked else None

    day = plan.day.file
    rows = []
    for fault in day.faults:
        name = type(fault).Kind.Name(fault.kind)
        rows.append(
            {
                "kind": name,
                "at_ms": fault.at_ms,
                "for_ms": fault.for_ms,
                "worth": share(fault.at_ms, fault.at_ms + fault.for_ms + AFTER_MS),
            }
        )
    told: dict[str, Any] = {"faults": rows, "recovery_ms": None}
    if day.faults:
        before = share(0.0, min(fault.at_ms for fault in day.faults))
        last = max(fault.at_ms + fault.for_ms for fault in day.faults)
        start = last
        while before and start + WINDOW_MS <= day.length_ms:
            now = share(start, start + WINDOW_MS)
            if now is not None and now >= RECOVERED * before:
                told["recovery_ms"] = start - last
                break
            start += WINDOW_MS / 4.0
    return told
