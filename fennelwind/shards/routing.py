"""Routes queries that name shards to engines with good replicas, through the policy module. No I/O, no clock.

Whenever the module sends a query (at once, after waiting, or after a failure), it selects engines by the
engine kinds of the query's class. So each kind is split by which of a few slots an engine belongs to, and
each class by the slot that its query needs. A slot stands for a set of shards that queries name; updates of
the endpoint list say which engines belong to it. Queries that name no shards keep their class, and without
slots nothing changes.

For queries without an available slot, only `may_send` checks the engine. It is called before each attempt of
any query, as a replica may have started to leave in the meantime.
"""

from collections.abc import Iterable, Mapping
from dataclasses import replace
from typing import Protocol

from fennelwind import policy
from fennelwind.shards.access_load import AccessCounter

# kinds are split by every set of slots, 64 ways at this maximum, so that lookups of a class's kinds stay
# short
MAX_SLOTS = 6

Places = Mapping[str, tuple[str, ...]]  # by shard: the engines with good replicas
# by table in lower case: engines that get no new queries on the table
QuiescedEngines = Mapping[str, frozenset[str]]


class AttemptTracker(Protocol):
    """Tracks attempts in flight (`quiescence.in_flight`)."""

    def attempt_started(self, attempt: tuple[int, int], shards: Iterable[str], engine: str) -> None:
        """Record an attempt that is about to be sent."""

    def attempt_ended(self, attempt: tuple[int, int]) -> None:
        """Record that an attempt no longer runs at its engine."""

    def attempt_abandoned(self, attempt: tuple[int, int], until: float) -> None:
        """Record that the engine may still run an attempt, until the time `until` at the latest."""


def widen(settings: policy.Settings, slots: int) -> policy.Settings:
    """Return a controller's settings with classes and kinds split by slots; unchanged without slots."""
    if not slots:
        return settings
    parts = 2 ** min(slots, MAX_SLOTS)
    count = len(settings.kind_cores)

    def kinds(allowed: Iterable[int], slot: int) -> tuple[int, ...]:
        masks = [mask for mask in range(parts) if not slot or mask >> (slot - 1) & 1]
        return tuple(kind * parts + mask for kind in allowed for mask in masks)

    classes = [
        cls if cls.kinds is None else replace(cls, kinds=kinds(cls.kinds, 0)) for cls in settings.classes
    ]
    for slot in range(1, min(slots, MAX_SLOTS) + 1):
        classes += [
            replace(cls, kinds=kinds(range(count) if cls.kinds is None else cls.kinds, slot))
            for cls in settings.classes
        ]
    return replace(
        settings,
        classes=tuple(classes),
        kind_cores=tuple(c for c in settings.kind_cores for _ in range(parts)),
        kind_memory_mb=tuple(m for m in settings.kind_memory_mb for _ in range(parts)),
    )


class _Slot:
    __slots__ = ("shards", "engines", "open_queries", "last_use")

    def __init__(self) -> None:
        self.shards: tuple[str, ...] = ()
        self.engines: frozenset[str] = frozenset()
        self.open_queries = self.last_use = 0


