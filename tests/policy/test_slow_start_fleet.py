"""Slow start under the sum of all gateways: a small sample of `cold_model.py`, and planted defects."""

from dataclasses import replace

import pytest
from cold_model import Case, interval, sample

from fennelwind.policy.gateway import Gateway

# An engine that starts under far more than it may take, from gateways that see the same traffic: the budget
# is used as far as it goes, and N of 73 leaves little to chance.
FULL = Case(
    gateways=200,
    engines=1,
    trouble="all",
    work=(150.0, 150.0),
    spread=(0.1, 0.1),
    skew=0.0,
    load=3.0,
    length_ms=5000.0,
)
MIXED = Case(gateways=30, engines=6, trouble="zone", kill=0.7, late=1 / 3, errors=0.1, length_ms=7000.0)
FEW = Case(gateways=2, engines=6, trouble="zone", length_ms=6000.0)
# The upper end of the interval (95%) that docs/results/cold.md has for the share of lives that fall where
# nothing tells the work of a request: a single large one may then be more than all that is allowed.
UNTOLD = 0.083


class Undivided(Gateway):
    """Takes the budget of all gateways for its own."""

    def __init__(self, settings, seed):
        super().__init__(replace(settings, gateway_count=1), seed)


class RoundedUp(Gateway):
    """Rounds a part up to one query at each gateway."""

    def __init__(self, settings, seed):
        super().__init__(settings, seed)
        new_engine = self.registry._new_engine

        def rounding_up(endpoint, predecessor):
            engine = new_engine(endpoint, predecessor)
            engine.slow_start_draw = 1.0
            return engine

        self.registry._new_engine = rounding_up


@pytest.mark.parametrize("case", [FULL, MIXED, FEW], ids=["full", "mixed", "few"])
def test_engines_in_slow_start_do_not_fall_by_gateways_that_know_of_it(case):
    result = sample(case, range(1, 4))
    assert result.lives >= 3
    assert result.broken == 0
    assert max(result.told) < 1.0  # what came from those alone stays under a fall as well


def test_without_estimates_no_more_engines_fall_than_measured():
    result = sample(replace(FEW, estimates="none"), range(1, 21))
    assert result.lives == 60
    assert result.broken <= UNTOLD * result.lives
    assert result.by_class == 0  # with the mean work of its class for each request, none would fall


@pytest.mark.parametrize("defect", [Undivided, RoundedUp])
def test_the_sample_finds_a_planted_defect(defect):
    result = sample(FULL, range(1, 2), defect)
    assert result.lives == 1
    assert result.broken == 1


def test_interval_of_a_share_holds_the_share():
    assert interval(0, 0) == (0.0, 1.0)
    low, high = interval(0, 100)
    assert low == 0.0 and 0.03 < high < 0.04
    low, high = interval(10, 100)
    assert 0.05 < low < 0.1 < high < 0.18


def test_calls_in_a_slow_start_keep_to_the_limit_whatever_their_work():
    few = Case(gateways=4, engines=6, trouble="all", length_ms=6000.0)
    result = sample(few, range(1, 7))
    assert result.lives >= 30
    assert max(result.by_calls) <= 1.0
