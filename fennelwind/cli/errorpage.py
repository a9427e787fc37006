"""Makes docs/operators/errors.md from the types of errors; the command stands on that page."""

import importlib
import inspect
import pkgutil

import fennelwind
from fennelwind.errors import FennelwindError, kinds

HEAD = """# Errors, and what to do

Each error has a code that never changes, the facts in fields (in logs as JSON), and what an operator can do.
This page is made from the types: `python -m fennelwind.cli.errorpage > docs/operators/errors.md`.

| code | what happened | what to do |
| --- | --- | --- |
"""


def all_kinds() -> list[type[FennelwindError]]:
    """Import the whole program; return its types of errors in order of their codes.

    A type that only holds others together has no code of its own and is left out.
    """
    for module in pkgutil.walk_packages(fennelwind.__path__, "fennelwind."):
        if not module.name.endswith("__main__"):
            importlib.import_module(module.name)
    ours = [kind for kind in kinds() if kind.__module__.startswith("fennelwind.")]
    return [kind for kind in ours if "code" in vars(kind) or not kind.__subclasses__()]


def page() -> str:
    """Return the page."""
    rows = []
    for kind in all_kinds():
        what = " ".join(inspect.getdoc(kind).split("\n\n")[0].split())
        rows.append(f"| `{kind.code}` | {what} | {kind.advice} |\n")
    return HEAD + "".join(rows)


if __name__ == "__main__":
    print(page(), end="")
