"""How many moves heat that queries were counted by causes: by chance alone, and when shards get hot.

    python -m fennelwind.benchmarks.heat [--first SEED] [--count PLAYS]

Virtual time, one seed a play: controllers count queries (Poisson), tell the record as they do in the program,
and a plan is made every minute, whose moves are over by the next one. Rates stay as they are for hours, then
those of all shards of one engine double.
"""

import argparse
import math
import random
from collections import Counter
from dataclasses import replace
from unittest import mock

from fennelwind.cluster.access_load import REPORT_INTERVAL_MS
from fennelwind.raft.state_machine import LogPosition
from fennelwind.shards import balance
from fennelwind.shards import shards_pb2 as pb
from fennelwind.shards.access_load import AccessCounter
from fennelwind.shards.model import Bounds, Replica, ReplicaHost, Shard, World
from fennelwind.shards.plan import plan
from fennelwind.shards.plan_checker import finished
from fennelwind.shards.state_machine import ACCESS_COUNTS_MIN_LEVEL, ShardMachine

MINUTE_MS = 60_000
SIZE, ENGINES, CONTROLLERS, SHARDS = 1 << 30, 48, 6, 480


class Facts:
    """A record of the level that counts."""

    def fact(self, kind: str, key: str) -> int:
        """Return the level."""
        return ACCESS_COUNTS_MIN_LEVEL if kind == "level" else 0


class Play:
    """One fleet whose shards lie evenly by what their rates really are."""

    def __init__(self, seed: int, queries: float) -> None:
        """Make it; `queries`: that name a shard, in an hour of the whole fleet."""
        self.random, self.minute, self.index, self.moves = random.Random(seed), 0, 0, Counter()
        names = [f"t/p={n}" for n in range(SHARDS)]
        weights = {name: (n + 1) ** -0.5 for n, name in enumerate(names)}
        total = sum(weights.values())
        self.rates = {name: queries * weight / total / 60.0 for name, weight in weights.items()}  # a minute
        self.world = World()
        for n in range(ENGINES):
            self.world.homes[f"e{n}"] = ReplicaHost(f"e{n}", f"z{n % 3}", "", SIZE * SHARDS, SIZE)
        for n, name in enumerate(names):
            self.world.shards[name] = Shard(name, "t", SIZE, 2, 2)
            for engine in (f"e{n % ENGINES}", f"e{(n + 1 + n // ENGINES % 2 * 3) % ENGINES}"):
                self.world.copies[name, engine] = Replica(name, engine)
        self.machine = ShardMachine()
        self.machine.shards = dict(self.world.shards)
        self.named = [AccessCounter() for _ in range(CONTROLLERS)]
        self.at = [self.random.randrange(int(REPORT_INTERVAL_MS) // MINUTE_MS) for _ in range(CONTROLLERS)]
        for _ in range(8):  # even by the true rates, as far as the tolerances ask for it
            self._take(plan(replace(self.world, counted=self.rates), Bounds()))
        self.moves.clear()

    def _take(self, planned) -> None:
        after = finished(self.world, planned)
        self.world.copies = after.copies
        self.moves["moves"] += len(planned.moves)

    def run(self, minutes: int) -> int:
        """Play on; return how many moves were made."""
        before = self.moves["moves"]
        for _ in range(minutes):
            self.minute += 1
            for name, rate in self.rates.items():
                for _ in range(poisson(self.random, rate)):
                    self.random.choice(self.named).count((name,))
            for n, named in enumerate(self.named):
                if self.minute % (int(REPORT_INTERVAL_MS) // MINUTE_MS) == self.at[n]:
                    self._tell(named)
            heats = self.machine.access_loads()
            if heats:
                self._take(plan(replace(self.world, counted=heats, heat_unit=1.0), Bounds()))
        return self.moves["moves"] - before

    def _tell(self, named: AccessCounter) -> None:
        now = self.minute * MINUTE_MS
        batch = named.batch(now)
        counted = pb.Counted(queries=[pb.Counted.Queries(shard=s, count=c) for s, c in batch])
        self.index += 1
        self.machine.apply(
            LogPosition(self.index, now), pb.Command(counted=counted).SerializeToString(), Facts()
        )
        named.discard_reported(batch)

    def unevenness(self) -> float:
        """Return how far the hottest engine is above the mean by the true rates, of the mean."""
        heat = Counter()
        lies = Counter(name for name, _ in self.world.copies)
        for name, engine in self.world.copies:
            heat[engine] += self.rates[name] / lies[name]
        return max(heat.values()) * ENGINES / sum(heat.values()) - 1.0


def poisson(chance: random.Random, mean: float) -> int:
    """Return a draw; Knuth's way, for small means."""
    least, number, product = math.exp(-mean), 0, chance.random()
    while product > least:
        number, product = number + 1, product * chance.random()
    return number


def measure(
    seed: int, queries: float, hours: int, chance: float = balance.CHANCE_DEVIATIONS
) -> tuple[float, float, int]:
    """Return moves an hour by chance, unevenness 2 h after an engine's shards doubled, and moves by that."""
    with mock.patch.object(balance, "CHANCE", chance):
        one = Play(seed, queries)
        one.run(120)  # the record knows enough
        calm = one.run(60 * hours) / hours
        for name, engine in one.world.copies:
            one.rates[name] *= 2.0 if engine == "e0" else 1.0
        moved = one.run(120)
    return calm, one.unevenness(), moved


def main() -> None:
    """Print the table that docs/results/shards.md holds."""
    parser = argparse.ArgumentParser(prog="python -m fennelwind.benchmarks.heat")
    parser.add_argument("--first", type=int, default=0, help="first seed")
    parser.add_argument("--count", type=int, default=5, help="plays")
    parser.add_argument("--hours", type=int, default=12, help="of heat that does not change")
    asked = parser.parse_args()
    for queries in (1_000.0, 3_000.0, 15_000.0, 60_000.0):
        for chance in (balance.CHANCE_DEVIATIONS, 0.0):
            rows = [
                measure(seed, queries, asked.hours, chance)
                for seed in range(asked.first, asked.first + asked.count)
            ]
            calm, uneven, moved = (sum(column) / len(rows) for column in zip(*rows, strict=True))
            print(
                f"{queries:.0f} queries an hour, {chance:.0f} deviations: {calm:.2f} moves an hour by "
                f"chance; an engine's shards doubled: {moved:.1f} in 2 h, then {uneven:.2f} over the mean",
                flush=True,
            )


if __name__ == "__main__":
    main()
