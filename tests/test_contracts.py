"""The gate for schema changes: types, rules, the checker, the machine on the record."""

import pytest

from fennelwind.contracts import contracts_pb2 as pb
from fennelwind.contracts.machine import BEGIN_MS, REST_MS, TERM_LEAST_MS, WANTED_MS, ContractMachine
from fennelwind.contracts.messages import reads_message, schema_message
from fennelwind.contracts.rules import NUMBER
from fennelwind.contracts.said import parse_reads
from fennelwind.contracts.types import SchemaError, SchemaTextError, parse_schema, parse_type
from fennelwind.council.machine import At, UnreadableCommand


class Facts:
    """What other machines would say."""

    def __init__(self):
        self.fence, self.moving = {}, {}

    def fact(self, kind, key):
        return {"fence": self.fence, "moving": self.moving}.get(kind, {}).get(key, 0)


class Gate:
    """A machine with the record's place and clock, and words for its commands."""

    def __init__(self):
        self.machine, self.facts, self.index, self.clock = ContractMachine(), Facts(), 0, 0

    def do(self, **what):
        self.index += 1
        at = At(self.index, self.clock)
        if (due := self.machine.due()) is not None and due <= self.clock:
            self.machine.pass_time(at)
        command = pb.ContractCommand(rules=NUMBER, **what).SerializeToString()
        return pb.ContractAnswer.FromString(self.machine.apply(at, command, self.facts))

    def register(self, name, version=11, term_ms=TERM_LEAST_MS, **reads):
        told = [reads_message(parse_reads(table, text)) for table, text in reads.items()]
        return self.do(register=pb.Register(name=name, version=version, term_ms=term_ms, reads=told))

    def propose(self, table, text, publisher="load", engines=(), back=("undo",), **more):
        schema = schema_message(parse_schema(text)) if text else None
        standing = self.machine.tables.get(table)
        more.setdefault("version", standing.version if standing else 0)
        return self.do(propose=pb.Propose(
            table=table, publisher=publisher, schema=schema, engines=engines, back=back,
            forward=("do",) if engines else (), **more))

    def carry(self, number, fence, *states):
        for engine, state in states:
            yield self.do(mark=pb.Mark(number=number, fence=fence, engine=engine, state=state))


def rules(found):
    return [each.rule for each in found]


@pytest.fixture
def gate():
    made = Gate()
    assert not made.propose("t", "a int, b string").refusal
    return made


@pytest.mark.parametrize("text, canonical", [
    ("INTEGER", "int"), ("dec(5)", "decimal(5,0)"), ("decimal", "decimal(10,0)"),
    ("Double  Precision", "double"),
    ("timestamp with local time zone", "timestamp with local time zone"), ("varchar( 20 )", "varchar(20)"),
    ("array<map<string,struct<A:int,`b c`:date>>>", "array<map<string,struct<a:int,`b c`:date>>>"),
    ("uniontype<int, char(3)>", "uniontype<int,char(3)>"), ("interval_day_time", "interval_day_time")])
def test_types_are_read_as_hive_writes_them_and_written_so_that_they_can_be_read(text, canonical):
    assert str(parse_type(text)) == canonical and parse_type(canonical) == parse_type(text)


@pytest.mark.parametrize("text", [
    "", "int(3)", "foo", "array<int", "map<array<int>,int>", "char(256)", "varchar(0)", "decimal(39,2)",
    "decimal(5,6)", "struct<a:int,A:int>", "array<" * 9 + "int" + ">" * 9, "int" + " " * 70_000,
    "int, b int"])
def test_what_is_no_type_is_refused_with_a_typed_error(text):
    with pytest.raises((SchemaTextError, SchemaError)) as caught:
        parse_type(text)
    assert caught.value.advice and caught.value.code


def test_a_change_that_breaks_nobody_stands_and_one_that_does_names_who_and_what(gate):
    gate.register("report", t="a int by name")
    gate.register("export", t="* by place")
    assert not gate.propose("t", "a int, b varchar(20)").refusal
    refused = gate.propose("t", "a bigint, b varchar(20), c int")
    assert refused.refusal == pb.BROKEN
    assert [(list(each.names), rules(each.found)) for each in refused.readers] == [
        (["export"], ["row-wider", "too-wide"]), (["report"], ["too-wide"])]


