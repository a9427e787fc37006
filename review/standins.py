"""Stand-ins for the review's cases: executors, command channel, clients and the platform, on loopback.

They follow the users' pages and run in the process of a case, in one asyncio loop. The controller runs as a
process of its own, started by the `run` command of the deploy file. Needs only what the deploy file's build
installs.
"""

import asyncio
import contextlib
import json
import os
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgpack

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
POLL_S = 0.25  # protocol: a status call is answered after 250 ms with 202 if there is no news
UNASKED_S = 2.0  # protocol: an executor gives up a query that nobody has asked for in 2 s
ROWS = b"a\tb\tc\nd\te\tf\n"
MAX_PLAY_S = 110.0  # a case may take 120 s
READY_S = 30.0  # standing test: a controller is ready within 30 s

HELD, BROKEN, NOT_RUN = 0, 1, 2  # exit codes of a case


class CannotRunError(Exception):
    """The case could not be played; says nothing about the rule."""


class Record:
    """The file `record.txt` of a case: one line for each thing that was sent, answered or run."""

    def __init__(self, folder: Path) -> None:
        self.began = time.monotonic()
        self.file = open(folder / "record.txt", "w", encoding="utf-8")  # noqa: SIM115 - open for the whole run

    def note(self, who: str, text: str) -> None:
        """Write a line with the seconds since the start."""
        self.file.write(f"{time.monotonic() - self.began:8.3f} {who}: {text}\n")
        self.file.flush()


def free_port() -> int:
    """Return a port of the loopback address that is free now."""
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        return sock.getsockname()[1]


# Executors.


@dataclass
class Run:
    """One attempt at an executor."""

    query: str
    statement: bytes
    arrived_at: float  # when its last byte was read
    due_at: float
    asked_at: float
    ended_at: float | None = None
    end: str = ""


