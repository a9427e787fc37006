"""The group of tables out of a statement: the number behind the underscore in its schema's name.

One pass over the text by one expression whose branches never go back over what they took, so the time is
linear; strings and comments are skipped as wholes, and whatever can't be read names no group.
"""

import re

UNGROUPED_SCHEMA = "staging"  # holds data that is being loaded; it belongs to no group
MAX_GROUP = 10**6  # larger numbers name no group that an engine could keep warm

# In turn: a line's comment, a block's comment, a string, a quoted name, a name, any other sign. Groups:
# 1 double-quoted name, 2 backquoted name, 3 plain name, 4 white space, 5 any other character.
TOKEN = re.compile(
    r"""--[^\n]*|/\*(?:[^*]|\*(?!/))*(?:\*/)?|'(?:[^']|'')*'?|"((?:[^"]|"")*)"?"""
    r"""|`([^`]*)`?|([A-Za-z_\u0080-\U0010ffff][\w$]*)|(\s+)|(.)""",
    re.S,
)
ENDS_WITH_NUMBER = re.compile(r".*_([0-9]{1,7})", re.S)


def table_group(statement: str) -> int | None:
    """Return the group of tables that the statement reads or writes; None if it names none."""
    last_name: str | None = None  # a name that a full stop may follow
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
