"""Compatibility of the project's own messages with older controllers of the same fleet."""

from random import Random

import pytest
from google.protobuf import descriptor_pool, message_factory
from google.protobuf.descriptor import FieldDescriptor
from google.protobuf.descriptor_pb2 import FileDescriptorSet
from google.protobuf.message import DecodeError
from grpc_tools import protoc

from fennelwind.benchmarks import descriptors
from fennelwind.schema_compatibility.message_compatibility import RULES, compare

BASE = """
syntax = "proto3";
package demo;
enum Kind { NONE = 0; ONE = 1; TWO = 2; reserved 7; }
message Inner { int32 n = 1; }
message Other { int64 n = 1; }
message Told {
  reserved 9, 20 to 29;
  reserved "gone";
  int32 n = 1;
  string text = 2;
  repeated int32 many = 3;
  oneof what { int64 x = 4; string y = 5; }
  Kind kind = 6;
  Inner inner = 7;
  map<string, int32> by = 8;
  optional int32 maybe = 10;
  bytes raw = 11;
}
"""

# Replaced text, replacement, and the rules that report it.
PLANTED = [
    ("  int32 n = 1;\n  string", "  string", "field-removed"),
    ("  int32 n = 1;\n  string", "  reserved 1;\n  string", "field-removed"),
    ("  int32 n = 1;\n  string", "  int32 m = 1;\n  string", "number-reused"),
    ("  int32 n = 1;\n  string", "  string m = 1;\n  string", "number-reused"),
    ("  string text = 2;", "  string text = 12; reserved 2;", "field-removed"),
    ("  int32 n = 1;\n  string", "  int64 n = 1;\n  string", "type-changed"),
    ("  int32 n = 1;\n  string", "  sint32 n = 1;\n  string", "type-changed"),
    ("  int32 n = 1;\n  string", "  fixed32 n = 1;\n  string", "type-changed"),
    ("string text = 2", "bytes text = 2", "type-changed"),
    ("bytes raw = 11", "string raw = 11", "type-changed"),
    ("Inner inner = 7", "Other inner = 7", "type-changed"),
    ("Kind kind = 6", "int32 kind = 6", "type-changed"),
    ("map<string, int32> by", "map<string, string> by", "type-changed"),
    ("map<string, int32> by", "map<string, Inner> by", "type-changed"),
    ("message Inner { int32 n = 1; }", "message Inner { string n = 1; }", "type-changed"),
    ("repeated int32 many", "int32 many", "label-changed"),
    ("string text = 2", "repeated string text = 2", "label-changed"),
    ("Inner inner = 7", "repeated Inner inner = 7", "label-changed"),
    ("oneof what { int64 x = 4; string y = 5; }", "int64 x = 4; string y = 5;", "oneof-moved oneof-moved"),
    ("oneof what { int64 x = 4;", "int64 x = 4; oneof what {", "oneof-moved"),
    ("  string text = 2;\n", "", "field-removed"),
    ("reserved 9, 20 to 29;", "reserved 20 to 29;", "reserve-dropped"),
    ("reserved 9, 20 to 29;", "reserved 9, 20 to 28;", "reserve-dropped"),
    ("reserved 9, 20 to 29;", "reserved 20 to 29; int32 new = 9;", "reserved-used"),
    ('reserved "gone";', "", "reserve-dropped"),
    ('reserved "gone";', "int32 gone = 30;", "reserved-used"),
    ("NONE = 0; ONE", "EMPTY = 0; ONE", "enum-zero"),
    ("ONE = 1;", "FIRST = 1;", "value-reused"),
    ("ONE = 1;", "", "value-removed"),
    ("TWO = 2; reserved 7;", "TWO = 2;", "reserve-dropped"),
    ("TWO = 2; reserved 7;", "TWO = 2; SEVEN = 7;", "reserved-used value-added"),
    ("message Other { int64 n = 1; }", "", "message-removed"),
    (
        "package demo;",
        "package other;",
        "message-removed message-removed message-removed message-removed enum-removed",
    ),
]
# Compatible changes.
HARMLESS = [
    ("bytes raw = 11;", "bytes raw = 11; string more = 12;", ""),
    ("bytes raw = 11;", 'reserved 11; reserved "raw";', "field-retired"),
    ("message Other", "message Third { int32 a = 1; }\nmessage Other", ""),
    ("reserved 9, 20 to 29;", "reserved 9 to 9, 20 to 31;", ""),
    ("reserved 9, 20 to 29;", "reserved 9, 20 to 24, 25 to 29;", ""),
    ("TWO = 2; reserved 7;", "TWO = 2; THREE = 3; reserved 7;", "value-added"),
    ("TWO = 2; reserved 7;", "reserved 7, 2;", "value-retired"),
    ("oneof what {", "oneof what { int32 z = 12;", "oneof-grown"),
    ("optional int32 maybe", "int32 maybe", "presence"),
    ("int32 n = 1;\n  string", "optional int32 n = 1;\n  string", "presence"),
]
PROTO2 = """
syntax = "proto2";
package demo;
enum Way { UP = 3; DOWN = 4; }
message Told { optional int32 n = 1 [default = 5]; optional Way way = 2; required string key = 3; }
"""
PLANTED2 = [
    ("default = 5", "default = 6", "default-changed"),
    ("required string", "optional string", "required"),
    ("optional int32", "required int32", "required"),
    ("key = 3;", "key = 3; required int32 m = 4;", "required"),
    ("UP = 3; DOWN = 4;", "DOWN = 4; UP = 3;", "enum-zero"),
    ("UP = 3;", "", "enum-zero value-removed"),
]


