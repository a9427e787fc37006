"""Where the copies of each shard are to lie in the end, and the disk that this takes, without I/O."""

from collections.abc import Iterable
from dataclasses import dataclass
from functools import cached_property
from itertools import islice

from fennelwind.shards.constraints import View, heats, mean, span_wanted, takes, wanted
from fennelwind.shards.model import Bounds, Shard
from fennelwind.shards.transfer_order import Transfer

Places = frozenset  # of engines with a good copy in the end
RANKED_ANEW = 32  # shards after which engines are ranked anew by how far they stand out
LOOKED_AT = 12  # engines of the first in that rank that are weighed for a copy


@dataclass(slots=True, frozen=True)
class Outcome:
    """What it takes to have one shard's good copies in certain places."""

    transfers: tuple[Transfer, ...]
    drops: tuple[str, ...]  # engines whose copy goes without a move
    change: tuple[tuple[str, int], ...]  # bytes by engine, against all that lies there now
    unmet: int  # copies and zones that are lacking
    bytes: int


class Board:
    """The places of all shards, by a change of which loads are kept up to date."""

    def __init__(self, view: View, bounds: Bounds) -> None:
        self.view, self.bounds = view, bounds
        self.world = view.world
        self.load = dict(view.used)  # bytes by engine in the end
        for move in view.kept.values():
            if move.step == "planned":
                self.load[move.target] += self.world.shards[move.shard].size
            if move.drops in self.load:
                self.load[move.drops] -= view.released(move)
        for shard, engine in (*view.going, *view.orphans, *view.clears):
            self.load[engine] -= self.world.shards[shard].size
        self.heat = heats(view, view.good)
        self.read = {
            (move.shard, move.source)
            for move in view.kept.values()
            if move.step in ("planned", "reserved", "copying")
        }
        self.places: dict[str, Places] = {}  # of the shards that are changed
        self.outcomes: dict[tuple[str, Places], Outcome] = {}
        self._fit: dict[tuple[str, ...], list[str]] = {}
        self._zones: dict[tuple[str, ...], int] = {}

    @cached_property
    def heat_mean(self) -> float:
        """Return the mean of the heat over the engines that may take copies."""
        return mean(self.heat, self.view) or 1.0

    def fit(self, shard: Shard) -> list[str]:
        """Return the engines that may hold a shard's copies, space aside."""
        if shard.kinds not in self._fit:
            self._fit[shard.kinds] = [
                name for name in sorted(self.load) if takes(self.world.homes[name], shard)
            ]
            self._zones[shard.kinds] = self.view.span(set(self._fit[shard.kinds]))
        return self._fit[shard.kinds]

    def zones(self, shard: Shard) -> int:
        """Return how many zones a shard's copies can span, space aside."""
        self.fit(shard)
        return self._zones[shard.kinds]

    def lacking(self, shard: Shard) -> int:
        """Return the copies and zones that a shard lacks whatever the space."""
        return max(0, wanted(shard) - len(self.fit(shard))) + max(0, span_wanted(shard) - self.zones(shard))

    def free(self, engine: str) -> int:
        """Return the bytes that are free on an engine in the end."""
        return self.view.limit[engine] - self.load[engine]

    def spare(self, engine: str) -> int:
        """Return the bytes that are free on an engine now: what is planned does not change it."""
        return self.view.limit[engine] - self.view.used[engine]

    def fixed(self, shard: Shard) -> bool:
        """Return whether nothing of a shard may be moved: it is frozen, aside, or nobody has it."""
        held = shard.table in self.world.frozen or shard.name in self.world.aside
        return held or not self.view.good[shard.name]

    def least(self, shard: Shard) -> set[str]:
        """Return the good copies that stay where they are if space is no matter: as many as may."""
        homes, kept, seen = self.world.homes, set(), set()
        count, zones = wanted(shard), span_wanted(shard)
        staying = [engine for engine in self.view.good[shard.name] if takes(homes[engine], shard)]
        ranked = sorted(staying, key=lambda engine: (-self.spare(engine), engine))
        for engine in ranked:
            if homes[engine].zone not in seen and len(kept) < count:
                seen.add(homes[engine].zone)
                kept.add(engine)
        zones = min(zones, self.zones(shard))
        for engine in ranked:
            if engine not in kept and len(kept) < count and len(seen) + count - len(kept) - 1 >= zones:
                kept.add(engine)
        return kept

    def outcome(self, name: str, places: Places) -> Outcome:
        """Return what it takes to have a shard's good copies there."""
        key = (name, places)
        if key not in self.outcomes:
            self.outcomes[key] = self._outcome(name, places)
        return self.outcomes[key]

    def _outcome(self, name: str, places: Places) -> Outcome:
        view, shard = self.view, self.world.shards[name]
        good, zones, count = view.good[name], span_wanted(shard), wanted(shard)
        now = {engine for engine in view.now[name] if (name, engine) not in view.clears}
        adds, outs = sorted(places - good), sorted(good - places, key=lambda e: (self.spare(e), e))
        doubtful = sorted(e for e in view.doubtful[name] - good if (name, e) not in view.clears)
        drops = [engine for engine in doubtful if engine in places]  # it comes to the same engine anew
        doubtful = [engine for engine in doubtful if engine not in places]
        have, transfers, change = set(good), [], dict.fromkeys(drops, -shard.size)
        homes = self.world.homes
        for target in adds:
            most = min(zones, view.span(have))
            some = [out for out in outs if view.span(have - {out} | {target}) >= most]
            spared = len(outs) > len(adds)  # then some go at once: rather those whose space can be used
            out = min(
                some,
                key=lambda e: (
                    spared and homes[e].life in ("ready", "cold"),
                    homes[e].zone != homes[target].zone,
                    outs.index(e),
                ),
                default="",
            )
            have.add(target)
            if out:
                have.discard(out)
                outs.remove(out)
            elif doubtful:
                out = doubtful.pop(0)
            transfers.append(Transfer(name, target, out))
            change[target] = change.get(target, 0) + shard.size
            if out:
                change[out] = change.get(out, 0) - shard.size
        rest = set(now)
        for out in outs:
            less = rest - {out}
            if (
                out in now
                and len(less & (good | places)) >= count
                and view.span(less) >= min(zones, view.span(rest))
                and view.span(have - {out}) >= min(zones, view.span(have))
                and (name, out) not in self.read
            ):
                rest, have = less, have - {out}
                drops.append(out)
                change[out] = change.get(out, 0) - shard.size
        if view.meets_needs(shard, rest & places):
            drops += doubtful
            change.update((engine, change.get(engine, 0) - shard.size) for engine in doubtful)
        unmet = max(0, count - len(places)) + max(0, zones - view.span(set(places)))
        return Outcome(
            tuple(transfers), tuple(drops), tuple(sorted(change.items())), unmet, shard.size * len(transfers)
        )

    def put(self, name: str, places: Iterable[str]) -> None:
        """Have a shard's good copies in these places in the end."""
        if name in self.places:
            for engine, size in self.outcome(name, self.places[name]).change:
                self.load[engine] -= size
        self.places[name] = frozenset(places)
        for engine, size in self.outcome(name, self.places[name]).change:
            self.load[engine] += size

    def where(self, name: str) -> Places:
        """Return where a shard's good copies will lie."""
        return self.places[name] if name in self.places else frozenset(self.view.good[name])

    def troubled(self) -> list[Shard]:
        """Return the shards whose copies are not as they should be, largest first."""
        view = self.view
        found = [
            shard
            for name, shard in sorted(self.world.shards.items())
            if not self.fixed(shard)
            and (
                len(view.good[name]) != wanted(shard)
                or view.doubtful[name]
                or not view.meets_needs(shard, view.good[name])
            )
        ]
        return sorted(found, key=lambda shard: (-shard.size, shard.name))

    def greedy(self) -> None:
        """Meet each shard's needs in turn where there is space: on the engine that stands out the least."""
        homes = self.world.homes
        common = mean(
            {name: self.load[name] / max(1, self.view.limit[name]) for name in self.load}, self.view
        )
        for number, shard in enumerate(self.troubled()):
            if number % RANKED_ANEW == 0:
                ranks = {
                    name: rank
                    for rank, name in enumerate(
                        sorted(self.load, key=lambda name: (self._stands_out(name, 0, 0.0, common), name))
                    )
                }
                ranked = {kinds: sorted(fit, key=ranks.__getitem__) for kinds, fit in self._fit.items()}
            name, count, zones = shard.name, wanted(shard), span_wanted(shard)
            kept = self.least(shard)
            self.put(name, kept)
            doubtful, part = self.view.replaced[name], shard.heat / count
            while len(kept) < count:
                seen = {homes[engine].zone for engine in kept}
                apart = len(seen) + count - len(kept) - 1 < min(zones, self.zones(shard))
                some = list(
                    islice(
                        (
                            engine
                            for engine in ranked.get(shard.kinds) or self.fit(shard)
                            if engine not in kept
                            and not (apart and homes[engine].zone in seen)
                            and self.free(engine) >= (0 if engine in self.view.doubtful[name] else shard.size)
                            and (
                                engine not in self.view.holders[name]
                                or engine in doubtful
                                or engine in self.view.good[name]
                            )
                        ),
                        LOOKED_AT,
                    )
                )
                if not some:
                    break
                best = min(
                    some,
                    key=lambda engine: (
                        engine in doubtful,
                        self._stands_out(engine, shard.size, part, common),
                        engine,
                    ),
                )
                kept = kept | {best}
                self.put(name, kept)
                self.heat[best] += part

    def _stands_out(self, engine: str, size: int, heat: float, share: float) -> float:
        """Return how far an engine will be from the mean, in tolerances, with a copy more."""
        disk = (self.load[engine] + size) / max(1, self.view.limit[engine]) - share
        warm = (self.heat[engine] + heat) / self.heat_mean - 1
        return max(disk / max(self.bounds.disk_tolerance, 0.01), warm / max(self.bounds.heat_tolerance, 0.01))
