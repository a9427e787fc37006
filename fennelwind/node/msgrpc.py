"""MessagePack-RPC: an incremental and bounded parser, and an encoder of responses. No I/O.

The bytes of a message are kept as they are until it is complete, which `message_scanner` finds out without
decoding anything. Only then does the `msgpack` package decode it, one message at a time. So an incomplete
message takes the memory of its bytes, whatever its shape.
"""

from dataclasses import dataclass
from typing import Any

import msgpack

from fennelwind.node.message_scanner import MalformedMessageError, MessageScanner

MAX_MESSAGE_ID = 2**32 - 1  # message ids are 32 bits wide
REQUEST_TYPE, RESPONSE_TYPE, NOTIFICATION_TYPE = 0, 1, 2


@dataclass(slots=True, frozen=True)
class Request:
    """A request, which must get a response with its message id."""

    message_id: int
    method: str
    params: list[Any]


@dataclass(slots=True, frozen=True)
class Notification:
    """A message that gets no response."""

    method: str
    params: list[Any]


class MessageReader:
    """Parses the bytes of one connection into messages, which are taken one by one."""

    __slots__ = ("_data", "_start", "_scanner")

    def __init__(self) -> None:
        self._data: bytes | bytearray = b""  # the last read, or the bytes of an incomplete message
        self._start = 0  # where in `_data` the next message begins
        self._scanner = MessageScanner()

    def add(self, data: bytes) -> None:
        """Add further bytes."""
        if self._start == len(self._data):
            self._data, self._start = data, 0
            return
        if isinstance(self._data, bytes):
            self._data = bytearray(self._data)
        del self._data[: self._start]
        self._start = 0
        self._data += data

    def next_message(self) -> Request | Notification | None:
        """Return the next message, or None if it is incomplete. Raises `MalformedMessageError`."""
        end = self._scanner.scan(self._data, self._start)
        if end is None:
            if self._start:  # bytes of earlier messages are not held
                self._data, self._start = self._data[self._start :], 0
            return None
        message = _decode(self._data[self._start : end])
        self._start, self._scanner = end, MessageScanner()
        return message

    def unparsed_bytes(self) -> int:
        """Return the number of bytes that belong to no message taken yet."""
        return len(self._data) - self._start

    def held_bytes(self) -> int:
        """Return the memory that these bytes take."""
        return self._data.__sizeof__() if self.unparsed_bytes() else 0


def _decode(raw: bytes | bytearray) -> Request | Notification:
    try:
        value = msgpack.unpackb(raw, raw=False, strict_map_key=True)
    except Exception as exc:  # the package raises many types, all for input that it can't parse
        raise MalformedMessageError(f"{type(exc).__name__}: {str(exc)[:100]}") from None
    return _read_message(value)


def _read_message(value: object) -> Request | Notification:
    if type(value) is list and len(value) == 4:
        message_type, message_id, method, params = value
        if (
            message_type == REQUEST_TYPE
            and type(message_type) is int
            and type(message_id) is int
            and 0 <= message_id <= MAX_MESSAGE_ID
            and type(method) is str
            and type(params) is list
        ):
            return Request(message_id, method, params)
    elif type(value) is list and len(value) == 3:
        message_type, method, params = value
        if (
            message_type == NOTIFICATION_TYPE
            and type(message_type) is int
            and type(method) is str
            and type(params) is list
        ):
            return Notification(method, params)
    raise MalformedMessageError("neither a request nor a notification")


def encode_result(message_id: int, value: list[Any]) -> bytes:
    """Return the encoded response of a successful request."""
    return msgpack.packb([RESPONSE_TYPE, message_id, None, value])


def encode_error(message_id: int, name: str, fields: dict[str, str]) -> bytes:
    """Return the encoded error response."""
    return msgpack.packb([RESPONSE_TYPE, message_id, [name, fields], None])
