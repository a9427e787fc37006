"""Races of the endpoint watch: silence, moves of the channel, event gaps, corrupt events, invalid files.

Each race is forced by the order of events, on the virtual loop or on loopback sockets; the last test
samples them by seeds and compares with the feed's own list. `docs/design/crossings-list.md` lists them.
"""

import copy
import json
import os
import random
import re
import signal
import socket
import struct
import subprocess
import sys
import threading
import time

import pytest
from nodes import CHANNEL, RecordingObserver, config_text, instance, nodes_event, start_node
from test_node_run import ROOT, WAIT_S, Program, command, listening, pack_request

from fennelwind import policy
from fennelwind.loop import Address, RealLoop, SimLoop, StreamReset
from fennelwind.loop.streams import READ_MOST
from fennelwind.node import endpoint_events, endpoint_watch, wire_names
from fennelwind.node.config import ConfigError, read_config
from fennelwind.node.endpoint_watch import MAX_RETRIES, EndpointWatch
from fennelwind.node.executor_pool import ExecutorPool
from fennelwind.node.http1 import ServerEvent
from fennelwind.node.watch_connection import CONNECT_MS, SILENCE_MS

SECOND_CHANNEL, THIRD_CHANNEL = Address("127.0.0.7", 9092), Address("127.0.0.6", 9092)
HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
ASSUMED_KNOWN_AFTER_MS = 4000.0  # protocol: when events withheld by a silent or moved channel count as known


def run(main, seed=0, **how):
    loop = SimLoop(seed, **how)
    return loop.run(main, loop)


def event(cursor, instances, reset=False):
    return raw_event(cursor, nodes_event(cursor, instances, reset))


def raw_event(number, body):
    return b"id: %d\ndata: %s\n\n" % (number, body if isinstance(body, bytes) else json.dumps(body).encode())


class RunningProgram(Program):
    """A program with an `end` that kills it in any state."""

    def end(self):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        self.process.stderr.close()
        self.executor.close()
        self.channel.close()


class Feed:
    """A command channel; `script(stream, number, last)` writes a connection, including the response head."""

    def __init__(self, loop, script, address=CHANNEL):
        self.loop, self.script, self.last_event_ids, self.requested_at = loop, script, [], []
        self.listener = loop.listen(address)
        loop.spawn(self._accept, name="feed")

    def _accept(self):
        while True:
            try:
                stream = self.listener.accept()
            except StreamReset:
                return
            self.loop.spawn(self._serve, stream, name="feed: connection")

    def _serve(self, stream):
        try:
            head = stream.read().decode()
            if not head:
                return
            self.last_event_ids.append(int(head.split("Last-Event-ID: ")[1].split("\r\n")[0]))
            self.requested_at.append(self.loop.now())
            self.script(stream, len(self.last_event_ids), self.last_event_ids[-1])
        except StreamReset:
            pass


def send_comments(loop, stream, times=10**6):
    for _ in range(times):
        loop.sleep(1000.0)
        stream.write(b": here\n\n")


def serve_steadily(loop, events=(), first=2):
    """Return a script that sends the requested events, numbered from `first`, and then comments."""

    def script(stream, number, last):
        stream.write(HEAD + b"".join(events[max(0, last + 1 - first) :]))
        send_comments(loop, stream)

    return script


def states(node):
    """Return the policy's engine states by name, without engines that are gone."""
    return {
        name: engine.endpoint.state
        for name, engine in node.driver.gateway.engines.items()
        if engine.endpoint.state != "gone"
    }


def pool_entries(node):
    """Return address and draining flag of the pool's executors; each must be the one at its address."""
    pool = node.executor_pool
    assert pool.by_address == {executor.address: executor for executor in pool.executors.values()}
    assert not any(executor.is_removed for executor in pool.executors.values())
    return {name: (str(executor.address), executor.is_draining) for name, executor in pool.executors.items()}


def address_at(number, draining=False):
    return f"127.0.1.{number}:9090", draining


# Moves of the channel.


@pytest.mark.parametrize(
    "moves", [[SECOND_CHANNEL], [THIRD_CHANNEL, SECOND_CHANNEL], [THIRD_CHANNEL, CHANNEL, SECOND_CHANNEL]]
)
def test_connection_established_after_a_move_is_not_used(moves):
    def main(loop):
        old = Feed(loop, lambda stream, *_: loop.sleep(1500.0))
        new = Feed(loop, serve_steadily(loop, [event(2, [instance("s-2", 2)])]), SECOND_CHANNEL)
        node = start_node(loop, [instance("s-1", 1)])
        loop.sleep(20.0)  # a connect takes 100 ms here: it is in progress
        assert [watch.stream for watch in node.endpoint_watch._connections] == [
            None
        ] and not old.last_event_ids
        for address in moves:
            node.endpoint_watch.move(address)
        loop.sleep(800.0)
        assert (
            old.last_event_ids == []
            and new.last_event_ids == [1]
            and set(node.executor_pool.executors) == {"s-1", "s-2"}
        )

    run(main, latency_ms=50.0, jitter=0.0)


def test_move_and_move_back_during_connect_keeps_the_connection():
    def main(loop):
        old = Feed(loop, serve_steadily(loop, [event(2, [instance("s-2", 2)])]))
        node = start_node(loop, [instance("s-1", 1)])
        loop.sleep(20.0)
        node.endpoint_watch.move(SECOND_CHANNEL)
        node.endpoint_watch.move(CHANNEL)
        loop.sleep(400.0)
        assert old.last_event_ids == [1] and set(node.executor_pool.executors) == {"s-1", "s-2"}

    run(main, latency_ms=50.0, jitter=0.0)


def test_unanswered_connect_delays_a_move_by_its_timeout_at_most():
    def main(loop):
        loop.unreachable.add(CHANNEL)
        new = Feed(loop, serve_steadily(loop, [event(2, [instance("s-2", 2)])]), SECOND_CHANNEL)
        node = start_node(loop, [instance("s-1", 1)])
        loop.sleep(1.0)
        node.endpoint_watch.move(SECOND_CHANNEL)
        loop.sleep(CONNECT_MS + 20.0)
        assert new.last_event_ids == [1] and node.endpoint_watch.cursor == 2

    run(main)


def test_move_to_a_refusing_address_restarts_with_short_backoff():
    def main(loop):
        node = start_node(loop, [instance("s-1", 1)])
        loop.sleep(5000.0)  # nobody listens: the backoff has reached its maximum
        assert node.endpoint_watch._waiter is not None
        node.endpoint_watch.move(SECOND_CHANNEL)
        loop.sleep(60.0)
        new = Feed(loop, serve_steadily(loop, [event(2, [instance("s-2", 2)])]), SECOND_CHANNEL)
        loop.sleep(120.0)
        assert new.last_event_ids == [1] and node.endpoint_watch.cursor == 2

    run(main)


def test_move_at_the_end_of_a_backoff_is_followed_at_once():
    def main(loop):
        node = start_node(loop, [instance("s-1", 1)])
        loop.sleep(5000.0)
        new = Feed(loop, serve_steadily(loop, [event(2, [instance("s-2", 2)])]), SECOND_CHANNEL)
        pause = node.endpoint_watch._waiter
        pause.wake()  # as its timer does; the task has not run yet
        node.endpoint_watch.move(SECOND_CHANNEL)
        loop.sleep(20.0)
        assert new.last_event_ids == [1] and node.endpoint_watch.cursor == 2

    run(main)


