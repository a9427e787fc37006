"""Access load: how often queries name each shard, counted by each controller with a half-life. No I/O.

The replicated state keeps integers and a clock in steps of the half-life only, so that all members compute
the same values. The replicas of a shard share its queries evenly.
"""

from collections.abc import Iterable
from itertools import accumulate

HALF_LIFE_MS = 1_800_000  # shorter than the load's changes over a day, longer than a migration's minutes
STEPS_PER_HALF_LIFE = 16  # load in the replicated state decays by 4% in each step
STEP_MS = HALF_LIFE_MS // STEPS_PER_HALF_LIFE
UNITS_PER_QUERY = 1000  # the replicated state counts each query as this many units
DECAY_FACTORS = (
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
)  # the factor after n steps is 65536 * 2 ** (-n / 16), in parts of 65536
MAX_REPORTED_SHARDS = 256  # a controller's report holds the shards named most, up to this many
MAX_REPORTED_NAME_BYTES = 65_536  # limit for all names in a report: a quarter of a command's maximum size
MAX_REPORTED_COUNT = 2**40  # units that one controller may report for a shard; sums stay far below 2**64
MAX_COUNTED_SHARDS = 4_096  # shards that a controller counts; others are ignored until some have decayed
MIN_KEPT_QUERIES = 0.05  # queries; lower counts are dropped
# counted load replaces declared load once the replicated state has counted this many units
MIN_COUNT_TO_USE = 1_000 * UNITS_PER_QUERY


def decayed(count: int, steps: int) -> int:
    """Return what remains of a count after `steps` steps of decay."""
    return (count >> min(steps // STEPS_PER_HALF_LIFE, 64)) * DECAY_FACTORS[steps % STEPS_PER_HALF_LIFE] >> 16


class AccessCounter:
    """Counts of one controller that it has not reported yet. Times are in ms on the controller's clock."""

    def __init__(self) -> None:
        self.counts: dict[str, float] = {}  # queries by shard, decayed up to `_decayed_to_ms`
        self.uncounted = 0  # times that a query named a shard ignored because `counts` was full
        self._decayed_to_ms = 0.0

    def count(self, shards: Iterable[str]) -> None:
        """Count a query that names these shards."""
        for shard in shards:
            if shard in self.counts or len(self.counts) < MAX_COUNTED_SHARDS:
                self.counts[shard] = self.counts.get(shard, 0.0) + 1.0
            else:
                self.uncounted += 1

    def batch(self, now: float) -> list[tuple[str, int]]:
        """Return the counts worth reporting now, highest first, in thousandths of a query."""
        decay, self._decayed_to_ms = 0.5 ** (max(0.0, now - self._decayed_to_ms) / HALF_LIFE_MS), now
        self.counts = {
            shard: count * decay for shard, count in self.counts.items() if count * decay >= MIN_KEPT_QUERIES
        }
        most_named = sorted(self.counts, key=lambda shard: (-self.counts[shard], shard))[:MAX_REPORTED_SHARDS]
        total_name_bytes = accumulate(len(shard.encode()) for shard in most_named)
        return [
            (shard, min(MAX_REPORTED_COUNT, int(self.counts[shard] * UNITS_PER_QUERY)))
            for shard, size in zip(most_named, total_name_bytes, strict=True)
            if size <= MAX_REPORTED_NAME_BYTES
        ]

    def discard_reported(self, batch: Iterable[tuple[str, int]]) -> None:
        """Subtract the counts of a batch that the replicated state has accepted."""
        for shard, count in batch:
            remaining = self.counts.get(shard, 0.0) - count / UNITS_PER_QUERY
            if remaining >= MIN_KEPT_QUERIES:
                self.counts[shard] = remaining
            else:
                self.counts.pop(shard, None)
