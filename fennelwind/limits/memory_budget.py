"""Bounds the memory that requests, answers and results take, by the platform's memory limit. No I/O.

The platform kills a process that exceeds its limit, and with it every open request. So what peers can make
the controller hold is counted, and refused once its share of the free memory is used up. All sizes are in
bytes.

Clients' connections hold memory in accounts. Half of the accounts' memory is guaranteed to them in equal
parts; the rest is lent in order of arrival, to no account more than a share of what is still free. Thus
clients that hold as much as they can leave others their guaranteed part, and nothing that was accepted is
given up again.
"""

from dataclasses import dataclass

BYTES_PER_MB = 1_000_000
USABLE_SHARE = 0.9  # share of the limit that may be used; the allocator keeps some freed memory
MIN_FREE_BYTES = 2_000_000.0  # assumed to be free even if less was measured, so that some requests are served
# Shares of the free memory; the rest is for what is held only for a moment: reads, encoding, decisions.
ACCOUNTS_SHARE, PARTIAL_SHARE, RESULTS_SHARE, EVENTS_SHARE, READS_SHARE = 0.5, 0.1, 0.1, 0.1, 0.1
MAX_PARTIAL_BYTES = 4_000_000.0
MIN_READ_BYTES, MAX_READ_BYTES = 4096, 65536
GUARANTEED_SHARE = 0.5  # share of the accounts' memory that is guaranteed
MAX_LOAN_SHARE = 0.25  # share of the memory free to lend that one account may have

CONNECTION_BYTES = 10_000  # of an open connection with its task
EVENT_BYTES = 1_000  # of an event for the policy that was not handled yet, and of what it causes


@dataclass(slots=True, frozen=True)
class MemoryPlan:
    """How the memory that is free after the start is divided."""

    accounts_bytes: float  # open queries and unread answers of all clients
    partial_bytes: float  # incomplete messages of all clients
    results_bytes: float  # results that are being fetched from executors
    max_pending_events: int
    read_bytes: int  # of one read from a client; what it brings may wait for several turns of the loop

    @classmethod
    def divide(cls, limit_mb: float, used_bytes: float, max_connections: int) -> "MemoryPlan":
        """Divide the limit less what the process uses after its start and what connections will take."""
        free_bytes = limit_mb * BYTES_PER_MB * USABLE_SHARE - used_bytes - max_connections * CONNECTION_BYTES
        free_bytes = max(free_bytes, MIN_FREE_BYTES)
        return cls(
            accounts_bytes=ACCOUNTS_SHARE * free_bytes,
            partial_bytes=min(PARTIAL_SHARE * free_bytes, MAX_PARTIAL_BYTES),
            results_bytes=RESULTS_SHARE * free_bytes,
            max_pending_events=int(EVENTS_SHARE * free_bytes / EVENT_BYTES),
            read_bytes=int(
                min(max(READS_SHARE * free_bytes / max_connections, MIN_READ_BYTES), MAX_READ_BYTES)
            ),
        )


class BoundedMemory:
    """Memory of one kind, up to a limit."""

    __slots__ = ("limit_bytes", "held_bytes")

    def __init__(self, limit_bytes: float) -> None:
        self.limit_bytes, self.held_bytes = limit_bytes, 0

    def try_hold(self, size: int) -> bool:
        """Hold memory if it fits; return whether it does."""
        if self.held_bytes + size > self.limit_bytes:
            return False
        self.held_bytes += size
        return True

    def release(self, size: int) -> None:
        """Release held memory."""
        self.held_bytes -= size


class MemoryBudget:
    """The memory of up to `max_accounts` accounts."""

    __slots__ = ("limit_bytes", "guaranteed_bytes", "loan_limit_bytes", "held_bytes", "lent_bytes")

    def __init__(self, limit_bytes: float, max_accounts: int) -> None:
        self.limit_bytes = limit_bytes
        self.guaranteed_bytes = int(limit_bytes * GUARANTEED_SHARE / max_accounts)  # of each account
        self.loan_limit_bytes = int(limit_bytes * (1.0 - GUARANTEED_SHARE))
        self.held_bytes = 0  # of all accounts
        self.lent_bytes = 0  # of all accounts, beyond what is guaranteed to each

    def open_account(self) -> "MemoryAccount":
        """Return a new account, which holds nothing."""
        return MemoryAccount(self)


class MemoryAccount:
    """What one client's connection holds. An account that is closed has no guaranteed part any more."""

    __slots__ = ("budget", "held_bytes", "guaranteed_bytes")

    def __init__(self, budget: MemoryBudget) -> None:
        self.budget, self.held_bytes = budget, 0
        self.guaranteed_bytes = budget.guaranteed_bytes

    def try_hold(self, size: int) -> bool:
        """Hold memory if it is guaranteed or can be lent; return whether it can."""
        loan_bytes = self._loan(self.held_bytes + size)
        if loan_bytes:
            lent_to_others = self.budget.lent_bytes - self._loan(self.held_bytes)
            if loan_bytes > MAX_LOAN_SHARE * (self.budget.loan_limit_bytes - lent_to_others):
                return False
        self.hold(size)
        return True

    def hold(self, size: int) -> None:
        """Hold memory whether it fits or not, for what can't be refused any more."""
        self._change(self.held_bytes + size)

    def release(self, size: int) -> None:
        """Release held memory."""
        self._change(self.held_bytes - size)

    def close(self) -> None:
        """Give up the guaranteed part; attempts that still run may hold memory for some time."""
        loan_bytes = self._loan(self.held_bytes)
        self.guaranteed_bytes = 0
        self.budget.lent_bytes += self._loan(self.held_bytes) - loan_bytes

    def _loan(self, held_bytes: int) -> int:
        return max(0, held_bytes - self.guaranteed_bytes)

    def _change(self, held_bytes: int) -> None:
        self.budget.lent_bytes += self._loan(held_bytes) - self._loan(self.held_bytes)
        self.budget.held_bytes += held_bytes - self.held_bytes
        self.held_bytes = held_bytes
