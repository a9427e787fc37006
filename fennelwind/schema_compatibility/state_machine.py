"""Subscribers, tables' schemas and changes of them, as a machine on the record.

A change is one command from check to admission, so nothing can come between: whoever registers before it is
checked, whoever registers after it is held against the schema that stands and the one being made. It is then
carried out by the holder of the lease `table:NAME`, who shows its fence with each step; another holder finds
all that is needed to go on or back.

    admitted -> forward -> finished          (each engine: waiting, asked, done)
        |          `-----> back -> undone    (each engine: asked back, undone)
        `-> withdrawn, or lapsed if nobody has begun in time

One order for moves and changes: a change is refused while shards of its table are under way, a move while
its table is changed. Both are checked where both are written, on the record, and neither waits for the other
while it holds anything. So that moves without end can't keep a change out, a change that was refused for them
is remembered for a while (the fact `wanted`), and no new move of the table begins; those under way go on.
"""

import heapq
from collections import OrderedDict
from dataclasses import dataclass, field, replace

from google.protobuf.message import DecodeError

from fennelwind.raft.state_machine import Facts, LogPosition, UnreadableCommandError
from fennelwind.schema_compatibility import contracts_pb2 as pb
from fennelwind.schema_compatibility.checker import Subscriptions, check
from fennelwind.schema_compatibility.messages import (
    READS_MOST,
    all_reads_message,
    found_messages,
    read_all_reads,
    read_reads,
    read_schema,
    reads_message,
    schema_message,
    shared,
    verdict_message,
)
from fennelwind.schema_compatibility.rules import (
    FIRST,
    NEWEST,
    RULES_VERSION,
    Finding,
    Form,
    Level,
    Read,
    Reads,
    judge,
    worst,
)
from fennelwind.schema_compatibility.types import (
    COLUMNS_MOST,
    Schema,
    SchemaError,
    fold,
    numbered,
    table_name,
)

TABLES_MOST = 20_000  # tables known
SUBSCRIPTIONS_MOST = 50_000  # forms of all subscribers together
FORMS_MOST = 64  # of one name: programs of several versions run side by side under it
CHANGES_MOST = 1000  # under way at a time
ENGINES_MOST = 1000  # of one change
STATEMENTS_MOST = 16  # of one change, in one direction
STATEMENT_MOST = 16 * 1024  # letters of one statement
LAPSED_MOST = 4096  # lapsed subscriptions remembered, to tell those who return what came meanwhile
ENDED_MOST = 4096  # changes whose outcome is remembered
TERM_LEAST_MS, TERM_MOST_MS = 10_000, 30 * 24 * 3600 * 1000  # ms of a subscription's term
BEGIN_MS = 60_000  # ms within which an admitted change has to be begun, else it lapses
WANTED_MS = 180_000  # ms for which a change refused for moves keeps new ones out: a move and its rest
REST_MS = 120_000  # ms after that in which a further refusal does not: moves have their turn
AGAIN_MS = 5000  # ms after which who was refused may ask again

FINISHED, UNDONE, WITHDRAWN, LAPSED = 1, 2, 3, 4  # outcomes of changes

