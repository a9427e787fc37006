"""The gate's verdicts against rows that are written under the new schema and read by an old reader.

A play makes a table, a subscriber and changes of the table as ALTER TABLE has them. For each the gate is
asked, and rows of the changed table are encoded as HiveServer2 pages, decoded, read by the client's own
reader, and taken as the subscriber's program would take them: by name or by place, as the types that it
expects. Which column a value is really of is kept beside, from the changes and not from the gate's numbers.
"""

import json
import struct
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, replace
from datetime import date, datetime, timedelta
from decimal import Decimal
from random import Random
from typing import Any

from fennelwind.client.types import NAMES, read_page, type_name
from fennelwind.raft.state_machine import LogPosition
from fennelwind.schema_compatibility import contracts_pb2 as pb
from fennelwind.schema_compatibility.messages import reads_message, schema_message
from fennelwind.schema_compatibility.rules import RULES, RULES_VERSION, Read, Reads
from fennelwind.schema_compatibility.state_machine import SchemaStateMachine
from fennelwind.schema_compatibility.types import Column, Schema, Type, parse_type
from fennelwind.thrift import hiveserver2 as hs2
from fennelwind.thrift.codec import decode, encode

ROWS = 12  # of a page; the first ones hold the extremes of their types
FINE, OTHER, BROKEN = range(3)  # how a value is taken: as expected; inexact or padded; not at all
KNOWN = {6: 20, 7: 20, 8: 22, 9: 22, 10: 22, 11: 23}  # kinds of TTypeId that a version of the protocol has
PLAIN = [
    parse_type(text)
    for text in (
        "boolean",
        "tinyint",
        "smallint",
        "int",
        "bigint",
        "float",
        "double",
        "string",
        "binary",
        "date",
        "timestamp",
        "decimal(5,2)",
        "decimal(9,2)",
        "decimal(12,2)",
        "decimal(12,4)",
        "decimal(19,0)",
        "char(3)",
        "char(6)",
        "varchar(3)",
        "varchar(6)",
        "interval_day_time",
        "timestamp with local time zone",
    )
]
BITS = {"tinyint": 8, "smallint": 16, "int": 32, "bigint": 64}
COLUMNS = {
    "boolean": "boolVal",
    "tinyint": "byteVal",
    "smallint": "i16Val",
    "int": "i32Val",
    "bigint": "i64Val",
    "float": "doubleVal",
    "double": "doubleVal",
    "binary": "binaryVal",
}  # all others: stringVal
STRUCTURES = {
    "boolVal": "TBoolColumn",
    "byteVal": "TByteColumn",
    "i16Val": "TI16Column",
    "i32Val": "TI32Column",
    "i64Val": "TI64Column",
    "doubleVal": "TDoubleColumn",
    "stringVal": "TStringColumn",
    "binaryVal": "TBinaryColumn",
}
TYPE_IDS = {"timestamplocaltz": "TIMESTAMPLOCALTZ", "uniontype": "UNION", "void": "NULL"}


def any_type(random: Random, depth: int = 0) -> Type:
    """Return a type, now and then a nested one."""
    if depth > 2 or random.random() < 0.85:
        return random.choice(PLAIN)
    kind = random.choice(("array", "map", "struct", "uniontype"))
    parts = [any_type(random, depth + 1) for _ in range(1 if kind == "array" else 2)]
    if kind == "map":
        parts[0] = parse_type(random.choice(("int", "bigint", "string", "varchar(3)")))
    names = ("x", "y") if kind == "struct" else ()
    return Type(kind, names=names, parts=tuple(parts))


