"""What reports tell of the whole load of each executor. No I/O, no clock; times in ms, loads over capacity.

A report is old when it comes, a little noisy, and knows nothing of what was sent since. So a load fades from
what was told towards the mean of its zone, own queries sent since are added, and what is left uncertain is
told as a standard deviation.
"""

import math
from dataclasses import dataclass

SHARES = ("cpu", "x1")  # fields that tell a busy share: of cores, of disks; the busiest one is the load
FADE_MS = 1500.0  # ms in which a report loses all but 1/e of its say; queries take about a second
NOISE = 0.07  # of a report, standard deviation; platforms state 0.03 to 0.10
TOLD_MOST = 2.0  # times capacity; a share that is told larger is no better known
MEAN_PART = 0.15  # part of a new report in its zone's mean and variance: some 7 reports
UNKNOWN, SPREAD = 0.5, 0.25  # load and its standard deviation before anything was told
STUCK_SAME, STUCK_MS = 4, 3000.0  # reports in a row and ms; noise never repeats a figure for so long


@dataclass(slots=True)
class Told:
    """The last report of an executor."""

    load: float
    at: float
    sent: float = 0.0  # threads of own queries sent there since
    same: int = 1  # reports in a row that told the same
    since: float = 0.0  # when the first of them came

    def stuck(self) -> bool:
        """Tell whether the field is taken to have stopped moving."""
        return self.same >= STUCK_SAME and self.at - self.since >= STUCK_MS


@dataclass(slots=True)
class Zone:
    """What is usual in a zone."""

    mean: float
    variance: float = SPREAD**2


def load_of(report: dict[str, float], cores: int) -> float | None:
    """Return the load that a report tells, None if it has no field of known meaning or no usable figure."""
    shares = [report[name] for name in SHARES if name in report and math.isfinite(report[name])]
    if not shares or min(shares) < 0.0:
        return None
    waiting = report.get("waiting", 0.0)
    held = waiting / cores if math.isfinite(waiting) and waiting > 0.0 else 0.0
    return min(max(shares) + held, TOLD_MOST)


class Estimate:
    """The loads of all executors, as far as they are known."""

    def __init__(self) -> None:
        self.told: dict[str, Told] = {}
        self.zones: dict[int, Zone] = {}

    def forget(self, engine: str) -> None:
        """Drop what an earlier life told."""
        self.told.pop(engine, None)

    def news(self, engine: str, zone: int, report: dict[str, float], cores: int, now: float) -> None:
        """Take a report; one that tells nothing usable changes nothing."""
        load = load_of(report, cores)
        if load is None:
            return
        before, fresh = self.told.get(engine), Told(load, now, since=now)
        if before is not None and before.load == load:
            fresh.same, fresh.since = before.same + 1, before.since
        self.told[engine] = fresh
        if fresh.stuck():
            return  # it would draw its whole zone's mean towards a figure that means nothing
        usual = self.zones.get(zone)
        if usual is None:
            self.zones[zone] = Zone(load)
            return
        off = load - usual.mean
        usual.mean += off * MEAN_PART
        usual.variance += (off * off - usual.variance) * MEAN_PART

    def sent(self, engine: str, threads: float) -> None:
        """Count threads that a report of before knows nothing of."""
        told = self.told.get(engine)
        if told is not None:
            told.sent += threads

    def age(self, engine: str, now: float) -> float:
        """Return how old the last usable report is; infinite without one."""
        told = self.told.get(engine)
        return now - told.at if told is not None and not told.stuck() else math.inf

    def load(self, engine: str, zone: int, cores: int, now: float) -> tuple[float, float]:
        """Return an executor's load and its standard deviation."""
        usual = self.zones.get(zone)
        if usual is None:  # nothing of this zone is known: as the busiest one that is, so that none is rushed
            mean = max((known.mean for known in self.zones.values()), default=UNKNOWN)
            usual = Zone(mean)
        age = self.age(engine, now)
        if math.isinf(age):
            return usual.mean, math.sqrt(usual.variance)
        told, keep = self.told[engine], math.exp(-max(age, 0.0) / FADE_MS)
        load = told.load * keep + usual.mean * (1.0 - keep) + told.sent / cores * keep
        return load, math.sqrt(NOISE**2 * keep + usual.variance * (1.0 - keep * keep))
