"""The simulator's wire protocol: conversion between its messages and the types of `fennelwind.policy`.

The simulator writes batches of lines to the program's standard input and reads its response from standard
output. A line is a message name and name=value pairs, separated by tabs. Only this module knows the names;
`adapter` uses it to read and write lines. The platform's configuration uses the same names for settings. This
module does no I/O. A malformed line raises `WireError`, which names the message and the field.
"""

from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass

from fennelwind import policy

# Messages that structure a batch; the others are events and actions.
BATCH_START, BATCH_END, BATCH_DONE = "BATCH", "YOUR_TURN", "ACK"
INSTANCE_SELECTED, INSTANCE_STARTED, INSTANCE_STOPPED = "ABOUT", "NEW_INSTANCE", "DOWN"
ENGINE_LIST, ENGINE = "LIST", "EXECUTOR"

IDEMPOTENCY = {
    "repeatable": policy.Idempotency.IDEMPOTENT,
    "by_key": policy.Idempotency.KEYED,
    "once": policy.Idempotency.NON_IDEMPOTENT,
}
ENGINE_STATES = {
    "in_service": policy.EngineState.READY,
    "terminating": policy.EngineState.DRAINING,
    "terminated": policy.EngineState.REMOVED,
}
LIST_FORMS = {
    "Partial": policy.ListForm.DELTA,
    "Complete": policy.ListForm.FULL,
    "Persisted": policy.ListForm.CACHED,
    "Error": policy.ListForm.FAILED,
}
ATTEMPT_STATUSES = {
    "OK": policy.AttemptStatus.OK,
    "INTERNAL": policy.AttemptStatus.ERROR,
    "RESOURCE_EXHAUSTED": policy.AttemptStatus.OVERLOADED,
    "DEADLINE_EXCEEDED": policy.AttemptStatus.TIMEOUT,
    "UNAVAILABLE": policy.AttemptStatus.CONNECT_FAILED,
    "ABORTED": policy.AttemptStatus.RESET,
    "CANCELLED": policy.AttemptStatus.CANCELLED,
    "TOO_LATE": policy.AttemptStatus.NOT_STARTED,
}
HAS_ESTIMATE, IS_CLIENT_RETRY = 1, 2  # bits of Options in a request
COST_MEMORY_BITS = 12  # low bits of an answer's Note, which hold the memory; the others hold the work in ms
COST_MEMORY_UNIT_MB = 4.0  # MB in each unit of the memory in a Note
MAX_NUMBER = 1e300  # larger numbers are rejected, as sums of them could overflow in the policy
MAX_QUOTED_NAME = 40  # characters of a message name quoted in an error
MAX_FAILURE_TEXT = 200  # characters of an exception's text in a failure line

EngineLists = Mapping[int, tuple[policy.EngineEndpoint, ...]]  # engine lists by page number


class WireError(Exception):
    """A line that violates the wire protocol."""


def _number(text: str) -> float:
    value = float(text)
    if not -MAX_NUMBER < value < MAX_NUMBER:
        raise ValueError(text)
    return value


def _bool(text: str) -> bool:
    return {"1": True, "true": True, "0": False, "false": False}[text]


def _numbers(text: str) -> tuple[float, ...]:
    return tuple(_number(part) for part in text.split(",") if part)


def _integers(text: str) -> tuple[int, ...]:
    return tuple(int(part) for part in text.split(",") if part)


def _bools(text: str) -> tuple[bool, ...]:
    return tuple(_bool(part) for part in text.split(",") if part)


def _texts(text: str) -> tuple[str, ...]:
    return tuple(part for part in text.split(",") if part)


_MISSING = object()


class Fields:
    """The name=value pairs of one line."""

    def __init__(self, message: str, raw_fields: list[str]) -> None:
        self.message = message
        self.pairs: dict[str, str] = {}
        for raw_field in raw_fields:
            name, separator, value = raw_field.partition("=")
            if not separator:
                raise WireError(f"{message}: field {raw_field[:MAX_QUOTED_NAME]!r} has no value")
            self.pairs[name] = value

    def get(self, name: str, parse: Callable = str, default: object = _MISSING):
        """Return the field parsed by `parse`, or the default if the field is absent.

        Raises `WireError` if the field is absent and there is no default, or if it can't be parsed.
        """
        text = self.pairs.get(name)
        if text is None:
            if default is _MISSING:
                raise WireError(f"{self.message}: field {name} is missing")
            return default
        try:
            return parse(text)
        except (ValueError, KeyError):
            raise WireError(f"{self.message}: field {name} cannot be read") from None


