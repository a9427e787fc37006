"""What is known of shards, engines and moves: plain values, between the machine, the planner and the carrier.

Sizes are bytes. Names are unique: a shard's is `TABLE/PARTITION` (`TABLE/` for a whole table), an engine's is
its address, a move's the record's number.
"""

from dataclasses import dataclass, field, replace

LIVES = ("ready", "cold", "draining", "gone")
# From `planned` on to `done`, or by `undoing` (a half copy is being dropped) to `undone`. What is done or
# undone is no longer among the moves of a world.
STEPS = ("planned", "reserved", "copying", "checked", "switched", "dropping", "done", "undoing", "undone")
# A copy that is not `good` may not be read: it is coming in, or what an engine that was away still holds.
COPY_STATES = ("coming", "good", "leaving", "doubtful")


@dataclass(slots=True, frozen=True)
class Shard:
    """A partition of a table, or a whole one."""

    name: str
    table: str
    size: int
    copies: int = 1  # wanted
    zones: int = 1  # that the copies have to span at least
    kinds: tuple[str, ...] = ()  # engine kinds allowed; none: all
    heat: float = 0.0  # queries that name it, or what was declared; any unit, the same for all
    rows: int = -1  # what its good copies hold, as last agreed by a check; -1: none was made yet
    checksum: int = 0  # of the same check


@dataclass(slots=True, frozen=True)
class ReplicaHost:
    """An engine as a place for copies."""

    name: str
    zone: str
    kind: str
    disk: int
    headroom: int  # that has to stay free at every moment
    life: str = "ready"
    generation: int = 0  # counts up when it comes back empty, or under the same name as another
    mark: str = ""  # written on its disk when it was first met; another one is another generation
    spilled: int = 0  # bytes on its disk that are no copies; up to the headroom they are expected


@dataclass(slots=True, frozen=True)
class Replica:
    """A copy of a shard on an engine."""

    shard: str
    engine: str
    state: str = "good"
    wrong: bool = False  # a check found that a doubtful one differs; one that leaves was not known to be good


@dataclass(slots=True, frozen=True)
class Migration:
    """A copy that comes in, and the one that goes for it, if any; without a target only one goes."""

    number: int
    shard: str
    source: str  # engine with a good copy to read from
    target: str
    drops: str = ""  # engine whose copy goes when this one has been switched to; "": none does
    step: str = "planned"
    after: tuple[int, ...] = ()  # moves that have to be done before it begins: it waits for their space
    cleared: tuple[tuple[str, str], ...] = ()  # copies (shard, engine) that have to be off the disk before
    attempt: int = 0  # how often its copying was begun
    generation: int = 0  # the target's, when its space was reserved
    at_ms: int = 0  # the record's clock when its step was taken
    rested: bool = False  # switched for so long that nobody sends queries by an older view


@dataclass(slots=True, frozen=True)
class Bounds:
    """What moves may take at a time."""

    streams_per_engine: int = 2  # copies that one engine reads or writes at once
    streams_per_link: int = 4  # between two zones at once
    bytes_per_hour: float = float("inf")  # over the fleet
    disk_tolerance: float = 0.1  # how far an engine's used share may lie from the mean
    heat_tolerance: float = 0.25  # the same of its part of the heat, of the mean
    gain_least: float = 0.05  # part of its unevenness that a move for evenness has to take away


@dataclass(slots=True)
class World:
    """All of it, by name."""

    shards: dict[str, Shard] = field(default_factory=dict)
    homes: dict[str, ReplicaHost] = field(default_factory=dict)
    copies: dict[tuple[str, str], Replica] = field(default_factory=dict)  # by shard and engine
    moves: dict[int, Migration] = field(default_factory=dict)
    frozen: frozenset[str] = frozenset()  # tables whose schema changes: none of their shards is moved
    aside: frozenset[str] = frozenset()  # shards whose last move failed: none is begun for some time
    heat_unit: float = 0.0  # heat of a query, where it was counted and so has chance in it; 0: stated
    counted: dict[str, float] = field(default_factory=dict)  # heat by shard, in place of what was declared

    def heated(self) -> "World":
        """Return the world whose shards have the heat that was counted, if any was."""
        if not self.counted:
            return self
        shards = {name: replace(s, heat=self.counted.get(name, 0.0)) for name, s in self.shards.items()}
        return replace(self, shards=shards, counted={})


@dataclass(slots=True, frozen=True)
class Short:
    """A need that can't be met, said plainly."""

    shard: str
    reason: str  # "space", "zones", "kinds", "source", "frozen", "aside"
    engines: tuple[str, ...] = ()  # that were looked at
    bytes_short: int = 0


@dataclass(slots=True, frozen=True)
class MigrationPlan:
    """What the planner wants: moves in an order in which they may begin, and what it can't do."""

    moves: tuple[Migration, ...] = ()
    drops: tuple[tuple[str, str], ...] = ()  # copies (shard, engine) that are over what is wanted
    cancels: tuple[int, ...] = ()  # moves under way that have become wrong
    short: tuple[Short, ...] = ()
    bytes: int = 0  # that the moves transfer
    reasons: tuple[str, ...] = ()  # why, for each of the cancels: "target", "kinds", "source", "frozen", ..
    keeps: tuple[int, ...] = ()  # moves under way whose drop falls away: the copy that was to go stays good
