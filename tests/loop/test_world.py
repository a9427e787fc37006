"""Many hosts in virtual time: ways that fail, processes that die, stop and start; datagrams."""

import pytest
from nodes import serve_echo

from fennelwind.loop import Address, ConnectFailed, DeadlineExceeded, RealLoop, SimLoop, StreamReset
from fennelwind.loop.sim_network import FOREVER, Path, World

A, B = Address("10.0.0.1", 1), Address("10.0.0.2", 1)


class Net:
    """Ways that a test sets: `faults` maps (source, target) to (from, until, path)."""

    def __init__(self, **faults):
        self.faults = {tuple(key.split("_")): value for key, value in faults.items()}

    def path(self, now, source, target):
        start, end, path = self.faults.get((source, target), (0.0, 0.0, Path()))
        return path if start <= now < end else Path()

    def next_change(self, now):
        times = sorted(t for start, end, _ in self.faults.values() for t in (start, end) if t > now)
        return times[0] if times else FOREVER


def pair(seed=1, **faults):
    world = World(seed, Net(**faults))
    return world, world.host("a", A.host), world.host("b", B.host)


def echo(host, address=B):
    host.start(serve_echo, host.spawn, host.listen(address))


def test_two_hosts_talk_and_the_same_seed_gives_the_same_times():
    def play(seed):
        world, a, b = pair(seed)
        echo(b)
        times = []

        def ask():
            stream = a.connect(B)
            for n in range(5):
                stream.write(b"%d" % n)
                assert stream.read() == b"%d" % n
                times.append(world.time)

        def main():
            task = a.start(ask)
            while not task.done:
                world.rig.sleep(1.0)

        world.run(main)
        assert not world.errors and len(times) == 5
        return times

    assert play(1) == play(1) != play(2)


def test_a_way_cut_in_one_direction_takes_requests_and_gives_no_answer_until_it_heals():
    world, a, b = pair(b_a=(100.0, 900.0, Path(cut=True)))
    heard, answered = [], []

    def serve():
        stream = b.listen(B).accept()
        while data := stream.read():
            heard.append((world.time, data))
            stream.write(data)

    def ask():
        stream = a.connect(B)
        a.sleep(200.0 - world.time)
        stream.write(b"one")
        answered.append((stream.read(), world.time))
        with pytest.raises(DeadlineExceeded), a.deadline(50.0):
            a.sleep(100.0)

    def main():
        b.start(serve)
        a.start(ask)
        world.rig.sleep(2000.0)

    world.run(main)
    assert not world.errors
    assert heard[0][1] == b"one" and heard[0][0] < 210.0
    assert answered[0][0] == b"one" and 900.0 <= answered[0][1] < 910.0


def test_no_connection_comes_up_across_a_cut_and_a_reset_way_refuses():
    world, a, b = pair(a_b=(0.0, 500.0, Path(cut=True)), b_a=(600.0, 900.0, Path(refused=True)))
    echo(b)
    seen = []

    def dial():
        with pytest.raises(DeadlineExceeded), a.deadline(300.0):
            a.connect(B)
        a.connect(B)
        seen.append(world.time)
        a.sleep(650.0 - world.time)
        with pytest.raises(ConnectFailed):
            a.connect(B)
        seen.append(world.time)

    def main():
        a.start(dial)
        world.rig.sleep(1000.0)

    world.run(main)
    assert not world.errors and 500.0 <= seen[0] < 600.0 and seen[1] < 700.0


def test_a_stalled_way_passes_half_of_a_message_and_the_rest_when_it_ends():
    world, a, b = pair(a_b=(50.0, 400.0, Path(stalled=True)))
    got = []

    def serve():
        stream = b.listen(B).accept()
        while data := stream.read():
            got.append((world.time, data))

    def ask():
        stream = a.connect(B)
        a.sleep(60.0 - world.time)
        stream.write(b"abcdef")
        stream.write(b"ghi")

    def main():
        b.start(serve)
        a.start(ask)
        world.rig.sleep(1000.0)

    world.run(main)
    assert [data for _, data in got] == [b"abc", b"def", b"ghi"]
    assert got[0][0] < 70.0 and got[1][0] >= 400.0


