"""The interface by which dispatch reports to logs and metrics. Nothing depends on what an observer does."""

from typing import Protocol

from fennelwind.dispatch.ledger import Entry
from fennelwind.dispatch.types import AttemptEnd


class Observer(Protocol):
    """Receives the events of queries; called within a turn of the event loop, so it must not block."""

    def answered(self, entry: Entry) -> None:
        """Handle the final answer of a query."""

    def attempted(self, entry: Entry, number: int, engine: str, end: AttemptEnd, took_ms: float) -> None:
        """Handle the end of an attempt."""

    def logged(self, text: str) -> None:
        """Handle a log line that the policy wrote for operators."""

    def failed(self, where: str, exc: BaseException) -> None:
        """Handle an unexpected exception that was caught; `where` names the component that raised it."""


class SilentObserver:
    """An observer that ignores everything."""

    def answered(self, entry: Entry) -> None:
        """Do nothing."""

    def attempted(self, entry: Entry, number: int, engine: str, end: AttemptEnd, took_ms: float) -> None:
        """Do nothing."""

    def logged(self, text: str) -> None:
        """Do nothing."""

    def failed(self, where: str, exc: BaseException) -> None:
        """Do nothing."""
