"""Whole members, followers, clients and a leased task in a virtual world in which all sorts of things break.

`python tests/support/council_chaos.py 1000 0` plays seeds 0 to 999 and tells which broke, how, and what was
met; with `hard` behind it with more faults, and several at once.
"""

import search_paths  # noqa: F401 - for a play that is run by hand

# isort: split

import json
import sys
import time
from collections import Counter
from random import Random

from council_world import Council

from fennelwind.audit.linearizability import Linearizable, Operation, check
from fennelwind.cluster.errors import ClusterUnavailableError, CommandRejectedError, OutcomeUnknownError
from fennelwind.leases.errors import StaleFencingTokenError
from fennelwind.leases.fencing import FencedResource
from fennelwind.loop.simdisk import Costs
from fennelwind.raft.messages import Timing
from fennelwind.testbed.councilrig import Seen, overlaps
from fennelwind.testbed.registers import Registers

PLAY_MS = 20_000.0  # of virtual time with faults
WITHIN_MS = 2000.0  # of one ask
TERM_MS = 2000  # of the task's lease
KEYS = "ab"
FAULTS = ("kill", "power", "stop", "cut", "full", "sync", "all", "lost")
HARD = (*FAULTS, "all full", "hang", "slow way", "together", "again", "leave")
COSTS = Costs(sync_ms=8.0)  # slow, so that many commands are met between a write and its sync
TIMING = Timing(heartbeat_ms=100.0, election_timeout_ms=500.0, retained_entries=200, max_log_bytes=64 * 1024)