def test_second_reload_during_the_first_move():
    def main(loop):
        first = Feed(loop, lambda stream, *_: loop.sleep(1500.0), THIRD_CHANNEL)
        new = Feed(loop, serve_steadily(loop, [event(2, [instance("s-2", 2)])]), SECOND_CHANNEL)
        Feed(loop, serve_steadily(loop))
        node = start_node(loop, [instance("s-1", 1)])
        loop.sleep(1200.0)
        node.reload(config_text([instance("s-1", 1)], channel=THIRD_CHANNEL))
        loop.sleep(20.0)  # the connect to the first address is in progress
        node.reload(config_text([instance("s-1", 1)], channel=SECOND_CHANNEL))
        loop.sleep(800.0)
        assert first.last_event_ids == [] and new.last_event_ids == [1] and node.endpoint_watch.cursor == 2

    run(main, latency_ms=50.0, jitter=0.0)


def test_move_between_connect_and_request_on_sockets():
    loop = RealLoop()

    def main():
        first, second = (loop.listen(Address("127.0.0.1", 0)) for _ in range(2))
        requests = {first: [], second: []}

        def serve(listener):
            while True:
                stream = listener.accept()
                requests[listener].append(stream.read())
                if requests[listener][-1]:
                    stream.write(HEAD + event(1, [instance("s-2", 2)], reset=True))

        for listener in (first, second):
            loop.spawn(serve, listener)
        connect, lists = loop.connect, []

        def moved(address):
            loop.connect = connect
            stream = connect(address)
            channel.move(second.address)  # the connection is established, but the task has not resumed
            return stream

        loop.connect = moved
        pool = ExecutorPool(loop, idle_timeout_ms=15000.0, connect_timeout_ms=250.0, max_connections=10)
        channel = EndpointWatch(
            loop,
            first.address,
            pool,
            zones={"east": 0},
            machine_types={"std": 0},
            post=lists.append,
            log_message=lambda text: None,
        )
        channel.start()
        with loop.deadline(WAIT_S * 1000.0):
            while not lists:
                loop.sleep(1.0)
        assert requests[first] in ([], [b""]) and b"Last-Event-ID: 0\r\n" in requests[second][0]
        assert set(pool.executors) == {"s-2"}

    loop.run(main)


# Silence.


def write_slowly(loop, stream, *pieces):
    while True:
        for piece in pieces:
            loop.sleep(500.0)
            stream.write(piece)


SILENT = {
    "before the head": lambda loop, stream: loop.sleep(1e6),
    "within the head": lambda loop, stream: stream.write(HEAD[:20]),
    "after the head": lambda loop, stream: stream.write(HEAD),
    "after a comment": lambda loop, stream: stream.write(HEAD + b": here\n\n"),
    "within an event": lambda loop, stream: stream.write(HEAD + event(2, [instance("s-2", 2)])[:-9]),
    "bytes of the head": lambda loop, stream: write_slowly(
        loop, stream, *(HEAD[n : n + 1] for n in range(30))
    ),
    "bytes of a line": lambda loop, stream: [stream.write(HEAD), write_slowly(loop, stream, b"d")],
    "lines of an event": lambda loop, stream: [stream.write(HEAD), write_slowly(loop, stream, b"data: {\n")],
    "empty lines": lambda loop, stream: [stream.write(HEAD), write_slowly(loop, stream, b"\n")],
}


@pytest.mark.parametrize("silence", SILENT)
def test_two_silent_connections_are_replaced_before_their_events_count_as_known(silence):
    def main(loop):
        silent_since = []

        def script(stream, number, last):
            if number == 1:
                stream.write(HEAD)
                send_comments(loop, stream, 2)
                silent_since.append(loop.now())
            elif number == 2:
                SILENT[silence](loop, stream)
            else:
                serve_steadily(loop, [event(2, [instance("s-2", 2)])])(stream, number, last)
                return
            loop.sleep(1e6)

        feed = Feed(loop, script)
        node = start_node(loop, [instance("s-1", 1)])
        loop.sleep(2010.0)
        began = loop.now()
        while node.endpoint_watch.cursor < 2:
            loop.sleep(10.0)
            assert loop.now() < began + ASSUMED_KNOWN_AFTER_MS
        assert feed.last_event_ids == [1, 1, 1] and node.endpoint_watch.counts["silences"] == 2
        assert loop.now() - silent_since[0] < 2 * SILENCE_MS + 100.0

    run(main)


@pytest.mark.parametrize("silence", SILENT)
def test_silent_first_connection_followed_by_unanswered_connects(silence):
    def main(loop):
        def script(stream, number, last):
            if number == 1:
                SILENT[silence](loop, stream)
                loop.sleep(1e6)
            serve_steadily(loop, [event(2, [instance("s-2", 2)])])(stream, number, last)

        Feed(loop, script)
        node = start_node(loop, [instance("s-1", 1)])
        loop.sleep(SILENCE_MS - 50.0)
        loop.unreachable.add(CHANNEL)
        loop.sleep(900.0)  # the next connects go unanswered
        loop.unreachable.clear()
        loop.sleep(ASSUMED_KNOWN_AFTER_MS - SILENCE_MS - 850.0)
        assert node.endpoint_watch.cursor == 2

    run(main)


def test_silent_connection_right_after_a_reload():
    def main(loop):
        def script(stream, number, last):
            if number > 1:
                serve_steadily(loop, [event(2, [instance("s-2", 2)])])(stream, number, last)
            loop.sleep(1e6)

        Feed(loop, serve_steadily(loop))
        new = Feed(loop, script, SECOND_CHANNEL)
        node = start_node(loop, [instance("s-1", 1)])
        loop.sleep(1500.0)
        node.reload(config_text([instance("s-1", 1)], channel=SECOND_CHANNEL))
        loop.sleep(SILENCE_MS + 50.0)
        assert new.last_event_ids == [1, 1] and node.endpoint_watch.cursor == 2

    run(main)


def test_long_list_received_slowly_does_not_count_as_silence():
    def main(loop):
        many = [instance(f"s-{k}", k % 250, port=9000 + k) for k in range(100)]

        def script(stream, number, last):
            stream.write(HEAD)
            raw = event(2, many, reset=True)
            for begin in range(0, len(raw), 700):
                stream.write(raw[begin : begin + 700])
                loop.sleep(300.0)
            send_comments(loop, stream)

        feed = Feed(loop, script)
        node = start_node(loop, [instance("s-0", 0)])
        loop.sleep(20000.0)
        assert (
            len(feed.last_event_ids) == 1
            and node.endpoint_watch.cursor == 2
            and len(node.executor_pool.executors) == 100
        )

    run(main)


def test_comments_alone_do_not_count_as_silence():
    def main(loop):
        feed = Feed(loop, serve_steadily(loop))
        node = start_node(loop, [instance("s-1", 1)])
        loop.sleep(30_000.0)
        assert feed.last_event_ids == [1] and not node.endpoint_watch.counts["silences"]

    run(main)


# Answers that are not an event stream, or that end.


