"""A rig of the council: members and askers as processes, a relay for each way between two, one resource.

The rig kills, stops, starts, cuts and fills; what it waits for are events, never short times. The resource
writes down who began, went on and ended, in the order in which it took it; of two fences the older is
refused. Everything is on loopback under addresses of the rig's own and ends with the rig.
"""

import json
import os
import shutil
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any, NamedTuple

from fennelwind.leases.errors import StaleFencingTokenError
from fennelwind.leases.fencing import FencedResource
from fennelwind.loop import Address, RealLoop, Stream, StreamReset
from fennelwind.loop.sim_network import Path as Way
from fennelwind.testbed.processes import LOCK_HOST, PORT_FIRST, PORT_LAST, Part, RigFailed
from fennelwind.testbed.relay import Relay, Row

MEMBER, TO_MEMBER, RESOURCE = 21, 103, 22  # second octets of hosts
LOOK_MS = 20.0  # ms between two looks at what has happened
WITHIN_S = 60.0  # s; a wait for an event that is over much sooner, but for a machine that stands still
END_S = 60.0  # s in which a process has to end when it is told to; it may just have been started
ACT = {"name": "sweep", "term_ms": 1500, "act_ms": 120.0, "steps": 3, "gap_ms": 20.0}
TIMING = {"heartbeat_ms": 50.0, "election_timeout_ms": 300.0}


class Seen(NamedTuple):
    """What the resource took or refused, in its own order."""

    task: str
    who: str
    life: int
    what: str
    act: int
    fence: int
    taken: bool


class Resource:
    """What the leased task acts on."""

    def __init__(self, loop: RealLoop, address: Address, checks: bool = True) -> None:
        self.loop, self.checks = loop, checks
        self.fenced = FencedResource()
        self.seen: list[Seen] = []
        self.listener = loop.listen(address)

    def serve(self) -> None:
        """Take connections."""
        while True:
            try:
                stream = self.listener.accept()
            except StreamReset:
                return
            self.loop.spawn(self._one, stream, name="resource: connection")

    def _one(self, stream: Stream) -> None:
        held = b""
        try:
            while data := stream.read():
                *lines, held = (held + data).split(b"\n")
                for line in lines:
                    task, who, life, what, act, fence = json.loads(line)
                    taken = self._take(task, fence)
                    self.seen.append(Seen(task, who, life, what, act, fence, taken))
                    stream.write(b"true\n" if taken else b"false\n")
        except StreamReset:
            pass
        finally:
            stream.close()

    def _take(self, task: str, fence: int) -> bool:
        if not self.checks:
            return True
        try:
            self.fenced.check(task, fence)
        except StaleFencingTokenError:
            return False
        return True

    def taken(self) -> list[Seen]:
        """Return what was taken."""
        return [seen for seen in self.seen if seen.taken]


def overlaps(seen: Iterable[Seen]) -> list[str]:
    """Return where two acted at once, by what the resource took: nothing if none did.

    What one fence began may be left in the middle, but nothing of it comes after a later one's; a fence is
    one life's of one controller; an act has a beginning, and its parts in order.
    """
    wrong: list[str] = []
    latest: dict[str, int] = {}
    owners: dict[tuple[str, int], tuple[str, int]] = {}
    under_way: dict[tuple[str, int], int | None] = {}
    for one in seen:
        key = one.task, one.fence
        if one.fence < latest.get(one.task, 0):
            wrong.append(f"{one} after fence {latest[one.task]}")
        latest[one.task] = max(latest.get(one.task, 0), one.fence)
        if owners.setdefault(key, (one.who, one.life)) != (one.who, one.life):
            wrong.append(f"{one}: the fence was of {owners[key]}")
        open_act = under_way.get(key)
        if one.what == "begin":
            under_way[key] = one.act
        elif open_act != one.act:
            wrong.append(f"{one}: {open_act} was under way")
        elif one.what == "end":
            under_way[key] = None
    return wrong


class Ways:
    """How the ways between the parties are, for the relay: open, but for what the rig has done to them."""

    def __init__(self) -> None:
        self.now: dict[tuple[str, str], Way] = {}

    def path(self, at: float, source: str, target: str) -> Way:
        """Return how a way is."""
        return self.now.get((source, target), OPEN)

    def next_change(self, at: float) -> float:
        """Return when to look again."""
        return at + LOOK_MS


OPEN = Way(delay_ms=0.0)


