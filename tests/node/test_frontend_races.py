"""Races at the clients' side: closes of ours, clients that leave, the end of service, descriptors.

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
from test_node import run, settled
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
    told = {"i": query_id(query), "d": str(timeout_ms), "t": "acme", "h": "10.0", "mb": "16"}
    return msgpack.packb([0, number, method, [told, statement]])


def big_pages(verb, path, number):
    """Let an executor answer with large pages."""
    if verb == "GET" and path[-1] != "0":
        return b"HTTP/1.1 200 OK\r\nX-Batch: %s\r\nContent-Length: %d\r\n\r\n%s" % (
            path[-1].encode(),
            len(BIG),
            BIG,
        )
    return None


def real(main, work_ms=20.0, sockets=256):
    """Run `main(loop, node, executor)` with a controller and an executor on real sockets."""
    loop, log = RealLoop(), RecordingObserver()
    loop.on_error = lambda task, exc: log.failed(task.name, exc)

    def begin():
        executor = Executor(loop, 1, port=0, work_ms=work_ms)
        told = json.loads(
            config_text(
                [instance("s-1", 1) | {"hostPort": str(executor.listener.address)}],
                sockets=sockets,
                channel=Address("127.0.0.1", 1),
            )
        )
        told["listen"] = "127.0.0.1:0"
        node = Node(loop, read_config(json.dumps(told)), log)
        node.start()
        main(loop, node, executor)

    loop.run(begin)
    assert not log.task_failures


def connect(loop, node):
    """Connect a plain socket of a client's, and wait until the controller has taken it in."""
    before = node.frontend.counts["accepted"]
    sock = socket.create_connection(node.frontend.listener.address)
    sock.setblocking(False)
    until(loop, lambda: node.frontend.counts["accepted"] > before)
    return sock


def until(loop, holds):
    """Wait for a state, in turns of the loop."""
    with loop.deadline(WAIT_S * 1000.0):
        while not holds():
            loop.sleep(1.0)


def received(loop, sock):
    """Return what comes next on a plain socket; wait for it in turns of the loop."""
    while True:
        try:
            return sock.recv(65536)
        except BlockingIOError:
            loop.sleep(1.0)


def taken(loop, sock):
    """Read to the end; return the messages and whether it was a reset that ended it."""
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
            for told in unpacker:
                return told


def only(loop, node):
    """Return the controller's side of its only connection."""
    until(loop, lambda: len(node.frontend.slots))
    (connection,) = node.frontend.slots
    return connection


# Any close by us.


UNUSABLE = b"".join(msgpack.packb([0, k, "no-such-class", [{}, b""]]) for k in (1, 2, 3))
LATER = b"".join(is_well(k) for k in range(4, 9000))  # more than one read takes
CLOSES = {
    "unusable": (b"", UNUSABLE + LATER, 3),
    "unreadable": (is_well(1), b"\xc1" + LATER, 1),
    "numbers that do not rise": (is_well(2), is_well(1) + LATER, 1),
}


@pytest.mark.parametrize("kind", CLOSES)
def test_the_answer_before_a_close_of_ours_is_not_destroyed_by_what_is_unread(kind):
    def main(loop, node, executor):
        first, sent, answers = CLOSES[kind]
        assert client_connection.READ_BYTES < len(sent) < client_connection.MAX_LINGER_BYTES
        sock = connect(loop, node)
        connection = only(loop, node)
        sock.sendall(first)
        until(loop, lambda: connection.last_message_id or not first)
        sock.setblocking(True)
        sock.sendall(sent)
        sock.setblocking(False)
        until(loop, lambda: connection.is_closed and not connection.stream.waiting())
        told, reset = taken(loop, sock)
        assert len(told) == answers and not reset
        sock.close()
        until(loop, lambda: not node.frontend.lingering)

    real(main)


