"""TLS over any stream, by `ssl` on bytes in memory: the same on sockets and in virtual time."""

import errno
import ssl

from fennelwind.loop.scheduler import Loop, Once, TurnQuota
from fennelwind.loop.streams import READ_MOST, Address, Stream, StreamReset

WRITE_MOST = 262_144  # bytes that are encrypted at a time, so that a page is not held twice
READS_PER_TURN = 16  # reads of what was decrypted already; a full read of the stream below holds 16 records
HANDSHAKE_MS = 5000.0  # ms for a handshake; a peer that stalls in it holds a connection and nothing else


class TlsStream:
    """A stream within another one. The handshake is made by `handshake`, or by the first read or write."""

    def __init__(self, loop: Loop, stream: Stream, context: ssl.SSLContext, *, server: bool) -> None:
        self.loop, self.stream = loop, stream
        self.peer: Address = stream.peer
        self._in, self._out = ssl.MemoryBIO(), ssl.MemoryBIO()
        self._tls = context.wrap_bio(
            self._in, self._out, server_side=server, server_hostname=None if server else stream.peer.host
        )
        self._shaken = False
        self._quota = TurnQuota(loop, READS_PER_TURN)
        self._flushing: Once | None = None  # set when the task that writes has done so
        self._shaking: Once | None = None

    def handshake(self, within_ms: float = HANDSHAKE_MS) -> None:
        """Make the handshake. Raises `StreamReset` if it fails, and `DeadlineExceeded`."""
        if self._shaken:
            return
        if self._shaking is not None:  # one task may read at a time
            if not self._shaking.wait():
                raise StreamReset(errno.EPROTO, f"{self.peer}: TLS: the handshake failed")
            return
        self._shaking = Once(self.loop)
        try:
            self._shake(within_ms)
        finally:
            self._shaking.set(self._shaken)
        self._flush()

    def _shake(self, within_ms: float) -> None:
        with self.loop.deadline(within_ms):
            while True:
                try:
                    self._tls.do_handshake()
                except ssl.SSLWantReadError:
                    self._flush()
                    self._fill()
                except ssl.SSLError as exc:
                    self._flush()  # the alert tells the peer why
                    raise StreamReset(errno.EPROTO, f"{self.peer}: TLS: {exc.reason or exc}") from None
                else:
                    break
        self._shaken = True

    def read(self, most: int = READ_MOST) -> bytes:
        """Return some bytes, b"" at the end; wait for them. Raises `StreamReset`."""
        self.handshake()
        self._quota.take()
        while True:
            try:
                return self._tls.read(most)
            except ssl.SSLWantReadError:
                self._flush()
                self._fill()
            except ssl.SSLZeroReturnError:
                return b""
            except ssl.SSLError as exc:
                raise StreamReset(errno.EPROTO, f"{self.peer}: TLS: {exc.reason or exc}") from None

    def write(self, data: bytes, within_ms: float | None = None) -> None:
        """Hand all bytes on; wait while the peer takes none, for so long at most. Raises `StreamReset`."""
        if within_ms is not None:
            with self.loop.deadline(within_ms):
                self.write(data)
            return
        self.handshake()
        rest = memoryview(data)
        try:
            while rest:
                while self._flushing is not None:  # else what is written here would heap up behind it
                    self._flushing.wait()
                rest = rest[self._tls.write(rest[:WRITE_MOST]) :]
                self._flush()
        except ssl.SSLError as exc:
            raise StreamReset(errno.EPROTO, f"{self.peer}: TLS: {exc.reason or exc}") from None

    def broken(self) -> bool:
        """Tell whether the peer has closed an idle connection or sent what nobody asked for."""
        return self._in.pending > 0 or self.stream.broken()

    def close(self) -> None:
        """Close in order. The peer is told at the bottom alone: whoever waits to write must not wait here."""
        self.stream.close()

    def abort(self) -> None:
        """Close at once, so that the peer sees a reset."""
        self.stream.abort()

    def _fill(self) -> None:
        data = self.stream.read()
        if data:
            self._in.write(data)
        elif self._in.eof:
            raise StreamReset(errno.ECONNRESET, f"{self.peer}: closed")
        else:
            self._in.write_eof()

    def _flush(self) -> None:
        """Write what TLS has made; one task at a time, which takes along what comes meanwhile."""
        if self._flushing is not None:
            return
        self._flushing = Once(self.loop)
        try:
            while self._out.pending:
                self.stream.write(self._out.read())
        finally:
            flushed, self._flushing = self._flushing, None
            flushed.set()
