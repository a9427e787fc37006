"""Start time and deadline of attempts, on real processes that stall and with slow peers."""

import signal
import time

import pytest
from nodes import SETTINGS, query_id
from processes import (
    DEADLINE_SLACK_S,
    Controller,
    ThreadedClient,
    ThreadedExecutor,
    stop_process,
    wait_until,
)

STALL_S = 0.6


def deadline_excess_s(request, post):
    """Return by how many seconds the deadline sent to an executor exceeds the client's time left."""
    remaining_s = request.sent_at + request.wait_s - post.received_at
    return int(post.headers["X-Wait-Ms"]) / 1000.0 - remaining_s


@pytest.mark.parametrize("where", ["open", "new", "pieces"])
def test_time_a_request_waited_unread_counts_against_its_deadline(tmp_path, where):
    executor = ThreadedExecutor()
    controller = Controller(tmp_path, [executor])
    try:
        client = ThreadedClient(controller)
        client.send_request(query_id(1))
        wait_until(lambda: client.requests[1].answers)
        stop_process(controller)
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
        wait_until(lambda: request.answers)
        assert executor.queries()[-1] == query_id(2)
        assert deadline_excess_s(request, executor.posts[-1]) <= DEADLINE_SLACK_S
    finally:
        controller.end()


WAYS_TO_LEAVE = ("forget", "close", "reset")


def leave(client, how):
    """Cancel all requests of a client, or close its connection."""
    if how == "forget":
        for number in client.requests:
            client.forget(number)
    else:
        client.close(how == "reset")


def test_no_attempt_starts_for_a_client_that_left_while_the_process_was_stopped(tmp_path):
    executor = ThreadedExecutor()
    controller = Controller(tmp_path, [executor])
    try:
        for how in WAYS_TO_LEAVE:
            client = ThreadedClient(controller)
            time.sleep(0.1)
            stop_process(controller)
            for number in range(1, 31):
                client.send_request(query_id(number), "scene-build", 5000, b"select '" + b"x" * 30_000 + b"'")
            leave(client, how)
            time.sleep(0.3)
            controller.signal(signal.SIGCONT)
            time.sleep(0.5)
            assert executor.queries() == [], how
    finally:
        controller.end()


@pytest.mark.parametrize("request_count", [1, 10])
def test_no_attempt_starts_for_a_client_that_left_in_a_stall_during_connect(tmp_path, request_count):
    ceilings = SETTINGS["Ceilings"] | {"DialTimeoutMs": 4000.0}
    for how in WAYS_TO_LEAVE:
        executor = ThreadedExecutor(accepts=False)
        controller = Controller(tmp_path, [executor], Ceilings=ceilings)
        try:
            client = ThreadedClient(controller)
            for number in range(request_count):
                client.send_request(query_id(number), "scene-build", 5000, b"select '" + b"x" * 30_000 + b"'")
            time.sleep(0.4)
            stop_process(controller)
            leave(client, how)
            executor.accept()
            time.sleep(1.5)
            controller.signal(signal.SIGCONT)
            time.sleep(1.0)
            assert executor.queries() == [], how
        finally:
            controller.end()
