"""One connection to the command channel, read in a task of its own until it ends.

`endpoint_watch` starts it, and another beside it where it is silent. Whatever it raises is kept as `error`:
the channel has to be followed on.
"""

from typing import Protocol

from fennelwind.loop.scheduler import Loop
from fennelwind.loop.streams import Address, Stream
from fennelwind.node.http1 import EventReader, ServerEvent

SILENCE_MS = 1600.0  # ms without a complete event or comment; a comment comes every second
CONNECT_MS = 400.0  # ms for a connection, and again for the request to leave
PROGRESS_BYTES = 512  # of an incomplete event, that count as activity: a long list may come in many pieces
READ_BYTES = 16384  # bytes of one read; a full one is followed by a turn of the loop, so a flood stops nobody


class WatchOwner(Protocol):
    """What a connection needs of the watch that it belongs to."""

    cursor: int  # number of the last event that was applied

    def take_event(self, event: ServerEvent) -> None:
        """Take an event or comment. Raises if the connection is to be given up."""

    def connection_progressed(self, connection: "WatchConnection") -> None:
        """Take note that something came on a connection, or that it has ended."""


class WatchConnection:
    """Asks for the events after the owner's cursor, and passes on what comes until the connection ends."""

    def __init__(self, loop: Loop, address: Address, owner: WatchOwner) -> None:
        """Spawn the task that connects and reads."""
        self.loop, self.address, self.owner = loop, address, owner
        self.stream: Stream | None = None
        self.last_activity_ms = loop.now()  # when it began, connected, or brought something last
        self.last_event_ms = float("-inf")  # when the last complete event or comment came
        self.has_ended = self.is_aborted = False
        self.error: Exception | None = None  # what ended it, unless the other side closed in order
        self._task = loop.spawn(self._run, name="channel: watch")

    def silent_from_ms(self) -> float:
        """Return from when on it counts as silent, if nothing comes."""
        return self.last_activity_ms + (SILENCE_MS if self.stream is not None else CONNECT_MS)

    def abort(self) -> None:
        """End it; nothing of it is passed on any more."""
        self.is_aborted = True
        self._task.cancel()

    def _run(self) -> None:
        try:
            self._read()
        except Exception as exc:  # whatever comes, the channel has to be followed on
            self.error = exc
        finally:
            self.has_ended = True
            if self.stream is not None:
                self.stream.abort()
            self.owner.connection_progressed(self)

    def _read(self) -> None:
        """Ask once, and read until it ends.

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
