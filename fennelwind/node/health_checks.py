"""Health checks: one call for an executor's gauges, which also returns a load report."""

from collections.abc import Collection

from fennelwind.dispatch.types import AttemptEnd
from fennelwind.loop.scheduler import DeadlineExceeded
from fennelwind.node.executor_connection import Executor
from fennelwind.node.executor_pool import ExecutorPool
from fennelwind.node.executor_requests import HEALTH_CHECK
from fennelwind.node.http1 import MalformedResponseError
from fennelwind.node.load_report import read_load_report
from fennelwind.policy import AttemptStatus

HEALTH_CHECK_TIMEOUT_MS = 250.0  # ms; a healthy executor answers within a few


def check_health(pool: ExecutorPool, executor: Executor, report_fields: Collection[str]) -> AttemptEnd:
    """Check an executor's health; failures of the executor or the network are returned, not raised."""
    try:
        response = pool.call(executor, HEALTH_CHECK, HEALTH_CHECK_TIMEOUT_MS)
    except DeadlineExceeded:
        return AttemptEnd(AttemptStatus.TIMEOUT, "no answer to the health check")
    except OSError as exc:
        return AttemptEnd(AttemptStatus.CONNECT_FAILED, str(exc))
    except MalformedResponseError as exc:
        return AttemptEnd(AttemptStatus.ERROR, str(exc))
    status = AttemptStatus.OK if response.status == 200 else AttemptStatus.ERROR
    return AttemptEnd(status, load=read_load_report(response, report_fields))
