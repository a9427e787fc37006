"""Concurrency limits of engines."""

import pytest
from conftest import Drive

from fennelwind.policy import concurrency


def test_limit_is_cut_by_the_worst_class_once_per_period():
    drive = Drive(engines=1)
    engine = drive.gateway.engines["e0"]
    initial_limit = engine.concurrency_limit
    engine.objective_ratios = [(2.6, 2.0), (1.0, 2.0)]
    drive.gateway._start_period()
    assert engine.concurrency_limit == pytest.approx(initial_limit / 1.3)
    for _ in range(10):
        engine.objective_ratios = [(30.0, 10.0), (0.0, 0.0)]
        drive.gateway._start_period()
    assert engine.concurrency_limit == concurrency.MIN_THREADS_PER_CORE * 8


def test_limit_rises_only_where_it_was_reached():
    drive = Drive(engines=1)
    engine = drive.gateway.engines["e0"]
    drive.gateway._start_period()
    assert engine.concurrency_limit == concurrency.INITIAL_THREADS_PER_CORE * 8
    engine.is_limit_reached = True
    drive.gateway._start_period()
    assert engine.concurrency_limit == concurrency.INITIAL_THREADS_PER_CORE * 8 * concurrency.RAISE_FACTOR
    for _ in range(9):
        engine.is_limit_reached = True
        drive.gateway._start_period()
    assert (
        engine.concurrency_limit == concurrency.MAX_THREADS_PER_CORE * 8
    )  # without a maximum it would be huge when pressure begins


def test_limit_applies_only_under_pressure():
    drive = Drive(engines=1)
    engine = drive.gateway.engines["e0"]
    engine.concurrency_limit = 3.0
    assert drive.gateway.concurrency.limit(engine) > 3.0
    engine.failures = 1
    assert drive.gateway.concurrency.limit(engine) == 3.0
    engine.failures, engine.current_slowdown = 0, concurrency.PRESSURE_SLOWDOWN + 0.1
    assert drive.gateway.concurrency.limit(engine) == 3.0
