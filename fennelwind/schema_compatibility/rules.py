"""Which schemas a subscriber can read, rule by rule, each with its public source.

A subscriber's reads are held against a schema as it will be, not against the step before: what it registered
is what it expects. Three levels: accepted, a warning (it goes on, and something is to be known), broken.

`RULES_VERSION` identifies this set of rules. Verdicts are replicated results, so changing a rule requires a
new version, which members may use only once all of them know it.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import IntEnum
from functools import lru_cache
from typing import NamedTuple

from fennelwind.schema_compatibility.types import Column, Schema, Type

RULES_VERSION = 1  # of this set of rules
FIRST, NEWEST = 1, 11  # HIVE_CLI_SERVICE_PROTOCOL_V1 and V11


class Level(IntEnum):
    """What a finding means for the one that it is about."""

    ACCEPTED = 0
    WARNING = 1
    BROKEN = 2


class Rule(NamedTuple):
    """One rule: what it says, where it stands published, what the publisher can do instead."""

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

_VERSION = "Make a second table (or a view) of the new form beside this one, and let readers change over."
_WAIT = "Wait until the subscriber has gone or has registered what it expects anew."
_WIDER = "Add a column of the new type at the end, and fill both until the subscriber reads the new one."
_KEEP = "Keep the column, and let it be null, until the subscriber no longer reads it."
_END = "Add the column at the end, with a default; of a table with partition columns, in a view over it."

_TABLE = (
    # The table as a whole.
    Rule("table-dropped", Level.BROKEN, "the table goes", DDL + ": Drop Table", _WAIT),
    Rule(
        "table-anew",
        Level.WARNING,
        "the table is dropped and made anew: it is empty, and away in between",
        DDL + ": Drop Table, Create Table",
        _VERSION,
    ),
    Rule(
        "hive-refuses",
        Level.WARNING,
        "no implicit conversion leads from the old type to the new one: Hive refuses it unless "
        "hive.metastore.disallow.incompatible.col.type.changes is off, and what was stored may "
        "read as null",
        CONVERSIONS + "; " + DDL + ": Change Column",
        _WIDER,
    ),
    Rule(
        "partitions-changed",
        Level.WARNING,
        "partition columns come, go or change places: no ALTER TABLE does that; the table has to "
        "be made anew",
        DDL + ": Alter Partition",
        _VERSION,
    ),
    Rule(
        "added-inside",
        Level.WARNING,
        "a column is added ahead of others: ALTER TABLE ADD COLUMNS adds at the end, and files "
        "read by place give older rows' values to the wrong columns",
        DDL + ": Add/Replace Columns",
        _END,
    ),
    Rule(
        "fixed-without-default",
        Level.WARNING,
        "a column that takes no nulls is added without a default: the rows that are there have no "
        "value for it",
        AVRO + " (a reader's field without default)",
        _END,
    ),
    # Columns.
    Rule(
        "column-missing",
        Level.BROKEN,
        "no column of that name is there",
        DDL + ": Add/Replace Columns",
        _KEEP,
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
        _KEEP,
    ),
    Rule(
        "place-other",
        Level.BROKEN,
        "another column stands at the place that the subscriber reads",
        DDL + ": Change Column (FIRST, AFTER); partition columns come last",
        _END,
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
        _VERSION,
    ),
    # Types: what the subscriber expects against what comes.
    Rule("same", Level.ACCEPTED, "the type is the same", COLUMNS, ""),
    Rule("fits", Level.ACCEPTED, "every value of the new type is one of the expected type", AVRO, ""),
    Rule(
        "too-wide",
        Level.BROKEN,
        "values may be out of the range that the subscriber expects",
        AVRO + "; " + JDBC,
        _WIDER,
    ),
    Rule(
        "digits-lost",
        Level.WARNING,
        "the expected type holds every such value, but not all of its digits",
        AVRO + " (long to float, long to double); " + TYPES,
        _WIDER,
    ),
    Rule(
        "as-whole-number",
        Level.WARNING,
        "a whole number comes where a decimal is expected, in another kind of column",
        CONVERSIONS + "; " + COLUMNS,
        _WIDER,
    ),
    Rule(
        "decimal-too-wide",
        Level.BROKEN,
        "decimals may have more digits ahead of the point or behind it than are expected",
        TYPES + ": Decimals",
        _WIDER,
    ),
    Rule(
        "longer",
        Level.BROKEN,
        "texts may be longer than the subscriber expects",
        TYPES + ": Varchar, Char",
        _WIDER,
    ),
    Rule(
        "padding",
        Level.WARNING,
        "texts come padded with blanks, or no longer so padded",
        TYPES + ": Char",
        _WIDER,
    ),
    Rule(
        "other-kind",
        Level.BROKEN,
        "values of another kind come: another sort of column on the wire, another type of object "
        "at the client",
        COLUMNS + "; " + AVRO,
        _WIDER,
    ),
    Rule(
        "date-and-time",
        Level.BROKEN,
        "a date comes for a point in time, or the reverse; neither converts",
        CONVERSIONS,
        _WIDER,
    ),
    Rule(
        "time-zone",
        Level.BROKEN,
        "points in time with a zone come for those without, or the reverse",
        TYPES + ": Timestamps",
        _WIDER,
    ),
    Rule("only-nulls", Level.WARNING, "nothing but nulls comes", CONVERSIONS + " (void)", _WIDER),
    Rule(
        "field-missing",
        Level.BROKEN,
        "a field of a structure that the subscriber expects is not there",
        AVRO + " (records: a reader's field without default)",
        _KEEP,
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
        _WIDER,
    ),
    Rule(
        "key-other",
        Level.BROKEN,
        "a map's keys are of another type, so that look-ups miss them",
        AVRO + " (maps); " + TYPES + ": Complex Types",
        _WIDER,
    ),
    # What a protocol version carries.
    Rule("protocol-varchar", Level.BROKEN, "VARCHAR can't be carried before V3", PROTOCOL + " V3", _VERSION),
    Rule("protocol-char", Level.BROKEN, "CHAR can't be carried before V4", PROTOCOL + " V4", _VERSION),
    Rule(
        "protocol-interval", Level.BROKEN, "intervals can't be carried before V8", PROTOCOL + " V8", _VERSION
    ),
    Rule(
        "protocol-zone",
        Level.BROKEN,
        "TIMESTAMP WITH LOCAL TIME ZONE can't be carried before V11",
        PROTOCOL + " V11",
        _VERSION,
    ),
    Rule(
        "protocol-decimal",
        Level.WARNING,
        "a decimal's precision and scale are not told before V4",
        PROTOCOL + " V4",
        _VERSION,
    ),
    Rule("protocol-binary", Level.WARNING, "BINARY goes as text before V6", PROTOCOL + " V6", _VERSION),
    # Who is itself the publisher.
    Rule(
        "own",
        Level.WARNING,
        "the publisher itself reads this: its subscription ends with the change",
        DDL,
        "Register anew with the new form.",
    ),
)
RULES = {rule.code: rule for rule in _TABLE}


class Finding(NamedTuple):
    """What a rule says of a column (or of the table: "")."""

    rule: str
    column: str
    what: str

    @property
    def level(self) -> Level:
        """How grave it is."""
        return RULES[self.rule].level

    @property
    def remedy(self) -> str:
        """What the publisher can do."""
        return RULES[self.rule].remedy


def worst(findings: Iterable[Finding]) -> Level:
    """Return the gravest level; accepted where nothing was found."""
    return max((finding.level for finding in findings), default=Level.ACCEPTED)


@dataclass(frozen=True, slots=True)
class Read:
    """A column as a subscriber expects it: by its name, or by its place, counted from 1.

    `number`: the column's identity when it registered; 0: the table was not known then.
    """

    name: str
    type: Type
    nullable: bool = True  # it takes nulls
    place: int = 0  # 0: by name
    number: int = 0
    partition: bool = False  # it was a partition column when it registered

    def __hash__(self) -> int:
        return hash((self.name, self.place, self.number))


@dataclass(frozen=True, slots=True)
class Reads:
    """What a subscriber reads of one table. `columns`: as they were when it registered, also for `*`."""

    table: str
    columns: tuple[Read, ...]
    star: bool = False  # `SELECT *`: all columns come over the wire, whichever are read
    by_place: bool = False  # with `star`: it takes whole rows of this width; without: it takes what it lists


# Whole numbers: digits ahead of the point that a value may have, and bits of it.
_WHOLE = {"tinyint": (3, 8), "smallint": (5, 16), "int": (10, 32), "bigint": (19, 64)}
_BINARY = {"float": 24, "double": 53}  # bits of the significand (IEEE 754)
_TEXT = ("string", "varchar", "char")
_POINTS = ("date", "timestamp", "timestamplocaltz")


@lru_cache(maxsize=65536)
def type_rules(expected: Type, given: Type) -> tuple[str, ...]:
    """Return the codes of the rules that meet where one type is expected and another comes, gravest first."""
    if expected == given:
        return ("same",)
    codes = _nested(expected, given) if expected.parts or given.parts else (_plain(expected, given),)
    met = set(codes) - {"same"} or {"fits"}  # a part may be the same, the whole is not
    return tuple(sorted(met, key=lambda code: (-RULES[code].level, code)))


def _plain(expected: Type, given: Type) -> str:  # noqa: PLR0911 - a table of cases
    want, come = expected.kind, given.kind
    if come == "void":
        return "only-nulls"
    if want in _WHOLE and come in _WHOLE:
        return "fits" if _WHOLE[come] <= _WHOLE[want] else "too-wide"
    if want in _BINARY and come in _WHOLE:
        return "fits" if _WHOLE[come][1] <= _BINARY[want] else "digits-lost"
    if want in _BINARY and come in _BINARY:
        return "fits" if _BINARY[come] <= _BINARY[want] else "too-wide"
    if want == "decimal" and come == "decimal":
        (precision, scale), (digits, behind) = expected.size, given.size
        return "fits" if behind <= scale and digits - behind <= precision - scale else "decimal-too-wide"
    if want == "decimal" and come in _WHOLE:
        ahead = expected.size[0] - expected.size[1]
        return "as-whole-number" if _WHOLE[come][0] <= ahead else "decimal-too-wide"
    if want in _TEXT and come in _TEXT:
        return _text(expected, given)
    if want in _POINTS and come in _POINTS:
        return "date-and-time" if "date" in (want, come) else "time-zone"
    return "other-kind"


def _text(expected: Type, given: Type) -> str:
    if expected.kind != "string" and (given.kind == "string" or given.size > expected.size):
        return "longer"
    return "padding" if "char" in (expected.kind, given.kind) else "fits"


def _nested(expected: Type, given: Type) -> list[str]:
    if given.kind == "void":
        return ["only-nulls"]
    if expected.kind != given.kind:
        return ["other-kind"]
    codes: list[str] = []
    if expected.kind == "struct":
        come = dict(zip(given.names, given.parts, strict=True))
        for name, part in zip(expected.names, expected.parts, strict=True):
            codes += type_rules(part, come[name]) if name in come else ["field-missing"]
        if come.keys() - set(expected.names):
            codes.append("field-added")
        return codes
    if expected.kind == "uniontype":  # a value comes with the number of its branch
        if len(given.parts) > len(expected.parts):
            codes.append("branch-added")
        pairs = zip(expected.parts, given.parts, strict=False)
        return codes + [code for pair in pairs for code in type_rules(*pair)]
    if expected.kind == "map" and expected.parts[0] != given.parts[0]:
        key = type_rules(expected.parts[0], given.parts[0])[0]
        codes.append("key-other" if RULES[key].level else "fits")
    at = 1 if expected.kind == "map" else 0
    return [*codes, *type_rules(expected.parts[at], given.parts[at])]


@lru_cache(maxsize=65536)
def carried(given: Type, version: int) -> tuple[str, ...]:
    """Return the codes of what a protocol version (1 to 11) can't carry. Nested types go as text."""
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


