"""The root of all errors that reach an operator: a stable code, facts in fields, what an operator can do.

Each error is a type of its own. Its `code` never changes once it was released; scripts and alerts may rest on
it. docs/operators/errors.md is made from the types.
"""

from collections.abc import Iterator
from typing import Any, ClassVar


class FennelwindError(Exception):
    """What reaches an operator: what happened, with facts, and what to do."""

    code: ClassVar[str] = ""  # lower case, words joined by dashes, the room first: "store-disk-full"
    advice: ClassVar[str] = ""  # what an operator can do, in whole sentences

    def __init__(self, text: str, **facts: Any) -> None:
        self.facts = facts
        super().__init__(text)

    def told(self) -> dict[str, Any]:
        """Return all there is to tell, for a structured log."""
        return {"code": self.code, "text": str(self), "advice": self.advice, **self.facts}


def kinds(root: type[FennelwindError] = FennelwindError) -> Iterator[type[FennelwindError]]:
    """Return the types of errors that have been imported, each once, in order of their codes."""
    found: dict[type[FennelwindError], None] = {}

    def gather(kind: type[FennelwindError]) -> None:
        for below in kind.__subclasses__():
            found[below] = None
            gather(below)

    gather(root)
    yield from sorted(found, key=lambda kind: (kind.code, kind.__name__))
