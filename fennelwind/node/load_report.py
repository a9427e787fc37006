"""Reads the load report that rides on executors' responses. No I/O."""

from collections.abc import Collection
from contextlib import suppress

from fennelwind.node.http1 import Response
from fennelwind.node.wire_names import LOAD_REPORT_FIELDS, LOAD_REPORT_HEADER

MAX_REPORT_BYTES = 500  # bytes of a header that are read; a report holds a handful of figures
MAX_REPORTED_FIGURE = 1e9  # larger, negative or non-numeric values are ignored


def read_load_report(response: Response, fields: Collection[str]) -> dict[str, float]:
    """Return the figures with these names; whatever can't be read is left out, as a report is optional."""
    header = response.headers.get(LOAD_REPORT_HEADER)
    report: dict[str, float] = {}
    if not header:
        return report
    for part in header[:MAX_REPORT_BYTES].decode("ascii", "replace").split(";"):
        name, _, text = part.strip().partition(":")
        name = LOAD_REPORT_FIELDS.get(name, name)
        if name in fields:
            with suppress(ValueError):
                figure = float(text)
                if 0.0 <= figure < MAX_REPORTED_FIGURE:
                    report[name] = figure
    return report
