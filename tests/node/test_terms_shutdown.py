"""Shutdown of real processes, with SIGKILL at the earliest moment that the protocol allows."""

import signal
import time

import pytest
from nodes import query_id
from processes import Controller, ThreadedClient, ThreadedExecutor, classes_with, wait_until
from shutdown_soak import run_soak


def send_sigterm(controller, longest_ms):
    """Send SIGTERM; return when it was sent and when SIGKILL may follow at the earliest."""
    sigterm_at = controller.signal(signal.SIGTERM)
    return sigterm_at, sigterm_at + controller.killed_after_s(longest_ms)


@pytest.mark.parametrize("longest_ms", [250.0, 1200.0, 3000.0, 6000.0])
def test_open_requests_are_answered_before_the_earliest_sigkill(tmp_path, longest_ms):
    executor = ThreadedExecutor(serves=False)
    controller = Controller(tmp_path, [executor], Grades=classes_with(GiveUpMs=longest_ms))
    try:
        clients = [ThreadedClient(controller) for _ in range(3)]
        for number, cls in enumerate(("lookup", "scene-build", "publish")):
            clients[number].send_request(query_id(number), cls, longest_ms)
        wait_until(lambda: executor.posts)
        sigterm_at, sigkill_at = send_sigterm(controller, longest_ms)
        for number, cls in enumerate(("lookup", "scene-build", "publish")):
            time.sleep(max(0.0, sigterm_at + 0.19 * (number + 1) - time.monotonic()))
            clients[number].send_request(query_id(10 + number), cls, longest_ms)
        time.sleep(max(0.0, sigkill_at - time.monotonic()))
        controller.process.kill()
        for client in clients:
            wait_until(lambda client=client: client.ended_at is not None)
            for request in client.requests.values():
                assert len(request.answers) == 1, f"{request.query} of {len(client.requests)}: no answer"
    finally:
        controller.end()


@pytest.mark.parametrize("seed", [3, 16, 21])
def test_sampled_shutdowns_lose_no_request(seed):
    assert not run_soak(seed)
