"""The two folders behind `Disk`: the system's own, and the one in virtual time with faults."""

import errno
import os
import resource
import subprocess
import sys
import textwrap
from pathlib import Path
from random import Random

import pytest

from fennelwind.loop import RealLoop, SimLoop
from fennelwind.loop.disk import DiskError, DiskFailed, DiskFull, FolderTaken, NameMissing, SyncFailed
from fennelwind.loop.realdisk import SMALL, RealDisk
from fennelwind.loop.simdisk import Platter, SimDisk


def on_both(call):
    """Run a test's body on a real folder and on one in memory."""

    def test(tmp_path):
        real = RealLoop()
        real.run(lambda: call(RealDisk(real, str(tmp_path / "folder"))))
        sim = SimLoop(1)
        sim.run(lambda: call(SimDisk(sim, Platter())))

    test.__name__ = call.__name__
    return test


@on_both
def test_files_are_made_read_renamed_cut_and_removed(disk):
    disk.lock()
    assert disk.names() == []
    disk.append("b", b"one")
    disk.append("b", b"two" * SMALL)
    disk.append("a", b"")
    disk.sync("b")
    disk.sync_names()
    assert disk.names() == ["a", "b"] and disk.size("b") == 3 + 3 * SMALL
    assert disk.read("b", 0, 7) == b"onetwot" and disk.read("b", 3 + 3 * SMALL) == b""
    disk.rename("b", "a")
    disk.append("a", b"end")  # the file that was open goes on under its new name
    disk.truncate("a", 5)
    disk.append("a", b"!")
    assert disk.names() == ["a"] and disk.read("a") == b"onetw!"
    disk.remove("a")
    assert disk.names() == [] and disk.free() > 0
    disk.append("a", b"new")  # not the file that was removed
    assert disk.read("a") == b"new"
    disk.close()


@on_both
def test_a_missing_file_is_told(disk):
    for call in (
        disk.size,
        disk.read,
        disk.remove,
        disk.sync,
        lambda name: disk.rename(name, "y"),
        lambda name: disk.truncate(name, 0),
    ):
        with pytest.raises(NameMissing) as told:
            call("x")
        assert told.value.facts["file"] == "x"


def in_child(body, *args):
    """Run a body with `loop` and `folder` in another process; return what it printed."""
    code = (
        "import resource, sys\nfrom fennelwind.loop import RealLoop\n"
        "from fennelwind.loop.disk import *\nfrom fennelwind.loop.realdisk import RealDisk\n"
        "loop, folder = RealLoop(), sys.argv[1]\n"
        f"def main():\n{textwrap.indent(textwrap.dedent(body), '    ')}\nloop.run(main)\n"
    )
    done = subprocess.run(
        [sys.executable, "-c", code, *map(str, args)], capture_output=True, text=True, timeout=60, check=False
    )
    assert done.returncode == 0, done.stderr
    return done.stdout.split()


def test_a_second_process_does_not_get_the_folder_until_the_first_has_gone(tmp_path):
    attempt = """
        try:
            RealDisk(loop, folder).lock()
            print("taken")
        except FolderTaken as exc:
            print(exc.code)
        """
    loop = RealLoop()

    def main():
        disk = RealDisk(loop, str(tmp_path))
        disk.lock()
        first = in_child(attempt, tmp_path)
        with pytest.raises(FolderTaken):
            RealDisk(loop, str(tmp_path)).lock()  # nor does a second use in the same process
        disk.close()
        return first + in_child(attempt, tmp_path)

    assert loop.run(main) == ["disk-folder-taken", "taken"]


def test_a_limit_of_files_is_a_full_disk_and_a_part_may_be_there(tmp_path):
    told = in_child(
        """
        resource.setrlimit(resource.RLIMIT_FSIZE, (1000, 1000))
        disk = RealDisk(loop, folder)
        disk.append("a", b"x" * 900)
        for call in (disk.sync, disk.size, lambda name: disk.append(name, b"z" * 70_000)):
            disk.append("a", b"y" * 200)
            disk.append("a", b"behind it")  # not written, though the one before was only in part
            try:
                call("a")
            except DiskFull as exc:
                print(exc.facts["call"], disk.size("a"))
        disk.sync("a")
        """,
        tmp_path,
    )
    assert told == ["append", "1000"] * 3


