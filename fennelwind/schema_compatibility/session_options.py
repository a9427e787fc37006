"""What sessions say: who subscribes to what, in OpenSession's configuration; what a publisher changes, in its
statement's overlay. Texts in, commands out; no parser of statements.

    fennelwind.subscriber = nightly-report
    fennelwind.subscriber.term_s = 86400
    fennelwind.reads.sales.orders = id bigint not null, total decimal(10,2) by name
    fennelwind.reads.sales.items = * by place

    fennelwind.publisher = orders-load
    fennelwind.schema.sales.orders = id bigint not null, total decimal(12,2), note string default ''
    fennelwind.schema_version.sales.orders = 4711
    fennelwind.back = ALTER TABLE sales.orders REPLACE COLUMNS (...)

`by name` (if nothing is said): the statement names its columns, or takes them from the result by name. `by
place`: it takes the row's columns at the places where they stand in the list, or at the places that are
written ahead of them (`1 id bigint, 4 note string by place`), and passes over the others. `* by name`: all
columns that are there now, by name. `* by place`: whole rows of the width that they have now.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from functools import lru_cache
from typing import Any

from fennelwind.errors import FennelwindError
from fennelwind.schema_compatibility import contracts_pb2 as pb
from fennelwind.schema_compatibility.messages import READS_MOST, reads_message, schema_message
from fennelwind.schema_compatibility.rules import FIRST, NEWEST, RULES_VERSION, Read, Reads
from fennelwind.schema_compatibility.types import (
    READS_GRAMMAR,
    SchemaError,
    SchemaTextError,
    fold,
    parse_schema,
    parsed,
    quoted,
    table_name,
)

SUBSCRIBER, PUBLISHER, BACK = "fennelwind.subscriber", "fennelwind.publisher", "fennelwind.back"
TERM, AT_ONCE = "fennelwind.subscriber.term_s", "fennelwind.at_once"
READS, SCHEMA = "fennelwind.reads.", "fennelwind.schema."
VERSION, ANEW = "fennelwind.schema_version.", "fennelwind.anew."
GONE = "dropped"  # in place of a schema: the table goes
READS_TEXT_MOST = 8192  # letters of what is read of one table, as of any setting of a session
TERM_S = 24 * 3600.0  # s that a subscription holds without being renewed, where nothing is said
PLACE_MOST = 2000  # as many as there may be columns


class SessionOptionError(FennelwindError):
    """What a session says of itself can't be taken."""

    code = "contracts-said"
    advice = (
        "Correct the setting that the error names; docs/operators/contracts.md shows each with an "
        "example. A session that says nothing of what it reads is served as before."
    )


@dataclass(frozen=True, slots=True)
class Subscription:
    """Who a session is, and what it reads."""

    name: str
    version: int  # of the protocol, 1 to 11
    reads: tuple[Reads, ...]
    term_s: float = TERM_S

    def command(self) -> pb.ContractCommand:
        """Return the command that registers it."""
        told = pb.Register(
            name=self.name,
            version=self.version,
            term_ms=int(self.term_s * 1000),
            reads=map(reads_message, self.reads),
        )
        return pb.ContractCommand(rules=RULES_VERSION, register=told)


@dataclass(frozen=True, slots=True)
class Publication:
    """A change that a statement brings along; `proposal` lacks the engines, which the fleet knows."""

    table: str
    proposal: pb.Propose

    def command(self, engines: tuple[str, ...], forward: tuple[str, ...]) -> pb.ContractCommand:
        """Return the command that has it judged and admitted, for these engines by these statements."""
        told = pb.Propose()
        told.CopyFrom(self.proposal)
        told.engines.extend(engines)
        told.forward.extend(forward)
        return pb.ContractCommand(rules=RULES_VERSION, propose=told)


