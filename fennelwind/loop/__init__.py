"""The one place that waits: a greenlet scheduler, timers, streams, channels and deadlines.

Everything above this package reaches time, sockets and signals through a `Loop`: `RealLoop` serves real
sockets by `select.poll`, `SimLoop` the same calls in virtual time with in-memory streams. All times are
milliseconds on a clock that never goes back and has no particular start.
"""

from fennelwind.loop.real import RealLoop
from fennelwind.loop.scheduler import (
    Cancelled,
    Channel,
    ChannelClosed,
    ChannelFull,
    Deadline,
    DeadlineExceeded,
    Deadlock,
    Loop,
    Once,
    Task,
)
from fennelwind.loop.sim import SimLoop
from fennelwind.loop.streams import (
    Address,
    ConnectFailed,
    Datagrams,
    Listener,
    LocalConnectFailure,
    Stream,
    StreamReset,
    parse_address,
)

__all__ = [
    "TlsStream",
    "Address",
    "Cancelled",
    "Channel",
    "ChannelClosed",
    "ChannelFull",
    "ConnectFailed",
    "Datagrams",
    "Deadline",
    "DeadlineExceeded",
    "Deadlock",
    "Listener",
    "Loop",
    "Once",
    "RealLoop",
    "LocalConnectFailure",
    "SimLoop",
    "Stream",
    "StreamReset",
    "Task",
    "parse_address",
]


def __getattr__(name: str) -> object:
    """Load what brings a large library along only when it is asked for."""
    if name == "TlsStream":
        from fennelwind.loop.tls import TlsStream

        return TlsStream
    raise AttributeError(name)
