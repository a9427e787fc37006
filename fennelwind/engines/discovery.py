"""The subscription to discovery: lists of engines and their changes, as lines of JSON.

The controller always sends `{"subscribe": 0}`, so discovery answers with the complete list, then with changes
as they occur (`index` is not used): `{"form": "full" | "delta", "index": N, "now_ms": T, "engines": [...]}`.
An engine is `{"engine": "HOST:PORT", "state": "ready" | "draining" | "gone", "zone": NAME, "kind": NAME,
"cell": N, "weight": X, "launched_ms": T}`, with times on discovery's own clock; only their differences to
`now_ms` are used. An invalid line ends the subscription, as skipping it would leave an incomplete list that
would be taken for a complete one.
"""

import json
from collections.abc import Callable
from typing import Any

from fennelwind import policy
from fennelwind.errors import FennelwindError
from fennelwind.loop import Address, DeadlineExceeded, Loop, Stream, StreamReset, Task, parse_address

MAX_LINE_BYTES = 4 * 1024 * 1024  # bytes of one line; a list of about 20,000 engines
CONNECT_TIMEOUT_MS = 2000.0  # ms to connect and to write the subscription
# ms until the first list: doubled each time that it did not come, as discovery may be slow.
MIN_ANSWER_TIMEOUT_MS, MAX_ANSWER_TIMEOUT_MS = 2000.0, 32_000.0
# ms between subscriptions, doubled after each failure; jitter shortens each pause by up to half.
MIN_BACKOFF_MS, MAX_BACKOFF_MS = 250.0, 2000.0
FORMS = (policy.ListForm.FULL, policy.ListForm.DELTA)


class DiscoveryError(FennelwindError, ValueError):
    """A line from discovery is not a valid endpoint list."""

    code = "discovery-unreadable"
    advice = (
        "Look at what discovery sends: lines of JSON as engines/discovery.py describes them. The "
        "engines known before are used meanwhile, with growing caution."
    )


class StartTimes:
    """Engines' start times, converted to the controller's clock only once each, so that they don't drift."""

    def __init__(self) -> None:
        self._known: dict[str, tuple[float, float]] = {}

    def local(self, engine: str, started_ms: float, remote_now_ms: float, now_ms: float) -> float:
        """Return a start time on the controller's clock, in ms; 0 means long ago."""
        if not started_ms:
            return 0.0
        known = self._known.get(engine)
        if known is None or known[0] != started_ms:
            # exactly 0.0 would mean "long ago"
            local_ms = (now_ms - max(remote_now_ms - started_ms, 0.0)) or -1.0
            known = self._known[engine] = started_ms, local_ms
        return known[1]


def read_list(
    line: bytes, zones: tuple[str, ...], kinds: tuple[str, ...], start_times: StartTimes, now_ms: float
) -> policy.EngineListUpdate:
    """Parse a line into an event for the policy. Raises `DiscoveryError`."""
    try:
        message = json.loads(line)
        form = message["form"]
        if form not in FORMS:
            raise DiscoveryError(f"form {form!r}")
        engines = tuple(
            _read_engine(message, fields, zones, kinds, start_times, now_ms) for fields in message["engines"]
        )
    except (ValueError, KeyError, TypeError, AttributeError) as exc:
        raise DiscoveryError(f"{type(exc).__name__}: {exc}") from exc
    return policy.EngineListUpdate(policy.ListForm(form), engines)


def _read_engine(
    message: dict[str, Any],
    fields: dict[str, Any],
    zones: tuple[str, ...],
    kinds: tuple[str, ...],
    start_times: StartTimes,
    now_ms: float,
) -> policy.EngineEndpoint:
    engine, state = str(parse_address(fields["engine"])), fields["state"]
    if state not in tuple(policy.EngineState):
        raise DiscoveryError(f"{engine}: state {state!r}")
    remote_started_ms = float(fields.get("launched_ms", 0.0))
    started_ms = start_times.local(engine, remote_started_ms, float(message["now_ms"]), now_ms)
    return policy.EngineEndpoint(
        engine,
        policy.EngineState(state),
        zones.index(fields["zone"]) if "zone" in fields else 0,
        kinds.index(fields["kind"]),
        int(fields.get("cell", 0)),
        float(fields.get("weight", 1.0)),
        started_ms,
    )


