"""Records of what a gateway remembers; they hold no decision and no figure of their own."""

from collections import deque
from dataclasses import dataclass, field

from fennelwind import interface as api


@dataclass(slots=True, eq=False)
class Query:
    """A query that this gateway has taken."""

    told: api.Arrival
    cls: api.QueryClass
    c: int  # position of the class
    arrived: float
    span: float  # told work divided by threads
    aim_at: float
    target: float
    attempts: list["Attempt"] = field(default_factory=list)
    out: int = 0  # attempts without an outcome
    held: bool = False
    done: bool = False
    begun: bool = False  # its stream has started
    doubt: bool = False  # an attempt may have run
    anchor: "Attempt | None" = None  # keyed: the first attempt that may have run

    @property
    def line(self) -> str | None:
        """The key whose order this query keeps, if any."""
        return self.told.key if self.cls.serial else None


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt, from its send to its outcome."""

    query: Query
    number: int
    engine: "Engine"
    sent: float
    cancelled: bool = False


@dataclass(slots=True, eq=False)
class Engine:
    """What a gateway knows of one engine."""

    entry: api.EngineEntry
    cores: int
    bound: float  # threads of this gateway's queries
    order: float  # this gateway's own order among equals
    warm: deque[int]  # groups of tables read last
    loads: list[tuple[float, float]]  # by class: sum of time over aim, and count, both fading
    out: dict[tuple[int, int], Attempt] = field(default_factory=dict)
    threads: int = 0
    lag: float = 1.0  # mean of an answer's time over the best for its size
    lag_now: float = 1.0  # the same with the ages of what is out
    heard: float = float("-inf")  # when the latest-sent of the answered attempts was sent
    fails: int = 0  # failed attempts since an attempt sent later was answered
    failed: float = float("-inf")
    shut_until: float = 0.0
    reached: bool = False  # the bound kept a query back in this period
    suspect: bool = False
    sends: deque[tuple[float, float]] = field(default_factory=deque)  # time and usual work
    report: dict[str, float] = field(default_factory=dict)
