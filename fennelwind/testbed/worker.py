"""One process of a rig: relays, executors, the channel or the clients of a day. Started by `processes`.

It reads what it is to play as a line of JSON, says when it is ready, waits for the day's start, and writes
what it saw to a file when it is told to stop or its rig has gone.
"""

import json
import resource
import sys
from collections.abc import Callable
from typing import Any

from fennelwind.audit.observations import Sighting, Usage, write
from fennelwind.loop import RealLoop, Stream, Task
from fennelwind.testbed import dayfile
from fennelwind.testbed.addresses import Addresses
from fennelwind.testbed.lines import say
from fennelwind.testbed.plan import CHANNEL, Plan, clients_of, make_plan
from fennelwind.testbed.relay import Relay, Row
from fennelwind.testbed.settings import Book
from fennelwind.testbed.stage import ChannelStage, ClientStage, ExecutorStage

PULSE_MS = 50.0  # ms; a relay without faults would set no timer at all
TOLD_MOST = 20.0  # ms between two looks whether the clients have ended


def rows_of(plan: Plan, addresses: Addresses, members: list[int]) -> list[Row]:
    """Return the relay's rows of some controllers: their clients, their executors, their channel."""
    rows = []
    for number in members:
        name, home = plan.controllers[number].name, addresses.controller(number)
        for place, zone in enumerate(plan.day.file.zones):
            rows.append(Row(addresses.controller_for(place, number), clients_of(zone.name), name, home))
        for slot in plan.slots:
            rows.append(
                Row(
                    addresses.executor_for(number, slot.number),
                    name,
                    slot.name,
                    addresses.executor(slot.number),
                    home.host,
                )
            )
        for second in (False, True):
            rows.append(
                Row(
                    addresses.channel_for(number, second), name, CHANNEL, addresses.channel(second), home.host
                )
            )
    return rows


class Worker:
    """What the line asks for."""

    def __init__(self, loop: RealLoop, spec: dict[str, Any]) -> None:
        self.loop, self.spec = loop, spec
        self.plan = make_plan(dayfile.read(spec["day"]), spec["seed"])
        self.addresses = Addresses(spec["port"], relayed=True)
        self.sightings: list[Sighting] = []
        self.errors: list[str] = []
        self.start_ms = float("inf")
        self.epoch_ms = 0.0
        self.parts: list[Any] = []
        loop.on_error = lambda task, exc: self.errors.append(f"{task.name}: {type(exc).__name__}: {exc}")

    def clock(self) -> float:
        """Return the time of the day in ms."""
        return self.loop.now() - self.start_ms

    def caller(self, stream: Stream) -> int:
        """Return the number of the controller at the other end; relays connect from its host."""
        return self.addresses.number_of(stream.peer.host)

    def prepare(self) -> None:
        """Listen. Raises `OSError`."""
        role: Callable[[], None] = getattr(self, f"_{self.spec['role']}")
        role()

    def _relay(self) -> None:
        rows = rows_of(self.plan, self.addresses, self.spec["members"])
        relay = Relay(self.loop, self.plan.links(), rows, self.clock, f"{self.plan.seed}/relay")
        relay.prepare()
        if self.spec["post"]:
            relay.post(
                [
                    (c.name, self.addresses.peer_for(c.number), self.addresses.peer(c.number))
                    for c in self.plan.controllers
                ],
                self.addresses.peers_all(),
            )
        self.parts.append(relay)

    def _executors(self) -> None:
        for slot in self.spec["members"]:
            stage = ExecutorStage(
                self.loop,
                self.plan,
                slot,
                self.addresses.executor(slot),
                note=self.sightings.append,
                clock=self.clock,
                caller=self.caller,
            )
            stage.prepare()
            self.parts.append(stage)

    def _channel(self) -> None:
        books: list[Book] = []

        def told(number: int) -> list[tuple[float, dict[str, Any]]]:
            if not books or books[0].epoch_ms != self.epoch_ms:
                books[:] = [Book(self.plan, self.addresses.executor_for, self.epoch_ms)]
            return books[0].told(number)

        stage = ChannelStage(
            self.loop,
            self.plan,
            (self.addresses.channel(False), self.addresses.channel(True)),
            told,
            note=self.sightings.append,
            clock=self.clock,
            caller=self.caller,
        )
        stage.prepare()
        self.parts.append(stage)

    def _clients(self) -> None:
        for place, zone in enumerate(self.plan.day.file.zones):

            def where(number: int, place: int = place) -> Any:
                return self.addresses.controller_for(place, number)

            self.parts.append(
                ClientStage(
                    self.loop, self.plan, zone.name, where, note=self.sightings.append, clock=self.clock
                )
            )

    def play(self) -> list[Task]:
        """Start to play; return the tasks."""
        return [self.loop.spawn(part.play, name=f"{self.spec['role']}: play") for part in self.parts]

    def finish(self) -> None:
        """Write down what was seen."""
        used = resource.getrusage(resource.RUSAGE_SELF)
        self.sightings.append(
            Usage(
                self.clock(),
                self.spec["name"],
                used.ru_maxrss / 1024.0,
                (used.ru_utime + used.ru_stime) * 1000.0,
                self.loop.worst_delay_ms,
            )
        )
        with open(self.spec["records"], "wb") as file:
            write(file, self.sightings)


def main() -> int:
    """Play one part of a day."""
    loop = RealLoop()

    def run() -> int:
        line = loop.aside(sys.stdin.readline)
        if not line:
            return 1
        worker = Worker(loop, json.loads(line))
        try:
            worker.prepare()
        except OSError as exc:
            say(failed=str(exc))
            return 1
        say(ready=True)
        line = loop.aside(sys.stdin.readline)
        if not line:
            return 1
        told = json.loads(line)
        worker.start_ms, worker.epoch_ms = told["start_ms"], told["epoch_ms"]
        loop.worst_delay_ms = 0.0
        tasks = worker.play()
        loop.spawn(_pulse, loop, name="pulse")
        if worker.spec["role"] == "clients":
            loop.spawn(_tell_end, loop, tasks, name="clients: end")
        loop.aside(sys.stdin.readline)  # a line, or the end of the rig
        worker.finish()
        say(ended=True, errors=worker.errors[:20])
        return 0

    return loop.run(run)


def _pulse(loop: RealLoop) -> None:
    """Set a timer again and again: how late it comes tells whether this process is short of a core."""
    while True:
        loop.sleep(PULSE_MS)


def _tell_end(loop: RealLoop, tasks: list[Task]) -> None:
    while any(not task.done for task in tasks):
        loop.sleep(TOLD_MOST)
    say(done=True)


if __name__ == "__main__":
    sys.exit(main())