@pytest.mark.parametrize(
    "answer",
    [
        b"HTTP/1.1 404 No\r\n\r\n",
        b"HTTP/1.1 302 Elsewhere\r\nLocation: http://127.0.0.7:9092/cmd/next\r\n\r\n",
        b"HTTP/1.1 204 Nothing\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: br\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n: here\n\nid: 9\ndata: {}\n\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
        HEAD + b"x" * 1_100_000,
        HEAD + b"data:\n" * 1_100_000,
        b"\x00" * 100,
    ],
)
def test_invalid_or_ended_response_is_requested_again_with_backoff(answer):
    def main(loop):
        def script(stream, number, last):
            if number < 4:
                stream.write(answer)
                loop.sleep(1e6)  # the connection stays open
            serve_steadily(loop, [event(2, [instance("s-2", 2)])])(stream, number, last)

        feed = Feed(loop, script)
        node = start_node(loop, [instance("s-1", 1)])
        loop.sleep(600.0)
        assert feed.last_event_ids == [1] * 4 and set(node.executor_pool.executors) == {"s-1", "s-2"}
        assert (
            feed.requested_at[3] - feed.requested_at[0] > 3 * endpoint_watch.MIN_BACKOFF_MS
            and not node.endpoint_watch.counts["gaps"]
        )

    run(main)


@pytest.mark.parametrize(
    "answer",
    [
        HEAD + b": here\n\n",
        HEAD + event(1, []),
        HEAD + raw_event(2, b"{"),
        HEAD + event(1, []) + raw_event(2, b"[]"),
        HEAD + b"data: {}\n\n",
        HEAD,
    ],
)
def test_channel_that_always_closes_is_not_reconnected_in_a_tight_loop(answer):
    def main(loop):
        def script(stream, number, last):
            stream.write(answer)
            stream.close()

        feed = Feed(loop, script)
        node = start_node(loop, [instance("s-1", 1)])
        loop.sleep(10_000.0)
        assert len(feed.last_event_ids) < 40
        assert not node.log.task_failures and "channel" in {task.name for task in loop.tasks}

    run(main)


def test_complete_events_before_malformed_bytes_are_applied():
    def main(loop):
        good = event(2, [instance("s-1", 1, "terminating")])
        chunked = HEAD[:-2] + b"Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\nzz\r\n" % (len(good), good)
        for answer in (HEAD + good + b"x" * 1_100_000, chunked):

            def script(stream, number, last, answer=answer):
                if last < 2:
                    stream.write(answer)
                loop.sleep(1e6)

            feed = Feed(loop, script)
            node = start_node(loop, [instance("s-1", 1)])
            loop.sleep(500.0)
            assert feed.last_event_ids[:2] == [1, 2] and states(node) == {"s-1": "draining"}
            assert any("Malformed" in text for _, text in node.log.lines)
            feed.listener.close()
            node.frontend.listener.close()

    run(main)


def test_flooding_channel_does_not_block_other_tasks():
    class Flood:
        """A connection that always has more to read than one read returns, like a never-blocking socket."""

        reads = 0

        def write(self, data, within_ms=None):
            pass

        def read(self, most=READ_MOST):
            self.reads += 1
            if self.reads == 1:
                return HEAD
            return (b": here\n\n" * 65536)[:most] if self.reads < 200 else b""

        def abort(self):
            pass

    def main(loop):
        flood = Flood()
        loop.connect = lambda address: flood
        start_node(loop, [instance("s-1", 1)])
        turns = 0
        while flood.reads < 200:
            turns += 1
            loop.sleep(0.0)
        assert turns > 100

    run(main)


def test_unexpected_error_ends_only_its_connection():
    def main(loop):
        feed = Feed(loop, serve_steadily(loop, [event(2, [instance("s-2", 2)])]))
        node = start_node(loop, [instance("s-1", 1)])
        real_add = node.executor_pool.add

        def broken(*args):
            node.executor_pool.add = real_add
            raise RuntimeError("unexpected")

        node.executor_pool.add = broken
        loop.sleep(200.0)
        assert feed.last_event_ids == [1, 1] and set(states(node)) == {"s-1", "s-2"}
        assert any("RuntimeError" in text for _, text in node.log.lines)

    run(main)


# Events that are malformed as a whole or in part.

NAN, INFINITY = float("nan"), float("inf")
BAD_ENTRIES = {
    "no object": 5,
    "no name": {"lifecycle": "in_service"},
    "a name of no letters": {"instanceId": ""},
    "a name that is a list": {"instanceId": ["s-9"]},
    "a list for a state": {"lifecycle": ["in_service"]},
    "a state of a number": {"lifecycle": 3},
    "no zone": {"zone": None},
    "a zone of a number": {"zone": 0},
    "a list for a kind": {"machineType": []},
    "weight nan": {"weight": NAN},
    "weight true": {"weight": True},
    "cell infinite": {"cell": INFINITY},
    "cell broken": {"cell": 0.5},
    "cell in words": {"cell": "2"},
    "start nan": {"startedAtMs": NAN},
    "start infinite": {"startedAtMs": -INFINITY},
    "start huge": {"startedAtMs": 10**400},
    "start before time": {"startedAtMs": -1},
    "no address": {"hostPort": None},
    "an address of a number": {"hostPort": 9090},
    "an address that was no UTF-8": {"hostPort": "127.0.\ufffd.9:9090"},
    "no port": {"hostPort": "127.0.1.9"},
    "a huge port": {"hostPort": "127.0.1.9:99999"},
}
BAD_EVENTS = {
    "no JSON": b"{",
    "nothing": b"null",
    "a list": b"[]",
    "deep": b"[" * 100_000,
    "a number": b"1e999",
    "nodes a list": {"cursor": 2, "nodes": [1]},
    "instances a number": {"cursor": 2, "nodes": {"instances": 5}},
    "instances a map": {"cursor": 2, "nodes": {"instances": {"a": 1}}},
    "no instances": {"cursor": 2, "nodes": {"reset": True}},
    "reset in words": {"cursor": 2, "nodes": {"reset": "yes", "instances": []}},
    "an infinite number": b'{"cursor": Infinity, "nodes": {}}',
    "a number in words": {"cursor": "2", "nodes": {}},
    "no UTF-8": b'{"cursor":2,"nodes":{"instances":[{"instanceId":"s-\xff","lifecycle":"terminated"}]}}',
}


def bad_entry(kind):
    entry = BAD_ENTRIES[kind]
    return instance("s-9", 9) | entry if isinstance(entry, dict) and kind != "no name" else entry


def bad_event(kind, number=2):
    body = (
        BAD_EVENTS[kind]
        if kind in BAD_EVENTS
        else nodes_event(number, [bad_entry(kind), instance("s-1", 1, "terminating")])
    )
    return raw_event(number, body)


@pytest.mark.parametrize("numbered", [True, False])
@pytest.mark.parametrize("kind", [*BAD_EVENTS, *BAD_ENTRIES])
def test_malformed_event_is_requested_again(kind, numbered):
    def main(loop):
        def script(stream, number, last):
            if number == 1:
                raw = bad_event(kind)
                stream.write(HEAD + (raw if numbered else raw.partition(b"\n")[2]))
                send_comments(loop, stream)
            serve_steadily(loop, [event(2, [instance("s-2", 2)])])(stream, number, last)

        feed = Feed(loop, script)
        node = start_node(loop, [instance("s-1", 1), instance("s-3", 3)])
        loop.sleep(500.0)
        drained = kind in BAD_ENTRIES
        assert feed.last_event_ids == [1, 1] and node.endpoint_watch.cursor == 2
        assert states(node) == {"s-1": "draining" if drained else "ready", "s-2": "ready", "s-3": "ready"}
        assert pool_entries(node) == {
            "s-1": address_at(1, drained),
            "s-2": address_at(2),
            "s-3": address_at(3),
        }
        assert not node.log.task_failures and not node.driver.step_errors

    run(main)


