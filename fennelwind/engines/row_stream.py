"""Answers too large to be buffered: their pages flow from the engine as the client asks for them.

An answer up to `max_result_bytes` is buffered before its query counts as served, so an engine that dies
meanwhile costs an attempt and not the answer. A larger one begins to flow when that many bytes are here. From
then on it is never retried elsewhere, as rows may come in another order there; if its engine dies, the client
gets an error.

One page is requested ahead. So what a stream holds is bounded by what was buffered at its start and two
pages, and a client that reads slowly slows the engine and not the controller.
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

PAGE_TIMEOUT_MS = 30_000.0  # ms that an engine may take for a page of an answer that it has finished
IDLE_TIMEOUT_MS = 60_000.0  # ms without a client's request, after which connection and operation are given up
MAX_STREAM_SHARE = 0.5  # of an engine's connections that may carry streams; the rest is for new statements


class StreamLostError(FennelwindError):
    """The rest of the rows can't be had any more; the text says why."""

    code = "engine-stream-lost"
    advice = (
        "The engine ended, or its client was silent for long, after rows of a large answer had "
        "gone out. The client asks again; links.max_result_bytes tells up to which size answers "
        "are held whole."
    )


@dataclass(slots=True)
class StreamCounts:
    """How many answers flowed, over all engines of a controller."""

    begun: int = 0
    lost: int = 0


class RowStream:
    """The pages of one answer that are still at its engine."""

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
        self.on_end: Callable[[], None] = lambda: None  # called once, when nothing is left at the engine
        self.lost = ""  # why no more rows can be had
        self.is_over = False
        self._sequence = self._request_page()  # one page ahead; if that fails, nothing has flowed yet
        self._is_waiting = False
        pool.streams += 1
        counts.begun += 1
        self._requested_ms = self.loop.now()
        self._timer = self.loop.after(IDLE_TIMEOUT_MS, self._check_idle)

    def next(self) -> tuple[Structure | None, bool]:
        """Return the next page, and whether there are more; wait for it. Raises `StreamLostError`."""
        if self.lost:
            raise StreamLostError(self.lost)
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
            self._lose(f"its engine gave no rows within {PAGE_TIMEOUT_MS / 1000:.0f} s")
        except (OSError, Malformed) as exc:
            self._lose(f"its engine was lost: {exc}")
        except Exception as exc:  # an error of the engine's own
            self._lose(f"its engine gave no more rows: {exc}")
        finally:
            self._is_waiting = False
        if self.lost:
            raise StreamLostError(self.lost)
        if not reply.hasMoreRows:
            self.is_over = True
            self._end()
            self.cleanup.close_later(self.pool, self.connection, self.handle)
        return reply.results, bool(reply.hasMoreRows)

    def close(self) -> None:
        """Give up the remaining rows; the engine's operation ends with its connection."""
        if not self.is_over and not self.lost:
            self._drop("it was closed")

    def _request_page(self) -> int:
        return self.connection.send(
            "FetchResults",
            hs2.TFetchResultsReq(
                operationHandle=self.handle, orientation=hs2.FETCH_NEXT, maxRows=self.page_rows, fetchType=0
            ),
        )

    def _lose(self, reason: str) -> None:
        if not self.lost:
            self.counts.lost += 1
            self._drop(reason)

    def _drop(self, reason: str) -> None:
        self.lost = reason
        self._end()
        self.pool.drop(self.connection)

    def _end(self) -> None:
        self.pool.streams -= 1
        self._timer.cancel()
        self.on_end()

    def _check_idle(self) -> None:
        """Lose a stream whose client has gone silent: it keeps a connection and the engine's operation."""
        since_ms = self.loop.now() if self._is_waiting else self._requested_ms
        if self.loop.now() - since_ms >= IDLE_TIMEOUT_MS:
            self._lose(f"nobody asked for rows for {IDLE_TIMEOUT_MS / 1000:.0f} s")
        else:
            self._timer = self.loop.at(since_ms + IDLE_TIMEOUT_MS, self._check_idle)


def can_stream(streams: int, max_connections: int) -> bool:
    """Tell whether one more answer may flow from an engine that has so many streams."""
    return streams + 1 <= max(1.0, MAX_STREAM_SHARE * max_connections)
