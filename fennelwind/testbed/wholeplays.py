"""Plays of whole programs by command: storms of faults, days with and without moves, many controllers.

`python -m fennelwind.testbed.wholeplays storm|pair FIRST LAST` and `many COUNT`; each prints lines of JSON.
"""

import json
import os
import sys
import tempfile
from collections import Counter
from pathlib import Path
from typing import Any

from fennelwind.cluster.errors import ClusterError
from fennelwind.config import settings_pb2 as pb
from fennelwind.shards.shards_pb2 import Command, Declare, Shard
from fennelwind.testbed.processes import RigFailed
from fennelwind.testbed.wholeday import Fault, figures, storm
from fennelwind.testbed.wholerig import DISK, KIND, TIMING, WholeRig

STORM_MS, PER_S = 45_000.0, 15.0  # a storm's length, and queries a second
PAIR_MS, PAIR_PER_S = 40_000.0, 25.0
TWIN = "node-8b"  # the same machine under another name
SETTLE_S = 180.0  # s for all that is left when faults have stopped
BATCH = 8  # controllers that start side by side
LOOK_S = 20.0  # s over which a leader's work is counted
TICKS = os.sysconf("SC_CLK_TCK")


def folder() -> Path:
    """Return a new folder for a play."""
    return Path(tempfile.mkdtemp(prefix="fennelwind-whole-"))


# Storms.


def play_storm(seed: int) -> dict[str, Any]:
    """Play one storm; return what was seen and what broke."""
    rig, wrong = WholeRig(folder(), members=3, followers=1, seed=seed), []
    faults = storm(seed, rig.members, rig.names[3:], rig.engine_names, STORM_MS)

    def script(rig: WholeRig) -> None:
        rig.ready()
        traffic = rig.traffic(PER_S)
        began = rig.loop.now()

        def one(fault: Fault) -> None:
            rig.loop.sleep(max(0.0, began + fault.at_ms - rig.loop.now()))
            _do(rig, fault)

        for task in [rig.loop.spawn(one, fault, name=fault.kind) for fault in faults]:
            task.join()
        rig.heal()
        for name in rig.names:
            if name not in rig.parts:
                rig.start(name)
        rig.until(rig.settled, "all needs met", SETTLE_S)
        rig.finish(traffic)
        rig.end()

    try:
        rig.play(script)
    except RigFailed as exc:
        wrong.append(str(exc)[:400])
    broken, checks, excused = rig.judge()
    hows = Counter(end.how for end in rig.ends)
    return {
        "seed": seed,
        "wrong": wrong + broken,
        "checks": checks,
        "stood still": excused,
        "ends": hows,
        "absent": rig.absent(),
        "pulled": rig.pulled(),
        "least copies": min(rig.least.values(), default=0),
        "faults": Counter(fault.kind for fault in faults),
        "folder": str(rig.folder),
    }


def _do(rig: WholeRig, fault: Fault) -> None:
    """Do a fault, wait, and undo it."""
    name, pause = fault.target, lambda: rig.loop.sleep(fault.for_ms)
    match fault.kind:
        case "kill" | "folder lost":
            rig.kill(name)
            if fault.kind == "folder lost":
                rig.lose(name)
            pause()
            rig.start(name)
        case "stop":
            with rig.standing_still(name):
                pause()
        case "full disk":
            rig.limit_files(name, 1)
            pause()
            rig.limit_files(name, None)
        case "slow disk":
            rig.parts[name].say({"disk": {"slow_ms": 60.0}})
            pause()
            rig.parts[name].say({"disk": {"slow_ms": 0.0}})
        case "cut off" | "cut one way" | "late":
            others = [m for m in rig.members if m != name] if fault.kind != "cut one way" else [fault.other]
            if fault.kind == "late":
                rig.slow([name], others, 150.0)
            else:
                rig.cut([name], others, fault.kind == "cut off")
            pause()
            rig.open([name], others)
        case "engine killed" | "engine empty":
            rig.crash(name)
            pause()
            rig.back(name, empty=fault.kind == "engine empty")
        case "engine full":
            rig.engines[name].shelf.spilled = DISK
            pause()
            rig.engines[name].shelf.spilled = 0
        case "engine cut off":
            rig.cut([fault.other], [name])
            pause()
            rig.open([fault.other], [name])


# The same day with moves and without.


