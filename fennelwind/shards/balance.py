"""Evenness of disk and heat, where it is out of tolerance and a move takes away enough of it, without I/O."""

import math

from fennelwind.shards.constraints import heats, mean, span_wanted, takes, wanted
from fennelwind.shards.model import Bounds, Migration, Shard
from fennelwind.shards.target_placement import Board
from fennelwind.shards.transfer_order import Sequence, Transfer

MOVES_MOST = 64  # that one plan makes for evenness alone; the next one goes on
STILL = 0.5  # part of a tolerance below which a planned move for evenness is no longer worth it
CHANCE_DEVIATIONS = (
    4.0  # standard deviations that heat which was counted may be off by chance: once in 30,000 looks
)
LOOKED_AT = 40  # shards of the engine that stands out, those with the most gain for their bytes


class _Scale:
    """What stands out of the mean, of disk and of heat, as the engines will be."""

    def __init__(self, board: Board, sequence: Sequence, bounds: Bounds) -> None:
        self.board, self.sequence, self.bounds, self.view = board, sequence, bounds, board.view
        places = {name: set(have) for name, have in sequence.have.items()}
        self.places = {name: places.get(name, engines) for name, engines in self.view.good.items()}
        heat = heats(self.view, self.places)
        self.heat = heat
        self.lying: dict[str, set[str]] = {engine: set() for engine in heat}  # shards by engine
        for name, engines in self.places.items():
            for engine in engines:
                self.lying[engine].add(name)
        self.heat_mean = mean(heat, self.view)
        self.disk_mean = 0.0
        self.anew()

    def anew(self) -> None:
        """Count the mean of the disks again, which a move between engines of two sizes changes."""
        self.disk_mean = mean({engine: self.share(engine) for engine in self.heat}, self.view)

    def share(self, engine: str, more: int = 0) -> float:
        """Return the part of an engine's disk that is used, with some bytes more."""
        limit = self.view.limit[engine]
        return (limit - self.sequence.free_at_end(engine) + more) / limit if limit > 0 else 1.0

    def out(self, engine: str, size: int = 0, heat: float = 0.0) -> tuple[float, float]:
        """Return how far an engine is above the mean in disk and heat, in tolerances."""
        disk = (self.share(engine, size) - self.disk_mean) / max(self.bounds.disk_tolerance, 1e-9)
        warm = (self.heat[engine] + heat - self.heat_mean) / max(
            self.bounds.heat_tolerance * self.heat_mean + self.chance(engine), 1e-9
        )
        return disk, warm

    def chance(self, engine: str) -> float:
        """Return how far an engine's heat may lie off by chance alone.

        A count that fades has half the variance of its mean, in queries; of shards with several copies less.
        """
        unit = self.view.world.heat_unit
        return CHANCE_DEVIATIONS * math.sqrt(unit * max(self.heat[engine], self.heat_mean) / 2.0)


def still(board: Board, moves: list[Migration]) -> list[int]:
    """Return the planned moves for evenness whose engine no longer stands out."""
    view, bounds = board.view, board.bounds
    share = {name: board.load[name] / max(1, view.limit[name]) for name in board.load}
    warmth = heats(view, {name: board.where(name) for name in view.good})
    disk, heat, idle = mean(share, view), mean(warmth, view), []
    for move in moves:
        shard, name = view.world.shards[move.shard], move.drops
        over = share[name] + shard.size / max(1, view.limit[name]) - disk
        warm = warmth[name] + shard.heat / wanted(shard) - heat
        if over <= bounds.disk_tolerance * STILL and warm <= bounds.heat_tolerance * STILL * heat:
            idle.append(move.number)
    return idle


def even(board: Board, sequence: Sequence, bounds: Bounds) -> None:
    """List moves for evenness behind the others."""
    scale = _Scale(board, sequence, bounds)
    tired: set[str] = set()  # engines from which nothing can be moved as things are
    most = len(sequence.moves) + MOVES_MOST
    while len(sequence.moves) < most:
        worst = max(
            (
                engine
                for engine in sorted(scale.heat)
                if engine not in tired and board.world.homes[engine].life in ("ready", "cold")
            ),
            key=lambda engine: max(scale.out(engine)),
            default="",
        )
        if not worst or max(scale.out(worst)) <= 1.0:
            return
        if _away(scale, worst):
            tired.clear()
            scale.anew()
        else:
            tired.add(worst)


def _away(scale: _Scale, engine: str) -> bool:
    """List the move that takes the most unevenness from an engine for its bytes, if one takes enough."""
    board, view = scale.board, scale.view
    world = view.world
    disk = scale.out(engine)[0] >= scale.out(engine)[1]
    fixed = {move.shard for move in (*scale.sequence.moves, *view.kept.values())}
    some = [
        world.shards[name]
        for name in sorted(scale.lying[engine])
        if engine in view.now[name]
        and name not in fixed
        and not board.fixed(world.shards[name])
        and not view.doubtful[name]
        and takes(world.homes[engine], world.shards[name])
        and len(scale.places[name]) == len(view.now[name])
    ]
    if disk:  # the smallest that is enough, then the largest
        enough = [scale.out(engine, -shard.size)[0] <= 1.0 for shard in some]
        ranks = [shard.size if does else -shard.size for shard, does in zip(some, enough, strict=True)]
    else:  # the most heat for the bytes
        enough = [True] * len(some)
        ranks = [-shard.heat / wanted(shard) / max(1, shard.size) for shard in some]
    some = [
        shard
        for _, _, _, shard in sorted(
            (not does, rank, shard.name, shard) for does, rank, shard in zip(enough, ranks, some, strict=True)
        )
    ]
    for shard in some[:LOOKED_AT]:
        part = shard.heat / len(scale.places[shard.name])
        before, after = scale.out(engine), scale.out(engine, -shard.size, -part)
        which = 0 if disk else 1
        gain = (before[which] - max(after[which], 0.0)) / before[which]
        if gain < scale.bounds.gain_least or after[which] < -1.0:
            continue
        target = _target(scale, shard, engine, part, before[which])
        if target and scale.sequence.add(Transfer(shard.name, target, engine)):
            scale.places[shard.name] = scale.places[shard.name] - {engine} | {target}
            scale.lying[engine].discard(shard.name)
            scale.lying[target].add(shard.name)
            scale.heat[engine] -= part
            scale.heat[target] += part
            return True
    return False


def _target(scale: _Scale, shard: Shard, engine: str, part: float, worst: float) -> str:
    """Return the engine that stands out least with the copy, if it stays within tolerance."""
    board, view = scale.board, scale.view
    rest = scale.places[shard.name] - {engine}
    best, least = "", 1.0
    for target in board.fit(shard):
        if (
            target in view.holders[shard.name]
            or scale.sequence.free_at_end(target) < shard.size
            or view.span(rest | {target}) < min(span_wanted(shard), view.span(rest | {engine}))
        ):
            continue
        out = max(scale.out(target, shard.size, part))
        if out < least and out < worst:
            best, least = target, out
    return best
