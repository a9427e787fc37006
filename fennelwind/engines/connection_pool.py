"""Links to engines: pooled connections with a session each, and the one way an attempt goes over them.

An attempt is ExecuteStatement (async), GetOperationStatus until it has ended, then the pages of its result.
Each way it can end is one outcome of the module's; `_Sent` draws the line before which nothing can have
run:

- before ExecuteStatement is written, whatever breaks is `connect_failed`, and a refused session is `full`
- an engine's word `fennelwind-not-run` is `full`: turned away unseen
- an error that is the statement's own (`verdicts.py`) is an answer, `ok`: it would fail anywhere
- after it, a broken connection or bytes that are no reply are `reset`, an error status is `error`
- with no descriptors left here, `moot`: never sent, and no fault of the engine's
- `timeout` when the time is up, `cancelled` when called off; the operation left behind is reaped

An operation is reaped over a link of its own: it is cancelled and closed, within a time and a number.
"""

import ssl
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from copy import copy

from hdrh.histogram import HdrHistogram

from fennelwind.config import settings_pb2 as pb
from fennelwind.dispatch.types import AttemptEnd, AttemptRequest, Result
from fennelwind.engines.row_stream import RowStream, may_flow
from fennelwind.engines.statement_status import ANSWER, FAULT, TURNED_AWAY, choose_link, verdict
from fennelwind.errors import FennelwindError
from fennelwind.loop import (
    Address,
    ConnectFailed,
    DeadlineExceeded,
    LocalConnectFailure,
    Loop,
    Stream,
    StreamReset,
    TlsStream,
    parse_address,
)
from fennelwind.policy import ProgressKind
from fennelwind.thrift import hints, messages
from fennelwind.thrift import hiveserver2 as hs2
from fennelwind.thrift.codec import Malformed, Structure
from fennelwind.thrift.hiveserver2 import row_count
from fennelwind.thrift.messages import Message
from fennelwind.thrift.transport import BUFFERED, FRAMED, SASL, ClientSide

TRANSPORTS = {pb.EngineLinks.SASL: SASL, pb.EngineLinks.BUFFERED: BUFFERED, pb.EngineLinks.FRAMED: FRAMED}
REAP_MS = 5000.0  # ms that cancelling and closing an operation left behind may take
WAIT_MOST_US = 60_000_000  # microseconds; the longest wait for a link that is told apart
TELLERS = 32  # new terms under way at a time; what is over it is dropped, as it changes no answer
TERMS_MS = 1000.0  # ms for telling an engine new terms; later they are hardly worth it
REAPERS = 64  # operations reaped at once, over all engines; beyond it the engine's own time-outs have to do
CLOSE_AFTER_MS = 25.0  # ms that an answered operation stays open for the next statement to close it
CLOSE_MS = 2000.0  # ms that closing an answered operation may take, else its link is dropped
POLL_FIRST_MS, POLL_MOST_MS = 2.0, 50.0  # ms between looks at engines that answer a status at once
PROBE_MS = 1000.0  # ms that a probe may take


class RemoteError(FennelwindError):
    """The engine answered a call with an error."""

    code = "engine-answered-error"
    advice = (
        "Read the engine's own log at this time. An error of the statement itself is the client's "
        "to mend; any other counts against the engine."
    )

    def __init__(self, text: str, status: Structure | None = None) -> None:
        super().__init__(text)
        self.status = status
        self.hints = hints.read(status.infoMessages if status is not None else None)


