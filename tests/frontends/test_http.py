"""Thrift over HTTP, and authentication on both transports."""

import json
import subprocess
import sys

import pytest
from argon2 import PasswordHasher
from fleet import HttpClient, execute, fetch, ids, outcome, status
from test_controller import IMPYLA, empty, ledger, play

from fennelwind.config.users import UsersError, load_users
from fennelwind.engines.connection import EngineConnection, RemoteError
from fennelwind.frontends.hiveserver2 import authentication
from fennelwind.limits import login_throttle
from fennelwind.limits.login_throttle import LoginThrottle
from fennelwind.loop import RealLoop, StreamReset
from fennelwind.thrift import hiveserver2 as hs2
from fennelwind.thrift.codec import Malformed

CHEAP_HASHER = PasswordHasher(time_cost=1, memory_cost=64, parallelism=1)


def test_a_cookie_authenticates_its_user_and_operations_outlive_connections():
    def main(fleet):
        client, again = fleet.client("http"), fleet.client("http")
        assert client.cookie.startswith(b"fennelwind.auth=")
        client.headers = client.headers[:1]  # from now on only the cookie
        handle = execute(client, "select 1", rows=3)
        client.drop()
        assert ids(fetch(again, handle)) == [0, 1, 2]

    play(main)


def test_a_request_may_be_split_anywhere_and_be_chunked():
    def main(fleet):
        client = fleet.client("http")
        raw = client.request("GetInfo", hs2.TGetInfoReq(client.session, hs2.CLI_SERVER_NAME))
        for cut in range(1, len(raw)):
            client.stream.write(raw[:cut])
            fleet.loop.sleep(3)
            client.stream.write(raw[cut:])
            if cut > 1:  # h11's client side counts one request; the answers are read as bytes
                assert client.stream.read().startswith(b"HTTP/1.1 200")
            else:
                assert client.answer()[0] == 200
        head, _, body = raw.partition(b"\r\n\r\n")
        lines = [line for line in head.split(b"\r\n") if not line.lower().startswith(b"content-length")]
        chunks = b"".join(b"1\r\n%c\r\n" % byte for byte in body) + b"0\r\n\r\n"
        client.stream.write(b"\r\n".join([*lines, b"Transfer-Encoding: chunked"]) + b"\r\n\r\n" + chunks)
        assert client.stream.read().startswith(b"HTTP/1.1 200")

    play(main)


