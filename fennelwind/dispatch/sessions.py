"""The state of a client's session, independent of the engine sessions that run its statements.

A statement may run at any engine, over any connection. So the effects of `SET` and `USE` are recorded here
and applied to the engine session of each attempt: configuration is sent as the statement's overlay, which
needs no state at the engine; the database is state of an engine connection, so `USE` is replayed on a
connection that has another database. Temporary tables, functions, views and added resources exist in a single
engine's session and can't be carried over: statements that create them are rejected with an error that names
the resource. The HiveServer2 frontend is the only caller.
"""

import re
from dataclasses import dataclass, field

MAX_SETTINGS = 500  # settings per session; tools set a few dozen
MAX_VALUE_CHARS = 8192  # characters of a setting's value
SQLSTATE_NOT_SUPPORTED = "0A000"
SQLSTATE_VALUE_TOO_LONG = "22001"
SQLSTATE_LIMIT_EXCEEDED = "54000"
# Key of the database, and key prefix of the settings, that Hive's drivers send when they open a session.
DATABASE_KEY = "use:database"
SETTING_PREFIX = "set:"
VARIABLE_PREFIXES = ("hiveconf:", "hivevar:")
_COMMENTS = re.compile(r"\s*(?:--[^\n]*(?:\n|$)|/\*.*?\*/)", re.S)
_SET = re.compile(r"set\s+([\w.:\-]+)\s*=\s*(.*?)\s*;?\s*$", re.I | re.S)
_RESET = re.compile(r"reset\s*;?\s*$", re.I)
_USE = re.compile(r"use\s+`?(\w+)`?\s*;?\s*$", re.I)
_TEMPORARY = re.compile(
    r"(create\s+temporary\s+(?:external\s+)?(?:table|view|function|macro)"
    r"|add\s+(?:jars?|files?|archives?))\b",
    re.I,
)
_MAX_KEYWORD_CHARS = 6  # length of the longest keyword; the keyword rules out most statements without a regex


class SessionError(Exception):
    """A statement that a session can't accept; `state` is the SQLSTATE of the error."""

    def __init__(self, text: str, state: str) -> None:
        super().__init__(text)
        self.state = state


def strip_leading_comments(statement: str) -> str:
    """Return a statement without its leading whitespace and comments."""
    start = 0
    while match := _COMMENTS.match(statement, start):
        start = match.end()
    return statement[start:].lstrip()


@dataclass(slots=True)
class SessionState:
    """Configuration and database of a session."""

    initial_settings: dict[str, str] = field(default_factory=dict)
    settings: dict[str, str] = field(default_factory=dict)
    database: str = ""  # "" for the engine's default database

    def __post_init__(self) -> None:
        """Extract settings and database from the keys `set:NAME` and `use:database` of Hive's drivers."""
        for key, value in list(self.initial_settings.items()):
            if key == DATABASE_KEY:
                self.database = value
                del self.initial_settings[key]
            elif key.startswith(SETTING_PREFIX):
                name = key.removeprefix(SETTING_PREFIX)
                for prefix in VARIABLE_PREFIXES:
                    name = name.removeprefix(prefix)
                self.initial_settings[name] = self.initial_settings.pop(key)

    def configuration(self, overlay: dict[str, str] | None) -> dict[str, str]:
        """Return a statement's configuration: the session's settings, overridden by the overlay."""
        return {**self.initial_settings, **self.settings, **(overlay or {})}

    def apply(self, statement: str) -> bool:
        """Record a statement that only changes the session; return whether the statement does that.

        Raises `SessionError` for a statement that depends on a single engine's session, or for a setting over
        the limits.
        """
        text = strip_leading_comments(statement)
        keyword = text[:_MAX_KEYWORD_CHARS].lower()
        if keyword.startswith("set") and (match := _SET.match(text)):
            self._set(match[1], match[2])
            return True
        if keyword.startswith("use") and (match := _USE.match(text)):
            self.database = match[1]
            return True
        if keyword.startswith("reset") and _RESET.match(text):
            self.settings.clear()
            return True
        if keyword.startswith(("create", "add")) and (match := _TEMPORARY.match(text)):
            resource = " ".join(match[1].split()).lower()
            reason = "it would live in one engine's session, and statements here may run at any"
            raise SessionError(f"{resource}: {reason}", SQLSTATE_NOT_SUPPORTED)
        return False

    def _set(self, name: str, value: str) -> None:
        if len(value) > MAX_VALUE_CHARS:
            reason = f"a value of {len(value)} letters, where {MAX_VALUE_CHARS} are taken"
            raise SessionError(f"set {name}: {reason}", SQLSTATE_VALUE_TOO_LONG)
        if name not in self.settings and len(self.settings) >= MAX_SETTINGS:
            reason = f"{MAX_SETTINGS} settings are kept for a session"
            raise SessionError(f"set {name}: {reason}", SQLSTATE_LIMIT_EXCEEDED)
        self.settings[name] = value
