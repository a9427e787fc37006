"""Thrift over HTTP/1.1: one message in the body of a POST, the reply in its answer; HTTP itself by h11.

A request names its user by Basic (RFC 7617) or by the cookie that its first answer set, so a password is
checked once. Sessions are not bound to connections here: they end when closed or idle. While a call waits,
the connection is watched: if its client goes, what it waited for is left. Further requests wait their turn.
"""

import base64
import binascii

import h11

from fennelwind.dispatch.ledger import Entry
from fennelwind.frontends.hiveserver2.server import Frontend
from fennelwind.frontends.hiveserver2.service import NOT_BOUND
from fennelwind.loop import Cancelled, DeadlineExceeded, Stream, StreamReset, Task
from fennelwind.thrift import messages
from fennelwind.thrift.codec import Malformed, ThriftError
from fennelwind.thrift.messages import TApplicationException, read_message, write_message

TYPE = b"application/x-thrift"
COOKIE = "fennelwind.auth"
HEAD_MOST = 16_384  # bytes of a request's head
PER_CONNECTION = 10_000  # requests; then the connection is closed, so that a balancer can spread anew


class _Refused(Exception):
    """A request that gets a status in place of a reply."""

    def __init__(self, status: int, why: str, *headers: tuple[bytes, bytes]) -> None:
        super().__init__(why)
        self.status, self.headers = status, headers


class HttpFrontend(Frontend):
    """Listens for clients that speak Thrift over HTTP."""

    def connection(self, stream: Stream) -> "HttpConnection":
        """Return what serves a new connection."""
        return HttpConnection(self, stream)


