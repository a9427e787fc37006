"""The leases of a whole fleet in virtual time: cost in messages, and how soon a lost task continues.

python tests/support/lease_fleet.py [--controllers 200] [--tasks 50] [--plays 30]

One replicated log, 1 to 5 ms away in each direction, that appends an entry for the time once a second and
notifies controllers of offers at once. Each controller wants every task. Messages are commands, answers and
notifications of offers. A task runs an operation every 50 ms. In the second table 20 controllers have 10
tasks, and each simulation loses one holder.
"""

import search_paths  # noqa: F401 - makes imports work when run as a script

# isort: split

import argparse
import heapq
import itertools
from collections import Counter
from random import Random

from fennelwind.leases import lease_events
from fennelwind.leases.errors import LeaseNotHeldError
from fennelwind.leases.lease_client import LeaseClient
from fennelwind.leases.model import ControllerIncarnation
from fennelwind.leases.state_machine import LeaseStateMachine
from fennelwind.raft import council_pb2 as council
from fennelwind.raft.replicated_state import ReplicatedState

OPERATION_MS, OPERATION_INTERVAL_MS = 20.0, 50.0  # ms: of an operation, and from one start to the next
CLOCK_ENTRY_INTERVAL_MS = 1000.0  # ms; as in the timing of the Raft group
SETTLING_MS, MEASURED_MS = 120_000.0, 120_000.0  # ms until the tasks are balanced, and of counting


class Controller:
    """One controller: its lease client and its tasks."""

    def __init__(self, fleet: "Fleet", number: int, incarnation: int) -> None:
        self.fleet, self.number, self.is_alive, self.timer_number = fleet, number, True, 0
        self.identity = ControllerIncarnation(f"c{number:03}", b"%d" % incarnation)
        self.lease_client = LeaseClient(self.identity, fleet.seed)
        self.client_id = fleet.append_entry(council.Command()).index
        self.offers: tuple[str, ...] = ()

    def step(self, *events: lease_events.Event) -> None:
        fleet = self.fleet
        if not self.is_alive:
            return
        for action in self.lease_client.step(fleet.now_ms, list(events)):
            match action:
                case lease_events.SendCommand(request_id, body):
                    fleet.counts["commands"] += 1
                    fleet.counts["bytes"] += len(body)
                    command = council.Command(
                        client=self.client_id,
                        number=request_id,
                        heard=max(0, request_id - 8),
                        machine="leases",
                        body=body,
                    )
                    fleet.schedule(fleet.draw_delay_ms(), fleet.apply_command, self, request_id, command)
                case lease_events.LeaseAcquired(task):
                    self.begin_operation(task)
                case lease_events.SetTimer(at_ms):
                    self.timer_number += 1
                    fleet.schedule(max(at_ms - fleet.now_ms, 0.0) + 0.001, self.on_timer, self.timer_number)

    def on_timer(self, timer_number: int) -> None:
        if timer_number == self.timer_number:
            self.step(lease_events.Wakeup())

    def begin_operation(self, task: str) -> None:
        if not self.is_alive:
            return
        try:
            guard = self.lease_client.guard(task)
            operation = guard.begin(self.fleet.now_ms, OPERATION_MS)
        except (LeaseNotHeldError, KeyError):
            return
        self.fleet.operation_began(task, self)
        self.fleet.schedule(OPERATION_MS, self.end_operation, task, guard, operation)

    def end_operation(self, task: str, guard, operation) -> None:
        guard.end(operation)
        if guard.operation_budget_ms:
            self.fleet.schedule(OPERATION_INTERVAL_MS - OPERATION_MS, self.begin_operation, task)
        else:
            self.step(lease_events.Wakeup())


