"""The adapter as a subprocess, with hand-written input."""

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


def batch_lines(now, *lines):
    return [f"BATCH\tNowMs={now}", *lines, "YOUR_TURN"]


def start_lines(instance, seed=5, has_list=True):
    lines = [f"ABOUT\tWho={instance}", f"NEW_INSTANCE\tEntropy={seed}\t{CONF}"]
    return [*lines, *(LIST if has_list else []), "PEERS_KNOWN\tForm=Persisted\tPage=0\tIndex=1"]


def request_line(query, now, class_index=0, work=50.0):
    return (
        f"REQUEST\tTxn={query}\tService={class_index}\tDeadlineMs={now + 2000.0}\tExpectedMs={work}"
        f"\tFootprintMb=10\tDataGroup=3\tOptions=1\tStranger=x"
    )


def run_python(arguments, text, env=None):
    return subprocess.run(
        [sys.executable, *arguments],
        input=text,
        cwd=ROOT,
        env=env,
        capture_output=True,
        text=True,
        timeout=60,
    )


def run_adapter(lines, hash_seed="0"):
    env = {**os.environ, "PYTHONHASHSEED": hash_seed}
    return run_python(["-m", "fennelwind.adapter"], "\n".join(lines) + "\n", env)


def conversation_lines(instances):
    lines = batch_lines(0.0)
    lines += batch_lines(
        100.0, *(line for instance in instances for line in start_lines(instance, seed=instance + 1))
    )
    for number in range(40):
        now = 105.0 + 5.0 * number
        lines += batch_lines(
            now,
            *(
                line
                for instance in instances
                for line in (
                    f"ABOUT\tWho={instance}",
                    request_line(1000 * instance + number, now, class_index=number % 2),
                    f"TIMEOUT_FIRED\tMark={number}",
                )
            ),
        )
    return lines


def actions_by_instance(text):
    actions, instance_line = {}, None
    for line in text.splitlines():
        if line.startswith("SPEAKING"):
            instance_line = line
        elif line != "ACK":
            actions.setdefault(instance_line, []).append(line)
    return actions


def test_rejected_attempt_is_retried_on_another_engine():
    lines = batch_lines(8412.25, *start_lines(3), request_line(77, 8412.25))
    first = run_adapter(lines)
    assert first.returncode == 0 and first.stderr == ""
    out = first.stdout.splitlines()
    assert out[0] == "SPEAKING\tWho=3" and out[-1] == "ACK"
    issue_line = next(line for line in out if line.startswith("ISSUE\tTxn=77\t"))
    engine = issue_line.split("Executor=")[1]
    answer = (
        f"ANSWER\tTxn=77\tTookMs=18.5\tTry=0\tComplete=0\tDisposition=RESOURCE_EXHAUSTED"
        f"\tExecutor={engine}\tLoad=0.5,3"
    )
    again = run_adapter(lines + batch_lines(8431.0, "ABOUT\tWho=3", answer)).stdout
    other = "10.0.0.2:5001" if engine == "10.0.0.1:5001" else "10.0.0.1:5001"
    assert f"ISSUE\tTxn=77\tExecutor={other}" in again


def test_rejection_carries_the_retry_after_time():
    expired = "REQUEST\tTxn=5\tService=0\tDeadlineMs=100.0\tOptions=0"
    assert "SHED\tTxn=5\tWaitMs=400.000" in run_adapter(batch_lines(100.0, *start_lines(0), expired)).stdout


def test_output_does_not_depend_on_the_hash_seed():
    outputs = {
        run_adapter(conversation_lines([0, 1, 2]), hash_seed).stdout for hash_seed in ("0", "1", "4242")
    }
    assert len(outputs) == 1 and "ISSUE" in outputs.pop()


def test_instances_act_alike_in_one_process_and_in_several():
    together = actions_by_instance(run_adapter(conversation_lines([0, 1, 2])).stdout)
    apart = {}
    for instance in (0, 1, 2):
        apart.update(actions_by_instance(run_adapter(conversation_lines([instance])).stdout))
    assert together == apart and len(apart) == 3


def test_stopped_instance_can_start_again_in_the_same_batch():
    lines = batch_lines(10.0, *start_lines(1), request_line(1, 10.0))
    lines += batch_lines(
        20.0,
        "ABOUT\tWho=1",
        "DOWN",
        f"NEW_INSTANCE\tEntropy=9\t{CONF}",
        "PEERS_KNOWN\tForm=Persisted\tPage=0\tIndex=1",
        request_line(2, 20.0),
    )
    done = run_adapter(lines)
    assert done.returncode == 0
    assert done.stdout.count("ISSUE\tTxn=2\t") == 1


def test_list_page_can_be_redefined_within_a_batch():
    newer = [
        "LIST\tPage=0\tMembersList=1",
        "EXECUTOR\tExecutor=10.0.0.9:5001\tState=in_service\tSku=0",
        "ABOUT\tWho=0",
        "PEERS_KNOWN\tForm=Complete\tPage=0\tIndex=2",
        request_line(4, 10.0),
    ]
    out = run_adapter(
        batch_lines(10.0, *start_lines(0), *start_lines(1, has_list=False), request_line(3, 10.0), *newer)
    ).stdout
    actions = actions_by_instance(out)
    assert any("Txn=4\tExecutor=10.0.0.9" in line for line in actions["SPEAKING\tWho=0"])
    assert not any("10.0.0.9" in line for line in actions["SPEAKING\tWho=1"])


def test_failing_instance_is_reported_on_the_wire():
    event = "PEERS_KNOWN\tForm=Persisted\tPage=0\tIndex=1"
    script = (
        "import fennelwind.policy.gateway as gateway\n"
        "def fail(self, now, events): raise RuntimeError('no\\nluck')\n"
        "gateway.Gateway.step = fail\n"
        "import fennelwind.adapter as adapter\nraise SystemExit(adapter.main())"
    )
    lines = batch_lines(1.0, *start_lines(0)) + batch_lines(2.0, "ABOUT\tWho=0", event)
    done = run_python(["-c", script], "\n".join(lines) + "\n")
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
def test_malformed_line_ends_the_process_with_one_error_line(line, names):
    done = run_adapter(batch_lines(1.0, *start_lines(0)) + batch_lines(2.0, "ABOUT\tWho=0", line))
    assert done.returncode != 0
    assert done.stderr.count("\n") == 1 and "Traceback" not in done.stderr
    assert all(name in done.stderr for name in names)
    assert done.stdout.splitlines()[-1] == "ACK"


def test_empty_input_ends_with_success():
    done = run_python(["-m", "fennelwind.adapter"], "")
    assert (done.returncode, done.stdout, done.stderr) == (0, "", "")