class Link:
    """One connection to an engine, with its session. One task uses it at a time."""

    def __init__(
        self, loop: Loop, address: Address, transport: str, user: str, tls: ssl.SSLContext | None = None
    ) -> None:
        self.loop, self.address, self.tls = loop, address, tls
        self.side = ClientSide(transport, user)
        self.stream: Stream | None = None
        self.session: Structure | None = None
        self.received = 0  # bytes
        self.database = ""  # where its session stands; "": where the engine put it
        self.idle_since = 0.0
        self._replies: list[Message] = []
        self._prepared: list[bytes] = []
        self.closing: Structure | None = None  # an answered operation that is still to be closed
        self.closing_sent: int | None = None

    def open(self) -> None:
        """Connect and open a session."""
        self.stream = self.loop.connect(self.address)
        if self.tls is not None:
            self.stream = TlsStream(self.loop, self.stream, self.tls, server=False)
            self.stream.handshake()
        if self.side.outgoing:
            self.stream.write(bytes(self.side.outgoing))
            self.side.outgoing.clear()
        while not self.side.ready:
            self._receive()
        request = hs2.TOpenSessionReq(client_protocol=hs2.PROTOCOL_COLUMNS)
        self.session = self.call("OpenSession", request).sessionHandle
        if self.session is None:
            raise Malformed("a session without a handle")

    def call(self, method: str, request: Structure) -> Structure:
        """Make a call; return its reply. Raises `RemoteError` for what is no success."""
        return self.reply(self.send(method, request))

    def send(self, method: str, request: Structure) -> int:
        """Send a call; return its sequence id, to be given to `reply`, in the same order."""
        sequence, raw = self.side.call(method, request)
        if self._prepared:
            raw = b"".join([*self._prepared, raw])
            self._prepared.clear()
        self.stream.write(raw)
        return sequence

    def prepare(self, method: str, request: Structure) -> int:
        """Make a call that goes out together with the next one; return its sequence id."""
        sequence, raw = self.side.call(method, request)
        self._prepared.append(raw)
        return sequence

    def reply(self, sequence: int) -> Structure:
        """Wait for the reply to a call. Raises `RemoteError`, `Malformed` or `StreamReset`."""
        closing, self.closing_sent = self.closing_sent, None
        if closing is not None:
            with suppress(RemoteError):  # it was closed already
                self.reply(closing)
        while not self._replies:
            self._receive()
        message = self._replies.pop(0)
        if message.sequence != sequence:
            raise Malformed(f"a reply to call {message.sequence}, where {sequence} was asked")
        if message.type == messages.EXCEPTION:
            raise RemoteError(f"{message.method}: {message.body.message}")
        if message.type != messages.REPLY or message.body is None:
            raise Malformed(f"{message.method}: no reply")
        status = getattr(message.body, "status", None)
        if status is None or status.statusCode in (hs2.ERROR, hs2.INVALID_HANDLE):
            said = status.errorMessage if status is not None else "a reply without a status"
            raise RemoteError(f"{message.method}: {said}", status)
        return message.body

    def prepare_close(self) -> None:
        """Let the next call close the operation that was answered last, if it is still open."""
        if self.closing is not None:
            handle, self.closing = self.closing, None
            self.closing_sent = self.prepare("CloseOperation", hs2.TCloseOperationReq(handle))

    def close_operation(self) -> None:
        """Close the operation that was answered last."""
        handle, self.closing = self.closing, None
        with suppress(RemoteError):  # it is closed already; the link is as good as before
            self.call("CloseOperation", hs2.TCloseOperationReq(handle))

    def _receive(self) -> None:
        data = self.stream.read()
        if not data:
            raise StreamReset(f"{self.address}: closed by the engine")
        self.received += len(data)
        self._replies += self.side.receive(data)

    def broken(self) -> bool:
        """Tell whether an idle link can't be used any more."""
        return bool(self._replies) or self.stream.broken()

    def drop(self) -> None:
        """Give the connection up at once."""
        if self.stream is not None:
            self.stream.abort()


class Pool:
    """The links to one engine; at most so many, idle ones kept for some time."""

    def __init__(
        self, loop: Loop, address: Address, settings: pb.EngineLinks, tls: ssl.SSLContext | None = None
    ) -> None:
        self.loop, self.address, self.settings, self.tls = loop, address, settings, tls
        self.idle: list[Link] = []
        self.count = 0
        self.streams = 0  # links that carry an answer too large to be held

    def take(self, database: str = "") -> Link:
        """Return a link with a session, the one best for the database, or a new one.

        Raises `LinksUsedUp`, or what `Link.open` raises.
        """
        now = self.loop.now()
        while (chosen := choose_link([link.database for link in self.idle], database)) is not None:
            link = self.idle.pop(chosen)
            if now - link.idle_since < self.settings.idle_ms and not link.broken():
                return link
            self.drop(link)
        if self.count >= self.settings.max_links and self.idle:  # idle, but it stands in another database
            self.drop(self.idle.pop(0))
        if self.count >= self.settings.max_links:
            raise LinksUsedUp(f"all {self.count} links to {self.address} are in use")
        self.count += 1
        link = Link(
            self.loop, self.address, TRANSPORTS[self.settings.transport], self.settings.user, self.tls
        )
        try:
            with self.loop.deadline(self.settings.connect_ms):
                link.open()
        except BaseException:
            self.drop(link)
            raise
        return link

    def put(self, link: Link) -> None:
        """Keep a link for later."""
        link.idle_since = self.loop.now()
        self.idle.append(link)

    def drop(self, link: Link) -> None:
        """Close a link."""
        self.count -= 1
        link.drop()

    def sweep(self) -> None:
        """Close links that were idle for too long."""
        old = self.loop.now() - self.settings.idle_ms
        for link in [link for link in self.idle if link.idle_since <= old or link.broken()]:
            self.idle.remove(link)
            self.drop(link)


