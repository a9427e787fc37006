"""Faults by kind of symptom, and idempotency at its edges; each test says what good behaviour is."""

import dataclasses

import pytest
from conftest import LOOKUP, REPORT, Drive, of, sends

from fennelwind import policy

UNSAFE = dataclasses.replace(REPORT, idempotency="unsafe")
KEYED = dataclasses.replace(
    LOOKUP, idempotency="keyed", deduplication_scope="all", deduplication_window_ms=2000.0
)


def test_non_idempotent_query_at_a_removed_engine_is_neither_cancelled_nor_retried():
    """Only its outcome can tell that it never ran; until then there is nothing to do but wait."""
    drive = Drive(engines=3, classes=(UNSAFE,))
    drive.ask(1, work=400.0)
    lost = drive.tries[1][0]
    drive.step(policy.EngineListUpdate("delta", (policy.EngineEndpoint(lost, state="gone"),)))
    actions = drive.run(6000.0)
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


@pytest.mark.parametrize("after,again", [(1990.0, True), (1995.0, False), (2000.0, False), (2005.0, False)])
def test_keyed_query_is_retried_only_inside_its_deduplication_window(after, again):
    """A tick of 5 ms may pass before the send counts, so the last one is a tick before the end."""
    cls = dataclasses.replace(KEYED, latency_objective_ms=3500.0)
    drive = Drive(engines=3, classes=(cls,), can_cancel=False, allows_concurrent_attempts=False)
    drive.ask(1)
    actions = drive.answer(1, "error", took=after, after=after)
    assert bool(sends(actions)) == again
    assert bool(of(actions, policy.RejectQuery)) != again


@pytest.mark.parametrize("effect", ["safe", "keyed", "unsafe"])
def test_a_query_given_up_is_answered_in_the_same_step_with_retry_after(effect):
    cls = dataclasses.replace(LOOKUP, idempotency=effect, deduplication_window_ms=1000.0)
    drive = Drive(classes=(cls,), max_attempts=1)
    assert of(drive.ask(1, left=0.0), policy.RejectQuery) == [policy.RejectQuery(1, 500.0)]
    drive.ask(2)
    actions = drive.answer(2, "error", took=10.0)
    final = [a for a in actions if isinstance(a, policy.RejectQuery | policy.FailQuery)]
    assert final == ([policy.FailQuery(2)] if effect == "unsafe" else [policy.RejectQuery(2, 500.0)])
    assert not drive.gateway.queries


def test_a_fresh_gateway_has_only_the_free_part_of_the_retry_budget():
    """Each instance counts from its start: what one took before a restart gives its successor nothing."""
    drive = Drive(
        engines=4,
        retry_budget_free=3.0,
        retry_budget_share=0.2,
        retry_budget_window_ms=5000.0,
        max_attempts=9,
    )
    for n in range(4):
        drive.ask(n)
    assert sum(len(sends(drive.answer(n, "error", took=5.0))) for n in range(4)) == 3  # 3 and a fifth of 4


def test_all_engines_slow_together_is_no_engines_fault():
    """Something that all depend on: none is shut out, and hardly any attempt is called off."""
    drive = Drive(engines=6)
    cancels = []
    for first in range(0, 60, 6):
        for n in range(first, first + 6):
            drive.ask(n)
        cancels += of(drive.run(250.0), policy.CancelAttempt)
        assert len({drive.tries[n][0] for n in range(first, first + 6)}) == 6  # all are used all the time
        for n in range(first, first + 6):
            drive.answer(n, took=250.0)
    assert not any(e.is_outlier for e in drive.gateway.engines.values())
    assert not cancels and drive.gateway.outliers.median_slowdown > 1.5
    for first in range(100, 220, 6):
        for n in range(first, first + 6):
            drive.ask(n)
        drive.run(100.0)
        for n in range(first, first + 6):
            drive.answer(n)
    drive.run(500.0)
    assert drive.gateway.outliers.median_slowdown < 1.2  # back to normal within 20 answers of each engine


@pytest.mark.parametrize("gateways", [1, 20])
def test_a_jump_of_demand_is_bounded_and_over_when_it_ends(gateways):
    """What comes at once is held up to the part; all get an answer, and the next query leaves at once."""
    drive = Drive(engines=4, gateway_count=gateways)
    for n in range(300):
        drive.ask(n)
    assert (
        1
        <= sum(e.running_threads for e in drive.gateway.engines.values())
        <= drive.gateway.concurrency.allowed_threads + 1
    )
    refused = {a.query for a in of(drive.run(900.0), policy.RejectQuery)}
    held = [q for q in drive.gateway.queries if drive.gateway.queries[q].is_queued]
    assert not held and len(refused) + len(drive.tries) == 300
    for n in list(drive.tries):
        drive.answer(n, took=900.0)
    drive.run(1000.0)
    assert not drive.gateway.queries and sends(drive.ask(1000))


def test_engines_removed_in_waves_are_forgotten_and_their_successors_used():
    drive = Drive(
        engines=8,
        cold_capacity_share=0.3,
        slow_start_ms=10000.0,
        overload_multiple=2.0,
        overload_window_ms=3000.0,
    )
    for wave in range(2):
        old = [f"e{2 * wave}", f"e{2 * wave + 1}"]
        drive.step(
            policy.EngineListUpdate("delta", tuple(policy.EngineEndpoint(e, state="draining") for e in old))
        )
        assert not {e for n in range(20) for _, e in sends(drive.ask(100 * wave + n))} & set(old)
        drive.step(
            policy.EngineListUpdate("delta", tuple(policy.EngineEndpoint(e, state="gone") for e in old))
        )
    for n in list(drive.tries):
        drive.answer(n)
    new = tuple(policy.EngineEndpoint(f"n{i}", started_ms=drive.now - 10.0) for i in range(4))
    drive.step(policy.EngineListUpdate("delta", new))
    drive.run(500.0)
    assert sorted(drive.gateway.engines) == ["e4", "e5", "e6", "e7", "n0", "n1", "n2", "n3"]
    assert {e for n in range(500, 540) for _, e in sends(drive.ask(n))} >= {"n0", "n1", "n2", "n3"}


def test_a_query_with_a_far_larger_estimate_than_usual_has_a_low_priority():
    drive = Drive(engines=2, has_priorities=True)
    for n in range(30):
        drive.ask(n)
        drive.answer(n)
    drive.ask(50, cls=1, work=4000.0)
    assert drive.gateway.queries[50].grant[1] == 1
    assert [t.priority for t in of(drive.ask(51, work=50.0), policy.SetGrant)] == [3]
