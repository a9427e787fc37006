"""Which copies may begin now: streams of engines and links, and bytes an hour, are bounded. No I/O."""

from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from types import MappingProxyType
from typing import Protocol

from fennelwind.shards.model import Bounds, Migration, ReplicaHost, Shard

STREAMING = ("reserved", "copying")  # steps that take a stream at the source and at the target
Asked = Mapping[int, str]  # moves whose copy was asked to begin, or to begin anew, and from which engine
NONE: Asked = MappingProxyType({})
Takes = tuple[str, str, tuple[str, ...]]  # what a stream counts for: two engines, and the zones of both


class Known(Protocol):
    """What the record says, as far as it is read here."""

    shards: Mapping[str, Shard]
    homes: Mapping[str, ReplicaHost]
    moves: Mapping[int, Migration]


def begin(
    known: Known,
    bounds: Bounds,
    spent: int,
    asked: Asked = NONE,
    may: Callable[[Migration], bool] = lambda move: True,
) -> tuple[int, ...]:
    """Return the planned moves that may be asked to begin together now, the first planned first.

    `spent`: bytes that copies have begun to transfer within the last hour, as the record knows them. `asked`:
    what was asked to begin and is not seen on the record yet. `may`: what else keeps a move back. A move
    larger than the bytes of an hour begins when nothing has been spent, as it never could otherwise. Space,
    source and target are judged by the record: one that it refuses is tried again, and undone in the end.
    """
    streams, begun = _streams(known, asked), []
    spent += soon(known, asked)
    for number, move in sorted(known.moves.items()):
        if (
            move.step != "planned"
            or number in asked
            or any(ahead in known.moves for ahead in move.after)
            or not may(move)
        ):
            continue
        size, takes = known.shards[move.shard].size, _takes(known, move.source, move.target)
        if _free(streams, takes, bounds) and affords(bounds, spent, size):
            begun.append(number)
            streams.update(takes)
            spent += size
    return tuple(begun)


def soon(known: Known, asked: Asked = NONE) -> int:
    """Return the bytes of copies that are certain to begin and that the record does not count yet."""
    return sum(
        known.shards[move.shard].size
        for number, move in known.moves.items()
        if move.step == "reserved" or number in asked
    )


def affords(bounds: Bounds, spent: int, size: int) -> bool:
    """Tell whether the hour has room for so many bytes more."""
    return not spent or spent + size <= bounds.bytes_per_hour


def source(known: Known, bounds: Bounds, move: Migration, engines: Iterable[str], asked: Asked = NONE) -> str:
    """Return the first of some engines that a copy under way may be read from; "": none has a stream free."""
    streams = _streams(known, asked)
    streams.subtract(_takes(known, move.source, move.target))
    return next((e for e in engines if _free(streams, _takes(known, e, move.target), bounds)), "")


def _streams(known: Known, asked: Asked) -> Counter:
    """Return how many copies each engine reads or writes, and each pair of zones carries.

    One that was asked to read from another engine counts for both, until the record says which.
    """
    streams = Counter()
    for number, move in known.moves.items():
        if move.step in STREAMING or number in asked:
            streams.update(_takes(known, move.source, move.target))
        if asked.get(number, move.source) != move.source:
            reads, _, link = _takes(known, asked[number], move.target)
            streams.update((reads, link))
    return streams


def _takes(known: Known, reads: str, writes: str) -> Takes:
    """Return what a stream counts for; one that reads from an engine that was removed counts for the rest."""
    return reads, writes, tuple(sorted(known.homes[e].zone for e in (reads, writes) if e in known.homes))


def _free(streams: Counter, takes: Takes, bounds: Bounds) -> bool:
    reads, writes, link = takes
    return (
        streams[link] < bounds.streams_per_link
        and max(streams[reads], streams[writes]) < bounds.streams_per_engine
    )