def test_an_append_that_failed_unseen_is_told_by_the_next_and_once(tmp_path):
    loop = RealLoop()

    def main():
        os.symlink("/dev/full", tmp_path / "a")
        disk = RealDisk(loop, str(tmp_path))
        disk.append("a", b"x")
        disk.names()  # by now it was made
        with pytest.raises(DiskFull):
            disk.append("a", b"x")
        disk.append("a", b"x")
        disk.remove("a")  # what is removed has nothing more to tell
        disk.append("a", b"y")
        assert disk.read("a") == b"y"

    loop.run(main)


@pytest.mark.skipif(not os.path.exists("/dev/full"), reason="no device that is always full")
def test_a_device_without_room_is_a_full_disk(tmp_path):
    loop = RealLoop()

    def main():
        os.symlink("/dev/full", tmp_path / "a")
        disk = RealDisk(loop, str(tmp_path))
        disk.append("a", b"x" * 100)
        with pytest.raises(DiskFull) as told:
            disk.sync("a")
        assert told.value.facts["errno"] == errno.ENOSPC

    loop.run(main)


def test_other_errors_are_told_as_such(tmp_path):
    loop = RealLoop()

    def main():
        (tmp_path / "dir").mkdir()
        disk = RealDisk(loop, str(tmp_path))
        disk.append("dir", b"x")
        with pytest.raises(DiskFailed) as told:
            disk.sync("dir")
        assert told.value.facts["errno"] and told.value.facts["file"] == "dir"
        with pytest.raises(DiskFailed):
            RealDisk(loop, "/proc/none/such")

    loop.run(main)


@pytest.mark.parametrize("what", [resource.RLIMIT_NOFILE, None])
def test_neither_descriptors_nor_threads_left_is_a_failed_disk(tmp_path, monkeypatch, what):
    def no_thread(thread):
        raise RuntimeError("can't start new thread")

    def main():
        if what is None:
            monkeypatch.setattr("threading.Thread.start", no_thread)
        else:
            soft, hard = resource.getrlimit(what)
            resource.setrlimit(what, (3, hard))
        try:
            with pytest.raises(DiskFailed):
                RealDisk(loop, str(tmp_path))
        finally:
            if what is not None:
                resource.setrlimit(what, (soft, hard))
        monkeypatch.undo()
        RealDisk(loop, str(tmp_path)).lock()

    loop = RealLoop()
    loop.run(main)


def test_a_sync_that_fails_closes_the_file(tmp_path, monkeypatch):
    loop = RealLoop()
    monkeypatch.setattr("fennelwind.loop.realdisk._sync", lambda fd: os.fsync(1 << 20))

    def main():
        disk = RealDisk(loop, str(tmp_path))
        disk.append("a", b"x")
        with pytest.raises(SyncFailed):
            disk.sync("a")
        assert not disk._files

    loop.run(main)


def test_a_disk_that_hangs_stops_no_other_task_and_no_calls_beside_the_loop(tmp_path, monkeypatch):
    hold, let_go = os.pipe()
    monkeypatch.setattr("fennelwind.loop.realdisk._sync", lambda fd: os.read(hold, 1))
    loop, turns = RealLoop(), []

    def main():
        disk = RealDisk(loop, str(tmp_path))
        disk.append("a", b"x")
        task = loop.spawn(disk.sync, "a")
        for _ in range(5):
            turns.append(loop.aside(lambda: 1))
            loop.sleep(1.0)
        assert not task.done
        task.cancel()
        disk.append("a", b"y")  # not ahead of what is under way
        assert disk._worker.under_way == 2
        os.write(let_go, b"!")
        assert disk.read("a") == b"xy"
        disk.close()

    loop.run(main)
    assert turns == [1] * 5


def test_the_end_does_not_wait_for_a_disk_that_hangs(tmp_path, monkeypatch):
    hold, let_go = os.pipe()
    monkeypatch.setattr("fennelwind.loop.realdisk._sync", lambda fd: os.read(hold, 1))
    monkeypatch.setattr("fennelwind.loop.realdisk.CLOSE_MS", 20.0)
    loop = RealLoop()

    def main():
        disk = RealDisk(loop, str(tmp_path))
        disk.append("a", b"x")
        loop.spawn(disk.sync, "a")
        loop.sleep(1.0)
        disk.close()
        assert disk._worker.under_way == 2  # it is closed when the disk comes back
        os.write(let_go, b"!")
        while disk._worker.under_way:
            loop.sleep(1.0)
        RealDisk(loop, str(tmp_path)).lock()

    loop.run(main)


