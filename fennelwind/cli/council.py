"""An operator's last resort with the agreed record."""

import sys
from pathlib import Path

import click

from fennelwind import config
from fennelwind.errors import FennelwindError
from fennelwind.loop import RealLoop


@click.group()
def council() -> None:
    """Look after a member's folder while the member is down."""


@council.command()
@click.argument("file", type=click.Path(exists=True, dir_okay=False, path_type=Path))
@click.option("--yes", is_flag=True, help="Do it; without, only tell what the folder holds.")
def alone(file: Path, yes: bool) -> None:
    """Let the member of these settings found the record anew, alone, after a majority was lost for good.

    What only the lost members had agreed on is lost. Read docs/operators/council.md first.
    """
    from fennelwind.cluster.disaster_recovery import restart_alone, summarize
    from fennelwind.cluster.member_folder import (
        MemberFolder,  # the council's rooms are loaded where they are needed
    )
    from fennelwind.loop.realdisk import RealDisk
    from fennelwind.raft_storage.store import META, StoreLimits

    try:
        place = config.load(file).council
    except FennelwindError as exc:
        click.echo(str(exc), err=True)
        sys.exit(2)
    if place is None or place.folder is None:
        click.echo(f"{file}: these are no settings of a member", err=True)
        sys.exit(2)
    loop = RealLoop()

    def run() -> int:
        if not (place.folder / META).is_file():
            click.echo(f"{place.folder}: no such folder, or none of a member", err=True)
            return 2
        disk = RealDisk(loop, str(place.folder))
        folder = MemberFolder(lambda: disk, place.fleet, place.me, loop.token, StoreLimits())
        try:
            durable = folder.open()
            left = summarize(durable)
            click.echo(
                f"{left.name}: last entry {left.last} of term {left.last_term}, members "
                f"{', '.join(left.members) or 'none'}; {left.majority} of them go on without this"
            )
            if yes:
                now = restart_alone(folder, durable, str(place.members[place.me]))
                click.echo(f"{now.name} is the only member now, from entry {now.last} on")
            else:
                click.echo("nothing is changed; --yes makes it the only member")
        except FennelwindError as exc:
            click.echo(f"{exc}\n{exc.advice}", err=True)
            return 1
        finally:
            folder.close()
        return 0

    sys.exit(loop.run(run))
