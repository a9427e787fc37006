"""Encoders and decoders of Thrift's binary protocol, built once per structure.

A structure is declared as a table of its fields. `build` generates Python source for its class, its reader
and its writer, with each field's type, id and branch written out, and compiles it, so that no table is
interpreted while messages are read and written. The encoding follows Apache Thrift's "Thrift Binary protocol
encoding".

Readers take complete bytes. Truncated input raises `Incomplete`; input that no further bytes can make valid
raises `Malformed`. The declared number of elements is checked against the bytes present before anything is
allocated for them.
"""

import re
from collections.abc import Callable
from struct import Struct, unpack_from
from struct import error as StructError  # noqa: N812 - it is a class
from typing import Any, NamedTuple

MAX_DEPTH = 32  # levels of nested structures and lists; HiveServer2's own structures have up to 7
STOP, BOOL, BYTE, DOUBLE, I16, I32, I64, STRING = 0, 2, 3, 4, 6, 8, 10, 11
STRUCT, MAP, SET, LIST = 12, 13, 14, 15
SIZES = {BOOL: 1, BYTE: 1, DOUBLE: 8, I16: 2, I32: 4, I64: 8}  # encoded size of fixed-size types, in bytes
MIN_SIZES = {
    **SIZES,
    STRING: 4,
    STRUCT: 1,
    MAP: 6,
    SET: 5,
    LIST: 5,
}  # minimum encoded size of a value, in bytes
SIMPLE = {
    "bool": BOOL,
    "byte": BYTE,
    "double": DOUBLE,
    "i16": I16,
    "i32": I32,
    "i64": I64,
    "string": STRING,
    "binary": STRING,
}
FORMATS = {BYTE: "b", DOUBLE: "d", I16: "h", I32: "i", I64: "q"}


class ThriftError(Exception):
    """The bytes can't be decoded as a message."""


class Malformed(ThriftError):
    """The bytes violate the protocol or a limit; no bytes that follow could make them valid."""


class Incomplete(ThriftError):
    """The bytes end inside a message."""


class Field(NamedTuple):
    """One field of a structure: its id, name, type as text and wire type."""

    number: int
    name: str
    type: str
    code: int


def wire_type(text: str) -> int:
    """Return the wire type of a declared type."""
    if text in SIMPLE:
        return SIMPLE[text]
    return {"list": LIST, "set": SET, "map": MAP}.get(text.partition("<")[0], STRUCT)


def parse_fields(text: str) -> tuple[Field, ...]:
    """Parse a table `ID NAME TYPE; ...` of fields."""
    fields = []
    for line in filter(None, (part.strip() for part in text.replace("\n", ";").split(";"))):
        match = re.fullmatch(r"(-?\d+) (\w+) ([\w<>,]+)", line)
        if match is None:
            raise ValueError(f"no field: {line!r}")
        fields.append(Field(int(match[1]), match[2], match[3], wire_type(match[3])))
    return tuple(fields)


_unpack = {code: Struct(">" + letter).unpack_from for code, letter in FORMATS.items()}
_int = _unpack[I32]
_pack = {code: Struct(">" + letter).pack for code, letter in FORMATS.items()}
_pack_field = {code: Struct(">bh" + letter).pack for code, letter in FORMATS.items()}
_pack_list = Struct(">bi").pack
_pack_map = Struct(">bbi").pack


def _read_text(buf: bytes, pos: int) -> tuple[str, int]:
    raw, pos = _read_bytes(buf, pos)
    return raw.decode("utf-8", "surrogateescape"), pos


def _read_bytes(buf: bytes, pos: int) -> tuple[bytes, int]:
    (size,) = _int(buf, pos)
    pos += 4
    end = pos + size
    if size < 0:
        raise Malformed(f"a string of {size} bytes")
    if end > len(buf):
        raise Incomplete
    return buf[pos:end], end


def _read_bool(buf: bytes, pos: int) -> tuple[bool, int]:
    return buf[pos] != 0, pos + 1


def _read_count(buf: bytes, pos: int, min_size: int) -> int:
    (count,) = _int(buf, pos)
    if count < 0:
        raise Malformed(f"a list of {count} elements")
    if count * min_size > len(buf) - pos - 4:
        raise Incomplete
    return count


def _read_list(buf: bytes, pos: int, code: int, min_size: int) -> tuple[int, int]:
    """Read a list's header; return its length and the position of its first element."""
    count = _read_count(buf, pos + 1, min_size)
    if buf[pos] != code and count:
        raise Malformed(f"a list of type {buf[pos]}, where type {code} was expected")
    return count, pos + 5


