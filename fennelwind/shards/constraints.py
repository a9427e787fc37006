"""What the shards need, and which moves stay right, without I/O.

A copy counts when it is `good` on an engine that is not gone. Copies on engines that are gone count for
nothing: neither as good, nor as disk that is used, nor as something to drop. A copy that is `doubtful`,
`coming` or `leaving` takes disk and counts for nothing else.

A move is wrong, and cancelled, when its target may not or need not have the copy any more, when nobody has a
good copy to read, when its table is frozen before it has begun, or when the space it was to have is gone. A
move whose copy that was to go is needed after all goes on without its drop (`keeps`).
"""

from collections import Counter
from collections.abc import Iterable, Mapping
from collections.abc import Set as AbstractSet
from dataclasses import dataclass, field

from fennelwind.shards.model import Migration, Replica, ReplicaHost, Shard, World

ENDED = ("done", "undone")  # steps of a move that is over
HELD = ("reserved", "copying", "checked")  # steps with space taken and a copy that is not good yet
READING = ("planned", "reserved", "copying")  # steps that still need the source


def wanted(shard: Shard) -> int:
    """Return how many copies are wanted; never less than one, as the last good copy is never dropped."""
    return max(1, shard.copies)


def span_wanted(shard: Shard) -> int:
    """Return how many zones the copies have to span; no more than there are copies."""
    return max(1, min(shard.zones, wanted(shard)))


def takes(home: ReplicaHost, shard: Shard) -> bool:
    """Return whether the engine may be given a copy of the shard, space aside."""
    return home.life in ("ready", "cold") and (not shard.kinds or home.kind in shard.kinds)


@dataclass(slots=True)
class View:
    """The world as it is, and as it will be when the moves that go on have ended."""

    world: World
    live: dict[int, Migration] = field(default_factory=dict)  # moves that are not over, by number
    kept: dict[int, Migration] = field(default_factory=dict)  # moves that go on, by number
    cancels: dict[int, str] = field(default_factory=dict)  # and why
    keeps: set[int] = field(default_factory=set)  # moves whose drop falls away
    now: dict[str, set[str]] = field(default_factory=dict)  # by shard: engines with a good copy
    good: dict[str, set[str]] = field(default_factory=dict)  # the same when the kept moves have ended
    doubtful: dict[str, set[str]] = field(default_factory=dict)  # by shard: living engines
    used: dict[str, int] = field(default_factory=dict)  # bytes by engine: all copies, whatever their state
    limit: dict[str, int] = field(default_factory=dict)  # bytes by engine that copies may take
    holders: dict[str, set[str]] = field(default_factory=dict)  # by shard: living engines with any copy
    brought: dict[tuple[str, str], int] = field(
        default_factory=dict
    )  # copies that kept moves bring, by which
    clears: set[tuple[str, str]] = field(default_factory=set)  # copies that kept moves wait to have dropped
    idle: list[Migration] = field(
        default_factory=list
    )  # planned ones that evenness alone can be the cause of
    going: set[tuple[str, str]] = field(
        default_factory=set
    )  # copies of cancelled moves, that go by themselves
    replaced: dict[str, set[str]] = field(
        default_factory=dict
    )  # by shard: engines whose copy goes or is doubtful
    orphans: list[tuple[str, str]] = field(default_factory=list)  # coming or leaving, and no move knows of it

    def span(self, engines: set[str]) -> int:
        """Return how many zones the engines span."""
        homes = self.world.homes
        return len({homes[engine].zone for engine in engines})

    def meets_needs(self, shard: Shard, engines: set[str]) -> bool:
        """Return whether good copies on these engines are all that a shard needs."""
        fit = {engine for engine in engines if takes(self.world.homes[engine], shard)}
        return len(fit) >= wanted(shard) and self.span(fit) >= span_wanted(shard)

    def released(self, move: Migration) -> int:
        """Return the bytes that leave the engine that a move drops from."""
        if move.drops not in self.used or move.number in self.keeps:
            return 0
        pair = (move.shard, move.drops)
        there = (
            move.drops in self.holders.get(move.shard, ())
            or self.brought.get(pair, move.number) < move.number
        )
        return self.world.shards[move.shard].size if there else 0


def read(world: World, idle: Iterable[int] = ()) -> View:
    """Return the view of a world: what counts, what is used, which moves go on but for the `idle`."""
    view = View(world)
    view.cancels = dict.fromkeys(idle, "needless")
    for name in sorted(world.shards):
        view.now[name], view.holders[name], view.doubtful[name] = set(), set(), set()
    for name, home in sorted(world.homes.items()):
        if home.life != "gone":
            view.used[name], view.limit[name] = 0, home.disk - home.headroom
    for (shard, engine), copy in sorted(world.copies.items()):
        if shard in world.shards and engine in view.used:
            view.used[engine] += world.shards[shard].size
            view.holders[shard].add(engine)
            if copy.state == "good":
                view.now[shard].add(engine)
            elif copy.state == "doubtful":
                view.doubtful[shard].add(engine)
    live = {
        number: move
        for number, move in sorted(world.moves.items())
        if move.step not in ENDED and move.shard in world.shards
    }
    for move in live.values():
        if move.step in HELD and move.target in view.used and move.target not in view.holders[move.shard]:
            view.used[move.target] += world.shards[move.shard].size
            view.holders[move.shard].add(move.target)
    view.live = live
    _judge(view, live)
    _strays(view, live)
    for move in view.kept.values():
        if move.number not in view.keeps:
            view.doubtful[move.shard].discard(move.drops)  # it goes by that move
        elif _is_good(world.copies.get((move.shard, move.drops)), "leaving"):
            view.now[move.shard].add(move.drops)  # it stays, and is as good as it was
    view.replaced = {name: set(engines) for name, engines in view.doubtful.items()}
    for shard, engine in (*view.going, *view.orphans, *view.clears):
        view.replaced[shard].add(engine)
    return view


