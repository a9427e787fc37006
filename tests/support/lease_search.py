"""Search all event orders of two lease clients and the state machine, up to a depth: can both hold a task?

python tests/support/lease_search.py [--states 1000000] [--menu late|crash|fail|spare]

It runs the real lease client, fencing guard and state machine. Time advances in ticks. The log's clock is as
fast, and the first client's as slow, as the maximum drift allows, so that a lease expires on the log at the
tick at which its holder has just stopped relying on it. Commands and answers arrive in any order, late or not
at all; a controller may be paused over a tick. Depending on the menu, commands are also duplicated (the log's
record of commands that were already applied is left out), controllers crash and restart, fail or shut down,
or there are two tasks, one of them surplus. The search is breadth first and visits each state once. Two
states are the same if they differ only by a shift of all times, by which numbers express the same order of
fencing tokens, or by what can't matter within a few seconds (`World.key`).
"""

import search_paths  # noqa: F401 - makes imports work when run as a script

# isort: split

import argparse
import hashlib
import pickle
import sys
from collections import Counter, deque
from collections.abc import Iterator
from functools import lru_cache

from fennelwind.leases import lease_events
from fennelwind.leases import leases_pb2 as pb
from fennelwind.leases.errors import LeaseNotHeldError
from fennelwind.leases.fencing import MAX_CLOCK_DRIFT
from fennelwind.leases.lease_client import LeaseClient
from fennelwind.leases.model import ControllerIncarnation
from fennelwind.leases.state_machine import LeaseStateMachine
from fennelwind.raft.state_machine import LogPosition

# The shortest term is two ticks of the log's fast clock.
TERM_MS, MAX_PAUSE_MS, OPERATION_MS = 300, 0.0, 60.0
TICK_MS_BY_CLOCK = {
    "a": 100.0,
    "b": 125.0,
    "log": 150.0,
}  # ms that each clock measures in 125 ms of true time, at the maximum drift
assert (
    TICK_MS_BY_CLOCK["a"] == (1 - MAX_CLOCK_DRIFT) * TICK_MS_BY_CLOCK["b"]
    and TICK_MS_BY_CLOCK["log"] == (1 + MAX_CLOCK_DRIFT) * TICK_MS_BY_CLOCK["b"]
)
MAX_MESSAGES = 4  # messages in flight; of more, the oldest is lost
MENUS = {  # by name: tasks, duplicated commands and events in one history, events
    "late": (1, 1, 0, ()),
    "crash": (1, 0, 2, ("crash", "leave")),
    "fail": (1, 1, 1, ("fail", "unwant")),
    "spare": (2, 0, 0, ()),
}


class MaxJitter:
    """Replaces the random generator: always the longest backoff."""

    def random(self) -> float:
        return 1.0


