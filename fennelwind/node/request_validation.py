"""What a client's request has to be. Nothing is sent on that was not valid; no I/O and no clock."""

import re
from dataclasses import dataclass
from typing import Any

from fennelwind import policy
from fennelwind.node.table_group import table_group

ID = re.compile(r"[0-9a-f]{16}")
MILLISECONDS = re.compile(r"[0-9]{1,9}(?:\.[0-9]{1,9})?")
IDEMPOTENCY_KEY = re.compile(r"[\x21-\x7e]{1,128}")  # opaque; it goes into a header as it is
NUMBER = re.compile(r"[0-9]{1,12}(?:\.[0-9]{1,9})?")
WORK_MOST = 1e9  # ms of work; an estimate of eleven days is none
MEMORY_MOST = 1e7  # MB; nor is one of ten terabytes
PATIENCE, PATIENCE_MS = 2.0, 1000.0  # of the time that clients of the class wait in all, and more; beyond it
# a time is no deadline of theirs. Clients add the way to it, so the time itself would be too strict.


class Unusable(Exception):
    """A request that can't be used; the text says why."""


@dataclass(slots=True, frozen=True)
class Asked:
    """A request whose fields are all usable."""

    name: str
    cls: int
    tenant: int
    wait_ms: float
    statement: bytes
    work_ms: float | None
    memory_mb: float
    tables: int | None
    repeat: bool
    idempotency_key: str  # by which executors drop repeats, where they do; "": none


def read_request(
    method: str,
    params: list[Any],
    classes: dict[str, int],
    tenants: dict[str, int],
    settings: policy.Settings,
) -> Asked:
    """Check a request field by field. Raises `Unusable`."""
    cls = classes.get(method)
    if cls is None:
        raise Unusable("no such class")
    if len(params) != 2 or type(params[0]) is not dict or type(params[1]) is not bytes:
        raise Unusable("fields and a statement are wanted")
    fields, statement = params
    for name, value in fields.items():
        if type(name) is not str or type(value) is not str:
            raise Unusable("fields are texts")
    name = fields.get("i", "")
    if ID.fullmatch(name) is None:
        raise Unusable("an id is 16 hex digits")
    wait = fields.get("d", "")
    longest = PATIENCE * settings.classes[cls].client_timeout_ms + PATIENCE_MS
    if MILLISECONDS.fullmatch(wait) is None or not 0.0 < float(wait) <= longest:
        raise Unusable("no time that a client of the class waits")
    tenant = tenants.get(fields.get("t", "")) if tenants else 0
    if tenant is None:
        raise Unusable("no such tenant")
    if fields.get("r", "1") != "1":
        raise Unusable("a retry is marked 1")
    key = fields.get("k", "")
    if key and IDEMPOTENCY_KEY.fullmatch(key) is None:
        raise Unusable("no idempotency key")
    work = _estimate(fields.get("h"), "work", WORK_MOST)
    memory = _estimate(fields.get("mb"), "memory", MEMORY_MOST)
    try:
        text = statement.decode("utf-8")
    except UnicodeDecodeError:
        raise Unusable("a statement is text") from None
    if not text.strip():
        raise Unusable("a statement is wanted")
    return Asked(
        name,
        cls,
        tenant,
        float(wait),
        statement,
        work or None,
        memory or 0.0,
        table_group(text),
        "r" in fields,
        key,
    )


def _estimate(text: str | None, what: str, most: float) -> float | None:
    if text is None:
        return None
    if NUMBER.fullmatch(text) is None or float(text) > most:
        raise Unusable(f"no estimate of {what}")
    return float(text)
