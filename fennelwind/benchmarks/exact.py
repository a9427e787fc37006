"""Yardsticks for plans: the fewest bytes by an exact solver, and by a search over all orders; lower bounds.

Only measurements and tests use this; nothing else loads the solver (HiGHS). All of it begins where the
moves that a plan lets go on have ended and those that it cancels are undone.

- `assigned`: the places of all copies with, first, the least unmet (copies, zones, engines over their
headroom) and then the fewest bytes, each engine within its headroom in the end. What happens on the way
is left out, so it is a lower bound of what a plan takes, and mostly the optimum. Mixed-integer program,
gap 0. - `ordered`: the fewest bytes of any sequence of copies in and drops that keeps headroom, good
copies and zones at each step: the true optimum, by a search (A*) over all states. For tiny worlds. -
`bound`: for large worlds: what each shard must be given, and what must leave engines that are over.
"""

import heapq
from dataclasses import dataclass
from itertools import combinations

import highspy

from fennelwind.shards.model import MigrationPlan, Shard, World
from fennelwind.shards.plan_checker import finished

STATES_MOST = 200_000  # that `ordered` looks at, some 20 s


@dataclass(slots=True, frozen=True)
class Optimum:
    """What is unmet at least, and the fewest bytes with that."""

    unmet: int
    bytes: int


def settled(world: World, planned: MigrationPlan) -> World:
    """Return the world when the moves that a plan lets go on have ended, and the others are undone."""
    return finished(world, MigrationPlan(cancels=planned.cancels, keeps=planned.keeps))


def unmet(world: World) -> int:
    """Return the copies and zones that shards lack that may be moved, and the engines that are over."""
    lacking = 0
    good = _good(world)
    for name, shard in world.shards.items():
        if _fixed(world, shard, good):
            continue
        fit = [engine for engine in good[name] if _takes(world, engine, shard)]
        lacking += max(0, max(1, shard.copies) - len(fit))
        lacking += max(0, _zones(shard) - len({world.homes[engine].zone for engine in fit}))
    return lacking + sum(1 for engine in _living(world) if held(world, engine) > limit(world, engine))


def _living(world: World) -> list[str]:
    return [name for name, home in sorted(world.homes.items()) if home.life != "gone"]


def limit(world: World, engine: str) -> int:
    """Return the bytes that copies may take on an engine."""
    return world.homes[engine].disk - world.homes[engine].headroom


def held(world: World, engine: str) -> int:
    """Return the bytes that copies take on an engine, whatever their state."""
    return sum(
        world.shards[shard].size for shard, where in world.copies if where == engine and shard in world.shards
    )


def _takes(world: World, engine: str, shard: Shard) -> bool:
    home = world.homes[engine]
    return home.life in ("ready", "cold") and (not shard.kinds or home.kind in shard.kinds)


def _zones(shard: Shard) -> int:
    return max(1, min(shard.zones, max(1, shard.copies)))


def _good(world: World) -> dict[str, set[str]]:
    good: dict[str, set[str]] = {name: set() for name in world.shards}
    for (shard, engine), copy in world.copies.items():
        if copy.state == "good" and shard in good and world.homes[engine].life != "gone":
            good[shard].add(engine)
    return good


def _fixed(world: World, shard: Shard, good: dict[str, set[str]]) -> bool:
    return shard.table in world.frozen or shard.name in world.aside or not good[shard.name]


