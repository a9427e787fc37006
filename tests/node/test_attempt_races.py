"""Races between the decision on an attempt and its first byte, and between two attempts.

Each race is forced by the order of events, on the virtual loop and on loopback sockets: the script decides
when a connection is established, and advances the clock where a time limit is under test.
"""

import errno
import json
import socket
from contextlib import suppress

import msgpack
import pytest
from nodes import (
    LISTEN,
    ROWS,
    SETTINGS,
    Client,
    Executor,
    RecordingObserver,
    config_text,
    first_page,
    instance,
    nodes_event,
    query_id,
    start_node,
)

from fennelwind.loop import Address, ConnectFailed, Once, RealLoop, SimLoop, StreamReset
from fennelwind.node.attempt import UNPOLLED_EXPIRY_MS
from fennelwind.node.config import read_config
from fennelwind.node.lifecycle import Node

QUERY_CLASSES = SETTINGS["Grades"]
KEYED = {
    "Name": "tally",
    "AimMs": 9000.0,
    "Effect": "by_key",
    "Group": "all",
    "GiveUpMs": 60000.0,
    "MemorySpanMs": 20000.0,
    "Points": 5.0,
}


def free_address(host):
    with socket.create_server((host, 0)) as sock:
        return Address(host, sock.getsockname()[1])


class Scenario:
    """A controller whose connections to executors are established when the test allows it."""

    def __init__(
        self, loop, executors=2, ceilings=None, extra_classes=(), work_ms=5.0, scripts=(), **settings
    ):
        self.loop, self.skew_ms, self.connections_allowed, self.connects = loop, 0.0, Once(loop), []
        self.failing = set()  # executors to which connecting times out
        real = isinstance(loop, RealLoop)
        self.executors = [
            Executor(
                loop,
                k,
                port=0 if real else 9090,
                work_ms=work_ms,
                script=scripts[k] if k < len(scripts) else None,
            )
            for k in range(executors)
        ]
        ports = [one.listener.address.port for one in self.executors]
        config = json.loads(
            config_text(
                [instance(f"s-{k}", k, port=port) for k, port in enumerate(ports)],
                Ceilings=SETTINGS["Ceilings"] | {"DialTimeoutMs": 50000.0} | (ceilings or {}),
                Grades=[*QUERY_CLASSES, *extra_classes],
                **settings,
            )
        )
        self.listen = free_address("127.0.0.1") if real else LISTEN
        config["listen"] = str(self.listen)
        if real:
            config["channel"] = str(free_address("127.0.0.1"))
        self.executor_numbers = {Address(f"127.0.1.{k}", port): k for k, port in enumerate(ports)}
        self.real_now, self.real_connect = loop.now, loop.connect
        loop.connect = self.connect
        if real:
            loop.now = lambda: self.real_now() + self.skew_ms
        self.log = RecordingObserver()
        loop.on_error = lambda task, exc: self.log.failed(task.name, exc)
        self.node = Node(loop, read_config(json.dumps(config)), self.log)
        self.node.start()

    def connect(self, address):
        if address in self.executor_numbers:
            self.connects.append(self.executor_numbers[address])
            if self.executor_numbers[address] in self.failing:
                raise ConnectFailed(errno.ETIMEDOUT, f"{address}: no connection in time")
            self.connections_allowed.wait()
        return self.real_connect(address)

    def connect_client(self):
        return Client(self.loop, self.listen)

    def until(self, holds):
        """Wait until `holds()` is true."""
        with self.loop.deadline(60000.0):
            while not holds():
                self.loop.sleep(1.0)

    def advance_clock(self, ms):
        """Advance the clock by `ms` without running the loop."""
        if isinstance(self.loop, SimLoop):
            self.loop._time += ms
        else:
            self.skew_ms += ms

    def allow_connections(self):
        """Let all connections be established from now on."""
        self.connections_allowed.set()

    def assert_idle(self):
        """Wait until no request or attempt is open; fail if a task failed."""
        self.until(
            lambda: (
                not self.node.driver.ledger.open_count and not self.node.executor_client.in_flight.by_query
            )
        )
        assert not self.log.task_failures

    @property
    def ran(self):
        return [one for executor in self.executors for one in executor.ran]


