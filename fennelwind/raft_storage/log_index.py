"""What the log holds, without its contents: kept while writing, made anew while reading. No I/O."""

from collections.abc import Callable, Iterable

from fennelwind.raft import council_pb2 as pb
from fennelwind.raft_storage import store_pb2 as kept
from fennelwind.raft_storage.errors import InvalidWriteError

GENERATIONS = 2  # snapshots kept: if the newer can't be read, the log behind the older still says all


class Shape:
    """Terms of the entries held, the hard state, and the snapshots behind which the log can be read."""

    def __init__(
        self,
        last_index: int = 0,
        last_term: int = 0,
        hard: bytes = b"",
        heads: Iterable[pb.SnapshotHead] = (),
    ) -> None:
        self.start, self.start_term = last_index, last_term  # of the entry before the first one held
        self.terms: list[int] = []
        self.hard = hard
        self.heads = list(heads)  # the older first
        self.keep_from = 0  # entries from here on are wanted though a snapshot holds them; 0: none

    @classmethod
    def of(cls, head: kept.Head) -> "Shape":
        """Return what a segment's first record says."""
        heads = [pb.SnapshotHead.FromString(data) for data in head.heads]
        shape = cls(head.last_index, head.last_term, head.hard, heads)
        shape.keep_from = head.keep_from
        return shape

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

    def snapshot(self, head: pb.SnapshotHead, keep_from: int) -> None:
        """Take a snapshot; one older than the newest changes nothing."""
        if not self.joins(head):
            keep_from = 0
            self.start, self.start_term, self.terms, self.heads = head.index, head.term, [], []
        elif head.index < max(self.start, self.agreed):
            return
        self.heads = [h for h in self.heads if h.index != head.index] + [head]
        self.keep_from = keep_from

    def cut(self, after: int, with_head: bool) -> None:
        """Drop the entries behind an index; with a snapshot, what it holds stays."""
        if with_head:
            after = max(after, self.agreed)
        if after < self.agreed:
            raise InvalidWriteError(f"cut behind {after}, but {self.agreed} is agreed", after=after)
        if after < self.start:  # reading began behind it, since nobody needs what lies there
            self.start, self.start_term = after, 0
        del self.terms[after - self.start :]

    def append(self, entries: Iterable[pb.Entry]) -> int:
        """Take entries behind those that are held; return how many were new.

        One of the same index and term is the same entry; so is one that a snapshot holds, which is agreed.
        """
        last, last_term, terms, taken = self.last, self.last_term, self.terms, 0
        for entry in entries:
            index, term = entry.index, entry.term
            if index <= last and self.term(index) in ((term, None) if index <= self.agreed else (term,)):
                continue
            if index != last + 1 or term < last_term:
                raise InvalidWriteError(
                    f"entry {index} of term {term} behind {last} of term {last_term}", index=index, term=term
                )
            terms.append(term)
            last, last_term, taken = index, term, taken + 1
        return taken

    def trim(self, generations: int = GENERATIONS) -> None:
        """Keep so many generations only, and no terms that none of them needs.

        Before there are as many, the empty log is the oldest: all entries stay.
        """
        del self.heads[:-generations]
        if len(self.heads) == generations and self.heads[0].index > self.start:
            floor = self.heads[0]
            del self.terms[: floor.index - self.start]
            self.start, self.start_term = floor.index, floor.term


class Replay:
    """Reads a log's groups in their order; holds the entries."""

    def __init__(self, shape: Shape) -> None:
        self.shape = shape
        self.entries: list[pb.Entry] = []  # ends where `shape` does

    def take(self, group: kept.Group, good: Callable[[pb.SnapshotHead], bool]) -> None:
        """Carry a group out; a snapshot that can't be read is passed over where the log says all without it.

        Raises `InvalidWriteError` if it does not fit what is before it, `DecodeError` if it can't be read.
        """
        shape = self.shape
        for step in group.steps:
            if step.head:
                head = pb.SnapshotHead.FromString(step.head)
                joins = shape.joins(head)
                if not joins:
                    self.entries.clear()
                if not joins or good(head):
                    shape.snapshot(head, step.keep_from)
            if step.HasField("cut_after"):
                last = shape.last
                shape.cut(step.cut_after, bool(step.head))
                del self.entries[max(0, len(self.entries) - (last - shape.last)) :]
            entries = [pb.Entry.FromString(data) for data in step.entries]
            taken = shape.append(entries)
            self.entries += entries[len(entries) - taken :]
            if step.hard:
                shape.hard = step.hard

    def wanted(self) -> list[pb.Entry]:
        """Return the entries behind the newest snapshot, and those before it that are wanted and held."""
        shape = self.shape
        first = min(shape.keep_from or shape.agreed + 1, shape.agreed + 1)
        return self.entries[max(0, len(self.entries) - (shape.last + 1 - first)) :]
