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

WATCH_MS = 20_000.0  # ms of one watch
READ_MS = 4000.0  # ms for one page
PACE_MS = 500.0  # ms between two readings, however much changes; a view may be 5 s old
AGAIN_MS = 1000.0  # ms until a watch that failed is tried again

Places = dict[str, tuple[str, ...]]


class Copies:
    """Watches the record for one controller."""

    def __init__(self, loop: Loop, asker: Asker, told: Callable[[Places], None]) -> None:
        self.loop, self.asker, self.told = loop, asker, told
        self.counts: Counter[str] = Counter()
        self.places: Places = {}
        self.revision = 0
        self._task: Task | None = None

    def start(self) -> None:
        """Watch from now on."""
        self._task = self.loop.spawn(self._watch, name="copies: watch")

    def close(self) -> None:
        """Watch no more."""
        if self._task is not None:
            self._task.cancel()

    def _watch(self) -> None:
        while True:
            try:
                seen = self.asker.watch(SHARDS, self.revision, wait_ms=WATCH_MS, query=self._query(""))
                pages = self._pages(pb.Places.FromString(seen.state))
            except CouncilError as exc:
                self.counts[exc.code] += 1
                self.loop.sleep(AGAIN_MS)
                continue
            if pages is not None and pages[0].revision != self.revision:
                self._take(pages)
                self.told(dict(self.places))
            self.loop.sleep(PACE_MS)

    def _query(self, behind: str) -> bytes:
        return pb.ShardQuery(places=pb.PlacesQuery(after=self.revision, name=behind)).SerializeToString()

    def _pages(self, first: pb.Places) -> list[pb.Places] | None:
        """Return all pages of what has changed; None: it changed between two of them."""
        pages = [first]
        while pages[-1].more:
            query = self._query(pages[-1].places[-1].shard)
            page = pb.Places.FromString(self.asker.read(SHARDS, query, within_ms=READ_MS).state)
            if page.revision != first.revision:
                return None
            pages.append(page)
        return pages

    def _take(self, pages: list[pb.Places]) -> None:
        if pages[0].whole:
            self.places = {}
        for page in pages:
            for place in page.places:
                self.places[place.shard] = tuple(page.engines[number] for number in place.engines)
        self.revision = pages[0].revision