def test_a_request_that_crosses_a_close_is_not_sent_on_and_resets_nothing():
    def main(loop, node, executor):
        sock = connect(loop, node)
        sock.sendall(is_well(1))
        connection = only(loop, node)
        until(loop, lambda: connection in node.frontend.slots.idle_since_ms)
        sock.sendall(request(2, 1))
        connection.close()  # in the turn in which the bytes came
        assert connection.stream.waiting()
        until(loop, lambda: not connection.stream.waiting())
        assert taken(loop, sock) == ([[1, 1, None, [True, {}]]], False)
        sock.sendall(request(3, 2))  # by a client that has seen the end
        sock.close()
        until(loop, lambda: not node.frontend.lingering)
        assert not executor.calls and node.driver.ledger.is_balanced() and not node.driver.ledger.entries

    real(main)


@pytest.mark.parametrize("why", ["room", "idle", "silent"])
def test_a_request_that_has_come_but_is_not_read_keeps_its_connection(why, monkeypatch):
    def main(loop, node, executor):
        sock = connect(loop, node)
        connection = only(loop, node)
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

    real(main)


def test_those_that_linger_are_bounded_in_number_time_and_bytes():
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


def test_a_client_that_never_ends_is_cut_in_time_and_one_that_reads_on_may_end_itself():
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


# A client leaves.


HELD = query_id(99)


def lazy(loop, node, executor, client):
    """Let more answers wait for a client than may, while a request of its goes on at the executor."""
    number = client.send_request(HELD, "publish", 5000)  # its effect happens once: it gets no second attempt
    until(loop, lambda: HELD in executor.started)
    executor.started[HELD] += 8000.0
    for k in range(1, 17):
        client.send_request(query_id(k), "scene-build", 5000)
    connection = only(loop, node)
    until(loop, lambda: connection.last_message_id == 17 and len(connection.open_queries) == 1)
    assert connection.unread_bytes > client_connection.MAX_UNREAD_BYTES
    late = client.send_request(
        query_id(20), "scene-build", 5000
    )  # by now the controller has looked what waits
    loop.sleep(5.0)
    return connection, number, late


@pytest.mark.parametrize("how", ["forget", "half-close", "close", "reset"])
def test_a_client_that_leaves_while_its_answers_wait_unread_is_seen_at_once(how):
    def main(loop):
        executor = Executor(loop, 1, pages=9, script=big_pages)
        node = start_node(loop, [instance("s-1", 1)])
        client = Client(loop)
        connection, number, _ = lazy(loop, node, executor, client)
        began = loop.now()
        if how == "forget":
            client.stream.write(msgpack.packb([2, "forget", [number]]))
        elif how == "half-close":
            client.stream.half_close()
        elif how == "close":
            client.stream.close()
        else:
            client.stream.abort()
        until(loop, lambda: not connection.open_queries)
        assert loop.now() - began < 5.0
        until(loop, lambda: HELD in executor.deleted)
        assert query_id(20) not in executor.ran
        loop.sleep(5000.0)
        settled(node)

    run(3, main)


def test_requests_that_come_while_answers_wait_unread_are_refused_and_their_refusals_bounded():
    def main(loop):
        executor = Executor(loop, 1, pages=9, script=big_pages)
        node = start_node(loop, [instance("s-1", 1)])
        client = Client(loop)
        connection, _, late = lazy(loop, node, executor, client)
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
        settled(node)

    run(4, main)


@pytest.mark.parametrize("seed", range(3))
def test_a_request_and_its_forget_in_the_same_bytes_reach_no_executor(seed):
    def main(loop):
        executor = Executor(loop, 1)
        node = start_node(loop, [instance("s-1", 1)])
        client = Client(loop)
        client.stream.write(request(1, 1) + msgpack.packb([2, "forget", [1]]) + request(2, 2))
        assert client.wait_for_answer(2) == (None, [ROWS, {}])
        assert executor.ran == [query_id(2)]
        loop.sleep(500.0)
        settled(node)

    run(seed, main)


def test_a_client_that_sends_without_end_leaves_others_their_turn(monkeypatch):
    order, sends = [], client_connection.ClientConnection.send

    def send(connection, raw, entry):
        order.append(connection.stream.peer.port)
        sends(connection, raw, entry)

    monkeypatch.setattr(client_connection.ClientConnection, "send", send)

    def main(loop, node, executor):
        greedy, other = connect(loop, node), connect(loop, node)
        piece = b"".join(is_well(k) for k in range(1, 14_000))
        assert len(piece) > 2 * client_connection.READ_BYTES
        greedy.setblocking(True)
        greedy.settimeout(WAIT_S)
        greedy.sendall(piece)  # all of it waits before the controller reads any
        other.sendall(is_well(1))
        until(loop, lambda: len(order) == 14_000)
        assert order.index(other.getsockname()[1]) < 13_000
        greedy.close()
        other.close()

    real(main)


