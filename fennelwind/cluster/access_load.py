"""Tells the record what this controller's queries named, in rare batches.

A batch every ten minutes, if there is anything to tell, the first after a part of that by chance: two
hundred controllers make twenty commands a minute, each of some 70 kB at the most, and no watch is woken.
"""

from collections import Counter
from random import Random

from fennelwind.cluster.errors import ClusterError
from fennelwind.cluster.raft_client import RaftClient
from fennelwind.cluster.state_machines import SHARDS
from fennelwind.loop import Loop, Task
from fennelwind.shards import shards_pb2 as pb
from fennelwind.shards.access_load import Named

TELL_MS = 600_000.0  # ms from one batch to the next, a third of the half-life
ASK_MS = 20_000.0  # ms for one command: nobody waits for it


class Heat:
    """One controller's part."""

    def __init__(self, loop: Loop, asker: RaftClient, named: Named, seed: int) -> None:
        self.loop, self.asker, self.named, self.random = loop, asker, named, Random(seed)
        self.counts: Counter[str] = Counter()
        self._task: Task | None = None

    def start(self) -> None:
        """Tell from now on."""
        self._task = self.loop.spawn(self._tell, name="heat: tell")

    def close(self) -> None:
        """Tell no more."""
        if self._task is not None:
            self._task.cancel()

    def _tell(self) -> None:
        self.loop.sleep(TELL_MS * self.random.random())
        while True:
            batch = self.named.batch(self.loop.now())
            if batch:
                queries = [pb.Counted.Queries(shard=shard, count=count) for shard, count in batch]
                command = pb.Command(counted=pb.Counted(queries=queries))
                try:
                    self.asker.propose(SHARDS, command.SerializeToString(deterministic=True), ASK_MS)
                except ClusterError as exc:  # told with the next one; a lost answer doubles it
                    self.counts[exc.code] += 1
                else:
                    self.counts["told"] += 1
                    self.named.told(batch)
            self.loop.sleep(TELL_MS)
