"""Which changes of the project's own messages an older controller of the same fleet can live with.

The rules are those of the Protocol Buffers language guide ("Updating A Message Type") and of its encoding, in
their strict form: what loses or mixes up a value in either direction, or a field's name in a settings file,
is broken. Older members of the record and newer ones read the same log, so both directions count.
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
_MOST = 1 << 29  # field numbers end below


class Rule(NamedTuple):
    """One rule: whether a change breaks, what it means, where it stands, what to do instead."""

    breaks: bool
    description: str
    source: str
    remedy: str


_NEW = "Give the new field a number that was never used; leave the old one where it is, or reserve it."
_RESERVE = "Reserve its number and its name."
_STAY = "Leave it as it is, and add another beside it."
RULES = {
    "file-removed": Rule(True, "a file is gone, and its messages with it", GUIDE, _STAY),
    "syntax": Rule(
        True, "the syntax is another: absent fields and unknown values are read otherwise", GUIDE, _STAY
    ),
    "message-removed": Rule(
        True, "a message is gone", GUIDE, "Keep it as long as an older version may send it."
    ),
    "field-removed": Rule(
        True, "a field is gone without its number and name being reserved", GUIDE, _RESERVE
    ),
    "number-reused": Rule(
        True, "the number bears another field: older versions read one for the other", GUIDE, _NEW
    ),
    "reserved-used": Rule(True, "a number or name that was reserved is used", GUIDE, _NEW),
    "reserve-dropped": Rule(
        True, "a number or name is no longer reserved, and may be used anew", GUIDE, _RESERVE
    ),
    "type-changed": Rule(
        True, "values of this type are not read, or cut off, by the other version", ENCODING, _NEW
    ),
    "label-changed": Rule(
        True, "one value against many: the other version reads none, or the last", ENCODING, _NEW
    ),
    "required": Rule(
        True,
        "required: a version that does not send it is not read at all",
        GUIDE,
        "Make it optional, and check for it where it is used.",
    ),
    "default-changed": Rule(True, "an absent value means one thing here and another there", GUIDE, _STAY),
    "oneof-moved": Rule(
        True,
        "a field moved into or out of a oneof: setting one clears others in one version only",
        GUIDE,
        _NEW,
    ),
    "enum-removed": Rule(
        True, "an enumeration is gone", ENUMS, "Keep it as long as a field of an older version has it."
    ),
    "enum-zero": Rule(
        True,
        "the value 0 is what an absent field means, and it means another thing now",
        ENUMS,
        "Leave the value 0 as it was.",
    ),
    "value-removed": Rule(True, "a value is gone without its number being reserved", ENUMS, _RESERVE),
    "value-reused": Rule(
        True,
        "the number has another name: settings and the other version mean something else",
        ENUMS,
        "Give the new value a number that was never used.",
    ),
    "oneof-grown": Rule(
        False,
        "a oneof has a further field: an older version sees that none is set",
        GUIDE,
        "Send it only when all members know it.",
    ),
    "value-added": Rule(
        False,
        "an enumeration has a further value: an older version knows its number alone",
        ENUMS,
        "Send it only when all members know it.",
    ),
    "field-retired": Rule(
        False,
        "a field is gone and reserved: what an older version says in it is passed over",
        GUIDE,
        "Let it go when no version in a fleet still sends it.",
    ),
    "value-retired": Rule(
        False,
        "a value is gone and reserved: an older version may still send its number",
        ENUMS,
        "Let it go when no version in a fleet still sends it.",
    ),
    "presence": Rule(False, "whether a field was set is told by one version only", GUIDE, _STAY),
}


class Found(NamedTuple):
    """What a rule says of a place: `package.Message.field`."""

    rule: str
    place: str

    @property
    def breaks(self) -> bool:
        """Whether an older version could not live with it."""
        return RULES[self.rule].breaks

    def __str__(self) -> str:
        rule = RULES[self.rule]
        return f"{self.place}: {rule.description}. {rule.remedy}"


def compare(old: FileDescriptorSet, new: FileDescriptorSet) -> list[Found]:
    """Return all that a new set of descriptors changes for who has the old one, in order of places."""
    found: list[Found] = []
    there = {file.name: file for file in new.file}
    messages, enums = dict(_messages(new.file)), dict(_enums(new.file))
    for file in old.file:
        now = there.get(file.name)
        if now is None:
            found.append(Found("file-removed", file.name))
            continue
        if (now.syntax or "proto2", now.edition) != (file.syntax or "proto2", file.edition):
            found.append(Found("syntax", file.name))
        for name, message in _messages([file]):
            _message(name, message, messages.get(name), found)
        for name, enum in _enums([file]):
            _enum(name, enum, enums.get(name), found)
    return sorted(found, key=lambda each: (each.place, each.rule))


def _messages(files: Iterable[FileDescriptorProto]) -> Iterator[tuple[str, DescriptorProto]]:
    def within(prefix: str, message: DescriptorProto) -> Iterator[tuple[str, DescriptorProto]]:
        name = f"{prefix}.{message.name}"
        yield name, message
        for nested in message.nested_type:
            yield from within(name, nested)

    for file in files:
        for message in file.message_type:
            yield from within(file.package, message)


def _enums(files: Iterable[FileDescriptorProto]) -> Iterator[tuple[str, EnumDescriptorProto]]:
    files = list(files)
    for file in files:
        for enum in file.enum_type:
            yield f"{file.package}.{enum.name}", enum
    for name, message in _messages(files):
        for enum in message.enum_type:
            yield f"{name}.{enum.name}", enum


def _reserved(message: DescriptorProto | EnumDescriptorProto) -> list[tuple[int, int]]:
    """Return reserved numbers as pairs, the second one past the end (enumerations give the last one)."""
    more = 1 if isinstance(message, EnumDescriptorProto) else 0
    return [(each.start, each.end + more) for each in message.reserved_range]


def _covered(ranges: list[tuple[int, int]], first: int, end: int) -> bool:
    """Tell whether each number from `first` to before `end` lies in one of the ranges."""
    for start, stop in sorted(ranges):
        if start <= first < stop:
            first = stop
    return first >= end


def _message(name: str, old: DescriptorProto, new: DescriptorProto | None, found: list[Found]) -> None:
    if new is None:
        found.append(Found("message-removed", name))
        return
    ranges, names = _reserved(new), set(new.reserved_name)
    fields, by_name = {field.number: field for field in new.field}, {field.name for field in new.field}
    for start, end in _reserved(old):
        if any(start <= number < end for number in fields):
            found.append(Found("reserved-used", name))
        elif not _covered(ranges, start, min(end, _MOST)):
            found.append(Found("reserve-dropped", name))
    if set(old.reserved_name) & by_name:
        found.append(Found("reserved-used", name))
    elif set(old.reserved_name) - names:
        found.append(Found("reserve-dropped", name))
    for field in old.field:
        place = f"{name}.{field.name}"
        now = fields.get(field.number)
        if now is None:
            kept = _covered(ranges, field.number, field.number + 1) and field.name in names
            found.append(Found("field-retired" if kept else "field-removed", place))
        elif now.name != field.name:
            found.append(Found("number-reused", place))
        else:
            _field(place, field, _oneof(old, field), now, _oneof(new, now), found)
    known = {field.number for field in old.field}
    before = {each.name for each in old.oneof_decl}
    for field in new.field:
        if field.number not in known:
            place = f"{name}.{field.name}"
            if field.label == FieldDescriptorProto.LABEL_REQUIRED:
                found.append(Found("required", place))
            if _oneof(new, field) in before:
                found.append(Found("oneof-grown", place))


def _oneof(message: DescriptorProto, field: FieldDescriptorProto) -> str:
    """Return the name of a field's oneof; "": it is in none, but that which only tells its presence."""
    if not field.HasField("oneof_index") or field.proto3_optional:
        return ""
    return message.oneof_decl[field.oneof_index].name


