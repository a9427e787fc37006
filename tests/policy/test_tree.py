"""Limits that the readers of the module rely on."""

import re
from pathlib import Path

ROOT = Path(__file__).parent.parent.parent
MODULE = ROOT / "fennelwind" / "policy" / "gateway.py"


def test_module_is_short_enough_to_read_aloud():
    lines = [line for line in MODULE.read_text(encoding="utf-8").splitlines() if line.strip()]
    assert 100 < len(lines) <= 610


def test_lines_hold_110_characters():
    for path in sorted((ROOT / "fennelwind" / "policy").glob("*.py")):
        for line in path.read_text(encoding="utf-8").splitlines():
            assert len(line) <= 110, f"{path.name}: {line[:40]}"


def test_module_names_its_interface_at_the_top():
    assert "`fennelwind.policy`" in "".join(MODULE.read_text(encoding="utf-8").splitlines()[:3])


def test_tuned_values_stand_in_the_module_only():
    for name in (
        "policy/settings.py",
        "policy/events.py",
        "policy/actions.py",
        "policy/model.py",
        "adapter.py",
    ):
        text = (ROOT / "fennelwind" / name).read_text(encoding="utf-8")
        assert not re.findall(r"^[A-Z_]{4,} = [\d.]+$", text.replace("FINITE = 1e300", ""), re.M), name


def test_every_constant_has_a_reason():
    for line in MODULE.read_text(encoding="utf-8").splitlines():
        if re.match(r"[A-Z][A-Z_, ]+ = ", line):
            assert "  # " in line, line
