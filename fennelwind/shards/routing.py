"""Queries that name tables go to engines with good copies, by what the module knows already. No I/O or clock.

The module places a query by its class's machine kinds, whenever it sends it: at once, after waiting, after a
failure. So each kind is split by which of a few slots an engine holds, and each class by the slot that its
query needs. A slot stands for the shards that some queries name; which engines hold it is told by changes of
the list of engines. Queries that name no shards keep their class; without slots all is as before.

What the slots can't hold any more is left to `may_send`, asked ahead of each attempt in any case: a copy may
have begun to leave meanwhile.
"""

from collections.abc import Iterable, Mapping
from dataclasses import replace
from typing import Protocol

from fennelwind import policy
from fennelwind.shards.access_load import AccessCounter

MAX_SLOTS = 6  # kinds are split by every set of slots, 64 ways then; a look at a class's kinds stays short

Places = Mapping[str, tuple[str, ...]]  # by shard: the engines with good copies
Quiet = Mapping[str, frozenset[str]]  # by table, in lower case: engines that get no new query of it


class AttemptTracker(Protocol):
    """Who counts the attempts that are out (`quiescence.in_flight`)."""

    def attempt_started(self, attempt: tuple[int, int], shards: Iterable[str], engine: str) -> None:
        """An attempt is about to be sent."""

    def attempt_ended(self, attempt: tuple[int, int]) -> None:
        """Nothing of it is left at its engine."""

    def attempt_abandoned(self, attempt: tuple[int, int], until: float) -> None:
        """Its engine may run it on, until then at the longest."""


def widen(settings: policy.Settings, slots: int) -> policy.Settings:
    """Return a controller's settings with its classes and kinds split by slots; 0: as they are."""
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
    __slots__ = ("shards", "engines", "open", "used")

    def __init__(self) -> None:
        self.shards: tuple[str, ...] = ()
        self.engines: frozenset[str] = frozenset()
        self.open = self.used = 0


