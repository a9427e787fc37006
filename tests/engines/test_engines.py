"""Links, hints and discovery, alone."""

import json
import re
from pathlib import Path

import pytest
from fleet import Fleet

from fennelwind import policy
from fennelwind.dispatch.types import AttemptRequest, Submission
from fennelwind.emulators.discovery import Discovery, Listed
from fennelwind.engines.discovery import DiscoveryClient, DiscoveryError, StartTimes, read_list
from fennelwind.loop import Address, SimLoop
from fennelwind.thrift import hints

ROOT = Path(__file__).parent.parent.parent / "fennelwind"
ZONES, KINDS = ("a", "b"), ("k", "l")


def line(*engines, form="full", now=5000.0):
    return json.dumps({"form": form, "index": 1, "now_ms": now, "engines": list(engines)}).encode()


def entry(**changes):
    return {
        "engine": "10.0.0.1:5",
        "state": "ready",
        "zone": "b",
        "kind": "l",
        "cell": 3,
        "weight": 2,
        "launched_ms": 0.0,
        **changes,
    }


def test_lists_become_the_modules_events():
    event = read_list(line(entry(), form="delta"), ZONES, KINDS, StartTimes(), 100.0)
    assert event == policy.EngineListUpdate(
        "delta", (policy.EngineEndpoint("10.0.0.1:5", "ready", 1, 1, 3, 2.0, 0.0),)
    )


def test_a_start_is_put_on_our_clock_once_and_a_restart_differs():
    start_times = StartTimes()

    def start(at, now, mine):
        raw = line(entry(launched_ms=at), now=now)
        return read_list(raw, ZONES, KINDS, start_times, mine).engines[0].started_ms

    told = [start(4000.0, 5000.0, 100.0), start(4000.0, 6000.0, 1130.0), start(7000.0, 8000.0, 3100.0)]
    assert told == [-900.0, -900.0, 2100.0]


@pytest.mark.parametrize(
    "raw",
    [
        b"",
        b"{",
        b"[]",
        b"null",
        line(entry(state="odd")),
        line(entry(zone="c")),
        line(entry(kind="z")),
        line(entry(engine="x")),
        line({"engine": "10.0.0.1:5"}),
        line(form="partial"),
        b"\xff\xfe",
    ],
)
def test_lines_that_are_no_list_are_refused_whole(raw):
    with pytest.raises(DiscoveryError):
        read_list(raw, ZONES, KINDS, StartTimes(), 0.0)


def test_a_subscription_follows_changes_and_comes_back_after_a_break():
    loop, events = SimLoop(2), []

    def main():
        discovery = Discovery(loop, Address("127.0.0.1", 0))
        discovery.listed["10.0.0.1:5"] = Listed("10.0.0.1:5", zone="a", kind="k")
        discovery.start()
        link = DiscoveryClient(
            loop,
            discovery.address,
            pushed=True,
            zones=ZONES,
            kinds=KINDS,
            post=events.append,
            seed=3,
            report=lambda text: None,
        )
        link.start()
        loop.sleep(100)
        discovery.change(Listed("10.0.0.1:5", "draining", zone="a", kind="k"))
        loop.sleep(100)
        discovery.stop()
        loop.sleep(3000)
        discovery.start()
        loop.sleep(3000)

    loop.run(main)
    forms = [e.form for e in events]
    assert forms[:3] == ["full", "delta", "failed"] and forms[-1] == "full"
    assert events[1].engines[0].state == events[-1].engines[0].state == "draining"


def test_hints_that_are_wrong_do_no_harm():
    told = hints.read(
        [
            "fennelwind-load active=3 cpu=0.5 bad=x worse=nan =1 huge=1e300",
            "fennelwind-cost work_ms=12",
            "something else",
            "fennelwind-" + "x" * 2000,
            "fennelwind-load active=4",
        ]
    )
    assert told == {"load": {"active": 4.0}, "cost": {"work_ms": 12.0}}
    assert hints.read(["fennelwind-load a=1 bad=x worse=nan huge=1e300"]) == {"load": {"a": 1.0}}
    assert hints.read(None) == {}
    assert hints.write("load", active=3.0, cpu=0.25) == "fennelwind-load active=3 cpu=0.25"


