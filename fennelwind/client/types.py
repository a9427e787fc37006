"""Values: from columns to Python's types, and parameters into statements."""

from collections.abc import Callable, Mapping, Sequence
from datetime import date, datetime, time, timedelta
from decimal import Decimal
from typing import Any

from fennelwind.client.errors import InterfaceError, ProgrammingError
from fennelwind.thrift.codec import Structure

# TTypeId of the published interface.
NAMES = (
    "BOOLEAN",
    "TINYINT",
    "SMALLINT",
    "INT",
    "BIGINT",
    "FLOAT",
    "DOUBLE",
    "STRING",
    "TIMESTAMP",
    "BINARY",
    "ARRAY",
    "MAP",
    "STRUCT",
    "UNION",
    "USER_DEFINED",
    "DECIMAL",
    "NULL",
    "DATE",
    "VARCHAR",
    "CHAR",
    "INTERVAL_YEAR_MONTH",
    "INTERVAL_DAY_TIME",
    "TIMESTAMPLOCALTZ",
)


class TypeGroup(frozenset):
    """A group of type names; a column's type equals the group that it is in (PEP 249)."""

    def __eq__(self, other: object) -> bool:
        return other in self if isinstance(other, str) else frozenset.__eq__(self, other)

    __hash__ = frozenset.__hash__


STRING = TypeGroup({"STRING", "VARCHAR", "CHAR"})
BINARY = TypeGroup({"BINARY"})
NUMBER = TypeGroup({"BOOLEAN", "TINYINT", "SMALLINT", "INT", "BIGINT", "FLOAT", "DOUBLE", "DECIMAL"})
DATETIME = TypeGroup({"TIMESTAMP", "DATE", "TIMESTAMPLOCALTZ"})
ROWID = TypeGroup()
Date, Time, Timestamp, Binary = date, time, datetime, bytes


def type_name(column: Structure) -> str:
    """Return the name of a column's type, by its description."""
    types = column.typeDesc.types if column.typeDesc is not None else None
    entry = types[0].primitiveEntry if types else None
    return NAMES[entry.type] if entry is not None and 0 <= entry.type < len(NAMES) else "STRING"


def _text(raw: bytes) -> str:
    return raw.decode("utf-8", "replace")


def _moment(raw: bytes) -> datetime:
    return datetime.fromisoformat(_text(raw)[:26])  # an engine may tell nanoseconds


READERS: dict[str, Callable[[Any], Any]] = {
    "TIMESTAMP": _moment,
    "DATE": lambda raw: date.fromisoformat(_text(raw)),
    "DECIMAL": lambda raw: Decimal(_text(raw)),
    "BINARY": lambda raw: raw,
}


def read_page(page: Structure, names: Sequence[str]) -> list[tuple[Any, ...]]:
    """Return a page's rows as Python's values; what can't be read as its type stays text."""
    columns = []
    for column, name in zip(page.columns or (), names, strict=True):
        values = next(v for f in column.FIELDS if (v := getattr(column, f.name)) is not None)
        nulls = int.from_bytes(values.nulls or b"", "little")
        read = READERS.get(name, _text)
        got = []
        for i, value in enumerate(values.values):
            if nulls >> i & 1:
                value = None
            elif isinstance(value, bytes):
                try:
                    value = read(value)
                except (ValueError, ArithmeticError):
                    value = _text(value)
            got.append(value)
        columns.append(got)
    return list(zip(*columns, strict=True))


def literal(value: Any) -> str:
    """Return a parameter as it stands in a statement. Raises `ProgrammingError` for what has no literal."""
    if value is None:
        return "NULL"
    if isinstance(value, bool):
        return "TRUE" if value else "FALSE"
    if isinstance(value, int | Decimal):
        return str(value)
    if isinstance(value, float):
        if value != value or value in (float("inf"), float("-inf")):
            raise ProgrammingError(f"{value} has no literal")
        return repr(value)
    if isinstance(value, datetime):
        return f"'{value.isoformat(sep=' ')}'"
    if isinstance(value, date | time):
        return f"'{value.isoformat()}'"
    if isinstance(value, bytes):
        return f"unhex('{value.hex()}')"
    if isinstance(value, str):
        quoted = value.replace("\\", "\\\\").replace("'", "\\'").replace("\n", "\\n").replace("\r", "\\r")
        return "'" + quoted.replace("\0", "\\0") + "'"
    if isinstance(value, Sequence):
        return "(" + ", ".join(literal(each) for each in value) + ")"
    raise ProgrammingError(f"a {type(value).__name__} has no literal")


def bind(statement: str, parameters: Mapping[str, Any] | Sequence[Any] | None) -> str:
    """Put parameters into a statement: `%(name)s` by name, `%s` in order; `%%` is a percent sign.

    Raises `ProgrammingError` for missing ones. Without parameters the statement stays as it is.
    """
    if parameters is None:
        return statement
    if isinstance(parameters, str | bytes):
        raise InterfaceError("parameters are a mapping or a sequence")
    try:
        if isinstance(parameters, Mapping):
            return statement % {name: literal(value) for name, value in parameters.items()}
        return statement % tuple(literal(value) for value in parameters)
    except (KeyError, TypeError, ValueError) as exc:
        raise ProgrammingError(f"parameters do not fit the statement: {exc}") from None


__all__ = [
    "BINARY",
    "Binary",
    "DATETIME",
    "Date",
    "NUMBER",
    "ROWID",
    "STRING",
    "Time",
    "Timestamp",
    "bind",
    "literal",
    "read_page",
    "timedelta",
    "type_name",
]
