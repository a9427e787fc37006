"""A model of the contents of a member's folder, and plays of writes and faults checked against it."""

from random import Random

from fennelwind.loop.disk import DiskError
from fennelwind.loop.simdisk import LOSSES, Platter, PowerCut, SimDisk
from fennelwind.raft import council_pb2 as pb
from fennelwind.raft.messages import Write
from fennelwind.raft_storage.errors import InsufficientSpaceError, StoreError
from fennelwind.raft_storage.store import Store, StoreLimits

SMALL_LIMITS = StoreLimits(
    segment_bytes=400,
    max_group_bytes=1 << 16,
    max_snapshot_bytes=1 << 16,
    reserve_bytes=2000,
    max_rewrite_bytes=300,
    min_free_bytes=1500,
)
TINY_LIMITS = StoreLimits(
    segment_bytes=300,
    max_group_bytes=1 << 16,
    max_snapshot_bytes=1 << 16,
    reserve_bytes=0,
    max_rewrite_bytes=0,
    min_free_bytes=0,
)
INCARNATION_ID = b"a life of sixteen"
FAULTS = ("cut", "late", "full", "short", "error", "sync")


class FolderModel:
    """The expected contents of a folder, in memory."""

    def __init__(self):
        self.hard_state, self.snapshot_head, self.snapshot = pb.HardState(), None, b""
        self.terms = {0: 0}  # of all entries up to the last, back to the oldest needed one
        self.entries = {}
        self.snapshots = {}  # by index: header and bytes
        self.retain_from = 0

    def copy(self):
        other = FolderModel()
        other.hard_state, other.snapshot_head, other.snapshot = (
            self.hard_state,
            self.snapshot_head,
            self.snapshot,
        )
        other.terms, other.entries, other.snapshots = (
            dict(self.terms),
            dict(self.entries),
            dict(self.snapshots),
        )
        other.retain_from = self.retain_from
        return other

    @property
    def last_index(self):
        return max(self.terms)

    @property
    def snapshot_index(self):
        return self.snapshot_head.index if self.snapshot_head is not None else 0

    def after_writes(self, *writes):
        """Return the model after these writes."""
        new = self.copy()
        for write in writes:
            if write.snapshot_head is not None:
                new._add_snapshot(write.snapshot_head, write.snapshot, write.retain_from)
            if write.truncate_after is not None:
                for index in [i for i in new.terms if i > max(write.truncate_after, new.snapshot_index)]:
                    del new.terms[index]
                    new.entries.pop(index, None)
            for entry in write.entries:
                if entry.index <= new.snapshot_index:
                    continue
                new.terms[entry.index], new.entries[entry.index] = entry.term, entry
            if write.hard_state is not None:
                new.hard_state = write.hard_state
        return new

    def _add_snapshot(self, head, data, retain_from):
        self.retain_from = retain_from
        if self.terms.get(head.index) != head.term:
            self.terms, self.entries, self.retain_from = {head.index: head.term}, {}, 0
        self.snapshot_head, self.snapshot = head, data
        self.snapshots[head.index] = head, data

    def matches(self, durable):
        """Return whether a folder's contents match exactly.

        Entries that are retained although the snapshot covers them may be missing.
        """
        first = durable.entries[0].index if durable.entries else self.snapshot_index + 1
        wanted = [self.entries.get(i) for i in range(first, self.last_index + 1)]
        return (durable.hard_state, durable.snapshot_head, durable.snapshot, durable.entries) == (
            self.hard_state,
            self.snapshot_head,
            self.snapshot,
            wanted,
        ) and (self.retain_from or first) <= first <= self.snapshot_index + 1

    def is_equivalent(self, durable):
        """Return whether a folder's contents are equivalent, from an older snapshot or none."""
        base = durable.snapshot_head.index if durable.snapshot_head is not None else 0
        first = durable.entries[0].index if durable.entries else base + 1
        wanted = [self.entries.get(i) for i in range(first, self.last_index + 1)]
        return (
            first <= base + 1
            and (durable.hard_state, durable.entries) == (self.hard_state, wanted)
            and (durable.snapshot_head, durable.snapshot) == self.snapshots.get(base, (None, b""))
        )


def make_entry(index, term, size=20, random=None):
    body = random.randbytes(size) if random is not None else b"b" * size
    return pb.Entry(term=term, index=index, clock_ms=index * 10, command=pb.Command(body=body))


