"""A checker of plans, that shares nothing with the planner but the plain values.

A plan is a set of events: each move begins and is done, each copy over what is wanted is dropped. A move
may begin when all it waits for is done and all that has to be cleared is off the disk; nothing else orders
events. So the states that a plan can pass are the sets of events that hold, with each event, all that it
waits for. Worst cases are looked for over all of these sets, without bounds on streams (bounds only take
states away): the most that an engine ever holds is a closure of greatest weight, found as a minimum cut;
what concerns one shard is found by trying the sets of its few events.
"""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass
from itertools import combinations

from fennelwind.shards.model import Bounds, Migration, MigrationPlan, Replica, ReplicaHost, World

OVER = ("done", "undone")  # steps after which a move takes part in nothing
EVENTS_MOST = 12  # of one shard, of which all sets are tried; a plan with more is reported as too long
Event = tuple  # ("begin", number), ("done", number), ("gone", shard, engine)


@dataclass(slots=True, frozen=True)
class Finding:
    """What is wrong with a plan."""

    rule: str  # "headroom", "last-copy", "copies", "zones", "kinds", "source", "frozen", "order", "unmet", ..
    what: str  # shard, engine or move
    text: str = ""


def check(world: World, planned: MigrationPlan, final: bool = True) -> list[Finding]:
    """Return all that is wrong with a plan for a world; `final`: also with where it ends."""
    return _Check(world, planned).run(final)


