"""The wire and the hosting of instances; every decision is in rules.py."""

import sys
from collections.abc import Callable, Iterator
from typing import TextIO

from fennelwind import policy
from fennelwind.policy.gateway import Gateway

EFFECTS = {"repeatable": "safe", "by_key": "keyed", "once": "unsafe"}
STATES = {"in_service": "ready", "terminating": "draining", "terminated": "gone"}
FORMS = {"Partial": "delta", "Complete": "full", "Persisted": "cached", "Error": "failed"}
STATUSES = {
    "OK": "ok",
    "INTERNAL": "error",
    "RESOURCE_EXHAUSTED": "full",
    "DEADLINE_EXCEEDED": "timeout",
    "UNAVAILABLE": "connect_failed",
    "ABORTED": "reset",
    "CANCELLED": "cancelled",
    "TOO_LATE": "moot",
}
FINITE = 1e300


class WireError(Exception):
    """A line that the wire does not allow."""


def _number(text: str) -> float:
    value = float(text)
    if not -FINITE < value < FINITE:
        raise ValueError(text)
    return value


def _flag(text: str) -> bool:
    return {"1": True, "true": True, "0": False, "false": False}[text]


def _numbers(text: str) -> tuple[float, ...]:
    return tuple(_number(part) for part in text.split(",") if part)


def _whole(text: str) -> tuple[int, ...]:
    return tuple(int(part) for part in text.split(",") if part)


def _flags(text: str) -> tuple[bool, ...]:
    return tuple(_flag(part) for part in text.split(",") if part)


def _texts(text: str) -> tuple[str, ...]:
    return tuple(part for part in text.split(",") if part)


_MISSING = object()


class Fields:
    """The name=value pairs of one line, read one by one."""

    def __init__(self, message: str, parts: list[str]) -> None:
        self.message = message
        self.pairs: dict[str, str] = {}
        for part in parts:
            name, sep, value = part.partition("=")
            if not sep:
                raise WireError(f"{message}: field {part[:40]!r} has no value")
            self.pairs[name] = value

    def get(self, name: str, read: Callable = str, default: object = _MISSING):
        """Return the field, read as told; absent ones take the default if there is one."""
        text = self.pairs.get(name)
        if text is None:
            if default is _MISSING:
                raise WireError(f"{self.message}: field {name} is missing")
            return default
        try:
            return read(text)
        except (ValueError, KeyError):
            raise WireError(f"{self.message}: field {name} cannot be read") from None


