"""The `council` section of the settings: its errors, no modules loaded without it, no effect on queries."""

import json
import os
import re
import signal
import subprocess
import sys
from pathlib import Path

import pytest
from click.testing import CliRunner
from fleet import SETTINGS, Fleet, execute, fetch, outcome
from test_node_run import Program as Node

from fennelwind import config
from fennelwind.cli.main import main
from fennelwind.cluster import raft_client
from fennelwind.cluster.errors import ClusterUnavailableError
from fennelwind.cluster.member_folder import MemberFolder
from fennelwind.cluster.raft_client import RaftClient
from fennelwind.loop import RealLoop, SimLoop
from fennelwind.loop.realdisk import RealDisk
from fennelwind.raft import council_pb2 as cpb
from fennelwind.raft.messages import Write
from fennelwind.raft_storage.store import StoreLimits

ROOT = Path(__file__).parent.parent.parent
COUNCIL = """
council {
  fleet: "north" me: "m0" folder: "record"
  members { name: "m0" address: "127.0.0.1:7001" }
  members { name: "m1" address: "127.0.0.1:7002" }
  members { name: "m2" address: "127.0.0.1:7003" }
  heartbeat_ms: 50 election_ms: 300 handover_ms: 2000 reserve_bytes: 1048576
}
"""
FOLLOWER = COUNCIL.replace(' me: "m0" folder: "record"', ' me: "c7"')
GOOD = SETTINGS % {"engines": 'engines { address: "127.0.0.1:5000" kind: "k" }', "note": 0, "open": 9}
DAY_MS, QUERIES = 86_400_000.0, 200


def test_settings_of_members_and_clients(tmp_path):
    assert config.read(GOOD).council is None
    member = config.read(GOOD + COUNCIL, folder=tmp_path).council
    assert (member.folder, str(member.listen), len(member.members)) == (
        tmp_path / "record",
        "127.0.0.1:7001",
        3,
    )
    moved = config.read(GOOD + COUNCIL.replace("folder:", 'listen: "0.0.0.0:7009" folder:')).council
    assert str(moved.listen) == "0.0.0.0:7009"
    follower = config.read(GOOD + FOLLOWER).council
    assert follower.folder is None and follower.listen is None and follower.me == "c7"


@pytest.mark.parametrize(
    ("old", "new", "label"),
    [
        ('fleet: "north"', 'fleet: "no rth"', "fleet"),
        ('fleet: "north"', "", "fleet"),
        (' me: "m0"', "", "me"),
        (' me: "m0"', ' me: "c7"', "folder"),
        ('folder: "record"', "", "folder"),
        ('members { name: "m1" address: "127.0.0.1:7002" }', "", "members"),
        ('name: "m1"', 'name: "m0"', "name"),
        ('name: "m1"', 'name: ""', "name"),
        ("127.0.0.1:7002", "127.0.0.1:7001", "address"),
        ("127.0.0.1:7002", "nowhere", "address"),
        ("folder:", 'listen: "x" folder:', "listen"),
        ("heartbeat_ms: 50", "", "heartbeat_ms"),
        ("heartbeat_ms: 50", "heartbeat_ms: 0", "heartbeat_ms"),
        ("heartbeat_ms: 50", "heartbeat_ms: 101", "election_ms"),
        ("reserve_bytes: 1048576", "", "reserve_bytes"),
        ("reserve_bytes: 1048576", "reserve_bytes: -1", "reserve_bytes"),
    ],
)
def test_settings_errors_name_field_and_position(old, new, label):
    text = GOOD + COUNCIL
    assert old in text
    with pytest.raises(config.SettingsError) as exc:
        config.read(text.replace(old, new), "x.txtpb")
    first = text[: text.index("council {")].count("\n") + 1
    assert all(p.line >= first and p.column for p in exc.value.problems)
    assert label in {p.text.split(":")[0] for p in exc.value.problems}


SHIM = """import atexit, os, sys
atexit.register(lambda: open(os.environ["MODULES"], "w").write(" ".join(sys.modules)))
"""
RAFT_MODULES = re.compile(
    r"fennelwind\.(quiescence|raft|raft_storage|leases|shards|schema_compatibility|cluster)\b|^(crc32c|highspy)\b"
)


