"""Simulated controllers and a replicated log with leases in virtual time: do two ever act at once?

python tests/support/lease_play.py --seeds 10000 [--first 1] [--kind fences|plain]

Kind `fences`: processes may be paused for longer than the term at any point, and the resource rejects stale
fencing tokens. Kind `plain`: the resource checks nothing. A pause between a check and its effect, plus the
duration of the call, stays within the maximum pause; other pauses are as long as with `fences`. Both: clocks
up to the maximum drift; lost, duplicated, late and reordered commands and answers; restarts and shutdowns;
and times without a leader, during which the log's clock stands still.
"""

import search_paths  # noqa: F401 - makes imports work when run as a script

# isort: split

import argparse
import heapq
import itertools
import sys
from collections import Counter
from collections.abc import Callable
from random import Random

from fennelwind.leases import lease_events
from fennelwind.leases.errors import LeaseError
from fennelwind.leases.fencing import MAX_CLOCK_DRIFT, FencedResource
from fennelwind.leases.lease_client import LeaseClient
from fennelwind.leases.model import ControllerIncarnation
from fennelwind.leases.state_machine import LeaseStateMachine
from fennelwind.raft import council_pb2 as council
from fennelwind.raft.replicated_state import ReplicatedState

# Term, maximum pause and operation of the simulated tasks.
TERM_MS, MAX_PAUSE_MS, OPERATION_MS = 2000, 150.0, 400.0
FAULTY_MS, FAULT_FREE_MS = 25_000.0, 16_000.0  # ms with faults, then without
CLOCK_ENTRY_INTERVALS_MS = (20.0, 500.0)  # ms between checks for expiry; the first finds it at once
TASKS = ("moves", "vacuum")


class Violation(AssertionError):
    """Two controllers acted, or relied on a lease of the same task, at the same time."""


class Leader:
    """The replicated log under changing leaders; each leader's clock has its own rate."""

    def __init__(self, play: "Play") -> None:
        self.play = play
        self.replicated_state = ReplicatedState([LeaseStateMachine()])
        self.index = self.log_clock_ms = 0
        self.change_leader()

    def change_leader(self) -> None:
        self.clock_rate, self.leader_since_ms, self.base_clock_ms = (
            self.play.draw_clock_rate(),
            self.play.now_ms,
            self.log_clock_ms,
        )

    def clock_ms(self) -> int:
        return max(
            self.log_clock_ms,
            self.base_clock_ms + int((self.play.now_ms - self.leader_since_ms) * self.clock_rate),
        )

    def register_client(self) -> int:
        """Register a new client; return its id."""
        return self.append_entry(council.Command()).index

    def append_entry(self, command: council.Command | None = None) -> council.Result:
        self.index, self.log_clock_ms = self.index + 1, self.clock_ms()
        entry = council.Entry(term=1, index=self.index, clock_ms=self.log_clock_ms)
        if command is None:
            entry.nothing = True
        else:
            entry.command.CopyFrom(command)
        result = self.replicated_state.apply(entry)
        self.play.notify_offers()
        return result


