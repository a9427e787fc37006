"""A part of the good answers comes behind 1xx answers that go on for seconds: does the controller go on?"""

import asyncio
import random
import sys
from contextlib import suppress
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins_2 import (
    BROKEN,
    HELD,
    Deployment,
    Executor,
    Load,
    judge_answers,
    now_ms,
    require_trouble,
    run_case,
)

SPOILT_SHARE = 0.1  # of the good answers
INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n" * 40_000
INTERIM_FOR_MS = 5000.0  # how long the 1xx answers before one good answer come
QUIET_S, LOAD_S = 3.0, 15.0  # before the first spoilt answer, and in all
TIMEOUT_MS = 2000.0
SEED = 7


class SpoilingExecutor(Executor):
    """An executor of which some good answers come behind 1xx answers."""

    random = random.Random(SEED)

    async def write(self, answer, writer):
        """Write an answer, maybe behind 1xx answers."""
        is_good = answer.startswith(b"HTTP/1.1 200 ")
        if self.is_troubled and is_good and self.random.random() < SPOILT_SHARE:
            await self.write_interim(writer)
        await super().write(answer, writer)

    async def write_interim(self, writer):
        """Write 1xx answers until their time is up or the controller closes the connection."""
        began_ms, count = now_ms(), 0
        self.record("interim answers begin", executor=self.name)
        writer.transport.set_write_buffer_limits(high=2 * len(INTERIM))
        try:
            while now_ms() < began_ms + INTERIM_FOR_MS:
                writer.write(INTERIM)
                await writer.drain()
                count += 1
        finally:
            self.record("interim answers end", executor=self.name, mb=f"{count * len(INTERIM) / 1e6:.0f}")


async def case(record, folder, has_trouble):
    """Run the case; return its verdict."""
    executors = [
        SpoilingExecutor(f"s-{number:08x}", f"127.0.1.{number}", record, work_ms=50.0)
        for number in range(1, 5)
    ]
    async with Deployment(record, folder, executors) as deployment:
        load = Load(deployment.controller.address, record, per_s=40.0, timeout_ms=TIMEOUT_MS)

        async def disturb():
            await asyncio.sleep(QUIET_S)
            for executor in executors:
                executor.is_troubled = has_trouble

        deployment.spawn(disturb())
        with suppress(OSError):
            await load.run(LOAD_S)
        await asyncio.sleep(2 * TIMEOUT_MS / 1000.0)
        load.close()
        require_trouble(record, has_trouble, "interim answers begin")
        return BROKEN if judge_answers(record, load, deployment.lag) else HELD


if __name__ == "__main__":
    run_case(case, Path(__file__).resolve().parent)
