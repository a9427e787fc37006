"""Messages between frontends, dispatch and connections to engines. Times are in ms of the loop's clock."""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any, Protocol

from fennelwind.policy import AttemptStatus, ProgressKind

# Ends of attempts which prove that the statement never ran at the engine.
NEVER_RAN = frozenset((AttemptStatus.OVERLOADED, AttemptStatus.CONNECT_FAILED, AttemptStatus.NOT_STARTED))


class AnswerKind(StrEnum):
    """What a final answer says."""

    SERVED = "served"
    REJECTED = "refused"  # a retry is harmless: it never ran, or running it twice does no harm
    FAILED = "failed"  # it may have run
    CANCELLED = "left"  # its client disconnected or cancelled it; nobody receives this answer


@dataclass(slots=True, frozen=True)
class Submission:
    """A query as a frontend submits it."""

    class_index: int
    statement: str | bytes  # bytes where the engine's protocol passes it on unparsed
    deadline_ms: float  # the client times out then
    user: str = ""
    tenant: int = 0
    key: str | None = None
    estimated_work_ms: float | None = None  # estimate of the work of all its threads
    estimated_memory_mb: float = 0.0  # estimate; 0: none
    table_group: int | None = None
    is_client_retry: bool = False
    overlay: dict[str, str] = field(default_factory=dict)  # configuration that goes to the engine
    database: str = ""  # where the statement is to run; "": the engine's default database
    request_id: str = ""  # chosen by the client; the same id marks a repeated request; "": none
    method: str = "ExecuteStatement"  # or a metadata call, as the service names it
    arguments: Any = None  # a metadata call's request
    shards: tuple[str, ...] = ()  # shards that it reads, where their replica locations are known
    engine_id: str = ""  # the query's id and class as engines receive them, where they receive any
    engine_class: str = ""
    idempotency_key: str = ""  # chosen by the client, for engines that drop repeats by it
    # Earliest start of an attempt, in ms. It moves while more of the client's bytes arrive: thus a function.
    earliest_start_ms: Callable[[], float] = lambda: 0.0


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
        """Release what is still at the engine."""
        if self.stream is not None:
            self.stream.close()


@dataclass(slots=True, frozen=True)
class Answer:
    """The final answer of a query."""

    kind: AnswerKind
    reason: str = ""
    retry_after_ms: float = 0.0
    result: Result | None = None


@dataclass(slots=True, frozen=True)
class AttemptEnd:
    """How an attempt or a health check ended, with what the engine reported of cost and load."""

    status: AttemptStatus
    reason: str = ""
    result: Result | None = None
    work_ms: float | None = None
    memory_mb: float | None = None
    load: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True, eq=False)
class AttemptRequest:
    """An attempt to be made at an engine.

    The connection layer makes the attempt and calls the two methods; the dispatcher overrides them.
    """

    query: int
    number: int
    submission: Submission
    deadline_ms: float
    memory_mb: float  # memory grant; 0 leaves it to the engine
    priority: int

    def report_progress(self, kind: ProgressKind, value: float) -> None:
        """Take progress that the engine reported."""

    def reason_not_to_start(self) -> str:
        """Return why the attempt may not start now, "" if it may.

        Call it once, right before its first byte: "" spends a retry.
        """
        return ""


class Router(Protocol):
    """What dispatch needs where queries are routed by replica locations of shards (`shards.routing`)."""

    classes: int  # of the settings; the policy has more of them

    def rewrite_list(self, update: Any, /) -> Any:
        """Return the list of engines as the policy is to get it."""

    def classify(self, query: int, class_index: int, shards: tuple[str, ...], /) -> tuple[int, list[Any]]:
        """Return the class index by which the policy gets a query, and the lists that precede it."""

    def update_replicas(self, locations: Any, /) -> list[Any]:
        """Take newer replica locations; return the lists that the policy is to get."""

    def update_quiesced(self, quiesced: Any, /) -> list[Any]:
        """Take newer engines that get no query of some tables; return the lists that the policy is to get."""

    def may_send(self, query: int, engine: str) -> bool:
        """Return whether an engine holds what the query reads."""

    def replica_missing(self, query: int, engine: str) -> list[Any] | None:
        """Note that an engine lacks what a query reads; None: that is the query's answer."""

    def attempt_started(self, query: int, number: int, engine: str) -> None:
        """Note that an attempt is about to be sent, in the turn in which `may_send` allowed it."""

    def attempt_ended(self, query: int, number: int, until_ms: float = 0.0, /) -> None:
        """Note the end of an attempt; with `until_ms`, its engine may run it on until then at most."""

    def query_ended(self, query: int) -> None:
        """Forget a query."""


class Engines(Protocol):
    """What dispatch needs of the connections to engines."""

    def attempt(self, engine: str, request: AttemptRequest, /) -> AttemptEnd:
        """Make an attempt and wait for its end; a cancelled task cancels what it can at the engine."""

    def update_grant(self, query: int, memory_mb: float, priority: int) -> None:
        """Send a query's new grant to the engines that run its attempts; none may be lost by it."""

    def check_health(self, engine: str) -> AttemptEnd:
        """Check an engine's health."""
