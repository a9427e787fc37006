"""Reads and writes calls and replies, and finds the end of an unframed message."""

from struct import Struct
from struct import error as StructError  # noqa: N812 - it is a class
from typing import Any, NamedTuple

from fennelwind.thrift.codec import (
    LIST,
    MAP,
    MAX_DEPTH,
    MIN_SIZES,
    SET,
    SIZES,
    STOP,
    STRING,
    STRUCT,
    Incomplete,
    Malformed,
    Structure,
    build,
    decode,
    skip,
)
from fennelwind.thrift.hiveserver2 import CODECS, METHODS

CALL, REPLY, EXCEPTION, ONEWAY = 1, 2, 3, 4
UNKNOWN_METHOD, INVALID_MESSAGE_TYPE, INTERNAL_ERROR, PROTOCOL_ERROR = 1, 2, 6, 7  # types of exceptions
MAX_METHOD_NAME_BYTES = 128  # the longest name in HiveServer2 has 21
_head = Struct(">HBBi").unpack_from
_int = Struct(">i").unpack_from
_pack_head = Struct(">HBBi").pack
_pack_int = Struct(">i").pack
_EXCEPTION = build({"TApplicationException": "1 message string; 2 type i32"})["TApplicationException"]
TApplicationException = _EXCEPTION.make

_REQUESTS = {m.encode(): (m, CODECS[f"T{m}Req"]) for m in METHODS}
_REPLIES = {m.encode(): (m, CODECS[f"T{m}Resp"]) for m in METHODS}


class Message(NamedTuple):
    """A message; `body` is its one argument or result, or None if the method is unknown."""

    method: str
    type: int
    sequence: int
    body: Any
    strict: bool = True  # if true, the header states the protocol version, as newer clients' headers do


def read_message(buf: bytes, pos: int = 0) -> tuple[Message, int]:
    """Read a message; return it and the position after it. Raises `Incomplete` or `Malformed`."""
    try:
        return _read(buf, pos)
    except (IndexError, StructError):
        raise Incomplete from None


def _read(buf: bytes, pos: int) -> tuple[Message, int]:
    version, unused, kind, size = _head(buf, pos) if buf[pos] & 0x80 else (0, 0, 0, 0)
    strict = version == 0x8001
    if strict:
        pos += 8
    elif version:
        raise Malformed(f"a message of protocol version {version:#06x}")
    else:
        (size,) = _int(buf, pos)
        pos += 4
    if not 0 <= size <= MAX_METHOD_NAME_BYTES:
        raise Malformed(f"a method's name of {size} bytes")
    name, pos = buf[pos : pos + size], pos + size
    if not strict:
        kind, pos = buf[pos], pos + 1
    (sequence,) = _int(buf, pos)
    pos += 4
    if kind not in (CALL, REPLY, EXCEPTION, ONEWAY):
        raise Malformed(f"a message of type {kind}")
    if kind == EXCEPTION:
        body, pos = decode(_EXCEPTION, buf, pos)
        return Message(name.decode("utf-8", "replace"), kind, sequence, body, strict), pos
    method_and_codec = (_REPLIES if kind == REPLY else _REQUESTS).get(name)
    if method_and_codec is None:
        return Message(name.decode("utf-8", "replace"), kind, sequence, None, strict), skip(buf, pos, STRUCT)
    method, codec = method_and_codec
    body_header, body = b"\x0c\0\0" if kind == REPLY else b"\x0c\0\1", None
    while buf[pos] != STOP:
        head, pos = buf[pos : pos + 3], pos + 3
        if head == body_header:
            body, pos = codec.read(buf, pos)
        else:
            pos = skip(buf, pos, head[0], 1)
    if body is None:
        raise Malformed(f"{method} without its {'result' if kind == REPLY else 'request'}")
    return Message(method, kind, sequence, body, strict), pos + 1


def write_message(method: str, kind: int, sequence: int, body: Structure, strict: bool = True) -> bytes:
    """Return the bytes of a message."""
    name = method.encode()
    pieces: list[bytes] = []
    if strict:
        pieces += [_pack_head(0x8001, 0, kind, len(name)), name, _pack_int(sequence)]
    else:
        pieces += [_pack_int(len(name)), name, bytes([kind]), _pack_int(sequence)]
    if kind == EXCEPTION:
        _EXCEPTION.write(pieces.append, body)
    else:
        pieces.append(b"\x0c\0\0" if kind == REPLY else b"\x0c\0\1")
        CODECS[f"T{method}{'Resp' if kind == REPLY else 'Req'}"].write(pieces.append, body)
        pieces.append(b"\0")
    return b"".join(pieces)