class LinksUsedUp(FennelwindError):
    """No link to the engine may be opened; nothing was sent."""

    code = "links-used-up"
    advice = (
        "All links that links.max_links allows to this engine are in use: raise it if the engine "
        "bears more connections, or look for statements that hold theirs for long."
    )


class EngineLinks:
    """The links to all engines."""

    def __init__(
        self,
        loop: Loop,
        settings: pb.EngineLinks,
        report_fields: tuple[str, ...],
        tls: ssl.SSLContext | None = None,
    ) -> None:
        self.loop, self.settings, self.tls = loop, settings, tls
        self.report_fields = frozenset(report_fields)
        self.pools: dict[str, Pool] = {}
        self._to_close: list[tuple[Pool, Link]] = []
        self._closing = False
        self.waits = HdrHistogram(1, WAIT_MOST_US, 2)  # microseconds until an attempt had its link
        self.streams_begun = self.streams_lost = 0
        self._out: dict[int, list[_Attempt]] = {}
        self.telling = self.told = self.untold = 0  # new terms of attempts that are out
        self.reaping = 0
        self.reaped = 0  # operations left behind that were cancelled and closed
        self.unreaped = 0  # those that could not be reached, or were too many

    def start(self) -> None:
        """Start what looks after idle links."""
        self.loop.spawn(self._sweep, name="links: sweep")

    def attempt(self, engine: str, order: AttemptRequest) -> AttemptEnd:
        """Make an attempt and wait for its end."""
        attempt = _Attempt(self, self.pool(engine), order)
        self._out.setdefault(order.query, []).append(attempt)
        try:
            return attempt.run()
        finally:
            attempt.over = True
            left = self._out[order.query]
            left.remove(attempt)
            if not left:
                del self._out[order.query]

    def update_grant(self, query: int, memory_mb: float, priority: int) -> None:
        """Tell the engines at which attempts of a query are out of its new terms.

        It goes by `SetClientInfo` on a further link, as an attempt's own waits for its end. The last terms
        hold; ones that can't be told are dropped and counted, since they change no answer.
        """
        for attempt in self._out.get(query, ()):
            attempt.order.memory_mb, attempt.order.priority = memory_mb, priority
            if attempt.handle is not None:
                self.tell_terms(attempt)

    def tell_terms(self, attempt: "_Attempt") -> None:
        """Tell an engine the terms of an attempt that is under way there."""
        if attempt.telling or attempt.told == attempt.terms():
            return  # what is on its way is followed by what came meanwhile
        if self.telling >= TELLERS:
            self.untold += 1
            return
        attempt.telling = True
        self.telling += 1
        self.loop.spawn(self._tell, attempt, name=f"terms to {attempt.pool.address}")

    def _tell(self, attempt: "_Attempt") -> None:
        link, pool = None, attempt.pool
        try:
            with self.loop.deadline(TERMS_MS):
                link = pool.take(pool.idle[-1].database if pool.idle else "")
                while not attempt.over and attempt.told != attempt.terms():
                    terms = attempt.terms()
                    guid = attempt.handle.operationId.guid.hex()
                    link.call(
                        "SetClientInfo",
                        hs2.make(
                            "TSetClientInfoReq",
                            sessionHandle=link.session,
                            configuration={"fennelwind.operation": guid, **terms},
                        ),
                    )
                    attempt.told = terms
                    self.told += 1
            pool.put(link)
            link = None
        except (OSError, Malformed, RemoteError, LinksUsedUp):
            self.untold += 1
        finally:
            self.telling -= 1
            attempt.telling = False
            if link is not None:
                pool.drop(link)

    def check_health(self, engine: str) -> AttemptEnd:
        """Ask an engine for its name, over a link as any other."""
        pool = self.pool(engine)
        try:
            with self.loop.deadline(PROBE_MS):
                link = pool.take()
                try:
                    reply = link.call("GetInfo", hs2.TGetInfoReq(link.session, hs2.CLI_SERVER_NAME))
                except BaseException:
                    pool.drop(link)
                    raise
        except DeadlineExceeded:
            return AttemptEnd("timeout", "no answer to a probe")
        except (OSError, LinksUsedUp) as exc:
            return AttemptEnd("connect_failed", str(exc))
        except (Malformed, RemoteError) as exc:
            return AttemptEnd("error", str(exc))
        pool.put(link)
        return AttemptEnd("ok", load=self.load(reply.status))

    def pool(self, engine: str) -> Pool:
        """Return the links to an engine."""
        pool = self.pools.get(engine)
        if pool is None:
            pool = self.pools[engine] = Pool(self.loop, parse_address(engine), self.settings, self.tls)
        return pool

    def load(self, status: Structure) -> dict[str, float]:
        """Return the load figures among a status's hints that the settings name."""
        if not status.infoMessages:
            return {}
        figures = hints.read(status.infoMessages).get(hints.LOAD, {})
        return {key: value for key, value in figures.items() if key in self.report_fields}

    def finish(self, pool: Pool, link: Link, handle: Structure) -> None:
        """Keep an answered operation's link; the operation is closed with the link's next call, or soon."""
        link.closing = handle
        pool.put(link)
        self._to_close.append((pool, link))
        if not self._closing:
            self._closing = True
            self.loop.after(CLOSE_AFTER_MS, self._close_idle)

    def _close_idle(self) -> None:
        """Close what was answered a while ago on links that nobody has used since."""
        links, self._to_close, self._closing = self._to_close, [], False
        for pool, link in links:
            if link.closing is not None and link in pool.idle:
                pool.idle.remove(link)
                self.loop.spawn(self._close, pool, link, name="close operation")

    def _close(self, pool: Pool, link: Link) -> None:
        try:
            with self.loop.deadline(CLOSE_MS):
                link.close_operation()
        except (OSError, Malformed):
            pool.drop(link)
            return
        except BaseException:
            pool.drop(link)
            raise
        pool.put(link)

    def reap(self, pool: Pool, handle: Structure) -> None:
        """Cancel and close an operation that nobody waits for any more."""
        if self.reaping >= REAPERS:
            self.unreaped += 1
            return
        self.reaping += 1
        self.loop.spawn(self._reap, pool, handle, name=f"reap at {pool.address}")

    def _reap(self, pool: Pool, handle: Structure) -> None:
        link = None
        try:
            with self.loop.deadline(REAP_MS):
                link = pool.take()
                link.call("CancelOperation", hs2.TCancelOperationReq(handle))
                link.call("CloseOperation", hs2.TCloseOperationReq(handle))
            self.reaped += 1
            pool.put(link)
            link = None
        except (OSError, Malformed, RemoteError, LinksUsedUp):
            self.unreaped += 1
        finally:
            self.reaping -= 1
            if link is not None:
                pool.drop(link)

    def _sweep(self) -> None:
        while True:
            self.loop.sleep(self.settings.idle_ms / 2)
            for engine, pool in list(self.pools.items()):
                pool.sweep()
                if not pool.count:
                    del self.pools[engine]


