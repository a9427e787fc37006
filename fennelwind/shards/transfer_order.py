"""The order in which transfers may begin, so that headroom holds at every moment, without I/O.

Transfers are put one behind the other. For each, room is counted as if all that were listed before it for the
same engine had begun, and nothing had left but what it waits for. So whatever is begun as soon as it may be,
in whatever parallel, no engine's headroom is crossed: of those that have begun on an engine the last one
listed waited for enough space for all of them.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from fennelwind.shards.constraints import READING, View, span_wanted, takes
from fennelwind.shards.model import Migration

Pair = tuple[str, str]  # shard, engine
THREADED = 12  # transfers up to which all orders are looked for: at most 4096 sets of them


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
    drops: Iterable[Pair] = ()  # copies that go without a move
    moves: list[Migration] = field(default_factory=list)
    room: dict[str, int] = field(default_factory=dict)  # bytes, all listed begun and nothing gone
    leaves: dict[str, list[tuple[int, int | Pair]]] = field(
        default_factory=dict
    )  # size, by which move or drop
    given: dict[str, int] = field(default_factory=dict)  # bytes that have left when all listed are done
    have: dict[str, dict[str, int]] = field(
        default_factory=dict
    )  # shard: engine: by which move, 0: from the start
    readers: dict[Pair, list[int]] = field(default_factory=dict)  # moves that read a copy
    reads: dict[str, int] = field(default_factory=dict)  # moves that read from an engine
    listed: dict[str, list[int]] = field(default_factory=dict)  # moves of a shard

    def __post_init__(self) -> None:
        view = self.view
        for engine, used in view.used.items():
            self.room[engine] = view.limit[engine] - used
            self.leaves[engine], self.given[engine], self.reads[engine] = [], 0, 0
        for pair in sorted({*view.going, *self.drops}):
            self._leave(pair[1], view.world.shards[pair[0]].size, pair)
            self.sources(pair[0]).pop(pair[1], None)
        for number, move in sorted(view.kept.items()):
            self._go_on(number, move)

    def _leave(self, engine: str, size: int, by: int | Pair) -> None:
        self.leaves[engine].append((size, by))
        self.given[engine] += size

    def _go_on(self, number: int, move: Migration) -> None:
        """List a move that is there already."""
        have = self.sources(move.shard)
        if move.step == "planned":
            self.room[move.target] -= self.view.world.shards[move.shard].size
        if move.step != "switched":
            have[move.target] = number
        if move.source in self.reads and move.step in READING:
            self.reads[move.source] += 1
            self.readers.setdefault((move.shard, move.source), []).append(number)
        if number in self.view.keeps:
            if move.drops in self.room:
                have.setdefault(move.drops, 0)
        elif freed := self.view.released(move):
            self._leave(move.drops, freed, number)
            have.pop(move.drops, None)
        self.listed.setdefault(move.shard, []).append(number)

    def sources(self, shard: str) -> dict[str, int]:
        """Return the engines from which the shard can be read behind what is listed."""
        if shard not in self.have:
            self.have[shard] = dict.fromkeys(sorted(self.view.now[shard]), 0)
        return self.have[shard]

    def free_at_end(self, engine: str) -> int:
        """Return the bytes that are free when all that is listed is done."""
        return self.room[engine] + self.given[engine]

    def add(self, transfer: Transfer) -> Migration | None:
        """List a transfer behind the others; none where the space or a source is missing."""
        world, view = self.view.world, self.view
        shard, target, drops = transfer.shard, transfer.target, transfer.drops
        size, have, homes = world.shards[shard].size, self.sources(shard), world.homes
        if not have or self.free_at_end(target) < size:
            return None
        zones = span_wanted(world.shards[shard])
        if drops in have and view.span(set(have) - {drops} | {target}) < min(zones, view.span(set(have))):
            return None
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
        after, cleared = {have[source]} - {0}, set()
        lacking = size - self.room[target]
        for part, by in self.leaves[target]:
            if (shard, target) == by:  # the same shard's older copy there
                cleared.add(by)
                lacking -= part
        for part, by in self.leaves[target]:
            if lacking <= 0:
                break
            if isinstance(by, int):
                after.add(by)
            elif by not in cleared:
                cleared.add(by)
            else:
                continue
            lacking -= part
        for other in self.listed.get(shard, ()):  # the same shard went from there by a move before
            move = view.kept[other] if other in view.kept else self.moves[other - self.first]
            if move.drops == target:
                after.add(other)
        if drops:
            after.update(self.readers.get((shard, drops), ()))
            if drops in have:
                after.update({have[drops]} - {0})
                if zones > 1:  # one swap at a time, so that no two together take a zone away
                    after.update(self.listed.get(shard, ()))
            self._leave(drops, size, number)
        move = Migration(
            number, shard, source, target, drops, after=tuple(sorted(after)), cleared=tuple(sorted(cleared))
        )
        self.moves.append(move)
        self.room[target] -= size
        self.readers.setdefault((shard, source), []).append(number)
        self.reads[source] += 1
        self.listed.setdefault(shard, []).append(number)
        have[target] = number
        have.pop(drops, None)
        return move


def arrange(sequence: Sequence, transfers: list[Transfer]) -> list[Transfer]:
    """List the transfers as far as space allows, cycles by a third engine; return the rest.

    What frees a crowded engine goes first, what frees none last: the other way round a transfer may take the
    room that the one needs for whose space it could have waited.
    """
    shards = sequence.view.world.shards
    pending = sorted(
        transfers,
        key=lambda one: (
            not one.drops,
            sequence.free_at_end(one.drops) if one.drops else 0,
            -shards[one.shard].size,
            one.shard,
            one.target,
        ),
    )
    if len(pending) <= THREADED:
        pending = _thread(sequence, pending)
    aside: set[str] = set()  # shards that went by a third engine: once each
    while pending:
        later = [one for one in pending if sequence.add(one) is None]
        if len(later) == len(pending):
            later = _aside(sequence, pending, aside)
            if later is None:
                return pending
        pending = later
    return []


def _thread(sequence: Sequence, pending: list[Transfer]) -> list[Transfer]:
    """Return the transfers in an order in which each finds its space, as many as can be; then the rest.

    What room there is depends on which were listed, not in which order; so each set is looked at once.
    """
    world = sequence.view.world
    sizes = [world.shards[one.shard].size for one in pending]
    best: list[int] = []
    seen: set[int] = set()
    stack: list[tuple[int, tuple[int, ...]]] = [(0, ())]
    while stack:
        done, way = stack.pop()
        if done in seen:
            continue
        seen.add(done)
        if len(way) > len(best):
            best = list(way)
            if len(best) == len(pending):
                break
        room = {one.target: sequence.free_at_end(one.target) for one in pending}
        for number in way:
            one = pending[number]
            room[one.target] -= sizes[number]
            if one.drops in room:
                room[one.drops] += sizes[number]
        stack += [
            (done | 1 << number, (*way, number))
            for number in range(len(pending) - 1, -1, -1)
            if not done >> number & 1 and sizes[number] <= room[pending[number].target]
        ]
    return [pending[number] for number in best] + [
        one for number, one in enumerate(pending) if number not in best
    ]


def _aside(sequence: Sequence, pending: list[Transfer], aside: set[str]) -> list[Transfer] | None:
    """Take a copy that stands in the way to a third engine, the smallest that helps."""
    view = sequence.view
    world, targets = view.world, {one.target for one in pending}
    for index, one in sorted(
        enumerate(pending), key=lambda pair: (world.shards[pair[1].shard].size, pair[1].shard)
    ):
        if one.drops not in targets or one.shard in aside:
            continue
        have, shard = set(sequence.sources(one.shard)), world.shards[one.shard]
        for engine in sorted(sequence.room, key=lambda name: (-sequence.free_at_end(name), name)):
            rest = have - {one.drops} | {engine}
            if (
                takes(world.homes[engine], shard)
                and engine not in view.holders[one.shard]
                and engine not in have
                and engine not in (one.target, one.drops)
                and view.span(rest) >= min(span_wanted(shard), view.span(have))
                and sequence.add(replace(one, target=engine))
            ):
                aside.add(one.shard)
                return [*pending[:index], replace(one, drops=engine), *pending[index + 1 :]]
    return None