@pytest.fixture(scope="module")
def compiled(tmp_path_factory):
    """Return a function that compiles a text, cached."""
    folder, known = tmp_path_factory.mktemp("protos"), {}

    def compile_text(text):
        if text not in known:
            (folder / "demo.proto").write_text(text, encoding="utf-8")
            out = folder / "demo.binpb"
            status = protoc.main(["", f"-I{folder}", f"--descriptor_set_out={out}", "demo.proto"])
            assert status == 0, text
            known[text] = FileDescriptorSet.FromString(out.read_bytes())
        return known[text]

    return compile_text


def planted(base, was, now):
    assert base.count(was) == 1, was
    return base.replace(was, now)


@pytest.mark.parametrize("was, now, rule", PLANTED + HARMLESS)
def test_planted_changes_are_found_by_their_rule(compiled, was, now, rule):
    found = compare(compiled(BASE), compiled(planted(BASE, was, now)))
    assert sorted(each.rule for each in found) == sorted(rule.split())
    assert all(each.place in str(each) and RULES[each.rule].source for each in found)


@pytest.mark.parametrize("was, now, rule", PLANTED2)
def test_planted_changes_of_proto2_are_found(compiled, was, now, rule):
    found = compare(compiled(PROTO2), compiled(planted(PROTO2, was, now)))
    assert sorted({each.rule for each in found}) == sorted(rule.split())


def test_a_field_that_moves_into_a_oneof_and_another_syntax_are_found(compiled):
    moved = planted(BASE, "  string text = 2;\n", "")
    moved = planted(moved, "oneof what {", "oneof what { string text = 2;")
    assert [str(each.rule) for each in compare(compiled(BASE), compiled(moved))] == ["oneof-moved"]
    newer = planted(planted(BASE, 'syntax = "proto3"', 'edition = "2023"'), '"gone"', "gone")
    found = compare(compiled(BASE), compiled(planted(newer, "optional ", "")))
    assert "syntax" in {each.rule for each in found}


def test_every_rule_is_met_by_a_planted_change():
    met = {rule for _, _, rules in PLANTED + HARMLESS + PLANTED2 for rule in rules.split()}
    assert RULES.keys() - met == {"file-removed", "syntax"}
    assert compare(descriptors.present(), FileDescriptorSet())[0].rule == "file-removed"


# Messages written by one version and read by the other.


def message_class(descriptor_set, name):
    pool = descriptor_pool.DescriptorPool()
    for file in descriptor_set.file:
        pool.Add(file)
    return message_factory.GetMessageClass(pool.FindMessageTypeByName(name))


WHOLE = {FieldDescriptor.CPPTYPE_INT32: 31, FieldDescriptor.CPPTYPE_INT64: 63}
NATURAL = {FieldDescriptor.CPPTYPE_UINT32: 32, FieldDescriptor.CPPTYPE_UINT64: 64}


