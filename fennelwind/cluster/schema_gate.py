"""The gate for schema changes on one controller.

What its sessions read is registered in the replicated state, what its publishers change is checked there, and
an admitted change is carried out under the lease of its table.

A subscriber's session opens at once: its subscription is registered beside it, and told with its answer where
that comes within `TOLD_MS`. Sessions that read alike share one subscription, renewed while any is open; then
it lapses by its term. A publisher's statement waits for the record and for the engines, within its time-out.
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

TOLD_MS = 500.0  # ms that a subscriber's OpenSession waits for the record's word; then it goes on without
ASK_MS = 4000.0  # ms for one command
AGAIN_MS, AGAIN_MOST_MS = 500.0, 30_000.0  # ms between tries to register
RENEW_PART = 3.0  # a subscription is renewed when this part of its term is over
RENEW_LEAST_MS = 3000.0  # ms between renewals of the shortest term that the record takes
NUMBERS_MOST = 1000  # renewed in one command
SUBSCRIBERS_MOST = 10_000  # different ones of one controller; the record takes five times as many
PUBLISHERS_MOST = 256  # statements of publishers that wait at a time
WATCH_MS = 20_000.0  # ms of one watch for a change's outcome
TEXT_MOST = 4000  # letters of a verdict in one status; the rest is counted
ENDS = {FINISHED: "finished", UNDONE: "undone", WITHDRAWN: "withdrawn", LAPSED: "lapsed"}


class GateError(FennelwindError):
    """The root of what a publisher's statement meets at the gate; `state` is its SQLSTATE."""

    code = "gate-error"
    advice = "docs/operators/contracts.md tells how changes of schemas pass the gate."
    state = "HY000"


class SchemaChangeRejectedError(GateError):
    """The change would break a subscriber, or can't be judged as it was asked; nothing was changed."""

    code = "gate-change-refused"
    advice = (
        "Read which subscribers would break and what the text names instead: a column added at the end "
        "with a default, a second version beside the first, or wait until a named subscriber is gone."
    )
    state = "23000"


class SchemaChangeBlockedError(GateError):
    """The change has to wait; nothing was changed. `again_ms` is a time to come back."""

    code = "gate-change-not-now"
    advice = (
        "Ask again after the time that is told: the council has no leader, another change of the table "
        "is under way, or its shards are being moved. Queries go on meanwhile."
    )
    state = "53000"


class SchemaChangeInProgressError(GateError):
    """The change was admitted and has not ended within the publisher's time; it goes on by itself."""

    code = "gate-change-open"
    advice = (
        "Ask nothing anew: the fleet carries the change on, or takes it back. A further statement of "
        "the same table is told when that has ended; look at the engines that the log names."
    )
    state = "HYT00"


class SchemaChangeRevertedError(GateError):
    """The change was admitted and then taken back: engines have the table's old schema."""

    code = "gate-change-taken-back"
    advice = "An engine refused the statement or did not come back; see its log, mend that and ask anew."
    state = "40000"


@dataclass(slots=True, eq=False)
class Subscriber:
    """One form of subscription, of all sessions here that read alike."""

    said: Subscription
    told: Once  # the record's word has come once, in text
    sessions: int = 1
    number: int = 0  # on the record; 0: not registered now
    renew_at: float = 0.0
    text: str = ""


