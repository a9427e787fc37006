"""The adapter as a subprocess, on conversations written for these tests."""

import os
import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent.parent
CONF = "\t".join(
    [
        "Balancers=2",
        "Ceilings.Cancel=true",
        "Ceilings.MaxAttempts=3",
        "Ceilings.ParallelTries=true",
        "Ceilings.RetryAfter=true",
        "Ceilings.MaxRetryAfterMs=400.0",
        "FamilyInfo.KindCores=4,8",
        "FamilyInfo.WidthByClass=1,2",
        "Grades.count=2",
        "Grades.0.Name=quick",
        "Grades.0.AimMs=500.0",
        "Grades.0.GiveUpMs=2000.0",
        "Grades.0.Points=1.0",
        "Grades.0.Effect=repeatable",
        "Grades.1.Name=slow",
        "Grades.1.AimMs=900.0",
        "Grades.1.GiveUpMs=5000.0",
        "Grades.1.Points=4.0",
        "Grades.1.Effect=by_key",
        "Grades.1.Group=zone",
        "Grades.1.MemorySpanMs=3000.0",
        "Me=0",
        "Report.Columns=cpu,active",
        "ResolutionMs=5.0",
        "Rules.AnswerSlackMs=20.0",
        "Rules.DrainGraceMs=1000.0",
        "Somebody.Else=1,2",
    ]
)
LIST = [
    "LIST\tPage=0\tMembersList=2",
    "EXECUTOR\tExecutor=10.0.0.1:5001\tState=in_service\tDc=0\tSku=0\tNominal=1\tCell=0\tNew=7",
    "EXECUTOR\tExecutor=10.0.0.2:5001\tState=in_service\tDc=1\tSku=1\tNominal=1\tCell=1",
]


def batch(now, *lines):
    return [f"BATCH\tNowMs={now}", *lines, "YOUR_TURN"]


def start(who, entropy=5, listed=True):
    lines = [f"ABOUT\tWho={who}", f"NEW_INSTANCE\tEntropy={entropy}\t{CONF}"]
    return [*lines, *(LIST if listed else []), "PEERS_KNOWN\tForm=Persisted\tPage=0\tIndex=1"]


def request(txn, now, service=0, work=50.0):
    return (
        f"REQUEST\tTxn={txn}\tService={service}\tDeadlineMs={now + 2000.0}\tExpectedMs={work}"
        f"\tFootprintMb=10\tDataGroup=3\tOptions=1\tStranger=x"
    )


def run(arguments, text, env=None):
    return subprocess.run(
        [sys.executable, *arguments],
        input=text,
        cwd=ROOT,
        env=env,
        capture_output=True,
        text=True,
        timeout=60,
    )


def talk(lines, seed="0"):
    env = {**os.environ, "PYTHONHASHSEED": seed}
    return run(["-m", "fennelwind.adapter"], "\n".join(lines) + "\n", env)


def conversation(whos):
    lines = batch(0.0)
    lines += batch(100.0, *(line for who in whos for line in start(who, entropy=who + 1)))
    for n in range(40):
        now = 105.0 + 5.0 * n
        lines += batch(
            now,
            *(
                line
                for who in whos
                for line in (
                    f"ABOUT\tWho={who}",
                    request(1000 * who + n, now, service=n % 2),
                    f"TIMEOUT_FIRED\tMark={n}",
                )
            ),
        )
    return lines


def by_instance(text):
    said, who = {}, None
    for line in text.splitlines():
        if line.startswith("SPEAKING"):
            who = line
        elif line != "ACK":
            said.setdefault(who, []).append(line)
    return said


def test_a_request_is_sent_and_its_end_is_taken():
    lines = batch(8412.25, *start(3), request(77, 8412.25))
    first = talk(lines)
    assert first.returncode == 0 and first.stderr == ""
    out = first.stdout.splitlines()
    assert out[0] == "SPEAKING\tWho=3" and out[-1] == "ACK"
    issue = next(line for line in out if line.startswith("ISSUE\tTxn=77\t"))
    engine = issue.split("Executor=")[1]
    answer = (
        f"ANSWER\tTxn=77\tTookMs=18.5\tTry=0\tComplete=0\tDisposition=RESOURCE_EXHAUSTED"
        f"\tExecutor={engine}\tLoad=0.5,3"
    )
    again = talk(lines + batch(8431.0, "ABOUT\tWho=3", answer)).stdout
    other = "10.0.0.2:5001" if engine == "10.0.0.1:5001" else "10.0.0.1:5001"
    assert f"ISSUE\tTxn=77\tExecutor={other}" in again


