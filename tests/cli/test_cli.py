"""The command line, run as commands."""

import json
import os
import signal
import subprocess
import sys

import pytest
from click.testing import CliRunner
from fleet import SETTINGS

from fennelwind.benchmarks import timers
from fennelwind.cli.main import main
from fennelwind.cli.output import table
from fennelwind.dispatch.ledger import Ledger
from fennelwind.dispatch.types import Answer, AnswerKind, AttemptEnd, Submission
from fennelwind.observability import LogObserver, configure

COMMAND = [sys.executable, "-m", "fennelwind.cli.main"]


def start(*arguments):
    """Start a command of ours; return it and the address it prints once it listens."""
    pipe = subprocess.PIPE
    child = subprocess.Popen([*COMMAND, *arguments], stdout=pipe, stderr=pipe, text=True)
    line = child.stdout.readline()
    assert line, child.stderr.read()
    return child, json.loads(line)["listen"]


def stop(child):
    child.send_signal(signal.SIGTERM)
    out, err = child.communicate(timeout=30)
    assert child.returncode == 0, err
    return err


def test_check_tells_good_from_bad(tmp_path):
    path = tmp_path / "s.txtpb"
    text = SETTINGS % {"engines": 'engines { address: "127.0.0.1:1" kind: "k" }', "note": 0, "open": 9}
    path.write_text(text, encoding="utf-8")
    good = CliRunner().invoke(main, ["check", str(path)])
    assert good.exit_code == 0 and "4 classes" in good.output
    path.write_text(text.replace("worth: 10", "wroth: 10").replace("me: 0", "mee: 0"), encoding="utf-8")
    bad = CliRunner().invoke(main, ["check", str(path)])
    assert bad.exit_code == 2
    line = text[: text.index("worth: 10")].count("\n") + 1
    assert bad.output.count("no such field") == 2 and f"{path}:{line}:" in bad.output


def test_serve_engine_discovery_and_query_as_programs(tmp_path):
    engine, there = start("standin", "engine", "--cores", "4")
    discovery, listed = start("standin", "discovery", f"{there},default,k")
    path = tmp_path / "s.txtpb"
    path.write_text(
        SETTINGS % {"engines": "", "note": 0, "open": 9}
        + f'discovery {{ address: "{listed}" mode: PUSHED }}',
        encoding="utf-8",
    )
    controller, address = start("serve", str(path), "--log", "json", "--answers", "--seed", "1")
    try:
        run = [
            *COMMAND,
            "query",
            address,
            "select 1",
            "--conf",
            "standin.rows=2",
            "--conf",
            "standin.work_ms=1",
        ]
        for _ in range(50):  # until the list has come
            served = subprocess.run(run, capture_output=True, text=True, timeout=30)
            if served.returncode == 0:
                break
        assert served.stdout == "0\trow 0\n1\trow 1\n"
        run = [*COMMAND, "query", address, "drop it"]
        unknown = subprocess.run(run, capture_output=True, text=True, timeout=30)
        assert unknown.returncode == 4 and "no selector" in unknown.stderr
    finally:
        log = [json.loads(line) for line in stop(controller).splitlines()]
        stop(discovery)
        stop(engine)
    answers = [line for line in log if line["event"] == "answer"]
    assert {a["kind"] for a in answers} >= {"served"} and answers[-1]["query_class"] == "lookup"
    assert log[-1]["event"] == "closed" and log[-1]["balanced"] and log[-1]["second_answers"] == 0
    nobody = subprocess.run(run, capture_output=True, text=True, timeout=30)
    assert nobody.returncode == 5


def test_demo_keeps_all_up_until_it_is_told_to_stop(tmp_path):
    log = tmp_path / "demo.log"
    child, address = start("demo", "--keep", "--listen", "127.0.0.1:0", "--log", str(log))
    try:
        for _ in range(50):
            done = subprocess.run([*COMMAND, "query", address, "select 1"], capture_output=True, timeout=30)
            if done.returncode == 0:
                break
        assert done.returncode == 0, done.stderr
    finally:
        stop(child)
    assert '"balanced": true' in log.read_text(encoding="utf-8")