def draw_writes(model, random):
    """Draw the next writes, as the Raft core could issue them."""
    term, last, floor = max(model.hard_state.term, 1), model.last_index, model.snapshot_index
    draw = random.random()
    if draw < 0.5:
        many = random.choice((1, 1, 1, 2, 5))
        hard = pb.HardState(term=term, voted_name="b") if random.random() < 0.3 else None
        entries = tuple(
            make_entry(last + 1 + i, term, random.choice((0, 10, 60, 700)), random) for i in range(many)
        )
        if random.random() < 0.3:  # several writes in one group
            return (
                Write(1, entries=entries, hard_state=hard),
                Write(2, entries=(make_entry(last + many + 1, term, 30, random),)),
            )
        return (Write(1, entries=entries, hard_state=hard),)
    if draw < 0.65:
        return (Write(1, hard_state=pb.HardState(term=term + 1, voted_name="c", voted_life=b"x")),)
    if draw < 0.75 and last > floor:
        cut = random.randint(floor, last)
        return (
            Write(
                1,
                hard_state=pb.HardState(term=term + 1),
                truncate_after=cut,
                entries=(make_entry(cut + 1, term + 1, 40, random),),
            ),
        )
    if draw < 0.95 and last > floor:
        index = random.randint(floor + 1, last)
        head = pb.SnapshotHead(index=index, term=model.terms[index], clock_ms=index * 10)
        retain_from = random.choice((0, index + 1, max(1, index - 4), 1))
        data = random.randbytes(random.choice((0, 50, 1200)))
        return (Write(1, snapshot_head=head, snapshot=data, retain_from=retain_from),)
    head = pb.SnapshotHead(index=last + random.randint(1, 9), term=term)  # a leader's, over a gap
    if random.random() < 0.3:  # everything again, with entries that the snapshot covers
        first = max(1, head.index - random.randint(0, 5))
        return (
            Write(1, snapshot_head=head, truncate_after=first - 1, snapshot=b"anew", retain_from=first),
            Write(
                2,
                entries=tuple(make_entry(i, term, 30, random) for i in range(first, head.index + 4)),
                hard_state=pb.HardState(term=term),
            ),
        )
    return (Write(1, snapshot_head=head, snapshot=random.randbytes(80), hard_state=pb.HardState(term=term)),)


class StorePlay:
    """Writes to a simulated disk, with faults, power cuts and reopenings, each of which checks the contents.

    `plan` is like a disk's, but numbers the calls across all openings. `models` are the possible contents of
    the folder: one if they are known, two after an interrupted write.
    """

    def __init__(self, seed, plan=None, limits=SMALL_LIMITS, loss=None, room=1 << 20, store_type=Store):
        self.random, self.limits, self.loss = Random(f"play {seed}"), limits, loss
        self.crashes = Random(f"crashes {seed}")
        self.platter, self.models = Platter(room=room), [FolderModel()]
        self.calls, self._plan = 0, plan
        self.power_cuts = self.failures = 0
        self.store_type, self.store, self.seed = store_type, None, seed
        self.pending = []  # failed writes: dropped if the same process reopens, else they may survive
        self.open_folder()

    @property
    def model(self):
        return self.models[0]

    def plan(self, number, what, name):
        self.calls += 1
        return self._plan(self.calls - 1, what, name) if self._plan is not None else None

    def schedule_fault(self, fault, within):
        """Inject a fault into one of the next calls."""
        at = self.calls + self.crashes.randint(0, within)
        self._plan = lambda number, what, name: fault if number == at else None

    def clear_faults(self):
        self._plan = None
        self.platter.sync_fails = self.platter.fails = False
        self.platter.room = max(self.platter.room, 1 << 20)

    def lose_power(self):
        """The machine loses power."""
        self.power_cuts += 1
        self._lose()
        self.platter.crash(self.crashes, self.loss or self.crashes.choice(LOSSES))

    def kill_process(self):
        """The process ends, the machine keeps running."""
        self._lose()
        self.platter.end()

    def _lose(self):
        self.store = None
        self.models += self.pending
        self.pending = []

    def open_folder(self, tries=20):
        """Open the folder, with retries, and check its contents."""
        while self.store is None and tries:
            tries -= 1
            disk = SimDisk(None, self.platter, seed=f"{self.seed} {self.calls}", plan=self.plan)
            try:
                self.store, durable = self.store_type.open(disk, "fleet", "a", INCARNATION_ID, self.limits)
            except PowerCut:
                self.lose_power()
            except DiskError:
                self.failures += 1
                self.kill_process()
            else:
                self.check_contents(durable)
        return self.store is not None

    def check_contents(self, durable):
        held = [model for model in self.models if model.matches(durable)]
        assert held, f"the folder does not hold what was written: {durable}"
        assert durable.me == ("a", INCARNATION_ID)
        self.models, self.pending = held[:1], []

    def reopen(self, tries=20, shrink=False):
        """Reopen the folder after a failure in the same process, with a snapshot if the disk is full."""
        while self.store is not None and self.store.failed and tries:
            tries -= 1
            head, data = None, b""
            if shrink and self.model.last_index > self.model.snapshot_index:
                index = self.random.randint(self.model.snapshot_index + 1, self.model.last_index)
                head, data = pb.SnapshotHead(index=index, term=self.model.terms[index]), b"small"
                if self.store.is_disk_full:
                    self.models = [
                        *self.models,
                        self.model.after_writes(Write(1, snapshot_head=head, snapshot=data)),
                    ]
            try:
                durable = self.store.reopen(head, data)
            except PowerCut:
                self.lose_power()
                return self.open_folder()
            except InsufficientSpaceError:
                continue
            except DiskError:
                self.failures += 1
            else:
                self.check_contents(durable)
        return self.store is not None and not self.store.failed

    def write(self, *writes):
        """Write; return whether the writes are durable."""
        after = self.model.after_writes(*writes)
        try:
            self.store.write(*writes)
        except PowerCut:
            self.pending = [after]
            self.lose_power()
        except DiskError:
            self.pending = [after]
            self.failures += 1
        else:
            self.models = [after]
            return True
        return False

    def run_writes(self, writes):
        """Draw and make this many writes, then lose power and check the contents."""
        for _ in range(writes):
            if not self.write(*draw_writes(self.model, self.random)):
                assert self.reopen() if self.store is not None else self.open_folder()
        self.clear_faults()
        self.lose_power()
        assert self.open_folder()


