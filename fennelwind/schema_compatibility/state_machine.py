"""Replicated state machine of subscriptions, table schemas and schema changes.

A single command checks and admits a change, so no other command is applied between check and admission:
subscribers registered before are included in the check, and later registrations are checked against both the
current schema and the one being rolled out. The holder of the lease `table:NAME` carries out the rollout and
sends its fencing token with each step; the state holds all that another holder needs to continue or revert
the rollout.

    admitted -> forward -> finished          (each engine: waiting, asked, done)
        |          `-----> back -> undone    (each engine: asked back, undone)
        `-> withdrawn, or lapsed if not begun in time

Shard migrations ("moves") and schema changes of a table exclude each other: a change is refused while
shards of its table are moving, a move while its table is changing. Both checks are made when the commands
are applied, and neither operation waits for the other while holding anything. So that continuous moves
can't starve a change, a change refused because of moves is remembered for a while (the fact `wanted`): no
new move of the table begins in that time, and moves under way continue.
"""

import heapq
from collections import OrderedDict
from dataclasses import dataclass, field, replace

from google.protobuf.message import DecodeError

from fennelwind.raft.state_machine import Facts, LogPosition, UnreadableCommandError
from fennelwind.schema_compatibility import contracts_pb2 as pb
from fennelwind.schema_compatibility.checker import Subscriptions, check_change
from fennelwind.schema_compatibility.messages import (
    MAX_TABLES_PER_SUBSCRIPTION,
    all_reads_message,
    fill_verdict,
    finding_messages,
    intern_read,
    read_all_reads,
    read_reads,
    read_schema,
    reads_message,
    schema_message,
)
from fennelwind.schema_compatibility.rules import (
    MAX_PROTOCOL_VERSION,
    MIN_PROTOCOL_VERSION,
    RULES_VERSION,
    Finding,
    IndexedSchema,
    Level,
    Read,
    Reads,
    check_reads,
    highest_level,
)
from fennelwind.schema_compatibility.types import (
    MAX_COLUMNS,
    Schema,
    SchemaError,
    assign_column_numbers,
    normalize_name,
    normalize_table_name,
)

MAX_TABLES = 20_000
MAX_SUBSCRIPTIONS = 50_000  # in total; equal ones under one name count once
MAX_SUBSCRIPTIONS_PER_NAME = 64  # program versions that run side by side share one name
MAX_CHANGES = 1000  # changes in progress at a time
MAX_ENGINES = 1000  # per change
MAX_STATEMENTS = 16  # per change and direction
MAX_STATEMENT_LENGTH = 16 * 1024  # characters
MAX_LAPSED_SUBSCRIPTIONS = 4096  # kept to report breaking changes to subscribers that return
MAX_ENDED_CHANGES = 4096  # ended changes whose outcome is remembered
MIN_TERM_MS, MAX_TERM_MS = 10_000, 30 * 24 * 3600 * 1000  # bounds of a subscription's term
BEGIN_TIMEOUT_MS = 60_000  # after its admission, a change that has not begun lapses
MOVE_BLOCK_MS = 180_000  # a change refused for moves blocks new moves this long: one move and its rest period
MOVE_GRACE_MS = 120_000  # for this long after the block, a refusal blocks no moves, so that moves progress
RETRY_AFTER_MS = 5000  # retry delay sent with a refusal

FINISHED, UNDONE, WITHDRAWN, LAPSED = 1, 2, 3, 4  # outcomes of changes