def response(status: int, body: bytes = b"", **headers: Any) -> bytes:
    """Return an HTTP response."""
    lines = [b"HTTP/1.1 %d Status" % status]
    lines += [
        b"%s: %s" % (name.replace("_", "-").encode(), str(text).encode()) for name, text in headers.items()
    ]
    if status != 204:
        lines.append(b"Content-Length: %d" % len(body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


class Executor:
    """An executor that runs each statement for `work_s(statement)` seconds, any number at once."""

    def __init__(self, name: str, record: Record, work_s: Callable[[bytes], float]) -> None:
        self.name, self.record, self.work_s = name, record, work_s
        self.runs: list[Run] = []
        self.known: dict[str, Run] = {}
        self.address = ""
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self._serve, HOST, 0, limit=1 << 20)
        self.address = f"{HOST}:{self.server.sockets[0].getsockname()[1]}"

    def stop(self) -> None:
        """Accept no further connections."""
        if self.server is not None:
            self.server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
                verb, path, _ = head[0].split(" ")
                fields = dict(line.split(": ", 1) for line in head[1:] if line)
                body = await reader.readexactly(int(fields.get("Content-Length", "0")))
                raw = await self._answer(verb, path, fields, body)
                spoilt = self.spoil(raw)
                writer.write(spoilt or raw)
                await writer.drain()
                if spoilt:  # the connection serves no further use
                    await reader.read()
                    break
        writer.close()

    def spoil(self, raw: bytes) -> bytes | None:
        """Return what is written in place of an answer, or None to write it unspoilt."""
        return None

    def rows(self, run: Run) -> bytes:
        """Return the result of a run."""
        return ROWS

    async def _answer(self, verb: str, path: str, fields: dict[str, str], body: bytes) -> bytes:
        if path.startswith("/-/"):
            return response(200)
        now = time.monotonic()
        if verb == "POST":
            query = fields["X-Req"]
            run = Run(query, body, now, now + self.work_s(body), now)
            self.runs.append(run)
            self.known[query] = run
            self.record.note(self.name, f"run {query}")
            return await self._status(run)
        query = path.split("/")[2]
        run = self.known.get(query)
        if run is not None and run.ended_at is None and now > run.asked_at + UNASKED_S + POLL_S:
            self._end(run, "given up: nobody asked for it", run.asked_at + UNASKED_S)
            del self.known[query]
            run = None
        if verb == "DELETE":
            if run is not None and run.ended_at is None:
                self._end(run, "deleted", now)
            self.known.pop(query, None)
            return response(204)
        if run is None:
            return response(500)
        run.asked_at = now
        return response(204) if verb == "PUT" else await self._status(run)

    async def _status(self, run: Run) -> bytes:
        await asyncio.sleep(max(0.0, min(POLL_S, run.due_at - time.monotonic())))
        run.asked_at = time.monotonic()
        if self.known.get(run.query) is not run:
            return response(500)
        if time.monotonic() < run.due_at:
            return response(202)
        if run.ended_at is None:
            self._end(run, "served", time.monotonic())
        return response(200, self.rows(run), X_Batches=1)

    def _end(self, run: Run, end: str, at: float) -> None:
        run.end, run.ended_at = end, at
        self.record.note(self.name, f"{end} {run.query}")


def instance(executor: Executor, state: str = "in_service") -> dict[str, Any]:
    """Return an executor's item in the list."""
    return {
        "instanceId": executor.name,
        "hostPort": executor.address,
        "zone": "hall-a",
        "machineType": "std-8",
        "cell": 0,
        "lifecycle": state,
        "weight": 1,
        "startedAtMs": 0,
    }


def event(cursor: int, instances: list[dict[str, Any]], full: bool = False) -> dict[str, Any]:
    """Return an event of the command channel."""
    return {"cursor": cursor, "nodes": {"generation": cursor, "reset": full, "instances": instances}}


class Channel:
    """The command channel: server-sent events after `Last-Event-ID`, and a comment every second."""

    def __init__(self, record: Record, delay_s: Callable[[], float] = lambda: 0.0) -> None:
        self.record, self.delay_s = record, delay_s
        self.events: list[dict[str, Any]] = []
        self.asked = 0
        self.address = ""

    async def start(self) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, HOST, 0)
        self.address = f"{HOST}:{server.sockets[0].getsockname()[1]}"

    def tell(self, told: dict[str, Any]) -> float:
        """Put an event into the channel; return the time."""
        self.events.append(told)
        states = [(item["instanceId"], item["lifecycle"]) for item in told["nodes"]["instances"]]
        self.record.note("channel", f"event {told['cursor']} told: {states}")
        return time.monotonic()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.asked += 1
        number = self.asked
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            head = await reader.readuntil(b"\r\n\r\n")
            last = int(re.search(rb"Last-Event-ID: (\d+)", head)[1])
            delay_s = self.delay_s()
            self.record.note("channel", f"watch {number} asks after {last}; answered in {delay_s:.1f} s")
            ended = asyncio.ensure_future(_wait_for_end(reader))
            await asyncio.wait([ended], timeout=delay_s)
            if ended.done():
                self.record.note("channel", f"watch {number} was closed by the controller before its answer")
                writer.close()
                return
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n")
            comment_at = 0.0
            while not ended.done():
                for told in [told for told in self.events if told["cursor"] > last]:
                    last = told["cursor"]
                    writer.write(b"id: %d\ndata: %s\n\n" % (last, json.dumps(told).encode()))
                    self.record.note("channel", f"watch {number} gets event {last}")
                if time.monotonic() >= comment_at:
                    writer.write(b": here\n\n")
                    comment_at = time.monotonic() + 1.0
                await writer.drain()
                await asyncio.wait([ended], timeout=0.02)
        writer.close()


async def _wait_for_end(reader: asyncio.StreamReader) -> None:
    with contextlib.suppress(OSError):
        await reader.read(1)


# Clients.


@dataclass
class Request:
    """A request as its client sees it."""

    query: str
    wait_ms: float
    sent_at: float = 0.0  # when its last byte was written
    answers: list[tuple[float, str]] = field(default_factory=list)
    result: bytes | None = None  # the rows of a served answer