@pytest.mark.parametrize("kind", [*BAD_EVENTS, *BAD_ENTRIES])
def test_permanently_malformed_event_does_not_block_later_events(kind):
    def main(loop):
        feed = Feed(
            loop,
            serve_steadily(
                loop,
                [
                    bad_event(kind),
                    event(3, [instance("s-2", 2)]),
                    event(4, [instance("s-3", 3, "terminating")]),
                ],
            ),
        )
        node = start_node(loop, [instance("s-1", 1), instance("s-3", 3)])
        loop.sleep(1000.0)
        drained = kind in BAD_ENTRIES
        assert feed.last_event_ids == [1] * (MAX_RETRIES + 1) and node.endpoint_watch.cursor == 4
        assert states(node) == {"s-1": "draining" if drained else "ready", "s-2": "ready", "s-3": "draining"}
        loop.sleep(10_000.0)
        assert len(feed.last_event_ids) == MAX_RETRIES + 1 and not node.log.task_failures

    run(main)


def test_consecutive_malformed_events_share_one_series_of_retries():
    def main(loop):
        bad = nodes_event(2, [instance("s-9", 9) | {"weight": "4"}, instance("s-2", 2)])
        feed = Feed(loop, serve_steadily(loop, [raw_event(n, bad | {"cursor": n}) for n in range(2, 200)]))
        node = start_node(loop, [instance("s-1", 1)])
        loop.sleep(1000.0)
        assert len(feed.last_event_ids) == MAX_RETRIES + 1 and node.endpoint_watch.cursor == 199
        assert set(states(node)) == {"s-1", "s-2"}

    run(main)


def test_nesting_of_any_depth_raises_no_error_in_the_parsers():
    read = 0
    for depth in range(50, 1000, 10):
        deep = "[" * depth + "]" * depth
        raw = json.dumps(nodes_event(2, [instance("s-1", 1)])).replace('"weight": 1', f'"weight": {deep}')
        numbered = endpoint_events.parse_event(ServerEvent(2, raw))
        assert numbered.number == 2
        assert numbered.problem or endpoint_events.read_list(numbered.body, {"east": 0}, {"std": 0}).problems
        read += not numbered.problem
    assert read


def test_gap_after_a_permanently_malformed_event_is_still_requested():
    def main(loop):
        events = [bad_event("weight nan"), event(3, [instance("s-3", 3)]), event(4, [instance("s-4", 4)])]

        def script(stream, number, last):
            stream.write(HEAD + (events[0] + events[2] if last == 1 else b"".join(events[last - 1 :])))
            send_comments(loop, stream)

        feed = Feed(loop, script)
        node = start_node(loop, [instance("s-1", 1)])
        loop.sleep(1000.0)
        assert feed.last_event_ids == [1] * (MAX_RETRIES + 1) + [2] and set(states(node)) == {
            "s-1",
            "s-3",
            "s-4",
        }

    run(main)


@pytest.mark.parametrize("field", [{"zone": "mars"}, {"machineType": "huge"}, {"lifecycle": "asleep"}])
def test_entry_with_an_unknown_name_is_skipped_and_the_others_applied_at_once(field):
    def main(loop):
        feed = Feed(
            loop,
            serve_steadily(
                loop,
                [
                    event(
                        2, [instance("s-9", 9) | field, instance("s-1", 1, "terminating"), instance("s-2", 2)]
                    )
                ],
            ),
        )
        node = start_node(loop, [instance("s-1", 1)])
        loop.sleep(20.0)
        assert states(node) == {"s-1": "draining", "s-2": "ready"} and feed.last_event_ids == [1]
        assert any(next(iter(field)) in text for _, text in node.log.lines)

    run(main)


@pytest.mark.parametrize("field", [{"zone": "mars"}, {"hostPort": 5}, {"weight": NAN}, {"startedAtMs": "x"}])
@pytest.mark.parametrize("reset", [False, True])
def test_drain_or_end_applies_although_its_entry_is_otherwise_malformed(field, reset):
    def main(loop):
        Feed(
            loop,
            serve_steadily(
                loop,
                [
                    event(
                        2,
                        [
                            instance("s-1", 1, "terminating") | field,
                            instance("s-2", 2, "terminated") | field,
                            instance("s-3", 3) | field,
                        ],
                        reset,
                    )
                ],
            ),
        )
        node = start_node(loop, [instance(f"s-{n}", n) for n in (1, 2, 3, 4)])
        loop.sleep(500.0)
        expected = {"s-1": "draining", "s-3": "ready"} | ({} if reset else {"s-4": "ready"})
        assert states(node) == expected and set(pool_entries(node)) == set(expected)
        assert pool_entries(node)["s-1"] == address_at(1, True) and node.endpoint_watch.cursor == 2

    run(main)


def test_full_list_with_an_unnamed_entry_removes_no_executor():
    def main(loop):
        Feed(
            loop,
            serve_steadily(loop, [event(2, [instance("s-1", 1, "terminating"), {"instanceId": 5}], True)]),
        )
        node = start_node(loop, [instance("s-1", 1), instance("s-2", 2)])
        loop.sleep(1000.0)
        assert node.endpoint_watch.cursor == 2 and states(node) == {"s-1": "draining", "s-2": "ready"}

    run(main)


# Numbers.


def test_drain_after_a_gap_applies_at_once_and_no_earlier_event_reverts_it():
    def main(loop):
        two, three = (
            event(2, [instance("s-1", 1), instance("s-2", 2)]),
            event(3, [instance("s-1", 1, "terminating"), instance("s-2", 2, "terminating")]),
        )

        def script(stream, number, last):
            stream.write(HEAD + (three if number == 1 else two if number == 2 else two + three))
            if number == 2:
                loop.sleep(1000.0)  # the connection breaks between the two events
                stream.abort()
                loop.sleep(500.0)
            send_comments(loop, stream)

        feed = Feed(loop, script)
        node = start_node(loop, [instance("s-1", 1)])
        lists, post = [], node.driver.post
        node.endpoint_watch.endpoints.post = lambda update: (lists.append(update), post(update))
        while not feed.last_event_ids:
            loop.sleep(1.0)
        loop.sleep(5.0)
        assert states(node) == {"s-1": "draining"} and node.endpoint_watch.cursor == 1
        loop.sleep(500.0)
        assert states(node) == {"s-1": "draining", "s-2": "draining"} and node.endpoint_watch.cursor == 2
        loop.sleep(2000.0)
        assert node.endpoint_watch.cursor == 3 and feed.last_event_ids == [1, 1, 2]
        assert {entry.state for update in lists for entry in update.engines} == {"draining"}
        assert not node.endpoint_watch.endpoints.drained_ahead

    run(main)


def test_executor_drained_ahead_of_a_gap_becomes_ready_by_a_later_event():
    def main(loop):
        events = [
            event(2, [instance("s-2", 2)]),
            event(3, [instance("s-1", 1, "terminating")]),
            event(4, [instance("s-1", 1)]),
        ]

        def script(stream, number, last):
            stream.write(HEAD + b"".join(events[1:2] if number == 1 else events[last - 1 :]))
            send_comments(loop, stream)

        Feed(loop, script)
        node = start_node(loop, [instance("s-1", 1)])
        loop.sleep(200.0)
        assert (
            states(node) == {"s-1": "ready", "s-2": "ready"}
            and not node.endpoint_watch.endpoints.drained_ahead
        )
        assert pool_entries(node) == {"s-1": address_at(1), "s-2": address_at(2)}

    run(main)


