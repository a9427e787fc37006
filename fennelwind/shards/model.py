"""Plain values that describe shards, engines and migrations.

The state machine, the planner and the migration driver share them. Sizes are in bytes. Names are unique: a
shard is named `TABLE/PARTITION` (`TABLE/` for a whole table), an engine by its address, and a migration by
the number that the replicated state gave it.
"""

from dataclasses import dataclass, field, replace

LIVES = ("ready", "cold", "draining", "gone")
# Steps go from `planned` to `done`, or by `undoing` (the partial replica is being dropped) to `undone`.
# A migration that is done or undone is no longer in a world.
STEPS = ("planned", "reserved", "copying", "checked", "switched", "dropping", "done", "undoing", "undone")
# Only a `good` replica may be read. A `coming` one is being copied, a `leaving` one waits for its drop, and a
# `doubtful` one is what an engine that was away may still hold.
COPY_STATES = ("coming", "good", "leaving", "doubtful")


@dataclass(slots=True, frozen=True)
class Shard:
    """A partition of a table, or a whole table."""

    name: str
    table: str
    size: int
    copies: int = 1  # replication factor
    zones: int = 1  # minimum number of zones that the replicas span
    kinds: tuple[str, ...] = ()  # engine kinds allowed; all if empty
    # access load: queries that name the shard, or a declared figure; any unit, the same for all shards
    heat: float = 0.0
    rows: int = -1  # rows in a good replica, as agreed by the last check; -1 if not checked yet
    checksum: int = 0  # checksum agreed by the last check


@dataclass(slots=True, frozen=True)
class ReplicaHost:
    """An engine as a host of replicas."""

    name: str
    zone: str
    kind: str
    disk: int
    headroom: int  # bytes that have to stay free at all times
    life: str = "ready"
    generation: int = 0  # incremented when the engine returns with another disk
    mark: str = ""  # identifies the disk: written on it when the engine was first seen
    spilled: int = 0  # bytes on its disk that are not replicas; expected to fit in the headroom


@dataclass(slots=True, frozen=True)
class Replica:
    """A replica of a shard on an engine."""

    shard: str
    engine: str
    state: str = "good"
    wrong: bool = False  # if doubtful: a check found different content; if leaving: it was not good before


@dataclass(slots=True, frozen=True)
class Migration:
    """A replica to create and the one that it replaces, if any; without a target, a replica to drop."""

    number: int
    shard: str
    source: str  # engine with a good replica to read from
    target: str
    drops: str = ""  # engine whose replica is dropped after the switch; "" if none is
    step: str = "planned"
    after: tuple[int, ...] = ()  # migrations that have to end first, since this one needs the space they free
    cleared: tuple[tuple[str, str], ...] = ()  # replicas (shard, engine) that have to be off the disk first
    attempt: int = 0  # number of copy attempts begun
    generation: int = 0  # the target's generation when its space was reserved
    at_ms: int = 0  # clock of the replicated state when the migration took its current step
    rested: bool = False  # it has been switched for so long that no query is still sent by an older view


@dataclass(slots=True, frozen=True)
class Bounds:
    """Limits on concurrent migrations, and tolerances for balance."""

    streams_per_engine: int = 2  # copies that one engine reads or writes at once
    streams_per_link: int = 4  # copies between two zones at once
    bytes_per_hour: float = float("inf")  # over the whole fleet
    disk_tolerance: float = 0.1  # largest deviation of an engine's used share of its disk from the mean
    # largest deviation of an engine's access load from the mean, as a part of the mean
    heat_tolerance: float = 0.25
    min_gain: float = 0.05  # part of an engine's deviation that a migration for balance has to remove


@dataclass(slots=True)
class World:
    """Shards, engines, replicas and migrations by name, and what restricts the planner."""

    shards: dict[str, Shard] = field(default_factory=dict)
    homes: dict[str, ReplicaHost] = field(default_factory=dict)
    copies: dict[tuple[str, str], Replica] = field(default_factory=dict)  # by shard and engine
    moves: dict[int, Migration] = field(default_factory=dict)
    frozen: frozenset[str] = frozenset()  # tables under schema change: none of their shards is migrated
    aside: frozenset[str] = frozenset()  # shards whose last migration failed: suspended for some time
    # load of one query if load was counted, and is thus subject to chance; 0 if load was declared
    heat_unit: float = 0.0
    # access load by shard, in place of the declared one
    counted: dict[str, float] = field(default_factory=dict)

    def with_counted_load(self) -> "World":
        """Return the world with the counted access load of its shards, if any was counted."""
        if not self.counted:
            return self
        shards = {name: replace(s, heat=self.counted.get(name, 0.0)) for name, s in self.shards.items()}
        return replace(self, shards=shards, counted={})


@dataclass(slots=True, frozen=True)
class UnmetNeed:
    """A need that can't be met, and why."""

    shard: str
    reason: str  # "space", "zones", "kinds", "source", "frozen", "aside"
    engines: tuple[str, ...] = ()  # engines that were considered
    bytes_short: int = 0


@dataclass(slots=True, frozen=True)
class MigrationPlan:
    """The planner's result: migrations in an order in which they may begin, and unmet needs."""

    moves: tuple[Migration, ...] = ()
    drops: tuple[tuple[str, str], ...] = ()  # surplus replicas (shard, engine)
    cancels: tuple[int, ...] = ()  # running migrations that are no longer valid
    short: tuple[UnmetNeed, ...] = ()
    bytes: int = 0  # total that the migrations transfer
    reasons: tuple[str, ...] = ()  # for each of the cancels: "target", "kinds", "source", "frozen", ..
    keeps: tuple[int, ...] = ()  # migrations that continue without their drop: the old replica stays good