def assigned(world: World) -> Optimum:
    """Return the optimum of the places in the end, of a world without moves."""
    good, engines = _good(world), _living(world)
    solver = highspy.Highs()
    solver.setOptionValue("output_flag", False)
    solver.setOptionValue("threads", 1)
    solver.setOptionValue("mip_rel_gap", 0.0)
    unit = max([shard.size for shard in world.shards.values()], default=1)
    weight = 1.0 + sum(shard.size * max(1, shard.copies) for shard in world.shards.values()) / unit
    fixed = dict.fromkeys(engines, 0)
    placed: dict[str, list] = {engine: [] for engine in engines}
    costs, lacks, chosen = [], [], []
    for name, shard in sorted(world.shards.items()):
        if _fixed(world, shard, good):
            for engine in engines:
                if (name, engine) in world.copies:
                    fixed[engine] += shard.size
            continue
        here = {engine: solver.addBinary() for engine in engines if _takes(world, engine, shard)}
        lack = solver.addVariable(lb=0.0, ub=max(1, shard.copies))
        solver.addConstr(sum(here.values()) + lack == max(1, shard.copies))
        apart = solver.addVariable(lb=0.0, ub=_zones(shard))
        zones = []
        for zone in sorted({world.homes[engine].zone for engine in here}):
            seen = solver.addVariable(lb=0.0, ub=1.0)
            solver.addConstr(seen <= sum(v for engine, v in here.items() if world.homes[engine].zone == zone))
            zones.append(seen)
        solver.addConstr(sum(zones) + apart >= _zones(shard))
        lacks += [lack, apart]
        for engine, variable in here.items():
            placed[engine].append((shard.size, variable))
            if engine not in good[name]:
                costs.append((shard.size, variable))
            chosen.append((shard, engine, variable))
        for engine in sorted(good[name] - set(here)):  # a copy that has to go takes space only if it can't
            fixed[engine] += 0
    for engine in engines:
        most, load = limit(world, engine), sum(size / unit * v for size, v in placed[engine])
        if not placed[engine]:
            continue
        if held(world, engine) > most:  # over from the start: may stay so, as full as it is at most
            over = solver.addBinary()
            lacks.append(over)
            solver.addConstr(
                load <= (most - fixed[engine]) / unit + (held(world, engine) - most) / unit * over
            )
        else:
            solver.addConstr(load <= (most - fixed[engine]) / unit)
    if not chosen:
        return Optimum(unmet(world), 0)
    solver.minimize(sum(weight * lack for lack in lacks) + sum(size / unit * v for size, v in costs))
    values = {id(v): solver.val(v) for _, _, v in chosen}
    taken = sum(
        shard.size for shard, engine, v in chosen if values[id(v)] > 0.5 and engine not in good[shard.name]
    )
    return Optimum(
        round(sum(solver.val(lack) for lack in lacks)) + _stuck(world, engines, fixed, placed), taken
    )


def _stuck(world: World, engines: list[str], fixed: dict[str, int], placed: dict[str, list]) -> int:
    """Return the engines that are over with what may not be moved from them alone."""
    return sum(1 for engine in engines if not placed[engine] and fixed[engine] > limit(world, engine))


def ordered(world: World, least: int, most: int) -> Optimum | None:
    """Return the optimum over all orders, of a world without moves; none where the search grew too large.

    `least`: what is unmet whatever the order, from `assigned`; no more than `most` is looked for.
    """
    search = _Search(world)
    for allowed in range(least, most + 1):
        found = search.run(allowed)
        if found is None:
            return None
        if found >= 0:
            return Optimum(allowed, found)
    return None


