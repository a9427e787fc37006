"""The durable store: acknowledged writes survive any fault, and every write is atomic."""

from collections import Counter
from random import Random

import pytest
from google.protobuf.message import DecodeError
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, precondition, rule
from planted import planted
from store_defects import (
    ALL_TORN,
    DEFECTS,
    NO_CHECKSUMS,
    DeferredErrorDisk,
    ForwardingDisk,
    found_after,
    store_on,
)
from store_model import (
    FAULTS,
    INCARNATION_ID,
    LOSSES,
    SMALL_LIMITS,
    TINY_LIMITS,
    FolderModel,
    StorePlay,
    draw_writes,
    make_entry,
    make_folder,
    open_damaged,
    open_randomly_changed,
    random_play,
)

from fennelwind.loop import DeadlineExceeded, SimLoop
from fennelwind.loop.disk import FolderTaken
from fennelwind.loop.simdisk import Platter, SimDisk
from fennelwind.raft import council_pb2 as pb
from fennelwind.raft.messages import Write
from fennelwind.raft_storage import record_format, store_pb2
from fennelwind.raft_storage.errors import (
    InsufficientSpaceError,
    InvalidWriteError,
    LogDamagedError,
    MetaDamagedError,
    MetaMissingError,
    NewerFormatError,
    SegmentMissingError,
    SnapshotDamagedError,
    StoreStoppedError,
    WriteTooLargeError,
    WrongFleetError,
    WrongMemberError,
)
from fennelwind.raft_storage.store import Store, StoreLimits

WRITES = 10  # writes of the small play in which each call gets each fault


def test_writes_are_read_back():
    for seed in range(20):
        StorePlay(seed).run_writes(40)


def at(number, fault):
    return lambda n, what, name: fault if n == number else None


def small_play_calls(seed):
    play = StorePlay(seed)
    play.run_writes(WRITES)
    return play.calls


@pytest.mark.parametrize("loss", LOSSES)
def test_power_cut_at_every_call(loss):
    for number in range(small_play_calls(1)):
        for fault in ("cut", "late"):
            play = StorePlay(1, at(number, fault), loss=loss)
            play.run_writes(WRITES)
            assert play.power_cuts in (1, 2)  # a `late` cut only happens after calls that change something


@pytest.mark.parametrize("fault", ["full", "short", "error", "sync"])
def test_failure_at_every_call(fault):
    for number in range(small_play_calls(1)):
        play = StorePlay(1, at(number, fault))
        play.run_writes(WRITES)


# Damage: each flipped bit and each truncation in a small folder is detected or harmless.


def count_damage_outcomes(play, marks):
    """Flip a bit of each byte, and truncate each file at each byte; return the counts of outcomes."""
    seen, random = Counter(), Random(1)
    last = max(name for name in play.platter.names if name.startswith("log-"))
    for name, file in sorted(play.platter.names.items()):
        for at in range(len(file.shown)):
            bit = 8 * at + random.randrange(8)
            for what, held in (
                ("flip", open_damaged(play, lambda platter: platter.flip(name, bit))),  # noqa: B023
                ("cut", open_damaged(play, lambda platter: platter.cut(name, at))),  # noqa: B023
            ):
                if isinstance(held, type):
                    outcome = held.__name__
                elif play.model.matches(held):
                    outcome = "whole"
                elif name.startswith("snapshot-") and play.model.is_equivalent(held):
                    outcome = "older snapshot"
                else:  # without marks, nothing shows that the lost end of the log was acknowledged
                    assert (what, name, marks) == ("cut", last, False), (what, name, at)
                    assert any(model.matches(held) for model in play.history), (what, name, at)
                    outcome = "shorter"
                seen[what, outcome] += 1
    return seen


def test_each_flipped_bit_and_each_truncation_is_detected_or_harmless():
    seen = count_damage_outcomes(make_folder(), True)
    assert {outcome for _, outcome in seen} == {
        "LogDamagedError",
        "MetaDamagedError",
        "whole",
        "older snapshot",
    }


def test_without_marks_a_flipped_bit_is_not_taken_for_a_torn_write():
    seen = count_damage_outcomes(make_folder(marks=False), False)
    assert seen["cut", "shorter"] > 50 and not seen["flip", "shorter"]


