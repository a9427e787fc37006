"""What the council costs on this machine: `python -m fennelwind.testbed.councilbench PART` prints a table.

Parts: `commits` (time and rate, 3 and 5 members, with and without sync, beside one sync, as many at once as
there are members, one message there and back, and a command's hops, bare), `leaders`
(time without a leader after kill, stop, cut and full disk), `catch-up`, `memory`. Members are processes on
loopback; only `leaders` has relays between them. Times are this machine's, and say something only beside what
was measured in the same run.
"""

import json
import os
import subprocess
import sys
import tempfile
import threading
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from statistics import median
from typing import Any

from fennelwind.cluster.errors import ClusterError
from fennelwind.cluster.raft_client import RaftClient
from fennelwind.leases import leases_pb2 as pb
from fennelwind.loop import Address, RealLoop, parse_address
from fennelwind.loop.realdisk import RealDisk
from fennelwind.testbed.councilrig import TIMING, CouncilRig

SINGLE = 400  # commands, one after the other
BARE = 400  # syncs, and messages there and back
ASKERS, EACH_ASKER = 8, 48  # that ask at once, and commands that each has under way
RATE_MS = 5000.0  # ms for which commands are counted
FAULTS = ["kill", "stop", "cut", "full disk", "hand over"]
PLAYS = 30  # faults of each sort
BEHIND = 100_000  # commands that a member misses
TASKS = 50  # of one holder, renewed by one command
HOLDERS = 40
WITHIN_MS = 20_000.0


def share(values: list[float], part: float) -> float:
    """Return the value below which this part of them lies."""
    return sorted(values)[min(len(values) - 1, int(part * len(values)))]


def figures(values: list[float]) -> str:
    """Return median and 99th of 100, in ms."""
    return f"{median(values):.2f} / {share(values, 0.99):.2f}"


def asker(rig: CouncilRig, number: int) -> RaftClient:
    """Return one that asks from the rig's own process."""
    return RaftClient(rig.loop, "rig", f"bench{number}", {n: rig.home(n) for n in rig.members}, str(number))


def put(ours: RaftClient, key: str, value: int) -> bytes:
    """Do one command."""
    return ours.propose("registers", json.dumps(["put", key, value]).encode(), WITHIN_MS)


