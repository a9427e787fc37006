"""Races at the frontend: closes by the controller, clients that leave, shutdown, file descriptors.

On real sockets a race is forced by the order of calls in one turn of the loop, or by a peer that waits
for a state before it acts.
"""

import json
import os
import resource
import signal
import socket
import subprocess
import sys
import threading
from contextlib import suppress

import msgpack
import pytest
from nodes import (
    ROWS,
    Client,
    Executor,
    RecordingObserver,
    config_text,
    first_page,
    instance,
    query_id,
    start_node,
)
from test_node import assert_idle, run
from test_node_run import ROOT, WAIT_S, command, listening, serve_channel

from fennelwind.limits import connection_slots
from fennelwind.loop import Address, RealLoop, StreamReset
from fennelwind.loop.real import READ
from fennelwind.node import client_connection, frontend, lifecycle, shutdown
from fennelwind.node.config import read_config
from fennelwind.node.lifecycle import Node

BIG = b"a\tb\t%s\n" % (b"c" * 5000)


def is_well(number):
    return msgpack.packb([0, number, "isWell", [{}]])


def request(number, query, method="lookup", timeout_ms=1500, statement=b"select 1 from sales_3.orders"):
    fields = {"i": query_id(query), "d": str(timeout_ms), "t": "acme", "h": "10.0", "mb": "16"}
    return msgpack.packb([0, number, method, [fields, statement]])


def big_pages(verb, path, number):
    """Answer with large pages; a script of an executor."""
    if verb == "GET" and path[-1] != "0":
        return b"HTTP/1.1 200 OK\r\nX-Batch: %s\r\nContent-Length: %d\r\n\r\n%s" % (
            path[-1].encode(),
            len(BIG),
            BIG,
        )
    return None


def run_on_sockets(main, work_ms=20.0, sockets=256):
    """Run `main(loop, node, executor)` with a controller and an executor on real sockets."""
    loop, log = RealLoop(), RecordingObserver()
    loop.on_error = lambda task, exc: log.failed(task.name, exc)

    def begin():
        executor = Executor(loop, 1, port=0, work_ms=work_ms)
        config = json.loads(
            config_text(
                [instance("s-1", 1) | {"hostPort": str(executor.listener.address)}],
                sockets=sockets,
                channel=Address("127.0.0.1", 1),
            )
        )
        config["listen"] = "127.0.0.1:0"
        node = Node(loop, read_config(json.dumps(config)), log)
        node.start()
        main(loop, node, executor)

    loop.run(begin)
    assert not log.task_failures


def connect(loop, node):
    """Connect a client's plain socket and wait until the controller has accepted it."""
    before = node.frontend.counts["accepted"]
    sock = socket.create_connection(node.frontend.listener.address)
    sock.setblocking(False)
    until(loop, lambda: node.frontend.counts["accepted"] > before)
    return sock


def until(loop, holds):
    """Wait until `holds()` is true, while the loop runs."""
    with loop.deadline(WAIT_S * 1000.0):
        while not holds():
            loop.sleep(1.0)


def received(loop, sock):
    """Return the next bytes of a plain socket; the loop runs while it waits."""
    while True:
        try:
            return sock.recv(65536)
        except BlockingIOError:
            loop.sleep(1.0)


def read_all(loop, sock):
    """Read until the connection ends; return the messages and whether a reset ended it."""
    unpacker = msgpack.Unpacker(raw=False)
    with loop.deadline(WAIT_S * 1000.0):
        while True:
            try:
                data = received(loop, sock)
            except ConnectionResetError:
                return list(unpacker), True
            if not data:
                return list(unpacker), False
            unpacker.feed(data)


def answer(loop, sock):
    """Read one answer."""
    unpacker = msgpack.Unpacker(raw=False)
    with loop.deadline(WAIT_S * 1000.0):
        while True:
            data = received(loop, sock)
            assert data, "closed without an answer"
            unpacker.feed(data)
            for message in unpacker:
                return message


def only_connection(loop, node):
    """Wait for the controller's only client connection; return it."""
    until(loop, lambda: len(node.frontend.slots))
    (connection,) = node.frontend.slots
    return connection


# Closes by the controller.


