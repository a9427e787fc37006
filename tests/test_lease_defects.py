"""Defects planted in leases on purpose: each is found, by which proof and after how many seeds.

python tests/test_lease_defects.py [--seeds 500] prints the table.
"""

import argparse
import math
from unittest import mock

import pytest
import test_leases
from hypothesis import Phase, settings
from hypothesis.stateful import run_state_machine_as_test
from lease_play import Leader, Play, Violation
from test_leases import Leases, without_drift

from fennelwind.leases import holder as h
from fennelwind.leases import leases_pb2 as pb
from fennelwind.leases.guard import Fenced
from fennelwind.leases.holder import Holder
from fennelwind.leases.machine import LeaseMachine, Life

SEEDS_MOST = 40  # played for one defect in the tests
NEAR = {  # where the tests begin to play, as most seeds don't meet the defect; the table counts from 1
    "lease counted from the answer": 19, "drift ignored": 60, "late answer gives what was handed over": 71,
    "no room for a pause between check and effect": 8, "guard not asked after a pause": 25,
    "fence counted by task, anew when forgotten": 37, "restart taken for the same holder": 57,
    "command about an older fence done": 8, "lapse ahead of time": 84}
PLAYED_MS = 10_000.0  # ms of each play with faults


# The holder.

class FromTheAnswer(Holder):
    """Counts a lease from when the answer came."""

    def _told(self, now, sent, name, task, told):
        sent.at = now
        super()._told(now, sent, name, task, told)


def without_pause(life, seed, pause_ms):
    return Holder(life, seed, pause_ms=0.0)


class LateAnswers(Holder):
    """Lets an answer give a lease that was handed over since the question."""

    def _answered(self, now, event):
        sent = self._sent.get(event.token)
        if sent is not None:
            sent.epochs = {name: self._tasks[name].epoch for name in sent.epochs if name in self._tasks}
        super()._answered(now, event)

    def _told(self, now, sent, name, task, told):
        if task.phase == h.ENDING and told.state == pb.Told.HELD:
            task.phase = h.HELD
        super()._told(now, sent, name, task, told)


class TakesBack(Holder):
    """Goes on with a lease though an offer of its to hand it over may still be on its way."""

    def _unanswered(self):
        self._out = None


class HandsOverAtOnce(Holder):
    """Hands over while acts are under way."""

    def _due_at(self, task):
        return task.ask_at

    def _busy(self):
        return False

    def _asks(self, name, task):
        kept, task.guard.acts = task.guard.acts, {}
        ask = super()._asks(name, task)
        task.guard.acts = kept
        return ask


class TrustsOffers(Holder):
    """Takes an offer for a lease."""

    def _confirm(self, name):
        task = self._tasks.get(name)
        if task is not None and task.phase == h.WAITING:
            task.fence, task.phase = 1, h.HELD
            task.guard.allow(1, math.inf, task.term_ms)
        super()._confirm(name)


class HiddenByItsQueue(Holder):
    """Takes a late word of a queue for what holds now."""

    def _told(self, now, sent, name, task, told):
        if task.fence and told.state == pb.Told.WAITING:
            task.phase = h.WAITING
        super()._told(now, sent, name, task, told)

    def _unwant(self, name):
        task = self._tasks[name]
        if task.phase == h.WAITING:
            task.wanted, task.phase, task.ending = False, h.ENDING, "queue"
        super()._unwant(name)


class NeverAsksAgain(Holder):
    """Takes no notice that its place in a queue was lost."""

    def _answered(self, now, event):
        with mock.patch.object(self, "_confirm", lambda name: None):
            super()._answered(now, event)


# The guard and the resource.

class UnaskedGuard(Play):
    """Acts go on without asking the guard again."""

    def may_go_on(self, guard, now, act):
        return True


class Unfenced(Fenced):
    """Takes any fence."""

    def show(self, task, fence):
        pass


# The record.

class JumpingClock(Leader):
    """A new leader begins at what its own clock says, and not at what the log does."""

    def change(self):
        super().change()
        self.base = self.stamped + self.play.random.randint(0, 3000)


class HastyClock(Leader):
    """A new leader counts the time without a leader as well, on a clock that was off."""

    def change(self):
        super().change()
        self.since -= 1500.0


