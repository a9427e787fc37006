"""The planner of shard moves: to a world whose needs are met, with few bytes, without I/O.

No clock and no chance: the same world gives the same plan. Moves under way stay as they are unless they
have become wrong; what can't be met is said and the rest is planned. First each shard's needs are met
greedily; where that leaves something unmet, or an engine over its headroom, or an order that takes more
bytes, better places are searched for: of all shards in a small world, around the trouble in a large one.
Evenness comes last.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from fennelwind.shards.balance import even, still
from fennelwind.shards.constraints import View, read, span_wanted, takes, wanted
from fennelwind.shards.exhaustive_search import Way, Ways
from fennelwind.shards.model import Bounds, MigrationPlan, Shard, Short, World
from fennelwind.shards.search import STRICT, choices, neighbours, spread
from fennelwind.shards.target_placement import Board
from fennelwind.shards.transfer_order import Sequence, Transfer, arrange

SMALL_SHARDS, SMALL_ENGINES = 14, 8  # up to which all places are searched at once
NODES = 10000  # choices that a search of a small world extends, about 0.3 s
LEAVES = 200  # whole choices of a small world that are put in order
STATES = 8_000  # that one search of places and order at once extends, some 0.5 s; there are three at most
NODES_NEAR = 200  # choices that one search around a trouble extends
TROUBLES = 200  # that are searched around in one plan; the rest is said to be short
NEAR = 6  # shards and engines that are looked at around one trouble


def plan(world: World, bounds: Bounds | None = None, first: int = 1) -> MigrationPlan:
    """Return what has to be moved and dropped, in an order in which it may begin.

    New moves are numbered from above those of the world, from `first` at least. They wait for moves of the
    world and for one another by `after`, and for copies that go without a move by `cleared`.
    """
    return _Planner(world.heated(), bounds or Bounds(), first).run()


@dataclass(slots=True)
class _Attempt:
    """Places that were put in order: what came of it."""

    sequence: Sequence
    drops: list[tuple[str, str]]
    rest: list[Transfer]
    unmet: int
    bytes: int


class _Planner:
    """One round of planning."""

    def __init__(self, world: World, bounds: Bounds, first: int) -> None:
        self.world, self.bounds = world, bounds
        self.first = max([first, *(number + 1 for number in world.moves)])
        self.view, self.board = self._read(())
        if idle := still(self.board, self.view.idle):
            self.view, self.board = self._read(idle)

    def _read(self, idle: Iterable[int]) -> tuple[View, Board]:
        view = read(self.world, idle)
        board = Board(view, self.bounds)
        board.greedy()
        return view, board

    def run(self) -> MigrationPlan:
        """Return the plan."""
        best = self._attempt()
        if best.unmet > self._unmet_least() or best.bytes > self._bytes_least():
            best = self._search(best) if self._is_small() else self._repair(best)
        even(self.board, best.sequence, self.bounds)
        moves = tuple(best.sequence.moves)
        cancels = sorted(self.view.cancels)
        return MigrationPlan(
            moves,
            tuple(sorted({*best.drops, *self.view.orphans, *self.view.clears})),
            tuple(cancels),
            tuple(self._short(best)),
            sum(self.world.shards[move.shard].size for move in moves),
            tuple(self.view.cancels[number] for number in cancels),
            tuple(sorted(self.view.keeps)),
        )

    def _is_small(self) -> bool:
        return len(self.world.shards) <= SMALL_SHARDS and len(self.view.used) <= SMALL_ENGINES

    def _unmet_least(self) -> int:
        """Return what no plan can meet, whatever the space."""
        return sum(
            self.board.lacking(shard) for shard in self.world.shards.values() if not self.board.fixed(shard)
        )

    def _bytes_least(self) -> int:
        """Return the bytes that each plan takes that meets what can be met."""
        return sum(
            shard.size * (min(wanted(shard), len(self.board.fit(shard))) - len(self.board.least(shard)))
            for shard in self.world.shards.values()
            if not self.board.fixed(shard)
        )

    def _attempt(self) -> _Attempt:
        """Put the board's places in order."""
        board, drops, transfers, unmet = self.board, [], [], 0
        for name, places in sorted(board.places.items()):
            outcome = board.outcome(name, places)
            transfers += outcome.transfers
            drops += [(name, engine) for engine in outcome.drops]
            unmet += outcome.unmet
        sequence = Sequence(self.view, self.first, (*drops, *self.view.orphans, *self.view.clears))
        rest = arrange(sequence, transfers)
        over = sum(sequence.free_at_end(engine) < 0 for engine in sequence.room)
        size = sum(self.world.shards[move.shard].size for move in sequence.moves)
        return _Attempt(sequence, drops, rest, unmet + len(rest) + over, size)

    def _search(self, best: _Attempt) -> _Attempt:
        """Search all places of a small world, cheapest first, for some that can be put in order."""
        board = self.board
        shards = [shard for shard in self.world.shards.values() if not board.fixed(shard)]
        chosen = dict(board.places)
        seen, floor = False, (self._unmet_least(), self._bytes_least())
        largest = max((shard.size for shard in shards), default=0)
        for relaxed, weight in ((False, STRICT), (False, largest), (True, STRICT)):
            if relaxed and seen:
                break
            leaves = 0
            for unmet, cost, places in choices(board, shards, sorted(board.load), NODES, weight, relaxed):
                if weight == STRICT and not relaxed and not leaves and unmet == floor[0]:
                    floor = unmet, cost  # the cheapest of all places that meet all, whatever the order
                if leaves >= LEAVES or (weight == STRICT and (unmet, cost) >= (best.unmet, best.bytes)):
                    break
                leaves, seen = leaves + 1, True
                if (unmet, cost) >= (best.unmet, best.bytes):
                    continue
                before = dict(board.places)
                for name, where in places.items():
                    board.put(name, where)
                attempt = self._attempt()
                if (attempt.unmet, attempt.bytes) < (best.unmet, best.bytes):
                    best, chosen = attempt, dict(board.places)
                for name, where in before.items():
                    board.put(name, where)
        for name, where in chosen.items():
            board.put(name, where)
        return self._way(best, floor)

    def _way(self, best: _Attempt, floor: tuple[int, int]) -> _Attempt:
        """Search places and order at once where no order was found for the cheapest places."""
        view, loose = self.view, (*self.view.orphans, *self.view.clears)
        if (best.unmet, best.bytes) <= floor:
            return best
        ways = Ways(self.board, Sequence(view, self.first, loose))
        rough = ways.explore(floor[0], STATES)  # with little unmet, at whatever cost
        best = self._taken(best, ways, rough)
        best = self._taken(best, ways, ways.cheapest(best.unmet, best.bytes, STATES))
        if best.unmet > floor[0]:
            best = self._taken(best, ways, ways.cheapest(best.unmet - 1, None, STATES))
        return best

    def _taken(self, best: _Attempt, ways: Ways, found: Way | None) -> _Attempt:
        """Return a way as an attempt, with its places on the board, if it is better."""
        if found is None or (found.unmet, found.bytes) >= (best.unmet, best.bytes):
            return best
        drops, transfers = found.split(self.view.doubtful)
        sequence = Sequence(self.view, self.first, (*drops, *self.view.orphans, *self.view.clears))
        if not all(sequence.add(one) for one in transfers):
            return best
        for name, where in ways.places(found.state).items():
            self.board.put(name, where)
        return _Attempt(sequence, drops, [], found.unmet, found.bytes)

    def _repair(self, best: _Attempt) -> _Attempt:
        """Search around each trouble of a large world."""
        board, done = self.board, 0
        over = [engine for engine in sorted(board.load) if board.free(engine) < 0]
        for engine in over:
            self._relieve(engine)
        for shard in board.troubled():
            places = board.where(shard.name)
            if done >= TROUBLES or not board.outcome(shard.name, places).unmet:
                continue
            if board.outcome(shard.name, places).unmet <= board.lacking(shard):
                continue
            done += 1
            engines = spread(board, shard, NEAR)
            near = {shard.name: shard}
            for engine in engines[:2]:
                for other in neighbours(board, engine, NEAR, shard.size - board.free(engine)):
                    near[other.name] = other
            self._near(list(near.values()), engines)
        attempt = self._attempt()
        return attempt if (attempt.unmet, attempt.bytes) < (best.unmet, best.bytes) else best

    def _near(self, shards: list[Shard], engines: list[str]) -> None:
        """Take the best places of a few shards."""
        board = self.board
        for _, _, places in choices(board, shards, engines, NODES_NEAR):
            for name, where in places.items():
                board.put(name, where)
            return

    def _relieve(self, engine: str) -> None:
        """Take copies from an engine that is over its headroom: large ones, then one that just does."""
        board, shards = self.board, self.world.shards
        some = [
            shard
            for shard in neighbours(board, engine, len(shards), 0)
            if shard.name not in board.places and takes(self.world.homes[engine], shard)
        ]
        some.sort(key=lambda shard: (-shard.size, shard.name))
        while board.free(engine) < 0 and some:
            lacking = -board.free(engine)
            shard = next((one for one in some if one.size <= lacking), None)
            shard = shard or min(some, key=lambda one: (one.size, one.name))
            enough = [one for one in some if one.size >= lacking]
            if enough and enough[-1].size <= lacking * 1.05:
                shard = enough[-1]
            some.remove(shard)
            rest = board.where(shard.name) - {engine}
            zones = min(span_wanted(shard), self.view.span(set(rest | {engine})))
            for target in spread(board, shard, NEAR):
                if (
                    target not in self.view.holders[shard.name]
                    and target not in rest
                    and board.free(target) >= shard.size
                    and self.view.span(set(rest | {target})) >= zones
                ):
                    board.put(shard.name, rest | {target})
                    break

    def _short(self, best: _Attempt) -> list[Short]:
        """Say which needs are not met, and why."""
        board, found = self.board, []
        blocked: dict[str, list[Transfer]] = {}
        for one in best.rest:
            blocked.setdefault(one.shard, []).append(one)
        lying: dict[str, list[str]] = {}
        for name, engine in sorted(self.world.copies):
            lying.setdefault(name, []).append(engine)
        for name, shard in sorted(self.world.shards.items()):
            good, count, zones = self.view.good[name], wanted(shard), span_wanted(shard)
            if board.fixed(shard):
                if not good:
                    found.append(Short(name, "source", tuple(lying.get(name, ()))))
                elif len(good) < count or not self.view.meets_needs(shard, good):
                    reason = "frozen" if shard.table in self.world.frozen else "aside"
                    found.append(Short(name, reason, tuple(sorted(good))))
                continue
            places, fit = board.where(name), board.fit(shard)
            if len(fit) < count:
                found.append(Short(name, "kinds", tuple(fit)))
            if board.zones(shard) < zones:
                found.append(Short(name, "zones", tuple(fit)))
            if name in blocked or (
                name in board.places and board.outcome(name, places).unmet > board.lacking(shard)
            ):
                others = [engine for engine in fit if engine not in places] or [
                    one.target for one in blocked[name]
                ]
                lacking = min(shard.size - best.sequence.free_at_end(engine) for engine in others)
                found.append(Short(name, "space", tuple(others), max(0, lacking)))
        for engine in sorted(best.sequence.room):
            if best.sequence.free_at_end(engine) < 0:
                found.append(Short("", "space", (engine,), -best.sequence.free_at_end(engine)))
        return found
