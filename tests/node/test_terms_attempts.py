"""When an attempt may begin, and with what deadline, on real processes that stall and peers that are slow."""

import signal
import time

import pytest
from nodes import SETTINGS, query_id
from processes import (
    DEADLINE_SLACK_S,
    Controller,
    ThreadedClient,
    ThreadedExecutor,
    stop,
    until,
)

STALL_S = 0.6


def told_too_much_s(request, post):
    """Return by how much an executor was told a longer deadline than the client has left, in seconds."""
    left = request.sent_at + request.wait_s - post.whole_at
    return int(post.headers["X-Wait-Ms"]) / 1000.0 - left


@pytest.mark.parametrize("where", ["open", "new", "pieces"])
def test_a_request_that_waited_unread_is_not_given_that_time_again(tmp_path, where):
    executor = ThreadedExecutor()
    controller = Controller(tmp_path, [executor])
    try:
        client = ThreadedClient(controller)
        client.send_request(query_id(1))
        until(lambda: client.requests[1].answers)
        stop(controller)
        time.sleep(0.15)
        if where == "new":
            client = ThreadedClient(controller)
        if where == "pieces":
            raw = client.pack(query_id(2), wait_ms=1500)
            client.sock.sendall(raw[:20])
            time.sleep(0.1)
            client.requests[client.number].sent_at = time.monotonic()
            client.sock.sendall(raw[20:])
        else:
            client.send_request(query_id(2), wait_ms=1500)
        time.sleep(STALL_S)
        controller.signal(signal.SIGCONT)
        request = client.requests[client.number]
        until(lambda: request.answers)
        assert executor.queries()[-1] == query_id(2)
        assert told_too_much_s(request, executor.posts[-1]) <= DEADLINE_SLACK_S
    finally:
        controller.end()


LEAVES = ("forget", "close", "reset")


def leave(client, how):
    """Withdraw all requests of a client, or close its connection."""
    if how == "forget":
        for number in client.requests:
            client.forget(number)
    else:
        client.close(how == "reset")


def test_nothing_begins_for_who_left_while_the_process_stood_still(tmp_path):
    executor = ThreadedExecutor()
    controller = Controller(tmp_path, [executor])
    try:
        for how in LEAVES:
            client = ThreadedClient(controller)
            time.sleep(0.1)
            stop(controller)
            for number in range(1, 31):
                client.send_request(query_id(number), "scene-build", 5000, b"select '" + b"x" * 30_000 + b"'")
            leave(client, how)
            time.sleep(0.3)
            controller.signal(signal.SIGCONT)
            time.sleep(0.5)
            assert executor.queries() == [], how
    finally:
        controller.end()


@pytest.mark.parametrize("many", [1, 10])
def test_nothing_begins_for_who_left_in_a_stall_while_the_connection_came_up(tmp_path, many):
    ceilings = SETTINGS["Ceilings"] | {"DialTimeoutMs": 4000.0}
    for how in LEAVES:
        executor = ThreadedExecutor(accepts=False)
        controller = Controller(tmp_path, [executor], Ceilings=ceilings)
        try:
            client = ThreadedClient(controller)
            for number in range(many):
                client.send_request(query_id(number), "scene-build", 5000, b"select '" + b"x" * 30_000 + b"'")
            time.sleep(0.4)
            stop(controller)
            leave(client, how)
            executor.accept()
            time.sleep(1.5)
            controller.signal(signal.SIGCONT)
            time.sleep(1.0)
            assert executor.queries() == [], how
        finally:
            controller.end()
