"""Slow start under the sum of all gateways: a few cases of `cold_model.py`, and planted defects."""

from dataclasses import replace

import pytest
from cold_model import Case, run_case, wilson_interval

from fennelwind.policy.gateway import Gateway

# An engine that starts under far more load than its budget, from gateways with equal traffic: the budget is
# used up, and at N = 73 random variation is small.
FULL = Case(
    gateway_count=200,
    engine_count=1,
    scenario="all",
    class_work_ms=(150.0, 150.0),
    work_variation=(0.1, 0.1),
    traffic_skew=0.0,
    load=3.0,
    duration_ms=5000.0,
)
MIXED = Case(
    gateway_count=30,
    engine_count=6,
    scenario="zone",
    kill_share=0.7,
    late_share=1 / 3,
    reset_share=0.1,
    duration_ms=7000.0,
)
FEW = Case(gateway_count=2, engine_count=6, scenario="zone", duration_ms=6000.0)
# Upper end of the 95% interval in docs/results/cold.md for the share of incarnations that crash without work
# estimates: a single large request may then exceed the whole budget.
MAX_CRASH_SHARE_WITHOUT_ESTIMATES = 0.083


class Undivided(Gateway):
    """Uses the budget of all gateways alone."""

    def __init__(self, settings, seed):
        super().__init__(replace(settings, gateway_count=1), seed)


class RoundedUp(Gateway):
    """Always rounds this gateway's share up to one query."""

    def __init__(self, settings, seed):
        super().__init__(settings, seed)
        new_engine = self.registry._new_engine

        def rounding_up(endpoint, predecessor):
            engine = new_engine(endpoint, predecessor)
            engine.slow_start_draw = 1.0
            return engine

        self.registry._new_engine = rounding_up


@pytest.mark.parametrize("case", [FULL, MIXED, FEW], ids=["full", "mixed", "few"])
def test_engines_in_slow_start_are_not_crashed_by_informed_gateways(case):
    result = run_case(case, range(1, 4))
    assert result.incarnations >= 3
    assert result.violations == 0
    assert max(result.informed) < 1.0  # the work of informed gateways alone stays below the threshold


def test_share_of_crashes_without_estimates_stays_within_the_known_limit():
    result = run_case(replace(FEW, estimates="none"), range(1, 21))
    assert result.incarnations == 60
    assert result.violations <= MAX_CRASH_SHARE_WITHOUT_ESTIMATES * result.incarnations
    assert result.by_class == 0  # if each request had the mean work of its class, none would crash


@pytest.mark.parametrize("defect", [Undivided, RoundedUp])
def test_planted_defect_is_found(defect):
    result = run_case(FULL, range(1, 2), defect)
    assert result.incarnations == 1
    assert result.violations == 1


def test_wilson_interval_contains_the_share():
    assert wilson_interval(0, 0) == (0.0, 1.0)
    low, high = wilson_interval(0, 100)
    assert low == 0.0 and 0.03 < high < 0.04
    low, high = wilson_interval(10, 100)
    assert 0.05 < low < 0.1 < high < 0.18


def test_calls_in_a_slow_start_are_limited_whatever_their_work():
    few = Case(gateway_count=4, engine_count=6, scenario="all", duration_ms=6000.0)
    result = run_case(few, range(1, 7))
    assert result.incarnations >= 30
    assert max(result.by_calls) <= 1.0
