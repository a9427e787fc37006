"""What a decision costs with and without news of whole loads, by size of the fleet, in one run."""

import statistics
import time
import tracemalloc
from random import Random

from fennelwind import policy
from fennelwind.load_balancing.load_advisor import LoadAdvisor
from fennelwind.policy.gateway import Gateway

CONTROLLERS, QUERIES, ROUNDS = 200, 3000, 3
TOOK_MS, IDLE_MS = 150.0, 15_000.0  # from send to answer; how long idle connections are kept
RATES = (2.5, 40.0)  # queries a second of one controller: the mean on the fleet days, and a busy one
SMALL = policy.QueryClass(
    "small", latency_objective_ms=800.0, client_timeout_ms=4000.0, priority_weight=1.0, threads=1
)
LARGE = policy.QueryClass(
    "large", latency_objective_ms=3000.0, client_timeout_ms=15000.0, priority_weight=10.0, threads=4
)


def play(engines: int, rate: float, news: bool, seed: int) -> float:
    """Return microseconds of all decisions for a query, its arrival and its answer included."""
    random, now = Random(seed), 1000.0
    settings = policy.Settings(
        classes=(SMALL, LARGE),
        kind_cores=(8,),
        gateway_count=CONTROLLERS,
        report_fields=("cpu", "x1"),
        can_cancel=True,
        allows_concurrent_attempts=True,
        max_attempts=3,
    )
    gateway, advisor = Gateway(settings, seed), LoadAdvisor(settings, seed, IDLE_MS) if news else None
    listed = policy.EngineListUpdate(
        "full", tuple(policy.EngineEndpoint(f"s-{n:08x}", zone=n % 2) for n in range(engines))
    )
    out: list[tuple[float, int, str]] = []

    def step(*events: policy.Event) -> None:
        given = list(events)
        if advisor is not None:
            for event in events:
                advisor.handle_event(event, now)
            given.insert(0, advisor.advice(now))
        for action in gateway.step(now, given):
            if isinstance(action, policy.StartAttempt):
                out.append((now + TOOK_MS, action.query, action.engine))
                if advisor is not None:
                    advisor.attempt_sent(action.engine, 1)

    step(listed)
    began = time.perf_counter()
    for query in range(QUERIES):
        now += 1000.0 / rate
        large = int(random.random() < 0.15)
        step(policy.QueryArrived(query, large, now + 4000.0, estimated_work_ms=random.uniform(10.0, 300.0)))
        while out and out[0][0] <= now:
            _, done, engine = out.pop(0)
            load = {"cpu": random.random(), "x1": random.random()}
            step(policy.AttemptEnded(done, 0, engine, "ok", TOOK_MS, True, load=load))
    return (time.perf_counter() - began) / QUERIES * 1e6


def held(engines: int) -> float:
    """Return KB that an advisor keeps once every executor has reported."""
    settings = policy.Settings(
        classes=(SMALL,), kind_cores=(8,), gateway_count=CONTROLLERS, report_fields=("cpu",)
    )
    tracemalloc.start()
    try:
        advisor = LoadAdvisor(settings, 1, IDLE_MS)
        entries = tuple(policy.EngineEndpoint(f"s-{n:08x}", zone=n % 2) for n in range(engines))
        advisor.handle_event(policy.EngineListUpdate("full", entries), 0.0)
        for entry in entries:
            advisor.handle_event(
                policy.AttemptEnded(0, 0, entry.engine, "ok", 1.0, True, load={"cpu": 0.5}), 0.0
            )
        advisor.advice(0.0)
        return tracemalloc.get_traced_memory()[0] / 1000.0
    finally:
        tracemalloc.stop()


def measure(sizes: tuple[int, ...] = (80, 400)) -> list[tuple[int, float, float, float, float]]:
    """Return (executors, queries a second, us a query without news, with news, KB kept); median times."""
    rows = []
    for engines in sizes:
        for rate in RATES:
            times = {
                news: statistics.median(play(engines, rate, news, seed) for seed in range(ROUNDS))
                for news in (False, True)
            }
            rows.append((engines, rate, times[False], times[True], held(engines)))
    return rows
