"""What a controller believes of its executors beside what is on its sockets. No I/O and no clock.

The two are counted apart: the policy counts attempts by its own events, the executor client those under
way. Where they differ for longer than a turn, decisions rest on a load that is not there.
"""

from dataclasses import dataclass

from fennelwind.node.executor_client import ExecutorClient
from fennelwind.policy.gateway import Gateway


@dataclass(slots=True, frozen=True)
class Row:
    """One executor as both sides see it."""

    engine: str
    state: str  # as the module has it listed
    believed: int  # attempts out, by the module
    running: int  # attempts under way, by the executor client
    lag: float  # times the best, as the module judges it now
    suspect: bool
    answers: int  # attempts that ended well since the last look
    others: int  # and those that did not; called off ones are not counted

    def __str__(self) -> str:
        judged = f"{self.state} suspect" if self.suspect else self.state
        return (
            f"{self.engine} {judged} {self.believed}/{self.running} lag {self.lag:.1f} ok {self.answers}"
            f" bad {self.others}"
        )


def compare(gateway: Gateway, client: ExecutorClient) -> list[Row]:
    """Return a row for each executor that either side knows; the client's counts of ends begin anew."""
    running = client.in_flight.count_by_executor()
    rows = []
    for name in sorted({*gateway.engines, *running}):
        engine, executor = gateway.engines.get(name), client.pool.executors.get(name)
        ended = dict(executor.ended_attempts) if executor is not None else {}
        if executor is not None:
            executor.ended_attempts.clear()
        good = ended.pop("ok", 0)
        rows.append(
            Row(
                name,
                engine.entry.state if engine is not None else "unknown",
                len(engine.out) if engine is not None else 0,
                running.get(name, 0),
                engine.lag_now if engine is not None else 0.0,
                engine is not None and engine.suspect,
                good,
                sum(count for status, count in ended.items() if status not in ("cancelled", "moot")),
            )
        )
    return rows


def drift(gateway: Gateway, client: ExecutorClient) -> int:
    """Return by how many attempts the two sides differ, over all executors."""
    running = client.in_flight.count_by_executor()
    believed = {name: len(engine.out) for name, engine in gateway.engines.items()}
    return sum(abs(believed.get(name, 0) - running.get(name, 0)) for name in {*believed, *running})
