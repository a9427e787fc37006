"""The rig of real processes: controllers started as `run` says, stand-ins and relays in a few more.

Everything is on loopback, under addresses of this rig's own; processes get the rig's end as their own
(PR_SET_PDEATHSIG where the system has it), so that a rig which is itself killed leaves none behind.
"""

import ctypes
import json
import os
import re
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import tomllib
from collections import Counter
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from typing import Any

import msgpack

from fennelwind.audit.observations import Process, Sighting, Usage, read
from fennelwind.errors import FennelwindError
from fennelwind.loop import Address, ConnectFailed, DeadlineExceeded, Loop, RealLoop, StreamReset
from fennelwind.loop.real import TELL_WHERE
from fennelwind.testbed.addresses import PORTS, Addresses
from fennelwind.testbed.plan import FOREVER, Plan, Step
from fennelwind.testbed.settings import Book, config_text
from fennelwind.testbed.virtual import Outcome

PORT_FIRST, PORT_LAST = 20_000, 32_000  # base ports; below what the system gives to connections
LOCK_HOST = "127.19.0.1"  # whoever listens there at a base port has that port's rig
READY_S = 60.0  # s in which all have to be ready
STARTED_AT_ONCE = 16  # controllers that start side by side; more only wait for cores
MEMBERS = 25  # controllers of one relay; the poll of some 1000 listeners takes 0.1 ms a turn
SLOTS = 10  # executors of one process
BEFORE_MS = 500.0  # ms from the word to the day's start
OVER_MS = 60_000.0  # ms after the last request by which every client has ended, or the rig is at fault
PROGRESS_MS = 5000.0  # ms between two words on how far the day is
AFTER_MS = 1000.0  # ms after the last request, for what is still to settle
END_S = 30.0  # s in which a controller has to end after SIGTERM
PDEATHSIG = 1  # of prctl: the signal that a process gets when its parent ends
BOOKS = re.compile(
    r"closed: books agree: (\w+); open (\d+), second answers (\d+), forgotten (\d+), "
    r"step errors (\d+)"
)


class RigFailed(FennelwindError):
    """The rig itself could not do its part; the text says why."""

    code = "rig-failed"
    advice = (
        "The play says nothing of the controllers. Read the logs in its folder, give it more of the machine."
    )


def run_command(root: Path | None = None) -> tuple[str, Path]:
    """Return the command of `run` and the folder it starts from.

    A checkout says it in deploy/balancer.toml; an installed package starts the same module.
    """
    root = root or Path(__file__).parent.parent.parent
    deploy = root / "deploy" / "balancer.toml"
    if deploy.exists():
        told = tomllib.loads(deploy.read_text(encoding="utf-8"))["run"]
        if not (root / ".venv").exists():
            told = told.replace(".venv/bin/python", sys.executable)
        return told, root
    return f"exec {sys.executable} -m fennelwind.node", Path.cwd()


def _with_parent() -> None:
    """Die when the rig does (in the child, before it becomes its program)."""
    with suppress(OSError, AttributeError):
        ctypes.CDLL(None).prctl(PDEATHSIG, signal.SIGKILL)


class Part:
    """A worker's process, which is talked to in lines of JSON."""

    def __init__(
        self, loop: Loop, spec: dict[str, Any], log: Path, module: str = "fennelwind.testbed.worker"
    ) -> None:
        self.loop, self.spec = loop, spec
        self.done = self.ready = self.ended = self.silent = False
        self.killed = False  # by its rig
        self.told: dict[str, Any] = {}
        self.log = log.open("wb")
        root = Path(__file__).parent.parent.parent
        self.process = subprocess.Popen(
            [sys.executable, "-m", module],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            stderr=self.log,
            preexec_fn=_with_parent,  # noqa: PLW1509 - one thread here
            env=os.environ | {"PYTHONPATH": f"{root}{os.pathsep}{os.environ.get('PYTHONPATH', '')}"},
        )
        os.set_blocking(self.process.stdout.fileno(), False)
        self._rest = b""
        self.say(spec)

    def say(self, told: dict[str, Any]) -> None:
        """Send a line."""
        with suppress(BrokenPipeError):
            self.process.stdin.write(json.dumps(told).encode() + b"\n")
            self.process.stdin.flush()

    def look(self) -> None:
        """Take what it has said. Raises `RigFailed` if it has failed or ended."""
        for told in self.hear():
            self.told |= told
        if "failed" in self.told:
            raise RigFailed(f"{self.spec['name']}: {self.told['failed']}")

    def hear(self) -> list[dict[str, Any]]:
        """Return what it has said since, line by line. Raises `RigFailed` if it has ended unsaid."""
        with suppress(BlockingIOError):
            data = os.read(self.process.stdout.fileno(), 65536)
            self.silent = not data
            self._rest += data
        *lines, self._rest = self._rest.split(b"\n")
        heard = [json.loads(line) for line in lines]
        self.ended = self.ended or any("ended" in told for told in heard)
        if self.silent and not self.ended and not self.killed:
            raise RigFailed(f"{self.spec['name']} has ended with status {self.process.wait()}")
        return heard

    def stop(self) -> None:
        """Stop it where it stands."""
        self.process.send_signal(signal.SIGSTOP)

    def go_on(self) -> None:
        """Let it go on."""
        self.process.send_signal(signal.SIGCONT)

    def tell_where(self) -> None:
        """Have it write down in its log where its tasks stand, if its program does so."""
        self.process.send_signal(TELL_WHERE)

    def close(self) -> None:
        """End it, whatever it is doing."""
        with suppress(BrokenPipeError):
            self.process.stdin.close()
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        self.process.stdout.close()
        self.log.close()


