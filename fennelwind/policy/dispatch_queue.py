"""The dispatch queue: queries that wait for an engine, their order, and the per-key FIFO.

Queries past their dispatch target go first, by descending priority weight; the others by earliest target.
Each class has two queues, for long queries and for short ones, and only the head of a queue is tried. A
queue whose head found no free capacity is blocked until an attempt ends or the fleet changes. A query of a
class ordered by key is queued only when all earlier queries of its key have ended.
"""

from collections import deque
from heapq import heappop, heappush

from fennelwind import policy
from fennelwind.policy.model import Query

# Outcomes after which the engine may still be running the attempt.
UNRESOLVED_STATUSES = (
    policy.AttemptStatus.TIMEOUT,
    policy.AttemptStatus.RESET,
    policy.AttemptStatus.CANCELLED,
)


class PerKeyFifo:
    """Keeps the queries of each key in order of arrival, for classes ordered by key."""

    def __init__(self) -> None:
        self.queries_by_key: dict[str, deque[Query]] = {}

    def add(self, query: Query) -> None:
        """Append the query to the FIFO of its key, if its class is ordered by key."""
        if query.order_key is not None:
            self.queries_by_key.setdefault(query.order_key, deque()).append(query)

    def is_first(self, query: Query) -> bool:
        """Return whether no earlier query with the query's key remains."""
        return query.order_key is None or self.queries_by_key[query.order_key][0] is query

    def remove(self, query: Query) -> Query | None:
        """Remove the query; return the next one of its key if that becomes first, else None."""
        if query.order_key is None:
            return None
        queries = self.queries_by_key[query.order_key]
        was_first = queries[0] is query
        queries.remove(query)
        if not queries:
            del self.queries_by_key[query.order_key]
        return queries[0] if was_first and queries else None


class DispatchQueue:
    """The queued queries of one gateway."""

    def __init__(self, settings: policy.Settings) -> None:
        self.settings = settings
        # Two heaps for each class; an item is (dispatch target, query number, query).
        self.queues: list[list[tuple[float, int, Query]]] = [[] for _ in settings.classes * 2]
        self.is_blocked = [False] * len(self.queues)  # by queue: True if its head found no free capacity
        self.unordered: list[Query] = []  # retries and queries of held keys; each is tried by itself
        self.key_order = PerKeyFifo()
        self.key_held_until_ms: dict[str, float] = {}  # keys held after an unknown outcome

    def add(self, query: Query, now_ms: float) -> None:
        """Queue the query, unless an earlier one of its key must end first."""
        if query.attempts or self.key_order.is_first(query):
            self._insert(query, now_ms)

    def remove(self, query: Query, now_ms: float) -> None:
        """Remove a finished query from its key's FIFO; queue the next one if that becomes first."""
        successor = self.key_order.remove(query)
        if successor is not None and successor.is_queued:
            self._insert(successor, now_ms)

    def _insert(self, query: Query, now_ms: float) -> None:
        if query.attempts or self.is_key_held(query.order_key, now_ms):
            self.unordered.append(query)  # it may wait longer than others, and must not hold up a whole queue
            return
        index = query.queue_index
        queue = self.queues[index]
        heappush(queue, (query.dispatch_target_ms, query.request.query, query))
        self.is_blocked[index] &= queue[0][2] is not query

    def record_outcome(self, query: Query, status: policy.AttemptStatus, now_ms: float) -> None:
        """Hold the query's key for `unresolved_hold_ms` if the engine may still be running the attempt."""
        if status in UNRESOLVED_STATUSES and query.order_key is not None:
            self.key_held_until_ms[query.order_key] = now_ms + self.settings.unresolved_hold_ms

    def is_key_held(self, key: str | None, now_ms: float) -> bool:
        """Return whether the key is held now; False if the key is None."""
        return key is not None and self.key_held_until_ms.get(key, 0.0) > now_ms

    def forget_expired_holds(self, now_ms: float) -> None:
        """Drop expired holds of keys that no query uses."""
        keys_in_use = self.key_order.queries_by_key
        self.key_held_until_ms = {
            key: until_ms
            for key, until_ms in self.key_held_until_ms.items()
            if until_ms > now_ms or key in keys_in_use
        }

    def unblock_all(self) -> None:
        """Let every queue be tried again, after an attempt has ended or the fleet has changed."""
        self.is_blocked = [False] * len(self.queues)

    def block(self, query: Query) -> None:
        """Mark the query's queue as blocked: its head found no free capacity."""
        self.is_blocked[query.queue_index] = True

    def ranked_unordered(self, now_ms: float) -> list[Query]:
        """Return the queries outside the heaps, in dispatch order."""
        waiting = [query for query in self.unordered if query.is_queued]
        return sorted(waiting, key=lambda query: self._rank(query, now_ms))

    def drop_dispatched(self) -> None:
        """Drop queries outside the heaps that are no longer queued."""
        self.unordered = [query for query in self.unordered if query.is_queued]

    def head(self, now_ms: float) -> Query | None:
        """Return the next query to dispatch from the queues that aren't blocked, or None if there is none."""
        heads = []
        for queue, is_blocked in zip(self.queues, self.is_blocked, strict=True):
            while queue and not queue[0][2].is_queued:
                heappop(queue)
            if queue and not is_blocked:
                heads.append(queue[0][2])
        if len(heads) <= 1:
            return heads[0] if heads else None
        return min(heads, key=lambda query: self._rank(query, now_ms))

    def has_other(self, query: Query) -> bool:
        """Return whether the heaps hold another queued query."""
        return any(
            queued.is_queued and queued is not query for queue in self.queues for _, _, queued in queue
        )

    @staticmethod
    def _rank(query: Query, now_ms: float) -> tuple[bool, float, float]:
        """Return the sort key for dispatch: late queries first, by priority weight; then by target."""
        is_late = query.dispatch_target_ms < now_ms
        weight = -query.query_class.priority_weight if is_late else 0.0
        return not is_late, weight, query.dispatch_target_ms
