"""A rig of whole programs: controllers with council, moves and gate as processes, and what is around them.

Members and followers are `fennelwind serve` (`wholework`), each with settings as an operator writes them: the
same addresses of members and engines for all. Engines with disks, discovery and clients are stand-ins in the
rig's own process, so that all wires are recorded by one clock. Each way from a controller to a member or an
engine goes by a relay; an engine knows who comes by the host from which the relay connects.
"""

import resource
from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from google.protobuf import text_format

from fennelwind.audit import Recorder
from fennelwind.cluster.errors import ClusterError
from fennelwind.cluster.raft_client import RaftClient
from fennelwind.config import settings_pb2 as pb
from fennelwind.emulators.client import Ask, Client
from fennelwind.emulators.discovery import Discovery, Listed
from fennelwind.emulators.engine import Engine
from fennelwind.emulators.model import Machine
from fennelwind.emulators.shelves import Content, Shelf
from fennelwind.engines.connection import EngineConnection, RemoteError
from fennelwind.leases.state_machine import LeaseStateMachine
from fennelwind.loop import Address, DeadlineExceeded, Stream, StreamReset, Task
from fennelwind.schema_compatibility.state_machine import SchemaStateMachine
from fennelwind.shards.state_machine import ShardMachine
from fennelwind.testbed.councilrig import LOOK_MS, CouncilRig
from fennelwind.testbed.relay import Row
from fennelwind.testbed.wholeday import End, Query, traffic, verdict
from fennelwind.thrift import hiveserver2 as hs2
from fennelwind.thrift.codec import Malformed
from fennelwind.thrift.transport import SASL

TEMPLATE = Path(__file__).parent / "templates" / "whole.settings.txtpb"
ENGINES, CLIENTS, DISCOVERY = 23, 24, 25  # second octets of hosts
ENGINE_WAY = 200  # and the engine's number: the last octet of a controller's way to it
COUNCIL = {"heartbeat_ms": 100.0, "election_ms": 800.0, "handover_ms": 1000.0, "reserve_bytes": 1 << 20}
KIND = "node-8"  # of the template
SIZE, DISK = 100, 1000  # bytes of a shard and of an engine's disk, as good as any
ASK_MS = 5000.0  # ms for one look at the record
AGAIN_MS = 100.0  # ms until a client asks another controller
TRIES_MOST = 50  # controllers that a client asks for one query
QUICK = {  # constants of a short play: the same order among them as the product's have
    "fennelwind.cluster.shard_migration:LEASE_TERM_MS": 6000,
    "fennelwind.cluster.shard_migration:SHORT_STATEMENT_TIMEOUT_MS": 1500.0,
    "fennelwind.cluster.shard_migration:ENGINE_CHECK_INTERVAL_MS": 300.0,
    "fennelwind.cluster.shard_migration:LIST_RETRY_MS": 500.0,
    "fennelwind.cluster.schema_rollout:LEASE_TERM_MS": 6000,
    "fennelwind.cluster.schema_rollout:STATEMENT_TIMEOUT_MS": 1500.0,
    "fennelwind.cluster.schema_rollout:STOP_TIMEOUT_MS": 1000.0,
    "fennelwind.cluster.raft_host:LEVEL_CHECK_MS": 300.0,
    "fennelwind.shards.state_machine:ShardMachine.rest_ms": 4000,
}
TIMING = {
    "drop_ms": 2000.0,
    "check_ms": 3000.0,
    "copy_ms": 6000.0,
    "slowest": 1.0,
    "slack_ms": 500.0,
    "finish_ms": 2000.0,
    "again_ms": 200.0,
    "plan_ms": 300.0,
}


@dataclass(slots=True, frozen=True)
class Told:
    """What became of a publisher's statement."""

    state: str  # an SQLSTATE; "": it went well
    text: str


