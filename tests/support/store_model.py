"""A plain model of what a member's folder holds, and plays of writes with faults against it."""

from random import Random

from fennelwind.loop.disk import DiskError
from fennelwind.loop.simdisk import LOSSES, Platter, PowerCut, SimDisk
from fennelwind.raft import council_pb2 as pb
from fennelwind.raft.messages import Write
from fennelwind.raft_storage.errors import InsufficientSpaceError, StoreError
from fennelwind.raft_storage.store import Store, StoreLimits

SMALL = StoreLimits(
    segment_bytes=400,
    max_group_bytes=1 << 16,
    max_snapshot_bytes=1 << 16,
    reserve_bytes=2000,
    max_rewrite_bytes=300,
    min_free_bytes=1500,
)
TINY = StoreLimits(
    segment_bytes=300,
    max_group_bytes=1 << 16,
    max_snapshot_bytes=1 << 16,
    reserve_bytes=0,
    max_rewrite_bytes=0,
    min_free_bytes=0,
)
LIFE = b"a life of sixteen"
FAULTS = ("cut", "late", "full", "short", "error", "sync")


class Model:
    """What was written, held in memory."""

    def __init__(self):
        self.hard, self.head, self.snapshot = pb.HardState(), None, b""
        self.terms = {0: 0}  # of all entries up to the last, as far back as any snapshot could need
        self.entries = {}
        self.former = {}  # snapshots by index, as heads and bytes
        self.keep_from = 0

    def copy(self):
        other = Model()
        other.hard, other.head, other.snapshot = self.hard, self.head, self.snapshot
        other.terms, other.entries, other.former = dict(self.terms), dict(self.entries), dict(self.former)
        other.keep_from = self.keep_from
        return other

    @property
    def last(self):
        return max(self.terms)

    @property
    def agreed(self):
        return self.head.index if self.head is not None else 0

    def after(self, *writes):
        """Return what is held when the writes are done."""
        new = self.copy()
        for write in writes:
            if write.snapshot_head is not None:
                new._snapshot(write.snapshot_head, write.snapshot, write.retain_from)
            if write.truncate_after is not None:
                for index in [i for i in new.terms if i > max(write.truncate_after, new.agreed)]:
                    del new.terms[index]
                    new.entries.pop(index, None)
            for entry in write.entries:
                if entry.index <= new.agreed:
                    continue
                new.terms[entry.index], new.entries[entry.index] = entry.term, entry
            if write.hard_state is not None:
                new.hard = write.hard_state
        return new

    def _snapshot(self, head, data, keep_from):
        self.keep_from = keep_from
        if self.terms.get(head.index) != head.term:
            self.terms, self.entries, self.keep_from = {head.index: head.term}, {}, 0
        self.head, self.snapshot = head, data
        self.former[head.index] = head, data

    def same(self, durable):
        """Tell whether a folder that was read holds just this.

        Of the entries that are wanted though the snapshot holds them, some or none may be gone.
        """
        first = durable.entries[0].index if durable.entries else self.agreed + 1
        wanted = [self.entries.get(i) for i in range(first, self.last + 1)]
        return (durable.hard_state, durable.snapshot_head, durable.snapshot, durable.entries) == (
            self.hard,
            self.head,
            self.snapshot,
            wanted,
        ) and (self.keep_from or first) <= first <= self.agreed + 1

    def says_as_much(self, durable):
        """Tell whether a folder that was read holds the same by way of an older snapshot, or of none."""
        base = durable.snapshot_head.index if durable.snapshot_head is not None else 0
        first = durable.entries[0].index if durable.entries else base + 1
        wanted = [self.entries.get(i) for i in range(first, self.last + 1)]
        return (
            first <= base + 1
            and (durable.hard_state, durable.entries) == (self.hard, wanted)
            and (durable.snapshot_head, durable.snapshot) == self.former.get(base, (None, b""))
        )


def entry(index, term, size=20, random=None):
    body = random.randbytes(size) if random is not None else b"b" * size
    return pb.Entry(term=term, index=index, clock_ms=index * 10, command=pb.Command(body=body))