INVALID_REQUESTS = b"".join(msgpack.packb([0, k, "no-such-class", [{}, b""]]) for k in (1, 2, 3))
LATER_REQUESTS = b"".join(is_well(k) for k in range(4, 9000))  # more bytes than one read returns
CLOSES = {
    "unusable": (b"", INVALID_REQUESTS + LATER_REQUESTS, 3),
    "unreadable": (is_well(1), b"\xc1" + LATER_REQUESTS, 1),
    "numbers that do not rise": (is_well(2), is_well(1) + LATER_REQUESTS, 1),
}


@pytest.mark.parametrize("kind", CLOSES)
def test_answers_before_a_close_are_not_lost_to_unread_bytes(kind):
    def main(loop, node, executor):
        first, sent, answers = CLOSES[kind]
        assert client_connection.READ_BYTES < len(sent) < client_connection.MAX_LINGER_BYTES
        sock = connect(loop, node)
        connection = only_connection(loop, node)
        sock.sendall(first)
        until(loop, lambda: connection.last_message_id or not first)
        sock.setblocking(True)
        sock.sendall(sent)
        sock.setblocking(False)
        until(loop, lambda: connection.is_closed and not connection.stream.waiting())
        messages, reset = read_all(loop, sock)
        assert len(messages) == answers and not reset
        sock.close()
        until(loop, lambda: not node.frontend.lingering)

    run_on_sockets(main)


def test_request_that_crosses_a_close_is_not_forwarded_and_causes_no_reset():
    def main(loop, node, executor):
        sock = connect(loop, node)
        sock.sendall(is_well(1))
        connection = only_connection(loop, node)
        until(loop, lambda: connection in node.frontend.slots.idle_since_ms)
        sock.sendall(request(2, 1))
        connection.close()  # in the turn of the loop in which the bytes arrived
        assert connection.stream.waiting()
        until(loop, lambda: not connection.stream.waiting())
        assert read_all(loop, sock) == ([[1, 1, None, [True, {}]]], False)
        sock.sendall(request(3, 2))  # by a client that has seen the end of the stream
        sock.close()
        until(loop, lambda: not node.frontend.lingering)
        assert not executor.calls and node.driver.ledger.is_balanced() and not node.driver.ledger.entries

    run_on_sockets(main)


@pytest.mark.parametrize("why", ["room", "idle", "silent"])
def test_connection_with_an_unread_request_is_not_closed(why, monkeypatch):
    def main(loop, node, executor):
        sock = connect(loop, node)
        connection = only_connection(loop, node)
        if why != "silent":
            sock.sendall(is_well(1))
            assert answer(loop, sock)[0] == 1
        sock.sendall(request(2, 1))
        if why == "room":
            assert not node.frontend._make_room()
        else:
            monkeypatch.setattr(connection_slots, f"{why.upper()}_TIMEOUT_MS", -1.0)
            overdue = list(node.frontend.slots.overdue(loop.now()))
            assert overdue == [(connection, why)]
            node.frontend.close_overdue()
            monkeypatch.undo()
        assert answer(loop, sock) == [1, 2, None, [ROWS, {}]]
        sock.close()

    run_on_sockets(main)


def test_lingering_connections_are_bounded_in_number_time_and_bytes():
    def main(loop):
        Executor(loop, 1)
        node = start_node(loop, [instance("s-1", 1)], sockets=200)
        front = node.frontend
        clients = [Client(loop) for _ in range(40)]
        for client in clients:
            client.stream.write(b"\xc1")
        loop.sleep(50.0)
        assert front.counts["unreadable"] == 40 and not len(front.slots)
        assert len(front.lingering) == front.max_lingering == 6
        pipes = {connection.stream.outward for connection in front.lingering}
        endless = next(client for client in clients if client.stream.inward in pipes)

        def flood():
            with suppress(StreamReset):
                while True:
                    endless.stream.write(b"x" * 50_000)
                    loop.sleep(1.0)

        flooding = loop.spawn(flood)
        loop.sleep(60.0)
        assert flooding.done and len(front.lingering) == 5
        loop.sleep(frontend.MAX_LINGER_MS + frontend.SWEEP_INTERVAL_MS)
        assert not front.lingering
        loop.sleep(10.0)
        assert not [task for task in loop.tasks if task.name == "client"]

    run(1, main)


