"""Validates single values of parsed JSON, which may be of any type. No I/O."""

import reprlib
from typing import Any

MAX_NUMBER = 1e300  # larger numbers, infinity and NaN are rejected
MAX_ABBREVIATED_LENGTH = 60  # characters of an invalid value that a message includes


class JsonValueError(ValueError):
    """A JSON value that is invalid for its field."""

    def __init__(self, value: Any) -> None:
        super().__init__(value)
        self.value = value


def read_count(value: Any) -> int:
    """Return a non-negative integer. Raises `JsonValueError`."""
    if type(value) not in (int, float) or not 0 <= value < MAX_NUMBER or value != int(value):
        raise JsonValueError(value)
    return int(value)


def read_number(value: Any) -> float:
    """Return a non-negative number. Raises `JsonValueError`."""
    if type(value) not in (int, float) or not 0 <= value < MAX_NUMBER:
        raise JsonValueError(value)
    return float(value)


def read_text(value: Any) -> str:
    """Return a string that is not empty and was valid UTF-8. Raises `JsonValueError`."""
    if not isinstance(value, str) or not value or "\ufffd" in value:
        raise JsonValueError(value)
    return value


def abbreviate(value: Any) -> str:
    """Return the beginning of a value's representation for a message, however deeply it is nested."""
    return reprlib.repr(value)[:MAX_ABBREVIATED_LENGTH]
