"""Runs one Raft member: the core (`raft.member`) decides without I/O, this module does the I/O.

One loop callback passes queued events to the core and carries out the actions that the core returns; one task
makes the writes, in order; another task applies committed entries. No query waits for any of this work. If
the folder, the listening address or the disk is unavailable, the host retries with backoff; it logs the error
once.
"""

from collections import Counter, deque
from collections.abc import Callable
from functools import partial
from typing import Any, Protocol

from google.protobuf.message import DecodeError

from fennelwind.cluster import keeper_pb2 as pb
from fennelwind.cluster.applied_state import AppliedState, complete_state
from fennelwind.cluster.backoff import Backoff
from fennelwind.cluster.errors import AddressInUseError, ClusterError, LogTooNewError
from fennelwind.cluster.identity import PROTOCOL, ClusterIdentity
from fennelwind.cluster.peer_connections import PeerConnection, PeerConnections
from fennelwind.cluster.server import ClientConnection, ClusterServer
from fennelwind.cluster.wakeup import Wakeup
from fennelwind.errors import FennelwindError
from fennelwind.loop import Address, Loop, Once, Task, parse_address
from fennelwind.loop.disk import DiskFull
from fennelwind.loop.timers import Timer as LoopTimer
from fennelwind.quiescence import clearance_pb2
from fennelwind.quiescence.acknowledgements import MAX_BARRIER_REQUESTS, Acknowledgements
from fennelwind.quiescence.registered_controllers import ControllerRegistry
from fennelwind.raft import council_pb2
from fennelwind.raft.log import Log
from fennelwind.raft.messages import (
    Action,
    Apply,
    DiskSpaceLow,
    DurableState,
    Event,
    Incarnation,
    MessageReceived,
    ProposalOutcome,
    Propose,
    ReadOutcome,
    ReadRequested,
    Restore,
    RoleChanged,
    Send,
    StorageRecovered,
    TakeSnapshot,
    Timer,
    TimerFired,
    TransferLeadership,
    Write,
    WriteCompleted,
    WriteFailed,
)
from fennelwind.raft.replicated_state import LEVEL_COMMAND_TARGET, ReplicatedState
from fennelwind.raft.snapshot_chunks import make_snapshot_head
from fennelwind.raft.state_machine import StateMachine

MAX_QUEUED_EVENTS = 8192  # events queued for the core; messages beyond that are dropped, as a network may do
MAX_EVENTS_PER_STEP = 256  # events passed to one step of the core; about 20 ms in the worst case
MAX_WRITES_PER_SYNC = 256  # writes that share one sync
MIN_DISK_BACKOFF_MS, MAX_DISK_BACKOFF_MS = 200.0, 5000.0  # ms between attempts to open, listen or write
DISK_SPACE_CHECK_MS = 1000.0  # ms between two checks of the disk's free space
LEVEL_CHECK_MS = 2000.0  # ms between two checks whether all members know a later level; upgrades take minutes
REGISTRY = ControllerRegistry.name
OVERLOAD_RETRY_AFTER_MS = 200  # ms; sent to a client whose request arrived when the queue was full

Result = council_pb2.Result


class RaftCore(Protocol):
    """The part of `raft.member.RaftMember` that the host uses."""

    log: Log

    def step(self, now: float, events: list[Event]) -> list[Action]:
        """Process events; return the actions to carry out."""


class MemberStorage(Protocol):
    """The part of `member_folder.MemberFolder` that the host uses.

    The calls wait for the disk; if the disk fails, they raise the disk's or the store's error.
    """

    def open(self) -> DurableState:
        """Read the stored state."""

    def reopen(self, head: council_pb2.SnapshotHead | None, snapshot: bytes) -> DurableState:
        """Read the stored state again after a failed write; on a full disk a snapshot may replace the log."""

    def write(self, writes: list[Write]) -> None:
        """Make the writes in order, with one sync."""

    def is_space_low(self) -> bool:
        """Return whether the disk is nearly full."""

    def close(self) -> None:
        """Close the folder."""