def test_lingering_connection_is_cut_in_time_unless_its_client_closes_first():
    def main(loop):
        node = start_node(loop, [], sockets=256)
        first, second = Client(loop), Client(loop)
        for client in (first, second):
            client.stream.write(is_well(1))
            assert client.wait_for_answer(1) == (None, [True, {}])
            client.stream.write(b"\xc1")
        until(loop, lambda: len(node.frontend.lingering) == 2)
        assert first.wait_until_closed(100.0) and second.wait_until_closed(100.0)
        first.stream.close()
        loop.sleep(10.0)
        assert len(node.frontend.lingering) == 1
        loop.sleep(frontend.MAX_LINGER_MS + frontend.SWEEP_INTERVAL_MS)
        assert not node.frontend.lingering
        with pytest.raises(StreamReset):
            second.stream.write(b"x")
            loop.sleep(10.0)
            second.stream.write(b"x")

    run(2, main)


# Clients that leave.


HELD_ID = query_id(99)


def exceed_unread_limit(loop, node, executor, client):
    """Exceed the limit of unread answers of a client while one of its requests runs at the executor."""
    number = client.send_request(HELD_ID, "publish", 5000)  # not idempotent: it gets no second attempt
    until(loop, lambda: HELD_ID in executor.started)
    executor.started[HELD_ID] += 8000.0
    for k in range(1, 17):
        client.send_request(query_id(k), "scene-build", 5000)
    connection = only_connection(loop, node)
    until(loop, lambda: connection.last_message_id == 17 and len(connection.open_queries) == 1)
    assert connection.unread_bytes > client_connection.MAX_UNREAD_BYTES
    # by then the controller has checked the unread bytes
    late = client.send_request(query_id(20), "scene-build", 5000)
    loop.sleep(5.0)
    return connection, number, late


@pytest.mark.parametrize("how", ["forget", "half-close", "close", "reset"])
def test_client_that_leaves_with_unread_answers_is_noticed_at_once(how):
    def main(loop):
        executor = Executor(loop, 1, pages=9, script=big_pages)
        node = start_node(loop, [instance("s-1", 1)])
        client = Client(loop)
        connection, number, _ = exceed_unread_limit(loop, node, executor, client)
        started_at = loop.now()
        if how == "forget":
            client.stream.write(msgpack.packb([2, "forget", [number]]))
        elif how == "half-close":
            client.stream.half_close()
        elif how == "close":
            client.stream.close()
        else:
            client.stream.abort()
        until(loop, lambda: not connection.open_queries)
        assert loop.now() - started_at < 5.0
        until(loop, lambda: HELD_ID in executor.deleted)
        assert query_id(20) not in executor.ran
        loop.sleep(5000.0)
        assert_idle(node)

    run(3, main)


def test_requests_over_the_unread_limit_are_rejected_and_their_rejections_bounded():
    def main(loop):
        executor = Executor(loop, 1, pages=9, script=big_pages)
        node = start_node(loop, [instance("s-1", 1)])
        client = Client(loop)
        connection, _, late = exceed_unread_limit(loop, node, executor, client)
        assert connection.last_message_id == late and late not in connection.open_queries
        error, _ = client.wait_for_answer(late)
        assert error[0] == "Shed" and len(client.answers) == 17 and query_id(20) not in executor.ran
        for k in range(30, 46):
            last = client.send_request(query_id(k), "scene-build", 5000)
        until(loop, lambda: connection.last_message_id == last and len(connection.open_queries) == 1)
        assert connection.unread_bytes > client_connection.MAX_UNREAD_BYTES
        for k in range(1000, 1000 + client_connection.MAX_UNREAD_ANSWERS):
            client.stream.write(is_well(k))
        until(loop, lambda: connection.is_closed)
        assert node.frontend.counts["unread"] == 1 and not connection.unread_answers
        loop.sleep(5000.0)
        assert_idle(node)

    run(4, main)


@pytest.mark.parametrize("seed", range(3))
def test_request_cancelled_in_the_same_write_reaches_no_executor(seed):
    def main(loop):
        executor = Executor(loop, 1)
        node = start_node(loop, [instance("s-1", 1)])
        client = Client(loop)
        client.stream.write(request(1, 1) + msgpack.packb([2, "forget", [1]]) + request(2, 2))
        assert client.wait_for_answer(2) == (None, [ROWS, {}])
        assert executor.ran == [query_id(2)]
        loop.sleep(500.0)
        assert_idle(node)

    run(seed, main)


