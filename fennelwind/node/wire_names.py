"""The names on the platform's wire, each mapped once to this project's term.

Methods, fields and headers stand here; resource paths stand in `executor_requests` and `watch_connection`,
the configuration file's fields in `config`. They are plain constants, as they are looked up in every request.
"""

from fennelwind.policy import EngineState


class ClientMethod:
    """Methods of MessagePack-RPC that name no query class."""

    HEALTH = "isWell"  # request: does this controller serve?
    WITHDRAW = "forget"  # notification: the client wants no answer to these message ids any more


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
    """Names of errors that clients get."""

    REJECTED = "Shed"  # the query did not run; a retry is harmless
    INVALID_REQUEST = "Unusable"
    FAILED = "Failed"


class ErrorField:
    """Fields of an error that clients get."""

    RETRY_AFTER_MS = "w"
    MESSAGE = "m"


class EventField:
    """Fields of the command channel's events, and of the endpoints in them."""

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

# Headers of calls to executors.
QUERY_ID_HEADER = b"X-Req"
QUERY_CLASS_HEADER = b"X-Class"
IDEMPOTENCY_KEY_HEADER = b"Idempotency-Key"
TIMEOUT_MS_HEADER = b"X-Wait-Ms"
MEMORY_GRANT_MB_HEADER = b"X-Reserve"
PRIORITY_HEADER = b"X-Weight-Class"

# Headers of executors' responses, in lower case as they are parsed.
DID_NOT_RUN_HEADER = b"x-not-run"
PAGE_COUNT_HEADER = b"x-batches"
PAGE_NUMBER_HEADER = b"x-batch"
LOAD_REPORT_HEADER = b"x-load"

# Figures of load reports that have a name of the platform's; all others are named as in the settings.
LOAD_REPORT_FIELDS = {
    "inflight": "active",
    "queue": "waiting",
    "util": "cpu",
    "latency_ms": "avg_ms",
    "qps": "rps",
    "eps": "err_rps",
}
