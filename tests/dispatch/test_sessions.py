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
    overlay = dict.fromkeys(then, "mine")
    assert state.configuration(overlay) == {"opened": "1", **overlay}
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
def test_other_statements_go_to_an_engine(statement):
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
def test_statements_that_create_state_in_one_engines_session_are_rejected(statement):
    with pytest.raises(SessionError, match="one engine's session") as rejected:
        SessionState().apply(statement)
    assert rejected.value.state == "0A000"


def test_a_session_opens_with_the_settings_and_database_of_hives_keys():
    state = SessionState({"use:database": "sales", "set:hiveconf:a": "1", "set:hivevar:b": "2", "c": "3"})
    assert state.database == "sales" and state.configuration(None) == {"a": "1", "b": "2", "c": "3"}


def test_the_settings_of_a_session_are_limited():
    state = SessionState()
    for i in range(MAX_SETTINGS):
        state.apply(f"set s{i}=1")
    assert state.apply("set s0=2")  # settings that are already recorded may change
    with pytest.raises(SessionError) as too_many:
        state.apply("set one.more=1")
    with pytest.raises(SessionError) as too_long:
        state.apply("set s0=" + "x" * (MAX_VALUE_CHARS + 1))
    assert (too_many.value.state, too_long.value.state) == ("54000", "22001")
    assert state.settings["s0"] == "2" and len(state.settings) == MAX_SETTINGS


def test_comments_without_an_end_do_not_hide_a_statement():
    assert strip_leading_comments("/* open select 1") == "/* open select 1"
    assert strip_leading_comments("-- all of it") == ""
    assert strip_leading_comments(" \n-- a\n /* b\n c */ select 1") == "select 1"
