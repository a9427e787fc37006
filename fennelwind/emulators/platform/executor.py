"""A stand-in executor: runs statements by the model of an engine, with faults switched on while it runs.

A statement carries its true needs in a comment, which controllers hand on unread:
`/* standin work=120.5 width=4 need=300.0 rows=3 */`.
"""

import re
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from fennelwind.audit.observations import (
    DELETED,
    ERROR,
    EXPIRED,
    LOST,
    NOT_RUN,
    OK,
    Began,
    Ended,
    Lived,
    Odd,
    Sighting,
)
from fennelwind.emulators.model import Job, Machine, Model
from fennelwind.emulators.platform.http import BadCall, Call, CallReader, answer
from fennelwind.emulators.runner import Runner
from fennelwind.loop import Address, Loop, Once, Stream, StreamReset

NEWS_MS = 250.0  # ms after which a query that goes on is told so, as the protocol states
UNASKED_MS = 2000.0  # ms without being asked for after which a query is given up, as the protocol states
KEPT_MS = 10_000.0  # ms that a result is kept after its end
PAGE_BYTES = 6000  # bytes of a page, as the protocol states
ERROR_PART = 0.02  # part of its work after which a statement that errs is done: errors come quickly
SPILL_SHARE = 2.0  # times the work that a query granted nothing of what it needs has to do more
NEEDS = re.compile(rb"/\* standin work=([0-9.]+) width=([0-9]+) need=([0-9.]+) rows=([0-9]+) \*/")
GROUP = re.compile(rb"_([0-9]{1,7})\.")


@dataclass(slots=True)
class Faults:
    """What is wrong with an executor now."""

    slow: float = 1.0  # times the usual time
    error: float = 0.0  # share of the statements that end with an error
    lose: bool = False  # answers get lost, probes pass
    hang: bool = False  # everything is taken, nothing answered
    refuse: bool = False  # full
    spoil: float = 0.0  # share of the answers that are cut or noise
    late_ms: float = 0.0  # reports are so much older
    noise: float = 0.0  # and so much noisier


@dataclass(slots=True, frozen=True)
class Reporting:
    """How an executor reports its load."""

    fields: tuple[str, ...] = ()
    period_ms: float = 300.0
    delay_ms: float = 0.0
    noise: float = 0.0


@dataclass(slots=True, eq=False)
class _Query:
    name: str
    job: Job
    rows: int
    ended: Once
    asked_at: float
    began: Began
    fails: bool = False
    done_at: float = 0.0
    how: str = ""  # empty while it runs
    pages: tuple[bytes, ...] = ()


