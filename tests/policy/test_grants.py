"""Resource grants: memory and priority."""

import pytest
from conftest import Drive, of

from fennelwind import policy
from fennelwind.policy import grants


@pytest.mark.parametrize(
    "has_memory_grants,memory,granted",
    [(True, 100.0, [100.0 * grants.GRANT_FACTOR]), (True, 0.0, []), (False, 100.0, [])],
)
def test_grants_exceed_the_estimate_to_allow_for_low_estimates(has_memory_grants, memory, granted):
    drive = Drive(has_memory_grants=has_memory_grants)
    actions = drive.ask(1, estimated_memory_mb=memory)
    assert [a.memory_mb for a in of(actions, policy.SetGrant)] == granted


def test_short_queries_have_the_highest_priority_and_late_ones_the_lowest():
    """Where engines schedule by priority, short queries must not wait for long or late ones."""
    drive = Drive(engines=2, has_priorities=True, can_cancel=False, allows_concurrent_attempts=False)
    drive.ask(1, cls=1, work=8000.0)
    grants_set = of(drive.ask(2, work=20.0), policy.SetGrant)
    assert [(t.query, t.priority) for t in grants_set] == [(2, 3)]
    assert [(t.query, t.priority) for t in of(drive.advance(1500.0), policy.SetGrant)] == [(2, 0)]


def test_priorities_are_not_set_where_engines_do_not_support_them():
    drive = Drive(engines=2)
    assert not of(drive.ask(1, work=20.0), policy.SetGrant) and not of(drive.advance(1500.0), policy.SetGrant)


@pytest.mark.parametrize("swaps,factor", [(True, grants.SWAPPING_GRANT_FACTOR), (False, grants.GRANT_FACTOR)])
def test_grants_are_larger_where_only_memory_in_use_counts(swaps, factor):
    """Where unused granted memory costs nothing, a larger grant only makes spills less likely."""
    drive = Drive(has_memory_grants=True, swaps_when_short_of_memory=swaps)
    assert [t.memory_mb for t in of(drive.ask(1, estimated_memory_mb=100.0), policy.SetGrant)] == [
        100.0 * factor
    ]
    assert grants.SWAPPING_GRANT_FACTOR > grants.GRANT_FACTOR


def test_grants_are_smaller_where_queries_queue_for_memory():
    granted_mb = {}
    for queues in (False, True):
        drive = Drive(has_memory_grants=True, queues_when_short_of_memory=queues)
        granted_mb[queues] = next(
            a.memory_mb for a in drive.ask(1, estimated_memory_mb=100.0) if isinstance(a, policy.SetGrant)
        )
    assert granted_mb == {False: 250.0, True: 160.0}