def test_permanent_gap_is_skipped_after_the_maximum_of_retries():
    def main(loop):
        def script(stream, number, last):
            stream.write(HEAD + event(4, [instance("s-1", 1, "terminating"), instance("s-4", 4)]))
            send_comments(loop, stream)

        feed = Feed(loop, script)
        node = start_node(loop, [instance("s-1", 1)])
        loop.sleep(1000.0)
        assert len(feed.last_event_ids) == MAX_RETRIES + 1 and node.endpoint_watch.cursor == 4
        assert states(node) == {"s-1": "draining", "s-4": "ready"}

    run(main)


@pytest.mark.parametrize("reset", [False, True])
@pytest.mark.parametrize(
    "bad_number_line",
    [b"id: 999999999999999999\n", b"id: 500\n", b"id: 3\n", b"id: 0\n", b"id: x\n", b"", b"both"],
)
def test_corrupt_event_number_does_not_advance_the_cursor(bad_number_line, reset):
    def main(loop):
        correct_event = event(2, [instance("s-1", 1, "terminating")], reset)
        bad = bad_number_line + correct_event.partition(b"\n")[2]
        if bad_number_line == b"both":
            bad = event(10**9, [instance("s-1", 1, "terminating")], reset)

        def script(stream, number, last):
            stream.write(
                HEAD + (bad if number == 1 else b"") + correct_event + event(3, [instance("s-2", 2)])
            )
            send_comments(loop, stream)

        feed = Feed(loop, script)
        node = start_node(loop, [instance("s-1", 1)])
        loop.sleep(200.0)
        # the number in the data suffices, or it is a repeat
        harmless = bad_number_line in (b"id: x\n", b"", b"id: 0\n")
        assert node.endpoint_watch.cursor == 3 and feed.last_event_ids == ([1] if harmless else [1, 1])
        assert states(node) == {"s-1": "draining", "s-2": "ready"}

    run(main)


def test_restarted_numbers_are_repeats_and_a_full_list_may_skip_numbers():
    def main(loop):
        feed = Feed(
            loop,
            serve_steadily(
                loop,
                [
                    event(2, [instance("s-1", 1, "terminating")]),
                    event(1, [instance("s-1", 1)], True),
                    event(5, [instance("s-1", 1, "terminating"), instance("s-5", 5)], True),
                    event(2, [instance("s-6", 6)]),
                    event(6, [instance("s-5", 5, "terminating")]),
                ],
            ),
        )
        node = start_node(loop, [instance("s-1", 1), instance("s-2", 2)])
        loop.sleep(200.0)
        assert (
            feed.last_event_ids == [1]
            and node.endpoint_watch.counts["repeats"] == 2
            and node.endpoint_watch.cursor == 6
        )
        assert states(node) == {"s-1": "draining", "s-5": "draining"}
        assert pool_entries(node) == {"s-1": address_at(1, True), "s-5": address_at(5, True)}

    run(main)


# Addresses.

OLD_GONE, NEW = instance("s-old", 1, "terminated"), instance("s-new", 1)
CHANGES = {
    "the new one first": [[NEW, OLD_GONE]],
    "the old one first": [[OLD_GONE, NEW]],
    "its end later": [[NEW], [OLD_GONE]],
    "its drain beside": [[NEW, instance("s-old", 1, "terminating")], [OLD_GONE]],
    "a whole list, in which it is last": [[NEW, OLD_GONE], "reset"],
    "a whole list without it": [[NEW], "reset"],
}


@pytest.mark.parametrize("kind", CHANGES)
def test_reused_address_belongs_to_the_new_executor(kind):
    def main(loop):
        *events, last = CHANGES[kind]
        reset = last == "reset"
        events = events if reset else [*events, last]
        Feed(
            loop, serve_steadily(loop, [event(n, instances, reset) for n, instances in enumerate(events, 2)])
        )
        node = start_node(loop, [instance("s-old", 1)])
        loop.sleep(200.0)
        assert pool_entries(node) == {"s-new": address_at(1)} and states(node) == {"s-new": "ready"}

    run(main)


def test_executors_swap_addresses_and_one_returns():
    def main(loop):
        changes = [
            [instance("s-1", 2), instance("s-2", 1)],  # they swap addresses and keep their ids
            [instance("s-3", 2)],  # a new one at the address of s-1, whose end is not reported yet
            [instance("s-1", 2), instance("s-3", 2, "terminated")],  # s-1 is back at its address
            [instance("s-2", 1, "terminated")],
            [instance("s-2", 1)],
            # restarted under the same id
            [instance("s-1", 2, "terminated"), instance("s-1", 2, started=5_000)],
            [instance("s-2", 4)],
        ]
        released_events = []

        def script(stream, number, last):
            stream.write(HEAD)
            for n, instances in enumerate(changes, 2):
                while n - 1 > len(released_events):
                    loop.sleep(5.0)
                stream.write(event(n, instances))
            send_comments(loop, stream)

        Feed(loop, script)
        node = start_node(loop, [instance("s-1", 1), instance("s-2", 2)])
        before = {}

        def release_event(count):
            before.update(node.executor_pool.executors)
            released_events.append(count)
            loop.sleep(20.0)
            assert node.endpoint_watch.cursor == len(released_events) + 1
            return states(node)

        assert set(release_event(1)) == {"s-1", "s-2"} and pool_entries(node) == {
            "s-1": address_at(2),
            "s-2": address_at(1),
        }
        assert before["s-1"].is_removed and before["s-2"].is_removed
        assert set(release_event(2)) == {"s-1", "s-2", "s-3"}
        assert set(release_event(3)) == {"s-1", "s-2"} and pool_entries(node) == {
            "s-1": address_at(2),
            "s-2": address_at(1),
        }
        assert set(release_event(4)) == {"s-1"} and before["s-2"].is_removed
        assert set(release_event(5)) == {"s-1", "s-2"} and pool_entries(node) == {
            "s-1": address_at(2),
            "s-2": address_at(1),
        }
        assert set(release_event(6)) == {"s-1", "s-2"} and before["s-1"].is_removed
        assert set(release_event(7)) == {"s-1", "s-2"} and pool_entries(node) == {
            "s-1": address_at(2),
            "s-2": address_at(4),
        }

    run(main)


# Events known from a configuration file.


def known_text(cursor, events, channel=CHANNEL):
    config = json.loads(config_text([], channel=channel))
    return json.dumps(config | {"known": {"cursor": cursor, "cmds": events}})


def test_older_config_reverts_nothing_and_a_newer_one_is_applied():
    def main(loop):
        feed = Feed(
            loop, serve_steadily(loop, [event(2, [instance("s-1", 1, "terminating"), instance("s-2", 2)])])
        )
        node = start_node(loop, [instance("s-1", 1)])
        loop.sleep(20.0)
        node.reload(config_text([instance("s-1", 1)]))
        loop.sleep(20.0)
        assert states(node) == {"s-1": "draining", "s-2": "ready"} and node.endpoint_watch.cursor == 2
        older = [nodes_event(1, [instance("s-1", 1)], True)]
        newer = [
            *older,
            nodes_event(2, [instance("s-1", 1, "terminating"), instance("s-2", 2)]),
            nodes_event(3, [instance("s-3", 3)]),
            nodes_event(4, [instance("s-2", 2, "terminating")]),
        ]
        node.reload(known_text(4, newer))
        loop.sleep(20.0)
        expected = {"s-1": "draining", "s-2": "draining", "s-3": "ready"}
        assert states(node) == expected and node.endpoint_watch.cursor == 4 and feed.last_event_ids == [1]
        for cursor, events in ((1, older), (9, older), (9, []), (4, newer)):
            node.reload(known_text(cursor, events))
            loop.sleep(20.0)
            # the channel delivers missing events
            assert states(node) == expected and node.endpoint_watch.cursor == 4

    run(main)


