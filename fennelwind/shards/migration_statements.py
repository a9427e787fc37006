"""The statements of moves, as published HiveQL, and what their answers say.

A shard's name is `TABLE/PARTITION`, its partition as Hive writes it in paths (`day=2026-12-01/hour=5`); with
nothing behind the slash it is a whole table. Sources: the language manual's pages on import and export, on
`ALTER TABLE .. DROP PARTITION` and on built-in functions (`count`, `sum`, `hash`).

A partition is dropped with PURGE: in the trash it would still take the space that was counted as free.
"""

from collections.abc import Sequence
from urllib.parse import unquote

FENCE = "fennelwind.fence"  # the configuration that tells an engine which holder's statement this is
TIMEOUT = "hive.query.timeout.seconds"  # Hive's own end to a statement nobody waits for any more
MARK_TABLE = "fennelwind_mark"  # one row on each engine's disk: another row, or none, is another disk


def name(text: str) -> str:
    """Quote a name, its database apart: in backticks, which are doubled within."""
    return ".".join("`" + part.replace("`", "``") + "`" for part in text.split("."))


def literal(text: str) -> str:
    """Quote a string: backslashes and quotes are escaped."""
    return "'" + text.replace("\\", "\\\\").replace("'", "\\'") + "'"


def partition(shard: str) -> list[tuple[str, str]]:
    """Return a shard's partition as columns and values, in their order; none: it is a whole table."""
    _, _, path = shard.partition("/")
    pairs = [part.partition("=") for part in path.split("/") if part]
    return [(unquote(column), unquote(value)) for column, _, value in pairs]


def spec(shard: str) -> str:
    """Return the clause that names a shard's partition, with a space ahead; "": a whole table."""
    pairs = partition(shard)
    if not pairs:
        return ""
    return " PARTITION (" + ", ".join(f"{name_of(column)}={literal(value)}" for column, value in pairs) + ")"


def name_of(column: str) -> str:
    """Quote a column: a dot is part of its name."""
    return "`" + column.replace("`", "``") + "`"


def table(shard: str) -> str:
    """Return a shard's table."""
    return shard.partition("/")[0]


def export(shard: str, path: str) -> str:
    """Return what writes a copy into an empty folder that source and target both reach."""
    return f"EXPORT TABLE {name(table(shard))}{spec(shard)} TO {literal(path)}"


def load(shard: str, path: str) -> str:
    """Return what reads an exported copy in; it fails where the partition exists already."""
    return f"IMPORT TABLE {name(table(shard))}{spec(shard)} FROM {literal(path)}"


def drop(shard: str) -> str:
    """Return what takes a copy away, or does nothing where there is none."""
    if not partition(shard):
        return f"DROP TABLE IF EXISTS {name(table(shard))} PURGE"
    return f"ALTER TABLE {name(table(shard))} DROP IF EXISTS{spec(shard)} PURGE"


def check(shard: str) -> str:
    """Return what counts a copy's rows and sums their hashes, both as text.

    The sum finds lost, doubled, cut and stale rows; it is no guard against rows made to deceive.
    """
    where = " AND ".join(f"{name_of(column)}={literal(value)}" for column, value in partition(shard))
    return (
        f"SELECT CAST(COUNT(*) AS STRING), CAST(COALESCE(SUM(CAST(HASH(*) AS BIGINT)), 0) AS STRING) "
        f"FROM {name(table(shard))}" + (f" WHERE {where}" if where else "")
    )


def listing(table: str, whole: bool) -> str:
    """Return what lists a table's partitions on an engine; of a whole one, the table itself."""
    if not whole:
        return f"SHOW PARTITIONS {name(table)}"
    database, _, plain = table.rpartition(".")
    return f"SHOW TABLES{' IN ' + name(database) if database else ''} LIKE {literal(plain)}"


def folder(base: str, move: int, fence: int, attempt: int) -> str:
    """Return where an attempt's export goes: its own, as an export wants an empty folder."""
    return f"{base.rstrip('/')}/move-{move}-{fence}-{attempt}"


def mark_read() -> str:
    """Return what reads the mark on an engine's disk."""
    return f"SELECT mark FROM {name(MARK_TABLE)} LIMIT 1"


def mark_write(mark: str) -> Sequence[str]:
    """Return what marks an engine's disk, where it has no mark."""
    return (
        f"CREATE TABLE IF NOT EXISTS {name(MARK_TABLE)} (mark STRING)",
        f"INSERT INTO TABLE {name(MARK_TABLE)} VALUES ({literal(mark)})",
    )


def overlay(fence: int, timeout_ms: float) -> dict[str, str]:
    """Return a statement's configuration: the holder's fence, and when the engine itself gives it up."""
    return {FENCE: f"moves:{fence}", TIMEOUT: str(max(1, round(timeout_ms / 1000.0)))}