def skip(buf: bytes, pos: int, code: int, depth: int = 0) -> int:
    """Skip a value of any type; return the position after it."""
    size = SIZES.get(code)
    if size is not None:
        if pos + size > len(buf):
            raise Incomplete
        return pos + size
    if code == STRING:
        return _read_bytes(buf, pos)[1]
    if depth >= MAX_DEPTH:
        raise Malformed(f"values over {MAX_DEPTH} deep")
    if code == STRUCT:
        while (inner := buf[pos]) != STOP:
            pos = skip(buf, pos + 3, inner, depth + 1)
        return pos + 1
    if code in (LIST, SET):
        inner = buf[pos]
        if inner not in MIN_SIZES:
            raise Malformed(f"a list of the unknown type {inner}")
        count = _read_count(buf, pos + 1, MIN_SIZES[inner])
        if inner in SIZES:
            return pos + 5 + count * SIZES[inner]
        pos += 5
        if inner == STRING:  # text columns of result pages: skipping spends nearly all its time here
            read, end_of_buffer = _int, len(buf)
            for _ in range(count):
                (size,) = read(buf, pos)
                if size < 0:
                    raise Malformed(f"a string of {size} bytes")
                pos += 4 + size
            if pos > end_of_buffer:
                raise Incomplete
            return pos
        for _ in range(count):
            pos = skip(buf, pos, inner, depth + 1)
        return pos
    if code == MAP:
        key, value = buf[pos], buf[pos + 1]
        if (key not in MIN_SIZES or value not in MIN_SIZES) and any(buf[pos + 2 : pos + 6]):
            raise Malformed(f"a map of the unknown types {key} and {value}")
        count = _read_count(buf, pos + 2, MIN_SIZES.get(key, 1) + MIN_SIZES.get(value, 1))
        pos += 6
        for _ in range(count):
            pos = skip(buf, skip(buf, pos, key, depth + 1), value, depth + 1)
        return pos
    raise Malformed(f"a value of the unknown type {code}")


