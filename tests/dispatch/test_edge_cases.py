"""Many clients at once, exact size limits, timeouts below a round trip, handles shared by connections."""

import pytest
from fleet import execute, fetch, ids, outcome
from test_controller import ledger, play

from fennelwind.engines.connection import RemoteError
from fennelwind.loop import StreamReset
from fennelwind.thrift import hiveserver2 as hs2
from fennelwind.thrift.codec import Malformed
from fennelwind.thrift.messages import CALL, write_message


def with_high_limits(text):
    return (
        text.replace("max_connections: 100", "max_connections: 600")
        .replace("max_sessions: 100", "max_sessions: 600")
        .replace("max_sessions_per_user: 100", "max_sessions_per_user: 600")
    )


def test_500_clients_that_arrive_in_the_same_10_ms_each_get_one_answer_in_time():
    def main(fleet):
        loop, ends = fleet.loop, []

        def arrive(i):
            loop.sleep(i / 50)
            started_ms = loop.now()
            client = fleet.client(("sasl", "buffered", "framed", "http")[i % 4])
            end = outcome(lambda: execute(client, "select 1", timeout=3))
            ends.append((end, loop.now() - started_ms))

        tasks = [loop.spawn(arrive, i, name=f"arrive {i}") for i in range(500)]
        for task in tasks:
            task.join()
        outcomes = [end for end, _ in ends]
        assert len(outcomes) == 500 and set(outcomes) <= {"served", "53000"}
        assert outcomes.count("served") > 200 and max(took_ms for _, took_ms in ends) < 3000
        assert ledger(fleet).counts[0]["taken"] == 500 and ledger(fleet).is_balanced()

    play(main, change=with_high_limits, engines=4)


@pytest.mark.parametrize("transport", ["sasl", "buffered", "framed", "http"])
def test_a_statement_of_the_maximum_size_is_accepted_and_one_byte_more_is_not(transport):
    limit = 1_000_000  # the test fleet's max_request_bytes; a limit of 16 MiB takes the same code path

    def main(fleet):
        def size_and_request(client, padding):
            request = hs2.TExecuteStatementReq(client.session, "select " + "x" * padding, {}, False)
            return len(write_message("ExecuteStatement", CALL, 1, request)), request

        client = fleet.client(transport)
        padding = limit - size_and_request(client, 0)[0]
        assert size_and_request(client, padding)[0] == limit
        assert (
            client.call("ExecuteStatement", size_and_request(client, padding)[1]).operationHandle is not None
        )
        other = fleet.client(transport)
        with pytest.raises((StreamReset, Malformed)):
            client.call("ExecuteStatement", size_and_request(client, padding + 1)[1])
        assert outcome(lambda: execute(other, "select 1")) == "served"
        assert ledger(fleet).counts[0] == {"taken": 2, "served": 2}

    play(main)


def test_a_timeout_shorter_than_a_round_trip_is_answered_at_once_without_an_attempt():
    def main(fleet):
        client = fleet.client()
        for timeout in ("0", "0.001", "1", "29"):
            started_ms = fleet.loop.now()
            assert (
                outcome(lambda t=timeout: execute(client, "select 1", **{"fennelwind.timeout_ms": t}))
                == "53000"
            )
            assert fleet.loop.now() - started_ms < 5
        assert not fleet.seen.attempts and ledger(fleet).is_balanced()
        assert fleet.program.driver.unanswered_by_policy == 0

    play(main)


def test_two_connections_that_fetch_from_one_handle_share_its_rows():
    def main(fleet):
        sasl_client, http_client = fleet.client(), fleet.client("http")
        for is_streamed in (1, 0):
            handle = execute(sasl_client, "select 1", rows=20_000 if is_streamed else 3000)
            received, tasks = [], []

            def read(client, handle=handle, received=received):
                has_more = True
                while has_more:
                    try:
                        page = fetch(client, handle, most=500)
                    except RemoteError as exc:  # both wait for the same page of a stream
                        assert "at a time" in str(exc)
                        fleet.loop.sleep(1)
                        continue
                    received.extend(ids(page))
                    has_more = page.hasMoreRows

            tasks = [fleet.loop.spawn(read, client) for client in (sasl_client, http_client)]
            for task in tasks:
                task.join()
            assert sorted(received) == list(range(20_000 if is_streamed else 3000))

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
