"""The replicated state of shards: replica locations, engines' capacity, and migrations with their steps.

Every command but an operator's declaration carries the fencing token of the lease `moves`; a command with an
earlier holder's token is refused. A migration takes a step only from the step before it and only while the
new step is valid: this state alone decides whether it is, whoever requests the step and however late. What a
step allows (statements to engines) happens after its commit and never before.

Space counts from a replica's reservation until its drop was answered, so a coming replica and the one that it
replaces both count. A replica may be read while it is `good`, and in no other state.
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
MAX_SHARDS = 65_536  # shards; three times the number planned for two hundred engines
MAX_ENGINES = 4_096  # engines, including those that are gone for good until they are removed
MAX_REPLICAS_PER_SHARD = 16  # replicas of one shard, whatever their state
MAX_MIGRATIONS = 4_096  # migrations that have not ended
# migrations, shards or engines in one command; far below the maximum size of a command
MAX_ENTRIES_PER_COMMAND = 1_024
MAX_NAME_CHARS = 512  # characters of a name
MAX_SIZE_BYTES = 2**60  # bytes of a shard or a disk; sums of them stay far below 2**64
MAX_PLACES_PER_ANSWER = 3_072  # shards in one answer with replica locations
MAX_LEAVING_PER_ANSWER = 512  # leaving replicas in that answer; at both limits, longest names fill a frame
MAX_PIECE_BYTES = 1024 * 1024  # bytes of the state in one answer, half of what a frame holds
# from this level of the replicated state on, a quiesced replica may be dropped before its rest period ends
CLEARED_MIN_LEVEL = 2
# ms from a switch until the old replica may be dropped: a controller cut off for less may still send to it
REST_MS = 60_000
HOUR_MS = 3_600_000  # ms over which transferred bytes are limited
TRANSFER_BUCKET_MS = 300_000  # ms of one bucket of transferred bytes; it counts until an hour after its end
# from this level on, the replicated state keeps the bytes started in the hour and counted access load
ACCESS_COUNTS_MIN_LEVEL = 2
# ms for which a shard is suspended after a failed migration; doubles each time
INITIAL_SUSPENSION_MS, MAX_SUSPENSION_MS = (30_000, 3_600_000)

Step, Answer = pb.Step, pb.Answer
# steps that keep the table's schema from changing
UNDER_WAY = ("reserved", "copying", "checked", "switched", "dropping", "undoing")
ACCEPTING_LIVES = ("ready", "cold")  # lives in which an engine accepts replicas


class ShardMachine:
    """The state machine `shards`; also what the planner, the migration driver and routing read."""

    name, kinds = "shards", ("moving",)
    rest_ms = REST_MS  # the same on all controllers, so not a setting; simulations use a shorter one

    def __init__(self) -> None:
        self.shards: dict[str, Shard] = {}
        self.homes: dict[str, ReplicaHost] = {}
        self.copies: dict[str, dict[str, Replica]] = {}  # by shard and engine
        self.moves: dict[int, Migration] = {}
        # suspended shards: until when (0 if no longer suspended), and failures in a row
        self.asides: dict[str, tuple[int, int]] = {}
        self.used: dict[str, int] = {}  # bytes of replicas by engine, whatever their state
        self.last_move = 0
        self.changes = 0  # counts changes that may call for another plan
        self.revision = 0  # entry that last changed anything but access load, whose change wakes no watch
        self._started_bytes: dict[int, int] = {}  # bytes that copies began to transfer, by bucket of time
        self._access_counts: dict[
            str, tuple[int, int]
        ] = {}  # by shard: count of queries that named it, as of a step of time
        self._access_step = self._access_entry = 0  # step of time and entry of the last access report
        self._content_entry: dict[
            str, int
        ] = {}  # by shard: the entry of its last step, or of its last row count and checksum
        # by shard: when a good replica became doubtful, kept for the rest period
        self._doubtful_since: dict[str, int] = {}
        self._engine_entry: dict[str, int] = {}  # by engine: the entry of its last report
        # revision and bytes of the last snapshot that was read
        self._cached_snapshot: tuple[int, bytes] | None = None
        self._placed_entry: dict[str, int] = {}  # by shard: the entry that last changed its good replicas
        self._history_from = 0  # the entry after which changes are known here; older views get the full state
        self._applied_index = 0  # the entry being applied
        self._shards_of_table: dict[str, dict[str, None]] = {}  # shards by table
        self._migration_of_shard: dict[str, int] = {}  # number of the shard's migration
        self._next_expiry_ms: int | None = None

    # Reads.

    def fact(self, kind: str, key: str) -> int:
        """Return how many shards of a table are under migration; the case of the table's name is ignored.

        A shard also counts while a replica that just became doubtful may still be read by an older view: if
        the table were changed now, that replica would miss the change.
        """
        shards = {m.shard for m in self.moves.values() if m.step in UNDER_WAY}.union(self._doubtful_since)
        return sum(self.shards[shard].table.lower() == key.lower() for shard in shards)

    def good(self, shard: str) -> tuple[str, ...]:
        """Return the engines whose replica of a shard may be read, in order of their names."""
        replicas = self.copies.get(shard, {})
        return tuple(sorted(engine for engine, replica in replicas.items() if replica.state == "good"))

    def places(self, table: str) -> dict[str, tuple[str, ...]]:
        """Return the engines with good replicas of each shard of a table."""
        return {shard: self.good(shard) for shard in sorted(self._shards_of_table.get(table, ()))}

    def leaving(self, shard: str) -> str:
        """Return the engine whose replica gets no further queries and waits for its drop; "" if none."""
        replicas = self.copies.get(shard, {})
        return next(
            (engine for engine, replica in sorted(replicas.items()) if replica.state == "leaving"), ""
        )

    def waiting(self) -> list[tuple[str, str]]:
        """Return the replicas that get no further queries and wait for their drop, by shard and engine."""
        moves = (move for _, move in sorted(self.moves.items()) if move.step == "switched")
        return [(m.shard, m.drops) for m in moves if self.leaving(m.shard) == m.drops]

    def touched(self, shard: str) -> int:
        """Return the entry of a shard's last step or of a later report on its content; 0 if none."""
        return self._content_entry.get(shard, 0)

    def free_bytes(self, engine: str) -> int:
        """Return the bytes available for further replicas on an engine; negative if it holds too much."""
        host = self.homes[engine]
        return usable_disk(host) - host.headroom - self.used.get(engine, 0)

    def bytes_started(self) -> int:
        """Return the bytes that copies began to transfer within the last hour and some minutes before."""
        return sum(self._started_bytes.values())

    @property
    def state_at(self) -> int:
        """The entry that last changed anything at all."""
        return max(self.revision, self._access_entry)

    def access_loads(self) -> dict[str, float]:
        """Return the queries that named each shard, decayed up to the last report; {} if too few.

        With too few queries the counts are mostly chance, and the declared load is better.
        """
        found = {
            shard: access_load.decayed(count, self._access_step - part)
            for shard, (count, part) in self._access_counts.items()
            if shard in self.shards
        }
        is_enough = sum(found.values()) >= access_load.MIN_COUNT_TO_USE
        return (
            {shard: count / access_load.UNITS_PER_QUERY for shard, count in found.items()}
            if is_enough
            else {}
        )

    def move_of(self, shard: str) -> Migration | None:
        """Return the shard's migration that has not ended, or None if there is none."""
        return self.moves.get(self._migration_of_shard.get(shard, 0))

    def world(self, frozen: Iterable[str] = ()) -> World:
        """Return the world that the planner reads.

        Spilled bytes beyond the headroom are subtracted from the disk. Drops without a target and partial
        replicas being dropped are not migrations there: their replicas are `leaving` or `coming`, and take
        space.
        """
        copies = {(c.shard, c.engine): c for replicas in self.copies.values() for c in replicas.values()}
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
            homes={name: replace(host, disk=usable_disk(host)) for name, host in self.homes.items()},
            copies=copies,
            moves=moves,
            frozen=frozenset(frozen),
            aside=frozenset(shard for shard, (until_ms, _) in self.asides.items() if until_ms),
        )

    def asked(self, query: bytes) -> bytes:
        """Answer a `ShardQuery` with a `ShardSeen` or `Places`, or b"" if unreadable; nothing changes."""
        try:
            message = pb.ShardQuery.FromString(query)
        except DecodeError:
            return b""
        if message.HasField("places"):
            return self._changed_places(message.places).SerializeToString()
        skip = message.skip
        if self._cached_snapshot is None or self._cached_snapshot[0] != self.state_at:
            self._cached_snapshot = self.state_at, self.snapshot()
        revision, state = self._cached_snapshot
        return pb.ShardSeen(
            revision=revision, size=len(state), piece=state[skip : skip + MAX_PIECE_BYTES]
        ).SerializeToString()

    def _changed_places(self, request: pb.PlacesQuery) -> pb.Places:
        is_full = request.after < self._history_from
        names = (
            sorted(self.shards)
            if is_full
            else sorted(
                shard
                for shard, at in self._placed_entry.items()
                if at > request.after and shard in self.shards
            )
        )
        names = names[bisect_right(names, request.name) :]
        answer, numbers = (
            pb.Places(revision=self.revision, whole=is_full, more=len(names) > MAX_PLACES_PER_ANSWER),
            {},
        )
        if not request.name:
            waiting = self.waiting()
            answer.cut = len(waiting) > MAX_LEAVING_PER_ANSWER
            answer.leaving.extend(
                pb.Places.Leaving(shard=s, engine=e) for s, e in waiting[:MAX_LEAVING_PER_ANSWER]
            )
        for shard in names[:MAX_PLACES_PER_ANSWER]:
            engines = [numbers.setdefault(engine, len(numbers)) for engine in self.good(shard)]
            answer.places.add(shard=shard, engines=engines)
        answer.engines.extend(numbers)
        return answer

    # Commands.

    def apply(self, at: LogPosition, command: bytes, facts: Facts) -> bytes:
        """Apply a command; return its answer, which has any refusal. Raises `UnreadableCommandError`."""
        try:
            request = pb.Command.FromString(command)
        except DecodeError as exc:
            raise UnreadableCommandError(str(exc)) from exc
        self._applied_index = at.index
        kind = request.WhichOneof("what")
        if kind is None or kind == "counted" and facts.fact("level", "") < ACCESS_COUNTS_MIN_LEVEL:
            raise UnreadableCommandError("a command of no kind")
        if kind == "counted":  # watches of replica locations are not woken for it
            return self._counted(request.counted, at).SerializeToString(deterministic=True)
        if kind in ("declare", "remove"):
            answer = getattr(self, "_" + kind)(getattr(request, kind), at)
        elif not self._has_valid_fence(request.fence, facts):
            answer = Answer(refusal=Answer.FENCE)
        else:
            answer = getattr(self, "_" + kind)(getattr(request, kind), at, facts)
        self._update_next_expiry()
        if not answer.refusal and (not answer.refusals or 0 in answer.refusals):
            self.revision = at.index
        return answer.SerializeToString(deterministic=True)

    def _has_valid_fence(self, fence: int, facts: Facts) -> bool:
        return bool(fence) and facts.fact("fence", LEASE) == fence

    def expire_due(self, at: LogPosition) -> None:
        """End rest periods after switches, suspensions of shards, and buckets of transferred bytes."""
        for number, move in self.moves.items():
            if _is_resting(move) and move.at_ms + self.rest_ms <= at.clock_ms:
                self.moves[number] = replace(move, rested=True)
        self.revision = at.index
        for shard in [s for s, since in self._doubtful_since.items() if since + self.rest_ms <= at.clock_ms]:
            del self._doubtful_since[shard]
        for part in [part for part in self._started_bytes if _bucket_expiry_ms(part) <= at.clock_ms]:
            del self._started_bytes[part]
        for shard, (until_ms, failures) in self.asides.items():
            if until_ms and until_ms <= at.clock_ms:
                self.changes += 1
                self.asides[shard] = (0, failures)
        self._update_next_expiry()

    def next_expiry_clock_ms(self) -> int | None:
        """Return when the next rest period, suspension or bucket ends."""
        return self._next_expiry_ms

    def _update_next_expiry(self) -> None:
        expiries = [until_ms for until_ms, _ in self.asides.values() if until_ms]
        expiries += [move.at_ms + self.rest_ms for move in self.moves.values() if _is_resting(move)]
        expiries += [since + self.rest_ms for since in self._doubtful_since.values()]
        expiries += map(_bucket_expiry_ms, self._started_bytes)
        self._next_expiry_ms = min(expiries, default=None)

    # Declarations and reports.

    def _declare(self, request: pb.Declare, at: LogPosition) -> pb.Answer:
        if len(request.shards) > MAX_ENTRIES_PER_COMMAND:
            return Answer(refusal=Answer.TOO_MANY)
        return Answer(refusals=[self._declare_shard(message, at) for message in request.shards])

    def _declare_shard(self, message: pb.Shard, at: LogPosition) -> int:
        is_named = (
            message.table
            and message.name.startswith(message.table + "/")
            and len(message.name) <= MAX_NAME_CHARS
        )
        if not (
            is_named
            and 0 < message.size <= MAX_SIZE_BYTES
            and 1 <= message.copies <= MAX_REPLICAS_PER_SHARD
            and 1 <= message.zones <= message.copies
            and _is_valid_load(message.heat)
            and len(message.kinds) <= MAX_REPLICAS_PER_SHARD
            and all(map(_is_valid_name, message.kinds))
        ):
            return Answer.BAD
        known = self.shards.get(message.name)
        if known is None and len(self.shards) >= MAX_SHARDS:
            return Answer.TOO_MANY
        if message.name in self._migration_of_shard and known.size != message.size:
            return Answer.UNDER_WAY  # the migration's space was reserved by the shard's known size
        shard = Shard(
            message.name,
            message.table,
            message.size,
            message.copies,
            message.zones,
            tuple(message.kinds),
            message.heat,
        )
        if known is not None and known.size == shard.size:
            shard = replace(shard, rows=known.rows, checksum=known.checksum)
        elif known is not None:
            for engine in self.copies.get(message.name, ()):
                self.used[engine] += shard.size - known.size
        if message.checked:  # reported by a load job: all good replicas hold this content now
            shard = replace(shard, rows=message.rows, checksum=message.checksum)
            self._content_entry[shard.name] = at.index
        self.shards[message.name] = shard
        self.changes += 1
        if known is None:
            self._placed_entry[shard.name] = at.index
        self._shards_of_table.setdefault(shard.table, {})[shard.name] = None
        return Answer.NONE

    def _remove(self, request: pb.Remove, at: LogPosition) -> pb.Answer:
        if request.engine:
            return self._remove_engine(request.engine)
        shard = self.shards.get(request.shard)
        if shard is None:
            return Answer(refusal=Answer.UNKNOWN)
        if shard.name in self._migration_of_shard:
            return Answer(refusal=Answer.UNDER_WAY)
        if self.copies.get(shard.name):
            return Answer(refusal=Answer.HELD)
        del self.shards[shard.name]
        self.asides.pop(shard.name, None)
        self._access_counts.pop(shard.name, None)
        self._placed_entry.pop(shard.name, None)
        self._doubtful_since.pop(shard.name, None)
        self._history_from = at.index  # a removed shard can only be reported by sending the full state
        self._content_entry.pop(shard.name, None)
        of_table = self._shards_of_table[shard.table]
        del of_table[shard.name]
        if not of_table:
            del self._shards_of_table[shard.table]
        return Answer()

    def _remove_engine(self, engine: str) -> pb.Answer:
        host = self.homes.get(engine)
        if host is None:
            return Answer(refusal=Answer.UNKNOWN)
        if host.life != "gone":
            return Answer(refusal=Answer.HELD)
        if any(engine in (move.target, move.drops) for move in self.moves.values()):
            return Answer(refusal=Answer.UNDER_WAY)
        self._discard_replicas_on(engine)
        del self.homes[engine]
        del self._engine_entry[engine]
        return Answer()

    def _news(self, request: pb.News, at: LogPosition, facts: Facts) -> pb.Answer:
        if len(request.homes) > MAX_ENTRIES_PER_COMMAND:
            return Answer(refusal=Answer.TOO_MANY)
        return Answer(refusals=[self._update_engine(message, request.seen, at) for message in request.homes])

    def _update_engine(self, message: pb.Home, seen: int, at: LogPosition) -> int:
        if not (
            _is_valid_name(message.name)
            and all(len(t) <= MAX_NAME_CHARS for t in (message.zone, message.kind, message.mark))
            and message.disk <= MAX_SIZE_BYTES
            and message.headroom <= MAX_SIZE_BYTES
            and message.spilled <= MAX_SIZE_BYTES
            and message.life in LIVES
        ):
            return Answer.BAD
        known = self.homes.get(message.name)
        if seen < self._engine_entry.get(message.name, 0):
            return Answer.WAITS  # the report may be older than what is known
        if known is None and len(self.homes) >= MAX_ENGINES:
            return Answer.TOO_MANY
        host = ReplicaHost(
            message.name,
            message.zone,
            message.kind,
            message.disk,
            message.headroom,
            message.life,
            0,
            message.mark,
            message.spilled,
        )
        if known is not None:
            host = replace(host, generation=known.generation, mark=message.mark or known.mark)
            if known.mark and host.mark != known.mark:
                host = replace(host, generation=known.generation + 1)
                self._discard_replicas_on(host.name)
        self.changes += host != known
        self.homes[host.name], self._engine_entry[host.name] = host, at.index
        if host.life == "gone" and known is not None and known.life != "gone":
            self._mark_doubtful(host.name, at)
        return Answer.NONE

    def _discard_replicas_on(self, engine: str) -> None:
        """Forget the replicas of an engine with a new disk, except what a migration may still write there."""
        for shard in [shard for shard, replicas in self.copies.items() if engine in replicas]:
            move = self.move_of(shard)
            if move is None or move.target != engine or move.step not in ("copying", "checked", "undoing"):
                self._remove_replica(shard, engine)

    def _mark_doubtful(self, engine: str, at: LogPosition) -> None:
        """Mark the replicas of an engine that is gone as doubtful: it may return with outdated ones."""
        for shard, replicas in self.copies.items():
            replica = replicas.get(engine)
            if replica is not None and replica.state in ("good", "leaving"):
                self._set_replica(shard, replace(replica, state="doubtful"))
                self._doubtful_since[shard] = at.clock_ms

    def _heat(self, request: pb.Heat, at: LogPosition, facts: Facts) -> pb.Answer:
        if not all(map(_is_valid_load, request.heat.values())):
            return Answer(refusal=Answer.BAD)
        for shard in sorted(request.heat):
            if shard in self.shards:
                self.shards[shard] = replace(self.shards[shard], heat=request.heat[shard])
        return Answer()

    def _counted(self, request: pb.Counted, at: LogPosition) -> pb.Answer:
        """Add a controller's counts of queries; the sums of all controllers decay by the replicated clock."""
        if len(request.queries) > access_load.MAX_REPORTED_SHARDS:
            return Answer(refusal=Answer.TOO_MANY)
        if any(message.count > access_load.MAX_REPORTED_COUNT for message in request.queries):
            return Answer(refusal=Answer.BAD)
        self._access_step, self._access_entry = at.clock_ms // access_load.STEP_MS, at.index
        for message in request.queries:
            if message.shard in self.shards:
                count, part = self._access_counts.get(message.shard, (0, self._access_step))
                count = access_load.decayed(count, self._access_step - part) + message.count
                self._access_counts[message.shard] = min(count, MAX_SIZE_BYTES), self._access_step
        return Answer()

    def _found(self, request: pb.Found, at: LogPosition, facts: Facts) -> pb.Answer:
        shard = self.shards.get(request.shard)
        if shard is not None and _is_barred(shard, facts, is_start=False):
            # a schema change relies on the good replicas that it has seen
            return Answer(refusal=Answer.CHANGING)
        return Answer(refusal=self._record_check(request))

    def _record_check(self, request: pb.Found) -> int:
        shard, host = self.shards.get(request.shard), self.homes.get(request.engine)
        if shard is None or host is None:
            return Answer.UNKNOWN
        if host.generation != request.generation or host.life == "gone":
            return Answer.TARGET
        if request.seen < self._content_entry.get(shard.name, 0):
            return Answer.WAITS  # needs another check: replicas were added or dropped since this one began
        move = self.move_of(shard.name)
        if move is not None and move.step in UNDER_WAY and host.name in (move.target, move.drops):
            return Answer.UNDER_WAY
        replica = self.copies.get(shard.name, {}).get(host.name)
        if not request.present:
            if replica is not None:
                self._remove_replica(shard.name, host.name)
            return Answer.NONE
        if replica is None and len(self.copies.get(shard.name, ())) >= MAX_REPLICAS_PER_SHARD:
            return Answer.TOO_MANY
        good = self.good(shard.name)
        if shard.rows < 0 and (not good or host.name in good):  # the first content known of the shard
            shard = self.shards[shard.name] = replace(shard, rows=request.rows, checksum=request.checksum)
        elif shard.rows < 0:
            return Answer.WAITS  # needs a check of a good replica to compare with
        is_equal = (shard.rows, shard.checksum) == (request.rows, request.checksum)
        if not is_equal and good == (host.name,):
            return Answer.DIFFERS  # the only good replica is not given up for a checksum
        self._set_replica(
            shard.name, Replica(shard.name, host.name, "good" if is_equal else "doubtful", not is_equal)
        )
        return Answer.NONE

    # Plans and steps.

    def _plan(self, request: pb.Plan, at: LogPosition, facts: Facts) -> pb.Answer:
        if len(request.moves) > MAX_ENTRIES_PER_COMMAND:
            return Answer(refusal=Answer.TOO_MANY)
        answer, numbers, plan_numbers = Answer(), {}, {message.number for message in request.moves}
        for message in request.moves:
            refusal = self._migration_refusal(message, facts)
            if any(
                predecessor in plan_numbers and not numbers.get(predecessor) for predecessor in message.after
            ):
                refusal = refusal or Answer.WAITS  # it needs the space of a migration that was refused
            if not refusal:
                self.last_move += 1
                after = {numbers.get(predecessor, predecessor) for predecessor in message.after}
                self.moves[self.last_move] = Migration(
                    self.last_move,
                    message.shard,
                    message.source,
                    message.target,
                    message.drops,
                    "planned",
                    tuple(sorted(predecessor for predecessor in after if predecessor in self.moves)),
                    at_ms=at.clock_ms,
                )
                self._migration_of_shard[message.shard] = numbers[message.number] = self.last_move
            answer.numbers.append(0 if refusal else self.last_move)
            answer.refusals.append(refusal)
        return answer

    def _migration_refusal(self, message: pb.Move, facts: Facts) -> int:
        """Return why a planned migration is refused, or 0 if it is accepted."""
        shard, replicas = self.shards.get(message.shard), self.copies.get(message.shard, {})
        if shard is None:
            return Answer.UNKNOWN
        if len(self.moves) >= MAX_MIGRATIONS:
            return Answer.TOO_MANY
        if shard.name in self._migration_of_shard:
            return Answer.UNDER_WAY
        if self.asides.get(shard.name, (0, 0))[0]:
            return Answer.ASIDE
        if _is_barred(shard, facts, is_start=True):
            return Answer.CHANGING
        if message.drops == message.target or message.drops and message.drops not in replicas:
            return Answer.BAD
        if message.target and message.source not in self.good(shard.name):
            return Answer.SOURCE
        return self._target_refusal(shard, message.target) if message.target else 0

    def _target_refusal(self, shard: Shard, target: str) -> int:
        """Return why an engine can't accept a replica of a shard, regardless of space, or 0 if it can."""
        host = self.homes.get(target)
        if host is None:
            return Answer.UNKNOWN
        is_suitable = host.life in ACCEPTING_LIVES and (not shard.kinds or host.kind in shard.kinds)
        replicas = self.copies.get(shard.name, {})
        return (
            0
            if is_suitable and target not in replicas and len(replicas) < MAX_REPLICAS_PER_SHARD
            else Answer.TARGET
        )

    def _step(self, request: pb.Step, at: LogPosition, facts: Facts) -> pb.Answer:
        move = self.moves.get(request.move)
        if move is None:
            return Answer(refusal=Answer.UNKNOWN)
        handler = {
            Step.RESERVE: self._reserve,
            Step.COPY: self._copy,
            Step.CHECK: self._check,
            Step.SWITCH: self._switch,
            Step.DROP: self._drop,
            Step.DONE: self._done,
            Step.KEEP: self._keep,
            Step.UNDO: self._undo,
            Step.UNDONE: self._undone,
        }.get(request.kind)
        if handler is None:
            return Answer(refusal=Answer.BAD)
        is_forward = request.kind in (Step.RESERVE, Step.COPY, Step.CHECK, Step.SWITCH, Step.DROP)
        if is_forward and _is_barred(self.shards[move.shard], facts, is_start=move.step == "planned"):
            return Answer(refusal=Answer.CHANGING)
        if (
            move.step == "switched"
            and request.kind == Step.DROP
            and not (move.rested or (request.cleared and facts.fact("level", "") >= CLEARED_MIN_LEVEL))
        ):
            return Answer(refusal=Answer.WAITS)  # an older view may still send queries there
        refusal = handler(move, request, at)
        if not refusal:
            self._content_entry[move.shard] = at.index
            if request.kind == Step.COPY and facts.fact("level", "") >= ACCESS_COUNTS_MIN_LEVEL:
                part = at.clock_ms // TRANSFER_BUCKET_MS
                self._started_bytes[part] = self._started_bytes.get(part, 0) + self.shards[move.shard].size
        return Answer(refusal=refusal)

    def _set_step(self, move: Migration, step: str, at: LogPosition, **more: object) -> None:
        self.moves[move.number] = replace(move, step=step, at_ms=at.clock_ms, **more)

    def _reserve(self, move: Migration, request: pb.Step, at: LogPosition) -> int:
        if move.step != "planned" or not move.target:
            return Answer.STEP
        shard = self.shards[move.shard]
        if any(predecessor in self.moves for predecessor in move.after):
            return Answer.WAITS
        if not self.good(shard.name):
            return Answer.SOURCE
        refusal = self._target_refusal(shard, move.target)
        if refusal:
            return refusal
        if not self._has_space(shard, move.target):
            return Answer.HEADROOM
        self._set_replica(shard.name, Replica(shard.name, move.target, "coming"))
        self._set_step(move, "reserved", at, generation=self.homes[move.target].generation)
        return Answer.NONE

    def _has_space(self, shard: Shard, target: str) -> bool:
        return shard.size <= self.free_bytes(target)

    def _is_target_valid(self, move: Migration) -> bool:
        """Return whether the migration's target still has the same disk, with the coming replica."""
        host, replica = self.homes[move.target], self.copies.get(move.shard, {}).get(move.target)
        return (
            host.life != "gone"
            and host.generation == move.generation
            and replica is not None
            and replica.state == "coming"
        )

    def _copy(self, move: Migration, request: pb.Step, at: LogPosition) -> int:
        if move.step not in ("reserved", "copying") or request.attempt != move.attempt + 1:
            return Answer.STEP
        if request.source not in self.good(move.shard):
            return Answer.SOURCE
        if not self._is_target_valid(move):
            return Answer.TARGET
        self._set_step(move, "copying", at, attempt=request.attempt, source=request.source)
        return Answer.NONE

    def _check(self, move: Migration, request: pb.Step, at: LogPosition) -> int:
        if move.step != "copying" or request.attempt != move.attempt:
            return Answer.STEP
        if not self._is_target_valid(move):
            return Answer.TARGET
        shard = self.shards[move.shard]
        if shard.rows >= 0 and (shard.rows, shard.checksum) != (request.rows, request.checksum):
            return Answer.DIFFERS
        self.shards[shard.name] = replace(shard, rows=request.rows, checksum=request.checksum)
        self._set_step(move, "checked", at)
        return Answer.NONE

    def _switch(self, move: Migration, request: pb.Step, at: LogPosition) -> int:
        replicas = self.copies.get(move.shard, {})
        old_replica = replicas.get(move.drops)
        if not move.target:
            if move.step != "planned":
                return Answer.STEP
            if any(predecessor in self.moves for predecessor in move.after):
                return Answer.WAITS
            if old_replica is not None and not self.may_drop(move.shard, move.drops):
                return Answer.LAST
        elif move.step != "checked":
            return Answer.STEP
        elif not self._is_target_valid(move):
            return Answer.TARGET
        else:
            self._set_replica(move.shard, replace(replicas[move.target], state="good"))
        if old_replica is None or not self.may_drop(move.shard, move.drops):
            self._finish(move, succeeded=True)  # there is nothing to drop, or the old replica is still needed
            return Answer.NONE
        self._set_replica(
            move.shard, replace(old_replica, state="leaving", wrong=old_replica.state != "good")
        )
        self._set_step(move, "switched", at)
        return Answer.NONE

    def may_drop(self, shard: str, engine: str) -> bool:
        """Return whether a replica may be dropped: the shard's needs are met without it.

        A replica with different content does not count: to drop it, one good replica is enough.
        """
        replica = self.copies.get(shard, {}).get(engine)
        if replica is None:
            return False
        needs, others = self.shards[shard], [e for e in self.good(shard) if e != engine]
        if replica.wrong:
            return bool(others)
        return len(others) >= needs.copies and len({self.homes[e].zone for e in others}) >= needs.zones

    def _drop(self, move: Migration, request: pb.Step, at: LogPosition) -> int:
        if move.step != "switched":
            return Answer.STEP
        replica = self.copies.get(move.shard, {}).get(move.drops)
        if replica is None or replica.state != "leaving":
            return Answer.SOURCE  # the old replica was lost with its engine, or has become doubtful
        if not self.may_drop(move.shard, move.drops):
            return Answer.LAST
        self._set_step(move, "dropping", at)
        return Answer.NONE

    def _done(self, move: Migration, request: pb.Step, at: LogPosition) -> int:
        if move.step != "dropping":
            return Answer.STEP
        self._remove_replica(move.shard, move.drops)
        self._finish(move, succeeded=True)
        return Answer.NONE

    def _keep(self, move: Migration, request: pb.Step, at: LogPosition) -> int:
        if move.step not in ("switched", "dropping"):
            return Answer.STEP
        replicas = self.copies.get(move.shard, {})
        replica = replicas.get(move.drops)
        is_leaving = replica is not None and replica.state == "leaving"
        if is_leaving and self.may_drop(move.shard, move.drops) and not request.failed:
            return Answer.STEP  # there is no reason to keep the replica
        if is_leaving:  # once its drop may have been sent, only a check can tell if the replica still exists
            known_good = move.step == "switched" and not replica.wrong
            self._set_replica(
                move.shard, replace(replica, state="good" if known_good else "doubtful", wrong=False)
            )
        self._finish(move, succeeded=not request.failed)
        if request.failed:
            self._suspend(move.shard, at)
        return Answer.NONE

    def _undo(self, move: Migration, request: pb.Step, at: LogPosition) -> int:
        if move.step not in ("planned", "reserved", "copying", "checked"):
            return Answer.STEP
        if request.failed:
            self._suspend(move.shard, at)
        if move.step == "reserved":
            self._remove_replica(move.shard, move.target)  # no statement was sent for this replica
        if move.step in ("planned", "reserved") or move.target not in self.copies.get(move.shard, {}):
            self._finish(move, succeeded=False)
        else:
            self._set_step(move, "undoing", at)
        return Answer.NONE

    def _undone(self, move: Migration, request: pb.Step, at: LogPosition) -> int:
        if move.step != "undoing":
            return Answer.STEP
        partial = self.copies.get(move.shard, {}).get(move.target)
        if partial is not None and (request.failed or self.homes[move.target].life == "gone"):
            self._set_replica(move.shard, Replica(move.shard, move.target, "doubtful", request.failed))
        else:
            self._remove_replica(move.shard, move.target)
        self._finish(move, succeeded=False)
        return Answer.NONE

    def _suspend(self, shard: str, at: LogPosition) -> None:
        failures = self.asides.get(shard, (0, 0))[1] + 1
        pause_ms = min(INITIAL_SUSPENSION_MS * 2 ** min(failures - 1, 16), MAX_SUSPENSION_MS)
        self.asides[shard] = (at.clock_ms + pause_ms, failures)

    def _finish(self, move: Migration, succeeded: bool) -> None:
        self.changes += 1
        del self.moves[move.number]
        del self._migration_of_shard[move.shard]
        if succeeded:
            self.asides.pop(move.shard, None)

    def _set_replica(self, shard: str, replica: Replica) -> None:
        self.changes += 1
        self._placed_entry[shard] = self._applied_index
        replicas = self.copies.setdefault(shard, {})
        if replica.engine not in replicas:
            self.used[replica.engine] = self.used.get(replica.engine, 0) + self.shards[shard].size
        replicas[replica.engine] = replica

    def _remove_replica(self, shard: str, engine: str) -> None:
        replicas = self.copies.get(shard, {})
        if replicas.pop(engine, None) is None:
            return
        self.changes += 1
        self._placed_entry[shard] = self._applied_index
        self.used[engine] -= self.shards[shard].size
        if not self.used[engine]:
            del self.used[engine]
        if not replicas:
            del self.copies[shard]

    # Snapshots.

    def snapshot(self) -> bytes:
        """Return the state as bytes; equal states give equal bytes."""
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
                touched=self._content_entry.get(s.name, 0),
                doubted_ms=self._doubtful_since.get(s.name, -1) + 1,
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
                heard=self._engine_entry[h.name],
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
        for shard, (until_ms, failures) in sorted(self.asides.items()):
            state.asides.add(shard=shard, until_ms=until_ms, times=failures)
        for part, size in sorted(self._started_bytes.items()):
            state.begun.add(part=part, bytes=size)
        for shard, (count, part) in sorted(self._access_counts.items()):
            state.faded.add(shard=shard, count=count, part=part)
        state.faded_part, state.faded_entry = self._access_step, self._access_entry
        return state.SerializeToString(deterministic=True)

    def restore(self, data: bytes) -> None:
        """Replace the state by a snapshot."""
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
            self._shards_of_table.setdefault(s.table, {})[s.name] = None
            if s.touched:
                self._content_entry[s.name] = s.touched
            if s.doubted_ms:
                self._doubtful_since[s.name] = s.doubted_ms - 1
        for h in state.homes:
            self._engine_entry[h.name] = h.heard
            self.homes[h.name] = ReplicaHost(
                h.name, h.zone, h.kind, h.disk, h.headroom, h.life, h.generation, h.mark, h.spilled
            )
        for c in state.copies:
            self._set_replica(c.shard, Replica(c.shard, c.engine, c.state, c.wrong))
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
            self._migration_of_shard[m.shard] = m.number
        self.asides = {a.shard: (a.until_ms, a.times) for a in state.asides}
        self.changes, self.revision = state.changes, state.revision
        self._started_bytes = {b.part: b.bytes for b in state.begun}
        self._access_counts = {f.shard: (f.count, f.part) for f in state.faded}
        self._access_step, self._access_entry = state.faded_part, state.faded_entry
        self._placed_entry, self._history_from = {}, state.revision
        self._update_next_expiry()


def usable_disk(host: ReplicaHost) -> int:
    """Return the bytes of an engine's disk that are available to replicas and headroom.

    The headroom is meant for spills; only spilled bytes beyond it are subtracted.
    """
    return host.disk - max(0, host.spilled - host.headroom)


def _is_barred(shard: Shard, facts: Facts, is_start: bool) -> bool:
    """Return whether a table's schema change blocks a shard; a waiting change blocks only new migrations."""
    return bool(facts.fact("changing", shard.table) or is_start and facts.fact("wanted", shard.table))


def _bucket_expiry_ms(part: int) -> int:
    """Return when a bucket's bytes are certainly an hour old, in ms of the replicated clock."""
    return (part + 1) * TRANSFER_BUCKET_MS + HOUR_MS


def _is_resting(move: Migration) -> bool:
    return move.step == "switched" and not move.rested


def _is_valid_name(text: str) -> bool:
    return 0 < len(text) <= MAX_NAME_CHARS


def _is_valid_load(value: float) -> bool:
    return math.isfinite(value) and value >= 0.0
