"""A stand-in command channel: tells each controller its own events, at their planned times."""

import json
from collections.abc import Callable
from typing import Any

from fennelwind.audit.observations import Odd, Sighting
from fennelwind.emulators.platform.http import BadCall, CallReader
from fennelwind.loop import Address, DeadlineExceeded, Loop, Stream, StreamReset

COMMENT_MS = 1000.0  # ms between two comments, as the protocol states
ASKED_MS = 2000.0  # ms that a connection may take to ask
WRITE_MS = 500.0  # ms for a piece; a controller that takes none is let go


class Channel:
    """The command channel at one address; `open_until` says when a controller is to use another one.

    `told` gives a controller's events, each with its time in ms of the day and as it is to be written.
    """

    def __init__(
        self,
        loop: Loop,
        address: Address,
        told: Callable[[int], list[tuple[float, dict[str, Any]]]],
        *,
        clock: Callable[[], float],
        caller: Callable[[Stream], int],
        open_until: Callable[[int], float],
        note: Callable[[Sighting], None],
        linger_ms: float,
    ) -> None:
        self.loop, self.address, self.told, self.clock = loop, address, told, clock
        self.caller, self.open_until, self.note, self.linger_ms = caller, open_until, note, linger_ms
        self.silent = self.broken = False
        self.asked = 0
        self._streams: dict[Stream, None] = {}
        self._listener = None

    def start(self) -> None:
        """Listen. Raises `OSError` if the address can't be had."""
        self._listener = self.loop.listen(self.address, 1024)
        self.loop.spawn(self._accept, name=f"channel {self.address}")

    def break_off(self) -> None:
        """End all connections and take none, until `broken` is false again."""
        self.broken = True
        for stream in list(self._streams):
            stream.abort()

    def _accept(self) -> None:
        while True:
            stream = self._listener.accept()
            if self.broken:
                stream.abort()
                continue
            self._streams[stream] = None
            self.loop.spawn(self._serve, stream, name="channel: connection")

    def _serve(self, stream: Stream) -> None:
        caller = self.caller(stream)
        try:
            cursor = self._asked(stream)
            if self.clock() >= self.open_until(caller):
                return
            stream.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n", WRITE_MS)
            self._tell(stream, caller, cursor)
        except BadCall as exc:
            self.note(Odd(self.clock(), caller, f"channel: {exc}"))
        except (StreamReset, DeadlineExceeded):
            pass
        finally:
            self._streams.pop(stream, None)
            stream.abort()

    def _asked(self, stream: Stream) -> int:
        reader = CallReader()
        with self.loop.deadline(ASKED_MS):
            while data := stream.read():
                for call in reader.feed(data):
                    if call.verb != "GET" or call.path != "/cmd/next":
                        raise BadCall(f"{call.verb} {call.path[:40]}")
                    self.asked += 1
                    return int(call.fields.get("last-event-id", "0"))
        raise StreamReset("closed before it asked")

    def _tell(self, stream: Stream, caller: int, cursor: int) -> None:
        """Tell what is due behind the cursor, and a comment each second, until the controller has to move."""
        comment_at = self.clock()
        told = self.told(caller)
        while True:
            now, until = self.clock(), self.open_until(caller)
            if now >= until + self.linger_ms:
                return
            if not self.silent and now < until:
                while cursor < len(told) and told[cursor][0] <= now:
                    event = told[cursor][1]
                    cursor += 1
                    raw = f"id: {cursor}\ndata: {json.dumps(event, separators=(',', ':'))}\n\n"
                    stream.write(raw.encode("ascii"), WRITE_MS)
                if now >= comment_at:
                    comment_at = now + COMMENT_MS
                    stream.write(b": here\n\n", WRITE_MS)
            due = told[cursor][0] if cursor < len(told) else float("inf")
            if now < until:
                wait = min(comment_at, max(due, now + 1.0), until) - now
            else:
                wait = until + self.linger_ms - now
            self.loop.sleep(max(1.0, min(wait, 100.0 if self.silent else COMMENT_MS)))
