"""Checks a proposed schema against the active subscriptions of its table.

Subscriptions are indexed by table and equal ones are grouped, so a program that runs two hundred times is
checked once: the cost of a check grows with the number of distinct subscriptions of the table.
"""

from typing import NamedTuple

from fennelwind.schema_compatibility.rules import (
    Finding,
    FindingCache,
    IndexedSchema,
    Level,
    Reads,
    check_alteration,
    check_reads,
    highest_level,
    takes_whole_rows,
)
from fennelwind.schema_compatibility.types import Schema

SubscriptionKey = tuple[Reads, int]  # the reader schema and the protocol version


class Affected(NamedTuple):
    """Subscribers with equal reads and protocol version, and the findings of a change for them."""

    names: tuple[str, ...]  # sorted, without duplicates
    version: int
    findings: tuple[Finding, ...]  # warnings and breaks only, most severe first

    @property
    def level(self) -> Level:
        """Severity of the most severe finding, which is the first."""
        return self.findings[0].level


class Verdict(NamedTuple):
    """The result of checking a proposed schema."""

    own: tuple[Finding, ...]  # findings of the change itself
    affected: tuple[Affected, ...]  # broken subscribers first

    @property
    def level(self) -> Level:
        """Highest level among the findings of the change and of the subscribers."""
        return max(
            highest_level(self.own), max((each.level for each in self.affected), default=Level.ACCEPTED)
        )


class Subscriptions:
    """Index of subscriptions by table, reads and protocol version."""

    def __init__(self) -> None:
        self._tables: dict[
            str, dict[SubscriptionKey, dict[str, int]]
        ] = {}  # with a count per subscriber name

    def add(self, name: str, version: int, reads: Reads) -> None:
        """Add a subscriber's reads of one table."""
        names = self._tables.setdefault(reads.table, {}).setdefault((reads, version), {})
        names[name] = names.get(name, 0) + 1

    def remove(self, name: str, version: int, reads: Reads) -> None:
        """Remove a subscriber's reads of one table, which must have been added before."""
        subscriptions = self._tables[reads.table]
        names = subscriptions[reads, version]
        names[name] -= 1
        if not names[name]:
            del names[name]
        if not names:
            del subscriptions[reads, version]
        if not subscriptions:
            del self._tables[reads.table]

    def subscribers(self, table: str) -> dict[SubscriptionKey, dict[str, int]]:
        """Return the distinct subscriptions of a table, each with a count per subscriber name."""
        return self._tables.get(table, {})


def check_change(
    subscriptions: Subscriptions,
    table: str,
    old: Schema | None,
    new: Schema | None,
    *,
    anew: bool = False,
    publisher: str = "",
) -> Verdict:
    """Check a change against all subscribers of its table; `old` is None for a new table, `new` for a drop.

    Breaks of the publisher's own subscriptions become warnings, since it knows of the change.
    """
    indexed = IndexedSchema(new) if new is not None else None
    own = check_alteration(old, new, anew) if old is not None and new is not None else ()
    affected = []
    caches: dict[tuple[int, bool], FindingCache] = {}  # shared, as many subscriptions have columns in common
    for (reads, version), names in subscriptions.subscribers(table).items():
        cache = caches.setdefault((version, takes_whole_rows(reads)), {})
        findings = check_reads(reads, version, indexed, cache)
        if findings:
            findings = tuple(sorted((f for f in findings if f.level), key=lambda f: (-f.level, f)))
        if not findings:
            continue
        others = tuple(sorted(name for name in names if name != publisher))
        if others:
            affected.append(Affected(others, version, findings))
        if len(others) < len(names):
            own_findings = tuple(
                Finding("own", f.column, f.what) if f.level == Level.BROKEN else f for f in findings
            )
            affected.append(Affected((publisher,), version, own_findings))
    affected.sort(key=lambda each: (-each.level, each))
    return Verdict(own, tuple(affected))
