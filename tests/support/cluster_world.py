"""A simulated cluster: members, followers and their disks in virtual time, as real programs run them."""

from random import Random

from fennelwind.cluster.identity import ClusterIdentity
from fennelwind.cluster.runtime import ClusterRuntime
from fennelwind.errors import FennelwindError
from fennelwind.loop import Address
from fennelwind.loop.sim_network import FOREVER, Path, World
from fennelwind.loop.simdisk import Platter, SimDisk
from fennelwind.raft.messages import Timing

OPEN = Path(delay_ms=0.5, jitter=0.5)


class Paths:
    """Network paths: all are open, except those cut by a test, as directed pairs of host names."""

    def __init__(self):
        self.cut = set()
        self.slow = {}  # by member: bytes per ms to and from it

    def path(self, now, source, target):
        rate = min(self.slow.get(source, 0.0) or 1e9, self.slow.get(target, 0.0) or 1e9) if self.slow else 1e9
        path = OPEN._replace(bytes_per_ms=rate) if rate < 1e9 else OPEN
        return path._replace(cut=True) if (source, target) in self.cut else path

    def next_change(self, now):
        return now + 50.0 if self.cut else FOREVER

    def cut_between(self, one, other, both=True):
        """Cut the paths between two groups of hosts."""
        self.cut |= {(a, b) for a in one for b in other}
        if both:
            self.cut |= {(b, a) for a in one for b in other}


class Cluster:
    """A number of members, each with its own host and disk."""

    def __init__(self, seed, members=3, timing=None, costs=None):
        self.paths = Paths()
        self.world = World(seed, self.paths)
        self.random = Random(f"council {seed}")
        self.timing, self.costs = timing or Timing(), costs
        self.names = [f"m{n}" for n in range(members)]
        self.addresses = {name: Address(f"10.0.0.{n + 1}", 7000) for n, name in enumerate(self.names)}
        self.platters = {name: Platter() for name in self.names}
        self.hosts, self.runtimes, self.log_lines = {}, {}, []
        self.start_count = 0

    def identity(self, name, **more):
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
        self.start_count += 1
        host = self.world.host(name, address or self.addresses[name].host)

        def log(event, facts):
            self.log_lines.append((self.world.time, name, event, facts))

        def disk():
            return SimDisk(host, self.platters[name], costs=self.costs)

        runtime = ClusterRuntime(host, self.identity(name), self.start_count, log, disk, more, level)
        host.start(runtime.start)
        self.hosts[name], self.runtimes[name] = host, runtime
        return runtime

    def kill(self, name, loss=None):
        """Kill a member's process; with `loss` its machine loses power, and with it unsynced data."""
        self.hosts[name].kill()
        if name in self.platters:
            self.platters[name].end() if loss is None else self.platters[name].crash(self.random, loss)

    def leader(self):
        """Return the member that leads in the latest term by its own state; "" if there is none."""
        leading = [
            (k.member.term, name)
            for name, k in self.runtimes.items()
            if k.member and k.member.role == "leader" and not self.hosts[name].dead
        ]
        return max(leading)[1] if leading else ""

    def until(self, condition, within_ms=60_000.0):
        """Let virtual time pass until a condition holds; fail if it does not in time."""
        rig = self.world.rig
        end = rig.now() + within_ms
        while not condition():
            assert rig.now() < end, self.log_lines[-20:]
            rig.sleep(20.0)

    def on(self, name, call, *args):
        """Run a call in a task on a host; return its value or raise its error."""
        outcome = []

        def run_call():
            try:
                outcome.append((call(*args), None))
            except FennelwindError as exc:
                outcome.append((None, exc))

        self.hosts[name].start(run_call)
        self.until(lambda: outcome)
        value, error = outcome[0]
        if error is not None:
            raise error
        return value

    def play(self, main):
        """Start all members and run `main(cluster)`; fail if any task raised an exception."""

        def run():
            for name in self.names:
                self.start(name)
            return main(self)

        value = self.world.run(run)
        assert not self.world.errors, self.world.errors
        return value
