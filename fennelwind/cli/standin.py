"""Stand-ins as programs of their own, to try a controller by hand."""

import json
import signal

import click

from fennelwind.emulators.discovery import Discovery, Listed
from fennelwind.emulators.engine import Engine
from fennelwind.emulators.model import Machine
from fennelwind.loop import Once, RealLoop, parse_address


@click.group()
def standin() -> None:
    """Run a stand-in until SIGTERM or SIGINT. Each prints one line of JSON once it listens."""


def _until_signal(loop: RealLoop, listening: str) -> None:
    stop = Once(loop)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.on_signal(number, stop.set)
    click.echo(json.dumps({"ready": True, "listen": listening}))
    stop.wait()


@standin.command()
@click.option("--listen", default="127.0.0.1:0", show_default=True)
@click.option("--cores", type=click.IntRange(1), default=8, show_default=True)
@click.option("--memory-mb", type=float, default=16384.0, show_default=True)
@click.option("--cold", is_flag=True, help="Start cold, as after a crash.")
@click.option(
    "--slow", type=click.FloatRange(1.0), default=1.0, show_default=True, help="Times the usual time."
)
@click.option(
    "--fault", multiple=True, type=click.Choice(["hang", "lose", "refuse", "error", "cut", "twice"])
)
def engine(
    listen: str, cores: int, memory_mb: float, cold: bool, slow: float, fault: tuple[str, ...]
) -> None:
    """An engine that answers statements with rows."""
    loop = RealLoop()

    def run() -> None:
        made = Engine(loop, parse_address(listen), Machine(cores, memory_mb), max_sessions=10_000)
        made.faults.slow = slow
        for name in fault:
            setattr(made.faults, name, True)
        made.start(cold)
        _until_signal(loop, made.name)

    loop.run(run)


@standin.command()
@click.option("--listen", default="127.0.0.1:0", show_default=True)
@click.option("--delay-ms", type=click.FloatRange(0.0), default=0.0, show_default=True)
@click.option("--silent", is_flag=True, help="Take subscribers and tell them nothing.")
@click.argument("engines", nargs=-1, metavar="HOST:PORT,ZONE,KIND...")
def discovery(listen: str, delay_ms: float, silent: bool, engines: tuple[str, ...]) -> None:
    """A discovery that lists the engines named."""
    loop = RealLoop()

    def run() -> None:
        made = Discovery(loop, parse_address(listen))
        made.delay_ms, made.silent = delay_ms, silent
        for text in engines:
            parts = text.split(",")
            if len(parts) != 3:
                raise click.ClickException(f"{text!r} is no HOST:PORT,ZONE,KIND")
            made.listed[parts[0]] = Listed(parts[0], zone=parts[1], kind=parts[2])
        made.start()
        _until_signal(loop, str(made.address))

    loop.run(run)
