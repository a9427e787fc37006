"""Reads and checks single values of parsed JSON, which may be anything. No I/O."""

import reprlib
from typing import Any

MAX_FIGURE = 1e300  # larger numbers, infinity and NaN are rejected
MAX_SHOWN = 60  # letters of an unreadable value that a message shows


class JsonValueError(ValueError):
    """A value of JSON that is not what its field needs."""

    def __init__(self, value: Any) -> None:
        super().__init__(value)
        self.value = value


def read_count(value: Any) -> int:
    """Return a whole number that is not negative. Raises `JsonValueError`."""
    if type(value) not in (int, float) or not 0 <= value < MAX_FIGURE or value != int(value):
        raise JsonValueError(value)
    return int(value)


def read_figure(value: Any) -> float:
    """Return a number that is not negative. Raises `JsonValueError`."""
    if type(value) not in (int, float) or not 0 <= value < MAX_FIGURE:
        raise JsonValueError(value)
    return float(value)


def read_text(value: Any) -> str:
    """Return a text that is not empty and was UTF-8. Raises `JsonValueError`."""
    if not isinstance(value, str) or not value or "\ufffd" in value:
        raise JsonValueError(value)
    return value


def shown(value: Any) -> str:
    """Return the beginning of a value, however deep it is, for a message."""
    return reprlib.repr(value)[:MAX_SHOWN]
