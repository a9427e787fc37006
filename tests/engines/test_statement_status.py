"""Classification of engines' errors, and the choice of an idle connection."""

import pytest

from fennelwind.engines.connection_pool import choose_idle
from fennelwind.engines.statement_status import StatementStatus, classify
from fennelwind.thrift import hints


@pytest.mark.parametrize(
    ("sql_state", "said", "expected"),
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
def test_an_engines_error_is_classified_by_sqlstate_and_hints(sql_state, said, expected):
    assert classify(sql_state, said) == expected


@pytest.mark.parametrize(
    ("idle", "wanted", "expected"),
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
def test_idle_connections_are_chosen_by_their_database(idle, wanted, expected):
    assert choose_idle(idle, wanted) == expected
