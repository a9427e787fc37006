"""Machines drop, links break, disks fill, together: processes of a council under faults drawn by a seed.

`python tests/council_storm.py 3 60` plays seeds 0 to 2 for 60 s each and judges them as the process tests do.
What a seed draws is the same each time; when processes meet it is not.
"""

import sys
import tempfile
from collections import Counter
from pathlib import Path
from random import Random

from test_council_processes import answered, judge

from fennelwind.fleet.councilrig import ACT, CouncilRig
from fennelwind.fleet.processes import RigFailed

EACH_MS = 900.0  # ms between two faults, in the mean
PACES = (0.9, 1.0, 1.1)  # of the members' clocks: 20% apart


class Storm:
    """One play."""

    def __init__(self, seed, seconds, folder, members=3):
        self.random, self.seconds, self.counts = Random(f"storm {seed}"), seconds, Counter()
        paces = {f"m{n}": {"pace": PACES[n % len(PACES)]} for n in range(members)}
        self.rig = CouncilRig(folder, members, 2, seed=seed + 1, more=paces, task=ACT, clients=1,
                              disk={"loses": True})

    def play(self):
        """Play and judge. Raises `AssertionError` and `RigFailed`."""
        self.rig.play(self._script)
        judge(self.rig, acts=10, asks=100)

    def _script(self, rig):
        random, loop = self.random, rig.loop
        rig.acts(2)
        end = loop.now() + self.seconds * 1000.0
        while loop.now() < end:
            loop.sleep(random.expovariate(1.0 / EACH_MS))
            self._fault(random.choice(("kill", "stop", "cut", "slow", "full", "sync", "slow disk", "all")))
        rig.until(lambda: len(rig.parts) == len(rig.names), "all are back")
        rig.heal()
        for name in rig.names:
            rig.parts[name].go_on()
            rig.parts[name].say({"disk": {"full": False, "slow_ms": 0.0, "syncs_fail": 0}})
        answered(rig, 40)
        rig.acts(5)
        rig.until(lambda: all((rig.state(name) or {}).get("votes") == len(rig.members)
                              for name in rig.members), "all vote again")

    def _fault(self, what):
        rig, random = self.rig, self.random
        name, anyone = random.choice(rig.members), random.choice(rig.names)
        self.counts[what] += 1
        match what:
            case "kill":
                self._kill(anyone)
            case "all":
                for each in rig.members:
                    self._kill(each)
            case "stop" if anyone in rig.parts:
                part = rig.parts[anyone]
                part.stop()
                rig.loop.after(random.uniform(100.0, 4000.0), part.go_on)
            case "cut":
                others = [other for other in rig.names if other != name]
                rig.cut([name], random.sample(others, random.randint(1, len(others))), random.random() < 0.5)
                rig.loop.after(random.uniform(200.0, 5000.0), rig.heal)
            case "slow":
                rig.slow([name], rig.names, random.uniform(5.0, 80.0))
                rig.loop.after(random.uniform(200.0, 3000.0), rig.heal)
            case "full" | "sync" | "slow disk" if name in rig.parts:
                part = rig.parts[name]
                part.say({"disk": {"full": what == "full", "slow_ms": 30.0 * (what == "slow disk"),
                                   "syncs_fail": int(what == "sync")}})
                rig.loop.after(random.uniform(200.0, 4000.0),
                               lambda: part.say({"disk": {"full": False, "slow_ms": 0.0}}))

    def _kill(self, name):
        if name not in self.rig.parts:
            return
        self.rig.kill(name)
        self.rig.loop.after(self.random.uniform(10.0, 3000.0), lambda: self.rig.start(name))


def main():
    """Play seeds; print what was met and what broke."""
    seeds, seconds, broke = int(sys.argv[1]), float(sys.argv[2]), []
    for seed in range(seeds):
        with tempfile.TemporaryDirectory(prefix="storm-", dir=Path.cwd()) as folder:
            storm = Storm(seed, seconds, Path(folder), 5 if seed % 3 == 2 else 3)
            try:
                storm.play()
            except (AssertionError, RigFailed) as exc:
                broke.append(seed)
                print(f"seed {seed}: {type(exc).__name__}: {str(exc)[:1500]}")
            rig = storm.rig
            taken, lines = rig.resource.taken(), Counter(line[3] for line in rig.history)
            acts, refused = sum(seen.what == "end" for seen in taken), len(rig.resource.seen) - len(taken)
            print(f"seed {seed}, {len(rig.members)} members: {dict(storm.counts)}; acts {acts}, refused "
                  f"{refused}, fences {len({seen.fence for seen in taken})}, {dict(lines)}", flush=True)
    print(f"broke: {broke}")
    return 1 if broke else 0


if __name__ == "__main__":
    sys.exit(main())
