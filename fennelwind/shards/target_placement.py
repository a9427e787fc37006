"""The final placement of each shard's replicas and the disk space that it takes. No I/O."""

from collections.abc import Iterable
from dataclasses import dataclass
from functools import cached_property
from itertools import islice

from fennelwind.shards.constraints import (
    View,
    accepts_replica,
    access_load_by_engine,
    mean_over_accepting,
    replication_factor,
    required_zones,
)
from fennelwind.shards.model import Bounds, Shard
from fennelwind.shards.transfer_order import Transfer

Places = frozenset  # the engines with a good replica in the end
RERANK_INTERVAL = 32  # engines are ranked by deviation again each time this many shards were placed
MAX_CANDIDATES = 12  # engines compared for each replica: the first suitable ones of that ranking


@dataclass(slots=True, frozen=True)
class Outcome:
    """The transfers and drops needed to have one shard's good replicas in certain places."""

    transfers: tuple[Transfer, ...]
    drops: tuple[str, ...]  # engines whose replica is dropped without a migration
    change: tuple[tuple[str, int], ...]  # bytes by engine, relative to the current replicas
    unmet: int  # missing replicas and zones
    bytes: int


class Placement:
    """The places of all shards; each change keeps the engines' loads up to date."""

    def __init__(self, view: View, bounds: Bounds) -> None:
        self.view, self.bounds = view, bounds
        self.world = view.world
        self.load = dict(view.used)  # bytes by engine in the end
        for move in view.continuing.values():
            if move.step == "planned":
                self.load[move.target] += self.world.shards[move.shard].size
            if move.drops in self.load:
                self.load[move.drops] -= view.freed_by_drop(move)
        for shard, engine in (*view.cancelled_copies, *view.orphans, *view.to_clear):
            self.load[engine] -= self.world.shards[shard].size
        self.access_load = access_load_by_engine(view, view.good_at_end)
        self.read_replicas = {
            (move.shard, move.source)
            for move in view.continuing.values()
            if move.step in ("planned", "reserved", "copying")
        }
        self.places: dict[str, Places] = {}  # final places of the shards that change
        self.outcomes: dict[tuple[str, Places], Outcome] = {}
        self._fitting_by_kinds: dict[tuple[str, ...], list[str]] = {}
        self._zones: dict[tuple[str, ...], int] = {}

    @cached_property
    def mean_access_load(self) -> float:
        """Return the mean access load of the engines that accept replicas; 1.0 if that is 0."""
        return mean_over_accepting(self.access_load, self.view) or 1.0

    def fitting_engines(self, shard: Shard) -> list[str]:
        """Return the engines that may hold the shard's replicas, regardless of space."""
        if shard.kinds not in self._fitting_by_kinds:
            self._fitting_by_kinds[shard.kinds] = [
                name for name in sorted(self.load) if accepts_replica(self.world.homes[name], shard)
            ]
            self._zones[shard.kinds] = self.view.span(set(self._fitting_by_kinds[shard.kinds]))
        return self._fitting_by_kinds[shard.kinds]

    def reachable_zones(self, shard: Shard) -> int:
        """Return how many zones the shard's replicas can span, regardless of space."""
        self.fitting_engines(shard)
        return self._zones[shard.kinds]

    def lacking(self, shard: Shard) -> int:
        """Return how many needed replicas and zones the engines can't provide, regardless of space."""
        return max(0, replication_factor(shard) - len(self.fitting_engines(shard))) + max(
            0, required_zones(shard) - self.reachable_zones(shard)
        )

    def free_at_end(self, engine: str) -> int:
        """Return the bytes that are free on an engine in the end."""
        return self.view.limit[engine] - self.load[engine]

    def free_now(self, engine: str) -> int:
        """Return the bytes that are free on an engine now; planned migrations don't change the result."""
        return self.view.limit[engine] - self.view.used[engine]

    def is_pinned(self, shard: Shard) -> bool:
        """Return whether the shard must not be changed: it is frozen, suspended, or has no good replica."""
        is_held = shard.table in self.world.frozen or shard.name in self.world.aside
        return is_held or not self.view.good_at_end[shard.name]

    def largest_kept_set(self, shard: Shard) -> set[str]:
        """Return the largest set of good replicas that may stay in place, regardless of space."""
        homes, kept, seen = self.world.homes, set(), set()
        count, zones = replication_factor(shard), required_zones(shard)
        staying = [
            engine for engine in self.view.good_at_end[shard.name] if accepts_replica(homes[engine], shard)
        ]
        ranked = sorted(staying, key=lambda engine: (-self.free_now(engine), engine))
        for engine in ranked:
            if homes[engine].zone not in seen and len(kept) < count:
                seen.add(homes[engine].zone)
                kept.add(engine)
        zones = min(zones, self.reachable_zones(shard))
        for engine in ranked:
            if engine not in kept and len(kept) < count and len(seen) + count - len(kept) - 1 >= zones:
                kept.add(engine)
        return kept

    def outcome(self, name: str, places: Places) -> Outcome:
        """Return the transfers and drops needed to have a shard's good replicas in these places."""
        key = (name, places)
        if key not in self.outcomes:
            self.outcomes[key] = self._outcome(name, places)
        return self.outcomes[key]

    def _outcome(self, name: str, places: Places) -> Outcome:
        view, shard = self.view, self.world.shards[name]
        good, zones, count = view.good_at_end[name], required_zones(shard), replication_factor(shard)
        good_before = {engine for engine in view.good_now[name] if (name, engine) not in view.to_clear}
        added, removed = sorted(places - good), sorted(good - places, key=lambda e: (self.free_now(e), e))
        doubtful = sorted(e for e in view.doubtful[name] - good if (name, e) not in view.to_clear)
        drops = [engine for engine in doubtful if engine in places]  # the shard is copied there again
        doubtful = [engine for engine in doubtful if engine not in places]
        good_after, transfers, change = set(good), [], dict.fromkeys(drops, -shard.size)
        homes = self.world.homes
        for target in added:
            zones_spanned = min(zones, view.span(good_after))
            candidates = [old for old in removed if view.span(good_after - {old} | {target}) >= zones_spanned]
            # spare replicas are dropped at once: leave as spares those whose space can be used
            has_spares = len(removed) > len(added)
            old = min(
                candidates,
                key=lambda e: (
                    has_spares and homes[e].life in ("ready", "cold"),
                    homes[e].zone != homes[target].zone,
                    removed.index(e),
                ),
                default="",
            )
            good_after.add(target)
            if old:
                good_after.discard(old)
                removed.remove(old)
            elif doubtful:
                old = doubtful.pop(0)
            transfers.append(Transfer(name, target, old))
            change[target] = change.get(target, 0) + shard.size
            if old:
                change[old] = change.get(old, 0) - shard.size
        remaining = set(good_before)
        for old in removed:
            fewer = remaining - {old}
            if (
                old in good_before
                and len(fewer & (good | places)) >= count
                and view.span(fewer) >= min(zones, view.span(remaining))
                and view.span(good_after - {old}) >= min(zones, view.span(good_after))
                and (name, old) not in self.read_replicas
            ):
                remaining, good_after = fewer, good_after - {old}
                drops.append(old)
                change[old] = change.get(old, 0) - shard.size
        if view.meets_needs(shard, remaining & places):
            drops += doubtful
            change.update((engine, change.get(engine, 0) - shard.size) for engine in doubtful)
        unmet = max(0, count - len(places)) + max(0, zones - view.span(set(places)))
        return Outcome(
            tuple(transfers), tuple(drops), tuple(sorted(change.items())), unmet, shard.size * len(transfers)
        )

    def assign(self, name: str, places: Iterable[str]) -> None:
        """Assign the final places of a shard's good replicas."""
        if name in self.places:
            for engine, size in self.outcome(name, self.places[name]).change:
                self.load[engine] -= size
        self.places[name] = frozenset(places)
        for engine, size in self.outcome(name, self.places[name]).change:
            self.load[engine] += size

    def assigned(self, name: str) -> Places:
        """Return the final places of a shard's good replicas."""
        return self.places[name] if name in self.places else frozenset(self.view.good_at_end[name])

    def needing_change(self) -> list[Shard]:
        """Return the shards whose replicas are too few, surplus, doubtful or misplaced, largest first."""
        view = self.view
        found = [
            shard
            for name, shard in sorted(self.world.shards.items())
            if not self.is_pinned(shard)
            and (
                len(view.good_at_end[name]) != replication_factor(shard)
                or view.doubtful[name]
                or not view.meets_needs(shard, view.good_at_end[name])
            )
        ]
        return sorted(found, key=lambda shard: (-shard.size, shard.name))

    def assign_greedily(self) -> None:
        """Meet each shard's needs in turn where there is space, on the engine with the least deviation."""
        homes = self.world.homes
        mean_disk_share = mean_over_accepting(
            {name: self.load[name] / max(1, self.view.limit[name]) for name in self.load}, self.view
        )
        for number, shard in enumerate(self.needing_change()):
            if number % RERANK_INTERVAL == 0:
                ranks = {
                    name: rank
                    for rank, name in enumerate(
                        sorted(
                            self.load, key=lambda name: (self._deviation(name, 0, 0.0, mean_disk_share), name)
                        )
                    )
                }
                ranked = {
                    kinds: sorted(fitting_engines, key=ranks.__getitem__)
                    for kinds, fitting_engines in self._fitting_by_kinds.items()
                }
            name, count, zones = shard.name, replication_factor(shard), required_zones(shard)
            kept = self.largest_kept_set(shard)
            self.assign(name, kept)
            doubtful, load_share = self.view.leaving_or_doubtful[name], shard.heat / count
            while len(kept) < count:
                seen = {homes[engine].zone for engine in kept}
                needs_new_zone = len(seen) + count - len(kept) - 1 < min(zones, self.reachable_zones(shard))
                candidates = list(
                    islice(
                        (
                            engine
                            for engine in ranked.get(shard.kinds) or self.fitting_engines(shard)
                            if engine not in kept
                            and not (needs_new_zone and homes[engine].zone in seen)
                            and self.free_at_end(engine)
                            >= (0 if engine in self.view.doubtful[name] else shard.size)
                            and (
                                engine not in self.view.holders[name]
                                or engine in doubtful
                                or engine in self.view.good_at_end[name]
                            )
                        ),
                        MAX_CANDIDATES,
                    )
                )
                if not candidates:
                    break
                best = min(
                    candidates,
                    key=lambda engine: (
                        engine in doubtful,
                        self._deviation(engine, shard.size, load_share, mean_disk_share),
                        engine,
                    ),
                )
                kept = kept | {best}
                self.assign(name, kept)
                self.access_load[best] += load_share

    def _deviation(self, engine: str, size: int, heat: float, share: float) -> float:
        """Return an engine's deviation from the mean with one more replica, in multiples of tolerance."""
        disk = (self.load[engine] + size) / max(1, self.view.limit[engine]) - share
        load_deviation = (self.access_load[engine] + heat) / self.mean_access_load - 1
        return max(
            disk / max(self.bounds.disk_tolerance, 0.01),
            load_deviation / max(self.bounds.heat_tolerance, 0.01),
        )
