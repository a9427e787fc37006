"""Schema compatibility: types, rules, checker, state machine, rollouts and session options."""

from itertools import product
from pathlib import Path
from random import Random

import pytest
from contracts_defects import DEFECTS, search
from contracts_model import GateModel
from contracts_search import Broken, Search
from contracts_world import ANCIENT, BACK, FORWARD, NEW, OLD, World, world_with_states
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from hypothesis.stateful import run_state_machine_as_test
from test_descriptors import fill

from fennelwind.benchmarks import contract_rows
from fennelwind.client.cursor import Cursor
from fennelwind.raft.state_machine import LogPosition, UnreadableCommandError
from fennelwind.schema_compatibility import contracts_pb2 as pb
from fennelwind.schema_compatibility import rollout
from fennelwind.schema_compatibility.messages import (
    read_reads,
    read_schema,
    reads_message,
    schema_message,
    type_message,
)
from fennelwind.schema_compatibility.rules import RULES, RULES_VERSION, Level, Read, Reads, type_rules
from fennelwind.schema_compatibility.session_options import (
    SessionOptionError,
    parse_publication,
    parse_reads,
    parse_subscription,
    reads_text,
)
from fennelwind.schema_compatibility.state_machine import (
    BEGIN_TIMEOUT_MS,
    FINISHED,
    MIN_TERM_MS,
    MOVE_BLOCK_MS,
    MOVE_GRACE_MS,
    SchemaStateMachine,
)
from fennelwind.schema_compatibility.types import (
    Column,
    Schema,
    SchemaError,
    SchemaTextError,
    normalize_name,
    parse_schema,
    parse_type,
)
from fennelwind.shards.state_machine import ShardMachine
from fennelwind.thrift import hiveserver2 as hs2


class Facts:
    """Facts of other state machines."""

    def __init__(self):
        self.fence, self.moving = {}, {}

    def fact(self, kind, key):
        return {"fence": self.fence, "moving": self.moving}.get(kind, {}).get(key, 0)


class Gate:
    """A state machine with log index and clock, and helpers that send its commands."""

    def __init__(self):
        self.machine, self.facts, self.index, self.clock = SchemaStateMachine(), Facts(), 0, 0

    def do(self, **what):
        self.index += 1
        at = LogPosition(self.index, self.clock)
        if (due := self.machine.next_expiry_clock_ms()) is not None and due <= self.clock:
            self.machine.expire_due(at)
        command = pb.ContractCommand(rules=RULES_VERSION, **what).SerializeToString()
        return pb.ContractAnswer.FromString(self.machine.apply(at, command, self.facts))

    def register(self, name, version=11, term_ms=MIN_TERM_MS, **reads):
        messages = [reads_message(parse_reads(table, text)) for table, text in reads.items()]
        return self.do(register=pb.Register(name=name, version=version, term_ms=term_ms, reads=messages))

    def propose(self, table, text, publisher="load", engines=(), back=("undo",), **more):
        schema = schema_message(parse_schema(text)) if text else None
        current = self.machine.tables.get(table)
        more.setdefault("version", current.version if current else 0)
        return self.do(
            propose=pb.Propose(
                table=table,
                publisher=publisher,
                schema=schema,
                engines=engines,
                back=back,
                forward=("do",) if engines else (),
                **more,
            )
        )

    def mark_states(self, number, fence, *states):
        for engine, state in states:
            yield self.do(mark=pb.Mark(number=number, fence=fence, engine=engine, state=state))


def rules(found):
    return [each.rule for each in found]


@pytest.fixture
def gate():
    made = Gate()
    assert not made.propose("t", "a int, b string").refusal
    return made


