"""The decisions on queries, without I/O, clock or logging: events in, actions out.

`Gateway.step` takes the time and typed events (`events`) and returns typed actions (`actions`); `settings`
holds what a deployment states. Callers use the names of this package, as in
`policy.StartAttempt`.
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