class _Check:
    """The events of one plan with what each waits for."""

    def __init__(self, world: World, planned: MigrationPlan) -> None:
        self.world, self.planned = world, planned
        self.findings: list[Finding] = []
        self.living = {name for name, home in world.homes.items() if home.life != "gone"}
        self.cancelled = set(planned.cancels)
        self.moves: dict[int, Migration] = {
            number: move
            for number, move in sorted(world.moves.items())
            if move.step not in OVER and number not in self.cancelled and move.shard in world.shards
        }
        self.new = {move.number: move for move in planned.moves}
        self.needs: dict[Event, tuple[Event, ...]] = {}
        self.lying: dict[str, list[tuple[str, str]]] = {}  # by shard: engine and state
        self.moved: dict[str, list[Migration]] = {}  # by shard
        self.events: dict[str, list[Event]] = {}  # by shard: those that change where it is good
        self.copies: dict[tuple[str, str], str] = {
            key: copy.state
            for key, copy in sorted(world.copies.items())
            if key[1] in self.living and key[0] in world.shards
        }
        for move in (
            *self.moves.values(),
            *(world.moves[n] for n in sorted(self.cancelled & set(world.moves))),
        ):
            if (
                move.step in ("reserved", "copying", "checked")
                and move.shard in world.shards
                and move.target in self.living
            ):
                self.copies.setdefault((move.shard, move.target), "coming")

    def run(self, final: bool) -> list[Finding]:
        self._shape()
        if not self.findings:
            self._events()
        if not self.findings:
            self._rules()
            for engine in sorted(self.living):
                self._headroom(engine)
            for shard in sorted(self.world.shards):
                self._shard(shard)
            if final:
                self._final()
        return self.findings

    def _bad(self, rule: str, what: object, text: str = "") -> None:
        self.findings.append(Finding(rule, str(what), text))

    def _shape(self) -> None:
        """See that numbers, shards and engines are known and the bytes told are those of the moves."""
        if len(self.new) != len(self.planned.moves):
            self._bad("shape", "moves", "a number twice")
        for move in self.planned.moves:
            if move.number in self.world.moves:
                self._bad("shape", move.number, "number of another move")
            if move.shard not in self.world.shards or move.target not in self.living:
                self._bad("shape", move.number, "unknown shard or engine")
            if move.drops and (move.drops not in self.world.homes or move.drops == move.target):
                self._bad("shape", move.number, "drops nothing that is known")
            for number in move.after:
                if number in self.cancelled or (
                    number not in self.new and number not in self.moves and number not in self.world.moves
                ):
                    self._bad("order", move.number, f"waits for {number}, which never ends")
        for number in self.cancelled:
            if number not in self.world.moves or self.world.moves[number].step in ("switched", *OVER):
                self._bad("shape", number, "cancels what can't be cancelled")
        told = sum(
            self.world.shards[m.shard].size for m in self.planned.moves if m.shard in self.world.shards
        )
        if told != self.planned.bytes:
            self._bad("shape", "bytes", f"{self.planned.bytes} told, {told} moved")

    def _events(self) -> None:
        """Write down each event with what it waits for, and see that each can come."""
        undone = {copy for copy, state in self.copies.items() if state in ("coming", "leaving")}
        freed = {(self.world.moves[n].shard, self.world.moves[n].target) for n in self.cancelled}
        leaving = {
            (move.shard, move.drops): number for number, move in self.moves.items() if self._dropped(move)
        }
        for shard, engine in self.planned.drops:
            self.needs["gone", shard, engine] = ()
        for shard, engine in sorted(freed & set(self.copies)):
            self.needs.setdefault(("gone", shard, engine), ())
        for number, move in sorted((self.moves | self.new).items()):
            waits: list[Event] = [
                ("done", other) for other in move.after if other in self.moves or other in self.new
            ]
            for pair in move.cleared if move.step == "planned" else ():
                if pair in leaving and pair not in self.planned.drops:
                    waits.append(("done", leaving[pair]))
                elif pair in self.copies:
                    waits.append(("gone", *pair))
                    if ("gone", *pair) not in self.needs and pair not in undone:
                        self._bad("order", number, f"waits for the drop of {pair}, which nobody does")
            self.needs["begin", number] = tuple(waits) if number in self.new or move.step == "planned" else ()
            self.needs["done", number] = (("begin", number),)
        for (shard, engine), state in self.copies.items():
            self.lying.setdefault(shard, []).append((engine, state))
        for number, move in sorted((self.moves | self.new).items()):
            self.moved.setdefault(move.shard, []).append(move)
            self.events.setdefault(move.shard, []).append(("done", number))
        for event in self.needs:
            if event[0] == "gone":
                self.events.setdefault(event[1], []).append(event)
        left, ready = dict(self.needs), set()
        while True:
            come = [event for event, waits in left.items() if ready.issuperset(waits)]
            if not come:
                break
            for event in come:
                ready.add(event)
                del left[event]
        for event in left:
            if event[0] == "begin":
                self._bad("order", event[1], "waits in a circle")

    def _closure(self, events: Iterable[Event]) -> set[Event]:
        """Return the events with all that has come before them."""
        found, todo = set(), list(events)
        while todo:
            event = todo.pop()
            if event not in found:
                found.add(event)
                todo.extend(self.needs.get(event, ()))
        return found

    def _dropped(self, move: Migration) -> bool:
        """Return whether a move takes a copy away when it is done."""
        return (
            bool(move.drops)
            and move.number not in self.planned.keeps
            and (move.shard, move.drops) in self.copies
        )

    def _rules(self) -> None:
        """See each new move and drop by itself."""
        world = self.world
        for move in self.planned.moves:
            shard, home = world.shards[move.shard], world.homes[move.target]
            if shard.table in world.frozen:
                self._bad("frozen", move.number, shard.name)
            if shard.name in world.aside:
                self._bad("aside", move.number, shard.name)
            if home.life not in ("ready", "cold"):
                self._bad("life", move.number, f"{home.name} is {home.life}")
            if shard.kinds and home.kind not in shard.kinds:
                self._bad("kinds", move.number, f"{home.name} is {home.kind}")
            if (move.shard, move.target) in self.copies and (move.shard, move.target) not in move.cleared:
                before = self._closure([("begin", move.number)])
                if not any(
                    event[0] == "done"
                    and self._move(event[1]).shard == move.shard
                    and self._move(event[1]).drops == move.target
                    for event in before
                ):
                    self._bad("target", move.number, f"{home.name} holds a copy of {move.shard}")
        for shard, engine in self.planned.drops:
            if world.shards[shard].table in world.frozen:
                self._bad("frozen", shard, f"drop on {engine}")
            if shard in world.aside and self.copies.get((shard, engine)) == "good":
                self._bad("aside", shard, f"drop on {engine}")
            if (shard, engine) not in self.copies:
                self._bad("shape", shard, f"drops what is not on {engine}")

    def _move(self, number: int) -> Migration:
        return self.new[number] if number in self.new else self.moves[number]

    def _weights(self, engine: str) -> dict[Event, int]:
        """Return what each event adds to an engine's disk."""
        weights: dict[Event, int] = {}
        for number, move in (self.moves | self.new).items():
            size = self.world.shards[move.shard].size
            if move.target == engine and (number in self.new or move.step == "planned"):
                weights["begin", number] = size
            if move.drops == engine and self._dropped(move):
                weights["done", number] = -size
        for event in self.needs:
            if event[0] == "gone" and event[2] == engine and (event[1], engine) in self.copies:
                weights[event] = -self.world.shards[event[1]].size
        for number, move in (self.moves | self.new).items():  # by way of a third engine: it goes again
            if (
                move.drops == engine
                and (move.shard, engine) not in self.copies
                and (number in self.new or self._brought(move))
            ):
                weights["done", number] = -self.world.shards[move.shard].size
        return weights

    def _brought(self, move: Migration) -> bool:
        """Return whether an earlier move brings the copy that this one drops."""
        return move.number not in self.planned.keeps and any(
            other.target == move.drops and other.number < move.number for other in self.moved[move.shard]
        )

    def _held(self, engine: str) -> int:
        return sum(self.world.shards[shard].size for shard, where in self.copies if where == engine)

    def _headroom(self, engine: str) -> None:
        """See that no order of events makes an engine hold more than it may."""
        home, held, weights = self.world.homes[engine], self._held(engine), self._weights(engine)
        limit = home.disk - home.headroom
        incoming = [event for event, weight in sorted(weights.items()) if weight > 0 and event[1] in self.new]
        if not incoming:
            return
        forced: list[Event | None] = [None] if held <= limit else list(incoming)
        for event in forced:  # an engine that is over already may take nothing before it is under
            most = held + self._heaviest(weights, event)
            if most > limit:
                self._bad("headroom", engine, f"{most} held, {limit} allowed")
                return

    def _heaviest(self, weights: dict[Event, int], forced: Event | None) -> int:
        """Return the greatest weight of a set of events that holds all that its events wait for."""
        nodes = self._closure(event for event, weight in weights.items() if weight > 0)
        bulk = 2 * sum(abs(weight) for weight in weights.values()) + 1
        source, sink = ("source",), ("sink",)
        pipes: dict[Event, dict[Event, int]] = {node: {} for node in (*nodes, source, sink)}

        def lay(start: Event, end: Event, size: int) -> None:
            pipes[start][end] = pipes[start].get(end, 0) + size
            pipes[end].setdefault(start, 0)

        total = 0
        for node in sorted(nodes):
            weight = weights.get(node, 0) + (bulk if node == forced else 0)
            if weight > 0:
                lay(source, node, weight)
                total += weight
            elif weight < 0:
                lay(node, sink, -weight)
            for before in self.needs.get(node, ()):
                lay(node, before, bulk * 4)
        return total - _flow(pipes, source, sink) - (bulk if forced else 0)

    def _shard(self, name: str) -> None:
        """See over all sets of a shard's events: good copies, zones, that what is read is there."""
        moves, events = self.moved.get(name, []), self.events.get(name, [])
        if not events:
            return
        if len(events) > EVENTS_MOST:
            self._bad("shape", name, "too many events to be tried")
            return
        start = {engine for engine, state in self.lying.get(name, ()) if state == "good"}
        start |= {
            move.drops
            for move in moves
            if move.number in self.planned.keeps and (name, move.drops) in self.copies
        }
        shard = self.world.shards[name]
        ends = self._after(moves, start, set(events))
        fits = {engine for engine in start if self._allowed(name, engine)}
        copies = min(max(1, shard.copies), len(start))
        zones = min(max(1, shard.zones), max(1, shard.copies), self._span(start), self._span(ends) or 1)
        for count in range(1, len(events) + 1):
            for some in combinations(events, count):
                if self._closure(some) & set(events) != set(some):
                    continue
                good = self._after(moves, start, set(some))
                if start and not good:
                    self._bad("last-copy", name, f"after {some}")
                    return
                if len(good) < copies and len(good & fits | good - start) < copies:
                    self._bad("copies", name, f"{len(good)} good after {some}, {copies} before")
                    return
                if self._span(good) < zones:
                    self._bad("zones", name, f"{self._span(good)} after {some}, {zones} wanted")
                    return
        self._sources(moves, start)

    def _after(self, moves: list[Migration], start: set[str], events: set[Event]) -> set[str]:
        """Return the engines with a good copy when a set of a shard's events has come."""
        good = start - {event[2] for event in events if event[0] == "gone"}  # before one comes there anew
        for move in moves:  # in order of numbers, which later moves of the same shard follow
            if ("done", move.number) in events:
                if move.step != "switched":  # such a copy is there already, or has been lost since
                    good.add(move.target)
                if move.drops and move.number not in self.planned.keeps:
                    good.discard(move.drops)
        return good

    def _sources(self, moves: list[Migration], start: set[str]) -> None:
        """See that each new move reads a copy that is good when it begins and stays until it is done."""
        for move in moves:
            if move.number not in self.new:
                continue
            before = self._closure([("begin", move.number)])
            made = {("done", other.number) for other in moves if other.target == move.source}
            if move.source not in start and not made & before:
                self._bad("source", move.number, f"no good copy on {move.source}")
            takers: list[Event] = [
                ("done", other.number)
                for other in moves
                if other.drops == move.source and other.number not in self.planned.keeps
            ]
            if ("gone", move.shard, move.source) in self.needs:
                takers.append(("gone", move.shard, move.source))
            for taker in takers:
                if (
                    taker != ("done", move.number)
                    and ("done", move.number) not in self._closure([taker])
                    and not (taker in before and made & before and taker in self._closure(made & before))
                ):
                    self._bad("source", move.number, f"{taker} takes away what it reads")

    def _allowed(self, name: str, engine: str) -> bool:
        shard, home = self.world.shards[name], self.world.homes[engine]
        return home.life in ("ready", "cold") and (not shard.kinds or home.kind in shard.kinds)

    def _span(self, engines: Iterable[str]) -> int:
        return len({self.world.homes[engine].zone for engine in engines})

    def _final(self) -> None:
        """See that what was not told as short is met when all is done."""
        short = {one.shard for one in self.planned.short}
        crowded = {engine for one in self.planned.short if not one.shard for engine in one.engines}
        moving = {move.shard for move in self.world.moves.values()}
        end = finished(self.world, self.planned)
        placed: dict[str, list[ReplicaHost]] = {}
        held: dict[str, int] = {}
        for copy in end.copies.values():
            if copy.engine in self.living and copy.shard in end.shards:
                held[copy.engine] = held.get(copy.engine, 0) + end.shards[copy.shard].size
                if copy.state == "good":
                    placed.setdefault(copy.shard, []).append(end.homes[copy.engine])
        for name, shard in sorted(self.world.shards.items()):
            homes = placed.get(name, [])
            fit = [home for home in homes if self._allowed(name, home.name)]
            wanted = max(1, shard.copies)
            if name in short:
                continue
            if len(fit) < wanted:
                self._bad("unmet", name, f"{len(fit)} of {wanted} copies")
            elif len({home.zone for home in fit}) < min(wanted, shard.zones):
                self._bad("unmet", name, "zones")
            elif (
                len(fit) < len(homes)
                and shard.table not in self.world.frozen
                and name not in self.world.aside
                and name not in moving  # one move of a shard at a time: the copy goes by the next plan
                and len(
                    {home.name for home in fit}
                    & {engine for engine, state in self.lying[name] if state == "good"}
                )
                >= wanted
            ):
                self._bad("unmet", name, "a copy where none may be")
        for engine in sorted(self.living - crowded):
            home = end.homes[engine]
            if held.get(engine, 0) > max(0, home.disk - home.headroom):
                self._bad("unmet", engine, f"{held[engine]} held in the end")


