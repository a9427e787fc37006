"""Admission: rejection in time, and late dispatch."""

import dataclasses

import pytest
from conftest import LOOKUP, Drive, of, sends

from fennelwind import policy


def fill_engines(drive, engines=1):
    """Send queries until one is queued; return its number."""
    query = 100
    while sends(drive.ask(query)):
        query += 1
    return query


@pytest.mark.parametrize("time_left", [0.0, -5.0, 10.0])
def test_a_query_with_no_time_left_is_rejected_at_once(time_left):
    drive = Drive()
    assert of(drive.ask(1, time_left=time_left), policy.RejectQuery)
    assert not drive.gateway.queries


def test_a_queued_query_is_answered_before_its_deadline():
    drive = Drive(engines=1, entries=(policy.EngineEndpoint("e0", state="draining"),))
    assert not sends(drive.ask(1, cls=1, work=400.0))
    actions = drive.advance(15000.0)
    assert [a.query for a in of(actions, policy.RejectQuery)] == [1]
    assert not drive.gateway.queries and not sends(actions)


def test_nothing_is_dispatched_for_a_disconnected_client():
    drive = Drive(engines=1, entries=(policy.EngineEndpoint("e0", state="draining"),))
    drive.ask(1)
    assert not of(drive.step(policy.ClientDisconnected(1)), policy.RejectQuery)
    assert not sends(drive.step(policy.EngineListUpdate("delta", (policy.EngineEndpoint("e0"),))))


def test_queries_are_rejected_in_time_without_any_engine():
    drive = Drive(entries=(policy.EngineEndpoint("e0", state="gone"),))
    assert not sends(drive.ask(1))
    assert len(of(drive.advance(4000.0), policy.RejectQuery)) == 1


def test_queued_query_unlikely_to_meet_its_objective_is_rejected_early():
    """Under overload, work on late answers uses capacity that queries still in time need."""
    drive = Drive(engines=1)
    queued = fill_engines(drive)  # its objective is 800 ms away, and it takes at least 100 ms
    actions = drive.advance(700.0)
    assert [a.query for a in of(actions, policy.RejectQuery)] == [queued]


def drive_past_objective(**changes):
    """Return a driver whose only query has passed its objective while running, and the query's engine."""
    late = dataclasses.replace(LOOKUP, late_weight_share=0.4, client_timeout_ms=6000.0)
    elsewhere = dataclasses.replace(LOOKUP, zones=(9,))
    drive = Drive(engines=2, classes=(dataclasses.replace(late, **changes), elsewhere))
    first = sends(drive.ask(1, time_left=6000.0))[0][1]
    drive.step(after=1500.0)
    return drive, first


def test_query_past_its_objective_is_retried_where_a_late_answer_has_weight():
    """Guards against rejecting a query cancelled as slow though engines have capacity and time is left."""
    drive, first = drive_past_objective()
    retried = sends(drive.step(policy.AttemptEnded(1, 0, first, "cancelled", 1500.0, False)))
    assert len(retried) == 1 and retried[0][0] == 1 and retried[0][1] != first


def test_query_past_its_objective_is_rejected_at_once_where_a_late_answer_has_no_weight():
    drive, first = drive_past_objective(late_weight_share=0.0)
    actions = drive.step(policy.AttemptEnded(1, 0, first, "cancelled", 1500.0, False))
    assert not sends(actions) and of(actions, policy.RejectQuery)


def test_query_past_its_objective_is_not_retried_while_others_are_queued():
    drive, first = drive_past_objective()
    drive.ask(2, cls=1)  # queued, as no engine is permitted for it
    assert drive.gateway.queries[2].is_queued
    actions = drive.step(policy.AttemptEnded(1, 0, first, "cancelled", 1500.0, False))
    assert not sends(actions) and [action.query for action in of(actions, policy.RejectQuery)] == [1]
