"""What crosses at the clients' side: closes of ours, clients that leave, the end of service, descriptors.

On real sockets a crossing is forced by the order of calls in one turn of the loop, or by a peer that waits
for a state before it acts.
"""

import json
import socket
from contextlib import suppress

import msgpack
import pytest
from nodes import ROWS, Client, Executor, Quiet, config_text, instance, name, start
from test_node import run, settled
from test_node_run import ROOT, WAIT_S, Program, ask, listening, program, serve_channel  # noqa: F401

from fennelwind.limits import places
from fennelwind.loop import Address, RealLoop, StreamReset
from fennelwind.node import front as front_module
from fennelwind.node.config import read_config
from fennelwind.node.lifecycle import Node

BIG = b"a\tb\t%s\n" % (b"c" * 5000)


def is_well(number):
    return msgpack.packb([0, number, "isWell", [{}]])


def request(number, query, method="lookup", wait=1500, statement=b"select 1 from sales_3.orders"):
    told = {"i": name(query), "d": str(wait), "t": "acme", "h": "10.0", "mb": "16"}
    return msgpack.packb([0, number, method, [told, statement]])


def big_pages(verb, path, number):
    """Let an executor answer with large pages."""
    if verb == "GET" and path[-1] != "0":
        return b"HTTP/1.1 200 OK\r\nX-Batch: %s\r\nContent-Length: %d\r\n\r\n%s" % (
            path[-1].encode(), len(BIG), BIG)
    return None


def real(main, work_ms=20.0, sockets=256):
    """Run `main(loop, node, executor)` with a controller and an executor on real sockets."""
    loop, log = RealLoop(), Quiet()
    loop.on_error = lambda task, exc: log.failed(task.name, exc)

    def begin():
        executor = Executor(loop, 1, port=0, work_ms=work_ms)
        told = json.loads(config_text([instance("s-1", 1) | {"hostPort": str(executor.listener.address)}],
                                      sockets=sockets, channel=Address("127.0.0.1", 1)))
        told["listen"] = "127.0.0.1:0"
        node = Node(loop, read_config(json.dumps(told)), log)
        node.start()
        main(loop, node, executor)

    loop.run(begin)
    assert not log.broke


def connect(loop, node):
    """Connect a plain socket of a client's, and wait until the controller has taken it in."""
    before = node.front.counts["accepted"]
    sock = socket.create_connection(node.front.listener.address)
    sock.setblocking(False)
    until(loop, lambda: node.front.counts["accepted"] > before)
    return sock


def until(loop, holds):
    """Wait for a state, in turns of the loop."""
    with loop.deadline(WAIT_S * 1000.0):
        while not holds():
            loop.sleep(1.0)


def taken(loop, sock):
    """Read to the end; return the messages and whether it was a reset that ended it."""
    unpacker = msgpack.Unpacker(raw=False)
    with loop.deadline(WAIT_S * 1000.0):
        while True:
            try:
                data = sock.recv(65536)
            except BlockingIOError:
                loop.sleep(1.0)
                continue
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
            try:
                data = sock.recv(65536)
            except BlockingIOError:
                loop.sleep(1.0)
                continue
            assert data, "closed without an answer"
            unpacker.feed(data)
            for told in unpacker:
                return told


def only(loop, node):
    """Return the controller's side of its only connection."""
    until(loop, lambda: len(node.front.places))
    connection, = node.front.places
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
        assert front_module.READ_BYTES < len(sent) < front_module.LINGER_BYTES
        sock = connect(loop, node)
        connection = only(loop, node)
        sock.sendall(first)
        until(loop, lambda: connection.last or not first)
        sock.setblocking(True)
        sock.sendall(sent)
        sock.setblocking(False)
        until(loop, lambda: connection.closed and not connection.stream.waiting())
        told, reset = taken(loop, sock)
        assert len(told) == answers and not reset
        sock.close()
        until(loop, lambda: not node.front.lingering)

    real(main)


def test_a_request_that_crosses_a_close_is_not_sent_on_and_resets_nothing():
    def main(loop, node, executor):
        sock = connect(loop, node)
        sock.sendall(is_well(1))
        connection = only(loop, node)
        until(loop, lambda: connection in node.front.places.idle)
        sock.sendall(request(2, 1))
        connection.close()  # in the turn in which the bytes came
        assert connection.stream.waiting()
        until(loop, lambda: not connection.stream.waiting())
        assert taken(loop, sock) == ([[1, 1, None, [True, {}]]], False)
        sock.sendall(request(3, 2))  # by a client that has seen the end
        sock.close()
        until(loop, lambda: not node.front.lingering)
        assert not executor.calls and node.driver.ledger.balanced() and not node.driver.ledger.entries

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
            assert not node.front._make_room()
        else:
            monkeypatch.setattr(places, f"{why.upper()}_MS", -1.0)
            overdue = list(node.front.places.overdue(loop.now()))
            assert overdue == [(connection, why)]
            node.front.close_overdue()
            monkeypatch.undo()
        assert answer(loop, sock) == [1, 2, None, [ROWS, {}]]
        sock.close()

    real(main)


