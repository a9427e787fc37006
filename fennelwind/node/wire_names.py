"""Maps each name on the platform's wire to this project's term.

This module has the methods, fields and headers. Resource paths are in `executor_requests` and
`watch_connection`, the fields of the configuration file in `config`. The names are plain constants, since
every request uses them.
"""

from fennelwind.policy import EngineState


class ClientMethod:
    """MessagePack-RPC methods other than the names of query classes."""

    HEALTH = "isWell"  # request: whether this controller serves queries
    WITHDRAW = "forget"  # notification: the client no longer needs answers to these message ids


class RequestField:
    """Fields of a client's query request."""

    QUERY_ID = "i"
    TIMEOUT_MS = "d"
    TENANT = "t"
    ESTIMATED_WORK_MS = "h"
    ESTIMATED_MEMORY_MB = "mb"
    IS_RETRY = "r"
    IDEMPOTENCY_KEY = "k"


class ClientError:
    """Names of the errors sent to clients."""

    REJECTED = "Shed"  # the query did not run; a retry is safe
    INVALID_REQUEST = "Unusable"
    FAILED = "Failed"


class ErrorField:
    """Fields of the errors sent to clients."""

    RETRY_AFTER_MS = "w"
    MESSAGE = "m"


class EventField:
    """Fields of command channel events and of the endpoints in them."""

    CURSOR = "cursor"
    NODES = "nodes"
    IS_FULL_LIST = "reset"
    ENDPOINTS = "instances"
    EXECUTOR = "instanceId"
    STATE = "lifecycle"
    ADDRESS = "hostPort"
    ZONE = "zone"
    MACHINE_TYPE = "machineType"
    CELL = "cell"
    WEIGHT = "weight"
    STARTED_UNIX_MS = "startedAtMs"


ENDPOINT_STATES = {
    "in_service": EngineState.READY,
    "terminating": EngineState.DRAINING,
    "terminated": EngineState.REMOVED,
}

# Headers of requests to executors.
QUERY_ID_HEADER = b"X-Req"
QUERY_CLASS_HEADER = b"X-Class"
IDEMPOTENCY_KEY_HEADER = b"Idempotency-Key"
TIMEOUT_MS_HEADER = b"X-Wait-Ms"
MEMORY_GRANT_MB_HEADER = b"X-Reserve"
PRIORITY_HEADER = b"X-Weight-Class"

# Headers of executors' responses; lower case, since the parser lowers header names.
DID_NOT_RUN_HEADER = b"x-not-run"
PAGE_COUNT_HEADER = b"x-batches"
PAGE_NUMBER_HEADER = b"x-batch"
LOAD_REPORT_HEADER = b"x-load"

# Load report fields whose name on the wire differs from the one in the settings.
LOAD_REPORT_FIELDS = {
    "inflight": "active",
    "queue": "waiting",
    "util": "cpu",
    "latency_ms": "avg_ms",
    "qps": "rps",
    "eps": "err_rps",
}
