"""The interface of replicated state machines: equal commands give equal state on every controller.

A state machine uses neither a clock nor randomness, and its snapshots are equal byte for byte. Each
entry carries the replicated clock, which never goes back and doesn't advance while the Raft group has no
leader.
"""

from typing import NamedTuple, Protocol


class LogPosition(NamedTuple):
    """The position of a command in the replicated log."""

    index: int  # index of the command's entry; the first entry has index 1
    clock_ms: int  # the replicated clock


class Facts(Protocol):
    """What state machines can read of each other: numbers by kind and key, as of the entry being applied."""

    def fact(self, kind: str, key: str) -> int:
        """Return a fact, or 0 if no state machine provides it.

        The kind `fence` has a task as key and gives the fencing token of the task's current holder, or 0 if
        nobody holds the task. The kinds `moving` and `changing` have a table as key: `moving` gives the
        number of the table's shards that are being moved, `changing` gives 1 while its schema changes.
        """


class UnreadableCommandError(Exception):
    """The state machine can't parse the command; its result is UNREADABLE and the state is unchanged."""


class StateMachine(Protocol):
    """A replicated state machine.

    A refusal is an ordinary result; the only exception that may be raised is `UnreadableCommandError`.
    """

    name: str
    kinds: tuple[str, ...]  # kinds of the facts that this state machine provides

    def apply(self, at: LogPosition, command: bytes, facts: Facts) -> bytes:
        """Apply a command; return its result. Raises `UnreadableCommandError`."""

    def expire_due(self, at: LogPosition) -> None:
        """Expire everything due; called before an entry is applied whose clock reaches the next expiry."""

    def next_expiry_clock_ms(self) -> int | None:
        """Return when something expires next, on the replicated clock; None if nothing does."""

    def fact(self, kind: str, key: str) -> int:
        """Return a fact of one of this state machine's kinds; 0 if there is none."""

    def snapshot(self) -> bytes:
        """Return the serialized state; equal states give equal bytes."""

    def restore(self, data: bytes) -> None:
        """Replace the state by a serialized one; b"" is the empty state."""
