"""Plays a day on one of the rigs and puts together what came of it, for the terminal and for a folder."""

import dataclasses
import json
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from fennelwind import policy
from fennelwind.audit.fleet import audit, put_together
from fennelwind.audit.observations import Sighting, Usage
from fennelwind.audit.rules import SHOWN
from fennelwind.testbed.baselines import Yardstick
from fennelwind.testbed.facts import facts_of
from fennelwind.testbed.figures import figures
from fennelwind.testbed.plan import Plan
from fennelwind.testbed.virtual import Decides, Outcome, Virtual

KEPT_MS = 20_000.0  # ms of the executors' true states that the late-seeing yardstick may look back on


class Truth:
    """What truly ran on each executor, by time; fed from what the stand-ins see."""

    def __init__(self, plan: Plan) -> None:
        cores = {kind.name: kind.cores for kind in plan.day.file.kinds}
        self.cores = {life.instance: cores[plan.slots[life.slot].kind] for life in plan.lives}
        self.widths = {cls.name: cls.threads for cls in plan.day.file.classes}
        self.changes: dict[str, list[tuple[float, float]]] = {name: [(-1e12, 0.0)] for name in self.cores}
        self._out: dict[tuple[str, str], int] = {}

    def see(self, one: Sighting) -> None:
        """Take a sighting."""
        kind = type(one).__name__
        if kind == "Began":
            self._out[one.instance, one.name] = self.widths.get(one.cls, 1)
            self._change(one.instance, one.at, self.widths.get(one.cls, 1))
        elif kind == "Ended":
            self._change(one.instance, one.at, -self._out.pop((one.instance, one.name), 0))

    def _change(self, instance: str, at: float, width: int) -> None:
        changes = self.changes[instance]
        changes.append((at, changes[-1][1] + width))
        while len(changes) > 2 and changes[1][0] < at - KEPT_MS:
            changes.pop(0)

    def load(self, at: float, instance: str) -> float:
        """Return the threads a core that ran then."""
        changes = self.changes.get(instance)
        if changes is None:
            return 0.0
        threads = next((width for when, width in reversed(changes) if when <= at), 0.0)
        return threads / self.cores[instance]


def deciders(decider: str) -> Callable[[policy.Settings, int, Virtual], Decides] | None:
    """Return what makes the deciders of a policy by name: the module's own, or a yardstick's.

    Names: module, random, fewest, two, reported, late or late:MS. Raises `ValueError`.
    """
    if decider == "module":
        return None
    name, _, late = decider.partition(":")
    late_ms = float(late or 100.0)
    Yardstick(
        name,
        policy.Settings(classes=(policy.QueryClass("x", 1.0, 1.0, 1.0),), kind_cores=(1,)),
        0,
        lambda at, instance: 0.0,
    )  # a wrong name is told now

    def make(settings: policy.Settings, seed: int, fleet: Virtual) -> Decides:
        def truth(at: float, instance: str) -> float:
            return fleet.truth.load(at - fleet.before_ms, instance)

        return Yardstick(name, settings, seed, truth, late_ms)

    return make


@dataclass(slots=True)
class Result:
    """A day played."""

    name: str
    rig: str
    policy: str
    seed: int
    figures: dict[str, Any]
    rules: list[dict[str, Any]]
    broke: list[str]
    notes: dict[str, Any] = field(default_factory=dict)

    @property
    def good(self) -> bool:
        """Whether no rule broke and nothing else did."""
        return not self.broke and not any(rule["breaks"] for rule in self.rules)


def sim(plan: Plan, policy: str = "module", salt: str = "") -> Result:
    """Play a day in virtual time."""
    fleet = Virtual(plan, make=deciders(policy), salt=salt)
    if policy.startswith("late"):
        fleet.watch(Truth(plan))
    return judge(plan, fleet.play(), "sim", policy)


def judge(plan: Plan, outcome: Outcome, rig: str, policy: str) -> Result:
    """Audit a day that was played and work out its figures."""
    story = put_together(outcome.sightings)
    rules = [
        {
            "rule": verdict.rule,
            "checks": verdict.checks,
            "breaks": len(verdict.breaks),
            "first": verdict.breaks[:SHOWN],
        }
        for verdict in audit(story, facts_of(plan))
    ]
    told = figures(plan, story, outcome.sightings)
    usages = [one for one in outcome.sightings if isinstance(one, Usage)]
    notes = outcome.notes | {"processes": [list(one[1:]) for one in usages if one.name != "world"]}
    return Result(plan.day.file.name, rig, policy, plan.seed, told, rules, outcome.broke, notes)


def save(result: Result, folder: Path) -> None:
    """Write a result into a folder."""
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / f"{result.name}-{result.rig}-{result.policy.replace(':', '-')}-{result.seed}.json"
    path.write_text(json.dumps(dataclasses.asdict(result), indent=1) + "\n", encoding="utf-8")


def load_all(folder: Path) -> list[Result]:
    """Read all results of a folder. Raises `ValueError` with the file's name if one can't be read."""
    results = []
    for path in sorted(folder.glob("*.json")):
        try:
            results.append(Result(**json.loads(path.read_text(encoding="utf-8"))))
        except (TypeError, ValueError) as exc:
            raise ValueError(f"{path}: no result of a day: {exc}") from None
    return results