class Executor:
    """One executor at an address; `start` begins its life, `end` ends it."""

    def __init__(
        self,
        loop: Loop,
        instance: str,
        address: Address,
        machine: Machine,
        *,
        reporting: Reporting,
        random: Random,
        note: Callable[[Sighting], None],
        clock: Callable[[], float],
        caller: Callable[[Stream], int],
    ) -> None:
        self.loop, self.instance, self.address, self.machine = loop, instance, address, machine
        self.reporting, self.random, self.note = reporting, random, note
        self.clock = clock  # ms of the day
        self.caller = caller  # the number of the controller at the other end of a connection
        self.faults = Faults()
        self.model: Model | None = None
        self.alive = False
        self.most_streams = 0
        self.probes = 0
        self._runner: Runner | None = None
        self._listener = None
        self._streams: dict[Stream, None] = {}
        self._queries: dict[str, _Query] = {}
        self._by_job: dict[Job, _Query] = {}
        self._reports: deque[tuple[float, dict[str, float]]] = deque()
        self._tasks: list = []

    def start(self, cold: bool) -> None:
        """Begin its life. Raises `OSError` if the address can't be had."""
        self._listener = self.loop.listen(self.address)
        self.model = Model(self.machine, self.loop.now(), cold)
        self.model.slow = self.faults.slow
        self._runner = Runner(self.loop, self.model, self._done)
        self.alive = True
        self.note(Lived(self.clock(), self.instance, "start"))
        self._tasks = [
            self.loop.spawn(self._accept, name=f"{self.instance}: accept"),
            self.loop.spawn(self._sweep, name=f"{self.instance}: sweep"),
        ]

    def end(self, what: str = "end") -> None:
        """End it at once: connections break, work is lost."""
        if not self.alive:
            return
        self.alive = False
        self._runner.stop()
        self._listener.close()
        for stream in list(self._streams):
            stream.abort()
        for query in list(self._queries.values()):
            if not query.how:
                self._close(query, LOST)
        self._queries.clear()
        self.note(Lived(self.clock(), self.instance, what))
        for task in self._tasks:
            if task is not self.loop.current:
                task.cancel()

    def set_slow(self, times: float) -> None:
        """Make everything take so many times as long from now on."""
        self.faults.slow = times
        if self.alive:
            self._runner.slow(times)

    # Connections.

    def _accept(self) -> None:
        while self.alive:
            try:
                stream = self._listener.accept()
            except StreamReset:
                return
            self._streams[stream] = None
            self.most_streams = max(self.most_streams, len(self._streams))
            self.loop.spawn(self._serve, stream, name=f"{self.instance}: connection")

    def _serve(self, stream: Stream) -> None:
        reader, caller = CallReader(), self.caller(stream)
        try:
            while data := stream.read():
                for call in reader.feed(data):
                    while self.faults.hang:
                        self.loop.sleep(NEWS_MS)
                    raw = self._answer(call, caller)
                    if self.faults.lose and call.path.startswith("/data"):
                        continue
                    if raw.startswith(b"HTTP/1.1 200") and self.random.random() < self.faults.spoil:
                        if self.random.random() < 0.5:
                            raw = self.random.randbytes(40) + b"\r\n\r\n"
                        else:
                            stream.write(raw[: len(raw) // 2])
                            return
                    stream.write(raw)
        except BadCall as exc:
            self.note(Odd(self.clock(), caller, f"{self.instance}: {exc}"))
        except StreamReset:
            pass
        finally:
            self._streams.pop(stream, None)
            stream.close()

    def _sweep(self) -> None:
        """Refresh the report; give up queries that nobody asks for; forget old results."""
        looked = self.loop.now()
        while True:
            now = self.loop.now()
            self._runner.look()
            self._reports.append((now, self.model.load()))
            while len(self._reports) > 2 and self._reports[1][0] < now - 10_000.0:
                self._reports.popleft()
            if now - looked > 500.0:
                looked = now
                for query in list(self._queries.values()):
                    if not query.how and now - query.asked_at > UNASKED_MS:
                        self._close(query, EXPIRED)
                    elif query.how and now - query.done_at > KEPT_MS:
                        del self._queries[query.name]
            self.loop.sleep(max(self.reporting.period_ms, 10.0))

    # Calls.

    def _answer(self, call: Call, caller: int) -> bytes:
        if call.path in ("/-/ok", "/-/gauges"):
            self.probes += 1
            return answer(200, X_Load=self._load())
        parts = call.path.split("/")
        if call.verb == "POST" and call.path == "/data":
            return self._post(call, caller)
        query = self._queries.get(parts[2]) if len(parts) > 2 else None
        if query is None:
            return answer(500)
        if call.verb == "DELETE":
            if not query.how:
                self._close(query, DELETED)
            self._queries.pop(query.name, None)
            return answer(204)
        if call.verb == "PUT":
            query.job.priority = int(call.body or b"1")
            self._runner.slow(self.faults.slow)
            return answer(204)
        number = int(parts[3]) if len(parts) > 3 and parts[3].isdecimal() else -1
        if number == 0:
            return self._news(query)
        if query.how != OK or not 0 < number < len(query.pages):
            return answer(500)
        return answer(200, query.pages[number], X_Batch=number, X_Load=self._load())

    def _post(self, call: Call, caller: int) -> bytes:
        name, now = call.fields.get("x-req", ""), self.clock()
        needs = NEEDS.search(call.body)
        if needs is None or not name or "x-class" not in call.fields:
            self.note(Odd(now, caller, f"{self.instance}: a statement that no client wrote"))
            return answer(500)
        work, width, need, rows = float(needs[1]), int(needs[2]), float(needs[3]), int(needs[4])
        grant = float(call.fields.get("x-reserve", "0"))
        began = Began(now, self.instance, name, caller, call.fields["x-class"], work, need, grant)
        self.note(began)
        if self.faults.refuse:
            self.note(Ended(now, self.instance, name, NOT_RUN))
            return answer(503, X_Not_Run=1, X_Load=self._load())
        fails = self.random.random() < self.faults.error
        if fails:
            work *= ERROR_PART
        elif 0.0 < grant < need:
            work *= 1.0 + SPILL_SHARE * (1.0 - grant / need)
        group = GROUP.search(call.body)
        job = Job(
            work,
            width,
            grant or need,
            int(group[1]) if group else None,
            int(call.fields.get("x-weight-class", "1")),
        )
        query = _Query(name, job, rows, Once(self.loop), self.loop.now(), began, fails)
        before = self._queries.get(name)
        if before is not None and not before.how:
            self._close(before, DELETED)
        self._queries[name] = self._by_job[job] = query
        self._runner.add(job)
        if self.model.fallen:
            self.end("fall")
            raise StreamReset("fallen over")
        return self._news(query)

    def _news(self, query: _Query) -> bytes:
        """Answer with the query's end, or after a while that it goes on."""
        query.asked_at = self.loop.now()
        if not query.how:
            wake = self.loop.after(NEWS_MS, lambda: query.ended.set() if not query.how else None)
            query.ended.wait()
            wake.cancel()
            query.asked_at = self.loop.now()
            if not query.how:
                query.ended = Once(self.loop)
                return answer(202, X_Load=self._load())
        if query.how == OK:
            return answer(200, query.pages[0], X_Batches=len(query.pages), X_Load=self._load())
        return answer(500, X_Load=self._load())

    def _done(self, job: Job) -> None:
        query = self._by_job.get(job)
        if query is not None:
            self._close(query, ERROR if query.fails else OK)

    def _close(self, query: _Query, how: str) -> None:
        query.how, query.done_at = how, self.loop.now()
        self._by_job.pop(query.job, None)
        proof = ""
        if how == OK:
            proof = f"{self.random.getrandbits(64):016x}"
            row = f"{query.name}\t{self.instance}\t{proof}\n".encode()
            per_page = max(1, PAGE_BYTES // len(row))
            query.pages = tuple(
                row * min(per_page, query.rows - start) for start in range(0, query.rows, per_page)
            )
        elif how in (DELETED, EXPIRED):
            self._runner.remove(query.job)
        query.ended.set()
        self.note(Ended(self.clock(), self.instance, query.name, how, proof))

    def _load(self) -> str:
        """Return the report as it was a while ago, with noise."""
        now, told = self.loop.now(), self._reports[0][1] if self._reports else self.model.load()
        for at, figures in self._reports:
            if at <= now - self.reporting.delay_ms - self.faults.late_ms:
                told = figures
        noise = self.reporting.noise + self.faults.noise
        return ";".join(
            f"{name}:{max(0.0, told[name] * (1.0 + noise * self.random.gauss(0.0, 1.0))):.4g}"
            for name in self.reporting.fields
        )