@pytest.fixture
def loaded(tmp_path, monkeypatch):
    """Return a function that lists the Raft group's modules loaded by a program until its end."""
    (tmp_path / "shim").mkdir()
    (tmp_path / "shim" / "sitecustomize.py").write_text(SHIM, encoding="utf-8")
    monkeypatch.setenv("PYTHONPATH", f"{tmp_path / 'shim'}:{ROOT}")
    monkeypatch.setenv("MODULES", str(tmp_path / "modules"))

    def found():
        modules = (tmp_path / "modules").read_text("utf-8").split()
        assert "fennelwind.dispatch.driver" in modules
        return sorted(filter(RAFT_MODULES.search, modules))

    return found


def serve(path):
    """Run a controller until it listens, then end it by SIGTERM; return its log."""
    command = [sys.executable, "-m", "fennelwind.cli.main", "serve", str(path), "--log", "json"]
    child = subprocess.Popen(command, stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True, cwd=ROOT)
    try:
        assert json.loads(child.stdout.readline())["ready"]
        child.send_signal(signal.SIGTERM)
        _, log = child.communicate(timeout=60)
    finally:
        child.kill()
        child.wait()
    assert child.returncode == 0, log
    return [json.loads(line) for line in log.splitlines()]


def test_without_the_section_no_raft_modules_are_loaded(tmp_path, loaded):
    path = tmp_path / "s.txtpb"
    path.write_text(GOOD, encoding="utf-8")
    serve(path)
    assert loaded() == []
    path.write_text(GOOD + FOLLOWER, encoding="utf-8")
    serve(path)
    assert "fennelwind.cluster.runtime" in loaded()  # shows that the check detects loaded modules


def test_three_processes_elect_a_leader_and_hand_over_at_sigterm(tmp_path):
    """Set up as an operator does: three settings files, three `serve` processes; the leader is terminated."""
    # An address not used by other tests; timeouts long enough for a busy machine.
    host = f"127.{100 + os.getpid() % 100}.{os.getpid() // 100 % 250}.1"
    council = COUNCIL.replace("127.0.0.1", host).replace("election_ms: 300", "election_ms: 2000")
    council = council.replace("heartbeat_ms: 50", "heartbeat_ms: 200").replace(
        "handover_ms: 2000", "handover_ms: 20000"
    )
    running = {}
    try:
        for name in ("m0", "m1", "m2"):
            (tmp_path / name).mkdir()
            path = tmp_path / name / "s.txtpb"
            path.write_text(
                SETTINGS.replace("127.0.0.1:5000", "127.0.0.1:1")
                % {"engines": 'engines { address: "127.0.0.1:1" kind: "k" }', "note": 0, "open": 9}
                + council.replace(' me: "m0"', f' me: "{name}"'),
                encoding="utf-8",
            )
            running[name] = subprocess.Popen(
                [sys.executable, "-m", "fennelwind.cli.main", "serve", str(path), "--log", "json"],
                cwd=ROOT,
                stdout=subprocess.DEVNULL,
                stderr=(tmp_path / f"{name}.log").open("w"),
            )
        members = config.read(GOOD + council).council.members
        loop = RealLoop()

        def play():
            client = RaftClient(loop, "north", "c7", members, "1")
            first = client.read("leases", within_ms=60_000.0)
            until(lambda: len(voters()) == 2)  # if only two members were voters, neither could lead alone
            leader = role_changes(tmp_path, "leader")[-1]["who"]
            running[leader].send_signal(signal.SIGTERM)
            assert running[leader].wait(60) == 0
            later_read = client.read("leases", within_ms=60_000.0)
            assert later_read.index > first.index
            other_leaders = [line for line in role_changes(tmp_path, "leader") if line["who"] != leader]
            assert other_leaders  # another member leads, elected before the first one exited
            return client.close()

        def voters():
            return {line["who"] for line in role_changes(tmp_path, "follower") if line["leader"]}

        def until(condition):
            with loop.deadline(60_000.0):
                while not condition():
                    loop.sleep(20.0)

        loop.run(play)
    finally:
        for child in running.values():
            child.kill()
            child.wait()


