"""The scheduler: verdicts in virtual time; the same calls once more on real sockets."""

import errno
import os
import random
import signal
import socket

import pytest

from fennelwind.loop import (
    Address,
    Cancelled,
    Channel,
    ChannelClosed,
    ChannelFull,
    ConnectFailed,
    DeadlineExceeded,
    Deadlock,
    Once,
    RealLoop,
    SimLoop,
    StreamReset,
    parse_address,
)
from fennelwind.loop.scheduler import Waiter
from fennelwind.loop.timers import Timer, TimerHeap, TimerWheel

HERE = Address("127.0.0.1", 0)


@pytest.fixture(params=["sim", "real"])
def loop(request):
    return SimLoop(3) if request.param == "sim" else RealLoop()


def test_sleepers_wake_in_order_of_time():
    loop, seen = SimLoop(1), []

    def main():
        def nap(ms):
            loop.sleep(ms)
            seen.append((ms, loop.now()))

        tasks = [loop.spawn(nap, ms) for ms in (30, 10, 20)]
        for task in tasks:
            task.join()

    loop.run(main)
    assert seen == [(10, 1010.0), (20, 1020.0), (30, 1030.0)]


def test_the_inner_and_the_outer_deadline_each_leave_their_own_block():
    loop, seen = SimLoop(1), []

    def main():
        try:
            with loop.deadline(100):
                try:
                    with loop.deadline(50):
                        loop.sleep(500)
                except DeadlineExceeded:
                    seen.append(("inner", loop.now()))
                with loop.deadline(500):
                    loop.sleep(500)
        except DeadlineExceeded:
            seen.append(("outer", loop.now()))
        loop.sleep(5)  # nothing is left over

    loop.run(main)
    assert seen == [("inner", 1050.0), ("outer", 1100.0)]
    assert len(loop.timers) == 0


def test_an_answer_before_its_time_out_in_the_same_turn_is_an_answer():
    loop = SimLoop(1)

    def main():
        once = Once(loop)
        loop.after(50, lambda: once.set("answer"))
        with loop.deadline(50):
            assert once.wait() == "answer"
        late = Once(loop)
        with pytest.raises(DeadlineExceeded), loop.deadline(50):
            loop.after(50, lambda: late.set("late"))  # set after the deadline's timer
            late.wait()

    loop.run(main)


def test_a_deadline_that_passed_while_the_task_computed_shows_at_its_next_wait():
    loop = SimLoop(1)

    def main():
        with pytest.raises(DeadlineExceeded), loop.deadline(10):
            waiter = Waiter(loop)
            loop.at(loop.now() + 10, waiter.wake)
            waiter.wait()
            loop.sleep(1)

    loop.run(main)


def test_cancel_raises_at_the_wait_and_again_at_the_next():
    loop, seen = SimLoop(1), []

    def stubborn():
        for _ in range(2):
            try:
                loop.sleep(1000)
            except Cancelled:
                seen.append(loop.now())

    def main():
        task = loop.spawn(stubborn)
        loop.sleep(5)
        task.cancel()
        task.join()

    loop.run(main)
    assert seen == [1005.0, 1005.0]


def test_a_task_cancelled_before_it_ran_never_runs():
    loop, ran = SimLoop(1), []

    def main():
        loop.spawn(ran.append, 1).cancel()
        loop.sleep(1)

    loop.run(main)
    assert ran == []


def test_an_exception_ends_its_task_alone_and_is_reported():
    loop, reported = SimLoop(1), []
    loop.on_error = lambda task, exc: reported.append((task.name, str(exc)))

    def broken():
        raise ValueError("on purpose")

    def main():
        loop.spawn(broken, name="one query")
        loop.sleep(10)
        return "going on"

    assert loop.run(main) == "going on"
    assert reported == [("one query", "on purpose")]


def test_channel_bounds_order_and_close():
    loop, got = SimLoop(1), []

    def main():
        channel = Channel(loop, 2)
        putter = loop.spawn(lambda: [channel.put(i) for i in range(5)])
        loop.sleep(1)
        assert len(channel) == 2
        with pytest.raises(ChannelFull):
            channel.offer(9)
        got.extend(channel.get() for _ in range(5))
        putter.join()
        channel.offer(5)
        channel.close()
        got.append(channel.get())
        with pytest.raises(ChannelClosed):
            channel.get()

    loop.run(main)
    assert got == [0, 1, 2, 3, 4, 5]


