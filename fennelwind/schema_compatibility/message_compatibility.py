"""Checks changes of this project's Protocol Buffers messages for backward and forward compatibility.

The rules are those of the Protocol Buffers language guide ("Updating A Message Type") and of the encoding,
applied strictly: a change breaks if a value, or a field name in a settings file, is lost or misread in either
direction. Both directions count, as older and newer Raft members read the same log.
"""

from collections.abc import Iterable, Iterator
from typing import NamedTuple

from google.protobuf.descriptor_pb2 import (
    DescriptorProto,
    EnumDescriptorProto,
    FieldDescriptorProto,
    FileDescriptorProto,
    FileDescriptorSet,
)

GUIDE = "Protocol Buffers language guide: Updating A Message Type"
ENCODING = "Protocol Buffers encoding"
ENUMS = "Protocol Buffers language guide: Enumerations"
_END_OF_FIELD_NUMBERS = 1 << 29  # exclusive end of the valid field numbers


class Rule(NamedTuple):
    """A compatibility rule; `remedy` says what to do instead."""

    breaks: bool
    description: str
    source: str
    remedy: str


_NEW_NUMBER = "Give the new field a number that was never used; leave the old one where it is, or reserve it."
_RESERVE = "Reserve its number and its name."
_KEEP_AND_ADD = "Leave it as it is, and add another beside it."
RULES = {
    "file-removed": Rule(True, "a file was removed, with its messages", GUIDE, _KEEP_AND_ADD),
    "syntax": Rule(
        True,
        "the syntax differs: absent fields and unknown values are handled differently",
        GUIDE,
        _KEEP_AND_ADD,
    ),
    "message-removed": Rule(
        True, "a message was removed", GUIDE, "Keep it as long as an older version may send it."
    ),
    "field-removed": Rule(True, "a field was removed without reserving its number and name", GUIDE, _RESERVE),
    "number-reused": Rule(
        True,
        "the number belongs to another field: older versions mistake one for the other",
        GUIDE,
        _NEW_NUMBER,
    ),
    "reserved-used": Rule(True, "a number or name that was reserved is used", GUIDE, _NEW_NUMBER),
    "reserve-dropped": Rule(
        True, "a number or name is no longer reserved and may be reused", GUIDE, _RESERVE
    ),
    "type-changed": Rule(
        True, "values of this type are not read or are truncated by the other version", ENCODING, _NEW_NUMBER
    ),
    "label-changed": Rule(
        True,
        "a single field became repeated or the reverse: the other version reads none or only the last value",
        ENCODING,
        _NEW_NUMBER,
    ),
    "required": Rule(
        True,
        "required: a version that does not send it is not read at all",
        GUIDE,
        "Make it optional, and check for it where it is used.",
    ),
    "default-changed": Rule(
        True, "an absent value has different meanings in the two versions", GUIDE, _KEEP_AND_ADD
    ),
    "oneof-moved": Rule(
        True,
        "a field moved into or out of a oneof: setting it clears others in one version only",
        GUIDE,
        _NEW_NUMBER,
    ),
    "enum-removed": Rule(
        True, "an enumeration was removed", ENUMS, "Keep it as long as a field of an older version has it."
    ),
    "enum-zero": Rule(
        True,
        "the value 0 stands for an absent field and has another meaning now",
        ENUMS,
        "Leave the value 0 as it was.",
    ),
    "value-removed": Rule(True, "a value was removed without reserving its number", ENUMS, _RESERVE),
    "value-reused": Rule(
        True,
        "the number has another name: settings and the other version mean something else",
        ENUMS,
        "Give the new value a number that was never used.",
    ),
    "oneof-grown": Rule(
        False,
        "a oneof has an additional field: an older version sees none set",
        GUIDE,
        "Send it only when all members know it.",
    ),
    "value-added": Rule(
        False,
        "an enumeration has an additional value: an older version knows only its number",
        ENUMS,
        "Send it only when all members know it.",
    ),
    "field-retired": Rule(
        False,
        "a field was removed and reserved: values sent by an older version are ignored",
        GUIDE,
        "Remove it only when no version in a fleet sends it any more.",
    ),
    "value-retired": Rule(
        False,
        "a value was removed and reserved: an older version may still send its number",
        ENUMS,
        "Remove it only when no version in a fleet sends it any more.",
    ),
    "presence": Rule(False, "only one version records whether the field was set", GUIDE, _KEEP_AND_ADD),
}


class Found(NamedTuple):
    """A rule that applies at a place, such as `package.Message.field`."""

    rule: str
    place: str

    @property
    def breaks(self) -> bool:
        """Whether the change is incompatible."""
        return RULES[self.rule].breaks

    def __str__(self) -> str:
        rule = RULES[self.rule]
        return f"{self.place}: {rule.description}. {rule.remedy}"


def compare(old: FileDescriptorSet, new: FileDescriptorSet) -> list[Found]:
    """Return the findings of a new set of descriptors against an old one, ordered by place."""
    findings: list[Found] = []
    new_files = {file.name: file for file in new.file}
    messages, enums = dict(_iterate_messages(new.file)), dict(_iterate_enums(new.file))
    for file in old.file:
        current = new_files.get(file.name)
        if current is None:
            findings.append(Found("file-removed", file.name))
            continue
        if (current.syntax or "proto2", current.edition) != (file.syntax or "proto2", file.edition):
            findings.append(Found("syntax", file.name))
        for name, message in _iterate_messages([file]):
            _compare_message(name, message, messages.get(name), findings)
        for name, enum in _iterate_enums([file]):
            _compare_enum(name, enum, enums.get(name), findings)
    return sorted(findings, key=lambda each: (each.place, each.rule))


