"""Conversions between the messages of `contracts.proto` and the values of `types` and `rules`."""

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
    check_schema,
    check_type,
    normalize_name,
    normalize_table_name,
)

MAX_TABLES_PER_SUBSCRIPTION = 64
MAX_NAMED_SUBSCRIBERS = 1000  # names in one answer, about 30 characters each; further names are only counted
MAX_FINDINGS = 20  # findings for a group of equal subscriptions, most severe first


def type_message(schema_type: Type) -> pb.Type:
    """Return the message of a type."""
    return pb.Type(
        kind=schema_type.kind,
        size=schema_type.size,
        names=schema_type.names,
        parts=map(type_message, schema_type.parts),
    )


def read_type(message: pb.Type) -> Type:
    """Return the type of a message; equal messages share one value. Raises `SchemaError`."""
    return _cached_type(message.SerializeToString(deterministic=True))


@lru_cache(maxsize=65536)
def _cached_type(raw: bytes) -> Type:
    message = pb.Type.FromString(raw)
    parsed_type = Type(
        message.kind, tuple(message.size), tuple(message.names), tuple(map(read_type, message.parts))
    )
    check_type(parsed_type)
    return parsed_type


def schema_message(schema: Schema) -> pb.Schema:
    """Return the message of a schema."""
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


def read_schema(message: pb.Schema) -> Schema:
    """Return the schema of a message. Raises `SchemaError`."""
    return check_schema(
        Schema(tuple(map(_read_column, message.columns)), tuple(map(_read_column, message.partitions)))
    )


def _read_column(message: pb.Column) -> Column:
    default = message.default if message.HasField("default") else None
    return Column(
        message.name, read_type(message.type), not message.fixed, default, message.number, message.was
    )


def reads_message(reads: Reads) -> pb.Reads:
    """Return the message of a subscriber's reads of one table."""
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


def read_reads(message: pb.Reads) -> Reads:
    """Return a subscriber's reads of one table. Raises `SchemaError`."""
    columns = tuple(_cached_read(column.SerializeToString(deterministic=True)) for column in message.columns)
    if normalize_table_name(message.table) != message.table:
        raise SchemaError(f"the table {message.table!r} is not in lower case", table=message.table)
    return Reads(message.table, columns, message.star, message.by_place)


@lru_cache(maxsize=65536)
def _cached_read(raw: bytes) -> Read:
    message = pb.Reads.Read.FromString(raw)
    if normalize_name(message.name) != message.name:
        raise SchemaError(f"the name {message.name!r} is not in lower case", column=message.name)
    return intern_read(
        Read(
            message.name,
            read_type(message.type),
            not message.fixed,
            message.place,
            message.number,
            message.partition,
        )
    )


@lru_cache(maxsize=65536)
def intern_read(read: Read) -> Read:
    """Return one shared value for equal reads, so that a check evaluates it once for all subscribers."""
    return read


def all_reads_message(reads: Iterable[Reads]) -> bytes:
    """Return the serialized reads of a subscription, as stored."""
    return pb.AllReads(reads=map(reads_message, reads)).SerializeToString(deterministic=True)


@lru_cache(maxsize=4096)
def read_all_reads(raw: bytes) -> tuple[Reads, ...]:
    """Return the reads of a subscription from their stored bytes. Raises `SchemaError`."""
    return tuple(map(read_reads, pb.AllReads.FromString(raw).reads))


def finding_messages(findings: Iterable[Finding]) -> list[pb.Found]:
    """Return the messages of at most `MAX_FINDINGS` warnings and breaks, most severe first."""
    severe = sorted((f for f in findings if f.level), key=lambda f: -f.level)
    return [pb.Found(rule=f.rule, column=f.column, what=f.what) for f in severe[:MAX_FINDINGS]]


def fill_verdict(verdict: Verdict, answer: pb.ContractAnswer) -> None:
    """Write a verdict into an answer; names beyond `MAX_NAMED_SUBSCRIBERS` are only counted."""
    answer.found.extend(finding_messages(verdict.own))
    remaining = MAX_NAMED_SUBSCRIBERS
    for each in verdict.affected:
        names = each.names[:remaining]
        remaining -= len(names)
        answer.more += len(each.names) - len(names)
        if names:
            answer.readers.add(names=names, version=each.version, found=finding_messages(each.findings))
