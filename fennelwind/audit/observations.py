"""What stand-ins saw around a fleet of controllers, one record a sighting; all times in ms of the day.

Records pass between processes as MessagePack lists whose first member tells the kind.
"""

from collections.abc import Iterable, Iterator
from typing import BinaryIO, NamedTuple

import msgpack

SERVED, REFUSED, FAILED, STRANGE = "served", "refused", "failed", "strange"
OK, ERROR, NOT_RUN, DELETED, EXPIRED, LOST = "ok", "error", "not_run", "deleted", "expired", "lost"


class Asked(NamedTuple):
    """A client has written a request whole."""

    at: float
    name: str  # the id, new with each try
    root: int  # number of the planned request that this is a try of
    retry: int
    cls: int
    controller: int
    deadline: float


class Answered(NamedTuple):
    """A client got an answer; `proof` is what an executor put into it."""

    at: float
    name: str
    kind: str
    proof: str = ""
    wait_ms: float = 0.0


class Left(NamedTuple):
    """A client has withdrawn its request."""

    at: float
    name: str


class Broken(NamedTuple):
    """A connection ended without an answer to the request."""

    at: float
    name: str


class Unreached(NamedTuple):
    """No controller took a try of a planned request."""

    at: float
    root: int
    cls: int


class Odd(NamedTuple):
    """A party got from a controller what makes no sense."""

    at: float
    controller: int
    text: str


class Began(NamedTuple):
    """A statement has arrived whole at an executor."""

    at: float
    instance: str
    name: str
    controller: int
    cls: str
    work_ms: float
    need_mb: float
    grant_mb: float


class Ended(NamedTuple):
    """It ended there."""

    at: float
    instance: str
    name: str
    how: str
    proof: str = ""


class Lived(NamedTuple):
    """An executor started, ended or fell over."""

    at: float
    instance: str
    what: str  # start, end or fall


class Process(NamedTuple):
    """Something was done to a controller's process, or it ended."""

    at: float
    controller: int
    what: str  # started, ready, kill, term, stop, cont, hup, ended or crashed
    text: str = ""


class Usage(NamedTuple):
    """What a process had used when the day was over."""

    at: float
    name: str
    memory_mb: float
    cpu_ms: float
    late_ms: float  # by how much its loop's timers were late at worst, if it is of the rig


Sighting = Asked | Answered | Left | Broken | Unreached | Odd | Began | Ended | Lived | Process | Usage
KINDS = (Asked, Answered, Left, Broken, Unreached, Odd, Began, Ended, Lived, Process, Usage)
NUMBERS = {kind: number for number, kind in enumerate(KINDS)}


def write(sink: BinaryIO, sightings: Iterable[Sighting]) -> None:
    """Append records to a file."""
    packer = msgpack.Packer()
    for one in sightings:
        sink.write(packer.pack([NUMBERS[type(one)], *one]))


def read(source: BinaryIO) -> Iterator[Sighting]:
    """Yield a file's records; one cut short at its end is left out."""
    for kind, *fields in msgpack.Unpacker(source, raw=False, max_buffer_size=0):
        yield KINDS[kind](*fields)
