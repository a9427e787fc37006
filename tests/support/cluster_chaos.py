"""Fault injection: members, followers, clients and a leased task in virtual time, with random faults.

`python tests/support/cluster_chaos.py 1000 0` plays seeds 0 to 999 and prints which ones failed, how, and the
counts of faults and outcomes; a third argument `hard` adds more kinds of faults, several at once among them.
"""

import search_paths  # noqa: F401 - for runs from the command line

# isort: split

import json
import sys
import time
from collections import Counter
from random import Random

from cluster_world import Cluster

from fennelwind.audit.linearizability import Linearizable, Operation, check
from fennelwind.cluster.errors import ClusterUnavailableError, CommandRejectedError, OutcomeUnknownError
from fennelwind.leases.errors import StaleFencingTokenError
from fennelwind.leases.fencing import FencedResource
from fennelwind.loop.simdisk import Costs
from fennelwind.raft.messages import Timing
from fennelwind.testbed.councilrig import Seen, overlaps
from fennelwind.testbed.registers import Registers

PLAY_MS = 20_000.0  # ms of virtual time with faults
REQUEST_TIMEOUT_MS = 2000.0  # ms for one request
LEASE_TERM_MS = 2000  # ms of the task's lease
KEYS = "ab"
FAULTS = ("kill", "power", "stop", "cut", "full", "sync", "all", "lost")
HARD_FAULTS = (*FAULTS, "all full", "hang", "slow way", "together", "again", "leave")
COSTS = Costs(sync_ms=8.0)  # slow, so that faults often hit commands between a write and its sync
TIMING = Timing(heartbeat_ms=100.0, election_timeout_ms=500.0, retained_entries=200, max_log_bytes=64 * 1024)


