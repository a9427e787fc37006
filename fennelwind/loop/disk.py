"""A folder whose files must last: what may be asked of it, and what it answers when it can't.

Nothing is on the disk before the call that syncs it has returned: a crash before may keep all of it, a part
of it or none, and a new name may be gone while its contents stay. `RealDisk` is a folder of the system,
`SimDisk` one in virtual time with faults (loop/realdisk.py, loop/simdisk.py).
"""

from typing import Protocol

from fennelwind.errors import FennelwindError

READ_MOST = 1 << 20  # bytes that one read returns at most


class DiskError(FennelwindError):
    """The folder could not do what was asked."""

    code = "disk-error"
    advice = "Look at the disk that holds the folder: its state, its mount options, its owner."


class DiskFull(DiskError):
    """No room; a part of what was appended may be there."""

    code = "disk-full"
    advice = (
        "Make room on the disk that holds the folder. The member comes back by itself; until then it "
        "follows and has no vote."
    )


class DiskFailed(DiskError):
    """A call failed for another reason than room."""

    code = "disk-failed"
    advice = "Read the system's log for errors of the device. Replace the disk and let the member join anew."


class SyncFailed(DiskError):
    """What was written may never reach the disk, though later syncs may succeed: nothing of it counts."""

    code = "disk-sync-failed"
    advice = (
        "Restart the member after a look at the device: the kernel may have dropped what it could not "
        "write. The member says nothing of that data until it has read it anew."
    )


class NameMissing(DiskError):
    """There is no file of that name."""

    code = "disk-name-missing"
    advice = "A file was taken away from outside. Let the member join anew with an empty folder."


class FolderTaken(DiskError):
    """Another process holds the folder."""

    code = "disk-folder-taken"
    advice = "Two processes were given one folder. Give each its own, or end the other one first."


class Disk(Protocol):
    """One folder, flat. A call waits until it is done, blocks no other task, and may raise `DiskError`."""

    def lock(self) -> None:
        """Take the folder for this process, until `close` or the process's end. Raises `FolderTaken`."""

    def names(self) -> list[str]:
        """Return the names of its files, sorted."""

    def size(self, name: str) -> int:
        """Return the bytes of a file. Raises `NameMissing`."""

    def read(self, name: str, offset: int = 0, most: int = READ_MOST) -> bytes:
        """Return bytes from an offset on; b"" at the end. Raises `NameMissing`."""

    def append(self, name: str, data: bytes) -> None:
        """Write behind what a file holds; it is made if need be. After `DiskFull` a part may be written.

        Its error may come with the next call on the file; until then nothing is written behind it.
        """

    def sync(self, name: str) -> None:
        """Let what a file holds reach the disk. After `SyncFailed` nothing unsynced of it counts."""

    def sync_names(self) -> None:
        """Let new, changed and removed names reach the disk. Raises `SyncFailed`."""

    def rename(self, old: str, new: str) -> None:
        """Give a file another name; one that has it already is replaced as one step."""

    def remove(self, name: str) -> None:
        """Take a file away. Raises `NameMissing`."""

    def truncate(self, name: str, size: int) -> None:
        """Cut a file to so many bytes."""

    def free(self) -> int:
        """Return how many bytes can still be written, as far as it is known."""

    def close(self) -> None:
        """Give the folder up."""