def test_client_that_sends_without_pause_does_not_starve_others(monkeypatch):
    order, real_send = [], client_connection.ClientConnection.send

    def send(connection, raw, entry):
        order.append(connection.stream.peer.port)
        real_send(connection, raw, entry)

    monkeypatch.setattr(client_connection.ClientConnection, "send", send)

    def main(loop, node, executor):
        greedy, other = connect(loop, node), connect(loop, node)
        piece = b"".join(is_well(k) for k in range(1, 14_000))
        assert len(piece) > 2 * client_connection.READ_BYTES
        greedy.setblocking(True)
        greedy.settimeout(WAIT_S)
        greedy.sendall(piece)  # all of it has arrived before the controller reads any
        other.sendall(is_well(1))
        until(loop, lambda: len(order) == 14_000)
        assert order.index(other.getsockname()[1]) < 13_000
        greedy.close()
        other.close()

    run_on_sockets(main)


def test_nothing_starts_for_a_client_that_sent_many_requests_and_left():
    def main(loop, node, executor):
        # accepted sockets inherit the buffer size
        node.frontend.listener.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 400_000)
        sock = connect(loop, node)
        connection = only_connection(loop, node)
        sent = b"".join(request(k, k) for k in range(1, 900))
        assert len(sent) > client_connection.READ_BYTES
        sock.setblocking(True)
        sock.settimeout(WAIT_S)
        sock.sendall(sent)
        sock.shutdown(socket.SHUT_WR)  # a full close would show in failing writes of the answers
        assert not connection.last_message_id
        until(loop, lambda: connection.is_closed)
        loop.sleep(100.0)
        assert not executor.calls and not node.log.attempt_statuses
        sock.close()

    run_on_sockets(main)


def test_third_invalid_request_does_not_discard_unread_answers():
    def main(loop):
        executor = Executor(loop, 1, pages=9, script=big_pages)
        node = start_node(loop, [instance("s-1", 1)])
        client = Client(loop)
        connection, held, late = exceed_unread_limit(loop, node, executor, client)
        client.stream.write(msgpack.packb([2, "forget", [held]]))
        numbers = [client.send_request(query_id(30 + k), "no-such-class") for k in range(3)]
        until(loop, lambda: connection.last_message_id == numbers[-1])
        # rejected because of the unread bytes, so not counted as invalid
        assert not connection.open_queries and connection.invalid_requests == 0
        client.wait_for_answer(late)
        numbers = [client.send_request(query_id(40 + k), "no-such-class") for k in range(3)]
        client.wait_for_answer(numbers[-1])
        assert len(client.answers) == 16 + 1 + 3 + 3

    run(5, main)


# Shutdown.


def sigkill_time(node, loop):
    """Return the earliest time of SIGKILL after a SIGTERM now, by the protocol."""
    longest = max(cls.client_timeout_ms for cls in node.config.settings.classes)
    return loop.now() + min(longest, 3000.0) + 700.0


def test_shutdown_waits_for_a_slow_reader_and_for_a_partial_message():
    def main(loop):
        executor = Executor(loop, 1, pages=9, script=big_pages)
        node = start_node(loop, [instance("s-1", 1)])
        client, slow = Client(loop), Client(loop)
        slow.stream.write(is_well(1))
        slow.wait_for_answer(1)
        for k in range(1, 25):
            client.send_request(query_id(k), "scene-build", 5000)
        ending = loop.spawn(node.shut_down)
        loop.sleep(900.0)
        complete = request(2, 50)
        slow.stream.write(complete[:30])
        until(loop, lambda: node.driver.is_closing and not node.driver.ledger.open_count)
        assert len(node.frontend.slots) == 2
        loop.sleep(1000.0)
        assert not ending.done
        assert all(client.wait_for_answer(k)[0] is None for k in range(1, 25)) and client.wait_until_closed()
        slow.stream.write(complete[30:])
        assert slow.wait_for_answer(2)[0][0] == "Shed" and slow.wait_until_closed()
        for each in (client, slow):
            each.stream.close()
        ending.join()
        assert query_id(50) not in executor.ran
        assert_idle(node)

    run(6, main)


