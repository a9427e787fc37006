"""Which executors a controller leans to: weighted rendezvous hashing. No I/O and no clock.

Each pair of controller and executor has a rank of its own that nobody has to agree on. When an executor goes,
only the controllers that leaned to it choose another; when one comes, each controller takes it with the same
chance, so neither a change of the list nor a restart moves anybody else.
"""

import math
from hashlib import blake2b

LEAST = 8  # executors of the own zone; with fewer, one bad executor is too much of the whole
FAR_PART, FAR_LEAST = 1.0 / 3.0, 2  # of that many of other zones, and at least: a way out of an overfull zone
WHOLE = 2.0**64  # what the hash is drawn from


def rank(controller: int, engine: str, weight: float) -> float:
    """Return an executor's rank with a controller, lowest first; it is first in proportion to its weight."""
    digest = blake2b(f"{controller} {engine}".encode(), digest_size=8).digest()
    drawn = (int.from_bytes(digest, "big") + 0.5) / WHOLE
    return -math.log(drawn) / max(weight, 1e-9)


def size(rate_per_s: float, again_s: float) -> int:
    """Return how many executors own traffic comes back to in so many seconds, at least `LEAST`."""
    return max(LEAST, math.ceil(rate_per_s * again_s))


def choose(near: list[str], far: list[str], many: int) -> list[str]:
    """Return the first of both lists, which are ordered by rank: `many` near ones and fewer far ones."""
    return near[:many] + far[: max(FAR_LEAST, round(many * FAR_PART))]