class World:
    """The whole simulated state; two worlds are equal if their keys are."""

    def __init__(self, menu: str = "late") -> None:
        self.machine = LeaseStateMachine()
        tasks, self.duplications_left, self.events_left, self.event_kinds = MENUS[menu]
        self.tasks = tuple(f"t{n}" for n in range(tasks))
        self.tick_count = self.index = 0
        self.lease_clients: dict[str, LeaseClient] = {}
        self.timers_ms: dict[str, float] = {}
        self.incarnation_counts: Counter[str] = Counter()
        self.operations: dict[str, tuple] = {}  # by controller: task and operation, at most one
        # In flight: kind, controller, incarnation, request id, body.
        self.messages: list[tuple[str, str, bytes, int, bytes | None]] = []
        for controller in ("a", "b"):
            self.start(controller)
            while self.messages:
                self.deliver(0)

    def clock_ms(self, controller: str) -> float:
        return self.tick_count * TICK_MS_BY_CLOCK[controller]

    def start(self, controller: str) -> None:
        self.incarnation_counts[controller] += 1
        self.lease_clients[controller] = LeaseClient(
            ControllerIncarnation(controller, b"%d" % self.incarnation_counts[controller]),
            0,
            max_pause_ms=MAX_PAUSE_MS,
        )
        self.lease_clients[controller]._random = MaxJitter()
        self.operations.pop(controller, None)
        self.step(controller, *(lease_events.AcquireLease(task, TERM_MS) for task in self.tasks))

    def step(self, controller: str, *events: lease_events.Event) -> None:
        lease_client = self.lease_clients[controller]
        self.timers_ms[controller] = float("inf")
        for action in lease_client.step(self.clock_ms(controller), list(events)):
            match action:
                case lease_events.SendCommand(request_id, body):
                    self.messages.append(
                        ("ask", controller, lease_client.identity.incarnation, request_id, body)
                    )
                case lease_events.SetTimer(at_ms):
                    self.timers_ms[controller] = at_ms
        del self.messages[:-MAX_MESSAGES]

    def deliver(self, number: int, is_duplicate: bool = False) -> None:
        kind, controller, incarnation, request_id, body = (
            self.messages[number] if is_duplicate else self.messages.pop(number)
        )
        if kind == "ask":
            self.append_entry()
            answer = self.machine.apply(LogPosition(self.index, int(self.clock_ms("log"))), body, None)
            self.messages.append(("answer", controller, incarnation, request_id, answer))
            del self.messages[:-MAX_MESSAGES]
        elif self.lease_clients[controller].identity.incarnation == incarnation:
            self.step(controller, lease_events.CommandAnswered(request_id, body))

    def append_entry(self) -> None:
        self.index += 1
        position = LogPosition(self.index, int(self.clock_ms("log")))
        due = self.machine.next_expiry_clock_ms()
        if due is not None and due <= position.clock_ms:
            self.machine.expire_due(position)

    def wake_controllers(self, paused_controller: str = "") -> None:
        """Let each controller that isn't paused handle its timer, if that is due, and its offers."""
        for controller in self.lease_clients:
            offers = self.machine.offers(self.lease_clients[controller].identity)
            if controller != paused_controller and (
                offers or self.timers_ms[controller] <= self.clock_ms(controller)
            ):
                self.step(controller, lease_events.LeasesOffered(offers))

    # The moves that are possible next.

    def moves(self) -> Iterator[tuple]:
        yield from (("tick", ""), ("tick", "a"), ("tick", "b"))
        for number, message in enumerate(self.messages):
            if message not in self.messages[:number]:
                yield ("deliver", number)
                if self.duplications_left and message[0] == "ask":
                    yield ("double", number)
        for controller in self.lease_clients:
            held = self.lease_clients[controller].held_tasks(self.clock_ms(controller))
            if controller in self.operations:
                yield ("end", controller)
            elif held and controller == "a":
                yield ("begin", controller)
            if self.events_left:
                yield from ((kind, controller) for kind in self.event_kinds if held or kind == "crash")

    def apply_move(self, move: tuple) -> None:
        match move:
            case ("tick", paused_controller):
                self.tick_count += 1
                self.append_entry()
                self.wake_controllers(paused_controller)
            case ("deliver", number):
                self.deliver(number)
                self.wake_controllers()
            case ("double", number):
                self.deliver(number, True)
                self.duplications_left -= 1
            case ("begin", controller):
                task = self.lease_clients[controller].held_tasks(self.clock_ms(controller))[0]
                try:
                    operation = (
                        self.lease_clients[controller]
                        .guard(task)
                        .begin(self.clock_ms(controller), OPERATION_MS)
                    )
                    self.operations[controller] = task, operation
                except LeaseNotHeldError:
                    pass
            case ("end", controller):
                task, operation = self.operations.pop(controller)
                if task in self.lease_clients[controller]._leases:
                    self.lease_clients[controller].guard(task).end(operation)
                self.step(controller, lease_events.Wakeup())
            case ("crash", controller):
                self.events_left -= 1
                self.start(controller)
            case (event, controller):
                self.events_left -= 1
                task = self.tasks[0]
                self.step(
                    controller,
                    *{
                        "fail": (lease_events.TaskFailed(task),),
                        "leave": (lease_events.Shutdown(),),
                        "unwant": (lease_events.ReleaseLease(task), lease_events.AcquireLease(task, TERM_MS)),
                    }[event],
                )

    # The invariant.

    def find_violation(self) -> str:
        """Return the violation in this state; "": none."""
        for task in self.tasks:
            holders = [
                controller
                for controller, lease_client in self.lease_clients.items()
                if task in lease_client._leases
                and (guard := lease_client.guard(task)).fencing_token
                and self.clock_ms(controller) < guard.valid_until_ms
                and (guard.operation_budget_ms or guard.operations)
            ]
            if len(holders) > 1:
                return f"{task} is held by {' and by '.join(holders)}"
            operating = [
                controller
                for controller, (name, operation) in self.operations.items()
                if name == task
                and task in self.lease_clients[controller]._leases
                and self.lease_clients[controller]
                .guard(task)
                .may_continue(self.clock_ms(controller), operation)
            ]
            if operating and holders and operating != holders:
                return f"{operating[0]} runs an operation of {task}, which {holders[0]} holds"
        return ""

    # Equality of states.

    def key(self) -> bytes:
        """Return a digest that is equal for states that count as the same."""
        tokens: set[int] = set()
        messages = [
            (kind, controller, incarnation, request_id, _parse_body(kind, body))
            for kind, controller, incarnation, request_id, body in self.messages
        ]
        for *_, results in messages:
            tokens |= {result[2] for result in results[0]}
        state = pb.LeaseState.FromString(self.machine.snapshot())
        tokens |= {task.fence for task in state.tasks} | {
            operation.fencing_token for _, operation in self.operations.values()
        }
        tokens |= {
            lease.fencing_token
            for lease_client in self.lease_clients.values()
            for lease in lease_client._leases.values()
        }
        rank_by_token = {token: number for number, token in enumerate(sorted(tokens | {0}))}
        clock_ms = int(self.clock_ms("log"))

        def incarnation_age(controller: str, incarnation: bytes) -> int:
            return self.incarnation_counts[controller] - int(incarnation)

        parts: list = [self.duplications_left, self.events_left]
        for task in state.tasks:
            holder = task.holder
            parts.append(
                (
                    task.name,
                    holder.name,
                    incarnation_age(holder.name, holder.life or b"0"),
                    rank_by_token[task.fence],
                    task.until_ms - clock_ms,
                    [
                        (waiter.who.name, incarnation_age(waiter.who.name, waiter.who.life))
                        for waiter in task.waiters
                    ],
                    [
                        (aside.name, aside.failures, max(0, aside.until_ms - clock_ms))
                        for aside in task.asides
                    ],
                )
            )
        for controller, lease_client in self.lease_clients.items():
            now_ms = self.clock_ms(controller)
            parts.append(
                (
                    controller,
                    lease_client._is_shutting_down,
                    lease_client._is_shut_down,
                    lease_client._shutdown_attempts,
                    _remaining_ms(lease_client._backoff_until_ms, now_ms),
                    lease_client._failed_attempts,
                    _remaining_ms(self.timers_ms[controller], now_ms),
                    None
                    if lease_client._awaited is None
                    else now_ms - lease_client._sent[lease_client._awaited].sent_at_ms,
                )
            )
            for name, lease in sorted(lease_client._leases.items()):
                parts.append(
                    (
                        name,
                        lease.phase,
                        lease.release,
                        lease.is_wanted,
                        lease.is_offered,
                        rank_by_token[lease.fencing_token],
                        _remaining_ms(lease.request_at_ms, now_ms),
                        _remaining_ms(lease.renew_at_ms, now_ms),
                        _remaining_ms(lease.guard.valid_until_ms, now_ms),
                        lease.guard.operation_budget_ms > 0,
                        lease.rejections,
                        sorted(
                            operation.deadline_ms - now_ms for operation in lease.guard.operations.values()
                        ),
                    )
                )
        for controller, (task, operation) in sorted(self.operations.items()):
            parts.append(
                (
                    controller,
                    task,
                    rank_by_token[operation.fencing_token],
                    operation.deadline_ms - self.clock_ms(controller),
                    operation.number
                    in (
                        self.lease_clients[controller]._leases[task].guard.operations
                        if task in self.lease_clients[controller]._leases
                        else ()
                    ),
                )
            )
        message_parts = []
        for kind, controller, incarnation, request_id, (results, other_content) in messages:
            lease_client, sent = self.lease_clients[controller], None
            if lease_client.identity.incarnation == incarnation:
                sent_command = lease_client._sent.get(request_id)
                sent = sent_command and (
                    request_id == lease_client._awaited,
                    self.clock_ms(controller) - sent_command.sent_at_ms,
                    [
                        (name, name in lease_client._leases and lease_client._leases[name].epoch == epoch)
                        for name, epoch in sent_command.epochs.items()
                    ],
                )
            message_parts.append(
                (
                    kind,
                    controller,
                    incarnation_age(controller, incarnation),
                    sent,
                    [
                        (name, what, rank_by_token[token], other_fields)
                        for name, what, token, other_fields in results
                    ],
                    other_content,
                )
            )
        return hashlib.blake2b(repr((parts, message_parts)).encode(), digest_size=12).digest()

    def __getstate__(self) -> dict:
        return {**self.__dict__, "machine": self.machine.snapshot()}

    def __setstate__(self, state: dict) -> None:
        self.__dict__.update(state)
        data, self.machine = self.machine, LeaseStateMachine()
        self.machine.restore(data)