class DiscoveryClient:
    """Keeps a subscription; passes each list, and each failure, to `post`.

    After the first list it waits for changes without a timeout, as long periods without changes are normal.
    """

    def __init__(
        self,
        loop: Loop,
        address: Address,
        *,
        pushed: bool,
        zones: tuple[str, ...],
        kinds: tuple[str, ...],
        post: Callable[[policy.EngineListUpdate], None],
        seed: int,
        report: Callable[[str], None],
    ) -> None:
        self.loop, self.address, self.pushed, self.post, self.report = loop, address, pushed, post, report
        self.zones, self.kinds, self.start_times = zones, kinds, StartTimes()
        self.lists = self.failures = 0
        self._task: Task | None = None
        self._answer_timeout_ms = MIN_ANSWER_TIMEOUT_MS
        self._jitter = seed & 0xFFFF

    def start(self) -> None:
        """Subscribe and stay subscribed, if lists are pushed."""
        if self.pushed:
            self._task = self.loop.spawn(self._stay_subscribed, name="discovery")

    def request(self) -> None:
        """Subscribe once, if lists have to be requested; a failure is posted as an event."""
        if not self.pushed and (self._task is None or self._task.done):
            self._task = self.loop.spawn(self._subscribe, name="discovery")

    def _stay_subscribed(self) -> None:
        backoff_ms = MIN_BACKOFF_MS
        while True:
            lists_before = self.lists
            self._subscribe()
            made_progress = self.lists > lists_before
            backoff_ms = MIN_BACKOFF_MS if made_progress else min(backoff_ms * 2, MAX_BACKOFF_MS)
            self._jitter = (
                self._jitter * 25173 + 13849
            ) & 0xFFFF  # so that controllers that lost discovery together don't reconnect together
            self.loop.sleep(backoff_ms * (0.5 + self._jitter / 0x20000))

    def _subscribe(self) -> None:
        """Subscribe and post lists until the subscription fails."""
        stream = None
        try:
            with self.loop.deadline(CONNECT_TIMEOUT_MS):
                stream = self.loop.connect(self.address)
                stream.write(b'{"subscribe": 0}\n')
            buffer = self._read_first_line(stream)
            while True:
                line, _, rest = bytes(buffer).partition(b"\n")
                event = read_list(line, self.zones, self.kinds, self.start_times, self.loop.now())
                self.lists += 1
                self.post(event)
                buffer = self._read_line(stream, bytearray(rest))
        except (OSError, DeadlineExceeded, DiscoveryError) as exc:
            self.failures += 1
            self.report(f"discovery at {self.address}: {type(exc).__name__}: {exc}")
            self.post(policy.EngineListUpdate(policy.ListForm.FAILED))
        finally:
            if stream is not None:
                stream.close()

    def _read_first_line(self, stream: Stream) -> bytearray:
        """Wait for the first list; give the next subscription more time if it does not come."""
        try:
            with self.loop.deadline(self._answer_timeout_ms):
                buffer = self._read_line(stream, bytearray())
        except DeadlineExceeded:
            self._answer_timeout_ms = min(2.0 * self._answer_timeout_ms, MAX_ANSWER_TIMEOUT_MS)
            raise
        self._answer_timeout_ms = MIN_ANSWER_TIMEOUT_MS
        return buffer

    def _read_line(self, stream: Stream, buffer: bytearray) -> bytearray:
        """Read until the buffer holds a complete line. Raises `DiscoveryError`, `StreamReset`."""
        while b"\n" not in buffer:
            if len(buffer) > MAX_LINE_BYTES:
                raise DiscoveryError(f"a line of over {MAX_LINE_BYTES} bytes")
            data = stream.read()
            if not data:
                raise StreamReset("closed by discovery")
            buffer += data
        return buffer
