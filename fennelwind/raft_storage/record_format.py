"""Records in files: how they are framed, read back, and what damage to them can mean. No I/O.

A record: magic, kind, length, number, CRC32C of the payload, CRC32C of all that, the payload, one byte that
is not zero. The last byte lets a torn write be told from a flipped bit: see `torn`.
"""

from struct import Struct
from typing import NamedTuple

from crc32c import crc32c

MAGIC = b"\xf7fwr"
META, HEAD, PART, LAST, MARK, SNAPSHOT, PIECE = range(1, 8)
RECORD_MOST = 1 << 20  # bytes of one record's payload; larger groups are cut into parts
SECTOR = 512  # bytes; no disk tears a write within less
END = b"\xa5"

_FRONT = Struct("<4sB3xIQI")  # magic, kind, length, number, CRC32C of the payload
_CRC = Struct("<I")
FRONT = _FRONT.size + _CRC.size
AROUND = FRONT + len(END)  # bytes of a record besides its payload


class Record(NamedTuple):
    """A record as it was read."""

    kind: int
    number: int
    payload: bytes
    end: int  # offset behind it


def pack(kind: int, number: int, payload: bytes) -> bytes:
    """Return a record's bytes."""
    front = _FRONT.pack(MAGIC, kind, len(payload), number, crc32c(payload))
    return b"".join((front, _CRC.pack(crc32c(front)), payload, END))


def parts(number: int, payload: bytes) -> bytes:
    """Return a group's bytes: one record, or as many as its length takes."""
    cuts = range(0, max(1, len(payload)), RECORD_MOST)
    return b"".join(
        pack(LAST if at == cuts[-1] else PART, number, payload[at : at + RECORD_MOST]) for at in cuts
    )


def _front(data: bytes, at: int) -> tuple[int, int, int, int] | None:
    """Return (kind, length, number, CRC of the payload) of the record there; None: it can't be read."""
    if len(data) - at < FRONT:
        return None
    magic, kind, length, number, crc = _FRONT.unpack_from(data, at)
    (told,) = _CRC.unpack_from(data, at + _FRONT.size)
    if magic != MAGIC or length > RECORD_MOST or crc32c(data[at : at + _FRONT.size]) != told:
        return None
    return kind, length, number, crc


def read(data: bytes, at: int) -> Record | None:
    """Return the record at an offset; None: there is none that is whole."""
    front = _front(data, at)
    if front is None:
        return None
    kind, length, number, crc = front
    begin, end = at + FRONT, at + AROUND + length
    payload = data[begin : begin + length]
    if end > len(data) or data[end - 1 : end] != END or crc32c(payload) != crc:
        return None
    return Record(kind, number, payload, end)


def torn(data: bytes, at: int, number: int) -> bool:
    """Tell whether what lies at an offset can be the remains of group `number`, never synced.

    The next group is only written when a sync has brought this one to the disk; so a later one's record
    proves that this one was whole. A sector that was never written is absent or reads as zeros; a record
    begins and ends with bytes that are not zero. So a record that is there in its full length with no sector
    of zeros was written whole, and something has changed it since.
    """
    found = data.find(MAGIC, at)
    while found >= 0:
        front = _front(data, found)
        if front is not None and front[2] > number:
            return False
        found = data.find(MAGIC, found + 1)
    front = _front(data, at)
    end = at + (FRONT if front is None else AROUND + front[1])
    if end > len(data):
        return True
    sector = at - at % SECTOR
    while sector < end:
        if not any(data[max(sector, at) : sector + SECTOR]):
            return True
        sector += SECTOR
    return False