@pytest.mark.parametrize(
    "text, canonical",
    [
        ("INTEGER", "int"),
        ("dec(5)", "decimal(5,0)"),
        ("decimal", "decimal(10,0)"),
        ("Double  Precision", "double"),
        ("timestamp with local time zone", "timestamp with local time zone"),
        ("varchar( 20 )", "varchar(20)"),
        ("array<map<string,struct<A:int,`b c`:date>>>", "array<map<string,struct<a:int,`b c`:date>>>"),
        ("uniontype<int, char(3)>", "uniontype<int,char(3)>"),
        ("interval_day_time", "interval_day_time"),
    ],
)
def test_type_text_round_trips_through_its_canonical_form(text, canonical):
    assert str(parse_type(text)) == canonical and parse_type(canonical) == parse_type(text)


@pytest.mark.parametrize(
    "text",
    [
        "",
        "int(3)",
        "foo",
        "array<int",
        "map<array<int>,int>",
        "char(256)",
        "varchar(0)",
        "decimal(39,2)",
        "decimal(5,6)",
        "struct<a:int,A:int>",
        "array<" * 9 + "int" + ">" * 9,
        "int" + " " * 70_000,
        "int, b int",
    ],
)
def test_invalid_type_text_is_rejected_with_a_typed_error(text):
    with pytest.raises((SchemaTextError, SchemaError)) as caught:
        parse_type(text)
    assert caught.value.advice and caught.value.code


def test_compatible_change_is_applied_and_breaking_one_names_subscribers_and_rules(gate):
    gate.register("report", t="a int by name")
    gate.register("export", t="* by place")
    assert not gate.propose("t", "a int, b varchar(20)").refusal
    refused = gate.propose("t", "a bigint, b varchar(20), c int")
    assert refused.refusal == pb.BROKEN
    assert [(list(each.names), rules(each.found)) for each in refused.readers] == [
        (["export"], ["row-wider", "too-wide"]),
        (["report"], ["too-wide"]),
    ]


def test_registration_with_a_missing_column_is_refused(gate):
    refused = gate.register("report", t="a int, zz int")
    assert refused.refusal == pb.BROKEN and rules(refused.found) == ["column-missing"]


def test_concurrent_and_stale_proposals_are_refused(gate):
    first = gate.propose("t", "a int, b string, c int", engines=["e1"])
    assert gate.propose("t", "a int, b string, d int").refusal == pb.CHANGING
    gate.do(withdraw=pb.Withdraw(number=first.number, publisher="load"))
    version = gate.machine.tables["t"].version
    assert not gate.propose("t", "a int, b string, d int").refusal
    assert gate.propose("t", "a int, b string, e int", version=version).refusal == pb.VERSION


def test_registration_during_a_change_is_checked_against_both_schemas(gate):
    gate.propose("t", "a bigint, b string", engines=["e1"])
    assert rules(gate.register("old", t="a int").found) == ["too-wide"]
    assert not gate.register("both", t="a bigint").refusal
    assert rules(gate.register("whole", t="* by place").found) == ["too-wide"]


def test_lapsed_subscription_blocks_no_change_and_its_return_reports_breaks(gate):
    number = gate.register("report", t="a int").number
    gate.clock += MIN_TERM_MS - 1
    assert gate.propose("t", "a bigint, b string").refusal == pb.BROKEN
    gate.do(renew=pb.Renew(numbers=[number]))
    gate.clock += MIN_TERM_MS - 1
    assert gate.propose("t", "a bigint, b string").refusal == pb.BROKEN
    gate.clock += 1
    assert not gate.propose("t", "a bigint, b string").refusal
    assert gate.do(renew=pb.Renew(numbers=[number])).refusal == pb.GONE
    back = gate.register("report", t="a int")
    assert back.refusal == pb.BROKEN and rules(back.since) == ["too-wide"]
    assert not gate.register("report", t="a bigint").refusal


