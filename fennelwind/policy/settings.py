"""Settings of a gateway, as the deployment states them. All times are in milliseconds.

The readers of configuration (`node/config`, `simulator_wire`, `config/`) build them once; the rules only read
them. Settings that no decision can be built on raise `ValueError`.
"""

from dataclasses import dataclass
from enum import StrEnum


class Idempotency(StrEnum):
    """Whether a query whose attempt may have run can be run again."""

    IDEMPOTENT = "safe"
    KEYED = "keyed"  # engines of its deduplication scope drop repeats with the same idempotency key
    NON_IDEMPOTENT = "unsafe"


class DeduplicationScope(StrEnum):
    """Which engines know of a keyed query's earlier attempts and drop its repeats."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


@dataclass(slots=True, frozen=True)
class QueryClass:
    """One class of queries, as the deployment states it."""

    name: str
    latency_objective_ms: float  # an answer within this time earns the full weight
    client_timeout_ms: float
    priority_weight: float
    latency_objective_slowdown: float = 0.0  # the objective grows by this times work / threads
    late_weight_share: float = 0.0  # share of the weight that a late answer earns
    idempotency: Idempotency = Idempotency.IDEMPOTENT
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL  # of a keyed class
    deduplication_window_ms: float = 0.0  # keyed: for how long repeats are dropped
    is_ordered_by_key: bool = False  # queries of one key run one at a time
    zones: tuple[int, ...] | None = None  # the only zones allowed
    kinds: tuple[int, ...] | None = None  # the only machine kinds allowed
    threads: int = 1
    locks_tables: bool = False  # a load: it holds its group of tables on its engine while it runs
    waits_for_table_locks: bool = False  # it stands still while a load holds its group of tables there


@dataclass(slots=True, frozen=True)
class Tenant:
    """One tenant and its share of the service."""

    name: str
    quota_per_s: float  # across all gateways


@dataclass(slots=True, frozen=True)
class Settings:
    """What a gateway knows from its start on."""

    classes: tuple[QueryClass, ...]
    kind_cores: tuple[int, ...]
    gateway_count: int = 1
    gateway_index: int = 0
    zone: int = 0
    tenants: tuple[Tenant, ...] = ()
    over_quota_weight_share: float = 1.0  # share of the weight left beyond a tenant's quota
    kind_memory_mb: tuple[float, ...] = ()
    max_grant_share: float = 1.0
    has_memory_grants: bool = False  # engines honour a memory grant
    queues_when_short_of_memory: bool = False  # an engine short of memory queues queries; else they spill
    swaps_when_short_of_memory: bool = False  # an engine admits beyond its memory and slows down
    has_priorities: bool = False  # the priority is heeded
    progress_interval_ms: float = 0.0  # time between progress reports; 0: none
    reports_cost: bool = False  # answers tell work and memory
    report_fields: tuple[str, ...] = ()
    can_cancel: bool = False
    can_probe: bool = False
    can_message_peers: bool = False
    allows_concurrent_attempts: bool = False  # two attempts of a query may run at once
    allows_retry_after: bool = False  # a rejection may say when to retry
    max_retry_after_ms: float = 0.0
    max_attempts: int = 1
    requires_subscription: bool = False  # list changes come only when asked for
    answer_slack_ms: float = 0.0
    drain_grace_ms: float = 0.0
    cold_capacity_share: float = 1.0  # capacity share of an engine that just started
    slow_start_ms: float = 0.0  # warm after this at the latest
    overload_multiple: float = 0.0  # 0: cold engines do not fall over
    overload_window_ms: float = 0.0
    unresolved_hold_ms: float = 0.0  # hold of a key after an unknown outcome
    retry_budget_free: float = 0.0
    retry_budget_share: float = 0.0
    retry_budget_window_ms: float = 0.0  # 0: retries are not limited
    resolution_ms: float = 1.0  # minimum time between two steps

    def __post_init__(self) -> None:
        """Raise `ValueError`, which names the setting, for one that no decision can be built on."""
        checks = [
            ("classes", bool(self.classes)),
            ("gateway_count", self.gateway_count >= 1),
            ("max_attempts", self.max_attempts >= 1),
            ("resolution_ms", self.resolution_ms > 0),
            ("kind_cores", all(cores > 0 for cores in self.kind_cores)),
        ]
        not_negative = (
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
        checks += [(name, getattr(self, name) >= 0) for name in not_negative]
        for query_class in self.classes:
            checks += [
                ("latency_objective_ms", query_class.latency_objective_ms > 0),
                ("client_timeout_ms", query_class.client_timeout_ms > 0),
                ("priority_weight", query_class.priority_weight >= 0),
                ("threads", query_class.threads >= 1),
                ("idempotency", query_class.idempotency in tuple(Idempotency)),
                ("deduplication_scope", query_class.deduplication_scope in tuple(DeduplicationScope)),
            ]
        for name, is_usable in checks:
            if not is_usable:
                raise ValueError(f"setting {name} is unusable")