def _strays(view: View, live: dict[int, Migration]) -> None:
    """Find copies that go by themselves, and those that no move knows of."""
    for number in view.cancels:
        move = view.world.moves[number]
        if move.step in HELD and move.target in view.used and move.shard in view.holders:
            view.going.add((move.shard, move.target))
    known = {(move.shard, move.target) for move in live.values()}
    known |= {(move.shard, move.drops) for move in live.values() if move.step == "switched"}
    for (shard, engine), copy in sorted(view.world.copies.items()):
        stray = copy.state in ("coming", "leaving") and (shard, engine) not in known
        fixed = shard not in view.world.shards or view.world.shards[shard].table in view.world.frozen
        if stray and engine in view.used and not fixed:
            view.orphans.append((shard, engine))


def _judge(view: View, live: dict[int, Migration]) -> None:
    """Sort the moves that are not over into those that go on and those that have become wrong."""
    while True:
        before = len(view.cancels)
        view.kept, view.clears = {}, set()
        for number, move in live.items():
            if number in view.cancels:
                continue
            if move.step != "switched" and (why := _wrong(view, move)):
                view.cancels[number] = why
            else:
                view.kept[number] = move
        view.brought = {(move.shard, move.target): number for number, move in view.kept.items()}
        _settle(view)
        _crowded(view)
        if len(view.cancels) == before:
            _needless(view)
        if len(view.cancels) == before:
            return


def _wrong(view: View, move: Migration) -> str:
    """Return why a move that has not been switched to can't go on, or nothing."""
    world = view.world
    shard, target = world.shards[move.shard], world.homes.get(move.target)
    if target is None or target.life not in ("ready", "cold"):
        return "target"
    if not takes(target, shard):
        return "kinds"
    if move.step == "planned":
        if shard.table in world.frozen:
            return "frozen"
        if any(
            number in view.cancels or (number in world.moves and world.moves[number].step == "undone")
            for number in move.after
        ):
            return "order"
        if (
            move.target in view.holders[move.shard]
            and (move.shard, move.target) not in move.cleared
            and not any(
                number in view.kept
                and view.kept[number].shard == move.shard
                and view.kept[number].drops == move.target
                for number in move.after
            )
        ):
            return "target"
        if not all(_clears(view, move, pair) for pair in move.cleared):
            return "order"
    if (
        move.step in READING
        and move.source not in view.now[move.shard]
        and not any(
            number in view.kept
            and view.kept[number].shard == move.shard
            and view.kept[number].target == move.source
            for number in move.after
        )
    ):
        return "source"
    return ""


def _is_good(copy: Replica | None, state: str) -> bool:
    """Tell whether a copy is in this state and was known to be good."""
    return copy is not None and copy.state == state and not copy.wrong


def _clears(view: View, move: Migration, pair: tuple[str, str]) -> bool:
    """Return whether a copy that a planned move waits to have dropped is gone, going or may go."""
    world, (name, engine) = view.world, pair
    if name not in world.shards or engine not in view.holders[name] or pair in view.clears:
        return True
    shard, state = world.shards[name], world.copies[pair].state if pair in world.copies else "coming"
    anew = [other for other in view.live.values() if (other.shard, other.target) == pair]
    if any(other.step in HELD and other.number not in view.cancels for other in anew):
        return False  # the older copy has gone, and the same shard has come there again
    if state in ("coming", "leaving"):
        return True
    read = any((one.shard, one.source) == pair and one.step in READING for one in view.kept.values())
    if shard.table in world.frozen or name in world.aside or read:
        return False
    left = {other for other in view.now[name] if (name, other) not in view.clears} - {engine}
    comes = any(pair in other.cleared and other.number not in view.cancels for other in anew)
    if state == "doubtful":
        spare = (comes and bool(left)) or view.meets_needs(shard, left)
    else:
        zones = min(span_wanted(shard), view.span(left | {engine}))
        spare = len(left) >= wanted(shard) and view.span(left) >= zones
    if spare:
        view.clears.add(pair)
        return True
    return False


