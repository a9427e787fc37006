"""Stand-ins for the second review: executors, command channel, clients and the platform, on plain sockets.

Written from the users' pages (PROTOCOL.md, DEPLOY.md). All stand-ins of a case run in one process on asyncio;
the controller is a process of its own, started by the deploy file's `run`. Times are ms of the system's
monotonic clock.
"""

import asyncio
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections import Counter
from contextlib import suppress
from pathlib import Path

import msgpack

ROOT = Path(__file__).resolve().parent.parent
SLACK_MS = 50.0  # PROTOCOL.md: every time limit is extended by 50 ms
RUN_LIMIT_S = 110.0  # a case runs for 120 s at most
POLL_MS = 250.0  # PROTOCOL.md: an executor answers 202 after this time
EXPIRY_MS = 2000.0  # PROTOCOL.md: a query that is not asked for so long is dropped
PAGE_BYTES = 6000  # PROTOCOL.md: a page has at most so many bytes
LOST_AFTER_MS = 500.0  # FLEET.md: up to half a second late an answer only earns nothing; later it is lost
BYTES_PER_MB = 2.0**20  # the larger of the two meanings of MB
LOG_LINES = 25  # of the controller's log that the record keeps
PROCESSES = []  # that this process has started
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
VERDICTS = ("the rule held", "the rule was broken", "could not run")


def now_ms():
    """Return the time in ms on the monotonic clock."""
    return time.monotonic() * 1000.0


def rows_of(query_id, statement, count=2):
    """Return the only correct result of a statement: rows of three text columns."""
    mark = f"{query_id}-{len(statement)}"
    return "".join(f"{mark}\trow{number}\t{query_id[::-1]}\n" for number in range(count)).encode()


def free_port(host):
    """Return a port that is free at a loopback address."""
    with socket.socket() as sock:
        sock.bind((host, 0))
        return sock.getsockname()[1]


class Record:
    """What was sent, answered and run; written to the case's `record.txt`."""

    def __init__(self, folder, began_ms=None):
        self.path = Path(folder) / "record.txt"
        self.began_ms = now_ms() if began_ms is None else began_ms
        self.file = self.path.open("w", encoding="utf-8")
        self.counts = Counter()  # lines by what happened

    def __call__(self, what, **fields):
        """Write one line: the time since the start in ms, what happened, and its fields."""
        self.counts[what] += 1
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{now_ms() - self.began_ms:10.1f} {what} {text}\n")

    def add(self, path):
        """Add the record of another process, which has the same start."""
        with suppress(OSError):
            self.file.write(Path(path).read_text(encoding="utf-8"))

    def close(self):
        """Write out what is left."""
        self.file.close()


# Executors.


class Query:
    """A query at an executor."""

    def __init__(self, query_id, fields, statement, work_ms):
        self.query_id, self.fields, self.statement = query_id, fields, statement
        self.started_ms = self.asked_ms = now_ms()
        self.ends_ms = self.started_ms + work_ms
        self.ended_ms = None  # when its end was written, or it was given up
        body = rows_of(query_id, statement)
        self.pages = [body[at : at + PAGE_BYTES] for at in range(0, len(body), PAGE_BYTES)]