class Routing:
    """One controller's routing: which slot a query needs, and the endpoint list that the module gets."""

    def __init__(
        self, settings: policy.Settings, slots: int, in_flight: AttemptTracker | None = None
    ) -> None:
        self.classes = len(settings.classes)
        self.slots = [_Slot() for _ in range(min(slots, MAX_SLOTS))]
        self.entries: dict[str, policy.EngineEndpoint] = {}  # endpoints as discovery reported them
        self.places: Places = {}
        self.quiesced: QuiescedEngines = {}
        self.in_flight = in_flight
        self.overflows = 0  # queries for which no slot was available
        # queries by shard, for the shards that the replicated state knows
        self.access_counter = AccessCounter()
        # by query: the query's slot, and those of the query's shards that can be routed
        self._slot_of_query: dict[int, tuple[_Slot | None, tuple[str, ...]]] = {}
        self._named_by_query: dict[int, tuple[str, ...]] = {}  # all shards that a query named
        self._use_count = 0

    def update_replicas(self, places: Places) -> list[policy.EngineListUpdate]:
        """Take a newer view of the replica locations; return the updates for the module."""
        self.places = places
        return self._reassign_engines()

    def update_quiesced(self, quiesced: QuiescedEngines) -> list[policy.EngineListUpdate]:
        """Take a newer view of the engines quiesced by table; return the updates for the module."""
        if quiesced == self.quiesced:
            return []
        self.quiesced = quiesced
        return self._reassign_engines()

    def _reassign_engines(self) -> list[policy.EngineListUpdate]:
        before = self._slot_masks()
        for slot in self.slots:
            slot.engines = self._allowed(slot.shards)
        return self._changed_entries(before)

    def _allowed(self, shards: tuple[str, ...]) -> frozenset[str]:
        """Return the engines for queries naming these shards: all if none is known, except quiesced ones."""
        if not shards:
            return frozenset()
        holders = self.holders(shards)
        return (frozenset(self.entries) if holders is None else holders) - self._quiesced_engines(shards)

    def _quiesced_engines(self, shards: Iterable[str]) -> frozenset[str]:
        """Return the engines that are quiesced for a table of these shards."""
        if not self.quiesced:
            return frozenset()
        return frozenset().union(*(self.quiesced.get(s.partition("/")[0].lower(), ()) for s in shards))

    def rewrite_list(self, event: policy.EngineListUpdate) -> policy.EngineListUpdate:
        """Return an endpoint list as the module has to get it."""
        if not self.slots:
            return event
        if event.form != "failed":
            if event.form != "delta":
                self.entries = {}
            self.entries.update((entry.engine, entry) for entry in event.engines)
            # if none of a slot's shards is known, any listed engine may serve the slot
            for slot in self.slots:
                slot.engines = self._allowed(slot.shards)
        return replace(event, engines=tuple(self._with_slot_mask(entry) for entry in event.engines))

    def holders(self, shards: Iterable[str]) -> frozenset[str] | None:
        """Return the engines with good replicas of all known shards of these, or None if none is known."""
        known = [frozenset(self.places[shard]) for shard in shards if shard in self.places]
        return frozenset.intersection(*known) if known else None

    def classify(
        self, query: int, cls: int, shards: Iterable[str]
    ) -> tuple[int, list[policy.EngineListUpdate]]:
        """Return the class to submit a query under, and the updates that the module needs first."""
        self.access_counter.count(shard for shard in set(shards) if shard in self.places)
        if self.in_flight is not None and shards:
            self._named_by_query[query] = tuple(shards)
        named_shards = tuple(
            sorted(shard for shard in set(shards) if shard in self.places or self._quiesced_engines((shard,)))
        )
        if not self.slots or not named_shards:
            return cls, []
        self._use_count += 1
        slot = next((s for s in self.slots if s.shards == named_shards), None)
        updates: list[policy.EngineListUpdate] = []
        if slot is None:
            slot = min((s for s in self.slots if not s.open_queries), key=lambda s: s.last_use, default=None)
            if slot is not None:
                before = self._slot_masks()
                slot.shards, slot.engines = named_shards, self._allowed(named_shards)
                updates = self._changed_entries(before)
        self._slot_of_query[query] = slot, named_shards
        if slot is None:
            self.overflows += 1
            return cls, []
        slot.open_queries, slot.last_use = slot.open_queries + 1, self._use_count
        return cls + self.classes * (1 + self.slots.index(slot)), updates

    def may_send(self, query: int, engine: str) -> bool:
        """Return whether a query may be sent to an engine now; if not, its attempt is `moot`: never sent."""
        _, shards = self._slot_of_query.get(query, (None, ()))
        holders = self.holders(shards)
        if self.quiesced and engine in self._quiesced_engines(self._named_by_query.get(query, shards)):
            return False
        return holders is None or engine in holders

    def replica_missing(self, query: int, engine: str) -> list[policy.EngineListUpdate] | None:
        """Take an engine's report that it lacks a replica that a query reads; return updates for the module.

        The engine's report overrides the view until the next view arrives. Return None if the view agrees
        with the engine, or no other engine has the replica; then the engine's answer is the query's answer.
        """
        _, shards = self._slot_of_query.get(query, (None, ()))
        remaining = {
            shard: tuple(name for name in self.places[shard] if name != engine)
            for shard in shards
            if engine in self.places.get(shard, ())
        }
        if not remaining or not all(remaining.values()):
            return None
        return self.update_replicas({**self.places, **remaining})

    def attempt_started(self, query: int, number: int, engine: str) -> None:
        """Record an attempt about to be sent; called in the same turn of the event loop as `may_send`."""
        if self.in_flight is not None and query in self._named_by_query:
            self.in_flight.attempt_started((query, number), self._named_by_query[query], engine)

    def attempt_ended(self, query: int, number: int, until: float = 0.0) -> None:
        """Record that an attempt ended; if `until` is given, its engine may run it until that time."""
        if self.in_flight is not None and until:
            self.in_flight.attempt_abandoned((query, number), until)
        elif self.in_flight is not None:
            self.in_flight.attempt_ended((query, number))

    def query_ended(self, query: int) -> None:
        """Forget a query that has been answered."""
        self._named_by_query.pop(query, None)
        slot, _ = self._slot_of_query.pop(query, (None, ()))
        if slot is not None:
            slot.open_queries -= 1

    def _slot_masks(self) -> dict[str, int]:
        masks: dict[str, int] = {}
        for bit, slot in enumerate(self.slots):
            for engine in slot.engines:
                masks[engine] = masks.get(engine, 0) | 1 << bit
        return masks

    def _with_slot_mask(self, entry: policy.EngineEndpoint) -> policy.EngineEndpoint:
        mask = sum(1 << bit for bit, slot in enumerate(self.slots) if entry.engine in slot.engines)
        return replace(entry, kind=entry.kind * 2 ** len(self.slots) + mask)

    def _changed_entries(self, before: dict[str, int]) -> list[policy.EngineListUpdate]:
        after = self._slot_masks()
        changed = [name for name in sorted({*before, *after}) if before.get(name) != after.get(name)]
        entries = tuple(self._with_slot_mask(self.entries[name]) for name in changed if name in self.entries)
        return [policy.EngineListUpdate("delta", entries)] if entries else []
