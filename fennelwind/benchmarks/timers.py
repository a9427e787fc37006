"""The timer wheel beside a plain heap: 100,000 pending timers, nearly all cancelled, in one run."""

import statistics
import time
from random import Random

from fennelwind.loop.timers import TimerHeap, TimerWheel

PENDING, SPAN_MS = 100_000, 15_000.0  # timers pending; ms within which they are due, like time-outs
CANCELLED = 0.99  # share that is cancelled before its time
ROUNDS = 5


def play(structure: type, seed: int) -> tuple[float, float, int]:
    """Return microseconds a timer to set and cancel, ms to let all come due, and the most that were kept."""
    random, timers = Random(seed), structure()
    dues = [random.random() * SPAN_MS for _ in range(2 * PENDING)]
    live = [timers.add(due, lambda: None) for due in dues[:PENDING]]
    began = time.perf_counter()
    for i, due in enumerate(dues[PENDING:]):  # at any time 100,000 are pending
        if random.random() < CANCELLED:
            live[i].cancel()
        live.append(timers.add(SPAN_MS + due, lambda: None))
    set_us = (time.perf_counter() - began) / PENDING * 1e6
    kept = len(timers._heap) if structure is TimerHeap else len(timers)  # noqa: SLF001 - the cost of laziness
    began = time.perf_counter()
    now, taken = 0.0, 0
    while timers.next_due() is not None:
        now += 1.0
        taken += len(timers.due(now))
    return set_us, (time.perf_counter() - began) * 1000.0, kept


def measure() -> list[tuple[str, float, float, int]]:
    """Return (structure, us to set and cancel one, ms to run all out, timers kept), medians."""
    rows = []
    results = {s: [] for s in (TimerWheel, TimerHeap)}
    for seed in range(ROUNDS):
        for structure, seen in results.items():
            seen.append(play(structure, seed))
    for structure, seen in results.items():
        rows.append((structure.__name__, *(statistics.median(column) for column in zip(*seen, strict=True))))
    return rows