class Controller:
    """One process: its lease client, clock and tasks; it is paused, shut down and restarted."""

    def __init__(self, play: "Play", number: int) -> None:
        self.play, self.number, self.incarnation_count = play, number, 0
        self.start()

    def start(self) -> None:
        self.incarnation_count += 1
        self.identity = ControllerIncarnation(f"c{self.number}", b"%d" % self.incarnation_count)
        self.clock_rate, self.clock_offset_ms = self.play.draw_clock_rate(), self.play.random.uniform(0, 1e6)
        self.started_at_ms, self.paused_until_ms, self.is_alive, self.offers = self.play.now_ms, 0.0, True, ()
        self.lost_until_ms: dict[str, float] = {}
        self.client_id = self.play.leader.register_client()
        self.lease_client = LeaseClient(self.identity, self.play.seed, max_pause_ms=MAX_PAUSE_MS)
        self.operation_counts: Counter[str] = Counter()
        self.timer_number = 0
        self.wanted = {task for task in TASKS if self.play.random.random() < 0.8}
        self.step([lease_events.AcquireLease(task, TERM_MS) for task in sorted(self.wanted)])

    def clock_ms(self) -> float:
        return self.clock_offset_ms + (self.play.now_ms - self.started_at_ms) * self.clock_rate

    def schedule(self, ms: float, call: Callable, *args) -> None:
        """Schedule a call in this incarnation after `ms` of its own clock; a pause delays it."""
        self.play.schedule_at(self.play.now_ms + ms / self.clock_rate, self._run, self.identity, call, args)

    def _run(self, identity: ControllerIncarnation, call: Callable, args: tuple) -> None:
        if not self.is_alive or self.identity != identity:
            return
        if self.play.now_ms < self.paused_until_ms:
            self.play.schedule_at(self.paused_until_ms, self._run, identity, call, args)
        else:
            call(*args)

    def step(self, events: list[lease_events.Event]) -> None:
        for action in self.lease_client.step(self.clock_ms(), events):
            match action:
                case lease_events.SendCommand(request_id, body):
                    self.play.send_command(self, request_id, body)
                case lease_events.LeaseAcquired(task, _, _):
                    self.schedule(
                        self.play.random.choice([0, self.play.random.uniform(0, 200)]),
                        self.begin_operation,
                        task,
                    )
                case lease_events.SetTimer(at_ms):
                    self.timer_number += 1
                    self.schedule(max(0.0, at_ms - self.clock_ms()) + 0.01, self.on_timer, self.timer_number)
                case lease_events.ShutdownComplete():
                    self.is_alive = False
        self.play.check_belief(self)

    def on_timer(self, timer_number: int) -> None:
        if timer_number == self.timer_number:
            self.step([lease_events.Wakeup()])

    # A task: operations of one to four steps each, checked by the fencing guard.

    def begin_operation(self, task: str) -> None:
        random = self.play.random
        try:
            guard = self.lease_client.guard(task)
            operation = guard.begin(self.clock_ms(), OPERATION_MS)
        except (LeaseError, KeyError):
            return
        self.play.counts["acts"] += 1
        steps = random.randint(1, 4)
        self.run_step(task, guard, operation, steps)

    def run_step(self, task: str, guard, operation, steps_left: int) -> None:
        random = self.play.random
        if not self.play.may_continue(guard, self.clock_ms(), operation) or not steps_left:
            guard.end(operation)
            self.step([lease_events.Wakeup()])
            if random.random() < 0.03 and not self.play.is_fault_free:
                checkpoint = lease_events.SaveCheckpoint(task, b"%d" % operation.fencing_token)
                self.step(
                    [
                        random.choice(
                            [lease_events.TaskFailed(task), lease_events.ReleaseLease(task), checkpoint]
                        )
                    ]
                )
            self.schedule(
                random.uniform(10, 1000 if self.play.is_fault_free else 150), self.begin_operation, task
            )
            return
        # Between the check and its effect the process may be paused, and the call takes time.
        paused_ms = self.play.draw_pause_ms(self)
        total_ms = paused_ms + self.play.draw_call_ms(paused_ms)
        self.play.schedule_at(
            self.play.now_ms + total_ms, self.play.apply_effect, self.identity, task, operation
        )
        if total_ms < OPERATION_MS:  # else the call times out, and the operation is not ended
            next_step_after_ms = total_ms * self.clock_rate + random.uniform(1, OPERATION_MS / 6)
            self.schedule(next_step_after_ms, self.run_step, task, guard, operation, steps_left - 1)
        else:
            self.schedule(OPERATION_MS, self.begin_operation, task)


