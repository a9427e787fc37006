"""Shards on the record: where copies lie, what engines have room for, and the moves with their steps.

Every command but an operator's declaration carries the fence of the lease `moves`; one of an earlier holder
is refused. A move's step is taken from the step before it and only while it is right: the record is the one
place that decides it, whoever asks and however late. What a step allows (statements to engines) comes after
its commit and never before.

Space counts from a copy's reservation until its drop was answered, so a coming copy and the one that goes for
it count side by side. A copy may be read while it is `good`, and in no other state.
"""

import math
from bisect import bisect_right
from collections.abc import Iterable
from dataclasses import replace

from google.protobuf.message import DecodeError

from fennelwind.raft.state_machine import Facts, LogPosition, UnreadableCommandError
from fennelwind.shards import access_load
from fennelwind.shards import shards_pb2 as pb
from fennelwind.shards.model import LIVES, Migration, Replica, ReplicaHost, Shard, World

LEASE = "moves"  # the task whose holder writes here
SHARDS_MOST = 65_536  # shards; three times what two hundred engines are planned for
HOMES_MOST = 4_096  # engines, those that are gone for good among them until they are removed
COPIES_MOST = 16  # copies of one shard, whatever their state
MOVES_MOST = 4_096  # moves that have not ended
MAX_ENTRIES_PER_COMMAND = 1_024  # moves in one command, far within the record's bound on a command
NAME_MOST = 512  # characters of a name
SIZE_MOST = 2**60  # bytes of a shard or a disk; sums of them stay far from 2**64
PLACES_MOST = 3_072  # shards in one answer of where copies are; with the longest names and
LEAVING_MOST = 512  # copies that wait for their drop beside them, it fills a frame
PIECE_MOST = 1024 * 1024  # bytes of its state in one answer, half of what a frame holds
CLEARED_LEVEL = 2  # the record's level from which on a copy may go once its holder heard that it is cleared
REST_MS = 60_000  # ms from a switch until the old copy may go: who is cut off for less may still send to it
HOUR_MS = 3_600_000  # ms over which bytes are bounded
BEGUN_MS = 300_000  # ms of one part of it: what began in a part counts until an hour after the part's end
ACCESS_COUNTS_MIN_LEVEL = (
    2  # level of the record from which on it keeps bytes of the hour, and heat that was counted
)
ASIDE_FIRST_MS, ASIDE_MOST_MS = 30_000, 3_600_000  # ms that a shard rests after a failed move; it doubles

Step, Answer = pb.Step, pb.Answer
UNDER_WAY = ("reserved", "copying", "checked", "switched", "dropping", "undoing")  # steps that hold the table
TAKES = ("ready", "cold")  # lives in which an engine takes copies


