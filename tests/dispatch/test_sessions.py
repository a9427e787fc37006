"""The state of a client's session: what is recorded, what goes to engines, what is rejected."""

import pytest

from fennelwind.dispatch.sessions import (
    MAX_SETTINGS,
    MAX_VALUE_CHARS,
    SessionError,
    SessionState,
    strip_leading_comments,
)


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
    assert state.apply(statement)
    assert state.configuration(None) == {"opened": "1", **then}
    mine = dict.fromkeys(then, "mine")
    assert state.configuration(mine) == {"opened": "1", **mine}
    assert state.apply("reset") and state.configuration({}) == {"opened": "1"}


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
    assert state.apply(statement) and state.database == database


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
    assert not state.apply(statement)
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
def test_state_that_lives_in_one_engines_session_is_rejected_by_name(statement):
    with pytest.raises(SessionError, match="one engine's session") as refused:
        SessionState().apply(statement)
    assert refused.value.state == "0A000"


def test_a_session_opens_with_settings_and_a_database_by_hives_keys():
    state = SessionState({"use:database": "sales", "set:hiveconf:a": "1", "set:hivevar:b": "2", "c": "3"})
    assert state.database == "sales" and state.configuration(None) == {"a": "1", "b": "2", "c": "3"}


def test_a_sessions_settings_are_bounded():
    state = SessionState()
    for i in range(MAX_SETTINGS):
        state.apply(f"set s{i}=1")
    assert state.apply("set s0=2")  # known ones may change
    with pytest.raises(SessionError) as full:
        state.apply("set one.more=1")
    with pytest.raises(SessionError) as long:
        state.apply("set s0=" + "x" * (MAX_VALUE_CHARS + 1))
    assert (full.value.state, long.value.state) == ("54000", "22001")
    assert state.settings["s0"] == "2" and len(state.settings) == MAX_SETTINGS


def test_comments_without_an_end_do_not_hide_a_statement():
    assert strip_leading_comments("/* open select 1") == "/* open select 1"
    assert strip_leading_comments("-- all of it") == ""
    assert strip_leading_comments(" \n-- a\n /* b\n c */ select 1") == "select 1"
