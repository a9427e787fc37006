"""Errors of leases and fencing that reach an operator."""

from fennelwind.errors import FennelwindError


class LeaseError(FennelwindError):
    """The root of what can go wrong with leases."""


class StaleFencingTokenError(LeaseError):
    """A resource was shown a fencing token that is older than one it has seen."""

    code = "leases-older-fence"
    advice = (
        "Nothing has to be done: an operation of a controller that no longer holds the lease was rejected, "
        "as it should be. If it comes often, look for controllers that stand still for long."
    )


class TooManyFencedTasksError(LeaseError):
    """A resource remembers tokens of as many tasks as it may; another task's operation is rejected."""

    code = "leases-fences-full"
    advice = (
        "Tasks are named by something that never repeats. Name them by what they work on, so that a "
        "resource meets a bounded number of them."
    )


class LeaseRejectedError(LeaseError):
    """The replicated log rejects a lease request for its content, so a retry alone will not help."""

    code = "leases-refused"
    advice = (
        "Look at the refusal: with too many tasks or waiters, or no room for checkpoints, forget tasks "
        "that are over; with a name, term or checkpoint out of its bounds, change the task that asks."
    )


class LeaseNotHeldError(LeaseError):
    """An operation was to begin without the lease, or with too little of it left."""

    code = "leases-not-held"
    advice = (
        "Nothing has to be done if another controller holds the lease. If nobody does for long, look "
        "whether the Raft group has a leader and whether this controller's clock runs at its proper pace."
    )


class OperationTooLongError(LeaseError):
    """An operation was to begin that is longer than its lease can ever allow."""

    code = "leases-act-too-long"
    advice = "Give the task a longer lease term, or cut the operation into shorter ones."