class Executor:
    """An executor as PROTOCOL.md describes it: HTTP/1.1, one call at a time on a connection.

    A subclass changes single answers for a disruption.
    """

    def __init__(self, name, host, record, work_ms=20.0):
        self.name, self.host, self.record, self.work_ms = name, host, record, work_ms
        self.port = 0
        self.queries = {}  # the latest attempt by query id
        self.runs = []  # all attempts that ran, in order
        self.is_troubled = False
        self.server = None
        self.writers = set()  # of the open connections

    @property
    def address(self):
        """Where the executor listens."""
        return f"{self.host}:{self.port}"

    async def start(self):
        """Listen, at a free port unless one is set."""
        self.server = await asyncio.start_server(self._serve, self.host, self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    async def stop(self):
        """Listen no longer, and close all connections."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            await self._serve_calls(reader, writer)
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _serve_calls(self, reader, writer):
        with suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                first, *lines = head.decode("latin-1").rstrip("\r\n").split("\r\n")
                verb, path, _ = first.split(" ")
                fields = dict(line.split(": ", 1) for line in lines)
                body = await reader.readexactly(int(fields.get("Content-Length", "0")))
                answer = await self.answer(verb, path, fields, body, writer)
                if answer is None:
                    return
                await self.write(answer, writer)

    async def write(self, answer, writer):
        """Write an answer."""
        writer.write(answer)
        await writer.drain()

    async def answer(self, verb, path, fields, body, writer):
        """Return the answer to a call, or None to close the connection."""
        if verb == "POST":
            query = self.accept(fields["X-Req"], fields, body)
            return await self.news(query)
        if path.startswith("/-/"):
            return response(200)
        _, _, query_id, *page = path.split("/")
        query = self.queries.get(query_id)
        self.expire(query)
        if query is None or (query.ended_ms is not None and query.ended_ms < query.ends_ms):
            return response(500)
        return await self.answer_known(verb, query, int(page[0]) if page else 0)

    async def answer_known(self, verb, query, page):
        """Return the answer to a call for a query that this executor knows."""
        if verb == "GET" and page:
            return response(200, query.pages[page], {"X-Batch": page})
        if verb == "GET":
            return await self.news(query)
        if verb == "DELETE":
            query.ended_ms = query.ended_ms or now_ms()
            self.record("deleted", executor=self.name, query=query.query_id)
        return response(204)

    def accept(self, query_id, fields, statement):
        """Start a query."""
        query = Query(query_id, fields, statement, self.work_ms)
        self.queries[query_id] = query
        self.runs.append(query)
        self.record("run", executor=self.name, query=query_id, cls=fields.get("X-Class"))
        return query

    def expire(self, query):
        """Drop a query that nobody has asked for in time."""
        if query and query.ended_ms is None and now_ms() > query.asked_ms + EXPIRY_MS:
            query.ended_ms = min(query.asked_ms + EXPIRY_MS, query.ends_ms)

    async def news(self, query):
        """Return a query's first page once it has ended, or 202 after 250 ms."""
        query.asked_ms = now_ms()
        wait_ms = min(POLL_MS, query.ends_ms - query.asked_ms)
        if wait_ms > 0:
            await asyncio.sleep(wait_ms / 1000.0)
        query.asked_ms = now_ms()
        if query.ended_ms is not None and query.ended_ms < query.ends_ms:
            return response(500)
        if now_ms() < query.ends_ms - 1.0:
            return response(202)
        query.ended_ms = query.ended_ms or now_ms()
        return self.result(query)

    def result(self, query):
        """Return the answer with the first page of a query that has ended."""
        return response(200, query.pages[0], {"X-Batches": len(query.pages)})


def response(status, body=b"", fields=None):
    """Return an HTTP response."""
    lines = [f"HTTP/1.1 {status} X", *(f"{name}: {value}" for name, value in (fields or {}).items())]
    if status != 204:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


# The command channel.


class Channel:
    """The command channel: server-sent events, and a comment every second."""

    def __init__(self, host, record):
        self.host, self.record, self.port = host, record, 0
        self.events = []  # in order; number 1 is the first
        self.news = asyncio.Condition()
        self.server = None
        self.writers = set()  # of the open connections

    @property
    def address(self):
        """Where the channel listens."""
        return f"{self.host}:{self.port}"

    async def start(self):
        """Listen at a free port."""
        self.server = await asyncio.start_server(self._serve, self.host, self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    async def stop(self):
        """Listen no longer, and close all connections."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def known(self):
        """Return the events so far, as a configuration file has them."""
        return {"cursor": len(self.events), "cmds": list(self.events)}

    async def tell(self, instances, reset=False):
        """Add an event to the channel."""
        cursor = len(self.events) + 1
        nodes = {"generation": cursor, "reset": reset, "instances": instances}
        self.events.append({"cursor": cursor, "nodes": nodes})
        self.record("told", event=cursor, instances=[(i["instanceId"], i["lifecycle"]) for i in instances])
        async with self.news:
            self.news.notify_all()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            await self._serve_events(reader, writer)
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _serve_events(self, reader, writer):
        with suppress(ConnectionError, asyncio.IncompleteReadError):
            head = await reader.readuntil(b"\r\n\r\n")
            found = re.search(rb"Last-Event-ID: (\d+)", head)
            cursor = int(found[1]) if found else 0
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n: hello\n\n")
            while True:
                for event in self.events[cursor:]:
                    writer.write(b"id: %d\ndata: %s\n\n" % (event["cursor"], json.dumps(event).encode()))
                cursor = len(self.events)
                await writer.drain()
                with suppress(TimeoutError):
                    async with self.news:
                        await asyncio.wait_for(self.news.wait(), 1.0)
                writer.write(b": still here\n\n")


def instance(executor, state="in_service", started_unix_ms=0):
    """Return an executor's entry in an event."""
    return {
        "instanceId": executor.name,
        "hostPort": executor.address,
        "zone": "block-a",
        "machineType": "std-8a",
        "cell": 0,
        "lifecycle": state,
        "weight": 1,
        "startedAtMs": started_unix_ms,
    }


# The platform: configuration, start and end of the controller.

SETTINGS = {
    "Balancers": 1,
    "Me": 0,
    "Zone": 0,
    "Zones": ["block-a", "block-b"],
    "Kinds": ["std-8a"],
    "ResolutionMs": 5.0,
    "Ceilings": {
        "Cancel": True,
        "ConnIdleMs": 15000.0,
        "DialTimeoutMs": 250.0,
        "MaxAttempts": 3,
        "MaxOpen": 2000,
        "MaxRetryAfterMs": 2000.0,
        "ParallelTries": True,
        "RetryAfter": True,
    },
    "FamilyInfo": {
        "KindCores": [8],
        "WidthByClass": [1, 4],
        "SizeMb": [16384.0],
        "RanksHeeded": True,
        "TakesGrants": True,
    },
    "Grades": [
        {
            "Name": "lookup",
            "AimMs": 750.0,
            "AimStretch": 1.5,
            "Effect": "repeatable",
            "GiveUpMs": 4000.0,
            "Points": 1.0,
        },
        {
            "Name": "scene-build",
            "AimMs": 2000.0,
            "AimStretch": 2.5,
            "Effect": "repeatable",
            "GiveUpMs": 15000.0,
            "LateWorth": 0.4,
            "Points": 10.0,
        },
    ],
    "Projects": [{"Name": "water-works", "QuotaPerS": 100.0, "Share": 1.0}],
    "Report": {"Columns": ["cpu", "waiting"], "Source": "piggyback"},
    "Rules": {
        "AnswerSlackMs": 20.0,
        "DrainGraceMs": 2000.0,
        "ColdShare": 0.34,
        "FallMultiple": 2.0,
        "OverloadForMs": 2000.0,
        "RampTimeMs": 15000.0,
    },
}


class Controller:
    """One controller, started by the deploy file's `run` as the platform does."""

    def __init__(self, folder, record, channel, host, settings, memory_mb=64, sockets=256):
        self.folder, self.record, self.channel, self.host = folder, record, channel, host
        self.settings, self.memory_mb, self.sockets = settings, memory_mb, sockets
        self.port = free_port(host)
        self.config_path = Path(folder) / "config.json"
        self.process = None
        self.peak_mb = 0.0
        self.was_killed_for_memory = False

    @property
    def address(self):
        """Where clients connect."""
        return f"{self.host}:{self.port}"

    def write_config(self, channel=None):
        """Write the configuration file; replace an earlier one at once."""
        document = {
            "name": "n0",
            "listen": self.address,
            "seed": os.urandom(8).hex(),
            "limits": {"cores": 1.0, "memory_mb": self.memory_mb, "sockets": self.sockets},
            "channel": (channel or self.channel).address,
            "known": self.channel.known(),
            "settings": self.settings,
        }
        new = self.config_path.with_suffix(".new")
        new.write_text(json.dumps(document), encoding="utf-8")
        new.replace(self.config_path)

    def start(self):
        """Start the controller."""
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))["run"]
        self.write_config()
        place = {"RELAY_NAME": "n0", "RELAY_LISTEN": self.address, "RELAY_CONFIG": str(self.config_path)}
        with (Path(self.folder) / "log.txt").open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", run],
                cwd=ROOT,
                env=os.environ | place | {"TMPDIR": str(self.folder)},
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
            )
        PROCESSES.append(self.process)

    def resident_mb(self):
        """Return the controller's resident memory in MB, or 0 if it has ended."""
        with suppress(OSError, ValueError, IndexError):
            pages = Path(f"/proc/{self.process.pid}/statm").read_text(encoding="ascii").split()[1]
            return int(pages) * os.sysconf("SC_PAGE_SIZE") / BYTES_PER_MB
        return 0.0

    async def watch_memory(self):
        """Kill the controller when it is over its memory limit, as DEPLOY.md says of the platform."""
        while self.process.poll() is None:
            resident_mb = self.resident_mb()
            self.peak_mb = max(self.peak_mb, resident_mb)
            if resident_mb > self.memory_mb:
                self.was_killed_for_memory = True
                self.record("killed for memory", resident_mb=f"{resident_mb:.1f}", limit_mb=self.memory_mb)
                self.process.kill()
                return
            await asyncio.sleep(0.01)

    def signal(self, number):
        """Send the controller a signal."""
        self.record("signal", number=signal.Signals(number).name)
        self.process.send_signal(number)

    def stop(self):
        """End the controller, whatever it does, and keep the end of its log in the record."""
        if self.process is None:
            return
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        log = (Path(self.folder) / "log.txt").read_text(encoding="utf-8", errors="replace")
        for line in log.splitlines()[-LOG_LINES:]:
            self.record("log", text=line[:200])


