"""Builds the HTTP requests to executors from queries and attempts. No I/O."""

from fennelwind.dispatch.types import AttemptRequest
from fennelwind.node.wire_names import (
    IDEMPOTENCY_KEY_HEADER,
    MEMORY_GRANT_MB_HEADER,
    PRIORITY_HEADER,
    QUERY_CLASS_HEADER,
    QUERY_ID_HEADER,
    TIMEOUT_MS_HEADER,
)

HEALTH_CHECK = b"GET /-/gauges HTTP/1.1\r\nHost: executor\r\n\r\n"
MIN_GRANT_MB = 1.0  # MB; below it no grant is sent, and the executor decides by itself
DEFAULT_PRIORITY = 1  # the priority that an executor assumes if the request states none

_START = (
    b"POST /data HTTP/1.1\r\nHost: executor\r\n"
    + QUERY_ID_HEADER
    + b": %s\r\n"
    + QUERY_CLASS_HEADER
    + b": %s\r\n%s"
    + TIMEOUT_MS_HEADER
    + b": %d\r\n%s%sContent-Length: %d\r\n\r\n%s"
)
_IDEMPOTENCY_KEY = IDEMPOTENCY_KEY_HEADER + b": %s\r\n"
_MEMORY_GRANT = MEMORY_GRANT_MB_HEADER + b": %d\r\n"
_PRIORITY = PRIORITY_HEADER + b": %d\r\n"


def start_query(request: AttemptRequest, timeout_ms: int) -> bytes:
    """Return the POST that starts an attempt; the executor ends it after `timeout_ms`."""
    submission = request.submission
    statement = submission.statement
    key = submission.idempotency_key.encode("ascii")
    return _START % (
        submission.engine_id.encode("ascii"),
        submission.engine_class.encode(),
        _IDEMPOTENCY_KEY % key if key else b"",
        timeout_ms,
        _MEMORY_GRANT % request.memory_mb if request.memory_mb >= MIN_GRANT_MB else b"",
        _PRIORITY % request.priority if request.priority != DEFAULT_PRIORITY else b"",
        len(statement),
        statement,
    )


def poll_query(query_id: str) -> bytes:
    """Return the GET that waits for an attempt's end and fetches the first page of the result."""
    return fetch_page(query_id, 0)


def fetch_page(query_id: str, page: int) -> bytes:
    """Return the GET that fetches one page of a result."""
    return _call_on_query(b"GET", query_id, b"/%d" % page)


def cancel_query(query_id: str) -> bytes:
    """Return the DELETE that cancels a query."""
    return _call_on_query(b"DELETE", query_id)


def set_priority(query_id: str, priority: int) -> bytes:
    """Return the PUT that sets a running query's priority."""
    body = b"%d" % priority
    return _call_on_query(b"PUT", query_id, headers=b"Content-Length: %d\r\n" % len(body), body=body)


def _call_on_query(
    method: bytes, query_id: str, path: bytes = b"", headers: bytes = b"", body: bytes = b""
) -> bytes:
    return b"%s /data/%s%s HTTP/1.1\r\nHost: executor\r\n%s\r\n%s" % (
        method,
        query_id.encode("ascii"),
        path,
        headers,
        body,
    )
