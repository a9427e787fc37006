"""The in-memory log: entries after a base index, and the configuration as of each entry. No I/O."""

from bisect import bisect_right
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from fennelwind.raft import council_pb2 as pb
from fennelwind.raft.messages import Incarnation


class Configuration(NamedTuple):
    """The group's members and voters, in effect from the entry at `index` on."""

    index: int
    members: pb.Members
    incarnations: tuple[Incarnation, ...]  # all members, ordered by name
    voters: tuple[Incarnation, ...]  # the members that count towards a majority


def make_configuration(index: int, members: pb.Members) -> Configuration:
    """Return the configuration that an entry at this index puts into effect."""
    return Configuration(
        index,
        members,
        tuple(Incarnation(m.name, m.life) for m in members.members),
        tuple(Incarnation(m.name, m.life) for m in members.members if m.votes),
    )


class Log:
    """Contiguous entries from `base_index` + 1 to `last_index`; an appended entry is never modified.

    The entries up to `base_index` are committed and covered by a snapshot. Of these entries, the log still
    knows only the term of the last one.
    """

    def __init__(self, head: pb.SnapshotHead | None, entries: Sequence[pb.Entry]) -> None:
        self.base_index, self.base_term = (head.index, head.term) if head is not None else (0, 0)
        self.entries: list[pb.Entry] = list(entries)
        self.size_bytes = sum(entry.ByteSize() for entry in self.entries)
        self.configurations: list[Configuration] = [make_configuration(0, pb.Members())]
        # The snapshot may cover the first entries; in that case the first entry becomes the base.
        if self.entries and self.entries[0].index <= self.base_index:
            first = self.entries.pop(0)
            self.size_bytes -= first.ByteSize()
            self.base_index, self.base_term = first.index, first.term
        if head is not None:
            self.configurations += [
                make_configuration(e.index, e.members)
                for e in self.entries
                if e.index < head.index and e.WhichOneof("what") == "members"
            ]
            self.configurations.append(make_configuration(head.index, head.members))
        start = head.index if head is not None else 0
        self.configurations += [
            make_configuration(e.index, e.members)
            for e in self.entries
            if e.index > start and e.WhichOneof("what") == "members"
        ]

    @property
    def last_index(self) -> int:
        """The last entry's index; 0 in an empty log."""
        return self.base_index + len(self.entries)

    @property
    def last_term(self) -> int:
        """The last entry's term; 0 in an empty log."""
        return self.entries[-1].term if self.entries else self.base_term

    @property
    def configuration(self) -> Configuration:
        """The latest configuration in the log, committed or not."""
        return self.configurations[-1]

    def configuration_at(self, index: int) -> Configuration:
        """Return the configuration in effect at an index."""
        return next(
            configuration for configuration in reversed(self.configurations) if configuration.index <= index
        )

    def configurations_from(self, index: int) -> list[Configuration]:
        """Return the configuration in effect at an index, and all later configurations."""
        if self.configurations[-1].index <= index:
            return self.configurations[-1:]
        return self.configurations[
            bisect_right(self.configurations, index, key=lambda configuration: configuration.index) - 1 :
        ]

    def term(self, index: int) -> int | None:
        """Return an entry's term, or None if the log doesn't hold it."""
        if index == self.base_index:
            return self.base_term
        if self.base_index < index <= self.last_index:
            return self.entries[index - self.base_index - 1].term
        return None

    def slice(self, first: int, last: int) -> list[pb.Entry]:
        """Return the held entries from `first` to `last`, both included."""
        return self.entries[max(first - self.base_index - 1, 0) : max(last - self.base_index, 0)]

    def batch(self, first: int, last: int, max_bytes: int) -> list[pb.Entry]:
        """Return entries from `first` on, up to `max_bytes` in total, but at least one if any is held."""
        entries, size = [], 0
        for entry in self.slice(first, last):
            size += entry.ByteSize()
            if entries and size > max_bytes:
                break
            entries.append(entry)
        return entries

    def append(self, entries: Iterable[pb.Entry]) -> None:
        """Add entries that follow the last one."""
        for entry in entries:
            self.entries.append(entry)
            self.size_bytes += entry.ByteSize()
            if entry.WhichOneof("what") == "members":
                self.configurations.append(make_configuration(entry.index, entry.members))

    def truncate_after(self, after: int) -> None:
        """Remove all entries after an index; the configuration reverts to the one at that index."""
        self.size_bytes -= sum(entry.ByteSize() for entry in self.slice(after + 1, self.last_index))
        del self.entries[max(after - self.base_index, 0) :]
        while self.configurations[-1].index > after:
            self.configurations.pop()

    def compact(self, base: int) -> None:
        """Discard entries up to `base`, which a snapshot covers."""
        term = self.term(base)
        if term is None or base <= self.base_index:
            return
        self.size_bytes -= sum(entry.ByteSize() for entry in self.slice(self.base_index + 1, base))
        del self.entries[: base - self.base_index]
        self.base_index, self.base_term = base, term
        position = bisect_right(self.configurations, base, key=lambda configuration: configuration.index) - 1
        del self.configurations[:position]

    def find_conflict_index(self, term: int, index: int) -> int:
        """Return the last index up to `index` whose term is at most `term`: no later entry can match."""
        index = min(index, self.last_index)
        while index > self.base_index and self.entries[index - self.base_index - 1].term > term:
            index -= 1
        return index
