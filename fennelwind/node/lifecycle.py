"""A controller on the platform, put together: start, SIGHUP, SIGTERM."""

import contextlib
import gc
import os
import stat
import sys
import traceback
from collections.abc import Callable

from fennelwind.dispatch.driver import Driver
from fennelwind.dispatch.ledger import Entry
from fennelwind.dispatch.types import AnswerKind, AttemptEnd
from fennelwind.limits.answer_margin import AnswerMargin
from fennelwind.limits.log_rate_limit import RateLimit
from fennelwind.load_balancing.load_advisor import LoadAdvisor, is_useful
from fennelwind.loop.real import HANGUP, INTERRUPT, TERMINATE, RealLoop
from fennelwind.loop.scheduler import Loop, Once
from fennelwind.loop.syscall_retry import retried
from fennelwind.node.config import ConfigError, NodeConfig, read_config
from fennelwind.node.endpoint_view import compare, drift
from fennelwind.node.endpoint_watch import Channel
from fennelwind.node.executor_pool import Executors
from fennelwind.node.frontend import Front
from fennelwind.node.reload import Reloader, read_text
from fennelwind.node.shutdown import ShutdownSchedule

MARGIN_LEAST_MS, MARGIN_MOST_MS = 15.0, 200.0  # bounds of the measured time of answers on their way
CLIENTS_PART, EXECUTORS_PART = 0.55, 0.36  # of the descriptors: clients', and links to executors
LINGERING_PART = 0.03  # for connections being closed; the rest, 17 of 256, is for files, pipe, channel
LEAVE_LOOK_MS = 25.0  # ms between two looks at what is open
LAST_DELETES_MS = 150.0  # ms for what was given up to be ended at the executors
START_PAUSES_MS = (100.0,) * 100  # ms between tries to start; 30 s are what the platform allows
GC_STEP = 20_000  # new objects between two collections; nearly all garbage here is freed by counts
LOOK_MS = 1000.0  # ms between two looks at what is believed beside what is on the sockets
LOOKS_A_LINE = 10  # looks between two lines of the log that tell of it
TEXT_MOST = 300  # letters of a line
STATE_MOST = 2000  # letters of a line that tells of all executors


class Log:
    """An observer that writes few lines to standard error, rate-limited by sort.

    structlog alone takes 9 MB, of the 32 that the smallest limit leaves.
    """

    def __init__(self, now: Callable[[], float]) -> None:
        self.limit = RateLimit(now)
        self.fd = sys.stderr.fileno()
        if stat.S_ISFIFO(os.fstat(self.fd).st_mode):
            os.set_blocking(self.fd, False)  # a reader that stalls must not stop the loop

    def write(self, sort: str, text: str, most: int = TEXT_MOST) -> None:
        """Write a line, unless there were many of its sort."""
        dropped = self.limit.allow(sort)
        if dropped is not None:
            more = f" ({dropped} such lines before were dropped)" if dropped else ""
            line = f"{sort}: {' '.join(text[:most].split())}{more}\n"
            with contextlib.suppress(OSError):  # nobody may read it, or not as fast; then the line is lost
                os.write(self.fd, line.encode("utf-8", "replace"))

    def answered(self, entry: Entry) -> None:
        """Write of a query that was not served."""
        answer = entry.answer
        if answer.kind != AnswerKind.SERVED:
            self.write(
                answer.kind,
                f"query {entry.query} of class {entry.submission.class_index} after "
                f"{entry.answered_ms - entry.received_ms:.0f} ms: {answer.reason}",
            )

    def attempted(self, entry: Entry, number: int, engine: str, end: AttemptEnd, took_ms: float) -> None:
        """Write of an attempt that did not end well."""
        if end.status not in ("ok", "cancelled"):
            self.write(
                end.status,
                f"query {entry.query} attempt {number} at {engine} after {took_ms:.0f} ms: {end.reason}",
            )

    def logged(self, text: str) -> None:
        """Write a note."""
        self.write("note", text)

    def failed(self, where: str, exc: BaseException) -> None:
        """Write what broke and should not have."""
        trace = " | ".join(traceback.format_exception(exc)[-3:])
        self.write("broke", f"{where}: {trace[-TEXT_MOST:]}")