def test_newer_config_with_missing_events_applies_only_its_drains():
    def main(loop):
        Feed(loop, serve_steadily(loop))
        new = Feed(
            loop,
            serve_steadily(
                loop,
                [
                    event(2, [instance("s-1", 1), instance("s-2", 2)]),
                    event(3, [instance("s-1", 1, "terminating")]),
                ],
            ),
            SECOND_CHANNEL,
        )
        node = start_node(loop, [instance("s-1", 1)])
        loop.sleep(20.0)
        node.reload(known_text(3, [nodes_event(3, [instance("s-1", 1, "terminating")])], SECOND_CHANNEL))
        loop.soon(lambda: None)
        loop.sleep(0.1)
        assert states(node) == {"s-1": "draining"} and node.endpoint_watch.cursor == 1
        loop.sleep(50.0)
        assert states(node) == {"s-1": "draining", "s-2": "ready"} and new.last_event_ids == [1]

    run(main)


def test_startup_requests_events_after_the_last_known_one():
    def main(loop):
        feed = Feed(loop, serve_steadily(loop, [event(n, []) for n in range(2, 9)]))
        events = [
            nodes_event(3, [instance("s-1", 1)], True),
            nodes_event(4, [instance("s-1", 1, "terminating")]),
        ]
        for cursor, known, expected in ((2, events, 4), (4, events, 4), (9, [], 0)):
            log = RecordingObserver()
            loop.on_error = lambda task, exc, log=log: log.failed(task.name, exc)
            pool = ExecutorPool(loop, idle_timeout_ms=15e3, connect_timeout_ms=250.0, max_connections=10)
            channel = EndpointWatch(
                loop,
                CHANNEL,
                pool,
                zones={"east": 0},
                machine_types={"std": 0},
                post=lambda _: None,
                log_message=log.logged,
            )
            channel.apply_known(cursor, tuple(known))
            assert channel.cursor == expected
            channel.start()
            loop.sleep(20.0)
            assert feed.last_event_ids.pop() == expected and not log.task_failures

    run(main)


# On loopback sockets.


class ScriptedChannel:
    """A command channel on sockets that serves one connection at a time; each waits for its request."""

    def __init__(self, *connections):
        self.sock, self.address = listening()
        self.last_event_ids, self.connections, self.open = [], connections, []
        threading.Thread(target=self._serve, daemon=True).start()

    def _serve(self):
        for answer, then in self.connections:
            try:
                peer, _ = self.sock.accept()
            except OSError:
                return
            peer.settimeout(WAIT_S)
            self.last_event_ids.append(int(re.search(rb"Last-Event-ID: (\d+)", peer.recv(4096))[1]))
            peer.sendall(answer)
            if then == "reset":
                peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            if then == "open":  # until the controller closes it, possibly after connecting elsewhere
                self.open.append(peer)
            else:
                peer.close()


def test_program_receives_the_complete_list_over_a_faulty_channel(tmp_path):
    drain = event(2, [instance("s-1", 1, "terminating"), instance("s-2", 2)])
    program = RunningProgram(tmp_path)
    script = ScriptedChannel(
        (HEAD + drain[:-9], "reset"),
        (HEAD + raw_event(2, {"cursor": 2, "nodes": {"instances": 5}}), "open"),
        (b"HTTP/1.1 503 No\r\n\r\n", "close"),
        (HEAD + drain[:40], "open"),
        (HEAD + event(3, [instance("s-3", 3)]), "open"),
        (HEAD + drain + drain, "close"),
        (HEAD + event(4, [instance("s-1", 1, "terminated")]), "open"),
        (HEAD + event(3, []) + event(4, [instance("s-1", 1, "terminated")]), "open"),
    )
    try:
        config = json.loads(program.path.read_text("utf-8"))
        program.path.write_text(json.dumps(config | {"channel": script.address}), "utf-8")
        program.process.send_signal(signal.SIGHUP)
        program.expect(f"command channel at {script.address}")
        program.expect("gap")  # the fifth connection sends event 3
        program.expect("gap")  # the seventh connection sends event 4
        while len(script.last_event_ids) < 8:
            assert program.process.poll() is None
            time.sleep(0.01)
        assert script.last_event_ids == [1, 1, 1, 1, 1, 1, 2, 2]
        # s-1, which would answer, is draining; s-2 does not exist
        answer = program.call(pack_request(2, d="300"))
        assert answer is None or answer[2] is not None
        program.process.send_signal(signal.SIGTERM)
        program.process.send_signal(signal.SIGHUP)
        assert "'gaps': 2" in program.expect("closed") and program.process.wait(WAIT_S) == 0
    finally:
        program.end()
        script.sock.close()


# Configuration files.

BASE_CONFIG = json.loads(config_text([instance("s-1", 1)]))
MISSING = object()
BAD_FIELDS = [
    ("name", MISSING),
    ("name", 5),
    ("listen", MISSING),
    ("listen", "here"),
    ("listen", 9090),
    ("listen", "127.0.0.9:70000"),
    ("channel", "127.0.0.8"),
    ("channel", None),
    ("channel", ["127.0.0.8:1"]),
    ("seed", MISSING),
    ("seed", "no hex"),
    ("seed", 1.5),
    ("settings", MISSING),
    ("settings", []),
    ("limits", MISSING),
    ("limits", 5),
    ("limits.cores", -1),
    ("limits.cores", float("nan")),
    ("limits.cores", True),
    ("limits.cores", "1"),
    ("limits.memory_mb", MISSING),
    ("limits.memory_mb", 0),
    ("limits.memory_mb", float("inf")),
    ("limits.sockets", MISSING),
    ("limits.sockets", 0),
    ("limits.sockets", -5),
    ("limits.sockets", 3),
    ("limits.sockets", 100.5),
    ("limits.sockets", 10**400),
    ("limits.sockets", float("inf")),
    ("known", 5),
    ("known.cursor", "1"),
    ("known.cursor", float("inf")),
    ("known.cursor", -1),
    ("known.cursor", True),
    ("known.cmds", {}),
    ("known.cmds", "all"),
    ("known.cmds[0]", 5),
    ("known.cmds[0].cursor", MISSING),
    ("known.cmds[0].cursor", 1.5),
    ("known.cmds[0].nodes", []),
    ("known.cmds[0].nodes.instances", 5),
    ("known.cmds[0].nodes.instances", MISSING),
    ("known.cmds[0].nodes.reset", "no"),
    ("known.cmds[0].nodes.instances[0]", "s-1"),
    ("known.cmds[0].nodes.instances[0].instanceId", 5),
    ("known.cmds[0].nodes.instances[0].zone", 0),
    ("known.cmds[0].nodes.instances[0].hostPort", "x"),
    ("known.cmds[0].nodes.instances[0].lifecycle", MISSING),
    ("known.cmds[0].nodes.instances[0].weight", float("nan")),
    ("known.cmds[0].nodes.instances[0].startedAtMs", "soon"),
    ("settings.Grades", MISSING),
    ("settings.Grades", 5),
    ("settings.Grades", []),
    ("settings.Grades", [1, 2]),
    ("settings.Grades[1].GiveUpMs", MISSING),
    ("settings.Grades[1].GiveUpMs", "soon"),
    ("settings.Grades[1].GiveUpMs", float("nan")),
    ("settings.Grades[1].GiveUpMs", -1),
    ("settings.Grades[2].AimMs", 0),
    ("settings.Grades[2].Points", -0.5),
    ("settings.Grades[0].Points", True),
    ("settings.Grades[0].Effect", "sometimes"),
    ("settings.Grades[2].Name", "lookup"),
    ("settings.Grades[2].Name", MISSING),
    ("settings.Grades[2].Name", 5),
    ("settings.Zones", 5),
    ("settings.Zones[1]", "east"),
    ("settings.Projects[0].QuotaPerS", MISSING),
    ("settings.Balancers", 0),
    ("settings.Balancers", 1.5),
    ("settings.Me", "me"),
    ("settings.Ceilings.MaxAttempts", 0),
    ("settings.Ceilings.MaxOpen", 0),
    ("settings.Ceilings.MaxOpen", float("inf")),
    ("settings.Ceilings.ConnIdleMs", -1),
    ("settings.Ceilings.DialTimeoutMs", "x"),
    ("settings.Ceilings.Cancel", "perhaps"),
    ("settings.FamilyInfo.KindCores", [0]),
    ("settings.FamilyInfo.WidthByClass", [1, 0, 1]),
    ("settings.Rules.ColdShare", -0.1),
    ("settings.Rules.DrainGraceMs", float("inf")),
]


