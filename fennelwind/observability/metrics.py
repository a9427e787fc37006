"""What the program counts, in Prometheus' text format, and whether it is healthy; over HTTP of its own.

Everything is read from the parts' own counters at the moment somebody asks, so nothing is counted twice and
nothing costs anything in between. GET /metrics tells all of it; GET /health answers 200 while queries are
taken and an engine is known to be ready, else 503.
"""

from collections import Counter
from collections.abc import Iterator
from typing import Any

import h11
from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import CounterMetricFamily as Count
from prometheus_client.core import GaugeMetricFamily as Gauge
from prometheus_client.core import Metric
from prometheus_client.core import SummaryMetricFamily as Summary

from fennelwind.loop import DeadlineExceeded, Listener, Loop, Stream, StreamReset

REQUEST_MS = 5000.0  # ms for a request and for the reading of its answer
CONNECTIONS_MOST = 16  # scrapers and checks are few
QUANTILES = (0.5, 0.9, 0.99)
TYPE = "text/plain; version=0.0.4; charset=utf-8"


class Collector:
    """Reads a program's counters. `program` is a `cli.program.Program`, or what has the same parts."""

    def __init__(self, program: Any) -> None:
        self.program = program

    def collect(self) -> Iterator[Metric]:
        """Return all metrics as they are now."""
        yield from self._queries()
        yield from self._connections_to_engines()
        yield from self._fronts()
        yield from self._council()

    def _queries(self) -> Iterator[Metric]:
        driver, names = self.program.driver, [c.name for c in self.program.settings.module.classes]
        ends = Count("fennelwind_queries", "Queries by what became of them.", labels=["class", "end"])
        for name, counts in zip(names, driver.ledger.counts, strict=True):
            for end, count in counts.items():
                ends.add_metric([name, end], count)
        yield ends
        attempts = Count("fennelwind_attempts", "Attempts by how they ended.", labels=["end"])
        for end, count in driver.attempts.ends.items():
            attempts.add_metric([end], count)
        yield attempts
        yield Gauge("fennelwind_queries_open", "Queries without a final answer.", driver.ledger.open_count)
        yield Gauge(
            "fennelwind_answer_margin_seconds", "How early final answers leave.", driver.margin.ms / 1000.0
        )
        for name, help_, value in (
            ("requests_joined", "Askings that joined an open request.", driver.shared.coalescer.joined),
            (
                "answers_second",
                "Answers offered after the final one; anything but 0 is a fault.",
                driver.ledger.duplicate_answers,
            ),
            (
                "answers_overdue",
                "Final answers given too late; anything but 0 is a fault.",
                driver.ledger.late_answers,
            ),
            ("turned_away", "Queries refused as too many were open.", driver.rejected_at_capacity),
        ):
            yield Count(f"fennelwind_{name}", help_, value)
        states = Counter(e.endpoint.state for e in driver.gateway.engines.values())
        engines = Gauge("fennelwind_engines", "Engines known, by state.", labels=["state"])
        for state, count in states.items():
            engines.add_metric([state], count)
        yield engines

    def _connections_to_engines(self) -> Iterator[Metric]:
        client, sessions = self.program.engine_client, len(self.program.service.sessions)
        waits = client.connection_wait_us
        wait = Summary("fennelwind_link_wait_seconds", "Time until an attempt had its link.")
        count = waits.get_total_count()
        wait.add_metric([], count, waits.get_mean_value() * count / 1e6)
        yield wait
        marks = Gauge(
            "fennelwind_link_wait_quantile_seconds",
            "The same, by quantile, since the start.",
            labels=["quantile"],
        )
        for quantile in QUANTILES:
            marks.add_metric([str(quantile)], waits.get_value_at_percentile(100 * quantile) / 1e6)
        yield marks
        open_ = sum(pool.count for pool in client.pools.values())
        by_state = Gauge("fennelwind_links", "Links to engines, each with a session.", labels=["state"])
        idle = sum(len(pool.idle) for pool in client.pools.values())
        streams = sum(pool.streams for pool in client.pools.values())
        for state, value in (("idle", idle), ("streams", streams), ("busy", open_ - idle - streams)):
            by_state.add_metric([state], value)
        yield by_state
        yield Gauge(
            "fennelwind_engine_sessions_per_session",
            "Sessions at engines for one of a client.",
            open_ / sessions if sessions else 0.0,
        )
        for name, help_, value in (
            ("operations_reaped", "Operations left behind at engines and closed.", client.cleanup.cancelled),
            ("operations_unreaped", "Those that could not be reached.", client.cleanup.unreachable),
            ("streams_begun", "Large answers that flowed.", client.stream_counts.begun),
            ("streams_lost", "Large answers that ended early.", client.stream_counts.lost),
            ("terms_told", "New terms told to engines.", client.grant_updates.sent),
            ("terms_untold", "New terms that could not be told.", client.grant_updates.dropped),
        ):
            yield Count(f"fennelwind_{name}", help_, value)

    def _fronts(self) -> Iterator[Metric]:
        program = self.program
        fronts = {"hs2": program.front, "http": program.http}
        now = Gauge("fennelwind_connections", "Connections of clients.", labels=["front"])
        events = Count(
            "fennelwind_connection_events", "What happened to connections.", labels=["front", "event"]
        )
        for name, front in fronts.items():
            if front is not None:
                now.add_metric([name], len(front.connections))
                for event in ("accepted", "turned_away", "malformed", "cut", "idled", "unshaken"):
                    events.add_metric([name, event], getattr(front, event))
        yield now
        yield events
        service = program.service
        yield Gauge("fennelwind_sessions", "Sessions of clients.", len(service.sessions))
        yield Gauge("fennelwind_operations", "Operations of clients not closed.", len(service.operations))
        yield Count("fennelwind_logins_failed", "Wrong passwords.", service.authenticator.logins.failures)
        yield Gauge(
            "fennelwind_loop_delay_seconds",
            "How late timers are, a fading mean.",
            program.loop.delay_ms / 1000.0,
        )

    def _council(self) -> Iterator[Metric]:
        keeper = getattr(self.program, "keeper", None)
        if keeper is None:
            return
        for name, help_, value in keeper.gauges():
            yield Gauge(f"fennelwind_council_{name}", help_, value)
        events = Count(
            "fennelwind_council_events",
            "What happened between this controller and the council.",
            labels=["where", "event"],
        )
        for where, event, count in keeper.events():
            events.add_metric([where, event], count)
        yield events


