"""Fleets: days played in virtual time or as processes, comparisons, reports."""

import dataclasses
import os
import sys
from pathlib import Path
from typing import Any

import click

from fennelwind.cli.output import table
from fennelwind.config.text import SettingsError
from fennelwind.testbed import dayfile

# What counts (numpy and others) is imported by the commands that need it: `serve` has no use for it.

FOLDER = click.Path(file_okay=False, path_type=Path)


def _day(
    name: str, controllers: int | None, executors: int | None, seconds: float | None, overlay: str | None
) -> dayfile.Day:
    """Read a day with its changes, or end with all that is wrong."""
    try:
        day = dayfile.load(name)
        text = Path(overlay).read_text(encoding="utf-8") if overlay else ""
        if controllers is None and executors is None and seconds is None and not text:
            return day
        return dayfile.change(
            day, controllers=controllers, executors=executors, seconds=seconds, overlay=text
        )
    except SettingsError as exc:
        raise click.ClickException(str(exc)) from None
    except (OSError, UnicodeDecodeError) as exc:
        raise click.ClickException(
            f"{name}: no day file that can be read ({exc}), and none of {', '.join(dayfile.bundled())}"
        ) from None


def sized(command: Any) -> Any:
    """Give a command the options that change a day."""
    for option in (
        click.option(
            "--overlay",
            type=click.Path(exists=True, dir_okay=False),
            default=None,
            help="A file whose fields take the place of the day's.",
        ),
        click.option(
            "--seconds",
            type=click.FloatRange(0.1, 3600.0),
            default=None,
            help="Another length; the faults' times are scaled.",
        ),
        click.option(
            "--executors",
            type=click.IntRange(1, dayfile.EXECUTORS_MOST),
            default=None,
            help="Another number of executors; rates follow their cores.",
        ),
        click.option(
            "--controllers",
            type=click.IntRange(1, dayfile.CONTROLLERS_MOST),
            default=None,
            help="Another number of controllers.",
        ),
    ):
        command = option(command)
    return command


def show(result: Any) -> None:
    """Print a day's figures and verdicts."""
    told = result.figures
    columns = [
        "requests",
        "served",
        "late",
        "refused",
        "failed",
        "withdrawn",
        "lost",
        "worth",
        "p50_ms",
        "p99_ms",
    ]
    rows = [["class", *(column.replace("_", " ") for column in columns)]]
    for name, row in told["classes"].items():
        rows.append([name, *(f"{row[c]:.3f}" if isinstance(row[c], float) else str(row[c]) for c in columns)])
    click.echo(table(rows))
    recovery = told["recovery_ms"]
    click.echo(
        f"\nworth {told['worth']:.3f}; tries a request {told['tries_a_request']:.2f}, attempts a request "
        f"{told['attempts_a_request']:.2f}; executors: variation {told['uneven']:.2f}, idle while another "
        f"queues {told['idle_while_queued']:.3f}, largest herd {told['herd']}, attempts that met an overfull "
        f"one {told['overfull']:.3f}, short of memory {told['short_of_memory']:.3f}, wasted work "
        f"{told['wasted']:.3f}" + ("" if recovery is None else f"; recovered after {recovery:.0f} ms") + "\n"
    )
    if told["faults"]:
        click.echo(
            table(
                [["fault", "at", "for", "worth served around it"]]
                + [
                    [
                        row["kind"].lower(),
                        f"{row['at_ms']:.0f}",
                        f"{row['for_ms']:.0f}",
                        "-" if row["worth"] is None else f"{row['worth']:.3f}",
                    ]
                    for row in told["faults"]
                ]
            )
            + "\n"
        )
    click.echo(
        table(
            [["rule", "checks", "breaks"]]
            + [[rule["rule"], str(rule["checks"]), str(rule["breaks"])] for rule in result.rules]
        )
    )
    for rule in result.rules:
        for text in rule["first"]:
            click.echo(f"BROKEN {rule['rule']}: {text}")
    for text in result.broke[:10]:
        click.echo(f"BROKEN {text}")


def _finish(result: Any, out: Path | None) -> None:
    from fennelwind.testbed.play import save

    show(result)
    if out is not None:
        save(result, out)
        click.echo(f"\nresult in {out}")
    if not result.good:
        sys.exit(1)


@click.group()
def fleet() -> None:
    """Play days with many controllers and faults between them; compare; report."""


@fleet.command()
def days() -> None:
    """List the days that come with the program."""
    rows = [["day", "controllers", "executors", "seconds", "requests a second", "about"]]
    for name in dayfile.bundled():
        day = dayfile.load(name)
        rate = sum(day.per_s(load) for load in day.file.loads)
        rows.append(
            [
                name,
                str(day.file.controllers.count),
                str(day.executors),
                f"{day.file.length_ms / 1000.0:g}",
                f"{rate:.0f}",
                day.file.about,
            ]
        )
    click.echo(table(rows))


@fleet.command(name="sim")
@click.argument("day")
@click.option("--seed", type=int, default=None, help="In place of the day's.")
@click.option(
    "--policy",
    default="module",
    show_default=True,
    help="What decides: module, random, fewest, two, reported, late or late:MS.",
)
@click.option("--out", type=FOLDER, default=None, help="Keep the result in this folder.")
@sized
def sim_command(day: str, seed: int | None, policy: str, out: Path | None, **changes: Any) -> None:
    """Play DAY (a file, or one of `fleet days`) in virtual time. Exits with 1 if a rule broke."""
    from fennelwind.testbed.play import deciders, sim

    try:
        deciders(policy)
    except ValueError as exc:
        raise click.ClickException(str(exc)) from None
    _finish(sim(_plan(day, seed, changes), policy), out)


