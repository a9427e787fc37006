"""MessagePack-RPC, incremental and bounded, without I/O.

The `msgpack` package parses: its state survives between pieces, so a message that comes byte by byte is
walked over once. It refuses the lengths of arrays and maps when it reads them, but those of texts and
bodies only when all of them has come; until then its buffer's bound is what holds.
"""

from dataclasses import dataclass
from typing import Any

import msgpack

BODY_MOST = 65536  # bytes of one statement; generated statements are a few KB, and hundreds may be under way
MESSAGE_MOST = 2 * BODY_MOST  # bytes of one message under way
PARTS_MOST = 64  # members of one array or map; a request has a handful of fields
TEXT_MOST = 4096  # bytes of one text; ids and numbers are far shorter
NUMBER_MOST = 2**32 - 1  # message ids are 32 bits wide
REQUEST, RESPONSE, NOTICE = 0, 1, 2


class MalformedMessageError(Exception):
    """What came is no message; the connection can't be read any further."""


@dataclass(slots=True, frozen=True)
class Message:
    """A request, or a notice if `number` is None."""

    number: int | None
    method: str
    params: list[Any]


class Reader:
    """Turns the bytes of one connection into messages.

    A parser takes 40 KB and 1 us to make, so a connection has one only while a message is under way.
    """

    __slots__ = ("spoilt", "_unpacker", "_fed", "_read")

    def __init__(self) -> None:
        self.spoilt: MalformedMessageError | None = (
            None  # what came behind messages that are whole; nothing follows it
        )
        self._unpacker: msgpack.Unpacker | None = None
        self._fed = self._read = 0  # bytes that the parser got, and those of the messages that are whole

    def feed(self, data: bytes) -> list[Message]:
        """Take some bytes; return the messages that are complete now.

        Raises `MalformedMessageError`, if there are none.
        """
        messages: list[Message] = []
        try:
            self._feed(data, messages)
        except MalformedMessageError as exc:
            if not messages:
                raise
            self.spoilt = exc
        return messages

    def _feed(self, data: bytes, messages: list[Message]) -> None:
        unpacker = self._unpacker
        if unpacker is None:
            unpacker, self._fed, self._read = _parser(), 0, 0
        try:
            for start in range(0, len(data), BODY_MOST):
                unpacker.feed(data[start : start + BODY_MOST])
                self._fed += min(BODY_MOST, len(data) - start)
                for value in unpacker:
                    messages.append(_message(value))
                    self._read = unpacker.tell()
                if self.under_way() > MESSAGE_MOST:  # what was looked at is in no buffer any more
                    raise MalformedMessageError("a message without an end")
        except MalformedMessageError:
            raise
        except Exception as exc:  # the package raises many sorts, all of them for what it can't read
            raise MalformedMessageError(f"{type(exc).__name__}: {str(exc)[:100]}") from None
        self._unpacker = unpacker if self.under_way() else None

    def under_way(self) -> int:
        """Return the bytes of a message that is not whole yet."""
        return self._fed - self._read


def _parser() -> msgpack.Unpacker:
    return msgpack.Unpacker(
        raw=False,
        strict_map_key=True,
        read_size=1024,
        max_buffer_size=MESSAGE_MOST,
        max_bin_len=BODY_MOST,
        max_str_len=TEXT_MOST,
        max_array_len=PARTS_MOST,
        max_map_len=PARTS_MOST,
        max_ext_len=0,
    )


def _message(value: object) -> Message:
    if type(value) is list and len(value) == 4:
        kind, number, method, params = value
        if (
            kind == REQUEST
            and type(kind) is int
            and type(number) is int
            and 0 <= number <= NUMBER_MOST
            and type(method) is str
            and type(params) is list
        ):
            return Message(number, method, params)
    elif type(value) is list and len(value) == 3:
        kind, method, params = value
        if kind == NOTICE and type(kind) is int and type(method) is str and type(params) is list:
            return Message(None, method, params)
    raise MalformedMessageError("neither a request nor a notice")


def result(number: int, value: list[Any]) -> bytes:
    """Return the bytes of a response without an error."""
    return msgpack.packb([RESPONSE, number, None, value])


def error(number: int, name: str, fields: dict[str, str]) -> bytes:
    """Return the bytes of a response that is an error."""
    return msgpack.packb([RESPONSE, number, [name, fields], None])
