"""Request coalescing: a repeat of a request that is still open joins that request instead of running again.

A client that timed out or lost its connection retries. If it sends the same request id (`fennelwind.request`)
and statement as the same user, the retry joins the open request: one query is executed, and each client gets
the answer within the client's own deadline. So a retry storm adds no load to the engines.

- An entry that joined a query ends with the query, or earlier when the entry's own deadline passes.
- If the first client disconnects, the query continues as long as another entry waits for it.
- A query runs within the deadline of the entry that started it. If that deadline was too early, entries
  with a later deadline wait for a new query, if the class allows it (`should_run_again`).
- An ended request is forgotten: a later repeat is a new query, subject to the class's idempotency.
- Requests of non-idempotent classes join too, as a join executes nothing. A repeat after the end is not
  recognised; its client has been told that the query failed and that its outcome is unknown.

No I/O. The dispatcher's `SharedExecutions` is the only caller.
"""

from collections.abc import Hashable, Mapping
from dataclasses import dataclass, field
from hashlib import blake2b
from typing import Generic, TypeVar

MAX_REQUESTS = 50_000  # tracked open requests; further requests run unshared and are counted
MAX_WAITERS = 100  # entries that wait for one query; further entries are rejected
FINGERPRINT_BYTES = 16
LENGTH_BYTES = 8  # size of the length prefix that separates the parts of a fingerprint

EntryT = TypeVar("EntryT", bound=Hashable)


@dataclass(slots=True, eq=False)
class SharedRequest(Generic[EntryT]):
    """An open request: the entry that executes its query, and the entries that wait for it."""

    fingerprint: bytes
    executing: EntryT
    waiting: dict[EntryT, None] = field(default_factory=dict)  # unanswered entries, in order of arrival


def request_fingerprint(
    user: str,
    tenant: int,
    class_index: int,
    request_id: str,
    statement: str,
    database: str = "",
    configuration: Mapping[str, str] | None = None,
) -> bytes:
    """Return the fingerprint of a request; requests that could return different rows never share one."""
    digest = blake2b(digest_size=FINGERPRINT_BYTES)
    settings = [part for pair in sorted((configuration or {}).items()) for part in pair]
    for part in (user, str(tenant), str(class_index), request_id, statement, database, *settings):
        encoded = part.encode("utf-8", "surrogateescape")
        digest.update(len(encoded).to_bytes(LENGTH_BYTES, "big"))
        digest.update(encoded)
    return digest.digest()


def should_run_again(
    *,
    is_rejected: bool,
    is_failed: bool,
    is_idempotent: bool,
    execution_deadline_ms: float,
    answer_deadline_ms: float,
) -> bool:
    """Return whether an entry waits for a new query after its previous query ended without a result.

    An entry waits only if its deadline is later than that query's. A rejected query may safely be repeated;
    a failed one may have run, so it runs again only in an idempotent class.
    """
    has_more_time = answer_deadline_ms > execution_deadline_ms
    return has_more_time and (is_rejected or is_failed and is_idempotent)


class RequestCoalescer(Generic[EntryT]):
    """Tracks the open requests that have an id chosen by a client."""

    def __init__(self) -> None:
        self._by_fingerprint: dict[bytes, SharedRequest[EntryT]] = {}
        self._by_executing: dict[EntryT, SharedRequest[EntryT]] = {}
        self.joined = 0  # entries that joined an open request
        self.untracked = 0  # requests that ran unshared because `MAX_REQUESTS` were open
        self.rejected = 0  # entries rejected because `MAX_WAITERS` were already waiting

    def __len__(self) -> int:
        return len(self._by_fingerprint)

    def find(self, fingerprint: bytes) -> SharedRequest[EntryT] | None:
        """Return the open request with this fingerprint, or None."""
        return self._by_fingerprint.get(fingerprint)

    def track(self, fingerprint: bytes, executing: EntryT, waiting: EntryT) -> SharedRequest[EntryT] | None:
        """Track a request and its first waiting entry; return None if too many requests are open."""
        if len(self._by_fingerprint) >= MAX_REQUESTS:
            self.untracked += 1
            return None
        request = SharedRequest(fingerprint, executing, {waiting: None})
        self._by_fingerprint[fingerprint] = self._by_executing[executing] = request
        return request

    def join(self, request: SharedRequest[EntryT], entry: EntryT) -> bool:
        """Add an entry that waits for the request; return False if too many entries already wait."""
        if len(request.waiting) >= MAX_WAITERS:
            self.rejected += 1
            return False
        request.waiting[entry] = None
        self.joined += 1
        return True

    def leave(self, request: SharedRequest[EntryT], entry: EntryT) -> bool:
        """Remove a waiting entry; return whether none remains, so that the query may be cancelled."""
        request.waiting.pop(entry, None)
        return not request.waiting

    def forget(self, executing: EntryT) -> tuple[bytes, list[EntryT]]:
        """Forget a request whose query has ended; return its fingerprint and its waiting entries in order."""
        request = self._by_executing.pop(executing, None)
        if request is None:
            return b"", []
        del self._by_fingerprint[request.fingerprint]
        waiting = list(request.waiting)
        request.waiting.clear()
        return request.fingerprint, waiting
