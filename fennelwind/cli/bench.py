"""Measurements by command; figures in the docs name the command that gives them."""

import json
from pathlib import Path

import click

from fennelwind.benchmarks import codec as codec_bench
from fennelwind.benchmarks import path as path_bench
from fennelwind.benchmarks import platform as platform_bench
from fennelwind.benchmarks import spread as spread_bench
from fennelwind.benchmarks import timers as timers_bench
from fennelwind.cli.output import table
from fennelwind.loop import RealLoop, parse_address


@click.group()
def bench() -> None:
    """Measure, always beside something else in the same run."""


@bench.command()
def codec() -> None:
    """Encode and decode beside Apache's package (a dev dependency)."""
    try:
        measured = codec_bench.measure()
    except ImportError as exc:
        raise click.ClickException(f"needs the dev dependencies: {exc}") from None
    rows = [["", "way", "calls a second", "over pure Python"]]
    rows += [[what, way, f"{rate:,.0f}", f"{ratio:.2f}"] for what, way, rate, ratio in measured]
    click.echo(table(rows))


@bench.command()
@click.option("--connections", type=click.IntRange(1, 20000), default=2000, show_default=True)
def platform(connections: int) -> None:
    """Answers of the platform's executors beside h11; what a client's connection costs by number held."""
    best = platform_bench.answers()
    rows = [["parser", "us an answer", "over ours"]]
    rows += [[name, f"{us:.1f}", f"{us / best['fennelwind']:.1f}"] for name, us in best.items()]
    click.echo(table(rows))
    rows = [["connections held", "KB each", "ms of CPU for one more"]]
    for sockets in (256, 800):
        cost = platform_bench.crowd(sockets, connections)
        rows.append([f"{cost['held']:.0f}", f"{cost['kb']:.1f}", f"{cost['cpu_ms']:.2f}"])
    click.echo(table(rows))


@bench.command()
def spread() -> None:
    """Decisions with news of whole loads beside those without, by number of executors."""
    rows = [["executors", "queries a second", "us a query without", "with", "KB kept"]]
    rows += [
        [str(engines), f"{rate:g}", f"{without:.0f}", f"{told:.0f}", f"{kept:.0f}"]
        for engines, rate, without, told, kept in spread_bench.measure()
    ]
    click.echo(table(rows))


@bench.command()
def timers() -> None:
    """The timer wheel beside a heap, with 100,000 pending timers."""
    rows = [["structure", "us to set and cancel", "ms to run out", "kept"]]
    for name, us, ms, kept in timers_bench.measure():
        rows.append([name, f"{us:.2f}", f"{ms:.0f}", f"{kept:,.0f}"])
    click.echo(table(rows))


@bench.command()
@click.option("--connections", default="1,16,64,256", show_default=True, help="Numbers of connections.")
@click.option("--queries", default=6000, show_default=True, help="Queries of one round of one way.")
@click.option("--rows", default=3, show_default=True, help="Rows of each answer.")
@click.option("--rounds", default=3, show_default=True)
@click.option("--json", "json_file", type=click.Path(dir_okay=False, path_type=Path), default=None)
def path(connections: str, queries: int, rows: int, rounds: int, json_file: Path | None) -> None:
    """Whole queries: straight to engines, by a byte relay, by the controller."""
    results = path_bench.measure([int(c) for c in connections.split(",")], queries, rows, rounds)
    lines = [["connections", "way", "queries/s", "over relay", "median ms", "99th ms"]]
    for count, ways in results["connections"].items():
        for way, seen in ways.items():
            ratio = seen["rate"] / ways["relay"]["rate"]
            lines.append(
                [
                    str(count),
                    way,
                    f"{seen['rate']:.0f}",
                    f"{ratio:.2f}",
                    f"{seen['median_ms']:.2f}",
                    f"{seen['p99_ms']:.2f}",
                ]
            )
    click.echo(table(lines))
    stages = list(dict.fromkeys(stage for shares in results["stages"].values() for stage in shares))
    lines = [["the controller's CPU time", *(f"{count} conn." for count in results["stages"])]]
    lines += [
        [stage, *(f"{shares.get(stage, 0.0):.0%}" for shares in results["stages"].values())]
        for stage in stages
    ]
    click.echo("\n" + table(lines))
    if json_file is not None:
        json_file.write_text(json.dumps(results, indent=2) + "\n", encoding="utf-8")


@bench.command()
@click.option("--queries", default=100_000, show_default=True)
@click.option("--visitors", default=2000, show_default=True, help="Connections that come and go.")
def memory(queries: int, visitors: int) -> None:
    """The controller's resident memory over many queries and connections."""
    rows = [["queries", "resident MB"]]
    rows += [[f"{done:,}", f"{mb:.1f}"] for done, mb in path_bench.memory(queries, visitors)]
    rows[-2][0] += f" and {visitors:,} connections open"
    rows[-1][0] += " and they are gone"
    click.echo(table(rows))


@bench.command(hidden=True)
@click.argument("engines", nargs=-1, required=True)
def relay(engines: tuple[str, ...]) -> None:
    """Carry bytes to engines; for `bench path`."""
    loop = RealLoop()
    loop.run(path_bench.relay, loop, [parse_address(e) for e in engines], parse_address("127.0.0.1:0"))


@bench.command(hidden=True)
@click.option("--connections", type=int, required=True)
@click.option("--queries", type=int, required=True)
@click.option("--rows", type=int, required=True)
@click.argument("addresses", nargs=-1, required=True)
def load(connections: int, queries: int, rows: int, addresses: tuple[str, ...]) -> None:
    """Put queries; for `bench path`."""
    told = path_bench.load([parse_address(a) for a in addresses], connections, queries, rows)
    click.echo(json.dumps(told))