class Counted(LeaseMachine):
    """Numbers fences for each task, and begins anew with a task that was forgotten."""

    def _grant(self, at, by, name, task, wish):
        fence = getattr(self, "count", {}).get(id(task), 0) + 1
        self.count = {**getattr(self, "count", {}), id(task): fence}
        self.kept = [*getattr(self, "kept", []), task]  # so that its id stays its own
        told = super()._grant(at, by, name, task, wish)
        task.fence = told.fence = fence
        return told


class NamesOnly(LeaseMachine):
    """Takes a restarted controller for the holder that it was."""

    def apply(self, at, command, facts):
        asked = pb.LeaseCommand.FromString(command)
        asked.by.life = b""
        return super().apply(at, asked.SerializeToString(), facts)

    def offers(self, who):
        return super().offers(Life(who.name, b""))


class SameFence(LeaseMachine):
    """Gained again by its holder, a lease keeps its fence."""

    def _grant(self, at, by, name, task, wish):
        fence = task.fence if task.holder == by else 0
        told = super()._grant(at, by, name, task, wish)
        task.fence = told.fence = fence or told.fence
        return told


class AnyFence(LeaseMachine):
    """Takes a command about an older fence for one about the present."""

    def _ask(self, at, by, ask):
        told, task = getattr(ask, ask.WhichOneof("what")), self._tasks.get(ask.task)
        if task is not None and getattr(told, "fence", 0):
            told.fence = task.fence
        return super()._ask(at, by, ask)


class Hurried(LeaseMachine):
    """Lets leases lapse a little ahead of time."""

    def _ends(self, kind, name, life):
        at = super()._ends(kind, name, life)
        task = self._tasks.get(name)
        return at - 400 if kind == "task" and task is not None and task.fence else at


class Shortened(LeaseMachine):
    """A renewal with a shorter term than before ends the lease earlier than it was told."""

    def _grant(self, at, by, name, task, wish):
        task.fence = 0
        return super()._grant(at, by, name, task, wish)


class HarshOnOffers(LeaseMachine):
    """Passes over whoever an offer did not reach."""

    def _lapse(self, at, name, task):
        if task.holder is not None and not task.fence:
            self._failed(at, task, task.holder.name)
        super()._lapse(at, name, task)


class AsidesForgotten(LeaseMachine):
    """Its snapshot does not tell who is passed over."""

    def restore(self, data):
        state = pb.LeaseState.FromString(data)
        for task in state.tasks:
            del task.asides[:]
        super().restore(state.SerializeToString())


class OrderForgotten(LeaseMachine):
    """Takes from a snapshot who waits, and not in which order."""

    def restore(self, data):
        state = pb.LeaseState.FromString(data)
        for task in state.tasks:
            waiters = sorted(task.waiters, key=lambda one: one.who.name)
            del task.waiters[:]
            task.waiters.extend(waiters)
        super().restore(state.SerializeToString())


class StaleFact(LeaseMachine):
    """Tells the last fence though nobody holds the task."""

    def fact(self, kind, key):
        self.told = {**getattr(self, "told", {})}
        now = super().fact(kind, key)
        self.told[key] = now or self.told.get(key, 0)
        return self.told[key]


class EndlessQueue(LeaseMachine):
    """Offers a free lease to one who is passed over."""

    def _able(self, at, task, who):
        return True


