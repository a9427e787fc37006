"""Planted defects of the planner of shard moves, that the checker of plans has to find."""

from collections.abc import Callable
from dataclasses import replace

from fennelwind.benchmarks.shard_cases import small
from fennelwind.shards.constraints import View
from fennelwind.shards.model import MigrationPlan, Replica, World
from fennelwind.shards.plan import plan
from fennelwind.shards.plan_checker import check
from fennelwind.shards.transfer_order import Sequence

Planner = Callable[[World], MigrationPlan]


def _seen(**changes: Callable[[World], object]) -> Planner:
    """Return a planner that sees a world of which something is another way."""

    def planner(world: World) -> MigrationPlan:
        seen = World(
            dict(world.shards),
            dict(world.homes),
            dict(world.copies),
            dict(world.moves),
            world.frozen,
            world.aside,
        )
        for name, makes in changes.items():
            setattr(seen, name, makes(world))
        return plan(seen, first=1 + max(world.moves, default=0))

    return planner


def _told(makes: Callable[[World, MigrationPlan], MigrationPlan]) -> Planner:
    """Return a planner whose plan is told with a change."""
    return lambda world: makes(world, plan(world))


def _broken(place: type, name: str, makes: Callable) -> Planner:
    """Return a planner of which one function is another."""

    def planner(world: World) -> MigrationPlan:
        right = getattr(place, name)
        setattr(place, name, makes(right))
        try:
            return plan(world)
        finally:
            setattr(place, name, right)

    return planner


def _each(**values: object) -> Callable[[MigrationPlan], MigrationPlan]:
    return lambda planned: replace(planned, moves=tuple(replace(move, **values) for move in planned.moves))


def _last_copy(world: World, planned: MigrationPlan) -> MigrationPlan:
    """Drop a good copy of the first shard that has only one."""
    for name in sorted(world.shards):
        good = [
            copy.engine
            for copy in world.copies.values()
            if copy.shard == name and copy.state == "good" and world.homes[copy.engine].life != "gone"
        ]
        if len(good) == 1 and world.shards[name].table not in world.frozen:
            return replace(planned, drops=(*planned.drops, (name, good[0])))
    return planned


def _one_less(world: World, planned: MigrationPlan) -> MigrationPlan:
    """Drop a copy that is wanted, as soon as the first move has been planned."""
    if not planned.moves:
        return planned
    move = planned.moves[0]
    return replace(planned, drops=tuple(sorted({*planned.drops, (move.shard, move.source)})))


def _lives(life: str, now: str) -> Callable[[World], dict]:
    return lambda world: {
        name: replace(home, life=now) if home.life == life else home for name, home in world.homes.items()
    }


def _shards(**values: object) -> Callable[[World], dict]:
    return lambda world: {name: replace(shard, **values) for name, shard in world.shards.items()}


def _without(state: str) -> Callable[[World], dict]:
    return lambda world: {pair: copy for pair, copy in world.copies.items() if copy.state != state}


DEFECTS: dict[str, Planner] = {
    "headroom without the incoming copy": _broken(
        Sequence, "free_at_end", lambda right: lambda self, engine: 1 << 60
    ),
    "the going copy's space counted free at once": _told(lambda world, planned: _each(after=())(planned)),
    "dropped copies' space counted free at once": _told(lambda world, planned: _each(cleared=())(planned)),
    "headroom left out of the disk": _seen(
        homes=lambda world: {name: replace(home, headroom=0) for name, home in world.homes.items()}
    ),
    "copies that come in not counted on the disk": _seen(copies=_without("coming"), moves=lambda world: {}),
    "copies that leave not counted on the disk": _seen(copies=_without("leaving")),
    "doubtful copies not counted on the disk": _seen(copies=_without("doubtful")),
    "doubtful counted as good": _seen(
        copies=lambda world: {
            pair: Replica(*pair) if copy.state == "doubtful" else copy for pair, copy in world.copies.items()
        }
    ),
    "coming counted as good": _broken(
        View,
        "meets_needs",
        lambda right: lambda self, shard, engines: right(self, shard, engines | self.holders[shard.name]),
    ),
    "last good copy dropped": _told(_last_copy),
    "a copy dropped before the one for it is checked": _told(_one_less),
    "frozen table moved": _seen(frozen=lambda world: frozenset()),
    "shards aside moved": _seen(aside=lambda world: frozenset()),
    "kinds ignored": _seen(shards=_shards(kinds=())),
    "zones ignored": _seen(shards=_shards(zones=1)),
    "one copy fewer than wanted": _seen(
        shards=lambda world: {
            name: replace(shard, copies=max(1, shard.copies - 1)) for name, shard in world.shards.items()
        }
    ),
    "draining engines take copies": _seen(homes=_lives("draining", "ready")),
    "gone engines counted as there": _seen(homes=_lives("gone", "ready")),
    "moves under way forgotten": _seen(moves=lambda world: {}),
    "moves that have become wrong go on": _told(
        lambda world, planned: replace(planned, cancels=(), reasons=())
    ),
    "a drop that became wrong is done": _told(lambda world, planned: replace(planned, keeps=())),
    "read from an engine without a good copy": _told(
        lambda world, planned: replace(
            planned, moves=tuple(replace(move, source=move.target) for move in planned.moves)
        )
    ),
    "short told as met": _told(lambda world, planned: replace(planned, short=())),
}


def found(planner: Planner, first: int, most: int) -> tuple[int, str] | None:
    """Return after how many worlds the checker finds a defect, and which rule; none if not within `most`."""
    for seed in range(first, first + most):
        world = small(seed)
        if findings := check(world, planner(world)):
            return seed - first + 1, findings[0].rule
    return None
