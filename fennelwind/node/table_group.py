"""Extracts the table group of a statement: the number after the underscore in a schema's name.

One regular expression scans the statement once: its repetitions are possessive, so it never backtracks over
what it has passed, and the time is linear. Strings and comments are skipped, and text that can't be parsed
names no group. A schema named "staging" has no number, so it belongs to no group.
"""

import re

# Groups have numbers below 10**6; larger numbers are not table groups that an engine could cache.
_GROUP = "_(0?[0-9]{1,6})"
_NAME_START = "A-Za-z_\u0080-\U0010ffff"
_COMMENT_OR_STRING = r"--[^\n]*+|/\*(?:[^*]|\*(?!/))*+(?:\*/)?|'(?:[^']|'')*+'?"
_IGNORED = rf"(?:[ \t-\r\x1c-\x1f]\s*+|{_COMMENT_OR_STRING})"
_PLAIN_NAME = rf"[{_NAME_START}][\w$]*+"
_NAME = rf"""(?:"(?:[^"]|"")*+"?|`[^`]*+`?|{_PLAIN_NAME})"""
# A name that ends with a group: double-quoted, backquoted or plain.
_GROUPED_NAME = (
    rf"""(?:"(?:[^"]|"")*?{_GROUP}"(?!")|`[^`]*?{_GROUP}`|(?:[{_NAME_START}][\w$]*?)?{_GROUP}(?![\w$]))"""
)
_QUALIFIER = rf"""{_GROUPED_NAME}{_IGNORED}*+\.(?:{_IGNORED}*+\.)*+{_IGNORED}*+(?=["`{_NAME_START}])"""
# What comes before the first qualifier; the first two alternatives are the usual ones, without a look ahead.
_BEFORE = (
    rf"(?:{_PLAIN_NAME}(?<![0-9])|[^\s'\"`/{_NAME_START}\-]++|{_IGNORED}|(?!{_QUALIFIER}){_NAME}"
    rf"""|[^"`{_NAME_START}])*+"""
)
_STATEMENT = re.compile(_BEFORE + _QUALIFIER)


def table_group(statement: str) -> int | None:
    """Return the table group of the first qualified name whose schema has one, or None."""
    found = _STATEMENT.match(statement)
    return int(found[found.lastindex]) if found is not None and found.lastindex else None
