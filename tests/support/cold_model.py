"""Cold engines under the sum of all gateways: a model without sockets, of the module's own decisions.

Many gateways, each with its own seed and its own news, take traffic of two classes in front of engines of
which some have just started. Each request that reaches a cold engine is counted in the window that the
settings name: an engine falls when it gets more than N + 2 root N + 2 requests of mean work there, N being
what the settings allow it then, and the rule is broken where over two thirds of that came from gateways that
had been told of the start.

    python tests/support/cold_model.py share [--plays 8] [--only NAME] [--first SEED]   how often it falls
    python tests/support/cold_model.py worth [--plays 8] [--only NAME] [--first SEED]   worth lost by caution
"""

import search_paths  # noqa: F401 - for a play that is run by hand

# isort: split

import argparse
import math
import sys
from collections import deque
from dataclasses import dataclass, field, replace
from heapq import heappop, heappush
from random import Random

from fennelwind import policy
from fennelwind.policy.gateway import Gateway

THREADS = (1, 4)


@dataclass(frozen=True)
class Case:
    """What is played: the fleet, what happens to it, and what the gateways know."""

    gateways: int = 30
    engines: int = 12
    cores: int = 8
    load: float = 0.9  # offered work over the warm capacity of all engines
    trouble: str = "join"  # join: four in ten replaced; zone: half are lost and return cold; all: every one
    estimates: str = "rough"  # rough, half (told half of the work) or none
    work: tuple[float, float] = (126.0, 3300.0)  # mean work of the classes, ms
    shares: tuple[float, float] = (14.0, 2.5)
    spread: tuple[float, float] = (1.2, 1.4)  # variation of a request's work
    aims: tuple[float, float] = (750.0, 2000.0)
    skew: float = 1.0  # standard deviation of the logarithm of a gateway's traffic; 1: some see several means
    late: float = 0.0  # share of attempts that leave late, as their connection comes up
    late_ms: float = 1500.0  # at most so late
    kill: float = 0.0  # share of the gateways that are killed at once when engines have just started
    roll: bool = False  # all of them one after another, a tenth at a time
    errors: float = 0.0  # share of attempts at warm engines that are reset
    parallel: bool = True
    fall_multiple: float = 2.0
    fall_ms: float = 2000.0
    cold_share: float = 0.34
    cold_ms: float = 15000.0
    length_ms: float = 9000.0
    rule: str = "module"  # module, none, or fleet: whole sums known to all, at once and exactly

    @property
    def mean(self) -> float:
        """Return the mean work of a request."""
        return sum(w * s for w, s in zip(self.work, self.shares, strict=True)) / sum(self.shares)

    def warmth(self, up: float) -> float:
        """Return the share of the capacity that the settings promise so long after a start."""
        return min(1.0, self.cold_share + (1.0 - self.cold_share) * max(0.0, up) / self.cold_ms)

    def allowed(self, up: float) -> float:
        """Return N."""
        return self.fall_multiple * self.warmth(up) * self.cores * self.fall_ms / self.mean

    def falls_at(self, up: float) -> float:
        """Return the requests of mean work beyond which an engine falls."""
        n = self.allowed(up)
        return n + 2.0 * math.sqrt(n) + 2.0


@dataclass
class Result:
    """What came of a play, or of several."""

    lives: int = 0
    falls: int = 0
    broken: int = 0
    by_class: int = 0  # lives that would have fallen if each request weighed as its class's mean
    most: list[float] = field(default_factory=list)  # of each life: the busiest window over what is allowed
    nearest: list[float] = field(default_factory=list)  # the same over what it falls at
    told: list[float] = field(default_factory=list)  # the same of what came from gateways told of the start
    by_calls: list[float] = field(default_factory=list)  # calls of those, whatever their work, over the bound
    worth: float = 0.0
    offered: float = 0.0

    def add(self, other: "Result") -> None:
        """Add what came of another play."""
        self.lives, self.falls, self.broken = (
            self.lives + other.lives,
            self.falls + other.falls,
            self.broken + other.broken,
        )
        self.by_class += other.by_class
        self.most += other.most
        self.nearest += other.nearest
        self.told += other.told
        self.by_calls += other.by_calls
        self.worth, self.offered = self.worth + other.worth, self.offered + other.offered


