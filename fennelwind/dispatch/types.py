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
    REJECTED = "refused"  # safe to retry: the query never ran, or running it twice does no harm
    FAILED = "failed"  # the query may have run
    CANCELLED = "left"  # the client disconnected or cancelled the query; the answer is not delivered


@dataclass(slots=True, frozen=True)
class Submission:
    """A query as submitted by a frontend."""

    class_index: int
    statement: str | bytes  # bytes if the engine's protocol passes it on unparsed
    deadline_ms: float  # when the client times out
    user: str = ""
    tenant: int = 0
    key: str | None = None
    estimated_work_ms: float | None = None  # summed over the query's threads; None if there is no estimate
    estimated_memory_mb: float = 0.0  # 0 if there is no estimate
    table_group: int | None = None
    is_client_retry: bool = False
    overlay: dict[str, str] = field(default_factory=dict)  # configuration sent with the statement
    database: str = ""  # database of the statement; "" for the engine's default
    request_id: str = ""  # chosen by the client; the same id means a repeated request; "" if none
    method: str = "ExecuteStatement"  # or the name of a HiveServer2 metadata call
    arguments: Any = None  # request of a metadata call
    shards: tuple[str, ...] = ()  # shards that the query reads, if their replica locations are known
    engine_id: str = ""  # sent to the engine as query id; "" if none
    engine_class: str = ""  # sent to the engine as query class; "" if none
    idempotency_key: str = ""  # chosen by the client; engines drop repeats with the same key
    # Returns the earliest start of an attempt; a function, as the time moves while the client's bytes arrive.
    earliest_start_ms: Callable[[], float] = lambda: 0.0


@dataclass(slots=True, frozen=True)
class Result:
    """An engine's answer: schema and pages as Thrift structures; `schema` is None without a result set.

    `error` is the engine's status if the statement itself is at fault, which counts as an answer and not as
    a failed attempt; else it is None.
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
    memory_mb: float  # memory grant; 0 if the engine decides
    priority: int

    def report_progress(self, kind: ProgressKind, value: float) -> None:
        """Record progress that the engine reported."""

    def reason_not_to_start(self) -> str:
        """Return why the attempt may not start now, or "" if it may.

        Call this method once, immediately before the first byte is sent: a retry that may start is charged to
        the retry budget.
        """
        return ""


class Router(Protocol):
    """The interface to the router by replica locations of shards (`shards.routing`)."""

    classes: int  # number of classes in the deployment's settings; the policy has more classes

    def rewrite_list(self, update: Any, /) -> Any:
        """Return an engine list in the form that the policy gets."""

    def classify(self, query: int, class_index: int, shards: tuple[str, ...], /) -> tuple[int, list[Any]]:
        """Return the class index that the policy gets for a query, and the engine lists to pass on first."""

    def update_replicas(self, locations: Any, /) -> list[Any]:
        """Apply newer replica locations; return the engine lists to pass to the policy."""

    def update_quiesced(self, quiesced: Any, /) -> list[Any]:
        """Apply a newer set of engines quiesced for some tables; return the engine lists for the policy."""

    def may_send(self, query: int, engine: str) -> bool:
        """Return whether an engine holds the shards that the query reads."""

    def replica_missing(self, query: int, engine: str) -> list[Any] | None:
        """Record that an engine lacks a replica that a query reads; return the engine lists for the policy.

        Returns None if no other engine is known to hold the replica; the engine's error is then the answer.
        """

    def attempt_started(self, query: int, number: int, engine: str) -> None:
        """Record an attempt that is about to be sent; call it in the turn in which `may_send` allowed it."""

    def attempt_ended(self, query: int, number: int, until_ms: float = 0.0, /) -> None:
        """Record the end of an attempt; if `until_ms` is not 0, the engine may still run it until then."""

    def query_ended(self, query: int) -> None:
        """Forget a query."""


class Engines(Protocol):
    """The interface to the connections to engines."""

    def attempt(self, engine: str, request: AttemptRequest, /) -> AttemptEnd:
        """Make an attempt and wait for its end.

        If the calling task is cancelled, cancel the attempt at the engine if possible.
        """

    def update_grant(self, query: int, memory_mb: float, priority: int) -> None:
        """Send a query's new grant to the engines that run its attempts; a failure ends no attempt."""

    def check_health(self, engine: str) -> AttemptEnd:
        """Check an engine's health."""