def read_settings(conf: Fields) -> policy.Settings:
    """Build the settings from the pairs of a NEW_INSTANCE line."""
    get = conf.get
    threads = get("FamilyInfo.WidthByClass", _whole, ())
    holds, waits = get("FamilyInfo.ClassLoad", _flags, ()), get("FamilyInfo.ClassWaits", _flags, ())
    classes = []
    for i in range(get("Grades.count", int)):
        at = f"Grades.{i}."
        classes.append(
            policy.QueryClass(
                name=get(at + "Name", str, str(i)),
                latency_objective_ms=get(at + "AimMs", _number),
                client_timeout_ms=get(at + "GiveUpMs", _number),
                priority_weight=get(at + "Points", _number),
                latency_objective_slowdown=get(at + "AimStretch", _number, 0.0),
                late_weight_share=get(at + "LateWorth", _number, 0.0),
                idempotency=get(at + "Effect", EFFECTS.__getitem__),
                deduplication_scope=get(at + "Group", str, "all"),
                deduplication_window_ms=get(at + "MemorySpanMs", _number, 0.0),
                is_ordered_by_key=get(at + "SerialByKey", _flag, False),
                zones=get(at + "RunsIn", _whole, None),
                kinds=get(at + "RunsOn", _whole, None),
                threads=threads[i] if i < len(threads) else 1,
                locks_tables=i < len(holds) and holds[i],
                waits_for_table_locks=i < len(waits) and waits[i],
            )
        )
    tenants = tuple(
        policy.Tenant(
            name=get(f"Projects.{i}.Name", str, str(i)), quota_per_s=get(f"Projects.{i}.QuotaPerS", _number)
        )
        for i in range(get("Projects.count", int, 0))
    )
    return policy.Settings(
        classes=tuple(classes),
        tenants=tenants,
        kind_cores=get("FamilyInfo.KindCores", _whole, ()),
        gateway_count=get("Balancers", int, 1),
        gateway_index=get("Me", int, 0),
        zone=get("Zone", int, 0),
        over_quota_weight_share=get("OverShareWorth", _number, 1.0),
        kind_memory_mb=get("FamilyInfo.SizeMb", _numbers, ()),
        max_grant_share=get("FamilyInfo.MaxGrantShare", _number, 1.0),
        has_memory_grants=get("FamilyInfo.TakesGrants", _flag, False),
        queues_when_short_of_memory=get("FamilyInfo.WhenShort", str, "") == "queue",
        swaps_when_short_of_memory=get("FamilyInfo.WhenShort", str, "") == "swap",
        has_priorities=get("FamilyInfo.RanksHeeded", _flag, False),
        progress_interval_ms=get("FamilyInfo.NotePeriodMs", _number, 0.0),
        reports_cost=get("FamilyInfo.SaysCost", _flag, False),
        report_fields=get("Report.Columns", _texts, ()),
        can_cancel=get("Ceilings.Cancel", _flag, False),
        can_probe=get("Ceilings.Probing", _flag, False),
        can_message_peers=get("Ceilings.Peers", _flag, False),
        allows_concurrent_attempts=get("Ceilings.ParallelTries", _flag, False),
        allows_retry_after=get("Ceilings.RetryAfter", _flag, False),
        max_retry_after_ms=get("Ceilings.MaxRetryAfterMs", _number, 0.0),
        max_attempts=get("Ceilings.MaxAttempts", int, 1),
        requires_subscription=get("RegistryMode", str, "pushed") == "on_request",
        answer_slack_ms=get("Rules.AnswerSlackMs", _number, 0.0),
        drain_grace_ms=get("Rules.DrainGraceMs", _number, 0.0),
        cold_capacity_share=get("Rules.ColdShare", _number, 1.0),
        slow_start_ms=get("Rules.RampTimeMs", _number, 0.0),
        overload_multiple=get("Rules.FallMultiple", _number, 0.0),
        overload_window_ms=get("Rules.OverloadForMs", _number, 0.0),
        unresolved_hold_ms=get("Rules.SettleAfterDoubtMs", _number, 0.0),
        retry_budget_free=get("Rules.ExtraFloor", _number, 0.0),
        retry_budget_share=get("Rules.FurtherRatio", _number, 0.0),
        retry_budget_window_ms=get("Rules.LookBackMs", _number, 0.0),
        resolution_ms=get("ResolutionMs", _number, 1.0),
    )


def _key_space(text: str) -> str | None:
    return text or None