@lru_cache(maxsize=1024)
def parse_reads(table: str, text: str) -> Reads:
    """Read what is read of one table; a program's sessions all say the same.

    Raises `SchemaTextError`, `SchemaError`.
    """
    if len(text) > READS_TEXT_MOST:
        raise SchemaTextError(f"{len(text)} letters, where {READS_TEXT_MOST} are taken", letters=len(text))
    columns, how = parsed(READS_GRAMMAR, text)
    by_place, made, seen = how == "place", [], set()
    for at, (place, name, kind, nullable) in enumerate(columns, 1):
        if place > PLACE_MOST or (place and not by_place):
            text = f"{name}: place {place}, of 1 to {PLACE_MOST}, and only `by place`"
            raise SchemaTextError(text, place=place)
        place = place or at
        key = place if by_place else name
        if key in seen:
            raise SchemaTextError(f"{name}: {key} stands twice", column=name)
        seen.add(key)
        made.append(Read(name, kind, nullable, place if by_place else 0))
    return Reads(table, tuple(made), not made, by_place)


def reads_text(reads: Reads) -> str:
    """Return the text of what is read of one table."""
    columns = ", ".join(
        f"{f'{r.place} ' if r.place else ''}{quoted(r.name)} {r.type}{'' if r.nullable else ' not null'}"
        for r in reads.columns
    )
    return f"{'*' if reads.star else columns} by {'place' if reads.by_place else 'name'}"


def parse_subscription(
    configuration: Mapping[str, str], protocol: int, database: str = ""
) -> Subscription | None:
    """Return what a session subscribes to; None if it says nothing.

    `protocol`: the number that it opened with (`client_protocol`, 0 for V1). Raises `SessionOptionError`.
    """
    said = {key: text for key, text in configuration.items() if key.lower().startswith(READS)}
    name = configuration.get(SUBSCRIBER)
    if name is None and not said:
        return None
    if name is None:
        raise SessionOptionError(f"{READS}... without {SUBSCRIBER}", setting=SUBSCRIBER)
    if not said or len(said) > READS_MOST:
        raise SessionOptionError(f"{len(said)} tables are read, of 1 to {READS_MOST}", setting=READS)
    reads: dict[str, Reads] = {}
    for key, text in sorted(said.items()):
        table = _told(key, table_name, key[len(READS) :], database)
        if table in reads:
            raise SessionOptionError(f"{key}: {table} is named twice", setting=key)
        reads[table] = _told(key, parse_reads, table, text)
    version = min(max(protocol + 1, FIRST), NEWEST)
    return Subscription(_told(SUBSCRIBER, fold, name), version, tuple(reads.values()), _term(configuration))


def _term(configuration: Mapping[str, str]) -> float:
    text = configuration.get(TERM)
    if text is None:
        return TERM_S
    try:
        term = float(text)
    except ValueError:
        term = 0.0
    if not 0.0 < term < 1e9:
        raise SessionOptionError(f"{TERM}: {text[:40]!r} is no number of seconds", setting=TERM)
    return term


def parse_publication(overlay: Mapping[str, str], database: str = "") -> Publication | None:
    """Return the change of a table that a statement brings along; None if it says nothing.

    Raises `SessionOptionError`.
    """
    said = [key for key in overlay if key.lower().startswith(SCHEMA)]
    if not said:
        return None
    publisher = overlay.get(PUBLISHER)
    if len(said) > 1 or publisher is None:
        raise SessionOptionError(f"{len(said)} schemas, of one, by {PUBLISHER}", setting=sorted(said)[0])
    key, text = said[0], overlay[said[0]]
    table = _told(key, table_name, key[len(SCHEMA) :], database)
    told = {each.lower(): text for each, text in overlay.items()}
    named = key[len(SCHEMA) :].lower()
    schema = None
    if text.strip().lower() != GONE:
        schema = schema_message(_told(key, parse_schema, text))
    version = told.get(VERSION + named, "0")
    if not version.isascii() or not version.isdigit() or len(version) > 18:
        raise SessionOptionError(f"{VERSION}{named}: {version[:40]!r} is no version", setting=VERSION + named)
    back = overlay.get(BACK)
    return Publication(
        table,
        pb.Propose(
            table=table,
            publisher=_told(PUBLISHER, fold, publisher),
            version=int(version),
            schema=schema,
            anew=told.get(ANEW + named) == "true",
            back=[back] if back else [],
            at_once=overlay.get(AT_ONCE) == "true",
        ),
    )


def _told(setting: str, read: Callable[..., Any], *what: str) -> Any:
    """Return what is read of a setting, its errors told with the setting's name."""
    try:
        return read(*what)
    except (SchemaTextError, SchemaError) as exc:
        raise SessionOptionError(f"{setting}: {exc}", setting=setting, **exc.facts) from None
