"""The group of tables out of a statement: the number behind the underscore in its schema's name.

One pass over the text by one expression whose branches never go back over what they took, so the time is
linear; strings and comments are skipped as wholes, and whatever can't be read names no group.
"""

import re

UNGROUPED_SCHEMA = "staging"  # holds data that is being loaded; it belongs to no group
MAX_GROUP = 10**6  # larger numbers name no group that an engine could keep warm

# In turn: a line's comment, a block's comment, a string, a quoted name, a name, any other sign.
TOKEN = re.compile(
    r"""--[^\n]*|/\*(?:[^*]|\*(?!/))*(?:\*/)?|'(?:[^']|'')*'?|"((?:[^"]|"")*)"?"""
    r"""|`([^`]*)`?|([A-Za-z_\u0080-\U0010ffff][\w$]*)|(\s+)|(.)""",
    re.S,
)
ENDS_WITH_NUMBER = re.compile(r".*_([0-9]{1,7})", re.S)


def table_group(statement: str) -> int | None:
    """Return the group of tables that the statement reads or writes; None if it names none."""
    before: str | None = None  # a name that a full stop may follow
    dotted = False
    for token in TOKEN.finditer(statement):
        if token.lastindex is None or token.lastindex == 4:
            continue  # a comment, a string or white space
        if token.lastindex < 4:
            name = (token[1] or "").replace('""', '"') if token.lastindex == 1 else token[token.lastindex]
            if dotted and before is not None:
                group = _group(before)
                if group is not None:
                    return group
            before, dotted = name, False
        elif token[5] == ".":
            dotted = before is not None
        else:
            before, dotted = None, False
    return None


def _group(schema: str) -> int | None:
    if schema.lower() == UNGROUPED_SCHEMA:
        return None
    found = ENDS_WITH_NUMBER.fullmatch(schema)
    return int(found[1]) if found is not None and int(found[1]) < MAX_GROUP else None
