"""Defects planted in the record on disk, each of which the plays or the damage must find.

Prints, for each, what finds it and after how many plays: `python tests/storedefects.py`.
"""

from contextlib import contextmanager, suppress
from unittest import mock

from storemodel import random_play

from fennelwind.loop.disk import DiskError, SyncFailed
from fennelwind.store import records
from fennelwind.store import store as store_module
from fennelwind.store.store import LOG, NEW, Store

PLAYS_MOST = 3000  # that a defect may take to be found


class Through:
    """A disk that hands all calls on."""

    def __init__(self, disk):
        self._disk = disk

    def __getattr__(self, name):
        return getattr(self._disk, name)


class Late(Through):
    """Tells the errors of appends with the next call on the file, as the real disk may."""

    def __init__(self, disk):
        super().__init__(disk)
        self._late = {}

    def _tell(self, name):
        if name in self._late:
            raise self._late.pop(name)

    def append(self, name, data):
        self._tell(name)
        try:
            self._disk.append(name, data)
        except DiskError as exc:
            self._late[name] = exc

    def remove(self, name):
        self._late.pop(name, None)
        self._disk.remove(name)

    def __getattr__(self, call):
        made = getattr(self._disk, call)
        if call not in ("sync", "size", "read", "rename", "truncate"):
            return made
        return lambda name, *more: (self._tell(name), made(name, *more))[1]


def on(disk_kind):
    """Return a store that works on a disk of this kind."""
    class Wrapped(Store):
        @classmethod
        def open(cls, disk, *more):
            return super().open(disk_kind(disk), *more)

    return Wrapped


class NoSync(Through):
    def sync(self, name):
        if not name.startswith(LOG) or name.endswith(NEW):
            self._disk.sync(name)


class NoSyncOfNew(Through):
    def sync(self, name):
        if not name.endswith(NEW):
            self._disk.sync(name)


class NoNames(Through):
    def sync_names(self):
        pass


class SyncAgain(Through):
    def sync(self, name):
        try:
            self._disk.sync(name)
        except SyncFailed:
            self._disk.sync(name)


class RenameFirst(Store):
    def _put_once(self, name, pieces):
        with suppress(store_module.NameMissing):
            self.disk.remove(name + NEW)
        for piece in pieces:
            self.disk.append(name + NEW, piece)
        self.disk.rename(name + NEW, name)
        self.disk.sync(name)
        self.disk.sync_names()


class OldFirst(Store):
    def _put(self, name, pieces, may_take=True):
        if name.startswith(store_module.SNAPSHOT):
            for old in self.disk.names():
                if old.startswith(store_module.SNAPSHOT) and old != name:
                    self.disk.remove(old)
            self.disk.sync_names()
        super()._put(name, pieces, may_take)


class SweepFirst(Store):
    def _write(self, group, writes):
        if any(write.head is not None for write in writes):
            heads, newest = list(self.shape.heads), [w.head for w in writes if w.head is not None][-1]
            self.shape.heads = heads[-1:] + [newest]
            names = [n for n in self.disk.names() if n.startswith(LOG) and not n.endswith(NEW)]
            for name in names[:-1] if heads else []:
                self.disk.remove(name)
            self.shape.heads = heads
        super()._write(group, writes)


class SnapshotAfter(Store):
    def _write(self, group, writes):
        late = []
        with mock.patch.object(self, "_put", lambda name, *more: late.append((name, list(more[0])))
                               if name.startswith(store_module.SNAPSHOT) else Store._put(self, name, *more)):
            super()._write(group, writes)
        for name, pieces in late:
            self._put(name, pieces)


class Trusting(Store):
    """Goes on behind what reads well, without writing the last group again."""

    def _read_log(self, *more):
        segments, again = super()._read_log(*more)
        segments[-1].groups.extend(again)
        return segments, []


class FailedCounts(Store):
    """Takes what a failed write left as if it were acknowledged."""

    def reopen(self, *more):
        if not (self.full and not more[0]):
            data = self.disk.read(f"{LOG}{self.segment:010d}", 0, 1 << 20)
            at, number = 0, self.group
            while (record := records.read(data, at)) is not None:
                at, number = record.end, max(number, record.number if record.kind == records.LAST else 0)
            self.group = max(self.group, min(number, self.group + 1))
        return super().reopen(*more)


class SameFile(Store):
    """Goes on in the file whose sync failed."""

    def write(self, *writes):
        before = (self.group, self.size)
        try:
            super().write(*writes)
        except SyncFailed:
            if (self.group, self.size) == before and not any(write.head for write in writes):
                self.group += 1
                self.failed = False
                return
            raise


class MarkFirst(Store):
    def _write(self, group, writes):
        self.group += 1
        self._mark()
        with suppress(DiskError):
            self.disk.sync(store_module._marks(self.segment))
        self.group -= 1
        super()._write(group, writes)


class MetaKept(Store):
    def _put_meta(self):
        if store_module.META not in self.disk.names():
            super()._put_meta()


class SwallowsFull(Store):
    """Answers a write that found no room as if it were done."""

    def write(self, *writes):
        with suppress(store_module.DiskFull):
            super().write(*writes)
        self.failed = False


def no_checksums():
    """Return what reads records without looking at their CRCs."""
    return mock.patch.object(records, "crc32c", lambda data: 0)


def all_torn():
    """Return what takes each damage at the end for a torn tail."""
    return mock.patch.object(records, "torn", lambda data, at, number: True)


def none_torn():
    """Return what takes no damage at the end for a torn tail."""
    return mock.patch.object(records, "torn", lambda data, at, number: False)


@contextmanager
def nothing():
    yield


# Name, the store with the defect, what else is changed.
DEFECTS = [
    ("a write is acknowledged without a sync", on(NoSync), nothing),
    ("files are renamed without a sync", on(NoSyncOfNew), nothing),
    ("names are not synced", on(NoNames), nothing),
    ("rename before sync", RenameFirst, nothing),
    ("a failed sync is tried again", on(SyncAgain), nothing),
    ("the log goes on in a file whose sync failed", SameFile, nothing),
    ("what a failed write left counts", FailedCounts, nothing),
    ("what reads well at opening is trusted", Trusting, nothing),
    ("old segments are removed before the new snapshot counts", SweepFirst, nothing),
    ("the old snapshot is removed first", OldFirst, nothing),
    ("a snapshot is written behind the group that names it", SnapshotAfter, nothing),
    ("a mark is written before the sync", MarkFirst, nothing),
    ("meta is not written anew", MetaKept, nothing),
    ("a full disk is not told", SwallowsFull, nothing),
    ("no torn tail is cut", Store, none_torn),
]


def found_after(kind, change, most=PLAYS_MOST):
    """Return (plays until one failed, how); (0, "") if none did."""
    for seed in range(most):
        try:
            with change():
                random_play(seed, kind)
        except Exception as exc:
            return seed + 1, type(exc).__name__
    return 0, ""


if __name__ == "__main__":
    for name, kind, change in DEFECTS:
        plays, how = found_after(kind, change)
        print(f"| {name} | {plays or 'not found'} | {how} |")