def random_play(seed, store_type=Store, steps=40):
    """Play writes, faults, power cuts, kills, a filling disk and reopenings, drawn by the seed."""
    random = Random(f"random play {seed}")
    at, fault = random.randint(0, 30), random.choice(FAULTS)  # the folder's creation may fail as well
    play = StorePlay(seed, lambda number, what, name: fault if number == at else None, store_type=store_type)
    for _ in range(steps):
        draw = random.random()
        if draw < 0.10:
            play.schedule_fault(random.choice(FAULTS), random.choice((2, 12, 40)))
        elif draw < 0.15:
            play.lose_power()
        elif draw < 0.19:
            play.kill_process()
        elif draw < 0.24:
            play.platter.room = play.platter.used() + random.choice((0, 300, 1500, 4000, 1 << 20, 1 << 20))
        elif draw < 0.27:
            play.platter.sync_fails = not play.platter.sync_fails
        if play.store is None:
            play.open_folder(tries=2)
        elif play.store.failed:
            play.reopen(tries=1, shrink=random.random() < 0.5)
        else:
            play.write(*draw_writes(play.model, play.random))
    play.clear_faults()
    if play.store is not None and random.random() < 0.5:
        assert play.reopen()  # without faults, the same process recovers by itself
    play.lose_power()
    assert play.open_folder()
    return play


def make_folder(marks=True):
    """Return a play whose folder has several segments, two snapshots and, if asked for, marks."""
    play = StorePlay(4, limits=TINY_LIMITS)
    for number in range(1, 9):
        play.write(
            Write(
                1, entries=(make_entry(number, 1, 8, play.random),), hard_state=pb.HardState(term=number // 3)
            )
        )
        if number in (4, 7):
            head = pb.SnapshotHead(index=number - 1, term=1)
            play.write(Write(1, snapshot_head=head, snapshot=play.random.randbytes(12)))
    play.kill_process()
    play.open_folder()
    play.history = [play.model]
    for number in (9, 10):
        play.write(Write(1, entries=(make_entry(number, 2, 40, play.random),)))
        play.history.append(play.model)
    play.kill_process()
    if not marks:
        for name in [n for n in play.platter.names if n.startswith("marks-")]:
            play.platter.lose(name)
    return play


def open_damaged(play, damage):
    """Damage a copy of the folder; return its contents, or the type of the error that opening raises."""
    platter = Platter()
    for name, file in play.platter.names.items():
        platter.names[name] = platter.held[name] = one = type(file)()
        one.shown, one.held = bytearray(file.shown), bytearray(file.held)
    damage(platter)
    try:
        return Store.open(SimDisk(None, platter), "fleet", "a", INCARNATION_ID, TINY_LIMITS)[1]
    except StoreError as exc:
        return type(exc)


def open_randomly_changed(seed):
    """Change one file of a small folder at random; return how the store classifies that."""
    random, play = Random(f"changed {seed}"), make_folder()
    name = random.choice(sorted(play.platter.names))

    def change(platter):
        data = platter.names[name].shown
        start = random.randint(0, len(data))
        end = min(len(data), start + random.choice((0, 1, 4, 30, 200, 600)))
        other = platter.names[random.choice(sorted(platter.names))].shown
        at = random.randint(0, len(other))
        data[start:end] = random.choice(
            (
                b"",
                bytes(end - start),
                random.randbytes(end - start),
                random.randbytes(random.randint(1, 40)),
                data[start:end] * 2,
                bytes(reversed(data[start:end])),
                other[at : at + random.randint(0, 300)],
            )
        )

    held = open_damaged(play, change)
    if isinstance(held, type):
        return held.__name__
    if play.model.matches(held):
        return "whole"
    assert name.startswith("snapshot-") and play.model.is_equivalent(held), name
    return "older snapshot"
