"""A client for operators: one statement, its rows, or why it was not served."""

import json
import sys

import click

from fennelwind.engines.connection import EngineConnection, RemoteError
from fennelwind.loop import DeadlineExceeded, RealLoop, parse_address
from fennelwind.thrift import hints
from fennelwind.thrift import hiveserver2 as hs2
from fennelwind.thrift.codec import Malformed, Structure

PAGE_ROWS = 1000
REFUSED, FAILED, UNREACHED = 3, 4, 5  # exit statuses


def cells(page: Structure) -> list[list[object]]:
    """Return a page's rows; texts are decoded, nulls are None."""
    columns = []
    for column in page.columns or ():
        values = next(v for f in column.FIELDS if (v := getattr(column, f.name)) is not None)
        bits = int.from_bytes(values.nulls or b"", "little")
        columns.append(
            [
                None if bits >> i & 1 else v.decode("utf-8", "replace") if isinstance(v, bytes) else v
                for i, v in enumerate(values.values)
            ]
        )
    return [list(row) for row in zip(*columns, strict=True)]


@click.command()
@click.argument("address")
@click.argument("statement")
@click.option("--user", default="operator", show_default=True)
@click.option("--conf", multiple=True, metavar="KEY=VALUE", help="Configuration of the statement.")
@click.option(
    "--timeout", "timeout_s", type=click.IntRange(1), default=30, show_default=True, help="Seconds."
)
@click.option("--json", "as_json", is_flag=True, help="A JSON array for each row.")
def query(
    address: str, statement: str, user: str, conf: tuple[str, ...], timeout_s: int, as_json: bool
) -> None:
    """Run STATEMENT at the controller (or engine) at ADDRESS and print its rows, separated by tabs.

    Exit status: 0 served, 3 refused (a further try is harmless), 4 failed, 5 no connection or no answer.
    """
    try:
        there = parse_address(address)
        overlay = dict(pair.split("=", 1) for pair in conf)
    except ValueError as exc:
        raise click.UsageError(f"{exc}") from None
    loop = RealLoop()

    def run() -> int:
        link = EngineConnection(loop, there, "sasl", user)
        try:
            with loop.deadline(timeout_s * 1000.0):
                link.open()
                handle = link.call(
                    "ExecuteStatement",
                    hs2.TExecuteStatementReq(
                        sessionHandle=link.session,
                        statement=statement,
                        confOverlay=overlay,
                        queryTimeout=timeout_s,
                    ),
                ).operationHandle
                more = True
                while more:
                    reply = link.call(
                        "FetchResults",
                        hs2.TFetchResultsReq(
                            operationHandle=handle, orientation=hs2.FETCH_NEXT, maxRows=PAGE_ROWS, fetchType=0
                        ),
                    )
                    more = reply.hasMoreRows
                    for row in cells(reply.results):
                        click.echo(json.dumps(row) if as_json else "\t".join(map(str, row)))
        except RemoteError as exc:
            click.echo(str(exc), err=True)
            return REFUSED if hints.REFUSED in exc.hints else FAILED
        except (OSError, DeadlineExceeded, Malformed) as exc:
            click.echo(f"{there}: {exc or 'no answer in time'}", err=True)
            return UNREACHED
        finally:
            if link.stream is not None:
                link.stream.close()
        return 0

    sys.exit(loop.run(run))
