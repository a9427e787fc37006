"""Tables' columns on a stand-in engine: the few published statements that make, change and describe them.

No I/O and no clock; a statement is carried out when its work is done. Types are kept as they are written.
"""

import re

NAME = r"((?:`[^`]+`|\w+)(?:\.(?:`[^`]+`|\w+))?)"
FORMS = {
    kind: re.compile(form, re.I | re.S)
    for kind, form in {
        "replace": rf"ALTER TABLE {NAME} REPLACE COLUMNS \((.*)\)",
        "add": rf"ALTER TABLE {NAME} ADD COLUMNS \((.*)\)",
        "create": rf"CREATE TABLE IF NOT EXISTS {NAME} \((.*)\)",
        "drop": rf"DROP TABLE IF EXISTS {NAME}",
        "describe": rf"DESCRIBE {NAME}",
    }.items()
}
COLUMNS = ("col_name", "data_type", "comment")  # of a description, as the language manual has them
NO_TABLE = "42S02"

Columns = tuple[tuple[str, str], ...]


class Schemas:
    """Tables and their columns."""

    def __init__(self) -> None:
        self.tables: dict[str, Columns] = {}
        self.changes: list[str] = []  # statements that changed something, in order

    def knows(self, statement: str) -> bool:
        """Tell whether it is a statement of these."""
        return any(form.fullmatch(statement.strip()) for form in FORMS.values())

    def run(self, statement: str) -> tuple[str, Columns]:
        """Carry it out; return an SQLSTATE, "" if it went well, and a description's rows."""
        kind, found = next(
            (kind, match) for kind, form in FORMS.items() if (match := form.fullmatch(statement.strip()))
        )
        table = found.group(1).replace("`", "").lower()
        if kind in ("create", "drop"):
            if kind == "create":
                self.tables.setdefault(table, _columns(found.group(2)))
            else:
                self.tables.pop(table, None)
        elif table not in self.tables:
            return NO_TABLE, ()
        elif kind == "describe":
            return "", self.tables[table]
        elif kind == "replace":
            self.tables[table] = _columns(found.group(2))
        else:
            self.tables[table] += _columns(found.group(2))
        self.changes.append(statement)
        return "", ()


def _columns(text: str) -> Columns:
    """Split a list of columns at its commas, but for those within types."""
    parts, depth = [""], 0
    for letter in text:
        depth += (letter in "(<") - (letter in ")>")
        if letter == "," and not depth:
            parts.append("")
        else:
            parts[-1] += letter
    named = (part.strip().partition(" ") for part in parts)
    return tuple((name.strip("`").lower(), kind.strip()) for name, _, kind in named)