def test_change_waits_for_moves_and_blocks_new_ones(gate):
    gate.facts.moving["t"] = 2
    assert gate.propose("t", "a int, b string, c int").refusal == pb.MOVING
    assert gate.machine.fact("wanted", "T") == 1
    gate.clock += MOVE_BLOCK_MS
    gate.do(renew=pb.Renew())
    assert gate.machine.fact("wanted", "t") == 0
    assert gate.propose("t", "a int, b string, c int").refusal == pb.MOVING
    assert gate.machine.fact("wanted", "t") == 0  # the grace period lets moves progress
    gate.clock += MOVE_GRACE_MS
    gate.do(renew=pb.Renew())
    assert gate.propose("t", "a int, b string, c int").refusal == pb.MOVING
    gate.facts.moving["t"] = 0
    admitted = gate.propose("t", "a int, b string, c int", engines=["e1"])
    assert not admitted.refusal and gate.machine.fact("changing", "t") == 1


def test_only_the_lease_holder_advances_a_change_and_a_later_holder_continues(gate):
    number = gate.propose("t", "a int, b string, c int", engines=["e1", "e2"]).number
    assert gate.do(begin=pb.Begin(number=number, fence=7)).refusal == pb.FENCE
    gate.facts.fence["table:t"] = 7
    assert not gate.do(begin=pb.Begin(number=number, fence=7)).refusal
    states = pb.Change
    assert not any(a.refusal for a in gate.mark_states(number, 7, ("e1", states.ASKED), ("e1", states.DONE)))
    assert gate.do(finish=pb.Finish(number=number, fence=7)).refusal == pb.STEP
    gate.facts.fence["table:t"] = 9
    assert [a.refusal for a in gate.mark_states(number, 7, ("e2", states.ASKED))] == [pb.FENCE]
    assert [a.refusal for a in gate.mark_states(number, 9, ("e2", states.ASKED))] == [pb.FENCE]  # not begun
    assert not gate.do(begin=pb.Begin(number=number, fence=9)).refusal
    assert not any(a.refusal for a in gate.mark_states(number, 9, ("e2", states.ASKED), ("e2", states.DONE)))
    done = gate.do(finish=pb.Finish(number=number, fence=9))
    assert gate.machine.tables["t"].version == done.version == gate.index
    assert gate.machine.fact("changing", "t") == 0


def test_change_that_is_not_begun_lapses_and_a_begun_one_does_not(gate):
    first = gate.propose("t", "a int, b string, c int", engines=["e1"]).number
    gate.clock += BEGIN_TIMEOUT_MS
    gate.do(renew=pb.Renew())
    assert first not in gate.machine.changes
    gate.facts.fence["table:t"] = 3
    second = gate.propose("t", "a int, b string, c int", engines=["e1"]).number
    gate.do(begin=pb.Begin(number=second, fence=3))
    gate.clock += 10 * BEGIN_TIMEOUT_MS
    gate.do(renew=pb.Renew())
    assert second in gate.machine.changes


def test_revert_of_a_partial_rollout_keeps_the_old_schema(gate):
    number = gate.propose("t", "a int, b string, c int", engines=["e1", "e2"]).number
    gate.facts.fence["table:t"] = 7
    gate.do(begin=pb.Begin(number=number, fence=7))
    states = pb.Change
    list(gate.mark_states(number, 7, ("e1", states.ASKED), ("e1", states.DONE), ("e2", states.ASKED)))
    assert not gate.do(turn=pb.Turn(number=number, fence=7)).refusal
    assert gate.do(finish=pb.Finish(number=number, fence=7)).refusal == pb.STEP
    list(gate.mark_states(number, 7, ("e1", states.ASKED_BACK), ("e1", states.UNDONE), ("e2", states.UNDONE)))
    assert not gate.do(finish=pb.Finish(number=number, fence=7)).refusal
    assert str(gate.machine.tables["t"].schema) == "a int, b string" and not gate.machine.changes


def test_publisher_is_only_warned_when_it_breaks_its_own_subscription(gate):
    gate.register("load", t="a int")
    answer = gate.propose("t", "a bigint, b string")
    assert not answer.refusal and rules(answer.readers[0].found) == ["own"]
    assert not gate.machine.subscriptions