# Clients.


class Request:
    """A client's request and what came of it."""

    def __init__(self, query_id, method, statement, timeout_ms, sent_ms):
        self.query_id, self.method, self.statement = query_id, method, statement
        self.timeout_ms, self.sent_ms = timeout_ms, sent_ms
        self.answered_ms = None
        self.outcome = None  # served, Shed, another error's name, "wrong" or "closed"
        self.answers = 0

    @property
    def due_ms(self):
        """The time by which its final answer has to be there."""
        return self.sent_ms + self.timeout_ms


class Client:
    """A usual client: one connection, at most 32 open requests, ids that rise."""

    def __init__(self, address, record, source=None):
        self.host, _, port = address.rpartition(":")
        self.port, self.record, self.source = int(port), record, source
        self.reader = self.writer = None
        self.number = 0
        self.requests = {}  # by message id
        self.well = asyncio.Event()
        self.is_closed = False

    async def open(self):
        """Connect, and read answers until the connection ends."""
        place = (self.source, 0) if self.source else None
        self.reader, self.writer = await asyncio.open_connection(self.host, self.port, local_addr=place)
        self.task = asyncio.create_task(self._read())

    def ask(self, method, query_id, statement, timeout_ms, **fields):
        """Send a request; return it."""
        self.number += 1
        request = Request(query_id, method, statement, timeout_ms, now_ms())
        self.requests[self.number] = request
        sent = {
            "i": query_id,
            "d": str(int(timeout_ms)),
            "t": "water-works",
            "h": "20.0",
            "mb": "16",
        } | fields
        self.writer.write(msgpack.packb([0, self.number, method, [sent, statement]]))
        request.sent_ms = now_ms()
        self.record("sent", query=query_id, cls=method, timeout_ms=int(timeout_ms), bytes=len(statement))
        return request

    def forget(self, request):
        """Withdraw a request."""
        number = next(number for number, each in self.requests.items() if each is request)
        self.writer.write(msgpack.packb([2, "forget", [number]]))

    def ask_well(self):
        """Ask whether the controller is well."""
        self.number += 1
        self.writer.write(msgpack.packb([0, self.number, "isWell", [{}]]))

    async def _read(self):
        unpacker = msgpack.Unpacker(raw=False)
        with suppress(ConnectionError):
            while data := await self.reader.read(65536):
                unpacker.feed(data)
                for message in unpacker:
                    self._take(message)
        self.is_closed = True
        for request in self.requests.values():
            if request.outcome is None:
                request.outcome = "closed"
                self.record("closed without an answer", query=request.query_id)

    def _take(self, message):
        _, number, error, result = message
        request = self.requests.get(number)
        if request is None:
            if error is None and result[0] is True:
                self.well.set()
            return
        request.answers += 1
        request.answered_ms = now_ms()
        if error is not None:
            request.outcome = error[0]
        else:
            is_right = result[0] == rows_of(request.query_id, request.statement)
            request.outcome = "served" if is_right else "wrong"
        self.record(
            "answered",
            query=request.query_id,
            outcome=request.outcome,
            took_ms=f"{request.answered_ms - request.sent_ms:.1f}",
            of_ms=int(request.timeout_ms),
        )

    def close(self):
        """Close the connection, and read no more."""
        if self.writer is not None:
            self.task.cancel()
            self.writer.close()


