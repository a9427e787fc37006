"""Six in ten executors of a large fleet are replaced within 7 s: are the drains kept?"""

import asyncio
import random
import resource
import sys
import time
from contextlib import suppress
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins_2 import (
    BROKEN,
    HELD,
    SETTINGS,
    SLACK_MS,
    Deployment,
    Executor,
    Load,
    instance,
    judge_answers,
    now_ms,
    require_trouble,
    run_case,
)

# FLEET.md: up to sixteen times the executors (3,200 at most); with those that are drained there are 3,150.
EXECUTORS = 3000
REPLACED_SHARE, REPLACED_WITHIN_MS = 0.6, 7000.0  # FLEET.md, `join+mass`: six in ten within 7 s
GONE_AFTER = 150  # an executor is told gone when the drain of the 150th after it is told, 0.6 s later
GRACE_MS = SETTINGS["Rules"]["DrainGraceMs"]
QUIET_S, LOAD_S = 3.0, 16.0  # before the first drain, and in all
TIMEOUT_MS = 4000.0
DESCRIPTORS = 8000  # that the stand-ins need
SEED = 5


def address_of(number):
    """Return a loopback address for an executor."""
    return f"127.1.{number // 200}.{number % 200 + 1}"


def allow_descriptors():
    """Raise this process's own limit of descriptors to what its stand-ins need."""
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if hard != resource.RLIM_INFINITY and hard < DESCRIPTORS:
        raise RuntimeError(f"{DESCRIPTORS} descriptors are needed, {hard} allowed")
    resource.setrlimit(resource.RLIMIT_NOFILE, (DESCRIPTORS, hard))


class Replacement:
    """Replaces executors as a release does: drained, gone a moment later, and a new one for each."""

    def __init__(self, deployment, record):
        self.deployment, self.record = deployment, record
        self.drained_ms = {}  # by executor: when its drain stood in the command channel
        self.new = []

    async def run(self):
        """Replace the executors; each change of the list is one event of the command channel."""
        channel, executors = self.deployment.channel, self.deployment.executors
        order = random.Random(SEED).sample(executors, int(len(executors) * REPLACED_SHARE))
        began_ms = now_ms()
        for place, executor in enumerate(order):
            await channel.tell([instance(executor, "terminating")])
            self.drained_ms[executor] = now_ms()
            if place >= GONE_AFTER:
                await channel.tell([instance(order[place - GONE_AFTER], "terminated")])
            await self.start_new(len(executors) + place)
            due_ms = began_ms + REPLACED_WITHIN_MS * (place + 1) / len(order)
            await asyncio.sleep(max(0.0, due_ms - now_ms()) / 1000.0)
        self.record("replaced", executors=len(order), within_ms=f"{now_ms() - began_ms:.0f}")

    async def start_new(self, number):
        """Start an executor and tell its start."""
        executor = Executor(f"s-{number:08x}", address_of(number), self.record, work_ms=50.0)
        await executor.start()
        self.new.append(executor)
        await self.deployment.channel.tell([instance(executor, started_unix_ms=int(time.time() * 1000.0))])

    def late_runs(self, lag_ms):
        """Return what began at a drained executor after the grace: (ms after the drain, query, executor)."""
        limit_ms = GRACE_MS + SLACK_MS + lag_ms
        return [
            (query.started_ms - drained_ms, query.query_id, executor.name)
            for executor, drained_ms in self.drained_ms.items()
            for query in executor.runs
            if query.started_ms > drained_ms + limit_ms
        ]


async def case(record, folder, has_trouble):
    """Run the case; return its verdict."""
    allow_descriptors()
    executors = [
        Executor(f"s-{number:08x}", address_of(number), record, work_ms=50.0) for number in range(EXECUTORS)
    ]
    settings = {"Balancers": 200}
    async with Deployment(record, folder, executors, settings, memory_mb=192, sockets=1024) as deployment:
        load = Load(deployment.controller.address, record, per_s=100.0, timeout_ms=TIMEOUT_MS)
        replacement = Replacement(deployment, record)

        async def disturb():
            await asyncio.sleep(QUIET_S)
            await replacement.run()

        if has_trouble:
            deployment.spawn(disturb())
        with suppress(OSError):
            await load.run(LOAD_S)
        await asyncio.sleep(TIMEOUT_MS / 1000.0 + 1.0)
        load.close()
        require_trouble(record, has_trouble, "replaced")
        has_lost = judge_answers(record, load, deployment.lag)
        late = replacement.late_runs(deployment.lag.worst_ms)
        for after_ms, query, executor in late:
            record("sent to a drained executor", query=query, executor=executor, ms=f"{after_ms:.0f}")
        worst_ms = max((after_ms for after_ms, _, _ in late), default=0.0)
        print(f"begun later than {GRACE_MS:.0f} ms after the drain: {len(late)}, at most {worst_ms:.0f} ms")
        for executor in replacement.new:
            await executor.stop()
        return BROKEN if late or has_lost else HELD


if __name__ == "__main__":
    run_case(case, Path(__file__).resolve().parent)