def test_of_a_client_that_has_sent_much_and_gone_nothing_begins():
    def main(loop, node, executor):
        node.frontend.listener.sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, 400_000
        )  # its end comes up
        sock = connect(loop, node)
        connection = only(loop, node)
        sent = b"".join(request(k, k) for k in range(1, 900))
        assert len(sent) > client_connection.READ_BYTES
        sock.setblocking(True)
        sock.settimeout(WAIT_S)
        sock.sendall(sent)
        sock.shutdown(socket.SHUT_WR)  # a client that closes would be seen by the answers it does not take
        assert not connection.last_message_id
        until(loop, lambda: connection.is_closed)
        loop.sleep(100.0)
        assert not executor.calls and not node.log.attempt_statuses
        sock.close()

    real(main)


def test_the_third_unusable_request_leaves_the_answers_that_are_not_taken_yet():
    def main(loop):
        executor = Executor(loop, 1, pages=9, script=big_pages)
        node = start_node(loop, [instance("s-1", 1)])
        client = Client(loop)
        connection, held, late = lazy(loop, node, executor, client)
        client.stream.write(msgpack.packb([2, "forget", [held]]))
        numbers = [client.send_request(query_id(30 + k), "no-such-class") for k in range(3)]
        until(loop, lambda: connection.last_message_id == numbers[-1])
        assert (
            not connection.open_queries and connection.invalid_requests == 0
        )  # refused, as what waits is too much
        client.wait_for_answer(late)
        numbers = [client.send_request(query_id(40 + k), "no-such-class") for k in range(3)]
        client.wait_for_answer(numbers[-1])
        assert len(client.answers) == 16 + 1 + 3 + 3

    run(5, main)


# The end of service.


def killed_at(node, loop):
    """Return when SIGKILL may come, had SIGTERM come now: as the protocol has it."""
    longest = max(cls.client_timeout_ms for cls in node.config.settings.classes)
    return loop.now() + min(longest, 3000.0) + 700.0


def test_the_end_waits_for_a_slow_reader_and_for_half_a_message():
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
        whole = request(2, 50)
        slow.stream.write(whole[:30])
        until(loop, lambda: node.driver.is_closing and not node.driver.ledger.open_count)
        assert len(node.frontend.slots) == 2
        loop.sleep(1000.0)
        assert not ending.done
        assert all(client.wait_for_answer(k)[0] is None for k in range(1, 25)) and client.wait_until_closed()
        slow.stream.write(whole[30:])
        assert slow.wait_for_answer(2)[0][0] == "Shed" and slow.wait_until_closed()
        for each in (client, slow):
            each.stream.close()
        ending.join()
        assert query_id(50) not in executor.ran
        settled(node)

    run(6, main)


def test_a_reader_that_takes_nothing_and_a_client_that_never_ends_hold_the_end_no_longer_than_they_may():
    def main(loop):
        Executor(loop, 1, pages=9, script=big_pages)
        node = start_node(loop, [instance("s-1", 1)])
        client, resting = Client(loop), Client(loop)
        resting.stream.write(is_well(1))
        assert resting.wait_for_answer(1) == (None, [True, {}])
        for k in range(1, 25):
            client.send_request(query_id(k), "scene-build", 5000)
        killed = killed_at(node, loop)
        ending = loop.spawn(node.shut_down)
        assert resting.wait_until_closed()
        ending.join()
        assert loop.now() < killed
        assert not len(node.frontend.slots) and not node.frontend.lingering
        settled(node)

    run(7, main)


