"""What happens to a gateway: the typed events that `Gateway.step` takes. All times are in milliseconds."""

from dataclasses import dataclass, field
from enum import IntEnum, StrEnum


class EngineState(StrEnum):
    """What discovery says of an engine."""

    READY = "ready"
    DRAINING = "draining"
    REMOVED = "gone"


class ListForm(StrEnum):
    """How a list of engines relates to the ones before."""

    DELTA = "delta"  # changes to the list before
    FULL = "full"  # all engines; others are removed
    CACHED = "cached"  # all engines as of an earlier time
    FAILED = "failed"  # nothing was learnt


class AttemptStatus(StrEnum):
    """How an attempt or a health check ended; rules on what may be repeated rest on it."""

    OK = "ok"
    ERROR = "error"
    OVERLOADED = "full"  # rejected by the engine: it never ran
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"  # it never ran
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_STARTED = "moot"  # its query had ended or its time was up before it began: it never ran


class ProgressKind(IntEnum):
    """What a progress report says of a running attempt."""

    SHARE_DONE = 1
    SPILLING = 2
    WAITING = 3


@dataclass(slots=True, frozen=True)
class EngineEndpoint:
    """An engine, as the list of engines has it."""

    engine: str
    state: EngineState = EngineState.READY
    zone: int = 0
    kind: int = 0
    cell: int = 0
    weight: float = 1.0
    started_ms: float = 0.0  # 0: long ago


@dataclass(slots=True, frozen=True)
class EngineListUpdate:
    """What discovery says of the engines."""

    form: ListForm
    engines: tuple[EngineEndpoint, ...] = ()


@dataclass(slots=True, frozen=True)
class QueryArrived:
    """A client's query has come in."""

    query: int
    class_index: int
    deadline_ms: float  # when the final answer is due: the client's deadline less the answer margin
    tenant: int = 0
    key: str | None = None
    estimated_work_ms: float | None = None  # estimate of the work of all its threads
    estimated_memory_mb: float = 0.0  # estimate; 0: none
    table_group: int | None = None
    is_client_retry: bool = False


@dataclass(slots=True, frozen=True)
class AttemptEnded:
    """An attempt has ended.

    `is_final`: the caller has given the query's final answer; else the gateway may retry it.
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
    """The answer of a streamed query has started."""

    query: int
    attempt: int


@dataclass(slots=True, frozen=True)
class ClientDisconnected:
    """The client has disconnected; no answer is owed."""

    query: int


@dataclass(slots=True, frozen=True)
class AttemptProgress:
    """Progress of a running attempt."""

    query: int
    attempt: int
    kind: ProgressKind
    value: float


@dataclass(slots=True, frozen=True)
class TimerFired:
    """A timer has come due."""

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
    """Engines to prefer, in order, with the whole load that each is taken to have now, over all gateways.

    A load is the busy share of the engine's busiest resource; the price of another zone is added to it.
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