class _Search:
    """States are the good copies of each movable shard and its other copies, as bits by engine."""

    def __init__(self, world: World) -> None:
        self.world, self.engines, good = world, _living(world), _good(world)
        self.bit = {engine: 1 << number for number, engine in enumerate(self.engines)}
        self.shards = [
            shard for name, shard in sorted(world.shards.items()) if not _fixed(world, shard, good)
        ]
        self.limits = [limit(world, engine) for engine in self.engines]
        self.fixed = [0] * len(self.engines)
        movable = {shard.name for shard in self.shards}
        self.start: list[int] = []
        self.other: list[int] = []
        self.doubtful: list[int] = []
        for (shard, engine), _ in world.copies.items():
            if engine in self.bit and shard in world.shards and shard not in movable:
                self.fixed[self.engines.index(engine)] += world.shards[shard].size
        for shard in self.shards:
            self.start.append(sum(self.bit[engine] for engine in good[shard.name]))
            self.other.append(
                sum(
                    self.bit[engine]
                    for (name, engine) in world.copies
                    if name == shard.name and engine in self.bit and engine not in good[name]
                )
            )
            self.doubtful.append(
                sum(
                    self.bit[engine]
                    for engine in self.engines
                    if (shard.name, engine) in world.copies
                    and world.copies[shard.name, engine].state == "doubtful"
                )
            )
        self.fits = [
            sum(self.bit[e] for e in self.engines if _takes(world, e, shard)) for shard in self.shards
        ]
        self.goals = [self._goals(shard, fit) for shard, fit in zip(self.shards, self.fits, strict=True)]
        self.away: list[dict[int, int]] = [{} for _ in self.shards]
        self.lacks: dict[tuple[int, int], int] = {}
        self.least = sum(self._unmet_goal(i) for i in range(len(self.shards)))  # whatever the space

    def _zone_count(self, mask: int) -> int:
        return len({self.world.homes[engine].zone for engine in self.engines if mask & self.bit[engine]})

    def _goals(self, shard: Shard, fit: int) -> set[int]:
        """Return the places that meet a shard's needs as far as any places could."""
        engines = [engine for engine in self.engines if fit & self.bit[engine]]
        count = min(max(1, shard.copies), len(engines))
        masks = [sum(self.bit[engine] for engine in some) for some in combinations(engines, count)]
        most = max((min(self._zone_count(mask), _zones(shard)) for mask in masks), default=0)
        return {mask for mask in masks if min(self._zone_count(mask), _zones(shard)) == most}

    def _unmet_goal(self, i: int) -> int:
        goal = max(self.goals[i])
        return max(0, max(1, self.shards[i].copies) - goal.bit_count()) + max(
            0, _zones(self.shards[i]) - self._zone_count(goal)
        )

    def _missing(self, i: int, mask: int) -> int:
        if mask not in self.away[i]:
            self.away[i][mask] = self.shards[i].size * min(
                (goal & ~mask).bit_count() for goal in self.goals[i]
            )
        return self.away[i][mask]

    def _may_drop(self, i: int, mask: int, bit: int) -> bool:
        shard, rest = self.shards[i], mask & ~bit
        least = min(max(1, shard.copies), self.start[i].bit_count())
        if rest.bit_count() < max(1, least):
            return False
        goal = max((self._zone_count(g) for g in self.goals[i]), default=1)
        return self._zone_count(rest) >= min(_zones(shard), self._zone_count(self.start[i]), goal)

    def _enough(self, i: int, mask: int) -> bool:
        """Return whether a doubtful copy may go: what is wanted is there without it."""
        fit = mask & self.fits[i]
        return fit.bit_count() >= max(1, self.shards[i].copies) and self._zone_count(fit) >= _zones(
            self.shards[i]
        )

    def run(self, allowed: int) -> int | None:
        """Return the fewest bytes of a way to a state with so much unmet at most; -1: there is none."""
        start = (tuple(self.start), tuple(self.other))
        spared = (allowed - self.least) * max([shard.size for shard in self.shards], default=0)
        first = sum(self._missing(i, mask) for i, mask in enumerate(self.start))
        heap, best, serial = [(max(0, first - spared), 0, 0, 0, start)], {start: 0}, 0
        while heap:
            _, _, _, cost, state = heapq.heappop(heap)
            if cost > best[state]:
                continue
            if len(best) > STATES_MOST:
                return None
            masks, others = state
            loads = list(self.fixed)
            for i, shard in enumerate(self.shards):
                for n in range(len(self.engines)):
                    if (masks[i] | others[i]) >> n & 1:
                        loads[n] += shard.size
            if self._unmet(masks, loads) <= allowed:
                return cost
            for extra, after in self._steps(masks, others, loads):
                paid = cost + extra
                if paid < best.get(after, paid + 1):
                    best[after] = paid
                    serial += 1
                    rest = sum(self._missing(i, mask) for i, mask in enumerate(after[0]))
                    heapq.heappush(heap, (paid + max(0, rest - spared), rest, -serial, paid, after))
        return -1

    def _unmet(self, masks: tuple[int, ...], loads: list[int]) -> int:
        """Return what is unmet; a copy where none may be counts neither for nor against."""
        lacking = sum(load > limit for load, limit in zip(loads, self.limits, strict=True))
        for i, mask in enumerate(masks):
            if (i, mask) not in self.lacks:
                fit = mask & self.fits[i]
                self.lacks[i, mask] = max(0, max(1, self.shards[i].copies) - fit.bit_count()) + max(
                    0, _zones(self.shards[i]) - self._zone_count(fit)
                )
            lacking += self.lacks[i, mask]
        return lacking

    def _steps(self, masks: tuple[int, ...], others: tuple[int, ...], loads: list[int]):
        """Yield each copy that may come in or go, with its bytes."""
        for i, shard in enumerate(self.shards):
            for n in range(len(self.engines)):
                bit = 1 << n
                if others[i] & bit and masks[i] and self.fits[i] & bit and loads[n] <= self.limits[n]:
                    yield (
                        shard.size,
                        (
                            (*masks[:i], masks[i] | bit, *masks[i + 1 :]),
                            (*others[:i], others[i] & ~bit, *others[i + 1 :]),
                        ),
                    )
                if others[i] & bit and (not self.doubtful[i] & bit or self._enough(i, masks[i])):
                    yield 0, (masks, (*others[:i], others[i] & ~bit, *others[i + 1 :]))
                elif masks[i] & bit:
                    if self._may_drop(i, masks[i], bit):
                        yield 0, ((*masks[:i], masks[i] & ~bit, *masks[i + 1 :]), others)
                elif not others[i] & bit and self.fits[i] & bit and loads[n] + shard.size <= self.limits[n]:
                    yield shard.size, ((*masks[:i], masks[i] | bit, *masks[i + 1 :]), others)


