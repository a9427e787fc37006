"""A whole fleet's leases in virtual time: how many messages they cost, how soon a dead holder's task goes on.

python tests/support/lease_fleet.py [--controllers 200] [--tasks 50] [--plays 30]

One record that answers after 1 to 5 ms each way, writes time alone once a second, and tells of offers at
once. Each controller wants every task. Messages are commands, answers and word of an offer. A task acts every
50 ms. For the second table 20 controllers have 10 tasks, and one holder goes in each play.
"""

import search_paths  # noqa: F401 - for a play that is run by hand

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

ACT_MS, EVERY_MS = 20.0, 50.0  # ms: of an act, and from one to the next
CLOCK_MS = 1000.0  # ms; as the council's timing has it
SETTLE_MS, STEADY_MS = 120_000.0, 120_000.0  # ms until the tasks are spread, and of counting


class Controller:
    """One controller: its holder, and the code of its tasks."""

    def __init__(self, fleet: "Fleet", number: int, life: int) -> None:
        self.fleet, self.number, self.alive, self.timer = fleet, number, True, 0
        self.life = ControllerIncarnation(f"c{number:03}", b"%d" % life)
        self.holder = LeaseClient(self.life, fleet.seed)
        self.client = fleet.write(council.Command()).index
        self.offers: tuple[str, ...] = ()

    def step(self, *events: lease_events.Event) -> None:
        fleet = self.fleet
        if not self.alive:
            return
        for action in self.holder.step(fleet.now, list(events)):
            match action:
                case lease_events.SendCommand(token, body):
                    fleet.counts["commands"] += 1
                    fleet.counts["bytes"] += len(body)
                    command = council.Command(
                        client=self.client, number=token, heard=max(0, token - 8), machine="leases", body=body
                    )
                    fleet.after(fleet.way(), fleet.asked, self, token, command)
                case lease_events.LeaseAcquired(task):
                    self.act(task)
                case lease_events.SetTimer(at):
                    self.timer += 1
                    fleet.after(max(at - fleet.now, 0.0) + 0.001, self.wake, self.timer)

    def wake(self, timer: int) -> None:
        if timer == self.timer:
            self.step(lease_events.Wakeup())

    def act(self, task: str) -> None:
        if not self.alive:
            return
        try:
            guard = self.holder.guard(task)
            act = guard.begin(self.fleet.now, ACT_MS)
        except (LeaseNotHeldError, KeyError):
            return
        self.fleet.acted(task, self)
        self.fleet.after(ACT_MS, self.over, task, guard, act)

    def over(self, task: str, guard, act) -> None:
        guard.end(act)
        if guard.operation_budget_ms:
            self.fleet.after(EVERY_MS - ACT_MS, self.act, task)
        else:
            self.step(lease_events.Wakeup())