class Host:
    """Hosts the instances of one process, each apart from the others."""

    def __init__(self, source: TextIO, sink: TextIO) -> None:
        self.source, self.sink = source, sink
        self.gateways: dict[int, Gateway] = {}
        self.columns: dict[int, tuple[str, ...]] = {}
        self.costs: dict[int, bool] = {}
        self.pages: dict[int, tuple[policy.EngineEndpoint, ...]] = {}

    def run(self) -> None:
        """Answer batches until the input ends."""
        while line := self.source.readline():
            message, *parts = line.rstrip("\r\n").split("\t")
            if message != "BATCH":
                raise WireError(f"{message[:40] or 'empty line'}: a BATCH was expected")
            now = Fields(message, parts).get("NowMs", _number)
            out: list[str] = []
            for who, start, events in self._batch():
                out += self._answer(now, who, start, events)
            out.append("ACK")
            self.sink.write("\n".join(out) + "\n")
            self.sink.flush()

    def _lines(self) -> Iterator[tuple[str, list[str]]]:
        while line := self.source.readline():
            message, *parts = line.rstrip("\r\n").split("\t")
            if message == "YOUR_TURN":
                return
            yield message, parts
        raise WireError("BATCH: the input ended before YOUR_TURN")

    def _batch(self) -> list[tuple[int, tuple[policy.Settings, int] | None, list[policy.Event]]]:
        """Read one batch into stretches: an instance, its start if it starts here, its events."""
        stretches: list = []
        who: int | None = None
        current: list | None = None
        lines = self._lines()
        for message, parts in lines:
            fields = Fields(message, parts)
            if message == "ABOUT":
                who = fields.get("Who", int)
                current = None
                continue
            if message == "LIST":
                count = fields.get("MembersList", int)
                self.pages[fields.get("Page", int)] = tuple(self._entry(lines) for _ in range(count))
                continue
            if who is None:
                raise WireError(f"{message[:40]}: no ABOUT names its instance")
            if message == "DOWN":
                self._stop(who)
                stretches[:] = [s for s in stretches if s[0] != who]
                current = None
                continue
            if message == "NEW_INSTANCE":
                try:
                    start = (read_settings(fields), fields.get("Entropy", int))
                except ValueError as exc:
                    raise WireError(f"NEW_INSTANCE: {exc}") from None
                self.gateways.pop(who, None)
                self.columns[who], self.costs[who] = start[0].report_fields, start[0].reports_cost
                current = [who, start, []]
                stretches.append(current)
                continue
            if who not in self.columns:
                raise WireError(f"{message[:40]}: field Who names no running instance")
            if current is None:
                current = next((s for s in stretches if s[0] == who), None)
                if current is None:
                    current = [who, None, []]
                    stretches.append(current)
            current[2].append(self._event(who, message, fields))
        return stretches

    def _stop(self, who: int) -> None:
        for table in (self.gateways, self.columns, self.costs):
            table.pop(who, None)

    def _entry(self, lines: Iterator[tuple[str, list[str]]]) -> policy.EngineEndpoint:
        message, parts = next(lines, ("YOUR_TURN", []))
        if message != "EXECUTOR":
            raise WireError(f"LIST: field MembersList promises more entries, got {message[:40]}")
        get = Fields(message, parts).get
        return policy.EngineEndpoint(
            engine=get("Executor"),
            state=get("State", STATES.__getitem__),
            zone=get("Dc", int, 0),
            kind=get("Sku", int, 0),
            cell=get("Cell", int, 0),
            weight=get("Nominal", _number, 1.0),
            started_ms=get("LaunchedMs", _number, 0.0),
        )

    def _event(self, who: int, message: str, fields: Fields) -> policy.Event:
        get = fields.get
        match message:
            case "REQUEST":
                options = get("Options", int, 0)
                return policy.QueryArrived(
                    query=get("Txn", int),
                    class_index=get("Service", int),
                    deadline_ms=get("DeadlineMs", _number),
                    tenant=get("Owner", int, 0),
                    key=get("Table", _key_space, None),
                    estimated_work_ms=get("ExpectedMs", _number, None) if options & 1 else None,
                    estimated_memory_mb=get("FootprintMb", _number, 0.0),
                    table_group=get("DataGroup", int, None),
                    is_client_retry=bool(options & 2),
                )
            case "ANSWER":
                note = get("Note", int, 0) if self.costs[who] else 0
                return policy.AttemptEnded(
                    query=get("Txn", int),
                    attempt=get("Try", int),
                    engine=get("Executor"),
                    status=get("Disposition", STATUSES.__getitem__),
                    took_ms=get("TookMs", _number),
                    is_final=get("Complete", _flag, False),
                    measured_work_ms=float(note >> 12) if note else None,
                    measured_memory_mb=(note & 4095) * 4.0 if note else None,
                    load=self._load(who, fields),
                )
            case "TIMEOUT_FIRED":
                return policy.TimerFired(token=get("Mark", int))
            case "PEERS_KNOWN":
                form = get("Form", FORMS.__getitem__)
                if form == "failed":
                    return policy.EngineListUpdate(form=form)
                page = get("Page", int)
                if page not in self.pages:
                    raise WireError("PEERS_KNOWN: field Page names no list")
                return policy.EngineListUpdate(form=form, engines=self.pages[page])
            case "UPDATE_OF":
                return policy.AttemptProgress(
                    query=get("Txn", int),
                    attempt=get("Try", int),
                    kind=get("Sort", int),
                    value=get("Value", _number),
                )
            case "CLIENT_GONE":
                return policy.ClientDisconnected(query=get("Txn", int))
            case "BEGUN":
                return policy.ResultStarted(query=get("Txn", int), attempt=get("Try", int))
            case "HEALTH":
                return policy.HealthChecked(
                    engine=get("Executor"),
                    took_ms=get("TookMs", _number),
                    status=get("Disposition", STATUSES.__getitem__),
                    load=self._load(who, fields),
                )
            case "MAIL":
                text = get("Content")
                return policy.PeerMessageReceived(
                    sender=get("From", int), data=b"" if text == "-" else get("Content", bytes.fromhex)
                )
        raise WireError(f"{message[:40]}: unknown message")

    def _load(self, who: int, fields: Fields) -> dict[str, float]:
        values = fields.get("Load", _numbers, ())
        return dict(zip(self.columns[who], values, strict=False))

    def _answer(
        self, now: float, who: int, start: tuple[policy.Settings, int] | None, events: list[policy.Event]
    ) -> list[str]:
        """Let one instance decide, and put its actions into lines."""
        try:
            if start is not None:
                self.gateways[who] = Gateway(*start)
            actions = self.gateways[who].step(now, events)
            lines = [_line(action) for action in actions]
        except Exception as exc:  # the wire has a message for a module that fails
            words = " ".join(f"{type(exc).__name__}: {exc}".split())
            lines = [f"GIVE_IN\tWords={words[:200]}"]
        return [f"SPEAKING\tWho={who}", *lines] if lines else []


