"""The client library against the controller on sockets, and what it decides by itself."""

import subprocess
import sys
from ast import literal_eval
from datetime import date, datetime
from decimal import Decimal
from pathlib import Path
from threading import Thread

import pytest
from fleet import Fleet

from fennelwind import client
from fennelwind.client.retry import LEAST_MS, Retry
from fennelwind.client.types import bind, literal, read_page, type_name
from fennelwind.loop import RealLoop
from fennelwind.thrift import hiveserver2 as hs2

EXAMPLES = Path(__file__).parent.parent.parent / "examples"


def play(user, prepare=lambda fleet: None, **fleet_options):
    """Run `user(host, port)` in a thread beside a fleet; return what it returned and the fleet."""
    loop, got = RealLoop(), []

    def run(host, port):
        try:
            got.append(user(host, port))
        except BaseException as exc:  # raised in the test's own thread
            got.append(exc)

    def main():
        with loop.deadline(30_000):
            fleet = Fleet(loop, **fleet_options)
            prepare(fleet)
            thread = Thread(target=run, args=tuple(fleet.program.address), daemon=True)
            thread.start()
            while thread.is_alive():
                loop.sleep(5)
            fleet.program.close()
            assert fleet.seen.failures == []
            return fleet

    fleet = loop.run(main)
    if isinstance(got[0], BaseException):
        raise got[0]
    return got[0], fleet


def connect(host, port, **more):
    return client.connect(host, port, user="ann", timeout_s=5, **more)


@pytest.mark.parametrize("transport", ["sasl", "framed", "buffered"])
def test_rows_are_read_by_every_way_of_the_specification(transport):
    def user(host, port):
        with connect(host, port, transport=transport) as there:
            cursor = there.cursor()
            assert cursor.execute("select 1", configuration={"standin.rows": "2500"}) is cursor
            assert cursor.description[0][:2] == ("id", "BIGINT") and cursor.description[1][1] == client.STRING
            assert cursor.rowcount == -1
            assert cursor.fetchone() == (0, "row 0")
            cursor.arraysize = 3
            assert [r[0] for r in cursor.fetchmany()] == [1, 2, 3]
            assert [r[0] for r in cursor.fetchmany(2)] == [4, 5]
            assert [r[0] for r in cursor.fetchall()] == list(range(6, 2500)) and cursor.rowcount == 2500
            assert cursor.fetchone() is None and cursor.fetchall() == []
            assert "served" in cursor.log()[-1]
            cursor.executemany("select %s", [(1,), (2,)])
            cursor.execute("use sales")
            with pytest.raises(client.InterfaceError, match="no result set"):
                cursor.fetchone()
            cursor.close()
            with pytest.raises(client.InterfaceError):
                cursor.execute("select 1")
            there.commit()
            with pytest.raises(client.NotSupportedError):
                there.rollback()
        with pytest.raises(client.InterfaceError):
            there.cursor()

    _, fleet = play(user)
    assert not fleet.program.service.operations and not fleet.program.service.sessions


def test_errors_are_those_of_the_specification():
    def user(host, port):
        seen = []
        with connect(host, port) as there:
            cursor = there.cursor()
            for state in ("42S02", "22012", "23505", "0A000"):
                with pytest.raises(client.DatabaseError) as told:
                    cursor.execute("select 1", configuration={"standin.sqlstate": state})
                seen.append((type(told.value), told.value.sql_state))
            with pytest.raises(client.ProgrammingError, match="no selector"):
                cursor.execute("explain 1")
            return seen

    seen, _ = play(user)
    assert seen == [
        (client.ProgrammingError, "42S02"),
        (client.DataError, "22012"),
        (client.IntegrityError, "23505"),
        (client.NotSupportedError, "0A000"),
    ]


