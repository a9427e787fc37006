"""A member's folder: its log in segments, its snapshots, whose it is.

Files: `meta` (whose folder it is), `log-N` (segments), `marks-N` (how far a segment was acknowledged),
`snapshot-INDEX-TERM`, `reserve` (room that is given up for a snapshot). A name that ends in `.new` is not yet
what its name says.

The orders, each step when the one before has returned:

- A folder made anew: `log-1.new` written, synced, renamed, names synced; `meta.new` written, synced, renamed,
  names synced. `meta` is the last: a folder without it whose log holds nothing is made anew.
- A write: the snapshot if there is one; the group's records behind the segment; the segment synced. Now it
  counts. Then its mark, not synced.
- A snapshot: `snapshot.new` written, synced, renamed to its own name, names synced; then the group that names
  it, by which it counts. Only behind that group's sync is removed what nobody needs any more.
- A new segment (the last one is large enough, or the folder was opened): `log-N.new` with a first record that
  says where the log stands, synced, renamed, names synced. Groups go to it from then on.
- Opening: `meta` is written anew as it is, for the process that made it may have failed to sync its name.
  The last group in the last segment may have been written and not synced, even where it reads well. It is
  written again into a new segment; all before it was synced before it was written. A small last segment is
  written again as a whole and replaced.
- A write that failed, in any of its calls: the store takes nothing more. `reopen` reads the folder anew,
  drops all groups that were not acknowledged, and goes on in a new segment; a file whose sync failed is
  never written or synced again.
"""

from collections.abc import Callable, Iterable, Iterator
from contextlib import suppress
from dataclasses import dataclass
from typing import NamedTuple, TypeVar

from google.protobuf.message import DecodeError, Message

from fennelwind.loop.disk import READ_MOST, Disk, DiskError, DiskFull, NameMissing
from fennelwind.raft import council_pb2 as pb
from fennelwind.raft.messages import DurableState, Incarnation, Write
from fennelwind.raft.snapshot_chunks import MAX_SNAPSHOT_BYTES
from fennelwind.raft_storage import record_format
from fennelwind.raft_storage import store_pb2 as kept
from fennelwind.raft_storage.errors import (
    InsufficientSpaceError,
    InvalidWriteError,
    LogDamagedError,
    MetaDamagedError,
    MetaMissingError,
    NewerFormatError,
    SegmentMissingError,
    SnapshotDamagedError,
    StoreError,
    StoreStoppedError,
    WriteTooLargeError,
    WrongFleetError,
    WrongMemberError,
)
from fennelwind.raft_storage.log_index import GENERATIONS, Replay, Shape

FORMAT = 1  # of all files; a folder with a higher one is refused
META, RESERVE, NEW = "meta", "reserve", ".new"
LOG, MARKS, SNAPSHOT = "log-", "marks-", "snapshot-"
OURS = (META, LOG, SNAPSHOT)  # kinds of files that are first written under another name
MARKS_READ = 4096  # bytes at the end of a file of marks that are looked at; the last one counts
SPARE = 65536  # bytes of the reserve given up with what a file takes: for blocks, its name, marks
READ_AT_ONCE = 65536  # bytes of groups between two pauses; some 2 ms of work

Kind = TypeVar("Kind", bound=Message)


@dataclass(slots=True, frozen=True)
class StoreLimits:
    """How large what is written gets, in bytes."""

    segment_bytes: int = (
        8 << 20
    )  # the next write begins a new segment; short enough that little outlives its use
    max_group_bytes: int = 160 << 20  # of one write at most; the council proposes nothing with 128 MB of log
    max_snapshot_bytes: int = MAX_SNAPSHOT_BYTES  # at most; the council takes and sends no larger one
    reserve_bytes: int = 16 << 20  # held for a snapshot while the disk is full
    max_rewrite_bytes: int = (
        64 << 10
    )  # a last segment of so much is written again at an opening: restarts add no files
    min_free_bytes: int = 32 << 20  # free: below it room is short, and a full store waits for as much


class _Segment(NamedTuple):
    """A segment as it was read."""

    head: kept.Head
    groups: list[kept.Group]  # whole ones, from number `head.group` on
    data: bytes
    rest: int | None  # where what is not a whole group begins; None: there is no such thing


