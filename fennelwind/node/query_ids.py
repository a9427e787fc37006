"""The ids that must not be started again: of open and ending queries and of those that may have run. No I/O.

Clients give each request a new id. If an id comes again after its client has left, the first attempt may
still be out, or may have taken effect: executors know a query by its id alone, so a second one under it could
run twice or be mixed up with the first. Owned by the frontend; its connections report to it.
"""

from fennelwind.dispatch.ledger import Entry
from fennelwind.dispatch.types import NEVER_RAN
from fennelwind.policy import Idempotency, QueryClass

MAX_REMEMBERED = 4096  # ids of queries that may have run; the oldest are forgotten


class QueryIds:
    """The ids by state."""

    def __init__(self, classes: tuple[QueryClass, ...]) -> None:
        self.classes = classes
        self.open: set[str] = set()  # a client waits for the answer
        self.ending: set[str] = set()  # no client waits any more, but an attempt is still out
        self.may_have_run: dict[str, None] = {}  # of classes that must not run twice; the oldest first

    def answered(self, entry: Entry) -> None:
        """Record that no client waits for a query any more."""
        query_id = entry.submission.engine_id
        self.open.discard(query_id)
        if entry.open_attempts:
            self.ending.add(query_id)

    def finished(self, entry: Entry) -> None:
        """Record that a query is answered and none of its attempts is out."""
        query_id = entry.submission.engine_id
        self.open.discard(query_id)
        self.ending.discard(query_id)
        query_class = self.classes[entry.submission.class_index]
        may_have_run = any(record.status not in NEVER_RAN for record in entry.attempt_records)
        if may_have_run and query_class.idempotency == Idempotency.NON_IDEMPOTENT:
            self.may_have_run[query_id] = None
            if len(self.may_have_run) > MAX_REMEMBERED:
                del self.may_have_run[next(iter(self.may_have_run))]