def test_names_are_compared_without_case(gate):
    assert not gate.register("report", t="A int, B string by name").refusal
    assert not gate.propose("t", "A int, b string").refusal


def test_a_column_that_nobody_has_is_told_at_registration(gate):
    refused = gate.register("report", t="a int, zz int")
    assert refused.refusal == pb.BROKEN and rules(refused.found) == ["column-missing"]


def test_two_publishers_at_once_and_one_with_an_old_copy(gate):
    first = gate.propose("t", "a int, b string, c int", engines=["e1"])
    assert gate.propose("t", "a int, b string, d int").refusal == pb.CHANGING
    gate.do(withdraw=pb.Withdraw(number=first.number, publisher="load"))
    version = gate.machine.tables["t"].version
    assert not gate.propose("t", "a int, b string, d int").refusal
    assert gate.propose("t", "a int, b string, e int", version=version).refusal == pb.VERSION


def test_who_registers_between_check_and_change_is_held_against_both_versions(gate):
    gate.propose("t", "a bigint, b string", engines=["e1"])
    assert rules(gate.register("old", t="a int").found) == ["too-wide"]
    assert not gate.register("both", t="a bigint").refusal
    assert rules(gate.register("whole", t="* by place").found) == ["too-wide"]


def test_a_lapsed_subscriber_stops_nothing_and_is_told_what_came_when_it_returns(gate):
    number = gate.register("report", t="a int").number
    gate.clock += TERM_LEAST_MS - 1
    assert gate.propose("t", "a bigint, b string").refusal == pb.BROKEN
    gate.do(renew=pb.Renew(numbers=[number]))
    gate.clock += TERM_LEAST_MS - 1
    assert gate.propose("t", "a bigint, b string").refusal == pb.BROKEN
    gate.clock += 1
    assert not gate.propose("t", "a bigint, b string").refusal
    assert gate.do(renew=pb.Renew(numbers=[number])).refusal == pb.GONE
    back = gate.register("report", t="a int")
    assert back.refusal == pb.BROKEN and rules(back.since) == ["too-wide"]
    assert not gate.register("report", t="a bigint").refusal


def test_a_change_waits_for_moves_which_do_not_begin_anew_meanwhile(gate):
    gate.facts.moving["t"] = 2
    assert gate.propose("t", "a int, b string, c int").refusal == pb.MOVING
    assert gate.machine.fact("changing", "T") == 1
    gate.clock += WANTED_MS
    gate.do(renew=pb.Renew())
    assert gate.machine.fact("changing", "t") == 0
    assert gate.propose("t", "a int, b string, c int").refusal == pb.MOVING
    assert gate.machine.fact("changing", "t") == 0  # moves have their turn
    gate.clock += REST_MS
    gate.do(renew=pb.Renew())
    assert gate.propose("t", "a int, b string, c int").refusal == pb.MOVING
    gate.facts.moving["t"] = 0
    admitted = gate.propose("t", "a int, b string, c int", engines=["e1"])
    assert not admitted.refusal and gate.machine.fact("changing", "t") == 1


def test_only_the_holder_of_the_tables_lease_carries_out_and_a_later_one_goes_on(gate):
    number = gate.propose("t", "a int, b string, c int", engines=["e1", "e2"]).number
    assert gate.do(begin=pb.Begin(number=number, fence=7)).refusal == pb.FENCE
    gate.facts.fence["table:t"] = 7
    assert not gate.do(begin=pb.Begin(number=number, fence=7)).refusal
    states = pb.Change
    assert not any(a.refusal for a in gate.carry(number, 7, ("e1", states.ASKED), ("e1", states.DONE)))
    assert gate.do(finish=pb.Finish(number=number, fence=7)).refusal == pb.STEP
    gate.facts.fence["table:t"] = 9
    assert [a.refusal for a in gate.carry(number, 7, ("e2", states.ASKED))] == [pb.FENCE]
    assert [a.refusal for a in gate.carry(number, 9, ("e2", states.ASKED))] == [pb.FENCE]  # not begun
    assert not gate.do(begin=pb.Begin(number=number, fence=9)).refusal
    assert not any(a.refusal for a in gate.carry(number, 9, ("e2", states.ASKED), ("e2", states.DONE)))
    done = gate.do(finish=pb.Finish(number=number, fence=9))
    assert gate.machine.tables["t"].version == done.version == gate.index
    assert gate.machine.fact("changing", "t") == 0


