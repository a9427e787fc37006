"""A machine for the record that is easy to see through."""

from fennelwind.raft.state_machine import UnreadableCommandError


class Sum:
    """Adds up numbers and tells the sum; lets all lapse some time after the first, if one is set."""

    name, kinds, lapse_ms = "sum", ("sum",), 0

    def __init__(self):
        self.sum, self.until = 0, None

    def apply(self, at, command, facts):
        if not command.isdigit():
            raise UnreadableCommandError("no number")
        self.sum += int(command)
        if self.lapse_ms and self.until is None:
            self.until = at.clock_ms + self.lapse_ms
        return b"%d" % self.sum

    def expire_due(self, at):
        self.sum, self.until = 0, None

    def next_expiry_clock_ms(self):
        return self.until

    def fact(self, kind, key):
        return self.sum

    def snapshot(self):
        return b"%d" % self.sum if self.until is None else b"%d %d" % (self.sum, self.until)

    def restore(self, data):
        self.sum, self.until = [*map(int, data.split()), None][:2] if data else (0, None)
