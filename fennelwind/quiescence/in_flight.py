"""One controller's part: which of its queries are open where, what it is asked for, when it has to speak.

No I/O and no clock. Attempts at engines are counted by what their queries name: shards, and the tables ahead
of their `/`. What is asked for comes with two views, of copies that leave and of engines that are quiet for
tables; routing is told a view first, and of an older one nothing. The word is made of both at one moment, so
that whatever began before the view counts as open in it, and nothing begins behind it.
"""

from collections.abc import Callable, Hashable, Iterable
from typing import Any

from fennelwind.quiescence import clearance_pb2 as pb
from fennelwind.quiescence.acknowledgements import OPEN_MOST

AGAIN_MS = 2000.0  # ms until the same is said again while anything is asked for: words are lost with a leader
PACE_MS = 200.0  # ms between two words, whatever changes; a drop is earlier by a minute, not by this

Pair = tuple[str, str]  # a shard or a table, and an engine


def table_of(shard: str) -> str:
    """Return the table of a shard's name, as the record knows tables: in lower case."""
    return shard.partition("/")[0].lower()


class Book:
    """What is open, what is asked for, and what was said."""

    def __init__(self) -> None:
        self.route_copies: Callable[[Any], None] = lambda places: None  # how routing is told a view
        self.route_tables: Callable[[Any], None] = lambda kept: None
        self.number = 0  # as which the controller is on the roll; 0: not on it
        self.copies = self.tables = 0  # what its views are of
        self.leaving: frozenset[Pair] = frozenset()
        self.quiet: frozenset[Pair] = frozenset()
        self._whole = [True, True]  # the views name all that is asked for
        self._open: dict[Hashable, tuple[Pair, ...]] = {}  # by attempt: what it may read
        self._count: dict[Pair, int] = {}  # attempts by what they may read
        self._unsure: dict[Hashable, float] = {}  # attempts that may run on at their engine, until then
        self._order = 0
        self._said: tuple[object, ...] = ()  # what the last word was made of, but the views' ages
        self._again_at = self._not_before = 0.0

    # Attempts.

    def began(self, attempt: Hashable, shards: Iterable[str], engine: str) -> None:
        """An attempt is about to be sent; told in the turn in which it was found that it may."""
        pairs = tuple({(name, engine): None for shard in shards for name in (shard, table_of(shard))})
        if pairs:
            self._open[attempt] = pairs
            for pair in pairs:
                self._count[pair] = self._count.get(pair, 0) + 1

    def ended(self, attempt: Hashable) -> None:
        """Nothing of an attempt is left at its engine."""
        pairs = self._open.pop(attempt, None)
        if pairs is None:
            return
        self._unsure.pop(attempt, None)
        for pair in pairs:
            if self._count[pair] > 1:
                self._count[pair] -= 1
            else:
                del self._count[pair]

    def unsure(self, attempt: Hashable, until: float) -> None:
        """Nobody waits for an attempt any more, but its engine may run it on, until then at the longest."""
        if attempt in self._open:
            self._unsure[attempt] = until

    def is_open(self, pair: Pair) -> bool:
        """Tell whether an attempt is open that may read it."""
        return pair in self._count

    # Views. An older one, as a member that lags behind may tell it, is passed over by routing as well.

    def see_copies(self, revision: int, places: Any, leaving: Iterable[Pair], whole: bool = True) -> None:
        """Take a view of where copies are and which ones leave; `whole`: these are all of them."""
        if revision >= self.copies:
            self.route_copies(places)
            self.copies, self.leaving, self._whole[0] = revision, frozenset(leaving), whole

    def see_tables(self, index: int, kept: Any, quiet: Iterable[Pair], whole: bool = True) -> None:
        """Take a view of the engines that get no query of some tables, and of those that are asked for."""
        if index >= self.tables:
            self.route_tables(kept)
            self.tables, self.quiet, self._whole[1] = index, frozenset(quiet), whole

    # Words.

    @property
    def asked(self) -> bool:
        """Whether anything is asked for."""
        return bool(self.leaving or self.quiet)

    def word(self, now: float) -> tuple[pb.Word | None, float]:
        """Return what is to be said now, if anything is, and when to ask here again at the latest."""
        for attempt in [a for a, until in self._unsure.items() if until <= now]:
            self.ended(attempt)
        if not self.number or not self.asked or not all(self._whole):
            self._said = ()
            return None, now + AGAIN_MS
        copies = sorted(pair for pair in self.leaving if pair in self._count)
        tables = sorted(pair for pair in self.quiet if pair in self._count)
        made = self.number, self.leaving, self.quiet, tuple(copies), tuple(tables)
        due = self._again_at if made == self._said else self._not_before
        if due > now or len(copies) + len(tables) > OPEN_MOST:
            ends = [until for until in self._unsure.values() if until > now]
            return None, min([due if due > now else now + AGAIN_MS, *ends])
        self._order += 1
        self._said, self._again_at, self._not_before = made, now + AGAIN_MS, now + PACE_MS
        return pb.Word(
            number=self.number,
            order=self._order,
            copies=self.copies,
            tables=self.tables,
            open_copies=[pb.Pair(name=name, engine=engine) for name, engine in copies],
            open_tables=[pb.Pair(name=name, engine=engine) for name, engine in tables],
        ), now + PACE_MS

    def unheard(self) -> None:
        """The last word did not reach the leader: it is due again, at its pace."""
        self._said = ()
