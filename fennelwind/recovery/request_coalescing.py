"""Repeats by clients: the same request while it is still open joins it in place of running again.

A client that lost patience or its connection asks again. If it names the request (`fennelwind.request`) and
says the same statement as the same user, and the class may be repeated at all, the second asking joins what
is open: one query runs, each asking gets its answer, each in its own time. So a herd of repeats costs
engines nothing.

- A joined asking ends with the query, or failed when its own time is up first.
- When the client that asked first leaves, the query goes on as long as somebody waits for it.
- A query runs in the time of who asked first. If that was too short, those who joined with more time go on
with a new one, where the class allows (`goes_on`).
- Whatever ended is forgotten: a later repeat is a new query, judged by the effect rules.
- Classes that must not run twice join too: a join runs nothing. A repeat that comes after the end of one is
not known to be one here; its client was told that it failed, and that whether it ran is not known.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from hashlib import blake2b

MOST = 50_000  # open requests that are known; beyond it requests run on their own, counted
JOINED_MOST = 100  # askings that wait for one query; beyond it they are refused


@dataclass(slots=True, eq=False)
class Request:
    """An open request: the query that runs for it, and who waits."""

    name: bytes
    owner: object  # what runs
    waiting: dict[object, None] = field(default_factory=dict)  # askings without an answer, in order


def request_name(
    user: str,
    tenant: int,
    cls: int,
    request: str,
    statement: str,
    database: str = "",
    configuration: Mapping[str, str] | None = None,
) -> bytes:
    """Return the name under which a request is known; what would give other rows never meets it."""
    digest = blake2b(digest_size=16)
    said = [part for pair in sorted((configuration or {}).items()) for part in pair]
    for part in (user, str(tenant), str(cls), request, statement, database, *said):
        raw = part.encode("utf-8", "surrogateescape")
        digest.update(len(raw).to_bytes(8, "big"))
        digest.update(raw)
    return digest.digest()


def goes_on(refused: bool, failed: bool, safe: bool, ran_until_ms: float, due_ms: float) -> bool:
    """Tell whether who joined a query that ended so is to wait for a new one, having more time than it had.

    A refused query never ran. A failed one may have, so only a safe class goes on.
    """
    return due_ms > ran_until_ms and (refused or failed and safe)


class Repeats:
    """The open requests that have a name."""

    def __init__(self) -> None:
        self._open: dict[bytes, Request] = {}
        self._by_owner: dict[object, Request] = {}
        self.joined = self.unknown = self.full = 0

    def __len__(self) -> int:
        return len(self._open)

    def find(self, name: bytes) -> Request | None:
        """Return the open request of that name."""
        return self._open.get(name)

    def begin(self, name: bytes, owner: object, asking: object) -> Request | None:
        """Note that a query runs for a request; None if too many are known."""
        if len(self._open) >= MOST:
            self.unknown += 1
            return None
        request = Request(name, owner, {asking: None})
        self._open[name] = self._by_owner[owner] = request
        return request

    def join(self, request: Request, asking: object) -> bool:
        """Let an asking wait for the request; False: too many do."""
        if len(request.waiting) >= JOINED_MOST:
            self.full += 1
            return False
        request.waiting[asking] = None
        self.joined += 1
        return True

    def leave(self, request: Request, asking: object) -> bool:
        """Let an asking wait no more; tell whether nobody is left, so that the query may be called off."""
        request.waiting.pop(asking, None)
        return not request.waiting

    def end(self, owner: object) -> tuple[bytes, list[object]]:
        """Forget a request whose query has ended; return its name and who still waits, in order."""
        request = self._by_owner.pop(owner, None)
        if request is None:
            return b"", []
        del self._open[request.name]
        waiting = list(request.waiting)
        request.waiting.clear()
        return request.name, waiting
