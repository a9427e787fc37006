"""Names of hosts as addresses, found by a thread of their own.

The system's resolver stands for many seconds while its servers can't be reached; on the loop it would hold up
every query, just when links are broken. What was found once is used for good and looked up anew beside it.
"""

import errno
import socket
import threading
from collections.abc import Callable
from queue import SimpleQueue
from typing import NamedTuple

from fennelwind.loop.scheduler import Loop, Once
from fennelwind.loop.streams import ConnectFailed

FRESH_MS = 10_000.0  # ms for which an address is not looked up anew
NAMES_MOST = 4096  # names that are known; at the bound the one that was found first is forgotten


class _Found(NamedTuple):
    host: str  # an address in digits
    at: float  # ms


class Names:
    """What names were found to mean. One thread asks, one name after the other."""

    def __init__(self, loop: Loop, from_thread: Callable[[Callable[[], None]], None]) -> None:
        self.loop, self._from_thread = loop, from_thread
        self._known: dict[str, _Found] = {}
        self._asked: dict[str, Once] = {}  # names under way
        self._calls: SimpleQueue[str] = SimpleQueue()
        self._thread: threading.Thread | None = None

    def find(self, host: str) -> str:
        """Return the address; wait for it only where none was ever found. Raises `ConnectFailed`."""
        known, asked = self._known.get(host), self._asked.get(host)
        if asked is None and (known is None or self.loop.now() - known.at >= FRESH_MS):
            asked = self._ask(host)
        if known is not None:
            return known.host
        told = asked.wait()
        if isinstance(told, OSError):
            raise ConnectFailed(told.errno, f"{host[:80]!r}: {told.strerror}")
        return told

    def _ask(self, host: str) -> Once:
        if self._thread is None:
            thread = threading.Thread(target=self._serve, name="fennelwind-names", daemon=True)
            try:
                thread.start()
            except RuntimeError as exc:  # no thread is left now
                raise ConnectFailed(errno.EAGAIN, f"{host[:80]!r}: {exc}") from None
            self._thread = thread
        once = self._asked[host] = Once(self.loop)
        self._calls.put(host)
        return once

    def _serve(self) -> None:
        while True:
            host = self._calls.get()
            try:
                found = socket.getaddrinfo(host, None, type=socket.SOCK_STREAM)
                # IPv4 first: a host that listens there alone is often named with an IPv6 address ahead of it.
                found.sort(key=lambda one: one[0] != socket.AF_INET)
                told: str | OSError = str(found[0][4][0])
            except OSError as exc:
                told = exc
            except ValueError as exc:  # letters that no name may have
                told = OSError(errno.EINVAL, str(exc)[:200])
            self._from_thread(lambda host=host, told=told: self._take(host, told))

    def _take(self, host: str, told: str | OSError) -> None:
        if isinstance(told, str):  # else what was found before counts on
            self._known.pop(host, None)
            while len(self._known) >= NAMES_MOST:
                del self._known[next(iter(self._known))]
            self._known[host] = _Found(told, self.loop.now())
        self._asked.pop(host).set(told)
