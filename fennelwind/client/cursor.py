"""Cursors: statements, their rows, and what to do when they are refused or lost."""

import time
import uuid
from collections import deque
from collections.abc import Iterator, Mapping, Sequence
from contextlib import suppress
from math import ceil
from typing import TYPE_CHECKING, Any

from fennelwind.client.errors import Error, InterfaceError, OperationalError, RefusedError, error_of
from fennelwind.client.retry import Retry
from fennelwind.client.types import bind, read_page, type_name
from fennelwind.thrift import hiveserver2 as hs2
from fennelwind.thrift.codec import Structure

if TYPE_CHECKING:
    from fennelwind.client.connection import Connection

GRACE_S = 2.0  # s beyond a statement's time-out; the server answers within it
POLL_S = 0.01  # s between two looks at a server that does not hold them until there is news
PAGE_ROWS = 1000
SCHEMA = "fennelwind.schema."  # settings by which a statement changes a table; it is answered in its call
OPEN = (hs2.INITIALIZED, hs2.RUNNING, hs2.PENDING)
Parameters = Mapping[str, Any] | Sequence[Any] | None


class Cursor:
    """A cursor (PEP 249). Rows are fetched page by page as they are read."""

    arraysize = 1

    def __init__(self, connection: "Connection") -> None:
        self.connection = connection
        self.description: list[tuple[Any, ...]] | None = None
        self.rowcount = -1  # not known before all are read
        self.tries = 0  # of the last statement
        self.told: list[str] = []  # what the server said of it, warnings of a changed table among it
        self.closed = False
        self._handle: Structure | None = None
        self._life = 0
        self._rows: deque[tuple[Any, ...]] = deque()
        self._names: list[str] = []
        self._more = False
        self._until = 0.0
        self._timeout_s = connection.timeout_s

    def execute(
        self,
        operation: str,
        parameters: Parameters = None,
        *,
        timeout_s: float | None = None,
        repeatable: bool = False,
        configuration: Mapping[str, str] | None = None,
    ) -> "Cursor":
        """Run a statement and wait for its end; return the cursor.

        - `timeout_s`: seconds in which it has to be answered, told to the server as well
        - `repeatable`: it may run twice; if an answer is lost it is put again by a name of its own, and joins
          what still runs
        - `configuration`: for this statement; `fennelwind.work_ms` and the like are the server's

        Raises `RefusedError`, `FailedError`, `CancelledError`, `ProgrammingError` and the others of PEP 249.
        """
        self._ready()
        self._finish()
        statement = bind(operation, parameters)
        self._timeout_s = timeout_s if timeout_s is not None else self.connection.timeout_s
        if self._timeout_s <= 0:
            raise InterfaceError(f"a time-out of {self._timeout_s} s")
        began, said = time.monotonic(), dict(configuration or {})
        self._until = began + self._timeout_s
        if repeatable:
            said["fennelwind.request"] = uuid.uuid4().hex
        retry = Retry(self._timeout_s * 1000.0, self.connection.tries, self.connection.chance)
        while True:
            self.tries = retry.tries
            try:
                if self.connection.lost:
                    self.connection.reconnect()
                self._run(statement, said)
                return self
            except OperationalError as exc:
                spent = (time.monotonic() - began) * 1000.0
                if isinstance(exc, RefusedError):
                    wait = retry.refused(exc.retry_after_ms, spent)
                elif self.connection.lost:
                    wait = retry.lost(repeatable, spent)
                else:
                    raise
                if wait is None:
                    raise
                time.sleep(wait / 1000.0)

    def executemany(self, operation: str, seq_of_parameters: Sequence[Parameters], **more: Any) -> None:
        """Run a statement for each of the parameters; the first error ends it."""
        for parameters in seq_of_parameters:
            self.execute(operation, parameters, **more)

    def _run(self, statement: str, said: dict[str, str]) -> None:
        left = self._left()
        said = {**said, "fennelwind.timeout_ms": str(int(left * 1000))}
        beside = not any(key.startswith(SCHEMA) for key in said)
        reply = self.connection.call(
            "ExecuteStatement",
            hs2.TExecuteStatementReq(self.connection.session, statement, said, beside, ceil(left)),
            left + GRACE_S,
        )
        self.told = list(reply.status.infoMessages or ())
        if reply.operationHandle is None:  # it was done within the call, and has no rows
            return
        self._handle, self._life = reply.operationHandle, self.connection.lives
        try:
            while True:
                began = time.monotonic()
                seen = self._call("GetOperationStatus", hs2.TGetOperationStatusReq(self._handle))
                if seen.operationState not in OPEN:
                    break
                if time.monotonic() - began < POLL_S:
                    time.sleep(POLL_S)
            if seen.operationState != hs2.FINISHED:
                raise error_of(_Status(seen))
            if seen.hasResultSet:
                self._describe()
        except Error:
            self._finish()
            raise

    def _describe(self) -> None:
        schema = self._call("GetResultSetMetadata", hs2.TGetResultSetMetadataReq(self._handle)).schema
        self._names = [type_name(column) for column in schema.columns]
        self.description = [
            (column.columnName, name, None, None, None, None, True)
            for column, name in zip(schema.columns, self._names, strict=True)
        ]
        self._more, self.rowcount, self._read = True, -1, 0

    def _call(self, method: str, request: Structure) -> Structure:
        return self.connection.call(method, request, self._left() + GRACE_S)

    def _left(self) -> float:
        return max(self._until - time.monotonic(), 0.001)

    def _page(self) -> None:
        """Fetch the next page. A page has the statement's whole time-out, as its reader sets the pace."""
        if self._life != self.connection.lives or self.connection.lost:
            raise OperationalError("the connection was lost, and the rest of the rows with it", "08S01")
        self._until = time.monotonic() + self._timeout_s
        reply = self._call(
            "FetchResults",
            hs2.TFetchResultsReq(self._handle, hs2.FETCH_NEXT, max(PAGE_ROWS, self.arraysize), 0),
        )
        rows = read_page(reply.results, self._names) if reply.results is not None else []
        self._rows.extend(rows)
        self._read += len(rows)
        if not reply.hasMoreRows:
            self._more, self.rowcount = False, self._read

    def fetchone(self) -> tuple[Any, ...] | None:
        """Return the next row, None at the end."""
        self._ready()
        if self.description is None:
            raise InterfaceError("there is no result set")
        while not self._rows and self._more:
            self._page()
        return self._rows.popleft() if self._rows else None

    def fetchmany(self, size: int | None = None) -> list[tuple[Any, ...]]:
        """Return up to so many next rows; `arraysize` if nothing is said."""
        rows: list[tuple[Any, ...]] = []
        while len(rows) < (size if size is not None else self.arraysize):
            row = self.fetchone()
            if row is None:
                break
            rows.append(row)
        return rows

    def fetchall(self) -> list[tuple[Any, ...]]:
        """Return all rows that are left."""
        return list(self)

    def __iter__(self) -> Iterator[tuple[Any, ...]]:
        while (row := self.fetchone()) is not None:
            yield row

    def cancel(self) -> None:
        """Cancel the statement that runs; to be called from another thread. It ends with `CancelledError`."""
        handle = self._handle
        if handle is not None:
            with self.connection.sibling() as other:
                other.call("CancelOperation", hs2.TCancelOperationReq(handle), GRACE_S)

    def log(self) -> list[str]:
        """Return the server's log of the last statement."""
        self._ready()
        if self._handle is None:
            return []
        self._until = time.monotonic() + self._timeout_s
        return self._call("GetLog", hs2.make("TGetLogReq", operationHandle=self._handle)).log.splitlines()

    def close(self) -> None:
        """Close the cursor and its operation."""
        if not self.closed:
            self._finish()
        self.closed = True

    def setinputsizes(self, sizes: Sequence[Any]) -> None:
        """Do nothing, as the specification allows."""

    def setoutputsize(self, size: int, column: int | None = None) -> None:
        """Do nothing, as the specification allows."""

    def _ready(self) -> None:
        if self.closed or self.connection.closed:
            raise InterfaceError("the cursor is closed")

    def _finish(self) -> None:
        handle, self._handle = self._handle, None
        self.description, self._more, self.rowcount = None, False, -1
        self._rows.clear()
        if handle is not None and self._life == self.connection.lives and not self.connection.lost:
            with suppress(Error):  # it may be gone already
                self.connection.call("CloseOperation", hs2.TCloseOperationReq(handle), GRACE_S)

    def __enter__(self) -> "Cursor":
        return self

    def __exit__(self, *_: Any) -> None:
        self.close()


class _Status:
    """An operation's end in the form of a status."""

    def __init__(self, seen: Structure) -> None:
        self.infoMessages = seen.status.infoMessages
        self.sqlState, self.errorCode, self.errorMessage = seen.sqlState, seen.errorCode, seen.errorMessage
