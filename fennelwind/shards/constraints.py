"""What the shards need and which running migrations remain valid. No I/O.

A replica counts towards its shard's needs if it is `good` on an engine that is not gone. A replica on an
engine that is gone is ignored: it is not good, uses no disk and needs no drop. A replica that is `doubtful`,
`coming` or `leaving` takes disk space and counts for nothing else.

A migration is cancelled when its target may not have the replica or no longer needs it, when no engine has a
good replica to read, when its table is frozen before it has begun, or when there is no longer space for it.
A migration whose old replica is needed after all continues without the drop (`keeps`).
"""

from collections import Counter
from collections.abc import Iterable, Mapping
from collections.abc import Set as AbstractSet
from dataclasses import dataclass, field

from fennelwind.shards.model import Migration, Replica, ReplicaHost, Shard, World

ENDED_STEPS = ("done", "undone")  # steps of a migration that has ended
# steps with space reserved and a replica that is not good yet
SPACE_HELD_STEPS = ("reserved", "copying", "checked")
READING_STEPS = ("planned", "reserved", "copying")  # steps that still need the source


def replication_factor(shard: Shard) -> int:
    """Return the replication factor; at least 1, since the last good replica is never dropped."""
    return max(1, shard.copies)


def required_zones(shard: Shard) -> int:
    """Return the number of zones that the replicas have to span; at most one for each replica."""
    return max(1, min(shard.zones, replication_factor(shard)))


def accepts_replica(home: ReplicaHost, shard: Shard) -> bool:
    """Return whether the engine may be given a replica of the shard, regardless of space."""
    return home.life in ("ready", "cold") and (not shard.kinds or home.kind in shard.kinds)


@dataclass(slots=True)
class View:
    """The world as it is, and as it will be when the continuing migrations have ended."""

    world: World
    # migrations that have not ended, by number
    unfinished: dict[int, Migration] = field(default_factory=dict)
    continuing: dict[int, Migration] = field(default_factory=dict)  # migrations that continue, by number
    cancels: dict[int, str] = field(default_factory=dict)  # reason for each cancelled migration, by number
    keeps: set[int] = field(default_factory=set)  # migrations that continue without their drop
    good_now: dict[str, set[str]] = field(default_factory=dict)  # by shard: engines with a good replica
    # by shard: engines with a good replica once the continuing migrations have ended
    good_at_end: dict[str, set[str]] = field(default_factory=dict)
    # by shard: live engines with a doubtful replica
    doubtful: dict[str, set[str]] = field(default_factory=dict)
    used: dict[str, int] = field(default_factory=dict)  # bytes by engine, of all replicas in any state
    limit: dict[str, int] = field(default_factory=dict)  # bytes that replicas may take, by engine
    holders: dict[str, set[str]] = field(default_factory=dict)  # by shard: live engines with any replica
    # by shard and engine: the continuing migration that brings the replica
    brought_by: dict[tuple[str, str], int] = field(default_factory=dict)
    # replicas whose drop continuing migrations wait for
    to_clear: set[tuple[str, str]] = field(default_factory=set)
    # planned migrations whose only possible reason is balance
    balance_only: list[Migration] = field(default_factory=list)
    # replicas left by cancelled migrations; they are dropped without a migration of their own
    cancelled_copies: set[tuple[str, str]] = field(default_factory=set)
    # by shard: engines whose replica is being dropped or is doubtful
    leaving_or_doubtful: dict[str, set[str]] = field(default_factory=dict)
    # coming or leaving replicas without a migration
    orphans: list[tuple[str, str]] = field(default_factory=list)

    def span(self, engines: set[str]) -> int:
        """Return the number of zones that the engines span."""
        homes = self.world.homes
        return len({homes[engine].zone for engine in engines})

    def meets_needs(self, shard: Shard, engines: set[str]) -> bool:
        """Return whether good replicas on these engines meet the shard's needs."""
        fitting = {engine for engine in engines if accepts_replica(self.world.homes[engine], shard)}
        return len(fitting) >= replication_factor(shard) and self.span(fitting) >= required_zones(shard)

    def freed_by_drop(self, move: Migration) -> int:
        """Return the bytes that the migration's drop frees on its engine."""
        if move.drops not in self.used or move.number in self.keeps:
            return 0
        pair = (move.shard, move.drops)
        is_present = (
            move.drops in self.holders.get(move.shard, ())
            or self.brought_by.get(pair, move.number) < move.number
        )
        return self.world.shards[move.shard].size if is_present else 0


