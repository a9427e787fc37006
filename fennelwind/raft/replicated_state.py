"""The replicated state: all state machines, and the client sessions that deduplicate commands.

A client opens a session with a command, whose result is the client number. Commands with an unknown or
expired client number are refused, so that a command is never applied twice because its session was forgotten.

Members that run different versions compute the same state, because the state has a level: all versions
ignore a state machine that was introduced at a later level, even the versions that know the machine. A
command raises the level by one, once all members have reported that they support the next level. The level
is never lowered.
"""

from collections.abc import Iterable

from fennelwind.raft import council_pb2 as pb
from fennelwind.raft.state_machine import LogPosition, StateMachine, UnreadableCommandError

MAX_CLIENTS = 4096  # client sessions; the least recently used one is dropped first
MAX_RETAINED_RESULTS = 64  # results kept per client; this limits the client's commands in flight
LEVEL = 2  # highest level that this version supports; a new state machine or command requires the next one
LEVEL_COMMAND_TARGET = "record"  # the target named by a command that raises the level
MAX_COMMAND_BYTES = 256 * 1024  # bytes of one command's body; clients split larger bodies


class _ClientSession:
    __slots__ = ("acknowledged", "last_index", "results")

    def __init__(self, last_index: int) -> None:
        self.acknowledged, self.last_index = 0, last_index  # the client has got results up to `acknowledged`
        self.results: dict[int, bytes] = {}  # serialized results by command number


class ReplicatedState:
    """The state after applying all entries up to `index`."""

    def __init__(self, machines: Iterable[StateMachine], supported_level: int = LEVEL) -> None:
        self.supported_level = supported_level  # the highest level that this version supports
        self.level = 1  # part of the state: results of commands may depend on it
        self.known_machines = {machine.name: machine for machine in machines}
        self.machines: dict[str, StateMachine] = {}  # the state machines enabled at the level
        self._fact_providers: dict[str, StateMachine] = {}
        self._set_level(1)
        self.index = self.clock_ms = 0
        self._clients: dict[int, _ClientSession] = {}  # least recently used first

    def apply(self, entry: pb.Entry) -> pb.Result:
        """Apply an entry; return the result of its command."""
        self.index, self.clock_ms = entry.index, max(self.clock_ms, entry.clock_ms)
        position = LogPosition(self.index, self.clock_ms)
        for name in sorted(self.machines):
            expiry_ms = self.machines[name].next_expiry_clock_ms()
            if expiry_ms is not None and expiry_ms <= self.clock_ms:
                self.machines[name].expire_due(position)
        if entry.WhichOneof("what") != "command":
            return pb.Result(index=position.index)
        return self._command(position, entry.command)

    def _set_level(self, level: int) -> None:
        self.level = level
        self.machines = {
            name: machine
            for name, machine in self.known_machines.items()
            if getattr(machine, "since", 1) <= level
        }
        self._fact_providers = {kind: machine for machine in self.machines.values() for kind in machine.kinds}

    def next_expiry_clock_ms(self) -> int | None:
        """Return when something expires next, on the replicated clock; None if nothing does."""
        return min(
            (due for m in self.machines.values() if (due := m.next_expiry_clock_ms()) is not None),
            default=None,
        )

    def fact(self, kind: str, key: str) -> int:
        """Return a fact by kind and key, 0 if no machine provides the kind; kind `level` gives the level."""
        if kind == "level":
            return self.level
        provider = self._fact_providers.get(kind)
        return provider.fact(kind, key) if provider is not None else 0

    def _raise_level(self, position: LogPosition, body: bytes) -> pb.Result:
        """Raise the level if the command names the next one; otherwise change nothing. Return the level."""
        if body == b"%d" % (self.level + 1):
            self._set_level(self.level + 1)
        return pb.Result(body=b"%d" % self.level, index=position.index)

    def _command(self, position: LogPosition, command: pb.Command) -> pb.Result:
        if command.machine == LEVEL_COMMAND_TARGET:
            return self._raise_level(position, command.body)
        if not command.client:
            while len(self._clients) >= MAX_CLIENTS:
                del self._clients[next(iter(self._clients))]
            self._clients[position.index] = _ClientSession(position.index)
            return pb.Result(index=position.index)
        session = self._clients.pop(command.client, None)
        if session is None:
            return pb.Result(refusal=pb.Result.CLIENT_GONE, index=position.index)
        self._clients[command.client] = session
        session.last_index = position.index
        session.acknowledged = max(session.acknowledged, command.heard)
        for number in [n for n in session.results if n <= session.acknowledged]:
            del session.results[number]
        if command.number in session.results:
            return pb.Result.FromString(session.results[command.number])
        if command.number <= session.acknowledged:
            return pb.Result(refusal=pb.Result.NUMBER_GONE, index=position.index)
        if len(session.results) >= MAX_RETAINED_RESULTS:
            return pb.Result(refusal=pb.Result.TOO_MANY, index=position.index)
        result = self._execute(position, command)
        session.results[command.number] = result.SerializeToString(deterministic=True)
        return result

    def _execute(self, position: LogPosition, command: pb.Command) -> pb.Result:
        machine = self.machines.get(command.machine)
        if machine is None:
            return pb.Result(refusal=pb.Result.NO_MACHINE, index=position.index)
        if len(command.body) > MAX_COMMAND_BYTES:
            return pb.Result(refusal=pb.Result.TOO_LARGE, index=position.index)
        try:
            return pb.Result(body=machine.apply(position, command.body, self), index=position.index)
        except UnreadableCommandError as exc:
            return pb.Result(refusal=pb.Result.UNREADABLE, index=position.index, text=str(exc))

    def snapshot(self) -> bytes:
        """Return the serialized state; equal states give equal bytes."""
        state = pb.RecordState(index=self.index, clock_ms=self.clock_ms, level=self.level)
        # The order of the sessions is part of the state: it determines which session is dropped next.
        for number, session in self._clients.items():
            results = [pb.RecordState.Kept(number=n, result=r) for n, r in sorted(session.results.items())]
            state.clients.add(
                client=number, heard=session.acknowledged, last_index=session.last_index, kept=results
            )
        for name in sorted(self.machines):
            state.parts.add(machine=name, state=self.machines[name].snapshot())
        return state.SerializeToString(deterministic=True)

    def restore(self, data: bytes) -> None:
        """Replace the state by a snapshot's."""
        state = pb.RecordState.FromString(data)
        self.index, self.clock_ms = state.index, state.clock_ms
        self._set_level(max(state.level, 1))
        self._clients = {}
        for saved in state.clients:
            session = self._clients[saved.client] = _ClientSession(saved.last_index)
            session.acknowledged = saved.heard
            session.results = {result.number: result.result for result in saved.kept}
        parts = {part.machine: part.state for part in state.parts}
        for name, machine in self.known_machines.items():
            machine.restore(parts.get(name, b""))
