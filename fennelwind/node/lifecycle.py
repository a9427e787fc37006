"""A controller on the platform: puts its parts together, reloads at SIGHUP, shuts down at SIGTERM.

`python -m fennelwind.node` calls `main`, which returns the process's exit status: 2 if the configuration or
the address can't be used.
"""

import gc
import os
import sys

from fennelwind.dispatch.driver import Driver
from fennelwind.limits.answer_margin import AnswerMargin
from fennelwind.load_balancing.load_advisor import LoadAdvisor, is_useful
from fennelwind.loop.real import HANGUP, INTERRUPT, TERMINATE, RealLoop
from fennelwind.loop.scheduler import Loop, Once
from fennelwind.loop.syscall_retry import retried
from fennelwind.node.config import ConfigError, NodeConfig, read_config
from fennelwind.node.endpoint_view import compare, count_differences
from fennelwind.node.endpoint_watch import EndpointWatch
from fennelwind.node.executor_client import ExecutorClient
from fennelwind.node.executor_pool import ExecutorPool
from fennelwind.node.frontend import Frontend
from fennelwind.node.log import MAX_STATE_LENGTH, Log
from fennelwind.node.reload import Reloader, read_text
from fennelwind.node.shutdown import ShutdownSchedule
from fennelwind.policy import ListForm

MIN_ANSWER_MARGIN_MS = 15.0  # ms that answers leave before their deadline at least, whatever was measured
MAX_ANSWER_MARGIN_MS = 200.0
LISTEN_BACKLOG = 1024  # connections that wait to be accepted; a deploy brings all clients at once
# Shares of the file descriptors; the rest, 17 of 256, is for files, log, command channel.
CLIENTS_SHARE, EXECUTORS_SHARE = 0.55, 0.36
LINGERING_SHARE = 0.03  # connections being closed
DRAIN_CHECK_MS = 25.0  # ms between two checks of what is open during a shutdown
LAST_CANCELLATIONS_MS = 150.0  # ms for what was abandoned to be ended at the executors
START_RETRY_PAUSES_MS = (100.0,) * 100  # ms between attempts to start; 30 s are what the platform allows
GC_THRESHOLD = 20_000  # new objects between two collections; nearly all garbage here is freed by counts
VIEW_CHECK_MS = 1000.0  # ms between two comparisons of the policy's view with the attempts in flight
VIEW_CHECKS_PER_LINE = 10  # comparisons between two lines of the log that report them