def read_settings(fields: Fields) -> policy.Settings:
    """Return the settings of a NEW_INSTANCE line.

    Raises `WireError` for a field that can't be parsed, and `ValueError` for an invalid setting.
    """
    get = fields.get
    threads = get("FamilyInfo.WidthByClass", _integers, ())
    locks_tables = get("FamilyInfo.ClassLoad", _bools, ())
    waits_for_locks = get("FamilyInfo.ClassWaits", _bools, ())
    classes = tuple(
        _read_class(fields, index, threads, locks_tables, waits_for_locks)
        for index in range(get("Grades.count", int))
    )
    tenants = tuple(
        policy.Tenant(
            name=get(f"Projects.{i}.Name", str, str(i)), quota_per_s=get(f"Projects.{i}.QuotaPerS", _number)
        )
        for i in range(get("Projects.count", int, 0))
    )
    return policy.Settings(
        classes=classes,
        tenants=tenants,
        kind_cores=get("FamilyInfo.KindCores", _integers, ()),
        gateway_count=get("Balancers", int, 1),
        gateway_index=get("Me", int, 0),
        zone=get("Zone", int, 0),
        over_quota_weight_share=get("OverShareWorth", _number, 1.0),
        kind_memory_mb=get("FamilyInfo.SizeMb", _numbers, ()),
        max_grant_share=get("FamilyInfo.MaxGrantShare", _number, 1.0),
        has_memory_grants=get("FamilyInfo.TakesGrants", _bool, False),
        queues_when_short_of_memory=get("FamilyInfo.WhenShort", str, "") == "queue",
        swaps_when_short_of_memory=get("FamilyInfo.WhenShort", str, "") == "swap",
        has_priorities=get("FamilyInfo.RanksHeeded", _bool, False),
        progress_interval_ms=get("FamilyInfo.NotePeriodMs", _number, 0.0),
        reports_cost=get("FamilyInfo.SaysCost", _bool, False),
        report_fields=get("Report.Columns", _texts, ()),
        can_cancel=get("Ceilings.Cancel", _bool, False),
        can_probe=get("Ceilings.Probing", _bool, False),
        can_message_peers=get("Ceilings.Peers", _bool, False),
        allows_concurrent_attempts=get("Ceilings.ParallelTries", _bool, False),
        allows_retry_after=get("Ceilings.RetryAfter", _bool, False),
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


def _read_class(
    fields: Fields,
    index: int,
    threads: tuple[int, ...],
    locks_tables: tuple[bool, ...],
    waits_for_locks: tuple[bool, ...],
) -> policy.QueryClass:
    """Return one class. `threads` and the flags hold one value per class; defaults replace missing ones."""
    get, prefix = fields.get, f"Grades.{index}."
    return policy.QueryClass(
        name=get(prefix + "Name", str, str(index)),
        latency_objective_ms=get(prefix + "AimMs", _number),
        client_timeout_ms=get(prefix + "GiveUpMs", _number),
        priority_weight=get(prefix + "Points", _number),
        latency_objective_slowdown=get(prefix + "AimStretch", _number, 0.0),
        late_weight_share=get(prefix + "LateWorth", _number, 0.0),
        idempotency=get(prefix + "Effect", IDEMPOTENCY.__getitem__),
        # Passed as text: `Settings` validates the scope, so that the error names the setting.
        deduplication_scope=get(prefix + "Group", str, policy.DeduplicationScope.ALL),
        deduplication_window_ms=get(prefix + "MemorySpanMs", _number, 0.0),
        is_ordered_by_key=get(prefix + "SerialByKey", _bool, False),
        zones=get(prefix + "RunsIn", _integers, None),
        kinds=get(prefix + "RunsOn", _integers, None),
        threads=threads[index] if index < len(threads) else 1,
        locks_tables=index < len(locks_tables) and locks_tables[index],
        waits_for_table_locks=index < len(waits_for_locks) and waits_for_locks[index],
    )


def _optional_text(text: str) -> str | None:
    return text or None


@dataclass(slots=True, frozen=True)
class InstanceStart:
    """The settings and the random seed of an instance that starts."""

    settings: policy.Settings
    seed: int


def read_now_ms(fields: Fields) -> float:
    """Return the simulated time of a batch, in ms."""
    return fields.get("NowMs", _number)


def read_instance(fields: Fields) -> int:
    """Return the number of the instance that the next lines belong to."""
    return fields.get("Who", int)


def read_start(fields: Fields) -> InstanceStart:
    """Return the settings and seed of an instance that starts. Raises `WireError` if one is invalid."""
    try:
        return InstanceStart(read_settings(fields), fields.get("Entropy", int))
    except ValueError as error:
        raise WireError(f"invalid {INSTANCE_STARTED} message: {error}") from None


def read_engine_list(
    fields: Fields, lines: Iterator[tuple[str, list[str]]]
) -> tuple[int, tuple[policy.EngineEndpoint, ...]]:
    """Return an engine list's page number and its engines, which are read from the lines that follow."""
    count = fields.get("MembersList", int)
    endpoints = tuple(_read_endpoint(lines) for _ in range(count))
    return fields.get("Page", int), endpoints


def _read_endpoint(lines: Iterator[tuple[str, list[str]]]) -> policy.EngineEndpoint:
    message, raw_fields = next(lines, (BATCH_END, []))
    if message != ENGINE:
        quoted = message[:MAX_QUOTED_NAME]
        raise WireError(f"{ENGINE_LIST}: field MembersList announces more entries, got {quoted}")
    get = Fields(message, raw_fields).get
    return policy.EngineEndpoint(
        engine=get("Executor"),
        state=get("State", ENGINE_STATES.__getitem__),
        zone=get("Dc", int, 0),
        kind=get("Sku", int, 0),
        cell=get("Cell", int, 0),
        weight=get("Nominal", _number, 1.0),
        started_ms=get("LaunchedMs", _number, 0.0),
    )


def read_event(
    message: str, fields: Fields, settings: policy.Settings, engine_lists: EngineLists
) -> policy.Event:
    """Return the event of a line for an instance with these settings.

    Raises `WireError` for an unknown message or an invalid field.
    """
    reader = EVENT_READERS.get(message)
    if reader is not None:
        return reader(fields, settings)
    if message == "PEERS_KNOWN":
        return _read_list_update(fields, engine_lists)
    raise WireError(f"{message[:MAX_QUOTED_NAME]}: unknown message")


def _read_list_update(fields: Fields, engine_lists: EngineLists) -> policy.EngineListUpdate:
    form = fields.get("Form", LIST_FORMS.__getitem__)
    if form == policy.ListForm.FAILED:
        return policy.EngineListUpdate(form)
    page = fields.get("Page", int)
    if page not in engine_lists:
        raise WireError("PEERS_KNOWN: field Page names no list")
    return policy.EngineListUpdate(form, engine_lists[page])


def _read_query(fields: Fields, settings: policy.Settings) -> policy.QueryArrived:
    get = fields.get
    options = get("Options", int, 0)
    return policy.QueryArrived(
        query=get("Txn", int),
        class_index=get("Service", int),
        deadline_ms=get("DeadlineMs", _number),
        tenant=get("Owner", int, 0),
        key=get("Table", _optional_text, None),
        estimated_work_ms=get("ExpectedMs", _number, None) if options & HAS_ESTIMATE else None,
        estimated_memory_mb=get("FootprintMb", _number, 0.0),
        table_group=get("DataGroup", int, None),
        is_client_retry=bool(options & IS_CLIENT_RETRY),
    )


def _read_outcome(fields: Fields, settings: policy.Settings) -> policy.AttemptEnded:
    get = fields.get
    cost = get("Note", int, 0) if settings.reports_cost else 0
    memory_units = cost & (1 << COST_MEMORY_BITS) - 1
    return policy.AttemptEnded(
        query=get("Txn", int),
        attempt=get("Try", int),
        engine=get("Executor"),
        status=get("Disposition", ATTEMPT_STATUSES.__getitem__),
        took_ms=get("TookMs", _number),
        is_final=get("Complete", _bool, False),
        measured_work_ms=float(cost >> COST_MEMORY_BITS) if cost else None,
        measured_memory_mb=memory_units * COST_MEMORY_UNIT_MB if cost else None,
        load=_read_load(fields, settings),
    )


def _read_progress(fields: Fields, settings: policy.Settings) -> policy.AttemptProgress:
    get = fields.get
    return policy.AttemptProgress(
        query=get("Txn", int),
        attempt=get("Try", int),
        kind=get("Sort", int),  # kinds missing in `ProgressKind` are allowed; the rules ignore them
        value=get("Value", _number),
    )


def _read_health(fields: Fields, settings: policy.Settings) -> policy.HealthChecked:
    get = fields.get
    return policy.HealthChecked(
        engine=get("Executor"),
        took_ms=get("TookMs", _number),
        status=get("Disposition", ATTEMPT_STATUSES.__getitem__),
        load=_read_load(fields, settings),
    )


def _read_load(fields: Fields, settings: policy.Settings) -> dict[str, float]:
    """Return the load report of an answer, keyed by the settings' `report_fields`."""
    values = fields.get("Load", _numbers, ())
    return dict(zip(settings.report_fields, values, strict=False))


def _read_peer_message(fields: Fields, settings: policy.Settings) -> policy.PeerMessageReceived:
    get = fields.get
    text = get("Content")
    return policy.PeerMessageReceived(
        sender=get("From", int), data=b"" if text == "-" else get("Content", bytes.fromhex)
    )


def _read_disconnect(fields: Fields, settings: policy.Settings) -> policy.ClientDisconnected:
    return policy.ClientDisconnected(query=fields.get("Txn", int))


def _read_result_start(fields: Fields, settings: policy.Settings) -> policy.ResultStarted:
    return policy.ResultStarted(query=fields.get("Txn", int), attempt=fields.get("Try", int))


def _read_timer(fields: Fields, settings: policy.Settings) -> policy.TimerFired:
    return policy.TimerFired(token=fields.get("Mark", int))


EVENT_READERS: dict[str, Callable[[Fields, policy.Settings], policy.Event]] = {
    "REQUEST": _read_query,
    "ANSWER": _read_outcome,
    "TIMEOUT_FIRED": _read_timer,
    "UPDATE_OF": _read_progress,
    "CLIENT_GONE": _read_disconnect,
    "BEGUN": _read_result_start,
    "HEALTH": _read_health,
    "MAIL": _read_peer_message,
}


def instance_line(instance: int) -> str:
    """Return the line that precedes an instance's actions."""
    return f"SPEAKING\tWho={instance}"


def failure_line(error: Exception) -> str:
    """Return the line that reports an exception raised by an instance."""
    text = " ".join(f"{type(error).__name__}: {error}".split())
    return f"GIVE_IN\tWords={text[:MAX_FAILURE_TEXT]}"


def action_line(action: policy.Action) -> str:
    """Return the line for an action. Raises `TypeError` for an unknown action."""
    match action:
        case policy.StartAttempt(query, engine, timeout_ms):
            timeout = f"\tWithinMs={timeout_ms:.3f}" if timeout_ms else ""
            return f"ISSUE\tTxn={query}\tExecutor={engine}{timeout}"
        case policy.RejectQuery(query, retry_after_ms):
            return f"SHED\tTxn={query}\tWaitMs={retry_after_ms:.3f}"
        case policy.FailQuery(query):
            return f"SURRENDER\tTxn={query}"
        case policy.CancelAttempt(query, attempt):
            return f"RECALL\tTxn={query}\tTry={attempt}"
        case policy.SetGrant(query, memory_mb, priority):
            return f"ASSIGN_TERMS\tTxn={query}\tMemMb={memory_mb:.3f}\tImportance={priority}"
    return _fleet_action_line(action)


def _fleet_action_line(action: policy.Action) -> str:
    """Return the line for an action that concerns no query."""
    match action:
        case policy.StartTimer(delay_ms, token):
            return f"AFTER\tDelayMs={delay_ms:.3f}\tMark={token}"
        case policy.SendPeerMessage(data, peer):
            return f"NOTIFY\tNeighbourId={'*' if peer is None else peer}\tContent={data.hex() or '-'}"
        case policy.CheckHealth(engine):
            return f"SAMPLE\tExecutor={engine}"
        case policy.SubscribeToEngines():
            return "SUBSCRIBE\tOn=1"
        case policy.LogMessage(text):
            return f"RECORD\tWords={' '.join(text.split())}"
    raise TypeError(f"no line for {type(action).__name__}")
