"""State of a gateway: queries, attempts, engines and sums over sliding windows.

The records contain no decisions and no tuning constants; the rules in the other modules of this package read
and update them. Each gateway has its own records. All times are in milliseconds of the gateway's clock.
"""

from bisect import bisect_left, bisect_right, insort
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import NamedTuple

from fennelwind import policy

DEFAULT_PRIORITY = 1  # value sent to engines; the priority that an engine uses if none is set


@dataclass(slots=True, eq=False)
class Query:
    """A query that this gateway has accepted and still tracks."""

    request: policy.QueryArrived
    query_class: policy.QueryClass
    class_index: int
    arrived_ms: float
    service_time_ms: float  # single-thread service time: estimated work / threads
    objective_at_ms: float  # an answer up to this time meets the latency objective
    dispatch_target_ms: float  # when to dispatch the query so that it is likely to meet its objective
    is_short: bool = False  # True if engines support priorities and the query's work is below the mean
    slow_start_work_ms: float = 0.0  # work counted against the budget of an engine in slow start
    attempts: list["Attempt"] = field(default_factory=list)
    running_attempts: int = 0  # number of attempts that have not ended
    grant: tuple[float, int] = (0.0, DEFAULT_PRIORITY)  # memory (MB) and priority set last
    is_queued: bool = False
    is_finished: bool = False  # its final answer was given, or its client has disconnected
    has_result_started: bool = False  # rows were sent to the client, so it can't be retried
    is_outcome_unknown: bool = False  # an attempt may have run
    first_unresolved_attempt: "Attempt | None" = None  # in keyed classes: the first attempt that may have run

    @property
    def queue_index(self) -> int:
        """Index of the query's dispatch queue: each class has one for long and one for short queries."""
        return 2 * self.class_index + self.is_short

    @property
    def order_key(self) -> str | None:
        """Key of the FIFO that this query belongs to, or None if its class is not ordered by key."""
        return self.request.key if self.query_class.is_ordered_by_key else None

    def attempt(self, number: int) -> "Attempt | None":
        """Return the attempt with this number, or None if there is none."""
        return self.attempts[number] if 0 <= number < len(self.attempts) else None

    def record_progress(self, number: int, share_done: float, now_ms: float) -> None:
        """Record the share of an attempt's work that is done, which must be above 0."""
        attempt = self.attempt(number)
        if attempt is not None:
            remaining_share = max(0.0, 1.0 - share_done)
            attempt.remaining_ms = attempt.age_ms(now_ms) * remaining_share / share_done
            attempt.progress_at_ms = now_ms

    def start_attempt(self, engine: "Engine", now_ms: float) -> "Attempt":
        """Create and record a new attempt at the engine."""
        attempt = Attempt(self, len(self.attempts), engine, now_ms)
        self.attempts.append(attempt)
        self.is_queued = False
        self.running_attempts += 1
        engine.running_attempts[self.request.query, attempt.number] = attempt
        engine.running_threads += self.query_class.threads
        return attempt


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt, from its start to its outcome."""

    query: Query
    number: int
    engine: "Engine"
    started_ms: float
    is_cancelled: bool = False
    remaining_ms: float = float("inf")  # estimated from the attempt's pace at its last progress report
    progress_at_ms: float = float("-inf")  # time of the attempt's last progress report
    gateway_stall_ms: float = 0.0  # time during which the gateway itself did not run

    def age_ms(self, now_ms: float) -> float:
        """Return how long the attempt has been running, less the time in which its gateway stalled."""
        return now_ms - self.started_ms - self.gateway_stall_ms

    def finish(self) -> bool:
        """Record that the attempt has ended; return False if its end was recorded before."""
        if self.engine.running_attempts.pop((self.query.request.query, self.number), None) is None:
            return False
        self.engine.running_threads -= self.query.query_class.threads
        self.query.running_attempts -= 1
        return True


class SlidingWindowSum:
    """Sum of timestamped amounts over a sliding window."""

    def __init__(self) -> None:
        self.items: deque[tuple[float, float]] = deque()

    def add(self, now_ms: float, amount: float = 1.0, since_ms: float = float("-inf")) -> None:
        """Add an amount; drop leading amounts before `since_ms`, as `total` may be called rarely."""
        while self.items and self.items[0][0] < since_ms:
            self.items.popleft()
        self.items.append((now_ms, amount))

    def total(self, since_ms: float) -> float:
        """Return the sum of the amounts at or after `since_ms`, in whatever order they were added."""
        while self.items and self.items[0][0] < since_ms:
            self.items.popleft()
        return sum(amount for at_ms, amount in self.items if at_ms >= since_ms)


@dataclass(slots=True, eq=False)
class Engine:
    """State of one engine as seen by one gateway."""

    endpoint: policy.EngineEndpoint
    cores: int
    concurrency_limit: float  # threads for this gateway's queries while the engine is under pressure
    slow_start_draw: float  # random number in 0..1 that rounds this gateway's share of the slow-start budget
    cached_table_groups: deque[int]  # table groups read last
    objective_ratios: list[tuple[float, float]]  # by class: decayed sum and count of time / objective
    running_attempts: dict[tuple[int, int], Attempt] = field(default_factory=dict)
    running_threads: int = 0
    mean_slowdown: float = 1.0  # mean of an attempt's time / the baseline time of its work
    current_slowdown: float = 1.0  # mean slowdown that includes the ages of running attempts
    last_answered_start_ms: float = float("-inf")  # start time of the answered attempt that started last
    failures: int = 0  # failed attempts; reset when an attempt started after the last failure is answered
    failed_at_ms: float = float("-inf")
    consecutive_errors: int = 0  # error answers since the last successful one
    ejected_until_ms: float = 0.0
    is_limit_reached: bool = False  # the limit held a query back in this period
    is_outlier: bool = False
    sent_work_ms: SlidingWindowSum = field(default_factory=SlidingWindowSum)

    def inherit_running(self, predecessor: "Engine") -> None:
        """Take over running attempts and recently sent work from the engine's record before its restart."""
        self.running_attempts = predecessor.running_attempts
        self.running_threads = predecessor.running_threads
        self.sent_work_ms = predecessor.sent_work_ms
        for attempt in self.running_attempts.values():
            attempt.engine = self

    def add_objective_ratio(self, class_index: int, ratio: float) -> None:
        """Add a sample of time / objective for the class."""
        total, count = self.objective_ratios[class_index]
        self.objective_ratios[class_index] = (total + ratio, count + 1.0)

    def record_table_group(self, table_group: int | None) -> None:
        """Record the table group that was read last."""
        if table_group is not None:
            if table_group in self.cached_table_groups:
                self.cached_table_groups.remove(table_group)
            self.cached_table_groups.append(table_group)


