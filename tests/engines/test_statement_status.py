"""What an engine's error means, and which idle connection an attempt gets."""

import pytest

from fennelwind.engines import statement_status
from fennelwind.thrift import hints


@pytest.mark.parametrize(
    ("state", "said", "meaning"),
    [
        ("42000", [], statement_status.ANSWER),
        ("42S02", None, statement_status.ANSWER),
        ("22012", [], statement_status.ANSWER),
        ("23505", [], statement_status.ANSWER),
        ("3F000", [], statement_status.ANSWER),
        ("08S01", [], statement_status.FAULT),
        ("HY000", [], statement_status.FAULT),
        ("53000", [], statement_status.FAULT),
        ("40001", [], statement_status.FAULT),
        ("XX000", [], statement_status.FAULT),
        (None, None, statement_status.FAULT),
        ("", [], statement_status.FAULT),
        ("42", [], statement_status.FAULT),
        ("42S02extra", [], statement_status.FAULT),
        ("42000", [hints.write(hints.NOT_RUN)], statement_status.TURNED_AWAY),
        (None, [hints.write(hints.NOT_RUN)], statement_status.TURNED_AWAY),
    ],
)
def test_an_engines_error_is_an_answer_a_turning_away_or_a_fault(state, said, meaning):
    assert statement_status.verdict(state, said) == meaning


@pytest.mark.parametrize(
    ("idle", "wanted", "chosen"),
    [
        ([], "", None),
        ([], "a", None),
        ([""], "", 0),
        (["a"], "", None),
        (["a", "b"], "a", 0),
        (["a", "b", "a", "c"], "a", 2),
        (["b", "c"], "a", 1),
        (["", "a", ""], "", 2),
    ],
)
def test_idle_connections_are_chosen_by_their_database(idle, wanted, chosen):
    assert statement_status.choose_link(idle, wanted) == chosen
