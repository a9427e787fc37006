"""Clients of the public service, of different make, in processes of their own: every type is read back."""

import pickle
import subprocess
import sys
from datetime import date, datetime
from decimal import Decimal

import pytest
from test_controller import ledger, play

from fennelwind.loop import RealLoop

ROWS = 14
BY_CURSOR = """cursor.execute("select every type", configuration={"standin.rows": "14", "standin.types": "1"})
rows = cursor.fetchall()
names = [c[0] for c in cursor.description]
try:
    cursor.execute("select nothing", configuration={"standin.sqlstate": "42S02"})
except Exception as exc:
    error = str(exc)
"""
SCRIPTS = {
    "impyla": """
from impala.dbapi import connect
there = connect("127.0.0.1", port, auth_mechanism="PLAIN", user="ann", password="x")
cursor = there.cursor()
cursor.execute("use sales")
"""
    + BY_CURSOR
    + """cursor.get_tables()
tables = len(cursor.fetchall())
""",
    "pyhive": """
from pyhive import hive
there = hive.connect("127.0.0.1", port, username="ann", auth="NOSASL",
                     configuration={"standin.rows": "14", "standin.types": "1"})
cursor = there.cursor()
cursor.execute("use sales")
cursor.execute("select every type")
rows = cursor.fetchall()
names = [c[0] for c in cursor.description]
cursor.execute("set standin.sqlstate=42S02")
try:
    cursor.execute("select nothing")
except Exception as exc:
    error = str(exc)
tables = 3
""",
    "fennelwind": """
from fennelwind import client
there = client.connect("127.0.0.1", port, user="ann", database="sales")
cursor = there.cursor()
"""
    + BY_CURSOR
    + "tables = 3\n",
    "apache thrift, generated": """
from thrift.protocol.TBinaryProtocol import TBinaryProtocol
from thrift.transport import THttpClient
from TCLIService import TCLIService, ttypes as t
transport = THttpClient.THttpClient(f"http://ann:x@127.0.0.1:{http}/cliservice")
service = TCLIService.Client(TBinaryProtocol(transport))
session = service.OpenSession(t.TOpenSessionReq(client_protocol=9, username="ann")).sessionHandle
def run(statement, **conf):
    return service.ExecuteStatement(t.TExecuteStatementReq(session, statement, conf or None, False))
run("use sales")
handle = run("select every type", **{"standin.rows": "14", "standin.types": "1"}).operationHandle
schema = service.GetResultSetMetadata(t.TGetResultSetMetadataReq(handle)).schema
names = [c.columnName for c in schema.columns]
columns = []
for column in service.FetchResults(t.TFetchResultsReq(handle, 0, 100)).results.columns:
    values = next(v for v in vars(column).values() if v is not None)
    nulls = int.from_bytes(values.nulls, "little")
    columns.append([None if nulls >> i & 1 else v for i, v in enumerate(values.values)])
rows = list(zip(*columns))
error = run("select nothing", **{"standin.sqlstate": "42S02"}).status.errorMessage
handle = service.GetTables(t.TGetTablesReq(session)).operationHandle
tables = len(service.FetchResults(t.TFetchResultsReq(handle, 0, 100)).results.columns[0].stringVal.values)
""",
}
FRAME = """
import sys, pickle
port, http = map(int, sys.argv[1:])
%s
sys.stdout.buffer.write(pickle.dumps((rows, names, error, tables)))
"""


def same(kind, got, n):
    """Tell whether a client read a value right; text where its make knows no better type."""
    expected = {
        0: n % 2 == 0,
        1: n - 100,
        2: n - 30_000,
        3: n - 2_000_000_000,
        4: n - 2**62,
        5: n / 4,
        6: n * 1e300,
        7: f"é {n}",
        8: datetime(2026, 12, 1, 10, 20, n, 500_000),
        9: bytes([0, 255, n]),
        15: Decimal(f"{n}.10"),
        17: date(2026, 12, n + 1),
    }[kind]
    text = {8: f"2026-12-01 10:20:{n:02}.5", 15: f"{n}.10", 17: f"2026-12-{n + 1:02}"}.get(kind)
    if isinstance(got, bytes) and kind != 9:
        got = got.decode()
    return got == expected or text is not None and got == text


@pytest.mark.parametrize("make", SCRIPTS)
def test_every_type_is_read_back_equal(make):
    loop, got = RealLoop(), []

    def main(fleet):
        ports = fleet.program.address.port, fleet.program.http.listener.address.port
        user = subprocess.Popen(
            [sys.executable, "-c", FRAME % SCRIPTS[make], *map(str, ports)], stdout=subprocess.PIPE
        )
        while user.poll() is None:
            loop.sleep(5)
        with user.stdout:
            got.extend(pickle.loads(user.stdout.read()))  # noqa: S301 - our own process wrote it
        assert sum(e.counts.databases["sales"] for e in fleet.engines) == 2
        assert ledger(fleet).counts[0] == {"taken": 2, "served": 2}

    play(main, loop)
    rows, names, error, tables = got
    kinds = [int(name.rpartition(".")[2].removeprefix("c")) for name in names]
    assert len(rows) == ROWS and len(kinds) == 12 and tables == 3
    for n, row in enumerate(rows):
        for position, (kind, value) in enumerate(zip(kinds, row, strict=True)):
            assert value is None if n == position else same(kind, value, n), (make, n, kind, value)
    assert "error 42S02 of its own" in error