class IndexEntry(NamedTuple):
    """What the fleet's index holds of an engine."""

    engine: Engine
    slowdown: float
    limit: float
    ring: "EngineRing | None"  # None if the engine is not ready


class EngineRing:
    """Ready engines of one part of the fleet, in the order of their names, with their limits in threads."""

    def __init__(self) -> None:
        self.names: list[str] = []
        self.engines: list[Engine] = []
        self.limits: list[float] = []

    def add(self, engine: Engine, limit: float) -> None:
        """Add an engine."""
        name = engine.endpoint.engine
        index = bisect_left(self.names, name)
        self.names.insert(index, name)
        self.engines.insert(index, engine)
        self.limits.insert(index, limit)

    def remove(self, name: str) -> None:
        """Remove an engine, which must be there."""
        index = bisect_left(self.names, name)
        del self.names[index], self.engines[index], self.limits[index]


class ReadyEngines:
    """The ready engines, ring by ring from the same offset (a share of the ring), without a copy of them."""

    def __init__(self, rings: tuple[EngineRing, ...], offset: float) -> None:
        self._parts = [(ring, int(offset * len(ring.names))) for ring in rings]

    def __len__(self) -> int:
        return sum(len(ring.names) for ring, _ in self._parts)

    def __getitem__(self, index: int) -> Engine:
        for ring, start in self._parts:
            if index < len(ring.names):
                return ring.engines[(start + index) % len(ring.names)]
            index -= len(ring.names)
        raise IndexError(index)

    def __iter__(self) -> Iterator[Engine]:
        for ring, start in self._parts:
            yield from ring.engines[start:] + ring.engines[:start]

    def total_limit(self) -> float:
        """Return the sum of the limits, added in this order: another one would round differently."""
        total = 0.0
        for ring, start in self._parts:
            total = sum(ring.limits[:start], sum(ring.limits[start:], total))
        return total


