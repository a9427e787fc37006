"""A command channel that is slow or crowded, under the running program."""

import time

from nodes import instance, query_id
from processes import Controller, SlowChannel, ThreadedClient, ThreadedExecutor, until

COUNTS_AS_TOLD_S = 4.0  # protocol: behind the moment in which the channel went silent, or SIGHUP
GRACE_S = 2.0  # of the settings


def drained_in_time(folder, slow_s):
    """Have an executor drain while the channel lets questions wait; tell whether the drain was kept."""
    folder.mkdir()
    channel, executor = SlowChannel(slow_s), ThreadedExecutor()
    controller = Controller(folder, [executor])
    try:
        controller.write(channel=channel.address)
        began = time.monotonic()
        controller.signal(1)
        channel.tell(2, instance("s-1", 1, "terminating") | {"hostPort": executor.address})
        client = ThreadedClient(controller)
        client.send_request(query_id(1))
        until(lambda: client.requests[1].answers)
        time.sleep(began + COUNTS_AS_TOLD_S + GRACE_S + 0.05 - time.monotonic())
        late = ThreadedClient(controller).send_request(query_id(2), wait_ms=500)
        until(lambda: late.answers)
        return executor.queries() == [query_id(1)]
    finally:
        controller.end()
        channel.sock.close()


def test_a_drain_is_heard_of_through_a_channel_that_is_slow_to_answer(tmp_path):
    assert drained_in_time(tmp_path / "slow", lambda number: 2.5)


def test_a_drain_is_heard_of_through_a_channel_that_answers_a_few(tmp_path):
    assert drained_in_time(tmp_path / "crowded", lambda number: None if number % 3 else 1.9)
