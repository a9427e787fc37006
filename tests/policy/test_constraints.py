"""Constraints on engines: draining, placement and deduplication scope."""

import dataclasses

import pytest
from conftest import LOOKUP, Drive, of, sends

from fennelwind import policy

KEYED = dataclasses.replace(
    LOOKUP, idempotency="keyed", deduplication_scope="zone", deduplication_window_ms=2000.0
)


def test_keyed_query_is_retried_only_within_its_deduplication_scope_and_window():
    entries = tuple(policy.EngineEndpoint(f"e{i}", zone=i // 2) for i in range(4))
    drive = Drive(entries=entries, classes=(KEYED,))
    drive.ask(1)
    first = drive.attempt_engines[1][0]
    drive.answer(1, "error", took=10.0)
    assert {e for e in drive.attempt_engines[1]} == set(
        ("e0", "e1") if first in ("e0", "e1") else ("e2", "e3")
    )
    assert of(
        drive.answer(1, "error", took=10.0, after=2500.0), policy.FailQuery
    )  # outside the window by then, so a retry is not harmless


def test_keyed_query_that_never_ran_may_go_to_any_engine():
    entries = tuple(policy.EngineEndpoint(f"e{i}", zone=i) for i in range(2))
    drive = Drive(entries=entries, classes=(KEYED,))
    drive.ask(1)
    drive.answer(1, "connect_failed", took=1.0)
    assert sorted(drive.attempt_engines[1]) == ["e0", "e1"]


@pytest.mark.parametrize("state", ["draining", "gone"])
def test_draining_and_removed_engines_get_no_attempts(state):
    drive = Drive(engines=1)
    drive.step(policy.EngineListUpdate("delta", (policy.EngineEndpoint("e0", state=state),)))
    assert not sends(drive.ask(1)) and not sends(drive.advance(500.0))


def test_placement_holds_even_when_all_permitted_engines_are_removed():
    restricted = dataclasses.replace(LOOKUP, zones=(1,), kinds=(0,))
    entries = (
        policy.EngineEndpoint("e0", zone=0),
        policy.EngineEndpoint("e1", zone=1),
        policy.EngineEndpoint("e2", zone=1, kind=1),
    )
    drive = Drive(entries=entries, classes=(restricted,), kind_cores=(8, 8))
    assert {e for n in range(6) for _, e in sends(drive.ask(n))} == {"e1"}
    drive.step(policy.EngineListUpdate("delta", (policy.EngineEndpoint("e1", zone=1, state="gone"),)))
    assert not sends(drive.ask(10)) and not sends(drive.advance(700.0))
