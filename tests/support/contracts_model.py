"""Model of the schema state machine: a flat list of subscriptions, all of them checked for each command."""

from dataclasses import replace

from hypothesis import strategies as st
from hypothesis.stateful import Bundle, RuleBasedStateMachine, consumes, initialize, invariant, multiple, rule

from fennelwind.raft.state_machine import LogPosition
from fennelwind.schema_compatibility import contracts_pb2 as pb
from fennelwind.schema_compatibility import state_machine
from fennelwind.schema_compatibility.messages import reads_message, schema_message
from fennelwind.schema_compatibility.rules import (
    RULES,
    RULES_VERSION,
    IndexedSchema,
    Level,
    Read,
    check_reads,
    highest_level,
)
from fennelwind.schema_compatibility.session_options import parse_reads, reads_text
from fennelwind.schema_compatibility.types import normalize_table_name, parse_schema

SCHEMAS = (
    "a int, b string",
    "A int, b string, c int",
    "a bigint, b string",
    "a smallint, b string",
    "b string, a int",
    "x int was a, b string",
    "a int was x, b string",
    "a int, b string partitioned by (d date)",
    "a int not null, b varchar(5)",
    "b string",
    "a int, c int, b string",
    "b int was a, a string was b",
    "a decimal(10,2), b string",
    "a int, b string, z timestamp with local time zone",
)
READS = (
    "a int",
    "A int, b string",
    "a bigint",
    "* by name",
    "* by place",
    "a int by place",
    "a int, b string by place",
    "z timestamp with local time zone",
    "2 b string by place",
    "b string",
    "c int",
    "d date",
    "a int not null",
    "x int",
    "a decimal(12,2)",
)


