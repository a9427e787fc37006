"""The rig of real processes: a day with faults between them, judged by events; what a rig leaves behind."""

import json
import os
import subprocess
import sys
import time
from collections import Counter
from pathlib import Path

import pytest
from nodes import serve_echo

from fennelwind.audit.fleet import audit, put_together
from fennelwind.loop import Address, DeadlineExceeded, RealLoop, StreamReset
from fennelwind.testbed import day_pb2 as pb
from fennelwind.testbed import dayfile
from fennelwind.testbed.facts import facts_of
from fennelwind.testbed.links import Distances, LinkFault, Links
from fennelwind.testbed.plan import make_plan
from fennelwind.testbed.processes import Processes, RigFailed
from fennelwind.testbed.relay import Relay, Row

ROOT = Path(__file__).parent.parent.parent
WAIT_S = 60.0  # s; a wait that is over much sooner, but for a machine that stands still
FAULTS = """
faults { kind: KILL at_ms: 1000 back_ms: 200 who { numbers: 0 numbers: 1 } }
faults { kind: PAUSE at_ms: 1200 for_ms: 900 who { numbers: 2 } }
faults { kind: CUT at_ms: 1500 for_ms: 1200 who { side: EXECUTORS numbers: 0 } to { side: CONTROLLERS } }
faults { kind: LOSE at_ms: 1500 for_ms: 1500 who { numbers: 1 } }
faults { kind: TERM at_ms: 2000 back_ms: 0 who { numbers: 3 } }
faults { kind: RELOAD at_ms: 2400 }
faults { kind: CRASH at_ms: 2500 for_ms: 700 who { numbers: 2 } }
faults { kind: RESET at_ms: 3000 for_ms: 200 who { side: CONTROLLERS numbers: 4 numbers: 5 }
         to { side: EXECUTORS } both_ways: true }
faults { kind: CHANNEL_BREAK at_ms: 3000 for_ms: 700 }
faults { kind: DELAY at_ms: 3400 for_ms: 600 who { side: CLIENTS } to { side: CONTROLLERS } both_ways: true
         delay_ms: 15 share: 0.5 }
faults { kind: STALL at_ms: 3600 for_ms: 500 who { side: EXECUTORS numbers: 3 } to { side: CONTROLLERS } }
faults { kind: REPLACE at_ms: 3600 for_ms: 800 who { numbers: 3 } }
"""


def test_eight_controllers_with_faults_between_them_answer_every_request_once(tmp_path):
    day = dayfile.change(dayfile.load("calm"), controllers=8, executors=5, seconds=5.0, overlay=FAULTS)
    plan = make_plan(day, 7)
    outcome = Processes(plan, tmp_path).play()
    story = put_together(outcome.sightings)
    verdicts = {v.rule: v for v in audit(story, facts_of(plan))}
    assert not outcome.broke
    assert {rule: v.breaks for rule, v in verdicts.items() if v.breaks} == {}
    roots = {request.asked.root for request in story.requests.values()}
    assert len(roots) >= 0.9 * len(plan.asks) > 100  # the rest found nobody, and went nowhere
    done = Counter(step.what for steps in story.processes.values() for step in steps)
    assert done["kill"] == 2 and done["stop"] == done["cont"] == 1 and done["hup"] >= 6
    assert done["started"] == 8 + 3 and done["crashed"] == 0
    assert verdicts["final answers"].checks > 300 and verdicts["drains"].checks > 100
    lives = Counter(life.slot for life in plan.lives)
    assert lives[2] == lives[3] == 2


def test_a_controller_that_cannot_start_ends_the_rig_with_its_reason(tmp_path):
    day = dayfile.change(dayfile.load("calm"), controllers=1, executors=1, seconds=1.0)
    rig = Processes(make_plan(day, 1), tmp_path)
    rig.command = "exit 3"
    with pytest.raises(RigFailed, match="n0 does not start"):
        rig.play()
    assert all(part.process.poll() is not None for part in rig.parts)


def _children(pid):
    found = []
    for stat in Path("/proc").glob("[0-9]*/stat"):
        try:
            fields = stat.read_text("utf-8", "replace").rsplit(")", 1)[1].split()
        except (OSError, IndexError):
            continue
        if fields[1] == str(pid):
            found.append(int(stat.parent.name))
    return found


@pytest.mark.skipif(not Path("/proc/self/stat").exists(), reason="children are looked up in /proc")
def test_a_rig_that_is_killed_leaves_no_process_behind(tmp_path):
    rig = subprocess.Popen(
        [
            sys.executable,
            "-m",
            "fennelwind.cli.main",
            "fleet",
            "run",
            "calm",
            "--controllers",
            "2",
            "--executors",
            "1",
            "--seconds",
            "60",
            "--logs",
            str(tmp_path),
        ],
        cwd=ROOT,
        stderr=subprocess.PIPE,
        stdout=subprocess.DEVNULL,
        text=True,
    )
    try:
        for line in rig.stderr:
            if "controllers ready" in line:
                break
        children = _children(rig.pid)
        assert len(children) >= 6
    finally:
        rig.kill()
        rig.wait()
        rig.stderr.close()
    until = time.monotonic() + WAIT_S
    while any(_alive(pid) for pid in children) and time.monotonic() < until:
        time.sleep(0.05)
    assert not [pid for pid in children if _alive(pid)]


