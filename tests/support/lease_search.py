"""Every order of events of two holders and the machine, to a depth: can both believe that they hold a task?

python tests/support/lease_search.py [--states 1000000] [--menu late|crash|fail|spare]

The real holder, guard and machine. Time goes in ticks; the record's clock is as fast and the first holder's
as slow as the stated drift allows, so that a lease ends on the record at the tick at which its holder has
just stopped counting on it. Asks and answers come in any order, late or never (one that is never delivered);
holders stand still over a tick. Besides, by menu: asks are doubled (the record's memory of done commands is
left out), holders crash and start anew, fail or hand over, or have two tasks, one to spare. Breadth first,
each state once. Two states are one if they differ by nothing but a shift of all times, by which numbers stand
for the same order of fences, or by what can't matter within some seconds (`World.key`).
"""

import search_paths  # noqa: F401 - for a play that is run by hand

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

TERM_MS, PAUSE_MS, ACT_MS = 300, 0.0, 60.0  # ms; the shortest term is two ticks of the fast record
TICKS = {"a": 100.0, "b": 125.0, "record": 150.0}  # ms on each clock of 125 ms of true time; drift as stated
assert (
    TICKS["a"] == (1 - MAX_CLOCK_DRIFT) * TICKS["b"] and TICKS["record"] == (1 + MAX_CLOCK_DRIFT) * TICKS["b"]
)
UNDER_WAY = 4  # messages on their way; of more, the oldest is lost
MENUS = {  # tasks, doubled asks and events in one history, events
    "late": (1, 1, 0, ()),
    "crash": (1, 0, 2, ("crash", "leave")),
    "fail": (1, 1, 1, ("fail", "unwant")),
    "spare": (2, 0, 0, ()),
}


class Steady:
    """In place of chance: the longest wait."""

    def random(self) -> float:
        return 1.0


