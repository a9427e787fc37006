"""The folder of a running Raft member: its disk and store, reopened after a failure."""

from collections.abc import Callable

from fennelwind.loop.disk import Disk, DiskError
from fennelwind.raft import council_pb2
from fennelwind.raft.messages import DurableState, Write
from fennelwind.raft_storage.store import Store, StoreLimits

INCARNATION_BYTES = 16  # random, so that each new folder gets a unique incarnation


class MemberFolder:
    """The storage of a `RaftHost`; a new folder gets a new incarnation."""

    def __init__(
        self,
        make_disk: Callable[[], Disk],
        fleet: str,
        name: str,
        draw_token: Callable[[int], bytes],
        limits: StoreLimits,
        pause: Callable[[], None] = lambda: None,
    ) -> None:
        """Prepare the folder; `pause` is called to let other tasks run while a long log is read."""
        self._make_disk = make_disk
        self._fleet = fleet
        self._name = name
        self._draw_token = draw_token
        self._limits = limits
        self._pause = pause
        self.store: Store | None = None  # None until `open` has succeeded

    def open(self) -> DurableState:
        """Read the stored state. Raises `StoreError` and `DiskError`; the call may be repeated."""
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
        """Read the stored state again after a failed write. Raises `StoreError` and `DiskError`."""
        return self._opened_store().reopen(head, snapshot)

    def write(self, writes: list[Write]) -> None:
        """Make the writes in order, with one sync.

        Raises `StoreError` and `DiskError`; in that case none of the writes counts as made.
        """
        self._opened_store().write(*writes)

    def is_space_low(self) -> bool:
        """Return whether the disk is nearly full; False if that can't be determined."""
        try:
            return self._opened_store().is_low_on_space()
        except DiskError:
            return False  # the next write reports the failing disk

    def close(self) -> None:
        """Close the store, if it is open."""
        if self.store is not None:
            self.store.close()

    def _opened_store(self) -> Store:
        assert self.store is not None, "the folder was used before it was opened"
        return self.store