class RaftHost:
    """One member of the Raft group.

    `start` returns at once; opening the folder and listening are retried until they succeed.
    """

    def __init__(
        self,
        loop: Loop,
        identity: ClusterIdentity,
        replicated_state: ReplicatedState,
        store: MemberStorage,
        make_core: Callable[[DurableState], RaftCore],
        seed: str,
        log: Callable[[str, dict], None],
        answer_query: Callable[[StateMachine, bytes], bytes] = complete_state,
    ) -> None:
        self.loop = loop
        self.identity = identity
        self.store = store
        self.core: RaftCore | None = None
        self.me = Incarnation(identity.me, b"")
        self.role = "closed"
        self.term = 0
        self.leader = ""  # name of the leader; "" while none is known
        self.state = AppliedState(loop, replicated_state, self.post, answer_query)
        self.peers = PeerConnections(
            loop, identity.fleet, self.hello, seed, self._log_rejected, self._log_connected
        )
        self.server: ClusterServer | None = None
        self.counts: Counter[str] = Counter()
        self.acknowledgements = Acknowledgements()
        self._make_core = make_core
        self._log = log
        self._random = self.peers.random
        self._events: deque[Event] = deque()
        self._writes_pending = Wakeup(loop)
        self._is_step_due = True  # true at first: `_run` makes the first step itself
        self._is_stopped = False
        self._writes: deque[Write] = deque()
        self._timer: LoopTimer | None = None
        self._last_token = 0
        self._outcome_handlers: dict[int, Callable[[Any], None]] = {}  # by the token of each proposal or read
        self._role_waiters: list[Once] = []
        self._tasks: list[Task] = []

    # Start and stop.

    def start(self) -> None:
        """Start opening the folder and joining the Raft group."""
        self._tasks.append(self.loop.spawn(self._guarded, self._run, name="keeper: member"))

    def _guarded(self, call: Callable[[], None]) -> None:
        """Run a call that must not fail; if the call raises, close the member: it must not run partly."""
        try:
            call()
        except Exception as exc:  # a bug; raised again, so that the loop reports the traceback
            self._log("raft host failed", {"text": f"{type(exc).__name__}: {exc}"[:300]})
            self.loop.spawn(self.close, name="keeper: close")
            raise

    def _run(self) -> None:
        durable = self._open_with_retries()
        self.me = durable.me
        self.core = self._make_core(durable)
        self._listen()
        self._connect_members()
        for call, name in (
            (self._write, "keeper: writes"),
            (self.state.run, "keeper: applies"),
            (self._check_disk_space, "keeper: room"),
            (self._raise_level, "keeper: level"),
        ):
            self._tasks.append(self.loop.spawn(self._guarded, call, name=name))
        facts = {
            "name": self.me.name,
            "incarnation": self.me.id.hex(),
            "index": self.state.replicated_state.index,
            "entries": len(durable.entries),
        }
        self._log("raft member started", facts)
        self._step()

    def _open_with_retries(self) -> DurableState:
        """Open the folder, retrying until that succeeds; log an error if its code is not the last one's."""
        backoff = Backoff(self._random, MIN_DISK_BACKOFF_MS, MAX_DISK_BACKOFF_MS)
        logged_code = ""
        while True:
            try:
                return self.store.open()
            except FennelwindError as exc:
                if exc.code != logged_code:
                    self._log("cannot open", exc.told())
                    logged_code = exc.code
                self.loop.sleep(backoff.next_ms())

    def _listen(self) -> None:
        backoff = Backoff(self._random, MIN_DISK_BACKOFF_MS, MAX_DISK_BACKOFF_MS)
        is_logged = False
        while self.server is None:
            try:
                listener = self.loop.listen(self.identity.listen)
            except OSError as exc:
                if not is_logged:
                    error = AddressInUseError(
                        f"{self.identity.listen}: {exc.strerror}", address=str(self.identity.listen)
                    )
                    self._log("cannot listen", error.told())
                    is_logged = True
                self.loop.sleep(backoff.next_ms())
            else:
                self.server = ClusterServer(
                    self.loop, listener, self.identity.fleet, self, self._log_rejected
                )
                self.server.start()

    def hand_over(self, within_ms: float) -> bool:
        """Transfer leadership if this member leads; return whether it no longer leads."""
        if self.role == "leader":
            self.post(TransferLeadership())
            # Wait until another member leads: the election may need this member's vote on disk.
            self.wait_for_role(lambda: self.role != "leader" and self.leader != "", within_ms)
        return self.role != "leader"

    def wait_for_role(self, is_reached: Callable[[], bool], within_ms: float) -> bool:
        """Wait until a condition on this member's role holds or the time is up; return whether it holds."""
        try:
            with self.loop.deadline(within_ms):
                while not is_reached():
                    role_changed = Once(self.loop)
                    self._role_waiters.append(role_changed)
                    role_changed.wait()
        except TimeoutError:
            pass
        return is_reached()

    def close(self) -> None:
        """Stop taking part in the Raft group; the stored state stays on disk."""
        self.role = "closed"
        self._is_stopped = True
        if self._timer is not None:
            self._timer.cancel()
        for task in self._tasks:
            task.cancel()
        self.peers.close()
        if self.server is not None:
            self.server.close()
        self.store.close()

    # Events.

    def post(self, event: Event) -> None:
        """Queue an event for the core's next step."""
        self._events.append(event)
        if not self._is_step_due:
            self._is_step_due = True
            self.loop.last(self._step)

    def hello(self) -> pb.Hello:
        """Return the first message on each of this member's connections."""
        return pb.Hello(
            protocol=PROTOCOL,
            fleet=self.identity.fleet,
            name=self.me.name,
            life=self.me.id,
            level=self.state.replicated_state.supported_level,
        )

    def member_connected(self, sender: Incarnation) -> None:
        """Reconnect at once to a member that has just connected, as that member is reachable again."""
        self.peers.reconnect(sender.name)

    def message_received(self, sender: Incarnation, message: council_pb2.Message) -> None:
        """Queue a member's Raft message for the core, or drop it when the queue is full."""
        if len(self._events) >= MAX_QUEUED_EVENTS:
            self.counts["lost, too busy"] += 1
            return
        self.post(MessageReceived(sender, message))

    def request_received(self, client: ClientConnection, request: pb.Ask) -> None:
        """Handle a client's request; each request is answered exactly once."""
        kind = request.WhichOneof("what")
        if len(self._events) >= MAX_QUEUED_EVENTS:
            overloaded = Result(refusal=Result.TOO_MANY, again_ms=OVERLOAD_RETRY_AFTER_MS)
            self._answer(client, request.token, overloaded)
        elif kind == "command":
            try:
                command = council_pb2.Command.FromString(request.command)
            except DecodeError:
                self._answer(client, request.token, Result(refusal=Result.UNREADABLE))
                return
            self._propose(command, lambda result: self._answer(client, request.token, result))
        elif kind == "view":
            self._read(client, request.token, request.view)
        elif kind in ("word", "cleared"):
            self._answer(client, request.token, self._quiescence_result(request))
        else:
            self._answer(client, request.token, Result(refusal=Result.UNREADABLE))

    @staticmethod
    def _answer(client: ClientConnection, token: int, result: Result) -> None:
        client.answer(pb.Told(token=token, result=result.SerializeToString()))

    def _quiescence_result(self, request: pb.Ask) -> Result:
        """Accept a controller's acknowledgement, or evaluate barrier requests; only the leader does so.

        A former leader that does not know of its successor yet may answer too: acknowledgements stay valid.
        """
        registry = self.state.replicated_state.machines.get(REGISTRY)
        if registry is None:
            return Result(refusal=Result.NO_MACHINE)
        if self.role != "leader":
            return Result(refusal=Result.NOT_LEADER, leader=self.leader)
        state = self.state.replicated_state
        try:
            if request.HasField("word"):
                self.counts["words"] += 1
                self.acknowledgements.accept(clearance_pb2.Word.FromString(request.word), registry)
                return Result(index=state.index)
            barriers = clearance_pb2.Asked.FromString(request.cleared).wishes
        except DecodeError:
            return Result(refusal=Result.UNREADABLE)
        if len(barriers) > MAX_BARRIER_REQUESTS:
            return Result(refusal=Result.TOO_LARGE)
        states = self.acknowledgements.evaluate(barriers, registry, state.index, state.clock_ms)
        return Result(body=states.SerializeToString(), index=state.index)

    def _propose(self, command: council_pb2.Command, answer: Callable[[Result], None]) -> None:
        def decided(outcome: ProposalOutcome) -> None:
            if outcome.refusal:
                answer(_refusal(outcome))
            else:
                self.state.when_applied(outcome.index, answer)

        self.post(Propose(self._await_outcome(decided), command))

    def _read(self, client: ClientConnection, token: int, view: pb.View) -> None:
        def answer() -> None:
            response = self.state.answer_view(view)
            response.token = token
            client.answer(response)

        def answer_or_watch() -> None:
            if not view.wait_ms:
                answer()
            elif not self.state.watch(view, answer, lambda: client.is_closed):
                overloaded = Result(refusal=Result.TOO_MANY, again_ms=OVERLOAD_RETRY_AFTER_MS)
                self._answer(client, token, overloaded)

        def confirmed(outcome: ReadOutcome) -> None:
            if outcome.refusal:
                self._answer(client, token, _refusal(outcome))
            else:
                self.state.when_at_index(outcome.index, answer_or_watch)

        if view.fresh:
            self.post(ReadRequested(self._await_outcome(confirmed)))
        else:
            answer_or_watch()

    def _await_outcome(self, handler: Callable[[Any], None]) -> int:
        self._last_token += 1
        self._outcome_handlers[self._last_token] = handler
        return self._last_token

    def _log_connected(self, peer: PeerConnection) -> None:
        facts = {"peer": peer.name, "incarnation": peer.incarnation.hex(), "knows_level": peer.level}
        self._log("peer connected", facts)

    def _log_rejected(self, exc: ClusterError) -> None:
        if exc.code != "council-frame-refused":  # unknown senders must not flood the log; they are counted
            self._log("connection rejected", exc.told())

    # Steps of the core.

    def _step(self) -> None:
        """Pass at most `MAX_EVENTS_PER_STEP` queued events to the core and carry out its actions."""
        if self._is_stopped:
            return
        events = [self._events.popleft() for _ in range(min(len(self._events), MAX_EVENTS_PER_STEP))]
        try:
            self._carry_out(self.core.step(self.loop.now(), events))
        except Exception as exc:  # raised again in a task, which reports the error like any other bug
            self._is_stopped = True
            self.loop.spawn(self._guarded, partial(_raise, exc), name="keeper: member")
            return
        self._is_step_due = bool(self._events)
        if self._events:
            self.loop.soon(self._step)  # the loop's other tasks run first, above all queries

    def _carry_out(self, actions: list[Action]) -> None:
        for action in actions:  # outcomes first: waiters must be registered before their entries are applied
            if isinstance(action, ProposalOutcome | ReadOutcome):
                handler = self._outcome_handlers.pop(action.token, None)
                if handler is not None:
                    handler(action)
        for action in actions:
            self._carry_out_one(action)
        self._stop_if_too_new()
        if any(map(_changes_members, actions)):
            self._connect_members()

    def _carry_out_one(self, action: Action) -> None:
        if isinstance(action, Send):
            self.peers.send(action.to, action.message)
        elif isinstance(action, Write):
            self._writes.append(action)
            self._writes_pending.notify()
        elif isinstance(action, Apply | Restore | TakeSnapshot):
            self.state.submit(action)
        elif isinstance(action, Timer):
            self._set_timer(action.at_ms)
        elif isinstance(action, RoleChanged):
            self._change_role(action)

    def _set_timer(self, at_ms: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self.loop.at(at_ms, lambda: self.post(TimerFired()))

    def _change_role(self, change: RoleChanged) -> None:
        self.role = change.role
        self.term = change.term
        self.leader = change.leader
        facts = {
            "role": change.role,
            "term": change.term,
            "leader": change.leader,
            "index": self.state.replicated_state.index,
        }
        self._log("role changed", facts)
        waiters, self._role_waiters = self._role_waiters, []
        for waiter in waiters:
            waiter.set()

    def _connect_members(self) -> None:
        """Connect to the members in the settings and the log; addresses in the settings take precedence."""
        addresses: dict[str, Address] = {}
        for member in self.core.log.configuration.members.members:
            try:
                addresses[member.name] = parse_address(member.address)
            except ValueError:
                self.counts["no address"] += 1
        addresses |= self.identity.members
        addresses.pop(self.me.name, None)
        self.peers.set_members(addresses)

    def _stop_if_too_new(self) -> None:
        """Stop this member if the log needs a later version; queries are served as without the Raft group."""
        state = self.state.replicated_state
        if self.state.is_too_new and self.role != "closed":
            error = LogTooNewError(
                f"the log is of level {state.level}, this version knows {state.supported_level}",
                record_level=state.level,
                known=state.supported_level,
            )
            self._log("raft member stopped", error.told())
            self.role = "closed"
            self.loop.spawn(self.close, name="keeper: close")

    def _raise_level(self) -> None:
        """While leading, raise the log's level once all members have reported support for the next one."""
        state = self.state.replicated_state
        while state.level < state.supported_level:
            self.loop.sleep(LEVEL_CHECK_MS)
            members = self.core.log.configuration.members.members
            others = [member for member in members if (member.name, member.life) != self.me]
            known_level = min((self._known_level(member) for member in others), default=0)
            if self.role == "leader" and known_level > state.level:
                self._propose(
                    council_pb2.Command(machine=LEVEL_COMMAND_TARGET, body=b"%d" % (state.level + 1)),
                    lambda result: self._log("level raised", {"record_level": result.body.decode()}),
                )

    def _known_level(self, member: council_pb2.Member) -> int:
        """Return the highest level that a member supports; 0 while the member is unreachable."""
        peer = self.peers.by_name.get(member.name)
        if peer is None or not peer.is_connected or peer.incarnation != member.life:
            return 0
        return peer.level

    # The folder.

    def _write(self) -> None:
        while True:
            while not self._writes:
                self._writes_pending.wait()
            writes = [self._writes.popleft() for _ in range(min(len(self._writes), MAX_WRITES_PER_SYNC))]
            try:
                self.store.write(writes)
            except FennelwindError as exc:
                self._log("cannot write", exc.told())
                self.counts["failed writes"] += 1
                self.post(WriteFailed(writes[0].number, isinstance(exc, DiskFull)))
                self._recover_storage(isinstance(exc, DiskFull))
            else:
                self.post(WriteCompleted(writes[-1].number))

    def _recover_storage(self, is_full: bool) -> None:
        """Wait until the folder accepts writes again; discard the writes queued after the failed one."""
        backoff = Backoff(self._random, MIN_DISK_BACKOFF_MS, MAX_DISK_BACKOFF_MS)
        while True:
            self.loop.sleep(backoff.next_ms())
            try:
                durable = self.store.reopen(*(self._snapshot() if is_full else (None, b"")))
                break
            except FennelwindError:
                self.counts["still cannot write"] += 1
        self._writes.clear()
        self._log("can write again", {"entries": len(durable.entries)})
        self.post(StorageRecovered(durable))

    def _snapshot(self) -> tuple[council_pb2.SnapshotHead | None, bytes]:
        """Return a snapshot, to free disk space by replacing a long log; (None, b"") if none can be made."""
        state, log = self.state.replicated_state, self.core.log
        term = log.term(state.index)
        if not state.index or term is None:
            return None, b""
        data = state.snapshot()
        return make_snapshot_head(
            state.index, term, state.clock_ms, log.configuration_at(state.index).members, data
        ), data

    def _check_disk_space(self) -> None:
        is_low = False
        while True:
            self.loop.sleep(DISK_SPACE_CHECK_MS)
            was_low, is_low = is_low, self.store.is_space_low()
            if is_low and not was_low:
                self._log("disk space low", {})
                self.post(DiskSpaceLow())


def _changes_members(action: Action) -> bool:
    if isinstance(action, Apply):
        return any(entry.WhichOneof("what") == "members" for entry in action.entries)
    return isinstance(action, Restore)


def _raise(exc: Exception) -> None:
    raise exc


def _refusal(outcome: ProposalOutcome | ReadOutcome) -> Result:
    retry_after_ms = outcome.retry_after_ms if isinstance(outcome, ProposalOutcome) else 0
    return Result(refusal=outcome.refusal, leader=outcome.leader, again_ms=retry_after_ms)
