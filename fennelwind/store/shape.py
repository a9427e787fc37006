"""What the log holds, without its contents: kept while writing, made anew while reading. No I/O."""

from collections.abc import Callable, Iterable

from fennelwind.council import council_pb2 as pb
from fennelwind.store import store_pb2 as kept
from fennelwind.store.errors import WriteRefused

GENERATIONS = 2  # snapshots kept: if the newer can't be read, the log behind the older still says all


class Shape:
    """Terms of the entries held, the hard state, and the snapshots behind which the log can be read."""

    def __init__(self, last_index: int = 0, last_term: int = 0, hard: bytes = b"",
                 heads: Iterable[pb.SnapshotHead] = ()) -> None:
        self.start, self.start_term = last_index, last_term  # of the entry before the first one held
        self.terms: list[int] = []
        self.hard = hard
        self.heads = list(heads)  # the older first

    @classmethod
    def of(cls, head: kept.Head) -> "Shape":
        """Return what a segment's first record says."""
        heads = [pb.SnapshotHead.FromString(data) for data in head.heads]
        return cls(head.last_index, head.last_term, head.hard, heads)

    @property
    def last(self) -> int:
        """Return the last entry's index."""
        return self.start + len(self.terms)

    @property
    def agreed(self) -> int:
        """Return the newest snapshot's index: no log is cut before it."""
        return self.heads[-1].index if self.heads else 0

    @property
    def last_term(self) -> int:
        """Return the last entry's term; 0: there is none, or it is not known."""
        return self.terms[-1] if self.terms else self.start_term

    def term(self, index: int) -> int | None:
        """Return an entry's term; None: it is not held."""
        if index == self.start:
            return self.start_term
        return self.terms[index - self.start - 1] if self.start < index <= self.last else None

    def joins(self, head: pb.SnapshotHead) -> bool:
        """Tell whether the log goes on behind a snapshot; otherwise it takes the place of all entries."""
        if head.index < max(self.start, self.agreed) or head.index == self.start and not self.start_term:
            return True
        return self.term(head.index) == head.term

    def snapshot(self, head: pb.SnapshotHead) -> None:
        """Take a snapshot; one older than the newest changes nothing."""
        if not self.joins(head):
            self.start, self.start_term, self.terms, self.heads = head.index, head.term, [], []
        elif head.index < max(self.start, self.agreed):
            return
        self.heads = [h for h in self.heads if h.index != head.index] + [head]

    def cut(self, after: int) -> None:
        """Drop the entries behind an index."""
        if after < self.agreed:
            raise WriteRefused(f"cut behind {after}, but {self.agreed} is agreed", after=after)
        if after < self.start:  # reading began behind it, since nobody needs what lies there
            self.start, self.start_term = after, 0
        del self.terms[after - self.start:]

    def append(self, entries: Iterable[pb.Entry]) -> None:
        """Take entries behind those that are held."""
        last, last_term, terms = self.last, self.last_term, self.terms
        for entry in entries:
            index, term = entry.index, entry.term
            if index != last + 1 or term < last_term:
                raise WriteRefused(f"entry {index} of term {term} behind {last} of term {last_term}",
                                   index=index, term=term)
            terms.append(term)
            last, last_term = index, term

    def trim(self, generations: int = GENERATIONS) -> None:
        """Keep so many generations only, and no terms that none of them needs.

        Before there are as many, the empty log is the oldest: all entries stay.
        """
        del self.heads[:-generations]
        if len(self.heads) == generations and self.heads[0].index > self.start:
            floor = self.heads[0]
            del self.terms[:floor.index - self.start]
            self.start, self.start_term = floor.index, floor.term


class Replay:
    """Reads a log's groups in their order; holds the entries."""

    def __init__(self, shape: Shape) -> None:
        self.shape = shape
        self.entries: list[pb.Entry] = []  # ends where `shape` does

    def take(self, group: kept.Group, good: Callable[[pb.SnapshotHead], bool]) -> None:
        """Carry a group out; a snapshot that can't be read is passed over where the log says all without it.

        Raises `WriteRefused` if it does not fit what is before it, `DecodeError` if it can't be read.
        """
        shape = self.shape
        for step in group.steps:
            if step.head:
                head = pb.SnapshotHead.FromString(step.head)
                joins = shape.joins(head)
                if not joins:
                    self.entries.clear()
                if not joins or good(head):
                    shape.snapshot(head)
            if step.HasField("cut_after"):
                last = shape.last
                shape.cut(step.cut_after)
                del self.entries[max(0, len(self.entries) - (last - shape.last)):]
            entries = [pb.Entry.FromString(data) for data in step.entries]
            shape.append(entries)
            self.entries += entries
            if step.hard:
                shape.hard = step.hard

    def behind(self, index: int) -> list[pb.Entry]:
        """Return the entries behind an index."""
        return self.entries[len(self.entries) - (self.shape.last - index):]
