"""Schemas of tables as Hive names them: types, columns, partition columns, and their reading from text.

Names and the fields of structures are folded to lower case, as Hive treats them (LanguageManual DDL: "table
names and column names are case insensitive"). A schema is a value; nothing here knows who reads it.
"""

import re
from collections.abc import Callable
from dataclasses import dataclass, replace
from functools import lru_cache

import pyparsing as pp

from fennelwind.errors import FennelwindError

TEXT_MOST = 64 * 1024  # letters of a schema's or a subscription's text: some 2000 columns of usual types
NAME_MOST = 128  # letters of a name, as Hive's metastore holds them (COLUMN_NAME, TBL_NAME)
TABLE_MOST = 200  # letters of a table's name with its database's: it is a part of a lease's name
COLUMNS_MOST = 2000  # of a table, partition columns included; wider ones are not seen in practice
DEPTH_MOST = 8  # types inside one another; the deepest that Hive's own serialization tests use is 7
NODES_MOST = 4000  # types of a schema, those inside others counted: what a check may cost
DEFAULT_MOST = 256  # letters of a default's literal

# Primitive types (LanguageManual Types). Those with a size are spelled with it.
PLAIN = (
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
    "timestamplocaltz",
    "interval_year_month",
    "interval_day_time",
    "void",
)
SIZED = ("decimal", "char", "varchar")
NESTED = ("array", "map", "struct", "uniontype")
KINDS = frozenset(PLAIN + SIZED + NESTED)
ALIASES = {"integer": "int", "dec": "decimal", "numeric": "decimal", "real": "double"}
DECIMAL_MOST, CHAR_MOST, VARCHAR_MOST = 38, 255, 65535  # LanguageManual Types: the largest of each
DECIMAL_PLAIN = (10, 0)  # what DECIMAL without sizes means since Hive 0.13

_CONTROLS = re.compile(r"[\x00-\x1f]")
_PLAIN_NAME = re.compile(r"\w+(\.\w+)?", re.A)


class SchemaTextError(FennelwindError):
    """A schema, a subscription or a type whose text can't be read, or is over a bound."""

    code = "contracts-text"
    advice = (
        "Write columns as Hive does: `id bigint not null, price decimal(10,2) default 0, "
        "tags array<string>`. The place in the text is told with the error."
    )


class SchemaError(FennelwindError):
    """A schema that no table can have."""

    code = "contracts-schema"
    advice = "Give every column a name of its own and at least one column; sizes within Hive's limits."


@dataclass(frozen=True, slots=True)
class Type:
    """A type of Hive. `size`: (precision, scale) of a decimal, (length,) of a char or varchar."""

    kind: str
    size: tuple[int, ...] = ()
    names: tuple[str, ...] = ()  # of a struct's fields
    parts: tuple["Type", ...] = ()  # what is inside: of a map its key and value

    def __hash__(self) -> int:
        return hash((self.kind, self.size, len(self.parts)))  # types are looked up by the hundred thousand

    def __str__(self) -> str:
        if self.kind == "struct":
            pairs = zip(self.names, self.parts, strict=False)  # it may be none of Hive's, and be told so
            inside = ",".join(f"{quoted(name)}:{part}" for name, part in pairs)
            return f"struct<{inside}>"
        if self.parts:
            return f"{self.kind}<{','.join(map(str, self.parts))}>"
        if self.kind == "timestamplocaltz":
            return "timestamp with local time zone"
        return f"{self.kind}({','.join(map(str, self.size))})" if self.size else self.kind


@dataclass(frozen=True, slots=True)
class Column:
    """A column. `number` is its identity on the record: it outlives a new name or place; 0: none yet."""

    name: str
    type: Type
    nullable: bool = True
    default: str | None = None  # a literal as it stands in a statement
    number: int = 0
    was: str = ""  # its name in the version before, where the publisher says that it is renamed