class Client:
    """A client's connection."""

    def __init__(self, name: str, record: Record, quiet: bool = False) -> None:
        self.name, self.record, self.quiet = name, record, quiet
        self.requests: dict[int, Request] = {}
        self.number = 0
        self.ended_at: float | None = None
        self.end = ""
        self.reader: asyncio.StreamReader
        self.writer: asyncio.StreamWriter
        self.on_answer: Callable[[Request, str], Awaitable[None] | None] = lambda _request, _kind: None

    async def connect(self, port: int) -> "Client":
        """Connect to the controller."""
        self.reader, self.writer = await asyncio.open_connection(HOST, port)
        self.task = asyncio.ensure_future(self._read())
        return self

    def note(self, text: str) -> None:
        """Write a line to the record unless the client is quiet."""
        if not self.quiet:
            self.record.note(self.name, text)

    async def request(
        self, query: str, cls: str, wait_ms: float, statement: bytes, work_ms: float = 100.0
    ) -> Request:
        """Send a request as a whole."""
        self.number += 1
        fields = {"i": query, "d": f"{wait_ms:.0f}", "t": "acme", "h": f"{work_ms:.1f}", "mb": "64"}
        asked = self.requests[self.number] = Request(query, wait_ms)
        self.writer.write(msgpack.packb([0, self.number, cls, [fields, statement]]))
        await self.writer.drain()
        asked.sent_at = time.monotonic()
        self.note(f"sent {query}: {cls}, {len(statement)} bytes of statement, waits {wait_ms:.0f} ms")
        return asked

    async def _read(self) -> None:
        unpacker = msgpack.Unpacker(raw=False)
        try:
            while data := await self.reader.read(65536):
                unpacker.feed(data)
                for _, number, error, result in unpacker:
                    asked = self.requests.get(number)
                    kind = "served" if error is None else error[0]
                    if asked is not None:
                        asked.answers.append((time.monotonic(), kind))
                        asked.result = result[0] if error is None else None
                        self.note(f"answer to {asked.query}: {kind} {error[1] if error else ''}")
                        waits = self.on_answer(asked, kind)
                        if waits is not None:
                            await waits
            self.end = "closed"
        except OSError as exc:
            self.end = f"reset ({exc.strerror})"
        self.ended_at = time.monotonic()
        self.note(f"the controller ended the connection: {self.end}")

    def close(self) -> None:
        """Close the connection."""
        self.task.cancel()
        self.writer.close()


# The platform.


def run_command() -> str:
    """Return the command `run` of the deploy file."""
    with open(ROOT / "deploy" / "balancer.toml", "rb") as file:
        return tomllib.load(file)["run"]


# The figures of caerdydd-main: two classes, no second copies, a budget of further attempts.
SETTINGS: dict[str, Any] = {
    "Balancers": 1,
    "Me": 0,
    "Zone": 0,
    "Zones": ["hall-a", "hall-b", "hall-c"],
    "Kinds": ["std-8", "std-16"],
    "Ceilings": {
        "Cancel": True,
        "ConnIdleMs": 15000.0,
        "DialTimeoutMs": 250.0,
        "MaxAttempts": 4,
        "MaxOpen": 25030,
        "MaxRetryAfterMs": 500.0,
        "ParallelTries": False,
        "Peers": False,
        "Probing": False,
        "RetryAfter": False,
    },
    "FamilyInfo": {
        "KindCores": [8, 16],
        "SizeMb": [16384.0, 32768.0],
        "WidthByClass": [1, 3],
        "RanksHeeded": False,
        "TakesGrants": True,
        "WhenShort": "queue",
    },
    "Grades": [
        {
            "Name": "lookup",
            "AimMs": 600.0,
            "AimStretch": 2.0,
            "Effect": "repeatable",
            "GiveUpMs": 3000.0,
            "Points": 1.0,
            "LateWorth": 0.1,
        },
        {
            "Name": "report",
            "AimMs": 2000.0,
            "AimStretch": 2.5,
            "Effect": "repeatable",
            "GiveUpMs": 20000.0,
            "Points": 12.0,
            "LateWorth": 0.3,
        },
    ],
    "Projects": [{"Name": "acme", "QuotaPerS": 100.0, "Share": 1.0}],
    "Report": {"Columns": ["active", "cpu"], "Source": "piggyback"},
    "ResolutionMs": 5.0,
    "Rules": {
        "AnswerSlackMs": 20.0,
        "DrainGraceMs": 2000.0,
        "ColdShare": 0.3,
        "FallMultiple": 2.5,
        "OverloadForMs": 1500.0,
        "RampTimeMs": 13000.0,
        "ExtraFloor": 2.0,
        "FurtherRatio": 0.2,
        "LookBackMs": 10000.0,
    },
}