Change, Refused = pb.Change, pb.Refusal
_FORWARD = {
    (Change.WAITING, Change.ASKED),
    (Change.WAITING, Change.DONE),
    (Change.ASKED, Change.DONE),
    (Change.WAITING, Change.GONE_AWAY),
    (Change.ASKED, Change.GONE_AWAY),
    (Change.DONE, Change.GONE_AWAY),
    (Change.GONE_AWAY, Change.ASKED),  # what it was asked before it left may have been done
    (Change.BEHIND, Change.WAITING),
    (Change.BEHIND, Change.DONE),
}  # it has the old schema, or the new
_BACK = {
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
    """A table as it stands."""

    version: int  # index of the entry that made it so
    schema: Schema
    form: Form
    behind: set[str] = field(default_factory=set)  # engines that were away while it changed


@dataclass(slots=True)
class Subscription:
    """One form in which a subscriber reads, until its term ends."""

    number: int
    name: str
    version: int
    term_ms: int
    until_ms: int
    since_ms: int
    reads: tuple[Reads, ...]
    raw: bytes  # its reads as they are kept


@dataclass(slots=True)
class SchemaChange:
    """A change that was admitted. `schema` None: the table goes."""

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
    quiet: set[str] = field(default_factory=set)  # engines that get no new query of the table
    form: Form | None = field(default=None, repr=False)


class SchemaStateMachine:
    """Who reads what, and which change may pass."""

    name = "contracts"
    kinds = ("changing", "wanted")

    def __init__(self) -> None:
        self._clear()

    def _clear(self) -> None:
        self.tables: dict[str, Table] = {}
        self.subscriptions: dict[int, Subscription] = {}
        self.changes: dict[int, SchemaChange] = {}
        self.by_table: dict[str, int] = {}  # table -> its change
        self.lagging: set[str] = set()  # tables with engines that are behind
        self.lapsed: OrderedDict[int, Subscription] = OrderedDict()
        self.wanted: dict[str, tuple[int, int]] = {}  # table -> until, rest until
        self.ended: OrderedDict[int, int] = OrderedDict()
        self.next_column = 1
        self.readers = Subscriptions()
        self._by_name: dict[str, list[int]] = {}
        self._lapsed_by_name: dict[str, list[int]] = {}
        self._due: list[tuple[int, int]] = []  # when a subscription may lapse; it may have been renewed since

    # What the record asks of a machine.

    def apply(self, at: LogPosition, command: bytes, facts: Facts) -> bytes:
        """Carry a command out; return a `ContractAnswer`. Raises `UnreadableCommandError`."""
        try:
            told = pb.ContractCommand.FromString(command)
        except DecodeError:
            raise UnreadableCommandError("no ContractCommand") from None
        kind = told.WhichOneof("what")
        if kind is None or told.rules != RULES_VERSION:
            raise UnreadableCommandError(
                f"{kind or 'nothing'} under the rules {told.rules}, here are {RULES_VERSION}"
            )
        answer = pb.ContractAnswer()
        try:
            getattr(self, "_" + kind)(at, getattr(told, kind), facts, answer)
        except SchemaError as exc:
            answer = pb.ContractAnswer(refusal=Refused.INVALID, text=str(exc))
        return answer.SerializeToString(deterministic=True)

    def expire_due(self, at: LogPosition) -> None:
        """Let lapse subscriptions, changes that nobody began, and wishes for changes."""
        over = set()
        while self._due and self._due[0][0] <= at.clock_ms:
            _, number = heapq.heappop(self._due)
            subscription = self.subscriptions.get(number)
            if subscription is not None and subscription.until_ms > at.clock_ms:
                heapq.heappush(self._due, (subscription.until_ms, number))
            elif subscription is not None:
                over.add((subscription.until_ms, number))
        for _, number in sorted(over):  # in an order that does not rest on when a renewal was noticed
            self._lapse(self.subscriptions[number])
        for change in [c for c in self.changes.values() if c.step == Change.ADMITTED]:
            if change.begin_by_ms <= at.clock_ms:
                self._end(change, LAPSED)
        for table, (until, rest) in list(self.wanted.items()):
            if rest <= at.clock_ms:
                del self.wanted[table]
            elif until and until <= at.clock_ms:
                self.wanted[table] = (0, rest)

    def next_expiry_clock_ms(self) -> int | None:
        """Return when something may lapse next, on the record's clock; None: never."""
        times = [self._due[0][0]] if self._due else []
        times += [c.begin_by_ms for c in self.changes.values() if c.step == Change.ADMITTED]
        times += [until or rest for until, rest in self.wanted.values()]
        return min(times, default=None)

    def fact(self, kind: str, key: str) -> int:
        """Tell of a table: `changing` 1 while it is changed, `wanted` 1 while a change waits for its moves.

        No shard of a table that is changing takes a step; of one that is wanted none begins.
        """
        key = key.lower()
        if kind == "changing":
            return int(key in self.by_table)
        return int(kind == "wanted" and self.wanted.get(key, (0, 0))[0] > 0)

    def quiet(self, table: str) -> frozenset[str]:
        """Return the engines to which no new query of a table is to go.

        Those where its schema changes now, and those that were away while it changed and may have another.
        """
        known, change = self.tables.get(table.lower()), self.changes.get(self.by_table.get(table.lower(), 0))
        behind = known.behind if known is not None else ()
        return frozenset((*behind, *(change.quiet if change is not None else ())))

    # What subscribers ask.

    def _register(self, at: LogPosition, told: pb.Register, facts: Facts, answer: pb.ContractAnswer) -> None:
        name = fold(told.name)
        if not FIRST <= told.version <= NEWEST or not 0 < len(told.reads) <= READS_MOST:
            raise SchemaError(f"version {told.version} of 1 to 11, {len(told.reads)} tables of {READS_MOST}")
        if len({reads.table for reads in told.reads}) != len(told.reads):
            raise SchemaError("a table is named twice")
        reads = tuple(self._resolved(each) for each in told.reads)
        answer.since.extend(self._since(name))
        for each in reads:
            for form in self._forms(each):
                findings = judge(each, told.version, form)
                answer.found.extend(found_messages(findings))
                if worst(findings) == Level.BROKEN:
                    answer.refusal = Refused.BROKEN
                    answer.text = each.table
        if answer.refusal:
            return
        term = min(max(told.term_ms, TERM_LEAST_MS), TERM_MOST_MS)
        mine = self._by_name.get(name, [])
        for number in mine:
            known = self.subscriptions[number]
            if known.version == told.version and known.reads == reads:
                known.term_ms, known.until_ms = term, max(known.until_ms, at.clock_ms + term)
                answer.number = number
                return
        if len(mine) >= FORMS_MOST or len(self.subscriptions) >= SUBSCRIPTIONS_MOST:
            answer.refusal, answer.again_ms = Refused.TOO_MANY, AGAIN_MS
            return
        for number in self._lapsed_by_name.pop(name, []):
            del self.lapsed[number]
        self._add(
            Subscription(
                at.index,
                name,
                told.version,
                term,
                at.clock_ms + term,
                at.clock_ms,
                reads,
                all_reads_message(reads),
            )
        )
        answer.number = at.index

    def _resolved(self, told: pb.Reads) -> Reads:
        """Return reads with the columns as they are: identities, and for `*` all of them."""
        reads, table = read_reads(told), self.tables.get(told.table)
        if len(reads.columns) > COLUMNS_MOST or (reads.star and reads.columns):
            raise SchemaError(f"{len(reads.columns)} columns named of {reads.table}")
        if not reads.star and not reads.columns:
            raise SchemaError(f"nothing is read of {reads.table}")
        if table is None:
            return replace(reads, columns=tuple(replace(r, number=0, partition=False) for r in reads.columns))
        form = table.form
        if reads.star:
            columns = tuple(
                shared(
                    Read(
                        c.name,
                        c.type,
                        c.nullable,
                        place if reads.by_place else 0,
                        c.number,
                        c.name in form.partitions,
                    )
                )
                for place, c in enumerate(form.row, 1)
            )
            return replace(reads, columns=columns)
        made = []
        for read in reads.columns:
            found = form.by_name.get(read.name)
            made.append(
                shared(
                    replace(
                        read,
                        number=found.number if found else 0,
                        partition=found is not None and found.name in form.partitions,
                    )
                )
            )
        return replace(reads, columns=tuple(made))

    def _forms(self, reads: Reads) -> list[Form | None]:
        """Return what a subscriber has to be able to read: what stands, and what is being made of it."""
        table, change = self.tables.get(reads.table), self.changes.get(self.by_table.get(reads.table, 0))
        forms: list[Form | None] = [table.form] if table is not None else []
        return forms + [change.form] if change is not None else forms

    def _since(self, name: str) -> list[pb.Found]:
        """Return what has come, while a subscriber was away, that breaks what it read before."""
        found: dict[tuple[str, str, str], Finding] = {}
        for number in self._lapsed_by_name.get(name, []):
            gone = self.lapsed[number]
            for reads in gone.reads:
                table = self.tables.get(reads.table)
                for finding in judge(reads, gone.version, table.form if table is not None else None):
                    if finding.level == Level.BROKEN:
                        found[finding] = finding
        return found_messages(found.values())

    def _renew(self, at: LogPosition, told: pb.Renew, facts: Facts, answer: pb.ContractAnswer) -> None:
        for number in told.numbers:
            known = self.subscriptions.get(number)
            if known is None:
                answer.gone.append(number)
            else:
                known.until_ms = max(known.until_ms, at.clock_ms + known.term_ms)
        if answer.gone:
            answer.refusal = Refused.GONE

    def _leave(self, at: LogPosition, told: pb.Leave, facts: Facts, answer: pb.ContractAnswer) -> None:
        known = self.subscriptions.get(told.number)
        if known is None:
            answer.refusal = Refused.GONE
        else:
            self._remove(known)

    # What publishers ask.

    def _propose(self, at: LogPosition, told: pb.Propose, facts: Facts, answer: pb.ContractAnswer) -> None:
        name, publisher = table_name(told.table), fold(told.publisher)
        if name != told.table:
            raise SchemaError(f"the table {told.table!r} is not in lower case")
        engines = dict.fromkeys(told.engines, Change.WAITING)
        statements = (*told.forward, *told.back)
        if len(engines) != len(told.engines) or len(engines) > ENGINES_MOST:
            raise SchemaError(f"{len(told.engines)} engines, each once, where {ENGINES_MOST} are taken")
        if bool(engines) != bool(told.forward) or max(len(told.forward), len(told.back)) > STATEMENTS_MOST:
            raise SchemaError(
                f"{len(told.forward)} and {len(told.back)} statements for {len(engines)} "
                f"engines, where {STATEMENTS_MOST} are taken"
            )
        if any(not 0 < len(each) <= STATEMENT_MOST for each in statements):
            raise SchemaError(f"a statement of no letters or over {STATEMENT_MOST}")
        table = self.tables.get(name)
        old, following = table.schema if table is not None else None, self.next_column
        answer.version = table.version if table is not None else 0
        new = None
        if told.HasField("schema"):
            new, following = numbered(read_schema(told.schema), old, following)
        elif table is None:
            raise SchemaError(f"{name} is not known, and can't go")
        if self._barred(at, told, name, facts, answer):
            return
        verdict = check(self.readers, name, old, new, anew=told.anew, publisher=publisher)
        verdict_message(verdict, answer)
        if verdict.level == Level.BROKEN:
            answer.refusal = Refused.BROKEN
            return
        if told.ask_only:
            return
        if facts.fact("moving", name) > 0:
            if name not in self.wanted:
                self.wanted[name] = (at.clock_ms + WANTED_MS, at.clock_ms + WANTED_MS + REST_MS)
            answer.refusal, answer.again_ms = Refused.MOVING, AGAIN_MS
            return
        if len(self.changes) >= CHANGES_MOST or (table is None and len(self.tables) >= TABLES_MOST):
            answer.refusal, answer.again_ms = Refused.TOO_MANY, AGAIN_MS
            return
        for engine in table.behind if table is not None else ():
            if engine in engines:  # it would need the change that it missed first
                engines[engine] = Change.BEHIND
        self.next_column = following
        self.wanted.pop(name, None)
        change = SchemaChange(
            at.index,
            name,
            publisher,
            answer.version,
            new,
            told.anew,
            engines,
            tuple(told.forward),
            tuple(told.back),
            told.at_once,
            at.clock_ms + BEGIN_MS,
            form=Form(new) if new is not None else None,
        )
        self.changes[change.number] = change
        self.by_table[name] = answer.number = change.number
        if not engines:
            self._finished(at, change, answer)

    def _barred(
        self, at: LogPosition, told: pb.Propose, name: str, facts: Facts, answer: pb.ContractAnswer
    ) -> bool:
        """Refuse what can't be judged now: another change is under way, or the publisher's copy is old."""
        if name in self.by_table and not told.ask_only:
            answer.refusal, answer.again_ms = Refused.CHANGING, AGAIN_MS
            answer.number = self.by_table[name]
        elif told.version != answer.version:
            answer.refusal = Refused.VERSION
        return answer.refusal != Refused.NONE

    def _withdraw(self, at: LogPosition, told: pb.Withdraw, facts: Facts, answer: pb.ContractAnswer) -> None:
        change = self.changes.get(told.number)
        if change is None:
            answer.refusal = Refused.GONE
        elif change.publisher != fold(told.publisher):
            answer.refusal = Refused.NOT_YOURS
        elif change.step != Change.ADMITTED:
            answer.refusal = Refused.STEP
        else:
            self._end(change, WITHDRAWN)

    # What the holder of the table's lease asks.

    def _held(self, number: int, fence: int, facts: Facts, answer: pb.ContractAnswer) -> SchemaChange | None:
        """Return a change if who asks holds its table's lease now; else refuse."""
        change = self.changes.get(number)
        if change is None:
            answer.refusal, answer.number = Refused.GONE, number
        elif not fence or facts.fact("fence", "table:" + change.table) != fence or fence < change.fence:
            answer.refusal = Refused.FENCE
        else:
            return change
        return None

    def _begin(self, at: LogPosition, told: pb.Begin, facts: Facts, answer: pb.ContractAnswer) -> None:
        change = self._held(told.number, told.fence, facts, answer)
        if change is not None:
            change.fence = told.fence
            if change.step == Change.ADMITTED:
                change.step = Change.FORWARD

    def _acting(
        self, told: pb.Mark | pb.Turn | pb.Finish, facts: Facts, answer: pb.ContractAnswer
    ) -> SchemaChange | None:
        change = self._held(told.number, told.fence, facts, answer)
        if change is not None and change.fence != told.fence:  # it has not begun here, or another has since
            answer.refusal = Refused.FENCE
            return None
        return change

    def _mark(self, at: LogPosition, told: pb.Mark, facts: Facts, answer: pb.ContractAnswer) -> None:
        change = self._acting(told, facts, answer)
        if change is None:
            return
        was = change.engines.get(told.engine)
        allowed = _FORWARD if change.step == Change.FORWARD else _BACK
        if was is None or (was != told.state and (was, told.state) not in allowed):
            answer.refusal = Refused.STEP
        else:
            change.engines[told.engine] = told.state
            if was == Change.BEHIND != told.state:
                self.tables[change.table].behind.discard(told.engine)
                self._note_lagging(change.table)
            (change.quiet.add if told.quiet else change.quiet.discard)(told.engine)

    def _turn(self, at: LogPosition, told: pb.Turn, facts: Facts, answer: pb.ContractAnswer) -> None:
        change = self._acting(told, facts, answer)
        if change is None:
            return
        touched = any(state in (Change.ASKED, Change.DONE) for state in change.engines.values())
        if change.step == Change.FORWARD and touched and not change.back:
            answer.refusal = Refused.STEP
        else:
            change.step = Change.BACK
            change.quiet -= {name for name, state in change.engines.items() if state == Change.WAITING}

    def _finish(self, at: LogPosition, told: pb.Finish, facts: Facts, answer: pb.ContractAnswer) -> None:
        change = self._acting(told, facts, answer)
        if change is None:
            return
        states = set(change.engines.values())
        rest = {Change.GONE_AWAY, Change.BEHIND}
        if change.step == Change.FORWARD and Change.DONE in states <= {Change.DONE, *rest}:
            self._finished(at, change, answer)
        elif change.step == Change.BACK and states <= {Change.WAITING, Change.UNDONE, *rest}:
            self._end(change, UNDONE)
        else:
            answer.refusal = Refused.STEP

    def _finished(self, at: LogPosition, change: SchemaChange, answer: pb.ContractAnswer) -> None:
        """Let a change's schema stand; what its publisher itself read, and can't any more, ends."""
        if change.schema is None:
            self.tables.pop(change.table, None)
        else:
            before = self.tables.get(change.table)
            behind = before.behind if before is not None else set()
            self.tables[change.table] = Table(at.index, change.schema, change.form, behind)
        answer.version = at.index if change.schema is not None else 0
        self._end(change, FINISHED)
        for number in list(self._by_name.get(change.publisher, [])):
            mine = self.subscriptions[number]
            read = [reads for reads in mine.reads if reads.table == change.table]
            if any(worst(judge(reads, mine.version, change.form)) == Level.BROKEN for reads in read):
                self._remove(mine)
        self._meet(change.table)

    def _meet(self, name: str) -> None:
        """Give those who registered ahead of a table's first schema the identities of what they read."""
        table = self.tables.get(name)
        if table is None:
            return
        waiting = [
            key
            for key in self.readers.forms(name)
            if not key[0].columns or not any(read.number for read in key[0].columns)
        ]
        if not waiting:
            return
        for subscription in list(self.subscriptions.values()):
            if any((reads, subscription.version) in waiting for reads in subscription.reads):
                self._unlist(subscription)
                subscription.reads = tuple(
                    self._resolved(reads_message(replace(r, columns=() if r.star else r.columns)))
                    if (r, subscription.version) in waiting
                    else r
                    for r in subscription.reads
                )
                subscription.raw = all_reads_message(subscription.reads)
                self._list(subscription)

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
        self._note_lagging(change.table)
        self.ended[change.number] = outcome
        while len(self.ended) > ENDED_MOST:
            self.ended.popitem(last=False)

    def _note_lagging(self, name: str) -> None:
        table = self.tables.get(name)
        (self.lagging.add if table is not None and table.behind else self.lagging.discard)(name)

    # Keeping the subscriptions.

    def _list(self, subscription: Subscription) -> None:
        for reads in subscription.reads:
            self.readers.add(subscription.name, subscription.version, reads)

    def _unlist(self, subscription: Subscription) -> None:
        for reads in subscription.reads:
            self.readers.remove(subscription.name, subscription.version, reads)

    def _add(self, subscription: Subscription) -> None:
        self.subscriptions[subscription.number] = subscription
        self._by_name.setdefault(subscription.name, []).append(subscription.number)
        self._list(subscription)
        heapq.heappush(self._due, (subscription.until_ms, subscription.number))
        if len(self._due) > 2 * len(self.subscriptions) + 64:  # most of it is of those who left
            self._due = [(each.until_ms, each.number) for each in self.subscriptions.values()]
            heapq.heapify(self._due)

    def _remove(self, subscription: Subscription) -> None:
        del self.subscriptions[subscription.number]
        mine = self._by_name[subscription.name]
        mine.remove(subscription.number)
        if not mine:
            del self._by_name[subscription.name]
        self._unlist(subscription)

    def _lapse(self, subscription: Subscription) -> None:
        self._remove(subscription)
        self._remember(subscription)
        while len(self.lapsed) > LAPSED_MOST:
            number, oldest = self.lapsed.popitem(last=False)
            self._lapsed_by_name[oldest.name].remove(number)
            if not self._lapsed_by_name[oldest.name]:
                del self._lapsed_by_name[oldest.name]

    def _remember(self, subscription: Subscription) -> None:
        self.lapsed[subscription.number] = subscription
        self._lapsed_by_name.setdefault(subscription.name, []).append(subscription.number)

    # Snapshots.

    def snapshot(self) -> bytes:
        """Return all state; equal states give equal bytes."""
        state = pb.ContractState(next_column=self.next_column)
        for name, table in sorted(self.tables.items()):
            state.tables.add(
                name=name,
                version=table.version,
                schema=schema_message(table.schema),
                behind=sorted(table.behind),
            )
        state.subscriptions.extend(_told(s) for _, s in sorted(self.subscriptions.items()))
        state.lapsed.extend(map(_told, self.lapsed.values()))
        for _, change in sorted(self.changes.items()):
            state.changes.append(change_message(change))
        for table, (until, rest) in sorted(self.wanted.items()):
            state.wanted.add(table=table, until_ms=until, rest_until_ms=rest)
        for number, outcome in self.ended.items():
            state.ended.add(number=number, outcome=outcome)
        return state.SerializeToString(deterministic=True)

    def restore(self, data: bytes) -> None:
        """Take a snapshot's state in place of its own; b"": the empty one."""
        self._clear()
        state = pb.ContractState.FromString(data)
        self.next_column = state.next_column or 1
        for told in state.tables:
            schema = read_schema(told.schema)
            self.tables[told.name] = Table(told.version, schema, Form(schema), set(told.behind))
            self._note_lagging(told.name)
        for told in state.subscriptions:
            self._add(_subscription(told))
        for told in state.lapsed:
            self._remember(_subscription(told))
        for told in state.changes:
            change = read_change(told)
            self.changes[change.number], self.by_table[change.table] = change, change.number
        self.wanted = {told.table: (told.until_ms, told.rest_until_ms) for told in state.wanted}
        self.ended = OrderedDict((told.number, told.outcome) for told in state.ended)


def change_message(change: SchemaChange) -> pb.Change:
    """Return a change's message, for snapshots and for who carries it out."""
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


def read_change(told: pb.Change) -> SchemaChange:
    """Return the change of a message. Raises `SchemaError`."""
    schema = read_schema(told.schema) if told.HasField("schema") else None
    return SchemaChange(
        told.number,
        told.table,
        told.publisher,
        told.from_version,
        schema,
        told.anew,
        {each.name: each.state for each in told.engines},
        tuple(told.forward),
        tuple(told.back),
        told.at_once,
        told.begin_by_ms,
        told.step,
        told.fence,
        {each.name for each in told.engines if each.quiet},
        Form(schema) if schema is not None else None,
    )


def _told(subscription: Subscription) -> pb.ContractState.Subscription:
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


def _subscription(told: pb.ContractState.Subscription) -> Subscription:
    return Subscription(
        told.number,
        told.name,
        told.version,
        told.term_ms,
        told.until_ms,
        told.since_ms,
        read_all_reads(told.reads),
        told.reads,
    )
