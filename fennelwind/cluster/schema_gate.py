"""The schema gate of one controller: registers what sessions read; checks schema changes against these reads.

Subscriptions are registered in the replicated state, which checks each published schema change against them.
An admitted change is rolled out under the lease of its table (`schema_rollout`).

A subscriber's session may open before it is registered: the reply to OpenSession reports the result of the
registration only if that arrives within `REGISTRATION_WAIT_MS`. Sessions with equal subscriptions share one
registration. The registration is renewed while any of these sessions is open, and then expires at the end of
its term. A publisher's statement waits for the replicated state and for the engines, within the statement's
timeout.
"""

from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from random import Random

from fennelwind.cluster import gate_pb2
from fennelwind.cluster.backoff import Backoff
from fennelwind.cluster.errors import ClusterError, OutcomeUnknownError
from fennelwind.cluster.raft_client import RaftClient
from fennelwind.cluster.state_machines import CONTRACTS
from fennelwind.cluster.wakeup import Wakeup
from fennelwind.errors import FennelwindError
from fennelwind.loop import Loop, Once
from fennelwind.schema_compatibility import contracts_pb2 as pb
from fennelwind.schema_compatibility.rules import RULES, RULES_VERSION
from fennelwind.schema_compatibility.session_options import (
    Publication,
    Subscription,
    parse_publication,
    parse_subscription,
)
from fennelwind.schema_compatibility.state_machine import FINISHED, LAPSED, UNDONE, WITHDRAWN

REGISTRATION_WAIT_MS = 500.0  # ms that OpenSession waits for the result of a registration
PROPOSE_TIMEOUT_MS = 4000.0  # ms for one command
MIN_RETRY_MS, MAX_RETRY_MS = 500.0, 30_000.0  # ms between attempts to register
RENEWALS_PER_TERM = 3.0  # renewals of a subscription within one term
MIN_RENEWAL_INTERVAL_MS = 3000.0  # ms between renewals for the shortest term allowed
MAX_RENEWALS_PER_COMMAND = 1000
MAX_SUBSCRIBERS = 10_000  # distinct subscriptions per controller; the replicated state holds 5 times as many
MAX_PUBLICATIONS = 256  # publishers' statements in progress
WATCH_MS = 20_000.0  # ms until a watch for a schema change's outcome is repeated
MAX_TEXT_LENGTH = 4000  # characters of a status text; longer texts are cut
OUTCOME_NAMES = {FINISHED: "finished", UNDONE: "undone", WITHDRAWN: "withdrawn", LAPSED: "lapsed"}


class GateError(FennelwindError):
    """Base class of the schema gate's errors for a publisher's statement; `state` is the SQLSTATE."""

    code = "gate-error"
    advice = "docs/operators/contracts.md tells how changes of schemas pass the gate."
    state = "HY000"


class SchemaChangeRejectedError(GateError):
    """The change would break a subscriber, or can't be checked as submitted; nothing was changed."""

    code = "gate-change-refused"
    advice = (
        "Read which subscribers would break and what the text names instead: a column added at the end "
        "with a default, a second version beside the first, or wait until a named subscriber is gone."
    )
    state = "23000"


class SchemaChangeBlockedError(GateError):
    """The change has to wait; nothing was changed. `again_ms` is the time until a retry."""

    code = "gate-change-not-now"
    advice = (
        "Ask again after the time that is told: the council has no leader, another change of the table "
        "is under way, or its shards are being moved. Queries go on meanwhile."
    )
    state = "53000"


class SchemaChangeInProgressError(GateError):
    """The change was admitted and has not ended within the publisher's timeout; its rollout continues."""

    code = "gate-change-open"
    advice = (
        "Ask nothing anew: the fleet carries the change on, or takes it back. A further statement of "
        "the same table is told when that has ended; look at the engines that the log names."
    )
    state = "HYT00"


class SchemaChangeRevertedError(GateError):
    """The change was admitted and then reverted: engines have the table's old schema."""

    code = "gate-change-taken-back"
    advice = "An engine refused the statement or did not come back; see its log, mend that and ask anew."
    state = "40000"


@dataclass(slots=True, eq=False)
class Subscriber:
    """A subscription shared by all sessions of this controller that declared the same reads."""

    subscription: Subscription
    first_result: Once  # the text of the first answer to the registration
    sessions: int = 1
    registration_number: int = 0  # 0 if not registered now
    renew_at_ms: float = 0.0
    result_text: str = ""