def bound(world: World) -> int:
    """Return bytes below which no plan that meets what can be met can be, of a world without moves.

    What each shard lacks of good copies that may stay, whatever the space; and what an engine that is over
    has to give away beyond the copies that may not stay there or are too many.
    """
    good, total, zones = _good(world), 0, {}
    moving: dict[str, int] = dict.fromkeys(_living(world), 0)
    for name, shard in sorted(world.shards.items()):
        if _fixed(world, shard, good):
            continue
        if shard.kinds not in zones:
            fit = [engine for engine in moving if _takes(world, engine, shard)]
            zones[shard.kinds] = (len(fit), len({world.homes[engine].zone for engine in fit}))
        staying = [engine for engine in good[name] if _takes(world, engine, shard)]
        count = min(max(1, shard.copies), zones[shard.kinds][0])
        spans = len({world.homes[engine].zone for engine in staying})
        apart = max(0, min(_zones(shard), zones[shard.kinds][1], count) - spans)
        total += shard.size * (count - min(len(staying), count - apart))
        if len(staying) < len(good[name]) or len(staying) > count - apart:
            for engine in good[name]:
                moving[engine] += shard.size
    loads = dict.fromkeys(moving, 0)
    for (shard, engine), copy in world.copies.items():
        if (
            engine in loads
            and shard in world.shards
            and (copy.state == "good" or _fixed(world, world.shards[shard], good))
        ):
            loads[engine] += world.shards[shard].size
    return total + sum(max(0, load - moving[engine] - limit(world, engine)) for engine, load in loads.items())


def structural(world: World) -> int:
    """Return the copies and zones that are lacking whatever the space: no engines for them."""
    good, lacking = _good(world), 0
    ways: dict[tuple[str, ...], tuple[int, int]] = {}
    for shard in world.shards.values():
        if not _fixed(world, shard, good):
            if shard.kinds not in ways:
                fit = [engine for engine in _living(world) if _takes(world, engine, shard)]
                ways[shard.kinds] = len(fit), len({world.homes[engine].zone for engine in fit})
            count, zones = ways[shard.kinds]
            lacking += max(0, max(1, shard.copies) - count) + max(0, _zones(shard) - zones)
    return lacking
