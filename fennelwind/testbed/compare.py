"""Two variants on the same days and seeds, pair by pair.

A variant is a policy (`module`, `two`, `late:100`, ...), `commit:REV` for the decisions and controllers of
another revision under this rig, or `overlay:FILE` for other settings of the day; `@TEXT` behind any of them
gives its controllers other random numbers, by which two equal variants differ.
"""

import json
import os
import subprocess
import sys
import tarfile
import tempfile
from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass
from io import BytesIO
from pathlib import Path
from typing import Any

from fennelwind.errors import FennelwindError
from fennelwind.testbed import dayfile
from fennelwind.testbed.play import Result, deciders
from fennelwind.testbed.stats import Difference, difference

PACKAGE = Path(__file__).parent.parent
# What another revision brings along: what decides and what carries decisions out. The rig stays this one's,
# so a revision from before these packages had their names can't be played.
BROUGHT = (
    "policy",
    "adapter.py",
    "simulator_wire.py",
    "node",
    "dispatch",
    "limits",
    "recovery",
    "load_balancing",
)
LONGEST_S = 1800.0  # s for one day
METRICS = {
    "worth": "worth served",
    "uneven": "variation over executors",
    "idle_while_queued": "idle while another queues",
    "overfull": "attempts met overfull",
    "wasted": "work wasted",
}


class CompareFailed(FennelwindError):
    """A comparison could not be made; the text says why."""

    code = "compare-failed"
    advice = "Play the named variant alone with `fennelwind fleet sim` and the same seed; it tells more."


@dataclass(slots=True, frozen=True)
class Variant:
    """One side."""

    text: str
    policy: str = "module"
    commit: str = ""
    overlay: str = ""
    salt: str = ""


def read_variant(text: str) -> Variant:
    """Read a variant. Raises `ValueError` or `OSError`."""
    what, _, salt = text.partition("@")
    kind, _, rest = what.partition(":")
    if kind == "commit":
        if not rest:
            raise ValueError("commit: names no revision")
        return Variant(text, commit=rest, salt=salt)
    if kind == "overlay":
        return Variant(text, overlay=Path(rest).read_text(encoding="utf-8"), salt=salt)
    deciders(what)
    return Variant(text, what, salt=salt)


@contextmanager
def packages(variant: Variant) -> Iterator[Path]:
    """Give the folder from which a variant's days are played."""
    if not variant.commit:
        yield PACKAGE.parent
        return
    with tempfile.TemporaryDirectory(prefix="fennelwind-commit-") as folder:
        made = subprocess.run(
            ["git", "archive", "--format=tar", variant.commit, "fennelwind"],
            cwd=PACKAGE.parent,
            capture_output=True,
            check=False,
        )
        if made.returncode:
            raise CompareFailed(f"{variant.text}: {made.stderr.decode('utf-8', 'replace').strip()}")
        there = Path(folder) / "there"
        with tarfile.open(fileobj=BytesIO(made.stdout)) as archive:
            archive.extractall(there, filter="data")
        target = Path(folder) / "fennelwind"
        for path in sorted(PACKAGE.rglob("*")):
            place = path.relative_to(PACKAGE)
            if path.is_file() and "__pycache__" not in place.parts and place.parts[0] not in BROUGHT:
                (target / place).parent.mkdir(parents=True, exist_ok=True)
                (target / place).write_bytes(path.read_bytes())
        for name in BROUGHT:
            source = there / "fennelwind" / name
            if source.exists():
                source.rename(target / name)
        yield Path(folder)


def play_one(root: Path, day: str, seed: int, variant: Variant) -> Result:
    """Play one day in a process of its own. Raises `CompareFailed`."""
    spec = {"day": day, "seed": seed, "policy": variant.policy, "salt": variant.salt}
    try:
        made = subprocess.run(
            [sys.executable, "-m", "fennelwind.testbed.one"],
            input=json.dumps(spec).encode(),
            cwd=root,
            env=os.environ | {"PYTHONPATH": str(root)},
            capture_output=True,
            timeout=LONGEST_S,
            check=False,
        )
    except subprocess.TimeoutExpired:
        raise CompareFailed(f"{variant.text}, seed {seed}: no end within {LONGEST_S:.0f} s") from None
    if made.returncode:
        raise CompareFailed(f"{variant.text}, seed {seed}: {made.stderr.decode('utf-8', 'replace')[-400:]}")
    return Result(**json.loads(made.stdout))


def compare(
    days: list[dayfile.Day],
    seeds: list[int],
    variants: list[Variant],
    workers: int,
    said: Callable[[int, int], None] = lambda done, of: None,
) -> dict[tuple[str, str], list[Result]]:
    """Play all; return the results by day and variant, in the order of the seeds."""
    with ExitStack() as stack:
        roots = {variant: stack.enter_context(packages(variant)) for variant in variants}
        jobs = []
        pool = stack.enter_context(ThreadPoolExecutor(workers))
        for day in days:
            for variant in variants:
                changed = dayfile.change(day, overlay=variant.overlay) if variant.overlay else day
                text = str(changed.file)
                jobs += [
                    (day.file.name, variant, pool.submit(play_one, roots[variant], text, seed, variant))
                    for seed in seeds
                ]
        results: dict[tuple[str, str], list[Result]] = {}
        for done, (name, variant, job) in enumerate(jobs):
            results.setdefault((name, variant.text), []).append(job.result())
            said(done + 1, len(jobs))
        return results


def rows(
    results: dict[tuple[str, str], list[Result]], base: Variant, other: Variant
) -> list[tuple[str, str, float, float, Difference]]:
    """Return by day and metric: both means, and the difference with its interval; last, over all days."""
    found: list[tuple[str, str, float, float, Difference]] = []
    days = list(dict.fromkeys(name for name, _ in results))
    for label in METRICS:
        every: list[tuple[float, float]] = []
        for name in days:
            a, b = (
                [result.figures[label] for result in results[name, variant.text]] for variant in (base, other)
            )
            every += zip(a, b, strict=True)
            found.append((name, label, _mean(a), _mean(b), difference(a, b)))
        if len(days) > 1:
            a, b = [x for x, _ in every], [y for _, y in every]
            found.append(("all days", label, _mean(a), _mean(b), difference(a, b)))
    return found


def broken(results: dict[tuple[str, str], list[Result]]) -> list[str]:
    """Return what broke, a line each."""
    return [
        f"{variant} on {name}, seed {result.seed}: {text}"
        for (name, variant), plays in results.items()
        for result in plays
        for text in [
            *result.broke[:1],
            *(
                f"{rule['rule']} ({rule['breaks']}): {rule['first'][0]}"
                for rule in result.rules
                if rule["breaks"]
            ),
        ]
    ]


def _mean(values: list[Any]) -> float:
    return sum(values) / len(values) if values else 0.0