def build_view(world: World, balance_only: Iterable[int] = ()) -> View:
    """Return the view of a world. The migrations `balance_only` are cancelled as needless."""
    view = View(world)
    view.cancels = dict.fromkeys(balance_only, "needless")
    for name in sorted(world.shards):
        view.good_now[name], view.holders[name], view.doubtful[name] = set(), set(), set()
    for name, home in sorted(world.homes.items()):
        if home.life != "gone":
            view.used[name], view.limit[name] = 0, home.disk - home.headroom
    for (shard, engine), copy in sorted(world.copies.items()):
        if shard in world.shards and engine in view.used:
            view.used[engine] += world.shards[shard].size
            view.holders[shard].add(engine)
            if copy.state == "good":
                view.good_now[shard].add(engine)
            elif copy.state == "doubtful":
                view.doubtful[shard].add(engine)
    unfinished = {
        number: move
        for number, move in sorted(world.moves.items())
        if move.step not in ENDED_STEPS and move.shard in world.shards
    }
    for move in unfinished.values():
        if (
            move.step in SPACE_HELD_STEPS
            and move.target in view.used
            and move.target not in view.holders[move.shard]
        ):
            view.used[move.target] += world.shards[move.shard].size
            view.holders[move.shard].add(move.target)
    view.unfinished = unfinished
    _select_continuing(view, unfinished)
    _find_orphans(view, unfinished)
    for move in view.continuing.values():
        if move.number not in view.keeps:
            view.doubtful[move.shard].discard(move.drops)  # the migration drops this replica
        elif _is_known_good(world.copies.get((move.shard, move.drops)), "leaving"):
            view.good_now[move.shard].add(move.drops)  # the replica stays, and was known to be good
    view.leaving_or_doubtful = {name: set(engines) for name, engines in view.doubtful.items()}
    for shard, engine in (*view.cancelled_copies, *view.orphans, *view.to_clear):
        view.leaving_or_doubtful[shard].add(engine)
    return view


def _find_orphans(view: View, unfinished: dict[int, Migration]) -> None:
    """Find the replicas of cancelled migrations, and those without a migration."""
    for number in view.cancels:
        move = view.world.moves[number]
        if move.step in SPACE_HELD_STEPS and move.target in view.used and move.shard in view.holders:
            view.cancelled_copies.add((move.shard, move.target))
    known = {(move.shard, move.target) for move in unfinished.values()}
    known |= {(move.shard, move.drops) for move in unfinished.values() if move.step == "switched"}
    for (shard, engine), copy in sorted(view.world.copies.items()):
        is_orphan_state = copy.state in ("coming", "leaving") and (shard, engine) not in known
        is_pinned = shard not in view.world.shards or view.world.shards[shard].table in view.world.frozen
        if is_orphan_state and engine in view.used and not is_pinned:
            view.orphans.append((shard, engine))


def _select_continuing(view: View, unfinished: dict[int, Migration]) -> None:
    """Divide the migrations that have not ended into those that continue and those to cancel."""
    while True:
        before = len(view.cancels)
        view.continuing, view.to_clear = {}, set()
        for number, move in unfinished.items():
            if number in view.cancels:
                continue
            if move.step != "switched" and (reason := _cancel_reason(view, move)):
                view.cancels[number] = reason
            else:
                view.continuing[number] = move
        view.brought_by = {(move.shard, move.target): number for number, move in view.continuing.items()}
        _compute_final_replicas(view)
        _cancel_for_space(view)
        if len(view.cancels) == before:
            _cancel_needless(view)
        if len(view.cancels) == before:
            return