def role_changes(folder, role):
    """Return the changes to a role that members logged, with their names."""
    lines = []
    for path in sorted(folder.glob("*.log")):
        for line in path.read_text("utf-8").splitlines():
            record = json.loads(line)
            if record.get("what") == "role changed" and record["role"] == role:
                lines.append(record | {"who": path.stem})
    return sorted(lines, key=lambda line: line["timestamp"])


def test_on_the_platform_no_raft_modules_are_loaded(tmp_path, loaded):
    node = Node(tmp_path)
    try:
        node.process.send_signal(signal.SIGTERM)
        node.process.communicate(timeout=60)
    finally:
        node.process.kill()
        node.process.wait()
        node.executor.close()
        node.channel.close()
    assert loaded() == []


def test_disaster_recovery_command_describes_a_folder_and_restarts_it_alone(tmp_path):
    path = tmp_path / "s.txtpb"
    path.write_text(GOOD + COUNCIL, encoding="utf-8")

    def command(*more):
        return CliRunner().invoke(main, ["council", "alone", str(path), *more])

    assert command().exit_code == 2 and "no such folder" in command().output
    loop = RealLoop()

    def fill():
        folder = MemberFolder(
            lambda: RealDisk(loop, str(tmp_path / "record")), "north", "m0", loop.token, StoreLimits()
        )
        members = cpb.Members(members=[cpb.Member(name=f"m{n}", life=b"x", votes=True) for n in range(3)])
        folder.open()
        folder.write(
            [
                Write(
                    1,
                    hard_state=cpb.HardState(term=4),
                    entries=(
                        cpb.Entry(term=4, index=1, members=members),
                        cpb.Entry(term=4, index=2, nothing=True),
                    ),
                )
            ]
        )
        result = command()  # the folder is locked
        folder.close()
        return result

    held = loop.run(fill)
    assert held.exit_code == 1 and "another process" in held.output
    summary = command()
    assert summary.exit_code == 0 and "last entry 2 of term 4, members m0, m1, m2" in summary.output
    assert "only member now" in command("--yes").output
    assert "of term 5, members m0;" in command().output
    path.write_text(GOOD + FOLLOWER, encoding="utf-8")
    assert command().exit_code == 2 and "no settings of a member" in command().output


def run_query(fleet):
    client = fleet.client()
    try:
        return fetch(client, execute(client, "select 1", work=40.0))
    finally:
        client.drop()


def day(council):
    """Play a day of queries; return outcomes with times, answers, and the count of rejected commands."""
    loop = SimLoop(3, jitter=0.0)

    def play():
        fleet = Fleet(loop, change=lambda text: text + council)
        runtime, ends, refused = fleet.program.keeper, [], []
        for number in range(QUERIES):
            loop.sleep(DAY_MS / QUERIES * (number + 1) - loop.now())
            if runtime is not None and not number % 20:
                refused.append(loop.spawn(runtime.client.propose, "leases", b"", 3000.0))
            ends.append((outcome(lambda: run_query(fleet)), loop.now()))
        for task in refused:
            with pytest.raises(ClusterUnavailableError) as exc:
                task.join()
            assert exc.value.facts["again_ms"] > 0
        assert not fleet.seen.failures
        return ends, [answer for _, answer in fleet.seen.answers], len(refused)

    return loop.run(play)


def test_day_without_any_member_affects_no_query(monkeypatch):
    monkeypatch.setattr(
        raft_client, "MAX_CONNECT_BACKOFF_MS", 60_000.0
    )  # a day of connects every 5 s takes 20 s to play
    without, answers, _ = day("")
    ends, answers_with_council, refused = day(FOLLOWER)
    assert len(ends) == QUERIES and {what for what, _ in ends} == {"served"}
    assert (
        ends == without and answers_with_council == answers
    )  # each at the same time as without a Raft group
    assert refused == QUERIES // 20
