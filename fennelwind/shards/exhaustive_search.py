"""The search for the cheapest way of a small world to its needs: places and order at once, without I/O.

For what the search of places alone can't put in order. A state is where each shard's good copies are, and
which doubtful ones are left; a step brings one copy in, and drops one of the same shard for it, or drops one
that is too many from the start. Each step keeps headroom, good copies and zones, so each path is an order.
A*: the cheapest first by what it has cost and the least that is still to be copied.
"""

import heapq
from collections.abc import Callable, Iterator, Mapping, Set
from dataclasses import dataclass
from itertools import combinations

from fennelwind.shards.constraints import span_wanted, takes, wanted
from fennelwind.shards.target_placement import Board
from fennelwind.shards.transfer_order import Sequence, Transfer

SEEN = 10  # states that are seen for each that is extended, at most
State = tuple[tuple[int, int], ...]  # by shard: engines with a good copy and with a doubtful one, as bits
Step = tuple[str, str, str]  # shard, engine that gets a copy, engine that loses one; "": none


@dataclass(slots=True)
class _Part:
    """A shard that may be moved, its engines as bits."""

    name: str
    size: int
    count: int
    zones: int
    fit: int  # engines that may hold a copy
    free: int  # of these, those where one may come in: no copy of an unknown state is there
    good: int  # engines with a good copy when what is under way has ended
    now: int  # of these, those that have it now
    firm: int  # and of these, those whose copy no move under way reads
    doubtful: int
    goals: tuple[int, ...] = ()  # places that meet what can be met
    lacks: int = 0  # copies and zones that are unmet even there


@dataclass(slots=True, frozen=True)
class Way:
    """Steps from the world as it is, the last one first, and where they lead."""

    unmet: int
    bytes: int
    state: State
    steps: tuple | None

    def split(self, doubtful: Mapping[str, Set[str]]) -> tuple[list[tuple[str, str]], list[Transfer]]:
        """Return the copies that go without a move, and the transfers in their order."""
        steps, rest = [], self.steps
        while rest:
            step, rest = rest
            steps.append(step)
        drops: list[tuple[str, str]] = []
        transfers: list[Transfer] = []
        for name, target, out in reversed(steps):
            if not target:
                drops.append((name, out))
                continue
            if target in doubtful[name] and not any((t.shard, t.target) == (name, target) for t in transfers):
                drops.append((name, target))  # it comes to the same engine anew
            transfers.append(Transfer(name, target, out))
        return drops, transfers