def test_a_folder_that_is_made_has_its_names_synced_up_to_what_was_there(tmp_path, monkeypatch):
    synced = []
    fsync = os.fsync
    monkeypatch.setattr("os.fsync", lambda fd: (synced.append(os.readlink(f"/proc/self/fd/{fd}")), fsync(fd)))
    loop = RealLoop()
    loop.run(lambda: RealDisk(loop, str(tmp_path / "one" / "two")).close())
    assert synced == [str(tmp_path / "one"), str(tmp_path)]


# The faults of the folder in virtual time.


def filled(**options):
    platter = Platter(**options)
    return platter, SimDisk(None, platter, seed=1)


def test_a_crash_keeps_what_was_synced_and_of_the_rest_what_is_asked():
    for loss, allowed in (("none", {b"a" * 600}), ("all", {b"a" * 600 + b"b" * 2000})):
        platter, disk = filled()
        disk.append("x", b"a" * 600)
        disk.sync("x")
        disk.sync_names()
        disk.append("x", b"b" * 2000)
        disk.append("y", b"new")
        platter.crash(Random(1), loss)
        assert disk.read("x") in allowed
        assert ("y" in disk.names()) == (loss == "all")
    sizes, holes = set(), 0
    for seed in range(40):
        for loss in ("prefix", "pick"):
            platter, disk = filled()
            disk.append("x", b"a" * 600)
            disk.sync("x")
            disk.sync_names()
            disk.append("x", b"b" * 2000)
            platter.crash(Random(seed), loss)
            data = disk.read("x")
            assert data[:600] == b"a" * 600 and set(data[600:]) <= set(b"b\0")
            sizes.add(len(data))
            holes += 0 in data
            assert loss == "pick" or 0 not in data
    assert len(sizes) > 20 and holes > 5


def test_names_wait_for_their_own_sync():
    platter, disk = filled()
    disk.append("old", b"1")
    disk.sync("old")
    disk.sync_names()
    disk.append("new", b"2")
    disk.sync("new")
    disk.rename("new", "old")
    platter.crash(Random(1), "none")
    assert disk.names() == ["old"] and disk.read("old") == b"1"


def test_what_a_failed_sync_was_to_bring_is_lost_though_a_later_one_succeeds():
    platter, disk = filled()
    disk.append("x", b"a" * 10)
    disk.sync("x")
    disk.sync_names()
    disk.append("x", b"b" * 10)
    platter.sync_fails = True
    with pytest.raises(SyncFailed):
        disk.sync("x")
    platter.sync_fails = False
    disk.append("x", b"c" * 10)
    disk.sync("x")
    assert disk.read("x") == b"a" * 10 + b"b" * 10 + b"c" * 10  # as long as the machine runs
    platter.crash(Random(1), "all")
    assert disk.read("x") == b"a" * 10 + bytes(10) + b"c" * 10


def test_room_ends_and_comes_back():
    platter, disk = filled(room=100)
    with pytest.raises(DiskFull):
        disk.append("x", b"a" * 150)
    assert disk.size("x") == 100 and disk.free() == 0
    platter.room = 200
    disk.append("x", b"b" * 50)
    assert disk.size("x") == 150 and disk.free() == 50


def test_faults_come_on_the_call_that_the_plan_names_and_the_same_seed_gives_the_same_run():
    def run():
        loop, platter = SimLoop(3), Platter(slow=7.0)
        disk = SimDisk(loop, platter, seed=5, plan=lambda n, what, name: {2: "error", 4: "short"}.get(n))
        told = []

        def main():
            for call in (
                lambda: disk.append("x", b"1" * 100),
                lambda: disk.sync("x"),
                lambda: disk.sync("x"),
                disk.sync_names,
                lambda: disk.append("x", b"2" * 100),
            ):
                try:
                    call()
                except DiskError as exc:
                    told.append(exc.code)
                told.append((loop.now(), disk.size("x")))

        loop.run(main)
        return told

    first = run()
    assert first == run()
    assert [t for t in first if isinstance(t, str)] == ["disk-sync-failed", "disk-full"]
    assert 100 <= first[-1][1] < 200 and first[-1][0] > 1000.0


def test_one_process_at_a_time_and_a_crash_frees_the_folder():
    platter, disk = filled()
    disk.lock()
    with pytest.raises(FolderTaken):
        SimDisk(None, platter).lock()
    platter.crash(Random(1))
    SimDisk(None, platter).lock()


# The record on disk, in a real folder, by processes that end badly.

