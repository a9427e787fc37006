"""Controllers, their clocks and a record with leases in virtual time, by seed: do two ever act at once?

python tests/support/lease_play.py --seeds 10000 [--first 1] [--kind fences|plain]

`fences`: pauses longer than the term anywhere, and a resource that refuses older fences. `plain`: the
resource checks nothing; a pause between a check and its effect, together with the call's way, stays within
the stated bound, others are as long. Both: clocks up to the stated drift, loss, doubling, late and reordered
asks and answers, restarts, ends, gaps without a leader, in which the record's clock stands still.
"""

import search_paths  # noqa: F401 - for a play that is run by hand

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

TERM_MS, PAUSE_MS, ACT_MS = 2000, 150.0, 400.0  # ms: of the played tasks
PLAYED_MS, CALM_MS = 25_000.0, 16_000.0  # ms with faults, and without them after it
CLOCK_MS = (20.0, 500.0)  # ms after which a leader looks whether something lapses; the first is sharp
TASKS = ("moves", "vacuum")


class Violation(AssertionError):
    """Two acted, or believed that they might, at once."""


class Leader:
    """The record under leaders that come and go, each with a clock of its own pace."""

    def __init__(self, play: "Play") -> None:
        self.play = play
        self.record = ReplicatedState([LeaseStateMachine()])
        self.index = self.stamped = 0
        self.change()

    def change(self) -> None:
        self.pace, self.since, self.base = self.play.pace(), self.play.now, self.stamped

    def clock(self) -> int:
        return max(self.stamped, self.base + int((self.play.now - self.since) * self.pace))

    def open(self) -> int:
        """Return a new client's number."""
        return self.write(council.Command()).index

    def write(self, command: council.Command | None = None) -> council.Result:
        self.index, self.stamped = self.index + 1, self.clock()
        entry = council.Entry(term=1, index=self.index, clock_ms=self.stamped)
        if command is None:
            entry.nothing = True
        else:
            entry.command.CopyFrom(command)
        result = self.record.apply(entry)
        self.play.watched()
        return result


class Controller:
    """One process: a holder, its clock, the code of its tasks; it stands still, ends and starts anew."""

    def __init__(self, play: "Play", number: int) -> None:
        self.play, self.number, self.lives = play, number, 0
        self.start()

    def start(self) -> None:
        self.lives += 1
        self.life = ControllerIncarnation(f"c{self.number}", b"%d" % self.lives)
        self.pace, self.offset = self.play.pace(), self.play.random.uniform(0, 1e6)
        self.born, self.paused_until, self.alive, self.offers = self.play.now, 0.0, True, ()
        self.cut_until: dict[str, float] = {}
        self.client = self.play.leader.open()
        self.holder = LeaseClient(self.life, self.play.seed, max_pause_ms=PAUSE_MS)
        self.acting: Counter[str] = Counter()
        self.timer = 0
        self.wanted = {task for task in TASKS if self.play.random.random() < 0.8}
        self.step([lease_events.AcquireLease(task, TERM_MS) for task in sorted(self.wanted)])

    def clock(self) -> float:
        return self.offset + (self.play.now - self.born) * self.pace

    def later(self, ms: float, what: Callable, *args) -> None:
        """Run something in this life after ms of its clock; not before a pause is over."""
        self.play.at(self.play.now + ms / self.pace, self._run, self.life, what, args)

    def _run(self, life: ControllerIncarnation, what: Callable, args: tuple) -> None:
        if not self.alive or self.life != life:
            return
        if self.play.now < self.paused_until:
            self.play.at(self.paused_until, self._run, life, what, args)
        else:
            what(*args)

    def step(self, events: list[lease_events.Event]) -> None:
        for action in self.holder.step(self.clock(), events):
            match action:
                case lease_events.SendCommand(token, body):
                    self.play.ask(self, token, body)
                case lease_events.LeaseAcquired(task, _, _):
                    self.later(self.play.random.choice([0, self.play.random.uniform(0, 200)]), self.act, task)
                case lease_events.SetTimer(at):
                    self.timer += 1
                    self.later(max(0.0, at - self.clock()) + 0.01, self.woken, self.timer)
                case lease_events.ShutdownComplete():
                    self.alive = False
        self.play.believes(self)

    def woken(self, timer: int) -> None:
        if timer == self.timer:
            self.step([lease_events.Wakeup()])

    # The code of a task: acts of some steps each, through the guard.

    def act(self, task: str) -> None:
        random = self.play.random
        try:
            guard = self.holder.guard(task)
            act = guard.begin(self.clock(), ACT_MS)
        except (LeaseError, KeyError):
            return
        self.play.counts["acts"] += 1
        steps = random.randint(1, 4)
        self.step_of(task, guard, act, steps)

    def step_of(self, task: str, guard, act, left: int) -> None:
        random = self.play.random
        if not self.play.may_continue(guard, self.clock(), act) or not left:
            guard.end(act)
            self.step([lease_events.Wakeup()])
            if random.random() < 0.03 and not self.play.calm:
                got = lease_events.SaveCheckpoint(task, b"%d" % act.fencing_token)
                self.step(
                    [random.choice([lease_events.TaskFailed(task), lease_events.ReleaseLease(task), got])]
                )
            self.later(random.uniform(10, 1000 if self.play.calm else 150), self.act, task)
            return
        # Between the check and its effect: the process may stand still, and the call takes its way.
        stands = self.play.stand_still(self)
        took = stands + self.play.way(stands)
        self.play.at(self.play.now + took, self.play.effect, self.life, task, act)
        if took < ACT_MS:  # else the call's answer is not waited for, and the act is left as it is
            then = took * self.pace + random.uniform(1, ACT_MS / 6)
            self.later(then, self.step_of, task, guard, act, left - 1)
        else:
            self.later(ACT_MS, self.act, task)