class Life:
    """One life of an engine, and what reached it."""

    def __init__(self, launched: float) -> None:
        self.launched, self.up = launched, True
        self.window: deque[tuple[float, float, float, bool]] = deque()  # time, work, class's work, was told
        self.most = self.nearest = self.nearest_by_class = self.nearest_told = 0.0
        self.nearest_by_calls = 0.0  # calls from gateways told of the start, each one as one, over the bound
        self.broken = self.fell = False
        self.threads = 0
        self.promised: deque[tuple[float, float]] = deque()  # what all gateways decided to send, for `fleet`

    def reached(self, case: Case, now: float, work: float, usual: float, told: bool) -> bool:
        """Count a request; tell whether the engine falls by it."""
        if not self.launched or now - self.launched >= case.cold_ms:
            return False
        window = self.window
        window.append((now, work, usual, told))
        while window[0][0] < now - case.fall_ms:
            window.popleft()
        total = sum(w for _, w, _, _ in window) / case.mean
        up = now - self.launched
        self.most = max(self.most, total / case.allowed(up))
        self.nearest = max(self.nearest, total / case.falls_at(up))
        self.nearest_by_class = max(
            self.nearest_by_class, sum(u for _, _, u, _ in window) / case.mean / case.falls_at(up)
        )
        sure = sum(w for _, w, _, told in window if told) / case.mean
        self.nearest_told = max(self.nearest_told, sure / case.falls_at(up))
        calls, n = sum(told for _, _, _, told in window), case.allowed(up)
        bound = n + 3.0 * math.sqrt(n) + 3.0 if n < 30.0 else n + 2.0 * math.sqrt(n) + 2.0
        self.nearest_by_calls = max(self.nearest_by_calls, calls / bound)
        if total <= case.falls_at(up) or self.fell:
            return False
        self.fell = True
        self.broken = sure > 2.0 / 3.0 * total
        return True


class Node:
    """A gateway's process: it is killed and starts anew with nothing remembered."""

    def __init__(self, me: int, traffic: float) -> None:
        self.me, self.traffic, self.starts = me, traffic, 0
        self.gateway: Gateway | None = None
        self.believed: dict[str, policy.EngineEndpoint] = {}


@dataclass
class Request:
    """A client's request, in the hands of one gateway."""

    cls: int
    work: float
    aim_at: float
    deadline: float
    done: bool = False
    attempts: int = 0
    out: dict[int, tuple[str, Life]] = field(default_factory=dict)