class FleetIndex:
    """All engines, in the orders that the rules need; an update visits only what may have changed."""

    def __init__(self, own_zone: int) -> None:
        self.own_zone = own_zone
        self.engines: dict[str, Engine] = {}
        self.rings = EngineRing(), EngineRing()  # ready engines of the own zone and of other zones
        self.changed: dict[str, Engine] = {}  # engines to visit in the next update: changed ones and outliers
        self._removed: set[str] = set()  # removed engines that may still run attempts
        self._entries: dict[str, IndexEntry] = {}
        self._slowdowns: list[tuple[float, str]] = []  # of all engines, ascending
        self._ready_slowdowns: list[float] = []  # of the ready engines, ascending

    def put(self, name: str, engine: Engine) -> None:
        """Add an engine, replace the one of its name, or note that it has changed."""
        self.engines[name] = self.changed[name] = engine

    def set_endpoint(self, engine: Engine, endpoint: policy.EngineEndpoint) -> None:
        """Set what discovery reports of an engine."""
        engine.endpoint = endpoint
        self.changed[endpoint.engine] = engine
        if endpoint.state == policy.EngineState.REMOVED:
            self._removed.add(endpoint.engine)

    def forget_removed(self) -> None:
        """Drop removed engines that run no attempt of this gateway."""
        for name in list(self._removed):
            engine = self.engines[name]
            if engine.endpoint.state != policy.EngineState.REMOVED:
                self._removed.discard(name)  # it is listed again
            elif not engine.running_attempts:
                self._removed.discard(name)
                del self.engines[name]
                self.changed.pop(name, None)
                self._unindex(name)

    def slower_than(self, slowdown: float) -> dict[str, Engine]:
        """Return the engines whose slowdown in the index is above the given one."""
        first = bisect_right(self._slowdowns, slowdown, key=lambda item: item[0])
        return {name: self.engines[name] for _, name in self._slowdowns[first:]}

    def median_slowdown(self) -> float:
        """Return the lower median of the ready engines' slowdowns in the index, or 1 if none is ready."""
        slowdowns = self._ready_slowdowns
        return slowdowns[(len(slowdowns) - 1) // 2] if slowdowns else 1.0

    def note_adjusted(self) -> None:
        """Note the engines that an adjustment of all means and limits has changed: those not at rest."""
        for name, engine in self.engines.items():
            if engine.failures or engine.mean_slowdown != engine.current_slowdown:
                self.changed[name] = engine

    def update(self, engines: dict[str, Engine], limit: Callable[[Engine], float]) -> None:
        """Bring the places of some engines up to date; only outliers count as changed from then on."""
        for engine in engines.values():
            self._index(engine, limit(engine))
        self.changed = {name: engine for name, engine in engines.items() if engine.is_outlier}

    def _index(self, engine: Engine, limit: float) -> None:
        endpoint, slowdown, ring = engine.endpoint, engine.current_slowdown, None
        if endpoint.state == policy.EngineState.READY:
            ring = self.rings[endpoint.zone != self.own_zone]
        entry = IndexEntry(engine, slowdown, limit, ring)
        if self._entries.get(endpoint.engine) == entry:
            return
        self._unindex(endpoint.engine)
        self._entries[endpoint.engine] = entry
        insort(self._slowdowns, (slowdown, endpoint.engine))
        if ring is not None:
            ring.add(engine, limit)
            insort(self._ready_slowdowns, slowdown)

    def _unindex(self, name: str) -> None:
        entry = self._entries.pop(name, None)
        if entry is None:
            return
        del self._slowdowns[bisect_left(self._slowdowns, (entry.slowdown, name))]
        if entry.ring is not None:
            entry.ring.remove(name)
            del self._ready_slowdowns[bisect_left(self._ready_slowdowns, entry.slowdown)]
