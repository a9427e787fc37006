"""Compatibility rules between writer and reader schemas, each with its public source.

A subscriber's reads are checked against the whole proposed schema, not against the difference to the previous
version: the subscriber expects what it registered. A finding is accepted, a warning (the subscriber keeps
working, but the publisher should know) or broken.

`RULES_VERSION` identifies this set of rules. Verdicts are replicated results, so changing a rule requires a
new version, which members may use only once all of them know it.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import IntEnum
from functools import lru_cache
from typing import NamedTuple

from fennelwind.schema_compatibility.types import Column, Schema, Type

RULES_VERSION = 1  # version of this set of rules
MIN_PROTOCOL_VERSION, MAX_PROTOCOL_VERSION = 1, 11  # HIVE_CLI_SERVICE_PROTOCOL_V1 and V11


class Level(IntEnum):
    """Severity of a finding for the subscriber or change that it concerns."""

    ACCEPTED = 0
    WARNING = 1
    BROKEN = 2


class Rule(NamedTuple):
    """A compatibility rule; `remedy` says what the publisher can do instead."""

    code: str
    level: Level
    description: str
    source: str
    remedy: str


TYPES = "Hive, LanguageManual Types"
DDL = "Hive, LanguageManual DDL"
CONVERSIONS = "Hive, LanguageManual Types: Allowed Implicit Conversions"
AVRO = "Avro specification: Schema Resolution"
PROTOCOL = "Hive, TCLIService.thrift: TProtocolVersion"
COLUMNS = "Hive, TCLIService.thrift: TColumn, TTypeId"
JDBC = "JDBC specification: ResultSet getter methods"
PEP249 = "PEP 249: fetchone returns a row as a sequence in order of its columns"

_USE_SECOND_TABLE = (
    "Make a second table (or a view) of the new form beside this one, and let readers change over."
)
_WAIT_FOR_SUBSCRIBER = "Wait until the subscriber has gone or has registered what it expects anew."
_ADD_WIDER_COLUMN = (
    "Add a column of the new type at the end, and fill both until the subscriber reads the new one."
)
_KEEP_COLUMN = "Keep the column, and let it be null, until the subscriber no longer reads it."
_ADD_AT_END = (
    "Add the column at the end, with a default; of a table with partition columns, in a view over it."
)

_RULES = (
    # The table as a whole.
    Rule("table-dropped", Level.BROKEN, "the table goes", DDL + ": Drop Table", _WAIT_FOR_SUBSCRIBER),
    Rule(
        "table-anew",
        Level.WARNING,
        "the table is dropped and made anew: it is empty, and away in between",
        DDL + ": Drop Table, Create Table",
        _USE_SECOND_TABLE,
    ),
    Rule(
        "hive-refuses",
        Level.WARNING,
        "no implicit conversion leads from the old type to the new one: Hive refuses it unless "
        "hive.metastore.disallow.incompatible.col.type.changes is off, and what was stored may "
        "read as null",
        CONVERSIONS + "; " + DDL + ": Change Column",
        _ADD_WIDER_COLUMN,
    ),
    Rule(
        "partitions-changed",
        Level.WARNING,
        "partition columns come, go or change places: no ALTER TABLE does that; the table has to "
        "be made anew",
        DDL + ": Alter Partition",
        _USE_SECOND_TABLE,
    ),
    Rule(
        "added-inside",
        Level.WARNING,
        "a column is added ahead of others: ALTER TABLE ADD COLUMNS adds at the end, and files "
        "read by place give older rows' values to the wrong columns",
        DDL + ": Add/Replace Columns",
        _ADD_AT_END,
    ),
    Rule(
        "fixed-without-default",
        Level.WARNING,
        "a column that takes no nulls is added without a default: the rows that are there have no "
        "value for it",
        AVRO + " (a reader's field without default)",
        _ADD_AT_END,
    ),
    # Columns.
    Rule(
        "column-missing",
        Level.BROKEN,
        "no column of that name is there",
        DDL + ": Add/Replace Columns",
        _KEEP_COLUMN,
    ),
    Rule(
        "column-renamed",
        Level.BROKEN,
        "the column bears another name",
        DDL + ": Change Column",
        "Keep the old name, or give a view that has both; let the subscriber read the new one first.",
    ),
    Rule(
        "column-other",
        Level.BROKEN,
        "another column bears this name now",
        DDL + ": Change Column",
        "Give the other column a name that nobody reads.",
    ),
    Rule(
        "place-missing",
        Level.BROKEN,
        "a row has fewer columns than the subscriber reads by place",
        PEP249,
        _KEEP_COLUMN,
    ),
    Rule(
        "place-other",
        Level.BROKEN,
        "another column stands at the place that the subscriber reads",
        DDL + ": Change Column (FIRST, AFTER); partition columns come last",
        _ADD_AT_END,
    ),
    Rule(
        "place-renamed",
        Level.ACCEPTED,
        "the column at the place bears another name, which nobody looks at",
        PEP249,
        "",
    ),
    Rule(
        "row-wider",
        Level.BROKEN,
        "a row has more columns than the subscriber takes, which takes whole rows",
        PEP249,
        "Let the subscriber register the columns that it reads, by name or by place, in place of "
        "`* by place`.",
    ),
    Rule(
        "nulls-come",
        Level.BROKEN,
        "nulls may come, where the subscriber takes none",
        AVRO + " (a union with null against the bare type)",
        "Keep NOT NULL, or give a default in place of null.",
    ),
    Rule(
        "partition-moved",
        Level.WARNING,
        "the column becomes a partition column or ceases to be one: what filters by it reads other"
        " amounts of data",
        DDL + ": Partitioned Tables",
        _USE_SECOND_TABLE,
    ),
    # Types: the reader's (expected) type against the writer's (given) type.
    Rule("same", Level.ACCEPTED, "the type is the same", COLUMNS, ""),
    Rule("fits", Level.ACCEPTED, "every value of the new type is one of the expected type", AVRO, ""),
    Rule(
        "too-wide",
        Level.BROKEN,
        "values may be out of the range that the subscriber expects",
        AVRO + "; " + JDBC,
        _ADD_WIDER_COLUMN,
    ),
    Rule(
        "digits-lost",
        Level.WARNING,
        "the expected type holds every such value, but not all of its digits",
        AVRO + " (long to float, long to double); " + TYPES,
        _ADD_WIDER_COLUMN,
    ),
    Rule(
        "as-whole-number",
        Level.WARNING,
        "a whole number comes where a decimal is expected, in another kind of column",
        CONVERSIONS + "; " + COLUMNS,
        _ADD_WIDER_COLUMN,
    ),
    Rule(
        "decimal-too-wide",
        Level.BROKEN,
        "decimals may have more digits ahead of the point or behind it than are expected",
        TYPES + ": Decimals",
        _ADD_WIDER_COLUMN,
    ),
    Rule(
        "longer",
        Level.BROKEN,
        "texts may be longer than the subscriber expects",
        TYPES + ": Varchar, Char",
        _ADD_WIDER_COLUMN,
    ),
    Rule(
        "padding",
        Level.WARNING,
        "texts come padded with blanks, or no longer so padded",
        TYPES + ": Char",
        _ADD_WIDER_COLUMN,
    ),
    Rule(
        "other-kind",
        Level.BROKEN,
        "values of another kind come: another sort of column on the wire, another type of object "
        "at the client",
        COLUMNS + "; " + AVRO,
        _ADD_WIDER_COLUMN,
    ),
    Rule(
        "date-and-time",
        Level.BROKEN,
        "a date comes for a point in time, or the reverse; neither converts",
        CONVERSIONS,
        _ADD_WIDER_COLUMN,
    ),
    Rule(
        "time-zone",
        Level.BROKEN,
        "points in time with a zone come for those without, or the reverse",
        TYPES + ": Timestamps",
        _ADD_WIDER_COLUMN,
    ),
    Rule("only-nulls", Level.WARNING, "nothing but nulls comes", CONVERSIONS + " (void)", _ADD_WIDER_COLUMN),
    Rule(
        "field-missing",
        Level.BROKEN,
        "a field of a structure that the subscriber expects is not there",
        AVRO + " (records: a reader's field without default)",
        _KEEP_COLUMN,
    ),
    Rule(
        "field-added",
        Level.ACCEPTED,
        "a structure has a further field, which readers pass over",
        AVRO + " (records: a writer's field that the reader has not is ignored)",
        "",
    ),
    Rule(
        "branch-added",
        Level.BROKEN,
        "a union has a branch that the subscriber does not expect",
        AVRO + " (unions)",
        _ADD_WIDER_COLUMN,
    ),
    Rule(
        "key-other",
        Level.BROKEN,
        "a map's keys are of another type, so that look-ups miss them",
        AVRO + " (maps); " + TYPES + ": Complex Types",
        _ADD_WIDER_COLUMN,
    ),
    # Limits of protocol versions.
    Rule(
        "protocol-varchar",
        Level.BROKEN,
        "VARCHAR can't be carried before V3",
        PROTOCOL + " V3",
        _USE_SECOND_TABLE,
    ),
    Rule(
        "protocol-char", Level.BROKEN, "CHAR can't be carried before V4", PROTOCOL + " V4", _USE_SECOND_TABLE
    ),
    Rule(
        "protocol-interval",
        Level.BROKEN,
        "intervals can't be carried before V8",
        PROTOCOL + " V8",
        _USE_SECOND_TABLE,
    ),
    Rule(
        "protocol-zone",
        Level.BROKEN,
        "TIMESTAMP WITH LOCAL TIME ZONE can't be carried before V11",
        PROTOCOL + " V11",
        _USE_SECOND_TABLE,
    ),
    Rule(
        "protocol-decimal",
        Level.WARNING,
        "a decimal's precision and scale are not told before V4",
        PROTOCOL + " V4",
        _USE_SECOND_TABLE,
    ),
    Rule(
        "protocol-binary", Level.WARNING, "BINARY goes as text before V6", PROTOCOL + " V6", _USE_SECOND_TABLE
    ),
    # Subscriptions of the publisher itself.
    Rule(
        "own",
        Level.WARNING,
        "the publisher itself reads this: its subscription ends with the change",
        DDL,
        "Register anew with the new form.",
    ),
)
RULES = {rule.code: rule for rule in _RULES}


class Finding(NamedTuple):
    """A rule that applies to a column, or to the table if `column` is ""."""

    rule: str
    column: str
    what: str

    @property
    def level(self) -> Level:
        """Severity of the rule."""
        return RULES[self.rule].level

    @property
    def remedy(self) -> str:
        """What the publisher can do instead."""
        return RULES[self.rule].remedy


def highest_level(findings: Iterable[Finding]) -> Level:
    """Return the highest level of the findings; `ACCEPTED` if there are none."""
    return max((finding.level for finding in findings), default=Level.ACCEPTED)


@dataclass(frozen=True, slots=True)
class Read:
    """A column of the reader schema, matched by name or by its position in the row, counted from 1.

    `number` is the column's identity when the subscriber registered, or 0 if the table was not known then.
    """

    name: str
    type: Type
    nullable: bool = True  # the subscriber accepts nulls
    place: int = 0  # 0 if matched by name
    number: int = 0
    partition: bool = False  # the column was a partition column at registration

    def __hash__(self) -> int:
        return hash((self.name, self.place, self.number))


@dataclass(frozen=True, slots=True)
class Reads:
    """The reader schema for one table; `columns` are those at registration, also for `*`."""

    table: str
    columns: tuple[Read, ...]
    star: bool = False  # `SELECT *`: all columns are transferred, whichever are read
    by_place: bool = False  # with `star`: reads whole rows of this width; without: reads the listed positions


# Integer types: maximum decimal digits and bits of a value.
_INTEGERS = {"tinyint": (3, 8), "smallint": (5, 16), "int": (10, 32), "bigint": (19, 64)}
_FLOATS = {"float": 24, "double": 53}  # bits of the significand (IEEE 754)
_TEXT_KINDS = ("string", "varchar", "char")
_TIME_KINDS = ("date", "timestamp", "timestamplocaltz")


@lru_cache(maxsize=65536)
def type_rules(expected: Type, given: Type) -> tuple[str, ...]:
    """Return the codes of the rules that apply to reading one type as another, most severe first."""
    if expected == given:
        return ("same",)
    codes = (
        _nested_type_rules(expected, given)
        if expected.parts or given.parts
        else (_plain_type_rule(expected, given),)
    )
    applying = set(codes) - {"same"} or {"fits"}  # nested types may be the same although the types differ
    return tuple(sorted(applying, key=lambda code: (-RULES[code].level, code)))


def _plain_type_rule(expected: Type, given: Type) -> str:  # noqa: PLR0911 - a table of cases
    expected_kind, given_kind = expected.kind, given.kind
    if given_kind == "void":
        return "only-nulls"
    if expected_kind in _INTEGERS and given_kind in _INTEGERS:
        return "fits" if _INTEGERS[given_kind] <= _INTEGERS[expected_kind] else "too-wide"
    if expected_kind in _FLOATS and given_kind in _INTEGERS:
        return "fits" if _INTEGERS[given_kind][1] <= _FLOATS[expected_kind] else "digits-lost"
    if expected_kind in _FLOATS and given_kind in _FLOATS:
        return "fits" if _FLOATS[given_kind] <= _FLOATS[expected_kind] else "too-wide"
    if expected_kind == "decimal" and given_kind == "decimal":
        (precision, scale), (given_precision, given_scale) = expected.size, given.size
        return (
            "fits"
            if given_scale <= scale and given_precision - given_scale <= precision - scale
            else "decimal-too-wide"
        )
    if expected_kind == "decimal" and given_kind in _INTEGERS:
        integer_digits = expected.size[0] - expected.size[1]
        return "as-whole-number" if _INTEGERS[given_kind][0] <= integer_digits else "decimal-too-wide"
    if expected_kind in _TEXT_KINDS and given_kind in _TEXT_KINDS:
        return _text_type_rule(expected, given)
    if expected_kind in _TIME_KINDS and given_kind in _TIME_KINDS:
        return "date-and-time" if "date" in (expected_kind, given_kind) else "time-zone"
    return "other-kind"


def _text_type_rule(expected: Type, given: Type) -> str:
    if expected.kind != "string" and (given.kind == "string" or given.size > expected.size):
        return "longer"
    return "padding" if "char" in (expected.kind, given.kind) else "fits"


def _nested_type_rules(expected: Type, given: Type) -> list[str]:
    if given.kind == "void":
        return ["only-nulls"]
    if expected.kind != given.kind:
        return ["other-kind"]
    codes: list[str] = []
    if expected.kind == "struct":
        given_fields = dict(zip(given.names, given.parts, strict=True))
        for name, part in zip(expected.names, expected.parts, strict=True):
            codes += type_rules(part, given_fields[name]) if name in given_fields else ["field-missing"]
        if given_fields.keys() - set(expected.names):
            codes.append("field-added")
        return codes
    if expected.kind == "uniontype":  # a value is sent with the index of its branch
        if len(given.parts) > len(expected.parts):
            codes.append("branch-added")
        pairs = zip(expected.parts, given.parts, strict=False)
        return codes + [code for pair in pairs for code in type_rules(*pair)]
    if expected.kind == "map" and expected.parts[0] != given.parts[0]:
        key_rule = type_rules(expected.parts[0], given.parts[0])[0]
        codes.append("key-other" if RULES[key_rule].level else "fits")
    value_index = 1 if expected.kind == "map" else 0
    return [*codes, *type_rules(expected.parts[value_index], given.parts[value_index])]


@lru_cache(maxsize=65536)
def protocol_rules(given: Type, version: int) -> tuple[str, ...]:
    """Return the codes of rules that limit a type in protocol version 1 to 11; nested types go as text."""
    kind = given.kind
    if kind == "varchar" and version < 3:
        return ("protocol-varchar",)
    if kind == "char" and version < 4:
        return ("protocol-char",)
    if kind == "decimal" and version < 4:
        return ("protocol-decimal",)
    if kind == "binary" and version < 6:
        return ("protocol-binary",)
    if kind.startswith("interval") and version < 8:
        return ("protocol-interval",)
    if kind == "timestamplocaltz" and version < 11:
        return ("protocol-zone",)
    return ()


class IndexedSchema:
    """A schema with the lookup tables that checks need, built once for all subscribers."""

    def __init__(self, schema: Schema) -> None:
        self.schema, self.row = schema, schema.row
        self.by_name = {column.name: column for column in self.row}
        self.by_number = {column.number: column for column in self.row if column.number}
        self.partitions = frozenset(column.name for column in schema.partitions)
        self._protocol_findings: dict[int, tuple[Finding, ...]] = {}

    def protocol_findings(self, version: int) -> tuple[Finding, ...]:
        """Return the findings for all columns of a row under a protocol version's limits."""
        findings = self._protocol_findings.get(version)
        if findings is None:
            findings = self._protocol_findings[version] = tuple(
                Finding(code, column.name, str(column.type))
                for column in self.row
                for code in protocol_rules(column.type, version)
            )
        return findings


