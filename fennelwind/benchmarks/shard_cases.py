"""Worlds of shards and engines by a seed, small ones for the exact yardstick and large ones like a fleet."""

import random
from dataclasses import replace

from fennelwind.shards.model import Migration, MigrationPlan, Replica, ReplicaHost, Shard, World

GB = 1 << 30  # bytes
ZONES = ("east", "north", "west")
KINDS = ("wide", "plain")


def small(seed: int, begun: bool = True) -> World:
    """Return a world of 3 to 6 engines and 4 to 12 shards with trouble; `begun`: and with moves."""
    chance = random.Random(seed)
    world = World()
    zones, mixed = chance.randint(1, 3), chance.random() < 0.3
    names = [f"e{number}" for number in range(chance.randint(3, 6))]
    for number, name in enumerate(names):
        world.homes[name] = ReplicaHost(
            name, ZONES[number % zones], chance.choice(KINDS) if mixed else KINDS[0], 0, 0
        )
    for number in range(chance.randint(4, 12)):
        table = f"t{number % 4}"
        copies = min(len(names) - 1, chance.choice((1, 1, 2, 2, 3)))
        world.shards[f"{table}/p{number}"] = Shard(
            f"{table}/p{number}",
            table,
            chance.randint(1, 20) * GB,
            copies,
            min(copies, chance.randint(1, zones)),
            (chance.choice(KINDS),) if mixed and chance.random() < 0.3 else (),
            chance.random(),
        )
    used = dict.fromkeys(names, 0)
    for shard in world.shards.values():
        for engine in _lie(chance, world, shard, used, names):
            world.copies[shard.name, engine] = Replica(shard.name, engine)
            used[engine] += shard.size
    slack = chance.choice((0.1, 0.3, 0.6, 1.0))  # how much room there is beside what lies there
    mean = sum(used.values()) // len(names)
    for name in names:
        room = int((used[name] + mean) / 2 * slack * chance.uniform(0.3, 1.7)) + chance.randint(0, 6) * GB
        spare = chance.randint(1, 4) * GB
        world.homes[name] = replace(world.homes[name], disk=used[name] + room + spare, headroom=spare)
    _trouble(chance, world, names)
    if begun:
        _begun(chance, world, names, chance.choice((0, 1, 2)))
    return world


def _lie(
    chance: random.Random, world: World, shard: Shard, used: dict[str, int], names: list[str]
) -> list[str]:
    """Return where a shard's copies lie at first: over its zones, mostly on emptier engines."""
    fit = [name for name in names if not shard.kinds or world.homes[name].kind in shard.kinds]
    fit.sort(key=lambda name: (used[name] * chance.uniform(0.5, 1.5), name))
    chosen: list[str] = []
    for name in fit:
        seen = {world.homes[one].zone for one in chosen}
        if len(chosen) < shard.copies and (
            world.homes[name].zone not in seen or len(seen) + shard.copies - len(chosen) > shard.zones
        ):
            chosen.append(name)
    return chosen


def _trouble(chance: random.Random, world: World, names: list[str]) -> None:
    """Let engines drain, go, fill and return, tables freeze, and copies be lost, doubted or too many."""
    for name in names:
        draw = chance.random()
        life = "draining" if draw < 0.13 else "gone" if draw < 0.2 else "cold" if draw < 0.3 else "ready"
        home = replace(world.homes[name], life=life)
        if chance.random() < 0.05:  # a spill's headroom was raised: it is over now
            home = replace(home, headroom=home.headroom + chance.randint(1, 10) * GB)
        world.homes[name] = home
    for key in sorted(world.copies):
        draw = chance.random()
        if draw < 0.05:
            del world.copies[key]
        elif draw < 0.1:
            world.copies[key] = replace(world.copies[key], state="doubtful")
    for shard in sorted(world.shards.values(), key=lambda one: one.name):
        if chance.random() < 0.1:
            world.shards[shard.name] = replace(shard, copies=min(len(names), chance.randint(1, 3)), zones=1)
    if chance.random() < 0.2:
        world.frozen = frozenset({f"t{chance.randint(0, 3)}"})
    if chance.random() < 0.1:
        world.aside = frozenset({chance.choice(sorted(world.shards))})


def free(world: World, engine: str) -> int:
    """Return the bytes that an engine may still take."""
    home = world.homes[engine]
    return (
        home.disk
        - home.headroom
        - sum(world.shards[shard].size for shard, where in world.copies if where == engine)
        - sum(
            world.shards[move.shard].size
            for move in world.moves.values()
            if move.target == engine
            and move.step in ("planned", "reserved", "copying", "checked")
            and (move.shard, engine) not in world.copies
        )
    )


def _begun(chance: random.Random, world: World, names: list[str], count: int) -> None:
    """Let a few moves be under way, at any step."""
    for number in range(1, count + 1):
        name = chance.choice(sorted(world.shards))
        shard = world.shards[name]
        good = [
            engine
            for engine in names
            if (name, engine) in world.copies and world.copies[name, engine].state == "good"
        ]
        to = [
            engine
            for engine in names
            if (name, engine) not in world.copies
            and free(world, engine) >= shard.size
            and world.homes[engine].life != "gone"
            and (not shard.kinds or world.homes[engine].kind in shard.kinds)
        ]
        if (
            not good
            or not to
            or any(move.shard == name for move in world.moves.values())
            or shard.table in world.frozen
        ):
            continue
        source, target = chance.choice(good), chance.choice(to)
        drops = chance.choice((source, chance.choice(good), ""))
        step = chance.choice(("planned", "reserved", "copying", "checked", "switched"))
        world.moves[number] = Migration(number, name, source, target, drops, step)
        if step != "planned":
            world.copies[name, target] = Replica(name, target, "good" if step == "switched" else "coming")
        if step == "switched" and drops:
            world.copies[name, drops] = Replica(name, drops, "leaving")


