"""The command channel takes 6 s to answer a watch: is a drain learned at all?"""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins_2 import (
    BROKEN,
    HELD,
    SETTINGS,
    SLACK_MS,
    Channel,
    Deployment,
    Executor,
    Load,
    instance,
    judge_answers,
    now_ms,
    require_trouble,
    run_case,
)

SLOW_S = 6.0  # from a watch's request to the channel's answer; the pages give no figure
GRACE_MS = SETTINGS["Rules"]["DrainGraceMs"]
QUIET_S, LOAD_S = 8.0, 45.0  # before the drain, and in all
TIMEOUT_MS = 2000.0


class SlowChannel(Channel):
    """A command channel that answers each watch late, and from then on as a quick one does."""

    slow_s = 0.0

    async def _serve_events(self, reader, writer):
        await asyncio.sleep(self.slow_s)
        await super()._serve_events(reader, writer)


async def case(record, folder, has_trouble):
    """Run the case; return its verdict."""
    executors = [
        Executor(f"s-{number:08x}", f"127.0.1.{number}", record, work_ms=50.0) for number in range(1, 5)
    ]
    deployment = Deployment(record, folder, executors)
    deployment.channel = channel = SlowChannel("127.0.0.8", record)
    channel.slow_s = SLOW_S if has_trouble else 0.0
    async with deployment:
        load = Load(deployment.controller.address, record, per_s=20.0, timeout_ms=TIMEOUT_MS)
        told = {}

        async def drain():
            await asyncio.sleep(QUIET_S)
            await channel.tell([instance(executors[0], "terminating")])
            told[executors[0]] = now_ms()
            record("drain told", executor=executors[0].name)

        deployment.spawn(drain())
        await load.run(LOAD_S)
        await asyncio.sleep(TIMEOUT_MS / 1000.0 + 1.0)
        load.close()
        require_trouble(record, has_trouble, "drain told")
        judge_answers(record, load, deployment.lag)
        limit_ms = channel.slow_s * 1000.0 + GRACE_MS + SLACK_MS + deployment.lag.worst_ms
        late = [
            query.started_ms - told[executors[0]]
            for query in executors[0].runs
            if query.started_ms > told[executors[0]] + limit_ms
        ]
        print(
            f"sent to the draining executor after {limit_ms:.0f} ms: {len(late)}, {max(late, default=0):.0f}"
        )
        record("late", requests=len(late), latest_ms=f"{max(late, default=0):.0f}")
        return BROKEN if late else HELD


if __name__ == "__main__":
    run_case(case, Path(__file__).resolve().parent)
