"""Deterministic subsetting: which executors a controller prefers, by weighted rendezvous hashing.

Each pair of controller and executor has a rank that needs no coordination. When an executor is removed, only
the controllers that preferred it choose another; when an executor is added, each controller adopts it with
the same probability. So neither a change of the list nor a restart changes other preferences. No I/O, no
clock.
"""

import math
from hashlib import blake2b
from typing import TypeVar

MIN_SUBSET = 8  # executors of the own zone; with fewer, a bad executor would be too large a share of them
REMOTE_SHARE = 1.0 / 3.0  # executors of other zones per local executor: an alternative to an overloaded zone
MIN_REMOTE = 2  # smallest number of executors of other zones
HASH_BYTES = 8
HASH_RANGE = 2.0 ** (8 * HASH_BYTES)
MIN_WEIGHT = 1e-9  # a rank can't be computed for a weight of 0

ExecutorT = TypeVar("ExecutorT")


def rank(controller: int, engine: str, weight: float) -> float:
    """Return an executor's rank for a controller; low ranks go first, and more weight makes them likelier."""
    digest = blake2b(f"{controller} {engine}".encode(), digest_size=HASH_BYTES).digest()
    uniform = (int.from_bytes(digest, "big") + 0.5) / HASH_RANGE
    return -math.log(uniform) / max(weight, MIN_WEIGHT)


def subset_size(rate_per_s: float, reuse_interval_s: float) -> int:
    """Return at how many executors a controller's own queries can reuse a connection within the interval.

    The result is at least `MIN_SUBSET`.
    """
    return max(MIN_SUBSET, math.ceil(rate_per_s * reuse_interval_s))


def choose(local: list[ExecutorT], remote: list[ExecutorT], size: int) -> list[ExecutorT]:
    """Return the first `size` local executors and a share of remote ones; both lists are ordered by rank."""
    return local[:size] + remote[: max(MIN_REMOTE, round(size * REMOTE_SHARE))]
