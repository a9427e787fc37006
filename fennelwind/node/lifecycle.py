"""A controller on the platform: assembles its components, reloads at SIGHUP, shuts down at SIGTERM.

`python -m fennelwind.node` calls `main`, which returns the process's exit status: 2 if the configuration is
invalid or the address can't be bound.
"""

import gc
import os
import sys

from fennelwind.dispatch.driver import Driver
from fennelwind.limits.answer_margin import AnswerMargin
from fennelwind.limits.memory_budget import BYTES_PER_MB, BoundedMemory, MemoryPlan
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

MIN_ANSWER_MARGIN_MS = 15.0  # ms; the least time from an answer to its deadline, even if less was measured
MAX_ANSWER_MARGIN_MS = 200.0
LISTEN_BACKLOG = 1024  # connections not yet accepted; at a deploy all clients connect at once
# Shares of the file descriptors; the remaining ones, 17 of 256, are for files, log and command channel.
CLIENTS_SHARE, EXECUTORS_SHARE = 0.55, 0.36
LINGERING_SHARE = 0.03  # connections being closed
DRAIN_CHECK_MS = 25.0  # ms between two checks for open queries during a shutdown
LAST_CANCELLATIONS_MS = 150.0  # ms to cancel abandoned queries at the executors
START_RETRY_PAUSES_MS = (100.0,) * 100  # ms between tries to start; the platform allows 30 s
GC_THRESHOLD = 20_000  # new objects between two collections; reference counting frees nearly all garbage
VIEW_CHECK_MS = 1000.0  # ms between two comparisons of the policy's view with the attempts in flight
VIEW_CHECKS_PER_LINE = 10  # comparisons between two log lines that report them


class Node:
    """A running controller."""

    def __init__(self, loop: Loop, config: NodeConfig, log: Log) -> None:
        self.loop, self.config, self.log = loop, config, log
        settings = config.settings
        max_clients = int(config.max_descriptors * CLIENTS_SHARE)
        max_executor_connections = int(config.max_descriptors * EXECUTORS_SHARE)
        self.max_clients = max_clients
        self.memory_plan = MemoryPlan.divide(
            config.memory_mb, loop.resident_bytes(), max_clients + max_executor_connections
        )
        self.executor_pool = ExecutorPool(
            loop,
            idle_timeout_ms=config.connections.executor_idle_timeout_ms,
            connect_timeout_ms=config.connections.connect_timeout_ms,
            max_connections=max_executor_connections,
        )
        self.executor_client = ExecutorClient(
            self.executor_pool,
            report_fields=settings.report_fields,
            allows_concurrent_attempts=settings.allows_concurrent_attempts,
            results=BoundedMemory(self.memory_plan.results_bytes),
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
        """Apply the known endpoints and listen for clients. Raises `OSError` if it can't bind the address."""
        listener = self.loop.listen(self.config.listen, LISTEN_BACKLOG)
        self.endpoint_watch.apply_known(self.config.known_cursor, self.config.known_events)
        self.frontend = Frontend(
            self.loop,
            listener,
            self.driver,
            self.config,
            max_connections=self.max_clients,
            max_lingering=int(self.config.max_descriptors * LINGERING_SHARE),
            memory=self.memory_plan,
            log_message=self.log.logged,
        )
        self.executor_pool.start()
        self.endpoint_watch.start()
        self.frontend.start()
        self.loop.spawn(self._compare_views, name="view")

    def reload(self, text: str) -> None:
        """Apply a new file's channel address and known endpoints; an invalid file is ignored."""
        try:
            config = read_config(text)
        except ConfigError as exc:
            self.log.write("reload", f"the settings are as before: {exc}")
            return
        if config.settings != self.config.settings:
            self.log.write(
                "reload", "the policy's settings have changed, which takes effect at the next start"
            )
        self.endpoint_watch.apply_known(config.known_cursor, config.known_events, ListForm.FULL)
        if config.channel != self.endpoint_watch.address:
            self.endpoint_watch.move(config.channel)
        self.log.write("reload", f"command channel at {config.channel}")

    def _compare_views(self) -> None:
        """Compare the policy's view with the attempts in flight, and log both.

        If the two differ for longer than a turn, the policy bases decisions on a load that does not exist.
        """
        checks = differences = 0
        while True:
            self.loop.sleep(VIEW_CHECK_MS)
            checks += 1
            differences += count_differences(self.driver.gateway, self.executor_client) > 0
            if checks % VIEW_CHECKS_PER_LINE == 0:
                self._log_state(checks, differences)

    def _log_state(self, checks: int, differences: int) -> None:
        pool, views = self.executor_pool, compare(self.driver.gateway, self.executor_client)
        self.log.write(
            "state",
            (
                f"{self.driver.ledger.open_count} open, {len(self._running_frontend().slots)} clients, "
                f"{pool.connection_count} connections {dict(pool.counts)}, {self._memory_state()}, margin "
                f"{self.driver.margin.ms:.0f} ms, view differed in {differences} of {checks} checks; "
                f"{'; '.join(map(str, views))}"
            ),
            MAX_STATE_LENGTH,
        )

    def _memory_state(self) -> str:
        memory, resident_mb = self._running_frontend().memory, self.loop.resident_bytes() / BYTES_PER_MB
        return (
            f"{resident_mb:.0f} of {self.config.memory_mb:.0f} MB resident, clients hold "
            f"{memory.held_bytes / BYTES_PER_MB:.1f} of {memory.limit_bytes / BYTES_PER_MB:.1f} MB"
        )

    def shut_down(self) -> None:
        """Shut down in the steps of the `ShutdownSchedule`.

        First health checks fail, but queries are still served. Then new queries are rejected until all open
        ones are answered and the answers are read. Then connections are closed, and further input is dropped.
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
    """Run a controller with the configuration file that RELAY_CONFIG names; return the exit status."""
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
    resources = f"{config.cores:g} cores, {config.memory_mb:.0f} MB, {config.max_descriptors} descriptors"
    log.write(
        "listening", f"{config.name} on {config.listen}, {len(config.known_events)} events known, {resources}"
    )
    stop.wait()
    node.shut_down()
    return 0


def _start(loop: RealLoop, log: Log, path: str, config: NodeConfig, stop: Once) -> Node:
    """Install signal handlers, create the node and start it. Raises `OSError`."""

    def request_stop() -> None:
        stop.set()

    for signal_number in (TERMINATE, INTERRUPT):
        loop.on_signal(signal_number, request_stop)
    node = Node(loop, config, log)
    loop.on_signal(HANGUP, Reloader(loop, path, node.reload, log.write).request)
    node.start()
    return node
