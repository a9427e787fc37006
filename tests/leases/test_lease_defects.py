"""Defects planted in leases on purpose: each is found, by which proof and after how many seeds.

python tests/test_lease_defects.py [--seeds 500] prints the table.
"""

import argparse
from unittest.mock import patch

import pytest
import test_leases
from lease_play import Leader, Play, Violation
from planted import Line, broken, by_model, planted, row
from test_leases import DRIFT_IGNORED, Leases

from fennelwind.leases.fencing import Fenced
from fennelwind.leases.lease_client import Holder
from fennelwind.leases.state_machine import LeaseMachine

SEEDS_MOST = 40  # played for one defect in the tests
NEAR = {  # where the tests begin to play, as most seeds don't meet the defect; the table counts from 1
    "lease counted from the answer": 19,
    "drift ignored": 60,
    "late answer gives what was handed over": 71,
    "no room for a pause between check and effect": 8,
    "guard not asked after a pause": 25,
    "fence counted by task, anew when forgotten": 37,
    "restart taken for the same holder": 57,
    "command about an older fence done": 8,
    "lapse ahead of time": 84,
}
PLAYED_MS = 10_000.0  # ms of each play with faults


def counted(grant):
    """Number fences for each task, and begin anew with a task that was forgotten."""

    def granted(self, at, by, name, task, wish):
        fence = getattr(self, "count", {}).get(id(task), 0) + 1
        self.count = {**getattr(self, "count", {}), id(task): fence}
        self.kept = [*getattr(self, "kept", []), task]  # so that its id stays its own
        told = grant(self, at, by, name, task, wish)
        task.fence = told.fence = fence
        return told

    return patch.object(LeaseMachine, "_grant", granted)


def stale(fact):
    """Tell the last fence though nobody holds the task."""

    def told(self, kind, key):
        self.told = {**getattr(self, "told", {})}
        self.told[key] = fact(self, kind, key) or self.told.get(key, 0)
        return self.told[key]

    return patch.object(LeaseMachine, "fact", told)


