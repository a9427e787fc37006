"""The codec compared with the public package's classes, and given invalid bytes."""

import random
import re
from struct import pack

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from impala._thrift_gen.TCLIService import ttypes
from thrift.protocol.TBinaryProtocol import TBinaryProtocol
from thrift.transport.TTransport import TMemoryBuffer

from fennelwind.thrift import hiveserver2 as hs2
from fennelwind.thrift import messages
from fennelwind.thrift.codec import Incomplete, Malformed, decode, encode, parse_fields, wire_type
from fennelwind.thrift.messages import (
    CALL,
    EXCEPTION,
    REPLY,
    Message,
    MessageScanner,
    read_message,
    write_message,
)
from fennelwind.thrift.transport import BUFFERED, FRAMED, SASL, ClientSide, Login, ServerSide

PUBLIC = {name: cls for name, cls in vars(ttypes).items() if hasattr(cls, "thrift_spec")}
TEXT_AS_BYTES = {"TStringValue", "TStringColumn"}


def public_type(code, detail):
    if code == 12:
        return detail[0].__name__
    if code == 15:
        return f"list<{public_type(detail[0], detail[1])}>"
    if code == 13:
        return f"map<{public_type(detail[0], detail[1])},{public_type(detail[2], detail[3])}>"
    return {2: "bool", 3: "byte", 4: "double", 6: "i16", 8: "i32", 10: "i64", 11: "string"}[code]


@pytest.mark.parametrize("name", sorted(PUBLIC))
def test_fields_are_declared_as_in_the_public_package(name):
    ours = {f.number: f for f in hs2.CODECS[name].make.FIELDS}
    spec = [f for f in PUBLIC[name].thrift_spec if f]
    assert spec
    for number, code, label, detail, _ in spec:
        assert (ours[number].name, ours[number].code) == (label, code)
        declared_type = re.sub(r"lazy<(\w+)>", r"\1", ours[number].type).replace("binary", "string")
        assert declared_type == public_type(code, detail)


def test_methods_of_the_public_package_are_known():
    from impala._thrift_gen.TCLIService import TCLIService

    missing = {n for n in vars(TCLIService.Iface) if n[0] != "_"} - set(hs2.METHODS)
    assert missing == set()


VALUES = {
    "bool": st.booleans(),
    "byte": st.integers(-128, 127),
    "i16": st.integers(-(2**15), 2**15 - 1),
    "i32": st.integers(-(2**31), 2**31 - 1),
    "i64": st.integers(-(2**63), 2**63 - 1),
    "double": st.floats(allow_nan=False),
    "string": st.text(max_size=8),
    "binary": st.binary(max_size=8),
}


def values(kind):
    if kind in VALUES:
        return VALUES[kind]
    if kind.startswith("list<"):
        return st.lists(values(kind[5:-1]), max_size=3)
    if kind.startswith("map<string,"):
        return st.dictionaries(st.text(max_size=4), values(kind[11:-1]), max_size=3)
    return structures(kind)


@pytest.mark.parametrize("side", [ServerSide(), ClientSide("framed")])
def test_a_frame_whose_message_ends_early_is_malformed(side):
    raw = write_message("GetInfo", CALL, 1, hs2.TGetInfoReq(None, 1))[:-2]
    with pytest.raises(Malformed, match="early"):
        side.receive(len(raw).to_bytes(4, "big") + raw)


def structures(name):
    codec = hs2.CODECS[name]
    return st.builds(
        codec.make,
        **{f.name: st.none() | values(re.sub(r"lazy<(\w+)>", r"\1", f.type)) for f in codec.make.FIELDS},
    )


ANY_STRUCTURE = st.sampled_from(sorted(hs2.TABLES)).flatmap(
    lambda name: st.tuples(st.just(name), structures(name))
)