class Controller:
    """A controller's process, through all its lives."""

    def __init__(self, rig: "Processes", number: int) -> None:
        self.rig, self.number = rig, number
        self.name = rig.plan.controllers[number].name
        self.path = rig.folder / f"{self.name}.json"
        self.process: subprocess.Popen | None = None
        self.lives = 0
        self.second_channel = self.wanted = self.stopped = False
        self.memory_mb = self.cpu_ms = 0.0

    def write(self) -> None:
        """Write its configuration as of now."""
        rig = self.rig
        text = config_text(
            rig.plan,
            self.number,
            listen=rig.addresses.controller(self.number),
            channel=rig.addresses.channel_for(self.number, self.second_channel),
            peers=[rig.addresses.peer_for(c.number) for c in rig.plan.controllers],
            peers_all=rig.addresses.peers_all(),
            known=rig.book.known(self.number, rig.clock()),
            start=self.lives,
            salt=rig.salt,
        )
        whole = self.path.with_suffix(".new")
        whole.write_text(text, encoding="utf-8")
        whole.replace(self.path)

    def start(self) -> None:
        """Start a life."""
        rig = self.rig
        self.write()
        self.lives += 1
        self.wanted, self.stopped = True, False
        offset = rig.plan.controllers[self.number].clock_ms
        env = os.environ | {
            "RELAY_CONFIG": str(self.path),
            "RELAY_NAME": self.name,
            "RELAY_LISTEN": str(rig.addresses.controller(self.number)),
        }
        if offset:  # a setting of the rig's: `run` knows nothing of it
            env |= {"FLEET_CLOCK_MS": str(offset), "PYTHONPATH": str(rig.shim)}
        with (rig.folder / f"{self.name}.{self.lives}.log").open("wb") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", rig.command],
                cwd=rig.root,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                preexec_fn=_with_parent,
            )  # noqa: PLW1509 - one thread here
        rig.note(Process(rig.clock(), self.number, "started"))

    def measure(self) -> None:
        """Note what it has used so far."""
        with suppress(OSError, ValueError):
            status = Path(f"/proc/{self.process.pid}/status").read_text(encoding="ascii")
            found = re.search(r"VmHWM:\s+(\d+) kB", status)
            self.memory_mb = max(self.memory_mb, int(found[1]) / 1024.0 if found else 0.0)

    def alive(self) -> bool:
        """Tell whether its process runs; one that ended by itself is noted as crashed."""
        if self.process is None:
            return False
        status = self.process.poll()
        if status is not None and self.wanted:
            self.wanted = False
            self.rig.note(Process(self.rig.clock(), self.number, "crashed", f"status {status}"))
            self.rig.broke.append(f"{self.name}: ended by itself with status {status}")
        return status is None

    def signal(self, number: int, what: str) -> None:
        """Send a signal and note it."""
        self.process.send_signal(number)
        self.rig.note(Process(self.rig.clock(), self.number, what))

    def do(self, step: Step) -> None:
        """Carry out a step of the plan."""
        rig = self.rig
        if not self.alive():
            return
        match step.verb:
            case "kill":
                self.measure()
                self.wanted = False
                self.signal(signal.SIGKILL, "kill")
                self.process.wait()
                if step.back_ms >= 0.0:
                    rig.loop.spawn(self._back, step, name=f"{self.name}: back")
            case "term":
                self.wanted = False
                self.measure()
                self.signal(signal.SIGTERM, "term")
                rig.loop.spawn(self._leave, step, name=f"{self.name}: leave")
            case "stop":
                self.stopped = True
                self.signal(signal.SIGSTOP, "stop")
            case "cont":
                self.stopped = False
                self.signal(signal.SIGCONT, "cont")
            case "hup":
                self.second_channel = True
                self.write()
                self.signal(signal.SIGHUP, "hup")

    def _back(self, step: Step) -> None:
        self.rig.loop.sleep(max(0.0, step.at_ms + step.back_ms - self.rig.clock()))
        self.start()

    def _leave(self, step: Step) -> None:
        rig = self.rig
        until = time.monotonic() + END_S
        while self.process.poll() is None and time.monotonic() < until:
            rig.loop.sleep(20.0)
        self.ended()
        if step.back_ms >= 0.0 and not rig.over:
            self._back(step)

    def ended(self) -> None:
        """Note a planned end; a process that does not end is killed, and counted."""
        if self.process.poll() is None:
            self.rig.broke.append(f"{self.name}: still there {END_S:.0f} s after SIGTERM")
            self.process.kill()
        status = self.process.wait()
        if status not in (0, -signal.SIGKILL):
            self.rig.broke.append(f"{self.name}: ended with status {status}")
        self.rig.note(Process(self.rig.clock(), self.number, "ended"))

    def finish(self) -> None:
        """Ask it to end, if it still runs."""
        if self.process is not None and self.alive():
            self.wanted = False
            self.measure()
            if self.stopped:
                self.signal(signal.SIGCONT, "cont")
            self.process.terminate()

    def read_logs(self) -> None:
        """Look for what broke and for books that do not agree."""
        for life in range(1, self.lives + 1):
            text = (self.rig.folder / f"{self.name}.{life}.log").read_text("utf-8", "replace")
            for line in text.splitlines():
                if line.startswith(("broke", "Traceback")):
                    self.rig.broke.append(f"{self.name}: {line[:300]}")
            for agree, _, second, forgotten, errors in BOOKS.findall(text):
                self.rig.counts["second"] += int(second)
                stopped = self.number in self.rig.plan.stopped
                if agree != "True" or int(errors) or int(forgotten) and not stopped:
                    self.rig.broke.append(
                        f"{self.name}: books agree {agree}, forgotten {forgotten}, step errors {errors}"
                    )


