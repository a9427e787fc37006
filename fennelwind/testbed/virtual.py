"""A day in virtual time: every controller is a `Node` on a host of its own, in one process.

Nodes, stand-ins and faults are those of the processes' rig; the same seed gives the same day, to the byte.
"""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Protocol

from fennelwind import policy
from fennelwind.audit.observations import Process, Sighting, Usage
from fennelwind.dispatch.ledger import Entry
from fennelwind.dispatch.types import AttemptEnd
from fennelwind.loop import Address, Stream
from fennelwind.loop.sim_network import Host, Path, World
from fennelwind.node.config import read_config
from fennelwind.node.lifecycle import Node
from fennelwind.testbed.addresses import Addresses
from fennelwind.testbed.links import Links
from fennelwind.testbed.plan import CHANNEL, FOREVER, Plan, Step, clients_of
from fennelwind.testbed.settings import Book, config_text
from fennelwind.testbed.stage import ChannelStage, ClientStage, ExecutorStage

PORT = 9090
BEFORE_MS = 1000.0  # ms that everybody has to start in
START_MS = 150.0  # ms that a process takes to start; Python's own start, as measured on sockets
OVER_MS = 120_000.0  # ms after the last request by which every client has ended, or the rig is at fault
AFTER_MS = 2000.0  # ms after the last request has ended, for what is still to settle
UNIX_MS = 1.8e12  # the day's start on the clocks; any would do


class Decides(Protocol):
    """What takes the module's place in a driver."""

    def step(self, now_ms: float, events: list[policy.Event]) -> list[policy.Action]:
        """Take the time and events; return actions."""


MakeDecider = Callable[[policy.Settings, int, "Virtual"], Decides]


class Shifted:
    """The day's ways, by the world's clock, which starts a little earlier."""

    def __init__(self, links: Links, before: float) -> None:
        self.links, self.before = links, before

    def path(self, now: float, source: str, target: str) -> Path:
        """Return how a way is."""
        return self.links.path(now - self.before, source, target)

    def next_change(self, now: float) -> float:
        """Return when any way changes next."""
        return self.links.next_change(now - self.before) + self.before


class Quiet:
    """An observer that counts."""

    def __init__(self) -> None:
        self.broke: list[str] = []
        self.ends: Counter[str] = Counter()

    def write(self, sort: str, text: str, most: int = 0) -> None:
        """Drop a line."""

    def logged(self, text: str) -> None:
        """Drop a note."""

    def answered(self, entry: Entry) -> None:
        """Drop a final answer; clients note them."""

    def attempted(self, entry: Entry, number: int, engine: str, end: AttemptEnd, took_ms: float) -> None:
        """Count an attempt's end."""
        self.ends[end.status] += 1

    def failed(self, where: str, exc: BaseException) -> None:
        """Keep what broke and should not have."""
        self.broke.append(f"{where}: {type(exc).__name__}: {exc}")


@dataclass(slots=True)
class Outcome:
    """What a day left behind, whichever rig played it."""

    sightings: list[Sighting]
    broke: list[str] = field(default_factory=list)  # exceptions, books that do not agree, crashes
    ends: Counter[str] = field(default_factory=Counter)  # attempts as the controllers saw them end
    notes: dict[str, Any] = field(default_factory=dict)  # of the rig itself


class Controller:
    """A controller's process in virtual time."""

    def __init__(self, fleet: "Virtual", number: int) -> None:
        self.fleet, self.number = fleet, number
        self.host: Host | None = None
        self.node: Node | None = None
        self.lives = 0
        self.second_channel = False

    def start(self) -> None:
        """Start a life that remembers nothing."""
        fleet, plan = self.fleet, self.fleet.plan
        address = fleet.addresses.controller(self.number)
        told = plan.controllers[self.number]
        self.host = fleet.world.host(
            told.name,
            address.host,
            clock_ms=UNIX_MS + told.clock_ms,
            turn_ms=plan.day.file.controllers.turn_us / 1000.0,
        )
        self.host.on_error = self._broke
        config = read_config(self.config())
        self.node = node = Node(self.host, config, fleet.log)
        if fleet.make is not None:
            node.driver.gateway = fleet.make(config.settings, config.seed, fleet)
        self.lives += 1
        fleet.note(Process(fleet.clock(), self.number, "started"))
        self.host.start(node.start)

    def config(self) -> str:
        """Return its configuration as of now."""
        fleet = self.fleet
        known = fleet.book.known(self.number, fleet.clock())
        return config_text(
            fleet.plan,
            self.number,
            listen=fleet.addresses.controller(self.number),
            channel=fleet.addresses.channel_for(self.number, self.second_channel),
            peers=[fleet.addresses.peer_for(c.number) for c in fleet.plan.controllers],
            peers_all=fleet.addresses.peers_all(),
            known=known,
            start=self.lives,
            salt=fleet.salt,
        )

    def _broke(self, task: Any, exc: Exception) -> None:
        self.fleet.log.failed(f"n{self.number} {task.name}", exc)

    def close(self, why: str) -> None:
        """Look at the books of the life that ends, then end it."""
        if self.host is None or self.host.dead:
            return
        driver, stopped = self.node.driver, self.number in self.fleet.plan.stopped
        if (
            not driver.ledger.is_balanced()
            or driver.step_errors
            or driver.unanswered_by_policy
            and not stopped
        ):
            self.fleet.log.broke.append(
                f"n{self.number}: books agree {driver.ledger.is_balanced()}, "
                f"step errors {driver.step_errors}, "
                f"forgotten {driver.unanswered_by_policy}"
            )
        self.fleet.note(Process(self.fleet.clock(), self.number, why))
        self.host.kill()

    def do(self, step: Step) -> None:
        """Carry out a step of the plan."""
        fleet, host = self.fleet, self.host
        if host is None or host.dead:
            return
        match step.verb:
            case "kill":
                self.close("kill")
                if step.back_ms >= 0.0:
                    fleet.later(max(step.back_ms, START_MS), self.start)
            case "term":
                fleet.note(Process(fleet.clock(), self.number, "term"))
                task = host.start(self.node.leave)
                fleet.world.rig.spawn(self._leave, task, step, name="rig: leave")
            case "stop":
                fleet.note(Process(fleet.clock(), self.number, "stop"))
                host.stop(FOREVER)
            case "cont":
                fleet.note(Process(fleet.clock(), self.number, "cont"))
                host.go_on()
            case "hup":
                self.second_channel = True
                fleet.note(Process(fleet.clock(), self.number, "hup"))
                host.start(self.node.reload, self.config())

    def _leave(self, task: Any, step: Step) -> None:
        rig = self.fleet.world.rig
        while not task.done and not self.host.dead:
            rig.sleep(25.0)
        self.close("ended")
        if step.back_ms >= 0.0:
            rig.sleep(max(START_MS, step.at_ms + step.back_ms - self.fleet.clock()))
            self.start()


