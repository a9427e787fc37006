"""Troubles by kind of symptom, and the effect rule at its edges; each test says what good behaviour is."""

import dataclasses

import pytest
from conftest import LOOKUP, REPORT, Drive, of, sends

from fennelwind import policy

UNSAFE = dataclasses.replace(REPORT, idempotency="unsafe")
KEYED = dataclasses.replace(
    LOOKUP, idempotency="keyed", deduplication_scope="all", deduplication_window_ms=2000.0
)


def test_unsafe_query_at_a_lost_engine_is_neither_called_off_nor_sent_again():
    """Only its outcome can tell that it never ran; until then there is nothing to do but wait."""
    d = Drive(engines=3, classes=(UNSAFE,))
    d.ask(1, work=400.0)
    lost = d.tries[1][0]
    d.step(policy.EngineListUpdate("delta", (policy.EngineEndpoint(lost, state="gone"),)))
    actions = d.run(6000.0)
    assert (
        not sends(actions) and not of(actions, policy.RejectQuery) and not of(actions, policy.CancelAttempt)
    )
    assert of(d.answer(1, "timeout", took=6000.0), policy.FailQuery)


def test_unsafe_query_whose_client_left_is_not_sent_again():
    d = Drive(engines=3, classes=(UNSAFE,))
    d.ask(1, work=400.0)
    d.step(policy.ClientDisconnected(1))
    actions = d.answer(1, "connect_failed", took=5.0)
    assert not sends(actions) and not of(actions, policy.FailQuery) and not of(actions, policy.RejectQuery)
    assert not d.gateway.queries


@pytest.mark.parametrize("after,again", [(1990.0, True), (1995.0, False), (2000.0, False), (2005.0, False)])
def test_keyed_query_is_repeated_only_inside_the_memory_of_its_first_attempt(after, again):
    """A tick of 5 ms may pass before the send counts, so the last one is a tick before the end."""
    cls = dataclasses.replace(KEYED, latency_objective_ms=3500.0)
    d = Drive(engines=3, classes=(cls,), can_cancel=False, allows_concurrent_attempts=False)
    d.ask(1)
    actions = d.answer(1, "error", took=after, after=after)
    assert bool(sends(actions)) == again
    assert bool(of(actions, policy.RejectQuery)) != again


@pytest.mark.parametrize("effect", ["safe", "keyed", "unsafe"])
def test_what_is_given_up_is_answered_in_the_same_step_with_a_time_to_come_back(effect):
    cls = dataclasses.replace(LOOKUP, idempotency=effect, deduplication_window_ms=1000.0)
    d = Drive(classes=(cls,), max_attempts=1)
    assert of(d.ask(1, left=0.0), policy.RejectQuery) == [policy.RejectQuery(1, 500.0)]
    d.ask(2)
    actions = d.answer(2, "error", took=10.0)
    final = [a for a in actions if isinstance(a, policy.RejectQuery | policy.FailQuery)]
    assert final == ([policy.FailQuery(2)] if effect == "unsafe" else [policy.RejectQuery(2, 500.0)])
    assert not d.gateway.queries


def test_a_fresh_gateway_has_only_the_free_part_of_the_budget():
    """Each instance counts from its start: what one took before a restart gives its successor nothing."""
    d = Drive(
        engines=4,
        retry_budget_free=3.0,
        retry_budget_share=0.2,
        retry_budget_window_ms=5000.0,
        max_attempts=9,
    )
    for n in range(4):
        d.ask(n)
    assert sum(len(sends(d.answer(n, "error", took=5.0))) for n in range(4)) == 3  # 3 and a fifth of 4


def test_all_engines_slow_together_is_no_engines_fault():
    """Something that all depend on: none is shut out, and hardly any attempt is called off."""
    d = Drive(engines=6)
    cancels = []
    for first in range(0, 60, 6):
        for n in range(first, first + 6):
            d.ask(n)
        cancels += of(d.run(250.0), policy.CancelAttempt)
        assert len({d.tries[n][0] for n in range(first, first + 6)}) == 6  # all are used all the time
        for n in range(first, first + 6):
            d.answer(n, took=250.0)
    assert not any(e.is_outlier for e in d.gateway.engines.values())
    assert not cancels and d.gateway.outliers.usual_slowdown > 1.5
    for first in range(100, 220, 6):
        for n in range(first, first + 6):
            d.ask(n)
        d.run(100.0)
        for n in range(first, first + 6):
            d.answer(n)
    d.run(500.0)
    assert d.gateway.outliers.usual_slowdown < 1.2  # back to normal within 20 answers of each engine


@pytest.mark.parametrize("gateways", [1, 20])
def test_a_jump_of_demand_is_bounded_and_over_when_it_ends(gateways):
    """What comes at once is held up to the part; all get an answer, and the next query leaves at once."""
    d = Drive(engines=4, gateway_count=gateways)
    for n in range(300):
        d.ask(n)
    assert (
        1
        <= sum(e.running_threads for e in d.gateway.engines.values())
        <= d.gateway.concurrency.allowed_threads + 1
    )
    refused = {a.query for a in of(d.run(900.0), policy.RejectQuery)}
    held = [q for q in d.gateway.queries if d.gateway.queries[q].is_queued]
    assert not held and len(refused) + len(d.tries) == 300
    for n in list(d.tries):
        d.answer(n, took=900.0)
    d.run(1000.0)
    assert not d.gateway.queries and sends(d.ask(1000))


def test_engines_taken_away_in_waves_are_forgotten_and_their_successors_used():
    d = Drive(
        engines=8,
        cold_capacity_share=0.3,
        slow_start_ms=10000.0,
        overload_multiple=2.0,
        overload_window_ms=3000.0,
    )
    for wave in range(2):
        old = [f"e{2 * wave}", f"e{2 * wave + 1}"]
        d.step(
            policy.EngineListUpdate("delta", tuple(policy.EngineEndpoint(e, state="draining") for e in old))
        )
        assert not {e for n in range(20) for _, e in sends(d.ask(100 * wave + n))} & set(old)
        d.step(policy.EngineListUpdate("delta", tuple(policy.EngineEndpoint(e, state="gone") for e in old)))
    for n in list(d.tries):
        d.answer(n)
    new = tuple(policy.EngineEndpoint(f"n{i}", started_ms=d.now - 10.0) for i in range(4))
    d.step(policy.EngineListUpdate("delta", new))
    d.run(500.0)
    assert sorted(d.gateway.engines) == ["e4", "e5", "e6", "e7", "n0", "n1", "n2", "n3"]
    assert {e for n in range(500, 540) for _, e in sends(d.ask(n))} >= {"n0", "n1", "n2", "n3"}


def test_a_query_told_far_costlier_than_usual_goes_last_on_its_engine():
    d = Drive(engines=2, has_priorities=True)
    for n in range(30):
        d.ask(n)
        d.answer(n)
    d.ask(50, cls=1, work=4000.0)
    assert d.gateway.queries[50].grant[1] == 1
    assert [t.priority for t in of(d.ask(51, work=50.0), policy.SetGrant)] == [3]
