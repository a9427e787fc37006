"""Deterministic subsetting: which executors a controller prefers, by weighted rendezvous hashing.

Each pair of controller and executor has a rank of its own that nobody has to agree on. When an executor goes,
only the controllers that preferred it choose another; when one comes, each controller takes it with the same
probability. So neither a change of the list nor a restart moves anything else. No I/O and no clock.
"""

import math
from hashlib import blake2b

MIN_SUBSET = 8  # executors of the own zone; with fewer, one bad executor is too much of the whole
REMOTE_SHARE = 1.0 / 3.0  # executors of other zones, by those of the own: a way out of an overloaded zone
MIN_REMOTE = 2  # executors of other zones at least
HASH_BYTES = 8
HASH_RANGE = 2.0 ** (8 * HASH_BYTES)
MIN_WEIGHT = 1e-9  # a weight of 0 would have no rank


def rank(controller: int, engine: str, weight: float) -> float:
    """Return an executor's rank with a controller, lowest first; it is first in proportion to its weight."""
    digest = blake2b(f"{controller} {engine}".encode(), digest_size=HASH_BYTES).digest()
    uniform = (int.from_bytes(digest, "big") + 0.5) / HASH_RANGE
    return -math.log(uniform) / max(weight, MIN_WEIGHT)


def subset_size(rate_per_s: float, reuse_interval_s: float) -> int:
    """Return how many executors own traffic can reuse a connection to within the interval.

    At least `MIN_SUBSET`.
    """
    return max(MIN_SUBSET, math.ceil(rate_per_s * reuse_interval_s))


def choose(local: list[str], remote: list[str], size: int) -> list[str]:
    """Return the first `size` local executors and fewer remote ones; both lists are ordered by rank."""
    return local[:size] + remote[: max(MIN_REMOTE, round(size * REMOTE_SHARE))]
