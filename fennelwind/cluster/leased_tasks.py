"""Runs the leased tasks of this controller: each task is a function that runs only while its lease is held.

`leases.lease_client.LeaseClient` decides; this module passes events to the lease client and carries out the
resulting actions over the Raft client. A task's function gets a `HeldLease`. The function's effects on other
systems go through `HeldLease.operation`, under the fencing guard and with the fencing token.
"""

from collections import Counter, deque
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass

from fennelwind.cluster.errors import ClusterError
from fennelwind.cluster.raft_client import RaftClient
from fennelwind.cluster.state_machines import LEASES
from fennelwind.cluster.wakeup import Wakeup
from fennelwind.errors import FennelwindError
from fennelwind.leases import lease_events
from fennelwind.leases import leases_pb2 as pb
from fennelwind.leases.errors import LeaseNotHeldError
from fennelwind.leases.fencing import FencedOperation, FencingGuard
from fennelwind.leases.lease_client import LeaseClient
from fennelwind.leases.model import ControllerIncarnation
from fennelwind.loop import Loop, Once, Task
from fennelwind.loop.timers import Timer

PROPOSE_TIMEOUT_MS = 4000.0  # ms for one command; the lease client decides whether to retry
WATCH_MS = 20_000.0  # ms until a watch for offers ends without an offer; it ends earlier with the first offer
WATCH_RETRY_MS = 1000.0  # ms until a failed watch is repeated
NOT_HELD_RETRY_MS = 50.0  # ms until a task's function is called again after too little of its lease was left
INCARNATION_BYTES = 16  # random, so that each start of a controller gets a unique incarnation

TaskFunction = Callable[["HeldLease"], bool]


class LeasedOperation:
    """An operation in progress, as the task's function sees it."""

    def __init__(self, lease: "HeldLease", operation: FencedOperation) -> None:
        self._lease = lease
        self._operation = operation
        self.fencing_token = operation.fencing_token
        self.is_outcome_unknown = False  # whether the last call was not answered and may still take effect

    def check(self) -> None:
        """Check before a step and after a wait. Raises `LeaseNotHeldError` if the operation must end."""
        lease = self._lease
        if not lease.guard.may_continue(lease.loop.now(), self._operation):
            raise LeaseNotHeldError(f"the operation of {lease.name} may not continue", task=lease.name)


class HeldLease:
    """A held lease, as the function of its task sees it."""

    def __init__(
        self, tasks: "LeasedTasks", name: str, guard: FencingGuard, fencing_token: int, checkpoint: bytes
    ) -> None:
        self.tasks = tasks
        self.loop = tasks.loop
        self.name = name
        self.guard = guard
        self.fencing_token = fencing_token
        self.checkpoint = checkpoint  # as saved by the last holder
        self.stop_requested = Once(tasks.loop)  # set when the task should end on this controller

    @contextmanager
    def operation(self, operation_ms: float) -> Iterator[LeasedOperation]:
        """Run an operation with effects on other systems, within `operation_ms`.

        If the last call of an operation timed out, or its stream broke, the call may still take effect: the
        operation counts as open until its deadline.

        Raises:
            LeaseNotHeldError: too little of the lease is left.
            OperationTooLongError: even a newly renewed lease would be too short.

        """
        fenced = self.guard.begin(self.loop.now(), operation_ms)
        operation = LeasedOperation(self, fenced)
        try:
            yield operation
        except (OSError, TimeoutError):
            operation.is_outcome_unknown = True
            raise
        finally:
            if not operation.is_outcome_unknown:
                self.guard.end(fenced)
            self.tasks.post(lease_events.Wakeup())

    def save_checkpoint(self, checkpoint: bytes) -> None:
        """Save the task's progress for the next holder of the lease."""
        self.tasks.post(lease_events.SaveCheckpoint(self.name, checkpoint))


@dataclass(slots=True)
class _RunningTask:
    lease: HeldLease
    task: Task


