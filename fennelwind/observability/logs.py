"""Logs by structlog, as JSON or for a terminal; rate-limited where clients or engines could flood them."""

import sys
from collections.abc import Callable
from contextlib import suppress
from typing import Any, TextIO

import structlog

from fennelwind.dispatch.ledger import Entry
from fennelwind.dispatch.types import AnswerKind, AttemptEnd
from fennelwind.limits.log_rate_limit import RateLimit
from fennelwind.loop.nonblocking_writer import Outlet

TEXT_MOST = 300  # letters of a reason in a log


class Lines:
    """Writes lines, or loses them: a full disk or a reader that stands still must not stop the controller.

    How many were lost is told with the next line that is written.
    """

    def __init__(self, stream: TextIO | None) -> None:
        self.stream, self.lost, self._text = stream, 0, ""
        self._outlet: Outlet | None = None
        with suppress(OSError, ValueError, AttributeError):  # no descriptor: nothing that could stand still
            self._outlet = Outlet(stream.fileno())

    def write(self, text: str) -> None:
        """Take a part of a line."""
        self._text += text

    def flush(self) -> None:
        """Write the line, as far as that is possible at once."""
        text, self._text = self._text, ""
        if self.stream is None:  # closed by who started this
            self.lost += 1
            return
        try:
            if self._outlet is None:
                self.stream.write(text)
                self.stream.flush()
            else:
                self._outlet.write(text.encode("utf-8", "replace"))
            self.lost = 0
        except (OSError, ValueError):  # no room, nobody reads, closed
            self.lost += 1

    def tell(self, logger: object, method: str, line: dict[str, Any]) -> dict[str, Any]:
        """Say in a line how many before it were lost; one of structlog's processors."""
        return line | {"lost": self.lost} if self.lost else line


def configure(form: str = "console", stream: TextIO | None = None) -> None:
    """Set logging up for the process; `form` is json or console. Logs go to standard error."""
    stream = stream or sys.stderr
    lines = Lines(stream)
    last = (
        structlog.processors.JSONRenderer()
        if form == "json"
        else structlog.dev.ConsoleRenderer(colors=stream is not None and stream.isatty())
    )
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso"),
            structlog.processors.format_exc_info,
            lines.tell,
            last,
        ],
        logger_factory=structlog.PrintLoggerFactory(lines),
        cache_logger_on_first_use=True,
    )


class LogObserver:
    """Logs what the core tells. `every_answer` gives a line for each final answer, without a limit."""

    def __init__(
        self, now: Callable[[], float], classes: tuple[str, ...], every_answer: bool = False
    ) -> None:
        self.log = structlog.get_logger()
        self.classes, self.every_answer = classes, every_answer
        self.limit = RateLimit(now)

    def answered(self, entry: Entry) -> None:
        """Log a final answer: each one on request, else those that are not served."""
        answer = entry.answer
        if not self.every_answer:
            if answer.kind == AnswerKind.SERVED:
                return
            dropped = self.limit.allow(answer.kind)
            if dropped is None:
                return
            more = {"dropped": dropped} if dropped else {}
        else:
            more = {}
        took = entry.answered_ms - entry.received_ms
        self.log.info(
            "answer",
            query=entry.query,
            query_class=self.classes[entry.submission.class_index],
            kind=answer.kind,
            user=entry.submission.user,
            took_ms=round(took, 1),
            attempts=entry.attempts,
            reason=answer.reason[:TEXT_MOST],
            **more,
        )

    def attempted(self, entry: Entry, number: int, engine: str, end: AttemptEnd, took_ms: float) -> None:
        """Log an attempt that did not end well."""
        if end.status not in ("ok", "moot", "cancelled"):
            self._limited(
                "attempt",
                query=entry.query,
                attempt=number,
                engine=engine,
                status=end.status,
                reason=end.reason[:TEXT_MOST],
                took_ms=round(took_ms, 1),
            )

    def logged(self, text: str) -> None:
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
