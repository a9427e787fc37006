"""Connections: a socket, a session, and calls one after the other."""

import random
import socket
import ssl
import time
from collections.abc import Callable
from contextlib import suppress
from typing import Any

from fennelwind.client.cursor import Cursor
from fennelwind.client.errors import Error, InterfaceError, NotSupportedError, OperationalError, error_of
from fennelwind.thrift import hiveserver2 as hs2
from fennelwind.thrift import messages
from fennelwind.thrift.codec import Structure, ThriftError
from fennelwind.thrift.transport import ClientSide

GRACE_S = 2.0  # s beyond a statement's own time-out after which its server is taken to be lost
READ_BYTES = 262_144


def connect(
    host: str,
    port: int = 10_000,
    *,
    user: str = "",
    password: str = "",
    transport: str = "sasl",
    database: str = "",
    configuration: dict[str, str] | None = None,
    timeout_s: float = 60.0,
    connect_timeout_s: float = 10.0,
    tries: int = 5,
    ssl_context: ssl.SSLContext | None = None,
    chance: Callable[[], float] = random.random,
) -> "Connection":
    """Connect and open a session.

    - `transport`: "sasl" (PLAIN), "framed" or "buffered"
    - `timeout_s`: of statements that state none, in seconds
    - `tries`: how often a statement is put at most, when it is refused
    - `chance`: numbers from 0 to 1 that spread waits

    Raises `OperationalError` if there is no connection or no session.
    """
    return Connection(
        (host, port),
        user,
        password,
        transport,
        database,
        dict(configuration or {}),
        timeout_s,
        connect_timeout_s,
        tries,
        ssl_context,
        chance,
    )


class Connection:
    """A connection (PEP 249). `reconnect` opens a new one after it was lost; its old operations are gone."""

    def __init__(
        self,
        address: tuple[str, int],
        user: str,
        password: str,
        transport: str,
        database: str,
        configuration: dict[str, str],
        timeout_s: float,
        connect_timeout_s: float,
        tries: int,
        ssl_context: ssl.SSLContext | None,
        chance: Callable[[], float],
    ) -> None:
        self.address, self.user, self.transport = address, user, transport
        self.timeout_s, self.connect_timeout_s, self.tries = timeout_s, connect_timeout_s, tries
        self.chance = chance
        self._password, self._ssl, self._configuration = password, ssl_context, configuration
        if database:
            self._configuration["use:database"] = database
        self._socket: socket.socket | None = None
        self._side: ClientSide | None = None
        self.session: Structure | None = None
        self.told: dict[str, str] = {}  # what the server said at OpenSession: `fennelwind.subscribed`
        self.lives = 0  # connections made; operations are good within one
        self.closed = False
        self.reconnect()

    def reconnect(self) -> None:
        """Open a connection with a session anew. Raises `OperationalError`."""
        if self.closed:
            raise InterfaceError("the connection is closed")
        self._drop()
        try:
            self._socket = socket.create_connection(self.address, self.connect_timeout_s)
            self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            if self._ssl is not None:
                self._socket = self._ssl.wrap_socket(self._socket, server_hostname=self.address[0])
            self._side = ClientSide(self.transport, self.user, self._password)
            if self._side.outgoing:
                self._socket.sendall(self._side.outgoing)
            while not self._side.ready:
                self._receive()
        except (OSError, ThriftError) as exc:
            self._drop()
            raise OperationalError(f"{self.address[0]}:{self.address[1]}: {exc}") from exc
        self.lives += 1
        reply = self.call(
            "OpenSession",
            hs2.TOpenSessionReq(hs2.PROTOCOL_NEWEST, self.user, None, self._configuration),
            self.connect_timeout_s,
        )
        self.session, self.told = reply.sessionHandle, dict(reply.configuration or {})

    def call(self, method: str, request: Structure, timeout_s: float) -> Structure:
        """Make a call; return its reply.

        Raises the error that its status tells, `InterfaceError` if there is no connection, and
        `LostError` if the connection is lost.
        """
        if self._socket is None:
            raise InterfaceError("the connection is closed" if self.closed else "the connection was lost")
        until = time.monotonic() + timeout_s
        try:
            sequence, raw = self._side.call(method, request)
            self._socket.settimeout(timeout_s)
            self._socket.sendall(raw)
            while True:
                left = until - time.monotonic()
                if left <= 0:
                    raise TimeoutError(f"no answer in {timeout_s:.3g} s")
                self._socket.settimeout(left)
                replies = self._receive()
                if replies:
                    break
        except (OSError, ThriftError) as exc:
            self._drop()
            raise LostError(f"{method}: the connection was lost: {exc}") from exc
        reply = replies[0]
        if len(replies) > 1 or reply.sequence != sequence or reply.body is None:
            self._drop()
            raise LostError(f"{method}: a reply to another call")
        if reply.type != messages.REPLY:
            raise NotSupportedError(f"{method}: {reply.body.message}")
        status = getattr(reply.body, "status", None)
        if status is not None and status.statusCode in (hs2.ERROR, hs2.INVALID_HANDLE):
            raise error_of(status)
        return reply.body

    def _receive(self) -> list[messages.Message]:
        data = self._socket.recv(READ_BYTES)
        if not data:
            raise ConnectionError("closed by the server")
        return self._side.receive(data)

    def _drop(self) -> None:
        if self._socket is not None:
            self._socket.close()
            self._socket = None

    @property
    def lost(self) -> bool:
        """Whether there is no connection now."""
        return self._socket is None

    def cursor(self) -> Cursor:
        """Return a cursor."""
        if self.closed:
            raise InterfaceError("the connection is closed")
        return Cursor(self)

    def sibling(self) -> "Connection":
        """Return a further connection to the same place, as cancelling from another thread needs."""
        return Connection(
            self.address,
            self.user,
            self._password,
            self.transport,
            "",
            {},
            self.timeout_s,
            self.connect_timeout_s,
            1,
            self._ssl,
            self.chance,
        )

    def commit(self) -> None:
        """Do nothing: each statement stands for itself."""
        if self.closed:
            raise InterfaceError("the connection is closed")

    def rollback(self) -> None:
        """Raise `NotSupportedError`: each statement stands for itself."""
        raise NotSupportedError("there are no transactions")

    def close(self) -> None:
        """Close the session and the connection; a second time does nothing."""
        if not self.closed and self._socket is not None and self.session is not None:
            with suppress(Error):
                self.call("CloseSession", hs2.make("TCloseSessionReq", sessionHandle=self.session), GRACE_S)
        self.closed = True
        self._drop()

    def __enter__(self) -> "Connection":
        return self

    def __exit__(self, *_: Any) -> None:
        self.close()


class LostError(OperationalError):
    """The connection was lost, or no answer came in time; what was under way may have run."""
