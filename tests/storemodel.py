"""A plain model of what a member's folder holds, and plays of writes with faults against it."""

from random import Random

from fennelwind.council import council_pb2 as pb
from fennelwind.council.interface import Write
from fennelwind.loop.disk import DiskError
from fennelwind.loop.simdisk import LOSSES, Platter, PowerCut, SimDisk
from fennelwind.store.errors import NoRoom
from fennelwind.store.store import Limits, Store

SMALL = Limits(segment=400, group=1 << 16, snapshot=1 << 16, reserve=2000, low=1500)
LIFE = b"a life of sixteen"


class Model:
    """What was written, held in memory."""

    def __init__(self):
        self.hard, self.head, self.snapshot = pb.HardState(), None, b""
        self.terms = {0: 0}  # of all entries up to the last, as far back as any snapshot could need
        self.entries = {}

    def copy(self):
        other = Model()
        other.hard, other.head, other.snapshot = self.hard, self.head, self.snapshot
        other.terms, other.entries = dict(self.terms), dict(self.entries)
        return other

    @property
    def last(self):
        return max(self.terms)

    def after(self, *writes):
        """Return what is held when the writes are done."""
        new = self.copy()
        for write in writes:
            if write.head is not None:
                new._snapshot(write.head, write.snapshot)
            if write.cut_after is not None:
                for index in [i for i in new.terms if i > write.cut_after]:
                    del new.terms[index]
                    new.entries.pop(index, None)
            for entry in write.entries:
                new.terms[entry.index], new.entries[entry.index] = entry.term, entry
            if write.hard is not None:
                new.hard = write.hard
        return new

    def _snapshot(self, head, data):
        if self.terms.get(head.index) != head.term:
            self.terms, self.entries = {head.index: head.term}, {}
        self.head, self.snapshot = head, data

    def same(self, durable):
        """Tell whether a folder that was read holds just this."""
        base = self.head.index if self.head is not None else 0
        wanted = [self.entries[i] for i in range(base + 1, self.last + 1)]
        return (durable.hard, durable.head, durable.snapshot, durable.entries) == \
            (self.hard, self.head, self.snapshot, wanted)


def entry(index, term, size=20, random=None):
    body = random.randbytes(size) if random is not None else b"b" * size
    return pb.Entry(term=term, index=index, clock_ms=index * 10, command=pb.Command(body=body))


def next_writes(model, random):
    """Draw what a council could write next."""
    term, last = max(model.hard.term, 1), model.last
    floor = model.head.index if model.head is not None else 0
    draw = random.random()
    if draw < 0.5:
        many = random.choice((1, 1, 1, 2, 5))
        hard = pb.HardState(term=term, voted_name="b") if random.random() < 0.3 else None
        entries = tuple(entry(last + 1 + i, term, random.choice((0, 10, 60, 700)), random)
                        for i in range(many))
        if random.random() < 0.3:  # several writes in one group
            return (Write(1, entries=entries, hard=hard),
                    Write(2, entries=(entry(last + many + 1, term, 30, random),)))
        return (Write(1, entries=entries, hard=hard),)
    if draw < 0.65:
        return (Write(1, hard=pb.HardState(term=term + 1, voted_name="c", voted_life=b"x")),)
    if draw < 0.75 and last > floor:
        cut = random.randint(floor, last)
        return (Write(1, hard=pb.HardState(term=term + 1), cut_after=cut,
                      entries=(entry(cut + 1, term + 1, 40, random),)),)
    if draw < 0.95 and last > floor:
        index = random.randint(floor + 1, last)
        head = pb.SnapshotHead(index=index, term=model.terms[index], clock_ms=index * 10)
        return (Write(1, head=head, snapshot=random.randbytes(random.choice((0, 50, 1200)))),)
    head = pb.SnapshotHead(index=last + random.randint(1, 9), term=term)  # another's, over a gap
    return (Write(1, head=head, snapshot=random.randbytes(80), hard=pb.HardState(term=term)),)


class Play:
    """Writes on one platter, through faults, power cuts and openings; what is read back is checked each time.

    `plan` is a disk's, but counts calls through all openings.
    """

    def __init__(self, seed, plan=None, limits=SMALL, loss=None, room=1 << 20):
        self.random, self.limits, self.loss = Random(f"play {seed}"), limits, loss
        self.crashes = Random(f"crashes {seed}")
        self.platter, self.model = Platter(room=room), Model()
        self.calls, self._plan = 0, plan
        self.cuts = self.failures = 0
        self.store, self.seed = None, seed
        self.start(self.model)

    def plan(self, number, what, name):
        self.calls += 1
        return self._plan(self.calls - 1, what, name) if self._plan is not None else None

    def crash(self):
        self.cuts += 1
        self.platter.crash(self.crashes, self.loss or self.crashes.choice(LOSSES))

    def start(self, *allowed):
        """Open the folder until it is open; what it holds is one of the allowed."""
        for _ in range(20):
            disk = SimDisk(None, self.platter, seed=f"{self.seed} {self.calls}", plan=self.plan)
            try:
                self.store, durable = Store.open(disk, "fleet", "a", LIFE, self.limits)
            except PowerCut:
                self.crash()
            except DiskError:
                self.failures += 1
                self.platter.end()
            else:
                self.settle(durable, allowed)
                return
        raise AssertionError("it never opens")

    def settle(self, durable, allowed):
        held = [model for model in allowed if model.same(durable)]
        assert held, f"not what was written: {durable}"
        assert durable.me == ("a", LIFE)
        self.model = held[0]

    def again(self):
        """Read the folder anew after a failure, in the same process."""
        for _ in range(20):
            try:
                durable = self.store.reopen()
            except PowerCut:
                self.crash()
                self.start(self.model)
                return
            except NoRoom:
                return
            except DiskError:
                self.failures += 1
            else:
                self.settle(durable, (self.model,))
                return
        raise AssertionError("it never opens again")

    def write(self, *writes):
        """Carry writes out through whatever happens."""
        after = self.model.after(*writes)
        try:
            self.store.write(*writes)
        except PowerCut:
            self.crash()
            self.start(self.model, after)
        except DiskError:
            self.failures += 1
            self.again()
        else:
            self.model = after

    def go(self, writes):
        """Carry out so many writes as they are drawn, then lose power and look once more."""
        for _ in range(writes):
            self.write(*next_writes(self.model, self.random))
        self._plan = None
        self.crash()
        self.start(self.model)
