"""Search for the cheapest plan of a small world: placement and order together. No I/O.

The search is for worlds where no order of transfers leads to the cheapest placement. A state says where each
shard's good replicas are and which doubtful ones remain. A step creates one replica and may drop one of the
same shard for it, or drops one that is surplus from the start. Each step keeps headroom, good replicas and
zones, so each path is a valid order. The search is A*: it expands first the state with the least sum of the
bytes copied so far and the least bytes still to be copied.
"""

import heapq
from collections.abc import Callable, Iterator, Mapping, Set
from dataclasses import dataclass
from itertools import combinations

from fennelwind.shards.constraints import accepts_replica, replication_factor, required_zones
from fennelwind.shards.target_placement import Placement
from fennelwind.shards.transfer_order import Sequence, Transfer

MAX_SEEN_PER_STATE = 10  # the search ends once it has seen this many states per state that it may expand
# for each shard, two bit masks: engines with a good replica, engines with a doubtful one
State = tuple[tuple[int, int], ...]
Step = tuple[str, str, str]  # shard, engine that gets a replica, engine that loses one; "" if no engine does


@dataclass(slots=True)
class _MovableShard:
    """A shard whose replicas may change. Sets of engines are bit masks."""

    name: str
    size: int
    count: int
    zones: int
    fit: int  # engines that may hold a replica
    free: int  # the engines of `fit` that may receive a replica: they hold none in another state
    good: int  # engines with a good replica when running migrations have ended
    now: int  # the engines of `good` that have a good replica now
    unread: int  # the engines of `now` whose replica no running migration reads
    doubtful: int
    goals: tuple[int, ...] = ()  # sets of engines that meet all needs that can be met
    min_unmet: int = 0  # replicas and zones still missing with replicas on all engines of a goal


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
        steps, link = [], self.steps
        while link:
            step, link = link
            steps.append(step)
        drops: list[tuple[str, str]] = []
        transfers: list[Transfer] = []
        for name, target, dropped in reversed(steps):
            if not target:
                drops.append((name, dropped))
                continue
            if target in doubtful[name] and not any((t.shard, t.target) == (name, target) for t in transfers):
                drops.append((name, target))  # the shard is copied to the same engine again
            transfers.append(Transfer(name, target, dropped))
        return drops, transfers


