"""A folder of the system as a `Disk`: what may block is done in a thread of the folder's own.

`Loop.aside` has two threads for all who use it. A disk that hangs would hold one of them for as long as it
hangs, and a sync would wait behind the checks of passwords; so each folder has one thread, which also keeps
its calls in their order. Even an append of a few bytes can stand for as long as a slow disk wants, so none is
made on the loop's own thread; a small one is left to the folder's thread without waiting for it, and what
goes wrong with it is raised by the next call on that file. Until then nothing is written behind it.
"""

import errno
import fcntl
import os
import threading
from collections.abc import Callable
from contextlib import suppress
from queue import SimpleQueue
from typing import Any

from fennelwind.loop.disk import (
    READ_MOST,
    DiskError,
    DiskFailed,
    DiskFull,
    FolderTaken,
    NameMissing,
    SyncFailed,
)
from fennelwind.loop.real import RealLoop
from fennelwind.loop.scheduler import DeadlineExceeded, Waiter

SMALL = 65536  # bytes of an append that is not waited for; a copy into the kernel's memory of some 10 us
NO_ROOM = {errno.ENOSPC, errno.EDQUOT, errno.EFBIG}  # EFBIG: the process's own limit of a file's size
CLOSE_MS = 1000.0  # ms that the end of a program waits for a disk that hangs
FILES_MOST = 16  # files kept open; the store appends to three at a time

# Data and size reach the disk, but not a file's times; where the system has no such call, all of it does.
_sync = getattr(os, "fdatasync", os.fsync)


class _Worker:
    """One thread that makes calls in their order. It is a daemon: a disk that hangs holds no process up."""

    def __init__(self, loop: RealLoop) -> None:
        loop.open_wake()
        self.loop = loop
        self.asked = self.done = 0  # calls; the first is counted by the loop, the second by the thread
        self._calls: SimpleQueue = SimpleQueue()
        threading.Thread(target=self._serve, name="fennelwind-disk", daemon=True).start()

    def _serve(self) -> None:
        while (job := self._calls.get()) is not None:
            call, args, outcome, ended = job
            try:
                outcome.append((call(*args), None))
            except BaseException as exc:  # raised where the call was asked for
                outcome.append((None, exc))
            self.done += 1
            if ended is not None:
                self.loop.from_thread(ended)

    @property
    def under_way(self) -> int:
        """Return how many calls are not done."""
        return self.asked - self.done

    def leave(self, call: Callable[..., Any], *args: Any) -> None:
        """Have the call made in the thread, without waiting for it; it must not raise."""
        self.asked += 1
        self._calls.put((call, args, [], None))

    def make(self, call: Callable[..., Any], *args: Any) -> Any:
        """Make the call in the thread; wait for it. A task that is cancelled does not stop the call."""
        waiter, outcome = Waiter(self.loop), []
        self.asked += 1
        self._calls.put((call, args, outcome, waiter.wake))
        waiter.wait()
        value, error = outcome[0]
        if error is not None:
            raise error
        return value

    def close(self) -> None:
        """Let the thread end behind what was asked for."""
        self._calls.put(None)


