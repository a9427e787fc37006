"""What an engine's word on a statement means; without I/O.

Three things have to be told apart, or decisions go wrong: an engine that turned the statement away unseen
(it never ran, another may take it), one that failed with it (it may have run, another might do better), and
a statement that is itself at fault. The last is an answer: it would fail anywhere, so it is neither tried
again nor held against the engine, and its client gets the engine's own words.
"""

from collections.abc import Sequence

from fennelwind.thrift import hints

# Classes of SQLSTATE (SQL:2016 part 2, 24.1) that speak of the statement and not of who ran it.
STATEMENTS_OWN = {
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
ANSWER, TURNED_AWAY, FAULT = "answer", "turned away", "fault"


def verdict(sql_state: str | None, messages: Sequence[str] | None) -> str:
    """Return what an error status means: `ANSWER`, `TURNED_AWAY` or `FAULT`."""
    if hints.NOT_RUN in hints.read(messages):
        return TURNED_AWAY
    if sql_state is not None and len(sql_state) == 5 and sql_state[:2] in STATEMENTS_OWN:
        return ANSWER
    return FAULT


def choose_link(idle: Sequence[str], wanted: str) -> int | None:
    """Return which idle link to use, given the database that each stands in; None: open one.

    The one used last that stands in the wanted database, else the one used last, which `USE` can take
    there. A link that was taken elsewhere can't find back to the engine's own first database, as nobody
    here knows its name.
    """
    for i in range(len(idle) - 1, -1, -1):
        if idle[i] == wanted:
            return i
    return len(idle) - 1 if idle and wanted else None
