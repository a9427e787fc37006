"""Fencing: a check before each operation of a leased task, and a check at the resource that the task acts on.

How long a holder may rely on a lease. The replicated log grants it for T ms of the log's clock. The grant is
never earlier than the moment t0, on the holder's own clock, at which the holder first sent its request. Each
clock runs at a rate between 1 - d and 1 + d of true time, where d is the maximum drift. T ms of the
log's clock last at least T / (1 + d) ms of true time; a change of leader can only slow that clock down. H ms
of the holder's clock last at most H / (1 - d) ms of true time. So with H = T (1 - d) / (1 + d), less the
rounding of both clocks, the holder stops relying on the lease at t0 + H, before the lease expires on the
log.

How long an operation may last. It begins only if its whole duration plus the maximum pause of the process
fits into the remaining lease, and continues only while that pause still fits. If a process is paused for
longer between a check and its effect, no clock can protect the resource. Then the fencing token decides; a
resource that checks no token is protected only up to the maximum pause.
"""

import math
from dataclasses import dataclass

from fennelwind.leases.errors import (
    LeaseNotHeldError,
    OperationTooLongError,
    StaleFencingTokenError,
    TooManyFencedTasksError,
)

MAX_CLOCK_DRIFT = 0.2  # fraction of true time by which a clock may run fast or slow; quartz keeps to 0.0001
CLOCK_ROUNDING_MS = 2.0  # ms; the log's clock counts whole ms, so grant and expiry may each be off by one
MAX_PAUSE_MS = 250.0  # ms that a process is paused, or a call takes, between a check and its effect
MAX_OPERATIONS = 64  # concurrent operations of one task
MAX_FENCED_TASKS = 10_000  # tasks whose fencing token a resource stores


def usable_lease_ms(term_ms: float, max_drift: float = MAX_CLOCK_DRIFT) -> float:
    """Return for how many ms of its own clock, from sending its request on, a holder may rely on a lease."""
    return max(0.0, math.floor(term_ms * (1.0 - max_drift) / (1.0 + max_drift)) - CLOCK_ROUNDING_MS)


@dataclass(slots=True, frozen=True)
class FencedOperation:
    """One operation of a task that has begun; each request of the operation carries this fencing token."""

    number: int
    fencing_token: int
    deadline_ms: float  # on the holder's clock


