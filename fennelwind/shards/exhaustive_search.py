"""Search for the cheapest plan of a small world: placement and order together. No I/O.

It is for worlds whose cheapest placement can't be ordered. A state is where each shard's good replicas are
and which doubtful ones remain. A step creates one replica and may drop one of the same shard for it, or drops
one that is surplus from the start. Each step keeps headroom, good replicas and zones, so each path is a valid
order. The search is A*: the cheapest first by the cost so far plus the least bytes still to be copied.
"""

import heapq
from collections.abc import Callable, Iterator, Mapping, Set
from dataclasses import dataclass
from itertools import combinations

from fennelwind.shards.constraints import accepts_replica, replication_factor, required_zones
from fennelwind.shards.target_placement import Placement
from fennelwind.shards.transfer_order import Sequence, Transfer

MAX_SEEN_PER_STATE = 10  # states seen for each state expanded, at most
# by shard: bit masks of the engines with a good and with a doubtful replica
State = tuple[tuple[int, int], ...]
Step = tuple[str, str, str]  # shard, engine that gets a replica, engine that loses one; "": none


@dataclass(slots=True)
class _Part:
    """A shard that may be changed; engines are bits."""

    name: str
    size: int
    count: int
    zones: int
    fit: int  # engines that may hold a replica
    free: int  # of these, those that may receive one: they have no replica of another state
    good: int  # engines with a good replica when running migrations have ended
    now: int  # of these, those that have it now
    firm: int  # of these, those whose replica no running migration reads
    doubtful: int
    goals: tuple[int, ...] = ()  # places that meet all needs that can be met
    lacks: int = 0  # replicas and zones that are unmet even there


@dataclass(slots=True, frozen=True)
class Path:
    """Steps from the initial state, the last one first, and the state that they lead to."""

    unmet: int
    bytes: int
    state: State
    steps: tuple | None

    def drops_and_transfers(
        self, doubtful: Mapping[str, Set[str]]
    ) -> tuple[list[tuple[str, str]], list[Transfer]]:
        """Return the replicas dropped without a migration, and the transfers in their order."""
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
                drops.append((name, target))  # copied again to the same engine
            transfers.append(Transfer(name, target, out))
        return drops, transfers


