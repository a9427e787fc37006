"""What the shards need, and which moves stay right, without I/O.

A copy counts when it is `good` on an engine that is not gone. Copies on engines that are gone count for
nothing: neither as good, nor as disk that is used, nor as something to drop. A copy that is `doubtful`,
`coming` or `leaving` takes disk and counts for nothing else.
"""

from dataclasses import dataclass, field

from fennelwind.shards.state import Home, Move, Shard, World

ENDED = ("done", "undone")  # steps of a move that is over
HELD = (
    "reserved",
    "copying",
    "checked",
)  # steps at which the target's space is taken and the copy is not good


def wanted(shard: Shard) -> int:
    """Return how many copies are wanted; never less than one, as the last good copy is never dropped."""
    return max(1, shard.copies)


def span_wanted(shard: Shard) -> int:
    """Return how many zones the copies have to span; no more than there are copies."""
    return max(1, min(shard.zones, wanted(shard)))


def takes(home: Home, shard: Shard) -> bool:
    """Return whether the engine may be given a copy of the shard, space aside."""
    return home.life in ("ready", "cold") and (not shard.kinds or home.kind in shard.kinds)


@dataclass(slots=True)
class View:
    """The world as it is, and as it will be when the moves that go on have ended."""

    world: World
    kept: dict[int, Move] = field(default_factory=dict)  # moves that go on, by number
    cancels: dict[int, str] = field(default_factory=dict)  # and why
    keeps: set[int] = field(default_factory=set)  # moves whose drop falls away
    now: dict[str, set[str]] = field(default_factory=dict)  # by shard: engines with a good copy
    good: dict[str, set[str]] = field(default_factory=dict)  # the same when the kept moves have ended
    used: dict[str, int] = field(default_factory=dict)  # bytes by engine: all copies, whatever their state
    limit: dict[str, int] = field(default_factory=dict)  # bytes by engine that copies may take
    holds: dict[str, set[str]] = field(
        default_factory=dict
    )  # by shard: living engines with any copy, or due one

    def span(self, engines: set[str]) -> int:
        """Return how many zones the engines span."""
        homes = self.world.homes
        return len({homes[engine].zone for engine in engines})


def read(world: World) -> View:
    """Return the view of a world: what counts, what is used, which moves go on."""
    view = View(world)
    for name in sorted(world.shards):
        view.now[name], view.holds[name] = set(), set()
    for name, home in sorted(world.homes.items()):
        if home.life != "gone":
            view.used[name], view.limit[name] = 0, home.disk - home.headroom
    for (shard, engine), copy in sorted(world.copies.items()):
        if shard not in world.shards or engine not in view.used:
            continue
        view.used[engine] += world.shards[shard].size
        view.holds[shard].add(engine)
        if copy.state == "good":
            view.now[shard].add(engine)
    _judge(view)
    return view


def _wrong(view: View, move: Move) -> str:
    """Return why a move that has not been switched to can't go on, or nothing."""
    world = view.world
    shard, target = world.shards.get(move.shard), world.homes.get(move.target)
    if shard is None:
        return "shard"
    if target is None or target.life not in ("ready", "cold"):
        return "target"
    if not takes(target, shard):
        return "kinds"
    if move.step == "planned":
        if shard.table in world.frozen:
            return "frozen"
        if move.target in view.holds[move.shard] and (move.shard, move.target) not in move.cleared:
            return "target"
        if any(number in view.cancels or _undone(world, number) for number in move.after):
            return "order"
    waits = any(
        number in view.kept
        and view.kept[number].target == move.source
        and view.kept[number].shard == move.shard
        for number in move.after
    )
    if not move.drops and _enough(view, move):
        return "needless"
    if move.step != "checked" and move.source not in view.now[move.shard] and not waits:
        return "source"
    return ""


def _enough(view: View, move: Move) -> bool:
    """Return whether the shard of a move that drops nothing has all it needs without it."""
    homes, shard = view.world.homes, view.world.shards[move.shard]
    fit = {engine for engine in view.now[move.shard] if takes(homes[engine], shard)}
    return len(fit) >= wanted(shard) and view.span(fit) >= span_wanted(shard)


def _undone(world: World, number: int) -> bool:
    return number in world.moves and world.moves[number].step == "undone"


def _judge(view: View) -> None:
    """Sort the moves that are not over into those that go on and those that have become wrong."""
    world = view.world
    for number, move in sorted(world.moves.items()):
        if move.step in ENDED:
            continue
        if move.step == "switched":
            view.kept[number] = move
            continue
        if (
            move.step in HELD
            and move.target in view.used
            and move.shard in world.shards
            and (move.shard, move.target) not in world.copies
        ):
            view.used[move.target] += world.shards[move.shard].size
        if why := _wrong(view, move):
            view.cancels[number] = why
            continue
        view.kept[number] = move
    _settle(view)


def _settle(view: View) -> None:
    """Say which good copies there will be, and which moves' drops would leave too few."""
    world = view.world
    for name in sorted(world.shards):
        view.good[name] = set(view.now[name])
    for move in view.kept.values():
        if move.shard in view.good and move.step != "switched":
            view.good[move.shard].add(move.target)
            view.holds[move.shard].add(move.target)
    for number, move in sorted(view.kept.items()):
        if not move.drops or move.shard not in world.shards:
            continue
        shard, good = world.shards[move.shard], view.good[move.shard]
        living = move.drops in view.used and move.drops in view.holds[move.shard]
        state = world.copies[move.shard, move.drops].state if living else ""
        counted = state == "good" or (state == "leaving" and move.step == "switched")
        if not counted:
            continue
        before, rest = good | {move.drops}, good - {move.drops}
        count, zones, now = wanted(shard), span_wanted(shard), view.now[move.shard] | {move.drops}
        if takes(world.homes[move.drops], shard):
            fewer = len(rest) < count or view.span(rest) < min(zones, view.span(before))
        else:
            fewer = len(rest) < min(count, len(now)) or view.span(rest) < min(zones, view.span(now))
        if not fewer and rest:
            good.discard(move.drops)
            continue
        if move.step != "switched" and _enough(view, move):
            view.cancels[number] = "needless"
            del view.kept[number]
            good.discard(move.target)
            view.holds[move.shard] = {
                engine
                for engine in view.holds[move.shard]
                if engine != move.target or (move.shard, engine) in world.copies
            }
            continue
        view.keeps.add(number)
        good.add(move.drops)
        if state == "leaving":
            view.now[move.shard].add(move.drops)