class World:
    """All of it; a value by its bytes."""

    def __init__(self, menu: str = "late") -> None:
        self.machine = LeaseStateMachine()
        tasks, self.doubles, self.events, self.kinds = MENUS[menu]
        self.tasks = tuple(f"t{n}" for n in range(tasks))
        self.tick = self.index = 0
        self.holders: dict[str, LeaseClient] = {}
        self.timers: dict[str, float] = {}
        self.lives: Counter[str] = Counter()
        self.acts: dict[str, tuple] = {}  # one act each, as task and act
        self.way: list[tuple[str, str, bytes, int, bytes | None]] = []  # kind, who, life, token, body
        for who in ("a", "b"):
            self.start(who)
            while self.way:
                self.deliver(0)

    def clock(self, who: str) -> float:
        return self.tick * TICKS[who]

    def start(self, who: str) -> None:
        self.lives[who] += 1
        self.holders[who] = LeaseClient(
            ControllerIncarnation(who, b"%d" % self.lives[who]), 0, max_pause_ms=PAUSE_MS
        )
        self.holders[who]._random = Steady()
        self.acts.pop(who, None)
        self.step(who, *(lease_events.AcquireLease(task, TERM_MS) for task in self.tasks))

    def step(self, who: str, *events: lease_events.Event) -> None:
        holder = self.holders[who]
        self.timers[who] = float("inf")
        for action in holder.step(self.clock(who), list(events)):
            match action:
                case lease_events.SendCommand(token, body):
                    self.way.append(("ask", who, holder.identity.incarnation, token, body))
                case lease_events.SetTimer(at):
                    self.timers[who] = at
        del self.way[:-UNDER_WAY]

    def deliver(self, number: int, double: bool = False) -> None:
        kind, who, life, token, body = self.way[number] if double else self.way.pop(number)
        if kind == "ask":
            self.entry()
            answer = self.machine.apply(LogPosition(self.index, int(self.clock("record"))), body, None)
            self.way.append(("answer", who, life, token, answer))
            del self.way[:-UNDER_WAY]
        elif self.holders[who].identity.incarnation == life:
            self.step(who, lease_events.CommandAnswered(token, body))

    def entry(self) -> None:
        self.index += 1
        now = LogPosition(self.index, int(self.clock("record")))
        due = self.machine.next_expiry_clock_ms()
        if due is not None and due <= now.clock_ms:
            self.machine.expire_due(now)

    def watched(self, but: str = "") -> None:
        """Who is not standing still wakes where its time has come, and sees what is offered to it."""
        for who in self.holders:
            offers = self.machine.offers(self.holders[who].identity)
            if who != but and (offers or self.timers[who] <= self.clock(who)):
                self.step(who, lease_events.LeasesOffered(offers))

    # What may happen next.

    def moves(self) -> Iterator[tuple]:
        yield from (("tick", ""), ("tick", "a"), ("tick", "b"))
        for number, message in enumerate(self.way):
            if message not in self.way[:number]:
                yield ("deliver", number)
                if self.doubles and message[0] == "ask":
                    yield ("double", number)
        for who in self.holders:
            held = self.holders[who].held_tasks(self.clock(who))
            if who in self.acts:
                yield ("end", who)
            elif held and who == "a":
                yield ("begin", who)
            if self.events:
                yield from ((kind, who) for kind in self.kinds if held or kind == "crash")

    def do(self, move: tuple) -> None:
        match move:
            case ("tick", still):
                self.tick += 1
                self.entry()
                self.watched(still)
            case ("deliver", number):
                self.deliver(number)
                self.watched()
            case ("double", number):
                self.deliver(number, True)
                self.doubles -= 1
            case ("begin", who):
                task = self.holders[who].held_tasks(self.clock(who))[0]
                try:
                    act = self.holders[who].guard(task).begin(self.clock(who), ACT_MS)
                    self.acts[who] = task, act
                except LeaseNotHeldError:
                    pass
            case ("end", who):
                task, act = self.acts.pop(who)
                if task in self.holders[who]._leases:
                    self.holders[who].guard(task).end(act)
                self.step(who, lease_events.Wakeup())
            case ("crash", who):
                self.events -= 1
                self.start(who)
            case (event, who):
                self.events -= 1
                task = self.tasks[0]
                self.step(
                    who,
                    *{
                        "fail": (lease_events.TaskFailed(task),),
                        "leave": (lease_events.Shutdown(),),
                        "unwant": (lease_events.ReleaseLease(task), lease_events.AcquireLease(task, TERM_MS)),
                    }[event],
                )

    # What is checked.

    def wrong(self) -> str:
        """Return what is wrong, or nothing."""
        for task in self.tasks:
            believe = [
                who
                for who, holder in self.holders.items()
                if task in holder._leases
                and (guard := holder.guard(task)).fencing_token
                and self.clock(who) < guard.valid_until_ms
                and (guard.operation_budget_ms or guard.operations)
            ]
            if len(believe) > 1:
                return f"{task} is held by {' and by '.join(believe)}"
            acting = [
                who
                for who, (name, act) in self.acts.items()
                if name == task
                and task in self.holders[who]._leases
                and self.holders[who].guard(task).may_continue(self.clock(who), act)
            ]
            if acting and believe and acting != believe:
                return f"{acting[0]} acts on {task}, which {believe[0]} holds"
        return ""

    # Which states are one.

    def key(self) -> bytes:
        """Return what tells this state from others."""
        fences: set[int] = set()
        asks = [(kind, who, life, token, _body(kind, body)) for kind, who, life, token, body in self.way]
        for *_, told in asks:
            fences |= {one[2] for one in told[0]}
        state = pb.LeaseState.FromString(self.machine.snapshot())
        fences |= {task.fence for task in state.tasks} | {act.fencing_token for _, act in self.acts.values()}
        fences |= {
            lease.fencing_token for holder in self.holders.values() for lease in holder._leases.values()
        }
        rank = {fence: number for number, fence in enumerate(sorted(fences | {0}))}
        clock = int(self.clock("record"))

        def age(who: str, life: bytes) -> int:
            return self.lives[who] - int(life)

        found: list = [self.doubles, self.events]
        for task in state.tasks:
            holder = task.holder
            found.append(
                (
                    task.name,
                    holder.name,
                    age(holder.name, holder.life or b"0"),
                    rank[task.fence],
                    task.until_ms - clock,
                    [(w.who.name, age(w.who.name, w.who.life)) for w in task.waiters],
                    [(one.name, one.failures, max(0, one.until_ms - clock)) for one in task.asides],
                )
            )
        for who, holder in self.holders.items():
            now = self.clock(who)
            found.append(
                (
                    who,
                    holder._is_shutting_down,
                    holder._is_shut_down,
                    holder._shutdown_attempts,
                    _left(holder._backoff_until_ms, now),
                    holder._failed_attempts,
                    _left(self.timers[who], now),
                    None if holder._awaited is None else now - holder._sent[holder._awaited].sent_at_ms,
                )
            )
            for name, lease in sorted(holder._leases.items()):
                found.append(
                    (
                        name,
                        lease.phase,
                        lease.release,
                        lease.is_wanted,
                        lease.is_offered,
                        rank[lease.fencing_token],
                        _left(lease.request_at_ms, now),
                        _left(lease.renew_at_ms, now),
                        _left(lease.guard.valid_until_ms, now),
                        lease.guard.operation_budget_ms > 0,
                        lease.rejections,
                        sorted(act.deadline_ms - now for act in lease.guard.operations.values()),
                    )
                )
        for who, (task, act) in sorted(self.acts.items()):
            found.append(
                (
                    who,
                    task,
                    rank[act.fencing_token],
                    act.deadline_ms - self.clock(who),
                    act.number
                    in (
                        self.holders[who]._leases[task].guard.operations
                        if task in self.holders[who]._leases
                        else ()
                    ),
                )
            )
        on_way = []
        for kind, who, life, token, (told, more) in asks:
            holder, sent = self.holders[who], None
            if holder.identity.incarnation == life:
                of = holder._sent.get(token)
                sent = of and (
                    token == holder._awaited,
                    self.clock(who) - of.sent_at_ms,
                    [
                        (name, name in holder._leases and holder._leases[name].epoch == epoch)
                        for name, epoch in of.epochs.items()
                    ],
                )
            on_way.append(
                (
                    kind,
                    who,
                    age(who, life),
                    sent,
                    [(name, what, rank[fence], rest) for name, what, fence, rest in told],
                    more,
                )
            )
        return hashlib.blake2b(repr((found, on_way)).encode(), digest_size=12).digest()

    def __getstate__(self) -> dict:
        return {**self.__dict__, "machine": self.machine.snapshot()}

    def __setstate__(self, state: dict) -> None:
        self.__dict__.update(state)
        data, self.machine = self.machine, LeaseStateMachine()
        self.machine.restore(data)