class Chaos:
    """One play of a seed and its observations."""

    def __init__(self, seed, members=3, followers=2, faults=FAULTS):
        self.random = Random(f"chaos {seed}")
        self.cluster = Cluster(seed, members, TIMING, COSTS)
        self.followers = [f"f{n}" for n in range(followers)]
        self.faults = faults
        self.observations, self.operations, self.counts = [], [], Counter()
        self.fenced = FencedResource()
        self.is_finished, self.lost_member, self.end = False, "", 0.0
        self.is_recovering = False  # the period with faults has ended

    def play(self):
        """Play the seed; return the errors found."""
        errors = []
        try:
            self.cluster.play(self._script)
        except AssertionError as exc:
            errors.append(f"play: {str(exc)[:2000]}")
        accepted = [seen for seen in self.observations if seen.taken]
        errors += overlaps(accepted)
        result = check([operation for operation in self.operations if operation is not None], start=0)
        if not isinstance(result, Linearizable):
            errors.append(f"history: {result}")
        self.counts["acts"] = sum(seen.what == "end" for seen in accepted)
        self.counts["refused acts"] = len(self.observations) - len(accepted)
        self.counts["operations"] = len(self.operations)
        self.counts["fences"] = len({seen.fence for seen in accepted})
        return errors

    # Participants.

    def _start(self, name):
        cluster = self.cluster
        address = "" if name in cluster.names else f"10.0.1.{self.followers.index(name) + 1}"
        runtime = cluster.start(name, address, (Registers(),))
        host, incarnation = cluster.hosts[name], cluster.start_count
        host.start(
            runtime.tasks.add, "sweep", lambda held: self._run_task(name, incarnation, held), LEASE_TERM_MS
        )
        if name in self.followers:
            host.start(self._run_client, name, incarnation, host, runtime)

    def _run_task(self, name, incarnation, held):
        number = 0
        while not held.stop_requested.ready:
            with held.operation(400.0) as operation:
                for what in ("begin", "step", "end"):
                    if what != "begin":
                        held.loop.sleep(100.0 * self.random.random())
                        operation.check()
                    try:
                        self.fenced.check("sweep", operation.fencing_token)
                        is_accepted = True
                    except StaleFencingTokenError:
                        is_accepted = False
                    self.observations.append(
                        Seen("sweep", name, incarnation, what, number, operation.fencing_token, is_accepted)
                    )
                    if not is_accepted:
                        return False
            number += 1
            held.loop.sleep(50.0)
        return False

    def _run_client(self, name, incarnation, host, runtime):
        who, random = f"{name}/{incarnation}", Random(f"{name} {incarnation} {self.random.random()}")
        while not self.is_finished:
            key, what = random.choice(KEYS), random.choice(("get", "put", "swap"))
            new, old = random.randrange(1, 5), random.randrange(5)
            argument = {"get": None, "put": new, "swap": (old, new)}[what]
            started_ms, index = host.now(), len(self.operations)
            if what != "get":  # recorded first: if the client is killed, it may still take effect
                self.operations.append(Operation(who, key, started_ms, None, what, argument))
            try:
                if what == "get":
                    got = json.loads(
                        runtime.client.read("registers", key.encode(), within_ms=REQUEST_TIMEOUT_MS).state
                    )
                    self.operations.append(Operation(who, key, started_ms, host.now(), what, None, got))
                else:
                    body = [what, key, new] if what == "put" else [what, key, old, new]
                    got = json.loads(
                        runtime.client.propose("registers", json.dumps(body).encode(), REQUEST_TIMEOUT_MS)
                    )
                    self.operations[index] = Operation(
                        who, key, started_ms, host.now(), what, argument, got if what == "swap" else None
                    )
                self.counts["answered"] += 1
            except OutcomeUnknownError:
                self.counts["unknown"] += 1
            except (ClusterUnavailableError, CommandRejectedError):
                self.counts["refused"] += 1
                if what != "get":
                    self.operations[index] = None  # it certainly did not take effect
            host.sleep(20.0 + 100.0 * random.random())

    # Script and faults.

    def _script(self, cluster):
        rig, random = cluster.world.rig, self.random
        for name in cluster.names:
            cluster.kill(name)  # `Cluster.play` started them without registers
            cluster.platters[name] = type(cluster.platters[name])()
            self._start(name)
        for name in self.followers:
            self._start(name)
        cluster.until(lambda: self.counts["answered"] > 5)
        self.end = rig.now() + PLAY_MS
        while rig.now() < self.end:
            rig.sleep(random.expovariate(1 / 1200.0))
            self._fault(random.choice(self.faults))
        self.is_recovering = True
        cluster.until(lambda: not any(host.dead for host in cluster.hosts.values()))
        cluster.paths.cut.clear()
        cluster.paths.slow.clear()
        for name in cluster.names:
            platter = cluster.platters[name]
            platter.room, platter.sync_fails, platter.slow = 1 << 30, False, 1.0
        for name in [*cluster.names, *self.followers]:
            cluster.hosts[name].go_on()
        answered, acts = self.counts["answered"], len(self.observations)
        cluster.until(lambda: self.counts["answered"] > answered + 10 and len(self.observations) > acts + 10)
        self.is_finished = True
        for runtime in cluster.runtimes.values():
            runtime.tasks.close()
        records = [cluster.runtimes[name].member.state.replicated_state for name in cluster.names]
        cluster.until(lambda: len({record.index for record in records}) == 1)
        states = {record.snapshot() for record in records}
        assert len(states) == 1, "states differ at the same index"

    def _fault(self, what):
        cluster, random, rig = self.cluster, self.random, self.cluster.world.rig
        self.counts[what] += 1
        name = random.choice(cluster.names)
        match what:
            case "kill" | "power":
                self._kill(
                    random.choice([*cluster.names, *self.followers]),
                    random.choice(("none", "all", "prefix", "pick")) if what == "power" else None,
                )
            case "all":
                for each in cluster.names:
                    self._kill(each, random.choice((None, "pick", "none")))
            case "lost":
                self._lose(name)
            case "stop":
                cluster.hosts[random.choice([*cluster.names, *self.followers])].stop(
                    rig.now() + random.uniform(100.0, 5000.0)
                )
            case "cut":
                self._cut(name)
            case "full":
                self._fill(name)
            case "all full":
                for each in cluster.names:
                    self._fill(each)
            case "together":
                self._cut(name)
                for each in random.sample(cluster.names, random.randint(1, len(cluster.names))):
                    self._fill(each)
                self._kill(random.choice(cluster.names), random.choice((None, "pick")))
            case "again":
                self._kill(name, None, random.randint(2, 6))
            case "leave":
                if not cluster.hosts[name].dead:
                    cluster.hosts[name].start(cluster.runtimes[name].hand_over)
                    incarnation = cluster.hosts[name]
                    rig.at(
                        min(rig.now() + random.uniform(0.0, 2500.0), self.end - 1.0),
                        lambda: cluster.hosts[name] is incarnation and self._kill(name, None),
                    )
            case "hang":
                platter = cluster.platters[name]
                platter.slow = random.choice((20.0, 500.0))
                rig.at(rig.now() + random.uniform(200.0, 6000.0), lambda: setattr(platter, "slow", 1.0))
            case "slow way":
                cluster.paths.slow[name] = random.choice((20.0, 200.0, 2000.0))
                rig.at(rig.now() + random.uniform(200.0, 6000.0), lambda: cluster.paths.slow.pop(name, None))
            case "sync":
                platter = cluster.platters[name]
                platter.sync_fails = True
                rig.at(rig.now() + random.uniform(1.0, 300.0), lambda: setattr(platter, "sync_fails", False))

    def _cut(self, name):
        cluster, random, rig = self.cluster, self.random, self.cluster.world.rig
        others = [n for n in [*cluster.names, *self.followers] if n != name]
        some = random.sample(others, random.randint(1, len(others)))
        before = set(cluster.paths.cut)
        cluster.paths.cut_between([name], some, random.random() < 0.5)
        mine = cluster.paths.cut - before
        rig.at(rig.now() + random.uniform(200.0, 6000.0), lambda: cluster.paths.cut.__isub__(mine))

    def _fill(self, name):
        platter, rig = self.cluster.platters[name], self.cluster.world.rig
        platter.room = platter.used() + self.random.randrange(2000)
        rig.at(rig.now() + self.random.uniform(200.0, 5000.0), lambda: setattr(platter, "room", 1 << 30))

    def _lose(self, name):
        """Delete a member's folder, once the last one lost has caught up: one loss is tolerated."""
        cluster = self.cluster
        leader = cluster.leader()
        members = cluster.runtimes[leader].member.core.log.configuration.members.members if leader else ()
        can_lose = sum(member.votes for member in members) == len(cluster.names)
        if can_lose and self.lost_member:
            before = cluster.runtimes[self.lost_member].member
            can_lose = (
                not cluster.hosts[self.lost_member].dead
                and before.role in ("leader", "follower")
                and (
                    before.state.replicated_state.index
                    >= max(
                        cluster.runtimes[each].member.state.replicated_state.index for each in cluster.names
                    )
                )
            )
        if not can_lose:
            self.counts["not lost"] += 1
            return
        self.lost_member = name
        self._kill(name, None)
        cluster.platters[name] = type(cluster.platters[name])()

    def _kill(self, name, loss, repeats=0):
        cluster, rig = self.cluster, self.cluster.world.rig
        if cluster.hosts[name].dead or self.is_recovering:
            return
        cluster.kill(name, loss)

        def restart():
            rig.spawn(self._start, name, name="rig: back")
            if repeats:
                rig.at(
                    rig.now() + self.random.uniform(1.0, 400.0), lambda: self._kill(name, loss, repeats - 1)
                )

        rig.at(rig.now() + self.random.uniform(10.0, 300.0 if repeats else 3000.0), restart)


def main():
    """Play seeds; print the failures."""
    count, first = int(sys.argv[1]), int(sys.argv[2]) if len(sys.argv) > 2 else 0
    faults = HARD_FAULTS if "hard" in sys.argv else FAULTS
    total, started_s, failed_seeds = Counter(), time.monotonic(), []
    for seed in range(first, first + count):
        chaos = Chaos(seed, members=3 if seed % 4 else 5, faults=faults)
        errors = chaos.play()
        total += chaos.counts
        if errors:
            failed_seeds.append(seed)
            print(f"seed {seed}: {errors[0][:3000]}", flush=True)
    print(f"{count} seeds in {time.monotonic() - started_s:.0f} s, broke: {failed_seeds}; {dict(total)}")
    return 1 if failed_seeds else 0


if __name__ == "__main__":
    sys.exit(main())
