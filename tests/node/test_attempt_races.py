"""What comes between the decision on an attempt and its first byte, or between two attempts.

Each race is forced by the order of events, on the virtual loop and on loopback sockets: a connection
comes up when the script lets it, and time is moved on where the rule is one of time.
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

GRADES = SETTINGS["Grades"]
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


class Stage:
    """A controller whose connections to executors come up when the script says."""

    def __init__(self, loop, executors=2, ceilings=None, grades=(), work_ms=5.0, scripts=(), **settings):
        self.loop, self.skew, self.opened, self.dials = loop, 0.0, Once(loop), []
        self.failing = set()  # executors to which no connection comes up in time
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
        told = json.loads(
            config_text(
                [instance(f"s-{k}", k, port=port) for k, port in enumerate(ports)],
                Ceilings=SETTINGS["Ceilings"] | {"DialTimeoutMs": 50000.0} | (ceilings or {}),
                Grades=[*GRADES, *grades],
                **settings,
            )
        )
        self.listen = free_address("127.0.0.1") if real else LISTEN
        told["listen"] = str(self.listen)
        if real:
            told["channel"] = str(free_address("127.0.0.1"))
        self.places = {Address(f"127.0.1.{k}", port): k for k, port in enumerate(ports)}
        self.plain_now, self.plain_connect = loop.now, loop.connect
        loop.connect = self.connect
        if real:
            loop.now = lambda: self.plain_now() + self.skew
        self.log = RecordingObserver()
        loop.on_error = lambda task, exc: self.log.failed(task.name, exc)
        self.node = Node(loop, read_config(json.dumps(told)), self.log)
        self.node.start()

    def connect(self, address):
        if address in self.places:
            self.dials.append(self.places[address])
            if self.places[address] in self.failing:
                raise ConnectFailed(errno.ETIMEDOUT, f"{address}: no connection in time")
            self.opened.wait()
        return self.plain_connect(address)

    def client(self):
        return Client(self.loop, self.listen)

    def until(self, what):
        """Wait for a state."""
        with self.loop.deadline(60000.0):
            while not what():
                self.loop.sleep(1.0)

    def pass_by(self, ms):
        """Let time pass at once, with no turn of the loop in it."""
        if isinstance(self.loop, SimLoop):
            self.loop._time += ms
        else:
            self.skew += ms

    def let(self):
        """Let all connections come up from now on."""
        self.opened.set()

    def end(self):
        """Wait until nothing is open or under way, and look whether anything broke."""
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
def play(request):
    def played(main):
        loop = SimLoop(7) if request.param == "virtual" else RealLoop()
        loop.run(main, loop)

    return played


@pytest.mark.parametrize("cancel", [True, False])
@pytest.mark.parametrize("leave", ["forget", "close", "reset"])
def test_nothing_is_sent_for_a_client_that_left_while_the_connection_came_up(play, leave, cancel):
    def main(loop):
        stage = Stage(loop, ceilings={"Cancel": cancel})
        client = stage.client()
        number = client.send_request(query_id(1), "scene-build", 5000)
        stage.until(lambda: stage.dials)
        go_away(client, leave, number)
        stage.until(lambda: not stage.node.driver.ledger.open_count)
        stage.let()
        stage.end()
        assert not stage.ran and stage.log.attempt_statuses == ["cancelled" if cancel else "moot"]

    play(main)


def go_away(client, how, number):
    if how == "forget":
        client.stream.write(b"\x93\x02\xa6forget\x91" + bytes([number]))
    elif how == "close":
        client.stream.close()
    else:
        client.stream.abort()


def test_who_left_in_a_long_turn_is_heard_before_anything_is_sent():
    # On sockets alone: what is written is there for the controller at once, but read in its next turn.
    def main(loop):
        stage = Stage(loop, ceilings={"Cancel": False})
        client = stage.client()
        number = client.send_request(query_id(1), "scene-build", 5000)
        stage.until(lambda: stage.dials)
        go_away(client, "forget", number)
        stage.pass_by(150.0)  # the turn took that long, and in it the connection came up
        stage.let()
        stage.end()
        assert not stage.ran and stage.log.attempt_statuses == ["moot"]

    loop = RealLoop()
    loop.run(main, loop)


def test_a_keyed_query_is_not_sent_again_once_its_repeats_are_forgotten(play):
    def main(loop):
        def errs(verb, path, number):
            return b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n" if verb == "POST" else None

        stage = Stage(loop, grades=[KEYED], scripts=[errs, errs])
        stage.let()
        client = stage.client()
        held = Once(loop)
        first = []

        def connect(address):
            if address in stage.places:
                if first and first[0] != stage.places[address]:
                    stage.dials.append("second")
                    held.wait()
                first.append(stage.places[address])
            return stage.plain_connect(address)

        loop.connect = connect
        number = client.send_request(query_id(1), "tally", 59000)
        stage.until(lambda: "second" in stage.dials)
        assert stage.ran == [query_id(1)]
        stage.pass_by(21000.0)
        held.set()
        error, _ = client.wait_for_answer(number, 60000.0)
        stage.end()
        assert (
            error[0] == "Shed"
            and stage.ran == [query_id(1)]
            and stage.log.attempt_statuses[:2] == ["error", "moot"]
        )

    play(main)


def test_further_attempts_whose_connections_come_up_together_keep_to_their_budget(play):
    def main(loop):
        holding = []

        def errs_once(k):
            def script(verb, path, number):
                if verb != "POST" or stage.ran.count(stage.executors[k].ran[-1]) > 1:
                    return None
                holding.append(True)
                return b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"

            return script

        sweep = GRADES[1] | {"Name": "sweep", "AimMs": 30000.0, "GiveUpMs": 60000.0}
        rules = SETTINGS["Rules"] | {"ExtraFloor": 1.0, "FurtherRatio": 0.0, "LookBackMs": 5000.0}
        stage = Stage(
            loop,
            executors=4,
            ceilings={"Cancel": False, "ParallelTries": False},
            grades=[sweep],
            scripts=[errs_once(k) for k in range(4)],
            Rules=rules,
        )
        waiting, go = [], Once(loop)

        def connect(address):
            if address in stage.places and holding:
                waiting.append(address)
                go.wait()
            return stage.plain_connect(address)

        loop.connect = connect
        asked = []
        for k in range(2):
            holding.clear()
            client = stage.client()
            asked.append((client, client.send_request(query_id(k + 1), "sweep", 59000, h="2000.0")))
            stage.until(lambda k=k: len(waiting) > k)
            stage.pass_by(6000.0)  # the decision on the first one's further attempt is out of the window
        go.set()
        ends = [client.wait_for_answer(number, 60000.0)[0] for client, number in asked]
        stage.end()
        assert len(stage.ran) == 3 and stage.log.attempt_statuses.count("moot") >= 1
        assert sum(end is None for end in ends) == 1

    play(main)


@pytest.mark.parametrize("how", ["delete is not answered", "delete is refused", "cut off"])
def test_no_second_attempt_goes_out_while_the_first_may_not_be_given_up(how):
    # On the virtual loop alone: what counts are seconds.
    def main(loop):
        asked = []

        def silent(verb, path, number):
            if verb in ("POST", "GET"):
                asked.append(loop.now())
            if verb == "POST" and how == "cut off":
                stage.failing.add(0)
            if verb == "POST" and how == "delete is refused":
                stage.executors[0].stop()  # it takes no connection more, but those that are there go on
                loop.sleep(9000.0)
            return "silent"

        stage = Stage(loop, ceilings={"ParallelTries": False, "DialTimeoutMs": 250.0}, scripts=[silent])
        stage.failing.add(1)  # so that the first attempt goes to the other one
        stage.let()
        client = stage.client()
        client.send_request(query_id(1), "scene-build", 5900, h="10.0")
        stage.until(lambda: asked)
        stage.failing.discard(1)
        stage.node.driver.gateway.engines["s-1"].ejected_until_ms = 0.0
        stage.until(lambda: stage.executors[1].ran)
        assert loop.now() >= max(asked) + 2000.0
        assert loop.now() < max(asked) + UNPOLLED_EXPIRY_MS + 100.0
        stage.end()

    loop = SimLoop(7)
    loop.run(main, loop)


def test_a_second_copy_does_not_go_to_the_executor_that_has_the_first(play):
    def main(loop):
        stage = Stage(loop, executors=1, ceilings={"Cancel": False}, work_ms=30000.0)
        stage.let()
        client = stage.client()
        number = client.send_request(query_id(1), "scene-build", 5900, h="1.0")
        stage.until(lambda: stage.log.attempt_statuses or len(stage.ran) > 1)
        assert stage.log.attempt_statuses[:1] == ["moot"] and stage.ran == [query_id(1)]
        go_away(client, "forget", number)
        stage.end()

    play(main)


def test_a_further_attempt_goes_out_at_once_where_the_first_ones_process_has_ended(play):
    def main(loop):
        def dies(verb, path, number):
            began.append(loop.now())
            stage.failing.discard(1)  # from here on the other one may be met
            stage.node.driver.gateway.engines["s-1"].ejected_until_ms = 0.0
            stage.executors[0].stop()
            return "cut"

        began = []

        stage = Stage(loop, ceilings={"ParallelTries": False}, scripts=[dies])
        stage.failing.add(1)
        stage.let()
        client = stage.client()
        number = client.send_request(query_id(1), "scene-build", 5900, h="10.0")
        assert client.wait_for_answer(number)[0] is None
        assert "reset" in stage.log.attempt_statuses and stage.executors[1].ran == [query_id(1)]
        assert isinstance(stage.loop, RealLoop) or loop.now() < began[0] + 500.0
        stage.end()

    play(main)


def test_a_query_whose_client_goes_while_another_of_its_answers_leaves_is_out_nowhere(play):
    class Breaks:
        """A stream whose peer turns out to be gone when the first answer is written."""

        def __init__(self, stream):
            self.stream = stream

        def __getattr__(self, name):
            return getattr(self.stream, name)

        def push(self, data):
            raise StreamReset(errno.ECONNRESET, "gone")

    def main(loop):
        stage = Stage(loop)
        stage.let()
        client = stage.client()
        stage.until(lambda: len(stage.node.frontend.slots))
        connection = next(iter(stage.node.frontend.slots))
        connection.stream = Breaks(connection.stream)
        long = {
            "i": query_id(1),
            "d": "1500",
            "t": "acme",
            "h": "1000000.0",
        }  # it can't be served in its time
        usual = {"i": query_id(2), "d": "5000", "t": "acme", "h": "10.0"}
        client.stream.write(
            msgpack.packb([0, 1, "lookup", [long, b"select 1"]])
            + msgpack.packb([0, 2, "scene-build", [usual, b"select 1"]])
        )
        stage.until(lambda: stage.node.driver.ledger.counts[1]["left"])
        stage.end()
        loop.sleep(300.0)
        assert not stage.node.driver.gateway.queries and not stage.ran
        assert not any(engine.running_attempts for engine in stage.node.driver.gateway.engines.values())

    play(main)


def test_an_engine_that_is_told_to_drain_while_the_connection_comes_up_gets_nothing(play):
    def main(loop):
        stage = Stage(loop, executors=1)
        client = stage.client()
        number = client.send_request(query_id(1), "lookup", 1900)
        stage.until(lambda: stage.dials)
        port = stage.executors[0].listener.address.port
        stage.node.endpoint_watch._apply_known_event(
            nodes_event(2, [instance("s-0", 0, "terminating", port=port)]), "full"
        )
        stage.let()
        error, _ = client.wait_for_answer(number)
        stage.end()
        assert error[0] == "Shed" and not stage.ran and "moot" in stage.log.attempt_statuses

    play(main)


def test_an_engine_that_was_replaced_at_its_address_while_the_connection_came_up_gets_nothing(play):
    def main(loop):
        stage = Stage(loop, executors=1, grades=[KEYED])
        client = stage.client()
        client.send_request(query_id(1), "scene-build", 5000)
        stage.until(lambda: stage.dials)
        port = stage.executors[0].listener.address.port
        stage.node.endpoint_watch._apply_known_event(nodes_event(2, [instance("s-9", 0, port=port)]), "full")
        stage.let()
        stage.until(lambda: stage.log.attempt_statuses)
        assert stage.log.attempt_statuses[0] == "moot"
        stage.end()
        assert stage.ran in ([], [query_id(1)])  # sent to the new one by a decision of its own, or to nobody

    play(main)


@pytest.mark.parametrize("late_ms", [1.0, 20.0, 50.0])
def test_a_second_answer_that_comes_late_is_not_the_next_querys(late_ms):
    # On the virtual loop alone: what counts are milliseconds.
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