@pytest.mark.parametrize(
    ("raw", "expected_status"),
    [
        (b"GET / HTTP/1.1\r\nHost: x\r\n\r\n", b"405"),
        (b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1000001\r\n\r\n", b"413"),
        (
            b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
            + b"".join(b"20000\r\n" + b"x" * 131072 + b"\r\n" for _ in range(9)),
            b"413",
        ),
        (b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc", b"400"),
        (b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: -3\r\n\r\nabc", b"400"),
        (b"\x80\x01\0\1 no HTTP at all\r\n\r\n", b"400"),
        (b"POST / HTTP/1.1\r\nHost: x\r\nX: " + b"y" * 20_000, b"431"),
        (b"POST / HTTP/1.1\r\nHost: x\r\nAuthorization: Basic %%%\r\nContent-Length: 1\r\n\r\nx", b"400"),
    ],
    ids=["get", "large", "chunks", "body", "length", "binary", "head", "basic"],
)
def test_bad_requests_get_an_error_status_and_affect_no_other_client(raw, expected_status):
    def main(fleet):
        good = fleet.client("http")
        stream = fleet.loop.connect(fleet.program.http.listener.address)
        stream.write(raw)
        answer = b""
        try:
            while data := stream.read():
                answer += data
        except StreamReset:
            pass
        assert answer.split(b" ")[1] == expected_status
        assert ids(fetch(good, execute(good, "select 1", rows=1))) == [0]

    play(main)


def test_the_query_of_a_client_that_disconnects_is_cancelled():
    def main(fleet):
        client, other = fleet.client("http"), fleet.client("http")
        client.stream.write(
            client.request(
                "ExecuteStatement",
                hs2.TExecuteStatementReq(client.session, "build", {"standin.work_ms": "20000"}, False),
            )
        )
        fleet.loop.sleep(50)
        assert sum(len(e._running) for e in fleet.engines) == 1
        client.drop()
        fleet.loop.sleep(100)
        assert not any(e._running for e in fleet.engines)
        assert ledger(fleet).counts[1] == {"taken": 1, "left": 1}
        other.call("CloseSession", hs2.make("TCloseSessionReq", sessionHandle=client.session))
        assert empty(fleet)

    play(main)


def test_pipelined_requests_are_answered_in_order():
    def main(fleet):
        client = fleet.client("http")
        raw = client.request(
            "ExecuteStatement",
            hs2.TExecuteStatementReq(client.session, "select 1", {"standin.work_ms": "50"}, False),
        )
        client.stream.write(raw * 3)
        answers = b""
        while answers.count(b"HTTP/1.1 200") < 3:
            answers += client.stream.read()
        assert ledger(fleet).counts[0] == {"taken": 3, "served": 3}

    play(main)


def test_unused_sessions_and_operations_expire():
    def main(fleet):
        client = fleet.client("http")
        execute(client, "select 1")
        kept = fleet.client("http")
        for _ in range(8):
            fleet.loop.sleep(10_000)
            execute(kept, "select 1")
        service = fleet.program.service
        assert (service.expired_sessions, len(service.sessions)) == (1, 1)
        assert service.expired_operations >= 1 and len(service.operations) <= 8
        assert outcome(lambda: execute(fleet.client("http"), "select 1")) == "served"

    play(main, limit=200_000)


def test_impyla_over_http():
    loop, got = RealLoop(), []
    script = IMPYLA.replace(
        "auth_mechanism=sys.argv[2]",
        "auth_mechanism='PLAIN', use_http_transport=True, http_path='cliservice'",
    )

    def main(fleet):
        port = fleet.program.http.listener.address.port
        user = subprocess.Popen([sys.executable, "-c", script, str(port)], stdout=subprocess.PIPE, text=True)
        while user.poll() is None:
            loop.sleep(5)
        with user.stdout:
            got.extend(json.loads(user.stdout.read()))

    play(main, loop)
    assert got[0] == [[i, f"row {i}"] for i in range(1234)] and got[2] == ["id", "name"]


# Authentication.


@pytest.fixture
def users(tmp_path):
    (tmp_path / "users.txtpb").write_text(
        "".join(
            f'users {{ name: "{name}" hash: "{CHEAP_HASHER.hash(name + " word")}" {more} }}\n'
            for name, more in (("ann", ""), ("bo", 'classes: "lookup"'))
        ),
        "utf-8",
    )
    return {
        "folder": tmp_path,
        "change": lambda text: text.replace("http_address:", 'users_file: "users.txtpb" http_address:'),
    }


def test_passwords_are_checked_on_both_transports_and_set_the_user(users):
    def main(fleet):
        address = fleet.program.http.listener.address
        ann = HttpClient(fleet.loop, address, "ann", "ann word")
        assert outcome(lambda: execute(ann, "build", work=10)) == "served"
        for user, password in (("ann", "bo word"), ("nobody", "ann word"), ("", "")):
            with pytest.raises(StreamReset, match="401"):
                HttpClient(fleet.loop, address, user, password)
            connection = EngineConnection(fleet.loop, fleet.program.address, "sasl", user)
            connection.protocol = type(connection.protocol)("sasl", user, password)
            with pytest.raises(Malformed, match="wrong"):
                connection.open()
        with pytest.raises(StreamReset):
            fleet.client("buffered")  # no login at all
        bo = HttpClient(fleet.loop, address, "bo", "bo word", opens=False)
        opened = bo.call("OpenSession", hs2.TOpenSessionReq(client_protocol=9, username="ann"))
        bo.session = opened.sessionHandle
        with pytest.raises(RemoteError, match="bo may not run queries of class build") as denied:
            execute(bo, "build")
        assert denied.value.status.sqlState == "42501"
        assert outcome(lambda: execute(bo, "select 1")) == "served"
        assert fleet.program.service.authenticator.logins.failures == 6

    play(main, **users)


def test_another_users_handle_is_unknown_with_authentication(users):
    def main(fleet):
        address = fleet.program.http.listener.address
        ann = HttpClient(fleet.loop, address, "ann", "ann word")
        bo = HttpClient(fleet.loop, address, "bo", "bo word")
        handle = execute(ann, "select 1")
        assert outcome(lambda: fetch(bo, handle)) == outcome(lambda: status(bo, handle)) == "HY000"
        bo.session, own = ann.session, bo.session
        assert outcome(lambda: execute(bo, "select 1")) == "HY000"
        bo.session = own
        for method, request in (
            ("CancelOperation", hs2.TCancelOperationReq(handle)),
            ("CloseOperation", hs2.TCloseOperationReq(handle)),
            ("CloseSession", hs2.make("TCloseSessionReq", sessionHandle=ann.session)),
        ):
            with pytest.raises(RemoteError, match="unknown handle"):
                bo.call(method, request)
        assert ids(fetch(ann, handle)) == [0, 1, 2]

    play(main, **users)


def test_the_answer_margin_is_sampled_over_http():
    def main(fleet):
        client, margin = fleet.client("http"), fleet.program.driver.margin
        execute(client, "select 1")
        assert margin.samples == 1

    play(main)


def test_a_client_that_disconnects_before_its_login_fails_is_cleaned_up(users):
    def main(fleet):
        connection = EngineConnection(fleet.loop, fleet.program.address, "sasl", "ann")
        stream = fleet.loop.connect(fleet.program.address)
        stream.write(bytes(connection.protocol.outgoing))
        stream.abort()
        fleet.loop.sleep(10_000)
        assert fleet.program.front.malformed + fleet.program.front.cut == 1
        assert not fleet.program.front.connections

    play(main, **users)


def test_wrong_passwords_are_delayed_and_concurrent_equal_logins_checked_once(users):
    def main(fleet):
        address, loop, took = fleet.program.http.listener.address, fleet.loop, []
        for _ in range(6):
            at = loop.now()
            with pytest.raises(StreamReset):
                HttpClient(loop, address, "ann", "wrong")
            took.append(loop.now() - at)
        assert took[0] < 100 and took == sorted(took) and 3500 < took[5] < 8500
        checks = []
        fleet.program.service.authenticator._run_check, run = (
            lambda *a: (checks.append(1), run(*a)),
            fleet.program.service.authenticator._run_check,
        )
        logins = [loop.spawn(HttpClient, loop, address, "bo", "bo word", name="herd") for _ in range(90)]
        assert all(client.join().session is not None for client in logins)
        assert len(checks) == 1

    play(main, limit=100_000, **users)


def test_forged_and_expired_cookies_are_rejected(users):
    def main(fleet):
        authenticator = fleet.program.service.authenticator
        cookie = authenticator.make_cookie("ann")
        name, expiry_ms, signature = cookie.split(".")
        assert authenticator.user_of_cookie(cookie) == "ann"
        for wrong in (
            "",
            "x",
            "..",
            f"{b'bo'.hex()}.{expiry_ms}.{signature}",
            cookie[:-1] + "é",
            f"{name}.{int(expiry_ms) + 1}.{signature}",
            f"{name}.{expiry_ms}.",
            "zz.1.x",
            cookie + "0",
        ):
            assert authenticator.user_of_cookie(wrong) is None
        assert (
            authenticator.user_of_cookie(
                authentication.Authenticator(fleet.loop, authenticator.users).make_cookie("ann")
            )
            is None
        )
        fleet.loop.sleep(authentication.COOKIE_LIFETIME_MS)
        assert authenticator.user_of_cookie(cookie) is None

    play(main, limit=10 * authentication.COOKIE_LIFETIME_MS, **users)


def test_users_are_reloaded_and_an_invalid_file_changes_nothing(users):
    def main(fleet):
        path = users["folder"] / "users.txtpb"
        address = fleet.program.http.listener.address
        ann = HttpClient(fleet.loop, address, "ann", "ann word")
        path.write_text("users {", "utf-8")
        assert "as before" in fleet.program.reload_users()
        assert outcome(lambda: execute(ann, "select 1")) == "served"
        path.write_text(f'users {{ name: "cy" hash: "{CHEAP_HASHER.hash("cy word")}" }}', "utf-8")
        assert fleet.program.reload_users() == "1 users"
        with pytest.raises(StreamReset, match="401"):
            execute(ann, "select 1")
        assert HttpClient(fleet.loop, address, "cy", "cy word").session is not None

    play(main, limit=100_000, **users)


@pytest.mark.parametrize(
    ("text", "expected_error"),
    [
        ("users {", "no file of users"),
        ("", "no users"),
        ('users { hash: "x" }', "no name"),
        ('users { name: "a" hash: "secret" }', "no Argon2id hash"),
        ('users { name: "a" hash: "$argon2id$x" classes: "c" }', "no class 'c'"),
        ('users { name: "a" hash: "$argon2id$x" } users { name: "a" hash: "$argon2id$x" }', "twice"),
    ],
)
def test_errors_of_a_users_file_reveal_no_secrets(tmp_path, text, expected_error):
    (tmp_path / "u").write_text(text, "utf-8")
    with pytest.raises(UsersError, match=expected_error) as wrong:
        load_users(tmp_path / "u", ["lookup"])
    assert "secret" not in str(wrong.value)


def test_failed_logins_are_counted_by_user_and_address_in_bounded_memory(monkeypatch):
    throttle = LoginThrottle()
    for count in range(12):
        throttle.failed(f"user {count}", "desk", 0.0)
    assert (
        throttle.delay_ms("new", "desk", 0.0) == login_throttle.MAX_DELAY_MS
    )  # one address that tries many names
    assert throttle.delay_ms("user 1", "elsewhere", 0.0) == login_throttle.MIN_DELAY_MS
    assert throttle.delay_ms("new", "elsewhere", 0.0) == 0.0
    assert throttle.delay_ms("new", "desk", login_throttle.FAILURE_EXPIRY_MS) == 0.0
    throttle.succeeded("user 1", "desk", b"p", 0.0)
    assert throttle.delay_ms("user 1", "desk", 0.0) == 0.0
    assert throttle.is_verified(b"p", 10.0) and not throttle.is_verified(
        b"p", login_throttle.SUCCESS_EXPIRY_MS
    )
    throttle.forget_verified()
    assert not throttle.is_verified(b"p", 10.0)
    monkeypatch.setattr(login_throttle, "MAX_ENTRIES", 10)
    for i in range(50):
        throttle.failed(f"u{i}", f"a{i}", 0.0)
        throttle.succeeded("x", "y", b"%d" % i, 0.0)
    assert len(throttle._failures) == 10 == len(throttle._verified_until_ms)