def test_a_change_that_nobody_begins_lapses_and_one_that_was_begun_does_not(gate):
    first = gate.propose("t", "a int, b string, c int", engines=["e1"]).number
    gate.clock += BEGIN_MS
    gate.do(renew=pb.Renew())
    assert first not in gate.machine.changes
    gate.facts.fence["table:t"] = 3
    second = gate.propose("t", "a int, b string, c int", engines=["e1"]).number
    gate.do(begin=pb.Begin(number=second, fence=3))
    gate.clock += 10 * BEGIN_MS
    gate.do(renew=pb.Renew())
    assert second in gate.machine.changes


def test_back_from_half_way_leaves_the_old_version(gate):
    number = gate.propose("t", "a int, b string, c int", engines=["e1", "e2"]).number
    gate.facts.fence["table:t"] = 7
    gate.do(begin=pb.Begin(number=number, fence=7))
    states = pb.Change
    list(gate.carry(number, 7, ("e1", states.ASKED), ("e1", states.DONE), ("e2", states.ASKED)))
    assert not gate.do(turn=pb.Turn(number=number, fence=7)).refusal
    assert gate.do(finish=pb.Finish(number=number, fence=7)).refusal == pb.STEP
    list(gate.carry(number, 7, ("e1", states.ASKED_BACK), ("e1", states.UNDONE), ("e2", states.UNDONE)))
    assert not gate.do(finish=pb.Finish(number=number, fence=7)).refusal
    assert str(gate.machine.tables["t"].schema) == "a int, b string" and not gate.machine.changes


def test_a_publisher_that_reads_what_it_changes_is_warned_and_registers_anew(gate):
    gate.register("load", t="a int")
    told = gate.propose("t", "a bigint, b string")
    assert not told.refusal and rules(told.readers[0].found) == ["own"]
    assert not gate.machine.subscriptions


def test_steps_that_are_each_harmless_and_together_break(gate):
    gate.register("report", t="a int")
    assert not gate.propose("t", "a smallint, b string").refusal
    assert not gate.propose("t", "a int, b string").refusal  # wider than the step before alone
    assert gate.propose("t", "a bigint, b string").refusal == pb.BROKEN


def test_a_name_that_another_column_bears_now_is_another_column(gate):
    number = gate.register("report", t="a int").number
    assert gate.propose("t", "x int was a, b string").refusal == pb.BROKEN
    gate.do(leave=pb.Leave(number=number))
    gate.register("place", t="a int, b string by place")
    assert not gate.propose("t", "x int was a, b string").refusal
    assert gate.propose("t", "b string, x int").refusal == pb.BROKEN
    assert gate.propose("t", "a int, b string").refusal == pb.BROKEN  # not said to be x: it is another


def test_a_subscriber_ahead_of_the_table_is_held_against_its_first_schema(gate):
    gate.register("early", new="a int by name")
    gate.register("whole", new="* by place")
    assert gate.propose("new", "a string").refusal == pb.BROKEN
    assert not gate.propose("new", "a int").refusal
    assert gate.propose("new", "a int, b int").refusal == pb.BROKEN  # `*` is what stood when it was made


@pytest.mark.parametrize("command", [
    b"\xff", b"", pb.ContractCommand(rules=99, leave=pb.Leave()).SerializeToString()])
def test_bytes_that_are_no_command_are_told_and_change_nothing(command):
    with pytest.raises(UnreadableCommand):
        ContractMachine().apply(At(1, 0), command, Facts())