class Fleet:
    """Controllers that share one replicated log."""

    def __init__(self, seed: int, controllers: int, tasks: int, term_ms: int) -> None:
        self.seed, self.random, self.now_ms = seed, Random(f"fleet {seed} {term_ms}"), 0.0
        self.tasks, self.term_ms = [f"task-{n:02}" for n in range(tasks)], term_ms
        self.counts: Counter[str] = Counter()
        self.replicated_state, self.index = ReplicatedState([LeaseStateMachine()]), 0
        self.machine = self.replicated_state.machines["leases"]
        self._heap: list[tuple] = []
        self._event_sequence = itertools.count()
        self.holders: dict[str, Controller] = {}  # by task: the controller that began the last operation
        self.lost_at_ms: dict[str, float] = {}  # by task without a holder: since when
        self.gaps_ms: list[float] = []
        self.commands_by_100_ms: Counter[int] = Counter()  # commands received in each 100 ms
        self.controllers: list[Controller] = []
        self.controllers = [Controller(self, number, 1) for number in range(controllers)]
        for controller in self.controllers:
            self.schedule(
                self.random.uniform(0, 1000.0),
                controller.step,
                *(lease_events.AcquireLease(task, term_ms) for task in self.tasks),
            )
        self.schedule(CLOCK_ENTRY_INTERVAL_MS, self.append_clock_entry)

    def schedule(self, ms: float, call, *args) -> None:
        heapq.heappush(self._heap, (self.now_ms + ms, next(self._event_sequence), call, args))

    def run(self, until_ms: float) -> None:
        while self._heap and self._heap[0][0] <= until_ms:
            self.now_ms, _, call, args = heapq.heappop(self._heap)
            call(*args)
        self.now_ms = until_ms

    def draw_delay_ms(self) -> float:
        return self.random.uniform(1.0, 5.0)

    def append_clock_entry(self) -> None:
        self.schedule(CLOCK_ENTRY_INTERVAL_MS, self.append_clock_entry)
        if self.replicated_state.next_expiry_clock_ms() is not None:
            self.append_entry(None)

    def append_entry(self, command: council.Command | None) -> council.Result:
        self.index += 1
        entry = council.Entry(term=1, index=self.index, clock_ms=int(self.now_ms))
        if command is None:
            entry.nothing = True
        else:
            entry.command.CopyFrom(command)
        result = self.replicated_state.apply(entry)
        for controller in self.controllers:
            offers = self.machine.offers(controller.identity)
            if offers != controller.offers and offers:
                self.counts["told of offers"] += 1
                self.schedule(self.draw_delay_ms(), controller.step, lease_events.LeasesOffered(offers))
            controller.offers = offers
        return result

    def apply_command(self, controller: Controller, request_id: int, command: council.Command) -> None:
        self.commands_by_100_ms[int(self.now_ms // 100)] += 1
        result = self.append_entry(command)
        self.counts["answers"] += 1
        self.schedule(
            self.draw_delay_ms(), controller.step, lease_events.CommandAnswered(request_id, result.body)
        )

    def operation_began(self, task: str, controller: Controller) -> None:
        if task in self.lost_at_ms and self.holders.get(task) is not controller:
            self.gaps_ms.append(self.now_ms - self.lost_at_ms.pop(task))
        self.holders[task] = controller

    def lose_holder(self, loss_kind: str) -> None:
        """Pick a running task and kill its holder, shut it down or let it fail."""
        task = self.random.choice(
            [task for task in self.tasks if task not in self.lost_at_ms and task in self.holders]
        )
        controller = self.holders[task]
        for held_task in [task for task, holder in self.holders.items() if holder is controller]:
            self.lost_at_ms[held_task] = self.now_ms
        if loss_kind == "killed":
            controller.is_alive = False
        elif loss_kind == "ended":
            controller.step(lease_events.Shutdown())
        else:
            self.lost_at_ms = {task: self.now_ms}
            controller.step(lease_events.TaskFailed(task))


def format_quantiles(values: list[float]) -> str:
    values = sorted(values)
    selected = [values[int((len(values) - 1) * quantile)] for quantile in (0.5, 0.9, 0.99)]
    return " | ".join(f"{value:.0f}" for value in (*selected, values[-1]))


def main() -> None:
    """Print both tables."""
    kind = argparse.RawDescriptionHelpFormatter
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=kind)
    parser.add_argument("--controllers", type=int, default=200)
    parser.add_argument("--tasks", type=int, default=50)
    parser.add_argument("--plays", type=int, default=30)
    arguments = parser.parse_args()
    print(
        "| term, s | tasks | messages a second and controller | bytes of commands a second, fleet | "
        "commands in the first second | most in 100 ms once spread | most tasks of one |"
    )
    for term_ms in (5000, 10_000, 30_000):
        fleet = Fleet(1, arguments.controllers, arguments.tasks, term_ms)
        fleet.run(SETTLING_MS)
        first_second_commands = sum(fleet.commands_by_100_ms[n] for n in range(10))
        fleet.counts.clear()
        fleet.commands_by_100_ms.clear()
        fleet.run(SETTLING_MS + MEASURED_MS)
        sent = sum(fleet.counts[kind] for kind in ("commands", "answers", "told of offers"))
        lease_counts = Counter(fleet.machine.view(task).holder for task in fleet.tasks)
        print(
            f"| {term_ms / 1000:.0f} | {arguments.tasks} | "
            f"{sent / MEASURED_MS * 1000 / arguments.controllers:.3f} | "
            f"{fleet.counts['bytes'] / MEASURED_MS * 1000:.0f} | {first_second_commands} | "
            f"{max(fleet.commands_by_100_ms.values())} | {max(lease_counts.values())} |",
            flush=True,
        )
    print("| a holder is | term, s | plays | median ms to the next act | 90% | 99% | longest |")
    for loss_kind in ("killed", "ended", "failing"):
        for term_ms in (2000, 5000, 10_000):
            gaps_ms: list[float] = []
            for seed in range(1, arguments.plays + 1):
                fleet = Fleet(seed, 20, 10, term_ms)
                fleet.run(30_000.0 + fleet.random.uniform(0, term_ms))
                fleet.lose_holder(loss_kind)
                fleet.run(fleet.now_ms + 5 * term_ms)
                gaps_ms += fleet.gaps_ms
            print(
                f"| {loss_kind} | {term_ms / 1000:.0f} | {len(gaps_ms)} | {format_quantiles(gaps_ms)} |",
                flush=True,
            )


if __name__ == "__main__":
    main()
