"""The engines that a gateway knows, from the engine lists that discovery sends.

The gateway reports engine lists and attempt starts and ends. An engine with a new start time has restarted:
its statistics are reset, but attempts that still run there are kept. A removed engine is kept until its last
attempt has ended.
"""

from collections import deque
from dataclasses import replace
from random import Random

from fennelwind import policy
from fennelwind.policy.concurrency import ConcurrencyLimits
from fennelwind.policy.model import Engine, FleetIndex
from fennelwind.policy.selection import MAX_CACHED_TABLE_GROUPS

DELTA, FAILED, REMOVED = policy.ListForm.DELTA, policy.ListForm.FAILED, policy.EngineState.REMOVED
SUBSCRIBE_RETRY_MS = 1000.0  # ms before a failed subscription is retried, so that discovery is not flooded
UNKNOWN_KIND_CORES = 1  # assumed for kinds missing in the settings; the lowest value can't oversubscribe


class EngineRegistry:
    """The engines of the fleet as known to one gateway."""

    def __init__(self, settings: policy.Settings, random: Random, concurrency: ConcurrencyLimits) -> None:
        self.settings, self.random, self.concurrency = settings, random, concurrency
        self.fleet = FleetIndex(settings.zone)
        self.engines = self.fleet.engines
        self.busy_engines: dict[str, Engine] = {}  # engines that run attempts; a tick visits no others
        self.subscribe_at_ms = float("-inf")

    def subscribe(self, now_ms: float) -> policy.SubscribeToEngines | None:
        """Return a subscription to list changes if one is due (once, and after each failure), else None."""
        if not self.settings.requires_subscription or now_ms < self.subscribe_at_ms:
            return None
        self.subscribe_at_ms = float("inf")  # no other subscription until this one fails
        return policy.SubscribeToEngines()

    def apply(self, event: policy.EngineListUpdate, now_ms: float) -> bool:
        """Apply an engine list; return False if the subscription failed and there is no list."""
        if event.form == FAILED:
            self.subscribe_at_ms = now_ms + SUBSCRIBE_RETRY_MS
            return False
        endpoints = {endpoint.engine: endpoint for endpoint in event.engines}
        if event.form != DELTA:
            for name, engine in self.engines.items():
                if name not in endpoints:
                    self.fleet.set_endpoint(engine, replace(engine.endpoint, state=REMOVED))
        for name, endpoint in endpoints.items():
            known = self.engines.get(name)
            is_removed = endpoint.state == REMOVED
            if known is not None and (is_removed or known.endpoint.started_ms == endpoint.started_ms):
                self.fleet.set_endpoint(known, endpoint)
            elif not is_removed:
                self.fleet.put(name, self._new_engine(endpoint, known))
        return True

    def _new_engine(self, endpoint: policy.EngineEndpoint, predecessor: Engine | None) -> Engine:
        """Return the record of an engine that is new or has restarted under its old name."""
        settings, kind = self.settings, endpoint.kind
        is_kind_known = 0 <= kind < len(settings.kind_cores)
        cores = settings.kind_cores[kind] if is_kind_known else UNKNOWN_KIND_CORES
        engine = Engine(
            endpoint,
            cores,
            concurrency_limit=self.concurrency.initial_limit(cores),
            slow_start_draw=self.random.random(),
            cached_table_groups=deque(maxlen=MAX_CACHED_TABLE_GROUPS),
            objective_ratios=[(0.0, 0.0)] * len(settings.classes),
        )
        if predecessor is not None:
            engine.inherit_running(predecessor)
            if engine.running_attempts:
                self.busy_engines[endpoint.engine] = engine
        return engine

    def record_start(self, engine: Engine) -> None:
        """Record that an attempt has started at the engine."""
        self.busy_engines[engine.endpoint.engine] = engine

    def record_end(self, engine: Engine) -> None:
        """Record that an attempt has ended at the engine."""
        self.fleet.changed[engine.endpoint.engine] = engine
        if not engine.running_attempts:
            self.busy_engines.pop(engine.endpoint.engine, None)
