"""Defects planted in quiescence, and after how many simulated days each is found.

`tests/support/clearance_defects.py [DAYS]` prints the table.
"""

import search_paths  # noqa: F401 - makes imports work when run as a script

# isort: split

import sys
from functools import partial

from clearance_play import Play
from planted import Line, broken, planted, row

from fennelwind.quiescence.acknowledgements import Acknowledgements
from fennelwind.quiescence.in_flight import InFlightTracker
from fennelwind.quiescence.registered_controllers import ControllerRegistry
from fennelwind.shards.routing import Routing

CONTROLLER_STATE = Acknowledgements._controller_state
DEFECTS = {
    "an acknowledgement counts for requests that are younger than its view": [
        Line(
            CONTROLLER_STATE,
            "if view < request.since",
            "if False",
        )
    ],
    "a controller without an acknowledgement has nothing open": [
        Line(
            CONTROLLER_STATE,
            "if latest is None:\n        return pb.Heard.SILENT",
            "if latest is None:\n        return pb.Heard.CLEARED",
        )
    ],
    "an acknowledgement's view of tables counts for replicas as well": [
        Line(
            CONTROLLER_STATE,
            "latest.table_index if request.table else latest.replica_revision",
            "max(latest.table_index, latest.replica_revision)",
        )
    ],
    "the registry counts from its first entry on": [
        Line(ControllerRegistry.is_complete, "0 < self.complete_from_ms <= clock_ms", "True")
    ],
    "a registry from before the request is used": [
        Line(Acknowledgements.evaluate, "request.since > index or ", "")
    ],
    "a controller that is silent between two renewals is removed": [
        Line(
            ControllerRegistry.expire_due,
            "+ self.silence_timeout_ms <=",
            "+ self.silence_timeout_ms // 10 <=",
        )
    ],
    "a new incarnation takes the place of the one before": [
        Line(
            ControllerRegistry._register,
            "self.revision = at.index\n",
            "self.revision = at.index\n"
            "    self.controllers = {\n"
            "        n: one for n, one in self.controllers.items() if one.name != request.name\n"
            "    }\n",
        )
    ],
    "what is in flight is not in the acknowledgement": [
        Line(
            InFlightTracker.next_acknowledgement,
            "sorted(pair for pair in self.quiesced_tables if pair in self._open_count)",
            "[]",
        )
    ],
    "a query whose answer nobody waits for is over": [
        Line(Routing.attempt_ended, "self.in_flight is not None and until", "False")
    ],
    "a query is over with its client's answer": [
        Line(
            Routing.query_ended,
            "self._named_by_query.pop(query, None)",
            "if self.in_flight is not None:\n        self.in_flight.attempt_ended((query, 0))\n"
            "    self._named_by_query.pop(query, None)",
        )
    ],
    "an older view is taken": [
        Line(
            InFlightTracker.update_tables,
            "index >= self.table_index",
            "True",
            "self.table_index = index",
            "self.table_index = max(index, self.table_index)",
        )
    ],
    "a view that is cut counts as complete": [
        Line(InFlightTracker.next_acknowledgement, " or not is_complete", "")
    ],
    "queries of shards that the record does not know are not kept away": [
        Line(Routing.may_send, "self._named_by_query.get(query, shards)", "shards")
    ],
    "tables are told apart by case": [
        Line(Routing._quiesced_engines, 's.partition("/")[0].lower()', 's.partition("/")[0].upper()')
    ],
}


def find_defect(title: str, days: int) -> tuple[int, str] | None:
    """Return after how many days a defect is found, and its error; None: not found."""
    with planted(DEFECTS[title]):
        return broken(partial(Play(seed).play) for seed in range(days))


if __name__ == "__main__":
    for title in DEFECTS:
        row(title, *(find_defect(title, int(sys.argv[1]) if sys.argv[1:] else 200) or ("not found", "")))