def with_field(config, path, value):
    config = copy.deepcopy(config)
    *parts, last = [int(part) if part.isdecimal() else part for part in re.findall(r"[^.\[\]]+", path)]
    parent = config
    for part in parts:
        parent = parent[part]
    if value is MISSING:
        del parent[last]
    else:
        parent[last] = value
    return config


@pytest.mark.parametrize(("path", "value"), BAD_FIELDS)
def test_invalid_config_field_is_named_by_its_path(path, value):
    with pytest.raises(ConfigError) as raised:
        read_config(json.dumps(with_field(BASE_CONFIG, path, value)))
    assert re.match(re.escape(path) + r"(?![\w.\[])", str(raised.value)), str(raised.value)


def test_config_corrupted_anywhere_is_parsed_or_rejected():
    paths = []

    def walk(value, path):
        if path:
            paths.append(path)
        for key, inner in (
            value.items()
            if isinstance(value, dict)
            else (enumerate(value) if isinstance(value, list) else ())
        ):
            walk(inner, f"{path}.{key}" if path else str(key))

    walk(BASE_CONFIG, "")
    refused = 0
    for path in paths:
        for value in (
            MISSING,
            None,
            True,
            0,
            -1,
            1.5,
            NAN,
            INFINITY,
            10**400,
            "",
            "x",
            "\ud800",
            [],
            [[1]],
            {},
            {"a": []},
        ):
            try:
                read_config(json.dumps(with_field(BASE_CONFIG, path, value)))
            except ConfigError:
                refused += 1
    assert refused > len(paths)


@pytest.mark.parametrize(
    "text", ["", "{", json.dumps(BASE_CONFIG)[:-200], "[" * 200_000, '{"name": NaN}', "\ufeff{}", "null"]
)
def test_truncated_config_is_rejected(text):
    with pytest.raises(ConfigError):
        read_config(text)


@pytest.mark.parametrize(("path", "value"), [one for one in BAD_FIELDS if one[0].startswith("known")])
def test_invalid_config_changes_nothing_and_is_logged_in_one_line(path, value):
    def main(loop):
        Feed(loop, serve_steadily(loop))
        node = start_node(loop, [instance("s-1", 1)])
        loop.sleep(20.0)
        config = json.loads(
            known_text(
                3,
                [
                    nodes_event(2, [instance("s-2", 2)]),
                    nodes_event(3, [instance("s-1", 1, "terminating")], True),
                ],
                SECOND_CHANNEL,
            )
        )
        node.log.lines.clear()
        node.reload(json.dumps(with_field(config, path.replace("[0].nodes", "[1].nodes"), value)))
        loop.sleep(20.0)
        assert states(node) == {"s-1": "ready"} and node.endpoint_watch.cursor == 1
        assert node.endpoint_watch.address == CHANNEL
        assert [kind for kind, _ in node.log.lines] == ["reload"]
        assert "as before: known" in node.log.lines[0][1]

    run(main)


@pytest.mark.parametrize(
    ("content", "named"),
    [
        (b"", "no JSON"),
        (b"\xff\xfe{}", "utf-8"),
        (json.dumps(BASE_CONFIG).encode()[:500], "no JSON"),
        *(
            (json.dumps(with_field(BASE_CONFIG, path, value)).encode(), path)
            for path, value in (
                ("settings.Grades[1].GiveUpMs", NAN),
                ("known.cmds[0].nodes.instances", 5),
                ("limits.sockets", INFINITY),
            )
        ),
    ],
)
def test_startup_with_an_invalid_config_names_the_field_in_one_line_and_exits_with_2(
    content, named, tmp_path
):
    path = tmp_path / "config.json"
    path.write_bytes(content)
    done = subprocess.run(
        command(),
        cwd=ROOT,
        env=os.environ | {"RELAY_CONFIG": str(path)},
        capture_output=True,
        text=True,
        timeout=WAIT_S,
    )
    assert done.returncode == 2 and done.stderr.startswith("RELAY_CONFIG") and named in done.stderr
    assert done.stderr.count("\n") == 1


def test_running_program_survives_every_invalid_config(tmp_path):
    program = RunningProgram(tmp_path)
    try:
        good = json.loads(program.path.read_text("utf-8"))
        moved, address = listening()
        bad = [b"", b"\xff", json.dumps(good).encode()[:100]] + [
            json.dumps(with_field(good | {"channel": address}, path, value)).encode()
            for path, value in (
                ("known.cmds[0].nodes.instances", 5),
                ("known.cmds[0].nodes.instances[0].hostPort", 5),
                ("known.cmds[0].nodes.instances[0].cell", INFINITY),
                ("limits.sockets", INFINITY),
                ("known.cmds", 5),
                ("settings.Grades[0].Name", 5),
            )
        ]
        for content in bad:
            program.path.write_bytes(content)
            program.process.send_signal(signal.SIGHUP)
            program.expect("settings are as before")
        program.path.unlink()
        program.process.send_signal(signal.SIGHUP)
        program.expect("settings are as before")
        program.path.write_text(json.dumps(good | {"channel": address}), "utf-8")
        program.process.send_signal(signal.SIGHUP)
        program.expect(f"command channel at {address}")
        peer, _ = moved.accept()
        assert b"Last-Event-ID: 1\r\n" in peer.recv(4096)
        assert program.process.poll() is None
        program.process.send_signal(signal.SIGTERM)
        assert program.process.wait(WAIT_S) == 0
        peer.close()
        moved.close()
    finally:
        program.end()


def test_unexpected_error_in_a_reload_does_not_end_the_program(tmp_path):
    path = tmp_path / "config.json"
    sock, listen = listening()
    sock.close()
    path.write_text(json.dumps(BASE_CONFIG | {"listen": listen}), "utf-8")
    code = "import sys, fennelwind.node.lifecycle as l; l.Node.reload = lambda *_: 1 / 0; sys.exit(l.main())"
    running = subprocess.Popen(
        [sys.executable, "-c", code],
        cwd=ROOT,
        text=True,
        stderr=subprocess.PIPE,
        env=os.environ | {"RELAY_CONFIG": str(path)},
    )
    try:
        for words, number in (
            ("listening", signal.SIGHUP),
            ("ZeroDivisionError", signal.SIGTERM),
            ("closed", 0),
        ):
            for line in running.stderr:
                if words in line:
                    break
            else:
                raise AssertionError(f"{words!r} is not in the log")
            running.send_signal(number)
        assert running.wait(WAIT_S) == 0
    finally:
        running.kill()
        running.wait()
        running.stderr.close()