class PathSearch:
    """A search over the states of one small world."""

    def __init__(self, placement: Placement, sequence: Sequence) -> None:
        """Prepare the search; `sequence` holds running migrations and their drops, and nothing else."""
        view = self.view = placement.view
        self.engines = sorted(view.used)
        self.zone = [view.world.homes[engine].zone for engine in self.engines]
        self.spans: dict[int, int] = {}
        self.free_at_start = tuple(sequence.free_at_end(engine) for engine in self.engines)
        self.movables: list[_MovableShard] = []
        for name, shard in sorted(view.world.shards.items()):
            if placement.is_pinned(shard):
                continue
            held = view.holders[name] - view.leaving_or_doubtful[name]
            read = {engine for one, engine in (*placement.read_replicas, *view.to_clear) if one == name}
            fit = {engine for engine in self.engines if accepts_replica(view.world.homes[engine], shard)}
            doubtful = {
                e for e in view.doubtful[name] - view.good_at_end[name] if (name, e) not in view.to_clear
            }
            movable = _MovableShard(
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
            self._set_goals(movable)
            self.movables.append(movable)
        self.min_unmet = sum(movable.min_unmet for movable in self.movables)
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

    def _set_goals(self, movable: _MovableShard) -> None:
        fit = self._numbers(movable.fit)
        placements = [
            sum(1 << n for n in places) for places in combinations(fit, min(movable.count, len(fit)))
        ]
        zones_spanned = max(min(movable.zones, self._span(mask)) for mask in placements)
        movable.goals = tuple(
            mask for mask in placements if min(movable.zones, self._span(mask)) == zones_spanned
        )
        movable.min_unmet = max(0, movable.count - len(fit)) + movable.zones - zones_spanned

    def missing(self, number: int, good: int) -> int:
        """Return the least bytes that still have to be copied for a shard."""
        key = number, good
        if key not in self._missing:
            movable = self.movables[number]
            self._missing[key] = movable.size * min((goal & ~good).bit_count() for goal in movable.goals)
        return self._missing[key]

    def unmet(self, number: int, good: int) -> int:
        """Return how many replicas and zones a shard lacks."""
        key = number, good
        if key not in self._unmet:
            movable, fit = self.movables[number], good & self.movables[number].fit
            self._unmet[key] = max(0, movable.count - fit.bit_count()) + max(
                0, movable.zones - self._span(fit)
            )
        return self._unmet[key]

    def explore(self, least: int, states: int) -> Path | None:
        """Return the path found with the least unmet needs and, of such paths, the least bytes.

        `states` limits the states expanded. The search ends early at a path with at most `least` unmet needs.
        """
        return self._search(
            states, lambda unmet, min_remaining, bytes_paid: (unmet, min_remaining, bytes_paid), least, None
        )

    def cheapest(self, allowed: int, below: int | None, states: int) -> Path | None:
        """Return the cheapest path under `below` bytes with at most `allowed` unmet needs, or None."""
        return self._search(states, None, allowed, below)

    def _search(self, states: int, priority: Callable | None, allowed: int, below: int | None) -> Path | None:
        max_states, unmet_allowance = states, max(0, allowed - self.min_unmet) if priority is None else 0
        state: State = tuple((movable.good, movable.doubtful) for movable in self.movables)
        serial, bytes_paid, best_bytes, found = 0, 0, {state: 0}, None
        heap = [((), 0, 0, state, self.free_at_start, None)]
        while heap and states > 0 and len(best_bytes) < MAX_SEEN_PER_STATE * max_states:
            _, _, bytes_paid, state, free, steps = heapq.heappop(heap)
            if bytes_paid > best_bytes[state]:
                continue
            states -= 1
            unmet = self._unmet_in(state, free)
            if found is None or (unmet, bytes_paid) < (found.unmet, found.bytes):
                found = Path(unmet, bytes_paid, state, steps)
                if unmet <= allowed:
                    return found
            remaining = self._remaining_bytes(state, 0)
            for number, shard_state, changed, step in self._successors(state, free):
                cost = bytes_paid + (self.movables[number].size if step[1] else 0)
                next_state = (*state[:number], shard_state, *state[number + 1 :])
                if cost >= best_bytes.get(next_state, cost + 1):
                    continue
                min_remaining = (
                    self._remaining_bytes(next_state, unmet_allowance)
                    if unmet_allowance
                    else (
                        remaining
                        - self.missing(number, state[number][0])
                        + self.missing(number, shard_state[0])
                    )
                )
                if below is not None and cost + min_remaining >= below:
                    continue
                best_bytes[next_state] = cost
                serial += 1
                key = (cost + min_remaining, min_remaining)
                if priority is not None:
                    key = priority(self._unmet_in(next_state, changed), min_remaining, cost)
                heapq.heappush(heap, (key, -serial, cost, next_state, changed, (step, steps)))
        return found if priority is not None else None

    def _unmet_in(self, state: State, free: tuple[int, ...]) -> int:
        """Return the number of unmet needs, plus one for each engine whose headroom is not kept."""
        over = sum(free_after < 0 for free_after in free)
        return over + sum(self.unmet(number, good) for number, (good, _) in enumerate(state))

    def _remaining_bytes(self, state: State, unmet_allowance: int) -> int:
        """Return the least bytes still to be copied if `unmet_allowance` replicas may be left out."""
        rests = [self.missing(number, good) for number, (good, _) in enumerate(state)]
        if not unmet_allowance:
            return sum(rests)
        sizes = sorted(
            (
                movable.size
                for movable, min_remaining in zip(self.movables, rests, strict=True)
                for _ in range(min_remaining // movable.size)
            ),
            reverse=True,
        )
        return sum(sizes[unmet_allowance:])

    def _successors(self, state: State, free: tuple[int, ...]) -> Iterator[tuple]:
        """Yield each step: the shard's number, its next state, the free bytes by engine, and the step."""
        for number, place in enumerate(state):
            if (number, place) not in self._options:
                self._options[number, place] = list(self._steps(self.movables[number], *place))
            for target, least, dropped, size, shard_state, step in self._options[number, place]:
                if target >= 0 and free[target] < least:
                    continue
                free_after = list(free)
                if target >= 0:
                    free_after[target] -= least
                if dropped >= 0:
                    free_after[dropped] += size
                yield number, shard_state, tuple(free_after), step

    def _steps(self, movable: _MovableShard, good: int, doubtful: int) -> Iterator[tuple]:
        """Yield a shard's steps: target, bytes taken, engine with a drop, bytes freed, next state, step."""
        for n in self._numbers((movable.free | movable.doubtful & movable.fit) & ~good):
            size = 0 if doubtful >> n & 1 else movable.size  # 0 if the new replica replaces a doubtful one
            good_next, doubtful_left = good | 1 << n, doubtful & ~(1 << n)
            yield n, size, -1, 0, (good_next, doubtful_left), (movable.name, self.engines[n], "")
            least = min(movable.zones, self._span(good))
            for dropped in self._numbers(good | doubtful_left):
                good_left = good_next & ~(1 << dropped)
                if self._span(good_left) >= least:
                    yield (
                        n,
                        size,
                        dropped,
                        movable.size,
                        (good_left, doubtful_left & ~(1 << dropped)),
                        (movable.name, self.engines[n], self.engines[dropped]),
                    )
        if good & ~movable.good:
            return  # replicas dropped without a migration have to be surplus from the start
        for dropped in self._numbers(good & movable.unread | doubtful):
            if self._may_drop_at_once(movable, good & movable.now, dropped):
                yield (
                    -1,
                    0,
                    dropped,
                    movable.size,
                    (good & ~(1 << dropped), doubtful & ~(1 << dropped)),
                    (movable.name, "", self.engines[dropped]),
                )

    def _may_drop_at_once(self, movable: _MovableShard, now: int, dropped: int) -> bool:
        """Return whether a replica may be dropped at once, given the replicas `now` that are good already."""
        good_left = now & ~(1 << dropped)
        if good_left == now:  # a doubtful replica is dropped only when all needs are met
            return (now & movable.fit).bit_count() >= movable.count and self._span(
                now & movable.fit
            ) >= movable.zones
        return good_left.bit_count() >= movable.count and self._span(good_left) >= min(
            movable.zones, self._span(now)
        )

    def places(self, state: State) -> dict[str, frozenset[str]]:
        """Return the places of the good replicas that count, by shard."""
        return {
            movable.name: frozenset(self.engines[n] for n in self._numbers(good & movable.fit))
            for movable, (good, _) in zip(self.movables, state, strict=True)
        }