def test_what_is_read_after_the_end_of_service_is_refused_and_not_sent_on():
    def main(loop):
        executor = Executor(loop, 1)
        node = start_node(loop, [instance("s-1", 1)])
        client, resting = Client(loop), Client(loop)
        resting.stream.write(is_well(1))
        resting.wait_for_answer(1)
        held = client.send_request(HELD, "publish", 5000)
        until(loop, lambda: HELD in executor.started)
        executor.started[HELD] += 2500.0
        ending = loop.spawn(node.shut_down)
        until(loop, lambda: node.driver.is_closing)
        late = client.send_request(query_id(1), "scene-build", 4000)
        resting.number = 1
        rested = resting.send_request(query_id(2), "scene-build", 4000)
        assert client.wait_for_answer(late)[0][0] == resting.wait_for_answer(rested)[0][0] == "Shed"
        assert client.wait_for_answer(held) == (None, [ROWS, {}])
        assert client.wait_until_closed() and resting.wait_until_closed()
        client.stream.close()
        resting.stream.close()
        ending.join()
        assert executor.ran == [HELD]
        settled(node)

    run(8, main)


def test_what_is_open_at_the_last_gets_its_answer():
    def main(loop):
        executor = Executor(loop, 1)
        node = start_node(loop, [instance("s-1", 1)])
        client = Client(loop)
        number = client.send_request(HELD, "publish", 12_000)
        until(loop, lambda: HELD in executor.started)
        executor.started[HELD] += 60_000.0
        killed = killed_at(node, loop)
        ending = loop.spawn(node.shut_down)
        assert client.wait_for_answer(number, 20_000.0)[0][0] == "Failed" and loop.now() < killed
        assert client.wait_until_closed()
        client.stream.close()
        ending.join()
        assert loop.now() < killed and executor.deleted == [HELD]
        settled(node)

    run(9, main)


def test_who_waits_in_the_backlog_as_the_listener_closes_is_answered(monkeypatch):
    monkeypatch.setattr(shutdown, "SERVING_MS", 1.0)

    def main(loop, node, executor):
        finish, address, socks = node.frontend.finish_accepting, node.frontend.listener.address, []

        def last_come(until_ms):
            for number in range(1, 70):
                sock = socket.create_connection(address)
                sock.sendall(request(1, number))
                sock.setblocking(False)
                socks.append(sock)
            finish(until_ms)

        monkeypatch.setattr(node.frontend, "finish_accepting", last_come)
        ending = loop.spawn(node.shut_down)
        until(loop, lambda: socks)
        with pytest.raises(ConnectionRefusedError):
            socket.create_connection(address)
        for sock in socks:
            ((_, number, error, _),) = taken(loop, sock)[0]
            assert number == 1 and error[0] == "Shed"
            sock.close()
        ending.join()
        assert not executor.calls

    real(main)


@pytest.mark.parametrize("seed", range(8))
def test_whoever_asks_around_the_end_gets_one_answer_or_crosses_the_end(seed):
    """Clients that pipeline, pause, read slowly or rest, before and through the end, by a seed."""

    def main(loop):
        draw = loop.random
        executors = [Executor(loop, k, work_ms=150.0 * k, pages=6, script=big_pages) for k in (1, 2)]
        node = start_node(loop, [instance("s-1", 1), instance("s-2", 2)])
        ids = iter(range(1, 10_000))
        told = []  # client, number, when it was sent, its id
        closed, linger = {}, node.frontend.linger  # when each connection was closed here

        def closes(connection):
            closed[connection.stream.outward] = loop.now()
            linger(connection)

        node.frontend.linger = closes

        def life(client, ended):
            loop.sleep(draw.uniform(0.0, 1500.0))
            while not ended:
                for _ in range(draw.choice((1, 1, 3, 12))):
                    query, effect = next(ids), draw.choice(("lookup", "scene-build", "publish"))
                    sent = loop.now()
                    with suppress(StreamReset):
                        number = client.send_request(query_id(query), effect, draw.choice((400, 1500, 1900)))
                        told.append((client, number, sent, query_id(query)))
                loop.sleep(draw.choice((5.0, 60.0, 400.0, 1500.0)))

        def listen(client, ended):
            while True:
                data = client.stream.read(draw.choice((500, 20_000, 65_536)))
                if not data:
                    ended.append(True)
                    loop.sleep(draw.choice((0.0, 30.0, 900.0)))  # some end late
                    client.stream.close()
                    return
                client.unpacker.feed(data)
                for kind, number, error, result in client.unpacker:
                    assert kind == 1 and number not in client.answers
                    client.answers[number] = (error, result)
                loop.sleep(draw.choice((0.0, 0.0, 1.0, 20.0)))

        lives, ends = [], {}
        for _ in range(12):
            client = Client(loop)
            ends[client] = []
            lives += [loop.spawn(life, client, ends[client]), loop.spawn(listen, client, ends[client])]
        loop.sleep(800.0)
        began, killed = loop.now(), killed_at(node, loop)
        node.shut_down()
        assert loop.now() < killed
        for task in lives:
            task.join()
        ran, answered = {query for executor in executors for query in executor.ran}, 0
        for client, number, sent, query in told:
            if number in client.answers:
                error, result = client.answers[number]
                assert error is not None or result == [ROWS + 5 * BIG, {}]
                answered += 1
            else:  # it was under way to here as our end was to there
                assert sent > closed[client.stream.inward] - 1.0 and query not in ran
            assert sent < began + 1000.0 or query not in ran
        assert answered > 50 and len(ran) > 25  # else the seed tells nothing
        loop.sleep(1000.0)
        settled(node)

    run(seed, main)