def test_a_refused_statement_is_put_again_until_it_is_served():
    def user(host, port):
        with connect(host, port, tries=8) as there:
            cursor = there.cursor()
            cursor.execute("select 1")
            return cursor.tries, cursor.fetchall()

    def refuse_for_a_while(fleet):
        for engine in fleet.engines:
            engine.faults.refuse = True
        fleet.loop.after(700, lambda: [setattr(e.faults, "refuse", False) for e in fleet.engines])

    (tries, rows), _ = play(user, refuse_for_a_while)
    assert tries > 1 and len(rows) == 1


@pytest.mark.parametrize(
    ("fault", "error", "state"),
    [("refuse", client.RefusedError, "53000"), ("lose", client.FailedError, "HYT00")],
)
def test_what_keeps_being_refused_or_is_lost_is_told_in_time(fault, error, state):
    def user(host, port):
        with connect(host, port) as there, pytest.raises(error) as told:
            there.cursor().execute("load 1", timeout_s=1, configuration={"fennelwind.work_ms": "5"})
        return told

    def prepare(fleet):
        setattr(fleet.engines[0].faults, fault, True)

    told, _ = play(user, prepare, engines=1)
    assert told.value.sql_state == state and getattr(told.value, "retry_after_ms", 500) == 500


def test_a_lost_connection_is_made_anew_and_what_may_repeat_is_put_again():
    def user(host, port):
        with connect(host, port) as there:
            cursor = there.cursor()
            cursor.execute(
                "build",
                configuration={
                    "standin.work_ms": "2000",
                    "fennelwind.work_ms": "2000",
                    "standin.threads": "4",
                },
                repeatable=True,
            )
            rows, lives = cursor.fetchall(), there.lives
            with pytest.raises(client.OperationalError, match="lost"):
                cursor.execute("load 2", configuration={"standin.work_ms": "1500"})
            cursor.execute("select 3")
            return rows, lives, there.lives

    def cut_clients(fleet):
        def cut():
            for connection in list(fleet.program.front.connections):
                connection.stream.abort()

        def wait_and_cut():
            for statement in ("build", "load 2"):
                while not any(
                    q.submission.statement == statement and q.attempt_records
                    for q in fleet.program.driver.ledger.entries.values()
                ):
                    fleet.loop.sleep(5)
                cut()

        fleet.loop.spawn(wait_and_cut)

    (rows, before, after), fleet = play(user, cut_clients)
    assert rows == [(0, "row 0")] and (before, after) == (2, 3)


def test_cancel_from_another_thread():
    def user(host, port):
        with connect(host, port) as there:
            cursor = there.cursor()

            def soon():
                while cursor._handle is None:
                    pass
                cursor.cancel()

            thread = Thread(target=soon)
            thread.start()
            with pytest.raises(client.CancelledError):
                cursor.execute("build", configuration={"standin.work_ms": "20000"})
            thread.join()
            cursor.execute("select 1")
            return cursor.fetchall()

    rows, _ = play(user)
    assert rows == [(0, "row 0")]


def run_example(name):
    def user(host, port):
        done = subprocess.run(
            [sys.executable, str(EXAMPLES / name), host, str(port)],
            check=False,
            capture_output=True,
            text=True,
            timeout=25,
        )
        assert done.returncode == 0, done.stderr
        return done.stdout

    return play(user)[0]


def test_the_example_that_reads_rows_runs():
    told = run_example("read_rows.py")
    assert told == "[('id', 'BIGINT'), ('name', 'STRING')]\n0 row 0\n1 row 1\n2 row 2\n"


def test_the_example_of_many_threads_runs():
    ends = literal_eval(run_example("under_load.py").splitlines()[-1])
    assert sum(ends.values()) == 40 and ends["served"] > 0  # how many is the machine's as well


def test_there_is_nobody_to_talk_to():
    with pytest.raises(client.OperationalError):
        client.connect("127.0.0.1", 1, connect_timeout_s=1)


# What it decides.


