"""Fetches the pages of a result from an executor and validates them: UTF-8 rows of three columns.

Called by an `Attempt` with the first page, which states the number of pages. Every page is validated, since a
damaged one would give the client a wrong answer. A page whose stated length is too short may still consist of
whole rows, or of none. So a page counts only once it is clear that its remaining bytes do not follow it: the
next page, or one more call after the last page, begins directly behind it on the same connection. Otherwise
the page is fetched again, which the executor allows after a query's end.
"""

import re
from collections.abc import Callable

from fennelwind.node.attempt_connection import (
    AnswerFault,
    AnswerUnavailableError,
    AttemptConnection,
    is_copy,
)
from fennelwind.node.executor_requests import fetch_page
from fennelwind.node.http1 import Response
from fennelwind.node.wire_names import PAGE_COUNT_HEADER, PAGE_NUMBER_HEADER

PAGE_TIMEOUT_MS = 400.0  # ms to fetch a page, which is ready already; later, the connection is given up
MAX_RESULT_BYTES = 48_000  # bytes of a complete result, as the protocol specifies
MAX_PAGE_BYTES = 6_000  # bytes of a page, as the protocol specifies
MAX_PAGES = 1000  # pages of a result; each has at least one row
ROWS = re.compile(rb"(?:[^\t\n]*\t[^\t\n]*\t[^\t\n]*\n)*")
PAGE_COUNT = re.compile(rb"[0-9]{1,4}")


def read_pages(
    connection: AttemptConnection, query_id: str, first_response: Response, next_request: bytes
) -> tuple[bytes, ...] | None:
    """Return all pages, or None if the first is invalid or incomplete.

    `next_request` is a call that may follow the last page. Raises `AnswerUnavailableError`, `ConnectFailed`.
    """
    page_count = _read_page_count(first_response)
    if page_count is None:
        connection.note_fault(AnswerFault.UNEXPECTED)
        return None
    return _ResultReader(connection, query_id, page_count, first_response, next_request).read()


def max_result_bytes(first_response: Response) -> int:
    """Return how many bytes a result with this first page may have."""
    page_count = _read_page_count(first_response) or 0
    return min(page_count * MAX_PAGE_BYTES, MAX_RESULT_BYTES)


class _ResultReader:
    """Fetches the further pages of one result; drops a page that turns out to be incomplete."""

    def __init__(
        self,
        connection: AttemptConnection,
        query_id: str,
        page_count: int,
        first_response: Response,
        next_request: bytes,
    ) -> None:
        self.connection, self.query_id, self.page_count = connection, query_id, page_count
        self.next_request = next_request
        self.pages = [first_response.body]
        # The last page, until it is clear that its body is complete; its connection is then still in use.
        self.unconfirmed: Response | None = first_response

    def read(self) -> tuple[bytes, ...] | None:
        """Return all pages, or None if the first page is incomplete."""
        while self.unconfirmed is not None or len(self.pages) < self.page_count:
            unconfirmed, self.unconfirmed = self.unconfirmed, None
            if unconfirmed is None:
                self._fetch_next(self.connection.call)
            elif unconfirmed.is_reusable and len(self.pages) < self.page_count:
                other = self._fetch_next(self.connection.call_behind_page)
                is_complete = self.connection.is_previous_complete
                if not is_complete or other is not None and not is_copy(other, unconfirmed):
                    self.pages.pop()  # no next page has come either
            elif not self.connection.is_complete(unconfirmed, self.next_request, PAGE_TIMEOUT_MS):
                self.pages.pop()
            if not self.pages:
                return None
        return tuple(self.pages)

    def _fetch_next(self, call: Callable[[bytes, float], Response | None]) -> Response | None:
        """Fetch the next page; return a response that came in its place, which answers an earlier call."""
        page_number = len(self.pages)
        response = call(fetch_page(self.query_id, page_number), PAGE_TIMEOUT_MS)
        if response is None:
            return None
        if not _is_page(self.connection, response, page_number):
            return response
        self.pages.append(response.body)
        self.unconfirmed = response
        if sum(map(len, self.pages)) > MAX_RESULT_BYTES:
            raise AnswerUnavailableError("the result exceeds the maximum size")
        return None


def _is_page(connection: AttemptConnection, response: Response, page_number: int) -> bool:
    """Return whether a response is that page; else note the fault. Raises `AnswerUnavailableError`."""
    if response.status == 500:
        raise AnswerUnavailableError(f"the executor no longer has page {page_number}")
    is_this_page = (
        response.status == 200
        and response.headers.get(PAGE_NUMBER_HEADER) == b"%d" % page_number
        and _is_complete_rows(response.body)
    )
    if not is_this_page:
        connection.note_fault(AnswerFault.UNEXPECTED)
    return is_this_page


def _read_page_count(first_response: Response) -> int | None:
    """Return the number of pages that a first page states, or None if it is not a valid first page."""
    declared_count = first_response.headers.get(PAGE_COUNT_HEADER, b"")
    if PAGE_COUNT.fullmatch(declared_count) is None or not 1 <= int(declared_count) <= MAX_PAGES:
        return None
    if PAGE_NUMBER_HEADER in first_response.headers or not _is_complete_rows(first_response.body):
        return None
    return int(declared_count)


def _is_complete_rows(page: bytes) -> bool:
    if len(page) > MAX_PAGE_BYTES or ROWS.fullmatch(page) is None:
        return False
    try:
        page.decode("utf-8")
    except UnicodeDecodeError:
        return False
    return True