@pytest.fixture(params=["virtual", "sockets"])
def run_on_loop(request):
    def run_main(main):
        loop = SimLoop(7) if request.param == "virtual" else RealLoop()
        loop.run(main, loop)

    return run_main


@pytest.mark.parametrize("cancel", [True, False])
@pytest.mark.parametrize("leave", ["forget", "close", "reset"])
def test_nothing_is_sent_for_a_client_that_left_during_connect(run_on_loop, leave, cancel):
    def main(loop):
        scenario = Scenario(loop, ceilings={"Cancel": cancel})
        client = scenario.connect_client()
        number = client.send_request(query_id(1), "scene-build", 5000)
        scenario.until(lambda: scenario.connects)
        leave_as(client, leave, number)
        scenario.until(lambda: not scenario.node.driver.ledger.open_count)
        scenario.allow_connections()
        scenario.assert_idle()
        assert not scenario.ran and scenario.log.attempt_statuses == ["cancelled" if cancel else "moot"]

    run_on_loop(main)


def leave_as(client, how, number):
    if how == "forget":
        client.stream.write(b"\x93\x02\xa6forget\x91" + bytes([number]))
    elif how == "close":
        client.stream.close()
    else:
        client.stream.abort()


def test_cancellation_during_a_long_turn_is_read_before_anything_is_sent():
    # On real sockets only: written bytes reach the controller at once, but are read in its next turn.
    def main(loop):
        scenario = Scenario(loop, ceilings={"Cancel": False})
        client = scenario.connect_client()
        number = client.send_request(query_id(1), "scene-build", 5000)
        scenario.until(lambda: scenario.connects)
        leave_as(client, "forget", number)
        # one turn of the loop takes this long, and the connection is established in it
        scenario.advance_clock(150.0)
        scenario.allow_connections()
        scenario.assert_idle()
        assert not scenario.ran and scenario.log.attempt_statuses == ["moot"]

    loop = RealLoop()
    loop.run(main, loop)


def test_keyed_query_is_not_sent_again_after_its_deduplication_window(run_on_loop):
    def main(loop):
        def answer_error(verb, path, number):
            return b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n" if verb == "POST" else None

        scenario = Scenario(loop, extra_classes=[KEYED], scripts=[answer_error, answer_error])
        scenario.allow_connections()
        client = scenario.connect_client()
        second_allowed = Once(loop)
        first = []

        def connect(address):
            if address in scenario.executor_numbers:
                if first and first[0] != scenario.executor_numbers[address]:
                    scenario.connects.append("second")
                    second_allowed.wait()
                first.append(scenario.executor_numbers[address])
            return scenario.real_connect(address)

        loop.connect = connect
        number = client.send_request(query_id(1), "tally", 59000)
        scenario.until(lambda: "second" in scenario.connects)
        assert scenario.ran == [query_id(1)]
        scenario.advance_clock(21000.0)
        second_allowed.set()
        error, _ = client.wait_for_answer(number, 60000.0)
        scenario.assert_idle()
        assert (
            error[0] == "Shed"
            and scenario.ran == [query_id(1)]
            and scenario.log.attempt_statuses[:2] == ["error", "moot"]
        )

    run_on_loop(main)


def test_further_attempts_that_connect_at_once_respect_the_retry_budget(run_on_loop):
    def main(loop):
        answered_error = []

        def answer_error_once(k):
            def script(verb, path, number):
                if verb != "POST" or scenario.ran.count(scenario.executors[k].ran[-1]) > 1:
                    return None
                answered_error.append(True)
                return b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"

            return script

        sweep = QUERY_CLASSES[1] | {"Name": "sweep", "AimMs": 30000.0, "GiveUpMs": 60000.0}
        rules = SETTINGS["Rules"] | {"ExtraFloor": 1.0, "FurtherRatio": 0.0, "LookBackMs": 5000.0}
        scenario = Scenario(
            loop,
            executors=4,
            ceilings={"Cancel": False, "ParallelTries": False},
            extra_classes=[sweep],
            scripts=[answer_error_once(k) for k in range(4)],
            Rules=rules,
        )
        waiting, connects_allowed = [], Once(loop)

        def connect(address):
            if address in scenario.executor_numbers and answered_error:
                waiting.append(address)
                connects_allowed.wait()
            return scenario.real_connect(address)

        loop.connect = connect
        sent = []
        for k in range(2):
            answered_error.clear()
            client = scenario.connect_client()
            sent.append((client, client.send_request(query_id(k + 1), "sweep", 59000, h="2000.0")))
            scenario.until(lambda k=k: len(waiting) > k)
            # moves the decision on the first request's further attempt out of the budget's window
            scenario.advance_clock(6000.0)
        connects_allowed.set()
        errors = [client.wait_for_answer(number, 60000.0)[0] for client, number in sent]
        scenario.assert_idle()
        assert len(scenario.ran) == 3 and scenario.log.attempt_statuses.count("moot") >= 1
        assert sum(error is None for error in errors) == 1

    run_on_loop(main)


