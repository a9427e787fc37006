"""Admission: answers in time, late dispatch and rejection."""

import dataclasses

import pytest
from conftest import LOOKUP, Drive, of, sends

from fennelwind import policy


def full_house(drive, engines=1):
    """Put queries on every engine until nothing more leaves; return the held one's id."""
    n = 100
    while sends(drive.ask(n)):
        n += 1
    return n


@pytest.mark.parametrize("left", [0.0, -5.0, 10.0])
def test_a_query_with_no_time_left_is_rejected_at_once(left):
    drive = Drive()
    assert of(drive.ask(1, left=left), policy.RejectQuery)
    assert not drive.gateway.queries


def test_a_queued_query_is_answered_before_its_deadline():
    drive = Drive(engines=1, entries=(policy.EngineEndpoint("e0", state="draining"),))
    assert not sends(drive.ask(1, cls=1, work=400.0))
    actions = drive.run(15000.0)
    assert [a.query for a in of(actions, policy.RejectQuery)] == [1]
    assert not drive.gateway.queries and not sends(actions)


def test_nothing_is_dispatched_for_a_disconnected_client():
    drive = Drive(engines=1, entries=(policy.EngineEndpoint("e0", state="draining"),))
    drive.ask(1)
    assert not of(drive.step(policy.ClientDisconnected(1)), policy.RejectQuery)
    assert not sends(drive.step(policy.EngineListUpdate("delta", (policy.EngineEndpoint("e0"),))))


def test_queries_are_answered_without_any_engine():
    drive = Drive(entries=(policy.EngineEndpoint("e0", state="gone"),))
    assert not sends(drive.ask(1))
    assert len(of(drive.run(4000.0), policy.RejectQuery)) == 1


def test_a_queued_query_unlikely_to_be_in_time_is_rejected_early():
    """Under overload, work for answers that come late is taken from those that could be in time."""
    drive = Drive(engines=1)
    held = full_house(drive)  # its aim is 800 away and it needs 100 at best
    actions = drive.run(700.0)
    assert [a.query for a in of(actions, policy.RejectQuery)] == [held]


def past_its_objective(**changes):
    """Return a drive whose only query ran beyond its objective, and the engine that it ran at."""
    late = dataclasses.replace(LOOKUP, late_weight_share=0.4, client_timeout_ms=6000.0)
    elsewhere = dataclasses.replace(LOOKUP, zones=(9,))
    drive = Drive(engines=2, classes=(dataclasses.replace(late, **changes), elsewhere))
    first = sends(drive.ask(1, left=6000.0))[0][1]
    drive.step(after=1500.0)
    return drive, first


def test_a_query_past_its_objective_is_retried_where_a_late_answer_has_worth():
    """Found on calm days: one called off as slow was refused, though engines had room and time was left."""
    drive, first = past_its_objective()
    again = sends(drive.step(policy.AttemptEnded(1, 0, first, "cancelled", 1500.0, False)))
    assert len(again) == 1 and again[0][0] == 1 and again[0][1] != first


def test_a_query_past_its_objective_is_rejected_at_once_where_a_late_answer_has_none():
    drive, first = past_its_objective(late_weight_share=0.0)
    actions = drive.step(policy.AttemptEnded(1, 0, first, "cancelled", 1500.0, False))
    assert not sends(actions) and of(actions, policy.RejectQuery)


def test_a_query_past_its_objective_gives_way_to_whatever_is_queued():
    drive, first = past_its_objective()
    drive.ask(2, cls=1)  # held, as no engine is permitted to it
    assert drive.gateway.queries[2].is_queued
    actions = drive.step(policy.AttemptEnded(1, 0, first, "cancelled", 1500.0, False))
    assert not sends(actions) and [action.query for action in of(actions, policy.RejectQuery)] == [1]
