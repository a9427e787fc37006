"""Errors of leases and fencing that are reported to an operator."""

from fennelwind.errors import FennelwindError


class LeaseError(FennelwindError):
    """Base class of the errors of leases."""


class StaleFencingTokenError(LeaseError):
    """A resource received a fencing token that is older than one it has accepted before."""

    code = "leases-older-fence"
    advice = (
        "Nothing has to be done: an operation of a controller that no longer holds the lease was rejected, "
        "as it should be. If this error is frequent, look for controllers whose process is paused for long."
    )


class TooManyFencedTasksError(LeaseError):
    """A resource stores fencing tokens of its maximum number of tasks; it rejects any further task."""

    code = "leases-fences-full"
    advice = (
        "Task names are unique to each run. Name tasks after what they work on, so that the number of "
        "task names that a resource receives is bounded."
    )


class LeaseRejectedError(LeaseError):
    """The replicated lease state rejected a request because of its content; a plain retry fails too."""

    code = "leases-refused"
    advice = (
        "Look at the refusal. With too many tasks or waiters, or no space for checkpoints: remove the leases "
        "of tasks that are finished. With a name, term or checkpoint out of bounds: change the task that "
        "sends the request."
    )


class LeaseNotHeldError(LeaseError):
    """An operation can't begin: the lease is not held, or too little time of it is left."""

    code = "leases-not-held"
    advice = (
        "Nothing has to be done if another controller holds the lease. If no controller holds it for long, "
        "check that the Raft group has a leader and that this controller's clock runs at the right speed."
    )


class OperationTooLongError(LeaseError):
    """An operation can't begin: it is longer than even a fresh lease allows."""

    code = "leases-act-too-long"
    advice = "Give the task a longer lease term, or split the operation into shorter ones."
