"""Fair shares of a listener: connections by address, sessions by user, bytes a second by user.

A limit on the total alone lets one team take all of it. Here each address and user has a limit of its own,
and when the total is nearly used up, only holders of less than an even share get more (from
`FAIR_SHARE_THRESHOLD` on). Bytes over a user's rate are not rejected but delayed, so that a client is slowed
and not broken.

No I/O; the frontends call it with the time in ms, and close or delay as it says.
"""

from collections import Counter
from dataclasses import dataclass

from fennelwind.limits.token_bucket import TokenBucket

FAIR_SHARE_THRESHOLD = 0.8  # share of the total in use from which even shares count
BURST_S = 2.0  # s of a user's byte rate that may come at once; a generated statement is large and alone
MAX_DELAY_MS = 5000.0  # ms that reading pauses at most; the connection is looked after in between
BUCKET_EXPIRY_MS = 60_000.0  # ms without bytes after which a user's bucket is full again and is dropped


@dataclass(slots=True, frozen=True)
class AdmissionLimits:
    """What a listener allows."""

    connections: int
    connections_by_address: int
    sessions: int
    sessions_by_user: int
    bytes_per_s_by_user: float  # 0: not limited


class SharedLimit:
    """A limited number of one resource, shared by holders."""

    def __init__(self, resource: str, limit: int, limit_per_holder: int) -> None:
        self.resource, self.limit, self.limit_per_holder = resource, limit, limit_per_holder
        self.in_use: Counter[str] = Counter()
        self.total = 0
        self.rejected = 0

    def acquire(self, holder: str) -> str | None:
        """Take one; return why not, or None if it was taken."""
        reason = self._reason_to_reject(holder)
        if reason is not None:
            self.rejected += 1
            return reason
        self.in_use[holder] += 1
        self.total += 1
        return None

    def release(self, holder: str) -> None:
        """Return one that `acquire` has given."""
        self.in_use[holder] -= 1
        self.total -= 1
        if not self.in_use[holder]:
            del self.in_use[holder]

    def _reason_to_reject(self, holder: str) -> str | None:
        own = self.in_use.get(holder, 0)
        if self.total >= self.limit:
            return f"{self.total} {self.resource} are open, which is the limit"
        if own >= self.limit_per_holder:
            return f"{holder} has {own} {self.resource} open, which is the limit for one"
        if self._is_scarce() and own >= self._even_share():
            return f"{self.total} {self.resource} are open, and {holder} has {own} of them"
        return None

    def _is_scarce(self) -> bool:
        # Without a limit of their own, all clients may come by one address, as behind a proxy.
        has_holder_limit = self.limit_per_holder < self.limit
        return has_holder_limit and self.total >= FAIR_SHARE_THRESHOLD * self.limit

    def _even_share(self) -> float:
        return self.limit / (len(self.in_use) + 1)  # one share stays free for the next holder


class Admission:
    """The limits of one listener."""

    def __init__(self, limits: AdmissionLimits) -> None:
        self.limits = limits
        self.connections = SharedLimit("connections", limits.connections, limits.connections_by_address)
        self.sessions = SharedLimit("sessions", limits.sessions, limits.sessions_by_user)
        self.delayed = 0  # how often reading was delayed
        self._buckets: dict[str, TokenBucket] = {}  # bytes, by user
        self._next_sweep_ms = float("-inf")

    def consume_bytes(self, user: str, size_bytes: int, now: float) -> float:
        """Count bytes that a user has sent; return for how long (ms) to read no more of them."""
        rate_per_s = self.limits.bytes_per_s_by_user
        if not rate_per_s:
            return 0.0
        if now >= self._next_sweep_ms:
            self._sweep(now)
        bucket = self._buckets.get(user)
        if bucket is None:
            burst_bytes = rate_per_s * BURST_S
            bucket = self._buckets[user] = TokenBucket(burst_bytes, rate_per_s, burst_bytes, now)
        bucket.refill(now)
        bucket.tokens -= size_bytes
        if bucket.tokens >= 0.0:
            return 0.0
        self.delayed += 1
        return min(-bucket.tokens / rate_per_s * 1000.0, MAX_DELAY_MS)

    def _sweep(self, now: float) -> None:
        self._next_sweep_ms = now + BUCKET_EXPIRY_MS
        for user, bucket in list(self._buckets.items()):
            if now - bucket.updated_ms >= BUCKET_EXPIRY_MS:
                del self._buckets[user]
