"""One connection to the command channel, followed in a task of its own."""

from collections.abc import Callable

from fennelwind.loop.scheduler import Loop
from fennelwind.loop.streams import Address, Stream
from fennelwind.node.http1 import EventReader, ServerEvent

SILENCE_MS = 1600.0  # ms without a whole event or comment; a comment comes every second
CONNECT_MS = 400.0  # ms for a connection, and again for the request to leave
FLOW_BYTES = 512  # of an event under way, that count as news: a long list may come in many pieces
READ_BYTES = 16384  # bytes of one read; a full one is followed by a turn of the loop, so a flood stops nobody


class Watch:
    """Asks for the events behind a number, and hands on what comes until the connection ends."""

    def __init__(
        self,
        loop: Loop,
        address: Address,
        last_event: Callable[[], int],
        take: Callable[[ServerEvent], None],
        news: Callable[["Watch"], None],
    ) -> None:
        """Begin. `take` gets each event and comment, and may raise; `news` comes behind each and last."""
        self.loop, self.address, self.last_event, self.take, self.news = loop, address, last_event, take, news
        self.stream: Stream | None = None
        self.heard_ms = loop.now()  # when it began, connected, or brought something last
        self.spoke_ms = float("-inf")  # when the last whole event or comment came
        self.ended = self.aborted = False
        self.error: Exception | None = None  # what ended it, if it was not the other side in order
        self._task = loop.spawn(self._run, name="channel: watch")

    def silent_from(self) -> float:
        """Return from when on it counts as silent, if nothing comes."""
        return self.heard_ms + (SILENCE_MS if self.stream is not None else CONNECT_MS)

    def abort(self) -> None:
        """End it; nothing of it is handed on any more."""
        self.aborted = True
        self._task.cancel()

    def _run(self) -> None:
        try:
            self._read()
        except Exception as exc:  # whatever comes, the channel has to be followed on
            self.error = exc
        finally:
            self.ended = True
            if self.stream is not None:
                self.stream.abort()
            self.news(self)

    def _read(self) -> None:
        """Ask once, and read until it ends.

        Raises `OSError`, `MalformedResponseError`, or what `take` raises.
        """
        self.stream = stream = self.loop.connect(self.address)
        if self.aborted:
            return
        self.heard_ms = self.loop.now()
        stream.write(
            b"GET /cmd/next HTTP/1.1\r\nHost: channel\r\nAccept: text/event-stream\r\n"
            b"Last-Event-ID: %d\r\n\r\n" % self.last_event(),
            CONNECT_MS,
        )
        reader, flowed = EventReader(), 0
        while not reader.ended:
            data = stream.read(READ_BYTES)
            if not data or self.aborted:
                return
            flowed += len(data)
            if flowed >= FLOW_BYTES:
                self.heard_ms, flowed = self.loop.now(), 0
            if len(data) == READ_BYTES:
                self.loop.sleep(0.0)
            for event in reader.feed(data):
                self.heard_ms = self.spoke_ms = self.loop.now()
                self.take(event)
                self.news(self)
        if reader.spoilt is not None:
            raise reader.spoilt
