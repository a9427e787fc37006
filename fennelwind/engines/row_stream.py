"""Answers too large to be held: their pages flow from the engine as the client asks for them.

An answer up to `max_result_bytes` is held whole before its query counts as served, so an engine that dies
meanwhile costs an attempt and not the answer. A larger one begins to flow when that many bytes are here. From
then on it is never tried again elsewhere, as rows may come in another order there; if its engine dies, the
client is told so.

One page is asked for ahead. So what a stream holds is bounded by what was held at its start and two pages,
and a client that reads slowly slows the engine and not the controller.
"""

from collections.abc import Callable
from typing import Any

from fennelwind.errors import FennelwindError
from fennelwind.loop import DeadlineExceeded
from fennelwind.thrift import hiveserver2 as hs2
from fennelwind.thrift.codec import Malformed, Structure

PAGE_MS = 30_000.0  # ms that an engine may take for a page of an answer that it has finished
IDLE_MS = 60_000.0  # ms without a client asking; a link and an engine's operation are not kept for longer
PART_OF_LINKS = 0.5  # of an engine's links that may carry streams; the rest is for new statements


class StreamLostError(FennelwindError):
    """The rest of the rows can't be had any more; the text says why."""

    code = "engine-stream-lost"
    advice = (
        "The engine ended, or its client was silent for long, after rows of a large answer had "
        "gone out. The client asks again; links.max_result_bytes tells up to which size answers "
        "are held whole."
    )


class RowStream:
    """The pages of one answer that are still at its engine. `links`, `pool` and `link` are its way there."""

    def __init__(self, links: Any, pool: Any, link: Any, handle: Structure, page_rows: int) -> None:
        self.links, self.pool, self.link, self.handle = links, pool, link, handle
        self.loop, self.page_rows = links.loop, page_rows
        self.on_end: Callable[[], None] = lambda: None  # called once, when nothing is left at the engine
        self.lost = ""  # why no more can be had
        self.over = False
        self._sent = self._ask()  # the page asked for ahead; if that fails, nothing has flowed yet
        self._waiting = False
        pool.streams += 1
        links.streams_begun += 1
        self._asked = self.loop.now()
        self._timer = self.loop.after(IDLE_MS, self._look)

    def next(self) -> tuple[Structure | None, bool]:
        """Return the next page, and whether there are more; wait for it. Raises `StreamLostError`."""
        if self.lost:
            raise StreamLostError(self.lost)
        if self.over:
            return None, False
        if self._waiting:
            raise StreamLostError("two calls ask for rows of one operation at a time")
        self._asked, self._waiting = self.loop.now(), True
        try:
            with self.loop.deadline(PAGE_MS):
                reply = self.link.reply(self._sent)
                if reply.hasMoreRows:
                    self._sent = self._ask()
        except DeadlineExceeded:
            self._lose(f"its engine gave no rows within {PAGE_MS / 1000:.0f} s")
        except (OSError, Malformed) as exc:
            self._lose(f"its engine was lost: {exc}")
        except Exception as exc:  # an error of the engine's own
            self._lose(f"its engine gave no more rows: {exc}")
        finally:
            self._waiting = False
        if self.lost:
            raise StreamLostError(self.lost)
        if not reply.hasMoreRows:
            self.over = True
            self._leave()
            self.links.finish(self.pool, self.link, self.handle)
        return reply.results, bool(reply.hasMoreRows)

    def close(self) -> None:
        """Want no more rows; the engine's operation ends with its link."""
        if not self.over and not self.lost:
            self._drop("it was closed")

    def _ask(self) -> int:
        return self.link.send(
            "FetchResults",
            hs2.TFetchResultsReq(
                operationHandle=self.handle, orientation=hs2.FETCH_NEXT, maxRows=self.page_rows, fetchType=0
            ),
        )

    def _lose(self, why: str) -> None:
        if not self.lost:
            self.links.streams_lost += 1
            self._drop(why)

    def _drop(self, why: str) -> None:
        self.lost = why
        self._leave()
        self.pool.drop(self.link)

    def _leave(self) -> None:
        self.pool.streams -= 1
        self._timer.cancel()
        self.on_end()

    def _look(self) -> None:
        since = self.loop.now() if self._waiting else self._asked
        if self.loop.now() - since >= IDLE_MS:
            self._lose(f"nobody asked for rows for {IDLE_MS / 1000:.0f} s")
        else:
            self._timer = self.loop.at(since + IDLE_MS, self._look)


def may_flow(streams: int, max_links: int) -> bool:
    """Tell whether one more answer may flow from an engine that has so many streams."""
    return streams + 1 <= max(1.0, PART_OF_LINKS * max_links)