class Chaos:
    """One play; what it saw."""

    def __init__(self, seed, members=3, followers=2, faults=FAULTS):
        self.random = Random(f"chaos {seed}")
        self.council = Council(seed, members, TIMING, COSTS)
        self.followers = [f"f{n}" for n in range(followers)]
        self.faults = faults
        self.seen, self.operations, self.counts = [], [], Counter()
        self.fenced = FencedResource()
        self.over, self.lost, self.end = False, "", 0.0
        self.ends = False  # the time with faults is over

    def play(self):
        """Play; return what is wrong, nothing at best."""
        wrong = []
        try:
            self.council.play(self._script)
        except AssertionError as exc:
            wrong.append(f"play: {str(exc)[:2000]}")
        taken = [seen for seen in self.seen if seen.taken]
        wrong += overlaps(taken)
        verdict = check([one for one in self.operations if one is not None], start=0)
        if not isinstance(verdict, Linearizable):
            wrong.append(f"history: {verdict}")
        self.counts["acts"] = sum(seen.what == "end" for seen in taken)
        self.counts["refused acts"] = len(self.seen) - len(taken)
        self.counts["operations"] = len(self.operations)
        self.counts["fences"] = len({seen.fence for seen in taken})
        return wrong

    # Parties.

    def _start(self, name):
        council = self.council
        address = "" if name in council.names else f"10.0.1.{self.followers.index(name) + 1}"
        keeper = council.start(name, address, (Registers(),))
        host, life = council.hosts[name], council.lives
        host.start(keeper.tasks.add, "sweep", lambda held: self._act(name, life, held), TERM_MS)
        if name in self.followers:
            host.start(self._client, name, life, host, keeper)

    def _act(self, name, life, held):
        number = 0
        while not held.stop_requested.ready:
            with held.operation(400.0) as act:
                for what in ("begin", "step", "end"):
                    if what != "begin":
                        held.loop.sleep(100.0 * self.random.random())
                        act.check()
                    try:
                        self.fenced.check("sweep", act.fencing_token)
                        taken = True
                    except StaleFencingTokenError:
                        taken = False
                    self.seen.append(Seen("sweep", name, life, what, number, act.fencing_token, taken))
                    if not taken:
                        return False
            number += 1
            held.loop.sleep(50.0)
        return False

    def _client(self, name, life, host, keeper):
        who, random = f"{name}/{life}", Random(f"{name} {life} {self.random.random()}")
        while not self.over:
            key, what = random.choice(KEYS), random.choice(("get", "put", "swap"))
            new, old = random.randrange(1, 5), random.randrange(5)
            argument = {"get": None, "put": new, "swap": (old, new)}[what]
            began, place = host.now(), len(self.operations)
            if what != "get":  # whose client is killed may be done
                self.operations.append(Operation(who, key, began, None, what, argument))
            try:
                if what == "get":
                    got = json.loads(keeper.client.read("registers", key.encode(), within_ms=WITHIN_MS).state)
                    self.operations.append(Operation(who, key, began, host.now(), what, None, got))
                else:
                    body = [what, key, new] if what == "put" else [what, key, old, new]
                    got = json.loads(keeper.client.propose("registers", json.dumps(body).encode(), WITHIN_MS))
                    self.operations[place] = Operation(
                        who, key, began, host.now(), what, argument, got if what == "swap" else None
                    )
                self.counts["answered"] += 1
            except OutcomeUnknownError:
                self.counts["unknown"] += 1
            except (ClusterUnavailableError, CommandRejectedError):
                self.counts["refused"] += 1
                if what != "get":
                    self.operations[place] = None  # for certain it was not done
            host.sleep(20.0 + 100.0 * random.random())

    # What happens.

    def _script(self, council):
        rig, random = council.world.rig, self.random
        for name in council.names:
            council.kill(name)  # `Council.play` started them without registers
            council.platters[name] = type(council.platters[name])()
            self._start(name)
        for name in self.followers:
            self._start(name)
        council.until(lambda: self.counts["answered"] > 5)
        self.end = rig.now() + PLAY_MS
        while rig.now() < self.end:
            rig.sleep(random.expovariate(1 / 1200.0))
            self._fault(random.choice(self.faults))
        self.ends = True
        council.until(lambda: not any(host.dead for host in council.hosts.values()))
        council.ways.cut.clear()
        council.ways.slow.clear()
        for name in council.names:
            platter = council.platters[name]
            platter.room, platter.sync_fails, platter.slow = 1 << 30, False, 1.0
        for name in [*council.names, *self.followers]:
            council.hosts[name].go_on()
        answered, acts = self.counts["answered"], len(self.seen)
        council.until(lambda: self.counts["answered"] > answered + 10 and len(self.seen) > acts + 10)
        self.over = True
        for keeper in council.keepers.values():
            keeper.tasks.close()
        records = [council.keepers[name].member.state.replicated_state for name in council.names]
        council.until(lambda: len({record.index for record in records}) == 1)
        states = {record.snapshot() for record in records}
        assert len(states) == 1, "states differ at the same index"

    def _fault(self, what):
        council, random, rig = self.council, self.random, self.council.world.rig
        self.counts[what] += 1
        name = random.choice(council.names)
        match what:
            case "kill" | "power":
                self._kill(
                    random.choice([*council.names, *self.followers]),
                    random.choice(("none", "all", "prefix", "pick")) if what == "power" else None,
                )
            case "all":
                for each in council.names:
                    self._kill(each, random.choice((None, "pick", "none")))
            case "lost":
                self._lose(name)
            case "stop":
                council.hosts[random.choice([*council.names, *self.followers])].stop(
                    rig.now() + random.uniform(100.0, 5000.0)
                )
            case "cut":
                self._cut(name)
            case "full":
                self._fill(name)
            case "all full":
                for each in council.names:
                    self._fill(each)
            case "together":
                self._cut(name)
                for each in random.sample(council.names, random.randint(1, len(council.names))):
                    self._fill(each)
                self._kill(random.choice(council.names), random.choice((None, "pick")))
            case "again":
                self._kill(name, None, random.randint(2, 6))
            case "leave":
                if not council.hosts[name].dead:
                    council.hosts[name].start(council.keepers[name].hand_over)
                    life = council.hosts[name]
                    rig.at(
                        min(rig.now() + random.uniform(0.0, 2500.0), self.end - 1.0),
                        lambda: council.hosts[name] is life and self._kill(name, None),
                    )
            case "hang":
                platter = council.platters[name]
                platter.slow = random.choice((20.0, 500.0))
                rig.at(rig.now() + random.uniform(200.0, 6000.0), lambda: setattr(platter, "slow", 1.0))
            case "slow way":
                council.ways.slow[name] = random.choice((20.0, 200.0, 2000.0))
                rig.at(rig.now() + random.uniform(200.0, 6000.0), lambda: council.ways.slow.pop(name, None))
            case "sync":
                platter = council.platters[name]
                platter.sync_fails = True
                rig.at(rig.now() + random.uniform(1.0, 300.0), lambda: setattr(platter, "sync_fails", False))

    def _cut(self, name):
        council, random, rig = self.council, self.random, self.council.world.rig
        others = [n for n in [*council.names, *self.followers] if n != name]
        some = random.sample(others, random.randint(1, len(others)))
        before = set(council.ways.cut)
        council.ways.part([name], some, random.random() < 0.5)
        mine = council.ways.cut - before
        rig.at(rig.now() + random.uniform(200.0, 6000.0), lambda: council.ways.cut.__isub__(mine))

    def _fill(self, name):
        platter, rig = self.council.platters[name], self.council.world.rig
        platter.room = platter.used() + self.random.randrange(2000)
        rig.at(rig.now() + self.random.uniform(200.0, 5000.0), lambda: setattr(platter, "room", 1 << 30))

    def _lose(self, name):
        """Let a folder be gone, once the one lost before has all again: one loss at a time is stood."""
        council = self.council
        leader = council.leader()
        members = council.keepers[leader].member.core.log.configuration.members.members if leader else ()
        stood = sum(member.votes for member in members) == len(council.names)
        if stood and self.lost:
            before = council.keepers[self.lost].member
            stood = (
                not council.hosts[self.lost].dead
                and before.role in ("leader", "follower")
                and (
                    before.state.replicated_state.index
                    >= max(
                        council.keepers[each].member.state.replicated_state.index for each in council.names
                    )
                )
            )
        if not stood:
            self.counts["not lost"] += 1
            return
        self.lost = name
        self._kill(name, None)
        council.platters[name] = type(council.platters[name])()

    def _kill(self, name, loss, again=0):
        council, rig = self.council, self.council.world.rig
        if council.hosts[name].dead or self.ends:
            return
        council.kill(name, loss)

        def back():
            rig.spawn(self._start, name, name="rig: back")
            if again:
                rig.at(rig.now() + self.random.uniform(1.0, 400.0), lambda: self._kill(name, loss, again - 1))

        rig.at(rig.now() + self.random.uniform(10.0, 300.0 if again else 3000.0), back)


def main():
    """Play seeds; print what broke."""
    count, first = int(sys.argv[1]), int(sys.argv[2]) if len(sys.argv) > 2 else 0
    faults = HARD if "hard" in sys.argv else FAULTS
    total, began, broke = Counter(), time.monotonic(), []
    for seed in range(first, first + count):
        chaos = Chaos(seed, members=3 if seed % 4 else 5, faults=faults)
        wrong = chaos.play()
        total += chaos.counts
        if wrong:
            broke.append(seed)
            print(f"seed {seed}: {wrong[0][:3000]}", flush=True)
    print(f"{count} seeds in {time.monotonic() - began:.0f} s, broke: {broke}; {dict(total)}")
    return 1 if broke else 0


if __name__ == "__main__":
    sys.exit(main())