class Store:
    """The record on disk. One task at a time may call it."""

    def __init__(
        self, disk: Disk, fleet: str, name: str, limits: StoreLimits, pause: Callable[[], None]
    ) -> None:
        self.disk, self.fleet, self.name, self.limits, self.pause = disk, fleet, name, limits, pause
        self.life = b""
        self.shape = Shape()
        self.segments: dict[int, int] = {}  # those needed: the last index before each
        self.segment = self.size = 0  # the one written to, and its bytes
        self.first = 1  # the first that is needed, as the disk says
        self.group = 0  # the last that is on the disk
        self.failed = True  # nothing is written until the folder was read anew
        self.full = False  # the last failure was for want of room
        self.read = 0  # bytes of groups since the last pause
        self.fallbacks = 0  # snapshots that could not be read while an older one and the log said all
        self.unswept = 0  # times that files could not be removed; they are at the next opening or snapshot
        self.unmarked = 0  # marks that could not be written

    @classmethod
    def open(
        cls,
        disk: Disk,
        fleet: str,
        name: str,
        life: bytes,
        limits: StoreLimits | None = None,
        pause: Callable[[], None] = lambda: None,
    ) -> tuple["Store", DurableState]:
        """Take the folder and read it; make it if it is empty, for a member with this life.

        `pause` is called while a log is read, each few ms of work: it lets other tasks run. Raises
        `StoreError` where the folder can't be used, `DiskError` where the disk fails; who asked closes it.
        """
        store = cls(disk, fleet, name, limits or StoreLimits(), pause)
        disk.lock()
        if META not in disk.names():
            store._make(life)
        else:
            store._check_meta()
            store._put_meta()
        durable = store._load(None)
        store._take_reserve()
        return store, durable

    def write(self, *writes: Write) -> None:
        """Carry writes out, as one group with one sync; on return all of them are on the disk.

        Raises `WriteTooLargeError` ahead of any effect. After any other error nothing of them counts, and
        nothing is taken until `reopen`.
        """
        if self.failed:
            raise StoreStoppedError("an earlier write failed; the folder has to be read anew")
        group = _grouped(writes)
        for size, most in (
            (group.ByteSize(), self.limits.max_group_bytes),
            *((len(write.snapshot), self.limits.max_snapshot_bytes) for write in writes),
        ):
            if size > most:
                raise WriteTooLargeError(f"{size} bytes in one write, {most} at most", size=size, most=most)
        self.failed, self.full = True, False  # also for who is cancelled in the middle
        try:
            self._write(group, writes)
        except DiskFull:
            self.full = True
            raise
        self.failed = False
        if group.first_segment:
            self.first = group.first_segment
            self._sweep()
            self._take_reserve()

    def reopen(self, head: pb.SnapshotHead | None = None, snapshot: bytes = b"") -> DurableState:
        """Read anew what the disk holds after a failed write, and take writes again.

        Of the failed write nothing counts. A snapshot of what is agreed and applied, handed in while the disk
        is full, is written at the cost of the reserve and takes the place of all else. Raises
        `InsufficientSpaceError` where the disk was full and still is nearly so; `DiskError` or `StoreError`
        as `open` does.
        """
        self.failed = True
        if self.full and head is None:
            self._check_room()
        try:
            durable = self._load(self.group)
            if head is not None and self.full:
                if durable.snapshot_head is None or durable.snapshot_head.index < head.index:
                    self.write(Write(0, snapshot_head=head, snapshot=snapshot))
                self.failed = self.full = True
                durable = self._load(self.group, generations=1)
                self.failed = True
                self._check_room()
        except DiskFull:
            self.full = True
            raise
        self.failed = self.full = False
        self._take_reserve()
        return durable

    def is_low_on_space(self) -> bool:
        """Tell whether room is nearly used up."""
        return self.disk.free() < self.limits.min_free_bytes

    def close(self) -> None:
        """Give the folder up."""
        self.failed = True
        self.disk.close()

    # Whose folder it is.

    def _make(self, life: bytes) -> None:
        for name in self.disk.names():  # what a making that was cut short left, and nothing else
            if name.endswith(NEW) or not name.startswith((LOG, MARKS, SNAPSHOT)):
                continue
            if name != _log(1) or self._read_segment(1).groups:
                raise MetaMissingError(f"{META} is not there, but {name} is", file=name)
        self.life = life
        self._begin(self._head(1, 1, 1))
        self._put_meta()

    def _put_meta(self) -> None:
        meta = kept.Meta(format=FORMAT, fleet=self.fleet, name=self.name, life=self.life)
        self._put(META, [record_format.pack(record_format.META, 0, meta.SerializeToString())])

    def _check_meta(self) -> None:
        data = self._whole(META, record_format.AROUND + record_format.RECORD_MOST, MetaDamagedError)
        record = record_format.read(data, 0)
        if record is None or record.kind != record_format.META or record.end != len(data):
            raise MetaDamagedError(f"{META} can't be read", file=META)
        meta = _parsed(kept.Meta, record.payload, MetaDamagedError, META)
        if meta.format > FORMAT:
            raise NewerFormatError(
                f"the folder's format is {meta.format}, this version's {FORMAT}", format=meta.format
            )
        if meta.fleet != self.fleet:
            raise WrongFleetError(f"the folder is of the fleet {meta.fleet!r}", fleet=meta.fleet)
        if meta.name != self.name:
            raise WrongMemberError(f"the folder is the member {meta.name!r}'s", member=meta.name)
        self.life = meta.life

    # Reading.

    def _load(self, acknowledged: int | None, generations: int = GENERATIONS) -> DurableState:
        """Read the folder and begin a new segment; drop what is known not to be acknowledged."""
        segments, again = self._read_log(acknowledged, generations)
        last = segments[-1]
        sure = last.head.group - 1 + len(last.groups)
        reached = sure + len(again)
        marked = self._marked() if acknowledged is None else acknowledged
        if reached < marked:
            raise LogDamagedError(
                f"group {marked} was acknowledged, the log ends with {reached}", group=marked, reached=reached
            )
        self.segments = {s.head.segment: s.head.last_index for s in segments}
        number = last.head.segment + bool(last.groups)  # one that says nothing of its own is replaced
        replay, snapshot, head = self._replay(segments, again, generations, number, sure + 1)
        head.whole = len(again)
        body = b"".join(
            record_format.parts(sure + 1 + place, group.SerializeToString())
            for place, group in enumerate(again)
        )
        self.shape, self.group = replay.shape, reached
        self._begin(head, body)
        self.first = max([head.first_segment, *(group.first_segment for group in again)])
        self.shape.trim(generations)
        self._mark()
        self._sweep()
        newest = self.shape.heads[-1] if self.shape.heads else None
        hard = _parsed(pb.HardState, self.shape.hard, LogDamagedError, _log(number))
        self.failed = False
        return DurableState(Incarnation(self.name, self.life), hard, newest, snapshot, replay.wanted())

    def _read_log(
        self, acknowledged: int | None, generations: int
    ) -> tuple[list[_Segment], list[kept.Group]]:
        """Return the segments needed, with the groups that count, and those that are to be written again."""
        numbers = _numbers(self.disk.names(), LOG)
        if not numbers:
            raise SegmentMissingError("there is no log", file=_log(1))
        last, again = self._read_segment(numbers[-1]), []
        if acknowledged is not None:
            del last.groups[max(0, acknowledged + 1 - last.head.group) :]
        else:
            after = last.head.group + len(last.groups)
            if (
                len(last.groups) < last.head.whole
                or last.rest is not None
                and not record_format.torn(last.data, last.rest, after)
            ):
                offset = last.rest or len(last.data)
                raise LogDamagedError(
                    f"{_log(numbers[-1])} is damaged at {offset}", file=_log(numbers[-1]), offset=offset
                )
        first = max([last.head.first_segment, *(group.first_segment for group in last.groups)])
        if len(last.data) <= self.limits.max_rewrite_bytes and generations == GENERATIONS:
            again, last.groups[:] = last.groups[:], []
        elif acknowledged is None and last.groups:
            again = [last.groups.pop()]  # the one in doubt
        segments = [last]
        for number in range(numbers[-1] - 1, first - 1, -1):
            if number not in numbers:
                raise SegmentMissingError(f"{_log(number)} is not there", file=_log(number))
            segment, following = self._read_segment(number), segments[0].head.group
            if segment.head.group + len(segment.groups) < following:
                raise LogDamagedError(
                    f"{_log(number)} ends before group {following}",
                    file=_log(number),
                    offset=segment.rest or len(segment.data),
                )
            del segment.groups[following - segment.head.group :]  # never acknowledged
            segments.insert(0, segment)
        return segments, again

    def _read_segment(self, number: int) -> _Segment:
        name = _log(number)
        data = self._whole(name, self.limits.segment_bytes + 2 * self.limits.max_group_bytes, LogDamagedError)
        record = record_format.read(data, 0)
        if record is None or record.kind != record_format.HEAD:
            raise LogDamagedError(f"{name} has no beginning", file=name, offset=0)
        head = _parsed(kept.Head, record.payload, LogDamagedError, name)
        if head.format > FORMAT:
            raise NewerFormatError(
                f"{name} is of format {head.format}, this version's is {FORMAT}", format=head.format
            )
        if head.segment != number or self.life and head.life != self.life:
            raise LogDamagedError(f"{name} is not this folder's", file=name, offset=0)
        groups: list[kept.Group] = []
        at = begin = record.end
        payloads: list[bytes] = []
        while (record := record_format.read(data, at)) is not None:
            if record.kind not in (
                record_format.PART,
                record_format.LAST,
            ) or record.number != head.group + len(groups):
                raise LogDamagedError(f"{name} has what does not belong there at {at}", file=name, offset=at)
            payloads.append(record.payload)
            at = record.end
            if record.kind == record_format.LAST:
                groups.append(_parsed(kept.Group, b"".join(payloads), LogDamagedError, name))
                payloads, begin = [], at
        return _Segment(head, groups, data, at if begin < len(data) else None)

    def _replay(
        self, segments: list[_Segment], again: list[kept.Group], generations: int, number: int, group: int
    ) -> tuple[Replay, bytes, kept.Head]:
        """Return what the groups make, the newest snapshot, and a new segment's first record."""
        bad: set[int] = set()
        while True:
            replay = Replay(Shape.of(segments[0].head))
            shape = replay.shape
            try:
                for segment in segments:
                    self._check_joint(shape, segment.head)
                    shape.heads = [one for one in Shape.of(segment.head).heads if one.index not in bad]
                    for one in segment.groups:
                        replay.take(one, lambda head: head.index not in bad)
                        self._worked(one.ByteSize())
                shape.trim(generations)
                head = self._head(number, group, self._first(shape), shape)
                for one in again:
                    replay.take(one, lambda head: head.index not in bad)
                    self._worked(one.ByteSize())
            except (InvalidWriteError, DecodeError) as exc:
                raise LogDamagedError(f"the log does not fit together: {exc}") from None
            if not shape.heads:
                if shape.start:
                    raise SnapshotDamagedError("no snapshot is whole behind which the log goes on")
                return replay, b"", head
            newest = shape.heads[-1]
            snapshot = self._read_snapshot(newest)
            if snapshot is not None:
                self.fallbacks += bool(bad)
                return replay, snapshot, head
            if newest.index in bad:
                name = _snapshot(newest)
                raise SnapshotDamagedError(
                    f"{name} can't be read, and the log does not go back so far", file=name
                )
            bad.add(newest.index)

    @staticmethod
    def _check_joint(shape: Shape, head: kept.Head) -> None:
        if (shape.last, shape.hard) != (head.last_index, head.hard) or shape.last_term not in (
            0,
            head.last_term,
        ):
            raise LogDamagedError(
                f"{_log(head.segment)} does not go on where the one before ends", file=_log(head.segment)
            )

    def _read_snapshot(self, head: pb.SnapshotHead) -> bytes | None:
        """Return a snapshot's bytes; None: it is not there or not whole."""
        try:
            data = self._whole(_snapshot(head), 2 * self.limits.max_snapshot_bytes, SnapshotDamagedError)
        except (NameMissing, SnapshotDamagedError):
            return None
        record = record_format.read(data, 0)
        if record is None or record.kind != record_format.SNAPSHOT:
            return None
        start = kept.SnapshotStart.FromString(record.payload)
        told, pieces = pb.SnapshotHead.FromString(start.head), []
        while record is not None and record.end < len(data):
            record = record_format.read(data, record.end)
            if record is None or record.kind != record_format.PIECE or record.number != len(pieces) + 1:
                return None
            pieces.append(record.payload)
        snapshot = b"".join(pieces)
        if (told.index, told.term, start.size) != (head.index, head.term, len(snapshot)):
            return None
        return snapshot

    def _marked(self) -> int:
        """Return the last group that a mark says was acknowledged; marks are not synced and may be gone."""
        found = 0
        for one in _numbers(self.disk.names(), MARKS)[-2:]:
            size = self.disk.size(_marks(one))
            data = self.disk.read(_marks(one), max(0, size - MARKS_READ))
            at = data.find(record_format.MAGIC)
            while at >= 0:
                record = record_format.read(data, at)
                if record is not None and record.kind == record_format.MARK:
                    found = max(found, record.number)
                at = data.find(record_format.MAGIC, at + 1)
        return found

    def _whole(self, name: str, most: int, kind: type[StoreError]) -> bytes:
        """Return a file's bytes, of which there are no more than so many."""
        size = self.disk.size(name)
        if size > most:
            raise kind(f"{name} has {size} bytes, more than any that was written", file=name, size=size)
        pieces: list[bytes] = []
        at = 0
        while piece := self.disk.read(name, at, READ_MOST):
            pieces.append(piece)
            at += len(piece)
        return b"".join(pieces)

    # Writing.

    def _write(self, group: kept.Group, writes: tuple[Write, ...]) -> None:
        if self.size >= self.limits.segment_bytes:
            self._begin(self._head(self.segment + 1, self.group + 1, self._first(self.shape)), may_take=False)
        for write in writes:
            if write.snapshot_head is not None:
                self.shape.snapshot(write.snapshot_head, write.retain_from)
            if write.truncate_after is not None:
                self.shape.cut(write.truncate_after, write.snapshot_head is not None)
            self.shape.append(write.entries)
            if write.hard_state is not None:
                self.shape.hard = write.hard_state.SerializeToString()
        for write in writes:
            if write.snapshot_head is not None:
                self._put(_snapshot(write.snapshot_head), _pieces(write.snapshot_head, write.snapshot))
                self.shape.trim()
                group.first_segment = self._first(self.shape)
        data = record_format.parts(self.group + 1, group.SerializeToString())
        self.disk.append(_log(self.segment), data)
        self.disk.sync(_log(self.segment))
        self.group += 1
        self.size += len(data)
        self._mark()

    def _head(self, segment: int, group: int, first: int, shape: Shape | None = None) -> kept.Head:
        """Return a new segment's first record."""
        shape = shape or self.shape
        return kept.Head(
            format=FORMAT,
            life=self.life,
            segment=segment,
            group=group,
            hard=shape.hard,
            heads=[head.SerializeToString() for head in shape.heads],
            last_index=shape.last,
            last_term=shape.last_term,
            first_segment=first,
            keep_from=shape.keep_from,
        )

    def _begin(self, head: kept.Head, body: bytes = b"", may_take: bool = True) -> None:
        """Begin a segment, with records that are written again."""
        data = record_format.pack(record_format.HEAD, head.segment, head.SerializeToString()) + body
        self._put(_log(head.segment), [data], may_take)
        self.segments[head.segment] = head.last_index
        self.segment, self.size = head.segment, len(data)

    def _put(self, name: str, pieces: Iterable[bytes], may_take: bool = True) -> None:
        """Write a file as a whole; give up as much of the reserve as it takes, if need be.

        A log that merely grows must not take it.
        """
        pieces = list(pieces)
        try:
            self._put_once(name, pieces)
        except DiskFull:
            if not may_take or not self._give_reserve(sum(map(len, pieces)) + SPARE):
                raise
            self._put_once(name, pieces)

    def _put_once(self, name: str, pieces: list[bytes]) -> None:
        new = name + NEW
        with suppress(NameMissing):
            self.disk.remove(new)
        for piece in pieces:
            self.disk.append(new, piece)
        self.disk.sync(new)
        self.disk.rename(new, name)
        self.disk.sync_names()

    def _worked(self, size: int) -> None:
        """Count bytes that were read; let other tasks run now and then."""
        self.read += size
        if self.read >= READ_AT_ONCE:
            self.read = 0
            self.pause()

    def _mark(self) -> None:
        """Note that the last group is acknowledged; a mark that fails costs nothing but its use."""
        try:
            self.disk.append(_marks(self.segment), record_format.pack(record_format.MARK, self.group, b""))
        except DiskError:
            self.unmarked += 1

    # Room.

    def _first(self, shape: Shape) -> int:
        """Return the first segment that is needed to read the log behind the oldest snapshot kept."""
        return max(
            (number for number, last in self.segments.items() if last <= shape.start),
            default=min(self.segments, default=1),
        )

    def _sweep(self) -> None:
        """Remove what nobody needs; what can't be removed is left for the next time."""
        first, wanted = self.first, {_snapshot(head) for head in self.shape.heads}
        self.segments = {number: last for number, last in self.segments.items() if number >= first}
        try:
            gone = [
                name
                for name in self.disk.names()
                if name.endswith(NEW)
                and name.startswith(OURS)
                or name.startswith(SNAPSHOT)
                and name not in wanted
                or any(number < first for kind in (LOG, MARKS) for number in _numbers([name], kind))
            ]
            for name in gone:
                self.disk.remove(name)
            if gone:
                self.disk.sync_names()
        except DiskError:
            self.unswept += 1

    def _check_room(self) -> None:
        free = self.disk.free()
        if free < self.limits.min_free_bytes:
            raise InsufficientSpaceError(
                f"{free} bytes are free, {self.limits.min_free_bytes} are wanted",
                free=free,
                wanted=self.limits.min_free_bytes,
            )

    def _take_reserve(self) -> None:
        """Hold room for a snapshot, as far as the disk has it to spare."""
        try:
            held = self.disk.size(RESERVE) if RESERVE in self.disk.names() else 0
            missing = self.limits.reserve_bytes - held
            if missing <= 0 or self.disk.free() < missing + self.limits.min_free_bytes:
                return
            while missing:
                self.disk.append(RESERVE, bytes(min(READ_MOST, missing)))
                missing -= min(READ_MOST, missing)
            self.disk.sync(RESERVE)
        except DiskError:
            self._give_reserve(self.limits.reserve_bytes)

    def _give_reserve(self, size: int) -> bool:
        """Give so many bytes of the reserve up, or what there is; tell whether there was one."""
        try:
            left = self.disk.size(RESERVE) - size
            if left > 0:
                self.disk.truncate(RESERVE, left)
                self.disk.sync(RESERVE)  # some systems give blocks back only then
            else:
                self.disk.remove(RESERVE)
                self.disk.sync_names()
        except DiskError:
            return False
        return True