def play_pair(seed: int) -> dict[str, Any]:
    """Play a day with moves of shards and the same one without; return the figures of both."""
    told: dict[str, Any] = {"seed": seed}
    order = ("moves", "none") if seed % 2 else ("none", "moves")
    for which in order:

        def change(settings: pb.Settings, which: str = which) -> None:
            twin = settings.kinds.add()
            twin.CopyFrom(settings.kinds[0])
            twin.name = TWIN
            if which == "none":
                for shard in settings.moves.shards:
                    shard.kinds.append(KIND)

        rig = WholeRig(
            folder(),
            members=3,
            followers=1,
            shards=8,
            seed=seed,
            ms_per_byte=100.0,
            change=change,
            timing=TIMING | {"copy_ms": 60_000.0},
        )
        rig.layout = [["e0", "e1"]] * 8  # uneven: half of the copies go to the other two, where they may
        rig.kinds = {"e2": TWIN, "e3": TWIN}

        def script(rig: WholeRig) -> None:
            rig.ready()
            traffic = rig.traffic(PAIR_PER_S, PAIR_MS)
            traffic.join()
            rig.finish(traffic)

        rig.play(script)
        broken, checks, _ = rig.judge()
        loads = sum(engine.shelf.loads for engine in rig.engines.values())
        told[which] = figures(rig.ends) | {"copies made": loads, "broken": broken, "absent": rig.absent()}
    return told


# Many controllers.


def play_many(count: int) -> dict[str, Any]:
    """Start so many controllers, five of them members; return what they take and how they follow."""
    rig = WholeRig(folder(), members=5, followers=count - 5, engines=4, direct=True, constants={}, timing={})
    rig.council |= {"heartbeat_ms": 250.0, "election_ms": 2500.0}
    told: dict[str, Any] = {"controllers": count, "load": os.getloadavg()}

    def script(rig: WholeRig) -> None:
        began = rig.loop.now()
        for start in range(0, count, BATCH):
            names = rig.names[start : start + BATCH]
            for name in names:
                rig.start(name)
            for name in names:
                rig.until(lambda name=name: rig.gauges(name), f"{name} answers", SETTLE_S)
        told["started s"] = (rig.loop.now() - began) / 1000.0
        know(rig, len(rig.shards))
        memory = [_kb(rig, name) for name in rig.names]
        told["resident MB"] = [min(memory) / 1024.0, sum(memory) / len(memory) / 1024.0, max(memory) / 1024.0]
        leader = rig.leader()
        for what, per_s in (("idle", 0.0), ("20 queries/s", 20.0)):
            traffic = rig.traffic(per_s) if per_s else None
            before, cpu, asked = rig.gauges(leader), _cpu(rig, leader), rig.loop.now()
            rig.loop.sleep(LOOK_S * 1000.0)
            spent, after = rig.loop.now() - asked, rig.gauges(leader)
            told[what] = {"leader cpu": (_cpu(rig, leader) - cpu) / (spent / 1000.0)} | {
                f"{key}/s": round((value - before.get(key, 0.0)) / spent * 1000.0, 2)
                for key, value in after.items()
                if key.startswith("council_events_total") and value > before.get(key, 0.0)
            }
            if traffic is not None:
                rig.finish(traffic)
        told["queries"] = figures(rig.ends)
        killed = rig.loop.now()
        rig.kill(leader)
        declare(rig)
        told["agreed after s"] = (rig.loop.now() - killed) / 1000.0
        know(rig, len(rig.shards) + 1)
        told["all know after s"] = (rig.loop.now() - killed) / 1000.0

    rig.play(script, up=False)
    return told


def know(rig: WholeRig, shards: int) -> None:
    """Wait until all running controllers know so many shards; they are asked side by side."""

    def one(name: str) -> None:
        rig.until(lambda: rig.gauges(name).get("council_shards_known", 0.0) >= shards, name, SETTLE_S)

    for start in range(0, len(rig.names), BATCH):
        names = [name for name in rig.names[start : start + BATCH] if name in rig.parts]
        for task in [rig.loop.spawn(one, name, name="know") for name in names]:
            task.join()


def declare(rig: WholeRig) -> None:
    """Have the record take one shard more, which nobody holds, as soon as anybody leads."""
    shard = Shard(name="later/", table="later", size=1, copies=1, zones=1)
    command = Command(declare=Declare(shards=[shard]))

    def done() -> bool:
        try:
            return bool(rig.asker.propose("shards", command.SerializeToString(), 5000.0))
        except ClusterError:
            return False

    rig.until(done, "a declaration", SETTLE_S)


def _kb(rig: WholeRig, name: str) -> int:
    text = Path(f"/proc/{rig.parts[name].process.pid}/status").read_text("ascii")
    return int(next(line.split()[1] for line in text.splitlines() if line.startswith("VmRSS")))


def _cpu(rig: WholeRig, name: str) -> float:
    """Return the CPU seconds of a process."""
    fields = Path(f"/proc/{rig.parts[name].process.pid}/stat").read_text("ascii").rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def main(arguments: list[str]) -> None:
    """Play what is asked for."""
    what, *numbers = arguments
    if what == "many":
        print(json.dumps(play_many(int(numbers[0]))), flush=True)
        return
    play = {"storm": play_storm, "pair": play_pair}[what]
    for seed in range(int(numbers[0]), int(numbers[1])):
        print(json.dumps(play(seed) | {"load": os.getloadavg()[0]}), flush=True)


if __name__ == "__main__":
    main(sys.argv[1:])
