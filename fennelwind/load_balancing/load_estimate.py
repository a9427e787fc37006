"""Estimates each executor's load from load reports. No I/O or clock; times in ms, loads relative to capacity.

A report is outdated when it arrives, slightly noisy, and lacks the queries sent since. So an estimate decays
from the reported load towards the mean of its zone, own queries sent since are added, and the uncertainty is
returned as a standard deviation. `load_advisor` is the only caller.
"""

import math
from dataclasses import dataclass

UTILIZATION_FIELDS = ("cpu", "x1")  # busy shares of the cores and of the disks; the higher one is the load
QUEUE_FIELD = "waiting"  # number of threads that wait at the executor
REPORT_DECAY_MS = 1500.0  # time in which a report's weight falls to 1/e; queries take about a second
REPORT_NOISE = 0.07  # standard deviation of a reported load; platforms state 0.03 to 0.10
MAX_LOAD = 2.0  # a larger reported load is cut to this value, as it gives no better estimate
ZONE_SMOOTHING = 0.15  # weight of a new report in its zone's mean and variance; averages some 7 reports
UNKNOWN_LOAD = 0.5  # load that is assumed before any report
UNKNOWN_DEVIATION = 0.25  # standard deviation of the load that is assumed before any report
STUCK_REPORTS = 4  # equal reports in a row; from this number on a field counts as stuck
STUCK_MS = 3000.0  # ms; shortest time that these reports span; noise never repeats a value for so long


@dataclass(slots=True)
class LoadReport:
    """The latest report of an executor."""

    load: float
    received_ms: float
    sent_threads: float = 0.0  # threads of own queries sent to the executor since this report
    equal_reports: int = 1  # reports in a row with the same load
    equal_since_ms: float = 0.0  # when the first of the equal reports arrived

    def is_stuck(self) -> bool:
        """Return whether the reported field appears to have stopped updating."""
        span_ms = self.received_ms - self.equal_since_ms
        return self.equal_reports >= STUCK_REPORTS and span_ms >= STUCK_MS


@dataclass(slots=True)
class ZoneLoad:
    """Moving mean and variance of the reported loads of a zone."""

    mean: float
    variance: float = UNKNOWN_DEVIATION**2

    def add(self, load: float) -> None:
        """Update the mean and the variance with a reported load."""
        difference = load - self.mean
        self.mean += difference * ZONE_SMOOTHING
        self.variance += (difference * difference - self.variance) * ZONE_SMOOTHING


def reported_load(report: dict[str, float], cores: int) -> float | None:
    """Return the load that a report states, or None if the report has no known field or no valid value."""
    utilizations = [report[name] for name in UTILIZATION_FIELDS if name in report]
    utilizations = [value for value in utilizations if math.isfinite(value)]
    if not utilizations or min(utilizations) < 0.0:
        return None
    queued = report.get(QUEUE_FIELD, 0.0)
    queued_load = queued / cores if math.isfinite(queued) and queued > 0.0 else 0.0
    return min(max(utilizations) + queued_load, MAX_LOAD)


class LoadEstimator:
    """Estimates the loads of all executors from their reports."""

    def __init__(self) -> None:
        self.reports: dict[str, LoadReport] = {}
        self.zones: dict[int, ZoneLoad] = {}

    def forget(self, engine: str) -> None:
        """Drop the reports of an executor that was removed or has restarted."""
        self.reports.pop(engine, None)

    def add_report(self, engine: str, zone: int, report: dict[str, float], cores: int, now: float) -> None:
        """Record a report; ignore a report without a usable load."""
        load = reported_load(report, cores)
        if load is None:
            return
        previous, latest = self.reports.get(engine), LoadReport(load, now, equal_since_ms=now)
        if previous is not None and previous.load == load:
            latest.equal_reports = previous.equal_reports + 1
            latest.equal_since_ms = previous.equal_since_ms
        self.reports[engine] = latest
        if latest.is_stuck():
            return  # a stuck, meaningless value must not bias the mean of the whole zone
        zone_load = self.zones.get(zone)
        if zone_load is None:
            self.zones[zone] = ZoneLoad(load)
        else:
            zone_load.add(load)

    def add_sent_threads(self, engine: str, threads: float) -> None:
        """Add a sent attempt's threads to those sent to the executor since its latest report."""
        report = self.reports.get(engine)
        if report is not None:
            report.sent_threads += threads

    def age_ms(self, engine: str, now: float) -> float:
        """Return the age of the latest report in ms, or infinity if there is none or it is stuck."""
        report = self.reports.get(engine)
        return now - report.received_ms if report is not None and not report.is_stuck() else math.inf

    def estimate(self, engine: str, zone: int, cores: int, now: float) -> tuple[float, float]:
        """Return an executor's estimated load, and its standard deviation.

        The result is a plain tuple, as this method runs for each preferred executor in each step.
        """
        zone_load = self.zones.get(zone) or self._busiest_zone()
        age_ms = self.age_ms(engine, now)
        if math.isinf(age_ms):
            return zone_load.mean, math.sqrt(zone_load.variance)
        report, weight = self.reports[engine], math.exp(-max(age_ms, 0.0) / REPORT_DECAY_MS)
        load = report.load * weight + zone_load.mean * (1.0 - weight) + report.sent_threads / cores * weight
        variance = REPORT_NOISE**2 * weight + zone_load.variance * (1.0 - weight * weight)
        return load, math.sqrt(variance)

    def _busiest_zone(self) -> ZoneLoad:
        """Return the load assumed for a zone without reports: that of the busiest zone, to avoid overload."""
        mean = max((zone_load.mean for zone_load in self.zones.values()), default=UNKNOWN_LOAD)
        return ZoneLoad(mean)
