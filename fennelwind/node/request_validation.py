"""Validates a client's query request field by field. No I/O and no clock.

Only requests that are valid here are forwarded to executors. Called by `client_connection`, which reports an
`InvalidRequestError` to the client and counts it.
"""

import re
from dataclasses import dataclass
from typing import Any

from fennelwind.node.config import NodeConfig
from fennelwind.node.query_ids import QueryIds
from fennelwind.node.table_group import table_group
from fennelwind.node.wire_names import RequestField

QUERY_ID = re.compile(r"[0-9a-f]{16}")
MILLISECONDS = re.compile(r"[0-9]{1,9}(?:\.[0-9]{1,9})?")
IDEMPOTENCY_KEY = re.compile(r"[\x21-\x7e]{1,128}")  # opaque; sent in a header unchanged
NUMBER = re.compile(r"[0-9]{1,12}(?:\.[0-9]{1,9})?")
IS_RETRY = "1"  # the only valid value of the retry field
MAX_WORK_MS = 1e9  # ms of work; an estimate of more than 11 days is invalid
MAX_MEMORY_MB = 1e7  # MB; an estimate of more than 10 TB is invalid
# A timeout above this multiple of the class's client timeout plus the slack is rejected. Clients add the time
# on the network, so the class's timeout itself would be too strict a maximum.
MAX_TIMEOUT_MULTIPLE = 2.0
TIMEOUT_SLACK_MS = 1000.0


class InvalidRequestError(Exception):
    """An invalid request; the reason is sent to the client."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


@dataclass(slots=True, frozen=True)
class QueryRequest:
    """A valid request."""

    query_id: str
    class_index: int
    tenant: int
    timeout_ms: float  # counted from the request's arrival; the client stops waiting then
    statement: bytes
    estimated_work_ms: float | None
    estimated_memory_mb: float  # 0 if there is no estimate
    table_group: int | None
    is_retry: bool
    idempotency_key: str  # executors that deduplicate use it; "" if there is none


def read_request(method: str, params: list[Any], config: NodeConfig, query_ids: QueryIds) -> QueryRequest:
    """Validate a request, whose method names the query class. Raises `InvalidRequestError`.

    The statement, which may be long, is read last: a request that is invalid for another reason costs little.
    """
    class_index = config.classes.get(method)
    if class_index is None:
        raise InvalidRequestError("no such class")
    fields, statement = _split_params(params)
    query_id = fields.get(RequestField.QUERY_ID, "")
    if QUERY_ID.fullmatch(query_id) is None:
        raise InvalidRequestError("an id is 16 hex digits")
    if query_id in query_ids.open:
        raise InvalidRequestError("the id is that of an open request")
    if query_id in query_ids.may_have_run:
        raise InvalidRequestError("a request with this id may have run")
    timeout_ms = _read_timeout(fields, config.settings.classes[class_index].client_timeout_ms)
    tenant = config.tenants.get(fields.get(RequestField.TENANT, "")) if config.tenants else 0
    if tenant is None:
        raise InvalidRequestError("no such tenant")
    if fields.get(RequestField.IS_RETRY, IS_RETRY) != IS_RETRY:
        raise InvalidRequestError("a retry is marked 1")
    key = fields.get(RequestField.IDEMPOTENCY_KEY, "")
    if key and IDEMPOTENCY_KEY.fullmatch(key) is None:
        raise InvalidRequestError("no idempotency key")
    work_ms = _read_estimate(fields.get(RequestField.ESTIMATED_WORK_MS), "work", MAX_WORK_MS)
    memory_mb = _read_estimate(fields.get(RequestField.ESTIMATED_MEMORY_MB), "memory", MAX_MEMORY_MB)
    return QueryRequest(
        query_id=query_id,
        class_index=class_index,
        tenant=tenant,
        timeout_ms=timeout_ms,
        statement=statement,
        estimated_work_ms=work_ms or None,
        estimated_memory_mb=memory_mb or 0.0,
        table_group=table_group(_read_statement(statement)),
        is_retry=RequestField.IS_RETRY in fields,
        idempotency_key=key,
    )


def statement_bytes(params: list[Any]) -> int:
    """Return the size of a request's statement, or 0 if it has none."""
    return len(params[1]) if len(params) == 2 and type(params[1]) is bytes else 0


def _split_params(params: list[Any]) -> tuple[dict[str, str], bytes]:
    if len(params) != 2 or type(params[0]) is not dict or type(params[1]) is not bytes:
        raise InvalidRequestError("fields and a statement are wanted")
    fields, statement = params
    for name, value in fields.items():
        if type(name) is not str or type(value) is not str:
            raise InvalidRequestError("fields are texts")
    return fields, statement


def _read_timeout(fields: dict[str, str], client_timeout_ms: float) -> float:
    text = fields.get(RequestField.TIMEOUT_MS, "")
    max_timeout_ms = MAX_TIMEOUT_MULTIPLE * client_timeout_ms + TIMEOUT_SLACK_MS
    if MILLISECONDS.fullmatch(text) is None or not 0.0 < float(text) <= max_timeout_ms:
        raise InvalidRequestError("no time that a client of the class waits")
    return float(text)


def _read_estimate(text: str | None, quantity: str, maximum: float) -> float | None:
    if text is None:
        return None
    if NUMBER.fullmatch(text) is None or float(text) > maximum:
        raise InvalidRequestError(f"no estimate of {quantity}")
    return float(text)


def _read_statement(statement: bytes) -> str:
    try:
        text = statement.decode("utf-8")
    except UnicodeDecodeError:
        raise InvalidRequestError("a statement is text") from None
    if not text.strip():
        raise InvalidRequestError("a statement is wanted")
    return text
