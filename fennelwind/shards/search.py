"""The search for better places of a few shards at once, cheapest first, without I/O.

Each shard has a list of places that its copies could have, with what is then unmet and the bytes it
takes. Choices are extended shard by shard, the cheapest first by what it has cost and the least that the
rest must cost; those that overfill an engine whatever the rest does are left out. So whole choices come
out in order of their cost.
"""

import heapq
from collections.abc import Iterator
from itertools import combinations

from fennelwind.shards.constraints import span_wanted, wanted
from fennelwind.shards.model import Shard
from fennelwind.shards.target_placement import Board, Outcome, Places

STRICT = 1 << 60  # bytes that outweigh all others: nothing is left unmet to save any
Option = tuple[int, int, Places, Outcome]  # unmet, bytes, where, how


def options(board: Board, shard: Shard, engines: list[str]) -> list[Option]:
    """Return all places that a shard's copies could have on some engines, cheapest first."""
    view, name = board.view, shard.name
    good, held = view.good[name], view.holders[name] - view.replaced[name]
    some = [
        engine for engine in board.fit(shard) if engine in good or (engine in engines and engine not in held)
    ]
    found: list[Option] = []
    for count in range(min(wanted(shard), len(some)) + 1):
        for places in combinations(some, count):
            outcome = board.outcome(name, frozenset(places))
            found.append((outcome.unmet, outcome.bytes, frozenset(places), outcome))
    found.sort(
        key=lambda option: (
            option[0],
            option[1],
            sum(board.load[engine] / max(1, view.limit[engine]) for engine in option[2]),
            sorted(option[2]),
        )
    )
    best: dict[tuple, Option] = {}
    for option in found:
        best.setdefault(option[3].change, option)
    return list(best.values())


def choices(
    board: Board,
    shards: list[Shard],
    engines: list[str],
    nodes: int,
    weight: int = STRICT,
    relaxed: bool = False,
) -> Iterator[tuple[int, int, dict[str, Places]]]:
    """Yield what is unmet, the bytes and the places of some shards, cheapest first; others stay.

    At most `nodes` choices are extended. `weight`: bytes that one unmet need is worth; with less than
    `STRICT` cheap choices that leave something unmet come before dear ones that meet it.
    `relaxed`: an engine that is over may stay as full as it is.
    """
    view = board.view
    names = sorted(board.load)
    index = {name: number for number, name in enumerate(names)}
    start = [board.load[name] for name in names]
    for shard in shards:
        if shard.name in board.places:
            for engine, size in board.outcome(shard.name, board.places[shard.name]).change:
                start[index[engine]] -= size
    caps = [view.limit[name] for name in names]
    if relaxed:
        caps = [max(cap, view.used[name]) for cap, name in zip(caps, names, strict=True)]
    lists = [options(board, shard, engines) for shard in shards]
    order = sorted(range(len(shards)), key=lambda i: (-shards[i].size * wanted(shards[i]), shards[i].name))
    lists, shards = [lists[i] for i in order], [shards[i] for i in order]
    least = [[0] * len(names) for _ in range(len(shards) + 1)]  # that the rest adds to each engine at least
    rest = [0] * (len(shards) + 1)  # that the rest must cost at least
    for i in range(len(shards) - 1, -1, -1):
        vectors = [dict(option[3].change) for option in lists[i]]
        least[i] = [
            least[i + 1][n] + min(vector.get(name, 0) for vector in vectors) for n, name in enumerate(names)
        ]
        rest[i] = rest[i + 1] + min(unmet * weight + size for unmet, size, _, _ in lists[i])
    serial = 0
    heap: list[tuple[int, int, int, int, int, tuple[int, ...], tuple[Places, ...]]] = [
        (rest[0], 0, serial, 0, 0, tuple(start), ())
    ]
    while heap and nodes > 0:
        _, depth, _, unmet, cost, loads, places = heapq.heappop(heap)
        depth = -depth
        if depth == len(shards):
            yield unmet, cost, {shard.name: place for shard, place in zip(shards, places, strict=True)}
            continue
        nodes -= 1
        after = least[depth + 1]
        for more, size, place, outcome in lists[depth]:
            now = list(loads)
            for engine, change in outcome.change:
                now[index[engine]] += change
            if any(load + further > cap for load, further, cap in zip(now, after, caps, strict=True)):
                continue
            serial += 1
            lacking, paid = unmet + more, cost + size
            key = lacking * weight + paid + rest[depth + 1]
            heapq.heappush(heap, (key, -depth - 1, serial, lacking, paid, tuple(now), (*places, place)))


def neighbours(board: Board, engine: str, most: int, lacking: int) -> list[Shard]:
    """Return shards of which a copy could go from an engine: those that just free enough first."""
    shards = board.world.shards
    some = [
        shards[name]
        for name in sorted(shards)
        if engine in board.where(name) and not board.fixed(shards[name])
    ]
    some.sort(key=lambda shard: (shard.size < lacking, abs(shard.size - lacking), shard.name))
    return some[:most]


def spread(board: Board, shard: Shard, most: int) -> list[str]:
    """Return the emptiest engines for a shard, some of each zone."""
    homes, seen, found = board.world.homes, {}, []
    for engine in sorted(board.fit(shard), key=lambda name: (-board.free(name), name)):
        zone = homes[engine].zone
        if seen.setdefault(zone, 0) < max(2, most // max(1, span_wanted(shard) + 1)):
            seen[zone] += 1
            found.append(engine)
    return found[:most]
