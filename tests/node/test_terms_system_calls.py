"""System calls that fail for a moment, with errors that Linux documents, while the program runs."""

import json
import signal
import threading
import time

import pytest
from nodes import ROWS, SETTINGS, query_id
from processes import (
    DEADLINE_SLACK_S,
    MAX_START_AFTER_LEAVING_S,
    Controller,
    ThreadedClient,
    ThreadedExecutor,
    wait_until,
)
from test_node_run import listening, serve_channel


class FaultyController(Controller):
    """A controller whose system calls fail as long as a file lists them."""

    def __init__(self, folder, executors, faults=None, **config):
        self.faults_file = folder / "faults.json"
        self.fail(**(faults or {}))
        search_path = "import sys; sys.path.insert(0, 'tests/support')"
        before = f"{search_path}; import faulty; faulty.install({str(self.faults_file)!r})"
        super().__init__(folder, executors, before=before, **config)

    def fail(self, **calls):
        """Set the calls that fail from now on; without arguments none does."""
        fresh = self.faults_file.with_suffix(".new")
        fresh.write_text(json.dumps(calls), encoding="utf-8")
        fresh.replace(self.faults_file)


@pytest.fixture
def faulty_controller(tmp_path):
    executor = ThreadedExecutor()
    controller = FaultyController(tmp_path, [executor])
    controller.executor = executor
    yield controller
    controller.end()


def is_served_in_time(request):
    """Wait for the answer, check that it holds rows, and return whether it came in time."""
    wait_until(lambda: request.answers)
    when, error, result = request.answers[0]
    assert (error, result) == (None, [ROWS, {}]), error
    return when <= request.sent_at + request.wait_s


def test_transient_accept_failure_loses_no_request(faulty_controller):
    for number, error in enumerate(
        ("ECONNABORTED", "ENFILE", "EMFILE", "ENOBUFS", "ENOMEM", "EPROTO", "ENETUNREACH", "EHOSTUNREACH")
    ):
        faulty_controller.fail(accept=error)
        clients = [ThreadedClient(faulty_controller) for _ in range(3)]
        requests = [client.send_request(query_id(10 * number + k)) for k, client in enumerate(clients)]
        time.sleep(0.3)
        faulty_controller.fail()
        assert all(is_served_in_time(request) for request in requests), error
        for client in clients:
            client.close()


def test_failed_setsockopt_loses_at_most_one_connection(faulty_controller):
    faulty_controller.fail(setsockopt="ENOBUFS")
    first = ThreadedClient(faulty_controller)
    time.sleep(0.2)
    faulty_controller.fail()
    assert is_served_in_time(ThreadedClient(faulty_controller).send_request(query_id(1)))
    first.close()


def test_one_byte_reads_and_writes_do_not_change_the_answer(faulty_controller):
    faulty_controller.fail(sizes="short")
    client = ThreadedClient(faulty_controller)
    assert is_served_in_time(
        client.send_request(query_id(1), wait_ms=3000, statement=b"select 1 from sales_3.orders")
    )
    faulty_controller.fail()


def test_config_file_is_reloaded_after_a_transient_open_failure(faulty_controller):
    moved, address = listening()
    channel_requests = []
    threading.Thread(target=serve_channel, args=(moved, channel_requests), daemon=True).start()
    for error in ("ENFILE", "EIO"):
        channel_requests.clear()
        faulty_controller.write(channel=address)
        faulty_controller.fail(open=error)
        faulty_controller.signal(signal.SIGHUP)
        time.sleep(0.5)
        faulty_controller.fail()
        # the old channel ends 1.5 s after SIGHUP; all events count as known 4 s after it
        wait_until(lambda: channel_requests, 1.0)
        faulty_controller.write()
        faulty_controller.signal(signal.SIGHUP)
        time.sleep(0.3)


def test_backlog_is_answered_when_the_listener_closes_despite_accept_failures(faulty_controller):
    faulty_controller.fail(accept="ENFILE")
    sigterm_at = faulty_controller.signal(signal.SIGTERM)
    time.sleep(0.3)
    clients = [ThreadedClient(faulty_controller) for _ in range(3)]
    requests = [client.send_request(query_id(k)) for k, client in enumerate(clients)]
    time.sleep(max(0.0, sigterm_at + 1.1 - time.monotonic()))
    faulty_controller.fail()
    for request in requests:
        wait_until(lambda request=request: request.answers, 3.0)
    assert faulty_controller.process.wait(10.0) == 0


@pytest.mark.parametrize("call", ["socket", "connect"])
def test_transient_local_connect_failure_loses_no_request(faulty_controller, call):
    client = ThreadedClient(faulty_controller)
    errors = {
        "socket": ("ENFILE", "EMFILE", "ENOBUFS", "ENOMEM"),
        "connect": ("EADDRNOTAVAIL", "ENETUNREACH", "EAGAIN", "EINTR", "ENOBUFS"),
    }
    for number, error in enumerate(errors[call]):
        time.sleep(0.1)
        faulty_controller.fail(**{call: error})
        requests = [
            client.send_request(query_id(10 * number + k)) for k in range(6)
        ]  # more than there are idle connections
        time.sleep(0.15)
        faulty_controller.fail()
        assert all(is_served_in_time(request) for request in requests), error


def test_startup_waits_out_a_transient_lack_of_descriptors(tmp_path):
    for number, (call, error) in enumerate((("socket", "ENFILE"), ("pipe", "ENFILE"), ("open", "ENFILE"))):
        folder = tmp_path / str(number)
        folder.mkdir()
        threading.Timer(1.5, (folder / "faults.json").unlink).start()
        controller = FaultyController(folder, [ThreadedExecutor()], faults={call: error})
        try:
            client = ThreadedClient(controller)
            assert is_served_in_time(client.send_request(query_id(1)))
        finally:
            controller.end()


def test_attempt_whose_send_blocks_starts_in_time_or_not_at_all(tmp_path):
    for number, client_leaves in enumerate((False, True)):
        folder = tmp_path / str(number)
        folder.mkdir()
        executor = ThreadedExecutor()
        ceilings = SETTINGS["Ceilings"] | {"Cancel": False, "MaxAttempts": 1}
        controller = FaultyController(folder, [executor], Ceilings=ceilings)
        try:
            client = ThreadedClient(controller)
            assert is_served_in_time(client.send_request(query_id(1)))
            controller.fail(send="EAGAIN")
            request = client.send_request(query_id(2))
            time.sleep(0.05)
            if client_leaves:
                client.close()
            left_at = time.monotonic()
            time.sleep(0.2)
            controller.fail()
            time.sleep(0.5)
            for post in executor.posts[1:]:
                left_s = request.sent_at + request.wait_s - post.received_at
                assert int(post.headers["X-Wait-Ms"]) / 1000.0 <= left_s + DEADLINE_SLACK_S
                assert not client_leaves or post.received_at <= left_at + MAX_START_AFTER_LEAVING_S
        finally:
            controller.end()


def test_connection_broken_by_a_network_error_loses_no_request(faulty_controller):
    client = ThreadedClient(faulty_controller)
    faulty_controller.executor.work_s = 0.5
    for number, error in enumerate(("ETIMEDOUT", "EHOSTUNREACH", "ENETUNREACH", "ECONNRESET")):
        request = client.send_request(query_id(number), "scene-build", 3000, work_ms=2000.0)
        time.sleep(0.1)
        faulty_controller.fail(recv=error)
        time.sleep(0.3)  # after 0.25 s an executor answers that the query is still running
        faulty_controller.fail()
        assert is_served_in_time(request), error
        assert faulty_controller.executor.queries().count(query_id(number)) == 1, error