def test_a_short_demo_writes_its_figures_and_a_broken_rule_its_status(tmp_path):
    script, figures = tmp_path / "day.txtpb", tmp_path / "day.json"
    script.write_text(
        """seed: 1 length_ms: 1500 connections: 50
        engines { count: 2 kind: "node-8" zone: "hall-a" }
        loads { query_class: "lookup" per_s: 30 statement: "select 1" work_ms: 20 threads: 1 rows: 1
                timeout_ms: 3000 }""",
        encoding="utf-8",
    )
    run = [*COMMAND, "demo", "--script", str(script), "--json", str(figures), "--log", str(tmp_path / "log")]
    done = subprocess.run(run, capture_output=True, text=True, timeout=60)
    assert done.returncode == 0, done.stdout + done.stderr
    told = json.loads(figures.read_text(encoding="utf-8"))
    row = told["classes"]["lookup"]
    assert row["taken"] > 10 and row["unanswered"] == 0
    assert row["served"] + row["refused"] + row["failed"] + row["left"] == row["taken"]
    assert told["rules"]["final answers"]["checks"] > 0
    assert all(rule["breaks"] == 0 for rule in told["rules"].values())


def test_bad_input_is_told_and_not_traced(tmp_path):
    runner = CliRunner()
    for arguments in (
        ["query", "nowhere", "select 1"],
        ["standin", "engine", "--cores", "0"],
        ["query", "127.0.0.1:1", "x", "--conf", "novalue"],
    ):
        assert runner.invoke(main, arguments).exit_code == 2
    script = tmp_path / "s.txtpb"
    script.write_text("length: 3", encoding="utf-8")
    told = runner.invoke(main, ["demo", "--script", str(script)])
    assert told.exit_code == 1 and "length" in told.output


def test_tables_are_aligned():
    assert table([["a", "n"], ["long", "1"], ["b", "22"]]) == "a      n\nlong   1\nb     22"


def test_logs_are_limited_and_say_what_they_dropped(capsys):
    now = [0.0]
    configure("json", sys.stderr)
    observer = LogObserver(lambda: now[0], ("a",))
    ledger = Ledger(1)

    def end(kind):
        entry = ledger.register(Submission(0, "x", 100.0), 0.0, 90.0, lambda e: None)
        ledger.finalize(entry, Answer(kind, "why"), 5.0)
        observer.answered(entry)
        observer.attempted(entry, 0, "e:1", AttemptEnd("reset", "cut"), 3.0)

    for _ in range(200):
        end(AnswerKind.REJECTED)
    end(AnswerKind.SERVED)
    now[0] = 10_000.0
    end(AnswerKind.REJECTED)
    lines = [json.loads(line) for line in capsys.readouterr().err.splitlines()]
    answers = [line for line in lines if line["event"] == "answer"]
    assert len(answers) == 21 and answers[-1]["dropped"] == 180
    assert len([line for line in lines if line["event"] == "attempt"]) == 21


def test_lines_that_cannot_be_written_are_lost_and_told_later():
    read, write = os.pipe()
    os.set_blocking(write, False)  # where somebody waited, this is an error in place of a test without end
    with open(write, "w", encoding="utf-8") as pipe, open("/dev/full", "w", encoding="utf-8") as full:
        configure("json", full)
        LogObserver(lambda: 0.0, ("a",)).council("no room", {})
        configure("json", pipe)
        observer = LogObserver(lambda: 0.0, ("a",))
        for _ in range(200):
            observer.log.info("line", text="x" * 1000)
        lines = os.read(read, 1 << 20).splitlines()
        observer.log.info("later")
        assert json.loads(os.read(read, 1 << 20))["lost"] == 200 - len(lines) and 10 < len(lines) < 200
        os.close(read)
        observer.log.info("nobody reads")


@pytest.mark.parametrize("structure", [timers.TimerWheel, timers.TimerHeap])
def test_the_timer_measurement_lets_every_live_timer_come_due(structure, monkeypatch):
    monkeypatch.setattr(timers, "PENDING", 300)
    us, ms, kept = timers.play(structure, 1)
    assert us > 0 and ms > 0
    assert kept >= 300


def test_bench_platform_tells_parsers_and_connections():
    result = CliRunner().invoke(main, ["bench", "platform", "--connections", "20"])
    assert result.exit_code == 0, result.output
    assert "h11" in result.output and "KB each" in result.output
