"""A checker of plans that shares only the plain values of the model with the planner.

A plan is a set of events: each migration begins and is done, each surplus replica is dropped. A migration may
begin when all migrations that it waits for are done and all replicas that have to be cleared are off the
disk; nothing else orders events. So the states that a plan can pass through are the sets of events that
contain the prerequisites of each of their events. The checker looks for the worst case over all of these
sets, without limits on streams (limits only remove states). The most that an engine ever holds is a closure
of maximum weight, found as a minimum cut. Rules about one shard are checked by trying all sets of the
shard's events.
"""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass
from itertools import combinations

from fennelwind.shards.model import Bounds, Migration, MigrationPlan, Replica, ReplicaHost, World

ENDED_STEPS = ("done", "undone")  # steps of a migration that has ended
# all sets of a shard's events are tried up to this many events; more are reported as a violation
MAX_EVENTS_PER_SHARD = 12
Event = tuple  # ("begin", number), ("done", number), ("gone", shard, engine)


@dataclass(slots=True, frozen=True)
class Finding:
    """One violation in a plan."""

    rule: str  # "headroom", "last-copy", "copies", "zones", "kinds", "source", "frozen", "order", "unmet", ..
    subject: str  # shard, engine or migration
    text: str = ""


def check(world: World, planned: MigrationPlan, final: bool = True) -> list[Finding]:
    """Return all violations of a plan for a world; if `final`, also those of the state that it leads to."""
    return _Check(world, planned).run(final)