def test_compatible_steps_that_break_in_sum_are_refused(gate):
    gate.register("report", t="a int")
    assert not gate.propose("t", "a smallint, b string").refusal
    assert not gate.propose("t", "a int, b string").refusal  # wider only than the previous version
    assert gate.propose("t", "a bigint, b string").refusal == pb.BROKEN


def test_reused_column_name_is_a_different_column(gate):
    number = gate.register("report", t="a int").number
    assert gate.propose("t", "x int was a, b string").refusal == pb.BROKEN
    gate.do(leave=pb.Leave(number=number))
    gate.register("place", t="a int, b string by place")
    assert not gate.propose("t", "x int was a, b string").refusal
    assert gate.propose("t", "b string, x int").refusal == pb.BROKEN
    assert (
        gate.propose("t", "a int, b string").refusal == pb.BROKEN
    )  # not declared as renamed, so it is a new column


def test_recreated_table_has_new_columns_under_the_same_names(gate):
    gate.register("report", t="a int")
    assert rules(gate.propose("t", "").readers[0].found) == ["table-dropped"]
    gate.clock += MIN_TERM_MS
    assert not gate.propose("t", "").refusal
    returned = gate.register("report", u="a int")
    assert rules(returned.since) == ["table-dropped"] and not returned.refusal
    gate.register("other", v="a int")
    assert not gate.propose("v", "a int").refusal
    gate.clock += MIN_TERM_MS
    assert not gate.propose("v", "").refusal and not gate.propose("v", "a int").refusal
    back = gate.register("other", v="a int")
    assert rules(back.since) == ["column-other"] and not back.refusal


def test_subscription_registered_before_the_table_is_checked_against_its_first_schema(gate):
    gate.register("early", new="a int by name")
    gate.register("whole", new="* by place")
    assert gate.propose("new", "a string").refusal == pb.BROKEN
    assert not gate.propose("new", "a int").refusal
    assert (
        gate.propose("new", "a int, b int").refusal == pb.BROKEN
    )  # `*` covers the columns of the first schema


@pytest.mark.parametrize(
    "command", [b"\xff", b"", pb.ContractCommand(rules=99, leave=pb.Leave()).SerializeToString()]
)
def test_unreadable_command_bytes_raise(command):
    with pytest.raises(UnreadableCommandError):
        SchemaStateMachine().apply(LogPosition(1, 0), command, Facts())


# Cases written from the public rules.

DATA = Path(__file__).parent.parent / "data"


def cases(name):
    for line in (DATA / name).read_text(encoding="utf-8").splitlines():
        if line and not line.startswith("#"):
            yield tuple(part.strip() for part in line.split("|"))


def verdict_of_change(reads, old, new):
    """Return the verdict on a change with one subscriber, and its rules."""
    gate = Gate()
    assert not gate.propose("t", old).refusal
    text, _, version = reads.partition("@")
    registered = gate.register("reader", int(version or 11), t=text)
    assert not registered.refusal, f"{reads}: {registered}"
    anew, new = new.startswith("anew:"), new.removeprefix("anew:")
    answer = gate.propose("t", "" if new == "dropped" else new, anew=anew)
    found = [*answer.found, *(each for reader in answer.readers for each in reader.found)]
    assert (answer.refusal == pb.BROKEN) == any(RULES[each.rule].level == Level.BROKEN for each in found)
    return ("broken" if answer.refusal else "warning" if found else "accepted"), sorted(rules(found))


def test_type_rules_match_the_written_cases():
    mismatches = []
    for expected, comes, verdict, rule in cases("contract_types.txt"):
        applied = type_rules(parse_type(expected), parse_type(comes))
        if (RULES[applied[0]].level.name.lower(), rule) != (verdict, applied[0]):
            mismatches.append((expected, comes, verdict, rule, applied))
    assert not mismatches


