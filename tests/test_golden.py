"""What an older version wrote is read, and every wire carries the same bytes as before.

The data were taken by running version 0.8.0 as it was before its packages were renamed.
"""

import base64
import json
from pathlib import Path

import golden
import pytest

DATA = Path(__file__).parent / "data" / "golden"
TORN = 7  # bytes that the power cut off the last write; a record's end and its checksum lie there


def taken(name):
    return json.loads((DATA / f"{name}.json").read_text(encoding="utf-8"))


@pytest.fixture
def folder():
    kept = taken("folder")
    files = {path: base64.b64decode(data) for path, data in kept["files"].items()}
    return files, base64.b64decode(kept["state"])


@pytest.mark.parametrize("scene", golden.SCENES)
def test_bytes_names_and_commands_are_those_of_the_version_before(scene):
    assert json.loads(json.dumps(golden.SCENES[scene]())) == taken(scene)


def test_a_member_reads_the_folder_of_the_version_before_and_goes_on(folder):
    files, state = folder
    assert len([path for path in files if path.startswith("log-")]) > 2
    (index, term, first), (later, next_term, second) = golden.read_folder(files)
    assert (index, first) == (golden.LAST, state)
    assert later == index + 1 and next_term == term + 1 and second != b""


def test_a_folder_whose_last_write_was_torn_is_read_up_to_the_write_before(folder):
    files, state = folder
    (index, _, first), (later, _, _) = golden.read_folder(files, torn=TORN)
    assert index == golden.LAST - 1 and first != state
    assert later == index + 1


def test_a_member_writes_the_same_folder_as_the_version_before(folder):
    files, state = folder
    assert golden.write_folder() == (files, state)
