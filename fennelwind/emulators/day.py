"""Plays a scripted day: engines, discovery, clients and faults around a controller, all wires recorded."""

import math
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

from google.protobuf import text_format

from fennelwind.config import settings_pb2 as pb
from fennelwind.emulators import script_pb2 as sc
from fennelwind.emulators.client import Ask, Client
from fennelwind.emulators.discovery import Discovery, Listed
from fennelwind.emulators.engine import Engine
from fennelwind.emulators.model import Machine
from fennelwind.loop import Address, DeadlineExceeded, Loop, Task
from fennelwind.thrift.codec import Malformed
from fennelwind.thrift.transport import BUFFERED, FRAMED, SASL

HERE = "127.0.0.1"
TRANSPORTS = (SASL, BUFFERED, FRAMED)  # clients take them in turn
IMPATIENT = 0.25  # of the usual time-out


def load_script(path: str | Path) -> sc.Script:
    """Read a script. Raises `ValueError` with line and column, and `OSError`."""
    try:
        return text_format.Parse(Path(path).read_text(encoding="utf-8"), sc.Script())
    except text_format.ParseError as exc:
        raise ValueError(f"{path}:{exc}") from None


@dataclass(slots=True)
class Tally:
    """What the clients made of it."""

    asked: int = 0
    ends: dict[str, int] = field(default_factory=dict)
    broken: int = 0  # connections that broke under a query
    no_connection: int = 0  # arrivals that found all connections in use