@dataclass(frozen=True, slots=True)
class Schema:
    """A table's columns and its partition columns, each in order."""

    columns: tuple[Column, ...]
    partitions: tuple[Column, ...] = ()

    @property
    def row(self) -> tuple[Column, ...]:
        """All columns as `SELECT *` gives them: partition columns come last (LanguageManual DDL)."""
        return self.columns + self.partitions

    def __str__(self) -> str:
        text = ", ".join(map(column_text, self.columns))
        if self.partitions:
            text += f" partitioned by ({', '.join(map(column_text, self.partitions))})"
        return text


def quoted(name: str) -> str:
    """Return a name as it stands in text, in backticks where it has to."""
    if re.fullmatch(r"[a-z_]\w*", name, re.A) and name not in WORDS:
        return name
    return "`" + name.replace("`", "``") + "`"


def column_text(column: Column) -> str:
    """Return a column as it stands in a schema's text."""
    text = f"{quoted(column.name)} {column.type}"
    if not column.nullable:
        text += " not null"
    if column.default is not None:
        text += f" default {column.default}"
    return text + (f" was {quoted(column.was)}" if column.was else "")


@lru_cache(maxsize=65536)
def fold(name: str) -> str:
    """Return a name as it is compared. Raises `SchemaError` for one that Hive could not hold."""
    name = name.strip().lower()
    if not 0 < len(name) <= NAME_MOST or _CONTROLS.search(name):
        raise SchemaError(
            f"a name of {len(name)} letters, where 1 to {NAME_MOST} can be held", name=name[:NAME_MOST]
        )
    return name


def table_name(name: str, database: str = "") -> str:
    """Return a table's name as the record knows it: lower case, with its database where one is known.

    Raises `SchemaError`.
    """
    name = fold(name.replace("`", ""))
    if "." not in name and database:
        name = f"{fold(database)}.{name}"
    if not _PLAIN_NAME.fullmatch(name) or len(name) > TABLE_MOST:
        raise SchemaError(f"{name[:NAME_MOST]!r} names no table", name=name[:NAME_MOST])
    return name


def check_type(given: Type, depth: int = 0) -> int:
    """Return how many types a type is made of. Raises `SchemaError` for one that Hive does not have."""
    if depth >= DEPTH_MOST:
        raise SchemaError(f"types over {DEPTH_MOST} deep", depth=depth)
    kind, size, parts = given.kind, given.size, given.parts
    wrong = kind not in KINDS or (given.names and kind != "struct")
    wrong = wrong or (kind in PLAIN and (size or parts)) or (kind in NESTED and (size or not parts))
    if kind == "decimal":
        wrong = wrong or len(size) != 2 or not (1 <= size[0] <= DECIMAL_MOST and 0 <= size[1] <= size[0])
    elif kind in SIZED:
        most = CHAR_MOST if kind == "char" else VARCHAR_MOST
        wrong = wrong or len(size) != 1 or not 1 <= size[0] <= most
    elif kind == "array":
        wrong = wrong or len(parts) != 1
    elif kind == "map":  # LanguageManual Types: maps have primitive keys
        wrong = wrong or len(parts) != 2 or parts[0].kind in NESTED
    elif kind == "struct":
        wrong = wrong or len(given.names) != len(parts) or len(set(given.names)) != len(parts)
        wrong = wrong or any(fold(name) != name for name in given.names)
    if wrong:
        raise SchemaError(f"{str(given)[:80]} is no type of Hive", type=str(given)[:80])
    return 1 + sum(check_type(part, depth + 1) for part in parts)