def test_waits_grow_are_spread_and_leave_time_to_be_served():
    low, high = Retry(60_000, 10, lambda: 0.0), Retry(60_000, 10, lambda: 1.0)
    assert [low.refused(100, 0) for _ in range(3)] == [50, 75, 112.5]
    assert [high.refused(100, 0) for _ in range(3)] == [150, 225, 337.5]
    assert Retry(1000, 10, lambda: 0.5).refused(700, 100) is None
    assert Retry(1000, 10, lambda: 0.5).refused(500, 100) == 500
    once = Retry(1000, 2, lambda: 0.5)
    assert once.refused(0, 0) == LEAST_MS and once.refused(0, 0) is None
    assert Retry(1e9, 2, lambda: 0.5).refused(1e12, 0) == 10_000


def test_what_may_have_run_is_put_again_only_if_it_may_repeat():
    assert Retry(1000, 3, lambda: 0.5).lost(False, 0) is None
    assert Retry(1000, 3, lambda: 0.5).lost(True, 0) == LEAST_MS


@pytest.mark.parametrize(
    ("value", "text"),
    [
        (None, "NULL"),
        (True, "TRUE"),
        (7, "7"),
        (-1.5, "-1.5"),
        (Decimal("1.10"), "1.10"),
        ("it's", r"'it\'s'"),
        ("a\\' or 1=1 --", r"'a\\\' or 1=1 --'"),
        ("a\nb\0", r"'a\nb\0'"),
        (b"\x00\xff", "unhex('00ff')"),
        (date(2026, 1, 2), "'2026-01-02'"),
        (datetime(2026, 1, 2, 3, 4, 5), "'2026-01-02 03:04:05'"),
        ([1, "b"], "(1, 'b')"),
    ],
)
def test_parameters_as_literals(value, text):
    assert literal(value) == text
    assert bind("x = %s, 5%%", [value]) == f"x = {text}, 5%"
    assert bind("x = %(a)s", {"a": value}) == f"x = {text}"


@pytest.mark.parametrize(
    ("statement", "parameters"),
    [
        ("%s %s", [1]),
        ("%(a)s", {"b": 1}),
        ("%s", [1, 2]),
        ("%s", [float("nan")]),
        ("%s", [object()]),
        ("%s", "a"),
    ],
)
def test_parameters_that_do_not_fit(statement, parameters):
    with pytest.raises((client.ProgrammingError, client.InterfaceError)):
        bind(statement, parameters)
    assert bind("100%", None) == "100%"


def test_every_type_is_read():
    def column(kind, values, nulls=b""):
        return hs2.make(kind, values=values, nulls=nulls)

    page = hs2.TRowSet(
        0,
        [],
        [
            hs2.TColumn(boolVal=column("TBoolColumn", [True, False], b"\x02")),
            hs2.TColumn(doubleVal=column("TDoubleColumn", [0.5, 1.0])),
            hs2.TColumn(stringVal=column("TStringColumn", [b"1.10", b"x"])),
            hs2.TColumn(stringVal=column("TStringColumn", [b"2026-01-02 03:04:05.123456789", b""], b"\x02")),
            hs2.TColumn(stringVal=column("TStringColumn", [b"2026-01-02", b"no date"])),
            hs2.TColumn(binaryVal=column("TBinaryColumn", [b"\xff", b""])),
            hs2.TColumn(stringVal=column("TStringColumn", [b"\xc3\xa9", b"\xff"])),
        ],
    )
    names = ["BOOLEAN", "DOUBLE", "DECIMAL", "TIMESTAMP", "DATE", "BINARY", "STRING"]
    assert read_page(page, names) == [
        (True, 0.5, Decimal("1.10"), datetime(2026, 1, 2, 3, 4, 5, 123456), date(2026, 1, 2), b"\xff", "é"),
        (None, 1.0, "x", None, "no date", b"", "\ufffd"),
    ]
    assert type_name(hs2.TColumnDesc("a", None, 1)) == "STRING"
    assert client.NUMBER == "DECIMAL" and client.STRING != "INT"