class Virtual:
    """One day; `play` returns what it left behind. `make` puts something else in the module's place."""

    def __init__(self, plan: Plan, *, make: MakeDecider | None = None, salt: str = "") -> None:
        self.plan, self.make, self.salt = plan, make, salt
        self.addresses = Addresses(PORT, relayed=False)
        self.world = World(f"{plan.seed}/{salt}", Shifted(plan.links(), BEFORE_MS))
        self.book = Book(plan, self.addresses.executor_for, UNIX_MS + BEFORE_MS)
        self.sightings: list[Sighting] = []
        self.note = self.sightings.append
        self.log = Quiet()
        self.before_ms = BEFORE_MS
        self.truth: Any = None  # who watches what the stand-ins see, if anybody does
        self.controllers: list[Controller] = []
        self.executors: list[ExecutorStage] = []

    def watch(self, truth: Any) -> None:
        """Let somebody see what the stand-ins see, as it happens."""
        self.truth = truth

        def note(one: Sighting) -> None:
            self.sightings.append(one)
            truth.see(one)

        self.note = note

    def clock(self) -> float:
        """Return the time of the day in ms."""
        return self.world.time - BEFORE_MS

    def later(self, ms: float, call: Callable[[], None]) -> None:
        """Make the call on the rig's own host so much later."""
        self.world.rig.after(ms, call)

    def caller(self, stream: Stream) -> int:
        """Return the number of the controller that is at the other end."""
        return self.addresses.number_of(stream.peer.host)

    def play(self) -> Outcome:
        """Play the day to its end."""
        self.world.run(self._day)
        broke = self.log.broke + [
            f"{host} {task}: {type(exc).__name__}: {exc}" for host, task, exc in self.world.errors
        ]
        notes = {
            "turns": self.world.turns,
            "connections_most": {
                stage.slot: max(stage.most_streams, stage.current.most_streams) for stage in self.executors
            },
        }
        return Outcome(self.sightings, broke, self.log.ends, notes)

    def _day(self) -> None:
        plan, world, shared = self.plan, self.world, {"note": self.note, "clock": self.clock}
        channel_host = world.host(CHANNEL, self.addresses.channel(False).host)
        channel = ChannelStage(
            channel_host,
            plan,
            (self.addresses.channel(False), self.addresses.channel(True)),
            self.book.told,
            caller=self.caller,
            **shared,
        )
        channel_host.start(channel.prepare)
        for slot in plan.slots:
            address = self.addresses.executor(slot.number)
            host = world.host(slot.name, address.host)
            stage = ExecutorStage(host, plan, slot.number, address, caller=self.caller, **shared)
            self.executors.append(stage)
            host.start(stage.prepare)
        self.controllers = [Controller(self, c.number) for c in plan.controllers]
        for controller in self.controllers:
            controller.start()
        world.rig.sleep(BEFORE_MS - world.time)
        channel_host.start(channel.play)
        for stage in self.executors:
            stage.loop.start(stage.play)
        clients = []
        for place, zone in enumerate(plan.day.file.zones):
            host = world.host(clients_of(zone.name), self.addresses.clients(place))
            stage = ClientStage(host, plan, zone.name, self._where, **shared)
            clients.append((host, host.start(stage.play)))
        world.rig.spawn(self._script, name="rig: script")
        end = plan.day.file.length_ms
        while self.clock() < end or any(not task.done for _, task in clients):
            if self.clock() > end + OVER_MS:
                raise RuntimeError("clients of the rig wait for ever")
            world.rig.sleep(100.0)
        world.rig.sleep(AFTER_MS)
        for controller in self.controllers:
            controller.close("ended")
        self.note(Usage(self.clock(), "world", 0.0, 0.0, 0.0))

    def _where(self, number: int) -> Address:
        return self.addresses.controller(number)

    def _script(self) -> None:
        for step in self.plan.steps:
            self.world.rig.sleep(max(0.0, step.at_ms - self.clock()))
            self.controllers[step.controller].do(step)
