"""Session options of subscribers and publishers, parsed into commands. Statements are not parsed.

A subscriber sets its options in the configuration of OpenSession, a publisher in its statement's overlay:

    fennelwind.subscriber = nightly-report
    fennelwind.subscriber.term_s = 86400
    fennelwind.reads.sales.orders = id bigint not null, total decimal(10,2) by name
    fennelwind.reads.sales.items = * by place

    fennelwind.publisher = orders-load
    fennelwind.schema.sales.orders = id bigint not null, total decimal(12,2), note string default ''
    fennelwind.schema_version.sales.orders = 4711
    fennelwind.back = ALTER TABLE sales.orders REPLACE COLUMNS (...)

`by name` (the default): the statement names its columns, or takes them from the result by name. `by place`:
the subscriber reads columns by position in the row, and ignores other columns. A column's position is
its place in the list, or the number written before it (`1 id bigint, 4 note string by place`). `* by name`:
all columns present at registration, by name. `* by place`: whole rows of the width at registration.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from functools import lru_cache
from typing import Any

from fennelwind.errors import FennelwindError
from fennelwind.schema_compatibility import contracts_pb2 as pb
from fennelwind.schema_compatibility.messages import (
    MAX_TABLES_PER_SUBSCRIPTION,
    reads_message,
    schema_message,
)
from fennelwind.schema_compatibility.rules import (
    MAX_PROTOCOL_VERSION,
    MIN_PROTOCOL_VERSION,
    RULES_VERSION,
    Read,
    Reads,
)
from fennelwind.schema_compatibility.types import (
    READS_GRAMMAR,
    SchemaError,
    SchemaTextError,
    normalize_name,
    normalize_table_name,
    parse_schema,
    parse_text,
    quoted,
)

SUBSCRIBER_OPTION, PUBLISHER_OPTION, REVERT_OPTION = (
    "fennelwind.subscriber",
    "fennelwind.publisher",
    "fennelwind.back",
)
TERM_OPTION, AT_ONCE_OPTION = "fennelwind.subscriber.term_s", "fennelwind.at_once"
READS_PREFIX, SCHEMA_PREFIX = "fennelwind.reads.", "fennelwind.schema."
VERSION_PREFIX, ANEW_PREFIX = "fennelwind.schema_version.", "fennelwind.anew."
DROPPED = "dropped"  # written in place of a schema if the table is dropped
MAX_READS_TEXT_LENGTH = 8192  # characters per table, the limit of any session option
DEFAULT_TERM_S = 24 * 3600.0  # default term of a subscription without renewal
MAX_PLACE = 2000  # equals `types.MAX_COLUMNS`


class SessionOptionError(FennelwindError):
    """A session option of a subscriber or publisher is invalid."""

    code = "contracts-said"
    advice = (
        "Correct the setting that the error names; docs/operators/contracts.md shows each with an "
        "example. A session that says nothing of what it reads is served as before."
    )


@dataclass(frozen=True, slots=True)
class Subscription:
    """A subscriber's name, protocol version and reads."""

    name: str
    version: int  # protocol version, 1 to 11
    reads: tuple[Reads, ...]
    term_s: float = DEFAULT_TERM_S

    def command(self) -> pb.ContractCommand:
        """Return the command that registers the subscription."""
        message = pb.Register(
            name=self.name,
            version=self.version,
            term_ms=int(self.term_s * 1000),
            reads=map(reads_message, self.reads),
        )
        return pb.ContractCommand(rules=RULES_VERSION, register=message)


@dataclass(frozen=True, slots=True)
class Publication:
    """A schema change carried by a statement. `proposal` has no engines yet; `command` adds them."""

    table: str
    proposal: pb.Propose

    def command(self, engines: tuple[str, ...], forward: tuple[str, ...]) -> pb.ContractCommand:
        """Return the command that proposes the change for these engines, made by the `forward` statements."""
        message = pb.Propose()
        message.CopyFrom(self.proposal)
        message.engines.extend(engines)
        message.forward.extend(forward)
        return pb.ContractCommand(rules=RULES_VERSION, propose=message)


@lru_cache(maxsize=1024)
def parse_reads(table: str, text: str) -> Reads:
    """Parse the reads of one table; cached, as the sessions of a program all send the same text.

    Raises `SchemaTextError`, `SchemaError`.
    """
    if len(text) > MAX_READS_TEXT_LENGTH:
        raise SchemaTextError(
            f"{len(text)} letters, where {MAX_READS_TEXT_LENGTH} are taken", letters=len(text)
        )
    columns, access = parse_text(READS_GRAMMAR, text)
    by_place, read_columns, seen_keys = access == "place", [], set()
    for position, (place, name, kind, nullable) in enumerate(columns, 1):
        if place > MAX_PLACE or (place and not by_place):
            text = f"{name}: place {place}, of 1 to {MAX_PLACE}, and only `by place`"
            raise SchemaTextError(text, place=place)
        place = place or position
        key = place if by_place else name
        if key in seen_keys:
            raise SchemaTextError(f"{name}: {key} stands twice", column=name)
        seen_keys.add(key)
        read_columns.append(Read(name, kind, nullable, place if by_place else 0))
    return Reads(table, tuple(read_columns), not read_columns, by_place)


