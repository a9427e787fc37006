"""What an engine's error means, and which idle connection an attempt gets."""

import pytest

from fennelwind.engines.connection_pool import choose_idle
from fennelwind.engines.statement_status import StatementStatus, classify
from fennelwind.thrift import hints


@pytest.mark.parametrize(
    ("state", "said", "meaning"),
    [
        ("42000", [], StatementStatus.STATEMENT_ERROR),
        ("42S02", None, StatementStatus.STATEMENT_ERROR),
        ("22012", [], StatementStatus.STATEMENT_ERROR),
        ("23505", [], StatementStatus.STATEMENT_ERROR),
        ("3F000", [], StatementStatus.STATEMENT_ERROR),
        ("08S01", [], StatementStatus.ENGINE_ERROR),
        ("HY000", [], StatementStatus.ENGINE_ERROR),
        ("53000", [], StatementStatus.ENGINE_ERROR),
        ("40001", [], StatementStatus.ENGINE_ERROR),
        ("XX000", [], StatementStatus.ENGINE_ERROR),
        (None, None, StatementStatus.ENGINE_ERROR),
        ("", [], StatementStatus.ENGINE_ERROR),
        ("42", [], StatementStatus.ENGINE_ERROR),
        ("42S02extra", [], StatementStatus.ENGINE_ERROR),
        ("42000", [hints.write(hints.NOT_RUN)], StatementStatus.REJECTED),
        (None, [hints.write(hints.NOT_RUN)], StatementStatus.REJECTED),
    ],
)
def test_an_engines_error_is_an_answer_a_turning_away_or_a_fault(state, said, meaning):
    assert classify(state, said) == meaning


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
    assert choose_idle(idle, wanted) == chosen
