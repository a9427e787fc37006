"""An index of the log on disk, without the entries themselves. No I/O.

It is maintained when the log is written, and rebuilt when the log is read.
"""

from collections.abc import Callable, Iterable

from fennelwind.raft import council_pb2 as pb
from fennelwind.raft_storage import store_pb2
from fennelwind.raft_storage.errors import InvalidWriteError

GENERATIONS = 2  # snapshots kept: if the newer one is unreadable, the older one and the log replace it


class LogIndex:
    """The terms of the held entries, the hard state, and the snapshots from which the log can be replayed."""

    def __init__(
        self,
        last_index: int = 0,
        last_term: int = 0,
        hard_state: bytes = b"",
        snapshot_heads: Iterable[pb.SnapshotHead] = (),
    ) -> None:
        self.base_index, self.base_term = last_index, last_term  # of the entry before the first held one
        self.terms: list[int] = []
        self.hard_state = hard_state
        self.snapshot_heads = list(snapshot_heads)  # oldest first
        self.retain_from = 0  # first entry retained although a snapshot covers it; 0 if none is

    @classmethod
    def from_head(cls, head: store_pb2.Head) -> "LogIndex":
        """Return the index as of a segment's first record."""
        heads = [pb.SnapshotHead.FromString(data) for data in head.heads]
        index = cls(head.last_index, head.last_term, head.hard, heads)
        index.retain_from = head.keep_from
        return index

    @property
    def last_index(self) -> int:
        """The last entry's index."""
        return self.base_index + len(self.terms)

    @property
    def snapshot_index(self) -> int:
        """The newest snapshot's index, or 0; the log is never truncated before it."""
        return self.snapshot_heads[-1].index if self.snapshot_heads else 0

    @property
    def last_term(self) -> int:
        """The last entry's term; 0 if there is none or it is unknown."""
        return self.terms[-1] if self.terms else self.base_term

    def term(self, index: int) -> int | None:
        """Return an entry's term, or None if the entry is not held."""
        if index == self.base_index:
            return self.base_term
        return self.terms[index - self.base_index - 1] if self.base_index < index <= self.last_index else None

    def follows(self, head: pb.SnapshotHead) -> bool:
        """Return whether the log continues after a snapshot; otherwise the snapshot replaces all entries."""
        if (
            head.index < max(self.base_index, self.snapshot_index)
            or head.index == self.base_index
            and not self.base_term
        ):
            return True
        return self.term(head.index) == head.term

    def add_snapshot(self, head: pb.SnapshotHead, retain_from: int) -> None:
        """Add a snapshot; ignore one that is older than the newest."""
        if not self.follows(head):
            retain_from = 0
            self.base_index, self.base_term, self.terms, self.snapshot_heads = head.index, head.term, [], []
        elif head.index < max(self.base_index, self.snapshot_index):
            return
        self.snapshot_heads = [h for h in self.snapshot_heads if h.index != head.index] + [head]
        self.retain_from = retain_from

    def truncate_after(self, after: int, has_snapshot: bool) -> None:
        """Remove the entries after an index; with a snapshot, entries that it covers stay.

        Raises `InvalidWriteError` if that would remove entries covered by an earlier snapshot.
        """
        if has_snapshot:
            after = max(after, self.snapshot_index)
        if after < self.snapshot_index:
            raise InvalidWriteError(
                f"truncation after {after}, but {self.snapshot_index} is committed", after=after
            )
        if after < self.base_index:  # the replay began later, as it needs no earlier entries
            self.base_index, self.base_term = after, 0
        del self.terms[after - self.base_index :]

    def append(self, entries: Iterable[pb.Entry]) -> int:
        """Append entries; return how many were new. Raises `InvalidWriteError` for a gap or a lower term.

        An entry is skipped if the log has one of this index and term, or if a snapshot covers its index and
        the term at that index is no longer known. In the latter case the entry is committed.
        """
        last, last_term, terms, added = self.last_index, self.last_term, self.terms, 0
        for entry in entries:
            index, term = entry.index, entry.term
            if index <= last and self.term(index) in (
                (term, None) if index <= self.snapshot_index else (term,)
            ):
                continue
            if index != last + 1 or term < last_term:
                raise InvalidWriteError(
                    f"entry {index} of term {term} after entry {last} of term {last_term}",
                    index=index,
                    term=term,
                )
            terms.append(term)
            last, last_term, added = index, term, added + 1
        return added

    def drop_old_generations(self, generations: int = GENERATIONS) -> None:
        """Keep only the newest generations of snapshots, and the terms after the oldest of them.

        While there are fewer snapshots, the empty log counts as the oldest generation: all entries stay.
        """
        del self.snapshot_heads[:-generations]
        if len(self.snapshot_heads) == generations and self.snapshot_heads[0].index > self.base_index:
            oldest = self.snapshot_heads[0]
            del self.terms[: oldest.index - self.base_index]
            self.base_index, self.base_term = oldest.index, oldest.term


class Replay:
    """Replays the groups of a log in order and collects the entries."""

    def __init__(self, log_index: LogIndex) -> None:
        self.log_index = log_index
        self.entries: list[pb.Entry] = []  # up to the last index of `log_index`

    def apply(self, group: store_pb2.Group, is_readable: Callable[[pb.SnapshotHead], bool]) -> None:
        """Apply a group; skip an unreadable snapshot if the log contains everything without it.

        Raises `InvalidWriteError` if the group doesn't fit the log, `DecodeError` if it can't be parsed.
        """
        index = self.log_index
        for step in group.steps:
            if step.head:
                head = pb.SnapshotHead.FromString(step.head)
                follows = index.follows(head)
                if not follows:
                    self.entries.clear()
                if not follows or is_readable(head):
                    index.add_snapshot(head, step.keep_from)
            if step.HasField("cut_after"):
                last = index.last_index
                index.truncate_after(step.cut_after, bool(step.head))
                del self.entries[max(0, len(self.entries) - (last - index.last_index)) :]
            entries = [pb.Entry.FromString(data) for data in step.entries]
            added = index.append(entries)
            self.entries += entries[len(entries) - added :]
            if step.hard:
                index.hard_state = step.hard

    def retained_entries(self) -> list[pb.Entry]:
        """Return the entries after the newest snapshot, and the retained ones that it covers."""
        index = self.log_index
        first = min(index.retain_from or index.snapshot_index + 1, index.snapshot_index + 1)
        return self.entries[max(0, len(self.entries) - (index.last_index + 1 - first)) :]
