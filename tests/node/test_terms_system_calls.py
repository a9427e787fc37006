"""System calls that fail for a moment, as Linux documents them, under the running program."""

import json
import signal
import threading
import time

import pytest
from nodes import ROWS, SETTINGS, query_id
from processes import DEADLINE_SLACK_S, LEFT_S, Controller, ThreadedClient, ThreadedExecutor, until
from test_node_run import listening, serve_channel


class Troubled(Controller):
    """A controller whose system calls fail while a file says so."""

    def __init__(self, folder, executors, trouble=None, **told):
        self.trouble = folder / "trouble.json"
        self.fail(**(trouble or {}))
        found = "import sys; sys.path.insert(0, 'tests/support')"
        before = f"{found}; import faulty; faulty.install({str(self.trouble)!r})"
        super().__init__(folder, executors, before=before, **told)

    def fail(self, **calls):
        """Let calls fail from now on; without any, none."""
        fresh = self.trouble.with_suffix(".new")
        fresh.write_text(json.dumps(calls), encoding="utf-8")
        fresh.replace(self.trouble)


@pytest.fixture
def troubled(tmp_path):
    executor = ThreadedExecutor()
    controller = Troubled(tmp_path, [executor])
    controller.executor = executor
    yield controller
    controller.end()


def served(request):
    """Wait for an answer and tell whether the request was served in time."""
    until(lambda: request.answers)
    when, error, result = request.answers[0]
    assert (error, result) == (None, [ROWS, {}]), error
    return when <= request.sent_at + request.wait_s


def test_an_accept_that_fails_for_a_moment_loses_nobody(troubled):
    for number, error in enumerate(
        ("ECONNABORTED", "ENFILE", "EMFILE", "ENOBUFS", "ENOMEM", "EPROTO", "ENETUNREACH", "EHOSTUNREACH")
    ):
        troubled.fail(accept=error)
        clients = [ThreadedClient(troubled) for _ in range(3)]
        requests = [client.send_request(query_id(10 * number + k)) for k, client in enumerate(clients)]
        time.sleep(0.3)
        troubled.fail()
        assert all(served(request) for request in requests), error
        for client in clients:
            client.close()


def test_an_option_that_can_not_be_set_costs_one_connection_at_most(troubled):
    troubled.fail(setsockopt="ENOBUFS")
    first = ThreadedClient(troubled)
    time.sleep(0.2)
    troubled.fail()
    assert served(ThreadedClient(troubled).send_request(query_id(1)))
    first.close()


def test_one_byte_at_a_time_changes_no_answer(troubled):
    troubled.fail(sizes="short")
    client = ThreadedClient(troubled)
    assert served(client.send_request(query_id(1), wait_ms=3000, statement=b"select 1 from sales_3.orders"))
    troubled.fail()


def test_a_file_that_can_not_be_opened_for_a_moment_is_read_all_the_same(troubled):
    moved, address = listening()
    asked = []
    threading.Thread(target=serve_channel, args=(moved, asked), daemon=True).start()
    for error in ("ENFILE", "EIO"):
        asked.clear()
        troubled.write(channel=address)
        troubled.fail(open=error)
        troubled.signal(signal.SIGHUP)
        time.sleep(0.5)
        troubled.fail()
        until(lambda: asked, 1.0)  # 1.5 s after SIGHUP the old one ends, 4 s after it all counts as told
        troubled.write()
        troubled.signal(signal.SIGHUP)
        time.sleep(0.3)


def test_who_waits_in_the_queue_as_the_listener_closes_is_answered_though_accept_fails(troubled):
    troubled.fail(accept="ENFILE")
    told = troubled.signal(signal.SIGTERM)
    time.sleep(0.3)
    clients = [ThreadedClient(troubled) for _ in range(3)]
    requests = [client.send_request(query_id(k)) for k, client in enumerate(clients)]
    time.sleep(max(0.0, told + 1.1 - time.monotonic()))
    troubled.fail()
    for request in requests:
        until(lambda request=request: request.answers, 3.0)
    assert troubled.process.wait(10.0) == 0


@pytest.mark.parametrize("call", ["socket", "connect"])
def test_a_connect_that_fails_here_for_a_moment_costs_no_request(troubled, call):
    client = ThreadedClient(troubled)
    errors = {
        "socket": ("ENFILE", "EMFILE", "ENOBUFS", "ENOMEM"),
        "connect": ("EADDRNOTAVAIL", "ENETUNREACH", "EAGAIN", "EINTR", "ENOBUFS"),
    }
    for number, error in enumerate(errors[call]):
        time.sleep(0.1)
        troubled.fail(**{call: error})
        requests = [
            client.send_request(query_id(10 * number + k)) for k in range(6)
        ]  # more than connections that rest
        time.sleep(0.15)
        troubled.fail()
        assert all(served(request) for request in requests), error


def test_a_start_waits_for_what_it_can_not_have_for_a_moment(tmp_path):
    for number, (call, error) in enumerate((("socket", "ENFILE"), ("pipe", "ENFILE"), ("open", "ENFILE"))):
        folder = tmp_path / str(number)
        folder.mkdir()
        threading.Timer(1.5, (folder / "trouble.json").unlink).start()
        controller = Troubled(folder, [ThreadedExecutor()], trouble={call: error})
        try:
            client = ThreadedClient(controller)
            assert served(client.send_request(query_id(1)))
        finally:
            controller.end()


def test_an_attempt_whose_bytes_do_not_leave_begins_in_time_or_never(tmp_path):
    for number, leaves in enumerate((False, True)):
        folder = tmp_path / str(number)
        folder.mkdir()
        executor = ThreadedExecutor()
        ceilings = SETTINGS["Ceilings"] | {"Cancel": False, "MaxAttempts": 1}
        controller = Troubled(folder, [executor], Ceilings=ceilings)
        try:
            client = ThreadedClient(controller)
            assert served(client.send_request(query_id(1)))
            controller.fail(send="EAGAIN")
            request = client.send_request(query_id(2))
            time.sleep(0.05)
            if leaves:
                client.close()
            left_at = time.monotonic()
            time.sleep(0.2)
            controller.fail()
            time.sleep(0.5)
            for post in executor.posts[1:]:
                left_s = request.sent_at + request.wait_s - post.whole_at
                assert int(post.headers["X-Wait-Ms"]) / 1000.0 <= left_s + DEADLINE_SLACK_S
                assert not leaves or post.whole_at <= left_at + LEFT_S
        finally:
            controller.end()


def test_a_connection_that_breaks_with_an_error_of_the_network_costs_no_request(troubled):
    client = ThreadedClient(troubled)
    troubled.executor.work_s = 0.5
    for number, error in enumerate(("ETIMEDOUT", "EHOSTUNREACH", "ENETUNREACH", "ECONNRESET")):
        request = client.send_request(query_id(number), "scene-build", 3000, work_ms=2000.0)
        time.sleep(0.1)
        troubled.fail(recv=error)
        time.sleep(0.3)  # an executor answers after 0.25 s that a query goes on
        troubled.fail()
        assert served(request), error
        assert troubled.executor.queries().count(query_id(number)) == 1, error
