"""Decisions around the module: margin, admission, session state, verdicts, links by database, repeats."""

from random import Random

import pytest

from fennelwind.dispatch.sessions import SETTINGS_MOST, VALUE_MOST, SessionError, SessionState, bare
from fennelwind.engines.connection_pool import choose_idle
from fennelwind.engines.statement_status import StatementStatus, classify
from fennelwind.limits.admission import Admission, AdmissionLimits, SharedLimit
from fennelwind.limits.answer_margin import AnswerMargin
from fennelwind.recovery import request_coalescing
from fennelwind.recovery.request_coalescing import RequestCoalescer, request_fingerprint
from fennelwind.thrift import hints

# The margin of answers.


def test_the_margin_stays_above_nearly_all_answers_and_comes_back_down():
    margin, random, late = AnswerMargin(1.0, 400.0), Random(1), 0
    for i in range(20_000):
        took = random.lognormvariate(1.0, 0.6)  # median 2.7 ms, 99th 11 ms
        late += i >= 1000 and took > margin.ms
        margin.delivered(took)
    assert late < 0.002 * 19_000 and 11.0 < margin.ms < 60.0
    high = margin.ms
    for _ in range(3000):
        margin.delivered(0.1)
    assert margin.ms < high / 5


def test_the_margin_rises_within_a_few_answers_and_one_stall_is_no_new_normal():
    margin = AnswerMargin(10.0, 400.0)
    for _ in range(8):
        margin.delivered(100.0)
    assert margin.ms >= 100.0
    calm = AnswerMargin(10.0, 400.0)
    calm.delivered(60_000.0)
    assert calm.ms <= 30.0


def test_the_margin_keeps_its_bounds():
    margin = AnswerMargin(5.0, 50.0)
    assert margin.ms == 5.0
    for _ in range(1000):
        margin.delivered(1e6)
    assert margin.ms == 50.0
    for _ in range(20_000):
        margin.delivered(0.0)
    assert margin.ms == 5.0
    for bounds in ((0.0, 10.0), (20.0, 10.0)):
        with pytest.raises(ValueError, match="margin"):
            AnswerMargin(*bounds)


# Admission.


def test_a_holder_has_a_bound_of_its_own_and_the_whole_has_one():
    limit = SharedLimit("sessions", 10, 6)
    assert [limit.acquire("ann") for _ in range(6)] == [None] * 6
    assert limit.acquire("ann") == "ann has 6 sessions open, which is the limit for one"
    assert [limit.acquire("bo") for _ in range(4)] == [None] * 4
    assert limit.acquire("cy") == "10 sessions are open, which is the limit"
    limit.release("ann")
    assert limit.acquire("cy") is None and limit.rejected == 2
    for holder, count in (("ann", 5), ("bo", 4), ("cy", 1)):
        for _ in range(count):
            limit.release(holder)
    assert limit.total == 0 and not limit.in_use


def test_when_the_whole_is_nearly_used_up_those_who_hold_least_come_first():
    limit = SharedLimit("connections", 100, 90)
    assert all(limit.acquire("herd") is None for _ in range(80))
    assert limit.acquire("herd") == "80 connections are open, and herd has 80 of them"
    assert all(limit.acquire(f"other {i}") is None for i in range(20))
    alone = SharedLimit("connections", 100, 100)  # behind a proxy all come from one address
    assert all(alone.acquire("proxy") is None for _ in range(100))


def test_bytes_over_a_users_rate_delay_that_user_alone():
    limits = Admission(AdmissionLimits(1, 1, 1, 1, bytes_per_s_by_user=1000.0))
    assert limits.consume_bytes("ann", 2000, 0.0) == 0.0  # two seconds' worth may come at once
    assert limits.consume_bytes("ann", 500, 0.0) == 500.0
    assert limits.consume_bytes("bo", 500, 0.0) == 0.0
    assert limits.consume_bytes("ann", 100, 1000.0) == 0.0  # 500 back, 100 spent: 400 left
    assert limits.consume_bytes("ann", 1_000_000, 1000.0) == 5000.0 and limits.delayed == 2
    assert Admission(AdmissionLimits(1, 1, 1, 1, 0.0)).consume_bytes("ann", 10**12, 0.0) == 0.0


