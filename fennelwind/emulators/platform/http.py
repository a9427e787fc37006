"""HTTP/1.1 as the answering side: bytes into calls; bounded."""

from dataclasses import dataclass

HEAD_MOST = 8192  # bytes of a call's head
BODY_MOST = 131_072  # bytes of a statement, twice what controllers take


class BadCall(Exception):
    """What came is no call; the connection serves no further use."""


@dataclass(slots=True)
class Call:
    """One call."""

    verb: str
    path: str
    fields: dict[str, str]  # names in lower case
    body: bytes


class CallReader:
    """Turns the bytes of one connection into calls."""

    def __init__(self) -> None:
        self._data = b""

    def feed(self, data: bytes) -> list[Call]:
        """Take some bytes; return the calls that are whole now. Raises `BadCall`."""
        self._data += data
        calls = []
        while (call := self._take()) is not None:
            calls.append(call)
        return calls

    def _take(self) -> Call | None:
        end = self._data.find(b"\r\n\r\n", 0, HEAD_MOST)
        if end < 0:
            if len(self._data) >= HEAD_MOST:
                raise BadCall("a head without an end")
            return None
        try:
            first, *lines = self._data[:end].decode("ascii").split("\r\n")
            verb, path, version = first.split(" ")
            fields = {name.lower(): value.strip() for name, value in (line.split(":", 1) for line in lines)}
            length = int(fields.get("content-length", "0"))
        except ValueError:
            raise BadCall("a head that can't be read") from None
        if version != "HTTP/1.1" or not 0 <= length <= BODY_MOST:
            raise BadCall("neither version nor length is one of ours")
        start = end + 4
        if len(self._data) < start + length:
            return None
        body, self._data = self._data[start : start + length], self._data[start + length :]
        return Call(verb, path, fields, body)


def answer(status: int, body: bytes = b"", **fields: object) -> bytes:
    """Return the bytes of an answer; field names are written with dashes in the place of underscores."""
    lines = "".join(f"{name.replace('_', '-')}: {value}\r\n" for name, value in fields.items())
    length = "" if status == 204 else f"Content-Length: {len(body)}\r\n"
    return f"HTTP/1.1 {status} Told\r\n{lines}{length}\r\n".encode("ascii") + body