# Random sequences of all of these.


class Platform:
    """A platform with random changes of its list and random channel faults; `truth` is the correct list."""

    def __init__(self, loop, rng):
        self.loop, self.rng, self.faults_off = loop, rng, False
        self.truth = {f"s-{n}": instance(f"s-{n}", n) for n in range(4)}
        self.events = [nodes_event(1, list(self.truth.values()), True)]
        # executors so far; those reported as ready again after a drain
        self.executor_count, self.ready_again = (4, set())
        self.drained, self.faults, self.feeds = set(), {}, []
        self.open(CHANNEL)

    def open(self, address):
        """Serve at this address only; old connections send nothing more and end after 1.5 s."""
        for feed in self.feeds:
            feed.listener.close()
        feed_index = len(self.feeds)
        self.feeds.append(Feed(self.loop, lambda *args: self._script(feed_index, *args), address))

    def change(self):
        rng, changes = self.rng, {}
        for _ in range(rng.randint(1, 3)):
            name = rng.choice(sorted(self.truth)) if self.truth else None
            draw = rng.random()
            if draw < 0.35 or name is None:
                self.executor_count += 1
                changes[f"s-{self.executor_count}"] = instance(
                    f"s-{self.executor_count}", rng.choice([self.executor_count, self.executor_count + 100])
                )
            elif draw < 0.6:
                changes[name] = self.truth[name] | {"lifecycle": "terminating"}
            elif draw < 0.7:
                changes[name] = self.truth[name] | {"lifecycle": "in_service"}
            elif draw < 0.8:
                self.executor_count += 1
                changes[name] = self.truth[name] | {"hostPort": f"127.0.1.{self.executor_count}:9090"}
            else:
                changes[name] = self.truth[name] | {"lifecycle": "terminated"}
                if rng.random() < 0.5:  # a new executor takes over its address
                    self.executor_count += 1
                    changes[f"s-{self.executor_count}"] = instance(f"s-{self.executor_count}", 1) | {
                        "hostPort": self.truth[name]["hostPort"]
                    }
        lines = list(changes.values())
        rng.shuffle(lines)
        for line in lines:
            name = line["instanceId"]
            if line["lifecycle"] == "in_service" and name in self.drained:
                self.ready_again.add(name)
            if line["lifecycle"] == "terminating":
                self.drained.add(name)
            if line["lifecycle"] == "terminated":
                self.truth.pop(name, None)
            else:
                self.truth[name] = line
        reset = rng.random() < 0.1
        self.events.append(
            nodes_event(len(self.events) + 1, [*self.truth.values()] if reset else lines, reset)
        )

    def _script(self, feed_index, stream, number, last):
        rng, loop = self.rng, self.loop
        stream.write(HEAD)
        at, last_sent_at = last, loop.now()
        while feed_index == len(self.feeds) - 1:
            fault = (
                ""
                if self.faults_off or self.faults.get(at, 0) > 1
                else rng.choice(["cut", "silent", "repeat", "gap", "spoilt", "half"] + [""] * 25)
            )
            if at < len(self.events):
                raw = raw_event(at + 1, self.events[at])
                if fault in ("gap", "spoilt", "cut", "half", "silent"):
                    self.faults[at] = self.faults.get(at, 0) + 1
                if fault == "cut":
                    stream.write(raw[: rng.randrange(len(raw))])
                    loop.sleep(rng.choice([0.0, 5.0]))
                    stream.abort()
                    return
                if fault in ("half", "silent"):
                    stream.write(raw[: rng.randrange(len(raw)) if fault == "half" else 0])
                    loop.sleep(1e6)
                if fault == "spoilt":
                    stream.write(
                        rng.choice(
                            [
                                raw_event(at + 1, b"{"),
                                raw_event(at + 1, raw[10:-20]),
                                raw_event(at + 1, {"cursor": at + 1, "nodes": {"instances": 7}}),
                                raw_event(at + 1, copy.deepcopy(self.events[at]) | {"cursor": INFINITY}),
                                b"id: %d%s" % (at + 5, raw[raw.index(b"\n") :]),
                            ]
                        )
                    )
                    loop.sleep(1e6)
                if fault == "gap" and at + 1 < len(self.events):
                    stream.write(raw_event(at + 2, self.events[at + 1]))
                    loop.sleep(1e6)
                if fault == "repeat":
                    back = rng.randrange(at + 1)
                    stream.write(b"".join(raw_event(n + 1, self.events[n]) for n in range(back, at)))
                for cut in sorted(rng.sample(range(len(raw)), 2)):
                    if rng.random() < 0.1:
                        stream.write(raw[:cut])
                        loop.sleep(rng.uniform(0.0, 50.0))
                        stream.write(raw[cut:])
                        break
                else:
                    stream.write(raw)
                at, last_sent_at = at + 1, loop.now()
            elif loop.now() >= last_sent_at + 1000.0:
                stream.write(b": here\n\n")
                last_sent_at = loop.now()
            loop.sleep(20.0)
        loop.sleep(1500.0)
        stream.close()


@pytest.mark.parametrize("seed", range(30))
def test_endpoints_match_the_platforms_last_list(seed):
    def main(loop):
        rng = random.Random(seed)
        platform = Platform(loop, rng)
        node = start_node(loop, list(platform.truth.values()))
        seen, wrongly_ready, post = {}, [], node.driver.post

        def check_states(update):
            if isinstance(update, policy.EngineListUpdate):
                for entry in update.engines:
                    back = entry.state == "ready" and seen.get(entry.engine) in ("draining", "gone")
                    if back and entry.engine not in platform.ready_again:
                        wrongly_ready.append((loop.now(), entry.engine, seen[entry.engine]))
                    seen[entry.engine] = entry.state
            post(update)

        node.endpoint_watch.endpoints.post = check_states
        addresses = [CHANNEL, SECOND_CHANNEL, THIRD_CHANNEL]
        for _ in range(120):
            loop.sleep(rng.expovariate(1 / 150.0))
            if rng.random() < 0.04:
                address = rng.choice([one for one in addresses if one != platform.feeds[-1].listener.address])
                platform.open(address)
                known = platform.events[: rng.randint(1, len(platform.events))]
                node.reload(known_text(len(known), known, address))
                if rng.random() < 0.3:  # once more while the first reload is in progress
                    loop.sleep(rng.uniform(0.0, 3.0))
                    node.reload(known_text(1, platform.events[:1], address))
            else:
                platform.change()
        platform.faults_off = True
        loop.sleep(ASSUMED_KNOWN_AFTER_MS + 50.0)
        truth = platform.truth
        assert node.endpoint_watch.cursor == len(platform.events) and not wrongly_ready
        assert states(node) == {
            name: wire_names.ENDPOINT_STATES[one["lifecycle"]] for name, one in truth.items()
        }
        assert {
            name: (str(executor.address), executor.is_draining)
            for name, executor in node.executor_pool.executors.items()
        } == {name: (one["hostPort"], one["lifecycle"] == "terminating") for name, one in truth.items()}
        assert (
            not node.endpoint_watch.endpoints.drained_ahead
            and not node.endpoint_watch.counts["applied_in_part"]
        )
        assert not node.log.task_failures and not node.driver.step_errors
        assert "channel" in {task.name for task in loop.tasks}

    run(main, seed)
