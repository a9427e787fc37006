"""Fencing: the check ahead of each operation of a leased task, and the check at the resource it acts on.

How long a holder may count on a lease. It is granted on the replicated log for T ms of the log's clock, at a
moment that is not before the one at which its holder first requested it, t0 on the holder's own clock. Each
clock runs at a pace between 1 - d and 1 + d of true time, d the stated drift. The log's clock measures T in
no less than T / (1 + d) of true time; over changes of leader it only loses time. The holder's measures H in
no more than H / (1 - d). So with H = T (1 - d) / (1 + d), less what both clocks round, the holder has stopped
counting on it at t0 + H before it expires on the log.

How long an operation may last. It begins only if all of its stated time, and a pause of the process as long
as the stated one, fit into what is left, and continues only while that pause still does. A process that
stands still for longer, between a check and its effect, is out of what a clock can prove: there the fencing
token decides, and a resource that checks no token has no more protection than the stated pause.
"""

import math
from dataclasses import dataclass

from fennelwind.leases.errors import (
    LeaseNotHeldError,
    OperationTooLongError,
    StaleFencingTokenError,
    TooManyFencedTasksError,
)

MAX_CLOCK_DRIFT = 0.2  # part of true time by which a clock runs fast or slow at most; quartz keeps 0.0001
CLOCK_ROUNDING_MS = 2.0  # ms that the log's clock in whole ms, at grant and at expiry, may be off
MAX_PAUSE_MS = 250.0  # ms that a process stands still, or a call takes, between a check and its effect
MAX_OPERATIONS = 64  # operations of one task at a time
MAX_FENCED_TASKS = 10_000  # tasks whose fencing token a resource remembers


def usable_lease_ms(term_ms: float, max_drift: float = MAX_CLOCK_DRIFT) -> float:
    """Return for how many ms of its own clock, from its request on, a holder may count on a lease."""
    return max(0.0, math.floor(term_ms * (1.0 - max_drift) / (1.0 + max_drift)) - CLOCK_ROUNDING_MS)


@dataclass(slots=True, frozen=True)
class FencedOperation:
    """One operation of a task that has begun; its fencing token goes with every request it makes."""

    number: int
    fencing_token: int
    deadline_ms: float  # on the holder's clock


class FencingGuard:
    """Checks the operations of one task on one controller. Times in ms on that controller's clock."""

    def __init__(self, task: str, max_pause_ms: float = MAX_PAUSE_MS) -> None:
        self.task = task
        self.max_pause_ms = max_pause_ms
        self.fencing_token = 0  # 0: the lease is not held
        self.valid_until_ms = -math.inf  # the lease may be counted on until then
        self.operation_budget_ms = 0.0  # ms that a fresh lease gives; 0: no operation may begin
        self.operations: dict[int, FencedOperation] = {}  # that have begun and not ended, by number
        self._last_number = 0

    # Called by the lease client.

    def grant(self, fencing_token: int, valid_until_ms: float, operation_budget_ms: float) -> None:
        """Allow operations under this token until `valid_until_ms`; a renewal never shortens it."""
        if fencing_token == self.fencing_token:
            valid_until_ms = max(valid_until_ms, self.valid_until_ms)
        self.fencing_token = fencing_token
        self.valid_until_ms = valid_until_ms
        self.operation_budget_ms = operation_budget_ms

    def revoke(self) -> None:
        """Let no operation begin or continue."""
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
        """Let no further operation begin; those that have begun may end in their time."""
        self.operation_budget_ms = 0.0

    # Called by the task.

    def begin(self, now_ms: float, operation_ms: float) -> FencedOperation:
        """Begin an operation of at most `operation_ms`.

        Raises:
            LeaseNotHeldError: the lease is not held, too little of it is left, or too many operations run.
            OperationTooLongError: not even a fresh lease would be long enough.

        """
        self.remove_expired(now_ms)
        self._check_time_left(now_ms, operation_ms)
        if len(self.operations) >= MAX_OPERATIONS:
            raise LeaseNotHeldError(
                f"{len(self.operations)} operations of {self.task} are under way",
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
            f"{self.task} is not held for another {wanted_ms:.0f} ms",
            task=self.task,
            left_ms=max(0.0, self.valid_until_ms - now_ms) if self.fencing_token else 0.0,
            wanted_ms=wanted_ms,
        )

    def may_continue(self, now_ms: float, operation: FencedOperation) -> bool:
        """Tell whether the operation may take its next step; called ahead of each, and after each wait."""
        return (
            operation.number in self.operations
            and operation.fencing_token == self.fencing_token
            and now_ms <= operation.deadline_ms
            and now_ms + self.max_pause_ms <= self.valid_until_ms
        )

    def end(self, operation: FencedOperation) -> None:
        """Note that the operation is over, and nothing of it can take effect any more.

        One whose last call brought no answer is not ended here; its deadline ends it.
        """
        self.operations.pop(operation.number, None)


class FencedResource:
    """The resource that operations act on: it remembers the highest fencing token of each task."""

    def __init__(self) -> None:
        self.highest_tokens: dict[str, int] = {}
        self.rejected_count = 0

    def check(self, task: str, fencing_token: int) -> None:
        """Accept or reject the fencing token that an operation shows.

        Raises:
            StaleFencingTokenError: a later holder of the task has been here.
            TooManyFencedTasksError: the task is new, and no further one can be remembered.

        """
        highest = self.highest_tokens.get(task)
        if highest is None and len(self.highest_tokens) >= MAX_FENCED_TASKS:
            self.rejected_count += 1
            raise TooManyFencedTasksError(
                f"fencing tokens of {MAX_FENCED_TASKS} tasks are known; {task} is another", task=task
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