def _cancel_reason(view: View, move: Migration) -> str:
    """Return why a migration that is not switched yet can't continue, or "" if it can."""
    world = view.world
    shard, target = world.shards[move.shard], world.homes.get(move.target)
    if target is None or target.life not in ("ready", "cold"):
        return "target"
    if not accepts_replica(target, shard):
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
                number in view.continuing
                and view.continuing[number].shard == move.shard
                and view.continuing[number].drops == move.target
                for number in move.after
            )
        ):
            return "target"
        if not all(_can_clear(view, move, pair) for pair in move.cleared):
            return "order"
    if (
        move.step in READING_STEPS
        and move.source not in view.good_now[move.shard]
        and not any(
            number in view.continuing
            and view.continuing[number].shard == move.shard
            and view.continuing[number].target == move.source
            for number in move.after
        )
    ):
        return "source"
    return ""


def _is_known_good(copy: Replica | None, state: str) -> bool:
    """Return whether a replica is in `state` and was known to be good before."""
    return copy is not None and copy.state == state and not copy.wrong


def _can_clear(view: View, move: Migration, pair: tuple[str, str]) -> bool:
    """Return whether a replica whose drop a planned migration waits for is gone, leaving or droppable."""
    world, (name, engine) = view.world, pair
    if name not in world.shards or engine not in view.holders[name] or pair in view.to_clear:
        return True
    shard, state = world.shards[name], world.copies[pair].state if pair in world.copies else "coming"
    migrations_to_engine = [
        other for other in view.unfinished.values() if (other.shard, other.target) == pair
    ]
    if any(
        other.step in SPACE_HELD_STEPS and other.number not in view.cancels for other in migrations_to_engine
    ):
        return False  # the older replica is gone, and a migration brought the shard to the engine again
    if state in ("coming", "leaving"):
        return True
    is_read = any(
        (reader.shard, reader.source) == pair and reader.step in READING_STEPS
        for reader in view.continuing.values()
    )
    if shard.table in world.frozen or name in world.aside or is_read:
        return False
    good_left = {other for other in view.good_now[name] if (name, other) not in view.to_clear} - {engine}
    is_replaced = any(
        pair in other.cleared and other.number not in view.cancels for other in migrations_to_engine
    )
    if state == "doubtful":
        may_drop = (is_replaced and bool(good_left)) or view.meets_needs(shard, good_left)
    else:
        zones = min(required_zones(shard), view.span(good_left | {engine}))
        may_drop = len(good_left) >= replication_factor(shard) and view.span(good_left) >= zones
    if may_drop:
        view.to_clear.add(pair)
        return True
    return False


def _compute_final_replicas(view: View) -> None:
    """Compute which good replicas there will be, and which migrations' drops would leave too few."""
    world = view.world
    view.good_at_end = {
        name: {engine for engine in engines if (name, engine) not in view.to_clear}
        for name, engines in view.good_now.items()
    }
    view.keeps = set()
    # by shard and target: the last migration that brings a replica there
    brought_last: dict[str, dict[str, int]] = {}
    for number, move in sorted(view.continuing.items()):
        if move.step == "switched" and move.target not in view.good_now[move.shard]:
            continue  # the target has gone since, or its replica is doubtful
        view.good_at_end[move.shard].add(move.target)
        brought_last.setdefault(move.shard, {})[move.target] = number
    waited_for = {other for move in view.continuing.values() for other in move.after}
    for number, move in sorted(view.continuing.items()):
        pair, shard, good_at_end = (
            (move.shard, move.drops),
            world.shards[move.shard],
            view.good_at_end[move.shard],
        )
        copy = world.copies.get(pair) if view.freed_by_drop(move) else None
        if not (
            _is_known_good(copy, "good") or (_is_known_good(copy, "leaving") and move.step == "switched")
        ):
            if number > brought_last.get(move.shard, {}).get(move.drops, number):
                good_at_end.discard(move.drops)  # the drop removes an intermediate replica on a third engine
            continue
        others, good_now = good_at_end - {move.drops}, view.good_now[move.shard] | {move.drops}
        loses_needed = len(others) < min(replication_factor(shard), len(good_now)) or view.span(others) < min(
            required_zones(shard), view.span(good_now)
        )
        good_when_done = set(good_now)  # after only `move` and the migrations that `move` waits for
        for other in (*move.after, number):
            if other in view.continuing and view.continuing[other].shard == move.shard:
                good_when_done = good_when_done - {view.continuing[other].drops} | {
                    view.continuing[other].target
                }
        loses_needed |= view.span(good_when_done) < min(required_zones(shard), view.span(good_now))
        over = view.used[move.drops] > view.limit[move.drops]
        if accepts_replica(world.homes[move.drops], shard) and number not in waited_for and not over:
            zones_with_drop = view.span(others | {move.drops})
            loses_needed |= len(others) < replication_factor(shard) or view.span(others) < min(
                required_zones(shard), zones_with_drop
            )
        if others and not loses_needed:
            if brought_last.get(move.shard, {}).get(move.drops, 0) < number:
                good_at_end.discard(move.drops)
            continue
        good_at_end.add(move.drops)
        if move.step in READING_STEPS and view.meets_needs(shard, good_at_end - {move.target}):
            view.cancels[number] = "needless"
        view.keeps.add(number)


