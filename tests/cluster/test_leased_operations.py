"""Leased operations: which end with their call, and which stay open until their deadline."""

from types import SimpleNamespace

import pytest

from fennelwind.cluster.leased_tasks import HeldLease
from fennelwind.leases.fencing import FencingGuard
from fennelwind.loop import DeadlineExceeded, StreamReset


def make_lease():
    guard = FencingGuard("t")
    guard.grant(7, 60_000.0, 60_000.0)
    tasks = SimpleNamespace(loop=SimpleNamespace(now=lambda: 0.0), post=lambda event: None)
    lease = HeldLease.__new__(HeldLease)
    lease.tasks, lease.loop, lease.name, lease.guard, lease.fencing_token = tasks, tasks.loop, "t", guard, 7
    return lease


@pytest.mark.parametrize("error", [DeadlineExceeded(), StreamReset(104, "reset"), TimeoutError()])
def test_unanswered_operation_stays_open_until_its_deadline(error):
    lease = make_lease()
    with pytest.raises(type(error)), lease.operation(1000.0):
        raise error
    assert len(lease.guard.operations) == 1
    lease.guard.remove_expired(1000.0 + lease.guard.max_pause_ms + 1.0)
    assert not lease.guard.operations


def test_only_operations_with_unknown_outcome_stay_open():
    lease = make_lease()
    with lease.operation(1000.0) as operation:
        operation.is_outcome_unknown = True
    assert len(lease.guard.operations) == 1
    with lease.operation(1000.0):
        pass
    with pytest.raises(KeyError), lease.operation(1000.0):
        raise KeyError  # a defect of the task: no call is in progress
    assert len(lease.guard.operations) == 1
