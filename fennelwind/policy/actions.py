"""What a gateway wants done: the typed actions that `Gateway.step` returns. All times are in milliseconds."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class StartAttempt:
    """Start an attempt; a timeout of 0 means until the client gives up."""

    query: int
    engine: str
    timeout_ms: float = 0.0


@dataclass(slots=True, frozen=True)
class RejectQuery:
    """Final answer: rejected; a retry by the client is harmless."""

    query: int
    retry_after_ms: float = 0.0


@dataclass(slots=True, frozen=True)
class FailQuery:
    """Final answer: failed; the query may have run."""

    query: int


@dataclass(slots=True, frozen=True)
class CancelAttempt:
    """Cancel an attempt; its outcome is still awaited."""

    query: int
    attempt: int


@dataclass(slots=True, frozen=True)
class SetGrant:
    """Set memory and priority of a query's next attempts, and of those that run."""

    query: int
    memory_mb: float
    priority: int


@dataclass(slots=True, frozen=True)
class StartTimer:
    """Ask for a TimerFired."""

    delay_ms: float
    token: int


@dataclass(slots=True, frozen=True)
class SendPeerMessage:
    """Send bytes to one gateway, or to all with `peer` None."""

    data: bytes
    peer: int | None = None


@dataclass(slots=True, frozen=True)
class CheckHealth:
    """Check an engine."""

    engine: str


@dataclass(slots=True, frozen=True)
class SubscribeToEngines:
    """Ask discovery for changes from now on."""


@dataclass(slots=True, frozen=True)
class LogMessage:
    """A line for the operators."""

    text: str


Action = (
    StartAttempt
    | RejectQuery
    | FailQuery
    | CancelAttempt
    | SetGrant
    | StartTimer
    | SendPeerMessage
    | CheckHealth
    | SubscribeToEngines
    | LogMessage
)
