"""Days in virtual time keep the rules; a fault planted in the controller is found to break them."""

import dataclasses
from types import SimpleNamespace

import pytest
from simday import SimDay

from fennelwind import policy
from fennelwind.frontends.hiveserver2 import service
from fennelwind.policy.dispatch_queue import PerKeyFifo
from fennelwind.thrift import hiveserver2 as hs2


@pytest.mark.parametrize("seed", range(1, 9))
def test_a_bad_day_breaks_no_rule_and_leaves_nothing(seed):
    day = SimDay(seed)
    assert day.broken == {} and day.errors == [] and day.day.falls == []
    assert day.left == ({}, {})
    assert all(v.checks > 0 for v in day.verdicts.values())
    assert sum(c["taken"] for c in day.classes.values()) == day.day.tally.asked > 300
    assert sum(c["unanswered"] for c in day.classes.values()) == 0
    driver = day.program.driver
    assert (
        driver.ledger.duplicate_answers,
        driver.ledger.late_answers,
        driver.unanswered_by_policy,
        driver.step_errors,
    ) == (0, 0, 0, 0)


def test_the_same_seed_gives_the_same_bytes_on_every_wire():
    def wires(seed):
        return [(w.who, w.pieces) for w in SimDay(seed).recorder.wires]

    assert wires(3) == wires(3)


CUTS = """
length_ms: 6000 connections: 300 discovery_delay_ms: 0
engines { count: 2 kind: "node-8" zone: "hall-a" cell: 0 }
engines { count: 2 kind: "node-12" zone: "hall-b" cell: 1 }
loads { query_class: "%s" per_s: 30 statement: "%s 1" work_ms: %d spread: 0.3 threads: 1 rows: 1 keys: 3
        timeout_ms: 4000 }
faults { kind: %s at_ms: 500 for_ms: 2500 engines: 0 engines: 1 %s }
"""
ALL = "engines: 2 engines: 3"


def drop_an_answer(program):
    def dropping(method, request, *more):
        reply = begin(method, request, *more)
        said = getattr(request, "confOverlay", None) or {}
        if said.get("standin.tag") == "q7":
            return lambda: program.loop.sleep(60_000) or hs2.TExecuteStatementResp(status=service.success())
        return reply

    begin, program.service.begin = program.service.begin, dropping


def answer_too_late(program):
    program.driver.margin = SimpleNamespace(ms=-200.0, delivered=lambda took: None)


def gateway(*patches):
    """Replace methods of the gateway's rules: (rule, method, replacement) each."""

    def tamper(program):
        for rule, method, replacement in patches:
            rule = getattr(program.driver.gateway, rule)
            assert callable(getattr(rule, method))
            setattr(rule, method, replacement)

    return tamper


def send_at_once(program):
    program.driver.gateway.queue.key_order.is_first = lambda query: True
    assert isinstance(program.driver.gateway.queue.key_order, PerKeyFifo)


def unasked(tamper):
    """Plant the defect where nobody asks before the first byte either; by itself that stops these."""

    def both(program):
        tamper(program)
        program.driver.attempts.reason_not_to_start = lambda *_: ""

    both.stopped = tamper
    return both


def two_copies(program):
    send = program.driver._start_attempt

    def twice(entry, query, engine, timeout):
        send(entry, query, engine, timeout)
        if query % 10 == 0:
            send(entry, query, engine, timeout)

    program.driver._start_attempt = twice


def hide_drains(program):
    post = program.driver.post

    def blind(event):
        if isinstance(event, policy.EngineListUpdate):
            entries = tuple(dataclasses.replace(e, state="ready") for e in event.engines)
            event = dataclasses.replace(event, engines=entries)
        post(event)

    program.discovery.post = blind


def everywhere(query, engine, now_ms):
    return True


def always(query, now_ms):
    return not query.has_result_started and len(query.attempts) < 4


@pytest.mark.parametrize(
    ("rule", "tamper", "script"),
    [
        ("final answers", drop_an_answer, CUTS % ("lookup", "select", 40, "SLOW", "")),
        ("final answers", answer_too_late, CUTS % ("lookup", "select", 40, "LOSE", ALL)),
        (
            "effects",
            unasked(gateway(("retries", "may_retry", always))),
            CUTS % ("publish", "call", 80, "CUT", ""),
        ),
        ("effects", unasked(two_copies), CUTS % ("lookup", "select", 40, "CUT", "")),
        ("drains", hide_drains, CUTS % ("lookup", "select", 40, "DRAIN", "")),
        (
            "cold engines",
            gateway(("constraints", "permits", everywhere), ("concurrency", "limit", lambda engine: 1000.0)),
            CUTS.replace("per_s: 30", "per_s: 60") % ("lookup", "select", 1000, "CRASH", ""),
        ),
        ("order by key", send_at_once, CUTS % ("append", "insert", 80, "SLOW", "")),
        (
            "placement",
            gateway(("constraints", "permits", everywhere)),
            CUTS % ("publish", "call", 80, "SLOW", ""),
        ),
        (
            "budget",
            unasked(gateway(("retries", "is_within_budget", lambda now_ms: True))),
            CUTS % ("lookup", "select", 40, "CUT", ALL),
        ),
    ],
    ids=lambda value: value if isinstance(value, str) and len(value) < 20 else "",
)
def test_a_planted_violation_is_found(rule, tamper, script):
    script = script.replace("SLOW at_ms", "SLOW factor: 1.5 at_ms")
    assert rule not in SimDay(5, script).broken
    assert rule in SimDay(5, script, tamper).broken
    assert not hasattr(tamper, "stopped") or rule not in SimDay(5, script, tamper.stopped).broken