class Routing:
    """One controller's part: which slot a query needs, and what the module is told of engines."""

    def __init__(self, settings: policy.Settings, slots: int, in_flight: AttemptTracker | None = None) -> None:
        self.classes = len(settings.classes)
        self.slots = [_Slot() for _ in range(min(slots, MAX_SLOTS))]
        self.entries: dict[str, policy.EngineEndpoint] = {}  # as discovery told them
        self.places: Places = {}
        self.quiesced: Quiet = {}
        self.in_flight = in_flight
        self.overflows = 0  # queries for which no slot was left
        self.access_counter = AccessCounter()  # how often queries named each shard that the record knows
        self._of_query: dict[int, tuple[_Slot | None, tuple[str, ...]]] = {}  # what is told of has a place
        self._named: dict[int, tuple[str, ...]] = {}  # all that a query named
        self._uses = 0

    def update_replicas(self, places: Places) -> list[policy.EngineListUpdate]:
        """Take a newer view of the record; return what the module is to be told."""
        self.places = places
        return self._turned()

    def update_quiesced(self, quiet: Quiet) -> list[policy.EngineListUpdate]:
        """Take a newer view of engines that get no query of some tables; return what the module is told."""
        if quiet == self.quiesced:
            return []
        self.quiesced = quiet
        return self._turned()

    def _turned(self) -> list[policy.EngineListUpdate]:
        before = self._masks()
        for slot in self.slots:
            slot.engines = self._allowed(slot.shards)
        return self._told(before)

    def _allowed(self, shards: tuple[str, ...]) -> frozenset[str]:
        """Return the engines for queries that name these; all, less quiet ones, where no shard is known."""
        if not shards:
            return frozenset()
        holders = self.holders(shards)
        return (frozenset(self.entries) if holders is None else holders) - self._kept_away(shards)

    def _kept_away(self, shards: Iterable[str]) -> frozenset[str]:
        """Return the engines that are quiet for a table of these shards."""
        if not self.quiesced:
            return frozenset()
        return frozenset().union(*(self.quiesced.get(s.partition("/")[0].lower(), ()) for s in shards))

    def rewrite_list(self, event: policy.EngineListUpdate) -> policy.EngineListUpdate:
        """Return a list of engines as the module is to be told it."""
        if not self.slots:
            return event
        if event.form != "failed":
            if event.form != "delta":
                self.entries = {}
            self.entries.update((entry.engine, entry) for entry in event.engines)
            for slot in self.slots:  # of tables alone, which any of them may serve
                slot.engines = self._allowed(slot.shards)
        return replace(event, engines=tuple(self._split(entry) for entry in event.engines))

    def holders(self, shards: Iterable[str]) -> frozenset[str] | None:
        """Return the engines with good copies of all these shards; None: the record knows none of them."""
        known = [frozenset(self.places[shard]) for shard in shards if shard in self.places]
        return frozenset.intersection(*known) if known else None

    def classify(
        self, query: int, cls: int, shards: Iterable[str]
    ) -> tuple[int, list[policy.EngineListUpdate]]:
        """Return the class by which a query is handed to the module, and what it is told ahead of it."""
        self.access_counter.count(shard for shard in set(shards) if shard in self.places)
        if self.in_flight is not None and shards:
            self._named[query] = tuple(shards)
        named = tuple(
            sorted(shard for shard in set(shards) if shard in self.places or self._kept_away((shard,)))
        )
        if not self.slots or not named:
            return cls, []
        self._uses += 1
        slot = next((s for s in self.slots if s.shards == named), None)
        told: list[policy.EngineListUpdate] = []
        if slot is None:
            slot = min((s for s in self.slots if not s.open), key=lambda s: s.used, default=None)
            if slot is not None:
                before = self._masks()
                slot.shards, slot.engines = named, self._allowed(named)
                told = self._told(before)
        self._of_query[query] = slot, named
        if slot is None:
            self.overflows += 1
            return cls, []
        slot.open, slot.used = slot.open + 1, self._uses
        return cls + self.classes * (1 + self.slots.index(slot)), told

    def may_send(self, query: int, engine: str) -> bool:
        """Tell whether a query may be sent to an engine now; where not, the attempt is `moot`: never sent."""
        _, shards = self._of_query.get(query, (None, ()))
        holders = self.holders(shards)
        if self.quiesced and engine in self._kept_away(self._named.get(query, shards)):
            return False
        return holders is None or engine in holders

    def replica_missing(self, query: int, engine: str) -> list[policy.EngineListUpdate] | None:
        """Take an engine's word that it has not what a query reads; return what the module is to be told.

        The engine knows better than the view, until that is told anew. None: the view does not say otherwise,
        or nobody else has it; then the engine's word is the query's answer.
        """
        _, shards = self._of_query.get(query, (None, ()))
        left = {
            shard: tuple(name for name in self.places[shard] if name != engine)
            for shard in shards
            if engine in self.places.get(shard, ())
        }
        if not left or not all(left.values()):
            return None
        return self.update_replicas({**self.places, **left})

    def attempt_started(self, query: int, number: int, engine: str) -> None:
        """An attempt that may be sent is about to be; asked for in the same turn as `may_send`."""
        if self.in_flight is not None and query in self._named:
            self.in_flight.attempt_started((query, number), self._named[query], engine)

    def attempt_ended(self, query: int, number: int, until: float = 0.0) -> None:
        """An attempt has ended; with `until`, its engine may run it on until then at the longest."""
        if self.in_flight is not None and until:
            self.in_flight.attempt_abandoned((query, number), until)
        elif self.in_flight is not None:
            self.in_flight.attempt_ended((query, number))

    def query_ended(self, query: int) -> None:
        """Forget a query that has its answer."""
        self._named.pop(query, None)
        slot, _ = self._of_query.pop(query, (None, ()))
        if slot is not None:
            slot.open -= 1

    def _masks(self) -> dict[str, int]:
        masks: dict[str, int] = {}
        for bit, slot in enumerate(self.slots):
            for engine in slot.engines:
                masks[engine] = masks.get(engine, 0) | 1 << bit
        return masks

    def _split(self, entry: policy.EngineEndpoint) -> policy.EngineEndpoint:
        mask = sum(1 << bit for bit, slot in enumerate(self.slots) if entry.engine in slot.engines)
        return replace(entry, kind=entry.kind * 2 ** len(self.slots) + mask)

    def _told(self, before: dict[str, int]) -> list[policy.EngineListUpdate]:
        after = self._masks()
        changed = [name for name in sorted({*before, *after}) if before.get(name) != after.get(name)]
        entries = tuple(self._split(self.entries[name]) for name in changed if name in self.entries)
        return [policy.EngineListUpdate("delta", entries)] if entries else []
