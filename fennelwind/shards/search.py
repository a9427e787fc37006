"""Best-first search for better places of a few shards together. No I/O.

Each shard has a list of options: places for its replicas with the needs that they leave unmet and the bytes
that they take. Partial assignments are extended shard by shard, the cheapest first by their cost so far plus
a lower bound for the other shards. An assignment is dropped if it overfills an engine whatever places the
other shards get. Complete assignments are therefore yielded in order of cost.
"""

import heapq
from collections.abc import Iterator
from itertools import combinations

from fennelwind.shards.constraints import replication_factor, required_zones
from fennelwind.shards.model import Shard
from fennelwind.shards.target_placement import Outcome, Placement, Places

PROHIBITIVE_WEIGHT = 1 << 60  # more than all bytes together, so that a need never stays unmet to save bytes
Option = tuple[int, int, Places, Outcome]  # unmet, bytes, places, transfers and drops


def placement_options(placement: Placement, shard: Shard, engines: list[str]) -> list[Option]:
    """Return all places that a shard's replicas could have on some engines, cheapest first."""
    view, name = placement.view, shard.name
    good, held = view.good_at_end[name], view.holders[name] - view.leaving_or_doubtful[name]
    candidates = [
        engine
        for engine in placement.fitting_engines(shard)
        if engine in good or (engine in engines and engine not in held)
    ]
    found: list[Option] = []
    for count in range(min(replication_factor(shard), len(candidates)) + 1):
        for places in combinations(candidates, count):
            outcome = placement.outcome(name, frozenset(places))
            found.append((outcome.unmet, outcome.bytes, frozenset(places), outcome))
    found.sort(
        key=lambda option: (
            option[0],
            option[1],
            sum(placement.load[engine] / max(1, view.limit[engine]) for engine in option[2]),
            sorted(option[2]),
        )
    )
    best: dict[tuple, Option] = {}
    for option in found:
        best.setdefault(option[3].change, option)
    return list(best.values())


def cheapest_assignments(
    placement: Placement,
    shards: list[Shard],
    engines: list[str],
    max_nodes: int,
    weight: int = PROHIBITIVE_WEIGHT,
    relaxed: bool = False,
) -> Iterator[tuple[int, int, dict[str, Places]]]:
    """Yield unmet needs, bytes and places of some shards, cheapest first; other shards keep their places.

    At most `max_nodes` assignments are extended. One unmet need costs as much as `weight` bytes; below
    `PROHIBITIVE_WEIGHT`, cheap assignments with unmet needs come before expensive ones that meet them.
    If `relaxed`, an engine that is over its limit may stay as full as it is.
    """
    view = placement.view
    names = sorted(placement.load)
    index = {name: number for number, name in enumerate(names)}
    start = [placement.load[name] for name in names]
    for shard in shards:
        if shard.name in placement.places:
            for engine, size in placement.outcome(shard.name, placement.places[shard.name]).change:
                start[index[engine]] -= size
    limits = [view.limit[name] for name in names]
    if relaxed:
        limits = [max(cap, view.used[name]) for cap, name in zip(limits, names, strict=True)]
    options_by_shard = [placement_options(placement, shard, engines) for shard in shards]
    order = sorted(
        range(len(shards)), key=lambda i: (-shards[i].size * replication_factor(shards[i]), shards[i].name)
    )
    options_by_shard, shards = [options_by_shard[i] for i in order], [shards[i] for i in order]
    min_added = [
        [0] * len(names) for _ in range(len(shards) + 1)
    ]  # lower bound on the bytes that the later shards add to each engine
    min_remaining_cost = [0] * (len(shards) + 1)  # lower bound on the cost of the later shards
    for i in range(len(shards) - 1, -1, -1):
        vectors = [dict(option[3].change) for option in options_by_shard[i]]
        min_added[i] = [
            min_added[i + 1][n] + min(vector.get(name, 0) for vector in vectors)
            for n, name in enumerate(names)
        ]
        min_remaining_cost[i] = min_remaining_cost[i + 1] + min(
            unmet * weight + size for unmet, size, _, _ in options_by_shard[i]
        )
    serial = 0
    heap: list[tuple[int, int, int, int, int, tuple[int, ...], tuple[Places, ...]]] = [
        (min_remaining_cost[0], 0, serial, 0, 0, tuple(start), ())
    ]
    while heap and max_nodes > 0:
        _, depth, _, unmet, cost, loads, places = heapq.heappop(heap)
        depth = -depth
        if depth == len(shards):
            yield unmet, cost, {shard.name: chosen for shard, chosen in zip(shards, places, strict=True)}
            continue
        max_nodes -= 1
        min_added_after = min_added[depth + 1]
        for extra_unmet, size, chosen, outcome in options_by_shard[depth]:
            loads_after = list(loads)
            for engine, change in outcome.change:
                loads_after[index[engine]] += change
            if any(
                load + added > cap
                for load, added, cap in zip(loads_after, min_added_after, limits, strict=True)
            ):
                continue
            serial += 1
            lacking, paid = unmet + extra_unmet, cost + size
            key = lacking * weight + paid + min_remaining_cost[depth + 1]
            heapq.heappush(
                heap, (key, -depth - 1, serial, lacking, paid, tuple(loads_after), (*places, chosen))
            )


def movable_shards(placement: Placement, engine: str, max_count: int, lacking: int) -> list[Shard]:
    """Return shards with a replica that could leave an engine; first those that free just enough bytes."""
    shards = placement.world.shards
    candidates = [
        shards[name]
        for name in sorted(shards)
        if engine in placement.assigned(name) and not placement.is_pinned(shards[name])
    ]
    candidates.sort(key=lambda shard: (shard.size < lacking, abs(shard.size - lacking), shard.name))
    return candidates[:max_count]


def candidate_engines(placement: Placement, shard: Shard, max_count: int) -> list[str]:
    """Return the emptiest engines for a shard, some of each zone."""
    homes, seen, found = placement.world.homes, {}, []
    for engine in sorted(
        placement.fitting_engines(shard), key=lambda name: (-placement.free_at_end(name), name)
    ):
        zone = homes[engine].zone
        if seen.setdefault(zone, 0) < max(2, max_count // max(1, required_zones(shard) + 1)):
            seen[zone] += 1
            found.append(engine)
    return found[:max_count]
