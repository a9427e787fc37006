"""Which copies may start now, under limits on streams of engines and links and on bytes per hour. No I/O."""

from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from types import MappingProxyType
from typing import Protocol

from fennelwind.shards.model import Bounds, Migration, ReplicaHost, Shard

STREAMING_STEPS = ("reserved", "copying")  # steps that take a stream at the source and at the target
# by number of each migration whose copy, or next attempt, was requested: the requested source
RequestedSources = Mapping[int, str]
NO_REQUESTS: RequestedSources = MappingProxyType({})
# what one stream occupies: the engine read, the engine written, and the pair of their zones
StreamUse = tuple[str, str, tuple[str, ...]]


class MigrationState(Protocol):
    """The part of the replicated state that this module reads."""

    shards: Mapping[str, Shard]
    homes: Mapping[str, ReplicaHost]
    moves: Mapping[int, Migration]


def startable(
    state: MigrationState,
    bounds: Bounds,
    bytes_started: int,
    requested: RequestedSources = NO_REQUESTS,
    is_allowed: Callable[[Migration], bool] = lambda move: True,
) -> tuple[int, ...]:
    """Return the planned migrations that may be requested to start together now, by number.

    `bytes_started` is what copies have begun to transfer within the last hour, by the replicated state;
    `requested` is what was requested and is not in that state yet; `is_allowed` tells whether anything else
    holds a migration back. A migration larger than the hourly budget starts if no copy began within the
    hour, as it could never start otherwise. Space, source and target are checked by the state machine: a
    migration that it refuses is retried, and undone in the end.
    """
    streams, started = _streams(state, requested), []
    bytes_started += uncounted_bytes(state, requested)
    for number, move in sorted(state.moves.items()):
        if (
            move.step != "planned"
            or number in requested
            or any(ahead in state.moves for ahead in move.after)
            or not is_allowed(move)
        ):
            continue
        size, use = state.shards[move.shard].size, _stream_use(state, move.source, move.target)
        if _has_free_stream(streams, use, bounds) and fits_hourly_budget(bounds, bytes_started, size):
            started.append(number)
            streams.update(use)
            bytes_started += size
    return tuple(started)


def uncounted_bytes(state: MigrationState, requested: RequestedSources = NO_REQUESTS) -> int:
    """Return the bytes of copies certain to start that the replicated state does not count yet."""
    return sum(
        state.shards[move.shard].size
        for number, move in state.moves.items()
        if move.step == "reserved" or number in requested
    )


def fits_hourly_budget(bounds: Bounds, bytes_started: int, size: int) -> bool:
    """Return whether the hourly budget has room for `size` more bytes, or is unused so far."""
    return not bytes_started or bytes_started + size <= bounds.bytes_per_hour


def available_source(
    state: MigrationState,
    bounds: Bounds,
    move: Migration,
    engines: Iterable[str],
    requested: RequestedSources = NO_REQUESTS,
) -> str:
    """Return the first engine that a running copy may be read from, or "" if none has a free stream."""
    streams = _streams(state, requested)
    streams.subtract(_stream_use(state, move.source, move.target))
    return next(
        (e for e in engines if _has_free_stream(streams, _stream_use(state, e, move.target), bounds)), ""
    )


def _streams(state: MigrationState, requested: RequestedSources) -> Counter:
    """Return how many copies each engine reads or writes, and each pair of zones carries.

    A copy requested from a new source counts for both sources until the replicated state has the new one.
    """
    streams = Counter()
    for number, move in state.moves.items():
        if move.step in STREAMING_STEPS or number in requested:
            streams.update(_stream_use(state, move.source, move.target))
        if requested.get(number, move.source) != move.source:
            reads, _, link = _stream_use(state, requested[number], move.target)
            streams.update((reads, link))
    return streams


def _stream_use(state: MigrationState, reads: str, writes: str) -> StreamUse:
    """Return what one stream occupies; the zone of an engine that was removed is left out."""
    return reads, writes, tuple(sorted(state.homes[e].zone for e in (reads, writes) if e in state.homes))


def _has_free_stream(streams: Counter, use: StreamUse, bounds: Bounds) -> bool:
    reads, writes, link = use
    return (
        streams[link] < bounds.streams_per_link
        and max(streams[reads], streams[writes]) < bounds.streams_per_engine
    )
