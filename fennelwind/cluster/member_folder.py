"""The folder of a Raft member at work: its disk and its store, read again after they have failed."""

from collections.abc import Callable

from fennelwind.loop.disk import Disk, DiskError
from fennelwind.raft import council_pb2
from fennelwind.raft.messages import DurableState, Write
from fennelwind.raft_storage.store import Store, StoreLimits

INCARNATION_BYTES = 16  # no two folders ever draw the same


class MemberFolder:
    """What a `RaftHost` stores. An incarnation is drawn for a folder that is made anew."""

    def __init__(
        self,
        make_disk: Callable[[], Disk],
        fleet: str,
        name: str,
        draw_token: Callable[[int], bytes],
        limits: StoreLimits,
        pause: Callable[[], None] = lambda: None,
    ) -> None:
        """Make it; `pause` lets other tasks run while a long log is read."""
        self._make_disk = make_disk
        self._fleet = fleet
        self._name = name
        self._draw_token = draw_token
        self._limits = limits
        self._pause = pause
        self.store: Store | None = None  # once it is open

    def open(self) -> DurableState:
        """Read what is stored. Raises `StoreError` and `DiskError`; it may be tried again."""
        disk = self._make_disk()
        try:
            incarnation = self._draw_token(INCARNATION_BYTES)
            self.store, durable = Store.open(
                disk, self._fleet, self._name, incarnation, self._limits, self._pause
            )
        except BaseException:
            disk.close()
            raise
        return durable

    def reopen(self, head: council_pb2.SnapshotHead | None, snapshot: bytes) -> DurableState:
        """Read again what is stored after a failed write. Raises `StoreError` and `DiskError`."""
        return self._opened_store().reopen(head, snapshot)

    def write(self, writes: list[Write]) -> None:
        """Write in order, with one sync. Raises `StoreError` and `DiskError`; then nothing counts."""
        self._opened_store().write(*writes)

    def is_space_low(self) -> bool:
        """Tell whether the disk is nearly full."""
        try:
            return self._opened_store().is_low_on_space()
        except DiskError:
            return False  # a disk that can't even say so is met by the next write

    def close(self) -> None:
        """Close the store, if it is open."""
        if self.store is not None:
            self.store.close()

    def _opened_store(self) -> Store:
        assert self.store is not None, "the folder is used before it was opened"
        return self.store
