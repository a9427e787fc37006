"""A discovery that lists engines, pushes changes or is asked, and can fall silent."""

import json
from dataclasses import dataclass

from fennelwind.loop import Address, Channel, Listener, Loop, Stream, StreamReset

CHANGES_MOST = 1000  # changes kept for a subscriber that reads slowly; beyond it the connection is closed


@dataclass(slots=True)
class Listed:
    """What discovery knows of an engine; `launched_ms` 0 means long ago."""

    engine: str
    state: str = "ready"
    zone: str = "default"
    kind: str = "default"
    cell: int = 0
    weight: float = 1.0
    launched_ms: float = 0.0


class Discovery:
    """A stand-in discovery."""

    def __init__(self, loop: Loop, address: Address, wrap=lambda stream, who: stream) -> None:
        self.loop, self.address, self.wrap = loop, address, wrap
        self.listed: dict[str, Listed] = {}
        self.delay_ms = 0.0  # how late it tells changes
        self.silent = False  # takes subscribers and tells them nothing
        self.index = 0
        self.subscriptions = 0
        self._listener: Listener | None = None
        self._subscribers: dict[Stream, Channel] = {}

    def start(self) -> None:
        """Listen, if it does not already."""
        if self._listener is not None:
            return
        self._listener = self.loop.listen(self.address)
        self.address = self._listener.address
        self.loop.spawn(self._accept, self._listener, name="discovery: accept")

    def stop(self) -> None:
        """Go away: refuse connections, break those there are."""
        if self._listener is not None:
            self._listener.close()
            self._listener = None
        for stream in list(self._subscribers):
            stream.abort()

    def change(self, *entries: Listed) -> None:
        """Change entries; subscribers are told after the delay."""
        for entry in entries:
            self.listed[entry.engine] = entry
        self.index += 1
        line = self._line("delta", entries)
        for stream, channel in list(self._subscribers.items()):
            if len(channel) >= CHANGES_MOST:
                stream.abort()
            else:
                self.loop.after(self.delay_ms, lambda c=channel: None if c.closed else c.offer(line))

    def _line(self, form: str, entries) -> bytes:
        engines = [
            {
                "engine": e.engine,
                "state": e.state,
                "zone": e.zone,
                "kind": e.kind,
                "cell": e.cell,
                "weight": e.weight,
                "launched_ms": e.launched_ms,
            }
            for e in entries
        ]
        told = {"form": form, "index": self.index, "now_ms": self.loop.now(), "engines": engines}
        return json.dumps(told).encode() + b"\n"

    def _accept(self, listener: Listener) -> None:
        while True:
            try:
                stream = self.wrap(listener.accept(), "discovery")
            except StreamReset:
                return
            self.loop.spawn(self._serve, stream, name="discovery: subscriber")

    def _serve(self, stream: Stream) -> None:
        channel = Channel(self.loop, CHANGES_MOST + 1)
        try:
            asked = b""
            while b"\n" not in asked and len(asked) < 1000:
                data = stream.read()
                if not data:
                    return
                asked += data
            self.subscriptions += 1
            self._subscribers[stream] = channel
            if not self.silent:
                there = [e for e in self.listed.values() if e.state != "gone"]
                stream.write(self._line("full", there))
            while True:
                line = channel.get()
                if not self.silent:
                    stream.write(line)
        except StreamReset:
            pass
        finally:
            self._subscribers.pop(stream, None)
            channel.close()
            stream.close()