# Keyed by id() of the `Read`, which the entry keeps alive.
FindingCache = dict[int, tuple[Read, tuple[Finding, ...]]]


def check_reads(
    reads: Reads, version: int, schema: IndexedSchema | None, cache: FindingCache | None = None
) -> tuple[Finding, ...]:
    """Return the findings of a subscriber's reads against `schema`, which is None if no such table exists.

    `cache` holds findings per `Read`, which many subscribers share. It is valid for one schema, one protocol
    version and one value of `takes_whole_rows`.
    """
    if schema is None:
        return (Finding("table-dropped", "", reads.table),)
    findings: list[Finding] = []
    takes_whole_row = takes_whole_rows(reads)
    if takes_whole_row:
        findings += schema.protocol_findings(version)
    if reads.star and reads.by_place and 0 < len(reads.columns) < len(schema.row):
        extra, width = schema.row[len(reads.columns)], len(reads.columns)
        findings.append(Finding("row-wider", extra.name, f"{len(schema.row)} columns, {width} expected"))
    if cache is None:
        cache = {}
    for read in reads.columns:
        cached = cache.get(id(read))
        if cached is None:
            cached = cache[id(read)] = read, tuple(_column_findings(read, version, schema, takes_whole_row))
        if cached[1]:
            findings += cached[1]
    return tuple(findings)


