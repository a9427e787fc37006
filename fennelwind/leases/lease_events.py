"""What the lease client is told (events) and what it wants done (actions). All times are in ms.

The client itself, `lease_client.LeaseClient`, does no I/O: `cluster.leased_tasks` feeds it these events and
carries out its actions.
"""

from dataclasses import dataclass
from enum import StrEnum

from fennelwind.leases.errors import LeaseRejectedError

DEFAULT_TERM_MS = 10_000  # ms; a task is taken over within some 10 s, and its holder renews every 3.3 s


# Events.


@dataclass(slots=True, frozen=True)
class AcquireLease:
    """The controller wants to run this task."""

    task: str
    term_ms: int = DEFAULT_TERM_MS
    purpose: str = ""


@dataclass(slots=True, frozen=True)
class ReleaseLease:
    """It no longer does; a lease is handed over when its operations have ended."""

    task: str


@dataclass(slots=True, frozen=True)
class LeasesOffered:
    """A watch reports that the leases of these tasks are offered to the controller."""

    tasks: tuple[str, ...]


@dataclass(slots=True, frozen=True)
class CommandAnswered:
    """The command's result has come; `body` is a `LeaseAnswer`, None: rejected, lost or unreadable."""

    request_id: int
    body: bytes | None
    retry_after_ms: float = 0.0  # came with a rejection


@dataclass(slots=True, frozen=True)
class SaveCheckpoint:
    """The task has got this far; the checkpoint goes along with the next renewal."""

    task: str
    checkpoint: bytes


@dataclass(slots=True, frozen=True)
class TaskFailed:
    """The controller can't run the task: its disk is full, it is cut off from the engines."""

    task: str


@dataclass(slots=True, frozen=True)
class TaskFinished:
    """The task is over for all controllers: the replicated state forgets it."""

    task: str


@dataclass(slots=True, frozen=True)
class Shutdown:
    """The controller is going to end: all leases are handed over, at once or when operations have ended."""


@dataclass(slots=True, frozen=True)
class Wakeup:
    """The time that `SetTimer` named has come, an operation has ended, or nothing in particular."""


Event = (
    AcquireLease
    | ReleaseLease
    | LeasesOffered
    | CommandAnswered
    | SaveCheckpoint
    | TaskFailed
    | TaskFinished
    | Shutdown
    | Wakeup
)


# Actions.


class LossReason(StrEnum):
    """Why a lease is no longer held; the values stand in logs."""

    EXPIRED = "lapsed"
    TAKEN_OVER = "taken"
    RELEASED = "given"


@dataclass(slots=True, frozen=True)
class SendCommand:
    """Propose a `LeaseCommand`. It may be sent more than once, under one client's one sequence number."""

    request_id: int
    body: bytes


@dataclass(slots=True, frozen=True)
class LeaseAcquired:
    """The task is this controller's to run, through its fencing guard."""

    task: str
    fencing_token: int
    checkpoint: bytes


@dataclass(slots=True, frozen=True)
class StopTask:
    """The task has to come to an end here: no operation begins any more, those under way should end soon."""

    task: str
    fencing_token: int


@dataclass(slots=True, frozen=True)
class LeaseLost:
    """The lease is not, or no longer surely, this controller's."""

    task: str
    fencing_token: int
    reason: LossReason


@dataclass(slots=True, frozen=True)
class LeaseRejected:
    """The request for a task's lease is rejected for its content; it is sent again much later."""

    task: str
    refusal: str

    @property
    def error(self) -> LeaseRejectedError:
        """Return what is logged for an operator."""
        return LeaseRejectedError(
            f"the lease of {self.task} is rejected: {self.refusal}", task=self.task, refusal=self.refusal
        )


@dataclass(slots=True, frozen=True)
class ShutdownComplete:
    """All is handed over, or was attempted often enough: the controller may end."""

    is_confirmed: bool  # an answer has come


@dataclass(slots=True, frozen=True)
class SetTimer:
    """`Wakeup` is wanted at this time; the last one counts."""

    at_ms: float


Action = SendCommand | LeaseAcquired | StopTask | LeaseLost | LeaseRejected | ShutdownComplete | SetTimer
