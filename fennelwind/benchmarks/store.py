"""The record on disk on a real folder, beside the bare calls of the system in the same run.

`python -m fennelwind.benchmarks.store [FOLDER]`. The bare yardstick appends the same bytes to a file of its
own and syncs them, in the same turns, so that whatever else the disk does meets both.
"""

import os
import statistics
import sys
import tempfile
import time
from collections.abc import Callable

from fennelwind.loop import RealLoop
from fennelwind.loop.realdisk import RealDisk
from fennelwind.raft import council_pb2 as pb
from fennelwind.raft.messages import Write
from fennelwind.raft_storage.store import Store, StoreLimits

BODY = 100  # bytes of a command; about a renewal of a lease
SIZES = (1, 10, 100, 1000)  # entries in one write
TURNS = 400  # writes of each size, each beside a bare one
LOG = 100_000  # entries in the log that is opened
OPENINGS = 3


def entries(first: int, many: int) -> tuple[pb.Entry, ...]:
    """Return entries as a council writes them."""
    return tuple(
        pb.Entry(
            term=1,
            index=index,
            clock_ms=index,
            command=pb.Command(client=1, number=index, machine="leases", body=os.urandom(BODY)),
        )
        for index in range(first, first + many)
    )


def timed(call: Callable[[], object]) -> float:
    """Return how long a call takes, in ms."""
    began = time.perf_counter()
    call()
    return (time.perf_counter() - began) * 1000.0


def quantiles(times: list[float]) -> tuple[float, float]:
    """Return the median and the 99th of a hundred."""
    return statistics.median(times), sorted(times)[int(len(times) * 0.99)]


def play_writes(loop: RealLoop, folder: str, many: int) -> tuple[list[float], list[float], int]:
    """Return ms of each write of so many entries, of each bare append and sync beside it, and its bytes."""
    store, _ = Store.open(RealDisk(loop, folder), "lab", "a", loop.token(16))
    bare = os.open(os.path.join(folder, "bare"), os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o600)
    ours, bares, last = [], [], 0
    for _ in range(TURNS):
        batch = entries(last + 1, many)
        data = b"".join(entry.SerializeToString() for entry in batch)
        ours.append(timed(lambda: store.write(Write(1, entries=batch))))  # noqa: B023 - called at once
        bares.append(timed(lambda: (os.write(bare, data), os.fdatasync(bare))))  # noqa: B023
        last += many
    os.close(bare)
    store.close()
    return ours, bares, len(data)


def play_opening(loop: RealLoop, folder: str) -> tuple[float, float, float]:
    """Return ms to open a log of `LOG` entries, ms to read its bytes alone, and its MB."""
    limits = StoreLimits()
    store, _ = Store.open(RealDisk(loop, folder), "lab", "a", loop.token(16), limits)
    for first in range(1, LOG, 1000):
        store.write(Write(1, entries=entries(first, 1000)))
    store.close()
    opens, reads, size = [], [], 0
    for _ in range(OPENINGS):
        disk = RealDisk(loop, folder)
        began = time.perf_counter()
        store, durable = Store.open(disk, "lab", "a", loop.token(16), limits)
        opens.append((time.perf_counter() - began) * 1000.0)
        if len(durable.entries) != LOG:
            raise SystemExit(f"{len(durable.entries)} entries were read back of {LOG}")
        store.close()
        names = [os.path.join(folder, name) for name in os.listdir(folder) if name.startswith("log-")]
        began = time.perf_counter()
        size = 0
        for name in names:
            with open(name, "rb") as file:
                size += len(file.read())
        reads.append((time.perf_counter() - began) * 1000.0)
    return statistics.median(opens), statistics.median(reads), size / 1e6


def play_snapshots(loop: RealLoop, folder: str, size: int) -> tuple[float, float]:
    """Return ms to write a snapshot of so many bytes, and of a bare file written, synced and renamed."""
    store, _ = Store.open(RealDisk(loop, folder), "lab", "a", loop.token(16))
    store.write(Write(1, entries=entries(1, 100)))
    ours, bares, data = [], [], os.urandom(size)
    for index in range(1, 21):
        head = pb.SnapshotHead(index=index, term=1)
        ours.append(timed(lambda: store.write(Write(1, snapshot_head=head, snapshot=data))))  # noqa: B023

        def bare() -> None:
            name = os.path.join(folder, "bare")
            fd = os.open(name + ".new", os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
            os.write(fd, data)
            os.fdatasync(fd)
            os.close(fd)
            os.rename(name + ".new", name)
            fd = os.open(folder, os.O_RDONLY)
            os.fsync(fd)
            os.close(fd)

        bares.append(timed(bare))
    store.close()
    return statistics.median(ours), statistics.median(bares)


def main(root: str | None = None) -> None:
    """Print all figures as rows of tables."""
    loop = RealLoop()

    def play() -> None:
        print(
            "| entries a write | bytes | write, median ms | 99th | bare append and sync, median ms | 99th "
            "| times bare | entries a second |\n" + "| --- " * 8 + "|"
        )
        for many in SIZES:
            with tempfile.TemporaryDirectory(dir=root) as folder:
                ours, bares, size = play_writes(loop, folder, many)
            (mid, high), (bare, bare_high) = quantiles(ours), quantiles(bares)
            print(
                f"| {many} | {size} | {mid:.2f} | {high:.2f} | {bare:.2f} | {bare_high:.2f} "
                f"| {mid / bare:.2f} | {many * len(ours) / sum(ours) * 1000.0:.0f} |"
            )
        print("\n| snapshot, bytes | write, median ms | bare file, median ms |\n| --- | --- | --- |")
        for size in (10_000, 1_000_000, 16_000_000):
            with tempfile.TemporaryDirectory(dir=root) as folder:
                print("| {} | {:.1f} | {:.1f} |".format(size, *play_snapshots(loop, folder, size)))
        with tempfile.TemporaryDirectory(dir=root) as folder:
            opened, read, size = play_opening(loop, folder)
        print(
            f"\nopening a log of {LOG} entries, {size:.1f} MB: {opened:.0f} ms (reading its bytes alone: "
            f"{read:.0f} ms), median of {OPENINGS}"
        )

    loop.run(play)


if __name__ == "__main__":
    main(*sys.argv[1:2])
