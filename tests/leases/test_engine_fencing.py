"""Emulated engines reject statements that carry a stale fencing token."""

import pytest
from fleet import Fleet, execute, outcome, status

from fennelwind.engines.connection import EngineConnection
from fennelwind.loop import SimLoop
from fennelwind.thrift import hiveserver2 as hs2


@pytest.fixture
def on_engine():
    """Return a function that runs a test body with an engine and a connection to it."""

    def run(test):
        loop = SimLoop(1)

        def main():
            engine = Fleet(loop, engines=1).engines[0]
            link = EngineConnection(loop, engine.address, "sasl", "ann")
            link.open()
            test(loop, engine, link)

        loop.run(main)

    return run


def sent(link, fence, **more):
    return execute(link, "EXPORT TABLE t", **{"fennelwind.fence": fence}, **more)


def test_a_stale_fencing_token_is_rejected_and_a_newer_one_stops_running_statements(on_engine):
    def test(loop, engine, link):
        old = sent(link, "moves:5", work=500, asynchronous=True)
        other = sent(link, "a:b:5", work=500, asynchronous=True)
        loop.sleep(10)
        assert outcome(lambda: sent(link, "moves:9")) == "served"
        assert status(link, old).operationState == hs2.CANCELED
        assert outcome(lambda: sent(link, "moves:8")) == "42501"
        assert outcome(lambda: sent(link, "moves:9")) == "served"
        assert outcome(lambda: execute(link, "select 1")) == "served"
        loop.sleep(600)
        assert status(link, other).operationState == hs2.FINISHED and engine.counts.fenced == 2

    on_engine(test)


def test_fencing_tokens_outlast_a_restart_and_malformed_ones_are_rejected(on_engine):
    def test(loop, engine, link):
        for value in ("moves", ":5", "moves:", "moves:-1"):
            assert outcome(lambda value=value: sent(link, value)) == "22023"
        sent(link, "moves:5")
        engine.crash()
        engine.start(cold=True)
        link = EngineConnection(loop, engine.address, "sasl", "ann")
        link.open()
        assert outcome(lambda: sent(link, "moves:4")) == "42501"

    on_engine(test)
