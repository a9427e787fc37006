"""The load advisor: estimates the fleet's load for the policy, from the policy's own events and actions.

The driver passes each event and each attempt start to the advisor, and adds one event to each step: the
executors to prefer, in order, each with its estimated load. The advisor decides nothing itself:
concurrency limits, slow start, drains and placement stay with the policy. No I/O, no clock; times in ms.
"""

import math
from bisect import bisect_left, insort
from random import Random

from fennelwind import policy
from fennelwind.load_balancing import subsetting
from fennelwind.load_balancing.load_estimate import UTILIZATION_FIELDS, LoadEstimator
from fennelwind.policy import EngineState, ListForm

MIN_CONTROLLERS = 16  # with fewer, own queries reveal enough of the load, and each can use all executors
RATE_WINDOW_MS = 5000.0  # ms; averaging time of the own query rate; a burst alone must not change the subset
# Fraction of the idle timeout of connections within which own traffic should reuse them.
CONNECTION_REUSE_SHARE = 1.0 / 3.0
REMOTE_ZONE_LOAD = 0.3  # added to the load of executors in other zones, as crossing zones costs time
# An executor is explored for this share of the arriving queries with the fewest threads: of two random
# executors, the one with the older report is advised as idle.
EXPLORATION_SHARE = 0.04
# Largest bias of a controller's load estimates, in standard deviations. Biases differ between controllers, so
# that not all controllers choose the same executor at once.
BIAS_DEVIATIONS = 0.5


def is_useful(settings: policy.Settings) -> bool:
    """Return whether advice helps: executors report their load, and own queries reveal too little of it."""
    reports_load = any(name in settings.report_fields for name in UTILIZATION_FIELDS)
    return settings.gateway_count >= MIN_CONTROLLERS and reports_load


