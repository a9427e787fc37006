"""Case 2: clients that send hundreds of requests at once drive the controller over its memory limit.

Three executors and a usual client with ten lookups a second. Forty further clients connect and send 200
requests at once, each with a statement of 60 KB; they read what is sent to them. The platform kills the
controller when it holds a tenth more than `memory_mb`.
"""

import asyncio
import contextlib
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import (  # noqa: E402 - found by the line above
    Channel,
    Client,
    Controller,
    Executor,
    Record,
    event,
    instance,
    play,
    trouble,
)

MEMORY_MB = 64
BAD_CLIENTS, REQUESTS_AT_ONCE, STATEMENT_BYTES = 40, 200, 60_000
PLAYED_S, WAIT_MS = 12.0, 3000.0
SAMPLE_S = 0.02
KILLED_ABOVE_MB = (
    1.1 * MEMORY_MB
)  # a tenth is let pass: MB may be 2**20 bytes, and libraries' pages are shared


async def send_at_once(number: int, record: Record, port: int) -> None:
    """Be a bad client: send hundreds of requests at once and read the answers."""
    client = await Client(f"bad-{number}", record, quiet=True).connect(port)
    record.note(client.name, f"sends {REQUESTS_AT_ONCE} requests of {STATEMENT_BYTES} bytes at once")
    statement = b"select " + b"x" * (STATEMENT_BYTES - 7)
    with contextlib.suppress(OSError):
        for index in range(REQUESTS_AT_ONCE):
            await client.request(f"{number + 1:08x}{index:08x}", "report", 16000.0, statement, work_ms=6000.0)
    kinds = [kind for asked in client.requests.values() for _, kind in asked.answers]
    record.note(client.name, f"has sent them; {len(kinds)} answers so far: {sorted(set(kinds))}")


class Platform:
    """Watches the controller's memory; kills it over the limit."""

    def __init__(self, record: Record, controller: Controller) -> None:
        self.record, self.controller = record, controller
        self.peak_mb = self.killed_at_mb = 0.0

    async def watch(self) -> None:
        """Take samples until the controller is killed."""
        while not self.killed_at_mb:
            held_mb = self.controller.resident_mb()
            if held_mb > self.peak_mb + 5.0:
                self.record.note("platform", f"the controller holds {held_mb:.0f} MB")
            self.peak_mb = max(self.peak_mb, held_mb)
            if held_mb > KILLED_ABOVE_MB:
                self.killed_at_mb = held_mb
                self.controller.signal(signal.SIGKILL)
            await asyncio.sleep(SAMPLE_S)


async def send_usual(client: Client, platform: Platform) -> None:
    """Be the usual client: ten lookups a second."""
    until, number = time.monotonic() + PLAYED_S, 0
    with contextlib.suppress(OSError):
        while time.monotonic() < until and not platform.killed_at_mb:
            number += 1
            await client.request(f"{number:016x}", "lookup", WAIT_MS, b"select a, b, c from t_1.u")
            await asyncio.sleep(0.1)
    await asyncio.sleep(1.0)


async def case(record: Record) -> str:
    """Play the case; return what broke the rule."""
    executors = [Executor(f"s-{number}", record, lambda _: 0.3) for number in range(3)]
    for executor in executors:
        await executor.start()
    channel = Channel(record)
    await channel.start()
    known = event(1, [instance(executor) for executor in executors], full=True)
    channel.events.append(known)
    limits = {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": 256}
    controller = Controller(record, channel.address, [known], limits=limits)
    platform = Platform(record, controller)
    tasks = []
    try:
        await controller.ready()
        tasks.append(asyncio.ensure_future(platform.watch()))
        client = await Client("client", record).connect(controller.port)
        if trouble():
            tasks += [
                asyncio.ensure_future(send_at_once(number, record, controller.port))
                for number in range(BAD_CLIENTS)
            ]
        await send_usual(client, platform)
    finally:
        for task in tasks:
            task.cancel()
        controller.end()
    unanswered = [asked.query for asked in client.requests.values() if not asked.answers]
    record.note("check", f"most memory {platform.peak_mb:.0f} MB of {MEMORY_MB} MB")
    record.note("check", f"usual requests without an answer: {unanswered}")
    if not platform.killed_at_mb:
        return ""
    return (
        f"the controller held {platform.killed_at_mb:.0f} MB of {MEMORY_MB} MB allowed and was killed; "
        f"{len(unanswered)} usual requests got no answer"
    )


if __name__ == "__main__":
    sys.exit(play(FOLDER, case))
