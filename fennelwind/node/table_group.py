"""Extracts the table group of a statement: the number after the underscore in a schema's name.

A regular expression that never backtracks over matched text scans the statement once, so the time is linear.
Strings and comments are skipped, and text that can't be parsed names no group.
"""

import re

UNGROUPED_SCHEMA = "staging"  # for data that is being loaded; belongs to no group
MAX_GROUP = 10**6  # larger numbers are not table groups that an engine could cache

# Alternatives: line comment, block comment, string, double-quoted name (group 1), backquoted name (group 2),
# plain name (group 3), white space (group 4), any other character (group 5).
TOKEN = re.compile(
    r"""--[^\n]*|/\*(?:[^*]|\*(?!/))*(?:\*/)?|'(?:[^']|'')*'?|"((?:[^"]|"")*)"?"""
    r"""|`([^`]*)`?|([A-Za-z_\u0080-\U0010ffff][\w$]*)|(\s+)|(.)""",
    re.S,
)
ENDS_WITH_NUMBER = re.compile(r".*_([0-9]{1,7})", re.S)


def table_group(statement: str) -> int | None:
    """Return the table group of the first qualified name whose schema has one, or None."""
    last_name: str | None = None  # the schema if a dot and a name follow
    is_after_dot = False
    for token in TOKEN.finditer(statement):
        if token.lastindex is None or token.lastindex == 4:
            continue  # a comment, a string or white space
        if token.lastindex < 4:
            name = (token[1] or "").replace('""', '"') if token.lastindex == 1 else token[token.lastindex]
            if is_after_dot and last_name is not None:
                group = _group(last_name)
                if group is not None:
                    return group
            last_name, is_after_dot = name, False
        elif token[5] == ".":
            is_after_dot = last_name is not None
        else:
            last_name, is_after_dot = None, False
    return None


def _group(schema: str) -> int | None:
    if schema.lower() == UNGROUPED_SCHEMA:
        return None
    found = ENDS_WITH_NUMBER.fullmatch(schema)
    return int(found[1]) if found is not None and int(found[1]) < MAX_GROUP else None
