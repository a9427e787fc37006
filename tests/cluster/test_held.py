"""Acts of a task: which are over when their call is, and which only their time ends."""

from types import SimpleNamespace

import pytest

from fennelwind.cluster.leased_tasks import HeldLease
from fennelwind.leases.fencing import FencingGuard
from fennelwind.loop import DeadlineExceeded, StreamReset


def held():
    guard = FencingGuard("t")
    guard.grant(7, 60_000.0, 60_000.0)
    tasks = SimpleNamespace(loop=SimpleNamespace(now=lambda: 0.0), post=lambda event: None)
    one = HeldLease.__new__(HeldLease)
    one.tasks, one.loop, one.name, one.guard, one.fencing_token = tasks, tasks.loop, "t", guard, 7
    return one


@pytest.mark.parametrize("error", [DeadlineExceeded(), StreamReset(104, "reset"), TimeoutError()])
def test_an_act_whose_call_brought_no_answer_is_ended_by_its_time(error):
    one = held()
    with pytest.raises(type(error)), one.operation(1000.0):
        raise error
    assert len(one.guard.operations) == 1
    one.guard.remove_expired(1000.0 + one.guard.max_pause_ms + 1.0)
    assert not one.guard.operations


def test_an_act_that_was_told_lost_stays_open_and_one_that_was_answered_does_not():
    one = held()
    with one.operation(1000.0) as act:
        act.is_outcome_unknown = True
    assert len(one.guard.operations) == 1
    with one.operation(1000.0):
        pass
    with pytest.raises(KeyError), one.operation(1000.0):
        raise KeyError  # a defect of the task's own: nothing is under way
    assert len(one.guard.operations) == 1