class Node:
    """A running controller."""

    def __init__(self, loop: Loop, config: NodeConfig, log: Log) -> None:
        self.loop, self.config, self.log = loop, config, log
        settings = config.settings
        self.executor_pool = ExecutorPool(
            loop,
            idle_timeout_ms=config.connections.executor_idle_timeout_ms,
            connect_timeout_ms=config.connections.connect_timeout_ms,
            max_connections=int(config.max_descriptors * EXECUTORS_SHARE),
        )
        self.executor_client = ExecutorClient(
            self.executor_pool,
            report_fields=settings.report_fields,
            allows_concurrent_attempts=settings.allows_concurrent_attempts,
        )
        self.driver = Driver(
            loop,
            settings,
            self.executor_client,
            log,
            seed=config.seed,
            max_open=config.connections.max_open_queries,
            margin=AnswerMargin(MIN_ANSWER_MARGIN_MS, MAX_ANSWER_MARGIN_MS),
            advisor=LoadAdvisor(settings, config.seed, config.connections.executor_idle_timeout_ms)
            if is_useful(settings)
            else None,
        )
        self.endpoint_watch = EndpointWatch(
            loop,
            config.channel,
            self.executor_pool,
            zones=config.zones,
            machine_types=config.machine_types,
            post=self.driver.post,
            log_message=log.logged,
        )
        self.frontend: Frontend | None = None

    def start(self) -> None:
        """Apply the known endpoints and listen for clients. Raises `OSError` if the address can't be had."""
        listener = self.loop.listen(self.config.listen, LISTEN_BACKLOG)
        self.endpoint_watch.apply_known(self.config.known_cursor, self.config.known_events)
        self.frontend = Frontend(
            self.loop,
            listener,
            self.driver,
            self.config,
            max_connections=int(self.config.max_descriptors * CLIENTS_SHARE),
            max_lingering=int(self.config.max_descriptors * LINGERING_SHARE),
            log_message=self.log.logged,
        )
        self.executor_pool.start()
        self.endpoint_watch.start()
        self.frontend.start()
        self.loop.spawn(self._watch_view, name="view")

    def reload(self, text: str) -> None:
        """Apply a new file: its channel and known endpoints; a file that can't be read changes nothing."""
        try:
            config = read_config(text)
        except ConfigError as exc:
            self.log.write("reload", f"the settings are as before: {exc}")
            return
        if config.settings != self.config.settings:
            self.log.write("reload", "the policy's settings differ; they take effect at the next start")
        self.endpoint_watch.apply_known(config.known_cursor, config.known_events, ListForm.FULL)
        if config.channel != self.endpoint_watch.address:
            self.endpoint_watch.move(config.channel)
        self.log.write("reload", f"command channel at {config.channel}")

    def _watch_view(self) -> None:
        """Compare the policy's view with the attempts in flight, and log both.

        Where they differ for longer than a turn, decisions rest on a load that is not there.
        """
        checks = differences = 0
        while True:
            self.loop.sleep(VIEW_CHECK_MS)
            checks += 1
            differences += count_differences(self.driver.gateway, self.executor_client) > 0
            if checks % VIEW_CHECKS_PER_LINE == 0:
                self._log_state(checks, differences)

    def _log_state(self, checks: int, differences: int) -> None:
        pool, rows = self.executor_pool, compare(self.driver.gateway, self.executor_client)
        self.log.write(
            "state",
            (
                f"{self.driver.ledger.open_count} open, {len(self._running_frontend().slots)} clients, "
                f"{pool.connection_count} connections {dict(pool.counts)}, margin "
                f"{self.driver.margin.ms:.0f} ms, view differed in {differences} of {checks} looks; "
                f"{'; '.join(map(str, rows))}"
            ),
            MAX_STATE_LENGTH,
        )

    def shut_down(self) -> None:
        """Shut down in order, by the `ShutdownSchedule`.

        First the health check fails, but queries are served; then new ones are rejected until all that is
        open is answered and taken; then connections are closed, and what still comes is dropped.
        """
        ledger, frontend = self.driver.ledger, self._running_frontend()
        frontend.is_serving = False
        longest_timeout_ms = max(cls.client_timeout_ms for cls in self.config.settings.classes)
        schedule = ShutdownSchedule.from_signal(self.loop.now(), longest_timeout_ms)
        self.loop.sleep(max(0.0, schedule.serve_until_ms - self.loop.now()))
        self.driver.is_closing = True
        frontend.finish_accepting(schedule.abandon_at_ms)
        while ledger.open_count and self.loop.now() < schedule.abandon_at_ms:
            self.loop.sleep(DRAIN_CHECK_MS)
        self.driver.close()
        cancelled_by_ms = self.loop.now() + LAST_CANCELLATIONS_MS
        frontend.close_all(schedule.last_answers_at_ms, schedule.end_at_ms)
        self.loop.sleep(max(0.0, min(cancelled_by_ms, schedule.end_at_ms) - self.loop.now()))
        self._log_end()

    def _log_end(self) -> None:
        ledger = self.driver.ledger
        self.log.write(
            "closed",
            f"books agree: {ledger.is_balanced()}; open {ledger.open_count}, second answers "
            f"{ledger.duplicate_answers}, forgotten {self.driver.unanswered_by_policy}, step errors "
            f"{self.driver.step_errors}, latest timer {self.loop.worst_delay_ms:.0f} ms; "
            f"clients {dict(self._running_frontend().counts)}; executors {dict(self.executor_pool.counts)}; "
            f"channel {dict(self.endpoint_watch.counts)}",
        )

    def _running_frontend(self) -> Frontend:
        assert self.frontend is not None, "the controller has been started"
        return self.frontend


def main() -> int:
    """Run a controller on the file that RELAY_CONFIG names; return the exit status."""
    loop = RealLoop()
    log = Log(loop.now)
    loop.on_error = lambda task, exc: log.failed(task.name, exc)
    return loop.run(_run, loop, log, os.environ.get("RELAY_CONFIG", ""))


def _run(loop: RealLoop, log: Log, path: str) -> int:
    try:
        config = read_config(retried(loop, lambda: read_text(path), START_RETRY_PAUSES_MS))
    except (OSError, UnicodeDecodeError, ConfigError) as exc:
        print(f"RELAY_CONFIG {path!r}: {exc}", file=sys.stderr)
        return 2
    stop = Once(loop)
    try:
        node = retried(loop, lambda: _start(loop, log, path, config, stop), START_RETRY_PAUSES_MS)
    except OSError as exc:
        print(f"{config.listen}: {exc.strerror or exc}", file=sys.stderr)
        return 2
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD, 10, 10)
    size = f"{config.cores:g} cores, {config.memory_mb:.0f} MB, {config.max_descriptors} descriptors"
    log.write(
        "listening", f"{config.name} on {config.listen}, {len(config.known_events)} events known, {size}"
    )
    stop.wait()
    node.shut_down()
    return 0


def _start(loop: RealLoop, log: Log, path: str, config: NodeConfig, stop: Once) -> Node:
    """Handle signals and accept clients. Raises `OSError`."""

    def request_stop() -> None:
        stop.set()

    for signal_number in (TERMINATE, INTERRUPT):
        loop.on_signal(signal_number, request_stop)
    node = Node(loop, config, log)
    loop.on_signal(HANGUP, Reloader(loop, path, node.reload, log.write).request)
    node.start()
    return node
