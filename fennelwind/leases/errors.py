"""What of leases reaches an operator."""

from fennelwind.errors import FennelwindError


class LeaseError(FennelwindError):
    """The root of what can go wrong with leases."""


class OlderFence(LeaseError):
    """A resource was shown a fence that is older than one it has seen."""

    code = "leases-older-fence"
    advice = (
        "Nothing has to be done: an act of a controller that no longer holds the task was refused, as "
        "it should be. If it comes often, look for controllers that stand still for long."
    )


class FencesFull(LeaseError):
    """A resource remembers as many tasks' fences as it may; a further task's act is refused."""

    code = "leases-fences-full"
    advice = (
        "Tasks are named by something that never repeats. Name them by what they work on, so that a "
        "resource meets a bounded number of them."
    )


class LeaseRefused(LeaseError):
    """The record refuses a lease for what was asked, so asking again alone will not help."""

    code = "leases-refused"
    advice = (
        "Look at the refusal: with too many tasks or waiters, or no room for checkpoints, forget tasks "
        "that are over; with a name, term or checkpoint out of its bounds, change the task that asks."
    )


class TaskNotHeld(LeaseError):
    """An act was to begin without the lease, or with too little of it left."""

    code = "leases-not-held"
    advice = (
        "Nothing has to be done if another controller holds the task. If nobody does for long, look "
        "whether the record has a leader and whether this controller's clock runs at its proper pace."
    )


class ActTooLong(LeaseError):
    """An act was to begin that is longer than its lease can ever allow."""

    code = "leases-act-too-long"
    advice = "Give the task a longer term, or cut the act into shorter ones."
