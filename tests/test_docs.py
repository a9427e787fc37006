"""The pages name only modules that exist."""

import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PAGES = [
    *(ROOT / name for name in ("README.md", "DEVELOPERS.md")),
    *(page for page in sorted((ROOT / "docs").rglob("*.md")) if "incidents" not in page.parts),
]  # incidents and CHANGELOG.md tell what was; they keep the paths of their day
FILE = re.compile(r"(?<![\w./*-])((?:[\w-]+/)*[\w-]+\.(?:py|proto))\b")
MODULE = re.compile(r"(?<![\w./-])(fennelwind(?:\.[a-z_]\w*)+)")
SETTINGS_OF_SESSIONS = (  # names on the wire that begin like a module
    "fennelwind.at_once",
    "fennelwind.back",
    "fennelwind.fence",
    "fennelwind.publisher",
    "fennelwind.reads",
    "fennelwind.schema",
    "fennelwind.shards",
    "fennelwind.subscriber",
)


PATCH = re.compile(r"^```diff$.*?^```$", re.M | re.S)  # a change that is kept as it was


def text_of(page):
    return PATCH.sub("", page.read_text(encoding="utf-8"))


def existing_files():
    folders = ("fennelwind", "tests", "examples")
    return {str(path.relative_to(ROOT)) for name in folders for path in (ROOT / name).rglob("*.p*")}


@pytest.mark.parametrize("page", PAGES, ids=lambda page: str(page.relative_to(ROOT)))
def test_each_file_that_a_page_names_exists(page):
    files = existing_files()
    named = set(FILE.findall(text_of(page)))
    missing = sorted(name for name in named if not any(f"/{path}".endswith(f"/{name}") for path in files))
    assert not missing


@pytest.mark.parametrize("page", PAGES, ids=lambda page: str(page.relative_to(ROOT)))
def test_each_module_that_a_page_names_exists(page):
    missing = []
    for name in sorted(set(MODULE.findall(text_of(page)))):
        path = ROOT / name.replace(".", "/")
        is_module = path.is_dir() or path.with_suffix(".py").is_file()
        is_member = path.parent.is_dir() or path.parent.with_suffix(".py").is_file()  # module.name
        if not (is_module or is_member or name.startswith(SETTINGS_OF_SESSIONS)):
            missing.append(name)
    assert not missing
