"""Table schemas in Hive's terms (types, columns, partition columns), and parsers for their text form.

Names, struct fields included, are converted to lower case, since Hive ignores case (LanguageManual DDL:
"table names and column names are case insensitive"). A schema is an immutable value that knows nothing of
subscribers.
"""

import re
from collections.abc import Callable
from dataclasses import dataclass, replace
from functools import lru_cache

import pyparsing as pp

from fennelwind.errors import FennelwindError

MAX_TEXT_LENGTH = (
    64 * 1024
)  # characters of a schema's or a subscription's text; enough for about 2000 columns of common types
MAX_NAME_LENGTH = 128  # characters of a name, the limit of Hive's metastore (COLUMN_NAME, TBL_NAME)
MAX_TABLE_NAME_LENGTH = 200  # characters of a table name with its database, as it is part of a lease name
MAX_COLUMNS = 2000  # per table, partition columns included; wider tables do not occur in practice
MAX_TYPE_DEPTH = 8  # nesting levels; Hive's own serialization tests use at most 7
MAX_TYPES = 4000  # types per schema, nested ones included; bounds the cost of a check
MAX_DEFAULT_LENGTH = 256  # characters of a default's literal

# Primitive types (LanguageManual Types). The text of a sized type includes its size.
UNSIZED = (
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
KINDS = frozenset(UNSIZED + SIZED + NESTED)
ALIASES = {"integer": "int", "dec": "decimal", "numeric": "decimal", "real": "double"}
MAX_DECIMAL_PRECISION, MAX_CHAR_LENGTH, MAX_VARCHAR_LENGTH = 38, 255, 65535  # LanguageManual Types
DEFAULT_DECIMAL_SIZE = (10, 0)  # precision and scale of a bare DECIMAL since Hive 0.13

_CONTROLS = re.compile(r"[\x00-\x1f]")
_TABLE_NAME = re.compile(r"\w+(\.\w+)?", re.A)


class SchemaTextError(FennelwindError):
    """The text of a schema, a subscription or a type can't be parsed or exceeds a limit."""

    code = "contracts-text"
    advice = (
        "Write columns as Hive does: `id bigint not null, price decimal(10,2) default 0, "
        "tags array<string>`. The place in the text is told with the error."
    )


class SchemaError(FennelwindError):
    """The schema is not valid for any Hive table."""

    code = "contracts-schema"
    advice = "Give every column a name of its own and at least one column; sizes within Hive's limits."


@dataclass(frozen=True, slots=True)
class Type:
    """A Hive type. `size` is (precision, scale) for a decimal, (length,) for a char or varchar."""

    kind: str
    size: tuple[int, ...] = ()
    names: tuple[str, ...] = ()  # field names of a struct
    parts: tuple["Type", ...] = ()  # nested types; for a map its key and value type

    def __hash__(self) -> int:
        return hash(
            (self.kind, self.size, len(self.parts))
        )  # cheap, since types are cache keys hashed very often

    def __str__(self) -> str:
        if self.kind == "struct":
            pairs = zip(
                self.names, self.parts, strict=False
            )  # lengths differ in an invalid type, printed in its error
            inside = ",".join(f"{quoted(name)}:{part}" for name, part in pairs)
            return f"struct<{inside}>"
        if self.parts:
            return f"{self.kind}<{','.join(map(str, self.parts))}>"
        if self.kind == "timestamplocaltz":
            return "timestamp with local time zone"
        return f"{self.kind}({','.join(map(str, self.size))})" if self.size else self.kind


@dataclass(frozen=True, slots=True)
class Column:
    """A column. `number` is its replicated identity, kept when it is renamed or moved; 0 until assigned."""

    name: str
    type: Type
    nullable: bool = True
    default: str | None = None  # a literal as written in a statement
    number: int = 0
    was: str = ""  # the column's name in the previous version, if the publisher declares a rename


@dataclass(frozen=True, slots=True)
class Schema:
    """The ordered columns and partition columns of a table."""

    columns: tuple[Column, ...]
    partitions: tuple[Column, ...] = ()

    @property
    def row(self) -> tuple[Column, ...]:
        """All columns in the order of `SELECT *`: partition columns come last (LanguageManual DDL)."""
        return self.columns + self.partitions

    def __str__(self) -> str:
        text = ", ".join(map(column_text, self.columns))
        if self.partitions:
            text += f" partitioned by ({', '.join(map(column_text, self.partitions))})"
        return text


def quoted(name: str) -> str:
    """Return a name as written in text, with backticks where they are required."""
    if re.fullmatch(r"[a-z_]\w*", name, re.A) and name not in RESERVED_WORDS:
        return name
    return "`" + name.replace("`", "``") + "`"


def column_text(column: Column) -> str:
    """Return the text of a column within a schema's text."""
    text = f"{quoted(column.name)} {column.type}"
    if not column.nullable:
        text += " not null"
    if column.default is not None:
        text += f" default {column.default}"
    return text + (f" was {quoted(column.was)}" if column.was else "")


@lru_cache(maxsize=65536)
def normalize_name(name: str) -> str:
    """Return a name in its comparable form. Raises `SchemaError` for a name that Hive can't store."""
    name = name.strip().lower()
    if not 0 < len(name) <= MAX_NAME_LENGTH or _CONTROLS.search(name):
        raise SchemaError(
            f"a name of {len(name)} letters, where 1 to {MAX_NAME_LENGTH} can be held",
            name=name[:MAX_NAME_LENGTH],
        )
    return name


def normalize_table_name(name: str, database: str = "") -> str:
    """Return a table's name as replicated: lower case, qualified by its database if known.

    Raises `SchemaError`.
    """
    name = normalize_name(name.replace("`", ""))
    if "." not in name and database:
        name = f"{normalize_name(database)}.{name}"
    if not _TABLE_NAME.fullmatch(name) or len(name) > MAX_TABLE_NAME_LENGTH:
        raise SchemaError(f"{name[:MAX_NAME_LENGTH]!r} names no table", name=name[:MAX_NAME_LENGTH])
    return name


def check_type(checked: Type, depth: int = 0) -> int:
    """Return the number of types in a type, itself included. Raises `SchemaError` for a type not in Hive."""
    if depth >= MAX_TYPE_DEPTH:
        raise SchemaError(f"types over {MAX_TYPE_DEPTH} deep", depth=depth)
    kind, size, parts = checked.kind, checked.size, checked.parts
    invalid = kind not in KINDS or (checked.names and kind != "struct")
    invalid = invalid or (kind in UNSIZED and (size or parts)) or (kind in NESTED and (size or not parts))
    if kind == "decimal":
        invalid = (
            invalid
            or len(size) != 2
            or not (1 <= size[0] <= MAX_DECIMAL_PRECISION and 0 <= size[1] <= size[0])
        )
    elif kind in SIZED:
        max_length = MAX_CHAR_LENGTH if kind == "char" else MAX_VARCHAR_LENGTH
        invalid = invalid or len(size) != 1 or not 1 <= size[0] <= max_length
    elif kind == "array":
        invalid = invalid or len(parts) != 1
    elif kind == "map":  # LanguageManual Types: maps have primitive keys
        invalid = invalid or len(parts) != 2 or parts[0].kind in NESTED
    elif kind == "struct":
        invalid = invalid or len(checked.names) != len(parts) or len(set(checked.names)) != len(parts)
        invalid = invalid or any(normalize_name(name) != name for name in checked.names)
    if invalid:
        raise SchemaError(f"{str(checked)[:80]} is no type of Hive", type=str(checked)[:80])
    return 1 + sum(check_type(part, depth + 1) for part in parts)


def check_schema(schema: Schema) -> Schema:
    """Return the schema if it is valid. Raises `SchemaError`."""
    names = [column.name for column in schema.row]
    if not schema.columns:
        raise SchemaError("a table without columns", columns=0)
    if len(names) > MAX_COLUMNS:
        raise SchemaError(f"{len(names)} columns, where {MAX_COLUMNS} are taken", columns=len(names))
    seen: set[str] = set()
    for name in names:
        if normalize_name(name) != name:
            raise SchemaError(
                f"the name {name[:MAX_NAME_LENGTH]!r} is not in lower case", column=name[:MAX_NAME_LENGTH]
            )
        if name in seen:
            raise SchemaError(f"two columns of the name {name}", column=name)
        seen.add(name)
    for column in schema.row:
        if column.default is not None and len(column.default) > MAX_DEFAULT_LENGTH:
            raise SchemaError(
                f"a default of {len(column.default)} letters, where {MAX_DEFAULT_LENGTH} are taken",
                column=column.name,
            )
    for column in schema.partitions:  # LanguageManual DDL: partition columns are primitive
        if column.type.kind in NESTED:
            raise SchemaError(f"the partition column {column.name} is of a nested type", column=column.name)
    if sum(check_type(column.type) for column in schema.row) > MAX_TYPES:
        raise SchemaError(f"more than {MAX_TYPES} types inside one another", columns=len(names))
    was = [column.was for column in schema.row if column.was]
    if len(set(was)) != len(was):
        raise SchemaError("two columns are said to have been the same one", columns=len(names))
    return schema


RESERVED_WORDS = (
    KINDS | ALIASES.keys() | {"not", "null", "default", "was", "partitioned", "by", "name", "place"}
)
_QUOTED = re.compile(r"'(?:[^'\\]|\\.)*'|`(?:[^`]|``)+`")


def _make_unsized(tokens: pp.ParseResults) -> Type:
    words = tokens[0].lower().split()
    kind = "timestamplocaltz" if len(words) > 2 else ALIASES.get(words[0], words[0])
    return Type(kind)


def _make_sized(tokens: pp.ParseResults) -> Type:
    kind, *sizes = re.findall(r"\w+", tokens[0].lower())
    kind, size = ALIASES.get(kind, kind), tuple(int(each) for each in sizes)
    if kind == "decimal":
        size = {0: DEFAULT_DECIMAL_SIZE, 1: (*size, 0)}.get(len(size), size)
    return Type(kind, size)


def _make_nested(kind: str) -> Callable[[pp.ParseResults], Type]:
    def make(tokens: pp.ParseResults) -> Type:
        return Type(kind, parts=tuple(tokens))

    return make


def _make_struct(tokens: pp.ParseResults) -> Type:
    return Type("struct", names=tuple(tokens[::2]), parts=tuple(tokens[1::2]))


def _build_grammars() -> tuple[pp.ParserElement, pp.ParserElement, pp.ParserElement]:
    """Return the grammars of a type, of a table's columns and of a subscription.

    Primitive types, with or without sizes, are single regular expressions: composed parsers take five times
    as long.
    """

    def keyword(text: str) -> pp.ParserElement:
        return pp.CaselessKeyword(text).suppress()

    def punctuation(text: str) -> pp.ParserElement:
        return pp.Literal(text).suppress()

    name = (
        pp.Regex(r"`(?:[^`]|``)+`|[A-Za-z_]\w*")
        .set_name("a name")
        .set_parse_action(lambda t: (t[0][1:-1].replace("``", "`") if t[0][0] == "`" else t[0]).lower())
    )
    kind = pp.Forward().set_name("a type of Hive")
    unsized = pp.Regex(
        r"(?i)(?:timestamp\s+with\s+local\s+time\s+zone|double\s+precision|"
        rf"{'|'.join(UNSIZED)}|integer|real)\b"
    ).set_parse_action(_make_unsized)
    sized = pp.Regex(
        r"(?i)(?:decimal|dec|numeric|char|varchar)\b(?:\s*\(\s*\d{1,6}(?:\s*,\s*\d{1,6})?\s*\))?"
    ).set_parse_action(_make_sized)
    array = (keyword("array") + punctuation("<") + kind + punctuation(">")).set_parse_action(
        _make_nested("array")
    )
    mapped = keyword("map") + punctuation("<") + kind + punctuation(",") + kind + punctuation(">")
    mapped = mapped.set_parse_action(_make_nested("map"))
    union = keyword("uniontype") + punctuation("<") + pp.DelimitedList(kind) + punctuation(">")
    union = union.set_parse_action(_make_nested("uniontype"))
    struct = (
        keyword("struct")
        + punctuation("<")
        + pp.DelimitedList(name + punctuation(":") + kind)
        + punctuation(">")
    )
    struct = struct.set_parse_action(_make_struct)
    kind <<= unsized | sized | array | mapped | struct | union

    literal = pp.Regex(
        r"'(?:[^'\\]|\\.)*'|-?\d+(?:\.\d+)?(?:[eE][-+]?\d+)?|(?i:null|true|false|current_date"
        r"|current_timestamp)"
    ).set_name("a literal")
    null = (keyword("not") + keyword("null")).set_parse_action(lambda: ("nullable", False))
    default = (keyword("default") + literal).set_parse_action(lambda t: ("default", t[0]))
    was = (keyword("was") + name).set_parse_action(lambda t: ("was", t[0]))
    column = (name + kind + pp.ZeroOrMore(null | default | was)).set_parse_action(
        lambda t: Column(t[0], t[1], **dict(t[2:]))
    )
    columns = pp.DelimitedList(column)
    partition_clause = keyword("partitioned") + keyword("by") + punctuation("(") + columns + punctuation(")")
    schema = (pp.Group(columns) + pp.Group(pp.Optional(partition_clause))).set_parse_action(
        lambda t: Schema(tuple(t[0]), tuple(t[1]))
    )

    place = pp.Optional(pp.Regex(r"\d{1,6}").set_parse_action(lambda t: int(t[0])), default=0)
    fixed = pp.Optional((keyword("not") + keyword("null")).set_parse_action(lambda: False), default=True)
    access = keyword("by") + (pp.CaselessKeyword("name") | pp.CaselessKeyword("place"))
    reads = pp.Group(
        punctuation("*") | pp.DelimitedList(pp.Group(place + name + kind + fixed))
    ) + pp.Optional(access, default="name")
    return kind, schema, reads


TYPE_GRAMMAR, SCHEMA_GRAMMAR, READS_GRAMMAR = _build_grammars()


def parse_text(grammar: pp.ParserElement, text: str) -> pp.ParseResults:
    """Check a text's length and nesting, then parse it. Raises `SchemaTextError`."""
    if len(text) > MAX_TEXT_LENGTH:
        raise SchemaTextError(f"{len(text)} letters, where {MAX_TEXT_LENGTH} are taken", letters=len(text))
    depth = 0
    for letter in _QUOTED.sub("", text):
        depth += (letter == "<") - (letter == ">")
        if depth > MAX_TYPE_DEPTH:
            raise SchemaTextError(f"types over {MAX_TYPE_DEPTH} deep", depth=depth)
    try:
        return grammar.parse_string(text, parse_all=True)
    except pp.ParseBaseException as exc:
        near = text[exc.loc : exc.loc + 20]
        text = f"not to be read from letter {exc.loc + 1} on: {near!r}"
        raise SchemaTextError(text, place=exc.loc + 1) from None


@lru_cache(maxsize=4096)
def parse_type(text: str) -> Type:
    """Parse a type in Hive's notation. Raises `SchemaTextError`, `SchemaError`."""
    parsed = parse_text(TYPE_GRAMMAR, text)[0]
    check_type(parsed)
    return parsed


def parse_schema(text: str) -> Schema:
    """Parse a schema such as `a int not null, b string default 'x' was c partitioned by (day date)`.

    `was c` declares that the column is the former `c`, renamed. Raises `SchemaTextError`, `SchemaError`.
    """
    return check_schema(parse_text(SCHEMA_GRAMMAR, text)[0])


def assign_column_numbers(new: Schema, old: Schema | None, next_number: int) -> tuple[Schema, int]:
    """Give each column the number of the old column that it continues, or the next free number.

    Returns the schema without `was`, and the next free number. Raises `SchemaError` if a `was` names no old
    column.
    """
    known = {column.name: column.number for column in old.row} if old is not None else {}
    renamed = {column.was for column in new.row if column.was}
    if unknown := sorted(renamed - known.keys()):
        raise SchemaError(f"no column {unknown[0]} to have been renamed", column=unknown[0])
    columns = []
    for column in new.row:
        number = known.get(column.was or column.name, 0)
        if not column.was and column.name in renamed:
            number = 0  # the column that had this name has been renamed
        if not number:
            number, next_number = next_number, next_number + 1
        columns.append(replace(column, number=number, was=""))
    split = len(new.columns)
    return Schema(tuple(columns[:split]), tuple(columns[split:])), next_number
