"""Dispatch queue: dispatch targets, the order of queued queries, and the order of a key."""

import dataclasses

from conftest import LOOKUP, Drive, of, sends

from fennelwind import policy

SERIAL = dataclasses.replace(LOOKUP, is_ordered_by_key=True)


def full_house(drive, engines=1):
    """Put queries on every engine until nothing more leaves; return the held one's id."""
    n = 100
    while sends(drive.ask(n)):
        n += 1
    return n


def test_dispatch_target_is_arrival_plus_objective_minus_mean_time():
    drive = Drive()
    drive.ask(1, work=100.0)
    query = drive.gateway.queries[1]
    assert query.dispatch_target_ms == drive.now + 800.0 - drive.gateway.estimates.mean_time_ms[0]
    assert drive.gateway.estimates.mean_time_ms[0] == 100.0


def test_queued_queries_leave_by_rising_dispatch_target():
    drive = Drive(engines=1)
    held = full_house(drive)
    drive.ask(held + 1, cls=1, work=4000.0)  # its aim lies far later
    drive.step(after=5.0)
    drive.ask(held + 2)
    assert sends(drive.answer(100)) == [(held, "e0")]
    assert sends(drive.answer(101)) == [(held + 2, "e0")]


def test_late_queries_lead_by_priority_weight():
    rich = dataclasses.replace(LOOKUP, priority_weight=5.0, latency_objective_ms=900.0)
    drive = Drive(engines=1, classes=(LOOKUP, rich))
    held = full_house(drive)
    drive.ask(held + 1, cls=1)  # a later target, but worth more
    drive.gateway.queries[held].dispatch_target_ms = drive.gateway.queries[held + 1].dispatch_target_ms = (
        drive.now - 1.0
    )
    assert sends(drive.answer(100)) == [(held + 1, "e0")]


def test_a_key_keeps_its_order_and_is_held_after_an_unknown_outcome():
    drive = Drive(classes=(SERIAL,), unresolved_hold_ms=300.0, max_attempts=1)
    assert sends(drive.ask(1, key="k"))
    assert not sends(drive.ask(2, key="k"))
    assert sends(drive.ask(3, key="other"))
    assert of(drive.answer(1, "timeout"), policy.RejectQuery)
    assert not sends(drive.run(275.0))
    assert [q for q, _ in sends(drive.run(50.0))] == [2]


def test_order_of_a_key_holds_until_the_last_outcome_is_in():
    drive = Drive(classes=(SERIAL,))
    drive.ask(1, key="k")
    drive.ask(2, key="k")
    assert not sends(drive.step(policy.ClientDisconnected(1)))
    assert [q for q, _ in sends(drive.answer(1, "ok", finished=True))] == [2]


def test_a_query_that_ends_out_of_turn_lets_the_next_of_its_key_follow():
    drive = Drive(classes=(SERIAL,))
    drive.ask(1, key="k")
    drive.ask(2, key="k")
    drive.ask(3, key="k")
    drive.step(policy.ClientDisconnected(2))
    assert [q for q, _ in sends(drive.answer(1))] == [3]
