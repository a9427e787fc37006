"""The roll on the record: which controllers may send queries, so that nobody is forgotten who could.

A controller signs on at its start and renews. One that falls silent stays on the roll for `FORGET_MS` of the
record's clock, as it goes on serving queries without the council; while it is there, nothing is cleared
without its word. A restart is another number; the number before it stays until it is forgotten.

The roll counts only once it has been there for `FORGET_MS` itself: until then controllers that run already
may not have signed on. Where it is full, the same time passes anew after each one that found no place.
"""

from dataclasses import dataclass, replace

from google.protobuf.message import DecodeError

from fennelwind.quiescence import clearance_pb2 as pb
from fennelwind.raft.state_machine import At, Facts, UnreadableCommandError

FORGET_MS = 120_000  # ms of silence; as long as a copy that leaves may be waited for in all (60 s twice)
ROLL_MOST = 4096  # numbers at once; two hundred controllers, each begun anew twenty times within FORGET_MS
NAME_MOST = 64  # letters of a controller's name, as in the settings
SINCE = 2  # the record's level from which on there is a roll, and copies may go when cleared

Answer = pb.RollAnswer


@dataclass(slots=True, frozen=True)
class OnRoll:
    """One life of a controller."""

    name: str
    routes: bool
    heard_ms: int  # the record's clock at its last command


class RollMachine:
    """The machine `roll` of the record."""

    name, kinds, since = "roll", (), SINCE
    forget_ms = FORGET_MS  # the same on all controllers, so no setting; plays have a shorter one

    def __init__(self) -> None:
        self.lives: dict[int, OnRoll] = {}
        self.sure_ms = 0  # from when on the roll is complete; 0: nobody has signed on yet
        self.revision = 0  # the entry that last changed who is on it

    def apply(self, at: At, command: bytes, facts: Facts) -> bytes:
        """Carry a command out. Raises `UnreadableCommandError`."""
        try:
            told = pb.RollCommand.FromString(command)
        except DecodeError as exc:
            raise UnreadableCommandError(str(exc)) from exc
        what = told.WhichOneof("what")
        if what == "sign_on":
            answer = self._sign_on(told.sign_on, at)
        elif what == "renew":
            answer = self._renew(told.renew, at)
        else:
            raise UnreadableCommandError("a command of no kind")
        return answer.SerializeToString(deterministic=True)

    def _sign_on(self, told: pb.SignOn, at: At) -> pb.RollAnswer:
        if not 0 < len(told.name) <= NAME_MOST:
            return Answer(refusal=Answer.BAD)
        full = len(self.lives) >= ROLL_MOST
        if full or not self.sure_ms:
            self.sure_ms = at.clock_ms + self.forget_ms
        self.revision = at.index
        if full:
            return Answer(refusal=Answer.TOO_MANY)
        self.lives[at.index] = OnRoll(told.name, told.routes, at.clock_ms)
        return Answer(number=at.index)

    def _renew(self, told: pb.Renew, at: At) -> pb.RollAnswer:
        life = self.lives.get(told.number)
        if life is None:
            return Answer(refusal=Answer.GONE)
        self.lives[told.number] = replace(life, heard_ms=at.clock_ms)
        return Answer(number=told.number)

    def sure(self, clock_ms: int) -> bool:
        """Tell whether all who may send have had the time to sign on."""
        return 0 < self.sure_ms <= clock_ms

    def pass_time(self, at: At) -> None:
        """Forget who was silent for so long that no wait of today's is longer."""
        for number in [n for n, life in self.lives.items() if life.heard_ms + self.forget_ms <= at.clock_ms]:
            del self.lives[number]
            self.revision = at.index

    def due(self) -> int | None:
        """Return when the next one is forgotten."""
        return min((life.heard_ms + self.forget_ms for life in self.lives.values()), default=None)

    def fact(self, kind: str, key: str) -> int:
        """Tell nothing."""
        return 0

    def snapshot(self) -> bytes:
        """Return its state; equal states give equal bytes."""
        state = pb.RollState(sure_ms=self.sure_ms, revision=self.revision)
        for number, life in sorted(self.lives.items()):
            state.lives.add(number=number, name=life.name, routes=life.routes, heard_ms=life.heard_ms)
        return state.SerializeToString(deterministic=True)

    def restore(self, data: bytes) -> None:
        """Take a state in place of its own."""
        state = pb.RollState.FromString(data)
        self.lives = {each.number: OnRoll(each.name, each.routes, each.heard_ms) for each in state.lives}
        self.sure_ms, self.revision = state.sure_ms, state.revision
