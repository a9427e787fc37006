"""Finds the end of a MessagePack message without decoding it, within limits. No I/O.

A decoded message may take a hundred times the memory of its bytes: an empty map is one byte on the wire and
64 bytes in memory. So `msgrpc` decodes nothing before this module has found that the message is complete and
has few values; until then only its bytes are held. Lengths are checked as soon as they are read.
"""

MAX_BODY_BYTES = 65536  # bytes of one statement; generated ones have a few KB, and hundreds may be incomplete
MAX_MESSAGE_BYTES = 2 * MAX_BODY_BYTES  # bytes of one message
MAX_MEMBERS = 64  # members of one array or map; a request has only a few fields
MAX_VALUES = 4 * MAX_MEMBERS  # values of one message, at all levels; a request has fewer than 20
MAX_TEXT_BYTES = 4096  # bytes of one string; ids and numbers are far shorter

# By first byte: the size of a value whose size follows from it, with the first byte itself; else 0.
_FIXED_SIZES = [0] * 256
for _first in (*range(0x80), *range(0xE0, 0x100), 0xC0, 0xC2, 0xC3):  # small integers, nil, false, true
    _FIXED_SIZES[_first] = 1
for _first in range(0xA0, 0xC0):  # short strings
    _FIXED_SIZES[_first] = 1 + (_first & 0x1F)
for _first, _size in zip((0xCC, 0xCD, 0xCE, 0xCF, 0xD0, 0xD1, 0xD2, 0xD3), (1, 2, 4, 8) * 2, strict=True):
    _FIXED_SIZES[_first] = 1 + _size  # integers
_FIXED_SIZES[0xCA], _FIXED_SIZES[0xCB] = 5, 9  # floats

# By first byte: the number of bytes of the length that follows.
_BYTES = {0xC4: 1, 0xC5: 2, 0xC6: 4}
_TEXTS = {0xD9: 1, 0xDA: 2, 0xDB: 4}
_ARRAYS = {0xDC: 2, 0xDD: 4}
_MAPS = {0xDE: 2, 0xDF: 4}
_LENGTH_SIZES = _BYTES | _TEXTS | _ARRAYS | _MAPS


class MalformedMessageError(Exception):
    """The input is not a valid message; nothing after it on the connection can be parsed."""


class MessageScanner:
    """The state of the scan of one message, whose bytes may arrive in any number of pieces."""

    __slots__ = ("_position", "_values_due", "_values_left")

    def __init__(self) -> None:
        self._position = 0  # of the next value's first byte, from the beginning of the message
        self._values_due = 1  # values that are still to come before the message is complete
        self._values_left = MAX_VALUES  # values that further arrays and maps may announce

    def scan(self, data: bytes | bytearray, start: int) -> int | None:
        """Return where the message that begins at `start` ends in `data`, or None while it is incomplete.

        A later call continues where the last one ended. Raises `MalformedMessageError` if the message exceeds
        a limit or has a value that no message may have.
        """
        position, due, size = start + self._position, self._values_due, len(data)
        while due and position < size:
            first = data[position]
            fixed_size = _FIXED_SIZES[first]
            if fixed_size:
                position += fixed_size
                due -= 1
                continue
            if 0x80 <= first < 0xA0:  # a short map or array
                head_size, length = 1, first & 0x0F
            else:
                head_size, length = 1 + _length_size(first), 0
                if position + head_size > size:
                    break
                length = int.from_bytes(data[position + 1 : position + head_size], "big")
            position += head_size
            due -= 1
            if first in _BYTES or first in _TEXTS:
                _check_length(length, MAX_BODY_BYTES if first in _BYTES else MAX_TEXT_BYTES)
                position += length
            else:
                _check_length(length, MAX_MEMBERS)
                due += self._announced(length if 0x90 <= first < 0xA0 or first in _ARRAYS else 2 * length)
        self._position, self._values_due = position - start, due
        if self._position > MAX_MESSAGE_BYTES:
            raise MalformedMessageError("message is too large")
        return None if due or position > size else position

    def _announced(self, values: int) -> int:
        self._values_left -= values
        if self._values_left < 0:
            raise MalformedMessageError("message has too many values")
        return values


def _length_size(first: int) -> int:
    size = _LENGTH_SIZES.get(first)
    if size is None:
        raise MalformedMessageError(f"no value of a message begins with 0x{first:02x}")
    return size


def _check_length(length: int, limit: int) -> None:
    if length > limit:
        raise MalformedMessageError(f"length {length} exceeds the limit of {limit}")
