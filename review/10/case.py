"""Bad clients send hundreds of requests at once: do the usual clients get their answers?"""

import asyncio
import sys
from contextlib import suppress
from pathlib import Path

import msgpack

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins_2 import BROKEN, HELD, Deployment, Executor, Load, judge_answers, query_id, run_case

BAD_CLIENTS = 60
REQUESTS_AT_ONCE = 300  # of each bad client
STATEMENT = b"select " + b"a.b+" * 2000 + b"1 from sales_3.orders"  # 8 KB
BAD_TIMEOUT_MS = 3000
QUIET_S, LOAD_S = 3.0, 15.0  # before the bad clients, and in all
TIMEOUT_MS = 2000.0


def bad_requests(number):
    """Return what one bad client sends: a request, and others under its id with a different statement."""
    fields = {"i": query_id(number), "d": str(BAD_TIMEOUT_MS), "t": "water-works", "h": "50.0", "mb": "16"}
    pieces = [msgpack.packb([0, 1, "lookup", [fields, b"select 1"]])]
    pieces += [
        msgpack.packb([0, message, "lookup", [fields, STATEMENT]])
        for message in range(2, REQUESTS_AT_ONCE + 1)
    ]
    return b"".join(pieces)


async def send_all(address, data, record):
    """Connect, send at full speed, and read what comes until the controller closes."""
    host, _, port = address.rpartition(":")
    answered = 0
    with suppress(ConnectionError):
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write(data)
            while received := await reader.read(65536):
                answered += len(received)
        finally:
            writer.close()
    record("bad client closed", sent_bytes=len(data), received_bytes=answered)


async def case(record, folder, has_trouble):
    """Run the case; return its verdict."""
    floods = [bad_requests(number) for number in range(BAD_CLIENTS)]
    executors = [
        Executor(f"s-{number:08x}", f"127.0.1.{number}", record, work_ms=50.0) for number in range(1, 5)
    ]
    async with Deployment(record, folder, executors) as deployment:
        address = deployment.controller.address
        load = Load(address, record, per_s=20.0, timeout_ms=TIMEOUT_MS)

        async def disturb():
            await asyncio.sleep(QUIET_S)
            record("bad clients begin", clients=BAD_CLIENTS, requests=REQUESTS_AT_ONCE)
            await asyncio.gather(*(send_all(address, data, record) for data in floods))

        if has_trouble:
            deployment.spawn(disturb())
        with suppress(OSError):
            await load.run(LOAD_S)
        await asyncio.sleep(2 * TIMEOUT_MS / 1000.0)
        load.close()
        return BROKEN if judge_answers(record, load, deployment.lag) else HELD


if __name__ == "__main__":
    run_case(case, Path(__file__).resolve().parent)
