"""A folder in virtual time that does what real disks do at their worst: `SimDisk` on a `Platter`.

A file has what the kernel's memory shows and what the disk holds. A write goes to memory alone and leaves its
range dirty; a sync brings dirty ranges to the disk. A sync that fails marks them clean all the same, as
kernels do: they read well until the crash, and no later sync brings them to the disk. New, changed and
removed names wait likewise for `sync_names`. A crash keeps none, all, a prefix or any pick of what waits.
"""

import errno
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from fennelwind.loop.disk import READ_MOST, DiskFailed, DiskFull, FolderTaken, NameMissing, SyncFailed
from fennelwind.loop.scheduler import Loop

SECTOR = 512  # bytes that reach the disk as one; a crash tears a write between two of them
ROOM = 1 << 30  # bytes that a platter holds unless told otherwise
LOSSES = ("none", "all", "prefix", "pick")  # how much of what waits a crash keeps


@dataclass(slots=True, frozen=True)
class Costs:
    """How long calls take, in ms; about a server's disk with a cache that survives a power cut."""

    append_ms: float = 0.02
    sync_ms: float = 1.0
    names_ms: float = 1.0  # a sync of names, a rename, a removal
    bytes_per_ms: float = 200_000.0  # of what is written
    spread: float = 0.5  # share of the time that is drawn anew for each call


class _File:
    __slots__ = ("shown", "held", "dirty", "was_cut")

    def __init__(self) -> None:
        self.shown, self.held = bytearray(), bytearray()  # in the kernel's memory; on the disk
        self.was_cut = False  # and the disk does not know yet
        self.dirty: list[tuple[int, int]] = []  # ranges of `shown`, in the order they were written

    def settle(self, start: int, end: int) -> None:
        """Let a range reach the disk."""
        end = min(end, len(self.shown))
        if end > len(self.held):
            self.held.extend(bytes(end - len(self.held)))  # what never came is a hole of zeros
        if end > start:
            self.held[start:end] = self.shown[start:end]


@dataclass(slots=True)
class _Change:
    """A change of names that waits for `sync_names`: which names then stand for which files."""

    names: dict[str, _File | None]


