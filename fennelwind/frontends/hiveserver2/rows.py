"""Reads a result as pages of the sizes that clients request, and converts pages to other formats."""

from collections import deque

from fennelwind.dispatch.types import Result
from fennelwind.engines.row_stream import StreamLostError
from fennelwind.thrift import hiveserver2 as hs2
from fennelwind.thrift.codec import Structure
from fennelwind.thrift.hiveserver2 import row_count


def slice_rows(page: Structure, start: int, stop: int) -> Structure:
    """Return the rows from `start` up to but excluding `stop` as a new page."""
    columns = []
    for column in page.columns or ():
        copy = hs2.TColumn()
        for field in column.FIELDS:
            values = getattr(column, field.name)
            if values is not None:
                bits = int.from_bytes(values.nulls or b"", "little") >> start
                bits &= (1 << (stop - start)) - 1
                nulls = bits.to_bytes((stop - start + 7) // 8, "little")
                setattr(copy, field.name, type(values)(values=values.values[start:stop], nulls=nulls))
        columns.append(copy)
    return hs2.TRowSet(startRowOffset=(page.startRowOffset or 0) + start, rows=[], columns=columns)


ROW_VALUE_STRUCTURES = {
    "boolVal": "TBoolValue",
    "byteVal": "TByteValue",
    "i16Val": "TI16Value",
    "i32Val": "TI32Value",
    "i64Val": "TI64Value",
    "doubleVal": "TDoubleValue",
    "stringVal": "TStringValue",
    "binaryVal": "TStringValue",
}  # field of a column -> structure of a row's value; binary columns are sent as strings


def to_row_format(page: Structure) -> Structure:
    """Return a columnar page converted to rows, for protocols before V6."""
    row_values_by_column = []
    for column in page.columns or ():
        for field in column.FIELDS:
            values = getattr(column, field.name)
            if values is not None:
                name = "stringVal" if field.name == "binaryVal" else field.name
                value, nulls = hs2.CODECS[ROW_VALUE_STRUCTURES[field.name]].make, values.nulls or b""
                row_values_by_column.append(
                    [
                        hs2.make("TColumnValue", **{name: value(None if is_null(nulls, i) else each)})
                        for i, each in enumerate(values.values)
                    ]
                )
    rows = [hs2.make("TRow", colVals=list(row)) for row in zip(*row_values_by_column, strict=True)]
    return hs2.TRowSet(startRowOffset=page.startRowOffset or 0, rows=rows)


def is_null(nulls: bytes, row: int) -> bool:
    """Return whether a row is null, by the column's bitmap, whose trailing zero bytes may be omitted."""
    return row >> 3 < len(nulls) and nulls[row >> 3] >> (row & 7) & 1 == 1


def text_page(start: int, lines: list[str]) -> Structure:
    """Return lines as a page of one text column."""
    column = hs2.make("TStringColumn", values=[line.encode() for line in lines], nulls=b"")
    return hs2.TRowSet(startRowOffset=start, rows=[], columns=[hs2.TColumn(stringVal=column)])


class Reader:
    """Reads a result page by page; `first` goes back to the first row, for FETCH_FIRST.

    A page that is fetched in its original size is passed on without decoding. The pages of a stream are
    released once read, so a streamed result can't be read again from the start.
    """

    def __init__(self, result: Result) -> None:
        self.pages, self.stream = deque(result.pages), result.stream
        self.counts = deque(row_count(page) for page in result.pages)
        self._first_pages = result.pages[:1]  # a page from which the columns of an empty page are taken
        self.is_streamed = result.stream is not None
        self.rows = 0  # number of rows returned so far
        self._page = self._row = 0

    @property
    def needs_engine(self) -> bool:
        """Whether the next rows are still at the engine."""
        return self.stream is not None and self._page >= len(self.pages)

    def first(self) -> None:
        """Restart at the first row. Raises `StreamLostError` if rows of a stream were already read."""
        if self.is_streamed and self.rows:
            raise StreamLostError("a large answer can be read once only")
        self._page = self._row = self.rows = 0

    def next(self, max_rows: int) -> tuple[Structure, bool]:
        """Return at most `max_rows` next rows, and whether more follow. Raises `StreamLostError`."""
        while True:
            while self._page < len(self.pages) and self._row >= self.counts[self._page]:
                self._next_page()
            if self._page < len(self.pages):
                break
            if self.stream is None:
                return self._empty_page(), False
            page, more = self.stream.next()
            if page is not None:
                self.pages.append(page)
                self.counts.append(row_count(page))
            if not more:
                self.stream = None
        page, count = self.pages[self._page], self.counts[self._page]
        start, stop = self._row, min(count, self._row + max_rows)
        self._row, self.rows = stop, self.rows + stop - start
        if stop == count:
            self._next_page()
        rows = page if (start, stop) == (0, count) else slice_rows(page, start, stop)
        has_more_pages = (
            any(self.counts[i] for i in range(self._page, len(self.counts))) if not self._row else True
        )
        return rows, has_more_pages or self.stream is not None

    def _empty_page(self) -> Structure:
        """Return a page without rows. This decodes a page to get its columns, which few clients need."""
        columns = slice_rows(self._first_pages[0], 0, 0).columns if self._first_pages else []
        return hs2.TRowSet(startRowOffset=0, rows=[], columns=columns)

    def _next_page(self) -> None:
        self._row = 0
        if self.stream is None:
            self._page += 1
        else:
            self.pages.popleft()
            self.counts.popleft()
