"""Tests that are known to fail, from KNOWN-RED.txt at the root: run and printed, but they fail no run.

A line of the file is `TEST | CAUSE | ISSUE`, with ` | ` between the three: a test's id as pytest prints it
(`tests/test_x.py::test_y[z]`), one sentence, and the number of the issue, as in
`tests/test_x.py::test_y | a late answer is counted twice | issue 38`. Empty lines say nothing. The file is
best empty or absent. A fourth line, one that can't be read, or a test that there is not fails the run.
Whether there is such a test is asked only where the whole suite is collected: no path, nothing left out.
"""

import re
from pathlib import Path
from typing import NamedTuple

import pytest

FILE = "KNOWN-RED.txt"
MOST = 3  # lines; more is no exception any longer
ISSUE = re.compile(r"(?:issue )?#?[0-9]+")
CHOICES = ("keyword", "markexpr", "deselect", "ignore", "ignore_glob", "lf", "stepwise")  # leave tests out
WORST = ("not run", "passes now, take it off the list", "failed")  # of a test's parts, the last that is true


class Red(NamedTuple):
    """One line."""

    cause: str
    issue: str


class Malformed(Exception):
    """The file can't be used; the text says why."""


def read(text: str) -> dict[str, Red]:
    """Return the lines by test. Raises `Malformed`."""
    reds: dict[str, Red] = {}
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip():
            continue
        parts = [part.strip() for part in line.split(" | ")]
        if len(parts) != 3 or "::" not in parts[0] or not parts[1] or ISSUE.fullmatch(parts[2]) is None:
            raise Malformed(f"line {number} is not TEST | CAUSE | ISSUE: {line[:200]!r}")
        if parts[0] in reds:
            raise Malformed(f"line {number} names a test again: {parts[0]}")
        reds[parts[0]] = Red(parts[1], parts[2])
    if len(reds) > MOST:
        raise Malformed(f"{len(reds)} tests are listed; {MOST} may be")
    return reds


def plain(test: str) -> str:
    """Return a test's id without the group that pytest-xdist puts behind it."""
    head, at, group = test.rpartition("@")
    return head if at and "]" not in group and "/" not in group and "::" not in group else test


class KnownRed:
    """The plugin; with pytest-xdist one of them is in each worker, and one in the process that reports."""

    def __init__(self, config: pytest.Config) -> None:
        path = Path(config.rootpath, FILE)
        try:
            self.reds = read(path.read_text(encoding="utf-8")) if path.exists() else {}
        except (Malformed, OSError, UnicodeDecodeError) as exc:
            raise pytest.UsageError(f"{FILE}: {exc}") from None
        self.whole = config.args_source is not pytest.Config.ArgsSource.ARGS and not any(
            getattr(config.option, name, None) for name in CHOICES
        )
        self.collected: set[str] | None = None
        self.ends = dict.fromkeys(self.reds, WORST[0])

    @pytest.hookimpl(tryfirst=True)
    def pytest_collection_modifyitems(self, items: list[pytest.Item]) -> None:
        self.collected = {plain(item.nodeid) for item in items}
        for item in items:
            red = self.reds.get(plain(item.nodeid))
            if red is not None:
                reason = f"known red: {red.cause} ({red.issue})"
                item.add_marker(pytest.mark.xfail(reason=reason, strict=False))

    @pytest.hookimpl(optionalhook=True)
    def pytest_xdist_node_collection_finished(self, ids: list[str]) -> None:
        self.collected = {plain(test) for test in ids}

    def pytest_runtest_logreport(self, report: pytest.TestReport) -> None:
        test = plain(report.nodeid)
        if test in self.reds:
            bad = report.failed or report.skipped and hasattr(report, "wasxfail")
            end = WORST[2] if bad else WORST[report.when == "call" and report.passed]
            self.ends[test] = max(self.ends[test], end, key=WORST.index)

    def _unknown(self) -> list[str]:
        if not self.whole or self.collected is None:
            return []
        return [test for test in self.reds if test not in self.collected]

    @pytest.hookimpl(tryfirst=True)
    def pytest_sessionfinish(self, session: pytest.Session) -> None:
        if self._unknown() and session.exitstatus in (pytest.ExitCode.OK, pytest.ExitCode.NO_TESTS_COLLECTED):
            session.exitstatus = pytest.ExitCode.TESTS_FAILED

    def pytest_terminal_summary(self, terminalreporter: pytest.TerminalReporter) -> None:
        if not self.reds:
            return
        terminalreporter.section(FILE)
        unknown = self._unknown()
        for test, red in self.reds.items():
            end = f"ERROR: there is no test {test}" if test in unknown else f"{self.ends[test]}: {test}"
            terminalreporter.line(f"known red: {end} | {red.cause} | {red.issue}")
