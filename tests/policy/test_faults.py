"""Behaviour under faults, by symptom, and edge cases of idempotency."""

import dataclasses

import pytest
from conftest import LOOKUP, REPORT, Drive, of, sends

from fennelwind import policy

UNSAFE = dataclasses.replace(REPORT, idempotency="unsafe")
KEYED = dataclasses.replace(
    LOOKUP, idempotency="keyed", deduplication_scope="all", deduplication_window_ms=2000.0
)


def test_non_idempotent_query_at_a_removed_engine_is_neither_cancelled_nor_retried():
    """Only the attempt's outcome can show that it never ran, so the gateway must wait for it."""
    drive = Drive(engines=3, classes=(UNSAFE,))
    drive.ask(1, work=400.0)
    removed = drive.attempt_engines[1][0]
    drive.step(policy.EngineListUpdate("delta", (policy.EngineEndpoint(removed, state="gone"),)))
    actions = drive.advance(6000.0)
    assert (
        not sends(actions) and not of(actions, policy.RejectQuery) and not of(actions, policy.CancelAttempt)
    )
    assert of(drive.answer(1, "timeout", took=6000.0), policy.FailQuery)


def test_non_idempotent_query_of_a_disconnected_client_is_not_retried():
    drive = Drive(engines=3, classes=(UNSAFE,))
    drive.ask(1, work=400.0)
    drive.step(policy.ClientDisconnected(1))
    actions = drive.answer(1, "connect_failed", took=5.0)
    assert not sends(actions) and not of(actions, policy.FailQuery) and not of(actions, policy.RejectQuery)
    assert not drive.gateway.queries


@pytest.mark.parametrize(
    "after,is_retried", [(1990.0, True), (1995.0, False), (2000.0, False), (2005.0, False)]
)
def test_keyed_query_is_retried_only_inside_its_deduplication_window(after, is_retried):
    """The attempt may start up to `resolution_ms` (5 ms) later, so retries end that long before it."""
    cls = dataclasses.replace(KEYED, latency_objective_ms=3500.0)
    drive = Drive(engines=3, classes=(cls,), can_cancel=False, allows_concurrent_attempts=False)
    drive.ask(1)
    actions = drive.answer(1, "error", took=after, after=after)
    assert bool(sends(actions)) == is_retried
    assert bool(of(actions, policy.RejectQuery)) != is_retried


@pytest.mark.parametrize("idempotency", ["safe", "keyed", "unsafe"])
def test_query_not_retried_is_answered_in_the_same_step_with_retry_after(idempotency):
    cls = dataclasses.replace(LOOKUP, idempotency=idempotency, deduplication_window_ms=1000.0)
    drive = Drive(classes=(cls,), max_attempts=1)
    assert of(drive.ask(1, time_left=0.0), policy.RejectQuery) == [policy.RejectQuery(1, 500.0)]
    drive.ask(2)
    actions = drive.answer(2, "error", took=10.0)
    final = [a for a in actions if isinstance(a, policy.RejectQuery | policy.FailQuery)]
    assert final == ([policy.FailQuery(2)] if idempotency == "unsafe" else [policy.RejectQuery(2, 500.0)])
    assert not drive.gateway.queries


def test_new_gateway_has_only_the_free_part_of_the_retry_budget():
    """The budget is counted from the start of an instance: queries served before a restart do not count."""
    drive = Drive(
        engines=4,
        retry_budget_free=3.0,
        retry_budget_share=0.2,
        retry_budget_window_ms=5000.0,
        max_attempts=9,
    )
    for query in range(4):
        drive.ask(query)
    assert (
        sum(len(sends(drive.answer(query, "error", took=5.0))) for query in range(4)) == 3
    )  # 3 free ones; errors add no share


def test_engines_that_are_all_slow_are_not_ejected():
    """A slow shared dependency: no engine may be ejected, and no attempt cancelled."""
    drive = Drive(engines=6)
    cancels = []
    for first in range(0, 60, 6):
        for query in range(first, first + 6):
            drive.ask(query)
        cancels += of(drive.advance(250.0), policy.CancelAttempt)
        assert (
            len({drive.attempt_engines[query][0] for query in range(first, first + 6)}) == 6
        )  # all engines stay in use
        for query in range(first, first + 6):
            drive.answer(query, took=250.0)
    assert not any(e.is_outlier for e in drive.gateway.engines.values())
    assert not cancels and drive.gateway.outliers.median_slowdown > 1.5
    for first in range(100, 220, 6):
        for query in range(first, first + 6):
            drive.ask(query)
        drive.advance(100.0)
        for query in range(first, first + 6):
            drive.answer(query)
    drive.advance(500.0)
    assert drive.gateway.outliers.median_slowdown < 1.2  # recovered within 20 answers of each engine


@pytest.mark.parametrize("gateway_count", [1, 20])
def test_burst_of_queries_is_limited_and_has_no_effect_after_its_end(gateway_count):
    """Attempts stay within the fair share; every query is answered, and the next one starts at once."""
    drive = Drive(engines=4, gateway_count=gateway_count)
    for query in range(300):
        drive.ask(query)
    assert (
        1
        <= sum(e.running_threads for e in drive.gateway.engines.values())
        <= drive.gateway.concurrency.allowed_threads + 1
    )
    rejected = {a.query for a in of(drive.advance(900.0), policy.RejectQuery)}
    queued = [q for q in drive.gateway.queries if drive.gateway.queries[q].is_queued]
    assert not queued and len(rejected) + len(drive.attempt_engines) == 300
    for query in list(drive.attempt_engines):
        drive.answer(query, took=900.0)
    drive.advance(1000.0)
    assert not drive.gateway.queries and sends(drive.ask(1000))


def test_engines_replaced_in_groups_are_forgotten_and_the_new_ones_used():
    drive = Drive(
        engines=8,
        cold_capacity_share=0.3,
        slow_start_ms=10000.0,
        overload_multiple=2.0,
        overload_window_ms=3000.0,
    )
    for number in range(2):
        old = [f"e{2 * number}", f"e{2 * number + 1}"]
        drive.step(
            policy.EngineListUpdate("delta", tuple(policy.EngineEndpoint(e, state="draining") for e in old))
        )
        assert not {e for query in range(20) for _, e in sends(drive.ask(100 * number + query))} & set(old)
        drive.step(
            policy.EngineListUpdate("delta", tuple(policy.EngineEndpoint(e, state="gone") for e in old))
        )
    for query in list(drive.attempt_engines):
        drive.answer(query)
    new = tuple(policy.EngineEndpoint(f"n{i}", started_ms=drive.now - 10.0) for i in range(4))
    drive.step(policy.EngineListUpdate("delta", new))
    drive.advance(500.0)
    assert sorted(drive.gateway.engines) == ["e4", "e5", "e6", "e7", "n0", "n1", "n2", "n3"]
    assert {e for query in range(500, 540) for _, e in sends(drive.ask(query))} >= {"n0", "n1", "n2", "n3"}


def test_query_with_a_far_larger_estimate_than_the_mean_has_a_low_priority():
    drive = Drive(engines=2, has_priorities=True)
    for query in range(30):
        drive.ask(query)
        drive.answer(query)
    drive.ask(50, cls=1, work=4000.0)
    assert drive.gateway.queries[50].grant[1] == 1
    assert [t.priority for t in of(drive.ask(51, work=50.0), policy.SetGrant)] == [3]
