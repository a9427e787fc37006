"""What a relay of the rig costs, so that it is not taken for a slow executor: with and without it, in turn.

Echo, caller and relay share one core here, so the difference a message is the relay's own time; what one
relay process can carry follows from it.
"""

import statistics
from dataclasses import dataclass

from fennelwind.loop import Address, RealLoop, Stream, StreamReset
from fennelwind.testbed.links import Distances, Links
from fennelwind.testbed.relay import Relay, Row

HERE = Address("127.0.0.1", 0)
MESSAGES, BYTES, ROUNDS = 3000, 300, 5  # a round's messages there and back; about a call's size
IDLE_ROWS = 1000  # listeners that a relay of 25 controllers and 40 executors has


@dataclass(slots=True, frozen=True)
class Cost:
    """Medians over the rounds."""

    direct_us: float  # a message there and back without a relay
    relayed_us: float
    crowded_us: float  # through a relay with `IDLE_ROWS` more listeners

    @property
    def per_s(self) -> float:
        """Return the messages a second, there and back, that fill a crowded relay's core."""
        return 1e6 / max(self.crowded_us - self.direct_us, 1e-9)


def measure() -> Cost:
    """Measure, on sockets of one process."""
    loop = RealLoop()
    return loop.run(_measure, loop)


def _measure(loop: RealLoop) -> Cost:
    listener = loop.listen(HERE)

    def echo(stream: Stream) -> None:
        try:
            while data := stream.read():
                stream.write(data)
        except StreamReset:
            pass

    def accept() -> None:
        while True:
            loop.spawn(echo, listener.accept())

    loop.spawn(accept)

    def relay(rows: int) -> Address:
        made = Relay(
            loop,
            Links(Distances({}, 0.0, 0.0, 0.0), ()),
            [Row(HERE, "a", "b", listener.address) for _ in range(rows)],
            loop.now,
            "1",
        )
        made.prepare()
        return made.doors[0].listener.address

    def trip(address: Address) -> float:
        stream = loop.connect(address)
        message, began = b"x" * BYTES, loop.now()
        for _ in range(MESSAGES):
            stream.write(message)
            left = BYTES
            while left:
                left -= len(stream.read(left))
        stream.close()
        return (loop.now() - began) * 1000.0 / MESSAGES

    one = relay(1)
    seen = [(trip(listener.address), trip(one)) for _ in range(ROUNDS)]
    crowded = relay(IDLE_ROWS)
    direct, relayed = (statistics.median(column) for column in zip(*seen, strict=True))
    bare = statistics.median(trip(listener.address) for _ in range(ROUNDS))
    full = statistics.median(trip(crowded) for _ in range(ROUNDS))
    return Cost(direct, relayed, full - bare + direct)