def _remaining_ms(at_ms: float, now_ms: float) -> float:
    """Return the ms until a time; all times in the past count as now."""
    return max(0.0, at_ms - now_ms)


@lru_cache(100_000)
def _parse_body(kind: str, body: bytes) -> tuple[list, tuple]:
    """Return a message's content per task (name, kind, token, other fields), and its other content."""
    if kind == "ask":
        command = pb.LeaseCommand.FromString(body)
        return [
            (
                ask.task,
                what,
                getattr(getattr(ask, what), "fence", 0),
                what == "hand_over" and ask.hand_over.only_spare or what == "give_up" and ask.give_up.reason,
            )
            for ask in command.asks
            if (what := ask.WhichOneof("what"))
        ], (command.leave,)
    answer = pb.LeaseAnswer.FromString(body)
    return [
        ("", result.state, result.fence, (result.refusal, result.term_ms, result.spare))
        for result in answer.told
    ], (
        tuple(answer.offers),
        answer.waits,
    )


def search(max_states: int, menu: str = "late") -> tuple[int, int, int, str, list]:
    """Return the number of states and moves, the depth, and the violation with its moves, if there is one."""
    first = World(menu)
    seen = {first.key()}
    frontier = deque([(pickle.dumps(first), 0, ())])
    move_count = depth = 0
    while frontier and len(seen) < max_states:
        data, depth, path = frontier.popleft()
        world = pickle.loads(data)
        for move in list(world.moves())[::-1]:
            world = world or pickle.loads(data)
            world.apply_move(move)
            move_count += 1
            violation = world.find_violation()
            if violation:
                return len(seen), move_count, depth + 1, violation, _list_moves((path, move))
            key = world.key()
            if key not in seen:
                seen.add(key)
                frontier.append((pickle.dumps(world), depth + 1, (path, move)))
            world = None
    return len(seen), move_count, depth, "", []


def _list_moves(path: tuple) -> list:
    moves = []
    while path:
        path, move = path
        moves.append(move)
    return moves[::-1]


def main() -> int:
    """Search each menu; print the number of states, or the violation and the moves that lead to it."""
    kind = argparse.RawDescriptionHelpFormatter
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=kind)
    parser.add_argument("--states", type=int, default=1_000_000)
    parser.add_argument("--menu", choices=MENUS, default="")
    arguments = parser.parse_args()
    for menu in [arguments.menu] if arguments.menu else MENUS:
        state_count, move_count, depth, violation, path = search(arguments.states, menu=menu)
        print(
            f"{menu}: {state_count} states by {move_count} moves, all up to depth {depth - 1}: "
            f"{violation or 'nothing wrong'}",
            flush=True,
        )
        for move in path:
            print("  ", *move)
        if violation:
            return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
