"""A member's folder: its identity, its log in segments, and its snapshots.

Files: `meta` (the identity of the folder's owner), `log-N` (segments), `marks-N` (the numbers of a
segment's acknowledged groups), `snapshot-INDEX-TERM`, `reserve` (disk space that is released for a snapshot
on a full disk). A file whose name ends in `.new` is incomplete until it is renamed.

The order of operations; each step begins when the one before has returned:

- A new folder: `log-1.new` is written, synced, renamed, the directory synced; then the same for `meta.new`.
  `meta` comes last: a folder without `meta` whose log is empty is created again.
- A write: the snapshot, if there is one; the group's records are appended to the segment; the segment is
  synced. Now the write is durable. Then its mark is appended, without a sync.
- A snapshot: `snapshot.new` is written, synced, renamed, the directory synced; then the group that refers to
  the snapshot is written, which makes the snapshot valid. Files that are no longer needed are removed only
  after that group's sync.
- A new segment (the last one is large enough, or the folder was opened): `log-N.new` with a first record that
  holds the state of the log is written, synced, renamed, the directory synced. Later groups go there.
- Opening: `meta` is rewritten unchanged, as the process that created it may have failed to sync the file's
  name. The last group in the last segment may have been written without a sync, even if it is readable; it is
  rewritten to a new segment. All earlier groups were synced before that group was written. A small last
  segment is rewritten and replaced as a whole.
- A write that failed in any of its calls: the store accepts no more writes. `reopen` reads the folder again,
  drops all groups that were not acknowledged, and continues in a new segment; a file whose sync failed is
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
from fennelwind.raft_storage import record_format, store_pb2
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
from fennelwind.raft_storage.log_index import GENERATIONS, LogIndex, Replay

FORMAT = 1  # version of all files' format; a folder in a later format is refused
META, RESERVE, NEW = "meta", "reserve", ".new"
LOG, MARKS, SNAPSHOT = "log-", "marks-", "snapshot-"
RENAMED_PREFIXES = (META, LOG, SNAPSHOT)  # files that are first written under a `.new` name
MARKS_TAIL_BYTES = 4096  # bytes read from the end of a marks file; only the last mark matters
RESERVE_MARGIN_BYTES = 65536  # released in addition to a file's size: for blocks, the file's name and marks
READ_BATCH_BYTES = 65536  # bytes of groups replayed between two pauses: some 2 ms of work

MessageType = TypeVar("MessageType", bound=Message)


@dataclass(slots=True, frozen=True)
class StoreLimits:
    """Size limits of the files and of free space, in bytes."""

    segment_bytes: int = (
        8 << 20
    )  # at this size a new segment begins; it is small so that obsolete entries are removed soon
    max_group_bytes: int = 160 << 20  # bytes of one write; Raft rejects proposals at 128 MB of log
    max_snapshot_bytes: int = MAX_SNAPSHOT_BYTES  # Raft neither takes nor sends a larger one
    reserve_bytes: int = 16 << 20  # disk space kept for a snapshot on a full disk
    max_rewrite_bytes: int = 64 << 10  # a smaller last segment is rewritten at opening: restarts add no files
    min_free_bytes: int = 32 << 20  # less free space counts as low; a full store waits for this much


class _Segment(NamedTuple):
    """A segment read from disk."""

    head: store_pb2.Head
    groups: list[store_pb2.Group]  # the complete groups, numbered from `head.group` on
    data: bytes
    incomplete_offset: int | None  # offset of data after the complete groups; None without such data


class Store:
    """The durable log, snapshots and hard state. Only one task may call it at a time."""

    def __init__(
        self, disk: Disk, fleet: str, name: str, limits: StoreLimits, pause: Callable[[], None]
    ) -> None:
        self.disk, self.fleet, self.name, self.limits, self.pause = disk, fleet, name, limits, pause
        self.incarnation_id = b""
        self.log_index = LogIndex()
        self.segments: dict[int, int] = {}  # last log index before each needed segment, by its number
        self.segment = self.segment_size = 0  # number and bytes of the segment being written
        self.first_segment = 1  # the first needed segment, as recorded on disk
        self.group = 0  # number of the last durable group
        self.failed = True  # nothing is written until the folder has been read again
        self.is_disk_full = False  # whether the last failure was for lack of space
        self.bytes_since_pause = 0  # bytes of groups replayed since the last pause
        self.snapshot_fallbacks = 0  # unreadable snapshots replaced by an older one and the log
        self.failed_removals = 0  # removals are retried at the next opening or snapshot
        self.failed_marks = 0  # marks that could not be written

    @classmethod
    def open(
        cls,
        disk: Disk,
        fleet: str,
        name: str,
        incarnation_id: bytes,
        limits: StoreLimits | None = None,
        pause: Callable[[], None] = lambda: None,
    ) -> tuple["Store", DurableState]:
        """Lock and read the folder; an empty one is initialized with this incarnation id.

        `pause` is called every few ms while the log is read, to let other tasks run. Raises `StoreError` if
        the folder can't be used and `DiskError` if the disk fails; then the caller closes the disk.
        """
        store = cls(disk, fleet, name, limits or StoreLimits(), pause)
        disk.lock()
        if META not in disk.names():
            store._create(incarnation_id)
        else:
            store._check_meta()
            store._write_meta()
        durable = store._load(None)
        store._fill_reserve()
        return store, durable

    def write(self, *writes: Write) -> None:
        """Write atomically, as one group with one sync; on return all of the writes are durable.

        Raises `WriteTooLargeError` before any effect. After any other error none of the writes takes effect,
        and the store accepts no writes until `reopen`.
        """
        if self.failed:
            raise StoreStoppedError("an earlier write failed; the folder has to be read again")
        group = _make_group(writes)
        for size, max_bytes in (
            (group.ByteSize(), self.limits.max_group_bytes),
            *((len(write.snapshot), self.limits.max_snapshot_bytes) for write in writes),
        ):
            if size > max_bytes:
                raise WriteTooLargeError(
                    f"{size} bytes in one write, {max_bytes} at most", size=size, most=max_bytes
                )
        self.failed, self.is_disk_full = True, False  # `failed` stays True if cancelled during the write
        try:
            self._write(group, writes)
        except DiskFull:
            self.is_disk_full = True
            raise
        self.failed = False
        if group.first_segment:
            self.first_segment = group.first_segment
            self._remove_obsolete()
            self._fill_reserve()

    def reopen(self, head: pb.SnapshotHead | None = None, snapshot: bytes = b"") -> DurableState:
        """Read the folder again after a failed write, and accept writes again.

        No part of the failed write takes effect. If the disk is full, a snapshot of the applied state is
        written with the space of the reserve, and replaces the log that it covers. Raises
        `InsufficientSpaceError` if the disk was full and there is still little space; `DiskError` or
        `StoreError` as `open` does.
        """
        self.failed = True
        if self.is_disk_full and head is None:
            self._check_free_space()
        try:
            durable = self._load(self.group)
            if head is not None and self.is_disk_full:
                if durable.snapshot_head is None or durable.snapshot_head.index < head.index:
                    self.write(Write(0, snapshot_head=head, snapshot=snapshot))
                self.failed = self.is_disk_full = True
                durable = self._load(self.group, generations=1)
                self.failed = True
                self._check_free_space()
        except DiskFull:
            self.is_disk_full = True
            raise
        self.failed = self.is_disk_full = False
        self._fill_reserve()
        return durable

    def is_low_on_space(self) -> bool:
        """Return whether less than `min_free_bytes` of disk space is free."""
        return self.disk.free() < self.limits.min_free_bytes

    def close(self) -> None:
        """Close the folder and release its lock."""
        self.failed = True
        self.disk.close()

    # Identity.

    def _create(self, incarnation_id: bytes) -> None:
        for name in self.disk.names():  # leftovers of an interrupted creation are fine, other files are not
            if name.endswith(NEW) or not name.startswith((LOG, MARKS, SNAPSHOT)):
                continue
            if name != _log_name(1) or self._read_segment(1).groups:
                raise MetaMissingError(f"{META} is missing, but {name} exists", file=name)
        self.incarnation_id = incarnation_id
        self._begin_segment(self._segment_head(1, 1, 1))
        self._write_meta()

    def _write_meta(self) -> None:
        meta = store_pb2.Meta(format=FORMAT, fleet=self.fleet, name=self.name, life=self.incarnation_id)
        self._write_file(META, [record_format.pack(record_format.META, 0, meta.SerializeToString())])

    def _check_meta(self) -> None:
        data = self._read_file(
            META, record_format.OVERHEAD_BYTES + record_format.MAX_PAYLOAD_BYTES, MetaDamagedError
        )
        record = record_format.read_record(data, 0)
        if record is None or record.kind != record_format.META or record.end != len(data):
            raise MetaDamagedError(f"{META} can't be read", file=META)
        meta = _parse(store_pb2.Meta, record.payload, MetaDamagedError, META)
        if meta.format > FORMAT:
            raise NewerFormatError(
                f"the folder's format is {meta.format}, this version's {FORMAT}", format=meta.format
            )
        if meta.fleet != self.fleet:
            raise WrongFleetError(f"the folder belongs to the fleet {meta.fleet!r}", fleet=meta.fleet)
        if meta.name != self.name:
            raise WrongMemberError(f"the folder belongs to the member {meta.name!r}", member=meta.name)
        self.incarnation_id = meta.life

    # Reading.

    def _load(self, acknowledged: int | None, generations: int = GENERATIONS) -> DurableState:
        """Read the folder and begin a new segment; drop groups known not to be acknowledged."""
        segments, rewritten = self._read_log(acknowledged, generations)
        last = segments[-1]
        durable_group = last.head.group - 1 + len(last.groups)
        reached = durable_group + len(rewritten)
        marked = self._last_marked_group() if acknowledged is None else acknowledged
        if reached < marked:
            raise LogDamagedError(
                f"group {marked} was acknowledged, the log ends with {reached}", group=marked, reached=reached
            )
        self.segments = {s.head.segment: s.head.last_index for s in segments}
        number = last.head.segment + bool(last.groups)  # a segment without groups is replaced
        replay, snapshot, head = self._replay(segments, rewritten, generations, number, durable_group + 1)
        head.whole = len(rewritten)
        body = b"".join(
            record_format.pack_group(durable_group + 1 + position, group.SerializeToString())
            for position, group in enumerate(rewritten)
        )
        self.log_index, self.group = replay.log_index, reached
        self._begin_segment(head, body)
        self.first_segment = max([head.first_segment, *(group.first_segment for group in rewritten)])
        self.log_index.drop_old_generations(generations)
        self._write_mark()
        self._remove_obsolete()
        newest = self.log_index.snapshot_heads[-1] if self.log_index.snapshot_heads else None
        hard_state = _parse(pb.HardState, self.log_index.hard_state, LogDamagedError, _log_name(number))
        self.failed = False
        return DurableState(
            Incarnation(self.name, self.incarnation_id),
            hard_state,
            newest,
            snapshot,
            replay.retained_entries(),
        )

    def _read_log(
        self, acknowledged: int | None, generations: int
    ) -> tuple[list[_Segment], list[store_pb2.Group]]:
        """Return the needed segments with their valid groups, and the groups to be rewritten."""
        numbers = _file_numbers(self.disk.names(), LOG)
        if not numbers:
            raise SegmentMissingError("there is no log", file=_log_name(1))
        last, rewritten = self._read_segment(numbers[-1]), []
        if acknowledged is not None:
            del last.groups[max(0, acknowledged + 1 - last.head.group) :]
        else:
            after = last.head.group + len(last.groups)
            if (
                len(last.groups) < last.head.whole
                or last.incomplete_offset is not None
                and not record_format.is_torn(last.data, last.incomplete_offset, after)
            ):
                offset = last.incomplete_offset or len(last.data)
                raise LogDamagedError(
                    f"{_log_name(numbers[-1])} is damaged at offset {offset}",
                    file=_log_name(numbers[-1]),
                    offset=offset,
                )
        first = max([last.head.first_segment, *(group.first_segment for group in last.groups)])
        if len(last.data) <= self.limits.max_rewrite_bytes and generations == GENERATIONS:
            rewritten, last.groups[:] = last.groups[:], []
        elif acknowledged is None and last.groups:
            rewritten = [last.groups.pop()]  # the last group may not be synced
        segments = [last]
        for number in range(numbers[-1] - 1, first - 1, -1):
            if number not in numbers:
                raise SegmentMissingError(f"{_log_name(number)} is missing", file=_log_name(number))
            segment, following = self._read_segment(number), segments[0].head.group
            if segment.head.group + len(segment.groups) < following:
                raise LogDamagedError(
                    f"{_log_name(number)} ends before group {following}",
                    file=_log_name(number),
                    offset=segment.incomplete_offset or len(segment.data),
                )
            del segment.groups[following - segment.head.group :]  # removed groups were never acknowledged
            segments.insert(0, segment)
        return segments, rewritten

    def _read_segment(self, number: int) -> _Segment:
        name = _log_name(number)
        data = self._read_file(
            name, self.limits.segment_bytes + 2 * self.limits.max_group_bytes, LogDamagedError
        )
        record = record_format.read_record(data, 0)
        if record is None or record.kind != record_format.HEAD:
            raise LogDamagedError(f"{name} has no valid first record", file=name, offset=0)
        head = _parse(store_pb2.Head, record.payload, LogDamagedError, name)
        if head.format > FORMAT:
            raise NewerFormatError(
                f"{name} is of format {head.format}, this version's is {FORMAT}", format=head.format
            )
        if head.segment != number or self.incarnation_id and head.life != self.incarnation_id:
            raise LogDamagedError(f"{name} belongs to another folder", file=name, offset=0)
        groups: list[store_pb2.Group] = []
        at = group_start = record.end
        payloads: list[bytes] = []
        while (record := record_format.read_record(data, at)) is not None:
            if record.kind not in (
                record_format.PART,
                record_format.LAST,
            ) or record.number != head.group + len(groups):
                raise LogDamagedError(f"{name} has an unexpected record at offset {at}", file=name, offset=at)
            payloads.append(record.payload)
            at = record.end
            if record.kind == record_format.LAST:
                groups.append(_parse(store_pb2.Group, b"".join(payloads), LogDamagedError, name))
                payloads, group_start = [], at
        return _Segment(head, groups, data, at if group_start < len(data) else None)

    def _replay(
        self,
        segments: list[_Segment],
        rewritten: list[store_pb2.Group],
        generations: int,
        number: int,
        group: int,
    ) -> tuple[Replay, bytes, store_pb2.Head]:
        """Return the replayed log, the newest snapshot, and a new segment's first record."""
        unreadable: set[int] = set()
        while True:
            replay = Replay(LogIndex.from_head(segments[0].head))
            log_index = replay.log_index
            try:
                for segment in segments:
                    self._check_continuity(log_index, segment.head)
                    log_index.snapshot_heads = [
                        candidate
                        for candidate in LogIndex.from_head(segment.head).snapshot_heads
                        if candidate.index not in unreadable
                    ]
                    for logged in segment.groups:
                        replay.apply(logged, lambda head: head.index not in unreadable)
                        self._count_replayed(logged.ByteSize())
                log_index.drop_old_generations(generations)
                head = self._segment_head(number, group, self._first_needed_segment(log_index), log_index)
                for logged in rewritten:
                    replay.apply(logged, lambda head: head.index not in unreadable)
                    self._count_replayed(logged.ByteSize())
            except (InvalidWriteError, DecodeError) as exc:
                raise LogDamagedError(f"the log is inconsistent: {exc}") from None
            if not log_index.snapshot_heads:
                if log_index.base_index:
                    raise SnapshotDamagedError("there is no intact snapshot that the log continues")
                return replay, b"", head
            newest = log_index.snapshot_heads[-1]
            snapshot = self._read_snapshot(newest)
            if snapshot is not None:
                self.snapshot_fallbacks += bool(unreadable)
                return replay, snapshot, head
            if newest.index in unreadable:
                name = _snapshot_name(newest)
                raise SnapshotDamagedError(
                    f"{name} can't be read, and the log does not reach back far enough", file=name
                )
            unreadable.add(newest.index)

    @staticmethod
    def _check_continuity(log_index: LogIndex, head: store_pb2.Head) -> None:
        if (log_index.last_index, log_index.hard_state) != (
            head.last_index,
            head.hard,
        ) or log_index.last_term not in (
            0,
            head.last_term,
        ):
            raise LogDamagedError(
                f"{_log_name(head.segment)} does not continue the segment before it",
                file=_log_name(head.segment),
            )

    def _read_snapshot(self, head: pb.SnapshotHead) -> bytes | None:
        """Return a snapshot's bytes, or None if it is missing or damaged."""
        try:
            data = self._read_file(
                _snapshot_name(head), 2 * self.limits.max_snapshot_bytes, SnapshotDamagedError
            )
        except (NameMissing, SnapshotDamagedError):
            return None
        record = record_format.read_record(data, 0)
        if record is None or record.kind != record_format.SNAPSHOT:
            return None
        start = store_pb2.SnapshotStart.FromString(record.payload)
        stored_head, chunks = pb.SnapshotHead.FromString(start.head), []
        while record is not None and record.end < len(data):
            record = record_format.read_record(data, record.end)
            if record is None or record.kind != record_format.PIECE or record.number != len(chunks) + 1:
                return None
            chunks.append(record.payload)
        snapshot = b"".join(chunks)
        if (stored_head.index, stored_head.term, start.size) != (head.index, head.term, len(snapshot)):
            return None
        return snapshot

    def _last_marked_group(self) -> int:
        """Return the last group marked as acknowledged, or 0; marks are not synced and may be lost."""
        marked = 0
        for number in _file_numbers(self.disk.names(), MARKS)[-2:]:
            size = self.disk.size(_marks_name(number))
            data = self.disk.read(_marks_name(number), max(0, size - MARKS_TAIL_BYTES))
            at = data.find(record_format.MAGIC)
            while at >= 0:
                record = record_format.read_record(data, at)
                if record is not None and record.kind == record_format.MARK:
                    marked = max(marked, record.number)
                at = data.find(record_format.MAGIC, at + 1)
        return marked

    def _read_file(self, name: str, max_bytes: int, error: type[StoreError]) -> bytes:
        """Return a file's bytes. Raises `error` if it is larger than any file written here can be."""
        size = self.disk.size(name)
        if size > max_bytes:
            raise error(
                f"{name} has {size} bytes, more than a file written here can have", file=name, size=size
            )
        chunks: list[bytes] = []
        at = 0
        while chunk := self.disk.read(name, at, READ_MOST):
            chunks.append(chunk)
            at += len(chunk)
        return b"".join(chunks)

    # Writing.

    def _write(self, group: store_pb2.Group, writes: tuple[Write, ...]) -> None:
        if self.segment_size >= self.limits.segment_bytes:
            self._begin_segment(
                self._segment_head(
                    self.segment + 1, self.group + 1, self._first_needed_segment(self.log_index)
                ),
                may_use_reserve=False,
            )
        for write in writes:
            if write.snapshot_head is not None:
                self.log_index.add_snapshot(write.snapshot_head, write.retain_from)
            if write.truncate_after is not None:
                self.log_index.truncate_after(write.truncate_after, write.snapshot_head is not None)
            self.log_index.append(write.entries)
            if write.hard_state is not None:
                self.log_index.hard_state = write.hard_state.SerializeToString()
        for write in writes:
            if write.snapshot_head is not None:
                self._write_file(
                    _snapshot_name(write.snapshot_head),
                    _snapshot_records(write.snapshot_head, write.snapshot),
                )
                self.log_index.drop_old_generations()
                group.first_segment = self._first_needed_segment(self.log_index)
        data = record_format.pack_group(self.group + 1, group.SerializeToString())
        self.disk.append(_log_name(self.segment), data)
        self.disk.sync(_log_name(self.segment))
        self.group += 1
        self.segment_size += len(data)
        self._write_mark()

    def _segment_head(
        self, segment: int, group: int, first: int, log_index: LogIndex | None = None
    ) -> store_pb2.Head:
        """Return a new segment's first record."""
        log_index = log_index or self.log_index
        return store_pb2.Head(
            format=FORMAT,
            life=self.incarnation_id,
            segment=segment,
            group=group,
            hard=log_index.hard_state,
            heads=[head.SerializeToString() for head in log_index.snapshot_heads],
            last_index=log_index.last_index,
            last_term=log_index.last_term,
            first_segment=first,
            keep_from=log_index.retain_from,
        )

    def _begin_segment(self, head: store_pb2.Head, body: bytes = b"", may_use_reserve: bool = True) -> None:
        """Begin a segment; `body` holds the groups that are rewritten to it."""
        data = record_format.pack(record_format.HEAD, head.segment, head.SerializeToString()) + body
        self._write_file(_log_name(head.segment), [data], may_use_reserve)
        self.segments[head.segment] = head.last_index
        self.segment, self.segment_size = head.segment, len(data)

    def _write_file(self, name: str, pieces: Iterable[bytes], may_use_reserve: bool = True) -> None:
        """Write a complete file; on a full disk, release as much of the reserve as the file needs.

        `may_use_reserve` is False for a log that merely grows, because that must not use up the reserve.
        """
        pieces = list(pieces)
        try:
            self._write_file_once(name, pieces)
        except DiskFull:
            if not may_use_reserve or not self._release_reserve(sum(map(len, pieces)) + RESERVE_MARGIN_BYTES):
                raise
            self._write_file_once(name, pieces)

    def _write_file_once(self, name: str, pieces: list[bytes]) -> None:
        temporary_name = name + NEW
        with suppress(NameMissing):
            self.disk.remove(temporary_name)
        for piece in pieces:
            self.disk.append(temporary_name, piece)
        self.disk.sync(temporary_name)
        self.disk.rename(temporary_name, name)
        self.disk.sync_names()

    def _count_replayed(self, size: int) -> None:
        """Count replayed bytes; let other tasks run after each batch."""
        self.bytes_since_pause += size
        if self.bytes_since_pause >= READ_BATCH_BYTES:
            self.bytes_since_pause = 0
            self.pause()

    def _write_mark(self) -> None:
        """Mark the last group as acknowledged; marks only help to detect damage: errors are only counted."""
        try:
            self.disk.append(
                _marks_name(self.segment), record_format.pack(record_format.MARK, self.group, b"")
            )
        except DiskError:
            self.failed_marks += 1

    # Disk space.

    def _first_needed_segment(self, log_index: LogIndex) -> int:
        """Return the first segment needed to replay the log from the oldest kept snapshot."""
        return max(
            (number for number, last in self.segments.items() if last <= log_index.base_index),
            default=min(self.segments, default=1),
        )

    def _remove_obsolete(self) -> None:
        """Remove files that are no longer needed; a failed removal is retried the next time."""
        first, needed_snapshots = (
            self.first_segment,
            {_snapshot_name(head) for head in self.log_index.snapshot_heads},
        )
        self.segments = {number: last for number, last in self.segments.items() if number >= first}
        try:
            obsolete = [
                name
                for name in self.disk.names()
                if name.endswith(NEW)
                and name.startswith(RENAMED_PREFIXES)
                or name.startswith(SNAPSHOT)
                and name not in needed_snapshots
                or any(number < first for prefix in (LOG, MARKS) for number in _file_numbers([name], prefix))
            ]
            for name in obsolete:
                self.disk.remove(name)
            if obsolete:
                self.disk.sync_names()
        except DiskError:
            self.failed_removals += 1

    def _check_free_space(self) -> None:
        free = self.disk.free()
        if free < self.limits.min_free_bytes:
            raise InsufficientSpaceError(
                f"{free} bytes are free, {self.limits.min_free_bytes} are needed",
                free=free,
                wanted=self.limits.min_free_bytes,
            )

    def _fill_reserve(self) -> None:
        """Fill the reserve for a snapshot, if the disk has enough free space."""
        try:
            reserved_bytes = self.disk.size(RESERVE) if RESERVE in self.disk.names() else 0
            missing_bytes = self.limits.reserve_bytes - reserved_bytes
            if missing_bytes <= 0 or self.disk.free() < missing_bytes + self.limits.min_free_bytes:
                return
            while missing_bytes:
                self.disk.append(RESERVE, bytes(min(READ_MOST, missing_bytes)))
                missing_bytes -= min(READ_MOST, missing_bytes)
            self.disk.sync(RESERVE)
        except DiskError:
            self._release_reserve(self.limits.reserve_bytes)

    def _release_reserve(self, size: int) -> bool:
        """Release up to `size` bytes of the reserve; return False if there is none or the disk fails."""
        try:
            remaining = self.disk.size(RESERVE) - size
            if remaining > 0:
                self.disk.truncate(RESERVE, remaining)
                self.disk.sync(RESERVE)  # some systems release the blocks only after a sync
            else:
                self.disk.remove(RESERVE)
                self.disk.sync_names()
        except DiskError:
            return False
        return True