@pytest.mark.parametrize("how", ["delete is not answered", "delete is refused", "cut off"])
def test_second_attempt_waits_until_the_first_has_expired_at_its_executor(how):
    # On the virtual loop only: the test takes seconds.
    def main(loop):
        polled_at = []

        def silent(verb, path, number):
            if verb in ("POST", "GET"):
                polled_at.append(loop.now())
            if verb == "POST" and how == "cut off":
                scenario.failing.add(0)
            if verb == "POST" and how == "delete is refused":
                scenario.executors[0].stop()  # no new connections; open ones continue
                loop.sleep(9000.0)
            return "silent"

        scenario = Scenario(loop, ceilings={"ParallelTries": False, "DialTimeoutMs": 250.0}, scripts=[silent])
        scenario.failing.add(1)  # so that the first attempt goes to the other executor
        scenario.allow_connections()
        client = scenario.connect_client()
        client.send_request(query_id(1), "scene-build", 5900, h="10.0")
        scenario.until(lambda: polled_at)
        scenario.failing.discard(1)
        scenario.node.driver.gateway.engines["s-1"].ejected_until_ms = 0.0
        scenario.until(lambda: scenario.executors[1].ran)
        assert loop.now() >= max(polled_at) + 2000.0
        assert loop.now() < max(polled_at) + UNPOLLED_EXPIRY_MS + 100.0
        scenario.assert_idle()

    loop = SimLoop(7)
    loop.run(main, loop)


def test_hedged_attempt_is_not_sent_to_the_executor_of_the_first(run_on_loop):
    def main(loop):
        scenario = Scenario(loop, executors=1, ceilings={"Cancel": False}, work_ms=30000.0)
        scenario.allow_connections()
        client = scenario.connect_client()
        number = client.send_request(query_id(1), "scene-build", 5900, h="1.0")
        scenario.until(lambda: scenario.log.attempt_statuses or len(scenario.ran) > 1)
        assert scenario.log.attempt_statuses[:1] == ["moot"] and scenario.ran == [query_id(1)]
        leave_as(client, "forget", number)
        scenario.assert_idle()

    run_on_loop(main)


def test_further_attempt_starts_at_once_when_the_first_executor_has_stopped(run_on_loop):
    def main(loop):
        def stop_executor(verb, path, number):
            post_times.append(loop.now())
            scenario.failing.discard(1)  # from now on the other executor can be reached
            scenario.node.driver.gateway.engines["s-1"].ejected_until_ms = 0.0
            scenario.executors[0].stop()
            return "cut"

        post_times = []

        scenario = Scenario(loop, ceilings={"ParallelTries": False}, scripts=[stop_executor])
        scenario.failing.add(1)
        scenario.allow_connections()
        client = scenario.connect_client()
        number = client.send_request(query_id(1), "scene-build", 5900, h="10.0")
        assert client.wait_for_answer(number)[0] is None
        assert "reset" in scenario.log.attempt_statuses and scenario.executors[1].ran == [query_id(1)]
        assert isinstance(scenario.loop, RealLoop) or loop.now() < post_times[0] + 500.0
        scenario.assert_idle()

    run_on_loop(main)


