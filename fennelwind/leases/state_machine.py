"""The replicated state of leases: holder, expiry on the log's clock and queue of each task.

A fencing token is the log index of the grant, so tokens rise across all tasks, even after a task's state has
been removed. A lease that becomes free is offered to a single waiter. The offer becomes a lease only when
that waiter confirms it, so that the holder can count the term from the moment it sent its confirmation.
"""

import heapq
from collections import Counter
from enum import StrEnum

from google.protobuf.message import DecodeError

from fennelwind.leases import leases_pb2 as pb
from fennelwind.leases.model import ControllerIncarnation, Exclusion, LeaseView, TaskLease, Waiter
from fennelwind.raft.state_machine import Facts, LogPosition, UnreadableCommandError

MAX_REQUESTS_PER_COMMAND = 512  # far more than the about fifty tasks that a controller requests
MAX_TASKS = 4096  # four times as many as a thousand tables and the controllers themselves need
MAX_WAITERS_PER_TASK = 256  # more than a fleet's two hundred controllers, each of which may wait
MAX_WAITERS = 32_768  # over all tasks; each waiter takes about 60 bytes in a snapshot
MAX_NAME_BYTES = 256  # bytes of a task's or controller's name
MAX_INCARNATION_BYTES = 32
MAX_PURPOSE_BYTES = 256
MAX_CHECKPOINT_BYTES = 4096  # bytes of a task's checkpoint: a position to continue from, not the work itself
MAX_TOTAL_CHECKPOINT_BYTES = 4 * 1024 * 1024  # bytes of all checkpoints; this keeps a snapshot small
MIN_TERM_MS = 300  # ms; a shorter lease can't be renewed across an election
MAX_TERM_MS = 600_000  # ms; a longer lease leaves the task of a dead holder idle for too long
OFFER_TERM_DIVISOR = 2  # an offer lasts half a term, so a dead first waiter costs half a term
WAITER_TIMEOUT_MS = 30_000  # ms without a command after which a waiter is dropped
# A waiter sends a command every 8 to 12 s; after this many ms without one, other waiters are preferred.
WAITER_QUIET_MS = WAITER_TIMEOUT_MS // 2
MIN_EXCLUSION_MS = 2000  # ms for which a controller is excluded after its first failure
MAX_EXCLUSION_MS = 120_000  # ms for which a controller is excluded at most
MAX_EXCLUSION_DOUBLINGS = 6  # from 2 s to 128 s, which `MAX_EXCLUSION_MS` limits to 120 s
MAX_EXCLUSIONS_PER_TASK = 64  # beyond this number, the exclusion that ends first is removed
MIN_SURPLUS_LEASES = 2  # surplus over a waiter before rebalancing; with 1, leases would move back and forth


class _Deadline(StrEnum):
    """The kind of a deadline in the heap."""

    WAITER = "heard"
    TASK = "task"