def test_a_getter_cancelled_after_its_wake_leaves_the_item_to_the_next():
    loop, got = SimLoop(1), []

    def main():
        channel = Channel(loop, 4)
        first, second = (loop.spawn(lambda: got.append(channel.get())) for _ in range(2))
        loop.sleep(1)
        channel.offer("a")
        channel.offer("b")
        first.cancel()
        second.join()

    loop.run(main)
    assert got in (["a"], ["a", "b"])


def test_a_getter_cancelled_between_its_wake_and_its_next_wait_takes_no_other_ones_wake():
    """As a connection's writer that was rung in the very turn in which its connection ended."""
    loop, got = SimLoop(1), []

    def main():
        channel = Channel(loop, 1)

        def take():
            while True:
                got.append(channel.get())

        first = loop.spawn(take)
        loop.sleep(1)
        channel.offer("a")
        first.cancel()
        loop.sleep(1)
        assert first.done
        loop.spawn(take)
        loop.sleep(1)
        channel.offer("b")
        loop.sleep(1)

    loop.run(main)
    assert got == ["a", "b"]


def test_virtual_time_that_can_never_move_says_who_waits():
    loop = SimLoop(1)
    with pytest.raises(Deadlock, match="main"):
        loop.run(lambda: Once(loop).wait())


def echo(loop, listener):
    while True:
        stream = listener.accept()
        loop.spawn(serve, stream)


def serve(stream):
    while data := stream.read():
        stream.write(data)
    stream.close()


def test_streams_carry_bytes_both_ways(loop):
    def main():
        listener = loop.listen(HERE)
        loop.spawn(echo, loop, listener)
        stream = loop.connect(listener.address)
        payload = random.Random(1).randbytes(700_000)  # far more than a kernel or a pipe keeps
        loop.spawn(stream.write, payload)
        got = bytearray()
        while len(got) < len(payload):
            got += stream.read(65536)
        assert got == payload
        assert not stream.broken()
        stream.close()
        listener.close()

    with_deadline(loop, main)


def with_deadline(loop, main):
    def bounded():
        with loop.deadline(20_000):
            return main()

    return loop.run(bounded)


def test_a_writer_waits_for_a_reader_that_takes_nothing(loop):
    def main():
        listener = loop.listen(HERE)
        stream = loop.connect(listener.address)
        peer = listener.accept()
        with pytest.raises(DeadlineExceeded), loop.deadline(200):
            for _ in range(1000):
                stream.write(b"x" * 65536)
        peer.abort()
        with pytest.raises(StreamReset):
            while True:
                stream.write(b"x" * 65536)

    with_deadline(loop, main)


def test_nobody_listens(loop):
    def main():
        listener = loop.listen(HERE)
        address = listener.address
        listener.close()
        with pytest.raises(ConnectFailed):
            loop.connect(address)
        with pytest.raises(StreamReset):
            listener.accept()

    with_deadline(loop, main)


def test_end_and_reset_are_told_apart(loop):
    def main():
        listener = loop.listen(HERE)
        for ending in ("close", "abort"):
            stream = loop.connect(listener.address)
            peer = listener.accept()
            getattr(peer, ending)()
            if ending == "close":
                assert stream.read() == b""
                assert stream.broken()
            else:
                with pytest.raises(StreamReset):
                    stream.read()
            stream.close()

    with_deadline(loop, main)


def test_closing_here_ends_the_read_that_waits_here(loop):
    def main():
        listener = loop.listen(HERE)
        stream = loop.connect(listener.address)
        reader = loop.spawn(stream.read)
        loop.sleep(5)
        stream.close()
        assert reader.join() == b""

    with_deadline(loop, main)


def test_signals_come_as_calls_of_the_loop():
    loop, seen = RealLoop(), []

    def main():
        once = Once(loop)
        loop.on_signal(signal.SIGUSR1, lambda: (seen.append("usr1"), once.set()))
        signal.raise_signal(signal.SIGUSR1)
        with loop.deadline(10_000):
            once.wait()

    loop.run(main)
    assert seen == ["usr1"]


def test_timers_that_share_a_slot_are_not_searched_each_turn_and_leave_nothing():
    wheel, looked = TimerWheel(), []

    class Watched(Timer):
        __slots__ = ()

        def __lt__(self, other):
            looked.append(1)
            return super().__lt__(other)

    timers = [wheel.add(1000.0 + i * 1e-3, lambda: None) for i in range(2000)]
    for timer in timers:
        timer.__class__ = Watched
    for timer in timers:
        assert wheel.next_due() == timer.due
        timer.cancel()
    assert not looked and wheel.next_due() is None and not wheel._slots
    slot = wheel.add(1000.0, lambda: None).slot
    for _ in range(500):
        wheel.add(1001.0, lambda: None).cancel()
    assert len(slot.heap) <= 12


