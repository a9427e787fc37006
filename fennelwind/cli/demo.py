"""Plays a bad day: a controller in its own process, stand-ins here, the verdict from the bytes between."""

import json
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import click
from google.protobuf import text_format

from fennelwind import config
from fennelwind.audit import Recorder, audit, read_trace
from fennelwind.audit.rules import SHOWN, Verdict, served_share
from fennelwind.cli.output import table
from fennelwind.config import settings_pb2 as pb
from fennelwind.emulators.day import Day, load_script
from fennelwind.loop import Once, RealLoop, parse_address

DATA = Path(__file__).parent / "data"  # the example that comes with the program
START_S = 20.0  # s that the controller may take to listen


class Child:
    """A controller in a process of its own."""

    def __init__(self, settings: pb.Settings, log: Path, seed: int, extra: tuple[str, ...] = ()) -> None:
        self.folder = tempfile.TemporaryDirectory(prefix="fennelwind-")
        path = Path(self.folder.name) / "settings.txtpb"
        path.write_text(text_format.MessageToString(settings), encoding="utf-8")
        self.log = log.open("w", encoding="utf-8")
        self.process = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "fennelwind.cli.main",
                "serve",
                str(path),
                "--seed",
                str(seed),
                "--log",
                "json",
                *extra,
            ],
            stdout=subprocess.PIPE,
            stderr=self.log,
            text=True,
        )
        line = self.process.stdout.readline()  # it prints the line or ends
        if not line:
            raise click.ClickException(f"the controller did not start; see {log}")
        self.address = parse_address(json.loads(line)["listen"])

    def stop(self) -> int:
        """End it by SIGTERM; return its exit status."""
        self.process.terminate()
        try:
            return self.process.wait(START_S)
        except subprocess.TimeoutExpired:
            self.process.kill()
            return self.process.wait(START_S)
        finally:
            self.process.stdout.close()
            self.log.close()
            self.folder.cleanup()


def summary(classes: dict[str, dict[str, float]], verdicts: list[Verdict], settings: pb.Settings) -> dict:
    """Return the day's figures as they go into JSON."""
    worth = {c.name: c.worth for c in settings.classes}
    asked = sum(row["taken"] * worth[name] for name, row in classes.items())
    served = sum(row["in_time"] * worth[name] for name, row in classes.items())
    return {
        "classes": classes,
        "worth": served / asked if asked else 0.0,
        "rules": {v.rule: {"checks": v.checks, "breaks": len(v.breaks)} for v in verdicts},
    }


def show(told: dict, verdicts: list[Verdict]) -> None:
    """Print the day's figures."""
    columns = list(next(iter(told["classes"].values())))
    rows = [["class", *(c.replace("_", " ") for c in columns)]]
    rows += [[name, *(str(row[c]) for c in columns)] for name, row in told["classes"].items()]
    click.echo(table(rows))
    click.echo(f"\nworth served in time over worth asked: {told['worth']:.3f}\n")
    rows = [["rule", "checks", "breaks"]]
    rows += [[v.rule, str(v.checks), str(len(v.breaks))] for v in verdicts]
    click.echo(table(rows))
    for verdict in verdicts:
        for text in verdict.breaks[:SHOWN]:
            click.echo(f"BROKEN {verdict.rule}: {text}")


@click.command()
@click.option(
    "--settings",
    "settings_file",
    type=click.Path(exists=True, dir_okay=False, path_type=Path),
    default=DATA / "bad-day.settings.txtpb",
)
@click.option(
    "--script",
    "script_file",
    type=click.Path(exists=True, dir_okay=False, path_type=Path),
    default=DATA / "bad-day.script.txtpb",
)
@click.option("--seed", type=int, default=None, help="In place of the script's.")
@click.option(
    "--json",
    "json_file",
    type=click.Path(dir_okay=False, path_type=Path),
    default=None,
    help="Write the figures to this file.",
)
@click.option(
    "--log",
    "log_file",
    type=click.Path(dir_okay=False, path_type=Path),
    default=None,
    help="Where the controller logs to; default: a file in the system's temporary folder.",
)
@click.option("--keep", is_flag=True, help="Play nothing; leave controller and stand-ins up until SIGTERM.")
@click.option("--listen", default=None, help="HOST:PORT of the controller.")
def demo(
    settings_file: Path,
    script_file: Path,
    seed: int | None,
    json_file: Path | None,
    log_file: Path | None,
    keep: bool,
    listen: str | None,
) -> None:
    """Play a scripted bad day and check the seven rules. Exits with 1 if a rule broke."""
    settings = config.load(settings_file).file
    try:
        script = load_script(script_file)
    except ValueError as exc:
        raise click.ClickException(str(exc)) from None
    if seed is not None:
        script.seed = seed
    if listen is not None:
        settings.listener.address = listen
    if log_file is None:
        log_file = Path(tempfile.gettempdir()) / "fennelwind-demo.log"
    loop = RealLoop()
    recorder = Recorder(loop.now)
    errors: list[str] = []
    loop.on_error = lambda task, exc: errors.append(f"{task.name}: {type(exc).__name__}: {exc}")
    day = Day(loop, script, settings, recorder.wrap)
    began = time.monotonic()

    def run() -> None:
        day.start()
        settings.discovery.address = str(day.discovery.address)
        child = Child(settings, log_file, script.seed)
        try:
            if keep:
                _keep(loop, child)
            else:
                loop.sleep(500.0)
                day.play(child.address)
        finally:
            status = child.stop()
        if status:
            raise click.ClickException(f"the controller ended with status {status}; see {log_file}")

    loop.run(run)
    if keep:
        return
    trace = read_trace(recorder.wires)
    verdicts = audit(trace, settings)
    classes = served_share(trace, settings)
    told = summary(classes, verdicts, settings)
    told["seconds"] = round(time.monotonic() - began, 1)
    told["engines_fallen"] = day.falls
    show(told, verdicts)
    if errors:
        click.echo(f"\nstand-ins' own errors: {len(errors)}; first: {errors[0]}", err=True)
    if json_file is not None:
        json_file.write_text(json.dumps(told, indent=2) + "\n", encoding="utf-8")
    if any(v.breaks for v in verdicts):
        sys.exit(1)


def _keep(loop: RealLoop, child: Child) -> None:
    """Leave all up until SIGTERM or SIGINT, or until the controller ends."""
    stop = Once(loop)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.on_signal(number, stop.set)
    click.echo(json.dumps({"ready": True, "listen": str(child.address)}))
    sys.stdout.flush()
    while not stop.ready and child.process.poll() is None:
        loop.sleep(200.0)
