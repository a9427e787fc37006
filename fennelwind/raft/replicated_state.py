"""The agreed state: the machines together, and which commands of which client are done.

A client is opened on the record and gets a number from it; a number that the record doesn't know, or no
longer, is refused, so that a command is never done twice for having been forgotten.

Members of two versions make the same state, as the record has a level: of a machine that came with a later
level nothing is done and nothing kept, by a version that knows it no more than by one that doesn't. The level
is raised by a command, by one, once all members have said that they know the next one, and never lowered.
"""

from collections.abc import Iterable

from fennelwind.raft import council_pb2 as pb
from fennelwind.raft.state_machine import LogPosition, StateMachine, UnreadableCommandError

MAX_CLIENTS = 4096  # clients remembered; the one that was quiet for longest goes first
MAX_RETAINED_RESULTS = 64  # answers kept for one client; it may have as many commands under way
LEVEL = 2  # that this version knows; a new machine, or command of an old one, comes with the next
LEVEL_COMMAND_TARGET = "record"  # the machine that a command to raise the level names
MAX_COMMAND_BYTES = 256 * 1024  # bytes of one command's body; what is larger is cut into several by who asks


class _ClientSession:
    __slots__ = ("heard", "last_index", "kept")

    def __init__(self, last_index: int) -> None:
        self.heard, self.last_index = 0, last_index
        self.kept: dict[int, bytes] = {}  # results by number


class ReplicatedState:
    """What all entries up to `index` have made."""

    def __init__(self, machines: Iterable[StateMachine], supported_level: int = LEVEL) -> None:
        self.supported_level = supported_level  # the level that this version knows
        self.level = 1  # a command's result may rest on it, as on all that the record says
        self.known_machines = {machine.name: machine for machine in machines}  # that this version knows
        self.machines: dict[str, StateMachine] = {}  # those of the level
        self._fact_providers: dict[str, StateMachine] = {}
        self._set_level(1)
        self.index = self.clock_ms = 0
        self._clients: dict[int, _ClientSession] = {}  # in the order in which they were last heard

    def apply(self, entry: pb.Entry) -> pb.Result:
        """Carry an entry out; return what became of its command."""
        self.index, self.clock_ms = entry.index, max(self.clock_ms, entry.clock_ms)
        at = LogPosition(self.index, self.clock_ms)
        for name in sorted(self.machines):
            due = self.machines[name].next_expiry_clock_ms()
            if due is not None and due <= self.clock_ms:
                self.machines[name].expire_due(at)
        if entry.WhichOneof("what") != "command":
            return pb.Result(index=at.index)
        return self._command(at, entry.command)

    def _set_level(self, level: int) -> None:
        self.level = level
        self.machines = {
            name: machine
            for name, machine in self.known_machines.items()
            if getattr(machine, "since", 1) <= level
        }
        self._fact_providers = {kind: machine for machine in self.machines.values() for kind in machine.kinds}

    def next_expiry_clock_ms(self) -> int | None:
        """Return when something lapses next, on the record's clock; None: never."""
        return min(
            (due for m in self.machines.values() if (due := m.next_expiry_clock_ms()) is not None),
            default=None,
        )

    def fact(self, kind: str, key: str) -> int:
        """Return what the machine says that tells of this kind; 0 if none does. `level`: the record's."""
        if kind == "level":
            return self.level
        provider = self._fact_providers.get(kind)
        return provider.fact(kind, key) if provider is not None else 0

    def _raise_level(self, at: LogPosition, body: bytes) -> pb.Result:
        """Raise the level by one; asked again, or for another, nothing is done."""
        if body == b"%d" % (self.level + 1):
            self._set_level(self.level + 1)
        return pb.Result(body=b"%d" % self.level, index=at.index)

    def _command(self, at: LogPosition, command: pb.Command) -> pb.Result:
        if command.machine == LEVEL_COMMAND_TARGET:
            return self._raise_level(at, command.body)
        if not command.client:
            while len(self._clients) >= MAX_CLIENTS:
                del self._clients[next(iter(self._clients))]
            self._clients[at.index] = _ClientSession(at.index)
            return pb.Result(index=at.index)
        client = self._clients.pop(command.client, None)
        if client is None:
            return pb.Result(refusal=pb.Result.CLIENT_GONE, index=at.index)
        self._clients[command.client] = client
        client.last_index = at.index
        client.heard = max(client.heard, command.heard)
        for number in [n for n in client.kept if n <= client.heard]:
            del client.kept[number]
        if command.number in client.kept:
            return pb.Result.FromString(client.kept[command.number])
        if command.number <= client.heard:
            return pb.Result(refusal=pb.Result.NUMBER_GONE, index=at.index)
        if len(client.kept) >= MAX_RETAINED_RESULTS:
            return pb.Result(refusal=pb.Result.TOO_MANY, index=at.index)
        result = self._done(at, command)
        client.kept[command.number] = result.SerializeToString(deterministic=True)
        return result

    def _done(self, at: LogPosition, command: pb.Command) -> pb.Result:
        machine = self.machines.get(command.machine)
        if machine is None:
            return pb.Result(refusal=pb.Result.NO_MACHINE, index=at.index)
        if len(command.body) > MAX_COMMAND_BYTES:
            return pb.Result(refusal=pb.Result.TOO_LARGE, index=at.index)
        try:
            return pb.Result(body=machine.apply(at, command.body, self), index=at.index)
        except UnreadableCommandError as exc:
            return pb.Result(refusal=pb.Result.UNREADABLE, index=at.index, text=str(exc))

    def snapshot(self) -> bytes:
        """Return all state; equal states give equal bytes."""
        state = pb.RecordState(index=self.index, clock_ms=self.clock_ms, level=self.level)
        for number, client in self._clients.items():  # their order is state as well: who is forgotten next
            kept = [pb.RecordState.Kept(number=n, result=r) for n, r in sorted(client.kept.items())]
            state.clients.add(client=number, heard=client.heard, last_index=client.last_index, kept=kept)
        for name in sorted(self.machines):
            state.parts.add(machine=name, state=self.machines[name].snapshot())
        return state.SerializeToString(deterministic=True)

    def restore(self, data: bytes) -> None:
        """Take a snapshot's state in place of its own."""
        state = pb.RecordState.FromString(data)
        self.index, self.clock_ms = state.index, state.clock_ms
        self._set_level(max(state.level, 1))
        self._clients = {}
        for told in state.clients:
            client = self._clients[told.client] = _ClientSession(told.last_index)
            client.heard = told.heard
            client.kept = {kept.number: kept.result for kept in told.kept}
        parts = {part.machine: part.state for part in state.parts}
        for name, machine in self.known_machines.items():
            machine.restore(parts.get(name, b""))
