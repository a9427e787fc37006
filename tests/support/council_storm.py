"""Machines drop, links break, disks fill, together: processes of a council under faults drawn by a seed.

`python tests/support/council_storm.py 3 60 7` plays seeds 7 to 9 for 60 s each, judged as the process tests
are. What a seed draws is the same each time; when processes meet it is not.
"""

import search_paths  # noqa: F401 - for a play that is run by hand

# isort: split

import os
import resource
import sys
import tempfile
from collections import Counter
from contextlib import suppress
from pathlib import Path
from random import Random

from test_cluster_processes import check_run, flip, wait_for_answers

from fennelwind.testbed.councilrig import ACT, CouncilRig
from fennelwind.testbed.processes import RigFailed

EACH_MS = 2000.0  # ms between two faults, in the mean: on a busy machine a start takes as long
PACES = (0.9, 1.0, 1.1)  # of the members' clocks: 20% apart
FAULTS = (
    "kill",
    "stop",
    "cut",
    "slow",
    "full",
    "sync",
    "slow disk",
    "all",
    "lost",
    "flip",
    "fsize",
    "files",
    "together",
    "again",
    "end",
    "full start",
    "all full",
)


class Storm:
    """One play."""

    def __init__(self, seed, seconds, folder, members=3):
        self.random, self.seconds, self.counts = Random(f"storm {seed}"), seconds, Counter()
        paces = {f"m{n}": {"pace": PACES[n % len(PACES)]} for n in range(members)}
        self.rig = CouncilRig(
            folder, members, 2, seed=seed + 1, more=paces, task=ACT, clients=1, disk={"loses": True}
        )
        self.lost, self.lost_at = "", 0
        self.over = False

    def play(self):
        """Play and judge. Raises `AssertionError` and `RigFailed`."""
        self.rig.play(self._script)
        check_run(self.rig, acts=10, asks=100)

    def _script(self, rig):
        random, loop = self.random, rig.loop
        rig.acts(2)
        end = loop.now() + self.seconds * 1000.0
        while loop.now() < end:
            loop.sleep(random.expovariate(1.0 / EACH_MS))
            self._fault(random.choice(FAULTS))
        self.over = True
        rig.until(lambda: len(rig.parts) == len(rig.names), "all are back")
        rig.heal()
        for name in rig.names:
            rig.parts[name].go_on()
            self._mend(name)
        wait_for_answers(rig, 40)
        rig.acts(5)
        rig.until(
            lambda: all((rig.state(name) or {}).get("votes") == len(rig.members) for name in rig.members),
            "all vote again",
        )

    def _fault(self, what):
        rig, random = self.rig, self.random
        name, anyone = random.choice(rig.members), random.choice(rig.names)
        some = random.sample(rig.members, random.randint(1, len(rig.members)))
        self.counts[what] += 1
        match what:
            case "kill":
                self._kill(anyone)
            case "all":
                for each in rig.members:
                    self._kill(each)
            case "again":  # one that is killed again and again as it comes back
                self._kill(name, 300.0, again=random.randint(2, 6))
            case "end":
                self._end(name)
            case "lost" | "flip":
                self._lose(name, what == "flip")
            case "stop" if anyone in rig.parts:
                part = rig.parts[anyone]
                part.stop()
                rig.loop.after(random.uniform(100.0, 4000.0), part.go_on)
            case "cut":
                self._cut(name)
            case "slow":
                rig.slow([name], rig.names, random.uniform(5.0, 80.0))
                rig.loop.after(random.uniform(200.0, 3000.0), rig.heal)
            case "full" | "sync" | "slow disk":
                self._disk(
                    name,
                    full=what == "full",
                    slow_ms=30.0 * (what == "slow disk"),
                    syncs_fail=int(what == "sync"),
                )
            case "all full":
                for each in rig.members:
                    self._disk(each, full=True)
            case "fsize" | "files":
                for each in some:
                    self._limit(each, what == "files")
            case "together":
                self._cut(name)
                for each in some:
                    self._disk(each, full=True)
                self._kill(random.choice(rig.members))
            case "full start":
                self._kill(name)
                rig.more[name]["disk"] = {"loses": True, "full": True}
                rig.loop.after(random.uniform(2000.0, 6000.0), lambda: self._mend(name))

    def _cut(self, name):
        rig, random = self.rig, self.random
        others = [other for other in rig.names if other != name]
        rig.cut([name], random.sample(others, random.randint(1, len(others))), random.random() < 0.5)
        rig.loop.after(random.uniform(200.0, 5000.0), rig.heal)

    def _disk(self, name, **faults):
        part = self.rig.parts.get(name)
        if part is not None:
            part.say({"disk": faults})
            self.rig.loop.after(
                self.random.uniform(200.0, 4000.0),
                lambda: part.say({"disk": {"full": False, "slow_ms": 0.0}}),
            )

    def _limit(self, name, files):
        """Let no file grow, or no further descriptor be had, for a while."""
        part = self.rig.parts.get(name)
        if part is None:
            return
        if files:
            with suppress(OSError):  # it has just ended
                pid = part.process.pid
                if len(os.listdir(f"/proc/{pid}/task")) < 3:  # it has not begun: no program starts without
                    return
                most = max(map(int, os.listdir(f"/proc/{pid}/fd")), default=0) + 1
                _, hard = resource.prlimit(pid, resource.RLIMIT_NOFILE)
                resource.prlimit(pid, resource.RLIMIT_NOFILE, (most, hard))
        else:
            part.say({"fsize": 1})
        self.rig.loop.after(self.random.uniform(200.0, 4000.0), lambda: self._free(part))

    @staticmethod
    def _free(part):
        part.say({"fsize": None})
        with suppress(OSError):
            _, hard = resource.prlimit(part.process.pid, resource.RLIMIT_NOFILE)
            resource.prlimit(part.process.pid, resource.RLIMIT_NOFILE, (hard, hard))

    def _mend(self, name):
        self.rig.more[name].pop("disk", None) if name in self.rig.more else None
        if name in self.rig.parts:
            self.rig.parts[name].say({"disk": {"full": False, "slow_ms": 0.0, "syncs_fail": 0}})
            self._free(self.rig.parts[name])

    def _lose(self, name, flipped):
        """Let a folder be lost, or damaged first, if the one lost before has a vote again: one is stood."""
        rig = self.rig
        if name not in rig.parts or not self.lost_is_back():
            self.counts["not lost"] += 1
            return
        self.lost = name
        rig.kill(name)
        logs = sorted((rig.folder / name).glob("log-*"), key=lambda path: path.stat().st_size)
        if flipped and logs and logs[-1].stat().st_size:
            flip(logs[-1], self.random.randrange(logs[-1].stat().st_size))
            rig.start(name)
            rig.loop.after(self.random.uniform(500.0, 3000.0), lambda: self._replace(name))
        else:
            self._replace(name)

    def _replace(self, name):
        rig = self.rig
        if name in rig.parts:
            rig.kill(name)
        if (rig.folder / name).exists():
            rig.lose(name)
        self.lost_at = len(rig.said)
        rig.loop.after(self.random.uniform(10.0, 3000.0), lambda: self._start(name))

    def lost_is_back(self):
        """Tell whether the last one that lost its folder has said since that it has a vote."""
        return (
            not self.lost
            or self.lost_at
            and any(
                who == self.lost and what == "role changed" and facts["role"] in ("follower", "leader")
                for who, what, facts in self.rig.said[self.lost_at :]
            )
        )

    def _start(self, name):
        if name not in self.rig.parts:
            self.rig.start(name)

    def _end(self, name):
        """As by SIGTERM, in the middle of whatever there is."""

        def end():
            if name in rig.parts and not self.over:
                rig.end(name)
                rig.loop.after(self.random.uniform(10.0, 3000.0), lambda: self._start(name))

        rig = self.rig
        rig.loop.spawn(end, name="storm: end")

    def _kill(self, name, within_ms=3000.0, again=0):
        if name not in self.rig.parts or self.over:
            return
        self.rig.kill(name)

        def back():
            self._start(name)
            if again:
                self.rig.loop.after(
                    self.random.uniform(10.0, 800.0), lambda: self._kill(name, within_ms, again - 1)
                )

        self.rig.loop.after(self.random.uniform(10.0, within_ms), back)