COUNTED = [counted(LeaseMachine._grant)]
SAME_FENCE = [
    Line(
        LeaseMachine._grant,
        "by, at.index,",
        "by, task.fence if task.holder == by and task.fence else at.index,",
    )
]
PLAYS = {  # the kind of play, and what is planted
    "lease counted from the answer": (
        "plain",
        [Line(Holder._told, "is_of_a_queue = (", "sent.at = now\n    is_of_a_queue = (")],
    ),
    "drift ignored": ("plain", DRIFT_IGNORED),
    "no room for a pause between check and effect": (
        "plain",
        [Line(Holder.__init__, "= me, drift, pause_ms", "= me, drift, 0.0")],
    ),
    "late answer gives what was handed over": (
        "plain",
        [
            Line(Holder._answered, "task is not None and task.epoch == epoch", "task is not None"),
            Line(
                Holder._told,
                "is_of_a_queue = (",
                "task.phase = HELD if task.phase == ENDING and told.state == pb.Told.HELD else task.phase\n"
                "    is_of_a_queue = (",
            ),
        ],
    ),
    "handed over while acts are under way": (
        "plain",
        [
            Line(Holder._due_at, "task.phase == ENDING and task.fence and task.guard.acts", "False"),
            Line(Holder._asks, "or task.phase == ENDING and task.fence and task.guard.acts", ""),
            patch.object(Holder, "_busy", lambda self: False),
        ],
    ),
    "offer taken for a lease": (
        "plain",
        [
            Line(
                Holder._confirm,
                "task.phase, task.ask_at = WANTING, -math.inf",
                "task.fence, task.phase = 1, HELD; task.guard.allow(1, math.inf, task.term_ms)",
            )
        ],
    ),
    "guard not asked after a pause": (
        "plain",
        [patch.object(Play, "may_go_on", lambda self, guard, now, act: True)],
    ),
    "resource checks no fence, pauses over the term": (
        "fences",
        [patch.object(Fenced, "show", lambda self, task, fence: None)],
    ),
    "new leader's clock ahead of the log": (
        "plain",
        [Line(Leader.change, "self.stamped", "self.stamped + self.play.random.randint(0, 3000)")],
    ),
    "time without a leader counted": (
        "plain",
        [Line(Leader.change, "self.play.now", "self.play.now - 1500.0")],
    ),
    "fence counted by task, anew when forgotten": ("fences", COUNTED),
    "restart taken for the same holder": (
        "fences",
        [
            Line(LeaseMachine.apply, "Life(asked.by.name, asked.by.life)", 'Life(asked.by.name, b"")'),
            Line(LeaseMachine.offers, "get(who, ())", 'get(Life(who.name, b""), ())'),
        ],
    ),
    "gained again under the same fence, in play": ("plain", SAME_FENCE),
    "command about an older fence done": (
        "plain",
        [Line(LeaseMachine._ask, " or task.fence != told.fence", "")],
    ),
    "lapse ahead of time": (
        "plain",
        [
            Line(
                LeaseMachine._ends,
                "return task.until_ms",
                "return task.until_ms - (400 if task.fence else 0)",
            )
        ],
    ),
}
STATEFUL = {
    "renewal makes a lease shorter": [
        Line(LeaseMachine._grant, "kept = task.until_ms if task.fence else 0", "kept = 0")
    ],
    "passed-over forgotten in a snapshot": [
        Line(LeaseMachine.restore, "for aside in told.asides", "for aside in ()")
    ],
    "fence told though nobody holds": [stale(LeaseMachine.fact)],
    "offered to one who is passed over": [
        patch.object(LeaseMachine, "_able", lambda self, at, task, who: True)
    ],
    "fence reused": COUNTED,
}
ALONE = {  # by a test of its own
    "order of a queue forgotten in a snapshot": (
        [
            Line(
                LeaseMachine.restore,
                "in told.waiters",
                "in sorted(told.waiters, key=lambda one: one.who.name)",
            )
        ],
        test_leases.test_a_snapshot_keeps_the_order_of_a_queue,
    ),
    "gained again under the same fence": (
        SAME_FENCE,
        test_leases.test_a_give_up_that_comes_late_does_not_end_what_was_gained_again,
    ),
    "lost place in a queue not asked for again": (
        [Line(Holder._answered, "current and len(waiting) != answer.waits", "False")],
        test_leases.test_a_place_that_was_lost_is_asked_for_again,
    ),
    "late word of a queue hides what is held": (
        [
            Line(Holder._told, "return  # a late answer to an ask from before", "task.phase = WAITING  #"),
            Line(Holder._unwant, "if task.fence and task.phase != ENDING:", "if task.phase == HELD:"),
        ],
        test_leases.test_a_late_word_of_a_queue_does_not_hide_what_is_held_since,
    ),
    "hand-over on its way taken back": (
        [patch.object(Holder, "_unanswered", lambda self: setattr(self, "_out", None))],
        test_leases.test_a_spare_lease_that_was_offered_without_an_answer_is_handed_over_for_good,
    ),
    "lost offers held against controllers": (
        [Line(LeaseMachine._lapse, "if task.fence:", "if True:")],
        test_leases.test_an_offer_is_one_waiters_and_goes_on_if_it_is_not_confirmed,
    ),
}


def by_play(name: str, most: int, first: int = 1) -> tuple[int, str] | None:
    """Return after how many seeds from the first on a defect is found, and what was said; None: by none."""
    kind, changes = PLAYS[name]
    with planted(changes):
        return broken(
            (Play(seed, kind, played_ms=PLAYED_MS).run for seed in range(first, first + most)), Violation
        )


def by_rules(name: str, most: int = 300) -> tuple[int, str] | None:
    """Return after how many examples the plain model of test_leases.py finds a defect."""
    with planted(STATEFUL[name]):
        return by_model(Leases, most, 30)


def by_test(name: str) -> tuple[int, str] | None:
    """Tell whether the test that is named finds a defect."""
    changes, test = ALONE[name]
    with planted(changes):
        return broken([lambda: test(test_leases.Desk())], AssertionError)


@pytest.mark.parametrize("name", [name for name in PLAYS if "in play" not in name])
def test_a_planted_defect_is_found_in_play(name):
    assert by_play(name, SEEDS_MOST, NEAR.get(name, 1))


@pytest.mark.parametrize("name", STATEFUL)
def test_a_planted_defect_is_found_by_the_plain_rules(name):
    assert by_rules(name)


@pytest.mark.parametrize("name", ALONE)
def test_a_planted_defect_is_found_by_a_test_of_its_own(name):
    assert by_test(name)


def main() -> None:
    """Print the table."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", type=int, default=500)
    given = parser.parse_args()
    for name, (kind, _) in PLAYS.items():
        row(name, f"lease_play, {kind}", *(by_play(name, given.seeds) or ("not found", "")))
    for name in STATEFUL:
        row(name, "plain model", *(by_rules(name) or ("not found", "")))
    for name in ALONE:
        row(name, ALONE[name][1].__name__, *(by_test(name) or ("not found", "")))


if __name__ == "__main__":
    main()
