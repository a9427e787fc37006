"""Slow start under the sum of all gateways: a simulation of the policy's decisions, without sockets.

Many gateways, each with its own seed and its own delay of engine list updates, serve requests of two classes
on engines of which some have just started. Each request that reaches an engine in slow start is counted in
the window of the settings. An engine crashes when it gets more than N + 2 root N + 2 requests of mean work
there, N being what the settings allow at that time. The rule is violated if more than two thirds of that work
came from gateways that had been informed of the start.

    python tests/support/cold_model.py share [--plays 8] [--only NAME] [--first SEED]   crash share
    python tests/support/cold_model.py worth [--plays 8] [--only NAME] [--first SEED]   weight by rule
"""

import search_paths  # noqa: F401 - for a run by hand

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
    """What is simulated: the fleet, its faults, and what the gateways know."""

    gateway_count: int = 30
    engine_count: int = 12
    cores: int = 8
    load: float = 0.9  # offered work over the warm capacity of all engines
    scenario: str = "join"  # join: 40% replaced; zone: half are lost and restart cold; all: every engine is
    estimates: str = "rough"  # rough, half (half of the work is estimated) or none
    class_work_ms: tuple[float, float] = (126.0, 3300.0)  # mean work of the classes
    class_rates: tuple[float, float] = (14.0, 2.5)  # relative request rates of the classes
    work_variation: tuple[float, float] = (1.2, 1.4)  # coefficient of variation of a request's work
    objectives_ms: tuple[float, float] = (750.0, 2000.0)
    traffic_skew: float = (
        1.0  # standard deviation of log(gateway's traffic); at 1 some get several times the mean
    )
    late_share: float = 0.0  # share of attempts that are delayed by connecting
    max_delay_ms: float = 1500.0  # of those
    kill_share: float = 0.0  # share of the gateways that are killed together when engines have just started
    has_rolling_restart: bool = False  # of all gateways, a tenth at a time
    reset_share: float = 0.0  # share of attempts at warm engines that are reset
    allows_concurrent_attempts: bool = True
    overload_multiple: float = 2.0
    overload_window_ms: float = 2000.0
    cold_capacity_share: float = 0.34
    slow_start_ms: float = 15000.0
    duration_ms: float = 9000.0
    rule: str = "module"  # module: the policy's rule; none; fleet: exact sums of all gateways, known at once

    @property
    def mean_work_ms(self) -> float:
        """Return the mean work of a request."""
        return sum(w * s for w, s in zip(self.class_work_ms, self.class_rates, strict=True)) / sum(
            self.class_rates
        )

    def warm_up_fraction(self, up_ms: float) -> float:
        """Return the share of its capacity that the settings guarantee at this time after a start."""
        return min(
            1.0,
            self.cold_capacity_share
            + (1.0 - self.cold_capacity_share) * max(0.0, up_ms) / self.slow_start_ms,
        )

    def allowed_requests(self, up_ms: float) -> float:
        """Return N, the requests of mean work that the settings allow in a window."""
        return (
            self.overload_multiple
            * self.warm_up_fraction(up_ms)
            * self.cores
            * self.overload_window_ms
            / self.mean_work_ms
        )

    def crash_threshold(self, up_ms: float) -> float:
        """Return the requests of mean work in a window above which an engine crashes."""
        allowed = self.allowed_requests(up_ms)
        return allowed + 2.0 * math.sqrt(allowed) + 2.0


@dataclass
class Result:
    """The result of one run, or the sum of several."""

    incarnations: int = 0
    crashes: int = 0
    violations: int = 0
    by_class: int = 0  # incarnations that would have crashed if each request counted as its class's mean
    most: list[float] = field(default_factory=list)  # by incarnation: peak work in a window / allowed work
    nearest: list[float] = field(default_factory=list)  # the same / crash threshold
    informed: list[float] = field(default_factory=list)  # the same, only from gateways informed of the start
    by_calls: list[float] = field(default_factory=list)  # peak calls of informed gateways / their bound
    weight: float = 0.0
    offered_weight: float = 0.0

    def add(self, other: "Result") -> None:
        """Add the result of another run."""
        self.incarnations, self.crashes, self.violations = (
            self.incarnations + other.incarnations,
            self.crashes + other.crashes,
            self.violations + other.violations,
        )
        self.by_class += other.by_class
        self.most += other.most
        self.nearest += other.nearest
        self.informed += other.informed
        self.by_calls += other.by_calls
        self.weight, self.offered_weight = (
            self.weight + other.weight,
            self.offered_weight + other.offered_weight,
        )


