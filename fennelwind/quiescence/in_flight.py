"""The controller's side of quiescence: its queries in flight by engine, and when to acknowledge. No I/O.

No clock either: callers pass the time in ms. Attempts at engines are counted by the shards that their
queries name, and by the tables of those shards (the part before `/`). Two views show what has to be
acknowledged: one of replicas that drain, and one of engines that are quiesced for tables. Routing gets each
view before the tracker adopts it, and never gets an older one. One acknowledgement covers both views at the
same moment, so that every attempt from before a view is reported as open, and none starts after it.
"""

from collections.abc import Callable, Hashable, Iterable
from dataclasses import dataclass
from typing import Any

from fennelwind.quiescence import clearance_pb2 as pb
from fennelwind.quiescence.acknowledgements import MAX_OPEN_PAIRS

REPEAT_MS = 2000.0  # ms after which an unchanged acknowledgement is resent, as the leader may have changed
MIN_INTERVAL_MS = 200.0  # ms between two acknowledgements; short compared with the minute that they save

Pair = tuple[str, str]  # a shard or a table, and an engine


def table_of(shard: str) -> str:
    """Return the table of a shard's name, in lower case, as the replicated state stores tables."""
    return shard.partition("/")[0].lower()


@dataclass(slots=True, frozen=True)
class NextAcknowledgement:
    """`message` is to be sent now, None if none is due; `check_at_ms` is the latest time to check again."""

    message: pb.Word | None
    check_at_ms: float


class InFlightTracker:
    """Tracks attempts in flight, the views to acknowledge, and the last acknowledgement."""

    def __init__(self) -> None:
        self.on_replica_locations: Callable[[Any], None] = lambda locations: None  # passes a view to routing
        self.on_excluded_engines: Callable[[Any], None] = lambda excluded: None
        self.registration_number = 0  # the controller's number in the registry; 0 if it is not registered
        self.replica_revision = 0  # revision of the view of replicas
        self.table_index = 0  # log index of the view of tables
        self.draining_replicas: frozenset[Pair] = frozenset()
        self.quiesced_tables: frozenset[Pair] = frozenset()
        self._is_replica_view_complete = True  # whether the view lists all replicas that drain
        self._is_table_view_complete = True  # whether the view lists all tables that are quiesced
        self._pairs_of: dict[Hashable, tuple[Pair, ...]] = {}  # the pairs that each attempt may read
        self._open_count: dict[Pair, int] = {}  # number of attempts that may read the pair
        self._abandoned_until_ms: dict[Hashable, float] = {}  # attempts that may still run at their engine
        self._sequence = 0
        self._last_content: tuple[object, ...] = ()  # the last acknowledgement without revisions
        self._repeat_at_ms = 0.0
        self._not_before_ms = 0.0

    # Attempts.

    def attempt_started(self, attempt: Hashable, shards: Iterable[str], engine: str) -> None:
        """Count an attempt that is about to be sent.

        Call this in the same turn of the event loop as the check that the attempt may be sent: otherwise a
        view that forbids it could be acknowledged in between.
        """
        pairs = tuple({(name, engine): None for shard in shards for name in (shard, table_of(shard))})
        if pairs:
            self._pairs_of[attempt] = pairs
            for pair in pairs:
                self._open_count[pair] = self._open_count.get(pair, 0) + 1

    def attempt_ended(self, attempt: Hashable) -> None:
        """Stop counting an attempt: nothing of it runs at its engine any more."""
        pairs = self._pairs_of.pop(attempt, None)
        if pairs is None:
            return
        self._abandoned_until_ms.pop(attempt, None)
        for pair in pairs:
            if self._open_count[pair] > 1:
                self._open_count[pair] -= 1
            else:
                del self._open_count[pair]

    def attempt_abandoned(self, attempt: Hashable, until_ms: float) -> None:
        """Count an attempt until `until_ms`: its result isn't needed, but its engine may still run it."""
        if attempt in self._pairs_of:
            self._abandoned_until_ms[attempt] = until_ms

    # Views. A Raft member that lags behind may send an older view, which is ignored; routing doesn't get it.

    def update_replicas(
        self, revision: int, locations: Any, draining: Iterable[Pair], is_complete: bool = True
    ) -> None:
        """Set the replica locations and the draining replicas.

        `is_complete` tells whether all draining replicas are listed.
        """
        if revision >= self.replica_revision:
            self.on_replica_locations(locations)
            self.replica_revision = revision
            self.draining_replicas = frozenset(draining)
            self._is_replica_view_complete = is_complete

    def update_tables(
        self, index: int, excluded: Any, quiesced: Iterable[Pair], is_complete: bool = True
    ) -> None:
        """Set the engines that get no queries on some tables, and the quiesced pairs of table and engine.

        `is_complete` tells whether all quiesced pairs are listed.
        """
        if index >= self.table_index:
            self.on_excluded_engines(excluded)
            self.table_index = index
            self.quiesced_tables = frozenset(quiesced)
            self._is_table_view_complete = is_complete

    # Acknowledgements.

    def next_acknowledgement(self, now_ms: float) -> NextAcknowledgement:
        """Return the acknowledgement that is due, if there is one, and when to check again."""
        self._end_abandoned(now_ms)
        has_requests = bool(self.draining_replicas or self.quiesced_tables)
        is_complete = self._is_replica_view_complete and self._is_table_view_complete
        if not self.registration_number or not has_requests or not is_complete:
            self._last_content = ()
            return NextAcknowledgement(None, now_ms + REPEAT_MS)
        open_replicas = sorted(pair for pair in self.draining_replicas if pair in self._open_count)
        open_tables = sorted(pair for pair in self.quiesced_tables if pair in self._open_count)
        content = (
            self.registration_number,
            self.draining_replicas,
            self.quiesced_tables,
            tuple(open_replicas),
            tuple(open_tables),
        )
        due_ms = self._repeat_at_ms if content == self._last_content else self._not_before_ms
        if due_ms > now_ms or len(open_replicas) + len(open_tables) > MAX_OPEN_PAIRS:
            check_at_ms = due_ms if due_ms > now_ms else now_ms + REPEAT_MS
            return NextAcknowledgement(None, min([check_at_ms, *self._abandoned_until_ms.values()]))
        self._sequence += 1
        self._last_content = content
        self._repeat_at_ms = now_ms + REPEAT_MS
        self._not_before_ms = now_ms + MIN_INTERVAL_MS
        message = pb.Word(
            number=self.registration_number,
            order=self._sequence,
            copies=self.replica_revision,
            tables=self.table_index,
            open_copies=[pb.Pair(name=name, engine=engine) for name, engine in open_replicas],
            open_tables=[pb.Pair(name=name, engine=engine) for name, engine in open_tables],
        )
        return NextAcknowledgement(message, now_ms + MIN_INTERVAL_MS)

    def _end_abandoned(self, now_ms: float) -> None:
        ended = [attempt for attempt, until_ms in self._abandoned_until_ms.items() if until_ms <= now_ms]
        for attempt in ended:
            self.attempt_ended(attempt)

    def acknowledgement_lost(self) -> None:
        """Schedule the last acknowledgement again: it did not reach the leader. `MIN_INTERVAL_MS` applies."""
        self._last_content = ()
