"""A machine of the rig's own: numbered registers, whose histories are checked. No I/O."""

import json

from fennelwind.raft.state_machine import Facts, LogPosition, UnreadableCommandError

KEYS_MOST = 1000  # registers; a rig uses a handful


class Registers:
    """`["put", key, value]` and `["swap", key, old, new]`; a query is a key, its answer the value as JSON."""

    name = "registers"
    kinds: tuple[str, ...] = ()

    def __init__(self) -> None:
        self.values: dict[str, int] = {}

    def apply(self, at: LogPosition, command: bytes, facts: Facts) -> bytes:
        """Carry a command out; answer whether it was done."""
        try:
            what, key, *rest = json.loads(command)
        except (ValueError, TypeError):
            raise UnreadableCommandError("no list of JSON") from None
        match what, rest:
            case "put", [int(value)]:
                done = True
            case "swap", [int(old), int(value)]:
                done = self.values.get(key, 0) == old
            case _:
                raise UnreadableCommandError(f"{str(what)[:20]!r} is nothing to do")
        done = done and (key in self.values or len(self.values) < KEYS_MOST)
        if done:
            self.values[key] = value
        return json.dumps(done).encode()

    def expire_due(self, at: LogPosition) -> None:
        """Nothing lapses."""

    def next_expiry_clock_ms(self) -> None:
        """Nothing lapses."""

    def fact(self, kind: str, key: str) -> int:
        """Tell nothing to others."""
        return 0

    def asked(self, query: bytes) -> bytes:
        """Return a register's value."""
        return json.dumps(self.values.get(query.decode("utf-8", "replace"), 0)).encode()

    def snapshot(self) -> bytes:
        """Return all state; equal states give equal bytes."""
        return json.dumps(self.values, sort_keys=True).encode()

    def restore(self, data: bytes) -> None:
        """Take a state in place of its own."""
        self.values = json.loads(data) if data else {}