Change, Refusal = pb.Change, pb.Refusal
_FORWARD_TRANSITIONS = {
    (Change.WAITING, Change.ASKED),
    (Change.WAITING, Change.DONE),
    (Change.ASKED, Change.DONE),
    (Change.WAITING, Change.GONE_AWAY),
    (Change.ASKED, Change.GONE_AWAY),
    (Change.DONE, Change.GONE_AWAY),
    (Change.GONE_AWAY, Change.ASKED),  # statements sent before the engine left may have been executed
    (Change.BEHIND, Change.WAITING),
    (Change.BEHIND, Change.DONE),
}  # a BEHIND engine turns out to have the old schema (WAITING) or the new one (DONE)
_REVERT_TRANSITIONS = {
    (Change.ASKED, Change.ASKED_BACK),
    (Change.DONE, Change.ASKED_BACK),
    (Change.ASKED_BACK, Change.UNDONE),
    (Change.ASKED, Change.UNDONE),
    (Change.DONE, Change.UNDONE),
    (Change.ASKED, Change.GONE_AWAY),
    (Change.DONE, Change.GONE_AWAY),
    (Change.ASKED_BACK, Change.GONE_AWAY),
    (Change.GONE_AWAY, Change.ASKED_BACK),
}


@dataclass(slots=True)
class Table:
    """A table and its current schema."""

    version: int  # index of the log entry that applied the schema
    schema: Schema
    indexed: IndexedSchema
    behind: set[str] = field(default_factory=set)  # engines absent during a change, with an unknown schema


@dataclass(slots=True)
class Subscription:
    """One registration of a subscriber's reads, valid until its term ends."""

    number: int
    name: str
    version: int
    term_ms: int
    until_ms: int
    since_ms: int
    reads: tuple[Reads, ...]
    raw: bytes  # the reads as stored in snapshots


@dataclass(slots=True)
class SchemaChange:
    """An admitted change in progress; `schema` is None if the table is dropped."""

    number: int
    table: str
    publisher: str
    from_version: int
    schema: Schema | None
    anew: bool
    engines: dict[str, int]
    forward: tuple[str, ...]
    back: tuple[str, ...]
    at_once: bool
    begin_by_ms: int
    step: int = Change.ADMITTED
    fence: int = 0
    quiet: set[str] = field(default_factory=set)  # engines that receive no new queries of the table
    indexed: IndexedSchema | None = field(default=None, repr=False)