def in_a_process(call, **more):
    """Run one of this file's calls in a process of its own; return how it ended and what it wrote."""
    found = "import sys; sys.path.insert(0, 'tests/support'); import search_paths"
    code = f"{found}; import test_frontend_races as t; t.{call}()"
    return subprocess.run(
        [sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, timeout=4 * WAIT_S, **more
    )


def whole_program(scenario):
    """Run the program's `main` with a scenario as a task of its own loop."""
    begin = Node.start

    def start_with(node):
        node.loop.spawn(scenario, node.loop, node)
        begin(node)

    Node.start = start_with
    sys.exit(lifecycle.main())


def config_file(folder, **told):
    path = folder / "config.json"
    text = json.loads(config_text([instance("s-1", 1) | {"hostPort": "127.0.0.1:1"}], **told))
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
        until(loop, lambda: HELD in executor.started)
        executor.started[HELD] += 60_000.0
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
        told = answer(loop, sock)
        assert told[1] == 2 and (told[2] is None or told[2][0] == "Shed")
        executor.started[HELD] = 0.0
        assert answer(loop, sock) == [1, 1, None, [ROWS, {}]]
        assert taken(loop, sock) == ([], False)
        sock.close()

    whole_program(scenario)


def test_signals_during_the_end_change_nothing_of_it(tmp_path):
    done = in_a_process("signals_in_shutdown", env=config_file(tmp_path))
    assert done.returncode == 0, done.stderr
    assert "broke:" not in done.stderr and "books agree: True; open 0" in done.stderr


def told_to_end_while_starting():
    def scenario(loop, node):
        os.kill(os.getpid(), signal.SIGTERM)

    begin = Node.start

    def start_late(node):
        os.kill(os.getpid(), signal.SIGTERM)
        begin(node)

    Node.start = start_late
    whole_program(scenario)


def test_the_program_that_is_told_to_end_before_it_listens_starts_and_ends_in_order(tmp_path):
    done = in_a_process("told_to_end_while_starting", env=config_file(tmp_path))
    assert done.returncode == 0, done.stderr
    assert "listening" in done.stderr and "books agree: True; open 0" in done.stderr


# The loop under it.


def test_a_signals_call_that_fails_is_reported_and_ends_nothing():
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


def test_news_of_a_closed_descriptor_do_not_reach_the_next_one_with_its_number():
    loop, got = RealLoop(), []

    def main():
        listener = loop.listen(Address("127.0.0.1", 0))
        peers, mine = [], []
        for _ in range(2):
            peers.append(socket.create_connection(listener.address))
            mine.append(listener.accept())

        def read(stream, who):
            got.append((who, stream.read()))

        def first():
            read(mine[0], "first")
            number = mine[1].sock.fileno()
            mine[1].close()  # its bytes were told in the same look at the sockets
            fresh = socket.create_connection(listener.address)
            peers.append(fresh)
            while fresh.fileno() != number and len(peers) < 9:
                fresh = socket.create_connection(listener.address)
                peers.append(fresh)
            assert fresh.fileno() == number
            fresh.setblocking(False)
            loop.spawn(lambda: (loop.watch(number, READ).wait(), got.append(("fresh", fresh.recv(9)))))

        tasks = [loop.spawn(first), loop.spawn(read, mine[1], "second")]
        loop.sleep(0.0)
        for peer in peers:
            peer.sendall(b"x")
        for task in tasks:
            task.join()
        for _ in range(5):
            loop.sleep(0.0)
        assert got == [("first", b"x"), ("second", b"")]
        other = [listener.accept() for _ in range(len(peers) - 2)][-1]
        other.write(b"y")
        until(loop, lambda: len(got) == 3)
        assert got[-1] == ("fresh", b"y")
        for peer in peers:
            peer.close()

    loop.run(main)


# Descriptors.


@pytest.mark.parametrize("sockets", [256, 300, 512, 640, 1024])
def test_the_parts_of_the_descriptors_leave_some_for_all_else(sockets):
    def main(loop):
        node = start_node(loop, [], sockets=sockets)
        front = node.frontend
        rest = sockets - front.slots.limit - front.max_lingering - node.executor_pool.max_connections
        assert rest >= 3 + 2 + 1 + 1 + 1 + 1 + 6  # standard streams, wake pipe, listener, channel, the
        # connection just accepted, a file of settings; and six more
        assert front.max_lingering >= 7

    run(1, main)


def test_full_of_idle_clients_the_channel_executors_and_new_clients_still_get_a_descriptor(tmp_path):
    """Idle and silent clients fill their part while the channel is down and executors close each call."""
    executor, where = listening()
    channel, away = listening()
    channel.close()
    free, listen = listening()
    free.close()
    host, port = listen.rsplit(":", 1)

    def serve():
        def one(peer):
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
            threading.Thread(target=one, args=(peer,), daemon=True).start()

    threading.Thread(target=serve, daemon=True).start()
    path = tmp_path / "config.json"
    told = json.loads(config_text([instance("s-1", 1) | {"hostPort": where}], channel=away))
    path.write_text(json.dumps(told | {"listen": listen}), encoding="utf-8")
    most = told["limits"]["sockets"]
    process = subprocess.Popen(
        command(), cwd=ROOT, env=os.environ | {"RELAY_CONFIG": str(path)}, stderr=subprocess.PIPE, text=True
    )
    resource.prlimit(process.pid, resource.RLIMIT_NOFILE, (most, most))
    log = []
    opened = []
    asked = []

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
                for told in unpacker:
                    return told
        raise AssertionError("closed without an answer")

    try:
        expect("listening")
        for _ in range(int(most / 3)):
            idle = client(is_well(1))
            assert msgpack.unpackb(idle.recv(100)) == [1, 1, None, [True, {}]]
        for k in range(most):
            client(b"")
            if k % 16 == 0:
                assert served(k) == [1, 1, None, [ROWS, {}]]
        used = len(os.listdir(f"/proc/{process.pid}/fd"))
        assert most / 2 < used < most
        back = socket.create_server(("127.0.0.1", int(away.rsplit(":", 1)[1])))
        back.settimeout(WAIT_S)
        threading.Thread(target=serve_channel, args=(back, asked), daemon=True).start()
        while not asked and process.poll() is None:
            assert served(1000 + len(opened)) == [1, 1, None, [ROWS, {}]]
        moved, there = listening()
        moved_asked = []
        threading.Thread(target=serve_channel, args=(moved, moved_asked), daemon=True).start()
        path.write_text(path.read_text("utf-8").replace(away, there), encoding="utf-8")
        process.send_signal(signal.SIGHUP)
        while not moved_asked and process.poll() is None:
            assert served(5000 + len(opened)) == [1, 1, None, [ROWS, {}]]
        process.send_signal(signal.SIGTERM)
        expect("closed")
        moved.close()
        assert process.wait(WAIT_S) == 0 and "books agree: True; open 0" in log[-1]
        assert "broke:" not in "".join(log) and asked
        back.close()
    finally:
        if process.poll() is None:
            process.kill()
        process.wait()
        process.stderr.close()
        executor.close()
        for sock in opened:
            sock.close()
