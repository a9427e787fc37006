"""Keeps the descriptors of a version's messages, and holds those of today against all that are kept.

    python -m fennelwind.benchmarks.descriptors check
    python -m fennelwind.benchmarks.descriptors keep VERSION [PACKAGE ...]

A version is kept when it is released: from then on an older controller may be in a fleet with newer ones.
"""

import importlib
import sys
from collections.abc import Iterator
from pathlib import Path

from google.protobuf.descriptor_pb2 import FileDescriptorProto, FileDescriptorSet

from fennelwind.errors import FennelwindError
from fennelwind.schema_compatibility.message_compatibility import Found, compare

PROGRAM = Path(__file__).parent.parent
KEPT = PROGRAM.parent / "tests" / "data" / "descriptors"


class VersionKeptError(FennelwindError):
    """A version's descriptors are kept already, and are others."""

    code = "contracts-version-kept"
    advice = "A version that was released does not change: keep today's descriptors under a new name."


def present() -> FileDescriptorSet:
    """Return the descriptors of all of the program's messages."""
    made = FileDescriptorSet()
    for path in sorted(PROGRAM.rglob("*_pb2.py")):
        name = ".".join(("fennelwind", *path.relative_to(PROGRAM).with_suffix("").parts))
        made.file.append(
            FileDescriptorProto.FromString(importlib.import_module(name).DESCRIPTOR.serialized_pb)
        )
    return made


def kept(folder: Path = KEPT) -> Iterator[tuple[str, FileDescriptorSet]]:
    """Return the versions that are kept, each with its descriptors."""
    for path in sorted(folder.glob("*.binpb")):
        yield path.stem, FileDescriptorSet.FromString(path.read_bytes())


def check() -> list[tuple[str, Found]]:
    """Return all that today's messages change for versions that are kept."""
    today = present()
    return [(version, found) for version, old in kept() for found in compare(old, today)]


def keep(version: str, packages: list[str], folder: Path = KEPT) -> Path:
    """Write today's descriptors as those of a version; packages: these only. Returns the file.

    Raises `VersionKeptError`.
    """
    today = present()
    chosen = [file for file in today.file if not packages or file.package in packages]
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / f"{version}.binpb"
    data = FileDescriptorSet(file=chosen).SerializeToString(deterministic=True)
    if path.exists() and path.read_bytes() != data:
        raise VersionKeptError(f"{path.name} is there and says otherwise", version=version)
    path.write_bytes(data)
    return path


def main(arguments: list[str]) -> int:
    """Run the command; return its exit status."""
    if arguments[:1] == ["keep"] and len(arguments) > 1:
        print(keep(arguments[1], arguments[2:]))
        return 0
    if arguments != ["check"]:
        print(__doc__)
        return 2
    found = check()
    for version, each in found:
        print(f"{'breaks' if each.breaks else 'notice'}: since {version}: {each}")
    return int(any(each.breaks for _, each in found))


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