def _snapshot_records(head: pb.SnapshotHead, snapshot: bytes) -> Iterator[bytes]:
    start = store_pb2.SnapshotStart(head=head.SerializeToString(), size=len(snapshot))
    yield record_format.pack(record_format.SNAPSHOT, 0, start.SerializeToString())
    for number, at in enumerate(range(0, len(snapshot), record_format.MAX_PAYLOAD_BYTES), 1):
        yield record_format.pack(
            record_format.PIECE, number, snapshot[at : at + record_format.MAX_PAYLOAD_BYTES]
        )


def _make_group(writes: Iterable[Write]) -> store_pb2.Group:
    group = store_pb2.Group()
    for write in writes:
        step = group.steps.add(entries=[entry.SerializeToString() for entry in write.entries])
        if write.snapshot_head is not None:
            step.head, step.keep_from = write.snapshot_head.SerializeToString(), write.retain_from
        if write.truncate_after is not None:
            step.cut_after = write.truncate_after
        if write.hard_state is not None:
            step.hard = write.hard_state.SerializeToString()
    return group


def _parse(message_type: type[MessageType], data: bytes, error: type[StoreError], name: str) -> MessageType:
    try:
        return message_type.FromString(data)
    except DecodeError:
        raise error(f"{name} has a record that can't be read", file=name) from None


def _log_name(number: int) -> str:
    return f"{LOG}{number:010d}"


def _marks_name(number: int) -> str:
    return f"{MARKS}{number:010d}"


def _snapshot_name(head: pb.SnapshotHead) -> str:
    return f"{SNAPSHOT}{head.index:020d}-{head.term:020d}"


def _file_numbers(names: list[str], prefix: str) -> list[int]:
    """Return the numbers of the files with a prefix, in ascending order."""
    return sorted(
        int(name[len(prefix) :])
        for name in names
        if name.startswith(prefix) and name[len(prefix) :].isdigit()
    )
