"""An order in which transfers may begin, so that headroom holds at all times. No I/O.

Transfers are appended to a sequence. For each transfer, free space is computed as if all transfers listed
before it for the same engine had begun, and only the drops that it waits for were done. So no engine's
headroom is violated, with any degree of parallelism, if each transfer begins after what it waits for: of the
transfers that have begun on an engine, the last one listed waited for enough space for all of them.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from fennelwind.shards.constraints import READING_STEPS, View, accepts_replica, required_zones
from fennelwind.shards.model import Migration

Pair = tuple[str, str]  # shard, engine
MAX_EXHAUSTIVE_TRANSFERS = 12  # all orders of up to this many transfers are searched: at most 4096 sets


@dataclass(slots=True, frozen=True)
class Transfer:
    """A replica to create and the one it replaces, if any."""

    shard: str
    target: str
    drops: str = ""


@dataclass(slots=True)
class Sequence:
    """The migrations listed so far, and the space and replicas that result."""

    view: View
    first: int  # number of the first new migration
    drops: Iterable[Pair] = ()  # replicas dropped without a migration
    moves: list[Migration] = field(default_factory=list)
    # free bytes by engine when all listed migrations have begun and nothing is dropped
    free_bytes: dict[str, int] = field(default_factory=dict)
    # by engine: bytes freed, and the migration or drop that frees them
    freed_by: dict[str, list[tuple[int, int | Pair]]] = field(default_factory=dict)
    # bytes freed by engine when all listed migrations are done
    freed_bytes: dict[str, int] = field(default_factory=dict)
    # by shard and engine: the migration that brings the replica, or 0 if it is there from the start
    available: dict[str, dict[str, int]] = field(default_factory=dict)
    readers: dict[Pair, list[int]] = field(default_factory=dict)  # migrations that read a replica
    read_counts: dict[str, int] = field(default_factory=dict)  # number of migrations that read from an engine
    moves_of_shard: dict[str, list[int]] = field(default_factory=dict)  # migrations by shard

    def __post_init__(self) -> None:
        view = self.view
        for engine, used in view.used.items():
            self.free_bytes[engine] = view.limit[engine] - used
            self.freed_by[engine], self.freed_bytes[engine], self.read_counts[engine] = [], 0, 0
        for pair in sorted({*view.cancelled_copies, *self.drops}):
            self._add_freed(pair[1], view.world.shards[pair[0]].size, pair)
            self.sources(pair[0]).pop(pair[1], None)
        for number, move in sorted(view.continuing.items()):
            self._add_continuing(number, move)

    def _add_freed(self, engine: str, size: int, by: int | Pair) -> None:
        self.freed_by[engine].append((size, by))
        self.freed_bytes[engine] += size

    def _add_continuing(self, number: int, move: Migration) -> None:
        """List a migration that is already under way."""
        available = self.sources(move.shard)
        if move.step == "planned":
            self.free_bytes[move.target] -= self.view.world.shards[move.shard].size
        if move.step != "switched":
            available[move.target] = number
        if move.source in self.read_counts and move.step in READING_STEPS:
            self.read_counts[move.source] += 1
            self.readers.setdefault((move.shard, move.source), []).append(number)
        if number in self.view.keeps:
            if move.drops in self.free_bytes:
                available.setdefault(move.drops, 0)
        elif freed := self.view.freed_by_drop(move):
            self._add_freed(move.drops, freed, number)
            available.pop(move.drops, None)
        self.moves_of_shard.setdefault(move.shard, []).append(number)

    def sources(self, shard: str) -> dict[str, int]:
        """Return the engines where the shard can be read after all listed migrations and drops.

        Each value is the migration that brings the replica, or 0 if the replica is there from the start.
        """
        if shard not in self.available:
            self.available[shard] = dict.fromkeys(sorted(self.view.good_now[shard]), 0)
        return self.available[shard]

    def free_at_end(self, engine: str) -> int:
        """Return the bytes that are free when all that is listed is done."""
        return self.free_bytes[engine] + self.freed_bytes[engine]

    def add(self, transfer: Transfer) -> Migration | None:
        """Append a transfer; return its migration, or None if space, a source or a zone is missing."""
        world, view = self.view.world, self.view
        shard, target, drops = transfer.shard, transfer.target, transfer.drops
        size, available, homes = world.shards[shard].size, self.sources(shard), world.homes
        if not available or self.free_at_end(target) < size:
            return None
        zones = required_zones(world.shards[shard])
        if drops in available and view.span(set(available) - {drops} | {target}) < min(
            zones, view.span(set(available))
        ):
            return None
        source = min(
            available,
            key=lambda engine: (
                available[engine] != 0,
                homes[engine].zone != homes[target].zone,
                self.read_counts[engine],
                engine,
            ),
        )
        number = self.first + len(self.moves)
        after, cleared = {available[source]} - {0}, set()
        lacking = size - self.free_bytes[target]
        for bytes_freed, by in self.freed_by[target]:
            if (shard, target) == by:  # the shard's own older replica on the target
                cleared.add(by)
                lacking -= bytes_freed
        for bytes_freed, by in self.freed_by[target]:
            if lacking <= 0:
                break
            if isinstance(by, int):
                after.add(by)
            elif by not in cleared:
                cleared.add(by)
            else:
                continue
            lacking -= bytes_freed
        for other in self.moves_of_shard.get(shard, ()):  # an earlier migration drops the replica there
            move = view.continuing[other] if other in view.continuing else self.moves[other - self.first]
            if move.drops == target:
                after.add(other)
        if drops:
            after.update(self.readers.get((shard, drops), ()))
            if drops in available:
                after.update({available[drops]} - {0})
                if zones > 1:  # one replacement at a time, so that no two of them together lose a zone
                    after.update(self.moves_of_shard.get(shard, ()))
            self._add_freed(drops, size, number)
        move = Migration(
            number, shard, source, target, drops, after=tuple(sorted(after)), cleared=tuple(sorted(cleared))
        )
        self.moves.append(move)
        self.free_bytes[target] -= size
        self.readers.setdefault((shard, source), []).append(number)
        self.read_counts[source] += 1
        self.moves_of_shard.setdefault(shard, []).append(number)
        available[target] = number
        available.pop(drops, None)
        return move


def arrange(sequence: Sequence, transfers: list[Transfer]) -> list[Transfer]:
    """Append the transfers as far as space allows, breaking cycles via a third engine; return the others.

    Transfers that free space on a crowded engine go first, those that free none last. In the opposite order,
    a transfer that could have waited for freed space might take the space that a freeing transfer needs.
    """
    shards = sequence.view.world.shards
    pending = sorted(
        transfers,
        key=lambda transfer: (
            not transfer.drops,
            sequence.free_at_end(transfer.drops) if transfer.drops else 0,
            -shards[transfer.shard].size,
            transfer.shard,
            transfer.target,
        ),
    )
    if len(pending) <= MAX_EXHAUSTIVE_TRANSFERS:
        pending = _longest_feasible_order(sequence, pending)
    rerouted: set[str] = set()  # shards moved via a third engine already; no shard is so moved twice
    while pending:
        blocked = [transfer for transfer in pending if sequence.add(transfer) is None]
        if len(blocked) == len(pending):
            blocked = _move_via_third_engine(sequence, pending, rerouted)
            if blocked is None:
                return pending
        pending = blocked
    return []


def _longest_feasible_order(sequence: Sequence, pending: list[Transfer]) -> list[Transfer]:
    """Return the longest order in which transfers find space one after the other, then the other transfers.

    The free space depends on the set of transfers listed, not on their order, so each set is visited once.
    """
    world = sequence.view.world
    sizes = [world.shards[transfer.shard].size for transfer in pending]
    best: list[int] = []
    seen: set[int] = set()
    stack: list[tuple[int, tuple[int, ...]]] = [(0, ())]
    while stack:
        done, order = stack.pop()
        if done in seen:
            continue
        seen.add(done)
        if len(order) > len(best):
            best = list(order)
            if len(best) == len(pending):
                break
        free_bytes = {transfer.target: sequence.free_at_end(transfer.target) for transfer in pending}
        for number in order:
            transfer = pending[number]
            free_bytes[transfer.target] -= sizes[number]
            if transfer.drops in free_bytes:
                free_bytes[transfer.drops] += sizes[number]
        stack += [
            (done | 1 << number, (*order, number))
            for number in range(len(pending) - 1, -1, -1)
            if not done >> number & 1 and sizes[number] <= free_bytes[pending[number].target]
        ]
    return [pending[number] for number in best] + [
        transfer for number, transfer in enumerate(pending) if number not in best
    ]


def _move_via_third_engine(
    sequence: Sequence, pending: list[Transfer], rerouted: set[str]
) -> list[Transfer] | None:
    """Move the smallest blocking replica that helps to a third engine; return the new transfers, or None."""
    view = sequence.view
    world, targets = view.world, {transfer.target for transfer in pending}
    for index, transfer in sorted(
        enumerate(pending), key=lambda pair: (world.shards[pair[1].shard].size, pair[1].shard)
    ):
        if transfer.drops not in targets or transfer.shard in rerouted:
            continue
        available, shard = set(sequence.sources(transfer.shard)), world.shards[transfer.shard]
        for engine in sorted(sequence.free_bytes, key=lambda name: (-sequence.free_at_end(name), name)):
            available_after = available - {transfer.drops} | {engine}
            if (
                accepts_replica(world.homes[engine], shard)
                and engine not in view.holders[transfer.shard]
                and engine not in available
                and engine not in (transfer.target, transfer.drops)
                and view.span(available_after) >= min(required_zones(shard), view.span(available))
                and sequence.add(replace(transfer, target=engine))
            ):
                rerouted.add(transfer.shard)
                return [*pending[:index], replace(transfer, drops=engine), *pending[index + 1 :]]
    return None
