"""Types shared by frontends, dispatch and connections to engines. Times are in ms of the loop's clock."""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any, Protocol

from fennelwind.policy import AttemptStatus, ProgressKind

# Statuses of attempts which prove that the statement never ran at the engine.
NEVER_RAN = frozenset((AttemptStatus.OVERLOADED, AttemptStatus.CONNECT_FAILED, AttemptStatus.NOT_STARTED))


class AnswerKind(StrEnum):
    """The kinds of final answers."""

    SERVED = "served"
    REJECTED = "refused"  # safe to retry: it never ran, or running it twice does no harm
    FAILED = "failed"  # it may have run
    CANCELLED = "left"  # its client disconnected or cancelled it; the answer is not delivered


@dataclass(slots=True, frozen=True)
class Submission:
    """A query as submitted by a frontend."""

    class_index: int
    statement: str | bytes  # bytes if the engine's protocol passes it on unparsed
    deadline_ms: float  # when the client times out
    user: str = ""
    tenant: int = 0
    key: str | None = None
    estimated_work_ms: float | None = None  # estimate, summed over all its threads
    estimated_memory_mb: float = 0.0  # 0: no estimate
    table_group: int | None = None
    is_client_retry: bool = False
    overlay: dict[str, str] = field(default_factory=dict)  # configuration sent with the statement
    database: str = ""  # database of the statement; "": the engine's default
    request_id: str = ""  # chosen by the client; the same id means a repeated request; "": none
    method: str = "ExecuteStatement"  # or the name of one of the service's metadata calls
    arguments: Any = None  # request of a metadata call
    shards: tuple[str, ...] = ()  # shards that it reads, if their replica locations are known
    engine_id: str = ""  # sent to the engine as query id; "": none
    engine_class: str = ""  # sent to the engine as query class; "": none
    idempotency_key: str = ""  # chosen by the client; engines drop repeats with the same key
    # Returns the earliest start of an attempt. A function, as the time moves while the client's bytes arrive.
    earliest_start_ms: Callable[[], float] = lambda: 0.0


@dataclass(slots=True, frozen=True)
class Result:
    """An engine's answer: schema and pages as Thrift structures; no schema without a result set.

    `error`: the engine's status if the statement itself is at fault; it is an answer, not a failed attempt.
    """

    schema: Any = None
    pages: tuple[Any, ...] = ()
    error: Any = None
    stream: Any = None  # further pages, which are still at the engine

    def close(self) -> None:
        """Release the pages that are still at the engine."""
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
    """The end of an attempt or a health check, with the cost and load that the engine reported."""

    status: AttemptStatus
    reason: str = ""
    result: Result | None = None
    work_ms: float | None = None
    memory_mb: float | None = None
    load: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True, eq=False)
class AttemptRequest:
    """An attempt to be made at an engine.

    The connection layer makes the attempt and calls the two methods, which dispatch overrides.
    """

    query: int
    number: int
    submission: Submission
    deadline_ms: float
    memory_mb: float  # memory grant; 0: the engine decides
    priority: int

    def report_progress(self, kind: ProgressKind, value: float) -> None:
        """Record progress that the engine reported."""

    def reason_not_to_start(self) -> str:
        """Return why the attempt may not start now, "" if it may.

        Call it once, immediately before the first byte is sent: "" charges a retry to the budget.
        """
        return ""


class Router(Protocol):
    """The interface to the router by replica locations of shards (`shards.routing`)."""

    classes: int  # number of classes in the settings; the policy has more

    def rewrite_list(self, update: Any, /) -> Any:
        """Return an engine list in the form that the policy gets."""

    def classify(self, query: int, class_index: int, shards: tuple[str, ...], /) -> tuple[int, list[Any]]:
        """Return the class index that the policy gets for a query, and the engine lists to pass before it."""

    def update_replicas(self, locations: Any, /) -> list[Any]:
        """Apply newer replica locations; return the engine lists to pass to the policy."""

    def update_quiesced(self, quiesced: Any, /) -> list[Any]:
        """Apply newer engines that are quiesced for some tables; return the engine lists for the policy."""

    def may_send(self, query: int, engine: str) -> bool:
        """Return whether an engine holds the shards that the query reads."""

    def replica_missing(self, query: int, engine: str) -> list[Any] | None:
        """Record that an engine lacks a replica that a query reads; return the engine lists for the policy.

        None: no other engine is known to hold it, and the engine's error is the query's answer.
        """

    def attempt_started(self, query: int, number: int, engine: str) -> None:
        """Record an attempt that is about to be sent; call it in the turn in which `may_send` allowed it."""

    def attempt_ended(self, query: int, number: int, until_ms: float = 0.0, /) -> None:
        """Record the end of an attempt; with `until_ms`, its engine may still run it until then."""

    def query_ended(self, query: int) -> None:
        """Forget a query."""


class Engines(Protocol):
    """The interface to the connections to engines."""

    def attempt(self, engine: str, request: AttemptRequest, /) -> AttemptEnd:
        """Make an attempt and wait for its end; a cancelled task cancels it at the engine if possible."""

    def update_grant(self, query: int, memory_mb: float, priority: int) -> None:
        """Send a query's new grant to the engines that run its attempts; a failure ends no attempt."""

    def check_health(self, engine: str) -> AttemptEnd:
        """Check an engine's health."""
