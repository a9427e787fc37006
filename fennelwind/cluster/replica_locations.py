"""One controller's view of where copies of shards are: read from the record again whenever it has changed.

Without the council the last view stands, and queries go on by it: the record takes no step of a move then
either. A controller that alone can't reach the council goes on as well; what it sends to a copy that went
meanwhile is refused there, and another attempt follows. A controller that starts takes clients once it has
a view, or has waited `FIRST_MS` for one: without any, queries go to engines that may not have what they read.
"""

from collections import Counter
from collections.abc import Callable
from contextlib import suppress

from fennelwind.cluster.errors import ClusterError
from fennelwind.cluster.raft_client import RaftClient
from fennelwind.cluster.state_machines import SHARDS
from fennelwind.loop import DeadlineExceeded, Loop, Once, Task
from fennelwind.shards import shards_pb2 as pb

WATCH_MS = 20_000.0  # ms of one watch
READ_MS = 4000.0  # ms for one piece of the state
PACE_MS = 500.0  # ms between two readings, however much changes; a view may be 5 s old
AGAIN_MS = 1000.0  # ms until a watch that failed is tried again
FIRST_MS = 4000.0  # ms that a controller which starts waits for its first view: an election and a few dials

Places = dict[str, tuple[str, ...]]


# Takes a revision, where good copies are, which copies wait for their drop, and whether these are all.
Told = Callable[[int, Places, list[tuple[str, str]], bool], None]


def read_places(asker: RaftClient, known: Places, after: int) -> tuple[Places, pb.Places]:
    """Return where good copies are now, from what was known of an earlier revision, and the first page.

    That one tells the revision of it all, and the copies that wait for their drop.

    Raises `ClusterError`.
    """
    heard: Places = {}
    name, first = "", pb.Places()
    while True:
        query = pb.ShardQuery(places=pb.PlacesQuery(after=after, name=name))
        told = pb.Places.FromString(asker.read(SHARDS, query.SerializeToString(), within_ms=READ_MS).state)
        if not name:  # what changes between two pages is told behind the first one's revision
            first = told
        elif told.whole and not first.whole:
            heard, name, after = {}, "", 0  # another member, which knows no changes of so early
            continue
        heard.update((place.shard, tuple(told.engines[n] for n in place.engines)) for place in told.places)
        if not told.more:
            return heard if first.whole else {**known, **heard}, first
        name = told.places[-1].shard


class Copies:
    """Watches the record for one controller."""

    def __init__(self, loop: Loop, asker: RaftClient, told: Told) -> None:
        """Make it. `told` gets each view."""
        self.loop, self.asker, self.told = loop, asker, told
        self.counts: Counter[str] = Counter()
        self.places: Places = {}  # as they were told last
        self.first = Once(loop)  # the first view was told
        self._task: Task | None = None

    def start(self) -> None:
        """Watch from now on."""
        self._task = self.loop.spawn(self._watch, name="copies: watch")

    def wait(self) -> bool:
        """Wait for the first view, for so long at most; tell whether it is there."""
        with suppress(DeadlineExceeded), self.loop.deadline(FIRST_MS):
            self.first.wait()
        return self.first.ready

    def close(self) -> None:
        """Watch no more."""
        if self._task is not None:
            self._task.cancel()

    def _watch(self) -> None:
        after, beyond = 0, pb.ShardQuery(skip=2**62).SerializeToString()  # the revision alone
        seen = 0  # the revision that they are of
        while True:
            try:
                after = self.asker.watch(SHARDS, after, wait_ms=WATCH_MS, query=beyond).revision
                self.places, first = read_places(self.asker, self.places, seen)
            except ClusterError as exc:
                self.counts[exc.code] += 1
                self.loop.sleep(AGAIN_MS)
                continue
            seen = first.revision
            self.told(seen, self.places, [(copy.shard, copy.engine) for copy in first.leaving], not first.cut)
            self.first.set()
            self.loop.sleep(PACE_MS)