class _SourceGenerator:
    """Generates the source of readers and writers; each type that is not simple gets its own functions."""

    def __init__(self, names: dict[str, Any]) -> None:
        self.names = names

    def reader(self, kind: str) -> str:
        """Return the name of a function (buf, pos) -> (value, pos) that reads the type."""
        simple = {"string": "_read_text", "binary": "_read_bytes", "bool": "_read_bool"}
        if kind in simple:
            return simple[kind]
        name = "_read_" + re.sub(r"\W", "_", kind)
        if kind.startswith("lazy<") and name not in self.names:
            (inner,) = _arguments(kind)
            codec = f"Codec({inner}, _read_{inner}, _write_{inner})"
            self._compile(
                f"def {name}(buf, pos):\n"
                f"    end = skip(buf, pos, {STRUCT}, 1)\n"
                f"    return Lazy({codec}, buf[pos:end]), end\n"
            )
        if name in self.names or wire_type(kind) == STRUCT:
            return name
        if kind in SIMPLE:
            code = SIMPLE[kind]
            self._compile(
                f"def {name}(buf, pos):\n    return _unpack{code}(buf, pos)[0], pos + {SIZES[code]}\n"
            )
        elif kind.startswith("map<"):
            key, value = _arguments(kind)
            self._compile(
                f"def {name}(buf, pos):\n"
                f"    count = _read_count("
                f"buf, pos + 2, {MIN_SIZES[wire_type(key)] + MIN_SIZES[wire_type(value)]})\n"
                f"    if count and (buf[pos], buf[pos + 1]) != ({wire_type(key)}, {wire_type(value)}):\n"
                f"        raise Malformed('a map of other types than were expected')\n"
                f"    pos += 6\n    value = {{}}\n"
                f"    for _ in range(count):\n"
                f"        key, pos = {self.reader(key)}(buf, pos)\n"
                f"        value[key], pos = {self.reader(value)}(buf, pos)\n"
                f"    return value, pos\n"
            )
        else:
            (inner,) = _arguments(kind)
            code = wire_type(inner)
            head = f"    count, pos = _read_list(buf, pos, {code}, {MIN_SIZES[code]})\n"
            if code == BOOL:
                body = "    end = pos + count\n    return [v != 0 for v in buf[pos:end]], end\n"
            elif code in SIZES:
                body = (
                    f"    return list(unpack_from(f'>{{count}}{FORMATS[code]}', buf, pos)), "
                    f"pos + count * {SIZES[code]}\n"
                )
            elif inner == "binary":
                body = (
                    "    value = []\n    add = value.append\n    most = len(buf)\n"
                    "    for _ in range(count):\n"
                    "        size, = _int(buf, pos)\n        pos += 4\n        end = pos + size\n"
                    "        if size < 0:\n            raise Malformed(f'a string of {size} bytes')\n"
                    "        add(buf[pos:end])\n        pos = end\n"
                    "    if pos > most:\n        raise Incomplete\n    return value, pos\n"
                )
            else:
                body = (
                    f"    value = []\n    for _ in range(count):\n"
                    f"        item, pos = {self.reader(inner)}(buf, pos)\n"
                    f"        value.append(item)\n    return value, pos\n"
                )
            self._compile(f"def {name}(buf, pos):\n" + head + body)
        return name

    def writer(self, kind: str) -> str:
        """Return the name of a function (append, value) that appends the value's encoded pieces to a list."""
        name = "_write_" + re.sub(r"\W", "_", kind)
        if kind.startswith("lazy<") and name not in self.names:
            (inner,) = _arguments(kind)
            self._compile(
                f"def {name}(out, value):\n"
                f"    if type(value) is Lazy:\n        out(value.raw)\n"
                f"    else:\n        _write_{inner}(out, value)\n"
            )
        if name in self.names or wire_type(kind) == STRUCT:
            return name
        if kind in SIMPLE:
            code = SIMPLE[kind]
            body = {
                "string": "    raw = value.encode('utf-8', 'surrogateescape')\n"
                "    out(_pack8(len(raw)))\n    out(raw)\n",
                "binary": "    out(_pack8(len(value)))\n    out(value)\n",
                "bool": "    out(b'\\1' if value else b'\\0')\n",
            }.get(kind, f"    out(_pack{code}(value))\n")
        elif kind.startswith("map<"):
            key, value = _arguments(kind)
            body = (
                f"    out(_pack_map({wire_type(key)}, {wire_type(value)}, len(value)))\n"
                f"    for key, item in value.items():\n"
                f"        {self.writer(key)}(out, key)\n        {self.writer(value)}(out, item)\n"
            )
        else:
            (inner,) = _arguments(kind)
            code = wire_type(inner)
            body = f"    out(_pack_list({code}, len(value)))\n"
            if code == BOOL:
                body += "    out(bytes(map(bool, value)))\n"
            elif code in SIZES:
                body += f"    out(Struct(f'>{{len(value)}}{FORMATS[code]}').pack(*value))\n"
            elif inner == "binary":
                body += "    for raw in value:\n        out(_pack8(len(raw)))\n        out(raw)\n"
            else:
                body += f"    for item in value:\n        {self.writer(inner)}(out, item)\n"
        self._compile(f"def {name}(out, value):\n" + body)
        return name

    def structure(self, name: str, fields: tuple[Field, ...]) -> None:
        """Generate the class of a structure with its reader and writer."""
        slots = ", ".join(f"{f.name!r}" for f in fields)
        arguments = "".join(f", {f.name}=None" for f in fields)
        text = [
            f"class {name}(Structure):",
            f"    __slots__ = ({slots}{',' if fields else ''})",
            f"    FIELDS = FIELDS_{name}",
            f"    def __init__(self{arguments}):",
        ]
        text += [f"        self.{f.name} = {f.name}" for f in fields] or ["        pass"]
        text += [
            f"def _read_{name}(buf, pos):",
            f"    value = {name}()",
            "    while True:",
            "        if buf[pos] == 0:",
            "            return value, pos + 1",
            "        head = buf[pos:pos + 3]",
            "        pos += 3",
        ]
        keyword = "if"
        for f in fields:
            head = bytes([f.code]) + f.number.to_bytes(2, "big", signed=True)
            text += [f"        {keyword} head == {head!r}:"] + self._read_field(f)
            keyword = "elif"
        text += [
            "        else:" if fields else "        if True:",
            "            pos = skip(buf, pos, head[0], 1)",
        ]
        text += [f"def _write_{name}(out, value):"]
        for f in fields:
            text += [f"    v = value.{f.name}", "    if v is not None:"] + self._write_field(f)
        text += ["    out(b'\\0')"]
        self.names[f"FIELDS_{name}"] = fields
        self._compile("\n".join(text) + "\n")

    def _read_field(self, f: Field) -> list[str]:
        if f.type in SIMPLE and f.code in FORMATS:
            return [
                f"            value.{f.name}, = _unpack{f.code}(buf, pos)",
                f"            pos += {SIZES[f.code]}",
            ]
        if f.code == STRING:
            decode = ".decode('utf-8', 'surrogateescape')" if f.type == "string" else ""
            return [
                "            size, = _int(buf, pos)",
                "            pos += 4",
                "            end = pos + size",
                "            if size < 0:",
                "                raise Malformed(f'a string of {size} bytes')",
                "            if end > len(buf):",
                "                raise Incomplete",
                f"            value.{f.name} = buf[pos:end]{decode}",
                "            pos = end",
            ]
        return [f"            value.{f.name}, pos = {self.reader(f.type)}(buf, pos)"]

    def _write_field(self, f: Field) -> list[str]:
        head = bytes([f.code]) + f.number.to_bytes(2, "big", signed=True)
        if f.type in SIMPLE and f.code in FORMATS:
            return [f"        out(_pack_field{f.code}({f.code}, {f.number}, v))"]
        if f.code == BOOL:
            return [f"        out({head + bytes([1])!r} if v else {head + bytes([0])!r})"]
        if f.code == STRING:
            encode = ["        v = v.encode('utf-8', 'surrogateescape')"] if f.type == "string" else []
            return [*encode, f"        out(_pack_field8({f.code}, {f.number}, len(v)))", "        out(v)"]
        return [f"        out({head!r})", f"        {self.writer(f.type)}(out, v)"]

    def _compile(self, text: str) -> None:
        exec(compile(text, "<thrift tables>", "exec"), self.names)  # noqa: S102 - source generated above


