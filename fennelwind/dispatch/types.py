"""What passes between fronts, core and engine links. Times are in ms of the loop's clock."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Protocol

DONE, SPILLS, WAITS = 1, 2, 3  # sorts of notes: share done, MB spilled, it waits
NEVER_RAN = frozenset(("full", "connect_failed", "moot"))  # outcomes that prove an attempt did nothing
SERVED, REFUSED, FAILED, LEFT = "served", "refused", "failed", "left"


@dataclass(slots=True, frozen=True)
class Submission:
    """A query as a front hands it in."""

    cls: int
    statement: str | bytes  # bytes where the engine's protocol hands it on unread
    deadline_ms: float  # the client gives up then
    user: str = ""
    tenant: int = 0
    key: str | None = None
    work_ms: float | None = None  # estimate of the work of all its threads
    memory_mb: float = 0.0  # estimate; 0: none
    tables: int | None = None
    repeat: bool = False
    overlay: dict[str, str] = field(default_factory=dict)  # configuration that goes to the engine
    database: str = ""  # where the statement is to run; "": the engine's own first one
    request: str = ""  # its client's name for it, by which repeats are known; "": none
    method: str = "ExecuteStatement"  # or a metadata call, as the service names it
    arguments: Any = None  # a metadata call's request
    shards: tuple[str, ...] = ()  # that it reads, where copies of them are known
    engine_id: str = ""  # the query's name and class as engines are told them, where they are told any
    engine_class: str = ""
    idempotency_key: str = ""  # its client's, for engines that drop repeats by it
    # When an attempt may begin at the earliest: what its client has sent may not be read whole until then.
    begins_from: Callable[[], float] = lambda: 0.0


@dataclass(slots=True, frozen=True)
class Result:
    """An engine's answer: its schema and pages as the service's structures, None without a result set.

    `error` is the engine's own status for a statement that is itself at fault: an answer like any other.
    """

    schema: Any = None
    pages: tuple[Any, ...] = ()
    error: Any = None
    stream: Any = None  # further pages, still at the engine

    def close(self) -> None:
        """Let go of what is still at the engine."""
        if self.stream is not None:
            self.stream.close()


@dataclass(slots=True, frozen=True)
class Answer:
    """A final answer: served, refused (a further try is harmless), failed, or left by the client."""

    kind: str
    reason: str = ""
    retry_after_ms: float = 0.0
    result: Result | None = None


@dataclass(slots=True, frozen=True)
class AttemptEnd:
    """How an attempt ended; `status` is one of the module's outcomes."""

    status: str
    reason: str = ""
    result: Result | None = None
    work_ms: float | None = None
    memory_mb: float | None = None
    load: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True)
class Order:
    """An attempt to be made at an engine."""

    query: int
    number: int
    submission: Submission
    deadline_ms: float
    memory_mb: float  # grant; 0 leaves it to the engine
    priority: int
    on_note: Callable[[int, float], None]
    barred: Callable[[], str] = lambda: ""  # why it may not begin now; asked right before its first byte


class Router(Protocol):
    """What the driver needs where queries go by copies of shards (`shards.routing`)."""

    classes: int  # of the settings; the module has more of them

    def listed(self, event: Any) -> Any:
        """Return a list of engines as the module is to be told it."""

    def arrives(self, query: int, cls: int, shards: tuple[str, ...]) -> tuple[int, list[Any]]:
        """Return the class by which the module gets a query, and the lists that go ahead of it."""

    def seen(self, places: Any) -> list[Any]:
        """Take a newer view of the copies; return the lists that the module is to be told."""

    def quieted(self, quiet: Any) -> list[Any]:
        """Take a newer view of engines that get no query of some tables."""

    def may_send(self, query: int, engine: str) -> bool:
        """Tell whether an engine holds what the query reads."""

    def missed(self, query: int, engine: str) -> list[Any] | None:
        """Take an engine's word that it lacks what a query reads; None: that is the query's answer."""

    def begins(self, query: int, number: int, engine: str) -> None:
        """An attempt is about to be sent, in the turn in which it was found that it may."""

    def over(self, query: int, number: int, until: float = 0.0) -> None:
        """An attempt has ended; with `until`, its engine may run it on until then at the longest."""

    def ended(self, query: int) -> None:
        """Forget a query."""


class Engines(Protocol):
    """What the driver needs of the links to engines."""

    def attempt(self, engine: str, order: Order) -> AttemptEnd:
        """Make an attempt and wait for its end; a cancelled task calls off what it can."""

    def terms(self, query: int, memory_mb: float, priority: int) -> None:
        """Tell the engines at which attempts of a query are out of its new terms; none may be lost by it."""

    def probe(self, engine: str) -> AttemptEnd:
        """Check an engine."""
