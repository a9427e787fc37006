"""The module's interface: settings, events and actions. All times are in milliseconds."""

from dataclasses import dataclass, field


@dataclass(slots=True, frozen=True)
class QueryClass:
    """One class of queries, as the deployment states it."""

    name: str
    aim_ms: float  # an answer within this time earns the full worth
    give_up_ms: float
    worth: float
    aim_stretch: float = 0.0  # the aim grows by this times work / threads
    late_worth: float = 0.0  # share of the worth that a late answer earns
    effect: str = "safe"  # "safe", "keyed" or "unsafe" to repeat
    group: str = "all"  # keyed: who drops repeats: "all", "zone" or "cell"
    memory_ms: float = 0.0  # keyed: for how long repeats are dropped
    serial: bool = False  # queries of one key run one at a time
    zones: tuple[int, ...] | None = None  # the only zones allowed
    kinds: tuple[int, ...] | None = None  # the only machine kinds allowed
    threads: int = 1
    holds: bool = False  # a load: it holds its group of tables on its engine while it runs
    waits: bool = False  # it stands still while a load holds its group of tables there


@dataclass(slots=True, frozen=True)
class Tenant:
    """One tenant and its share of the service."""

    name: str
    quota_per_s: float  # across all gateways


@dataclass(slots=True, frozen=True)
class Settings:
    """What a gateway is told at its start."""

    classes: tuple[QueryClass, ...]
    kind_cores: tuple[int, ...]
    gateways: int = 1
    me: int = 0
    zone: int = 0
    tenants: tuple[Tenant, ...] = ()
    over_share_worth: float = 1.0  # share of the worth left beyond a tenant's quota
    kind_memory_mb: tuple[float, ...] = ()
    max_grant_share: float = 1.0
    grants: bool = False  # the memory grant is heeded
    memory_waits: bool = False  # short of memory, an engine lets queries wait in place of spilling
    memory_pages: bool = False  # short of memory, an engine lets queries in and slows once it is in use
    priorities: bool = False  # the priority is heeded
    note_ms: float = 0.0  # time between notes of progress; 0: none
    tells_cost: bool = False  # answers tell work and memory
    report_fields: tuple[str, ...] = ()
    can_cancel: bool = False
    can_probe: bool = False
    can_tell: bool = False
    parallel: bool = False  # two attempts of a query may be out at once
    retry_after: bool = False  # a refusal may say when to come back
    max_retry_after_ms: float = 0.0
    max_attempts: int = 1
    must_ask: bool = False  # list changes come only when asked for
    answer_slack_ms: float = 0.0
    drain_grace_ms: float = 0.0
    cold_share: float = 1.0  # capacity share of an engine that just started
    cold_ms: float = 0.0  # warm after this at the latest
    fall_multiple: float = 0.0  # 0: cold engines do not fall over
    fall_ms: float = 0.0
    settle_ms: float = 0.0  # rest of a key after an attempt in doubt
    budget_free: float = 0.0
    budget_share: float = 0.0
    budget_ms: float = 0.0  # 0: further attempts are not rationed
    tick_ms: float = 1.0  # least time between two steps

    def __post_init__(self) -> None:
        """Refuse settings that no decision can be built on."""
        checks = [
            ("classes", bool(self.classes)),
            ("gateways", self.gateways >= 1),
            ("max_attempts", self.max_attempts >= 1),
            ("tick_ms", self.tick_ms > 0),
            ("kind_cores", all(c > 0 for c in self.kind_cores)),
        ]
        names = (
            "max_retry_after_ms",
            "drain_grace_ms",
            "cold_share",
            "cold_ms",
            "fall_multiple",
            "fall_ms",
            "settle_ms",
            "budget_free",
            "budget_share",
            "budget_ms",
            "answer_slack_ms",
        )
        checks += [(name, getattr(self, name) >= 0) for name in names]
        for cls in self.classes:
            checks += [
                ("aim_ms", cls.aim_ms > 0),
                ("give_up_ms", cls.give_up_ms > 0),
                ("worth", cls.worth >= 0),
                ("threads", cls.threads >= 1),
                ("effect", cls.effect in ("safe", "keyed", "unsafe")),
                ("group", cls.group in ("all", "zone", "cell")),
            ]
        for name, good in checks:
            if not good:
                raise ValueError(f"setting {name} is unusable")


