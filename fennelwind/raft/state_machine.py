"""The interface of replicated state machines: equal commands give equal state on every controller.

A state machine uses neither a clock nor randomness, and its state is equal byte for byte. Time comes with
each entry; it never goes back, and it stands still while the Raft group has no leader.
"""

from typing import NamedTuple, Protocol


class LogPosition(NamedTuple):
    """The position of a command in the replicated log."""

    index: int  # of its entry, starting at 1
    clock_ms: int  # the replicated clock


class Facts(Protocol):
    """What state machines can read of each other: numbers by kind and key, as of the entry being applied."""

    def fact(self, kind: str, key: str) -> int:
        """Return a fact, or 0 if no state machine provides it.

        Kinds: `fence` (key: a task; the fencing token of its current holder, 0 if nobody holds it), `moving`
        (key: a table; how many of its shards are being moved), `changing` (key: a table; 1 while its schema
        changes).
        """


class UnreadableCommandError(Exception):
    """The state machine can't parse the command; its result is UNREADABLE and the state is unchanged."""


class StateMachine(Protocol):
    """A replicated state machine.

    A refusal is an ordinary result; the only exception that may be raised is `UnreadableCommandError`.
    """

    name: str
    kinds: tuple[str, ...]  # kinds of the facts that it provides

    def apply(self, at: LogPosition, command: bytes, facts: Facts) -> bytes:
        """Apply a command; return its result. Raises `UnreadableCommandError`."""

    def expire_due(self, at: LogPosition) -> None:
        """Expire what is due; called before an entry once `next_expiry_clock_ms` is reached."""

    def next_expiry_clock_ms(self) -> int | None:
        """Return when something expires next, on the replicated clock; None if nothing does."""

    def fact(self, kind: str, key: str) -> int:
        """Return a fact of one of its kinds; 0 if there is none."""

    def snapshot(self) -> bytes:
        """Return the serialized state; equal states give equal bytes."""

    def restore(self, data: bytes) -> None:
        """Replace the state by a serialized one; b"" is the empty state."""
