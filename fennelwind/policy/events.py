"""Events: the typed input of `Gateway.step`. All times are in milliseconds."""

from dataclasses import dataclass, field
from enum import IntEnum, StrEnum


class EngineState(StrEnum):
    """State of an engine, as discovery reports it."""

    READY = "ready"
    DRAINING = "draining"
    REMOVED = "gone"


class ListForm(StrEnum):
    """How an engine list relates to the previous one."""

    DELTA = "delta"  # changes to the previous list
    FULL = "full"  # all engines; those not listed are removed
    CACHED = "cached"  # all engines, from a stored and possibly stale list
    FAILED = "failed"  # the subscription failed; the update carries no list


class AttemptStatus(StrEnum):
    """Outcome of an attempt or a health check; it determines whether the query may be retried."""

    OK = "ok"
    ERROR = "error"
    OVERLOADED = "full"  # rejected by the engine: the attempt never ran
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"  # the attempt never ran
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_STARTED = "moot"  # the query had ended or expired before the attempt was sent: the attempt never ran


class ProgressKind(IntEnum):
    """What a progress report says about a running attempt."""

    SHARE_DONE = 1
    SPILLING = 2
    WAITING = 3


@dataclass(slots=True, frozen=True)
class EngineEndpoint:
    """An entry of the engine list."""

    engine: str
    state: EngineState = EngineState.READY
    zone: int = 0
    kind: int = 0
    cell: int = 0
    weight: float = 1.0
    started_ms: float = 0.0  # 0 if unknown; the engine is then taken to have started long ago


@dataclass(slots=True, frozen=True)
class EngineListUpdate:
    """An update of the engine list from discovery."""

    form: ListForm
    engines: tuple[EngineEndpoint, ...] = ()


@dataclass(slots=True, frozen=True)
class QueryArrived:
    """A client's query has arrived."""

    query: int
    class_index: int
    deadline_ms: float  # when the final answer is due: the client's deadline less the answer margin
    tenant: int = 0
    key: str | None = None
    estimated_work_ms: float | None = None  # summed over the query's threads; None if there is no estimate
    estimated_memory_mb: float = 0.0  # 0 if there is no estimate
    table_group: int | None = None
    is_client_retry: bool = False


@dataclass(slots=True, frozen=True)
class AttemptEnded:
    """An attempt has ended.

    `is_final` is True if the query has its final answer; otherwise the gateway may retry the query.
    """

    query: int
    attempt: int
    engine: str
    status: AttemptStatus
    took_ms: float
    is_final: bool
    measured_work_ms: float | None = None
    measured_memory_mb: float | None = None
    load: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class ResultStarted:
    """A query has begun to stream its result to the client."""

    query: int
    attempt: int


@dataclass(slots=True, frozen=True)
class ClientDisconnected:
    """The client has disconnected; the query needs no answer."""

    query: int


@dataclass(slots=True, frozen=True)
class AttemptProgress:
    """A progress report of a running attempt."""

    query: int
    attempt: int
    kind: ProgressKind
    value: float


@dataclass(slots=True, frozen=True)
class TimerFired:
    """A timer has expired."""

    token: int


@dataclass(slots=True, frozen=True)
class PeerMessageReceived:
    """A message from another gateway."""

    sender: int
    data: bytes


@dataclass(slots=True, frozen=True)
class HealthChecked:
    """The result of a health check."""

    engine: str
    status: AttemptStatus
    took_ms: float
    load: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class LoadAdvice:
    """Engines to prefer, in order, with the estimated current load of each, over all gateways.

    A load is the utilisation of the engine's busiest resource, plus a penalty for being in another zone.
    """

    loads: dict[str, float]


Event = (
    EngineListUpdate
    | QueryArrived
    | AttemptEnded
    | ResultStarted
    | ClientDisconnected
    | AttemptProgress
    | TimerFired
    | PeerMessageReceived
    | HealthChecked
    | LoadAdvice
)
