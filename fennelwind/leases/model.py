"""Data types of the replicated lease state: controller incarnations, waiters, exclusions, task leases."""

from dataclasses import dataclass, field
from typing import NamedTuple


class ControllerIncarnation(NamedTuple):
    """One run of a controller, from its start to its end; a restart begins another incarnation."""

    name: str
    incarnation: bytes


@dataclass(slots=True)
class Waiter:
    """The request of a controller that waits for a lease."""

    term_ms: int
    purpose: str


@dataclass(slots=True)
class Exclusion:
    """The failures of a controller at a task, and until when it is not offered the task's lease."""

    failures: int
    until_ms: int


@dataclass(slots=True)
class TaskLease:
    """The lease of one task: free, offered or held."""

    holder: ControllerIncarnation | None = None  # the holder, or the controller to which it is offered
    fencing_token: int = 0  # 0 while the lease is free or offered
    term_ms: int = 0
    until_ms: int = 0  # when the lease or the offer expires
    purpose: str = ""
    checkpoint: bytes = b""
    revision: int = 0  # index of the entry that last changed the lease
    waiters: dict[ControllerIncarnation, Waiter] = field(default_factory=dict)  # in order of request
    exclusions: dict[str, Exclusion] = field(default_factory=dict)  # by controller name

    @property
    def holder_name(self) -> str:
        """The name of the controller that holds the lease or is offered it; "" if there is none."""
        return self.holder.name if self.holder is not None else ""

    @property
    def is_forgettable(self) -> bool:
        """Whether the entry can be removed: it differs in nothing from a task that was never requested."""
        return self.holder is None and not (self.waiters or self.exclusions or self.checkpoint)

    def is_held_by(self, owner: ControllerIncarnation, fencing_token: int) -> bool:
        """Return whether the owner holds the lease under this fencing token; an offer doesn't count."""
        return self.holder == owner and self.fencing_token != 0 and self.fencing_token == fencing_token

    def is_excluded(self, name: str, clock_ms: int) -> bool:
        """Return whether the controller is excluded at this time."""
        exclusion = self.exclusions.get(name)
        return exclusion is not None and exclusion.until_ms > clock_ms

    def excluded_for_ms(self, name: str, clock_ms: int) -> int:
        """Return for how many more ms the controller is excluded."""
        exclusion = self.exclusions.get(name)
        return max(0, exclusion.until_ms - clock_ms) if exclusion is not None else 0


class LeaseView(NamedTuple):
    """A read-only view of a task's lease."""

    holder: str  # controller name; "" if there is none
    fencing_token: int  # 0 if not held; a `holder` is then the controller to which the lease is offered
    until_ms: int
    purpose: str
    checkpoint: bytes
    revision: int
    waiting: tuple[str, ...]
    excluded_until_ms: dict[str, int]  # by controller name
