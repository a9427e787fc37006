"""Records what crossed the sockets of clients and executors and checks it against the rules.

Uses no code of the program. All times are those of the virtual loop, in ms. A request counts from its last
byte, an attempt from the first byte of its POST. `check` returns the violations, each with the broken rule.
"""

from collections import defaultdict
from dataclasses import dataclass, field
from itertools import combinations
from typing import Any, NamedTuple

SLACK_MS = 50.0  # protocol: tolerance of every time limit
MAX_START_AFTER_LEAVING_MS = 100.0  # an attempt may still start for so long after its client left
UNPOLLED_EXPIRY_MS = 2000.0  # an executor drops an attempt that is not polled for so long


class Violation(NamedTuple):
    """A broken rule."""

    rule: str
    at: float
    text: str

    def __str__(self) -> str:
        return f"{self.rule} at {self.at:.1f}: {self.text}"


@dataclass(eq=False)
class ClientRequest:
    """A request as its client sees it."""

    name: str
    cls: str
    number: int
    sent: float  # time of its last byte
    due: float
    connection: Any  # the client's
    is_first: bool = False  # on its connection
    left_at: float | None = None  # cancelled, or connection closed by the client
    answers: list[tuple[float, str, bytes]] = field(default_factory=list)  # time, kind and rows


@dataclass(eq=False)
class SentAttempt:
    """An attempt as sent by the controller."""

    name: str
    address: Any
    sent: float  # time of its first byte
    not_run: float | None = None  # when its executor answered that it never ran

    def may_have_run(self, at: float) -> bool:
        return self.not_run is None or self.not_run > at


@dataclass(eq=False)
class ExecutorRun:
    """An attempt that arrived completely at an executor."""

    name: str
    engine: str
    arrived: float
    last_polled: float
    attempt: SentAttempt
    pages: list[bytes]
    work_ends: float
    mode: str
    answered: float | None = None  # when its final answer was written
    dropped: float | None = None  # when it was deleted, it expired, or its executor stopped

    def running_until(self) -> float:
        ends = [at for at in (self.answered, self.dropped) if at is not None]
        return min(ends, default=self.last_polled + UNPOLLED_EXPIRY_MS - SLACK_MS)


class EndpointReport(NamedTuple):
    """An event about an executor that the controller has read."""

    at: float
    instance: str
    address: Any
    state: str


