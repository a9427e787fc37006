"""Herds, limits to the byte, time-outs shorter than a round trip, handles shared between connections."""

import pytest
from fleet import execute, fetch, ids, outcome
from test_controller import ledger, play

from fennelwind.engines.connection import RemoteError
from fennelwind.loop import StreamReset
from fennelwind.thrift import hiveserver2 as hs2
from fennelwind.thrift.codec import Malformed
from fennelwind.thrift.messages import CALL, write_message


def roomy(text):
    return (
        text.replace("max_connections: 100", "max_connections: 600")
        .replace("max_sessions: 100", "max_sessions: 600")
        .replace("max_sessions_per_user: 100", "max_sessions_per_user: 600")
    )


def test_500_clients_that_arrive_in_the_same_10_ms_each_get_one_answer_in_time():
    def main(fleet):
        loop, took = fleet.loop, []

        def arrive(i):
            loop.sleep(i / 50)
            began = loop.now()
            client = fleet.client(("sasl", "buffered", "framed", "http")[i % 4])
            end = outcome(lambda: execute(client, "select 1", timeout=3))
            took.append((end, loop.now() - began))

        tasks = [loop.spawn(arrive, i, name=f"arrive {i}") for i in range(500)]
        for task in tasks:
            task.join()
        ends = [end for end, _ in took]
        assert len(ends) == 500 and set(ends) <= {"served", "53000"}
        assert ends.count("served") > 200 and max(ms for _, ms in took) < 3000
        assert ledger(fleet).counts[0]["taken"] == 500 and ledger(fleet).is_balanced()

    play(main, change=roomy, engines=4)


@pytest.mark.parametrize("transport", ["sasl", "buffered", "framed", "http"])
def test_a_statement_of_the_maximum_size_is_accepted_and_one_byte_more_is_not(transport):
    limit = 1_000_000  # the test fleet's max_request_bytes; 16 MiB passes the same lines

    def main(fleet):
        def size(client, letters):
            request = hs2.TExecuteStatementReq(client.session, "select " + "x" * letters, {}, False)
            return len(write_message("ExecuteStatement", CALL, 1, request)), request

        client = fleet.client(transport)
        rest = limit - size(client, 0)[0]
        assert size(client, rest)[0] == limit
        assert client.call("ExecuteStatement", size(client, rest)[1]).operationHandle is not None
        other = fleet.client(transport)
        with pytest.raises((StreamReset, Malformed)):
            client.call("ExecuteStatement", size(client, rest + 1)[1])
        assert outcome(lambda: execute(other, "select 1")) == "served"
        assert ledger(fleet).counts[0] == {"taken": 2, "served": 2}

    play(main)


def test_a_timeout_shorter_than_a_round_trip_is_answered_at_once_without_an_attempt():
    def main(fleet):
        client = fleet.client()
        for timeout in ("0", "0.001", "1", "29"):
            at = fleet.loop.now()
            assert (
                outcome(lambda t=timeout: execute(client, "select 1", **{"fennelwind.timeout_ms": t}))
                == "53000"
            )
            assert fleet.loop.now() - at < 5
        assert not fleet.seen.attempts and ledger(fleet).is_balanced()
        assert fleet.program.driver.unanswered_by_policy == 0

    play(main)


def test_two_connections_that_read_one_answer_share_its_rows():
    def main(fleet):
        ann, bo = fleet.client(), fleet.client("http")
        for change in (1, 0):
            handle = execute(ann, "select 1", rows=20_000 if change else 3000)
            got, tasks = [], []

            def read(client, handle=handle, got=got):
                more = True
                while more:
                    try:
                        page = fetch(client, handle, most=500)
                    except RemoteError as exc:  # both wait for the same page of a stream
                        assert "at a time" in str(exc)
                        fleet.loop.sleep(1)
                        continue
                    got.extend(ids(page))
                    more = page.hasMoreRows

            tasks = [fleet.loop.spawn(read, client) for client in (ann, bo)]
            for task in tasks:
                task.join()
            assert sorted(got) == list(range(20_000 if change else 3000))

    play(main, change=lambda text: text.replace("max_result_bytes: 10000000", "max_result_bytes: 100000"))


@pytest.mark.parametrize("when", ["before", "during", "after", "twice"])
def test_cancel_before_during_and_after_the_end(when):
    def main(fleet):
        client = fleet.client()
        handle = execute(client, "build", work=400, asynchronous=True, **{"standin.threads": "4"})
        fleet.loop.sleep({"before": 0, "during": 50, "after": 400, "twice": 50}[when])
        cancel = hs2.TCancelOperationReq(handle)
        for _ in range(2 if when == "twice" else 1):
            assert client.call("CancelOperation", cancel).status.statusCode == hs2.SUCCESS
        seen = client.call("GetOperationStatus", hs2.TGetOperationStatusReq(handle))
        assert seen.operationState == (hs2.FINISHED if when == "after" else hs2.CANCELED)
        fleet.loop.sleep(200)
        assert not any(e._running for e in fleet.engines)
        assert ledger(fleet).counts[1] == {"taken": 1, "served" if when == "after" else "left": 1}

    play(main)