def test_table_verdicts_match_the_written_cases():
    mismatches = []
    for reads, old, new, verdict, rule in cases("contract_tables.txt"):
        applied = verdict_of_change(reads, old, new)
        if applied != (verdict, sorted(rule.split())):
            mismatches.append((reads, old, new, verdict, rule, applied))
    assert not mismatches


def test_every_rule_has_a_written_case_a_source_and_advice():
    applied = {rule for *_, rule in cases("contract_types.txt")}
    for *_, rule in cases("contract_tables.txt"):
        applied |= set(rule.split())
    without_case = {
        "place-renamed",
        "column-other",
        "own",
    }  # not reported, or in need of a history; tested above
    assert RULES.keys() - applied == without_case
    assert all(
        rule.source and rule.description and (rule.remedy or not rule.level) for rule in RULES.values()
    )


def test_change_continues_from_a_snapshot(gate):
    gate.register("report", t="a int by name")
    gate.facts.fence["table:t"] = 7
    number = gate.propose("t", "a int, b string, c int", engines=["e1"]).number
    gate.do(begin=pb.Begin(number=number, fence=7))
    data, gate.machine = gate.machine.snapshot(), SchemaStateMachine()
    gate.machine.restore(data)
    assert gate.machine.snapshot() == data
    states = pb.Change
    assert [a.refusal for a in gate.mark_states(number, 7, ("e1", states.ASKED), ("e1", states.DONE))] == [
        0,
        0,
    ]
    assert not gate.do(finish=pb.Finish(number=number, fence=7)).refusal
    assert gate.propose("t", "a bigint, b string, c int").refusal == pb.BROKEN
    gate.clock += MIN_TERM_MS
    assert not gate.propose("t", "a bigint, b string, c int").refusal


# Rollouts.


@pytest.mark.parametrize("seed", range(150))
def test_rollout_ends_with_equal_schemas_on_all_engines_despite_faults(seed):
    world = World(seed, 1 + seed % 3, seed % 2 == 1, back=seed % 5 != 0, behind=seed % 4 == 0)
    world.run_to_end()
    assert world.holder_count


@pytest.mark.parametrize(
    "step, states, back",
    [(pb.Change.FORWARD, FORWARD, True), (pb.Change.FORWARD, FORWARD, False), (pb.Change.BACK, BACK, True)],
)
def test_next_holder_completes_or_reverts_from_each_state_of_a_dead_holder(step, states, back):
    for both in product(states, states):
        world = world_with_states(step, both, 3, back)
        world.run_to_end()
        forward = world.machine.ended[world.number] == FINISHED
        assert forward == (step == pb.Change.FORWARD) and world.holder_count == 1


def test_statement_running_on_an_engine_that_left_is_stopped_when_it_returns():
    world = World(1, engines=1, faults=0)
    world.start_holder()

    def step(*events):
        return world.rollout.step(0.0, events)

    def apply_command(action):
        return rollout.CommandCompleted(action.token, world.apply(action.command))

    (mark,) = step(apply_command(*step()))
    (quiet,) = step(apply_command(mark))
    (mark,) = step(rollout.Drained(quiet.token, "e0"))
    (run,) = step(apply_command(mark))
    assert isinstance(run, rollout.RunStatement)
    (mark,) = step(rollout.EngineLeft("e0"))
    step(rollout.EngineReturned("e0"))
    release, mark = step(apply_command(mark))
    (mark,) = step(apply_command(mark))
    (quiet,) = step(apply_command(mark))
    (stop,) = step(rollout.Drained(quiet.token, "e0"))
    assert isinstance(stop, rollout.StopStatement)
    (look,) = step(rollout.StatementStopped(stop.token, "e0"))
    assert isinstance(look, rollout.DescribeTable)