SHIM = """import os
import time

_time, _offset = time.time, float(os.environ.get("FLEET_CLOCK_MS", "0")) / 1000.0
time.time = lambda: _time() + _offset
"""


class Processes:
    """One day on sockets; `play` returns what it left behind. Raises `RigFailed`."""

    def __init__(
        self,
        plan: Plan,
        folder: Path,
        *,
        root: Path | None = None,
        salt: str = "",
        said: Callable[[str], None] = lambda _: None,
    ) -> None:
        self.plan, self.folder, self.salt, self.said = plan, folder, salt, said
        self.command, self.root = run_command(root)
        self.loop = RealLoop()
        self.addresses = Addresses(0, relayed=True)
        self.book: Book | None = None
        self.shim = folder / "shim"
        self.start_ms = FOREVER
        self.sightings: list[Sighting] = []
        self.note = self.sightings.append
        self.broke: list[str] = []
        self.counts: Counter[str] = Counter()
        self.notes: dict[str, Any] = {}
        self.parts: list[Part] = []
        self.controllers: list[Controller] = []
        self.over = False
        self._lock = None
        self.loop.on_error = lambda task, exc: self.broke.append(f"rig: {task.name}: {exc!r}")

    def clock(self) -> float:
        """Return the time of the day in ms."""
        return self.loop.now() - self.start_ms

    def play(self) -> Outcome:
        """Play the day to its end; every process is gone afterwards."""
        self.folder.mkdir(parents=True, exist_ok=True)
        self.shim.mkdir(exist_ok=True)
        (self.shim / "sitecustomize.py").write_text(SHIM, encoding="utf-8")
        try:
            self.loop.run(self._day)
        finally:
            self._end()
        for controller in self.controllers:
            controller.read_logs()
            self.note(Usage(0.0, controller.name, controller.memory_mb, 0.0, 0.0))
        for part in self.parts:
            self.broke += [f"{part.spec['name']}: {text}" for text in part.told.get("errors", ())]
            with Path(part.spec["records"]).open("rb") as file:
                self.sightings += read(file)
        return Outcome(self.sightings, self.broke, self.counts, self.notes)

    def _end(self) -> None:
        for controller in self.controllers:
            if controller.process is not None and controller.process.poll() is None:
                controller.process.kill()
                controller.process.wait()
        for part in self.parts:
            part.close()
        shutil.rmtree(self.shim, ignore_errors=True)

    def _take_port(self) -> int:
        """Take a base port that no other rig has, and no dead process' connections hold."""
        for port in range(PORT_FIRST + os.getpid() % 1000 * PORTS, PORT_LAST, PORTS):
            try:
                self._lock = self.loop.listen(Address(LOCK_HOST, port), 1)
            except OSError:
                continue
            return port
        raise RigFailed("no ports are free for a rig")

    def _day(self) -> None:
        plan, loop = self.plan, self.loop
        began = time.monotonic()
        self.addresses = Addresses(self._take_port(), relayed=True)
        self.book = Book(plan, self.addresses.executor_for, 0.0)
        self._start_parts()
        self._wait(lambda part: part.told.get("ready"), READY_S, "are not ready")
        self.said(f"{len(self.parts)} processes of the rig ready after {time.monotonic() - began:.1f} s")
        began = time.monotonic()
        self.controllers = [Controller(self, c.number) for c in plan.controllers]
        starts = [loop.spawn(self._start_some, place, name="rig: start") for place in range(STARTED_AT_ONCE)]
        for task in starts:
            task.join()
        self.notes["start_s"] = time.monotonic() - began
        self.said(f"{len(self.controllers)} controllers ready after {self.notes['start_s']:.1f} s")
        self.start_ms = loop.now() + BEFORE_MS
        epoch = (time.time() * 1000.0) + BEFORE_MS
        self.book = Book(plan, self.addresses.executor_for, epoch)
        for part in self.parts:
            part.say({"start_ms": self.start_ms, "epoch_ms": epoch})
        script = loop.spawn(self._script, name="rig: script")
        loop.spawn(self._tell, name="rig: progress")
        self._wait(
            lambda part: part.told.get("done") or part.spec["role"] != "clients",
            (plan.day.file.length_ms + OVER_MS) / 1000.0,
            "do not end",
        )
        self.over = True
        script.cancel()
        loop.sleep(AFTER_MS)
        for controller in self.controllers:
            controller.finish()
        for controller in self.controllers:
            until = time.monotonic() + END_S
            while controller.process.poll() is None and time.monotonic() < until:
                loop.sleep(20.0)
            controller.ended()
        for part in self.parts:
            part.say({"end": True})
        self._wait(lambda part: part.told.get("ended"), READY_S, "do not end")

    def _start_parts(self) -> None:
        plan = self.plan
        shared = {"day": str(plan.day.file), "seed": plan.seed, "port": self.addresses.port}

        def add(role: str, number: int, **more: Any) -> None:
            name = f"{role}-{number}"
            spec = shared | {"role": role, "name": name, "records": str(self.folder / f"{name}.records")}
            self.parts.append(Part(self.loop, spec | more, self.folder / f"{name}.log"))

        count, slots = len(plan.controllers), len(plan.slots)
        for number, first in enumerate(range(0, count, MEMBERS)):
            members = list(range(first, min(first + MEMBERS, count)))
            add("relay", number, members=members, post=number == 0 and plan.day.file.controllers.peers)
        for number, first in enumerate(range(0, slots, SLOTS)):
            add("executors", number, members=list(range(first, min(first + SLOTS, slots))))
        add("channel", 0)
        add("clients", 0)

    def _wait(self, good: Callable[[Part], Any], within_s: float, why: str) -> None:
        until = time.monotonic() + within_s
        while True:
            for part in self.parts:
                part.look()
            for controller in self.controllers:
                controller.alive()
            if all(good(part) for part in self.parts):
                return
            if time.monotonic() > until:
                late = [part.spec["name"] for part in self.parts if not good(part)]
                raise RigFailed(f"{', '.join(late)} {why} within {within_s:.0f} s")
            self.loop.sleep(20.0)

    def _start_some(self, first: int) -> None:
        """Start every sixteenth controller and wait until it is well."""
        for controller in self.controllers[first::STARTED_AT_ONCE]:
            controller.start()
            until = time.monotonic() + READY_S
            while not self._well(controller.number):
                if not controller.alive() or time.monotonic() > until:
                    raise RigFailed(f"{controller.name} does not start; see its log in {self.folder}")
                self.loop.sleep(30.0)
            self.note(Process(-1.0, controller.number, "ready"))

    def _well(self, number: int) -> bool:
        stream = None
        try:
            with self.loop.deadline(1000.0):
                stream = self.loop.connect(self.addresses.controller(number))
                stream.write(msgpack.packb([0, 1, "isWell", [{}]]))
                return msgpack.unpackb(stream.read()) == [1, 1, None, [True, {}]]
        except (ConnectFailed, StreamReset, DeadlineExceeded, ValueError):
            return False
        finally:
            if stream is not None:
                stream.close()

    def _tell(self) -> None:
        """Say how far the day is."""
        while not self.over:
            self.loop.sleep(PROGRESS_MS)
            length = self.plan.day.file.length_ms
            self.said(f"{min(self.clock(), length) / 1000.0:.0f} of {length / 1000.0:.0f} s played")

    def _script(self) -> None:
        for step in self.plan.steps:
            self.loop.sleep(max(0.0, step.at_ms - self.clock()))
            self.controllers[step.controller].do(step)


def scratch() -> Path:
    """Return a new folder for a rig's files."""
    return Path(tempfile.mkdtemp(prefix="fennelwind-fleet-"))