def test_those_that_linger_are_bounded_in_number_time_and_bytes():
    def main(loop):
        Executor(loop, 1)
        node = start(loop, [instance("s-1", 1)], sockets=200)
        front = node.front
        clients = [Client(loop) for _ in range(40)]
        for client in clients:
            client.stream.write(b"\xc1")
        loop.sleep(50.0)
        assert front.counts["unreadable"] == 40 and not len(front.places)
        assert len(front.lingering) == front.lingering_most == 6
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
        loop.sleep(front_module.LINGER_MS + front_module.SWEEP_MS)
        assert not front.lingering
        loop.sleep(10.0)
        assert not [task for task in loop.tasks if task.name == "client"]

    run(1, main)


def test_a_client_that_never_ends_is_cut_in_time_and_one_that_reads_on_may_end_itself():
    def main(loop):
        node = start(loop, [], sockets=256)
        first, second = Client(loop), Client(loop)
        for client in (first, second):
            client.stream.write(is_well(1))
            assert client.answer(1) == (None, [True, {}])
            client.stream.write(b"\xc1")
        until(loop, lambda: len(node.front.lingering) == 2)
        assert first.closed(100.0) and second.closed(100.0)
        first.stream.close()
        loop.sleep(10.0)
        assert len(node.front.lingering) == 1
        loop.sleep(front_module.LINGER_MS + front_module.SWEEP_MS)
        assert not node.front.lingering
        with pytest.raises(StreamReset):
            second.stream.write(b"x")
            loop.sleep(10.0)
            second.stream.write(b"x")

    run(2, main)


# A client leaves.


HELD = name(99)


def lazy(loop, node, executor, client):
    """Let more answers wait for a client than may, while a request of its goes on at the executor."""
    number = client.ask(HELD, "publish", 5000)  # its effect happens once: it gets no second attempt
    until(loop, lambda: HELD in executor.started)
    executor.started[HELD] += 8000.0
    for k in range(1, 17):
        client.ask(name(k), "scene-build", 5000)
    connection = only(loop, node)
    until(loop, lambda: connection.last == 17 and len(connection.open) == 1)
    assert connection.unread_bytes > front_module.UNREAD_MOST
    late = client.ask(name(20), "scene-build", 5000)  # by now the controller has looked what waits
    loop.sleep(5.0)
    return connection, number, late


@pytest.mark.parametrize("how", ["forget", "close", "reset"])
def test_a_client_that_leaves_while_its_answers_wait_unread_is_seen_at_once(how):
    def main(loop):
        executor = Executor(loop, 1, pages=9, script=big_pages)
        node = start(loop, [instance("s-1", 1)])
        client = Client(loop)
        connection, number, _ = lazy(loop, node, executor, client)
        began = loop.now()
        if how == "forget":
            client.stream.write(msgpack.packb([2, "forget", [number]]))
        elif how == "close":
            client.stream.close()
        else:
            client.stream.abort()
        until(loop, lambda: not connection.open)
        assert loop.now() - began < 5.0
        until(loop, lambda: HELD in executor.deleted)
        assert name(20) not in executor.ran
        loop.sleep(5000.0)
        settled(node)

    run(3, main)


def test_requests_that_come_while_answers_wait_unread_are_refused_and_their_refusals_bounded():
    def main(loop):
        executor = Executor(loop, 1, pages=9, script=big_pages)
        node = start(loop, [instance("s-1", 1)])
        client = Client(loop)
        connection, _, late = lazy(loop, node, executor, client)
        assert connection.last == late and late not in connection.open
        error, _ = client.answer(late)
        assert error[0] == "Shed" and len(client.answers) == 17 and name(20) not in executor.ran
        for k in range(30, 46):
            last = client.ask(name(k), "scene-build", 5000)
        until(loop, lambda: connection.last == last and len(connection.open) == 1)
        assert connection.unread_bytes > front_module.UNREAD_MOST
        for k in range(1000, 1000 + front_module.UNREAD_ANSWERS_MOST):
            client.stream.write(is_well(k))
        until(loop, lambda: connection.closed)
        assert node.front.counts["unread"] == 1 and not connection.unread
        loop.sleep(5000.0)
        settled(node)

    run(4, main)


@pytest.mark.parametrize("seed", range(3))
def test_a_request_and_its_forget_in_the_same_bytes_reach_no_executor(seed):
    def main(loop):
        executor = Executor(loop, 1)
        node = start(loop, [instance("s-1", 1)])
        client = Client(loop)
        client.stream.write(request(1, 1) + msgpack.packb([2, "forget", [1]]) + request(2, 2))
        assert client.answer(2) == (None, [ROWS, {}])
        assert executor.ran == [name(2)]
        loop.sleep(500.0)
        settled(node)

    run(seed, main)


def test_a_client_that_sends_without_end_leaves_others_their_turn(monkeypatch):
    order, sends = [], front_module.Connection.send

    def send(connection, raw, entry):
        order.append(connection.stream.peer.port)
        sends(connection, raw, entry)

    monkeypatch.setattr(front_module.Connection, "send", send)

    def main(loop, node, executor):
        greedy, other = connect(loop, node), connect(loop, node)
        piece = b"".join(is_well(k) for k in range(1, 14_000))
        assert len(piece) > 2 * front_module.READ_BYTES
        greedy.setblocking(True)
        greedy.settimeout(WAIT_S)
        greedy.sendall(piece)  # all of it waits before the controller reads any
        other.sendall(is_well(1))
        until(loop, lambda: len(order) == 14_000)
        assert order.index(other.getsockname()[1]) < 13_000
        greedy.close()
        other.close()

    real(main)
