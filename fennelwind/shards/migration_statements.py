"""The HiveQL statements of migrations, and the form of their answers.

A shard is named `TABLE/PARTITION`, its partition as Hive writes it in paths (`day=2026-12-01/hour=5`); with
nothing after the slash it is a whole table. Sources: the language manual's pages on import and export, on
`ALTER TABLE .. DROP PARTITION` and on built-in functions (`count`, `sum`, `hash`).

A partition is dropped with PURGE: in the trash it would still take space that is counted as free.
"""

from collections.abc import Sequence
from urllib.parse import unquote

# the configuration key with the lease and fencing token that a statement is sent under
FENCE = "fennelwind.fence"
TIMEOUT = "hive.query.timeout.seconds"  # Hive's own time-out, for statements whose sender is gone
MARK_TABLE = "fennelwind_mark"  # has one row on each engine's disk; another row, or none, means another disk


def quote_name(text: str) -> str:
    """Quote a name, each part of it separately, in backticks; backticks within are doubled."""
    return ".".join("`" + part.replace("`", "``") + "`" for part in text.split("."))


def quote_string(text: str) -> str:
    """Quote a string literal; backslashes and quotes are escaped."""
    return "'" + text.replace("\\", "\\\\").replace("'", "\\'") + "'"


def partition(shard: str) -> list[tuple[str, str]]:
    """Return a shard's partition as ordered pairs of column and value; empty for a whole table."""
    _, _, path = shard.partition("/")
    pairs = [part.partition("=") for part in path.split("/") if part]
    return [(unquote(column), unquote(value)) for column, _, value in pairs]


def partition_clause(shard: str) -> str:
    """Return the clause that names a shard's partition, with a leading space; "" for a whole table."""
    pairs = partition(shard)
    if not pairs:
        return ""
    return (
        " PARTITION ("
        + ", ".join(f"{quote_column(column)}={quote_string(value)}" for column, value in pairs)
        + ")"
    )


def quote_column(column: str) -> str:
    """Quote a column name, in which a dot does not separate parts."""
    return "`" + column.replace("`", "``") + "`"


def table(shard: str) -> str:
    """Return the table of a shard."""
    return shard.partition("/")[0]


def export(shard: str, path: str) -> str:
    """Return the statement that exports a replica to an empty folder that source and target both reach."""
    return f"EXPORT TABLE {quote_name(table(shard))}{partition_clause(shard)} TO {quote_string(path)}"


def load(shard: str, path: str) -> str:
    """Return the statement that imports an exported replica; it fails if the partition already exists."""
    return f"IMPORT TABLE {quote_name(table(shard))}{partition_clause(shard)} FROM {quote_string(path)}"


def drop(shard: str) -> str:
    """Return the statement that drops a replica; it has no effect where there is none."""
    if not partition(shard):
        return f"DROP TABLE IF EXISTS {quote_name(table(shard))} PURGE"
    return f"ALTER TABLE {quote_name(table(shard))} DROP IF EXISTS{partition_clause(shard)} PURGE"


def check(shard: str) -> str:
    """Return the query for a replica's row count and the sum of its row hashes, both as text.

    The sum reveals lost, duplicated, truncated and stale rows; it is no protection against forged rows.
    """
    where = " AND ".join(
        f"{quote_column(column)}={quote_string(value)}" for column, value in partition(shard)
    )
    return (
        f"SELECT CAST(COUNT(*) AS STRING), CAST(COALESCE(SUM(CAST(HASH(*) AS BIGINT)), 0) AS STRING) "
        f"FROM {quote_name(table(shard))}" + (f" WHERE {where}" if where else "")
    )


def listing(table: str, is_whole: bool) -> str:
    """Return the statement that lists a table's partitions on an engine, or the table if `is_whole`."""
    if not is_whole:
        return f"SHOW PARTITIONS {quote_name(table)}"
    database, _, plain = table.rpartition(".")
    return f"SHOW TABLES{' IN ' + quote_name(database) if database else ''} LIKE {quote_string(plain)}"


def export_folder(base: str, move: int, fence: int, attempt: int) -> str:
    """Return the export folder of one copy attempt: each needs its own, as an export needs an empty one."""
    return f"{base.rstrip('/')}/move-{move}-{fence}-{attempt}"


def mark_read() -> str:
    """Return the query for the mark on an engine's disk."""
    return f"SELECT mark FROM {quote_name(MARK_TABLE)} LIMIT 1"


def mark_write(mark: str) -> Sequence[str]:
    """Return the statements that write a mark to an engine's disk that has none."""
    return (
        f"CREATE TABLE IF NOT EXISTS {quote_name(MARK_TABLE)} (mark STRING)",
        f"INSERT INTO TABLE {quote_name(MARK_TABLE)} VALUES ({quote_string(mark)})",
    )


def overlay(fence: int, timeout_ms: float) -> dict[str, str]:
    """Return a statement's configuration: the holder's fencing token and the engine's own time-out."""
    return {FENCE: f"moves:{fence}", TIMEOUT: str(max(1, round(timeout_ms / 1000.0)))}
