"""A member's folder at work: its disk and its store, opened when the member is, read anew if they fail."""

from collections.abc import Callable

from fennelwind.loop.disk import Disk, DiskError
from fennelwind.raft import council_pb2
from fennelwind.raft.messages import DurableState, Write
from fennelwind.raft_storage.store import Limits, Store

LIFE = 16  # bytes of a life: no two folders ever draw the same


class Folder:
    """What `Member` keeps. A life is drawn for a folder that is made anew."""

    def __init__(
        self,
        disk: Callable[[], Disk],
        fleet: str,
        name: str,
        token: Callable[[int], bytes],
        limits: Limits,
        pause: Callable[[], None] = lambda: None,
    ) -> None:
        """Make it; `pause` lets other tasks run while a long log is read."""
        self.make_disk, self.fleet, self.name, self.token, self.limits = disk, fleet, name, token, limits
        self.pause = pause
        self.store: Store | None = None

    def open(self) -> DurableState:
        """Read what is kept. Raises `StoreError` and `DiskError`; it may be tried again."""
        disk = self.make_disk()
        try:
            self.store, durable = Store.open(
                disk, self.fleet, self.name, self.token(LIFE), self.limits, self.pause
            )
        except BaseException:
            disk.close()
            raise
        return durable

    def reopen(self, head: council_pb2.SnapshotHead | None, snapshot: bytes) -> DurableState:
        """Read anew what is kept after a write has failed. Raises `StoreError` and `DiskError`."""
        return self.store.reopen(head, snapshot)

    def write(self, writes: list[Write]) -> None:
        """Let writes reach the disk as one. Raises `StoreError` and `DiskError`; nothing counts then."""
        self.store.write(*writes)

    def is_space_low(self) -> bool:
        """Tell whether the disk is nearly full."""
        try:
            return self.store.short()
        except DiskError:
            return False  # a disk that can't even say so is met by the next write

    def close(self) -> None:
        """Give the folder up."""
        if self.store is not None:
            self.store.close()
