"""What the replicated lease state is made of: owners, waiters, exclusions and the lease of one task."""

from dataclasses import dataclass, field
from typing import NamedTuple


class ControllerIncarnation(NamedTuple):
    """A controller between one start and its end: a restart is another incarnation."""

    name: str
    incarnation: bytes


@dataclass(slots=True)
class Waiter:
    """What one who waits for a lease has requested."""

    term_ms: int
    purpose: str


@dataclass(slots=True)
class Exclusion:
    """A controller that failed at a task and is passed over for a while."""

    failures: int
    until_ms: int


@dataclass(slots=True)
class TaskLease:
    """The lease of one task, free, offered or held."""

    holder: ControllerIncarnation | None = None  # or the one whom it is offered to
    fencing_token: int = 0  # 0: free or offered
    term_ms: int = 0
    until_ms: int = 0  # the lease, or the offer, expires then
    purpose: str = ""
    checkpoint: bytes = b""
    revision: int = 0  # index of the entry that last changed it
    waiters: dict[ControllerIncarnation, Waiter] = field(default_factory=dict)  # in order of request
    exclusions: dict[str, Exclusion] = field(default_factory=dict)  # by controller's name

    @property
    def holder_name(self) -> str:
        """The name of the controller that holds it or is offered it; "": none."""
        return self.holder.name if self.holder is not None else ""

    @property
    def is_forgettable(self) -> bool:
        """Whether nothing is known of it that an absent entry would not say as well."""
        return self.holder is None and not (self.waiters or self.exclusions or self.checkpoint)

    def is_held_by(self, owner: ControllerIncarnation, fencing_token: int) -> bool:
        """Tell whether the owner holds it under this very token; an offer is not held."""
        return self.holder == owner and self.fencing_token != 0 and self.fencing_token == fencing_token

    def is_excluded(self, name: str, clock_ms: int) -> bool:
        """Tell whether the controller is passed over at this time."""
        exclusion = self.exclusions.get(name)
        return exclusion is not None and exclusion.until_ms > clock_ms

    def excluded_for_ms(self, name: str, clock_ms: int) -> int:
        """Return for how long the controller is still passed over."""
        exclusion = self.exclusions.get(name)
        return max(0, exclusion.until_ms - clock_ms) if exclusion is not None else 0


class LeaseView(NamedTuple):
    """The lease of a task as any reader may see it."""

    holder: str  # "": nobody
    fencing_token: int  # 0: nobody holds it; with a holder's name, it is offered
    until_ms: int
    purpose: str
    checkpoint: bytes
    revision: int
    waiting: tuple[str, ...]
    excluded_until_ms: dict[str, int]  # by controller's name
