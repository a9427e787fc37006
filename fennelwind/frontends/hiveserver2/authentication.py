"""Authentication of users: passwords against salted hashes (Argon2id, RFC 9106), and signed cookies for HTTP.

Checking a hash takes tens of milliseconds of CPU time, so the check runs in a thread outside the loop. Equal
concurrent checks are made once, and the number of checks is limited. Rejecting an unknown user takes as long
as rejecting a wrong password. Passwords are never kept, logged or passed on: only a digest under a key of
this process is kept.
"""

import hmac
from hashlib import blake2b

from argon2 import PasswordHasher
from argon2.exceptions import InvalidHashError, VerificationError

from fennelwind.config.users import User
from fennelwind.limits.login_throttle import LoginThrottle
from fennelwind.loop import DeadlineExceeded, Loop, Once

MAX_CHECKS = 64  # checks running or queued; further logins are rejected
CHECK_TIMEOUT_MS = 10_000.0  # limit for a check, with its time in the queue; a full queue takes about 2 s
COOKIE_LIFETIME_MS = 3_600_000.0  # time for which a cookie is valid


def verify(password_hash: str, password: str) -> bool:
    """Return whether a password matches a hash."""
    try:
        return PasswordHasher().verify(password_hash, password)
    except (VerificationError, InvalidHashError):
        return False


class Authenticator:
    """Authenticates users. Without a list of users, every user name is accepted."""

    def __init__(self, loop: Loop, users: dict[str, User] | None) -> None:
        self.loop, self.users, self.logins = loop, users, LoginThrottle()
        self._key = loop.token(32)
        # Checked for unknown users, so that rejecting them takes as long; hashing takes a third of a second
        # and 64 MiB.
        self._unknown_user_hash = PasswordHasher().hash("nobody's") if users is not None else ""
        self._checks: dict[bytes, Once] = {}
        self.rejected_checks = 0  # logins rejected because too many checks were running or a check timed out

    def authenticate(self, user: str, password: str, address: str) -> bool:
        """Check a user's password, waiting for the result; return whether it is right."""
        if self.users is None:
            return True
        raw = user.encode("utf-8", "surrogateescape"), password.encode("utf-8", "surrogateescape")
        password_digest = blake2b(len(raw[0]).to_bytes(4, "big") + raw[0] + raw[1], key=self._key).digest()
        if self.logins.is_verified(password_digest, self.loop.now()) and user in self.users:
            return True
        delay_ms = self.logins.delay_ms(user, address, self.loop.now())
        if delay_ms:
            self.loop.sleep(delay_ms)
        known_user = self.users.get(user)
        password_hash = self._unknown_user_hash if known_user is None else known_user.hash
        is_right = self._check(password_digest, password_hash, password) and known_user is not None
        if is_right:
            self.logins.succeeded(user, address, password_digest, self.loop.now())
        else:
            self.logins.failed(user, address, self.loop.now())
        return is_right

    def _check(self, password_digest: bytes, password_hash: str, password: str) -> bool:
        check = self._checks.get(password_digest)
        if check is None:
            if len(self._checks) >= MAX_CHECKS:
                self.rejected_checks += 1
                return False
            check = self._checks[password_digest] = Once(self.loop)
            self.loop.spawn(self._run_check, password_digest, password_hash, password, name="check password")
        try:
            with self.loop.deadline(CHECK_TIMEOUT_MS):
                return check.wait()
        except DeadlineExceeded:
            self.rejected_checks += 1
            return False

    def _run_check(self, password_digest: bytes, password_hash: str, password: str) -> None:
        is_right = False
        try:
            is_right = self.loop.aside(verify, password_hash, password)
        finally:
            self._checks.pop(password_digest).set(is_right)

    def make_cookie(self, user: str) -> str:
        """Return a cookie value that authenticates its bearer as the user."""
        expiry_ms = str(int(self.loop.now() + COOKIE_LIFETIME_MS))
        name = user.encode("utf-8", "surrogateescape").hex()
        return f"{name}.{expiry_ms}.{self._sign(name, expiry_ms)}"

    def user_of_cookie(self, cookie: str) -> str | None:
        """Return a cookie's user; None if the cookie is forged, expired or of an unknown user."""
        name, _, rest = cookie.partition(".")
        expiry_ms, _, signature = rest.partition(".")
        if not hmac.compare_digest(signature.encode(), self._sign(name, expiry_ms).encode()):
            return None
        user = bytes.fromhex(name).decode("utf-8", "surrogateescape")
        is_valid = float(expiry_ms) > self.loop.now() and (self.users is None or user in self.users)
        return user if is_valid else None

    def may_run(self, user: str, class_name: str) -> bool:
        """Return whether a user may run queries of a class."""
        if self.users is None:
            return True
        known_user = self.users.get(user)
        return known_user is not None and (not known_user.classes or class_name in known_user.classes)

    def _sign(self, name: str, expiry_ms: str) -> str:
        return hmac.new(self._key, f"{name}.{expiry_ms}".encode(), "sha256").hexdigest()