class SchemaStateMachine:
    """Decides which schema changes are admitted, given the registered subscriptions."""

    name = "contracts"
    kinds = ("changing", "wanted")

    def __init__(self) -> None:
        self._clear()

    def _clear(self) -> None:
        self.tables: dict[str, Table] = {}
        self.subscriptions: dict[int, Subscription] = {}
        self.changes: dict[int, SchemaChange] = {}
        self.by_table: dict[str, int] = {}  # table -> number of its change
        self.lagging: set[str] = set()  # tables with engines in `Table.behind`
        self.lapsed: OrderedDict[int, Subscription] = OrderedDict()
        self.wanted: dict[str, tuple[int, int]] = {}  # table -> ms when the block of moves and the grace end
        self.ended: OrderedDict[int, int] = OrderedDict()
        self.next_column = 1
        self.readers = Subscriptions()
        self._numbers_by_name: dict[str, list[int]] = {}
        self._lapsed_numbers_by_name: dict[str, list[int]] = {}
        # (until_ms, number) of subscriptions; an entry is out of date if its subscription was renewed since.
        self._expiry_heap: list[tuple[int, int]] = []

    # Interface of a replicated state machine.

    def apply(self, at: LogPosition, command: bytes, facts: Facts) -> bytes:
        """Apply a command; return a serialized `ContractAnswer`. Raises `UnreadableCommandError`."""
        try:
            message = pb.ContractCommand.FromString(command)
        except DecodeError:
            raise UnreadableCommandError("no ContractCommand") from None
        kind = message.WhichOneof("what")
        if kind is None or message.rules != RULES_VERSION:
            raise UnreadableCommandError(
                f"{kind or 'nothing'} under the rules {message.rules}, here are {RULES_VERSION}"
            )
        answer = pb.ContractAnswer()
        try:
            getattr(self, "_" + kind)(at, getattr(message, kind), facts, answer)
        except SchemaError as exc:
            answer = pb.ContractAnswer(refusal=Refusal.INVALID, text=str(exc))
        return answer.SerializeToString(deterministic=True)

    def expire_due(self, at: LogPosition) -> None:
        """Expire subscriptions, changes that have not begun, and blocks of moves."""
        expired = set()
        while self._expiry_heap and self._expiry_heap[0][0] <= at.clock_ms:
            _, number = heapq.heappop(self._expiry_heap)
            subscription = self.subscriptions.get(number)
            if subscription is not None and subscription.until_ms > at.clock_ms:
                heapq.heappush(self._expiry_heap, (subscription.until_ms, number))
            elif subscription is not None:
                expired.add((subscription.until_ms, number))
        for _, number in sorted(expired):  # an order independent of when renewals updated the heap
            self._expire(self.subscriptions[number])
        for change in [c for c in self.changes.values() if c.step == Change.ADMITTED]:
            if change.begin_by_ms <= at.clock_ms:
                self._end(change, LAPSED)
        for table, (until, grace_until) in list(self.wanted.items()):
            if grace_until <= at.clock_ms:
                del self.wanted[table]
            elif until and until <= at.clock_ms:
                self.wanted[table] = (0, grace_until)

    def next_expiry_clock_ms(self) -> int | None:
        """Return the replicated clock's time of the next possible expiry, or None if nothing expires."""
        times = [self._expiry_heap[0][0]] if self._expiry_heap else []
        times += [c.begin_by_ms for c in self.changes.values() if c.step == Change.ADMITTED]
        times += [until or grace_until for until, grace_until in self.wanted.values()]
        return min(times, default=None)

    def fact(self, kind: str, key: str) -> int:
        """Return a table's fact: `changing` is 1 during a change, `wanted` while a change waits for moves.

        While `changing`, no move of the table's shards takes a step; while `wanted`, no move begins.
        """
        key = key.lower()
        if kind == "changing":
            return int(key in self.by_table)
        return int(kind == "wanted" and self.wanted.get(key, (0, 0))[0] > 0)

    def quiet(self, table: str) -> frozenset[str]:
        """Return the engines that must receive no new queries of a table.

        Such an engine is being changed now, or was absent during a change and may have another schema.
        """
        known_table, change = (
            self.tables.get(table.lower()),
            self.changes.get(self.by_table.get(table.lower(), 0)),
        )
        behind = known_table.behind if known_table is not None else ()
        return frozenset((*behind, *(change.quiet if change is not None else ())))

    # Commands of subscribers.

    def _register(
        self, at: LogPosition, command: pb.Register, facts: Facts, answer: pb.ContractAnswer
    ) -> None:
        name = normalize_name(command.name)
        if (
            not MIN_PROTOCOL_VERSION <= command.version <= MAX_PROTOCOL_VERSION
            or not 0 < len(command.reads) <= MAX_TABLES_PER_SUBSCRIPTION
        ):
            raise SchemaError(
                f"version {command.version} of 1 to 11, {len(command.reads)} tables "
                f"of {MAX_TABLES_PER_SUBSCRIPTION}"
            )
        if len({reads.table for reads in command.reads}) != len(command.reads):
            raise SchemaError("a table is named twice")
        reads = tuple(self._resolve(each) for each in command.reads)
        answer.since.extend(self._breaks_while_absent(name))
        for each in reads:
            for indexed in self._schemas_to_check(each):
                findings = check_reads(each, command.version, indexed)
                answer.found.extend(finding_messages(findings))
                if highest_level(findings) == Level.BROKEN:
                    answer.refusal = Refusal.BROKEN
                    answer.text = each.table
        if answer.refusal:
            return
        term = min(max(command.term_ms, MIN_TERM_MS), MAX_TERM_MS)
        own_numbers = self._numbers_by_name.get(name, [])
        for number in own_numbers:
            subscription = self.subscriptions[number]
            if subscription.version == command.version and subscription.reads == reads:
                subscription.term_ms, subscription.until_ms = (
                    term,
                    max(subscription.until_ms, at.clock_ms + term),
                )
                answer.number = number
                return
        if len(own_numbers) >= MAX_SUBSCRIPTIONS_PER_NAME or len(self.subscriptions) >= MAX_SUBSCRIPTIONS:
            answer.refusal, answer.again_ms = Refusal.TOO_MANY, RETRY_AFTER_MS
            return
        for number in self._lapsed_numbers_by_name.pop(name, []):
            del self.lapsed[number]
        self._add(
            Subscription(
                at.index,
                name,
                command.version,
                term,
                at.clock_ms + term,
                at.clock_ms,
                reads,
                all_reads_message(reads),
            )
        )
        answer.number = at.index

    def _resolve(self, message: pb.Reads) -> Reads:
        """Return reads with column numbers added, and with all current columns for `*`."""
        reads, table = read_reads(message), self.tables.get(message.table)
        if len(reads.columns) > MAX_COLUMNS or (reads.star and reads.columns):
            raise SchemaError(f"{len(reads.columns)} columns named of {reads.table}")
        if not reads.star and not reads.columns:
            raise SchemaError(f"nothing is read of {reads.table}")
        if table is None:
            return replace(reads, columns=tuple(replace(r, number=0, partition=False) for r in reads.columns))
        indexed = table.indexed
        if reads.star:
            columns = tuple(
                intern_read(
                    Read(
                        c.name,
                        c.type,
                        c.nullable,
                        place if reads.by_place else 0,
                        c.number,
                        c.name in indexed.partitions,
                    )
                )
                for place, c in enumerate(indexed.row, 1)
            )
            return replace(reads, columns=columns)
        resolved = []
        for read in reads.columns:
            found = indexed.by_name.get(read.name)
            resolved.append(
                intern_read(
                    replace(
                        read,
                        number=found.number if found else 0,
                        partition=found is not None and found.name in indexed.partitions,
                    )
                )
            )
        return replace(reads, columns=tuple(resolved))

    def _schemas_to_check(self, reads: Reads) -> list[IndexedSchema | None]:
        """Return the schemas that a subscriber must be able to read: the current and the proposed one."""
        table, change = self.tables.get(reads.table), self.changes.get(self.by_table.get(reads.table, 0))
        schemas: list[IndexedSchema | None] = [table.indexed] if table is not None else []
        return schemas + [change.indexed] if change is not None else schemas

    def _breaks_while_absent(self, name: str) -> list[pb.Found]:
        """Return the breaking findings of current schemas against a subscriber's lapsed subscriptions."""
        found: dict[tuple[str, str, str], Finding] = {}
        for number in self._lapsed_numbers_by_name.get(name, []):
            subscription = self.lapsed[number]
            for reads in subscription.reads:
                table = self.tables.get(reads.table)
                for finding in check_reads(
                    reads, subscription.version, table.indexed if table is not None else None
                ):
                    if finding.level == Level.BROKEN:
                        found[finding] = finding
        return finding_messages(found.values())

    def _renew(self, at: LogPosition, command: pb.Renew, facts: Facts, answer: pb.ContractAnswer) -> None:
        for number in command.numbers:
            subscription = self.subscriptions.get(number)
            if subscription is None:
                answer.gone.append(number)
            else:
                subscription.until_ms = max(subscription.until_ms, at.clock_ms + subscription.term_ms)
        if answer.gone:
            answer.refusal = Refusal.GONE

    def _leave(self, at: LogPosition, command: pb.Leave, facts: Facts, answer: pb.ContractAnswer) -> None:
        subscription = self.subscriptions.get(command.number)
        if subscription is None:
            answer.refusal = Refusal.GONE
        else:
            self._remove(subscription)

    # Commands of publishers.

    def _propose(self, at: LogPosition, command: pb.Propose, facts: Facts, answer: pb.ContractAnswer) -> None:
        name, publisher = normalize_table_name(command.table), normalize_name(command.publisher)
        if name != command.table:
            raise SchemaError(f"the table {command.table!r} is not in lower case")
        engines = dict.fromkeys(command.engines, Change.WAITING)
        statements = (*command.forward, *command.back)
        if len(engines) != len(command.engines) or len(engines) > MAX_ENGINES:
            raise SchemaError(f"{len(command.engines)} engines, each once, where {MAX_ENGINES} are taken")
        if (
            bool(engines) != bool(command.forward)
            or max(len(command.forward), len(command.back)) > MAX_STATEMENTS
        ):
            raise SchemaError(
                f"{len(command.forward)} and {len(command.back)} statements for {len(engines)} "
                f"engines, where {MAX_STATEMENTS} are taken"
            )
        if any(not 0 < len(each) <= MAX_STATEMENT_LENGTH for each in statements):
            raise SchemaError(f"a statement of no letters or over {MAX_STATEMENT_LENGTH}")
        table = self.tables.get(name)
        old, next_column = table.schema if table is not None else None, self.next_column
        answer.version = table.version if table is not None else 0
        new = None
        if command.HasField("schema"):
            new, next_column = assign_column_numbers(read_schema(command.schema), old, next_column)
        elif table is None:
            raise SchemaError(f"{name} is not known, and can't go")
        if self._is_blocked(at, command, name, facts, answer):
            return
        verdict = check_change(self.readers, name, old, new, anew=command.anew, publisher=publisher)
        fill_verdict(verdict, answer)
        if verdict.level == Level.BROKEN:
            answer.refusal = Refusal.BROKEN
            return
        if command.ask_only:
            return
        if facts.fact("moving", name) > 0:
            if name not in self.wanted:
                self.wanted[name] = (at.clock_ms + MOVE_BLOCK_MS, at.clock_ms + MOVE_BLOCK_MS + MOVE_GRACE_MS)
            answer.refusal, answer.again_ms = Refusal.MOVING, RETRY_AFTER_MS
            return
        if len(self.changes) >= MAX_CHANGES or (table is None and len(self.tables) >= MAX_TABLES):
            answer.refusal, answer.again_ms = Refusal.TOO_MANY, RETRY_AFTER_MS
            return
        for engine in table.behind if table is not None else ():
            if engine in engines:  # this engine first needs the change that it missed
                engines[engine] = Change.BEHIND
        self.next_column = next_column
        self.wanted.pop(name, None)
        change = SchemaChange(
            at.index,
            name,
            publisher,
            answer.version,
            new,
            command.anew,
            engines,
            tuple(command.forward),
            tuple(command.back),
            command.at_once,
            at.clock_ms + BEGIN_TIMEOUT_MS,
            indexed=IndexedSchema(new) if new is not None else None,
        )
        self.changes[change.number] = change
        self.by_table[name] = answer.number = change.number
        if not engines:
            self._apply_schema(at, change, answer)

    def _is_blocked(
        self, at: LogPosition, command: pb.Propose, name: str, facts: Facts, answer: pb.ContractAnswer
    ) -> bool:
        """Refuse a proposal during another change or with a stale version; return whether it was refused."""
        if name in self.by_table and not command.ask_only:
            answer.refusal, answer.again_ms = Refusal.CHANGING, RETRY_AFTER_MS
            answer.number = self.by_table[name]
        elif command.version != answer.version:
            answer.refusal = Refusal.VERSION
        return answer.refusal != Refusal.NONE

    def _withdraw(
        self, at: LogPosition, command: pb.Withdraw, facts: Facts, answer: pb.ContractAnswer
    ) -> None:
        change = self.changes.get(command.number)
        if change is None:
            answer.refusal = Refusal.GONE
        elif change.publisher != normalize_name(command.publisher):
            answer.refusal = Refusal.NOT_YOURS
        elif change.step != Change.ADMITTED:
            answer.refusal = Refusal.STEP
        else:
            self._end(change, WITHDRAWN)

    # Commands of the holder of the table's lease.

    def _change_under_lease(
        self, number: int, fence: int, facts: Facts, answer: pb.ContractAnswer
    ) -> SchemaChange | None:
        """Return a change if `fence` is the current fencing token of its table's lease; else refuse."""
        change = self.changes.get(number)
        if change is None:
            answer.refusal, answer.number = Refusal.GONE, number
        elif not fence or facts.fact("fence", "table:" + change.table) != fence or fence < change.fence:
            answer.refusal = Refusal.FENCE
        else:
            return change
        return None

    def _begin(self, at: LogPosition, command: pb.Begin, facts: Facts, answer: pb.ContractAnswer) -> None:
        change = self._change_under_lease(command.number, command.fence, facts, answer)
        if change is not None:
            change.fence = command.fence
            if change.step == Change.ADMITTED:
                change.step = Change.FORWARD

    def _begun_change(
        self, command: pb.Mark | pb.Turn | pb.Finish, facts: Facts, answer: pb.ContractAnswer
    ) -> SchemaChange | None:
        change = self._change_under_lease(command.number, command.fence, facts, answer)
        # The change was not begun under this fencing token, or was begun under a later one.
        if change is not None and change.fence != command.fence:
            answer.refusal = Refusal.FENCE
            return None
        return change

    def _mark(self, at: LogPosition, command: pb.Mark, facts: Facts, answer: pb.ContractAnswer) -> None:
        change = self._begun_change(command, facts, answer)
        if change is None:
            return
        old_state = change.engines.get(command.engine)
        allowed = _FORWARD_TRANSITIONS if change.step == Change.FORWARD else _REVERT_TRANSITIONS
        if old_state is None or (old_state != command.state and (old_state, command.state) not in allowed):
            answer.refusal = Refusal.STEP
        else:
            change.engines[command.engine] = command.state
            if old_state == Change.BEHIND != command.state:
                self.tables[change.table].behind.discard(command.engine)
                self._update_lagging(change.table)
            (change.quiet.add if command.quiet else change.quiet.discard)(command.engine)

    def _turn(self, at: LogPosition, command: pb.Turn, facts: Facts, answer: pb.ContractAnswer) -> None:
        change = self._begun_change(command, facts, answer)
        if change is None:
            return
        has_begun = any(state in (Change.ASKED, Change.DONE) for state in change.engines.values())
        if change.step == Change.FORWARD and has_begun and not change.back:
            answer.refusal = Refusal.STEP
        else:
            change.step = Change.BACK
            change.quiet -= {name for name, state in change.engines.items() if state == Change.WAITING}

    def _finish(self, at: LogPosition, command: pb.Finish, facts: Facts, answer: pb.ContractAnswer) -> None:
        change = self._begun_change(command, facts, answer)
        if change is None:
            return
        states = set(change.engines.values())
        not_required = {Change.GONE_AWAY, Change.BEHIND}
        if change.step == Change.FORWARD and Change.DONE in states <= {Change.DONE, *not_required}:
            self._apply_schema(at, change, answer)
        elif change.step == Change.BACK and states <= {Change.WAITING, Change.UNDONE, *not_required}:
            self._end(change, UNDONE)
        else:
            answer.refusal = Refusal.STEP

    def _apply_schema(self, at: LogPosition, change: SchemaChange, answer: pb.ContractAnswer) -> None:
        """Make a change's schema current and end the publisher's own subscriptions that it breaks."""
        if change.schema is None:
            self.tables.pop(change.table, None)
        else:
            before = self.tables.get(change.table)
            behind = before.behind if before is not None else set()
            self.tables[change.table] = Table(at.index, change.schema, change.indexed, behind)
        answer.version = at.index if change.schema is not None else 0
        self._end(change, FINISHED)
        for number in list(self._numbers_by_name.get(change.publisher, [])):
            subscription = self.subscriptions[number]
            table_reads = [reads for reads in subscription.reads if reads.table == change.table]
            if any(
                highest_level(check_reads(reads, subscription.version, change.indexed)) == Level.BROKEN
                for reads in table_reads
            ):
                self._remove(subscription)
        self._resolve_early_reads(change.table)

    def _resolve_early_reads(self, name: str) -> None:
        """Add column numbers to subscriptions registered before the table's first schema."""
        table = self.tables.get(name)
        if table is None:
            return
        unresolved = [
            key
            for key in self.readers.subscribers(name)
            if not key[0].columns or not any(read.number for read in key[0].columns)
        ]
        if not unresolved:
            return
        for subscription in list(self.subscriptions.values()):
            if any((reads, subscription.version) in unresolved for reads in subscription.reads):
                self._unindex_reads(subscription)
                subscription.reads = tuple(
                    self._resolve(reads_message(replace(r, columns=() if r.star else r.columns)))
                    if (r, subscription.version) in unresolved
                    else r
                    for r in subscription.reads
                )
                subscription.raw = all_reads_message(subscription.reads)
                self._index_reads(subscription)

    def _end(self, change: SchemaChange, outcome: int) -> None:
        del self.changes[change.number]
        del self.by_table[change.table]
        table = self.tables.get(change.table)
        if table is not None:
            for engine, state in change.engines.items():
                if state == Change.GONE_AWAY:
                    table.behind.add(engine)
                elif state == Change.DONE:
                    table.behind.discard(engine)
        self._update_lagging(change.table)
        self.ended[change.number] = outcome
        while len(self.ended) > MAX_ENDED_CHANGES:
            self.ended.popitem(last=False)

    def _update_lagging(self, name: str) -> None:
        table = self.tables.get(name)
        (self.lagging.add if table is not None and table.behind else self.lagging.discard)(name)

    # Subscriptions.

    def _index_reads(self, subscription: Subscription) -> None:
        for reads in subscription.reads:
            self.readers.add(subscription.name, subscription.version, reads)

    def _unindex_reads(self, subscription: Subscription) -> None:
        for reads in subscription.reads:
            self.readers.remove(subscription.name, subscription.version, reads)

    def _add(self, subscription: Subscription) -> None:
        self.subscriptions[subscription.number] = subscription
        self._numbers_by_name.setdefault(subscription.name, []).append(subscription.number)
        self._index_reads(subscription)
        heapq.heappush(self._expiry_heap, (subscription.until_ms, subscription.number))
        if (
            len(self._expiry_heap) > 2 * len(self.subscriptions) + 64
        ):  # most entries are of removed subscriptions
            self._expiry_heap = [(each.until_ms, each.number) for each in self.subscriptions.values()]
            heapq.heapify(self._expiry_heap)

    def _remove(self, subscription: Subscription) -> None:
        del self.subscriptions[subscription.number]
        own_numbers = self._numbers_by_name[subscription.name]
        own_numbers.remove(subscription.number)
        if not own_numbers:
            del self._numbers_by_name[subscription.name]
        self._unindex_reads(subscription)

    def _expire(self, subscription: Subscription) -> None:
        self._remove(subscription)
        self._add_lapsed(subscription)
        while len(self.lapsed) > MAX_LAPSED_SUBSCRIPTIONS:
            number, oldest = self.lapsed.popitem(last=False)
            self._lapsed_numbers_by_name[oldest.name].remove(number)
            if not self._lapsed_numbers_by_name[oldest.name]:
                del self._lapsed_numbers_by_name[oldest.name]

    def _add_lapsed(self, subscription: Subscription) -> None:
        self.lapsed[subscription.number] = subscription
        self._lapsed_numbers_by_name.setdefault(subscription.name, []).append(subscription.number)

    # Snapshots.

    def snapshot(self) -> bytes:
        """Return the serialized state; equal states give equal bytes."""
        state = pb.ContractState(next_column=self.next_column)
        for name, table in sorted(self.tables.items()):
            state.tables.add(
                name=name,
                version=table.version,
                schema=schema_message(table.schema),
                behind=sorted(table.behind),
            )
        state.subscriptions.extend(_subscription_message(s) for _, s in sorted(self.subscriptions.items()))
        state.lapsed.extend(map(_subscription_message, self.lapsed.values()))
        for _, change in sorted(self.changes.items()):
            state.changes.append(change_message(change))
        for table, (until, grace_until) in sorted(self.wanted.items()):
            state.wanted.add(table=table, until_ms=until, rest_until_ms=grace_until)
        for number, outcome in self.ended.items():
            state.ended.add(number=number, outcome=outcome)
        return state.SerializeToString(deterministic=True)

    def restore(self, data: bytes) -> None:
        """Replace the state by that of a snapshot; b"" gives the empty state."""
        self._clear()
        state = pb.ContractState.FromString(data)
        self.next_column = state.next_column or 1
        for message in state.tables:
            schema = read_schema(message.schema)
            self.tables[message.name] = Table(
                message.version, schema, IndexedSchema(schema), set(message.behind)
            )
            self._update_lagging(message.name)
        for message in state.subscriptions:
            self._add(_read_subscription(message))
        for message in state.lapsed:
            self._add_lapsed(_read_subscription(message))
        for message in state.changes:
            change = read_change(message)
            self.changes[change.number], self.by_table[change.table] = change, change.number
        self.wanted = {message.table: (message.until_ms, message.rest_until_ms) for message in state.wanted}
        self.ended = OrderedDict((message.number, message.outcome) for message in state.ended)