@dataclass
class Record:
    """All that was recorded, and the settings that it is checked against."""

    settings: dict[str, Any]
    classes: dict[str, dict[str, Any]]  # classes of the settings, by name
    requests: dict[str, ClientRequest] = field(default_factory=dict)
    attempts: dict[str, list[SentAttempt]] = field(default_factory=lambda: defaultdict(list))
    runs: dict[str, list[ExecutorRun]] = field(default_factory=lambda: defaultdict(list))
    endpoint_reports: list[EndpointReport] = field(default_factory=list)
    locations: dict[Any, tuple[str, int]] = field(default_factory=dict)  # zone and cell by address
    violations: list[Violation] = field(default_factory=list)
    open_connections: int = 0  # to executors
    max_open_connections: int = 0
    ended: float | None = None  # when the program ended

    def add_violation(self, rule: str, at: float, text: str) -> None:
        self.violations.append(Violation(rule, at, text))

    def check(self) -> list[Violation]:
        """Return all violations, in order of time."""
        for request in self.requests.values():
            self._check_answers(request)
            self._check_attempts(request)
        for name, attempts in self.attempts.items():
            if name not in self.requests:
                self.add_violation(
                    "unasked", attempts[0].sent, f"{name} was forwarded, but no client sent it"
                )
            for attempt in attempts:
                self._check_drain(attempt)
        return sorted(self.violations, key=lambda violation: violation.at)

    def _check_answers(self, request: ClientRequest) -> None:
        connection, attempts = request.connection, self.attempts.get(request.name, [])
        if len(request.answers) > 1:
            self.add_violation("second answer", request.answers[1][0], f"{request.name} on {connection.kind}")
        if not request.answers:
            if request.left_at is not None:
                return
            is_crossed = (
                connection.closed_at is not None
                and request.sent >= connection.closed_at - SLACK_MS
                and not attempts
            )
            # By the protocol an answer counts as failed, and not as lost, if the controller could not deliver
            # it through no fault of its own: the client read nothing of the data before it, until the end.
            is_undeliverable = (
                connection.is_pipe_full and self.ended is not None and request.due < connection.closed_at
            )
            if not is_crossed and not is_undeliverable:
                sent = ", ".join(f"{attempt.sent:.1f}" for attempt in attempts) or "never"
                self.add_violation(
                    "lost",
                    request.due,
                    (
                        f"{request.name} {request.cls} of {request.sent:.1f} on {connection.kind}, "
                        f"closed at {connection.closed_at}, forwarded at: {sent}"
                    ),
                )
            return
        at, kind, body = request.answers[0]
        if request.left_at is None and not connection.reads_slowly and at > request.due + SLACK_MS:
            self.add_violation("late", at, f"{request.name} {request.cls} {kind}, due {request.due:.1f}")
        results = [b"".join(run.pages) for run in self.runs.get(request.name, ()) if run.answered is not None]
        if kind == "served" and body not in results:
            self.add_violation("foreign rows", at, f"{request.name}: {body[:60]!r}")
        query_class = self.classes[request.cls]
        is_retry_safe = (
            query_class["Effect"] == "repeatable"
            or query_class["Effect"] == "by_key"
            and query_class["Group"] == "all"
        )
        if (
            kind == "Shed"
            and not is_retry_safe
            and any(attempt.may_have_run(at) for attempt in attempts if attempt.sent <= at)
        ):
            self.add_violation("refusal", at, f"{request.name} {request.cls} may have run")
        for attempt in attempts:
            if attempt.sent > at + SLACK_MS:
                self.add_violation("after its answer", attempt.sent, f"{request.name} {kind} at {at:.1f}")

    def _check_attempts(self, request: ClientRequest) -> None:
        attempts, query_class = self.attempts.get(request.name, []), self.classes[request.cls]
        effect_kind, max_attempts = query_class["Effect"], self.settings["Ceilings"]["MaxAttempts"]
        if len(attempts) > max_attempts:
            self.add_violation(
                "attempts",
                attempts[max_attempts].sent,
                f"{request.name} was sent {len(attempts)} times of {max_attempts}",
            )
        for number, attempt in enumerate(attempts):
            if request.left_at is not None and attempt.sent > request.left_at + MAX_START_AFTER_LEAVING_MS:
                after = attempt.sent - request.left_at
                self.add_violation(
                    "client gone",
                    attempt.sent,
                    (
                        f"{request.name} attempt {number} {after:.0f} ms after its client left, "
                        f"{request.connection.kind}"
                    ),
                )
            # the controller may have read a slow reader's request late
            if attempt.sent > request.due + SLACK_MS and not request.connection.reads_slowly:
                self.add_violation("past its time", attempt.sent, f"{request.name}, due {request.due:.1f}")
            before = [other for other in attempts[:number] if other.may_have_run(attempt.sent)]
            if before and effect_kind == "once":
                self.add_violation(
                    "twice", attempt.sent, f"{request.name} may have run at {before[0].address}"
                )
            if before and effect_kind == "by_key":
                window = query_class["MemorySpanMs"]
                after = attempt.sent - before[0].sent
                if after > window + SLACK_MS:
                    self.add_violation(
                        "window", attempt.sent, f"{request.name}: after {after:.0f} ms of {window:.0f}"
                    )
                group_depth = {"all": 0, "zone": 1, "cell": 2}[query_class["Group"]]
                group = self.locations[attempt.address][:group_depth]
                if any(self.locations[other.address][:group_depth] != group for other in before):
                    self.add_violation(
                        "group", attempt.sent, f"{request.name} left its {query_class['Group']}"
                    )
        if effect_kind == "once" or not self.settings["Ceilings"]["ParallelTries"]:
            runs = sorted(self.runs.get(request.name, ()), key=lambda run: run.arrived)
            for earlier, later in combinations(runs, 2):
                if later.arrived < earlier.running_until():
                    self.add_violation(
                        "two out",
                        later.arrived,
                        (
                            f"{request.name} {request.cls}: ran at {earlier.engine} ({earlier.mode}) from "
                            f"{earlier.arrived:.1f} to {earlier.running_until():.1f}, then at {later.engine}"
                        ),
                    )

    def _check_drain(self, attempt: SentAttempt) -> None:
        """Check an attempt against all events about executors at its address."""
        last: dict[str, EndpointReport] = {}
        for report in self.endpoint_reports:
            if report.at <= attempt.sent and report.address == attempt.address:
                if report.instance in last and last[report.instance].state != "in_service" != report.state:
                    continue  # the first report of a drain or end counts
                last[report.instance] = report
        grace = self.settings["Rules"]["DrainGraceMs"] + SLACK_MS
        if all(report.state != "in_service" and attempt.sent > report.at + grace for report in last.values()):
            self.add_violation(
                "drain", attempt.sent, f"{attempt.name} to {attempt.address}: {list(last.values())}"
            )
