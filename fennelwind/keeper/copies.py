"""One controller's view of where copies of shards are: read from the record again whenever it has changed.

Without the council the last view stands, and queries go on by it: the record takes no step of a move then
either. A controller that alone can't reach the council goes on as well; what it sends to a copy that went
meanwhile is refused there, and another attempt follows.
"""

from collections import Counter
from collections.abc import Callable

from fennelwind.keeper.asker import Asker
from fennelwind.keeper.errors import CouncilError
from fennelwind.keeper.machines import SHARDS
from fennelwind.loop import Loop, Task
from fennelwind.shards import shards_pb2 as pb
from fennelwind.shards.machine import ShardMachine

WATCH_MS = 20_000.0  # ms of one watch
READ_MS = 4000.0  # ms for one piece of the state
PACE_MS = 500.0  # ms between two readings, however much changes; a view may be 5 s old
AGAIN_MS = 1000.0  # ms until a watch that failed is tried again

Places = dict[str, tuple[str, ...]]


def read_shards(asker: Asker) -> tuple[ShardMachine, int]:
    """Return the machine as the record has it now, all pieces of one revision, and the index.

    Raises `CouncilError`.
    """
    data, revision = b"", None
    while True:
        seen = asker.read(SHARDS, pb.ShardQuery(skip=len(data)).SerializeToString(), within_ms=READ_MS)
        told = pb.ShardSeen.FromString(seen.state)
        if revision is not None and told.revision != revision:
            data, revision = b"", None  # it changed between two pieces
            continue
        data, revision = data + told.piece, told.revision
        if len(data) >= told.size:
            machine = ShardMachine()
            machine.restore(data)
            return machine, seen.index


class Copies:
    """Watches the record for one controller."""

    def __init__(self, loop: Loop, asker: Asker, told: Callable[[Places], None]) -> None:
        self.loop, self.asker, self.told = loop, asker, told
        self.counts: Counter[str] = Counter()
        self._task: Task | None = None

    def start(self) -> None:
        """Watch from now on."""
        self._task = self.loop.spawn(self._watch, name="copies: watch")

    def close(self) -> None:
        """Watch no more."""
        if self._task is not None:
            self._task.cancel()

    def _watch(self) -> None:
        after, beyond = 0, pb.ShardQuery(skip=2**62).SerializeToString()  # the revision alone
        while True:
            try:
                after = self.asker.watch(SHARDS, after, wait_ms=WATCH_MS, query=beyond).revision
                machine, _ = read_shards(self.asker)
            except CouncilError as exc:
                self.counts[exc.code] += 1
                self.loop.sleep(AGAIN_MS)
                continue
            self.told({name: machine.good(name) for name in machine.shards})
            self.loop.sleep(PACE_MS)
