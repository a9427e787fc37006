"""Dispatch queue: dispatch targets, the order of queued queries, and the per-key order."""

import dataclasses

from conftest import LOOKUP, Drive, of, sends

from fennelwind import policy

SERIAL = dataclasses.replace(LOOKUP, is_ordered_by_key=True)


def fill_engines(drive, engines=1):
    """Send queries until one is queued; return its number."""
    query = 100
    while sends(drive.ask(query)):
        query += 1
    return query


def test_dispatch_target_is_arrival_plus_objective_minus_mean_time():
    drive = Drive()
    drive.ask(1, work=100.0)
    query = drive.gateway.queries[1]
    assert query.dispatch_target_ms == drive.now + 800.0 - drive.gateway.estimates.mean_time_ms[0]
    assert drive.gateway.estimates.mean_time_ms[0] == 100.0


def test_queued_queries_are_dispatched_by_earliest_target():
    drive = Drive(engines=1)
    queued = fill_engines(drive)
    drive.ask(queued + 1, cls=1, work=4000.0)  # its objective is far later
    drive.step(after=5.0)
    drive.ask(queued + 2)
    assert sends(drive.answer(100)) == [(queued, "e0")]
    assert sends(drive.answer(101)) == [(queued + 2, "e0")]


def test_late_queries_are_dispatched_by_highest_priority_weight():
    heavy = dataclasses.replace(LOOKUP, priority_weight=5.0, latency_objective_ms=900.0)
    drive = Drive(engines=1, classes=(LOOKUP, heavy))
    queued = fill_engines(drive)
    drive.ask(queued + 1, cls=1)  # a later target, but a higher weight
    drive.gateway.queries[queued].dispatch_target_ms = drive.gateway.queries[
        queued + 1
    ].dispatch_target_ms = drive.now - 1.0
    assert sends(drive.answer(100)) == [(queued + 1, "e0")]


def test_a_key_keeps_its_order_and_is_held_after_an_unknown_outcome():
    drive = Drive(classes=(SERIAL,), unresolved_hold_ms=300.0, max_attempts=1)
    assert sends(drive.ask(1, key="k"))
    assert not sends(drive.ask(2, key="k"))
    assert sends(drive.ask(3, key="other"))
    assert of(drive.answer(1, "timeout"), policy.RejectQuery)
    assert not sends(drive.advance(275.0))
    assert [q for q, _ in sends(drive.advance(50.0))] == [2]


def test_next_query_of_a_key_waits_for_the_outcome_of_the_previous_one():
    drive = Drive(classes=(SERIAL,))
    drive.ask(1, key="k")
    drive.ask(2, key="k")
    assert not sends(drive.step(policy.ClientDisconnected(1)))
    assert [q for q, _ in sends(drive.answer(1, "ok", is_final=True))] == [2]


def test_query_removed_out_of_order_does_not_block_the_next_of_its_key():
    drive = Drive(classes=(SERIAL,))
    drive.ask(1, key="k")
    drive.ask(2, key="k")
    drive.ask(3, key="k")
    drive.step(policy.ClientDisconnected(2))
    assert [q for q, _ in sends(drive.answer(1))] == [3]