def large(seed: int, engines: int = 200, shards: int = 20_000, tight: bool = False) -> World:
    """Return a fleet of three zones and two kinds, some of whose engines drain, are gone or over."""
    chance = random.Random(seed)
    world = World()
    names = [f"engine{number:03}" for number in range(engines)]
    for number, name in enumerate(names):
        world.homes[name] = ReplicaHost(name, ZONES[number % 3], KINDS[number % 10 == 0], 0, 0)
    used = dict.fromkeys(names, 0)
    for number in range(shards):
        table = f"t{number % 400:03}"
        copies = chance.choice((1, 2, 2, 2, 3))
        shard = Shard(
            f"{table}/p{number:05}",
            table,
            int(chance.lognormvariate(1.5, 1.0) * GB) + 1,
            copies,
            min(copies, 2),
            ("wide",) if chance.random() < 0.1 else (),
            chance.paretovariate(1.5),
        )
        world.shards[shard.name] = shard
        some = chance.sample(names, 12)
        for engine in _lie(chance, world, shard, used, some):
            world.copies[shard.name, engine] = Replica(shard.name, engine)
            used[engine] += shard.size
    mean = sum(used.values()) // engines
    for name in names:
        room = mean * (chance.uniform(0.04, 0.12) if tight else chance.uniform(0.2, 0.5))
        spare = mean // 10
        world.homes[name] = replace(
            world.homes[name], disk=int(max(used[name], mean) + room) + spare, headroom=spare
        )
    for name in chance.sample(names, engines // 12):
        world.homes[name] = replace(
            world.homes[name], life=chance.choice(("draining", "gone")) if not tight else "draining"
        )
    for name in chance.sample(names, engines // 40):
        world.homes[name] = replace(world.homes[name], headroom=world.homes[name].headroom + mean // 8)
    for key in chance.sample(sorted(world.copies), len(world.copies) // 200):
        world.copies[key] = replace(world.copies[key], state="doubtful")
    world.frozen = frozenset(chance.sample([f"t{number:03}" for number in range(400)], 4))
    return world


def adopt(world: World, planned: MigrationPlan) -> World:
    """Return the world when a plan has been taken into the record and its cancels are carried out."""
    after = World(
        dict(world.shards),
        dict(world.homes),
        dict(world.copies),
        dict(world.moves),
        world.frozen,
        world.aside,
        world.heat_unit,
        world.counted,
    )
    for number in planned.cancels:
        move = after.moves.pop(number)
        copy = after.copies.get((move.shard, move.target))
        if copy is not None and copy.state == "coming":
            del after.copies[move.shard, move.target]
    for number in planned.keeps:
        move = after.moves[number]
        after.moves[number] = replace(move, drops="")
        if (move.shard, move.drops) in after.copies and after.copies[
            move.shard, move.drops
        ].state == "leaving":
            after.copies[move.shard, move.drops] = Replica(move.shard, move.drops)
    after.moves.update((move.number, move) for move in planned.moves)
    return after


def may_step(world: World, move: Migration) -> bool:
    """Return whether a move's next step may be done: what it waits for is done, its engines are there."""
    lives = world.homes[move.target].life != "gone" and world.homes[move.source].life != "gone"
    if move.step == "planned":
        source = world.copies.get((move.shard, move.source))
        return (
            lives
            and not any(number in world.moves for number in move.after)
            and not any(pair in world.copies for pair in move.cleared)
            and source is not None
            and source.state == "good"
        )
    return lives or move.step in ("checked", "switched")


def step(world: World, number: int) -> None:
    """Carry out the next step of a move; when it is done it is taken off the list."""
    move = world.moves[number]
    following = {"planned": "reserved", "reserved": "copying", "copying": "checked", "checked": "switched"}
    if move.step == "planned":
        world.copies[move.shard, move.target] = Replica(move.shard, move.target, "coming")
    if move.step == "checked":
        world.copies[move.shard, move.target] = Replica(move.shard, move.target)
        if (move.shard, move.drops) in world.copies:
            world.copies[move.shard, move.drops] = Replica(move.shard, move.drops, "leaving")
    if move.step == "switched":
        world.copies.pop((move.shard, move.drops), None)
        del world.moves[number]
    else:
        world.moves[number] = replace(move, step=following[move.step])


def change(world: World, chance: random.Random) -> None:
    """Let something happen: an engine drains, goes, returns, fills up or is emptied, a shard grows wanted."""
    name = chance.choice(sorted(world.homes))
    home, what = world.homes[name], chance.random()
    if what < 0.2:
        world.homes[name] = replace(home, life="draining")
    elif what < 0.35:
        world.homes[name] = replace(home, life="gone")
    elif what < 0.6:
        if home.life == "gone":  # back, with copies that may be old
            for key in sorted(key for key in world.copies if key[1] == name):
                world.copies[key] = replace(world.copies[key], state="doubtful")
        world.homes[name] = replace(home, life="ready")
    elif what < 0.7:
        world.homes[name] = replace(home, headroom=home.headroom + chance.randint(1, 5) * GB)
    elif what < 0.8:  # the same name comes back empty
        for key in sorted(key for key in world.copies if key[1] == name):
            del world.copies[key]
        world.homes[name] = replace(home, life="ready", generation=home.generation + 1)
    elif what < 0.9:
        shard = world.shards[chance.choice(sorted(world.shards))]
        world.shards[shard.name] = replace(shard, copies=chance.randint(1, 3))
    else:
        busy = {world.shards[move.shard].table for move in world.moves.values() if move.step != "planned"}
        world.frozen = frozenset({f"t{chance.randint(0, 3)}"} - busy)
