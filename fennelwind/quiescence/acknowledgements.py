"""What controllers have said, at the member that leads, and what follows from it for a wish. No I/O.

A word is soft: it is in one member's memory alone, lost with it, and told again. It says a thing that stays
true: by this view the controller starts nothing more where the view says so, and only these queries of its
own are left there. So an old word is never wrong, only poor: it counts for wishes as old as its view and for
no other. Which words are missing is told by the roll, which is on the record.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from fennelwind.quiescence import clearance_pb2 as pb
from fennelwind.quiescence.registered_controllers import RollMachine

OPEN_MOST = 256  # pairs in one word; who has more open says nothing until it has fewer
WISHES_MOST = 1024  # in one question
NAMES_MOST = 8  # of those who are waited for, in an answer

Heard = pb.Heard


@dataclass(slots=True, frozen=True)
class _Said:
    order: int
    copies: int
    tables: int
    open_copies: frozenset[tuple[str, str]]
    open_tables: frozenset[tuple[str, str]]


class Words:
    """The words at one member."""

    def __init__(self) -> None:
        self.said: dict[int, _Said] = {}  # the last of each number on the roll

    def take(self, word: pb.Word, roll: RollMachine) -> bool:
        """Keep a word; tell whether it was of somebody on the roll, within the bounds, and news."""
        if word.number not in roll.lives or len(word.open_copies) + len(word.open_tables) > OPEN_MOST:
            return False
        last = self.said.get(word.number)
        if last is not None and last.order >= word.order:
            return False  # late or doubled
        if last is None and len(self.said) >= len(roll.lives):
            self.said = {number: said for number, said in self.said.items() if number in roll.lives}
        self.said[word.number] = _Said(
            word.order, word.copies, word.tables, _pairs(word.open_copies), _pairs(word.open_tables)
        )
        return True

    def hears(self, wishes: Iterable[pb.Wish], roll: RollMachine, index: int, clock_ms: int) -> pb.Heard:
        """Return how each wish stands by the roll as of entry `index` and the record's clock then.

        A roll of an entry ahead of the wish may lack controllers who send by a view from before it.
        """
        heard = pb.Heard(index=index)
        for wish in wishes:
            state, names = self._state(wish, roll)
            if wish.since > index or not roll.sure(clock_ms):
                state = Heard.SILENT if state != Heard.BLIND else state
            heard.states.add(state=state, names=sorted(names)[:NAMES_MOST])
        return heard

    def _state(self, wish: pb.Wish, roll: RollMachine) -> tuple[int, set[str]]:
        found: dict[int, set[str]] = {}
        for number, life in roll.lives.items():
            found.setdefault(self._state_of(wish, number, life.routes), set()).add(life.name)
        for state in (Heard.BLIND, Heard.SILENT, Heard.OPEN):
            if state in found:
                return state, found[state]
        return Heard.CLEARED, set()

    def _state_of(self, wish: pb.Wish, number: int, routes: bool) -> int:
        if not routes:
            return Heard.BLIND
        said = self.said.get(number)
        if said is None or (said.tables if wish.table else said.copies) < wish.since:
            return Heard.SILENT
        left = said.open_tables if wish.table else said.open_copies
        return Heard.OPEN if (wish.name, wish.engine) in left else Heard.CLEARED


def _pairs(told: Iterable[pb.Pair]) -> frozenset[tuple[str, str]]:
    return frozenset((pair.name, pair.engine) for pair in told)
