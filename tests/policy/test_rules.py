"""The seven rules, one by one, and the ordinary path; the module alone."""

import dataclasses

import pytest
from conftest import LOOKUP, REPORT, Drive, of, sends, settings

from fennelwind import policy
from fennelwind.policy import concurrency, grants, outliers, slow_start

UNSAFE = dataclasses.replace(LOOKUP, idempotency="unsafe")
KEYED = dataclasses.replace(
    LOOKUP, idempotency="keyed", deduplication_scope="zone", deduplication_window_ms=2000.0
)
SERIAL = dataclasses.replace(LOOKUP, is_ordered_by_key=True)


def full_house(d, engines=1):
    """Put queries on every engine until nothing more leaves; return the held one's id."""
    n = 100
    while sends(d.ask(n)):
        n += 1
    return n


def test_target_is_arrival_plus_aim_minus_mean():
    d = Drive()
    d.ask(1, work=100.0)
    query = d.gateway.queries[1]
    assert query.dispatch_target_ms == d.now + 800.0 - d.gateway.estimates.mean_time_ms[0]
    assert d.gateway.estimates.mean_time_ms[0] == 100.0


def test_no_estimate_starts_the_mean_at_half_the_aim():
    d = Drive()
    d.step(policy.QueryArrived(1, 0, d.now + 4000.0))
    assert d.gateway.estimates.mean_time_ms[0] == 400.0


def test_held_queries_leave_by_rising_target():
    d = Drive(engines=1)
    held = full_house(d)
    d.ask(held + 1, cls=1, work=4000.0)  # its aim lies far later
    d.step(after=5.0)
    d.ask(held + 2)
    assert sends(d.answer(100)) == [(held, "e0")]
    assert sends(d.answer(101)) == [(held + 2, "e0")]


def test_late_queries_lead_by_worth():
    rich = dataclasses.replace(LOOKUP, priority_weight=5.0, latency_objective_ms=900.0)
    d = Drive(engines=1, classes=(LOOKUP, rich))
    held = full_house(d)
    d.ask(held + 1, cls=1)  # a later target, but worth more
    d.gateway.queries[held].dispatch_target_ms = d.gateway.queries[held + 1].dispatch_target_ms = d.now - 1.0
    assert sends(d.answer(100)) == [(held + 1, "e0")]


def test_bound_is_cut_by_the_largest_f_once_a_period():
    d = Drive(engines=1)
    engine = d.gateway.engines["e0"]
    start = engine.concurrency_limit
    engine.objective_ratios = [(2.6, 2.0), (1.0, 2.0)]
    d.gateway._start_period()
    assert engine.concurrency_limit == pytest.approx(start / 1.3)
    for _ in range(10):
        engine.objective_ratios = [(30.0, 10.0), (0.0, 0.0)]
        d.gateway._start_period()
    assert engine.concurrency_limit == concurrency.MIN_THREADS_PER_CORE * 8


def test_bound_rises_only_where_it_was_reached():
    d = Drive(engines=1)
    engine = d.gateway.engines["e0"]
    d.gateway._start_period()
    assert engine.concurrency_limit == concurrency.INITIAL_THREADS_PER_CORE * 8
    engine.is_limit_reached = True
    d.gateway._start_period()
    assert engine.concurrency_limit == concurrency.INITIAL_THREADS_PER_CORE * 8 * concurrency.RAISE_FACTOR
    for _ in range(9):
        engine.is_limit_reached = True
        d.gateway._start_period()
    assert (
        engine.concurrency_limit == concurrency.MAX_THREADS_PER_CORE * 8
    )  # else it is huge by the time it is needed


def test_bound_binds_under_pressure_only():
    d = Drive(engines=1)
    engine = d.gateway.engines["e0"]
    engine.concurrency_limit = 3.0
    assert d.gateway.concurrency.limit(engine) > 3.0
    engine.failures = 1
    assert d.gateway.concurrency.limit(engine) == 3.0
    engine.failures, engine.current_slowdown = 0, concurrency.PRESSURE_SLOWDOWN + 0.1
    assert d.gateway.concurrency.limit(engine) == 3.0


