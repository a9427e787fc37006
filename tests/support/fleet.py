"""A small fleet on any loop: settings, emulated engines, a controller, and a client."""

import base64
from pathlib import Path

import h11

from fennelwind import config
from fennelwind.cli.program import Program
from fennelwind.emulators.engine import Engine
from fennelwind.emulators.model import Machine
from fennelwind.engines.connection import EngineConnection, RemoteError
from fennelwind.loop import Address, StreamReset
from fennelwind.thrift import hiveserver2 as hs2
from fennelwind.thrift.messages import CALL, read_message, write_message

SETTINGS = """
listener { address: "127.0.0.1:0" http_address: "127.0.0.1:0" max_connections: 100 max_sessions: 100
           max_operations: 20 idle_ms: 60000
           long_poll_ms: 500 max_request_bytes: 1000000 max_connections_per_address: 3000
           max_sessions_per_user: 100 max_bytes_per_s_per_user: 0 }
classes { name: "lookup" aim_ms: 400 give_up_ms: 2000 worth: 1 effect: SAFE threads: 1 }
classes { name: "build" aim_ms: 1500 aim_stretch: 9 give_up_ms: 30000 worth: 10 effect: SAFE threads: 4 }
classes { name: "load" aim_ms: 800 give_up_ms: 3000 worth: 3 effect: UNSAFE threads: 1 }
classes { name: "metadata" aim_ms: 500 give_up_ms: 2000 worth: 2 effect: SAFE threads: 1 }
metadata_class: "metadata"
selectors { query_class: "build" statement: "(?i)build" }
selectors { query_class: "load" statement: "(?i)load" }
selectors { query_class: "lookup" statement: "(?i)select" }
kinds { name: "k" cores: 8 }
%(engines)s
links { transport: SASL max_links: 50 connect_ms: 300 idle_ms: 5000 page_rows: 1000
        max_result_bytes: 10000000 }
traits { memory_grants: false priorities: false when_short_of_memory: SPILL note_ms: %(note)s
         tells_cost: true report_fields: "active" }
rules { answer_margin_ms: 30 answer_margin_most_ms: 200 drain_grace_ms: 1000 cold_share: 0.35
        cold_ms: 10000 fall_multiple: 3
        fall_ms: 2000
        settle_ms: 0 budget_free: 5 budget_share: 0.2 budget_ms: 10000 max_attempts: 3 cancel: true
        parallel: false max_retry_after_ms: 500 }
gateways: 1 me: 0 max_open: %(open)d
"""


class Seen:
    """An observer that records every event."""

    def __init__(self):
        self.answers, self.attempts, self.texts, self.failures = [], [], [], []

    def answered(self, entry):
        self.answers.append((entry.query, entry.answer.kind))

    def attempted(self, entry, number, engine, end, took_ms):
        self.attempts.append((entry.query, number, engine, end.status))

    def logged(self, text):
        self.texts.append(text)

    def council(self, what, facts):
        self.texts.append(what)

    def failed(self, where, exc):
        self.failures.append((where, exc))