def test_torn_tail_is_dropped_and_changed_tail_is_refused():
    play = StorePlay(1, limits=TINY_LIMITS)
    play.write(Write(1, entries=(make_entry(1, 1),)))
    before = play.model
    name, begin = "log-0000000001", len(play.platter.names["log-0000000001"].shown)
    play.write(Write(1, entries=(make_entry(2, 1, 2000, play.random),)))
    play.kill_process()
    play.platter.lose("marks-0000000001")
    size = len(play.platter.names[name].shown)
    for sector in range(begin // 512, size // 512 + 1):  # a sector that was not written reads as zeros

        def tear(platter, sector=sector):
            start, end = max(begin, sector * 512), min(size, sector * 512 + 512)
            platter.names[name].shown[start:end] = bytes(end - start)

        assert before.matches(open_damaged(play, tear))

    def change(platter):
        platter.names[name].shown[begin + 700 : begin + 800] = bytes(100)  # less than a sector

    assert open_damaged(play, change) is LogDamagedError
    later = open_damaged(
        play, lambda platter: platter.flip(name, 8 * begin + 3)
    )  # in the length or the magic
    assert later is LogDamagedError


def test_random_changes_of_files_are_detected_or_harmless():
    held = Counter(open_randomly_changed(seed) for seed in range(300))
    assert held["LogDamagedError"] > 50 and held["whole"] > 50 and held["older snapshot"] > 10


def test_damaged_snapshot_is_replaced_by_the_older_one_and_the_log():
    play = StorePlay(1)
    for index in range(1, 41):
        play.write(Write(1, entries=(make_entry(index, 1),)))
        if index % 10 == 0:
            head = pb.SnapshotHead(index=index - 2, term=1)
            play.write(Write(1, snapshot_head=head, snapshot=b"state %d" % index))
    play.kill_process()
    newest = max(name for name in play.platter.names if name.startswith("snapshot-"))
    held = open_damaged(play, lambda platter: platter.flip(newest, 300))
    assert (held.snapshot_head.index, held.snapshot) == (28, b"state 30")
    assert [e.index for e in held.entries] == list(range(29, 41))
    assert play.model.is_equivalent(held)
    assert open_damaged(play, lambda platter: platter.lose(newest)) == held
    older = min(name for name in play.platter.names if name.startswith("snapshot-"))
    assert play.model.matches(open_damaged(play, lambda platter: platter.flip(older, 300)))

    def both(platter):
        platter.flip(newest, 300)
        platter.lose(older)

    assert open_damaged(play, both) is SnapshotDamagedError


def test_damaged_snapshot_over_a_gap_is_refused():
    play = StorePlay(1)
    play.write(Write(1, entries=(make_entry(1, 1), make_entry(2, 1))))
    play.write(Write(1, snapshot_head=pb.SnapshotHead(index=2, term=1), snapshot=b"two"))
    play.write(Write(1, snapshot_head=pb.SnapshotHead(index=90, term=3), snapshot=b"ninety"))
    play.kill_process()
    newest = max(name for name in play.platter.names if name.startswith("snapshot-"))
    assert open_damaged(play, lambda platter: platter.flip(newest, 300)) is SnapshotDamagedError


# Folders of other members, and incomplete ones.


@pytest.mark.parametrize(
    "fleet, name, error", [("other", "a", WrongFleetError), ("fleet", "b", WrongMemberError)]
)
def test_folder_of_another_member_is_refused_and_unchanged(fleet, name, error):
    play = make_folder()
    before = {name: bytes(file.shown) for name, file in play.platter.names.items()}
    with pytest.raises(error):
        Store.open(SimDisk(None, play.platter), fleet, name, INCARNATION_ID, TINY_LIMITS)
    assert {name: bytes(file.shown) for name, file in play.platter.names.items()} == before


def test_newer_format_is_refused():
    meta = store_pb2.Meta(format=2, fleet="fleet", name="a", life=INCARNATION_ID)
    disk = SimDisk(None, make_folder().platter)
    disk.remove("meta")
    disk.append("meta", record_format.pack(record_format.META, 0, meta.SerializeToString()))
    with pytest.raises(NewerFormatError):
        Store.open(disk, "fleet", "a", INCARNATION_ID, SMALL_LIMITS)


def test_missing_files_are_detected():
    play = make_folder()
    logs = sorted(name for name in play.platter.names if name.startswith("log-"))
    assert len(logs) > 2
    assert open_damaged(play, lambda platter: platter.lose("meta")) is MetaMissingError
    for name in logs[:-1]:
        assert open_damaged(play, lambda platter, name=name: platter.lose(name)) is SegmentMissingError
    assert (
        open_damaged(play, lambda platter: platter.lose(logs[-1])) is LogDamagedError
    )  # a mark shows that more was acknowledged

    def all_logs(platter):
        for name in logs:
            platter.lose(name)

    assert open_damaged(play, all_logs) is SegmentMissingError
    assert open_damaged(play, lambda platter: platter.cut("meta", 5)) is MetaDamagedError


def test_empty_folder_gets_a_new_incarnation():
    play = make_folder()
    for name in list(play.platter.names):
        play.platter.lose(name)
    _, durable = Store.open(SimDisk(None, play.platter), "fleet", "a", b"another", SMALL_LIMITS)
    assert durable.me.id == b"another" and FolderModel().matches(durable)
    play.platter.end()
    _, durable = Store.open(SimDisk(None, play.platter), "fleet", "a", b"a third", SMALL_LIMITS)
    assert durable.me.id == b"another"


def test_entries_retained_behind_a_snapshot_are_read_back():
    play = StorePlay(1, limits=TINY_LIMITS)
    for index in range(1, 31):
        play.write(Write(1, entries=(make_entry(index, 1),)))
        if index % 10 == 0:
            head = pb.SnapshotHead(index=index, term=1)
            play.write(Write(1, snapshot_head=head, snapshot=b"s", retain_from=index - 3))
    play.kill_process()
    _, durable = Store.open(SimDisk(None, play.platter), "fleet", "a", INCARNATION_ID, TINY_LIMITS)
    assert durable.snapshot_head.index == 30 and [e.index for e in durable.entries] == [27, 28, 29, 30]


def test_long_log_is_read_with_pauses():
    play = StorePlay(1, limits=StoreLimits(reserve_bytes=0, min_free_bytes=0))
    for index in range(1, 50):
        play.write(Write(1, entries=(make_entry(index, 1, 10_000),)))
    play.kill_process()
    pauses = []
    Store.open(SimDisk(None, play.platter), "fleet", "a", INCARNATION_ID, pause=lambda: pauses.append(1))
    assert 5 <= len(pauses) <= 10


def test_reading_may_begin_in_a_segment_that_truncates_earlier_entries():
    play = StorePlay(1, limits=StoreLimits(segment_bytes=2000, reserve_bytes=0, min_free_bytes=0))
    play.write(Write(1, entries=tuple(make_entry(index, 1, 300) for index in range(1, 11))))
    play.write(Write(1, truncate_after=8, entries=tuple(make_entry(index, 2, 20) for index in range(9, 12))))
    for index in (10, 11):
        play.write(Write(1, snapshot_head=pb.SnapshotHead(index=index, term=2), snapshot=b"s"))
    assert play.store.first_segment == 2
    play.kill_process()
    assert play.open_folder()


def test_restarts_alone_do_not_accumulate_files():
    play = StorePlay(1, limits=StoreLimits(reserve_bytes=0, min_free_bytes=0))
    for index in range(1, 31):
        play.write(Write(1, hard_state=pb.HardState(term=index)))
        play.write(Write(1, entries=(make_entry(index, index, 4000),)))
        (play.kill_process if index % 2 else play.lose_power)()
        assert play.open_folder()
    logs = [name for name in play.platter.names if name.startswith("log-")]
    assert len(logs) == 2  # one for each 64 KB


def test_folder_is_locked_against_a_second_store():
    play = StorePlay(1)
    with pytest.raises(FolderTaken):
        Store.open(SimDisk(None, play.platter), "fleet", "a", INCARNATION_ID, SMALL_LIMITS)


# A full disk.


def fill_disk():
    """Return a play with a snapshot that wrote until the disk was full."""
    play = StorePlay(1, room=12_000)
    play.write(Write(1, entries=(make_entry(1, 1), make_entry(2, 1))))
    play.write(Write(1, snapshot_head=pb.SnapshotHead(index=1, term=1), snapshot=b"s"))
    while play.write(Write(1, entries=(make_entry(play.model.last_index + 1, 1, 200),))):
        assert play.model.last_index < 100
    return play


def test_full_disk_stops_the_store_until_space_is_free():
    play = fill_disk()
    assert play.store.is_disk_full and play.store.is_low_on_space()
    with pytest.raises(InsufficientSpaceError) as raised:
        play.store.reopen()
    assert raised.value.facts["wanted"] == SMALL_LIMITS.min_free_bytes
    play.platter.room += 4000
    assert play.reopen(tries=1) and play.write(Write(1, hard_state=pb.HardState(term=2)))
    assert not play.store.is_low_on_space()


def test_low_space_is_reported_before_the_disk_is_full():
    play = StorePlay(1, room=12_000)
    while not play.store.is_low_on_space():
        assert play.write(Write(1, entries=(make_entry(play.model.last_index + 1, 1, 200),)))
    for _ in range(3):  # a leader can still transfer leadership
        assert play.write(Write(1, hard_state=pb.HardState(term=play.model.hard_state.term + 1)))


def test_reserve_lets_a_full_folder_be_compacted():
    play = fill_disk()
    last, used = play.model.last_index, play.platter.used()
    assert "reserve" in play.platter.names
    head = pb.SnapshotHead(index=last - 1, term=1)
    durable = play.store.reopen(head, b"s" * 500)
    assert durable.snapshot_head == head and [e.index for e in durable.entries] == [last]
    assert play.platter.used() < used - 3000 and not play.store.is_low_on_space()
    play.models = [play.model.after_writes(Write(1, snapshot_head=head, snapshot=b"s" * 500))]
    for index in range(last + 1, last + 4):
        assert play.write(Write(1, entries=(make_entry(index, 1),)))
    play.kill_process()
    assert play.open_folder()
    assert [head.index for head in play.store.log_index.snapshot_heads] == [
        last - 1
    ]  # what was dropped does not reappear


def test_small_file_releases_only_part_of_the_reserve():
    limits = StoreLimits(segment_bytes=400, reserve_bytes=400_000, min_free_bytes=1000)
    play = StorePlay(1, limits=limits, room=500_000)
    play.platter.room = play.platter.used()
    play.kill_process()
    assert play.open_folder()  # on a disk without free space
    assert 200_000 < len(play.platter.names["reserve"].shown) < 400_000
    play.platter.room += 200_000
    play.kill_process()
    assert play.open_folder() and len(play.platter.names["reserve"].shown) == 400_000


def test_reserve_is_filled_again_when_space_is_free():
    play = fill_disk()
    assert play.store._release_reserve(SMALL_LIMITS.reserve_bytes)
    play.platter.room += 20_000
    assert play.reopen() and play.platter.names["reserve"].shown == bytes(SMALL_LIMITS.reserve_bytes)


# Size limits, and writes that do not fit the log.


def test_too_large_write_is_refused_before_any_effect():
    play = StorePlay(1)
    calls = play.calls
    for write in (
        Write(1, entries=(make_entry(1, 1, SMALL_LIMITS.max_group_bytes),)),
        Write(1, snapshot_head=pb.SnapshotHead(index=1), snapshot=bytes(SMALL_LIMITS.max_snapshot_bytes + 1)),
    ):
        with pytest.raises(WriteTooLargeError):
            play.store.write(write)
    assert play.calls == calls and not play.store.failed
    assert play.write(Write(1, entries=(make_entry(1, 1, SMALL_LIMITS.max_group_bytes // 2),)))


@pytest.mark.parametrize(
    "write",
    [
        Write(1, entries=(make_entry(9, 1),)),
        Write(1, entries=(make_entry(3, 1),)),
        Write(1, truncate_after=1),
    ],
)
def test_write_that_does_not_fit_the_log_is_refused(write):
    play = StorePlay(1)
    play.write(Write(1, entries=(make_entry(1, 2), make_entry(2, 2))))
    play.write(Write(1, snapshot_head=pb.SnapshotHead(index=2, term=2), snapshot=b"s"))
    with pytest.raises(InvalidWriteError):
        play.store.write(write)
    assert play.reopen()


def test_groups_and_snapshots_of_several_records_are_atomic():
    limits = StoreLimits(segment_bytes=8 << 20, reserve_bytes=0, min_free_bytes=0)
    play = StorePlay(1, limits=limits, room=1 << 30)
    large = Write(1, entries=tuple(make_entry(i, 1, 700_000, play.random) for i in range(1, 6)))
    assert play.write(large)
    assert play.write(Write(1, snapshot_head=pb.SnapshotHead(index=4, term=1), snapshot=bytes(3 << 20)))
    play.kill_process()
    assert play.open_folder()
    play.schedule_fault("late", 0)
    assert not play.write(
        Write(1, entries=tuple(make_entry(i, 2, 700_000, play.random) for i in range(6, 9)))
    )
    assert play.open_folder()


def test_store_has_to_be_reopened_after_a_cancelled_write():
    loop = SimLoop(1)

    def main():
        store, _ = Store.open(SimDisk(loop, Platter(slow=20.0)), "fleet", "a", INCARNATION_ID, SMALL_LIMITS)
        with pytest.raises(DeadlineExceeded), loop.deadline(5.0):
            store.write(Write(1, entries=(make_entry(1, 1),)))
        with pytest.raises(StoreStoppedError):
            store.write(Write(2, entries=(make_entry(1, 1),)))
        assert store.reopen().entries == []
        store.write(Write(2, entries=(make_entry(1, 1),)))

    loop.run(main)


# Any order of these events.


class Folder(RuleBasedStateMachine):
    """Writes, faults, power cuts, a filling disk and reopenings, in any order."""

    @initialize(seed=st.integers(0, 1 << 20))
    def begin(self, seed):
        self.play = StorePlay(seed)

    def ready(self):
        return self.play.store is not None and not self.play.store.failed

    @precondition(ready)
    @rule(seed=st.integers(0, 1 << 20))
    def write(self, seed):
        self.play.write(*draw_writes(self.play.model, Random(seed)))

    @rule(fault=st.sampled_from(FAULTS), within=st.integers(0, 12))
    def plan(self, fault, within):
        self.play.schedule_fault(fault, within)

    @rule(fails=st.booleans())
    def syncs_fail(self, fails):
        self.play.platter.sync_fails = fails

    @rule(free=st.sampled_from([0, 300, 1500, 4000, 1 << 20]))
    def room(self, free):
        self.play.platter.room = self.play.platter.used() + free

    @rule()
    def lose_power(self):
        self.play.lose_power()

    @rule()
    def kill(self):
        self.play.kill_process()

    @precondition(lambda self: self.play.store is None)
    @rule()
    def start(self):
        self.play.open_folder(tries=2)

    @precondition(lambda self: self.play.store is not None and self.play.store.failed)
    @rule(shrink=st.booleans())
    def again(self, shrink):
        with pytest.raises(StoreStoppedError):
            self.play.store.write(Write(1))
        self.play.reopen(tries=1, shrink=shrink)

    def teardown(self):
        if hasattr(self, "play"):
            self.play.clear_faults()
            self.play.lose_power()
            assert self.play.open_folder()


TestFolder = Folder.TestCase
TestFolder.settings = settings(max_examples=60, stateful_step_count=30, deadline=None, derandomize=True)


def test_random_plays():
    cuts = failures = 0
    for seed in range(100):
        play = random_play(seed)
        cuts, failures = cuts + play.power_cuts, failures + play.failures
    assert cuts > 200 and failures > 700


def test_no_defect_is_found_where_none_is_planted():
    assert found_after((), 30, store_on(ForwardingDisk)) is None
    assert found_after((), 60, store_on(DeferredErrorDisk)) is None


@pytest.mark.parametrize("name", DEFECTS)
def test_planted_defects_are_found_by_plays(name):
    assert found_after(DEFECTS[name], 300)


@pytest.mark.parametrize("changes, marks", [(NO_CHECKSUMS, True), (ALL_TORN, False)])
def test_planted_defects_are_found_by_damage(changes, marks):
    with planted(changes):
        play = make_folder(marks=marks)
        with pytest.raises((AssertionError, DecodeError)):
            count_damage_outcomes(play, marks)
