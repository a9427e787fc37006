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

from fennelwind import interface as api

SLOTS_MOST = 6  # kinds are split by every set of slots, 64 ways then; a look at a class's kinds stays short

Places = Mapping[str, tuple[str, ...]]  # by shard: the engines with good copies


def widen(settings: api.Settings, slots: int) -> api.Settings:
    """Return a controller's settings with its classes and kinds split by slots; 0: as they are."""
    if not slots:
        return settings
    parts = 2 ** min(slots, SLOTS_MOST)
    count = len(settings.kind_cores)

    def kinds(allowed: Iterable[int], slot: int) -> tuple[int, ...]:
        masks = [mask for mask in range(parts) if not slot or mask >> (slot - 1) & 1]
        return tuple(kind * parts + mask for kind in allowed for mask in masks)

    classes = [cls if cls.kinds is None else replace(cls, kinds=kinds(cls.kinds, 0))
               for cls in settings.classes]
    for slot in range(1, min(slots, SLOTS_MOST) + 1):
        classes += [replace(cls, kinds=kinds(range(count) if cls.kinds is None else cls.kinds, slot))
                    for cls in settings.classes]
    return replace(
        settings, classes=tuple(classes),
        kind_cores=tuple(c for c in settings.kind_cores for _ in range(parts)),
        kind_memory_mb=tuple(m for m in settings.kind_memory_mb for _ in range(parts)))


class _Slot:
    __slots__ = ("shards", "engines", "open", "used")

    def __init__(self) -> None:
        self.shards: tuple[str, ...] = ()
        self.engines: frozenset[str] = frozenset()
        self.open = self.used = 0


class Routing:
    """One controller's part: which slot a query needs, and what the module is told of engines."""

    def __init__(self, settings: api.Settings, slots: int) -> None:
        self.classes = len(settings.classes)
        self.slots = [_Slot() for _ in range(min(slots, SLOTS_MOST))]
        self.entries: dict[str, api.EngineEntry] = {}  # as discovery told them
        self.places: Places = {}
        self.overflows = 0  # queries for which no slot was left
        self._of_query: dict[int, tuple[_Slot | None, tuple[str, ...]]] = {}
        self._uses = 0

    def seen(self, places: Places) -> list[api.EngineList]:
        """Take a newer view of the record; return what the module is to be told."""
        before = self._masks()
        self.places = places
        for slot in self.slots:
            slot.engines = self.holders(slot.shards) or frozenset()
        return self._told(before)

    def listed(self, event: api.EngineList) -> api.EngineList:
        """Return a list of engines as the module is to be told it."""
        if not self.slots:
            return event
        if event.form != "failed":
            if event.form != "delta":
                self.entries = {}
            self.entries.update((entry.engine, entry) for entry in event.engines)
        return replace(event, engines=tuple(self._split(entry) for entry in event.engines))

    def holders(self, shards: Iterable[str]) -> frozenset[str] | None:
        """Return the engines with good copies of all these shards; None: the record knows none of them."""
        known = [frozenset(self.places[shard]) for shard in shards if shard in self.places]
        return frozenset.intersection(*known) if known else None

    def arrives(self, query: int, cls: int, shards: Iterable[str]) -> tuple[int, list[api.EngineList]]:
        """Return the class by which a query is handed to the module, and what it is told ahead of it."""
        named = tuple(sorted(shard for shard in set(shards) if shard in self.places))
        if not self.slots or not named:
            return cls, []
        self._uses += 1
        slot = next((s for s in self.slots if s.shards == named), None)
        told: list[api.EngineList] = []
        if slot is None:
            slot = min((s for s in self.slots if not s.open), key=lambda s: s.used, default=None)
            if slot is not None:
                before = self._masks()
                slot.shards, slot.engines = named, self.holders(named) or frozenset()
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
        return holders is None or engine in holders

    def missed(self, query: int, engine: str) -> list[api.EngineList] | None:
        """Take an engine's word that it has not what a query reads; return what the module is to be told.

        The engine knows better than the view, until that is told anew. None: the view does not say otherwise,
        or nobody else has it; then the engine's word is the query's answer.
        """
        _, shards = self._of_query.get(query, (None, ()))
        left = {shard: tuple(name for name in self.places[shard] if name != engine)
                for shard in shards if engine in self.places.get(shard, ())}
        if not left or not all(left.values()):
            return None
        return self.seen({**self.places, **left})

    def ended(self, query: int) -> None:
        """Forget a query that has its answer."""
        slot, _ = self._of_query.pop(query, (None, ()))
        if slot is not None:
            slot.open -= 1

    def _masks(self) -> dict[str, int]:
        masks: dict[str, int] = {}
        for bit, slot in enumerate(self.slots):
            for engine in slot.engines:
                masks[engine] = masks.get(engine, 0) | 1 << bit
        return masks

    def _split(self, entry: api.EngineEntry) -> api.EngineEntry:
        mask = sum(1 << bit for bit, slot in enumerate(self.slots) if entry.engine in slot.engines)
        return replace(entry, kind=entry.kind * 2 ** len(self.slots) + mask)

    def _told(self, before: dict[str, int]) -> list[api.EngineList]:
        after = self._masks()
        changed = [name for name in sorted({*before, *after}) if before.get(name) != after.get(name)]
        entries = tuple(self._split(self.entries[name]) for name in changed if name in self.entries)
        return [api.EngineList("delta", entries)] if entries else []