def test_clients_that_read_nothing_or_never_close_delay_shutdown_within_its_limit():
    def main(loop):
        Executor(loop, 1, pages=9, script=big_pages)
        node = start_node(loop, [instance("s-1", 1)])
        client, idle_client = Client(loop), Client(loop)
        idle_client.stream.write(is_well(1))
        assert idle_client.wait_for_answer(1) == (None, [True, {}])
        for k in range(1, 25):
            client.send_request(query_id(k), "scene-build", 5000)
        kill_time = sigkill_time(node, loop)
        ending = loop.spawn(node.shut_down)
        assert idle_client.wait_until_closed()
        ending.join()
        assert loop.now() < kill_time
        assert not len(node.frontend.slots) and not node.frontend.lingering
        assert_idle(node)

    run(7, main)


def test_request_read_during_shutdown_is_rejected_and_not_forwarded():
    def main(loop):
        executor = Executor(loop, 1)
        node = start_node(loop, [instance("s-1", 1)])
        client, idle_client = Client(loop), Client(loop)
        idle_client.stream.write(is_well(1))
        idle_client.wait_for_answer(1)
        held = client.send_request(HELD_ID, "publish", 5000)
        until(loop, lambda: HELD_ID in executor.started)
        executor.started[HELD_ID] += 2500.0
        ending = loop.spawn(node.shut_down)
        until(loop, lambda: node.driver.is_closing)
        late = client.send_request(query_id(1), "scene-build", 4000)
        idle_client.number = 1
        idle_request = idle_client.send_request(query_id(2), "scene-build", 4000)
        assert client.wait_for_answer(late)[0][0] == idle_client.wait_for_answer(idle_request)[0][0] == "Shed"
        assert client.wait_for_answer(held) == (None, [ROWS, {}])
        assert client.wait_until_closed() and idle_client.wait_until_closed()
        client.stream.close()
        idle_client.stream.close()
        ending.join()
        assert executor.ran == [HELD_ID]
        assert_idle(node)

    run(8, main)


def test_requests_open_at_the_end_of_shutdown_are_answered():
    def main(loop):
        executor = Executor(loop, 1)
        node = start_node(loop, [instance("s-1", 1)])
        client = Client(loop)
        number = client.send_request(HELD_ID, "publish", 12_000)
        until(loop, lambda: HELD_ID in executor.started)
        executor.started[HELD_ID] += 60_000.0
        kill_time = sigkill_time(node, loop)
        ending = loop.spawn(node.shut_down)
        assert client.wait_for_answer(number, 20_000.0)[0][0] == "Failed" and loop.now() < kill_time
        assert client.wait_until_closed()
        client.stream.close()
        ending.join()
        assert loop.now() < kill_time and executor.deleted == [HELD_ID]
        assert_idle(node)

    run(9, main)


def test_clients_in_the_backlog_when_the_listener_closes_are_answered(monkeypatch):
    monkeypatch.setattr(shutdown, "SERVING_MS", 1.0)

    def main(loop, node, executor):
        finish, address, socks = node.frontend.finish_accepting, node.frontend.listener.address, []

        def connect_then_finish(until_ms):
            for number in range(1, 70):
                sock = socket.create_connection(address)
                sock.sendall(request(1, number))
                sock.setblocking(False)
                socks.append(sock)
            finish(until_ms)

        monkeypatch.setattr(node.frontend, "finish_accepting", connect_then_finish)
        ending = loop.spawn(node.shut_down)
        until(loop, lambda: socks)
        with pytest.raises(ConnectionRefusedError):
            socket.create_connection(address)
        for sock in socks:
            ((_, number, error, _),) = read_all(loop, sock)[0]
            assert number == 1 and error[0] == "Shed"
            sock.close()
        ending.join()
        assert not executor.calls

    run_on_sockets(main)