class ShardMachine:
    """The machine `shards` of the record; also what planner, carrier and routing read."""

    name, kinds = "shards", ("moving",)
    rest_ms = REST_MS  # the same on all controllers, so no setting; plays have a shorter one

    def __init__(self) -> None:
        self.shards: dict[str, Shard] = {}
        self.homes: dict[str, ReplicaHost] = {}
        self.copies: dict[str, dict[str, Replica]] = {}  # by shard and engine
        self.moves: dict[int, Migration] = {}
        self.asides: dict[str, tuple[int, int]] = {}  # until when (0: no longer), how often in a row
        self.used: dict[str, int] = {}  # bytes of copies by engine, whatever their state
        self.last_move = 0
        self.changes = 0  # counts what may call for another plan
        self.revision = 0  # the entry that last changed anything but heat, which calls for no look
        self._begun: dict[int, int] = {}  # bytes that copies began to transfer, by part of time
        self._faded: dict[str, tuple[int, int]] = {}  # by shard: queries that named it, as of a part of time
        self._faded_part = self._faded_entry = 0  # when heat was told last, and the entry that told it
        self._touched: dict[str, int] = {}  # by shard: the entry of its last step, or of its last figures
        self._doubted_at: dict[str, int] = {}  # by shard: when a good copy came in doubt, for a rest
        self._heard_at: dict[str, int] = {}  # by engine: the entry of the last news
        self._told: tuple[int, bytes] | None = None  # the state as it was asked for last
        self._placed: dict[str, int] = {}  # by shard: the entry behind which its good copies are as they are
        self._whole_before = 0  # the entry behind which changes are known here; older views get all
        self._entry = 0  # that is applied
        self._of_table: dict[str, dict[str, None]] = {}  # shards by table
        self._of_shard: dict[str, int] = {}  # the one move of a shard
        self._due: int | None = None

    # What others read.

    def fact(self, kind: str, key: str) -> int:
        """Return how many shards of a table, whose name's case says nothing, are under way.

        A shard is so too while a copy that just came in doubt may still be read by an older view: were the
        table changed now, that copy would miss it.
        """
        shards = {m.shard for m in self.moves.values() if m.step in UNDER_WAY}.union(self._doubted_at)
        return sum(self.shards[shard].table.lower() == key.lower() for shard in shards)

    def good(self, shard: str) -> tuple[str, ...]:
        """Return the engines whose copy of a shard may be read, in order of their names."""
        held = self.copies.get(shard, {})
        return tuple(sorted(engine for engine, copy in held.items() if copy.state == "good"))

    def places(self, table: str) -> dict[str, tuple[str, ...]]:
        """Return the engines with good copies of each shard of a table."""
        return {shard: self.good(shard) for shard in sorted(self._of_table.get(table, ()))}

    def leaving(self, shard: str) -> str:
        """Return the engine whose copy gets no further queries and waits for its drop; "": none."""
        held = self.copies.get(shard, {})
        return next((engine for engine, copy in sorted(held.items()) if copy.state == "leaving"), "")

    def waiting(self) -> list[tuple[str, str]]:
        """Return the copies that get no further queries and wait for their drop, by shard and engine."""
        moves = (move for _, move in sorted(self.moves.items()) if move.step == "switched")
        return [(m.shard, m.drops) for m in moves if self.leaving(m.shard) == m.drops]

    def touched(self, shard: str) -> int:
        """Return the entry of a shard's last step, or of a later word on what it holds; 0: there was none."""
        return self._touched.get(shard, 0)

    def room(self, engine: str) -> int:
        """Return the bytes that further copies may take on an engine; below 0 where it holds too much."""
        home = self.homes[engine]
        return effective(home) - home.headroom - self.used.get(engine, 0)

    def spent(self) -> int:
        """Return the bytes that copies began to transfer within the last hour, and some minutes before."""
        return sum(self._begun.values())

    @property
    def state_at(self) -> int:
        """The entry that last changed anything at all."""
        return max(self.revision, self._faded_entry)

    def access_loads(self) -> dict[str, float]:
        """Return the queries that named each shard, faded up to when they were told last; {}: too few.

        Too few are chance, and what was declared is better.
        """
        found = {
            shard: access_load.faded(count, self._faded_part - part)
            for shard, (count, part) in self._faded.items()
            if shard in self.shards
        }
        enough = sum(found.values()) >= access_load.ENOUGH
        return (
            {shard: count / access_load.UNITS_PER_QUERY for shard, count in found.items()} if enough else {}
        )

    def move_of(self, shard: str) -> Migration | None:
        """Return the move of a shard that has not ended."""
        return self.moves.get(self._of_shard.get(shard, 0))

    def world(self, frozen: Iterable[str] = ()) -> World:
        """Return all of it as the planner reads it.

        What spills took beyond the headroom is no disk. Drops without a copy that comes in, and half copies
        that are being cleared, are no moves to it: their copies are `leaving` or `coming`, and take space.
        """
        copies = {(c.shard, c.engine): c for held in self.copies.values() for c in held.values()}
        moves = {}
        for number, move in self.moves.items():
            pair = (move.shard, move.drops)
            if not move.target and pair in copies:
                copies[pair] = replace(copies[pair], state="leaving")
            elif move.target and move.step != "undoing":
                moves[number] = replace(move, step="switched") if move.step == "dropping" else move
        counted = self.access_loads()
        return World(
            shards=dict(self.shards),
            counted=counted,
            heat_unit=1.0 if counted else 0.0,
            homes={name: replace(home, disk=effective(home)) for name, home in self.homes.items()},
            copies=copies,
            moves=moves,
            frozen=frozenset(frozen),
            aside=frozenset(shard for shard, (until, _) in self.asides.items() if until),
        )

    def asked(self, query: bytes) -> bytes:
        """Answer a `ShardQuery` with a `ShardSeen` or `Places`; nothing changes. b"": it can't be read."""
        try:
            told = pb.ShardQuery.FromString(query)
        except DecodeError:
            return b""
        if told.HasField("places"):
            return self._changed_places(told.places).SerializeToString()
        skip = told.skip
        if self._told is None or self._told[0] != self.state_at:
            self._told = self.state_at, self.snapshot()
        revision, state = self._told
        return pb.ShardSeen(
            revision=revision, size=len(state), piece=state[skip : skip + PIECE_MOST]
        ).SerializeToString()

    def _changed_places(self, asked: pb.PlacesQuery) -> pb.Places:
        whole = asked.after < self._whole_before
        names = (
            sorted(self.shards)
            if whole
            else sorted(
                shard for shard, at in self._placed.items() if at > asked.after and shard in self.shards
            )
        )
        names = names[bisect_right(names, asked.name) :]
        answer, numbers = pb.Places(revision=self.revision, whole=whole, more=len(names) > PLACES_MOST), {}
        if not asked.name:
            waiting = self.waiting()
            answer.cut = len(waiting) > LEAVING_MOST
            answer.leaving.extend(pb.Places.Leaving(shard=s, engine=e) for s, e in waiting[:LEAVING_MOST])
        for shard in names[:PLACES_MOST]:
            engines = [numbers.setdefault(engine, len(numbers)) for engine in self.good(shard)]
            answer.places.add(shard=shard, engines=engines)
        answer.engines.extend(numbers)
        return answer

    # The record's side.

    def apply(self, at: LogPosition, command: bytes, facts: Facts) -> bytes:
        """Carry a command out; its answer tells a refusal. Raises `UnreadableCommandError`."""
        try:
            asked = pb.Command.FromString(command)
        except DecodeError as exc:
            raise UnreadableCommandError(str(exc)) from exc
        self._entry = at.index
        what = asked.WhichOneof("what")
        if what is None or what == "counted" and facts.fact("level", "") < ACCESS_COUNTS_MIN_LEVEL:
            raise UnreadableCommandError("a command of no kind")
        if what == "counted":  # nobody who waits for where copies are is woken for it
            return self._counted(asked.counted, at).SerializeToString(deterministic=True)
        if what in ("declare", "remove"):
            answer = getattr(self, "_" + what)(getattr(asked, what), at)
        elif not self._fenced(asked.fence, facts):
            answer = Answer(refusal=Answer.FENCE)
        else:
            answer = getattr(self, "_" + what)(getattr(asked, what), at, facts)
        self._look_ahead()
        if not answer.refusal and (not answer.refusals or 0 in answer.refusals):
            self.revision = at.index
        return answer.SerializeToString(deterministic=True)

    def _fenced(self, fence: int, facts: Facts) -> bool:
        return bool(fence) and facts.fact("fence", LEASE) == fence

    def expire_due(self, at: LogPosition) -> None:
        """Let rests after switches end, and shards come back that were set aside."""
        for number, move in self.moves.items():
            if _rests(move) and move.at_ms + self.rest_ms <= at.clock_ms:
                self.moves[number] = replace(move, rested=True)
        self.revision = at.index
        for shard in [s for s, since in self._doubted_at.items() if since + self.rest_ms <= at.clock_ms]:
            del self._doubted_at[shard]
        for part in [part for part in self._begun if _part_ends(part) <= at.clock_ms]:
            del self._begun[part]
        for shard, (until, times) in self.asides.items():
            if until and until <= at.clock_ms:
                self.changes += 1
                self.asides[shard] = (0, times)
        self._look_ahead()

    def next_expiry_clock_ms(self) -> int | None:
        """Return when a rest or a time aside ends next."""
        return self._due

    def _look_ahead(self) -> None:
        ends = [until for until, _ in self.asides.values() if until]
        ends += [move.at_ms + self.rest_ms for move in self.moves.values() if _rests(move)]
        ends += [since + self.rest_ms for since in self._doubted_at.values()]
        ends += map(_part_ends, self._begun)
        self._due = min(ends, default=None)

    # Operators and news.

    def _declare(self, asked: pb.Declare, at: LogPosition) -> pb.Answer:
        if len(asked.shards) > MAX_ENTRIES_PER_COMMAND:
            return Answer(refusal=Answer.TOO_MANY)
        return Answer(refusals=[self._declared(told, at) for told in asked.shards])

    def _declared(self, told: pb.Shard, at: LogPosition) -> int:
        named = told.table and told.name.startswith(told.table + "/") and len(told.name) <= NAME_MOST
        if not (
            named
            and 0 < told.size <= SIZE_MOST
            and 1 <= told.copies <= COPIES_MOST
            and 1 <= told.zones <= told.copies
            and _sane(told.heat)
            and len(told.kinds) <= COPIES_MOST
            and all(map(_named, told.kinds))
        ):
            return Answer.BAD
        known = self.shards.get(told.name)
        if known is None and len(self.shards) >= SHARDS_MOST:
            return Answer.TOO_MANY
        if told.name in self._of_shard and known.size != told.size:
            return Answer.UNDER_WAY  # its space was reserved by the size that it had
        shard = Shard(told.name, told.table, told.size, told.copies, told.zones, tuple(told.kinds), told.heat)
        if known is not None and known.size == shard.size:
            shard = replace(shard, rows=known.rows, checksum=known.checksum)
        elif known is not None:
            for engine in self.copies.get(told.name, ()):
                self.used[engine] += shard.size - known.size
        if told.checked:  # a load's own word: all good copies hold this now
            shard = replace(shard, rows=told.rows, checksum=told.checksum)
            self._touched[shard.name] = at.index
        self.shards[told.name] = shard
        self.changes += 1
        if known is None:
            self._placed[shard.name] = at.index
        self._of_table.setdefault(shard.table, {})[shard.name] = None
        return Answer.NONE

    def _remove(self, asked: pb.Remove, at: LogPosition) -> pb.Answer:
        if asked.engine:
            return self._remove_home(asked.engine)
        shard = self.shards.get(asked.shard)
        if shard is None:
            return Answer(refusal=Answer.UNKNOWN)
        if shard.name in self._of_shard:
            return Answer(refusal=Answer.UNDER_WAY)
        if self.copies.get(shard.name):
            return Answer(refusal=Answer.HELD)
        del self.shards[shard.name]
        self.asides.pop(shard.name, None)
        self._faded.pop(shard.name, None)
        self._placed.pop(shard.name, None)
        self._doubted_at.pop(shard.name, None)
        self._whole_before = at.index  # what was told of it can be taken back by telling all alone
        self._touched.pop(shard.name, None)
        of_table = self._of_table[shard.table]
        del of_table[shard.name]
        if not of_table:
            del self._of_table[shard.table]
        return Answer()

    def _remove_home(self, engine: str) -> pb.Answer:
        home = self.homes.get(engine)
        if home is None:
            return Answer(refusal=Answer.UNKNOWN)
        if home.life != "gone":
            return Answer(refusal=Answer.HELD)
        if any(engine in (move.target, move.drops) for move in self.moves.values()):
            return Answer(refusal=Answer.UNDER_WAY)
        self._emptied(engine)
        del self.homes[engine]
        del self._heard_at[engine]
        return Answer()

    def _news(self, asked: pb.News, at: LogPosition, facts: Facts) -> pb.Answer:
        if len(asked.homes) > MAX_ENTRIES_PER_COMMAND:
            return Answer(refusal=Answer.TOO_MANY)
        return Answer(refusals=[self._heard(told, asked.seen, at) for told in asked.homes])

    def _heard(self, told: pb.Home, seen: int, at: LogPosition) -> int:
        if not (
            _named(told.name)
            and all(len(t) <= NAME_MOST for t in (told.zone, told.kind, told.mark))
            and told.disk <= SIZE_MOST
            and told.headroom <= SIZE_MOST
            and told.spilled <= SIZE_MOST
            and told.life in LIVES
        ):
            return Answer.BAD
        known = self.homes.get(told.name)
        if seen < self._heard_at.get(told.name, 0):
            return Answer.WAITS  # it may be older than what is known
        if known is None and len(self.homes) >= HOMES_MOST:
            return Answer.TOO_MANY
        home = ReplicaHost(
            told.name, told.zone, told.kind, told.disk, told.headroom, told.life, 0, told.mark, told.spilled
        )
        if known is not None:
            home = replace(home, generation=known.generation, mark=told.mark or known.mark)
            if known.mark and home.mark != known.mark:
                home = replace(home, generation=known.generation + 1)
                self._emptied(home.name)
        self.changes += home != known
        self.homes[home.name], self._heard_at[home.name] = home, at.index
        if home.life == "gone" and known is not None and known.life != "gone":
            self._doubted(home.name, at)
        return Answer.NONE

    def _emptied(self, engine: str) -> None:
        """An engine's disk is another: nothing is on it, but what a move's statements may still put there."""
        for shard in [shard for shard, held in self.copies.items() if engine in held]:
            move = self.move_of(shard)
            if move is None or move.target != engine or move.step not in ("copying", "checked", "undoing"):
                self._forget(shard, engine)

    def _doubted(self, engine: str, at: LogPosition) -> None:
        """What an engine held is not read until it was checked again; it may come back with old copies."""
        for shard, held in self.copies.items():
            copy = held.get(engine)
            if copy is not None and copy.state in ("good", "leaving"):
                self._hold(shard, replace(copy, state="doubtful"))
                self._doubted_at[shard] = at.clock_ms

    def _heat(self, asked: pb.Heat, at: LogPosition, facts: Facts) -> pb.Answer:
        if not all(map(_sane, asked.heat.values())):
            return Answer(refusal=Answer.BAD)
        for shard in sorted(asked.heat):
            if shard in self.shards:
                self.shards[shard] = replace(self.shards[shard], heat=asked.heat[shard])
        return Answer()

    def _counted(self, asked: pb.Counted, at: LogPosition) -> pb.Answer:
        """Take what a controller counted; the clock is the record's, so all fades alike whoever tells it."""
        if len(asked.queries) > access_load.TOLD_MOST:
            return Answer(refusal=Answer.TOO_MANY)
        if any(told.count > access_load.COUNT_MOST for told in asked.queries):
            return Answer(refusal=Answer.BAD)
        self._faded_part, self._faded_entry = at.clock_ms // access_load.PART_MS, at.index
        for told in asked.queries:
            if told.shard in self.shards:
                count, part = self._faded.get(told.shard, (0, self._faded_part))
                count = access_load.faded(count, self._faded_part - part) + told.count
                self._faded[told.shard] = min(count, SIZE_MOST), self._faded_part
        return Answer()

    def _found(self, asked: pb.Found, at: LogPosition, facts: Facts) -> pb.Answer:
        shard = self.shards.get(asked.shard)
        if shard is not None and _barred(shard, facts, begins=False):
            return Answer(refusal=Answer.CHANGING)  # who changes the table counts on the good copies it saw
        return Answer(refusal=self._checked(asked))

    def _checked(self, asked: pb.Found) -> int:
        shard, home = self.shards.get(asked.shard), self.homes.get(asked.engine)
        if shard is None or home is None:
            return Answer.UNKNOWN
        if home.generation != asked.generation or home.life == "gone":
            return Answer.TARGET
        if asked.seen < self._touched.get(shard.name, 0):
            return Answer.WAITS  # for another check: copies have come or gone since this one began
        move = self.move_of(shard.name)
        if move is not None and move.step in UNDER_WAY and home.name in (move.target, move.drops):
            return Answer.UNDER_WAY
        copy = self.copies.get(shard.name, {}).get(home.name)
        if not asked.present:
            if copy is not None:
                self._forget(shard.name, home.name)
            return Answer.NONE
        if copy is None and len(self.copies.get(shard.name, ())) >= COPIES_MOST:
            return Answer.TOO_MANY
        good = self.good(shard.name)
        if shard.rows < 0 and (not good or home.name in good):  # the first that is known of it
            shard = self.shards[shard.name] = replace(shard, rows=asked.rows, checksum=asked.checksum)
        elif shard.rows < 0:
            return Answer.WAITS  # for a check of a good copy, to compare with
        same = (shard.rows, shard.checksum) == (asked.rows, asked.checksum)
        if not same and good == (home.name,):
            return Answer.DIFFERS  # the only good copy is not given up for a figure
        self._hold(shard.name, Replica(shard.name, home.name, "good" if same else "doubtful", not same))
        return Answer.NONE

    # Plans and steps.

    def _plan(self, asked: pb.Plan, at: LogPosition, facts: Facts) -> pb.Answer:
        if len(asked.moves) > MAX_ENTRIES_PER_COMMAND:
            return Answer(refusal=Answer.TOO_MANY)
        answer, numbers, own = Answer(), {}, {told.number for told in asked.moves}
        for told in asked.moves:
            refusal = self._wanted(told, facts)
            if any(ahead in own and not numbers.get(ahead) for ahead in told.after):
                refusal = refusal or Answer.WAITS  # for space that another move won't make
            if not refusal:
                self.last_move += 1
                after = {numbers.get(ahead, ahead) for ahead in told.after}
                self.moves[self.last_move] = Migration(
                    self.last_move,
                    told.shard,
                    told.source,
                    told.target,
                    told.drops,
                    "planned",
                    tuple(sorted(ahead for ahead in after if ahead in self.moves)),
                    at_ms=at.clock_ms,
                )
                self._of_shard[told.shard] = numbers[told.number] = self.last_move
            answer.numbers.append(0 if refusal else self.last_move)
            answer.refusals.append(refusal)
        return answer

    def _wanted(self, told: pb.Move, facts: Facts) -> int:
        """Return why a planned move is not taken; 0: it is."""
        shard, held = self.shards.get(told.shard), self.copies.get(told.shard, {})
        if shard is None:
            return Answer.UNKNOWN
        if len(self.moves) >= MOVES_MOST:
            return Answer.TOO_MANY
        if shard.name in self._of_shard:
            return Answer.UNDER_WAY
        if self.asides.get(shard.name, (0, 0))[0]:
            return Answer.ASIDE
        if _barred(shard, facts, begins=True):
            return Answer.CHANGING
        if told.drops == told.target or told.drops and told.drops not in held:
            return Answer.BAD
        if told.target and told.source not in self.good(shard.name):
            return Answer.SOURCE
        return self._taken(shard, told.target) if told.target else 0

    def _taken(self, shard: Shard, target: str) -> int:
        """Return why an engine takes no copy of a shard, its space aside; 0: it does."""
        home = self.homes.get(target)
        if home is None:
            return Answer.UNKNOWN
        fits = home.life in TAKES and (not shard.kinds or home.kind in shard.kinds)
        held = self.copies.get(shard.name, {})
        return 0 if fits and target not in held and len(held) < COPIES_MOST else Answer.TARGET

    def _step(self, asked: pb.Step, at: LogPosition, facts: Facts) -> pb.Answer:
        move = self.moves.get(asked.move)
        if move is None:
            return Answer(refusal=Answer.UNKNOWN)
        take = {
            Step.RESERVE: self._reserve,
            Step.COPY: self._copy,
            Step.CHECK: self._check,
            Step.SWITCH: self._switch,
            Step.DROP: self._drop,
            Step.DONE: self._done,
            Step.KEEP: self._keep,
            Step.UNDO: self._undo,
            Step.UNDONE: self._undone,
        }.get(asked.kind)
        if take is None:
            return Answer(refusal=Answer.BAD)
        forth = asked.kind in (Step.RESERVE, Step.COPY, Step.CHECK, Step.SWITCH, Step.DROP)
        if forth and _barred(self.shards[move.shard], facts, begins=move.step == "planned"):
            return Answer(refusal=Answer.CHANGING)
        if (
            move.step == "switched"
            and asked.kind == Step.DROP
            and not (move.rested or (asked.cleared and facts.fact("level", "") >= CLEARED_LEVEL))
        ):
            return Answer(refusal=Answer.WAITS)  # an older view may still send queries there
        refusal = take(move, asked, at)
        if not refusal:
            self._touched[move.shard] = at.index
            if asked.kind == Step.COPY and facts.fact("level", "") >= ACCESS_COUNTS_MIN_LEVEL:
                part = at.clock_ms // BEGUN_MS
                self._begun[part] = self._begun.get(part, 0) + self.shards[move.shard].size
        return Answer(refusal=refusal)

    def _at(self, move: Migration, step: str, at: LogPosition, **more: object) -> None:
        self.moves[move.number] = replace(move, step=step, at_ms=at.clock_ms, **more)

    def _reserve(self, move: Migration, asked: pb.Step, at: LogPosition) -> int:
        if move.step != "planned" or not move.target:
            return Answer.STEP
        shard = self.shards[move.shard]
        if any(ahead in self.moves for ahead in move.after):
            return Answer.WAITS
        if not self.good(shard.name):
            return Answer.SOURCE
        refusal = self._taken(shard, move.target)
        if refusal:
            return refusal
        if not self._fits(shard, move.target):
            return Answer.HEADROOM
        self._hold(shard.name, Replica(shard.name, move.target, "coming"))
        self._at(move, "reserved", at, generation=self.homes[move.target].generation)
        return Answer.NONE

    def _fits(self, shard: Shard, target: str) -> bool:
        return shard.size <= self.room(target)

    def _coming(self, move: Migration) -> bool:
        """Tell whether a move's target is the engine that it was, with the copy that comes in."""
        home, copy = self.homes[move.target], self.copies.get(move.shard, {}).get(move.target)
        return (
            home.life != "gone"
            and home.generation == move.generation
            and copy is not None
            and copy.state == "coming"
        )

    def _copy(self, move: Migration, asked: pb.Step, at: LogPosition) -> int:
        if move.step not in ("reserved", "copying") or asked.attempt != move.attempt + 1:
            return Answer.STEP
        if asked.source not in self.good(move.shard):
            return Answer.SOURCE
        if not self._coming(move):
            return Answer.TARGET
        self._at(move, "copying", at, attempt=asked.attempt, source=asked.source)
        return Answer.NONE

    def _check(self, move: Migration, asked: pb.Step, at: LogPosition) -> int:
        if move.step != "copying" or asked.attempt != move.attempt:
            return Answer.STEP
        if not self._coming(move):
            return Answer.TARGET
        shard = self.shards[move.shard]
        if shard.rows >= 0 and (shard.rows, shard.checksum) != (asked.rows, asked.checksum):
            return Answer.DIFFERS
        self.shards[shard.name] = replace(shard, rows=asked.rows, checksum=asked.checksum)
        self._at(move, "checked", at)
        return Answer.NONE

    def _switch(self, move: Migration, asked: pb.Step, at: LogPosition) -> int:
        held = self.copies.get(move.shard, {})
        old = held.get(move.drops)
        if not move.target:
            if move.step != "planned":
                return Answer.STEP
            if any(ahead in self.moves for ahead in move.after):
                return Answer.WAITS
            if old is not None and not self.spared(move.shard, move.drops):
                return Answer.LAST
        elif move.step != "checked":
            return Answer.STEP
        elif not self._coming(move):
            return Answer.TARGET
        else:
            self._hold(move.shard, replace(held[move.target], state="good"))
        if old is None or not self.spared(move.shard, move.drops):
            self._end(move, well=True)  # nothing to drop, or what goes is needed still
            return Answer.NONE
        self._hold(move.shard, replace(old, state="leaving", wrong=old.state != "good"))
        self._at(move, "switched", at)
        return Answer.NONE

    def spared(self, shard: str, engine: str) -> bool:
        """Tell whether a copy may go: all that is wanted is there without it.

        One that is not known to be good is no copy: for it to go, one good copy is enough.
        """
        copy = self.copies.get(shard, {}).get(engine)
        if copy is None:
            return False
        wanted, others = self.shards[shard], [e for e in self.good(shard) if e != engine]
        if copy.wrong:
            return bool(others)
        return len(others) >= wanted.copies and len({self.homes[e].zone for e in others}) >= wanted.zones

    def _drop(self, move: Migration, asked: pb.Step, at: LogPosition) -> int:
        if move.step != "switched":
            return Answer.STEP
        copy = self.copies.get(move.shard, {}).get(move.drops)
        if copy is None or copy.state != "leaving":
            return Answer.SOURCE  # it went with its engine, or is in doubt since
        if not self.spared(move.shard, move.drops):
            return Answer.LAST
        self._at(move, "dropping", at)
        return Answer.NONE

    def _done(self, move: Migration, asked: pb.Step, at: LogPosition) -> int:
        if move.step != "dropping":
            return Answer.STEP
        self._forget(move.shard, move.drops)
        self._end(move, well=True)
        return Answer.NONE

    def _keep(self, move: Migration, asked: pb.Step, at: LogPosition) -> int:
        if move.step not in ("switched", "dropping"):
            return Answer.STEP
        held = self.copies.get(move.shard, {})
        copy = held.get(move.drops)
        leaves = copy is not None and copy.state == "leaving"
        if leaves and self.spared(move.shard, move.drops) and not asked.failed:
            return Answer.STEP  # there is no reason to
        if leaves:  # once its drop may have been sent, only a check can say whether it is there
            sure = move.step == "switched" and not copy.wrong
            self._hold(move.shard, replace(copy, state="good" if sure else "doubtful", wrong=False))
        self._end(move, well=not asked.failed)
        if asked.failed:
            self._set_aside(move.shard, at)
        return Answer.NONE

    def _undo(self, move: Migration, asked: pb.Step, at: LogPosition) -> int:
        if move.step not in ("planned", "reserved", "copying", "checked"):
            return Answer.STEP
        if asked.failed:
            self._set_aside(move.shard, at)
        if move.step == "reserved":
            self._forget(move.shard, move.target)  # no statement was sent for it
        if move.step in ("planned", "reserved") or move.target not in self.copies.get(move.shard, {}):
            self._end(move, well=False)
        else:
            self._at(move, "undoing", at)
        return Answer.NONE

    def _undone(self, move: Migration, asked: pb.Step, at: LogPosition) -> int:
        if move.step != "undoing":
            return Answer.STEP
        left = self.copies.get(move.shard, {}).get(move.target)
        if left is not None and (asked.failed or self.homes[move.target].life == "gone"):
            self._hold(move.shard, Replica(move.shard, move.target, "doubtful", asked.failed))
        else:
            self._forget(move.shard, move.target)
        self._end(move, well=False)
        return Answer.NONE

    def _set_aside(self, shard: str, at: LogPosition) -> None:
        times = self.asides.get(shard, (0, 0))[1] + 1
        rest = min(ASIDE_FIRST_MS * 2 ** min(times - 1, 16), ASIDE_MOST_MS)
        self.asides[shard] = (at.clock_ms + rest, times)

    def _end(self, move: Migration, well: bool) -> None:
        self.changes += 1
        del self.moves[move.number]
        del self._of_shard[move.shard]
        if well:
            self.asides.pop(move.shard, None)

    def _hold(self, shard: str, copy: Replica) -> None:
        self.changes += 1
        self._placed[shard] = self._entry
        held = self.copies.setdefault(shard, {})
        if copy.engine not in held:
            self.used[copy.engine] = self.used.get(copy.engine, 0) + self.shards[shard].size
        held[copy.engine] = copy

    def _forget(self, shard: str, engine: str) -> None:
        held = self.copies.get(shard, {})
        if held.pop(engine, None) is None:
            return
        self.changes += 1
        self._placed[shard] = self._entry
        self.used[engine] -= self.shards[shard].size
        if not self.used[engine]:
            del self.used[engine]
        if not held:
            del self.copies[shard]

    # Its state as bytes.

    def snapshot(self) -> bytes:
        """Return its state; equal states give equal bytes."""
        state = pb.State(last_move=self.last_move, changes=self.changes, revision=self.revision)
        for _, s in sorted(self.shards.items()):
            state.shards.add(
                name=s.name,
                table=s.table,
                size=s.size,
                copies=s.copies,
                zones=s.zones,
                kinds=s.kinds,
                heat=s.heat,
                checked=s.rows >= 0,
                rows=max(s.rows, 0),
                checksum=s.checksum,
                touched=self._touched.get(s.name, 0),
                doubted_ms=self._doubted_at.get(s.name, -1) + 1,
            )
        for _, h in sorted(self.homes.items()):
            state.homes.add(
                name=h.name,
                zone=h.zone,
                kind=h.kind,
                disk=h.disk,
                headroom=h.headroom,
                life=h.life,
                generation=h.generation,
                mark=h.mark,
                spilled=h.spilled,
                heard=self._heard_at[h.name],
            )
        for shard in sorted(self.copies):
            for _, c in sorted(self.copies[shard].items()):
                state.copies.add(shard=shard, engine=c.engine, state=c.state, wrong=c.wrong)
        for _, m in sorted(self.moves.items()):
            state.moves.add(
                number=m.number,
                shard=m.shard,
                source=m.source,
                target=m.target,
                drops=m.drops,
                step=m.step,
                after=m.after,
                attempt=m.attempt,
                generation=m.generation,
                at_ms=m.at_ms,
                rested=m.rested,
            )
        for shard, (until, times) in sorted(self.asides.items()):
            state.asides.add(shard=shard, until_ms=until, times=times)
        for part, size in sorted(self._begun.items()):
            state.begun.add(part=part, bytes=size)
        for shard, (count, part) in sorted(self._faded.items()):
            state.faded.add(shard=shard, count=count, part=part)
        state.faded_part, state.faded_entry = self._faded_part, self._faded_entry
        return state.SerializeToString(deterministic=True)

    def restore(self, data: bytes) -> None:
        """Take a state in place of its own."""
        state = pb.State.FromString(data)
        self.__init__()
        self.last_move = state.last_move
        for s in state.shards:
            self.shards[s.name] = Shard(
                s.name,
                s.table,
                s.size,
                s.copies,
                s.zones,
                tuple(s.kinds),
                s.heat,
                s.rows if s.checked else -1,
                s.checksum,
            )
            self._of_table.setdefault(s.table, {})[s.name] = None
            if s.touched:
                self._touched[s.name] = s.touched
            if s.doubted_ms:
                self._doubted_at[s.name] = s.doubted_ms - 1
        for h in state.homes:
            self._heard_at[h.name] = h.heard
            self.homes[h.name] = ReplicaHost(
                h.name, h.zone, h.kind, h.disk, h.headroom, h.life, h.generation, h.mark, h.spilled
            )
        for c in state.copies:
            self._hold(c.shard, Replica(c.shard, c.engine, c.state, c.wrong))
        for m in state.moves:
            self.moves[m.number] = Migration(
                m.number,
                m.shard,
                m.source,
                m.target,
                m.drops,
                m.step,
                tuple(m.after),
                attempt=m.attempt,
                generation=m.generation,
                at_ms=m.at_ms,
                rested=m.rested,
            )
            self._of_shard[m.shard] = m.number
        self.asides = {a.shard: (a.until_ms, a.times) for a in state.asides}
        self.changes, self.revision = state.changes, state.revision
        self._begun = {b.part: b.bytes for b in state.begun}
        self._faded = {f.shard: (f.count, f.part) for f in state.faded}
        self._faded_part, self._faded_entry = state.faded_part, state.faded_entry
        self._placed, self._whole_before = {}, state.revision
        self._look_ahead()


def effective(home: ReplicaHost) -> int:
    """Return the bytes of an engine's disk that copies and headroom may count on.

    Spills are what the headroom is for; only what they take beyond it is missing.
    """
    return home.disk - max(0, home.spilled - home.headroom)


def _barred(shard: Shard, facts: Facts, begins: bool) -> bool:
    """Tell whether a change of its table keeps a shard where it is; a mere wish bars what would begin."""
    return bool(facts.fact("changing", shard.table) or begins and facts.fact("wanted", shard.table))


def _part_ends(part: int) -> int:
    """Return when what began in a part of time is an hour old for certain, in ms of the record's clock."""
    return (part + 1) * BEGUN_MS + HOUR_MS


def _rests(move: Migration) -> bool:
    return move.step == "switched" and not move.rested


def _named(text: str) -> bool:
    return 0 < len(text) <= NAME_MOST


def _sane(figure: float) -> bool:
    return math.isfinite(figure) and figure >= 0.0