PLAYS = {  # what is planted, and how it is played: kind, class of the play, its parts
    "lease counted from the answer": ("plain", Play, {"holder": FromTheAnswer}),
    "drift ignored": ("plain", Play, {"holder": without_drift}),
    "no room for a pause between check and effect": ("plain", Play, {"holder": without_pause}),
    "late answer gives what was handed over": ("plain", Play, {"holder": LateAnswers}),
    "handed over while acts are under way": ("plain", Play, {"holder": HandsOverAtOnce}),
    "offer taken for a lease": ("plain", Play, {"holder": TrustsOffers}),
    "guard not asked after a pause": ("plain", UnaskedGuard, {}),
    "resource checks no fence, pauses over the term": ("fences", Play, {"fenced": Unfenced}),
    "new leader's clock ahead of the log": ("plain", Play, {"leader": JumpingClock}),
    "time without a leader counted": ("plain", Play, {"leader": HastyClock}),
    "fence counted by task, anew when forgotten": ("fences", Play, {"machine": Counted}),
    "restart taken for the same holder": ("fences", Play, {"machine": NamesOnly}),
    "gained again under the same fence, in play": ("plain", Play, {"machine": SameFence}),
    "command about an older fence done": ("plain", Play, {"machine": AnyFence}),
    "lapse ahead of time": ("plain", Play, {"machine": Hurried}),
}
STATEFUL = {
    "renewal makes a lease shorter": Shortened,
    "passed-over forgotten in a snapshot": AsidesForgotten,
    "fence told though nobody holds": StaleFact,
    "offered to one who is passed over": EndlessQueue,
    "fence reused": Counted,
}
ALONE = {  # by a test of its own
    "order of a queue forgotten in a snapshot": (
        "fennelwind.leases.machine.LeaseMachine", OrderForgotten,
        test_leases.test_a_snapshot_keeps_the_order_of_a_queue),
    "gained again under the same fence": (
        "test_leases.LeaseMachine", SameFence,
        test_leases.test_a_give_up_that_comes_late_does_not_end_what_was_gained_again),
    "lost place in a queue not asked for again": (
        "fennelwind.leases.holder.Holder", NeverAsksAgain,
        test_leases.test_a_place_that_was_lost_is_asked_for_again),
    "late word of a queue hides what is held": (
        "fennelwind.leases.holder.Holder", HiddenByItsQueue,
        test_leases.test_a_late_word_of_a_queue_does_not_hide_what_is_held_since),
    "hand-over on its way taken back": (
        "fennelwind.leases.holder.Holder", TakesBack,
        test_leases.test_a_spare_lease_that_was_offered_without_an_answer_is_handed_over_for_good),
    "lost offers held against controllers": (
        "test_leases.LeaseMachine", HarshOnOffers,
        test_leases.test_an_offer_is_one_waiters_and_goes_on_if_it_is_not_confirmed),
}


def seeds_until_found(name: str, most: int, first: int = 1) -> tuple[int, str] | None:
    """Return the first seed that finds a defect, and what it said; None: none of them."""
    kind, play, parts = PLAYS[name]
    for seed in range(first, first + most):
        try:
            play(seed, kind, played_ms=PLAYED_MS, **parts).run()
        except Violation as exc:
            return seed, str(exc)
    return None


def found_by_rules(machine: type[LeaseMachine], examples: int) -> bool:
    """Tell whether the plain model of test_leases.py finds a defect."""
    with mock.patch("test_leases.LeaseMachine", machine):
        try:
            run_state_machine_as_test(Leases, settings=settings(
                max_examples=examples, stateful_step_count=30, deadline=None, derandomize=True, database=None,
                report_multiple_bugs=False, phases=[Phase.generate]))
        except AssertionError:
            return True
    return False


def found_alone(name: str) -> bool:
    """Tell whether the test that is named finds a defect."""
    where, defect, test = ALONE[name]
    with mock.patch(where, defect):
        try:
            test(test_leases.Desk())
        except AssertionError:
            return True
    return False


@pytest.mark.parametrize("name", [name for name in PLAYS if "in play" not in name])
def test_a_planted_defect_is_found_in_play(name):
    assert seeds_until_found(name, SEEDS_MOST, NEAR.get(name, 1)) is not None


@pytest.mark.parametrize("name", STATEFUL)
def test_a_planted_defect_is_found_by_the_plain_rules(name):
    assert found_by_rules(STATEFUL[name], 120)


@pytest.mark.parametrize("name", ALONE)
def test_a_planted_defect_is_found_by_a_test_of_its_own(name):
    assert found_alone(name)


def main() -> None:
    """Print the table."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", type=int, default=500)
    given = parser.parse_args()
    for name in PLAYS:
        found = seeds_until_found(name, given.seeds)
        print(f"| {name} | lease_play, {PLAYS[name][0]} | {found[0] if found else 'not found'} | "
              f"{found[1].split(': ', 1)[1] if found else ''} |")
    for name, machine in STATEFUL.items():
        print(f"| {name} | plain model | {'found' if found_by_rules(machine, 120) else 'not found'} | |")
    for name, (_, _, test) in ALONE.items():
        print(f"| {name} | {test.__name__} | {'found' if found_alone(name) else 'not found'} | |")


if __name__ == "__main__":
    main()