class MessageScanner:
    """Finds the end of a message in bytes that arrive in pieces.

    Each byte is examined once, however the message is split, so a peer that sends one byte per second costs
    no more than one that sends the message at once. Open containers are kept on an explicit stack, so that
    nesting depth is limited by a constant and not by recursion.
    """

    def __init__(self, max_message_bytes: int) -> None:
        self.max_message_bytes = max_message_bytes
        self.reset()

    def reset(self) -> None:
        """Start a new message at the start of the buffer."""
        self.pos, self.is_in_header = 0, True
        self.stack: list[
            list[int]
        ] = []  # [STRUCT] or [LIST, type, remaining] or [MAP, next type, other type, remaining]

    def scan(self, buf: bytearray) -> int | None:
        """Continue with all bytes received; return the message's length, or None while it is incomplete."""
        if self.is_in_header and not self._scan_header(buf):
            return self._check_size(buf)
        while self.stack:
            top = self.stack[-1]
            if top[0] == STRUCT:
                code = self._next_byte(buf)
                if code is None:
                    return self._check_size(buf)
                if code == STOP:
                    self.pos += 1
                    self.stack.pop()
                    continue
                if not self._skip_value(buf, self.pos + 3, code):
                    return self._check_size(buf)
            elif top[-1] == 0:
                self.stack.pop()
            elif top[0] == LIST and top[1] == STRING:
                if not self._skip_strings(buf, top):
                    return self._check_size(buf)
            else:
                code = top[1]
                if not self._skip_value(buf, self.pos, code):
                    return self._check_size(buf)
                top[-1] -= 1
                if top[0] == MAP:
                    top[1], top[2] = top[2], top[1]
        return self.pos

    def _skip_strings(self, buf: bytearray, top: list[int]) -> bool:
        """Skip the received strings of a list; return whether it is complete. Pages are mostly strings."""
        pos, remaining, buffer_bytes, read = self.pos, top[-1], len(buf), _int
        try:
            while remaining:
                (size,) = read(buf, pos)
                end = pos + 4 + size
                if size < 0:
                    raise Malformed(f"a string of {size} bytes")
                if size > self.max_message_bytes or end > buffer_bytes:
                    break
                pos, remaining = end, remaining - 1
        except StructError:
            pass
        if remaining and len(buf) >= pos + 4:
            self._read_count(buf, pos, 1)
        self.pos, top[-1] = pos, remaining
        return not remaining

    def _check_size(self, buf: bytearray) -> None:
        if len(buf) > self.max_message_bytes:
            raise Malformed(f"a message of over {self.max_message_bytes} bytes")

    def _next_byte(self, buf: bytearray) -> int | None:
        return buf[self.pos] if self.pos < len(buf) else None

    def _scan_header(self, buf: bytearray) -> bool:
        if len(buf) < 8:
            return False
        if buf[0] & 0x80:
            if buf[:2] != b"\x80\x01":
                raise Malformed(f"a message of protocol version 0x{buf[:2].hex()}")
            size, start = _int(buf, 4)[0], 8
        else:
            size, start = _int(buf, 0)[0], 5
        if not 0 <= size <= MAX_METHOD_NAME_BYTES:
            raise Malformed(f"a method's name of {size} bytes")
        self.pos = start + size + 4
        self.is_in_header = False
        self.stack.append([STRUCT])
        return True

    def _skip_value(self, buf: bytearray, pos: int, code: int) -> bool:
        """Skip a value, or push it on the stack if it is a container; return False if bytes are missing."""
        size, length = SIZES.get(code), len(buf)
        if size is not None:
            if pos + size > length:
                return False
            self.pos = pos + size
            return True
        if code == STRING:
            if pos + 4 > length:
                return False
            size = self._read_count(buf, pos, 1)
            if pos + 4 + size > length:
                return False
            self.pos = pos + 4 + size
            return True
        if code not in MIN_SIZES:
            raise Malformed(f"a value of the unknown type {code}")
        if len(self.stack) >= MAX_DEPTH + 1:
            raise Malformed(f"values over {MAX_DEPTH} deep")
        if code == STRUCT:
            self.pos = pos
            self.stack.append([STRUCT])
            return True
        head = 6 if code == MAP else 5
        if pos + head > length:
            return False
        inner = buf[pos]
        if code == MAP:
            other = buf[pos + 1]
            count = self._read_count(buf, pos + 2, MIN_SIZES.get(inner, 1) + MIN_SIZES.get(other, 1))
            if count and (inner not in MIN_SIZES or other not in MIN_SIZES):
                raise Malformed(f"a map of the unknown types {inner} and {other}")
            self.stack.append([MAP, inner, other, 2 * count])
        else:
            if inner not in MIN_SIZES:
                raise Malformed(f"a list of the unknown type {inner}")
            count = self._read_count(buf, pos + 1, MIN_SIZES[inner])
            if inner in SIZES:
                if pos + head + count * SIZES[inner] > length:
                    return False
                self.pos = pos + head + count * SIZES[inner]
                return True
            self.stack.append([LIST if code == SET else code, inner, count])
        self.pos = pos + head
        return True

    def _read_count(self, buf: bytearray, pos: int, min_size: int) -> int:
        (count,) = _int(buf, pos)
        if count < 0:
            raise Malformed(f"a length of {count}")
        if pos + count * min_size > self.max_message_bytes:
            raise Malformed(f"a message of over {self.max_message_bytes} bytes")
        return count