def value(of: Type, row: int, random: Random) -> Any:
    """Return a value of a type; the first rows get its extremes, so that what does not fit is met."""
    kind = of.kind
    if kind in BITS:
        top = 1 << BITS[kind] - 1
        return (top - 1, -top, 0)[row] if row < 3 else random.randrange(-top, top)
    if kind in ("float", "double"):
        if kind == "double" and not row:
            return 1e300
        made = (3e38, -0.1, 0.5)[row] if row < 3 else random.uniform(-1e6, 1e6)
        return struct.unpack(">f", struct.pack(">f", made))[0] if kind == "float" else made
    if kind == "decimal":
        digits, behind = of.size
        whole = 10**digits - 1 if row < 2 else random.randrange(10**digits)
        return Decimal(whole).scaleb(-behind) * (-1 if row == 1 else 1)
    if kind in ("char", "varchar", "string"):
        most = of.size[0] if of.size else 1000  # longer than any length in PLAIN
        length = most if row == 0 else random.randrange(1, min(most, 8) + 1)
        made = "".join(random.choices("abcdeü", k=length))
        return made.ljust(of.size[0]) if kind == "char" else made
    if kind in ("array", "map", "struct", "uniontype"):
        return _nested(of, row, random)
    moment = datetime(2026, 1, 1) + timedelta(seconds=random.randrange(10**8), microseconds=1)
    return {
        "boolean": row % 2 == 0,
        "binary": random.randbytes(4),
        "date": moment.date(),
        "timestamp": moment,
        "timestamplocaltz": f"{moment.isoformat(' ')} Asia/Tokyo",
        "interval_day_time": f"{row} 01:02:03.000000000",
    }[kind]


def _nested(of: Type, row: int, random: Random) -> Any:
    if of.kind == "array":
        return [value(of.parts[0], row, random)]
    if of.kind == "map":
        return {str(value(of.parts[0], row, random)): value(of.parts[1], row, random)}
    if of.kind == "struct":
        return {name: value(part, row, random) for name, part in zip(of.names, of.parts, strict=True)}
    row, branch = divmod(row, len(of.parts))
    return {str(branch): value(of.parts[branch], row, random)}


def _plain(what: Any) -> Any:
    """Return a value as it stands in the JSON text of a nested one."""
    if isinstance(what, list):
        return [_plain(each) for each in what]
    if isinstance(what, dict):
        return {key: _plain(each) for key, each in what.items()}
    if isinstance(what, Decimal):
        return int(what) if what == what.to_integral_value() else float(what)
    if isinstance(what, datetime | date):
        return what.isoformat(" ") if isinstance(what, datetime) else what.isoformat()
    return what.hex() if isinstance(what, bytes) else what


