"""Balances disk use and access load: migrates replicas away from engines over the tolerance. No I/O."""

import math

from fennelwind.shards.constraints import (
    accepts_replica,
    access_load_by_engine,
    mean_over_accepting,
    replication_factor,
    required_zones,
)
from fennelwind.shards.model import Bounds, Migration, Shard
from fennelwind.shards.target_placement import Placement
from fennelwind.shards.transfer_order import Sequence, Transfer

MAX_BALANCE_MIGRATIONS = 64  # limit for one plan on migrations for balance; the next plan may add more
# a planned migration for balance is cancelled if the excess without it is at most this part of a tolerance
CANCEL_THRESHOLD = 0.5
# standard deviations allowed for chance in counted load: chance alone exceeds them once in 30,000 plans
CHANCE_DEVIATIONS = 4.0
# shards considered on the engine with the largest deviation: those with the most gain for their bytes
MAX_CANDIDATE_SHARDS = 40


class _Deviations:
    """Deviations of the engines from the mean disk use and access load, in the final placement."""

    def __init__(self, placement: Placement, sequence: Sequence, bounds: Bounds) -> None:
        self.placement, self.sequence, self.bounds, self.view = placement, sequence, bounds, placement.view
        places = {name: set(replicas) for name, replicas in sequence.available.items()}
        self.places = {name: places.get(name, engines) for name, engines in self.view.good_at_end.items()}
        heat = access_load_by_engine(self.view, self.places)
        self.access_load = heat
        self.shards_on: dict[str, set[str]] = {engine: set() for engine in heat}  # by engine
        for name, engines in self.places.items():
            for engine in engines:
                self.shards_on[engine].add(name)
        self.mean_access_load = mean_over_accepting(heat, self.view)
        self.disk_mean = 0.0
        self.update_disk_mean()

    def update_disk_mean(self) -> None:
        """Recompute the mean disk use, which a migration between engines of different sizes changes."""
        self.disk_mean = mean_over_accepting(
            {engine: self.disk_share(engine) for engine in self.access_load}, self.view
        )

    def disk_share(self, engine: str, more: int = 0) -> float:
        """Return the used share of an engine's disk, with `more` bytes added."""
        limit = self.view.limit[engine]
        return (limit - self.sequence.free_at_end(engine) + more) / limit if limit > 0 else 1.0

    def deviation(self, engine: str, size: int = 0, heat: float = 0.0) -> tuple[float, float]:
        """Return an engine's excess over the mean in disk use and access load, in multiples of tolerance."""
        disk = (self.disk_share(engine, size) - self.disk_mean) / max(self.bounds.disk_tolerance, 1e-9)
        load_excess = (self.access_load[engine] + heat - self.mean_access_load) / max(
            self.bounds.heat_tolerance * self.mean_access_load + self.random_deviation(engine), 1e-9
        )
        return disk, load_excess

    def random_deviation(self, engine: str) -> float:
        """Return the deviation of an engine's access load that chance alone may cause.

        The variance of a decaying count of queries is half the mean of that count. The variance is less if a
        shard has several replicas.
        """
        unit = self.view.world.heat_unit
        return CHANCE_DEVIATIONS * math.sqrt(
            unit * max(self.access_load[engine], self.mean_access_load) / 2.0
        )


def no_longer_needed(placement: Placement, moves: list[Migration]) -> list[int]:
    """Return the numbers of migrations for balance that engines no longer need to stay near the mean."""
    view, bounds = placement.view, placement.bounds
    disk_share = {name: placement.load[name] / max(1, view.limit[name]) for name in placement.load}
    loads = access_load_by_engine(view, {name: placement.assigned(name) for name in view.good_at_end})
    disk, heat, idle = mean_over_accepting(disk_share, view), mean_over_accepting(loads, view), []
    for move in moves:
        shard, name = view.world.shards[move.shard], move.drops
        disk_excess = disk_share[name] + shard.size / max(1, view.limit[name]) - disk
        load_excess = loads[name] + shard.heat / replication_factor(shard) - heat
        if (
            disk_excess <= bounds.disk_tolerance * CANCEL_THRESHOLD
            and load_excess <= bounds.heat_tolerance * CANCEL_THRESHOLD * heat
        ):
            idle.append(move.number)
    return idle


