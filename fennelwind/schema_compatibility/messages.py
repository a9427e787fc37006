"""Between the messages of `contracts.proto` and the values of `types` and `rules`."""

from collections.abc import Iterable
from functools import lru_cache

from fennelwind.schema_compatibility import contracts_pb2 as pb
from fennelwind.schema_compatibility.checker import Verdict
from fennelwind.schema_compatibility.rules import Finding, Read, Reads
from fennelwind.schema_compatibility.types import (
    Column,
    Schema,
    SchemaError,
    Type,
    check,
    check_type,
    fold,
    table_name,
)

READS_MOST = 64  # tables of one subscription
NAMED_MOST = 1000  # subscribers named in one answer, of some 30 letters each; the rest are counted
FOUND_MOST = 20  # findings told of one group of subscribers, gravest first


def type_message(given: Type) -> pb.Type:
    """Return a type's message."""
    return pb.Type(kind=given.kind, size=given.size, names=given.names, parts=map(type_message, given.parts))


def read_type(told: pb.Type) -> Type:
    """Return the type of a message, one value for equal ones. Raises `SchemaError`."""
    return _type(told.SerializeToString(deterministic=True))


@lru_cache(maxsize=65536)
def _type(raw: bytes) -> Type:
    told = pb.Type.FromString(raw)
    made = Type(told.kind, tuple(told.size), tuple(told.names), tuple(map(read_type, told.parts)))
    check_type(made)
    return made


def schema_message(schema: Schema) -> pb.Schema:
    """Return a schema's message."""
    return pb.Schema(
        columns=map(_column_message, schema.columns), partitions=map(_column_message, schema.partitions)
    )


def _column_message(column: Column) -> pb.Column:
    return pb.Column(
        name=column.name,
        type=type_message(column.type),
        fixed=not column.nullable,
        default=column.default,
        number=column.number,
        was=column.was,
    )


def read_schema(told: pb.Schema) -> Schema:
    """Return the schema of a message. Raises `SchemaError`."""
    return check(Schema(tuple(map(_column, told.columns)), tuple(map(_column, told.partitions))))


def _column(told: pb.Column) -> Column:
    default = told.default if told.HasField("default") else None
    return Column(told.name, read_type(told.type), not told.fixed, default, told.number, told.was)


def reads_message(reads: Reads) -> pb.Reads:
    """Return the message of what is read of one table."""
    columns = [
        pb.Reads.Read(
            name=r.name,
            type=type_message(r.type),
            fixed=not r.nullable,
            place=r.place,
            number=r.number,
            partition=r.partition,
        )
        for r in reads.columns
    ]
    return pb.Reads(table=reads.table, star=reads.star, by_place=reads.by_place, columns=columns)


def read_reads(told: pb.Reads) -> Reads:
    """Return what is read of one table. Raises `SchemaError`."""
    columns = tuple(_read(column.SerializeToString(deterministic=True)) for column in told.columns)
    if table_name(told.table) != told.table:
        raise SchemaError(f"the table {told.table!r} is not in lower case", table=told.table)
    return Reads(told.table, columns, told.star, told.by_place)


@lru_cache(maxsize=65536)
def _read(raw: bytes) -> Read:
    told = pb.Reads.Read.FromString(raw)
    if fold(told.name) != told.name:
        raise SchemaError(f"the name {told.name!r} is not in lower case", column=told.name)
    return shared(
        Read(told.name, read_type(told.type), not told.fixed, told.place, told.number, told.partition)
    )


@lru_cache(maxsize=65536)
def shared(read: Read) -> Read:
    """Return one and the same value for equal ones: checks look at it once for all who have it."""
    return read


def all_reads_message(reads: Iterable[Reads]) -> bytes:
    """Return the bytes in which a subscription's reads are kept."""
    return pb.AllReads(reads=map(reads_message, reads)).SerializeToString(deterministic=True)


@lru_cache(maxsize=4096)
def read_all_reads(raw: bytes) -> tuple[Reads, ...]:
    """Return a subscription's reads. Raises `SchemaError`."""
    return tuple(map(read_reads, pb.AllReads.FromString(raw).reads))


def found_messages(findings: Iterable[Finding]) -> list[pb.Found]:
    """Return the messages of findings, accepted ones left out, gravest first and no more than are read."""
    grave = sorted((f for f in findings if f.level), key=lambda f: -f.level)
    return [pb.Found(rule=f.rule, column=f.column, what=f.what) for f in grave[:FOUND_MOST]]


def verdict_message(verdict: Verdict, answer: pb.ContractAnswer) -> None:
    """Put a verdict into an answer: as many readers by name as there is room for."""
    answer.found.extend(found_messages(verdict.own))
    room = NAMED_MOST
    for each in verdict.affected:
        names = each.names[:room]
        room -= len(names)
        answer.more += len(each.names) - len(names)
        if names:
            answer.readers.add(names=names, version=each.version, found=found_messages(each.findings))