def test_engine_returning_during_a_rollout_is_not_treated_as_unchanged(gate):
    number = gate.propose("t", "a int, b string, c int", engines=["e1"]).number
    gate.facts.fence["table:t"] = 7
    gate.do(begin=pb.Begin(number=number, fence=7))
    states = pb.Change
    answers = list(
        gate.mark_states(
            number,
            7,
            ("e1", states.ASKED),
            ("e1", states.DONE),
            ("e1", states.GONE_AWAY),
            ("e1", states.WAITING),
            ("e1", states.ASKED),
        )
    )
    assert [each.refusal for each in answers] == [0, 0, 0, pb.STEP, 0]


def test_engine_absent_during_a_change_stays_quiet_until_described(gate):
    number = gate.propose("t", "a int, b string, c int", engines=["e1", "e2"]).number
    gate.facts.fence["table:t"] = 7
    gate.do(begin=pb.Begin(number=number, fence=7))
    states = pb.Change
    list(gate.mark_states(number, 7, ("e1", states.ASKED), ("e1", states.DONE), ("e2", states.GONE_AWAY)))
    assert not gate.do(finish=pb.Finish(number=number, fence=7)).refusal
    assert gate.machine.quiet("T") == {"e2"}
    number = gate.propose("t", "a int, b string, c int, d int", engines=["e1", "e2"]).number
    assert gate.machine.changes[number].engines == {"e1": states.WAITING, "e2": states.BEHIND}
    gate.do(begin=pb.Begin(number=number, fence=7))
    answers = gate.mark_states(number, 7, ("e2", states.ASKED), ("e2", states.WAITING))
    assert [each.refusal for each in answers] == [pb.STEP, 0]
    assert not gate.machine.quiet("t")  # described with the current schema


@pytest.mark.parametrize(
    "has, ends, behind",
    [
        (OLD, {"e0": 2, "e1": 2}, set()),
        (NEW, {"e0": 2, "e1": 2}, set()),
        (ANCIENT, {"e0": 6, "e1": 2}, {"e0"}),
    ],
)
def test_engine_that_missed_a_change_is_described_before_the_next_one(has, ends, behind):
    world = World(1, engines=2, faults=0, behind=True)
    world.engines["e0"].shape = rollout.shape(has)
    change = world.machine.changes[world.number]
    world.run_to_end()
    assert change.engines == ends and world.machine.quiet("t") == behind
    assert world.machine.ended[world.number] == FINISHED


# Session options.


def test_subscription_is_parsed_from_session_options():
    subscription = parse_subscription(
        {
            "fennelwind.subscriber": "Nightly",
            "fennelwind.subscriber.term_s": "60",
            "fennelwind.key": "x",
            "fennelwind.reads.orders": "Id bigint not null, total decimal(10,2)",
            "fennelwind.reads.Other.Items": "* by place",
            "fennelwind.reads.s.x": "1 a int, 4 `by` string by place",
        },
        10,
        "sales",
    )
    assert (subscription.name, subscription.version, subscription.term_s) == ("nightly", 11, 60.0)
    assert {each.table: reads_text(each) for each in subscription.reads} == {
        "sales.orders": "id bigint not null, total decimal(10,2) by name",
        "other.items": "* by place",
        "s.x": "1 a int, 4 `by` string by place",
    }
    assert parse_subscription({"fennelwind.key": "x"}, 10) is None
    assert (
        pb.ContractCommand.FromString(subscription.command().SerializeToString()).register.term_ms == 60_000
    )


def test_publication_is_parsed_from_a_statements_overlay():
    publication = parse_publication(
        {
            "fennelwind.publisher": "load",
            "fennelwind.schema.Sales.Orders": "id bigint, note string default ''",
            "fennelwind.schema_version.sales.orders": "47",
            "fennelwind.back": "ALTER ...",
        }
    )
    sent = publication.command(("e1",), ("ALTER TABLE ...",)).propose
    assert (sent.table, sent.version, list(sent.engines), list(sent.back)) == (
        "sales.orders",
        47,
        ["e1"],
        ["ALTER ..."],
    )
    assert not parse_publication(
        {"fennelwind.publisher": "x", "fennelwind.schema.t": "dropped"}
    ).proposal.HasField("schema")
    assert parse_publication({"fennelwind.tables": "1"}) is None


