"""Slow start of engines."""

from conftest import Drive, sends

from fennelwind import policy
from fennelwind.policy import slow_start

COLD = dict(
    cold_capacity_share=0.3,
    slow_start_ms=10000.0,
    overload_multiple=2.0,
    overload_window_ms=2000.0,
    gateway_count=2,
)


def work_sent_in_slow_start(drive, engine, count=400):
    """Send `count` queries, answer each attempt at once, and return the work sent to the engine."""
    sent = 0.0
    for number in range(count):
        for query, target in sends(drive.ask(number)):
            sent += 100.0 * (target == engine)
            drive.answer(query)
    return sent


def test_engine_in_slow_start_gets_no_more_than_this_gateways_share():
    drive = Drive(entries=(policy.EngineEndpoint("e0", started_ms=990.0),), **COLD)
    share = 2.0 * (0.3 + 0.7 * 0.01) * 8 * 2000.0 / 2  # the budget over the number of gateways
    assert 0.0 < work_sent_in_slow_start(drive, "e0") <= share


def test_new_start_time_alone_begins_a_slow_start():
    drive = Drive(engines=1, **COLD)
    assert work_sent_in_slow_start(drive, "e0") == 400 * 100.0
    drive.step(after=5000.0)
    drive.step(policy.EngineListUpdate("delta", (policy.EngineEndpoint("e0", started_ms=drive.now - 10.0),)))
    assert 0.0 < work_sent_in_slow_start(drive, "e0") <= 2.0 * 0.31 * 8 * 2000.0 / 2


def test_all_gateways_together_keep_the_slow_start_budget():
    entries = (policy.EngineEndpoint("e0", started_ms=990.0),)
    sent = sum(
        work_sent_in_slow_start(Drive(entries=entries, **COLD), "e0") for _ in range(COLD["gateway_count"])
    )
    assert 0.0 < sent <= 2.0 * 0.31 * 8 * 2000.0


def test_start_time_in_a_newer_list_replaces_a_stale_one():
    drive = Drive(
        entries=(policy.EngineEndpoint("e0"), policy.EngineEndpoint("e1")), **COLD
    )  # a stored list, as after a restart
    drive.step(policy.EngineListUpdate("full", (policy.EngineEndpoint("e0", started_ms=drive.now - 10.0),)))
    assert 0.0 < work_sent_in_slow_start(drive, "e0") <= 2.0 * 0.31 * 8 * 2000.0 / 2
    assert work_sent_in_slow_start(drive, "e1") == 0.0


def test_work_sent_before_the_restart_was_known_counts_in_the_slow_start():
    drive = Drive(engines=1, **COLD)
    work_sent_in_slow_start(drive, "e0")
    drive.step(policy.EngineListUpdate("delta", (policy.EngineEndpoint("e0", started_ms=drive.now - 10.0),)))
    assert work_sent_in_slow_start(drive, "e0") == 0.0


def test_large_estimate_counts_in_full_in_a_slow_start():
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
    drive.ask(99, cls=1, work=1.5 * budget)  # far above the mean of its class
    assert 99 not in drive.attempt_engines