def _cancel_for_space(view: View) -> None:
    """Cancel migrations whose target no longer has space for them, the last first."""
    sizes = view.world.shards
    over = {engine: view.used[engine] - view.limit[engine] for engine in view.used}
    for number in view.cancels:
        move = view.world.moves[number]
        if move.step in SPACE_HELD_STEPS and move.target in over:
            over[move.target] -= sizes[move.shard].size
    for number, move in sorted(view.continuing.items(), reverse=True):
        if move.step in ("reserved", "copying") and over[move.target] > 0:
            view.cancels[number] = "space"
            over[move.target] -= sizes[move.shard].size
    room = {engine: view.limit[engine] - view.used[engine] for engine in view.used}
    for number, move in sorted(view.continuing.items()):
        if move.step != "planned" or number in view.cancels:
            continue
        freed = sum(
            view.freed_by_drop(view.continuing[other])
            for other in move.after
            if other in view.continuing and view.continuing[other].drops == move.target
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


def _cancel_needless(view: View) -> None:
    """Cancel migrations now needless, highest number first: planned ones, and running ones without a drop."""
    world = view.world
    waited_for = Counter(other for move in view.continuing.values() for other in move.after)
    load = dict(view.used)
    for move in view.continuing.values():
        if move.step == "planned":
            load[move.target] += world.shards[move.shard].size
        if move.drops in load:
            load[move.drops] -= view.freed_by_drop(move)
    view.balance_only = []
    for number, move in sorted(view.continuing.items(), reverse=True):
        shard = world.shards[move.shard]
        drops = move.drops if view.freed_by_drop(move) and number not in view.keeps else ""
        if waited_for[number] or move.step not in READING_STEPS or (move.step != "planned" and drops):
            continue
        without = view.good_at_end[move.shard] - {move.target} | ({drops} & view.good_now[move.shard])
        if not view.meets_needs(shard, without):
            continue
        if drops and (
            not accepts_replica(world.homes[drops], shard) or load[drops] + shard.size > view.limit[drops]
        ):
            continue
        if drops in view.good_now[move.shard]:
            view.balance_only.append(move)
            continue
        view.cancels[number] = "needless"
        view.good_at_end[move.shard] = without
        waited_for.subtract(move.after)
        if drops:
            load[drops] += shard.size


def access_load_by_engine(view: View, places: Mapping[str, AbstractSet[str]]) -> dict[str, float]:
    """Return each live engine's access load, given engines with good replicas by shard.

    The load of a shard is divided evenly among its replicas.
    """
    heat = dict.fromkeys(view.used, 0.0)
    for name, engines in sorted(places.items()):
        if engines:
            part = view.world.shards[name].heat / len(engines)
            for engine in engines:
                heat[engine] += part
    return heat


def mean_over_accepting(values: dict[str, float], view: View) -> float:
    """Return the mean over the engines that accept replicas."""
    accepting_values = [
        value
        for engine, value in sorted(values.items())
        if view.world.homes[engine].life in ("ready", "cold")
    ]
    return sum(accepting_values) / len(accepting_values) if accepting_values else 0.0
