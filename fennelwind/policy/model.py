"""Records of what a gateway remembers; they hold no decision and no figure of their own."""

from collections import deque
from dataclasses import dataclass, field

from fennelwind import policy


@dataclass(slots=True, eq=False)
class Query:
    """A query that this gateway has taken."""

    told: policy.QueryArrived
    cls: policy.QueryClass
    c: int  # position of the class
    arrived: float
    span: float  # told work divided by threads
    aim_at: float
    target: float
    short: bool = False  # far less work than usual, so that it may go before others
    weight: float = 0.0  # work that a cold engine is taken to get by it
    attempts: list["Attempt"] = field(default_factory=list)
    out: int = 0  # attempts without an outcome
    terms: tuple[float, int] = (0.0, 1)  # memory and priority named last
    held: bool = False
    done: bool = False
    begun: bool = False  # its stream has started
    doubt: bool = False  # an attempt may have run
    anchor: "Attempt | None" = None  # keyed: the first attempt that may have run

    @property
    def lane(self) -> int:
        """The place of its lane: two for each class, for long queries and for short ones."""
        return 2 * self.c + self.short

    @property
    def line(self) -> str | None:
        """The key whose order this query keeps, if any."""
        return self.told.key if self.cls.is_ordered_by_key else None

    def attempt(self, number: int) -> "Attempt | None":
        """Return the attempt of that number, if it was made."""
        return self.attempts[number] if 0 <= number < len(self.attempts) else None

    def note(self, number: int, share: float, now: float) -> None:
        """Record that so much of an attempt, over 0, is done."""
        attempt = self.attempt(number)
        if attempt is not None:
            attempt.left, attempt.noted = attempt.age(now) * max(0.0, 1.0 - share) / share, now

    def sent_to(self, engine: "Engine", now: float) -> "Attempt":
        """Record a new attempt at the engine."""
        attempt = Attempt(self, len(self.attempts), engine, now)
        self.attempts.append(attempt)
        self.held, self.out = False, self.out + 1
        engine.out[self.told.query, attempt.number] = attempt
        engine.threads += self.cls.threads
        return attempt


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt, from its send to its outcome."""

    query: Query
    number: int
    engine: "Engine"
    sent: float
    cancelled: bool = False
    left: float = float("inf")  # time that it still needs at its pace, as its last note told
    noted: float = float("-inf")  # when that was
    stalled: float = 0.0  # time in which the gateway itself had no turn

    def age(self, now: float) -> float:
        """Return how long it has been out while its gateway had turns."""
        return now - self.sent - self.stalled

    def ended(self) -> bool:
        """Record its outcome; tell whether that is news."""
        if self.engine.out.pop((self.query.told.query, self.number), None) is None:
            return False
        self.engine.threads -= self.query.cls.threads
        self.query.out -= 1
        return True


class Lines:
    """The queries of each key whose order is kept, in the order taken."""

    def __init__(self) -> None:
        self.keys: dict[str, deque[Query]] = {}

    def add(self, query: Query) -> None:
        """Place the query last in its line."""
        if query.line is not None:
            self.keys.setdefault(query.line, deque()).append(query)

    def first(self, query: Query) -> bool:
        """Tell whether no earlier query of its key is left."""
        return query.line is None or self.keys[query.line][0] is query

    def drop(self, query: Query) -> Query | None:
        """Remove the query; return the one that becomes first by that."""
        if query.line is None:
            return None
        line = self.keys[query.line]
        first = line[0] is query
        line.remove(query)
        if not line:
            del self.keys[query.line]
        return line[0] if first and line else None


class Window:
    """Amounts of late, each with its time."""

    def __init__(self) -> None:
        self.items: deque[tuple[float, float]] = deque()

    def add(self, now: float, amount: float = 1.0, since: float = float("-inf")) -> None:
        """Count an amount now; what is older than `since` is dropped, as nobody may ask for a long time."""
        while self.items and self.items[0][0] < since:
            self.items.popleft()
        self.items.append((now, amount))

    def total(self, since: float) -> float:
        """Return the sum from that time on; what is older is dropped, in whatever order it came."""
        while self.items and self.items[0][0] < since:
            self.items.popleft()
        return sum(amount for at, amount in self.items if at >= since)


@dataclass(slots=True, eq=False)
class Engine:
    """What a gateway knows of one engine."""

    entry: policy.EngineEndpoint
    cores: int
    bound: float  # threads of this gateway's queries
    draw: float  # drawn by seed for rounding a cold engine's budget
    warm: deque[int]  # groups of tables read last
    loads: list[tuple[float, float]]  # by class: sum of time over aim, and count, both fading
    out: dict[tuple[int, int], Attempt] = field(default_factory=dict)
    threads: int = 0
    lag: float = 1.0  # mean of an answer's time over the best for its size
    lag_now: float = 1.0  # the same with the ages of what is out
    heard: float = float("-inf")  # when the latest-sent of the answered attempts was sent
    fails: int = 0  # failed attempts since an attempt sent later was answered
    failed: float = float("-inf")
    errors: int = 0  # answers that were errors since one that was none
    shut_until: float = 0.0
    reached: bool = False  # the bound kept a query back in this period
    suspect: bool = False
    sends: Window = field(default_factory=Window)  # usual work sent

    def take_over(self, known: "Engine") -> None:
        """Take what is out at the engine, and what was sent to it, from its record before a restart."""
        self.out, self.threads, self.sends = known.out, known.threads, known.sends
        for attempt in self.out.values():
            attempt.engine = self

    def sample(self, c: int, load: float) -> None:
        """Count one sample of time over aim for the class."""
        total, count = self.loads[c]
        self.loads[c] = (total + load, count + 1.0)

    def read(self, tables: int | None) -> None:
        """Record that a group of tables was read last."""
        if tables is not None:
            if tables in self.warm:
                self.warm.remove(tables)
            self.warm.append(tables)
