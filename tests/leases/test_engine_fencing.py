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
            connection = EngineConnection(loop, engine.address, "sasl", "ann")
            connection.open()
            test(loop, engine, connection)

        loop.run(main)

    return run


def send_statement(connection, token, **options):
    return execute(connection, "EXPORT TABLE t", **{"fennelwind.fence": token}, **options)


def test_a_stale_fencing_token_is_rejected_and_a_newer_one_stops_running_statements(on_engine):
    def test(loop, engine, connection):
        older_statement = send_statement(connection, "moves:5", work=500, asynchronous=True)
        other_statement = send_statement(connection, "a:b:5", work=500, asynchronous=True)
        loop.sleep(10)
        assert outcome(lambda: send_statement(connection, "moves:9")) == "served"
        assert status(connection, older_statement).operationState == hs2.CANCELED
        assert outcome(lambda: send_statement(connection, "moves:8")) == "42501"
        assert outcome(lambda: send_statement(connection, "moves:9")) == "served"
        assert outcome(lambda: execute(connection, "select 1")) == "served"
        loop.sleep(600)
        assert (
            status(connection, other_statement).operationState == hs2.FINISHED and engine.counts.fenced == 2
        )

    on_engine(test)


def test_fencing_tokens_outlast_a_restart_and_malformed_ones_are_rejected(on_engine):
    def test(loop, engine, connection):
        for value in ("moves", ":5", "moves:", "moves:-1"):
            assert outcome(lambda value=value: send_statement(connection, value)) == "22023"
        send_statement(connection, "moves:5")
        engine.crash()
        engine.start(cold=True)
        connection = EngineConnection(loop, engine.address, "sasl", "ann")
        connection.open()
        assert outcome(lambda: send_statement(connection, "moves:4")) == "42501"

    on_engine(test)