class WholeRig(CouncilRig):
    """Members, followers, engines with shards on their disks, and traffic."""

    WORK = "fennelwind.testbed.wholework"

    def __init__(
        self,
        folder: Path,
        members: int = 3,
        followers: int = 1,
        engines: int = 4,
        shards: int = 4,
        copies: int = 2,
        *,
        seed: int = 1,
        direct: bool = False,
        more: dict[str, dict[str, Any]] | None = None,
        constants: dict[str, Any] | None = None,
        timing: dict[str, float] | None = None,
        ms_per_byte: float = 5.0,
        change: Callable[[pb.Settings], None] = lambda settings: None,
    ) -> None:
        """Make it. `more`: of one, into its line; `ms_per_byte`: that a copy takes; `change`: of settings."""
        super().__init__(
            folder,
            members,
            followers,
            seed=seed,
            direct=direct,
            more=more,
            constants=QUICK if constants is None else constants,
            timing=TIMING if timing is None else timing,
        )
        self.engine_names = [f"e{n}" for n in range(engines)]
        self.kinds: dict[str, str] = {}  # of engines that are not of the template's
        self.layout: list[list[str]] | None = None  # by shard, the engines with copies; None: all evenly
        self.shards = [f"sales/day={n}" for n in range(shards)]
        self.copies, self.council, self.clearances = copies, dict(COUNCIL), False
        self.ms_per_byte, self.change = ms_per_byte, change
        self.settings = text_format.Parse(TEMPLATE.read_text("utf-8"), pb.Settings())
        self.staging: dict[str, Content] = {}
        self.engines: dict[str, Engine] = {}
        self.recorders = {name: Recorder(self.loop.now) for name in self.names}
        self.stops: dict[str, list[tuple[float, float]]] = {}
        self.cuts: dict[str, list[tuple[float, float]]] = {}  # ways to engines that are whole again
        self.ends: list[End] = []
        self.logged: list[tuple[str, dict[str, Any]]] = []
        self.closed: dict[str, dict[str, Any]] = {}  # the books of those that ended in order
        self.least: dict[str, int] = {}  # by shard: the fewest whole copies that were ever there
        self._idle: dict[str, list[Client]] = {name: [] for name in self.names}
        self._open: set[Task] = set()
        self._cut: dict[tuple[str, str], float] = {}  # ways to engines, and since when
        self._listed: dict[str, Listed] = {}

    # What is around the processes.

    def host(self, name: str) -> str:
        """Return the host from which a controller's connections come."""
        return self.home(name).host

    def front(self, name: str) -> Address:
        """Where clients find a controller; its metrics are one port further."""
        return Address(f"127.{CLIENTS}.0.{self.names.index(name) + 1}", self.port)

    def engine_at(self, name: str) -> Address:
        """Where an engine listens."""
        return Address(f"127.{ENGINES}.0.{self.engine_names.index(name) + 1}", self.port)

    def way(self, source: str, target: str) -> Address:
        """Where one party finds another."""
        if target not in self.engine_names:
            return super().way(source, target)
        if self.direct:
            return self.engine_at(target)
        return Address(
            super().way(source, source).host.rpartition(".")[0]
            + f".{ENGINE_WAY + self.engine_names.index(target)}",
            self.port,
        )

    def _surround(self) -> list[Row]:
        self.asker = RaftClient(
            self.loop, "rig", "rig", {m: self.home(m) for m in self.members}, f"{self.seed}"
        )
        self._names = {self.host(name): name for name in self.names}
        self.discovery = Discovery(self.loop, Address(f"127.{DISCOVERY}.0.1", self.port), self._wrap)
        for number, name in enumerate(self.engine_names):
            engine = Engine(
                self.loop,
                self.engine_at(name),
                Machine(cores=8),
                max_sessions=10_000,
                note_ms=self.settings.traits.note_ms,
                wrap=self._wrap,
            )
            engine.shelf = Shelf(DISK, self.staging, ms_per_byte=self.ms_per_byte)
            engine.schemas.run("CREATE TABLE IF NOT EXISTS sales.orders (id bigint, total decimal(10,2))")
            self.engines[name] = engine
            self._start_engine(name, cold=False)
            self.tell(name, zone=("hall-a", "hall-b")[number % 2], kind=self.kinds.get(name, KIND))
        engines = len(self.engine_names)
        for number, shard in enumerate(self.shards):
            homes = (
                self.layout[number]
                if self.layout is not None
                else [self.engine_names[(number + copy) % engines] for copy in range(self.copies)]
            )
            for home in homes:
                self.engines[home].shelf.held[shard] = self.content(shard)
        self.discovery.start()
        self.loop.spawn(self._count_copies, name="rig: copies")
        rows = [
            Row(self.way(a, b), a, b, self.home(b), self.host(a))
            for a in self.names
            for b in self.members
            if a != b
        ]
        return rows + [
            Row(self.way(a, e), a, e, self.engine_at(e), self.host(a))
            for a in self.names
            for e in self.engine_names
        ]

    def _wrap(self, stream: Stream, who: str) -> Stream:
        """Record a connection of a controller's to an engine or to discovery."""
        name = self._names.get(stream.peer.host)
        return stream if name is None else self.recorders[name].wrap(stream, who)

    def content(self, shard: str) -> Content:
        """What a whole copy of a shard holds."""
        number = self.shards.index(shard)
        return Content(10 + number, 77 + number, SIZE)

    def whole(self, shard: str) -> list[str]:
        """Return the engines, by address, on whose disks a whole copy is now."""
        return [e.name for e in self.engines.values() if e.shelf.held.get(shard) == self.content(shard)]

    def _count_copies(self) -> None:
        while True:
            for shard in self.shards:
                self.least[shard] = min(self.least.get(shard, DISK), len(self.whole(shard)))
            self.loop.sleep(LOOK_MS)

    def tell(self, name: str, **changes: Any) -> None:
        """Let discovery tell of an engine as it is now."""
        address = str(self.engine_at(name))
        old = self._listed.get(name, Listed(address, kind=KIND))
        told = {field: getattr(old, field) for field in Listed.__slots__} | changes
        self._listed[name] = Listed(**told)
        self.discovery.change(self._listed[name])

    def _start_engine(self, name: str, cold: bool) -> None:
        self.engines[name].start(cold)

    def crash(self, name: str) -> None:
        """Kill an engine; discovery tells that it has gone."""
        self.engines[name].crash()
        self.tell(name, state="gone")

    def back(self, name: str, empty: bool = False) -> None:
        """Start an engine again, with its disk or an empty one."""
        engine = self.engines[name]
        if empty:
            engine.shelf = Shelf(DISK, self.staging, ms_per_byte=self.ms_per_byte)
        self._start_engine(name, cold=True)
        self.tell(name, state="ready", launched_ms=self.loop.now())

    # Processes.

    def spec(self, name: str) -> dict[str, Any]:
        """Return what a process is told to be; its settings are written."""
        settings = pb.Settings()
        settings.CopyFrom(self.settings)
        settings.listener.address = str(self.front(name))
        settings.metrics_address = str(Address(self.front(name).host, self.port + 1))
        settings.discovery.address = str(self.discovery.address)
        settings.gateways, settings.me = len(self.names), self.names.index(name)
        council = settings.council
        council.fleet, council.me = "rig", name
        for member in self.members:
            council.members.add(name=member, address=str(self.home(member)))
        if name in self.members:
            council.folder = str(self.folder / name)
        for key, value in self.council.items():
            setattr(council, key, value)
        settings.moves.staging, settings.moves.clearances = "/staging", self.clearances
        for shard in self.shards:
            settings.moves.shards.add(name=shard, size_bytes=SIZE, copies=self.copies)
        self.change(settings)
        path = self.folder / f"{name}.txtpb"
        path.write_text(text_format.MessageToString(settings), "utf-8")
        ways = {str(self.home(m)): str(self.way(name, m)) for m in self.members if m != name}
        ways |= {str(self.engine_at(e)): str(self.way(name, e)) for e in self.engine_names}
        return (
            {
                "name": name,
                "settings": str(path),
                "seed": self.seed * 1000 + self.lives[name],
                "host": self.host(name),
                "ways": ways,
            }
            | self.every
            | self.more.get(name, {})
        )

    def start(self, name: str) -> None:
        """Start a life of a process."""
        if name in self.members:
            (self.folder / name).mkdir(exist_ok=True)
        self.closed.pop(name, None)
        super().start(name)

    def _hear(self, name: str, part: Any) -> None:
        for told in part.hear():
            if "failed" in told:
                self.broke.append(f"{name}: {told['failed']}")
            elif "event" not in told:
                continue
            elif told["event"] == "council":
                self.said.append((name, told["what"], told))
            elif told["event"] == "failed":
                self.broke.append(f"{name}: {told['where']}: {told.get('exception', '')[-600:]}")
            elif told["event"] == "closed":
                self.closed[name] = told
                if not told["balanced"] or told["second_answers"] or told["forgotten"] or told["step_errors"]:
                    self.broke.append(f"{name}: {told}")
            else:
                self.logged.append((name, told))

    def end(self, *names: str) -> None:
        """End processes by SIGTERM, as an operator does, all of them at once; none named: all there are."""
        ending = {name: self.parts.pop(name) for name in names or list(self.parts)}
        for part in ending.values():
            part.process.terminate()
        for name, part in ending.items():
            self.until(lambda name=name, part=part: self._heard_end(name, part), f"{name} ends")
            part.close()

    def _heard_end(self, name: str, part: Any) -> bool:
        self._hear(name, part)
        return part.ended

    @contextmanager
    def standing_still(self, name: str) -> Iterator[None]:
        """Stop a process for a while; what it owes its clients meanwhile is known to the verdict."""
        began = self.loop.now()
        self.stop(name)
        try:
            yield
        finally:
            self.go_on(name)
            self.stops.setdefault(name, []).append((began, self.loop.now()))

    def cut(self, some: Iterable[str], others: Iterable[str], both: bool = True) -> None:
        """Let nothing pass between two groups; with `both` false, nothing from the first to the second."""
        some, others = list(some), list(others)
        super().cut(some, others, both)
        for name in some:
            for engine in others:
                if engine in self.engine_names:
                    self._cut.setdefault((name, engine), self.loop.now())

    def heal(self) -> None:
        """Open all ways."""
        super().heal()
        for name, engine in list(self._cut):
            self._whole(name, engine)

    def open(self, some: Iterable[str], others: Iterable[str]) -> None:
        """Open the ways between two groups."""
        for a, b in [(a, b) for a in some for b in others]:
            self.ways.now.pop((a, b), None)
            self.ways.now.pop((b, a), None)
            self._whole(a, b)

    def _whole(self, name: str, engine: str) -> None:
        began = self._cut.pop((name, engine), None)
        if began is not None:
            self.cuts.setdefault(f"{name} {self.engine_at(engine)}", []).append((began, self.loop.now()))

    def limit_files(self, name: str, size: int | None) -> None:
        """Let no file of a process grow beyond a size; None: let them again."""
        pid = self.parts[name].process.pid
        hard = resource.prlimit(pid, resource.RLIMIT_FSIZE)[1]
        resource.prlimit(pid, resource.RLIMIT_FSIZE, (hard if size is None else size, hard))

    # What controllers tell.

    def gauges(self, name: str) -> dict[str, float]:
        """Return a controller's metrics; none where it does not answer."""
        found: dict[str, float] = {}
        try:
            with self.loop.deadline(ASK_MS):
                stream = self.loop.connect(Address(self.front(name).host, self.port + 1))
                try:
                    stream.write(b"GET /metrics HTTP/1.1\r\nhost: x\r\n\r\n")
                    data = b""
                    while more := stream.read():
                        data += more
                finally:
                    stream.close()
        except (OSError, DeadlineExceeded):
            return found
        for line in data.decode("utf-8").splitlines():
            key, _, value = line.rpartition(" ")
            if line.startswith("fennelwind") and value:
                found[key.removeprefix("fennelwind_")] = float(value)
        return found

    def ready(self) -> None:
        """Wait until every running controller takes queries and the record is there."""
        for name in list(self.parts):
            self.until(lambda name=name: self.gauges(name), f"{name} answers")
        self.leader()
        for name in list(self.parts):  # a copy is good once it was checked, and a view may be 5 s old
            self.until(
                lambda name=name: self.gauges(name).get("council_shards_readable") == len(self.shards),
                f"{name} knows the copies",
            )

    def leader(self, among: Any = None) -> str:
        """Wait for a leader; return its name."""

        def one() -> str:
            asked = among or [name for name in self.members if name in self.parts]
            told = {name: self.gauges(name) for name in asked}
            leading = [(g["council_term"], name) for name, g in told.items() if g.get("council_leads")]
            return max(leading)[1] if leading else ""

        return self.until(one, "a leader")

    # The record.

    def _machine(self, machine: Any) -> Any:
        def state() -> Any:
            try:
                return (self.asker.read(machine.name, within_ms=ASK_MS).state,)
            except ClusterError:
                return None

        machine.restore(self.until(state, f"the record's {machine.name}")[0])
        return machine

    def shard_machine(self) -> ShardMachine:
        """Return the record's shards and moves as of now."""
        return self._machine(ShardMachine())

    def contracts(self) -> SchemaStateMachine:
        """Return the record's schemas and changes as of now."""
        return self._machine(SchemaStateMachine())

    def holder_of(self, task: str) -> str:
        """Return who holds a lease now; "": nobody."""
        view = self._machine(LeaseStateMachine()).view(task)
        return view.holder if view is not None else ""

    def settled(self) -> bool:
        """Tell whether nothing moves, all needs are met, and disks are as the record says."""
        machine, ready = self.shard_machine(), [e.engine for e in self._listed.values() if e.state == "ready"]
        good = {shard: list(machine.good(shard)) for shard in self.shards}
        return (
            not machine.moves
            and all(
                len(found) == self.copies
                and set(found) <= set(ready)
                and set(found) == set(self.whole(shard))
                for shard, found in good.items()
            )
            and all(
                set(e.shelf.held) == {shard for shard in self.shards if e.name in good[shard]}
                for name, e in self.engines.items()
                if self._listed[name].state != "gone"
            )
        )

    # Clients.

    def traffic(self, per_s: float, for_ms: float | None = None) -> Task:
        """Let clients ask from now on, for so long or until the task is cancelled."""
        return self.loop.spawn(self._traffic, per_s, for_ms, name="rig: traffic")

    def _traffic(self, per_s: float, for_ms: float | None) -> None:
        began = self.loop.now()
        for query in traffic(self.seed, per_s, self.shards):
            if for_ms is not None and query.at_ms > for_ms:
                return
            self.loop.sleep(max(0.0, began + query.at_ms - self.loop.now()))
            self._open.add(self.loop.spawn(self._put, query, name="rig: client"))

    def finish(self, traffic_: Task) -> None:
        """Let clients ask no more; wait for all that are open."""
        traffic_.cancel()
        for task in list(self._open):
            task.join()
        self._open.clear()
        for idle in self._idle.values():
            while idle:
                idle.pop().close()

    def _put(self, query: Query) -> None:
        """Put a query to one controller after the other, until one answers that is not about to end."""
        began, how, tries = self.loop.now(), "no controller", 0
        number = query.first % len(self.names)
        while tries < TRIES_MOST and how in ("no controller", "broken", "closing"):
            name = self.names[(number + tries) % len(self.names)]
            tries += 1
            how = self._put_to(name, query, f"q{query.number}.{tries}")
            if how == "error" and name not in self.parts:
                how = "closing"  # it gives all that is open its final answer when it ends
            if how != "served":
                self.loop.sleep(AGAIN_MS)
        self.ends.append(End(query, how, self.loop.now() - began, tries))

    def _put_to(self, name: str, query: Query, tag: str) -> str:
        told = query.ask
        ask = Ask(told.statement, told.timeout_ms, told.overlay | {"standin.tag": tag}, told.asynchronous)
        client = None
        try:
            client = self._client(name)
            how, _ = client.ask(ask)
        except (OSError, Malformed, DeadlineExceeded):
            how = "no controller" if client is None else "broken"
        if client is not None and how in ("served", "error"):
            self._idle[name].append(client)
        elif client is not None:
            client.close()
        return how

    def _client(self, name: str) -> Client:
        idle = self._idle[name]
        while idle:
            client = idle.pop()
            if not client.stream.broken():
                return client
            client.close()
        wrap = self.recorders[name].wrap
        client = Client(self.loop, self.front(name), SASL, "desk", wrap)
        try:
            client.open()
        except BaseException:
            client.close()
            raise
        return client

    def publish(self, name: str, columns: str, version: int = 0, back: str = "", seconds: int = 60) -> Told:
        """Have a table's schema changed by a controller; wait for its answer."""
        link = EngineConnection(self.loop, self.front(name), SASL, "orders-load")
        overlay = {
            "fennelwind.publisher": "orders-load",
            "fennelwind.schema.sales.orders": columns,
            "fennelwind.schema_version.sales.orders": str(version),
        }
        if back:
            overlay["fennelwind.back"] = f"ALTER TABLE sales.orders REPLACE COLUMNS ({back})"
        try:
            with self.loop.deadline(seconds * 1000.0 + ASK_MS):
                link.open()
                link.call(
                    "ExecuteStatement",
                    hs2.TExecuteStatementReq(
                        sessionHandle=link.session,
                        confOverlay=overlay,
                        queryTimeout=seconds,
                        statement=f"ALTER TABLE sales.orders REPLACE COLUMNS ({columns})",
                    ),
                )
        except RemoteError as exc:
            return Told(exc.status.sqlState or "" if exc.status is not None else "?", str(exc))
        except (StreamReset, OSError, DeadlineExceeded, Malformed) as exc:
            return Told("broken", f"{type(exc).__name__}: {exc}")
        finally:
            link.drop()
        return Told("", "")

    def schemas(self) -> list[list[str]]:
        """Return each engine's columns of the table that publishers change."""
        return [[name for name, _ in e.schemas.tables["sales.orders"]] for e in self.engines.values()]

    # The verdict.

    def judge(self) -> tuple[list[str], int, int]:
        """Return what broke of the seven rules, the checks, and the asks that met a stopped controller."""
        wires = {name: recorder.wires for name, recorder in self.recorders.items()}
        return verdict(wires, self.settings, self.stops, self.cuts)

    def absent(self) -> int:
        """Return how many queries were sent to an engine whose disk did not hold their shard whole."""
        return sum(e.counts.absent for e in self.engines.values())

    def pulled(self) -> int:
        """Return how many queries had their shard dropped while they ran."""
        return sum(e.counts.pulled for e in self.engines.values())