@dataclass(slots=True, frozen=True)
class EngineEntry:
    """One line of the list of engines."""

    engine: str
    state: str = "ready"  # "ready", "draining" or "gone"
    zone: int = 0
    kind: int = 0
    cell: int = 0
    weight: float = 1.0
    launched_ms: float = 0.0  # 0: long ago


@dataclass(slots=True, frozen=True)
class EngineList:
    """What discovery says; `form` is "delta", "full", "cached" or "failed"."""

    form: str
    engines: tuple[EngineEntry, ...] = ()


@dataclass(slots=True, frozen=True)
class Arrival:
    """A client's query has come in."""

    query: int
    cls: int
    deadline_ms: float  # clock time at which the client gives this try up
    tenant: int = 0
    key: str | None = None
    work_ms: float | None = None  # estimate of the work of all its threads
    memory_mb: float = 0.0  # estimate; 0: none
    tables: int | None = None
    repeat: bool = False


@dataclass(slots=True, frozen=True)
class Outcome:
    """How an attempt ended: ok, error, full, timeout, connect_failed, reset, cancelled or moot."""

    query: int
    attempt: int
    engine: str
    status: str
    took_ms: float
    finished: bool
    work_ms: float | None = None
    memory_mb: float | None = None
    load: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class Begun:
    """The answer of a streamed query has started."""

    query: int
    attempt: int


@dataclass(slots=True, frozen=True)
class Gone:
    """The client has left; no answer is owed."""

    query: int


@dataclass(slots=True, frozen=True)
class Note:
    """Word on a running attempt: `sort` is 1 share done, 2 spilling, 3 waiting."""

    query: int
    attempt: int
    sort: int
    value: float


@dataclass(slots=True, frozen=True)
class TimerFired:
    """A timer has come due."""

    token: int


@dataclass(slots=True, frozen=True)
class PeerMessage:
    """A message from another gateway."""

    sender: int
    data: bytes


@dataclass(slots=True, frozen=True)
class Probed:
    """The result of a probe."""

    engine: str
    status: str
    took_ms: float
    load: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class Picture:
    """News of whole loads: engines to lean to, in order, with the load that each is taken to have now.

    A load is the busy share of the engine's busiest resource; the price of another zone is added to it.
    """

    loads: dict[str, float]


@dataclass(slots=True, frozen=True)
class Send:
    """Start an attempt; a time-out of 0 means until the client gives up."""

    query: int
    engine: str
    timeout_ms: float = 0.0


@dataclass(slots=True, frozen=True)
class Refuse:
    """Final answer: rejected, a further try is harmless."""

    query: int
    retry_after_ms: float = 0.0


@dataclass(slots=True, frozen=True)
class Fail:
    """Final answer: failed, nothing promised."""

    query: int


@dataclass(slots=True, frozen=True)
class Cancel:
    """Stop waiting for an attempt."""

    query: int
    attempt: int


@dataclass(slots=True, frozen=True)
class Terms:
    """Memory grant and priority of a query's next attempts."""

    query: int
    memory_mb: float
    priority: int


@dataclass(slots=True, frozen=True)
class Timer:
    """Ask for a TimerFired."""

    delay_ms: float
    token: int


@dataclass(slots=True, frozen=True)
class Tell:
    """Send bytes to one gateway, or to all with `peer` None."""

    data: bytes
    peer: int | None = None


@dataclass(slots=True, frozen=True)
class Probe:
    """Check an engine."""

    engine: str


@dataclass(slots=True, frozen=True)
class Subscribe:
    """Ask discovery for changes from now on."""


@dataclass(slots=True, frozen=True)
class Log:
    """A line for the operators."""

    text: str


Event = EngineList | Arrival | Outcome | Begun | Gone | Note | TimerFired | PeerMessage | Probed | Picture
Action = Send | Refuse | Fail | Cancel | Terms | Timer | Tell | Probe | Subscribe | Log
