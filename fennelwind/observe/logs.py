"""Logs by structlog, as JSON or for a terminal; rate-limited where clients or engines could flood them."""

import sys
from collections.abc import Callable
from typing import Any, TextIO

import structlog

from fennelwind.core.ledger import Entry
from fennelwind.core.types import SERVED, AttemptEnd
from fennelwind.limits.lines import RateLimit

TEXT_MOST = 300  # letters of a reason in a log


def configure(form: str = "console", stream: TextIO | None = None) -> None:
    """Set logging up for the process; `form` is json or console. Logs go to standard error."""
    stream = stream or sys.stderr
    last = structlog.processors.JSONRenderer() if form == "json" else structlog.dev.ConsoleRenderer(
        colors=stream.isatty())
    structlog.configure(
        processors=[structlog.processors.add_log_level, structlog.processors.TimeStamper(fmt="iso"),
                    structlog.processors.format_exc_info, last],
        logger_factory=structlog.PrintLoggerFactory(stream), cache_logger_on_first_use=True)


class LogObserver:
    """Logs what the core tells. `every_answer` gives a line for each final answer, without a limit."""

    def __init__(self, now: Callable[[], float], classes: tuple[str, ...],
                 every_answer: bool = False) -> None:
        self.log = structlog.get_logger()
        self.classes, self.every_answer = classes, every_answer
        self.limit = RateLimit(now)

    def answered(self, entry: Entry) -> None:
        """Log a final answer: each one on request, else those that are not served."""
        answer = entry.answer
        if not self.every_answer:
            if answer.kind == SERVED:
                return
            dropped = self.limit.allow(answer.kind)
            if dropped is None:
                return
            more = {"dropped": dropped} if dropped else {}
        else:
            more = {}
        took = entry.answered_ms - entry.taken_ms
        self.log.info(
            "answer", query=entry.query, query_class=self.classes[entry.submission.cls], kind=answer.kind,
            user=entry.submission.user, took_ms=round(took, 1), attempts=entry.attempts,
            reason=answer.reason[:TEXT_MOST], **more)

    def attempted(self, entry: Entry, number: int, engine: str, end: AttemptEnd, took_ms: float) -> None:
        """Log an attempt that did not end well."""
        if end.status not in ("ok", "moot", "cancelled"):
            self._limited("attempt", query=entry.query, attempt=number, engine=engine, status=end.status,
                          reason=end.reason[:TEXT_MOST], took_ms=round(took_ms, 1))

    def said(self, text: str) -> None:
        """Log a line of the module's or of discovery's."""
        self._limited("note", text=text[:TEXT_MOST])

    def failed(self, where: str, exc: BaseException) -> None:
        """Log what broke and should not have."""
        if self.limit.allow("failed") is not None:
            self.log.error("failed", where=where, exc_info=exc)

    def council(self, what: str, facts: dict[str, Any]) -> None:
        """Log what the council's carriers tell: few lines, none for a command."""
        self._limited("council", what=what, **facts)

    def _limited(self, event: str, **fields: Any) -> None:
        dropped = self.limit.allow(event)
        if dropped is not None:
            self.log.warning(event, **fields, **({"dropped": dropped} if dropped else {}))
