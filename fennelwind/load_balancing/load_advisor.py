"""What the module is told of whole loads, from its own events and actions. No I/O, no clock; times in ms.

The advisor reads what the driver hands to the module and what the module decides, and adds one event: the
executors to lean to, in order, each with the load that it is taken to have. It decides nothing on its own:
bounds, cold budgets, drains and placement stay the module's.
"""

import math
from random import Random

from fennelwind import policy
from fennelwind.load_balancing import subsetting
from fennelwind.load_balancing.load_estimate import SHARES, Estimate

LITTLE = 16  # controllers; with fewer, own queries tell enough of the load, and each may lean to everyone
RATE_MS = 5000.0  # ms over which own traffic is counted; a burst must not change the subset by itself
AGAIN_PART = 1.0 / 3.0  # of the time for which idle connections are kept: own traffic comes back well before
CROSS = 0.3  # load that another zone must be emptier by; crossing costs time and is priced
TRIAL = 0.04  # of the narrowest queries go to an executor without news, so that none is left idle unseen
DOUBT = 0.5  # of the standard deviation, by which each controller sees an executor higher or lower


def is_useful(settings: policy.Settings) -> bool:
    """Tell whether news of the whole load is to be had and own counts tell too little of it."""
    return settings.gateway_count >= LITTLE and any(name in settings.report_fields for name in SHARES)


class LoadAdvisor:
    """Keeps one controller's view of the fleet's load."""

    def __init__(self, settings: policy.Settings, seed: int, idle_ms: float) -> None:
        self.set, self.random, self.idle_ms = settings, Random(f"spread {seed}"), idle_ms
        self.estimate = Estimate()
        self.entries: dict[str, policy.EngineEndpoint] = {}
        self.leaning: dict[str, float] = {}  # place of each in its doubt: fixed, so that views stay apart
        self.order: tuple[list[str], list[str]] | None = None  # ready ones, own zone and others, by rank
        self.rate, self.rate_at = 0.0, -math.inf  # queries a second
        self.trial = ""  # the executor that the next narrow query tries
        self.narrow = min(cls.threads for cls in settings.classes)

    def take(self, event: policy.Event, now: float) -> None:
        """Take one of the module's events."""
        match event:
            case policy.EngineListUpdate():
                self._list(event)
            case policy.QueryArrived():
                self._arrival(event, now)
            case policy.AttemptEnded(engine=engine, load=load) if load and engine in self.entries:
                entry = self.entries[engine]
                self.estimate.news(engine, entry.zone, load, self._cores(entry), now)

    def sent(self, engine: str, threads: int) -> None:
        """Count a query that was sent."""
        self.estimate.sent(engine, threads)
        if engine == self.trial:
            self.trial = ""

    def advice(self, now: float) -> policy.LoadAdvice:
        """Return the executors to lean to and their loads, as they are taken to be now."""
        near, far = self.order = self.order or self._ranked()
        names = subsetting.choose(
            near, far, subsetting.size(self._rate(now), self.idle_ms * AGAIN_PART / 1000.0)
        )
        loads = {name: self._seen(name, now) for name in names}
        if self.trial in self.entries and self.entries[self.trial].state == "ready":
            loads = {self.trial: 0.0} | {name: load for name, load in loads.items() if name != self.trial}
        return policy.LoadAdvice(loads)

    def _cores(self, entry: policy.EngineEndpoint) -> int:
        kinds = self.set.kind_cores
        return kinds[entry.kind] if 0 <= entry.kind < len(kinds) else 1

    def _list(self, event: policy.EngineListUpdate) -> None:
        if event.form == "failed":
            return
        seen = {entry.engine: entry for entry in event.engines}
        if event.form != "delta":
            for name in [name for name in self.entries if name not in seen]:
                self._drop(name)
        for name, entry in seen.items():
            if entry.state == "gone":
                self._drop(name)
                continue
            known = self.entries.get(name)
            if known is None or known.started_ms != entry.started_ms:
                self._drop(name)
                self.leaning[name] = max(-1.0, min(1.0, self.random.gauss(0.0, 1.0)))
            self.entries[name] = entry
        self.order = None

    def _drop(self, name: str) -> None:
        self.entries.pop(name, None)
        self.leaning.pop(name, None)
        self.estimate.forget(name)

    def _ranked(self) -> tuple[list[str], list[str]]:
        def place(entry: policy.EngineEndpoint) -> float:
            return subsetting.rank(self.set.gateway_index, entry.engine, self._cores(entry))

        ready = sorted((e for e in self.entries.values() if e.state == "ready"), key=place)
        return (
            [e.engine for e in ready if e.zone == self.set.zone],
            [e.engine for e in ready if e.zone != self.set.zone],
        )

    def _rate(self, now: float) -> float:
        return self.rate * math.exp(-max(now - self.rate_at, 0.0) / RATE_MS)

    def _arrival(self, event: policy.QueryArrived, now: float) -> None:
        self.rate, self.rate_at = self._rate(now) + 1000.0 / RATE_MS, now
        cls = self.set.classes[min(max(event.class_index, 0), len(self.set.classes) - 1)]
        self.trial = ""
        if cls.threads == self.narrow and self.random.random() < TRIAL:
            ready = [name for name, entry in sorted(self.entries.items()) if entry.state == "ready"]
            some = self.random.sample(ready, min(2, len(ready)))
            self.trial = max(some, key=lambda name: self.estimate.age(name, now), default="")

    def _seen(self, name: str, now: float) -> float:
        entry = self.entries[name]
        load, doubt = self.estimate.load(name, entry.zone, self._cores(entry), now)
        return max(0.0, load + DOUBT * doubt * self.leaning[name]) + CROSS * (entry.zone != self.set.zone)