async def is_well(address, within_s=20.0):
    """Wait until the controller answers `isWell` with true; return whether it did."""
    until = now_ms() + within_s * 1000.0
    while now_ms() < until:
        client = Client(address, lambda *_, **__: None)
        try:
            await client.open()
            client.ask_well()
            await asyncio.wait_for(client.well.wait(), 1.0)
            return True
        except (OSError, TimeoutError):
            await asyncio.sleep(0.05)
        finally:
            client.close()
    return False


class Load:
    """Usual clients that send requests at a steady rate, each on one of a few connections."""

    def __init__(self, address, record, clients=4, per_s=20.0, timeout_ms=2000.0, hint_ms=50.0):
        self.address, self.record, self.per_s = address, record, per_s
        self.timeout_ms, self.hint_ms, self.count = timeout_ms, hint_ms, clients
        self.clients = []
        self.requests = []
        self.serial = 0

    async def run(self, for_s):
        """Send requests for so long; a client whose connection has ended opens another."""
        self.clients = [Client(self.address, self.record) for _ in range(self.count)]
        for client in self.clients:
            await client.open()
        began = now_ms()
        due = began
        while due < began + for_s * 1000.0:
            await asyncio.sleep(max(0.0, (due - now_ms()) / 1000.0))
            await self._send()
            due += 1000.0 / self.per_s

    async def _send(self):
        place = self.serial % self.count
        self.serial += 1
        client = self.clients[place]
        if client.is_closed:
            client = self.clients[place] = Client(self.address, self.record)
            try:
                await client.open()
            except OSError:
                client.is_closed = True
                return
        statement = b"select name from sales_%d.orders where id = %d" % (self.serial % 7, self.serial)
        request = client.ask("lookup", query_id(self.serial), statement, self.timeout_ms, h=str(self.hint_ms))
        self.requests.append(request)

    def close(self):
        """Close all connections."""
        for client in self.clients:
            client.close()


