"""Login throttling: how fast logins may fail, and which passwords need not be checked again.

A wrong password delays the answer to its sender, more with each in a row, counted by user and by address: who
guesses many names is slowed as well as who guesses many passwords. A right one is remembered for a while, as
checking a salted hash takes tens of milliseconds by design, and tools open many connections at once.

No I/O; authentication calls it with the time in ms, and waits as it says.
"""

from collections import OrderedDict
from dataclasses import dataclass

MIN_DELAY_MS, MAX_DELAY_MS = 250.0, 8000.0  # ms of delay after a wrong password, doubled with each in a row
FREE_FAILURES_PER_ADDRESS = 2  # in a row and without delay: an address may stand for a whole office
FAILURE_EXPIRY_MS = 300_000.0  # ms without a wrong password after which the count starts anew
SUCCESS_EXPIRY_MS = 300_000.0  # ms for which a right password need not be checked again
MAX_ENTRIES = 20_000  # users, addresses and passwords tracked; the least recently seen are dropped


@dataclass(slots=True, frozen=True)
class _Failures:
    """Wrong passwords in a row of a user or an address."""

    count: int = 0
    last_ms: float = 0.0


class LoginThrottle:
    """The recent logins of one listener."""

    def __init__(self) -> None:
        self._failures: OrderedDict[tuple[str, str], _Failures] = OrderedDict()  # by kind and name
        self._verified_until_ms: OrderedDict[bytes, float] = OrderedDict()  # by proof
        self.failures = 0

    def delay_ms(self, user: str, address: str, now: float) -> float:
        """Return how long the answer to a login is to wait."""
        by_user = self._failures_in_a_row(("user", user), now)
        by_address = self._failures_in_a_row(("address", address), now) - FREE_FAILURES_PER_ADDRESS
        count = max(by_user, by_address)
        return min(MIN_DELAY_MS * 2 ** (count - 1), MAX_DELAY_MS) if count > 0 else 0.0

    def failed(self, user: str, address: str, now: float) -> None:
        """Count a wrong password."""
        self.failures += 1
        for key in (("user", user), ("address", address)):
            self._failures[key] = _Failures(self._failures_in_a_row(key, now) + 1, now)
            self._failures.move_to_end(key)
        while len(self._failures) > MAX_ENTRIES:
            self._failures.popitem(last=False)

    def succeeded(self, user: str, address: str, proof: bytes, now: float) -> None:
        """Remember a right password by a proof that does not reveal it."""
        self._failures.pop(("user", user), None)
        self._failures.pop(("address", address), None)
        self._verified_until_ms[proof] = now + SUCCESS_EXPIRY_MS
        self._verified_until_ms.move_to_end(proof)
        while len(self._verified_until_ms) > MAX_ENTRIES:
            self._verified_until_ms.popitem(last=False)

    def is_verified(self, proof: bytes, now: float) -> bool:
        """Return whether a password was found right a short while ago."""
        return self._verified_until_ms.get(proof, 0.0) > now

    def forget_verified(self) -> None:
        """Check all passwords anew, as after a change of the users."""
        self._verified_until_ms.clear()

    def _failures_in_a_row(self, key: tuple[str, str], now: float) -> int:
        failures = self._failures.get(key, _Failures())
        return failures.count if now - failures.last_ms < FAILURE_EXPIRY_MS else 0