class Form:
    """A schema with what checks ask of it, made once for all subscribers."""

    def __init__(self, schema: Schema) -> None:
        self.schema, self.row = schema, schema.row
        self.by_name = {column.name: column for column in self.row}
        self.by_number = {column.number: column for column in self.row if column.number}
        self.partitions = frozenset(column.name for column in schema.partitions)
        self._carried: dict[int, tuple[Finding, ...]] = {}

    def carried(self, version: int) -> tuple[Finding, ...]:
        """Return what a protocol version can't carry of a whole row."""
        found = self._carried.get(version)
        if found is None:
            found = self._carried[version] = tuple(
                Finding(code, column.name, str(column.type))
                for column in self.row
                for code in carried(column.type, version)
            )
        return found


Memo = dict[int, tuple[Read, tuple[Finding, ...]]]  # by the id of a read, which it keeps alive


def judge(reads: Reads, version: int, form: Form | None, memo: Memo | None = None) -> tuple[Finding, ...]:
    """Return what breaks, or is to be known, when a subscriber meets a schema; None: no table is there.

    `memo`: what was found for reads that many subscribers have, for this schema, version and kind of reading.
    """
    if form is None:
        return (Finding("table-dropped", "", reads.table),)
    found: list[Finding] = []
    whole = takes_whole_rows(reads)
    if whole:
        found += form.carried(version)
    if reads.star and reads.by_place and 0 < len(reads.columns) < len(form.row):
        extra, width = form.row[len(reads.columns)], len(reads.columns)
        found.append(Finding("row-wider", extra.name, f"{len(form.row)} columns, {width} expected"))
    if memo is None:
        memo = {}
    for read in reads.columns:
        known = memo.get(id(read))
        if known is None:
            known = memo[id(read)] = read, tuple(_of_column(read, version, form, whole))
        if known[1]:
            found += known[1]
    return tuple(found)