@pytest.mark.parametrize(
    "said",
    [
        {"fennelwind.reads.t": "a int"},
        {"fennelwind.subscriber": "x"},
        {"fennelwind.subscriber": "", "fennelwind.reads.t": "a int"},
        {"fennelwind.subscriber": "x", "fennelwind.reads.t": "a int,"},
        {"fennelwind.subscriber": "x", "fennelwind.reads.t": "a int, A int"},
        {"fennelwind.subscriber": "x", "fennelwind.reads.t": "2 a int by name"},
        {"fennelwind.subscriber": "x", "fennelwind.reads.t": "2 a int, 2 b int by place"},
        {"fennelwind.subscriber": "x", "fennelwind.reads.t": "a int", "fennelwind.reads.T": "a int"},
        {"fennelwind.subscriber": "x", "fennelwind.reads.a b; drop": "a int"},
        {"fennelwind.subscriber": "x", "fennelwind.reads.t": "a int" + " " * 9000},
        {"fennelwind.subscriber": "x", "fennelwind.reads.t": "a int", "fennelwind.subscriber.term_s": "nan"},
        {"fennelwind.schema.t": "a int"},
        {"fennelwind.schema.t": "a int, a int", "fennelwind.publisher": "x"},
        {"fennelwind.schema.t": "a int", "fennelwind.schema.u": "a int", "fennelwind.publisher": "x"},
        {"fennelwind.schema.t": "a int", "fennelwind.publisher": "x", "fennelwind.schema_version.t": "-1"},
    ],
)
def test_error_of_an_invalid_option_names_the_setting(said):
    with pytest.raises(SessionOptionError) as caught:
        parse_subscription(said, 10)
        parse_publication(said)
    assert caught.value.facts["setting"] and caught.value.advice


# Verdicts compared with rows written under the new schema and read through codec and client.


def test_no_admitted_change_breaks_reading_rows():
    together, cautious, missed = contract_rows.measure(150)
    assert not missed
    assert together[True, contract_rows.BROKEN] > 100 and together[False, contract_rows.FINE] > 100
    # A client returns text for other types too; these are rejected because the column kind differs.
    assert set(cautious) <= {"other-kind", "key-other"} and sum(cautious.values()) < 10


# Comparison with the model.


def test_state_machine_matches_the_model():
    run_state_machine_as_test(
        GateModel,
        settings=settings(
            max_examples=30,
            stateful_step_count=30,
            deadline=None,
            derandomize=True,
            database=None,
            suppress_health_check=list(HealthCheck),
        ),
    )


# The project's own client as a publisher.


def test_client_sends_a_schema_change_in_one_call_and_keeps_its_warnings():
    class Connection:
        timeout_s, tries, chance, lost, closed, lives, session, sent = 5.0, 1, None, False, False, 1, None, []

        def call(self, method, request, timeout_s):
            self.sent.append((method, request.runAsync))
            return hs2.TExecuteStatementResp(
                status=hs2.TStatus(statusCode=hs2.SUCCESS_WITH_INFO, infoMessages=["a warning"])
            )

    cursor = Cursor(Connection())
    cursor.execute("ALTER ...", configuration={"fennelwind.schema.t": "a int"})
    assert cursor.told == ["a warning"] and cursor.description is None
    assert Connection.sent == [("ExecuteStatement", False)]


# Planted defects.


@pytest.mark.parametrize("defect", DEFECTS, ids=lambda each: each.title)
def test_a_planted_defect_is_found(defect):
    assert search(defect)


# Changes and moves together.


def test_no_interleaving_of_changes_and_moves_overlaps_or_deadlocks():
    search = Search()
    assert search.run() > 200
    assert search.stuck() == (set(), set()) and search.admissions


