"""How fast logins may fail, and which need not be checked again; without I/O, given time and events.

A wrong password costs its sender time, more with each in a row, counted for its user and for its address: one
who guesses at many names is slowed as well as one who guesses at many passwords. A right one is remembered
for a while, as checking a salted hash takes tens of milliseconds by intent, and tools connect in herds.
"""

from collections import OrderedDict

FIRST_MS, MOST_MS = 250.0, 8000.0  # ms of delay after a wrong password, doubled with each up to the most
FREE = 2  # wrong passwords in a row of an address without delay: it may stand for a whole desk
FORGIVEN_MS = 300_000.0  # ms without a wrong one after which the count starts anew
REMEMBERED_MS = 300_000.0  # ms for which a right password need not be checked again
ENTRIES_MOST = 20_000  # users, addresses and passwords kept; the ones not seen for longest go


class Logins:
    """What is remembered of logins."""

    def __init__(self) -> None:
        self._wrong: OrderedDict[tuple[str, str], tuple[int, float]] = OrderedDict()  # -> in a row, when last
        self._right: OrderedDict[bytes, float] = OrderedDict()  # -> until when
        self.failures = 0

    def delay_ms(self, user: str, address: str, now: float) -> float:
        """Return how long the answer to a login is to wait."""
        by_user = self._in_a_row(("user", user), now)
        by_address = self._in_a_row(("address", address), now) - FREE
        count = max(by_user, by_address)
        return min(FIRST_MS * 2 ** (count - 1), MOST_MS) if count > 0 else 0.0

    def failed(self, user: str, address: str, now: float) -> None:
        """Count a wrong password."""
        self.failures += 1
        for key in (("user", user), ("address", address)):
            self._wrong[key] = self._in_a_row(key, now) + 1, now
            self._wrong.move_to_end(key)
        while len(self._wrong) > ENTRIES_MOST:
            self._wrong.popitem(last=False)

    def passed(self, user: str, address: str, proof: bytes, now: float) -> None:
        """Remember a right password by a proof that tells nobody what it is."""
        self._wrong.pop(("user", user), None)
        self._wrong.pop(("address", address), None)
        self._right[proof] = now + REMEMBERED_MS
        self._right.move_to_end(proof)
        while len(self._right) > ENTRIES_MOST:
            self._right.popitem(last=False)

    def known(self, proof: bytes, now: float) -> bool:
        """Tell whether a password was found right a short while ago."""
        return self._right.get(proof, 0.0) > now

    def forget(self) -> None:
        """Check everybody anew, as after a change of the users."""
        self._right.clear()

    def _in_a_row(self, key: tuple[str, str], now: float) -> int:
        count, at = self._wrong.get(key, (0, 0.0))
        return count if now - at < FORGIVEN_MS else 0