def takes_whole_rows(reads: Reads) -> bool:
    """Return whether all columns are transferred, whichever are read."""
    return reads.star or any(read.place for read in reads.columns)


def _column_findings(read: Read, version: int, schema: IndexedSchema, takes_whole_row: bool) -> list[Finding]:
    findings: list[Finding] = []
    column = _find_at_place(read, schema, findings) if read.place else _find_by_name(read, schema, findings)
    if column is None:
        return findings
    for code in type_rules(read.type, column.type):
        if RULES[code].level:
            findings.append(Finding(code, read.name, f"{read.type} expected, {column.type} comes"))
    if not takes_whole_row:
        findings += [
            Finding(code, read.name, str(column.type)) for code in protocol_rules(column.type, version)
        ]
    if column.nullable and not read.nullable:
        findings.append(Finding("nulls-come", read.name, "not null expected"))
    if read.number and (column.name in schema.partitions) != read.partition:
        findings.append(Finding("partition-moved", read.name, ""))
    return findings


def _find_by_name(read: Read, schema: IndexedSchema, findings: list[Finding]) -> Column | None:
    column = schema.by_name.get(read.name)
    if column is not None and (not read.number or not column.number or column.number == read.number):
        return column
    renamed = schema.by_number.get(read.number)
    if renamed is not None:
        findings.append(Finding("column-renamed", read.name, f"it is {renamed.name} now"))
    elif column is not None:
        findings.append(Finding("column-other", read.name, ""))
    else:
        findings.append(Finding("column-missing", read.name, ""))
    return None


