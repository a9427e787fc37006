"""Plans of shard moves against the optimum, lower bounds and two plain yardsticks, over worlds by a seed.

`python -m fennelwind.benchmarks.shards small|large|loops|defects [--first N] [--count N]`
"""

import argparse
import hashlib
import math
import random
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from fennelwind.benchmarks import exact
from fennelwind.benchmarks.shard_cases import adopt, change, large, may_step, small, step
from fennelwind.benchmarks.shard_defects import DEFECTS
from fennelwind.benchmarks.shard_defects import found as found_defect
from fennelwind.shards.model import Bounds, Migration, MigrationPlan, Shard, World
from fennelwind.shards.plan import plan
from fennelwind.shards.plan_checker import check, finished

NEEDS_ONLY = Bounds(disk_tolerance=1e9, heat_tolerance=1e9)  # no move for evenness: bytes that needs take
CHANGES = 4  # that happen to a world while its plans are carried out
ROUNDS_MOST = 30  # of planning after which a world is told as restless


def wilson(hits: int, count: int) -> tuple[float, float]:
    """Return the 95% interval (Wilson's) of a share."""
    if not count:
        return 0.0, 1.0
    z, share = 1.96, hits / count
    middle, half = (
        share + z * z / (2 * count),
        z * math.sqrt(share * (1 - share) / count + z * z / (4 * count**2)),
    )
    return (middle - half) / (1 + z * z / count), (middle + half) / (1 + z * z / count)


def largest_first(world: World) -> MigrationPlan:
    """Return the plain plan: the largest shard first, each missing copy to the engine with the most space."""
    return _plainly(world, lambda shard, engine, free: free)


def hashed(world: World) -> MigrationPlan:
    """Return the plan that hashes all anew: copies go to the engines that rank highest for the name."""

    def rank(shard: Shard, engine: str, free: int) -> float:
        return int.from_bytes(
            hashlib.blake2b(f"{shard.name} {engine}".encode(), digest_size=6).digest(), "big"
        )

    return _plainly(world, rank, anew=True)


def _plainly(world: World, rank: Callable[[Shard, str, int], float], anew: bool = False) -> MigrationPlan:
    """Return moves that begin all at once, or where space is found, in the order of shards' sizes."""
    living = [name for name, home in sorted(world.homes.items()) if home.life != "gone"]
    free = {name: world.homes[name].disk - world.homes[name].headroom for name in living}
    good: dict[str, set[str]] = {name: set() for name in world.shards}
    for (shard, engine), copy in sorted(world.copies.items()):
        if engine in free:
            free[engine] -= world.shards[shard].size
            if copy.state == "good":
                good[shard].add(engine)
    moves: list[Migration] = []
    for shard in sorted(world.shards.values(), key=lambda one: (-one.size, one.name)):
        here = good[shard.name]
        if not here or shard.table in world.frozen:
            continue
        fit = [
            name
            for name in living
            if world.homes[name].life in ("ready", "cold")
            and (not shard.kinds or world.homes[name].kind in shard.kinds)
        ]
        ranked = sorted(fit, key=lambda name: (-rank(shard, name, free[name]), name))
        chosen = [] if anew else [name for name in sorted(here) if name in fit][: shard.copies]
        for name in ranked:
            zones = {world.homes[one].zone for one in chosen}
            apart = (
                len(zones) + shard.copies - len(chosen) > shard.zones or world.homes[name].zone not in zones
            )
            if (
                name not in chosen
                and len(chosen) < shard.copies
                and apart
                and (anew or (free[name] >= shard.size and (shard.name, name) not in world.copies))
            ):
                chosen.append(name)
        outs = sorted(here - set(chosen))
        source = sorted(here)[0]
        for name in chosen:
            if name not in here:
                drops = outs.pop(0) if outs else ""
                moves.append(Migration(len(moves) + 1, shard.name, source, name, drops))
                free[name] -= shard.size
                if drops:
                    free[drops] += 0 if anew else shard.size
    return MigrationPlan(tuple(moves), bytes=sum(world.shards[move.shard].size for move in moves))


@dataclass(slots=True)
class Small:
    """What plans for small worlds came to."""

    kinds: Counter  # "whole" or "short" worlds, and "equal", "more" or "unknown"
    worst: float  # bytes over the optimum of the worst plan with as little unmet
    crossings: int  # findings of headroom, and all others
    findings: int
    plain: dict[str, list]  # by yardstick: worlds met as far, ratios of bytes there, worlds with a crossing
    slowest: float  # s of a processor that a plan took
    worse: list[tuple]  # seed, what was unmet and GB of the plan, the same of the optimum


def measure_small(first: int, count: int) -> Small:
    """Return how plans for worlds without moves under way compare with the optimum."""
    result = Small(Counter(), 1.0, 0, 0, {"largest first": [0, [], 0], "hashing anew": [0, [], 0]}, 0.0, [])
    for seed in range(first, first + count):
        world = small(seed, begun=False)
        began = time.process_time()
        planned = plan(world, NEEDS_ONLY)
        result.slowest = max(result.slowest, time.process_time() - began)
        found = check(world, planned)
        result.crossings += sum(finding.rule == "headroom" for finding in found)
        result.findings += len(found)
        base = exact.settled(world, planned)
        best = exact.assigned(base)
        lacking = exact.unmet(finished(world, planned))
        kind = "short" if best.unmet else "whole"
        if (lacking, planned.bytes) == (best.unmet, best.bytes):
            result.kinds[kind, "equal"] += 1
        else:
            true = exact.ordered(base, best.unmet, lacking)
            if true != exact.Optimum(lacking, planned.bytes):
                result.worse.append(
                    (
                        seed,
                        lacking,
                        planned.bytes >> 30,
                        *(
                            (true.unmet, true.bytes >> 30)
                            if true
                            else ("at least", best.unmet, best.bytes >> 30)
                        ),
                    )
                )
            if true is None:
                result.kinds[kind, "unknown"] += 1
            elif (lacking, planned.bytes) == (true.unmet, true.bytes):
                result.kinds[kind, "equal"] += 1
            elif lacking == true.unmet:
                result.kinds[kind, "more bytes"] += 1
                result.worst = max(result.worst, planned.bytes / max(1, true.bytes))
            else:
                result.kinds[kind, "more unmet"] += 1
        for name, way in (("largest first", largest_first), ("hashing anew", hashed)):
            other = way(world)
            row = result.plain[name]
            row[2] += any(finding.rule == "headroom" for finding in check(world, other, final=False))
            if exact.unmet(finished(world, other)) <= lacking:
                row[0] += 1
                if planned.bytes:
                    row[1].append(other.bytes / planned.bytes)
    return result