@settings(max_examples=150, deadline=None, derandomize=True)
@given(ANY_STRUCTURE)
def test_encoding_round_trips_and_truncated_bytes_are_incomplete(drawn):
    name, value = drawn
    raw = encode(hs2.CODECS[name], value)
    assert decode(hs2.CODECS[name], raw) == (value, len(raw))
    for cut in range(0, len(raw), max(1, len(raw) // 50)):
        with pytest.raises(Incomplete):
            decode(hs2.CODECS[name], raw[:cut])


def to_public(value):
    if hasattr(value, "FIELDS"):
        cls = PUBLIC[type(value).__name__]
        known = {f[2] for f in cls.thrift_spec if f}
        fields = {f.name: to_public(getattr(value, f.name)) for f in value.FIELDS if f.name in known}
        return cls(**fields)
    if isinstance(value, list):
        return [to_public(item) for item in value]
    if isinstance(value, dict):
        return {key: to_public(item) for key, item in value.items()}
    return value


REQUEST = hs2.TExecuteStatementReq(
    sessionHandle=hs2.TSessionHandle(hs2.THandleIdentifier(b"g" * 16, b"s" * 16)),
    statement="select 1 -- ä",
    confOverlay={"a": "b"},
    runAsync=True,
)
ROWS = hs2.TFetchResultsResp(
    status=hs2.TStatus(statusCode=0, infoMessages=["x", "y"]),
    hasMoreRows=False,
    results=hs2.TRowSet(
        startRowOffset=0,
        rows=[],
        columns=[
            hs2.TColumn(i64Val=hs2.make("TI64Column", values=[1, -2, 3], nulls=b"\2")),
            hs2.TColumn(doubleVal=hs2.make("TDoubleColumn", values=[0.5, 1e300], nulls=b"")),
            hs2.TColumn(boolVal=hs2.make("TBoolColumn", values=[True, False], nulls=b"")),
            hs2.TColumn(stringVal=hs2.make("TStringColumn", values=[b"a", b"bc"], nulls=b"")),
        ],
    ),
)


@pytest.mark.parametrize("value", [REQUEST, ROWS], ids=["request", "rows"])
def test_encoding_is_compatible_with_the_public_package(value):
    name = type(value).__name__
    raw = encode(hs2.CODECS[name], value)
    theirs = PUBLIC[name]()
    theirs.read(TBinaryProtocol(TMemoryBuffer(raw)))
    buffer = TMemoryBuffer()
    theirs.write(TBinaryProtocol(buffer))
    assert decode(hs2.CODECS[name], buffer.getvalue())[0] == value


def test_unknown_fields_of_any_type_are_skipped():
    raw = encode(hs2.CODECS["TStatus"], hs2.TStatus(statusCode=3))[:-1]
    unknown_fields = (
        b"\x0d\x00\x63\x0b\x0f"
        + pack(">i", 1)
        + pack(">i", 1)
        + b"k"
        + b"\x08"
        + pack(">i", 2)
        + b"\0" * 8
        + b"\x0c\x00\x64\x02\x00\x01\x01\x00"
        + b"\x0e\x00\x65\x0b"
        + pack(">ii", 1, 0)
    )
    assert decode(hs2.CODECS["TStatus"], raw + unknown_fields + b"\0")[0] == hs2.TStatus(statusCode=3)


@pytest.mark.parametrize(
    "raw",
    [
        b"\x0b\0\3" + pack(">i", -1),  # negative length
        b"\x0f\0\2\x0b" + pack(">i", -5),  # negative count
        b"\x0f\0\2\x08" + pack(">ii", 1, 0),  # a list of another type
        b"\x63\0\x09",  # unknown type
    ],
    ids=["length", "count", "element", "type"],
)
def test_invalid_bytes_are_malformed(raw):
    with pytest.raises(Malformed):
        decode(hs2.CODECS["TStatus"], raw + b"\0" * 16)


def test_a_declared_length_of_2_gib_allocates_nothing():
    for raw in (b"\x0b\0\3" + pack(">i", 2**31 - 1), b"\x0f\0\2\x0b" + pack(">i", 2**31 - 1)):
        with pytest.raises(Incomplete):
            decode(hs2.CODECS["TStatus"], raw)
        side = ServerSide()
        with pytest.raises(Malformed, match="over"):
            side.receive(b"\x80\1\0\1" + pack(">i", 7) + b"GetInfo" + pack(">i", 1) + raw)


@pytest.mark.parametrize(
    "inner", [b"\x0c\0\1", b"\x0f\0\1" + b"\x0f\0\0\0\1" * 20_000], ids=["structs", "lists"]
)
def test_nesting_10000_deep_is_rejected_without_recursion(inner):
    body = inner * (10_000 if inner[0] == 12 else 1)
    raw = b"\x80\1\0\1" + pack(">i", 6) + b"Strang" + pack(">i", 1) + body
    with pytest.raises(Malformed, match="deep"):
        read_message(raw)
    with pytest.raises(Malformed, match="deep"):
        MessageScanner(1 << 24).scan(bytearray(raw))


@pytest.mark.parametrize("strict", [True, False])
@pytest.mark.parametrize("transport", [BUFFERED, FRAMED, SASL])
def test_messages_are_read_byte_by_byte_and_two_at_once(transport, strict):
    payload = write_message("ExecuteStatement", CALL, 7, REQUEST, strict)
    side = ServerSide()
    if transport == SASL:
        client = ClientSide(SASL, "ann", "secret")
        assert [event for byte in client.outgoing for event in side.receive(bytes([byte]))] == [
            Login("ann", "secret")
        ]
        assert side.accept_login() == []
        assert client.receive(bytes(side.outgoing)) == [] and client.ready
    raw = payload if transport == BUFFERED else pack(">i", len(payload)) + payload
    expected = Message("ExecuteStatement", CALL, 7, REQUEST, strict)
    got = [event for byte in raw for event in side.receive(bytes([byte]))]
    assert got == [expected]
    assert side.receive(raw + raw) == [expected, expected]
    assert side.transport == transport and side.unconsumed_bytes == 0
    assert side.wrap(payload) == raw


def test_the_scanner_never_moves_backwards():
    payload = write_message("FetchResults", REPLY, 1, ROWS)
    scanner, buf, ends = MessageScanner(1 << 20), bytearray(), []
    positions = []
    for byte in payload:
        buf.append(byte)
        ends.append(scanner.scan(buf))
        positions.append(scanner.pos)
    assert ends == [None] * (len(payload) - 1) + [len(payload)]
    assert positions == sorted(positions)


def test_an_unknown_method_is_named_and_its_body_skipped():
    raw = write_message("GetInfo", CALL, 3, hs2.TGetInfoReq(infoType=1)).replace(b"GetInfo", b"GetLost")
    assert read_message(raw) == (Message("GetLost", CALL, 3, None), len(raw))


def test_protocol_exceptions_round_trip():
    body = messages.TApplicationException("no such method", messages.UNKNOWN_METHOD)
    raw = write_message("GetLost", EXCEPTION, 3, body)
    assert read_message(raw)[0] == Message("GetLost", EXCEPTION, 3, body)


@pytest.mark.parametrize(
    "raw",
    [
        b"\x80\2\0\1" + b"\0" * 12,
        b"\x80\1\0\x09" + pack(">i", 1) + b"x" + pack(">i", 0) + b"\0",
        b"\x80\1\0\1" + pack(">i", 5000),
        b"\xff" * 64,
        b"GET / HTTP/1.1\r\n\r\n",
        b"\0\0\0\0\0\0\0\0",
        b"\1\0\0\0\6GSSAPI",
        b"\2\0\0\0\1xxxxx",
        b"\x7f\xff\xff\xff\x80\1",
    ],
)
def test_other_protocols_are_malformed(raw):
    with pytest.raises(Malformed):
        ServerSide().receive(raw)


def test_random_corruption_raises_only_malformed_or_incomplete():
    rnd, payload = random.Random(11), write_message("FetchResults", REPLY, 1, ROWS)
    outcomes = set()
    for _ in range(4000):
        raw = bytearray(payload)
        for _ in range(rnd.randint(1, 4)):
            raw[rnd.randrange(len(raw))] = rnd.randrange(256)
        for read in (lambda raw: read_message(bytes(raw)), MessageScanner(1 << 20).scan):
            try:
                read(raw)
                outcomes.add("read")
            except (Malformed, Incomplete) as exc:
                outcomes.add(type(exc).__name__)
    assert outcomes == {"read", "Malformed", "Incomplete"}


def test_invalid_tables_are_rejected():
    assert [wire_type(t) for t in ("bool", "list<i32>", "map<string,i32>", "TStatus")] == [2, 15, 13, 12]
    with pytest.raises(ValueError, match="no field"):
        parse_fields("one name i32")