def takes_whole_rows(reads: Reads) -> bool:
    """Tell whether all columns come over the wire, whichever are looked at."""
    return reads.star or any(read.place for read in reads.columns)


def _of_column(read: Read, version: int, form: Form, whole: bool) -> list[Finding]:
    found: list[Finding] = []
    column = _at_place(read, form, found) if read.place else _by_name(read, form, found)
    if column is None:
        return found
    for code in type_rules(read.type, column.type):
        if RULES[code].level:
            found.append(Finding(code, read.name, f"{read.type} expected, {column.type} comes"))
    if not whole:
        found += [Finding(code, read.name, str(column.type)) for code in carried(column.type, version)]
    if column.nullable and not read.nullable:
        found.append(Finding("nulls-come", read.name, "not null expected"))
    if read.number and (column.name in form.partitions) != read.partition:
        found.append(Finding("partition-moved", read.name, ""))
    return found


def _by_name(read: Read, form: Form, found: list[Finding]) -> Column | None:
    column = form.by_name.get(read.name)
    if column is not None and (not read.number or not column.number or column.number == read.number):
        return column
    now = form.by_number.get(read.number)
    if now is not None:
        found.append(Finding("column-renamed", read.name, f"it is {now.name} now"))
    elif column is not None:
        found.append(Finding("column-other", read.name, ""))
    else:
        found.append(Finding("column-missing", read.name, ""))
    return None


