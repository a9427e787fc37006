"""Pages of a result, cut as clients ask for them."""

from collections import deque

from fennelwind.dispatch.types import Result
from fennelwind.engines.row_stream import StreamLostError
from fennelwind.thrift import hiveserver2 as hs2
from fennelwind.thrift.codec import Structure
from fennelwind.thrift.hiveserver2 import row_count


def cut(page: Structure, start: int, stop: int) -> Structure:
    """Return the rows from start to before stop as a page of its own."""
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


VALUES = {
    "boolVal": "TBoolValue",
    "byteVal": "TByteValue",
    "i16Val": "TI16Value",
    "i32Val": "TI32Value",
    "i64Val": "TI64Value",
    "doubleVal": "TDoubleValue",
    "stringVal": "TStringValue",
    "binaryVal": "TStringValue",
}  # columns -> the values of rows; binary ones go as strings there


def by_rows(page: Structure) -> Structure:
    """Return a page that comes by columns as one by rows, for protocols before V6."""
    made = []
    for column in page.columns or ():
        for field in column.FIELDS:
            values = getattr(column, field.name)
            if values is not None:
                name = "stringVal" if field.name == "binaryVal" else field.name
                value, nulls = hs2.CODECS[VALUES[field.name]].make, values.nulls or b""
                made.append(
                    [
                        hs2.make("TColumnValue", **{name: value(None if null(nulls, i) else each)})
                        for i, each in enumerate(values.values)
                    ]
                )
    rows = [hs2.make("TRow", colVals=list(row)) for row in zip(*made, strict=True)]
    return hs2.TRowSet(startRowOffset=page.startRowOffset or 0, rows=rows)


def null(nulls: bytes, row: int) -> bool:
    """Tell whether a column's bits of nulls name a row; trailing zeros may be left out."""
    return row >> 3 < len(nulls) and nulls[row >> 3] >> (row & 7) & 1 == 1


def text_page(start: int, lines: list[str]) -> Structure:
    """Return lines as a page of one text column."""
    column = hs2.make("TStringColumn", values=[line.encode() for line in lines], nulls=b"")
    return hs2.TRowSet(startRowOffset=start, rows=[], columns=[hs2.TColumn(stringVal=column)])


class Reader:
    """Reads a result page by page; `first` starts anew, as FETCH_FIRST asks.

    Pages that a client asks for as they came pass through undecoded. Those of a stream are let go when they
    were read, so an answer that has flowed can't be started anew.
    """

    def __init__(self, result: Result) -> None:
        self.pages, self.stream = deque(result.pages), result.stream
        self.counts = deque(row_count(page) for page in result.pages)
        self._shape = result.pages[:1]  # what columns there are
        self.flows = result.stream is not None
        self.rows = 0  # read so far
        self._page = self._row = 0

    @property
    def waits(self) -> bool:
        """Whether the next rows are still at the engine."""
        return self.stream is not None and self._page >= len(self.pages)

    def first(self) -> None:
        """Start with the first row. Raises `StreamLostError` if it has flowed by."""
        if self.flows and self.rows:
            raise StreamLostError("a large answer can be read once only")
        self._page = self._row = self.rows = 0

    def next(self, most: int) -> tuple[Structure, bool]:
        """Return up to `most` next rows, and whether there are more. Raises `StreamLostError`."""
        while True:
            while self._page < len(self.pages) and self._row >= self.counts[self._page]:
                self._turn()
            if self._page < len(self.pages):
                break
            if self.stream is None:
                return self._empty(), False
            page, more = self.stream.next()
            if page is not None:
                self.pages.append(page)
                self.counts.append(row_count(page))
            if not more:
                self.stream = None
        page, count = self.pages[self._page], self.counts[self._page]
        start, stop = self._row, min(count, self._row + most)
        self._row, self.rows = stop, self.rows + stop - start
        if stop == count:
            self._turn()
        rows = page if (start, stop) == (0, count) else cut(page, start, stop)
        left = any(self.counts[i] for i in range(self._page, len(self.counts))) if not self._row else True
        return rows, left or self.stream is not None

    def _empty(self) -> Structure:
        """Return a page without rows. Only now a page is decoded for it; most readers stop before."""
        columns = cut(self._shape[0], 0, 0).columns if self._shape else []
        return hs2.TRowSet(startRowOffset=0, rows=[], columns=columns)

    def _turn(self) -> None:
        self._row = 0
        if self.stream is None:
            self._page += 1
        else:
            self.pages.popleft()
            self.counts.popleft()