class SchemaGate:
    """One controller's schema gate."""

    def __init__(
        self,
        loop: Loop,
        client: RaftClient,
        engines: Callable[[], Iterable[str]],
        seed: str,
        log: Callable[[str, dict], None],
    ) -> None:
        self.loop, self.client, self.engines, self.log = loop, client, engines, log
        self.random = Random(seed)
        self.subscribers: dict[Subscription, Subscriber] = {}
        self.publications_in_progress = 0
        self.counts: Counter[str] = Counter()
        self.is_closed = False
        self.is_unavailable = False  # whether the last command got no answer; OpenSession does not wait then
        self._wakeup = Wakeup(loop)
        self._registering: set[Subscriber] = set()
        self._tasks = []

    def start(self) -> None:
        """Start renewing registered subscriptions."""
        self._tasks = [self.loop.spawn(self._renew_forever, name="gate: renewals")]

    def close(self) -> None:
        """Stop renewals, so that subscriptions expire, and end the waits for schema changes."""
        self.is_closed = True
        for task in self._tasks:
            task.cancel()

    # Subscribers.

    def subscribe(self, configuration: dict[str, str], protocol: int, database: str) -> Subscriber | None:
        """Subscribe a session to its declared reads, if any, or return None. Raises `SessionOptionError`."""
        declared = parse_subscription(configuration, protocol, database)
        if declared is None:
            return None
        known = self.subscribers.get(declared)
        if known is not None:
            known.sessions += 1
            return known
        subscriber = Subscriber(declared, Once(self.loop))
        if len(self.subscribers) >= MAX_SUBSCRIBERS:
            self.counts["subscribers over the bound"] += 1
            subscriber.first_result.set("not registered: too many subscribers here")
            subscriber.sessions = 0
            return subscriber
        self.subscribers[declared] = subscriber
        self._start_registering(subscriber)
        return subscriber

    def unsubscribe(self, subscriber: Subscriber) -> None:
        """Note that a session has ended; after the last session the subscription is no longer renewed."""
        subscriber.sessions -= 1
        if subscriber.sessions <= 0 and self.subscribers.get(subscriber.subscription) is subscriber:
            del self.subscribers[subscriber.subscription]

    def registration_text(self, subscriber: Subscriber) -> str:
        """Return the result of a registration after a short wait; "later" if the result is not known yet."""
        if not subscriber.first_result.ready and not self.is_unavailable:
            try:
                with self.loop.deadline(REGISTRATION_WAIT_MS):
                    subscriber.first_result.wait()
            except TimeoutError:
                pass
        return subscriber.first_result.value if subscriber.first_result.ready else "later"

    def _start_registering(self, subscriber: Subscriber) -> None:
        if subscriber not in self._registering:
            self._registering.add(subscriber)
            self.loop.spawn(self._register, subscriber, name="gate: register")

    def _register(self, subscriber: Subscriber) -> None:
        """Register a subscription, retrying while a session uses it."""
        backoff = Backoff(self.random, MIN_RETRY_MS, MAX_RETRY_MS)
        try:
            while subscriber.sessions > 0:
                try:
                    answer = self._propose(subscriber.subscription.command())
                except ClusterError as exc:
                    self.is_unavailable = True
                    self.counts[exc.code] += 1
                    self.loop.sleep(backoff.next_ms())
                    continue
                if answer.refusal == pb.TOO_MANY:
                    self.loop.sleep(max(backoff.next_ms(), float(answer.again_ms)))
                    continue
                self._handle_registration(subscriber, answer)
                return
        finally:
            self._registering.discard(subscriber)

    def _handle_registration(self, subscriber: Subscriber, answer: pb.ContractAnswer) -> None:
        if answer.refusal:
            reason = "; ".join(map(finding_text, answer.found)) or answer.text
            subscriber.result_text = f"refused: {pb.Refusal.Name(answer.refusal)}: {reason}"[:MAX_TEXT_LENGTH]
            self.log(
                "subscription rejected",
                {"subscriber": subscriber.subscription.name, "text": subscriber.result_text},
            )
        else:
            subscriber.registration_number = answer.number
            subscriber.renew_at_ms = self.loop.now() + self._renewal_interval_ms(subscriber)
            since = "; ".join(map(finding_text, answer.since))
            subscriber.result_text = f"registered{f'; since it lapsed: {since}' if since else ''}"[
                :MAX_TEXT_LENGTH
            ]
            self._wakeup.notify()
        if not subscriber.first_result.set(subscriber.result_text):
            subscriber.first_result.value = subscriber.result_text

    @staticmethod
    def _renewal_interval_ms(subscriber: Subscriber) -> float:
        return max(subscriber.subscription.term_s * 1000.0 / RENEWALS_PER_TERM, MIN_RENEWAL_INTERVAL_MS)

    def _renew_forever(self) -> None:
        while True:
            registered = [s for s in self.subscribers.values() if s.registration_number]
            if not registered:
                self._wakeup.wait()
                continue
            now = self.loop.now()
            next_renewal_ms = min(s.renew_at_ms for s in registered)
            if next_renewal_ms > now:
                # A subscription registered meanwhile may be due sooner.
                self.loop.sleep(min(next_renewal_ms - now, MIN_RENEWAL_INTERVAL_MS))
                continue
            # Subscriptions that are due soon are renewed by the same command.
            due = [s for s in registered if s.renew_at_ms <= now + self._renewal_interval_ms(s) / 4.0][
                :MAX_RENEWALS_PER_COMMAND
            ]
            command = pb.ContractCommand(
                rules=RULES_VERSION, renew=pb.Renew(numbers=[s.registration_number for s in due])
            )
            try:
                answer = self._propose(command)
            except ClusterError as exc:
                self.counts[exc.code] += 1
                self.loop.sleep(MIN_RETRY_MS)
                continue
            expired = set(answer.gone)
            for subscriber in due:
                subscriber.renew_at_ms = self.loop.now() + self._renewal_interval_ms(subscriber)
                if subscriber.registration_number in expired:  # expired while the Raft group was unavailable
                    subscriber.registration_number = 0
                    self._start_registering(subscriber)

    # Publishers.

    def publication(self, overlay: dict[str, str], database: str) -> Publication | None:
        """Return the schema change that a statement declares, or None. Raises `SessionOptionError`."""
        return parse_publication(overlay, database)

    def publish(self, change: Publication, statement: str, until_ms: float) -> list[str]:
        """Have a schema change checked and rolled out; return the check's findings. Raises `GateError`."""
        if self.publications_in_progress >= MAX_PUBLICATIONS:
            raise SchemaChangeBlockedError(f"{MAX_PUBLICATIONS} changes wait here", again_ms=1000)
        self.publications_in_progress += 1
        try:
            return self._publish(change, statement, until_ms)
        finally:
            self.publications_in_progress -= 1

    def _publish(self, change: Publication, statement: str, until_ms: float) -> list[str]:
        engines = tuple(sorted(self.engines()))
        if not engines:
            raise SchemaChangeBlockedError("no engine is known here yet", again_ms=1000)
        command = change.command(engines, (statement,))
        try:
            answer = self._propose(command, min(PROPOSE_TIMEOUT_MS, until_ms - self.loop.now()))
        except OutcomeUnknownError as exc:
            raise SchemaChangeInProgressError(f"{change.table}: {exc}") from None
        except ClusterError as exc:
            retry_after_ms = int(exc.facts.get("again_ms", MIN_RETRY_MS))
            raise SchemaChangeBlockedError(f"{change.table}: {exc}", again_ms=retry_after_ms) from None
        findings = finding_lines(answer)
        if answer.refusal in (pb.CHANGING, pb.MOVING, pb.TOO_MANY):
            raise SchemaChangeBlockedError(
                f"{change.table}: {pb.Refusal.Name(answer.refusal)}", again_ms=answer.again_ms
            )
        if answer.refusal:
            reasons = findings or [pb.Refusal.Name(answer.refusal), answer.text]
            if answer.refusal == pb.VERSION:
                reasons = [f"the table's version is {answer.version}: look at it and say that one"]
            raise SchemaChangeRejectedError(
                f"{change.table}: {'; '.join(filter(None, reasons))}"[:MAX_TEXT_LENGTH],
                refusal=pb.Refusal.Name(answer.refusal),
            )
        self.log("schema change admitted", {"table": change.table, "number": answer.number})
        outcome = self._wait_for_outcome(answer.number, until_ms)
        if outcome == FINISHED:
            return findings
        if not outcome:
            raise SchemaChangeInProgressError(
                f"{change.table}: change {answer.number} goes on", number=answer.number
            )
        raise SchemaChangeRevertedError(
            f"{change.table}: change {answer.number} is {OUTCOME_NAMES[outcome]}", number=answer.number
        )

    def _wait_for_outcome(self, number: int, until_ms: float) -> int:
        """Wait for the outcome of a schema change; return 0 when the time is up or the gate is closed."""
        query, last_state = gate_pb2.ChangeQuery(number=number).SerializeToString(), None
        while self.loop.now() < until_ms and not self.is_closed:
            wait_ms = min(WATCH_MS, max(0.0, until_ms - self.loop.now()))
            try:
                with self.loop.deadline_at(until_ms):
                    last_state = self.client.watch(
                        CONTRACTS, wait_ms=wait_ms, query=query, unlike=last_state
                    ).state
            except TimeoutError:
                return 0
            except ClusterError:
                self.loop.sleep(min(MIN_RETRY_MS, max(0.0, until_ms - self.loop.now())))
                continue
            progress = gate_pb2.ChangeTold.FromString(last_state)
            if not progress.under_way:
                return progress.outcome
        return 0

    def _propose(
        self, command: pb.ContractCommand, within_ms: float = PROPOSE_TIMEOUT_MS
    ) -> pb.ContractAnswer:
        body = self.client.propose(CONTRACTS, command.SerializeToString(deterministic=True), within_ms)
        self.is_unavailable = False
        return pb.ContractAnswer.FromString(body)


def finding_text(finding: pb.Found) -> str:
    """Return a finding as text, with the alternative that the violated rule suggests."""
    rule = RULES.get(finding.rule)
    column = f"{finding.column}: " if finding.column else ""
    detail = f" ({finding.what})" if finding.what else ""
    if rule is None:
        return f"{column}{finding.rule}{detail}"
    return f"{column}{rule.description}{detail}. {rule.remedy}".rstrip()


def finding_lines(answer: pb.ContractAnswer) -> list[str]:
    """Return the findings of a check as lines, beginning with the subscribers that would break."""
    lines = [
        f"{', '.join(readers.names)}: {finding_text(finding)}"
        for readers in answer.readers
        for finding in readers.found
    ]
    if answer.more:
        lines.append(f"and {answer.more} subscribers more")
    return lines + [finding_text(finding) for finding in answer.found]