def page(columns: list[Column], rows: list[list[Any]]) -> tuple[bytes, bytes]:
    """Return a result's schema and its rows as an engine sends them."""
    described, made = [], []
    for at, column in enumerate(columns):
        kind = column.type.kind
        entry = hs2.TPrimitiveTypeEntry(type=NAMES.index(TYPE_IDS.get(kind, kind.upper())))
        described.append(
            hs2.TColumnDesc(
                columnName=column.name,
                position=at + 1,
                typeDesc=hs2.TTypeDesc(types=[hs2.TTypeEntry(primitiveEntry=entry)]),
            )
        )
        field = COLUMNS.get(kind, "stringVal")
        bits, values = 0, []
        for number, row in enumerate(rows):
            bits |= (row[at] is None) << number
            values.append(_sent(field, row[at]))
        nulls = bits.to_bytes((len(rows) + 7) // 8, "little")
        made.append(hs2.TColumn(**{field: hs2.make(STRUCTURES[field], values=values, nulls=nulls)}))
    schema = encode(hs2.CODECS["TTableSchema"], hs2.TTableSchema(columns=described))
    return schema, encode(hs2.CODECS["TRowSet"], hs2.TRowSet(startRowOffset=0, rows=[], columns=made))


def _sent(field: str, what: Any) -> Any:
    empty = {"boolVal": False, "doubleVal": 0.0, "stringVal": b"", "binaryVal": b""}.get(field, 0)
    if what is None:
        return empty
    if isinstance(what, list | dict):
        return json.dumps(_plain(what), ensure_ascii=False).encode()
    if isinstance(what, datetime):
        return what.isoformat(" ").encode()
    return str(what).encode() if field == "stringVal" else what


def takes(expected: Type, got: Any, inside: bool = False) -> int:
    """Tell how a program that expects a type takes what the client gave it; inside: of JSON's kinds."""
    kind = expected.kind
    if kind in ("array", "map", "struct", "uniontype"):
        return _takes_nested(expected, got, inside)
    if kind in BITS:
        fits = type(got) is int and -(1 << BITS[kind] - 1) <= got < 1 << BITS[kind] - 1
        return FINE if fits else BROKEN
    if kind in ("float", "double"):
        if type(got) not in (int, float):
            return BROKEN
        try:
            kept = struct.unpack(f">{kind[0]}", struct.pack(f">{kind[0]}", got))[0]
        except OverflowError:
            return BROKEN
        return FINE if kept == got else OTHER
    if kind == "decimal":
        return _takes_decimal(expected, got, inside)
    if kind in ("string", "varchar", "char"):
        if type(got) is not str or (expected.size and len(got) > expected.size[0]):
            return BROKEN
        padded = got != got.rstrip() if kind != "char" else len(got) < expected.size[0]
        return OTHER if padded else FINE
    return _takes_rest(kind, got, inside)


def _takes_decimal(expected: Type, got: Any, inside: bool) -> int:
    if type(got) is not Decimal and not (type(got) is int or (inside and type(got) is float)):
        return BROKEN
    digits, behind = expected.size
    shifted = Decimal(str(got)).scaleb(behind)
    if shifted != shifted.to_integral_value() or abs(shifted) >= 10**digits:
        return BROKEN
    return FINE if type(got) is Decimal or inside else OTHER


def _takes_rest(kind: str, got: Any, inside: bool) -> int:
    if kind == "boolean":
        return FINE if type(got) is bool else BROKEN
    if kind == "binary":
        return FINE if type(got) is (str if inside else bytes) else BROKEN
    if inside and kind in ("date", "timestamp"):
        try:
            read = date.fromisoformat(got) if kind == "date" else datetime.fromisoformat(got)
        except (TypeError, ValueError):
            return BROKEN
        return FINE if len(got) > 10 or type(read) is date else BROKEN
    wanted = {"date": date, "timestamp": datetime}.get(kind, str)  # the client leaves the others as text
    if type(got) is not wanted:
        return BROKEN
    if kind == "timestamplocaltz":
        return FINE if "/" in got else BROKEN
    return BROKEN if kind == "interval_day_time" and got[1:2] != " " and got[2:3] != " " else FINE


def _takes_nested(expected: Type, got: Any, inside: bool) -> int:
    if not inside:
        try:
            got = json.loads(got)
        except (TypeError, ValueError):
            return BROKEN
    parts = expected.parts
    if expected.kind == "array":
        if type(got) is not list:
            return BROKEN
        return max((takes(parts[0], each, True) for each in got), default=FINE)
    if type(got) is not dict:
        return BROKEN
    if expected.kind == "map":
        key = parts[0]
        read: Callable[[str], Any] = int if key.kind in BITS else str
        try:
            keys = [takes(key, read(each)) for each in got]
        except ValueError:
            return BROKEN
        return max([*keys, *(takes(parts[1], each, True) for each in got.values())], default=FINE)
    if expected.kind == "struct":
        named = dict(zip(expected.names, parts, strict=True))
        return max(takes(part, got[name], True) if name in got else BROKEN for name, part in named.items())
    branch = next(iter(got), "")
    if len(got) != 1 or not branch.isdigit() or int(branch) >= len(parts):
        return BROKEN
    return takes(parts[int(branch)], got[branch], True)


@dataclass(slots=True)
class Reader:
    """A subscriber's program: what it expects, and of which true columns."""

    reads: Reads
    version: int
    origins: tuple[int, ...]  # of its columns

    def read(self, schema: Schema, origins: list[int], random: Random) -> tuple[int, str]:
        """Read rows of a table; return how it went, and why not. `origins`: of the table's true columns."""
        row = list(schema.row)
        by_name = not self.reads.star and not self.reads.columns[0].place
        if by_name:  # SELECT with its names
            there = {column.name: (column, origin) for column, origin in zip(row, origins, strict=True)}
            if any(read.name not in there for read in self.reads.columns):
                return BROKEN, "no such column"
            row, origins = map(list, zip(*(there[read.name] for read in self.reads.columns), strict=True))
        values = [
            [
                None if column.nullable and number == 3 else value(column.type, number, random)
                for column in row
            ]
            for number in range(ROWS)
        ]
        raw_schema, raw_page = page(row, values)
        described = decode(hs2.CODECS["TTableSchema"], raw_schema)[0].columns
        if any(each.typeDesc.types[0].primitiveEntry.type >= KNOWN[self.version] for each in described):
            return BROKEN, "a type that the version does not have"
        rows = read_page(decode(hs2.CODECS["TRowSet"], raw_page)[0], [type_name(each) for each in described])
        names = [each.columnName.lower() for each in described]
        return self._take(rows, names, origins)

    def _take(self, rows: list[tuple[Any, ...]], names: list[str], origins: list[int]) -> tuple[int, str]:
        if self.reads.star and self.reads.by_place and len(names) != len(self.reads.columns):
            return BROKEN, "a row of another width"
        level = FINE
        for read, origin in zip(self.reads.columns, self.origins, strict=True):
            at = read.place - 1
            if not read.place:
                at = names.index(read.name) if read.name in names else len(names)
            if at >= len(names):
                return BROKEN, "no such column"
            if origins[at] != origin:
                return BROKEN, "another column"
            for row in rows:
                how = FINE if read.nullable else BROKEN  # a null
                if row[at] is not None:
                    how = takes(read.type, row[at])
                if how == BROKEN:
                    return BROKEN, f"{read.type}: {str(row[at])[:30]}"
                level = max(level, how)
        return level, ""


class Table:
    """A table that is changed as ALTER TABLE does, with the truth of which column is which."""

    def __init__(self, random: Random) -> None:
        self.random, self.following = random, 0
        count = random.randrange(1, 5)
        self.columns = [self._column(f"c{n}") for n in range(count)]
        self.partitions = (
            [self._column("p", parse_type(random.choice(("date", "int", "string"))))]
            if random.random() < 0.3
            else []
        )

    def _column(self, name: str, kind: Type | None = None) -> tuple[Column, int]:
        self.following += 1
        kind = kind or any_type(self.random)
        return Column(name, kind, self.random.random() < 0.7), self.following

    def schema(self) -> Schema:
        """Return its schema."""
        return Schema(tuple(c for c, _ in self.columns), tuple(c for c, _ in self.partitions))

    def origins(self) -> list[int]:
        """Return which columns they truly are, in order."""
        return [origin for _, origin in self.columns + self.partitions]

    def changed(self) -> "Table":
        """Return the table after one change, drawn by chance; a renamed column says what it was."""
        random, other = self.random, object.__new__(Table)
        other.random, other.following = random, self.following
        other.columns = [(replace(c, was=""), o) for c, o in self.columns]
        other.partitions, columns = list(self.partitions), other.columns
        at = random.randrange(len(columns))
        column, origin = columns[at]
        what = random.choice(
            ("add", "middle", "drop", "rename", "move", "type", "type", "type", "null", "swap")
        )
        free = sorted({"c0", "c1", "c2", "c3", "c4", "d"} - {c.name for c, _ in columns})
        if what in ("add", "middle") and free:
            place = len(columns) if what == "add" else random.randrange(len(columns))
            columns.insert(place, other._column(random.choice(free)))
        elif what == "drop" and len(columns) > 1:
            del columns[at]
        elif what == "rename" and free:
            columns[at] = (replace(column, name=random.choice(free), was=column.name), origin)
        elif what == "move":
            columns.insert(random.randrange(len(columns)), columns.pop(at))
        elif what == "null":
            columns[at] = (replace(column, nullable=not column.nullable), origin)
        elif what == "swap" and len(columns) > 1:  # two columns change their names
            to = (at + 1) % len(columns)
            second, its = columns[to]
            columns[at] = (replace(column, name=second.name, was=column.name), origin)
            columns[to] = (replace(second, name=column.name, was=second.name), its)
        else:
            columns[at] = (replace(column, type=self._near(column.type)), origin)
        return other

    def _near(self, kind: Type) -> Type:
        """Return a type to change to; mostly one of the same family."""
        random = self.random
        if kind.parts and random.random() < 0.8:
            at = random.randrange(len(kind.parts))
            if kind.kind == "map" and not at:
                part = parse_type(random.choice(("int", "bigint", "string", "varchar(3)")))
            else:
                part = self._near(kind.parts[at])
            parts = (*kind.parts[:at], part, *kind.parts[at + 1 :])
            if kind.kind == "struct" and random.random() < 0.4 and len(parts) < 3:
                names = ("x", "y", "z")[: len(parts) + 1]
                return Type("struct", names=names, parts=(*parts, random.choice(PLAIN)))
            if kind.kind in ("struct", "uniontype") and random.random() < 0.3:
                return replace(kind, names=kind.names[:1], parts=parts[:1])
            return replace(kind, parts=parts)
        families = (
            ("tinyint", "smallint", "int", "bigint"),
            ("float", "double"),
            ("decimal",),
            ("char", "varchar", "string"),
            ("date", "timestamp", "timestamplocaltz"),
        )
        family = next((each for each in families if kind.kind in each), ())
        near = [each for each in PLAIN if each.kind in family and each != kind]
        return random.choice(near) if near and random.random() < 0.7 else any_type(random)


class Gate:
    """The machine on a record of its own."""

    def __init__(self) -> None:
        self.machine, self.index = SchemaStateMachine(), 0

    def fact(self, kind: str, key: str) -> int:
        """Nothing moves, nobody holds anything."""
        return 0

    def do(self, **what: Any) -> pb.ContractAnswer:
        """Have a command carried out."""
        self.index += 1
        command = pb.ContractCommand(rules=RULES_VERSION, **what).SerializeToString()
        return pb.ContractAnswer.FromString(self.machine.apply(LogPosition(self.index, 0), command, self))

    def propose(self, schema: Schema) -> pb.ContractAnswer:
        """Propose a schema for the one table."""
        known = self.machine.tables.get("t")
        return self.do(
            propose=pb.Propose(
                table="t",
                publisher="load",
                version=known.version if known else 0,
                schema=schema_message(schema),
            )
        )


def reader(table: Table, random: Random) -> Reader:
    """Return a subscriber that can read a table as it stands."""
    schema, origins = table.schema(), table.origins()
    row, version = schema.row, random.randrange(6, 12)
    star, by_place = random.random() < 0.3, random.random() < 0.5
    chosen = list(range(len(row)))
    if not star:
        chosen = sorted(random.sample(chosen, random.randrange(1, len(row) + 1)))
    columns = tuple(Read(row[n].name, row[n].type, row[n].nullable, n + 1 if by_place else 0) for n in chosen)
    return Reader(Reads("t", columns, star, by_place), version, tuple(origins[n] for n in chosen))


def play(seed: int, changes: int = 4) -> list[tuple[bool, int, tuple[str, ...], str]]:
    """Return for each change of a play: whether it was rejected, how rows were read, by which rules, why."""
    random = Random(seed)
    table, gate = Table(random), Gate()
    gate.propose(table.schema())
    who = reader(table, random)
    said = who.reads if not who.reads.star else replace(who.reads, columns=())
    told = gate.do(
        register=pb.Register(name="reader", version=who.version, term_ms=10**9, reads=[reads_message(said)])
    )
    if told.refusal:  # it can't carry a type of the table as it is
        return []
    seen = []
    for _ in range(changes):
        other = table.changed()
        answer = gate.propose(other.schema())
        assert answer.refusal in (pb.NONE, pb.BROKEN), answer
        how, why = who.read(other.schema(), other.origins(), random)
        rules = {found.rule for each in answer.readers for found in each.found}
        grave = tuple(sorted(rule for rule in rules if RULES[rule].level == 2))
        seen.append((answer.refusal == pb.BROKEN, how, grave, why))
        if not answer.refusal:
            table = other
    return seen


def measure(plays: int, first: int = 0) -> tuple[Counter, Counter, list[str]]:
    """Return how often verdicts and rows went together, cautious rejections by rule, and breaks let pass."""
    together: Counter = Counter()
    cautious: Counter = Counter()
    missed = []
    for seed in range(first, first + plays):
        for rejected, how, rules, why in play(seed):
            together[rejected, how] += 1
            if rejected and how != BROKEN:
                cautious[" ".join(rules)] += 1
            elif how == BROKEN and not rejected:
                missed.append(f"seed {seed}: {why}")
    return together, cautious, missed
