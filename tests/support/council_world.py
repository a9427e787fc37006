"""Members, followers and their disks in one virtual world, as real programs would run them."""

from random import Random

from fennelwind.cluster.identity import ClusterIdentity
from fennelwind.cluster.runtime import ClusterRuntime
from fennelwind.errors import FennelwindError
from fennelwind.loop import Address
from fennelwind.loop.sim_network import FOREVER, Path, World
from fennelwind.loop.simdisk import Platter, SimDisk
from fennelwind.raft.messages import Timing

OPEN = Path(delay_ms=0.5, jitter=0.5)


class Ways:
    """All ways are open, but those that a test has cut: pairs of names, one way each."""

    def __init__(self):
        self.cut = set()
        self.slow = {}  # bytes per ms, of the ways to and from a member

    def path(self, now, source, target):
        rate = min(self.slow.get(source, 0.0) or 1e9, self.slow.get(target, 0.0) or 1e9) if self.slow else 1e9
        path = OPEN._replace(bytes_per_ms=rate) if rate < 1e9 else OPEN
        return path._replace(cut=True) if (source, target) in self.cut else path

    def next_change(self, now):
        return now + 50.0 if self.cut else FOREVER

    def part(self, one, other, both=True):
        """Cut the ways between two groups."""
        self.cut |= {(a, b) for a in one for b in other}
        if both:
            self.cut |= {(b, a) for a in one for b in other}


class Council:
    """So many members, each on a host and a platter of its own."""

    def __init__(self, seed, members=3, timing=None, costs=None):
        self.ways = Ways()
        self.world = World(seed, self.ways)
        self.random = Random(f"council {seed}")
        self.timing, self.costs = timing or Timing(), costs
        self.names = [f"m{n}" for n in range(members)]
        self.addresses = {name: Address(f"10.0.0.{n + 1}", 7000) for n, name in enumerate(self.names)}
        self.platters = {name: Platter() for name in self.names}
        self.hosts, self.keepers, self.said = {}, {}, []
        self.lives = 0

    def place(self, name, **more):
        member = name in self.addresses
        return ClusterIdentity(
            "f",
            name,
            self.addresses,
            folder="folder" if member else None,
            listen=self.addresses.get(name),
            timing=self.timing,
            reserve_bytes=1 << 20,
            **more,
        )

    def start(self, name, address="", more=(), level=1):
        """Start a member, or a follower at an address."""
        self.lives += 1
        host = self.world.host(name, address or self.addresses[name].host)

        def said(what, facts):
            self.said.append((self.world.time, name, what, facts))

        def disk():
            return SimDisk(host, self.platters[name], costs=self.costs)

        keeper = ClusterRuntime(host, self.place(name), self.lives, said, disk, more, level)
        host.start(keeper.start)
        self.hosts[name], self.keepers[name] = host, keeper
        return keeper

    def kill(self, name, loss=None):
        """Kill a member's process; with `loss` its machine loses power, and what was not synced."""
        self.hosts[name].kill()
        if name in self.platters:
            self.platters[name].end() if loss is None else self.platters[name].crash(self.random, loss)

    def leader(self):
        """Return who leads in the latest term, by what members say of themselves; "" if nobody does."""
        leading = [
            (k.member.term, name)
            for name, k in self.keepers.items()
            if k.member and k.member.role == "leader" and not self.hosts[name].dead
        ]
        return max(leading)[1] if leading else ""

    def until(self, true, within_ms=60_000.0):
        """Let time pass until something holds; fail if it does not in time."""
        rig = self.world.rig
        end = rig.now() + within_ms
        while not true():
            assert rig.now() < end, self.said[-20:]
            rig.sleep(20.0)

    def on(self, name, call, *args):
        """Make a call in a task of a host's; return its value."""
        outcome = []

        def made():
            try:
                outcome.append((call(*args), None))
            except FennelwindError as exc:
                outcome.append((None, exc))

        self.hosts[name].start(made)
        self.until(lambda: outcome)
        value, error = outcome[0]
        if error is not None:
            raise error
        return value

    def play(self, main):
        """Start all members and run `main(council)`; a task that broke is a failure."""

        def run():
            for name in self.names:
                self.start(name)
            return main(self)

        value = self.world.run(run)
        assert not self.world.errors, self.world.errors
        return value
