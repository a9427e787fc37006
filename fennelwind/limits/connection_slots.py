"""Who of a front's clients keeps his place: whom to close for room, and who has had it for too long. No I/O.

A client is unheard until his first whole message has come, busy while an answer is owed to him or not yet
taken, else idle; apart from that half a message of his may have come. All times are ms of the caller's
clock. Unheard and idle ones stand in the order in which they came to be so: nobody is searched for.

The order for room: first who has said nothing for `MUTE_MS`; then who was answered longest ago, as his
client sends again what crosses the close; last who has just come, since a first request that crosses the
close is lost to its client. Busy ones are never closed, nor are those of whom the caller knows better.
"""

from collections.abc import Callable, Hashable, Iterator
from itertools import islice

MUTE_MS = 400.0  # ms; a usual client's first request follows its connecting by a few ms
SILENT_MS = 1800.0  # ms without a first message, or with one half sent; 3 s are what the platform allows
IDLE_MS = 8000.0  # ms without anything owed; usual clients close after 4 s
SPARED_MOST = 8  # clients looked at in one search for room


class Places:
    """The places of one front."""

    def __init__(self, most: int) -> None:
        self.most = most
        self.busy: set[Hashable] = set()
        self.unheard: dict[Hashable, float] = {}  # since when
        self.idle: dict[Hashable, float] = {}
        self.half: dict[Hashable, float] = {}  # since when half a message is there

    def __len__(self) -> int:
        return len(self.busy) + len(self.unheard) + len(self.idle)

    def __iter__(self) -> Iterator[Hashable]:
        return iter([*self.busy, *self.unheard, *self.idle])

    def came(self, who: Hashable, now: float) -> None:
        """Note a new client."""
        self.unheard[who] = now

    def heard(self, who: Hashable, now: float) -> None:
        """Note a whole message of a client's."""
        self.unheard.pop(who, None)
        if who not in self.busy:
            self.idle.pop(who, None)
            self.idle[who] = now

    def owes(self, who: Hashable) -> None:
        """Note that an answer is owed to a client."""
        self.unheard.pop(who, None)
        self.idle.pop(who, None)
        self.busy.add(who)

    def owes_nothing(self, who: Hashable, now: float) -> None:
        """Note that a client has got all that was owed to him."""
        if who in self.busy:
            self.busy.discard(who)
            self.idle[who] = now

    def sent(self, who: Hashable, now: float, half: bool) -> None:
        """Note that something has come from a client, with or without half a message at its end."""
        if half:
            self.half.setdefault(who, now)
        else:
            self.half.pop(who, None)

    def left(self, who: Hashable) -> None:
        """Note that a client has gone, or was closed."""
        self.busy.discard(who)
        for table in (self.unheard, self.idle, self.half):
            table.pop(who, None)

    def for_room(
        self, now: float, spared: Callable[[Hashable], bool] = lambda _: False
    ) -> tuple[Hashable, str] | None:
        """Return whom to close so that another has a place, and why; None if there is nobody.

        `spared` tells who is not as idle as it seems here; it is asked of few.
        """
        for who, why in islice(self._by_need(now), SPARED_MOST):
            if not spared(who):
                return who, why
        return None

    def _by_need(self, now: float) -> Iterator[tuple[Hashable, str]]:
        for who, since in self.unheard.items():
            if now - since <= MUTE_MS:
                break
            yield who, "mute"
        for who in self.idle:
            if who not in self.half:
                yield who, "idle"
        for who, since in self.unheard.items():
            if now - since <= MUTE_MS:
                yield who, "new"

    def overdue(self, now: float) -> Iterator[tuple[Hashable, str]]:
        """Yield who is to be closed by now, and why; the caller may close them as they come."""
        for table, most, why in (
            (self.half, SILENT_MS, "half_sent"),
            (self.unheard, SILENT_MS, "silent"),
            (self.idle, IDLE_MS, "idle"),
        ):
            ripe = []
            for who, since in table.items():
                if now - since <= most:
                    break  # those behind came later
                ripe.append(who)
            for who in ripe:
                if who not in self.busy and who in table:
                    yield who, why
