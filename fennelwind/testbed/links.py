"""How each way between two parties is at a time; what relays and the virtual network both ask. No I/O."""

from bisect import bisect_right
from dataclasses import dataclass

from fennelwind.loop.sim_network import FOREVER, Path
from fennelwind.testbed import day_pb2 as pb


@dataclass(slots=True, frozen=True)
class LinkFault:
    """A fault on all ways from some parties to others."""

    kind: int  # a kind of `day_pb2.Fault`
    at_ms: float
    until_ms: float
    source: frozenset[str]
    target: frozenset[str]
    both_ways: bool = False
    delay_ms: float = 0.0
    share: float = 0.0
    lost: float = 0.0
    twice: float = 0.0
    swapped: float = 0.0
    bytes_per_s: float = 0.0

    def holds(self, now: float) -> bool:
        """Tell whether it is on."""
        return self.at_ms <= now < self.until_ms

    def between(self, source: str, target: str) -> bool:
        """Tell whether it is on the way from one party to the other."""
        return (
            source in self.source
            and target in self.target
            or self.both_ways
            and target in self.source
            and source in self.target
        )


@dataclass(slots=True, frozen=True)
class Distances:
    """The way's time without faults."""

    zones: dict[str, str]  # of the parties; those in none are near to all
    same_ms: float
    cross_ms: float
    jitter: float

    def delay(self, source: str, target: str) -> float:
        """Return the time one way, in ms."""
        a, b = self.zones.get(source), self.zones.get(target)
        return self.same_ms if a is None or b is None or a == b else self.cross_ms


class Links:
    """All ways, with the faults on them by time."""

    def __init__(self, distances: Distances, faults: tuple[LinkFault, ...]) -> None:
        self.distances, self.faults = distances, faults
        self.changes = sorted({time for fault in faults for time in (fault.at_ms, fault.until_ms)})
        self._until = 0.0
        self._active: tuple[LinkFault, ...] = ()
        self._paths: dict[tuple[str, str], Path] = {}

    def next_change(self, now: float) -> float:
        """Return when any way changes next; infinite if never."""
        place = bisect_right(self.changes, now)
        return self.changes[place] if place < len(self.changes) else FOREVER

    def path(self, now: float, source: str, target: str) -> Path:
        """Return how the way is, by the parties' names; times must not go back."""
        if now >= self._until:
            self._until = self.next_change(now)
            self._active = tuple(fault for fault in self.faults if fault.holds(now))
            self._paths.clear()
        path = self._paths.get((source, target))
        if path is None:
            path = self._paths[source, target] = self._look(source, target)
        return path

    def _look(self, source: str, target: str) -> Path:
        path = Path(self.distances.delay(source, target), self.distances.jitter)
        for fault in self._active:
            if fault.between(source, target):
                path = _with(path, fault)
        return path


def _with(path: Path, fault: LinkFault) -> Path:
    """Return the way with one more fault on it; of two of a kind the worse holds."""
    match fault.kind:
        case pb.Fault.CUT:
            return path._replace(cut=True)
        case pb.Fault.RESET:
            return path._replace(refused=True)
        case pb.Fault.STALL:
            return path._replace(stalled=True)
        case pb.Fault.DELAY:
            return path._replace(
                delay_ms=path.delay_ms + fault.delay_ms, jitter=max(path.jitter, fault.share)
            )
        case pb.Fault.LOSSY:
            return path._replace(
                lost=max(path.lost, fault.lost),
                twice=max(path.twice, fault.twice),
                swapped=max(path.swapped, fault.swapped),
            )
        case pb.Fault.RATE:
            rate = fault.bytes_per_s / 1000.0
            return path._replace(bytes_per_ms=min(path.bytes_per_ms or rate, rate))
    raise ValueError(f"{fault.kind} is no fault of a link")