def main():
    """Play seeds; print what was met and what broke."""
    seeds, seconds, broke = int(sys.argv[1]), float(sys.argv[2]), []
    first = int(sys.argv[3]) if len(sys.argv) > 3 else 0
    for seed in range(first, first + seeds):
        with tempfile.TemporaryDirectory(prefix="storm-", dir=Path.cwd()) as folder:
            storm = Storm(seed, seconds, Path(folder), 5 if seed % 3 == 2 else 3)
            try:
                storm.play()
            except (AssertionError, RigFailed) as exc:
                broke.append(seed)
                print(f"seed {seed}: {type(exc).__name__}: {str(exc)[:1500]}")
                for who, what, facts in storm.rig.said[-60:]:
                    print("   ", who, what, facts)
                for log in sorted(Path(folder).glob("*.log")):
                    if log.stat().st_size:
                        print("   ", log.name, log.read_text("utf-8", "replace")[-2000:])
            rig = storm.rig
            taken, lines = rig.resource.taken(), Counter(line[3] for line in rig.history)
            acts, refused = sum(seen.what == "end" for seen in taken), len(rig.resource.seen) - len(taken)
            print(
                f"seed {seed}, {len(rig.members)} members: {dict(storm.counts)}; acts {acts}, refused "
                f"{refused}, fences {len({seen.fence for seen in taken})}, {dict(lines)}",
                flush=True,
            )
    print(f"broke: {broke}")
    return 1 if broke else 0


if __name__ == "__main__":
    sys.exit(main())
