"""A client of the service for Python programs: DB-API 2.0 (PEP 249), blocking, for one thread a connection.

    from fennelwind import client

    with client.connect("127.0.0.1", 10000, user="ann", password="...") as there:
        cursor = there.cursor()
        cursor.execute("select * from t where a = %(a)s", {"a": 7}, timeout_s=20)
        for row in cursor:
            ...

What is beyond the specification: a time-out for each statement, told to the server as well; refused
statements are put again by themselves, after the time the server names, with jitter and as long as the
time-out allows; what may be repeated (`repeatable=True`) is put again by name, so that it joins what still
runs; `Cursor.cancel` from another thread.
"""

from fennelwind.client.connection import Connection, connect
from fennelwind.client.cursor import Cursor
from fennelwind.client.errors import (
    CancelledError,
    DatabaseError,
    DataError,
    Error,
    FailedError,
    IntegrityError,
    InterfaceError,
    InternalError,
    NotSupportedError,
    OperationalError,
    ProgrammingError,
    RefusedError,
    Warning,
)
from fennelwind.client.types import BINARY, DATETIME, NUMBER, ROWID, STRING, Binary, Date, Time, Timestamp

apilevel = "2.0"
threadsafety = 1  # threads may share the module, not connections
paramstyle = "pyformat"

__all__ = [
    "BINARY",
    "Binary",
    "CancelledError",
    "Connection",
    "Cursor",
    "DATETIME",
    "DataError",
    "DatabaseError",
    "Date",
    "Error",
    "FailedError",
    "IntegrityError",
    "InterfaceError",
    "InternalError",
    "NUMBER",
    "NotSupportedError",
    "OperationalError",
    "ProgrammingError",
    "ROWID",
    "RefusedError",
    "STRING",
    "Time",
    "Timestamp",
    "Warning",
    "apilevel",
    "connect",
    "paramstyle",
    "threadsafety",
]
