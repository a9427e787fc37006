"""One controller's view of the locations of shard replicas, read again whenever the locations change.

While the Raft group is unavailable, queries are routed by the last view; no migration makes progress then
either. If a single controller can't reach the group, that controller routes queries by its last view too; a
query sent to a replica dropped meanwhile is rejected there and retried. A starting controller accepts clients
once it has a view, or after `FIRST_VIEW_TIMEOUT_MS`; without a view, queries may go to engines that lack the
shards that the queries read.
"""

from collections import Counter
from collections.abc import Callable
from contextlib import suppress

from fennelwind.cluster.errors import ClusterError
from fennelwind.cluster.raft_client import RaftClient
from fennelwind.cluster.state_machines import SHARDS
from fennelwind.loop import DeadlineExceeded, Loop, Once, Task
from fennelwind.shards import shards_pb2 as pb

WATCH_MS = 20_000.0  # ms until a watch without a change ends
READ_TIMEOUT_MS = 4000.0  # ms to read one page of the state
MIN_READ_INTERVAL_MS = (
    500.0  # ms between two reads, however often the locations change; a view may be 5 s old
)
WATCH_RETRY_MS = 1000.0  # ms until a failed watch is repeated
FIRST_VIEW_TIMEOUT_MS = (
    4000.0  # ms that a starting controller waits for a view: time for an election and a few connects
)

Places = dict[str, tuple[str, ...]]  # for each shard, the engines with good replicas

# Parameters: revision, locations of good replicas, draining replicas, whether all draining ones are listed.
ViewCallback = Callable[[int, Places, list[tuple[str, str]], bool], None]


def read_locations(client: RaftClient, known: Places, after: int) -> tuple[Places, pb.Places]:
    """Return the current locations of good replicas, and the first page of the answer.

    `known` are the locations as of the revision `after`; only changes since then are read where possible. The
    first page contains the revision of the result and the draining replicas.

    Raises `ClusterError`.
    """
    received: Places = {}
    name, first = "", pb.Places()
    while True:
        query = pb.ShardQuery(places=pb.PlacesQuery(after=after, name=name)).SerializeToString()
        page = pb.Places.FromString(client.read(SHARDS, query, within_ms=READ_TIMEOUT_MS).state)
        if not name:  # later pages may include changes of a later revision
            first = page
        elif page.whole and not first.whole:
            received, name, after = {}, "", 0  # this member lacks the changes since `after`: read everything
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
        """Create the watcher; `on_view` is called with each view."""
        self.counts: Counter[str] = Counter()
        self.places: Places = {}  # locations in the last view
        self._loop = loop
        self._client = client
        self._on_view = on_view
        self._first_view = Once(loop)
        self._task: Task | None = None

    def start(self) -> None:
        """Start watching."""
        self._task = self._loop.spawn(self._watch, name="copies: watch")

    def wait(self) -> bool:
        """Wait for the first view, at most `FIRST_VIEW_TIMEOUT_MS`; return whether there is one."""
        with suppress(DeadlineExceeded), self._loop.deadline(FIRST_VIEW_TIMEOUT_MS):
            self._first_view.wait()
        return self._first_view.ready

    def close(self) -> None:
        """Stop watching."""
        if self._task is not None:
            self._task.cancel()

    def _watch(self) -> None:
        after = 0
        revision_only = pb.ShardQuery(skip=2**62).SerializeToString()
        revision = 0  # revision of the last view
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