class CouncilRig:
    """So many members and followers; `play` runs a test's script with all of them up."""

    WORK = "fennelwind.testbed.councilwork"  # what its processes run

    def __init__(
        self,
        folder: Path,
        members: int = 3,
        followers: int = 0,
        *,
        seed: int = 1,
        more: dict[str, dict[str, Any]] | None = None,
        direct: bool = False,
        **every: Any,
    ) -> None:
        self.folder, self.seed, self.direct = folder, seed, direct  # direct: without relays, nothing is cut
        self.loop = RealLoop()
        self.members = [f"m{n}" for n in range(members)]
        self.names = self.members + [f"f{n}" for n in range(followers)]
        self.more, self.every = more or {}, every  # of one, of all: into their lines
        self.ways = Ways()
        self.parts: dict[str, Part] = {}
        self.lives = dict.fromkeys(self.names, 0)
        self.said: list[tuple[str, str, dict[str, Any]]] = []  # who, what, facts
        self.history: list[list[Any]] = []  # what clients asked and got: at, who, ask, what, value
        self.broke: list[str] = []
        self._tokens = 0
        self._states: dict[int, dict[str, Any] | None] = {}
        self._all: list[Part] = []
        self.loop.on_error = lambda task, exc: self.broke.append(f"rig: {task.name}: {exc!r}")

    # Life.

    def play(self, script: Callable[["CouncilRig"], Any], up: bool = True) -> Any:
        """Run the script with all processes up (or none yet); end them all. Raises `RigFailed`."""

        def run() -> Any:
            self._prepare()
            if up:
                for name in self.names:
                    self.start(name)
            value = script(self)
            for name in list(self.parts):  # all that was said has to be heard: others saw what came of it
                self.kill(name)
            return value

        self.folder.mkdir(parents=True, exist_ok=True)
        try:
            value = self.loop.run(run)
        finally:
            for part in self._all:
                part.close()
        if self.broke:
            raise RigFailed("; ".join(self.broke[:5]))
        return value

    def _prepare(self) -> None:
        for port in range(PORT_FIRST + os.getpid() % 1000 * 3, PORT_LAST, 3):
            try:
                self._lock = self.loop.listen(Address(LOCK_HOST, port), 1)
            except OSError:
                continue
            self.port = port
            break
        else:
            raise RigFailed("no ports are free for a rig")
        rows = self._surround()
        if not self.direct:
            started = self.loop.now()
            relay = Relay(self.loop, self.ways, rows, lambda: self.loop.now() - started, str(self.seed))
            relay.prepare()
            self.loop.spawn(relay.play, name="relay")
        self.loop.spawn(self._look, name="look")

    def _surround(self) -> list[Row]:
        """Start what is around the processes; return the rows of the relay."""
        self.resource = Resource(self.loop, Address(f"127.{RESOURCE}.0.1", self.port))
        self.loop.spawn(self.resource.serve, name="resource")
        rows = [Row(self.way(a, b), a, b, self.home(b)) for a in self.names for b in self.members if a != b]
        return rows + [
            Row(self.way(a, "resource"), a, "resource", self.resource.listener.address) for a in self.names
        ]

    def home(self, name: str) -> Address:
        """Where a member listens."""
        return Address(f"127.{MEMBER}.0.{self.names.index(name) + 1}", self.port)

    def way(self, source: str, target: str) -> Address:
        """Where one party finds another."""
        if self.direct:
            return self.resource.listener.address if target == "resource" else self.home(target)
        number = 250 if target == "resource" else self.names.index(target) + 1
        return Address(f"127.{TO_MEMBER}.{self.names.index(source) + 1}.{number}", self.port)

    def spec(self, name: str) -> dict[str, Any]:
        """Return what a process is told to be."""
        member = name in self.members
        return (
            {
                "name": name,
                "fleet": "rig",
                "seed": self.seed + self.lives[name],
                "life": self.lives[name],
                "members": {
                    other: str(self.home(other) if other == name else self.way(name, other))
                    for other in self.members
                },
                "folder": str(self.folder / name) if member else "",
                "listen": str(self.home(name)) if member else "",
                "timing": TIMING,
                "resource": str(self.way(name, "resource")),
            }
            | self.every
            | self.more.get(name, {})
        )

    def start(self, name: str) -> None:
        """Start a life of a process."""
        self.lives[name] += 1
        part = Part(self.loop, self.spec(name), self.folder / f"{name}.{self.lives[name]}.log", self.WORK)
        self.parts[name] = part
        self._all.append(part)

    def _look(self) -> None:
        while True:
            for name, part in list(self.parts.items()):
                self._hear(name, part)
            self.loop.sleep(LOOK_MS)

    def _hear(self, name: str, part: Part) -> None:
        for told in part.hear():
            if "said" in told:
                self.said.append((name, *told["said"]))
            if "state" in told:
                self._states[told["state"][0]] = told["state"][1]
            if "history" in told:
                self.history.append(told["history"])
            if "error" in told:
                self.broke.append(f"{name}: {told['error']}")

    # What happens to them.

    def kill(self, name: str) -> None:
        """Kill a process; what it has said before still counts."""
        part = self.parts.pop(name)
        part.killed = True
        part.process.kill()
        part.process.wait()
        self._drain(name, part)

    def _drain(self, name: str, part: Part) -> None:
        """Hear all that a dead process has said."""
        while not part.silent:
            self._hear(name, part)

    def stop(self, name: str) -> None:
        """Stop a process where it stands."""
        self.parts[name].stop()

    def go_on(self, name: str) -> None:
        """Let a stopped process go on."""
        self.parts[name].go_on()

    def end(self, name: str) -> None:
        """Let a process hand over and end, as on SIGTERM."""
        part = self.parts.pop(name)
        part.say({"end": True})

        def ended() -> bool:
            self._hear(name, part)  # it says more than a pipe holds while it hands over
            return part.process.poll() is not None

        try:
            self.until(ended, f"{name} ends", END_S)
        except RigFailed:
            part.tell_where()
            self.loop.sleep(500.0)
            raise
        self._drain(name, part)

    def lose(self, name: str) -> None:
        """Take a dead member's folder away."""
        shutil.rmtree(self.folder / name)

    def cut(self, some: Iterable[str], others: Iterable[str], both: bool = True) -> None:
        """Let nothing pass between two groups; with `both` false, nothing from the first to the second."""
        pairs = [(a, b) for a in some for b in others]
        for a, b in pairs + [(b, a) for a, b in pairs] * both:
            self.ways.now[a, b] = OPEN._replace(cut=True)

    def slow(self, some: Iterable[str], others: Iterable[str], ms: float) -> None:
        """Let all that passes between two groups take so much longer."""
        for a, b in [(a, b) for a in some for b in others if a != b]:
            for pair in ((a, b), (b, a)):
                self.ways.now[pair] = OPEN._replace(delay_ms=ms, jitter=0.5)

    def heal(self) -> None:
        """Open all ways."""
        self.ways.now.clear()

    # What is waited for.

    def until(self, true: Callable[[], Any], what: str, within_s: float = WITHIN_S) -> Any:
        """Wait until something is so; return it. Raises `RigFailed` if it does not come."""
        try:
            with self.loop.deadline(within_s * 1000.0):
                while not (value := true()):
                    if self.broke:
                        raise RigFailed("; ".join(self.broke[:5]))
                    self.loop.sleep(LOOK_MS)
                return value
        except TimeoutError:
            raise RigFailed(f"{what}: not within {within_s:.0f} s; last: {self.said[-8:]}") from None

    def state(self, name: str) -> dict[str, Any]:
        """Ask a running process how it stands."""

        def told() -> dict[str, Any] | None:
            self._tokens += 1
            token = self._tokens
            self.parts[name].say({"ask": token})
            for _ in range(100):
                if token in self._states:
                    return self._states.pop(token)
                self.loop.sleep(LOOK_MS)
            return None

        return self.until(told, f"{name} tells its state")

    def leader(self, among: Iterable[str] | None = None) -> str:
        """Wait for a leader among the running members; return its name."""

        def one() -> str:
            asked = among or [name for name in self.members if name in self.parts]
            states = {name: self.state(name) for name in asked}
            leading = [(s["term"], name) for name, s in states.items() if s and s["part"] == "leader"]
            return max(leading)[1] if leading else ""

        return self.until(one, "a leader")

    def holder(self) -> str:
        """Wait until somebody acts; return who acted last."""
        seen = len(self.resource.seen)
        return self.until(lambda: self.resource.seen[seen:] and self.resource.seen[-1].who, "an act")

    def acts(self, more: int, than: int | None = None, **like: Any) -> int:
        """Wait until the resource took so many more ends of acts; return how much it has seen then."""
        start = len(self.resource.seen) if than is None else than

        def enough() -> bool:
            ends = [
                s
                for s in self.resource.seen[start:]
                if s.taken
                and s.what == "end"
                and all(getattr(s, key) == value for key, value in like.items())
            ]
            return len(ends) >= more

        self.until(enough, f"{more} acts")
        return len(self.resource.seen)
