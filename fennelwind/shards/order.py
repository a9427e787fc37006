"""The order in which transfers may begin, so that headroom holds at every moment, without I/O.

Transfers are put one behind the other. For each, room is counted as if all that were listed before it for
the same engine had begun, and nothing had left but what it waits for. So whatever is begun as soon as it
may be, in whatever parallel, no engine's headroom is crossed: of those that have begun on an engine the
last one listed waited for enough space for all of them.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from fennelwind.shards.needs import View, span_wanted, takes
from fennelwind.shards.state import Move


@dataclass(slots=True, frozen=True)
class Transfer:
    """A copy that has to come in, and the one that goes for it, if any."""

    shard: str
    target: str
    drops: str = ""


@dataclass(slots=True)
class Sequence:
    """Moves that have been listed, and what each engine then has."""

    view: View
    first: int  # number of the first new move
    moves: list[Move] = field(default_factory=list)
    room: dict[str, int] = field(
        default_factory=dict
    )  # bytes when all listed have begun and nothing has left
    leaves: dict[str, list[tuple[int, int | tuple[str, str]]]] = field(
        default_factory=dict
    )  # size, by what
    given: dict[str, int] = field(default_factory=dict)  # bytes that leave when all listed are done
    have: dict[str, dict[str, int]] = field(
        default_factory=dict
    )  # shard: engine: by which move, 0: from the start
    readers: dict[tuple[str, str], list[int]] = field(default_factory=dict)  # moves that read a copy
    reads: dict[str, int] = field(default_factory=dict)  # moves that read from an engine

    def __post_init__(self) -> None:
        view = self.view
        for engine, used in view.used.items():
            self.room[engine] = view.limit[engine] - used
            self.leaves[engine], self.given[engine], self.reads[engine] = [], 0, 0
        for number, move in sorted(view.kept.items()):
            self._go_on(number, move)

    def _go_on(self, number: int, move: Move) -> None:
        """List a move that is there already."""
        world = self.view.world
        if move.shard not in world.shards:
            return
        size, have = world.shards[move.shard].size, self.sources(move.shard)
        if move.step == "planned":
            self.room[move.target] -= size
        if move.step != "switched":
            have[move.target] = number
        if move.source in self.reads and move.step in ("planned", "reserved", "copying"):
            self.reads[move.source] += 1
            self.readers.setdefault((move.shard, move.source), []).append(number)
        if (
            move.drops in self.room
            and move.drops in self.view.holds[move.shard]
            and number not in self.view.keeps
        ):
            self.leaves[move.drops].append((size, number))
            self.given[move.drops] += size
            have.pop(move.drops, None)

    def sources(self, shard: str) -> dict[str, int]:
        """Return the engines from which the shard can be read behind what is listed."""
        if shard not in self.have:
            self.have[shard] = dict.fromkeys(sorted(self.view.now[shard]), 0)
        return self.have[shard]

    def clear(self, shard: str, engine: str) -> None:
        """List a copy that is dropped without a move."""
        size = self.view.world.shards[shard].size
        self.leaves[engine].append((size, (shard, engine)))
        self.given[engine] += size
        self.sources(shard).pop(engine, None)

    def fits(self, shard: str, engine: str) -> bool:
        """Return whether the engine has space for the shard when all that is listed is done."""
        return self.room[engine] + self.given[engine] >= self.view.world.shards[shard].size

    def add(self, transfer: Transfer, cleared: Iterable[tuple[str, str]] = ()) -> Move | None:
        """List a transfer behind the others; none where the space or a source is missing."""
        world = self.view.world
        size, have = world.shards[transfer.shard].size, self.sources(transfer.shard)
        target, drops = transfer.target, transfer.drops
        if not have or not self.fits(transfer.shard, target):
            return None
        homes = world.homes
        source = min(
            have,
            key=lambda engine: (
                have[engine] != 0,
                homes[engine].zone != homes[target].zone,
                self.reads[engine],
                engine,
            ),
        )
        number = self.first + len(self.moves)
        after, gone = {have[source]} - {0}, set(cleared)
        lacking = size - self.room[target]
        for part, by in self.leaves[target]:
            if lacking <= 0:
                break
            (after if isinstance(by, int) else gone).add(by)
            lacking -= part
        if drops:
            after.update(self.readers.get((transfer.shard, drops), ()))
            if drops in have:
                after.update({have[drops]} - {0})
            self.leaves[drops].append((size, number))
            self.given[drops] += size
        move = Move(
            number,
            transfer.shard,
            source,
            target,
            drops,
            after=tuple(sorted(after)),
            cleared=tuple(sorted(gone)),
        )
        self.moves.append(move)
        self.room[target] -= size
        self.readers.setdefault((transfer.shard, source), []).append(number)
        self.reads[source] += 1
        have[target] = number
        have.pop(drops, None)
        return move


def arrange(sequence: Sequence, transfers: list[Transfer]) -> list[Transfer]:
    """List the transfers as far as space allows, cycles by a third engine; return the rest."""
    pending = list(transfers)
    while pending:
        later = [one for one in pending if sequence.add(one) is None]
        if len(later) == len(pending):
            later = _aside(sequence, later)
            if later is None:
                return pending
        pending = later
    return []


def _aside(sequence: Sequence, pending: list[Transfer]) -> list[Transfer] | None:
    """Take a copy that stands in the way to a third engine, the smallest that helps."""
    world = sequence.view.world
    targets = {one.target for one in pending}
    shards = world.shards
    for index, one in sorted(
        enumerate(pending), key=lambda pair: (shards[pair[1].shard].size, pair[1].shard)
    ):
        if not one.drops or one.drops not in targets:
            continue
        have = set(sequence.sources(one.shard))
        short = span_wanted(shards[one.shard])
        for engine in sorted(
            sequence.room, key=lambda name: (-sequence.room[name] - sequence.given[name], name)
        ):
            rest = have - {one.drops} | {engine}
            if (
                takes(world.homes[engine], shards[one.shard])
                and engine not in sequence.view.holds[one.shard]
                and engine not in have
                and engine not in (one.target, one.drops)
                and sequence.view.span(rest) >= min(short, sequence.view.span(have))
                and sequence.add(replace(one, target=engine))
            ):
                return [*pending[:index], replace(one, drops=engine), *pending[index + 1 :]]
    return None
