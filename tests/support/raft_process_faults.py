"""Processes of a Raft group under combined faults, drawn by a seed: kills, broken links, failing disks.

`python tests/support/raft_process_faults.py 3 60 7` plays seeds 7 to 9 for 60 s each, with the checks of the
process tests. A seed always draws the same faults, but their timing in the processes varies.
"""

import search_paths  # noqa: F401 - for running as a program

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

MEAN_FAULT_INTERVAL_MS = 2000.0  # on a busy machine, a start takes as long
CLOCK_RATES = (0.9, 1.0, 1.1)  # of the members' clocks, up to 20% apart
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


class FaultPlay:
    """One play of a seed."""

    def __init__(self, seed, seconds, folder, members=3):
        self.random, self.seconds, self.counts = Random(f"storm {seed}"), seconds, Counter()
        clock_rates = {f"m{n}": {"pace": CLOCK_RATES[n % len(CLOCK_RATES)]} for n in range(members)}
        self.rig = CouncilRig(
            folder, members, 2, seed=seed + 1, more=clock_rates, task=ACT, clients=1, disk={"loses": True}
        )
        self.lost_member, self.lost_position = "", 0
        self.is_finished = False

    def play(self):
        """Play and check the history. Raises `AssertionError` or `RigFailed`."""
        self.rig.play(self._script)
        check_run(self.rig, acts=10, asks=100)

    def _script(self, rig):
        random, loop = self.random, rig.loop
        rig.acts(2)
        end = loop.now() + self.seconds * 1000.0
        while loop.now() < end:
            loop.sleep(random.expovariate(1.0 / MEAN_FAULT_INTERVAL_MS))
            self._inject_fault(random.choice(FAULTS))
        self.is_finished = True
        rig.until(lambda: len(rig.parts) == len(rig.names), "all are back")
        rig.heal()
        for name in rig.names:
            rig.parts[name].go_on()
            self._repair(name)
        wait_for_answers(rig, 40)
        rig.acts(5)
        rig.until(
            lambda: all((rig.state(name) or {}).get("votes") == len(rig.members) for name in rig.members),
            "all vote again",
        )

    def _inject_fault(self, what):
        rig, random = self.rig, self.random
        member, any_process = random.choice(rig.members), random.choice(rig.names)
        some_members = random.sample(rig.members, random.randint(1, len(rig.members)))
        self.counts[what] += 1
        match what:
            case "kill":
                self._kill(any_process)
            case "all":
                for each in rig.members:
                    self._kill(each)
            case "again":  # kill a member repeatedly as it restarts
                self._kill(member, 300.0, again=random.randint(2, 6))
            case "end":
                self._shut_down(member)
            case "lost" | "flip":
                self._lose_folder(member, what == "flip")
            case "stop" if any_process in rig.parts:
                process = rig.parts[any_process]
                process.stop()
                rig.loop.after(random.uniform(100.0, 4000.0), process.go_on)
            case "cut":
                self._block_links(member)
            case "slow":
                rig.slow([member], rig.names, random.uniform(5.0, 80.0))
                rig.loop.after(random.uniform(200.0, 3000.0), rig.heal)
            case "full" | "sync" | "slow disk":
                self._fail_disk(
                    member,
                    full=what == "full",
                    slow_ms=30.0 * (what == "slow disk"),
                    syncs_fail=int(what == "sync"),
                )
            case "all full":
                for each in rig.members:
                    self._fail_disk(each, full=True)
            case "fsize" | "files":
                for each in some_members:
                    self._limit_resources(each, what == "files")
            case "together":
                self._block_links(member)
                for each in some_members:
                    self._fail_disk(each, full=True)
                self._kill(random.choice(rig.members))
            case "full start":
                self._kill(member)
                rig.more[member]["disk"] = {"loses": True, "full": True}
                rig.loop.after(random.uniform(2000.0, 6000.0), lambda: self._repair(member))

    def _block_links(self, name):
        rig, random = self.rig, self.random
        others = [other for other in rig.names if other != name]
        rig.cut([name], random.sample(others, random.randint(1, len(others))), random.random() < 0.5)
        rig.loop.after(random.uniform(200.0, 5000.0), rig.heal)

    def _fail_disk(self, name, **faults):
        part = self.rig.parts.get(name)
        if part is not None:
            part.say({"disk": faults})
            self.rig.loop.after(
                self.random.uniform(200.0, 4000.0),
                lambda: part.say({"disk": {"full": False, "slow_ms": 0.0}}),
            )

    def _limit_resources(self, name, files):
        """Forbid growing files, or further file descriptors, for a while."""
        part = self.rig.parts.get(name)
        if part is None:
            return
        if files:
            with suppress(OSError):  # the process has just ended
                pid = part.process.pid
                if len(os.listdir(f"/proc/{pid}/task")) < 3:  # not started yet, which takes descriptors
                    return
                max_descriptors = max(map(int, os.listdir(f"/proc/{pid}/fd")), default=0) + 1
                _, hard = resource.prlimit(pid, resource.RLIMIT_NOFILE)
                resource.prlimit(pid, resource.RLIMIT_NOFILE, (max_descriptors, hard))
        else:
            part.say({"fsize": 1})
        self.rig.loop.after(self.random.uniform(200.0, 4000.0), lambda: self._lift_limits(part))

    @staticmethod
    def _lift_limits(part):
        part.say({"fsize": None})
        with suppress(OSError):
            _, hard = resource.prlimit(part.process.pid, resource.RLIMIT_NOFILE)
            resource.prlimit(part.process.pid, resource.RLIMIT_NOFILE, (hard, hard))

    def _repair(self, name):
        self.rig.more[name].pop("disk", None) if name in self.rig.more else None
        if name in self.rig.parts:
            self.rig.parts[name].say({"disk": {"full": False, "slow_ms": 0.0, "syncs_fail": 0}})
            self._lift_limits(self.rig.parts[name])

    def _lose_folder(self, name, flipped):
        """Lose or damage a folder, once the last lost member votes again: the group tolerates one loss."""
        rig = self.rig
        if name not in rig.parts or not self.has_lost_member_rejoined():
            self.counts["not lost"] += 1
            return
        self.lost_member = name
        rig.kill(name)
        logs = sorted((rig.folder / name).glob("log-*"), key=lambda path: path.stat().st_size)
        if flipped and logs and logs[-1].stat().st_size:
            flip(logs[-1], self.random.randrange(logs[-1].stat().st_size))
            rig.start(name)
            rig.loop.after(self.random.uniform(500.0, 3000.0), lambda: self._replace_folder(name))
        else:
            self._replace_folder(name)

    def _replace_folder(self, name):
        rig = self.rig
        if name in rig.parts:
            rig.kill(name)
        if (rig.folder / name).exists():
            rig.lose(name)
        self.lost_position = len(rig.said)
        rig.loop.after(self.random.uniform(10.0, 3000.0), lambda: self._start(name))

    def has_lost_member_rejoined(self):
        """Return whether the last member that lost its folder has reported a voter's role since."""
        return (
            not self.lost_member
            or self.lost_position
            and any(
                who == self.lost_member and what == "role changed" and facts["role"] in ("follower", "leader")
                for who, what, facts in self.rig.said[self.lost_position :]
            )
        )

    def _start(self, name):
        if name not in self.rig.parts:
            self.rig.start(name)

    def _shut_down(self, name):
        """End a member in order, as by SIGTERM."""

        def end():
            if name in rig.parts and not self.is_finished:
                rig.end(name)
                rig.loop.after(self.random.uniform(10.0, 3000.0), lambda: self._start(name))

        rig = self.rig
        rig.loop.spawn(end, name="storm: end")

    def _kill(self, name, within_ms=3000.0, again=0):
        if name not in self.rig.parts or self.is_finished:
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
    """Play seeds; print the faults, results and failures."""
    seeds, seconds, failed_seeds = int(sys.argv[1]), float(sys.argv[2]), []
    first = int(sys.argv[3]) if len(sys.argv) > 3 else 0
    for seed in range(first, first + seeds):
        with tempfile.TemporaryDirectory(prefix="storm-", dir=Path.cwd()) as folder:
            fault_play = FaultPlay(seed, seconds, Path(folder), 5 if seed % 3 == 2 else 3)
            try:
                fault_play.play()
            except (AssertionError, RigFailed) as exc:
                failed_seeds.append(seed)
                print(f"seed {seed}: {type(exc).__name__}: {str(exc)[:1500]}")
                for who, what, facts in fault_play.rig.said[-60:]:
                    print("   ", who, what, facts)
                for log in sorted(Path(folder).glob("*.log")):
                    if log.stat().st_size:
                        print("   ", log.name, log.read_text("utf-8", "replace")[-2000:])
            rig = fault_play.rig
            taken, lines = rig.resource.taken(), Counter(line[3] for line in rig.history)
            acts, refused = sum(seen.what == "end" for seen in taken), len(rig.resource.seen) - len(taken)
            print(
                f"seed {seed}, {len(rig.members)} members: {dict(fault_play.counts)}; acts {acts}, refused "
                f"{refused}, fences {len({seen.fence for seen in taken})}, {dict(lines)}",
                flush=True,
            )
    print(f"failed: {failed_seeds}")
    return 1 if failed_seeds else 0


if __name__ == "__main__":
    sys.exit(main())