class Day:
    """A day's stand-ins. `start` before the controller starts, `play` once it listens."""

    def __init__(self, loop: Loop, script: sc.Script, settings: pb.Settings, wrap: Callable) -> None:
        self.loop, self.script, self.settings, self.wrap = loop, script, settings, wrap
        self.tally = Tally()
        self.discovery = Discovery(loop, Address(HERE, 0), wrap)
        self.discovery.delay_ms = script.discovery_delay_ms
        self.engines: list[Engine] = []
        self.falls: list[str] = []
        self.burst = 1.0
        self._listed: dict[str, Listed] = {}
        self._idle: list[Client] = []
        self._open = 0
        self._number = 0
        self.random = Random(script.seed)

    def start(self) -> None:
        """Start engines and discovery."""
        kinds, rules = {k.name: k for k in self.settings.kinds}, self.settings.rules
        for group in self.script.engines:
            for _ in range(group.count):
                kind = kinds[group.kind]
                engine = Engine(
                    self.loop,
                    Address(HERE, 0),
                    Machine(
                        kind.cores,
                        group.memory_mb or 16384.0,
                        rules.cold_share,
                        rules.cold_ms,
                        rules.fall_multiple,
                        rules.fall_ms,
                    ),
                    max_sessions=group.max_sessions or 400,
                    note_ms=self.settings.traits.note_ms,
                    tells_cost=self.settings.traits.tells_cost,
                    wrap=self.wrap,
                )
                engine.start(cold=False)
                engine.on_fall = lambda e: self.falls.append(e.name)
                self.engines.append(engine)
                listed = Listed(engine.name, zone=group.zone or "default", kind=group.kind, cell=group.cell)
                self._listed[engine.name] = self.discovery.listed[engine.name] = listed
        self.discovery.start()

    def play(self, controller: Address) -> None:
        """Play the day; return when it is over and every client has its answer."""
        self._controller = controller
        begin = self.loop.now()
        for fault in self.script.faults:
            self.loop.at(begin + fault.at_ms, lambda f=fault: self.loop.spawn(self._fault, f, name="fault"))
        makers = [
            self.loop.spawn(
                self._arrivals, load, Random(self.random.random()), begin, name=f"load {load.query_class}"
            )
            for load in self.script.loads
        ]
        asks: list[Task] = []
        for maker in makers:
            asks += maker.join()
        for task in asks:
            task.join()
        for client in self._idle:
            client.close()
        self._idle.clear()

    def _arrivals(self, load: sc.Load, random: Random, begin: float) -> list[Task]:
        tasks = []
        at, end = begin, begin + self.script.length_ms
        while True:
            at += random.expovariate(load.per_s * self.burst) * 1000.0
            if at >= end:
                return tasks
            self.loop.sleep(max(0.0, at - self.loop.now()))
            ask = self._make(load, random)
            tasks.append(self.loop.spawn(self._ask, ask, name="client"))
            if len(tasks) > 5000:
                tasks = [task for task in tasks if not task.done]

    def _make(self, load: sc.Load, random: Random) -> Ask:
        self._number += 1
        work = load.work_ms * math.exp(random.gauss(0.0, load.spread) - load.spread**2 / 2)
        estimate = work * math.exp(random.gauss(0.0, load.estimate_spread))
        timeout = load.timeout_ms * (IMPATIENT if random.random() < load.impatient_share else 1.0)
        tables = int(random.random() ** 3 * load.tables) if load.tables else -1
        overlay = {
            "standin.tag": f"q{self._number}",
            "standin.class": load.query_class,
            "standin.work_ms": f"{work:.3f}",
            "standin.threads": str(load.threads),
            "standin.memory_mb": f"{load.memory_mb:.0f}",
            "standin.tables": str(tables),
            "standin.rows": str(load.rows),
            "fennelwind.work_ms": f"{estimate:.3f}",
            "fennelwind.timeout_ms": f"{timeout:.0f}",
        }
        if load.memory_mb:
            overlay["fennelwind.memory_mb"] = f"{load.memory_mb:.0f}"
        if tables >= 0:
            overlay["fennelwind.tables"] = str(tables)
        if load.keys:
            overlay["fennelwind.key"] = f"{load.query_class}-{random.randrange(load.keys)}"
        later = random.random() < load.async_share
        cancel = random.random() * timeout / 4 if later and random.random() < load.cancel_share else None
        return Ask(load.statement, timeout, overlay, later, cancel)

    def _ask(self, ask: Ask) -> None:
        client = None
        try:
            client = self._take()
            if client is None:
                self.tally.no_connection += 1
                return
            self.tally.asked += 1
            end, _ = client.ask(ask)
            self.tally.ends[end] = self.tally.ends.get(end, 0) + 1
            if end != "unanswered":
                self._idle.append(client)
                client = None
        except (OSError, Malformed):
            self.tally.broken += 1
        finally:
            if client is not None:
                self._open -= 1
                client.close()

    def _take(self) -> Client | None:
        while self._idle:
            client = self._idle.pop()
            if not client.stream.broken():
                return client
            self._open -= 1
            client.close()
        if self._open >= self.script.connections:
            return None
        self._open += 1
        transport = TRANSPORTS[self._open % len(TRANSPORTS)]
        client = Client(self.loop, self._controller, transport, f"desk{self._open % 7}", self.wrap)
        try:
            client.open()
        except (OSError, Malformed, DeadlineExceeded):
            self._open -= 1
            raise
        return client

    # Faults.

    def _fault(self, fault: sc.Fault) -> None:
        kind = sc.Fault.Kind.Name(fault.kind)
        engines = [self.engines[n] for n in fault.engines]
        if kind == "BURST":
            self.burst = fault.factor
            self.loop.sleep(fault.for_ms)
            self.burst = 1.0
        elif kind == "DISCOVERY_SILENT":
            self.discovery.stop()
            self.loop.sleep(fault.for_ms)
            self.discovery.start()
        elif kind == "CRASH":
            for engine in engines:
                engine.crash()
            self.loop.sleep(fault.for_ms)
            for engine in engines:
                self._restart(engine)
        elif kind == "DRAIN":
            self._tell(engines, state="draining")
            self.loop.sleep(fault.for_ms)
            self._tell(engines, state="gone")
            for engine in engines:
                engine.crash()
            self.loop.sleep(fault.for_ms)
            for engine in engines:
                self._restart(engine)
        elif kind == "SLOW":
            for engine in engines:
                engine.set_slow(fault.factor)
            self.loop.sleep(fault.for_ms)
            for engine in engines:
                engine.set_slow(1.0)
        elif kind == "REPORT_LATE":
            for engine in engines:
                engine.faults.late_ms = fault.late_ms
            self.loop.sleep(fault.for_ms)
            for engine in engines:
                engine.faults.late_ms = 0.0
        else:
            label = kind.lower()
            for engine in engines:
                setattr(engine.faults, label, True)
            self.loop.sleep(fault.for_ms)
            for engine in engines:
                setattr(engine.faults, label, False)

    def _restart(self, engine: Engine) -> None:
        engine.start(cold=True)
        self._tell([engine], state="ready", launched_ms=self.loop.now())

    def _tell(self, engines: list[Engine], **changes) -> None:
        for engine in engines:
            old = self._listed[engine.name]
            told = {name: getattr(old, name) for name in Listed.__slots__} | changes
            self._listed[engine.name] = Listed(**told)
        self.discovery.change(*(self._listed[e.name] for e in engines))