def _alive(pid):
    try:
        return Path(f"/proc/{pid}/stat").read_text("utf-8", "replace").rsplit(")", 1)[1].split()[0] != "Z"
    except OSError:
        return False


def test_clocks_differ_by_a_setting_of_the_rig_alone(tmp_path):
    day = dayfile.change(
        dayfile.load("calm"),
        controllers=2,
        executors=2,
        seconds=2.0,
        overlay=(
            "controllers { clock_ms: 900000 }faults { kind: CRASH at_ms: 200 for_ms: 300 who { numbers: 0 } }"
        ),
    )
    plan = make_plan(day, 1)
    rig = Processes(plan, tmp_path)
    outcome = rig.play()
    verdicts = audit(put_together(outcome.sightings), facts_of(plan))
    assert not outcome.broke and not any(v.breaks for v in verdicts)
    assert min(abs(c.clock_ms) for c in plan.controllers) > 10_000
    assert "FLEET_CLOCK_MS" not in json.loads((tmp_path / "n0.json").read_text("utf-8"))
    assert "FLEET_CLOCK_MS" not in os.environ


# Relays.

HERE = "127.0.0.1"


def _relayed(kind, **more):
    """Return a loop, a relay from a to b whose way is at fault from 100 to 600 ms, and an echo behind it."""
    loop = RealLoop()
    fault = LinkFault(kind, 100.0, 600.0, frozenset("a"), frozenset("b"), **more)
    links = Links(Distances({}, 0.0, 0.0, 0.0), (fault,))
    return loop, links


def _prepare(loop, links):
    listener = loop.listen(Address(HERE, 0))
    loop.spawn(serve_echo, loop.spawn, listener)
    free = loop.listen(Address(HERE, 0))
    free.close()
    start = loop.now()
    relay = Relay(
        loop, links, [Row(free.address, "a", "b", listener.address)], lambda: loop.now() - start, "1"
    )
    relay.prepare()
    loop.spawn(relay.play)
    return relay, relay.doors[0].listener.address, start


def _ask(stream, data):
    stream.write(data)
    got = b""
    while len(got) < len(data):
        got += stream.read()
    assert got == data


def test_a_relay_holds_what_is_sent_across_a_cut_and_lets_no_connection_up():
    loop, links = _relayed(pb.Fault.CUT)

    def main():
        relay, address, start = _prepare(loop, links)
        stream = loop.connect(address)
        _ask(stream, b"before")
        loop.sleep(start + 250.0 - loop.now())
        with pytest.raises(DeadlineExceeded), loop.deadline(150.0):
            loop.connect(address)
        _ask(stream, b"across")
        assert loop.now() - start >= 600.0
        _ask(loop.connect(address), b"after")
        assert relay.carried >= 2

    loop.run(main)


def test_a_relay_resets_what_stands_and_refuses_what_comes():
    loop, links = _relayed(pb.Fault.RESET)

    def main():
        _, address, start = _prepare(loop, links)
        stream = loop.connect(address)
        _ask(stream, b"before")
        with pytest.raises(StreamReset):
            assert stream.read()
        with pytest.raises(OSError):
            loop.connect(address)
        loop.sleep(start + 650.0 - loop.now())
        _ask(loop.connect(address), b"after")

    loop.run(main)


def test_a_relay_stops_in_the_middle_of_a_message_and_goes_on():
    loop, links = _relayed(pb.Fault.STALL)

    def main():
        _, address, start = _prepare(loop, links)
        stream = loop.connect(address)
        _ask(stream, b"before")
        loop.sleep(start + 250.0 - loop.now())
        stream.write(b"abcdef")
        assert stream.read() == b"abc" and loop.now() - start < 600.0
        assert stream.read() == b"def" and loop.now() - start >= 600.0

    loop.run(main)


def test_a_relay_delays_in_order_and_passes_datagrams_from_the_senders_place():
    loop, links = _relayed(pb.Fault.DELAY, delay_ms=60.0, share=0.9)

    def main():
        relay, address, start = _prepare(loop, links)
        stream = loop.connect(address)
        loop.sleep(start + 150.0 - loop.now())
        began = loop.now()
        for n in range(5):
            stream.write(b"%d" % n)
            loop.sleep(2.0)
        got = b""
        while len(got) < 5:
            got += stream.read()
        assert got == b"01234" and loop.now() - began >= 30.0

        own = {name: loop.datagrams(Address(HERE, 0)) for name in "ab"}
        free = {name: loop.datagrams(Address(HERE, 0)) for name in "abe"}
        places = {name: socket.address for name, socket in free.items()}
        for socket in free.values():
            socket.close()
        relay.post([(name, places[name], own[name].address) for name in "ab"], places["e"])
        own["a"].send(b"to b", places["b"])
        assert own["b"].receive() == (b"to b", places["a"])
        own["b"].send(b"to all", places["e"])
        assert own["a"].receive() == (b"to all", places["b"])

    loop.run(main)