def test_refusal_tells_when_to_come_back():
    expired = "REQUEST\tTxn=5\tService=0\tDeadlineMs=100.0\tOptions=0"
    assert "SHED\tTxn=5\tWaitMs=400.000" in talk(batch(100.0, *start(0), expired)).stdout


def test_same_bytes_under_any_hash_seed():
    outs = {talk(conversation([0, 1, 2]), seed).stdout for seed in ("0", "1", "4242")}
    assert len(outs) == 1 and "ISSUE" in outs.pop()


def test_same_actions_split_over_processes():
    together = by_instance(talk(conversation([0, 1, 2])).stdout)
    apart = {}
    for who in (0, 1, 2):
        apart.update(by_instance(talk(conversation([who])).stdout))
    assert together == apart and len(apart) == 3


def test_a_stopped_instance_starts_anew():
    lines = batch(10.0, *start(1), request(1, 10.0))
    lines += batch(
        20.0,
        "ABOUT\tWho=1",
        "DOWN",
        f"NEW_INSTANCE\tEntropy=9\t{CONF}",
        "PEERS_KNOWN\tForm=Persisted\tPage=0\tIndex=1",
        request(2, 20.0),
    )
    done = talk(lines)
    assert done.returncode == 0
    assert done.stdout.count("ISSUE\tTxn=2\t") == 1


def test_list_numbers_are_reused_in_order():
    newer = [
        "LIST\tPage=0\tMembersList=1",
        "EXECUTOR\tExecutor=10.0.0.9:5001\tState=in_service\tSku=0",
        "ABOUT\tWho=0",
        "PEERS_KNOWN\tForm=Complete\tPage=0\tIndex=2",
        request(4, 10.0),
    ]
    out = talk(batch(10.0, *start(0), *start(1, listed=False), request(3, 10.0), *newer)).stdout
    said = by_instance(out)
    assert any("Txn=4\tExecutor=10.0.0.9" in line for line in said["SPEAKING\tWho=0"])
    assert not any("10.0.0.9" in line for line in said["SPEAKING\tWho=1"])


def test_a_failing_module_becomes_the_wires_fault():
    broken = "PEERS_KNOWN\tForm=Persisted\tPage=0\tIndex=1"
    script = (
        "import fennelwind.policy.gateway as r\n"
        "def boom(self, now, events): raise RuntimeError('no\\nluck')\n"
        "r.Gateway.step = boom\n"
        "import fennelwind.adapter as a\nraise SystemExit(a.main())"
    )
    lines = batch(1.0, *start(0)) + batch(2.0, "ABOUT\tWho=0", broken)
    done = run(["-c", script], "\n".join(lines) + "\n")
    assert done.returncode == 0
    assert done.stdout.splitlines()[:3] == ["SPEAKING\tWho=0", "GIVE_IN\tWords=RuntimeError: no luck", "ACK"]


@pytest.mark.parametrize(
    "line,names",
    [
        ("NONSENSE\tA=1", ["NONSENSE", "unknown"]),
        ("REQUEST\tService=0\tDeadlineMs=5.0", ["REQUEST", "Txn"]),
        ("REQUEST\tTxn=x\tService=0\tDeadlineMs=5.0", ["REQUEST", "Txn"]),
        ("REQUEST\tTxn=1\tService=0\tDeadlineMs=nan", ["REQUEST", "DeadlineMs"]),
        ("ANSWER\tTxn=1\tTry=0\tTookMs=1\tExecutor=a:1\tDisposition=SPLENDID", ["ANSWER", "Disposition"]),
        ("PEERS_KNOWN\tForm=Complete\tPage=9\tIndex=1", ["PEERS_KNOWN", "Page"]),
        ("TIMEOUT_FIRED\tMark", ["TIMEOUT_FIRED", "Mark"]),
        ("ABOUT\tWho=8\nCLIENT_GONE\tTxn=1", ["CLIENT_GONE", "Who"]),
        ("NEW_INSTANCE\tEntropy=1\tGrades.count=0", ["NEW_INSTANCE", "classes"]),
        ("LIST\tPage=1\tMembersList=2\nEXECUTOR\tExecutor=a:1\tState=in_service", ["LIST", "MembersList"]),
    ],
)
def test_malformed_lines_end_the_process_in_one_line(line, names):
    done = talk(batch(1.0, *start(0)) + batch(2.0, "ABOUT\tWho=0", line))
    assert done.returncode != 0
    assert done.stderr.count("\n") == 1 and "Traceback" not in done.stderr
    assert all(name in done.stderr for name in names)
    assert done.stdout.splitlines()[-1] == "ACK"


def test_no_input_ends_well():
    done = run(["-m", "fennelwind.adapter"], "")
    assert (done.returncode, done.stdout, done.stderr) == (0, "", "")
