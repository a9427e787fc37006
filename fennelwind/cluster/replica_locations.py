"""One controller's view of where replicas of shards are, read again whenever it has changed.

Without the Raft group the last view stands, and queries go on by it: no migration takes a step then either. A
controller that alone can't reach the group goes on as well; a query that it sends to a replica that was
dropped meanwhile is rejected there, and another attempt follows. A controller that starts takes clients once
it has a view, or has waited `FIRST_VIEW_TIMEOUT_MS` for one: without any, queries go to engines that may not
have what they read.
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
READ_TIMEOUT_MS = 4000.0  # ms for one page of the state
MIN_READ_INTERVAL_MS = 500.0  # ms between two readings, however much changes; a view may be 5 s old
WATCH_RETRY_MS = 1000.0  # ms until a watch that failed is started again
FIRST_VIEW_TIMEOUT_MS = 4000.0  # ms that a starting controller waits: an election and a few connects

Places = dict[str, tuple[str, ...]]  # by shard: the engines with good replicas

# Takes a revision, where good replicas are, which replicas drain, and whether these are all that drain.
ViewCallback = Callable[[int, Places, list[tuple[str, str]], bool], None]


def read_locations(client: RaftClient, known: Places, after: int) -> tuple[Places, pb.Places]:
    """Return where good replicas are now, from those known of an earlier revision, and the first page.

    That page has the revision of the whole, and the replicas that drain.

    Raises `ClusterError`.
    """
    received: Places = {}
    name, first = "", pb.Places()
    while True:
        query = pb.ShardQuery(places=pb.PlacesQuery(after=after, name=name)).SerializeToString()
        page = pb.Places.FromString(client.read(SHARDS, query, within_ms=READ_TIMEOUT_MS).state)
        if not name:  # what changes between two pages has a later revision
            first = page
        elif page.whole and not first.whole:
            received, name, after = {}, "", 0  # another member, without changes so far back: read all
            continue
        received.update(
            (place.shard, tuple(page.engines[number] for number in place.engines)) for place in page.places
        )
        if not page.more:
            return received if first.whole else {**known, **received}, first
        name = page.places[-1].shard


class ReplicaLocations:
    """Watches the replica locations for one controller."""

    def __init__(self, loop: Loop, client: RaftClient, on_view: ViewCallback) -> None:
        """Make it; `on_view` gets each view."""
        self.counts: Counter[str] = Counter()
        self.places: Places = {}  # of the last view
        self._loop = loop
        self._client = client
        self._on_view = on_view
        self._first_view = Once(loop)
        self._task: Task | None = None

    def start(self) -> None:
        """Watch from now on."""
        self._task = self._loop.spawn(self._watch, name="copies: watch")

    def wait(self) -> bool:
        """Wait for the first view, for `FIRST_VIEW_TIMEOUT_MS` at most; tell whether it is there."""
        with suppress(DeadlineExceeded), self._loop.deadline(FIRST_VIEW_TIMEOUT_MS):
            self._first_view.wait()
        return self._first_view.ready

    def close(self) -> None:
        """Watch no more."""
        if self._task is not None:
            self._task.cancel()

    def _watch(self) -> None:
        after = 0
        revision_only = pb.ShardQuery(skip=2**62).SerializeToString()
        revision = 0  # that the last view is of
        while True:
            try:
                after = self._client.watch(SHARDS, after, wait_ms=WATCH_MS, query=revision_only).revision
                self.places, first = read_locations(self._client, self.places, revision)
            except ClusterError as exc:
                self.counts[exc.code] += 1
                self._loop.sleep(WATCH_RETRY_MS)
                continue
            revision = first.revision
            draining = [(replica.shard, replica.engine) for replica in first.leaving]
            self._on_view(revision, self.places, draining, not first.cut)
            self._first_view.set()
            self._loop.sleep(MIN_READ_INTERVAL_MS)
