"""Thrift over HTTP/1.1: a POST request holds one call, the response holds the reply. h11 parses HTTP.

A request authenticates its user by Basic (RFC 7617) or by the cookie that the first response set, so that a
password is checked once. Sessions over HTTP aren't bound to connections: a session ends when it is closed or
idle. While a call waits, the connection is watched, and the call is cancelled if the client disconnects.
Pipelined requests are served one after another.
"""

import base64
import binascii

import h11

from fennelwind.dispatch.ledger import Entry
from fennelwind.frontends.hiveserver2.server import Frontend
from fennelwind.frontends.hiveserver2.service import UNBOUND_SESSIONS
from fennelwind.loop import Cancelled, DeadlineExceeded, Stream, StreamReset, Task
from fennelwind.thrift import messages
from fennelwind.thrift.codec import Malformed, ThriftError
from fennelwind.thrift.messages import TApplicationException, read_message, write_message

CONTENT_TYPE = b"application/x-thrift"
COOKIE_NAME = "fennelwind.auth"
MAX_HEADER_BYTES = 16_384  # largest total size of a request's headers
MAX_REQUESTS_PER_CONNECTION = 10_000  # then the connection is closed: load balancers can redistribute clients


class _HttpError(Exception):
    """The request is answered with an HTTP error status."""

    def __init__(self, status: int, reason: str, *headers: tuple[bytes, bytes]) -> None:
        super().__init__(reason)
        self.status, self.headers = status, headers


class HttpFrontend(Frontend):
    """Listens for clients that speak Thrift over HTTP."""

    def new_connection(self, stream: Stream) -> "HttpConnection":
        """Return the handler of a new connection."""
        return HttpConnection(self, stream)