def measure_large(seed: int, tight: bool, engines: int = 200, shards: int = 20_000) -> list[tuple]:
    """Return for each way: s of a processor, moves, bytes over the bound, unmet, crossings, findings."""
    world = large(seed, engines, shards, tight)
    least, rows = exact.bound(world), []
    for name, way in (
        ("planner", lambda one: plan(one, NEEDS_ONLY)),
        ("largest first", largest_first),
        ("hashing anew", hashed),
    ):
        began = time.process_time()
        planned = way(world)
        took = time.process_time() - began
        found = check(world, planned, final=name == "planner")
        rows.append(
            (
                name,
                took,
                len(planned.moves),
                planned.bytes / least,
                exact.unmet(finished(world, planned)) - exact.structural(world),
                sum(finding.rule == "headroom" for finding in found),
                len(found),
            )
        )
    return rows


def play(seed: int) -> Counter:
    """Return what was counted while a world changed and its plans were carried out, until it came to rest."""
    chance, world, counts, changes = random.Random(seed), small(seed), Counter(), CHANGES
    for _ in range(ROUNDS_MOST):
        planned = plan(world)
        counts["plans"] += 1
        counts["moves"] += len(planned.moves)
        counts["cancels"] += len(planned.cancels)
        for finding in check(world, planned):
            counts[f"found {finding.rule}"] += 1
        world = adopt(world, planned)
        again = plan(world)
        counts["not the same again"] += bool(again.moves or again.cancels or again.keeps)
        if changes:
            changes -= 1
            for pair in planned.drops:
                if chance.random() < 0.5:
                    world.copies.pop(pair, None)
            for _ in range(chance.randint(0, 12)):
                _one_step(world, chance)
            change(world, chance)
            continue
        for pair in planned.drops:
            world.copies.pop(pair, None)
        while _one_step(world, chance):
            pass
        if not (planned.moves or planned.drops or planned.cancels or world.moves):
            counts["at rest"] += 1
            counts["as much unmet as must be"] += exact.unmet(world) == exact.assigned(world).unmet
            return counts
    return counts


def _one_step(world: World, chance: random.Random) -> bool:
    """Carry out one step of one move, if there is one; see that no engine's copies grow over its headroom."""
    some = [number for number, move in sorted(world.moves.items()) if may_step(world, move)]
    if some:
        step(world, chance.choice(some))
    return bool(some)


def main() -> None:
    """Print the tables that docs/results/shards.md holds."""
    parser = argparse.ArgumentParser(prog="python -m fennelwind.benchmarks.shards")
    parser.add_argument("what", choices=("small", "large", "loops", "defects"))
    parser.add_argument("--first", type=int, default=100_000, help="first seed")
    parser.add_argument("--count", type=int, default=500, help="worlds")
    asked = parser.parse_args()
    if asked.what == "small":
        found = measure_small(asked.first, asked.count)
        equal = sum(count for (_, how), count in found.kinds.items() if how == "equal")
        low, high = wilson(equal, asked.count)
        print(f"equal to the optimum: {equal} of {asked.count} ({low:.3f} to {high:.3f})")
        for (kind, how), count in sorted(found.kinds.items()):
            print(f"  {kind}, {how}: {count}")
        for case in found.worse:
            print("  not shown equal:", *case)
        print(f"worst over the optimum: {found.worst:.3f}; slowest plan {found.slowest:.2f} s of a processor")
        print(f"headroom crossings {found.crossings}, all findings {found.findings}")
        for name, (met, ratios, crossed) in found.plain.items():
            mean = sum(ratios) / max(1, len(ratios))
            print(
                f"{name}: meets as much in {met} of {asked.count}, there {mean:.2f} times the planner's bytes"
                f" (mean of {len(ratios)}), crosses headroom in {crossed}"
            )
    elif asked.what == "large":
        for seed in range(asked.first, asked.first + asked.count):
            for tight in (False, True):
                for row in measure_large(seed, tight):
                    print(
                        seed,
                        "tight" if tight else "roomy",
                        "{}: {:.2f} s of a processor, {} moves, {:.4f} of the bound, {} unmet, {} crossings, "
                        "{} findings".format(*row),
                        flush=True,
                    )
    elif asked.what == "defects":
        for name, planner in DEFECTS.items():
            first = found_defect(planner, asked.first, asked.count)
            print(
                f"{name}: " + (f"world {first[0]}, {first[1]}" if first else f"not in {asked.count} worlds")
            )
    else:
        total = Counter()
        for seed in range(asked.first, asked.first + asked.count):
            total += play(seed)
        for name, count in sorted(total.items()):
            print(f"{name}: {count}")


if __name__ == "__main__":
    main()
