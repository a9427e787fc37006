"""The decision logic of a gateway: admission, queueing, engine selection, retries, limits and grants.

The package does no I/O, reads no clock and writes no log. `Gateway.step` takes the time and typed events
(`events`) and returns typed actions (`actions`); `settings` holds the configuration of the deployment.
Callers use the names that this package exports, as in `policy.StartAttempt`.
"""

from fennelwind.policy.actions import (
    Action,
    CancelAttempt,
    CheckHealth,
    FailQuery,
    LogMessage,
    RejectQuery,
    SendPeerMessage,
    SetGrant,
    StartAttempt,
    StartTimer,
    SubscribeToEngines,
)
from fennelwind.policy.events import (
    AttemptEnded,
    AttemptProgress,
    AttemptStatus,
    ClientDisconnected,
    EngineEndpoint,
    EngineListUpdate,
    EngineState,
    Event,
    HealthChecked,
    ListForm,
    LoadAdvice,
    PeerMessageReceived,
    ProgressKind,
    QueryArrived,
    ResultStarted,
    TimerFired,
)
from fennelwind.policy.settings import (
    DeduplicationScope,
    Idempotency,
    QueryClass,
    Settings,
    Tenant,
)

__all__ = [
    "Action",
    "AttemptEnded",
    "AttemptProgress",
    "AttemptStatus",
    "CancelAttempt",
    "CheckHealth",
    "ClientDisconnected",
    "DeduplicationScope",
    "EngineEndpoint",
    "EngineListUpdate",
    "EngineState",
    "Event",
    "FailQuery",
    "HealthChecked",
    "Idempotency",
    "ListForm",
    "LoadAdvice",
    "LogMessage",
    "PeerMessageReceived",
    "ProgressKind",
    "QueryArrived",
    "QueryClass",
    "RejectQuery",
    "ResultStarted",
    "SendPeerMessage",
    "SetGrant",
    "Settings",
    "StartAttempt",
    "StartTimer",
    "SubscribeToEngines",
    "Tenant",
    "TimerFired",
]
