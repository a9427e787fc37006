"""One executor, and one connection to it: HTTP/1.1 with one call at a time.

Owned by `executor_pool`, which says when a connection may be used again. A response that can't be parsed
raises `MalformedResponseError`, a broken connection `StreamReset`; either way the connection is of no further
use, though what was sent may have arrived.
"""

from collections import Counter, deque
from dataclasses import dataclass, field

from fennelwind.loop.scheduler import Waiter
from fennelwind.loop.streams import Address, Stream, StreamReset
from fennelwind.node.http1 import Response, ResponseReader

READ_BYTES = 16384  # bytes of one read; two pages with their heads


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
        """Wait for the response to what was sent. Raises `StreamReset` or `MalformedResponseError`."""
        while True:
            data = self.stream.read(READ_BYTES)
            if not data:
                raise StreamReset(f"{self.stream.peer}: closed by the executor")
            response = self.reader.feed(data)
            if response is not None:
                return response


@dataclass(slots=True, frozen=True)
class Cancellation:
    """A query to be ended at an executor; the waiter is woken with whether it is known to have ended."""

    query_id: str
    waiter: Waiter | None


@dataclass(slots=True, eq=False)
class Executor:
    """One executor: where it is, its idle connections (longest idle first), and what is to be ended there."""

    name: str
    address: Address
    idle_connections: deque[ExecutorConnection] = field(default_factory=deque)
    is_removed: bool = False  # it has left the list, or its address belongs to another now
    is_draining: bool = False  # nothing new is to be sent to it
    # One queue each, so that an executor which answers nothing delays no other's cancellations.
    cancellations: deque[Cancellation] = field(default_factory=deque)
    cancellation_workers: int = 0
    ended_attempts: Counter[str] = field(default_factory=Counter)  # by status, since they were last reported