def rebalance(placement: Placement, sequence: Sequence, bounds: Bounds) -> None:
    """Append migrations for balance to the sequence."""
    deviations = _Deviations(placement, sequence, bounds)
    exhausted: set[str] = set()  # engines from which nothing can be migrated at present
    max_moves = len(sequence.moves) + MAX_BALANCE_MIGRATIONS
    while len(sequence.moves) < max_moves:
        worst = max(
            (
                engine
                for engine in sorted(deviations.access_load)
                if engine not in exhausted and placement.world.homes[engine].life in ("ready", "cold")
            ),
            key=lambda engine: max(deviations.deviation(engine)),
            default="",
        )
        if not worst or max(deviations.deviation(worst)) <= 1.0:
            return
        if _relieve_engine(deviations, worst):
            exhausted.clear()
            deviations.update_disk_mean()
        else:
            exhausted.add(worst)


def _relieve_engine(deviations: _Deviations, engine: str) -> bool:
    """Add the migration that reduces an engine's deviation most for its bytes, if one reduces it enough."""
    placement, view = deviations.placement, deviations.view
    world = view.world
    disk = deviations.deviation(engine)[0] >= deviations.deviation(engine)[1]
    migrating = {move.shard for move in (*deviations.sequence.moves, *view.continuing.values())}
    candidates = [
        world.shards[name]
        for name in sorted(deviations.shards_on[engine])
        if engine in view.good_now[name]
        and name not in migrating
        and not placement.is_pinned(world.shards[name])
        and not view.doubtful[name]
        and accepts_replica(world.homes[engine], world.shards[name])
        and len(deviations.places[name]) == len(view.good_now[name])
    ]
    if disk:  # first the shards that suffice, ascending by size; then the others, descending
        sufficient = [deviations.deviation(engine, -shard.size)[0] <= 1.0 for shard in candidates]
        ranks = [
            shard.size if is_sufficient else -shard.size
            for shard, is_sufficient in zip(candidates, sufficient, strict=True)
        ]
    else:  # the shard with the most load per byte first
        sufficient = [True] * len(candidates)
        ranks = [-shard.heat / replication_factor(shard) / max(1, shard.size) for shard in candidates]
    candidates = [
        shard
        for _, _, _, shard in sorted(
            (not is_sufficient, rank, shard.name, shard)
            for is_sufficient, rank, shard in zip(sufficient, ranks, candidates, strict=True)
        )
    ]
    for shard in candidates[:MAX_CANDIDATE_SHARDS]:
        load_share = shard.heat / len(deviations.places[shard.name])
        before, after = deviations.deviation(engine), deviations.deviation(engine, -shard.size, -load_share)
        dimension = 0 if disk else 1
        gain = (before[dimension] - max(after[dimension], 0.0)) / before[dimension]
        if gain < deviations.bounds.min_gain or after[dimension] < -1.0:
            continue
        target = _best_target(deviations, shard, engine, load_share, before[dimension])
        if target and deviations.sequence.add(Transfer(shard.name, target, engine)):
            deviations.places[shard.name] = deviations.places[shard.name] - {engine} | {target}
            deviations.shards_on[engine].discard(shard.name)
            deviations.shards_on[target].add(shard.name)
            deviations.access_load[engine] -= load_share
            deviations.access_load[target] += load_share
            return True
    return False


def _best_target(deviations: _Deviations, shard: Shard, engine: str, load_share: float, worst: float) -> str:
    """Return the engine with the least deviation after the migration, or "" if none is within tolerance."""
    placement, view = deviations.placement, deviations.view
    others = deviations.places[shard.name] - {engine}
    best, lowest = "", 1.0
    for target in placement.fitting_engines(shard):
        if (
            target in view.holders[shard.name]
            or deviations.sequence.free_at_end(target) < shard.size
            or view.span(others | {target}) < min(required_zones(shard), view.span(others | {engine}))
        ):
            continue
        deviation = max(deviations.deviation(target, shard.size, load_share))
        if deviation < lowest and deviation < worst:
            best, lowest = target, deviation
    return best
