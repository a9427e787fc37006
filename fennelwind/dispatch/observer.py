"""What dispatch reports to logs and measurements. An observer decides nothing and may drop everything."""

from typing import Protocol

from fennelwind.dispatch.ledger import Entry
from fennelwind.dispatch.types import AttemptEnd


class Observer(Protocol):
    """Receives what happens to queries; called within the turn of the loop, so it must not wait."""

    def answered(self, entry: Entry) -> None:
        """A query got its final answer."""

    def attempted(self, entry: Entry, number: int, engine: str, end: AttemptEnd, took_ms: float) -> None:
        """An attempt ended."""

    def logged(self, text: str) -> None:
        """The policy wrote a line for the operators."""

    def failed(self, where: str, exc: BaseException) -> None:
        """An unexpected exception was caught."""


class SilentObserver:
    """An observer that drops everything."""

    def answered(self, entry: Entry) -> None:
        """Drop it."""

    def attempted(self, entry: Entry, number: int, engine: str, end: AttemptEnd, took_ms: float) -> None:
        """Drop it."""

    def logged(self, text: str) -> None:
        """Drop it."""

    def failed(self, where: str, exc: BaseException) -> None:
        """Drop it."""
