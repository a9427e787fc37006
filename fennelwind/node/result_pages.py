"""Fetches the pages of a result from an executor and validates them: UTF-8 rows of three columns.

Called by an `Attempt` with the first page, which states the number of pages. Every page is validated, since a
damaged one would give the client a wrong answer.
"""

import re

from fennelwind.node.attempt_connection import AnswerFault, AnswerUnavailableError, AttemptConnection
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
    connection: AttemptConnection, query_id: str, first_response: Response
) -> tuple[bytes, ...] | None:
    """Return all pages, or None if the first is invalid. Raises `AnswerUnavailableError`, `ConnectFailed`."""
    page_count = _read_page_count(first_response)
    if page_count is None:
        connection.note_fault(AnswerFault.UNEXPECTED)
        return None
    pages, total_bytes = [first_response.body], len(first_response.body)
    while len(pages) < page_count:
        page = _fetch_page(connection, query_id, len(pages))
        if page is None:
            continue
        pages.append(page)
        total_bytes += len(page)
        if total_bytes > MAX_RESULT_BYTES:
            raise AnswerUnavailableError("the result exceeds the maximum size")
    return tuple(pages)


def _fetch_page(connection: AttemptConnection, query_id: str, page_number: int) -> bytes | None:
    """Return a page, or None if the response is not that page."""
    response = connection.call(fetch_page(query_id, page_number), PAGE_TIMEOUT_MS)
    if response is None:
        return None
    if response.status == 500:
        raise AnswerUnavailableError(f"the executor no longer has page {page_number}")
    is_this_page = (
        response.status == 200
        and response.headers.get(PAGE_NUMBER_HEADER) == b"%d" % page_number
        and _is_complete_rows(response.body)
    )
    if not is_this_page:
        connection.note_fault(AnswerFault.UNEXPECTED)
        return None
    return response.body


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