def reads_text(reads: Reads) -> str:
    """Return the text form of the reads of one table."""
    columns = ", ".join(
        f"{f'{r.place} ' if r.place else ''}{quoted(r.name)} {r.type}{'' if r.nullable else ' not null'}"
        for r in reads.columns
    )
    return f"{'*' if reads.star else columns} by {'place' if reads.by_place else 'name'}"


def parse_subscription(
    configuration: Mapping[str, str], protocol: int, database: str = ""
) -> Subscription | None:
    """Return the subscription in a session's configuration, or None if the configuration has none.

    `protocol` is the `client_protocol` number of OpenSession, 0 for V1. Raises `SessionOptionError`.
    """
    options = {key: text for key, text in configuration.items() if key.lower().startswith(READS_PREFIX)}
    name = configuration.get(SUBSCRIBER_OPTION)
    if name is None and not options:
        return None
    if name is None:
        raise SessionOptionError(f"{READS_PREFIX}... without {SUBSCRIBER_OPTION}", setting=SUBSCRIBER_OPTION)
    if not options or len(options) > MAX_TABLES_PER_SUBSCRIPTION:
        raise SessionOptionError(
            f"{len(options)} tables are read, of 1 to {MAX_TABLES_PER_SUBSCRIPTION}", setting=READS_PREFIX
        )
    reads: dict[str, Reads] = {}
    for key, text in sorted(options.items()):
        table = _read_option(key, normalize_table_name, key[len(READS_PREFIX) :], database)
        if table in reads:
            raise SessionOptionError(f"{key}: {table} is named twice", setting=key)
        reads[table] = _read_option(key, parse_reads, table, text)
    version = min(max(protocol + 1, MIN_PROTOCOL_VERSION), MAX_PROTOCOL_VERSION)
    return Subscription(
        _read_option(SUBSCRIBER_OPTION, normalize_name, name),
        version,
        tuple(reads.values()),
        _read_term_s(configuration),
    )


def _read_term_s(configuration: Mapping[str, str]) -> float:
    text = configuration.get(TERM_OPTION)
    if text is None:
        return DEFAULT_TERM_S
    try:
        term = float(text)
    except ValueError:
        term = 0.0
    if not 0.0 < term < 1e9:
        raise SessionOptionError(f"{TERM_OPTION}: {text[:40]!r} is no number of seconds", setting=TERM_OPTION)
    return term


def parse_publication(overlay: Mapping[str, str], database: str = "") -> Publication | None:
    """Return the schema change in a statement's overlay, or None if the overlay has none.

    Raises `SessionOptionError`.
    """
    schema_keys = [key for key in overlay if key.lower().startswith(SCHEMA_PREFIX)]
    if not schema_keys:
        return None
    publisher = overlay.get(PUBLISHER_OPTION)
    if len(schema_keys) > 1 or publisher is None:
        raise SessionOptionError(
            f"{len(schema_keys)} schemas, of one, by {PUBLISHER_OPTION}", setting=sorted(schema_keys)[0]
        )
    key, text = schema_keys[0], overlay[schema_keys[0]]
    table = _read_option(key, normalize_table_name, key[len(SCHEMA_PREFIX) :], database)
    options = {option.lower(): text for option, text in overlay.items()}
    table_key = key[len(SCHEMA_PREFIX) :].lower()
    schema = None
    if text.strip().lower() != DROPPED:
        schema = schema_message(_read_option(key, parse_schema, text))
    version = options.get(VERSION_PREFIX + table_key, "0")
    if not version.isascii() or not version.isdigit() or len(version) > 18:
        raise SessionOptionError(
            f"{VERSION_PREFIX}{table_key}: {version[:40]!r} is no version", setting=VERSION_PREFIX + table_key
        )
    revert_statement = overlay.get(REVERT_OPTION)
    return Publication(
        table,
        pb.Propose(
            table=table,
            publisher=_read_option(PUBLISHER_OPTION, normalize_name, publisher),
            version=int(version),
            schema=schema,
            anew=options.get(ANEW_PREFIX + table_key) == "true",
            back=[revert_statement] if revert_statement else [],
            at_once=overlay.get(AT_ONCE_OPTION) == "true",
        ),
    )


def _read_option(setting: str, parse: Callable[..., Any], *arguments: str) -> Any:
    """Parse an option. Raises `SessionOptionError`, which names the option, if parsing fails."""
    try:
        return parse(*arguments)
    except (SchemaTextError, SchemaError) as exc:
        raise SessionOptionError(f"{setting}: {exc}", setting=setting, **exc.facts) from None