class LeaseStateMachine:
    """The replicated state machine `leases`; the Raft host applies its commands in log order."""

    name, kinds = "leases", ("fence",)  # `kinds`: the facts that other state machines may read

    def __init__(self) -> None:
        self._clear()

    def _clear(self) -> None:
        self.revision = 0  # log index of the last change
        self._leases: dict[str, TaskLease] = {}
        self._last_heard_ms: dict[ControllerIncarnation, int] = {}  # time of the last command of each waiter
        # The fields below are derived from those above.
        self._queued_count: Counter[ControllerIncarnation] = Counter()  # number of queues per waiter
        self._lease_count: Counter[str] = Counter()  # leases held or offered, by controller name
        self._offers: dict[ControllerIncarnation, dict[str, None]] = {}
        self._checkpoint_bytes = 0  # total size of all tasks' checkpoints
        self._deadline_heap: list[tuple[int, str, str, bytes]] = []  # a time may be too early, never late
        self._deadlines: dict[tuple[str, str, bytes], int] = {}

    # Reading.

    def fact(self, kind: str, key: str) -> int:
        """Return a task's fencing token (kind `fence`, key: the task); 0 if the lease is not held."""
        lease = self._leases.get(key)
        return lease.fencing_token if lease is not None else 0

    def view(self, name: str) -> LeaseView | None:
        """Return the state of a task's lease; None if the task is unknown."""
        lease = self._leases.get(name)
        if lease is None:
            return None
        return LeaseView(
            lease.holder_name,
            lease.fencing_token,
            lease.until_ms,
            lease.purpose,
            lease.checkpoint,
            lease.revision,
            tuple(waiter.name for waiter in lease.waiters),
            {excluded: exclusion.until_ms for excluded, exclusion in sorted(lease.exclusions.items())},
        )

    def tasks(self) -> list[str]:
        """Return the names of all tasks."""
        return sorted(self._leases)

    def offers(self, owner: ControllerIncarnation) -> tuple[str, ...]:
        """Return the tasks offered to a controller, whose watch reports each change of the offers."""
        return tuple(sorted(self._offers.get(owner, ())))

    # Commands.

    def apply(self, at: LogPosition, command: bytes, facts: Facts) -> bytes:
        """Apply a `LeaseCommand`; return a `LeaseAnswer`.

        Raises:
            UnreadableCommandError: the bytes are no `LeaseCommand`.

        """
        try:
            parsed = pb.LeaseCommand.FromString(command)
        except DecodeError as exc:
            raise UnreadableCommandError("not a command of leases") from exc
        sender = ControllerIncarnation(parsed.by.name, parsed.by.life)
        refusal = _command_refusal(parsed)
        if refusal:
            rejected = pb.LeaseAnswer(refusal=refusal, revision=self.revision)
            return rejected.SerializeToString(deterministic=True)
        if sender in self._last_heard_ms:
            self._last_heard_ms[sender] = at.clock_ms
        answer = pb.LeaseAnswer(told=[self._apply_request(at, sender, request) for request in parsed.asks])
        if parsed.leave:
            self._release_all(at, sender)
        answer.offers.extend(self.offers(sender))
        answer.revision = self.revision
        answer.waits = self._queued_count.get(sender, 0)
        return answer.SerializeToString(deterministic=True)

    def _apply_request(self, at: LogPosition, sender: ControllerIncarnation, request: pb.LeaseAsk) -> pb.Told:
        name, kind = request.task, request.WhichOneof("what")
        if kind is None:
            return pb.Told(refusal=pb.NOTHING_ASKED)
        if not 0 < len(name.encode()) <= MAX_NAME_BYTES:
            return pb.Told(refusal=pb.TOO_LARGE)
        if kind == "gain":
            return self._acquire(at, sender, name, request.gain)
        if kind == "forget":
            return self._forget(at, sender, name, request.forget.fence)
        if kind == "give_up" and not request.give_up.fence:
            return self._leave_queue(at, sender, name)
        return self._apply_holder_request(at, sender, name, getattr(request, kind))

    def _apply_holder_request(
        self,
        at: LogPosition,
        sender: ControllerIncarnation,
        name: str,
        body: pb.Renew | pb.HandOver | pb.GiveUp,
    ) -> pb.Told:
        lease = self._leases.get(name)
        if lease is None or not lease.is_held_by(sender, body.fence):
            return pb.Told(refusal=pb.NOT_HOLDER, holder=lease.holder_name if lease is not None else "")
        refusal = self._holder_refusal(lease, body)
        if refusal:
            return self._reject_holder(lease, refusal)
        if body.HasField("checkpoint"):
            self._set_checkpoint(lease, body.checkpoint)
        if isinstance(body, pb.Renew):
            return self._renew(at, name, lease)
        if isinstance(body, pb.HandOver) and body.only_spare and not self._has_surplus(at, lease):
            return self._renew(at, name, lease)
        if isinstance(body, pb.GiveUp) and body.reason == pb.GiveUp.CANNOT:
            self._exclude(at, lease, sender.name)
        self._release(at, name, lease, body.to if isinstance(body, pb.HandOver) else "")
        return pb.Told(holder=lease.holder_name)

    def _holder_refusal(self, lease: TaskLease, body: pb.Renew | pb.HandOver | pb.GiveUp) -> pb.Refusal:
        if body.HasField("checkpoint"):
            if len(body.checkpoint) > MAX_CHECKPOINT_BYTES:
                return pb.TOO_LARGE
            growth_bytes = len(body.checkpoint) - len(lease.checkpoint)
            if growth_bytes > 0 and self._checkpoint_bytes + growth_bytes > MAX_TOTAL_CHECKPOINT_BYTES:
                return pb.NO_ROOM
        if not isinstance(body, pb.HandOver) or not body.to:
            return pb.NONE
        is_waiting = any(waiter.name == body.to for waiter in lease.waiters)
        return pb.NONE if is_waiting else pb.NOT_WAITING

    def _acquire(self, at: LogPosition, sender: ControllerIncarnation, name: str, gain: pb.Gain) -> pb.Told:
        if not MIN_TERM_MS <= gain.term_ms <= MAX_TERM_MS:
            return pb.Told(refusal=pb.BAD_TERM)
        if len(gain.purpose.encode()) > MAX_PURPOSE_BYTES:
            return pb.Told(refusal=pb.TOO_LARGE)
        requested = Waiter(gain.term_ms, gain.purpose)
        lease = self._leases.get(name)
        if lease is not None and lease.holder == sender:
            # Grant a new token, so that a late command with the old one can't end the lease.
            return self._grant(at, sender, name, lease, requested)
        if lease is None:
            if len(self._leases) >= MAX_TASKS:
                return pb.Told(refusal=pb.TOO_MANY_TASKS)
            lease = self._leases[name] = TaskLease()
        if lease.holder is None and not lease.is_excluded(sender.name, at.clock_ms):
            return self._grant(at, sender, name, lease, requested)
        if sender not in lease.waiters and not self._add_waiter(at, sender, name, lease, requested):
            return pb.Told(refusal=pb.TOO_MANY_WAITERS)
        lease.waiters[sender] = requested
        self._schedule(_Deadline.TASK, name)
        return pb.Told(
            state=pb.Told.WAITING,
            ahead=list(lease.waiters).index(sender),
            aside_ms=lease.excluded_for_ms(sender.name, at.clock_ms),
            holder=lease.holder_name,
        )

    def _add_waiter(
        self, at: LogPosition, sender: ControllerIncarnation, name: str, lease: TaskLease, requested: Waiter
    ) -> bool:
        """Queue the sender in place of its earlier incarnation; return whether the queue had room."""
        for waiter in [waiter for waiter in lease.waiters if waiter.name == sender.name]:
            self._remove_waiter(lease, waiter)
        if len(lease.waiters) >= MAX_WAITERS_PER_TASK or self._queued_count.total() >= MAX_WAITERS:
            return False
        self._queued_count[sender] += 1
        self._last_heard_ms[sender] = at.clock_ms
        self._schedule(_Deadline.WAITER, sender.name, sender.incarnation)
        self._mark_changed(at, name, lease)
        return True

    def _grant(
        self, at: LogPosition, sender: ControllerIncarnation, name: str, lease: TaskLease, requested: Waiter
    ) -> pb.Told:
        if sender in lease.waiters:
            self._remove_waiter(lease, sender)
        if lease.holder is None:
            self._lease_count[sender.name] += 1
        self._clear_offer(sender, name)
        held_until_ms = lease.until_ms if lease.fencing_token else 0  # the expiry of an offer is ignored
        lease.fencing_token = at.index
        lease.holder = sender
        lease.term_ms = requested.term_ms
        lease.purpose = requested.purpose
        lease.until_ms = max(held_until_ms, at.clock_ms + requested.term_ms)
        self._mark_changed(at, name, lease)
        return pb.Told(
            state=pb.Told.HELD,
            fence=lease.fencing_token,
            term_ms=lease.term_ms,
            checkpoint=lease.checkpoint,
            spare=self._has_surplus(at, lease),
            holder=sender.name,
        )

    def _renew(self, at: LogPosition, name: str, lease: TaskLease) -> pb.Told:
        lease.until_ms = max(lease.until_ms, at.clock_ms + lease.term_ms)
        self._schedule(_Deadline.TASK, name)
        return pb.Told(
            state=pb.Told.HELD,
            fence=lease.fencing_token,
            term_ms=lease.term_ms,
            spare=self._has_surplus(at, lease),
            holder=lease.holder_name,
        )

    def _reject_holder(self, lease: TaskLease, refusal: pb.Refusal) -> pb.Told:
        """Reject a holder's request without extending the lease; the answer's term of 0 shows this."""
        return pb.Told(
            refusal=refusal, state=pb.Told.HELD, fence=lease.fencing_token, holder=lease.holder_name
        )

    def _forget(
        self, at: LogPosition, sender: ControllerIncarnation, name: str, fencing_token: int
    ) -> pb.Told:
        lease = self._leases.get(name)
        if lease is None:
            return pb.Told()
        if lease.holder is not None and not lease.is_held_by(sender, fencing_token):
            return pb.Told(refusal=pb.NOT_HOLDER, holder=lease.holder_name)
        for waiter in list(lease.waiters):
            self._remove_waiter(lease, waiter)
        self._clear_holder(name, lease)
        self._set_checkpoint(lease, b"")
        lease.exclusions.clear()
        self._mark_changed(at, name, lease)
        return pb.Told()

    def _leave_queue(self, at: LogPosition, sender: ControllerIncarnation, name: str) -> pb.Told:
        lease = self._leases.get(name)
        if lease is not None and sender in lease.waiters:
            self._remove_waiter(lease, sender)
            self._mark_changed(at, name, lease)
        elif lease is not None and lease.holder == sender and not lease.fencing_token:
            self._release(at, name, lease)
        return pb.Told()

    def _release_all(self, at: LogPosition, sender: ControllerIncarnation) -> None:
        for name in sorted(self._leases):
            lease = self._leases[name]
            if sender in lease.waiters:
                self._remove_waiter(lease, sender)
                self._mark_changed(at, name, lease)
            elif lease.holder == sender:
                self._release(at, name, lease)

    # Time.

    def next_expiry_clock_ms(self) -> int | None:
        """Return when the next lease, offer, wait or exclusion ends on the log's clock; None if none does."""
        while self._deadline_heap:
            at_ms, kind, name, incarnation = self._deadline_heap[0]
            key = (kind, name, incarnation)
            if self._deadlines.get(key) == at_ms:
                if self._next_deadline_ms(*key) == at_ms:
                    return at_ms
                del self._deadlines[key]
                heapq.heappop(self._deadline_heap)
                self._schedule(*key)
            else:
                heapq.heappop(self._deadline_heap)
        return None

    def expire_due(self, at: LogPosition) -> None:
        """Expire all leases, offers, waits and exclusions that are due."""
        while (due_ms := self.next_expiry_clock_ms()) is not None and due_ms <= at.clock_ms:
            _, kind, name, incarnation = self._deadline_heap[0]
            if kind == _Deadline.WAITER:
                self._drop_silent_waiter(at, ControllerIncarnation(name, incarnation))
            else:
                self._expire(at, name, self._leases[name])

    def _drop_silent_waiter(self, at: LogPosition, waiter: ControllerIncarnation) -> None:
        for name in sorted(self._leases):
            lease = self._leases[name]
            if waiter in lease.waiters:
                self._remove_waiter(lease, waiter)
                self._mark_changed(at, name, lease)

    def _expire(self, at: LogPosition, name: str, lease: TaskLease) -> None:
        if lease.holder is not None:
            if lease.fencing_token:  # an expired offer is no failure: it may have been lost in transit
                self._exclude(at, lease, lease.holder.name)
            self._release(at, name, lease)
            return
        forgotten = [
            excluded
            for excluded, exclusion in lease.exclusions.items()
            if exclusion.until_ms + MAX_EXCLUSION_MS <= at.clock_ms
        ]
        for excluded in forgotten:
            del lease.exclusions[excluded]
        self._offer(at, name, lease)
        self._mark_changed(at, name, lease)

    def _next_deadline_ms(self, kind: str, name: str, incarnation: bytes) -> int | None:
        """Return when the state of a task or waiter next expires if no command comes; None if never."""
        if kind == _Deadline.WAITER:
            heard_ms = self._last_heard_ms.get(ControllerIncarnation(name, incarnation))
            return None if heard_ms is None else heard_ms + WAITER_TIMEOUT_MS
        lease = self._leases.get(name)
        if lease is None:
            return None
        if lease.holder is not None:
            return lease.until_ms
        exclusions = lease.exclusions
        ends_ms = [
            exclusions[waiter.name].until_ms if waiter.name in exclusions else 0 for waiter in lease.waiters
        ]
        ends_ms += [exclusion.until_ms + MAX_EXCLUSION_MS for exclusion in exclusions.values()]
        return min(ends_ms, default=None)

    def _schedule(self, kind: str, name: str, incarnation: bytes = b"") -> None:
        key = (kind, name, incarnation)
        at_ms = self._next_deadline_ms(*key)
        scheduled_ms = self._deadlines.get(key)
        if at_ms is not None and (scheduled_ms is None or at_ms < scheduled_ms):
            self._deadlines[key] = at_ms
            heapq.heappush(self._deadline_heap, (at_ms, *key))

    # Changes made by both commands and expiry.

    def _release(self, at: LogPosition, name: str, lease: TaskLease, successor: str = "") -> None:
        self._clear_holder(name, lease)
        self._offer(at, name, lease, successor)
        self._mark_changed(at, name, lease)

    def _clear_holder(self, name: str, lease: TaskLease) -> None:
        if lease.holder is not None:
            self._lease_count[lease.holder.name] -= 1
            if not self._lease_count[lease.holder.name]:
                del self._lease_count[lease.holder.name]
            self._clear_offer(lease.holder, name)
        lease.holder = None
        lease.fencing_token = 0
        lease.term_ms = 0
        lease.until_ms = 0
        lease.purpose = ""

    def _offer(self, at: LogPosition, name: str, lease: TaskLease, successor: str = "") -> None:
        """Offer a free lease to the named successor or, without one, to a waiter that is not excluded.

        Among these waiters, prefer a waiter that sent a command lately, then the one with the fewest leases,
        then the first in the queue.
        """
        if successor:
            candidates = [waiter for waiter in lease.waiters if waiter.name == successor]
        else:
            candidates = [waiter for waiter in lease.waiters if self._is_eligible(at, lease, waiter)]
        if not candidates:
            return
        chosen = min(
            candidates,
            key=lambda waiter: (
                at.clock_ms - self._last_heard_ms[waiter] > WAITER_QUIET_MS,
                self._lease_count.get(waiter.name, 0),
            ),
        )
        requested = lease.waiters[chosen]
        self._remove_waiter(lease, chosen)
        lease.holder = chosen
        lease.term_ms = requested.term_ms
        lease.purpose = requested.purpose
        lease.until_ms = at.clock_ms + requested.term_ms // OFFER_TERM_DIVISOR
        self._lease_count[chosen.name] += 1
        self._offers.setdefault(chosen, {})[name] = None

    def _is_eligible(self, at: LogPosition, lease: TaskLease, waiter: ControllerIncarnation) -> bool:
        return not lease.is_excluded(waiter.name, at.clock_ms)

    def _has_surplus(self, at: LogPosition, lease: TaskLease) -> bool:
        """Return whether an eligible waiter has `MIN_SURPLUS_LEASES` fewer leases than the holder."""
        held_count = self._lease_count[lease.holder_name]
        return held_count >= MIN_SURPLUS_LEASES and any(
            held_count - self._lease_count.get(waiter.name, 0) >= MIN_SURPLUS_LEASES
            and self._is_eligible(at, lease, waiter)
            for waiter in lease.waiters
        )

    def _exclude(self, at: LogPosition, lease: TaskLease, name: str) -> None:
        exclusion = lease.exclusions.setdefault(name, Exclusion(0, 0))
        if exclusion.until_ms + MAX_EXCLUSION_MS <= at.clock_ms:
            exclusion.failures = 0
        excluded_ms = min(MIN_EXCLUSION_MS << exclusion.failures, MAX_EXCLUSION_MS)
        exclusion.until_ms = at.clock_ms + excluded_ms
        exclusion.failures = min(exclusion.failures + 1, MAX_EXCLUSION_DOUBLINGS)
        if len(lease.exclusions) > MAX_EXCLUSIONS_PER_TASK:
            first_to_end = min(
                lease.exclusions, key=lambda excluded: (lease.exclusions[excluded].until_ms, excluded)
            )
            del lease.exclusions[first_to_end]

    def _remove_waiter(self, lease: TaskLease, waiter: ControllerIncarnation) -> None:
        del lease.waiters[waiter]
        self._queued_count[waiter] -= 1
        if not self._queued_count[waiter]:
            del self._queued_count[waiter], self._last_heard_ms[waiter]

    def _clear_offer(self, owner: ControllerIncarnation, name: str) -> None:
        if name in self._offers.get(owner, ()):
            del self._offers[owner][name]
            if not self._offers[owner]:
                del self._offers[owner]

    def _set_checkpoint(self, lease: TaskLease, checkpoint: bytes) -> None:
        self._checkpoint_bytes += len(checkpoint) - len(lease.checkpoint)
        lease.checkpoint = checkpoint

    def _mark_changed(self, at: LogPosition, name: str, lease: TaskLease) -> None:
        lease.revision = self.revision = at.index
        if lease.is_forgettable:
            self._leases.pop(name, None)
        else:
            self._schedule(_Deadline.TASK, name)

    # Snapshots.

    def snapshot(self) -> bytes:
        """Return the whole state as bytes; equal states give equal bytes."""
        state = pb.LeaseState(revision=self.revision)
        for name, lease in sorted(self._leases.items()):
            stored = state.tasks.add(
                name=name,
                fence=lease.fencing_token,
                term_ms=lease.term_ms,
                until_ms=lease.until_ms,
                purpose=lease.purpose,
                checkpoint=lease.checkpoint,
                revision=lease.revision,
            )
            if lease.holder is not None:
                stored.holder.CopyFrom(_to_message(lease.holder))
            for waiter, requested in lease.waiters.items():
                stored.waiters.add(
                    who=_to_message(waiter), term_ms=requested.term_ms, purpose=requested.purpose
                )
            for excluded, exclusion in sorted(lease.exclusions.items()):
                stored.asides.add(name=excluded, failures=exclusion.failures, until_ms=exclusion.until_ms)
        for waiter, heard_ms in sorted(self._last_heard_ms.items()):
            state.heard.add(who=_to_message(waiter), at_ms=heard_ms)
        return state.SerializeToString(deterministic=True)

    def restore(self, data: bytes) -> None:
        """Replace the state with that of a snapshot."""
        state = pb.LeaseState.FromString(data)
        self._clear()
        self.revision = state.revision
        for stored in state.tasks:
            self._restore_lease(stored)
        for heard in state.heard:
            self._last_heard_ms[_from_message(heard.who)] = heard.at_ms
        for name in sorted(self._leases):
            self._schedule(_Deadline.TASK, name)
        for waiter in sorted(self._last_heard_ms):
            self._schedule(_Deadline.WAITER, waiter.name, waiter.incarnation)

    def _restore_lease(self, stored: pb.LeaseState.Task) -> None:
        holder = _from_message(stored.holder) if stored.HasField("holder") else None
        lease = self._leases[stored.name] = TaskLease(
            holder,
            stored.fence,
            stored.term_ms,
            stored.until_ms,
            stored.purpose,
            stored.checkpoint,
            stored.revision,
        )
        for waiting in stored.waiters:
            waiter = _from_message(waiting.who)
            lease.waiters[waiter] = Waiter(waiting.term_ms, waiting.purpose)
            self._queued_count[waiter] += 1
        lease.exclusions = {
            excluded.name: Exclusion(excluded.failures, excluded.until_ms) for excluded in stored.asides
        }
        self._checkpoint_bytes += len(lease.checkpoint)
        if holder is not None:
            self._lease_count[holder.name] += 1
            if not lease.fencing_token:
                self._offers.setdefault(holder, {})[stored.name] = None


def _to_message(owner: ControllerIncarnation) -> pb.Who:
    return pb.Who(name=owner.name, life=owner.incarnation)


def _from_message(owner: pb.Who) -> ControllerIncarnation:
    return ControllerIncarnation(owner.name, owner.life)


def _command_refusal(command: pb.LeaseCommand) -> pb.Refusal:
    """Return why the whole command is rejected; `NONE` if it is accepted."""
    if len(command.asks) > MAX_REQUESTS_PER_COMMAND:
        return pb.TOO_MANY_ASKS
    has_name = 0 < len(command.by.name.encode()) <= MAX_NAME_BYTES
    if not has_name or len(command.by.life) > MAX_INCARNATION_BYTES:
        return pb.TOO_LARGE
    if len({request.task for request in command.asks}) < len(command.asks):
        return pb.NAMED_TWICE
    return pb.NONE
