"""The answer margin: how it follows the delivery times of answers."""

from random import Random

import pytest

from fennelwind.limits.answer_margin import AnswerMargin


def test_the_margin_stays_above_nearly_all_answers_and_falls_again():
    margin, random, late = AnswerMargin(1.0, 400.0), Random(1), 0
    for i in range(20_000):
        took_ms = random.lognormvariate(1.0, 0.6)  # median 2.7 ms, 99th 11 ms
        late += i >= 1000 and took_ms > margin.ms
        margin.delivered(took_ms)
    assert late < 0.002 * 19_000 and 11.0 < margin.ms < 60.0
    high_ms = margin.ms
    for _ in range(3000):
        margin.delivered(0.1)
    assert margin.ms < high_ms / 5


def test_the_margin_rises_within_a_few_answers_and_one_stall_hardly_counts():
    margin = AnswerMargin(10.0, 400.0)
    for _ in range(8):
        margin.delivered(100.0)
    assert margin.ms >= 100.0
    stalled = AnswerMargin(10.0, 400.0)
    stalled.delivered(60_000.0)
    assert stalled.ms <= 30.0


def test_the_margin_keeps_its_bounds():
    margin = AnswerMargin(5.0, 50.0)
    assert margin.ms == 5.0
    for _ in range(1000):
        margin.delivered(1e6)
    assert margin.ms == 50.0
    for _ in range(20_000):
        margin.delivered(0.0)
    assert margin.ms == 5.0
    for bounds in ((0.0, 10.0), (20.0, 10.0)):
        with pytest.raises(ValueError, match="margin"):
            AnswerMargin(*bounds)