class Fleet:
    """Controllers around one record."""

    def __init__(self, seed: int, controllers: int, tasks: int, term_ms: int) -> None:
        self.seed, self.random, self.now = seed, Random(f"fleet {seed} {term_ms}"), 0.0
        self.tasks, self.term_ms = [f"task-{n:02}" for n in range(tasks)], term_ms
        self.counts: Counter[str] = Counter()
        self.record, self.index = ReplicatedState([LeaseStateMachine()]), 0
        self.machine = self.record.machines["leases"]
        self._heap: list[tuple] = []
        self._order = itertools.count()
        self.holders: dict[str, Controller] = {}  # who acted last
        self.waits: dict[str, float] = {}  # tasks whose holder has gone, and since when
        self.gaps: list[float] = []
        self.by_ms: Counter[int] = Counter()  # commands that came in each 100 ms
        self.controllers: list[Controller] = []
        self.controllers = [Controller(self, number, 1) for number in range(controllers)]
        for one in self.controllers:
            self.after(
                self.random.uniform(0, 1000.0),
                one.step,
                *(lease_events.AcquireLease(t, term_ms) for t in self.tasks),
            )
        self.after(CLOCK_MS, self.tick)

    def after(self, ms: float, what, *args) -> None:
        heapq.heappush(self._heap, (self.now + ms, next(self._order), what, args))

    def run(self, until: float) -> None:
        while self._heap and self._heap[0][0] <= until:
            self.now, _, what, args = heapq.heappop(self._heap)
            what(*args)
        self.now = until

    def way(self) -> float:
        return self.random.uniform(1.0, 5.0)

    def tick(self) -> None:
        self.after(CLOCK_MS, self.tick)
        if self.record.next_expiry_clock_ms() is not None:
            self.write(None)

    def write(self, command: council.Command | None) -> council.Result:
        self.index += 1
        entry = council.Entry(term=1, index=self.index, clock_ms=int(self.now))
        if command is None:
            entry.nothing = True
        else:
            entry.command.CopyFrom(command)
        result = self.record.apply(entry)
        for one in self.controllers:
            offers = self.machine.offers(one.life)
            if offers != one.offers and offers:
                self.counts["told of offers"] += 1
                self.after(self.way(), one.step, lease_events.LeasesOffered(offers))
            one.offers = offers
        return result

    def asked(self, who: Controller, token: int, command: council.Command) -> None:
        self.by_ms[int(self.now // 100)] += 1
        result = self.write(command)
        self.counts["answers"] += 1
        self.after(self.way(), who.step, lease_events.CommandAnswered(token, result.body))

    def acted(self, task: str, who: Controller) -> None:
        if task in self.waits and self.holders.get(task) is not who:
            self.gaps.append(self.now - self.waits.pop(task))
        self.holders[task] = who

    def go(self, how: str) -> None:
        """Have the holder of a task that acts go, in one of the ways."""
        task = self.random.choice([t for t in self.tasks if t not in self.waits and t in self.holders])
        who = self.holders[task]
        for each in [t for t, holder in self.holders.items() if holder is who]:
            self.waits[each] = self.now
        if how == "killed":
            who.alive = False
        elif how == "ended":
            who.step(lease_events.Shutdown())
        else:
            self.waits = {task: self.now}
            who.step(lease_events.TaskFailed(task))


def quantiles(values: list[float]) -> str:
    values = sorted(values)
    middle = [values[int((len(values) - 1) * part)] for part in (0.5, 0.9, 0.99)]
    return " | ".join(f"{value:.0f}" for value in (*middle, values[-1]))


def main() -> None:
    """Print both tables."""
    kind = argparse.RawDescriptionHelpFormatter
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=kind)
    parser.add_argument("--controllers", type=int, default=200)
    parser.add_argument("--tasks", type=int, default=50)
    parser.add_argument("--plays", type=int, default=30)
    given = parser.parse_args()
    print(
        "| term, s | tasks | messages a second and controller | bytes of commands a second, fleet | "
        "commands in the first second | most in 100 ms once spread | most tasks of one |"
    )
    for term_ms in (5000, 10_000, 30_000):
        fleet = Fleet(1, given.controllers, given.tasks, term_ms)
        fleet.run(SETTLE_MS)
        first = sum(fleet.by_ms[n] for n in range(10))
        fleet.counts.clear()
        fleet.by_ms.clear()
        fleet.run(SETTLE_MS + STEADY_MS)
        sent = sum(fleet.counts[kind] for kind in ("commands", "answers", "told of offers"))
        held = Counter(fleet.machine.view(task).holder for task in fleet.tasks)
        print(
            f"| {term_ms / 1000:.0f} | {given.tasks} | {sent / STEADY_MS * 1000 / given.controllers:.3f} | "
            f"{fleet.counts['bytes'] / STEADY_MS * 1000:.0f} | {first} | {max(fleet.by_ms.values())} | "
            f"{max(held.values())} |",
            flush=True,
        )
    print("| a holder is | term, s | plays | median ms to the next act | 90% | 99% | longest |")
    for how in ("killed", "ended", "failing"):
        for term_ms in (2000, 5000, 10_000):
            gaps: list[float] = []
            for seed in range(1, given.plays + 1):
                fleet = Fleet(seed, 20, 10, term_ms)
                fleet.run(30_000.0 + fleet.random.uniform(0, term_ms))
                fleet.go(how)
                fleet.run(fleet.now + 5 * term_ms)
                gaps += fleet.gaps
            print(f"| {how} | {term_ms / 1000:.0f} | {len(gaps)} | {quantiles(gaps)} |", flush=True)


if __name__ == "__main__":
    main()