class GateModel(RuleBasedStateMachine):
    """Applies commands in any order; the model predicts each answer."""

    subscriptions, changes = Bundle("subscriptions"), Bundle("changes")

    @initialize()
    def begin_empty(self):
        """Begin with an empty state."""
        self.machine, self.index, self.clock = state_machine.SchemaStateMachine(), 0, 0
        self.active = {}  # number -> name, version, reads as they were when it registered, until, term
        self.change = {}  # table -> number, publisher, schema's text, engines' states, step
        self.moving, self.fence, self.numbers = set(), {}, {}
        self.behind = {"t": set(), "u": set()}  # engines that missed a change

    def fact(self, kind, key):
        """Return the facts of other state machines."""
        if kind == "moving":
            return int(key in self.moving)
        return self.fence.get(key, 0) if kind == "fence" else 0

    def do(self, **what):
        """Apply a command as the replicated log does, expiring what is due first."""
        self.index += 1
        at = LogPosition(self.index, self.clock)
        due = self.machine.next_expiry_clock_ms()
        if due is not None and due <= self.clock:
            self.machine.expire_due(at)
        command = pb.ContractCommand(rules=RULES_VERSION, **what).SerializeToString()
        answer = pb.ContractAnswer.FromString(self.machine.apply(at, command, self))
        self.active = {n: each for n, each in self.active.items() if each["until"] > self.clock}
        for table, change in list(self.change.items()):
            if change["step"] == 0 and change["begin_by"] <= self.clock:
                del self.change[table]
        return answer

    def schema(self, table):
        """Return the current schema of a table."""
        known = self.machine.tables.get(table)
        return known.schema if known is not None else None

    def indexed_schemas(self, table):
        """Return the schemas that a subscriber must be able to read."""
        schemas = [IndexedSchema(self.schema(table))] if self.schema(table) is not None else []
        number = self.machine.by_table.get(table)
        if number is not None:
            assert table in self.change
            made = self.machine.changes[number].schema
            schemas.append(IndexedSchema(made) if made is not None else None)
        return schemas

    def resolve(self, table, text):
        """Return reads with the column numbers of the current schema."""
        reads, schema = parse_reads(table, text), self.schema(table)
        if schema is None:
            return reads
        parts = {column.name for column in schema.partitions}
        if reads.star:
            return replace(
                reads,
                columns=tuple(
                    Read(
                        c.name, c.type, c.nullable, n + 1 if reads.by_place else 0, c.number, c.name in parts
                    )
                    for n, c in enumerate(schema.row)
                ),
            )
        there = {column.name: column for column in schema.row}
        return replace(
            reads,
            columns=tuple(
                replace(read, number=there[read.name].number, partition=read.name in parts)
                if read.name in there
                else read
                for read in reads.columns
            ),
        )

    @rule(
        target=subscriptions,
        name=st.sampled_from(("r1", "R2", "load")),
        table=st.sampled_from("tTu"),
        text=st.sampled_from(READS),
        version=st.sampled_from((5, 10, 11)),
        term=st.sampled_from((10_000, 40_000)),
    )
    def register(self, name, table, text, version, term):
        """Register, or renew by registering the same again."""
        table = normalize_table_name(table)
        self.do(renew=pb.Renew())  # expires what is due, so that the model sees the same state
        reads = self.resolve(table, text)
        is_broken = any(
            highest_level(check_reads(reads, version, indexed)) == Level.BROKEN
            for indexed in self.indexed_schemas(table)
        )
        answer = self.do(
            register=pb.Register(
                name=name, version=version, term_ms=term, reads=[reads_message(parse_reads(table, text))]
            )
        )
        assert (answer.refusal == pb.BROKEN) == is_broken, (table, text, answer)
        if answer.refusal:
            return multiple()
        known = self.active.get(answer.number)
        assert known is None or (known["name"], known["version"]) == (name.lower(), version)
        until = max(self.clock + term, known["until"] if known else 0)
        self.active[answer.number] = dict(
            name=name.lower(), version=version, reads=reads, until=until, term=term
        )
        return answer.number

    @rule(number=subscriptions)
    def renew(self, number):
        """Renew a subscription; the answer reports a lapsed one."""
        is_active = number in self.active and self.active[number]["until"] > self.clock
        answer = self.do(renew=pb.Renew(numbers=[number]))
        assert (answer.refusal == pb.NONE) == is_active and (list(answer.gone) == [number]) == (not is_active)
        if is_active:
            known = self.active[number]
            known["until"] = max(known["until"], self.clock + known["term"])

    @rule(number=consumes(subscriptions))
    def leave(self, number):
        """End a subscription."""
        is_active = number in self.active and self.active[number]["until"] > self.clock
        assert (self.do(leave=pb.Leave(number=number)).refusal == pb.NONE) == is_active
        self.active.pop(number, None)

    @rule(
        target=changes,
        table=st.sampled_from("tTu"),
        text=st.sampled_from(SCHEMAS),
        engines=st.booleans(),
        publisher=st.sampled_from(("load", "Load", "other")),
        old=st.integers(0, 9),
        goes=st.integers(0, 9),
    )
    def propose(self, table, text, engines, publisher, old, goes):
        """Propose a change; the model checks each active subscription as it was registered."""
        table = normalize_table_name(table)
        self.do(renew=pb.Renew())
        known = self.machine.tables.get(table)
        version = known.version if known is not None else 0
        wrong_version = not old and version > 0
        dropped = not goes and known is not None
        schema = parse_schema(text)
        names = {c.name for c in known.schema.row} if known else set()
        invalid = not dropped and any(c.was and c.was not in names for c in schema.row)
        answer = self.do(
            propose=pb.Propose(
                table=table,
                publisher=publisher,
                version=version - 1 if wrong_version else version,
                schema=None if dropped else schema_message(schema),
                engines=("e1", "e2") if engines else (),
                forward=("do",) if engines else (),
                back=("undo",) if engines else (),
            )
        )
        if invalid:
            assert answer.refusal == pb.INVALID
        elif table in self.change:
            assert answer.refusal == pb.CHANGING
        elif wrong_version:
            assert answer.refusal == pb.VERSION
        else:
            made = None if dropped else self.numbered(known.schema if known else None, schema, text)
            broken = self.broken_subscribers(table, made, publisher.lower())
            reported = {
                name
                for each in answer.readers
                for name in each.names
                if any(RULES[found.rule].level == Level.BROKEN for found in each.found)
            }
            assert reported == broken, (reported, broken)
            expected_refusal = pb.BROKEN if broken else pb.MOVING if table in self.moving else pb.NONE
            assert answer.refusal == expected_refusal, (answer, broken)
            if not answer.refusal:
                self.note_admitted(table, publisher.lower(), made, engines, answer.number)
                return answer.number
        return multiple()

    def numbered(self, old, schema, text):
        """Return the schema with column numbers, kept where a name or `was` matches an old column."""
        known = {c.name: c.number for c in old.row} if old else {}
        renamed = {c.was for c in schema.row if c.was}
        fresh = iter(range(10**9, 2 * 10**9))

        def identity(column):
            if column.was:
                return known[column.was]
            if column.name in known and column.name not in renamed:
                return known[column.name]
            return next(fresh)

        cut = len(schema.columns)
        row = [replace(c, number=identity(c), was="") for c in schema.row]
        return replace(schema, columns=tuple(row[:cut]), partitions=tuple(row[cut:]))

    def broken_subscribers(self, table, made, publisher):
        """Return the names of the active subscribers that the schema breaks."""
        indexed = IndexedSchema(made) if made is not None else None
        return {
            each["name"]
            for each in self.active.values()
            if each["reads"].table == table
            and each["name"] != publisher
            and highest_level(check_reads(each["reads"], each["version"], indexed)) == Level.BROKEN
        }

    def note_admitted(self, table, publisher, made, engines, number):
        """Note an admitted change; one without engines is applied at once."""
        if engines:
            states = {
                engine: pb.Change.BEHIND if engine in self.behind[table] else pb.Change.WAITING
                for engine in ("e1", "e2")
            }
            self.change[table] = dict(
                number=number,
                publisher=publisher,
                made=made,
                step=0,
                fence=0,
                states=states,
                begin_by=self.clock + state_machine.BEGIN_TIMEOUT_MS,
            )
        else:
            self.check_applied(table, publisher, made)

    def check_applied(self, table, publisher, made):
        """Check that the schema was applied as proposed and kept the column numbers."""
        schema = self.schema(table)
        assert (schema is None) == (made is None)
        if made is None:
            self.behind[table] = set()
        if schema is not None:
            assert str(schema) == str(made)
            for there, said in zip(schema.row, made.row, strict=True):
                if said.number < 10**9:
                    assert there.number == said.number
                else:
                    assert there.number not in self.numbers
            self.numbers.update({c.number: None for c in schema.row})
        indexed = IndexedSchema(schema) if schema is not None else None
        for number, each in list(self.active.items()):
            reads = each["reads"]
            if (
                reads.table == table
                and each["name"] == publisher
                and highest_level(check_reads(reads, each["version"], indexed)) == Level.BROKEN
            ):
                del self.active[number]
            elif reads.table == table and schema is not None and all(not r.number for r in reads.columns):
                each["reads"] = self.resolve(table, reads_text(reads))

    @rule(number=changes, fence=st.integers(1, 3), more=st.booleans())
    def begin(self, number, fence, more):
        """Begin with the fencing token of the lease, or with another one."""
        table = next((t for t, c in self.change.items() if c["number"] == number), None)
        held = self.fence.get(f"table:{table}", 0)
        answer = self.do(begin=pb.Begin(number=number, fence=held if more else fence))
        table = next((t for t, c in self.change.items() if c["number"] == number), None)
        if table is not None and not answer.refusal:
            assert (held if more else fence) == held > 0
            self.change[table].update(fence=held, step=max(1, self.change[table]["step"]))

    @rule(table=st.sampled_from("tu"))
    def another_holder(self, table):
        """Give the table's lease to another holder."""
        self.fence[f"table:{table}"] = self.fence.get(f"table:{table}", 0) + 1

    @rule(number=changes, engine=st.sampled_from(("e1", "e2")), state=st.integers(0, 6))
    def mark(self, number, engine, state):
        """Mark an engine's state."""
        self.act(number, mark=lambda fence: pb.Mark(number=number, fence=fence, engine=engine, state=state))

    @rule(number=changes)
    def finish_rollout(self, number):
        """Mark both engines as changed and finish."""
        for engine in ("e1", "e2"):
            for state in (pb.Change.ASKED, pb.Change.DONE):
                self.act(
                    number,
                    mark=lambda fence, e=engine, s=state: pb.Mark(
                        number=number, fence=fence, engine=e, state=s
                    ),
                )
        self.finish(number)

    @rule(number=changes)
    def turn(self, number):
        """Start a revert."""
        self.act(number, turn=lambda fence: pb.Turn(number=number, fence=fence))

    @rule(number=changes)
    def finish(self, number):
        """Finish, which is allowed only once all engines have reached their final states."""
        table = next((t for t, c in self.change.items() if c["number"] == number), None)
        change = self.change.get(table)
        answer = self.act(number, finish=lambda fence: pb.Finish(number=number, fence=fence))
        if change is None or answer.refusal:
            return
        states = set(change["states"].values())
        del self.change[table]
        rest = {pb.Change.GONE_AWAY, pb.Change.BEHIND}
        for engine, state in change["states"].items():
            if state == pb.Change.GONE_AWAY:
                self.behind[table].add(engine)
        if change["step"] == 1:
            assert states <= {pb.Change.DONE, *rest} and pb.Change.DONE in states
            self.check_applied(table, change["publisher"], change["made"])
        else:
            assert states <= {pb.Change.WAITING, pb.Change.UNDONE, *rest}

    def act(self, number, **what):
        """Send a command with the change's fencing token; only the current holder may act."""
        table = next((t for t, c in self.change.items() if c["number"] == number), None)
        change = self.change.get(table, {"fence": 1, "step": 0})
        ((kind, make),) = what.items()
        command = make(change["fence"])
        answer = self.do(**{kind: command})
        holds = change["step"] > 0 and change["fence"] == self.fence.get(f"table:{table}", 0) > 0
        assert not holds or answer.refusal != pb.FENCE
        if not answer.refusal:
            assert holds
            if kind == "mark":
                if change["states"][command.engine] == pb.Change.BEHIND != command.state:
                    self.behind[table].discard(command.engine)
                change["states"][command.engine] = command.state
            elif kind == "turn":
                change["step"] = 2
        return answer

    @rule(number=changes, publisher=st.sampled_from(("load", "other")))
    def withdraw(self, number, publisher):
        """Withdraw a change, allowed only for its publisher and before it has begun."""
        answer = self.do(withdraw=pb.Withdraw(number=number, publisher=publisher))
        table = next((t for t, c in self.change.items() if c["number"] == number), None)
        if table is not None:
            mine = self.change[table]["publisher"] == publisher and self.change[table]["step"] == 0
            assert (answer.refusal == pb.NONE) == mine
            if mine:
                del self.change[table]

    @rule(ms=st.sampled_from((1, 5000, 9999, 10_000, 30_000, 60_000, 200_000)))
    def pass_time(self, ms):
        """Advance the replicated clock."""
        self.clock += ms
        self.do(renew=pb.Renew())

    @rule(table=st.sampled_from("tu"))
    def move(self, table):
        """Begin a move of the table's shards, if allowed, or end it."""
        if table in self.moving:
            self.moving.discard(table)
        elif not self.machine.fact("changing", table) and not self.machine.fact("wanted", table):
            assert table not in self.change
            self.moving.add(table)

    @rule()
    def another_member(self):
        """Continue from a snapshot."""
        data = self.machine.snapshot()
        self.machine = state_machine.SchemaStateMachine()
        self.machine.restore(data)
        assert self.machine.snapshot() == data

    @invariant()
    def no_subscriber_is_broken_and_no_changing_table_moves(self):
        """Check that active subscribers can read the schemas, and that no changing table has a move."""
        if not hasattr(self, "machine"):
            return
        for each in self.active.values():
            schema = self.schema(each["reads"].table)
            known = schema is not None and any(read.number for read in each["reads"].columns)
            if each["until"] > self.clock and known:
                assert (
                    highest_level(check_reads(each["reads"], each["version"], IndexedSchema(schema)))
                    < Level.BROKEN
                ), each
        for table, engines in self.behind.items():
            assert table not in self.machine.tables or self.machine.tables[table].behind == engines
        assert not self.moving & self.change.keys()
        assert set(self.machine.by_table) == self.change.keys()