class Controller:
    """A controller, started by the deploy file's `run` from the root of the repository."""

    def __init__(self, record: Record, channel: str, known: list[dict[str, Any]], **changes: Any) -> None:
        self.record, self.port = record, free_port()
        self.folder = tempfile.TemporaryDirectory()
        self.path = Path(self.folder.name) / "config.json"
        listen = f"{HOST}:{self.port}"
        self.config: dict[str, Any] = {
            "name": "n0",
            "listen": listen,
            "seed": "8c1f30d27a5be964",
            "channel": channel,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": {"cursor": known[-1]["cursor"], "cmds": known},
            "settings": SETTINGS,
        } | changes
        self.path.write_text(json.dumps(self.config), encoding="utf-8")
        self.log = open(Path(self.folder.name) / "log", "w+", encoding="utf-8")  # noqa: SIM115
        environment = os.environ | {
            "RELAY_NAME": "n0",
            "RELAY_LISTEN": listen,
            "RELAY_CONFIG": str(self.path),
        }
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", run_command()], cwd=ROOT, env=environment, stdout=self.log, stderr=self.log
        )
        self.record.note("platform", f"started the controller, process {self.process.pid}")

    async def ready(self) -> None:
        """Wait until the controller answers `isWell` with true."""
        until = time.monotonic() + READY_S
        while time.monotonic() < until:
            if self.process.poll() is not None:
                break
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection(HOST, self.port)
                writer.write(msgpack.packb([0, 1, "isWell", [{}]]))
                answer = msgpack.unpackb(await reader.read(1000))
                writer.close()
                if answer[3] and answer[3][0]:
                    self.record.note("platform", "the controller is ready")
                    return
            await asyncio.sleep(0.05)
        raise CannotRunError("the controller did not get ready")

    def signal(self, number: int) -> float:
        """Send a signal to the controller; return the time."""
        self.record.note("platform", f"sends {signal.Signals(number).name}")
        self.process.send_signal(number)
        return time.monotonic()

    def resident_mb(self) -> float:
        """Return the memory that the controller holds, in MB, or 0 if it has ended."""
        with contextlib.suppress(OSError, ValueError):
            pages = int(Path(f"/proc/{self.process.pid}/statm").read_text("ascii").split()[1])
            return pages * os.sysconf("SC_PAGE_SIZE") / 1e6
        return 0.0

    def end(self) -> None:
        """Kill the controller if it still runs; copy its log to the record."""
        with contextlib.suppress(ProcessLookupError):
            self.process.kill()
        self.process.wait()
        self.log.seek(0)
        for line in self.log.read().splitlines()[-40:]:
            self.record.note("log", line)
        self.log.close()
        self.folder.cleanup()


def trouble() -> bool:
    """Return whether the disruption is to be played: not with TROUBLE=0."""
    return os.environ.get("TROUBLE", "1") != "0"


async def _limited(case: Callable[[Record], Awaitable[str]], record: Record) -> str:
    """Play a case for a limited time; a signal ends it, and with it all that it started."""
    task = asyncio.current_task()
    for number in (signal.SIGINT, signal.SIGTERM):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    return await asyncio.wait_for(case(record), MAX_PLAY_S)


def play(folder: Path, case: Callable[[Record], Awaitable[str]]) -> int:
    """Play a case; return its exit code. The case returns what broke the rule, or "" if it held."""
    record = Record(folder)
    record.note("case", f"disruption {'on' if trouble() else 'off'}")
    try:
        verdict = asyncio.run(_limited(case, record))
    except (CannotRunError, OSError, asyncio.CancelledError) as exc:
        record.note("case", f"could not run: {exc!r}")
        print(f"could not run: {exc!r}", file=sys.stderr)
        return NOT_RUN
    record.note("case", f"BROKEN: {verdict}" if verdict else "the rule held")
    print(f"BROKEN: {verdict}" if verdict else "the rule held")
    return BROKEN if verdict else HELD