class LeasedTasks:
    """Runs the leased tasks that this controller requests."""

    def __init__(
        self, loop: Loop, client: RaftClient, name: str, seed: int, log: Callable[[str, dict], None]
    ) -> None:
        self.loop = loop
        self._client = client
        self._log = log
        self.identity = ControllerIncarnation(name, loop.token(INCARNATION_BYTES))
        self.lease_client = LeaseClient(self.identity, seed)
        self.counts: Counter[str] = Counter()
        self.shutdown_complete = Once(loop)
        self._functions: dict[str, TaskFunction] = {}
        self._any_added = Once(loop)  # set when the first task is added
        self._running: dict[str, _RunningTask] = {}
        self._events: deque[lease_events.Event] = deque()
        self._wakeup = Wakeup(loop)
        self._timer: Timer | None = None
        self._tasks: list[Task] = []

    def start(self) -> None:
        """Start requesting the leases of all tasks, including tasks added later."""
        self._tasks = [
            self.loop.spawn(self._step_forever, name="tasks: turns"),
            self.loop.spawn(self._watch_offers, name="tasks: offers"),
        ]

    def add(
        self,
        name: str,
        function: TaskFunction,
        term_ms: int = lease_events.DEFAULT_TERM_MS,
        purpose: str = "",
    ) -> None:
        """Run the task whenever its lease is held here.

        `function` returns True when the task has ended for all controllers, and False when the lease should
        go to another controller. If `function` raises an error, another controller gets the lease, and this
        one is excluded for a while. `function` is cancelled as soon as the lease is no longer certain to be
        held. If `function` raises `LeaseNotHeldError` before being cancelled, it is called again.
        """
        self._functions[name] = function
        self._any_added.set()
        self.post(lease_events.AcquireLease(name, term_ms, purpose))

    def remove(self, name: str) -> None:
        """Stop running the task; its lease is released once its operations have ended."""
        self.post(lease_events.ReleaseLease(name))

    def hand_over_all(self, within_ms: float) -> bool:
        """Hand over all leases; return True if this was confirmed in time or no task was ever added."""
        if not self._functions:
            return True
        self.post(lease_events.Shutdown())
        try:
            with self.loop.deadline(within_ms):
                return self.shutdown_complete.wait()
        except TimeoutError:
            return False

    def close(self) -> None:
        """Stop all tasks at once without releasing the leases, which expire by themselves."""
        for task in [*self._tasks, *(running.task for running in self._running.values())]:
            task.cancel()
        if self._timer is not None:
            self._timer.cancel()

    def post(self, event: lease_events.Event) -> None:
        """Queue an event for the lease client's next step."""
        self._events.append(event)
        self._wakeup.notify()

    def _step_forever(self) -> None:
        while True:
            while not self._events:
                self._wakeup.wait()
            events = list(self._events)
            self._events.clear()
            for action in self.lease_client.step(self.loop.now(), events):
                self._carry_out(action)

    def _carry_out(self, action: lease_events.Action) -> None:
        match action:
            case lease_events.SendCommand(request_id, body):
                self.loop.spawn(self._propose, request_id, body, name="tasks: ask")
            case lease_events.SetTimer(at_ms):
                if self._timer is not None:
                    self._timer.cancel()
                self._timer = self.loop.at(at_ms, lambda: self.post(lease_events.Wakeup()))
            case lease_events.LeaseAcquired(name, fencing_token, checkpoint):
                self._log("lease acquired", {"task": name, "fencing_token": fencing_token})
                self._start_task(name, fencing_token, checkpoint)
            case lease_events.StopTask(name, _):
                running = self._running.get(name)
                if running is not None:
                    running.lease.stop_requested.set()
            case lease_events.LeaseLost(name, fencing_token, reason):
                self._log(
                    "lease lost", {"task": name, "fencing_token": fencing_token, "reason": reason.value}
                )
                self._stop_task(name)
            case lease_events.LeaseRejected():
                self._log("lease request rejected", action.error.told())
            case lease_events.ShutdownComplete(is_confirmed):
                self.shutdown_complete.set(is_confirmed)

    def _propose(self, request_id: int, body: bytes) -> None:
        self.counts["asked"] += 1
        try:
            answer = self._client.propose(LEASES, body, PROPOSE_TIMEOUT_MS)
            retry_after_ms = 0.0
        except ClusterError as exc:
            self.counts[exc.code] += 1
            answer = None
            retry_after_ms = float(exc.facts.get("again_ms", 0.0))
        self.post(lease_events.CommandAnswered(request_id, answer, retry_after_ms))

    def _start_task(self, name: str, fencing_token: int, checkpoint: bytes) -> None:
        self._stop_task(name)  # an earlier run may still be ending
        lease = HeldLease(self, name, self.lease_client.guard(name), fencing_token, checkpoint)
        task = self.loop.spawn(self._run, lease, name=f"task: {name}")
        self._running[name] = _RunningTask(lease, task)

    def _stop_task(self, name: str) -> None:
        running = self._running.pop(name, None)
        if running is not None:
            running.lease.stop_requested.set()
            running.task.cancel()

    def _run(self, lease: HeldLease) -> None:
        name = lease.name
        while True:
            try:
                is_finished = self._functions[name](lease)
                break
            except LeaseNotHeldError:  # too little of the lease was left; a renewal may be in progress
                self.counts["not held"] += 1
                if lease.stop_requested.ready:
                    return
                self.loop.sleep(NOT_HELD_RETRY_MS)
            except (FennelwindError, OSError, TimeoutError) as exc:
                self.counts["failed"] += 1
                facts = exc.told() if isinstance(exc, FennelwindError) else {"text": str(exc)}
                self._log("task failed", {"task": name} | facts)
                self.post(lease_events.TaskFailed(name))
                return
            except Exception:  # a bug, reported by the loop; keeping the lease would block the task
                self.counts["broke"] += 1
                self.post(lease_events.TaskFailed(name))
                raise
        if not lease.stop_requested.ready:
            event = lease_events.TaskFinished(name) if is_finished else lease_events.ReleaseLease(name)
            self.post(event)

    def _watch_offers(self) -> None:
        """Watch for lease offers, to receive them at once instead of with the answer to the next command."""
        query = pb.Who(name=self.identity.name, life=self.identity.incarnation).SerializeToString()
        last_answer = b""
        self._any_added.wait()
        while True:
            try:
                answer = self._client.watch(LEASES, wait_ms=WATCH_MS, query=query, unlike=last_answer).state
            except ClusterError:
                self.loop.sleep(WATCH_RETRY_MS)
                continue
            offers = tuple(pb.LeaseAnswer.FromString(answer).offers)
            if answer != last_answer and offers:
                self.post(lease_events.LeasesOffered(offers))
            last_answer = answer