def check(schema: Schema) -> Schema:
    """Return a schema that a table can have. Raises `SchemaError`."""
    names = [column.name for column in schema.row]
    if not schema.columns:
        raise SchemaError("a table without columns", columns=0)
    if len(names) > COLUMNS_MOST:
        raise SchemaError(f"{len(names)} columns, where {COLUMNS_MOST} are taken", columns=len(names))
    seen: set[str] = set()
    for name in names:
        if fold(name) != name:
            raise SchemaError(f"the name {name[:NAME_MOST]!r} is not in lower case", column=name[:NAME_MOST])
        if name in seen:
            raise SchemaError(f"two columns of the name {name}", column=name)
        seen.add(name)
    for column in schema.row:
        if column.default is not None and len(column.default) > DEFAULT_MOST:
            raise SchemaError(
                f"a default of {len(column.default)} letters, where {DEFAULT_MOST} are taken",
                column=column.name,
            )
    for column in schema.partitions:  # LanguageManual DDL: partition columns are primitive
        if column.type.kind in NESTED:
            raise SchemaError(f"the partition column {column.name} is of a nested type", column=column.name)
    if sum(check_type(column.type) for column in schema.row) > NODES_MOST:
        raise SchemaError(f"more than {NODES_MOST} types inside one another", columns=len(names))
    was = [column.was for column in schema.row if column.was]
    if len(set(was)) != len(was):
        raise SchemaError("two columns are said to have been the same one", columns=len(names))
    return schema


WORDS = KINDS | ALIASES.keys() | {"not", "null", "default", "was", "partitioned", "by", "name", "place"}
_QUOTED = re.compile(r"'(?:[^'\\]|\\.)*'|`(?:[^`]|``)+`")


def _simple(tokens: pp.ParseResults) -> Type:
    words = tokens[0].lower().split()
    kind = "timestamplocaltz" if len(words) > 2 else ALIASES.get(words[0], words[0])
    return Type(kind)


def _sized(tokens: pp.ParseResults) -> Type:
    kind, *said = re.findall(r"\w+", tokens[0].lower())
    kind, size = ALIASES.get(kind, kind), tuple(int(each) for each in said)
    if kind == "decimal":
        size = {0: DECIMAL_PLAIN, 1: (*size, 0)}.get(len(size), size)
    return Type(kind, size)


def _nested(called: str) -> Callable[[pp.ParseResults], Type]:
    def make(tokens: pp.ParseResults) -> Type:
        return Type(called, parts=tuple(tokens))

    return make


def _struct(tokens: pp.ParseResults) -> Type:
    return Type("struct", names=tuple(tokens[::2]), parts=tuple(tokens[1::2]))


def _build() -> tuple[pp.ParserElement, pp.ParserElement, pp.ParserElement]:
    """Return the grammars of a type, of a table's columns and of a subscription.

    What is of one word or of a word with sizes is one expression: a parser by parts takes five times as long.
    """

    def word(text: str) -> pp.ParserElement:
        return pp.CaselessKeyword(text).suppress()

    def mark(text: str) -> pp.ParserElement:
        return pp.Literal(text).suppress()

    name = (
        pp.Regex(r"`(?:[^`]|``)+`|[A-Za-z_]\w*")
        .set_name("a name")
        .set_parse_action(lambda t: (t[0][1:-1].replace("``", "`") if t[0][0] == "`" else t[0]).lower())
    )
    kind = pp.Forward().set_name("a type of Hive")
    simple = pp.Regex(
        r"(?i)(?:timestamp\s+with\s+local\s+time\s+zone|double\s+precision|"
        rf"{'|'.join(PLAIN)}|integer|real)\b"
    ).set_parse_action(_simple)
    sized = pp.Regex(
        r"(?i)(?:decimal|dec|numeric|char|varchar)\b(?:\s*\(\s*\d{1,6}(?:\s*,\s*\d{1,6})?\s*\))?"
    ).set_parse_action(_sized)
    array = (word("array") + mark("<") + kind + mark(">")).set_parse_action(_nested("array"))
    mapped = word("map") + mark("<") + kind + mark(",") + kind + mark(">")
    mapped = mapped.set_parse_action(_nested("map"))
    union = word("uniontype") + mark("<") + pp.DelimitedList(kind) + mark(">")
    union = union.set_parse_action(_nested("uniontype"))
    struct = word("struct") + mark("<") + pp.DelimitedList(name + mark(":") + kind) + mark(">")
    struct = struct.set_parse_action(_struct)
    kind <<= simple | sized | array | mapped | struct | union

    literal = pp.Regex(
        r"'(?:[^'\\]|\\.)*'|-?\d+(?:\.\d+)?(?:[eE][-+]?\d+)?|(?i:null|true|false|current_date"
        r"|current_timestamp)"
    ).set_name("a literal")
    null = (word("not") + word("null")).set_parse_action(lambda: ("nullable", False))
    default = (word("default") + literal).set_parse_action(lambda t: ("default", t[0]))
    was = (word("was") + name).set_parse_action(lambda t: ("was", t[0]))
    column = (name + kind + pp.ZeroOrMore(null | default | was)).set_parse_action(
        lambda t: Column(t[0], t[1], **dict(t[2:]))
    )
    columns = pp.DelimitedList(column)
    parted = word("partitioned") + word("by") + mark("(") + columns + mark(")")
    schema = (pp.Group(columns) + pp.Group(pp.Optional(parted))).set_parse_action(
        lambda t: Schema(tuple(t[0]), tuple(t[1]))
    )

    place = pp.Optional(pp.Regex(r"\d{1,6}").set_parse_action(lambda t: int(t[0])), default=0)
    fixed = pp.Optional((word("not") + word("null")).set_parse_action(lambda: False), default=True)
    how = word("by") + (pp.CaselessKeyword("name") | pp.CaselessKeyword("place"))
    reads = pp.Group(mark("*") | pp.DelimitedList(pp.Group(place + name + kind + fixed))) + pp.Optional(
        how, default="name"
    )
    return kind, schema, reads


