"""The input events and output actions of the lease client. All times are in ms.

The client itself, `lease_client.LeaseClient`, does no I/O: `cluster.leased_tasks` passes these events to it
and carries out its actions.
"""

from dataclasses import dataclass
from enum import StrEnum

from fennelwind.leases.errors import LeaseRejectedError

DEFAULT_TERM_MS = 10_000  # ms; a task is taken over within about 10 s, and its holder renews every 3.3 s


# Events.


@dataclass(slots=True, frozen=True)
class AcquireLease:
    """The controller wants to run this task."""

    task: str
    term_ms: int = DEFAULT_TERM_MS
    purpose: str = ""


@dataclass(slots=True, frozen=True)
class ReleaseLease:
    """The controller no longer wants to run the task; its lease is handed over when its operations end."""

    task: str


@dataclass(slots=True, frozen=True)
class LeasesOffered:
    """The replicated state offers the leases of these tasks to the controller."""

    tasks: tuple[str, ...]


@dataclass(slots=True, frozen=True)
class CommandAnswered:
    """The result of a command; `body` is a `LeaseAnswer`, or None if it is rejected, lost or unreadable."""

    request_id: int
    body: bytes | None
    retry_after_ms: float = 0.0  # the delay that a rejection asks for


@dataclass(slots=True, frozen=True)
class SaveCheckpoint:
    """The task's progress so far; the next renewal stores this checkpoint."""

    task: str
    checkpoint: bytes


@dataclass(slots=True, frozen=True)
class TaskFailed:
    """The controller can't run the task, for example because its disk is full or no engine is reachable."""

    task: str


@dataclass(slots=True, frozen=True)
class TaskFinished:
    """The task is finished for all controllers: the replicated state removes the task."""

    task: str


@dataclass(slots=True, frozen=True)
class Shutdown:
    """The controller shuts down: each lease is handed over as soon as it has no running operation."""


@dataclass(slots=True, frozen=True)
class Wakeup:
    """The time of `SetTimer` has come, or an operation has ended. Always safe to send."""


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
    """Why a lease is no longer held; the values appear in logs."""

    EXPIRED = "lapsed"
    TAKEN_OVER = "taken"
    RELEASED = "given"


@dataclass(slots=True, frozen=True)
class SendCommand:
    """Propose a `LeaseCommand`. A resend has to carry the same client and sequence number."""

    request_id: int
    body: bytes


@dataclass(slots=True, frozen=True)
class LeaseAcquired:
    """The controller holds the lease and may run the task; the fencing guard checks each operation first."""

    task: str
    fencing_token: int
    checkpoint: bytes


@dataclass(slots=True, frozen=True)
class StopTask:
    """The task has to stop on this controller: no operation may begin, running ones should end soon."""

    task: str
    fencing_token: int


@dataclass(slots=True, frozen=True)
class LeaseLost:
    """The controller has lost the lease, or can no longer be certain that it holds it."""

    task: str
    fencing_token: int
    reason: LossReason


@dataclass(slots=True, frozen=True)
class LeaseRejected:
    """The request for a task's lease was rejected for its content; the request is sent again much later."""

    task: str
    refusal: str

    @property
    def error(self) -> LeaseRejectedError:
        """The error to log for an operator."""
        return LeaseRejectedError(
            f"the lease request for {self.task} was rejected: {self.refusal}",
            task=self.task,
            refusal=self.refusal,
        )


@dataclass(slots=True, frozen=True)
class ShutdownComplete:
    """All leases are handed over, or the attempts are used up: the controller may exit."""

    is_confirmed: bool  # whether the replicated state has applied the hand-over


@dataclass(slots=True, frozen=True)
class SetTimer:
    """Send `Wakeup` at this time; each `SetTimer` replaces the one before."""

    at_ms: float


Action = SendCommand | LeaseAcquired | StopTask | LeaseLost | LeaseRejected | ShutdownComplete | SetTimer