class RealDisk:
    """A folder of the system; it is made if need be. Made and used by tasks, one at a time."""

    def __init__(self, loop: RealLoop, folder: str) -> None:
        self.loop, self.folder = loop, os.path.abspath(folder)
        self._files: dict[str, int] = {}  # open for appending
        self._late: dict[str, OSError] = {}  # of appends that were not waited for, until they are told
        self._folder = -1
        try:
            self._worker = _Worker(loop)
        except (OSError, RuntimeError) as exc:  # no descriptor left, or no thread: both may come back
            raise DiskFailed(
                f"{self.folder}: no thread for it: {exc}",
                folder=self.folder,
                call="start",
                errno=getattr(exc, "errno", 0) or 0,
            ) from None
        try:
            self._folder = self._made("open", "", _open_folder, self.folder)
        except BaseException:
            self._worker.close()
            raise

    def lock(self) -> None:
        """Take the folder for this process, until `close` or the process's end. Raises `FolderTaken`."""
        try:
            fcntl.flock(self._folder, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            raise FolderTaken(f"{self.folder}: another process holds it", folder=self.folder) from None
        except OSError as exc:
            raise self._error(exc, "lock", "") from None

    def names(self) -> list[str]:
        """Return the names of its files, sorted."""
        return sorted(self._made("list", "", os.listdir, self._folder))

    def size(self, name: str) -> int:
        """Return the bytes of a file. Raises `NameMissing`."""
        return self._made("size", name, os.stat, self._path(name)).st_size

    def read(self, name: str, offset: int = 0, most: int = READ_MOST) -> bytes:
        """Return bytes from an offset on; b"" at the end. Raises `NameMissing`."""
        return self._made("read", name, _read, self._path(name), offset, most)

    def append(self, name: str, data: bytes) -> None:
        """Write behind what a file holds; it is made if need be. After `DiskFull` a part may be written.

        An error of a small append is raised by the next call on the file.
        """
        late = self._late.pop(name, None)
        if late is not None:
            raise self._error(late, "append", name)
        if len(data) > SMALL:
            self._made("append", name, self._append, name, data)
        else:
            self._worker.leave(self._append_small, name, data)

    def _append_small(self, name: str, data: bytes) -> None:
        if name not in self._late:
            try:
                self._append(name, data)
            except OSError as exc:
                self._late[name] = exc

    def _append(self, name: str, data: bytes) -> None:
        fd, rest = self._open(name), memoryview(data)
        while rest:  # a short write is followed by the error that made it short
            rest = rest[os.write(fd, rest) :]

    def sync(self, name: str) -> None:
        """Let what a file holds reach the disk. After `SyncFailed` nothing unsynced of it counts."""
        self._made("sync", name, self._sync, name)

    def _sync(self, name: str) -> None:
        try:
            _sync(self._open(name, made=False))
        except FileNotFoundError:
            raise
        except OSError:
            self._forget(name)
            raise

    def sync_names(self) -> None:
        """Let new, changed and removed names reach the disk. Raises `SyncFailed`."""
        self._made("sync", "", os.fsync, self._folder)

    def rename(self, old: str, new: str) -> None:
        """Give a file another name; one that has it already is replaced as one step."""
        self._made("rename", old, self._rename, old, new)

    def _rename(self, old: str, new: str) -> None:
        os.rename(self._path(old), self._path(new))
        self._forget(new)
        if old in self._files:
            self._files[new] = self._files.pop(old)

    def remove(self, name: str) -> None:
        """Take a file away. Raises `NameMissing`."""
        self._made("remove", name, self._remove, name)

    def _remove(self, name: str) -> None:
        os.unlink(self._path(name))
        self._forget(name)
        self._late.pop(name, None)

    def truncate(self, name: str, size: int) -> None:
        """Cut a file to so many bytes."""
        self._made("truncate", name, os.truncate, self._path(name), size)

    def free(self) -> int:
        """Return how many bytes can still be written, as far as it is known."""
        try:
            told = os.fstatvfs(self._folder)
        except OSError as exc:
            raise self._error(exc, "free", "") from None
        return told.f_bavail * told.f_frsize

    def close(self) -> None:
        """Give the folder up; a disk that hangs is waited for no longer than `CLOSE_MS`."""
        if self._folder < 0:
            return
        folder, self._folder = self._folder, -1
        try:
            with suppress(DeadlineExceeded), self.loop.deadline(CLOSE_MS):
                self._made("close", "", self._close, folder)
        finally:
            self._worker.close()

    def _close(self, folder: int) -> None:
        for name in list(self._files):
            self._forget(name)
        os.close(folder)

    # Within.

    def _path(self, name: str) -> str:
        return os.path.join(self.folder, name)

    def _open(self, name: str, made: bool = True) -> int:
        fd = self._files.get(name)
        if fd is None:
            flags = os.O_WRONLY | os.O_APPEND | (os.O_CREAT if made else 0)
            while len(self._files) >= FILES_MOST:
                self._forget(next(iter(self._files)))
            fd = self._files[name] = os.open(self._path(name), flags, 0o600)
        return fd

    def _forget(self, name: str) -> None:
        fd = self._files.pop(name, None)
        if fd is not None:
            os.close(fd)

    def _made(self, what: str, name: str, call: Callable[..., Any], *args: Any) -> Any:
        """Make a call in the folder's thread; raise its error as one of `Disk`'s."""
        try:
            late, value = self._worker.make(self._checked, name, call, args)
        except OSError as exc:
            raise self._error(exc, what, name) from None
        if late is not None:
            raise self._error(late, "append", name)
        return value

    def _checked(self, name: str, call: Callable[..., Any], args: tuple) -> tuple[OSError | None, Any]:
        """Make a call unless an append to the file has failed unseen; return that error, and its value."""
        late = self._late.pop(name, None) if call != self._remove else None
        return late, call(*args) if late is None else None

    def _error(self, exc: OSError, what: str, name: str) -> DiskError:
        if isinstance(exc, FileNotFoundError) and name:
            kind: type[DiskError] = NameMissing
        elif what == "sync":  # even for want of room: what was not written may be gone
            kind = SyncFailed
        elif exc.errno in NO_ROOM:
            kind = DiskFull
        else:
            kind = DiskFailed
        text = f"{self._path(name)}: {what}: {exc.strerror}"
        return kind(text, folder=self.folder, file=name, call=what, errno=exc.errno or 0)


def _open_folder(folder: str) -> int:
    """Open a folder. One that is made is there for good: the names of all that are made are synced."""
    made, above = [], folder
    while not os.path.isdir(above):
        above = os.path.dirname(above)
        made.append(above)
    os.makedirs(folder, mode=0o700, exist_ok=True)
    for above in made:
        fd = os.open(above, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(fd)
        finally:
            os.close(fd)
    return os.open(folder, os.O_RDONLY | os.O_DIRECTORY)


def _read(path: str, offset: int, most: int) -> bytes:
    fd = os.open(path, os.O_RDONLY)
    try:
        return os.pread(fd, most, offset)
    finally:
        os.close(fd)
