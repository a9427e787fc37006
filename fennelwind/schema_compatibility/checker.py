"""Living subscribers of a table against a change of its schema: who would break, by what, what instead.

Subscriptions are kept by table, and equal ones together: a program that runs two hundred times is looked at
once. A check costs as much as there are different forms of reading the one table.
"""

from typing import NamedTuple

from fennelwind.schema_compatibility.rules import (
    Finding,
    Form,
    Level,
    Memo,
    Reads,
    altered,
    judge,
    takes_whole_rows,
    worst,
)
from fennelwind.schema_compatibility.types import Schema

FormKey = tuple[Reads, int]  # what is read, and the version of the protocol


class Affected(NamedTuple):
    """Subscribers that read alike, and what a change means for them."""

    names: tuple[str, ...]  # sorted, each once
    version: int
    findings: tuple[Finding, ...]  # warnings and breaks only, gravest first

    @property
    def level(self) -> Level:
        """That of the gravest, which is the first."""
        return self.findings[0].level


class Verdict(NamedTuple):
    """What becomes of a proposed schema."""

    own: tuple[Finding, ...]  # of the change itself
    affected: tuple[Affected, ...]  # those that break first

    @property
    def level(self) -> Level:
        """Broken if any subscriber breaks; a warning if there is anything to be known."""
        return max(worst(self.own), max((each.level for each in self.affected), default=Level.ACCEPTED))


class Subscriptions:
    """Who reads which table in which form."""

    def __init__(self) -> None:
        self._tables: dict[str, dict[FormKey, dict[str, int]]] = {}  # names with how often each is there

    def add(self, name: str, version: int, reads: Reads) -> None:
        """Count a subscriber's reads of one table."""
        names = self._tables.setdefault(reads.table, {}).setdefault((reads, version), {})
        names[name] = names.get(name, 0) + 1

    def remove(self, name: str, version: int, reads: Reads) -> None:
        """Count them no longer."""
        forms = self._tables[reads.table]
        names = forms[reads, version]
        names[name] -= 1
        if not names[name]:
            del names[name]
        if not names:
            del forms[reads, version]
        if not forms:
            del self._tables[reads.table]

    def forms(self, table: str) -> dict[FormKey, dict[str, int]]:
        """Return the forms in which a table is read, each with its readers' names."""
        return self._tables.get(table, {})


def check(
    subscriptions: Subscriptions,
    table: str,
    old: Schema | None,
    new: Schema | None,
    *,
    anew: bool = False,
    publisher: str = "",
) -> Verdict:
    """Hold a change against all subscribers of its table; None: there is no table, or it goes.

    What the publisher itself reads warns it and stops nothing: it knows of the change.
    """
    form = Form(new) if new is not None else None
    own = altered(old, new, anew) if old is not None and new is not None else ()
    affected = []
    memos: dict[tuple[int, bool], Memo] = {}  # many forms read some columns alike
    for (reads, version), names in subscriptions.forms(table).items():
        memo = memos.setdefault((version, takes_whole_rows(reads)), {})
        findings = judge(reads, version, form, memo)
        if findings:
            findings = tuple(sorted((f for f in findings if f.level), key=lambda f: (-f.level, f)))
        if not findings:
            continue
        others = tuple(sorted(name for name in names if name != publisher))
        if others:
            affected.append(Affected(others, version, findings))
        if len(others) < len(names):
            mine = tuple(Finding("own", f.column, f.what) if f.level == Level.BROKEN else f for f in findings)
            affected.append(Affected((publisher,), version, mine))
    affected.sort(key=lambda each: (-each.level, each))
    return Verdict(own, tuple(affected))