class Node:
    """A running controller."""

    def __init__(self, loop: Loop, config: NodeConfig, log: Log) -> None:
        self.loop, self.config, self.log = loop, config, log
        settings = config.settings
        self.links = Executors(
            loop,
            report_fields=settings.report_fields,
            idle_ms=config.idle_ms,
            dial_ms=config.dial_ms,
            most=int(config.sockets * EXECUTORS_PART),
            parallel=settings.allows_concurrent_attempts,
        )
        self.driver = Driver(
            loop,
            settings,
            self.links,
            log,
            seed=config.seed,
            max_open=config.most_open,
            margin=AnswerMargin(MARGIN_LEAST_MS, MARGIN_MOST_MS),
            advisor=LoadAdvisor(settings, config.seed, config.idle_ms) if is_useful(settings) else None,
        )
        self.channel = Channel(
            loop,
            config.channel,
            self.links,
            zones=config.zones,
            kinds=config.kinds,
            post=self.driver.post,
            said=log.logged,
        )
        self.front: Front | None = None

    def start(self) -> None:
        """Learn of the executors and listen for clients. Raises `OSError` if the address can't be had."""
        listener = self.loop.listen(self.config.listen, 1024)
        self.channel.take_known(self.config.cursor, self.config.events)
        self.front = Front(
            self.loop,
            listener,
            self.driver,
            self.config,
            int(self.config.sockets * CLIENTS_PART),
            int(self.config.sockets * LINGERING_PART),
        )
        self.front.said = self.log.logged
        self.links.start()
        self.channel.start()
        self.front.start()
        self.loop.spawn(self._look, name="view")

    def reload(self, text: str) -> None:
        """Take a new file: its channel and what it knows; a file that can't be read changes nothing."""
        try:
            config = read_config(text)
        except ConfigError as exc:
            self.log.write("reload", f"the settings are as before: {exc}")
            return
        if config.settings != self.config.settings:
            self.log.write("reload", "the module's settings differ; they hold from the next start on")
        self.channel.take_known(config.cursor, config.events, "full")
        if config.channel != self.channel.address:
            self.channel.move(config.channel)
        self.log.write("reload", f"command channel at {config.channel}")

    def _look(self) -> None:
        looks = differed = 0
        while True:
            self.loop.sleep(LOOK_MS)
            looks += 1
            differed += drift(self.driver.gateway, self.links) > 0
            if looks % LOOKS_A_LINE == 0:
                rows = compare(self.driver.gateway, self.links)
                self.log.write(
                    "state",
                    (
                        f"{self.driver.ledger.open_count} open, {len(self.front.places)} clients, "
                        f"{self.links.count} connections {dict(self.links.counts)}, margin "
                        f"{self.driver.margin.ms:.0f} ms, view differed in {differed} of {looks} looks; "
                        f"{'; '.join(map(str, rows))}"
                    ),
                    STATE_MOST,
                )

    def leave(self) -> None:
        """Go in order: no longer well, but serving for some time; then refusing what is new, until all that
        is open is answered and taken; then connections are closed, and what still comes is dropped.
        """
        ledger, front = self.driver.ledger, self.front
        front.well = False
        longest = max(cls.client_timeout_ms for cls in self.config.settings.classes)
        schedule = ShutdownSchedule.from_signal(self.loop.now(), longest)
        self.loop.sleep(max(0.0, schedule.serve_until - self.loop.now()))
        self.driver.is_closing = True
        front.finish(schedule.give_up_at)
        while ledger.open_count and self.loop.now() < schedule.give_up_at:
            self.loop.sleep(LEAVE_LOOK_MS)
        self.driver.close()
        deleted = self.loop.now() + LAST_DELETES_MS
        front.end(schedule.last_answers_at, schedule.end_at)
        self.loop.sleep(max(0.0, min(deleted, schedule.end_at) - self.loop.now()))
        self.log.write(
            "closed",
            f"books agree: {ledger.is_balanced()}; open {ledger.open_count}, second answers "
            f"{ledger.duplicate_answers}, forgotten {self.driver.unanswered_by_policy}, step errors "
            f"{self.driver.step_errors}, latest timer {self.loop.worst_delay_ms:.0f} ms; "
            f"clients {dict(self.front.counts)}; executors {dict(self.links.counts)}; "
            f"channel {dict(self.channel.counts)}",
        )


def main() -> int:
    """Run a controller as the environment tells."""
    loop = RealLoop()
    log = Log(loop.now)
    loop.on_error = lambda task, exc: log.failed(task.name, exc)
    return loop.run(_run, loop, log, os.environ.get("RELAY_CONFIG", ""))


def _run(loop: RealLoop, log: Log, path: str) -> int:
    try:
        config = read_config(retried(loop, lambda: read_text(path), START_PAUSES_MS))
    except (OSError, UnicodeDecodeError, ConfigError) as exc:
        print(f"RELAY_CONFIG {path!r}: {exc}", file=sys.stderr)
        return 2
    stop = Once(loop)
    try:
        node = retried(loop, lambda: _start(loop, log, path, config, stop), START_PAUSES_MS)
    except OSError as exc:
        print(f"{config.listen}: {exc.strerror or exc}", file=sys.stderr)
        return 2
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_STEP, 10, 10)
    size = f"{config.cores:g} cores, {config.memory_mb:.0f} MB, {config.sockets} descriptors"
    log.write("listening", f"{config.name} on {config.listen}, {len(config.events)} events known, {size}")
    stop.wait()
    node.leave()
    return 0


def _start(loop: RealLoop, log: Log, path: str, config: NodeConfig, stop: Once) -> Node:
    """Heed signals and take clients in. Raises `OSError`."""
    for number in (TERMINATE, INTERRUPT):
        loop.on_signal(number, stop.set)
    node = Node(loop, config, log)
    loop.on_signal(HANGUP, Reloader(loop, path, node.reload, log.write).ask)
    node.start()
    return node
