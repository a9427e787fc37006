"""What keeps state on the record: the same commands give the same state on every controller, byte for byte.

A machine has no clock and no chance. Time comes with each entry; it never goes back, and while the council
has no leader it stands still.
"""

from typing import NamedTuple, Protocol


class LogPosition(NamedTuple):
    """Where on the record a command stands."""

    index: int  # of its entry, from 1
    clock_ms: int  # the record's clock


class Facts(Protocol):
    """What machines may know of one another: numbers by kind and key, as of the entry being applied."""

    def fact(self, kind: str, key: str) -> int:
        """Return what the record says; 0 where nobody says anything.

        Kinds: `fence` (key: a task; the fence of its present holder, 0 if nobody holds it), `moving` (key: a
        table; how many of its shards are under way), `changing` (key: a table; 1 while its schema changes).
        """


class UnreadableCommandError(Exception):
    """The command's bytes are none of this machine's; the record answers UNREADABLE, state is as before."""


class StateMachine(Protocol):
    """State on the record.

    A refusal is a result like any other; only `UnreadableCommandError` may be raised.
    """

    name: str
    kinds: tuple[str, ...]  # of the facts that it tells

    def apply(self, at: LogPosition, command: bytes, facts: Facts) -> bytes:
        """Carry a command out; return its result. Raises `UnreadableCommandError`."""

    def expire_due(self, at: LogPosition) -> None:
        """Let lapse what is due at this time; called ahead of each entry from `due` on."""

    def next_expiry_clock_ms(self) -> int | None:
        """Return when something lapses next, on the record's clock; None: never."""

    def fact(self, kind: str, key: str) -> int:
        """Return a fact of one of its kinds; 0 where there is nothing to say."""

    def snapshot(self) -> bytes:
        """Return its state; equal states give equal bytes."""

    def restore(self, data: bytes) -> None:
        """Take a state in place of its own; b"" is the empty one."""
