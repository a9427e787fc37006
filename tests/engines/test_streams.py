"""Streamed results: their pages, their limits, and failures of their engine."""

import pytest
from fleet import execute, fetch, ids, outcome
from test_controller import ledger, play

from fennelwind.dispatch.types import Result
from fennelwind.engines import row_stream
from fennelwind.engines.connection import RemoteError
from fennelwind.frontends.hiveserver2.rows import Reader
from fennelwind.loop import StreamReset
from fennelwind.thrift import hiveserver2 as hs2
from fennelwind.thrift.codec import Lazy, Malformed, decode, encode

ROWS = 20_000


def use_small_buffer(text):
    """Stream results from 50 kB on; a page of 1000 rows has about 26 kB."""
    return text.replace("max_result_bytes: 10000000", "max_result_bytes: 50000")


def open_operations_by_engine(fleet):
    return [len(e._operations) for e in fleet.engines]


def engine_client(fleet):
    return fleet.program.engine_client


def test_a_large_result_is_streamed_completely_and_releases_its_engine():
    def main(fleet):
        client = fleet.client()
        handle = execute(client, "select 1", rows=ROWS)
        got, more = [], True
        assert ledger(fleet).counts[0]["served"] == 1 and engine_client(fleet).stream_counts.begun == 1
        while more:
            page = fetch(client, handle, most=700)
            assert page.results.startRowOffset == len(got)
            got += ids(page)
            more = page.hasMoreRows
            buffered_pages = fleet.program.service.operations[handle.operationId.guid][1].reader.pages
            assert len(buffered_pages) <= 3
        assert got == list(range(ROWS)) and ids(fetch(client, handle)) == []
        assert outcome(lambda: fetch(client, handle, 5, hs2.FETCH_FIRST)) == "HYC00"
        fleet.loop.sleep(500)
        assert open_operations_by_engine(fleet) == [0, 0] and engine_client(fleet).stream_counts.lost == 0
        assert [p.streams for p in engine_client(fleet).pools.values()] == [0]
        assert outcome(lambda: execute(client, "select 1")) == "served"

    play(main, change=use_small_buffer)


def test_a_buffered_result_survives_its_engine():
    def main(fleet):
        client = fleet.client()
        handle = execute(client, "select 1", rows=1500)
        for engine in fleet.engines:
            engine.crash()
        got = ids(fetch(client, handle, most=5000))
        assert got + ids(fetch(client, handle, most=5000)) == list(range(1500))

    play(main, change=use_small_buffer)


@pytest.mark.parametrize("fault", ["crash", "cut", "hang"])
def test_a_stream_fails_with_its_engine_and_is_not_retried_elsewhere(fault, monkeypatch):
    monkeypatch.setattr(row_stream, "PAGE_TIMEOUT_MS", 300.0)

    def main(fleet):
        client = fleet.client()
        handle = execute(client, "select 1", rows=ROWS)
        got = ids(fetch(client, handle, most=1000))
        if fault == "crash":
            for engine in fleet.engines:
                engine.crash()
        elif fault == "cut":
            for engine in fleet.engines:
                engine.faults.cut = True
        else:
            for engine in fleet.engines:
                engine.faults.hang = True
        with pytest.raises(RemoteError, match=r"failed after \d+ rows") as failure:
            while True:
                got += ids(fetch(client, handle, most=1000))
        assert (
            failure.value.status.sqlState == "08S01" and got == list(range(len(got))) and 0 < len(got) < ROWS
        )
        assert outcome(lambda: fetch(client, handle)) == "08S01"
        assert sum(e.counts.statements for e in fleet.engines) == 1
        assert engine_client(fleet).stream_counts.lost == 1 and [
            p.streams for p in engine_client(fleet).pools.values()
        ] == [0]
        assert ledger(fleet).counts[0] == {"taken": 1, "served": 1}

    play(main, change=use_small_buffer)


@pytest.mark.parametrize("how", ["close", "session", "drop", "idle"])
def test_an_abandoned_stream_frees_its_connection_and_the_engines_operation(how, monkeypatch):
    monkeypatch.setattr(row_stream, "IDLE_TIMEOUT_MS", 2000.0)

    def main(fleet):
        client = fleet.client()
        handle = execute(client, "select 1", rows=ROWS)
        fetch(client, handle)
        assert sum(open_operations_by_engine(fleet)) == 1
        if how == "close":
            client.call("CloseOperation", hs2.TCloseOperationReq(handle))
        elif how == "session":
            client.call("CloseSession", hs2.make("TCloseSessionReq", sessionHandle=client.session))
        elif how == "drop":
            client.drop()
        else:
            fleet.loop.sleep(4100)
            with pytest.raises(RemoteError, match="nobody asked"):
                while True:
                    fetch(client, handle)
        fleet.loop.sleep(100)
        assert open_operations_by_engine(fleet) == [0, 0] and not any(
            p.streams for p in engine_client(fleet).pools.values()
        )

    play(main, change=use_small_buffer)


def test_the_stream_of_a_query_cancelled_as_it_finishes_is_closed():
    def main(fleet):
        client = fleet.client()
        driver = fleet.program.driver
        original_finish = driver.attempts.finish

        def finish_after_cancel(entry, number, engine, sent, end):
            if end.result is not None:
                driver.cancel(entry, "it went the moment before")
            original_finish(entry, number, engine, sent, end)

        driver.attempts.finish = finish_after_cancel
        assert outcome(lambda: execute(client, "select 1", rows=ROWS)) == "HY008"
        fleet.loop.sleep(100)
        assert open_operations_by_engine(fleet) == [0, 0] and [
            p.streams for p in engine_client(fleet).pools.values()
        ] == [0]

    play(main, change=use_small_buffer)


