"""Source conventions of the policy package: module sizes, named constants and their reasons."""

import ast
import re
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent.parent
PACKAGE = ROOT / "fennelwind" / "policy"
MODULES = sorted(PACKAGE.glob("*.py"))
MAX_MODULE_LINES = 300
# Modules without tuning constants (settings, records, the wire), with the numeric constants that they may
# define.
MODULES_WITHOUT_TUNING = {
    "policy/settings.py": set(),
    "policy/events.py": set(),
    "policy/actions.py": set(),
    "policy/model.py": {"DEFAULT_PRIORITY"},
    "policy/gateway.py": {"FLEET_REVIEW_MS"},
    "adapter.py": set(),
    "simulator_wire.py": {
        "HAS_ESTIMATE",
        "IS_CLIENT_RETRY",
        "COST_MEMORY_BITS",
        "COST_MEMORY_UNIT_MB",
        "MAX_NUMBER",
        "MAX_QUOTED_NAME",
        "MAX_FAILURE_TEXT",
    },
}


def constants(path):
    """Yield the names and the node of each assignment at the top level of a module."""
    tree = ast.parse(path.read_text(encoding="utf-8"))
    for node in tree.body:
        if isinstance(node, ast.Assign | ast.AnnAssign):
            targets = node.targets if isinstance(node, ast.Assign) else [node.target]
            names = [name.id for target in targets for name in ast.walk(target) if isinstance(name, ast.Name)]
            yield names, node


def is_alias(value):
    """Return whether a value is a member of a public enum of the package, or a tuple of such members."""
    members = value.elts if isinstance(value, ast.Tuple) else [value]
    return all(re.fullmatch(r"policy\.\w+\.[A-Z_]+", ast.unparse(member)) for member in members)


@pytest.mark.parametrize("path", MODULES, ids=lambda path: path.stem)
def test_size_of_each_module_is_limited(path):
    assert len(path.read_text(encoding="utf-8").splitlines()) <= MAX_MODULE_LINES


def test_total_size_of_decision_modules_is_limited():
    lines = [
        line
        for path in MODULES
        if path.name not in ("__init__.py", "settings.py", "events.py", "actions.py", "model.py")
        for line in path.read_text(encoding="utf-8").splitlines()
        if line.strip()
    ]
    assert 100 < len(lines) <= 1200


def test_lines_have_at_most_110_characters():
    for path in MODULES:
        for line in path.read_text(encoding="utf-8").splitlines():
            assert len(line) <= 110, f"{path.name}: {line[:40]}"


def test_gateway_docstring_names_its_interface():
    assert "`fennelwind.policy`" in "".join(
        (PACKAGE / "gateway.py").read_text(encoding="utf-8").splitlines()[:3]
    )


@pytest.mark.parametrize("name", MODULES_WITHOUT_TUNING)
def test_tuning_constants_are_defined_only_beside_their_rules(name):
    numbers = {
        constant
        for names, node in constants(ROOT / "fennelwind" / name)
        for constant in names
        if any(
            isinstance(part, ast.Constant) and isinstance(part.value, int | float) for part in ast.walk(node)
        )
    }
    assert numbers <= MODULES_WITHOUT_TUNING[name]


@pytest.mark.parametrize("path", MODULES, ids=lambda path: path.stem)
def test_every_constant_has_a_reason(path):
    """A comment on its line or on the line above; aliases of public enum members need none."""
    lines = path.read_text(encoding="utf-8").splitlines()
    for names, node in constants(path):
        if names == ["__all__"] or names in (["Event"], ["Action"]) or is_alias(node.value):
            continue
        if isinstance(node.value, ast.Tuple) and all(is_alias(member) for member in node.value.elts):
            continue
        has_reason = "  # " in lines[node.lineno - 1] or lines[node.lineno - 2].startswith("# ")
        assert has_reason, lines[node.lineno - 1]


@pytest.mark.parametrize("path", MODULES, ids=lambda path: path.stem)
def test_numbers_in_functions_are_named_constants(path):
    """Functions use only the literals 0, 0.5, 1 and 2; other numbers are named constants."""
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if isinstance(node, ast.FunctionDef):
            for child in ast.walk(node):
                if isinstance(child, ast.Constant) and isinstance(child.value, int | float):
                    assert child.value in (0, 1, 2, 0.5), f"{path.name}:{child.lineno}"


def test_deploy_file_lists_every_decision_module():
    """The bench reads the decision modules from the files listed there; a listed folder is ignored."""
    listed = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))["policy"]
    interface = {"__init__", "settings", "events", "actions", "model"}
    rules = {f"fennelwind/policy/{path.name}" for path in MODULES if path.stem not in interface}
    assert set(listed) == rules