def _pieces(head: pb.SnapshotHead, snapshot: bytes) -> Iterator[bytes]:
    start = kept.SnapshotStart(head=head.SerializeToString(), size=len(snapshot))
    yield record_format.pack(record_format.SNAPSHOT, 0, start.SerializeToString())
    for number, at in enumerate(range(0, len(snapshot), record_format.RECORD_MOST), 1):
        yield record_format.pack(record_format.PIECE, number, snapshot[at : at + record_format.RECORD_MOST])


def _grouped(writes: Iterable[Write]) -> kept.Group:
    group = kept.Group()
    for write in writes:
        step = group.steps.add(entries=[entry.SerializeToString() for entry in write.entries])
        if write.snapshot_head is not None:
            step.head, step.keep_from = write.snapshot_head.SerializeToString(), write.retain_from
        if write.truncate_after is not None:
            step.cut_after = write.truncate_after
        if write.hard_state is not None:
            step.hard = write.hard_state.SerializeToString()
    return group


def _parsed(kind: type[Kind], data: bytes, error: type[StoreError], name: str) -> Kind:
    try:
        return kind.FromString(data)
    except DecodeError:
        raise error(f"{name} has a record that can't be read", file=name) from None


def _log(number: int) -> str:
    return f"{LOG}{number:010d}"


def _marks(number: int) -> str:
    return f"{MARKS}{number:010d}"


def _snapshot(head: pb.SnapshotHead) -> str:
    return f"{SNAPSHOT}{head.index:020d}-{head.term:020d}"


def _numbers(names: list[str], kind: str) -> list[int]:
    """Return the numbers of the files of a kind, in order."""
    return sorted(
        int(name[len(kind) :]) for name in names if name.startswith(kind) and name[len(kind) :].isdigit()
    )