def next_writes(model, random):
    """Draw what a council could write next."""
    term, last, floor = max(model.hard.term, 1), model.last, model.agreed
    draw = random.random()
    if draw < 0.5:
        many = random.choice((1, 1, 1, 2, 5))
        hard = pb.HardState(term=term, voted_name="b") if random.random() < 0.3 else None
        entries = tuple(
            entry(last + 1 + i, term, random.choice((0, 10, 60, 700)), random) for i in range(many)
        )
        if random.random() < 0.3:  # several writes in one group
            return (
                Write(1, entries=entries, hard_state=hard),
                Write(2, entries=(entry(last + many + 1, term, 30, random),)),
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
                entries=(entry(cut + 1, term + 1, 40, random),),
            ),
        )
    if draw < 0.95 and last > floor:
        index = random.randint(floor + 1, last)
        head = pb.SnapshotHead(index=index, term=model.terms[index], clock_ms=index * 10)
        keep_from = random.choice((0, index + 1, max(1, index - 4), 1))
        data = random.randbytes(random.choice((0, 50, 1200)))
        return (Write(1, snapshot_head=head, snapshot=data, retain_from=keep_from),)
    head = pb.SnapshotHead(index=last + random.randint(1, 9), term=term)  # another's, over a gap
    if random.random() < 0.3:  # all anew, with entries that the snapshot holds
        first = max(1, head.index - random.randint(0, 5))
        return (
            Write(1, snapshot_head=head, truncate_after=first - 1, snapshot=b"anew", retain_from=first),
            Write(
                2,
                entries=tuple(entry(i, term, 30, random) for i in range(first, head.index + 4)),
                hard_state=pb.HardState(term=term),
            ),
        )
    return (Write(1, snapshot_head=head, snapshot=random.randbytes(80), hard_state=pb.HardState(term=term)),)


class Play:
    """Writes on one platter, through faults, power cuts and openings; what is read back is checked each time.

    `plan` is a disk's, but counts calls through all openings. What a folder may hold are `models`: one where
    it is known, two where a write was cut short.
    """

    def __init__(self, seed, plan=None, limits=SMALL, loss=None, room=1 << 20, store=Store):
        self.random, self.limits, self.loss = Random(f"play {seed}"), limits, loss
        self.crashes = Random(f"crashes {seed}")
        self.platter, self.models = Platter(room=room), [Model()]
        self.calls, self._plan = 0, plan
        self.cuts = self.failures = 0
        self.kind, self.store, self.seed = store, None, seed
        self.pending = []  # writes that failed: gone where the same process reads anew, else perhaps not
        self.start()

    @property
    def model(self):
        return self.models[0]

    def plan(self, number, what, name):
        self.calls += 1
        return self._plan(self.calls - 1, what, name) if self._plan is not None else None

    def next_fault(self, fault, within):
        """Let one of the next calls meet a fault."""
        at = self.calls + self.crashes.randint(0, within)
        self._plan = lambda number, what, name: fault if number == at else None

    def no_faults(self):
        self._plan = None
        self.platter.sync_fails = self.platter.fails = False
        self.platter.room = max(self.platter.room, 1 << 20)

    def crash(self):
        """The machine loses power."""
        self.cuts += 1
        self._lose()
        self.platter.crash(self.crashes, self.loss or self.crashes.choice(LOSSES))

    def kill(self):
        """The process ends, the machine does not."""
        self._lose()
        self.platter.end()

    def _lose(self):
        self.store = None
        self.models += self.pending
        self.pending = []

    def start(self, tries=20):
        """Open the folder until it is open; what it holds is what it may hold."""
        while self.store is None and tries:
            tries -= 1
            disk = SimDisk(None, self.platter, seed=f"{self.seed} {self.calls}", plan=self.plan)
            try:
                self.store, durable = self.kind.open(disk, "fleet", "a", LIFE, self.limits)
            except PowerCut:
                self.crash()
            except DiskError:
                self.failures += 1
                self.kill()
            else:
                self.settle(durable)
        return self.store is not None

    def settle(self, durable):
        held = [model for model in self.models if model.same(durable)]
        assert held, f"not what was written: {durable}"
        assert durable.me == ("a", LIFE)
        self.models, self.pending = held[:1], []

    def again(self, tries=20, shrink=False):
        """Read the folder anew after a failure, in the same process; with a snapshot if it is full."""
        while self.store is not None and self.store.failed and tries:
            tries -= 1
            head, data = None, b""
            if shrink and self.model.last > self.model.agreed:
                index = self.random.randint(self.model.agreed + 1, self.model.last)
                head, data = pb.SnapshotHead(index=index, term=self.model.terms[index]), b"small"
                if self.store.is_disk_full:
                    self.models = [
                        *self.models,
                        self.model.after(Write(1, snapshot_head=head, snapshot=data)),
                    ]
            try:
                durable = self.store.reopen(head, data)
            except PowerCut:
                self.crash()
                return self.start()
            except InsufficientSpaceError:
                continue
            except DiskError:
                self.failures += 1
            else:
                self.settle(durable)
        return self.store is not None and not self.store.failed

    def write(self, *writes):
        """Carry writes out; tell whether they are on the disk."""
        after = self.model.after(*writes)
        try:
            self.store.write(*writes)
        except PowerCut:
            self.pending = [after]
            self.crash()
        except DiskError:
            self.pending = [after]
            self.failures += 1
        else:
            self.models = [after]
            return True
        return False

    def go(self, writes):
        """Carry out so many writes as they are drawn, then lose power and look once more."""
        for _ in range(writes):
            if not self.write(*next_writes(self.model, self.random)):
                assert self.again() if self.store is not None else self.start()
        self.no_faults()
        self.crash()
        assert self.start()