def _line(action: policy.Action) -> str:
    match action:
        case policy.StartAttempt(query, engine, timeout):
            within = f"\tWithinMs={timeout:.3f}" if timeout else ""
            return f"ISSUE\tTxn={query}\tExecutor={engine}{within}"
        case policy.RejectQuery(query, wait):
            return f"SHED\tTxn={query}\tWaitMs={wait:.3f}"
        case policy.FailQuery(query):
            return f"SURRENDER\tTxn={query}"
        case policy.CancelAttempt(query, attempt):
            return f"RECALL\tTxn={query}\tTry={attempt}"
        case policy.SetGrant(query, memory, priority):
            return f"ASSIGN_TERMS\tTxn={query}\tMemMb={memory:.3f}\tImportance={priority}"
        case policy.StartTimer(delay, token):
            return f"AFTER\tDelayMs={delay:.3f}\tMark={token}"
        case policy.SendPeerMessage(data, peer):
            return f"NOTIFY\tNeighbourId={'*' if peer is None else peer}\tContent={data.hex() or '-'}"
        case policy.CheckHealth(engine):
            return f"SAMPLE\tExecutor={engine}"
        case policy.SubscribeToEngines():
            return "SUBSCRIBE\tOn=1"
        case policy.LogMessage(text):
            return f"RECORD\tWords={' '.join(text.split())}"
    raise TypeError(f"no line for {type(action).__name__}")


def main() -> int:
    """Serve the wire on standard input and output."""
    sys.stdin.reconfigure(encoding="utf-8", newline="\n")
    sys.stdout.reconfigure(encoding="utf-8", newline="\n")
    try:
        Host(sys.stdin, sys.stdout).run()
    except (WireError, UnicodeDecodeError) as exc:
        print(f"fennelwind.adapter: {' '.join(str(exc).split())}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