class World:
    """One play."""

    def __init__(self, case: Case, seed: int, make: type[Gateway] = Gateway) -> None:
        self.case, self.random, self.make, self.seed = case, Random(f"cold {seed}"), make, seed
        self.now, self.count = 0.0, 0
        self.heap: list = []
        self.lives: dict[str, Life] = {f"e{i:02}": Life(0.0) for i in range(case.engines)}
        self.past: list[Life] = []
        self.requests: dict[tuple[int, int, int], Request] = {}
        self.result = Result()
        self.classes = tuple(
            policy.QueryClass(
                name,
                aim,
                give_up,
                worth,
                latency_objective_slowdown=stretch,
                late_weight_share=late,
                threads=threads,
            )
            for name, aim, give_up, worth, stretch, late, threads in (
                ("lookup", case.aims[0], 4000.0, 1.0, 1.5, 0.0, THREADS[0]),
                ("build", case.aims[1], 15000.0, 10.0, 2.5, 0.4, THREADS[1]),
            )
        )
        self.nodes = [Node(me, math.exp(self.random.gauss(0.0, case.skew))) for me in range(case.gateways)]

    def at(self, time: float, what: str, *told: object) -> None:
        """Plan something."""
        self.count += 1
        heappush(self.heap, (time, self.count, what, told))

    def play(self) -> Result:
        """Play it all; return what came of it."""
        for node in self.nodes:
            self.start(node)
        self.at(0.0, "ask")
        self.plan()
        while self.heap:
            self.now, _, what, told = heappop(self.heap)
            if self.now > self.case.length_ms + 6000.0:
                break
            getattr(self, what)(*told)
        for life in self.past + list(self.lives.values()):
            if life.launched:
                self.result.lives += 1
                self.result.falls += life.fell
                self.result.broken += life.broken
                self.result.by_class += life.nearest_by_class > 1.0
                self.result.by_calls.append(life.nearest_by_calls)
                self.result.most.append(life.most)
                self.result.nearest.append(life.nearest)
                self.result.told.append(life.nearest_told)
        return self.result

    def plan(self) -> None:
        """Plan the troubles."""
        case, names = self.case, list(self.lives)
        if case.trouble == "join":
            for name in names[: max(1, round(0.4 * len(names)))]:
                self.at(1500.0 + self.random.random() * 2000.0, "replaced", name)
        else:
            lost = names[::2] if case.trouble == "zone" else names
            for name in lost:
                self.at(1000.0, "lost", name)
                self.at(3000.0 + self.random.random() * 300.0, "replaced", name)
        killed = self.random.sample(self.nodes, round(case.kill * len(self.nodes)))
        for node in killed:
            self.at(5000.0, "killed", node)
        if case.roll:
            tenth = max(1, math.ceil(len(self.nodes) / 10))
            for i, node in enumerate(self.random.sample(self.nodes, len(self.nodes))):
                self.at(2500.0 + 500.0 * (i // tenth), "killed", node)

    # What happens.

    def start(self, node: Node) -> None:
        """Start a gateway that remembers nothing; it is told of all engines."""
        case = self.case
        kept = dict(
            overload_multiple=case.fall_multiple if case.rule == "module" else 0.0,
            overload_window_ms=case.fall_ms,
            cold_capacity_share=case.cold_share,
            slow_start_ms=case.cold_ms,
        )
        settings = policy.Settings(
            self.classes,
            (case.cores,),
            gateway_count=case.gateways,
            gateway_index=node.me,
            can_cancel=True,
            allows_concurrent_attempts=case.parallel,
            max_attempts=3,
            allows_retry_after=True,
            max_retry_after_ms=2000.0,
            resolution_ms=5.0,
            **kept,
        )
        node.starts += 1
        node.gateway = self.make(settings, 1000 * self.seed + node.me + 1000000 * node.starts)
        if case.rule == "fleet":
            node.gateway.constraints.permits = self.whole(node.gateway)
        entries = tuple(
            policy.EngineEndpoint(name, "ready" if life.up else "gone", started_ms=life.launched)
            for name, life in self.lives.items()
        )
        node.believed = {entry.engine: entry for entry in entries}
        self.step(node, policy.EngineListUpdate("full", entries))

    def whole(self, gateway: Gateway):
        """Return a rule that knows what the whole fleet sends, to the request and without delay."""
        own, case = gateway.constraints.permits, self.case

        def permitted(query, engine, now_ms) -> bool:
            life = self.lives[engine.endpoint.engine]
            up = self.now - life.launched
            if life.launched and up < case.cold_ms:
                while life.promised and life.promised[0][0] < self.now - case.fall_ms - 100.0:
                    life.promised.popleft()
                sent = sum(work for _, work in life.promised)
                request = self.requests[
                    gateway.settings.gateway_index,
                    self.nodes[gateway.settings.gateway_index].starts,
                    query.request.query,
                ]
                if sent + request.work > case.allowed(up) * case.mean:
                    return False
            return own(query, engine, now_ms)

        return permitted

    def step(self, node: Node, *events: policy.Event) -> None:
        """Give a gateway events; do what it decides."""
        gateway, mark = node.gateway, node.starts
        if gateway is None:
            return
        for action in gateway.step(self.now, list(events)):
            match action:
                case policy.StartTimer(delay, token):
                    self.at(self.now + delay, "timer", node, mark, token)
                case policy.StartAttempt(query, engine):
                    self.sent(node, query, engine)
                case policy.RejectQuery(query) | policy.FailQuery(query):
                    self.requests[node.me, mark, query].done = True
                case policy.CancelAttempt(query, number):
                    self.at(self.now + 1.0, "ended", node, mark, query, number, "cancelled", self.now, False)

    def timer(self, node: Node, mark: int, token: int) -> None:
        """A gateway's timer is due."""
        if node.starts == mark:
            self.step(node, policy.TimerFired(token))

    def ask(self) -> None:
        """A client asks some gateway that lives; the next one is planned."""
        case = self.case
        rate = case.load * case.engines * case.cores / case.mean
        if self.now < case.length_ms:
            self.at(self.now + self.random.expovariate(rate), "ask")
        cls = int(self.random.random() * sum(case.shares) >= case.shares[0])
        sigma = math.sqrt(math.log(1.0 + case.spread[cls] ** 2))
        work = case.work[cls] * math.exp(self.random.gauss(-sigma * sigma / 2.0, sigma))
        rough = math.exp(self.random.gauss(0.0, 0.3))
        told = {"rough": work * rough, "half": work * rough / 2.0, "none": None}[case.estimates]
        alive = [node for node in self.nodes if node.gateway is not None]
        if not alive:
            return
        node = self.random.choices(alive, [node.traffic for node in alive])[0]
        made = self.classes[cls]
        request = Request(
            cls,
            work,
            self.now + made.latency_objective_ms + made.latency_objective_slowdown * work / made.threads,
            self.now + made.client_timeout_ms,
        )
        self.result.offered += made.priority_weight
        self.count += 1
        self.requests[node.me, node.starts, self.count] = request
        self.step(node, policy.QueryArrived(self.count, cls, request.deadline, estimated_work_ms=told))

    def sent(self, node: Node, query: int, engine: str) -> None:
        """An attempt is decided; it reaches the engine when its connection is up."""
        case, request = self.case, self.requests[node.me, node.starts, query]
        number, request.attempts = request.attempts, request.attempts + 1
        delay = 1.0 + self.random.random()
        if self.random.random() < case.late:
            delay += self.random.random() * case.late_ms
        life = self.lives[engine]
        life.promised.append((self.now + delay, request.work))
        self.at(self.now + delay, "reached", node, node.starts, query, number, engine, self.now)

    def reached(self, node: Node, mark: int, query: int, number: int, engine: str, began: float) -> None:
        """An attempt reaches its engine, and its answer is planned."""
        case, request, life = self.case, self.requests[node.me, mark, query], self.lives[engine]
        if node.starts != mark or request.done:
            return
        if not life.up:
            self.at(self.now + 1.0, "ended", node, mark, query, number, "connect_failed", began, False)
            return
        told = node.believed[engine].started_ms == life.launched
        if life.reached(case, self.now, request.work, case.work[request.cls], told):
            self.lost(engine)
            return
        threads = THREADS[request.cls]
        life.threads += threads
        request.out[number] = engine, life
        if not life.launched and self.random.random() < case.errors:
            self.at(self.now + 20.0, "ended", node, mark, query, number, "reset", began, False)
            return
        warmth = case.warmth(self.now - life.launched) if life.launched else 1.0
        slow = max(1.0, life.threads / case.cores) / warmth
        took = request.work / threads * slow * math.exp(self.random.gauss(0.0, 0.1)) + 1.0
        self.at(self.now + took, "ended", node, mark, query, number, "ok", began, True)

    def ended(
        self, node: Node, mark: int, query: int, number: int, status: str, began: float, finished: bool
    ) -> None:
        """An attempt ends, in whatever way came first."""
        request = self.requests[node.me, mark, query]
        where = request.out.pop(number, None)
        if where is not None:
            where[1].threads -= THREADS[request.cls]
            if not where[1].up:
                status, finished = "reset", False
        elif status == "ok":
            return  # it was called off meanwhile
        if node.starts != mark:
            return
        if status == "ok" and not request.done:
            request.done = True
            cls = self.classes[request.cls]
            late = cls.late_weight_share if self.now <= request.deadline else 0.0
            self.result.worth += cls.priority_weight * (1.0 if self.now <= request.aim_at else late)
        gateway = node.gateway
        if gateway is None or query not in gateway.queries or number >= len(gateway.queries[query].attempts):
            return
        engine = gateway.queries[query].attempts[number].engine.endpoint.engine
        self.step(node, policy.AttemptEnded(query, number, engine, status, self.now - began, finished))

    def lost(self, engine: str) -> None:
        """An engine ends at once; all that is out there is reset, and the gateways hear of it by and by."""
        life = self.lives[engine]
        life.up = False
        for (me, mark, query), request in self.requests.items():
            for number, (where, held) in list(request.out.items()):
                if where == engine and held is life:
                    self.at(
                        self.now + 1.0, "ended", self.nodes[me], mark, query, number, "reset", self.now, False
                    )
        self.tell(policy.EngineEndpoint(engine, "gone"))

    def replaced(self, engine: str) -> None:
        """An engine starts anew under its name."""
        if self.lives[engine].up:
            life = self.lives[engine]
            life.up = False
        self.past.append(self.lives[engine])
        self.lives[engine] = Life(self.now)
        self.tell(policy.EngineEndpoint(engine, started_ms=self.now))

    def tell(self, entry: policy.EngineEndpoint) -> None:
        """Tell all gateways, each in its own time."""
        for node in self.nodes:
            self.at(self.now + 100.0 + self.random.random() * 2200.0, "heard", node, entry)

    def heard(self, node: Node, entry: policy.EngineEndpoint) -> None:
        """A gateway hears of an engine; news of a life that is past is not told after that of the next."""
        known = node.believed.get(entry.engine)
        if known is not None and known.started_ms > entry.started_ms and entry.state != "gone":
            return
        life = self.lives[entry.engine]
        if entry.state == "gone" and life.up:
            return
        node.believed[entry.engine] = entry
        self.step(node, policy.EngineListUpdate("delta", (entry,)))

    def killed(self, node: Node) -> None:
        """A gateway is killed; its clients go, and another starts in its place."""
        for (me, mark, _), request in self.requests.items():
            if me == node.me and mark == node.starts:
                request.done = True
        node.gateway = None
        self.at(self.now + 300.0 + self.random.random() * 700.0, "start", node)


def interval(hits: int, of: int) -> tuple[float, float]:
    """Return Wilson's 95% interval of a share."""
    z = 1.96
    if not of:
        return 0.0, 1.0
    p = hits / of
    middle = (p + z * z / 2 / of) / (1 + z * z / of)
    half = z * math.sqrt(p * (1 - p) / of + z * z / 4 / of / of) / (1 + z * z / of)
    return max(0.0, middle - half), min(1.0, middle + half)


def fleet(gateways: int, **changes: object) -> Case:
    """Return a case with engines in proportion, four in ten of the gateways."""
    return Case(gateways=gateways, engines=min(40, max(6, round(0.4 * gateways))), **changes)


CASES: dict[str, Case] = {f"{n} gateways": fleet(n) for n in (1, 2, 4, 8, 20, 30, 100, 200)}
for n in (2, 20, 30, 200):
    full = fleet(n, trouble="all", load=2.0, work=(40.0, 160.0), aims=(400.0, 800.0))  # work for all budgets
    CASES |= {
        f"{n}, budgets full": full,
        f"{n}, budgets full, estimates half": replace(full, estimates="half"),
        f"{n}, budgets full, no estimates": replace(full, estimates="none"),
        f"{n}, budgets full, no estimates, aims short": replace(full, estimates="none", aims=(50.0, 100.0)),
        f"{n}, budgets full, late connections": replace(full, late=1 / 3),
        f"{n}, budgets full, seven in ten killed": replace(full, kill=0.7),
        f"{n}, budgets full, large mixed in": replace(full, work=(30.0, 180.0), shares=(6.0, 1.0)),
        f"{n}, budgets full, one size": replace(full, work=(150.0, 150.0), spread=(0.1, 0.1)),
        f"{n}, budgets full, one size, even traffic": replace(
            full, work=(150.0, 150.0), spread=(0.1, 0.1), skew=0.0
        ),
        f"{n}, budgets full, one size, even traffic, all at once": replace(
            full, work=(150.0, 150.0), spread=(0.1, 0.1), skew=0.0, kill=0.7, late=1 / 3, estimates="half"
        ),
        f"{n}, budgets full, all at once": replace(full, kill=0.7, late=1 / 3, errors=0.2, estimates="half"),
        f"{n}, skewed more": fleet(n, skew=1.6),
        f"{n}, no estimates": fleet(n, estimates="none"),
        f"{n}, estimates half": fleet(n, estimates="half"),
        f"{n}, zone back cold": fleet(n, trouble="zone"),
        f"{n}, all back cold": fleet(n, trouble="all", load=1.3),
        f"{n}, seven in ten killed": fleet(n, trouble="zone", kill=0.7),
        f"{n}, a tenth at a time": fleet(n, trouble="zone", roll=True),
        f"{n}, late connections": fleet(n, trouble="zone", late=1 / 3),
        f"{n}, resets at others": fleet(n, trouble="zone", errors=0.2),
        f"{n}, small work": fleet(n, trouble="zone", work=(40.0, 160.0), aims=(400.0, 800.0)),
        f"{n}, work far apart": fleet(n, trouble="zone", work=(30.0, 6000.0), shares=(40.0, 1.0)),
        f"{n}, one size": fleet(n, trouble="zone", work=(200.0, 200.0), spread=(0.1, 0.1)),
        f"{n}, large engines": fleet(n, trouble="zone", cores=32),
        f"{n}, all at once": fleet(
            n, trouble="all", kill=0.7, late=1 / 3, errors=0.2, estimates="half", load=1.3
        ),
        f"{n}, all at once, none told": fleet(
            n, trouble="all", kill=0.7, late=1 / 3, errors=0.2, estimates="none", load=1.3
        ),
    }


def sample(case: Case, seeds: range, make: type[Gateway] = Gateway) -> Result:
    """Play a case on several seeds."""
    result = Result()
    for seed in seeds:
        result.add(World(case, seed, make).play())
    return result


def shares(names: list[str], seeds: range) -> None:
    """Print how often a cold engine falls."""
    print("| case | N | lives | fall | broken (95%) | by class | told's part of a fall: median, most |")
    print("| --- | --- | --- | --- | --- | --- | --- |")
    for name in names:
        case = CASES[name]
        r = sample(case, seeds)
        low, high = interval(r.broken, r.lives)
        told = sorted(r.told)
        print(
            f"| {name} | {case.allowed(0.0):.0f} | {r.lives} | {r.falls} | {r.broken} ({low:.4f} to "
            f"{high:.4f}) | {r.by_class} | {told[len(told) // 2]:.2f}, {told[-1]:.2f} |",
            flush=True,
        )


def worth(names: list[str], seeds: range) -> None:
    """Print the worth served with each rule on the same seeds."""
    print("| case | as landed | fell | no rule | fell | whole sums known | fell |")
    print("| --- | --- | --- | --- | --- | --- | --- |")
    for name in names:
        cells = []
        for rule in ("module", "none", "fleet"):
            r = sample(replace(CASES[name], rule=rule), seeds)
            cells.append(f"{r.worth / r.offered:.3f} | {r.falls} of {r.lives}")
        print(f"| {name} | {' | '.join(cells)} |", flush=True)


def main(words: list[str]) -> None:
    """Run the script."""
    parser = argparse.ArgumentParser()
    parser.add_argument("what", choices=("share", "worth"))
    parser.add_argument("--plays", type=int, default=8)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--only", default="")
    told = parser.parse_args(words)
    names = [name for name in CASES if told.only in name]
    {"share": shares, "worth": worth}[told.what](names, range(told.first, told.first + told.plays))


if __name__ == "__main__":
    main(sys.argv[1:])