def test_users_who_were_quiet_for_long_are_forgotten():
    limits = Admission(AdmissionLimits(1, 1, 1, 1, bytes_per_s_by_user=1000.0))
    for i in range(500):
        limits.consume_bytes(f"user {i}", 10, float(i))
    limits.consume_bytes("late", 10, 200_000.0)
    assert list(limits._buckets) == ["late"]


# What sessions are made of.


@pytest.mark.parametrize(
    ("statement", "then"),
    [
        ("SET hive.exec.parallel=true", {"hive.exec.parallel": "true"}),
        ("set  a.b = x y ;", {"a.b": "x y"}),
        ("-- why\n/* and */ set a=1", {"a": "1"}),
        ("set a=", {"a": ""}),
    ],
)
def test_settings_are_recorded_and_go_with_every_statement(statement, then):
    state = SessionState({"opened": "1"})
    assert state.take(statement)
    assert state.configuration(None) == {"opened": "1", **then}
    mine = dict.fromkeys(then, "mine")
    assert state.configuration(mine) == {"opened": "1", **mine}
    assert state.take("reset") and state.configuration({}) == {"opened": "1"}


@pytest.mark.parametrize(
    ("statement", "database"),
    [
        ("use sales", "sales"),
        ("USE `sales`;", "sales"),
        ("-- x\nuse sales ; ", "sales"),
    ],
)
def test_use_is_recorded(statement, database):
    state = SessionState()
    assert state.take(statement) and state.database == database


@pytest.mark.parametrize(
    "statement",
    [
        "select 1",
        "set",
        "set -v",
        "settle",
        "user x",
        "use",
        "use a b",
        "reset a",
        "create table t (a int)",
        "insert into t select 'use x'",
        "add",
        "with a as (select 1) select * from a",
        "",
    ],
)
def test_all_else_goes_to_an_engine(statement):
    state = SessionState()
    assert not state.take(statement)
    assert (state.settings, state.database) == ({}, "")


@pytest.mark.parametrize(
    "statement",
    [
        "create temporary table t (a int)",
        "CREATE  TEMPORARY\nEXTERNAL TABLE t",
        "create temporary function f as 'x'",
        "create temporary macro m(x int) x",
        "add jar /x.jar",
        "ADD FILES a b",
        "/* x */ add archive z",
    ],
)
def test_state_that_lives_in_one_engines_session_is_refused_by_name(statement):
    with pytest.raises(SessionError, match="one engine's session") as refused:
        SessionState().take(statement)
    assert refused.value.state == "0A000"


def test_what_a_session_opens_with_in_hives_words():
    state = SessionState({"use:database": "sales", "set:hiveconf:a": "1", "set:hivevar:b": "2", "c": "3"})
    assert state.database == "sales" and state.configuration(None) == {"a": "1", "b": "2", "c": "3"}


def test_a_sessions_settings_are_bounded():
    state = SessionState()
    for i in range(SETTINGS_MOST):
        state.take(f"set s{i}=1")
    assert state.take("set s0=2")  # known ones may change
    with pytest.raises(SessionError) as full:
        state.take("set one.more=1")
    with pytest.raises(SessionError) as long:
        state.take("set s0=" + "x" * (VALUE_MOST + 1))
    assert (full.value.state, long.value.state) == ("54000", "22001")
    assert state.settings["s0"] == "2" and len(state.settings) == SETTINGS_MOST


def test_comments_without_an_end_do_not_hide_a_statement():
    assert bare("/* open select 1") == "/* open select 1"
    assert bare("-- all of it") == ""
    assert bare(" \n-- a\n /* b\n c */ select 1") == "select 1"


# What an engine's error means.


@pytest.mark.parametrize(
    ("state", "said", "meaning"),
    [
        ("42000", [], StatementStatus.STATEMENT_ERROR),
        ("42S02", None, StatementStatus.STATEMENT_ERROR),
        ("22012", [], StatementStatus.STATEMENT_ERROR),
        ("23505", [], StatementStatus.STATEMENT_ERROR),
        ("3F000", [], StatementStatus.STATEMENT_ERROR),
        ("08S01", [], StatementStatus.ENGINE_ERROR),
        ("HY000", [], StatementStatus.ENGINE_ERROR),
        ("53000", [], StatementStatus.ENGINE_ERROR),
        ("40001", [], StatementStatus.ENGINE_ERROR),
        ("XX000", [], StatementStatus.ENGINE_ERROR),
        (None, None, StatementStatus.ENGINE_ERROR),
        ("", [], StatementStatus.ENGINE_ERROR),
        ("42", [], StatementStatus.ENGINE_ERROR),
        ("42S02extra", [], StatementStatus.ENGINE_ERROR),
        ("42000", [hints.write(hints.NOT_RUN)], StatementStatus.REJECTED),
        (None, [hints.write(hints.NOT_RUN)], StatementStatus.REJECTED),
    ],
)
def test_an_engines_error_is_an_answer_a_turning_away_or_a_fault(state, said, meaning):
    assert classify(state, said) == meaning