def _left(at: float, now: float) -> float:
    """Return for how long something is still to come; what has come is one."""
    return max(0.0, at - now)


@lru_cache(100_000)
def _body(kind: str, body: bytes) -> tuple[list, tuple]:
    """Return what a message says of each task: name, what, fence and the rest; and what it says besides."""
    if kind == "ask":
        asked = pb.LeaseCommand.FromString(body)
        return [
            (
                ask.task,
                what,
                getattr(getattr(ask, what), "fence", 0),
                what == "hand_over" and ask.hand_over.only_spare or what == "give_up" and ask.give_up.reason,
            )
            for ask in asked.asks
            if (what := ask.WhichOneof("what"))
        ], (asked.leave,)
    answer = pb.LeaseAnswer.FromString(body)
    return [("", told.state, told.fence, (told.refusal, told.term_ms, told.spare)) for told in answer.told], (
        tuple(answer.offers),
        answer.waits,
    )


def search(states_most: int, menu: str = "late") -> tuple[int, int, int, str, list]:
    """Return states, moves, depth, and what was wrong by which moves, if anything."""
    first = World(menu)
    seen = {first.key()}
    waiting = deque([(pickle.dumps(first), 0, ())])
    moved = depth = 0
    while waiting and len(seen) < states_most:
        data, depth, path = waiting.popleft()
        world = pickle.loads(data)
        for move in list(world.moves())[::-1]:
            world = world or pickle.loads(data)
            world.do(move)
            moved += 1
            wrong = world.wrong()
            if wrong:
                return len(seen), moved, depth + 1, wrong, _told((path, move))
            key = world.key()
            if key not in seen:
                seen.add(key)
                waiting.append((pickle.dumps(world), depth + 1, (path, move)))
            world = None
    return len(seen), moved, depth, "", []


def _told(path: tuple) -> list:
    moves = []
    while path:
        path, move = path
        moves.append(move)
    return moves[::-1]


def main() -> int:
    """Search; tell how many states, or the way to what is wrong."""
    kind = argparse.RawDescriptionHelpFormatter
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=kind)
    parser.add_argument("--states", type=int, default=1_000_000)
    parser.add_argument("--menu", choices=MENUS, default="")
    given = parser.parse_args()
    for menu in [given.menu] if given.menu else MENUS:
        states, moved, depth, wrong, path = search(given.states, menu=menu)
        print(
            f"{menu}: {states} states by {moved} moves, all up to depth {depth - 1}: "
            f"{wrong or 'nothing wrong'}",
            flush=True,
        )
        for move in path:
            print("  ", *move)
        if wrong:
            return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