class _Attempt:
    """One attempt on its way."""

    def __init__(self, links: EngineLinks, pool: Pool, order: AttemptRequest) -> None:
        self.links, self.pool, self.order, self.loop = links, pool, order, links.loop
        self.link: Link | None = None
        self.sent = False  # the statement may have reached the engine
        self.entering = False  # `USE` was sent for it
        self.handle: Structure | None = None
        self.load: dict[str, float] = {}
        self.cost: dict[str, float] = {}
        self.over = self.telling = False
        self.told: dict[str, str] | None = None  # terms that the engine knows

    def terms(self) -> dict[str, str]:
        """Return the terms of the attempt, as configuration."""
        terms = {"fennelwind.priority": str(self.order.priority)}
        if self.order.memory_mb:
            terms["fennelwind.memory_mb"] = f"{self.order.memory_mb:.6g}"
        return terms

    def run(self) -> AttemptEnd:
        try:
            with self._left_behind(), self.loop.deadline_at(self.order.deadline_ms):
                began = self.loop.now()
                self.link = self.pool.take(self.order.submission.database)
                self.links.waits.record_value(max(1, int((self.loop.now() - began) * 1000.0)))
                self._go_to_database()
                barred = self.order.reason_not_to_start()
                if barred:
                    self.pool.put(self.link)
                    return self._end("moot", barred)
                return self._end("ok", result=self._execute())
        except DeadlineExceeded as exc:
            if not self.sent:
                return self._end("connect_failed", str(exc) or "no connection in time")
            return self._end("timeout", "no answer in time")
        except LinksUsedUp as exc:
            return self._end("full", str(exc))
        except LocalConnectFailure as exc:
            return self._end("moot", str(exc))
        except (OSError, Malformed) as exc:
            return self._end("reset" if self.sent else "connect_failed", str(exc))
        except RemoteError as exc:
            self._told(exc.status)
            said = verdict(exc.status.sqlState, exc.status.infoMessages) if exc.status is not None else FAULT
            if said == ANSWER and (self.sent or self.entering):
                told = exc.status  # its client gets the engine's own words, and not its load figures
                return self._end(
                    "ok",
                    result=Result(
                        error=hs2.TStatus(
                            statusCode=hs2.ERROR,
                            infoMessages=hints.others(told.infoMessages) or None,
                            sqlState=told.sqlState,
                            errorCode=told.errorCode,
                            errorMessage=told.errorMessage,
                        )
                    ),
                )
            if said == TURNED_AWAY or not self.sent:
                return self._end("full", str(exc))
            return self._end("error", str(exc))

    def _end(self, status: str, reason: str = "", result: Result | None = None) -> AttemptEnd:
        cost = self.cost
        return AttemptEnd(status, reason, result, cost.get("work_ms"), cost.get("memory_mb"), self.load)

    @contextmanager
    def _left_behind(self) -> Iterator[None]:
        """Whatever ends the attempt early, leave neither link nor operation behind."""
        try:
            yield
        except RemoteError:  # the link is in step; the operation has ended, but may still be there
            if self.handle is not None:
                self.links.finish(self.pool, self.link, self.handle)
            elif self.link is not None:
                self.pool.put(self.link)
            raise
        except BaseException:
            if self.link is not None:
                self.pool.drop(self.link)
            if self.handle is not None:
                self.links.reap(self.pool, self.handle)
            raise

    def _go_to_database(self) -> None:
        """Take the link's session to the statement's database."""
        link, wanted = self.link, self.order.submission.database
        if not wanted or link.database == wanted:
            return
        self.entering = True
        link.prepare_close()
        reply = link.call(
            "ExecuteStatement",
            hs2.TExecuteStatementReq(
                sessionHandle=link.session, statement=f"USE `{wanted}`", confOverlay={}, runAsync=False
            ),
        )
        link.database, link.closing = wanted, reply.operationHandle

    def _execute(self) -> Result:
        order, link = self.order, self.link
        said = order.submission
        if said.arguments is not None:
            return self._ask_metadata(said.method, said.arguments)
        self.told = self.terms()
        overlay = {**said.overlay, "fennelwind.attempt": f"{order.query}.{order.number}", **self.told}
        request = hs2.TExecuteStatementReq(
            sessionHandle=link.session, statement=said.statement, confOverlay=overlay, runAsync=True
        )
        self.sent = True
        link.prepare_close()
        reply = link.call("ExecuteStatement", request)
        self.handle = reply.operationHandle
        if self.handle is None:
            raise Malformed("an operation without a handle")
        self.links.tell_terms(self)  # they may have changed while the call was on its way
        self._wait()
        result = self._fetch() if self.handle.hasResultSet else Result()
        if result.stream is None:
            self.links.finish(self.pool, link, self.handle)
        return result

    def _ask_metadata(self, method: str, arguments: Structure) -> Result:
        """Make a metadata call; its operation has ended when it is answered."""
        request = copy(arguments)
        request.sessionHandle = self.link.session
        self.sent = True
        self.link.prepare_close()
        reply = self.link.call(method, request)
        self._told(reply.status)
        self.handle = reply.operationHandle
        if self.handle is None:
            raise Malformed("an operation without a handle")
        result = self._fetch()
        if result.stream is None:
            self.links.finish(self.pool, self.link, self.handle)
        return result

    def _wait(self) -> None:
        """Wait until the operation has finished."""
        pause = POLL_FIRST_MS
        request = hs2.TGetOperationStatusReq(operationHandle=self.handle, getProgressUpdate=True)
        while True:
            asked = self.loop.now()
            reply = self.link.call("GetOperationStatus", request)
            self._told(reply.status)
            state = reply.operationState
            if state == hs2.FINISHED:
                if reply.hasResultSet is not None:
                    self.handle.hasResultSet = reply.hasResultSet
                return
            if state not in (hs2.INITIALIZED, hs2.RUNNING, hs2.PENDING):
                raise RemoteError(
                    f"operation state {state}: {reply.errorMessage}",
                    hs2.TStatus(
                        statusCode=hs2.ERROR,
                        infoMessages=reply.status.infoMessages,
                        sqlState=reply.sqlState,
                        errorCode=reply.errorCode,
                        errorMessage=reply.errorMessage,
                    ),
                )
            self._note(reply)
            if self.loop.now() - asked < POLL_FIRST_MS:  # no long poll on that side
                self.loop.sleep(pause)
                pause = min(pause * 2, POLL_MOST_MS)

    def _told(self, status: Structure | None) -> None:
        if status is not None and status.infoMessages:
            self.load = self.links.load(status) or self.load
            self.cost = hints.read(status.infoMessages).get(hints.COST, self.cost)

    def _note(self, reply: Structure) -> None:
        progress = reply.progressUpdateResponse
        if progress is not None and progress.progressedPercentage is not None:
            self.order.report_progress(
                ProgressKind.SHARE_DONE, min(max(progress.progressedPercentage, 0.0), 1.0)
            )
        note = hints.read(reply.status.infoMessages).get(hints.NOTE)
        if note and note.get("sort") in (ProgressKind.SPILLING, ProgressKind.WAITING):
            self.order.report_progress(ProgressKind(int(note["sort"])), note.get("value", 0.0))

    def _fetch(self) -> Result:
        """Fetch the schema and the pages, the first one together with the schema; a large rest will flow."""
        link, settings = self.link, self.links.settings
        before = link.received
        request = hs2.TFetchResultsReq(
            operationHandle=self.handle, orientation=hs2.FETCH_NEXT, maxRows=settings.page_rows, fetchType=0
        )
        schema_sent = link.prepare("GetResultSetMetadata", hs2.TGetResultSetMetadataReq(self.handle))
        page_sent = link.send("FetchResults", request)
        try:
            schema = link.reply(schema_sent).schema
        except RemoteError:
            with suppress(RemoteError):  # the page's reply follows, and must not meet the link's next call
                link.reply(page_sent)
            raise
        pages = []
        while True:
            reply = link.reply(page_sent)
            if reply.results is not None:
                row_count(reply.results)  # what is malformed has to be found before its query is served
                pages.append(reply.results)
            if not reply.hasMoreRows:
                return Result(schema, tuple(pages))
            if link.received - before > settings.max_result_bytes:
                if self.order.submission.request_id:  # several may wait for it, each at its own pace
                    raise RemoteError(f"a named request's answer of over {settings.max_result_bytes} bytes")
                if not may_flow(self.pool.streams, settings.max_links):
                    raise RemoteError(f"{self.pool.streams} large answers flow already")
                stream = RowStream(self.links, self.pool, link, self.handle, settings.page_rows)
                return Result(schema, tuple(pages), stream=stream)
            page_sent = link.send("FetchResults", request)


__all__ = ["ConnectFailed", "EngineLinks", "Link", "LinksUsedUp", "Pool", "RemoteError"]