def _field(
    place: str,
    old: FieldDescriptorProto,
    was_in: str,
    new: FieldDescriptorProto,
    is_in: str,
    found: list[Found],
) -> None:
    required = FieldDescriptorProto.LABEL_REQUIRED
    if (old.type, old.type_name) != (new.type, new.type_name):
        found.append(Found("type-changed", place))
    if (old.label == required) != (new.label == required):
        found.append(Found("required", place))
    elif old.label != new.label:
        found.append(Found("label-changed", place))
    if old.default_value != new.default_value:
        found.append(Found("default-changed", place))
    if was_in != is_in:
        found.append(Found("oneof-moved", place))
    elif old.proto3_optional != new.proto3_optional:
        found.append(Found("presence", place))


def _enum(name: str, old: EnumDescriptorProto, new: EnumDescriptorProto | None, found: list[Found]) -> None:
    if new is None:
        found.append(Found("enum-removed", name))
        return
    ranges = _reserved(new)
    values: dict[int, set[str]] = {}
    for value in new.value:
        values.setdefault(value.number, set()).add(value.name)
    known = {value.number for value in old.value}
    if old.value[0].number != new.value[0].number:  # what an absent field means where it is not 0
        found.append(Found("enum-zero", name))
    for start, end in _reserved(old):
        if any(start <= number < end for number in values):
            found.append(Found("reserved-used", name))
        elif not _covered(ranges, start, end):
            found.append(Found("reserve-dropped", name))
    for value in old.value:
        now, place = values.get(value.number), f"{name}.{value.name}"
        if now is not None and value.name in now:
            continue
        if value.number == 0:
            found.append(Found("enum-zero", place))
        elif now is not None:
            found.append(Found("value-reused", place))
        else:
            kept = _covered(ranges, value.number, value.number + 1)
            found.append(Found("value-retired" if kept else "value-removed", place))
    found.extend(
        Found("value-added", f"{name}.{value.name}") for value in new.value if value.number not in known
    )
