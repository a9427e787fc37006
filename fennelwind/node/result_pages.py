"""Reads a result's pages from an executor, and checks that each is one: text in rows of three columns.

Called by an `Attempt` with the first page, which states how many there are. Every page is checked, as a
damaged one that is passed on would be a wrong answer to the client.
"""

import re

from fennelwind.node.attempt_connection import AnswerFault, AnswerUnavailableError, AttemptConnection
from fennelwind.node.executor_requests import fetch_page
from fennelwind.node.http1 import Response
from fennelwind.node.wire_names import PAGE_COUNT_HEADER, PAGE_NUMBER_HEADER

PAGE_TIMEOUT_MS = 400.0  # ms for a page, which is there at once; beyond them the connection is given up
MAX_RESULT_BYTES = 48_000  # bytes of a complete result, as the protocol states
MAX_PAGE_BYTES = 6_000  # bytes of a page, as the protocol states
MAX_PAGES = 1000  # pages of a result; each holds a row at least
ROWS = re.compile(rb"(?:[^\t\n]*\t[^\t\n]*\t[^\t\n]*\n)*")
PAGE_COUNT = re.compile(rb"[0-9]{1,4}")


def read_pages(connection: AttemptConnection, query_id: str, first: Response) -> tuple[bytes, ...] | None:
    """Return all pages; None if the first is no page. Raises `AnswerUnavailableError` or `ConnectFailed`."""
    page_count = _read_page_count(first)
    if page_count is None:
        connection.note_fault(AnswerFault.UNEXPECTED)
        return None
    pages, total_bytes = [first.body], len(first.body)
    while len(pages) < page_count:
        page = _fetch_page(connection, query_id, len(pages))
        if page is None:
            continue
        pages.append(page)
        total_bytes += len(page)
        if total_bytes > MAX_RESULT_BYTES:
            raise AnswerUnavailableError("a result that is larger than any")
    return tuple(pages)


def _fetch_page(connection: AttemptConnection, query_id: str, number: int) -> bytes | None:
    """Return a page; None if what came is not this page."""
    response = connection.call(fetch_page(query_id, number), PAGE_TIMEOUT_MS)
    if response is None:
        return None
    if response.status == 500:
        raise AnswerUnavailableError(f"page {number} is lost")
    is_this_page = (
        response.status == 200
        and response.headers.get(PAGE_NUMBER_HEADER) == b"%d" % number
        and _is_complete_rows(response.body)
    )
    if not is_this_page:
        connection.note_fault(AnswerFault.UNEXPECTED)
        return None
    return response.body


def _read_page_count(first: Response) -> int | None:
    """Return the number of pages that a first page states; None if it is no first page."""
    stated = first.headers.get(PAGE_COUNT_HEADER, b"")
    if PAGE_COUNT.fullmatch(stated) is None or not 1 <= int(stated) <= MAX_PAGES:
        return None
    if PAGE_NUMBER_HEADER in first.headers or not _is_complete_rows(first.body):
        return None
    return int(stated)


def _is_complete_rows(page: bytes) -> bool:
    if len(page) > MAX_PAGE_BYTES or ROWS.fullmatch(page) is None:
        return False
    try:
        page.decode("utf-8")
    except UnicodeDecodeError:
        return False
    return True
