"""Settings of a gateway, from the deployment's configuration. All times are in milliseconds.

The configuration readers (`node/config`, `simulator_wire`, `config/`) build the settings once; the rules only
read them. Invalid settings raise `ValueError`.
"""

from dataclasses import dataclass
from enum import StrEnum


class Idempotency(StrEnum):
    """Whether a query may be run again after an attempt that may have run."""

    IDEMPOTENT = "safe"
    KEYED = "keyed"  # engines in the class's deduplication scope drop repeats with the same idempotency key
    NON_IDEMPOTENT = "unsafe"


class DeduplicationScope(StrEnum):
    """Which engines recognise a keyed query's earlier attempts and drop its repeats."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


@dataclass(slots=True, frozen=True)
class QueryClass:
    """One class of queries."""

    name: str
    latency_objective_ms: float  # an answer within this time earns the full weight
    client_timeout_ms: float
    priority_weight: float
    latency_objective_slowdown: float = 0.0  # the objective grows by this factor times work / threads
    late_weight_share: float = 0.0  # share of the weight that a late answer earns
    idempotency: Idempotency = Idempotency.IDEMPOTENT
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL  # used only in keyed classes
    deduplication_window_ms: float = 0.0  # in keyed classes: how long engines drop repeats
    is_ordered_by_key: bool = False  # queries with the same key run one at a time, in order
    zones: tuple[int, ...] | None = None  # allowed zones; None if all are
    kinds: tuple[int, ...] | None = None  # allowed machine kinds; None if all are
    threads: int = 1
    locks_tables: bool = False  # True for a load, which locks its table group on its engine while it runs
    waits_for_table_locks: bool = False  # queries wait while a load on their engine locks their table group


@dataclass(slots=True, frozen=True)
class Tenant:
    """One tenant and its quota."""

    name: str
    quota_per_s: float  # over all gateways


@dataclass(slots=True, frozen=True)
class Settings:
    """Settings of one gateway, fixed at its start."""

    classes: tuple[QueryClass, ...]
    kind_cores: tuple[int, ...]
    gateway_count: int = 1
    gateway_index: int = 0
    zone: int = 0
    tenants: tuple[Tenant, ...] = ()
    over_quota_weight_share: float = 1.0  # share of the weight that a query over its tenant's quota keeps
    kind_memory_mb: tuple[float, ...] = ()
    max_grant_share: float = 1.0
    has_memory_grants: bool = False  # engines support memory grants
    queues_when_short_of_memory: bool = False  # engines short of memory queue queries; else they spill
    swaps_when_short_of_memory: bool = False  # engines admit queries beyond their memory and slow down
    has_priorities: bool = False  # engines support priorities
    progress_interval_ms: float = 0.0  # time between progress reports; 0 if there are none
    reports_cost: bool = False  # answers report measured work and memory
    report_fields: tuple[str, ...] = ()
    can_cancel: bool = False
    can_probe: bool = False
    can_message_peers: bool = False
    allows_concurrent_attempts: bool = False  # two attempts of a query may run concurrently
    allows_retry_after: bool = False  # a rejection may say when to retry
    max_retry_after_ms: float = 0.0
    max_attempts: int = 1
    requires_subscription: bool = False  # engine list changes are sent only to subscribers
    answer_slack_ms: float = 0.0
    drain_grace_ms: float = 0.0
    cold_capacity_share: float = 1.0  # share of its capacity that an engine has right after its start
    slow_start_ms: float = 0.0  # time after which an engine is warm
    overload_multiple: float = 0.0  # work / capacity that crashes a cold engine; 0 if no engine crashes
    overload_window_ms: float = 0.0
    unresolved_hold_ms: float = 0.0  # how long a key is held after an unknown outcome
    retry_budget_free: float = 0.0
    retry_budget_share: float = 0.0
    retry_budget_window_ms: float = 0.0  # 0 if retries are not limited
    resolution_ms: float = 1.0  # minimum time between two steps

    def __post_init__(self) -> None:
        """Validate the settings. Raises `ValueError` with the name of the first invalid one."""
        checks = [
            ("classes", bool(self.classes)),
            ("gateway_count", self.gateway_count >= 1),
            ("max_attempts", self.max_attempts >= 1),
            ("resolution_ms", self.resolution_ms > 0),
            ("kind_cores", all(cores > 0 for cores in self.kind_cores)),
        ]
        non_negative = (
            "max_retry_after_ms",
            "drain_grace_ms",
            "cold_capacity_share",
            "slow_start_ms",
            "overload_multiple",
            "overload_window_ms",
            "unresolved_hold_ms",
            "retry_budget_free",
            "retry_budget_share",
            "retry_budget_window_ms",
            "answer_slack_ms",
        )
        checks += [(name, getattr(self, name) >= 0) for name in non_negative]
        for query_class in self.classes:
            checks += [
                ("latency_objective_ms", query_class.latency_objective_ms > 0),
                ("client_timeout_ms", query_class.client_timeout_ms > 0),
                ("priority_weight", query_class.priority_weight >= 0),
                ("threads", query_class.threads >= 1),
                ("idempotency", query_class.idempotency in tuple(Idempotency)),
                ("deduplication_scope", query_class.deduplication_scope in tuple(DeduplicationScope)),
            ]
        for name, is_valid in checks:
            if not is_valid:
                raise ValueError(f"setting {name} is unusable")
