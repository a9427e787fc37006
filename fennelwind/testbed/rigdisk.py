"""A real folder with faults that the rig turns on and off; no setting of the program reaches it."""

from dataclasses import dataclass

from fennelwind.loop import RealLoop
from fennelwind.loop.disk import READ_MOST, DiskFull, SyncFailed
from fennelwind.loop.realdisk import RealDisk


@dataclass(slots=True)
class Faults:
    """What is wrong with the disk now."""

    full: bool = False  # nothing more can be written
    slow_ms: float = 0.0  # more for each write and sync
    syncs_fail: int = 0  # so many of the next syncs
    loses: bool = False  # what is not synced stays in the process, and goes with it
    no_sync: bool = False  # syncs return at once, for measuring what they cost


class RigDisk(RealDisk):
    """A `RealDisk` whose faults are looked at ahead of each call."""

    def __init__(self, loop: RealLoop, folder: str, faults: Faults) -> None:
        self.faults = faults
        self._unsynced: dict[str, bytes] = {}
        super().__init__(loop, folder)

    def append(self, name: str, data: bytes) -> None:
        """Write behind what a file holds, as the faults let it."""
        self._slow()
        if self.faults.full:
            raise DiskFull(f"{name}: no room, says the rig", file=name)
        if self.faults.loses:
            self._unsynced[name] = self._unsynced.get(name, b"") + data
        else:
            self._flush(name)
            super().append(name, data)

    def sync(self, name: str) -> None:
        """Let what a file holds reach the disk, as the faults let it."""
        self._slow()
        if self.faults.syncs_fail:
            self.faults.syncs_fail -= 1
            self._unsynced.pop(name, None)
            raise SyncFailed(f"{name}: a sync failed, says the rig", file=name)
        self._flush(name)
        if not self.faults.no_sync:
            super().sync(name)

    def sync_names(self) -> None:
        """Let names reach the disk."""
        self._slow()
        if not self.faults.no_sync:
            super().sync_names()

    def size(self, name: str) -> int:
        """Return the bytes of a file."""
        self._flush(name)
        return super().size(name)

    def read(self, name: str, offset: int = 0, most: int = READ_MOST) -> bytes:
        """Return bytes from an offset on."""
        self._flush(name)
        return super().read(name, offset, most)

    def rename(self, old: str, new: str) -> None:
        """Give a file another name."""
        self._flush(old)
        self._unsynced.pop(new, None)
        super().rename(old, new)

    def remove(self, name: str) -> None:
        """Take a file away."""
        self._flush(name)
        super().remove(name)

    def truncate(self, name: str, size: int) -> None:
        """Cut a file to so many bytes."""
        self._flush(name)
        super().truncate(name, size)

    def free(self) -> int:
        """Return how many bytes can still be written."""
        return 0 if self.faults.full else super().free()

    def _slow(self) -> None:
        if self.faults.slow_ms:
            self.loop.sleep(self.faults.slow_ms)

    def _flush(self, name: str) -> None:
        data = self._unsynced.pop(name, b"")
        if data:
            super().append(name, data)
