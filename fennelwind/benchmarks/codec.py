"""Encoding and decoding beside Apache's package, in pure Python and with its C extension, in one run."""

import statistics
import time
from collections.abc import Callable

from fennelwind.thrift import hiveserver2 as hs2
from fennelwind.thrift.codec import Structure, decode, encode

ROWS = 1000  # of the result that is encoded and decoded
ROUNDS = 7  # the median of so many, each way in turn
ROUND_S = 0.15  # s that a round of one way takes, about


def request() -> Structure:
    """Return an ExecuteStatement request as tools send it."""
    return hs2.TExecuteStatementReq(
        sessionHandle=hs2.TSessionHandle(hs2.THandleIdentifier(b"g" * 16, b"s" * 16)),
        statement="select area, sum(use) from meter where day > '2026-01-01' group by area -- \u00e4",
        confOverlay={"fennelwind.work_ms": "120", "fennelwind.key": "k1"},
        runAsync=True,
    )


def result() -> Structure:
    """Return a page of a thousand rows of a number, a figure, a flag and a text."""
    return hs2.TFetchResultsResp(
        status=hs2.TStatus(statusCode=0, infoMessages=["x"]),
        hasMoreRows=False,
        results=hs2.TRowSet(
            startRowOffset=0,
            rows=[],
            columns=[
                hs2.TColumn(i64Val=hs2.make("TI64Column", values=list(range(ROWS)), nulls=b"")),
                hs2.TColumn(
                    doubleVal=hs2.make("TDoubleColumn", values=[i / 7 for i in range(ROWS)], nulls=b"")
                ),
                hs2.TColumn(
                    boolVal=hs2.make("TBoolColumn", values=[i % 3 == 0 for i in range(ROWS)], nulls=b"")
                ),
                hs2.TColumn(
                    stringVal=hs2.make(
                        "TStringColumn", values=[b"row %d" % i for i in range(ROWS)], nulls=b""
                    )
                ),
            ],
        ),
    )


def ways(value: Structure) -> dict[str, tuple[Callable[[], object], Callable[[], object]]]:
    """Return for each way what encodes and decodes the value. Raises `ImportError` without the packages."""
    from impala._thrift_gen.TCLIService import ttypes
    from thrift.protocol.TBinaryProtocol import TBinaryProtocol, TBinaryProtocolAccelerated
    from thrift.transport.TTransport import TMemoryBuffer

    name = type(value).__name__
    codec, raw = hs2.CODECS[name], encode(hs2.CODECS[name], value)

    def public(protocol: type) -> tuple[Callable[[], object], Callable[[], object]]:
        def read() -> object:
            there = getattr(ttypes, name)()
            there.read(protocol(TMemoryBuffer(raw)))
            return there

        there = read()

        def write() -> bytes:
            buffer = TMemoryBuffer()
            there.write(protocol(buffer))
            return buffer.getvalue()

        return write, read

    return {
        "fennelwind": (lambda: encode(codec, value), lambda: decode(codec, raw)),
        "Apache, pure Python": public(TBinaryProtocol),
        "Apache, C extension": public(TBinaryProtocolAccelerated),
    }


def rate(call: Callable[[], object]) -> float:
    """Return calls a second, over a round."""
    count, began = 0, time.perf_counter()
    while (now := time.perf_counter()) - began < ROUND_S:
        for _ in range(10):
            call()
        count += 10
    return count / (now - began)


def measure() -> list[tuple[str, str, float, float]]:
    """Return (what, way, calls a second, ratio to pure Python), medians over the rounds."""
    rows = []
    for label, value in (("ExecuteStatement request", request()), (f"result of {ROWS} rows", result())):
        there = ways(value)
        for place, direction in enumerate(("encode", "decode")):
            rates: dict[str, list[float]] = {way: [] for way in there}
            for _ in range(ROUNDS):
                for way, calls in there.items():
                    rates[way].append(rate(calls[place]))
            plain = rates["Apache, pure Python"]
            for way, values in rates.items():
                ratio = statistics.median(a / b for a, b in zip(values, plain, strict=True))
                rows.append((f"{direction} {label}", way, statistics.median(values), ratio))
    return rows