class Ways:
    """The states of one small world."""

    def __init__(self, board: Board, sequence: Sequence) -> None:
        """Make it; `sequence` holds what is under way and what goes by itself, and nothing else."""
        view = self.view = board.view
        self.engines = sorted(view.used)
        self.zone = [view.world.homes[engine].zone for engine in self.engines]
        self.spans: dict[int, int] = {}
        self.rooms = tuple(sequence.free_at_end(engine) for engine in self.engines)
        self.parts: list[_Part] = []
        for name, shard in sorted(view.world.shards.items()):
            if board.fixed(shard):
                continue
            held = view.holders[name] - view.replaced[name]
            read = {engine for one, engine in (*board.read, *view.clears) if one == name}
            fit = {engine for engine in self.engines if takes(view.world.homes[engine], shard)}
            doubtful = {e for e in view.doubtful[name] - view.good[name] if (name, e) not in view.clears}
            part = _Part(
                name,
                shard.size,
                wanted(shard),
                span_wanted(shard),
                self._bits(fit),
                self._bits(fit - (held - view.good[name])),
                self._bits(view.good[name]),
                self._bits(view.good[name] & view.now[name]),
                self._bits(view.good[name] & view.now[name] - read),
                self._bits(doubtful),
            )
            self._aim(part)
            self.parts.append(part)
        self.lacks = sum(part.lacks for part in self.parts)
        self._missing: dict[tuple[int, int], int] = {}
        self._unmet: dict[tuple[int, int], int] = {}
        self._options: dict[tuple[int, tuple[int, int]], list[tuple]] = {}

    def _bits(self, engines: set[str]) -> int:
        return sum(1 << number for number, engine in enumerate(self.engines) if engine in engines)

    def _numbers(self, mask: int) -> list[int]:
        return [number for number in range(len(self.engines)) if mask >> number & 1]

    def _span(self, mask: int) -> int:
        if mask not in self.spans:
            self.spans[mask] = len({self.zone[number] for number in self._numbers(mask)})
        return self.spans[mask]

    def _aim(self, part: _Part) -> None:
        fit = self._numbers(part.fit)
        some = [sum(1 << n for n in places) for places in combinations(fit, min(part.count, len(fit)))]
        most = max(min(part.zones, self._span(mask)) for mask in some)
        part.goals = tuple(mask for mask in some if min(part.zones, self._span(mask)) == most)
        part.lacks = max(0, part.count - len(fit)) + part.zones - most

    def missing(self, number: int, good: int) -> int:
        """Return the least bytes that a shard must still be given."""
        key = number, good
        if key not in self._missing:
            part = self.parts[number]
            self._missing[key] = part.size * min((goal & ~good).bit_count() for goal in part.goals)
        return self._missing[key]

    def unmet(self, number: int, good: int) -> int:
        """Return the copies and zones that a shard lacks."""
        key = number, good
        if key not in self._unmet:
            part, fit = self.parts[number], good & self.parts[number].fit
            self._unmet[key] = max(0, part.count - fit.bit_count()) + max(0, part.zones - self._span(fit))
        return self._unmet[key]

    def explore(self, least: int, states: int) -> Way | None:
        """Return the way with the least unmet, and then the least bytes, that so many states show."""
        return self._search(states, lambda unmet, rest, paid: (unmet, rest, paid), least, None)

    def cheapest(self, allowed: int, below: int | None, states: int) -> Way | None:
        """Return the cheapest way to so much unmet at most and under so many bytes; none: not found."""
        return self._search(states, None, allowed, below)

    def _search(self, states: int, eager: Callable | None, allowed: int, below: int | None) -> Way | None:
        most, spared = states, max(0, allowed - self.lacks) if eager is None else 0
        state: State = tuple((part.good, part.doubtful) for part in self.parts)
        serial, paid, best, found = 0, 0, {state: 0}, None
        heap = [((), 0, 0, state, self.rooms, None)]
        while heap and states > 0 and len(best) < SEEN * most:
            _, _, paid, state, rooms, way = heapq.heappop(heap)
            if paid > best[state]:
                continue
            states -= 1
            unmet = self._lacking(state, rooms)
            if found is None or (unmet, paid) < (found.unmet, found.bytes):
                found = Way(unmet, paid, state, way)
                if unmet <= allowed:
                    return found
            whole = self._rest(state, 0)
            for number, after, changed, step in self._next(state, rooms):
                cost = paid + (self.parts[number].size if step[1] else 0)
                then = (*state[:number], after, *state[number + 1 :])
                if cost >= best.get(then, cost + 1):
                    continue
                rest = (
                    self._rest(then, spared)
                    if spared
                    else (whole - self.missing(number, state[number][0]) + self.missing(number, after[0]))
                )
                if below is not None and cost + rest >= below:
                    continue
                best[then] = cost
                serial += 1
                key = (cost + rest, rest)
                if eager is not None:
                    key = eager(self._lacking(then, changed), rest, cost)
                heapq.heappush(heap, (key, -serial, cost, then, changed, (step, way)))
        return found if eager is not None else None

    def _lacking(self, state: State, rooms: tuple[int, ...]) -> int:
        """Return what is unmet, engines over their headroom among it."""
        over = sum(room < 0 for room in rooms)
        return over + sum(self.unmet(number, good) for number, (good, _) in enumerate(state))

    def _rest(self, state: State, spared: int) -> int:
        """Return the least bytes that are still to be copied if so many copies may be left out."""
        rests = [self.missing(number, good) for number, (good, _) in enumerate(state)]
        if not spared:
            return sum(rests)
        sizes = sorted(
            (
                part.size
                for part, rest in zip(self.parts, rests, strict=True)
                for _ in range(rest // part.size)
            ),
            reverse=True,
        )
        return sum(sizes[spared:])

    def _next(self, state: State, rooms: tuple[int, ...]) -> Iterator[tuple]:
        """Yield each step: the shard's number, where it is then, what room there is, and the step."""
        for number, place in enumerate(state):
            if (number, place) not in self._options:
                self._options[number, place] = list(self._steps(self.parts[number], *place))
            for target, least, out, size, after, step in self._options[number, place]:
                if target >= 0 and rooms[target] < least:
                    continue
                room = list(rooms)
                if target >= 0:
                    room[target] -= least
                if out >= 0:
                    room[out] += size
                yield number, after, tuple(room), step

    def _steps(self, part: _Part, good: int, doubtful: int) -> Iterator[tuple]:
        """Yield a shard's steps: where a copy comes, the bytes it takes, where one goes and its bytes, .."""
        for n in self._numbers((part.free | part.doubtful & part.fit) & ~good):
            size = 0 if doubtful >> n & 1 else part.size  # in place of a doubtful one
            more, left = good | 1 << n, doubtful & ~(1 << n)
            yield n, size, -1, 0, (more, left), (part.name, self.engines[n], "")
            least = min(part.zones, self._span(good))
            for out in self._numbers(good | left):
                stays = more & ~(1 << out)
                if self._span(stays) >= least:
                    yield (
                        n,
                        size,
                        out,
                        part.size,
                        (stays, left & ~(1 << out)),
                        (part.name, self.engines[n], self.engines[out]),
                    )
        if good & ~part.good:
            return  # copies that go without a move have to be spare from the start
        for out in self._numbers(good & part.firm | doubtful):
            if self._spare(part, good & part.now, out):
                yield (
                    -1,
                    0,
                    out,
                    part.size,
                    (good & ~(1 << out), doubtful & ~(1 << out)),
                    (part.name, "", self.engines[out]),
                )

    def _spare(self, part: _Part, now: int, out: int) -> bool:
        """Tell whether a copy may go at once, by those that are good already."""
        stays = now & ~(1 << out)
        if stays == now:  # a doubtful one: for that, all has to be met
            return (now & part.fit).bit_count() >= part.count and self._span(now & part.fit) >= part.zones
        return stays.bit_count() >= part.count and self._span(stays) >= min(part.zones, self._span(now))

    def places(self, state: State) -> dict[str, frozenset[str]]:
        """Return where the good copies that count are, by shard."""
        return {
            part.name: frozenset(self.engines[n] for n in self._numbers(good & part.fit))
            for part, (good, _) in zip(self.parts, state, strict=True)
        }