KEEPER = """
import sys
from fennelwind.raft import council_pb2 as pb
from fennelwind.raft.messages import Write
from fennelwind.loop import RealLoop
from fennelwind.loop.disk import DiskError
from fennelwind.loop.realdisk import RealDisk
from fennelwind.raft_storage.errors import StoreError
from fennelwind.raft_storage.store import StoreLimits, Store
loop = RealLoop()
limits = StoreLimits(segment_bytes=20_000, reserve_bytes=50_000, min_free_bytes=50_000)

def main():
    try:
        store, durable = Store.open(RealDisk(loop, sys.argv[1]), "fleet", "a", loop.token(16), limits)
    except (DiskError, StoreError) as exc:
        print(exc.code, flush=True)
        return
    head = durable.snapshot_head
    last = durable.entries[-1].index if durable.entries else head.index if head else 0
    print("open", durable.me.id.hex(), last, flush=True)
    while last < 100_000:
        entry = pb.Entry(term=1, index=last + 1, command=pb.Command(body=b"%d " % (last + 1) * 50))
        writes = [Write(1, entries=(entry,), hard_state=pb.HardState(term=last + 1))]
        if last % 100 == 99:
            writes.append(Write(2, snapshot_head=pb.SnapshotHead(index=last, term=1), snapshot=b"s" * last))
        try:
            store.write(*writes)
        except DiskError as exc:
            print(exc.code, last, flush=True)
            while store.failed:
                loop.sleep(5.0)
                try:
                    durable = store.reopen()
                except DiskError:
                    print("not yet", flush=True)
            assert durable.hard_state.term == last
            print("back", last, flush=True)
            continue
        last += 1
        print("kept", last, flush=True)

loop.run(main)
"""


class Keeper:
    """A process that writes to a folder and says what is on the disk."""

    def __init__(self, folder, before=""):
        """Start; `before` is Python run ahead of the program, with the tests' own modules at hand."""
        support = str(Path(__file__).parent.parent / "support")
        code = f"import sys; sys.path.insert(0, {support!r}); {before}\n{KEEPER}"
        self.process = subprocess.Popen(
            [sys.executable, "-c", code, str(folder)], text=True, stdout=subprocess.PIPE
        )

    def until(self, word, times=1):
        """Return the last line of those that begin with the word; how many to wait for."""
        while times:
            words = self.process.stdout.readline().split()
            assert words, "it ended"
            times -= words[0] == word
        return words

    def kill(self, wait=False):
        """Kill the process, or wait for its own end; return the last index that it said was kept."""
        if not wait:
            self.process.kill()
        kept = [
            int(line.split()[1])
            for line in self.process.stdout
            if line.startswith("kept ") and line.endswith("\n")
        ]
        self.process.wait()
        return kept[-1] if kept else 0


def test_a_process_whose_files_may_not_grow_says_so_and_comes_back_by_itself(tmp_path):
    keeper = Keeper(tmp_path)
    keeper.until("kept", 20)
    pid, (_, hard) = keeper.process.pid, resource.prlimit(keeper.process.pid, resource.RLIMIT_FSIZE)
    resource.prlimit(pid, resource.RLIMIT_FSIZE, (10, hard))  # not even a new segment's beginning
    _, last = keeper.until("disk-full")
    keeper.until("not", 3)
    resource.prlimit(pid, resource.RLIMIT_FSIZE, (hard, hard))
    assert keeper.until("back") == ["back", last]
    _, last = keeper.until("kept", 20)
    last = max(int(last), keeper.kill())
    keeper = Keeper(tmp_path)
    assert int(keeper.until("open")[2]) in (last, last + 1)
    keeper.kill()


FAULTS = [("write", "ENOSPC"), ("write", "EIO"), ("sync", "EIO"), ("sync", "ENOSPC")]


def test_writes_and_syncs_that_fail_for_a_while_lose_nothing_that_was_kept(tmp_path):
    for number, (call, error) in enumerate(FAULTS):
        folder, trouble = tmp_path / str(number), tmp_path / f"trouble-{number}"
        keeper = Keeper(folder, f"import faulty; faulty.install_disk({str(trouble)!r})")
        keeper.until("kept", 20)
        trouble.write_text(f'{{"{call}": "{error}"}}', "utf-8")
        keeper.until("not", 3)
        trouble.unlink()
        _, last = keeper.until("back")
        _, last = keeper.until("kept", 20)
        trouble.write_text('{"write": "half"}', "utf-8")
        last = max(int(last), keeper.kill(wait=True))
        again = Keeper(folder)
        assert int(again.until("open")[2]) in (last, last + 1), (call, error)
        again.kill()