@pytest.mark.parametrize("machine, kind", [(SchemaStateMachine, "moving"), (ShardMachine, "changing")])
def test_search_finds_a_machine_that_ignores_the_other(machine, kind, monkeypatch):
    real = machine.apply

    class FactsWithoutOne:
        def __init__(self, facts):
            self.facts = facts

        def fact(self, asked, key):
            return 0 if asked == kind else self.facts.fact(asked, key)

    def apply(self, at, command, facts):
        return real(self, at, command, FactsWithoutOne(facts))

    monkeypatch.setattr(machine, "apply", apply)
    with pytest.raises(Broken):
        Search().run()


# Arbitrary bytes.


def random_command(random):
    """Return a command with random fields, some of its bytes changed."""
    kind = random.choice(pb.ContractCommand.DESCRIPTOR.oneofs_by_name["what"].fields).name
    command = pb.ContractCommand(rules=RULES_VERSION)
    message = fill(getattr(command, kind), random)
    if random.random() < 0.7:
        set_valid_values(message, random)
    getattr(command, kind).SetInParent()
    for name in ("table", "name", "publisher"):
        if hasattr(message, name) and random.random() < 0.8:
            setattr(message, name, random.choice(("t", "u", "T", "", "a.b", "é" * 300)))
    raw = bytearray(command.SerializeToString())
    for _ in range(random.choice((0, 0, 1, 3))):
        raw[random.randrange(len(raw))] = random.randrange(256)
    return bytes(raw)


def set_valid_values(message, random):
    """Replace some fields by valid values, so that checks beyond those of names are reached."""
    for name, right in (
        ("was", ""),
        ("star", False),
        ("version", random.randrange(12)),
        ("place", 0),
        ("ask_only", False),
        ("term_ms", random.choice((0, 10**5, 2**64 - 1))),
    ):
        if name in message.DESCRIPTOR.fields_by_name and random.random() < 0.9:
            setattr(message, name, right)
    for field, what in message.ListFields():
        if field.message_type is not None and field.name == "type":
            what.CopyFrom(type_message(parse_type(random.choice(("int", "string", "decimal(5,2)", "date")))))
        elif field.message_type is not None:
            for each in what if field.is_repeated else (what,):
                set_valid_values(each, random)


def test_arbitrary_bytes_raise_only_unreadable_command_errors(gate):
    random = Random(5)
    for index in range(2, 1500):
        gate.machine.expire_due(LogPosition(index, index * 100))
        command = random_command(random)
        try:
            pb.ContractAnswer.FromString(
                gate.machine.apply(LogPosition(index, index * 100), command, gate.facts)
            )
        except UnreadableCommandError:
            continue
        data, other = gate.machine.snapshot(), SchemaStateMachine()
    other.restore(data)
    assert other.snapshot() == data


# Round trips of texts.


@settings(max_examples=60, deadline=None, derandomize=True)
@given(
    st.randoms(use_true_random=False),
    st.lists(
        st.text(st.characters(min_codepoint=32, max_codepoint=0x17F), min_size=1, max_size=12),
        min_size=1,
        max_size=5,
    ),
)
def test_schema_and_reads_text_round_trips(random, names):
    names = list(dict.fromkeys(normalize_name(name) for name in names if name.strip()))
    columns = tuple(
        Column(
            name,
            contract_rows.any_type(random),
            random.random() < 0.5,
            random.choice((None, "0", "'it'", "null")),
        )
        for name in names
    )
    if not columns:
        return
    schema = Schema(columns)
    assert parse_schema(str(schema)) == schema and read_schema(schema_message(schema)) == schema
    by_place = random.random() < 0.5
    reads = Reads(
        "t",
        tuple(Read(c.name, c.type, c.nullable, 2 * n if by_place else 0) for n, c in enumerate(columns, 1)),
        False,
        by_place,
    )
    assert parse_reads("t", reads_text(reads)) == reads == read_reads(reads_message(reads))
