"""The controller's log: lines on standard error, without a logging package.

structlog alone takes 9 MB of the 32 MB that the smallest memory limit leaves. A line that can't be written is
lost; writing never blocks or raises.
"""

import contextlib
import os
import stat
import sys
import traceback
from collections.abc import Callable

from fennelwind.dispatch.ledger import Entry
from fennelwind.dispatch.types import AnswerKind, AttemptEnd
from fennelwind.limits.log_rate_limit import RateLimit
from fennelwind.policy import AttemptStatus

MAX_TEXT_LENGTH = 300  # characters of a line
MAX_STATE_LENGTH = 2000  # characters of a line that reports the state of all executors


class Log:
    """The driver's observer: writes lines to standard error, rate-limited by kind."""

    def __init__(self, now: Callable[[], float]) -> None:
        """Open the log on standard error; a pipe is made non-blocking, as its reader may stall."""
        self.limit = RateLimit(now)
        self.fd = sys.stderr.fileno()
        if stat.S_ISFIFO(os.fstat(self.fd).st_mode):
            os.set_blocking(self.fd, False)

    def write(self, kind: str, text: str, max_length: int = MAX_TEXT_LENGTH) -> None:
        """Write a line, unless the rate limit of its kind drops it."""
        dropped = self.limit.allow(kind)
        if dropped is None:
            return
        suffix = f" ({dropped} such lines before were dropped)" if dropped else ""
        line = f"{kind}: {' '.join(text[:max_length].split())}{suffix}\n"
        with contextlib.suppress(OSError):  # no reader, or too slow a reader: the line is lost
            os.write(self.fd, line.encode("utf-8", "replace"))

    def answered(self, entry: Entry) -> None:
        """Log the answer of a query that was not served."""
        answer = entry.answer
        assert answer is not None, "an answered query has an answer"
        if answer.kind != AnswerKind.SERVED:
            self.write(
                answer.kind,
                f"query {entry.query} of class {entry.submission.class_index} after "
                f"{entry.answered_ms - entry.received_ms:.0f} ms: {answer.reason}",
            )

    def attempted(self, entry: Entry, number: int, engine: str, end: AttemptEnd, took_ms: float) -> None:
        """Log the end of an attempt that failed."""
        if end.status not in (AttemptStatus.OK, AttemptStatus.CANCELLED):
            self.write(
                end.status,
                f"query {entry.query} attempt {number} at {engine} after {took_ms:.0f} ms: {end.reason}",
            )

    def logged(self, text: str) -> None:
        """Log a message of kind `note`."""
        self.write("note", text)

    def failed(self, where: str, exc: BaseException) -> None:
        """Log an unhandled exception."""
        trace = " | ".join(traceback.format_exception(exc)[-3:])
        self.write("broke", f"{where}: {trace[-MAX_TEXT_LENGTH:]}")
