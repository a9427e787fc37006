"""Plain policies that take the module's place in a rig, to measure it against; never part of `run`. No I/O.

All of them send a query the moment it comes, or again when it came back unrun or may be repeated, and hold
nothing. They differ in whom they choose: anyone, who has the fewest of their own queries, the better of two
by own queries or by reported load, or the least loaded as it truly was some time ago.
"""

from collections.abc import Callable
from random import Random

from fennelwind import policy

AGAIN = ("full", "connect_failed", "moot")  # ends that prove that nothing ran
TIMES_GRANT = 2.5  # of the told memory, as the module grants, so that choices alone differ
Truth = Callable[[float, str], float]  # time and instance: threads a core that truly ran there


class _Engine:
    """What a yardstick knows of an executor; the fields a view of the controller looks at."""

    def __init__(self, entry: policy.EngineEndpoint, cores: int) -> None:
        self.endpoint, self.cores = entry, cores
        self.running_attempts: dict[tuple[int, int], int] = {}
        self.threads = 0
        self.told = 0.0  # load as last reported, threads a core
        self.current_slowdown, self.is_outlier = 1.0, False


class Yardstick:
    """A policy by name, with the module's interface."""

    def __init__(
        self,
        name: str,
        settings: policy.Settings,
        seed: int,
        truth: Truth | None = None,
        late_ms: float = 0.0,
    ) -> None:
        choices = {
            "random": self._random,
            "fewest": self._fewest,
            "two": self._two,
            "reported": self._reported,
            "late": self._late,
        }
        if name not in choices:
            raise ValueError(f"{name!r} is none of {', '.join(choices)}")
        if name == "late" and truth is None:
            raise ValueError("the late-seeing yardstick needs the true state")
        self.choice, self.set, self.random = choices[name], settings, Random(seed)
        self.truth, self.late_ms, self.now = truth, late_ms, 0.0
        self.engines: dict[str, _Engine] = {}
        self.queries: dict[int, tuple[policy.QueryArrived, list[str]]] = {}

    def step(self, now_ms: float, events: list[policy.Event]) -> list[policy.Action]:
        """Take the time and events; return actions."""
        self.now = max(self.now, now_ms)
        actions: list[policy.Action] = []
        for event in events:
            match event:
                case policy.EngineListUpdate():
                    self._list(event)
                case policy.QueryArrived():
                    self.queries[event.query] = event, []
                    self._send(event.query, actions)
                case policy.AttemptEnded():
                    self._outcome(event, actions)
                case policy.ClientDisconnected(query):
                    self.queries.pop(query, None)
        return actions

    def _list(self, event: policy.EngineListUpdate) -> None:
        seen = {entry.engine: entry for entry in event.engines}
        if event.form != "delta":
            for name in [name for name in self.engines if name not in seen]:
                del self.engines[name]
        for name, entry in seen.items():
            if entry.state == "gone":
                self.engines.pop(name, None)
            elif name in self.engines:
                self.engines[name].endpoint = entry
            else:
                self.engines[name] = _Engine(entry, self.set.kind_cores[entry.kind])

    def _send(self, number: int, actions: list[policy.Action]) -> None:
        query, tried = self.queries[number]
        cls = self.set.classes[query.class_index]
        pool = [
            engine
            for _, engine in sorted(self.engines.items())
            if engine.endpoint.state == "ready" and (cls.zones is None or engine.endpoint.zone in cls.zones)
        ]
        fresh = [engine for engine in pool if engine.endpoint.engine not in tried] or pool
        if not fresh or len(tried) >= self.set.max_attempts or self.now >= query.deadline_ms:
            del self.queries[number]
            ran = bool(tried) and cls.idempotency != "safe"
            actions.append(
                policy.FailQuery(number) if ran else policy.RejectQuery(number, self.set.max_retry_after_ms)
            )
            return
        engine = self.choice(fresh)
        engine.running_attempts[number, len(tried)] = cls.threads
        engine.threads += cls.threads
        tried.append(engine.endpoint.engine)
        if self.set.has_memory_grants:
            actions.append(policy.SetGrant(number, TIMES_GRANT * query.estimated_memory_mb, 1))
        actions.append(policy.StartAttempt(number, engine.endpoint.engine))

    def _outcome(self, event: policy.AttemptEnded, actions: list[policy.Action]) -> None:
        engine = self.engines.get(event.engine)
        if engine is not None:
            engine.threads -= engine.running_attempts.pop((event.query, event.attempt), 0)
            if "cpu" in event.load or "waiting" in event.load:
                waiting = event.load.get("waiting", 0.0)
                engine.told = event.load.get("cpu", 0.0) + waiting / engine.cores
        if event.query not in self.queries:
            return
        if event.is_final:
            del self.queries[event.query]
            return
        cls = self.set.classes[self.queries[event.query][0].class_index]
        if event.status in AGAIN or cls.idempotency == "safe":
            self._send(event.query, actions)
        else:
            del self.queries[event.query]
            actions.append(policy.FailQuery(event.query))

    # Whom to send to.

    def _random(self, pool: list[_Engine]) -> _Engine:
        return self.random.choice(pool)

    def _fewest(self, pool: list[_Engine]) -> _Engine:
        least = min(engine.threads / engine.cores for engine in pool)
        return self.random.choice([e for e in pool if e.threads / e.cores == least])

    def _two(self, pool: list[_Engine]) -> _Engine:
        return min(self.random.sample(pool, min(2, len(pool))), key=lambda e: e.threads / e.cores)

    def _reported(self, pool: list[_Engine]) -> _Engine:
        return min(self.random.sample(pool, min(2, len(pool))), key=lambda e: e.told + e.threads / e.cores)

    def _late(self, pool: list[_Engine]) -> _Engine:
        at = self.now - self.late_ms
        loads = {
            engine: self.truth(at, engine.endpoint.engine) + engine.threads / engine.cores / 2.0
            for engine in pool
        }
        least = min(loads.values())
        return self.random.choice([engine for engine, load in loads.items() if load <= least + 0.05])