def test_routing_takes_the_engine_with_fewest_own_queries():
    d = Drive(engines=3)
    for n in range(9):
        d.ask(n)
    assert sorted(len(e.running_attempts) for e in d.gateway.engines.values()) == [3, 3, 3]


@pytest.mark.parametrize("left", [0.0, -5.0, 10.0])
def test_no_time_left_is_answered_at_once(left):
    d = Drive()
    assert of(d.ask(1, left=left), policy.RejectQuery)
    assert not d.gateway.queries


def test_held_query_gets_its_answer_before_the_deadline():
    d = Drive(engines=1, entries=(policy.EngineEndpoint("e0", state="draining"),))
    assert not sends(d.ask(1, cls=1, work=400.0))
    actions = d.run(15000.0)
    assert [a.query for a in of(actions, policy.RejectQuery)] == [1]
    assert not d.gateway.queries and not sends(actions)


def test_gone_client_is_never_sent_for():
    d = Drive(engines=1, entries=(policy.EngineEndpoint("e0", state="draining"),))
    d.ask(1)
    assert not of(d.step(policy.ClientDisconnected(1)), policy.RejectQuery)
    assert not sends(d.step(policy.EngineListUpdate("delta", (policy.EngineEndpoint("e0"),))))


@pytest.mark.parametrize(
    "status,again",
    [
        ("connect_failed", True),
        ("full", True),
        ("error", False),
        ("reset", False),
        ("timeout", False),
        ("cancelled", False),
    ],
)
def test_unsafe_goes_again_only_when_proven_not_to_have_run(status, again):
    d = Drive(classes=(UNSAFE,))
    d.ask(1)
    actions = d.answer(1, status)
    assert bool(sends(actions)) == again
    assert bool(of(actions, policy.FailQuery)) != again and not of(actions, policy.RejectQuery)


