"""What a client's session is made of, when it is not one engine's session.

A statement may run at any engine, over any link. So what `SET` and `USE` change is recorded here and
carried to the engine session that an attempt gets: configuration goes as the statement's own overlay, which
needs no state there; the database is a link's state, and `USE` is played on a link that stands elsewhere.
Temporary tables, functions, views and added resources live in one engine's session and can't be carried:
they are refused by name.
"""

import re
from dataclasses import dataclass, field

SETTINGS_MOST = 500  # settings of a session; tools set some dozens
VALUE_MOST = 8192  # letters of a setting's value
_COMMENTS = re.compile(r"\s*(?:--[^\n]*(?:\n|$)|/\*.*?\*/)", re.S)
_SET = re.compile(r"set\s+([\w.:\-]+)\s*=\s*(.*?)\s*;?\s*$", re.I | re.S)
_RESET = re.compile(r"reset\s*;?\s*$", re.I)
_USE = re.compile(r"use\s+`?(\w+)`?\s*;?\s*$", re.I)
_TEMPORARY = re.compile(
    r"(create\s+temporary\s+(?:external\s+)?(?:table|view|function|macro)"
    r"|add\s+(?:jars?|files?|archives?))\b",
    re.I,
)


class SessionError(Exception):
    """A statement that a session can't take, with its SQLSTATE."""

    def __init__(self, text: str, state: str) -> None:
        super().__init__(text)
        self.state = state


def bare(statement: str) -> str:
    """Return a statement without the blanks and comments before it."""
    start = 0
    while match := _COMMENTS.match(statement, start):
        start = match.end()
    return statement[start:].lstrip()


@dataclass(slots=True)
class SessionState:
    """Configuration and database of a session."""

    opened_with: dict[str, str] = field(default_factory=dict)
    settings: dict[str, str] = field(default_factory=dict)
    database: str = ""  # "": the engine's own first one

    def __post_init__(self) -> None:
        """Split what a client opens its session with, in Hive's words `set:NAME` and `use:database`."""
        for key, value in list(self.opened_with.items()):
            if key == "use:database":
                self.database = value
                del self.opened_with[key]
            elif key.startswith("set:"):
                name = key.removeprefix("set:").removeprefix("hiveconf:").removeprefix("hivevar:")
                self.opened_with[name] = self.opened_with.pop(key)

    def configuration(self, overlay: dict[str, str] | None) -> dict[str, str]:
        """Return what counts for a statement: the session's configuration under the statement's own."""
        return {**self.opened_with, **self.settings, **(overlay or {})}

    def take(self, statement: str) -> bool:
        """Record a statement that changes the session alone; tell if it was one. Raises `SessionError`."""
        text = bare(statement)
        word = text[:6].lower()
        if word.startswith("set") and (match := _SET.match(text)):
            self._set(match[1], match[2])
            return True
        if word.startswith("use") and (match := _USE.match(text)):
            self.database = match[1]
            return True
        if word.startswith("reset") and _RESET.match(text):
            self.settings.clear()
            return True
        if word.startswith(("create", "add")) and (match := _TEMPORARY.match(text)):
            what = " ".join(match[1].split()).lower()
            why = "it would live in one engine's session, and statements here may run at any"
            raise SessionError(f"{what}: {why}", "0A000")
        return False

    def _set(self, name: str, value: str) -> None:
        if len(value) > VALUE_MOST:
            why = f"a value of {len(value)} letters, where {VALUE_MOST} are taken"
            raise SessionError(f"set {name}: {why}", "22001")
        if name not in self.settings and len(self.settings) >= SETTINGS_MOST:
            raise SessionError(f"set {name}: {SETTINGS_MOST} settings are kept for a session", "54000")
        self.settings[name] = value
