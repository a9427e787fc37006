"""Retries: idempotency, the retry budget, timeouts and hedged requests."""

import dataclasses

import pytest
from conftest import LOOKUP, Drive, of, sends

from fennelwind import policy

UNSAFE = dataclasses.replace(LOOKUP, idempotency="unsafe")
KEYED = dataclasses.replace(
    LOOKUP, idempotency="keyed", deduplication_scope="zone", deduplication_window_ms=2000.0
)


@pytest.mark.parametrize(
    "status,is_retried",
    [
        ("connect_failed", True),
        ("full", True),
        ("error", False),
        ("reset", False),
        ("timeout", False),
        ("cancelled", False),
    ],
)
def test_non_idempotent_query_is_retried_only_when_proven_not_to_have_run(status, is_retried):
    drive = Drive(classes=(UNSAFE,))
    drive.ask(1)
    actions = drive.answer(1, status)
    assert bool(sends(actions)) == is_retried
    assert bool(of(actions, policy.FailQuery)) != is_retried and not of(actions, policy.RejectQuery)


def test_no_concurrent_attempts_where_not_allowed():
    drive = Drive(engines=3, allows_concurrent_attempts=False, can_cancel=False)
    drive.ask(1)
    assert not sends(drive.advance(3900.0))


def test_request_is_hedged_where_an_attempt_cannot_be_cancelled():
    drive = Drive(engines=3, can_cancel=False)
    drive.ask(1)
    assert len(sends(drive.advance(700.0))) == 1


def test_retry_budget_is_counted_over_a_sliding_window():
    drive = Drive(engines=4, retry_budget_free=2.0, retry_budget_share=0.1, retry_budget_window_ms=10000.0)
    for query in range(10):
        drive.ask(query)
        drive.answer(query, took=10.0)
    for query in range(10, 20):
        drive.ask(query)
    retried = 0
    for query in range(10, 20):
        retried += len(sends(drive.answer(query, "error", took=10.0)))
    assert retried == 3  # 2 free ones, and a tenth of the ten served queries
    assert not sends(drive.step(after=100.0))


def test_disconnected_or_failed_queries_add_nothing_to_the_retry_budget():
    drive = Drive(engines=4, retry_budget_free=2.0, retry_budget_share=0.1, retry_budget_window_ms=10000.0)
    for query in range(50):  # from a faulty client
        drive.ask(query)
        drive.step(policy.ClientDisconnected(query))
    for query in range(50, 60):
        drive.ask(query)
    assert sum(len(sends(drive.answer(query, "error", took=10.0))) for query in range(50, 60)) == 2


def test_queries_that_arrived_before_the_window_add_nothing_to_the_retry_budget():
    drive = Drive(engines=4, retry_budget_free=1.0, retry_budget_share=0.5, retry_budget_window_ms=1000.0)
    for query in range(8):
        drive.ask(query)
    drive.step(after=900.0)
    drive.ask(8)
    drive.answer(8, took=10.0)
    for query in range(8):
        drive.answer(query, took=1000.0, after=25.0)  # served in the window, but arrived before it
    drive.ask(9)
    drive.ask(10)
    assert len(sends(drive.answer(9, "error", took=1.0)) + sends(drive.answer(10, "error", took=1.0))) == 1


def test_retry_budget_returns_when_the_window_has_passed():
    drive = Drive(engines=4, retry_budget_free=1.0, retry_budget_share=0.0, retry_budget_window_ms=1000.0)
    drive.ask(1)
    drive.ask(2)
    assert len(sends(drive.answer(1, "error", took=1.0)) + sends(drive.answer(2, "error", took=1.0))) == 1
    drive.step(after=1100.0)
    drive.ask(3)
    assert len(sends(drive.answer(3, "error", took=1.0))) == 1


def test_attempts_at_a_removed_engine_are_cancelled():
    drive = Drive(engines=2)
    drive.ask(1)
    drive.step(
        policy.EngineListUpdate("delta", (policy.EngineEndpoint(drive.attempt_engines[1][0], state="gone"),))
    )
    assert [a.query for a in of(drive.advance(25.0), policy.CancelAttempt)] == [1]


def test_restarts_are_limited_by_work():
    drive = Drive(engines=1)
    for query in range(6):
        drive.ask(query)
    drive.gateway.retries.restart_credit_ms = 200.0  # ms of work; each query has 100
    assert len(of(drive.advance(3000.0), policy.CancelAttempt)) == 2


def test_keyed_query_is_not_retried_after_its_deduplication_window():
    short_window = dataclasses.replace(KEYED, deduplication_window_ms=100.0)
    drive = Drive(entries=(policy.EngineEndpoint("e0"), policy.EngineEndpoint("e1")), classes=(short_window,))
    drive.ask(1, work=10.0)
    actions = drive.answer(1, "error", took=150.0, after=150.0)  # well before objective and deadline
    assert not sends(actions) and of(actions, policy.FailQuery)


def test_an_attempt_that_reports_progress_does_not_time_out():
    """Progress reports distinguish a busy engine from a hung one; a restart would waste the work done."""
    drive = Drive(engines=2, progress_interval_ms=1000.0)
    drive.ask(1, cls=1, work=4000.0)
    for second in range(1, 5):
        assert not of(drive.advance(1000.0), policy.CancelAttempt)
        drive.step(policy.AttemptProgress(1, 0, 1, second / 4.5))
    assert of(
        drive.advance(6000.0), policy.CancelAttempt
    )  # the reports stop, so the engine may hang: the attempt's age decides again


def test_an_attempt_with_hardly_any_progress_times_out():
    drive = Drive(engines=2, progress_interval_ms=1000.0)
    drive.ask(1, cls=1, work=4000.0)
    cancels = []
    for second in range(1, 7):
        cancels += of(drive.advance(1000.0), policy.CancelAttempt)
        drive.step(policy.AttemptProgress(1, 0, 1, second / 100.0))
    assert [a.query for a in cancels] == [1]


@pytest.mark.parametrize(
    "note",
    [
        policy.AttemptProgress(1, 0, 1, 0.0),
        policy.AttemptProgress(1, 5, 1, 0.5),
        policy.AttemptProgress(1, 0, 1, 7.0),
        policy.AttemptProgress(1, -1, 1, -3.0),
        policy.AttemptProgress(1, 0, 9, 0.5),
    ],
)
def test_unusual_progress_reports_do_not_prevent_the_timeout(note):
    drive = Drive(engines=2, progress_interval_ms=1000.0)
    drive.ask(1, cls=1, work=4000.0)
    drive.step(note)
    assert of(drive.advance(9000.0), policy.CancelAttempt)


def test_sliding_windows_drop_old_entries():
    drive = Drive(
        retry_budget_window_ms=2000.0,
        retry_budget_free=2.0,
        retry_budget_share=0.2,
        overload_multiple=2.0,
        overload_window_ms=1000.0,
    )
    for query in range(300):  # no query is retried, and no engine is cold
        drive.ask(query, work=10.0)
        drive.answer(query, took=10.0, after=50.0)
    gateway = drive.gateway
    assert len(gateway.retries.served.items) <= 2000.0 / 50.0 + 1
    assert all(len(e.sent_work_ms.items) <= 1000.0 / 50.0 + 1 for e in gateway.engines.values())
