"""Days of races between all parts, sampled on the virtual loop, and defects that they have to find."""

from contextlib import nullcontext
from unittest.mock import patch

import pytest
from crossings_play import Play, play

from fennelwind.node import (
    attempt,
    cancellation_queue,
    client_connection,
    executor_pool,
    lifecycle,
    wire_names,
)
from fennelwind.policy import EngineState

SEEDS = range(40)  # days in CI; `python tests/support/crossings_play.py 0 1000` plays more
DAYS_MOST = 40  # in which a planted defect has to be found
RARE = {"window": 280, "two out": 240}  # first of the days for defects that need two rare things at once


def test_days_of_races_break_no_rule():
    found = [f"seed {seed}: {fault}" for seed in SEEDS for fault in play(seed)]
    assert not found, "\n".join(found)


def test_the_same_seed_is_the_same_day():
    def seen():
        day = Play(5)
        faults, record = day.run(), day.record
        asked = [(one.name, one.sent, one.answers) for one in record.asked.values()]
        posted = [(one.first, one.address) for posted in record.posted.values() for one in posted]
        return faults, day.events, asked, posted

    assert seen() == seen()


class Lax(Play):
    """A day on which the controller is told of laxer settings than it is judged by."""

    ceilings, classes_told = {}, {}

    def stated(self):
        return self.settings | {
            "Ceilings": self.settings["Ceilings"] | self.ceilings,
            "Grades": [cls | self.classes_told for cls in self.settings["Grades"]],
        }


def lax(ceilings=None, **classes):
    return type("Lax", (Lax,), {"ceilings": ceilings or {}, "classes_told": classes})


def late_answer(self, number, entry, answer=client_connection.ClientConnection.answer):
    self.frontend.loop.after(120.0, lambda: answer(self, number, entry))


def second_answer(self, number, entry, answer=client_connection.ClientConnection.answer):
    answer(self, number, entry)
    answer(self, number, entry)


def woken_at_once(self, executor, query_id, waiter=None):
    if waiter is not None:
        waiter.wake(True)


def unrested(self, executor, connection, response, check_in=executor_pool.ExecutorPool.check_in):
    check_in(self, executor, connection, response)
    connection.idle_since_ms = 0.0


DEFECTS = {
    "more attempts than are allowed": ("attempts", lax({"MaxAttempts": 6}), nullcontext()),
    "two attempts out where there may be one": ("two out", lax({"ParallelTries": True}), nullcontext()),
    "an unsafe query is sent again after doubt": ("twice", lax(Effect="repeatable"), nullcontext()),
    "a refusal of what may have run": ("refusal", lax(Effect="repeatable"), nullcontext()),
    "a keyed query leaves its group": ("group", lax(Group="all"), nullcontext()),
    "a keyed query is sent again after its window": ("window", lax(MemorySpanMs=4000.0), nullcontext()),
    "a drain is not heard": (
        "drain",
        Play,
        patch.dict(wire_names.ENDPOINT_STATES, terminating=EngineState.READY),
    ),
    "what is called off is not ended": (
        "two out",
        Play,
        patch.object(cancellation_queue.CancellationQueue, "add", woken_at_once),
    ),
    "connections do not rest": (
        "foreign rows",
        Play,
        patch.object(executor_pool.ExecutorPool, "check_in", unrested),
    ),
    "more connections than there is room for": (
        "connections",
        Play,
        patch.object(lifecycle, "EXECUTORS_SHARE", 0.9),
    ),
    "a second final answer": (
        "second answer",
        Play,
        patch.object(client_connection.ClientConnection, "answer", second_answer),
    ),
    "answers go late": (
        "late",
        Play,
        patch.object(client_connection.ClientConnection, "answer", late_answer),
    ),
    "a client's forget is not heard": (
        "client gone",
        Play,
        patch.object(client_connection.ClientConnection, "_handle_notification", lambda *_: None),
    ),
    "the program ends at once": ("lost", Play, patch.object(lifecycle.Node, "shut_down", lambda _: None)),
    "nobody asks whether the client is there before the first byte": (
        "client gone",
        Play,
        patch.object(attempt.Attempt, "_reason_not_to_send", lambda _: ""),
    ),
    "nobody asks whether the window has passed before the first byte": (
        "window",
        Play,
        patch.object(attempt.Attempt, "_reason_not_to_send", lambda _: ""),
    ),
    "an attempt counts as given up while its executor may run it": (
        "two out",
        Play,
        patch.object(attempt, "UNPOLLED_EXPIRY_MS", 0.0),
    ),
    "ids of open requests are kept": (
        "left over",
        Play,
        patch.object(
            client_connection.ClientConnection, "_forget_query", lambda self, _: self._update_idle()
        ),
    ),
}


@pytest.mark.parametrize("defect", DEFECTS)
def test_a_planted_defect_is_found(defect):
    rule, day, change = DEFECTS[defect]
    first = RARE.get(rule, 0)
    days = range(first, first + DAYS_MOST)
    with change:
        assert any(fault.rule == rule for seed in days for fault in day(seed).run())