def test_an_engine_lost_when_streaming_starts_costs_an_attempt_and_not_the_answer(monkeypatch):
    request_page = row_stream.RowStream._request_page

    def fail_once(stream):
        monkeypatch.setattr(row_stream.RowStream, "_request_page", request_page)
        raise StreamReset("planted")

    def main(fleet):
        monkeypatch.setattr(row_stream.RowStream, "_request_page", fail_once)
        client = fleet.client()
        assert ids(fetch(client, execute(client, "select 1", rows=ROWS)))[:2] == [0, 1]
        assert [a[3] for a in fleet.seen.attempts] == ["reset", "ok"]
        assert (
            sum(p.streams for p in engine_client(fleet).pools.values())
            == 1
            == engine_client(fleet).stream_counts.begun
        )

    play(main, change=use_small_buffer)


def test_a_failed_schema_call_leaves_its_connection_usable():
    def main(fleet):
        (engine,) = fleet.engines
        original_call = engine._GetResultSetMetadata
        engine._GetResultSetMetadata = lambda request, mine: hs2.TGetResultSetMetadataResp(
            status=engine._error("no schema", "HY000")
        )
        client = fleet.client()
        assert outcome(lambda: execute(client, "load 1")) == "HYT00"
        engine._GetResultSetMetadata = original_call
        (pool,) = engine_client(fleet).pools.values()
        before = list(pool.idle)
        assert outcome(lambda: execute(client, "load 2")) == "served"
        assert [a[3] for a in fleet.seen.attempts] == ["error", "ok"]
        assert pool.idle == before and pool.count == 1  # the connection was reused

    play(main, engines=1)


def test_streams_leave_connections_for_statements():
    def main(fleet):
        clients = [fleet.client() for _ in range(6)]
        seen = [outcome(lambda c=c: execute(c, "select 1", rows=ROWS)) for c in clients]
        assert seen.count("served") == 4 and engine_client(fleet).stream_counts.begun == 4  # two per engine
        assert outcome(lambda: execute(clients[0], "select 1")) == "served"

    play(main, change=lambda text: use_small_buffer(text).replace("max_links: 50", "max_links: 4"))


def test_a_client_that_stops_reading_buffers_at_most_three_pages():
    def main(fleet):
        client = fleet.client()
        handle = execute(client, "select 1", rows=1_000_000)
        for _ in range(5):
            fetch(client, handle, most=1000)
        fleet.loop.sleep(1000)
        operation = fleet.program.service.operations[handle.operationId.guid][1]
        assert len(operation.reader.pages) <= 3
        engine = next(e for e in fleet.engines if e._operations)
        assert next(iter(engine._operations.values())).fetched <= 8000

    play(main, change=use_small_buffer)


def test_pages_are_passed_on_undecoded_and_their_rows_counted():
    plain = hs2.TRowSet(
        startRowOffset=4,
        rows=[],
        columns=[
            hs2.TColumn(stringVal=hs2.make("TStringColumn", values=[b"a", b"b"], nulls=b"\x01")),
            hs2.TColumn(i64Val=hs2.make("TI64Column", values=[1, 2], nulls=b"")),
        ],
    )
    codec = hs2.CODECS["TFetchResultsResp"]
    raw = encode(codec, hs2.TFetchResultsResp(status=hs2.TStatus(0), hasMoreRows=True, results=plain))
    reply = decode(codec, raw)[0]
    assert type(reply.results) is Lazy and hs2.row_count(reply.results) == hs2.row_count(plain) == 2
    assert encode(codec, reply) == raw and reply.results._value is None
    assert reply.results == plain and reply.results.columns[0].stringVal.values == [b"a", b"b"]
    rows = Reader(Result(None, (reply.results,)))
    lazy_page = decode(codec, raw)[0].results
    reader = Reader(Result(None, (lazy_page,)))
    assert reader.next(2)[0] is lazy_page and lazy_page._value is None
    assert rows.next(2)[0] is reply.results and rows.next(2) == (
        hs2.TRowSet(
            0,
            [],
            [
                hs2.TColumn(stringVal=hs2.make("TStringColumn", values=[], nulls=b"")),
                hs2.TColumn(i64Val=hs2.make("TI64Column", values=[], nulls=b"")),
            ],
        ),
        False,
    )
    empty = hs2.TRowSet(startRowOffset=0, rows=[], columns=[])
    assert hs2.row_count(empty) == 0 == hs2.row_count(hs2.TRowSet(0, []))
    by_row = hs2.TRowSet(0, [hs2.make("TRow", colVals=[])] * 3)
    assert hs2.row_count(by_row) == 3


def test_a_page_with_fields_in_another_order_is_counted_by_decoding():
    encoded = (
        b"\x0a\0\1"
        + b"\0" * 8
        + b"\x0f\0\3\x0c\0\0\0\1"
        + b"\x0c\0\5"
        + (b"\x0b\0\2\0\0\0\0" + b"\x0f\0\1\x0a\0\0\0\2" + b"\0" * 16 + b"\0")
        + b"\0"
        + b"\0"
    )
    page = Lazy(hs2.CODECS["TRowSet"], encoded)
    assert hs2.row_count(page) == 2 and page.columns[0].i64Val.values == [0, 0]
    with pytest.raises(Malformed):
        hs2.row_count(Lazy(hs2.CODECS["TRowSet"], encoded[:5]))
