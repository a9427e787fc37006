"""The command line."""

import json
import signal
import sys
from pathlib import Path

import click
from argon2 import PasswordHasher

from fennelwind import __version__, config
from fennelwind.cli.bench import bench
from fennelwind.cli.council import council
from fennelwind.cli.demo import demo
from fennelwind.cli.fleet import fleet
from fennelwind.cli.output import told
from fennelwind.cli.program import Program
from fennelwind.cli.query import query
from fennelwind.cli.standin import standin
from fennelwind.loop import Once, RealLoop, parse_address
from fennelwind.observability import LogObserver, configure
from fennelwind.observability.sampler import Sampler


class AddressType(click.ParamType):
    """HOST:PORT."""

    name = "host:port"

    def convert(self, value, param, ctx):
        """Read the address, or fail with the reason."""
        try:
            return parse_address(value) if isinstance(value, str) else value
        except ValueError as exc:
            self.fail(str(exc), param, ctx)


ADDRESS = AddressType()
FILE = click.Path(exists=True, dir_okay=False, path_type=Path)


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(__version__)
def main() -> None:
    """A workload manager that admits queries and routes them to analytic engines."""


def load(path: Path) -> config.Controller:
    """Read settings, or end with all that is wrong with them."""
    try:
        return config.load(path)
    except config.SettingsError as exc:
        click.echo(told(exc), err=True)
        sys.exit(2)


@main.command()
@click.password_option(help="Asked for if it is not given.")
def password(password: str) -> None:
    """Print the hash of a password for a file of users."""
    click.echo(PasswordHasher().hash(password))


@main.command()
@click.argument("file", type=FILE)
def check(file: Path) -> None:
    """Check settings; tell all that is wrong, with line and column."""
    settings = load(file)
    m = settings.module
    click.echo(
        f"{file}: good: {len(m.classes)} classes, {len(settings.engines)} engines stated, "
        f"discovery {settings.discovery or 'none'}"
    )


@main.command()
@click.argument("file", type=FILE)
@click.option("--log", "form", type=click.Choice(["console", "json"]), default="console", show_default=True)
@click.option("--answers", is_flag=True, help="Log a line for each final answer.")
@click.option("--seed", type=int, default=None, help="Seed of the decisions; drawn if not given.")
@click.option(
    "--sample",
    type=click.Path(dir_okay=False, path_type=Path),
    default=None,
    help="Write to this file, at the end, which part of the program the CPU time went to.",
)
def serve(file: Path, form: str, answers: bool, seed: int | None, sample: Path | None) -> None:
    """Run a controller until SIGTERM or SIGINT. Prints one line of JSON once it listens."""
    settings = load(file)
    configure(form)
    loop = RealLoop()
    observer = LogObserver(loop.now, tuple(c.name for c in settings.module.classes), answers)
    loop.on_error = lambda task, exc: observer.failed(task.name, exc)
    if seed is None:
        seed = int.from_bytes(loop.token(6), "big")

    def run() -> None:
        stop = Once(loop)
        for number in (signal.SIGTERM, signal.SIGINT):  # a start may wait for a view of the copies
            loop.on_signal(number, stop.set)
        program = Program(loop, settings, observer, seed)
        try:
            program.start()
        except OSError as exc:
            raise click.ClickException(f"{settings.listen}: {exc.strerror or exc}") from None
        loop.on_signal(
            signal.SIGHUP,
            lambda: observer.log.info(
                "reload", users=program.reload_users(), certificates=program.reload_certificates()
            ),
        )
        click.echo(json.dumps({"ready": True, "listen": str(program.address)}))
        observer.log.info("listening", address=str(program.address), seed=seed)
        sampler = Sampler()
        if sample is not None:
            sampler.start()
        stop.wait()
        if sample is not None:
            sampler.write(sample)
        program.hand_over()
        program.close()
        ledger, driver = program.driver.ledger, program.driver
        observer.log.info(
            "closed",
            balanced=ledger.is_balanced(),
            open=ledger.open_count,
            second_answers=ledger.duplicate_answers,
            overdue=ledger.late_answers,
            forgotten=driver.unanswered_by_policy,
            step_errors=driver.step_errors,
        )

    loop.run(run)


for command in (bench, council, demo, fleet, query, standin):
    main.add_command(command)

if __name__ == "__main__":
    main()