def exposition(program: Any) -> bytes:
    """Return a program's metrics as text."""
    registry = CollectorRegistry(auto_describe=False)
    registry.register(Collector(program))
    return generate_latest(registry)


class MetricsFront:
    """Answers scrapers and health checks, one request a connection."""

    def __init__(self, loop: Loop, listener: Listener, program: Any) -> None:
        self.loop, self.listener, self.program = loop, listener, program
        self.open = 0

    def start(self) -> None:
        """Take connections."""
        self.loop.spawn(self._accept, name="metrics: accept")

    def close(self) -> None:
        """Take no more."""
        self.listener.close()

    def healthy(self) -> bool:
        """Tell whether queries are taken and an engine is ready."""
        driver = self.program.driver
        return not driver.is_closing and any(
            e.endpoint.state == "ready" for e in driver.gateway.engines.values()
        )

    def _accept(self) -> None:
        while True:
            try:
                stream = self.listener.accept()
            except StreamReset:
                return
            if self.open >= CONNECTIONS_MOST:
                stream.abort()
                continue
            self.open += 1
            self.loop.spawn(self._serve, stream, name="metrics")

    def _serve(self, stream: Stream) -> None:
        http = h11.Connection(h11.SERVER)
        try:
            with self.loop.deadline(REQUEST_MS):
                while (event := http.next_event()) is h11.NEED_DATA:
                    http.receive_data(stream.read())
                if isinstance(event, h11.Request):
                    status, body = self._answer(event.method, event.target)
                    stream.write(
                        b"".join(
                            http.send(e)
                            for e in (
                                h11.Response(
                                    status_code=status,
                                    headers=[
                                        ("content-type", TYPE),
                                        ("content-length", str(len(body))),
                                        ("connection", "close"),
                                    ],
                                ),
                                h11.Data(data=body),
                                h11.EndOfMessage(),
                            )
                        )
                    )
        except (StreamReset, DeadlineExceeded, h11.ProtocolError):
            pass
        finally:
            self.open -= 1
            stream.close()

    def _answer(self, method: bytes, target: bytes) -> tuple[int, bytes]:
        if method != b"GET":
            return 405, b"GET alone is served\n"
        if target == b"/metrics":
            return 200, exposition(self.program)
        if target == b"/health":
            return (200, b"healthy\n") if self.healthy() else (503, b"no engine is ready, or it is closing\n")
        return 404, b"/metrics and /health are here\n"
