"""Login throttling: delays the answers to failed logins, and remembers verified passwords.

A wrong password delays the answer, longer with each failure in a row. Failures are counted by user and by
address, to slow down both attackers who try many user names and those who try many passwords. A verified
password is remembered for a while, as checking a salted hash takes tens of milliseconds by design, and tools
open many connections at once.

No I/O; authentication calls it with the time in ms, and waits for the delay that it returns.
"""

from collections import OrderedDict
from dataclasses import dataclass

MIN_DELAY_MS, MAX_DELAY_MS = 250.0, 8000.0  # delay of the answer; doubles with each wrong password in a row
FREE_FAILURES_PER_ADDRESS = 2  # wrong passwords in a row without delay: an office may share an address
FAILURE_EXPIRY_MS = 300_000.0  # time without a wrong password after which the count restarts
SUCCESS_EXPIRY_MS = 300_000.0  # time for which a verified password need not be checked again
MAX_ENTRIES = 20_000  # limit each of failure counts and of passwords; the least recently updated are dropped


@dataclass(slots=True, frozen=True)
class _Failures:
    """Consecutive wrong passwords of a user or an address."""

    count: int = 0
    last_ms: float = 0.0


class LoginThrottle:
    """Tracks the recent logins of one listener."""

    def __init__(self) -> None:
        self._failures: OrderedDict[tuple[str, str], _Failures] = OrderedDict()  # by kind and name
        self._verified_until_ms: OrderedDict[bytes, float] = OrderedDict()  # by proof
        self.failures = 0

    def delay_ms(self, user: str, address: str, now: float) -> float:
        """Return for how many ms to delay the answer to a login."""
        by_user = self._consecutive_failures(("user", user), now)
        by_address = self._consecutive_failures(("address", address), now) - FREE_FAILURES_PER_ADDRESS
        count = max(by_user, by_address)
        return min(MIN_DELAY_MS * 2 ** (count - 1), MAX_DELAY_MS) if count > 0 else 0.0

    def failed(self, user: str, address: str, now: float) -> None:
        """Count a wrong password."""
        self.failures += 1
        for key in (("user", user), ("address", address)):
            self._failures[key] = _Failures(self._consecutive_failures(key, now) + 1, now)
            self._failures.move_to_end(key)
        while len(self._failures) > MAX_ENTRIES:
            self._failures.popitem(last=False)

    def succeeded(self, user: str, address: str, proof: bytes, now: float) -> None:
        """Remember a verified password by a proof that does not reveal it; reset both counts of failures."""
        self._failures.pop(("user", user), None)
        self._failures.pop(("address", address), None)
        self._verified_until_ms[proof] = now + SUCCESS_EXPIRY_MS
        self._verified_until_ms.move_to_end(proof)
        while len(self._verified_until_ms) > MAX_ENTRIES:
            self._verified_until_ms.popitem(last=False)

    def is_verified(self, proof: bytes, now: float) -> bool:
        """Return whether the password with this proof was verified recently."""
        return self._verified_until_ms.get(proof, 0.0) > now

    def forget_verified(self) -> None:
        """Forget all verified passwords, as after a change of the users."""
        self._verified_until_ms.clear()

    def _consecutive_failures(self, key: tuple[str, str], now: float) -> int:
        failures = self._failures.get(key, _Failures())
        return failures.count if now - failures.last_ms < FAILURE_EXPIRY_MS else 0
