"""Lets users in: passwords against salted hashes (Argon2id, RFC 9106), and signed cookies for HTTP.

Checking a hash takes tens of milliseconds of a core, so it runs beside the loop; equal checks under way are
made once, and only so many at a time. An unknown user takes as long as a wrong password. Nothing here keeps,
logs or passes on a password: what is remembered is a keyed digest under a key of this process.
"""

import hmac
from hashlib import blake2b

from argon2 import PasswordHasher
from argon2.exceptions import InvalidHashError, VerificationError

from fennelwind.config.users import User
from fennelwind.limits.login_throttle import LoginThrottle
from fennelwind.loop import DeadlineExceeded, Loop, Once

CHECKS_MOST = 64  # checks that may be under way or in line; further logins are turned away
CHECK_MS = 10_000.0  # ms for a check and the line before it; a full line takes some 2 s
COOKIE_MS = 3_600_000.0  # ms that a cookie is good for


def verify(hashed: str, password: str) -> bool:
    """Tell whether a password is the one that was hashed."""
    try:
        return PasswordHasher().verify(hashed, password)
    except (VerificationError, InvalidHashError):
        return False


class Authenticator:
    """Who may come in. Without users everybody is believed."""

    def __init__(self, loop: Loop, users: dict[str, User] | None) -> None:
        self.loop, self.users, self.logins = loop, users, LoginThrottle()
        self._key = loop.token(32)
        # Checked for unknown users, so that they take as long; it costs a third of a second and 64 MiB.
        self._nobody = PasswordHasher().hash("nobody's") if users is not None else ""
        self._checks: dict[bytes, Once] = {}
        self.turned_away = 0  # as too many checks were under way

    def enter(self, user: str, password: str, address: str) -> bool:
        """Tell whether a user may come in; wait as long as that takes."""
        if self.users is None:
            return True
        raw = user.encode("utf-8", "surrogateescape"), password.encode("utf-8", "surrogateescape")
        proof = blake2b(len(raw[0]).to_bytes(4, "big") + raw[0] + raw[1], key=self._key).digest()
        if self.logins.is_verified(proof, self.loop.now()) and user in self.users:
            return True
        delay = self.logins.delay_ms(user, address, self.loop.now())
        if delay:
            self.loop.sleep(delay)
        there = self.users.get(user)
        hashed = self._nobody if there is None else there.hash
        right = self._check(proof, hashed, password) and there is not None
        if right:
            self.logins.succeeded(user, address, proof, self.loop.now())
        else:
            self.logins.failed(user, address, self.loop.now())
        return right

    def _check(self, proof: bytes, hashed: str, password: str) -> bool:
        under_way = self._checks.get(proof)
        if under_way is None:
            if len(self._checks) >= CHECKS_MOST:
                self.turned_away += 1
                return False
            under_way = self._checks[proof] = Once(self.loop)
            self.loop.spawn(self._run_check, proof, hashed, password, name="check password")
        try:
            with self.loop.deadline(CHECK_MS):
                return under_way.wait()
        except DeadlineExceeded:
            self.turned_away += 1
            return False

    def _run_check(self, proof: bytes, hashed: str, password: str) -> None:
        right = False
        try:
            right = self.loop.aside(verify, hashed, password)
        finally:
            self._checks.pop(proof).set(right)

    def cookie(self, user: str) -> str:
        """Return a cookie's value that lets its bearer in as the user."""
        until = str(int(self.loop.now() + COOKIE_MS))
        name = user.encode("utf-8", "surrogateescape").hex()
        return f"{name}.{until}.{self._sign(name, until)}"

    def bearer(self, cookie: str) -> str | None:
        """Return the user that a cookie lets in, if it is one of ours and still good."""
        name, _, rest = cookie.partition(".")
        until, _, signature = rest.partition(".")
        if not hmac.compare_digest(signature.encode(), self._sign(name, until).encode()):
            return None
        user = bytes.fromhex(name).decode("utf-8", "surrogateescape")
        good = float(until) > self.loop.now() and (self.users is None or user in self.users)
        return user if good else None

    def may_run(self, user: str, cls: str) -> bool:
        """Tell whether a user may run queries of a class."""
        if self.users is None:
            return True
        there = self.users.get(user)
        return there is not None and (not there.classes or cls in there.classes)

    def _sign(self, name: str, until: str) -> str:
        return hmac.new(self._key, f"{name}.{until}".encode(), "sha256").hexdigest()