def _find_at_place(read: Read, schema: IndexedSchema, findings: list[Finding]) -> Column | None:
    if read.place > len(schema.row):
        findings.append(Finding("place-missing", read.name, f"place {read.place} of {len(schema.row)}"))
        return None
    column = schema.row[read.place - 1]
    is_same = column.number == read.number if read.number and column.number else column.name == read.name
    if is_same:
        if column.name != read.name:
            findings.append(Finding("place-renamed", read.name, f"it is {column.name} now"))
        return column
    findings.append(Finding("place-other", read.name, f"{column.name} stands at place {read.place}"))
    return None


# Hive's table of implicit conversions: the types to which a column of each type may be changed.
_NUMERIC_KINDS = ("tinyint", "smallint", "int", "bigint", "float", "double", "decimal")
_ALLOWED_CONVERSIONS: dict[str, frozenset[str]] = {
    **{kind: frozenset(_NUMERIC_KINDS[index:] + _TEXT_KINDS) for index, kind in enumerate(_NUMERIC_KINDS)},
    **{kind: frozenset((*_TEXT_KINDS, "double", "decimal")) for kind in _TEXT_KINDS},
    "date": frozenset(("date", *_TEXT_KINDS)),
    "timestamp": frozenset(("timestamp", *_TEXT_KINDS)),
}


