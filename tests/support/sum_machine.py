"""A simple replicated state machine for tests."""

from fennelwind.raft.state_machine import UnreadableCommandError


class Sum:
    """Adds up numbers; if `lapse_ms` is set, resets the sum that long after the first command."""

    name, kinds, lapse_ms = "sum", ("sum",), 0

    def __init__(self):
        self.sum, self.expiry_clock_ms = 0, None

    def apply(self, at, command, facts):
        if not command.isdigit():
            raise UnreadableCommandError("no number")
        self.sum += int(command)
        if self.lapse_ms and self.expiry_clock_ms is None:
            self.expiry_clock_ms = at.clock_ms + self.lapse_ms
        return b"%d" % self.sum

    def expire_due(self, at):
        self.sum, self.expiry_clock_ms = 0, None

    def next_expiry_clock_ms(self):
        return self.expiry_clock_ms

    def fact(self, kind, key):
        return self.sum

    def snapshot(self):
        return (
            b"%d" % self.sum if self.expiry_clock_ms is None else b"%d %d" % (self.sum, self.expiry_clock_ms)
        )

    def restore(self, data):
        self.sum, self.expiry_clock_ms = [*map(int, data.split()), None][:2] if data else (0, None)