def _at_place(read: Read, form: Form, found: list[Finding]) -> Column | None:
    if read.place > len(form.row):
        found.append(Finding("place-missing", read.name, f"place {read.place} of {len(form.row)}"))
        return None
    column = form.row[read.place - 1]
    same = column.number == read.number if read.number and column.number else column.name == read.name
    if same:
        if column.name != read.name:
            found.append(Finding("place-renamed", read.name, f"it is {column.name} now"))
        return column
    found.append(Finding("place-other", read.name, f"{column.name} stands at place {read.place}"))
    return None


# Hive's table of implicit conversions: what each type may become.
_NUMBERS = ("tinyint", "smallint", "int", "bigint", "float", "double", "decimal")
_BECOMES: dict[str, frozenset[str]] = {
    **{kind: frozenset(_NUMBERS[at:] + _TEXT) for at, kind in enumerate(_NUMBERS)},
    **{kind: frozenset((*_TEXT, "double", "decimal")) for kind in _TEXT},
    "date": frozenset(("date", *_TEXT)),
    "timestamp": frozenset(("timestamp", *_TEXT)),
}


@lru_cache(maxsize=65536)
def may_become(old: Type, new: Type) -> bool:
    """Tell whether Hive lets a column's type be changed so, by its table of implicit conversions."""
    if old == new or old.kind == "void":
        return True
    if old.parts or new.parts:
        return False  # only equal ones are implied; a struct is changed by REPLACE COLUMNS
    if old.kind == new.kind == "decimal":
        return new.size[1] >= old.size[1] and new.size[0] - new.size[1] >= old.size[0] - old.size[1]
    if old.kind in _TEXT and new.kind in _TEXT:
        return new.kind == "string" or (old.kind != "string" and new.size >= old.size)
    return new.kind in _BECOMES.get(old.kind, ())


def altered(old: Schema, new: Schema, anew: bool = False) -> tuple[Finding, ...]:
    """Return what the change itself has of its own, whoever reads: what Hive does not do, what rows lose."""
    if anew:
        return (Finding("table-anew", "", ""),)
    found: list[Finding] = []
    before = {column.number: column for column in old.row}
    for column in new.row:
        was = before.get(column.number)
        if was is not None and not may_become(was.type, column.type):
            found.append(Finding("hive-refuses", column.name, f"{was.type} to {column.type}"))
        if was is None and not column.nullable and column.default is None:
            found.append(Finding("fixed-without-default", column.name, ""))
    if [c.number for c in old.partitions] != [c.number for c in new.partitions]:
        found.append(Finding("partitions-changed", "", ""))
    kept = [column.number in before for column in new.columns]
    for at, column in enumerate(new.columns):
        if not kept[at] and any(kept[at + 1 :]):
            found.append(Finding("added-inside", column.name, ""))
    return tuple(found)