TYPE_GRAMMAR, SCHEMA_GRAMMAR, READS_GRAMMAR = _build()


def parsed(grammar: pp.ParserElement, text: str) -> pp.ParseResults:
    """Return what a grammar makes of a text, bounded before it is looked at. Raises `SchemaTextError`."""
    if len(text) > TEXT_MOST:
        raise SchemaTextError(f"{len(text)} letters, where {TEXT_MOST} are taken", letters=len(text))
    depth = 0
    for letter in _QUOTED.sub("", text):
        depth += (letter == "<") - (letter == ">")
        if depth > DEPTH_MOST:
            raise SchemaTextError(f"types over {DEPTH_MOST} deep", depth=depth)
    try:
        return grammar.parse_string(text, parse_all=True)
    except pp.ParseBaseException as exc:
        near = text[exc.loc : exc.loc + 20]
        text = f"not to be read from letter {exc.loc + 1} on: {near!r}"
        raise SchemaTextError(text, place=exc.loc + 1) from None


@lru_cache(maxsize=4096)
def parse_type(text: str) -> Type:
    """Read a type as Hive writes it. Raises `SchemaTextError` or `SchemaError`."""
    made = parsed(TYPE_GRAMMAR, text)[0]
    check_type(made)
    return made


def parse_schema(text: str) -> Schema:
    """Read `a int not null, b string default 'x' was c partitioned by (day date)`.

    `was c` says that the column is the former `c` under a new name. Raises `SchemaTextError`, `SchemaError`.
    """
    return check(parsed(SCHEMA_GRAMMAR, text)[0])


def numbered(new: Schema, old: Schema | None, following: int) -> tuple[Schema, int]:
    """Give each column its identity: that of the column it was, or the next free number.

    Returns the schema, without `was`, and the next free number. Raises `SchemaError` where `was` names none.
    """
    known = {column.name: column.number for column in old.row} if old is not None else {}
    taken = {column.was for column in new.row if column.was}
    if strange := sorted(taken - known.keys()):
        raise SchemaError(f"no column {strange[0]} to have been renamed", column=strange[0])
    made = []
    for column in new.row:
        number = known.get(column.was or column.name, 0)
        if not column.was and column.name in taken:
            number = 0  # its name's former owner bears another name now
        if not number:
            number, following = following, following + 1
        made.append(replace(column, number=number, was=""))
    cut = len(new.columns)
    return Schema(tuple(made[:cut]), tuple(made[cut:])), following