class HttpConnection:
    """One client's connection."""

    def __init__(self, front: HttpFrontend, stream: Stream) -> None:
        self.front, self.loop, self.stream = front, front.loop, stream
        self.http = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEADER_BYTES)
        self.worker: Task | None = None
        self.requests = 0

    def run(self) -> None:
        """Serve the client until it disconnects."""
        front = self.front
        try:
            while self._serve_one():
                pass
        except (h11.RemoteProtocolError, ThriftError) as exc:
            front.malformed += 1
            status = exc.error_status_hint if isinstance(exc, h11.RemoteProtocolError) else 400
            self._send_error(_HttpError(status, "no request that is understood here"))
        except _HttpError as exc:
            self._send_error(exc)
        except StreamReset:
            front.cut += 1
        except DeadlineExceeded:
            front.idled += 1
        finally:
            if self.worker is not None:
                self.worker.cancel()
            front.connection_ended(self)
            self.stream.close()

    def _serve_one(self) -> bool:
        """Serve the next request; return whether another request may follow on this connection."""
        with self.loop.deadline(self.front.settings.idle_ms):
            request = self._next_event()
            if request is None:
                return False
            body = self._read_body(request)
        user, headers = self._authenticate(request)
        message, end = read_message(body)
        if end != len(body) or message.type not in (messages.CALL, messages.ONEWAY):
            raise Malformed("a body that is not one call")
        delay_ms = self.front.service.admission.consume_bytes(user, len(body), self.loop.now())
        if delay_ms:
            self.loop.sleep(delay_ms)
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
            reply, entry = self._call(message, user)
        self._send(200, reply, headers, last=self.requests >= MAX_REQUESTS_PER_CONNECTION)
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

    def _read_body(self, request: h11.Request) -> bytes:
        if request.method != b"POST":
            raise _HttpError(405, "POST alone is served", (b"allow", b"POST"))
        max_bytes, chunks, received_bytes = self.front.settings.max_request_bytes, [], 0
        headers = dict(request.headers)
        if int(headers.get(b"content-length", b"0")) > max_bytes:
            raise _HttpError(413, f"a request of over {max_bytes} bytes")
        if headers.get(b"expect", b"").lower() == b"100-continue":
            self.stream.write(self.http.send(h11.InformationalResponse(status_code=100, headers=[])))
        while True:
            event = self.http.next_event()
            if event is h11.NEED_DATA:
                data = self.stream.read()
                if not data:
                    raise StreamReset("closed within a request")
                self.http.receive_data(data)
            elif isinstance(event, h11.Data):
                chunks.append(bytes(event.data))
                received_bytes += len(event.data)
                if received_bytes > max_bytes:
                    raise _HttpError(413, f"a request of over {max_bytes} bytes")
            elif isinstance(event, h11.EndOfMessage):
                return b"".join(chunks)

    def _authenticate(self, request: h11.Request) -> tuple[str, list[tuple[bytes, bytes]]]:
        """Return the authenticated user, and the headers to add to the response."""
        authenticator, user, password = self.front.service.authenticator, "", ""
        for name, value in request.headers:
            if name == b"cookie":
                for part in value.decode("latin-1").split(";"):
                    key, _, cookie = part.strip().partition("=")
                    cookie_user = authenticator.user_of_cookie(cookie) if key == COOKIE_NAME else None
                    if cookie_user is not None:
                        return cookie_user, []
            if name == b"authorization" and value[:6].lower() == b"basic ":
                try:
                    user, _, password = base64.b64decode(value[6:], validate=True).decode().partition(":")
                except (binascii.Error, UnicodeDecodeError):
                    raise _HttpError(400, "an Authorization header that can't be read") from None
        if not authenticator.authenticate(user, password, self.stream.peer.host):
            raise _HttpError(401, "who asks is not known", (b"www-authenticate", b'Basic realm="fennelwind"'))
        cookie = f"{COOKIE_NAME}={authenticator.make_cookie(user)}; Path=/; HttpOnly; SameSite=Strict"
        return user, [(b"set-cookie", cookie.encode())]

    def _call(self, message: messages.Message, user: str) -> tuple[bytes, Entry | None]:
        """Return the reply to a call, and the entry whose final answer the reply delivers, or None.

        Raises `StreamReset` if the client disconnected.
        """
        service = self.front.service
        result = service.begin(message.method, message.body, user, UNBOUND_SESSIONS)
        entry = None
        if callable(result):
            results = []
            self.worker = self.loop.spawn(lambda: results.append(result()), name="hs2 http call")
            watcher = self.loop.spawn(self._watch_for_disconnect, name="hs2 http watch")
            self.worker.join()
            self.worker = None
            watcher.cancel()
            watcher.join()
            if not results:
                raise StreamReset("the client went")
            result, entry = results[0]
        reply = write_message(message.method, messages.REPLY, message.sequence, result, message.strict)
        return reply, entry

    def _watch_for_disconnect(self) -> None:
        """Read while a call waits, to notice that the client disconnected; buffer further requests."""
        buffered_bytes = 0
        try:
            while data := self.stream.read():
                buffered_bytes += len(data)
                if buffered_bytes > self.front.settings.max_request_bytes:
                    break
                self.http.receive_data(data)
        except Cancelled:  # the call has been answered
            return
        except StreamReset:
            pass
        if self.worker is not None:
            self.worker.cancel()

    def _send_error(self, error: _HttpError) -> None:
        """Respond with an error status and `Connection: close`, without reading the rest of the request."""
        if self.http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            try:
                self._send(
                    error.status,
                    str(error).encode(),
                    list(error.headers),
                    last=True,
                    content_type=b"text/plain",
                )
            except (StreamReset, DeadlineExceeded, h11.LocalProtocolError):
                self.front.cut += 1

    def _send(
        self,
        status: int,
        body: bytes,
        headers: list[tuple[bytes, bytes]],
        *,
        last: bool,
        content_type: bytes = CONTENT_TYPE,
    ) -> None:
        all_headers = [
            (b"content-type", content_type),
            (b"content-length", str(len(body)).encode()),
            *headers,
        ]
        if last:
            all_headers.append((b"connection", b"close"))
        response = self.http.send(h11.Response(status_code=status, headers=all_headers))
        response += self.http.send(h11.Data(data=body)) + self.http.send(h11.EndOfMessage())
        self.stream.write(response, self.front.settings.idle_ms)
