"""A member at work: its core decides, this carries out.

One task gives the core what has happened and spreads what it wants done; one makes writes, in their order;
one applies. Nobody on a query's way waits for any of them.
"""

from collections import Counter, deque
from collections.abc import Callable
from functools import partial
from typing import Protocol

from google.protobuf.message import DecodeError

from fennelwind.cluster import keeper_pb2 as pb
from fennelwind.cluster.applied_state import State, whole_state
from fennelwind.cluster.backoff import Waits
from fennelwind.cluster.errors import AddressTaken, CouncilError, RecordTooNew
from fennelwind.cluster.identity import PROTOCOL, Place
from fennelwind.cluster.peer_connections import Peer, Peers
from fennelwind.cluster.server import Caller, Door
from fennelwind.cluster.wakeup import Bell
from fennelwind.errors import FennelwindError
from fennelwind.loop import Address, Loop, Once, Task, parse_address
from fennelwind.loop.disk import DiskFull
from fennelwind.quiescence import clearance_pb2
from fennelwind.quiescence.acknowledgements import WISHES_MOST, Words
from fennelwind.quiescence.registered_controllers import RollMachine
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

EVENTS_MOST = 8192  # messages that wait for the core; more are lost, as on any network
STEP_MOST = 256  # events of one step; some 20 ms at the worst
TOGETHER_MOST = 256  # writes made with one sync
OPEN_FIRST_MS, OPEN_MOST_MS = 200.0, 5000.0  # ms between two tries to open the folder, or to write again
ROOM_MS = 1000.0  # ms between two looks at the disk's room
LEVEL_MS = 2000.0  # ms between two looks whether all members know a later level; upgrades take minutes
ROLL = RollMachine.name
BUSY_MS = 200  # ms after which one who found too many waiting may ask again

Result = council_pb2.Result


class Deciding(Protocol):
    """The core, as far as it is used here."""

    log: Log

    def step(self, now: float, events: list[Event]) -> list[Action]:
        """Decide."""


class Keeping(Protocol):
    """The folder, as far as it is used here. Its calls wait, and raise what a disk raises."""

    def open(self) -> DurableState:
        """Read what is kept."""

    def reopen(self, head: council_pb2.SnapshotHead | None, snapshot: bytes) -> DurableState:
        """Read anew what is kept after a write has failed; a full disk may take a snapshot for all else."""

    def write(self, writes: list[Write]) -> None:
        """Let writes reach the disk, in order, as one."""

    def room_short(self) -> bool:
        """Tell whether the disk is nearly full."""

    def close(self) -> None:
        """Give the folder up."""


