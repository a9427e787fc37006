"""The end of service on real processes: SIGKILL comes at the earliest moment that the pages allow."""

import signal
import time

import pytest
from nodes import query_id
from processes import Controller, ThreadedClient, ThreadedExecutor, classes, until
from shutdown_soak import play


def killed(controller, longest_ms):
    """Send SIGTERM, and SIGKILL as early as it may come; return when each was sent, without waiting."""
    told = controller.signal(signal.SIGTERM)
    return told, told + controller.killed_after_s(longest_ms)


@pytest.mark.parametrize("longest_ms", [250.0, 1200.0, 3000.0, 6000.0])
def test_what_is_open_has_its_answer_before_the_earliest_kill(tmp_path, longest_ms):
    executor = ThreadedExecutor(serves=False)
    controller = Controller(tmp_path, [executor], Grades=classes(GiveUpMs=longest_ms))
    try:
        clients = [ThreadedClient(controller) for _ in range(3)]
        for number, cls in enumerate(("lookup", "scene-build", "publish")):
            clients[number].send_request(query_id(number), cls, longest_ms)
        until(lambda: executor.posts)
        told, kill = killed(controller, longest_ms)
        for number, cls in enumerate(("lookup", "scene-build", "publish")):
            time.sleep(max(0.0, told + 0.19 * (number + 1) - time.monotonic()))
            clients[number].send_request(query_id(10 + number), cls, longest_ms)
        time.sleep(max(0.0, kill - time.monotonic()))
        controller.process.kill()
        for client in clients:
            until(lambda client=client: client.ended_at is not None)
            for request in client.requests.values():
                assert len(request.answers) == 1, f"{request.query} of {len(client.requests)}: no answer"
    finally:
        controller.end()


@pytest.mark.parametrize("seed", [3, 16, 21])
def test_sampled_ends_of_service_lose_nobody(seed):
    assert not play(seed)
