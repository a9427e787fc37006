"""One controller of a rig of the council: a member or one that asks, with clients and a leased task.

It reads what it is to be as a line of JSON and goes on until its rig ends. What clients asked and got it says
line by line, so that a kill loses nothing of it; what the task does goes to the rig's resource.
"""

import faulthandler
import json
import re
import resource
import sys
from contextlib import suppress
from itertools import count
from pathlib import Path
from random import Random
from typing import Any

from fennelwind.cluster.errors import (
    ClusterError,
    ClusterUnavailableError,
    CommandRejectedError,
    OutcomeUnknownError,
)
from fennelwind.cluster.identity import ClusterIdentity
from fennelwind.cluster.leased_tasks import HeldLease
from fennelwind.cluster.runtime import ClusterRuntime
from fennelwind.loop import RealLoop, Stream, parse_address
from fennelwind.loop.real import TELL_WHERE
from fennelwind.raft.messages import Timing
from fennelwind.testbed.lines import say
from fennelwind.testbed.registers import Registers
from fennelwind.testbed.rigdisk import Faults, RigDisk

KEYS = ("a", "b", "c")  # registers that all clients use: few, so that they meet
PAUSE_MS = 10.0  # ms between two asks of a client, at most
WITHIN_MS = 3000.0  # ms of one ask; outcomes that are unknown make a history harder to check
RESOURCE_MS = 2000.0  # ms for the resource's answer


class SkewedLoop(RealLoop):
    """A loop whose clock runs at a pace of its own."""

    def __init__(self, pace: float) -> None:
        super().__init__()
        self.pace = pace

    def now(self) -> float:
        """Return the time in ms, as this process has it."""
        return super().now() * self.pace

    def _pause(self, until: float | None) -> None:
        now = self.now()
        super()._pause(None if until is None else now + (until - now) / self.pace)