class Incarnation:
    """One incarnation of an engine, and the requests that reached it."""

    def __init__(self, started_ms: float) -> None:
        self.started_ms, self.is_up = started_ms, True
        # (time, work, mean work of the class, whether the gateway was informed of the start)
        self.window: deque[tuple[float, float, float, bool]] = deque()
        self.most = self.nearest = self.nearest_by_class = self.nearest_informed = 0.0
        self.nearest_by_calls = 0.0  # calls from informed gateways / their bound, whatever their work
        self.is_violation = self.has_crashed = False
        self.running_threads = 0
        self.decided: deque[tuple[float, float]] = deque()  # (time, work) of all decisions, for rule `fleet`

    def record_request(
        self, case: Case, now: float, work: float, class_work: float, is_informed: bool
    ) -> bool:
        """Count a request; return whether it crashes the engine."""
        if not self.started_ms or now - self.started_ms >= case.slow_start_ms:
            return False
        window = self.window
        window.append((now, work, class_work, is_informed))
        while window[0][0] < now - case.overload_window_ms:
            window.popleft()
        total = sum(w for _, w, _, _ in window) / case.mean_work_ms
        up_ms = now - self.started_ms
        self.most = max(self.most, total / case.allowed_requests(up_ms))
        self.nearest = max(self.nearest, total / case.crash_threshold(up_ms))
        self.nearest_by_class = max(
            self.nearest_by_class,
            sum(u for _, _, u, _ in window) / case.mean_work_ms / case.crash_threshold(up_ms),
        )
        informed_total = sum(w for _, w, _, informed in window if informed) / case.mean_work_ms
        self.nearest_informed = max(self.nearest_informed, informed_total / case.crash_threshold(up_ms))
        calls, allowed = sum(informed for _, _, _, informed in window), case.allowed_requests(up_ms)
        bound = (
            allowed + 3.0 * math.sqrt(allowed) + 3.0
            if allowed < 30.0
            else allowed + 2.0 * math.sqrt(allowed) + 2.0
        )
        self.nearest_by_calls = max(self.nearest_by_calls, calls / bound)
        if total <= case.crash_threshold(up_ms) or self.has_crashed:
            return False
        self.has_crashed = True
        self.is_violation = informed_total > 2.0 / 3.0 * total
        return True


class GatewayProcess:
    """A gateway's process: when it is killed, it starts again without any state."""

    def __init__(self, index: int, traffic: float) -> None:
        self.index, self.traffic, self.starts = index, traffic, 0
        self.gateway: Gateway | None = None
        self.known: dict[str, policy.EngineEndpoint] = {}


@dataclass
class Request:
    """A client's request at one gateway."""

    class_index: int
    work: float
    objective_at: float
    deadline: float
    is_done: bool = False
    attempts: int = 0
    running: dict[int, tuple[str, Incarnation]] = field(default_factory=dict)


