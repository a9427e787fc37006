"""Records what passes the far ends of a controller's connections: bytes with their times, and ends."""

from collections.abc import Callable
from dataclasses import dataclass, field

IN, OUT, END = "in", "out", "end"


@dataclass(slots=True)
class Wire:
    """One connection, seen from the end that is not the controller's."""

    who: str  # "client", "discovery", or an engine's name
    opened: float
    pieces: list[tuple[float, str, bytes]] = field(default_factory=list)  # time, IN, OUT or END, bytes


class Recorder:
    """Keeps all wires; `wrap` puts itself around a stream."""

    def __init__(self, now: Callable[[], float]) -> None:
        self.now = now
        self.wires: list[Wire] = []

    def wrap(self, stream, who: str) -> "Tap":
        """Return the stream with a tap on it."""
        wire = Wire(who, self.now())
        self.wires.append(wire)
        return Tap(stream, wire, self.now)


class Tap:
    """A stream that notes what passes: written bytes when they are handed on, read ones when they came."""

    def __init__(self, stream, wire: Wire, now: Callable[[], float]) -> None:
        self.stream, self.wire, self.now, self.peer = stream, wire, now, stream.peer

    def read(self, *most: int) -> bytes:
        try:
            data = self.stream.read(*most)
        except OSError:
            self._end()
            raise
        if data:
            self.wire.pieces.append((self.now(), IN, data))
        else:
            self._end()
        return data

    def write(self, data: bytes, within_ms: float | None = None) -> None:
        self.wire.pieces.append((self.now(), OUT, bytes(data)))
        try:
            self.stream.write(data, within_ms)
        except OSError:
            self._end()
            raise

    def broken(self) -> bool:
        return self.stream.broken()

    def close(self) -> None:
        self._end()
        self.stream.close()

    def abort(self) -> None:
        self._end()
        self.stream.abort()

    def _end(self) -> None:
        if not self.wire.pieces or self.wire.pieces[-1][1] != END:
            self.wire.pieces.append((self.now(), END, b""))
