"""Actions: the typed output of `Gateway.step`. All times are in milliseconds."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class StartAttempt:
    """Start an attempt; with a timeout of 0 it may run until the client's deadline."""

    query: int
    engine: str
    timeout_ms: float = 0.0


@dataclass(slots=True, frozen=True)
class RejectQuery:
    """Give the final answer "rejected": the client may safely retry."""

    query: int
    retry_after_ms: float = 0.0


@dataclass(slots=True, frozen=True)
class FailQuery:
    """Give the final answer "failed": the query may have run."""

    query: int


@dataclass(slots=True, frozen=True)
class CancelAttempt:
    """Cancel an attempt; an `AttemptEnded` event still follows."""

    query: int
    attempt: int


@dataclass(slots=True, frozen=True)
class SetGrant:
    """Set the memory and the priority of a query's running and future attempts."""

    query: int
    memory_mb: float
    priority: int


@dataclass(slots=True, frozen=True)
class StartTimer:
    """Request a `TimerFired` event after a delay."""

    delay_ms: float
    token: int


@dataclass(slots=True, frozen=True)
class SendPeerMessage:
    """Send bytes to one gateway, or to all if `peer` is None."""

    data: bytes
    peer: int | None = None


@dataclass(slots=True, frozen=True)
class CheckHealth:
    """Check the health of an engine."""

    engine: str


@dataclass(slots=True, frozen=True)
class SubscribeToEngines:
    """Subscribe to changes of the engine list at discovery."""


@dataclass(slots=True, frozen=True)
class LogMessage:
    """Write a line to the operators' log."""

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