class Simulation:
    """One run of a case."""

    def __init__(self, case: Case, seed: int, gateway_type: type[Gateway] = Gateway) -> None:
        self.case, self.random, self.gateway_type, self.seed = (
            case,
            Random(f"cold {seed}"),
            gateway_type,
            seed,
        )
        self.now, self.count = 0.0, 0
        self.events: list = []
        self.engines: dict[str, Incarnation] = {
            f"e{i:02}": Incarnation(0.0) for i in range(case.engine_count)
        }
        self.previous_incarnations: list[Incarnation] = []
        self.requests: dict[tuple[int, int, int], Request] = {}
        self.result = Result()
        self.classes = tuple(
            policy.QueryClass(
                name,
                objective_ms,
                timeout_ms,
                weight,
                latency_objective_slowdown=slowdown,
                late_weight_share=late_share,
                threads=threads,
            )
            for name, objective_ms, timeout_ms, weight, slowdown, late_share, threads in (
                ("lookup", case.objectives_ms[0], 4000.0, 1.0, 1.5, 0.0, THREADS[0]),
                ("build", case.objectives_ms[1], 15000.0, 10.0, 2.5, 0.4, THREADS[1]),
            )
        )
        self.processes = [
            GatewayProcess(index, math.exp(self.random.gauss(0.0, case.traffic_skew)))
            for index in range(case.gateway_count)
        ]

    def schedule(self, time: float, event: str, *arguments: object) -> None:
        """Schedule a call of the method named `event`."""
        self.count += 1
        heappush(self.events, (time, self.count, event, arguments))

    def run(self) -> Result:
        """Run all events; return the result."""
        for process in self.processes:
            self.start_gateway(process)
        self.schedule(0.0, "send_request")
        self.schedule_faults()
        while self.events:
            self.now, _, event, arguments = heappop(self.events)
            if self.now > self.case.duration_ms + 6000.0:
                break
            getattr(self, event)(*arguments)
        for incarnation in self.previous_incarnations + list(self.engines.values()):
            if incarnation.started_ms:
                self.result.incarnations += 1
                self.result.crashes += incarnation.has_crashed
                self.result.violations += incarnation.is_violation
                self.result.by_class += incarnation.nearest_by_class > 1.0
                self.result.by_calls.append(incarnation.nearest_by_calls)
                self.result.most.append(incarnation.most)
                self.result.nearest.append(incarnation.nearest)
                self.result.informed.append(incarnation.nearest_informed)
        return self.result

    def schedule_faults(self) -> None:
        """Schedule the faults of the case."""
        case, names = self.case, list(self.engines)
        if case.scenario == "join":
            for name in names[: max(1, round(0.4 * len(names)))]:
                self.schedule(1500.0 + self.random.random() * 2000.0, "replace_engine", name)
        else:
            lost = names[::2] if case.scenario == "zone" else names
            for name in lost:
                self.schedule(1000.0, "lose_engine", name)
                self.schedule(3000.0 + self.random.random() * 300.0, "replace_engine", name)
        killed = self.random.sample(self.processes, round(case.kill_share * len(self.processes)))
        for process in killed:
            self.schedule(5000.0, "kill_gateway", process)
        if case.has_rolling_restart:
            tenth = max(1, math.ceil(len(self.processes) / 10))
            for i, process in enumerate(self.random.sample(self.processes, len(self.processes))):
                self.schedule(2500.0 + 500.0 * (i // tenth), "kill_gateway", process)

    # Events.

    def start_gateway(self, process: GatewayProcess) -> None:
        """Start a gateway without state; it gets a full list of the engines."""
        case = self.case
        slow_start_settings = dict(
            overload_multiple=case.overload_multiple if case.rule == "module" else 0.0,
            overload_window_ms=case.overload_window_ms,
            cold_capacity_share=case.cold_capacity_share,
            slow_start_ms=case.slow_start_ms,
        )
        settings = policy.Settings(
            self.classes,
            (case.cores,),
            gateway_count=case.gateway_count,
            gateway_index=process.index,
            can_cancel=True,
            allows_concurrent_attempts=case.allows_concurrent_attempts,
            max_attempts=3,
            allows_retry_after=True,
            max_retry_after_ms=2000.0,
            resolution_ms=5.0,
            **slow_start_settings,
        )
        process.starts += 1
        process.gateway = self.gateway_type(
            settings, 1000 * self.seed + process.index + 1000000 * process.starts
        )
        if case.rule == "fleet":
            process.gateway.constraints.permits = self.fleet_wide_constraint(process.gateway)
        endpoints = tuple(
            policy.EngineEndpoint(
                name, "ready" if incarnation.is_up else "gone", started_ms=incarnation.started_ms
            )
            for name, incarnation in self.engines.items()
        )
        process.known = {endpoint.engine: endpoint for endpoint in endpoints}
        self.step(process, policy.EngineListUpdate("full", endpoints))

    def fleet_wide_constraint(self, gateway: Gateway):
        """Return a constraint that knows at once, and exactly, what all gateways send."""
        own_constraint, case = gateway.constraints.permits, self.case

        def permits(query, engine, now_ms) -> bool:
            incarnation = self.engines[engine.endpoint.engine]
            up_ms = self.now - incarnation.started_ms
            if incarnation.started_ms and up_ms < case.slow_start_ms:
                while (
                    incarnation.decided
                    and incarnation.decided[0][0] < self.now - case.overload_window_ms - 100.0
                ):
                    incarnation.decided.popleft()
                sent = sum(work for _, work in incarnation.decided)
                request = self.requests[
                    gateway.settings.gateway_index,
                    self.processes[gateway.settings.gateway_index].starts,
                    query.request.query,
                ]
                if sent + request.work > case.allowed_requests(up_ms) * case.mean_work_ms:
                    return False
            return own_constraint(query, engine, now_ms)

        return permits

    def step(self, process: GatewayProcess, *events: policy.Event) -> None:
        """Pass events to a gateway; carry out its actions."""
        gateway, start = process.gateway, process.starts
        if gateway is None:
            return
        for action in gateway.step(self.now, list(events)):
            match action:
                case policy.StartTimer(delay, token):
                    self.schedule(self.now + delay, "fire_timer", process, start, token)
                case policy.StartAttempt(query, engine):
                    self.start_attempt(process, query, engine)
                case policy.RejectQuery(query) | policy.FailQuery(query):
                    self.requests[process.index, start, query].is_done = True
                case policy.CancelAttempt(query, number):
                    self.schedule(
                        self.now + 1.0,
                        "end_attempt",
                        process,
                        start,
                        query,
                        number,
                        "cancelled",
                        self.now,
                        False,
                    )

    def fire_timer(self, process: GatewayProcess, start: int, token: int) -> None:
        """Fire a gateway's timer."""
        if process.starts == start:
            self.step(process, policy.TimerFired(token))

    def send_request(self) -> None:
        """Send a request to one of the running gateways, and schedule the next one."""
        case = self.case
        rate = case.load * case.engine_count * case.cores / case.mean_work_ms
        if self.now < case.duration_ms:
            self.schedule(self.now + self.random.expovariate(rate), "send_request")
        class_index = int(self.random.random() * sum(case.class_rates) >= case.class_rates[0])
        sigma = math.sqrt(math.log(1.0 + case.work_variation[class_index] ** 2))
        work = case.class_work_ms[class_index] * math.exp(self.random.gauss(-sigma * sigma / 2.0, sigma))
        error = math.exp(self.random.gauss(0.0, 0.3))
        estimate = {"rough": work * error, "half": work * error / 2.0, "none": None}[case.estimates]
        running = [process for process in self.processes if process.gateway is not None]
        if not running:
            return
        process = self.random.choices(running, [process.traffic for process in running])[0]
        query_class = self.classes[class_index]
        request = Request(
            class_index,
            work,
            self.now
            + query_class.latency_objective_ms
            + query_class.latency_objective_slowdown * work / query_class.threads,
            self.now + query_class.client_timeout_ms,
        )
        self.result.offered_weight += query_class.priority_weight
        self.count += 1
        self.requests[process.index, process.starts, self.count] = request
        self.step(
            process,
            policy.QueryArrived(self.count, class_index, request.deadline, estimated_work_ms=estimate),
        )

    def start_attempt(self, process: GatewayProcess, query: int, engine: str) -> None:
        """Start an attempt; it reaches the engine when its connection is open."""
        case, request = self.case, self.requests[process.index, process.starts, query]
        number, request.attempts = request.attempts, request.attempts + 1
        delay = 1.0 + self.random.random()
        if self.random.random() < case.late_share:
            delay += self.random.random() * case.max_delay_ms
        incarnation = self.engines[engine]
        incarnation.decided.append((self.now + delay, request.work))
        self.schedule(
            self.now + delay, "reach_engine", process, process.starts, query, number, engine, self.now
        )

    def reach_engine(
        self, process: GatewayProcess, start: int, query: int, number: int, engine: str, started_ms: float
    ) -> None:
        """Let an attempt reach its engine, and schedule its end."""
        case, request, incarnation = (
            self.case,
            self.requests[process.index, start, query],
            self.engines[engine],
        )
        if process.starts != start or request.is_done:
            return
        if not incarnation.is_up:
            self.schedule(
                self.now + 1.0,
                "end_attempt",
                process,
                start,
                query,
                number,
                "connect_failed",
                started_ms,
                False,
            )
            return
        is_informed = process.known[engine].started_ms == incarnation.started_ms
        if incarnation.record_request(
            case, self.now, request.work, case.class_work_ms[request.class_index], is_informed
        ):
            self.lose_engine(engine)
            return
        threads = THREADS[request.class_index]
        incarnation.running_threads += threads
        request.running[number] = engine, incarnation
        if not incarnation.started_ms and self.random.random() < case.reset_share:
            self.schedule(
                self.now + 20.0, "end_attempt", process, start, query, number, "reset", started_ms, False
            )
            return
        capacity_share = (
            case.warm_up_fraction(self.now - incarnation.started_ms) if incarnation.started_ms else 1.0
        )
        slowdown = max(1.0, incarnation.running_threads / case.cores) / capacity_share
        took_ms = request.work / threads * slowdown * math.exp(self.random.gauss(0.0, 0.1)) + 1.0
        self.schedule(
            self.now + took_ms, "end_attempt", process, start, query, number, "ok", started_ms, True
        )

    def end_attempt(
        self,
        process: GatewayProcess,
        start: int,
        query: int,
        number: int,
        status: str,
        started_ms: float,
        is_final: bool,
    ) -> None:
        """End an attempt with the first of its scheduled outcomes."""
        request = self.requests[process.index, start, query]
        placement = request.running.pop(number, None)
        if placement is not None:
            placement[1].running_threads -= THREADS[request.class_index]
            if not placement[1].is_up:
                status, is_final = "reset", False
        elif status == "ok":
            return  # it was cancelled meanwhile
        if process.starts != start:
            return
        if status == "ok" and not request.is_done:
            request.is_done = True
            query_class = self.classes[request.class_index]
            late_share = query_class.late_weight_share if self.now <= request.deadline else 0.0
            self.result.weight += query_class.priority_weight * (
                1.0 if self.now <= request.objective_at else late_share
            )
        gateway = process.gateway
        if gateway is None or query not in gateway.queries or number >= len(gateway.queries[query].attempts):
            return
        engine = gateway.queries[query].attempts[number].engine.endpoint.engine
        self.step(
            process, policy.AttemptEnded(query, number, engine, status, self.now - started_ms, is_final)
        )

    def lose_engine(self, engine: str) -> None:
        """End an engine; its attempts are reset, and the gateways are informed later."""
        incarnation = self.engines[engine]
        incarnation.is_up = False
        for (index, start, query), request in self.requests.items():
            for number, (target, target_incarnation) in list(request.running.items()):
                if target == engine and target_incarnation is incarnation:
                    self.schedule(
                        self.now + 1.0,
                        "end_attempt",
                        self.processes[index],
                        start,
                        query,
                        number,
                        "reset",
                        self.now,
                        False,
                    )
        self.announce(policy.EngineEndpoint(engine, "gone"))

    def replace_engine(self, engine: str) -> None:
        """Start a new incarnation of an engine under its name."""
        if self.engines[engine].is_up:
            incarnation = self.engines[engine]
            incarnation.is_up = False
        self.previous_incarnations.append(self.engines[engine])
        self.engines[engine] = Incarnation(self.now)
        self.announce(policy.EngineEndpoint(engine, started_ms=self.now))

    def announce(self, endpoint: policy.EngineEndpoint) -> None:
        """Send an engine's state to all gateways, each with its own delay."""
        for process in self.processes:
            self.schedule(
                self.now + 100.0 + self.random.random() * 2200.0, "receive_update", process, endpoint
            )

    def receive_update(self, process: GatewayProcess, endpoint: policy.EngineEndpoint) -> None:
        """Pass an engine's state to a gateway, unless it is older than what the gateway knows."""
        known = process.known.get(endpoint.engine)
        if known is not None and known.started_ms > endpoint.started_ms and endpoint.state != "gone":
            return
        incarnation = self.engines[endpoint.engine]
        if endpoint.state == "gone" and incarnation.is_up:
            return
        process.known[endpoint.engine] = endpoint
        self.step(process, policy.EngineListUpdate("delta", (endpoint,)))

    def kill_gateway(self, process: GatewayProcess) -> None:
        """Kill a gateway; its clients disconnect, and it is started again."""
        for (index, start, _), request in self.requests.items():
            if index == process.index and start == process.starts:
                request.is_done = True
        process.gateway = None
        self.schedule(self.now + 300.0 + self.random.random() * 700.0, "start_gateway", process)


def wilson_interval(hits: int, trials: int) -> tuple[float, float]:
    """Return Wilson's 95% interval of a share."""
    z = 1.96
    if not trials:
        return 0.0, 1.0
    p = hits / trials
    middle = (p + z * z / 2 / trials) / (1 + z * z / trials)
    half = z * math.sqrt(p * (1 - p) / trials + z * z / 4 / trials / trials) / (1 + z * z / trials)
    return max(0.0, middle - half), min(1.0, middle + half)


def proportional_case(gateway_count: int, **changes: object) -> Case:
    """Return a case with four engines for ten gateways, from 6 to 40 engines."""
    return Case(
        gateway_count=gateway_count,
        engine_count=min(40, max(6, round(0.4 * gateway_count))),
        **changes,
    )


CASES: dict[str, Case] = {f"{n} gateways": proportional_case(n) for n in (1, 2, 4, 8, 20, 30, 100, 200)}
for n in (2, 20, 30, 200):
    full = proportional_case(  # enough work to use all budgets
        n, scenario="all", load=2.0, class_work_ms=(40.0, 160.0), objectives_ms=(400.0, 800.0)
    )
    CASES |= {
        f"{n}, budgets full": full,
        f"{n}, budgets full, estimates half": replace(full, estimates="half"),
        f"{n}, budgets full, no estimates": replace(full, estimates="none"),
        f"{n}, budgets full, no estimates, aims short": replace(
            full, estimates="none", objectives_ms=(50.0, 100.0)
        ),
        f"{n}, budgets full, late connections": replace(full, late_share=1 / 3),
        f"{n}, budgets full, seven in ten killed": replace(full, kill_share=0.7),
        f"{n}, budgets full, large mixed in": replace(
            full, class_work_ms=(30.0, 180.0), class_rates=(6.0, 1.0)
        ),
        f"{n}, budgets full, one size": replace(
            full, class_work_ms=(150.0, 150.0), work_variation=(0.1, 0.1)
        ),
        f"{n}, budgets full, one size, even traffic": replace(
            full, class_work_ms=(150.0, 150.0), work_variation=(0.1, 0.1), traffic_skew=0.0
        ),
        f"{n}, budgets full, one size, even traffic, all at once": replace(
            full,
            class_work_ms=(150.0, 150.0),
            work_variation=(0.1, 0.1),
            traffic_skew=0.0,
            kill_share=0.7,
            late_share=1 / 3,
            estimates="half",
        ),
        f"{n}, budgets full, all at once": replace(
            full, kill_share=0.7, late_share=1 / 3, reset_share=0.2, estimates="half"
        ),
        f"{n}, skewed more": proportional_case(n, traffic_skew=1.6),
        f"{n}, no estimates": proportional_case(n, estimates="none"),
        f"{n}, estimates half": proportional_case(n, estimates="half"),
        f"{n}, zone back cold": proportional_case(n, scenario="zone"),
        f"{n}, all back cold": proportional_case(n, scenario="all", load=1.3),
        f"{n}, seven in ten killed": proportional_case(n, scenario="zone", kill_share=0.7),
        f"{n}, a tenth at a time": proportional_case(n, scenario="zone", has_rolling_restart=True),
        f"{n}, late connections": proportional_case(n, scenario="zone", late_share=1 / 3),
        f"{n}, resets at others": proportional_case(n, scenario="zone", reset_share=0.2),
        f"{n}, small work": proportional_case(
            n, scenario="zone", class_work_ms=(40.0, 160.0), objectives_ms=(400.0, 800.0)
        ),
        f"{n}, work far apart": proportional_case(
            n, scenario="zone", class_work_ms=(30.0, 6000.0), class_rates=(40.0, 1.0)
        ),
        f"{n}, one size": proportional_case(
            n, scenario="zone", class_work_ms=(200.0, 200.0), work_variation=(0.1, 0.1)
        ),
        f"{n}, large engines": proportional_case(n, scenario="zone", cores=32),
        f"{n}, all at once": proportional_case(
            n, scenario="all", kill_share=0.7, late_share=1 / 3, reset_share=0.2, estimates="half", load=1.3
        ),
        f"{n}, all at once, none told": proportional_case(
            n, scenario="all", kill_share=0.7, late_share=1 / 3, reset_share=0.2, estimates="none", load=1.3
        ),
    }


def run_case(case: Case, seeds: range, gateway_type: type[Gateway] = Gateway) -> Result:
    """Run a case with each seed; return the sum of the results."""
    result = Result()
    for seed in seeds:
        result.add(Simulation(case, seed, gateway_type).run())
    return result


def print_crash_shares(names: list[str], seeds: range) -> None:
    """Print the share of incarnations that crash in slow start, for each case."""
    print("| case | N | starts | crashes | violations (95%) | by class | informed / threshold: median, max |")
    print("| --- | --- | --- | --- | --- | --- | --- |")
    for name in names:
        case = CASES[name]
        result = run_case(case, seeds)
        low, high = wilson_interval(result.violations, result.incarnations)
        informed = sorted(result.informed)
        print(
            f"| {name} | {case.allowed_requests(0.0):.0f} | {result.incarnations} | {result.crashes} | "
            f"{result.violations} ({low:.4f} to "
            f"{high:.4f}) | {result.by_class} | {informed[len(informed) // 2]:.2f}, {informed[-1]:.2f} |",
            flush=True,
        )


def print_weights(names: list[str], seeds: range) -> None:
    """Print the share of the offered weight that is served with each rule, on the same seeds."""
    print("| case | policy | crashed | no rule | crashed | fleet sums known | crashed |")
    print("| --- | --- | --- | --- | --- | --- | --- |")
    for name in names:
        cells = []
        for rule in ("module", "none", "fleet"):
            result = run_case(replace(CASES[name], rule=rule), seeds)
            cells.append(
                f"{result.weight / result.offered_weight:.3f} | {result.crashes} of {result.incarnations}"
            )
        print(f"| {name} | {' | '.join(cells)} |", flush=True)


def main(arguments: list[str]) -> None:
    """Run the script with these command-line arguments."""
    parser = argparse.ArgumentParser()
    parser.add_argument("what", choices=("share", "worth"))
    parser.add_argument("--plays", type=int, default=8)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--only", default="")
    options = parser.parse_args(arguments)
    names = [name for name in CASES if options.only in name]
    {"share": print_crash_shares, "worth": print_weights}[options.what](
        names, range(options.first, options.first + options.plays)
    )


if __name__ == "__main__":
    main(sys.argv[1:])
