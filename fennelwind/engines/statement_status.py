"""What an engine's error status on a statement means; without I/O.

Three cases have to be distinguished: the engine rejected the statement without running it (another engine may
accept it), the engine failed while running it (it may have run; another engine may succeed), and the
statement itself is wrong. The third case is an answer: the statement would fail at any engine, so it is
neither retried nor counted against the engine, and its client gets the engine's error unchanged.
"""

from collections.abc import Sequence
from enum import Enum, auto

from fennelwind.thrift import hints

# Classes of SQLSTATE (SQL:2016 part 2, 24.1) that report an error of the statement and not of the engine.
STATEMENT_ERROR_CLASSES = {
    "07",  # dynamic SQL error
    "0A",  # feature not supported
    "21",  # cardinality violation
    "22",  # data exception
    "23",  # integrity constraint violation
    "2F",  # SQL routine exception
    "3D",  # invalid catalog name
    "3F",  # invalid schema name
    "42",  # syntax error or access rule violation
    "44",  # with check option violation
}


class StatementStatus(Enum):
    """What an error status means for the attempt."""

    STATEMENT_ERROR = auto()  # the statement itself is wrong; the error is the answer
    REJECTED = auto()  # the engine never ran the statement
    ENGINE_ERROR = auto()  # the statement may have run


def classify(sql_state: str | None, messages: Sequence[str] | None) -> StatementStatus:
    """Return what an error status with this SQLSTATE and these info messages means."""
    if hints.NOT_RUN in hints.read(messages):
        return StatementStatus.REJECTED
    if sql_state is not None and len(sql_state) == 5 and sql_state[:2] in STATEMENT_ERROR_CLASSES:
        return StatementStatus.STATEMENT_ERROR
    return StatementStatus.ENGINE_ERROR