class Play:
    """One simulation; `run` raises `Violation`."""

    def __init__(self, seed: int, kind: str = "fences", faulty_ms: float = FAULTY_MS) -> None:
        self.seed, self.kind, self.random = seed, kind, Random(f"{kind} {seed}")
        self.faulty_ms = faulty_ms
        self.now_ms, self.is_fault_free, self.clock_interval_ms = (
            0.0,
            False,
            self.random.choice(CLOCK_ENTRY_INTERVALS_MS),
        )
        self._heap: list[tuple] = []
        self._event_sequence = itertools.count()
        self.counts: Counter[str] = Counter()
        # By task and controller: until when, in true time, it relies on its lease.
        self.beliefs: dict[str, dict[ControllerIncarnation, float]] = {task: {} for task in TASKS}
        self.resource = FencedResource() if kind == "fences" else None
        # In the order of their first steps.
        self.operations_by_task: dict[str, list] = {task: [] for task in TASKS}
        self.holder_by_token: dict[tuple[str, int], ControllerIncarnation] = {}
        self.controllers: list[Controller] = []
        self.leader = self.start_leader()
        self.no_leader_until_ms = 0.0
        self.controllers = [Controller(self, number) for number in range(3)]

    def start_leader(self) -> Leader:
        return Leader(self)

    def draw_clock_rate(self) -> float:
        low, high = 1 - MAX_CLOCK_DRIFT, 1 + MAX_CLOCK_DRIFT
        return self.random.choice([low, high, low, high, self.random.uniform(low, high)])

    def may_continue(self, guard, now_ms: float, operation) -> bool:
        return guard.may_continue(now_ms, operation)

    def schedule_at(self, at_ms: float, call: Callable, *args) -> None:
        heapq.heappush(self._heap, (at_ms, next(self._event_sequence), call, args))

    def run(self) -> Counter:
        self.schedule_at(0.0, self.append_clock_entry)
        for _ in range(self.random.randint(4, 16)):
            self.schedule_at(self.random.uniform(0, self.faulty_ms), self.inject_fault)
        self.schedule_at(self.faulty_ms, self.stop_faults)
        while self._heap and self._heap[0][0] <= self.faulty_ms + FAULT_FREE_MS:
            self.now_ms, _, call, args = heapq.heappop(self._heap)
            call(*args)
        self.check_end()
        return self.counts

    # The replicated log.

    def append_clock_entry(self) -> None:
        """Let the leader append an entry for the time if something is due."""
        self.schedule_at(
            self.now_ms + self.clock_interval_ms / self.leader.clock_rate, self.append_clock_entry
        )
        due = self.leader.replicated_state.next_expiry_clock_ms()
        if self.now_ms >= self.no_leader_until_ms and due is not None and due <= self.leader.clock_ms():
            self.leader.append_entry()

    def draw_delay_ms(self) -> float:
        if self.is_fault_free:
            return self.random.uniform(1, 10)
        return self.random.choice([self.random.uniform(1, 20)] * 9 + [self.random.uniform(1, 3000)])

    def is_lost(self, controller: Controller, direction: str) -> bool:
        """Return whether a message is lost; each direction may be cut separately."""
        return not self.is_fault_free and (
            self.random.random() < 0.1 or self.now_ms < controller.lost_until_ms.get(direction, 0.0)
        )

    def send_command(self, controller: Controller, request_id: int, body: bytes) -> None:
        self.counts["asks"] += 1
        command = council.Command(
            client=controller.client_id,
            number=request_id,
            heard=max(0, request_id - 20),
            machine="leases",
            body=body,
        )
        for _ in range(1 + (not self.is_fault_free and self.random.random() < 0.1)):
            if not self.is_lost(controller, "asks"):
                self.schedule_at(
                    self.now_ms + self.draw_delay_ms(),
                    self.apply_command,
                    controller,
                    controller.identity,
                    request_id,
                    command,
                )

    def apply_command(
        self,
        controller: Controller,
        identity: ControllerIncarnation,
        request_id: int,
        command: council.Command,
    ) -> None:
        if self.now_ms < self.no_leader_until_ms:
            self.send_answer(controller, identity, lease_events.CommandAnswered(request_id, None, 100.0))
        else:
            result = self.leader.append_entry(command)
            self.send_answer(
                controller,
                identity,
                lease_events.CommandAnswered(request_id, None if result.refusal else result.body),
            )

    def send_answer(
        self, controller: Controller, identity: ControllerIncarnation, answer: lease_events.CommandAnswered
    ) -> None:
        if not self.is_lost(controller, "answers"):
            extra_delay_ms = (
                0.0
                if self.now_ms >= controller.lost_until_ms.get("late", 0.0)
                else self.random.uniform(100, TERM_MS)
            )
            self.schedule_at(
                self.now_ms + self.draw_delay_ms() + extra_delay_ms,
                controller._run,
                identity,
                controller.step,
                ([answer],),
            )

    def notify_offers(self) -> None:
        """Notify each controller of new offers; the notification may be lost."""
        for controller in self.controllers:
            offers = self.leader.replicated_state.machines["leases"].offers(controller.identity)
            if offers != controller.offers and offers and not self.is_lost(controller, "answers"):
                self.schedule_at(
                    self.now_ms + self.draw_delay_ms(),
                    controller._run,
                    controller.identity,
                    controller.step,
                    ([lease_events.LeasesOffered(offers)],),
                )
            controller.offers = offers

    # Faults.

    def inject_fault(self) -> None:
        random, controller = self.random, self.random.choice(self.controllers)
        match random.randrange(6):
            case 0:
                self.lose_leader(random.uniform(100, 6000))
            case 1:
                self.pause(controller, random.uniform(100, 4 * TERM_MS))
            case 2:
                self.kill(controller)
                self.schedule_at(self.now_ms + random.uniform(0, 2 * TERM_MS), self.start, controller)
            case 3:
                if controller.is_alive and self.now_ms >= controller.paused_until_ms:
                    controller.step([lease_events.Shutdown()])
                self.schedule_at(self.now_ms + random.uniform(3000, 6000), self.start, controller)
            case 4:
                self.leader.change_leader()
            case 5:
                late_until_ms = self.now_ms + random.uniform(0, TERM_MS)
                controller.lost_until_ms = random.choice(
                    [
                        {"asks": late_until_ms},
                        {"answers": late_until_ms},
                        {"late": late_until_ms},
                        {"late": late_until_ms, "asks": late_until_ms + 2 * TERM_MS},
                    ]
                )
        self.counts["faults"] += 1

    def lose_leader(self, ms: float) -> None:
        self.no_leader_until_ms = self.now_ms + ms
        self.schedule_at(self.no_leader_until_ms, self.leader.change_leader)

    def pause(self, controller: Controller, ms: float) -> None:
        controller.paused_until_ms = max(controller.paused_until_ms, self.now_ms + ms)

    def draw_pause_ms(self, controller: Controller) -> float:
        """Return for how long the process is paused between a check and its effect."""
        if self.random.random() < 0.02 and not self.is_fault_free:
            self.pause(
                controller, self.random.uniform(0, 3 * TERM_MS if self.kind == "fences" else MAX_PAUSE_MS / 2)
            )
        return max(0.0, controller.paused_until_ms - self.now_ms)

    def draw_call_ms(self, paused_ms: float) -> float:
        """Return how long a call to the resource takes; with kind `plain` it fits into the maximum pause.

        That maximum is on the controller's clock: a fast clock measures a true 100 ms as 120.
        """
        if self.kind == "plain":
            max_call_ms = max(0.0, MAX_PAUSE_MS / (1 + MAX_CLOCK_DRIFT) - paused_ms)
            return self.random.choice([max_call_ms, self.random.uniform(0, max_call_ms)])
        return self.draw_delay_ms()

    def kill(self, controller: Controller) -> None:
        controller.is_alive = False
        for beliefs in self.beliefs.values():
            beliefs.pop(controller.identity, None)

    def start(self, controller: Controller) -> None:
        if not (self.is_fault_free and controller.is_alive):
            self.kill(controller)
            controller.start()

    def stop_faults(self) -> None:
        self.is_fault_free = True
        self.no_leader_until_ms = 0.0
        self.leader.change_leader()
        for controller in self.controllers:
            controller.paused_until_ms = 0.0
            if not controller.is_alive:
                controller.start()
            controller.step([lease_events.AcquireLease(task, TERM_MS) for task in TASKS])

    # What is checked.

    def check_belief(self, controller: Controller) -> None:
        """Record until when, in true time, its guards allow operations; no other controller's may overlap."""
        for task in TASKS:
            beliefs = self.beliefs[task]
            beliefs.pop(controller.identity, None)
            try:
                guard = controller.lease_client.guard(task)
            except KeyError:
                continue
            believed_until_ms = (
                self.now_ms + (guard.valid_until_ms - controller.clock_ms()) / controller.clock_rate
            )
            if (
                not controller.is_alive
                or not guard.fencing_token
                or believed_until_ms <= self.now_ms
                or not (guard.operation_budget_ms or guard.operations)
            ):
                continue
            beliefs[controller.identity] = believed_until_ms
            self.counts["beliefs"] += 1
            others = [
                identity
                for identity, until_ms in beliefs.items()
                if identity != controller.identity and until_ms > self.now_ms
            ]
            if others:
                raise Violation(
                    f"seed {self.seed}: at {self.now_ms:.0f} {controller.identity} relies on its lease "
                    f"of {task}, and so does {others[0]}"
                )

    def apply_effect(self, identity: ControllerIncarnation, task: str, operation) -> None:
        """Apply a step of an operation at the resource, which records it."""
        if self.resource is not None:
            try:
                self.resource.check(task, operation.fencing_token)
            except LeaseError:
                self.counts["refused"] += 1
                return
            if self.holder_by_token.setdefault((task, operation.fencing_token), identity) != identity:
                raise Violation(
                    f"seed {self.seed}: two holders have fencing token {operation.fencing_token} of {task}"
                )
        self.counts["steps"] += 1
        operations = self.operations_by_task[task]
        key = (identity, operation.fencing_token, operation.number)
        if operations and operations[-1][0] != identity and key in operations:
            raise Violation(
                f"seed {self.seed}: at {self.now_ms:.0f} {identity} continues operation {operation.number} "
                f"of {task} after {operations[-1][0]} has begun one"
            )
        if not operations or operations[-1] != key:
            operations.append(key)
            del operations[:-50]

    def check_end(self) -> None:
        """Check that each task has a holder at the end, unless all are excluded, and that steps were done."""
        replicated_state = self.leader.replicated_state.machines["leases"]
        for task in TASKS:
            view = replicated_state.view(task)
            all_excluded = view is not None and all(
                view.excluded_until_ms.get(f"c{number}", 0) > self.leader.log_clock_ms for number in range(3)
            )
            if view is None or not view.holder and not all_excluded:
                raise Violation(f"seed {self.seed}: no controller holds {task} at the end: {view}")
        if self.counts["steps"] < 5:
            raise Violation(f"seed {self.seed}: too few steps were carried out: {self.counts}")


def main(
    play: type[Play] = Play, description: str = __doc__, violation_type: type[Exception] = Violation
) -> int:
    """Run simulations by seed; print their number, or the first seed with a violation."""
    kind = argparse.RawDescriptionHelpFormatter
    parser = argparse.ArgumentParser(description=description, formatter_class=kind)
    parser.add_argument("--seeds", type=int, default=10_000)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--kind", choices=("fences", "plain"), default="")
    arguments = parser.parse_args()
    for kind in [arguments.kind] if arguments.kind else ["fences", "plain"]:
        counts: Counter[str] = Counter()
        for seed in range(arguments.first, arguments.first + arguments.seeds):
            try:
                counts += play(seed, kind).run()
            except violation_type as exc:
                print(f"{kind}: seed {seed}: {exc}")
                return 1
        print(f"{kind}: {arguments.seeds} seeds, no violation; {dict(sorted(counts.items()))}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