class Work:
    """What the line asks for."""

    def __init__(self, loop: SkewedLoop, spec: dict[str, Any]) -> None:
        self.loop, self.spec, self.name = loop, spec, spec["name"]
        self.random = Random(f"{spec['seed']} {self.name}")
        self.faults = Faults(**spec.get("disk", {}))
        loop.on_error = lambda task, exc: say(error=f"{task.name}: {type(exc).__name__}: {exc}")
        members = {name: parse_address(address) for name, address in spec["members"].items()}
        folder = Path(spec["folder"]) if spec.get("folder") else None
        place = ClusterIdentity(
            spec["fleet"],
            self.name,
            members,
            folder,
            parse_address(spec["listen"]) if folder else None,
            Timing(**spec.get("timing", {})),
            spec.get("reserve", 1 << 20),
            spec.get("handover_ms", 3000.0),
        )
        self.keeper = ClusterRuntime(
            loop,
            place,
            spec["seed"],
            self._said,
            lambda: RigDisk(loop, str(folder), self.faults),
            (Registers(),),
        )

    def _true_ms(self) -> float:
        """Return the time that all processes of the machine share."""
        return self.loop.now() / self.loop.pace

    def _said(self, what: str, facts: dict[str, Any]) -> None:
        say(said=[what, facts | {"at_ms": self._true_ms()}])

    def start(self) -> None:
        """Begin to take part."""
        self.keeper.start()
        for number in range(self.spec.get("clients", 0)):
            self.loop.spawn(self._client, number, name=f"client {number}")
        task = self.spec.get("task")
        if task:
            self.keeper.tasks.add(task["name"], self._act, task["term_ms"])

    # Clients.

    def _client(self, number: int) -> None:
        asker, random = self.keeper.client, self.random
        who = f"{self.name}/{self.spec['life']}/{number}"
        for ask in count():
            key, what = random.choice(KEYS), random.choice(("get", "put", "swap"))
            value = random.randrange(1, 6)
            old = random.randrange(0, 6)
            asked = {"get": ["get", key], "put": ["put", key, value], "swap": ["swap", key, old, value]}[what]
            self._note(who, ask, "asked", asked)
            try:
                if what == "get":
                    got = asker.read("registers", key.encode(), within_ms=WITHIN_MS).state
                else:
                    got = asker.propose("registers", json.dumps(asked).encode(), WITHIN_MS)
                self._note(who, ask, "got", json.loads(got))
            except OutcomeUnknownError:
                self._note(who, ask, "unknown", None)
            except (ClusterUnavailableError, CommandRejectedError):
                self._note(who, ask, "refused", None)
            except ClusterError as exc:
                self._note(who, ask, "refused", exc.code)
            self.loop.sleep(PAUSE_MS * random.random())

    def _note(self, who: str, ask: int, what: str, value: Any) -> None:
        say(history=[self._true_ms(), who, ask, what, value])

    # The task.

    def _act(self, held: HeldLease) -> bool:
        task = self.spec["task"]
        with self.loop.deadline(RESOURCE_MS):
            stream = self.loop.connect(parse_address(self.spec["resource"]))
        try:
            for number in count():
                if held.stop_requested.ready:
                    return False
                with held.operation(task["act_ms"]) as act:
                    for step in range(task["steps"]):
                        if step:
                            self.loop.sleep(task["act_ms"] / (2.0 * task["steps"]))
                            act.check()
                        what = "begin" if not step else "end" if step == task["steps"] - 1 else "step"
                        if not self._tell(stream, what, number, act.fencing_token):
                            return False  # somebody with a later fence was there: the lease is over
                self.loop.sleep(task["gap_ms"])
        finally:
            stream.abort()
        return False

    def _tell(self, stream: Stream, what: str, number: int, fence: int) -> bool:
        with self.loop.deadline(RESOURCE_MS):
            stream.write(
                json.dumps(
                    [self.spec["task"]["name"], self.name, self.spec["life"], what, number, fence]
                ).encode()
                + b"\n"
            )
            answer = b""
            while not answer.endswith(b"\n"):
                data = stream.read()
                if not data:
                    raise TimeoutError("the resource has gone")
                answer += data
        return bool(json.loads(answer))

    # The rig's words.

    def told(self, word: dict[str, Any]) -> bool:
        """Do what a line says; false: it was the last."""
        for key, value in word.get("disk", {}).items():
            setattr(self.faults, key, value)
        if "fsize" in word:
            hard = resource.getrlimit(resource.RLIMIT_FSIZE)[1]
            soft = hard if word["fsize"] is None else word["fsize"]
            resource.setrlimit(resource.RLIMIT_FSIZE, (soft, hard))
        if "ask" in word:
            self.loop.spawn(self._tell_state, word["ask"], name="state")
        if word.get("end"):
            self.keeper.hand_over()
            self.keeper.close()
            return False
        return True

    def _tell_state(self, token: int) -> None:
        member = self.keeper.member
        if member is None or member.core is None:
            say(state=[token, None])
            return
        view = member.core.status()
        say(
            state=[
                token,
                {
                    "part": view.role,
                    "term": view.term,
                    "leader": view.leader,
                    "commit": view.commit_index,
                    "applied": member.state.replicated_state.index,
                    "members": len(view.members.members),
                    "memory_kb": resource.getrusage(resource.RUSAGE_SELF).ru_maxrss,
                    "now_kb": _memory_kb(),
                    "log_bytes": view.log_bytes,
                    "base": view.base_index,
                    "votes": sum(m.votes for m in view.members.members),
                    "lives": {m.name: m.life.hex() for m in view.members.members},
                    "counts": view.counters | member.counts | member.peers.counts,
                    "ways": {
                        name: peer.incarnation.hex() if peer.is_connected else ""
                        for name, peer in member.peers.by_name.items()
                    },
                },
            ]
        )


def _memory_kb() -> int:
    """Return what this process has in memory now; 0 where the system doesn't say."""
    with suppress(OSError):
        found = re.search(r"VmRSS:\s+(\d+) kB", Path("/proc/self/status").read_text("ascii"))
        return int(found[1]) if found else 0
    return 0


def main() -> int:
    """Be one controller of the rig."""
    faulthandler.register(TELL_WHERE)  # a rig that waits in vain has it write down where it stands
    spec = json.loads(sys.stdin.readline())
    loop = SkewedLoop(spec.get("pace", 1.0))

    def run() -> int:
        work = Work(loop, spec)
        work.start()
        say(ready=True)
        while True:
            line = loop.aside(sys.stdin.readline)
            if not line or not work.told(json.loads(line)):
                break
        say(ended=True)
        return 0

    return loop.run(run)


if __name__ == "__main__":
    sys.exit(main())