class SchemaGate:
    """One controller's part in it."""

    def __init__(
        self,
        loop: Loop,
        client: RaftClient,
        engines: Callable[[], Iterable[str]],
        seed: str,
        said: Callable[[str, dict], None],
    ) -> None:
        self.loop, self.client, self.engines, self.said = loop, client, engines, said
        self.random = Random(seed)
        self.subscribers: dict[Subscription, Subscriber] = {}
        self.publishing = 0
        self.counts: Counter[str] = Counter()
        self.closed = False
        self.lost = False  # the record did not answer the last time: nobody waits for it at OpenSession
        self._wakeup = Wakeup(loop)
        self._registering: set[Subscriber] = set()
        self._tasks = []

    def start(self) -> None:
        """Renew what is registered, for as long as the controller runs."""
        self._tasks = [self.loop.spawn(self._renew, name="gate: renewals")]

    def close(self) -> None:
        """Renew nothing more: subscriptions lapse by their terms. Who waits for a change is told so."""
        self.closed = True
        for task in self._tasks:
            task.cancel()

    # Subscribers.

    def subscribe(self, configuration: dict[str, str], protocol: int, database: str) -> Subscriber | None:
        """Take what a session says it reads; None if it says nothing. Raises `SessionOptionError`."""
        said = parse_subscription(configuration, protocol, database)
        if said is None:
            return None
        known = self.subscribers.get(said)
        if known is not None:
            known.sessions += 1
            return known
        subscriber = Subscriber(said, Once(self.loop))
        if len(self.subscribers) >= SUBSCRIBERS_MOST:
            self.counts["subscribers over the bound"] += 1
            subscriber.told.set("not registered: too many subscribers here")
            subscriber.sessions = 0
            return subscriber
        self.subscribers[said] = subscriber
        self._register_soon(subscriber)
        return subscriber

    def leave(self, subscriber: Subscriber) -> None:
        """Note that a session has ended; with the last one the subscription is renewed no more."""
        subscriber.sessions -= 1
        if subscriber.sessions <= 0 and self.subscribers.get(subscriber.said) is subscriber:
            del self.subscribers[subscriber.said]

    def word(self, subscriber: Subscriber) -> str:
        """Return what the record says to a subscription, after a short wait; "later" where it is late."""
        if not subscriber.told.ready and not self.lost:
            try:
                with self.loop.deadline(TOLD_MS):
                    subscriber.told.wait()
            except TimeoutError:
                pass
        return subscriber.told.value if subscriber.told.ready else "later"

    def _register_soon(self, subscriber: Subscriber) -> None:
        if subscriber not in self._registering:
            self._registering.add(subscriber)
            self.loop.spawn(self._register, subscriber, name="gate: register")

    def _register(self, subscriber: Subscriber) -> None:
        """Register a subscription, sooner or later, as long as a session wants it."""
        waits = Backoff(self.random, AGAIN_MS, AGAIN_MOST_MS)
        try:
            while subscriber.sessions > 0:
                try:
                    answer = self._ask(subscriber.said.command())
                except ClusterError as exc:
                    self.lost = True
                    self.counts[exc.code] += 1
                    self.loop.sleep(waits.next_ms())
                    continue
                if answer.refusal == pb.TOO_MANY:
                    self.loop.sleep(max(waits.next_ms(), float(answer.again_ms)))
                    continue
                self._registered(subscriber, answer)
                return
        finally:
            self._registering.discard(subscriber)

    def _registered(self, subscriber: Subscriber, answer: pb.ContractAnswer) -> None:
        if answer.refusal:
            found = "; ".join(map(finding_text, answer.found)) or answer.text
            subscriber.text = f"refused: {pb.Refusal.Name(answer.refusal)}: {found}"[:TEXT_MOST]
            self.said("subscriber refused", {"subscriber": subscriber.said.name, "text": subscriber.text})
        else:
            subscriber.number = answer.number
            subscriber.renew_at = self.loop.now() + self._renew_ms(subscriber)
            since = "; ".join(map(finding_text, answer.since))
            subscriber.text = f"registered{f'; since it lapsed: {since}' if since else ''}"[:TEXT_MOST]
            self._wakeup.notify()
        if not subscriber.told.set(subscriber.text):
            subscriber.told.value = subscriber.text

    @staticmethod
    def _renew_ms(subscriber: Subscriber) -> float:
        return max(subscriber.said.term_s * 1000.0 / RENEW_PART, RENEW_LEAST_MS)

    def _renew(self) -> None:
        while True:
            registered = [s for s in self.subscribers.values() if s.number]
            if not registered:
                self._wakeup.wait()
                continue
            now = self.loop.now()
            first = min(s.renew_at for s in registered)
            if first > now:
                self.loop.sleep(min(first - now, RENEW_LEAST_MS))  # one that came meanwhile may be due sooner
                continue
            # Whatever falls due soon goes along.
            due = [s for s in registered if s.renew_at <= now + self._renew_ms(s) / 4.0][:NUMBERS_MOST]
            command = pb.ContractCommand(rules=RULES_VERSION, renew=pb.Renew(numbers=[s.number for s in due]))
            try:
                answer = self._ask(command)
            except ClusterError as exc:
                self.counts[exc.code] += 1
                self.loop.sleep(AGAIN_MS)
                continue
            gone = set(answer.gone)
            for subscriber in due:
                subscriber.renew_at = self.loop.now() + self._renew_ms(subscriber)
                if subscriber.number in gone:  # it lapsed while the council was away
                    subscriber.number = 0
                    self._register_soon(subscriber)

    # Publishers.

    def publication(self, overlay: dict[str, str], database: str) -> Publication | None:
        """Return the schema change that a statement carries, or None. Raises `SessionOptionError`."""
        return parse_publication(overlay, database)

    def publish(self, change: Publication, statement: str, until: float) -> list[str]:
        """Have a change judged and made; return what is to be known of it. Raises `GateError`."""
        if self.publishing >= PUBLISHERS_MOST:
            raise SchemaChangeBlockedError(f"{PUBLISHERS_MOST} changes wait here", again_ms=1000)
        self.publishing += 1
        try:
            return self._publish(change, statement, until)
        finally:
            self.publishing -= 1

    def _publish(self, change: Publication, statement: str, until: float) -> list[str]:
        engines = tuple(sorted(self.engines()))
        if not engines:
            raise SchemaChangeBlockedError("no engine is known here yet", again_ms=1000)
        command = change.command(engines, (statement,))
        try:
            answer = self._ask(command, min(ASK_MS, until - self.loop.now()))
        except OutcomeUnknownError as exc:
            raise SchemaChangeInProgressError(f"{change.table}: {exc}") from None
        except ClusterError as exc:
            again = int(exc.facts.get("again_ms", AGAIN_MS))
            raise SchemaChangeBlockedError(f"{change.table}: {exc}", again_ms=again) from None
        told = verdict_lines(answer)
        if answer.refusal in (pb.CHANGING, pb.MOVING, pb.TOO_MANY):
            raise SchemaChangeBlockedError(
                f"{change.table}: {pb.Refusal.Name(answer.refusal)}", again_ms=answer.again_ms
            )
        if answer.refusal:
            why = told or [pb.Refusal.Name(answer.refusal), answer.text]
            if answer.refusal == pb.VERSION:
                why = [f"the table's version is {answer.version}: look at it and say that one"]
            raise SchemaChangeRejectedError(
                f"{change.table}: {'; '.join(filter(None, why))}"[:TEXT_MOST],
                refusal=pb.Refusal.Name(answer.refusal),
            )
        self.said("change admitted", {"table": change.table, "number": answer.number})
        outcome = self._outcome(answer.number, until)
        if outcome == FINISHED:
            return told
        if not outcome:
            raise SchemaChangeInProgressError(
                f"{change.table}: change {answer.number} goes on", number=answer.number
            )
        raise SchemaChangeRevertedError(
            f"{change.table}: change {answer.number} is {ENDS[outcome]}", number=answer.number
        )

    def _outcome(self, number: int, until: float) -> int:
        """Wait for what becomes of a change; 0 when the time is up."""
        query, seen = gate_pb2.ChangeQuery(number=number).SerializeToString(), None
        while self.loop.now() < until and not self.closed:
            wait = min(WATCH_MS, max(0.0, until - self.loop.now()))
            try:
                with self.loop.deadline_at(until):
                    seen = self.client.watch(CONTRACTS, wait_ms=wait, query=query, unlike=seen).state
            except TimeoutError:
                return 0
            except ClusterError:
                self.loop.sleep(min(AGAIN_MS, max(0.0, until - self.loop.now())))
                continue
            told = gate_pb2.ChangeTold.FromString(seen)
            if not told.under_way:
                return told.outcome
        return 0

    def _ask(self, command: pb.ContractCommand, within_ms: float = ASK_MS) -> pb.ContractAnswer:
        raw = self.client.propose(CONTRACTS, command.SerializeToString(deterministic=True), within_ms)
        self.lost = False
        return pb.ContractAnswer.FromString(raw)


def finding_text(found: pb.Found) -> str:
    """Return a finding as a sentence, with what can be done instead."""
    rule = RULES.get(found.rule)
    column = f"{found.column}: " if found.column else ""
    about = f" ({found.what})" if found.what else ""
    if rule is None:
        return f"{column}{found.rule}{about}"
    return f"{column}{rule.description}{about}. {rule.remedy}".rstrip()


def verdict_lines(answer: pb.ContractAnswer) -> list[str]:
    """Return a verdict in lines, those who would break first."""
    lines = [
        f"{', '.join(readers.names)}: {finding_text(found)}"
        for readers in answer.readers
        for found in readers.found
    ]
    if answer.more:
        lines.append(f"and {answer.more} subscribers more")
    return lines + [finding_text(found) for found in answer.found]