class LoadAdvisor:
    """Keeps one controller's view of the fleet's load; `idle_ms` is the idle timeout of connections."""

    def __init__(self, settings: policy.Settings, seed: int, idle_ms: float) -> None:
        self.settings, self.random, self.idle_ms = settings, Random(f"spread {seed}"), idle_ms
        self.estimator = LoadEstimator()
        self.endpoints: dict[str, policy.EngineEndpoint] = {}
        self.biases: dict[str, float] = {}  # by executor, from -1 to 1; fixed until the executor restarts
        self.rate_per_s, self.rate_updated_ms = 0.0, -math.inf  # of this controller's queries
        self.explored = ""  # executor advised as idle until it gets an attempt or another query arrives
        self.min_threads = min(query_class.threads for query_class in settings.classes)
        self._ready: list[str] = []  # names of the ready executors, ascending
        # Ready executors of the own zone and of other zones, each with its rank, in order of rank.
        self._rankings: tuple[list[tuple[float, str]], list[tuple[float, str]]] = ([], [])

    def handle_event(self, event: policy.Event, now: float) -> None:
        """Update the view from one of the policy's events."""
        match event:
            case policy.EngineListUpdate():
                self._apply_list(event)
            case policy.QueryArrived():
                self._handle_arrival(event, now)
            case policy.AttemptEnded(engine=engine, load=load) if load and engine in self.endpoints:
                endpoint = self.endpoints[engine]
                self.estimator.add_report(engine, endpoint.zone, load, self._cores(endpoint), now)

    def attempt_sent(self, engine: str, threads: int) -> None:
        """Count an attempt that was sent to an executor."""
        self.estimator.add_sent_threads(engine, threads)
        if engine == self.explored:
            self.explored = ""

    def advice(self, now: float) -> policy.LoadAdvice:
        """Return the executors to prefer and their estimated loads."""
        reuse_interval_s = self.idle_ms * CONNECTION_REUSE_SHARE / 1000.0
        size = subsetting.subset_size(self._decayed_rate_per_s(now), reuse_interval_s)
        chosen = subsetting.choose(*self._rankings, size)
        loads = {name: self._apparent_load(name, now) for _, name in chosen}
        if self.explored in self.endpoints and self.endpoints[self.explored].state == EngineState.READY:
            others = {name: load for name, load in loads.items() if name != self.explored}
            loads = {self.explored: 0.0} | others
        return policy.LoadAdvice(loads)

    def _cores(self, endpoint: policy.EngineEndpoint) -> int:
        cores = self.settings.kind_cores
        return cores[endpoint.kind] if 0 <= endpoint.kind < len(cores) else 1

    def _apply_list(self, update: policy.EngineListUpdate) -> None:
        if update.form == ListForm.FAILED:
            return
        listed = {endpoint.engine: endpoint for endpoint in update.engines}
        if update.form != ListForm.DELTA:
            for name in [name for name in self.endpoints if name not in listed]:
                self._remove(name)
        for name, endpoint in listed.items():
            self._apply_endpoint(name, endpoint)

    def _apply_endpoint(self, name: str, endpoint: policy.EngineEndpoint) -> None:
        if endpoint.state == EngineState.REMOVED:
            self._remove(name)
            return
        known = self.endpoints.get(name)
        if known is None or known.started_ms != endpoint.started_ms:
            self._remove(name)
            self.biases[name] = max(-1.0, min(1.0, self.random.gauss(0.0, 1.0)))
        else:
            self._unrank(known)
        self.endpoints[name] = endpoint
        if endpoint.state == EngineState.READY:
            insort(self._ready, name)
            insort(self._ranking(endpoint), self._rank(endpoint))

    def _remove(self, name: str) -> None:
        endpoint = self.endpoints.pop(name, None)
        if endpoint is not None:
            self._unrank(endpoint)
        self.biases.pop(name, None)
        self.estimator.forget(name)

    def _unrank(self, endpoint: policy.EngineEndpoint) -> None:
        """Take an executor out of the orders of ready ones, if it is in them."""
        if endpoint.state == EngineState.READY:
            ranking = self._ranking(endpoint)
            del self._ready[bisect_left(self._ready, endpoint.engine)]
            del ranking[bisect_left(ranking, self._rank(endpoint))]

    def _ranking(self, endpoint: policy.EngineEndpoint) -> list[tuple[float, str]]:
        return self._rankings[endpoint.zone != self.settings.zone]

    def _rank(self, endpoint: policy.EngineEndpoint) -> tuple[float, str]:
        rank = subsetting.rank(self.settings.gateway_index, endpoint.engine, self._cores(endpoint))
        return rank, endpoint.engine

    def _decayed_rate_per_s(self, now: float) -> float:
        return self.rate_per_s * math.exp(-max(now - self.rate_updated_ms, 0.0) / RATE_WINDOW_MS)

    def _handle_arrival(self, event: policy.QueryArrived, now: float) -> None:
        self.rate_per_s = self._decayed_rate_per_s(now) + 1000.0 / RATE_WINDOW_MS
        self.rate_updated_ms = now
        last_class = len(self.settings.classes) - 1
        query_class = self.settings.classes[min(max(event.class_index, 0), last_class)]
        self.explored = ""
        if query_class.threads == self.min_threads and self.random.random() < EXPLORATION_SHARE:
            self.explored = self._choose_to_explore(now)

    def _choose_to_explore(self, now: float) -> str:
        """Return, of two random ready executors, the one with the older report, or "" if none is ready."""
        sample = self.random.sample(self._ready, min(2, len(self._ready)))
        return max(sample, key=lambda name: self.estimator.age_ms(name, now), default="")

    def _apparent_load(self, name: str, now: float) -> float:
        """Return an executor's load as this controller sees it: with its bias and the cost of its zone."""
        endpoint = self.endpoints[name]
        load, deviation = self.estimator.estimate(name, endpoint.zone, self._cores(endpoint), now)
        biased = max(0.0, load + BIAS_DEVIATIONS * deviation * self.biases[name])
        return biased + REMOTE_ZONE_LOAD * (endpoint.zone != self.settings.zone)