class HttpClient:
    """Thrift client over HTTP with the calls of `EngineConnection`; without `opens`, it opens no session."""

    def __init__(self, loop, address, user="ann", password="x", opens=True):
        self.loop, self.stream = loop, loop.connect(address)
        self.begin(user, password, opens)

    def begin(self, user="ann", password="x", opens=True):
        self.http, self.sequence, self.cookie = h11.Connection(h11.CLIENT), 0, None
        basic = base64.b64encode(f"{user}:{password}".encode())
        self.headers = [("host", "there"), ("authorization", b"Basic " + basic)]
        self.session = (
            self.call("OpenSession", hs2.TOpenSessionReq(client_protocol=9)).sessionHandle if opens else None
        )

    def request(self, method, body):
        self.sequence += 1
        message = write_message(method, CALL, self.sequence, body)
        sent = self.headers if self.cookie is None else [self.headers[0], ("cookie", self.cookie)]
        return b"".join(
            self.http.send(event)
            for event in (
                h11.Request(
                    method="POST",
                    target="/cliservice",
                    headers=[*sent, ("content-length", str(len(message)))],
                ),
                h11.Data(data=message),
                h11.EndOfMessage(),
            )
        )

    def answer(self):
        """Return the status and body of the next response."""
        status, body = None, b""
        while True:
            event = self.http.next_event()
            if event is h11.NEED_DATA:
                self.http.receive_data(self.stream.read())
            elif isinstance(event, h11.Response):
                status = event.status_code
                self.cookie = next(
                    (v.split(b";")[0] for k, v in event.headers if k == b"set-cookie"), self.cookie
                )
            elif isinstance(event, h11.Data):
                body += event.data
            else:
                break
        if self.http.our_state is h11.DONE and self.http.their_state is h11.DONE:
            self.http.start_next_cycle()
        return status, body

    def call(self, method, body):
        self.stream.write(self.request(method, body))
        status, raw = self.answer()
        if status != 200:
            raise StreamReset(f"HTTP status {status}")
        message, _ = read_message(raw)
        if message.sequence != self.sequence or message.method != method:
            raise StreamReset("a reply to another call")
        told = getattr(message.body, "status", None)
        if told is not None and told.statusCode in (hs2.ERROR, hs2.INVALID_HANDLE):
            raise RemoteError(f"{method}: {told.errorMessage}", told)
        return message.body

    def drop(self):
        self.stream.abort()


class Fleet:
    """Two engines (or more) and a controller; build it inside the loop."""

    def __init__(
        self, loop, engines=2, note=0, max_open=1000, change=lambda text: text, folder=Path(), **engine
    ):
        self.loop = loop
        here = Address("127.0.0.1", 0)
        self.engines = [Engine(loop, here, Machine(8), note_ms=note, **engine) for _ in range(engines)]
        for engine in self.engines:
            engine.start(cold=False)
        listed = "\n".join(f'engines {{ address: "{e.name}" kind: "k" }}' for e in self.engines)
        text = change(self.text(listed, note, max_open))
        self.settings = config.read(text, folder=folder)
        self.seen = Seen()
        self.program = Program(loop, self.settings, self.seen, seed=1)
        self.program.start()

    @staticmethod
    def text(engines, note=0, max_open=1000):
        return SETTINGS % {"engines": engines, "note": note, "open": max_open}

    def client(self, transport="sasl", user="ann"):
        if transport == "http":
            return HttpClient(self.loop, self.program.http.listener.address, user)
        link = EngineConnection(self.loop, self.program.address, transport, user)
        link.open()
        return link

    def sent_to(self, engine):
        return [a for a in self.seen.attempts if a[2] == engine.name]


def execute(link, statement, work=10.0, rows=3, asynchronous=False, timeout=0, **more):
    """Run a statement; return its operation's handle. Raises `RemoteError`."""
    overlay = {"standin.work_ms": str(work), "standin.rows": str(rows)}
    overlay |= {"fennelwind.work_ms": str(work)} | more
    request = hs2.TExecuteStatementReq(
        sessionHandle=link.session,
        statement=statement,
        confOverlay=overlay,
        runAsync=asynchronous,
        queryTimeout=timeout,
    )
    return link.call("ExecuteStatement", request).operationHandle


def status(link, handle):
    return link.call("GetOperationStatus", hs2.TGetOperationStatusReq(operationHandle=handle))


def fetch(link, handle, most=1000, orientation=hs2.FETCH_NEXT):
    return link.call(
        "FetchResults",
        hs2.TFetchResultsReq(operationHandle=handle, orientation=orientation, maxRows=most, fetchType=0),
    )


def ids(reply):
    return reply.results.columns[0].i64Val.values


def outcome(call):
    """Return "served", or the SQLSTATE of the error."""
    try:
        call()
    except RemoteError as exc:
        return exc.status.sqlState
    return "served"
