"""The link to discovery: lists of engines and their changes, as lines of JSON.

The controller asks `{"subscribe": INDEX}`; discovery answers with the whole list, then with changes as they
come: `{"form": "full" | "delta", "index": N, "now_ms": T, "engines": [...]}`. An engine is `{"engine":
"HOST:PORT", "state": "ready" | "draining" | "gone", "zone": NAME, "kind": NAME, "cell": N, "weight": X,
"launched_ms": T}`, with times on discovery's own clock; only their differences to `now_ms` are used. A line
that can't be used breaks the subscription: an incomplete view must not pass for a whole one.
"""

import json
from collections.abc import Callable

from fennelwind import policy
from fennelwind.errors import FennelwindError
from fennelwind.loop import Address, DeadlineExceeded, Loop, Stream, StreamReset, Task, parse_address

LINE_MOST = 4 * 1024 * 1024  # bytes of one line; some 20,000 engines
CONNECT_MS = 2000.0  # ms to connect, and to get the first list
AGAIN_FIRST_MS, AGAIN_MOST_MS = 250.0, 2000.0  # ms between tries, doubled each time, half of it drawn
STATES = ("ready", "draining", "gone")


class DiscoveryError(FennelwindError, ValueError):
    """A line that is no list."""

    code = "discovery-unreadable"
    advice = (
        "Look at what discovery sends: lines of JSON as engines/discovery.py describes them. The "
        "engines known before are used meanwhile, with growing caution."
    )


class Lives:
    """Times of engines' starts, put on the controller's clock once a life so that they stay comparable."""

    def __init__(self) -> None:
        self._known: dict[str, tuple[float, float]] = {}

    def local(self, engine: str, launched: float, told_now: float, now: float) -> float:
        """Return a start on the controller's clock, in ms; 0 means long ago."""
        if not launched:
            return 0.0
        known = self._known.get(engine)
        if known is None or known[0] != launched:
            known = self._known[engine] = launched, now - max(told_now - launched, 0.0) or -1.0
        return known[1]


def read_list(
    line: bytes, zones: tuple[str, ...], kinds: tuple[str, ...], lives: Lives, now: float
) -> policy.EngineListUpdate:
    """Turn a line into the module's event. Raises `DiscoveryError`."""
    try:
        told = json.loads(line)
        form = told["form"]
        if form not in ("full", "delta"):
            raise DiscoveryError(f"form {form!r}")
        entries = []
        for e in told["engines"]:
            engine, state = str(parse_address(e["engine"])), e["state"]
            if state not in STATES:
                raise DiscoveryError(f"{engine}: state {state!r}")
            launched = lives.local(engine, float(e.get("launched_ms", 0.0)), float(told["now_ms"]), now)
            entries.append(
                policy.EngineEndpoint(
                    engine,
                    state,
                    zones.index(e["zone"]) if "zone" in e else 0,
                    kinds.index(e["kind"]),
                    int(e.get("cell", 0)),
                    float(e.get("weight", 1.0)),
                    launched,
                )
            )
    except (ValueError, KeyError, TypeError, AttributeError) as exc:
        raise DiscoveryError(f"{type(exc).__name__}: {exc}") from None
    return policy.EngineListUpdate(form, tuple(entries))


class DiscoveryLink:
    """Keeps a subscription; told lists go to `post`, as does each failure."""

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
        said: Callable[[str], None],
    ) -> None:
        self.loop, self.address, self.pushed, self.post, self.said = loop, address, pushed, post, said
        self.zones, self.kinds, self.lives = zones, kinds, Lives()
        self.lists = self.failures = 0
        self._task: Task | None = None
        self._draw = seed & 0xFFFF

    def start(self) -> None:
        """Subscribe and stay subscribed, where lists are pushed."""
        if self.pushed:
            self._task = self.loop.spawn(self._stay, name="discovery")

    def ask(self) -> None:
        """Subscribe once, where lists have to be asked for; a failure is an event."""
        if not self.pushed and (self._task is None or self._task.done):
            self._task = self.loop.spawn(self._once, name="discovery")

    def _stay(self) -> None:
        pause = AGAIN_FIRST_MS
        while True:
            before = self.lists
            self._once()
            pause = AGAIN_FIRST_MS if self.lists > before else min(pause * 2, AGAIN_MOST_MS)
            self._draw = (self._draw * 25173 + 13849) & 0xFFFF  # spreads controllers that lost it together
            self.loop.sleep(pause * (0.5 + self._draw / 0x20000))

    def _once(self) -> None:
        """Subscribe and hand lists on until the subscription breaks."""
        stream = None
        try:
            with self.loop.deadline(CONNECT_MS):
                stream = self.loop.connect(self.address)
                stream.write(b'{"subscribe": 0}\n')
                buf = self._line(stream, bytearray())
            while True:
                line, _, rest = bytes(buf).partition(b"\n")
                event = read_list(line, self.zones, self.kinds, self.lives, self.loop.now())
                self.lists += 1
                self.post(event)
                buf = self._line(stream, bytearray(rest))
        except (OSError, DeadlineExceeded, DiscoveryError) as exc:
            self.failures += 1
            self.said(f"discovery at {self.address}: {type(exc).__name__}: {exc}")
            self.post(policy.EngineListUpdate("failed"))
        finally:
            if stream is not None:
                stream.close()

    def _line(self, stream: Stream, buf: bytearray) -> bytearray:
        """Read on until a whole line is there."""
        while b"\n" not in buf:
            if len(buf) > LINE_MOST:
                raise DiscoveryError(f"a line of over {LINE_MOST} bytes")
            data = stream.read()
            if not data:
                raise StreamReset("closed by discovery")
            buf += data
        return buf
