"""Records of what a gateway remembers: queries, attempts, engines and sums over sliding windows.

They hold no decision and no tuned figure; the rules in the other modules of this package read and change
them, on behalf of one gateway. All times are in milliseconds of the gateway's clock.
"""

from collections import deque
from dataclasses import dataclass, field

from fennelwind import policy

USUAL_PRIORITY = 1  # the priority of the wire; what an engine uses if it is given none


@dataclass(slots=True, eq=False)
class Query:
    """A query that this gateway has taken and not yet forgotten."""

    request: policy.QueryArrived
    query_class: policy.QueryClass
    class_index: int
    arrived_ms: float
    service_time_ms: float  # single-thread service time: estimated work divided by its threads
    objective_at_ms: float  # an answer until then meets the latency objective
    dispatch_target_ms: float  # when it should be dispatched to meet its objective
    is_short: bool = False  # less work than the mean query, where engines heed priorities
    slow_start_work_ms: float = 0.0  # work that an engine in slow start is taken to get by it
    attempts: list["Attempt"] = field(default_factory=list)
    running_attempts: int = 0  # attempts without an outcome
    grant: tuple[float, int] = (0.0, USUAL_PRIORITY)  # memory (MB) and priority that were set last
    is_queued: bool = False
    is_finished: bool = False  # its final answer was given, or its client has left
    has_result_started: bool = False  # rows were sent to the client, so it can't be repeated
    is_outcome_unknown: bool = False  # an attempt may have run
    first_unresolved_attempt: "Attempt | None" = None  # keyed: the first attempt that may have run

    @property
    def queue_index(self) -> int:
        """The place of its dispatch queue: two for each class, for long queries and for short ones."""
        return 2 * self.class_index + self.is_short

    @property
    def order_key(self) -> str | None:
        """The key whose order this query keeps, if any."""
        return self.request.key if self.query_class.is_ordered_by_key else None

    def attempt(self, number: int) -> "Attempt | None":
        """Return the attempt of that number, if it was made."""
        return self.attempts[number] if 0 <= number < len(self.attempts) else None

    def record_progress(self, number: int, share_done: float, now_ms: float) -> None:
        """Record that so much of an attempt, over 0, is done."""
        attempt = self.attempt(number)
        if attempt is not None:
            remaining_share = max(0.0, 1.0 - share_done)
            attempt.remaining_ms = attempt.age_ms(now_ms) * remaining_share / share_done
            attempt.progress_at_ms = now_ms

    def start_attempt(self, engine: "Engine", now_ms: float) -> "Attempt":
        """Record a new attempt at the engine."""
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
    remaining_ms: float = float("inf")  # time that it still needs at its pace, by its last progress report
    progress_at_ms: float = float("-inf")  # when that report came
    gateway_stall_ms: float = 0.0  # time in which the gateway itself had no turn

    def age_ms(self, now_ms: float) -> float:
        """Return how long it has been running while its gateway had turns."""
        return now_ms - self.started_ms - self.gateway_stall_ms

    def finish(self) -> bool:
        """Record its outcome; return whether that is news."""
        if self.engine.running_attempts.pop((self.query.request.query, self.number), None) is None:
            return False
        self.engine.running_threads -= self.query.query_class.threads
        self.query.running_attempts -= 1
        return True


class SlidingWindowSum:
    """Amounts of the last while, each with its time."""

    def __init__(self) -> None:
        self.items: deque[tuple[float, float]] = deque()

    def add(self, now_ms: float, amount: float = 1.0, since_ms: float = float("-inf")) -> None:
        """Count an amount now; drop leading ones older than `since_ms`, as `total` may be called rarely."""
        while self.items and self.items[0][0] < since_ms:
            self.items.popleft()
        self.items.append((now_ms, amount))

    def total(self, since_ms: float) -> float:
        """Return the sum from that time on; what is older is dropped, in whatever order it came."""
        while self.items and self.items[0][0] < since_ms:
            self.items.popleft()
        return sum(amount for at_ms, amount in self.items if at_ms >= since_ms)


@dataclass(slots=True, eq=False)
class Engine:
    """What a gateway knows of one engine."""

    endpoint: policy.EngineEndpoint
    cores: int
    concurrency_limit: float  # threads of this gateway's queries, where the engine is under pressure
    slow_start_draw: float  # in 0..1, drawn by seed for rounding the slow start's budget
    cached_table_groups: deque[int]  # groups of tables read last
    objective_ratios: list[tuple[float, float]]  # by class: sum of time over objective, and count, fading
    running_attempts: dict[tuple[int, int], Attempt] = field(default_factory=dict)
    running_threads: int = 0
    mean_slowdown: float = 1.0  # mean of an answer's time over the baseline for its size
    current_slowdown: float = 1.0  # the same with the ages of what is running
    last_answered_start_ms: float = float("-inf")  # start of the latest-started answered attempt
    failures: int = 0  # failed attempts since an attempt started later was answered
    failed_at_ms: float = float("-inf")
    consecutive_errors: int = 0  # answers that were errors since one that was none
    ejected_until_ms: float = 0.0
    is_limit_reached: bool = False  # the limit kept a query back in this period
    is_outlier: bool = False
    sent_work_ms: SlidingWindowSum = field(default_factory=SlidingWindowSum)

    def inherit_running(self, predecessor: "Engine") -> None:
        """Take what runs at the engine, and what was sent to it, from its record before a restart."""
        self.running_attempts = predecessor.running_attempts
        self.running_threads = predecessor.running_threads
        self.sent_work_ms = predecessor.sent_work_ms
        for attempt in self.running_attempts.values():
            attempt.engine = self

    def add_objective_ratio(self, class_index: int, ratio: float) -> None:
        """Count one sample of time over objective for the class."""
        total, count = self.objective_ratios[class_index]
        self.objective_ratios[class_index] = (total + ratio, count + 1.0)

    def record_table_group(self, table_group: int | None) -> None:
        """Record that a group of tables was read last."""
        if table_group is not None:
            if table_group in self.cached_table_groups:
                self.cached_table_groups.remove(table_group)
            self.cached_table_groups.append(table_group)