class PathSearch:
    """The states of one small world."""

    def __init__(self, placement: Placement, sequence: Sequence) -> None:
        """Prepare the search; `sequence` holds running migrations and their drops, and nothing else."""
        view = self.view = placement.view
        self.engines = sorted(view.used)
        self.zone = [view.world.homes[engine].zone for engine in self.engines]
        self.spans: dict[int, int] = {}
        self.free_at_start = tuple(sequence.free_at_end(engine) for engine in self.engines)
        self.parts: list[_Part] = []
        for name, shard in sorted(view.world.shards.items()):
            if placement.is_pinned(shard):
                continue
            held = view.holders[name] - view.leaving_or_doubtful[name]
            read = {engine for one, engine in (*placement.read_replicas, *view.to_clear) if one == name}
            fit = {engine for engine in self.engines if accepts_replica(view.world.homes[engine], shard)}
            doubtful = {
                e for e in view.doubtful[name] - view.good_at_end[name] if (name, e) not in view.to_clear
            }
            part = _Part(
                name,
                shard.size,
                replication_factor(shard),
                required_zones(shard),
                self._bits(fit),
                self._bits(fit - (held - view.good_at_end[name])),
                self._bits(view.good_at_end[name]),
                self._bits(view.good_at_end[name] & view.good_now[name]),
                self._bits(view.good_at_end[name] & view.good_now[name] - read),
                self._bits(doubtful),
            )
            self._set_goals(part)
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

    def _set_goals(self, part: _Part) -> None:
        fit = self._numbers(part.fit)
        some = [sum(1 << n for n in places) for places in combinations(fit, min(part.count, len(fit)))]
        max_states = max(min(part.zones, self._span(mask)) for mask in some)
        part.goals = tuple(mask for mask in some if min(part.zones, self._span(mask)) == max_states)
        part.lacks = max(0, part.count - len(fit)) + part.zones - max_states

    def missing(self, number: int, good: int) -> int:
        """Return the least bytes that still have to be copied for a shard."""
        key = number, good
        if key not in self._missing:
            part = self.parts[number]
            self._missing[key] = part.size * min((goal & ~good).bit_count() for goal in part.goals)
        return self._missing[key]

    def unmet(self, number: int, good: int) -> int:
        """Return how many replicas and zones a shard lacks."""
        key = number, good
        if key not in self._unmet:
            part, fit = self.parts[number], good & self.parts[number].fit
            self._unmet[key] = max(0, part.count - fit.bit_count()) + max(0, part.zones - self._span(fit))
        return self._unmet[key]

    def explore(self, least: int, states: int) -> Path | None:
        """Return the path with the least unmet needs, then bytes, that so many states show."""
        return self._search(states, lambda unmet, rest, paid: (unmet, rest, paid), least, None)

    def cheapest(self, allowed: int, below: int | None, states: int) -> Path | None:
        """Return the cheapest path to at most `allowed` unmet and under `below` bytes; None: not found."""
        return self._search(states, None, allowed, below)

    def _search(self, states: int, priority: Callable | None, allowed: int, below: int | None) -> Path | None:
        max_states, unmet_allowance = states, max(0, allowed - self.lacks) if priority is None else 0
        state: State = tuple((part.good, part.doubtful) for part in self.parts)
        serial, paid, best, found = 0, 0, {state: 0}, None
        heap = [((), 0, 0, state, self.free_at_start, None)]
        while heap and states > 0 and len(best) < MAX_SEEN_PER_STATE * max_states:
            _, _, paid, state, free, steps = heapq.heappop(heap)
            if paid > best[state]:
                continue
            states -= 1
            unmet = self._unmet_in(state, free)
            if found is None or (unmet, paid) < (found.unmet, found.bytes):
                found = Path(unmet, paid, state, steps)
                if unmet <= allowed:
                    return found
            remaining = self._remaining_bytes(state, 0)
            for number, after, changed, step in self._successors(state, free):
                cost = paid + (self.parts[number].size if step[1] else 0)
                next_state = (*state[:number], after, *state[number + 1 :])
                if cost >= best.get(next_state, cost + 1):
                    continue
                rest = (
                    self._remaining_bytes(next_state, unmet_allowance)
                    if unmet_allowance
                    else (remaining - self.missing(number, state[number][0]) + self.missing(number, after[0]))
                )
                if below is not None and cost + rest >= below:
                    continue
                best[next_state] = cost
                serial += 1
                key = (cost + rest, rest)
                if priority is not None:
                    key = priority(self._unmet_in(next_state, changed), rest, cost)
                heapq.heappush(heap, (key, -serial, cost, next_state, changed, (step, steps)))
        return found if priority is not None else None

    def _unmet_in(self, state: State, free: tuple[int, ...]) -> int:
        """Return the unmet needs, with one for each engine over its headroom."""
        over = sum(free_after < 0 for free_after in free)
        return over + sum(self.unmet(number, good) for number, (good, _) in enumerate(state))

    def _remaining_bytes(self, state: State, unmet_allowance: int) -> int:
        """Return the least bytes still to be copied if `unmet_allowance` replicas may be left out."""
        rests = [self.missing(number, good) for number, (good, _) in enumerate(state)]
        if not unmet_allowance:
            return sum(rests)
        sizes = sorted(
            (
                part.size
                for part, rest in zip(self.parts, rests, strict=True)
                for _ in range(rest // part.size)
            ),
            reverse=True,
        )
        return sum(sizes[unmet_allowance:])

    def _successors(self, state: State, free: tuple[int, ...]) -> Iterator[tuple]:
        """Yield each step: the shard's number, its next state, the free bytes by engine, and the step."""
        for number, place in enumerate(state):
            if (number, place) not in self._options:
                self._options[number, place] = list(self._steps(self.parts[number], *place))
            for target, least, out, size, after, step in self._options[number, place]:
                if target >= 0 and free[target] < least:
                    continue
                free_after = list(free)
                if target >= 0:
                    free_after[target] -= least
                if out >= 0:
                    free_after[out] += size
                yield number, after, tuple(free_after), step

    def _steps(self, part: _Part, good: int, doubtful: int) -> Iterator[tuple]:
        """Yield a shard's steps: target, bytes it takes, engine that loses a replica, bytes freed, .."""
        for n in self._numbers((part.free | part.doubtful & part.fit) & ~good):
            size = 0 if doubtful >> n & 1 else part.size  # replaces a doubtful one
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
            return  # replicas dropped without a migration have to be surplus from the start
        for out in self._numbers(good & part.firm | doubtful):
            if self._may_drop_at_once(part, good & part.now, out):
                yield (
                    -1,
                    0,
                    out,
                    part.size,
                    (good & ~(1 << out), doubtful & ~(1 << out)),
                    (part.name, "", self.engines[out]),
                )

    def _may_drop_at_once(self, part: _Part, now: int, out: int) -> bool:
        """Return whether a replica may be dropped at once, given those that are good already."""
        stays = now & ~(1 << out)
        if stays == now:  # a doubtful one: dropped only when all needs are met
            return (now & part.fit).bit_count() >= part.count and self._span(now & part.fit) >= part.zones
        return stays.bit_count() >= part.count and self._span(stays) >= min(part.zones, self._span(now))

    def places(self, state: State) -> dict[str, frozenset[str]]:
        """Return the places of the good replicas that count, by shard."""
        return {
            part.name: frozenset(self.engines[n] for n in self._numbers(good & part.fit))
            for part, (good, _) in zip(self.parts, state, strict=True)
        }
