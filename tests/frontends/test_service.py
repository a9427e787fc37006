"""HiveServer2 calls of desktop clients: metadata, logs, progress, old protocols, handles."""

import json

import pytest
from fleet import execute, fetch, outcome, status
from test_controller import ledger, play

from fennelwind.engines.connection import RemoteError
from fennelwind.frontends.hiveserver2 import rows
from fennelwind.thrift import hiveserver2 as hs2
from fennelwind.thrift.codec import decode, encode

COLUMNS_BY_CALL = {
    "GetTypeInfo": 1,
    "GetCatalogs": 1,
    "GetSchemas": 2,
    "GetTables": 5,
    "GetTableTypes": 1,
    "GetColumns": 5,
    "GetFunctions": 3,
    "GetPrimaryKeys": 4,
    "GetCrossReference": 4,
}


def ask(client, method, **more):
    request = hs2.make(f"T{method}Req", sessionHandle=client.session, **more)
    return client.call(method, request).operationHandle


@pytest.mark.parametrize("method", COLUMNS_BY_CALL)
def test_metadata_calls_are_queries_of_the_metadata_class(method):
    def main(fleet):
        client = fleet.client()
        handle = ask(client, method)
        assert handle.hasResultSet and handle.operationType == list(COLUMNS_BY_CALL).index(method) + 1 - (
            method == "GetCrossReference"
        )
        schema = client.call("GetResultSetMetadata", hs2.TGetResultSetMetadataReq(handle)).schema
        page = fetch(client, handle).results
        assert len(schema.columns) == len(page.columns) == COLUMNS_BY_CALL[method]
        assert page.columns[0].stringVal.values[2] == f"{schema.columns[0].columnName} 2".encode()
        assert ledger(fleet).counts[3] == {"taken": 1, "served": 1}
        assert sum(e.counts.metadata for e in fleet.engines) == 1

    play(main)


@pytest.mark.parametrize("fault", ["refuse", "error", "hang", "lose"])
def test_a_metadata_call_is_retried_at_another_engine(fault):
    def main(fleet):
        client = fleet.client()

        def call():
            handle = ask(client, "GetTables")
            client.call("CloseOperation", hs2.TCloseOperationReq(handle))

        for _ in range(10):  # so that the policy learns the duration, for which there is no estimate
            call()
        setattr(fleet.engines[0].faults, fault, True)
        for _ in range(12):
            call()
        assert sum(e.counts.metadata for e in fleet.engines) == 22
        failed_attempts = [a[3] for a in fleet.seen.attempts if a[3] != "ok"]
        assert 0 < len(failed_attempts) <= 4  # after that the engine gets no more

    play(main)


@pytest.mark.parametrize("fault", ["hang", "lose"])
@pytest.mark.parametrize("engines", [2, 3, 8])
def test_an_engine_that_passes_health_checks_but_loses_answers_is_avoided_within_four_queries(fault, engines):
    def main(fleet):
        setattr(fleet.engines[0].faults, fault, True)
        client, seen = fleet.client(), []
        for _ in range(12):
            seen.append(outcome(lambda: ask(client, "GetTables")))
            assert fleet.program.engine_client.check_health(fleet.engines[0].name).status == "ok"
        assert seen[4:] == ["served"] * 8
        assert len([a for a in fleet.seen.attempts if a[3] != "ok"]) <= 4

    play(main, engines=engines)


def test_metadata_fails_in_time_when_all_engines_lose_it_and_is_rejected_without_a_class():
    def main(fleet):
        for engine in fleet.engines:
            engine.faults.lose = True
        client, at = fleet.client(), fleet.loop.now()
        assert outcome(lambda: ask(client, "GetColumns")) in ("HYT00", "53000")
        assert fleet.loop.now() - at <= 2000
        return True

    assert play(main)

    def without(fleet):
        assert outcome(lambda: ask(fleet.client(), "GetTables")) == "0A000"
        assert not fleet.seen.attempts

    play(without, change=lambda text: text.replace('metadata_class: "metadata"', ""))