@lru_cache(maxsize=65536)
def is_allowed_conversion(old: Type, new: Type) -> bool:
    """Return whether Hive's table of implicit conversions allows a column's type to be changed this way."""
    if old == new or old.kind == "void":
        return True
    if old.parts or new.parts:
        return False  # no implicit conversion of nested types; a struct is changed by REPLACE COLUMNS
    if old.kind == new.kind == "decimal":
        return new.size[1] >= old.size[1] and new.size[0] - new.size[1] >= old.size[0] - old.size[1]
    if old.kind in _TEXT_KINDS and new.kind in _TEXT_KINDS:
        return new.kind == "string" or (old.kind != "string" and new.size >= old.size)
    return new.kind in _ALLOWED_CONVERSIONS.get(old.kind, ())


def check_alteration(old: Schema, new: Schema, anew: bool = False) -> tuple[Finding, ...]:
    """Return the findings of the change itself, independent of subscribers."""
    if anew:
        return (Finding("table-anew", "", ""),)
    findings: list[Finding] = []
    old_columns = {column.number: column for column in old.row}
    for column in new.row:
        old_column = old_columns.get(column.number)
        if old_column is not None and not is_allowed_conversion(old_column.type, column.type):
            findings.append(Finding("hive-refuses", column.name, f"{old_column.type} to {column.type}"))
        if old_column is None and not column.nullable and column.default is None:
            findings.append(Finding("fixed-without-default", column.name, ""))
    if [c.number for c in old.partitions] != [c.number for c in new.partitions]:
        findings.append(Finding("partitions-changed", "", ""))
    kept = [column.number in old_columns for column in new.columns]
    for index, column in enumerate(new.columns):
        if not kept[index] and any(kept[index + 1 :]):
            findings.append(Finding("added-inside", column.name, ""))
    return tuple(findings)