@dataclass(slots=True)
class Platter:
    """What survives a process, and what is wrong with the disk; a test turns its faults on and off."""

    room: int = ROOM  # bytes that it holds; raise or lower it at any time
    slow: float = 1.0  # all calls take so many times as long
    sync_fails: bool = False  # each sync fails, and what it was to bring is lost at the next crash
    fails: bool = False  # each call that reads or writes fails
    names: dict[str, _File] = field(default_factory=dict)  # as the kernel shows them
    held: dict[str, _File] = field(default_factory=dict)  # as they stand on the disk
    waiting: list[_Change] = field(default_factory=list)
    holder: object = None  # who has locked the folder
    crashes: int = 0

    def used(self) -> int:
        """Return the bytes that its files take."""
        return sum(len(file.shown) for file in self.names.values())

    def change(self, names: dict[str, _File | None]) -> None:
        """Change names, in memory so far."""
        for name, file in names.items():
            if file is None:
                self.names.pop(name, None)
            else:
                self.names[name] = file
        self.waiting.append(_Change(names))

    def settle_names(self) -> None:
        """Let all changes of names reach the disk."""
        for change in self.waiting:
            self._settle(change)
        self.waiting.clear()

    def _settle(self, change: _Change) -> None:
        for name, file in change.names.items():
            if file is None:
                self.held.pop(name, None)
            else:
                self.held[name] = file

    def end(self) -> None:
        """The process ends, the machine does not: all that was written stays, and the lock is free."""
        self.holder = None

    def crash(self, random: Random, loss: str = "pick") -> None:
        """The machine loses power: of what waits, files' and names', it keeps what `loss` says."""
        changes = self.waiting
        if loss == "prefix":
            changes = changes[: random.randint(0, len(changes))]
        elif loss == "pick":
            changes = [change for change in changes if random.random() < 0.5]
        for change in changes if loss != "none" else ():
            self._settle(change)
        self.waiting.clear()
        files = {id(f): f for f in [*self.held.values(), *self.names.values()]}
        for file in files.values():
            self._tear(file, random, loss)
        self.names = dict(self.held)
        self.holder, self.crashes = None, self.crashes + 1

    @staticmethod
    def _tear(file: _File, random: Random, loss: str) -> None:
        sectors = []
        if file.was_cut and (loss == "all" or loss != "none" and random.random() < 0.5):
            del file.held[len(file.shown) :]
        for start, end in file.dirty:
            while start < end:
                stop = min(end, (start // SECTOR + 1) * SECTOR)
                sectors.append((start, stop))
                start = stop
        if loss == "prefix" and sectors:
            kept = random.randint(0, len(sectors))
            torn = sectors[kept] if kept < len(sectors) else None
            sectors = sectors[:kept]
            if torn is not None:  # the size of the file is any, its last sector a part
                sectors.append((torn[0], random.randint(*torn)))
        elif loss == "pick":
            sectors = [sector for sector in sectors if random.random() < 0.5]
        for start, end in sectors if loss != "none" else ():
            file.settle(start, end)
        file.shown, file.dirty, file.was_cut = bytearray(file.held), [], False

    def flip(self, name: str, bit: int) -> None:
        """Flip a bit of a file, on the disk and in memory."""
        file = self.names[name]
        for data in (file.shown, file.held):
            if bit // 8 < len(data):
                data[bit // 8] ^= 1 << bit % 8

    def cut(self, name: str, size: int) -> None:
        """Cut a file to so many bytes, on the disk and in memory."""
        file = self.names[name]
        del file.shown[size:], file.held[size:]
        file.dirty = [(start, min(end, size)) for start, end in file.dirty if start < size]

    def lose(self, name: str) -> None:
        """Take a file away, on the disk and in memory."""
        self.names.pop(name, None)
        self.held.pop(name, None)


class PowerCut(BaseException):
    """The machine stopped in the middle of a call; no `Exception`, so that nobody carries on."""


class SimDisk:
    """A `Disk` on a platter, in the loop's time; without a loop no time passes.

    `plan` is asked ahead of each call with its number from 0, what it does and the file, and may name a
    fault: `cut` (power goes before the call has any effect), `late` (power goes when it has had all of it,
    but nobody is told), `full`, `short` (a part of an append is written, then there is no room), `error`,
    `sync` (a sync fails).
    """

    def __init__(
        self,
        loop: Loop | None,
        platter: Platter,
        *,
        seed: int | str = 0,
        costs: Costs | None = None,
        plan: Callable[[int, str, str], str | None] | None = None,
    ) -> None:
        self.loop, self.platter, self.costs = loop, platter, costs or Costs()
        self.random, self.plan = Random(seed), plan
        self.calls = 0

    def lock(self) -> None:
        """Take the folder for this process, until `close` or the process's end. Raises `FolderTaken`."""
        if self.platter.holder not in (None, self):
            raise FolderTaken("another process holds the folder")
        self.platter.holder = self

    def names(self) -> list[str]:
        """Return the names of its files, sorted."""
        self._call("list", "", 0.0)
        return sorted(self.platter.names)

    def size(self, name: str) -> int:
        """Return the bytes of a file. Raises `NameMissing`."""
        return len(self._file(name, "size").shown)

    def read(self, name: str, offset: int = 0, most: int = READ_MOST) -> bytes:
        """Return bytes from an offset on; b"" at the end. Raises `NameMissing`."""
        file = self._file(name, "read")
        self._call("read", name, self.costs.append_ms)
        return bytes(file.shown[offset : offset + most])

    def append(self, name: str, data: bytes) -> None:
        """Write behind what a file holds; it is made if need be. After `DiskFull` a part may be written."""
        fault = self._call("append", name, self.costs.append_ms + len(data) / self.costs.bytes_per_ms)
        file = self.platter.names.get(name)
        if file is None:
            file = _File()
            self.platter.change({name: file})
        room = min(len(data), max(0, self.platter.room - self.platter.used()))
        if fault == "full":
            room = 0
        elif fault == "short":
            room = self.random.randint(0, min(room, max(0, len(data) - 1)))
        if room:
            start = len(file.shown)
            file.shown += data[:room]
            file.dirty.append((start, start + room))
        if room < len(data):
            raise DiskFull(f"{name}: append: no room", file=name, call="append", errno=errno.ENOSPC)
        self._after(fault)

    def sync(self, name: str) -> None:
        """Let what a file holds reach the disk. After `SyncFailed` nothing unsynced of it counts."""
        file = self._file(name, "sync")
        waits = sum(end - start for start, end in file.dirty)
        fault = self._call("sync", name, self.costs.sync_ms + waits / self.costs.bytes_per_ms)
        dirty, file.dirty = file.dirty, []
        if fault == "sync" or self.platter.sync_fails:
            raise SyncFailed(f"{name}: sync failed", file=name, call="sync", errno=errno.EIO)
        if file.was_cut:
            del file.held[len(file.shown) :]
            file.was_cut = False
        for start, end in dirty:
            file.settle(start, end)
        self._after(fault)

    def sync_names(self) -> None:
        """Let new, changed and removed names reach the disk. Raises `SyncFailed`."""
        fault = self._call("sync", "", self.costs.names_ms)
        if fault == "sync" or self.platter.sync_fails:
            self.platter.waiting.clear()
            raise SyncFailed("the names: sync failed", file="", call="sync", errno=errno.EIO)
        self.platter.settle_names()
        self._after(fault)

    def rename(self, old: str, new: str) -> None:
        """Give a file another name; one that has it already is replaced as one step."""
        file = self._file(old, "rename")
        fault = self._call("rename", old, self.costs.names_ms)
        self.platter.change({new: file, old: None})
        self._after(fault)

    def remove(self, name: str) -> None:
        """Take a file away. Raises `NameMissing`."""
        self._file(name, "remove")
        fault = self._call("remove", name, self.costs.names_ms)
        self.platter.change({name: None})
        self._after(fault)

    def truncate(self, name: str, size: int) -> None:
        """Cut a file to so many bytes."""
        file = self._file(name, "truncate")
        fault = self._call("truncate", name, self.costs.append_ms)
        if size < len(file.shown):
            del file.shown[size:]
            file.dirty = [(start, min(end, size)) for start, end in file.dirty if start < size]
            file.was_cut = True
        self._after(fault)

    def free(self) -> int:
        """Return how many bytes can still be written, as far as it is known."""
        return max(0, self.platter.room - self.platter.used())

    def close(self) -> None:
        """Give the folder up."""
        if self.platter.holder is self:
            self.platter.holder = None

    # Within.

    def _file(self, name: str, call: str) -> _File:
        file = self.platter.names.get(name)
        if file is None:
            raise NameMissing(f"{name}: {call}: no such file", file=name, call=call, errno=errno.ENOENT)
        return file

    def _call(self, what: str, name: str, ms: float) -> str | None:
        """Let the call's time pass and return its fault; raise one that comes before all effect."""
        number, self.calls = self.calls, self.calls + 1
        fault = self.plan(number, what, name) if self.plan is not None else None
        if fault == "cut":
            raise PowerCut
        ms *= self.platter.slow * (1.0 + self.costs.spread * (self.random.random() - 0.5))
        if self.loop is not None and ms > 0.0:
            self.loop.sleep(ms)
        if fault == "error" or self.platter.fails:
            kind = SyncFailed if what == "sync" else DiskFailed
            raise kind(f"{name}: {what}: input/output error", file=name, call=what, errno=errno.EIO)
        return fault

    @staticmethod
    def _after(fault: str | None) -> None:
        if fault == "late":
            raise PowerCut