def query_id(number):
    """Return a request's id: 16 hex digits, new with every request."""
    return f"{int.from_bytes(os.urandom(5), 'big'):010x}{number:06x}"


class Lag:
    """Measures how late this process itself is: a late stand-in must not judge."""

    def __init__(self):
        self.worst_ms = 0.0

    async def run(self):
        """Measure until cancelled."""
        while True:
            due = now_ms() + 10.0
            await asyncio.sleep(0.01)
            self.worst_ms = max(self.worst_ms, now_ms() - due)


def unanswered(requests, slack_ms=SLACK_MS):
    """Return the requests that got no answer at all, or got one later than their time plus the slack."""
    return [
        request
        for request in requests
        if request.answered_ms is None or request.answered_ms > request.due_ms + slack_ms
    ]


class Deployment:
    """A small deployment: executors, the command channel and one controller, started and ended together."""

    def __init__(self, record, folder, executors, settings=None, memory_mb=64, sockets=256):
        self.record, self.folder, self.executors = record, folder, executors
        self.channel = Channel("127.0.0.8", record)
        self.settings = SETTINGS | (settings or {})
        self.memory_mb, self.sockets = memory_mb, sockets
        self.controller = None
        self.lag = Lag()
        self.tasks = []

    async def __aenter__(self):
        """Start everything; end it again and raise an error if that fails."""
        try:
            await self.start()
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def start(self):
        """Start everything; raise `RuntimeError` if the controller is not well in time."""
        for executor in self.executors:
            await executor.start()
        await self.channel.start()
        await self.channel.tell([instance(executor) for executor in self.executors], reset=True)
        self.controller = Controller(
            self.folder, self.record, self.channel, "127.0.0.9", self.settings, self.memory_mb, self.sockets
        )
        self.controller.start()
        if not await is_well(self.controller.address):
            raise RuntimeError("the controller did not answer isWell")
        self.record("well", resident_mb=f"{self.controller.resident_mb():.1f}")
        self.spawn(self.lag.run())

    def spawn(self, coroutine):
        """Run a coroutine beside the case; it ends with the deployment."""
        self.tasks.append(asyncio.create_task(coroutine))

    async def __aexit__(self, *_):
        """End everything."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for executor in self.executors:
            await executor.stop()
        await self.channel.stop()
        if self.controller is not None:
            self.controller.stop()
        await asyncio.sleep(0.1)  # lets the stand-ins' connections end


def judge_answers(record, load, lag):
    """Return whether a request of the usual clients was lost, by FLEET.md: half a second late, or never."""
    if not load.requests:
        raise RuntimeError("no request was sent")
    slack_ms = LOST_AFTER_MS + lag.worst_ms
    lost = unanswered(load.requests, slack_ms)
    outcomes = Counter(str(request.outcome) for request in load.requests)
    record("requests", sent=len(load.requests), lag_ms=f"{lag.worst_ms:.0f}", **outcomes)
    print(f"{len(load.requests)} requests: {dict(outcomes)}; lost: {len(lost)}; lag {lag.worst_ms:.0f} ms")
    for request in lost:
        late = "never" if request.answered_ms is None else f"{request.answered_ms - request.due_ms:.0f}"
        record("lost", query=request.query_id, late_ms=late, outcome=request.outcome)
    return bool(lost)


def end_processes():
    """End what is left of the processes that this one started."""
    for process in PROCESSES:
        if process.poll() is None:
            process.send_signal(signal.SIGCONT)
            process.kill()
        process.wait()


def require_trouble(record, has_trouble, what):
    """Raise `RuntimeError` if the disruption was wanted and did not take place."""
    if has_trouble and not record.counts[what]:
        raise RuntimeError(f"the disruption did not take place: {what}")


def end_on_signal(number, _):
    """End the case in order when it is told to end."""
    raise SystemExit(f"signal {number}")


def run_case(case, folder):
    """Run a case's coroutine with a record, a temporary folder and a time limit; exit with its verdict.

    Whatever fails here is not the rule: the exit status is then 2. What was started is ended in any case.
    """
    verdict, record, place = COULD_NOT_RUN, None, None
    for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGINT):
        signal.signal(number, end_on_signal)
    try:
        has_trouble = os.environ.get("TROUBLE", "1") != "0"
        record, place = Record(folder), tempfile.mkdtemp(prefix="review-")
        verdict = asyncio.run(asyncio.wait_for(case(record, place, has_trouble), RUN_LIMIT_S))
        record("verdict", trouble=int(has_trouble), result=VERDICTS[verdict].replace(" ", "-"))
    except BaseException as exc:
        verdict = COULD_NOT_RUN
        print(f"{type(exc).__name__}: {exc}")
        if record is not None:
            record("could not run", error=f"{type(exc).__name__}: {exc}")
    finally:
        end_processes()
        if record is not None:
            record.close()
        if place is not None:
            shutil.rmtree(place, ignore_errors=True)
    print(VERDICTS[verdict])
    sys.exit(verdict)