def test_a_killed_host_resets_its_connections_runs_nothing_more_and_another_takes_its_address():
    world, a, b = pair()
    echo(b)
    seen = []

    def ask():
        stream = a.connect(B)
        stream.write(b"x")
        assert stream.read() == b"x"
        with pytest.raises(StreamReset):
            stream.read()
        seen.append("reset")
        with pytest.raises(ConnectFailed):
            a.connect(B)
        a.sleep(300.0 - world.time)
        stream = a.connect(B)
        stream.write(b"y")
        seen.append(stream.read())

    def ticking():
        while True:
            b.sleep(10.0)
            seen.append("b lives")

    def main():
        a.start(ask)
        b.start(ticking)
        world.rig.sleep(45.0)
        b.kill()
        world.rig.sleep(100.0)
        echo(world.host("b", B.host))
        world.rig.sleep(500.0)

    world.run(main)
    assert not world.errors
    assert seen.count("b lives") == 4 and seen[-2:] == ["reset", b"y"]


def test_a_stopped_host_takes_what_came_when_it_goes_on():
    world, a, b = pair()
    echo(b)
    at = []

    def ask():
        stream = a.connect(B)
        a.sleep(50.0 - world.time)
        stream.write(b"x")
        stream.read()
        at.append(world.time)

    def main():
        a.start(ask)
        world.rig.sleep(20.0)
        b.stop(FOREVER)
        world.rig.sleep(200.0)
        assert not at
        b.go_on()
        world.rig.sleep(50.0)

    world.run(main)
    assert 220.0 <= at[0] < 225.0


def test_a_host_with_little_of_a_core_takes_longer():
    def last(turn_ms):
        world = World(1, Net())
        a, b = world.host("a", A.host), world.host("b", B.host, turn_ms=turn_ms)
        echo(b)
        at = []

        def ask(stream, n):
            for _ in range(3):
                stream.write(b"%d" % n)
                stream.read()
            at.append(world.time)

        def main():
            def dial():
                for n in range(20):
                    a.spawn(ask, a.connect(B), n)

            a.start(dial)
            world.rig.sleep(1000.0)

        world.run(main)
        assert len(at) == 20
        return at[-1]

    assert last(5.0) > last(0.0) + 100.0


def test_datagrams_are_lost_doubled_and_overtaken_by_the_ways_shares():
    lossy = Path(lost=0.3, twice=0.2, swapped=0.2)
    world, a, b = pair(seed=4, a_b=(0.0, 1e9, lossy))
    got = []

    def receive():
        socket = b.datagrams(B)
        while True:
            got.append(socket.receive())

    def send():
        socket = a.datagrams(A)
        for n in range(500):
            assert socket.send(n.to_bytes(2, "big"), B)
            a.sleep(1.0)

    def main():
        b.start(receive)
        a.start(send)
        world.rig.sleep(1000.0)

    world.run(main)
    numbers = [int.from_bytes(data, "big") for data, source in got if source == A]
    assert len(numbers) == len(got) and 300 < len(set(numbers)) < 400
    assert len(numbers) - len(set(numbers)) > 30
    assert sum(x > y for x, y in zip(numbers, numbers[1:], strict=False)) > 30


@pytest.mark.parametrize("make", [lambda: SimLoop(1), RealLoop])
def test_both_loops_carry_datagrams_and_wake_who_waits_when_a_socket_is_closed(make):
    loop = make()

    def main():
        one, two = (loop.datagrams(Address("127.0.0.1", 0)) for _ in range(2))
        assert one.send(b"x" * 256, two.address)
        data, source = two.receive()
        assert data == b"x" * 256 and source == one.address

        def wait():
            with pytest.raises(StreamReset):
                two.receive()
            return True

        task = loop.spawn(wait)
        loop.sleep(5.0)
        two.close()
        assert task.join()
        assert not two.send(b"y", one.address)
        one.close()

    loop.run(main)