class FencingGuard:
    """Checks the operations of one task on one controller. Times are in ms on that controller's clock."""

    def __init__(self, task: str, max_pause_ms: float = MAX_PAUSE_MS) -> None:
        self.task = task
        self.max_pause_ms = max_pause_ms
        self.fencing_token = 0  # 0 if the lease is not held
        self.valid_until_ms = -math.inf  # the holder may rely on the lease until then
        self.operation_budget_ms = 0.0  # usable ms of a fresh lease; 0 if no operation may begin
        self.operations: dict[int, FencedOperation] = {}  # running operations by number
        self._last_number = 0

    # Called by the lease client.

    def grant(self, fencing_token: int, valid_until_ms: float, operation_budget_ms: float) -> None:
        """Allow operations under this token until `valid_until_ms`; a renewal never shortens that time."""
        if fencing_token == self.fencing_token:
            valid_until_ms = max(valid_until_ms, self.valid_until_ms)
        self.fencing_token = fencing_token
        self.valid_until_ms = valid_until_ms
        self.operation_budget_ms = operation_budget_ms

    def revoke(self) -> None:
        """Revoke the lease: no operation may begin or continue."""
        self.fencing_token = 0
        self.valid_until_ms = -math.inf

    def remove_expired(self, now_ms: float) -> None:
        """Drop operations whose deadline passed `max_pause_ms` ago: they can no longer take effect."""
        expired = [
            operation
            for operation in self.operations.values()
            if operation.deadline_ms + self.max_pause_ms < now_ms
        ]
        for operation in expired:
            del self.operations[operation.number]

    def stop_new_operations(self) -> None:
        """Let no further operation begin; running ones may continue until their deadline."""
        self.operation_budget_ms = 0.0

    # Called by the task.

    def begin(self, now_ms: float, operation_ms: float) -> FencedOperation:
        """Begin an operation of at most `operation_ms`.

        Raises:
            LeaseNotHeldError: the lease is not held, too little time of it is left, or too many operations
                are running.
            OperationTooLongError: even a fresh lease would be too short.

        """
        self.remove_expired(now_ms)
        self._check_time_left(now_ms, operation_ms)
        if len(self.operations) >= MAX_OPERATIONS:
            raise LeaseNotHeldError(
                f"{len(self.operations)} operations of {self.task} are already running",
                task=self.task,
                left_ms=self.valid_until_ms - now_ms,
                wanted_ms=operation_ms + self.max_pause_ms,
            )
        self._last_number += 1
        operation = FencedOperation(self._last_number, self.fencing_token, now_ms + operation_ms)
        self.operations[operation.number] = operation
        return operation

    def _check_time_left(self, now_ms: float, operation_ms: float) -> None:
        wanted_ms = operation_ms + self.max_pause_ms
        if self.fencing_token and self.operation_budget_ms and now_ms + wanted_ms <= self.valid_until_ms:
            return
        if self.fencing_token and 0.0 < self.operation_budget_ms < wanted_ms:
            raise OperationTooLongError(
                f"an operation of {operation_ms:.0f} ms does not fit into the lease of {self.task}",
                task=self.task,
                operation_ms=operation_ms,
                usable_ms=self.operation_budget_ms - self.max_pause_ms,
            )
        raise LeaseNotHeldError(
            f"the lease of {self.task} is not held for another {wanted_ms:.0f} ms",
            task=self.task,
            left_ms=max(0.0, self.valid_until_ms - now_ms) if self.fencing_token else 0.0,
            wanted_ms=wanted_ms,
        )

    def may_continue(self, now_ms: float, operation: FencedOperation) -> bool:
        """Return whether the operation may continue; call this before each step and after each wait."""
        return (
            operation.number in self.operations
            and operation.fencing_token == self.fencing_token
            and now_ms <= operation.deadline_ms
            and now_ms + self.max_pause_ms <= self.valid_until_ms
        )

    def end(self, operation: FencedOperation) -> None:
        """Remove an operation that is over and can no longer take effect.

        Don't call it for an operation whose last call got no answer: `remove_expired` removes such an
        operation after its deadline.
        """
        self.operations.pop(operation.number, None)


class FencedResource:
    """The resource that operations act on: it stores the highest fencing token of each task."""

    def __init__(self) -> None:
        self.highest_tokens: dict[str, int] = {}
        self.rejected_count = 0

    def check(self, task: str, fencing_token: int) -> None:
        """Accept or reject the fencing token of an operation.

        Raises:
            StaleFencingTokenError: a later holder of the task has already used this resource.
            TooManyFencedTasksError: the task is new, and `MAX_FENCED_TASKS` tasks are stored already.

        """
        highest = self.highest_tokens.get(task)
        if highest is None and len(self.highest_tokens) >= MAX_FENCED_TASKS:
            self.rejected_count += 1
            raise TooManyFencedTasksError(
                f"fencing tokens of {MAX_FENCED_TASKS} tasks are stored already; {task} is new", task=task
            )
        if highest is not None and fencing_token < highest:
            self.rejected_count += 1
            raise StaleFencingTokenError(
                f"fencing token {fencing_token} of {task} is older than {highest}",
                task=task,
                fencing_token=fencing_token,
                highest_token=highest,
            )
        self.highest_tokens[task] = fencing_token


def format_fencing_token(task: str, fencing_token: int) -> str:
    """Return the value of `fennelwind.fence` in a statement's configuration overlay."""
    return f"{task}:{fencing_token}"