def test_loads_costs_and_notes_reach_the_module():
    loop, notes = SimLoop(1), []

    class RecordingAttempt(AttemptRequest):
        def report_progress(self, kind, value):
            notes.append((kind, round(value, 2)))

    def main():
        fleet = Fleet(loop, engines=1, note=100)
        submission = Submission(0, "select 1", 9e9, overlay={"standin.work_ms": "350"})
        request = RecordingAttempt(1, 0, submission, 9e9, 0.0, 1)
        return fleet.program.engine_client.attempt(fleet.engines[0].name, request)

    end = loop.run(main)
    assert end.status == "ok" and end.work_ms == 350.0
    assert set(end.load) == {"active"}  # the only figure that the settings name
    assert [sort for sort, _ in notes] == [1, 1, 1]
    assert [share for _, share in notes] == sorted(share for _, share in notes)


def test_links_are_bounded_reused_and_swept():
    loop = SimLoop(1)

    def main():
        fleet = Fleet(loop, engines=1, change=lambda t: t.replace("max_links: 50", "max_links: 3"))
        client, engine = fleet.program.engine_client, fleet.engines[0].name

        def go():
            order = AttemptRequest(
                1,
                0,
                Submission(0, "select 1", 9e9, overlay={"standin.work_ms": "50"}),
                loop.now() + 900,
                0.0,
                1,
            )
            return client.attempt(engine, order).status

        tasks = [loop.spawn(go) for _ in range(5)]
        ends = sorted(task.join() for task in tasks)
        assert ends == ["full", "full", "ok", "ok", "ok"]
        assert client.pool(engine).count == 3
        loop.sleep(200)
        assert not fleet.engines[0]._operations  # closed, though no statement came after
        loop.sleep(20_000)
        assert not client.pools

    loop.run(main)


# The shape of the program.

LAYERS = [
    "errors",
    "policy",
    "simulator_wire",
    "adapter",
    "loop",
    "thrift",
    "config",
    "limits",
    "recovery",
    "raft",
    "raft_storage",
    "leases",
    "quiescence",
    "shards",
    "schema_compatibility",
    "load_balancing",
    "dispatch",
    "engines",
    "node",
    "cluster",
    "frontends",
    "client",
    "observability",
    "emulators",
    "audit",
    "benchmarks",
    "testbed",
    "cli",
]
MAY = {
    "policy": set(),
    "simulator_wire": {"policy"},
    "adapter": {"policy", "simulator_wire"},
    "errors": set(),
    "loop": {"errors"},
    "thrift": set(),
    "config": {"errors", "policy", "loop"},
    "raft": {"errors"},
    "raft_storage": {"errors", "loop", "raft"},
    "leases": {"errors", "raft"},
    "quiescence": {"raft"},
    "shards": {"errors", "raft", "policy"},
    "schema_compatibility": {"errors", "raft"},
    "cluster": {
        "errors",
        "config",
        "thrift",
        "loop",
        "raft",
        "raft_storage",
        "leases",
        "quiescence",
        "shards",
        "schema_compatibility",
        "dispatch",
        "engines",
    },
    "dispatch": {"policy", "loop", "limits", "recovery", "load_balancing"},
    "limits": set(),
    "recovery": set(),
    "load_balancing": {"policy"},
    "engines": {"errors", "policy", "loop", "thrift", "config", "dispatch"},
    "frontends": {"errors", "policy", "loop", "thrift", "config", "dispatch", "limits", "engines", "cluster"},
    "node": {"policy", "simulator_wire", "loop", "limits", "dispatch", "load_balancing"},
    "client": {"thrift"},
    "observability": {"dispatch", "loop", "limits"},
    "emulators": {"loop", "thrift", "config", "audit"},
    "audit": {"thrift", "config"},
    "benchmarks": set(LAYERS) - {"cli", "testbed", "benchmarks"},
    "testbed": set(LAYERS) - {"cli"},
    "cli": set(LAYERS),
}