class _Check:
    """The events of one plan with their prerequisites."""

    def __init__(self, world: World, planned: MigrationPlan) -> None:
        self.world, self.planned = world, planned
        self.findings: list[Finding] = []
        self.live_engines = {name for name, home in world.homes.items() if home.life != "gone"}
        self.cancelled = set(planned.cancels)
        self.moves: dict[int, Migration] = {
            number: move
            for number, move in sorted(world.moves.items())
            if move.step not in ENDED_STEPS and number not in self.cancelled and move.shard in world.shards
        }
        self.new = {move.number: move for move in planned.moves}
        self.prerequisites: dict[Event, tuple[Event, ...]] = {}
        self.replica_states: dict[str, list[tuple[str, str]]] = {}  # by shard: engine and state
        self.moves_of_shard: dict[str, list[Migration]] = {}  # by shard: continuing and new migrations
        self.events: dict[str, list[Event]] = {}  # by shard: events that change where it has good replicas
        self.copies: dict[tuple[str, str], str] = {
            key: copy.state
            for key, copy in sorted(world.copies.items())
            if key[1] in self.live_engines and key[0] in world.shards
        }
        for move in (
            *self.moves.values(),
            *(world.moves[n] for n in sorted(self.cancelled & set(world.moves))),
        ):
            if (
                move.step in ("reserved", "copying", "checked")
                and move.shard in world.shards
                and move.target in self.live_engines
            ):
                self.copies.setdefault((move.shard, move.target), "coming")

    def run(self, final: bool) -> list[Finding]:
        self._check_shape()
        if not self.findings:
            self._build_events()
        if not self.findings:
            self._check_each_move()
            for engine in sorted(self.live_engines):
                self._check_headroom(engine)
            for shard in sorted(self.world.shards):
                self._check_shard(shard)
            if final:
                self._check_final()
        return self.findings

    def _report(self, rule: str, subject: object, text: str = "") -> None:
        self.findings.append(Finding(rule, str(subject), text))

    def _check_shape(self) -> None:
        """Check that numbers, shards and engines are valid and that the plan's bytes match its migrations."""
        if len(self.new) != len(self.planned.moves):
            self._report("shape", "moves", "duplicate number")
        for move in self.planned.moves:
            if move.number in self.world.moves:
                self._report("shape", move.number, "number of an existing migration")
            if move.shard not in self.world.shards or move.target not in self.live_engines:
                self._report("shape", move.number, "unknown shard or engine")
            if move.drops and (move.drops not in self.world.homes or move.drops == move.target):
                self._report("shape", move.number, "drops from an unknown engine or the target")
            for number in move.after:
                if number in self.cancelled or (
                    number not in self.new and number not in self.moves and number not in self.world.moves
                ):
                    self._report("order", move.number, f"waits for {number}, which never ends")
        for number in self.cancelled:
            if number not in self.world.moves or self.world.moves[number].step in ("switched", *ENDED_STEPS):
                self._report("shape", number, "cancels a migration that can't be cancelled")
        bytes_of_moves = sum(
            self.world.shards[m.shard].size for m in self.planned.moves if m.shard in self.world.shards
        )
        if bytes_of_moves != self.planned.bytes:
            self._report(
                "shape", "bytes", f"{self.planned.bytes} in the plan, {bytes_of_moves} by its migrations"
            )

    def _build_events(self) -> None:
        """Build the events with their prerequisites, and check that each can happen."""
        being_dropped = {copy for copy, state in self.copies.items() if state in ("coming", "leaving")}
        freed = {(self.world.moves[n].shard, self.world.moves[n].target) for n in self.cancelled}
        leaving = {
            (move.shard, move.drops): number
            for number, move in self.moves.items()
            if self._drops_replica(move)
        }
        for shard, engine in self.planned.drops:
            self.prerequisites["gone", shard, engine] = ()
        for shard, engine in sorted(freed & set(self.copies)):
            self.prerequisites.setdefault(("gone", shard, engine), ())
        for number, move in sorted((self.moves | self.new).items()):
            prerequisites: list[Event] = [
                ("done", other) for other in move.after if other in self.moves or other in self.new
            ]
            for pair in move.cleared if move.step == "planned" else ():
                if pair in leaving and pair not in self.planned.drops:
                    prerequisites.append(("done", leaving[pair]))
                elif pair in self.copies:
                    prerequisites.append(("gone", *pair))
                    if ("gone", *pair) not in self.prerequisites and pair not in being_dropped:
                        self._report(
                            "order", number, f"waits for the drop of {pair}, which is not in the plan"
                        )
            self.prerequisites["begin", number] = (
                tuple(prerequisites) if number in self.new or move.step == "planned" else ()
            )
            self.prerequisites["done", number] = (("begin", number),)
        for (shard, engine), state in self.copies.items():
            self.replica_states.setdefault(shard, []).append((engine, state))
        for number, move in sorted((self.moves | self.new).items()):
            self.moves_of_shard.setdefault(move.shard, []).append(move)
            self.events.setdefault(move.shard, []).append(("done", number))
        for event in self.prerequisites:
            if event[0] == "gone":
                self.events.setdefault(event[1], []).append(event)
        blocked, satisfied = dict(self.prerequisites), set()
        while True:
            unblocked = [
                event for event, prerequisites in blocked.items() if satisfied.issuperset(prerequisites)
            ]
            if not unblocked:
                break
            for event in unblocked:
                satisfied.add(event)
                del blocked[event]
        for event in blocked:
            if event[0] == "begin":
                self._report("order", event[1], "waits in a cycle")

    def _closure(self, events: Iterable[Event]) -> set[Event]:
        """Return the events with all their direct and indirect prerequisites."""
        found, todo = set(), list(events)
        while todo:
            event = todo.pop()
            if event not in found:
                found.add(event)
                todo.extend(self.prerequisites.get(event, ()))
        return found

    def _drops_replica(self, move: Migration) -> bool:
        """Return whether a migration drops a replica when it is done."""
        return (
            bool(move.drops)
            and move.number not in self.planned.keeps
            and (move.shard, move.drops) in self.copies
        )

    def _check_each_move(self) -> None:
        """Check each new migration and drop by itself."""
        world = self.world
        for move in self.planned.moves:
            shard, home = world.shards[move.shard], world.homes[move.target]
            if shard.table in world.frozen:
                self._report("frozen", move.number, shard.name)
            if shard.name in world.aside:
                self._report("aside", move.number, shard.name)
            if home.life not in ("ready", "cold"):
                self._report("life", move.number, f"{home.name} is {home.life}")
            if shard.kinds and home.kind not in shard.kinds:
                self._report("kinds", move.number, f"{home.name} is {home.kind}")
            if (move.shard, move.target) in self.copies and (move.shard, move.target) not in move.cleared:
                before = self._closure([("begin", move.number)])
                if not any(
                    event[0] == "done"
                    and self._move(event[1]).shard == move.shard
                    and self._move(event[1]).drops == move.target
                    for event in before
                ):
                    self._report("target", move.number, f"{home.name} holds a copy of {move.shard}")
        for shard, engine in self.planned.drops:
            if world.shards[shard].table in world.frozen:
                self._report("frozen", shard, f"drop on {engine}")
            if shard in world.aside and self.copies.get((shard, engine)) == "good":
                self._report("aside", shard, f"drop on {engine}")
            if (shard, engine) not in self.copies:
                self._report("shape", shard, f"drops a replica that is not on {engine}")

    def _move(self, number: int) -> Migration:
        return self.new[number] if number in self.new else self.moves[number]

    def _weights(self, engine: str) -> dict[Event, int]:
        """Return the bytes that each event adds to an engine's disk, negative if it frees them."""
        weights: dict[Event, int] = {}
        for number, move in (self.moves | self.new).items():
            size = self.world.shards[move.shard].size
            if move.target == engine and (number in self.new or move.step == "planned"):
                weights["begin", number] = size
            if move.drops == engine and self._drops_replica(move):
                weights["done", number] = -size
        for event in self.prerequisites:
            if event[0] == "gone" and event[2] == engine and (event[1], engine) in self.copies:
                weights[event] = -self.world.shards[event[1]].size
        # an intermediate replica on a third engine is dropped again
        for number, move in (self.moves | self.new).items():
            if (
                move.drops == engine
                and (move.shard, engine) not in self.copies
                and (number in self.new or self._is_brought_earlier(move))
            ):
                weights["done", number] = -self.world.shards[move.shard].size
        return weights

    def _is_brought_earlier(self, move: Migration) -> bool:
        """Return whether an earlier migration brings the replica that this one drops."""
        return move.number not in self.planned.keeps and any(
            other.target == move.drops and other.number < move.number
            for other in self.moves_of_shard[move.shard]
        )

    def _bytes_held(self, engine: str) -> int:
        return sum(self.world.shards[shard].size for shard, where in self.copies if where == engine)

    def _check_headroom(self, engine: str) -> None:
        """Check that no order of events fills an engine beyond its limit."""
        home, held, weights = self.world.homes[engine], self._bytes_held(engine), self._weights(engine)
        limit = home.disk - home.headroom
        incoming = [event for event, weight in sorted(weights.items()) if weight > 0 and event[1] in self.new]
        if not incoming:
            return
        forced: list[Event | None] = [None] if held <= limit else list(incoming)
        for event in forced:  # an engine over its limit may take no replica before it is under the limit
            max_held = held + self._max_weight(weights, event)
            if max_held > limit:
                self._report("headroom", engine, f"{max_held} held, {limit} allowed")
                return

    def _max_weight(self, weights: dict[Event, int], forced: Event | None) -> int:
        """Return the maximum weight of a set of events with its prerequisites and, if given, `forced`."""
        nodes = self._closure(event for event, weight in weights.items() if weight > 0)
        forcing_weight = 2 * sum(abs(weight) for weight in weights.values()) + 1
        source, sink = ("source",), ("sink",)
        capacities: dict[Event, dict[Event, int]] = {node: {} for node in (*nodes, source, sink)}

        def add_edge(start: Event, end: Event, size: int) -> None:
            capacities[start][end] = capacities[start].get(end, 0) + size
            capacities[end].setdefault(start, 0)

        total = 0
        for node in sorted(nodes):
            weight = weights.get(node, 0) + (forcing_weight if node == forced else 0)
            if weight > 0:
                add_edge(source, node, weight)
                total += weight
            elif weight < 0:
                add_edge(node, sink, -weight)
            for before in self.prerequisites.get(node, ()):
                add_edge(node, before, forcing_weight * 4)
        return total - _flow(capacities, source, sink) - (forcing_weight if forced else 0)

    def _check_shard(self, name: str) -> None:
        """Check good replicas and zones over all sets of a shard's events, and that sources are readable."""
        moves, events = self.moves_of_shard.get(name, []), self.events.get(name, [])
        if not events:
            return
        if len(events) > MAX_EVENTS_PER_SHARD:
            self._report("shape", name, "too many events to try all sets")
            return
        start = {engine for engine, state in self.replica_states.get(name, ()) if state == "good"}
        start |= {
            move.drops
            for move in moves
            if move.number in self.planned.keeps and (name, move.drops) in self.copies
        }
        shard = self.world.shards[name]
        good_at_end = self._good_after(moves, start, set(events))
        fitting = {engine for engine in start if self._is_allowed(name, engine)}
        copies = min(max(1, shard.copies), len(start))
        zones = min(
            max(1, shard.zones), max(1, shard.copies), self._span(start), self._span(good_at_end) or 1
        )
        for count in range(1, len(events) + 1):
            for subset in combinations(events, count):
                if self._closure(subset) & set(events) != set(subset):
                    continue
                good = self._good_after(moves, start, set(subset))
                if start and not good:
                    self._report("last-copy", name, f"after {subset}")
                    return
                if len(good) < copies and len(good & fitting | good - start) < copies:
                    self._report("copies", name, f"{len(good)} good after {subset}, {copies} before")
                    return
                if self._span(good) < zones:
                    self._report("zones", name, f"{self._span(good)} after {subset}, {zones} wanted")
                    return
        self._check_sources(moves, start)

    def _good_after(self, moves: list[Migration], start: set[str], events: set[Event]) -> set[str]:
        """Return the engines with a good replica after a set of a shard's events."""
        good = start - {event[2] for event in events if event[0] == "gone"}  # before other replicas come
        for move in moves:  # in order of numbers: a shard's later migrations have higher ones
            if ("done", move.number) in events:
                if move.step != "switched":  # otherwise the replica is there already, or has been lost since
                    good.add(move.target)
                if move.drops and move.number not in self.planned.keeps:
                    good.discard(move.drops)
        return good

    def _check_sources(self, moves: list[Migration], start: set[str]) -> None:
        """Check that each new migration reads a replica that is good from its begin until it is done."""
        for move in moves:
            if move.number not in self.new:
                continue
            before = self._closure([("begin", move.number)])
            arrivals = {("done", other.number) for other in moves if other.target == move.source}
            if move.source not in start and not arrivals & before:
                self._report("source", move.number, f"no good copy on {move.source}")
            removals: list[Event] = [
                ("done", other.number)
                for other in moves
                if other.drops == move.source and other.number not in self.planned.keeps
            ]
            if ("gone", move.shard, move.source) in self.prerequisites:
                removals.append(("gone", move.shard, move.source))
            for removal in removals:
                if (
                    removal != ("done", move.number)
                    and ("done", move.number) not in self._closure([removal])
                    and not (
                        removal in before
                        and arrivals & before
                        and removal in self._closure(arrivals & before)
                    )
                ):
                    self._report("source", move.number, f"{removal} drops the replica that it reads")

    def _is_allowed(self, name: str, engine: str) -> bool:
        shard, home = self.world.shards[name], self.world.homes[engine]
        return home.life in ("ready", "cold") and (not shard.kinds or home.kind in shard.kinds)

    def _span(self, engines: Iterable[str]) -> int:
        return len({self.world.homes[engine].zone for engine in engines})

    def _check_final(self) -> None:
        """Check that all needs not reported as unmet are met when all events have happened."""
        short = {one.shard for one in self.planned.short}
        overfull = {engine for one in self.planned.short if not one.shard for engine in one.engines}
        migrating = {move.shard for move in self.world.moves.values()}
        end = finished(self.world, self.planned)
        placed: dict[str, list[ReplicaHost]] = {}
        held: dict[str, int] = {}
        for copy in end.copies.values():
            if copy.engine in self.live_engines and copy.shard in end.shards:
                held[copy.engine] = held.get(copy.engine, 0) + end.shards[copy.shard].size
                if copy.state == "good":
                    placed.setdefault(copy.shard, []).append(end.homes[copy.engine])
        for name, shard in sorted(self.world.shards.items()):
            homes = placed.get(name, [])
            fit = [home for home in homes if self._is_allowed(name, home.name)]
            replication_factor = max(1, shard.copies)
            if name in short:
                continue
            if len(fit) < replication_factor:
                self._report("unmet", name, f"{len(fit)} of {replication_factor} copies")
            elif len({home.zone for home in fit}) < min(replication_factor, shard.zones):
                self._report("unmet", name, "zones")
            elif (
                len(fit) < len(homes)
                and shard.table not in self.world.frozen
                and name not in self.world.aside
                # a shard has one migration at a time: the next plan drops the replica
                and name not in migrating
                and len(
                    {home.name for home in fit}
                    & {engine for engine, state in self.replica_states[name] if state == "good"}
                )
                >= replication_factor
            ):
                self._report("unmet", name, "a replica on an engine that may not hold it")
        for engine in sorted(self.live_engines - overfull):
            home = end.homes[engine]
            if held.get(engine, 0) > max(0, home.disk - home.headroom):
                self._report("unmet", engine, f"{held[engine]} held in the end")