class Member:
    """Keeps the record with the others. `start` returns at once; what can't be had is tried again."""

    def __init__(
        self,
        loop: Loop,
        place: Place,
        record: ReplicatedState,
        store: Keeping,
        core: Callable[[DurableState], Deciding],
        seed: str,
        said: Callable[[str, dict], None],
        ask: Callable[[StateMachine, bytes], bytes] = whole_state,
    ) -> None:
        self.loop, self.place, self.store, self.make_core = loop, place, store, core
        self.said = said
        self.core: Deciding | None = None
        self.me = Incarnation(place.me, b"")
        self.part, self.term, self.leader = "closed", 0, ""
        self.state = State(loop, record, self.post, ask)
        self.peers = Peers(loop, place.fleet, self.hello, seed, self._wrong, self._met)
        self.door: Door | None = None
        self.counts: Counter[str] = Counter()
        self.words = Words()
        self.random = self.peers.random
        self._events: deque[Event] = deque()
        self._ink = Bell(loop)
        self._turn_due, self._over = True, False  # no turn ahead of the first step, none after the end
        self._writes: deque[Write] = deque()
        self._timer = None
        self._token = 0
        self._asked: dict[int, Callable[[ProposalOutcome | ReadOutcome], None]] = {}
        self._parts: list[Once] = []  # who waits for a change of part
        self._tasks: list[Task] = []

    # Life.

    def start(self) -> None:
        """Open the folder and take part."""
        self._tasks.append(self.loop.spawn(self._guarded, self._live, name="keeper: member"))

    def _guarded(self, call: Callable[[], None]) -> None:
        """Make a call that is not to end; where it breaks, a member that is gone beats half of one."""
        try:
            call()
        except Exception as exc:  # a defect; the loop reports all of it
            self.said("broke", {"text": f"{type(exc).__name__}: {exc}"[:300]})
            self.loop.spawn(self.close, name="keeper: close")
            raise

    def _live(self) -> None:
        durable = self._opened()
        self.me = durable.me
        self.core = self.make_core(durable)
        self._listen()
        self._reach()
        for call, name in (
            (self._write, "keeper: writes"),
            (self.state.run, "keeper: applies"),
            (self._look_for_room, "keeper: room"),
            (self._raise_level, "keeper: level"),
        ):
            self._tasks.append(self.loop.spawn(self._guarded, call, name=name))
        self.said(
            "member",
            {
                "name": self.me.name,
                "life": self.me.life.hex(),
                "index": self.state.record.index,
                "entries": len(durable.entries),
            },
        )
        self._turn()

    def _opened(self) -> DurableState:
        """Open the folder, sooner or later."""
        waits = Waits(self.random, OPEN_FIRST_MS, OPEN_MOST_MS)
        told = ""
        while True:
            try:
                return self.store.open()
            except FennelwindError as exc:
                if exc.code != told:
                    self.said("cannot open", exc.told())
                    told = exc.code
                self.loop.sleep(waits.next())

    def _listen(self) -> None:
        waits, told = Waits(self.random, OPEN_FIRST_MS, OPEN_MOST_MS), False
        while self.door is None:
            try:
                listener = self.loop.listen(self.place.listen)
            except OSError as exc:
                if not told:
                    self.said(
                        "cannot listen",
                        AddressTaken(
                            f"{self.place.listen}: {exc.strerror}", address=str(self.place.listen)
                        ).told(),
                    )
                    told = True
                self.loop.sleep(waits.next())
            else:
                self.door = Door(self.loop, listener, self.place.fleet, self, self._wrong)
                self.door.start()

    def hand_over(self, within_ms: float) -> bool:
        """Let another lead, if this one does; tell whether it doesn't any more."""
        if self.part == "leader":
            self.post(TransferLeadership())
            # Until another leads: its election may need this one's vote, which has to reach the disk first.
            self.wait_for(lambda: self.part != "leader" and self.leader != "", within_ms)
        return self.part != "leader"

    def wait_for(self, true: Callable[[], bool], within_ms: float) -> bool:
        """Wait until something holds of this member's part; tell whether it does."""
        try:
            with self.loop.deadline(within_ms):
                while not true():
                    once = Once(self.loop)
                    self._parts.append(once)
                    once.wait()
        except TimeoutError:
            pass
        return true()

    def close(self) -> None:
        """Take part no more; what is agreed stays."""
        self.part, self._over = "closed", True
        if self._timer is not None:
            self._timer.cancel()
        for task in self._tasks:
            task.cancel()
        self.peers.close()
        if self.door is not None:
            self.door.close()
        self.store.close()

    # What happens.

    def post(self, event: Event) -> None:
        """Hand the core an event, in its next turn."""
        self._events.append(event)
        if not self._turn_due:
            self._turn_due = True
            self.loop.last(self._turn)

    def hello(self) -> pb.Hello:
        """Return what this member says first."""
        return pb.Hello(
            protocol=PROTOCOL,
            fleet=self.place.fleet,
            name=self.me.name,
            life=self.me.life,
            level=self.state.record.known,
        )

    def greeted(self, sender: Incarnation) -> None:
        """Take note that a member has opened its way to this one."""
        self.peers.heard(sender.name)

    def received(self, sender: Incarnation, message: council_pb2.Message) -> None:
        """Take a message of a member."""
        if len(self._events) >= EVENTS_MOST:
            self.counts["lost, too busy"] += 1
            return
        self.post(MessageReceived(sender, message))

    def asked(self, caller: Caller, ask: pb.Ask) -> None:
        """Take an ask; each is answered once."""
        what = ask.WhichOneof("what")
        if len(self._events) >= EVENTS_MOST:
            self._refuse(caller, ask.token, Result(refusal=Result.TOO_MANY, again_ms=BUSY_MS))
        elif what == "command":
            try:
                command = council_pb2.Command.FromString(ask.command)
            except DecodeError:
                self._refuse(caller, ask.token, Result(refusal=Result.UNREADABLE))
                return
            self._propose(command, lambda result: self._refuse(caller, ask.token, result))
        elif what == "view":
            self._look(caller, ask.token, ask.view)
        elif what in ("word", "cleared"):
            caller.tell(pb.Told(token=ask.token, result=self._cleared(ask).SerializeToString()))
        else:
            self._refuse(caller, ask.token, Result(refusal=Result.UNREADABLE))

    @staticmethod
    def _refuse(caller: Caller, token: int, result: Result) -> None:
        caller.tell(pb.Told(token=token, result=result.SerializeToString()))

    def _cleared(self, ask: pb.Ask) -> Result:
        """Take a controller's word, or tell how wishes stand by all words; the leader's alone.

        One that does not know yet that another leads may answer as well: words stay true.
        """
        roll = self.state.record.machines.get(ROLL)
        if roll is None:
            return Result(refusal=Result.NO_MACHINE)
        if self.part != "leader":
            return Result(refusal=Result.NOT_LEADER, leader=self.leader)
        try:
            if ask.HasField("word"):
                self.counts["words"] += 1
                self.words.take(clearance_pb2.Word.FromString(ask.word), roll)
                return Result(index=self.state.record.index)
            wishes = clearance_pb2.Asked.FromString(ask.cleared).wishes
        except DecodeError:
            return Result(refusal=Result.UNREADABLE)
        if len(wishes) > WISHES_MOST:
            return Result(refusal=Result.TOO_LARGE)
        record = self.state.record
        heard = self.words.hears(wishes, roll, record.index, record.clock_ms)
        return Result(body=heard.SerializeToString(), index=record.index)

    def _propose(self, command: council_pb2.Command, tell: Callable[[Result], None]) -> None:
        def answered(answer: ProposalOutcome) -> None:
            if answer.refusal:
                tell(_refusal(answer))
            else:
                self.state.result_of(answer.index, tell)

        self.post(Propose(self._new_token(answered), command))

    def _look(self, caller: Caller, token: int, view: pb.View) -> None:
        def tell() -> None:
            told = self.state.view(view)
            told.token = token
            caller.tell(told)

        def watch() -> None:
            if not view.wait_ms:
                tell()
            elif not self.state.watch(view, tell, lambda: caller.gone):
                self._refuse(caller, token, Result(refusal=Result.TOO_MANY, again_ms=BUSY_MS))

        def readable(answer: ReadOutcome) -> None:
            if answer.refusal:
                self._refuse(caller, token, _refusal(answer))
            else:
                self.state.when(answer.index, watch)

        if view.fresh:
            self.post(ReadRequested(self._new_token(readable)))
        else:
            watch()

    def _new_token(self, call: Callable) -> int:
        self._token += 1
        self._asked[self._token] = call
        return self._token

    def _met(self, peer: Peer) -> None:
        self.said("met", {"peer": peer.name, "life": peer.life.hex(), "knows_level": peer.level})

    def _wrong(self, exc: CouncilError) -> None:
        if exc.code != "council-frame-refused":  # strangers may not fill the log; they are counted
            self.said("refused", exc.told())

    # The core's turns.

    def _turn(self) -> None:
        """Have a step made of what has come in this turn of the loop; what comes of that is for the next."""
        if self._over:
            return
        events = [self._events.popleft() for _ in range(min(len(self._events), STEP_MOST))]
        try:
            self._carry(self.core.step(self.loop.now(), events))
        except Exception as exc:  # told by a task of the member's, as whatever else breaks in it
            self._over = True
            self.loop.spawn(self._guarded, partial(self._raise, exc), name="keeper: member")
            return
        self._turn_due = bool(self._events)
        if self._events:
            self.loop.soon(self._turn)  # the loop's other tasks come first, queries above all

    @staticmethod
    def _raise(exc: Exception) -> None:
        raise exc

    def _carry(self, actions: list[Action]) -> None:
        for action in actions:  # who waits for an entry has to be known before it is applied
            if isinstance(action, ProposalOutcome | ReadOutcome):
                call = self._asked.pop(action.token, None)
                if call is not None:
                    call(action)
        for action in actions:
            if isinstance(action, Send):
                self.peers.send(action.to, action.message)
            elif isinstance(action, Write):
                self._writes.append(action)
                self._ink.ring()
            elif isinstance(action, Apply | Restore | TakeSnapshot):
                self.state.take(action)
            elif isinstance(action, Timer):
                self._set_timer(action.at_ms)
            elif isinstance(action, RoleChanged):
                self._become(action)
        self._stop_if_too_new()
        if any(
            isinstance(action, Restore)
            or isinstance(action, Apply)
            and any(entry.WhichOneof("what") == "members" for entry in action.entries)
            for action in actions
        ):
            self._reach()

    def _set_timer(self, at: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self.loop.at(at, lambda: self.post(TimerFired()))

    def _become(self, became: RoleChanged) -> None:
        self.part, self.term, self.leader = became.role, became.term, became.leader
        self.said(
            "part",
            {
                "part": became.role,
                "term": became.term,
                "leader": became.leader,
                "index": self.state.record.index,
            },
        )
        parts, self._parts = self._parts, []
        for once in parts:
            once.set()

    def _reach(self) -> None:
        """Keep ways to the members of the settings, and to those of the record that these don't name."""
        addresses: dict[str, Address] = {}
        for member in self.core.log.configuration.members.members:
            try:
                addresses[member.name] = parse_address(member.address)
            except ValueError:
                self.counts["no address"] += 1
        addresses |= self.place.members
        addresses.pop(self.me.name, None)
        self.peers.reach(addresses)

    def _stop_if_too_new(self) -> None:
        """Take part no more in a record that a later version goes on with; queries go on as without it."""
        record = self.state.record
        if self.state.too_new and self.part != "closed":
            self.said(
                "takes part no more",
                RecordTooNew(
                    f"the record is of level {record.level}, this version knows {record.known}",
                    record_level=record.level,
                    known=record.known,
                ).told(),
            )
            self.part = "closed"
            self.loop.spawn(self.close, name="keeper: close")

    def _raise_level(self) -> None:
        """Have the level raised, while leading, once all members have said that they know the next."""
        record = self.state.record
        while record.level < record.known:
            self.loop.sleep(LEVEL_MS)
            others = [m for m in self.core.log.configuration.members.members if (m.name, m.life) != self.me]
            known = [
                peer.level
                if (peer := self.peers.peers.get(m.name)) is not None and peer.up and peer.life == m.life
                else 0
                for m in others
            ]
            if self.part == "leader" and min(known, default=0) > record.level:
                self._propose(
                    council_pb2.Command(machine=LEVEL_COMMAND_TARGET, body=b"%d" % (record.level + 1)),
                    lambda result: self.said("level", {"record_level": result.body.decode()}),
                )

    # The folder.

    def _write(self) -> None:
        while True:
            while not self._writes:
                self._ink.wait()
            writes = [self._writes.popleft() for _ in range(min(len(self._writes), TOGETHER_MOST))]
            try:
                self.store.write(writes)
            except FennelwindError as exc:
                self.said("cannot write", exc.told())
                self.counts["failed writes"] += 1
                self.post(WriteFailed(writes[0].number, isinstance(exc, DiskFull)))
                self._write_again(isinstance(exc, DiskFull))
            else:
                self.post(WriteCompleted(writes[-1].number))

    def _write_again(self, full: bool) -> None:
        """Wait until the folder takes writes; what was asked for behind a failed one counts for nothing."""
        waits = Waits(self.random, OPEN_FIRST_MS, OPEN_MOST_MS)
        while True:
            self.loop.sleep(waits.next())
            try:
                durable = self.store.reopen(*(self._compact() if full else (None, b"")))
                break
            except FennelwindError:
                self.counts["still cannot write"] += 1
        self._writes.clear()
        self.said("can write again", {"entries": len(durable.entries)})
        self.post(StorageRecovered(durable))

    def _compact(self) -> tuple[council_pb2.SnapshotHead | None, bytes]:
        """Return a snapshot of what is agreed and applied, which makes room in place of a long log."""
        record, log = self.state.record, self.core.log
        term = log.term(record.index)
        if not record.index or term is None:
            return None, b""
        data = record.snapshot()
        return make_snapshot_head(
            record.index, term, record.clock_ms, log.configuration_at(record.index).members, data
        ), data

    def _look_for_room(self) -> None:
        short = False
        while True:
            self.loop.sleep(ROOM_MS)
            was, short = short, self.store.room_short()
            if short and not was:
                self.said("room is short", {})
                self.post(DiskSpaceLow())


def _refusal(answer: ProposalOutcome | ReadOutcome) -> Result:
    return Result(refusal=answer.refusal, leader=answer.leader, again_ms=getattr(answer, "retry_after_ms", 0))
