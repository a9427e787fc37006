"""The record on disk: what was acknowledged is there after any fault, and nothing is there by halves."""

from collections import Counter
from random import Random

import pytest
from google.protobuf.message import DecodeError
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, precondition, rule
from planted import planted
from store_defects import ALL_TORN, DEFECTS, NO_CHECKSUMS, Late, Through, found_after, on
from store_model import (
    FAULTS,
    LIFE,
    LOSSES,
    SMALL,
    TINY,
    Model,
    Play,
    built,
    changed_folder,
    damaged,
    entry,
    next_writes,
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

WRITES = 10  # of the small play in which each call meets each fault


def test_what_is_written_is_read_back():
    for seed in range(20):
        Play(seed).go(40)


def at(number, fault):
    return lambda n, what, name: fault if n == number else None


def small_play_calls(seed):
    play = Play(seed)
    play.go(WRITES)
    return play.calls


@pytest.mark.parametrize("loss", LOSSES)
def test_power_cut_at_every_call(loss):
    for number in range(small_play_calls(1)):
        for fault in ("cut", "late"):
            play = Play(1, at(number, fault), loss=loss)
            play.go(WRITES)
            assert play.cuts in (1, 2)  # a `late` cut comes only behind calls that change something


@pytest.mark.parametrize("fault", ["full", "short", "error", "sync"])
def test_failure_at_every_call(fault):
    for number in range(small_play_calls(1)):
        play = Play(1, at(number, fault))
        play.go(WRITES)


# Damage: each flipped byte and each cut of a small folder is noticed or harmless.


def check_harms(play, marks):
    """Flip a bit of each byte, and cut each file at each byte; return how often each outcome was seen."""
    seen, random = Counter(), Random(1)
    last = max(name for name in play.platter.names if name.startswith("log-"))
    for name, file in sorted(play.platter.names.items()):
        for at in range(len(file.shown)):
            bit = 8 * at + random.randrange(8)
            for what, held in (
                ("flip", damaged(play, lambda platter: platter.flip(name, bit))),  # noqa: B023
                ("cut", damaged(play, lambda platter: platter.cut(name, at))),  # noqa: B023
            ):
                if isinstance(held, type):
                    outcome = held.__name__
                elif play.model.same(held):
                    outcome = "whole"
                elif name.startswith("snapshot-") and play.model.says_as_much(held):
                    outcome = "older snapshot"
                else:  # the end of the log is gone, and nothing on the disk tells that it was acknowledged
                    assert (what, name, marks) == ("cut", last, False), (what, name, at)
                    assert any(model.same(held) for model in play.history), (what, name, at)
                    outcome = "shorter"
                seen[what, outcome] += 1
    return seen


def test_each_flipped_byte_and_each_cut_is_noticed_or_harmless():
    seen = check_harms(built(), True)
    assert {outcome for _, outcome in seen} == {
        "LogDamagedError",
        "MetaDamagedError",
        "whole",
        "older snapshot",
    }


def test_without_marks_a_flip_in_the_last_group_is_still_no_torn_tail():
    seen = check_harms(built(marks=False), False)
    assert seen["cut", "shorter"] > 50 and not seen["flip", "shorter"]


def test_a_torn_tail_is_cut_and_a_changed_one_refused():
    play = Play(1, limits=TINY)
    play.write(Write(1, entries=(entry(1, 1),)))
    before = play.model
    name, begin = "log-0000000001", len(play.platter.names["log-0000000001"].shown)
    play.write(Write(1, entries=(entry(2, 1, 2000, play.random),)))
    play.kill()
    play.platter.lose("marks-0000000001")
    size = len(play.platter.names[name].shown)
    for sector in range(begin // 512, size // 512 + 1):  # one that never came reads as zeros

        def tear(platter, sector=sector):
            start, end = max(begin, sector * 512), min(size, sector * 512 + 512)
            platter.names[name].shown[start:end] = bytes(end - start)

        assert before.same(damaged(play, tear))

    def change(platter):
        platter.names[name].shown[begin + 700 : begin + 800] = bytes(100)  # less than any disk writes

    assert damaged(play, change) is LogDamagedError
    later = damaged(play, lambda platter: platter.flip(name, 8 * begin + 3))  # the length, or the magic
    assert later is LogDamagedError


def test_files_changed_at_random_are_noticed_or_harmless():
    held = Counter(changed_folder(seed) for seed in range(300))
    assert held["LogDamagedError"] > 50 and held["whole"] > 50 and held["older snapshot"] > 10


def test_a_damaged_snapshot_is_replaced_by_the_older_one_and_the_log():
    play = Play(1)
    for index in range(1, 41):
        play.write(Write(1, entries=(entry(index, 1),)))
        if index % 10 == 0:
            head = pb.SnapshotHead(index=index - 2, term=1)
            play.write(Write(1, snapshot_head=head, snapshot=b"state %d" % index))
    play.kill()
    newest = max(name for name in play.platter.names if name.startswith("snapshot-"))
    held = damaged(play, lambda platter: platter.flip(newest, 300))
    assert (held.snapshot_head.index, held.snapshot) == (28, b"state 30")
    assert [e.index for e in held.entries] == list(range(29, 41))
    assert play.model.says_as_much(held)
    assert damaged(play, lambda platter: platter.lose(newest)) == held
    older = min(name for name in play.platter.names if name.startswith("snapshot-"))
    assert play.model.same(damaged(play, lambda platter: platter.flip(older, 300)))

    def both(platter):
        platter.flip(newest, 300)
        platter.lose(older)

    assert damaged(play, both) is SnapshotDamagedError


def test_a_snapshot_over_a_gap_has_nothing_to_fall_back_to():
    play = Play(1)
    play.write(Write(1, entries=(entry(1, 1), entry(2, 1))))
    play.write(Write(1, snapshot_head=pb.SnapshotHead(index=2, term=1), snapshot=b"two"))
    play.write(Write(1, snapshot_head=pb.SnapshotHead(index=90, term=3), snapshot=b"ninety"))
    play.kill()
    newest = max(name for name in play.platter.names if name.startswith("snapshot-"))
    assert damaged(play, lambda platter: platter.flip(newest, 300)) is SnapshotDamagedError


# Folders that are not this member's, or not whole.


@pytest.mark.parametrize(
    "fleet, name, error", [("other", "a", WrongFleetError), ("fleet", "b", WrongMemberError)]
)
def test_a_folder_of_another_is_refused_and_left_as_it_was(fleet, name, error):
    play = built()
    before = {name: bytes(file.shown) for name, file in play.platter.names.items()}
    with pytest.raises(error):
        Store.open(SimDisk(None, play.platter), fleet, name, LIFE, TINY)
    assert {name: bytes(file.shown) for name, file in play.platter.names.items()} == before


def test_a_newer_format_is_refused():
    meta = store_pb2.Meta(format=2, fleet="fleet", name="a", life=LIFE)
    disk = SimDisk(None, built().platter)
    disk.remove("meta")
    disk.append("meta", record_format.pack(record_format.META, 0, meta.SerializeToString()))
    with pytest.raises(NewerFormatError):
        Store.open(disk, "fleet", "a", LIFE, SMALL)


def test_files_that_were_taken_away_are_told():
    play = built()
    logs = sorted(name for name in play.platter.names if name.startswith("log-"))
    assert len(logs) > 2
    assert damaged(play, lambda platter: platter.lose("meta")) is MetaMissingError
    for name in logs[:-1]:
        assert damaged(play, lambda platter, name=name: platter.lose(name)) is SegmentMissingError
    assert damaged(play, lambda platter: platter.lose(logs[-1])) is LogDamagedError  # a mark knows of more

    def all_logs(platter):
        for name in logs:
            platter.lose(name)

    assert damaged(play, all_logs) is SegmentMissingError
    assert damaged(play, lambda platter: platter.cut("meta", 5)) is MetaDamagedError


def test_an_empty_folder_is_a_new_life():
    play = built()
    for name in list(play.platter.names):
        play.platter.lose(name)
    _, durable = Store.open(SimDisk(None, play.platter), "fleet", "a", b"another", SMALL)
    assert durable.me.id == b"another" and Model().same(durable)
    play.platter.end()
    _, durable = Store.open(SimDisk(None, play.platter), "fleet", "a", b"a third", SMALL)
    assert durable.me.id == b"another"


def test_entries_that_are_wanted_behind_a_snapshot_are_given_as_long_as_they_are_held():
    play = Play(1, limits=TINY)
    for index in range(1, 31):
        play.write(Write(1, entries=(entry(index, 1),)))
        if index % 10 == 0:
            head = pb.SnapshotHead(index=index, term=1)
            play.write(Write(1, snapshot_head=head, snapshot=b"s", retain_from=index - 3))
    play.kill()
    _, durable = Store.open(SimDisk(None, play.platter), "fleet", "a", LIFE, TINY)
    assert durable.snapshot_head.index == 30 and [e.index for e in durable.entries] == [27, 28, 29, 30]


def test_a_long_log_is_read_with_pauses():
    play = Play(1, limits=StoreLimits(reserve_bytes=0, min_free_bytes=0))
    for index in range(1, 50):
        play.write(Write(1, entries=(entry(index, 1, 10_000),)))
    play.kill()
    pauses = []
    Store.open(SimDisk(None, play.platter), "fleet", "a", LIFE, pause=lambda: pauses.append(1))
    assert 5 <= len(pauses) <= 10


def test_reading_may_begin_in_a_segment_that_cuts_what_was_before_it():
    play = Play(1, limits=StoreLimits(segment_bytes=2000, reserve_bytes=0, min_free_bytes=0))
    play.write(Write(1, entries=tuple(entry(index, 1, 300) for index in range(1, 11))))
    play.write(Write(1, truncate_after=8, entries=tuple(entry(index, 2, 20) for index in range(9, 12))))
    for index in (10, 11):
        play.write(Write(1, snapshot_head=pb.SnapshotHead(index=index, term=2), snapshot=b"s"))
    assert play.store.first_segment == 2
    play.kill()
    assert play.start()


def test_restarts_alone_do_not_pile_up_files():
    play = Play(1, limits=StoreLimits(reserve_bytes=0, min_free_bytes=0))
    for index in range(1, 31):
        play.write(Write(1, hard_state=pb.HardState(term=index)))
        play.write(Write(1, entries=(entry(index, index, 4000),)))
        (play.kill if index % 2 else play.crash)()
        assert play.start()
    logs = [name for name in play.platter.names if name.startswith("log-")]
    assert len(logs) == 2  # one for each 64 KB


def test_two_at_once_get_one_folder_once():
    play = Play(1)
    with pytest.raises(FolderTaken):
        Store.open(SimDisk(None, play.platter), "fleet", "a", LIFE, SMALL)


# A full disk.


def filled_up():
    """Return a play that has a snapshot and wrote until there was no room."""
    play = Play(1, room=12_000)
    play.write(Write(1, entries=(entry(1, 1), entry(2, 1))))
    play.write(Write(1, snapshot_head=pb.SnapshotHead(index=1, term=1), snapshot=b"s"))
    while play.write(Write(1, entries=(entry(play.model.last + 1, 1, 200),))):
        assert play.model.last < 100
    return play


def test_a_full_disk_stops_the_store_until_there_is_room_again():
    play = filled_up()
    assert play.store.is_disk_full and play.store.is_low_on_space()
    with pytest.raises(InsufficientSpaceError) as told:
        play.store.reopen()
    assert told.value.facts["wanted"] == SMALL.min_free_bytes
    play.platter.room += 4000
    assert play.again(tries=1) and play.write(Write(1, hard_state=pb.HardState(term=2)))
    assert not play.store.is_low_on_space()


def test_room_is_short_before_the_disk_is_full():
    play = Play(1, room=12_000)
    while not play.store.is_low_on_space():
        assert play.write(Write(1, entries=(entry(play.model.last + 1, 1, 200),)))
    for _ in range(3):  # who leads can still hand over in order
        assert play.write(Write(1, hard_state=pb.HardState(term=play.model.hard.term + 1)))


def test_the_reserve_lets_a_full_folder_shrink_by_itself():
    play = filled_up()
    last, used = play.model.last, play.platter.used()
    assert "reserve" in play.platter.names
    head = pb.SnapshotHead(index=last - 1, term=1)
    durable = play.store.reopen(head, b"s" * 500)
    assert durable.snapshot_head == head and [e.index for e in durable.entries] == [last]
    assert play.platter.used() < used - 3000 and not play.store.is_low_on_space()
    play.models = [play.model.after(Write(1, snapshot_head=head, snapshot=b"s" * 500))]
    for index in range(last + 1, last + 4):
        assert play.write(Write(1, entries=(entry(index, 1),)))
    play.kill()
    assert play.start()
    assert [head.index for head in play.store.log_index.snapshot_heads] == [
        last - 1
    ]  # what was dropped stays so


def test_what_is_small_takes_a_part_of_the_reserve():
    limits = StoreLimits(segment_bytes=400, reserve_bytes=400_000, min_free_bytes=1000)
    play = Play(1, limits=limits, room=500_000)
    play.platter.room = play.platter.used()
    play.kill()
    assert play.start()  # on a disk without a byte of room
    assert 200_000 < len(play.platter.names["reserve"].shown) < 400_000
    play.platter.room += 200_000
    play.kill()
    assert play.start() and len(play.platter.names["reserve"].shown) == 400_000


def test_the_reserve_is_taken_again_when_there_is_room():
    play = filled_up()
    assert play.store._release_reserve(SMALL.reserve_bytes)
    play.platter.room += 20_000
    assert play.again() and play.platter.names["reserve"].shown == bytes(SMALL.reserve_bytes)


# Bounds, and writes that do not fit.


def test_what_is_too_large_is_refused_ahead_of_any_effect():
    play = Play(1)
    calls = play.calls
    for write in (
        Write(1, entries=(entry(1, 1, SMALL.max_group_bytes),)),
        Write(1, snapshot_head=pb.SnapshotHead(index=1), snapshot=bytes(SMALL.max_snapshot_bytes + 1)),
    ):
        with pytest.raises(WriteTooLargeError):
            play.store.write(write)
    assert play.calls == calls and not play.store.failed
    assert play.write(Write(1, entries=(entry(1, 1, SMALL.max_group_bytes // 2),)))


@pytest.mark.parametrize(
    "write", [Write(1, entries=(entry(9, 1),)), Write(1, entries=(entry(3, 1),)), Write(1, truncate_after=1)]
)
def test_a_write_that_does_not_fit_is_refused(write):
    play = Play(1)
    play.write(Write(1, entries=(entry(1, 2), entry(2, 2))))
    play.write(Write(1, snapshot_head=pb.SnapshotHead(index=2, term=2), snapshot=b"s"))
    with pytest.raises(InvalidWriteError):
        play.store.write(write)
    assert play.again()


def test_groups_and_snapshots_of_several_records_are_read_back_and_torn_as_one():
    limits = StoreLimits(segment_bytes=8 << 20, reserve_bytes=0, min_free_bytes=0)
    play = Play(1, limits=limits, room=1 << 30)
    large = Write(1, entries=tuple(entry(i, 1, 700_000, play.random) for i in range(1, 6)))
    assert play.write(large)
    assert play.write(Write(1, snapshot_head=pb.SnapshotHead(index=4, term=1), snapshot=bytes(3 << 20)))
    play.kill()
    assert play.start()
    play.next_fault("late", 0)
    assert not play.write(Write(1, entries=tuple(entry(i, 2, 700_000, play.random) for i in range(6, 9))))
    assert play.start()


def test_who_is_cancelled_in_the_middle_of_a_write_has_to_read_the_folder_anew():
    loop = SimLoop(1)

    def main():
        store, _ = Store.open(SimDisk(loop, Platter(slow=20.0)), "fleet", "a", LIFE, SMALL)
        with pytest.raises(DeadlineExceeded), loop.deadline(5.0):
            store.write(Write(1, entries=(entry(1, 1),)))
        with pytest.raises(StoreStoppedError):
            store.write(Write(2, entries=(entry(1, 1),)))
        assert store.reopen().entries == []
        store.write(Write(2, entries=(entry(1, 1),)))

    loop.run(main)


# Any order of all of this.


class Folder(RuleBasedStateMachine):
    """Writes, faults, power cuts, a disk that fills, and openings, in any order."""

    @initialize(seed=st.integers(0, 1 << 20))
    def begin(self, seed):
        self.play = Play(seed)

    def ready(self):
        return self.play.store is not None and not self.play.store.failed

    @precondition(ready)
    @rule(seed=st.integers(0, 1 << 20))
    def write(self, seed):
        self.play.write(*next_writes(self.play.model, Random(seed)))

    @rule(fault=st.sampled_from(FAULTS), within=st.integers(0, 12))
    def plan(self, fault, within):
        self.play.next_fault(fault, within)

    @rule(fails=st.booleans())
    def syncs_fail(self, fails):
        self.play.platter.sync_fails = fails

    @rule(free=st.sampled_from([0, 300, 1500, 4000, 1 << 20]))
    def room(self, free):
        self.play.platter.room = self.play.platter.used() + free

    @rule()
    def lose_power(self):
        self.play.crash()

    @rule()
    def kill(self):
        self.play.kill()

    @precondition(lambda self: self.play.store is None)
    @rule()
    def start(self):
        self.play.start(tries=2)

    @precondition(lambda self: self.play.store is not None and self.play.store.failed)
    @rule(shrink=st.booleans())
    def again(self, shrink):
        with pytest.raises(StoreStoppedError):
            self.play.store.write(Write(1))
        self.play.again(tries=1, shrink=shrink)

    def teardown(self):
        if hasattr(self, "play"):
            self.play.no_faults()
            self.play.crash()
            assert self.play.start()


TestFolder = Folder.TestCase
TestFolder.settings = settings(max_examples=60, stateful_step_count=30, deadline=None, derandomize=True)


def test_random_plays_hold():
    cuts = failures = 0
    for seed in range(100):
        play = random_play(seed)
        cuts, failures = cuts + play.cuts, failures + play.failures
    assert cuts > 200 and failures > 700


def test_no_defect_is_found_where_none_is_planted():
    assert found_after((), 30, on(Through)) is None
    assert found_after((), 60, on(Late)) is None


@pytest.mark.parametrize("name", DEFECTS)
def test_planted_defects_are_found_by_plays(name):
    assert found_after(DEFECTS[name], 300)


@pytest.mark.parametrize("changes, marks", [(NO_CHECKSUMS, True), (ALL_TORN, False)])
def test_planted_defects_are_found_by_damage(changes, marks):
    with planted(changes):
        play = built(marks=marks)
        with pytest.raises((AssertionError, DecodeError)):
            check_harms(play, marks)