@pytest.mark.parametrize("seed", range(8))
def test_each_request_around_shutdown_gets_one_answer_or_crosses_the_close(seed):
    """Clients pipeline, pause, read slowly or idle, before and during the shutdown, drawn from the seed."""

    def main(loop):
        draw = loop.random
        executors = [Executor(loop, k, work_ms=150.0 * k, pages=6, script=big_pages) for k in (1, 2)]
        node = start_node(loop, [instance("s-1", 1), instance("s-2", 2)])
        ids = iter(range(1, 10_000))
        requests = []  # client, message number, time sent, query id
        closed, linger = {}, node.frontend.linger  # when the controller closed each connection

        def record_close(connection):
            closed[connection.stream.outward] = loop.now()
            linger(connection)

        node.frontend.linger = record_close

        def send_requests(client, ended):
            loop.sleep(draw.uniform(0.0, 1500.0))
            while not ended:
                for _ in range(draw.choice((1, 1, 3, 12))):
                    query, effect = next(ids), draw.choice(("lookup", "scene-build", "publish"))
                    sent = loop.now()
                    with suppress(StreamReset):
                        number = client.send_request(query_id(query), effect, draw.choice((400, 1500, 1900)))
                        requests.append((client, number, sent, query_id(query)))
                loop.sleep(draw.choice((5.0, 60.0, 400.0, 1500.0)))

        def read_answers(client, ended):
            while True:
                data = client.stream.read(draw.choice((500, 20_000, 65_536)))
                if not data:
                    ended.append(True)
                    loop.sleep(draw.choice((0.0, 30.0, 900.0)))  # some clients close late
                    client.stream.close()
                    return
                client.unpacker.feed(data)
                for kind, number, error, result in client.unpacker:
                    assert kind == 1 and number not in client.answers
                    client.answers[number] = (error, result)
                loop.sleep(draw.choice((0.0, 0.0, 1.0, 20.0)))

        client_tasks, ends = [], {}
        for _ in range(12):
            client = Client(loop)
            ends[client] = []
            client_tasks += [
                loop.spawn(send_requests, client, ends[client]),
                loop.spawn(read_answers, client, ends[client]),
            ]
        loop.sleep(800.0)
        started_at, kill_time = loop.now(), sigkill_time(node, loop)
        node.shut_down()
        assert loop.now() < kill_time
        for task in client_tasks:
            task.join()
        ran, answered = {query for executor in executors for query in executor.ran}, 0
        for client, number, sent, query in requests:
            if number in client.answers:
                error, result = client.answers[number]
                assert error is not None or result == [ROWS + 5 * BIG, {}]
                answered += 1
            else:  # the request and the close of the controller crossed
                assert sent > closed[client.stream.inward] - 1.0 and query not in ran
            assert sent < started_at + 1000.0 or query not in ran
        assert answered > 50 and len(ran) > 25  # otherwise the seed covers too little
        loop.sleep(1000.0)
        assert_idle(node)

    run(seed, main)


