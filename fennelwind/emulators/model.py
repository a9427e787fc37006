"""How an engine gets its queries done; without I/O, given the time.

All that runs shares the cores: a query's threads each get a part of one, and beyond two threads a core the
total shrinks. A machine that just started does a share of it and warms up; sent far more than it can do
then, it falls over. Memory that is short makes what runs spill; tables read lately save a part of the work.
"""

from collections import deque
from dataclasses import dataclass, field

CROWD_AT, CROWD_COST = 2.0, 0.15  # threads a core without loss; loss for each beyond, as shared caches cost
SPILL_COST = 2.0  # times the work that memory short by all of it adds
WARM_SAVES, WARM_GROUPS = 0.3, 4  # share of the work that warm tables save; groups kept warm
STEP_MS = 100.0  # ms after which a pace that changes with time is looked at anew


@dataclass(slots=True)
class Machine:
    """What an engine is made of."""

    cores: int
    memory_mb: float = 16384.0
    cold_share: float = 0.35
    cold_ms: float = 10000.0
    fall_multiple: float = 3.0
    fall_ms: float = 2000.0
    ranks: tuple[float, ...] = ()  # by priority: parts of short cores; (): priorities are not heeded


@dataclass(slots=True, eq=False)
class Job:
    """A query that runs."""

    work_ms: float  # of all its threads
    threads: int
    memory_mb: float = 0.0
    tables: int | None = None
    priority: int = 1
    left: float = field(init=False)

    def __post_init__(self) -> None:
        self.left = self.work_ms

    @property
    def share_done(self) -> float:
        """The share of its work that is done."""
        return 1.0 - max(self.left, 0.0) / self.work_ms if self.work_ms else 1.0


class Model:
    """One life of an engine."""

    def __init__(self, machine: Machine, started: float, cold: bool) -> None:
        self.machine, self.started, self.cold = machine, started, cold
        self.jobs: dict[Job, None] = {}  # in the order they came
        self.warm: deque[int] = deque(maxlen=WARM_GROUPS)
        self.slow = 1.0  # times the usual time, a fault
        self.fallen = False
        self._sent: deque[tuple[float, float]] = deque()
        self._at = started

    def warmth(self, now: float) -> float:
        """Return the share of its capacity that it has."""
        m = self.machine
        if not self.cold or now >= self.started + m.cold_ms:
            return 1.0
        return m.cold_share + (1.0 - m.cold_share) * (now - self.started) / m.cold_ms

    def add(self, job: Job, now: float) -> list[Job]:
        """Let a query run; return those that were done before."""
        done = self.advance(now)
        self._press(job.work_ms, now)
        if job.tables is not None and job.tables in self.warm:
            job.left *= 1.0 - WARM_SAVES
        self.jobs[job] = None
        return done

    def remove(self, job: Job, now: float) -> list[Job]:
        """Stop a query; return those that were done before."""
        done = self.advance(now)
        self.jobs.pop(job, None)
        return done

    def advance(self, now: float) -> list[Job]:
        """Let time pass; return what is done by then, in order."""
        passed, self._at = now - self._at, max(now, self._at)
        done = []
        if passed > 0:
            paces = self._paces(now)
            for job, pace in paces.items():
                job.left -= pace * passed
        for job in [j for j in self.jobs if j.left <= 1e-6]:
            del self.jobs[job]
            done.append(job)
            if job.tables is not None:
                if job.tables in self.warm:
                    self.warm.remove(job.tables)
                self.warm.append(job.tables)
        return done

    def next_due(self, now: float) -> float | None:
        """Return when something may be done next, or None while nothing runs."""
        if not self.jobs:
            return None
        paces = self._paces(now)
        first = min(job.left / pace for job, pace in paces.items())
        return now + (min(first, STEP_MS) if self.warmth(now) < 1.0 else first)

    def load(self) -> dict[str, float]:
        """Return the load figures that it reports."""
        threads = sum(j.threads for j in self.jobs)
        waiting = max(0.0, threads - self.machine.cores)
        memory = sum(j.memory_mb for j in self.jobs) / self.machine.memory_mb
        return {
            "active": float(len(self.jobs)),
            "waiting": waiting,
            "cpu": min(1.0, threads / self.machine.cores),
            "memory": memory,
        }

    def _paces(self, now: float) -> dict[Job, float]:
        threads = sum(j.threads for j in self.jobs)
        cores = self.machine.cores * self.warmth(now)
        crowd = max(0.0, threads / self.machine.cores - CROWD_AT)
        capacity = cores / (1.0 + CROWD_COST * crowd) / self.slow
        short = max(0.0, sum(j.memory_mb for j in self.jobs) / self.machine.memory_mb - 1.0)
        spill = 1.0 + SPILL_COST * short
        if self.machine.ranks and capacity * self.slow < threads:
            return {job: pace / spill for job, pace in self._ranked(capacity).items()}
        pace = min(1.0 / self.slow, capacity / max(threads, 1)) / spill
        return {job: job.threads * pace for job in self.jobs}

    def _ranked(self, capacity: float) -> dict[Job, float]:
        """Share cores that are short by priority; no thread gets more than one, what is left goes round."""
        ranks, paces, left = self.machine.ranks, {}, dict.fromkeys(self.jobs)
        while left:
            weights = {job: job.threads * ranks[min(job.priority, len(ranks) - 1)] for job in left}
            total = sum(weights.values())
            full = [job for job in left if capacity * weights[job] / total >= job.threads / self.slow]
            if not full:
                paces.update((job, capacity * weights[job] / total) for job in left)
                break
            for job in full:
                paces[job] = job.threads / self.slow
                capacity -= paces[job]
                del left[job]
        return {job: paces[job] for job in self.jobs}

    def _press(self, work: float, now: float) -> None:
        """Count work that arrives; a cold engine that gets far too much falls over."""
        m = self.machine
        self._sent.append((now, work))
        while self._sent and self._sent[0][0] < now - m.fall_ms:
            self._sent.popleft()
        limit = m.fall_multiple * self.warmth(now) * m.cores * m.fall_ms
        if m.fall_multiple and self.warmth(now) < 1.0 and sum(w for _, w in self._sent) > limit:
            self.fallen = True