def finished(world: World, planned: MigrationPlan) -> World:
    """Return the world after a plan and all continuing migrations have completed."""
    copies = dict(world.copies)
    for number in planned.cancels:
        move = world.moves[number]
        copies.pop((move.shard, move.target), None)
    for shard, engine in planned.drops:
        copies.pop((shard, engine), None)
    continuing = [
        move
        for number, move in sorted(world.moves.items())
        if number not in planned.cancels and move.step not in ENDED_STEPS
    ]
    for move in (*continuing, *planned.moves):
        if move.step != "switched" or (move.shard, move.target) in copies:
            copies[move.shard, move.target] = Replica(move.shard, move.target)
        if move.drops and move.number not in planned.keeps:
            copies.pop((move.shard, move.drops), None)
        elif move.drops and (move.shard, move.drops) in copies:
            copies[move.shard, move.drops] = Replica(move.shard, move.drops)
    return World(dict(world.shards), dict(world.homes), copies, {}, world.frozen, world.aside)


def _flow(capacities: dict[Event, dict[Event, int]], source: Event, sink: Event) -> int:
    """Return the maximum flow by Dinic's algorithm; `capacities` is reduced by the flow."""
    total = 0
    while True:
        level, queue = {source: 0}, deque([source])
        while queue:
            node = queue.popleft()
            for other, room in capacities[node].items():
                if room > 0 and other not in level:
                    level[other] = level[node] + 1
                    queue.append(other)
        if sink not in level:
            return total
        unexplored = {node: iter(list(neighbours)) for node, neighbours in capacities.items()}
        path = [source]
        while path:
            node = path[-1]
            if node == sink:
                part = min(capacities[a][b] for a, b in zip(path, path[1:], strict=False))
                for a, b in zip(path, path[1:], strict=False):
                    capacities[a][b] -= part
                    capacities[b][a] += part
                total += part
                path = [source]
                continue
            for other in unexplored[node]:
                if capacities[node][other] > 0 and level.get(other, -1) == level[node] + 1:
                    path.append(other)
                    break
            else:
                path.pop()
                if path:
                    level[node] = -1


def check_bounds(world: World, bounds: Bounds, running: Iterable[Migration]) -> list[Finding]:
    """Return a finding for each engine or pair of zones where running migrations exceed the stream limits."""
    engines: dict[str, int] = {}
    links: dict[tuple[str, ...], int] = {}
    for move in running:
        for engine in (move.source, move.target):
            engines[engine] = engines.get(engine, 0) + 1
        link = tuple(sorted((world.homes[move.source].zone, world.homes[move.target].zone)))
        links[link] = links.get(link, 0) + 1
    return [
        Finding("streams", engine, str(count))
        for engine, count in sorted(engines.items())
        if count > bounds.streams_per_engine
    ] + [
        Finding("streams", "-".join(link), str(count))
        for link, count in sorted(links.items())
        if count > bounds.streams_per_link
    ]
