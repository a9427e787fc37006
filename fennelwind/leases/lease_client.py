"""The leases that one controller wants, holds or has requested; `step(now, events) -> actions`, no I/O.

`cluster.leased_tasks` calls `step`. Times are in ms on the controller's own monotonic clock. One command
carries all requests that are due, and only one command is awaited at a time. A lease's term counts from the
moment at which its command was first sent, never from the arrival of the answer; a term granted in answer to
an older command counts from the sending of that command. In any doubt a lease counts as not held.
"""

import math
from dataclasses import dataclass, field
from enum import StrEnum
from random import Random

from google.protobuf.message import DecodeError

from fennelwind.leases import leases_pb2 as pb
from fennelwind.leases.fencing import MAX_CLOCK_DRIFT, MAX_PAUSE_MS, FencingGuard, usable_lease_ms
from fennelwind.leases.lease_events import (
    DEFAULT_TERM_MS,
    AcquireLease,
    Action,
    CommandAnswered,
    Event,
    LeaseAcquired,
    LeaseLost,
    LeaseRejected,
    LeasesOffered,
    LossReason,
    ReleaseLease,
    SaveCheckpoint,
    SendCommand,
    SetTimer,
    Shutdown,
    ShutdownComplete,
    StopTask,
    TaskFailed,
    TaskFinished,
    Wakeup,
)
from fennelwind.leases.state_machine import MAX_REQUESTS_PER_COMMAND, WAITER_TIMEOUT_MS, ControllerIncarnation

RENEWAL_TERM_DIVISOR = 3.0  # a lease is renewed after a third of its term, which leaves time for two retries
BATCHING_TERM_DIVISOR = 12.0  # renewals due within this fraction of the term join the same command
ANSWER_TIMEOUT_MS = 1000.0  # ms to wait for an answer; a change of leader takes about 600 ms
ANSWER_TERM_DIVISOR = 10.0  # the answer timeout is at most the shortest term divided by this
MIN_BACKOFF_MS, MAX_BACKOFF_MS = 50.0, 2000.0  # ms between attempts, doubled after each failure
MAX_BACKOFF_DOUBLINGS = 6  # with more doublings the backoff is at its maximum anyway
KEEPALIVE_DIVISOR = 3.0  # a waiter sends three commands within the time after which it would be dropped
MIN_REJECTED_BACKOFF_MS = 5000.0  # ms before a rejected lease request is sent again
MAX_REJECTED_BACKOFF_MS = 60_000.0  # ms
MAX_REJECTED_DOUBLINGS = 8  # with more doublings the backoff is at its maximum anyway
MAX_UNANSWERED_COMMANDS = 8  # commands without an answer that are kept
MAX_COMMAND_BYTES = 96 * 1024  # bytes of one command; the replicated log accepts 256 KiB
MAX_SHUTDOWN_ATTEMPTS = 5  # after this many unanswered commands the controller exits; its leases expire


class LeasePhase(StrEnum):
    """The phase of a lease that this controller wants or still holds."""

    WANTED = "wanting"  # the lease is to be requested, or the request is not answered yet
    QUEUED = "waiting"  # another controller holds the lease, and this one is in the queue
    HELD = "held"
    RELEASING = "ending"  # no operation may begin; the lease is given up when running operations end


class ReleaseKind(StrEnum):
    """How a lease in phase `RELEASING` is given up."""

    NONE = ""
    HAND_OVER = "hand"  # the lease is handed over to the next waiter
    REBALANCE = "spare"  # the lease is handed over to a waiter with fewer leases, if there still is one
    FAILED = "fail"  # this controller can't run the task
    FORGET = "forget"  # the task is finished
    LEAVE_QUEUE = "queue"  # the lease is not held; the controller leaves the queue


@dataclass(slots=True)
class _TaskLease:
    term_ms: int
    purpose: str
    guard: FencingGuard
    phase: LeasePhase = LeasePhase.WANTED
    epoch: int = 0  # incremented so that an answer still in flight can't grant the lease any more
    request_at_ms: float = -math.inf  # when the next request is due: acquire, renew or give up
    renew_at_ms: float = math.inf  # when the next renewal is due, even while the lease is being released
    fencing_token: int = 0  # 0 if the lease is not held
    checkpoint: bytes | None = None  # to send with the next request
    release: ReleaseKind = ReleaseKind.NONE
    is_wanted: bool = True
    is_offered: bool = False  # an offer arrived while the acquire request was unanswered
    rejections: int = 0

    @property
    def has_operations(self) -> bool:
        """Whether operations are running under the lease."""
        return bool(self.fencing_token and self.guard.operations)


