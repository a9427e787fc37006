"""Some clients send part of a message each and rest: does the controller stay inside its memory limit?"""

import asyncio
import sys
from contextlib import suppress
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins_2 import BROKEN, HELD, Deployment, Executor, Load, judge_answers, require_trouble, run_case

MEMORY_MB = 64  # DEPLOY.md's days: 32 to 192 MB
BAD_CLIENTS = 8
PART_BYTES = 130_000  # of a message of 275 KB
FIRST_BYTES = 70_000  # the rest of the part follows a moment later
FOLLOWS_S = 0.3
QUIET_S, LOAD_S = 3.0, 12.0  # before the bad clients, and in all
TIMEOUT_MS = 2000.0
ARRAY_OF_64, EMPTY_MAP = b"\xdc\x00\x40", b"\x80"


def unreadable_message():
    """Return a MessagePack-RPC request whose parameters are nested arrays of empty maps."""
    row = ARRAY_OF_64 + EMPTY_MAP * 64
    return b"\x94\x00\x01\xa6lookup" + ARRAY_OF_64 + (ARRAY_OF_64 + row * 64) * 64


async def send_part(address, record):
    """Connect, send part of a message, and read until the controller closes."""
    host, _, port = address.rpartition(":")
    part = unreadable_message()[:PART_BYTES]
    with suppress(ConnectionError):
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write(part[:FIRST_BYTES])
            await writer.drain()
            await asyncio.sleep(FOLLOWS_S)
            writer.write(part[FIRST_BYTES:])
            await writer.drain()
            record("part sent", bytes=len(part))
            await reader.read()
        finally:
            writer.close()
    record("bad client closed")


async def case(record, folder, has_trouble):
    """Run the case; return its verdict."""
    executors = [
        Executor(f"s-{number:08x}", f"127.0.1.{number}", record, work_ms=50.0) for number in range(1, 5)
    ]
    async with Deployment(record, folder, executors, memory_mb=MEMORY_MB) as deployment:
        controller = deployment.controller
        deployment.spawn(controller.watch_memory())
        load = Load(controller.address, record, per_s=20.0, timeout_ms=TIMEOUT_MS)

        async def disturb():
            await asyncio.sleep(QUIET_S)
            record("bad clients begin", clients=BAD_CLIENTS, bytes=PART_BYTES)
            await asyncio.gather(*(send_part(controller.address, record) for _ in range(BAD_CLIENTS)))

        if has_trouble:
            deployment.spawn(disturb())
        with suppress(OSError):
            await load.run(LOAD_S)
        await asyncio.sleep(TIMEOUT_MS / 1000.0 + 1.0)
        load.close()
        require_trouble(record, has_trouble, "bad clients begin")
        judge_answers(record, load, deployment.lag)
        has_ended = controller.process.poll() is not None
        record("controller", peak_mb=f"{controller.peak_mb:.1f}", limit_mb=MEMORY_MB, ended=has_ended)
        print(f"peak {controller.peak_mb:.1f} of {MEMORY_MB} MB; ended: {has_ended}")
        return BROKEN if has_ended else HELD


if __name__ == "__main__":
    run_case(case, Path(__file__).resolve().parent)