def _iterate_messages(files: Iterable[FileDescriptorProto]) -> Iterator[tuple[str, DescriptorProto]]:
    def within(prefix: str, message: DescriptorProto) -> Iterator[tuple[str, DescriptorProto]]:
        name = f"{prefix}.{message.name}"
        yield name, message
        for nested in message.nested_type:
            yield from within(name, nested)

    for file in files:
        for message in file.message_type:
            yield from within(file.package, message)


def _iterate_enums(files: Iterable[FileDescriptorProto]) -> Iterator[tuple[str, EnumDescriptorProto]]:
    files = list(files)
    for file in files:
        for enum in file.enum_type:
            yield f"{file.package}.{enum.name}", enum
    for name, message in _iterate_messages(files):
        for enum in message.enum_type:
            yield f"{name}.{enum.name}", enum


def _reserved_ranges(message: DescriptorProto | EnumDescriptorProto) -> list[tuple[int, int]]:
    """Return reserved numbers as half-open ranges; descriptors of enumerations have inclusive ends."""
    end_offset = 1 if isinstance(message, EnumDescriptorProto) else 0
    return [(each.start, each.end + end_offset) for each in message.reserved_range]


def _is_covered(ranges: list[tuple[int, int]], first: int, end: int) -> bool:
    """Return whether the ranges cover all numbers from `first` up to but excluding `end`."""
    for start, stop in sorted(ranges):
        if start <= first < stop:
            first = stop
    return first >= end


def _compare_message(
    name: str, old: DescriptorProto, new: DescriptorProto | None, findings: list[Found]
) -> None:
    if new is None:
        findings.append(Found("message-removed", name))
        return
    ranges, names = _reserved_ranges(new), set(new.reserved_name)
    fields, by_name = {field.number: field for field in new.field}, {field.name for field in new.field}
    for start, end in _reserved_ranges(old):
        if any(start <= number < end for number in fields):
            findings.append(Found("reserved-used", name))
        elif not _is_covered(ranges, start, min(end, _END_OF_FIELD_NUMBERS)):
            findings.append(Found("reserve-dropped", name))
    if set(old.reserved_name) & by_name:
        findings.append(Found("reserved-used", name))
    elif set(old.reserved_name) - names:
        findings.append(Found("reserve-dropped", name))
    for field in old.field:
        place = f"{name}.{field.name}"
        current = fields.get(field.number)
        if current is None:
            is_reserved = _is_covered(ranges, field.number, field.number + 1) and field.name in names
            findings.append(Found("field-retired" if is_reserved else "field-removed", place))
        elif current.name != field.name:
            findings.append(Found("number-reused", place))
        else:
            _compare_field(
                place, field, _oneof_name(old, field), current, _oneof_name(new, current), findings
            )
    old_numbers = {field.number for field in old.field}
    old_oneofs = {each.name for each in old.oneof_decl}
    for field in new.field:
        if field.number not in old_numbers:
            place = f"{name}.{field.name}"
            if field.label == FieldDescriptorProto.LABEL_REQUIRED:
                findings.append(Found("required", place))
            if _oneof_name(new, field) in old_oneofs:
                findings.append(Found("oneof-grown", place))


def _oneof_name(message: DescriptorProto, field: FieldDescriptorProto) -> str:
    """Return the name of a field's oneof; "" for no oneof and the synthetic one of an optional field."""
    if not field.HasField("oneof_index") or field.proto3_optional:
        return ""
    return message.oneof_decl[field.oneof_index].name


def _compare_field(
    place: str,
    old: FieldDescriptorProto,
    old_oneof: str,
    new: FieldDescriptorProto,
    new_oneof: str,
    findings: list[Found],
) -> None:
    required = FieldDescriptorProto.LABEL_REQUIRED
    if (old.type, old.type_name) != (new.type, new.type_name):
        findings.append(Found("type-changed", place))
    if (old.label == required) != (new.label == required):
        findings.append(Found("required", place))
    elif old.label != new.label:
        findings.append(Found("label-changed", place))
    if old.default_value != new.default_value:
        findings.append(Found("default-changed", place))
    if old_oneof != new_oneof:
        findings.append(Found("oneof-moved", place))
    elif old.proto3_optional != new.proto3_optional:
        findings.append(Found("presence", place))


def _compare_enum(
    name: str, old: EnumDescriptorProto, new: EnumDescriptorProto | None, findings: list[Found]
) -> None:
    if new is None:
        findings.append(Found("enum-removed", name))
        return
    ranges = _reserved_ranges(new)
    values: dict[int, set[str]] = {}
    for value in new.value:
        values.setdefault(value.number, set()).add(value.name)
    old_numbers = {value.number for value in old.value}
    if old.value[0].number != new.value[0].number:  # the first value is the default in proto2
        findings.append(Found("enum-zero", name))
    for start, end in _reserved_ranges(old):
        if any(start <= number < end for number in values):
            findings.append(Found("reserved-used", name))
        elif not _is_covered(ranges, start, end):
            findings.append(Found("reserve-dropped", name))
    for value in old.value:
        current, place = values.get(value.number), f"{name}.{value.name}"
        if current is not None and value.name in current:
            continue
        if value.number == 0:
            findings.append(Found("enum-zero", place))
        elif current is not None:
            findings.append(Found("value-reused", place))
        else:
            is_reserved = _is_covered(ranges, value.number, value.number + 1)
            findings.append(Found("value-retired" if is_reserved else "value-removed", place))
    findings.extend(
        Found("value-added", f"{name}.{value.name}") for value in new.value if value.number not in old_numbers
    )