@dataclass(slots=True)
class _SentCommand:
    sent_at_ms: float
    epochs: dict[str, int] = field(default_factory=dict)  # by task, in the order of the command's requests
    checkpoints: dict[str, bytes] = field(default_factory=dict)  # checkpoints sent with the command, by task
    is_shutdown: bool = False


class LeaseClient:
    """The lease client of one controller incarnation."""

    def __init__(
        self,
        identity: ControllerIncarnation,
        seed: int,
        max_drift: float = MAX_CLOCK_DRIFT,
        max_pause_ms: float = MAX_PAUSE_MS,
    ) -> None:
        self.identity = identity
        self.max_drift = max_drift
        self.max_pause_ms = max_pause_ms
        self._random = Random(f"leases {seed} {identity.name}")
        self._leases: dict[str, _TaskLease] = {}
        self._sent: dict[int, _SentCommand] = {}
        self._last_request_id = 0
        self._awaited: int | None = None  # id of the command whose answer is awaited
        self._failed_attempts = 0  # consecutive commands without an answer
        self._backoff_until_ms = -math.inf  # no command is sent before this time
        self._keepalive_at_ms = math.inf  # when to send a command, to remain in queues
        self._is_shutting_down = False
        self._is_shut_down = False
        self._shutdown_attempts = 0
        self._actions: list[Action] = []

    # Reading.

    def guard(self, task: str) -> FencingGuard:
        """Return the fencing guard of a task that this controller wants or still holds.

        Raises:
            KeyError: the controller neither wants nor holds the task's lease.

        """
        return self._leases[task].guard

    def held_tasks(self, now_ms: float) -> list[str]:
        """Return the tasks whose leases are certain to be held."""
        return sorted(
            name
            for name, lease in self._leases.items()
            if lease.guard.fencing_token and now_ms < lease.guard.valid_until_ms
        )

    # Stepping.

    def step(self, now_ms: float, events: list[Event]) -> list[Action]:
        """Handle the events; return the actions to carry out, in order."""
        self._actions = []
        for event in events:
            self._handle(now_ms, event)
        for lease in self._leases.values():
            lease.guard.remove_expired(now_ms)
        self._expire(now_ms)
        self._request_due(now_ms)
        if not self._is_shut_down:
            at_ms = self._next_due_ms(now_ms)
            if at_ms < math.inf:
                self._actions.append(SetTimer(at_ms))
        return self._actions

    def _handle(self, now_ms: float, event: Event) -> None:
        match event:
            case CommandAnswered():
                self._on_answer(now_ms, event)
            case Shutdown():
                self._begin_shutdown()
            case AcquireLease():
                if not self._is_shutting_down:
                    self._acquire(event)
            case LeasesOffered():
                for name in event.tasks:
                    self._request_offered(name)
            case Wakeup():
                pass
            case _:
                lease = self._leases.get(event.task)
                if lease is not None:
                    self._handle_task_event(lease, event)

    def _handle_task_event(
        self, lease: _TaskLease, event: ReleaseLease | SaveCheckpoint | TaskFailed | TaskFinished
    ) -> None:
        match event:
            case ReleaseLease():
                self._release(event.task)
            case SaveCheckpoint():
                lease.checkpoint = event.checkpoint
            case TaskFailed() if lease.phase == LeasePhase.HELD:
                self._begin_release(event.task, lease, ReleaseKind.FAILED)
            case TaskFinished() if lease.phase == LeasePhase.HELD:
                lease.is_wanted = False
                self._begin_release(event.task, lease, ReleaseKind.FORGET)

    def _begin_shutdown(self) -> None:
        self._is_shutting_down = True
        self._stop_awaiting()
        self._backoff_until_ms = -math.inf  # shutdown does not wait for a backoff
        for name in sorted(self._leases):
            self._release(name)

    def _acquire(self, event: AcquireLease) -> None:
        lease = self._leases.get(event.task)
        if lease is None:
            guard = FencingGuard(event.task, self.max_pause_ms)
            self._leases[event.task] = _TaskLease(event.term_ms, event.purpose, guard)
            return
        lease.term_ms = event.term_ms
        lease.purpose = event.purpose
        lease.is_wanted = True

    def _request_offered(self, name: str) -> None:
        lease = self._leases.get(name)
        if lease is None:
            return
        if lease.phase == LeasePhase.QUEUED:
            lease.phase = LeasePhase.WANTED
            lease.request_at_ms = -math.inf
        elif lease.phase == LeasePhase.WANTED:
            lease.is_offered = True  # the answer in flight may be older than the offer

    def _release(self, name: str) -> None:
        lease = self._leases[name]
        lease.is_wanted = False
        if lease.fencing_token and lease.phase != LeasePhase.RELEASING:
            self._begin_release(name, lease, ReleaseKind.HAND_OVER)
        elif lease.phase == LeasePhase.RELEASING and lease.release == ReleaseKind.REBALANCE:
            lease.release = ReleaseKind.HAND_OVER
        elif lease.phase != LeasePhase.RELEASING:
            lease.epoch += 1
            lease.phase = LeasePhase.RELEASING
            lease.release = ReleaseKind.LEAVE_QUEUE
            lease.request_at_ms = -math.inf

    def _begin_release(self, name: str, lease: _TaskLease, kind: ReleaseKind) -> None:
        """Stop new operations; the lease is given up when the running ones have ended."""
        lease.phase = LeasePhase.RELEASING
        lease.release = kind
        lease.request_at_ms = -math.inf
        lease.guard.stop_new_operations()
        self._actions.append(StopTask(name, lease.fencing_token))

    def _lose(self, name: str, lease: _TaskLease, reason: LossReason) -> None:
        self._actions.append(LeaseLost(name, lease.fencing_token, reason))
        lease.guard.revoke()
        lease.fencing_token = 0
        lease.checkpoint = None
        lease.release = ReleaseKind.NONE
        lease.epoch += 1
        lease.phase = LeasePhase.WANTED
        lease.request_at_ms = -math.inf
        if not lease.is_wanted:
            del self._leases[name]

    def _expire(self, now_ms: float) -> None:
        for name, lease in sorted(self._leases.items()):
            if lease.fencing_token and now_ms >= lease.guard.valid_until_ms:
                self._lose(name, lease, LossReason.EXPIRED)

    # Answers.

    def _on_answer(self, now_ms: float, event: CommandAnswered) -> None:
        sent = self._sent.get(event.request_id)
        if sent is None:
            return
        answer = _parse_answer(event.body)
        is_awaited = event.request_id == self._awaited
        if answer is None:
            if is_awaited:
                self._stop_awaiting()
                self._back_off(now_ms, event.retry_after_ms)
            return
        del self._sent[event.request_id]
        if is_awaited:
            self._awaited = None
            self._failed_attempts = 0
            self._backoff_until_ms = -math.inf
        if sent.is_shutdown and not answer.refusal:
            self._finish_shutdown(is_confirmed=True)
        elif answer.refusal:
            self._on_command_rejected(now_ms, sent, answer.refusal)
        else:
            self._on_command_applied(now_ms, sent, answer, is_awaited)

    def _on_command_rejected(self, now_ms: float, sent: _SentCommand, refusal: int) -> None:
        for name in sent.epochs:
            if name in self._leases:
                self._on_rejected(now_ms, name, self._leases[name], refusal)

    def _on_command_applied(
        self, now_ms: float, sent: _SentCommand, answer: pb.LeaseAnswer, is_awaited: bool
    ) -> None:
        self._keepalive_at_ms = now_ms + WAITER_TIMEOUT_MS * (1.0 - self.max_drift) / KEEPALIVE_DIVISOR
        for (name, epoch), result in zip(sent.epochs.items(), answer.told, strict=False):
            lease = self._leases.get(name)
            if lease is not None and lease.epoch == epoch:
                self._on_task_answer(now_ms, sent, name, lease, result)
        for name in answer.offers:
            self._request_offered(name)
        queued = [name for name, lease in self._leases.items() if lease.phase == LeasePhase.QUEUED]
        if is_awaited and len(queued) != answer.waits:  # the replicated queues differ: request again
            for name in queued:
                self._request_offered(name)

    def _on_task_answer(
        self, now_ms: float, sent: _SentCommand, name: str, lease: _TaskLease, result: pb.Told
    ) -> None:
        # Only acquire requests get these answers: queued, or rejected without a lease.
        is_of_a_queue = (
            result.state == pb.Told.WAITING
            or result.state == pb.Told.FREE
            and result.refusal not in (pb.NONE, pb.NOT_HOLDER)
        )
        if lease.fencing_token and is_of_a_queue:
            return  # a late answer to a request from before the lease was granted
        is_held = result.state == pb.Told.HELD
        is_still_held = bool(lease.fencing_token) and is_held
        if result.refusal and result.refusal != pb.NOT_HOLDER and not is_still_held:
            self._on_rejected(now_ms, name, lease, result.refusal)
        elif is_held and result.term_ms:
            self._on_granted(now_ms, sent, name, lease, result)
        elif result.refusal and is_held:  # the lease is still held; its checkpoint or successor was rejected
            self._actions.append(LeaseRejected(name, pb.Refusal.Name(result.refusal)))
            lease.checkpoint = None
            lease.request_at_ms = -math.inf
        elif lease.fencing_token and result.refusal:
            self._lose(name, lease, LossReason.TAKEN_OVER)
        elif lease.phase == LeasePhase.RELEASING:
            self._on_released(name, lease)
        elif result.state == pb.Told.WAITING:
            self._on_queued(name, lease)

    def _on_released(self, name: str, lease: _TaskLease) -> None:
        if lease.fencing_token:
            self._lose(name, lease, LossReason.RELEASED)
        elif not lease.is_wanted:
            del self._leases[name]
        else:
            lease.phase = LeasePhase.WANTED
            lease.request_at_ms = -math.inf

    def _on_queued(self, name: str, lease: _TaskLease) -> None:
        lease.phase = LeasePhase.QUEUED
        lease.rejections = 0
        lease.request_at_ms = math.inf
        if lease.is_offered:
            self._request_offered(name)
        lease.is_offered = False

    def _on_granted(
        self, now_ms: float, sent: _SentCommand, name: str, lease: _TaskLease, result: pb.Told
    ) -> None:
        usable_ms = usable_lease_ms(result.term_ms, self.max_drift)
        valid_until_ms = sent.sent_at_ms + usable_ms
        if result.fence < lease.fencing_token:
            return
        if lease.fencing_token and lease.fencing_token != result.fence:
            self._lose(name, lease, LossReason.TAKEN_OVER)  # no operation of the old token may continue
            if name not in self._leases:
                return
        if now_ms >= valid_until_ms and not lease.fencing_token:  # too late to rely on the lease
            lease.phase = LeasePhase.WANTED
            lease.request_at_ms = -math.inf
            return
        is_new = not lease.fencing_token
        lease.is_offered = False
        lease.fencing_token = result.fence
        lease.rejections = 0
        lease.renew_at_ms = sent.sent_at_ms + result.term_ms / RENEWAL_TERM_DIVISOR
        if lease.checkpoint is sent.checkpoints.get(name):
            lease.checkpoint = None
        is_releasing = lease.phase == LeasePhase.RELEASING
        if is_releasing and (lease.release != ReleaseKind.REBALANCE or result.spare):
            lease.guard.grant(result.fence, valid_until_ms, 0.0)
            return
        # A lease that was being rebalanced is kept if no waiter with fewer leases is left.
        lease.guard.grant(result.fence, valid_until_ms, usable_ms)
        lease.phase = LeasePhase.HELD
        lease.release = ReleaseKind.NONE
        lease.request_at_ms = lease.renew_at_ms
        if is_new or is_releasing:
            self._actions.append(LeaseAcquired(name, result.fence, result.checkpoint))
        elif result.spare:
            self._begin_release(name, lease, ReleaseKind.REBALANCE)

    def _on_rejected(self, now_ms: float, name: str, lease: _TaskLease, refusal: int) -> None:
        self._actions.append(LeaseRejected(name, pb.Refusal.Name(refusal)))
        doublings = min(lease.rejections, MAX_REJECTED_DOUBLINGS)
        backoff_ms = min(MIN_REJECTED_BACKOFF_MS * 2**doublings, MAX_REJECTED_BACKOFF_MS)
        lease.rejections += 1
        lease.request_at_ms = now_ms + backoff_ms * self._jitter()
        if lease.phase == LeasePhase.RELEASING and not lease.fencing_token and not lease.is_wanted:
            del self._leases[name]

    # Requests.

    def _jitter(self) -> float:
        """Draw a factor between 0.5 and 1, so that two hundred controllers don't retry at the same time."""
        return 0.5 + self._random.random() / 2

    def _back_off(self, now_ms: float, retry_after_ms: float = 0.0) -> None:
        grown_ms = MIN_BACKOFF_MS * 2 ** min(self._failed_attempts, MAX_BACKOFF_DOUBLINGS)
        backoff_ms = min(grown_ms, MAX_BACKOFF_MS, self._shortest_term_ms() / ANSWER_TERM_DIVISOR)
        self._failed_attempts += 1
        wait_ms = max(backoff_ms, min(retry_after_ms, MAX_BACKOFF_MS))
        self._backoff_until_ms = now_ms + wait_ms * self._jitter()

    def _shortest_term_ms(self) -> float:
        return min((lease.term_ms for lease in self._leases.values()), default=DEFAULT_TERM_MS)

    def _answer_timeout_ms(self) -> float:
        return min(ANSWER_TIMEOUT_MS, self._shortest_term_ms() / ANSWER_TERM_DIVISOR)

    def _due_at_ms(self, lease: _TaskLease) -> float:
        if lease.phase == LeasePhase.RELEASING and lease.has_operations:
            last_deadline_ms = max(operation.deadline_ms for operation in lease.guard.operations.values())
            ended_ms = last_deadline_ms + lease.guard.max_pause_ms
            return min(lease.renew_at_ms, math.nextafter(ended_ms, math.inf))
        return lease.request_at_ms

    def _has_operations(self) -> bool:
        return any(lease.has_operations for lease in self._leases.values())

    def _keepalive_due_ms(self) -> float:
        if any(lease.phase == LeasePhase.QUEUED for lease in self._leases.values()):
            return self._keepalive_at_ms
        return math.inf

    def _request_due(self, now_ms: float) -> None:
        if self._is_shut_down:
            return
        if self._awaited is not None:
            if now_ms < self._sent[self._awaited].sent_at_ms + self._answer_timeout_ms():
                return
            self._stop_awaiting()
            self._back_off(now_ms)
        if now_ms < self._backoff_until_ms:
            return
        if self._is_shutting_down and not self._has_operations():
            self._request_shutdown(now_ms)
            return
        due = self._due_tasks(now_ms)
        if due or now_ms >= self._keepalive_due_ms():
            self._request(now_ms, due)

    def _due_tasks(self, now_ms: float) -> list[str]:
        """Return the tasks to request now: all due ones and, if there are any, renewals due soon."""
        leases = sorted(self._leases.items())
        if not any(self._due_at_ms(lease) <= now_ms for _, lease in leases):
            return []
        return [
            name
            for name, lease in leases
            if self._due_at_ms(lease) <= now_ms
            or lease.phase == LeasePhase.HELD
            and lease.request_at_ms - lease.term_ms / BATCHING_TERM_DIVISOR <= now_ms
        ]

    def _request(self, now_ms: float, tasks: list[str]) -> None:
        command = self._new_command()
        sent = _SentCommand(now_ms)
        size_bytes = 0
        for name in tasks:
            lease = self._leases[name]
            request = self._request_for(name, lease)
            size_bytes += request.ByteSize()
            is_full = size_bytes > MAX_COMMAND_BYTES or len(command.asks) >= MAX_REQUESTS_PER_COMMAND
            if command.asks and is_full:
                break
            command.asks.append(request)
            if request.WhichOneof("what") not in ("renew", "gain"):
                lease.epoch += 1  # an answer to an earlier request must not grant the lease again
            sent.epochs[name] = lease.epoch
            if lease.checkpoint is not None:
                sent.checkpoints[name] = lease.checkpoint
        self._send(command, sent)

    def _stop_awaiting(self) -> None:
        """Stop waiting for the answer to the last command.

        The command may still be applied, so a lease that the command gives up must not be kept.
        """
        for name in self._sent[self._awaited].epochs if self._awaited is not None else ():
            lease = self._leases.get(name)
            if lease is not None and lease.release == ReleaseKind.REBALANCE and not lease.guard.operations:
                lease.release = ReleaseKind.HAND_OVER
        self._awaited = None

    def _new_command(self, is_shutdown: bool = False) -> pb.LeaseCommand:
        sender = pb.Who(name=self.identity.name, life=self.identity.incarnation)
        return pb.LeaseCommand(by=sender, leave=is_shutdown)

    def _request_for(self, name: str, lease: _TaskLease) -> pb.LeaseAsk:
        token, checkpoint = lease.fencing_token, lease.checkpoint
        must_renew = lease.phase == LeasePhase.HELD
        if must_renew or lease.phase == LeasePhase.RELEASING and lease.has_operations:
            return pb.LeaseAsk(task=name, renew=pb.Renew(fence=token, checkpoint=checkpoint))
        if lease.phase != LeasePhase.RELEASING:
            return pb.LeaseAsk(task=name, gain=pb.Gain(term_ms=lease.term_ms, purpose=lease.purpose))
        match lease.release:
            case ReleaseKind.HAND_OVER:
                return pb.LeaseAsk(task=name, hand_over=pb.HandOver(fence=token, checkpoint=checkpoint))
            case ReleaseKind.REBALANCE:
                return pb.LeaseAsk(
                    task=name, hand_over=pb.HandOver(fence=token, checkpoint=checkpoint, only_spare=True)
                )
            case ReleaseKind.FAILED:
                return pb.LeaseAsk(
                    task=name, give_up=pb.GiveUp(fence=token, reason=pb.GiveUp.CANNOT, checkpoint=checkpoint)
                )
            case ReleaseKind.FORGET:
                return pb.LeaseAsk(task=name, forget=pb.Forget(fence=token))
            case _:
                return pb.LeaseAsk(task=name, give_up=pb.GiveUp())

    def _request_shutdown(self, now_ms: float) -> None:
        if self._shutdown_attempts >= MAX_SHUTDOWN_ATTEMPTS:
            self._finish_shutdown(is_confirmed=False)
            return
        self._shutdown_attempts += 1
        command = self._new_command(is_shutdown=True)
        for name, lease in sorted(self._leases.items()):
            has_checkpoint = lease.fencing_token and lease.checkpoint is not None
            if has_checkpoint and command.ByteSize() < MAX_COMMAND_BYTES:
                command.asks.append(self._request_for(name, lease))
        self._send(command, _SentCommand(now_ms, is_shutdown=True))

    def _finish_shutdown(self, is_confirmed: bool) -> None:
        for name, lease in sorted(self._leases.items()):
            if lease.fencing_token:
                self._actions.append(LeaseLost(name, lease.fencing_token, LossReason.RELEASED))
            lease.guard.revoke()
        self._leases.clear()
        self._is_shut_down = True
        self._actions.append(ShutdownComplete(is_confirmed))

    def _send(self, command: pb.LeaseCommand, sent: _SentCommand) -> None:
        self._last_request_id += 1
        self._awaited = self._last_request_id
        self._sent[self._awaited] = sent
        while len(self._sent) > MAX_UNANSWERED_COMMANDS:
            del self._sent[next(iter(self._sent))]
        body = command.SerializeToString(deterministic=True)
        self._actions.append(SendCommand(self._awaited, body))

    def _next_due_ms(self, now_ms: float) -> float:
        """Return when the client has to act next if no event arrives before."""
        expires_ms = min(
            (lease.guard.valid_until_ms for lease in self._leases.values() if lease.fencing_token),
            default=math.inf,
        )
        if self._awaited is not None:
            return min(expires_ms, self._sent[self._awaited].sent_at_ms + self._answer_timeout_ms())
        due_ms = min((self._due_at_ms(lease) for lease in self._leases.values()), default=math.inf)
        if self._is_shutting_down and not self._has_operations():
            due_ms = now_ms
        request_ms = max(min(due_ms, self._keepalive_due_ms()), self._backoff_until_ms, now_ms)
        return min(expires_ms, request_ms)


def _parse_answer(body: bytes | None) -> pb.LeaseAnswer | None:
    try:
        return None if body is None else pb.LeaseAnswer.FromString(body)
    except DecodeError:
        return None