def test_progress_tasks_and_logs_report_running_attempts():
    def main(fleet):
        client = fleet.client()
        fleet.engines[0].faults.error = True
        handle = execute(client, "build", work=2000, asynchronous=True, **{"standin.threads": "4"})
        done, lines = [], []
        while True:
            request = hs2.TGetOperationStatusReq(operationHandle=handle, getProgressUpdate=True)
            seen = client.call("GetOperationStatus", request)
            log_page = client.call("FetchResults", hs2.TFetchResultsReq(handle, hs2.FETCH_NEXT, 100, 1))
            lines += [line.decode() for line in log_page.results.columns[0].stringVal.values]
            if seen.operationState not in (hs2.PENDING, hs2.RUNNING):
                break
            done.append(seen.progressUpdateResponse.progressedPercentage)
            fleet.loop.sleep(20)
        fleet_tasks = json.loads(seen.taskStatus)
        assert [t["taskState"] for t in fleet_tasks] == ["FINISHED"] * 2
        assert [t["returnValue"] for t in fleet_tasks] == [1, 0]
        assert max(done) > 0.2 and seen.operationCompleted > seen.operationStarted > 0
        assert lines[0] == "query 1 taken" and lines[-1].startswith("served after")
        assert any(line.startswith("attempt 0: error") for line in lines)
        assert not any("127.0.0.1" in line for line in lines)
        refetched = client.call("FetchResults", hs2.TFetchResultsReq(handle, hs2.FETCH_FIRST, 100, 1))
        assert [v.decode() for v in refetched.results.columns[0].stringVal.values] == lines
        full_log = client.call("GetLog", hs2.make("TGetLogReq", operationHandle=handle)).log
        assert full_log.splitlines() == lines

    play(main, note=50)


def test_coalesced_queries_report_the_id_of_the_executing_query():
    def main(fleet):
        clients = [fleet.client() for _ in range(2)]
        handles = [
            execute(c, "build", work=100, asynchronous=True, **{"fennelwind.request": "r"}) for c in clients
        ]
        prepared_calls = [
            c.protocol.call("GetQueryId", hs2.make("TGetQueryIdReq", operationHandle=h))
            for c, h in zip(clients, handles, strict=True)
        ]
        ids = []
        for client, (_, raw) in zip(clients, prepared_calls, strict=True):
            client.stream.write(raw)
            while not client._replies:
                client._receive()
            ids.append(client._replies.pop().body.queryId)
        assert ids[0] == ids[1] and ids[0].startswith("fennelwind_")

    play(main)


def test_protocols_before_v6_get_row_format():
    def main(fleet):
        client = fleet.client()
        opened = client.call("OpenSession", hs2.TOpenSessionReq(client_protocol=4, username="ann"))
        assert opened.serverProtocolVersion == 4
        client.session = opened.sessionHandle
        page = fetch(client, execute(client, "select 1", rows=3)).results
        assert page.columns is None
        assert [(r.colVals[0].i64Val.value, r.colVals[1].stringVal.value) for r in page.rows] == [
            (0, b"row 0"),
            (1, b"row 1"),
            (2, b"row 2"),
        ]

    play(main)


def test_every_type_and_null_converts_to_row_format():
    kinds = {
        "boolVal": ("TBoolColumn", [True, False, True]),
        "byteVal": ("TByteColumn", [1, -2, 3]),
        "i16Val": ("TI16Column", [1, -300, 3]),
        "i32Val": ("TI32Column", [1, -70_000, 3]),
        "i64Val": ("TI64Column", [1, -(2**40), 3]),
        "doubleVal": ("TDoubleColumn", [0.5, -1e300, 3.0]),
        "stringVal": ("TStringColumn", [b"a", b"", b"\xc3\xa9"]),
        "binaryVal": ("TBinaryColumn", [b"\0", b"", b"x"]),
    }
    page = hs2.TRowSet(
        startRowOffset=7,
        rows=[],
        columns=[
            hs2.TColumn(**{name: hs2.make(kind, values=values, nulls=b"\x02")})
            for name, (kind, values) in kinds.items()
        ],
    )
    codec = hs2.CODECS["TRowSet"]
    got = decode(codec, encode(codec, rows.to_row_format(page)))[0]
    assert got.startRowOffset == 7 and got.columns is None and len(got.rows) == 3
    for i, (name, (_, values)) in enumerate(kinds.items()):
        name = "stringVal" if name == "binaryVal" else name
        assert [getattr(r.colVals[i], name).value for r in got.rows] == [values[0], None, values[2]]


def test_closed_and_guessed_handles_are_unknown():
    def main(fleet):
        ann, bo = fleet.client(), fleet.client(user="bo")
        handle = execute(ann, "select 1")
        same = fetch(bo, handle)  # without authentication a handle is valid on any connection, as in Hive
        assert same.results is not None
        guessed = hs2.TOperationHandle(
            operationId=hs2.THandleIdentifier(handle.operationId.guid, b"\0" * 16),
            operationType=0,
            hasResultSet=True,
        )
        assert outcome(lambda: fetch(bo, guessed)) == "HY000"
        ann.call("CloseOperation", hs2.TCloseOperationReq(handle))
        for client in (ann, bo):
            assert outcome(lambda c=client: fetch(c, handle)) == "HY000"
            assert outcome(lambda c=client: status(c, handle)) == "HY000"
        with pytest.raises(RemoteError, match="unknown handle"):
            ann.call("CloseOperation", hs2.TCloseOperationReq(handle))

    play(main)
