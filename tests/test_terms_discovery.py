"""A command channel that is slow or crowded, under the running program."""

import json
import re
import threading
import time
from contextlib import suppress

from nodes import instance, name, nodes_event
from processes import Controller, ThreadedClient, ThreadedExecutor, until
from test_node_run import listening

COUNTS_AS_TOLD_S = 4.0  # protocol: behind the moment in which the channel went silent, or SIGHUP
GRACE_S = 2.0  # of the settings


class SlowChannel:
    """A channel that lets each question wait; `slow_s(k)` for the k-th, None: for ever."""

    def __init__(self, slow_s):
        self.slow_s, self.events, self.asked = slow_s, [], 0
        self.sock, self.address = listening()
        self.sock.settimeout(None)
        threading.Thread(target=self._accept, daemon=True).start()

    def tell(self, cursor, *instances):
        self.events.append((cursor, json.dumps(nodes_event(cursor, instances)).encode()))

    def _accept(self):
        with suppress(OSError):
            while True:
                peer, _ = self.sock.accept()
                threading.Thread(target=self._serve, args=(peer, self.asked), daemon=True).start()
                self.asked += 1

    def _serve(self, peer, number):
        with suppress(OSError):
            last = int(re.search(rb"Last-Event-ID: (\d+)", peer.recv(4096))[1])
            slow = self.slow_s(number)
            time.sleep(1000.0 if slow is None else slow)
            peer.sendall(b"HTTP/1.1 200 OK\r\n\r\n")
            commented = 0.0
            while True:
                for cursor, data in [event for event in self.events if event[0] > last]:
                    peer.sendall(b"id: %d\ndata: %s\n\n" % (cursor, data))
                    last = cursor
                if time.monotonic() > commented + 1.0:
                    commented = time.monotonic()
                    peer.sendall(b":\n\n")
                time.sleep(0.02)


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
        client.ask(name(1))
        until(lambda: client.requests[1].answers)
        time.sleep(began + COUNTS_AS_TOLD_S + GRACE_S + 0.05 - time.monotonic())
        late = ThreadedClient(controller).ask(name(2), wait_ms=500)
        until(lambda: late.answers)
        return executor.queries() == [name(1)]
    finally:
        controller.end()
        channel.sock.close()


def test_a_drain_is_heard_of_through_a_channel_that_is_slow_to_answer(tmp_path):
    assert drained_in_time(tmp_path / "slow", lambda number: 2.5)


def test_a_drain_is_heard_of_through_a_channel_that_answers_a_few(tmp_path):
    assert drained_in_time(tmp_path / "crowded", lambda number: None if number % 3 else 1.9)