def sources():
    return [p for p in sorted(ROOT.rglob("*.py")) if not p.name.endswith("_pb2.py")]


def test_rooms_import_only_what_lies_below_them():
    for path in sources():
        room = path.relative_to(ROOT).parts[0].removesuffix(".py")
        if room == "__init__":
            continue
        found = re.findall(r"^\s*from fennelwind(?:\.(\w+)\S*)? import (.+)$", path.read_text("utf-8"), re.M)
        named = {
            first or word
            for first, words in found
            for word in ([first] if first else words.replace("(", "").split(" as ")[0].split(", "))
        }
        assert named - {room, "__version__"} <= MAY[room], path


def test_only_the_loop_touches_sockets_clocks_and_signals():
    # The command line starts processes; benchmarks take times; the client blocks in its user's process.
    allowed = {"loop", "cli", "benchmarks", "client"}
    pattern = r"^\s*(?:import|from) (socket|select|time|signal|secrets|threading|asyncio|selectors)\b"
    for path in sources():
        room = path.relative_to(ROOT).parts[0].removesuffix(".py")
        if room in allowed or path.name in ("sampler.py", "processes.py", "councilbench.py"):
            continue
        assert not re.findall(pattern, path.read_text("utf-8"), re.M), path


def test_decisions_are_free_of_io():
    pattern = r"\b(?:open|print|input)\(|^\s*(?:import|from) (?:os|sys|fennelwind\.loop (?!import Path))\b"
    for name in (
        "dispatch/ledger.py",
        "dispatch/types.py",
        "thrift/transport.py",
        "dispatch/sessions.py",
        "limits/answer_margin.py",
        "limits/admission.py",
        "recovery/request_coalescing.py",
        "engines/statement_status.py",
        "limits/login_throttle.py",
        "client/retry.py",
        "limits/log_rate_limit.py",
        "limits/connection_slots.py",
        "limits/retry_budget.py",
        "node/msgrpc.py",
        "node/http1.py",
        "node/table_group.py",
        "node/request_validation.py",
        "node/endpoint_view.py",
        "testbed/plan.py",
        "testbed/links.py",
        "testbed/wholeday.py",
        "testbed/baselines.py",
        "load_balancing/load_estimate.py",
        "load_balancing/subsetting.py",
        "load_balancing/load_advisor.py",
        *(
            str(p.relative_to(ROOT))
            for room in ("policy", "raft", "leases", "quiescence", "shards", "schema_compatibility")
            for p in (ROOT / room).glob("*.py")
        ),
    ):
        assert not re.findall(pattern, (ROOT / name).read_text("utf-8"), re.M), name


def test_probes_tell_a_good_engine_from_a_silent_a_dead_and_a_strange_one():
    loop = SimLoop(1)

    def main():
        fleet = Fleet(loop)
        client = fleet.program.engine_client
        silent = loop.listen(Address("127.0.0.1", 0))
        strange = loop.listen(Address("127.0.0.1", 0))

        def answer_nonsense():
            strange.accept().write(b"HTTP/1.1 400 Bad Request\r\n\r\n")

        loop.spawn(answer_nonsense)
        fleet.engines[1].crash()
        ends = [
            client.check_health(name)
            for name in (
                fleet.engines[0].name,
                fleet.engines[1].name,
                str(silent.address),
                str(strange.address),
            )
        ]
        assert ends[0].load == {"active": 0.0}
        return [end.status for end in ends]

    assert loop.run(main) == ["ok", "connect_failed", "timeout", "error"]
