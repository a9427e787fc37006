"""Case 1: answers of executors whose length doesn't fit are passed on as served, with rows missing.

Two executors, one client with 15 lookups a second for 25 s. One good answer in five states a content length
that is too short; the length is drawn evenly from 0 to one byte less than the result has.
"""

import asyncio
import random
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
    Request,
    Run,
    event,
    instance,
    play,
    trouble,
)

SEED = 7
SPOILT_SHARE = 0.2  # the pages say "some good answers"
REQUESTS, INTERVAL_S = 375, 1 / 15
WAIT_MS = 3000.0


class SpoilingExecutor(Executor):
    """An executor, some of whose good answers state a length that doesn't fit."""

    random = random.Random(SEED)  # one generator for all executors

    def rows(self, run: Run) -> bytes:
        """Return three rows that are the query's own."""
        return b"".join(b"%s\t%d\tok\n" % (run.query[-4:].encode(), number) for number in range(3))

    def spoil(self, raw: bytes) -> bytes | None:
        """State a length that is too short in some good answers."""
        head, _, body = raw.partition(b"\r\n\r\n")
        if not trouble() or not body or self.random.random() >= SPOILT_SHARE:
            return None
        length = self.random.randrange(len(body))
        self.record.note(
            self.name, f"spoils an answer: states {length} bytes and writes {len(body)}: {body!r}"
        )
        return (
            head.replace(b"Content-Length: %d" % len(body), b"Content-Length: %d" % length)
            + b"\r\n\r\n"
            + body
        )


def wrong_answers(requests: list[Request], executors: list[SpoilingExecutor]) -> list[Request]:
    """Return the requests served with what no executor made for them."""
    made: dict[str, set[bytes]] = {}
    for executor in executors:
        for run in executor.runs:
            made.setdefault(run.query, set()).add(executor.rows(run))
    return [
        asked
        for asked in requests
        if asked.result is not None and asked.result not in made.get(asked.query, ())
    ]


async def case(record: Record) -> str:
    """Play the case; return what broke the rule."""
    executors = [SpoilingExecutor(f"s-{number}", record, lambda _: 0.08) for number in range(2)]
    for executor in executors:
        await executor.start()
    channel = Channel(record)
    await channel.start()
    known = event(1, [instance(executor) for executor in executors], full=True)
    channel.events.append(known)
    controller = Controller(record, channel.address, [known])
    try:
        await controller.ready()
        client = await Client("client", record).connect(controller.port)
        for number in range(REQUESTS):
            await client.request(f"{number + 1:016x}", "lookup", WAIT_MS, b"select a, b, c from t_1.u")
            await asyncio.sleep(INTERVAL_S)
        until = time.monotonic() + WAIT_MS / 1000 + 0.5
        while time.monotonic() < until and any(not asked.answers for asked in client.requests.values()):
            await asyncio.sleep(0.1)
    finally:
        controller.end()
    requests = list(client.requests.values())
    wrong = wrong_answers(requests, executors)
    for asked in wrong:
        record.note("check", f"{asked.query} was served with {asked.result!r}, which no executor made for it")
    served = sum(asked.result is not None for asked in requests)
    record.note("check", f"{len(requests)} sent, {served} served, {len(wrong)} of them wrong")
    return f"{len(wrong)} of {served} served answers lack rows that the executor made" if wrong else ""


if __name__ == "__main__":
    sys.exit(play(FOLDER, case))
