"""Defects planted in the durable store, each of which the plays or the damaged folders must find.

Prints, for each, the failure and after how many plays it was found: `python tests/support/store_defects.py`.
"""

import search_paths  # noqa: F401 - for running as a program

# isort: split

from functools import partial
from unittest.mock import patch

from planted import Line, broken, planted, row
from store_model import random_play

from fennelwind.loop.disk import DiskError, SyncFailed
from fennelwind.loop.simdisk import SimDisk
from fennelwind.raft_storage import record_format
from fennelwind.raft_storage.store import LOG, NEW, Store

MAX_PLAYS = 3000  # plays in which a defect has to be found


class ForwardingDisk:
    """A disk that forwards all calls."""

    def __init__(self, disk):
        self._disk = disk

    def __getattr__(self, name):
        return getattr(self._disk, name)


class DeferredErrorDisk(ForwardingDisk):
    """A disk that reports errors of appends with the next call on the file, as a real disk may."""

    def __init__(self, disk):
        super().__init__(disk)
        self._deferred = {}

    def _raise_deferred(self, name):
        if name in self._deferred:
            raise self._deferred.pop(name)

    def append(self, name, data):
        self._raise_deferred(name)
        try:
            self._disk.append(name, data)
        except DiskError as exc:
            self._deferred[name] = exc

    def remove(self, name):
        self._deferred.pop(name, None)
        self._disk.remove(name)

    def __getattr__(self, call):
        made = getattr(self._disk, call)
        if call not in ("sync", "size", "read", "rename", "truncate"):
            return made
        return lambda name, *more: (self._raise_deferred(name), made(name, *more))[1]


def store_on(disk_kind):
    """Return a store class that wraps its disk in this class."""

    class Wrapped(Store):
        @classmethod
        def open(cls, disk, *more):
            return super().open(disk_kind(disk), *more)

    return Wrapped


def sync_again(sync):
    """Retry a failed sync."""

    def again(self, name):
        try:
            sync(self, name)
        except SyncFailed:
            sync(self, name)

    return patch.object(SimDisk, "sync", again)


def same_file(write):
    """Continue in the file whose sync failed."""

    def written(self, *writes):
        before = self.group, self.segment_size
        try:
            write(self, *writes)
        except SyncFailed:
            if (self.group, self.segment_size) != before or any(one.snapshot_head for one in writes):
                raise
            self.group += 1
            self.failed = False

    return patch.object(Store, "write", written)


def failed_counts(reopen):
    """Treat the remains of a failed write as acknowledged."""

    def reopened(self, *more):
        if not (self.is_disk_full and not more[0]):
            data = self.disk.read(f"{LOG}{self.segment:010d}", 0, 1 << 20)
            at, number = 0, self.group
            while (record := record_format.read_record(data, at)) is not None:
                at, number = (
                    record.end,
                    max(number, record.number if record.kind == record_format.LAST else 0),
                )
            self.group = max(self.group, min(number, self.group + 1))
        return reopen(self, *more)

    return patch.object(Store, "reopen", reopened)


def sweep_first(write):
    """Remove old segments before the new snapshot is valid."""

    def written(self, group, writes):
        if any(one.snapshot_head is not None for one in writes):
            heads, newest = (
                list(self.log_index.snapshot_heads),
                [w.snapshot_head for w in writes if w.snapshot_head is not None][-1],
            )
            self.log_index.snapshot_heads = heads[-1:] + [newest]
            names = [n for n in self.disk.names() if n.startswith(LOG) and not n.endswith(NEW)]
            for name in names[:-1] if heads else []:
                self.disk.remove(name)
            self.log_index.snapshot_heads = heads
        write(self, group, writes)

    return patch.object(Store, "_write", written)


NO_CHECKSUMS = [patch.object(record_format, "crc32c", lambda data: 0)]
ALL_TORN = [
    patch.object(record_format, "is_torn", lambda data, at, number: True)
]  # any damage at the end counts as a torn write
DEFECTS = {
    "a write is acknowledged without a sync": [
        Line(Store._write, "self.disk.sync(_log_name(self.segment))", "pass")
    ],
    "files are renamed without a sync": [
        Line(Store._write_file_once, "self.disk.sync(temporary_name)", "pass")
    ],
    "names are not synced": [patch.object(SimDisk, "sync_names", lambda self: None)],
    "rename before sync": [
        Line(
            Store._write_file_once,
            "self.disk.sync(temporary_name)\n    self.disk.rename(temporary_name, name)",
            "self.disk.rename(temporary_name, name)\n    self.disk.sync(name)",
        )
    ],
    "a failed sync is tried again": [sync_again(SimDisk.sync)],
    "the log goes on in a file whose sync failed": [same_file(Store.write)],
    "what a failed write left counts": [failed_counts(Store.reopen)],
    "what reads well at opening is trusted": [
        Line(  # the last group is not rewritten
            Store._read_log,
            "return segments, rewritten",
            "segments[-1].groups.extend(rewritten)\n    return segments, []",
        )
    ],
    "old segments are removed before the new snapshot counts": [sweep_first(Store._write)],
    "the old snapshot is removed first": [
        Line(
            Store._write_file,
            "pieces = list(pieces)",
            "pieces = list(pieces)\n    if name.startswith(SNAPSHOT):\n"
            "        for old in [o for o in self.disk.names() if o.startswith(SNAPSHOT) and o != name]:\n"
            "            self.disk.remove(old)\n        self.disk.sync_names()",
        )
    ],
    "a snapshot is written behind the group that names it": [
        Line(
            Store._write,
            "self._write_file(\n                _snapshot_name(write.snapshot_head),\n"
            "                _snapshot_records(write.snapshot_head, write.snapshot),\n            )",
            "pass",
            "self.group += 1",
            "self.group += 1\n    for one in [w for w in writes if w.snapshot_head is not None]:\n"
            "        self._write_file(_snapshot_name(one.snapshot_head),"
            " _snapshot_records(one.snapshot_head, one.snapshot))",
        )
    ],
    "a mark is written before the sync": [
        Line(
            Store._write,
            "data = record_format.pack_group(",
            "self.group += 1\n    self._write_mark()\n    with suppress(DiskError):\n"
            "        self.disk.sync(_marks_name(self.segment))\n    self.group -= 1\n"
            "    data = record_format.pack_group(",
        )
    ],
    "meta is not written anew": [
        Line(Store.open.__func__, "store._check_meta()\n        store._write_meta()", "store._check_meta()")
    ],
    "a full disk is not told": [
        Line(Store.write, "self.is_disk_full = True\n        raise", "self.is_disk_full = True")
    ],
    "no torn tail is cut": [patch.object(record_format, "is_torn", lambda data, at, number: False)],
}


def found_after(changes, max_plays=MAX_PLAYS, store_type=Store):
    """Return how many plays it took until one failed, and how; None if none did."""
    with planted(changes):
        return broken(partial(random_play, seed, store_type) for seed in range(max_plays))


if __name__ == "__main__":
    for name, changes in DEFECTS.items():
        row(name, *(found_after(changes) or ("not found", "")))
