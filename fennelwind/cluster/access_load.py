"""Reports to the replicated state, in batches, how often this controller's queries name each shard.

A batch is sent every ten minutes if there is anything to report, the first after a random part of ten
minutes. So two hundred controllers send twenty commands a minute, each of at most about 70 kB; the commands
trigger no watch.
"""

from collections import Counter
from random import Random

from fennelwind.cluster.errors import ClusterError
from fennelwind.cluster.raft_client import RaftClient
from fennelwind.cluster.state_machines import SHARDS
from fennelwind.loop import Loop, Task
from fennelwind.shards import shards_pb2 as pb
from fennelwind.shards.access_load import AccessCounter

REPORT_INTERVAL_MS = 600_000.0  # ms between two batches, a third of the access load's half-life
PROPOSE_TIMEOUT_MS = 20_000.0  # ms for one command; nothing waits for it


class AccessLoadReporter:
    """Sends one controller's reports of how often queries name each shard."""

    def __init__(self, loop: Loop, client: RaftClient, named: AccessCounter, seed: int) -> None:
        """Create the reporter; `named` counts how often queries name each shard."""
        self.counts: Counter[str] = Counter()
        self._loop = loop
        self._client = client
        self._named = named
        self._random = Random(seed)
        self._task: Task | None = None

    def start(self) -> None:
        """Start reporting."""
        self._task = self._loop.spawn(self._report_forever, name="heat: tell")

    def close(self) -> None:
        """Stop reporting."""
        if self._task is not None:
            self._task.cancel()

    def _report_forever(self) -> None:
        self._loop.sleep(REPORT_INTERVAL_MS * self._random.random())
        while True:
            batch = self._named.batch(self._loop.now())
            if batch:
                queries = [pb.Counted.Queries(shard=shard, count=count) for shard, count in batch]
                command = pb.Command(counted=pb.Counted(queries=queries))
                body = command.SerializeToString(deterministic=True)
                try:
                    self._client.propose(SHARDS, body, PROPOSE_TIMEOUT_MS)
                except (
                    ClusterError
                ) as exc:  # reported again with the next batch; counted twice if only the answer was lost
                    self.counts[exc.code] += 1
                else:
                    self.counts["told"] += 1
                    self._named.discard_reported(batch)
            self._loop.sleep(REPORT_INTERVAL_MS)