def finished(world: World, planned: MigrationPlan) -> World:
    """Return the world when a plan and the moves that go on have been carried out whole."""
    copies = dict(world.copies)
    for number in planned.cancels:
        move = world.moves[number]
        copies.pop((move.shard, move.target), None)
    for shard, engine in planned.drops:
        copies.pop((shard, engine), None)
    going_on = [
        move
        for number, move in sorted(world.moves.items())
        if number not in planned.cancels and move.step not in OVER
    ]
    for move in (*going_on, *planned.moves):
        if move.step != "switched" or (move.shard, move.target) in copies:
            copies[move.shard, move.target] = Replica(move.shard, move.target)
        if move.drops and move.number not in planned.keeps:
            copies.pop((move.shard, move.drops), None)
        elif move.drops and (move.shard, move.drops) in copies:
            copies[move.shard, move.drops] = Replica(move.shard, move.drops)
    return World(dict(world.shards), dict(world.homes), copies, {}, world.frozen, world.aside)


def _flow(pipes: dict[Event, dict[Event, int]], source: Event, sink: Event) -> int:
    """Return the greatest flow, by shortest paths that still carry (Dinic); empties `pipes`."""
    total = 0
    while True:
        level, queue = {source: 0}, deque([source])
        while queue:
            node = queue.popleft()
            for other, room in pipes[node].items():
                if room > 0 and other not in level:
                    level[other] = level[node] + 1
                    queue.append(other)
        if sink not in level:
            return total
        open_ways = {node: iter(list(ways)) for node, ways in pipes.items()}
        path = [source]
        while path:
            node = path[-1]
            if node == sink:
                part = min(pipes[a][b] for a, b in zip(path, path[1:], strict=False))
                for a, b in zip(path, path[1:], strict=False):
                    pipes[a][b] -= part
                    pipes[b][a] += part
                total += part
                path = [source]
                continue
            for other in open_ways[node]:
                if pipes[node][other] > 0 and level.get(other, -1) == level[node] + 1:
                    path.append(other)
                    break
            else:
                path.pop()
                if path:
                    level[node] = -1


def check_bounds(world: World, bounds: Bounds, begun: Iterable[Migration]) -> list[Finding]:
    """Return where moves that run at once break the bounds on streams."""
    engines: dict[str, int] = {}
    links: dict[tuple[str, ...], int] = {}
    for move in begun:
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