def _arguments(kind: str) -> list[str]:
    """Return the type arguments of a container, split at its outermost comma."""
    inside, depth, parts = kind[kind.index("<") + 1 : -1], 0, [""]
    for character in inside:
        depth += (character == "<") - (character == ">")
        if character == "," and depth == 0:
            parts.append("")
        else:
            parts[-1] += character
    return parts


class Structure:
    """A value of a declared structure; fields that are absent are None."""

    __slots__ = ()
    FIELDS: tuple[Field, ...] = ()

    def __eq__(self, other: object) -> bool:
        return type(self) is type(other) and all(
            getattr(self, f.name) == getattr(other, f.name) for f in self.FIELDS
        )

    __hash__ = None

    def __repr__(self) -> str:
        field_values = ((f.name, getattr(self, f.name)) for f in self.FIELDS)
        return f"{type(self).__name__}({', '.join(f'{n}={v!r}' for n, v in field_values if v is not None)})"


class Lazy:
    """A structure that is decoded when one of its fields is first read, or never if it is only passed on.

    `skip` has found the structure's end and checked its framing. A field of a wrong type raises `Malformed`
    only when the structure is decoded.
    """

    __slots__ = ("codec", "raw", "_value")

    def __init__(self, codec: "Codec", raw: bytes) -> None:
        self.codec, self.raw = codec, raw
        self._value: Structure | None = None

    @property
    def value(self) -> Structure:
        """The decoded structure. Raises `Malformed`."""
        if self._value is None:
            self._value, _ = decode(self.codec, self.raw)
        return self._value

    def __getattr__(self, name: str) -> Any:
        return getattr(self.value, name)

    def __eq__(self, other: object) -> bool:
        return self.value == (other.value if isinstance(other, Lazy) else other)

    __hash__ = None

    def __repr__(self) -> str:
        return repr(self.value)


class Codec(NamedTuple):
    """A structure's class with its reader (buf, pos) -> (value, pos) and writer (append, value)."""

    make: type[Structure]
    read: Callable[[bytes, int], tuple[Any, int]]
    write: Callable[[Callable[[bytes], None], Any], None]


def build(tables: dict[str, str]) -> dict[str, Codec]:
    """Return the codecs of all declared structures; a structure may have fields of any declared type."""
    names: dict[str, Any] = {
        "Structure": Structure,
        "Lazy": Lazy,
        "Codec": Codec,
        "Struct": Struct,
        "Malformed": Malformed,
        "Incomplete": Incomplete,
        "skip": skip,
        "unpack_from": unpack_from,
        "_int": _int,
        "_pack_list": _pack_list,
        "_pack_map": _pack_map,
        "_read_text": _read_text,
        "_read_bytes": _read_bytes,
        "_read_bool": _read_bool,
        "_read_count": _read_count,
        "_read_list": _read_list,
    }
    for code in FORMATS:
        names[f"_unpack{code}"], names[f"_pack{code}"] = _unpack[code], _pack[code]
        names[f"_pack_field{code}"] = _pack_field[code]
    writer = _SourceGenerator(names)
    for name, text in tables.items():
        writer.structure(name, parse_fields(text))
    return {name: Codec(names[name], names[f"_read_{name}"], names[f"_write_{name}"]) for name in tables}


def encode(codec: Codec, value: Structure) -> bytes:
    """Return the bytes of a structure."""
    pieces: list[bytes] = []
    codec.write(pieces.append, value)
    return b"".join(pieces)


def decode(codec: Codec, buf: bytes, pos: int = 0) -> tuple[Any, int]:
    """Read a structure; return it and the position after it. Raises `Incomplete` or `Malformed`."""
    try:
        return codec.read(buf, pos)
    except (IndexError, StructError):
        raise Incomplete from None