@pytest.mark.parametrize("structure", [TimerWheel, TimerHeap])
def test_timers_come_due_in_exact_order_whatever_was_cancelled(structure):
    rnd, timers = random.Random(5), structure()
    model, seen, now = {}, [], 0.0
    for step in range(3000):
        due = now + rnd.choice([0.0, rnd.random(), rnd.random() * 50.0])
        timer = timers.add(due, lambda: None)
        model[step] = timer
        if rnd.random() < 0.6:
            model.pop(rnd.choice(list(model))).cancel()
        if rnd.random() < 0.3:
            now += rnd.random() * 3.0
            expected = sorted(t for t in model.values() if t.due <= now)
            taken = timers.due(now)
            assert taken == expected
            model = {k: t for k, t in model.items() if t.due > now}
            seen += taken
        left = min((t.due for t in model.values()), default=None)
        assert timers.next_due() == left
        assert len(timers) == len(model)
    assert len(seen) > 500


def test_the_same_seed_gives_the_same_run():
    def day(seed):
        loop, log = SimLoop(seed), []

        def client(address, number):
            stream = loop.connect(address)
            for i in range(5):
                stream.write(f"{number}.{i}".encode())
                log.append((loop.now(), stream.read()))

        def main():
            listener = loop.listen(HERE)
            loop.spawn(echo, loop, listener)
            for task in [loop.spawn(client, listener.address, n) for n in range(8)]:
                task.join()

        loop.run(main)
        return log

    assert day(4) == day(4)
    assert day(4) != day(5)


@pytest.mark.parametrize("text", ["", "host", ":1", "host:", "host:x", "host:70000", "host:-1"])
def test_addresses_that_are_none_are_named(text):
    with pytest.raises(ValueError, match="HOST:PORT"):
        parse_address(text)


def test_reading_from_a_socket_that_another_task_has_closed_is_its_end():
    loop = RealLoop()

    def main():
        listener = loop.listen(HERE)
        stream = loop.connect(listener.address)
        other = listener.accept()
        other.write(b"x")
        assert stream.read() == b"x"  # all there was, so the next read would wait
        stream.close()
        assert stream.read() == b""
        other.close()
        listener.close()

    loop.run(main)


def test_a_listener_goes_on_behind_errors_that_are_the_networks():
    def main():
        class Flaky:
            def __init__(self, sock):
                self.sock, self.told = sock, [errno.ENETDOWN, errno.EPROTO, errno.EPERM]

            def accept(self):
                if self.told:
                    raise OSError(self.told.pop(), "of the network")
                return self.sock.accept()

            def __getattr__(self, name):
                return getattr(self.sock, name)

        listener = loop.listen(HERE)
        listener.sock = Flaky(listener.sock)
        loop.connect(listener.address)
        listener.accept().abort()
        assert not listener.sock.told and not loop.short_of_descriptors
        listener.close()

    loop = RealLoop()
    loop.run(main)


def test_a_resolver_that_stands_holds_up_nobody_and_what_it_said_once_is_used(monkeypatch):
    hold, let_go = os.pipe()
    system, stands = socket.getaddrinfo, []

    def slow(host, *more, **named):
        if stands:
            os.read(hold, 1)
        if host == "nowhere":
            raise socket.gaierror(socket.EAI_NONAME, "no such name")
        return system("::1", *more, **named) + system("127.0.0.1", *more, **named)

    def main():
        listener = loop.listen(HERE)  # by IPv4 alone
        there = Address("somewhere.example", listener.address.port)
        loop.connect(there).close()
        for wrong in ("nowhere", "a" * 300 + "."):
            with pytest.raises(ConnectFailed):
                loop.connect(Address(wrong, 1))
        stands.append(True)
        loop.connect(there).close()
        with pytest.raises(DeadlineExceeded), loop.deadline(20.0):  # its first time, while others go on
            loop.connect(Address("elsewhere.example", 1))
        monkeypatch.setattr("fennelwind.loop.resolver.FRESH_MS", 0.0)
        loop.connect(there).close()  # asked for anew, but nobody waits for that
        os.write(let_go, b"!!")
        listener.close()

    monkeypatch.setattr("socket.getaddrinfo", slow)
    loop = RealLoop()
    loop.run(main)