class Play:
    """One play; `run` raises `Violation`."""

    def __init__(self, seed: int, kind: str = "fences", played_ms: float = PLAYED_MS) -> None:
        self.seed, self.kind, self.random = seed, kind, Random(f"{kind} {seed}")
        self.played_ms = played_ms
        self.now, self.calm, self.clock_ms = 0.0, False, self.random.choice(CLOCK_MS)
        self._heap: list[tuple] = []
        self._order = itertools.count()
        self.counts: Counter[str] = Counter()
        self.beliefs: dict[str, dict[ControllerIncarnation, float]] = {
            task: {} for task in TASKS
        }  # true time of their end
        self.resource = FencedResource() if kind == "fences" else None
        self.acted: dict[str, list] = {task: [] for task in TASKS}  # acts in the order of their first step
        self.owner: dict[tuple[str, int], ControllerIncarnation] = {}
        self.controllers: list[Controller] = []
        self.leader = self.found()
        self.no_leader_until = 0.0
        self.controllers = [Controller(self, number) for number in range(3)]

    def found(self) -> Leader:
        return Leader(self)

    def pace(self) -> float:
        low, high = 1 - MAX_CLOCK_DRIFT, 1 + MAX_CLOCK_DRIFT
        return self.random.choice([low, high, low, high, self.random.uniform(low, high)])

    def may_continue(self, guard, now: float, act) -> bool:
        return guard.may_continue(now, act)

    def at(self, when: float, what: Callable, *args) -> None:
        heapq.heappush(self._heap, (when, next(self._order), what, args))

    def run(self) -> Counter:
        self.at(0.0, self.tick)
        for _ in range(self.random.randint(4, 16)):
            self.at(self.random.uniform(0, self.played_ms), self.fault)
        self.at(self.played_ms, self.end_of_faults)
        while self._heap and self._heap[0][0] <= self.played_ms + CALM_MS:
            self.now, _, what, args = heapq.heappop(self._heap)
            what(*args)
        self.check_end()
        return self.counts

    # The record.

    def tick(self) -> None:
        """Time alone, while something is due, by who leads."""
        self.at(self.now + self.clock_ms / self.leader.pace, self.tick)
        due = self.leader.record.next_expiry_clock_ms()
        if self.now >= self.no_leader_until and due is not None and due <= self.leader.clock():
            self.leader.write()

    def delay(self) -> float:
        if self.calm:
            return self.random.uniform(1, 10)
        return self.random.choice([self.random.uniform(1, 20)] * 9 + [self.random.uniform(1, 3000)])

    def lost(self, who: Controller, way: str) -> bool:
        """Tell whether something is lost on its way; asks and answers may be cut apart."""
        return not self.calm and (self.random.random() < 0.1 or self.now < who.cut_until.get(way, 0.0))

    def ask(self, who: Controller, token: int, body: bytes) -> None:
        self.counts["asks"] += 1
        command = council.Command(
            client=who.client, number=token, heard=max(0, token - 20), machine="leases", body=body
        )
        for _ in range(1 + (not self.calm and self.random.random() < 0.1)):
            if not self.lost(who, "asks"):
                self.at(self.now + self.delay(), self.asked, who, who.life, token, command)

    def asked(
        self, who: Controller, life: ControllerIncarnation, token: int, command: council.Command
    ) -> None:
        if self.now < self.no_leader_until:
            self.answered(who, life, lease_events.CommandAnswered(token, None, 100.0))
        else:
            result = self.leader.write(command)
            self.answered(
                who, life, lease_events.CommandAnswered(token, None if result.refusal else result.body)
            )

    def answered(
        self, who: Controller, life: ControllerIncarnation, answer: lease_events.CommandAnswered
    ) -> None:
        if not self.lost(who, "answers"):
            late = 0.0 if self.now >= who.cut_until.get("late", 0.0) else self.random.uniform(100, TERM_MS)
            self.at(self.now + self.delay() + late, who._run, life, who.step, ([answer],))

    def watched(self) -> None:
        """Tell each controller what is newly offered to it; that may be lost as well."""
        for who in self.controllers:
            offers = self.leader.record.machines["leases"].offers(who.life)
            if offers != who.offers and offers and not self.lost(who, "answers"):
                self.at(
                    self.now + self.delay(),
                    who._run,
                    who.life,
                    who.step,
                    ([lease_events.LeasesOffered(offers)],),
                )
            who.offers = offers

    # Faults.

    def fault(self) -> None:
        random, who = self.random, self.random.choice(self.controllers)
        match random.randrange(6):
            case 0:
                self.no_leader(random.uniform(100, 6000))
            case 1:
                self.pause(who, random.uniform(100, 4 * TERM_MS))
            case 2:
                self.kill(who)
                self.at(self.now + random.uniform(0, 2 * TERM_MS), self.start, who)
            case 3:
                if who.alive and self.now >= who.paused_until:
                    who.step([lease_events.Shutdown()])
                self.at(self.now + random.uniform(3000, 6000), self.start, who)
            case 4:
                self.leader.change()
            case 5:
                late = self.now + random.uniform(0, TERM_MS)
                who.cut_until = random.choice(
                    [
                        {"asks": late},
                        {"answers": late},
                        {"late": late},
                        {"late": late, "asks": late + 2 * TERM_MS},
                    ]
                )
        self.counts["faults"] += 1

    def no_leader(self, ms: float) -> None:
        self.no_leader_until = self.now + ms
        self.at(self.no_leader_until, self.leader.change)

    def pause(self, who: Controller, ms: float) -> None:
        who.paused_until = max(who.paused_until, self.now + ms)

    def stand_still(self, who: Controller) -> float:
        """Return for how long the process stands still between a check and its effect."""
        if self.random.random() < 0.02 and not self.calm:
            self.pause(who, self.random.uniform(0, 3 * TERM_MS if self.kind == "fences" else PAUSE_MS / 2))
        return max(0.0, who.paused_until - self.now)

    def way(self, stands: float) -> float:
        """Return how long a call takes to the resource; with no fences, all is within the stated bound.

        The bound is on the controller's clock: a fast one measures a true 100 ms as 120.
        """
        if self.kind == "plain":
            most = max(0.0, PAUSE_MS / (1 + MAX_CLOCK_DRIFT) - stands)
            return self.random.choice([most, self.random.uniform(0, most)])
        return self.delay()

    def kill(self, who: Controller) -> None:
        who.alive = False
        for beliefs in self.beliefs.values():
            beliefs.pop(who.life, None)

    def start(self, who: Controller) -> None:
        if not (self.calm and who.alive):
            self.kill(who)
            who.start()

    def end_of_faults(self) -> None:
        self.calm = True
        self.no_leader_until = 0.0
        self.leader.change()
        for who in self.controllers:
            who.paused_until = 0.0
            if not who.alive:
                who.start()
            who.step([lease_events.AcquireLease(task, TERM_MS) for task in TASKS])

    # What is checked.

    def believes(self, who: Controller) -> None:
        """Note until when, in true time, its guards let acts pass; nobody else's may at the same time."""
        for task in TASKS:
            beliefs = self.beliefs[task]
            beliefs.pop(who.life, None)
            try:
                guard = who.holder.guard(task)
            except KeyError:
                continue
            end = self.now + (guard.valid_until_ms - who.clock()) / who.pace
            if (
                not who.alive
                or not guard.fencing_token
                or end <= self.now
                or not (guard.operation_budget_ms or guard.operations)
            ):
                continue
            beliefs[who.life] = end
            self.counts["beliefs"] += 1
            other = [life for life, until in beliefs.items() if life != who.life and until > self.now]
            if other:
                raise Violation(
                    f"seed {self.seed}: at {self.now:.0f} {who.life} believes to hold {task}, "
                    f"and so does {other[0]}"
                )

    def effect(self, life: ControllerIncarnation, task: str, act) -> None:
        """A step of an act comes to the resource, which notes it."""
        if self.resource is not None:
            try:
                self.resource.check(task, act.fencing_token)
            except LeaseError:
                self.counts["refused"] += 1
                return
            if self.owner.setdefault((task, act.fencing_token), life) != life:
                raise Violation(f"seed {self.seed}: fence {act.fencing_token} of {task} is two holders'")
        self.counts["steps"] += 1
        acted = self.acted[task]
        key = (life, act.fencing_token, act.number)
        if acted and acted[-1][0] != life and key in acted:
            raise Violation(
                f"seed {self.seed}: at {self.now:.0f} {life} goes on with act {act.number} of "
                f"{task} after {acted[-1][0]} has begun"
            )
        if not acted or acted[-1] != key:
            acted.append(key)
            del acted[:-50]

    def check_end(self) -> None:
        """After the faults somebody holds each task, but where all are passed over, and acts."""
        record = self.leader.record.machines["leases"]
        for task in TASKS:
            view = record.view(task)
            aside = view is not None and all(
                view.excluded_until_ms.get(f"c{number}", 0) > self.leader.stamped for number in range(3)
            )
            if view is None or not view.holder and not aside:
                raise Violation(f"seed {self.seed}: nobody holds {task} at the end: {view}")
        if self.counts["steps"] < 5:
            raise Violation(f"seed {self.seed}: hardly anything was done: {self.counts}")


def main(play: type[Play] = Play, told: str = __doc__, broken: type[Exception] = Violation) -> int:
    """Play seeds; tell how many, and the first that broke."""
    kind = argparse.RawDescriptionHelpFormatter
    parser = argparse.ArgumentParser(description=told, formatter_class=kind)
    parser.add_argument("--seeds", type=int, default=10_000)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--kind", choices=("fences", "plain"), default="")
    given = parser.parse_args()
    for kind in [given.kind] if given.kind else ["fences", "plain"]:
        counts: Counter[str] = Counter()
        for seed in range(given.first, given.first + given.seeds):
            try:
                counts += play(seed, kind).run()
            except broken as exc:
                print(f"{kind}: seed {seed}: {exc}")
                return 1
        print(f"{kind}: {given.seeds} seeds, none broke; {dict(sorted(counts.items()))}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