def _settle(view: View) -> None:
    """Say which good copies there will be, and which moves' drops would leave too few."""
    world = view.world
    view.good = {
        name: {engine for engine in engines if (name, engine) not in view.clears}
        for name, engines in view.now.items()
    }
    view.keeps = set()
    came: dict[str, dict[str, int]] = {}  # by shard: target: the last move that brings it there
    for number, move in sorted(view.kept.items()):
        if move.step == "switched" and move.target not in view.now[move.shard]:
            continue  # the engine has gone since, or its copy is doubted
        view.good[move.shard].add(move.target)
        came.setdefault(move.shard, {})[move.target] = number
    waited = {other for move in view.kept.values() for other in move.after}
    for number, move in sorted(view.kept.items()):
        pair, shard, good = (move.shard, move.drops), world.shards[move.shard], view.good[move.shard]
        copy = world.copies.get(pair) if view.released(move) else None
        if not (_is_good(copy, "good") or (_is_good(copy, "leaving") and move.step == "switched")):
            if number > came.get(move.shard, {}).get(move.drops, number):
                good.discard(move.drops)  # by way of a third engine
            continue
        rest, now = good - {move.drops}, view.now[move.shard] | {move.drops}
        fewer = len(rest) < min(wanted(shard), len(now)) or view.span(rest) < min(
            span_wanted(shard), view.span(now)
        )
        then = set(now)  # when it is done and of the others only those that it waits for
        for other in (*move.after, number):
            if other in view.kept and view.kept[other].shard == move.shard:
                then = then - {view.kept[other].drops} | {view.kept[other].target}
        fewer |= view.span(then) < min(span_wanted(shard), view.span(now))
        over = view.used[move.drops] > view.limit[move.drops]
        if takes(world.homes[move.drops], shard) and number not in waited and not over:
            both = view.span(rest | {move.drops})
            fewer |= len(rest) < wanted(shard) or view.span(rest) < min(span_wanted(shard), both)
        if rest and not fewer:
            if came.get(move.shard, {}).get(move.drops, 0) < number:
                good.discard(move.drops)
            continue
        good.add(move.drops)
        if move.step in READING and view.meets_needs(shard, good - {move.target}):
            view.cancels[number] = "needless"
        view.keeps.add(number)


def _crowded(view: View) -> None:
    """Cancel moves whose target has lost the space they were to have: the last first."""
    sizes = view.world.shards
    over = {engine: view.used[engine] - view.limit[engine] for engine in view.used}
    for number in view.cancels:
        move = view.world.moves[number]
        if move.step in HELD and move.target in over:
            over[move.target] -= sizes[move.shard].size
    for number, move in sorted(view.kept.items(), reverse=True):
        if move.step in ("reserved", "copying") and over[move.target] > 0:
            view.cancels[number] = "space"
            over[move.target] -= sizes[move.shard].size
    room = {engine: view.limit[engine] - view.used[engine] for engine in view.used}
    for number, move in sorted(view.kept.items()):
        if move.step != "planned" or number in view.cancels:
            continue
        freed = sum(
            view.released(view.kept[other])
            for other in move.after
            if other in view.kept and view.kept[other].drops == move.target
        )
        freed += sum(
            sizes[shard].size
            for shard, engine in move.cleared
            if engine == move.target and engine in view.holders.get(shard, ())
        )
        if room[move.target] + freed < sizes[move.shard].size:
            view.cancels[number] = "space"
        else:
            room[move.target] -= sizes[move.shard].size


def _needless(view: View) -> None:
    """Cancel planned moves, and begun ones that drop nothing, whose cause has gone: the last first."""
    world = view.world
    waited = Counter(other for move in view.kept.values() for other in move.after)
    load = dict(view.used)
    for move in view.kept.values():
        if move.step == "planned":
            load[move.target] += world.shards[move.shard].size
        if move.drops in load:
            load[move.drops] -= view.released(move)
    view.idle = []
    for number, move in sorted(view.kept.items(), reverse=True):
        shard = world.shards[move.shard]
        drops = move.drops if view.released(move) and number not in view.keeps else ""
        if waited[number] or move.step not in READING or (move.step != "planned" and drops):
            continue
        without = view.good[move.shard] - {move.target} | ({drops} & view.now[move.shard])
        if not view.meets_needs(shard, without):
            continue
        if drops and (not takes(world.homes[drops], shard) or load[drops] + shard.size > view.limit[drops]):
            continue
        if drops in view.now[move.shard]:
            view.idle.append(move)
            continue
        view.cancels[number] = "needless"
        view.good[move.shard] = without
        waited.subtract(move.after)
        if drops:
            load[drops] += shard.size


def heats(view: View, places: Mapping[str, AbstractSet[str]]) -> dict[str, float]:
    """Return the part of the queries' work that each living engine has with good copies in these places."""
    heat = dict.fromkeys(view.used, 0.0)
    for name, engines in sorted(places.items()):
        if engines:
            part = view.world.shards[name].heat / len(engines)
            for engine in engines:
                heat[engine] += part
    return heat


def mean(values: dict[str, float], view: View) -> float:
    """Return the mean over the engines that may take copies."""
    some = [
        value
        for engine, value in sorted(values.items())
        if view.world.homes[engine].life in ("ready", "cold")
    ]
    return sum(some) / len(some) if some else 0.0
