"""One connection to the command channel, read by its own task until it ends.

`endpoint_watch` opens it, and another one beside it if it is silent. Exceptions are stored in `error` instead
of ending the watch.
"""

from typing import Protocol

from fennelwind.loop.scheduler import Loop
from fennelwind.loop.streams import Address, Stream
from fennelwind.node.http1 import EventReader, ServerEvent

SILENCE_MS = 1600.0  # ms without activity that count as silence; the channel sends a comment every second
CONNECT_MS = 400.0  # ms to connect, and again to write the request
PROGRESS_BYTES = 512  # bytes of an incomplete event that count as activity: a long list may arrive slowly
READ_BYTES = 16384  # bytes of one read; after a full one the loop runs other tasks, as more may follow


class WatchOwner(Protocol):
    """What a connection needs from the watch that owns it."""

    cursor: int  # number of the last event that was applied

    def take_event(self, event: ServerEvent) -> None:
        """Handle an event or comment. Raises if the connection must be given up."""

    def connection_progressed(self, connection: "WatchConnection") -> None:
        """Note that a connection received an event or comment, or ended."""


class WatchConnection:
    """Requests the events after the owner's cursor and passes them on until the connection ends."""

    def __init__(self, loop: Loop, address: Address, owner: WatchOwner) -> None:
        """Spawn the task that connects and reads."""
        self.loop, self.address, self.owner = loop, address, owner
        self.stream: Stream | None = None
        self.began_ms = loop.now()
        self.last_activity_ms = self.began_ms  # last start, connect or received bytes
        self.last_event_ms = float("-inf")  # when the last complete event or comment came
        self.has_ended = self.is_aborted = False
        self.error: Exception | None = None  # what ended the connection; None if the channel closed it
        self._task = loop.spawn(self._run, name="channel: watch")

    def silent_from_ms(self) -> float:
        """Return the time from which the connection counts as silent if nothing arrives before."""
        return self.last_activity_ms + (SILENCE_MS if self.stream is not None else CONNECT_MS)

    @property
    def has_answered(self) -> bool:
        """Return whether a complete event or comment has come."""
        return self.last_event_ms != float("-inf")

    def abort(self) -> None:
        """End the connection; no further events are passed on."""
        self.is_aborted = True
        self._task.cancel()

    def _run(self) -> None:
        try:
            self._read()
        except Exception as exc:  # no exception may end the watch
            self.error = exc
        finally:
            self.has_ended = True
            if self.stream is not None:
                self.stream.abort()
            self.owner.connection_progressed(self)

    def _read(self) -> None:
        """Connect, request the events, and read until the connection ends.

        Raises `OSError`, `MalformedResponseError`, or what the owner raises.
        """
        self.stream = stream = self.loop.connect(self.address)
        if self.is_aborted:
            return
        self.last_activity_ms = self.loop.now()
        stream.write(
            b"GET /cmd/next HTTP/1.1\r\nHost: channel\r\nAccept: text/event-stream\r\n"
            b"Last-Event-ID: %d\r\n\r\n" % self.owner.cursor,
            CONNECT_MS,
        )
        reader, progress_bytes = EventReader(), 0
        while not reader.has_ended:
            data = stream.read(READ_BYTES)
            if not data or self.is_aborted:
                return
            progress_bytes += len(data)
            if progress_bytes >= PROGRESS_BYTES:
                self.last_activity_ms, progress_bytes = self.loop.now(), 0
            if len(data) == READ_BYTES:
                self.loop.sleep(0.0)
            for event in reader.feed(data):
                self._pass_on(event)
        if reader.error is not None:
            raise reader.error

    def _pass_on(self, event: ServerEvent) -> None:
        self.last_activity_ms = self.last_event_ms = self.loop.now()
        self.owner.take_event(event)
        self.owner.connection_progressed(self)