def random_play(seed, store=Store, steps=40):
    """Play writes among faults, power cuts, kills, a disk that fills and openings, as the seed draws them."""
    random = Random(f"random play {seed}")
    at, fault = random.randint(0, 30), random.choice(FAULTS)  # the folder's making may meet one as well
    play = Play(seed, lambda number, what, name: fault if number == at else None, store=store)
    for _ in range(steps):
        draw = random.random()
        if draw < 0.10:
            play.next_fault(random.choice(FAULTS), random.choice((2, 12, 40)))
        elif draw < 0.15:
            play.crash()
        elif draw < 0.19:
            play.kill()
        elif draw < 0.24:
            play.platter.room = play.platter.used() + random.choice((0, 300, 1500, 4000, 1 << 20, 1 << 20))
        elif draw < 0.27:
            play.platter.sync_fails = not play.platter.sync_fails
        if play.store is None:
            play.start(tries=2)
        elif play.store.failed:
            play.again(tries=1, shrink=random.random() < 0.5)
        else:
            play.write(*next_writes(play.model, play.random))
    play.no_faults()
    if play.store is not None and random.random() < 0.5:
        assert play.again()  # what was wrong has gone: the same process comes back by itself
    play.crash()
    assert play.start()
    return play


def built(marks=True):
    """Return a play whose folder has segments, two snapshots and, unless they were lost, marks."""
    play = Play(4, limits=TINY)
    for number in range(1, 9):
        play.write(
            Write(1, entries=(entry(number, 1, 8, play.random),), hard_state=pb.HardState(term=number // 3))
        )
        if number in (4, 7):
            head = pb.SnapshotHead(index=number - 1, term=1)
            play.write(Write(1, snapshot_head=head, snapshot=play.random.randbytes(12)))
    play.kill()
    play.start()
    play.history = [play.model]
    for number in (9, 10):
        play.write(Write(1, entries=(entry(number, 2, 40, play.random),)))
        play.history.append(play.model)
    play.kill()
    if not marks:
        for name in [n for n in play.platter.names if n.startswith("marks-")]:
            play.platter.lose(name)
    return play


def damaged(play, harm):
    """Damage a copy of the folder; return what it holds then, or the type of the error it is refused with."""
    platter = Platter()
    for name, file in play.platter.names.items():
        platter.names[name] = platter.held[name] = one = type(file)()
        one.shown, one.held = bytearray(file.shown), bytearray(file.held)
    harm(platter)
    try:
        return Store.open(SimDisk(None, platter), "fleet", "a", LIFE, TINY)[1]
    except StoreError as exc:
        return type(exc)


def changed_folder(seed):
    """Change one file of a small folder at random; return what that is taken for."""
    random, play = Random(f"changed {seed}"), built()
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

    held = damaged(play, change)
    if isinstance(held, type):
        return held.__name__
    if play.model.same(held):
        return "whole"
    assert name.startswith("snapshot-") and play.model.says_as_much(held), name
    return "older snapshot"
