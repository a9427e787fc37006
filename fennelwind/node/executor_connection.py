"""An executor, and a connection to it: HTTP/1.1 with one call at a time.

Owned by `executor_pool`, which decides when a connection is reused. A response that can't be parsed raises
`MalformedResponseError`, a broken connection `StreamReset`. After either error, the connection can't be
used any more, and the request may have arrived.
"""

from collections import Counter, deque
from dataclasses import dataclass

from fennelwind.loop.scheduler import Waiter
from fennelwind.loop.streams import Address, Stream, StreamReset
from fennelwind.node.http1 import Response, ResponseReader

READ_BYTES = 16384  # bytes of one read; enough for two pages with their heads


class ClosedBetweenResponsesError(StreamReset):
    """The executor has closed the connection in order, and no part of a further response came before."""


class ExecutorConnection:
    """One connection to an executor."""

    __slots__ = ("stream", "reader", "idle_since_ms")

    def __init__(self, stream: Stream) -> None:
        self.stream = stream
        self.reader = ResponseReader()
        self.idle_since_ms = 0.0

    def call(self, request: bytes) -> Response:
        """Send a request and wait for its response. Raises `StreamReset` or `MalformedResponseError`."""
        self.stream.write(request)
        return self.read_response()

    def read_response(self) -> Response:
        """Wait for the response to the sent request. Raises `StreamReset` or `MalformedResponseError`."""
        while True:
            data = self.stream.read(READ_BYTES)
            if not data:
                kind = ClosedBetweenResponsesError if self.reader.is_between_responses else StreamReset
                raise kind(f"{self.stream.peer}: closed by the executor")
            response = self.reader.feed(data)
            if response is not None:
                return response


@dataclass(slots=True, frozen=True)
class Cancellation:
    """A query to be cancelled at an executor; `waiter` is woken with whether the end is confirmed."""

    query_id: str
    waiter: Waiter | None


class Executor:
    """One executor: its address, its idle connections, and its queue of cancellations."""

    __slots__ = (
        "name",
        "address",
        "idle_connections",
        "is_removed",
        "is_draining",
        "cancellations",
        "cancellation_workers",
        "ended_attempts",
    )

    def __init__(self, name: str, address: Address, is_draining: bool = False) -> None:
        self.name, self.address = name, address
        self.idle_connections: deque[ExecutorConnection] = deque()  # the longest idle first
        self.is_removed = False  # true if it has left the list, or another executor has its address now
        self.is_draining = is_draining  # if true, the executor gets no new attempts
        # One queue per executor: an unresponsive executor must not delay others' cancellations.
        self.cancellations: deque[Cancellation] = deque()
        self.cancellation_workers = 0
        self.ended_attempts: Counter[str] = Counter()  # by status, since the last report
