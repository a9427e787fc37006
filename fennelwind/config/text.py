"""Where the fields of a protobuf text file stand, so that problems are told with line and column.

The text is walked once by protobuf's own tokenizer; its values are parsed by protobuf.
"""

import re
from typing import Any, NamedTuple

from google.protobuf import text_format
from google.protobuf.descriptor import Descriptor, FieldDescriptor
from google.protobuf.message import Message

from fennelwind.errors import FennelwindError

FieldPath = tuple[Any, ...]


class Problem(NamedTuple):
    """What is wrong, and where: line and column count from 1; 0 where nothing is there to point at."""

    line: int
    column: int
    text: str


class SettingsError(FennelwindError):
    """Settings that can't be used, with all that is wrong with them."""

    code = "settings-unusable"
    advice = (
        "Mend each place that is named (file:line:column) and try again with `fennelwind check`; "
        "docs/operators/controller.md tells what each field means."
    )

    def __init__(self, name: str, problems: list[Problem]) -> None:
        self.name, self.problems = name, sorted(problems)
        super().__init__(
            "\n".join(f"{name}:{p.line}:{p.column}: {p.text}" for p in self.problems),
            file=name,
            problems=len(problems),
        )


def reason(exc: text_format.ParseError) -> str:
    """Return what protobuf says without the place, which is told apart."""
    return re.sub(r"^\d+:\d+ : ", "", str(exc))


def field_places(text: str, top: Descriptor) -> tuple[dict[FieldPath, tuple[int, int]], list[Problem]]:
    """Return where each field stands, by its path, and the names that are unknown."""
    places: dict[FieldPath, tuple[int, int]] = {}
    problems: list[Problem] = []
    tokens = text_format.Tokenizer(text.split("\n"))

    def here() -> tuple[int, int]:
        return tokens._line + 1, tokens._column + 1  # noqa: SLF001 - it tells its place in no other way

    def skip_value() -> None:
        depth = 0
        while not tokens.AtEnd():
            token = tokens.token
            depth += (token in ("{", "<", "[")) - (token in ("}", ">", "]"))
            if depth < 0:
                return
            tokens.NextToken()
            if depth == 0 and tokens.token not in ("{", "<", "["):
                return

    def message(descriptor: Descriptor, path: FieldPath, closing: str) -> None:
        counts: dict[str, int] = {}
        while not tokens.AtEnd() and tokens.token != closing:
            place = here()
            label = tokens.ConsumeIdentifier()
            found: FieldDescriptor | None = descriptor.fields_by_name.get(label)
            colon = tokens.TryConsume(":")
            if found is None:
                known = ", ".join(sorted(descriptor.fields_by_name))
                problems.append(
                    Problem(*place, f"{label}: no such field of {descriptor.name}; it has {known}")
                )
                skip_value()
            elif found.message_type is not None and tokens.token in ("{", "<"):
                inner = path + (label, counts.get(label, 0)) if found.is_repeated else path + (label,)
                counts[label] = counts.get(label, 0) + 1
                places[inner] = place
                end = "}" if tokens.token == "{" else ">"
                tokens.NextToken()
                message(found.message_type, inner, end)
                if not tokens.TryConsume(end):
                    raise tokens.ParseErrorPreviousToken(f"{label}: {end!r} is missing")
            elif not colon:
                raise tokens.ParseError(f"{label}: ':' is missing")
            else:
                index = counts.get(label, 0)
                counts[label] = index + 1
                places[path + ((label, index) if found.is_repeated else (label,))] = place
                skip_value()
            _ = tokens.TryConsume(",") or tokens.TryConsume(";")

    try:
        message(top, (), "")
    except text_format.ParseError as exc:
        problems.append(Problem(exc.GetLine() or 0, exc.GetColumn() or 0, reason(exc)))
    return places, problems


class Places:
    """Collects problems at fields of a parsed message."""

    def __init__(self, places: dict[FieldPath, tuple[int, int]]) -> None:
        self.places = places
        self.problems: list[Problem] = []

    def wrong(self, path: FieldPath, text: str) -> None:
        """Note a problem at a field, or at the closest thing around it that stands in the text."""
        place = path
        while place and place not in self.places:
            place = place[:-1]
        self.problems.append(Problem(*self.places.get(place, (0, 0)), text))


def parse(text: str, name: str, message: Message) -> dict[FieldPath, tuple[int, int]]:
    """Parse the text into the message; return where its fields stand. Raises `SettingsError`."""
    places, problems = field_places(text, message.DESCRIPTOR)
    if not problems:
        try:
            text_format.Parse(text, message)
        except text_format.ParseError as exc:
            problems.append(Problem(exc.GetLine() or 0, exc.GetColumn() or 0, reason(exc)))
    if problems:
        raise SettingsError(name, problems)
    return places
