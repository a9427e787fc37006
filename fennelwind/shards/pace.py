"""Which planned moves may begin now, within the bounds on streams, links, bytes an hour and headroom,
without I/O.
"""

from collections import Counter

from fennelwind.shards.needs import HELD
from fennelwind.shards.state import Bounds, Move, World

STREAMING = ("reserved", "copying")  # steps that take a stream at the source and at the target


def link(world: World, move: Move) -> tuple[str, str]:
    """Return the two zones between which a move copies, in the order of their names."""
    one, other = sorted((world.homes[move.source].zone, world.homes[move.target].zone))
    return one, other


def begin(world: World, bounds: Bounds, spent: int) -> tuple[int, ...]:
    """Return the planned moves that may begin together now, the first planned first.

    `spent`: bytes that moves have begun to transfer within the last hour. A move larger than the bytes of an
    hour begins when nothing has been spent, as it never could otherwise.
    """
    engines, links, begun = Counter(), Counter(), []
    room = {name: home.disk - home.headroom for name, home in world.homes.items() if home.life != "gone"}
    for (shard, engine), _ in world.copies.items():
        if engine in room and shard in world.shards:
            room[engine] -= world.shards[shard].size
    for move in world.moves.values():
        if move.step in HELD and (move.shard, move.target) not in world.copies and move.target in room:
            room[move.target] -= world.shards[move.shard].size
        if move.step in STREAMING and move.source in world.homes and move.target in world.homes:
            engines.update((move.source, move.target))
            links[link(world, move)] += 1
    for number, move in sorted(world.moves.items()):
        if move.step != "planned" or not _ready(world, move) or move.target not in room:
            continue
        size, between = world.shards[move.shard].size, link(world, move)
        if (
            room[move.target] < size
            or links[between] >= bounds.streams_per_link
            or max(engines[move.source], engines[move.target]) >= bounds.streams_per_engine
            or (spent and spent + size > bounds.bytes_per_hour)
        ):
            continue
        begun.append(number)
        engines.update((move.source, move.target))
        links[between] += 1
        room[move.target] -= size
        spent += size
    return tuple(begun)


def _ready(world: World, move: Move) -> bool:
    """Return whether all that a move waits for is done and its source and target are there."""
    source = world.copies.get((move.shard, move.source))
    return (
        move.shard in world.shards
        and all(number not in world.moves or world.moves[number].step == "done" for number in move.after)
        and not any(pair in world.copies for pair in move.cleared)
        and (move.shard, move.target) not in world.copies
        and source is not None
        and source.state == "good"
        and move.source in world.homes
        and world.homes[move.source].life != "gone"
        and world.shards[move.shard].table not in world.frozen
    )
