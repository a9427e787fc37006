"""Runs the leased tasks of this controller: each is a function that runs while its lease is surely held here.

`leases.lease_client.LeaseClient` decides; this module feeds it events and carries out its actions over the
Raft client. A task's function gets a `HeldLease`; whatever it does to others goes through
`HeldLease.operation`, under the fencing guard and with the fencing token.
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

PROPOSE_TIMEOUT_MS = 4000.0  # ms for one command; the lease client itself sends another when it wants to
WATCH_MS = 20_000.0  # ms of one watch for offers; each ends with the first offer
WATCH_RETRY_MS = 1000.0  # ms until a watch that failed is started again
NOT_HELD_RETRY_MS = 50.0  # ms until a function that found its lease too short is called again
INCARNATION_BYTES = 16  # no two starts of a controller draw the same

TaskFunction = Callable[["HeldLease"], bool]


class LeasedOperation:
    """An operation of a task that is under way, as the task's function sees it."""

    def __init__(self, lease: "HeldLease", operation: FencedOperation) -> None:
        self._lease = lease
        self._operation = operation
        self.fencing_token = operation.fencing_token
        self.is_outcome_unknown = False  # its last call brought no answer, and may still take effect

    def check(self) -> None:
        """Check ahead of each step and after each wait. Raises `LeaseNotHeldError`: it may not continue."""
        lease = self._lease
        if not lease.guard.may_continue(lease.loop.now(), self._operation):
            raise LeaseNotHeldError(f"the operation of {lease.name} may not continue", task=lease.name)


class HeldLease:
    """A lease that is held, as the function of its task sees it."""

    def __init__(
        self, tasks: "LeasedTasks", name: str, guard: FencingGuard, fencing_token: int, checkpoint: bytes
    ) -> None:
        self.tasks = tasks
        self.loop = tasks.loop
        self.name = name
        self.guard = guard
        self.fencing_token = fencing_token
        self.checkpoint = checkpoint  # as the last holder left it
        self.stop_requested = Once(tasks.loop)  # set when the task should come to an end here

    @contextmanager
    def operation(self, operation_ms: float) -> Iterator[LeasedOperation]:
        """Do something to others, within `operation_ms`.

        An operation whose last call timed out, or whose stream broke, is not over with that: its deadline
        ends it.

        Raises:
            LeaseNotHeldError: too little of the lease is left now.
            OperationTooLongError: not even a fresh lease would be long enough.

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
        """Keep how far the task has got, for whoever holds it next."""
        self.tasks.post(lease_events.SaveCheckpoint(self.name, checkpoint))


@dataclass(slots=True)
class _RunningTask:
    lease: HeldLease
    task: Task


class LeasedTasks:
    """All leased tasks that one controller wants to run."""

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
        self._any_wanted = Once(loop)  # set with the first task
        self._running: dict[str, _RunningTask] = {}
        self._events: deque[lease_events.Event] = deque()
        self._wakeup = Wakeup(loop)
        self._timer: Timer | None = None
        self._tasks: list[Task] = []

    def start(self) -> None:
        """Request the leases that are wanted, from now on."""
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

        `function` returns true when the task is over for all controllers, false when it shall go to another,
        and raises where it can't be run here: then another gets it, and this controller is passed over a
        while. It is cancelled as soon as the lease is not surely held; where `LeaseNotHeldError` ends it
        before, it is called again.
        """
        self._functions[name] = function
        self._any_wanted.set()
        self.post(lease_events.AcquireLease(name, term_ms, purpose))

    def remove(self, name: str) -> None:
        """Run the task no longer; the lease goes to another when its operations have ended."""
        self.post(lease_events.ReleaseLease(name))

    def hand_over_all(self, within_ms: float) -> bool:
        """Hand over all leases; tell whether that was confirmed in time, or nothing was to be handed over."""
        if not self._functions:
            return True
        self.post(lease_events.Shutdown())
        try:
            with self.loop.deadline(within_ms):
                return self.shutdown_complete.wait()
        except TimeoutError:
            return False

    def close(self) -> None:
        """Stop everything at once; leases expire by themselves."""
        for task in [*self._tasks, *(running.task for running in self._running.values())]:
            task.cancel()
        if self._timer is not None:
            self._timer.cancel()

    def post(self, event: lease_events.Event) -> None:
        """Hand the lease client an event, in its next step."""
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
                self._log("lease rejected", action.error.told())
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
        self._stop_task(name)  # it may be ending, and is wanted here again
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
            except LeaseNotHeldError:  # too little was left for an operation; a renewal may be on its way
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
            except Exception:  # a defect, which the loop reports; a lease kept here would stop the task
                self.counts["broke"] += 1
                self.post(lease_events.TaskFailed(name))
                raise
        if not lease.stop_requested.ready:
            event = lease_events.TaskFinished(name) if is_finished else lease_events.ReleaseLease(name)
            self.post(event)

    def _watch_offers(self) -> None:
        """Receive offers at once; without a watch they come with the answer to the next command."""
        query = pb.Who(name=self.identity.name, life=self.identity.incarnation).SerializeToString()
        last_answer = b""
        self._any_wanted.wait()
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
