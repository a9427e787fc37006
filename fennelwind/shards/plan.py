"""Plans shard migrations that meet the needs of all shards with few bytes transferred. No I/O.

There is no clock and no randomness: the same world gives the same plan. Running migrations continue unless
they are no longer valid; needs that can't be met are reported and all others are planned. First each shard's
needs are met greedily. Where that leaves a need unmet or an engine over its headroom, or where ordering the
transfers takes more bytes, better placements are searched for: over all shards of a small world, near the
problem in a large one. Migrations for balance are added last.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from fennelwind.shards.balance import no_longer_needed, rebalance
from fennelwind.shards.constraints import (
    View,
    accepts_replica,
    build_view,
    replication_factor,
    required_zones,
)
from fennelwind.shards.exhaustive_search import Path, PathSearch
from fennelwind.shards.model import Bounds, MigrationPlan, Shard, UnmetNeed, World
from fennelwind.shards.search import (
    PROHIBITIVE_WEIGHT,
    candidate_engines,
    cheapest_assignments,
    movable_shards,
)
from fennelwind.shards.target_placement import Placement
from fennelwind.shards.transfer_order import Sequence, Transfer, arrange

MAX_SMALL_SHARDS, MAX_SMALL_ENGINES = 14, 8  # largest small world: all its placements are searched at once
MAX_NODES = 10000  # nodes that the search of a small world expands, which takes about 0.3 s
MAX_ORDERED_PLACEMENTS = 200  # complete placements of a small world for which an order is sought
# states that one search of placement and order together expands, in some 0.5 s; a plan runs at most three
MAX_STATES = 8_000
MAX_LOCAL_NODES = 200  # nodes that one local search expands
MAX_REPAIRS = 200  # local searches in one plan; further problems are reported as unmet
LOCAL_CANDIDATES = 6  # shards and engines considered by one local search


def plan(world: World, bounds: Bounds | None = None, first: int = 1) -> MigrationPlan:
    """Return the migrations and drops that are needed, in an order in which they may begin.

    New migrations get numbers above those of the world, and at least `first`. A migration's `after` lists the
    migrations, of the world or the plan, that it waits for. Its `cleared` lists replicas that are dropped
    without a migration before it may begin.
    """
    return _Planner(world.with_counted_load(), bounds or Bounds(), first).run()


@dataclass(slots=True)
class _Attempt:
    """The result of ordering the transfers of a placement."""

    sequence: Sequence
    drops: list[tuple[str, str]]
    unordered: list[Transfer]
    unmet: int
    bytes: int


class _Planner:
    """One planning run."""

    def __init__(self, world: World, bounds: Bounds, first: int) -> None:
        self.world, self.bounds = world, bounds
        self.first = max([first, *(number + 1 for number in world.moves)])
        self.view, self.placement = self._prepare(())
        if idle := no_longer_needed(self.placement, self.view.balance_only):
            self.view, self.placement = self._prepare(idle)

    def _prepare(self, idle: Iterable[int]) -> tuple[View, Placement]:
        view = build_view(self.world, idle)
        placement = Placement(view, self.bounds)
        placement.assign_greedily()
        return view, placement

    def run(self) -> MigrationPlan:
        """Return the plan."""
        best = self._attempt()
        if best.unmet > self._min_unmet() or best.bytes > self._min_bytes():
            best = self._search(best) if self._is_small() else self._repair(best)
        rebalance(self.placement, best.sequence, self.bounds)
        moves = tuple(best.sequence.moves)
        cancels = sorted(self.view.cancels)
        return MigrationPlan(
            moves,
            tuple(sorted({*best.drops, *self.view.orphans, *self.view.to_clear})),
            tuple(cancels),
            tuple(self._unmet_needs(best)),
            sum(self.world.shards[move.shard].size for move in moves),
            tuple(self.view.cancels[number] for number in cancels),
            tuple(sorted(self.view.keeps)),
        )

    def _is_small(self) -> bool:
        return len(self.world.shards) <= MAX_SMALL_SHARDS and len(self.view.used) <= MAX_SMALL_ENGINES

    def _min_unmet(self) -> int:
        """Return the number of needs that no plan can meet, regardless of space."""
        return sum(
            self.placement.lacking(shard)
            for shard in self.world.shards.values()
            if not self.placement.is_pinned(shard)
        )

    def _min_bytes(self) -> int:
        """Return a lower bound on the bytes of any plan that meets the needs that can be met."""
        return sum(
            shard.size
            * (
                min(replication_factor(shard), len(self.placement.fitting_engines(shard)))
                - len(self.placement.largest_kept_set(shard))
            )
            for shard in self.world.shards.values()
            if not self.placement.is_pinned(shard)
        )

    def _attempt(self) -> _Attempt:
        """Order the transfers of the current placement."""
        placement, drops, transfers, unmet = self.placement, [], [], 0
        for name, places in sorted(placement.places.items()):
            outcome = placement.outcome(name, places)
            transfers += outcome.transfers
            drops += [(name, engine) for engine in outcome.drops]
            unmet += outcome.unmet
        sequence = Sequence(self.view, self.first, (*drops, *self.view.orphans, *self.view.to_clear))
        unordered = arrange(sequence, transfers)
        overfull = sum(sequence.free_at_end(engine) < 0 for engine in sequence.free_bytes)
        size = sum(self.world.shards[move.shard].size for move in sequence.moves)
        return _Attempt(sequence, drops, unordered, unmet + len(unordered) + overfull, size)

    def _search(self, best: _Attempt) -> _Attempt:
        """Search the placements of a small world, cheapest first, for one whose transfers can be ordered."""
        placement = self.placement
        shards = [shard for shard in self.world.shards.values() if not placement.is_pinned(shard)]
        chosen_places = dict(placement.places)
        found_any, lower_bound = False, (self._min_unmet(), self._min_bytes())
        largest = max((shard.size for shard in shards), default=0)
        for relaxed, weight in ((False, PROHIBITIVE_WEIGHT), (False, largest), (True, PROHIBITIVE_WEIGHT)):
            if relaxed and found_any:
                break
            ordered = 0
            for unmet, cost, places in cheapest_assignments(
                placement, shards, sorted(placement.load), MAX_NODES, weight, relaxed
            ):
                if weight == PROHIBITIVE_WEIGHT and not relaxed and not ordered and unmet == lower_bound[0]:
                    # the cheapest placement that meets all needs, regardless of order
                    lower_bound = unmet, cost
                if ordered >= MAX_ORDERED_PLACEMENTS or (
                    weight == PROHIBITIVE_WEIGHT and (unmet, cost) >= (best.unmet, best.bytes)
                ):
                    break
                ordered, found_any = ordered + 1, True
                if (unmet, cost) >= (best.unmet, best.bytes):
                    continue
                before = dict(placement.places)
                for name, where in places.items():
                    placement.assign(name, where)
                attempt = self._attempt()
                if (attempt.unmet, attempt.bytes) < (best.unmet, best.bytes):
                    best, chosen_places = attempt, dict(placement.places)
                for name, where in before.items():
                    placement.assign(name, where)
        for name, where in chosen_places.items():
            placement.assign(name, where)
        return self._search_with_order(best, lower_bound)

    def _search_with_order(self, best: _Attempt, lower_bound: tuple[int, int]) -> _Attempt:
        """Search placement and order together if the cheapest placement could not be ordered."""
        view, unordered_drops = self.view, (*self.view.orphans, *self.view.to_clear)
        if (best.unmet, best.bytes) <= lower_bound:
            return best
        path_search = PathSearch(self.placement, Sequence(view, self.first, unordered_drops))
        first_path = path_search.explore(lower_bound[0], MAX_STATES)  # seeks few unmet needs, not few bytes
        best = self._better_path(best, path_search, first_path)
        best = self._better_path(best, path_search, path_search.cheapest(best.unmet, best.bytes, MAX_STATES))
        if best.unmet > lower_bound[0]:
            best = self._better_path(
                best, path_search, path_search.cheapest(best.unmet - 1, None, MAX_STATES)
            )
        return best

    def _better_path(self, best: _Attempt, path_search: PathSearch, found: Path | None) -> _Attempt:
        """Return the path found as an attempt, with its replicas placed, if it is better; else `best`."""
        if found is None or (found.unmet, found.bytes) >= (best.unmet, best.bytes):
            return best
        drops, transfers = found.drops_and_transfers(self.view.doubtful)
        sequence = Sequence(self.view, self.first, (*drops, *self.view.orphans, *self.view.to_clear))
        if not all(sequence.add(transfer) for transfer in transfers):
            return best
        for name, where in path_search.places(found.state).items():
            self.placement.assign(name, where)
        return _Attempt(sequence, drops, [], found.unmet, found.bytes)

    def _repair(self, best: _Attempt) -> _Attempt:
        """Search near each problem of a large world."""
        placement, repairs = self.placement, 0
        overfull = [engine for engine in sorted(placement.load) if placement.free_at_end(engine) < 0]
        for engine in overfull:
            self._relieve(engine)
        for shard in placement.needing_change():
            places = placement.assigned(shard.name)
            if repairs >= MAX_REPAIRS or not placement.outcome(shard.name, places).unmet:
                continue
            if placement.outcome(shard.name, places).unmet <= placement.lacking(shard):
                continue
            repairs += 1
            engines = candidate_engines(placement, shard, LOCAL_CANDIDATES)
            nearby = {shard.name: shard}
            for engine in engines[:2]:
                for other in movable_shards(
                    placement, engine, LOCAL_CANDIDATES, shard.size - placement.free_at_end(engine)
                ):
                    nearby[other.name] = other
            self._place_locally(list(nearby.values()), engines)
        attempt = self._attempt()
        return attempt if (attempt.unmet, attempt.bytes) < (best.unmet, best.bytes) else best

    def _place_locally(self, shards: list[Shard], engines: list[str]) -> None:
        """Assign the cheapest places of a few shards."""
        placement = self.placement
        for _, _, places in cheapest_assignments(placement, shards, engines, MAX_LOCAL_NODES):
            for name, where in places.items():
                placement.assign(name, where)
            return

    def _relieve(self, engine: str) -> None:
        """Move replicas off an engine that lacks headroom: large ones first, then one that just suffices."""
        placement, shards = self.placement, self.world.shards
        candidates = [
            shard
            for shard in movable_shards(placement, engine, len(shards), 0)
            if shard.name not in placement.places and accepts_replica(self.world.homes[engine], shard)
        ]
        candidates.sort(key=lambda shard: (-shard.size, shard.name))
        while placement.free_at_end(engine) < 0 and candidates:
            lacking = -placement.free_at_end(engine)
            shard = next((candidate for candidate in candidates if candidate.size <= lacking), None)
            shard = shard or min(candidates, key=lambda candidate: (candidate.size, candidate.name))
            sufficient = [candidate for candidate in candidates if candidate.size >= lacking]
            if sufficient and sufficient[-1].size <= lacking * 1.05:
                shard = sufficient[-1]
            candidates.remove(shard)
            others = placement.assigned(shard.name) - {engine}
            zones = min(required_zones(shard), self.view.span(set(others | {engine})))
            for target in candidate_engines(placement, shard, LOCAL_CANDIDATES):
                if (
                    target not in self.view.holders[shard.name]
                    and target not in others
                    and placement.free_at_end(target) >= shard.size
                    and self.view.span(set(others | {target})) >= zones
                ):
                    placement.assign(shard.name, others | {target})
                    break

    def _unmet_needs(self, best: _Attempt) -> list[UnmetNeed]:
        """Return the needs that are not met, with reasons."""
        placement, found = self.placement, []
        blocked: dict[str, list[Transfer]] = {}
        for transfer in best.unordered:
            blocked.setdefault(transfer.shard, []).append(transfer)
        replica_engines: dict[str, list[str]] = {}
        for name, engine in sorted(self.world.copies):
            replica_engines.setdefault(name, []).append(engine)
        for name, shard in sorted(self.world.shards.items()):
            good, count, zones = self.view.good_at_end[name], replication_factor(shard), required_zones(shard)
            if placement.is_pinned(shard):
                if not good:
                    found.append(UnmetNeed(name, "source", tuple(replica_engines.get(name, ()))))
                elif len(good) < count or not self.view.meets_needs(shard, good):
                    reason = "frozen" if shard.table in self.world.frozen else "aside"
                    found.append(UnmetNeed(name, reason, tuple(sorted(good))))
                continue
            places, fit = placement.assigned(name), placement.fitting_engines(shard)
            if len(fit) < count:
                found.append(UnmetNeed(name, "kinds", tuple(fit)))
            if placement.reachable_zones(shard) < zones:
                found.append(UnmetNeed(name, "zones", tuple(fit)))
            if name in blocked or (
                name in placement.places and placement.outcome(name, places).unmet > placement.lacking(shard)
            ):
                others = [engine for engine in fit if engine not in places] or [
                    transfer.target for transfer in blocked[name]
                ]
                lacking = min(shard.size - best.sequence.free_at_end(engine) for engine in others)
                found.append(UnmetNeed(name, "space", tuple(others), max(0, lacking)))
        for engine in sorted(best.sequence.free_bytes):
            if best.sequence.free_at_end(engine) < 0:
                found.append(UnmetNeed("", "space", (engine,), -best.sequence.free_at_end(engine)))
        return found