class HttpConnection:
    """One client's connection."""

    def __init__(self, front: HttpFrontend, stream: Stream) -> None:
        self.front, self.loop, self.stream = front, front.loop, stream
        self.http = h11.Connection(h11.SERVER, max_incomplete_event_size=HEAD_MOST)
        self.worker: Task | None = None
        self.requests = 0

    def run(self) -> None:
        """Serve the client until it leaves."""
        front = self.front
        try:
            while self._serve_one():
                pass
        except (h11.RemoteProtocolError, ThriftError) as exc:
            front.malformed += 1
            status = exc.error_status_hint if isinstance(exc, h11.RemoteProtocolError) else 400
            self._refuse(_Refused(status, "no request that is understood here"))
        except _Refused as refused:
            self._refuse(refused)
        except StreamReset:
            front.cut += 1
        except DeadlineExceeded:
            front.idled += 1
        finally:
            if self.worker is not None:
                self.worker.cancel()
            front.left(self)
            self.stream.close()

    def _serve_one(self) -> bool:
        """Serve the next request; tell whether there may be another."""
        with self.loop.deadline(self.front.settings.idle_ms):
            request = self._next_event()
            if request is None:
                return False
            body = self._body(request)
        user, headers = self._user(request)
        message, end = read_message(body)
        if end != len(body) or message.type not in (messages.CALL, messages.ONEWAY):
            raise Malformed("a body that is not one call")
        wait = self.front.service.admission.consume_bytes(user, len(body), self.loop.now())
        if wait:
            self.loop.sleep(wait)
        self.requests += 1
        entry = None
        if message.body is None:
            reply = write_message(
                message.method[:80],
                messages.EXCEPTION,
                message.sequence,
                TApplicationException(f"{message.method[:80]}: unknown method", messages.UNKNOWN_METHOD),
                message.strict,
            )
        else:
            reply, entry = self._answer(message, user)
        self._send(200, reply, headers, last=self.requests >= PER_CONNECTION)
        if entry is not None:
            self.front.service.driver.delivered(entry)
        if self.http.our_state is h11.MUST_CLOSE or self.http.their_state is h11.MUST_CLOSE:
            return False
        self.http.start_next_cycle()
        return True

    def _next_event(self) -> h11.Request | None:
        while True:
            event = self.http.next_event()
            if event is h11.NEED_DATA:
                self.http.receive_data(self.stream.read())
            elif isinstance(event, h11.ConnectionClosed) or event is h11.PAUSED:
                return None
            elif isinstance(event, h11.Request):
                return event

    def _body(self, request: h11.Request) -> bytes:
        if request.method != b"POST":
            raise _Refused(405, "POST alone is served", (b"allow", b"POST"))
        most, pieces, size = self.front.settings.max_request_bytes, [], 0
        told = dict(request.headers)
        if int(told.get(b"content-length", b"0")) > most:
            raise _Refused(413, f"a request of over {most} bytes")
        if told.get(b"expect", b"").lower() == b"100-continue":
            self.stream.write(self.http.send(h11.InformationalResponse(status_code=100, headers=[])))
        while True:
            event = self.http.next_event()
            if event is h11.NEED_DATA:
                data = self.stream.read()
                if not data:
                    raise StreamReset("closed within a request")
                self.http.receive_data(data)
            elif isinstance(event, h11.Data):
                pieces.append(bytes(event.data))
                size += len(event.data)
                if size > most:
                    raise _Refused(413, f"a request of over {most} bytes")
            elif isinstance(event, h11.EndOfMessage):
                return b"".join(pieces)

    def _user(self, request: h11.Request) -> tuple[str, list[tuple[bytes, bytes]]]:
        """Return who asks, and the headers that the answer gets for it."""
        authenticator, user, password = self.front.service.authenticator, "", ""
        for name, value in request.headers:
            if name == b"cookie":
                for part in value.decode("latin-1").split(";"):
                    key, _, cookie = part.strip().partition("=")
                    bearer = authenticator.bearer(cookie) if key == COOKIE else None
                    if bearer is not None:
                        return bearer, []
            if name == b"authorization" and value[:6].lower() == b"basic ":
                try:
                    user, _, password = base64.b64decode(value[6:], validate=True).decode().partition(":")
                except (binascii.Error, UnicodeDecodeError):
                    raise _Refused(400, "an Authorization header that can't be read") from None
        if not authenticator.enter(user, password, self.stream.peer.host):
            raise _Refused(401, "who asks is not known", (b"www-authenticate", b'Basic realm="fennelwind"'))
        cookie = f"{COOKIE}={authenticator.cookie(user)}; Path=/; HttpOnly; SameSite=Strict"
        return user, [(b"set-cookie", cookie.encode())]

    def _answer(self, message: messages.Message, user: str) -> tuple[bytes, Entry | None]:
        """Return the reply to a call, and whose final answer it is; `StreamReset` if the client went."""
        service = self.front.service
        done = service.begin(message.method, message.body, user, NOT_BOUND)
        entry = None
        if callable(done):
            ended = []
            self.worker = self.loop.spawn(lambda: ended.append(done()), name="hs2 http call")
            watch = self.loop.spawn(self._watch, name="hs2 http watch")
            self.worker.join()
            self.worker = None
            watch.cancel()
            watch.join()
            if not ended:
                raise StreamReset("the client went")
            done, entry = ended[0]
        reply = write_message(message.method, messages.REPLY, message.sequence, done, message.strict)
        return reply, entry

    def _watch(self) -> None:
        """Read on while a call waits, so that the client's leaving is seen; what comes is kept for later."""
        kept = 0
        try:
            while data := self.stream.read():
                kept += len(data)
                if kept > self.front.settings.max_request_bytes:
                    break
                self.http.receive_data(data)
        except Cancelled:  # the call is answered
            return
        except StreamReset:
            pass
        if self.worker is not None:
            self.worker.cancel()

    def _refuse(self, refused: _Refused) -> None:
        """Answer with a status and end the connection; what is left of the request is not read."""
        if self.http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            try:
                self._send(
                    refused.status,
                    str(refused).encode(),
                    list(refused.headers),
                    last=True,
                    kind=b"text/plain",
                )
            except (StreamReset, DeadlineExceeded, h11.LocalProtocolError):
                self.front.cut += 1

    def _send(
        self, status: int, body: bytes, headers: list[tuple[bytes, bytes]], *, last: bool, kind: bytes = TYPE
    ) -> None:
        told = [(b"content-type", kind), (b"content-length", str(len(body)).encode()), *headers]
        if last:
            told.append((b"connection", b"close"))
        raw = self.http.send(h11.Response(status_code=status, headers=told))
        raw += self.http.send(h11.Data(data=body)) + self.http.send(h11.EndOfMessage())
        self.stream.write(raw, self.front.settings.idle_ms)