def run_in_process(call, **kwargs):
    """Run a function of this file in a separate process; return its exit code and output."""
    search_path = "import sys; sys.path.insert(0, 'tests/support'); import search_paths"
    code = f"{search_path}; import test_frontend_races as t; t.{call}()"
    return subprocess.run(
        [sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, timeout=4 * WAIT_S, **kwargs
    )


def run_program(scenario):
    """Run the program's `main` with `scenario` as a task of its loop."""
    begin = Node.start

    def start_with(node):
        node.loop.spawn(scenario, node.loop, node)
        begin(node)

    Node.start = start_with
    sys.exit(lifecycle.main())


def config_file(folder, **config):
    path = folder / "config.json"
    text = json.loads(config_text([instance("s-1", 1) | {"hostPort": "127.0.0.1:1"}], **config))
    path.write_text(json.dumps(text | {"listen": "127.0.0.1:0"}), encoding="utf-8")
    return os.environ | {"RELAY_CONFIG": str(path)}


def signals_in_shutdown():
    def scenario(loop, node):
        executor = Executor(loop, 1, port=0)
        node.executor_pool.remove("s-1")
        node.endpoint_watch.apply_known(
            2,
            (
                {
                    "cursor": 2,
                    "nodes": {
                        "reset": True,
                        "instances": [instance("s-2", 2) | {"hostPort": str(executor.listener.address)}],
                    },
                },
            ),
        )
        sock = connect(loop, node)
        sock.sendall(request(1, 99, "publish", 5000))
        until(loop, lambda: HELD_ID in executor.started)
        executor.started[HELD_ID] += 60_000.0
        os.kill(os.getpid(), signal.SIGTERM)
        until(loop, lambda: not node.frontend.is_serving)
        path = os.environ["RELAY_CONFIG"]
        with open(path, encoding="utf-8") as file:
            text = file.read()
        for number, wanted in ((signal.SIGTERM, "127.0.0.1:1"), (signal.SIGINT, "127.0.0.1:2")):
            os.kill(os.getpid(), number)
            with open(path, "w", encoding="utf-8") as file:
                file.write("{ no JSON")
            os.kill(os.getpid(), signal.SIGHUP)
            loop.sleep(1.0)
            with open(path, "w", encoding="utf-8") as file:
                file.write(text.replace('"127.0.0.8:9092"', f'"{wanted}"'))
            os.kill(os.getpid(), signal.SIGHUP)
            until(loop, lambda where=wanted: str(node.endpoint_watch.address) == where)
        sock.sendall(request(2, 1))
        message = answer(loop, sock)
        assert message[1] == 2 and (message[2] is None or message[2][0] == "Shed")
        executor.started[HELD_ID] = 0.0
        assert answer(loop, sock) == [1, 1, None, [ROWS, {}]]
        assert read_all(loop, sock) == ([], False)
        sock.close()

    run_program(scenario)


def test_signals_during_shutdown_do_not_change_it(tmp_path):
    done = run_in_process("signals_in_shutdown", env=config_file(tmp_path))
    assert done.returncode == 0, done.stderr
    assert "broke:" not in done.stderr and "books agree: True; open 0" in done.stderr


def sigterm_during_startup():
    def scenario(loop, node):
        os.kill(os.getpid(), signal.SIGTERM)

    begin = Node.start

    def start_late(node):
        os.kill(os.getpid(), signal.SIGTERM)
        begin(node)

    Node.start = start_late
    run_program(scenario)


def test_sigterm_before_listening_starts_and_shuts_down_in_order(tmp_path):
    done = run_in_process("sigterm_during_startup", env=config_file(tmp_path))
    assert done.returncode == 0, done.stderr
    assert "listening" in done.stderr and "books agree: True; open 0" in done.stderr


# The event loop.


def test_failing_signal_handler_is_reported_and_does_not_end_the_loop():
    loop, failed, seen = RealLoop(), [], []
    loop.on_error = lambda task, exc: failed.append(str(exc))

    def broken():
        raise RuntimeError("planted")

    def main():
        loop.on_signal(signal.SIGUSR1, broken)
        loop.on_signal(signal.SIGUSR2, lambda: seen.append("usr2"))
        os.kill(os.getpid(), signal.SIGUSR1)
        os.kill(os.getpid(), signal.SIGUSR2)
        loop.from_thread(broken)
        until(loop, lambda: seen and len(failed) == 2)

    before = [signal.getsignal(number) for number in (signal.SIGUSR1, signal.SIGUSR2)]
    try:
        loop.run(main)
    finally:
        signal.set_wakeup_fd(-1)
        for number, handler in zip((signal.SIGUSR1, signal.SIGUSR2), before, strict=True):
            signal.signal(number, handler)
    assert failed == ["planted", "planted"]


def test_event_of_a_closed_descriptor_does_not_reach_a_new_one_of_the_same_number():
    loop, received_data = RealLoop(), []

    def main():
        listener = loop.listen(Address("127.0.0.1", 0))
        peers, accepted = [], []
        for _ in range(2):
            peers.append(socket.create_connection(listener.address))
            accepted.append(listener.accept())

        def read(stream, who):
            received_data.append((who, stream.read()))

        def first():
            read(accepted[0], "first")
            number = accepted[1].sock.fileno()
            accepted[1].close()  # its bytes were reported by the same poll
            fresh = socket.create_connection(listener.address)
            peers.append(fresh)
            while fresh.fileno() != number and len(peers) < 9:
                fresh = socket.create_connection(listener.address)
                peers.append(fresh)
            assert fresh.fileno() == number
            fresh.setblocking(False)
            loop.spawn(
                lambda: (loop.watch(number, READ).wait(), received_data.append(("fresh", fresh.recv(9))))
            )

        tasks = [loop.spawn(first), loop.spawn(read, accepted[1], "second")]
        loop.sleep(0.0)
        for peer in peers:
            peer.sendall(b"x")
        for task in tasks:
            task.join()
        for _ in range(5):
            loop.sleep(0.0)
        assert received_data == [("first", b"x"), ("second", b"")]
        other = [listener.accept() for _ in range(len(peers) - 2)][-1]
        other.write(b"y")
        until(loop, lambda: len(received_data) == 3)
        assert received_data[-1] == ("fresh", b"y")
        for peer in peers:
            peer.close()

    loop.run(main)


# File descriptors.


@pytest.mark.parametrize("sockets", [256, 300, 512, 640, 1024])
def test_descriptor_shares_leave_enough_for_other_uses(sockets):
    def main(loop):
        node = start_node(loop, [], sockets=sockets)
        front = node.frontend
        remaining = sockets - front.slots.limit - front.max_lingering - node.executor_pool.max_connections
        assert remaining >= 3 + 2 + 1 + 1 + 1 + 1 + 6  # standard streams, wake pipe, listener, channel, the
        # connection just accepted, the configuration file; and six more
        assert front.max_lingering >= 7

    run(1, main)


def test_idle_clients_do_not_use_up_descriptors_of_channel_executors_and_new_clients(tmp_path):
    """Idle and silent clients use up their share; the channel is down; executors close each connection."""
    executor, where = listening()
    channel, down_address = listening()
    channel.close()
    free, listen = listening()
    free.close()
    host, port = listen.rsplit(":", 1)

    def serve():
        def serve_connection(peer):
            with peer:
                head = peer.recv(65536)
                while head and b"sales_3" not in head and b"GET" not in head:
                    head += peer.recv(65536)
                if head:
                    peer.sendall(first_page())

        while True:
            try:
                peer, _ = executor.accept()
            except OSError:
                return
            threading.Thread(target=serve_connection, args=(peer,), daemon=True).start()

    threading.Thread(target=serve, daemon=True).start()
    path = tmp_path / "config.json"
    config = json.loads(config_text([instance("s-1", 1) | {"hostPort": where}], channel=down_address))
    path.write_text(json.dumps(config | {"listen": listen}), encoding="utf-8")
    descriptor_limit = config["limits"]["sockets"]
    process = subprocess.Popen(
        command(), cwd=ROOT, env=os.environ | {"RELAY_CONFIG": str(path)}, stderr=subprocess.PIPE, text=True
    )
    resource.prlimit(process.pid, resource.RLIMIT_NOFILE, (descriptor_limit, descriptor_limit))
    log = []
    opened = []
    channel_requests = []

    def expect(words):
        while line := process.stderr.readline():
            log.append(line)
            if words in line:
                return
        raise AssertionError("".join(log))

    def client(message):
        sock = socket.create_connection((host, int(port)), WAIT_S)
        opened.append(sock)
        sock.settimeout(WAIT_S)
        if message:
            sock.sendall(message)
        return sock

    def served(query):
        unpacker = msgpack.Unpacker(raw=False)
        with client(request(1, query)) as sock:
            opened.remove(sock)
            while data := sock.recv(65536):
                unpacker.feed(data)
                for message in unpacker:
                    return message
        raise AssertionError("closed without an answer")

    try:
        expect("listening")
        for _ in range(int(descriptor_limit / 3)):
            idle = client(is_well(1))
            assert msgpack.unpackb(idle.recv(100)) == [1, 1, None, [True, {}]]
        for k in range(descriptor_limit):
            client(b"")
            if k % 16 == 0:
                assert served(k) == [1, 1, None, [ROWS, {}]]
        open_descriptors = len(os.listdir(f"/proc/{process.pid}/fd"))
        assert descriptor_limit / 2 < open_descriptors < descriptor_limit
        restored_channel = socket.create_server(("127.0.0.1", int(down_address.rsplit(":", 1)[1])))
        restored_channel.settimeout(WAIT_S)
        threading.Thread(target=serve_channel, args=(restored_channel, channel_requests), daemon=True).start()
        while not channel_requests and process.poll() is None:
            assert served(1000 + len(opened)) == [1, 1, None, [ROWS, {}]]
        moved, new_address = listening()
        moved_channel_requests = []
        threading.Thread(target=serve_channel, args=(moved, moved_channel_requests), daemon=True).start()
        path.write_text(path.read_text("utf-8").replace(down_address, new_address), encoding="utf-8")
        process.send_signal(signal.SIGHUP)
        while not moved_channel_requests and process.poll() is None:
            assert served(5000 + len(opened)) == [1, 1, None, [ROWS, {}]]
        process.send_signal(signal.SIGTERM)
        expect("closed")
        moved.close()
        assert process.wait(WAIT_S) == 0 and "books agree: True; open 0" in log[-1]
        assert "broke:" not in "".join(log) and channel_requests
        restored_channel.close()
    finally:
        if process.poll() is None:
            process.kill()
        process.wait()
        process.stderr.close()
        executor.close()
        for sock in opened:
            sock.close()