def test_query_of_a_client_that_leaves_during_another_answer_is_not_attempted(run_on_loop):
    class BrokenStream:
        """A stream that reports a reset by its peer when the first answer is written."""

        def __init__(self, stream):
            self.stream = stream

        def __getattr__(self, name):
            return getattr(self.stream, name)

        def push(self, data):
            raise StreamReset(errno.ECONNRESET, "gone")

    def main(loop):
        scenario = Scenario(loop)
        scenario.allow_connections()
        client = scenario.connect_client()
        scenario.until(lambda: len(scenario.node.frontend.slots))
        connection = next(iter(scenario.node.frontend.slots))
        connection.stream = BrokenStream(connection.stream)
        # can't be served in time
        too_long = {"i": query_id(1), "d": "1500", "t": "acme", "h": "1000000.0"}
        normal = {"i": query_id(2), "d": "5000", "t": "acme", "h": "10.0"}
        client.stream.write(
            msgpack.packb([0, 1, "lookup", [too_long, b"select 1"]])
            + msgpack.packb([0, 2, "scene-build", [normal, b"select 1"]])
        )
        scenario.until(lambda: scenario.node.driver.ledger.counts[1]["left"])
        scenario.assert_idle()
        loop.sleep(300.0)
        assert not scenario.node.driver.gateway.queries and not scenario.ran
        assert not any(engine.running_attempts for engine in scenario.node.driver.gateway.engines.values())

    run_on_loop(main)


def test_engine_that_starts_draining_during_connect_gets_nothing(run_on_loop):
    def main(loop):
        scenario = Scenario(loop, executors=1)
        client = scenario.connect_client()
        number = client.send_request(query_id(1), "lookup", 1900)
        scenario.until(lambda: scenario.connects)
        port = scenario.executors[0].listener.address.port
        scenario.node.endpoint_watch._apply_known_event(
            nodes_event(2, [instance("s-0", 0, "terminating", port=port)]), "full"
        )
        scenario.allow_connections()
        error, _ = client.wait_for_answer(number)
        scenario.assert_idle()
        assert error[0] == "Shed" and not scenario.ran and "moot" in scenario.log.attempt_statuses

    run_on_loop(main)


def test_engine_replaced_at_its_address_during_connect_gets_nothing(run_on_loop):
    def main(loop):
        scenario = Scenario(loop, executors=1, extra_classes=[KEYED])
        client = scenario.connect_client()
        client.send_request(query_id(1), "scene-build", 5000)
        scenario.until(lambda: scenario.connects)
        port = scenario.executors[0].listener.address.port
        scenario.node.endpoint_watch._apply_known_event(
            nodes_event(2, [instance("s-9", 0, port=port)]), "full"
        )
        scenario.allow_connections()
        scenario.until(lambda: scenario.log.attempt_statuses)
        assert scenario.log.attempt_statuses[0] == "moot"
        scenario.assert_idle()
        # sent to the new executor by a new decision, or not at all
        assert scenario.ran in ([], [query_id(1)])

    run_on_loop(main)


@pytest.mark.parametrize("late_ms", [1.0, 20.0, 50.0])
def test_late_duplicate_answer_is_not_taken_for_the_next_querys(late_ms):
    # On the virtual loop only: the order depends on milliseconds.
    def main(loop):
        other = b"x\ty\tz\n"

        def serve(stream):
            with suppress(StreamReset):
                while head := stream.read():
                    first = query_id(1).encode() in head
                    loop.sleep(5.0 if first else 300.0)
                    stream.write(first_page(body=other if first else ROWS))
                    if first:
                        loop.spawn(write_again, stream)

        def write_again(stream):
            loop.sleep(late_ms)
            with suppress(StreamReset):
                stream.write(first_page(body=other))

        listener = loop.listen(Address("127.0.1.1", 9090))

        def accept():
            while True:
                loop.spawn(serve, listener.accept())

        loop.spawn(accept)
        node = start_node(loop, [instance("s-1", 1)])
        client = Client(loop)
        assert client.wait_for_answer(client.send_request(query_id(1))) == (None, [other, {}])
        loop.sleep(late_ms - 4.0 if late_ms > 4.0 else 0.0)
        assert client.wait_for_answer(client.send_request(query_id(2))) == (None, [ROWS, {}])
        assert not node.log.task_failures

    loop = SimLoop(7)
    loop.run(main, loop)
