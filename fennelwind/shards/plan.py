"""The planner of shard moves: to a world whose needs are met, with few bytes, without I/O.

No clock and no chance: the same world gives the same plan. Moves under way stay as they are unless they
have become wrong; what can't be met is said and the rest is planned.
"""

from fennelwind.shards.needs import View, read, span_wanted, takes, wanted
from fennelwind.shards.order import Sequence, Transfer, arrange
from fennelwind.shards.state import Bounds, Planned, Shard, Short, World


def plan(world: World, bounds: Bounds | None = None, first: int = 1) -> Planned:
    """Return what has to be moved and dropped, in an order in which it may begin.

    New moves are numbered from above those of the world, from `first` at least. They wait for
    moves of the world and for one another by `after`, and for copies in `drops` by `cleared`.
    """
    return _Planner(world, bounds or Bounds(), first).run()


class _Planner:
    """One round of planning."""

    def __init__(self, world: World, bounds: Bounds, first: int) -> None:
        self.world, self.bounds = world, bounds
        self.view: View = read(world)
        self.sequence = Sequence(self.view, max([first, *(number + 1 for number in world.moves)]))
        self.drops: list[tuple[str, str]] = []
        self.short: list[Short] = []
        self.transfers: list[Transfer] = []
        self.free = {
            engine: self.sequence.room[engine] + self.sequence.given[engine] for engine in self.view.used
        }
        self.sources = {
            (move.shard, move.source)
            for move in self.view.kept.values()
            if move.step in ("planned", "reserved", "copying")
        }
        self.ousted: dict[str, set[str]] = {}  # by shard: targets given in this round

    def run(self) -> Planned:
        """Return the plan."""
        for name, shard in sorted(self.world.shards.items(), key=lambda item: (-item[1].size, item[0])):
            self._meet(name, shard)
        for shard, engine in self.drops:
            self.sequence.clear(shard, engine)
        for one in arrange(self.sequence, self.transfers):
            size = self.world.shards[one.shard].size
            self.short.append(Short(one.shard, "space", (one.target,), size - self._room(one.target)))
        for name in sorted(self.view.used):
            if self._room(name) < 0:
                self._relieve(name)
        moves = tuple(self.sequence.moves)
        cancels = sorted(self.view.cancels)
        return Planned(
            moves,
            tuple(sorted(self.drops)),
            tuple(cancels),
            tuple(sorted(self.short, key=lambda s: s.shard)),
            sum(self.world.shards[move.shard].size for move in moves),
            tuple(self.view.cancels[number] for number in cancels),
            tuple(sorted(self.view.keeps)),
        )

    def _room(self, engine: str) -> int:
        return self.sequence.room[engine] + self.sequence.given[engine]

    def _meet(self, name: str, shard: Shard) -> None:
        """Say what one shard needs."""
        view, homes, count, zones = self.view, self.world.homes, wanted(shard), span_wanted(shard)
        good = view.good[name]
        staying = {engine for engine in good if takes(homes[engine], shard)}
        kept = self._stay(staying, count, zones)
        missing, going = (
            count - len(kept),
            sorted(good - kept, key=lambda engine: (engine in staying, engine)),
        )
        doubtful = sorted(
            engine
            for engine in view.holds[name]
            if (name, engine) in self.world.copies and self.world.copies[name, engine].state == "doubtful"
        )
        if shard.table in self.world.frozen:
            if missing > 0 or good - staying:
                self.short.append(Short(name, "frozen", tuple(sorted(good - staying))))
            return
        if missing and not good:
            self.short.append(Short(name, "source", tuple(doubtful)))
            return
        have = set(good)
        for _ in range(missing):
            target = self._target(name, shard, kept, have, zones - (count - len(kept) - 1), doubtful)
            if target is None:
                break
            have.add(target)
            kept.add(target)
            drops = next(
                (
                    engine
                    for engine in going
                    if view.span(have - {engine}) >= min(zones, view.span(have - {target}))
                ),
                "",
            )
            if drops:
                going.remove(drops)
                have.discard(drops)
                self.free[drops] += shard.size
            elif doubtful:
                drops = doubtful.pop(0)
                self.free[drops] += shard.size
            self.transfers.append(Transfer(name, target, drops))
        if kept - good or len(kept) < count:
            return
        for engine in going:  # over what is wanted: the good ones that stay are there already
            rest = view.now[name] & good & kept
            if len(rest) >= count and view.span(rest) >= zones and (name, engine) not in self.sources:
                self._drop(name, engine)
        if len(view.now[name] & kept) >= count:
            for engine in doubtful:
                self._drop(name, engine)

    def _drop(self, shard: str, engine: str) -> None:
        if (shard, engine) not in self.drops:
            self.drops.append((shard, engine))
            self.free[engine] += self.world.shards[shard].size

    def _stay(self, staying: set[str], count: int, zones: int) -> set[str]:
        """Return the copies that stay: as many as may, one in each zone first, from the emptiest engines."""
        homes, kept, seen = self.world.homes, set(), set()
        ranked = sorted(staying, key=lambda engine: (-self.free[engine], engine))
        for engine in ranked:
            if homes[engine].zone not in seen and len(kept) < count:
                seen.add(homes[engine].zone)
                kept.add(engine)
        for engine in ranked:
            if engine not in kept and len(kept) < count and len(seen) + count - len(kept) - 1 >= zones:
                kept.add(engine)
        return kept

    def _target(
        self, name: str, shard: Shard, kept: set[str], have: set[str], zones: int, doubtful: list[str]
    ) -> str | None:
        """Return the emptiest engine that may take a copy, or say why there is none."""
        homes, view = self.world.homes, self.view
        seen = {homes[engine].zone for engine in kept}
        fit = [
            engine
            for engine in sorted(self.free)
            if takes(homes[engine], shard) and engine not in have and engine not in view.holds[name]
        ]
        if not fit:
            self.short.append(Short(name, "kinds"))
            return None
        if len(seen) < zones:
            apart = [engine for engine in fit if homes[engine].zone not in seen]
            if not apart:
                self.short.append(Short(name, "zones", tuple(fit)))
            fit = apart or fit
        best = max(fit, key=lambda engine: self.free[engine] / max(1, view.limit[engine]))
        roomy = [engine for engine in fit if self.free[engine] >= shard.size]
        if not roomy:
            best = max(fit, key=lambda engine: (self.free[engine], engine))
            self.short.append(Short(name, "space", tuple(fit), shard.size - self.free[best]))
            return None
        best = max(roomy, key=lambda engine: (self.free[engine] / max(1, view.limit[engine]), engine))
        self.free[best] -= shard.size
        return best

    def _relieve(self, engine: str) -> None:
        """Take copies away from an engine that is over its headroom."""
        shards, homes, view = self.world.shards, self.world.homes, self.view
        moving = {move.shard for move in (*self.sequence.moves, *view.kept.values())} | {
            s for s, _ in self.drops
        }
        names = sorted(
            (
                name
                for name in view.good
                if engine in view.good[name]
                and name not in moving
                and shards[name].table not in self.world.frozen
            ),
            key=lambda name: (shards[name].size, name),
        )
        while self._room(engine) < 0 and names:
            lacking = -self._room(engine)
            name = next((name for name in names if shards[name].size >= lacking), names[-1])
            names.remove(name)
            rest = view.good[name] - {engine}
            for target in sorted(view.used, key=lambda other: (-self._room(other), other)):
                if (
                    takes(homes[target], shards[name])
                    and target not in view.holds[name]
                    and view.span(rest | {target})
                    >= min(span_wanted(shards[name]), view.span(view.good[name]))
                    and self.sequence.add(Transfer(name, target, engine))
                ):
                    break
        if self._room(engine) < 0:
            self.short.append(Short("", "space", (engine,), -self._room(engine)))
