"""Results too large to buffer: their pages are streamed from the engine as the client fetches them.

A result of up to `max_result_bytes` is buffered before its query counts as served. If the engine fails before
that, only the attempt fails, and another attempt may still answer the query. A larger result is streamed once
that many bytes have been received. From then on it is never retried at another engine, which may return the
rows in another order; if the engine fails, the client gets an error.

One page is requested ahead. So a stream holds at most the pages buffered at its start and two more, and a
client that reads slowly slows the engine, not the controller.
"""

from collections.abc import Callable
from dataclasses import dataclass

from fennelwind.engines.connection import EngineConnection
from fennelwind.engines.connection_pool import ConnectionPool
from fennelwind.engines.operation_cleanup import OperationCleanup
from fennelwind.errors import FennelwindError
from fennelwind.loop import DeadlineExceeded, Loop
from fennelwind.thrift import hiveserver2 as hs2
from fennelwind.thrift.codec import Malformed, Structure

PAGE_TIMEOUT_MS = 30_000.0  # ms for an engine to send a page of a finished result
IDLE_TIMEOUT_MS = 60_000.0  # ms without a client's request; then connection and operation are dropped
MAX_STREAM_SHARE = 0.5  # share of an engine's connections; the others are reserved for new statements


class StreamLostError(FennelwindError):
    """The remaining rows are no longer available; the text gives the reason."""

    code = "engine-stream-lost"
    advice = (
        "The engine ended, or its client was silent for long, after rows of a large answer had "
        "gone out. The client asks again; links.max_result_bytes tells up to which size answers "
        "are held whole."
    )


@dataclass(slots=True)
class StreamCounts:
    """How many streamed results have begun and how many were lost, over all engines of a controller."""

    begun: int = 0
    lost: int = 0


class RowStream:
    """The pages of one result that are still at its engine."""

    def __init__(
        self,
        loop: Loop,
        cleanup: OperationCleanup,
        counts: StreamCounts,
        pool: ConnectionPool,
        connection: EngineConnection,
        handle: Structure,
        page_rows: int,
    ) -> None:
        self.loop, self.cleanup, self.counts = loop, cleanup, counts
        self.pool, self.connection, self.handle, self.page_rows = pool, connection, handle, page_rows
        self.on_end: Callable[[], None] = lambda: None  # called once, when the stream ends
        self.lost_reason = ""  # why no more rows are available; "" if rows are available
        self.is_over = False
        self._sequence = self._request_page()  # one page ahead; if the request raises, no stream is counted
        self._is_waiting = False
        pool.streams += 1
        counts.begun += 1
        self._requested_ms = self.loop.now()
        self._timer = self.loop.after(IDLE_TIMEOUT_MS, self._check_idle)

    def next(self) -> tuple[Structure | None, bool]:
        """Wait for the next page; return it and whether more pages follow. Raises `StreamLostError`."""
        if self.lost_reason:
            raise StreamLostError(self.lost_reason)
        if self.is_over:
            return None, False
        if self._is_waiting:
            raise StreamLostError("two calls ask for rows of one operation at a time")
        self._requested_ms, self._is_waiting = self.loop.now(), True
        try:
            with self.loop.deadline(PAGE_TIMEOUT_MS):
                reply = self.connection.reply(self._sequence)
                if reply.hasMoreRows:
                    self._sequence = self._request_page()
        except DeadlineExceeded:
            self._fail(f"its engine gave no rows within {PAGE_TIMEOUT_MS / 1000:.0f} s")
        except (OSError, Malformed) as exc:
            self._fail(f"its engine was lost: {exc}")
        except Exception as exc:  # an error returned by the engine
            self._fail(f"its engine gave no more rows: {exc}")
        finally:
            self._is_waiting = False
        if self.lost_reason:
            raise StreamLostError(self.lost_reason)
        if not reply.hasMoreRows:
            self.is_over = True
            self._end()
            self.cleanup.close_later(self.pool, self.connection, self.handle)
        return reply.results, bool(reply.hasMoreRows)

    def close(self) -> None:
        """Discard the remaining rows; dropping the connection ends the engine's operation."""
        if not self.is_over and not self.lost_reason:
            self._drop("it was closed")

    def _request_page(self) -> int:
        return self.connection.send(
            "FetchResults",
            hs2.TFetchResultsReq(
                operationHandle=self.handle, orientation=hs2.FETCH_NEXT, maxRows=self.page_rows, fetchType=0
            ),
        )

    def _fail(self, reason: str) -> None:
        if not self.lost_reason:
            self.counts.lost += 1
            self._drop(reason)

    def _drop(self, reason: str) -> None:
        self.lost_reason = reason
        self._end()
        self.pool.drop(self.connection)

    def _end(self) -> None:
        self.pool.streams -= 1
        self._timer.cancel()
        self.on_end()

    def _check_idle(self) -> None:
        """End a stream whose client is idle, as the stream holds a connection and an operation."""
        since_ms = self.loop.now() if self._is_waiting else self._requested_ms
        if self.loop.now() - since_ms >= IDLE_TIMEOUT_MS:
            self._fail(f"nobody asked for rows for {IDLE_TIMEOUT_MS / 1000:.0f} s")
        else:
            self._timer = self.loop.at(since_ms + IDLE_TIMEOUT_MS, self._check_idle)


def can_stream(streams: int, max_connections: int) -> bool:
    """Return whether an engine with this many streams may get another one."""
    return streams + 1 <= max(1.0, MAX_STREAM_SHARE * max_connections)