def change_message(change: SchemaChange) -> pb.Change:
    """Return the message of a change, for snapshots and for the controller that rolls it out."""
    engines = [
        Change.Engine(name=name, state=state, quiet=name in change.quiet)
        for name, state in change.engines.items()
    ]
    schema = schema_message(change.schema) if change.schema is not None else None
    return Change(
        number=change.number,
        table=change.table,
        publisher=change.publisher,
        schema=schema,
        from_version=change.from_version,
        anew=change.anew,
        engines=engines,
        forward=change.forward,
        back=change.back,
        at_once=change.at_once,
        step=change.step,
        fence=change.fence,
        begin_by_ms=change.begin_by_ms,
    )


def read_change(message: pb.Change) -> SchemaChange:
    """Return the change of a message. Raises `SchemaError`."""
    schema = read_schema(message.schema) if message.HasField("schema") else None
    return SchemaChange(
        message.number,
        message.table,
        message.publisher,
        message.from_version,
        schema,
        message.anew,
        {each.name: each.state for each in message.engines},
        tuple(message.forward),
        tuple(message.back),
        message.at_once,
        message.begin_by_ms,
        message.step,
        message.fence,
        {each.name for each in message.engines if each.quiet},
        IndexedSchema(schema) if schema is not None else None,
    )


def _subscription_message(subscription: Subscription) -> pb.ContractState.Subscription:
    s = subscription
    return pb.ContractState.Subscription(
        number=s.number,
        name=s.name,
        version=s.version,
        term_ms=s.term_ms,
        until_ms=s.until_ms,
        since_ms=s.since_ms,
        reads=s.raw,
    )


def _read_subscription(message: pb.ContractState.Subscription) -> Subscription:
    return Subscription(
        message.number,
        message.name,
        message.version,
        message.term_ms,
        message.until_ms,
        message.since_ms,
        read_all_reads(message.reads),
        message.reads,
    )
