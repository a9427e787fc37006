"""What a check of a schema change costs, and how right its verdicts are.

python -m fennelwind.benchmarks.contracts checks        10,000 subscribers, 1,000 tables
python -m fennelwind.benchmarks.contracts rows PLAYS    verdicts against rows that are written and read
"""

import statistics
import sys
import time
from collections.abc import Callable
from random import Random

from fennelwind.benchmarks import contract_rows
from fennelwind.raft.state_machine import LogPosition
from fennelwind.schema_compatibility import contracts_pb2 as pb
from fennelwind.schema_compatibility.messages import reads_message, schema_message
from fennelwind.schema_compatibility.rules import RULES_VERSION
from fennelwind.schema_compatibility.session_options import parse_reads
from fennelwind.schema_compatibility.state_machine import SchemaStateMachine
from fennelwind.schema_compatibility.types import parse_schema

SUBSCRIBERS, TABLES, COLUMNS = 10_000, 1000, 40  # columns of a table
READ_TABLES, READ_COLUMNS = 3, 8  # of a subscriber, in the mean; columns of each table
HOT = 0.2  # part of all reads that go to one table, as a fleet's central table has
KINDS = ("int", "bigint", "string", "decimal(10,2)", "date", "timestamp", "varchar(20)", "array<string>")


class Gate:
    """The machine on a record of its own."""

    def __init__(self) -> None:
        self.machine, self.index = SchemaStateMachine(), 0

    def fact(self, kind: str, key: str) -> int:
        """Nothing moves, nobody holds anything."""
        return 0

    def do(self, **what: object) -> tuple[pb.ContractAnswer, float, int]:
        """Have a command carried out; return its answer, the ms that it took, and the answer's bytes."""
        self.index += 1
        command = pb.ContractCommand(rules=RULES_VERSION, **what).SerializeToString()
        began = time.perf_counter()
        raw = self.machine.apply(LogPosition(self.index, 0), command, self)
        return pb.ContractAnswer.FromString(raw), (time.perf_counter() - began) * 1000.0, len(raw)


def columns(random: Random, grown: int = 0) -> str:
    """Return a table's columns; grown: of its first one's type, so many steps wider."""
    first = ("int", "bigint", "decimal(19,0)")[grown]
    made = [f"c0 {first}", *(f"c{n} {KINDS[n % len(KINDS)]}" for n in range(1, COLUMNS))]
    return ", ".join(made)


def some(random: Random, count: int) -> str:
    """Return what a subscriber reads of a table."""
    if random.random() < 0.1:
        return random.choice(("* by name", "* by place"))
    chosen = sorted(random.sample(range(COLUMNS), count))
    by = random.choice(("name", "place"))
    kinds = ["int" if not n else KINDS[n % len(KINDS)] for n in chosen]
    return (
        ", ".join(
            f"{f'{n + 1} ' if by == 'place' else ''}c{n} {kind}"
            for n, kind in zip(chosen, kinds, strict=True)
        )
        + f" by {by}"
    )


def filled(spread: Callable[[Random, int], list[tuple[str, str]]], tables: int) -> Gate:
    """Return a gate with all tables and subscribers; spread: the tables that a subscriber reads, and how."""
    gate, random = Gate(), Random(1)
    schema = schema_message(parse_schema(columns(random)))
    for number in range(tables):
        gate.do(propose=pb.Propose(table=f"s.t{number}", publisher="load", schema=schema))
    for number in range(SUBSCRIBERS):
        reads = [reads_message(parse_reads(table, text)) for table, text in spread(random, number)]
        answer, _, _ = gate.do(
            register=pb.Register(
                name=f"reader-{number}", version=random.randrange(6, 12), term_ms=10**8, reads=reads
            )
        )
        assert not answer.refusal, answer
    return gate


def over_tables(random: Random, number: int) -> list[tuple[str, str]]:
    """Three tables each, one table in a fifth of all reads."""
    tables = {0 if random.random() < HOT else random.randrange(TABLES) for _ in range(READ_TABLES)}
    return [(f"s.t{table}", some(random, READ_COLUMNS)) for table in sorted(tables)]


def all_alike(random: Random, number: int) -> list[tuple[str, str]]:
    """All read one table in one of twenty forms."""
    return [("s.t0", some(Random(number % 20), READ_COLUMNS))]


def all_different(random: Random, number: int) -> list[tuple[str, str]]:
    """All read one table, each in a form of its own."""
    return [("s.t0", some(random, READ_COLUMNS))]


def timed(gate: Gate, tables: range, grown: int) -> list[tuple[float, int, int]]:
    """Return (ms, answer's bytes, subscribers named or counted) of a check of each table."""
    schema, seen = schema_message(parse_schema(columns(Random(0), grown) + ", c40 int")), []
    for number in tables:
        table = f"s.t{number}"
        version = gate.machine.tables[table].version
        answer, ms, size = gate.do(
            propose=pb.Propose(table=table, publisher="load", version=version, schema=schema, ask_only=True)
        )
        named = sum(len(each.names) for each in answer.readers) + answer.more
        seen.append((ms, size, named))
    return seen


def checks() -> None:
    """Print what checks cost."""
    for title, spread, tables in (
        ("over 1,000 tables", over_tables, TABLES),
        ("one table, 20 forms", all_alike, 1),
        ("one table, all different", all_different, 1),
    ):
        began = time.perf_counter()
        gate = filled(spread, tables)
        registered = time.perf_counter() - began
        for what, grown in (("column added", 0), ("column added, first one widened", 1)):
            rounds = 1 if tables > 1 else 20
            seen = [each for _ in range(rounds) for each in timed(gate, range(tables), grown)]
            times = sorted(ms for ms, _, _ in seen)
            print(
                f"{title}; {what}: {len(seen)} checks, median {statistics.median(times):.2f} ms, 99th "
                f"{times[int(len(times) * 0.99) - 1]:.2f} ms, longest {times[-1]:.2f} ms; most subscribers "
                f"told {max(n for _, _, n in seen)}, longest answer {max(s for _, s, _ in seen)} bytes"
            )
        began = time.perf_counter()
        state = gate.machine.snapshot()
        took = (time.perf_counter() - began) * 1000.0
        began = time.perf_counter()
        SchemaStateMachine().restore(state)
        back = (time.perf_counter() - began) * 1000.0
        print(
            f"{title}: set up in {registered:.1f} s; snapshot of {len(state)} bytes in {took:.0f} ms, "
            f"taken back in {back:.0f} ms"
        )


def rows(plays: int) -> None:
    """Print how verdicts and rows went together."""
    together, cautious, missed = contract_rows.measure(plays)
    words = {
        contract_rows.FINE: "read as expected",
        contract_rows.OTHER: "inexact or padded",
        contract_rows.BROKEN: "broken",
    }
    for (rejected, how), count in sorted(together.items()):
        print(f"{'rejected' if rejected else 'let pass'}, {words[how]}: {count}")
    print(f"rejected though no row broke, by rule: {dict(cautious)}")
    print(f"let pass though a row broke: {len(missed)} {missed[:10]}")


def main(arguments: list[str]) -> int:
    """Run the command; return its exit status."""
    if arguments == ["checks"]:
        checks()
    elif len(arguments) == 2 and arguments[0] == "rows" and arguments[1].isdigit():
        rows(int(arguments[1]))
    else:
        print(__doc__)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