def random_value(field, random):
    if field.cpp_type in NATURAL:
        return random.randrange(1, 1 << random.randrange(1, NATURAL[field.cpp_type] + 1))
    if field.cpp_type in WHOLE:
        return random.choice((1, -1)) * random.randrange(1, 1 << random.randrange(1, WHOLE[field.cpp_type]))
    if field.cpp_type == FieldDescriptor.CPPTYPE_ENUM:
        return random.choice(field.enum_type.values).number
    if field.type == FieldDescriptor.TYPE_BYTES:
        return random.randbytes(5)
    if field.cpp_type == FieldDescriptor.CPPTYPE_STRING:
        return "".join(random.choice("abcäöü") for _ in range(4))
    return random.random() < 0.5


def fill(message, random, depth=0):
    """Set all fields to random values, one per oneof; recursive messages to a limited depth."""
    for field in message.DESCRIPTOR.fields:
        if field.containing_oneof is not None and random.random() < 0.5:
            continue
        current_value = getattr(message, field.name)
        if field.message_type is not None and field.message_type.GetOptions().map_entry:
            of = field.message_type.fields_by_name["value"]
            if of.message_type is not None:
                fill(current_value["k"], random, depth + 1)
            else:
                current_value["k"] = random_value(of, random)
        elif field.message_type is not None and depth > 5:
            continue
        elif field.is_repeated and field.message_type is not None:
            fill(current_value.add(), random, depth + 1)
        elif field.is_repeated:
            current_value.extend(random_value(field, random) for _ in range(3))
        elif field.message_type is not None:
            current_value.SetInParent()
            fill(current_value, random, depth + 1)
        else:
            setattr(message, field.name, random_value(field, random))
    return message


def message_values(message):
    """Return the values of a message by field name; enumeration values by name."""
    values = {}
    for field, what in message.ListFields():
        if field.message_type is not None and not field.is_repeated:
            what = message_values(what)
        elif field.enum_type is not None:
            named = field.enum_type.values_by_number.get(what)
            what = named.name if named is not None else what
        else:
            what = str(what)
        values[field.name] = what
    return values


def is_misread(written, reader, random):
    """Return whether the reader misreads or can't read a message of the writer."""
    message = fill(written(), random)
    try:
        read = reader.FromString(message.SerializeToString())
    except DecodeError:
        return True
    written_values, read_values = message_values(message), message_values(read)
    common = written_values.keys() & {field.name for field in reader.DESCRIPTOR.fields}
    return any(written_values[name] != read_values.get(name) for name in common) or bool(
        read_values.keys() - written_values.keys()
    )


@pytest.mark.parametrize("was, now, rule", [each for each in PLANTED + HARMLESS if "package" not in each[0]])
def test_compatible_changes_are_read_alike_by_both_versions(compiled, was, now, rule):
    random, changed = Random(7), compiled(planted(BASE, was, now))
    old, new = message_class(compiled(BASE), "demo.Told"), message_class(changed, "demo.Told")
    is_misread_by_either = any(
        is_misread(a, b, random) for _ in range(20) for a, b in ((old, new), (new, old))
    )
    breaks = any(each.breaks for each in compare(compiled(BASE), changed))
    # An enumeration value unknown to the reader is read as its number, which the rules only note.
    assert breaks or not is_misread_by_either or rule in ("value-added", "value-retired")


def test_current_messages_are_compatible_with_every_kept_version():
    versions = [version for version, _ in descriptors.kept()]
    assert versions and "0.6.0" in versions
    assert not [(version, str(found)) for version, found in descriptors.check() if found.breaks]


def test_a_version_is_kept_once(tmp_path):
    path = descriptors.keep("1.0", ["fennelwind.council"], tmp_path)
    descriptors.keep("1.0", ["fennelwind.council"], tmp_path)
    assert [version for version, _ in descriptors.kept(tmp_path)] == ["1.0"] and path.stat().st_size > 1000
    with pytest.raises(descriptors.VersionKeptError):
        descriptors.keep("1.0", ["fennelwind"], tmp_path)
