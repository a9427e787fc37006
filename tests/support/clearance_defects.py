"""Defects planted in clearances, and after how many days of play each is found.

`tests/support/clearance_defects.py [DAYS]` prints the table.
"""

import search_paths  # noqa: F401 - for a play that is run by hand

# isort: split

import sys
from functools import partial

from clearance_play import Play
from planted import Line, broken, planted, row

from fennelwind.quiescence.acknowledgements import Words
from fennelwind.quiescence.in_flight import Book
from fennelwind.quiescence.registered_controllers import RollMachine
from fennelwind.shards.routing import Routing

STATE_OF = Words._state_of
DEFECTS = {
    "a word counts for wishes that are younger than its view": [
        Line(
            STATE_OF,
            "said is None or (said.tables if wish.table else said.copies) < wish.since",
            "said is None",
        )
    ],
    "who has said nothing has nothing open": [
        Line(STATE_OF, "if said is None or", "if said is None:\n        return Heard.CLEARED\n    if")
    ],
    "a word's view of tables counts for copies as well": [
        Line(STATE_OF, "(said.tables if wish.table else said.copies)", "max(said.tables, said.copies)")
    ],
    "the roll counts from its first entry on": [
        Line(RollMachine.sure, "0 < self.sure_ms <= clock_ms", "True")
    ],
    "a roll from before the wish is asked": [Line(Words.hears, "wish.since > index or ", "")],
    "who is silent between two renewals is forgotten": [
        Line(RollMachine.pass_time, "+ self.forget_ms <=", "+ self.forget_ms // 10 <=")
    ],
    "a new life takes the place of the one before": [
        Line(
            RollMachine._sign_on,
            "self.revision = at.index\n",
            "self.revision = at.index\n"
            "    self.lives = {n: life for n, life in self.lives.items() if life.name != told.name}\n",
        )
    ],
    "what is open is not in the word": [
        Line(Book.word, "sorted(pair for pair in self.quiet if pair in self._count)", "[]")
    ],
    "a query whose answer nobody waits for is over": [
        Line(Routing.attempt_ended, "self.opened is not None and until", "False")
    ],
    "a query is over with its client's answer": [
        Line(
            Routing.query_ended,
            "self._named.pop(query, None)",
            "if self.opened is not None:\n        self.opened.ended((query, 0))\n"
            "    self._named.pop(query, None)",
        )
    ],
    "an older view is taken": [
        Line(
            Book.see_tables,
            "index >= self.tables",
            "True",
            "index, frozenset(quiet)",
            "max(index, self.tables), frozenset(quiet)",
        )
    ],
    "a view that is cut counts as whole": [Line(Book.word, " or not all(self._whole)", "")],
    "queries of shards that the record does not know are not kept away": [
        Line(Routing.may_send, "self._named.get(query, shards)", "shards")
    ],
    "tables are told apart by case": [
        Line(Routing._kept_away, 's.partition("/")[0].lower()', 's.partition("/")[0].upper()')
    ],
}


def found(title: str, days: int) -> tuple[int, str] | None:
    """Return after how many days a defect was found, and how."""
    with planted(DEFECTS[title]):
        return broken(partial(Play(seed).play) for seed in range(days))


if __name__ == "__main__":
    for each in DEFECTS:
        row(each, *(found(each, int(sys.argv[1]) if sys.argv[1:] else 200) or ("not found", "")))