def bare_syncs(folder: Path, at_once: int = 1) -> list[float]:
    """Return the times of a small write and its sync, in ms; so many threads make them, each on its file."""
    loop, times = RealLoop(), []

    def make(number: int) -> None:
        fd = os.open(folder / f"bare{number}", os.O_CREAT | os.O_WRONLY | os.O_APPEND)
        for _ in range(BARE):
            began = loop.now()
            os.write(fd, b"x" * 120)
            os.fdatasync(fd)
            times.append(loop.now() - began)
        os.close(fd)

    threads = [threading.Thread(target=make, args=(number,)) for number in range(at_once)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return times


def bare_rounds(rig: CouncilRig) -> list[float]:
    """Return the times of a message to a member's process and its answer, in ms: a look at a small state."""
    ours, times = asker(rig, 0), []
    ours.fact("registers", "none", "", within_ms=WITHIN_MS, fresh=False)
    for _ in range(BARE):
        began = rig.loop.now()
        ours.fact("registers", "none", "", within_ms=WITHIN_MS, fresh=False)
        times.append(rig.loop.now() - began)
    return times


def hop(ahead: str, folder: str) -> None:
    """Be one process on the way: pass on what comes, or write and sync it in a disk's thread, and answer."""
    loop = RealLoop()

    def run() -> None:
        disk = RealDisk(loop, folder) if folder else None
        onward = loop.connect(parse_address(ahead)) if ahead else None
        listener = loop.listen(Address("127.0.0.1", 0))
        print(listener.address, flush=True)
        stream = listener.accept()
        while data := stream.read():
            if onward is not None:
                onward.write(data)
                onward.read()
            if disk is not None:
                disk.append("bare", data)
                disk.sync("bare")
            stream.write(data)

    loop.run(run)


def bare_hops(rig: CouncilRig, folder: str) -> list[float]:
    """Return the times of 120 bytes by way of one process to another, its disk if there is one, and back."""
    children: list[subprocess.Popen] = []
    try:
        ahead = ""
        for kept in (folder, ""):
            child = subprocess.Popen(
                [sys.executable, "-m", "fennelwind.testbed.councilbench", "hop", ahead, kept],
                stdout=subprocess.PIPE,
                text=True,
            )
            children.append(child)
            ahead = child.stdout.readline().strip()
        stream, times = rig.loop.connect(parse_address(ahead)), []
        for _ in range(BARE):
            began = rig.loop.now()
            stream.write(b"x" * 120)
            stream.read()
            times.append(rig.loop.now() - began)
        stream.close()
    finally:
        for child in children:
            child.kill()
            child.wait()
    return times


def many(
    rig: CouncilRig,
    call: Callable[[RaftClient, int], Any],
    askers: int = ASKERS,
    each: int = EACH_ASKER,
) -> float:
    """Return how many calls a second end while so many are under way."""
    loop, done, until = rig.loop, [0], rig.loop.now() + RATE_MS

    def one(ours: RaftClient, number: int) -> None:
        while loop.now() < until:
            call(ours, number)
            done[0] += 1

    began = loop.now()
    tasks = [
        loop.spawn(one, ours, number * each + place)
        for number, ours in enumerate(asker(rig, n + 1) for n in range(askers))
        for place in range(each)
    ]
    for task in tasks:
        task.join()
    return done[0] / (loop.now() - began) * 1000.0


def renewals(rig: CouncilRig) -> float:
    """Return how many leases a second are renewed, by holders of `TASKS` each with one command under way."""
    fences: dict[int, list[int]] = {}

    def renew(ours: RaftClient, number: int) -> None:
        command = pb.LeaseCommand(by=pb.Who(name=f"h{number}", life=b"1"))
        for task in range(TASKS):
            ask = command.asks.add(task=f"{number}/{task}")
            if number in fences:
                ask.renew.fence = fences[number][task]
            else:
                ask.gain.term_ms = 60_000
        answer = pb.LeaseAnswer.FromString(ours.propose("leases", command.SerializeToString(), WITHIN_MS))
        fences[number] = [told.fence for told in answer.told]

    return many(rig, renew, ASKERS, HOLDERS // ASKERS) * TASKS


@contextmanager
def folder() -> Iterator[Path]:
    """Give a folder on the disk of the present one, as a memory's file system syncs for nothing."""
    with tempfile.TemporaryDirectory(dir=Path.cwd(), prefix="bench-") as name:
        yield Path(name)


def commits() -> None:
    """Print the time and the rate of commands."""
    print(
        "| members | sync | one sync (ms, median / 99th) | as many at once as members | there and back "
        "| a command's hops, bare | one command | of one sync and one round | commands/s | renewals/s |"
    )
    print("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
    for members in (3, 5):
        for no_sync in (False, True):
            with folder() as place:

                def script(rig: CouncilRig, no_sync: bool = no_sync, place: Path = place) -> list[str]:
                    rig.until(
                        lambda: (
                            sum(rig.state(n)["votes"] == len(rig.members) for n in rig.members)
                            == len(rig.members)
                        ),
                        "all vote",
                    )
                    ours = asker(rig, 0)
                    put(ours, "x", 0)
                    bare, rounds, times = bare_syncs(place), bare_rounds(rig), []
                    crowd = bare_syncs(place, len(rig.members))
                    hops = bare_hops(rig, "" if no_sync else str(place / "hop"))
                    for number in range(SINGLE):
                        began = rig.loop.now()
                        put(ours, "x", number)
                        times.append(rig.loop.now() - began)
                    rate = many(rig, lambda ours, n: put(ours, f"k{n % 100}", n))
                    floor = (0.0 if no_sync else median(bare)) + median(rounds)
                    return [
                        *map(figures, (bare, crowd, rounds, hops, times)),
                        f"{median(times) / floor:.2f}",
                        f"{rate:.0f}",
                        f"{renewals(rig):.0f}",
                    ]

                rig = CouncilRig(place, members, direct=True, disk={"no_sync": no_sync})
                print(
                    f"| {members} | {'no' if no_sync else 'yes'} | " + " | ".join(rig.play(script)) + " |",
                    flush=True,
                )


def leaders(faults: list[str]) -> None:
    """Print the time without a leader after each sort of fault."""
    print(
        "Election time-outs of "
        f"{TIMING['election_timeout_ms']:.0f} to {2 * TIMING['election_timeout_ms']:.0f} ms.\n"
    )
    print(
        "| fault | plays | without a leader (ms): median / 99th / most | below 3 time-outs "
        "| first command done after: median / most |"
    )
    print("| --- | --- | --- | --- | --- |")
    for fault in faults or FAULTS:
        with folder() as place:

            def script(rig: CouncilRig, fault: str = fault) -> tuple[list[float], list[float]]:
                without, first = [], []
                ours = RaftClient(rig.loop, "rig", "bench", {n: rig.home(n) for n in rig.members}, "1")
                for number in range(PLAYS):
                    rig.until(
                        lambda: all(
                            (rig.state(n) or {}).get("votes") == len(rig.members) for n in rig.members
                        ),
                        "all vote",
                    )
                    leader = rig.leader()
                    term = rig.state(leader)["term"]
                    put(ours, "x", number)
                    seen, began = len(rig.said), rig.loop.now()
                    strike(rig, fault, leader)
                    put(ours, "x", number)
                    first.append(rig.loop.now() - began)
                    at = rig.until(
                        lambda leader=leader, term=term, seen=seen: next(
                            (
                                facts["at_ms"]
                                for who, what, facts in rig.said[seen:]
                                if who != leader
                                and what == "role changed"
                                and facts["role"] == "leader"
                                and facts["term"] > term
                            ),
                            0,
                        ),
                        "another leader",
                    )
                    without.append(at - began)
                    mend(rig, fault, leader)
                return without, first

            without, first = CouncilRig(place, 3).play(script)
            below = sum(ms < 3.0 * TIMING["election_timeout_ms"] for ms in without)
            print(
                f"| {fault} | {len(without)} | {figures(without)} / {max(without):.0f} | {below} of "
                f"{len(without)} | {median(first):.0f} / {max(first):.0f} |",
                flush=True,
            )


def strike(rig: CouncilRig, fault: str, leader: str) -> None:
    """Let a fault meet the leader."""
    match fault:
        case "kill":
            rig.kill(leader)
        case "stop":
            rig.stop(leader)
        case "cut":
            rig.cut([leader], [name for name in rig.members if name != leader])
        case "full disk":
            rig.parts[leader].say({"disk": {"full": True}})
        case "hand over":
            rig.end(leader)


def mend(rig: CouncilRig, fault: str, leader: str) -> None:
    """Undo it, and wait until the member is well again."""
    match fault:
        case "kill" | "hand over":
            rig.start(leader)
        case "stop":
            rig.go_on(leader)
        case "cut":
            rig.heal()
        case "full disk":
            rig.parts[leader].say({"disk": {"full": False}})
    rig.until(lambda: (rig.state(leader) or {}).get("part") in ("follower", "leader"), "it is well again")


def fill(rig: CouncilRig, commands: int, askers: list[RaftClient], keys: int = 1000) -> None:
    """Do so many commands, many at a time."""
    left = [commands]

    def one(ours: RaftClient, number: int) -> None:
        while left[0] > 0:
            left[0] -= 1
            try:
                put(ours, f"k{left[0] % keys}", left[0])
            except ClusterError:
                left[0] += 1

    tasks = [rig.loop.spawn(one, ours, n) for ours in askers for n in range(EACH_ASKER)]
    for task in tasks:
        task.join()


def catch_up() -> None:
    """Print how long a member takes that has missed `BEHIND` commands."""
    with folder() as place:

        def script(rig: CouncilRig) -> None:
            askers = [asker(rig, n) for n in range(ASKERS)]
            fill(rig, 100, askers)
            late = next(n for n in rig.members if n != rig.leader())
            rig.kill(late)
            began = rig.loop.now()
            fill(rig, BEHIND, askers)
            took = rig.loop.now() - began
            target = rig.state(rig.leader())["commit"]
            began = rig.loop.now()
            rig.start(late)
            rig.until(
                lambda: any(
                    who == late and what == "raft member started" and facts["at_ms"] > began
                    for who, what, facts in rig.said
                ),
                "it has opened its folder",
            )
            opened = rig.loop.now()
            rig.until(lambda: (rig.state(late) or {"applied": 0})["applied"] >= target, "it is up", 300.0)
            ended = rig.loop.now()
            print(
                f"{BEHIND} commands in {took / 1000.0:.1f} s; the member was up to index {target} "
                f"{(ended - opened) / 1000.0:.2f} s after it had opened its folder "
                f"({(ended - began) / 1000.0:.2f} s after its start)."
            )

        CouncilRig(place, 3, direct=True).play(script)


def memory(commands: int) -> None:
    """Print members' memory after so many commands, in ten steps."""
    with folder() as place:

        def script(rig: CouncilRig) -> None:
            askers = [asker(rig, n) for n in range(ASKERS)]
            print("| commands | memory of each member (MB) | at most | longest log (MB) | files (MB) |")
            print("| --- | --- | --- | --- | --- |")
            for step in range(1, 11):
                fill(rig, commands // 10, askers)
                told = [rig.state(name) for name in rig.members]
                files = sum(f.stat().st_size for n in rig.members for f in (place / n).glob("*")) / len(told)
                kept = " | ".join(
                    ", ".join(str(t[key] // 1024) for t in told) for key in ("now_kb", "memory_kb")
                )
                log = max(t["log_bytes"] for t in told) / 1e6
                print(f"| {step * commands // 10} | {kept} | {log:.1f} | {files / 1e6:.1f} |", flush=True)

        CouncilRig(place, 3, direct=True).play(script)


def main() -> int:
    """Measure the part that is named."""
    match sys.argv[1:]:
        case ["commits"]:
            commits()
        case ["leaders", *faults]:
            leaders(faults)
        case ["catch-up"]:
            catch_up()
        case ["hop", ahead, folder]:  # a process of `commits`
            hop(ahead, folder)
        case ["memory", commands]:
            memory(int(commands))
        case _:
            print(__doc__)
            return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