@fleet.command()
@click.argument("day")
@click.option("--seed", type=int, default=None, help="In place of the day's.")
@click.option("--out", type=FOLDER, default=None, help="Keep the result in this folder.")
@click.option("--logs", type=FOLDER, default=None, help="Keep the processes' files and logs in this folder.")
@sized
def run(day: str, seed: int | None, out: Path | None, logs: Path | None, **changes: Any) -> None:
    """Play DAY with real processes on loopback. Exits with 1 if a rule broke."""
    from fennelwind.testbed.play import judge
    from fennelwind.testbed.processes import Processes, RigFailed, scratch

    plan = _plan(day, seed, changes)
    rig = Processes(plan, logs or scratch(), said=lambda text: click.echo(text, err=True))
    try:
        outcome = rig.play()
    except RigFailed as exc:
        raise click.ClickException(f"{exc}; logs in {rig.folder}") from None
    _finish(judge(plan, outcome, "run", "module"), out)


def _plan(day: str, seed: int | None, changes: dict[str, Any]) -> Any:
    from fennelwind.testbed.plan import make_plan

    return make_plan(_day(day, **changes), seed)


@fleet.command()
@click.argument("folder", type=click.Path(exists=True, file_okay=False, path_type=Path))
@click.option(
    "--to",
    type=click.Path(dir_okay=False, path_type=Path),
    default=None,
    help="Where the page goes; default: report.html in the folder.",
)
def report(folder: Path, to: Path | None) -> None:
    """Make a page with tables and charts of the results kept in FOLDER."""
    from fennelwind.testbed.play import load_all
    from fennelwind.testbed.report import write_report

    try:
        results = load_all(folder)
    except ValueError as exc:
        raise click.ClickException(str(exc)) from None
    if not results:
        raise click.ClickException(f"{folder}: holds no results; `fleet sim --out` keeps them")
    path = to or folder / "report.html"
    write_report([dataclasses.asdict(result) for result in results], path)
    click.echo(f"{len(results)} results in {path}")


@fleet.command(name="compare")
@click.argument("days", nargs=-1, required=True)
@click.option("--a", "base", default="module", show_default=True, help="The first variant.")
@click.option(
    "--b",
    "others",
    multiple=True,
    required=True,
    help="What it is compared with; may be given several times.",
)
@click.option("--seeds", default="1-8", show_default=True, help="FIRST-LAST.")
@click.option("--workers", type=click.IntRange(1, 256), default=None, help="Days at a time; default: cores.")
@click.option("--out", type=FOLDER, default=None, help="Keep the results in this folder.")
@sized
def compare_command(
    days: tuple[str, ...],
    base: str,
    others: tuple[str, ...],
    seeds: str,
    workers: int | None,
    out: Path | None,
    **changes: Any,
) -> None:
    """Play DAYS with variants on the same seeds, pair by pair, in virtual time.

    A variant is a policy of `fleet sim`, commit:REV, or overlay:FILE; @TEXT behind it draws other random
    numbers. A difference is told apart when its 95% interval (bootstrap-t over seeds) leaves zero out.
    """
    from fennelwind.testbed.compare import METRICS, CompareFailed, broken, compare, read_variant, rows
    from fennelwind.testbed.play import save

    try:
        first, _, last = seeds.partition("-")
        numbers = list(range(int(first), int(last or first) + 1))
        variants = [read_variant(text) for text in (base, *others)]
    except (ValueError, OSError) as exc:
        raise click.ClickException(str(exc)) from None
    if not 1 <= len(numbers) <= 10_000 or len({v.text for v in variants}) < len(variants):
        raise click.ClickException("seeds are FIRST-LAST, and the variants have to differ")
    read = [_day(name, **changes) for name in days]

    def said(done: int, of: int) -> None:
        if sys.stderr.isatty() or done == of:
            click.echo(f"\r{done} of {of} days played", err=True, nl=done == of)

    try:
        results = compare(read, numbers, variants, workers or os.cpu_count() or 1, said)
    except CompareFailed as exc:
        raise click.ClickException(str(exc)) from None
    told = [["day", "figure", base, "other", "its", "difference", "95% interval", "verdict"]]
    for other in variants[1:]:
        for name, label, a, b, diff in rows(results, variants[0], other):
            interval = f"{diff.low:+.4f} to {diff.high:+.4f}"
            verdict = (
                ("better" if (diff.mean > 0) == (label == "worth") else "worse")
                if diff.told_apart
                else "not told apart"
            )
            told.append(
                [
                    name,
                    METRICS[label],
                    f"{a:.4f}",
                    other.text,
                    f"{b:.4f}",
                    f"{diff.mean:+.4f}",
                    interval,
                    verdict,
                ]
            )
    click.echo(table(told))
    lines = broken(results)
    for line in lines[:20]:
        click.echo(f"BROKEN {line}")
    if out is not None:
        for (_, variant), plays in results.items():
            for result in plays:
                result.policy = variant.replace("/", "-")
                save(result, out)
    if any(line.startswith(f"{base} on") for line in lines):
        sys.exit(1)


@fleet.command()
def capacity() -> None:
    """Measure what a relay of the rig costs, and up to what rate a day on sockets counts."""
    from fennelwind.testbed.capacity import IDLE_ROWS, measure

    cost = measure()
    click.echo(
        table(
            [
                ["a message there and back", "us"],
                ["direct", f"{cost.direct_us:.0f}"],
                ["through a relay", f"{cost.relayed_us:.0f}"],
                [f"through one with {IDLE_ROWS} more listeners", f"{cost.crowded_us:.0f}"],
            ]
        )
    )
    click.echo(f"\nOne relay process is full at some {cost.per_s:.0f} messages a second; plan for a third.")
