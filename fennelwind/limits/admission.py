"""Fair shares of a listener: connections by address, sessions by user, bytes per second by user.

A limit on the total alone would let one team use all of it. So each address and each user also has its own
limit, and once `FAIR_SHARE_THRESHOLD` of the total is in use, only holders with less than an even share get
more. Bytes over a user's rate are delayed and not rejected: the client is slowed down but keeps working.

No I/O; the frontends call it with the time in ms, and close connections or delay reading accordingly.
"""

from collections import Counter
from dataclasses import dataclass

from fennelwind.limits.token_bucket import TokenBucket

FAIR_SHARE_THRESHOLD = 0.8  # even shares are enforced while at least this share of the total is in use
BURST_S = 2.0  # s; bytes of this time at a user's rate pass at once, as a single generated statement is large
MAX_DELAY_MS = 5000.0  # longest pause of reading, in ms; the connection is checked between pauses
BUCKET_EXPIRY_MS = 60_000.0  # ms without bytes of a user after which the user's full bucket is dropped


@dataclass(slots=True, frozen=True)
class AdmissionLimits:
    """Configured limits of one listener."""

    connections: int
    connections_by_address: int
    sessions: int
    sessions_by_user: int
    bytes_per_s_by_user: float  # 0 if unlimited


class SharedLimit:
    """A limit on how many units of one resource are in use, shared by several holders."""

    def __init__(self, resource: str, limit: int, limit_per_holder: int) -> None:
        self.resource, self.limit, self.limit_per_holder = resource, limit, limit_per_holder
        self.in_use: Counter[str] = Counter()
        self.total = 0
        self.rejected = 0

    def acquire(self, holder: str) -> str | None:
        """Acquire a unit for a holder; return the reason if the holder is rejected, else None."""
        reason = self._reason_to_reject(holder)
        if reason is not None:
            self.rejected += 1
            return reason
        self.in_use[holder] += 1
        self.total += 1
        return None

    def release(self, holder: str) -> None:
        """Release a unit that the holder has acquired."""
        self.in_use[holder] -= 1
        self.total -= 1
        if not self.in_use[holder]:
            del self.in_use[holder]

    def _reason_to_reject(self, holder: str) -> str | None:
        held = self.in_use.get(holder, 0)
        if self.total >= self.limit:
            return f"{self.total} {self.resource} are open, which is the limit"
        if held >= self.limit_per_holder:
            return f"{holder} has {held} {self.resource} open, which is the limit for one"
        if self._is_scarce() and held >= self._even_share():
            return f"{self.total} {self.resource} are open, and {holder} has {held} of them"
        return None

    def _is_scarce(self) -> bool:
        # Even shares need a limit per holder: without it, all clients may use one address, as behind a proxy.
        has_holder_limit = self.limit_per_holder < self.limit
        return has_holder_limit and self.total >= FAIR_SHARE_THRESHOLD * self.limit

    def _even_share(self) -> float:
        return self.limit / (len(self.in_use) + 1)  # one share is reserved for a new holder


class Admission:
    """Enforces the limits of one listener."""

    def __init__(self, limits: AdmissionLimits) -> None:
        self.limits = limits
        self.connections = SharedLimit("connections", limits.connections, limits.connections_by_address)
        self.sessions = SharedLimit("sessions", limits.sessions, limits.sessions_by_user)
        self.delayed = 0  # number of times that reading was delayed
        self._buckets: dict[str, TokenBucket] = {}  # bytes, by user
        self._next_sweep_ms = float("-inf")

    def consume_bytes(self, user: str, size_bytes: int, now: float) -> float:
        """Count bytes received from a user; return for how many ms to stop reading from that user."""
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
