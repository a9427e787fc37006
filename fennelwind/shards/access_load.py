"""How often queries name each shard: counted by each controller, faded by half an hour, without I/O.

On the record it is whole numbers and a clock in parts of a half-life alone, so that it comes to the same on
every machine. Copies of a shard share its queries alike.
"""

from collections.abc import Iterable
from itertools import accumulate

HALF_LIFE_MS = 1_800_000  # ms; days differ by their hours, and a move that is begun is over in some minutes
PARTS = 16  # of a half-life: heat on the record fades by steps of 4%
PART_MS = HALF_LIFE_MS // PARTS
UNITS_PER_QUERY = 1000  # in which the record counts a query
FADES = (
    65536,
    62757,
    60097,
    57549,
    55109,
    52773,
    50535,
    48393,
    46341,
    44376,
    42495,
    40693,
    38968,
    37316,
    35734,
    34219,
)  # of 65536, after so many parts: 2 ** (-n / 16)
TOLD_MOST = 256  # shards that a controller tells at a time, those named most
TOLD_BYTES = 65_536  # of their names, a quarter of what the record takes in one command
COUNT_MOST = 2**40  # thousandths of a query that one controller can mean; sums stay far from 2**64
NAMED_MOST = 4_096  # shards that a controller counts; one more is not, until others have faded
LEAST = 0.05  # of a query: below that nothing is kept
ENOUGH = (
    1_000 * UNITS_PER_QUERY
)  # queries that the record must know of before heat that was declared counts no longer


def faded(count: int, parts: int) -> int:
    """Return what is left of a count after so many parts of a half-life."""
    return (count >> min(parts // PARTS, 64)) * FADES[parts % PARTS] >> 16


class AccessCounter:
    """What one controller has counted and not told yet. Times in ms on its own clock."""

    def __init__(self) -> None:
        self.counts: dict[str, float] = {}  # queries, faded up to a time
        self.uncounted = 0  # since too many shards were named
        self._at = 0.0

    def count(self, shards: Iterable[str]) -> None:
        """Count a query that names these."""
        for shard in shards:
            if shard in self.counts or len(self.counts) < NAMED_MOST:
                self.counts[shard] = self.counts.get(shard, 0.0) + 1.0
            else:
                self.uncounted += 1

    def batch(self, now: float) -> list[tuple[str, int]]:
        """Return what is worth telling now, the most first, in thousandths of a query."""
        left, self._at = 0.5 ** (max(0.0, now - self._at) / HALF_LIFE_MS), now
        self.counts = {shard: count * left for shard, count in self.counts.items() if count * left >= LEAST}
        first = sorted(self.counts, key=lambda shard: (-self.counts[shard], shard))[:TOLD_MOST]
        sizes = accumulate(len(shard.encode()) for shard in first)
        return [
            (shard, min(COUNT_MOST, int(self.counts[shard] * UNITS_PER_QUERY)))
            for shard, size in zip(first, sizes, strict=True)
            if size <= TOLD_BYTES
        ]

    def discard_reported(self, batch: Iterable[tuple[str, int]]) -> None:
        """The record has these: only what has come since is left to be told."""
        for shard, count in batch:
            rest = self.counts.get(shard, 0.0) - count / UNITS_PER_QUERY
            if rest >= LEAST:
                self.counts[shard] = rest
            else:
                self.counts.pop(shard, None)
