"""The framing of records in files, and the classification of damaged ones. No I/O.

A record consists of magic, kind, length, number, CRC32C of the payload, CRC32C of the preceding fields,
the payload, and one byte that is not zero. The last byte distinguishes a torn write from a flipped bit; see
`is_torn`.
"""

from struct import Struct
from typing import NamedTuple

from crc32c import crc32c

MAGIC = b"\xf7fwr"
META, HEAD, PART, LAST, MARK, SNAPSHOT, PIECE = range(1, 8)
MAX_PAYLOAD_BYTES = 1 << 20  # bytes of one record's payload; larger groups are split into parts
SECTOR_BYTES = 512  # a disk writes a sector as a whole or not at all
END = b"\xa5"

_HEADER = Struct("<4sB3xIQI")  # magic, kind, length, number, CRC32C of the payload
_CRC = Struct("<I")
HEADER_BYTES = _HEADER.size + _CRC.size
OVERHEAD_BYTES = HEADER_BYTES + len(END)  # bytes of a record besides its payload


class Record(NamedTuple):
    """A record read from a file."""

    kind: int
    number: int
    payload: bytes
    end: int  # offset of the byte after the record


def pack(kind: int, number: int, payload: bytes) -> bytes:
    """Return the bytes of a record."""
    header = _HEADER.pack(MAGIC, kind, len(payload), number, crc32c(payload))
    return b"".join((header, _CRC.pack(crc32c(header)), payload, END))


def pack_group(number: int, payload: bytes) -> bytes:
    """Return the bytes of a group: one record, or several if it is larger than `MAX_PAYLOAD_BYTES`."""
    offsets = range(0, max(1, len(payload)), MAX_PAYLOAD_BYTES)
    return b"".join(
        pack(LAST if at == offsets[-1] else PART, number, payload[at : at + MAX_PAYLOAD_BYTES])
        for at in offsets
    )


def _read_header(data: bytes, at: int) -> tuple[int, int, int, int] | None:
    """Return (kind, length, number, payload CRC) of the record at an offset, or None if unreadable."""
    if len(data) - at < HEADER_BYTES:
        return None
    magic, kind, length, number, crc = _HEADER.unpack_from(data, at)
    (header_crc,) = _CRC.unpack_from(data, at + _HEADER.size)
    if magic != MAGIC or length > MAX_PAYLOAD_BYTES or crc32c(data[at : at + _HEADER.size]) != header_crc:
        return None
    return kind, length, number, crc


def read_record(data: bytes, at: int) -> Record | None:
    """Return the record at an offset, or None if there is no complete and valid one."""
    header = _read_header(data, at)
    if header is None:
        return None
    kind, length, number, crc = header
    start, end = at + HEADER_BYTES, at + OVERHEAD_BYTES + length
    payload = data[start : start + length]
    if end > len(data) or data[end - 1 : end] != END or crc32c(payload) != crc:
        return None
    return Record(kind, number, payload, end)


def is_torn(data: bytes, at: int, number: int) -> bool:
    """Return whether the data at an offset can be the remains of an unsynced write of group `number`.

    The next group is only written once this group is synced, so a record of a later group proves that this
    group was complete. A sector that was never written is absent or reads as zeros, and a record begins and
    ends with bytes that are not zero. So a record with its full length and no sector of zeros was written
    completely, and was damaged later.
    """
    position = data.find(MAGIC, at)
    while position >= 0:
        header = _read_header(data, position)
        if header is not None and header[2] > number:
            return False
        position = data.find(MAGIC, position + 1)
    header = _read_header(data, at)
    end = at + (HEADER_BYTES if header is None else OVERHEAD_BYTES + header[1])
    if end > len(data):
        return True
    sector = at - at % SECTOR_BYTES
    while sector < end:
        if not any(data[max(sector, at) : sector + SECTOR_BYTES]):
            return True
        sector += SECTOR_BYTES
    return False
