"""Parses the load report in a header of executors' responses. No I/O."""

from collections.abc import Collection
from contextlib import suppress

from fennelwind.node.http1 import Response
from fennelwind.node.wire_names import LOAD_REPORT_FIELDS, LOAD_REPORT_HEADER

MAX_REPORT_BYTES = 500  # bytes of the header that are read; a report has only a few fields
MAX_REPORTED_VALUE = 1e9  # larger, negative or non-numeric values are ignored


def read_load_report(response: Response, fields: Collection[str]) -> dict[str, float]:
    """Return the reported values of `fields`; unreadable ones are left out, since reports are optional."""
    header = response.headers.get(LOAD_REPORT_HEADER)
    report: dict[str, float] = {}
    if not header:
        return report
    for part in header[:MAX_REPORT_BYTES].decode("ascii", "replace").split(";"):
        name, _, text = part.strip().partition(":")
        name = LOAD_REPORT_FIELDS.get(name, name)
        if name in fields:
            with suppress(ValueError):
                value = float(text)
                if 0.0 <= value < MAX_REPORTED_VALUE:
                    report[name] = value
    return report