@pytest.mark.parametrize(
    ("idle", "wanted", "chosen"),
    [
        ([], "", None),
        ([], "a", None),
        ([""], "", 0),
        (["a"], "", None),
        (["a", "b"], "a", 0),
        (["a", "b", "a", "c"], "a", 2),
        (["b", "c"], "a", 1),
        (["", "a", ""], "", 2),
    ],
)
def test_links_are_chosen_by_where_they_stand(idle, wanted, chosen):
    assert choose_idle(idle, wanted) == chosen


# Repeats of requests.


@pytest.mark.parametrize(
    ("is_rejected", "is_failed", "is_idempotent", "deadline_ms", "runs_again"),
    [
        (True, False, False, 11.0, True),
        (True, False, False, 10.0, False),
        (False, True, True, 11.0, True),
        (False, True, False, 11.0, False),
        (False, False, True, 11.0, False),
        (False, True, True, 9.0, False),
    ],
)
def test_an_entry_with_more_time_runs_again_where_the_class_allows(
    is_rejected, is_failed, is_idempotent, deadline_ms, runs_again
):
    found = request_coalescing.should_run_again(
        is_rejected=is_rejected,
        is_failed=is_failed,
        is_idempotent=is_idempotent,
        execution_deadline_ms=10.0,
        answer_deadline_ms=deadline_ms,
    )
    assert found is runs_again


def test_requests_of_other_users_tenants_classes_and_statements_never_meet():
    parts = ("ann", 0, 1, "r1", "select 1")
    others = [
        ("bo", 0, 1, "r1", "select 1"),
        ("ann", 1, 1, "r1", "select 1"),
        ("ann", 0, 2, "r1", "select 1"),
        ("ann", 0, 1, "r2", "select 1"),
        ("ann", 0, 1, "r1", "select 2"),
        ("an", 0, 1, "nr1", "select 1"),
        ("ann0", 1, 1, "r1", "select 1"),
        ("ann", 0, 1, "r1s", "elect 1"),
    ]
    others += [
        (*parts, "sales"),
        (*parts, "", {"a": "1"}),
        (*parts, "", {"a": "2"}),
        (*parts, "a", {"1": ""}),
    ]
    names = [request_fingerprint(*each) for each in (parts, *others)]
    assert len(set(names)) == len(names) and names[0] == request_fingerprint(*parts)
    assert request_fingerprint(*parts, "", {"a": "1", "b": "2"}) == request_fingerprint(
        *parts, "", {"b": "2", "a": "1"}
    )


def test_who_joins_gets_the_end_in_order_and_the_last_to_leave_ends_it():
    known = RequestCoalescer()
    request = known.track(b"n", "query", "first")
    assert known.find(b"n") is request
    assert known.join(request, "second") and known.join(request, "third")
    assert not known.leave(request, "first")
    assert known.forget("query") == (b"n", ["second", "third"])
    assert known.find(b"n") is None and known.forget("query") == (b"", []) and not len(known)
    again = known.track(b"n", "query 2", "first")
    assert known.leave(again, "first") and known.joined == 2


def test_requests_and_those_who_wait_for_one_are_bounded(monkeypatch):
    monkeypatch.setattr(request_coalescing, "MAX_REQUESTS", 2)
    monkeypatch.setattr(request_coalescing, "MAX_WAITERS", 3)
    known = RequestCoalescer()
    one = known.track(b"1", 1, "a")
    known.track(b"2", 2, "a")
    assert known.track(b"3", 3, "a") is None and known.untracked == 1
    assert known.join(one, "b") and known.join(one, "c") and not known.join(one, "d") and known.rejected == 1