def test_keyed_stays_in_its_group_and_memory():
    entries = tuple(policy.EngineEndpoint(f"e{i}", zone=i // 2) for i in range(4))
    d = Drive(entries=entries, classes=(KEYED,))
    d.ask(1)
    first = d.tries[1][0]
    d.answer(1, "error", took=10.0)
    assert {e for e in d.tries[1]} == set(("e0", "e1") if first in ("e0", "e1") else ("e2", "e3"))
    assert of(
        d.answer(1, "error", took=10.0, after=2500.0), policy.FailQuery
    )  # forgotten by then, and not harmless


def test_keyed_that_never_ran_is_free_again():
    entries = tuple(policy.EngineEndpoint(f"e{i}", zone=i) for i in range(2))
    d = Drive(entries=entries, classes=(KEYED,))
    d.ask(1)
    d.answer(1, "connect_failed", took=1.0)
    assert sorted(d.tries[1]) == ["e0", "e1"]


def test_never_two_attempts_at_once_where_not_allowed():
    d = Drive(engines=3, allows_concurrent_attempts=False, can_cancel=False)
    d.ask(1)
    assert not sends(d.run(3900.0))


def test_second_copy_where_an_attempt_cannot_be_called_off():
    d = Drive(engines=3, can_cancel=False)
    d.ask(1)
    assert len(sends(d.run(700.0))) == 1


@pytest.mark.parametrize("state", ["draining", "gone"])
def test_drains_are_kept(state):
    d = Drive(engines=1)
    d.step(policy.EngineListUpdate("delta", (policy.EngineEndpoint("e0", state=state),)))
    assert not sends(d.ask(1)) and not sends(d.run(500.0))


def test_engine_missing_from_a_full_list_is_gone():
    d = Drive(engines=2)
    d.step(policy.EngineListUpdate("full", (policy.EngineEndpoint("e0"),)))
    assert {e for n in range(6) for _, e in sends(d.ask(n))} == {"e0"}


COLD = dict(
    cold_capacity_share=0.3,
    slow_start_ms=10000.0,
    overload_multiple=2.0,
    overload_window_ms=2000.0,
    gateway_count=2,
)


def cold_work(d, engine, count=400):
    """Offer plenty, answer at once, and return the work sent to the engine."""
    sent = 0.0
    for n in range(count):
        for query, where in sends(d.ask(n)):
            sent += 100.0 * (where == engine)
            d.answer(query)
    return sent


def test_cold_engine_gets_no_more_than_this_gateways_part():
    d = Drive(entries=(policy.EngineEndpoint("e0", started_ms=990.0),), **COLD)
    part = 2.0 * (0.3 + 0.7 * 0.01) * 8 * 2000.0 / 2  # by the rule, over the gateways
    assert 0.0 < cold_work(d, "e0") <= part


def test_restart_told_only_by_a_new_launch_time_is_cold():
    d = Drive(engines=1, **COLD)
    assert cold_work(d, "e0") == 400 * 100.0
    d.step(after=5000.0)
    d.step(policy.EngineListUpdate("delta", (policy.EngineEndpoint("e0", started_ms=d.now - 10.0),)))
    assert 0.0 < cold_work(d, "e0") <= 2.0 * 0.31 * 8 * 2000.0 / 2


def test_all_gateways_together_keep_a_cold_engines_budget():
    entries = (policy.EngineEndpoint("e0", started_ms=990.0),)
    sent = sum(cold_work(Drive(entries=entries, **COLD), "e0") for _ in range(COLD["gateway_count"]))
    assert 0.0 < sent <= 2.0 * 0.31 * 8 * 2000.0


def test_a_stale_list_gives_way_to_the_news_that_an_engine_is_cold():
    d = Drive(
        entries=(policy.EngineEndpoint("e0"), policy.EngineEndpoint("e1")), **COLD
    )  # all that a restart has left
    d.step(policy.EngineListUpdate("full", (policy.EngineEndpoint("e0", started_ms=d.now - 10.0),)))
    assert 0.0 < cold_work(d, "e0") <= 2.0 * 0.31 * 8 * 2000.0 / 2
    assert cold_work(d, "e1") == 0.0


def test_work_sent_before_the_restart_was_told_counts():
    d = Drive(engines=1, **COLD)
    cold_work(d, "e0")
    d.step(policy.EngineListUpdate("delta", (policy.EngineEndpoint("e0", started_ms=d.now - 10.0),)))
    assert cold_work(d, "e0") == 0.0


def test_order_by_key_and_rest_after_doubt():
    d = Drive(classes=(SERIAL,), unresolved_hold_ms=300.0, max_attempts=1)
    assert sends(d.ask(1, key="k"))
    assert not sends(d.ask(2, key="k"))
    assert sends(d.ask(3, key="other"))
    assert of(d.answer(1, "timeout"), policy.RejectQuery)
    assert not sends(d.run(275.0))
    assert [q for q, _ in sends(d.run(50.0))] == [2]


def test_order_holds_until_the_last_outcome_is_in():
    d = Drive(classes=(SERIAL,))
    d.ask(1, key="k")
    d.ask(2, key="k")
    assert not sends(d.step(policy.ClientDisconnected(1)))
    assert [q for q, _ in sends(d.answer(1, "ok", finished=True))] == [2]


def test_a_refusal_out_of_turn_lets_the_next_follow():
    d = Drive(classes=(SERIAL,))
    d.ask(1, key="k")
    d.ask(2, key="k")
    d.ask(3, key="k")
    d.step(policy.ClientDisconnected(2))
    assert [q for q, _ in sends(d.answer(1))] == [3]


def test_placement_holds_even_when_all_permitted_engines_are_gone():
    bound = dataclasses.replace(LOOKUP, zones=(1,), kinds=(0,))
    entries = (
        policy.EngineEndpoint("e0", zone=0),
        policy.EngineEndpoint("e1", zone=1),
        policy.EngineEndpoint("e2", zone=1, kind=1),
    )
    d = Drive(entries=entries, classes=(bound,), kind_cores=(8, 8))
    assert {e for n in range(6) for _, e in sends(d.ask(n))} == {"e1"}
    d.step(policy.EngineListUpdate("delta", (policy.EngineEndpoint("e1", zone=1, state="gone"),)))
    assert not sends(d.ask(10)) and not sends(d.run(700.0))


def test_attempt_budget_over_a_sliding_window():
    d = Drive(engines=4, retry_budget_free=2.0, retry_budget_share=0.1, retry_budget_window_ms=10000.0)
    for n in range(10):
        d.ask(n)
        d.answer(n, took=10.0)
    for n in range(10, 20):
        d.ask(n)
    further = 0
    for n in range(10, 20):
        further += len(sends(d.answer(n, "error", took=10.0)))
    assert further == 3  # 2 and a tenth of the ten that were served
    assert not sends(d.step(after=100.0))


def test_queries_that_are_withdrawn_or_err_add_nothing_to_the_budget_of_attempts():
    d = Drive(engines=4, retry_budget_free=2.0, retry_budget_share=0.1, retry_budget_window_ms=10000.0)
    for n in range(50):  # a bad client's
        d.ask(n)
        d.step(policy.ClientDisconnected(n))
    for n in range(50, 60):
        d.ask(n)
    assert sum(len(sends(d.answer(n, "error", took=10.0))) for n in range(50, 60)) == 2


def test_what_was_taken_before_the_window_adds_nothing_to_its_budget():
    d = Drive(engines=4, retry_budget_free=1.0, retry_budget_share=0.5, retry_budget_window_ms=1000.0)
    for n in range(8):
        d.ask(n)
    d.step(after=900.0)
    d.ask(8)
    d.answer(8, took=10.0)
    for n in range(8):
        d.answer(n, took=1000.0, after=25.0)  # served in the window, and taken before it
    d.ask(9)
    d.ask(10)
    assert len(sends(d.answer(9, "error", took=1.0)) + sends(d.answer(10, "error", took=1.0))) == 1


def test_budget_returns_when_the_window_has_passed():
    d = Drive(engines=4, retry_budget_free=1.0, retry_budget_share=0.0, retry_budget_window_ms=1000.0)
    d.ask(1)
    d.ask(2)
    assert len(sends(d.answer(1, "error", took=1.0)) + sends(d.answer(2, "error", took=1.0))) == 1
    d.step(after=1100.0)
    d.ask(3)
    assert len(sends(d.answer(3, "error", took=1.0))) == 1


def test_silent_engine_is_suspect_and_its_queries_go_elsewhere():
    d = Drive(engines=3)
    for n in range(6):
        d.ask(n)
    silent = "e0"
    for n in range(6):
        if d.tries[n][0] != silent:
            d.answer(n, took=100.0, after=10.0)
    stuck = [n for n in range(6) if d.tries[n][0] == silent]
    cancels = of(d.run(600.0), policy.CancelAttempt)
    assert d.gateway.engines[silent].current_slowdown > 1.5  # two ages count against it at once
    assert sorted(a.query for a in cancels) == stuck
    assert all(e != silent for n in stuck for _, e in sends(d.answer(n, "cancelled", took=600.0)))


def test_a_list_that_says_gone_frees_what_is_out_there():
    d = Drive(engines=2)
    d.ask(1)
    d.step(policy.EngineListUpdate("delta", (policy.EngineEndpoint(d.tries[1][0], state="gone"),)))
    assert [a.query for a in of(d.run(25.0), policy.CancelAttempt)] == [1]


def test_never_all_engines_excluded():
    d = Drive(engines=2)
    for e in d.gateway.engines.values():
        e.is_outlier, e.failures, e.ejected_until_ms = True, 3, d.now + 9999.0
    assert sends(d.ask(1))


def test_failing_engine_is_left_alone_and_comes_back_within_a_stated_time():
    d = Drive(engines=2)
    d.ask(1)
    bad = d.tries[1][0]
    d.answer(1, "reset", took=5.0)
    d.run(25.0)
    assert all(e != bad for n in range(2, 8) for _, e in sends(d.ask(n)))
    d.run(2 * outliers.EJECTION_MS)
    assert bad in {e for n in range(8, 14) for _, e in sends(d.ask(n))}


def test_rescues_are_rationed():
    d = Drive(engines=1)
    for n in range(6):
        d.ask(n)
    d.gateway.retries.restart_credit_ms = 200.0  # ms of work; each of them has 100
    assert len(of(d.run(3000.0), policy.CancelAttempt)) == 2


def test_subscribes_where_it_must_ask_and_again_after_a_failure():
    d = Drive(requires_subscription=True)
    assert not of(d.run(2000.0), policy.SubscribeToEngines)  # once, at the start
    d.step(policy.EngineListUpdate("failed"))
    assert len(of(d.run(2000.0), policy.SubscribeToEngines)) == 1


def test_odd_events_are_ignored():
    d = Drive()
    before = dict(d.gateway.engines)
    odd = [
        policy.AttemptEnded(9, 0, "e0", "ok", 1.0, True),
        policy.ClientDisconnected(9),
        policy.ResultStarted(9, 0),
        policy.TimerFired(99),
        policy.AttemptProgress(9, 0, 1, 0.5),
        policy.PeerMessageReceived(5, b"\xff"),
        policy.HealthChecked("zz", "ok", 1.0),
    ]
    assert not [a for a in d.step(*odd) if not isinstance(a, policy.StartTimer)]
    assert d.gateway.engines == before
    d.ask(1)
    d.answer(1)
    assert not sends(d.answer(1)) and not d.gateway.queries  # told twice


def test_no_engine_and_no_list_still_answers():
    d = Drive(entries=(policy.EngineEndpoint("e0", state="gone"),))
    assert not sends(d.ask(1))
    assert len(of(d.run(4000.0), policy.RejectQuery)) == 1


@pytest.mark.parametrize(
    "change,name",
    [
        ({"classes": ()}, "classes"),
        ({"gateway_count": 0}, "gateway_count"),
        ({"retry_budget_window_ms": -1.0}, "retry_budget_window_ms"),
        ({"resolution_ms": 0.0}, "resolution_ms"),
        ({"classes": (dataclasses.replace(REPORT, latency_objective_ms=0.0),)}, "latency_objective_ms"),
    ],
)
def test_unusable_settings_are_named(change, name):
    with pytest.raises(ValueError, match=name):
        settings(**change)


def test_lost_answers_do_not_make_an_engine_suspect():
    """One answer in three never comes on any engine, the others are quick: no engine is to blame."""
    d = Drive(engines=2)
    lost = 0
    for n in range(60):
        d.ask(n)
        d.run(25.0)
        if n % 3:
            d.answer(n, took=60.0)
        else:
            lost += 1
    assert lost == 20
    assert not any(e.is_outlier for e in d.gateway.engines.values())
    assert max(e.current_slowdown for e in d.gateway.engines.values()) < 2.0


def test_a_held_query_unlikely_to_be_in_time_is_refused_early():
    """Under overload, work for answers that come late is taken from those that could be in time."""
    d = Drive(engines=1)
    held = full_house(d)  # its aim is 800 away and it needs 100 at best
    actions = d.run(700.0)
    assert [a.query for a in of(actions, policy.RejectQuery)] == [held]


@pytest.mark.parametrize(
    "grants,memory,granted",
    [(True, 100.0, [100.0 * grants.GRANT_FACTOR]), (True, 0.0, []), (False, 100.0, [])],
)
def test_grants_leave_room_for_estimates_that_lie_low(grants, memory, granted):
    d = Drive(has_memory_grants=grants)
    actions = d.ask(1, estimated_memory_mb=memory)
    assert [a.memory_mb for a in of(actions, policy.SetGrant)] == granted


def test_keyed_is_not_sent_again_once_its_repeats_are_no_longer_dropped():
    brief = dataclasses.replace(KEYED, deduplication_window_ms=100.0)
    d = Drive(entries=(policy.EngineEndpoint("e0"), policy.EngineEndpoint("e1")), classes=(brief,))
    d.ask(1, work=10.0)
    actions = d.answer(1, "error", took=150.0, after=150.0)  # well before aim and deadline
    assert not sends(actions) and of(actions, policy.FailQuery)


def test_short_queries_go_first_and_what_is_past_its_aim_last():
    """Where engines share by priority, small ones must not stand behind large ones or hopeless ones."""
    d = Drive(engines=2, has_priorities=True, can_cancel=False, allows_concurrent_attempts=False)
    d.ask(1, cls=1, work=8000.0)
    terms = of(d.ask(2, work=20.0), policy.SetGrant)
    assert [(t.query, t.priority) for t in terms] == [(2, 3)]
    assert [(t.query, t.priority) for t in of(d.run(1500.0), policy.SetGrant)] == [(2, 0)]


def test_priorities_are_not_named_where_they_are_not_heeded():
    d = Drive(engines=2)
    assert not of(d.ask(1, work=20.0), policy.SetGrant) and not of(d.run(1500.0), policy.SetGrant)


@pytest.mark.parametrize("pages,times", [(True, grants.SWAPPING_GRANT_FACTOR), (False, grants.GRANT_FACTOR)])
def test_grants_are_larger_where_only_memory_in_use_counts(pages, times):
    """A spill costs far more work than memory that is granted and not used, where that is lost to nobody."""
    d = Drive(has_memory_grants=True, swaps_when_short_of_memory=pages)
    assert [t.memory_mb for t in of(d.ask(1, estimated_memory_mb=100.0), policy.SetGrant)] == [100.0 * times]
    assert grants.SWAPPING_GRANT_FACTOR > grants.GRANT_FACTOR


def test_what_is_under_way_is_not_called_off():
    """Notes of progress tell a busy engine from a hung one; to start anew would waste all that was done."""
    d = Drive(engines=2, progress_interval_ms=1000.0)
    d.ask(1, cls=1, work=4000.0)
    for second in range(1, 5):
        assert not of(d.run(1000.0), policy.CancelAttempt)
        d.step(policy.AttemptProgress(1, 0, 1, second / 4.5))
    assert of(
        d.run(6000.0), policy.CancelAttempt
    )  # the notes end, so the engine may hang: its age decides again


def test_what_hardly_moves_is_called_off_in_spite_of_its_notes():
    d = Drive(engines=2, progress_interval_ms=1000.0)
    d.ask(1, cls=1, work=4000.0)
    cancels = []
    for second in range(1, 7):
        cancels += of(d.run(1000.0), policy.CancelAttempt)
        d.step(policy.AttemptProgress(1, 0, 1, second / 100.0))
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
def test_odd_notes_are_harmless(note):
    d = Drive(engines=2, progress_interval_ms=1000.0)
    d.ask(1, cls=1, work=4000.0)
    d.step(note)
    assert of(d.run(9000.0), policy.CancelAttempt)


def test_a_class_without_estimates_and_stretch_is_served_from_its_first_query_on():
    drive = Drive()
    assert sends(drive.ask(1, work=None)) != []
    assert sends(drive.ask(2, cls=1, work=None)) != []


def test_an_engine_that_errs_time_after_time_is_left_alone_like_one_that_breaks():
    drive = Drive()
    drive.ask(0)
    bad = drive.tries[0][0]
    drive.answer(0, "error", took=1.0, attempt=0)
    for query in range(1, 12):
        if drive.tries.get(query - 1, [bad])[-1] == bad and query > 1:
            drive.answer(query - 1, "error", took=1.0)
        drive.ask(query)
    assert [drive.tries[q][0] for q in range(8, 12)].count(bad) == 0


def test_a_query_that_errs_everywhere_shuts_no_engine():
    drive = Drive(engines=4)
    drive.ask(1)
    for _ in range(4):
        drive.answer(1, "error", took=1.0)
    assert not any(e.ejected_until_ms for e in drive.gateway.engines.values())


def test_a_query_does_not_burn_its_attempts_on_engines_that_failed_it_a_moment_ago():
    drive = Drive(engines=2)
    drive.ask(1)
    drive.answer(1, "connect_failed", took=1.0)
    drive.answer(1, "connect_failed", took=1.0)
    assert len(drive.tries[1]) == 2 and len(set(drive.tries[1])) == 2  # each engine once, then it waits
    later = drive.run(3000)
    assert [q for q, _ in sends(later)][:1] == [1] or drive.gateway.queries == {}


def test_a_query_told_to_be_large_weighs_on_a_cold_engine_by_what_it_was_told():
    entries = (policy.EngineEndpoint("e0", started_ms=990.0),)
    drive = Drive(
        entries=entries,
        cold_capacity_share=0.5,
        slow_start_ms=10000.0,
        overload_multiple=1.0,
        overload_window_ms=1000.0,
    )
    budget = 1.0 * 0.5 * 8 * 1000.0 * slow_start.USED_BUDGET_SHARE
    for query in range(20):
        drive.ask(query, cls=1, work=50.0)
        drive.answer(query, took=20.0)
    drive.ask(99, cls=1, work=1.5 * budget)  # far above the class's mean
    assert 99 not in drive.tries


def test_what_is_counted_over_a_window_is_kept_no_longer():
    drive = Drive(
        retry_budget_window_ms=2000.0,
        retry_budget_free=2.0,
        retry_budget_share=0.2,
        overload_multiple=2.0,
        overload_window_ms=1000.0,
    )
    for query in range(300):  # nothing ever asks for a further attempt, and no engine is cold
        drive.ask(query, work=10.0)
        drive.answer(query, took=10.0, after=50.0)
    gateway = drive.gateway
    assert len(gateway.retries.served.items) <= 2000.0 / 50.0 + 1
    assert all(len(e.sent_work_ms.items) <= 1000.0 / 50.0 + 1 for e in gateway.engines.values())


def test_one_of_two_engines_can_stand_out():
    d = Drive(engines=2)
    slow, fine = d.gateway.engines["e0"], d.gateway.engines["e1"]
    slow.mean_slowdown = 4.0
    d.gateway._review_fleet()
    d.gateway._review_fleet()
    assert (d.gateway.outliers.usual_slowdown, slow.is_outlier, fine.is_outlier) == (1.0, True, False)
    assert sends(d.ask(1)) == [(1, "e1")]


def test_the_work_of_a_class_that_nobody_estimates_is_learnt_from_answers():
    d = Drive(engines=2)
    for n in range(40):
        d.step(policy.QueryArrived(n, 0, d.now + 4000.0))
        d.answer(n, took=10.0)
    assert 10.0 <= d.gateway.estimates.mean_work_ms[0] < 12.0
    d.step(policy.QueryArrived(100, 0, d.now + 4000.0))
    assert d.gateway.queries[100].service_time_ms < 12.0
    told = Drive(engines=2)
    for n in range(40):
        told.ask(n, work=100.0)
        told.answer(n, took=10.0)
    assert told.gateway.estimates.mean_work_ms[0] == 100.0  # an estimate is believed


def past_its_aim(**changes):
    """Return a drive whose only query was called off after its aim, with what was then done about it."""
    late = dataclasses.replace(LOOKUP, late_weight_share=0.4, client_timeout_ms=6000.0)
    elsewhere = dataclasses.replace(LOOKUP, zones=(9,))
    d = Drive(engines=2, classes=(dataclasses.replace(late, **changes), elsewhere))
    first = sends(d.ask(1, left=6000.0))[0][1]
    d.step(after=1500.0)
    return d, first


def test_a_query_past_its_aim_goes_again_where_a_late_answer_earns_something():
    """Found on calm days: one called off as slow was refused, though engines had room and time was left."""
    d, first = past_its_aim()
    again = sends(d.step(policy.AttemptEnded(1, 0, first, "cancelled", 1500.0, False)))
    assert len(again) == 1 and again[0][0] == 1 and again[0][1] != first


def test_a_query_past_its_aim_is_refused_at_once_where_a_late_answer_earns_nothing():
    d, first = past_its_aim(late_weight_share=0.0)
    actions = d.step(policy.AttemptEnded(1, 0, first, "cancelled", 1500.0, False))
    assert not sends(actions) and of(actions, policy.RejectQuery)


def test_a_query_past_its_aim_gives_way_to_whatever_is_held():
    d, first = past_its_aim()
    d.ask(2, cls=1)  # held, as no engine is permitted to it
    assert d.gateway.queries[2].is_queued
    actions = d.step(policy.AttemptEnded(1, 0, first, "cancelled", 1500.0, False))
    assert not sends(actions) and [action.query for action in of(actions, policy.RejectQuery)] == [1]


def test_where_queries_wait_for_memory_grants_keep_fewer_of_them_waiting():
    told = {}
    for waits in (False, True):
        drive = Drive(has_memory_grants=True, queues_when_short_of_memory=waits)
        told[waits] = next(
            a.memory_mb for a in drive.ask(1, estimated_memory_mb=100.0) if isinstance(a, policy.SetGrant)
        )
    assert told == {False: 250.0, True: 160.0}
