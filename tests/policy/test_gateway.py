"""The gateway: engine lists, unexpected events and invalid settings."""

import dataclasses

import pytest
from conftest import REPORT, Drive, of, sends, settings

from fennelwind import policy


def test_engine_missing_from_a_full_list_is_removed():
    drive = Drive(engines=2)
    drive.step(policy.EngineListUpdate("full", (policy.EngineEndpoint("e0"),)))
    assert {e for n in range(6) for _, e in sends(drive.ask(n))} == {"e0"}


def test_subscribes_once_and_again_after_a_failure():
    drive = Drive(requires_subscription=True)
    assert not of(drive.advance(2000.0), policy.SubscribeToEngines)  # once, at the start
    drive.step(policy.EngineListUpdate("failed"))
    assert len(of(drive.advance(2000.0), policy.SubscribeToEngines)) == 1


def test_unexpected_events_are_ignored():
    drive = Drive()
    before = dict(drive.gateway.engines)
    unexpected = [
        policy.AttemptEnded(9, 0, "e0", "ok", 1.0, True),
        policy.ClientDisconnected(9),
        policy.ResultStarted(9, 0),
        policy.TimerFired(99),
        policy.AttemptProgress(9, 0, 1, 0.5),
        policy.PeerMessageReceived(5, b"\xff"),
        policy.HealthChecked("zz", "ok", 1.0),
    ]
    assert not [a for a in drive.step(*unexpected) if not isinstance(a, policy.StartTimer)]
    assert drive.gateway.engines == before
    drive.ask(1)
    drive.answer(1)
    assert not sends(drive.answer(1)) and not drive.gateway.queries  # reported twice


@pytest.mark.parametrize(
    "change,name",
    [
        ({"classes": ()}, "classes"),
        ({"gateway_count": 0}, "gateway_count"),
        ({"retry_budget_window_ms": -1.0}, "retry_budget_window_ms"),
        ({"resolution_ms": 0.0}, "resolution_ms"),
        ({"classes": (dataclasses.replace(REPORT, latency_objective_ms=0.0),)}, "latency_objective_ms"),
    ],
)
def test_invalid_setting_is_named_in_the_error(change, name):
    with pytest.raises(ValueError, match=name):
        settings(**change)
