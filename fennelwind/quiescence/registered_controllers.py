"""The replicated registry of all controllers that may send queries.

A controller registers when it starts and then renews its registration. If it falls silent, it stays
registered for `SILENCE_TIMEOUT_MS` of the replicated log's clock, because it continues to serve queries
without the Raft group; as long as it is registered, nothing counts as quiesced without its acknowledgement.
After a restart a controller registers under a new number; the old number stays until it times out.

The registry is complete only `SILENCE_TIMEOUT_MS` after its first registration: until then, controllers that
are already running may not have registered yet. When the registry is full, each rejected registration
restarts that period.
"""

from dataclasses import dataclass, replace

from google.protobuf.message import DecodeError

from fennelwind.quiescence import clearance_pb2 as pb
from fennelwind.raft.state_machine import Facts, LogPosition, UnreadableCommandError

SILENCE_TIMEOUT_MS = 120_000  # ms; as long as the longest total wait for a draining replica (60 s twice)
MAX_REGISTRATIONS = 4096  # enough for two hundred controllers, each restarted twenty times within the timeout
MAX_NAME_LENGTH = 64  # characters of a controller's name, as in the settings
MIN_LEVEL = 2  # first level of the log with a registry and with early drops of quiesced replicas


@dataclass(slots=True, frozen=True)
class RegisteredController:
    """One incarnation of a controller."""

    name: str
    can_withhold_queries: bool  # whether this controller can stop sending queries to a replica or engine
    heard_ms: int  # the log's clock at the controller's last command


class ControllerRegistry:
    """The replicated state machine `roll`; the Raft host applies its commands in log order."""

    name, kinds, since = "roll", (), MIN_LEVEL
    silence_timeout_ms = SILENCE_TIMEOUT_MS  # must be equal on all members, so no setting; tests shorten it

    def __init__(self) -> None:
        self.controllers: dict[int, RegisteredController] = {}  # by registration number
        self.complete_from_ms = 0  # 0 if no controller has registered yet
        self.revision = 0  # index of the entry that last added, rejected or removed a controller

    def apply(self, at: LogPosition, command: bytes, facts: Facts) -> bytes:
        """Apply a `RollCommand`; return a `RollAnswer`.

        Raises:
            UnreadableCommandError: the bytes are no `RollCommand`, or its kind is unknown.

        """
        try:
            parsed = pb.RollCommand.FromString(command)
        except DecodeError as exc:
            raise UnreadableCommandError(str(exc)) from exc
        kind = parsed.WhichOneof("what")
        if kind == "sign_on":
            answer = self._register(parsed.sign_on, at)
        elif kind == "renew":
            answer = self._renew(parsed.renew, at)
        else:
            raise UnreadableCommandError("a command of no kind")
        return answer.SerializeToString(deterministic=True)

    def _register(self, request: pb.SignOn, at: LogPosition) -> pb.RollAnswer:
        if not 0 < len(request.name) <= MAX_NAME_LENGTH:
            return pb.RollAnswer(refusal=pb.RollAnswer.BAD)
        is_full = len(self.controllers) >= MAX_REGISTRATIONS
        if is_full or not self.complete_from_ms:
            self.complete_from_ms = at.clock_ms + self.silence_timeout_ms
        self.revision = at.index
        if is_full:
            return pb.RollAnswer(refusal=pb.RollAnswer.TOO_MANY)
        self.controllers[at.index] = RegisteredController(request.name, request.routes, at.clock_ms)
        return pb.RollAnswer(number=at.index)

    def _renew(self, request: pb.Renew, at: LogPosition) -> pb.RollAnswer:
        controller = self.controllers.get(request.number)
        if controller is None:
            return pb.RollAnswer(refusal=pb.RollAnswer.GONE)
        self.controllers[request.number] = replace(controller, heard_ms=at.clock_ms)
        return pb.RollAnswer(number=request.number)

    def is_complete(self, clock_ms: int) -> bool:
        """Return whether all controllers that may send queries have had time to register."""
        return 0 < self.complete_from_ms <= clock_ms

    def expire_due(self, at: LogPosition) -> None:
        """Remove the controllers silent for `silence_timeout_ms`: no drain waits longer than that."""
        silent = [
            number
            for number, controller in self.controllers.items()
            if controller.heard_ms + self.silence_timeout_ms <= at.clock_ms
        ]
        for number in silent:
            del self.controllers[number]
            self.revision = at.index

    def next_expiry_clock_ms(self) -> int | None:
        """Return when, on the log's clock, the next controller is removed; None if none is registered."""
        return min(
            (controller.heard_ms + self.silence_timeout_ms for controller in self.controllers.values()),
            default=None,
        )

    def fact(self, kind: str, key: str) -> int:
        """Return 0: no other state machine reads facts of this one."""
        return 0

    def snapshot(self) -> bytes:
        """Return the whole state as bytes; equal states give equal bytes."""
        state = pb.RollState(sure_ms=self.complete_from_ms, revision=self.revision)
        for number, controller in sorted(self.controllers.items()):
            state.lives.add(
                number=number,
                name=controller.name,
                routes=controller.can_withhold_queries,
                heard_ms=controller.heard_ms,
            )
        return state.SerializeToString(deterministic=True)

    def restore(self, data: bytes) -> None:
        """Replace the state with that of a snapshot."""
        state = pb.RollState.FromString(data)
        self.controllers = {
            stored.number: RegisteredController(stored.name, stored.routes, stored.heard_ms)
            for stored in state.lives
        }
        self.complete_from_ms = state.sure_ms
        self.revision = state.revision
